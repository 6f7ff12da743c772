//! The MQTT front end of the real program. Clients, brokers and the endpoints behind the brokers are
//! stand-ins.

mod stand;
#[path = "stand/mqtt.rs"]
mod stand_mqtt;

use lilacbank::guard::CONFIRM_TIMEOUT;
use mqtt_protocol_core::mqtt::result_code::PubackReasonCode;
use stand::*;
use stand_mqtt::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

const SAFE: &str = "class=safe,dest=1,tenant=acme";
const PAY: &str = "class=pay,dest=1";

fn site_with_brokers(brokers: &[&Broker]) -> TestInstallation {
    let list = brokers.iter().enumerate();
    let list: Vec<String> = list
        .map(|(n, b)| {
            list_entry(&format!("w{n}"), &b.endpoint_address(&format!("inbox/{n}")), "a", 1, "in_service")
        })
        .collect();
    let mut site = TestInstallation::new(&list);
    site.mqtt = true;
    site
}

#[test]
fn a_message_is_delivered_through_a_broker_and_answered() {
    let broker = Broker::start(|_, _| EndpointBehavior::Answer(200, None));
    let site = site_with_brokers(&[&broker]);
    let d = site.start();
    let mut c = MqttClient::connect(d.mqtt.unwrap(), "bank-1");
    c.submit("m1", "class=order,dest=1,idempotency-key=5c,key=0a", 10);
    assert_eq!(c.wait_for_outcome("m1"), "delivered");
    let call = broker.calls.lock().unwrap()[0].clone();
    assert_eq!(
        (call.topic.as_str(), call.user_property("id"), call.user_property("idempotency-key")),
        ("inbox/0", "m1", "5c")
    );
    assert_eq!(call.body, b"pay \0 this");
    let left: u64 = call.user_property("remaining-ms").parse().unwrap();
    assert!(left <= 10_000 && call.expiry.is_some_and(|s| u64::from(s) * 1000 >= left), "{left}");
    settle();
    assert_eq!(c.outcomes("m1").len(), 1);
    assert_eq!(*c.acks.lock().unwrap(), [PubackReasonCode::Success]);
    assert!(site.platform.notices.lock().unwrap().is_empty(), "the registry gets no notice for MQTT clients");
}

/// Guards against a second copy of an answer that counts for the next call: it names its own attempt.
#[test]
fn a_late_copy_of_an_answer_through_a_broker_is_ignored() {
    let broker = Broker::start(|_, nth| match nth {
        0 => EndpointBehavior::Answer(200, None),
        1 => EndpointBehavior::AnswerBehindCopy(503),
        _ => EndpointBehavior::AnswerBehindCopy(200),
    });
    let site = site_with_brokers(&[&broker]);
    let d = site.start();
    let mut c = MqttClient::connect(d.mqtt.unwrap(), "bank-1");
    for id in ["first", "second"] {
        c.submit(id, PAY, 10);
        assert_eq!(c.wait_for_outcome(id), "delivered");
        assert_eq!(broker.effect_count(id), 1, "{id} has run, as its outcome says");
    }
    assert_eq!(broker.calls.lock().unwrap().len(), 3, "the second message was refused once");
}

/// Guards against a broker's PUBACK that counts as a delivery: it confirms that the broker has the message,
/// not that the endpoint ran it.
#[test]
fn a_puback_of_the_broker_is_not_a_delivery() {
    let broker = Broker::start(|_, _| EndpointBehavior::NoAnswer);
    let site = site_with_brokers(&[&broker]);
    let d = site.start();
    let mut c = MqttClient::connect(d.mqtt.unwrap(), "bank-1");
    c.submit("p1", PAY, 1);
    assert_eq!(c.wait_for_outcome("p1"), "given_up");
    assert_eq!(broker.effect_count("p1"), 1);
}

#[test]
fn errors_refusals_and_malformed_messages_are_answered_differently() {
    let broker = Broker::start(|m, _| match m.user_property("id") {
        "full" => EndpointBehavior::Answer(503, None),
        "error" => EndpointBehavior::Answer(500, None),
        _ => EndpointBehavior::Answer(200, None),
    });
    let site = site_with_brokers(&[&broker]);
    let d = site.start();
    let mut c = MqttClient::connect(d.mqtt.unwrap(), "bank-1");
    for bad in ["class=safe", "class=safe,dest=x", "dest=1", "class=safe,dest=1,key=zz"] {
        c.submit("bad", bad, 5);
    }
    wait_until("all invalid messages are acknowledged", || c.acks.lock().unwrap().len() == 4);
    assert_eq!(*c.acks.lock().unwrap(), [PubackReasonCode::PayloadFormatInvalid; 4]);
    c.submit("unknown", "class=none,dest=1", 5);
    assert_eq!(c.wait_for_outcome("unknown"), "given_up");
    c.submit("error", PAY, 5);
    assert_eq!(c.wait_for_outcome("error"), "given_up");
    c.submit("full", SAFE, 1);
    assert_eq!(c.wait_for_outcome("full"), "handed_back");
    c.submit("good", SAFE, 10);
    assert_eq!(c.wait_for_outcome("good"), "delivered");
    assert_eq!((broker.effect_count("error"), broker.effect_count("full")), (1, 0));
}

/// Guards against a client that reconnects during an attempt of an at-most-once message, submits it again and
/// causes a second run. A message that is submitted again joins the pending one or gets the same final answer
/// again, also after a restart.
#[test]
fn a_resubmitted_message_joins_the_pending_one_or_gets_its_answer_again() {
    let broker = Broker::start(|m, nth| match nth {
        0 if m.user_property("id") == "pay-1" => EndpointBehavior::NoAnswer,
        _ => EndpointBehavior::Answer(200, None),
    });
    let site = site_with_brokers(&[&broker]);
    let d = site.start();
    let mut c = MqttClient::connect(d.mqtt.unwrap(), "bank-1");
    c.submit("pay-1", PAY, 3);
    wait_until("the attempt has reached the broker", || broker.effect_count("pay-1") == 1);
    c.reconnect(d.mqtt.unwrap());
    c.submit("pay-1", PAY, 3);
    assert_eq!(c.wait_for_outcome("pay-1"), "given_up");
    c.submit("pay-1", PAY, 3);
    wait_until("the final answer is sent again", || c.outcomes("pay-1").len() == 2);
    c.submit("pay-2", PAY, 10);
    assert_eq!(c.wait_for_outcome("pay-2"), "delivered");
    let mut other = MqttClient::connect(d.mqtt.unwrap(), "bank-2");
    other.submit("pay-2", PAY, 10);
    assert_eq!(
        other.wait_for_outcome("pay-2"),
        "delivered",
        "the same id from another client is another message"
    );
    d.kill();
    let d = site.start();
    c.reconnect(d.mqtt.unwrap());
    c.submit("pay-1", PAY, 3);
    c.submit("pay-2", PAY, 3);
    wait_until("both final answers are sent again after a restart", || {
        c.outcomes("pay-1").len() == 3 && c.outcomes("pay-2").len() == 2
    });
    assert!(c.outcomes("pay-1").iter().all(|o| o == "given_up"));
    settle();
    assert_eq!((broker.effect_count("pay-1"), broker.effect_count("pay-2")), (1, 2));
}

/// The arrival times of the calls with this id, in order.
fn calls_of(broker: &Broker, id: &str) -> Vec<Instant> {
    broker.calls.lock().unwrap().iter().filter(|m| m.user_property("id") == id).map(|m| m.at).collect()
}

/// Guards against overlapping attempts through a broker. An endpoint behind a broker does not notice the end
/// of the dispatcher's session, so the next attempt waits `CONFIRM_MOST`, the longest wait for a
/// confirmation, whichever side ended the session.
#[test]
fn the_next_attempt_through_a_broker_waits_after_the_end_of_the_session() {
    let bound = Duration::from_millis(CONFIRM_TIMEOUT as u64);
    let broken = Broker::start(|_, nth| {
        if nth == 0 {
            EndpointBehavior::BrokenAfterRun
        } else {
            EndpointBehavior::Answer(200, None)
        }
    });
    let silent = Broker::start(|_, nth| {
        if nth == 0 {
            EndpointBehavior::NoAnswer
        } else {
            EndpointBehavior::Answer(200, None)
        }
    });
    for broker in [&broken, &silent] {
        let site = site_with_brokers(&[broker]);
        let d = site.start();
        let mut c = MqttClient::connect(d.mqtt.unwrap(), "bank-1");
        c.submit("m", SAFE, 10);
        wait_until("the message is attempted again", || calls_of(broker, "m").len() == 2);
        let again = calls_of(broker, "m")[1];
        let ended = *broker.session_ends.lock().unwrap().first().expect("the first session has ended");
        // The broker notices the end of the session with a delay, so only half of the wait is checked.
        assert!(
            again.duration_since(ended) > bound / 2,
            "{:?} after the end of the session",
            again.duration_since(ended)
        );
        assert_eq!(c.wait_for_outcome("m"), "delivered");
    }
}

/// Guards against a second run after a kill: an attempt of an at-most-once message that was outstanding when
/// the process was killed may have run. It is not repeated, and the client gets a final answer.
#[test]
fn a_kill_during_an_attempt_gives_an_at_most_once_message_up() {
    let broker = Broker::start(|_, _| EndpointBehavior::NoAnswer);
    let site = site_with_brokers(&[&broker]);
    let d = site.start();
    let mut c = MqttClient::connect(d.mqtt.unwrap(), "bank-1");
    c.submit("p", PAY, 20);
    wait_until("the attempt has reached the broker", || broker.effect_count("p") == 1);
    d.kill();
    let d = site.start();
    c.reconnect(d.mqtt.unwrap());
    assert_eq!(c.wait_for_outcome("p"), "given_up");
    settle();
    assert_eq!((broker.effect_count("p"), c.outcomes("p").len()), (1, 1));
}

/// Guards against a session that is lost after the PUBLISH was written and counts as never sent: the message
/// may have run, so an at-most-once message is given up and an idempotent one is repeated.
#[test]
fn a_lost_session_counts_as_a_reset() {
    let broker = Broker::start(|_, nth| {
        if nth < 2 {
            EndpointBehavior::BrokenAfterRun
        } else {
            EndpointBehavior::Answer(200, None)
        }
    });
    let site = site_with_brokers(&[&broker]);
    let d = site.start();
    let mut c = MqttClient::connect(d.mqtt.unwrap(), "bank-1");
    c.submit("p", PAY, 10);
    assert_eq!(c.wait_for_outcome("p"), "given_up");
    c.submit("s", SAFE, 10);
    assert_eq!(c.wait_for_outcome("s"), "delivered");
    assert_eq!((broker.effect_count("p"), broker.effect_count("s")), (1, 2));
}

/// Loses sessions of clients and brokers at random from a fixed seed, and checks the effects and final
/// answers of each message.
#[test]
fn with_sessions_lost_at_random_answers_agree_and_no_at_most_once_message_runs_twice() {
    let broker = Broker::start(|m, nth| match (nth * 7919 + m.body.len()) % 11 {
        0 | 4 => EndpointBehavior::LostBeforeDelivery,
        7 => EndpointBehavior::BrokenAfterRun,
        _ => EndpointBehavior::Answer(200, None),
    });
    let site = site_with_brokers(&[&broker, &broker]);
    let mut d = site.start();
    let mut c = MqttClient::connect(d.mqtt.unwrap(), "bank-1");
    let mut seed: u64 = 0x5DEE_CE66;
    let mut random = |n: u64| {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (seed >> 33) % n
    };
    let options = |n: usize| match n % 3 {
        0 => PAY.to_string(),
        1 => SAFE.to_string(),
        _ => format!("class=order,dest=1,idempotency-key=i{n},key={:x}", 1 + n % 4),
    };
    const ALL: usize = 60;
    for n in 0..ALL {
        c.submit(&format!("m{n}"), &options(n), 20);
        match random(6) {
            0 => c.reconnect(d.mqtt.unwrap()),
            1 if n % 20 == 7 => {
                d.kill();
                d = site.start();
                c.reconnect(d.mqtt.unwrap());
            }
            _ => std::thread::sleep(Duration::from_millis(random(15))),
        }
        // A random earlier message is submitted again under the same id.
        let again = random(n as u64 + 1) as usize;
        c.submit(&format!("m{again}"), &options(again), 20);
    }
    c.reconnect(d.mqtt.unwrap());
    let unanswered: Vec<usize> = (0..ALL).filter(|n| c.outcomes(&format!("m{n}")).is_empty()).collect();
    for n in unanswered {
        c.submit(&format!("m{n}"), &options(n), 20);
    }
    for n in 0..ALL {
        c.wait_for_outcome(&format!("m{n}"));
    }
    settle();
    for n in 0..ALL {
        let id = format!("m{n}");
        let (answers, effects) = (c.outcomes(&id), broker.effect_count(&id));
        assert!(answers.iter().all(|o| *o == answers[0]), "{id} has different final answers: {answers:?}");
        assert!(answers[0] != "delivered" || effects > 0, "{id} is answered as delivered but never ran");
        assert!(n % 3 != 0 || effects <= 1, "{id} ran {effects} times");
        assert!(answers[0] != "handed_back" || n % 3 != 0 || effects == 0, "{id} was returned after it ran");
    }
}

#[test]
fn a_draining_endpoint_gets_nothing_new_and_a_restart_delivers_pending_messages() {
    let [a, b] = [0, 1].map(|_| Broker::start(|_, _| EndpointBehavior::Answer(200, None)));
    let site = site_with_brokers(&[&a, &b]);
    let mut d = site.start();
    let mut c = MqttClient::connect(d.mqtt.unwrap(), "bank-1");
    c.submit("before", PAY, 10);
    assert_eq!(c.wait_for_outcome("before"), "delivered");
    site.platform.publish_change(&list_entry("w0", &a.endpoint_address("inbox/0"), "a", 1, "terminating"));
    std::thread::sleep(Duration::from_millis(1_000));
    let had = a.calls.lock().unwrap().len();
    (0..8).for_each(|n| c.submit(&format!("n{n}"), PAY, 10));
    (0..8).for_each(|n| assert_eq!(c.wait_for_outcome(&format!("n{n}")), "delivered"));
    assert_eq!(a.calls.lock().unwrap().len(), had);
    // Without an endpoint in service, the pending message passes to the next process.
    site.platform.publish_change(&list_entry("w1", &b.endpoint_address("inbox/1"), "a", 1, "terminating"));
    std::thread::sleep(Duration::from_millis(1_000));
    c.submit("held", "class=order,dest=1,idempotency-key=7", 20);
    wait_until("the message is accepted", || c.acks.lock().unwrap().len() == 10);
    d.signal("-TERM");
    d.wait_for_success();
    assert_eq!(c.outcomes("held").len(), 0);
    site.platform.publish_change(&list_entry("w1", &b.endpoint_address("inbox/1"), "a", 1, "in_service"));
    let d = site.start();
    c.reconnect(d.mqtt.unwrap());
    assert_eq!(c.wait_for_outcome("held"), "delivered");
    assert_eq!(b.effect_count("held"), 1);
}

/// Guards against malformed packets that end the process or other sessions. The packets are valid MQTT with
/// random bytes changed from a fixed seed.
#[test]
fn malformed_packets_do_not_affect_other_sessions() {
    let broker = Broker::start(|_, _| EndpointBehavior::Answer(200, None));
    let site = site_with_brokers(&[&broker]);
    let mut d = site.start();
    let mut good = MqttClient::connect(d.mqtt.unwrap(), "good");
    let hello = b"\x10\x14\0\x04MQTT\x05\x02\0\x3c\0\0\x07bank-xx";
    let submit = b"\x32\x2a\0\x10lilacbank/submit\0\x01\x12\x08\0\x03a/b\x09\0\x01c\x26\0\x02id\0\x01xpay";
    let mut seed: u64 = 99;
    let mut random = |n: usize| {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (seed >> 33) as usize % n
    };
    for n in 0..200 {
        let mut bytes = [&hello[..], &submit[..]].concat();
        // Mostly the PUBLISH is corrupted, sometimes the CONNECT, and sometimes the end is missing.
        let from = if n % 4 == 0 { 0 } else { hello.len() };
        for _ in 0..=random(3) {
            let at = from + random(bytes.len() - from);
            bytes[at] = random(256) as u8;
        }
        bytes.truncate(bytes.len() - random(5));
        let mut tcp = TcpStream::connect(d.mqtt.unwrap()).unwrap();
        tcp.set_read_timeout(Some(Duration::from_millis(2))).unwrap();
        let _ = tcp.write_all(&bytes);
        let _ = tcp.read(&mut [0; 64]);
    }
    good.submit("after", PAY, 10);
    assert_eq!(good.wait_for_outcome("after"), "delivered");
    assert!(d.is_running());
}

/// Guards against 200 connections that send nothing or half a CONNECT and thereby lock out regular clients.
#[test]
fn silent_sessions_time_out_and_do_not_displace_clients() {
    let broker = Broker::start(|_, _| EndpointBehavior::Answer(200, None));
    let site = site_with_brokers(&[&broker]);
    let d = site.start();
    let mut old = MqttClient::connect(d.mqtt.unwrap(), "old");
    let start = Instant::now();
    let mut incomplete: Vec<TcpStream> =
        (0..200).map(|_| TcpStream::connect(d.mqtt.unwrap()).unwrap()).collect();
    for tcp in incomplete.iter_mut().step_by(2) {
        let _ = tcp.write_all(b"\x10\x14\0\x04MQ");
    }
    let mut new = MqttClient::connect(d.mqtt.unwrap(), "new");
    new.submit("n", PAY, 10);
    assert_eq!(new.wait_for_outcome("n"), "delivered");
    old.submit("o", PAY, 10);
    assert_eq!(old.wait_for_outcome("o"), "delivered");
    for tcp in &mut incomplete {
        tcp.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        assert_eq!(tcp.read(&mut [0; 16]).unwrap_or(0), 0, "the connection is closed without a packet");
    }
    assert!(start.elapsed() < Duration::from_secs(6), "{:?}", start.elapsed());
    old.submit("p", "class=safe,dest=77", 10);
    assert_eq!(old.wait_for_outcome("p"), "handed_back", "the endpoint list does not name the destination");
}

/// A CONNECT of MQTT 5 with a clean start and the client id "ab".
const CONNECT: &[u8] = b"\x10\x0f\0\x04MQTT\x05\x02\0\x3c\0\0\x02ab";
/// First byte of a CONNACK.
const CONNACK: u8 = 0x20;

/// Guards against a client that is locked out by a crowd: the process is held up, 200 connections that send
/// nothing or a fragment arrive with one client among them whose CONNECT arrives too. Whatever its place in
/// the batch, it is answered.
#[test]
fn a_connect_that_has_arrived_is_answered_whatever_its_place_in_a_crowd() {
    const CROWD: usize = 200;
    let broker = Broker::start(|_, _| EndpointBehavior::Answer(200, None));
    let site = site_with_brokers(&[&broker]);
    let d = site.start();
    for place in [0, CROWD / 2, CROWD] {
        d.pause();
        let mut crowd = Vec::new();
        let mut client = None;
        for n in 0..=CROWD {
            let mut tcp = TcpStream::connect(d.mqtt.unwrap()).unwrap();
            if n == place {
                tcp.write_all(CONNECT).unwrap();
                client = Some(tcp);
            } else {
                let fragment: &[u8] = if n % 2 == 0 { &[] } else { &CONNECT[..7] };
                tcp.write_all(fragment).unwrap();
                crowd.push(tcp);
            }
        }
        d.signal("-CONT");
        let mut client = client.unwrap();
        client.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let mut answer = [0; 1];
        let got = client.read_exact(&mut answer).map(|()| answer[0]);
        assert_eq!(got.ok(), Some(CONNACK), "the client at place {place} of {CROWD}");
    }
}

/// Guards against a retry-after that only one front end observes: the wait that an overloaded endpoint asks
/// for applies to the messages of RESP2 and MQTT clients alike.
#[test]
fn both_front_ends_observe_the_retry_after_of_an_endpoint() {
    let broker = Broker::start(|_, nth| match nth {
        0 => EndpointBehavior::Answer(429, Some("0.8")),
        _ => EndpointBehavior::Answer(200, None),
    });
    let site = site_with_brokers(&[&broker]);
    let mut d = site.start();
    let mut c = MqttClient::connect(d.mqtt.unwrap(), "bank-1");
    let mut resp = d.client();
    c.submit("q0", PAY, 10);
    d.wait_for_counters("1 refused");
    for n in 1..6 {
        c.submit(&format!("q{n}"), SAFE, 10);
        assert_eq!(resp.submit(&format!("r{n}"), "c=pay,dest=1"), "+OK");
    }
    let ids = |front: &str| (1..6).map(|n| format!("{front}{n}")).collect::<Vec<_>>();
    wait_until("all messages have reached the endpoint", || {
        ids("r").iter().chain(&ids("q")).all(|id| broker.effect_count(id) > 0)
    });
    (0..6).for_each(|n| assert_eq!(c.wait_for_outcome(&format!("q{n}")), "delivered"));
    settle();
    let calls = broker.calls.lock().unwrap();
    let gap = calls[1].at - calls[0].at;
    assert!(gap >= Duration::from_millis(800), "called again after {gap:?}");
    // The watchdog may repeat an idempotent message, but not an at-most-once one.
    ids("r")
        .iter()
        .chain(["q0".to_string()].iter())
        .for_each(|id| assert_eq!(broker.effect_count(id), 1, "{id}"));
    assert!((0..6).all(|n| c.outcomes(&format!("q{n}")).len() == 1));
    assert!(site.platform.notices.lock().unwrap().is_empty());
}
