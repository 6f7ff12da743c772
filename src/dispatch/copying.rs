//! Replication of messages to other dispatchers, as the core sees it. `lilacbank_replica` decides who may act
//! on a message and who holds a copy; here messages wait for its decision, are taken over, or are left to
//! another dispatcher.
//!
//! A message that may not be started now is suspended: the decision module holds neither it nor any later
//! message of its key. Replication is optional (`[replication]`), and off on the platform.

use super::{Core, Order, Submission, Verdict};
use super::{Withheld, NO_ROOM_RETRY_AFTER};
use crate::api::*;
use crate::config::index_of;
use crate::journal::{AcceptedMessage, AttemptSent, Ending, Identity, MessageNo, Record};
use crate::together::Replication;
use lilacbank_limits::ramp::{Health, RememberedHealth};
use lilacbank_replica::copies::{CopyEnding, MessageContent, MessageCopy, Stage};
use lilacbank_replica::keeper::{DestinationHealth, ReplicationEvent, Replicator};
use lilacbank_replica::owner::{Repeatability, ReplicaAction};
use lilacbank_replica::wire::Envelope;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

/// How often suspended messages are checked again.
const RECHECK_INTERVAL: Ms = 100.0;
/// A message that is still suspended this long before its deadline gets its final answer.
const FINAL_ANSWER_MARGIN: Ms = 200.0;
/// How often newly learned health of the members is passed on.
const HEALTH_INTERVAL: Ms = 1_000.0;
/// The most submissions for which peers are queried at the same time.
const MAX_PEER_QUERIES: usize = 256;
/// Separates the client's name and the message's id in the name of a copy.
const COPY_NAME_SEPARATOR: char = '\u{1f}';

/// The state of replication in the core.
pub(super) struct ReplicationState {
    pub(super) keeper: Replicator,
    spec: Replication,
    /// Clients that wait until another dispatcher holds a copy, and until when.
    awaiting_ack: Vec<(MessageNo, super::ClientTicket, Ms)>,
    /// Suspended messages.
    suspended: BTreeSet<MessageNo>,
    recheck_at: Ms,
    /// Attempts that are sent once the holders of a copy have confirmed the start: the message and the attempt.
    pub(super) waiting_starts: BTreeMap<MessageNo, u32>,
    health_at: Ms,
    /// Repeated submissions for which peers are being queried, and the clients that wait for the result.
    peer_queries: Vec<(super::ClientTicket, Submission)>,
    /// The state of restored messages is not settled, and the time for that is not over.
    catching_up: bool,
    /// Submissions answered from another dispatcher's copy.
    answered_from_copies: u64,
    /// Clients told that their message is accepted before another dispatcher held a copy, because none
    /// confirmed one in time.
    unacked: u64,
}

pub(super) fn whole_ms(t: Ms) -> u64 {
    t.max(0.0) as u64
}

pub(super) fn copy_name(identity: &Identity) -> String {
    match identity.0.as_str() {
        "" => identity.1.clone(),
        client => format!("{client}{COPY_NAME_SEPARATOR}{}", identity.1),
    }
}

fn parse_copy_name(name: &str) -> Identity {
    match name.split_once(COPY_NAME_SEPARATOR) {
        Some((client, id)) => (client.to_string(), id.to_string()),
        None => (String::new(), name.to_string()),
    }
}

fn to_replica_ending(ending: Ending) -> CopyEnding {
    match ending {
        Ending::Delivered => CopyEnding::Delivered,
        Ending::GivenUp => CopyEnding::GivenUp,
        Ending::Returned(wait) => CopyEnding::Returned(whole_ms(wait)),
    }
}

fn to_replica_content(t: &AcceptedMessage) -> MessageContent {
    MessageContent {
        client: t.identity.0.clone(),
        class: t.class.clone(),
        tenant: t.tenant.clone(),
        ordering_key: t.key,
        idempotency_key: t.idempotency_key.clone(),
        destination: t.destination,
        valid_until: whole_ms(t.valid_until),
        number: t.no,
        reply_to: t.reply_to.clone(),
        body: t.body.clone(),
        ..MessageContent::default()
    }
}

impl Core {
    /// Enables replication; called before anything is restored.
    pub fn enable_replication(&mut self, keeper: Replicator, spec: Replication) {
        self.replication = Some(Box::new(ReplicationState {
            keeper,
            spec,
            awaiting_ack: Vec::new(),
            suspended: BTreeSet::new(),
            recheck_at: 0.0,
            waiting_starts: BTreeMap::new(),
            health_at: 0.0,
            peer_queries: Vec::new(),
            catching_up: true,
            answered_from_copies: 0,
            unacked: 0,
        }));
    }

    /// Whether it still waits to learn what became of the messages that it left behind.
    pub fn is_catching_up(&self) -> bool {
        self.replication.as_ref().is_some_and(|c| c.catching_up)
    }

    /// Handles a peer message about replication.
    pub fn receive_replication_message(&mut self, now: Ms, e: Envelope) {
        if let Some(c) = &mut self.replication {
            c.keeper.receive(whole_ms(now), e);
        }
    }

    /// The connection to another dispatcher is lost.
    pub fn replication_peer_lost(&mut self, name: &str) {
        if let Some(c) = &mut self.replication {
            c.keeper.connection_lost(name);
        }
    }

    /// The other dispatchers and their addresses.
    pub fn replication_peers(&self) -> Vec<(String, String)> {
        let all = self.replication.iter().flat_map(|c| c.keeper.addresses());
        all.map(|(n, a)| (n.clone(), a.clone())).collect()
    }

    fn replication_kind(&self, class: &str) -> Repeatability {
        let class = index_of(&self.names.classes, class).and_then(|c| self.settings.classes.get(c));
        match class.map(|c| c.effect) {
            Some(Effect::AtMostOnce) => Repeatability::AtMostOnce,
            Some(Effect::Deduplicated { .. }) => Repeatability::Deduplicated,
            Some(Effect::Idempotent) | None => Repeatability::Repeatable,
        }
    }

    /// Replicates an accepted message. False if it has to be suspended for now.
    pub(super) fn replicate_accepted(&mut self, now: Ms, t: &AcceptedMessage) -> bool {
        let kind = self.replication_kind(&t.class);
        let Some(c) = &mut self.replication else { return true };
        let free = c.keeper.accept(whole_ms(now), &copy_name(&t.identity), to_replica_content(t), kind);
        let behind = self.has_earlier_suspended(t.no, t.key);
        if !free || behind {
            self.set_suspended(t.no, true);
        }
        free && !behind
    }

    /// Whether an earlier message of the same key is suspended.
    fn has_earlier_suspended(&self, no: MessageNo, key: Option<u64>) -> bool {
        let Some(c) = self.replication.as_ref().filter(|_| key.is_some()) else { return false };
        c.suspended.range(..no).any(|n| self.messages.get(n).is_some_and(|c| c.taken.key == key))
    }

    /// Suspends a message of an earlier process until the peers have reported what they know of it; a message
    /// that was just taken over is not suspended.
    pub(super) fn register_restored(&mut self, no: MessageNo, message: &super::HeldMessage) {
        let kind = self.replication_kind(&message.taken.class);
        let Some(c) = self.replication.as_mut().filter(|_| message.ending.is_none()) else { return };
        let name = copy_name(&message.taken.identity);
        if c.keeper.replica(&name).is_none() {
            let stage = if message.attempts > 0 { Stage::Started } else { Stage::Accepted };
            c.keeper.restore(&name, to_replica_content(&message.taken), kind, stage);
            c.suspended.insert(no);
        }
    }

    fn set_suspended(&mut self, no: MessageNo, suspended: bool) {
        if let Some(c) = &mut self.replication {
            match suspended {
                true => c.suspended.insert(no),
                false => c.suspended.remove(&no),
            };
        }
    }

    /// Whether the message is suspended.
    pub(super) fn is_suspended(&self, no: MessageNo) -> bool {
        self.replication.as_ref().is_some_and(|c| c.suspended.contains(&no))
    }

    /// If clients wait for copies, answers this one only once another dispatcher holds a copy, and returns
    /// true.
    pub(super) fn wait_for_copy_ack(&mut self, now: Ms, no: MessageNo, ticket: super::ClientTicket) -> bool {
        let Some(c) = self.replication.as_mut().filter(|c| c.spec.ack) else { return false };
        c.awaiting_ack.push((no, ticket, now + c.spec.ack_ms));
        true
    }

    /// Whether clients wait for answers that depend on peers.
    pub fn awaits_peers(&self) -> bool {
        self.replication.as_ref().is_some_and(|c| !c.awaiting_ack.is_empty() || !c.peer_queries.is_empty())
    }

    /// The process ends: clients that wait for peers are answered in the next turn. A message that has no copy yet is
    /// in the state folder and so accepted; one that a peer may hold is to be submitted again.
    pub fn end_peer_waits(&mut self) {
        let Some(c) = &mut self.replication else { return };
        c.unacked += c.awaiting_ack.len() as u64;
        self.awaiting_verdict.extend(c.awaiting_ack.drain(..).map(|(no, ticket, _)| (no, ticket)));
        let queries = std::mem::take(&mut c.peer_queries);
        let verdict = Verdict::Busy(NO_ROOM_RETRY_AFTER.min(self.settings.max_retry_after));
        for (ticket, _) in queries {
            self.counters.busy += 1;
            self.orders.push(Order::AnswerClient { ticket, verdict: verdict.clone() });
        }
    }

    /// Whether the message's client still waits for a copy.
    pub(super) fn waits_for_copy_ack(&self, no: MessageNo) -> bool {
        self.replication.as_ref().is_some_and(|c| c.awaiting_ack.iter().any(|a| a.0 == no))
    }

    /// Ends the wait of the message's client for a copy: it gets the verdict of this turn.
    pub(super) fn end_copy_wait(&mut self, no: MessageNo) {
        let Some(c) = &mut self.replication else { return };
        let (now, later): (Vec<_>, Vec<_>) = c.awaiting_ack.drain(..).partition(|a| a.0 == no);
        c.awaiting_ack = later;
        self.awaiting_verdict.extend(now.into_iter().map(|(no, ticket, _)| (no, ticket)));
    }

    /// Whether an attempt may start; else the message and later ones of its key have to be suspended.
    pub(super) fn replication_allows_start(&self, now: Ms, no: MessageNo) -> bool {
        let Some(c) = &self.replication else { return true };
        let Some(message) = self.messages.get(&no) else { return true };
        c.keeper.may_start_attempt(whole_ms(now), &copy_name(&message.taken.identity))
    }

    /// Withdraws a message, and later ones of its key without an outstanding attempt, from the decision
    /// module until they may start.
    pub(super) fn suspend(&mut self, no: MessageNo) {
        let Some(key) = self.messages.get(&no).map(|c| c.taken.key) else { return };
        let later = |(n, c): &(&MessageNo, &super::HeldMessage)| {
            **n == no || (key.is_some() && **n > no && c.taken.key == key && c.withheld.is_none())
        };
        let selected =
            self.messages.iter().filter(later).filter(|(_, c)| c.out.is_none() && c.ending.is_none());
        let selected: Vec<(MessageNo, usize)> = selected.map(|(n, c)| (*n, c.cell)).collect();
        for (n, cell) in selected {
            self.messages.entry(n).and_modify(|c| c.withheld = Some(Withheld::Suspended));
            self.set_suspended(n, true);
            self.cells.post(cell, Event::ClientLeft(n));
        }
    }

    /// Reports a message's ending to replication.
    pub(super) fn replicate_ending(&mut self, now: Ms, no: MessageNo, identity: &Identity, ending: Ending) {
        if let Some(c) = &mut self.replication {
            c.suspended.remove(&no);
            c.keeper.record_end(whole_ms(now), &copy_name(identity), to_replica_ending(ending));
        }
    }

    /// The answer to a submission of which a copy is held for another dispatcher, or which has ended at one.
    pub(super) fn verdict_from_copy(&mut self, identity: &Identity) -> Option<Verdict> {
        let stage = self.replication.as_ref()?.keeper.stage(&copy_name(identity))?;
        Some(self.verdict_from_stage(identity, stage))
    }

    /// The answer to a submission by all that is known of it here, the peers' answers to queries included.
    pub(super) fn verdict_from_last_known(&mut self, identity: &Identity) -> Option<Verdict> {
        let stage = self.replication.as_ref()?.keeper.last_known_stage(&copy_name(identity))?;
        Some(self.verdict_from_stage(identity, stage))
    }

    fn verdict_from_stage(&mut self, identity: &Identity, stage: Stage) -> Verdict {
        if let Some(c) = &mut self.replication {
            c.answered_from_copies += 1;
        }
        match stage {
            // The dispatcher that owns the message reports its end; a session gets the answer where it is
            // connected.
            Stage::Accepted | Stage::Started if !identity.0.is_empty() => {
                Verdict::Busy(NO_ROOM_RETRY_AFTER.min(self.settings.max_retry_after))
            }
            Stage::Accepted | Stage::Started | Stage::Ended(CopyEnding::Delivered) => Verdict::Accepted,
            Stage::Ended(CopyEnding::GivenUp) => Verdict::Failed("given up".into()),
            Stage::Ended(CopyEnding::Returned(wait)) => Verdict::Busy(wait as Ms),
        }
    }

    /// Queries the peers about a repeated submission of which nothing is known here. Its client waits.
    pub(super) fn query_peers(&mut self, now: Ms, ticket: super::ClientTicket, s: &Submission) -> bool {
        let Some(c) = self.replication.as_mut().filter(|c| s.resubmitted && !c.catching_up) else {
            return false;
        };
        let name = copy_name(&s.identity);
        if c.peer_queries.len() >= MAX_PEER_QUERIES || !c.keeper.query_peers(whole_ms(now), &name) {
            return false;
        }
        c.peer_queries.push((ticket, s.clone()));
        true
    }

    /// The client of a submission has left: if the submission still waits for the peers' answers, it is not accepted.
    pub fn client_left(&mut self, ticket: super::ClientTicket) {
        if let Some(c) = &mut self.replication {
            c.peer_queries.retain(|(waiting, _)| *waiting != ticket);
        }
    }

    /// Replicates an operator's block, or its removal, to the peers.
    pub(super) fn replicate_block(&mut self, now: Ms, id: &str, down: bool) {
        if let Some(c) = &mut self.replication {
            c.keeper.set_operator_block(whole_ms(now), id, down);
        }
    }

    /// When [`Core::replication_turn`] next has something to do.
    pub(super) fn replication_due(&self) -> Option<Ms> {
        let c = self.replication.as_ref()?;
        let acks = c.awaiting_ack.iter().map(|a| a.2).min_by(f64::total_cmp);
        let rechecks = !c.suspended.is_empty()
            || !c.waiting_starts.is_empty()
            || c.keeper.has_lapsed_lease(whole_ms(self.now));
        let recheck = rechecks.then_some(c.recheck_at);
        [Some(c.keeper.next_due() as Ms), acks, recheck].into_iter().flatten().min_by(f64::total_cmp)
    }

    /// Processes what the peers' messages have led to, and checks suspended messages.
    pub(super) fn replication_turn(&mut self, now: Ms) {
        let Some(c) = &mut self.replication else { return };
        if c.keeper.next_due() <= whole_ms(now) {
            c.keeper.tick(whole_ms(now));
        }
        let events = c.keeper.take_events();
        let late: Vec<MessageNo> = c.awaiting_ack.iter().filter(|a| a.2 <= now).map(|a| a.0).collect();
        c.unacked += late.len() as u64;
        late.into_iter().for_each(|no| self.end_copy_wait(no));
        let (mut started, mut taken, mut given_up) = (false, Vec::new(), Vec::new());
        for n in events {
            match n {
                ReplicationEvent::MembershipChanged(text) => log::info!("dispatchers: {text}"),
                ReplicationEvent::CopyAcknowledged(id) => {
                    let no = self.identities.get(&parse_copy_name(&id)).map(|k| k.no);
                    no.into_iter().for_each(|no| self.end_copy_wait(no));
                }
                ReplicationEvent::Start(_) => started = true,
                ReplicationEvent::GiveUp(id) => given_up.push(id),
                ReplicationEvent::OwnershipLost(id) => self.cede_to_peer(now, &id),
                ReplicationEvent::OwnershipTaken(copy, step) => taken.push((*copy, step)),
                ReplicationEvent::OperatorBlock(id, down) => {
                    match down {
                        true => self.block_endpoint(now, &id),
                        false => self.unblock_endpoint(now, &id),
                    }
                    self.orders.push(Order::StoreOperatorBlocks);
                }
                ReplicationEvent::QueryFinished(id) => {
                    let Some(c) = &mut self.replication else { return };
                    let is = |l: &(super::ClientTicket, Submission)| copy_name(&l.1.identity) == id;
                    let (known, later): (Vec<_>, Vec<_>) = c.peer_queries.drain(..).partition(is);
                    c.peer_queries = later;
                    known.into_iter().for_each(|(ticket, s)| self.submit_after_query(now, ticket, s));
                }
                ReplicationEvent::HealthUpdate(member, l) => {
                    let health =
                        Health { rate: l.rate, unavailable_since: l.unavailable_since.map(|a| a as Ms) };
                    let age = Some((now - l.observed_at as Ms).max(0.0));
                    self.apply_peer_health(now, &member, RememberedHealth { health, age });
                }
                ReplicationEvent::Settled(settled) => {
                    let done = self.replication.as_mut().is_some_and(|c| std::mem::take(&mut c.catching_up));
                    if done {
                        log::info!(settled = settled; "stage serving: {}", if settled {
                            "peers have reported the state of all restored messages"
                        } else {
                            "no majority of peers is reachable; restored messages wait"
                        });
                    }
                }
            }
        }
        if !taken.is_empty() {
            self.take_over_copies(now, taken);
        }
        // The message may have been taken over just before.
        given_up.iter().for_each(|id| self.give_up_unproven(now, id));
        if self.replication.as_ref().is_some_and(|c| c.health_at <= now) {
            let learnt = self.learned_health(now);
            let Some(c) = &mut self.replication else { return };
            c.health_at = now + HEALTH_INTERVAL;
            for (member, h, at) in learnt {
                let learnt = DestinationHealth {
                    rate: h.rate,
                    unavailable_since: h.unavailable_since.map(whole_ms),
                    observed_at: whole_ms(at),
                };
                c.keeper.update_health(&member, learnt);
            }
        }
        let Some(c) = &mut self.replication else { return };
        if started || c.recheck_at <= now {
            c.recheck_at = now + RECHECK_INTERVAL;
            let shaky = c.keeper.has_lapsed_lease(whole_ms(now));
            self.recheck_suspended(now);
            self.release_confirmed_starts(now);
            if shaky {
                self.cancel_unleased(now);
            }
        }
    }

    /// Gives up a message that may have been sent.
    fn give_up_unproven(&mut self, now: Ms, name: &str) {
        let Some(no) = self.find_message(name) else { return };
        log::warn!(id = name, outcome = "given_up";
            "{name} is given up: no dispatcher can rule out that it was sent");
        self.set_suspended(no, false);
        self.give_up(now, no);
    }

    /// Orders the pending peer messages to be sent.
    pub(super) fn send_replication(&mut self) {
        let outgoing = self.replication.as_mut().map(|c| c.keeper.take_outgoing()).unwrap_or_default();
        self.orders.extend(
            outgoing.into_iter().map(|(to, e)| Order::SendReplicationMessage { to, envelope: Box::new(e) }),
        );
    }

    fn find_message(&self, name: &str) -> Option<MessageNo> {
        let no = self.identities.get(&parse_copy_name(name))?.no;
        self.messages.contains_key(&no).then_some(no)
    }

    /// Resumes the suspended messages that may go now, in their order, and gives up those whose deadline is
    /// near.
    fn recheck_suspended(&mut self, now: Ms) {
        let suspended: Vec<MessageNo> =
            self.replication.iter().flat_map(|c| c.suspended.iter().copied()).collect();
        for no in suspended {
            let Some(message) = self.messages.get(&no) else {
                self.set_suspended(no, false);
                continue;
            };
            if message.taken.valid_until - FINAL_ANSWER_MARGIN <= now {
                // Another dispatcher may have it, so nothing is stated about its effect.
                self.set_suspended(no, false);
                self.give_up(now, no);
                continue;
            }
            let (name, key, withheld) =
                (copy_name(&message.taken.identity), message.taken.key, message.withheld);
            let may =
                self.replication.as_ref().is_some_and(|c| c.keeper.may_start_attempt(whole_ms(now), &name));
            if may && !self.has_earlier_suspended(no, key) {
                self.set_suspended(no, false);
                if withheld == Some(Withheld::Suspended) {
                    self.resume(no);
                }
            }
        }
    }

    /// Cancels outstanding attempts of messages that may be repeated, before another dispatcher that holds a
    /// copy may count this one as gone.
    fn cancel_unleased(&mut self, now: Ms) {
        let Some(c) = &self.replication else { return };
        let unleased = |message: &super::HeldMessage| {
            message.out.is_some()
                && !self.is_at_most_once_class(&message.taken.class)
                && !c.keeper.may_start_attempt(whole_ms(now), &copy_name(&message.taken.identity))
        };
        let due: Vec<(MessageNo, u32)> = self
            .messages
            .iter()
            .filter(|(_, message)| unleased(message))
            .filter_map(|(no, message)| Some((*no, message.out.as_ref()?.attempt)))
            .collect();
        due.into_iter().for_each(|(no, attempt)| self.cancel(now, no, attempt));
    }

    /// Another dispatcher owns the message now: it ends here without a final answer, and a client that
    /// submits it again is told that it is held.
    fn cede_to_peer(&mut self, now: Ms, name: &str) {
        let Some(no) = self.find_message(name) else { return };
        self.set_suspended(no, false);
        if let Some(attempt) = self.messages.get(&no).and_then(|c| Some(c.out.as_ref()?.attempt)) {
            self.cancel_and_book(now, no, attempt);
        }
        let Some(message) = self.remove_message(now, no) else { return };
        log::info!(id = message.taken.identity.1.as_str();
            "{} now belongs to another dispatcher", message.taken.identity.1);
        self.cells.post(message.cell, Event::ClientLeft(no));
        self.end_copy_wait(no);
        self.forget_identity(&message.taken.identity);
        // This does not close the message for good: nothing but its copy is remembered here.
        self.append_or_defer(&Record::Settled { no, until: now });
    }

    /// Takes over messages of other dispatchers: each is written to the journal before anything is done for
    /// it.
    fn take_over_copies(&mut self, now: Ms, mut taken: Vec<(MessageCopy, ReplicaAction)>) {
        taken.sort_by(|a, b| {
            (&a.0.content.accepted_by, a.0.content.number)
                .cmp(&(&b.0.content.accepted_by, b.0.content.number))
        });
        let (mut records, mut given_up) = (Vec::new(), Vec::new());
        for (copy, step) in taken {
            let identity = parse_copy_name(&copy.id);
            if let Some(known) = self.identities.get(&identity) {
                // Its ending is known here, beside the copy.
                let (no, ending) = (known.no, known.ending);
                ending.into_iter().for_each(|e| self.replicate_ending(now, no, &identity, e));
                continue;
            }
            let no = self.next_message_no;
            self.next_message_no += 1;
            let c = copy.content;
            log::info!(id = identity.1.as_str(), class = c.class.as_str(), epoch = copy.fence.epoch;
                "{} is taken over from {}", identity.1, c.accepted_by);
            records.push(Record::Accepted(AcceptedMessage {
                no,
                identity: identity.clone(),
                class: c.class,
                tenant: c.tenant,
                key: c.ordering_key,
                idempotency_key: c.idempotency_key,
                destination: c.destination,
                valid_until: c.valid_until as Ms,
                reply_to: c.reply_to,
                body: c.body,
            }));
            if copy.stage == Stage::Started {
                // Long ago and in no known zone: outside every window for repeats.
                let ran = Some(AttemptSent { at: 0.0, zone: String::new() });
                records.push(Record::Attempts { no, attempts: 1, may_have_run: ran, in_progress: None });
            }
            if step == ReplicaAction::GiveUp {
                records.push(Record::FinalAnswer { no, ending: Ending::GivenUp });
                given_up.push((no, identity));
            }
        }
        self.write_taken_over(records.clone(), None);
        self.restore(now, records);
        for (no, identity) in given_up {
            self.replicate_ending(now, no, &identity, Ending::GivenUp);
        }
    }

    /// The replication part of `vars`; null where replication is disabled.
    pub(super) fn replication_metrics(&self) -> serde_json::Value {
        let Some(c) = &self.replication else { return serde_json::Value::Null };
        let (own, held, bytes) = c.keeper.copy_counts();
        let n = c.keeper.counts;
        json!({
            "dispatchers": c.keeper.peer_states().into_iter().collect::<std::collections::BTreeMap<_, _>>(),
            "majority": c.keeper.has_majority(whole_ms(self.now)),
            "catching_up": c.catching_up,
            "own": own, "copies": held, "bytes": bytes, "still": c.suspended.len(), "away": c.keeper.unavailable_destinations(),
            "taken_in": n.copies_accepted, "taken_over": n.takeovers, "left": n.ownership_lost, "alone": n.without_holders,
            "granted": n.grants_given, "denied": n.grants_denied, "conflicts": n.conflicts, "no_room": n.copies_rejected,
            "caught_up": n.missing_copies_sent, "nonsense": n.invalid_messages, "stale": n.stale_messages, "queries": n.queries, "said_bytes": n.bytes_sent, "known": c.answered_from_copies, "unacked": c.unacked,
        })
    }
}
