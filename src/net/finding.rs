//! What connections to endpoints report to the core, whichever protocol they use.

use super::head::Head;
use crate::api::{Ms, Outcome, RouteId};
use crate::dispatch::End;
use crate::guard::{Confirmation, Reason};
use crate::journal::CallNo;

/// Milliseconds after which a probe without a response has failed.
pub(super) const PROBE_TIMEOUT: Ms = 1_500.0;

/// The work that a connection carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Task {
    /// An attempt: number of the message and of the attempt.
    Delegation(CallNo, u32),
    /// A probe of an endpoint.
    Probe(RouteId),
}

/// An event on a connection to an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub enum Finding {
    /// The last byte of the request has been written.
    Written(Task),
    /// The task has ended.
    Ended {
        /// The task.
        task: Task,
        /// Milliseconds since its start.
        took: Ms,
        /// How it ended.
        end: End,
    },
}

/// A task ended without a response; one that never ran counts as ended at its endpoint, too.
pub(super) fn ended(task: Task, outcome: Outcome, took: Ms) -> Finding {
    let confirmed = Some(Confirmation::NeverBegun).filter(|_| outcome.never_ran());
    Finding::Ended { task, took, end: End { confirmed, ..End::of(outcome) } }
}

/// A task was not written because of this rule.
pub(super) fn refused(task: Task, reason: Reason, took: Ms) -> Finding {
    let confirmed = Some(Confirmation::NeverBegun);
    let end = End { refused: Some(reason), confirmed, ..End::of(Outcome::NotSent) };
    Finding::Ended { task, took, end }
}

/// A task got a response.
pub(super) fn answered(task: Task, h: &Head, took: Ms) -> Finding {
    let (outcome, over) = match h.code {
        200 => (Outcome::Delivered, false),
        503 if h.over_slots => (Outcome::NotSent, false),
        429 | 503 => (Outcome::Refused, false),
        504 => (Outcome::NotSent, false),
        410 => (Outcome::NotSent, true),
        code => {
            log::debug!("status {code} counts as an error");
            (Outcome::Error, false)
        }
    };
    let wait = if outcome == Outcome::Refused { h.wait } else { 0.0 };
    let confirmed = Some(Confirmation::Answered);
    let end = End { wait, report: h.report, over, heard: true, confirmed, ..End::of(outcome) };
    Finding::Ended { task, took, end }
}
