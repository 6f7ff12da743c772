//! Steps of the wall clock between two lives on one folder. Deadlines, windows and waits are spans of real time.

mod stand;
use stand::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const OK: Reply = Reply::Answer("200 OK");
const HOUR_MS: i64 = 3_600_000;
const MESSAGES: usize = 60;
/// A final answer may come so long after its time: 300 ms by the protocol, and what a loaded test machine adds.
const LATE: Duration = Duration::from_millis(1_500);

/// 60 messages that are taken on while their endpoint is silent.
struct Taken {
    site: Site,
    worker: Worker,
    answers: Arc<AtomicBool>,
    at: Instant,
    /// Each with its class and the calls that it had before the process was killed.
    tried: Vec<(String, &'static str, usize)>,
}

/// They are valid for so many milliseconds; the process that took them runs under a schedule of faults and is killed.
fn taken(left_ms: u64, schedule: &str) -> Taken {
    let (worker, answers) = silent_until_told();
    let site = Site::new(&[entry("w1", &worker.address.to_string(), "a", 1, "in_service")]);
    let d = site.start_under(schedule, &[]);
    let mut client = d.client();
    let at = Instant::now();
    let ids = hand_in_each_class(&mut client, MESSAGES, left_ms);
    d.kill();
    let tried = ids.into_iter().map(|(id, class)| (id.clone(), class, worker.of(&id))).collect();
    Taken { site, worker, answers, at, tried }
}

impl Taken {
    /// Each of them ends by a notice within its time, although the next process's wall clock is off by so much.
    fn all_end_in_time(&self, left_ms: u64, next: &str) {
        let _d = self.site.start_under(next, &[]);
        let until = self.at + Duration::from_millis(left_ms) + LATE;
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
        let open: Vec<&String> =
            self.tried.iter().map(|t| &t.0).filter(|id| self.site.platform.noticed(id).is_empty()).collect();
        assert!(open.is_empty(), "{} of {MESSAGES} without an end in time: {open:?}", open.len());
    }

    /// All that the kill left untried is delivered by the next process, and all that may be repeated is too.
    fn all_are_delivered(&self, next: &str) {
        self.answers.store(true, Ordering::SeqCst);
        let _d = self.site.start_under(next, &[]);
        for (id, class, tried) in &self.tried {
            if *class == "pay" && *tried > 0 {
                until("what may have run is given up", || !self.site.platform.noticed(id).is_empty());
                assert_eq!(self.worker.of(id), *tried, "{id} is not sent again");
            } else {
                until(&format!("{id} of {class} is delivered"), || self.worker.of(id) > *tried);
                assert!(self.site.platform.noticed(id).is_empty(), "{id} of {class}");
            }
        }
    }
}

/// Guards against a deadline that is put off by the step: the message would end an hour, or its class's whole time, late.
#[test]
fn after_a_step_back_between_two_lives_each_message_ends_in_time() {
    let left_ms = 4_000;
    taken(left_ms, "").all_end_in_time(left_ms, &format!("clock 0 1e12 {}", -HOUR_MS));
}

/// Guards against messages that look overdue after the step, and are handed back with no call.
#[test]
fn after_a_step_forward_between_two_lives_messages_are_still_delivered() {
    taken(12_000, "").all_are_delivered(&format!("clock 0 1e12 {HOUR_MS}"));
}

/// The clock steps while the first process serves; the second one sees it from its start.
#[test]
fn a_step_within_a_life_changes_nothing_for_the_next() {
    let left_ms = 4_000;
    let step = |from: u64, ms: i64| format!("clock {from} 1e12 {ms}");
    taken(left_ms, &step(50, -HOUR_MS)).all_end_in_time(left_ms, &step(0, -HOUR_MS));
    taken(12_000, &step(50, HOUR_MS)).all_are_delivered(&step(0, HOUR_MS));
}

/// Guards against a repeat after its window: with the clock set back, the first attempt looks as if it had gone out just now.
#[test]
fn a_window_for_repeats_is_real_time_across_a_step_back() {
    let worker = Worker::start(|_, nth| if nth == 0 { Reply::Silence } else { OK });
    let site = Site::new(&[entry("w1", &worker.address.to_string(), "a", 1, "in_service")]);
    let config = site.changed("\"window\":20000", "\"window\":1500");
    let more = [("ROUTER_CONFIG", config.as_str())];
    let d = site.start_under("", &more);
    assert_eq!(d.client().keyed("5", "a", "c=order,k=ka,d=15000,dest=1"), "+OK");
    until("it is out", || worker.of("a") == 1);
    let sent = worker.calls.lock().unwrap()[0].at;
    d.kill();
    std::thread::sleep(Duration::from_millis(1_501).saturating_sub(sent.elapsed()));
    // By so little that the attempt is not of the future: 800 ms of the window would seem to be left.
    let _d = site.start_under("clock 0 1e12 -800", &more);
    until("its end is told", || !site.platform.noticed("a").is_empty());
    assert_eq!(worker.of("a"), 1, "sent again after its window");
}

/// Guards against the memory of ids that is over at once, or never, after a step: a message that was delivered and comes again
/// under its id is answered as taken, and not sent a second time.
#[test]
fn a_delivered_id_stays_known_across_a_step_forward() {
    let worker = Worker::start(|_, _| OK);
    let site = Site::new(&[entry("w1", &worker.address.to_string(), "a", 1, "in_service")]);
    let d = site.start();
    assert_eq!(d.client().submit("a", "c=pay,t=acme,d=4000,dest=1"), "+OK");
    until("it is delivered", || worker.of("a") == 1);
    d.kill();
    let d = site.start_under(&format!("clock 0 1e12 {HOUR_MS}"), &[]);
    assert_eq!(d.client().submit("a", "c=pay,t=acme,d=4000,dest=1"), "+OK");
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(worker.of("a"), 1, "sent again");
}

/// Two processes serve on one folder, and the clock has stepped between their starts: what the older one held ends in time,
/// or is delivered, by the younger one.
#[test]
fn what_is_handed_over_between_two_processes_keeps_its_time_across_a_step() {
    for step in [-HOUR_MS, HOUR_MS] {
        let (worker, open, taken) = gate();
        let site = Site::new(&[entry("w1", &worker.address.to_string(), "a", 1, "in_service")]);
        let old = site.start();
        assert_eq!(old.client().submit("kept", "c=pay,t=acme,d=15000,dest=1"), "+OK");
        assert_eq!(old.client().submit("late", "c=pay,t=acme,d=4000,dest=1"), "+OK");
        let at = Instant::now();
        until("the worker has refused", || worker.count() >= 1);
        let mut new = site.start_under(&format!("clock 0 1e12 {step}"), &[]);
        old.kill();
        new.logged("took over ");
        until("the short one ends", || !site.platform.noticed("late").is_empty());
        assert!(at.elapsed() < Duration::from_millis(4_000) + LATE, "{:?}", at.elapsed());
        open.store(true, Ordering::SeqCst);
        until("the long one is delivered", || taken.lock().unwrap().contains(&"kept".to_string()));
    }
}
