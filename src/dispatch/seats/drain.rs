//! Draining a tenant: its messages are withdrawn from the decision module until nothing of them is outstanding,
//! and given back if the move is taken back.

use super::{DRAIN_GRACE, MIN_LEFT_TO_MOVE};
use crate::api::*;
use crate::config::index_of;
use crate::dispatch::{Core, HeldMessage, Withheld};
use crate::guard;
use crate::journal::MessageNo;
use lilacbank_cells::moving::Input;
use lilacbank_cells::wire;
use prost::Message as _;

/// Bytes that a peer message takes at most beyond the contents that it offers.
const ENVELOPE_BYTES: usize = 4_096;

impl Core {
    /// Withdraws a tenant's messages from the decision module; outstanding attempts may end.
    pub(super) fn drain_tenant(&mut self, now: Ms, tenant: &str) {
        let Some(p) = self.ownership.tenants.get_mut(tenant).filter(|p| p.drain_until.is_none()) else {
            return;
        };
        (p.drain_until, p.confirm_until) = (Some(now + DRAIN_GRACE), None);
        p.halted_since = now;
        let mut withdrawn = Vec::new();
        for (no, c) in
            self.messages.iter_mut().filter(|(_, c)| c.taken.tenant == tenant && c.ending.is_none())
        {
            let near = c.taken.valid_until - now < MIN_LEFT_TO_MOVE && c.taken.key.is_none();
            match c.withheld {
                None if !near => {
                    withdrawn.push((c.cell, *no));
                    c.withheld = Some(Withheld::TenantMoving);
                }
                Some(Withheld::KeyParked) => c.withheld = Some(Withheld::TenantMoving),
                _ => {}
            }
        }
        withdrawn.into_iter().for_each(|(cell, no)| self.cells.post(cell, Event::ClientLeft(no)));
    }

    /// Gives the messages back to the decision module, in their order, after a move was taken back.
    pub(super) fn resume_tenant(&mut self, now: Ms, tenant: &str) {
        if let Some(p) = self.ownership.tenants.get_mut(tenant) {
            p.last_halt = now - p.halted_since;
        }
        let moving = |c: &HeldMessage| c.taken.tenant == tenant && c.withheld == Some(Withheld::TenantMoving);
        let mut resumed = self.messages_where(moving);
        // A message that is left to end by itself holds its key until then.
        resumed.retain(|no| self.cancel_or_leave(now, *no));
        resumed.iter().for_each(|no| self.book_any_cancelled(now, *no));
        self.park_quiet_keys(now, tenant);
        for no in resumed {
            self.messages.entry(no).and_modify(|c| c.withheld = Some(Withheld::KeyParked));
            self.resume_if_key_free(no);
        }
    }

    /// Parks the keys of a tenant that are in a quiet period: the decision module did not hold their messages
    /// and knows of no quiet period.
    fn park_quiet_keys(&mut self, now: Ms, tenant: &str) {
        let quiet_keys =
            self.ownership.quiet_keys.iter().filter(|(_, quiet)| quiet.0 > now && quiet.1 == tenant);
        for (key, quiet) in quiet_keys.map(|(key, quiet)| (*key, quiet.clone())).collect::<Vec<_>>() {
            let parked = self.ownership.parked.entry(key).or_insert_with(|| quiet.clone());
            parked.0 = parked.0.max(quiet.0);
        }
    }

    /// Cancels the outstanding attempt of a message whose tenant moves, or whose move was taken back, if the
    /// message may be repeated or the attempt is not written whole. Otherwise the message is left to end
    /// here, and the result is false.
    fn cancel_or_leave(&mut self, now: Ms, no: MessageNo) -> bool {
        let out = self.messages.get(&no).and_then(|c| c.out.as_ref()).map(|o| (o.attempt, o.written));
        let Some((attempt, written)) = out else { return true };
        let leave = written && self.is_at_most_once(no);
        match leave {
            true => drop(self.messages.entry(no).and_modify(|c| c.withheld = Some(Withheld::LeftBehind))),
            false => self.cancel(now, no, attempt),
        }
        !leave
    }

    fn is_cancel_requested(&self, no: MessageNo) -> bool {
        let out = self.messages.get(&no).and_then(|c| c.out.as_ref());
        out.is_some_and(|o| o.cancel_requested.is_some())
    }

    /// Extends the drain of a tenant until endpoints must know of the cancelled attempts; false once that
    /// time has passed.
    fn extend_drain(&mut self, now: Ms, tenant: &str) -> bool {
        let Some(state) = self.ownership.tenants.get_mut(tenant) else { return false };
        let until = *state.confirm_until.get_or_insert(guard::confirmation_deadline(now));
        state.drain_until = Some(until);
        now < until
    }

    /// Books a cancelled attempt as ended, whether or not its endpoint knows: the send rules hold back other
    /// attempts of the message until it does.
    fn book_any_cancelled(&mut self, now: Ms, no: MessageNo) {
        if let Some(attempt) = self.messages.get(&no).and_then(|c| Some(c.out.as_ref()?.attempt)) {
            self.book_cancelled(now, no, attempt);
        }
    }

    fn is_at_most_once(&self, no: MessageNo) -> bool {
        let class = self.messages.get(&no).and_then(|c| index_of(&self.names.classes, &c.taken.class));
        class.is_none_or(|c| self.settings.classes[c].effect == Effect::AtMostOnce)
    }

    pub(super) fn continue_drain(&mut self, now: Ms, tenant: &str, until: Ms) {
        let is_moving = |c: &HeldMessage| {
            c.taken.tenant == tenant && c.withheld == Some(Withheld::TenantMoving) && c.ending.is_none()
        };
        let moving_messages = self.messages_where(is_moving);
        let is_out = |no: &MessageNo| self.messages.get(no).is_some_and(|c| c.out.is_some());
        let outstanding: Vec<MessageNo> = moving_messages.iter().copied().filter(is_out).collect();
        if now < until && !outstanding.is_empty() {
            return;
        }
        // Another dispatcher sends these messages once it has them, so their endpoints must know of the end
        // before.
        for no in &outstanding {
            self.cancel_or_leave(now, *no);
        }
        let unconfirmed =
            |no: &MessageNo| self.unconfirmed.has_unconfirmed(*no, now) || self.is_cancel_requested(*no);
        if moving_messages.iter().any(unconfirmed) && self.extend_drain(now, tenant) {
            return;
        }
        outstanding.into_iter().for_each(|no| self.book_any_cancelled(now, no));
        let since = self.ownership.tenants.get(tenant).map_or(now, |p| p.halted_since);
        let contents = self.handoff_contents(now, tenant, since);
        if contents.encoded_len() + ENVELOPE_BYTES > wire::MAX_FRAME_BYTES {
            log::error!(tenant = tenant;
                "the messages of '{tenant}' do not fit in one frame; it is not moved");
            let _ = self.step_ownership(now, tenant, Input::Abort);
            return;
        }
        let _ = self.step_ownership(now, tenant, Input::Drained(contents));
    }
}
