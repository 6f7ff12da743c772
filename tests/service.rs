//! Days of service: bad clients, spoilt answers, workers that come and go. The program is real, the rest stand-ins.

mod stand;
use stand::*;
use std::io::Write;
use std::time::{Duration, Instant};

const OK: Reply = Reply::Answer("200 OK");

fn one(worker: &Worker) -> Site {
    Site::new(&[entry("w1", &worker.address.to_string(), "a", 1, "in_service")])
}

/// What a worker answers, byte for byte, to calls whose id begins with the name.
fn spoilt(id: &str) -> Option<Vec<u8>> {
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

fn spoiler() -> Worker {
    Worker::start(|r, _| spoilt(r.header("x-txn")).map_or(OK, Reply::Raw))
}

/// Guards against a spoilt answer taken for proof that nothing ran, waited for until the deadline, or left on a
/// connection that is used again.
#[test]
fn a_spoilt_answer_may_have_run_and_counts_at_once() {
    let worker = spoiler();
    let site = one(&worker);
    let d = site.start();
    let names = ["noise", "mute", "endless503", "short503", "long503", "odd503", "huge503"];
    for name in names {
        let (id, start) = (format!("{name}-pay"), Instant::now());
        assert_eq!(d.client().submit(&id, "c=pay,d=15000,dest=1"), "+OK");
        until(&format!("{id} is given up"), || !site.platform.noticed(&id).is_empty());
        assert!(site.platform.noticed(&id)[0].contains("given_up"), "{id}");
        assert!(start.elapsed() < Duration::from_secs(5), "{id} took {:?}", start.elapsed());
        assert_eq!(worker.of(&id), 1, "{id} may have run");
        let next = format!("after-{name}");
        assert_eq!(d.client().submit(&next, "c=safe,dest=1"), "+OK");
        until(&format!("{next} is delivered"), || worker.of(&next) == 1);
    }
}

/// A first line that says 200 is a delivery, whatever comes around it; only clean ones leave a connection of use.
#[test]
fn what_begins_with_200_is_delivered_however_it_goes_on() {
    let worker = spoiler();
    let site = one(&worker);
    let mut d = site.start();
    let names = ["endless200", "huge200", "short200", "twice200", "interim200", "report200"];
    for (n, name) in names.iter().enumerate() {
        let id = format!("{name}-pay");
        assert_eq!(d.client().submit(&id, "c=pay,d=15000,dest=1"), "+OK");
        d.counts(&format!("{} delivered, 0 given up", n + 1));
    }
    let before = *worker.connections.lock().unwrap();
    assert!(before <= names.len(), "the clean ones kept theirs: {before}");
    for n in 0..3 {
        let id = format!("report200-{n}");
        assert_eq!(d.client().submit(&id, "c=pay,dest=1"), "+OK");
        d.counts(&format!("{} delivered", names.len() + n + 1));
    }
    assert_eq!(
        *worker.connections.lock().unwrap(),
        before,
        "a report that cannot be read costs no connection"
    );
    assert!(site.platform.notices.lock().unwrap().is_empty());
}

/// Guards against a wait that is lost because the answer that told it was spoilt.
#[test]
fn a_wait_in_a_spoilt_answer_is_kept() {
    let full = b"HTTP/1.1 429 Wait\r\nRetry-After: 1.5\r\nContent-Length: 1\r\n\r\nxxxx";
    let worker = Worker::start(move |_, nth| if nth == 0 { Reply::Raw(full.to_vec()) } else { OK });
    let site = one(&worker);
    let d = site.start();
    assert_eq!(d.client().submit("a", "c=safe,dest=1"), "+OK");
    until("it goes again", || worker.of("a") == 2);
    let calls = worker.calls.lock().unwrap();
    assert!(calls[1].at - calls[0].at >= Duration::from_millis(1_500), "{:?}", calls[1].at - calls[0].at);
}

/// Guards against a crowd that connects and says nothing, or half a command, pushing out the usual clients.
#[test]
fn a_crowd_is_closed_in_time_and_pushes_nobody_out() {
    let worker = Worker::start(|_, _| OK);
    let site = one(&worker);
    let d = site.start();
    let (mut usual, start) = (d.client(), Instant::now());
    assert_eq!(usual.submit("first", "c=safe,dest=1"), "+OK");
    let mut crowd: Vec<Client> = (0..600).map(|_| d.client()).collect();
    for (n, c) in crowd.iter_mut().enumerate() {
        let half: &[u8] = if n % 2 == 0 { b"" } else { b"*5\r\n$6\r\nSUBMIT\r\n$3" };
        let _ = c.0.get_mut().write_all(half);
    }
    let (mut late, since) = (d.client(), Instant::now());
    assert_eq!(late.submit("late", "c=safe,dest=1"), "+OK", "a new client gets in");
    assert!(since.elapsed() < Duration::from_millis(400), "{:?}", since.elapsed());
    assert_eq!(usual.submit("second", "c=safe,dest=1"), "+OK", "an old one is still there");
    for c in &mut crowd {
        assert_eq!(c.line(), "", "closed without a word");
    }
    assert!(start.elapsed() < Duration::from_secs(6), "{:?}", start.elapsed());
    assert_eq!(usual.submit("third", "c=safe,dest=1"), "+OK", "one that was served is kept");
}

/// Guards against the end of a connection overtaking the error line: bytes that meet a closed socket reset it.
#[test]
fn the_error_line_arrives_although_the_client_is_still_sending() {
    let worker = Worker::start(|_, _| OK);
    let site = one(&worker);
    let d = site.start();
    let mut c = d.client();
    c.send(b"*5\r\n$6\r\nSUBMIT\r\n$62914560\r\n");
    for _ in 0..20 {
        c.send(&[b'x'; 10_000]);
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(c.line().starts_with("-ERR"), "the error line");
    assert_eq!(c.line(), "", "then the end");
    assert!(d.memory_mb() < 30, "{} MB", d.memory_mb());
}

/// Guards against one client's flood of commands keeping all others from their turn.
#[test]
fn others_are_served_while_one_client_floods() {
    let worker = Worker::start(|_, _| OK);
    let site = one(&worker);
    let d = site.start();
    let mut flood = d.client();
    let reader = flood.0.get_ref().try_clone().unwrap();
    let writer = std::thread::spawn(move || {
        let nonsense = command(&[b"NONSENSE", b"x"]).repeat(2_000);
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

/// Guards against what belongs to an id being taken over by another worker at the same address: connections, waits and
/// what was learned.
#[test]
fn a_new_id_at_an_old_address_starts_with_nothing_of_the_old_one() {
    let wait = "429 Wait\r\nRetry-After: 8";
    let worker = Worker::start(move |r, _| if r.header("x-txn") == "b" { Reply::Answer(wait) } else { OK });
    let old = entry("w1", &worker.address.to_string(), "a", 1, "in_service");
    let site = Site::new(std::slice::from_ref(&old));
    let mut d = site.start();
    assert_eq!(d.client().submit("a", "c=safe,dest=1"), "+OK");
    until("it is delivered", || worker.of("a") == 1);
    assert_eq!(d.client().submit("b", "c=safe,d=500,dest=1"), "+OK");
    d.counts("1 refused");
    let before = *worker.connections.lock().unwrap();
    let gone = old.replace("in_service", "terminated");
    site.platform.push(&format!("{gone},{}", old.replace("w1", "w2")));
    let start = Instant::now();
    let mut n = 0;
    until("the new one is sent to", || {
        n += 1;
        d.client().submit(&format!("c{n}"), "c=safe,dest=1");
        worker.calls.lock().unwrap().iter().any(|c| c.header("x-txn").starts_with('c'))
    });
    assert!(start.elapsed() < Duration::from_secs(6), "no wait of the old one holds: {:?}", start.elapsed());
    assert!(*worker.connections.lock().unwrap() > before, "and no connection");
}

/// A destination that no list names gets no promise; on MQTT too (see there).
#[test]
fn a_listed_destination_is_needed() {
    let worker = Worker::start(|_, _| OK);
    let site = one(&worker);
    let d = site.start();
    assert_eq!(d.client().submit("a", "c=safe,dest=1"), "+OK");
    until("the list is known", || worker.of("a") == 1);
    assert_eq!(d.client().submit("b", "c=safe,dest=77"), "-BUSY 500");
    assert_eq!(d.client().submit("c", "c=safe,dest=18446744073709551615"), "-BUSY 500");
}
