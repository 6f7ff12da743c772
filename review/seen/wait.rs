//! An upgrade while a member system is silent, and approval orders with little time left.

#[path = "../stand/mod.rs"]
mod stand;
#[path = "../stand/site.rs"]
mod site;

use site::Node;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use stand::*;

const SERVICE_MS: u64 = 130;
const YES_WITHIN_MS: u64 = 6_000;
const TERM_TO_KILL_MS: u64 = 3_700;
/// The silent member system falls silent so long before the upgrade, for 7.2 to 18 s.
const SILENT_MS: u64 = 9_000;
/// The orders' time.
const LEFT_MS: u64 = 2_000;
/// A notice is overdue so long after that.
const SLACK_MS: u64 = 300;
/// No notice is overdue until so long after the dispatcher is ready again.
const EXCUSED_MS: u64 = 1_500;

fn main() {
    begin("seen");
    let calls = Calls::default();
    let silent = Arc::new(AtomicBool::new(false));
    let mut list = Vec::new();
    for (uid, zone, dest) in [("s-0a", "building-a", 7), ("s-0b", "building-b", 7), ("s-1a", "building-a", 8)] {
        let silent = Arc::clone(&silent);
        endpoint(&mut list, (uid, zone, "high-volume", dest), &calls, move |_| {
            let hangs = dest == 8 && silent.load(Ordering::SeqCst);
            Reply { status: 200, headers: "X-Pressure: x0=0.9,x1=50\r\n".into(), after: if hangs { SILENT_MS } else { SERVICE_MS } }
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
    let old_door = free_address();
    let mut old = start(old_door);
    if !wait_until(10_000, || says_yes(old_door)) {
        give_up("the old process is not ready");
    }
    wait_for_pong(listen, 5_000);
    // Clients hand in approval orders, each with a key of its own, all the time.
    let taken: Arc<Mutex<BTreeMap<u64, u64>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let client = {
        let (taken, stop) = (Arc::clone(&taken), Arc::clone(&stop));
        thread::spawn(move || {
            let mut n = 0;
            while !stop.load(Ordering::SeqCst) {
                n += 1;
                let id = 0x9b1f_0000 + n;
                let options = format!("c=approval-order,t=sotrans-dakar,d={LEFT_MS},k={id:016x},dest=7,r=1");
                let (key, text) = (format!("{:016x}", 0x7f3a_0000 + n), format!("{id:016x}"));
                let sent = ms();
                let answer = resp_connect(listen)
                    .and_then(|mut s| resp(&mut s, &["SUBMIT", &key, &text, &options, &format!("order-{n}")]));
                note(format!("client: order-{n}: {}", answer.as_deref().unwrap_or("no answer")));
                if answer.is_ok_and(|a| a == "+OK") {
                    taken.lock().unwrap().insert(n, sent);
                }
                sleep(100);
            }
        })
    };
    sleep(2_000);
    let mut yes_at = 0;
    if trouble() {
        silent.store(true, Ordering::SeqCst);
        note("the member system 8 falls silent");
        let id = 0x8b1f_0000u64;
        let options = format!("c=reimbursement,t=sotrans-dakar,d=20000,k={id:016x},dest=8");
        let answer = resp_connect(listen)
            .and_then(|mut s| resp(&mut s, &["SUBMIT", "0000000000000000", &format!("{id:016x}"), &options, "r-1"]));
        note(format!("client: r-1: {answer:?}"));
        sleep(500);
        let door = free_address();
        let new = start(door);
        if !wait_until(YES_WITHIN_MS, || says_yes(door)) {
            give_up("the new process does not say yes");
        }
        yes_at = ms();
        note("the new process says yes");
        old.signal("TERM");
        if wait_until(TERM_TO_KILL_MS, || old.has_ended()) {
            note("the old process has ended");
        } else {
            old.kill();
        }
        old = new;
    } else {
        sleep(5_000);
    }
    sleep(1_000);
    stop.store(true, Ordering::SeqCst);
    let _ = client.join();
    sleep(LEFT_MS + 4_000);
    let (notices, calls) = (platform.notices.lock().unwrap().clone(), calls.all());
    let mut broken = 0;
    for (n, sent) in taken.lock().unwrap().iter() {
        let id = format!("{:016x}", 0x9b1f_0000 + n);
        let ran = calls.iter().find(|c| c.body == format!("order-{n}")).map(|c| c.at + SERVICE_MS);
        let told = notices.iter().find(|(_, l)| l.contains(&id)).map(|(at, _)| *at);
        let by = sent + LEFT_MS + 50 + SLACK_MS;
        let end = ran.or(told);
        let excused = yes_at > 0 && by < yes_at + EXCUSED_MS;
        let late = end.is_none_or(|e| e > by) && !excused;
        note(format!("order-{n}: handed in at {sent}, delivered {ran:?}, notice {told:?}, due by {by}{}", if late { ": LOST" } else { "" }));
        broken += usize::from(late);
    }
    for line in old.log_lines(&["took over", "serves beside", "panicked"]) {
        note(format!("log: {line}"));
    }
    note(format!("{broken} of {} approval orders were lost", taken.lock().unwrap().len()));
    end(if broken > 0 { BROKEN } else { HELD })
}
