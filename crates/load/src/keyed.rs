//! Clients whose messages have an order: each hands in one after another under one key, follows its tenant to where it
//! lives, and hands in again, under the same id, what was not answered. And the audit of what came of it.

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
/// The end of a connection may be seen so much later than the beginning of the next one.
const CLOSING: Duration = Duration::from_millis(10);
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
    /// Called while another call of its key was running.
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

/// Joins what clients handed in with what members did and what was told; `once` tells keys whose class is never repeated.
pub fn audit(sent: &[Sent], effects: &[Effect], told: &[String], once: impl Fn(u64) -> bool) -> Audit {
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
            // A call whose caller has closed its connection is over, whatever the endpoint still does about it.
            let over = pair[0].left.map_or(pair[0].at, |left| left.min(pair[0].at));
            // Two connections may come to an endpoint in the other order: whose caller had left by then was given up before.
            if pair[1].left.is_some_and(|left| left <= pair[1].began + CLOSING) {
                continue;
            }
            let seen = pair[0].left.or(pair[0].ended);
            let gone = seen.is_some_and(|seen| seen <= pair[1].began + CLOSING);
            if pair[1].began < over && !gone {
                let (after, ran) = (pair[1].began - pair[0].began, pair[0].at - pair[0].began);
                audit.overlapping.push(format!(
                    "{} and {} ({} ms after it began, which took {} ms)",
                    pair[0].id,
                    pair[1].id,
                    after.as_millis(),
                    ran.as_millis()
                ));
            }
        }
    }
    audit
}

#[cfg(test)]
mod tests {
    use super::*;

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
        let ran = |id: &str, from: u64, to: u64| Effect {
            id: id.into(),
            began: begun + Duration::from_millis(from),
            at: begun + Duration::from_millis(to),
            left: None,
            ended: None,
        };
        let all = [sent(0), sent(1), sent(2), sent(3)];
        let effects = [ran("7-0-0", 0, 10), ran("7-2-0", 20, 30), ran("7-1-0", 25, 40), ran("7-0-0", 50, 60)];
        let told = ["{\"message\":\"7-1-0\",\"outcome\":\"given_up\"}".to_string()];
        let got = audit(&all, &effects, &told, |_| true);
        assert_eq!(got.lost, ["7-3-0"]);
        assert_eq!(got.doubled, ["7-0-0"]);
        assert_eq!(got.out_of_order, ["7-1-0", "7-0-0"]);
        assert_eq!(got.overlapping, ["7-2-0 and 7-1-0 (5 ms after it began, which took 10 ms)"]);
        assert_eq!((got.taken, got.delivered, got.told), (4, 3, 1));
        assert!(!got.is_clean());
        let good = audit(&all[..1], &effects[..1], &[], |_| true);
        assert!(good.is_clean() && good.delivered == 1);
        // Called off after 60 ms and sent again at 65 ms: no overlap, though the endpoint went on. Sent again at 40 ms: one.
        let left = Some(begun + Duration::from_millis(60));
        let off = Effect { left, ..ran("7-0-0", 0, 100) };
        let pairs =
            |second: Effect| audit(&all[..1], &[off.clone(), second], &[], |_| false).overlapping.len();
        assert_eq!((pairs(ran("7-0-0", 65, 90)), pairs(ran("7-0-0", 40, 90))), (0, 1));
        // The call that was given up reaches the endpoint just behind the one that followed it; one that runs on does not pass.
        let behind = |left: u64| {
            let left = Some(begun + Duration::from_millis(left));
            let given_up = Effect { left, ..ran("7-0-0", 1, 6) };
            audit(&all[..1], &[ran("7-0-0", 0, 5), given_up], &[], |_| false).overlapping.len()
        };
        assert_eq!((behind(3), behind(30)), (0, 1));
        // The end of the first one's connection is seen just after its answer; seen later it was none from before.
        let after = |ended: u64| {
            let first = Effect { ended: Some(begun + Duration::from_millis(ended)), ..ran("7-0-0", 0, 22) };
            audit(&all[..1], &[first, ran("7-0-0", 18, 40)], &[], |_| false).overlapping.len()
        };
        assert_eq!((after(26), after(60)), (0, 1));
    }
}
