//! Long service of the built program: misbehaving clients, malformed answers, endpoints that come and go.
//! Everything around the program is a stand-in.

mod stand;
use stand::*;
use std::io::Write;
use std::time::{Duration, Instant};

const OK: Reply = Reply::Answer("200 OK");

/// A site with one listed endpoint.
fn site_with(endpoint: &EndpointStandIn) -> TestInstallation {
    TestInstallation::new(&[list_entry("w1", &endpoint.address.to_string(), "a", 1, "in_service")])
}

/// The raw answer to calls whose id begins with one of these names; none for other ids.
fn malformed_answer(id: &str) -> Option<Vec<u8>> {
    let endless = |line: &str| format!("HTTP/1.1 {line}\r\nX-Fill: {}", "x".repeat(200)).into_bytes();
    let good = "HTTP/1.1 200 OK\r\nX-Pressure: x0=?,x1=nan,=,,\r\nContent-Length: 2\r\n\r\nok";
    Some(match id.split('-').next().unwrap_or("") {
        "noise" => b"\x00\xff\x17 no answer at all\r\n\r\n".to_vec(),
        "mute" => b"HTTP/1.1 2".to_vec(),
        "endless503" => endless("503 Full"),
        "endless200" => endless("200 OK"),
        "short503" => b"HTTP/1.1 503 Full\r\nContent-Length: 400\r\n\r\nfull".to_vec(),
        "long503" => b"HTTP/1.1 503 Full\r\nContent-Length: 1\r\n\r\nfull and more".to_vec(),
        "odd503" => b"HTTP/1.1 503 Full\r\nContent-Length: -7\r\n\r\nfull".to_vec(),
        "huge503" => b"HTTP/1.1 503 Full\r\nContent-Length: 3000000000\r\n\r\nfull".to_vec(),
        "huge200" => b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nfull".to_vec(),
        "short200" => b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nfull".to_vec(),
        "twice200" => format!("{good}{good}").into_bytes(),
        "interim200" => {
            format!("HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n{good}").into_bytes()
        }
        "report200" => good.into(),
        _ => return None,
    })
}

/// An endpoint that gives malformed answers by the id of the call, and accepts all other calls.
fn malforming_endpoint() -> EndpointStandIn {
    EndpointStandIn::start(|r, _| malformed_answer(r.header("x-txn")).map_or(OK, Reply::Raw))
}

/// Guards against a malformed answer being taken for proof that nothing ran, being waited for until the
/// deadline, or being left on a connection that is reused.
#[test]
fn a_malformed_answer_ends_an_attempt_at_once_and_as_one_that_may_have_run() {
    let endpoint = malforming_endpoint();
    let site = site_with(&endpoint);
    let d = site.start();
    let names = ["noise", "mute", "endless503", "short503", "long503", "odd503", "huge503"];
    for name in names {
        let (id, start) = (format!("{name}-pay"), Instant::now());
        assert_eq!(d.client().submit(&id, "c=pay,d=15000,dest=1"), "+OK");
        wait_until(&format!("{id} is given up"), || !site.platform.notices_for(&id).is_empty());
        assert!(site.platform.notices_for(&id)[0].contains("given_up"), "{id}");
        assert!(start.elapsed() < Duration::from_secs(5), "{id} took {:?}", start.elapsed());
        assert_eq!(endpoint.calls_of(&id), 1, "{id} may have run");
        let next = format!("after-{name}");
        assert_eq!(d.client().submit(&next, "c=safe,dest=1"), "+OK");
        wait_until(&format!("{next} is delivered"), || endpoint.calls_of(&next) == 1);
    }
}

/// Guards against an answer with status 200 being taken for a failure because of what follows or precedes it,
/// and against reuse of a connection after an answer that is not well formed.
#[test]
fn an_answer_with_status_200_is_a_delivery_whatever_follows() {
    let endpoint = malforming_endpoint();
    let site = site_with(&endpoint);
    let mut d = site.start();
    let names = ["endless200", "huge200", "short200", "twice200", "interim200", "report200"];
    for (n, name) in names.iter().enumerate() {
        let id = format!("{name}-pay");
        assert_eq!(d.client().submit(&id, "c=pay,d=15000,dest=1"), "+OK");
        d.wait_for_counters(&format!("{} delivered, 0 given up", n + 1));
    }
    let before = *endpoint.accepted_connections.lock().unwrap();
    assert!(before <= names.len(), "a well-formed answer cost its connection: {before} connections");
    for n in 0..3 {
        let id = format!("report200-{n}");
        assert_eq!(d.client().submit(&id, "c=pay,dest=1"), "+OK");
        d.wait_for_counters(&format!("{} delivered", names.len() + n + 1));
    }
    assert_eq!(
        *endpoint.accepted_connections.lock().unwrap(),
        before,
        "an unreadable report cost a connection"
    );
    assert!(site.platform.notices.lock().unwrap().is_empty());
}

/// Guards against the loss of a retry-after because the answer that carried it was malformed.
#[test]
fn a_retry_after_in_a_malformed_answer_is_kept() {
    let full = b"HTTP/1.1 429 Wait\r\nRetry-After: 1.5\r\nContent-Length: 1\r\n\r\nxxxx";
    let endpoint =
        EndpointStandIn::start(move |_, nth| if nth == 0 { Reply::Raw(full.to_vec()) } else { OK });
    let site = site_with(&endpoint);
    let d = site.start();
    assert_eq!(d.client().submit("a", "c=safe,dest=1"), "+OK");
    wait_until("the message is sent again", || endpoint.calls_of("a") == 2);
    let calls = endpoint.calls.lock().unwrap();
    assert!(calls[1].at - calls[0].at >= Duration::from_millis(1_500), "{:?}", calls[1].at - calls[0].at);
}

/// Guards against many connections that send nothing, or half a command, keeping out other clients.
#[test]
fn silent_connections_are_closed_in_time_and_keep_nobody_out() {
    let endpoint = EndpointStandIn::start(|_, _| OK);
    let site = site_with(&endpoint);
    let d = site.start();
    let (mut usual, start) = (d.client(), Instant::now());
    assert_eq!(usual.submit("first", "c=safe,dest=1"), "+OK");
    let mut silent: Vec<Client> = (0..600).map(|_| d.client()).collect();
    for (n, c) in silent.iter_mut().enumerate() {
        let half: &[u8] = if n % 2 == 0 { b"" } else { b"*5\r\n$6\r\nSUBMIT\r\n$3" };
        let _ = c.0.get_mut().write_all(half);
    }
    let (mut late, since) = (d.client(), Instant::now());
    assert_eq!(late.submit("late", "c=safe,dest=1"), "+OK", "a new client is served");
    assert!(since.elapsed() < Duration::from_millis(400), "{:?}", since.elapsed());
    assert_eq!(usual.submit("second", "c=safe,dest=1"), "+OK", "an earlier client is still served");
    for c in &mut silent {
        assert_eq!(c.read_line(), "", "closed without an answer");
    }
    assert!(start.elapsed() < Duration::from_secs(6), "{:?}", start.elapsed());
    assert_eq!(
        usual.submit("third", "c=safe,dest=1"),
        "+OK",
        "a client that was served keeps its connection"
    );
}

/// Guards against a client losing the error line: bytes that arrive at a closed socket reset the connection,
/// and the line with it.
#[test]
fn the_error_line_arrives_although_the_client_is_still_sending() {
    let endpoint = EndpointStandIn::start(|_, _| OK);
    let site = site_with(&endpoint);
    let d = site.start();
    let mut c = d.client();
    c.send(b"*5\r\n$6\r\nSUBMIT\r\n$62914560\r\n");
    for _ in 0..20 {
        c.send(&[b'x'; 10_000]);
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(c.read_line().starts_with("-ERR"), "the error line");
    assert_eq!(c.read_line(), "", "the connection is closed after the error line");
    assert!(d.memory_mb() < 30, "{} MB", d.memory_mb());
}

/// Guards against one client's flood of commands starving all others.
#[test]
fn others_are_served_while_one_client_floods() {
    let endpoint = EndpointStandIn::start(|_, _| OK);
    let site = site_with(&endpoint);
    let d = site.start();
    let mut flood = d.client();
    let reader = flood.0.get_ref().try_clone().unwrap();
    let writer = std::thread::spawn(move || {
        let nonsense = encode_command(&[b"NONSENSE", b"x"]).repeat(2_000);
        (0..200).all(|_| flood.0.get_mut().write_all(&nonsense).is_ok())
    });
    let sink = std::thread::spawn(move || std::io::copy(&mut &reader, &mut std::io::sink()));
    for n in 0..50 {
        let start = Instant::now();
        assert_eq!(d.client().submit(&format!("n{n}"), "c=safe,dest=1"), "+OK");
        assert!(start.elapsed() < Duration::from_millis(400), "{:?}", start.elapsed());
    }
    drop(d);
    let _ = (writer.join(), sink.join());
}

/// Guards against an endpoint inheriting connections, retry-afters or statistics from another one that had
/// the same address under another id.
#[test]
fn a_new_endpoint_at_an_old_address_inherits_nothing() {
    let wait = "429 Wait\r\nRetry-After: 8";
    let endpoint =
        EndpointStandIn::start(move |r, _| if r.header("x-txn") == "b" { Reply::Answer(wait) } else { OK });
    let old = list_entry("w1", &endpoint.address.to_string(), "a", 1, "in_service");
    let site = TestInstallation::new(std::slice::from_ref(&old));
    let mut d = site.start();
    assert_eq!(d.client().submit("a", "c=safe,dest=1"), "+OK");
    wait_until("it is delivered", || endpoint.calls_of("a") == 1);
    assert_eq!(d.client().submit("b", "c=safe,d=500,dest=1"), "+OK");
    d.wait_for_counters("1 refused");
    let before = *endpoint.accepted_connections.lock().unwrap();
    let gone = old.replace("in_service", "terminated");
    site.platform.publish_change(&format!("{gone},{}", old.replace("w1", "w2")));
    let start = Instant::now();
    let mut n = 0;
    wait_until("the new endpoint gets messages", || {
        n += 1;
        d.client().submit(&format!("c{n}"), "c=safe,dest=1");
        endpoint.calls.lock().unwrap().iter().any(|c| c.header("x-txn").starts_with('c'))
    });
    assert!(
        start.elapsed() < Duration::from_secs(6),
        "the retry-after of the old endpoint still binds: {:?}",
        start.elapsed()
    );
    assert!(
        *endpoint.accepted_connections.lock().unwrap() > before,
        "a connection of the old endpoint was reused"
    );
}

/// Guards against accepting a message for a destination that is not in the endpoint list. tests/mqtt.rs
/// checks the same on MQTT.
#[test]
fn a_message_for_an_unlisted_destination_is_rejected() {
    let endpoint = EndpointStandIn::start(|_, _| OK);
    let site = site_with(&endpoint);
    let d = site.start();
    assert_eq!(d.client().submit("a", "c=safe,dest=1"), "+OK");
    wait_until("the list is known", || endpoint.calls_of("a") == 1);
    assert_eq!(d.client().submit("b", "c=safe,dest=77"), "-BUSY 500");
    assert_eq!(d.client().submit("c", "c=safe,dest=18446744073709551615"), "-BUSY 500");
}
