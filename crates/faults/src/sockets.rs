//! Replacements of the C library's functions on sockets, pipes and epoll.

use crate::schedule::{Call, Kind};
use crate::{active_argument, fail, is_interrupted, late, maybe_halt, schedule, scheduled_error, shorten};
use libc::{c_int, c_void, size_t, sockaddr, socklen_t, ssize_t};

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, bytes: *mut c_void, mut count: size_t, flags: c_int) -> ssize_t {
    if !schedule().is_empty() {
        if let Some(error) = scheduled_error(Call::Receive) {
            return fail(error) as ssize_t;
        }
        if is_interrupted() {
            return fail(libc::EINTR) as ssize_t;
        }
        count = shorten(count);
    }
    let none = std::ptr::null_mut::<sockaddr>();
    libc::syscall(libc::SYS_recvfrom, fd, bytes, count, flags, none, none) as ssize_t
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, bytes: *const c_void, mut count: size_t, flags: c_int) -> ssize_t {
    if !schedule().is_empty() {
        if let Some(error) = scheduled_error(Call::Send) {
            return fail(error) as ssize_t;
        }
        if is_interrupted() {
            return fail(libc::EINTR) as ssize_t;
        }
        count = shorten(count);
        maybe_halt();
    }
    let none = std::ptr::null_mut::<sockaddr>();
    libc::syscall(libc::SYS_sendto, fd, bytes, count, flags, none, 0) as ssize_t
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
    let error = active_argument(Kind::Accept).map(|_| libc::EMFILE).or_else(|| scheduled_error(Call::Accept));
    if let Some(error) = error {
        return fail(error);
    }
    libc::syscall(libc::SYS_accept4, fd, address, length, flags) as c_int
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    let error =
        active_argument(Kind::Connect).map(|_| libc::ENETUNREACH).or_else(|| scheduled_error(Call::Connect));
    if let Some(error) = error {
        return fail(error);
    }
    if late::start_delayed(fd, address, length) {
        return fail(libc::EINPROGRESS);
    }
    libc::syscall(libc::SYS_connect, fd, address, length) as c_int
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut libc::epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    if !schedule().is_empty() && is_interrupted() {
        return fail(libc::EINTR);
    }
    let none = std::ptr::null::<c_void>();
    libc::syscall(libc::SYS_epoll_pwait, epoll, events, max_events, timeout, none, 8usize) as c_int
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    match scheduled_error(Call::Socket) {
        Some(error) => fail(error),
        None => libc::syscall(libc::SYS_socket, domain, kind, protocol) as c_int,
    }
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn pipe2(ends: *mut c_int, flags: c_int) -> c_int {
    match scheduled_error(Call::Pipe) {
        Some(error) => fail(error),
        None => libc::syscall(libc::SYS_pipe2, ends, flags) as c_int,
    }
}

/// # Safety
/// As the C library's function.
#[no_mangle]
pub unsafe extern "C" fn epoll_ctl(
    epoll: c_int,
    operation: c_int,
    fd: c_int,
    event: *mut libc::epoll_event,
) -> c_int {
    match scheduled_error(Call::Poll).filter(|_| operation != libc::EPOLL_CTL_DEL) {
        Some(error) => fail(error),
        None => libc::syscall(libc::SYS_epoll_ctl, epoll, operation, fd, event) as c_int,
    }
}
