//! Pace: what was promised of the members' limits stands between the module's wish to send and the wire.
//!
//! The module is told how much fits and plans with it; what it wants beyond that is not sent all the same.

use super::{Core, End, Order};
use crate::api::*;
use crate::journal::{CallNo, Record};
use lilacbank_limits::Step;

/// A call or probe that is counted, and where.
#[derive(Debug, Clone)]
pub(super) struct Charge {
    dest: DestId,
    uid: String,
    /// It takes a place of its cell's own part, too.
    own: bool,
    pub(super) written: bool,
}

impl Core {
    /// Tells the module of room that has changed.
    pub(super) fn tell_room(&mut self, now: Ms) {
        if self.ceilings.is_empty() && self.room_told.is_empty() && !self.hints.climbs() {
            return;
        }
        for dest in self.ceilings.changed(now) {
            let mut again = f64::MAX;
            for route in &self.routes_of.get(&dest).cloned().unwrap_or_default() {
                let climb = self.climb_room(now, *route);
                let Some(w) = self.workers.get(route) else { continue };
                let links = self.ceilings.room(now, dest, &w.worker.uid).map_or(u32::MAX, |r| r.links);
                for cell in 0..self.cells.all.len() {
                    let uid = &w.worker.uid;
                    let (calls, at) = self.cells.calls_left(now, cell, &mut self.ceilings, dest, uid);
                    let (calls, at) = if climb.0 < calls { climb } else { (calls, at) };
                    if calls == 0 {
                        again = again.min(at);
                    }
                    let links = self.cells.links_left(cell, uid, links);
                    let told = (calls, if calls == 0 { at } else { 0.0 }, links);
                    if self.room_told.get(&(*route, cell)) != Some(&told) {
                        self.room_told.insert((*route, cell), told);
                        self.cells.post(cell, Event::Room { route: *route, calls, again: at, links });
                    }
                }
            }
            if again < f64::MAX {
                self.ceilings.remind(again, dest);
            }
        }
    }

    /// Counts a call or probe to a worker, and writes that down; the time to wait if it does not fit.
    pub(super) fn charge(&mut self, now: Ms, cell: usize, route: RouteId) -> Result<Option<Charge>, Ms> {
        let Some((dest, uid)) = self.worker(route).map(|w| (w.dest, w.uid.clone())) else { return Ok(None) };
        if self.ceilings.promise(dest).is_none() {
            return Ok(None);
        }
        // Before the count changes: what is written anew and the record behind it must not tell of one call twice.
        self.compact_if_full();
        let own = self.cells.charge(now, cell, &mut self.ceilings, dest, &uid)?;
        if let Err(over) = self.ceilings.take(now, dest, &uid) {
            if own {
                self.cells.charge_ended(now, cell, dest, &uid, false);
            }
            return Err(over.wait);
        }
        let charge = Charge { dest, uid, own, written: false };
        if !self.step(now, &charge, Step::Started) {
            // What cannot be written down is not sent: a restart would not know of it.
            self.ceilings.ended(charge.dest, &charge.uid, false);
            if own {
                self.cells.charge_ended(now, cell, charge.dest, &charge.uid, false);
            }
            return Err(NOT_WRITTEN_REST);
        }
        self.cells.link(cell, &charge.uid, true);
        // The module counts down by itself; other routes of the limit hear of it.
        if let Some(told) = self.room_told.get_mut(&(route, cell)) {
            told.0 = if told.0 == u32::MAX { told.0 } else { told.0.saturating_sub(1) };
        }
        Ok(Some(charge))
    }

    fn step(&mut self, now: Ms, charge: &Charge, step: Step) -> bool {
        let Some(spent) = self.ceilings.record(now, charge.dest, &charge.uid, step) else { return true };
        let done = self.journal.append(&Record::Spent(spent));
        if let Err(e) = &done {
            log::error!(member = charge.dest, worker = charge.uid.as_str(), cause:% = e; "the journal misses a call");
        }
        done.is_ok()
    }

    /// The last byte of what is counted is out.
    pub(super) fn charge_written(&mut self, now: Ms, charge: &mut Charge) {
        if !std::mem::replace(&mut charge.written, true) {
            self.compact_if_full();
            self.ceilings.written(now, charge.dest, &charge.uid);
            self.step(now, charge, Step::Written);
        }
    }

    /// It has ended.
    pub(super) fn charge_ended(&mut self, now: Ms, cell: usize, charge: Charge) {
        self.compact_if_full();
        if charge.own {
            self.cells.charge_ended(now, cell, charge.dest, &charge.uid, charge.written);
        }
        self.cells.link(cell, &charge.uid, false);
        self.ceilings.ended(charge.dest, &charge.uid, charge.written);
        if !charge.written {
            self.step(now, &charge, Step::GivenBack);
        }
    }

    /// A delegation that does not fit is not sent; the module hears so at once, with the wait.
    pub(super) fn over(&mut self, now: Ms, no: CallNo, attempt: u32, wait: Ms) {
        self.counters.over += 1;
        self.outcome(now, no, attempt, End { wait, ..End::of(Outcome::NotSent) });
    }

    /// Orders a probe, if it fits: a probe counts as a call. One that is out serves all cells.
    pub(super) fn probe(&mut self, now: Ms, route: RouteId) {
        if self.probes.contains_key(&route) {
            return;
        }
        let allowed = self.guarded_endpoint(now, route).map(|e| crate::guard::may_probe(now, &e));
        let charge = match allowed.map(|answer| self.guard.note(answer)) {
            Some(Ok(())) => self.charge(now, PROBES_OF, route),
            _ => Err(0.0),
        };
        match charge {
            Ok(charge) => drop(self.probes.insert(route, charge)),
            Err(_) => {
                self.counters.over += 1;
                let report = Report::default();
                let ended = Event::Probed { route, outcome: Outcome::NotSent, took: 0.0, report };
                return self.cells.post_all(&ended);
            }
        }
        self.counters.probes += 1;
        let address = self.address(route);
        let dest = self.worker(route).map_or(0, |w| w.dest);
        self.orders.push(Order::Probe { route, dest, address });
    }

    /// The last byte of a probe has been written.
    pub fn probe_written(&mut self, now: Ms, route: RouteId) {
        let Some(mut charge) = self.probes.get_mut(&route).and_then(Option::take) else { return };
        self.charge_written(now, &mut charge);
        self.probes.insert(route, Some(charge));
    }

    /// A probe ended.
    pub fn probed(&mut self, now: Ms, route: RouteId, outcome: Outcome, took: Ms, report: Report) {
        if let Some(charge) = self.probes.remove(&route).flatten() {
            self.charge_ended(now, PROBES_OF, charge);
        }
        self.hints_heard(now, route, outcome, true);
        self.cells.post_all(&Event::Probed { route, outcome, took, report });
    }

    /// A delegation ended: its cell hears of it, and all others of the wait that was told.
    pub(super) fn ended_in(&mut self, cell: usize, ended: Ended) {
        // What was not sent was kept back by the cell's own part: that is no word of the member's.
        if ended.wait > 0.0 && ended.outcome != Outcome::NotSent {
            for other in (0..self.cells.all.len()).filter(|n| *n != cell) {
                let wait = Ended { id: NOBODY, report: Report::default(), ..ended };
                self.cells.post(other, Event::Ended(wait));
            }
        }
        self.cells.post(cell, Event::Ended(ended));
    }

    /// All cells hear of a wait that no delegation of theirs was told.
    pub(super) fn post_wait(&mut self, route: RouteId, wait: Ms) {
        let told = Ended { wait, heard: true, ..Ended::of(NOBODY, 0, route, Outcome::Refused) };
        self.cells.post_all(&Event::Ended(told));
    }

    /// How long a message with so much time left would have to stay away to be in time; none if it is already.
    pub(super) fn door_wait(&mut self, now: Ms, dest: DestId, left: Ms) -> Option<Ms> {
        self.ceilings.promise(dest)?;
        let routes = self.routes_of.get(&dest).into_iter().flatten();
        let up = routes.filter_map(|r| self.workers.get(r)).filter(|w| w.worker.listing == Listing::Ready);
        let uids: Vec<&str> = up.map(|w| w.worker.uid.as_str()).collect();
        let at = self.ceilings.when(now, dest, &uids);
        (at > now + left).then(|| (at - now - left).max(1.0))
    }
}

/// Probes are counted in the first cell's part, and told to all.
const PROBES_OF: usize = 0;
/// The number of no message: what is told under it concerns its route alone.
const NOBODY: MsgId = 0;
/// After a call that could not be written down.
pub(super) const NOT_WRITTEN_REST: Ms = 100.0;
