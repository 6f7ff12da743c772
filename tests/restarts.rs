//! Restarts: the messages that a process leaves to the next one, counted for each effect (idempotent,
//! deduplicated, at-most-once).

mod stand;
use lilacbank::journal::{Journal, Record, Taken};
use stand::*;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const OK: Reply = Reply::Answer("200 OK");

fn site_of(worker: &Worker) -> Site {
    Site::new(&[entry("w1", &worker.address.to_string(), "a", 1, "in_service")])
}

/// Guards against accepted messages without an attempt that the next start gives up. The process is killed
/// directly after the last acceptance; the next one attempts all such messages of each effect once.
#[test]
fn accepted_messages_without_an_attempt_are_attempted_after_a_kill() {
    let (worker, answers) = silent_until_told();
    let site = site_of(&worker);
    let d = site.start();
    let mut c = d.client();
    let ids = hand_in_each_class(&mut c, 48, 6_000);
    d.kill();
    let attempts: Vec<usize> = ids.iter().map(|(id, _)| worker.of(id)).collect();
    answers.store(true, Ordering::SeqCst);
    let _d = site.start();
    for class in ["safe", "order", "pay"] {
        let of = |untried: bool| {
            let all =
                ids.iter().zip(&attempts).filter(move |((_, c), t)| *c == class && (**t == 0) == untried);
            all.map(|((id, _), _)| id.clone())
        };
        assert!(of(true).count() >= 8, "{class}: {}", of(true).count());
        for id in of(true) {
            until(&format!("{id} of {class} is attempted"), || worker.of(&id) == 1);
            assert!(site.platform.noticed(&id).is_empty(), "{id}");
        }
        for id in of(false).filter(|_| class == "pay") {
            until(&format!("{id} may have run and is given up"), || site.platform.noticed(&id).len() == 1);
            assert_eq!(worker.of(&id), 1, "{id}");
        }
    }
}

/// Guards against a repeat after the deduplication window. The first attempt is sent before a kill, and the
/// window of 1 s has passed when the next process is ready. If the client submits the message again under its
/// id, it is not sent either.
#[test]
fn a_message_is_not_repeated_after_the_deduplication_window_across_a_restart() {
    let worker = Worker::start(|_, nth| if nth == 0 { Reply::Silence } else { OK });
    let site = site_of(&worker);
    let config = site.changed("\"window\":20000", "\"window\":1000");
    let start = || site.start_with("127.0.0.1:0", &[("ROUTER_CONFIG", &config)]);
    let d = start();
    assert_eq!(d.client().keyed("5", "a", "c=order,k=ka,dest=1"), "+OK");
    until("the first attempt has reached the endpoint", || worker.of("a") == 1);
    let sent = worker.calls.lock().unwrap()[0].at;
    d.kill();
    std::thread::sleep(Duration::from_millis(1_001).saturating_sub(sent.elapsed()));
    let d = start();
    until("the message has a notice", || !site.platform.noticed("a").is_empty());
    assert!(site.platform.noticed("a")[0].contains("given_up"));
    assert_eq!(d.client().keyed("5", "a", "c=order,k=ka,dest=1"), "+OK", "the id is known");
    assert_eq!(d.client().keyed("5", "b", "c=order,k=kb,dest=1"), "+OK");
    until("the next message of the ordering key is sent", || worker.of("b") == 1);
    assert_eq!(worker.of("a"), 1);
}

/// Guards against a message that is not repeated although the next process is ready within the deduplication
/// window. The window of 12 s is longer than a start takes on any machine.
#[test]
fn a_message_is_repeated_within_the_deduplication_window_after_a_restart() {
    let worker = Worker::start(|_, nth| if nth == 0 { Reply::Silence } else { OK });
    let site = site_of(&worker);
    let config = site.changed("\"window\":20000", "\"window\":12000");
    let start = || site.start_with("127.0.0.1:0", &[("ROUTER_CONFIG", &config)]);
    let d = start();
    assert_eq!(d.client().keyed("5", "a", "c=order,k=ka,dest=1"), "+OK");
    until("the first attempt has reached the endpoint", || worker.of("a") == 1);
    d.kill();
    let _d = start();
    until("the message is repeated", || worker.of("a") == 2);
}

/// The time until a start answers clients with a journal of this size, and the number of messages in it: half
/// of them are finished, half are pending.
fn time_until_ready(bytes: u64) -> (Duration, usize) {
    let worker = Worker::start(|_, _| Reply::Silence);
    let mut site = site_of(&worker);
    site.disk_mb = bytes as f64 / 1e6 * 2.5 + 1.0;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1000.0;
    let (mut journal, _) = Journal::open(&site.dir.join("state"), bytes * 3).unwrap();
    let mut no = 0;
    while journal.size() < bytes {
        no += 1;
        let identity = (String::new(), format!("{no:016x}"));
        let taken = Taken {
            no,
            identity,
            class: "pay".into(),
            tenant: "acme".into(),
            dest: 1,
            valid_until: now + 20_000.0,
            body: vec![b'x'; 200],
            ..Taken::default()
        };
        journal.append(&Record::Taken(taken)).unwrap();
        if no % 2 == 0 {
            journal.append(&Record::Over { no, until: now + 20_000.0 }).unwrap();
        }
    }
    drop(journal);
    let start = Instant::now();
    let d = site.start();
    assert_eq!(d.client().ask(&[b"PING"]), "+PONG");
    (start.elapsed(), no as usize)
}

/// Guards against a slow start with a full journal. Nine in ten restarted processes must be ready within
/// 10 s; a process with the largest journal that the state folder allows must need less than half of that.
#[test]
fn a_start_with_a_full_journal_is_ready_within_five_seconds() {
    let (took, messages) = time_until_ready(2_900_000);
    assert!(messages > 5_000 && took < Duration::from_secs(5), "{messages} messages: {took:?}");
}

/// A measurement for `docs/design/endings.md`.
///
/// `cargo test --release --test restarts -- --ignored --nocapture ready_by`
#[test]
#[ignore = "a measurement"]
fn ready_by_journal_size() {
    for bytes in [100_000, 1_000_000, 2_900_000, 10_000_000, 30_000_000] {
        let mut all: Vec<(Duration, usize)> = (0..5).map(|_| time_until_ready(bytes)).collect();
        all.sort();
        println!(
            "{:.1} MB, {} messages: {:?} (least {:?}, most {:?})",
            bytes as f64 / 1e6,
            all[2].1,
            all[2].0,
            all[0].0,
            all[4].0
        );
    }
}

/// Guards against idle clients that exhaust the file descriptors while the registry is down. The control
/// interface, the journal, the registry and the endpoints must still get descriptors, and a new endpoint list
/// must take effect within 2 s after the registry is back.
#[test]
fn idle_clients_that_exhaust_the_descriptors_do_not_block_other_connections() {
    let (worker, registry) = (Worker::start(|_, _| OK), Puppet::start());
    let site = site_of(&worker);
    let address = registry.address.to_string();
    let w1 = entry("w1", &worker.address.to_string(), "a", 1, "in_service");
    let known = format!(r#""discovery":null,"known":{{"rev":3,"all":true,"targets":[{w1}]}}"#);
    let config = site.changed("\"discovery\":null", &known);
    let more = [
        ("ROUTER_CONFIG", config.as_str()),
        ("ROUTER_DISCOVERY", address.as_str()),
        ("ROUTER_CONTROL", "127.0.0.1:0"),
    ];
    let d = site.start_limited("-n 256", &more);
    let silent = registry.next("watch=1");
    let mut idle: Vec<Client> = (0..400).map(|_| d.client()).collect();
    for (n, c) in idle.iter_mut().enumerate() {
        if n % 2 == 0 {
            let _ = c.0.get_mut().write(&command(&[b"PING"]));
        }
    }
    assert!(control(door(&d), "check").starts_with("200"));
    assert_eq!(d.client().submit("down", "c=safe,dest=1"), "+OK", "the message is accepted and recorded");
    until("the endpoint is reached", || worker.of("down") == 1);
    // The registry has sent nothing and its connection closes; the dispatcher must query it again.
    drop(silent);
    let mut watch = registry.next("watch=1");
    watch.begin_watch();
    let new = Worker::start(|_, _| OK);
    let w2 = entry("w2", &new.address.to_string(), "a", 2, "in_service");
    let back = Instant::now();
    watch.chunk(&format!("{{\"rev\":7,\"all\":false,\"targets\":[{w2}]}}\n"));
    until("the new endpoint list is known", || d.client().submit("new", "c=safe,dest=2") == "+OK");
    until("the new endpoint gets the message", || new.of("new") == 1);
    assert!(back.elapsed() < Duration::from_secs(2), "{:?}", back.elapsed());
    assert!(!d.seen().contains("cannot be accepted"), "{}", d.seen());
    drop(idle);
}
