//! Attempts that have ended here while their endpoints may not know yet: their message goes out nowhere else, and the next of
//! their key waits.
//!
//! Most attempts stay out until their wire has told that their endpoint counts them as over. What is kept here could not wait
//! for that: the endpoint itself ended the connection, the message's time was up, it went to another dispatcher, or the process
//! that had sent it has ended.

use crate::api::{Ms, RouteId};
use crate::journal::CallNo;
use std::collections::BTreeMap;

/// Such an attempt.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Unconfirmed {
    /// Where it went.
    pub(super) route: RouteId,
    /// The key of its message, in classes in order.
    pub(super) key: Option<u64>,
    /// The tenant of its message.
    pub(super) tenant: String,
    /// Its message is held no more; the key is free once the attempt is confirmed.
    is_over: bool,
    /// Its endpoint knows from then on; none: its wire will tell.
    known_at: Option<Ms>,
    /// Its key rests for so long after that.
    rest: Ms,
}

impl Unconfirmed {
    /// An attempt of a message that is held.
    pub(super) fn new(route: RouteId, key: Option<u64>, tenant: String) -> Unconfirmed {
        Unconfirmed { route, key, tenant, ..Unconfirmed::default() }
    }

    fn is_known(&self, now: Ms) -> bool {
        self.known_at.is_some_and(|at| at <= now)
    }

    /// When it is known to its endpoint and its key has rested.
    fn done_at(&self) -> Option<Ms> {
        self.known_at.map(|at| at + self.rest)
    }
}

/// A message whose key is free.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Freed {
    pub(super) no: CallNo,
    pub(super) key: Option<u64>,
}

/// The number that stands for the attempt which another process had out; only one can be.
const INHERITED: u32 = u32::MAX;

/// All of them, by message and attempt.
#[derive(Debug, Default)]
pub(super) struct Attempts(BTreeMap<(CallNo, u32), Unconfirmed>);

impl Attempts {
    /// An attempt was booked as ended; its wire will tell when its endpoint knows.
    pub(super) fn insert(&mut self, no: CallNo, attempt: u32, unconfirmed: Unconfirmed) {
        self.0.insert((no, attempt), unconfirmed);
    }

    /// A process that has ended had an attempt of this message out; its endpoint knows by then, and its key rests behind it.
    pub(super) fn inherit(&mut self, no: CallNo, key: Option<u64>, known_at: Ms, rest: Ms) {
        let known_at = Some(known_at);
        self.0.insert((no, INHERITED), Unconfirmed { key, known_at, rest, ..Unconfirmed::default() });
    }

    /// The wire has told now, and the key rests for so long; none if it was to tell of no such attempt.
    pub(super) fn confirm(&mut self, now: Ms, no: CallNo, attempt: u32, rest: Ms) -> Option<Unconfirmed> {
        let unconfirmed = self.0.get_mut(&(no, attempt))?;
        if unconfirmed.known_at.is_none() {
            (unconfirmed.known_at, unconfirmed.rest) = (Some(now), rest);
        }
        Some(unconfirmed.clone())
    }

    /// Is there one of this message of which its endpoint may not know?
    pub(super) fn is_of(&self, no: CallNo, now: Ms) -> bool {
        self.0.range((no, 0)..=(no, u32::MAX)).any(|(_, unconfirmed)| !unconfirmed.is_known(now))
    }

    /// Its message is held no more. True if the message's key is to wait all the same.
    pub(super) fn is_over(&mut self, no: CallNo) -> bool {
        let mut found = false;
        for (_, unconfirmed) in self.0.range_mut((no, 0)..=(no, u32::MAX)) {
            unconfirmed.is_over = true;
            found = true;
        }
        found
    }

    /// Forgets what is known to its endpoints and has rested by now; the messages that are held no more and whose key is free.
    pub(super) fn fade(&mut self, now: Ms) -> Vec<Freed> {
        let is_done = |u: &Unconfirmed| u.done_at().is_some_and(|at| at <= now);
        let done: Vec<_> = self.0.iter().filter(|(_, u)| is_done(u)).map(|(name, _)| *name).collect();
        let mut freed = Vec::new();
        for (no, attempt) in done {
            let Some(unconfirmed) = self.0.remove(&(no, attempt)) else { continue };
            let is_last = self.0.range((no, 0)..=(no, u32::MAX)).next().is_none();
            if unconfirmed.is_over && is_last {
                freed.push(Freed { no, key: unconfirmed.key });
            }
        }
        freed
    }

    /// When [`Attempts::fade`] has something to do.
    pub(super) fn next_due(&self) -> Option<Ms> {
        self.0.values().filter_map(Unconfirmed::done_at).min_by(f64::total_cmp)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_message_has_one_until_its_wire_has_told_or_its_time_has_passed() {
        let mut all = Attempts::default();
        all.insert(5, 0, Unconfirmed::new(3, Some(9), String::new()));
        all.inherit(6, Some(8), 40.0, 10.0);
        assert!(all.is_of(5, 1e9) && all.is_of(6, 39.0) && !all.is_of(6, 40.0) && !all.is_of(7, 0.0));
        assert_eq!(all.next_due(), Some(50.0));
        assert!(all.is_over(5) && all.is_over(6) && !all.is_over(7));
        assert_eq!(all.fade(50.0), [Freed { no: 6, key: Some(8) }], "the wire has not told of the other");
        assert_eq!(all.confirm(60.0, 5, 0, 10.0).map(|u| (u.route, u.key)), Some((3, Some(9))));
        assert!(all.confirm(60.0, 5, 1, 10.0).is_none());
        assert!(!all.is_of(5, 60.0), "its endpoint knows; its key rests");
        all.confirm(65.0, 5, 0, 10.0);
        assert_eq!((all.next_due(), all.fade(69.0)), (Some(70.0), vec![]), "the first word counts");
        assert_eq!(all.fade(70.0), [Freed { no: 5, key: Some(9) }]);
        assert!(all.next_due().is_none());
    }

    #[test]
    fn a_key_is_free_once_all_attempts_of_its_message_are_known() {
        let mut all = Attempts::default();
        let attempt = || Unconfirmed::new(3, Some(9), String::new());
        all.insert(5, 0, attempt());
        all.insert(5, 1, attempt());
        all.is_over(5);
        all.confirm(10.0, 5, 0, 0.0);
        assert_eq!(all.fade(10.0), []);
        all.confirm(20.0, 5, 1, 0.0);
        assert_eq!(all.fade(20.0), [Freed { no: 5, key: Some(9) }]);
    }
}
