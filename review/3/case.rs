//! An upgrade, with `run` as shipped, while a bad client uses the ids of other clients' open requests.

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

const SERVICE_MS: u64 = 130;
/// The member's limit: calls in a span of milliseconds, from all dispatchers together.
const LIMIT: (usize, u64) = (8, 2_000);
/// Reimbursements in a clump: as many as the member takes in 3.5 s.
const CLUMP: u64 = 14;
const DEADLINE_MS: u64 = 20_000;
/// The new process is started so long after the clump was handed in.
const CLUMP_TO_UPGRADE_MS: u64 = 300;
const YES_WITHIN_MS: u64 = 6_000;
const TERM_TO_KILL_MS: u64 = 3_700;

fn id(n: u64) -> String {
    format!("{:016x}", 0x9b1f_0000 + n)
}

/// Hands in a message; whether it was taken on.
fn hand_in(at: SocketAddr, who: &str, n: u64) -> bool {
    let options = format!("c=reimbursement,t=sotrans-dakar,d={DEADLINE_MS},dest=7");
    let body = format!("{who}-{n}");
    let answer = resp_connect(at)
        .and_then(|mut s| resp(&mut s, &["SUBMIT", "0000000000000000", &id(n), &options, &body]));
    note(format!("{who}: id {}: {}", id(n), answer.as_deref().unwrap_or("no answer")));
    answer.is_ok_and(|a| a == "+OK")
}

fn main() {
    begin("3");
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
    let listen = free_address();
    let start = |control: SocketAddr| {
        let node = Node {
            name: "n1",
            listen,
            control,
            discovery: platform.address,
            zone: "building-a",
            rank: 0,
            dispatchers: 1,
        };
        Dispatcher::start("n1", &site::environment(&node, &list))
    };
    let says_yes = |at: SocketAddr| control(at, "check").is_some_and(|a| a.starts_with("200"));
    let door = free_address();
    let mut old = start(door);
    if !wait_until(10_000, || says_yes(door)) {
        give_up("the process is not ready");
    }
    wait_for_pong(listen, 5_000);
    sleep(1_000);
    let taken: Arc<Mutex<BTreeSet<u64>>> = Arc::default();
    let clients: Vec<_> = (0..CLUMP)
        .map(|n| {
            let taken = Arc::clone(&taken);
            thread::spawn(move || {
                if hand_in(listen, "client", n) {
                    taken.lock().unwrap().insert(n);
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|c| drop(c.join()));
    let handed_in = ms();
    sleep(CLUMP_TO_UPGRADE_MS);
    let mut new = None;
    if trouble() {
        let door = free_address();
        new = Some(start(door));
        if !wait_until(YES_WITHIN_MS, || says_yes(door)) {
            give_up("the new process does not say yes");
        }
        note("upgrade: the new process says yes");
        old.signal("TERM");
    }
    sleep(50);
    // The bad client asks once under each id that is open: taken on, and not yet at an endpoint. It reads what it is
    // told.
    let is_open = |n: &u64| taken.lock().unwrap().contains(n) && !calls.all().iter().any(|c| c.id == id(*n));
    for n in (0..CLUMP).filter(is_open) {
        hand_in(listen, "bad client", n);
    }
    if trouble() {
        if wait_until(TERM_TO_KILL_MS, || old.has_ended()) {
            note("upgrade: the old process has ended");
        } else {
            old.kill();
        }
    }
    wait_until((handed_in + DEADLINE_MS + 1_000).saturating_sub(ms()), || false);
    let (mut broken, all) = (0, calls.all());
    let taken = taken.lock().unwrap().clone();
    for n in &taken {
        let runs: Vec<String> = all
            .iter()
            .filter(|c| c.id == id(*n) && c.status == 200)
            .map(|c| format!("{} ms at {}, '{}'", c.at, c.endpoint, c.body))
            .collect();
        note(format!("{}: ran {} times ({})", id(*n), runs.len(), runs.join("; ")));
        broken += usize::from(runs.len() > 1);
    }
    for line in new.as_ref().unwrap_or(&old).log_lines(&["took over", "serves beside", "panicked"]) {
        note(format!("log: {line}"));
    }
    note(format!("{broken} of {} reimbursements took effect more than once", taken.len()));
    if taken.len() < 10 || all.is_empty() {
        give_up("too little was taken on or sent");
    }
    end(if broken > 0 { BROKEN } else { HELD })
}
