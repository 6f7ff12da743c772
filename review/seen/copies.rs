//! A new build of a dispatcher crashes beside the old one, where three dispatchers keep copies for each other.

#[path = "../stand/mod.rs"]
mod stand;
#[path = "../stand/site.rs"]
mod site;

use site::Node;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use stand::*;

const NAMES: [&str; 3] = ["n1", "n2", "n3"];
const ZONES: [&str; 3] = ["building-a", "building-b", "building-b"];
const DEST: u64 = 7;
const SERVICE_MS: u64 = 130;
/// The member's limit: calls in a span of milliseconds, from all dispatchers together.
const LIMIT: (usize, u64) = (8, 2_000);
/// Approval orders in a clump, each of a claim of its own: as many as the member takes in 3.5 s.
const CLUMP: u64 = 14;
const DEADLINE_MS: u64 = 20_000;
/// The new build is started so long after the clump was handed in.
const CLUMP_TO_UPGRADE_MS: u64 = 200;
/// The new build crashes so long after its start, before it says yes.
const START_TO_CRASH_MS: u64 = 4_500;

fn name(n: u64) -> String {
    format!("order-{n}")
}

/// Hands in an approval order; whether it was taken on.
fn hand_in(at: SocketAddr, n: u64) -> bool {
    let (key, id) = (format!("{:016x}", 0x7f3a_0000 + n), format!("{:016x}", 0x9b1f_0000 + n));
    let options = format!("c=approval-order,t=sotrans-dakar,d={DEADLINE_MS},k={id},dest={DEST}");
    let answer = resp_connect(at).and_then(|mut s| resp(&mut s, &["SUBMIT", &key, &id, &options, &name(n)]));
    note(format!("client: {} to n1: {}", name(n), answer.as_deref().unwrap_or("no answer")));
    answer.is_ok_and(|a| a == "+OK")
}

fn main() {
    begin("seen");
    let (calls, limit) = (Calls::default(), Arc::new(Window::new(LIMIT.0, LIMIT.1)));
    let mut list = Vec::new();
    // A member system of the kind high-volume, with an endpoint in each building.
    for (uid, zone) in [("s-0a", ZONES[0]), ("s-0b", ZONES[1])] {
        let limit = Arc::clone(&limit);
        endpoint(&mut list, (uid, zone, "high-volume", DEST), &calls, move |_| {
            let (status, left, after) = match limit.take() {
                Ok(left) => (200, left, SERVICE_MS),
                Err(left) => (503, left, 1),
            };
            let rate = LIMIT.0 as f64 * 1000.0 / LIMIT.1 as f64;
            Reply { status, headers: format!("X-Pressure: x0={left:.2},x1={rate:.1}\r\n"), after }
        });
    }
    let platform = Platform::start(list.clone());
    let peers: Vec<SocketAddr> = NAMES.iter().map(|_| free_address()).collect();
    let listen: Vec<SocketAddr> = NAMES.iter().map(|_| free_address()).collect();
    let start = |n: usize, door: SocketAddr| {
        let mut together = format!(
            "[replication]\nenabled = true\nlisten = \"{}\"\ninstallation = \"plateau\"\ncopies = 2\n",
            peers[n]
        );
        for other in (0..NAMES.len()).filter(|o| *o != n) {
            let peer = format!("name = \"{}\"\naddress = \"{}\"\n", NAMES[other], peers[other]);
            together.push_str(&format!("[[replication.peers]]\n{peer}"));
        }
        let file = site::write(&format!("together.{}.toml", NAMES[n]), &together);
        let node = Node {
            name: NAMES[n],
            listen: listen[n],
            control: door,
            discovery: platform.address,
            zone: ZONES[n],
            rank: n,
            dispatchers: NAMES.len(),
        };
        let mut environment = site::environment(&node, &list);
        environment.push(("LILACBANK_TOGETHER", file.display().to_string()));
        Dispatcher::start(NAMES[n], &environment)
    };
    let says_yes = |at: SocketAddr| control(at, "check").is_some_and(|a| a.starts_with("200"));
    let doors: Vec<SocketAddr> = NAMES.iter().map(|_| free_address()).collect();
    let all: Vec<Dispatcher> = (0..NAMES.len()).map(|n| start(n, doors[n])).collect();
    for door in &doors {
        if !wait_until(15_000, || says_yes(*door)) {
            give_up("a dispatcher is not ready");
        }
    }
    sleep(3_000);
    let taken: Arc<Mutex<BTreeSet<u64>>> = Arc::default();
    let clients: Vec<_> = (0..CLUMP)
        .map(|n| {
            let (at, taken) = (listen[0], Arc::clone(&taken));
            thread::spawn(move || {
                if hand_in(at, n) {
                    taken.lock().unwrap().insert(n);
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|c| drop(c.join()));
    let handed_in = ms();
    sleep(CLUMP_TO_UPGRADE_MS);
    if trouble() {
        let door = free_address();
        let mut new = start(0, door);
        sleep(START_TO_CRASH_MS);
        if says_yes(door) {
            note("upgrade of n1: the new process says yes");
        }
        note("upgrade of n1: the new process crashes, the old one carries on");
        new.kill();
    }
    wait_until((handed_in + DEADLINE_MS + 2_000).saturating_sub(ms()), || false);
    let mut broken = 0;
    let taken = taken.lock().unwrap().clone();
    for n in &taken {
        let runs = calls.runs_of(&name(*n));
        let times: Vec<String> = runs.iter().map(|c| format!("{} ms in {}", c.at, c.zone)).collect();
        // Endpoints of one building drop a repeat for 20 s: there the order takes effect once.
        let buildings: BTreeSet<_> = runs.iter().map(|c| c.zone.clone()).collect();
        let twice = if buildings.len() > 1 { ": TOOK EFFECT TWICE" } else { "" };
        note(format!("{}: sent {} times ({}){twice}", name(*n), runs.len(), times.join(", ")));
        broken += usize::from(buildings.len() > 1);
    }
    for d in &all {
        for line in d.log_lines(&["taken over", "counts as gone", "new life", "took over", "panicked"]) {
            note(format!("log of {}: {line}", d.name));
        }
    }
    note(format!("{broken} of {} approval orders took effect in both buildings", taken.len()));
    if taken.len() < 10 || calls.all().is_empty() {
        give_up("too little was taken on or sent");
    }
    end(if broken > 0 { BROKEN } else { HELD })
}
