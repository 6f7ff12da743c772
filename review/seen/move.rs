//! A tenant moves to another dispatcher while MQTT clients wait for the ends of what they handed in.

#[path = "../stand/mod.rs"]
mod stand;
#[path = "../stand/mqtt.rs"]
mod mqtt;
#[path = "../stand/site.rs"]
mod site;

use mqtt::{Packet, Session};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use stand::*;

const GATEWAYS: usize = 6;
const EACH: usize = 2;
const LIMIT: (usize, u64) = (8, 2_000);
const SERVICE_MS: u64 = 130;
const CLUMP_TO_MOVE_MS: u64 = 300;
const DEADLINE_S: u32 = 20;

type Answers = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

struct Signals {
    hand_in: AtomicBool,
    subscribed: AtomicUsize,
    accepted: AtomicUsize,
    stop: AtomicBool,
}

fn name(gateway: usize, n: usize) -> String {
    format!("reimbursement-{gateway}-{n}")
}

fn gateway(at: SocketAddr, number: usize, signals: &Signals, answers: &Answers) {
    let client = format!("bank-{number}");
    let topic = format!("answers/{client}");
    let Ok(mut session) = Session::connect(at, &client) else { return };
    if session.subscribe(&topic).is_err() {
        return;
    }
    while !matches!(session.read(1_000), Ok(Some(Packet::Suback)) | Err(_)) {}
    signals.subscribed.fetch_add(1, Ordering::SeqCst);
    let mut handed_in = 0;
    while !signals.stop.load(Ordering::SeqCst) {
        while signals.hand_in.load(Ordering::SeqCst) && handed_in < EACH {
            let id = format!("{:016x}", 0x9b1f_0000 + number * 16 + handed_in);
            let mut user = vec![("id", id.as_str()), ("class", "reimbursement"), ("dest", "7")];
            user.extend([("tenant", "sotrans"), ("idempotency-key", id.as_str())]);
            note(format!("{client}: hands in {}", name(number, handed_in)));
            let _ = session.submit("lilacbank/submit", &topic, DEADLINE_S, &user, &name(number, handed_in));
            handed_in += 1;
        }
        match session.read(10) {
            Ok(Some(Packet::Puback { .. })) => drop(signals.accepted.fetch_add(1, Ordering::SeqCst)),
            Ok(Some(Packet::Publish { packet, user, .. })) => {
                let get = |k: &str| user.iter().find(|u| u.0 == k).map_or("", |u| &u.1).to_string();
                let (id, outcome) = (get("id"), get("outcome"));
                let n = usize::from_str_radix(&id, 16).unwrap_or(0) % 16;
                note(format!("{client}: final answer of {}: {outcome} {user:?}", name(number, n)));
                answers.lock().unwrap().entry(name(number, n)).or_default().push(outcome);
                let _ = session.acknowledge(packet);
            }
            Ok(Some(p)) => note(format!("{client}: {p:?}")),
            Ok(_) => {}
            Err(e) => {
                note(format!("{client}: the connection ended: {e}"));
                return;
            }
        }
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
    let mut agreement = String::from(
        "member = \"sotrans-dakar\"\ndestination = 7\nkind = \"high-volume\"\nlimit = \"8 in 2s\"\nconnections = 16\n\
         drain = \"2s\"\nwait-most = \"2s\"\nbuildings = [\"building-a\", \"building-b\"]\n",
    );
    for l in &list {
        agreement.push_str(&format!(
            "[[endpoints]]\nid = \"{}\"\naddress = \"{}\"\nbuilding = \"{}\"\n",
            l.uid, l.address, l.zone
        ));
    }
    agreement.push_str("[classes.claim-status]\nrepeats = \"harmless\"\n[classes.approval-order]\nrepeats = \"dropped\"\ndropped-in = \"building\"\ndropped-for = \"20s\"\n[classes.reimbursement]\nrepeats = \"forbidden\"\n");
    site::write("sotrans.toml", &agreement);
    let at: Vec<SocketAddr> = (0..8).map(|_| free_address()).collect();
    let mut map = String::from("map = \"demo\"\nversion = 1\n");
    for n in 0..2 {
        map.push_str(&format!(
            "[dispatchers.n{}]\npeer = \"{}\"\nresp = \"{}\"\nmqtt = \"{}\"\n",
            n + 1,
            at[n],
            at[2 + n],
            at[4 + n]
        ));
    }
    map.push_str("[cells.one]\ndispatchers = [\"n1\"]\ntenants = [\"sotrans\"]\n[[cells.one.members]]\nagreement = \"sotrans.toml\"\nshare = \"50%\"\n[cells.two]\ndispatchers = [\"n2\"]\n[[cells.two.members]]\nagreement = \"sotrans.toml\"\nshare = \"50%\"\n");
    let map_file = site::write("map.toml", &map);
    let start = |n: usize| {
        let name = format!("n{}", n + 1);
        let state = folder().join(format!("state.{name}"));
        std::fs::create_dir_all(&state).expect("no state folder");
        let app = site::write(
            &format!("{name}.toml"),
            &format!(
                "application = \"{name}\"\nstate = \"{}\"\nbuilding = \"building-a\"\nnotices = \"{}\"\n\
                 [listen]\nresp = \"{}\"\nmqtt = \"{}\"\n[mesh]\nmap = \"map.toml\"\ndispatcher = \"{name}\"\n\
                 [tenants.sotrans]\n[classes.claim-status]\nwanted = \"1s\"\ndeadline = \"8s\"\n\
                 [classes.approval-order]\nwanted = \"4s\"\ndeadline = \"20s\"\nordered = true\n\
                 [classes.reimbursement]\nwanted = \"3s\"\ndeadline = \"20s\"\n\
                 [[uses]]\nagreement = \"sotrans.toml\"\nshare = \"50%\"\nconnections = 6\n\
                 [work]\nslots = 12\nheld = 200\nprobes = false\n[process]\ndescriptors = 512\n",
                state.display(),
                platform.address,
                at[2 + n],
                at[4 + n]
            ),
        );
        let json = folder().join(format!("{name}.json"));
        let done = Command::new("target/release/lilacbank").args(["app", "render"]).arg(&app).arg("-o").arg(&json).output();
        match done {
            Ok(o) if o.status.success() => {}
            other => give_up(format!("the configuration cannot be rendered: {other:?}")),
        }
        Dispatcher::start(&name, &[("ROUTER_CONFIG", json.display().to_string())])
    };
    let all = [start(0), start(1)];
    wait_for_pong(at[2], 10_000);
    wait_for_pong(at[3], 10_000);
    sleep(2_000);
    let signals = Arc::new(Signals {
        hand_in: AtomicBool::new(false),
        subscribed: AtomicUsize::new(0),
        accepted: AtomicUsize::new(0),
        stop: AtomicBool::new(false),
    });
    let answers = Answers::default();
    for number in 0..GATEWAYS {
        let (signals, answers, front) = (Arc::clone(&signals), Arc::clone(&answers), at[4]);
        thread::spawn(move || gateway(front, number, &signals, &answers));
    }
    if !wait_until(5_000, || signals.subscribed.load(Ordering::SeqCst) == GATEWAYS) {
        give_up("the gateways cannot connect");
    }
    sleep(500);
    signals.hand_in.store(true, Ordering::SeqCst);
    sleep(CLUMP_TO_MOVE_MS);
    note(format!("{} were acknowledged", signals.accepted.load(Ordering::SeqCst)));
    if trouble() {
        let out = Command::new("target/release/lilacbank")
            .args(["cell", "move", "--map"])
            .arg(&map_file)
            .args(["sotrans", "--to", "n2"])
            .output();
        note(format!("the move: {:?}", out.map(|o| (o.status.code(), String::from_utf8_lossy(&o.stdout).to_string(), String::from_utf8_lossy(&o.stderr).to_string()))));
    }
    let done = || answers.lock().unwrap().len() == GATEWAYS * EACH;
    wait_until((u64::from(DEADLINE_S) + 10) * 1_000, done);
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
    for d in &all {
        for line in d.log_lines(&["sotrans is", "panicked", "ERROR"]) {
            note(format!("log: {line}"));
        }
    }
    note(format!("{broken} of {} reimbursements got no final answer", GATEWAYS * EACH));
    end(if broken > 0 { BROKEN } else { HELD })
}
