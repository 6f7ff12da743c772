//! No two attempts of one message overlap as their endpoints see them. An attempt ends when its endpoint has
//! noticed the end, not when the dispatcher decides it. The stand-ins for endpoints record each attempt to
//! the microsecond.

mod stand;
use lilacbank_load::attempts::{overlapping, Attempt, EndedBy};
use lilacbank_load::connection_fault::{ConnectionFault, FaultPlan};
use lilacbank_load::member::{Endpoint, Manner};
use lilacbank_rig::{Fault, Proxy};
use stand::*;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// Classes that may be repeated.
const CLASSES: [&str; 2] = ["safe", "order"];
/// The number of clients, each of which submits one message after another.
const CLIENTS: usize = 8;

fn manner(service_ms: u64) -> Manner {
    Manner { service: Duration::from_millis(service_ms), at_once: 64, queue: 256 }
}

/// A site whose endpoint list has these endpoints of one destination.
fn site_of(addresses: &[SocketAddr]) -> Site {
    let entries: Vec<String> = addresses
        .iter()
        .enumerate()
        .map(|(n, at)| entry(&format!("w{n}"), &at.to_string(), "a", 1, "in_service"))
        .collect();
    Site::new(&entries)
}

/// A dispatcher in front of these endpoints of one destination.
fn serve(addresses: &[SocketAddr]) -> (Site, Dispatcher) {
    let site = site_of(addresses);
    let dispatcher = site.start();
    (site, dispatcher)
}

/// Submits `count` messages from all clients together; each client submits one per `gap`.
fn submit_messages(address: SocketAddr, count: usize, gap: Duration) {
    let clients: Vec<_> = (0..CLIENTS)
        .map(|who| {
            thread::spawn(move || {
                let mut client = Client::connect(address);
                for n in 0..count / CLIENTS {
                    let (id, class) = (format!("m{who}-{n}"), CLASSES[n % CLASSES.len()]);
                    let key = format!("{:x}", who * count + n + 1);
                    let reply = client.keyed(&key, &id, &format!("c={class},d=5000,k={id},dest=1"));
                    assert!(reply.starts_with('+') || reply.starts_with("-BUSY"), "{reply}");
                    thread::sleep(gap);
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|c| c.join().unwrap());
}

/// All attempts at these endpoints, once none has arrived for 800 ms.
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

fn assert_no_overlap(attempts: &[Attempt]) {
    let found = overlapping(attempts, |id| Some(id.to_string()));
    assert!(found.is_empty(), "{} of {} attempts: {found:#?}", found.len(), attempts.len());
}

fn ended_by(attempts: &[Attempt], by: EndedBy) -> usize {
    attempts.iter().filter(|a| a.ended.is_some_and(|(_, who)| who == by)).count()
}

/// Two endpoints whose connections have a fault at one request in six; the second one is behind a slower
/// path.
struct FaultyEndpoints {
    endpoints: Vec<Endpoint>,
    slow_path: Proxy,
}

impl FaultyEndpoints {
    fn new(fault: ConnectionFault) -> FaultyEndpoints {
        let endpoints: Vec<Endpoint> = (0..2).map(|_| Endpoint::start(manner(25)).unwrap()).collect();
        let plan = FaultPlan { faults: vec![fault], one_in: 6, read_later: Duration::from_millis(10) };
        endpoints.iter().for_each(|e| e.set_faults(Some(plan.clone())));
        let slow_path = Proxy::start(endpoints[1].address).unwrap();
        slow_path.set(Fault::Delay(Duration::from_millis(10)));
        FaultyEndpoints { endpoints, slow_path }
    }

    /// Sends 400 messages and returns their attempts.
    fn run(&self) -> Vec<Attempt> {
        let (_site, dispatcher) = serve(&[self.endpoints[0].address, self.slow_path.address]);
        submit_messages(dispatcher.address(), 400, Duration::from_millis(8));
        attempts(&self.endpoints)
    }
}

/// Guards against a next attempt that starts when the endpoint half-closes its connection, while the endpoint
/// still reads the previous request or is in the middle of a call that continues.
#[test]
fn an_endpoint_that_half_closes_has_no_overlapping_attempts() {
    for fault in [ConnectionFault::HalfCloseAsCallCrosses, ConnectionFault::HalfCloseInCall] {
        let attempts = FaultyEndpoints::new(fault).run();
        assert!(ended_by(&attempts, EndedBy::Caller) > 20, "{fault:?}: {}", attempts.len());
        assert_no_overlap(&attempts);
    }
}

/// Guards against a next attempt after a reset during a call that the dispatcher receives before the endpoint
/// has noticed the end of its call.
#[test]
fn endpoints_that_reset_calls_have_no_overlapping_attempts() {
    let attempts = FaultyEndpoints::new(ConnectionFault::ResetInCall).run();
    assert!(ended_by(&attempts, EndedBy::Endpoint) > 20, "{}", ended_by(&attempts, EndedBy::Endpoint));
    assert_no_overlap(&attempts);
}

/// Guards against a call that is cancelled on a slow path and repeated on a fast one too early: its
/// cancellation takes as long to reach the endpoint as the call did.
#[test]
fn a_call_cancelled_on_a_slow_path_does_not_overlap_the_next() {
    // The first endpoint is so slow that its calls are cancelled; the other one answers quickly.
    let endpoints = [Endpoint::start(manner(3_000)).unwrap(), Endpoint::start(manner(8)).unwrap()];
    let slow_path = Proxy::start(endpoints[0].address).unwrap();
    slow_path.set(Fault::Delay(Duration::from_millis(30)));
    let (_site, dispatcher) = serve(&[slow_path.address, endpoints[1].address]);
    submit_messages(dispatcher.address(), 160, Duration::from_millis(20));
    let attempts = attempts(&endpoints);
    assert!(ended_by(&attempts, EndedBy::Caller) > 0, "no call was cancelled");
    assert_no_overlap(&attempts);
}

/// Guards against a process that repeats the outstanding attempts of a killed sibling process too early: the
/// end of that process's connections is still on its way to the endpoints.
#[test]
fn attempts_of_a_killed_process_do_not_overlap_their_repeats() {
    for _ in 0..3 {
        let endpoints: Vec<Endpoint> = (0..2).map(|_| Endpoint::start(manner(900)).unwrap()).collect();
        let slow_path = Proxy::start(endpoints[0].address).unwrap();
        slow_path.set(Fault::Delay(Duration::from_millis(120)));
        let (site, first) = serve(&[slow_path.address, endpoints[1].address]);
        let mut client = first.client();
        // Both processes listen on the same address; a new client may reach either.
        let second = site.start_with(&first.address().to_string(), &[]);
        for n in 0..6 {
            assert_eq!(client.submit(&format!("m{n}"), "c=safe,d=5000,dest=1"), "+OK");
        }
        until("some attempts have reached the slow endpoint", || endpoints[0].attempts().len() >= 2);
        first.kill();
        let attempts = attempts(&endpoints);
        assert!(ended_by(&attempts, EndedBy::Caller) > 0, "no attempt was outstanding at the kill");
        assert_no_overlap(&attempts);
        drop(second);
    }
}

/// The time from the start of a message's first attempt to the start of its second one, in milliseconds, at
/// this quantile.
fn failover_ms(attempts: &[Attempt], quantile: f64) -> f64 {
    let mut all: Vec<f64> = Vec::new();
    let mut starts_by_id: std::collections::BTreeMap<&str, Vec<std::time::Instant>> = Default::default();
    attempts.iter().for_each(|a| starts_by_id.entry(a.id.as_str()).or_default().push(a.began));
    for times in starts_by_id.values_mut().filter(|t| t.len() > 1) {
        times.sort();
        all.push(times[1].duration_since(times[0]).as_secs_f64() * 1e3);
    }
    all.sort_by(f64::total_cmp);
    all.get((quantile * all.len().saturating_sub(1) as f64) as usize).copied().unwrap_or(f64::NAN)
}

/// A measurement for the postmortem.
///
/// `cargo test --release --test overlaps -- --ignored --nocapture measure`
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
        print(&format!("{fault:?}"), &FaultyEndpoints::new(fault).run());
    }
    for delay in [1, 30] {
        let endpoints = [Endpoint::start(manner(3_000)).unwrap(), Endpoint::start(manner(8)).unwrap()];
        let slow_path = Proxy::start(endpoints[0].address).unwrap();
        slow_path.set(Fault::Delay(Duration::from_millis(delay)));
        let (_site, dispatcher) = serve(&[slow_path.address, endpoints[1].address]);
        submit_messages(dispatcher.address(), 160, Duration::from_millis(20));
        print(&format!("cancelled on a path of {delay} ms"), &attempts(&endpoints));
    }
}
