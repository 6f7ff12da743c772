//! The count of calls in any span.

use crate::Ms;
use std::collections::VecDeque;

/// A span is kept in so many parts: a call's place may come back later by that part of the span, never sooner. Bounds
/// what a window needs, however many calls its span may hold.
const PARTS: f64 = 512.0;

/// So many calls in any span, counted from their latest possible arrival.
#[derive(Debug, Clone, PartialEq)]
pub struct Window {
    calls: u32,
    span: Ms,
    travel: Ms,
    /// Started, and their last byte not known to be out.
    open: u32,
    /// By the latest moment at which they can have arrived, oldest first; how many.
    arrived: VecDeque<(Ms, u32)>,
    /// Calls in `arrived`.
    count: u32,
}

impl Window {
    /// At most `calls` in any `span`; a call arrives at most `travel` after its last byte was written (milliseconds).
    pub fn new(calls: u32, span: Ms, travel: Ms) -> Window {
        Window { calls, span, travel, open: 0, arrived: VecDeque::new(), count: 0 }
    }

    /// Calls that any span may hold.
    pub fn calls(&self) -> u32 {
        self.calls
    }

    /// Calls that were started and whose last byte is not known to be out.
    pub fn open(&self) -> u32 {
        self.open
    }

    /// Calls that have arrived within the span, as far as can be told, with the latest moment of each.
    pub fn arrived(&self) -> impl Iterator<Item = (Ms, u32)> + '_ {
        self.arrived.iter().copied()
    }

    /// Gives places back whose span is over.
    fn pass(&mut self, now: Ms) {
        while let Some((at, n)) = self.arrived.front().copied().filter(|(at, _)| at + self.span <= now) {
            debug_assert!(at.is_finite());
            self.arrived.pop_front();
            self.count -= n;
        }
    }

    /// How many calls may start now.
    pub fn room(&mut self, now: Ms) -> u32 {
        self.pass(now);
        self.calls.saturating_sub(self.open.saturating_add(self.count))
    }

    /// Starts a call if there is a place for it.
    pub fn take(&mut self, now: Ms) -> bool {
        let free = self.room(now) > 0;
        self.open += u32::from(free);
        free
    }

    /// The last byte of a started call is out.
    pub fn written(&mut self, now: Ms) {
        if let Some(open) = self.open.checked_sub(1) {
            self.open = open;
            self.add(now + self.travel, 1);
        }
    }

    /// A started call ended before its last byte was out: it never was one.
    pub fn give_back(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Counts calls that can have arrived up to that moment.
    pub fn add(&mut self, at: Ms, n: u32) {
        let part = |t: Ms| (t * PARTS / self.span.max(f64::MIN_POSITIVE)).floor();
        self.count = self.count.saturating_add(n);
        match self.arrived.back_mut() {
            // Times come in order but for what a restart hands over; a later moment is the careful one.
            Some(last) if part(last.0) >= part(at) => *last = (last.0.max(at), last.1.saturating_add(n)),
            _ => self.arrived.push_back((at, n)),
        }
    }

    /// When a call could start that has `ahead` others before it, if each of those goes as soon as it may. A place that
    /// is held by a call still being written is taken to come back a travel and a span from now.
    pub fn when(&mut self, now: Ms, ahead: u32) -> Ms {
        let room = self.room(now);
        if ahead < room {
            return now;
        }
        if self.calls == 0 {
            return f64::MAX;
        }
        // Whole rounds of the window go by first; the rest waits for the places of those that are in it now.
        let turn = ahead - room;
        let (rounds, mut rest) = (turn / self.calls, turn % self.calls);
        let later = f64::from(rounds) * (self.span + self.travel);
        // After a restart or a cut of the promise there may be more in it than it holds.
        rest = rest.saturating_add((self.open.saturating_add(self.count)).saturating_sub(self.calls));
        for (at, n) in &self.arrived {
            match rest.checked_sub(*n) {
                Some(left) => rest = left,
                None => return at + self.span + later,
            }
        }
        now + self.travel + self.span + later
    }

    /// The promise changes while calls are in the window. Where the new span is longer, what has been forgotten since
    /// is taken to have been all that the old promise allowed.
    pub fn change(&mut self, now: Ms, calls: u32, span: Ms, travel: Ms) {
        self.pass(now);
        if span > self.span {
            let spans = ((span - self.span) / self.span.max(1.0)).ceil().min(f64::from(u32::MAX)) as u32;
            let unknown = spans.saturating_mul(self.calls);
            if unknown > 0 {
                self.arrived.push_front((now - self.span, unknown));
                self.count = self.count.saturating_add(unknown);
            }
        }
        (self.calls, self.span, self.travel) = (calls, span, travel);
    }

    /// Nothing is in it: it need not be kept.
    pub fn is_idle(&mut self, now: Ms) -> bool {
        self.pass(now);
        self.open == 0 && self.arrived.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a place that comes back while its call can still count at the member.
    #[test]
    fn a_place_comes_back_a_span_after_the_latest_arrival() {
        let mut w = Window::new(2, 1_000.0, 50.0);
        assert!(w.take(0.0) && w.take(0.0) && !w.take(0.0));
        w.written(100.0);
        assert_eq!((w.room(1_149.0), w.when(1_149.0, 0)), (0, 1_150.0));
        assert_eq!(w.room(1_150.0), 1);
        // The other one is still being written: its place stays taken.
        assert!(w.take(1_150.0) && !w.take(60_000.0));
        w.give_back();
        assert!(w.take(60_000.0));
    }

    #[test]
    fn the_wait_counts_those_ahead_and_whole_rounds() {
        let mut w = Window::new(2, 1_000.0, 0.0);
        for t in [0.0, 400.0] {
            assert!(w.take(t));
            w.written(t);
        }
        let waits = [0, 1, 2, 3, 5].map(|ahead| w.when(500.0, ahead));
        assert_eq!(waits, [1_000.0, 1_400.0, 2_000.0, 2_400.0, 3_400.0]);
        assert_eq!(Window::new(0, 1.0, 0.0).when(0.0, 0), f64::MAX);
    }

    /// Guards against memory that grows with the limit: a million calls in an hour.
    #[test]
    fn a_large_window_stays_small_and_careful() {
        let mut w = Window::new(1_000_000, 3_600_000.0, 10.0);
        for n in 0..200_000 {
            let now = f64::from(n) * 18.0;
            assert!(w.take(now));
            w.written(now);
        }
        assert!(w.arrived.len() <= 514, "{}", w.arrived.len());
        assert!(w.when(3_600_000.0, 900_000) >= 3_600_000.0);
    }

    #[test]
    fn a_longer_span_takes_the_forgotten_past_for_full() {
        let mut w = Window::new(3, 1_000.0, 0.0);
        w.change(10_000.0, 9, 3_000.0, 0.0);
        assert_eq!(w.room(10_000.0), 3);
        assert_eq!(w.room(12_000.0), 9);
        w.change(12_000.0, 1, 3_000.0, 0.0);
        assert_eq!(w.room(12_000.0), 1);
    }
}
