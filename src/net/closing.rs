//! Attempts that ended without an answer: they are told to the core once their endpoint counts them as over, too. What is
//! waited for, and for how long, is decided by [`crate::guard`].

use crate::api::Ms;
use crate::dispatch::End;
use crate::guard::{Confirmation, EndedFirst, CONFIRM_CROSSED, CONFIRM_MOST};

/// An attempt that has ended here.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Closing {
    end: End,
    /// Who ended the connection first.
    pub(super) first: EndedFirst,
    since: Ms,
    /// Then its endpoint counts it as over, with or without a sign.
    pub(super) until: Ms,
    /// The endpoint has ended its side, too: nothing more comes.
    pub(super) is_ended: bool,
}

impl Closing {
    /// An attempt that this side ends now.
    pub(super) fn by_dispatcher(now: Ms, end: End) -> Closing {
        let first = EndedFirst::Dispatcher;
        Closing { end, first, since: now, until: now + CONFIRM_MOST, is_ended: false }
    }

    /// An attempt that its endpoint has ended now.
    pub(super) fn by_endpoint(now: Ms, end: End) -> Closing {
        Closing { first: EndedFirst::Endpoint, is_ended: true, ..Closing::by_dispatcher(now, end) }
    }

    /// The endpoint ends its side behind this one.
    pub(super) fn endpoint_ends(&mut self, now: Ms) {
        self.is_ended = true;
        self.until = self.until.min(now + CONFIRM_CROSSED);
    }

    /// Its end as it is told at once: the slot at the endpoint is free, but the endpoint may not know yet.
    pub(super) fn pending(&self, now: Ms) -> End {
        End { pending: Some((self.until - now).max(0.0)), at: Some(self.since), ..self.end.clone() }
    }

    /// How its endpoint knows, once its time is over.
    pub(super) fn confirmation(&self) -> Confirmation {
        match self.first {
            EndedFirst::Dispatcher if self.is_ended => Confirmation::EndedByEndpoint,
            _ => Confirmation::TimedOut,
        }
    }

    /// Its end, confirmed.
    pub(super) fn confirmed(&self) -> End {
        End { confirmed: Some(self.confirmation()), at: Some(self.since), ..self.end.clone() }
    }
}
