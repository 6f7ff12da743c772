//! Faults that a stand-in endpoint causes on its connections: half-closes and resets during or between calls, and silence.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::Errno;
use rustix::net::sockopt::set_socket_linger;
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// A connection fault that an endpoint causes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionFault {
    /// The endpoint shuts down its write side as the next request arrives. It still reads that request, a little later, and
    /// begins a call that it does not answer.
    HalfCloseOnRequest,
    /// The endpoint shuts down its write side during a call, which still takes effect.
    HalfCloseDuringCall,
    /// The endpoint resets the connection during a call, which does not take effect.
    ResetDuringCall,
    /// The endpoint resets the connection as a request arrives, without reading it.
    ResetOnRequest,
    /// The endpoint stops reading and writing as a request arrives; the connection stays open.
    StopServing,
}

/// All connection faults.
pub const CONNECTION_FAULTS: [ConnectionFault; 5] = [
    ConnectionFault::HalfCloseOnRequest,
    ConnectionFault::HalfCloseDuringCall,
    ConnectionFault::ResetDuringCall,
    ConnectionFault::ResetOnRequest,
    ConnectionFault::StopServing,
];

/// Which faults an endpoint causes, and how often.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultPlan {
    /// The faults, used in turn.
    pub faults: Vec<ConnectionFault>,
    /// One in this many requests meets a fault; 0 counts as 1.
    pub one_in: usize,
    /// Delay before the endpoint reads a request that arrived as it shut down its write side.
    pub read_delay: Duration,
}

impl FaultPlan {
    /// The fault that the `nth` request of the endpoint meets, if any.
    pub fn fault_for(&self, nth: usize) -> Option<ConnectionFault> {
        let is_faulty = nth % self.one_in.max(1) == self.one_in.max(1) - 1;
        let index = (nth / self.one_in.max(1)) % self.faults.len().max(1);
        self.faults.get(index).copied().filter(|_| is_faulty)
    }
}

/// Waits for at most `timeout` until one of these events occurs on the connection; returns the time at which it did.
pub fn wait_for_events(tcp: &TcpStream, events: PollFlags, timeout: Duration) -> Option<Instant> {
    let start = Instant::now();
    loop {
        let mut fds = [PollFd::new(tcp, events)];
        let left = timeout.saturating_sub(start.elapsed());
        let timespec = Timespec::try_from(left).ok()?;
        match poll(&mut fds, Some(&timespec)) {
            Ok(0) => return None,
            Ok(_) => return Some(Instant::now()),
            Err(Errno::INTR) => {}
            Err(_) => return None,
        }
    }
}

/// Waits for at most `timeout` until the remote side shuts down its write side or the connection ends; returns the time at
/// which it did.
pub fn wait_for_remote_close(tcp: &TcpStream, timeout: Duration) -> Option<Instant> {
    wait_for_events(tcp, PollFlags::RDHUP, timeout)
}

/// Shuts down the write side.
pub fn half_close(tcp: &TcpStream) {
    let _ = tcp.shutdown(Shutdown::Write);
}

/// Makes the connection be reset, not closed, when its last handle is dropped.
pub fn reset_on_close(tcp: &TcpStream) {
    let _ = set_socket_linger(tcp, Some(Duration::ZERO));
}

#[cfg(test)]
mod tests;
