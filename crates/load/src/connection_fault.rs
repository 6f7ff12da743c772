//! What an endpoint does to its connections: it ends them in the middle of a call or between two, or forgets them.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::Errno;
use rustix::net::sockopt::set_socket_linger;
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// An end of a connection that an endpoint makes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionFault {
    /// It ends its sending as the next request arrives. It still reads that request, a little later, and begins a call that
    /// it will not answer.
    HalfCloseAsCallCrosses,
    /// It ends its sending in the middle of a call, which goes on.
    HalfCloseInCall,
    /// It resets the connection in the middle of a call, which is cut off.
    ResetInCall,
    /// It resets the connection as a request arrives, unread.
    ResetAsCallCrosses,
    /// It forgets the connection as a request arrives: nothing more is read or written, and it stays open.
    Forget,
}

/// All of them.
pub const CONNECTION_FAULTS: [ConnectionFault; 5] = [
    ConnectionFault::HalfCloseAsCallCrosses,
    ConnectionFault::HalfCloseInCall,
    ConnectionFault::ResetInCall,
    ConnectionFault::ResetAsCallCrosses,
    ConnectionFault::Forget,
];

/// Which faults an endpoint shows, and how often.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultPlan {
    /// One after another.
    pub faults: Vec<ConnectionFault>,
    /// One in so many requests meets one, 1 or more.
    pub one_in: usize,
    /// A request that crosses an end is read so much later.
    pub read_later: Duration,
}

impl FaultPlan {
    /// The fault that the `nth` request of the endpoint meets.
    pub fn fault_of(&self, nth: usize) -> Option<ConnectionFault> {
        let meets = nth % self.one_in.max(1) == self.one_in.max(1) - 1;
        let turn = (nth / self.one_in.max(1)) % self.faults.len().max(1);
        self.faults.get(turn).copied().filter(|_| meets)
    }
}

/// Waits until one of these holds on the connection, for so long at most; when it came.
pub fn wait_for(tcp: &TcpStream, what: PollFlags, most: Duration) -> Option<Instant> {
    let began = Instant::now();
    loop {
        let mut fds = [PollFd::new(tcp, what)];
        let left = most.saturating_sub(began.elapsed());
        let timeout = Timespec::try_from(left).ok()?;
        match poll(&mut fds, Some(&timeout)) {
            Ok(0) => return None,
            Ok(_) => return Some(Instant::now()),
            Err(Errno::INTR) => {}
            Err(_) => return None,
        }
    }
}

/// Waits for the caller's end of sending, or for the connection's end, for so long at most; when it came.
pub fn wait_for_caller(tcp: &TcpStream, most: Duration) -> Option<Instant> {
    wait_for(tcp, PollFlags::RDHUP, most)
}

/// Ends this side's sending.
pub fn half_close(tcp: &TcpStream) {
    let _ = tcp.shutdown(Shutdown::Write);
}

/// Has the connection reset once the last handle of it is closed.
pub fn reset_on_close(tcp: &TcpStream) {
    let _ = set_socket_linger(tcp, Some(Duration::ZERO));
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_in_so_many_requests_meets_the_faults_in_turn() {
        let faults = vec![ConnectionFault::ResetInCall, ConnectionFault::Forget];
        let plan = FaultPlan { faults, one_in: 3, read_later: Duration::ZERO };
        let met: Vec<_> = (0..9).map(|n| plan.fault_of(n)).collect();
        let (reset, forget) = (Some(ConnectionFault::ResetInCall), Some(ConnectionFault::Forget));
        assert_eq!(met, [None, None, reset, None, None, forget, None, None, reset]);
    }
}
