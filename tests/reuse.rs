//! When a connection to an endpoint carries its next request, step by step, with times that the test sets.

mod stand;

use lilacbank::api::{Ms, Outcome};
use lilacbank::dispatch::Attempt;
use lilacbank::net::finding::{EndpointEvent, RequestKind};
use lilacbank::net::http::HttpEndpoints;
use lilacbank::net::reactor::Reactor;
use stand::in_process::new_core;
use stand::TEST_TIMEOUT;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
/// When the first request is answered.
const ANSWERED_AT: Ms = 110.0;
/// From when its connection may be reused.
const REUSABLE_AT: Ms = ANSWERED_AT + 60.0;

/// The connections to one endpoint, the first of which has carried a request.
struct Connections {
    workers: HttpEndpoints,
    reactor: Rc<Reactor>,
    listener: TcpListener,
    /// The endpoint's side of each.
    accepted: Vec<TcpStream>,
    found: Vec<EndpointEvent>,
}

impl Connections {
    fn after_one_response() -> Connections {
        let mut connections = Connections {
            workers: HttpEndpoints::new(new_core().settings(), 8),
            reactor: Rc::new(Reactor::new().unwrap()),
            listener: TcpListener::bind("127.0.0.1:0").unwrap(),
            accepted: Vec::new(),
            found: Vec::new(),
        };
        connections.start(0.0, 0, None);
        connections.accept();
        connections.handle_events(0.0);
        connections.read_request(0);
        connections.accepted[0].write_all(ANSWER).unwrap();
        connections.handle_events(ANSWERED_AT);
        assert_eq!(connections.take_outcomes(), [Outcome::Delivered]);
        connections
    }

    fn start(&mut self, now: Ms, message_no: u64, max_connections: Option<u32>) {
        let attempt = Attempt {
            message_no,
            attempt: 0,
            endpoint: 0,
            address: self.listener.local_addr().unwrap().to_string(),
            dest: 1,
            id: format!("m-{message_no}"),
            idempotency_key: String::new(),
            body: b"x".to_vec(),
            timeout: 5_000.0,
            latest_write: 5_000.0,
            max_connections,
        };
        self.workers.start_attempt(now, &attempt, &self.reactor, &mut self.found);
    }

    fn accept(&mut self) {
        let (stream, _) = self.listener.accept().unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        self.accepted.push(stream);
    }

    fn has_new_connection(&self) -> bool {
        self.listener.set_nonblocking(true).unwrap();
        let accepted = self.listener.accept().is_ok();
        self.listener.set_nonblocking(false).unwrap();
        accepted
    }

    /// Waits for events and handles them.
    fn handle_events(&mut self, now: Ms) {
        let mut events = mio::Events::with_capacity(8);
        self.reactor.wait(&mut events, TEST_TIMEOUT).unwrap();
        events.iter().for_each(|event| self.workers.ready(now, event.token().0 >> 4, &mut self.found));
    }

    /// Reads a request on the endpoint's side of a connection.
    fn read_request(&mut self, connection: usize) -> String {
        let mut bytes = vec![0; 4096];
        let length = self.accepted[connection].read(&mut bytes).unwrap();
        String::from_utf8_lossy(&bytes[..length]).into_owned()
    }

    fn has_request(&mut self, connection: usize) -> bool {
        let stream = &mut self.accepted[connection];
        stream.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
        let received = stream.read(&mut [0; 4096]).is_ok_and(|length| length > 0);
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        received
    }

    fn take_outcomes(&mut self) -> Vec<Outcome> {
        let outcome = |event| match event {
            EndpointEvent::Ended { result, .. } => Some(result.outcome),
            EndpointEvent::Written(_) => None,
        };
        std::mem::take(&mut self.found).into_iter().filter_map(outcome).collect()
    }
}

/// Guards against a request that is written while bytes may still follow the last response on its connection.
#[test]
fn a_connection_is_not_reused_right_after_a_response() {
    let mut connections = Connections::after_one_response();
    connections.start(ANSWERED_AT, 1, None);
    connections.accept();
    connections.handle_events(ANSWERED_AT);
    assert!(connections.read_request(1).contains("X-Txn: m-1"), "it goes over a new connection");
    connections.start(REUSABLE_AT - 1.0, 2, None);
    assert!(!connections.has_request(0) && !connections.has_new_connection(), "the rest is worth a wait");
    connections.workers.tick(REUSABLE_AT, &mut connections.found);
    assert!(connections.read_request(0).contains("X-Txn: m-2"));
}

/// Guards against more connections than promised, and against a request that waits for one too long.
#[test]
fn a_request_waits_where_no_further_connection_is_promised() {
    let mut connections = Connections::after_one_response();
    connections.start(ANSWERED_AT + 1.0, 1, Some(1));
    assert!(!connections.has_new_connection() && !connections.has_request(0));
    assert_eq!(connections.workers.next_due(), Some(REUSABLE_AT));
    connections.workers.tick(REUSABLE_AT, &mut connections.found);
    assert!(connections.read_request(0).contains("X-Txn: m-1"));
}

/// Guards against a request that is sent although it was cancelled, or whose end is never reported.
#[test]
fn a_request_that_waits_can_be_cancelled() {
    let mut connections = Connections::after_one_response();
    connections.start(ANSWERED_AT + 1.0, 1, Some(1));
    let task = RequestKind::Delegation(1, 0);
    connections.workers.abandon(ANSWERED_AT + 2.0, task, Outcome::Late, &mut connections.found);
    assert_eq!(connections.take_outcomes(), [Outcome::NotSent]);
    connections.start(ANSWERED_AT + 3.0, 2, Some(1));
    connections.workers.cancel_unwritten(ANSWERED_AT + 4.0, 1, None, &mut connections.found);
    assert_eq!(connections.take_outcomes(), [Outcome::NotSent]);
    connections.workers.tick(REUSABLE_AT, &mut connections.found);
    assert!(!connections.has_request(0));
}

/// Guards against a connection that is lost with each second copy of a response, and against a copy that is taken for
/// the response to the next request.
#[test]
fn a_second_copy_of_a_response_is_discarded() {
    let mut connections = Connections::after_one_response();
    connections.start(ANSWERED_AT + 1.0, 1, Some(1));
    connections.accepted[0].write_all(ANSWER).unwrap();
    connections.handle_events(ANSWERED_AT + 20.0);
    assert_eq!(connections.take_outcomes(), [], "it answers nothing");
    connections.workers.tick(REUSABLE_AT, &mut connections.found);
    assert!(!connections.has_request(0), "the delay begins anew");
    connections.workers.tick(REUSABLE_AT + 20.0, &mut connections.found);
    assert!(connections.read_request(0).contains("X-Txn: m-1"));
    connections.accepted[0].write_all(ANSWER).unwrap();
    connections.handle_events(REUSABLE_AT + 200.0);
    assert_eq!(connections.take_outcomes(), [Outcome::Delivered]);
}

/// Guards against a connection that is used after noise.
#[test]
fn after_noise_behind_a_response_the_request_goes_over_a_new_connection() {
    let mut connections = Connections::after_one_response();
    connections.start(ANSWERED_AT + 1.0, 1, Some(1));
    connections.accepted[0].write_all(b"\x00\xffHTTP/1.1 200").unwrap();
    connections.handle_events(ANSWERED_AT + 20.0);
    connections.workers.tick(REUSABLE_AT, &mut connections.found);
    connections.accept();
    connections.handle_events(REUSABLE_AT);
    assert!(connections.read_request(1).contains("X-Txn: m-1"));
}
