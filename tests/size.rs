//! Hundreds of dispatchers that share destinations: each one has few observations, and all react alike.

mod common;
use common::*;
use lilacbank::api::*;

/// `count` of the dispatchers of an installation that has `dispatchers` of them, each with one endpoint.
fn watched_dispatchers(count: u64, dispatchers: usize) -> Vec<CheckedModule> {
    let one = |seed| {
        CheckedModule::new(Settings { seed, dispatchers, ..settings() }, vec![endpoint_row(0, 1, 0, 0)])
    };
    (1..=count).map(|seed| one(seed * 7919)).collect()
}

/// Ends every attempt of a message with `outcome` for `span`; returns the start times of its new attempts,
/// counted from the call of this function.
fn attempts_after(w: &mut CheckedModule, id: MessageId, outcome: Outcome, span: Ms) -> Vec<Ms> {
    let from = w.now;
    let before = w.seen[&id].attempts.len();
    while w.now < from + span {
        w.advance(10.0);
        if w.outstanding_attempt(id).is_some() {
            w.end_attempt(id, outcome, 0.0);
        }
    }
    w.seen[&id].attempts[before..].iter().map(|a| a.sent - from).collect()
}

/// The largest number of these times that fall into one interval of length `span`.
fn most_within(times: &[Ms], span: Ms) -> usize {
    let from = |t: &Ms| times.iter().filter(|x| **x >= *t && **x < *t + span).count();
    times.iter().map(from).max().unwrap_or(0)
}

/// Guards against a pause of seconds at the first refusal: tokens taken while no rate limit was in force
/// counted as debt.
#[test]
fn the_first_refusal_after_many_attempts_holds_a_destination_back_only_briefly() {
    for senders in [1, 400] {
        let mut w = watched_dispatchers(1, senders).remove(0);
        for _ in 0..60 {
            let id = w.submit(0, 1, None);
            w.advance(80.0);
            w.end_attempt(id, Outcome::Delivered, 0.0);
            w.advance(400.0);
        }
        let id = w.submit(0, 1, None);
        w.end_attempt(id, Outcome::Refused, 0.0);
        w.advance(if senders == 1 { 1_000.0 } else { 4_500.0 });
        assert_eq!(w.seen[&id].attempts.len(), 2, "{senders} dispatchers: one more attempt by now");
        w.end_attempt(id, Outcome::Delivered, 0.0);
        w.assert_rules_kept();
    }
}

/// Guards against a burst at a cold destination: dispatchers that saw a failure at the same moment retried at
/// the same moment.
#[test]
fn retries_of_many_dispatchers_are_few_and_spread() {
    let mut all = Vec::new();
    for mut w in watched_dispatchers(60, 400) {
        w.advance(60_000.0);
        let id = w.submit(0, 1, None);
        w.end_attempt(id, Outcome::NoConnection, 0.0);
        all.extend(attempts_after(&mut w, id, Outcome::NoConnection, 12_000.0));
        assert!(w.violations.is_empty(), "{:?}", w.violations);
    }
    assert!(!all.is_empty(), "no dispatcher retries");
    assert!(all.len() <= 2 * 60, "{} retries of 60 dispatchers in 12 s", all.len());
    let burst = most_within(&all, 1_500.0);
    assert!(burst <= 20, "{burst} retries of 60 dispatchers within 1.5 s");
}

/// Guards against two dispatchers spreading their retries as widely as hundreds have to.
#[test]
fn two_dispatchers_retry_soon() {
    for mut w in watched_dispatchers(2, 2) {
        let id = w.submit(0, 1, None);
        w.end_attempt(id, Outcome::NoConnection, 0.0);
        let attempts = attempts_after(&mut w, id, Outcome::NoConnection, 4_000.0);
        assert!(!attempts.is_empty(), "no retry within 4 s");
    }
}

/// Guards against a burst of dispatchers that received the same retry-after and all returned when it ended.
#[test]
fn a_shared_retry_after_does_not_end_in_a_burst() {
    let mut all = Vec::new();
    for mut w in watched_dispatchers(60, 400) {
        let id = w.submit(0, 1, None);
        w.end_attempt(id, Outcome::Refused, 800.0);
        let attempts = attempts_after(&mut w, id, Outcome::Delivered, 8_000.0);
        assert_eq!(attempts.len(), 1);
        all.extend(attempts);
        w.assert_rules_kept();
    }
    assert!(all.iter().all(|t| *t >= 800.0));
    let burst = most_within(&all, 200.0);
    assert!(burst <= 15, "{burst} attempts of 60 dispatchers within 0.2 s");
}

/// Guards against ramps that are harmless for one dispatcher but exceed in sum what a returning destination
/// can take.
#[test]
fn the_ramps_of_all_dispatchers_stay_low_in_sum() {
    for (count, senders) in [(2, 2), (100, 100)] {
        let (mut sent, mut returned) = (0, 0);
        for mut w in watched_dispatchers(count, senders) {
            w.advance(60_000.0);
            let id = w.submit(0, 1, None);
            w.end_attempt(id, Outcome::NoConnection, 0.0);
            while w.outstanding_attempt(id).is_none() && w.seen[&id].final_answers == 0 {
                w.advance(10.0);
            }
            // Some messages expire before the dispatcher's first retry.
            if w.seen[&id].final_answers > 0 {
                continue;
            }
            returned += 1;
            w.end_attempt(id, Outcome::Delivered, 0.0);
            (0..5).for_each(|_| {
                w.submit(0, 1, None);
            });
            for _ in 0..200 {
                w.advance(10.0);
                let open: Vec<_> =
                    w.seen.keys().copied().filter(|id| w.outstanding_attempt(*id).is_some()).collect();
                sent += open.len();
                open.into_iter().for_each(|id| w.end_attempt(id, Outcome::Delivered, 0.0));
            }
        }
        assert!(returned > 0, "no dispatcher found the destination again");
        // An earlier floor of 1 per second for each dispatcher made 400 calls here.
        assert!(sent <= 12 + count as usize / 2, "{sent} attempts of {count} dispatchers in two seconds");
    }
}

/// Guards against a new message with little time left being taken for an old one and sent last.
#[test]
fn a_message_with_little_time_left_goes_first() {
    let s = Settings { slots: 1, marks_resubmissions: true, ..settings() };
    let mut w = CheckedModule::new(s, vec![endpoint_row(0, 1, 0, 0), endpoint_row(1, 2, 0, 0)]);
    let first = w.submit(0, 1, None);
    let patient = w.submit(0, 2, None);
    let valid_until = w.now + 900.0;
    let urgent = Message { id: 900, valid_until, dest: 2, ..Message::default() };
    w.process(vec![Event::MessageArrived(urgent)]);
    w.advance(100.0);
    w.end_attempt(first, Outcome::Delivered, 0.0);
    assert!(w.outstanding_attempt(900).is_some() && w.outstanding_attempt(patient).is_none());
}

/// Guards against an event causing actions at endpoints for which no message waits.
#[test]
fn an_event_causes_no_actions_at_hundreds_of_unconcerned_endpoints() {
    let rows = (0..600).map(|i| endpoint_row(i, DestId::from(i / 3), (i % 3) as usize, 0)).collect();
    let s = Settings { dispatchers: 1_000, slots: 2, max_held: 500, can_probe: true, ..settings() };
    let mut w = CheckedModule::new(s, rows);
    let ids: Vec<_> = (0..200).map(|i| w.submit(0, i, None)).collect();
    let out: Vec<_> = ids.iter().copied().filter(|id| w.outstanding_attempt(*id).is_some()).collect();
    assert_eq!(out.len(), 2, "two slots");
    let before = w.actions.len();
    w.end_attempt(out[0], Outcome::Delivered, 0.0);
    assert!(w.actions.len() - before <= 2, "one send and a timer: {:?}", &w.actions[before..]);
    for _ in 0..400 {
        w.advance(100.0);
        let open: Vec<_> = w.seen.keys().copied().filter(|id| w.outstanding_attempt(*id).is_some()).collect();
        open.into_iter().for_each(|id| w.end_attempt(id, Outcome::Delivered, 0.0));
    }
    w.assert_rules_kept();
}

/// Guards against refused dispatchers returning to a destination with a small limit every few seconds, which
/// overloaded it again as it recovered.
#[test]
fn pauses_at_a_small_limit_grow_with_the_time_for_which_it_refuses() {
    let mut all = Vec::new();
    for seed in 1..=15 {
        let s = Settings {
            seed: seed * 7919,
            dispatchers: 258,
            weights: WeightMeaning::ApproximateRate,
            ..settings()
        };
        let mut w = CheckedModule::new(s, vec![EndpointEntry { weight: 1.4, ..endpoint_row(0, 1, 0, 0) }]);
        w.advance(60_000.0);
        let id = w.submit(0, 1, None);
        w.end_attempt(id, Outcome::Refused, 0.0);
        all.extend(attempts_after(&mut w, id, Outcome::Refused, 14_000.0));
        assert!(w.violations.is_empty(), "{:?}", w.violations);
    }
    let late: Vec<_> = all.into_iter().filter(|t| *t > 5_000.0).collect();
    let burst = most_within(&late, 3_000.0);
    assert!(burst <= 8, "{burst} attempts of 15 dispatchers within 3 s");
}

/// Guards against a message that no endpoint can accept before its deadline being kept until the deadline.
#[test]
fn a_message_that_no_endpoint_can_accept_in_time_is_returned_at_once() {
    let mut w = watched_dispatchers(1, 400).remove(0);
    let id = w.submit(0, 1, None);
    w.end_attempt(id, Outcome::Refused, 30_000.0);
    assert_eq!(w.seen[&id].final_answers, 1, "returned as soon as the retry-after arrives");
    assert_eq!(w.seen[&id].retry_in, Some(w.settings.max_retry_after));
    w.assert_rules_kept();
}

/// Guards against a dispatcher without any answer so far taking a busy destination for one with a tiny limit:
/// it made no attempt for a minute.
#[test]
fn a_dispatcher_that_never_had_an_answer_soon_retries_a_busy_destination() {
    let mut w = watched_dispatchers(1, 100).remove(0);
    let ids: Vec<_> = (0..6).map(|_| w.submit(0, 1, None)).collect();
    ids[..2].iter().for_each(|id| w.end_attempt(*id, Outcome::NoConnection, 0.0));
    let before: usize = w.seen.values().map(|s| s.attempts.len()).sum();
    w.advance(12_000.0);
    let after: usize = w.seen.values().map(|s| s.attempts.len()).sum();
    assert!(after > before, "no retry within 12 s");
}

/// Guards against decisions that depend on the clock's start value, which may be any.
#[test]
fn the_start_value_of_the_clock_changes_no_decision() {
    let run = |start: Ms| {
        let mut w = CheckedModule::new(
            Settings { dispatchers: 50, ..settings() },
            vec![endpoint_row(0, 1, 0, 0), endpoint_row(1, 1, 1, 0)],
        );
        w.now = start;
        w.brain = lilacbank::DecisionModule::new(w.settings.clone());
        w.timers.clear();
        w.process(vec![Event::EndpointList {
            rows: vec![endpoint_row(0, 1, 0, 0), endpoint_row(1, 1, 1, 0)],
            complete: true,
            cached: true,
        }]);
        let mut sent = Vec::new();
        for i in 0..40 {
            let id = w.submit(i % 2, 1, None);
            w.advance(150.0);
            if w.outstanding_attempt(id).is_some() {
                w.end_attempt(id, if i % 5 == 4 { Outcome::Refused } else { Outcome::Delivered }, 0.0);
            }
            sent.push(
                w.seen[&id].attempts.iter().map(|a| (a.route, (a.sent - start).round())).collect::<Vec<_>>(),
            );
        }
        sent
    };
    assert_eq!(run(1_000.0), run(351_250_000.0));
}

/// Guards against a refusal at a destination with one limit for several endpoints holding back only the
/// endpoint that refused.
#[test]
fn endpoints_under_one_limit_are_held_back_and_released_together() {
    let rows = vec![endpoint_row(0, 1, 0, 1), endpoint_row(1, 1, 1, 1), endpoint_row(2, 1, 0, 1)];
    let mut w = CheckedModule::new(Settings { dispatchers: 80, ..settings() }, rows);
    (0..20).for_each(|_| {
        let id = w.submit(0, 1, None);
        w.advance(100.0);
        w.end_attempt(id, Outcome::Delivered, 0.0);
        w.advance(1_000.0);
    });
    let id = w.submit(0, 1, None);
    w.end_attempt(id, Outcome::Refused, 4_000.0);
    (0..8).for_each(|_| {
        w.submit(0, 1, None);
    });
    let open = |w: &CheckedModule| {
        w.seen.keys().copied().filter(|id| w.outstanding_attempt(*id).is_some()).collect::<Vec<_>>()
    };
    while open(&w).is_empty() && w.now < 60_000.0 {
        w.advance(10.0);
    }
    assert_eq!(open(&w).len(), 1, "one first attempt for all endpoints under the limit");
    w.advance(60.0);
    let mut sent = 0;
    for _ in 0..20 {
        let out = open(&w);
        sent += out.len();
        out.into_iter().for_each(|id| w.end_attempt(id, Outcome::Delivered, 0.0));
        w.advance(50.0);
    }
    assert!(sent <= 3, "{sent} attempts in the first second after the return");
}
