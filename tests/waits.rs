//! Waits that endpoints tell, across an upgrade: they were told to the dispatcher, whichever of its processes asked.

mod stand;
use stand::*;
use std::time::{Duration, Instant};

const TURNED_AWAY: &str = "429 Too Many Requests\r\nRetry-After: 1.5";
const WAIT: Duration = Duration::from_millis(1_500);
/// Calls that come so soon after a wait was told are let through.
const ON_ITS_WAY: Duration = Duration::from_millis(100);

/// Calls that came within the wait that the first one of all was told, after the time that is let through.
fn within_the_wait(worker: &Worker) -> Vec<(String, Duration)> {
    let calls = worker.calls.lock().unwrap();
    let told = calls[0].at;
    let since = |at: Instant| at.duration_since(told);
    let early = calls.iter().filter(|c| since(c.at) > ON_ITS_WAY && since(c.at) < WAIT);
    early.map(|c| (c.header("x-txn").to_string(), since(c.at))).collect()
}

/// Guards against the new process of an upgrade that calls an endpoint within the wait that the old one was told.
#[test]
fn a_wait_told_to_the_old_process_binds_the_new_one_of_an_upgrade() {
    let worker = Worker::start(|_, nth| Reply::Answer(if nth == 0 { TURNED_AWAY } else { "200 OK" }));
    let site = Site::new(&[entry("w1", &worker.address.to_string(), "a", 1, "in_service")]);
    let old = site.start();
    assert_eq!(old.client().submit("first", "c=pay,t=acme,d=15000,dest=1"), "+OK");
    until("a wait is told", || worker.count() >= 1);
    std::thread::sleep(Duration::from_millis(30));
    let new = site.start();
    old.signal("-TERM");
    let mut client = new.client();
    for n in 0..5 {
        assert_eq!(client.submit(&format!("n{n}"), "c=pay,t=acme,d=15000,dest=1"), "+OK");
    }
    until("all are delivered", || worker.count() >= 7);
    assert_eq!(within_the_wait(&worker), [], "calls within the wait");
}

/// The other way round: the wait is told to the new process while the old one still serves.
#[test]
fn a_wait_told_to_the_new_process_of_an_upgrade_binds_the_old_one() {
    let worker = Worker::start(|_, nth| Reply::Answer(if nth == 0 { TURNED_AWAY } else { "200 OK" }));
    let site = Site::new(&[entry("w1", &worker.address.to_string(), "a", 1, "in_service")]);
    let old = site.start();
    let mut old_client = old.client();
    let new = site.start();
    assert_eq!(new.client().submit("first", "c=pay,t=acme,d=15000,dest=1"), "+OK");
    until("a wait is told", || worker.count() >= 1);
    std::thread::sleep(ON_ITS_WAY);
    for n in 0..5 {
        assert_eq!(old_client.submit(&format!("o{n}"), "c=pay,t=acme,d=15000,dest=1"), "+OK");
    }
    until("all are delivered", || worker.count() >= 7);
    assert_eq!(within_the_wait(&worker), [], "calls within the wait");
}
