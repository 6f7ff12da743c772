//! Copies among dispatchers: three and five processes of the program with a fault proxy on each path between them.

mod stand;
use lilacbank_rig::{Fault, Proxy};
use stand::*;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Dispatchers that keep copies for each other, each with a proxy of its own to each other one, to the worker and to its
/// registry.
struct Mates {
    sites: Vec<Site>,
    listens: Vec<SocketAddr>,
    /// By who connects to whom.
    paths: Vec<Vec<Proxy>>,
    /// More keys of `[replication]`, and other tables of the operators' file.
    more: String,
    file: String,
}

impl Mates {
    fn of(count: usize, worker: SocketAddr, more: &str) -> Mates {
        let list = [entry("w1", &worker.to_string(), "a", 1, "in_service")];
        let mut sites: Vec<Site> = (0..count).map(|_| Site::new(&list)).collect();
        sites.iter_mut().for_each(|s| s.balancers = count as u32);
        let listens = addresses(count);
        let path = |to: &SocketAddr| Proxy::start(*to).unwrap();
        let paths = (0..count).map(|_| listens.iter().map(path).collect()).collect();
        Mates { sites, listens, paths, more: more.to_string(), file: String::new() }
    }

    fn start(&self, n: usize) -> Dispatcher {
        let file = self.sites[n].dir.join("together.toml");
        let mut text = format!(
            "{}\n[replication]\nenabled = true\ninstallation = \"test\"\nlisten = \"{}\"\n{}\n",
            self.file, self.listens[n], self.more
        );
        for m in (0..self.sites.len()).filter(|m| *m != n) {
            let at = self.paths[n][m].address;
            text += &format!("[[replication.peers]]\nname = \"n{m}\"\naddress = \"{at}\"\n");
        }
        std::fs::write(&file, text).unwrap();
        let name = format!("n{n}");
        let more = [
            ("LILACBANK_TOGETHER", file.to_str().unwrap()),
            ("ROUTER_NAME", &name),
            ("ROUTER_CONTROL", "127.0.0.1:0"),
        ];
        self.sites[n].start_with("127.0.0.1:0", &more)
    }

    fn start_all(&self) -> Vec<Dispatcher> {
        let all: Vec<Dispatcher> = (0..self.sites.len()).map(|n| self.start(n)).collect();
        for d in &all {
            until("it says yes", || d.client().ask(&[b"PING"]) == "+PONG");
            until("it hears all others", || all_are(d, "alive"));
        }
        all
    }

    fn wipe(&self, n: usize) {
        std::fs::remove_dir_all(self.sites[n].dir.join("state")).unwrap();
    }

    /// How often a message's end was told anywhere, and as what.
    fn told(&self, id: &str) -> Vec<String> {
        let all = self.sites.iter().flat_map(|s| s.platform.notices.lock().unwrap().clone());
        all.filter(|l| l.contains(&format!("\"{id}\""))).collect()
    }
}

fn figures(d: &Dispatcher) -> serde_json::Value {
    vars(d)["replication"].clone()
}

fn all_are(d: &Dispatcher, standing: &str) -> bool {
    figures(d)["dispatchers"].as_object().is_some_and(|o| o.values().all(|v| v == standing))
}

/// A worker that takes each reimbursement (`pay`) and never answers it, and refuses all else until it is opened.
fn silent_for_pay() -> (Worker, Arc<std::sync::atomic::AtomicBool>, Arc<Mutex<Vec<String>>>) {
    let open = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let effects = Arc::new(Mutex::new(Vec::new()));
    let (o, e) = (open.clone(), effects.clone());
    let worker = Worker::start(move |r, _| {
        let id = r.header("x-txn").to_string();
        if id.starts_with("pay") {
            e.lock().unwrap().push(id);
            return Reply::Silence;
        }
        if !o.load(Ordering::SeqCst) {
            return Reply::Answer("429 Too Many Requests\r\nRetry-After: 0.3");
        }
        e.lock().unwrap().push(id);
        Reply::Answer("200 OK")
    });
    (worker, open, effects)
}

/// The owner is SIGKILLed in the middle of a call with a reimbursement that took effect, with approval orders of one key waiting, and
/// its folder is lost. The others deliver what never ran, in its order, give the reimbursement its final answer without a
/// call, and answer what is handed in again there. Without `look` (crates/replica/src/keeper.rs) nothing has an end; without the
/// given-up step in `take_copies` (src/dispatch/copying.rs) the reimbursement goes again.
#[test]
fn a_killed_owner_s_messages_are_delivered_or_answered_by_the_others() {
    let (worker, open, effects) = silent_for_pay();
    let mates = Mates::of(3, worker.address, "ack = true");
    let mut all = mates.start_all();
    let mut c = all[0].client();
    // Orders of one key: the first may have been tried, the others wait for it.
    for n in 0..3 {
        let options = format!("c=order,k=o{n},t=acme,dest=1");
        assert_eq!(c.keyed("00000000000000aa", &format!("order-{n}"), &options), "+OK");
    }
    assert_eq!(c.submit("pay-0", "c=pay,t=acme,dest=1"), "+OK");
    let has = |id: &str| effects.lock().unwrap().iter().filter(|e| *e == id).count();
    until("the reimbursement has run", || has("pay-0") == 1);
    until("the others have copies", || all[1..].iter().all(|d| figures(d)["copies"].as_u64() >= Some(4)));
    all.remove(0).kill();
    mates.wipe(0);
    open.store(true, Ordering::SeqCst);
    // Handed in again elsewhere before anybody has taken over: held already, not sent beside it.
    let again = all[0].client().submit("order-0", "c=order,k=o0,t=acme,dest=1,again=1");
    assert_eq!(again, "+OK");
    until("the reimbursement has its final answer", || {
        mates.told("pay-0").iter().any(|l| l.contains("given_up"))
    });
    until("the first order is delivered or told", || has("order-0") > 0 || !mates.told("order-0").is_empty());
    until("the others are delivered", || has("order-1") > 0 && has("order-2") > 0);
    let again = all[1].client().submit("pay-0", "c=pay,t=acme,dest=1,again=1");
    assert!(again.starts_with("-ERR"), "{again}");
    let took: u64 = all.iter().map(|d| figures(d)["taken_over"].as_u64().unwrap()).sum();
    assert_eq!(took, 4, "each by one of the two");
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(has("pay-0"), 1, "it never goes again");
    let ran: Vec<String> =
        effects.lock().unwrap().iter().filter(|e| e.starts_with("order")).cloned().collect();
    assert!(ran.ends_with(&["order-1".to_string(), "order-2".to_string()]) && ran.len() <= 3, "{ran:?}");
}

/// What an owner had taken comes back to it with an empty folder from the others before they count it as gone: safe
/// messages are delivered, a reimbursement that ran gets its final answer. Without `remember_own` (crates/replica) they
/// wait for ever, as their owner lives and knows nothing of them.
#[test]
fn an_owner_that_comes_back_with_an_empty_folder_hears_of_its_own_messages() {
    let (worker, open, effects) = silent_for_pay();
    let mates = Mates::of(3, worker.address, "ack = true");
    let mut all = mates.start_all();
    let mut c = all[0].client();
    for n in 0..3 {
        assert_eq!(c.submit(&format!("safe-{n}"), "c=safe,t=acme,dest=1"), "+OK");
    }
    assert_eq!(c.submit("pay-0", "c=pay,t=acme,dest=1"), "+OK");
    let has = |id: &str| effects.lock().unwrap().iter().filter(|e| *e == id).count();
    until("the reimbursement has run", || has("pay-0") == 1);
    all.remove(0).kill();
    mates.wipe(0);
    open.store(true, Ordering::SeqCst);
    let back = mates.start(0);
    until("it took its messages up again", || figures(&back)["taken_over"].as_u64() == Some(4));
    until("the safe ones are delivered", || (0..3).all(|n| has(&format!("safe-{n}")) > 0));
    until("the reimbursement has its final answer", || !mates.told("pay-0").is_empty());
    assert_eq!(has("pay-0"), 1);
    assert!(all.iter().all(|d| figures(d)["taken_over"] == 0), "nobody counted it as gone");
}

/// One whose paths to the others are slowed by 500 ms either way for 8 s is never counted as gone; one that is cut off is.
/// With `GONE_AFTER` (crates/replica/src/keeper.rs) and `SUSPECT_FOR` (view.rs) at a tenth the slow one is, too.
#[test]
fn a_peer_slowed_by_half_a_second_stays_and_one_cut_off_counts_as_gone_and_comes_back() {
    let worker = Worker::start(|_, _| Reply::Answer("200 OK"));
    let mates = Mates::of(3, worker.address, "");
    let all = mates.start_all();
    let around = |fault: Fault| {
        for n in 1..3 {
            mates.paths[0][n].set(fault);
            mates.paths[n][0].set(fault);
        }
    };
    around(Fault::Delay(Duration::from_millis(500)));
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(8) {
        for d in &all {
            let seen = figures(d)["dispatchers"].clone();
            assert!(seen.as_object().unwrap().values().all(|v| v != "gone"), "{seen}");
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    around(Fault::Reset);
    let gone = |d: &Dispatcher| figures(d)["dispatchers"]["n0"] == "gone";
    until("both others count it as gone", || gone(&all[1]) && gone(&all[2]));
    assert_eq!(figures(&all[0])["majority"], false, "it knows that it is the one cut off");
    assert!(!all_are(&all[0], "gone"), "and counts nobody as gone for the taking over");
    around(Fault::Pass);
    all.iter().for_each(|d| until("all hear each other", || all_are(d, "alive")));
}

/// An endpoint set down on one dispatcher is out on all, also on one that starts later; set down here and up there at once
/// ends the same everywhere. Without `tell_ban` (crates/replica) each knows its own alone.
#[test]
fn an_operator_s_wish_holds_on_all_dispatchers() {
    let worker = Worker::start(|_, _| Reply::Answer("200 OK"));
    let mates = Mates::of(3, worker.address, "");
    let mut all = mates.start_all();
    let out = |d: &Dispatcher| vars(d)["members_unavailable"] == 1;
    assert!(control(door(&all[0]), "set-down w1").starts_with("200"));
    until("all have it out", || all.iter().all(out));
    all.pop().unwrap().kill();
    assert!(control(door(&all[1]), "set-up w1").starts_with("200"));
    until("both use it again", || !all.iter().any(out));
    all.push(mates.start(2));
    until("it hears the newest wish", || !out(&all[2]) && all_are(&all[2], "alive"));
    for _ in 0..5 {
        let (a, b) = (door(&all[0]), door(&all[1]));
        std::thread::scope(|s| {
            s.spawn(move || control(a, "set-down w1"));
            s.spawn(move || control(b, "set-up w1"));
        });
        until("all agree", || {
            std::thread::sleep(Duration::from_millis(300));
            let first = out(&all[0]);
            all.iter().all(|d| out(d) == first)
        });
    }
}

/// A reimbursement that ran, handed in again at each of four others of which two know nothing of it: all say that it is held, and it
/// runs once. Without `copied_verdict` the two that have copies, without `look_elsewhere` (src/dispatch/take_in.rs) the other two
/// take it on as new.
#[test]
fn what_another_holds_is_found_wherever_it_is_handed_in_again() {
    let (worker, _open, effects) = silent_for_pay();
    let mates = Mates::of(5, worker.address, "ack = true");
    let all = mates.start_all();
    assert_eq!(all[0].client().submit("pay-0", "c=pay,t=acme,dest=1"), "+OK");
    until("it has run", || effects.lock().unwrap().len() == 1);
    until("two have copies", || all[1..].iter().filter(|d| figures(d)["copies"] == 1).count() == 2);
    for d in &all[1..] {
        assert_eq!(d.client().submit("pay-0", "c=pay,t=acme,dest=1,again=1"), "+OK");
        assert_eq!(
            d.client().submit("safe-0", "c=safe,t=acme,dest=1,again=1"),
            "+OK",
            "what nobody knows is new"
        );
    }
    std::thread::sleep(Duration::from_millis(700));
    assert_eq!(effects.lock().unwrap().iter().filter(|e| *e == "pay-0").count(), 1);
    let asked: u64 = all[1..].iter().map(|d| figures(d)["queries"].as_u64().unwrap()).sum();
    assert!(asked >= 2, "{asked}");
}

/// A member's outage that one dispatcher alone has learnt is known to the others, and to one that comes back with an empty folder.
/// Without `tell_health` (crates/replica/src/keeper.rs) each knows its own alone.
#[test]
fn an_outage_learnt_by_one_is_known_to_all() {
    let worker = Worker::start(|_, _| Reply::Break);
    let mut mates = Mates::of(3, worker.address, "");
    mates.file = "[recovery]\nenabled = true".into();
    let mut all = mates.start_all();
    let mut c = all[0].client();
    for n in 0..6 {
        c.submit(&format!("safe-{n}"), "c=safe,t=acme,dest=1");
    }
    let away = |d: &Dispatcher| figures(d)["away"].as_array().is_some_and(|a| a.len() == 1);
    until("all know that it is away", || all.iter().all(away));
    all.pop().unwrap().kill();
    mates.wipe(2);
    all.push(mates.start(2));
    until("the one that came back knows it, too", || away(&all[2]));
    assert_eq!(vars(&all[2])["upstream_requests"], 0, "without a call of its own");
}

/// Five dispatchers split into 3 and 2 under load with messages taken on both sides, then healed; three, of which one is
/// killed with its folder. The audit of the rig: nothing lost, doubled or overlapping, one final answer each. Without the
/// lease in `may_act` (crates/replica/src/keeper.rs) both sides act on one message (see also the keeper's histories).
#[test]
fn a_split_of_five_and_a_killed_one_of_three_keep_the_rules() {
    use lilacbank_rig::scenario::Scenario;
    let play = |name: &str, text: &str| {
        let scenario = Scenario::parse(name, text).unwrap();
        let program = std::path::Path::new(env!("CARGO_BIN_EXE_lilacbank"));
        let work = std::env::temp_dir().join(format!("lilacbank-{name}-{}", std::process::id()));
        let report = lilacbank_rig::run::play(&scenario, program, &work, false).unwrap();
        let _ = std::fs::remove_dir_all(&work);
        assert!(report.clean(), "{name}: {report:?}");
        assert!(report.delivered * 10 > report.taken * 8, "{name}: {report:?}");
    };
    let split = include_str!("../crates/rig/scenarios/copies/split.toml");
    let killed = include_str!("../crates/rig/scenarios/copies/killed.toml");
    std::thread::scope(|s| {
        s.spawn(|| play("split", split));
        s.spawn(|| play("killed", killed));
    });
}

/// A measurement, not a check: the time of `+OK` with copies off, on, and on with `ack`, in one run, as ratios. `cargo test
/// --release --test replication -- --ignored --nocapture cost`
#[test]
#[ignore = "a measurement"]
fn cost_of_ok() {
    let worker = Worker::start(|_, _| Reply::Answer("200 OK"));
    let alone = Site::new(&[entry("w1", &worker.address.to_string(), "a", 1, "in_service")]);
    let off = alone.start();
    let (plain, acked) = (Mates::of(3, worker.address, ""), Mates::of(3, worker.address, "ack = true"));
    let (on, ack) = (plain.start_all(), acked.start_all());
    let mut clients = [off.client(), on[0].client(), ack[0].client()];
    let mut took = [const { Vec::new() }; 3];
    for n in 0..4_000 {
        for (which, c) in clients.iter_mut().enumerate() {
            let start = Instant::now();
            let said = c.submit(&format!("m{which}-{n}"), "c=safe,t=acme,dest=1");
            assert_eq!(said, "+OK");
            took[which].push(start.elapsed().as_micros() as f64);
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    took.iter_mut().for_each(|t| t.sort_by(f64::total_cmp));
    let of = |which: usize, q: f64| took[which][(q * 3_999.0) as usize];
    for q in [0.5, 0.99] {
        let base = of(0, q);
        println!("p{}: off {base} us, on x{:.2}, ack x{:.2}", q * 100.0, of(1, q) / base, of(2, q) / base);
    }
    let f = figures(&on[0]);
    println!("bytes said for each message: {}", f["said_bytes"].as_f64().unwrap() / 4_000.0);
}
