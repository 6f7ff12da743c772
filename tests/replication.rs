//! Replication among dispatchers: three and five processes with a fault proxy on each path between them.

mod stand;
#[path = "stand/peer_group.rs"]
mod stand_peer_group;
use lilacbank_rig::Fault;
use stand::*;
use stand_peer_group::*;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An endpoint that runs each message of class `pay` without an answer, and refuses all others until it is
/// opened.
fn endpoint_silent_for_pay() -> (EndpointStandIn, Arc<std::sync::atomic::AtomicBool>, Arc<Mutex<Vec<String>>>)
{
    let open = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let effects = Arc::new(Mutex::new(Vec::new()));
    let (o, e) = (open.clone(), effects.clone());
    let worker = EndpointStandIn::start(move |r, _| {
        let id = r.header("x-txn").to_string();
        if id.starts_with("pay") {
            e.lock().unwrap().push(id);
            return Reply::NoAnswer;
        }
        if !o.load(Ordering::SeqCst) {
            return Reply::Answer("429 Too Many Requests\r\nRetry-After: 0.3");
        }
        e.lock().unwrap().push(id);
        Reply::Answer("200 OK")
    });
    (worker, open, effects)
}

/// Guards against messages of a killed owner that are lost or run twice. The owner is killed by SIGKILL and
/// its state folder is lost while an attempt of an at-most-once message has taken effect and messages of one
/// ordering key wait. The peers deliver in order what never ran, give the at-most-once message its final
/// answer without a call, and answer messages that are submitted again to them. Without `take_over_from_gone_owners`
/// (crates/replica/src/keeper.rs) no message gets a final answer; without the given-up step in `take_copies`
/// (src/dispatch/copying.rs) the at-most-once message is sent again.
#[test]
fn the_peers_deliver_or_answer_the_messages_of_a_killed_owner() {
    let (worker, open, effects) = endpoint_silent_for_pay();
    let peers = PeerGroup::new(3, worker.address, "ack = true");
    let mut all = peers.start_all();
    let mut c = all[0].client();
    // Three messages of one ordering key: the first may have been attempted, the others wait for it.
    for n in 0..3 {
        let options = format!("c=order,k=o{n},t=acme,dest=1");
        assert_eq!(c.submit_with_key("00000000000000aa", &format!("order-{n}"), &options), "+OK");
    }
    assert_eq!(c.submit("pay-0", "c=pay,t=acme,dest=1"), "+OK");
    let has = |id: &str| effects.lock().unwrap().iter().filter(|e| *e == id).count();
    wait_until("the at-most-once message has run", || has("pay-0") == 1);
    wait_until("the peers have copies", || {
        all[1..].iter().all(|d| replication_metrics(d)["copies"].as_u64() >= Some(4))
    });
    all.remove(0).kill();
    peers.wipe(0);
    open.store(true, Ordering::SeqCst);
    // Submitted again to a peer before any peer has taken over: the peer already holds a copy and sends no
    // second one.
    let again = all[0].client().submit("order-0", "c=order,k=o0,t=acme,dest=1,again=1");
    assert_eq!(again, "+OK");
    wait_until("the at-most-once message has its final answer", || {
        peers.notices("pay-0").iter().any(|l| l.contains("given_up"))
    });
    wait_until("the first ordered message is delivered or has a notice", || {
        has("order-0") > 0 || !peers.notices("order-0").is_empty()
    });
    wait_until("the other ordered messages are delivered", || has("order-1") > 0 && has("order-2") > 0);
    let again = all[1].client().submit("pay-0", "c=pay,t=acme,dest=1,again=1");
    assert!(again.starts_with("-ERR"), "{again}");
    let took: u64 = all.iter().map(|d| replication_metrics(d)["taken_over"].as_u64().unwrap()).sum();
    assert_eq!(took, 4, "each message is taken over by one of the two peers");
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(has("pay-0"), 1, "the at-most-once message is not sent again");
    let ran: Vec<String> =
        effects.lock().unwrap().iter().filter(|e| e.starts_with("order")).cloned().collect();
    assert!(ran.ends_with(&["order-1".to_string(), "order-2".to_string()]) && ran.len() <= 3, "{ran:?}");
}

/// Guards against messages that wait forever after their owner restarts with an empty state folder, before
/// its peers count it as gone. The owner gets its messages back from the copies of its peers: idempotent
/// messages are delivered, and an at-most-once message that ran gets its final answer. Without `reclaim_own`
/// (crates/replica) they wait forever, because their owner is alive but does not know them.
#[test]
fn an_owner_with_an_empty_state_folder_gets_its_messages_from_its_peers() {
    let (worker, open, effects) = endpoint_silent_for_pay();
    let peers = PeerGroup::new(3, worker.address, "ack = true");
    let mut all = peers.start_all();
    let mut c = all[0].client();
    for n in 0..3 {
        assert_eq!(c.submit(&format!("safe-{n}"), "c=safe,t=acme,dest=1"), "+OK");
    }
    assert_eq!(c.submit("pay-0", "c=pay,t=acme,dest=1"), "+OK");
    let has = |id: &str| effects.lock().unwrap().iter().filter(|e| *e == id).count();
    wait_until("the at-most-once message has run", || has("pay-0") == 1);
    all.remove(0).kill();
    peers.wipe(0);
    open.store(true, Ordering::SeqCst);
    let back = peers.start(0);
    wait_until("the owner has its messages again", || {
        replication_metrics(&back)["taken_over"].as_u64() == Some(4)
    });
    wait_until("the idempotent messages are delivered", || (0..3).all(|n| has(&format!("safe-{n}")) > 0));
    wait_until("the at-most-once message has its final answer", || !peers.notices("pay-0").is_empty());
    assert_eq!(has("pay-0"), 1);
    assert!(
        all.iter().all(|d| replication_metrics(d)["taken_over"] == 0),
        "no peer counted the owner as gone"
    );
}

/// Guards against a slow peer that counts as gone: a dispatcher whose connections to its peers are delayed by
/// 500 ms each way for 8 s must not be, a disconnected one must. With `PEER_GONE_AFTER_MS`
/// (crates/replica/src/keeper.rs) and `SUSPICION_TIMEOUT` (view.rs) at a tenth of their values the slow one counts
/// as gone, too.
#[test]
fn a_slow_peer_stays_and_a_disconnected_one_counts_as_gone_and_returns() {
    let worker = EndpointStandIn::start(|_, _| Reply::Answer("200 OK"));
    let peers = PeerGroup::new(3, worker.address, "");
    let all = peers.start_all();
    let set_faults_around_n0 = |fault: Fault| {
        for n in 1..3 {
            peers.paths[0][n].set_fault(fault);
            peers.paths[n][0].set_fault(fault);
        }
    };
    set_faults_around_n0(Fault::Delay(Duration::from_millis(500)));
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(8) {
        for d in &all {
            let seen = replication_metrics(d)["dispatchers"].clone();
            assert!(seen.as_object().unwrap().values().all(|v| v != "gone"), "{seen}");
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    set_faults_around_n0(Fault::Reset);
    let gone = |d: &Dispatcher| replication_metrics(d)["dispatchers"]["n0"] == "gone";
    wait_until("both peers count it as gone", || gone(&all[1]) && gone(&all[2]));
    assert_eq!(
        replication_metrics(&all[0])["majority"],
        false,
        "the disconnected dispatcher knows that it has no majority"
    );
    assert!(!all_peers_are(&all[0], "gone"), "the disconnected dispatcher does not count its peers as gone");
    set_faults_around_n0(Fault::Pass);
    all.iter().for_each(|d| wait_until("all see each other as alive", || all_peers_are(d, "alive")));
}

/// Guards against operator blocks that differ between dispatchers. An endpoint blocked on one dispatcher is
/// blocked on all, and a dispatcher that starts later gets the current state. Concurrent commands on two
/// dispatchers, one to block and one to unblock, end in the same state everywhere. Without `send_operator_block`
/// (crates/replica) each knows only its own blocks.
#[test]
fn an_operator_block_applies_on_all_dispatchers() {
    let worker = EndpointStandIn::start(|_, _| Reply::Answer("200 OK"));
    let peers = PeerGroup::new(3, worker.address, "");
    let mut all = peers.start_all();
    let is_blocked = |d: &Dispatcher| metrics(d)["members_unavailable"] == 1;
    assert!(control_request(control_address(&all[0]), "set-down w1").starts_with("200"));
    wait_until("all dispatchers have the block", || all.iter().all(is_blocked));
    all.pop().unwrap().kill();
    assert!(control_request(control_address(&all[1]), "set-up w1").starts_with("200"));
    wait_until("both dispatchers use the endpoint again", || !all.iter().any(is_blocked));
    all.push(peers.start(2));
    wait_until("the restarted dispatcher has the current state", || {
        !is_blocked(&all[2]) && all_peers_are(&all[2], "alive")
    });
    for _ in 0..5 {
        let (a, b) = (control_address(&all[0]), control_address(&all[1]));
        std::thread::scope(|s| {
            s.spawn(move || control_request(a, "set-down w1"));
            s.spawn(move || control_request(b, "set-up w1"));
        });
        wait_until("all dispatchers agree", || {
            std::thread::sleep(Duration::from_millis(300));
            let first = is_blocked(&all[0]);
            all.iter().all(|d| is_blocked(d) == first)
        });
    }
}

/// Guards against a second run of a message that is submitted again to another dispatcher. An at-most-once
/// message that ran is submitted again to four peers, of which two have copies and two do not know it: all
/// accept it as already held, and it runs once. Without `copied_verdict` the two with copies, without
/// `look_elsewhere` (src/dispatch/take_in.rs) the other two accept it as a new message.
#[test]
fn a_resubmitted_message_held_by_another_dispatcher_is_found() {
    let (worker, _open, effects) = endpoint_silent_for_pay();
    let peers = PeerGroup::new(5, worker.address, "ack = true");
    let all = peers.start_all();
    assert_eq!(all[0].client().submit("pay-0", "c=pay,t=acme,dest=1"), "+OK");
    wait_until("the message has run", || effects.lock().unwrap().len() == 1);
    wait_until("two peers have copies", || {
        all[1..].iter().filter(|d| replication_metrics(d)["copies"] == 1).count() == 2
    });
    for d in &all[1..] {
        assert_eq!(d.client().submit("pay-0", "c=pay,t=acme,dest=1,again=1"), "+OK");
        assert_eq!(
            d.client().submit("safe-0", "c=safe,t=acme,dest=1,again=1"),
            "+OK",
            "a message that no dispatcher knows is accepted as new"
        );
    }
    std::thread::sleep(Duration::from_millis(700));
    assert_eq!(effects.lock().unwrap().iter().filter(|e| *e == "pay-0").count(), 1);
    let queries: u64 = all[1..].iter().map(|d| replication_metrics(d)["queries"].as_u64().unwrap()).sum();
    assert!(queries >= 2, "{queries}");
}

/// A body that differs from that of every other message; some are empty and some large.
fn distinct_body(n: usize) -> Vec<u8> {
    let length = [0, 60_000, 40, 9_000][n % 4];
    format!("claim {n} ").bytes().cycle().take(length).collect()
}

/// Guards against messages that a takeover delivers with other content than was submitted: the copies reach
/// one holder late, and meanwhile the client submits its messages again to that holder, which learns of them
/// from its peers. Then the owner is killed and its folder is lost.
#[test]
fn a_takeover_delivers_what_was_submitted_though_a_query_came_before_the_copy() {
    const MESSAGES: usize = 24;
    let (worker, open, _) = refusing_until_opened();
    let mut peers = PeerGroup::new(3, worker.address, "");
    peers.changed_text = Some(("\"promise\":1000,\"deadline\":6000", "\"promise\":1000,\"deadline\":20000"));
    let mut all = peers.start_all();
    let options = |n: usize| format!("c=safe,k=key-{n},t=acme,d=15000,dest=1");
    let mut owner = all[0].client();
    let copies = |d: &Dispatcher| replication_metrics(d)["copies"].as_u64().unwrap();
    // A peer is chosen as a holder once it has answered a heartbeat.
    let mut warm_ups = 0;
    wait_until("both peers are chosen as holders", || {
        warm_ups += 1;
        let before = (copies(&all[1]), copies(&all[2]));
        assert_eq!(owner.submit(&format!("warm-up-{warm_ups}"), "c=safe,t=acme,d=15000,dest=1"), "+OK");
        std::thread::sleep(Duration::from_millis(50));
        copies(&all[1]) > before.0 && copies(&all[2]) > before.1
    });
    let warm_copies = (copies(&all[1]), copies(&all[2]));
    peers.paths[0][1].set_fault(Fault::Blackhole);
    for n in 0..MESSAGES {
        assert_eq!(owner.submit_body(&format!("m{n}"), &options(n), &distinct_body(n)), "+OK");
    }
    wait_until("one holder has the copies", || copies(&all[2]) >= warm_copies.1 + MESSAGES as u64);
    let mut late_holder = all[1].client();
    for n in 0..MESSAGES {
        let again = format!("{},again=1", options(n));
        assert_eq!(late_holder.submit_body(&format!("m{n}"), &again, &distinct_body(n)), "+OK");
    }
    peers.paths[0][1].set_fault(Fault::Pass);
    wait_until("the other holder has the copies too", || copies(&all[1]) >= warm_copies.0 + MESSAGES as u64);
    all.remove(0).kill();
    peers.wipe(0);
    let refused = worker.call_count();
    open.store(true, Ordering::SeqCst);
    let delivered = |n: usize| {
        let calls = worker.calls.lock().unwrap();
        calls[refused..].iter().find(|r| r.header("x-txn") == format!("m{n}")).cloned()
    };
    let has_ended = |n: usize| delivered(n).is_some() || !peers.notices(&format!("m{n}")).is_empty();
    wait_until("all messages end", || (0..MESSAGES).all(has_ended));
    let undelivered: Vec<String> = (0..MESSAGES)
        .filter(|n| delivered(*n).is_none())
        .flat_map(|n| peers.notices(&format!("m{n}")))
        .collect();
    assert!(undelivered.is_empty(), "{undelivered:?}");
    let altered: Vec<String> = (0..MESSAGES)
        .filter_map(|n| {
            let got = delivered(n)?;
            let intact = got.body == distinct_body(n) && got.header("idempotency-key") == format!("key-{n}");
            (!intact).then(|| format!("m{n}: {} of {} bytes", got.body.len(), distinct_body(n).len()))
        })
        .collect();
    assert!(altered.is_empty(), "{altered:?}");
    let took: u64 = all.iter().map(|d| replication_metrics(d)["taken_over"].as_u64().unwrap()).sum();
    assert!(took >= MESSAGES as u64, "{took}");
}

/// Guards against an endpoint outage that only the dispatcher that detected it knows: its peers know it, too,
/// and so does one that restarts with an empty state folder. Without `send_health`
/// (crates/replica/src/keeper.rs) each dispatcher knows only the outages that it detected itself.
#[test]
fn an_outage_detected_by_one_dispatcher_is_known_to_all() {
    let worker = EndpointStandIn::start(|_, _| Reply::CloseConnection);
    let mut peers = PeerGroup::new(3, worker.address, "");
    peers.other_tables = "[recovery]\nenabled = true".into();
    let mut all = peers.start_all();
    let mut c = all[0].client();
    for n in 0..6 {
        c.submit(&format!("safe-{n}"), "c=safe,t=acme,dest=1");
    }
    let outage_known =
        |d: &Dispatcher| replication_metrics(d)["away"].as_array().is_some_and(|a| a.len() == 1);
    wait_until("all dispatchers know the outage", || all.iter().all(outage_known));
    all.pop().unwrap().kill();
    peers.wipe(2);
    all.push(peers.start(2));
    wait_until("the restarted dispatcher knows the outage, too", || outage_known(&all[2]));
    assert_eq!(metrics(&all[2])["upstream_requests"], 0, "the restarted dispatcher made no call");
}

/// Runs two scenarios under the rig's audit: five dispatchers partitioned into 3 and 2 under load, with
/// messages accepted on both sides, and reconnected; and three dispatchers of which one is killed and loses
/// its state folder. No message is lost, delivered twice or has overlapping attempts, and each gets one final
/// answer. Without the lease in `may_start_attempt` (crates/replica/src/keeper.rs) both sides of the partition act on
/// one message (see also crates/replica/tests/keeper.rs).
#[test]
fn a_partition_of_five_and_a_killed_one_of_three_pass_the_audit() {
    use lilacbank_rig::scenario::Scenario;
    let check = |name: &str, text: &str| {
        let scenario = Scenario::parse(name, text).unwrap();
        let program = std::path::Path::new(env!("CARGO_BIN_EXE_lilacbank"));
        let work = std::env::temp_dir().join(format!("lilacbank-{name}-{}", std::process::id()));
        let report = lilacbank_rig::run::run_scenario(&scenario, program, &work, false).unwrap();
        let _ = std::fs::remove_dir_all(&work);
        assert!(report.clean(), "{name}: {report:?}");
        assert!(report.delivered * 10 > report.taken * 8, "{name}: {report:?}");
    };
    let split = include_str!("../crates/rig/scenarios/copies/split.toml");
    let killed = include_str!("../crates/rig/scenarios/copies/killed.toml");
    std::thread::scope(|s| {
        s.spawn(|| check("split", split));
        s.spawn(|| check("killed", killed));
    });
}

/// A measurement, not a check: the latency of `+OK` without replication, with it, and with `ack`, as ratios
/// within one run.
///
/// `cargo test --release --test replication -- --ignored --nocapture cost`
#[test]
#[ignore = "a measurement"]
fn cost_of_ok() {
    let worker = EndpointStandIn::start(|_, _| Reply::Answer("200 OK"));
    let alone = TestInstallation::new(&[list_entry("w1", &worker.address.to_string(), "a", 1, "in_service")]);
    let off = alone.start();
    let (plain, acked) =
        (PeerGroup::new(3, worker.address, ""), PeerGroup::new(3, worker.address, "ack = true"));
    let (on, ack) = (plain.start_all(), acked.start_all());
    let mut clients = [off.client(), on[0].client(), ack[0].client()];
    let mut took = [const { Vec::new() }; 3];
    for n in 0..4_000 {
        for (which, c) in clients.iter_mut().enumerate() {
            let start = Instant::now();
            let reply = c.submit(&format!("m{which}-{n}"), "c=safe,t=acme,dest=1");
            assert_eq!(reply, "+OK");
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
    let f = replication_metrics(&on[0]);
    println!("bytes sent between peers for each message: {}", f["said_bytes"].as_f64().unwrap() / 4_000.0);
}
