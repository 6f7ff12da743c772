//! Attempts that have ended here while their endpoints may not know yet: their message goes out nowhere else, and the next of
//! their key waits.
//!
//! Most attempts stay out until their wire has told that their endpoint counts them as over. What is kept here could not wait
//! for that: the message's time was up, it went to another dispatcher, or the process that had sent it has ended.

use crate::api::{Ms, RouteId};
use crate::journal::CallNo;
use std::collections::BTreeMap;

/// Such an attempt.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Unheard {
    /// Where it went.
    pub(super) route: RouteId,
    /// The key of its message, in classes in order, and its tenant.
    pub(super) key: Option<u64>,
    pub(super) tenant: String,
    /// Its message is held no more; the key is free once the attempt is confirmed.
    is_over: bool,
    /// Its endpoint knows, and its key rests until then.
    rests_until: Option<Ms>,
}

impl Unheard {
    /// An attempt of a message that is held.
    pub(super) fn new(route: RouteId, key: Option<u64>, tenant: String) -> Unheard {
        Unheard { route, key, tenant, is_over: false, rests_until: None }
    }
}

/// A message whose key is free.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Freed {
    pub(super) no: CallNo,
    pub(super) key: Option<u64>,
}

/// All of them.
#[derive(Debug, Default)]
pub(super) struct Unconfirmed {
    /// Those that a wire of this process tells of, or has told of while their key rests.
    attempts: BTreeMap<(CallNo, u32), Unheard>,
    /// Messages whose attempt an earlier process had out as it ended, by when its endpoint knows of that.
    inherited: BTreeMap<CallNo, Ms>,
}

impl Unconfirmed {
    /// An attempt was booked as ended; its wire will tell when its endpoint knows.
    pub(super) fn insert(&mut self, no: CallNo, attempt: u32, unheard: Unheard) {
        self.attempts.insert((no, attempt), unheard);
    }

    /// The wire has told, and the key rests until then; none if it was to tell of no such attempt.
    pub(super) fn confirm(&mut self, no: CallNo, attempt: u32, rests_until: Ms) -> Option<Unheard> {
        let unheard = self.attempts.get_mut(&(no, attempt))?;
        unheard.rests_until.get_or_insert(rests_until);
        Some(unheard.clone())
    }

    /// A process that has ended had an attempt of this message out; its endpoint knows by then.
    pub(super) fn inherit(&mut self, no: CallNo, until: Ms) {
        self.inherited.insert(no, until);
    }

    /// Is there one of this message of which its endpoint may not know?
    pub(super) fn is_of(&self, no: CallNo, now: Ms) -> bool {
        self.of(no).any(|u| u.rests_until.is_none())
            || self.inherited.get(&no).is_some_and(|until| now < *until)
    }

    /// Its message is held no more. True if the message's key is to wait all the same.
    pub(super) fn is_over(&mut self, no: CallNo) -> bool {
        self.inherited.remove(&no);
        let mut found = false;
        for (_, unheard) in self.attempts.range_mut((no, 0)..=(no, u32::MAX)) {
            unheard.is_over = true;
            found = true;
        }
        found
    }

    /// Forgets what is known to its endpoints and has rested by now; the messages that are held no more and whose key is free.
    pub(super) fn fade(&mut self, now: Ms) -> Vec<Freed> {
        self.inherited.retain(|_, until| now < *until);
        let rested = |u: &Unheard| u.rests_until.is_some_and(|until| until <= now);
        let done: Vec<_> = self.attempts.iter().filter(|(_, u)| rested(u)).map(|(name, _)| *name).collect();
        let gone: Vec<_> =
            done.into_iter().filter_map(|name| Some((name.0, self.attempts.remove(&name)?))).collect();
        let freed = gone.into_iter().filter(|(no, u)| u.is_over && self.of(*no).next().is_none());
        freed.map(|(no, u)| Freed { no, key: u.key }).collect()
    }

    /// When [`Unconfirmed::fade`] frees the next key.
    pub(super) fn next_due(&self) -> Option<Ms> {
        self.attempts.values().filter_map(|u| u.rests_until).min_by(f64::total_cmp)
    }

    fn of(&self, no: CallNo) -> impl Iterator<Item = &Unheard> {
        self.attempts.range((no, 0)..=(no, u32::MAX)).map(|(_, unheard)| unheard)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_message_has_one_until_its_wire_has_told_or_its_time_has_passed() {
        let mut all = Unconfirmed::default();
        all.insert(5, 0, Unheard::new(3, Some(9), String::new()));
        all.inherit(6, 40.0);
        assert!(all.is_of(5, 1e9) && all.is_of(6, 39.0) && !all.is_of(6, 40.0) && !all.is_of(7, 0.0));
        assert!(all.is_over(5) && !all.is_over(6) && !all.is_over(7));
        assert!(!all.is_of(6, 39.0), "its message is held no more");
        assert!(all.fade(1e9).is_empty(), "its wire has not told");
        assert_eq!(all.confirm(5, 0, 50.0).map(|u| (u.route, u.key)), Some((3, Some(9))));
        assert!(all.confirm(5, 1, 50.0).is_none());
        assert!(!all.is_of(5, 1e9), "its endpoint knows; its key rests");
        assert_eq!((all.next_due(), all.fade(49.0)), (Some(50.0), vec![]));
        assert_eq!(all.fade(50.0), [Freed { no: 5, key: Some(9) }]);
        assert!(all.next_due().is_none());
        all.inherit(8, 40.0);
        all.fade(40.0);
        assert!(all.inherited.is_empty());
    }
}
