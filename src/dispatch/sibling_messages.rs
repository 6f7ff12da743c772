//! What a sibling process has accepted, during an upgrade, as its journal says. No I/O: the journal reads the file.
//!
//! The two processes count as one dispatcher: a message that one of them has accepted is not accepted again by the
//! other. Each writes a message to its journal before it answers the client, and reads the other's journal before
//! that and once more after it. Of two processes that accept the same message at the same time, at least one
//! therefore finds the other's record, and withdraws its own.

use super::admit::NO_ROOM_RETRY_AFTER;
use super::once::{AtMostOnce, RepeatCheck};
use super::seats_read::OwnershipRecords;
use super::{Core, Submission, Verdict};
use crate::api::Ms;
use crate::journal::{AcceptedMessage, Ending, Identity, MessageNo, Record};
use std::collections::{BTreeMap, HashMap};
use std::io;

/// Milliseconds between two searches for identities that the sibling process no longer remembers.
const EXPIRY_INTERVAL: Ms = 1_000.0;

/// What the sibling process knows of an identity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct SiblingIdentity {
    /// The message's number; 0 once only its identity is remembered.
    pub(super) no: MessageNo,
    /// How the message ended.
    pub(super) ending: Option<Ending>,
    /// Until when the identity is remembered, once its client is owed nothing more.
    pub(super) settled_until: Option<Ms>,
}

/// A message that the sibling process holds.
#[derive(Debug)]
struct HeldBySibling {
    identity: Identity,
    /// Its name among the at-most-once messages.
    name: Option<String>,
    tenant: String,
}

/// The messages that the sibling process holds or remembers.
#[derive(Debug, Default)]
pub(super) struct SiblingMessages {
    identities: HashMap<Identity, SiblingIdentity>,
    at_most_once: AtMostOnce,
    held: BTreeMap<MessageNo, HeldBySibling>,
    ownership: OwnershipRecords,
    /// When identities are next searched for those that are remembered no more.
    expire_at: Ms,
}

impl SiblingMessages {
    /// Adds records of the sibling's journal, in their order. `names` gives the names of at-most-once messages.
    pub(super) fn add(&mut self, now: Ms, records: &[Record], names: &AtMostOnce) {
        for record in records {
            match record {
                Record::Accepted(message) => self.accepted(message, names),
                Record::FinalAnswer { no, ending } => self.ended(*no, *ending),
                Record::Settled { no, until } => self.settled(now, *no, *until),
                Record::RememberedIdentity { identity, ending, until, .. } => {
                    let known = SiblingIdentity { no: 0, ending: Some(*ending), settled_until: Some(*until) };
                    self.identities.insert(identity.clone(), known);
                }
                Record::AtMostOnceEnded { name, ending, until, tenant } => {
                    self.at_most_once.remember(name.clone(), *ending, *until, tenant.clone());
                }
                Record::TenantOwnership(bytes) => {
                    if let Some((tenant, from)) = self.ownership.add(bytes) {
                        self.void_adoption(&tenant, from);
                    }
                }
                Record::Attempts { .. }
                | Record::CallsCounted(_)
                | Record::ClockReading(_)
                | Record::TakenOver(_)
                | Record::RetryAfter { .. } => {}
            }
        }
    }

    fn accepted(&mut self, message: &AcceptedMessage, names: &AtMostOnce) {
        let (no, identity) = (message.no, message.identity.clone());
        let name = names.name_of(message);
        name.iter().for_each(|name| self.at_most_once.hold(name.clone(), no));
        let known = SiblingIdentity { no, ending: None, settled_until: None };
        self.identities.insert(identity.clone(), known);
        self.held.insert(no, HeldBySibling { identity, name, tenant: message.tenant.clone() });
    }

    fn ended(&mut self, no: MessageNo, ending: Ending) {
        let Some(held) = self.held.get(&no) else { return };
        if let Some(known) = self.identities.get_mut(&held.identity) {
            known.ending = Some(ending);
        }
    }

    fn settled(&mut self, now: Ms, no: MessageNo, until: Ms) {
        let Some(held) = self.held.remove(&no) else { return };
        self.forget_name(no, held.name);
        match self.identities.get_mut(&held.identity) {
            Some(known) if until > now => known.settled_until = Some(until),
            _ => drop(self.identities.remove(&held.identity)),
        }
    }

    /// Forgets the messages of an adoption that was cut short: the tenant's former owner still holds them.
    fn void_adoption(&mut self, tenant: &str, from: MessageNo) {
        let void = |(no, held): (&MessageNo, &HeldBySibling)| (held.tenant == tenant).then_some(*no);
        let numbers: Vec<MessageNo> = self.held.range(from..).filter_map(void).collect();
        for no in numbers {
            let Some(held) = self.held.remove(&no) else { continue };
            self.forget_name(no, held.name);
            self.identities.remove(&held.identity);
        }
    }

    /// Forgets the name of a message that is held no more, unless its end is remembered.
    fn forget_name(&mut self, no: MessageNo, name: Option<String>) {
        if let Some(name) = name.filter(|name| self.at_most_once.check(name) == RepeatCheck::Held(no)) {
            self.at_most_once.forget(&name);
        }
    }

    /// Forgets what the sibling process itself no longer remembers.
    fn expire(&mut self, now: Ms) {
        self.at_most_once.expire(now);
        if now >= self.expire_at {
            self.expire_at = now + EXPIRY_INTERVAL;
            self.identities.retain(|_, known| known.settled_until.is_none_or(|until| until > now));
        }
    }

    /// What is known of an identity.
    pub(super) fn identity(&self, now: Ms, identity: &Identity) -> Option<SiblingIdentity> {
        let known = self.identities.get(identity).copied();
        known.filter(|known| known.settled_until.is_none_or(|until| until > now))
    }

    /// What is known of an at-most-once message.
    pub(super) fn check(&self, name: &str) -> RepeatCheck {
        self.at_most_once.check(name)
    }

    /// Whether a message is known by its identity or, if it is an at-most-once message, by its name.
    pub(super) fn knows(&self, now: Ms, message: &AcceptedMessage, name: Option<&str>) -> bool {
        let is_named = name.is_some_and(|name| self.check(name) != RepeatCheck::New);
        is_named || self.identity(now, &message.identity).is_some()
    }
}

impl Core {
    /// Reads what the sibling process has written to its journal since the last call, and applies its
    /// retry-afters.
    ///
    /// # Errors
    ///
    /// The sibling's journal cannot be read now.
    pub fn follow_sibling(&mut self, now: Ms) -> io::Result<()> {
        let found = self.journal.read_sibling_records()?;
        if found.replaced {
            self.sibling_messages = SiblingMessages::default();
        }
        if !found.records.is_empty() {
            self.sibling_messages.add(now, &found.records, &self.at_most_once);
            self.sibling_messages.expire(now);
            self.apply_waits(now, &found.records);
        }
        Ok(())
    }

    /// Forgets what the folder's other file held: its messages are held here now, or it was emptied.
    pub(super) fn forget_sibling_messages(&mut self) {
        // If the file cannot be read now, its messages are found again later, and are known here by then.
        let _ = self.journal.read_sibling_records();
        self.sibling_messages = SiblingMessages::default();
    }

    /// The folder's other file is empty, and another process may write to it from now on.
    pub fn sibling_file_emptied(&mut self) {
        self.journal.restart_sibling_records();
        self.sibling_messages = SiblingMessages::default();
    }

    /// The answer to a submission that the sibling process has accepted before.
    ///
    /// # Errors
    ///
    /// The sibling's journal cannot be read, so that it is not known whether it has.
    pub(super) fn verdict_from_sibling(&mut self, now: Ms, s: &Submission) -> io::Result<Option<Verdict>> {
        self.follow_sibling(now)?;
        let known = self.sibling_messages.identity(now, &s.identity);
        let name = self.at_most_once.entry_name(&s.class, &s.idempotency_key, &s.identity.1);
        let check = name.map_or(RepeatCheck::New, |name| self.sibling_messages.check(&name));
        if let Some(verdict) = self.verdict_on_repeat(now, s, check, known.map(|k| k.no)) {
            return Ok(Some(verdict));
        }
        let Some(known) = known else { return Ok(None) };
        // Until the client is owed nothing more, the process that holds the message answers it.
        let Some(ending) = known.ending.filter(|_| known.settled_until.is_some()) else {
            return Ok(Some(Verdict::Accepted));
        };
        if !s.identity.0.is_empty() {
            self.order_answer_to_repeat(now, s, ending);
        }
        Ok(Some(super::admit::verdict_after(&s.identity, Some(ending))))
    }

    /// Whether the sibling process has accepted a message at the same time that this process has just written
    /// to its journal. It counts as accepted there if the sibling's journal cannot be read.
    pub(super) fn is_accepted_by_sibling(&mut self, now: Ms, message: &AcceptedMessage) -> bool {
        if self.follow_sibling(now).is_err() {
            return true;
        }
        let name = self.at_most_once.name_of(message);
        self.sibling_messages.knows(now, message, name.as_deref())
    }

    /// Withdraws a message that was written to the journal and that nothing else was done with; returns the
    /// retry-after of its client.
    pub(super) fn withdraw(&mut self, now: Ms, no: MessageNo) -> Ms {
        self.next_message_no = no + 1;
        let ending = Ending::Returned(NO_ROOM_RETRY_AFTER);
        self.append_or_defer(&Record::FinalAnswer { no, ending });
        self.append_or_defer(&Record::Settled { no, until: now });
        NO_ROOM_RETRY_AFTER
    }
}

#[cfg(test)]
mod tests;
