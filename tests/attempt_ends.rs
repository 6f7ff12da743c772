//! The ends of attempts in the core and on the wires, step by step: nothing else of a message, or of its key, goes out before the
//! endpoint counts the last attempt as over.

mod stand;
use lilacbank::api::{Listing, Ms, Outcome};
use lilacbank::dispatch::{Core, Delegation, End, Order, Submission};
use lilacbank::guard::{Confirmation, CONFIRM_CROSSED, CONFIRM_MOST};
use lilacbank::net::finding::{Finding, Task};
use lilacbank::net::http::Workers;
use lilacbank::net::reactor::Reactor;
use stand::in_process::*;
use stand::{until, PATIENCE};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;

/// A core with two endpoints of one destination.
fn core_of_two() -> Core {
    let mut core = new_core();
    tell(&mut core, 0.0, &["w0", "w1"], Listing::Ready, true);
    core
}

/// The next delegation of the turns from one millisecond up to another.
fn turns(core: &mut Core, from: u32, until: u32) -> Option<Delegation> {
    (from..until).find_map(|now| delegated(core.turn(Ms::from(now))))
}

/// Guards against a next attempt in the turn in which the last one is broken off: its request may have been written a moment
/// before, as its connection came up late.
#[test]
fn the_next_attempt_waits_until_the_wire_has_told_the_end_of_the_last() {
    let mut core = core_of_two();
    submit(&mut core, 10.0, "a", "safe");
    let first = turns(&mut core, 10, 500).unwrap();
    let (mut now, mut orders) = (500, Vec::new());
    while !orders.iter().any(|o| matches!(o, Order::Abandon { .. })) {
        core.written(Ms::from(now), first.no, first.attempt);
        orders = core.turn(Ms::from(now));
        now += 1;
        assert!(now < 5_000, "it is called off");
    }
    assert!(delegated(orders).is_none(), "in the same turn");
    assert!(turns(&mut core, now, now + 900).is_none(), "while its end is not told");
    core.outcome(Ms::from(now + 900), first.no, first.attempt, End::of(Outcome::Cancelled));
    let next = turns(&mut core, now + 900, now + 1_400).expect("once its end is told");
    assert_eq!((next.no, next.attempt), (first.no, 1));
}

/// A message of an ordered class under one key, with so much time left.
fn submit_keyed(core: &mut Core, now: Ms, id: &str, left: Ms) {
    core.submit(now, 2, Submission { key: Some(7), left: Some(left), ..submission(id, "order") });
}

/// Guards against the next message of a key while an attempt of the one before may run: its time was up, its end was told, and
/// its endpoint does not know yet.
#[test]
fn the_next_of_a_key_waits_until_the_end_of_a_call_whose_time_was_up_is_known() {
    let mut core = core_of_two();
    submit_keyed(&mut core, 10.0, "a", 600.0);
    submit_keyed(&mut core, 11.0, "b", 9_000.0);
    let first = turns(&mut core, 11, 400).unwrap();
    assert_eq!(first.id, "a");
    core.written(300.0, first.no, first.attempt);
    // Called off or not: at 610 its time is up, and its end is told at once.
    let mut told = false;
    for now in 400..620 {
        let orders = core.turn(Ms::from(now));
        assert!(!orders.iter().any(|o| matches!(o, Order::Delegate(_))), "at {now}: {orders:?}");
        told |= orders.iter().any(|o| matches!(o, Order::Tell(t) if t.no == first.no));
    }
    assert!(told, "its client is told in time");
    core.confirmed(620.0, first.no);
    assert!(turns(&mut core, 620, 1_300).is_none(), "its endpoint does not know yet");
    core.outcome(1_300.0, first.no, first.attempt, End::of(Outcome::Late));
    assert!(turns(&mut core, 1_300, 1_399).is_none(), "its key rests");
    assert_eq!(turns(&mut core, 1_400, 2_000).map(|d| d.id), Some("b".to_string()));
}

/// The same for an attempt that the endpoint has ended: the message waits for the second word of its wire, and its slot does not.
#[test]
fn what_its_endpoint_has_ended_waits_for_the_second_word_of_the_wire() {
    let mut core = core_of_two();
    submit(&mut core, 10.0, "a", "safe");
    let first = turns(&mut core, 10, 500).unwrap();
    core.written(500.0, first.no, first.attempt);
    core.outcome(500.0, first.no, first.attempt, End { pending: Some(300.0), ..End::of(Outcome::Reset) });
    assert_eq!(core.out(), 0);
    assert!(turns(&mut core, 500, 1_500).is_none(), "longer than was said, without a word");
    core.outcome(1_500.0, first.no, first.attempt, End::of(Outcome::Reset));
    let next = turns(&mut core, 1_500, 2_000).expect("once its endpoint knows");
    assert_eq!((next.id.as_str(), next.attempt), ("a", 1));
    let refused = &core.guard.json()["refused"]["unconfirmed"];
    assert!(refused.as_u64() >= Some(1), "the guard keeps it back and counts it: {refused}");
}

/// An attempt for the endpoint at this address.
fn delegation(address: String) -> Delegation {
    let (id, idempotency, body) = ("a".to_string(), String::new(), b"x".to_vec());
    let (patience, write_by) = (5_000.0, 5_000.0);
    Delegation { no: 1, attempt: 0, route: 0, address, dest: 1, id, idempotency, body, patience, write_by }
}

/// A wire with one attempt that is written and then broken off at 100 ms, and its endpoint's side.
struct BrokenOff {
    workers: Workers,
    reactor: Rc<Reactor>,
    endpoint: TcpStream,
    found: Vec<Finding>,
}

impl BrokenOff {
    /// Its request is written and read.
    fn written() -> BrokenOff {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let reactor = Rc::new(Reactor::new().unwrap());
        let mut workers = Workers::new(new_core().settings(), 8);
        let address = listener.local_addr().unwrap().to_string();
        let mut found = Vec::new();
        workers.delegate(0.0, &delegation(address), &reactor, &mut found);
        let (endpoint, _) = listener.accept().unwrap();
        let mut wire = BrokenOff { workers, reactor, endpoint, found };
        wire.look(10.0);
        assert!(matches!(wire.found.as_slice(), [Finding::Written(_)]), "{:?}", wire.found);
        wire.found.clear();
        wire
    }

    /// It is broken off, and its endpoint has read the request and the end behind it.
    fn new() -> BrokenOff {
        let mut wire = BrokenOff::written();
        wire.workers.abandon(100.0, Task::Delegation(1, 0), Outcome::Late, &mut wire.found);
        assert!(wire.found.is_empty(), "{:?}", wire.found);
        let mut request = Vec::new();
        wire.endpoint.read_to_end(&mut request).unwrap();
        assert!(request.starts_with(b"POST /inbox"), "its sending has ended behind the request");
        wire
    }

    /// Waits for something to happen on the connection.
    fn look(&mut self, now: Ms) {
        let mut events = mio::Events::with_capacity(8);
        self.reactor.wait(&mut events, PATIENCE).unwrap();
        self.workers.ready(now, 0, &mut self.found);
    }

    /// The ends that were told since the last look: outcome, confirmation, and for how long that is pending.
    fn ends(&mut self) -> Vec<(Outcome, Option<Confirmation>, Option<Ms>)> {
        let told = std::mem::take(&mut self.found);
        let end = |f| match f {
            Finding::Ended { end, .. } => Some((end.outcome, end.confirmed, end.pending)),
            Finding::Written(_) => None,
        };
        told.into_iter().filter_map(end).collect()
    }
}

/// Guards against an end that is told before the endpoint knows of it, or never, and against an answer that is lost with it.
#[test]
fn the_wire_tells_the_end_of_an_attempt_once_its_endpoint_knows() {
    let mut answered = BrokenOff::new();
    answered.endpoint.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
    answered.look(150.0);
    assert_eq!(answered.ends(), [(Outcome::Delivered, Some(Confirmation::Answered), None)]);

    let mut ended = BrokenOff::new();
    ended.endpoint.shutdown(Shutdown::Both).unwrap();
    ended.look(150.0);
    assert_eq!(ended.ends(), [(Outcome::Late, None, Some(CONFIRM_CROSSED))], "its slot is free");
    assert_eq!(ended.workers.next_due(), Some(150.0 + CONFIRM_CROSSED));
    ended.workers.tick(150.0 + CONFIRM_CROSSED, &mut ended.found);
    assert_eq!(ended.ends(), [(Outcome::Late, Some(Confirmation::EndedByEndpoint), None)]);

    let mut silent = BrokenOff::new();
    assert_eq!(silent.workers.next_due(), Some(100.0 + CONFIRM_MOST));
    silent.workers.tick(99.0 + CONFIRM_MOST, &mut silent.found);
    assert!(silent.ends().is_empty());
    silent.workers.tick(100.0 + CONFIRM_MOST, &mut silent.found);
    assert_eq!(silent.ends(), [(Outcome::Late, Some(Confirmation::TimedOut), None)]);
    until("it is reset", || silent.endpoint.peer_addr().is_err());
}

/// The same for an attempt that was not written: no endpoint knows of it, and its end is told at once.
#[test]
fn the_wire_tells_at_once_the_end_of_an_attempt_that_was_not_written() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let reactor = Rc::new(Reactor::new().unwrap());
    let mut workers = Workers::new(new_core().settings(), 8);
    let address = listener.local_addr().unwrap().to_string();
    let mut found = Vec::new();
    workers.delegate(0.0, &delegation(address), &reactor, &mut found);
    // Whoever wrote it is asked, not who has been told: nothing was seen of the connection yet.
    workers.abandon(5.0, Task::Delegation(1, 0), Outcome::Late, &mut found);
    let ended = |f: &Finding| match f {
        Finding::Ended { end, .. } => (end.outcome, end.confirmed),
        Finding::Written(_) => panic!("written"),
    };
    let ends: Vec<_> = found.iter().map(ended).collect();
    assert_eq!(ends, [(Outcome::NoConnection, Some(Confirmation::NeverBegun))]);
}

/// Guards against a spoilt answer of an endpoint that does not end its connection: this side ends it, nothing more is read of it
/// but its end, and nothing is told before.
#[test]
fn an_attempt_whose_answer_is_spoilt_ends_once_its_endpoint_knows() {
    let mut wire = BrokenOff::written();
    wire.endpoint.write_all(b"nonsense\r\n\r\n").unwrap();
    wire.look(100.0);
    assert!(wire.ends().is_empty(), "its slot is taken");
    wire.endpoint.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
    wire.look(120.0);
    assert!(wire.ends().is_empty(), "no answer to it");
    wire.endpoint.shutdown(Shutdown::Both).unwrap();
    wire.look(150.0);
    assert_eq!(wire.ends(), [(Outcome::Reset, None, Some(CONFIRM_CROSSED))]);
    wire.workers.tick(150.0 + CONFIRM_CROSSED, &mut wire.found);
    assert_eq!(wire.ends(), [(Outcome::Reset, Some(Confirmation::EndedByEndpoint), None)]);
}

/// Guards against a slot that is given away while the endpoint still counts the call of it.
#[test]
fn a_call_that_is_broken_off_holds_its_slot_until_its_endpoint_knows() {
    let mut core = core_of_two();
    let handed_in = 2 * core.settings().slots;
    (0..handed_in).for_each(|n| submit(&mut core, 10.0, &format!("m{n}"), "safe"));
    let mut out = Vec::new();
    for now in 10..300 {
        let orders = core.turn(Ms::from(now));
        out.extend(orders.into_iter().filter_map(|o| delegated(vec![o])));
    }
    assert!(!out.is_empty() && out.len() < handed_in, "all places are taken, and some messages wait");
    out.iter().for_each(|d| core.written(300.0, d.no, d.attempt));
    let mut abandoned = None;
    for now in 300..3_000 {
        for order in core.turn(Ms::from(now)) {
            match order {
                Order::Abandon { no, attempt, outcome } => {
                    abandoned = abandoned.or(Some((no, attempt, outcome)))
                }
                Order::Delegate(d) => {
                    panic!("{} goes out at {now}, all places are taken: {abandoned:?}", d.id)
                }
                _ => {}
            }
        }
    }
    let (no, attempt, outcome) = abandoned.expect("one is called off");
    assert_eq!(core.out(), out.len());
    core.outcome(3_000.0, no, attempt, End::of(outcome));
    assert_eq!(core.out(), out.len() - 1, "its slot is free");
}
