//! Steps of the wall clock between two lives on one folder. Deadlines, windows and waits are spans of real time.

mod stand;
use stand::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const OK: Reply = Reply::Answer("200 OK");
const HOUR_MS: i64 = 3_600_000;
const MESSAGES: usize = 60;
const CLASSES: [&str; 3] = ["safe", "order", "pay"];
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
    let answers = Arc::new(AtomicBool::new(false));
    let a = answers.clone();
    let worker = Worker::start(move |_, _| if a.load(Ordering::SeqCst) { OK } else { Reply::Silence });
    let site = Site::new(&[entry("w1", &worker.address.to_string(), "a", 1, "in_service")]);
    let d = site.start_under(schedule, &[]);
    let mut client = d.client();
    let at = Instant::now();
    let ids: Vec<(String, &str)> =
        (0..MESSAGES).map(|n| (format!("m{n:02}"), CLASSES[n % CLASSES.len()])).collect();
    for (n, (id, class)) in ids.iter().enumerate() {
        let options = format!("c={class},d={left_ms},k=k{n},dest=1");
        assert_eq!(client.keyed(&format!("{:x}", n + 1), id, &options), "+OK");
    }
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
