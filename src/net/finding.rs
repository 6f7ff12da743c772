//! What connections to endpoints report to the core, whichever protocol they use.

use super::head::Head;
use crate::api::{EndpointId, Ms, Outcome};
use crate::dispatch::AttemptResult;
use crate::guard::{Confirmation, Reason};
use crate::journal::MessageNo;

/// Milliseconds after which a probe without a response has failed.
pub(super) const PROBE_TIMEOUT: Ms = 1_500.0;

/// The work that a connection carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// An attempt: number of the message and of the attempt.
    Delegation(MessageNo, u32),
    /// A probe of an endpoint.
    Probe(EndpointId),
}

/// An event on a connection to an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointEvent {
    /// The last byte of the request has been written.
    Written(RequestKind),
    /// The task has ended.
    Ended {
        /// The task.
        task: RequestKind,
        /// Milliseconds since its start.
        elapsed: Ms,
        /// How it ended.
        result: AttemptResult,
    },
}

/// A task ended without a response; one that never ran counts as ended at its endpoint, too.
pub(super) fn ended(task: RequestKind, outcome: Outcome, took: Ms) -> EndpointEvent {
    let confirmed = Some(Confirmation::NotWritten).filter(|_| outcome.never_ran());
    EndpointEvent::Ended {
        task,
        elapsed: took,
        result: AttemptResult { confirmed, ..AttemptResult::new(outcome) },
    }
}

/// A task was not written because of this rule.
pub(super) fn refused(task: RequestKind, reason: Reason, took: Ms) -> EndpointEvent {
    let confirmed = Some(Confirmation::NotWritten);
    let end =
        AttemptResult { blocked_by_rule: Some(reason), confirmed, ..AttemptResult::new(Outcome::NotSent) };
    EndpointEvent::Ended { task, elapsed: took, result: end }
}

/// A task got a response.
pub(super) fn answered(task: RequestKind, h: &Head, took: Ms) -> EndpointEvent {
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
    let end = AttemptResult {
        retry_after: wait,
        report: h.report,
        message_over: over,
        answer_begun: true,
        confirmed,
        ..AttemptResult::new(outcome)
    };
    EndpointEvent::Ended { task, elapsed: took, result: end }
}
