//! Handovers that are cut short, or meet a folder that takes no writes: what is taken over is taken over once.

mod stand;
use stand::*;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const MESSAGES: usize = 12;

/// Two processes on one folder; the first has taken messages that the endpoint turned away, and has been killed while the
/// second one stands still.
struct Killed {
    site: Site,
    second: Dispatcher,
    worker: Worker,
    open: Arc<AtomicBool>,
    delivered: Arc<Mutex<Vec<String>>>,
    ids: Vec<String>,
    /// The first one's journal, and a copy of it.
    file: PathBuf,
    copy: Vec<u8>,
}

fn killed(schedule: &str) -> Killed {
    let (worker, open, delivered) = gate();
    let site = Site::new(&[entry("w1", &worker.address.to_string(), "a", 1, "in_service")]);
    let first = site.start();
    let ids: Vec<String> = (0..MESSAGES).map(|n| format!("m{n:02}")).collect();
    let mut client = first.client();
    for (n, id) in ids.iter().enumerate() {
        let class = ["pay", "order"][n % 2];
        let options = format!("c={class},t=acme,d=15000,k=k{n},dest=1");
        assert_eq!(client.keyed(&format!("{:x}", n + 1), id, &options), "+OK");
    }
    until("the endpoint has turned some away", || worker.count() >= 1);
    let second = site.start_under(schedule, &[]);
    second.halt();
    first.kill();
    let file = site.dir.join("state").join("journal");
    let copy = std::fs::read(&file).unwrap();
    Killed { site, second, worker, open, delivered, ids, file, copy }
}

impl Killed {
    /// The second one goes on, and all that was not out at the kill is delivered.
    fn deliver(&mut self) {
        self.second.signal("-CONT");
        self.second.logged("took over ");
        self.open.store(true, Ordering::SeqCst);
        let ended = |id: &String| {
            self.delivered.lock().unwrap().contains(id) || !self.site.platform.noticed(id).is_empty()
        };
        until("each has its end", || self.ids.iter().all(ended));
        std::thread::sleep(Duration::from_millis(200));
        assert!(self.delivered.lock().unwrap().len() + 1 >= MESSAGES, "one at most was out at the kill");
    }

    fn each_was_delivered_once(&self) {
        let delivered = self.delivered.lock().unwrap();
        for id in &self.ids {
            let times = delivered.iter().filter(|d| *d == id).count();
            assert!(times <= 1, "{id} was delivered {times} times");
        }
    }
}

/// Guards against records that are gone with the file they came from: the folder took none when they were taken over.
#[test]
fn a_handover_on_a_full_folder_loses_nothing_and_sends_nothing_twice() {
    let mut k = killed("enospc 0 2500");
    k.deliver();
    k.each_was_delivered_once();
    k.second.signal("-KILL");
    let _third = k.site.start();
    std::thread::sleep(Duration::from_millis(700));
    k.each_was_delivered_once();
}

/// The same with a folder that answers EIO to everything once the second process has started.
#[test]
fn a_handover_on_a_failing_folder_loses_nothing_and_sends_nothing_twice() {
    let mut k = killed("eio 150 2500");
    k.deliver();
    k.each_was_delivered_once();
}

/// A second process that is killed between two steps of taking over leaves what it had not done to the next one.
#[test]
fn a_handover_on_a_full_folder_that_is_killed_is_done_by_the_next_process() {
    let mut k = killed("enospc 0 1e12");
    k.second.signal("-CONT");
    k.second.logged("took over ");
    k.second.signal("-KILL");
    k.second = k.site.start();
    k.open.store(true, Ordering::SeqCst);
    let ended =
        |id: &String| k.delivered.lock().unwrap().contains(id) || !k.site.platform.noticed(id).is_empty();
    until("each has its end", || k.ids.iter().all(ended));
    k.each_was_delivered_once();
}

/// Guards against a file that was taken over, could not be emptied and is read again after the next start, whichever of the
/// two files that start takes for its own.
#[test]
fn a_file_that_was_taken_over_and_not_emptied_is_not_taken_over_again() {
    for swapped in [false, true] {
        let mut k = killed("");
        k.deliver();
        k.second.signal("-KILL");
        let _ = k.second.ended_somehow();
        std::fs::write(&k.file, &k.copy).unwrap();
        if swapped {
            let other = k.file.with_file_name("journal.1");
            let newer = std::fs::read(&other).unwrap();
            std::fs::write(&k.file, newer).unwrap();
            std::fs::write(&other, &k.copy).unwrap();
        }
        let calls = k.worker.count();
        // Whichever file a start empties is there again at the next one.
        let other = k.file.with_file_name("journal.1");
        let left = std::fs::read(&other).unwrap();
        for _ in 0..3 {
            std::fs::write(&other, &left).unwrap();
            let next = k.site.start();
            std::thread::sleep(Duration::from_millis(500));
            next.kill();
        }
        k.each_was_delivered_once();
        let again: Vec<String> =
            k.worker.calls.lock().unwrap()[calls..].iter().map(|c| c.header("x-txn").into()).collect();
        assert!(again.is_empty(), "swapped {swapped}: {again:?}");
    }
}

/// Guards against calls that are held twice: a process was killed while it copied them, and both files hold some.
#[test]
fn copies_of_a_handover_that_was_cut_short_are_no_second_calls() {
    for swapped in [false, true] {
        let mut k = killed("");
        k.second.signal("-KILL");
        let _ = k.second.ended_somehow();
        let other = k.file.with_file_name("journal.1");
        let begun = std::fs::read(&other).unwrap();
        let (whole, partial) = (k.copy.clone(), [begun, k.copy[..k.copy.len() * 2 / 3].to_vec()].concat());
        let files = if swapped { [&partial, &whole] } else { [&whole, &partial] };
        std::fs::write(&k.file, files[0]).unwrap();
        std::fs::write(&other, files[1]).unwrap();
        k.open.store(true, Ordering::SeqCst);
        k.second = k.site.start();
        let ended =
            |id: &String| k.delivered.lock().unwrap().contains(id) || !k.site.platform.noticed(id).is_empty();
        until("each has its end", || k.ids.iter().all(ended));
        std::thread::sleep(Duration::from_millis(300));
        k.each_was_delivered_once();
    }
}

/// Guards against an upgrade that fails since the one before it has not ended: of the two that serve one was told to leave, and
/// has up to 3.7 s for that.
#[test]
fn a_start_beside_two_waits_for_the_one_that_leaves() {
    let worker = Worker::start(|_, _| Reply::Silence);
    let site = Site::new(&[entry("w1", &worker.address.to_string(), "a", 1, "in_service")]);
    let first = site.start();
    assert_eq!(first.client().submit("m1", "c=pay,t=acme,d=15000,dest=1"), "+OK");
    until("it is out", || worker.count() == 1);
    let mut second = site.start();
    second.logged("serves beside another process");
    first.signal("-TERM");
    let third = site.start();
    assert_eq!(third.client().submit("m2", "c=safe,t=acme,d=15000,dest=1"), "+OK");
    until("the third one sends", || worker.of("m2") > 0);
    assert_eq!(worker.of("m1"), 1, "an unsafe message was sent twice");
}
