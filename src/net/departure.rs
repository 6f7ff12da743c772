//! Whether a client has left before its request is taken on. One rule for all front ends; no I/O.
//!
//! The end of a client's sending does not tell whether it still reads: a client that has closed its connection looks
//! like one that has ended its sending and waits for answers. Only bytes that are written to it make the difference,
//! as a closed connection is reset by them. So where a client is likely to have left, its next request is refused,
//! which is harmless, and the others wait until a reset would have arrived.

use crate::api::Ms;

/// Milliseconds after an answer within which the reset of a closed connection arrives.
const RESET_WITHIN: Ms = 100.0;
/// A process that was held up for this many milliseconds has made its clients wait for longer than they do.
const CLIENT_PATIENCE: Ms = 400.0;
/// Milliseconds after such a delay in which what has piled up is read.
const CATCH_UP_SPAN: Ms = 250.0;

/// What is known of the other side's sending, whether or not its last bytes were read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerSending {
    /// It may send more.
    Open,
    /// It has ended its sending; it may still read.
    Ended,
    /// The connection is reset or closed in both directions.
    Broken,
}

/// What is to be done with a client's next request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Presence {
    /// The request is taken on.
    Present,
    /// The request is refused, which shows whether the client still reads.
    Doubtful,
    /// The request waits until this time for a reset of the connection.
    WaitUntil(Ms),
    /// Nothing more is taken on.
    Left,
}

/// The end of a client's sending, and the first answer written since.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SendingEnd {
    seen: bool,
    answered_at: Option<Ms>,
}

impl SendingEnd {
    /// Records that the client has ended its sending.
    pub fn record_end(&mut self) {
        self.seen = true;
    }

    /// Records that an answer was written.
    pub fn record_answer(&mut self, now: Ms) {
        if self.seen {
            self.answered_at.get_or_insert(now);
        }
    }

    /// Until when requests wait for a reset of the connection.
    pub fn wait_until(&self, now: Ms) -> Option<Ms> {
        self.answered_at.map(|at| at + RESET_WITHIN).filter(|until| *until > now)
    }

    /// Whether the client is there for its next request. `has_more`: more input follows the request.
    /// `was_delayed`: this process was held up lately.
    pub fn presence(&self, now: Ms, sending: PeerSending, has_more: bool, was_delayed: bool) -> Presence {
        if sending == PeerSending::Broken {
            return Presence::Left;
        }
        if sending == PeerSending::Open && !self.seen {
            return Presence::Present;
        }
        match (self.answered_at, self.wait_until(now)) {
            (_, Some(until)) => Presence::WaitUntil(until),
            (Some(_), None) => Presence::Present,
            (None, None) if has_more || was_delayed => Presence::Doubtful,
            (None, None) => Presence::Present,
        }
    }
}

/// Notices when the process was held up: it was stopped, or a turn took long.
#[derive(Debug, Clone, Copy, Default)]
pub struct DelayDetector {
    delayed_until: Ms,
}

impl DelayDetector {
    /// Records that the event loop goes on at `now`, `late` milliseconds later than it had to.
    pub fn record(&mut self, now: Ms, late: Ms) {
        if late >= CLIENT_PATIENCE {
            self.delayed_until = now + CATCH_UP_SPAN;
        }
    }

    /// Whether the process was held up lately.
    pub fn was_delayed(&self, now: Ms) -> bool {
        now < self.delayed_until
    }
}

#[cfg(test)]
mod tests;
