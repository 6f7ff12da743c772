//! Replication over a cut between two zones: what becomes of deduplicated messages, whose repeats only the endpoints of
//! one zone drop.

mod stand;
#[path = "stand/peer_group.rs"]
mod stand_peer_group;
use lilacbank_rig::Fault;
use stand::*;
use stand_peer_group::*;
use std::thread;
use std::time::Duration;

const KEYS: usize = 8;
const ORDERS_OF_KEY: usize = 10;
/// A dispatcher that is cut off counts as gone within this time.
const GONE_WITHIN_MS: u64 = 5_000;
/// One way between the zones.
const PATH: Duration = Duration::from_millis(20);

/// One play: how long the zones are cut off from each other, when, and how long an endpoint takes.
#[derive(Debug, Clone, Copy)]
struct Play {
    cut_ms: u64,
    cut_after_ms: u64,
    call_ms: u64,
    copies: usize,
}

/// Three dispatchers, of which `n0` and one endpoint are in zone `a`, the others and another endpoint in zone `b`.
fn zones(a: &EndpointStandIn, b: &EndpointStandIn, copies: usize) -> PeerGroup {
    let site = |n: usize| {
        let (endpoint, zone) = if n == 0 { (a, "a") } else { (b, "b") };
        let address = endpoint.address.to_string();
        TestInstallation::new(&[list_entry(&format!("w-{zone}"), &address, zone, 1, "in_service")])
    };
    PeerGroup::of((0..3).map(site).collect(), &format!("copies = {copies}"))
}

fn taken_over(d: &Dispatcher) -> u64 {
    replication_metrics(d)["taken_over"].as_u64().unwrap()
}

/// Plays the cut; returns the orders that ran in one zone and were sent to the other one, and how many were taken over.
fn play(play: Play) -> (Vec<String>, u64) {
    let call = Duration::from_millis(play.call_ms);
    let endpoint = || EndpointStandIn::start(move |_, _| Reply::DelayedAnswer(call, "200 OK"));
    let (a, b) = (endpoint(), endpoint());
    let zones = zones(&a, &b, play.copies);
    let all = zones.start_all();
    zones.set_faults_around(0, Fault::Delay(PATH));
    let mut client = all[0].client();
    let mut warm_ups = 0;
    wait_until("messages are copied", || {
        warm_ups += 1;
        assert_eq!(client.submit(&format!("warm-up-{warm_ups}"), "c=safe,t=acme,d=6000,dest=1"), "+OK");
        thread::sleep(Duration::from_millis(100));
        let copies = |d: &Dispatcher| replication_metrics(d)["copies"].as_u64().unwrap();
        copies(&all[1]) > 0 && copies(&all[2]) > 0
    });
    for n in 0..ORDERS_OF_KEY {
        for key in 0..KEYS {
            let options = format!("c=order,k=k-{key}-{n},d=20000,dest=1");
            assert_eq!(
                client.submit_with_key(&format!("{:x}", key + 1), &format!("o-{key}-{n}"), &options),
                "+OK"
            );
        }
    }
    thread::sleep(Duration::from_millis(play.cut_after_ms));
    zones.set_faults_around(0, Fault::Blackhole);
    thread::sleep(Duration::from_millis(play.cut_ms));
    zones.set_faults_around(0, Fault::Delay(PATH));
    thread::sleep(Duration::from_secs(4));
    let ids = (0..KEYS).flat_map(|key| (0..ORDERS_OF_KEY).map(move |n| format!("o-{key}-{n}")));
    let in_both = ids.filter(|id| a.calls_of(id) > 0 && b.calls_of(id) > 0).collect();
    (in_both, taken_over(&all[1]) + taken_over(&all[2]))
}

/// Guards against deduplicated messages that take effect in two zones: an owner that is cut off starts them while its lease
/// lasts, and a holder takes them over without knowing that.
#[test]
fn a_deduplicated_message_is_sent_in_one_zone_only_over_a_cut() {
    let plays = [
        Play { cut_ms: 6_000, cut_after_ms: 300, call_ms: 120, copies: 2 },
        Play { cut_ms: 3_600, cut_after_ms: 300, call_ms: 120, copies: 2 },
        Play { cut_ms: 6_000, cut_after_ms: 900, call_ms: 400, copies: 2 },
        Play { cut_ms: 5_500, cut_after_ms: 500, call_ms: 900, copies: 1 },
    ];
    let running: Vec<_> = plays.map(|p| (p, thread::spawn(move || play(p)))).into_iter().collect();
    let results: Vec<_> = running.into_iter().map(|(p, run)| (p, run.join())).collect();
    for (p, result) in results {
        let (in_both, taken_over) = result.expect("the play runs to its end");
        assert!(in_both.is_empty(), "{p:?}: in both zones: {in_both:?}");
        // Over a shorter cut there may be no takeover.
        assert!(p.cut_ms < GONE_WITHIN_MS || taken_over > 0, "{p:?}: nothing is taken over");
    }
}
