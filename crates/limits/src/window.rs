//! A sliding window that counts calls in any time span.

use crate::Ms;
use std::collections::VecDeque;

/// Number of parts of a span: a place may be freed late by one part of the span, never early. It bounds
/// the memory of a window, however many calls its span may hold.
const PARTS_PER_SPAN: f64 = 512.0;

/// A limit of calls in any time span, counted from their latest possible arrival.
#[derive(Debug, Clone, PartialEq)]
pub struct Window {
    calls: u32,
    span: Ms,
    travel: Ms,
    /// Calls that were started and whose last byte is not known to be written.
    open: u32,
    /// The calls that may have arrived, as pairs of the latest possible arrival and the number of calls,
    /// oldest first.
    arrived: VecDeque<(Ms, u32)>,
    /// Total number of calls in `arrived`.
    count: u32,
}

impl Window {
    /// At most `calls` in any `span`; a call arrives at most `travel` after its last byte was written (both
    /// in milliseconds).
    pub fn new(calls: u32, span: Ms, travel: Ms) -> Window {
        Window { calls, span, travel, open: 0, arrived: VecDeque::new(), count: 0 }
    }

    /// The number of calls that any span may hold.
    pub fn calls(&self) -> u32 {
        self.calls
    }

    /// Calls that were started and whose last byte is not known to be written.
    pub fn open(&self) -> u32 {
        self.open
    }

    /// Calls that may have arrived within the span, each with the latest possible time.
    pub fn arrived(&self) -> impl Iterator<Item = (Ms, u32)> + '_ {
        self.arrived.iter().copied()
    }

    /// The number of pairs that [`Window::arrived`] returns.
    pub fn arrivals(&self) -> usize {
        self.arrived.len()
    }

    /// Frees the places of calls whose span has passed.
    fn expire(&mut self, now: Ms) {
        while let Some((at, n)) = self.arrived.front().copied().filter(|(at, _)| at + self.span <= now) {
            debug_assert!(at.is_finite());
            self.arrived.pop_front();
            self.count -= n;
        }
    }

    /// The number of calls that may start now.
    pub fn room(&mut self, now: Ms) -> u32 {
        self.expire(now);
        self.calls.saturating_sub(self.open.saturating_add(self.count))
    }

    /// Starts a call if there is room; returns whether it did.
    pub fn take(&mut self, now: Ms) -> bool {
        let free = self.room(now) > 0;
        self.open += u32::from(free);
        free
    }

    /// The last byte of a started call has been written.
    pub fn written(&mut self, now: Ms) {
        if let Some(open) = self.open.checked_sub(1) {
            self.open = open;
            self.add(now + self.travel, 1);
        }
    }

    /// A started call ended before its last byte was written, so it never reached the destination.
    pub fn cancel(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Counts `n` calls that may have arrived up to `at`.
    pub fn add(&mut self, at: Ms, n: u32) {
        let bucket = |t: Ms| (t * PARTS_PER_SPAN / self.span.max(f64::MIN_POSITIVE)).floor();
        self.count = self.count.saturating_add(n);
        match self.arrived.back_mut() {
            // Times are in order except for restored ones; merging into a later time is the safe direction.
            Some(last) if bucket(last.0) >= bucket(at) => *last = (last.0.max(at), last.1.saturating_add(n)),
            _ => self.arrived.push_back((at, n)),
        }
    }

    /// When a call with `ahead` others before it could start, if each of those starts as soon as it may. A
    /// call that is still being written is assumed to free its place a travel time and a span from now.
    pub fn when(&mut self, now: Ms, ahead: u32) -> Ms {
        let room = self.room(now);
        if ahead < room {
            return now;
        }
        if self.calls == 0 {
            return f64::MAX;
        }
        // Whole rounds of the window pass first; the remainder waits for the places that are occupied now.
        let position = ahead - room;
        let (rounds, mut remaining) = (position / self.calls, position % self.calls);
        let later = f64::from(rounds) * (self.span + self.travel);
        // After a restart or a reduction of the limit the window may hold more than its limit.
        remaining =
            remaining.saturating_add((self.open.saturating_add(self.count)).saturating_sub(self.calls));
        for (at, n) in &self.arrived {
            match remaining.checked_sub(*n) {
                Some(left) => remaining = left,
                None => return at + self.span + later,
            }
        }
        now + self.travel + self.span + later
    }

    /// Changes the limit while calls are in the window. If the new span is longer, the time that was already
    /// forgotten is assumed to have held all the calls that the old limit allowed.
    pub fn change(&mut self, now: Ms, calls: u32, span: Ms, travel: Ms) {
        self.expire(now);
        if span > self.span {
            let spans = ((span - self.span) / self.span.max(1.0)).ceil().min(f64::from(u32::MAX)) as u32;
            let assumed = spans.saturating_mul(self.calls);
            if assumed > 0 {
                self.arrived.push_front((now - self.span, assumed));
                self.count = self.count.saturating_add(assumed);
            }
        }
        (self.calls, self.span, self.travel) = (calls, span, travel);
    }

    /// Whether the window holds no call and need not be kept.
    pub fn is_idle(&mut self, now: Ms) -> bool {
        self.expire(now);
        self.open == 0 && self.arrived.is_empty()
    }
}

#[cfg(test)]
mod tests;
