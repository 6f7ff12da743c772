//! A tenant is moved, mid-traffic, away from a dispatcher that has been upgraded.

#[path = "../stand/mod.rs"]
mod stand;
#[path = "../stand/mesh.rs"]
mod mesh;
#[path = "../stand/site.rs"]
mod site;

use mesh::{says_yes, Mesh};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use stand::*;

const SERVICE_MS: u64 = 130;
/// The member's limit, as the agreement has it; each cell may use half of it.
const LIMIT: &str = "24 in 2s";
/// Reimbursements in a clump: as many as a cell may send in 2.7 s.
const CLUMP: u64 = 16;
const DEADLINE_MS: u64 = 20_000;
const CLUMP_TO_MOVE_MS: u64 = 300;
const YES_WITHIN_MS: u64 = 6_000;
const TERM_TO_KILL_MS: u64 = 3_700;

fn name(n: u64) -> String {
    format!("reimbursement-{n}")
}

/// Hands in a message at n1, and where that names another dispatcher, there. Whether it was taken on.
fn hand_in(mesh: &Mesh, id: u64, body: &str) -> bool {
    let id = format!("{id:016x}");
    let options = format!("c=reimbursement,t=sotrans,d={DEADLINE_MS},k={id},dest=7");
    let mut at: (usize, SocketAddr) = (0, mesh.resp[0]);
    for _ in 0..3 {
        let answer = resp_connect(at.1)
            .and_then(|mut s| resp(&mut s, &["SUBMIT", "0000000000000000", &id, &options, body]));
        note(format!("client: {body} to n{}: {}", at.0 + 1, answer.as_deref().unwrap_or("no answer")));
        match answer {
            Ok(a) if a == "+OK" => return true,
            Ok(a) if a.contains("MOVED n2 ") => at = (1, mesh.resp[1]),
            Ok(a) if a.contains("MOVED n1 ") => at = (0, mesh.resp[0]),
            _ => return false,
        }
    }
    false
}

fn main() {
    begin("seen");
    let calls = Calls::default();
    let mut list = Vec::new();
    for (uid, zone) in [("s-0a", "building-a"), ("s-0b", "building-b")] {
        endpoint(&mut list, (uid, zone, "high-volume", 7), &calls, move |_| Reply {
            status: 200,
            headers: String::new(),
            after: SERVICE_MS,
        });
    }
    let platform = Platform::start(list.clone());
    let mesh = Arc::new(Mesh::new(&list, LIMIT, platform.address));
    let doors = [free_address(), free_address()];
    let mut n1 = mesh.start(0, doors[0]);
    let n2 = mesh.start(1, doors[1]);
    mesh.resp.iter().for_each(|at| wait_for_pong(*at, 10_000));
    sleep(2_000);
    // The tenant has been moved before, and back.
    for to in ["n2", "n1"] {
        if mesh.cell(&["move", "sotrans", "--to", to]) != Some(0) {
            give_up("the tenant cannot be moved");
        }
    }
    sleep(500);
    if trouble() {
        let door = free_address();
        let new = mesh.start(0, door);
        if !wait_until(YES_WITHIN_MS, || says_yes(door)) {
            give_up("the new process does not say yes");
        }
        note("upgrade of n1: the new process says yes");
        n1.signal("TERM");
        if wait_until(TERM_TO_KILL_MS, || n1.has_ended()) {
            note("upgrade of n1: the old process has ended");
        } else {
            n1.kill();
        }
        n1 = new;
    }
    sleep(3_000);
    mesh.cell(&["status", "sotrans"]);
    let taken: Arc<Mutex<Vec<u64>>> = Arc::default();
    let clients: Vec<_> = (0..CLUMP)
        .map(|n| {
            let (mesh, taken) = (Arc::clone(&mesh), Arc::clone(&taken));
            thread::spawn(move || {
                if hand_in(&mesh, 0x9b1f_0000 + n, &name(n)) {
                    taken.lock().unwrap().push(n);
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|c| drop(c.join()));
    sleep(CLUMP_TO_MOVE_MS);
    // The operator waits for the move no longer than this; it goes on without the tool.
    let stop = Arc::new(AtomicBool::new(false));
    let operator = {
        let (mesh, stop) = (Arc::clone(&mesh), Arc::clone(&stop));
        thread::spawn(move || {
            mesh.cell(&["move", "sotrans", "--to", "n2", "--wait", "10"]);
            stop.store(true, Ordering::SeqCst);
        })
    };
    // Another client tries to hand in a message of the tenant.
    let (begun, mut served) = (ms(), None);
    for n in 0.. {
        sleep(500);
        if hand_in(&mesh, 0x8b1f_0000 + n, &format!("later-{n}")) {
            served = Some(ms() - begun);
            break;
        }
        if ms() - begun > DEADLINE_MS {
            break;
        }
    }
    let _ = operator.join();
    wait_until((begun + DEADLINE_MS + 1_000).saturating_sub(ms()), || false);
    mesh.cell(&["status", "sotrans"]);
    let notices = platform.notices.lock().unwrap().clone();
    let mut broken = 0;
    let mut taken = taken.lock().unwrap().clone();
    taken.sort();
    for n in &taken {
        let runs = calls.all().iter().filter(|c| c.body == name(*n)).count();
        let told = notices.iter().find(|(_, l)| l.contains(&format!("{:016x}", 0x9b1f_0000 + n)));
        note(format!("{}: ran {runs} times, notice {told:?}", name(*n)));
        broken += usize::from(runs != 1);
    }
    for d in [&n1, &n2] {
        for line in d.log_lines(&["sotrans is", "took over", "panicked"]) {
            note(format!("log of {}: {line}", d.name));
        }
    }
    note(format!("{broken} of {} reimbursements that were taken on were never sent", taken.len()));
    note(match served {
        Some(after) => format!("a dispatcher served the tenant again {after} ms after the move was ordered"),
        None => format!("no dispatcher served the tenant for {DEADLINE_MS} ms"),
    });
    if taken.len() < 10 {
        give_up("too little was taken on");
    }
    end(if broken > 0 { BROKEN } else { HELD })
}
