//! One short regression test for each incident.

mod common;
use common::*;
use lilacbank::api::*;

fn deliver_all_outstanding(w: &mut Watched) {
    let outstanding: Vec<_> = w.seen.keys().copied().filter(|id| w.out(*id).is_some()).collect();
    outstanding.into_iter().for_each(|id| w.end(id, Outcome::Delivered, 0.0));
}

/// Guards against calls without an answer that hold every slot until the deadline (incident ifb9196).
#[test]
fn hung_calls_release_their_slots_for_other_destinations() {
    let s = Settings { slots: 4, ..settings() };
    let mut w = Watched::new(s, vec![row(0, 1, 0, 0), row(1, 2, 0, 0), row(2, 3, 0, 0)]);
    let hung: Vec<_> = [1, 1, 2, 2].into_iter().map(|dest| w.arrive(2, dest, None)).collect();
    assert!(hung.iter().all(|id| w.out(*id).is_some()));
    let waiting = w.arrive(0, 3, None);
    assert!(w.out(waiting).is_none(), "no slot is free");
    for _ in 0..120 {
        w.pass(100.0);
        for id in &hung {
            let cancelled =
                w.out(*id).is_some_and(|a| w.actions.contains(&Action::Cancel { id: *id, attempt: a.n }));
            if cancelled {
                w.end(*id, Outcome::Cancelled, 0.0);
            }
        }
        deliver_if_outstanding(&mut w, waiting);
    }
    assert_eq!(w.seen[&waiting].attempts.len(), 1);
    assert!(
        w.seen[&waiting].ended_at < w.seen[&waiting].m.valid_until - 4_000.0,
        "the waiting message is delivered long before the hung calls end"
    );
    assert!(
        hung.iter().filter(|id| w.seen[*id].finals == 1).all(|id| w.seen[id].failed),
        "at-most-once messages fail and are not repeated"
    );
    assert!(w.broken.is_empty(), "{:?}", w.broken);
}

fn deliver_if_outstanding(w: &mut Watched, id: MsgId) {
    if w.out(id).is_some() {
        w.end(id, Outcome::Delivered, 0.0);
    }
}

/// Guards against the backlog of one dead destination that fills the queue and locks out messages for all
/// other destinations (incident i9b8da1).
#[test]
fn the_longest_queue_returns_messages_immediately_with_advice() {
    let s = Settings { max_held: 20, ..settings() };
    let mut w = Watched::new(s, vec![row(0, 1, 0, 0), row(1, 2, 0, 0)]);
    let first = w.arrive(0, 1, None);
    w.end(first, Outcome::Refused, 1_900.0);
    for _ in 0..40 {
        w.arrive(0, 1, None);
    }
    let other = w.arrive(0, 2, None);
    assert!(w.out(other).is_some(), "the other destination is served");
    let advice: Vec<_> = w.seen.values().filter_map(|s| s.advice).collect();
    assert!(advice.len() >= 20, "{} returned", advice.len());
    assert!(
        advice.iter().all(|a| *a > 1_000.0 && *a <= 2_000.0),
        "the advice reflects the endpoint's retry-after: {advice:?}"
    );
    assert_eq!(w.seen[&other].finals, 0);
}

/// Guards against a retry storm: while all endpoints of a destination fail, attempts stay within the retry
/// budget.
#[test]
fn attempts_stay_within_the_retry_budget_while_every_endpoint_fails() {
    let mut w = Watched::new(settings(), vec![row(0, 1, 0, 0), row(1, 1, 0, 0), row(2, 1, 0, 0)]);
    for _ in 0..100 {
        w.arrive(0, 1, None);
        w.pass(100.0);
        let outstanding: Vec<_> = w.seen.keys().copied().filter(|id| w.out(*id).is_some()).collect();
        outstanding.into_iter().for_each(|id| w.end(id, Outcome::Error, 0.0));
    }
    let attempts: usize = w.seen.values().map(|s| s.attempts.len()).sum();
    let firsts = w.seen.values().filter(|s| !s.attempts.is_empty()).count();
    // The budget grows by a fifth of a retry for each first attempt and by half a retry per second, and
    // starts with five.
    let budget = firsts as f64 * 1.2 + 5.0 + 0.5 * 10.0 + 1.0;
    assert!(attempts as f64 <= budget, "{attempts} attempts for {firsts} messages");
}

/// Guards against a slowdown of all endpoints at once that makes each of them count as unhealthy.
#[test]
fn a_common_slowdown_takes_no_endpoint_out() {
    let mut w = Watched::new(settings(), vec![row(0, 1, 0, 0), row(1, 2, 0, 0)]);
    for step in 0..60 {
        let ids = [w.arrive(0, 1, None), w.arrive(0, 2, None)];
        w.pass(if step < 30 { 100.0 } else { 270.0 });
        for id in ids {
            assert!(w.out(id).is_some(), "step {step}: no attempt is sent");
            w.end(id, Outcome::Delivered, 0.0);
        }
    }
    let moved = w.actions.iter().any(|a| matches!(a, Action::Cancel { .. }));
    assert!(!moved);
    w.all_well();
}

/// Guards against a single failure that resets a recovering endpoint to single trial attempts (incident
/// i5f3404).
#[test]
fn one_failure_during_a_ramp_does_not_restart_the_outage() {
    let mut w = Watched::new(settings(), vec![row(0, 1, 0, 0)]);
    for _ in 0..40 {
        w.arrive(0, 1, None);
        w.pass(100.0);
        deliver_all_outstanding(&mut w);
    }
    for outcome in [Outcome::NoConnection, Outcome::NoConnection] {
        let id = w.arrive(0, 1, None);
        w.pass(20.0);
        if w.out(id).is_some() {
            w.end(id, outcome, 0.0);
        }
    }
    w.pass(4_000.0);
    deliver_all_outstanding(&mut w);
    for _ in 0..100 {
        w.pass(100.0);
        deliver_all_outstanding(&mut w);
    }
    let id = w.arrive(0, 1, None);
    w.pass(2_000.0);
    w.end(id, Outcome::NoConnection, 0.0);
    w.pass(1_000.0);
    assert!(w.seen[&id].attempts.len() >= 2, "the message is attempted again within a second");
}

/// Guards against an endpoint list that is not requested again after its subscription failed.
#[test]
fn a_failed_subscription_is_requested_again() {
    let s = Settings { list_on_request: true, ask_within: 10_000.0, ..settings() };
    let mut w = Watched::new(s, vec![row(0, 1, 0, 0)]);
    let watch_requests = |w: &Watched| w.actions.iter().filter(|a| **a == Action::Watch).count();
    assert_eq!(watch_requests(&w), 1);
    w.give(vec![Event::ListFailed]);
    w.pass(1_500.0);
    assert_eq!(watch_requests(&w), 2);
    w.give(vec![Event::List { rows: vec![], whole: false, cached: false }]);
    w.pass(30_000.0);
    assert_eq!(watch_requests(&w), 2, "a subscribed list is not requested again");
}

/// At-most-once messages are not sent to an endpoint that fails now and then. Guards against such messages
/// that block the idempotent ones of their destination: nothing was sent then, and the full queue rejected
/// every new message.
#[test]
fn at_most_once_messages_that_avoid_an_unreliable_endpoint_block_no_others() {
    let mut s = settings();
    s.classes[2].worth = 4.0;
    let mut w = Watched::new(s, vec![row(0, 1, 0, 0)]);
    for outcome in [Outcome::Delivered, Outcome::Delivered, Outcome::Error] {
        let id = w.arrive(2, 1, None);
        w.pass(10.0);
        w.end(id, outcome, 0.0);
    }
    let held: Vec<_> = (0..12).map(|_| w.arrive(2, 1, None)).collect();
    assert!(
        held.iter().all(|id| w.out(*id).is_none()),
        "an at-most-once message is sent to an endpoint that breaks its calls"
    );
    let safe = w.arrive(0, 1, None);
    assert!(w.out(safe).is_some(), "an idempotent message waits behind at-most-once messages that must wait");
    w.end(safe, Outcome::Delivered, 0.0);
    for _ in 0..50 {
        w.pass(100.0);
        deliver_all_outstanding(&mut w);
    }
    assert!(
        held.iter().all(|id| !w.seen[id].attempts.is_empty()),
        "the at-most-once messages are sent once the endpoint is reliable again"
    );
    w.all_well();
}
