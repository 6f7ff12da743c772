//! Attempts that ended without an answer: they are told to the core once their endpoint counts them as over, too. What is
//! waited for, and for how long, is decided by [`crate::guard`].

use crate::api::Ms;
use crate::dispatch::End;
use crate::guard::{Confirmation, EndedFirst, CONFIRM_MOST};

/// An attempt that has ended here.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Closing {
    end: End,
    /// Who ended the connection first.
    pub(super) first: EndedFirst,
    since: Ms,
    /// Then its endpoint counts it as over, with or without a sign.
    pub(super) until: Ms,
}

impl Closing {
    /// An attempt that ends now.
    pub(super) fn new(now: Ms, end: End, first: EndedFirst) -> Closing {
        Closing { end, first, since: now, until: now + CONFIRM_MOST }
    }

    /// Its end, confirmed so.
    pub(super) fn confirmed(&self, how: Confirmation) -> End {
        End { confirmed: Some(how), at: Some(self.since), ..self.end.clone() }
    }
}
