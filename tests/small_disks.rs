//! A state folder on a disk that is smaller than its settings say: what is accepted is delivered, what the disk
//! has no room for is rejected, and accepting goes on as room returns.

mod stand;
use stand::*;
use std::collections::BTreeSet;
use std::fmt::Debug;
use std::time::{Duration, Instant};

/// Rejections in a row after which the disk counts as full.
const REJECTIONS_OF_A_FULL_DISK: usize = 30;
/// Longer than any time for which messages are submitted until the disk is full.
const FILL_TIMEOUT: Duration = Duration::from_secs(20);

/// What keeps the state folder below its `disk_mb`.
#[derive(Debug, Clone, Copy)]
enum Disk {
    /// A limit on the size of each file, in blocks of 512 bytes.
    FileBlocks(u32),
    /// A disk for all files together, in bytes.
    Bytes(u32),
}

impl Disk {
    fn start(self, site: &TestInstallation) -> Dispatcher {
        match self {
            Disk::FileBlocks(blocks) => {
                let config = patient_config(site);
                site.start_with_ulimit(&format!("-f {blocks}"), &[("ROUTER_CONFIG", &config)])
            }
            Disk::Bytes(bytes) => start_with_disk(site, &format!("disk 0 1e12 {bytes}")),
        }
    }
}

fn start_with_disk(site: &TestInstallation, schedule: &str) -> Dispatcher {
    site.start_with_faults(schedule, &[("ROUTER_CONFIG", &patient_config(site))])
}

/// Writes a configuration whose messages wait for their whole time for an endpoint to be listed; returns its
/// path. By default they wait for the target time of their class.
fn patient_config(site: &TestInstallation) -> String {
    let path =
        site.write_changed_config(r#""promise":1000,"deadline":6000"#, r#""promise":15000,"deadline":15000"#);
    let text = std::fs::read_to_string(&path).unwrap();
    let text = text.replace(r#""promise":4000"#, r#""promise":15000"#);
    std::fs::write(&path, text.replace(r#""promise":3000"#, r#""promise":15000"#)).unwrap();
    path
}

/// The messages of one class that a test submits. Their bodies have different lengths, of up to `body_max`
/// bytes.
#[derive(Debug, Clone, Copy)]
struct Messages {
    class: &'static str,
    deadline_ms: u64,
    body_max: usize,
    /// Number of the first message.
    first: usize,
}

impl Messages {
    /// Submits the message of this number; returns the answer.
    fn submit(self, client: &mut Client, number: usize) -> String {
        let body = vec![b'x'; number * 7919 % (self.body_max + 1)];
        let options = format!("c={},t=acme,d={},k=k{number},dest=1", self.class, self.deadline_ms);
        client.submit_body(&message_id(number), &options, &body)
    }

    /// Submits messages until many in a row are rejected; returns the numbers of the accepted ones.
    fn fill(self, d: &Dispatcher) -> Vec<usize> {
        let (mut client, begun) = (d.client(), Instant::now());
        let (mut accepted, mut rejected_in_a_row) = (Vec::new(), 0);
        for number in self.first.. {
            assert!(begun.elapsed() < FILL_TIMEOUT, "the disk is never full: {} accepted", accepted.len());
            let answer = self.submit(&mut client, number);
            if answer == "+OK" {
                accepted.push(number);
                rejected_in_a_row = 0;
                continue;
            }
            assert!(answer.starts_with("-BUSY"), "{answer}");
            rejected_in_a_row += 1;
            if rejected_in_a_row == REJECTIONS_OF_A_FULL_DISK {
                break;
            }
        }
        accepted
    }
}

fn message_id(number: usize) -> String {
    format!("m{number:05}")
}

fn list_endpoint(site: &TestInstallation, endpoint: &EndpointStandIn) {
    site.platform.publish_change(&list_entry("w1", &endpoint.address.to_string(), "a", 1, "in_service"));
}

/// Checks that each of these messages reaches the endpoint once and gets no notice.
fn check_delivered_once(site: &TestInstallation, endpoint: &EndpointStandIn, accepted: &[usize], what: &str) {
    let calls = |number: &usize| endpoint.calls_of(&message_id(*number));
    let notices = |number: &usize| site.platform.notices_for(&message_id(*number));
    wait_until(&format!("{what}: all accepted messages end"), || {
        accepted.iter().all(|number| calls(number) > 0 || !notices(number).is_empty())
    });
    let wrong: Vec<_> =
        accepted.iter().filter(|n| calls(n) != 1).map(|n| (n, calls(n), notices(n))).collect();
    assert!(wrong.is_empty(), "{what}: of {} accepted, not delivered once: {wrong:?}", accepted.len());
}

/// Messages are accepted until the disk is full, while no endpoint is listed; then one is.
fn check_full_disk(disk: Disk, messages: Messages, killed: bool) {
    let what = format!("{disk:?}, {messages:?}, killed: {killed}");
    let endpoint = EndpointStandIn::start(|_, _| Reply::Answer("200 OK"));
    let site = TestInstallation::new(&[]);
    let mut d = disk.start(&site);
    let accepted = messages.fill(&d);
    assert!(!accepted.is_empty(), "{what}");
    if killed {
        d.kill();
        d = disk.start(&site);
    }
    list_endpoint(&site, &endpoint);
    check_delivered_once(&site, &endpoint, &accepted, &what);
    let mut client = d.client();
    let first_new = accepted.last().map_or(0, |last| last + REJECTIONS_OF_A_FULL_DISK + 1);
    let new: Vec<usize> = (first_new..first_new + 5).collect();
    for number in &new {
        wait_until(&format!("{what}: accepting goes on"), || messages.submit(&mut client, *number) == "+OK");
    }
    check_delivered_once(&site, &endpoint, &new, &what);
    // A message that is submitted again is known, however full the disk is.
    for number in accepted.iter().rev().take(5) {
        assert_eq!(messages.submit(&mut client, *number), "+OK", "{what}");
    }
    std::thread::sleep(Duration::from_millis(200));
    check_delivered_once(&site, &endpoint, &accepted, &what);
}

const SAFE: Messages = Messages { class: "safe", deadline_ms: 15_000, body_max: 0, first: 0 };
const ORDER: Messages = Messages { class: "order", deadline_ms: 15_000, body_max: 300, first: 0 };
const LARGE: Messages = Messages { body_max: 3_000, ..ORDER };
const PAY: Messages = Messages { class: "pay", deadline_ms: 15_000, body_max: 3_000, first: 0 };
const SHORT: Messages = Messages { class: "safe", deadline_ms: 4_000, body_max: 100, first: 0 };

/// Runs the cases beside each other and waits for all before it fails: a dispatcher that outlives the test
/// would keep its output open.
fn check_all<C: Debug + Send + 'static>(cases: impl IntoIterator<Item = C>, check: fn(&C)) {
    let start = |case: C| {
        let name = format!("{case:?}");
        (name, std::thread::spawn(move || check(&case)))
    };
    let runs: Vec<_> = cases.into_iter().map(start).collect();
    let failed = runs.into_iter().filter_map(|(name, run)| run.join().is_err().then_some(name));
    let failed: Vec<String> = failed.collect();
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Each of these disks with messages of each class.
fn with_each_class<const N: usize>(disks: [Disk; N]) -> impl Iterator<Item = (Disk, Messages)> {
    disks.into_iter().flat_map(|disk| [SAFE, ORDER, PAY].map(|messages| (disk, messages)))
}

/// Guards against a file whose last bytes go to new messages, so that the attempts of those accepted before
/// cannot be recorded.
#[test]
fn messages_accepted_until_no_file_may_grow_are_delivered() {
    let sizes = [40, 60, 200, 700].map(Disk::FileBlocks);
    check_all(with_each_class(sizes), |(disk, messages)| check_full_disk(*disk, *messages, false));
}

/// The same on a disk on which the journal and its compacted copy need space at the same time.
#[test]
fn messages_accepted_until_the_disk_is_full_are_delivered() {
    let sizes = [60_000, 100_000, 500_000].map(Disk::Bytes);
    check_all(with_each_class(sizes), |(disk, messages)| check_full_disk(*disk, *messages, false));
}

/// The same with messages that have little time.
#[test]
fn messages_with_little_time_are_delivered_from_a_full_disk() {
    let disks = [Disk::FileBlocks(60), Disk::FileBlocks(200), Disk::Bytes(100_000)];
    check_all(disks, |disk| check_full_disk(*disk, SHORT, false));
}

/// The same if the process is killed while the disk is full.
#[test]
fn messages_on_a_full_disk_are_delivered_after_a_kill() {
    let disks = [Disk::FileBlocks(60), Disk::FileBlocks(200), Disk::Bytes(60_000), Disk::Bytes(300_000)];
    check_all(with_each_class(disks), |(disk, messages)| check_full_disk(*disk, *messages, true));
}

/// Guards against the attempts of messages that an endpoint refuses: each writes records, and the file is
/// compacted again and again.
#[test]
fn refused_messages_on_a_full_disk_are_delivered_once_the_endpoint_accepts() {
    let disks = [Disk::FileBlocks(60), Disk::FileBlocks(200), Disk::Bytes(60_000), Disk::Bytes(200_000)];
    let cases = disks.into_iter().flat_map(|disk| [LARGE, PAY].map(|messages| (disk, messages)));
    check_all(cases, |(disk, messages)| check_refused(*disk, *messages));
}

fn check_refused(disk: Disk, messages: Messages) {
    let (endpoint, open, delivered) = refusing_until_opened();
    let site =
        TestInstallation::new(&[list_entry("w1", &endpoint.address.to_string(), "a", 1, "in_service")]);
    let d = disk.start(&site);
    let accepted = messages.fill(&d);
    let what = format!("{disk:?}, {messages:?}");
    assert!(!accepted.is_empty(), "{what}");
    std::thread::sleep(Duration::from_millis(1_500));
    open.store(true, std::sync::atomic::Ordering::SeqCst);
    wait_until(&format!("{what}: all accepted messages end"), || {
        let delivered = delivered.lock().unwrap();
        accepted
            .iter()
            .map(|number| message_id(*number))
            .all(|id| delivered.contains(&id) || !site.platform.notices_for(&id).is_empty())
    });
    let mut delivered = delivered.lock().unwrap().clone();
    delivered.sort();
    let expected: Vec<String> = accepted.iter().map(|number| message_id(*number)).collect();
    assert_eq!(delivered, expected, "{what}");
}

/// Guards against a disk that counts as full for good: the space is asked for again, although nothing that is
/// held ends.
#[test]
fn accepting_goes_on_once_the_disk_has_room_again() {
    let site = TestInstallation::new(&[]);
    // The times of the schedule count from the start of the process, not from the build of the library.
    faults::fault_library();
    let begun = Instant::now();
    let d = start_with_disk(&site, "disk 0 4000 60000");
    let started = Instant::now();
    let accepted = PAY.fill(&d);
    assert!(begun.elapsed() < Duration::from_millis(3_500), "the machine is too slow for this test");
    let first_new = accepted.last().unwrap() + REJECTIONS_OF_A_FULL_DISK + 1;
    std::thread::sleep(Duration::from_millis(4_100).saturating_sub(started.elapsed()));
    let mut client = d.client();
    let opened = Instant::now();
    for number in first_new..first_new + 10 {
        wait_until("accepting goes on", || PAY.submit(&mut client, number) == "+OK");
    }
    assert!(opened.elapsed() < Duration::from_secs(1), "{:?}", opened.elapsed());
    let endpoint = EndpointStandIn::start(|_, _| Reply::Answer("200 OK"));
    list_endpoint(&site, &endpoint);
    let all: Vec<usize> = accepted.into_iter().chain(first_new..first_new + 10).collect();
    check_delivered_once(&site, &endpoint, &all, "room again");
}

/// Guards against two processes on one small disk that accept more together than one of them can take over.
#[test]
fn a_handover_on_a_full_disk_delivers_what_both_processes_accepted() {
    let disks = [Disk::FileBlocks(60), Disk::FileBlocks(200), Disk::Bytes(100_000), Disk::Bytes(300_000)];
    let cases = disks.into_iter().flat_map(|disk| ["-TERM", "-KILL"].map(|signal| (disk, signal)));
    check_all(cases, |(disk, signal)| check_handover(*disk, signal));
}

fn check_handover(disk: Disk, signal: &str) {
    let endpoint = EndpointStandIn::start(|_, _| Reply::Answer("200 OK"));
    let site = TestInstallation::new(&[]);
    let mut first = disk.start(&site);
    let mut accepted = PAY.fill(&first);
    let mut second = disk.start(&site);
    let offset = accepted.last().unwrap() + REJECTIONS_OF_A_FULL_DISK + 1;
    accepted.extend(Messages { first: offset, ..PAY }.fill(&second));
    first.signal(signal);
    first.wait_for_exit();
    second.wait_for_log("took over ");
    list_endpoint(&site, &endpoint);
    check_delivered_once(&site, &endpoint, &accepted, &format!("{disk:?}, {signal}"));
}

/// Guards against identities that fill a disk: none is forgotten before its time, and none of the messages
/// that are accepted beside them is returned.
#[test]
fn a_disk_full_of_identities_rejects_what_it_cannot_work() {
    let disks = [Disk::FileBlocks(60), Disk::Bytes(80_000), Disk::Bytes(200_000)];
    check_all(disks, |disk| check_identities(*disk));
}

fn check_identities(disk: Disk) {
    let endpoint = EndpointStandIn::start(|_, _| Reply::Answer("200 OK"));
    let site =
        TestInstallation::new(&[list_entry("w1", &endpoint.address.to_string(), "a", 1, "in_service")]);
    let d = disk.start(&site);
    let messages = Messages { deadline_ms: 1_000, body_max: 0, ..SHORT };
    let accepted = messages.fill(&d);
    let what = format!("{disk:?}");
    assert!(accepted.len() > 100, "{what}: only {} accepted", accepted.len());
    check_delivered_once(&site, &endpoint, &accepted, &what);
    let mut client = d.client();
    for number in &accepted {
        assert_eq!(messages.submit(&mut client, *number), "+OK", "{what}: {number} is remembered");
    }
    check_delivered_once(&site, &endpoint, &accepted, &what);
}

/// Guards against a kill among the records and compactions of a full disk: what was accepted is delivered,
/// and at-most-once messages run at most once.
#[test]
fn a_kill_while_a_full_disk_empties_loses_nothing() {
    let disks = [Disk::FileBlocks(60), Disk::FileBlocks(200), Disk::Bytes(60_000), Disk::Bytes(200_000)];
    let cases = disks.into_iter().flat_map(|disk| [(disk, SAFE, 150), (disk, ORDER, 60), (disk, PAY, 300)]);
    check_all(cases, |(disk, messages, after_ms)| check_kill(*disk, *messages, *after_ms));
}

fn check_kill(disk: Disk, messages: Messages, after_ms: u64) {
    let what = format!("{disk:?}, {messages:?}, killed {after_ms} ms after the endpoint is listed");
    let endpoint = EndpointStandIn::start(|_, _| Reply::DelayedAnswer(Duration::from_millis(20), "200 OK"));
    let site = TestInstallation::new(&[]);
    let d = disk.start(&site);
    let accepted = messages.fill(&d);
    assert!(!accepted.is_empty(), "{what}");
    list_endpoint(&site, &endpoint);
    std::thread::sleep(Duration::from_millis(after_ms));
    d.kill();
    let _next = disk.start(&site);
    let calls = |number: &usize| endpoint.calls_of(&message_id(*number));
    let has_ended =
        |number: &usize| calls(number) > 0 || !site.platform.notices_for(&message_id(*number)).is_empty();
    wait_until(&format!("{what}: all accepted messages end"), || accepted.iter().all(has_ended));
    let undelivered: BTreeSet<_> = accepted.iter().filter(|number| calls(number) == 0).collect();
    assert!(undelivered.is_empty(), "{what}: of {} accepted: {undelivered:?}", accepted.len());
    std::thread::sleep(Duration::from_millis(500));
    let twice: Vec<_> =
        accepted.iter().filter(|number| messages.class == "pay" && calls(number) > 1).collect();
    assert!(twice.is_empty(), "{what}: {twice:?}");
}
