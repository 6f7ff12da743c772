//! The watchdog timeout θ, checked against cases worked out by hand.

use lilacbank::brain::best_watchdog;
use lilacbank::curve::CallTimeDistribution;

/// The curve of attempts that were all answered after these times.
fn curve_of_answers(times: &[f64]) -> CallTimeDistribution {
    CallTimeDistribution::product_limit(&times.iter().map(|t| (*t, true)).collect::<Vec<_>>())
}

/// The payoff function of the paper: 1 up to the deadline, 0 after it.
fn step_payoff(d: f64) -> impl Fn(f64) -> f64 {
    move |t| if t <= d { 1.0 } else { 0.0 }
}

#[test]
fn a_bimodal_first_endpoint_is_cut_between_its_modes() {
    // Half of the answers come by 100, half only after the deadline of 500; the other endpoint takes 50.
    let first = curve_of_answers(&[90.0, 100.0, 900.0, 950.0]);
    let theta =
        best_watchdog(&first, &curve_of_answers(&[50.0]), &[500.0], step_payoff(500.0)).expect("a watchdog");
    // Any θ from the first mode to the deadline - 50 gets the full payoff; the latest of them cuts the fewest
    // attempts.
    assert!((theta - 450.0).abs() < 1e-6, "{theta}");
}

#[test]
fn no_watchdog_where_waiting_always_succeeds() {
    assert_eq!(
        best_watchdog(
            &curve_of_answers(&[100.0, 200.0]),
            &curve_of_answers(&[10.0]),
            &[500.0],
            step_payoff(500.0)
        ),
        None
    );
}

#[test]
fn an_endpoint_that_always_misses_the_deadline_is_cut_early_for_a_faster_one() {
    let first = curve_of_answers(&[600.0, 700.0]);
    let theta =
        best_watchdog(&first, &curve_of_answers(&[400.0]), &[500.0], step_payoff(500.0)).expect("a watchdog");
    assert!(theta <= 100.0 && theta > 0.0, "{theta}");
}

#[test]
fn rising_hazard_on_a_single_endpoint_gets_no_watchdog() {
    // All answers lie within 300..330: a restarted attempt only loses the time already waited.
    let own = curve_of_answers(&[300.0, 310.0, 320.0, 330.0]);
    assert_eq!(best_watchdog(&own, &own, &[500.0], step_payoff(500.0)), None);
}

#[test]
fn falling_hazard_on_a_single_endpoint_gets_a_watchdog() {
    let own = curve_of_answers(&[50.0, 55.0, 60.0, 900.0]);
    let theta = best_watchdog(&own, &own, &[500.0], step_payoff(500.0)).expect("a watchdog");
    assert!(theta > 60.0 && theta <= 450.0, "{theta}");
}

#[test]
fn no_samples_or_only_cut_attempts_give_no_payoff_and_no_panic() {
    let cut = CallTimeDistribution::product_limit(&[(100.0, false), (200.0, false)]);
    assert_eq!(cut.payoff(step_payoff(500.0)), 0.0);
    assert_eq!(
        best_watchdog(
            &CallTimeDistribution::default(),
            &CallTimeDistribution::default(),
            &[500.0],
            step_payoff(500.0)
        ),
        None
    );
    assert_eq!(best_watchdog(&cut, &cut, &[0.0], step_payoff(0.0)), None);
}

#[test]
fn cut_attempts_are_censored_and_failures_count_as_never_answered() {
    // Product-limit estimate by hand: one of four is answered at 100; one is cut at 150; one of two is
    // answered at 200.
    let c = CallTimeDistribution::product_limit(&[
        (100.0, true),
        (150.0, false),
        (200.0, true),
        (f64::INFINITY, false),
    ]);
    assert!((c.survival(100.0) - 0.75).abs() < 1e-9);
    assert!((c.survival(200.0) - 0.375).abs() < 1e-9);
    assert!((c.survival(1e12) - 0.375).abs() < 1e-9);
}
