//! Functions on files: those of the folder fail.

use crate::schedule::{Call, Kind};
use crate::{active, fail, failure, path_of, schedule};
use libc::{c_char, c_int, c_void, mode_t, off_t, size_t, ssize_t};
use std::sync::atomic::{AtomicBool, Ordering};

/// The last write that failed has written its half, and the next call of its writer fails.
static HALVED: AtomicBool = AtomicBool::new(false);

fn in_folder(path: &str) -> bool {
    let folder = &schedule().folder;
    !folder.is_empty() && path.starts_with(folder.as_str())
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
pub(crate) fn disk_fault(fd: c_int) -> Option<(c_int, bool)> {
    if let Some(error) = folder_failure(Call::Write, fd) {
        return Some((error, false));
    }
    let fault = active(Kind::NoSpace).map(|half| (libc::ENOSPC, half > 0.0));
    let fault = fault.or_else(|| io_error().map(|half| (libc::EIO, half > 0.0)))?;
    path_of(fd).is_some_and(|p| in_folder(&p)).then_some(fault)
}

/// Is it the turn of the half of a write that fails? The next call of its writer fails then.
pub(crate) fn writes_half() -> bool {
    !HALVED.fetch_xor(true, Ordering::Relaxed)
}

/// The error that a read of a file of the folder gets now.
pub(crate) fn read_failure(fd: c_int) -> Option<c_int> {
    let io_error = io_error().filter(|_| path_of(fd).is_some_and(|p| in_folder(&p)));
    io_error.map(|_| libc::EIO).or_else(|| folder_failure(Call::Read, fd))
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
