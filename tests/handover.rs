//! Takeovers of a killed process's journal that are interrupted, or that meet a folder without room or with
//! I/O errors: each message is taken over exactly once.

mod stand;
use stand::*;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const MESSAGES: usize = 12;

/// Two processes on one state folder. The first has accepted messages that the endpoint refused, and was
/// killed while the second was stopped.
struct Takeover {
    site: TestInstallation,
    second: Dispatcher,
    endpoint: EndpointStandIn,
    /// The endpoint accepts messages once this is set.
    open: Arc<AtomicBool>,
    delivered: Arc<Mutex<Vec<String>>>,
    ids: Vec<String>,
    /// The journal of the first process, and a copy of its content at the kill.
    file: PathBuf,
    copy: Vec<u8>,
}

/// Brings two processes to this state; the second one runs under this schedule of faults.
fn prepare_takeover(schedule: &str) -> Takeover {
    let (endpoint, open, delivered) = refusing_until_opened();
    let site =
        TestInstallation::new(&[list_entry("w1", &endpoint.address.to_string(), "a", 1, "in_service")]);
    let first = site.start();
    let ids: Vec<String> = (0..MESSAGES).map(|n| format!("m{n:02}")).collect();
    let mut client = first.client();
    for (n, id) in ids.iter().enumerate() {
        let class = ["pay", "order"][n % 2];
        let options = format!("c={class},t=acme,d=15000,k=k{n},dest=1");
        assert_eq!(client.submit_with_key(&format!("{:x}", n + 1), id, &options), "+OK");
    }
    wait_until("the endpoint has refused a message", || endpoint.call_count() >= 1);
    let second = site.start_with_faults(schedule, &[]);
    second.pause();
    first.kill();
    let file = site.dir.join("state").join("journal");
    let copy = std::fs::read(&file).unwrap();
    Takeover { site, second, endpoint, open, delivered, ids, file, copy }
}

impl Takeover {
    /// Resumes the second process and waits until every message has ended. All must be delivered but the one
    /// that may have been outstanding at the kill.
    fn resume_and_deliver(&mut self) {
        self.second.signal("-CONT");
        self.second.wait_for_log("took over ");
        self.open.store(true, Ordering::SeqCst);
        let ended = |id: &String| {
            self.delivered.lock().unwrap().contains(id) || !self.site.platform.notices_for(id).is_empty()
        };
        wait_until("every message has ended", || self.ids.iter().all(ended));
        std::thread::sleep(Duration::from_millis(200));
        assert!(
            self.delivered.lock().unwrap().len() + 1 >= MESSAGES,
            "more than one message was not delivered"
        );
    }

    /// Asserts that no message was delivered twice.
    fn assert_no_repeats(&self) {
        let delivered = self.delivered.lock().unwrap();
        for id in &self.ids {
            let times = delivered.iter().filter(|d| *d == id).count();
            assert!(times <= 1, "{id} was delivered {times} times");
        }
    }
}

/// Guards against the loss of records whose source file is removed although the full folder took no copy of
/// them.
#[test]
fn a_takeover_on_a_full_folder_loses_nothing_and_sends_nothing_twice() {
    let mut takeover = prepare_takeover("enospc 0 2500");
    takeover.resume_and_deliver();
    takeover.assert_no_repeats();
    takeover.second.signal("-KILL");
    let _third = takeover.site.start();
    std::thread::sleep(Duration::from_millis(700));
    takeover.assert_no_repeats();
}

/// Guards against loss and repeats when every access to the folder fails with EIO once the second process has
/// started.
#[test]
fn a_takeover_on_a_failing_folder_loses_nothing_and_sends_nothing_twice() {
    let mut takeover = prepare_takeover("eio 150 2500");
    takeover.resume_and_deliver();
    takeover.assert_no_repeats();
}

/// Guards against loss when the second process is killed between two steps of the takeover: the next process
/// must complete it.
#[test]
fn a_takeover_on_a_full_folder_that_is_killed_is_completed_by_the_next_process() {
    let mut takeover = prepare_takeover("enospc 0 1e12");
    takeover.second.signal("-CONT");
    takeover.second.wait_for_log("took over ");
    takeover.second.signal("-KILL");
    takeover.second = takeover.site.start();
    takeover.open.store(true, Ordering::SeqCst);
    let ended = |id: &String| {
        takeover.delivered.lock().unwrap().contains(id) || !takeover.site.platform.notices_for(id).is_empty()
    };
    wait_until("every message has ended", || takeover.ids.iter().all(ended));
    takeover.assert_no_repeats();
}

/// Guards against a second takeover of a file that was taken over but could not be emptied, whichever of the
/// two journal files the next process uses as its own.
#[test]
fn a_file_that_was_taken_over_and_not_emptied_is_not_taken_over_again() {
    for swapped in [false, true] {
        let mut takeover = prepare_takeover("");
        takeover.resume_and_deliver();
        takeover.second.signal("-KILL");
        let _ = takeover.second.wait_for_exit();
        std::fs::write(&takeover.file, &takeover.copy).unwrap();
        if swapped {
            let other = takeover.file.with_file_name("journal.1");
            let newer = std::fs::read(&other).unwrap();
            std::fs::write(&takeover.file, newer).unwrap();
            std::fs::write(&other, &takeover.copy).unwrap();
        }
        let calls = takeover.endpoint.call_count();
        // journal.1 is restored before each start, in case the previous one emptied it.
        let other = takeover.file.with_file_name("journal.1");
        let content = std::fs::read(&other).unwrap();
        for _ in 0..3 {
            std::fs::write(&other, &content).unwrap();
            let next = takeover.site.start();
            std::thread::sleep(Duration::from_millis(500));
            next.kill();
        }
        takeover.assert_no_repeats();
        let again: Vec<String> = takeover.endpoint.calls.lock().unwrap()[calls..]
            .iter()
            .map(|c| c.header("x-txn").into())
            .collect();
        assert!(again.is_empty(), "repeated with swapped = {swapped}: {again:?}");
    }
}

/// Guards against messages that are delivered twice because both journal files hold them: a process was
/// killed while it copied the records.
#[test]
fn records_copied_by_an_interrupted_takeover_are_not_sent_twice() {
    for swapped in [false, true] {
        let mut takeover = prepare_takeover("");
        takeover.second.signal("-KILL");
        let _ = takeover.second.wait_for_exit();
        let other = takeover.file.with_file_name("journal.1");
        let own_records = std::fs::read(&other).unwrap();
        let (whole, partial) = (
            takeover.copy.clone(),
            [own_records, takeover.copy[..takeover.copy.len() * 2 / 3].to_vec()].concat(),
        );
        let files = if swapped { [&partial, &whole] } else { [&whole, &partial] };
        std::fs::write(&takeover.file, files[0]).unwrap();
        std::fs::write(&other, files[1]).unwrap();
        takeover.open.store(true, Ordering::SeqCst);
        takeover.second = takeover.site.start();
        let ended = |id: &String| {
            takeover.delivered.lock().unwrap().contains(id)
                || !takeover.site.platform.notices_for(id).is_empty()
        };
        wait_until("every message has ended", || takeover.ids.iter().all(ended));
        std::thread::sleep(Duration::from_millis(300));
        takeover.assert_no_repeats();
    }
}

/// Guards against an upgrade that fails because the previous one has not ended: one of two serving processes
/// has received SIGTERM, and may take up to 3.7 s to exit.
#[test]
fn a_third_process_waits_for_the_one_that_exits() {
    let endpoint = EndpointStandIn::start(|_, _| Reply::NoAnswer);
    let site =
        TestInstallation::new(&[list_entry("w1", &endpoint.address.to_string(), "a", 1, "in_service")]);
    let first = site.start();
    assert_eq!(first.client().submit("m1", "c=pay,t=acme,d=15000,dest=1"), "+OK");
    wait_until("the attempt is outstanding", || endpoint.call_count() == 1);
    let mut second = site.start();
    second.wait_for_log("serves beside another process");
    first.signal("-TERM");
    let third = site.start();
    assert_eq!(third.client().submit("m2", "c=safe,t=acme,d=15000,dest=1"), "+OK");
    wait_until("the third process sends", || endpoint.calls_of("m2") > 0);
    assert_eq!(endpoint.calls_of("m1"), 1, "an at-most-once message was sent twice");
}
