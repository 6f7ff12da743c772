//! Tests of the module `logging`.

use super::*;

/// Guards against a log filled by one repeated failure, and against a failure that is never logged again.
#[test]
fn repeated_failure_is_logged_at_growing_intervals_with_a_count() {
    let mut c = LogThrottle::default();
    let logged: Vec<_> =
        (0..400).map(|n| f64::from(n) * 100.0).filter_map(|t| Some((t, c.record(t)?))).collect();
    assert_eq!(logged[..4], [(0.0, 1), (1_000.0, 10), (3_000.0, 20), (7_000.0, 40)]);
    assert!(logged.len() <= 6, "{logged:?}");
    c.reset();
    assert_eq!(c.record(40_000.0), Some(1));
}
