//! Pacing: keeps attempts and probes within the limits promised to the members.
//!
//! The decision module is told the capacity and plans with it; an attempt that it wants beyond that is not
//! sent.

use super::{AttemptResult, Core, Order};
use crate::api::*;
use crate::journal::{MessageNo, Record};
use lilacbank_limits::CallStep;

/// An attempt or probe that counts against a promised limit.
#[derive(Debug, Clone)]
pub(super) struct Charge {
    dest: DestId,
    uid: String,
    /// It also counts against its cell's own share.
    from_cell_share: bool,
    pub(super) written: bool,
}

impl Core {
    /// Reports changed capacity to the decision modules.
    pub(super) fn report_capacity(&mut self, now: Ms) {
        if self.ceilings.is_empty() && self.reported_capacity.is_empty() && !self.recovery.is_ramping() {
            return;
        }
        for dest in self.ceilings.take_changed(now) {
            let mut again = f64::MAX;
            for route in &self.endpoints_of.get(&dest).cloned().unwrap_or_default() {
                let ramp = self.ramp_room(now, *route);
                let Some(w) = self.endpoints.get(route) else { continue };
                let links =
                    self.ceilings.room(now, dest, &w.endpoint.uid).map_or(u32::MAX, |r| r.max_connections);
                for cell in 0..self.cells.all.len() {
                    let uid = &w.endpoint.uid;
                    let (calls, at) = self.cells.calls_left(now, cell, &mut self.ceilings, dest, uid);
                    let (calls, at) = if ramp.0 < calls { ramp } else { (calls, at) };
                    if calls == 0 {
                        again = again.min(at);
                    }
                    let links = self.cells.connections_left(cell, uid, links);
                    let reported = (calls, if calls == 0 { at } else { 0.0 }, links);
                    if self.reported_capacity.get(&(*route, cell)) != Some(&reported) {
                        self.reported_capacity.insert((*route, cell), reported);
                        self.cells.post(
                            cell,
                            Event::QuotaLeft { endpoint: *route, calls, more_at: at, max_connections: links },
                        );
                    }
                }
            }
            if again < f64::MAX {
                self.ceilings.mark_changed_at(again, dest);
            }
        }
    }

    /// Counts an attempt or a probe against the endpoint's promised limit, and writes that to the journal;
    /// returns the time to wait if it does not fit.
    pub(super) fn charge(&mut self, now: Ms, cell: usize, route: EndpointId) -> Result<Option<Charge>, Ms> {
        let Some((dest, uid)) = self.endpoint(route).map(|w| (w.destination, w.uid.clone())) else {
            return Ok(None);
        };
        if self.ceilings.limit(dest).is_none() {
            return Ok(None);
        }
        // Before the count changes: a compaction and the record after it must not both contain the same call.
        self.compact_if_full();
        let from_cell_share = self.cells.charge(now, cell, &mut self.ceilings, dest, &uid)?;
        if let Err(over) = self.ceilings.start_call(now, dest, &uid) {
            if from_cell_share {
                self.cells.charge_ended(now, cell, dest, &uid, false);
            }
            return Err(over.retry_after);
        }
        let charge = Charge { dest, uid, from_cell_share, written: false };
        if !self.record_step(now, &charge, CallStep::Started) {
            // What cannot be written to the journal is not sent: a restart would not know of it.
            self.ceilings.call_ended(charge.dest, &charge.uid, false);
            if from_cell_share {
                self.cells.charge_ended(now, cell, charge.dest, &charge.uid, false);
            }
            return Err(self.record_retry_delay());
        }
        self.cells.count_connection(cell, &charge.uid, true);
        // The decision module counts down by itself; it is told about other endpoints of the same limit.
        if let Some(reported) = self.reported_capacity.get_mut(&(route, cell)) {
            reported.0 = if reported.0 == u32::MAX { reported.0 } else { reported.0.saturating_sub(1) };
        }
        Ok(Some(charge))
    }

    fn record_step(&mut self, now: Ms, charge: &Charge, step: CallStep) -> bool {
        let Some(spent) = self.ceilings.call_record(now, charge.dest, &charge.uid, step) else { return true };
        let done = self.journal.append(&Record::CallsCounted(spent));
        if let Err(e) = &done {
            log::error!(member = charge.dest, worker = charge.uid.as_str(), cause:% = e;
                "a counted request cannot be recorded in the journal");
        }
        done.is_ok()
    }

    /// The last byte of the attempt or probe has been written.
    pub(super) fn charge_written(&mut self, now: Ms, charge: &mut Charge) {
        if !std::mem::replace(&mut charge.written, true) {
            self.compact_if_full();
            self.ceilings.call_written(now, charge.dest, &charge.uid);
            self.record_step(now, charge, CallStep::Written);
        }
    }

    /// The attempt or probe has ended.
    pub(super) fn charge_ended(&mut self, now: Ms, cell: usize, charge: Charge) {
        self.compact_if_full();
        if charge.from_cell_share {
            self.cells.charge_ended(now, cell, charge.dest, &charge.uid, charge.written);
        }
        self.cells.count_connection(cell, &charge.uid, false);
        self.ceilings.call_ended(charge.dest, &charge.uid, charge.written);
        if !charge.written {
            self.record_step(now, &charge, CallStep::Cancelled);
        }
    }

    /// Reports an attempt that does not fit as not sent to the decision module at once, with the wait.
    pub(super) fn report_unsent(&mut self, now: Ms, no: MessageNo, attempt: u32, wait: Ms) {
        self.counters.over_limit += 1;
        self.attempt_ended(
            now,
            no,
            attempt,
            AttemptResult { retry_after: wait, ..AttemptResult::new(Outcome::NotSent) },
        );
    }

    /// Orders a probe if it fits: a probe counts as a call. An outstanding probe serves all cells.
    pub(super) fn probe(&mut self, now: Ms, route: EndpointId) {
        if self.probes.contains_key(&route) {
            return;
        }
        let allowed = self.guard_endpoint(now, route).map(|e| crate::guard::may_probe(now, &e));
        let charge = match allowed.map(|answer| self.guard.record(answer)) {
            Some(Ok(())) => self.charge(now, PROBE_CELL, route),
            _ => Err(0.0),
        };
        match charge {
            Ok(charge) => drop(self.probes.insert(route, charge)),
            Err(_) => {
                self.counters.over_limit += 1;
                let report = LimitReport::default();
                let ended =
                    Event::ProbeEnded { endpoint: route, outcome: Outcome::NotSent, took: 0.0, report };
                return self.cells.post_all(&ended);
            }
        }
        self.counters.probes += 1;
        let address = self.address(route);
        let dest = self.endpoint(route).map_or(0, |w| w.destination);
        self.orders.push(Order::Probe { route, dest, address });
    }

    /// The last byte of a probe has been written.
    pub fn probe_written(&mut self, now: Ms, route: EndpointId) {
        let Some(mut charge) = self.probes.get_mut(&route).and_then(Option::take) else { return };
        self.charge_written(now, &mut charge);
        self.probes.insert(route, Some(charge));
    }

    /// A probe ended.
    pub fn probe_ended(
        &mut self,
        now: Ms,
        route: EndpointId,
        outcome: Outcome,
        took: Ms,
        report: LimitReport,
    ) {
        if let Some(charge) = self.probes.remove(&route).flatten() {
            self.charge_ended(now, PROBE_CELL, charge);
        }
        self.record_endpoint_response(now, route, outcome, true);
        self.cells.post_all(&Event::ProbeEnded { endpoint: route, outcome, took, report });
    }

    /// Reports the end of an attempt to its cell, and the retry-after that it brought to all other cells.
    pub(super) fn post_end(&mut self, cell: usize, ended: AttemptEnd) {
        // An attempt that was not sent was held back by the cell's own share: the member asked for no wait.
        if ended.retry_after > 0.0 && ended.outcome != Outcome::NotSent {
            for other in (0..self.cells.all.len()).filter(|n| *n != cell) {
                let wait = AttemptEnd { id: NO_MESSAGE, report: LimitReport::default(), ..ended };
                self.cells.post(other, Event::AttemptEnded(wait));
            }
        }
        self.cells.post(cell, Event::AttemptEnded(ended));
    }

    /// Reports a retry-after to all cells that no attempt of theirs has brought.
    pub(super) fn post_retry_after(&mut self, route: EndpointId, wait: Ms) {
        let reported = AttemptEnd {
            retry_after: wait,
            answer_begun: true,
            ..AttemptEnd::new(NO_MESSAGE, 0, route, Outcome::Refused)
        };
        self.cells.post_all(&Event::AttemptEnded(reported));
    }

    /// How long a client would have to wait before a message with this much time left could be delivered in
    /// time; `None` if it can be now.
    pub(super) fn admission_wait(&mut self, now: Ms, dest: DestId, left: Ms) -> Option<Ms> {
        self.ceilings.limit(dest)?;
        let routes = self.endpoints_of.get(&dest).into_iter().flatten();
        let up = routes
            .filter_map(|r| self.endpoints.get(r))
            .filter(|w| w.endpoint.state == ServiceState::InService);
        let uids: Vec<&str> = up.map(|w| w.endpoint.uid.as_str()).collect();
        let at = self.ceilings.estimated_start(now, dest, &uids);
        (at > now + left).then(|| (at - now - left).max(1.0))
    }
}

/// Probes count against the first cell's share, and are reported to all.
const PROBE_CELL: usize = 0;
/// The number of no message: an event under it concerns its endpoint alone.
const NO_MESSAGE: MessageId = 0;
