//! Send: a delegation is written down before its first byte goes out, and has a time at which it ends.

use super::pace::NOT_WRITTEN_REST;
use super::{Call, Core, Delegation, Order, Out};
use crate::api::*;
use crate::config::place;
use crate::guard;
use crate::journal::{CallNo, Record, Sent};

/// Why an attempt does not go out now.
enum KeptBack {
    /// For so long, or until something else happens (0).
    For(Ms),
    /// Another dispatcher may act on its call.
    Still,
}

impl Core {
    /// Starts a delegation, if the rules allow it now. What cannot be written down is not sent.
    pub(super) fn send(&mut self, now: Ms, no: CallNo, route: RouteId, cap: Option<Ms>) {
        let allowed = self.allowed(now, no, route);
        let Some(attempt) = self.begin(now, no, route, cap) else { return };
        let passed = self.pass(now, no, route, allowed).and_then(|()| self.mark(now, no));
        match passed {
            Ok(()) => {
                self.log_begin(now, no, route);
                self.counters.sent += 1;
                let delegation = self.delegation(no, route);
                self.orders.extend(delegation.map(Order::Delegate));
            }
            Err(KeptBack::For(wait)) => self.over(now, no, attempt, wait),
            Err(KeptBack::Still) => {
                self.over(now, no, attempt, 0.0);
                self.stand_still(no);
            }
        }
    }

    /// An attempt is out from now on, whatever becomes of it; its number. None if the call has its end or one out already.
    fn begin(&mut self, now: Ms, no: CallNo, route: RouteId, cap: Option<Ms>) -> Option<u32> {
        let c = self.calls.get_mut(&no).filter(|c| c.ending.is_none() && c.out.is_none())?;
        let attempt = c.attempts;
        let left = c.taken.valid_until - now;
        let until = now + cap.map_or(left, |cap| cap.min(left)).max(0.0);
        c.attempts += 1;
        let (marked, written, broken_off, charge) = (false, false, None, None);
        c.out = Some(Out { attempt, route, sent: now, until, marked, written, broken_off, charge });
        Some(attempt)
    }

    /// Asks all that may keep an attempt back: its cell's part, the rules, a climb, the copies, a promised share.
    fn pass(&mut self, now: Ms, no: CallNo, route: RouteId, allowed: Result<(), Ms>) -> Result<(), KeptBack> {
        let cell = self.calls.get(&no).map_or(0, |c| c.cell);
        // Its place is given back with its outcome, whatever that is.
        if !self.cells.sent(now, cell) {
            self.cells.forced(cell);
            return Err(KeptBack::For(0.0));
        }
        allowed.map_err(KeptBack::For)?;
        self.hinted(now, no, route).map_err(KeptBack::For)?;
        if !self.copy_may_start(now, no) {
            return Err(KeptBack::Still);
        }
        let charge = self.charge(now, cell, route).map_err(KeptBack::For)?;
        if let Some(out) = self.calls.get_mut(&no).and_then(|c| c.out.as_mut()) {
            out.charge = charge;
        }
        Ok(())
    }

    /// Writes the mark of an attempt before its first byte goes out.
    fn mark(&mut self, now: Ms, no: CallNo) -> Result<(), KeptBack> {
        self.compact_if_full();
        let record = self.calls.get(&no).map(|c| self.state(no, c));
        if let Some(Err(e)) = record.map(|r| self.journal.append(&r)) {
            if let Some(count) = self.unwritten.raise(now) {
                log::error!(cause:% = e, count = count; "a delegation cannot be written down and is not sent: {e}");
            }
            return Err(KeptBack::For(NOT_WRITTEN_REST));
        }
        if let Some(out) = self.calls.get_mut(&no).and_then(|c| c.out.as_mut()) {
            out.marked = true;
        }
        Ok(())
    }

    /// What the wires need of the attempt that is out.
    fn delegation(&self, no: CallNo, route: RouteId) -> Option<Delegation> {
        let c = self.calls.get(&no)?;
        let out = c.out.as_ref()?;
        Some(Delegation {
            no,
            attempt: out.attempt,
            route,
            address: self.address(route),
            dest: c.taken.dest,
            id: c.taken.identity.1.clone(),
            idempotency: c.taken.idempotency.clone(),
            body: c.taken.body.clone(),
            patience: out.until - out.sent,
            write_by: guard::write_by(&self.guarded(c), &self.guarded_process()),
        })
    }

    /// Which attempt it is, where it goes, and what it follows: the end of the last one tells why it is repeated.
    fn log_begin(&self, now: Ms, no: CallNo, route: RouteId) {
        let Some(c) = self.calls.get(&no).filter(|_| log::log_enabled!(log::Level::Debug)) else { return };
        let worker = self.worker(route).map_or("", |w| w.uid.as_str());
        let after = c.last.map_or("nothing".to_string(), |outcome| format!("{outcome:?}"));
        log::debug!(id = c.taken.identity.1.as_str(), class = c.taken.class.as_str(), member = c.taken.dest, worker = worker,
            attempt = c.attempts.saturating_sub(1), after = after.as_str(), left_ms = c.taken.valid_until - now;
            "a delegation begins");
    }

    /// Asks the rules whether an attempt may go out; if not, how long its endpoint is left alone (0: no wait is on).
    fn allowed(&mut self, now: Ms, no: CallNo, route: RouteId) -> Result<(), Ms> {
        let Some(message) = self.calls.get(&no).map(|c| self.guarded(c)) else { return Err(0.0) };
        let Some(endpoint) = self.guarded_endpoint(now, route) else { return Err(0.0) };
        let wait = endpoint.wait_until.map_or(0.0, |until| until - now);
        let answer = guard::may_send(now, &message, &endpoint, &self.guarded_process());
        self.guard.note(answer).map_err(|reason| {
            let id = self.calls.get(&no).map_or("", |c| c.taken.identity.1.as_str());
            log::debug!(id = id, route = route, cause = reason.name(); "an attempt is not allowed now");
            wait
        })
    }

    /// A call as the rules see it.
    fn guarded<'a>(&self, c: &'a Call) -> guard::Message<'a> {
        let class = place(&self.names.classes, &c.taken.class).and_then(|c| self.settings.classes.get(c));
        let ordered = class.is_some_and(|class| class.in_order);
        guard::Message {
            ended: c.ending.is_some(),
            outstanding: c.out.is_some(),
            unconfirmed: self.unconfirmed.is_of(c.taken.no, self.now),
            valid_until: c.taken.valid_until,
            attempts: c.attempts,
            effect: class.map_or(Effect::Unsafe, |class| class.effect),
            window: class.map_or(0.0, |class| class.window),
            ran: c.ran.as_ref().map(|sent| (sent.at, sent.zone.as_str())),
            has_earlier: ordered && self.order.has_earlier(&c.taken),
        }
    }

    /// An endpoint as the rules see it.
    pub(super) fn guarded_endpoint(&self, now: Ms, route: RouteId) -> Option<guard::Endpoint<'_>> {
        let w = self.worker(route)?;
        let out = self.down.contains(&w.uid) && w.listing == Listing::Ready;
        let listing = if out { Listing::Draining } else { w.listing };
        let zone = self.names.zones.get(w.zone).map_or("", String::as_str);
        let wait_until = self.wait_on(now, route).map(|wait| wait.until);
        Some(guard::Endpoint { listing, zone, wait_until })
    }

    fn guarded_process(&self) -> guard::Process {
        let (most_attempts, round) = (self.settings.most_attempts, self.settings.round);
        guard::Process { closing: self.closing, most_attempts, round }
    }

    /// The last byte of a delegation has been written.
    pub fn written(&mut self, now: Ms, no: CallNo, attempt: u32) {
        let out = self.calls.get_mut(&no).and_then(|c| c.out.as_mut()).filter(|o| o.attempt == attempt);
        let Some(o) = out else { return };
        let first = !std::mem::replace(&mut o.written, true);
        self.figures.upstream += u64::from(first);
        if first {
            self.check_written(now, no);
        }
        let Some(o) = self.calls.get_mut(&no).and_then(|c| c.out.as_mut()) else { return };
        // It stays out meanwhile: the journal may be written anew here.
        let Some(mut charge) = o.charge.take() else { return };
        self.charge_written(now, &mut charge);
        if let Some(o) = self.calls.get_mut(&no).and_then(|c| c.out.as_mut()) {
            o.charge = Some(charge);
        }
    }

    /// Counts a rule that the writing of an attempt has broken. Asked as it is booked, which is a little later.
    fn check_written(&mut self, now: Ms, no: CallNo) {
        let Some(c) = self.calls.get(&no) else { return };
        let message = self.guarded(c);
        let written = guard::Written {
            write_by: guard::write_by(&message, &self.guarded_process()),
            wait_told: c.out.as_ref().and_then(|out| self.wait_on(now, out.route)).map(|wait| wait.told),
            has_earlier: message.has_earlier,
            unconfirmed: message.unconfirmed,
        };
        if let Some(reason) = guard::broken_by(now, &written) {
            log::error!(id = c.taken.identity.1.as_str(), late_ms = now - written.write_by, cause = reason.name();
                "an attempt was written against a rule");
            self.guard.violated(reason);
        }
    }

    /// What the journal must know of a call's delegations.
    pub(super) fn state(&self, no: CallNo, c: &Call) -> Record {
        let out = c.out.as_ref().map(|o| Sent { at: o.sent, zone: self.zone(o.route) });
        Record::State { no, attempts: c.attempts, ran: c.ran.clone(), out }
    }

    /// The same for a journal that is written anew: an attempt without its mark may still be kept back, and is none yet.
    pub(super) fn marked_state(&self, no: CallNo, c: &Call) -> Option<Record> {
        let unmarked = c.out.as_ref().filter(|o| !o.marked).map(|o| o.attempt);
        match unmarked {
            Some(0) => None,
            Some(attempts) => Some(Record::State { no, attempts, ran: c.ran.clone(), out: None }),
            None => (c.attempts > 0).then(|| self.state(no, c)),
        }
    }

    /// The name of a worker's zone.
    pub(super) fn zone(&self, route: RouteId) -> String {
        let zone = self.worker(route).map(|w| w.zone);
        zone.and_then(|z| self.names.zones.get(z)).cloned().unwrap_or_default()
    }
}
