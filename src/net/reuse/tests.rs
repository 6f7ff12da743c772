//! Tests of the module `reuse`.

use super::*;

/// Guards against a delay that costs endpoints on a short path more than a call does.
#[test]
fn the_delay_is_no_longer_than_a_call() {
    let delay = ReuseDelay::default();
    assert_eq!(delay.delay(1_000.0, 130.0), DELAY);
    assert_eq!(delay.delay(1_000.0, 0.4), 0.4);
}

/// Guards against an endpoint whose unsolicited bytes take longer than the usual delay.
#[test]
fn the_delay_is_twice_the_longest_one_seen_lately() {
    let mut delay = ReuseDelay::default();
    delay.unsolicited_bytes(1_000.0, 80.0);
    delay.unsolicited_bytes(1_100.0, 30.0);
    assert_eq!(delay.delay(1_200.0, 130.0), 160.0);
    assert_eq!(delay.delay(1_200.0, 0.4), 160.0, "on a short path, too");
    assert_eq!(delay.delay(1_100.0 + SEEN_DELAY_MEMORY, 0.4), 0.4);
    delay.unsolicited_bytes(200_000.0, 5.0);
    assert_eq!(delay.delay(200_000.0, 0.4), DELAY);
}

/// Guards against a delay of seconds because an endpoint writes a status before it ends an idle connection.
#[test]
fn bytes_long_after_a_response_do_not_count() {
    let mut delay = ReuseDelay::default();
    delay.unsolicited_bytes(20_000.0, 10_000.0);
    assert_eq!(delay.delay(20_000.0, 0.4), 0.4);
}

/// Guards against slots that are held by requests which wait for a connection, where a new one costs less.
#[test]
fn a_request_waits_for_half_of_a_call_at_most() {
    let wait = |until: Ms, fastest_call: Ms| ReuseWait { until, fastest_call };
    assert!(wait(1_060.0, 130.0).is_worth_it(1_000.0));
    assert!(!wait(1_060.0, 100.0).is_worth_it(1_000.0));
    assert!(wait(1_060.0, 100.0).is_worth_it(1_010.0));
    assert!(!wait(1_000.4, 0.4).is_worth_it(1_000.0));
}
