//! Send: a delegation is written down before its first byte goes out, and has a time at which it ends.

use super::{Call, Core, Delegation, End, Order, Out};
use crate::api::*;
use crate::config::place;
use crate::journal::{CallNo, Record, Sent};

impl Core {
    /// Starts a delegation. What cannot be written down is not sent.
    pub(super) fn send(&mut self, now: Ms, no: CallNo, route: RouteId, cap: Option<Ms>) {
        let address = self.address(route);
        let Some(c) = self.calls.get_mut(&no).filter(|c| c.ending.is_none()) else { return };
        let cell = c.cell;
        let attempt = c.attempts;
        let left = c.taken.valid_until - now;
        let patience = cap.map_or(left, |cap| cap.min(left)).max(0.0);
        c.attempts += 1;
        c.out = Some(Out { attempt, route, sent: now, until: now + patience, written: false, charge: None });
        let write_by = self.write_by(no);
        let Some(c) = self.calls.get(&no) else { return };
        let delegation = Delegation {
            no,
            attempt,
            route,
            address,
            dest: c.taken.dest,
            id: c.taken.identity.1.clone(),
            idempotency: c.taken.idempotency.clone(),
            body: c.taken.body.clone(),
            patience,
            write_by,
        };
        // Its place is given back with its outcome, whatever that is.
        if !self.cells.sent(now, cell) {
            self.cells.forced(cell);
            return self.over(now, no, attempt, 0.0);
        }
        if let Err(wait) = self.hinted(now, no, route) {
            return self.over(now, no, attempt, wait);
        }
        if !self.copy_may_start(now, no) {
            self.over(now, no, attempt, 0.0);
            // Nothing of it went out, and no try is spent.
            self.calls.entry(no).and_modify(|c| c.attempts = attempt);
            return self.stand_still(no);
        }
        match self.charge(now, cell, route) {
            Ok(None) => {}
            Err(wait) => return self.over(now, no, attempt, wait),
            Ok(charge) => {
                if let Some(out) = self.calls.get_mut(&no).and_then(|c| c.out.as_mut()) {
                    out.charge = charge;
                }
            }
        }
        self.compact_if_full();
        let record = self.calls.get(&no).map(|c| self.state(no, c));
        if let Some(Err(e)) = record.map(|r| self.journal.append(&r)) {
            log::error!(cause:% = e; "a delegation cannot be written down and is not sent: {e}");
            return self.outcome(now, no, attempt, End::of(Outcome::NotSent));
        }
        self.counters.sent += 1;
        self.orders.push(Order::Delegate(delegation));
    }

    /// When the last moment is at which an attempt may be written: a repeat is dropped by who got the first one only within
    /// the window, and a connection may come up late.
    fn write_by(&self, no: CallNo) -> Ms {
        let window = |c: &Call| {
            let class = self.settings.classes.get(place(&self.names.classes, &c.taken.class)?)?;
            let sent = c.ran.as_ref().filter(|_| matches!(class.effect, Effect::Keyed { .. }))?;
            Some(sent.at + class.window - 2.0 * self.settings.round)
        };
        self.calls.get(&no).and_then(window).unwrap_or(f64::MAX)
    }

    /// The last byte of a delegation has been written.
    pub fn written(&mut self, now: Ms, no: CallNo, attempt: u32) {
        let out = self.calls.get_mut(&no).and_then(|c| c.out.as_mut()).filter(|o| o.attempt == attempt);
        let Some(o) = out else { return };
        if !o.written {
            self.figures.upstream += 1;
        }
        o.written = true;
        // It stays out meanwhile: the journal may be written anew here.
        let Some(mut charge) = o.charge.take() else { return };
        self.charge_written(now, &mut charge);
        if let Some(o) = self.calls.get_mut(&no).and_then(|c| c.out.as_mut()) {
            o.charge = Some(charge);
        }
    }

    /// What the journal must know of a call's delegations.
    pub(super) fn state(&self, no: CallNo, c: &Call) -> Record {
        let out = c.out.as_ref().map(|o| Sent { at: o.sent, zone: self.zone(o.route) });
        Record::State { no, attempts: c.attempts, ran: c.ran.clone(), out }
    }

    /// The name of a worker's zone.
    pub(super) fn zone(&self, route: RouteId) -> String {
        let zone = self.worker(route).map(|w| w.zone);
        zone.and_then(|z| self.names.zones.get(z)).cloned().unwrap_or_default()
    }
}
