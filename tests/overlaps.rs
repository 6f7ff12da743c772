//! No two attempts of one message are out at once in the eyes of their endpoints: an attempt is over when its endpoint has seen
//! its end, not when the dispatcher has decided it. The endpoints judge, to the microsecond and for each class.

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
/// Clients that hand in one message after another.
const CLIENTS: usize = 8;

fn manner(service_ms: u64) -> Manner {
    Manner { service: Duration::from_millis(service_ms), at_once: 64, queue: 256 }
}

/// These endpoints of one destination.
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
