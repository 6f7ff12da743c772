//! Attempts as endpoints see them, and which of them overlap.
//!
//! An attempt begins once the last byte of its request has been read. It ends when its answer is about to be written, or when
//! the endpoint sees that its connection has ended, whichever comes first. Nothing else ends it: what the caller believes does
//! not count, and there is no tolerance. A caller that wants no overlap has to know that the endpoint has seen the end.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// What ended an attempt in its endpoint's eyes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndedBy {
    /// The endpoint answers.
    Answer,
    /// The caller ended its sending or the connection broke.
    Caller,
    /// The endpoint reset the connection.
    Endpoint,
}

/// One call of a message, as its endpoint saw it.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The id of its message.
    pub id: String,
    /// When its last byte was read.
    pub began: Instant,
    /// When and by whom it was ended; none: it is still out.
    pub ended: Option<(Instant, EndedBy)>,
}

/// The attempts of some endpoints, in the order of their beginnings.
#[derive(Debug, Clone, Default)]
pub struct AttemptLog(Arc<Mutex<Vec<Attempt>>>);

/// An attempt of a log that has not ended yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Open(usize);

impl AttemptLog {
    /// The last byte of a message's request was read.
    pub fn begin(&self, id: &str) -> Open {
        let mut log = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        log.push(Attempt { id: id.to_string(), began: Instant::now(), ended: None });
        Open(log.len() - 1)
    }

    /// An attempt ended; only its first end counts.
    pub fn end(&self, open: Open, by: EndedBy) {
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

/// Pairs of attempts that were out at once, of those that `group` gives the same group; without a group one is not judged.
pub fn overlapping(attempts: &[Attempt], group: impl Fn(&str) -> Option<String>) -> Vec<String> {
    let mut groups: BTreeMap<String, Vec<&Attempt>> = BTreeMap::new();
    for attempt in attempts {
        if let Some(name) = group(&attempt.id) {
            groups.entry(name).or_default().push(attempt);
        }
    }
    let mut found = Vec::new();
    for mut of_group in groups.into_values() {
        of_group.sort_by_key(|a| a.began);
        // The one that is out for the longest of those that began so far.
        let mut longest: Option<&Attempt> = None;
        for attempt in of_group {
            if let Some(earlier) = longest.filter(|e| is_out_at(e, attempt.began)) {
                found.push(describe(earlier, attempt));
            }
            let outlasts = longest.is_none_or(|e| e.ended.is_some_and(|(at, _)| is_out_at(attempt, at)));
            longest = if outlasts { Some(attempt) } else { longest };
        }
    }
    found
}

fn is_out_at(attempt: &Attempt, at: Instant) -> bool {
    attempt.ended.is_none_or(|(ended, _)| ended > at)
}

fn describe(earlier: &Attempt, later: &Attempt) -> String {
    let after = later.began.duration_since(earlier.began).as_secs_f64() * 1e3;
    let end = match earlier.ended {
        Some((at, by)) => {
            let over = at.duration_since(later.began).as_secs_f64() * 1e3;
            format!("ended by {by:?} {over:.2} ms later")
        }
        None => "never ended".to_string(),
    };
    format!("{} and {}, {after:.2} ms after it began; the first one {end}", earlier.id, later.id)
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    /// Guards against a judge that passes over a pair, however short its overlap and whichever of the two began first.
    #[test]
    fn every_pair_that_was_out_at_once_is_found() {
        let start = Instant::now();
        let at = |us: u64| start + Duration::from_micros(us);
        let attempt = |id: &str, from: u64, to: Option<u64>| Attempt {
            id: id.into(),
            began: at(from),
            ended: to.map(|to| (at(to), EndedBy::Caller)),
        };
        let judge = |all: &[Attempt]| overlapping(all, |id| Some(id.to_string())).len();
        let first = attempt("a", 0, Some(1_000));
        assert_eq!(judge(&[first.clone(), attempt("a", 1_000, Some(2_000))]), 0, "one behind the other");
        assert_eq!(judge(&[first.clone(), attempt("a", 999, Some(2_000))]), 1, "by a microsecond");
        assert_eq!(judge(&[attempt("a", 1_001, Some(1_002)), first.clone()]), 0, "in any order of the log");
        // Given up, and reaching its endpoint behind the one that followed it.
        assert_eq!(judge(&[attempt("a", 10, Some(11)), first.clone()]), 1);
        assert_eq!(judge(&[attempt("a", 0, None), attempt("a", 9_000, Some(9_001))]), 1, "never ended");
        let three = [attempt("a", 0, Some(9)), attempt("a", 1, Some(2)), attempt("a", 5, Some(6))];
        assert_eq!(judge(&three), 2, "the longest counts, not the last");
        assert_eq!(judge(&[first.clone(), attempt("b", 10, Some(20))]), 0, "another message");
        let key = |_: &str| Some("key".to_string());
        assert_eq!(overlapping(&[first.clone(), attempt("b", 10, Some(20))], key).len(), 1, "of one key");
        assert_eq!(overlapping(&[first.clone(), first], |_| None).len(), 0, "not judged");
    }
}
