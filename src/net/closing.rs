//! Attempts that ended without a response: their end is reported to the core once the endpoint counts them as
//! ended, too. [`crate::guard`] decides which sign is awaited and for how long.

use crate::api::Ms;
use crate::dispatch::AttemptResult;
use crate::guard::{
    confirmation_deadline, confirmation_kind, deadline_after_peer_close, ClosedFirst, Confirmation,
};

/// An attempt that has ended on this side.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Closing {
    end: AttemptResult,
    /// Who ended the connection first.
    pub(super) first: ClosedFirst,
    since: Ms,
    /// From this time on the endpoint counts the attempt as ended, with or without a sign.
    pub(super) until: Ms,
    /// The endpoint has closed its side, too; nothing more arrives.
    pub(super) endpoint_closed: bool,
    /// The response was malformed; nothing but the end of the connection is read any more.
    pub(super) is_malformed: bool,
}

impl Closing {
    /// An attempt that ends at `now`.
    pub(super) fn new(now: Ms, end: AttemptResult, first: ClosedFirst) -> Closing {
        let endpoint_closed = first == ClosedFirst::Endpoint;
        Closing {
            end,
            first,
            since: now,
            until: confirmation_deadline(now),
            endpoint_closed,
            is_malformed: false,
        }
    }

    /// An attempt that this side ends at `now` because its response is malformed.
    pub(super) fn of_malformed(now: Ms, end: AttemptResult) -> Closing {
        Closing { is_malformed: true, ..Closing::new(now, end, ClosedFirst::Dispatcher) }
    }

    /// Records that the endpoint closed its side after this one did.
    pub(super) fn endpoint_closes(&mut self, now: Ms) {
        self.endpoint_closed = true;
        self.until = deadline_after_peer_close(now, self.until);
    }

    /// The end as reported at once: the slot at the endpoint is free, but the endpoint may not know yet.
    pub(super) fn pending(&self, now: Ms) -> AttemptResult {
        AttemptResult {
            confirmed_within: Some((self.until - now).max(0.0)),
            ended_at: Some(self.since),
            ..self.end.clone()
        }
    }

    /// How the endpoint knows of the end, once `until` has passed.
    pub(super) fn confirmation(&self) -> Confirmation {
        confirmation_kind(self.first, self.endpoint_closed)
    }

    /// The end, confirmed.
    pub(super) fn confirmed(&self) -> AttemptResult {
        AttemptResult { confirmed: Some(self.confirmation()), ended_at: Some(self.since), ..self.end.clone() }
    }
}
