//! Fault injection for one process: a shared library, loaded by `LD_PRELOAD`, that replaces some functions of the C library.
//! Tests load it into the processes that they start; other processes are not affected.
//!
//! `LILACBANK_FAULTS` holds a schedule: faults separated by `;`, each `KIND FROM UNTIL [ARGUMENT]`. Times are in milliseconds of
//! `CLOCK_MONOTONIC` since `LILACBANK_FAULTS_EPOCH`, or since the process's first intercepted call if that is unset.
//!
//! | kind | effect | argument |
//! | --- | --- | --- |
//! | `clock` | `CLOCK_REALTIME` is offset | offset in milliseconds, may be negative |
//! | `enospc` | writes to files in the folder fail with `ENOSPC` | 1: half of the bytes are written first |
//! | `disk` | the files in the folder share a disk; what it does not take fails with `ENOSPC` | size of the disk in bytes |
//! | `eio` | reads, writes, opens, truncations and renames in the folder fail with `EIO` | 1: half of the bytes are written first; 2: only `pwrite` fails |
//! | `accept` | `accept4` fails with `EMFILE` | - |
//! | `connect` | `connect` fails with `ENETUNREACH` | - |
//! | `late` | connections are delayed, as after a lost SYN: with an argument every one, without it one in three by 100 to 1500 ms | delay in milliseconds, or absent |
//! | `eintr` | one in N reads, writes and polls fails with `EINTR` | N, 3 if absent |
//! | `short` | reads and writes on sockets transfer at most N bytes | N, 7 if absent |
//! | `halt` | the thread sleeps before one in 64 writes on a socket | duration in milliseconds, 150 if absent |
//!
//! `fail FROM UNTIL FUNCTION ERROR` makes one function fail with one error, as in `fail 500 800 send ENOBUFS`. Both have the names of
//! the manual pages. The functions are `accept4`, `connect`, `socket`, `pipe2`, `epoll_ctl`, `send` and `recv` (which also cover `write`
//! and `read` on a socket) and `flock`; and, on the folder only, `open64`, `read`, `write`, `pwrite64`, `ftruncate64`, `rename`,
//! `unlink` and `statx`. `epoll_ctl` with `EPOLL_CTL_DEL` never fails.
//!
//! The folder is `LILACBANK_FAULTS_FOLDER`, a path prefix. A schedule that cannot be parsed ends the process with status 2 and
//! an error message.

mod files;
mod half_writes;
mod late;
mod schedule;
mod small_disk;
mod sockets;

use libc::{c_int, c_void, size_t, ssize_t, timespec};

use schedule::{Call, Kind, Schedule};

use std::sync::atomic::{AtomicU64, Ordering};

use std::sync::OnceLock;

/// Exit status of a process whose schedule cannot be parsed.
const BAD_SCHEDULE: c_int = 2;

/// Least time between the starts of two halts in milliseconds, so that halts do not add up: a process is stalled for the
/// duration of one at most.
const MIN_HALT_GAP_MS: u64 = 1_000;

/// When the last halt began, in milliseconds of `CLOCK_MONOTONIC`.
static LAST_HALT_MS: AtomicU64 = AtomicU64::new(0);

/// One in this many socket writes is stalled by a `halt` fault.
const HALT_ONE_IN: u64 = 64;

static SCHEDULE: OnceLock<Schedule> = OnceLock::new();

/// Number of calls so far that were candidates for a fault that affects every nth call.
static CALL_COUNT: AtomicU64 = AtomicU64::new(0);

fn monotonic_ms() -> f64 {
    let mut now = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the structure outlives the system call.
    unsafe { libc::syscall(libc::SYS_clock_gettime, libc::CLOCK_MONOTONIC, &mut now) };
    now.tv_sec as f64 * 1e3 + now.tv_nsec as f64 / 1e6
}

fn schedule() -> &'static Schedule {
    SCHEDULE.get_or_init(|| {
        let variable = |name: &str| std::env::var(name).unwrap_or_default();
        let epoch = variable("LILACBANK_FAULTS_EPOCH").parse().unwrap_or_else(|_| monotonic_ms());
        let folder = variable("LILACBANK_FAULTS_FOLDER");
        Schedule::parse(&variable("LILACBANK_FAULTS"), epoch, folder).unwrap_or_else(|error| {
            // Without its faults a test would pass without testing anything.
            eprintln!("LILACBANK_FAULTS: {error}");
            // SAFETY: `_exit` ends the process at once without running any handlers.
            unsafe { libc::_exit(BAD_SCHEDULE) }
        })
    })
}

/// The argument of the fault of this kind that is active now.
fn active_argument(kind: Kind) -> Option<f64> {
    schedule().active_argument(kind, monotonic_ms())
}

/// The error with which the schedule makes this function fail now.
fn scheduled_error(call: Call) -> Option<c_int> {
    schedule().scheduled_error(call, monotonic_ms())
}

fn fail(errno: c_int) -> c_int {
    // SAFETY: `__errno_location` returns a valid pointer to this thread's errno.
    unsafe { *libc::__errno_location() = errno };
    -1
}

fn is_nth_call(n: u64) -> bool {
    CALL_COUNT.fetch_add(1, Ordering::Relaxed).is_multiple_of(n.max(1))
}

/// Whether this call fails with `EINTR`.
fn is_interrupted() -> bool {
    active_argument(Kind::Interrupt).is_some_and(|n| is_nth_call(if n > 0.0 { n as u64 } else { 3 }))
}

fn path_of(fd: c_int) -> Option<String> {
    std::fs::read_link(format!("/proc/self/fd/{fd}")).ok().map(|p| p.to_string_lossy().into_owned())
}

fn is_socket(fd: c_int) -> bool {
    path_of(fd).is_some_and(|p| p.starts_with("socket:"))
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, out: *mut timespec) -> c_int {
    let status = libc::syscall(libc::SYS_clock_gettime, clock, out) as c_int;
    if status == 0 && clock == libc::CLOCK_REALTIME {
        if let Some(offset_ms) = active_argument(Kind::Clock) {
            let nanos =
                (*out).tv_sec as i128 * 1_000_000_000 + (*out).tv_nsec as i128 + (offset_ms * 1e6) as i128;
            (*out).tv_sec = nanos.div_euclid(1_000_000_000) as _;
            (*out).tv_nsec = nanos.rem_euclid(1_000_000_000) as _;
        }
    }
    status
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, bytes: *const c_void, mut count: size_t) -> ssize_t {
    // Standard error carries the error messages about the schedule. A write of one byte may come from a signal handler,
    // where memory must not be allocated.
    if fd == 2 || count == 1 || schedule().is_empty() {
        return libc::syscall(libc::SYS_write, fd, bytes, count) as ssize_t;
    }
    if let Some((errno, half)) = files::write_fault(fd) {
        if half && count > 1 && half_writes::toggle_half_write(fd) {
            return libc::syscall(libc::SYS_write, fd, bytes, count / 2) as ssize_t;
        }
        return fail(errno) as ssize_t;
    }
    let taken = small_disk::bytes_taken(fd, count, None);
    if taken == 0 && count > 0 {
        return fail(libc::ENOSPC) as ssize_t;
    }
    count = taken;
    let socket = is_socket(fd);
    if let Some(error) = scheduled_error(Call::Send).filter(|_| socket) {
        return fail(error) as ssize_t;
    }
    if socket && is_interrupted() {
        return fail(libc::EINTR) as ssize_t;
    }
    if socket {
        count = shorten(count);
        maybe_halt();
    }
    libc::syscall(libc::SYS_write, fd, bytes, count) as ssize_t
}

fn shorten(count: size_t) -> size_t {
    let limit = |n: f64| if n > 0.0 { n as size_t } else { 7 };
    active_argument(Kind::Short).map_or(count, |n| count.min(limit(n)))
}

fn maybe_halt() {
    let now = monotonic_ms() as u64;
    let gap_is_over = || now.saturating_sub(LAST_HALT_MS.load(Ordering::Relaxed)) > MIN_HALT_GAP_MS;
    if let Some(span) = active_argument(Kind::Halt).filter(|_| gap_is_over() && is_nth_call(HALT_ONE_IN)) {
        LAST_HALT_MS.store(now, Ordering::Relaxed);
        let span = if span > 0.0 { span } else { 150.0 };
        let span = timespec { tv_sec: 0, tv_nsec: (span * 1e6) as _ };
        // SAFETY: the structure outlives the system call.
        unsafe { libc::syscall(libc::SYS_nanosleep, &span, std::ptr::null_mut::<timespec>()) };
    }
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn read(fd: c_int, bytes: *mut c_void, mut count: size_t) -> ssize_t {
    if !schedule().is_empty() {
        if let Some(error) = files::read_error(fd) {
            return fail(error) as ssize_t;
        }
        if is_socket(fd) {
            if let Some(error) = scheduled_error(Call::Receive) {
                return fail(error) as ssize_t;
            }
            if is_interrupted() {
                return fail(libc::EINTR) as ssize_t;
            }
            count = shorten(count);
        }
    }
    libc::syscall(libc::SYS_read, fd, bytes, count) as ssize_t
}
