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
mod tests;
