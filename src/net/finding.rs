//! What the wires to endpoints find out and tell the core, whichever protocol they speak.

use super::head::Head;
use crate::api::{Ms, Outcome, RouteId};
use crate::dispatch::End;
use crate::guard::{Confirmation, Reason};
use crate::journal::CallNo;

/// A probe without an answer has failed after this.
pub(super) const PROBE_TIMEOUT: Ms = 1_500.0;

/// What a connection is busy with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Task {
    /// A delegation of a call.
    Delegation(CallNo, u32),
    /// A probe.
    Probe(RouteId),
}

/// What a worker connection found out.
#[derive(Debug, Clone, PartialEq)]
pub enum Finding {
    /// The last byte has been written.
    Written(Task),
    /// The task ended.
    Ended {
        /// Which.
        task: Task,
        /// Since its start.
        took: Ms,
        /// How.
        end: End,
    },
}

/// A task ended without an answer; one that never ran is over for its endpoint, too.
pub(super) fn ended(task: Task, outcome: Outcome, took: Ms) -> Finding {
    let confirmed = Some(Confirmation::NeverBegun).filter(|_| outcome.never_ran());
    Finding::Ended { task, took, end: End { confirmed, ..End::of(outcome) } }
}

/// A task was not written, by this rule.
pub(super) fn refused(task: Task, reason: Reason, took: Ms) -> Finding {
    let confirmed = Some(Confirmation::NeverBegun);
    let end = End { refused: Some(reason), confirmed, ..End::of(Outcome::NotSent) };
    Finding::Ended { task, took, end }
}

/// A task was answered.
pub(super) fn answered(task: Task, h: &Head, took: Ms) -> Finding {
    let (outcome, over) = match h.code {
        200 => (Outcome::Delivered, false),
        503 if h.over_slots => (Outcome::NotSent, false),
        429 | 503 => (Outcome::Refused, false),
        504 => (Outcome::NotSent, false),
        410 => (Outcome::NotSent, true),
        code => {
            log::debug!("answer {code} counts as an error");
            (Outcome::Error, false)
        }
    };
    let wait = if outcome == Outcome::Refused { h.wait } else { 0.0 };
    let confirmed = Some(Confirmation::Answered);
    let end = End { wait, report: h.report, over, heard: true, confirmed, ..End::of(outcome) };
    Finding::Ended { task, took, end }
}
