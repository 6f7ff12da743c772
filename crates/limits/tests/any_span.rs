//! Whatever is asked, delayed, killed and changed: no span at the member holds more than was promised.

use lilacbank_limits::{Ceilings, Promise, Scope, Spent, Step};
use proptest::prelude::*;

const TRAVEL: f64 = 40.0;

fn promise(calls: u32, span: f64, scope: Scope) -> Promise {
    Promise {
        member: "m".into(),
        dest: 1,
        calls: Some(calls),
        span,
        travel: TRAVEL,
        scope,
        connections: Some(6),
    }
}

/// The most arrivals in any span, half open.
fn worst(arrivals: &[f64], span: f64) -> usize {
    let mut times = arrivals.to_vec();
    times.sort_by(f64::total_cmp);
    (0..times.len())
        .map(|i| times[i..].iter().take_while(|t| **t < times[i] + span).count())
        .max()
        .unwrap_or(0)
}

#[derive(Debug, Clone)]
enum Deed {
    /// Tries to start a call at an endpoint; its writing and travel take parts of their most.
    Try { endpoint: usize, write: f64, travel: f64, fails: bool },
    /// Time goes by.
    Pass(f64),
    /// The process is killed and started again so much later; calls half written are lost.
    Kill(f64),
    /// The journal is written anew.
    Compact,
}

fn deed() -> impl Strategy<Value = Deed> {
    prop_oneof![
        8 => (0usize..3, 0.0..300.0, 0.0..TRAVEL, prop::bool::weighted(0.1))
            .prop_map(|(endpoint, write, travel, fails)| Deed::Try { endpoint, write, travel, fails }),
        4 => (0.0..250.0).prop_map(Deed::Pass),
        1 => (0.0..900.0).prop_map(Deed::Kill),
        1 => Just(Deed::Compact),
    ]
}

struct Out {
    endpoint: usize,
    written_at: f64,
    travel: f64,
    fails: bool,
}

/// A host: writes down before it sends, and can be killed at any moment.
struct Host {
    ceilings: Ceilings,
    promise: Promise,
    journal: Vec<Spent>,
    out: Vec<Out>,
    arrivals: Vec<(usize, f64)>,
    now: f64,
    /// A restart that forgets shows that the test can fail.
    forgets: bool,
}

const NAMES: [&str; 3] = ["a", "b", "c"];

impl Host {
    fn note(&mut self, endpoint: usize, step: Step) {
        self.journal.extend(self.ceilings.record(self.now, 1, NAMES[endpoint], step));
    }

    fn settle(&mut self, to: f64) {
        loop {
            let next = (0..self.out.len()).filter(|i| self.out[*i].written_at <= to);
            let next = next.min_by(|a, b| self.out[*a].written_at.total_cmp(&self.out[*b].written_at));
            let Some(i) = next else { break };
            let o = self.out.swap_remove(i);
            self.now = self.now.max(o.written_at);
            if o.fails {
                self.note(o.endpoint, Step::GivenBack);
            } else {
                // The bytes leave before the host says so.
                self.arrivals.push((o.endpoint, self.now + o.travel));
                self.note(o.endpoint, Step::Written);
                self.ceilings.written(self.now, 1, NAMES[o.endpoint]);
            }
            self.ceilings.ended(1, NAMES[o.endpoint], !o.fails);
        }
        self.now = self.now.max(to);
    }

    fn run(&mut self, deeds: &[Deed]) {
        for d in deeds {
            match d.clone() {
                Deed::Pass(t) => self.settle(self.now + t),
                Deed::Compact => self.journal = self.ceilings.spent(self.now),
                Deed::Try { endpoint, write, travel, fails } => {
                    let room = self.ceilings.room(self.now, 1, NAMES[endpoint]).unwrap();
                    let took = self.ceilings.take(self.now, 1, NAMES[endpoint]);
                    assert_eq!(took.is_ok(), room.calls > 0 && room.links_left > 0);
                    match took {
                        Ok(()) => {
                            self.note(endpoint, Step::Started);
                            self.out.push(Out { endpoint, written_at: self.now + write, travel, fails });
                        }
                        Err(over) => assert!(over.wait > 0.0),
                    }
                }
                Deed::Kill(away) => {
                    // What was being written may have got out just before, unreported.
                    for o in self.out.drain(..) {
                        self.arrivals.push((o.endpoint, self.now + o.travel));
                    }
                    self.now += away;
                    self.ceilings = Ceilings::new([self.promise.clone()]);
                    if !self.forgets {
                        self.ceilings.restore(self.now, self.journal.clone());
                    }
                    self.journal = self.ceilings.spent(self.now);
                }
            }
        }
        self.settle(self.now + 1_000.0);
    }

    fn worst(&self) -> usize {
        let of = |e: usize| self.arrivals.iter().filter(|a| a.0 == e).map(|a| a.1).collect::<Vec<_>>();
        match self.promise.scope {
            Scope::Member => worst(&self.arrivals.iter().map(|a| a.1).collect::<Vec<_>>(), self.promise.span),
            Scope::Endpoint => (0..3).map(|e| worst(&of(e), self.promise.span)).max().unwrap_or(0),
        }
    }
}

fn host(p: Promise, forgets: bool) -> Host {
    Host {
        ceilings: Ceilings::new([p.clone()]),
        promise: p,
        journal: Vec::new(),
        out: Vec::new(),
        arrivals: Vec::new(),
        now: 0.0,
        forgets,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(400) })]

    /// Guards against a span that holds more: by travel, by restarts, by calls that were half written, by compaction.
    #[test]
    fn no_span_holds_more_than_was_promised(
        calls in 1u32..9,
        span in 50.0..2_000.0,
        each in prop::bool::ANY,
        deeds in prop::collection::vec(deed(), 1..250),
    ) {
        let scope = if each { Scope::Endpoint } else { Scope::Member };
        let mut h = host(promise(calls, span, scope), false);
        h.run(&deeds);
        prop_assert!(h.worst() <= calls as usize, "{} calls in a span that may hold {}", h.worst(), calls);
    }
}

/// Shows that the property can fail: a restart that forgets opens a second allowance.
#[test]
fn a_restart_that_forgets_is_found() {
    let call = Deed::Try { endpoint: 0, write: 1.0, travel: 1.0, fails: false };
    let burst: Vec<Deed> = (0..4).flat_map(|_| [call.clone(), Deed::Pass(2.0)]).collect();
    let deeds = [burst.clone(), vec![Deed::Kill(10.0)], burst].concat();
    for (forgets, most) in [(false, 4), (true, 8)] {
        let mut h = host(promise(4, 1_000.0, Scope::Member), forgets);
        h.run(&deeds);
        assert_eq!(h.worst(), most);
    }
}

/// Guards against a ceiling that is kept by sending next to nothing: steady demand gets nearly all of its share.
#[test]
fn steady_demand_gets_its_share() {
    let mut h = host(promise(10, 1_000.0, Scope::Member), false);
    let call = Deed::Try { endpoint: 0, write: 0.0, travel: 0.0, fails: false };
    h.run(&vec![[call, Deed::Pass(5.0)]; 6_000].concat());
    let rate = h.arrivals.len() as f64 / 30.0;
    assert!((9.3..=10.0).contains(&rate), "{rate} a second of 10");
}

/// Guards against a change of what is counted that opens a second allowance.
#[test]
fn windows_that_are_joined_or_divided_keep_what_has_gone_out() {
    for (from, to) in [(Scope::Member, Scope::Endpoint), (Scope::Endpoint, Scope::Member)] {
        let mut c = Ceilings::new([promise(3, 1_000.0, from)]);
        for endpoint in ["a", "a", "b"] {
            c.take(0.0, 1, endpoint).unwrap();
            c.written(0.0, 1, endpoint);
            c.ended(1, endpoint, true);
        }
        c.change(10.0, [promise(3, 1_000.0, to)]);
        assert!(NAMES.iter().all(|e| c.take(500.0, 1, e).is_err()), "{from:?} to {to:?}");
        assert!(NAMES.iter().all(|e| c.take(1_040.0, 1, e).is_ok()));
    }
}

/// Guards against connections over the promise, and against a place that is lost for good when a call ends.
#[test]
fn connections_are_bounded_and_come_back() {
    let p = Promise { calls: None, ..promise(1, 1.0, Scope::Member) };
    let mut c = Ceilings::new([p]);
    for _ in 0..50 {
        (0..6).for_each(|_| c.take(0.0, 1, "a").unwrap());
        assert!(c.take(0.0, 1, "a").is_err() && c.room(0.0, 1, "b").unwrap().links_left == 6);
        (0..6).for_each(|_| c.ended(1, "a", true));
    }
    assert!(c.take(0.0, 2, "x").is_ok(), "nothing is promised of other destinations");
}
