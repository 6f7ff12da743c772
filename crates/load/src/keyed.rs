//! Clients whose messages have an order: each hands in one after another under one key, follows its tenant to where it
//! lives, and hands in again, under the same id, what was not answered. And the audit of what came of it.

use crate::attempts::{overlapping, Attempt};
use crate::client::submit;
use crate::member::Effect;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// One client: a key, and what it sends under it.
#[derive(Debug, Clone)]
pub struct Chain {
    /// The key; each client has another.
    pub key: u64,
    /// Whose messages they are.
    pub tenant: String,
    /// Their class.
    pub class: String,
    /// Where they go.
    pub dest: u64,
    /// From one answer to the next message.
    pub gap: Duration,
    /// A message may be delivered for so long.
    pub deadline: Duration,
}

/// A message and its door.
#[derive(Debug, Clone)]
pub struct Sent {
    /// Its id.
    pub id: String,
    /// Its key.
    pub key: u64,
    /// Its place in the key's order.
    pub number: usize,
    /// It was taken on; else refused or failed to the end, or nobody answered.
    pub taken: bool,
    /// From the first time that it was handed in until the answer.
    pub door: Duration,
}

/// An answer that has not come by then will not.
const PATIENCE: Duration = Duration::from_millis(400);
/// Before it is tried again where nobody answers.
const AGAIN: Duration = Duration::from_millis(20);
/// After so many failures in a row another dispatcher is asked.
const FAILURES: usize = 5;

/// Hands in until it is told to stop; returns all that was handed in, in order.
pub fn run(chain: &Chain, dispatchers: &[SocketAddr], stop: &AtomicBool) -> Vec<Sent> {
    let (mut all, mut kept, mut at) = (Vec::new(), None, 0);
    let mut to = dispatchers[0];
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let name = |hand: u32| format!("{:x}-{number:x}-{hand}", chain.key);
        let (mut hand, mut id) = (0, name(0));
        let (begun, mut failures, mut taken) = (Instant::now(), 0, false);
        loop {
            let left = chain.deadline.saturating_sub(begun.elapsed()).as_millis();
            if left == 0 {
                break;
            }
            let again = if begun.elapsed() > AGAIN { ",again=1" } else { "" };
            let (class, tenant, dest) = (&chain.class, &chain.tenant, chain.dest);
            let options = format!("c={class},t={tenant},d={left},dest={dest},k={}{again}", name(0));
            let key = format!("{:016x}", chain.key);
            let words: [&[u8]; 5] = [b"SUBMIT", key.as_bytes(), id.as_bytes(), options.as_bytes(), b"claim"];
            let answer = submit(&mut kept, to, &words, PATIENCE).unwrap_or_default();
            if answer.starts_with('+') {
                taken = true;
                break;
            }
            let Some(busy) = answer.strip_prefix("-BUSY") else {
                if !answer.is_empty() {
                    break;
                }
                failures += 1;
                if failures % FAILURES == 0 {
                    at += 1;
                    to = dispatchers[at % dispatchers.len()];
                }
                thread::sleep(AGAIN);
                continue;
            };
            // Refused: the next time it is handed in under a new id. Unanswered, it keeps the one it has.
            hand += 1;
            id = name(hand);
            let mut words = busy.split_whitespace();
            let wait = words.next().and_then(|w| w.parse().ok()).map_or(AGAIN, Duration::from_millis);
            thread::sleep(wait);
            if let (Some("MOVED"), _, Some(there)) = (words.next(), words.next(), words.next()) {
                to = there.parse().unwrap_or(to);
            }
        }
        all.push(Sent { id, key: chain.key, number, taken, door: begun.elapsed() });
        thread::sleep(chain.gap);
    }
    all
}

/// What is wrong, and what is not.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Audit {
    /// Messages that were taken on.
    pub taken: usize,
    /// Of them delivered.
    pub delivered: usize,
    /// Ends that were told as given up or handed back.
    pub told: usize,
    /// Taken on, not delivered, and nobody was told.
    pub lost: Vec<String>,
    /// In a class that is never repeated, and took effect twice.
    pub doubled: Vec<String>,
    /// Took effect after one that came later under its key.
    pub out_of_order: Vec<String>,
    /// Attempts of one key, of the same message or of two, that were out at once in the eyes of their endpoints.
    pub overlapping: Vec<String>,
    /// Given two final answers that differ.
    pub told_twice: Vec<String>,
}

impl Audit {
    /// Nothing is wrong.
    pub fn is_clean(&self) -> bool {
        let wrong = [&self.lost, &self.doubled, &self.out_of_order, &self.overlapping, &self.told_twice];
        wrong.iter().all(|w| w.is_empty())
    }
}

/// A message's name under whichever id it was handed in: what was refused once comes again under a new one.
fn base(id: &str) -> &str {
    id.rsplit_once('-').map_or(id, |(base, _)| base)
}

/// Joins what clients handed in with what members saw and did and what was told; `once` tells keys whose class is never
/// repeated.
pub fn audit(
    sent: &[Sent],
    effects: &[Effect],
    attempts: &[Attempt],
    told: &[String],
    once: impl Fn(u64) -> bool,
) -> Audit {
    let mut audit = Audit::default();
    let mut of: HashMap<&str, usize> = HashMap::new();
    effects.iter().for_each(|e| *of.entry(base(&e.id)).or_default() += 1);
    let (mut notices, mut heard) = (HashMap::<&str, BTreeSet<&str>>::new(), BTreeSet::new());
    for line in told {
        let word = |key: &str| line.split(&format!("\"{key}\":\"")).nth(1).and_then(|r| r.split('"').next());
        if let Some(id) = word("message") {
            notices.entry(id).or_default().insert(word("outcome").unwrap_or(""));
            heard.insert(base(id));
        }
    }
    // A notice whose confirmation was lost is told again, the same one: it does no harm. Another answer would.
    audit.told_twice = notices.iter().filter(|n| n.1.len() > 1).map(|n| n.0.to_string()).collect();
    let mut keys: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    let mut numbers: HashMap<&str, usize> = HashMap::new();
    for s in sent {
        let name = base(&s.id);
        keys.entry(s.key).or_default().insert(name);
        numbers.insert(name, s.number);
        let ran = of.get(name).copied().unwrap_or(0);
        audit.taken += usize::from(s.taken);
        audit.delivered += usize::from(s.taken && ran > 0);
        audit.told += usize::from(heard.contains(name));
        if s.taken && ran == 0 && !heard.contains(name) {
            audit.lost.push(s.id.clone());
        }
        if ran > 1 && once(s.key) {
            audit.doubled.push(s.id.clone());
        }
    }
    for ids in keys.values() {
        let mut calls: Vec<&Effect> = effects.iter().filter(|e| ids.contains(base(&e.id))).collect();
        calls.sort_by_key(|e| e.began);
        for pair in calls.windows(2) {
            if numbers[base(&pair[1].id)] < numbers[base(&pair[0].id)] {
                audit.out_of_order.push(pair[1].id.clone());
            }
        }
    }
    let key_of: HashMap<&str, u64> = sent.iter().map(|s| (base(&s.id), s.key)).collect();
    audit.overlapping = overlapping(attempts, |id| key_of.get(base(id)).map(u64::to_string));
    audit
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::attempts::EndedBy;

    /// Guards against an audit that finds nothing because it looks at nothing.
    #[test]
    fn the_audit_sees_each_kind_of_fault() {
        let begun = Instant::now();
        let sent = |number: usize| Sent {
            id: format!("7-{number:x}-0"),
            key: 7,
            number,
            taken: true,
            door: Duration::ZERO,
        };
        let at = |ms: u64| begun + Duration::from_millis(ms);
        let ran = |id: &str, from: u64, to: u64| Effect { id: id.into(), began: at(from), at: at(to) };
        let out = |id: &str, from: u64, to: u64| Attempt {
            id: id.into(),
            began: at(from),
            ended: Some((at(to), EndedBy::Answer)),
        };
        let all = [sent(0), sent(1), sent(2), sent(3)];
        let effects = [ran("7-0-0", 0, 10), ran("7-2-0", 20, 30), ran("7-1-0", 25, 40), ran("7-0-0", 50, 60)];
        let attempts = [out("7-0-0", 0, 10), out("7-2-0", 20, 30), out("7-1-0", 25, 40)];
        let told = ["{\"message\":\"7-1-0\",\"outcome\":\"given_up\"}".to_string()];
        let got = audit(&all, &effects, &attempts, &told, |_| true);
        assert_eq!(got.lost, ["7-3-0"]);
        assert_eq!(got.doubled, ["7-0-0"]);
        assert_eq!(got.out_of_order, ["7-1-0", "7-0-0"]);
        assert_eq!(
            got.overlapping,
            ["7-2-0 and 7-1-0, 5.00 ms after it began; the first one ended by Answer 5.00 ms later"]
        );
        assert_eq!((got.taken, got.delivered, got.told), (4, 3, 1));
        assert!(!got.is_clean());
        let good = audit(&all[..1], &effects[..1], &attempts[..1], &[], |_| true);
        assert!(good.is_clean() && good.delivered == 1);
    }
}
