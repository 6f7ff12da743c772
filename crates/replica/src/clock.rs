//! A hybrid logical clock: timestamps whose order all dispatchers agree on, although their wall clocks
//! differ.
//!
//! A timestamp is the largest wall clock time that its writer had seen, a counter for timestamps within one
//! millisecond, and the writer's name, which breaks ties. When two operators set and lift a block of one
//! endpoint on two dispatchers at once, the outcome is the same everywhere. An operator order given after an
//! earlier one was received wins, whatever the wall clocks show.

use crate::Ms;

/// How far a peer's clock may be ahead. A timestamp beyond that is invalid and does not advance the clock.
pub const MAX_AHEAD_MS: Ms = 60_000;

/// A timestamp in an order that all dispatchers agree on.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Timestamp {
    /// The largest wall clock time that its writer had seen, in milliseconds since 1970.
    pub wall: Ms,
    /// Counts timestamps with the same wall clock time.
    pub count: u32,
    /// The name of the dispatcher that wrote it.
    pub writer: String,
}

/// The clock of one dispatcher.
#[derive(Debug, Clone)]
pub struct HybridClock {
    last: Timestamp,
}

impl HybridClock {
    /// Creates the clock of the dispatcher with this name.
    pub fn new(name: &str) -> HybridClock {
        HybridClock { last: Timestamp { writer: name.into(), ..Timestamp::default() } }
    }

    /// A timestamp for an event now, later than all timestamps observed so far.
    pub fn tick(&mut self, now: Ms) -> Timestamp {
        if now > self.last.wall {
            (self.last.wall, self.last.count) = (now, 0);
        } else {
            self.last.count = self.last.count.saturating_add(1);
        }
        self.last.clone()
    }

    /// Observes a peer's timestamp: later timestamps of this clock come after it. Returns false for an
    /// invalid timestamp.
    pub fn observe(&mut self, now: Ms, timestamp: &Timestamp) -> bool {
        if timestamp.wall > now.saturating_add(MAX_AHEAD_MS) {
            return false;
        }
        if (timestamp.wall, timestamp.count) > (self.last.wall, self.last.count) {
            (self.last.wall, self.last.count) = (timestamp.wall, timestamp.count);
        }
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against an operator order that loses to an older one because its dispatcher's clock is behind.
    #[test]
    fn a_timestamp_after_an_observed_one_is_later_whatever_the_wall_clocks_show() {
        let (mut a, mut b) = (HybridClock::new("a"), HybridClock::new("b"));
        // b's clock is 10 s behind.
        let down = a.tick(20_000);
        assert!(b.observe(10_000, &down));
        let up = b.tick(10_001);
        assert!(up > down);
        let again = a.tick(20_000);
        assert!(again > down && again < a.tick(20_001));
        // Concurrent timestamps with the same time: the writer's name decides, the same way everywhere.
        let (x, y) = (HybridClock::new("x").tick(5), HybridClock::new("y").tick(5));
        assert!(x < y);
        assert!(
            !b.observe(10_000, &Timestamp { wall: 10_000 + MAX_AHEAD_MS + 1, ..down }),
            "invalid timestamp"
        );
        assert!(b.tick(10_002).wall <= 20_000, "it did not advance the clock");
    }
}
