//! Steps of the wall clock between two incarnations on one state folder. Deadlines, windows and waits must be
//! measured in elapsed time.

mod stand;
use stand::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const OK: Reply = Reply::Answer("200 OK");
const HOUR_MS: i64 = 3_600_000;
const MESSAGES: usize = 60;
/// How long after its deadline a final answer may arrive: 300 ms by the protocol, the rest for a loaded test
/// machine.
const LATEST_ANSWER: Duration = Duration::from_millis(1_500);

/// 60 messages that a dispatcher accepted while their endpoint was silent, before it was killed.
struct Accepted {
    site: TestInstallation,
    worker: EndpointStandIn,
    answers: Arc<AtomicBool>,
    at: Instant,
    /// The id and class of each message, and the number of its calls before the kill.
    calls_before: Vec<(String, &'static str, usize)>,
}

/// Submits messages with `left_ms` until their deadline to a dispatcher that runs under a schedule of faults,
/// and kills it.
fn accept_and_kill(left_ms: u64, schedule: &str) -> Accepted {
    let (worker, answers) = silent_until_enabled();
    let site = TestInstallation::new(&[list_entry("w1", &worker.address.to_string(), "a", 1, "in_service")]);
    let d = site.start_with_faults(schedule, &[]);
    let mut client = d.client();
    let at = Instant::now();
    let ids = submit_each_class(&mut client, MESSAGES, left_ms);
    d.kill();
    let calls_before = ids.into_iter().map(|(id, class)| (id.clone(), class, worker.calls_of(&id))).collect();
    Accepted { site, worker, answers, at, calls_before }
}

impl Accepted {
    /// Checks that each message has a notice by its deadline when the next process runs under the schedule
    /// `next`.
    fn check_all_end_in_time(&self, left_ms: u64, next: &str) {
        let _d = self.site.start_with_faults(next, &[]);
        let until = self.at + Duration::from_millis(left_ms) + LATEST_ANSWER;
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
        let unanswered: Vec<&String> = self
            .calls_before
            .iter()
            .map(|t| &t.0)
            .filter(|id| self.site.platform.notices_for(id).is_empty())
            .collect();
        assert!(
            unanswered.is_empty(),
            "{} of {MESSAGES} without a final answer in time: {unanswered:?}",
            unanswered.len()
        );
    }

    /// Checks that the next process delivers all messages without an attempt and all that may be repeated.
    fn check_all_are_delivered(&self, next: &str) {
        self.answers.store(true, Ordering::SeqCst);
        let _d = self.site.start_with_faults(next, &[]);
        for (id, class, calls) in &self.calls_before {
            if *class == "pay" && *calls > 0 {
                wait_until("the message may have run and is given up", || {
                    !self.site.platform.notices_for(id).is_empty()
                });
                assert_eq!(self.worker.calls_of(id), *calls, "{id} is not sent again");
            } else {
                wait_until(&format!("{id} of {class} is delivered"), || self.worker.calls_of(id) > *calls);
                assert!(self.site.platform.notices_for(id).is_empty(), "{id} of {class}");
            }
        }
    }
}

/// Guards against a deadline that moves with the clock step: the message would end an hour, or the whole
/// deadline of its class, late.
#[test]
fn messages_end_in_time_after_a_step_back_between_incarnations() {
    let left_ms = 4_000;
    accept_and_kill(left_ms, "").check_all_end_in_time(left_ms, &format!("clock 0 1e12 {}", -HOUR_MS));
}

/// Guards against messages that look expired after the clock step and are returned without a call.
#[test]
fn messages_are_delivered_after_a_step_forward_between_incarnations() {
    accept_and_kill(12_000, "").check_all_are_delivered(&format!("clock 0 1e12 {HOUR_MS}"));
}

/// The same where the clock steps while the first process serves; the second process runs with the changed
/// clock from its start.
#[test]
fn a_step_within_an_incarnation_does_not_affect_the_next() {
    let left_ms = 4_000;
    let step = |from: u64, ms: i64| format!("clock {from} 1e12 {ms}");
    accept_and_kill(left_ms, &step(50, -HOUR_MS)).check_all_end_in_time(left_ms, &step(0, -HOUR_MS));
    accept_and_kill(12_000, &step(50, HOUR_MS)).check_all_are_delivered(&step(0, HOUR_MS));
}

/// Guards against a repeat after the deduplication window: after the clock is set back, the first attempt
/// looks more recent than it is.
#[test]
fn the_deduplication_window_is_elapsed_time_across_a_step_back() {
    let worker = EndpointStandIn::start(|_, nth| if nth == 0 { Reply::NoAnswer } else { OK });
    let site = TestInstallation::new(&[list_entry("w1", &worker.address.to_string(), "a", 1, "in_service")]);
    let config = site.write_changed_config("\"window\":20000", "\"window\":1500");
    let more = [("ROUTER_CONFIG", config.as_str())];
    let d = site.start_with_faults("", &more);
    assert_eq!(d.client().submit_with_key("5", "a", "c=order,k=ka,d=15000,dest=1"), "+OK");
    wait_until("the first attempt has reached the endpoint", || worker.calls_of("a") == 1);
    let sent = worker.calls.lock().unwrap()[0].at;
    d.kill();
    std::thread::sleep(Duration::from_millis(1_501).saturating_sub(sent.elapsed()));
    // The step is so small that the attempt does not appear to be in the future; 800 ms of the window would
    // seem to remain.
    let _d = site.start_with_faults("clock 0 1e12 -800", &more);
    wait_until("the message has a notice", || !site.platform.notices_for("a").is_empty());
    assert_eq!(worker.calls_of("a"), 1, "the message is sent again after its window");
}

/// Guards against remembered ids that expire immediately, or never, after a clock step: a delivered message
/// that is submitted again under its id is answered as accepted and not sent a second time.
#[test]
fn a_delivered_id_stays_known_across_a_step_forward() {
    // Built before the time of the message's identity starts to run.
    faults::fault_library();
    let worker = EndpointStandIn::start(|_, _| OK);
    let site = TestInstallation::new(&[list_entry("w1", &worker.address.to_string(), "a", 1, "in_service")]);
    let d = site.start();
    assert_eq!(d.client().submit("a", "c=pay,t=acme,d=4000,dest=1"), "+OK");
    wait_until("the message is delivered", || worker.calls_of("a") == 1);
    d.kill();
    let d = site.start_with_faults(&format!("clock 0 1e12 {HOUR_MS}"), &[]);
    assert_eq!(d.client().submit("a", "c=pay,t=acme,d=4000,dest=1"), "+OK");
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(worker.calls_of("a"), 1, "the message is sent again");
}

/// Guards against wrong deadlines of messages that one process takes over from another if the clock has
/// stepped between their starts. Two processes serve on one state folder, and the older one is killed: the
/// newer one ends its messages in time or delivers them.
#[test]
fn messages_taken_over_between_processes_keep_their_deadline_across_a_step() {
    // Built before the messages' time starts to run.
    faults::fault_library();
    for step in [-HOUR_MS, HOUR_MS] {
        let (worker, open, delivered) = refusing_until_opened();
        let site =
            TestInstallation::new(&[list_entry("w1", &worker.address.to_string(), "a", 1, "in_service")]);
        let old = site.start();
        assert_eq!(old.client().submit("kept", "c=pay,t=acme,d=15000,dest=1"), "+OK");
        assert_eq!(old.client().submit("late", "c=pay,t=acme,d=4000,dest=1"), "+OK");
        let at = Instant::now();
        wait_until("the endpoint has refused an attempt", || worker.call_count() >= 1);
        let mut new = site.start_with_faults(&format!("clock 0 1e12 {step}"), &[]);
        old.kill();
        new.wait_for_log("took over ");
        wait_until("the message with the short deadline has a notice", || {
            !site.platform.notices_for("late").is_empty()
        });
        assert!(at.elapsed() < Duration::from_millis(4_000) + LATEST_ANSWER, "{:?}", at.elapsed());
        open.store(true, Ordering::SeqCst);
        wait_until("the message with the long deadline is delivered", || {
            delivered.lock().unwrap().contains(&"kept".to_string())
        });
    }
}
