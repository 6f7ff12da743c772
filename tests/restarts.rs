//! Restarts: what a process that ends leaves to the next one, by counts, for each effect.

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

/// Guards against what was taken on and never tried being given up by the start that finds it: all of it is tried, of each
/// effect, and each once. The kill comes right behind the last yes.
#[test]
fn what_a_kill_behind_the_yes_leaves_untried_is_still_tried() {
    let (worker, well) = silent_until_told();
    let site = site_of(&worker);
    let d = site.start();
    let mut c = d.client();
    let ids = hand_in_each_class(&mut c, 48, 6_000);
    d.kill();
    let tried: Vec<usize> = ids.iter().map(|(id, _)| worker.of(id)).collect();
    well.store(true, Ordering::SeqCst);
    let _d = site.start();
    for class in ["safe", "order", "pay"] {
        let of = |untried: bool| {
            let all = ids.iter().zip(&tried).filter(move |((_, c), t)| *c == class && (**t == 0) == untried);
            all.map(|((id, _), _)| id.clone())
        };
        assert!(of(true).count() >= 8, "{class}: {}", of(true).count());
        for id in of(true) {
            until(&format!("{id} of {class} is tried"), || worker.of(&id) == 1);
            assert!(site.platform.noticed(&id).is_empty(), "{id}");
        }
        for id in of(false).filter(|_| class == "pay") {
            until(&format!("{id} may have run and is given up"), || site.platform.noticed(&id).len() == 1);
            assert_eq!(worker.of(&id), 1, "{id}");
        }
    }
}

/// Guards against a repeat after its window: the first attempt went out before a kill, and the window of 1 s is over when the
/// next process is ready. Handed in again under its id it takes effect no second time either.
#[test]
fn what_may_have_run_is_not_repeated_after_a_short_window_across_a_restart() {
    let worker = Worker::start(|_, nth| if nth == 0 { Reply::Silence } else { OK });
    let site = site_of(&worker);
    let config = site.changed("\"window\":20000", "\"window\":1000");
    let start = || site.start_with("127.0.0.1:0", &[("ROUTER_CONFIG", &config)]);
    let d = start();
    assert_eq!(d.client().keyed("5", "a", "c=order,k=ka,dest=1"), "+OK");
    until("it is out", || worker.of("a") == 1);
    let sent = worker.calls.lock().unwrap()[0].at;
    d.kill();
    std::thread::sleep(Duration::from_millis(1_001).saturating_sub(sent.elapsed()));
    let d = start();
    until("its end is told", || !site.platform.noticed("a").is_empty());
    assert!(site.platform.noticed("a")[0].contains("given_up"));
    assert_eq!(d.client().keyed("5", "a", "c=order,k=ka,dest=1"), "+OK", "it is known");
    assert_eq!(d.client().keyed("5", "b", "c=order,k=kb,dest=1"), "+OK");
    until("the next of its key goes", || worker.of("b") == 1);
    assert_eq!(worker.of("a"), 1);
}

/// A process that is back within the window (12 s here: any machine starts one in that) repeats it.
#[test]
fn within_a_short_window_what_may_have_run_is_repeated_after_a_restart() {
    let worker = Worker::start(|_, nth| if nth == 0 { Reply::Silence } else { OK });
    let site = site_of(&worker);
    let config = site.changed("\"window\":20000", "\"window\":12000");
    let start = || site.start_with("127.0.0.1:0", &[("ROUTER_CONFIG", &config)]);
    let d = start();
    assert_eq!(d.client().keyed("5", "a", "c=order,k=ka,dest=1"), "+OK");
    until("it is out", || worker.of("a") == 1);
    d.kill();
    let _d = start();
    until("it goes again", || worker.of("a") == 2);
}

/// How long a start takes until it serves, with a journal of so many bytes: half of its calls are over, half still held.
fn ready_after(bytes: u64) -> (Duration, usize) {
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

/// Nine in ten restarted processes are to be ready within 10 s: one whose journal is as large as the platform's folder allows
/// is ready in a small part of that.
#[test]
fn a_start_with_a_full_journal_is_ready_in_time() {
    let (took, calls) = ready_after(2_900_000);
    assert!(calls > 5_000 && took < Duration::from_secs(5), "{calls} calls: {took:?}");
}

/// The figures of `docs/design/endings.md`: `cargo test --release --test restarts -- --ignored --nocapture ready_by`.
#[test]
#[ignore = "a measurement"]
fn ready_by_journal_size() {
    for bytes in [100_000, 1_000_000, 2_900_000, 10_000_000, 30_000_000] {
        let mut all: Vec<(Duration, usize)> = (0..5).map(|_| ready_after(bytes)).collect();
        all.sort();
        println!(
            "{:.1} MB, {} calls: {:?} (least {:?}, most {:?})",
            bytes as f64 / 1e6,
            all[2].1,
            all[2].0,
            all[0].0,
            all[4].0
        );
    }
}

/// Guards against idle clients that fill the descriptors while the registry is down: the operators' door, the journal, the
/// registry and the endpoints still get theirs, and service is back at once when the registry is.
#[test]
fn idle_clients_that_fill_the_descriptors_keep_nobody_else_out() {
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
    assert_eq!(d.client().submit("down", "c=safe,dest=1"), "+OK", "taken on and written down");
    until("its endpoint is reached", || worker.of("down") == 1);
    // Down: the registry says nothing, and is asked again all the same.
    drop(silent);
    let mut watch = registry.next("watch=1");
    watch.begin_watch();
    let new = Worker::start(|_, _| OK);
    let w2 = entry("w2", &new.address.to_string(), "a", 2, "in_service");
    let back = Instant::now();
    watch.chunk(&format!("{{\"rev\":7,\"all\":false,\"targets\":[{w2}]}}\n"));
    until("the news is known", || d.client().submit("new", "c=safe,dest=2") == "+OK");
    until("service is back", || new.of("new") == 1);
    assert!(back.elapsed() < Duration::from_secs(2), "{:?}", back.elapsed());
    assert!(!d.seen().contains("cannot be accepted"), "{}", d.seen());
    drop(idle);
}
