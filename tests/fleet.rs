//! A hundred dispatchers at destinations whose limit they share: behaviour that is harmless for one must be
//! harmless for all together.

mod common;
use common::{endpoint_row, settings, CheckedModule};
use lilacbank::api::*;
use lilacbank::DecisionModule;
use std::collections::BTreeMap;

/// A deterministic destination with one limit for all dispatchers. Refused calls use up the limit too.
struct Limited {
    limit: f64,
    /// Start and end of an outage, in which it refuses connections. It is cold afterwards: it takes a fifth
    /// of its limit, which grows to all of it within 10 s.
    down: (Ms, Ms),
    /// Tokens left at the time `at`.
    level: f64,
    at: Ms,
}

impl Limited {
    /// Accepts or refuses a call; returns which, and the share of the limit that is left.
    fn call(&mut self, now: Ms) -> (bool, f64) {
        let part = (0.2 + 0.8 * (now - self.down.1) / 10_000.0).clamp(0.2, 1.0);
        let depth = 0.6 * self.limit * part;
        self.level = (self.level + (now - self.at) / 1000.0 * self.limit * part).min(depth);
        self.at = now;
        let accepted = self.level >= 1.0;
        self.level = (self.level - 1.0).max(0.0);
        (accepted, (self.level / depth).max(0.0))
    }
}

/// Dispatchers on one clock, with the events scheduled for each.
struct Simulation {
    brains: Vec<DecisionModule>,
    /// Scheduled events by time in microseconds and a number that makes the key unique. Keys of time
    /// `u64::MAX` count the attempts of each message instead.
    due: BTreeMap<(u64, u64), (usize, Event)>,
    count: u64,
    dest: Limited,
    now: Ms,
    /// State of the generator of random numbers.
    state: u64,
    /// Calls accepted and refused, by second.
    accepted: Vec<usize>,
    refused: Vec<usize>,
}

/// Time from a send to its answer, without service.
const ROUND_TRIP: Ms = 60.0;

impl Simulation {
    fn new(senders: usize, limit: f64, seed: u64) -> Simulation {
        let s = |n: usize| Settings {
            seed: seed * 1_000 + n as u64,
            dispatchers: senders,
            slots: 5,
            reports_limits: true,
            refused_price: 0.1,
            ..settings()
        };
        let mut fleet = Simulation {
            brains: (0..senders).map(|n| DecisionModule::new(s(n))).collect(),
            due: BTreeMap::new(),
            count: 0,
            dest: Limited { limit, down: (-1e5, -1e5), level: 0.6 * limit, at: 0.0 },
            now: 0.0,
            state: seed,
            accepted: vec![0; 64],
            refused: vec![0; 64],
        };
        fleet.list(vec![endpoint_row(0, 1, 0, 0)]);
        fleet
    }

    /// Gives all dispatchers this endpoint list.
    fn list(&mut self, rows: Vec<EndpointEntry>) {
        let list = Event::EndpointList { rows, complete: true, cached: false };
        (0..self.brains.len()).for_each(|n| self.give(n, list.clone()));
    }

    /// A random number from 0 to 1.
    fn random(&mut self) -> f64 {
        self.state = self.state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.state >> 33) as f64 / (1u64 << 31) as f64
    }

    fn schedule(&mut self, at: Ms, sender: usize, e: Event) {
        self.count += 1;
        self.due.insert(((at * 1000.0) as u64, self.count), (sender, e));
    }

    fn give(&mut self, n: usize, e: Event) {
        let mut actions = Vec::new();
        self.brains[n].step(self.now, &[e], &mut actions);
        for a in actions {
            match a {
                Action::Timer { at, token } => self.schedule(at, n, Event::Timer(token)),
                Action::Send { id, endpoint: route, .. }
                    if (self.dest.down.0..self.dest.down.1).contains(&self.now) =>
                {
                    let attempt = self.attempt(n, id);
                    let e = AttemptEnd {
                        took: ROUND_TRIP,
                        ..AttemptEnd::new(id, attempt, route, Outcome::NoConnection)
                    };
                    self.schedule(self.now + ROUND_TRIP, n, Event::AttemptEnded(e));
                }
                Action::Send { id, endpoint: route, .. } => {
                    let (accepted, left) = self.dest.call(self.now);
                    let second = (self.now / 1000.0) as usize;
                    (if accepted { &mut self.accepted } else { &mut self.refused })[second] += 1;
                    let took = if accepted { ROUND_TRIP + 100.0 } else { ROUND_TRIP };
                    let outcome = if accepted { Outcome::Delivered } else { Outcome::Refused };
                    let wait = if accepted { 0.0 } else { 500.0 };
                    let report = LimitReport { remaining_share: Some(left), limit: Some(self.dest.limit) };
                    // A message has one attempt at a time; attempts are numbered by how often it was sent.
                    let attempt = self.attempt(n, id);
                    let ended = AttemptEnd::new(id, attempt, route, outcome);
                    let e = AttemptEnd {
                        took,
                        message_ended: accepted,
                        retry_after: wait,
                        report,
                        answer_begun: true,
                        ..ended
                    };
                    self.schedule(self.now + took, n, Event::AttemptEnded(e));
                }
                _ => {}
            }
        }
    }

    /// The number of a message's next attempt, counted in the scheduled events under a key of its own.
    fn attempt(&mut self, n: usize, id: MessageId) -> u32 {
        let key = (u64::MAX, (n as u64) << 32 | id);
        let tries = match self.due.remove(&key) {
            Some((_, Event::Timer(t))) => t + 1,
            _ => 0,
        };
        self.due.insert(key, (n, Event::Timer(tries)));
        tries as u32
    }

    /// Runs the simulation until the time `until`, with `rate` messages per second that arrive at random
    /// dispatchers.
    fn run(&mut self, rate: f64, until: Ms) {
        let mut next = self.now;
        while self.now < until {
            let due = self.due.first_key_value().map(|(k, _)| k.0 as f64 / 1000.0).unwrap_or(f64::MAX);
            if next <= due {
                self.now = self.now.max(next);
                next += -(1.0 - self.random()).ln() * 1000.0 / rate;
                let n = (self.random() * self.brains.len() as f64) as usize;
                self.count += 1;
                let valid_until = self.now + 8_000.0;
                let m = Message { id: self.count, class: 0, valid_until, dest: 1, ..Message::default() };
                self.give(n, Event::MessageArrived(m));
            } else if let Some((_, (n, e))) = self.due.pop_first() {
                self.now = self.now.max(due);
                self.give(n, e);
            }
        }
    }

    /// Calls accepted and refused from second `from` up to, without, second `to`.
    fn calls_between(&self, from: usize, to: usize) -> (usize, usize) {
        (self.accepted[from..to].iter().sum(), self.refused[from..to].iter().sum())
    }
}

/// Guards against refused calls using up a limit for good: 100 dispatchers that each retried at a rate of
/// their own got nothing accepted.
#[test]
fn a_load_above_the_limit_leaves_most_of_the_limit_usable() {
    for seed in 1..=5 {
        let mut fleet = Simulation::new(100, 25.0, seed);
        fleet.run(40.0, 30_000.0);
        let (accepted, refused) = fleet.calls_between(5, 30);
        assert!(accepted as f64 >= 0.7 * 25.0 * 25.0, "seed {seed}: {accepted} accepted, {refused} refused");
        assert!(refused * 3 <= accepted, "seed {seed}: {accepted} accepted, {refused} refused");
    }
}

/// Guards against endless refusals after a limit is lowered, and against dispatchers that stay slow after it
/// is raised again.
#[test]
fn a_limit_that_is_lowered_and_raised_under_load_is_followed() {
    for seed in 1..=5 {
        let mut fleet = Simulation::new(100, 50.0, seed);
        fleet.run(40.0, 10_000.0);
        fleet.dest.limit = 20.0;
        fleet.run(40.0, 19_000.0);
        let (low, refused) = fleet.calls_between(13, 19);
        assert!(
            low as f64 >= 0.6 * 20.0 * 6.0,
            "seed {seed}: {low} accepted, {refused} refused at the low limit"
        );
        fleet.dest.limit = 50.0;
        fleet.run(40.0, 30_000.0);
        let (high, _) = fleet.calls_between(22, 30);
        assert!(
            high as f64 >= 0.9 * 40.0 * 8.0,
            "seed {seed}: {high} accepted after the limit was raised again"
        );
    }
}

/// Guards against dispatchers that each estimate from their own demand alone: they returned at a trickle to a
/// destination whose limit was four times the load.
#[test]
fn a_cold_destination_is_used_up_to_its_capacity_and_not_beyond() {
    for seed in 1..=5 {
        let mut fleet = Simulation::new(100, 160.0, seed);
        fleet.run(40.0, 10_000.0);
        fleet.dest.down = (10_000.0, 15_000.0);
        fleet.run(40.0, 30_000.0);
        let (accepted, refused) = fleet.calls_between(17, 22);
        assert!(accepted as f64 >= 1.2 * 40.0 * 5.0, "seed {seed}: {accepted} accepted, {refused} refused");
        for from in 15..22 {
            let sent = fleet.calls_between(from, from + 2);
            let cold = 160.0 * (0.2 + 0.08 * (from as f64 - 15.0)) * 2.0;
            assert!(
                ((sent.0 + sent.1) as f64) < 2.0 * cold,
                "seed {seed}: {sent:?} in two seconds from {from}"
            );
        }
    }
}

/// Guards against all dispatchers sending their backlog at once when an endpoint is listed: 228 calls in one
/// second to an endpoint that takes 40.
#[test]
fn an_endpoint_that_is_listed_to_all_at_once_is_not_overloaded() {
    for seed in 1..=5 {
        let mut fleet = Simulation::new(100, 40.0, seed);
        fleet.list(Vec::new());
        fleet.run(150.0, 1_900.0);
        fleet.list(vec![endpoint_row(1, 1, 0, 0)]);
        fleet.run(20.0, 8_000.0);
        let (accepted, refused) = fleet.calls_between(1, 8);
        assert!(
            accepted >= 150 && refused <= accepted / 3,
            "seed {seed}: {accepted} accepted, {refused} refused"
        );
    }
}

/// Guards against probes where a message can serve as the test: a refused connection proves that nothing ran,
/// and the probes of 100 dispatchers used up the capacity of a cold destination without delivering anything.
/// A destination that accepted calls and did not answer them is probed.
#[test]
fn a_destination_that_refused_connections_is_tested_by_a_message_and_a_silent_one_by_a_probe() {
    for (outcome, probed) in [(Outcome::NoConnection, false), (Outcome::Late, true)] {
        let s = Settings { dispatchers: 100, can_probe: true, ..settings() };
        let mut w = CheckedModule::new(s, vec![endpoint_row(0, 1, 0, 0)]);
        for _ in 0..4 {
            let id = w.submit(0, 1, None);
            w.outstanding_attempt(id).into_iter().for_each(|_| w.end_attempt(id, outcome, 0.0));
        }
        w.actions.clear();
        w.advance(12_000.0);
        let first = w.actions.iter().find(|a| matches!(a, Action::Probe(_) | Action::Send { .. }));
        assert_eq!(first.map(|a| matches!(a, Action::Probe(_))), Some(probed), "{outcome:?}");
    }
}

/// Guards against timeouts from too few samples: a dispatcher that rarely used an endpoint cut off a third of
/// its attempts, each at the slower of the only two times it had seen.
#[test]
fn a_watchdog_needs_more_than_a_few_attempts_at_its_endpoint() {
    let mut s = settings();
    (s.classes[0].target_time, s.classes[0].deadline, s.classes[0].late_worth) = (250.0, 600.0, 0.0);
    let mut w = CheckedModule::new(s, vec![endpoint_row(0, 1, 0, 0), endpoint_row(1, 1, 0, 0)]);
    let mut own = [0, 0];
    let mut cuts = 0;
    for n in 0..80 {
        let id = w.submit(0, 1, None);
        let Some(a) = w.outstanding_attempt(id) else { continue };
        let route = a.route as usize;
        assert!(a.timeout.is_none() || own[route] >= 8, "a timeout was set after {own:?} answered attempts");
        cuts += usize::from(a.timeout.is_some());
        let slow = n % 3 == 0;
        w.advance(if slow { 450.0 } else { 100.0 });
        if w.outstanding_attempt(id).is_some() {
            w.end_attempt(id, Outcome::Delivered, 0.0);
            own[route] += 1;
        }
        w.advance(100.0);
    }
    assert!(cuts > 0, "no timeout was ever set: {own:?}");
}

/// Guards against shares computed from impossible reports: a limit that is negative, far too large or not a
/// number must have no effect.
#[test]
fn impossible_reports_change_no_share() {
    for (left, limit) in [(-1.0, -25.0), (1e9, 1e300), (f64::NAN, f64::NAN)] {
        let mut w = CheckedModule::new(
            Settings { dispatchers: 100, reports_limits: true, ..settings() },
            vec![endpoint_row(0, 1, 0, 0)],
        );
        let end_with_report = |w: &mut CheckedModule, outcome: Outcome, left: f64, limit: f64| {
            let id = w.submit(0, 1, None);
            let Some(a) = w.outstanding_attempt(id) else { return false };
            let report = LimitReport { remaining_share: Some(left), limit: Some(limit) };
            let (wait, over) =
                (if outcome == Outcome::Refused { 300.0 } else { 0.0 }, outcome == Outcome::Delivered);
            let ended = AttemptEnd::new(id, a.number, 0, outcome);
            let e = AttemptEnd {
                took: 100.0,
                message_ended: over,
                retry_after: wait,
                report,
                answer_begun: true,
                ..ended
            };
            w.process(vec![Event::AttemptEnded(e)]);
            true
        };
        assert!(end_with_report(&mut w, Outcome::Delivered, 0.9, 25.0));
        assert!(end_with_report(&mut w, Outcome::Delivered, left, limit));
        assert!(end_with_report(&mut w, Outcome::Refused, left, limit), "{limit}");
        w.advance(400.0);
        assert!(
            !end_with_report(&mut w, Outcome::Delivered, 0.9, 25.0),
            "a dispatcher with a share of a limit of 25 sent within the wait after a refusal: {limit}"
        );
    }
}
