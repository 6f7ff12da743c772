//! Clients that submit messages in order under one ordering key, and an audit of the results.
//!
//! Each client submits one message at a time, follows its tenant to the dispatcher that owns it, and submits an unanswered
//! message again under the same id.

use crate::attempts::{overlapping, Attempt};
use crate::client::submit;
use crate::content::{body_of, idempotency_key_of};
use crate::member::Effect;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// One client and the messages that it submits under one ordering key.
#[derive(Debug, Clone)]
pub struct OrderedClient {
    /// The ordering key, different for each client.
    pub key: u64,
    /// The tenant of the messages.
    pub tenant: String,
    /// The class of the messages.
    pub class: String,
    /// The destination of the messages.
    pub destination: u64,
    /// Time between an answer and the next message.
    pub pause: Duration,
    /// Time within which a message may be delivered.
    pub deadline: Duration,
}

/// A submitted message and whether a dispatcher accepted it.
#[derive(Debug, Clone)]
pub struct SubmittedMessage {
    /// The id of the last submission.
    pub id: String,
    /// The ordering key.
    pub key: u64,
    /// Position in the order of the key.
    pub position: usize,
    /// Whether it was accepted. Otherwise every submission was rejected, failed or stayed unanswered.
    pub accepted: bool,
    /// Time from the first submission until the answer.
    pub answer_time: Duration,
}

/// Time after which a submission counts as unanswered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Wait before an unanswered submission is repeated, or one that was rejected without a wait. Submissions later than this
/// after the first one are marked with `again=1`.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// After every this many unanswered submissions of a message, the client switches to the next dispatcher.
const FAILURES_BEFORE_SWITCH: usize = 5;

/// Submits messages until `stop` is set; returns all of them, in order.
pub fn run_ordered_client(
    chain: &OrderedClient,
    dispatchers: &[SocketAddr],
    stop: &AtomicBool,
) -> Vec<SubmittedMessage> {
    let (mut all, mut connection, mut index) = (Vec::new(), None, 0);
    let mut dispatcher = dispatchers[0];
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let id_of = |submission: u32| format!("{:x}-{number:x}-{submission}", chain.key);
        let (mut submission, mut id) = (0, id_of(0));
        let (started, mut failures, mut taken) = (Instant::now(), 0, false);
        loop {
            let left = chain.deadline.saturating_sub(started.elapsed()).as_millis();
            if left == 0 {
                break;
            }
            let again = if started.elapsed() > RETRY_DELAY { ",again=1" } else { "" };
            let (class, tenant, dest) = (&chain.class, &chain.tenant, chain.destination);
            let options =
                format!("c={class},t={tenant},d={left},dest={dest},k={}{again}", idempotency_key_of(&id));
            let key = format!("{:016x}", chain.key);
            let arguments: [&[u8]; 5] =
                [b"SUBMIT", key.as_bytes(), id.as_bytes(), options.as_bytes(), &body_of(&id)];
            let answer = submit(&mut connection, dispatcher, &arguments, ANSWER_TIMEOUT).unwrap_or_default();
            if answer.starts_with('+') {
                taken = true;
                break;
            }
            let Some(busy) = answer.strip_prefix("-BUSY") else {
                if !answer.is_empty() {
                    break;
                }
                failures += 1;
                if failures % FAILURES_BEFORE_SWITCH == 0 {
                    index += 1;
                    dispatcher = dispatchers[index % dispatchers.len()];
                }
                thread::sleep(RETRY_DELAY);
                continue;
            };
            // A rejected message is submitted again under a new id; an unanswered one keeps its id.
            submission += 1;
            id = id_of(submission);
            let mut fields = busy.split_whitespace();
            let wait = fields.next().and_then(|w| w.parse().ok()).map_or(RETRY_DELAY, Duration::from_millis);
            thread::sleep(wait);
            if let (Some("MOVED"), _, Some(address)) = (fields.next(), fields.next(), fields.next()) {
                dispatcher = address.parse().unwrap_or(dispatcher);
            }
        }
        all.push(SubmittedMessage {
            id,
            key: chain.key,
            position: number,
            accepted: taken,
            answer_time: started.elapsed(),
        });
        thread::sleep(chain.pause);
    }
    all
}

/// The result of an audit: counts, and the violations found.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Audit {
    /// Messages that were accepted.
    pub accepted: usize,
    /// Accepted messages that were delivered.
    pub delivered: usize,
    /// Messages for which a notice came: given up or returned.
    pub notified: usize,
    /// Accepted and not delivered, without a notice.
    pub lost: Vec<String>,
    /// In an at-most-once class, and took effect more than once.
    pub repeated_effects: Vec<String>,
    /// Took effect after a later message of the same key.
    pub out_of_order: Vec<String>,
    /// Pairs of attempts of one key, of the same message or of two, that overlapped as the endpoints saw them.
    pub overlapping: Vec<String>,
    /// Got two different final answers.
    pub conflicting_answers: Vec<String>,
    /// Attempts whose request differed from the message that was submitted.
    pub altered: Vec<String>,
}

impl Audit {
    /// Whether the audit found no violation.
    pub fn is_clean(&self) -> bool {
        let violations = [
            &self.lost,
            &self.repeated_effects,
            &self.out_of_order,
            &self.overlapping,
            &self.conflicting_answers,
            &self.altered,
        ];
        violations.iter().all(|v| v.is_empty())
    }
}

/// The part of an id that all submissions of a message share: a rejected message is submitted again under a new id.
pub(crate) fn base_id(id: &str) -> &str {
    id.rsplit_once('-').map_or(id, |(base_id, _)| base_id)
}

/// Compares what clients submitted with the effects and attempts at the endpoints and with the notices; `once` says
/// whether a key's class is at-most-once.
pub fn audit(
    sent: &[SubmittedMessage],
    effects: &[Effect],
    attempts: &[Attempt],
    notices: &[String],
    once: impl Fn(u64) -> bool,
) -> Audit {
    let mut audit = Audit::default();
    let mut effect_counts: HashMap<&str, usize> = HashMap::new();
    effects.iter().for_each(|e| *effect_counts.entry(base_id(&e.id)).or_default() += 1);
    let (mut outcomes, mut notified) = (HashMap::<&str, BTreeSet<&str>>::new(), BTreeSet::new());
    for line in notices {
        let field = |key: &str| line.split(&format!("\"{key}\":\"")).nth(1).and_then(|r| r.split('"').next());
        if let Some(id) = field("message") {
            outcomes.entry(id).or_default().insert(field("outcome").unwrap_or(""));
            notified.insert(base_id(id));
        }
    }
    // A notice whose confirmation was lost is posted again with the same outcome, which is allowed; a different outcome is
    // a violation.
    audit.conflicting_answers = outcomes.iter().filter(|n| n.1.len() > 1).map(|n| n.0.to_string()).collect();
    let mut keys: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    let mut numbers: HashMap<&str, usize> = HashMap::new();
    for s in sent {
        let id = base_id(&s.id);
        keys.entry(s.key).or_default().insert(id);
        numbers.insert(id, s.position);
        let effect_count = effect_counts.get(id).copied().unwrap_or(0);
        audit.accepted += usize::from(s.accepted);
        audit.delivered += usize::from(s.accepted && effect_count > 0);
        audit.notified += usize::from(notified.contains(id));
        if s.accepted && effect_count == 0 && !notified.contains(id) {
            audit.lost.push(s.id.clone());
        }
        if effect_count > 1 && once(s.key) {
            audit.repeated_effects.push(s.id.clone());
        }
    }
    for ids in keys.values() {
        let mut of_key: Vec<&Effect> = effects.iter().filter(|e| ids.contains(base_id(&e.id))).collect();
        of_key.sort_by_key(|e| e.began_at);
        for pair in of_key.windows(2) {
            if numbers[base_id(&pair[1].id)] < numbers[base_id(&pair[0].id)] {
                audit.out_of_order.push(pair[1].id.clone());
            }
        }
    }
    let key_of: HashMap<&str, u64> = sent.iter().map(|s| (base_id(&s.id), s.key)).collect();
    let submitted = attempts.iter().filter(|a| key_of.contains_key(base_id(&a.id)));
    audit.altered = submitted.filter_map(|a| a.altered.clone()).collect();
    audit.overlapping = overlapping(attempts, |id| key_of.get(base_id(id)).map(u64::to_string));
    audit
}

#[cfg(test)]
mod tests;
