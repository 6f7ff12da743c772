//! Which connection is closed when a listener has more of them than it may keep: one rule for all listeners
//! that serve clients.
//!
//! A connection that is about to be closed is read first, so that a request that has arrived is served instead
//! of being discarded unread. Of connections that are alike, the one that was accepted first goes first.

use crate::api::Ms;

/// A connection without a served request may be closed after this many milliseconds before all others: the
/// first request of a normal client has arrived by then.
const UNSERVED_MIN_AGE: Ms = 100.0;
/// An idle connection may be closed after this many milliseconds: many clients send one request and keep the
/// connection open.
const IDLE_MIN_AGE: Ms = 2_000.0;

/// What a connection is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Use {
    /// No request was served on it yet, or it only lingers after an error.
    Unserved,
    /// Requests were served on it, and none is outstanding.
    Idle,
    /// It is not closed for another one.
    Busy,
}

/// A connection that may have to make room for another one.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Its index among the connections of its listener.
    pub index: usize,
    /// What it is used for.
    pub used_for: Use,
    /// When it was accepted.
    pub connected_at: Ms,
    /// When its last request came.
    pub last_used: Ms,
    /// Its number in the order of acceptance.
    pub serial: u64,
}

/// The connections of a listener.
pub trait Connections {
    /// All connections.
    fn candidates(&self) -> impl Iterator<Item = Candidate>;
    /// The current state of a connection; `None` if it is closed.
    fn candidate(&self, index: usize) -> Option<Candidate>;
    /// Reads what has arrived on a connection and serves it.
    fn read(&mut self, now: Ms, index: usize);
}

/// Picks the connection to close where `max` may be kept: first one without a served request for a while or
/// one that was served and has been idle for long, then a served idle one if only few connections are
/// unserved, then any unserved one, and last any idle one. `None` if none may be closed.
pub fn pick_to_close(connections: &mut impl Connections, now: Ms, max: usize) -> Option<usize> {
    let unserved = |c: &Candidate| c.used_for == Use::Unserved;
    let old_unserved = |c: &Candidate| unserved(c) && now - c.connected_at >= UNSERVED_MIN_AGE;
    let idle = |c: &Candidate| c.used_for == Use::Idle;
    let long_idle = |c: &Candidate| idle(c) && now - c.last_used >= IDLE_MIN_AGE;
    while let Some(index) =
        first(connections, old_unserved, connected_at).or_else(|| first(connections, long_idle, last_used))
    {
        if still_fits(connections, now, index, |c| old_unserved(c) || long_idle(c)) {
            return Some(index);
        }
    }
    // A few new connections among many clients belong to clients whose first request is on its way; only a
    // large number of them is a flood. A served client that loses an idle connection opens a new one for its
    // next request.
    if connections.candidates().filter(unserved).count() * 2 < max {
        let picked = pick(connections, now, idle, last_used);
        if picked.is_some() {
            return picked;
        }
    }
    pick(connections, now, unserved, connected_at).or_else(|| pick(connections, now, idle, last_used))
}

fn connected_at(c: &Candidate) -> Ms {
    c.connected_at
}

fn last_used(c: &Candidate) -> Ms {
    c.last_used
}

/// The first connection that fits in the order of this time, and of acceptance where the times are equal.
fn first(
    connections: &impl Connections,
    fits: impl Fn(&Candidate) -> bool,
    time: fn(&Candidate) -> Ms,
) -> Option<usize> {
    let fitting = connections.candidates().filter(|c| fits(c));
    fitting.min_by(|a, b| time(a).total_cmp(&time(b)).then(a.serial.cmp(&b.serial))).map(|c| c.index)
}

/// Picks the first connection that fits and still does after what has arrived on it was read.
fn pick(
    connections: &mut impl Connections,
    now: Ms,
    fits: impl Fn(&Candidate) -> bool,
    time: fn(&Candidate) -> Ms,
) -> Option<usize> {
    while let Some(index) = first(connections, &fits, time) {
        if still_fits(connections, now, index, &fits) {
            return Some(index);
        }
    }
    None
}

/// Reads a connection that is about to be closed; whether it was closed by that or still fits.
fn still_fits(
    connections: &mut impl Connections,
    now: Ms,
    index: usize,
    fits: impl Fn(&Candidate) -> bool,
) -> bool {
    connections.read(now, index);
    connections.candidate(index).is_none_or(|c| fits(&c))
}

#[cfg(test)]
mod tests;
