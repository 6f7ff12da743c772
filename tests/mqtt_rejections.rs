//! MQTT sessions that end before the client has acknowledged that its message was rejected.

mod stand;
#[path = "stand/mqtt.rs"]
mod stand_mqtt;

use mqtt_protocol_core::mqtt::role;
use stand::*;
use stand_mqtt::*;
use std::time::Duration;

const PAY: [(&str, &str); 2] = [("class", "pay"), ("dest", "2")];
/// Times between the end of a connection and the next one, in milliseconds.
const GAPS_MS: [u64; 4] = [0, 350, 700, 1_900];

type Connection = MqttConnection<role::Client>;

/// A dispatcher whose endpoint list does not name the destination until the test says so.
struct UnlistedDestination {
    site: TestInstallation,
    endpoint: EndpointStandIn,
    process: Dispatcher,
}

impl UnlistedDestination {
    fn start() -> UnlistedDestination {
        let endpoint = EndpointStandIn::start(|_, _| Reply::Answer("200 OK"));
        let other = list_entry("w1", &endpoint.address.to_string(), "a", 1, "in_service");
        let mut site = TestInstallation::new(&[other]);
        site.mqtt = true;
        let process = site.start_with("127.0.0.1:0", &[("ROUTER_CONTROL", "127.0.0.1:0")]);
        wait_until("the first list is known", || metrics(&process)["members"] == 1);
        UnlistedDestination { site, endpoint, process }
    }

    fn list(&self) {
        let address = self.endpoint.address.to_string();
        self.site.platform.publish_change(&list_entry("w2", &address, "a", 2, "in_service"));
        wait_until("the destination is listed", || metrics(&self.process)["members"] == 2);
    }

    fn wait_for_rejections(&self, count: u64) {
        wait_until("the message is rejected", || metrics(&self.process)["not_taken"]["not_listed"] == count);
    }

    fn connect(&self, name: &str) -> Connection {
        Connection::open(self.process.mqtt.unwrap(), name)
    }

    fn calls_of(&self, id: &str) -> usize {
        self.endpoint.calls_of(id)
    }
}

/// Guards against a reimbursement that runs twice: it is rejected, its session is lost before the client knows, and
/// the client sends it again on the next connection, on which it is told of the rejection. What was rejected must not run
/// when the client submits it under another id.
#[test]
fn a_message_whose_rejection_is_told_is_not_accepted_when_it_is_sent_again() {
    for (n, gap) in GAPS_MS.into_iter().enumerate() {
        for (dup, listed_before) in [(true, true), (true, false), (false, true)] {
            let unlisted = UnlistedDestination::start();
            let (first_id, next_id) = (format!("pay-{n}-first"), format!("pay-{n}-next"));
            let mut client = unlisted.connect("bank-1");
            client.subscribe("answers");
            client.submit(&first_id, &PAY, false);
            unlisted.wait_for_rejections(1);
            drop(client);
            std::thread::sleep(Duration::from_millis(gap));
            if listed_before {
                unlisted.list();
            }
            let mut client = unlisted.connect("bank-1");
            let (packet, id, outcome) = client.next_answer();
            assert_eq!((&id, outcome.as_str()), (&first_id, "handed_back"));
            client.submit(&first_id, &PAY, dup);
            client.wait_for_ack();
            if !listed_before {
                unlisted.list();
            }
            client.submit(&next_id, &PAY, false);
            client.acknowledge(packet);
            let (packet, id, outcome) = client.next_answer();
            assert_eq!((&id, outcome.as_str()), (&next_id, "delivered"));
            client.acknowledge(packet);
            settle();
            let calls = (unlisted.calls_of(&first_id), unlisted.calls_of(&next_id));
            assert_eq!(calls, (0, 1), "after {gap} ms, DUP {dup}, listed before {listed_before}");
        }
    }
}

/// Guards against the same fault where the connection on which the rejection was sent is lost, too.
#[test]
fn a_rejection_that_was_told_stands_over_further_connections() {
    let unlisted = UnlistedDestination::start();
    let mut client = unlisted.connect("bank-1");
    client.subscribe("answers");
    client.submit("pay-1", &PAY, false);
    unlisted.wait_for_rejections(1);
    unlisted.list();
    for _ in 0..3 {
        client = unlisted.connect("bank-1");
        assert_eq!(client.next_answer().2, "handed_back");
        client.submit("pay-1", &PAY, true);
        client.wait_for_ack();
    }
    client.submit("pay-2", &PAY, false);
    assert_eq!(client.next_answer().1, "pay-2");
    assert_eq!((unlisted.calls_of("pay-1"), unlisted.calls_of("pay-2")), (0, 1));
}

/// Guards against a final answer that is displaced by an earlier rejection: one that was never sent is dropped once the
/// client submits the message again.
#[test]
fn a_rejection_that_was_never_sent_is_not_told_of_the_accepted_message() {
    let unlisted = UnlistedDestination::start();
    // Without a subscription no answer is sent.
    let mut client = unlisted.connect("bank-1");
    client.submit("pay-1", &PAY, false);
    unlisted.wait_for_rejections(1);
    drop(client);
    unlisted.list();
    let mut client = unlisted.connect("bank-1");
    client.submit("pay-1", &PAY, true);
    client.wait_for_ack();
    client.subscribe("answers");
    let (_, id, outcome) = client.next_answer();
    assert_eq!((id.as_str(), outcome.as_str()), ("pay-1", "delivered"));
    assert_eq!(unlisted.calls_of("pay-1"), 1);
}

/// Guards against a fix that rejects for too long: once the client has acknowledged the rejection, the same id may be
/// submitted again.
#[test]
fn an_acknowledged_rejection_does_not_bind_the_next_submission() {
    let unlisted = UnlistedDestination::start();
    let mut client = unlisted.connect("bank-1");
    client.subscribe("answers");
    client.submit("pay-1", &PAY, false);
    let (packet, _, outcome) = client.next_answer();
    assert_eq!(outcome, "handed_back");
    client.acknowledge(packet);
    unlisted.list();
    client.submit("pay-1", &PAY, false);
    let (_, id, outcome) = client.next_answer();
    assert_eq!((id.as_str(), outcome.as_str()), ("pay-1", "delivered"));
}
