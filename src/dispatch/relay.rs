//! Relay: the outcome of a delegation goes back to the module, and into the journal.

use super::unconfirmed::Unconfirmed;
use super::{Core, End, Order};
use crate::api::*;
use crate::guard::{self, CONFIRM_MOST};
use crate::journal::{CallNo, Ending, Sent};

/// An answer that came so shortly before a call's time was up, by this side's clock, may have come after it by the
/// platform's, which counts from the request's last byte: on its way and in the socket the request took a while.
const DOUBT: Ms = 100.0;

/// A wire tells that an end is confirmed so soon after it is.
const TOLD_WITHIN: Ms = 5.0;

impl Core {
    /// A delegation ended, for its endpoint too. Exactly one outcome counts for each; of what was counted before only the
    /// word of its endpoint is still of interest.
    pub fn outcome(&mut self, now: Ms, no: CallNo, attempt: u32, end: End) {
        let rest = if end.outcome.never_ran() { 0.0 } else { self.settings.key_quiet };
        end.confirmed.into_iter().for_each(|how| self.guard.confirmed(how));
        if let Some(unconfirmed) = self.unconfirmed.confirm(now, no, attempt, rest) {
            return self.confirmed_late(now, &unconfirmed, end.wait);
        }
        match end.pending {
            Some(within) => self.ended_unconfirmed(now, no, attempt, within, end),
            None => self.ended_here(now, no, attempt, end),
        }
    }

    /// Books the end of a delegation of which its endpoint may not know for so long: nothing else of the message goes out before.
    fn ended_unconfirmed(&mut self, now: Ms, no: CallNo, attempt: u32, within: Ms, end: End) {
        let Some(c) = self.calls.get(&no) else { return };
        let Some(out) = c.out.as_ref().filter(|o| o.attempt == attempt) else { return };
        let unconfirmed = Unconfirmed::new(out.route, c.taken.key, c.taken.tenant.clone());
        self.unconfirmed.insert(no, attempt, unconfirmed.clone());
        self.ended_here(now, no, attempt, end);
        let until = now + within + self.settings.key_quiet;
        self.rest_key(now, unconfirmed.key, &unconfirmed.tenant, until);
    }

    /// Books the end of a delegation.
    fn ended_here(&mut self, now: Ms, no: CallNo, attempt: u32, end: End) {
        let End { outcome, wait, report, over, heard, refused, confirmed, pending, at } = end;
        if let Some(reason) = refused {
            let _ = self.guard.note(Err(reason));
        }
        let Some(c) = self.calls.get_mut(&no) else { return };
        let cell = c.cell;
        let Some(mut out) = c.out.take_if(|o| o.attempt == attempt) else { return };
        if let Some(charge) = out.charge.take() {
            self.charge_ended(now, cell, charge);
        }
        self.counters.note(outcome);
        if log::log_enabled!(log::Level::Debug) {
            let w = self.workers.get(&out.route).map(|w| &w.worker);
            let (member, worker) = w.map_or((0, ""), |w| (w.dest, w.uid.as_str()));
            let id = self.calls.get(&no).map_or("", |c| c.taken.identity.1.as_str());
            let (left, limit) = (report.left.unwrap_or(-1.0), report.limit.unwrap_or(-1.0));
            let confirmed = confirmed.map_or("not_yet", |how| how.name());
            log::debug!(id = id, member = member, worker = worker, outcome:? = outcome, wait_ms = wait, took_ms = now - out.sent,
                attempt = attempt, left = left, limit = limit, confirmed = confirmed; "a delegation ended");
        }
        let route = out.route;
        let delivered = outcome == Outcome::Delivered;
        // Guards against messages that spend all their attempts on this side, without a call: kept back by a wait, by a
        // promise or by a folder that takes no record.
        let unspent = outcome == Outcome::NotSent && !heard && !over;
        self.calls.entry(no).and_modify(|c| match unspent {
            true => c.attempts = attempt,
            // What was kept back on this side is no reason for the next one.
            false => c.last = Some(outcome),
        });
        let ended = Ended {
            took: at.unwrap_or(now) - out.sent,
            over: over || delivered,
            wait,
            report,
            heard,
            unspent,
            rest: pending.map_or(0.0, |within| within + TOLD_WITHIN),
            ..Ended::of(no, attempt, route, outcome)
        };
        let doubtful = delivered && self.is_doubtful(now, no);
        self.cells.back(cell);
        if doubtful {
            self.calls.entry(no).and_modify(|c| c.unheard = Some(ended));
        } else {
            self.ended_in(cell, ended);
        }
        if !outcome.never_ran() {
            let sent = Sent { at: out.sent, zone: self.zone(out.route) };
            self.calls.entry(no).and_modify(|c| {
                c.ran.get_or_insert(sent);
            });
        }
        self.hints_heard(now, route, outcome, false);
        self.note_rest(now, no, outcome);
        // What was kept back here, for a climb or a promise, was told no wait: what has its place goes out.
        if wait > 0.0 && outcome != Outcome::NotSent {
            self.note_wait(now, out.route, wait);
            self.hold(out.route);
        }
        if delivered {
            self.finish(now, no, Ending::Delivered);
        } else if over {
            self.close_over(now, no);
        } else if !out.marked {
            // The journal knows nothing of it, and what it says of the call still holds.
            self.end_behind(now, no);
        } else if let Some(record) = self.calls.get(&no).map(|c| self.state(no, c)) {
            // Without this record a restart takes the delegation for one that may have run: safe, if slower.
            self.note(&record);
            self.end_behind(now, no);
        }
    }

    /// Was it delivered so late that the platform may still wait for its end? Then it is told one, which does no harm where
    /// the platform has taken it for delivered.
    fn is_doubtful(&self, now: Ms, no: CallNo) -> bool {
        let late = |c: &super::Call| c.taken.identity.0.is_empty() && now + DOUBT >= c.taken.valid_until;
        self.calls.get(&no).is_some_and(late)
    }

    /// A worker told a wait otherwise than by the outcome of a delegation; 0 is none.
    pub fn told_wait(&mut self, now: Ms, route: RouteId, wait: Ms) {
        if wait > 0.0 && self.worker(route).is_some() {
            log::debug!(wait_ms = wait; "worker {route} told a wait beside the calls");
            self.post_wait(route, wait);
            self.note_wait(now, route, wait);
            self.hold(route);
        }
    }

    /// Guards against a call that was decided before a wait was told and is written after it has begun.
    pub(super) fn hold(&mut self, route: RouteId) {
        let Some(w) = self.worker(route) else { return };
        let apart = self.settings.kind(w.kind).apart;
        let (dest, route) = (w.dest, apart.then_some(route));
        self.orders.push(Order::Hold { dest, route });
    }

    /// The module calls a delegation off: its connection is ended, and it may have run.
    pub(super) fn cancel(&mut self, now: Ms, no: CallNo, attempt: u32) {
        self.break_off(now, no, attempt, Outcome::Cancelled);
    }

    /// The same where its end cannot be waited for.
    pub(super) fn cancel_at_once(&mut self, now: Ms, no: CallNo, attempt: u32) {
        self.break_off(now, no, attempt, Outcome::Cancelled);
        self.conclude(now, no, attempt);
    }

    /// Delegations whose time is up. Those whose message's time is up end at once: nothing follows them, and their client is
    /// owed the end.
    pub(super) fn expire(&mut self, now: Ms) {
        let up = |(no, c): (&CallNo, &super::Call)| {
            let over = c.taken.valid_until <= now;
            let out = c.out.as_ref().filter(|o| o.due(c.taken.valid_until) <= now)?;
            Some((*no, out.attempt, over))
        };
        let due: Vec<_> = self.calls.iter().filter_map(up).collect();
        for (no, attempt, over) in due {
            self.break_off(now, no, attempt, Outcome::Late);
            if over {
                self.conclude(now, no, attempt);
            }
        }
    }

    /// Orders the end of a delegation. It stays out until its wire has told how it ended: until then its endpoint may not know
    /// of it, and nothing else of the message may be sent.
    fn break_off(&mut self, now: Ms, no: CallNo, attempt: u32, outcome: Outcome) {
        let out = self.calls.get_mut(&no).and_then(|c| c.out.as_mut()).filter(|o| o.attempt == attempt);
        let Some(out) = out.filter(|o| o.broken_off.is_none()) else { return };
        out.broken_off = Some((now, outcome));
        self.orders.push(Order::Abandon { no, attempt, outcome });
    }

    /// Books the end of a delegation that was broken off before its wire has told it.
    pub(super) fn conclude(&mut self, now: Ms, no: CallNo, attempt: u32) {
        let out = self.calls.get(&no).and_then(|c| c.out.as_ref()).filter(|o| o.attempt == attempt);
        let Some((written, Some((at, outcome)))) = out.map(|o| (o.written, o.broken_off)) else { return };
        // What was not written to the end cannot have run.
        let outcome = if written { outcome } else { Outcome::NoConnection };
        let end = End { at: Some(at), pending: Some(CONFIRM_MOST), ..End::of(outcome) };
        self.ended_unconfirmed(now, no, attempt, CONFIRM_MOST, end);
    }

    /// A wire tells of a delegation whose end was booked before.
    fn confirmed_late(&mut self, now: Ms, unconfirmed: &Unconfirmed, wait: Ms) {
        let until = now + self.settings.key_quiet;
        self.rest_key(now, unconfirmed.key, &unconfirmed.tenant, until);
        self.told_wait(now, unconfirmed.route, wait);
    }

    /// What another process had out as it ended is not known to its endpoint yet.
    pub(super) fn inherit_attempt(&mut self, now: Ms, no: CallNo, key: Option<u64>) {
        let known_at = guard::inherited_by(now);
        self.unconfirmed.inherit(no, key, known_at, self.settings.key_quiet);
    }

    /// Frees the keys of messages whose attempts are over for their endpoints, too.
    pub(super) fn unconfirmed_turn(&mut self, now: Ms) {
        for freed in self.unconfirmed.fade(now) {
            self.order.leave(freed.no, freed.key);
        }
    }
}
