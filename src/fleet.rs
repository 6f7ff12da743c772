//! What a sender may take for itself as one of many that share destinations and cannot talk to each other.
//!
//! Plain rules: evidence goes in, a span or a rate comes out; no clock, no randomness of its own.

use crate::api::*;

/// Rounds of refused connections in a row after which a route is taken for shut.
pub(crate) const FULL_ROUNDS: u32 = 6;

/// A refusal at the door: the table of connections is full, or the process takes none. Where answers tell of the limit, a
/// call that met the limit is told of it even as it is refused; one that was turned away on a new connection without a
/// word of it never got so far, and says nothing of the limit.
pub(crate) fn at_the_door(reports: bool, fresh: bool, e: &Ended) -> bool {
    let silent = e.report.limit.is_none() && e.report.left.is_none();
    reports && fresh && silent && e.wait <= 0.0 && e.outcome == Outcome::Refused
}

/// How long to stay away from a full table: places in it come free as calls end, so about as long as a call takes, longer
/// with each refusal in a row, and nobody at the same moment (full jitter over half of it and more).
pub(crate) fn door_rest(call: Ms, row: u32, most: Ms, draw: f64) -> Ms {
    (call * f64::from(1u32 << row.min(8))).min(most) * (0.5 + draw)
}

/// Did the connection fail a call? `None`: the outcome says nothing of it. One that broke within its answer was not dropped
/// while it was idle.
pub(crate) fn on_a_link(e: &Ended, watchdog: bool) -> Option<f64> {
    match e.outcome {
        Outcome::Reset if e.heard => Some(0.0),
        Outcome::NotSent | Outcome::NoConnection => None,
        Outcome::Late if watchdog => None,
        Outcome::Reset | Outcome::Late | Outcome::Cancelled => Some(1.0),
        Outcome::Delivered | Outcome::Error | Outcome::Refused => Some(0.0),
    }
}
