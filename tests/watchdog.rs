//! θ against cases worked by hand.

use lilacbank::brain::watchdog;
use lilacbank::curve::Curve;

fn answered(times: &[f64]) -> Curve {
    Curve::product_limit(&times.iter().map(|t| (*t, true)).collect::<Vec<_>>())
}

/// The paper's payoff: 1 up to the deadline, nothing after it.
fn step(d: f64) -> impl Fn(f64) -> f64 {
    move |t| if t <= d { 1.0 } else { 0.0 }
}

#[test]
fn bimodal_first_route_is_cut_between_its_modes() {
    // Half answers by 100, half only after the deadline of 500; the other route takes 50.
    let first = answered(&[90.0, 100.0, 900.0, 950.0]);
    let theta = watchdog(&first, &answered(&[50.0]), &[500.0], step(500.0)).expect("a watchdog");
    // Anywhere from the first mode to d - 50 wins all; the latest such θ cuts least.
    assert!((theta - 450.0).abs() < 1e-6, "{theta}");
}

#[test]
fn no_watchdog_where_waiting_is_sure() {
    assert_eq!(watchdog(&answered(&[100.0, 200.0]), &answered(&[10.0]), &[500.0], step(500.0)), None);
}

#[test]
fn a_route_that_always_misses_is_cut_at_once_for_a_quicker_one() {
    let first = answered(&[600.0, 700.0]);
    let theta = watchdog(&first, &answered(&[400.0]), &[500.0], step(500.0)).expect("a watchdog");
    assert!(theta <= 100.0 && theta > 0.0, "{theta}");
}

#[test]
fn rising_hazard_on_a_lone_route_gets_no_watchdog() {
    // All answers bunch at 300..330: starting anew only loses what was waited.
    let own = answered(&[300.0, 310.0, 320.0, 330.0]);
    assert_eq!(watchdog(&own, &own, &[500.0], step(500.0)), None);
}

#[test]
fn falling_hazard_on_a_lone_route_gets_one() {
    let own = answered(&[50.0, 55.0, 60.0, 900.0]);
    let theta = watchdog(&own, &own, &[500.0], step(500.0)).expect("a watchdog");
    assert!(theta > 60.0 && theta <= 450.0, "{theta}");
}

#[test]
fn no_samples_or_only_cuts_give_no_payoff_and_no_panic() {
    let cut = Curve::product_limit(&[(100.0, false), (200.0, false)]);
    assert_eq!(cut.payoff(step(500.0)), 0.0);
    assert_eq!(watchdog(&Curve::default(), &Curve::default(), &[500.0], step(500.0)), None);
    assert_eq!(watchdog(&cut, &cut, &[0.0], step(0.0)), None);
}

#[test]
fn cut_attempts_are_censored_and_failures_lie_past_any_deadline() {
    // Product limit by hand: at 100 one of four is answered; one is cut at 150; at 200 one of two is answered.
    let c = Curve::product_limit(&[(100.0, true), (150.0, false), (200.0, true), (f64::INFINITY, false)]);
    assert!((c.survival(100.0) - 0.75).abs() < 1e-9);
    assert!((c.survival(200.0) - 0.375).abs() < 1e-9);
    assert!((c.survival(1e12) - 0.375).abs() < 1e-9);
}
