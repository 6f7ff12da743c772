//! No two attempts of one message are out at once in the eyes of their endpoints: an attempt is over when its endpoint has seen
//! its end, not when the dispatcher has decided it. The endpoints judge, to the microsecond and for each class.

mod stand;
use lilacbank::api::{Listing, Ms, Outcome};
use lilacbank::config::{Config, Worker as Listed, WorkerList};
use lilacbank::dispatch::{Core, Delegation, End, Order, Parts, Submission};
use lilacbank::guard::{Confirmation, CONFIRM_CROSSED, CONFIRM_MOST};
use lilacbank::journal::Journal;
use lilacbank::net::http::{Finding, Task, Workers};
use lilacbank::net::reactor::Reactor;
use lilacbank_load::attempts::{overlapping, Attempt, EndedBy};
use lilacbank_load::connection_fault::{ConnectionFault, FaultPlan};
use lilacbank_load::member::{Endpoint, Manner};
use lilacbank_rig::{Fault, Proxy};
use stand::*;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

/// Classes that may be repeated.
const CLASSES: [&str; 2] = ["safe", "order"];
/// Clients that hand in one message after another.
const CLIENTS: usize = 8;

fn manner(service_ms: u64) -> Manner {
    Manner { service: Duration::from_millis(service_ms), at_once: 64, queue: 256 }
}

/// A dispatcher in front of these endpoints of one destination.
fn serve(addresses: &[SocketAddr]) -> (Site, Dispatcher) {
    let entries: Vec<String> = addresses
        .iter()
        .enumerate()
        .map(|(n, at)| entry(&format!("w{n}"), &at.to_string(), "a", 1, "in_service"))
        .collect();
    let site = Site::new(&entries);
    let dispatcher = site.start();
    (site, dispatcher)
}

/// Clients hand so many messages in, one each `gap`.
fn hand_in(address: SocketAddr, count: usize, gap: Duration) {
    let clients: Vec<_> = (0..CLIENTS)
        .map(|who| {
            thread::spawn(move || {
                let mut client = Client::connect(address);
                for n in 0..count / CLIENTS {
                    let (id, class) = (format!("m{who}-{n}"), CLASSES[n % CLASSES.len()]);
                    let key = format!("{:x}", who * count + n + 1);
                    let said = client.keyed(&key, &id, &format!("c={class},d=5000,k={id},dest=1"));
                    assert!(said.starts_with('+') || said.starts_with("-BUSY"), "{said}");
                    thread::sleep(gap);
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|c| c.join().unwrap());
}

/// All attempts of these endpoints, once nothing has come for a while.
fn attempts(endpoints: &[Endpoint]) -> Vec<Attempt> {
    let all = || -> Vec<Attempt> { endpoints.iter().flat_map(Endpoint::attempts).collect() };
    let mut seen = all().len();
    loop {
        thread::sleep(Duration::from_millis(800));
        let now = all();
        if now.len() == seen {
            return now;
        }
        seen = now.len();
    }
}

fn assert_one_at_a_time(attempts: &[Attempt]) {
    let found = overlapping(attempts, |id| Some(id.to_string()));
    assert!(found.is_empty(), "{} of {} attempts: {found:#?}", found.len(), attempts.len());
}

fn ended_by(attempts: &[Attempt], by: EndedBy) -> usize {
    attempts.iter().filter(|a| a.ended.is_some_and(|(_, who)| who == by)).count()
}

/// Two endpoints whose connections meet this fault at one request in six, the second one behind a longer path.
struct Faulty {
    endpoints: Vec<Endpoint>,
    long: Proxy,
}

impl Faulty {
    fn new(fault: ConnectionFault) -> Faulty {
        let endpoints: Vec<Endpoint> = (0..2).map(|_| Endpoint::start(manner(25)).unwrap()).collect();
        let plan = FaultPlan { faults: vec![fault], one_in: 6, read_later: Duration::from_millis(10) };
        endpoints.iter().for_each(|e| e.set_faults(Some(plan.clone())));
        let long = Proxy::start(endpoints[1].address).unwrap();
        long.set(Fault::Delay(Duration::from_millis(10)));
        Faulty { endpoints, long }
    }

    /// The attempts of 400 messages.
    fn play(&self) -> Vec<Attempt> {
        let (_site, dispatcher) = serve(&[self.endpoints[0].address, self.long.address]);
        hand_in(dispatcher.address(), 400, Duration::from_millis(8));
        attempts(&self.endpoints)
    }
}

/// Guards against a next attempt in the moment in which the endpoint ends its sending: while it still reads the last request, or
/// in the middle of a call, which goes on.
#[test]
fn an_endpoint_that_ends_its_sending_has_one_attempt_of_a_message_at_a_time() {
    for fault in [ConnectionFault::HalfCloseAsCallCrosses, ConnectionFault::HalfCloseInCall] {
        let attempts = Faulty::new(fault).play();
        assert!(ended_by(&attempts, EndedBy::Caller) > 20, "{fault:?}: {}", attempts.len());
        assert_one_at_a_time(&attempts);
    }
}

/// Guards against a reset in the middle of a call that the dispatcher hears of before its endpoint has seen it.
#[test]
fn endpoints_that_reset_calls_have_one_attempt_at_a_time() {
    let attempts = Faulty::new(ConnectionFault::ResetInCall).play();
    assert!(ended_by(&attempts, EndedBy::Endpoint) > 20, "{}", ended_by(&attempts, EndedBy::Endpoint));
    assert_one_at_a_time(&attempts);
}

/// Guards against a call that is called off on a long path and goes out again on a short one: its end needs as long as it
/// did.
#[test]
fn a_call_that_is_called_off_on_a_long_path_is_not_out_beside_the_next() {
    // So slow that its calls are called off; the other one answers at once.
    let endpoints = [Endpoint::start(manner(3_000)).unwrap(), Endpoint::start(manner(8)).unwrap()];
    let long = Proxy::start(endpoints[0].address).unwrap();
    long.set(Fault::Delay(Duration::from_millis(30)));
    let (_site, dispatcher) = serve(&[long.address, endpoints[1].address]);
    hand_in(dispatcher.address(), 160, Duration::from_millis(20));
    let attempts = attempts(&endpoints);
    assert!(ended_by(&attempts, EndedBy::Caller) > 0, "no call was called off");
    assert_one_at_a_time(&attempts);
}

/// Guards against a process that takes over what another one had out as it ended: the end of that one's connections is on its
/// way to their endpoints.
#[test]
fn what_a_process_had_out_as_it_ended_is_not_out_again_before_its_endpoint_knows() {
    for _ in 0..3 {
        let endpoints: Vec<Endpoint> = (0..2).map(|_| Endpoint::start(manner(900)).unwrap()).collect();
        let long = Proxy::start(endpoints[0].address).unwrap();
        long.set(Fault::Delay(Duration::from_millis(120)));
        let (site, first) = serve(&[long.address, endpoints[1].address]);
        let mut client = first.client();
        // Beside the first one: new clients may come to either.
        let second = site.start_with(&first.address().to_string(), &[]);
        for n in 0..6 {
            assert_eq!(client.submit(&format!("m{n}"), "c=safe,d=5000,dest=1"), "+OK");
        }
        until("some are out", || endpoints[0].attempts().len() >= 2);
        first.kill();
        let attempts = attempts(&endpoints);
        assert!(ended_by(&attempts, EndedBy::Caller) > 0, "none was out at the kill");
        assert_one_at_a_time(&attempts);
        drop(second);
    }
}

/// A core of the tests' settings with two endpoints.
fn core(name: &str) -> Core {
    let text = lilacbank_rig::config::platform("n0", "0a", 3.0, 1, 1_000, "\"127.0.0.1:1\"");
    let env = |key: &str| match key {
        "ROUTER_STATE" => Some("unused".to_string()),
        "ROUTER_LISTEN" => Some("127.0.0.1:0".to_string()),
        _ => None,
    };
    let config = Config::reread(&text, &env).unwrap();
    let dir = std::env::temp_dir().join(format!("lilacbank-overlaps-{name}-{}", std::process::id()));
    let (journal, _) = Journal::open(&dir, 1 << 20).unwrap();
    std::fs::remove_dir_all(dir).unwrap();
    let (settings, names) = (config.settings, config.names);
    let (promises, once, cells) = (Vec::new(), Vec::new(), Vec::new());
    let mut core = Core::new(Parts { settings, names, journal, promises, once, cells, mesh: None });
    let listed = |uid: &str| {
        let (uid, address, listing) = (uid.to_string(), "127.0.0.1:1".to_string(), Listing::Ready);
        Listed { uid, address, zone: 0, kind: 0, dest: 1, listing, weight: 1.0 }
    };
    let workers = vec![listed("w0"), listed("w1")];
    core.list(0.0, WorkerList { rev: 1, whole: true, workers }, false);
    core
}

fn submit(core: &mut Core, now: Ms, id: &str, class: &str) {
    let identity = (String::new(), id.to_string());
    let (class, idempotency) = (class.to_string(), id.to_string());
    core.submit(now, 2, Submission { identity, class, idempotency, dest: 1, ..Submission::default() });
}

fn delegated(orders: Vec<Order>) -> Option<Delegation> {
    orders.into_iter().find_map(|o| if let Order::Delegate(d) = o { Some(d) } else { None })
}

/// Guards against a next attempt in the turn in which the last one is broken off: its request may have been written a moment
/// before, as its connection came up late.
#[test]
fn the_next_attempt_waits_until_the_wire_has_told_the_end_of_the_last() {
    let mut core = core("broken-off");
    submit(&mut core, 10.0, "a", "safe");
    let turns = |core: &mut Core, from: u32, until: u32| {
        (from..until).find_map(|now| delegated(core.turn(Ms::from(now))))
    };
    let first = turns(&mut core, 10, 500).unwrap();
    let (mut now, mut orders) = (500, Vec::new());
    while !orders.iter().any(|o| matches!(o, Order::Abandon { .. })) {
        core.written(Ms::from(now), first.no, first.attempt);
        orders = core.turn(Ms::from(now));
        now += 1;
        assert!(now < 5_000, "it is called off");
    }
    assert!(delegated(orders).is_none(), "in the same turn");
    assert!(turns(&mut core, now, now + 900).is_none(), "while its end is not told");
    core.outcome(Ms::from(now + 900), first.no, first.attempt, End::of(Outcome::Cancelled));
    let next = turns(&mut core, now + 900, now + 1_400).expect("once its end is told");
    assert_eq!((next.no, next.attempt), (first.no, 1));
}

fn submit_keyed(core: &mut Core, now: Ms, id: &str, left: Ms) {
    let identity = (String::new(), id.to_string());
    let (class, idempotency) = ("order".to_string(), id.to_string());
    let (key, left) = (Some(7), Some(left));
    let submission = Submission { identity, class, idempotency, key, left, dest: 1, ..Submission::default() };
    core.submit(now, 2, submission);
}

/// Guards against the next message of a key while an attempt of the one before may run: its time was up, its end was told, and
/// its endpoint does not know yet.
#[test]
fn the_next_of_a_key_waits_until_the_end_of_a_call_whose_time_was_up_is_known() {
    let mut core = core("time-up");
    submit_keyed(&mut core, 10.0, "a", 600.0);
    submit_keyed(&mut core, 11.0, "b", 9_000.0);
    let turns = |core: &mut Core, from: u32, until: u32| {
        (from..until).find_map(|now| delegated(core.turn(Ms::from(now))))
    };
    let first = turns(&mut core, 11, 400).unwrap();
    assert_eq!(first.id, "a");
    core.written(300.0, first.no, first.attempt);
    // Called off or not: at 610 its time is up, and its end is told at once.
    let mut told = false;
    for now in 400..620 {
        let orders = core.turn(Ms::from(now));
        assert!(!orders.iter().any(|o| matches!(o, Order::Delegate(_))), "at {now}: {orders:?}");
        told |= orders.iter().any(|o| matches!(o, Order::Tell(t) if t.no == first.no));
    }
    assert!(told, "its client is told in time");
    core.confirmed(620.0, first.no);
    assert!(turns(&mut core, 620, 1_300).is_none(), "its endpoint does not know yet");
    core.outcome(1_300.0, first.no, first.attempt, End::of(Outcome::Late));
    assert!(turns(&mut core, 1_300, 1_399).is_none(), "its key rests");
    assert_eq!(turns(&mut core, 1_400, 2_000).map(|d| d.id), Some("b".to_string()));
}

/// The same for an attempt that the endpoint has ended: the message waits for the second word of its wire, and its slot does not.
#[test]
fn what_its_endpoint_has_ended_waits_for_the_second_word_of_the_wire() {
    let mut core = core("pending");
    submit(&mut core, 10.0, "a", "safe");
    let turns = |core: &mut Core, from: u32, until: u32| {
        (from..until).find_map(|now| delegated(core.turn(Ms::from(now))))
    };
    let first = turns(&mut core, 10, 500).unwrap();
    core.written(500.0, first.no, first.attempt);
    core.outcome(500.0, first.no, first.attempt, End { pending: Some(300.0), ..End::of(Outcome::Reset) });
    assert_eq!(core.out(), 0);
    assert!(turns(&mut core, 500, 1_500).is_none(), "longer than was said, without a word");
    core.outcome(1_500.0, first.no, first.attempt, End::of(Outcome::Reset));
    let next = turns(&mut core, 1_500, 2_000).expect("once its endpoint knows");
    assert_eq!((next.id.as_str(), next.attempt), ("a", 1));
    let refused = &core.guard.json()["refused"]["unconfirmed"];
    assert!(refused.as_u64() >= Some(1), "the guard keeps it back and counts it: {refused}");
}

/// A wire with one attempt that is written and then broken off at 100 ms, and its endpoint's side.
struct BrokenOff {
    workers: Workers,
    reactor: Rc<Reactor>,
    endpoint: TcpStream,
    found: Vec<Finding>,
}

impl BrokenOff {
    fn new() -> BrokenOff {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let reactor = Rc::new(Reactor::new().unwrap());
        let mut workers = Workers::new(core("wire").settings(), 8);
        let delegation = Delegation {
            no: 1,
            attempt: 0,
            route: 0,
            address: listener.local_addr().unwrap().to_string(),
            dest: 1,
            id: "a".into(),
            idempotency: String::new(),
            body: b"x".to_vec(),
            patience: 5_000.0,
            write_by: 5_000.0,
        };
        let mut found = Vec::new();
        workers.delegate(0.0, &delegation, &reactor, &mut found);
        let (mut endpoint, _) = listener.accept().unwrap();
        let mut wire = BrokenOff { workers, reactor, endpoint: endpoint.try_clone().unwrap(), found };
        wire.look(10.0);
        assert!(matches!(wire.found.as_slice(), [Finding::Written(_)]), "{:?}", wire.found);
        wire.found.clear();
        wire.workers.abandon(100.0, Task::Delegation(1, 0), Outcome::Late, &mut wire.found);
        assert!(wire.found.is_empty(), "{:?}", wire.found);
        let mut request = Vec::new();
        endpoint.read_to_end(&mut request).unwrap();
        assert!(request.starts_with(b"POST /inbox"), "its sending has ended behind the request");
        wire
    }

    /// Waits for something to happen on the connection.
    fn look(&mut self, now: Ms) {
        let mut events = mio::Events::with_capacity(8);
        self.reactor.wait(&mut events, PATIENCE).unwrap();
        self.workers.ready(now, 0, &mut self.found);
    }

    /// The ends that were told since the last look: outcome, confirmation, and for how long that is pending.
    fn ends(&mut self) -> Vec<(Outcome, Option<Confirmation>, Option<Ms>)> {
        let told = std::mem::take(&mut self.found);
        let end = |f| match f {
            Finding::Ended { end, .. } => Some((end.outcome, end.confirmed, end.pending)),
            Finding::Written(_) => None,
        };
        told.into_iter().filter_map(end).collect()
    }
}

/// Guards against an end that is told before the endpoint knows of it, or never, and against an answer that is lost with it.
#[test]
fn the_wire_tells_the_end_of_an_attempt_once_its_endpoint_knows() {
    let mut answered = BrokenOff::new();
    answered.endpoint.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
    answered.look(150.0);
    assert_eq!(answered.ends(), [(Outcome::Delivered, Some(Confirmation::Answered), None)]);

    let mut ended = BrokenOff::new();
    ended.endpoint.shutdown(Shutdown::Both).unwrap();
    ended.look(150.0);
    assert_eq!(ended.ends(), [(Outcome::Late, None, Some(CONFIRM_CROSSED))], "its slot is free");
    assert_eq!(ended.workers.next_due(), Some(150.0 + CONFIRM_CROSSED));
    ended.workers.tick(150.0 + CONFIRM_CROSSED, &mut ended.found);
    assert_eq!(ended.ends(), [(Outcome::Late, Some(Confirmation::EndedByEndpoint), None)]);

    let mut silent = BrokenOff::new();
    assert_eq!(silent.workers.next_due(), Some(100.0 + CONFIRM_MOST));
    silent.workers.tick(99.0 + CONFIRM_MOST, &mut silent.found);
    assert!(silent.ends().is_empty());
    silent.workers.tick(100.0 + CONFIRM_MOST, &mut silent.found);
    assert_eq!(silent.ends(), [(Outcome::Late, Some(Confirmation::TimedOut), None)]);
    until("it is reset", || silent.endpoint.peer_addr().is_err());
}

/// The same for an attempt that was not written: no endpoint knows of it, and its end is told at once.
#[test]
fn the_wire_tells_at_once_the_end_of_an_attempt_that_was_not_written() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let reactor = Rc::new(Reactor::new().unwrap());
    let mut workers = Workers::new(core("unwritten").settings(), 8);
    let address = listener.local_addr().unwrap().to_string();
    let (id, idempotency, body) = ("a".to_string(), String::new(), b"x".to_vec());
    let (patience, write_by) = (5_000.0, 5_000.0);
    let delegation = Delegation {
        no: 1,
        attempt: 0,
        route: 0,
        address,
        dest: 1,
        id,
        idempotency,
        body,
        patience,
        write_by,
    };
    let mut found = Vec::new();
    workers.delegate(0.0, &delegation, &reactor, &mut found);
    // Whoever wrote it is asked, not who has been told: nothing was seen of the connection yet.
    workers.abandon(5.0, Task::Delegation(1, 0), Outcome::Late, &mut found);
    let ended = |f: &Finding| match f {
        Finding::Ended { end, .. } => (end.outcome, end.confirmed),
        Finding::Written(_) => panic!("written"),
    };
    let ends: Vec<_> = found.iter().map(ended).collect();
    assert_eq!(ends, [(Outcome::NoConnection, Some(Confirmation::NeverBegun))]);
}

/// Milliseconds from the beginning of each message's first attempt to that of its second one, at this quantile.
fn failover_ms(attempts: &[Attempt], quantile: f64) -> f64 {
    let mut all: Vec<f64> = Vec::new();
    let mut of: std::collections::BTreeMap<&str, Vec<std::time::Instant>> = Default::default();
    attempts.iter().for_each(|a| of.entry(a.id.as_str()).or_default().push(a.began));
    for times in of.values_mut().filter(|t| t.len() > 1) {
        times.sort();
        all.push(times[1].duration_since(times[0]).as_secs_f64() * 1e3);
    }
    all.sort_by(f64::total_cmp);
    all.get((quantile * all.len().saturating_sub(1) as f64) as usize).copied().unwrap_or(f64::NAN)
}

/// The figures of the postmortem: cargo test --release --test overlaps -- --ignored --nocapture measure
#[test]
#[ignore = "a measurement"]
fn measure_overlaps_and_failover() {
    let print = |name: &str, attempts: &[Attempt]| {
        let overlaps = overlapping(attempts, |id| Some(id.to_string())).len();
        let (half, most) = (failover_ms(attempts, 0.5), failover_ms(attempts, 0.95));
        let ended = ended_by(attempts, EndedBy::Caller) + ended_by(attempts, EndedBy::Endpoint);
        println!(
            "{name}: {} attempts, {ended} unanswered, {overlaps} overlaps; from first to second {half:.0} ms (median), {most:.0} ms (95%)",
            attempts.len()
        );
    };
    use ConnectionFault::*;
    for fault in [HalfCloseAsCallCrosses, HalfCloseInCall, ResetInCall, ResetAsCallCrosses, Forget] {
        print(&format!("{fault:?}"), &Faulty::new(fault).play());
    }
    for delay in [1, 30] {
        let endpoints = [Endpoint::start(manner(3_000)).unwrap(), Endpoint::start(manner(8)).unwrap()];
        let long = Proxy::start(endpoints[0].address).unwrap();
        long.set(Fault::Delay(Duration::from_millis(delay)));
        let (_site, dispatcher) = serve(&[long.address, endpoints[1].address]);
        hand_in(dispatcher.address(), 160, Duration::from_millis(20));
        print(&format!("called off on a path of {delay} ms"), &attempts(&endpoints));
    }
}
