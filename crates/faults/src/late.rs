//! Delayed connects: `connect` returns `EINPROGRESS` at once, and a separate thread starts the connection after a delay.

use crate::schedule::Kind;
use crate::{active_argument, is_nth_call};
use libc::{c_int, sockaddr, sockaddr_in, socklen_t};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// One connection in this many is delayed if the schedule gives no delay.
const ONE_IN: u64 = 3;
/// Shortest delay in milliseconds if the schedule gives none.
const MIN_DELAY_MS: u64 = 100;
/// Longest delay in milliseconds if the schedule gives none.
const MAX_DELAY_MS: u64 = 1_500;
/// Connections delayed so far without a scheduled delay; the delay of each is derived from this number.
static DELAYED: AtomicU64 = AtomicU64::new(0);

/// A delay between the shortest and the longest, distributed evenly over the connection numbers.
fn delay_ms(number: u64) -> u64 {
    let mixed = number.wrapping_add(1).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33;
    MIN_DELAY_MS + mixed % (MAX_DELAY_MS - MIN_DELAY_MS + 1)
}

/// Starts a delayed connect if the schedule asks for one; false if the caller has to connect as usual.
///
/// # Safety
/// `address` points to at least `length` readable bytes.
pub(crate) unsafe fn start_delayed(fd: c_int, address: *const sockaddr, length: socklen_t) -> bool {
    let Some(argument) = active_argument(Kind::Late).filter(|ms| *ms > 0.0 || is_nth_call(ONE_IN)) else {
        return false;
    };
    if length as usize != size_of::<sockaddr_in>() || c_int::from((*address).sa_family) != libc::AF_INET {
        return false;
    }
    // The process may close its descriptor during the delay, and its number may then refer to another socket.
    let duplicate = libc::fcntl(fd, libc::F_DUPFD_CLOEXEC, 0);
    if duplicate < 0 {
        return false;
    }
    let target = *address.cast::<sockaddr_in>();
    let derived = || delay_ms(DELAYED.fetch_add(1, Ordering::Relaxed));
    let delay = if argument > 0.0 { argument as u64 } else { derived() };
    let spawned = thread::Builder::new().stack_size(64 << 10).spawn(move || {
        thread::sleep(Duration::from_millis(delay));
        // SAFETY: this thread owns the duplicated descriptor, and the address is on its stack.
        unsafe {
            libc::syscall(libc::SYS_connect, duplicate, &raw const target, length);
            libc::close(duplicate);
        }
    });
    if spawned.is_err() {
        libc::close(duplicate);
    }
    spawned.is_ok()
}
