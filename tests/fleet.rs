//! A hundred senders at destinations whose limit they share: what is harmless for each must be so for all.

mod common;
use common::{row, settings, Watched};
use lilacbank::api::*;
use lilacbank::Brain;
use std::collections::BTreeMap;

/// A destination with a limit for all senders; refused calls use it up. Deterministic.
struct Limited {
    limit: f64,
    /// It refuses connections until then, and is cold from then on: a fifth of its limit, all of it after ten seconds.
    down: (Ms, Ms),
    level: f64,
    at: Ms,
}

impl Limited {
    /// Takes a call or refuses it; tells which share of the limit is left.
    fn call(&mut self, now: Ms) -> (bool, f64) {
        let part = (0.2 + 0.8 * (now - self.down.1) / 10_000.0).clamp(0.2, 1.0);
        let depth = 0.6 * self.limit * part;
        self.level = (self.level + (now - self.at) / 1000.0 * self.limit * part).min(depth);
        self.at = now;
        let taken = self.level >= 1.0;
        self.level = (self.level - 1.0).max(0.0);
        (taken, (self.level / depth).max(0.0))
    }
}

/// Senders on one clock, with what will happen to each.
struct Fleet {
    brains: Vec<Brain>,
    due: BTreeMap<(u64, u64), (usize, Event)>,
    count: u64,
    dest: Limited,
    now: Ms,
    state: u64,
    /// Calls taken and refused, by second.
    taken: Vec<usize>,
    refused: Vec<usize>,
}

const TRIP: Ms = 60.0;

impl Fleet {
    fn new(senders: usize, limit: f64, seed: u64) -> Fleet {
        let s = |n: usize| Settings {
            seed: seed * 1_000 + n as u64,
            senders,
            slots: 5,
            reports: true,
            refused_price: 0.1,
            ..settings()
        };
        let mut fleet = Fleet {
            brains: (0..senders).map(|n| Brain::new(s(n))).collect(),
            due: BTreeMap::new(),
            count: 0,
            dest: Limited { limit, down: (-1e5, -1e5), level: 0.6 * limit, at: 0.0 },
            now: 0.0,
            state: seed,
            taken: vec![0; 64],
            refused: vec![0; 64],
        };
        fleet.list(vec![row(0, 1, 0, 0)]);
        fleet
    }

    fn list(&mut self, rows: Vec<Row>) {
        let list = Event::List { rows, whole: true, cached: false };
        (0..self.brains.len()).for_each(|n| self.give(n, list.clone()));
    }

    fn draw(&mut self) -> f64 {
        self.state = self.state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.state >> 33) as f64 / (1u64 << 31) as f64
    }

    fn later(&mut self, at: Ms, sender: usize, e: Event) {
        self.count += 1;
        self.due.insert(((at * 1000.0) as u64, self.count), (sender, e));
    }

    fn give(&mut self, n: usize, e: Event) {
        let mut actions = Vec::new();
        self.brains[n].step(self.now, &[e], &mut actions);
        for a in actions {
            match a {
                Action::Timer { at, token } => self.later(at, n, Event::Timer(token)),
                Action::Send { id, route, .. }
                    if (self.dest.down.0..self.dest.down.1).contains(&self.now) =>
                {
                    let attempt = self.attempt(n, id);
                    let e = Ended { took: TRIP, ..Ended::of(id, attempt, route, Outcome::NoConnection) };
                    self.later(self.now + TRIP, n, Event::Ended(e));
                }
                Action::Send { id, route, .. } => {
                    let (taken, left) = self.dest.call(self.now);
                    let second = (self.now / 1000.0) as usize;
                    (if taken { &mut self.taken } else { &mut self.refused })[second] += 1;
                    let took = if taken { TRIP + 100.0 } else { TRIP };
                    let outcome = if taken { Outcome::Delivered } else { Outcome::Refused };
                    let wait = if taken { 0.0 } else { 500.0 };
                    let report = Report { left: Some(left), limit: Some(self.dest.limit) };
                    // Each message is given one try at a time, numbered by how often it was sent.
                    let attempt = self.attempt(n, id);
                    let ended = Ended::of(id, attempt, route, outcome);
                    let e = Ended { took, over: taken, wait, report, heard: true, ..ended };
                    self.later(self.now + took, n, Event::Ended(e));
                }
                _ => {}
            }
        }
    }

    fn attempt(&mut self, n: usize, id: MsgId) -> u32 {
        let key = (u64::MAX, (n as u64) << 32 | id);
        let tries = match self.due.remove(&key) {
            Some((_, Event::Timer(t))) => t + 1,
            _ => 0,
        };
        self.due.insert(key, (n, Event::Timer(tries)));
        tries as u32
    }

    /// Lets messages come at so many a second, for any sender, until then.
    fn play(&mut self, rate: f64, until: Ms) {
        let mut next = self.now;
        while self.now < until {
            let due = self.due.first_key_value().map(|(k, _)| k.0 as f64 / 1000.0).unwrap_or(f64::MAX);
            if next <= due {
                self.now = self.now.max(next);
                next += -(1.0 - self.draw()).ln() * 1000.0 / rate;
                let n = (self.draw() * self.brains.len() as f64) as usize;
                self.count += 1;
                let valid_until = self.now + 8_000.0;
                let m = Message { id: self.count, class: 0, valid_until, dest: 1, ..Message::default() };
                self.give(n, Event::Arrived(m));
            } else if let Some((_, (n, e))) = self.due.pop_first() {
                self.now = self.now.max(due);
                self.give(n, e);
            }
        }
    }

    fn sums(&self, from: usize, to: usize) -> (usize, usize) {
        (self.taken[from..to].iter().sum(), self.refused[from..to].iter().sum())
    }
}

/// Refused calls use a limit up: 100 senders that came again each at a pace of its own got nothing through for good.
#[test]
fn more_than_a_limit_bears_does_not_close_it_for_all() {
    for seed in 1..=5 {
        let mut fleet = Fleet::new(100, 25.0, seed);
        fleet.play(40.0, 30_000.0);
        let (taken, refused) = fleet.sums(5, 30);
        assert!(taken as f64 >= 0.7 * 25.0 * 25.0, "seed {seed}: {taken} taken, {refused} refused");
        assert!(refused * 3 <= taken, "seed {seed}: {taken} taken, {refused} refused");
    }
}

/// A limit that is lowered and raised again: neither refusals without end nor a fleet that stays slow.
#[test]
fn a_limit_lowered_under_full_load_is_met_and_the_rise_is_followed() {
    for seed in 1..=5 {
        let mut fleet = Fleet::new(100, 50.0, seed);
        fleet.play(40.0, 10_000.0);
        fleet.dest.limit = 20.0;
        fleet.play(40.0, 19_000.0);
        let (low, refused) = fleet.sums(13, 19);
        assert!(
            low as f64 >= 0.6 * 20.0 * 6.0,
            "seed {seed}: {low} taken, {refused} refused while it is low"
        );
        fleet.dest.limit = 50.0;
        fleet.play(40.0, 30_000.0);
        let (high, _) = fleet.sums(22, 30);
        assert!(high as f64 >= 0.9 * 40.0 * 8.0, "seed {seed}: {high} taken once it is high again");
    }
}

/// Senders that each counted on their own demand came back to a destination with four times its limit to spare at a trickle.
#[test]
fn a_destination_that_returns_cold_is_used_for_what_it_can_do_and_no_more() {
    for seed in 1..=5 {
        let mut fleet = Fleet::new(100, 160.0, seed);
        fleet.play(40.0, 10_000.0);
        fleet.dest.down = (10_000.0, 15_000.0);
        fleet.play(40.0, 30_000.0);
        let (taken, refused) = fleet.sums(17, 22);
        assert!(taken as f64 >= 1.2 * 40.0 * 5.0, "seed {seed}: {taken} taken, {refused} refused");
        for from in 15..22 {
            let sent = fleet.sums(from, from + 2);
            let cold = 160.0 * (0.2 + 0.08 * (from as f64 - 15.0)) * 2.0;
            assert!(
                ((sent.0 + sent.1) as f64) < 2.0 * cold,
                "seed {seed}: {sent:?} in two seconds from {from}"
            );
        }
    }
}

/// News of an endpoint: each sender sent all that it held at once, 228 calls in a second to one that takes 40.
#[test]
fn an_endpoint_that_all_hear_of_at_once_is_not_run_over() {
    for seed in 1..=5 {
        let mut fleet = Fleet::new(100, 40.0, seed);
        fleet.list(Vec::new());
        fleet.play(150.0, 1_900.0);
        fleet.list(vec![row(1, 1, 0, 0)]);
        fleet.play(20.0, 8_000.0);
        let (taken, refused) = fleet.sums(1, 8);
        assert!(taken >= 150 && refused <= taken / 3, "seed {seed}: {taken} taken, {refused} refused");
    }
}

/// Where a refused connection proves that nothing ran, a message is the trial: probes of a hundred senders used up what a
/// cold destination could do and delivered nothing. One that took calls and lost them is probed.
#[test]
fn a_destination_that_refused_connections_is_tried_by_a_message_and_a_silent_one_by_a_probe() {
    for (outcome, probed) in [(Outcome::NoConnection, false), (Outcome::Late, true)] {
        let s = Settings { senders: 100, can_probe: true, ..settings() };
        let mut w = Watched::new(s, vec![row(0, 1, 0, 0)]);
        for _ in 0..4 {
            let id = w.arrive(0, 1, None);
            w.out(id).into_iter().for_each(|_| w.end(id, outcome, 0.0));
        }
        w.actions.clear();
        w.pass(12_000.0);
        let first = w.actions.iter().find(|a| matches!(a, Action::Probe(_) | Action::Send { .. }));
        assert_eq!(first.map(|a| matches!(a, Action::Probe(_))), Some(probed), "{outcome:?}");
    }
}

/// A sender that meets a route seldom cut a third of its calls, each at the slowest of the two that it had seen.
#[test]
fn a_watchdog_needs_more_than_a_few_calls_of_its_route() {
    let mut s = settings();
    (s.classes[0].promise, s.classes[0].deadline, s.classes[0].late_worth) = (250.0, 600.0, 0.0);
    let mut w = Watched::new(s, vec![row(0, 1, 0, 0), row(1, 1, 0, 0)]);
    let mut own = [0, 0];
    let mut cuts = 0;
    for n in 0..80 {
        let id = w.arrive(0, 1, None);
        let Some(a) = w.out(id) else { continue };
        let route = a.route as usize;
        assert!(a.cap.is_none() || own[route] >= 8, "cut after {own:?} calls");
        cuts += usize::from(a.cap.is_some());
        let slow = n % 3 == 0;
        w.pass(if slow { 450.0 } else { 100.0 });
        if w.out(id).is_some() {
            w.end(id, Outcome::Delivered, 0.0);
            own[route] += 1;
        }
        w.pass(100.0);
    }
    assert!(cuts > 0, "with enough of them the watchdog is there: {own:?}");
}

/// Guards against shares of numbers that cannot be meant: nothing may go by a limit of less than nothing or of any size.
#[test]
fn reports_that_cannot_be_meant_reach_no_share() {
    for (left, limit) in [(-1.0, -25.0), (1e9, 1e300), (f64::NAN, f64::NAN)] {
        let mut w =
            Watched::new(Settings { senders: 100, reports: true, ..settings() }, vec![row(0, 1, 0, 0)]);
        let tell = |w: &mut Watched, outcome: Outcome, left: f64, limit: f64| {
            let id = w.arrive(0, 1, None);
            let Some(a) = w.out(id) else { return false };
            let report = Report { left: Some(left), limit: Some(limit) };
            let (wait, over) =
                (if outcome == Outcome::Refused { 300.0 } else { 0.0 }, outcome == Outcome::Delivered);
            let ended = Ended::of(id, a.n, 0, outcome);
            let e = Ended { took: 100.0, over, wait, report, heard: true, ..ended };
            w.give(vec![Event::Ended(e)]);
            true
        };
        assert!(tell(&mut w, Outcome::Delivered, 0.9, 25.0));
        assert!(tell(&mut w, Outcome::Delivered, left, limit));
        assert!(tell(&mut w, Outcome::Refused, left, limit), "{limit}");
        w.pass(400.0);
        assert!(
            !tell(&mut w, Outcome::Delivered, 0.9, 25.0),
            "after a refusal a share of 25 has its wait: {limit}"
        );
    }
}
