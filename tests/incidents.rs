//! One small script for each failure found.

mod common;
use common::*;
use lilacbank::api::*;

fn deliver_all(w: &mut Watched) {
    let open: Vec<_> = w.seen.keys().copied().filter(|id| w.out(*id).is_some()).collect();
    open.into_iter().for_each(|id| w.end(id, Outcome::Delivered, 0.0));
}

/// ifb9196: calls that are never answered held every slot until the deadline.
#[test]
fn hung_calls_give_up_their_slots_to_other_destinations() {
    let s = Settings { slots: 4, ..settings() };
    let mut w = Watched::new(s, vec![row(0, 1, 0, 0), row(1, 2, 0, 0), row(2, 3, 0, 0)]);
    let hung: Vec<_> = [1, 1, 2, 2].into_iter().map(|dest| w.arrive(2, dest, None)).collect();
    assert!(hung.iter().all(|id| w.out(*id).is_some()));
    let waiting = w.arrive(0, 3, None);
    assert!(w.out(waiting).is_none(), "no slot is free");
    for _ in 0..120 {
        w.pass(100.0);
        for id in &hung {
            let cut =
                w.out(*id).is_some_and(|a| w.actions.contains(&Action::Cancel { id: *id, attempt: a.n }));
            if cut {
                w.end(*id, Outcome::Cancelled, 0.0);
            }
        }
        deliver_if_out(&mut w, waiting);
    }
    assert_eq!(w.seen[&waiting].attempts.len(), 1);
    assert!(
        w.seen[&waiting].ended_at < w.seen[&waiting].m.valid_until - 4_000.0,
        "long before the hung calls end"
    );
    assert!(
        hung.iter().filter(|id| w.seen[*id].finals == 1).all(|id| w.seen[id].failed),
        "unsafe: failed, not repeated"
    );
    assert!(w.broken.is_empty(), "{:?}", w.broken);
}

fn deliver_if_out(w: &mut Watched, id: MsgId) {
    if w.out(id).is_some() {
        w.end(id, Outcome::Delivered, 0.0);
    }
}

/// i9b8da1: one dead destination's backlog filled the room and shut out messages for all others.
#[test]
fn the_longest_queue_gives_up_room_at_once_and_with_advice() {
    let s = Settings { max_held: 20, ..settings() };
    let mut w = Watched::new(s, vec![row(0, 1, 0, 0), row(1, 2, 0, 0)]);
    let first = w.arrive(0, 1, None);
    w.end(first, Outcome::Refused, 1_900.0);
    for _ in 0..40 {
        w.arrive(0, 1, None);
    }
    let other = w.arrive(0, 2, None);
    assert!(w.out(other).is_some(), "the other destination is served");
    let back: Vec<_> = w.seen.values().filter_map(|s| s.advice).collect();
    assert!(back.len() >= 20, "{} handed back", back.len());
    assert!(
        back.iter().all(|a| *a > 1_000.0 && *a <= 2_000.0),
        "the advice reflects the told wait: {back:?}"
    );
    assert_eq!(w.seen[&other].finals, 0);
}

/// No retry storm: while all routes of a destination fail, attempts stay within the retry budget.
#[test]
fn attempts_stay_within_the_budget_while_every_route_fails() {
    let mut w = Watched::new(settings(), vec![row(0, 1, 0, 0), row(1, 1, 0, 0), row(2, 1, 0, 0)]);
    for _ in 0..100 {
        w.arrive(0, 1, None);
        w.pass(100.0);
        let open: Vec<_> = w.seen.keys().copied().filter(|id| w.out(*id).is_some()).collect();
        open.into_iter().for_each(|id| w.end(id, Outcome::Error, 0.0));
    }
    let attempts: usize = w.seen.values().map(|s| s.attempts.len()).sum();
    let firsts = w.seen.values().filter(|s| !s.attempts.is_empty()).count();
    // Earned: a fifth of each first attempt, five at the start, and half a retry a second.
    let budget = firsts as f64 * 1.2 + 5.0 + 0.5 * 10.0 + 1.0;
    assert!(attempts as f64 <= budget, "{attempts} attempts for {firsts} messages");
}

/// Everything slower at once must not read as each route sick.
#[test]
fn a_common_slowdown_sends_no_route_out() {
    let mut w = Watched::new(settings(), vec![row(0, 1, 0, 0), row(1, 2, 0, 0)]);
    for step in 0..60 {
        let ids = [w.arrive(0, 1, None), w.arrive(0, 2, None)];
        w.pass(if step < 30 { 100.0 } else { 270.0 });
        for id in ids {
            assert!(w.out(id).is_some(), "step {step}: held back");
            w.end(id, Outcome::Delivered, 0.0);
        }
    }
    let moved = w.actions.iter().any(|a| matches!(a, Action::Cancel { .. }));
    assert!(!moved);
    w.all_well();
}

/// i5f3404: one failure of a returning route sent it back to single trials.
#[test]
fn one_failure_in_a_ramp_does_not_start_the_outage_anew() {
    let mut w = Watched::new(settings(), vec![row(0, 1, 0, 0)]);
    for _ in 0..40 {
        w.arrive(0, 1, None);
        w.pass(100.0);
        deliver_all(&mut w);
    }
    for outcome in [Outcome::NoConnection, Outcome::NoConnection] {
        let id = w.arrive(0, 1, None);
        w.pass(20.0);
        if w.out(id).is_some() {
            w.end(id, outcome, 0.0);
        }
    }
    w.pass(4_000.0);
    deliver_all(&mut w);
    for _ in 0..100 {
        w.pass(100.0);
        deliver_all(&mut w);
    }
    let id = w.arrive(0, 1, None);
    w.pass(2_000.0);
    w.end(id, Outcome::NoConnection, 0.0);
    w.pass(1_000.0);
    assert!(w.seen[&id].attempts.len() >= 2, "tried again within a second");
}

/// A list that comes on request is subscribed to, and asked for again after a failure.
#[test]
fn a_failed_subscription_is_asked_for_again() {
    let s = Settings { list_on_request: true, ask_within: 10_000.0, ..settings() };
    let mut w = Watched::new(s, vec![row(0, 1, 0, 0)]);
    let asked = |w: &Watched| w.actions.iter().filter(|a| **a == Action::Watch).count();
    assert_eq!(asked(&w), 1);
    w.give(vec![Event::ListFailed]);
    w.pass(1_500.0);
    assert_eq!(asked(&w), 2);
    w.give(vec![Event::List { rows: vec![], whole: false, cached: false }]);
    w.pass(30_000.0);
    assert_eq!(asked(&w), 2, "subscribed: not asked for again");
}

/// Messages that must not run twice stay away from a route that fails now and then. They must not keep back the others of
/// their destination, which may be repeated: nothing was sent then, and a full room refused all that came.
#[test]
fn unsafe_messages_that_stay_away_from_a_shaky_route_keep_nobody_else_back() {
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
        "an unsafe message goes to a route that breaks its calls"
    );
    let safe = w.arrive(0, 1, None);
    assert!(w.out(safe).is_some(), "a safe message waits behind unsafe ones that may not go");
    w.end(safe, Outcome::Delivered, 0.0);
    for _ in 0..50 {
        w.pass(100.0);
        deliver_all(&mut w);
    }
    assert!(
        held.iter().all(|id| !w.seen[id].attempts.is_empty()),
        "the unsafe ones go once the route has calmed down"
    );
    w.all_well();
}
