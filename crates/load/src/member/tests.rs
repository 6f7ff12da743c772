//! Tests of the module `member`.

use super::*;

/// Guards against a limit that does not count and a cold endpoint that accepts any load: the rig could not detect a
/// thundering herd.
#[test]
fn a_cold_endpoint_serves_a_fraction_of_its_limit_and_crashes_under_overload() {
    let limit = Limit {
        per_second: 40,
        retry_after: Duration::from_millis(100),
        cold: Duration::from_secs(4),
        cold_from: 0.5,
        overload_factor: 2.0,
        overload_window: Duration::from_millis(500),
        crash_time: Duration::from_secs(1),
    };
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut warm = State::default();
    let served = (0..50).filter(|n| matches!(warm.receive_call(at(n * 10), &limit), Verdict::Serve)).count();
    assert_eq!((served, warm.refused, warm.crashes), (40, 10, 0));
    let mut cold = State { health: Health::Recovered(start), ..State::default() };
    let served = (0..30).filter(|n| matches!(cold.receive_call(at(n * 10), &limit), Verdict::Serve)).count();
    assert!(
        (20..23).contains(&served),
        "about half of the limit, and a little more while it warms up: {served}"
    );
    // N = 40 x 0.5 x 2 x 0.5 s = 20, so N + 2 sqrt(N) + 2 = 31, and a little more as the endpoint warms up: 45 calls
    // within half a second exceed it.
    (30..45).for_each(|n| {
        cold.receive_call(at(n * 10), &limit);
    });
    assert_eq!(cold.crashes, 1);
    assert!(cold.is_down(at(500)) && !cold.is_down(at(1_600)), "down for a second after the crash, then up");
}
