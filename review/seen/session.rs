//! A restart of the dispatcher under an MQTT session that goes on.

#[path = "../stand/mod.rs"]
mod stand;
#[path = "../stand/mqtt.rs"]
mod mqtt;
#[path = "../stand/site.rs"]
mod site;

use mqtt::{Packet, Session};
use site::Node;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use stand::*;

/// Bank gateways, each with a session of its own.
const GATEWAYS: usize = 6;
/// Reimbursements of each in a clump.
const EACH: usize = 2;
/// The member's limit: calls in a span of milliseconds, from all dispatchers together.
const LIMIT: (usize, u64) = (8, 2_000);
const SERVICE_MS: u64 = 130;
/// The process is killed so long after the clump was handed in.
const CLUMP_TO_KILL_MS: u64 = 150;
/// It comes back so long after SIGKILL.
const KILL_TO_START_MS: u64 = 600;
/// A gateway connects again so long after its connection ended: the pages have 320 to 2000 ms.
const AGAIN_MS: u64 = 1_800;
const DEADLINE_S: u32 = 20;

type Answers = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

struct Signals {
    hand_in: AtomicBool,
    /// The sessions break without a restart.
    broken: AtomicBool,
    subscribed: AtomicUsize,
    accepted: AtomicUsize,
    stop: AtomicBool,
}

fn name(gateway: usize, n: usize) -> String {
    format!("reimbursement-{gateway}-{n}")
}

/// A bank gateway: hands in its reimbursements, and waits for their ends. If its connection ends, it connects
/// again without a clean start; it subscribes again only if the dispatcher does not have its session any more.
/// It hands in again what was not acknowledged.
fn gateway(at: SocketAddr, number: usize, signals: &Signals, answers: &Answers) {
    let client = format!("bank-{number}");
    let topic = format!("answers/{client}");
    let (mut first, mut broke) = (true, false);
    let mut acknowledged = BTreeSet::new();
    while !signals.stop.load(Ordering::SeqCst) {
        let Ok(mut session) = Session::connect(at, &client) else {
            sleep(100);
            continue;
        };
        note(format!("{client}: connected, session present: {}", session.session_present));
        if !session.session_present && session.subscribe(&topic).is_err() {
            continue;
        }
        if std::mem::take(&mut first) {
            while !matches!(session.read(1_000), Ok(Some(Packet::Suback)) | Err(_)) {}
            signals.subscribed.fetch_add(1, Ordering::SeqCst);
        }
        let mut handed_in = BTreeMap::new();
        loop {
            if signals.stop.load(Ordering::SeqCst) {
                return;
            }
            if !broke && signals.broken.load(Ordering::SeqCst) {
                broke = true;
                note(format!("{client}: the connection breaks"));
                break;
            }
            if signals.hand_in.load(Ordering::SeqCst) && handed_in.is_empty() {
                for n in (0..EACH).filter(|n| !acknowledged.contains(n)) {
                    let id = format!("{:016x}", 0x9b1f_0000 + number * 16 + n);
                    let tenant = ["sotrans-dakar", "ciment-rufisque"][number % 2];
                    let mut user = vec![("id", id.as_str()), ("class", "reimbursement"), ("dest", "7")];
                    user.extend([("tenant", tenant), ("idempotency-key", id.as_str())]);
                    note(format!("{client}: hands in {}", name(number, n)));
                    if let Ok(packet) =
                        session.submit("lilacbank/submit", &topic, DEADLINE_S, &user, &name(number, n))
                    {
                        handed_in.insert(packet, n);
                    }
                }
            }
            match session.read(10) {
                Ok(Some(Packet::Puback { packet, .. })) => {
                    if let Some(n) = handed_in.get(&packet) {
                        acknowledged.insert(*n);
                        signals.accepted.fetch_add(1, Ordering::SeqCst);
                    }
                }
                Ok(Some(Packet::Publish { packet, user, .. })) => {
                    let get = |k: &str| user.iter().find(|u| u.0 == k).map_or("", |u| &u.1).to_string();
                    let (id, outcome) = (get("id"), get("outcome"));
                    let n = usize::from_str_radix(&id, 16).unwrap_or(0) % 16;
                    note(format!("{client}: final answer of {}: {outcome}", name(number, n)));
                    answers.lock().unwrap().entry(name(number, n)).or_default().push(outcome);
                    let _ = session.acknowledge(packet);
                }
                Ok(_) => {}
                Err(_) => {
                    note(format!("{client}: the connection ended"));
                    break;
                }
            }
        }
        drop(session);
        sleep(AGAIN_MS);
    }
}

fn main() {
    begin("seen");
    let (calls, limit) = (Calls::default(), Arc::new(Window::new(LIMIT.0, LIMIT.1)));
    let mut list = Vec::new();
    for (uid, zone) in [("s-0a", "building-a"), ("s-0b", "building-b")] {
        let limit = Arc::clone(&limit);
        endpoint(&mut list, (uid, zone, "high-volume", 7), &calls, move |_| {
            let (status, left, after) = match limit.take() {
                Ok(left) => (200, left, SERVICE_MS),
                Err(left) => (503, left, 1),
            };
            let rate = LIMIT.0 as f64 * 1000.0 / LIMIT.1 as f64;
            Reply { status, headers: format!("X-Pressure: x0={left:.2},x1={rate:.1}\r\n"), after }
        });
    }
    let platform = Platform::start(list.clone());
    let (listen, front, door) = (free_address(), free_address(), free_address());
    let mqtt_file = site::write("mqtt.toml", &format!("[acceptor]\nenabled = true\nlisten = \"{front}\"\n"));
    let start = || {
        let node = Node {
            name: "n1",
            listen,
            control: door,
            discovery: platform.address,
            zone: "building-a",
            rank: 0,
            dispatchers: 1,
        };
        let mut environment = site::environment(&node, &list);
        environment.push(("LILACBANK_MQTT", mqtt_file.display().to_string()));
        Dispatcher::start("n1", &environment)
    };
    let mut n1 = start();
    wait_for_pong(listen, 10_000);
    let signals = Arc::new(Signals {
        hand_in: AtomicBool::new(false),
        broken: AtomicBool::new(false),
        subscribed: AtomicUsize::new(0),
        accepted: AtomicUsize::new(0),
        stop: AtomicBool::new(false),
    });
    let answers = Answers::default();
    for number in 0..GATEWAYS {
        let (signals, answers) = (Arc::clone(&signals), Arc::clone(&answers));
        thread::spawn(move || gateway(front, number, &signals, &answers));
    }
    if !wait_until(5_000, || signals.subscribed.load(Ordering::SeqCst) == GATEWAYS) {
        give_up("the gateways cannot connect");
    }
    sleep(500);
    signals.hand_in.store(true, Ordering::SeqCst);
    sleep(CLUMP_TO_KILL_MS);
    note(format!("{} were acknowledged", signals.accepted.load(Ordering::SeqCst)));
    if trouble() {
        n1.kill();
        sleep(KILL_TO_START_MS);
        n1 = start();
    } else {
        signals.broken.store(true, Ordering::SeqCst);
    }
    let all = || answers.lock().unwrap().len() == GATEWAYS * EACH;
    wait_until((u64::from(DEADLINE_S) + 10) * 1_000, all);
    signals.stop.store(true, Ordering::SeqCst);
    sleep(100);
    let mut broken = 0;
    for (gateway, n) in (0..GATEWAYS).flat_map(|g| (0..EACH).map(move |n| (g, n))) {
        let name = name(gateway, n);
        let runs = calls.runs_of(&name);
        let times: Vec<String> = runs.iter().map(|c| format!("{} ms at {}", c.at, c.endpoint)).collect();
        let told = answers.lock().unwrap().get(&name).cloned().unwrap_or_default();
        note(format!("{name}: ran {} times ({}), final answers {told:?}", runs.len(), times.join(", ")));
        broken += usize::from(told.is_empty());
    }
    for line in n1.log_lines(&["took over", "panicked", "taken up"]) {
        note(format!("log: {line}"));
    }
    note(format!("{broken} of {} reimbursements got no final answer", GATEWAYS * EACH));
    end(if broken > 0 { BROKEN } else { HELD })
}
