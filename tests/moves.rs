//! Tenants that move between dispatchers of the real program: in traffic, under kills, and in the hard cases.

mod stand;
#[path = "stand/mqtt.rs"]
mod stand_mqtt;

use lilacbank_load::arrivals::{poisson, Intended, Stream};
use lilacbank_load::client::{drive, Door, Habits};
use lilacbank_load::keyed::{audit, run, Audit, Chain, Sent};
use lilacbank_load::member::{Endpoint, Manner, Notices};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use stand::{addresses, until, Client, Dispatcher, Reply, Worker, PATIENCE};
use stand_mqtt::MqttClient;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const CLASSES: &str = "[classes.status]\nwanted = \"1s\"\ndeadline = \"20s\"\n[classes.approval]\nwanted = \"1s\"\n\
                       deadline = \"20s\"\nordered = true\n[classes.reimbursement]\nwanted = \"1s\"\ndeadline = \"20s\"\n\
                       ordered = true\n";

/// Dispatchers that share a map, and the members that they deliver to.
struct Mesh {
    dir: PathBuf,
    /// Of each dispatcher: for RESP2, for the others, and for MQTT.
    ports: Vec<[SocketAddr; 3]>,
    up: Vec<Option<Dispatcher>>,
    notices: Notices,
}

impl Drop for Mesh {
    fn drop(&mut self) {
        self.up.clear();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Mesh {
    /// All tenants live at the first dispatcher.
    fn start(dispatchers: usize, tenants: &[&str], members: &[SocketAddr]) -> Mesh {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("lilacbank-moves-{}-{n}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).unwrap();
        let ports: Vec<_> = addresses(3 * dispatchers).chunks(3).map(|p| [p[0], p[1], p[2]]).collect();
        let notices = Notices::start().unwrap();
        let mut map = "map = \"m\"\nversion = 1\n".to_string();
        for (d, [resp, peer, mqtt]) in ports.iter().enumerate() {
            map += &format!("[dispatchers.n{d}]\npeer = \"{peer}\"\nresp = \"{resp}\"\nmqtt = \"{mqtt}\"\n");
        }
        let names = |all: &[&str]| all.iter().map(|t| format!("\"{t}\"")).collect::<Vec<_>>().join(", ");
        for d in 0..dispatchers {
            let (own, weight) = if d == 0 { (names(tenants), 1.0) } else { (String::new(), 0.0) };
            map +=
                &format!("[cells.c{d}]\ndispatchers = [\"n{d}\"]\ntenants = [{own}]\nweight = {weight:.1}\n");
            for m in 0..members.len() {
                map += &format!("[[cells.c{d}.members]]\nagreement = \"m{m}.toml\"\n");
            }
        }
        std::fs::write(dir.join("map.toml"), map).unwrap();
        for (m, address) in members.iter().enumerate() {
            let text = format!(
                "member = \"m{m}\"\ndestination = {m}\nkind = \"low-volume\"\nbuildings = [\"a\"]\n[[endpoints]]\nid = \"e{m}\"\n\
                 address = \"{address}\"\nbuilding = \"a\"\n[classes.status]\nrepeats = \"harmless\"\n[classes.approval]\n\
                 repeats = \"dropped\"\ndropped-in = \"building\"\ndropped-for = \"20s\"\n[classes.reimbursement]\n\
                 repeats = \"forbidden\"\n"
            );
            std::fs::write(dir.join(format!("m{m}.toml")), text).unwrap();
        }
        let mut mesh = Mesh { dir, ports, up: (0..dispatchers).map(|_| None).collect(), notices };
        for d in 0..dispatchers {
            let mut text = format!(
                "application = \"d{d}\"\nstate = \"{}\"\nbuilding = \"a\"\nnotices = \"{}\"\n[listen]\nresp = \"{}\"\nmqtt = \"{}\"\nmqtt-sessions = 16\n\
                 [mesh]\nmap = \"map.toml\"\ndispatcher = \"n{d}\"\n{CLASSES}[work]\nslots = 16\nheld = 160\n\
                 [process]\ndescriptors = 512\nmemory = \"64MiB\"\n",
                mesh.dir.join(format!("s{d}")).display(),
                mesh.notices.address,
                mesh.ports[d][0],
                mesh.ports[d][2]
            );
            tenants.iter().for_each(|t| text += &format!("[tenants.{t}]\n"));
            (0..members.len()).for_each(|m| text += &format!("[[uses]]\nagreement = \"m{m}.toml\"\n"));
            std::fs::write(mesh.dir.join(format!("d{d}.toml")), text).unwrap();
            let (toml, json) = (mesh.path(&format!("d{d}.toml")), mesh.path(&format!("d{d}.json")));
            let out = mesh.tool(&["app", "render", &toml, "-o", &json]);
            assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
        }
        (0..dispatchers).for_each(|d| mesh.serve(d));
        for t in tenants {
            mesh.phase(0, t, "settled");
        }
        mesh
    }

    fn path(&self, name: &str) -> String {
        self.dir.join(name).display().to_string()
    }

    fn tool(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_lilacbank")).args(args).output().unwrap()
    }

    fn serve(&mut self, d: usize) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lilacbank"));
        command.args(["serve", "--config", &self.path(&format!("d{d}.json"))]);
        command.env("RUST_LOG", std::env::var("MOVES_LOG").unwrap_or("info".into()));
        self.up[d] = Some(Dispatcher::spawn(&mut command, false));
    }

    fn kill(&mut self, d: usize) {
        self.up[d].take().unwrap().kill();
    }

    fn client(&self, d: usize) -> Client {
        self.up[d].as_ref().unwrap().client()
    }

    fn cell(&self, what: &str, tenant: &str, more: &[&str]) -> Output {
        let map = self.path("map.toml");
        self.tool(&[&["cell", what, "--map", &map, tenant], more].concat())
    }

    /// Phase, other side, epoch, messages held and still, and how long they stood, as one dispatcher tells.
    fn seat(&self, d: usize, tenant: &str) -> Option<(String, String, u64, u64, u64, u64)> {
        let map = self.path("map.toml");
        let out = self.tool(&["cell", "status", "--map", &map, tenant, "--format", "json"]);
        let text = String::from_utf8(out.stdout).unwrap();
        let all = text.lines().map(|l| serde_json::from_str::<serde_json::Value>(l).unwrap());
        let own = all.into_iter().find(|v| v["dispatcher"] == format!("n{d}"))?;
        let (text, n) = (|k: &str| own[k].as_str().unwrap().to_string(), |k: &str| own[k].as_u64().unwrap());
        Some((text("phase"), text("other"), n("epoch"), n("held"), n("still"), n("stood_ms")))
    }

    fn phase(&self, d: usize, tenant: &str, phase: &str) {
        until(&format!("{tenant} is {phase} at n{d}"), || self.seat(d, tenant).is_some_and(|s| s.0 == phase));
    }

    fn moved(&self, tenant: &str, to: usize) -> Output {
        self.cell("move", tenant, &["--to", &format!("n{to}"), "--wait", "14"])
    }
}

fn text(out: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr))
}

fn good(out: &Output) {
    assert!(out.status.success(), "{}", text(out));
}

fn options(class: &str, tenant: &str, left: u64) -> String {
    format!("c={class},t={tenant},d={left},dest=0,k=k")
}

/// Hands in under a key.
fn submit(c: &mut Client, key: u64, id: &str, options: &str) -> String {
    let words = ["SUBMIT", &format!("{key:016x}"), id, options, "x"];
    let mut bytes = format!("*{}\r\n", words.len());
    words.iter().for_each(|w| bytes += &format!("${}\r\n{w}\r\n", w.len()));
    c.send(bytes.as_bytes());
    c.line()
}

/// Traffic of several keys while tenants move and dispatchers are killed.
struct Storm {
    seed: u64,
    moves: usize,
    /// Of a hundred moves so many meet a kill of the source, the target or both.
    kills: u32,
    /// Messages a second of a class without order that one of the tenants sends beside its usual ones.
    flood: f64,
}

struct Outcome {
    audit: Audit,
    sent: Vec<Sent>,
    moved: usize,
    back: usize,
    killed: usize,
    stood: hdrhistogram::Histogram<u64>,
    /// Messages of the flood that were handed in, and how many of them were turned away.
    flood: (usize, usize),
}

/// A second of arrivals after another, until it is told to stop; every message goes to the dispatchers in turn.
fn flood(seed: u64, rate: f64, stop: &AtomicBool, resp: Vec<SocketAddr>) -> (usize, usize) {
    let second = Duration::from_secs(1);
    let (mut asked, mut away) = (0, 0);
    for n in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let stream = Stream {
            tenant: "acme".into(),
            class: "status".into(),
            dest: 0,
            rate,
            from: Duration::ZERO,
            until: second,
            wanted: second,
            deadline: 4 * second,
        };
        // Its ids are told apart from those of the ordered clients by the seed's second.
        let streams = vec![stream];
        let messages: Vec<Intended> = poisson(seed * 1_000 + n, &streams)
            .into_iter()
            .map(|i| Intended { number: i.number + (1_000 + n as usize) * 100_000, ..i })
            .collect();
        let resp = resp.clone();
        let route = Arc::new(move |_: &Stream, number: usize| resp[number % resp.len()]);
        let habits = Habits { connections: 48, again: 1, ..Habits::default() };
        let handed = drive(Instant::now(), &streams, &messages, route, &habits);
        asked += handed.len();
        away += handed.iter().filter(|h| h.door != Door::Taken).count();
    }
    (asked, away)
}

fn storm(s: &Storm) -> Outcome {
    let mut random = StdRng::seed_from_u64(s.seed);
    let manner = Manner { service: Duration::from_millis(12), at_once: 16, queue: 64 };
    let member = Endpoint::start(manner).unwrap();
    let tenants = ["acme", "bolt"];
    let mut mesh = Mesh::start(2, &tenants, &[member.address]);
    let resp: Vec<SocketAddr> = mesh.ports.iter().map(|p| p[0]).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..8u64)
        .map(|n| {
            let chain = Chain {
                key: n + 1,
                tenant: tenants[n as usize % 2].into(),
                class: if n % 4 < 2 { "reimbursement" } else { "approval" }.into(),
                dest: 0,
                gap: Duration::from_millis(15),
                deadline: Duration::from_secs(20),
            };
            let (resp, stop) = (resp.clone(), stop.clone());
            thread::spawn(move || run(&chain, &resp, &stop))
        })
        .collect();
    let flood = (s.flood > 0.0).then(|| {
        let (seed, rate, stop, resp) = (s.seed, s.flood, stop.clone(), resp.clone());
        thread::spawn(move || flood(seed, rate, &stop, resp))
    });
    thread::sleep(Duration::from_millis(300));
    let mut stood = hdrhistogram::Histogram::new_with_bounds(1, 60_000, 3).unwrap();
    let (mut moved, mut back, mut killed) = (0, 0, 0);
    let mut at = [0usize; 2];
    for n in 0..s.moves {
        let which = n % 2;
        let (from, to) = (at[which], 1 - at[which]);
        let map = mesh.path("map.toml");
        let (tenant, to_name) = (tenants[which], format!("n{to}"));
        let tool = thread::spawn(move || {
            let args = ["cell", "move", "--map", &map, tenant, "--to", &to_name, "--wait", "14"];
            Command::new(env!("CARGO_BIN_EXE_lilacbank")).args(args).output().unwrap()
        });
        if random.random_range(0..100) < s.kills {
            killed += 1;
            thread::sleep(Duration::from_millis(random.random_range(0..120)));
            let sides = [vec![from], vec![to], vec![from, to], vec![to, from]];
            let who = &sides[random.random_range(0..4)];
            who.iter().for_each(|d| mesh.kill(*d));
            thread::sleep(Duration::from_millis(random.random_range(0..200)));
            who.iter().for_each(|d| mesh.serve(*d));
        }
        let out = tool.join().unwrap();
        // Killed at its start, the wish may never have been heard: then the tenant stays. Either way it has one place.
        let mut place = None;
        until(&format!("{tenant} has a place after move {n}: {}", text(&out)), || {
            let seats = [mesh.seat(0, tenant), mesh.seat(1, tenant)];
            let settled = |d: usize| seats[d].as_ref().is_some_and(|s| s.0 == "settled");
            let away = |d: usize| seats[d].as_ref().is_some_and(|s| s.0 == "away");
            place = (0..2).find(|d| settled(*d) && away(1 - *d));
            place.is_some()
        });
        let place = place.unwrap();
        if place == to {
            moved += 1;
            // After a start the last move's time is not known any more.
            let took = mesh.seat(to, tenant).map_or(0, |s| s.5);
            if took > 0 {
                stood.record(took).unwrap();
            }
        } else {
            back += 1;
        }
        at[which] = place;
    }
    stop.store(true, Ordering::Relaxed);
    let flood = flood.map_or((0, 0), |f| f.join().unwrap());
    let sent: Vec<Sent> = clients.into_iter().flat_map(|c| c.join().unwrap()).collect();
    let once = |key: u64| (key - 1) % 4 < 2;
    let start = Instant::now();
    // Until all that was taken has an end, or longer than any of it may be delivered.
    while start.elapsed() < Duration::from_secs(25)
        && !audit(&sent, &member.effects(), &member.attempts(), &mesh.notices.lines(), once).lost.is_empty()
    {
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_millis(200));
    let audit = audit(&sent, &member.effects(), &member.attempts(), &mesh.notices.lines(), once);
    Outcome { audit, sent, moved, back, killed, stood, flood }
}

/// Guards against a message that is lost, doubled, out of order or told twice when its tenant moves.
#[test]
fn a_tenant_moves_in_traffic() {
    let o = storm(&Storm { seed: 1, moves: 6, kills: 0, flood: 0.0 });
    assert!(o.audit.is_clean(), "{:?}", o.audit);
    assert_eq!((o.moved, o.audit.told), (6, 0), "{:?}", o.audit);
    assert!(o.audit.delivered > 50 && o.sent.iter().all(|s| s.taken), "{:?}", o.audit);
}

/// Guards against the same when source and target are killed at any moment of it.
#[test]
fn a_tenant_moves_while_dispatchers_are_killed() {
    let o = storm(&Storm { seed: 2, moves: 10, kills: 100, flood: 0.0 });
    assert!(o.audit.is_clean(), "{:?}", o.audit);
    assert!(o.killed == 10 && o.audit.delivered > 50, "{:?}", o.audit);
}

/// Guards against a flood of the tenant that moves: it may neither break a rule nor hold the move up for ever.
#[test]
fn a_tenant_moves_while_it_floods() {
    let o = storm(&Storm { seed: 3, moves: 6, kills: 20, flood: 300.0 });
    assert!(o.audit.is_clean(), "{:?}", o.audit);
    assert!(o.moved >= 3 && o.flood.0 > 300, "{} moved, {:?}", o.moved, o.flood);
}

/// The figures of `docs/design/cells.md`: cargo test --release --test moves -- --ignored --nocapture
#[test]
#[ignore = "a measurement of several minutes"]
fn measure_a_hundred_moves_under_kills() {
    for (seed, kills, flood) in [(11, 0, 0.0), (12, 60, 0.0), (13, 100, 0.0), (14, 30, 400.0)] {
        let o = storm(&Storm { seed, moves: 100, kills, flood });
        let a = &o.audit;
        let door = o.sent.iter().map(|s| s.door).max().unwrap();
        println!(
            "seed {seed}: {} moves arrived, {} taken back or not begun, {} met a kill; {} messages taken, {} delivered, {} told; lost {}, \
             doubled {}, out of order {}, overlapping {}, told twice {}; stood still: p50 {} ms, p90 {} ms, p99 {} ms, most {} ms of {}; \
             longest at the door {} ms; flood {} asked, {} turned away",
            o.moved, o.back, o.killed, a.taken, a.delivered, a.told, a.lost.len(), a.doubled.len(), a.out_of_order.len(),
            a.overlapping.len(), a.told_twice.len(), o.stood.value_at_quantile(0.5), o.stood.value_at_quantile(0.9),
            o.stood.value_at_quantile(0.99), o.stood.max(), o.stood.len(), door.as_millis(), o.flood.0, o.flood.1
        );
        assert!(a.is_clean(), "{a:?}");
    }
}

fn silent_for(id: &'static str) -> Worker {
    const OK: Reply = Reply::Answer("200 OK");
    Worker::start(move |r, _| if r.header("x-txn") == id { Reply::Silence } else { OK })
}

/// The hard case of a silent member: a reimbursement is out, without an answer until its time is up. Its tenant moves all the
/// same; other keys are served at once, and what follows under its key waits until it must have ended.
#[test]
fn a_silent_member_holds_up_one_key_and_no_move() {
    let worker = silent_for("out");
    let mesh = Mesh::start(2, &["acme"], &[worker.address]);
    let mut c = mesh.client(0);
    assert_eq!(submit(&mut c, 7, "out", &options("reimbursement", "acme", 6_000)), "+OK");
    until("it is out", || worker.of("out") == 1);
    let begun = Instant::now();
    assert_eq!(
        submit(&mut c, 7, "next", &options("reimbursement", "acme", 19_000).replace("k=k", "k=n")),
        "+OK"
    );
    good(&mesh.moved("acme", 1));
    assert!(
        begun.elapsed() < Duration::from_secs(4),
        "the move waited for the member: {:?}",
        begun.elapsed()
    );
    // The old one tells where to go, and the new one serves other keys at once.
    let told = submit(&mut c, 8, "other", &options("reimbursement", "acme", 9_000).replace("k=k", "k=o"));
    assert_eq!(told, format!("-BUSY 1 MOVED n1 {}", mesh.ports[1][0]));
    let mut there = mesh.client(1);
    let other = options("reimbursement", "acme", 9_000).replace("k=k", "k=o");
    assert_eq!(submit(&mut there, 8, "other-2", &other), "+OK");
    until("the other key is served", || worker.of("other-2") == 1);
    assert_eq!(worker.of("next"), 0, "what follows the one that is out goes before it has ended");
    // Handed in again at the new place, under another id, it is known: it may be running.
    let again = submit(&mut there, 7, "out-2", &options("reimbursement", "acme", 9_000));
    assert!(again.starts_with("-ERR"), "{again}");
    until("the next one goes", || worker.of("next") == 1);
    assert!(begun.elapsed() >= Duration::from_millis(5_500), "it went after {:?}", begun.elapsed());
    until("its client hears", || mesh.notices.lines().iter().any(|l| l.contains("\"out\"")));
    assert_eq!((worker.of("out"), worker.of("out-2")), (1, 0));
    let lines = mesh.notices.lines();
    assert!(lines.len() == 1 && lines[0].contains("given_up"), "{lines:?}");
}

/// The hard case of a target that never comes back: the source takes the tenant back by itself, in time for its messages.
#[test]
fn a_target_that_is_gone_gets_nothing() {
    let worker = Worker::start(|_, _| Reply::Answer("200 OK"));
    let mut mesh = Mesh::start(2, &["acme"], &[worker.address]);
    mesh.kill(1);
    let begun = Instant::now();
    let tool = {
        let map = mesh.path("map.toml");
        thread::spawn(move || {
            let args = ["cell", "move", "--map", &map, "acme", "--to", "n1", "--wait", "14"];
            Command::new(env!("CARGO_BIN_EXE_lilacbank")).args(args).output().unwrap()
        })
    };
    until("the move is under way", || mesh.seat(0, "acme").is_some_and(|s| s.0 != "settled"));
    let mut c = mesh.client(0);
    let busy = submit(&mut c, 7, "a", &options("approval", "acme", 9_000));
    assert!(busy.starts_with("-BUSY 100"), "{busy}");
    let out = tool.join().unwrap();
    assert_eq!(out.status.code(), Some(1), "{}", text(&out));
    assert!(text(&out).contains("taken back"), "{}", text(&out));
    assert!(begun.elapsed() < Duration::from_secs(12), "{:?}", begun.elapsed());
    mesh.phase(0, "acme", "settled");
    assert_eq!(submit(&mut c, 7, "b", &options("approval", "acme", 9_000)), "+OK");
    until("it is delivered here", || worker.of("b") == 1);
    // Its epoch is used up: the target learns nothing of it when it comes back, and the next move goes through.
    mesh.serve(1);
    good(&mesh.moved("acme", 1));
    assert_eq!(mesh.seat(1, "acme").map(|s| s.2), Some(3));
}

/// The hard cases of a target that restarts in the middle, of a move that is taken back, of one that is refused, and of a
/// move back and forth.
#[test]
fn moves_that_are_interrupted_taken_back_or_wrong() {
    let worker = silent_for("out");
    let mut mesh = Mesh::start(2, &["acme"], &[worker.address]);
    for (args, why) in [
        (["acme", "--to", "n0"], "there already"),
        (["acme", "--to", "n7"], "no dispatcher 'n7'"),
        (["nobody", "--to", "n1"], "no dispatcher serves 'nobody'"),
    ] {
        let out = mesh.cell("move", args[0], &args[1..]);
        assert!(out.status.code() == Some(1) && text(&out).contains(why), "{}", text(&out));
    }
    let out = mesh.cell("abort", "acme", &[]);
    assert!(out.status.code() == Some(1), "nothing is under way: {}", text(&out));
    // What is out keeps it draining for a moment, in which it is taken back.
    let mut c = mesh.client(0);
    assert_eq!(submit(&mut c, 7, "out", &options("approval", "acme", 3_000)), "+OK");
    until("it is out", || worker.of("out") >= 1);
    mesh.kill(1);
    let map = mesh.path("map.toml");
    let tool = thread::spawn(move || {
        let args = ["cell", "move", "--map", &map, "acme", "--to", "n1", "--wait", "14"];
        Command::new(env!("CARGO_BIN_EXE_lilacbank")).args(args).output().unwrap()
    });
    until("the move is under way", || mesh.seat(0, "acme").is_some_and(|s| s.0 != "settled"));
    good(&mesh.cell("abort", "acme", &[]));
    assert_eq!(tool.join().unwrap().status.code(), Some(1));
    mesh.phase(0, "acme", "settled");
    // The target restarts in the middle.
    let map = mesh.path("map.toml");
    let tool = thread::spawn(move || {
        let args = ["cell", "move", "--map", &map, "acme", "--to", "n1", "--wait", "14"];
        Command::new(env!("CARGO_BIN_EXE_lilacbank")).args(args).output().unwrap()
    });
    until("it is offered", || mesh.seat(0, "acme").is_some_and(|s| s.0 == "offered"));
    mesh.serve(1);
    good(&tool.join().unwrap());
    good(&mesh.moved("acme", 0));
    good(&mesh.moved("acme", 1));
    mesh.phase(1, "acme", "settled");
    mesh.phase(0, "acme", "away");
    assert_eq!(submit(&mut mesh.client(1), 9, "last", &options("approval", "acme", 9_000)), "+OK");
    until("it is delivered", || worker.of("last") == 1);
}

/// The hard case of a cell whose only dispatcher dies: its tenants wait for it, and those of others feel nothing. What it had
/// taken on ends once it is back; a tenant that it had moved away is served all along.
#[test]
fn a_cell_without_its_dispatcher_leaves_others_alone() {
    let worker = Worker::start(|_, _| Reply::Answer("200 OK"));
    let mut mesh = Mesh::start(2, &["acme", "bolt"], &[worker.address]);
    good(&mesh.moved("bolt", 1));
    mesh.kill(0);
    let out = mesh.cell("status", "acme", &[]);
    assert_eq!(out.status.code(), Some(2), "{}", text(&out));
    let named = format!("n0 at {}", mesh.ports[0][1]);
    assert!(text(&out).contains(&named), "the one that does not answer is named: {}", text(&out));
    let mut c = mesh.client(1);
    let told = submit(&mut c, 7, "a", &options("approval", "acme", 9_000));
    assert_eq!(told, format!("-BUSY 1 MOVED n0 {}", mesh.ports[0][0]));
    for n in 0..20 {
        assert_eq!(submit(&mut c, 8, &format!("b{n}"), &options("approval", "bolt", 9_000)), "+OK");
    }
    until("the other cell is served", || worker.of("b19") == 1);
    let out = mesh.cell("move", "acme", &["--to", "n1"]);
    assert!(out.status.code() == Some(2), "its journal is where it was: {}", text(&out));
    mesh.serve(0);
    mesh.phase(0, "acme", "settled");
    mesh.phase(1, "bolt", "settled");
    assert_eq!(submit(&mut mesh.client(0), 7, "a2", &options("approval", "acme", 9_000)), "+OK");
    until("it is served again", || worker.of("a2") == 1);
}

/// Guards against an MQTT client that is told nothing of where its tenant went, and against the answer to a message that moved
/// being lost with its session.
#[test]
fn an_mqtt_client_follows_its_tenant_and_gets_its_answers_there() {
    const OK: Reply = Reply::Answer("200 OK");
    let worker =
        Worker::start(|r, nth| if r.header("x-txn") == "m2" && nth < 2 { Reply::Silence } else { OK });
    let mesh = Mesh::start(2, &["acme"], &[worker.address]);
    let mut c = MqttClient::connect(mesh.ports[0][2], "bank-1");
    let user = |k: &str| format!("class=approval,dest=0,tenant=acme,idempotency-key={k},key=07");
    c.submit("m1", &user("a"), 9);
    assert_eq!(c.outcome("m1"), "delivered");
    c.submit("m2", &user("b"), 9);
    until("it is out", || worker.of("m2") == 1);
    good(&mesh.moved("acme", 1));
    c.submit("m3", &user("c"), 9);
    assert_eq!(c.outcome("m3"), "handed_back");
    let told = c.answers.lock().unwrap().iter().find(|a| a.correlation == b"m3").cloned().unwrap();
    assert_eq!((told.get("moved-to"), told.get("retry-in-ms")), ("n1", "1"));
    let there: SocketAddr = told.get("server-reference").parse().unwrap();
    assert_eq!(there, mesh.ports[1][2]);
    c.reconnect(there);
    c.submit("m4", &user("c"), 9);
    assert_eq!(c.outcome("m4"), "delivered");
    assert_eq!(c.outcome("m2"), "delivered", "what moved is answered where it went");
    assert_eq!((c.outcomes("m2").len(), worker.of("m2")), (1, 2));
}
