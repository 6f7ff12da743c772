//! Case 3: a building is cut off for 6 s while approval orders wait for their turn at one of its dispatchers.

#[path = "../stand/mod.rs"]
mod stand;
#[path = "../stand/site.rs"]
mod site;

use site::Node;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use stand::*;

const CUT_MS: u64 = 6_000;
/// One way between the buildings.
const PATH_MS: u64 = 15;
const SERVICE_MS: u64 = 130;
/// Expense claims, and the approval orders of each; they go one at a time.
const CLAIMS: usize = 6;
const ORDERS: usize = 3;
const DEST: u64 = 7;

fn order(claim: usize, n: usize) -> String {
    format!("order-{claim}-{n}")
}

/// Hands in a message; whether it was taken on.
fn submit(at: SocketAddr, key: u64, id: u64, class: &str, deadline: u64, body: &str) -> bool {
    let options = format!("c={class},t=sotrans-dakar,d={deadline},k={id:016x},dest={DEST}");
    let (key, id) = (format!("{key:016x}"), format!("{id:016x}"));
    let answer = resp_connect(at).and_then(|mut s| resp(&mut s, &["SUBMIT", &key, &id, &options, body]));
    note(format!("client: {body} to {at}: {}", answer.as_deref().unwrap_or("no answer")));
    answer.is_ok_and(|a| a == "+OK")
}

fn main() {
    begin("3");
    let calls = Calls::default();
    let mut list = Vec::new();
    // A member system with three endpoints.
    for (uid, zone) in [("s-0a", "building-a"), ("s-0b", "building-b"), ("s-1b", "building-b")] {
        endpoint(&mut list, (uid, zone, "low-volume", DEST), &calls, move |r| Reply {
            status: 200,
            headers: String::new(),
            after: if r.method == "POST" { SERVICE_MS } else { 1 },
        });
    }
    // The paths between the buildings: n1 is in building-a, n2 and n3 are in building-b.
    let across: Vec<Proxy> = list.iter().map(|l| Proxy::start(l.address, PATH_MS)).collect();
    let seen_from = |zone: &str| {
        let mut seen = list.clone();
        let other = seen.iter_mut().zip(&across).filter(|(l, _)| l.zone != zone);
        other.for_each(|(l, path)| l.address = path.address);
        seen
    };
    let peers: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
    let path = |to: usize| Proxy::start(peers[to], PATH_MS);
    let paths = [path(1), path(2), path(0), path(0)];
    // How each dispatcher reaches the others.
    let routes = [
        vec![("n2", paths[0].address), ("n3", paths[1].address)],
        vec![("n1", paths[2].address), ("n3", peers[2])],
        vec![("n1", paths[3].address), ("n2", peers[1])],
    ];
    let zones = ["building-a", "building-b", "building-b"];
    let (mut dispatchers, mut platforms, mut addresses) = (Vec::new(), Vec::new(), Vec::new());
    for n in 0..3 {
        let name = ["n1", "n2", "n3"][n];
        let seen = seen_from(zones[n]);
        let platform = Platform::start(seen.clone());
        let mut together = format!(
            "[replication]\nenabled = true\nlisten = \"{}\"\ninstallation = \"plateau\"\ncopies = 2\n",
            peers[n]
        );
        for (peer, at) in &routes[n] {
            together.push_str(&format!("[[replication.peers]]\nname = \"{peer}\"\naddress = \"{at}\"\n"));
        }
        let file = site::write(&format!("together.{name}.toml"), &together);
        let (listen, door) = (free_address(), free_address());
        let node = Node {
            name,
            listen,
            control: door,
            discovery: platform.address,
            zone: zones[n],
            rank: n,
            dispatchers: 3,
        };
        let mut environment = site::environment(&node, &seen);
        environment.push(("LILACBANK_TOGETHER", file.display().to_string()));
        dispatchers.push(Dispatcher::start(name, &environment));
        platforms.push(platform);
        addresses.push(listen);
    }
    addresses.iter().for_each(|a| wait_for_pong(*a, 15_000));
    // Status updates keep coming to all three.
    let stop = Arc::new(AtomicBool::new(false));
    for (n, at) in addresses.clone().into_iter().enumerate() {
        let stop = Arc::clone(&stop);
        thread::spawn(move || {
            let mut count = 0;
            while !stop.load(Ordering::SeqCst) {
                count += 1;
                let id = 0x5000_0000 + (n as u64) * 0x1_0000 + count;
                submit(at, 0, id, "claim-status", 8_000, &format!("status-{n}-{count}"));
                sleep(1_000);
            }
        });
    }
    sleep(3_000);
    // The orders of each claim are handed in one after another, each once the one before has its answer.
    let taken = Arc::new(Mutex::new(0));
    let clients: Vec<_> = (0..CLAIMS)
        .map(|claim| {
            let (at, taken) = (addresses[0], Arc::clone(&taken));
            thread::spawn(move || {
                for n in 0..ORDERS {
                    let id = 0x9b1f_0000 + (claim * 16 + n) as u64;
                    let key = 0x7f3a_0000 + claim as u64;
                    let done = submit(at, key, id, "approval-order", 20_000, &order(claim, n));
                    *taken.lock().unwrap() += usize::from(done);
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|c| drop(c.join()));
    if *taken.lock().unwrap() != CLAIMS * ORDERS {
        give_up("not all orders were taken on");
    }
    // The copies cross to the other building.
    sleep(2 * PATH_MS + 20);
    if trouble() {
        note("the paths between the buildings are cut");
        paths.iter().for_each(|p| p.cut(false));
        across.iter().for_each(|p| p.cut(true));
    }
    sleep(CUT_MS);
    if trouble() {
        note("the paths work again");
        paths.iter().chain(&across).for_each(Proxy::heal);
    }
    sleep(18_000);
    stop.store(true, Ordering::SeqCst);
    let mut broken = 0;
    for (claim, n) in (0..CLAIMS).flat_map(|c| (0..ORDERS).map(move |n| (c, n))) {
        let runs = calls.runs_of(&order(claim, n));
        let times: Vec<String> = runs.iter().map(|c| format!("{} ms in {}", c.at, c.zone)).collect();
        // Endpoints of one building drop a repeat for 20 s: there it takes effect once.
        let buildings: std::collections::BTreeSet<_> = runs.iter().map(|c| c.zone.clone()).collect();
        note(format!("{}: took effect in {} buildings ({})", order(claim, n), buildings.len(), times.join(", ")));
        broken += usize::from(buildings.len() > 1);
    }
    for d in &dispatchers {
        for line in d.log_lines(&["taken over", "counts as gone", "now belongs", "panicked", "reachable again"]) {
            note(format!("log of {}: {line}", d.name));
        }
    }
    note(format!("{broken} of {} approval orders took effect twice", CLAIMS * ORDERS));
    if calls.all().iter().filter(|c| c.body.starts_with("order") && c.status == 200).count() == 0 {
        give_up("nothing was delivered");
    }
    end(if broken > 0 { BROKEN } else { HELD })
}
