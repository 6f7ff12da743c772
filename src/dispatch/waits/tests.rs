//! Tests of the module `waits`.

use super::*;

#[test]
fn the_longest_retry_after_of_an_endpoint_counts_and_ends() {
    let mut waits = RetryAfters::default();
    assert!(waits.set(1.0, "w", 500.0));
    assert!(!waits.set(2.0, "w", 300.0) && !waits.set(2.0, "w", 500.5), "shorter, or a repeat");
    assert!(waits.set(3.0, "w", 900.0));
    assert_eq!(
        (waits.active(3.0, "w"), waits.active(3.0, "x")),
        (Some(Wait { learned_at: 3.0, until: 900.0 }), None)
    );
    assert_eq!(waits.records(899.0).count(), 1);
    waits.expire(900.0);
    assert_eq!((waits.active(0.0, "w"), waits.records(0.0).count()), (None, 0));
}
