//! Tenant moves between dispatchers of the built program: under traffic, while dispatchers are killed, and
//! when a target or a destination fails.

mod stand;
#[path = "stand/mqtt.rs"]
mod stand_mqtt;

use lilacbank_load::arrivals::{poisson_arrivals, PlannedMessage, Stream};
use lilacbank_load::client::{run_open_loop, Admission, ClientConfig};
use lilacbank_load::keyed::{audit, run_ordered_client, Audit, OrderedClient, SubmittedMessage};
use lilacbank_load::member::{Endpoint, EndpointConfig, NoticeReceiver};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use stand::{unused_addresses, wait_until, Client, Dispatcher, EndpointStandIn, Reply, TEST_TIMEOUT};
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

/// Dispatchers that share a cell map, and their files.
struct Installation {
    dir: PathBuf,
    /// Addresses of each dispatcher: for RESP2, for peers and for MQTT.
    addresses: Vec<[SocketAddr; 3]>,
    running: Vec<Option<Dispatcher>>,
    notices: NoticeReceiver,
}

impl Drop for Installation {
    fn drop(&mut self) {
        self.running.clear();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Installation {
    /// Starts the dispatchers; the first one owns all tenants.
    fn start(dispatchers: usize, tenants: &[&str], members: &[SocketAddr]) -> Installation {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("lilacbank-moves-{}-{n}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).unwrap();
        let own_addresses: Vec<_> =
            unused_addresses(3 * dispatchers).chunks(3).map(|p| [p[0], p[1], p[2]]).collect();
        let notices = NoticeReceiver::start().unwrap();
        let mut map = "map = \"m\"\nversion = 1\n".to_string();
        for (d, [resp, peer, mqtt]) in own_addresses.iter().enumerate() {
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
        let mut installation = Installation {
            dir,
            addresses: own_addresses,
            running: (0..dispatchers).map(|_| None).collect(),
            notices,
        };
        for d in 0..dispatchers {
            let mut text = format!(
                "application = \"d{d}\"\nstate = \"{}\"\nbuilding = \"a\"\nnotices = \"{}\"\n[listen]\nresp = \"{}\"\nmqtt = \"{}\"\nmqtt-sessions = 16\n\
                 [mesh]\nmap = \"map.toml\"\ndispatcher = \"n{d}\"\n{CLASSES}[work]\nslots = 16\nheld = 160\n\
                 [process]\ndescriptors = 512\nmemory = \"64MiB\"\n",
                installation.dir.join(format!("s{d}")).display(),
                installation.notices.address,
                installation.addresses[d][0],
                installation.addresses[d][2]
            );
            tenants.iter().for_each(|t| text += &format!("[tenants.{t}]\n"));
            (0..members.len()).for_each(|m| text += &format!("[[uses]]\nagreement = \"m{m}.toml\"\n"));
            std::fs::write(installation.dir.join(format!("d{d}.toml")), text).unwrap();
            let (toml, json) =
                (installation.path(&format!("d{d}.toml")), installation.path(&format!("d{d}.json")));
            let out = installation.tool(&["app", "render", &toml, "-o", &json]);
            assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
        }
        (0..dispatchers).for_each(|d| installation.start_dispatcher(d));
        for t in tenants {
            installation.wait_for_phase(0, t, "settled");
        }
        installation
    }

    fn path(&self, name: &str) -> String {
        self.dir.join(name).display().to_string()
    }

    /// Runs the program with these arguments.
    fn tool(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_lilacbank")).args(args).output().unwrap()
    }

    fn start_dispatcher(&mut self, d: usize) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lilacbank"));
        command.args(["serve", "--config", &self.path(&format!("d{d}.json"))]);
        command.env("RUST_LOG", std::env::var("MOVES_LOG").unwrap_or("info".into()));
        self.running[d] = Some(Dispatcher::spawn(&mut command, false));
    }

    fn kill(&mut self, d: usize) {
        self.running[d].take().unwrap().kill();
    }

    fn client(&self, d: usize) -> Client {
        self.running[d].as_ref().unwrap().client()
    }

    /// Runs `lilacbank cell COMMAND` for a tenant, with more arguments.
    fn cell(&self, command: &str, tenant: &str, more: &[&str]) -> Output {
        let map = self.path("map.toml");
        self.tool(&[&["cell", command, "--map", &map, tenant], more].concat())
    }

    /// A tenant's ownership as one dispatcher reports it: phase, other dispatcher, epoch, the counts `held`
    /// and `still`, and `stood_ms`, how long the tenant was not served during its last move.
    fn ownership(&self, d: usize, tenant: &str) -> Option<(String, String, u64, u64, u64, u64)> {
        let map = self.path("map.toml");
        let out = self.tool(&["cell", "status", "--map", &map, tenant, "--format", "json"]);
        let text = String::from_utf8(out.stdout).unwrap();
        let all = text.lines().map(|l| serde_json::from_str::<serde_json::Value>(l).unwrap());
        let own = all.into_iter().find(|v| v["dispatcher"] == format!("n{d}"))?;
        let (string, number) =
            (|k: &str| own[k].as_str().unwrap().to_string(), |k: &str| own[k].as_u64().unwrap());
        Some((
            string("phase"),
            string("other"),
            number("epoch"),
            number("held"),
            number("still"),
            number("stood_ms"),
        ))
    }

    /// Waits until a dispatcher reports this phase of a tenant.
    fn wait_for_phase(&self, d: usize, tenant: &str, phase: &str) {
        wait_until(&format!("{tenant} is {phase} at n{d}"), || {
            self.ownership(d, tenant).is_some_and(|s| s.0 == phase)
        });
    }

    /// Runs `cell move` and waits up to 14 s for the move to end.
    fn move_tenant(&self, tenant: &str, to: usize) -> Output {
        self.cell("move", tenant, &["--to", &format!("n{to}"), "--wait", "14"])
    }
}

/// Standard output and standard error of a command.
fn output_text(out: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr))
}

fn assert_success(out: &Output) {
    assert!(out.status.success(), "{}", output_text(out));
}

fn options(class: &str, tenant: &str, left: u64) -> String {
    format!("c={class},t={tenant},d={left},dest=0,k=k")
}

/// Submits a message with an ordering key.
fn submit(c: &mut Client, key: u64, id: &str, options: &str) -> String {
    let parts = ["SUBMIT", &format!("{key:016x}"), id, options, "x"];
    let mut bytes = format!("*{}\r\n", parts.len());
    parts.iter().for_each(|w| bytes += &format!("${}\r\n{w}\r\n", w.len()));
    c.send(bytes.as_bytes());
    c.read_line()
}

/// A scenario: traffic of several keys while tenants move and dispatchers are killed.
struct Scenario {
    seed: u64,
    moves: usize,
    /// Percentage of the moves during which the source, the target or both are killed.
    kills: u32,
    /// Messages per second of a class without order that one of the tenants sends in addition to its usual
    /// ones.
    flood: f64,
}

/// The results of a scenario.
struct Results {
    audit: Audit,
    sent: Vec<SubmittedMessage>,
    /// Number of moves that reached the target.
    moved: usize,
    /// Number of moves that were undone or never began.
    not_moved: usize,
    /// Number of moves during which a dispatcher was killed.
    killed: usize,
    /// How long tenants were not served during a move, in milliseconds.
    pauses: hdrhistogram::Histogram<u64>,
    /// Messages of the flood that were submitted, and how many of them were rejected.
    flood: (usize, usize),
}

/// Generates arrivals second by second until `stop` is set; messages go to the dispatchers in turn. Returns
/// how many messages were submitted and how many of them were not accepted.
fn flood(seed: u64, rate: f64, stop: &AtomicBool, resp: Vec<SocketAddr>) -> (usize, usize) {
    let second = Duration::from_secs(1);
    let (mut submitted, mut rejected) = (0, 0);
    for n in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let stream = Stream {
            tenant: "acme".into(),
            class: "status".into(),
            destination: 0,
            messages_per_second: rate,
            from: Duration::ZERO,
            until: second,
            full_worth_within: second,
            deadline: 4 * second,
        };
        // The offset by the number of the second keeps the ids distinct from those of the ordered clients.
        let streams = vec![stream];
        let messages: Vec<PlannedMessage> = poisson_arrivals(seed * 1_000 + n, &streams)
            .into_iter()
            .map(|i| PlannedMessage { index: i.index + (1_000 + n as usize) * 100_000, ..i })
            .collect();
        let resp = resp.clone();
        let route = Arc::new(move |_: &Stream, number: usize| resp[number % resp.len()]);
        let habits = ClientConfig { connections: 48, max_resubmissions: 1, ..ClientConfig::default() };
        let handed = run_open_loop(Instant::now(), &streams, &messages, route, &habits);
        submitted += handed.len();
        rejected += handed.iter().filter(|h| h.admission != Admission::Accepted).count();
    }
    (submitted, rejected)
}

fn run_scenario(s: &Scenario) -> Results {
    let mut random = StdRng::seed_from_u64(s.seed);
    let manner =
        EndpointConfig { service_time: Duration::from_millis(12), concurrency: 16, queue_capacity: 64 };
    let member = Endpoint::start(manner).unwrap();
    let tenants = ["acme", "bolt"];
    let mut installation = Installation::start(2, &tenants, &[member.address]);
    let resp: Vec<SocketAddr> = installation.addresses.iter().map(|p| p[0]).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..8u64)
        .map(|n| {
            let chain = OrderedClient {
                key: n + 1,
                tenant: tenants[n as usize % 2].into(),
                class: if n % 4 < 2 { "reimbursement" } else { "approval" }.into(),
                destination: 0,
                pause: Duration::from_millis(15),
                deadline: Duration::from_secs(20),
            };
            let (resp, stop) = (resp.clone(), stop.clone());
            thread::spawn(move || run_ordered_client(&chain, &resp, &stop))
        })
        .collect();
    let flood = (s.flood > 0.0).then(|| {
        let (seed, rate, stop, resp) = (s.seed, s.flood, stop.clone(), resp.clone());
        thread::spawn(move || flood(seed, rate, &stop, resp))
    });
    thread::sleep(Duration::from_millis(300));
    let mut pauses = hdrhistogram::Histogram::new_with_bounds(1, 60_000, 3).unwrap();
    let (mut moved, mut not_moved, mut killed) = (0, 0, 0);
    let mut owners = [0usize; 2];
    for n in 0..s.moves {
        let which = n % 2;
        let (from, to) = (owners[which], 1 - owners[which]);
        let map = installation.path("map.toml");
        let (tenant, to_name) = (tenants[which], format!("n{to}"));
        let tool = thread::spawn(move || {
            let args = ["cell", "move", "--map", &map, tenant, "--to", &to_name, "--wait", "14"];
            Command::new(env!("CARGO_BIN_EXE_lilacbank")).args(args).output().unwrap()
        });
        if random.random_range(0..100) < s.kills {
            killed += 1;
            thread::sleep(Duration::from_millis(random.random_range(0..120)));
            let sides = [vec![from], vec![to], vec![from, to], vec![to, from]];
            let victims = &sides[random.random_range(0..4)];
            victims.iter().for_each(|d| installation.kill(*d));
            thread::sleep(Duration::from_millis(random.random_range(0..200)));
            victims.iter().for_each(|d| installation.start_dispatcher(*d));
        }
        let out = tool.join().unwrap();
        // If the dispatcher was killed at the start, it may never have received the request, and the tenant
        // stays. In either case exactly one dispatcher owns it.
        let mut owner = None;
        wait_until(&format!("{tenant} has one owner after move {n}: {}", output_text(&out)), || {
            let ownership = [installation.ownership(0, tenant), installation.ownership(1, tenant)];
            let settled = |d: usize| ownership[d].as_ref().is_some_and(|s| s.0 == "settled");
            let away = |d: usize| ownership[d].as_ref().is_some_and(|s| s.0 == "away");
            owner = (0..2).find(|d| settled(*d) && away(1 - *d));
            owner.is_some()
        });
        let owner = owner.unwrap();
        if owner == to {
            moved += 1;
            // A dispatcher that restarted no longer knows the time of the last move, and reports 0.
            let pause = installation.ownership(to, tenant).map_or(0, |s| s.5);
            if pause > 0 {
                pauses.record(pause).unwrap();
            }
        } else {
            not_moved += 1;
        }
        owners[which] = owner;
    }
    stop.store(true, Ordering::Relaxed);
    let flood = flood.map_or((0, 0), |f| f.join().unwrap());
    let sent: Vec<SubmittedMessage> = clients.into_iter().flat_map(|c| c.join().unwrap()).collect();
    let at_most_once = |key: u64| (key - 1) % 4 < 2;
    let start = Instant::now();
    // Waits until every accepted message has ended, or until after the last deadline.
    while start.elapsed() < Duration::from_secs(25)
        && !audit(&sent, &member.effects(), &member.attempts(), &installation.notices.lines(), at_most_once)
            .lost
            .is_empty()
    {
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_millis(200));
    let audit =
        audit(&sent, &member.effects(), &member.attempts(), &installation.notices.lines(), at_most_once);
    Results { audit, sent, moved, not_moved, killed, pauses, flood }
}

/// Guards against a message that is lost, duplicated, out of order or answered twice when its tenant moves.
#[test]
fn a_tenant_that_moves_under_traffic_loses_and_repeats_nothing() {
    let o = run_scenario(&Scenario { seed: 1, moves: 6, kills: 0, flood: 0.0 });
    assert!(o.audit.is_clean(), "{:?}", o.audit);
    assert_eq!((o.moved, o.audit.notified), (6, 0), "{:?}", o.audit);
    assert!(o.audit.delivered > 50 && o.sent.iter().all(|s| s.accepted), "{:?}", o.audit);
}

/// Guards against a message that is lost, duplicated, out of order or answered twice when source and target
/// are killed at any moment of a move.
#[test]
fn a_tenant_that_moves_while_dispatchers_are_killed_loses_and_repeats_nothing() {
    let o = run_scenario(&Scenario { seed: 2, moves: 10, kills: 100, flood: 0.0 });
    assert!(o.audit.is_clean(), "{:?}", o.audit);
    assert!(o.killed == 10 && o.audit.delivered > 50, "{:?}", o.audit);
}

/// Guards against a flood of messages of the moving tenant: it must neither break a rule nor delay the move
/// without end.
#[test]
fn a_tenant_that_floods_its_dispatcher_can_still_be_moved() {
    let o = run_scenario(&Scenario { seed: 3, moves: 6, kills: 20, flood: 300.0 });
    assert!(o.audit.is_clean(), "{:?}", o.audit);
    assert!(o.moved >= 3 && o.flood.0 > 300, "{} moved, {:?}", o.moved, o.flood);
}

/// Measures the figures of `docs/design/cells.md`: cargo test --release --test moves -- --ignored --nocapture
#[test]
#[ignore = "a measurement of several minutes"]
fn measure_a_hundred_moves_under_kills() {
    for (seed, kills, flood) in [(11, 0, 0.0), (12, 60, 0.0), (13, 100, 0.0), (14, 30, 400.0)] {
        let o = run_scenario(&Scenario { seed, moves: 100, kills, flood });
        let a = &o.audit;
        let longest = o.sent.iter().map(|s| s.answer_time).max().unwrap();
        println!(
            "seed {seed}: {} moves completed, {} undone or not begun, {} with a kill; {} messages accepted, {} delivered, {} answered by notice; lost {}, \
             duplicated {}, out of order {}, overlapping {}, answered twice {}; pause of the tenant: p50 {} ms, p90 {} ms, p99 {} ms, \
             maximum {} ms of {}; longest submission {} ms; flood {} submitted, {} rejected",
            o.moved, o.not_moved, o.killed, a.accepted, a.delivered, a.notified, a.lost.len(), a.repeated_effects.len(), a.out_of_order.len(),
            a.overlapping.len(), a.conflicting_answers.len(), o.pauses.value_at_quantile(0.5), o.pauses.value_at_quantile(0.9),
            o.pauses.value_at_quantile(0.99), o.pauses.max(), o.pauses.len(), longest.as_millis(), o.flood.0, o.flood.1
        );
        assert!(a.is_clean(), "{a:?}");
    }
}

/// An endpoint that never answers the message with this id and accepts all others.
fn silent_for(id: &'static str) -> EndpointStandIn {
    const OK: Reply = Reply::Answer("200 OK");
    EndpointStandIn::start(move |r, _| if r.header("x-txn") == id { Reply::NoAnswer } else { OK })
}

/// Guards against a destination that does not answer delaying a move, and against a later message of the key
/// overtaking the one without an answer. An at-most-once message stays outstanding until its deadline; its
/// tenant moves meanwhile, other keys are served at once, and the next message of its key waits until the
/// attempt must have ended.
#[test]
fn a_silent_destination_delays_one_key_and_no_move() {
    let endpoint = silent_for("out");
    let installation = Installation::start(2, &["acme"], &[endpoint.address]);
    let mut c = installation.client(0);
    assert_eq!(submit(&mut c, 7, "out", &options("reimbursement", "acme", 6_000)), "+OK");
    wait_until("the attempt is outstanding", || endpoint.calls_of("out") == 1);
    let begun = Instant::now();
    assert_eq!(
        submit(&mut c, 7, "next", &options("reimbursement", "acme", 19_000).replace("k=k", "k=n")),
        "+OK"
    );
    assert_success(&installation.move_tenant("acme", 1));
    assert!(
        begun.elapsed() < Duration::from_secs(4),
        "the move waited for the destination: {:?}",
        begun.elapsed()
    );
    // The old dispatcher names the new one, which serves other keys at once.
    let answer = submit(&mut c, 8, "other", &options("reimbursement", "acme", 9_000).replace("k=k", "k=o"));
    assert_eq!(answer, format!("-BUSY 1 MOVED n1 {}", installation.addresses[1][0]));
    let mut new_client = installation.client(1);
    let other = options("reimbursement", "acme", 9_000).replace("k=k", "k=o");
    assert_eq!(submit(&mut new_client, 8, "other-2", &other), "+OK");
    wait_until("the other key is served", || endpoint.calls_of("other-2") == 1);
    assert_eq!(
        endpoint.calls_of("next"),
        0,
        "the next message of the key was sent before the outstanding attempt had ended"
    );
    // Submitted again to the new dispatcher under another id, the message is recognised and rejected: it may
    // still run.
    let again = submit(&mut new_client, 7, "out-2", &options("reimbursement", "acme", 9_000));
    assert!(again.starts_with("-ERR"), "{again}");
    wait_until("the next message of the key is sent", || endpoint.calls_of("next") == 1);
    assert!(begun.elapsed() >= Duration::from_millis(5_500), "it was sent after {:?}", begun.elapsed());
    wait_until("the client gets the notice", || {
        installation.notices.lines().iter().any(|l| l.contains("\"out\""))
    });
    assert_eq!((endpoint.calls_of("out"), endpoint.calls_of("out-2")), (1, 0));
    let lines = installation.notices.lines();
    assert!(lines.len() == 1 && lines[0].contains("given_up"), "{lines:?}");
}

/// Guards against a tenant that stays unserved when the target of its move does not return: the source ends
/// the move by itself, early enough for the tenant's messages.
#[test]
fn a_move_to_a_target_that_is_down_is_undone_by_the_source() {
    let endpoint = EndpointStandIn::start(|_, _| Reply::Answer("200 OK"));
    let mut installation = Installation::start(2, &["acme"], &[endpoint.address]);
    installation.kill(1);
    let begun = Instant::now();
    let tool = {
        let map = installation.path("map.toml");
        thread::spawn(move || {
            let args = ["cell", "move", "--map", &map, "acme", "--to", "n1", "--wait", "14"];
            Command::new(env!("CARGO_BIN_EXE_lilacbank")).args(args).output().unwrap()
        })
    };
    wait_until("the move is under way", || {
        installation.ownership(0, "acme").is_some_and(|s| s.0 != "settled")
    });
    let mut c = installation.client(0);
    let busy = submit(&mut c, 7, "a", &options("approval", "acme", 9_000));
    assert!(busy.starts_with("-BUSY 100"), "{busy}");
    let out = tool.join().unwrap();
    assert_eq!(out.status.code(), Some(1), "{}", output_text(&out));
    assert!(output_text(&out).contains("taken back"), "{}", output_text(&out));
    assert!(begun.elapsed() < Duration::from_secs(12), "{:?}", begun.elapsed());
    installation.wait_for_phase(0, "acme", "settled");
    assert_eq!(submit(&mut c, 7, "b", &options("approval", "acme", 9_000)), "+OK");
    wait_until("it is delivered by the source", || endpoint.calls_of("b") == 1);
    // The epoch of the undone move is used up. The target, once back, learns nothing of that move, and the
    // next one succeeds.
    installation.start_dispatcher(1);
    assert_success(&installation.move_tenant("acme", 1));
    assert_eq!(installation.ownership(1, "acme").map(|s| s.2), Some(3));
}

/// Guards against a tenant that is stuck after a wrong request, after a move that is aborted while it drains,
/// or after a target that restarts during a move; moves back and forth succeed after each.
#[test]
fn wrong_aborted_and_interrupted_moves_leave_the_tenant_movable() {
    let endpoint = silent_for("out");
    let mut installation = Installation::start(2, &["acme"], &[endpoint.address]);
    for (args, why) in [
        (["acme", "--to", "n0"], "there already"),
        (["acme", "--to", "n7"], "no dispatcher 'n7'"),
        (["nobody", "--to", "n1"], "no dispatcher serves 'nobody'"),
    ] {
        let out = installation.cell("move", args[0], &args[1..]);
        assert!(out.status.code() == Some(1) && output_text(&out).contains(why), "{}", output_text(&out));
    }
    let out = installation.cell("abort", "acme", &[]);
    assert!(out.status.code() == Some(1), "nothing is under way: {}", output_text(&out));
    // The outstanding attempt keeps the tenant draining for a moment, in which the move is aborted.
    let mut c = installation.client(0);
    assert_eq!(submit(&mut c, 7, "out", &options("approval", "acme", 3_000)), "+OK");
    wait_until("the attempt is outstanding", || endpoint.calls_of("out") >= 1);
    installation.kill(1);
    let map = installation.path("map.toml");
    let tool = thread::spawn(move || {
        let args = ["cell", "move", "--map", &map, "acme", "--to", "n1", "--wait", "14"];
        Command::new(env!("CARGO_BIN_EXE_lilacbank")).args(args).output().unwrap()
    });
    wait_until("the move is under way", || {
        installation.ownership(0, "acme").is_some_and(|s| s.0 != "settled")
    });
    assert_success(&installation.cell("abort", "acme", &[]));
    assert_eq!(tool.join().unwrap().status.code(), Some(1));
    installation.wait_for_phase(0, "acme", "settled");
    // The target restarts during the move.
    let map = installation.path("map.toml");
    let tool = thread::spawn(move || {
        let args = ["cell", "move", "--map", &map, "acme", "--to", "n1", "--wait", "14"];
        Command::new(env!("CARGO_BIN_EXE_lilacbank")).args(args).output().unwrap()
    });
    wait_until("the tenant is offered", || {
        installation.ownership(0, "acme").is_some_and(|s| s.0 == "offered")
    });
    installation.start_dispatcher(1);
    assert_success(&tool.join().unwrap());
    assert_success(&installation.move_tenant("acme", 0));
    assert_success(&installation.move_tenant("acme", 1));
    installation.wait_for_phase(1, "acme", "settled");
    installation.wait_for_phase(0, "acme", "away");
    assert_eq!(submit(&mut installation.client(1), 9, "last", &options("approval", "acme", 9_000)), "+OK");
    wait_until("it is delivered", || endpoint.calls_of("last") == 1);
}

/// Guards against a dispatcher that is down affecting tenants of other cells. Its own tenants wait until it
/// is back and are served by no other dispatcher; a tenant that moved away before is served all the time.
#[test]
fn a_cell_without_its_dispatcher_affects_no_other_cell() {
    let endpoint = EndpointStandIn::start(|_, _| Reply::Answer("200 OK"));
    let mut installation = Installation::start(2, &["acme", "bolt"], &[endpoint.address]);
    assert_success(&installation.move_tenant("bolt", 1));
    installation.kill(0);
    let out = installation.cell("status", "acme", &[]);
    assert_eq!(out.status.code(), Some(2), "{}", output_text(&out));
    let named = format!("n0 at {}", installation.addresses[0][1]);
    assert!(
        output_text(&out).contains(&named),
        "the dispatcher that does not answer is named: {}",
        output_text(&out)
    );
    let mut c = installation.client(1);
    let answer = submit(&mut c, 7, "a", &options("approval", "acme", 9_000));
    assert_eq!(answer, format!("-BUSY 1 MOVED n0 {}", installation.addresses[0][0]));
    for n in 0..20 {
        assert_eq!(submit(&mut c, 8, &format!("b{n}"), &options("approval", "bolt", 9_000)), "+OK");
    }
    wait_until("the other cell is served", || endpoint.calls_of("b19") == 1);
    let out = installation.cell("move", "acme", &["--to", "n1"]);
    assert!(
        out.status.code() == Some(2),
        "a tenant whose journal is on a dispatcher that is down cannot be moved: {}",
        output_text(&out)
    );
    installation.start_dispatcher(0);
    installation.wait_for_phase(0, "acme", "settled");
    installation.wait_for_phase(1, "bolt", "settled");
    assert_eq!(submit(&mut installation.client(0), 7, "a2", &options("approval", "acme", 9_000)), "+OK");
    wait_until("its tenants are served again", || endpoint.calls_of("a2") == 1);
}

/// Guards against an MQTT client that does not learn where its tenant moved, and against the final answer to
/// a moved message being lost with the session.
#[test]
fn an_mqtt_client_follows_its_tenant_and_gets_its_answers_from_the_new_dispatcher() {
    const OK: Reply = Reply::Answer("200 OK");
    let endpoint =
        EndpointStandIn::start(
            |r, nth| if r.header("x-txn") == "m2" && nth < 2 { Reply::NoAnswer } else { OK },
        );
    let installation = Installation::start(2, &["acme"], &[endpoint.address]);
    let mut c = MqttClient::connect(installation.addresses[0][2], "bank-1");
    let user = |k: &str| format!("class=approval,dest=0,tenant=acme,idempotency-key={k},key=07");
    c.submit("m1", &user("a"), 9);
    assert_eq!(c.wait_for_outcome("m1"), "delivered");
    c.submit("m2", &user("b"), 9);
    wait_until("the attempt is outstanding", || endpoint.calls_of("m2") == 1);
    assert_success(&installation.move_tenant("acme", 1));
    c.submit("m3", &user("c"), 9);
    assert_eq!(c.wait_for_outcome("m3"), "handed_back");
    let answer = c.answers.lock().unwrap().iter().find(|a| a.correlation == b"m3").cloned().unwrap();
    assert_eq!((answer.user_property("moved-to"), answer.user_property("retry-in-ms")), ("n1", "1"));
    let new_address: SocketAddr = answer.user_property("server-reference").parse().unwrap();
    assert_eq!(new_address, installation.addresses[1][2]);
    c.reconnect(new_address);
    c.submit("m4", &user("c"), 9);
    assert_eq!(c.wait_for_outcome("m4"), "delivered");
    assert_eq!(c.wait_for_outcome("m2"), "delivered", "the new dispatcher answers the moved message");
    assert_eq!((c.outcomes("m2").len(), endpoint.calls_of("m2")), (1, 2));
}
