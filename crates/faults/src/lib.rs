//! Fault injection for one process: a shared library that is loaded by `LD_PRELOAD` and takes the place of some functions of
//! the C library. Tests load it into the processes that they start; nothing else is touched.
//!
//! `LILACBANK_FAULTS` holds a schedule: faults separated by `;`, each `KIND FROM UNTIL [ARGUMENT]`. Times are milliseconds of
//! `CLOCK_MONOTONIC` since `LILACBANK_FAULTS_EPOCH`, or since the start of the process without it.
//!
//! | kind | effect | argument |
//! | --- | --- | --- |
//! | `clock` | `CLOCK_REALTIME` is off by so much | milliseconds, may be negative |
//! | `enospc` | writes to files of the folder fail with `ENOSPC` | 1: half of the bytes are written first |
//! | `eio` | reads, writes, opens, truncations and renames in the folder fail with `EIO` | 1: half of the bytes are written first; 2: only `pwrite` fails |
//! | `accept` | `accept4` fails with `EMFILE` | - |
//! | `connect` | `connect` fails with `ENETUNREACH` | - |
//! | `eintr` | one in so many reads, writes and polls fails with `EINTR` | 3 if absent |
//! | `short` | reads and writes on sockets move so many bytes at most | 7 if absent |
//! | `halt` | the thread sleeps before one in 64 writes on a socket | milliseconds, 150 if absent |
//!
//! `fail FROM UNTIL FUNCTION ERROR` makes one function fail with one error, both by their names in the manual, as in
//! `fail 500 800 send ENOBUFS`: `accept4`, `connect`, `socket`, `pipe2`, `epoll_ctl`, `send` and `recv` (which stand for `write` and
//! `read` on a socket, too), `flock`; on the folder only: `open64`, `read`, `write`, `pwrite64`, `ftruncate64`, `rename`, `unlink`,
//! `statx`. A removal from a poll never fails.
//!
//! The folder is `LILACBANK_FAULTS_FOLDER`, a prefix of paths. A schedule that does not read ends the process with status 2 and
//! says what is wrong.

mod schedule;

use libc::{c_char, c_int, c_void, mode_t, off_t, size_t, sockaddr, socklen_t, ssize_t, timespec};
use schedule::{Call, Kind, Schedule};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::OnceLock;

/// Exit status of a process whose schedule does not read.
const BAD_SCHEDULE: c_int = 2;
/// Between two halts, so that one is over before the next: the time that a process may be held up is the time of one.
const HALT_GAP_MS: u64 = 1_000;
/// When the last halt began.
static LAST_HALT: AtomicU64 = AtomicU64::new(0);
/// One in so many socket writes is held up by a `halt`.
const HALT_EACH: u64 = 64;

static SCHEDULE: OnceLock<Schedule> = OnceLock::new();
/// The last write that failed has written its half, and the next call of its writer fails.
static HALVED: AtomicBool = AtomicBool::new(false);
/// Calls so far, to pick every nth of them.
static CALLS: AtomicU64 = AtomicU64::new(0);

fn monotonic_ms() -> f64 {
    let mut now = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the structure outlives the call.
    unsafe { libc::syscall(libc::SYS_clock_gettime, libc::CLOCK_MONOTONIC, &mut now) };
    now.tv_sec as f64 * 1e3 + now.tv_nsec as f64 / 1e6
}

fn schedule() -> &'static Schedule {
    SCHEDULE.get_or_init(|| {
        let variable = |name: &str| std::env::var(name).unwrap_or_default();
        let epoch = variable("LILACBANK_FAULTS_EPOCH").parse().unwrap_or_else(|_| monotonic_ms());
        let folder = variable("LILACBANK_FAULTS_FOLDER");
        Schedule::parse(&variable("LILACBANK_FAULTS"), epoch, folder).unwrap_or_else(|why| {
            // A test whose faults were left out would show nothing.
            eprintln!("LILACBANK_FAULTS: {why}");
            // SAFETY: it ends the process at once and touches nothing.
            unsafe { libc::_exit(BAD_SCHEDULE) }
        })
    })
}

/// The argument of a fault of this kind that is on now.
fn active(kind: Kind) -> Option<f64> {
    schedule().active(kind, monotonic_ms())
}

/// The error with which a function fails now.
fn failure(call: Call) -> Option<c_int> {
    schedule().failure(call, monotonic_ms())
}

fn fail(errno: c_int) -> c_int {
    // SAFETY: the C library's own location of this thread's errno.
    unsafe { *libc::__errno_location() = errno };
    -1
}

fn nth_call(each: u64) -> bool {
    CALLS.fetch_add(1, Ordering::Relaxed).is_multiple_of(each.max(1))
}

/// Does an interruption by a signal end this call?
fn interrupted() -> bool {
    active(Kind::Interrupt).is_some_and(|each| nth_call(if each > 0.0 { each as u64 } else { 3 }))
}

fn path_of(fd: c_int) -> Option<String> {
    std::fs::read_link(format!("/proc/self/fd/{fd}")).ok().map(|p| p.to_string_lossy().into_owned())
}

fn in_folder(path: &str) -> bool {
    let folder = &schedule().folder;
    !folder.is_empty() && path.starts_with(folder.as_str())
}

fn is_socket(fd: c_int) -> bool {
    path_of(fd).is_some_and(|p| p.starts_with("socket:"))
}

/// Argument of an `eio` that only `pwrite` meets.
const POSITIONED_ONLY: f64 = 2.0;

/// The argument of an I/O error that all calls on the folder meet now.
fn io_error() -> Option<f64> {
    active(Kind::Io).filter(|argument| *argument != POSITIONED_ONLY)
}

/// The error with which a function on the folder fails now.
fn folder_failure(call: Call, fd: c_int) -> Option<c_int> {
    failure(call).filter(|_| path_of(fd).is_some_and(|p| in_folder(&p)))
}

/// The same for a function that names a file.
fn path_failure(call: Call, path: *const c_char) -> Option<c_int> {
    failure(call).filter(|_| names_folder(path))
}

/// The error that a write to a file of the folder gets now, and whether half of it is written first.
fn disk_fault(fd: c_int) -> Option<(c_int, bool)> {
    if let Some(error) = folder_failure(Call::Write, fd) {
        return Some((error, false));
    }
    let fault = active(Kind::NoSpace).map(|half| (libc::ENOSPC, half > 0.0));
    let fault = fault.or_else(|| io_error().map(|half| (libc::EIO, half > 0.0)))?;
    path_of(fd).is_some_and(|p| in_folder(&p)).then_some(fault)
}

fn path_fault(path: *const c_char) -> bool {
    io_error().is_some() && names_folder(path)
}

fn names_folder(path: *const c_char) -> bool {
    // SAFETY: the caller passes a path, which ends with a zero.
    !path.is_null() && in_folder(&unsafe { std::ffi::CStr::from_ptr(path) }.to_string_lossy())
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, out: *mut timespec) -> c_int {
    let done = libc::syscall(libc::SYS_clock_gettime, clock, out) as c_int;
    if done == 0 && clock == libc::CLOCK_REALTIME {
        if let Some(step) = active(Kind::Clock) {
            let nanos = (*out).tv_sec as i128 * 1_000_000_000 + (*out).tv_nsec as i128 + (step * 1e6) as i128;
            (*out).tv_sec = nanos.div_euclid(1_000_000_000) as _;
            (*out).tv_nsec = nanos.rem_euclid(1_000_000_000) as _;
        }
    }
    done
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, bytes: *const c_void, mut count: size_t) -> ssize_t {
    // Standard error carries the schedule's own complaints; one byte is a signal handler's, where nothing may be allocated.
    if fd == 2 || count == 1 || schedule().is_empty() {
        return libc::syscall(libc::SYS_write, fd, bytes, count) as ssize_t;
    }
    if let Some((errno, half)) = disk_fault(fd) {
        if half && count > 1 && !HALVED.fetch_xor(true, Ordering::Relaxed) {
            return libc::syscall(libc::SYS_write, fd, bytes, count / 2) as ssize_t;
        }
        return fail(errno) as ssize_t;
    }
    let socket = is_socket(fd);
    if let Some(error) = failure(Call::Send).filter(|_| socket) {
        return fail(error) as ssize_t;
    }
    if socket && interrupted() {
        return fail(libc::EINTR) as ssize_t;
    }
    if socket {
        count = shortened(count);
        halt();
    }
    libc::syscall(libc::SYS_write, fd, bytes, count) as ssize_t
}

fn shortened(count: size_t) -> size_t {
    let most = |n: f64| if n > 0.0 { n as size_t } else { 7 };
    active(Kind::Short).map_or(count, |n| count.min(most(n)))
}

fn halt() {
    let now = monotonic_ms() as u64;
    let rested = || now.saturating_sub(LAST_HALT.load(Ordering::Relaxed)) > HALT_GAP_MS;
    if let Some(span) = active(Kind::Halt).filter(|_| rested() && nth_call(HALT_EACH)) {
        LAST_HALT.store(now, Ordering::Relaxed);
        let span = if span > 0.0 { span } else { 150.0 };
        let span = timespec { tv_sec: 0, tv_nsec: (span * 1e6) as _ };
        // SAFETY: the structure outlives the call.
        unsafe { libc::syscall(libc::SYS_nanosleep, &span, std::ptr::null_mut::<timespec>()) };
    }
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn pwrite64(fd: c_int, bytes: *const c_void, count: size_t, at: off_t) -> ssize_t {
    let positioned = active(Kind::Io).is_some() && path_of(fd).is_some_and(|p| in_folder(&p));
    let fault = folder_failure(Call::WriteAt, fd);
    let fault = fault.or_else(|| disk_fault(fd).map(|f| f.0)).or(positioned.then_some(libc::EIO));
    match fault {
        Some(errno) => fail(errno) as ssize_t,
        None => libc::syscall(libc::SYS_pwrite64, fd, bytes, count, at) as ssize_t,
    }
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn read(fd: c_int, bytes: *mut c_void, mut count: size_t) -> ssize_t {
    if !schedule().is_empty() {
        if io_error().is_some() && path_of(fd).is_some_and(|p| in_folder(&p)) {
            return fail(libc::EIO) as ssize_t;
        }
        if let Some(error) = folder_failure(Call::Read, fd) {
            return fail(error) as ssize_t;
        }
        if is_socket(fd) {
            if let Some(error) = failure(Call::Receive) {
                return fail(error) as ssize_t;
            }
            if interrupted() {
                return fail(libc::EINTR) as ssize_t;
            }
            count = shortened(count);
        }
    }
    libc::syscall(libc::SYS_read, fd, bytes, count) as ssize_t
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, bytes: *mut c_void, mut count: size_t, flags: c_int) -> ssize_t {
    if !schedule().is_empty() {
        if let Some(error) = failure(Call::Receive) {
            return fail(error) as ssize_t;
        }
        if interrupted() {
            return fail(libc::EINTR) as ssize_t;
        }
        count = shortened(count);
    }
    let none = std::ptr::null_mut::<sockaddr>();
    libc::syscall(libc::SYS_recvfrom, fd, bytes, count, flags, none, none) as ssize_t
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, bytes: *const c_void, mut count: size_t, flags: c_int) -> ssize_t {
    if !schedule().is_empty() {
        if let Some(error) = failure(Call::Send) {
            return fail(error) as ssize_t;
        }
        if interrupted() {
            return fail(libc::EINTR) as ssize_t;
        }
        count = shortened(count);
        halt();
    }
    let none = std::ptr::null_mut::<sockaddr>();
    libc::syscall(libc::SYS_sendto, fd, bytes, count, flags, none, 0) as ssize_t
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    if path_fault(path) {
        return fail(libc::EIO);
    }
    if let Some(error) = path_failure(Call::Open, path) {
        return fail(error);
    }
    libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, flags, mode) as c_int
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn ftruncate64(fd: c_int, length: off_t) -> c_int {
    if io_error().is_some() && path_of(fd).is_some_and(|p| in_folder(&p)) {
        return fail(libc::EIO);
    }
    if let Some(error) = folder_failure(Call::Truncate, fd) {
        return fail(error);
    }
    libc::syscall(libc::SYS_ftruncate, fd, length) as c_int
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    if path_fault(from) {
        return fail(libc::EIO);
    }
    if let Some(error) = path_failure(Call::Rename, from) {
        return fail(error);
    }
    libc::syscall(libc::SYS_renameat2, libc::AT_FDCWD, from, libc::AT_FDCWD, to, 0) as c_int
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    let error = active(Kind::Accept).map(|_| libc::EMFILE).or_else(|| failure(Call::Accept));
    if let Some(error) = error {
        return fail(error);
    }
    libc::syscall(libc::SYS_accept4, fd, address, length, flags) as c_int
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    let error = active(Kind::Connect).map(|_| libc::ENETUNREACH).or_else(|| failure(Call::Connect));
    if let Some(error) = error {
        return fail(error);
    }
    libc::syscall(libc::SYS_connect, fd, address, length) as c_int
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    poll: c_int,
    events: *mut libc::epoll_event,
    most: c_int,
    timeout: c_int,
) -> c_int {
    if !schedule().is_empty() && interrupted() {
        return fail(libc::EINTR);
    }
    let none = std::ptr::null::<c_void>();
    libc::syscall(libc::SYS_epoll_pwait, poll, events, most, timeout, none, 8usize) as c_int
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    match failure(Call::Socket) {
        Some(error) => fail(error),
        None => libc::syscall(libc::SYS_socket, domain, kind, protocol) as c_int,
    }
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn pipe2(ends: *mut c_int, flags: c_int) -> c_int {
    match failure(Call::Pipe) {
        Some(error) => fail(error),
        None => libc::syscall(libc::SYS_pipe2, ends, flags) as c_int,
    }
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn epoll_ctl(
    poll: c_int,
    operation: c_int,
    fd: c_int,
    event: *mut libc::epoll_event,
) -> c_int {
    match failure(Call::Poll).filter(|_| operation != libc::EPOLL_CTL_DEL) {
        Some(error) => fail(error),
        None => libc::syscall(libc::SYS_epoll_ctl, poll, operation, fd, event) as c_int,
    }
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn flock(fd: c_int, operation: c_int) -> c_int {
    match failure(Call::Lock) {
        Some(error) => fail(error),
        None => libc::syscall(libc::SYS_flock, fd, operation) as c_int,
    }
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn unlink(path: *const c_char) -> c_int {
    match path_failure(Call::Remove, path) {
        Some(error) => fail(error),
        None => libc::syscall(libc::SYS_unlinkat, libc::AT_FDCWD, path, 0) as c_int,
    }
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn statx(
    folder: c_int,
    path: *const c_char,
    flags: c_int,
    mask: libc::c_uint,
    about: *mut libc::statx,
) -> c_int {
    // Of an open file the path is empty.
    let named = path_failure(Call::Status, path);
    match named.or_else(|| folder_failure(Call::Status, folder)) {
        Some(error) => fail(error),
        None => libc::syscall(libc::SYS_statx, folder, path, flags, mask, about) as c_int,
    }
}
