//! Attempts as endpoints see them, and detection of attempts that overlap.
//!
//! An attempt begins when the endpoint has read the last byte of its request. It ends when the endpoint is about to write its
//! answer, or when it sees that the connection has ended, whichever comes first. Nothing else ends it: what the dispatcher
//! assumes does not count, and there is no tolerance. A dispatcher that wants to avoid overlaps has to know that the endpoint
//! has seen the end.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// What ended an attempt, as its endpoint saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndedBy {
    /// The endpoint answered.
    Answer,
    /// The dispatcher shut down its write side, or the connection broke.
    Caller,
    /// The endpoint reset the connection.
    Endpoint,
}

/// One attempt to deliver a message, as its endpoint saw it.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The id of its message.
    pub id: String,
    /// When the last byte of its request was read.
    pub began_at: Instant,
    /// When and by what it was ended; `None` while it is open.
    pub ended: Option<(Instant, EndedBy)>,
    /// How its request differed from the message that was submitted, see [`crate::content`].
    pub altered: Option<String>,
}

/// Log of attempts, in the order in which they began. Clones share the log.
#[derive(Debug, Clone, Default)]
pub struct AttemptLog(Arc<Mutex<Vec<Attempt>>>);

/// Handle of an attempt in a log that has not ended yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenAttempt(usize);

impl AttemptLog {
    /// Records that the last byte of a message's request was read, and how it differed from what was submitted.
    pub fn begin(&self, id: &str, altered: Option<String>) -> OpenAttempt {
        let mut log = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        log.push(Attempt { id: id.to_string(), began_at: Instant::now(), ended: None, altered });
        OpenAttempt(log.len() - 1)
    }

    /// Records that an attempt ended; only its first end counts.
    pub fn end(&self, open: OpenAttempt, by: EndedBy) {
        let mut log = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(attempt) = log.get_mut(open.0) {
            attempt.ended.get_or_insert((Instant::now(), by));
        }
    }

    /// All attempts so far.
    pub fn all(&self) -> Vec<Attempt> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Describes the pairs of attempts that were open at the same time, among those that `group` puts into the same group; an
/// attempt without a group is ignored.
pub fn overlapping(attempts: &[Attempt], group: impl Fn(&str) -> Option<String>) -> Vec<String> {
    let mut groups: BTreeMap<String, Vec<&Attempt>> = BTreeMap::new();
    for attempt in attempts {
        if let Some(name) = group(&attempt.id) {
            groups.entry(name).or_default().push(attempt);
        }
    }
    let mut found = Vec::new();
    for mut of_group in groups.into_values() {
        of_group.sort_by_key(|a| a.began_at);
        // Of the attempts that began so far, the one that ends last.
        let mut last_to_end: Option<&Attempt> = None;
        for attempt in of_group {
            if let Some(earlier) = last_to_end.filter(|e| is_open_at(e, attempt.began_at)) {
                found.push(describe(earlier, attempt));
            }
            let ends_later =
                last_to_end.is_none_or(|e| e.ended.is_some_and(|(at, _)| is_open_at(attempt, at)));
            last_to_end = if ends_later { Some(attempt) } else { last_to_end };
        }
    }
    found
}

fn is_open_at(attempt: &Attempt, at: Instant) -> bool {
    attempt.ended.is_none_or(|(ended, _)| ended > at)
}

fn describe(earlier: &Attempt, later: &Attempt) -> String {
    let after = later.began_at.duration_since(earlier.began_at).as_secs_f64() * 1e3;
    let end = match earlier.ended {
        Some((at, by)) => {
            let overlap = at.duration_since(later.began_at).as_secs_f64() * 1e3;
            format!("ended by {by:?} {overlap:.2} ms later")
        }
        None => "never ended".to_string(),
    };
    format!("{} and {}, {after:.2} ms after it began; the first one {end}", earlier.id, later.id)
}

#[cfg(test)]
mod tests;
