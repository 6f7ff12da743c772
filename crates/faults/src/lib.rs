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
//! | `late` | connections come up late, as after a lost SYN: each after so long, or one in three after 100 to 1500 ms | milliseconds, or absent |
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

mod files;
mod late;
mod schedule;
mod sockets;

use libc::{c_int, c_void, size_t, ssize_t, timespec};

use schedule::{Call, Kind, Schedule};

use std::sync::atomic::{AtomicU64, Ordering};

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

fn is_socket(fd: c_int) -> bool {
    path_of(fd).is_some_and(|p| p.starts_with("socket:"))
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
    if let Some((errno, half)) = files::disk_fault(fd) {
        if half && count > 1 && files::writes_half() {
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
pub unsafe extern "C" fn read(fd: c_int, bytes: *mut c_void, mut count: size_t) -> ssize_t {
    if !schedule().is_empty() {
        if let Some(error) = files::read_failure(fd) {
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
