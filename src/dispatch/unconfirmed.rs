//! Attempts that have ended here while their endpoints may not know yet: their messages are sent nowhere
//! else, and the next messages of their keys wait.
//!
//! Most attempts stay outstanding until their connection has reported that the endpoint counts them as over.
//! The attempts kept here could not wait for that: the endpoint itself ended the connection, the message
//! reached its deadline, it went to another dispatcher, or the process that had sent it has ended.

use crate::api::{EndpointId, Ms};
use crate::journal::MessageNo;
use std::collections::BTreeMap;

/// An attempt that has ended here while its endpoint may not know yet.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct UnconfirmedAttempt {
    /// The endpoint that it was sent to.
    pub(super) route: EndpointId,
    /// The ordering key of its message, in ordered classes.
    pub(super) key: Option<u64>,
    /// The tenant of its message.
    pub(super) tenant: String,
    /// Its message is not held any more; the key is released once the attempt is confirmed.
    message_ended: bool,
    /// From when on its endpoint knows; `None` until its connection reports it.
    confirmed_at: Option<Ms>,
    /// How long the quiet period of its key lasts after that.
    quiet: Ms,
}

impl UnconfirmedAttempt {
    /// An attempt of a message that is held.
    pub(super) fn new(route: EndpointId, key: Option<u64>, tenant: String) -> UnconfirmedAttempt {
        UnconfirmedAttempt { route, key, tenant, ..UnconfirmedAttempt::default() }
    }

    fn is_confirmed(&self, now: Ms) -> bool {
        self.confirmed_at.is_some_and(|at| at <= now)
    }

    /// When its endpoint knows and the quiet period of its key is over.
    fn done_at(&self) -> Option<Ms> {
        self.confirmed_at.map(|at| at + self.quiet)
    }
}

/// A message whose key is released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ReleasedKey {
    pub(super) no: MessageNo,
    pub(super) key: Option<u64>,
}

/// Stands for the attempt that another process had outstanding; there can be only one.
const INHERITED: u32 = u32::MAX;

/// All such attempts, by message and attempt.
#[derive(Debug, Default)]
pub(super) struct UnconfirmedAttempts(BTreeMap<(MessageNo, u32), UnconfirmedAttempt>);

impl UnconfirmedAttempts {
    /// Adds an attempt that was booked as ended; its connection will report when the endpoint knows.
    pub(super) fn insert(&mut self, no: MessageNo, attempt: u32, unconfirmed: UnconfirmedAttempt) {
        self.0.insert((no, attempt), unconfirmed);
    }

    /// Adds an attempt that an ended process had outstanding; its endpoint knows of the end at
    /// `confirmed_at`, and the quiet period of its key follows.
    pub(super) fn inherit(&mut self, no: MessageNo, key: Option<u64>, confirmed_at: Ms, quiet: Ms) {
        let confirmed_at = Some(confirmed_at);
        self.0.insert(
            (no, INHERITED),
            UnconfirmedAttempt { key, confirmed_at, quiet, ..UnconfirmedAttempt::default() },
        );
    }

    /// The connection reports now that the endpoint knows, and the quiet period begins; `None` if no such
    /// attempt is kept here.
    pub(super) fn confirm(
        &mut self,
        now: Ms,
        no: MessageNo,
        attempt: u32,
        quiet: Ms,
    ) -> Option<UnconfirmedAttempt> {
        let unconfirmed = self.0.get_mut(&(no, attempt))?;
        if unconfirmed.confirmed_at.is_none() {
            (unconfirmed.confirmed_at, unconfirmed.quiet) = (Some(now), quiet);
        }
        Some(unconfirmed.clone())
    }

    /// Whether the message has an attempt whose endpoint may not know of its end.
    pub(super) fn has_unconfirmed(&self, no: MessageNo, now: Ms) -> bool {
        self.0.range((no, 0)..=(no, u32::MAX)).any(|(_, unconfirmed)| !unconfirmed.is_confirmed(now))
    }

    /// Its message is not held any more. True if the key has to wait all the same.
    pub(super) fn end_message(&mut self, no: MessageNo) -> bool {
        let mut found = false;
        for (_, unconfirmed) in self.0.range_mut((no, 0)..=(no, u32::MAX)) {
            unconfirmed.message_ended = true;
            found = true;
        }
        found
    }

    /// Forgets the attempts whose endpoint knows and whose quiet period is over; returns the messages that
    /// are not held any more and whose key is released.
    pub(super) fn remove_finished(&mut self, now: Ms) -> Vec<ReleasedKey> {
        let is_done = |u: &UnconfirmedAttempt| u.done_at().is_some_and(|at| at <= now);
        let done: Vec<_> = self.0.iter().filter(|(_, u)| is_done(u)).map(|(name, _)| *name).collect();
        let mut released = Vec::new();
        for (no, attempt) in done {
            let Some(unconfirmed) = self.0.remove(&(no, attempt)) else { continue };
            let is_last = self.0.range((no, 0)..=(no, u32::MAX)).next().is_none();
            if unconfirmed.message_ended && is_last {
                released.push(ReleasedKey { no, key: unconfirmed.key });
            }
        }
        released
    }

    /// When [`UnconfirmedAttempts::remove_finished`] next has something to do.
    pub(super) fn next_due(&self) -> Option<Ms> {
        self.0.values().filter_map(UnconfirmedAttempt::done_at).min_by(f64::total_cmp)
    }
}

#[cfg(test)]
mod tests;
