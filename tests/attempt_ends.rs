//! How attempts end in the core and on HTTP connections, step by step: the next attempt of a message, or of
//! its ordering key, is sent only when the endpoint counts the previous attempt as ended.

mod stand;
use lilacbank::api::{Ms, Outcome, ServiceState};
use lilacbank::dispatch::{Attempt, AttemptResult, Core, Order, Submission};
use lilacbank::guard::{Confirmation, CONFIRM_TIMEOUT, CROSSED_CLOSE_DELAY};
use lilacbank::net::finding::{EndpointEvent, RequestKind};
use lilacbank::net::http::HttpEndpoints;
use lilacbank::net::reactor::Reactor;
use stand::in_process::*;
use stand::{wait_until, TEST_TIMEOUT};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;

/// A core with two endpoints of one destination.
fn core_with_two_endpoints() -> Core {
    let mut core = new_core();
    apply_endpoint_list(&mut core, 0.0, &["w0", "w1"], ServiceState::InService, true);
    core
}

/// The first delegation when the core runs once per millisecond from `from` until before `until`.
fn next_delegation_between(core: &mut Core, from: u32, until: u32) -> Option<Attempt> {
    (from..until).find_map(|now| first_attempt(core.turn(Ms::from(now))))
}

/// Guards against a next attempt in the same run of the core that cancels the previous one. The request of
/// the cancelled attempt may just have been written, because its connection was established late.
#[test]
fn the_next_attempt_waits_until_the_end_of_the_last_is_reported() {
    let mut core = core_with_two_endpoints();
    submit(&mut core, 10.0, "a", "safe");
    let first = next_delegation_between(&mut core, 10, 500).unwrap();
    let (mut now, mut orders) = (500, Vec::new());
    while !orders.iter().any(|o| matches!(o, Order::CancelAttempt { .. })) {
        core.attempt_written(Ms::from(now), first.message_no, first.attempt);
        orders = core.turn(Ms::from(now));
        now += 1;
        assert!(now < 5_000, "the attempt is cancelled in time");
    }
    assert!(first_attempt(orders).is_none(), "no next attempt in the same run");
    assert!(
        next_delegation_between(&mut core, now, now + 900).is_none(),
        "no next attempt before the outcome is reported"
    );
    core.attempt_ended(
        Ms::from(now + 900),
        first.message_no,
        first.attempt,
        AttemptResult::new(Outcome::Cancelled),
    );
    let next = next_delegation_between(&mut core, now + 900, now + 1_400)
        .expect("the next attempt follows the reported outcome");
    assert_eq!((next.message_no, next.attempt), (first.message_no, 1));
}

/// Submits a message of an ordered class with a fixed ordering key and `left` ms until its deadline.
fn submit_keyed(core: &mut Core, now: Ms, id: &str, left: Ms) {
    core.submit(now, 2, Submission { key: Some(7), time_left: Some(left), ..submission(id, "order") });
}

/// Guards against an attempt of the next message of an ordering key while one of the previous message may
/// still run: that message's deadline has passed and its final answer was sent, but its endpoint has not
/// confirmed the end yet.
#[test]
fn the_next_message_of_a_key_waits_until_an_expired_attempt_has_ended() {
    let mut core = core_with_two_endpoints();
    submit_keyed(&mut core, 10.0, "a", 600.0);
    submit_keyed(&mut core, 11.0, "b", 9_000.0);
    let first = next_delegation_between(&mut core, 11, 400).unwrap();
    assert_eq!(first.id, "a");
    core.attempt_written(300.0, first.message_no, first.attempt);
    // Whether the attempt is cancelled or not, the deadline passes at 610 and the final answer is sent
    // immediately.
    let mut answered = false;
    for now in 400..620 {
        let orders = core.turn(Ms::from(now));
        assert!(!orders.iter().any(|o| matches!(o, Order::StartAttempt(_))), "at {now}: {orders:?}");
        answered |=
            orders.iter().any(|o| matches!(o, Order::SendFinalAnswer(t) if t.message_no == first.message_no));
    }
    assert!(answered, "the client gets the final answer in time");
    core.final_answer_confirmed(620.0, first.message_no);
    assert!(
        next_delegation_between(&mut core, 620, 1_300).is_none(),
        "the endpoint has not confirmed the end yet"
    );
    core.attempt_ended(1_300.0, first.message_no, first.attempt, AttemptResult::new(Outcome::Late));
    assert!(
        next_delegation_between(&mut core, 1_300, 1_399).is_none(),
        "the ordering key is in its quiet period"
    );
    assert_eq!(next_delegation_between(&mut core, 1_400, 2_000).map(|d| d.id), Some("b".to_string()));
}

/// The same for an attempt that the endpoint has ended: the message waits until the connection reports the
/// confirmed end, but its slot is free before.
#[test]
fn a_message_whose_endpoint_ended_the_attempt_waits_for_the_confirmed_end() {
    let mut core = core_with_two_endpoints();
    submit(&mut core, 10.0, "a", "safe");
    let first = next_delegation_between(&mut core, 10, 500).unwrap();
    core.attempt_written(500.0, first.message_no, first.attempt);
    core.attempt_ended(
        500.0,
        first.message_no,
        first.attempt,
        AttemptResult { confirmed_within: Some(300.0), ..AttemptResult::new(Outcome::Reset) },
    );
    assert_eq!(core.outstanding_attempts(), 0);
    assert!(
        next_delegation_between(&mut core, 500, 1_500).is_none(),
        "the message waits longer than the announced 300 ms while the end is not reported"
    );
    core.attempt_ended(1_500.0, first.message_no, first.attempt, AttemptResult::new(Outcome::Reset));
    let next =
        next_delegation_between(&mut core, 1_500, 2_000).expect("the next attempt follows the confirmed end");
    assert_eq!((next.id.as_str(), next.attempt), ("a", 1));
    let refused = &core.guard.json()["refused"]["unconfirmed"];
    assert!(refused.as_u64() >= Some(1), "the guard prevents the attempt and counts it: {refused}");
}

/// An attempt for the endpoint at this address.
fn delegation(address: String) -> Attempt {
    let (id, idempotency, body) = ("a".to_string(), String::new(), b"x".to_vec());
    let (patience, write_by) = (5_000.0, 5_000.0);
    Attempt {
        message_no: 1,
        attempt: 0,
        endpoint: 0,
        address,
        dest: 1,
        id,
        idempotency_key: idempotency,
        body,
        timeout: patience,
        latest_write: write_by,
        max_connections: None,
    }
}

/// A connection with one attempt that is written and then cancelled at 100 ms, and the endpoint's end of it.
struct CancelledAttempt {
    workers: HttpEndpoints,
    reactor: Rc<Reactor>,
    endpoint: TcpStream,
    found: Vec<EndpointEvent>,
}

impl CancelledAttempt {
    /// An attempt whose request is written.
    fn written() -> CancelledAttempt {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let reactor = Rc::new(Reactor::new().unwrap());
        let mut workers = HttpEndpoints::new(new_core().settings(), 8);
        let address = listener.local_addr().unwrap().to_string();
        let mut found = Vec::new();
        workers.start_attempt(0.0, &delegation(address), &reactor, &mut found);
        let (endpoint, _) = listener.accept().unwrap();
        let mut connection = CancelledAttempt { workers, reactor, endpoint, found };
        connection.look(10.0);
        assert!(matches!(connection.found.as_slice(), [EndpointEvent::Written(_)]), "{:?}", connection.found);
        connection.found.clear();
        connection
    }

    /// A cancelled attempt whose endpoint has read the request and the end of the stream after it.
    fn new() -> CancelledAttempt {
        let mut connection = CancelledAttempt::written();
        connection.workers.abandon(
            100.0,
            RequestKind::Delegation(1, 0),
            Outcome::Late,
            &mut connection.found,
        );
        assert!(connection.found.is_empty(), "{:?}", connection.found);
        let mut request = Vec::new();
        connection.endpoint.read_to_end(&mut request).unwrap();
        assert!(request.starts_with(b"POST /inbox"), "the stream ends after the request");
        connection
    }

    /// Waits for an event on the connection and handles it.
    fn look(&mut self, now: Ms) {
        let mut events = mio::Events::with_capacity(8);
        self.reactor.wait(&mut events, TEST_TIMEOUT).unwrap();
        self.workers.ready(now, 0, &mut self.found);
    }

    /// The ends reported since the last call: outcome, confirmation, and how long the confirmation is
    /// pending.
    fn ends(&mut self) -> Vec<(Outcome, Option<Confirmation>, Option<Ms>)> {
        let reported = std::mem::take(&mut self.found);
        let end = |f| match f {
            EndpointEvent::Ended { result: end, .. } => {
                Some((end.outcome, end.confirmed, end.confirmed_within))
            }
            EndpointEvent::Written(_) => None,
        };
        reported.into_iter().filter_map(end).collect()
    }
}

/// Guards against an attempt whose end is reported before the endpoint has noticed it, or never, and against
/// an answer that is lost because the attempt was cancelled.
#[test]
fn the_end_of_an_attempt_is_reported_once_its_endpoint_has_noticed_it() {
    let mut answered = CancelledAttempt::new();
    answered.endpoint.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
    answered.look(150.0);
    assert_eq!(answered.ends(), [(Outcome::Delivered, Some(Confirmation::Answered), None)]);

    let mut ended = CancelledAttempt::new();
    ended.endpoint.shutdown(Shutdown::Both).unwrap();
    ended.look(150.0);
    assert_eq!(ended.ends(), [(Outcome::Late, None, Some(CROSSED_CLOSE_DELAY))], "the slot is free");
    assert_eq!(ended.workers.next_due(), Some(150.0 + CROSSED_CLOSE_DELAY));
    ended.workers.tick(150.0 + CROSSED_CLOSE_DELAY, &mut ended.found);
    assert_eq!(ended.ends(), [(Outcome::Late, Some(Confirmation::EndedByEndpoint), None)]);

    let mut silent = CancelledAttempt::new();
    assert_eq!(silent.workers.next_due(), Some(100.0 + CONFIRM_TIMEOUT));
    silent.workers.tick(99.0 + CONFIRM_TIMEOUT, &mut silent.found);
    assert!(silent.ends().is_empty());
    silent.workers.tick(100.0 + CONFIRM_TIMEOUT, &mut silent.found);
    assert_eq!(silent.ends(), [(Outcome::Late, Some(Confirmation::TimedOut), None)]);
    wait_until("the connection is reset", || silent.endpoint.peer_addr().is_err());
}

/// The same for an attempt that was not written: no endpoint knows of it, so its end is reported immediately.
#[test]
fn the_end_of_an_unwritten_attempt_is_reported_immediately() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let reactor = Rc::new(Reactor::new().unwrap());
    let mut workers = HttpEndpoints::new(new_core().settings(), 8);
    let address = listener.local_addr().unwrap().to_string();
    let mut found = Vec::new();
    workers.start_attempt(0.0, &delegation(address), &reactor, &mut found);
    // Whether the attempt was written follows from the connection itself: no event of it has been handled
    // yet.
    workers.abandon(5.0, RequestKind::Delegation(1, 0), Outcome::Late, &mut found);
    let ended = |f: &EndpointEvent| match f {
        EndpointEvent::Ended { result: end, .. } => (end.outcome, end.confirmed),
        EndpointEvent::Written(_) => panic!("written"),
    };
    let ends: Vec<_> = found.iter().map(ended).collect();
    assert_eq!(ends, [(Outcome::NoConnection, Some(Confirmation::NotWritten))]);
}

/// Guards against a malformed answer from an endpoint that keeps its connection open. The dispatcher ends the
/// connection, ignores further bytes except for the end of the stream, and reports the end of the attempt
/// only after that.
#[test]
fn an_attempt_with_a_malformed_answer_ends_once_its_endpoint_has_noticed_it() {
    let mut connection = CancelledAttempt::written();
    connection.endpoint.write_all(b"nonsense\r\n\r\n").unwrap();
    connection.look(100.0);
    assert!(connection.ends().is_empty(), "the slot is still in use");
    connection.endpoint.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
    connection.look(120.0);
    assert!(connection.ends().is_empty(), "later bytes are not an answer");
    connection.endpoint.shutdown(Shutdown::Both).unwrap();
    connection.look(150.0);
    assert_eq!(connection.ends(), [(Outcome::Reset, None, Some(CROSSED_CLOSE_DELAY))]);
    connection.workers.tick(150.0 + CROSSED_CLOSE_DELAY, &mut connection.found);
    assert_eq!(connection.ends(), [(Outcome::Reset, Some(Confirmation::EndedByEndpoint), None)]);
}

/// Guards against a slot that is reused while the endpoint still counts the call that holds it.
#[test]
fn a_cancelled_attempt_holds_its_slot_until_its_endpoint_has_noticed_it() {
    let mut core = core_with_two_endpoints();
    let submitted = 2 * core.settings().slots;
    (0..submitted).for_each(|n| submit(&mut core, 10.0, &format!("m{n}"), "safe"));
    let mut outstanding = Vec::new();
    for now in 10..300 {
        let orders = core.turn(Ms::from(now));
        outstanding.extend(orders.into_iter().filter_map(|o| first_attempt(vec![o])));
    }
    assert!(
        !outstanding.is_empty() && outstanding.len() < submitted,
        "all slots are in use, and some messages wait"
    );
    outstanding.iter().for_each(|d| core.attempt_written(300.0, d.message_no, d.attempt));
    let mut abandoned = None;
    for now in 300..3_000 {
        for order in core.turn(Ms::from(now)) {
            match order {
                Order::CancelAttempt { no, attempt, outcome } => {
                    abandoned = abandoned.or(Some((no, attempt, outcome)))
                }
                Order::StartAttempt(d) => {
                    panic!("{} is sent at {now} although all slots are in use: {abandoned:?}", d.id)
                }
                _ => {}
            }
        }
    }
    let (no, attempt, outcome) = abandoned.expect("an attempt is cancelled");
    assert_eq!(core.outstanding_attempts(), outstanding.len());
    core.attempt_ended(3_000.0, no, attempt, AttemptResult::new(outcome));
    assert_eq!(core.outstanding_attempts(), outstanding.len() - 1, "the slot is free");
}
