//! Upgrades: what the two processes on one state folder know of each other's messages.

mod stand;

use lilacbank::api::{Outcome, ServiceState};
use lilacbank::dispatch::{AttemptResult, Core, Order, Submission, Verdict};
use lilacbank::journal::{Identity, Journal, MessageNo, Record};
use stand::in_process::{apply_endpoint_list, new_core_in, next_attempt, submission, submit};
use stand::*;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Barrier};

const MESSAGES: usize = 6;
const PAY: &str = "c=pay,t=acme,d=15000,dest=1";

/// A destination that refuses until it is opened, and an installation with it.
struct Destination {
    _endpoint: EndpointStandIn,
    site: TestInstallation,
    open: Arc<std::sync::atomic::AtomicBool>,
    delivered: Arc<std::sync::Mutex<Vec<String>>>,
}

fn refusing_destination() -> Destination {
    let (endpoint, open, delivered) = refusing_until_opened();
    let site =
        TestInstallation::new(&[list_entry("w1", &endpoint.address.to_string(), "a", 1, "in_service")]);
    Destination { _endpoint: endpoint, site, open, delivered }
}

impl Destination {
    /// Opens the destination once the old process has ended, and waits until all is delivered.
    fn deliver_after(&self, old: &mut Dispatcher, ids: &[String]) {
        old.signal("-TERM");
        old.wait_for_success();
        self.open.store(true, Ordering::SeqCst);
        wait_until("every message is delivered", || {
            ids.iter().all(|id| self.delivered.lock().unwrap().contains(id))
        });
        std::thread::sleep(std::time::Duration::from_millis(500));
    }

    fn assert_delivered_once(&self, ids: &[String]) {
        let mut delivered = self.delivered.lock().unwrap().clone();
        delivered.sort();
        assert_eq!(delivered, ids, "each message takes effect once");
    }
}

fn message_ids() -> Vec<String> {
    (0..MESSAGES).map(|n| format!("up-{n}")).collect()
}

/// Guards against an upgrade that runs a message twice: the new process must not accept, under an id that is taken,
/// what the old one holds.
#[test]
fn the_new_process_does_not_accept_what_the_old_one_holds() {
    let destination = refusing_destination();
    let ids = message_ids();
    let mut old = destination.site.start();
    let mut client = old.client();
    for id in &ids {
        assert_eq!(client.submit_body(id, PAY, b"first"), "+OK");
    }
    let new = destination.site.start();
    let mut client = new.client();
    for id in &ids {
        assert_eq!(client.submit_body(id, PAY, b"second"), "+OK", "it is known, as to the old process");
    }
    destination.deliver_after(&mut old, &ids);
    destination.assert_delivered_once(&ids);
}

/// Guards against the same fault the other way round, also while the old process has not noticed the new one.
#[test]
fn the_old_process_does_not_accept_what_the_new_one_holds() {
    let destination = refusing_destination();
    let ids = message_ids();
    let mut old = destination.site.start();
    let mut to_old = old.client();
    assert_eq!(to_old.command(&[b"PING"]), "+PONG");
    let new = destination.site.start();
    let mut to_new = new.client();
    for id in &ids {
        assert_eq!(to_new.submit(id, PAY), "+OK");
        assert_eq!(to_old.submit(id, PAY), "+OK");
    }
    drop(to_old);
    destination.deliver_after(&mut old, &ids);
    destination.assert_delivered_once(&ids);
}

/// Guards against a second effect under another id: an idempotency key that the other process holds is busy, and one
/// that it has delivered is answered and not sent again.
#[test]
fn an_idempotency_key_of_the_other_process_is_known() {
    let site = TestInstallation::new(&[]);
    let folder = site.dir.join("state");
    let [mut first, mut second] = [1, 1_000].map(|first_no| core_of_process(&folder, first_no, &["pay"]));
    let with_key = |id: &str| Submission { idempotency_key: "aa".into(), ..submission(id, "pay") };
    first.submit(1.0, 2, with_key("held"));
    let (sent_at, attempt) = next_attempt(&mut first, 1.0, 500).expect("an attempt");
    second.submit(sent_at, 2, with_key("other"));
    assert!(matches!(verdict(second.turn(sent_at)), Some(Verdict::Busy(_))));
    let (no, now) = (attempt.message_no, sent_at + 1.0);
    first.attempt_written(now, no, attempt.attempt);
    first.attempt_ended(now, no, attempt.attempt, AttemptResult::new(Outcome::Delivered));
    first.turn(now);
    second.submit(now, 2, with_key("third"));
    assert_eq!(verdict(second.turn(now)), Some(Verdict::Accepted));
    assert_eq!(second.held_messages(), 0, "it is answered from what the other process has delivered");
}

/// A process on this folder, as far as its core, with one endpoint.
fn core_of_process(folder: &Path, first_no: MessageNo, at_most_once: &[&str]) -> Core {
    let mut core = new_core_in(folder, at_most_once);
    core.set_first_message_no(first_no);
    apply_endpoint_list(&mut core, 0.0, &["w1"], ServiceState::InService, true);
    core
}

fn verdict(orders: Vec<Order>) -> Option<Verdict> {
    orders.into_iter().find_map(|order| match order {
        Order::AnswerClient { verdict, .. } => Some(verdict),
        _ => None,
    })
}

/// Guards against two processes that each accept the same message at the same moment, before either has seen the
/// other's record.
#[test]
fn a_message_submitted_to_both_processes_at_once_is_held_by_one_at_most() {
    for _ in 0..10 {
        let site = TestInstallation::new(&[]);
        let folder = site.dir.join("state");
        let start = Arc::new(Barrier::new(2));
        let processes: Vec<_> = [1, 1_000]
            .map(|first_no| {
                let mut core = core_of_process(&folder, first_no, &[]);
                let start = start.clone();
                std::thread::spawn(move || {
                    for n in 0..40 {
                        start.wait();
                        submit(&mut core, 1.0, &format!("race-{n}"), "pay");
                    }
                    core
                })
            })
            .into_iter()
            .collect();
        let cores: Vec<_> = processes.into_iter().map(|p| p.join().unwrap()).collect();
        drop(cores);
        let twice: Vec<Identity> =
            holders(&folder).into_iter().filter(|(_, held)| held.len() > 1).map(|(id, _)| id).collect();
        assert!(twice.is_empty(), "held by both processes: {twice:?}");
    }
}

/// Guards against a message that runs twice because a process ended between writing it and withdrawing it.
#[test]
fn a_record_that_was_not_withdrawn_in_time_is_withdrawn_by_the_handover() {
    let destination = refusing_destination();
    let site = &destination.site;
    let mut old = site.start();
    assert_eq!(old.client().submit("up-0", PAY), "+OK");
    let folder = site.dir.join("state");
    let (_, records) = Journal::open(&folder, 1 << 20).map(|(j, r)| (drop(j), r)).unwrap();
    assert!(records.is_empty(), "the old process has the first file");
    let held = old_records(&folder).into_iter().find(|r| matches!(r, Record::Accepted(_))).unwrap();
    let Record::Accepted(mut message) = held else { unreachable!() };
    message.no += 1_000_000;
    let (mut journal, _) = Journal::open(&folder, 1 << 20).unwrap();
    journal.append(&Record::Accepted(message)).unwrap();
    drop(journal);
    old.wait_for_log("took over ");
    destination.open.store(true, Ordering::SeqCst);
    wait_until("the message is delivered", || !destination.delivered.lock().unwrap().is_empty());
    std::thread::sleep(std::time::Duration::from_millis(500));
    destination.assert_delivered_once(&["up-0".to_string()]);
    assert!(site.platform.notices_for("up-0").is_empty());
}

/// The records in the file of the process that runs.
fn old_records(folder: &Path) -> Vec<Record> {
    let copy = folder.with_file_name("copy");
    std::fs::create_dir_all(&copy).unwrap();
    std::fs::copy(folder.join("journal"), copy.join("journal")).unwrap();
    let (_, records) = Journal::open(&copy, 1 << 20).unwrap();
    std::fs::remove_dir_all(&copy).unwrap();
    records
}

/// The open messages of both journals in a folder, by identity.
fn holders(folder: &Path) -> BTreeMap<Identity, Vec<MessageNo>> {
    let (journal, mut records) = Journal::open(folder, 1 << 20).unwrap();
    records.extend(journal.orphaned_journal().unwrap().map(|left| left.records).unwrap_or_default());
    let mut open = BTreeMap::new();
    for record in records {
        match record {
            Record::Accepted(message) => drop(open.insert(message.no, message.identity)),
            Record::Settled { no, .. } => drop(open.remove(&no)),
            _ => {}
        }
    }
    let mut holders: BTreeMap<Identity, Vec<MessageNo>> = BTreeMap::new();
    open.into_iter().for_each(|(no, identity)| holders.entry(identity).or_default().push(no));
    holders
}
