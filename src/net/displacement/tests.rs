//! The rule on which connection makes room, over connections in memory.

use super::*;

/// A connection, and whether a request has arrived on it that was not read yet.
struct Connection {
    candidate: Candidate,
    arrived: bool,
}

struct Crowd(Vec<Connection>);

impl Connections for Crowd {
    fn candidates(&self) -> impl Iterator<Item = Candidate> {
        self.0.iter().map(|c| c.candidate)
    }

    fn candidate(&self, index: usize) -> Option<Candidate> {
        self.candidates().find(|c| c.index == index)
    }

    fn read(&mut self, _now: Ms, index: usize) {
        for c in self.0.iter_mut().filter(|c| c.candidate.index == index && c.arrived) {
            c.candidate.used_for = Use::Busy;
        }
    }
}

fn connection(index: usize, used_for: Use, connected_at: Ms, last_used: Ms, serial: u64) -> Connection {
    Connection { candidate: Candidate { index, used_for, connected_at, last_used, serial }, arrived: false }
}

/// Guards against a client that is closed with its request unread, as one of many that connect at once.
#[test]
fn a_connection_with_an_unread_request_is_served_and_the_oldest_silent_one_closed() {
    for age in [0.0, 500.0] {
        // The indices say nothing of the order of acceptance.
        let mut crowd =
            Crowd((0..8).map(|n| connection(n, Use::Unserved, 1_000.0, 1_000.0, 8 - n as u64)).collect());
        crowd.0[7].arrived = true;
        assert_eq!(pick_to_close(&mut crowd, 1_000.0 + age, 4), Some(6), "the first that was accepted");
        crowd.0.iter_mut().for_each(|c| c.arrived = true);
        assert_eq!(pick_to_close(&mut crowd, 1_000.0 + age, 4), None, "all are being served");
    }
}

/// Guards against new clients that are closed while others rest, and against a crowd that displaces clients.
#[test]
fn few_new_connections_are_closed_after_idle_ones_and_a_crowd_before_them() {
    let served = || (0..4).map(|n| connection(n, Use::Idle, 0.0, 990.0 + n as Ms, n as u64));
    let new = |count: usize| (4..4 + count).map(|n| connection(n, Use::Unserved, 1_000.0, 1_000.0, n as u64));
    let mut few = Crowd(served().chain(new(1)).collect());
    assert_eq!(pick_to_close(&mut few, 1_000.0, 4), Some(0));
    let mut many = Crowd(served().chain(new(3)).collect());
    assert_eq!(pick_to_close(&mut many, 1_000.0, 4), Some(4));
    let mut long_idle = Crowd(served().chain(new(3)).collect());
    long_idle.0[2].candidate.last_used = -1_500.0;
    assert_eq!(pick_to_close(&mut long_idle, 1_000.0, 4), Some(2));
    let mut old = Crowd(served().chain(new(1)).collect());
    assert_eq!(pick_to_close(&mut old, 1_100.0, 4), Some(4), "its first request should have come");
}
