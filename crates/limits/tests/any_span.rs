//! No span at the destination ever holds more calls than the limit, over arbitrary requests, delays, crashes
//! and changes of the limits.

use lilacbank_limits::{CallRecord, CallStep, DestinationLimit, RateLimiter, Scope};
use proptest::prelude::*;

const TRAVEL: f64 = 40.0;

fn promise(calls: u32, span: f64, scope: Scope) -> DestinationLimit {
    DestinationLimit {
        name: "m".into(),
        destination: 1,
        calls: Some(calls),
        span,
        max_travel: TRAVEL,
        scope,
        connections: Some(6),
    }
}

/// The largest number of arrivals in any half-open span.
fn max_in_span(arrivals: &[f64], span: f64) -> usize {
    let mut times = arrivals.to_vec();
    times.sort_by(f64::total_cmp);
    (0..times.len())
        .map(|i| times[i..].iter().take_while(|t| **t < times[i] + span).count())
        .max()
        .unwrap_or(0)
}

#[derive(Debug, Clone)]
enum Operation {
    /// Tries to start a call at an endpoint; writing it and its way to the destination take the given times.
    TryCall { endpoint: usize, write: f64, travel: f64, fails: bool },
    /// Lets time pass.
    Pass(f64),
    /// Kills the process and starts it again after the given time; calls that are being written are lost.
    Kill(f64),
    /// Compacts the journal.
    Compact,
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        8 => (0usize..3, 0.0..300.0, 0.0..TRAVEL, prop::bool::weighted(0.1))
            .prop_map(|(endpoint, write, travel, fails)| {
                Operation::TryCall { endpoint, write, travel, fails }
            }),
        4 => (0.0..250.0).prop_map(Operation::Pass),
        1 => (0.0..900.0).prop_map(Operation::Kill),
        1 => Just(Operation::Compact),
    ]
}

struct RunningCall {
    endpoint: usize,
    written_at: f64,
    travel: f64,
    fails: bool,
}

/// A host that records each step before it sends, and that can be killed at any moment.
struct Host {
    ceilings: RateLimiter,
    promise: DestinationLimit,
    journal: Vec<CallRecord>,
    running: Vec<RunningCall>,
    arrivals: Vec<(usize, f64)>,
    now: f64,
    /// Skips the restore after a restart, to show that the test can fail.
    skip_restore: bool,
}

const NAMES: [&str; 3] = ["a", "b", "c"];

impl Host {
    fn record(&mut self, endpoint: usize, step: CallStep) {
        self.journal.extend(self.ceilings.call_record(self.now, 1, NAMES[endpoint], step));
    }

    fn advance_to(&mut self, to: f64) {
        loop {
            let next = (0..self.running.len()).filter(|i| self.running[*i].written_at <= to);
            let next =
                next.min_by(|a, b| self.running[*a].written_at.total_cmp(&self.running[*b].written_at));
            let Some(i) = next else { break };
            let o = self.running.swap_remove(i);
            self.now = self.now.max(o.written_at);
            if o.fails {
                self.record(o.endpoint, CallStep::Cancelled);
            } else {
                // The bytes leave before the host reports them.
                self.arrivals.push((o.endpoint, self.now + o.travel));
                self.record(o.endpoint, CallStep::Written);
                self.ceilings.call_written(self.now, 1, NAMES[o.endpoint]);
            }
            self.ceilings.call_ended(1, NAMES[o.endpoint], !o.fails);
        }
        self.now = self.now.max(to);
    }

    fn run(&mut self, operations: &[Operation]) {
        for d in operations {
            match d.clone() {
                Operation::Pass(t) => self.advance_to(self.now + t),
                Operation::Compact => self.journal = self.ceilings.snapshot(self.now),
                Operation::TryCall { endpoint, write, travel, fails } => {
                    let room = self.ceilings.room(self.now, 1, NAMES[endpoint]).unwrap();
                    let took = self.ceilings.start_call(self.now, 1, NAMES[endpoint]);
                    assert_eq!(took.is_ok(), room.calls > 0 && room.free_connections > 0);
                    match took {
                        Ok(()) => {
                            self.record(endpoint, CallStep::Started);
                            self.running.push(RunningCall {
                                endpoint,
                                written_at: self.now + write,
                                travel,
                                fails,
                            });
                        }
                        Err(over) => assert!(over.retry_after > 0.0),
                    }
                }
                Operation::Kill(downtime) => {
                    // A call that was being written may have been sent completely just before, without a
                    // report.
                    for o in self.running.drain(..) {
                        self.arrivals.push((o.endpoint, self.now + o.travel));
                    }
                    self.now += downtime;
                    self.ceilings = RateLimiter::new([self.promise.clone()]);
                    if !self.skip_restore {
                        self.ceilings.restore(self.now, self.journal.clone());
                    }
                    self.journal = self.ceilings.snapshot(self.now);
                }
            }
        }
        self.advance_to(self.now + 1_000.0);
    }

    fn max_in_span(&self) -> usize {
        let of = |e: usize| self.arrivals.iter().filter(|a| a.0 == e).map(|a| a.1).collect::<Vec<_>>();
        match self.promise.scope {
            Scope::Destination => {
                max_in_span(&self.arrivals.iter().map(|a| a.1).collect::<Vec<_>>(), self.promise.span)
            }
            Scope::Endpoint => (0..3).map(|e| max_in_span(&of(e), self.promise.span)).max().unwrap_or(0),
        }
    }
}

fn host(p: DestinationLimit, skip_restore: bool) -> Host {
    Host {
        ceilings: RateLimiter::new([p.clone()]),
        promise: p,
        journal: Vec::new(),
        running: Vec::new(),
        arrivals: Vec::new(),
        now: 0.0,
        skip_restore,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(400) })]

    /// Guards against a span that holds too many calls because of the travel time, a restart, a call that was
    /// being written, or a compaction.
    #[test]
    fn no_span_holds_more_calls_than_the_limit(
        calls in 1u32..9,
        span in 50.0..2_000.0,
        each in prop::bool::ANY,
        operations in prop::collection::vec(operation(), 1..250),
    ) {
        let scope = if each { Scope::Endpoint } else { Scope::Destination };
        let mut h = host(promise(calls, span, scope), false);
        h.run(&operations);
        prop_assert!(
            h.max_in_span() <= calls as usize,
            "{} calls in a span that may hold {}",
            h.max_in_span(),
            calls
        );
    }
}

/// Shows that the property can fail: a restart that forgets the calls allows the whole limit a second time.
#[test]
fn a_restart_without_restore_is_detected() {
    let call = Operation::TryCall { endpoint: 0, write: 1.0, travel: 1.0, fails: false };
    let burst: Vec<Operation> = (0..4).flat_map(|_| [call.clone(), Operation::Pass(2.0)]).collect();
    let operations = [burst.clone(), vec![Operation::Kill(10.0)], burst].concat();
    for (skip_restore, most) in [(false, 4), (true, 8)] {
        let mut h = host(promise(4, 1_000.0, Scope::Destination), skip_restore);
        h.run(&operations);
        assert_eq!(h.max_in_span(), most);
    }
}

/// Guards against a limiter that allows far less than the limit: steady demand gets nearly all of it.
#[test]
fn steady_demand_gets_its_share() {
    let mut h = host(promise(10, 1_000.0, Scope::Destination), false);
    let call = Operation::TryCall { endpoint: 0, write: 0.0, travel: 0.0, fails: false };
    h.run(&vec![[call, Operation::Pass(5.0)]; 6_000].concat());
    let rate = h.arrivals.len() as f64 / 30.0;
    assert!((9.3..=10.0).contains(&rate), "{rate} calls per second of 10");
}

/// Guards against a change of the scope that allows the whole limit a second time.
#[test]
fn a_change_of_scope_keeps_the_counted_calls() {
    for (from, to) in [(Scope::Destination, Scope::Endpoint), (Scope::Endpoint, Scope::Destination)] {
        let mut c = RateLimiter::new([promise(3, 1_000.0, from)]);
        for endpoint in ["a", "a", "b"] {
            c.start_call(0.0, 1, endpoint).unwrap();
            c.call_written(0.0, 1, endpoint);
            c.call_ended(1, endpoint, true);
        }
        c.set_limits(10.0, [promise(3, 1_000.0, to)]);
        assert!(NAMES.iter().all(|e| c.start_call(500.0, 1, e).is_err()), "{from:?} to {to:?}");
        assert!(NAMES.iter().all(|e| c.start_call(1_040.0, 1, e).is_ok()));
    }
}

/// Guards against more connections than the limit, and against connections that are never freed when calls
/// end.
#[test]
fn connections_are_limited_and_freed() {
    let p = DestinationLimit { calls: None, ..promise(1, 1.0, Scope::Destination) };
    let mut c = RateLimiter::new([p]);
    for _ in 0..50 {
        (0..6).for_each(|_| c.start_call(0.0, 1, "a").unwrap());
        assert!(c.start_call(0.0, 1, "a").is_err() && c.room(0.0, 1, "b").unwrap().free_connections == 6);
        (0..6).for_each(|_| c.call_ended(1, "a", true));
    }
    assert!(c.start_call(0.0, 2, "x").is_ok(), "other destinations have no limit");
}
