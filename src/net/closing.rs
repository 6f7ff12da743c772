//! Attempts that ended without an answer: they are told to the core once their endpoint counts them as over, too. What is
//! waited for, and for how long, is decided by [`crate::guard`].

use crate::api::Ms;
use crate::dispatch::End;
use crate::guard::{confirmation, confirmed_behind, confirmed_by, Confirmation, EndedFirst};

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
    /// Its answer was spoilt: nothing is read of it any more but its end.
    pub(super) is_spoilt: bool,
}

impl Closing {
    /// An attempt that ends now.
    pub(super) fn new(now: Ms, end: End, first: EndedFirst) -> Closing {
        let is_ended = first == EndedFirst::Endpoint;
        Closing { end, first, since: now, until: confirmed_by(now), is_ended, is_spoilt: false }
    }

    /// The same, ended by this side since its answer is spoilt.
    pub(super) fn of_spoilt(now: Ms, end: End) -> Closing {
        Closing { is_spoilt: true, ..Closing::new(now, end, EndedFirst::Dispatcher) }
    }

    /// The endpoint ends its side behind this one.
    pub(super) fn endpoint_ends(&mut self, now: Ms) {
        self.is_ended = true;
        self.until = confirmed_behind(now, self.until);
    }

    /// Its end as it is told at once: the slot at the endpoint is free, but the endpoint may not know yet.
    pub(super) fn pending(&self, now: Ms) -> End {
        End { pending: Some((self.until - now).max(0.0)), at: Some(self.since), ..self.end.clone() }
    }

    /// How its endpoint knows, once its time is over.
    pub(super) fn confirmation(&self) -> Confirmation {
        confirmation(self.first, self.is_ended)
    }

    /// Its end, confirmed.
    pub(super) fn confirmed(&self) -> End {
        End { confirmed: Some(self.confirmation()), at: Some(self.since), ..self.end.clone() }
    }
}
