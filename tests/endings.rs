//! Endings: each test forces the instant in which something ends while something else is still owed. The order of bytes is
//! forced by stand-ins that wait for a sign, and by halting the process; `docs/design/endings.md` lists them.

mod stand;
use lilacbank::api::{Listing, Outcome};
use lilacbank::dispatch::{Delegation, End, Order, Submission};
use lilacbank::guard::{Confirmation, Reason};
use lilacbank::journal::{Journal, Record};
use lilacbank::net::finding::{Finding, Task};
use lilacbank::net::http::Workers;
use lilacbank::net::mqtt::broker::Brokers;
use lilacbank::net::reactor::Reactor;
use stand::in_process::*;
use stand::*;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

const OK: Reply = Reply::Answer("200 OK");

fn one(worker: &Worker) -> Site {
    Site::new(&[entry("w1", &worker.address.to_string(), "a", 1, "in_service")])
}

fn list(worker: &Worker) -> String {
    let entry = entry("w1", &worker.address.to_string(), "a", 1, "in_service");
    format!(r#"{{"rev":7,"all":true,"targets":[{entry}]}}"#)
}

/// The ids of the calls that the folder's journal took on.
fn taken(site: &Site) -> BTreeSet<String> {
    let (_, records) = Journal::open(&site.dir.join("state"), 3 << 20).unwrap();
    let id = |r| if let Record::Taken(t) = r { Some(t.identity.1) } else { None };
    records.into_iter().filter_map(id).collect()
}

/// Guards against a process that ends between reading a request and answering it: the core's turn waits for its pace, and
/// the last moment came first. What its journal took on has been answered to the client.
#[test]
fn what_was_read_before_the_end_is_answered() {
    let worker = Worker::start(|_, _| Reply::Silence);
    let site = one(&worker);
    let mut d = site.start();
    // Many calls are held, so that a turn is dear and the next one has to wait.
    let mut first = d.client();
    for n in 0..400 {
        first.send(&command(&[
            b"SUBMIT",
            b"0",
            format!("held-{n}").as_bytes(),
            b"c=pay,d=19000,dest=1",
            &[b'x'; 512],
        ]));
    }
    for _ in 0..400 {
        first.line();
    }
    let address = d.address();
    d.signal("-TERM");
    // Clients come up to the end, each with one request on a connection of its own.
    let crowd: Vec<_> = (0..6)
        .map(|who| {
            std::thread::spawn(move || {
                let (mut answered, mut n) = (BTreeSet::new(), 0);
                while let Ok(mut c) = Client::try_connect(address) {
                    let id = format!("late-{who}-{n}");
                    if !c.try_submit(&id, "c=pay,d=19000,dest=1").is_empty() {
                        answered.insert(id);
                    }
                    n += 1;
                }
                answered
            })
        })
        .collect();
    d.ended();
    let answered: BTreeSet<String> = crowd.into_iter().flat_map(|c| c.join().unwrap()).collect();
    let late: BTreeSet<String> = taken(&site).into_iter().filter(|id| id.starts_with("late")).collect();
    assert!(late.len() > 20, "clients came up to the end: {}", late.len());
    let unanswered: Vec<_> = late.difference(&answered).collect();
    assert!(unanswered.is_empty(), "taken on and not answered: {unanswered:?} of {}", late.len());
}

/// The same where nothing is held, and the process leaves sooner: each request that it counted as refused was answered so.
#[test]
fn what_was_refused_before_the_end_is_answered_when_nothing_is_held() {
    let worker = Worker::start(|_, _| OK);
    let site = one(&worker);
    let mut d = site.start();
    assert_eq!(d.client().submit("a", "c=safe,dest=1"), "+OK");
    until("it is delivered", || worker.of("a") == 1);
    let address = d.address();
    d.signal("-TERM");
    let crowd: Vec<_> = (0..6)
        .map(|who| {
            std::thread::spawn(move || {
                let (mut refused, mut n) = (0, 0);
                while let Ok(mut c) = Client::try_connect(address) {
                    // Of a destination that the list does not name.
                    refused += usize::from(
                        c.try_submit(&format!("{who}-{n}"), "c=safe,dest=9").starts_with("-BUSY"),
                    );
                    n += 1;
                }
                refused
            })
        })
        .collect();
    let left = d.logged("leaves with 0 calls in the journal; taken in: ");
    d.ended();
    let answered: usize = crowd.into_iter().map(|c| c.join().unwrap()).sum();
    let counted = left.split(", ").find_map(|part| part.strip_suffix(" busy")).unwrap();
    assert!(answered > 50, "clients came up to the end: {answered}");
    assert_eq!(answered.to_string(), counted);
}

/// Guards against a watch that has fallen silent for longer than what it misses may stay unknown: 6 s.
#[test]
fn a_silent_watch_is_opened_anew_before_what_it_misses_counts_as_told() {
    let (worker, registry) = (Worker::start(|_, _| OK), Puppet::start());
    let site = one(&worker);
    let d = site.start_with("127.0.0.1:0", &[("ROUTER_DISCOVERY", &registry.address.to_string())]);
    let mut watch = registry.next("watch=1");
    watch.begin_watch();
    watch.chunk(&(list(&worker) + "\n"));
    let silent = Instant::now();
    // The connection stays open, and nothing comes on it any more.
    let mut again = registry.next("watch=1&after=7");
    assert!(silent.elapsed() < Duration::from_millis(5_700), "{:?}", silent.elapsed());
    assert!(
        silent.elapsed() > Duration::from_millis(4_000),
        "a line comes every 2 s: {:?}",
        silent.elapsed()
    );
    again.begin_watch();
    assert_eq!(d.client().submit("a", "c=safe,dest=1"), "+OK");
    until("it is delivered", || worker.of("a") == 1);
}

/// Guards against a registry that is back and is not asked within the time after which its news counts as told: askings that
/// were not answered, refused or broken made the next one later and later.
#[test]
fn after_askings_that_failed_the_registry_is_asked_again_in_time() {
    let (worker, registry) = (Worker::start(|_, _| OK), Puppet::start());
    let mut site = one(&worker);
    site.balancers = 25;
    let _d = site.start_with("127.0.0.1:0", &[("ROUTER_DISCOVERY", &registry.address.to_string())]);
    let mut refused = registry.next("watch=1");
    let mut last = Instant::now();
    for n in 0..5 {
        // Refused, and then nothing is said at all.
        if n % 2 == 0 {
            refused.write(b"HTTP/1.1 503 No\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n");
        }
        refused = registry.next("watch=1");
        assert!(last.elapsed() < Duration::from_secs(6), "asking {n}: {:?}", last.elapsed());
        last = Instant::now();
    }
}

/// Guards against a list that comes indented, over many lines, and an empty line within it.
#[test]
fn an_indented_list_is_read_whole() {
    let (worker, registry) = (Worker::start(|_, _| OK), Puppet::start());
    let site = one(&worker);
    let mut d = site.start_with("127.0.0.1:0", &[("ROUTER_DISCOVERY", &registry.address.to_string())]);
    let mut watch = registry.next("watch=1");
    let value: serde_json::Value = serde_json::from_str(&list(&worker)).unwrap();
    let text = serde_json::to_string_pretty(&value).unwrap().replace("[\n", "[\n\n") + "\n";
    watch.begin_watch();
    // In pieces that end anywhere.
    for part in text.as_bytes().chunks(37) {
        watch.chunk(std::str::from_utf8(part).unwrap());
    }
    watch.chunk("\n");
    d.logged("stage serving");
    assert_eq!(d.client().submit("a", "c=safe,dest=1"), "+OK");
    until("it is delivered", || worker.of("a") == 1);
    watch.chunk("{\n \"rev\": 8,\n \"all\": true,\n \"targets\": [ \"}\n");
    let again = registry.next("watch=1");
    assert!(again.request.line.contains("after=7"), "damaged, it is asked for anew: {}", again.request.line);
}

/// Guards against an end that is told at the last moment on a connection that has fallen silent: it is owed within 300 ms.
#[test]
fn a_notice_on_a_silent_connection_goes_again_in_time() {
    let (worker, registry) = (Worker::start(|_, _| Reply::Break), Puppet::start());
    let site = one(&worker);
    let d = site.start_with("127.0.0.1:0", &[("ROUTER_DISCOVERY", &registry.address.to_string())]);
    let mut watch = registry.next("watch=1");
    watch.begin_watch();
    watch.chunk(&(list(&worker) + "\n"));
    // May have run, and must not run twice: given up at once.
    assert_eq!(d.client().submit("a", "c=pay,d=15000,dest=1"), "+OK");
    let silent = registry.next("POST");
    let again = registry.next("POST");
    assert_ne!(silent.connection, again.connection, "on a new connection");
    let read = |a: &Arrival| serde_json::from_slice::<serde_json::Value>(&a.request.body).unwrap();
    assert_eq!(read(&silent), read(&again));
    let gap = again.request.at - silent.request.at;
    assert!(gap < Duration::from_millis(300), "{gap:?}");
}

/// Guards against a connection that is closed for its age in the very moment in which a request comes on it. The process
/// stands still meanwhile, so that the timer and the bytes are there at once.
#[test]
fn a_request_that_comes_as_its_connection_is_closed_for_its_age_is_answered() {
    let worker = Worker::start(|_, _| OK);
    let site = one(&worker);
    let d = site.start();
    let (mut young, mut half) = (d.client(), d.client());
    half.send(b"*5\r\n$6\r\nSUBMIT\r\n$1\r\n0\r\n");
    assert_eq!(d.client().ask(&[b"PING"]), "+PONG", "both are known by now");
    d.halt();
    // Past the patience with who says nothing, and with half a command.
    std::thread::sleep(Duration::from_millis(2_300));
    young.send(&command(&[b"SUBMIT", b"0", b"young", b"c=safe,dest=1", b"x"]));
    half.send(b"$4\r\nhalf\r\n$13\r\nc=safe,dest=1\r\n$1\r\nx\r\n");
    d.signal("-CONT");
    assert_eq!((young.line(), half.line()), ("+OK".to_string(), "+OK".to_string()));
    until("both are delivered", || worker.of("young") == 1 && worker.of("half") == 1);
}

/// Guards against an answer that came after the call's time was up, by the platform's clock, and is taken for the end of it:
/// the platform waits for a notice, and the next message of the key for the platform. The process stands still while the
/// answer comes and the time passes.
#[test]
fn a_delivery_as_its_time_is_up_is_told_and_its_key_waits_for_that() {
    let (worker, registry) = (Puppet::start(), Puppet::start());
    let entry = entry("w1", &worker.address.to_string(), "a", 1, "in_service");
    let site = Site::new(&[]);
    let d = site.start_with("127.0.0.1:0", &[("ROUTER_DISCOVERY", &registry.address.to_string())]);
    let mut watch = registry.next("watch=1");
    watch.begin_watch();
    watch.chunk(&format!("{{\"rev\":7,\"all\":true,\"targets\":[{entry}]}}\n"));
    let (mut c, start) = (d.client(), Instant::now());
    until("the list is known", || c.keyed("5", "first", "c=order,d=900,k=a,dest=1") == "+OK");
    let mut call = worker.next("POST");
    assert_eq!(call.request.header("x-txn"), "first");
    assert_eq!(c.keyed("5", "second", "c=order,k=b,dest=1"), "+OK");
    d.halt();
    call.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    std::thread::sleep(Duration::from_millis(950).saturating_sub(start.elapsed()));
    d.signal("-CONT");
    let mut notice = registry.next("POST");
    assert!(String::from_utf8_lossy(&notice.request.body).contains("first"));
    assert!(worker.waiting().is_none(), "the key waits for the platform");
    notice.write(b"HTTP/1.1 204 Done\r\n\r\n");
    assert_eq!(worker.next("POST").request.header("x-txn"), "second");
}

/// Guards against a repeat that is decided within the window in which repeats are dropped and written after it: its
/// connection came up late. A first attempt may be written within its message's time only.
#[test]
fn a_repeat_may_be_written_within_its_window_only() {
    let mut core = new_core();
    tell(&mut core, 0.0, &["w1"], Listing::Ready, false);
    submit(&mut core, 10.0, "a", "order");
    let (first, d) = next_delegation(&mut core, 10.0, 5).unwrap();
    assert_eq!(d.write_by, 10.0 + 20_000.0);
    core.outcome(first + 50.0, d.no, d.attempt, End::of(Outcome::Reset));
    let (_, again) = next_delegation(&mut core, first + 50.0, 3_000).unwrap();
    assert_eq!((again.attempt, again.write_by), (1, first + 20_000.0 - 2.0));
}

/// The same for a session with a broker that comes up late; the rule that kept it back is told with its end.
#[test]
fn a_session_with_a_broker_that_comes_up_after_the_window_carries_nothing() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = format!("mqtt://{}/inbox", listener.local_addr().unwrap());
    let reactor = Rc::new(Reactor::new().unwrap());
    let mut brokers = Brokers::new(new_core().settings(), 8, "n0".into());
    let delegation = Delegation {
        no: 1,
        attempt: 1,
        route: 0,
        address,
        dest: 1,
        id: "a".into(),
        idempotency: "k".into(),
        body: b"x".to_vec(),
        patience: 5_000.0,
        write_by: 40.0,
    };
    let mut found = Vec::new();
    brokers.delegate(0.0, &delegation, &reactor, &mut found);
    assert_eq!(brokers.next_due(), Some(40.0));
    brokers.tick(40.0, &mut found);
    let (refused, confirmed) = (Some(Reason::WindowOver), Some(Confirmation::NeverBegun));
    let end = End { refused, confirmed, ..End::of(Outcome::NotSent) };
    assert_eq!(found, [Finding::Ended { task: Task::Delegation(1, 1), took: 40.0, end }]);
    assert!(brokers.is_empty());
}

/// Guards against a rule that keeps something back and says so nowhere: what a wire did not write is counted by its reason.
#[test]
fn what_a_wire_did_not_write_is_counted_by_its_rule() {
    let mut core = new_core();
    tell(&mut core, 0.0, &["w1"], Listing::Ready, false);
    submit(&mut core, 10.0, "a", "pay");
    let (at, d) = next_delegation(&mut core, 10.0, 500).unwrap();
    let end = End { refused: Some(Reason::WindowOver), ..End::of(Outcome::NotSent) };
    core.outcome(at + 1.0, d.no, d.attempt, end);
    assert_eq!(core.guard.json()["refused"]["window_over"], 1);
    let (_, again) = next_delegation(&mut core, at + 1.0, 500).unwrap();
    assert_eq!((again.attempt, d.attempt), (0, 0), "nothing went out: it is the first attempt still");
}

/// Guards against an attempt that is written against a rule and is counted nowhere.
#[test]
fn an_attempt_that_was_written_too_late_is_counted_as_a_violation() {
    let mut core = new_core();
    tell(&mut core, 0.0, &["w1"], Listing::Ready, false);
    submit(&mut core, 10.0, "a", "pay");
    let (at, d) = next_delegation(&mut core, 10.0, 500).unwrap();
    core.written(at + 1.0, d.no, d.attempt);
    assert!(core.guard.violations.is_empty());
    core.outcome(at + 2.0, d.no, d.attempt, End::of(Outcome::Refused));
    let (at, d) = next_delegation(&mut core, at + 2.0, 5_000).unwrap();
    core.written(at.max(d.write_by) + 151.0, d.no, d.attempt);
    assert_eq!(core.guard.json()["violations"]["window_over"], 1);
}

/// The same on the wire: not a byte of it is written once the time is past, and the call is told to be unsent.
#[test]
fn a_connection_that_comes_up_after_the_window_carries_nothing() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let reactor = Rc::new(Reactor::new().unwrap());
    let mut workers = Workers::new(new_core().settings(), 8);
    let delegation = |no, write_by| Delegation {
        no,
        attempt: 1,
        route: 0,
        address: address.clone(),
        dest: 1,
        id: "a".into(),
        idempotency: "k".into(),
        body: b"x".to_vec(),
        patience: 5_000.0,
        write_by,
    };
    let mut found = Vec::new();
    let mut events = mio::Events::with_capacity(8);
    // By the timer while it is not up, and by its coming up.
    workers.delegate(0.0, &delegation(1, 40.0), &reactor, &mut found);
    assert_eq!(workers.next_due(), Some(40.0));
    workers.tick(40.0, &mut found);
    workers.delegate(0.0, &delegation(2, 40.0), &reactor, &mut found);
    reactor.wait(&mut events, Duration::from_secs(5)).unwrap();
    workers.ready(41.0, 0, &mut found);
    let ends: Vec<Outcome> = found
        .iter()
        .filter_map(|f| if let Finding::Ended { end, .. } = f { Some(end.outcome) } else { None })
        .collect();
    assert_eq!(ends, [Outcome::NotSent, Outcome::NotSent]);
    assert!(!found.iter().any(|f| matches!(f, Finding::Written(_))));
    for _ in 0..2 {
        let mut text = String::new();
        let (mut c, _) = listener.accept().unwrap();
        let _ = std::io::Read::read_to_string(&mut c, &mut text);
        assert_eq!(text, "");
    }
    // In time it is written.
    workers.delegate(50.0, &delegation(3, 90.0), &reactor, &mut found);
    reactor.wait(&mut events, Duration::from_secs(5)).unwrap();
    workers.ready(60.0, 0, &mut found);
    assert!(found.iter().any(|f| matches!(f, Finding::Written(_))));
}

/// Guards against a call that was decided before its endpoint began to drain, or went from the list, and is written after the
/// grace: its connection came up late.
#[test]
fn what_waits_for_its_connection_is_held_back_once_its_endpoint_drains_or_goes() {
    for whole in [false, true] {
        let mut core = new_core();
        tell(&mut core, 0.0, &["w1"], Listing::Ready, false);
        submit(&mut core, 10.0, "a", "safe");
        let (_, d) = next_delegation(&mut core, 10.0, 5).unwrap();
        // Draining, or gone: the whole list does not name it.
        let uids: &[&str] = if whole { &[] } else { &["w1"] };
        let orders = tell(&mut core, 20.0, uids, Listing::Draining, whole);
        let hold = Order::Hold { dest: 1, route: Some(d.route) };
        assert!(orders.contains(&hold), "whole: {whole}: {orders:?}");
    }
}

/// Guards against commands that were read ahead of the one that is served, and end with the process without an answer: a
/// request that was read and whose connection is closed unanswered is lost.
#[test]
fn commands_that_were_read_ahead_are_answered_before_the_end() {
    const COMMANDS: usize = 600;
    let worker = Worker::start(|_, _| Reply::Answer("200 OK"));
    let site = Site::new(&[entry("w1", &worker.address.to_string(), "a", 1, "in_service")]);
    let mut d = site.start();
    let mut client = d.client();
    let all: Vec<u8> = (0..COMMANDS)
        .flat_map(|n| {
            let id = format!("m{n}");
            let options = "c=safe,t=acme,d=4000,dest=1";
            command(&[b"SUBMIT", b"0000000000000000", id.as_bytes(), options.as_bytes(), b"x"])
        })
        .collect();
    assert!(all.len() < 64 << 10, "one reading takes them all: {}", all.len());
    // Told to leave with all of them read, it stands still until its time to leave is over.
    d.halt();
    client.send(&all);
    d.signal("-TERM");
    d.signal("-CONT");
    until("the first ones are sent", || worker.count() >= 3);
    d.halt();
    assert!(worker.count() < COMMANDS, "all were served before");
    std::thread::sleep(Duration::from_millis(3_400));
    d.signal("-CONT");
    let answers = std::iter::from_fn(|| Some(client.line()).filter(|l| !l.is_empty())).count();
    assert_eq!(answers, COMMANDS);
    d.ended();
}

/// Guards against a rule on a key's order that waits for a session's client: what was delivered is over, though its client has
/// not confirmed that it heard.
#[test]
fn the_next_of_a_key_goes_once_the_one_before_is_delivered_to_a_session() {
    let mut core = new_core();
    tell(&mut core, 0.0, &["w1"], Listing::Ready, false);
    for id in ["a", "b"] {
        let identity = ("session".to_string(), id.to_string());
        let (class, idempotency) = ("order".to_string(), id.to_string());
        let key = Some(5);
        core.submit(
            10.0,
            3,
            Submission { identity, class, idempotency, key, dest: 1, ..Submission::default() },
        );
    }
    let (at, first) = next_delegation(&mut core, 10.0, 500).unwrap();
    assert_eq!(first.id, "a");
    assert!(next_delegation(&mut core, at + 1.0, 500).is_none(), "the second one waits for the first");
    core.outcome(at + 510.0, first.no, first.attempt, End::of(Outcome::Delivered));
    let (_, second) = next_delegation(&mut core, at + 510.0, 500).unwrap();
    assert_eq!(second.id, "b");
    assert_eq!(core.holds(), 2, "the first one's client has not confirmed");
}
