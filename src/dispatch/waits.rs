//! Waits that endpoints told this dispatcher, by whichever of its processes; no I/O, no clock.
//!
//! During an upgrade two processes serve on one folder. A wait was told to the dispatcher, so it binds both: each writes the
//! waits that it is told to its journal and reads those that the other one wrote. A restart ends all waits.

use super::Core;
use crate::api::{Ms, RouteId};
use crate::journal::Record;
use std::collections::BTreeMap;

/// A wait that ends this much later than the one that is known already is the same one, told again.
const SAME: Ms = 1.0;

/// A wait that is on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Wait {
    /// When this process was told.
    pub told: Ms,
    /// Until when nothing may go there.
    pub until: Ms,
}

/// The wait of each endpoint, by its id.
#[derive(Debug, Clone, Default)]
pub struct Waits {
    waits: BTreeMap<String, Wait>,
    /// Told to the other process by endpoints that this one's list does not name yet.
    unknown: Vec<String>,
}

impl Waits {
    /// An endpoint told a wait; true if it ends later than what is known.
    pub fn told(&mut self, now: Ms, worker: &str, until: Ms) -> bool {
        if self.waits.get(worker).is_some_and(|known| until <= known.until + SAME) {
            return false;
        }
        self.waits.insert(worker.to_string(), Wait { told: now, until });
        true
    }

    /// The wait of this endpoint, if it is on.
    pub fn on(&self, now: Ms, worker: &str) -> Option<Wait> {
        self.waits.get(worker).copied().filter(|wait| wait.until > now)
    }

    /// Forgets those that are over.
    pub fn fade(&mut self, now: Ms) {
        self.waits.retain(|_, wait| wait.until > now);
    }

    /// Records of those that are on, for a journal that is written anew.
    pub fn records(&self, now: Ms) -> impl Iterator<Item = Record> + '_ {
        let on = self.waits.iter().filter(move |(_, wait)| wait.until > now);
        on.map(|(worker, wait)| Record::Wait { worker: worker.clone(), until: wait.until })
    }
}

impl Core {
    /// An endpoint told this process a wait: the other one, if there is one or comes one, is to keep it too.
    pub(super) fn note_wait(&mut self, now: Ms, route: RouteId, wait: Ms) {
        let Some(worker) = self.worker(route).map(|w| w.uid.clone()) else { return };
        if wait > 0.0 && self.waits.told(now, &worker, now + wait) {
            self.note(&Record::Wait { worker, until: now + wait });
        }
    }

    /// Waits that were told to the process beside this one, or to one that has ended and left its journal.
    pub fn apply_waits(&mut self, now: Ms, records: &[Record]) {
        for record in records {
            let Record::Wait { worker, until } = record else { continue };
            if *until > now && self.waits.told(now, worker, *until) {
                log::debug!(worker = worker.as_str(), wait_ms = until - now; "the process beside was told a wait");
                self.apply_wait(now, worker.clone(), *until);
            }
        }
    }

    /// The wait that is on at the route: its own, or one of what it shares its limit with.
    pub(super) fn wait_on(&self, now: Ms, route: RouteId) -> Option<Wait> {
        let w = self.worker(route)?;
        if self.settings.kind(w.kind).apart {
            return self.waits.on(now, &w.uid);
        }
        let sharing = self.routes_of.get(&w.dest).into_iter().flatten().filter_map(|r| self.worker(*r));
        sharing.filter_map(|w| self.waits.on(now, &w.uid)).max_by(|a, b| a.until.total_cmp(&b.until))
    }

    fn apply_wait(&mut self, now: Ms, worker: String, until: Ms) {
        match self.worker_of.get(&worker).copied() {
            Some(route) => {
                self.post_wait(route, until - now);
                self.hold(route);
            }
            None => self.waits.unknown.push(worker),
        }
    }

    /// The list names endpoints that it did not name before.
    pub(super) fn apply_unknown_waits(&mut self, now: Ms) {
        for worker in std::mem::take(&mut self.waits.unknown) {
            if let Some(wait) = self.waits.on(now, &worker) {
                self.apply_wait(now, worker, wait.until);
            }
        }
    }

    /// Reads what the process beside this one was told since the last look.
    pub fn apply_waits_of_other_process(&mut self, now: Ms) {
        let records = self.journal.other_waits();
        self.apply_waits(now, &records);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_longest_wait_of_an_endpoint_counts_and_ends() {
        let mut waits = Waits::default();
        assert!(waits.told(1.0, "w", 500.0));
        assert!(!waits.told(2.0, "w", 300.0) && !waits.told(2.0, "w", 500.5), "shorter, or told again");
        assert!(waits.told(3.0, "w", 900.0));
        assert_eq!((waits.on(3.0, "w"), waits.on(3.0, "x")), (Some(Wait { told: 3.0, until: 900.0 }), None));
        assert_eq!(waits.records(899.0).count(), 1);
        waits.fade(900.0);
        assert_eq!((waits.on(0.0, "w"), waits.records(0.0).count()), (None, 0));
    }
}
