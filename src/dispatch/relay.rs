//! Relay: the outcome of a delegation goes back to the module, and into the journal.

use super::{Core, End, Order};
use crate::api::*;
use crate::journal::{CallNo, Ending, Sent};

/// An answer that came so shortly before a call's time was up, by this side's clock, may have come after it by the
/// platform's, which counts from the request's last byte: on its way and in the socket the request took a while.
const DOUBT: Ms = 100.0;

impl Core {
    /// A delegation ended. Exactly one outcome counts for each; later ones are passed over.
    pub fn outcome(&mut self, now: Ms, no: CallNo, attempt: u32, end: End) {
        let End { outcome, wait, report, over, heard, refused } = end;
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
            log::debug!(id = id, member = member, worker = worker, outcome:? = outcome, wait_ms = wait, took_ms = now - out.sent,
                attempt = attempt, left = left, limit = limit; "a delegation ended");
        }
        let route = out.route;
        let delivered = outcome == Outcome::Delivered;
        // Guards against messages that spend all their attempts on this side, without a call: kept back by a wait, by a
        // promise or by a folder that takes no record.
        let unspent = outcome == Outcome::NotSent && !heard && !over;
        self.calls.entry(no).and_modify(|c| c.last = Some(outcome));
        if unspent {
            self.calls.entry(no).and_modify(|c| c.attempts = attempt);
        }
        let ended = Ended {
            took: now - out.sent,
            over: over || delivered,
            wait,
            report,
            heard,
            unspent,
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

    /// The module calls a delegation off: its connection is closed, and it may have run.
    pub(super) fn cancel(&mut self, now: Ms, no: CallNo, attempt: u32) {
        self.break_off(now, no, attempt, Outcome::Cancelled);
    }

    /// Delegations whose time is up.
    pub(super) fn expire(&mut self, now: Ms) {
        let up = |(no, c): (&CallNo, &super::Call)| {
            c.out.as_ref().filter(|o| o.until <= now).map(|o| (*no, o.attempt))
        };
        let due: Vec<_> = self.calls.iter().filter_map(up).collect();
        due.into_iter().for_each(|(no, attempt)| self.break_off(now, no, attempt, Outcome::Late));
    }

    fn break_off(&mut self, now: Ms, no: CallNo, attempt: u32, outcome: Outcome) {
        let out = self.calls.get(&no).and_then(|c| c.out.as_ref()).filter(|o| o.attempt == attempt);
        if let Some(out) = out {
            // What was not written to the end cannot have run.
            let outcome = if out.written { outcome } else { Outcome::NoConnection };
            self.orders.push(Order::Abandon { no, attempt });
            self.outcome(now, no, attempt, End::of(outcome));
        }
    }
}
