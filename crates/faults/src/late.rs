//! Connections that come up late: the call says that it has begun, and begins after a while on a thread of its own.

use crate::schedule::Kind;
use crate::{active, nth_call};
use libc::{c_int, sockaddr, sockaddr_in, socklen_t};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// One connection in so many comes up late, where the schedule does not say how late.
const EACH: u64 = 3;
/// Milliseconds that it takes then, at least and at most.
const LEAST_MS: u64 = 100;
const MOST_MS: u64 = 1_500;
/// Late connections so far: the time of each is drawn from their number.
static LATE: AtomicU64 = AtomicU64::new(0);

/// A time between the least and the most one, spread evenly over the numbers.
fn drawn_ms(number: u64) -> u64 {
    let mixed = number.wrapping_add(1).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33;
    LEAST_MS + mixed % (MOST_MS - LEAST_MS + 1)
}

/// Begins a connection late, if this one is to be; false if it is begun as usual.
///
/// # Safety
/// The address is as long as it says.
pub(crate) unsafe fn begin(fd: c_int, address: *const sockaddr, length: socklen_t) -> bool {
    let Some(argument) = active(Kind::Late).filter(|ms| *ms > 0.0 || nth_call(EACH)) else { return false };
    if length as usize != size_of::<sockaddr_in>() || c_int::from((*address).sa_family) != libc::AF_INET {
        return false;
    }
    // The process may close its descriptor meanwhile, and give the number to another socket.
    let own = libc::fcntl(fd, libc::F_DUPFD_CLOEXEC, 0);
    if own < 0 {
        return false;
    }
    let to = *address.cast::<sockaddr_in>();
    let drawn = || drawn_ms(LATE.fetch_add(1, Ordering::Relaxed));
    let after = if argument > 0.0 { argument as u64 } else { drawn() };
    let begun = thread::Builder::new().stack_size(64 << 10).spawn(move || {
        thread::sleep(Duration::from_millis(after));
        // SAFETY: the descriptor is this thread's own, and the address lives on its stack.
        unsafe {
            libc::syscall(libc::SYS_connect, own, &raw const to, length);
            libc::close(own);
        }
    });
    if begun.is_err() {
        libc::close(own);
    }
    begun.is_ok()
}
