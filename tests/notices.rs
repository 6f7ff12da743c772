//! Notices on one connection to the platform, step by step, with times that the test sets.

mod stand;

use lilacbank::api::Ms;
use lilacbank::dispatch::FinalAnswer;
use lilacbank::journal::{Ending, MessageNo};
use lilacbank::net::notice::Notices;
use lilacbank::net::reactor::Reactor;
use stand::TEST_TIMEOUT;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

const ANSWER: &[u8] = b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n";
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
const NONE: [MessageNo; 0] = [];
/// When the first notice is answered.
const ANSWERED_AT: Ms = 100.0;
/// From when its connection may be reused.
const REUSABLE_AT: Ms = ANSWERED_AT + 60.0;

/// The connection to the platform after one notice was acknowledged.
struct Connection {
    notices: Notices,
    reactor: Rc<Reactor>,
    platform: TcpStream,
}

impl Connection {
    fn after_one_notice() -> Connection {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let reactor = Rc::new(Reactor::new().unwrap());
        let mut notices = Notices::new(Some(listener.local_addr().unwrap()));
        notices.push(given_up(1));
        notices.tick(0.0, &reactor);
        let (platform, _) = listener.accept().unwrap();
        let mut connection = Connection { notices, reactor, platform };
        assert_eq!(connection.handle_events(0.0), NONE);
        assert!(connection.has_request());
        connection.platform.write_all(ANSWER).unwrap();
        assert_eq!(connection.handle_events(ANSWERED_AT), [1]);
        connection
    }

    /// Waits for events and handles them; the messages whose notices were acknowledged.
    fn handle_events(&mut self, now: Ms) -> Vec<MessageNo> {
        let mut events = mio::Events::with_capacity(8);
        self.reactor.wait(&mut events, TEST_TIMEOUT).unwrap();
        self.notices.ready(now)
    }

    fn has_request(&mut self) -> bool {
        self.platform.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
        self.platform.read(&mut [0; 4096]).is_ok_and(|length| length > 0)
    }
}

fn given_up(message_no: MessageNo) -> FinalAnswer {
    FinalAnswer {
        message_no,
        identity: (String::new(), format!("{message_no:016x}")),
        ending: Ending::GivenUp,
        reply_to: Vec::new(),
        expires_at: 60_000.0,
    }
}

/// Guards against a second copy of an answer that acknowledges the next notices: they would never be sent again, and
/// their messages would have no end.
#[test]
fn a_late_copy_of_an_answer_does_not_acknowledge_the_next_notice() {
    let mut connection = Connection::after_one_notice();
    connection.notices.push(given_up(2));
    connection.notices.tick(ANSWERED_AT + 1.0, &connection.reactor);
    connection.platform.write_all(ANSWER).unwrap();
    assert_eq!(connection.handle_events(ANSWERED_AT + 20.0), NONE, "the copy acknowledges nothing");
    let due = connection.notices.next_due().unwrap();
    connection.notices.tick(due, &connection.reactor);
    assert!(connection.has_request(), "the notice is sent on the same connection");
    connection.platform.write_all(REFUSAL).unwrap();
    assert_eq!(connection.handle_events(due + 100.0), NONE);
    assert!(connection.notices.next_due().is_some(), "it is sent again");
}

/// Guards against a notice that waits longer than the bytes behind an answer can take.
#[test]
fn a_notice_is_sent_once_the_connection_may_be_reused() {
    let mut connection = Connection::after_one_notice();
    connection.notices.push(given_up(2));
    assert_eq!(connection.notices.next_due(), Some(REUSABLE_AT));
    connection.notices.tick(REUSABLE_AT, &connection.reactor);
    assert!(connection.has_request());
    connection.platform.write_all(ANSWER).unwrap();
    assert_eq!(connection.handle_events(REUSABLE_AT + 100.0), [2]);
}
