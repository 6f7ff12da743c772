//! A tenant is moved to a dispatcher that is down, while approval orders have little time left.

#[path = "../stand/mod.rs"]
mod stand;
#[path = "../stand/mesh.rs"]
mod mesh;
#[path = "../stand/site.rs"]
mod site;

use mesh::Mesh;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use stand::*;

/// The time of the orders that wait, and the slack of a notice.
const LEFT_MS: u64 = 1_600;
const SLACK_MS: u64 = 350;

fn hand_in(at: SocketAddr, id: u64, left: u64, body: &str) -> u64 {
    let options = format!("c=approval-order,t=sotrans,d={left},k={id:016x},dest=7");
    let answer = resp_connect(at)
        .and_then(|mut s| resp(&mut s, &["SUBMIT", "00000000000000aa", &format!("{id:016x}"), &options, body]));
    note(format!("client: {body}: {}", answer.as_deref().unwrap_or("no answer")));
    ms()
}

fn main() {
    begin("seen");
    let (calls, slow) = (Calls::default(), Arc::new(AtomicBool::new(false)));
    let mut list = Vec::new();
    for (uid, zone) in [("s-0a", "building-a"), ("s-0b", "building-b")] {
        let slow = Arc::clone(&slow);
        endpoint(&mut list, (uid, zone, "high-volume", 7), &calls, move |_| {
            let after = if slow.load(Ordering::SeqCst) { 2_600 } else { 130 };
            Reply { status: 200, headers: String::new(), after }
        });
    }
    let platform = Platform::start(list.clone());
    let mesh = Mesh::new(&list, "24 in 2s", platform.address);
    let (_n1, mut n2) = (mesh.start(0, free_address()), mesh.start(1, free_address()));
    mesh.resp.iter().for_each(|at| wait_for_pong(*at, 10_000));
    sleep(2_000);
    slow.store(true, Ordering::SeqCst);
    // One order of the claim is out; the next ones wait for their turn.
    hand_in(mesh.resp[0], 1, 20_000, "first");
    sleep(100);
    let taken: Vec<(u64, u64)> = (0..4).map(|n| (10 + n, hand_in(mesh.resp[0], 10 + n, LEFT_MS, &format!("short-{n}")))).collect();
    if trouble() {
        n2.kill();
        mesh.cell(&["move", "sotrans", "--to", "n2", "--wait", "1"]);
    }
    sleep(9_000);
    let (notices, calls, mut broken) = (platform.notices.lock().unwrap().clone(), calls.all(), 0);
    for (id, at) in taken {
        let told = notices.iter().find(|n| n.1.contains(&format!("{id:016x}"))).map(|n| n.0);
        let end = told.or(calls.iter().find(|c| c.id == format!("{id:016x}")).map(|c| c.at));
        let late = end.is_none_or(|t| t > at + LEFT_MS + SLACK_MS);
        note(format!("{id:016x}: end {end:?}, due by {}{}", at + LEFT_MS + SLACK_MS, if late { ": LOST" } else { "" }));
        broken += usize::from(late);
    }
    note(format!("{broken} of 4 approval orders were lost"));
    end(if broken > 0 { BROKEN } else { HELD })
}
