//! Retry-afters that endpoints asked this dispatcher for, through any of its processes; no I/O, no clock.
//!
//! During an upgrade two processes serve on one state folder. A retry-after concerns the dispatcher, so it
//! binds both: each writes those that it receives to its journal and reads those that the other wrote. A
//! restart ends all retry-afters.

use super::Core;
use crate::api::{EndpointId, Ms};
use crate::journal::Record;
use std::collections::BTreeMap;

/// A retry-after that ends at most this much later than the known one is a repeat of it.
const SAME_WAIT_TOLERANCE: Ms = 1.0;

/// An active retry-after.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Wait {
    /// When this process learned of it.
    pub learned_at: Ms,
    /// Until when nothing may be sent to the endpoint.
    pub until: Ms,
}

/// The retry-after of each endpoint, by endpoint id.
#[derive(Debug, Clone, Default)]
pub struct RetryAfters {
    waits: BTreeMap<String, Wait>,
    /// Endpoints with a retry-after that the sibling process received, and that this process's list does not
    /// contain yet.
    for_unlisted: Vec<String>,
}

impl RetryAfters {
    /// Sets an endpoint's retry-after; true if it ends later than the known one.
    pub fn set(&mut self, now: Ms, uid: &str, until: Ms) -> bool {
        if self.waits.get(uid).is_some_and(|known| until <= known.until + SAME_WAIT_TOLERANCE) {
            return false;
        }
        self.waits.insert(uid.to_string(), Wait { learned_at: now, until });
        true
    }

    /// The endpoint's retry-after, if it is active.
    pub fn active(&self, now: Ms, uid: &str) -> Option<Wait> {
        self.waits.get(uid).copied().filter(|wait| wait.until > now)
    }

    /// Forgets retry-afters that are over.
    pub fn expire(&mut self, now: Ms) {
        self.waits.retain(|_, wait| wait.until > now);
    }

    /// How many retry-afters are known, and the bytes of their endpoints' ids.
    pub fn size(&self) -> (usize, usize) {
        (self.waits.len(), self.waits.keys().map(String::len).sum())
    }

    /// Records of the active retry-afters, for a compacted journal.
    pub fn records(&self, now: Ms) -> impl Iterator<Item = Record> + '_ {
        let on = self.waits.iter().filter(move |(_, wait)| wait.until > now);
        on.map(|(uid, wait)| Record::RetryAfter { endpoint: uid.clone(), until: wait.until })
    }
}

impl Core {
    /// Records a retry-after that this process received, so that a sibling process keeps it too, now or when
    /// it starts.
    pub(super) fn record_wait(&mut self, now: Ms, endpoint: EndpointId, wait: Ms) {
        let Some(uid) = self.endpoint(endpoint).map(|w| w.uid.clone()) else { return };
        if wait > 0.0 && self.waits.set(now, &uid, now + wait) {
            self.append_or_defer(&Record::RetryAfter { endpoint: uid, until: now + wait });
        }
    }

    /// Applies retry-afters received by the sibling process, or by one that has ended and left its journal.
    pub fn apply_waits(&mut self, now: Ms, records: &[Record]) {
        for record in records {
            let Record::RetryAfter { endpoint: uid, until } = record else { continue };
            if *until > now && self.waits.set(now, uid, *until) {
                log::debug!(worker = uid.as_str(), wait_ms = until - now;
                    "the sibling process recorded a retry-after");
                self.apply_wait(now, uid.clone(), *until);
            }
        }
    }

    /// The retry-after that is active for the endpoint: its own, or the longest among the endpoints that
    /// share its limit.
    pub(super) fn active_wait(&self, now: Ms, endpoint: EndpointId) -> Option<Wait> {
        let w = self.endpoint(endpoint)?;
        if self.settings.kind(w.kind).per_endpoint_limit {
            return self.waits.active(now, &w.uid);
        }
        let sharing =
            self.endpoints_of.get(&w.destination).into_iter().flatten().filter_map(|r| self.endpoint(*r));
        sharing.filter_map(|w| self.waits.active(now, &w.uid)).max_by(|a, b| a.until.total_cmp(&b.until))
    }

    fn apply_wait(&mut self, now: Ms, uid: String, until: Ms) {
        match self.endpoint_by_id.get(&uid).copied() {
            Some(endpoint) => {
                self.post_retry_after(endpoint, until - now);
                self.order_hold(endpoint);
            }
            None => self.waits.for_unlisted.push(uid),
        }
    }

    /// Applies retry-afters of endpoints that have just appeared on the list.
    pub(super) fn apply_unlisted_waits(&mut self, now: Ms) {
        for uid in std::mem::take(&mut self.waits.for_unlisted) {
            if let Some(wait) = self.waits.active(now, &uid) {
                self.apply_wait(now, uid, wait.until);
            }
        }
    }
}

#[cfg(test)]
mod tests;
