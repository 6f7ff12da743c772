//! Replacements of the C library's file functions. Faults apply only to paths inside the configured folder.

use crate::schedule::{Call, Kind};
use crate::{active_argument, fail, path_of, schedule, scheduled_error, small_disk};
use libc::{c_char, c_int, c_void, mode_t, off_t, size_t, ssize_t};

fn in_folder(path: &str) -> bool {
    let folder = &schedule().folder;
    !folder.is_empty() && path.starts_with(folder.as_str())
}

/// Argument of an `eio` fault that affects only `pwrite`.
const PWRITE_ONLY: f64 = 2.0;

/// The argument of the active `eio` fault, if it affects all calls on the folder.
fn io_fault_argument() -> Option<f64> {
    active_argument(Kind::Io).filter(|argument| *argument != PWRITE_ONLY)
}

/// The scheduled error of this function now, if the descriptor refers to a file in the folder.
fn descriptor_error(call: Call, fd: c_int) -> Option<c_int> {
    scheduled_error(call).filter(|_| path_of(fd).is_some_and(|p| in_folder(&p)))
}

/// The scheduled error of this function now, if the path lies in the folder.
fn path_error(call: Call, path: *const c_char) -> Option<c_int> {
    scheduled_error(call).filter(|_| path_in_folder(path))
}

/// The error that a write to a file in the folder gets now, and whether half of the bytes are written first.
pub(crate) fn write_fault(fd: c_int) -> Option<(c_int, bool)> {
    if let Some(error) = descriptor_error(Call::Write, fd) {
        return Some((error, false));
    }
    let fault = active_argument(Kind::NoSpace).map(|half| (libc::ENOSPC, half > 0.0));
    let fault = fault.or_else(|| io_fault_argument().map(|half| (libc::EIO, half > 0.0)))?;
    path_of(fd).is_some_and(|p| in_folder(&p)).then_some(fault)
}

/// The error that a read of a file in the folder gets now.
pub(crate) fn read_error(fd: c_int) -> Option<c_int> {
    let io_fault = io_fault_argument().filter(|_| path_of(fd).is_some_and(|p| in_folder(&p)));
    io_fault.map(|_| libc::EIO).or_else(|| descriptor_error(Call::Read, fd))
}

fn path_has_io_fault(path: *const c_char) -> bool {
    io_fault_argument().is_some() && path_in_folder(path)
}

fn path_in_folder(path: *const c_char) -> bool {
    // SAFETY: the caller passes a C string, which is NUL-terminated.
    !path.is_null() && in_folder(&unsafe { std::ffi::CStr::from_ptr(path) }.to_string_lossy())
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn pwrite64(fd: c_int, bytes: *const c_void, count: size_t, offset: off_t) -> ssize_t {
    let io_fault = active_argument(Kind::Io).is_some() && path_of(fd).is_some_and(|p| in_folder(&p));
    let fault = descriptor_error(Call::WriteAt, fd);
    let fault = fault.or_else(|| write_fault(fd).map(|f| f.0)).or(io_fault.then_some(libc::EIO));
    if let Some(errno) = fault {
        return fail(errno) as ssize_t;
    }
    match small_disk::bytes_taken(fd, count, Some(offset)) {
        0 if count > 0 => fail(libc::ENOSPC) as ssize_t,
        taken => libc::syscall(libc::SYS_pwrite64, fd, bytes, taken, offset) as ssize_t,
    }
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    if path_has_io_fault(path) {
        return fail(libc::EIO);
    }
    if let Some(error) = path_error(Call::Open, path) {
        return fail(error);
    }
    libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, flags, mode) as c_int
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn ftruncate64(fd: c_int, length: off_t) -> c_int {
    if io_fault_argument().is_some() && path_of(fd).is_some_and(|p| in_folder(&p)) {
        return fail(libc::EIO);
    }
    if let Some(error) = descriptor_error(Call::Truncate, fd) {
        return fail(error);
    }
    libc::syscall(libc::SYS_ftruncate, fd, length) as c_int
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    if path_has_io_fault(from) {
        return fail(libc::EIO);
    }
    if let Some(error) = path_error(Call::Rename, from) {
        return fail(error);
    }
    libc::syscall(libc::SYS_renameat2, libc::AT_FDCWD, from, libc::AT_FDCWD, to, 0) as c_int
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn flock(fd: c_int, operation: c_int) -> c_int {
    match scheduled_error(Call::Lock) {
        Some(error) => fail(error),
        None => libc::syscall(libc::SYS_flock, fd, operation) as c_int,
    }
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn unlink(path: *const c_char) -> c_int {
    match path_error(Call::Remove, path) {
        Some(error) => fail(error),
        None => libc::syscall(libc::SYS_unlinkat, libc::AT_FDCWD, path, 0) as c_int,
    }
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn statx(
    dirfd: c_int,
    path: *const c_char,
    flags: c_int,
    mask: libc::c_uint,
    buffer: *mut libc::statx,
) -> c_int {
    // With `AT_EMPTY_PATH` the path is empty and `dirfd` is the open file itself.
    let error = path_error(Call::Status, path);
    match error.or_else(|| descriptor_error(Call::Status, dirfd)) {
        Some(error) => fail(error),
        None => libc::syscall(libc::SYS_statx, dirfd, path, flags, mask, buffer) as c_int,
    }
}
