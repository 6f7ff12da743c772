//! A hybrid logical clock: times that several dispatchers agree on the order of, though their clocks differ.
//!
//! A stamp is the largest wall clock that its writer had seen, a count for stamps within one millisecond, and the writer's
//! name, which orders what nothing else does. Two operators who set one endpoint down and up on two dispatchers at once get
//! the same outcome everywhere; one who saw the other's wish and sets it anew wins, whatever the clocks say.

use crate::Ms;

/// A peer's clock may be ahead by this much; a stamp beyond it is nonsense and moves no clock.
pub const AHEAD_MOST: Ms = 60_000;

/// A moment that all agree on the order of.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Stamp {
    /// The largest wall clock that its writer had seen, in milliseconds since 1970.
    pub wall: Ms,
    /// Counts stamps of one wall clock.
    pub count: u32,
    /// Who wrote it.
    pub writer: String,
}

/// One dispatcher's clock.
#[derive(Debug, Clone)]
pub struct Clock {
    last: Stamp,
}

impl Clock {
    /// A clock of this dispatcher.
    pub fn new(name: &str) -> Clock {
        Clock { last: Stamp { writer: name.into(), ..Stamp::default() } }
    }

    /// A stamp for what happens now, after all that was heard.
    pub fn tick(&mut self, now: Ms) -> Stamp {
        if now > self.last.wall {
            (self.last.wall, self.last.count) = (now, 0);
        } else {
            self.last.count = self.last.count.saturating_add(1);
        }
        self.last.clone()
    }

    /// Another's stamp was heard: what happens here from now on comes after it. False if it cannot be meant.
    pub fn hear(&mut self, now: Ms, stamp: &Stamp) -> bool {
        if stamp.wall > now.saturating_add(AHEAD_MOST) {
            return false;
        }
        if (stamp.wall, stamp.count) > (self.last.wall, self.last.count) {
            (self.last.wall, self.last.count) = (stamp.wall, stamp.count);
        }
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a wish that loses to an older one because its dispatcher's clock is behind.
    #[test]
    fn who_has_heard_the_other_comes_later_whatever_the_clocks_say() {
        let (mut a, mut b) = (Clock::new("a"), Clock::new("b"));
        // b's clock is 10 s behind.
        let down = a.tick(20_000);
        assert!(b.hear(10_000, &down));
        let up = b.tick(10_001);
        assert!(up > down);
        let again = a.tick(20_000);
        assert!(again > down && again < a.tick(20_001));
        // Not heard of each other at one moment: the name decides, the same way everywhere.
        let (x, y) = (Clock::new("x").tick(5), Clock::new("y").tick(5));
        assert!(x < y);
        assert!(!b.hear(10_000, &Stamp { wall: 10_000 + AHEAD_MOST + 1, ..down }), "nonsense");
        assert!(b.tick(10_002).wall <= 20_000, "and it moved nothing");
    }
}
