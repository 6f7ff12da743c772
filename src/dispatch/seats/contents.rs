//! What is handed over of a tenant that moves: its messages, its quiet keys and the endings that are remembered.

use super::whole_ms;
use crate::api::*;
use crate::dispatch::admit::MESSAGE_OVERHEAD_BYTES;
use crate::dispatch::{Core, HeldMessage, Withheld};
use crate::guard::CONFIRM_TIMEOUT;
use crate::journal::{AcceptedMessage, AttemptSent, Ending, MessageNo, Record};
use lilacbank_cells::moving::TenantOwnership;
use lilacbank_cells::wire::{
    self, EndedMessage, HandedOverMessage, OwnershipRecord, QuietKey, TenantContents,
};
use std::collections::BTreeMap;

impl Core {
    /// Everything that is handed over of a tenant. A message that stays here appears only as a parked key and
    /// in the list of past endings.
    pub(super) fn handoff_contents(&self, now: Ms, tenant: &str, still_since: Ms) -> TenantContents {
        let is_moving = |c: &HeldMessage| {
            c.withheld == Some(Withheld::TenantMoving) && c.out.is_none() && c.ending.is_none()
        };
        let own = || self.messages.iter().filter(|(_, c)| c.taken.tenant == tenant);
        let mut contents =
            TenantContents { suspended_since: whole_ms(still_since), ..TenantContents::default() };
        let mut parked: BTreeMap<u64, u64> = BTreeMap::new();
        for (no, c) in own() {
            let t = &c.taken;
            let name = self.at_most_once.entry_name(&t.class, &t.idempotency_key, &t.identity.1);
            if is_moving(c) {
                contents.messages.push(HandedOverMessage {
                    client: t.identity.0.clone(),
                    id: t.identity.1.clone(),
                    class: t.class.clone(),
                    key: t.key,
                    idempotency_key: t.idempotency_key.clone(),
                    destination: t.destination,
                    valid_until: whole_ms(t.valid_until),
                    reply_to: t.reply_to.clone(),
                    body: t.body.clone(),
                    attempts: c.attempts,
                    first_attempt_at: c.ran.as_ref().map(|s| whole_ms(s.at)),
                    first_attempt_zone: c.ran.as_ref().map(|s| s.zone.clone()).unwrap_or_default(),
                    number: *no,
                });
                continue;
            }
            if let Some(key) = t.key {
                // The message may run before later ones of its key until its end is known here and to its
                // endpoint.
                let unconfirmed = if c.out.is_some() { CONFIRM_TIMEOUT } else { 0.0 };
                let until = whole_ms(t.valid_until.max(now) + unconfirmed + self.settings.key_quiet_period);
                parked.entry(key).and_modify(|u| *u = (*u).max(until)).or_insert(until);
            }
            let until = whole_ms(t.valid_until + self.at_most_once.memory_span(&t.class));
            contents.ended.extend(name.map(|id| EndedMessage {
                id,
                id_is_remembered_name: true,
                final_answer: 1,
                remembered_until: until,
                ..EndedMessage::default()
            }));
        }
        let waits = self.ownership.parked.iter().chain(&self.ownership.quiet_keys);
        for (key, (until, _)) in waits.filter(|(_, w)| w.0 > now && w.1 == tenant) {
            let until = whole_ms(*until).saturating_add(1);
            parked.entry(*key).and_modify(|u| *u = (*u).max(until)).or_insert(until);
        }
        contents.quiet_keys = parked.into_iter().map(|(key, until)| QuietKey { key, until }).collect();
        let number_is_moving = |no: &MessageNo| self.messages.get(no).is_some_and(is_moving);
        for (identity, k) in
            self.identities.iter().filter(|(_, k)| k.tenant == tenant && !number_is_moving(&k.no))
        {
            let (ending, wait) = encode_ending(k.ending);
            let (client, id) = identity.clone();
            contents.ended.push(EndedMessage {
                client,
                id,
                id_is_remembered_name: false,
                final_answer: ending,
                retry_after_ms: wait,
                remembered_until: whole_ms(k.until),
            });
        }
        for (name, ending, until, _) in self.at_most_once.endings().filter(|e| e.3 == tenant) {
            let (ending, wait) = encode_ending(Some(ending));
            let (client, id) = (String::new(), name.clone());
            contents.ended.push(EndedMessage {
                client,
                id,
                id_is_remembered_name: true,
                final_answer: ending,
                retry_after_ms: wait,
                remembered_until: whole_ms(until),
            });
        }
        contents
    }

    /// Removes messages that another dispatcher serves now; their clients get no answer from here.
    pub(super) fn remove_handed_off(&mut self, now: Ms, contents: &TenantContents) {
        for h in &contents.messages {
            let Some(c) = self.remove_message(now, h.number) else { continue };
            let name =
                self.at_most_once.entry_name(&c.taken.class, &c.taken.idempotency_key, &c.taken.identity.1);
            name.iter().for_each(|n| self.at_most_once.forget(n));
            self.forget_identity(&c.taken.identity);
            self.append_or_defer(&Record::Settled { no: h.number, until: 0.0 });
        }
    }

    /// Gives up a tenant's messages after another dispatcher has taken the tenant over without this one,
    /// which served from an old state folder or under an old map. The messages may have run there; clients are
    /// told that they are given up.
    pub(super) fn give_up_superseded(&mut self, now: Ms, tenant: &str) {
        let own = |c: &HeldMessage| c.taken.tenant == tenant && c.ending.is_none();
        for no in self.messages_where(own) {
            let Some(c) = self.messages.get_mut(&no) else { continue };
            let (cell, known, out) = (c.cell, c.withheld.is_none(), c.out.is_some());
            c.withheld = Some(Withheld::LeftBehind);
            if known {
                self.cells.post(cell, Event::ClientLeft(no));
            }
            if !out {
                self.finish(now, no, Ending::GivenUp);
            }
        }
    }

    /// Writes received contents to this journal as messages of its own. None of it counts until the last
    /// record is written.
    pub(super) fn adopt_tenant(
        &mut self,
        now: Ms,
        tenant: &str,
        ownership: &TenantOwnership<TenantContents>,
        contents: &TenantContents,
    ) -> bool {
        self.compact_if_full();
        let parked = contents.quiet_keys.clone();
        let settled = OwnershipRecord {
            quiet_keys: parked,
            ..wire::to_record(tenant, ownership, |n| self.ownership.name(n))
        };
        let first = self.next_message_no;
        let begun = OwnershipRecord { adopts_from: Some(first), ..settled.clone() };
        if !self.append_ownership(&begun) {
            return false;
        }
        self.next_message_no += contents.messages.len() as MessageNo;
        let cell = self.cells.cell_of(tenant);
        let mut messages = Vec::new();
        for (h, no) in contents.messages.iter().zip(first..) {
            let taken = AcceptedMessage {
                no,
                identity: (h.client.clone(), h.id.clone()),
                class: h.class.clone(),
                tenant: tenant.into(),
                key: h.key,
                idempotency_key: h.idempotency_key.clone(),
                destination: h.destination,
                valid_until: h.valid_until as Ms,
                reply_to: h.reply_to.clone(),
                body: h.body.clone(),
            };
            let ran =
                h.first_attempt_at.map(|at| AttemptSent { at: at as Ms, zone: h.first_attempt_zone.clone() });
            let record = Record::Accepted(taken);
            let size = record.size() + MESSAGE_OVERHEAD_BYTES;
            let state =
                Record::Attempts { no, attempts: h.attempts, may_have_run: ran.clone(), in_progress: None };
            let both = [Some(&record), (h.attempts > 0).then_some(&state)];
            for r in both.into_iter().flatten() {
                if let Err(e) = self.journal.append(r) {
                    log::error!(tenant = tenant, cause:% = e;
                        "a handed-over message cannot be written to the journal: {e}");
                    return false;
                }
            }
            let Record::Accepted(taken) = record else { return false };
            let withheld = Some(Withheld::KeyParked);
            messages.push(HeldMessage {
                taken,
                attempts: h.attempts,
                last_outcome: None,
                ran,
                out: None,
                ending: None,
                cell,
                size,
                withheld,
                unreported_end: None,
            });
        }
        // These records come before the one that settles the ownership. In the reverse order, a crash in
        // between would leave at-most-once messages unknown here that have run, and they could run again.
        for past in &contents.ended {
            if let Err(e) = self.journal.append(&past_record(tenant, past)) {
                log::error!(tenant = tenant, cause:% = e;
                    "a handed-over ending cannot be written to the journal: {e}");
                return false;
            }
        }
        if !self.append_ownership(&settled) {
            return false;
        }
        self.ownership.park_keys(tenant, &contents.quiet_keys);
        // From here on a compacted journal must contain the ownership that was written above.
        if let Some(state) = self.ownership.tenants.get_mut(tenant) {
            state.ownership = ownership.clone();
        }
        for mut message in messages {
            message.withheld = self.is_parked(message.taken.key).then_some(Withheld::KeyParked);
            self.hold_restored(now, message);
        }
        contents.ended.iter().for_each(|past| self.restore_past(now, tenant, past));
        true
    }

    /// Remembers a message that ended at the dispatcher the tenant came from.
    fn restore_past(&mut self, now: Ms, tenant: &str, past: &EndedMessage) {
        let (until, ending) = (past.remembered_until as Ms, decode_ending(past));
        if past.id_is_remembered_name {
            let ending = ending.unwrap_or(Ending::GivenUp);
            self.at_most_once.remember(past.id.clone(), ending, until, tenant.to_string());
        } else {
            let identity = (past.client.clone(), past.id.clone());
            self.restore_identity(now, identity, 0, ending, until, tenant.to_string());
        }
    }
}

/// Encodes an [`Ending`] for the wire: its number, and the retry-after.
fn encode_ending(ending: Option<Ending>) -> (u32, u64) {
    match ending {
        Some(Ending::Delivered) => (0, 0),
        Some(Ending::GivenUp) => (1, 0),
        Some(Ending::Returned(wait)) => (2, whole_ms(wait)),
        None => (3, 0),
    }
}

fn decode_ending(past: &EndedMessage) -> Option<Ending> {
    match past.final_answer {
        0 => Some(Ending::Delivered),
        1 => Some(Ending::GivenUp),
        2 => Some(Ending::Returned(past.retry_after_ms as Ms)),
        _ => None,
    }
}

/// The journal record of a message that ended at the dispatcher the tenant came from. If its ending is not
/// known there, a restart treats the message as one that may have taken effect.
fn past_record(tenant: &str, past: &EndedMessage) -> Record {
    let (until, ending) = (past.remembered_until as Ms, decode_ending(past).unwrap_or(Ending::GivenUp));
    let tenant = tenant.to_string();
    if past.id_is_remembered_name {
        return Record::AtMostOnceEnded { name: past.id.clone(), ending, until, tenant };
    }
    Record::RememberedIdentity { identity: (past.client.clone(), past.id.clone()), ending, until, tenant }
}
