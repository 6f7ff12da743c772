//! Replication between two zones: what becomes of deduplicated messages, whose repeats only the endpoints of one zone
//! drop, over a cut and over a kill.

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
/// Calls that a dispatcher may have outstanding, as in its settings.
const SLOTS: usize = 8;
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
struct Zones {
    peers: PeerGroup,
    a: EndpointStandIn,
    b: EndpointStandIn,
}

impl Zones {
    fn new(call_ms: u64, copies: usize) -> Zones {
        let call = Duration::from_millis(call_ms);
        let endpoint = || EndpointStandIn::start(move |_, _| Reply::DelayedAnswer(call, "200 OK"));
        let (a, b) = (endpoint(), endpoint());
        let site = |n: usize| {
            let (endpoint, zone) = if n == 0 { (&a, "a") } else { (&b, "b") };
            let address = endpoint.address.to_string();
            TestInstallation::new(&[list_entry(&format!("w-{zone}"), &address, zone, 1, "in_service")])
        };
        let peers = PeerGroup::of((0..3).map(site).collect(), &format!("copies = {copies}"));
        Zones { peers, a, b }
    }

    /// Starts the dispatchers and submits the orders to `n0`, once its messages are copied to both others.
    fn start_and_submit(&self) -> Vec<Dispatcher> {
        let all = self.peers.start_all();
        self.peers.set_faults_around(0, Fault::Delay(PATH));
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
                let ordering_key = format!("{:x}", key + 1);
                assert_eq!(client.submit_with_key(&ordering_key, &order_id(key, n), &options), "+OK");
            }
        }
        all
    }

    fn calls_of(&self, id: &str) -> (usize, usize) {
        (self.a.calls_of(id), self.b.calls_of(id))
    }

    /// The orders that were sent to endpoints of both zones.
    fn sent_in_both(&self) -> Vec<String> {
        let in_both = |id: &String| self.calls_of(id).0 > 0 && self.calls_of(id).1 > 0;
        order_ids().filter(in_both).collect()
    }
}

fn order_id(key: usize, n: usize) -> String {
    format!("o-{key}-{n}")
}

fn order_ids() -> impl Iterator<Item = String> {
    (0..KEYS).flat_map(|key| (0..ORDERS_OF_KEY).map(move |n| order_id(key, n)))
}

fn taken_over(d: &Dispatcher) -> u64 {
    replication_metrics(d)["taken_over"].as_u64().unwrap()
}

/// Plays the cut; returns the orders that were sent in both zones, and how many were taken over.
fn play(play: Play) -> (Vec<String>, u64) {
    let zones = Zones::new(play.call_ms, play.copies);
    let all = zones.start_and_submit();
    thread::sleep(Duration::from_millis(play.cut_after_ms));
    zones.peers.set_faults_around(0, Fault::Blackhole);
    thread::sleep(Duration::from_millis(play.cut_ms));
    zones.peers.set_faults_around(0, Fault::Delay(PATH));
    thread::sleep(Duration::from_secs(4));
    (zones.sent_in_both(), taken_over(&all[1]) + taken_over(&all[2]))
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

/// Kills the owner of the orders; returns those that were given up though no endpoint got them.
fn play_kill(is_ordered: bool, restarts: bool) -> (Vec<String>, Vec<String>) {
    let mut zones = Zones::new(120, 2);
    zones.peers.changed_text = (!is_ordered).then_some(("\"in_order\":true,", ""));
    let mut all = zones.start_and_submit();
    thread::sleep(Duration::from_millis(300));
    all.remove(0).kill();
    let _next = restarts.then(|| {
        thread::sleep(Duration::from_millis(600));
        zones.peers.start(0)
    });
    let never_sent = |id: &String| zones.calls_of(id) == (0, 0);
    let has_ended = |id: String| !never_sent(&id) || !zones.peers.notices(&id).is_empty();
    wait_until("each order is sent or has its final answer", || order_ids().all(has_ended));
    thread::sleep(Duration::from_millis(500));
    (order_ids().filter(never_sent).collect(), zones.sent_in_both())
}

/// Guards against orders that are given up though they were never sent: the start of more orders is confirmed than can be
/// outstanding, and their owner is killed. Where it comes back with its folder, all are delivered.
#[test]
fn a_kill_gives_up_no_order_but_those_that_were_outstanding() {
    let plays = [(true, true), (false, true), (true, false), (false, false)];
    let running: Vec<_> = plays
        .map(|(ordered, restarts)| thread::spawn(move || play_kill(ordered, restarts)))
        .into_iter()
        .collect();
    let results: Vec<_> = running.into_iter().map(|run| run.join()).collect();
    for ((is_ordered, restarts), result) in plays.into_iter().zip(results) {
        let (given_up, in_both) = result.expect("the play runs to its end");
        let most = if restarts { 0 } else { SLOTS };
        let what = format!("ordered {is_ordered}, restarts {restarts}");
        assert!(given_up.len() <= most, "{what}: given up and never sent: {given_up:?}");
        assert!(in_both.is_empty(), "{what}: in both zones: {in_both:?}");
    }
}
