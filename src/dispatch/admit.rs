//! Admission: a message is numbered and written to the journal before anything is done for it, and is read
//! back after a restart.

use super::beside::KeyedAdmission;
use super::seats_read::OwnershipRecords;
use super::space::identity_size;
use super::{AtMostOnce, ClientTicket, Core, HeldMessage, KnownIdentity, Verdict, Withheld};
use crate::api::*;
use crate::config::index_of;
use crate::journal::{AcceptedMessage, AttemptSent, Ending, Identity, MessageNo, Record};
use std::collections::BTreeMap;

/// Bytes that a message takes in the journal beyond its first record.
pub(super) const MESSAGE_OVERHEAD_BYTES: u64 = 192;
/// The retry-after when there is no room and nothing better is known.
pub(super) const NO_ROOM_RETRY_AFTER: Ms = 500.0;
/// How long an identity is remembered after its message's deadline.
const IDENTITY_MEMORY_AFTER_DEADLINE: Ms = 15_000.0;
/// Share of the decision module's capacity that restored messages may fill; the rest wait in the backlog.
const BACKLOG_SHARE: f64 = 0.85;
/// Bytes that a remembered identity takes in the journal beyond its own text.
pub(super) const IDENTITY_OVERHEAD_BYTES: u64 = 64;

impl Core {
    /// Writes the message to the journal and gives it to its cell's decision module. If there is no room for
    /// it, returns the retry-after.
    pub(super) fn admit(
        &mut self,
        now: Ms,
        class: usize,
        taken: AcceptedMessage,
        again: bool,
        ticket: ClientTicket,
    ) -> Result<(), Ms> {
        // A journal that has grown full may have room again after this.
        self.compact_if_full();
        let record = Record::Accepted(taken);
        let size = record.size() + MESSAGE_OVERHEAD_BYTES;
        let Record::Accepted(t) = &record else { return Err(NO_ROOM_RETRY_AFTER) };
        let name = self.at_most_once.name_of(t);
        let added = size + name.as_ref().map_or(0, |n| AtMostOnce::entry_size(n));
        let live = self.live_record_bytes() + added;
        let identity = identity_size(&t.identity, &self.tenant_if_movable(&t.tenant));
        if self.messages.len() >= self.settings.max_held && self.cells.is_single()
            || !self.journal.has_room_for_live_records(live, self.identity_bytes)
        {
            return Err(NO_ROOM_RETRY_AFTER);
        }
        let ordered = t.key.is_some() && self.settings.classes.get(class).is_some_and(|c| c.in_order);
        let admission = if ordered { self.sibling.admission(now) } else { KeyedAdmission::Accept };
        if let KeyedAdmission::Return(wait) = admission {
            return Err(wait);
        }
        if let Some(wait) = self.cells.queue_wait(now, t) {
            self.counters.queue_too_slow += 1;
            return Err(wait);
        }
        let cell = self.cells.cell_of(&t.tenant);
        self.reserve_space(added + identity)?;
        self.reserve_place(now, cell, size)?;
        if let Err(e) = self.append_or_compact(&record) {
            self.log_full_journal(&e);
            self.cancel_place(cell, size);
            return Err(NO_ROOM_RETRY_AFTER);
        }
        let Record::Accepted(taken) = record else { return Err(NO_ROOM_RETRY_AFTER) };
        let no = taken.no;
        if self.is_accepted_by_sibling(now, &taken) {
            self.cancel_place(cell, size);
            return Err(self.withdraw(now, no));
        }
        self.next_message_no = no + 1;
        self.live_bytes += size;
        name.into_iter().for_each(|n| self.at_most_once.hold(n, no));
        self.ceilings.message_queued(taken.destination);
        self.counters.taken += 1;
        let free = self.replicate_accepted(now, &taken);
        // A message of the same key may still run where the tenant came from.
        let withheld = match admission {
            KeyedAdmission::Withhold => Some(Withheld::SiblingProcess),
            _ if self.is_parked(taken.key) => Some(Withheld::KeyParked),
            // An earlier message of the same key may wait in the backlog.
            _ if ordered && !self.backlog.is_empty() => Some(Withheld::Backlogged),
            _ if self.must_wait_for_endpoint(&taken.class, taken.destination) => {
                Some(Withheld::EndpointUnconfirmed)
            }
            _ => (!free).then_some(Withheld::Suspended),
        };
        self.cells.enter_queue(now, &taken);
        if withheld.is_none() {
            let arrived = Event::MessageArrived(self.module_message(class, &taken, again));
            self.cells.post(cell, arrived);
        }
        let until = taken.valid_until + IDENTITY_MEMORY_AFTER_DEADLINE;
        let tenant = self.tenant_if_movable(&taken.tenant);
        let known = KnownIdentity { no, verdict: Verdict::Accepted, ending: None, until, tenant };
        self.remember_identity(taken.identity.clone(), known);
        let message = HeldMessage {
            taken,
            attempts: 0,
            last_outcome: None,
            ran: None,
            out: None,
            ending: None,
            cell,
            size,
            withheld,
            unreported_end: None,
        };
        if message.withheld == Some(Withheld::Backlogged) {
            self.backlog.push(no, message.taken.valid_until);
        }
        log::debug!(id = message.taken.identity.1.as_str(), class = message.taken.class.as_str(), member = message.taken.destination,
            left_ms = message.taken.valid_until - now; "a message is accepted");
        self.key_order.insert(&message.taken);
        self.messages.insert(no, message);
        if !self.wait_for_copy_ack(now, no, ticket) {
            self.awaiting_verdict.push((no, ticket));
        }
        Ok(())
    }

    fn module_message(&self, class: usize, t: &AcceptedMessage, again: bool) -> Message {
        Message {
            id: t.no,
            class,
            tenant: index_of(&self.names.tenants, &t.tenant),
            key: t.key,
            valid_until: t.valid_until,
            dest: t.destination,
            resubmitted: again,
            estimated_work: 0.0,
        }
    }

    /// Remembers an identity until its time has passed. It outlives its message, so that a repeated
    /// submission creates no second message.
    pub(super) fn remember_identity(&mut self, identity: Identity, known: KnownIdentity) {
        self.identity_expiry.insert((known.until as u64, identity.clone()));
        self.identity_bytes += identity_size(&identity, &known.tenant);
        if let Some(former) = self.identities.insert(identity.clone(), known) {
            self.identity_bytes -= identity_size(&identity, &former.tenant);
        }
    }

    /// Forgets the identity of a message that another dispatcher owns now.
    pub(super) fn forget_identity(&mut self, identity: &Identity) {
        if let Some(k) = self.identities.remove(identity) {
            self.identity_bytes -= identity_size(identity, &k.tenant);
            self.identity_expiry.remove(&(k.until as u64, identity.clone()));
        }
    }

    /// Forgets identities whose time has passed. If identities take up too much of the journal, the oldest
    /// are forgotten early.
    pub(super) fn expire_identities(&mut self, now: Ms) {
        while let Some((until, identity)) = self.identity_expiry.first().cloned() {
            let held = self.identities.get(&identity).is_some_and(|k| self.messages.contains_key(&k.no));
            let over_share = !self.journal.has_room_for_identities(self.identity_bytes);
            if (until as Ms) > now && !over_share {
                return;
            }
            self.identity_expiry.pop_first();
            if held {
                // The final answer is not confirmed yet: checked again later.
                self.identity_expiry.insert(((now + IDENTITY_MEMORY_AFTER_DEADLINE) as u64, identity));
                return;
            }
            if let Some(k) = self.identities.remove(&identity) {
                self.identity_bytes -= identity_size(&identity, &k.tenant);
            }
        }
    }

    /// Restores what an earlier process left. An attempt without a recorded outcome may have run; the
    /// decision module is told so.
    pub fn restore(&mut self, now: Ms, records: Vec<Record>) {
        self.now = now;
        if !records.is_empty() {
            self.cells.post_all(&Event::ProcessRestarted);
        }
        let (mut spent, mut ownership) = (Vec::new(), OwnershipRecords::default());
        let mut restored: BTreeMap<MessageNo, (HeldMessage, bool)> = BTreeMap::new();
        for record in records {
            match record {
                Record::Accepted(mut taken) => {
                    self.next_message_no = self.next_message_no.max(taken.no + 1);
                    let class = index_of(&self.names.classes, &taken.class)
                        .and_then(|c| self.settings.classes.get(c));
                    let most = class.map_or(f64::MAX, |c| now + c.deadline);
                    taken.valid_until = taken.valid_until.min(most);
                    let size = Record::Accepted(taken.clone()).size() + MESSAGE_OVERHEAD_BYTES;
                    let cell = self.cells.cell_of(&taken.tenant);
                    let (last_outcome, ran, out, ending, withheld) = (None, None, None, None, None);
                    let message = HeldMessage {
                        taken,
                        attempts: 0,
                        last_outcome,
                        ran,
                        out,
                        ending,
                        cell,
                        size,
                        withheld,
                        unreported_end: None,
                    };
                    restored.insert(message.taken.no, (message, false));
                }
                Record::Attempts { no, attempts, may_have_run: ran, in_progress: out } => {
                    if let Some((c, interrupted)) = restored.get_mut(&no) {
                        *interrupted = out.is_some();
                        (c.attempts, c.ran) = (attempts, ran.or(out).map(|s| clamp_to_past(now, s)));
                    }
                }
                Record::FinalAnswer { no, ending } => {
                    if let Some((c, interrupted)) = restored.get_mut(&no) {
                        (c.ending, *interrupted) = (Some(ending), false);
                    }
                }
                Record::Settled { no, until } => {
                    if let Some((c, _)) = restored.remove(&no) {
                        let ending = c.ending.unwrap_or(Ending::Delivered);
                        let tenant = self.tenant_if_movable(&c.taken.tenant);
                        self.restore_identity(now, c.taken.identity, no, Some(ending), until, tenant);
                    }
                }
                Record::RememberedIdentity { identity, ending, until, tenant } => {
                    self.restore_identity(now, identity, 0, Some(ending), until, tenant)
                }
                Record::CallsCounted(s) => spent.push(s),
                Record::AtMostOnceEnded { name, ending, until, tenant } if until > now => {
                    self.at_most_once.remember(name, ending, until, tenant)
                }
                // A restart ends all retry-afters, and the clocks were read when the file was opened.
                Record::AtMostOnceEnded { .. }
                | Record::RetryAfter { .. }
                | Record::ClockReading(_)
                | Record::TakenOver(_) => {}
                Record::TenantOwnership(bytes) => {
                    if let Some((tenant, from)) = ownership.add(&bytes) {
                        restored.retain(|no, (c, _)| *no < from || c.taken.tenant != tenant);
                    }
                }
            }
        }
        for (tenant, from) in ownership.unfinished_adoptions() {
            restored.retain(|no, (c, _)| *no < from || c.taken.tenant != *tenant);
        }
        self.ceilings.restore(now, spent);
        self.ownership.restore_parked_keys(now, &ownership);
        let mut given_up = Vec::new();
        for (no, (mut message, interrupted)) in restored {
            if index_of(&self.names.classes, &message.taken.class).is_none() && message.ending.is_none() {
                let (id, class) = (message.taken.identity.1.as_str(), message.taken.class.as_str());
                log::error!(id = id, class = class, outcome = "given_up";
                    "the class '{class}' of a message in the journal is no longer configured; the message is given up");
                message.ending = Some(Ending::GivenUp);
                given_up.push(no);
            }
            message.withheld = match message.ending {
                None if ownership.is_offered(&message.taken.tenant, no) => Some(Withheld::TenantMoving),
                // A message with an attempt outstanding when the process ended does not wait for others of
                // its key.
                None if self.is_parked(message.taken.key) && !interrupted => Some(Withheld::KeyParked),
                // A message that may have run is not sent again, so its end does not wait for an endpoint.
                None if message.ran.is_none()
                    && self.must_wait_for_endpoint(&message.taken.class, message.taken.destination) =>
                {
                    Some(Withheld::EndpointUnconfirmed)
                }
                _ => None,
            };
            if interrupted {
                self.inherit_attempt(now, no, message.taken.key);
            }
            self.hold_restored(now, message);
            self.order_final_answer(no);
        }
        self.restore_ownership(now, ownership);
        // Best effort: what was accepted stays held without it, and new messages ask for it again.
        let _ = self.journal.reserve(self.compacted_bytes());
        // Not earlier: a compaction writes what is known here, and until now that was incomplete.
        for no in given_up {
            self.append_or_defer(&Record::FinalAnswer { no, ending: Ending::GivenUp });
        }
    }

    /// Numbers messages that are accepted from now on from `first` upwards: see
    /// [`crate::recovery::first_message_no`].
    pub fn set_first_message_no(&mut self, first: MessageNo) {
        self.next_message_no = self.next_message_no.max(first);
        self.first_message_no = self.next_message_no;
    }

    /// Holds a message of an earlier process or of another dispatcher, and gives it to the decision module
    /// unless there is a reason to withhold it.
    pub(super) fn hold_restored(&mut self, now: Ms, message: HeldMessage) {
        let (no, t) = (message.taken.no, &message.taken);
        if message.ending.is_none() {
            self.cells.add_restored(now, &message);
            self.ceilings.message_queued(t.destination);
        }
        let name = self.at_most_once.name_of(t);
        name.into_iter().for_each(|n| self.at_most_once.hold(n, no));
        let (until, tenant) =
            (t.valid_until.max(now) + IDENTITY_MEMORY_AFTER_DEADLINE, self.tenant_if_movable(&t.tenant));
        self.restore_identity(now, t.identity.clone(), no, message.ending, until, tenant);
        self.live_bytes += message.size;
        self.counters.resumed += 1;
        let mut message = message;
        self.register_restored(no, &message);
        // Moves do not account for messages in the backlog, and several cells have capacity of their own.
        let queues = self.cells.is_single() && !self.tenants_can_move();
        if queues && message.withheld.is_none() && message.ending.is_none() && self.backlog_room() == 0 {
            self.backlog.push(no, message.taken.valid_until);
            message.withheld = Some(Withheld::Backlogged);
        }
        let waits = message.withheld.is_some();
        if message.ending != Some(Ending::Delivered) {
            self.key_order.insert(&message.taken);
        }
        self.messages.insert(no, message);
        if !waits {
            self.resume(no);
        }
    }

    /// Gives restored messages to the decision module as it has capacity for them.
    pub(super) fn backlog_turn(&mut self, now: Ms) {
        if self.backlog.is_empty() {
            return;
        }
        let room = self.backlog_room();
        self.backlog.take(now, room).into_iter().for_each(|no| self.resume(no));
    }

    /// How many more restored messages the decision module can take without having to return any.
    fn backlog_room(&self) -> usize {
        let most = (BACKLOG_SHARE * self.settings.max_held as f64) as usize;
        most.saturating_sub(self.messages.len() - self.backlog.len())
    }

    /// Gives a message to the decision module that does not hold it, or no longer does.
    pub(super) fn resume(&mut self, no: MessageNo) {
        self.backlog.remove(no);
        let suspended = self.is_suspended(no);
        let Some(c) = self.messages.get_mut(&no) else { return };
        if suspended && c.ending.is_none() {
            c.withheld = Some(Withheld::Suspended);
            return;
        }
        c.withheld = None;
        let c = &self.messages[&no];
        let zone = |name: &str| index_of(&self.names.zones, name).unwrap_or(self.names.zones.len());
        let class = index_of(&self.names.classes, &c.taken.class).unwrap_or(0);
        let resumed = Event::MessageResumed(ResumedMessage {
            message: self.module_message(class, &c.taken, true),
            attempts: c.attempts,
            first_possible_run: c.ran.as_ref().map(|s| (s.at, zone(&s.zone))),
            ended: c.ending.is_some(),
        });
        self.cells.post(c.cell, resumed);
    }

    pub(super) fn restore_identity(
        &mut self,
        now: Ms,
        identity: Identity,
        no: MessageNo,
        ending: Option<Ending>,
        until: Ms,
        tenant: String,
    ) {
        if until > now {
            let verdict = verdict_after(&identity, ending);
            self.remember_identity(identity, KnownIdentity { no, verdict, ending, until, tenant });
        }
    }

    /// Sends the final answer of a held message to the place from which its client has submitted it again.
    pub(super) fn update_reply(&mut self, no: MessageNo, reply: Vec<u8>) {
        if let Some(c) = self.messages.get_mut(&no).filter(|c| !c.taken.identity.0.is_empty()) {
            c.taken.reply_to = reply;
        }
    }
}

/// The verdict on a repeated submission of a message that another process accepted.
///
/// The journal does not say whether a client of the platform got this ending as the rejection of its submission or
/// as a later final answer. A repeat of a rejected submission must not be answered as accepted: its end would never
/// be reported.
pub(super) fn verdict_after(identity: &Identity, ending: Option<Ending>) -> Verdict {
    match ending {
        Some(Ending::Returned(wait)) if identity.0.is_empty() => Verdict::Busy(wait),
        Some(Ending::GivenUp) if identity.0.is_empty() => Verdict::Failed("given up".into()),
        _ => Verdict::Accepted,
    }
}

/// An attempt dated in the future was sent before the clock was set back. How long ago is not known, so it
/// counts as sent long ago.
fn clamp_to_past(now: Ms, sent: AttemptSent) -> AttemptSent {
    let at = if sent.at > now { 0.0 } else { sent.at };
    AttemptSent { at, ..sent }
}
