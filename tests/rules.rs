//! Each delivery rule of the decision module by itself, and scripts drawn from seeds, under the rule checker.

mod common;
use common::*;
use lilacbank::api::*;

/// Two endpoints of destination 1, in zones 0 and 1.
fn two_endpoints() -> CheckedModule {
    CheckedModule::new(settings(), vec![endpoint_row(0, 1, 0, 0), endpoint_row(1, 1, 1, 0)])
}

#[test]
fn a_message_is_sent_at_once_and_ends_once() {
    let mut w = two_endpoints();
    let id = w.submit(0, 1, None);
    assert!(w.outstanding_attempt(id).is_some());
    w.advance(80.0);
    w.end_attempt(id, Outcome::Delivered, 0.0);
    w.advance(20_000.0);
    w.assert_rules_kept();
}

#[test]
fn a_message_that_is_always_refused_is_returned_in_time() {
    let mut w = CheckedModule::new(settings(), vec![endpoint_row(0, 1, 0, 0)]);
    let ids: Vec<_> = (0..6).map(|_| w.submit(2, 1, None)).collect();
    for id in ids {
        if w.outstanding_attempt(id).is_some() {
            w.end_attempt(id, Outcome::Refused, 0.0);
        }
    }
    for _ in 0..200 {
        w.advance(100.0);
        let open: Vec<_> = w.seen.keys().copied().filter(|id| w.outstanding_attempt(*id).is_some()).collect();
        open.into_iter().for_each(|id| w.end_attempt(id, Outcome::Refused, 0.0));
    }
    w.assert_rules_kept();
    assert!(w.seen.values().all(|s| s.retry_in.is_some()), "every message that never ran is returned");
}

#[test]
fn a_message_without_an_endpoint_or_without_time_gets_one_final_answer() {
    let mut w = two_endpoints();
    w.submit(0, 99, None);
    let m = Message {
        id: 500,
        class: 0,
        tenant: None,
        key: None,
        valid_until: w.now,
        dest: 1,
        resubmitted: false,
        estimated_work: 0.0,
    };
    w.process(vec![Event::MessageArrived(m)]);
    assert_eq!(w.seen[&500].final_answers, 1);
    w.advance(20_000.0);
    w.assert_rules_kept();
}

#[test]
fn an_at_most_once_message_that_may_have_run_is_given_up_at_once() {
    let mut w = two_endpoints();
    let id = w.submit(2, 1, None);
    assert_eq!(w.outstanding_attempt(id).unwrap().timeout, None, "no timeout shorter than the deadline");
    w.end_attempt(id, Outcome::Error, 0.0);
    assert!(w.seen[&id].given_up);
    assert_eq!(w.seen[&id].attempts.len(), 1);
    w.assert_rules_kept();
}

#[test]
fn an_at_most_once_message_goes_to_another_endpoint_once_it_provably_never_ran() {
    let mut w = two_endpoints();
    let id = w.submit(2, 1, None);
    let first = w.outstanding_attempt(id).unwrap().route;
    w.end_attempt(id, Outcome::NoConnection, 0.0);
    w.advance(50.0);
    assert_ne!(w.outstanding_attempt(id).expect("sent again").route, first);
    w.end_attempt(id, Outcome::Delivered, 0.0);
    w.assert_rules_kept();
}

#[test]
fn a_deduplicated_message_is_repeated_only_in_its_zone_and_window() {
    let mut w = two_endpoints();
    let id = w.submit(1, 1, None);
    let first = w.outstanding_attempt(id).unwrap();
    w.end_attempt(id, Outcome::Reset, 0.0);
    for _ in 0..100 {
        w.advance(100.0);
        if w.outstanding_attempt(id).is_some() {
            w.end_attempt(id, Outcome::Error, 0.0);
        }
    }
    let s = &w.seen[&id];
    assert!(s.attempts.len() > 1, "it has a second attempt");
    assert!(s.attempts.iter().all(|a| a.route == first.route));
    assert!(s.given_up && s.ended_at <= first.sent + 4_000.0, "given up when its window closes, not later");
    w.assert_rules_kept();
}

#[test]
fn a_draining_endpoint_gets_no_message() {
    let mut w = two_endpoints();
    let draining = EndpointEntry { state: ServiceState::Draining, ..endpoint_row(0, 1, 0, 0) };
    w.process(vec![Event::EndpointList { rows: vec![draining], complete: false, cached: false }]);
    w.advance(300.0);
    for _ in 0..10 {
        let id = w.submit(0, 1, None);
        assert_eq!(w.outstanding_attempt(id).expect("sent").route, 1);
        w.end_attempt(id, Outcome::Delivered, 0.0);
    }
    w.assert_rules_kept();
}

#[test]
fn a_retry_after_binds_the_endpoint_or_the_whole_destination() {
    for (kind, other_allowed) in [(0, true), (1, false)] {
        let mut w =
            CheckedModule::new(settings(), vec![endpoint_row(0, 1, 0, kind), endpoint_row(1, 1, 1, kind)]);
        let id = w.submit(0, 1, None);
        let first = w.outstanding_attempt(id).unwrap().route;
        w.end_attempt(id, Outcome::Refused, 1_500.0);
        w.advance(1_000.0);
        assert_eq!(w.outstanding_attempt(id).is_some(), other_allowed, "kind {kind}");
        assert!(w.outstanding_attempt(id).is_none_or(|a| a.route != first));
        w.advance(2_500.0);
        assert!(w.outstanding_attempt(id).is_some(), "sent once the retry-after is over");
        w.end_attempt(id, Outcome::Delivered, 0.0);
        w.assert_rules_kept();
    }
}

#[test]
fn a_destination_gets_a_reduced_rate_after_an_outage() {
    let mut w = CheckedModule::new(settings(), vec![endpoint_row(0, 1, 0, 0)]);
    // 40 accepted messages in 4 s show a rate of 10 per second.
    for _ in 0..40 {
        let id = w.submit(0, 1, None);
        w.advance(50.0);
        if w.outstanding_attempt(id).is_some() {
            w.end_attempt(id, Outcome::Delivered, 0.0);
        }
        w.advance(50.0);
    }
    // An outage of 8 s, in which messages queue up.
    for i in 0..40 {
        w.advance(200.0);
        if i < 30 {
            w.submit(0, 1, None);
        }
        let open: Vec<_> = w.seen.keys().copied().filter(|id| w.outstanding_attempt(*id).is_some()).collect();
        open.into_iter().for_each(|id| w.end_attempt(id, Outcome::NoConnection, 0.0));
    }
    let recovered = w.now;
    for _ in 0..200 {
        w.advance(20.0);
        let open: Vec<_> = w.seen.keys().copied().filter(|id| w.outstanding_attempt(*id).is_some()).collect();
        open.into_iter().for_each(|id| w.end_attempt(id, Outcome::Delivered, 0.0));
    }
    let sent = w
        .seen
        .values()
        .flat_map(|s| &s.attempts)
        .filter(|a| a.sent >= recovered && a.sent < recovered + 2_000.0);
    // The bound: twice a fifth of 10 per second, for 2 s, is 8.
    let sent = sent.count();
    assert!((1..=8).contains(&sent), "{sent} attempts in the first two seconds");
    w.advance(20_000.0);
}

#[test]
fn a_key_keeps_its_order_and_its_quiet_period() {
    let mut w = two_endpoints();
    let a = w.submit(3, 1, Some(9));
    let b = w.submit(3, 1, Some(9));
    w.advance(100.0);
    assert!(w.outstanding_attempt(a).is_some() && w.outstanding_attempt(b).is_none());
    w.process(vec![Event::ClientLeft(a)]);
    w.seen.get_mut(&a).unwrap().final_answers = 1;
    w.advance(100.0);
    assert!(w.outstanding_attempt(b).is_none(), "an attempt of the first message is still outstanding");
    w.end_attempt(a, Outcome::Reset, 0.0);
    w.advance(400.0);
    assert!(w.outstanding_attempt(b).is_none(), "the quiet period of the key is not over");
    w.advance(400.0);
    assert!(w.outstanding_attempt(b).is_some());
    w.end_attempt(b, Outcome::Delivered, 0.0);
    w.assert_rules_kept();
}

#[test]
fn late_and_unknown_events_are_ignored() {
    let mut w = two_endpoints();
    let id = w.submit(0, 1, None);
    w.end_attempt(id, Outcome::Delivered, 0.0);
    let e = AttemptEnd { took: 9.0, message_ended: true, ..AttemptEnd::new(id, 0, 0, Outcome::Late) };
    let stray = AttemptEnd { id: 777, endpoint: 55, ..e };
    let events = vec![
        Event::AttemptEnded(e),
        Event::AttemptEnded(stray),
        Event::ClientLeft(12),
        Event::ProbeEnded {
            endpoint: 99,
            outcome: Outcome::Delivered,
            took: 1.0,
            report: LimitReport::default(),
        },
        Event::Timer(3),
        Event::EndpointListFailed,
    ];
    assert!(w.process(events).iter().all(|a| matches!(a, Action::Timer { .. })));
    w.assert_rules_kept();
}

#[test]
fn extreme_settings_break_no_rule() {
    for (slots, window, attempts) in [(0, 0.0, 6), (1, 0.0, 1), (2, 4_000.0, 0)] {
        let mut s = Settings { slots, max_attempts: attempts, max_held: 0, ..settings() };
        s.classes.iter_mut().for_each(|c| c.dedup_window = window);
        s.kinds.clear();
        let mut w = CheckedModule::new(s, vec![endpoint_row(0, 1, 0, 0)]);
        for class in 0..3 {
            w.submit(class, 1, None);
        }
        for _ in 0..40 {
            w.advance(500.0);
            let open: Vec<_> =
                w.seen.keys().copied().filter(|id| w.outstanding_attempt(*id).is_some()).collect();
            open.into_iter().for_each(|id| w.end_attempt(id, Outcome::Reset, 0.0));
        }
        w.assert_rules_kept();
    }
}

/// Runs a script drawn from a seed: arrivals, outcomes of every kind, retry-afters, endpoints that drain or
/// go, and pauses. Returns the actions of the module.
fn random_script(seed: u64, steps: usize) -> Vec<Action> {
    let mut x = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
    let mut draw = move |n: u64| {
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        (x >> 11) % n
    };
    let rows =
        (0..6).map(|i| endpoint_row(i, DestId::from(i / 2), (i % 2) as usize, (i / 2) as usize)).collect();
    let mut w = CheckedModule::new(Settings { seed, can_probe: seed.is_multiple_of(2), ..settings() }, rows);
    for _ in 0..steps {
        for _ in 0..draw(12) {
            w.advance(10.0);
            end_due_attempts(&mut w);
        }
        if draw(3) > 0 {
            let class = draw(4) as usize;
            w.submit(class, draw(3), (class == 3).then(|| draw(3)));
        }
        let open: Vec<_> = w.seen.keys().copied().filter(|id| w.outstanding_attempt(*id).is_some()).collect();
        for id in open {
            let outcome = match draw(14) {
                0..=5 => Outcome::Delivered,
                6 => Outcome::Error,
                7 => Outcome::Refused,
                8 => Outcome::NoConnection,
                9 => Outcome::Reset,
                _ => continue,
            };
            let has_wait = outcome == Outcome::Refused && draw(2) == 0;
            let wait = if has_wait { draw(1_500) as f64 } else { 0.0 };
            w.end_attempt(id, outcome, wait);
        }
        if draw(60) == 0 {
            let i = draw(6) as u32;
            let listing = if draw(2) == 0 { ServiceState::Draining } else { ServiceState::Removed };
            let r = EndpointEntry {
                state: listing,
                ..endpoint_row(i, DestId::from(i / 2), (i % 2) as usize, (i / 2) as usize)
            };
            if w.endpoints.values().filter(|r| r.state == ServiceState::InService).count() > 3 {
                w.process(vec![Event::EndpointList { rows: vec![r], complete: false, cached: false }]);
            }
        }
    }
    for _ in 0..2_000 {
        w.advance(10.0);
        end_due_attempts(&mut w);
    }
    w.assert_rules_kept();
    w.actions
}

/// Ends the attempts that have timed out or were cancelled, as the host of the module does.
fn end_due_attempts(w: &mut CheckedModule) {
    for id in w.seen.keys().copied().collect::<Vec<_>>() {
        let Some(a) = w.outstanding_attempt(id) else { continue };
        let due = (w.seen[&id].message.valid_until).min(a.timeout.map_or(f64::MAX, |c| a.sent + c));
        let cancelled = w.actions.contains(&Action::Cancel { id, attempt: a.number });
        if w.now >= due {
            w.end_attempt(id, Outcome::Late, 0.0);
        } else if cancelled {
            w.end_attempt(id, Outcome::Cancelled, 0.0);
        }
    }
}

#[test]
fn seeded_scripts_keep_the_rules_and_are_deterministic() {
    for seed in 1..=40 {
        let first = random_script(seed, 250);
        assert_eq!(first, random_script(seed, 250), "seed {seed}: the same events gave different actions");
    }
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config {
        cases: 24, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..Default::default()
    })]
    #[test]
    fn scripts_of_random_seeds_and_lengths_keep_the_rules(seed in 1_000u64..1_000_000, steps in 10usize..200) {
        random_script(seed, steps);
    }
}
