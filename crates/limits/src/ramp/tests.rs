//! Tests of the module `ramp`.

use super::*;

/// Sends whenever there is room and returns the times. `answer` returns whether the destination refuses,
/// or `None` if it does not answer.
fn send_when_allowed(
    ramp: &mut Ramp,
    from: Ms,
    until: Ms,
    mut answer: impl FnMut(Ms) -> Option<bool>,
) -> Vec<Ms> {
    let (mut sent, mut now) = (Vec::new(), from);
    while now < until {
        if ramp.room(now, "m").is_none_or(|r| r.0 > 0) {
            ramp.attempt_started("m");
            sent.push(now);
            match answer(now) {
                Some(full) => ramp.answered(now, "m", full),
                None => ramp.unanswered("m"),
            }
        }
        now += 10.0;
    }
    sent
}

fn ramp(former: Option<RememberedHealth>) -> Ramp {
    let former = former.map(|f| ("m".to_string(), f)).into_iter().collect();
    let mut ramp = Ramp::begin(0.0, 2.0, former);
    ramp.add_destination(0.0, "m", 0.5);
    ramp
}

fn former(rate: f64, away: Option<Ms>, age: Ms) -> Option<RememberedHealth> {
    Some(RememberedHealth { health: Health { rate, unavailable_since: away }, age: Some(age) })
}

/// Guards against a backlog that is sent at once, and against a ramp that never ends.
#[test]
fn a_ramp_begins_at_the_former_rate_and_grows_slowly_beyond_it() {
    let sent = send_when_allowed(&mut ramp(former(10.0, None, 1_000.0)), 0.0, 3_000.0, |_| Some(false));
    let first = sent.iter().filter(|t| **t < 1_000.0).count();
    assert!((11..=14).contains(&first), "slightly above the former rate in the first second: {first}");
    assert!((36..=46).contains(&sent.len()), "slow growth each second: {}", sent.len());
    let mut r = ramp(former(10.0, None, 1_000.0));
    send_when_allowed(&mut r, 0.0, 4_000.0, |_| Some(false));
    assert!(r.room(4_000.0, "m").is_some(), "the ramp continues while it holds attempts back");
    (0..=30).for_each(|n| {
        r.room(4_000.0 + 100.0 * f64::from(n), "m");
    });
    assert_eq!(r.room(7_100.0, "m"), None, "the ramp ends when nothing waits for it");
}

/// Guards against a ramp that continues although the process has evidence of its own.
#[test]
fn the_ramp_ends_with_the_first_refusal_or_missing_answer() {
    let mut r = ramp(former(20.0, None, 1_000.0));
    assert!(r.room(100.0, "m").is_some());
    r.answered(110.0, "m", true);
    assert_eq!(r.room(120.0, "m"), None);
    let mut r = ramp(former(20.0, None, 1_000.0));
    r.attempt_started("m");
    r.unanswered("m");
    assert_eq!(r.room(120.0, "m"), None);
    assert!(r.room(120.0, "never listed").is_none() && r.is_over(MAX_DURATION_MS));
}

/// Guards against many simultaneous attempts at a destination that was unavailable when the last
/// incarnation ended.
#[test]
fn an_unavailable_destination_gets_one_attempt_until_it_answers() {
    let mut r = ramp(former(20.0, Some(1.0), 1_000.0));
    assert_eq!(r.room(100.0, "m").map(|r| r.0), Some(1));
    r.attempt_started("m");
    assert_eq!(r.room(900.0, "m").map(|r| r.0), Some(0), "the test attempt is running");
    r.attempt_cancelled("m");
    assert_eq!(
        r.room(910.0, "m").map(|r| r.0),
        Some(1),
        "the test attempt was cancelled: the next one may start"
    );
    r.attempt_started("m");
    r.answered(950.0, "m", false);
    assert!(r.room(960.0, "m").is_some_and(|r| r.0 > 10), "the destination is available");
}

/// Guards against many attempts at a destination that a peer knows to be unavailable, and against older
/// health data that replaces newer.
#[test]
fn health_data_of_a_peer_is_used_if_nothing_newer_is_known() {
    let away = former(40.0, Some(0.0), 100.0).unwrap();
    let mut r = ramp(None);
    r.update_from_peer(0.0, "m", away);
    assert_eq!(r.room(900.0, "m").map(|r| r.0), Some(1), "one attempt tests it");
    let mut r = ramp(former(20.0, None, 50.0));
    r.update_from_peer(0.0, "m", away);
    assert!(r.room(900.0, "m").is_some_and(|r| r.0 > 10), "its own data is newer");
    let mut r = ramp(None);
    r.attempt_started("m");
    r.update_from_peer(0.0, "m", away);
    assert!(r.room(1_900.0, "m").is_some_and(|r| r.0 > 1), "it has evidence of its own");
}

/// Guards against old health data that is treated as fresh, and against a new destination whose rate
/// never grows.
#[test]
fn old_health_data_counts_for_less_and_an_unknown_rate_doubles() {
    let in_a_second =
        |f: Option<RememberedHealth>| send_when_allowed(&mut ramp(f), 0.0, 1_000.0, |_| Some(false)).len();
    let (fresh, old) = (in_a_second(former(40.0, None, 0.0)), in_a_second(former(40.0, None, 240_000.0)));
    assert!(old * 3 < fresh, "{old} with old data, {fresh} with fresh data");
    let unsure = RememberedHealth { health: Health { rate: 40.0, unavailable_since: None }, age: None };
    assert!(in_a_second(Some(unsure)) < 8, "data of unknown age");
    let sent = send_when_allowed(&mut ramp(None), 0.0, 3_900.0, |_| Some(false));
    assert!(sent.len() > 25, "the rate doubles each second: {}", sent.len());
}

#[test]
fn the_memory_keeps_the_recent_rate_and_the_rate_before_an_outage() {
    let mut m = HealthTracker::default();
    (0..300).for_each(|n| m.answered(f64::from(n) * 100.0, "m"));
    let health = |m: &HealthTracker, now: Ms| m.all(now).next().unwrap().1;
    assert!((health(&m, 30_000.0).rate - 10.0).abs() < 1.5, "{:?}", health(&m, 30_000.0));
    assert!(health(&m, 50_000.0).rate < 3.0, "no answers for 20 s");
    (0..3).for_each(|_| m.unanswered(30_100.0, "m"));
    assert_eq!(health(&m, 50_000.0).unavailable_since, Some(30_100.0));
    assert!(health(&m, 50_000.0).rate > 8.0, "the rate before the outage");
    m.answered(50_000.0, "m");
    assert_eq!(health(&m, 50_000.0).unavailable_since, None);
    m.retain(|_| false);
    assert_eq!(m.all(0.0).count(), 0);
}
