//! Second copies of answers that arrive when the next request on the connection has been written.

mod stand;

use stand::distant::{self, Behaviour, Seen};
use stand::*;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Messages of a play of the test, and each of so many calls is refused.
const MESSAGES: usize = 60;
const REFUSE_EACH: usize = 5;
/// The same of a measurement: after more refusals most messages would be returned.
const MEASURED_MESSAGES: usize = 400;
const MEASURED_REFUSE_EACH: usize = 50;
const KEYS: usize = 5;
/// One client hands in a message after each of these spans in turn, so that requests follow answers at all distances.
const GAPS_MS: [u64; 6] = [3, 41, 17, 29, 8, 53];
/// So long after the last delivery a second effect would have shown.
const SETTLE: Duration = Duration::from_millis(1_000);
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// One play: what was accepted in which order, and what the endpoints saw.
struct Play {
    name: String,
    accepted: Vec<Submitted>,
    seen: Seen,
    notices: Vec<String>,
    /// Processor time of the dispatcher.
    cpu: Duration,
}

#[derive(Clone)]
struct Submitted {
    id: String,
    class: &'static str,
    key: Option<usize>,
}

/// With `upgraded`, a second process takes over from the first one after half of the messages.
fn play(
    (messages, refuse_each): (usize, usize),
    one_way_ms: u64,
    copy_after_ms: Option<u64>,
    upgraded: bool,
) -> Play {
    let behaviour = Behaviour {
        one_way: Duration::from_millis(one_way_ms),
        service: Duration::from_millis(25),
        copy_after: copy_after_ms.map(Duration::from_millis),
        refuse_each,
    };
    let seen = Arc::new(Mutex::new(Seen::default()));
    let listed = |uid: &str, zone: &str| {
        list_entry(uid, &distant::start(behaviour, &seen).to_string(), zone, 1, "in_service")
    };
    let site = TestInstallation::new(&[listed("w1", "a"), listed("w2", "b")]);
    let mut dispatcher = site.start();
    let mut client = dispatcher.client();
    let mut accepted: Vec<Submitted> = (0..messages / 2).filter_map(|n| submit(&mut client, n)).collect();
    if upgraded {
        let next = site.start();
        client = next.client();
        let mut old = std::mem::replace(&mut dispatcher, next);
        old.signal("-TERM");
        accepted.extend((messages / 2..messages).filter_map(|n| submit(&mut client, n)));
        old.wait_for_success();
    } else {
        accepted.extend((messages / 2..messages).filter_map(|n| submit(&mut client, n)));
    }
    let is_over = |message: &Submitted| {
        seen.lock().unwrap().ran.contains(&message.id) || !site.platform.notices_for(&message.id).is_empty()
    };
    let start = Instant::now();
    while start.elapsed() < DELIVERY_TIMEOUT && !accepted.iter().all(is_over) {
        thread::sleep(Duration::from_millis(20));
    }
    let cpu = dispatcher.cpu_time();
    thread::sleep(SETTLE);
    let noticed = |message: &Submitted| !site.platform.notices_for(&message.id).is_empty();
    let notices = accepted.iter().filter(|message| noticed(message)).map(|m| m.id.clone()).collect();
    let name = format!("{one_way_ms} ms one way, copies after {copy_after_ms:?} ms");
    let seen = std::mem::take(&mut *seen.lock().unwrap());
    Play { name, accepted, seen, notices, cpu }
}

/// Hands in the nth message; `None` if it is not accepted.
fn submit(client: &mut Client, n: usize) -> Option<Submitted> {
    thread::sleep(Duration::from_millis(GAPS_MS[n % GAPS_MS.len()]));
    let class = ["pay", "order", "safe", "order"][n % 4];
    let key = (class == "order").then_some(n % KEYS);
    let id = format!("copy-{n}");
    let options = format!("c={class},t=acme,d=15000,k={n:x},dest=1");
    let answer = match key {
        Some(key) => client.submit_with_key(&format!("{:016x}", key + 1), &id, &options),
        None => client.submit(&id, &options),
    };
    (answer == "+OK").then_some(Submitted { id, class, key })
}

impl Play {
    /// What went wrong, by rule.
    fn violations(&self) -> Vec<String> {
        let runs = |id: &String| self.seen.ran.iter().filter(|ran| *ran == id).count();
        let mut found = Vec::new();
        for Submitted { id, class, .. } in &self.accepted {
            match runs(id) {
                0 if !self.notices.contains(id) => found.push(format!("{id} ({class}) is lost")),
                0 => found.push(format!("{id} ({class}) ended by a notice")),
                1 => {}
                times => found.push(format!("{id} ({class}) ran {times} times")),
            }
        }
        found.extend(self.seen.overlapping.iter().map(|id| format!("{id} was out twice at once")));
        found.extend(self.seen.sent_again.iter().map(|id| format!("{id} was sent again after it had run")));
        found.extend(self.out_of_order());
        found
    }

    /// The calls of a key's messages that came before an earlier message of the key had run or ended by a notice.
    fn out_of_order(&self) -> Vec<String> {
        let mut found = Vec::new();
        for (n, message) in self.accepted.iter().enumerate().filter(|(_, message)| message.key.is_some()) {
            let Some(call) = self.seen.calls.iter().position(|(id, _)| *id == message.id) else { continue };
            let earlier = self.accepted[..n].iter().filter(|other| other.key == message.key);
            let is_over = |other: &&Submitted| {
                self.seen.calls[..call].contains(&(other.id.clone(), true))
                    || self.notices.contains(&other.id)
            };
            let before = earlier.filter(|other| !is_over(other));
            found.extend(
                before.map(|other| format!("{} was sent out of its turn, before {}", message.id, other.id)),
            );
        }
        found
    }
}

/// Guards against a second copy of an answer that is taken for the answer to the next request on its connection: refused
/// messages were lost, and those after them were sent again while they ran.
#[test]
fn a_late_copy_of_an_answer_does_not_answer_the_next_request() {
    check_plays(false);
}

/// The same while two processes serve on one state folder, each with connections of its own.
#[test]
fn a_late_copy_of_an_answer_does_not_answer_the_next_request_during_an_upgrade() {
    check_plays(true);
}

fn check_plays(upgraded: bool) {
    let plays: Vec<_> = [1, 15, 45]
        .into_iter()
        .flat_map(|one_way| [2, 6, 12, 25].map(|copy_after| (one_way, copy_after)))
        .map(|(one_way, copy_after)| {
            thread::spawn(move || play((MESSAGES, REFUSE_EACH), one_way, Some(copy_after), upgraded))
        })
        .collect();
    let plays: Vec<Play> = plays.into_iter().map(|play| play.join().unwrap()).collect();
    for play in &plays {
        println!("{}: {}", play.name, summary(play));
    }
    for play in &plays {
        assert!(play.seen.copies > MESSAGES / 4 && play.seen.refused > 0, "{}: too few copies", play.name);
        assert!(play.accepted.len() > MESSAGES / 2, "{}: too few messages", play.name);
    }
    let violations: Vec<String> = plays
        .iter()
        .flat_map(|play| play.violations().into_iter().map(|v| format!("{}: {v}", play.name)))
        .collect();
    assert!(violations.is_empty(), "{violations:#?}");
}

fn summary(play: &Play) -> String {
    let seen = &play.seen;
    format!(
        "{} accepted, {} ran, {} refused, {} copies, {} of them crossed a request, {} connections, {} ms of CPU, \
         {} violations",
        play.accepted.len(),
        seen.ran.len(),
        seen.refused,
        seen.copies,
        seen.crossed,
        seen.connections,
        play.cpu.as_millis(),
        play.violations().len()
    )
}

/// What the delay before a connection is reused costs: connections made, refusals and processor time, without and with
/// copies.
#[test]
#[ignore = "a measurement"]
fn measure_connections_refusals_and_cpu() {
    for one_way in [1, 15, 45] {
        for copy_after in [None, Some(6), Some(12)] {
            let play = play((MEASURED_MESSAGES, MEASURED_REFUSE_EACH), one_way, copy_after, false);
            println!("{}: {}", play.name, summary(&play));
        }
    }
}
