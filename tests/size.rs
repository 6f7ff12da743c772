//! Hundreds of senders that share destinations: evidence is rare, and what each does, all do.

mod common;
use common::*;
use lilacbank::api::*;

/// `count` senders of `senders`, each with a list of one route.
fn crowd(count: u64, senders: usize) -> Vec<Watched> {
    let one = |seed| Watched::new(Settings { seed, senders, ..settings() }, vec![row(0, 1, 0, 0)]);
    (1..=count).map(|seed| one(seed * 7919)).collect()
}

/// Sends of a message after its first, as times since `from`, while every attempt ends with `outcome`.
fn tries_after(w: &mut Watched, id: MsgId, outcome: Outcome, span: Ms) -> Vec<Ms> {
    let from = w.now;
    let before = w.seen[&id].attempts.len();
    while w.now < from + span {
        w.pass(10.0);
        if w.out(id).is_some() {
            w.end(id, outcome, 0.0);
        }
    }
    w.seen[&id].attempts[before..].iter().map(|a| a.sent - from).collect()
}

/// Most of the times that fall into one span.
fn most_within(times: &[Ms], span: Ms) -> usize {
    let from = |t: &Ms| times.iter().filter(|x| **x >= *t && **x < *t + span).count();
    times.iter().map(from).max().unwrap_or(0)
}

/// Tokens taken while there was no pace were a debt of seconds at the first refusal.
#[test]
fn the_first_refusal_after_many_calls_holds_a_destination_for_a_moment_only() {
    for senders in [1, 400] {
        let mut w = crowd(1, senders).remove(0);
        for _ in 0..60 {
            let id = w.arrive(0, 1, None);
            w.pass(80.0);
            w.end(id, Outcome::Delivered, 0.0);
            w.pass(400.0);
        }
        let id = w.arrive(0, 1, None);
        w.end(id, Outcome::Refused, 0.0);
        w.pass(if senders == 1 { 1_000.0 } else { 4_500.0 });
        assert_eq!(w.seen[&id].attempts.len(), 2, "{senders} senders: sent again soon");
        w.end(id, Outcome::Delivered, 0.0);
        w.all_well();
    }
}

/// Senders that saw one failure at one moment tried again in one burst, onto a cold destination.
#[test]
fn trials_of_a_crowd_are_few_and_spread() {
    let mut all = Vec::new();
    for mut w in crowd(60, 400) {
        w.pass(60_000.0);
        let id = w.arrive(0, 1, None);
        w.end(id, Outcome::NoConnection, 0.0);
        all.extend(tries_after(&mut w, id, Outcome::NoConnection, 12_000.0));
        assert!(w.broken.is_empty(), "{:?}", w.broken);
    }
    assert!(!all.is_empty(), "somebody tries");
    assert!(all.len() <= 2 * 60, "{} trials of 60 senders in 12 s", all.len());
    let burst = most_within(&all, 1_500.0);
    assert!(burst <= 20, "{burst} of 60 senders within 1.5 s");
}

/// With two senders a trial is not put off for a crowd that cannot be there.
#[test]
fn two_senders_try_soon() {
    for mut w in crowd(2, 2) {
        let id = w.arrive(0, 1, None);
        w.end(id, Outcome::NoConnection, 0.0);
        let tries = tries_after(&mut w, id, Outcome::NoConnection, 4_000.0);
        assert!(!tries.is_empty(), "no trial within 4 s");
    }
}

/// Senders that were told one wait all came back when it ended.
#[test]
fn a_told_wait_does_not_end_in_a_burst() {
    let mut all = Vec::new();
    for mut w in crowd(60, 400) {
        let id = w.arrive(0, 1, None);
        w.end(id, Outcome::Refused, 800.0);
        let tries = tries_after(&mut w, id, Outcome::Delivered, 8_000.0);
        assert_eq!(tries.len(), 1);
        all.extend(tries);
        w.all_well();
    }
    assert!(all.iter().all(|t| *t >= 800.0));
    let burst = most_within(&all, 200.0);
    assert!(burst <= 15, "{burst} of 60 senders within 0.2 s");
}

/// What senders that saw an outage send to the returning destination stays under what it may be sent.
#[test]
fn ramps_of_a_crowd_sum_up() {
    for (count, senders) in [(2, 2), (100, 100)] {
        let (mut sent, mut returned) = (0, 0);
        for mut w in crowd(count, senders) {
            w.pass(60_000.0);
            let id = w.arrive(0, 1, None);
            w.end(id, Outcome::NoConnection, 0.0);
            while w.out(id).is_none() && w.seen[&id].finals == 0 {
                w.pass(10.0);
            }
            // Some find no time for a trial before the message is over.
            if w.seen[&id].finals > 0 {
                continue;
            }
            returned += 1;
            w.end(id, Outcome::Delivered, 0.0);
            (0..5).for_each(|_| {
                w.arrive(0, 1, None);
            });
            for _ in 0..200 {
                w.pass(10.0);
                let open: Vec<_> = w.seen.keys().copied().filter(|id| w.out(*id).is_some()).collect();
                sent += open.len();
                open.into_iter().for_each(|id| w.end(id, Outcome::Delivered, 0.0));
            }
        }
        assert!(returned > 0, "somebody finds it back");
        // One a second for each sender was the old floor: 400 calls here.
        assert!(sent <= 12 + count as usize / 2, "{sent} calls of {count} senders in two seconds");
    }
}

/// A fresh message with little time left was taken for an old one and went last.
#[test]
fn a_message_with_little_time_goes_first() {
    let s = Settings { slots: 1, marks_again: true, ..settings() };
    let mut w = Watched::new(s, vec![row(0, 1, 0, 0), row(1, 2, 0, 0)]);
    let first = w.arrive(0, 1, None);
    let patient = w.arrive(0, 2, None);
    let valid_until = w.now + 900.0;
    let hurried = Message { id: 900, valid_until, dest: 2, ..Message::default() };
    w.give(vec![Event::Arrived(hurried)]);
    w.pass(100.0);
    w.end(first, Outcome::Delivered, 0.0);
    assert!(w.out(900).is_some() && w.out(patient).is_none());
}

/// The work of an event does not reach routes that nothing waits for: no action names them.
#[test]
fn hundreds_of_routes_and_a_long_queue_act_only_where_something_happens() {
    let rows = (0..600).map(|i| row(i, DestId::from(i / 3), (i % 3) as usize, 0)).collect();
    let s = Settings { senders: 1_000, slots: 2, max_held: 500, can_probe: true, ..settings() };
    let mut w = Watched::new(s, rows);
    let ids: Vec<_> = (0..200).map(|i| w.arrive(0, i, None)).collect();
    let out: Vec<_> = ids.iter().copied().filter(|id| w.out(*id).is_some()).collect();
    assert_eq!(out.len(), 2, "two slots");
    let before = w.actions.len();
    w.end(out[0], Outcome::Delivered, 0.0);
    assert!(w.actions.len() - before <= 2, "one send and a timer: {:?}", &w.actions[before..]);
    for _ in 0..400 {
        w.pass(100.0);
        let open: Vec<_> = w.seen.keys().copied().filter(|id| w.out(*id).is_some()).collect();
        open.into_iter().for_each(|id| w.end(id, Outcome::Delivered, 0.0));
    }
    w.all_well();
}

/// Refused senders came back to a small limit every few seconds and pushed it over as it returned.
#[test]
fn rests_of_a_crowd_at_a_small_limit_grow_with_the_time_it_refuses() {
    let mut all = Vec::new();
    for seed in 1..=15 {
        let s = Settings { seed: seed * 7919, senders: 258, weights: Weights::RoughRate, ..settings() };
        let mut w = Watched::new(s, vec![Row { weight: 1.4, ..row(0, 1, 0, 0) }]);
        w.pass(60_000.0);
        let id = w.arrive(0, 1, None);
        w.end(id, Outcome::Refused, 0.0);
        all.extend(tries_after(&mut w, id, Outcome::Refused, 14_000.0));
        assert!(w.broken.is_empty(), "{:?}", w.broken);
    }
    let late: Vec<_> = all.into_iter().filter(|t| *t > 5_000.0).collect();
    let burst = most_within(&late, 3_000.0);
    assert!(burst <= 8, "{burst} calls of 15 senders within 3 s");
}

/// A message that no route can take while there is time was kept until its time was up.
#[test]
fn a_message_that_nothing_can_take_in_time_is_answered_at_once() {
    let mut w = crowd(1, 400).remove(0);
    let id = w.arrive(0, 1, None);
    w.end(id, Outcome::Refused, 30_000.0);
    assert_eq!(w.seen[&id].finals, 1, "handed back as soon as the wait is told");
    assert_eq!(w.seen[&id].advice, Some(w.s.max_advice));
    w.all_well();
}

/// A sender that had no answer yet took a busy destination for a tiny one: no trial for a minute.
#[test]
fn a_busy_destination_is_tried_again_soon_by_a_sender_that_never_had_an_answer() {
    let mut w = crowd(1, 100).remove(0);
    let ids: Vec<_> = (0..6).map(|_| w.arrive(0, 1, None)).collect();
    ids[..2].iter().for_each(|id| w.end(*id, Outcome::NoConnection, 0.0));
    let before: usize = w.seen.values().map(|s| s.attempts.len()).sum();
    w.pass(12_000.0);
    let after: usize = w.seen.values().map(|s| s.attempts.len()).sum();
    assert!(after > before, "no trial within 12 s");
}

/// The clock may start anywhere.
#[test]
fn the_start_of_the_clock_changes_nothing() {
    let run = |start: Ms| {
        let mut w =
            Watched::new(Settings { senders: 50, ..settings() }, vec![row(0, 1, 0, 0), row(1, 1, 1, 0)]);
        w.now = start;
        w.brain = lilacbank::Brain::new(w.s.clone());
        w.timers.clear();
        w.give(vec![Event::List { rows: vec![row(0, 1, 0, 0), row(1, 1, 1, 0)], whole: true, cached: true }]);
        let mut sent = Vec::new();
        for i in 0..40 {
            let id = w.arrive(i % 2, 1, None);
            w.pass(150.0);
            if w.out(id).is_some() {
                w.end(id, if i % 5 == 4 { Outcome::Refused } else { Outcome::Delivered }, 0.0);
            }
            sent.push(
                w.seen[&id].attempts.iter().map(|a| (a.route, (a.sent - start).round())).collect::<Vec<_>>(),
            );
        }
        sent
    };
    assert_eq!(run(1_000.0), run(351_250_000.0));
}

/// A destination of several routes under one limit shut; only the route that was refused was held back.
#[test]
fn routes_under_one_limit_are_shut_and_come_back_as_one() {
    let rows = vec![row(0, 1, 0, 1), row(1, 1, 1, 1), row(2, 1, 0, 1)];
    let mut w = Watched::new(Settings { senders: 80, ..settings() }, rows);
    (0..20).for_each(|_| {
        let id = w.arrive(0, 1, None);
        w.pass(100.0);
        w.end(id, Outcome::Delivered, 0.0);
        w.pass(1_000.0);
    });
    let id = w.arrive(0, 1, None);
    w.end(id, Outcome::Refused, 4_000.0);
    (0..8).for_each(|_| {
        w.arrive(0, 1, None);
    });
    let open = |w: &Watched| w.seen.keys().copied().filter(|id| w.out(*id).is_some()).collect::<Vec<_>>();
    while open(&w).is_empty() && w.now < 60_000.0 {
        w.pass(10.0);
    }
    assert_eq!(open(&w).len(), 1, "one trial of all that share the limit");
    w.pass(60.0);
    let mut sent = 0;
    for _ in 0..20 {
        let out = open(&w);
        sent += out.len();
        out.into_iter().for_each(|id| w.end(id, Outcome::Delivered, 0.0));
        w.pass(50.0);
    }
    assert!(sent <= 3, "{sent} calls in the first second after the return");
}
