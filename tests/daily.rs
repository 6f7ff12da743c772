//! Daily operation: two processes on one address and folder during an upgrade.

mod stand;
use stand::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// A worker that refuses with a wait until it is opened, and then takes each call; who was taken, in order.
fn gate() -> (Worker, Arc<AtomicBool>, Arc<Mutex<Vec<String>>>) {
    let (open, taken) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let (o, t) = (open.clone(), taken.clone());
    let worker = Worker::start(move |r, _| {
        if !o.load(Ordering::SeqCst) {
            return Reply::Answer("429 Too Many Requests\r\nRetry-After: 1");
        }
        t.lock().unwrap().push(r.header("x-txn").to_string());
        Reply::Answer("200 OK")
    });
    (worker, open, taken)
}

/// The old process leaves by SIGTERM or is killed; the new one serves beside it from the start on the same address and
/// takes over the calls that the old one still held, each delivered once.
fn hand_over(kill: bool) {
    let (worker, open, taken) = gate();
    let site = Site::new(&[entry("w1", &worker.address.to_string(), "a", 1, "in_service")]);
    let mut old = site.start();
    let address = old.address().to_string();
    let ids: Vec<String> = (0..5).map(|n| format!("up-{n}")).collect();
    let mut c = old.client();
    for id in &ids {
        assert_eq!(c.submit(id, "c=pay,t=acme,d=15000,dest=1"), "+OK");
    }
    until("the worker has refused them", || worker.count() >= 5);
    let mut new = site.start_with(&address, &[]);
    assert_eq!(new.address().to_string(), address, "both listen on one address");
    drop(c);
    if kill {
        old.kill();
    } else {
        old.signal("-TERM");
        old.ended();
    }
    open.store(true, Ordering::SeqCst);
    let took = new.logged("took over ");
    assert!(took.starts_with("5 calls"), "{took}");
    until("each is delivered", || ids.iter().all(|id| taken.lock().unwrap().contains(id)));
    std::thread::sleep(std::time::Duration::from_millis(300));
    let taken = taken.lock().unwrap();
    for id in &ids {
        assert_eq!(taken.iter().filter(|t| *t == id).count(), 1, "{id} once: {taken:?}");
    }
    assert_eq!(new.client().ask(&[b"PING"]), "+PONG");
}

#[test]
fn a_new_process_serves_beside_the_old_one_and_takes_over_what_it_left() {
    hand_over(false);
}

#[test]
fn what_a_killed_old_process_held_is_taken_over_by_the_new_one() {
    hand_over(true);
}

/// Guards against a third process on a folder that two serve on: it would share a journal with one of them.
#[test]
fn a_third_process_on_the_folder_is_refused_at_its_start() {
    let site = Site::new(&[]);
    let (_a, _b) = (site.start(), site.start());
    let third = std::process::Command::new(env!("CARGO_BIN_EXE_lilacbank"))
        .env("ROUTER_CONFIG", site.dir.join("config.json"))
        .env("ROUTER_LISTEN", "127.0.0.1:0")
        .env("ROUTER_DISCOVERY", site.platform.address.to_string())
        .env("ROUTER_STATE", site.dir.join("state"))
        .output()
        .unwrap();
    assert!(!third.status.success());
    assert!(String::from_utf8_lossy(&third.stderr).contains("two processes that live serve on this folder"));
}
