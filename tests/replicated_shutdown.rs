//! Planned restarts of a dispatcher whose answers to clients depend on its peers.

mod stand;
#[path = "stand/peer_group.rs"]
mod stand_peer_group;

use lilacbank_rig::Fault;
use stand::*;
use stand_peer_group::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

const CLIENTS: usize = 6;
/// Commands of one client that are written and not answered.
const PIPELINED: usize = 3;

/// One play: the path to the peers, the keys of `[replication]`, and the options of the submissions.
#[derive(Debug, Clone, Copy)]
struct Play {
    path_ms: u64,
    replication_keys: &'static str,
    options: &'static str,
}

/// What a client has written and what was answered, in order.
struct Session {
    sent: Vec<String>,
    answers: Vec<String>,
}

/// Keeps commands outstanding on one connection until the dispatcher closes it.
fn use_connection(to: SocketAddr, client: usize, options: &str) -> Session {
    let mut session = Session { sent: Vec::new(), answers: Vec::new() };
    let mut connection = Client::connect(to);
    loop {
        while session.sent.len() < session.answers.len() + PIPELINED {
            let id = format!("m-{client}-{}", session.sent.len());
            let command = encode_command(&[b"SUBMIT", b"0", id.as_bytes(), options.as_bytes(), b"x"]);
            if std::io::Write::write_all(connection.0.get_mut(), &command).is_err() {
                return session;
            }
            session.sent.push(id);
        }
        let mut line = String::new();
        match std::io::BufRead::read_line(&mut connection.0, &mut line) {
            Ok(n) if n > 0 => session.answers.push(line),
            _ => return session,
        }
    }
}

/// Ends a dispatcher while its clients go on; returns what was read and got no answer, and whether the process counts a
/// violation of its rules.
fn play(play: Play) -> (Vec<String>, String) {
    let endpoint = EndpointStandIn::start(|_, _| Reply::Answer("200 OK"));
    let peers = PeerGroup::new(3, endpoint.address, play.replication_keys);
    let mut all = peers.start_all();
    peers.set_faults_around(0, Fault::Delay(Duration::from_millis(play.path_ms)));
    thread::sleep(Duration::from_millis(500));
    let to = all[0].address();
    let clients = (0..CLIENTS).map(|n| thread::spawn(move || use_connection(to, n, play.options)));
    let clients: Vec<_> = clients.collect();
    thread::sleep(Duration::from_millis(500));
    all[0].signal("-TERM");
    let rules = all[0].wait_for_log("rules: ");
    all[0].wait_for_success();
    let sessions: Vec<Session> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    // What it had taken on is sent by the next process, or by this one before its end.
    let next = peers.start(0);
    wait_until("the next process serves", || next.client().command(&[b"PING"]) == "+PONG");
    thread::sleep(Duration::from_secs(2));
    let unanswered = sessions.iter().flat_map(|s| s.sent.iter().skip(s.answers.len()));
    let called: BTreeSet<String> =
        endpoint.calls.lock().unwrap().iter().map(|r| r.header("x-txn").to_string()).collect();
    (unanswered.filter(|id| called.contains(*id)).cloned().collect(), rules)
}

/// Guards against accepted messages whose connection ends without an answer: a planned restart did not wait for the copies,
/// or for the peers' answers, on which the answers to clients depend.
#[test]
fn a_planned_restart_answers_requests_that_wait_for_peers() {
    let fresh = "c=safe,t=acme,d=6000,dest=1";
    let plays = [
        Play { path_ms: 40, replication_keys: "ack = true", options: fresh },
        Play { path_ms: 15, replication_keys: "ack = true\ncopies = 1", options: fresh },
        // The last copies are confirmed after the process has to end.
        Play { path_ms: 130, replication_keys: "ack = true", options: fresh },
        Play { path_ms: 40, replication_keys: "", options: "c=safe,t=acme,d=6000,dest=1,r=1" },
    ];
    let running: Vec<_> = plays.map(|p| (p, thread::spawn(move || play(p)))).into_iter().collect();
    let results: Vec<_> = running.into_iter().map(|(p, run)| (p, run.join())).collect();
    for (p, result) in results {
        let (lost, rules) = result.expect("the play runs to its end");
        assert!(lost.is_empty(), "{p:?}: accepted and not answered: {lost:?}");
        assert!(rules.contains("\"violations\":{}"), "{p:?}: {rules}");
    }
}
