//! Tests of the module `clock`.

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
    assert!(!b.observe(10_000, &Timestamp { wall: 10_000 + MAX_AHEAD_MS + 1, ..down }), "invalid timestamp");
    assert!(b.tick(10_002).wall <= 20_000, "it did not advance the clock");
}
