//! Tests of the module `window`.

use super::*;

/// Guards against a place that is freed while its call can still count at the destination.
#[test]
fn a_place_is_freed_a_span_after_the_latest_arrival() {
    let mut w = Window::new(2, 1_000.0, 50.0);
    assert!(w.take(0.0) && w.take(0.0) && !w.take(0.0));
    w.written(100.0);
    assert_eq!((w.room(1_149.0), w.when(1_149.0, 0)), (0, 1_150.0));
    assert_eq!(w.room(1_150.0), 1);
    // The other call is still being written: its place stays occupied.
    assert!(w.take(1_150.0) && !w.take(60_000.0));
    w.cancel();
    assert!(w.take(60_000.0));
}

#[test]
fn the_wait_includes_calls_ahead_and_whole_rounds() {
    let mut w = Window::new(2, 1_000.0, 0.0);
    for t in [0.0, 400.0] {
        assert!(w.take(t));
        w.written(t);
    }
    let waits = [0, 1, 2, 3, 5].map(|ahead| w.when(500.0, ahead));
    assert_eq!(waits, [1_000.0, 1_400.0, 2_000.0, 2_400.0, 3_400.0]);
    assert_eq!(Window::new(0, 1.0, 0.0).when(0.0, 0), f64::MAX);
}

/// Guards against memory use that grows with the limit: a million calls in an hour.
#[test]
fn a_large_window_needs_little_memory_and_frees_no_place_early() {
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
fn a_longer_span_assumes_that_the_forgotten_time_was_full() {
    let mut w = Window::new(3, 1_000.0, 0.0);
    w.change(10_000.0, 9, 3_000.0, 0.0);
    assert_eq!(w.room(10_000.0), 3);
    assert_eq!(w.room(12_000.0), 9);
    w.change(12_000.0, 1, 3_000.0, 0.0);
    assert_eq!(w.room(12_000.0), 1);
}
