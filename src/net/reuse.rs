//! How long a connection is not reused after a response. No I/O.
//!
//! A response in HTTP/1.1 does not name its request: it answers the oldest one on its connection. An endpoint may write
//! more than its response, such as a second copy of it, and these bytes may arrive a while later. If the next request
//! has been written by then, they are taken for its response. So the next request is written only after a delay in
//! which they would have arrived.
//!
//! Such bytes cross a request only while it is on its way, and they spread with the path. So the delay is no longer than
//! a call takes, until such bytes have been seen.

use crate::api::Ms;

/// Milliseconds after a response for which its connection is not reused, unless a call takes less.
const DELAY: Ms = 60.0;
/// Once unsolicited bytes were seen, the delay is at least this multiple of the longest span between a response and
/// them.
const DELAY_FACTOR: Ms = 2.0;
/// Bytes that arrive later than this many milliseconds after a response have another cause, such as an endpoint that
/// ends idle connections with a status.
const MAX_SEEN_DELAY: Ms = 250.0;
/// Milliseconds for which unsolicited bytes count.
const SEEN_DELAY_MEMORY: Ms = 60_000.0;

/// Maximum size, in bytes, of a response that is kept to recognize a second copy of it.
pub(super) const COPY_MAX: usize = 4 * 1024;
/// A request waits for a connection, rather than for a new one to be established, if that takes at most this share of
/// the fastest call.
const WORTHWHILE_SHARE: f64 = 0.5;

/// The wait until a connection may be reused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ReuseWait {
    /// When it is over.
    pub(super) until: Ms,
    /// The time of the fastest call on the connection, in milliseconds.
    pub(super) fastest_call: Ms,
}

impl ReuseWait {
    /// Whether a request waits, although a new connection could be established.
    pub(super) fn is_worth_it(&self, now: Ms) -> bool {
        self.until - now <= WORTHWHILE_SHARE * self.fastest_call
    }
}

/// The delay before a connection is reused; it grows with what endpoints do.
#[derive(Debug, Default)]
pub(super) struct ReuseDelay {
    /// The longest span seen lately between a response and unsolicited bytes, and until when it counts.
    longest_seen: Option<(Ms, Ms)>,
}

impl ReuseDelay {
    /// Records that unsolicited bytes arrived `after` milliseconds after a response.
    pub(super) fn unsolicited_bytes(&mut self, now: Ms, after: Ms) {
        if after > MAX_SEEN_DELAY {
            return;
        }
        let longest = self.longest_seen(now).map_or(after, |seen| seen.max(after));
        self.longest_seen = Some((longest, now + SEEN_DELAY_MEMORY));
    }

    fn longest_seen(&self, now: Ms) -> Option<Ms> {
        self.longest_seen.filter(|(_, until)| *until > now).map(|(seen, _)| seen)
    }

    /// The delay on a connection whose fastest call took `fastest_call` milliseconds.
    pub(super) fn delay(&self, now: Ms, fastest_call: Ms) -> Ms {
        match self.longest_seen(now) {
            Some(seen) => (DELAY_FACTOR * seen).max(DELAY),
            None => DELAY.min(fastest_call),
        }
    }
}

/// What the responses on one connection tell of its reuse.
#[derive(Debug, Default)]
pub(super) struct ResponseHistory {
    /// The least time, in milliseconds, in which a request was answered.
    fastest_call: Option<Ms>,
    /// When the last response was complete.
    answered_at: Ms,
    /// When the last bytes arrived: a response, or a second copy of it.
    last_input: Ms,
    /// The last response, if it is short.
    last_response: Vec<u8>,
}

impl ResponseHistory {
    /// Records a complete response to a request that took `call` milliseconds.
    pub(super) fn record(&mut self, now: Ms, call: Ms, response: Vec<u8>) {
        self.fastest_call = Some(self.fastest_call.map_or(call, |fastest| fastest.min(call)));
        self.answered_at = now;
        self.last_input = now;
        self.last_response = if response.len() <= COPY_MAX { response } else { Vec::new() };
    }

    /// Whether there was a response.
    pub(super) fn has_response(&self) -> bool {
        self.fastest_call.is_some()
    }

    /// Until when the next request may not be written: no more bytes are expected behind the last response then.
    /// `None` before the first response.
    pub(super) fn reuse_wait(&self, now: Ms, delay: &ReuseDelay) -> Option<ReuseWait> {
        let fastest_call = self.fastest_call?;
        Some(ReuseWait { until: self.last_input + delay.delay(now, fastest_call), fastest_call })
    }

    /// Handles bytes that arrived without a request. A second copy of the last response is removed from the read
    /// buffer; false if they are anything else.
    pub(super) fn discard_copy(&mut self, now: Ms, read_buf: &mut Vec<u8>, delay: &mut ReuseDelay) -> bool {
        if read_buf.is_empty() || !self.has_response() {
            return false;
        }
        delay.unsolicited_bytes(now, now - self.answered_at);
        let is_copy = *read_buf == self.last_response;
        log::debug!(bytes = read_buf.len(), after_ms = now - self.answered_at, copy = is_copy;
            "unsolicited bytes arrived behind a response");
        if is_copy {
            read_buf.clear();
            self.last_input = now;
        }
        is_copy
    }
}

#[cfg(test)]
mod tests;
