//! An upgrade while about 1 MB is held: the size of the state folder.

#[path = "../stand/mod.rs"]
mod stand;
#[path = "../stand/site.rs"]
mod site;

use site::Node;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use stand::*;

/// `disk_mb` of the configuration.
const LIMIT: u64 = 3_000_000;
const BODY: usize = 60_000;

fn main() {
    begin("seen");
    let calls = Calls::default();
    let mut list = Vec::new();
    for (uid, zone) in [("s-0a", "building-a"), ("s-0b", "building-b")] {
        // The member system is silent.
        endpoint(&mut list, (uid, zone, "high-volume", 7), &calls, |_| Reply {
            status: 200,
            headers: String::new(),
            after: 12_000,
        });
    }
    let platform = Platform::start(list.clone());
    let listen = free_address();
    let start = |control: SocketAddr| {
        let (discovery, zone) = (platform.address, "building-a");
        let node = Node { name: "n1", listen, control, discovery, zone, rank: 0, dispatchers: 1 };
        Dispatcher::start("n1", &site::environment(&node, &list))
    };
    let says_yes = |at: SocketAddr| control(at, "check").is_some_and(|a| a.starts_with("200"));
    let (door, peak, over) = (free_address(), Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut old = start(door);
    wait_until(10_000, || says_yes(door));
    wait_for_pong(listen, 5_000);
    let (p, o, state) = (Arc::clone(&peak), Arc::clone(&over), folder().join("state.n1"));
    thread::spawn(move || loop {
        let files = std::fs::read_dir(&state).into_iter().flatten().flatten();
        let sum: u64 = files.filter_map(|f| f.metadata().ok()).map(|m| m.len().div_ceil(512) * 512).sum();
        p.fetch_max(sum, Ordering::SeqCst);
        o.fetch_add(u64::from(sum > LIMIT), Ordering::SeqCst);
        thread::sleep(std::time::Duration::from_micros(500));
    });
    let mut next = 0u64;
    let mut fill = |most: u64| {
        let until = ms() + most;
        while ms() < until {
            next += 1;
            let options = "c=reimbursement,t=sotrans-dakar,d=20000,dest=7";
            let parts = ["SUBMIT", "0000000000000000", &format!("{:016x}", 0x9b1f_0000 + next), options, &"x".repeat(BODY)];
            match resp_connect(listen).and_then(|mut s| resp(&mut s, &parts)) {
                Ok(a) if a == "+OK" => {}
                _ => sleep(50),
            }
        }
    };
    fill(1_500);
    note(format!("one process: peak {} bytes", peak.load(Ordering::SeqCst)));
    if trouble() {
        let door = free_address();
        let _new = start(door);
        wait_until(6_000, || says_yes(door));
        sleep(300);
        fill(1_000);
        old.signal("TERM");
        if !wait_until(3_700, || old.has_ended()) {
            old.kill();
        }
    }
    sleep(3_000);
    let (peak, over) = (peak.load(Ordering::SeqCst), over.load(Ordering::SeqCst));
    note(format!("peak {peak} bytes of {LIMIT}; {over} looks found the folder over its limit"));
    end(if peak > LIMIT { BROKEN } else { HELD })
}
