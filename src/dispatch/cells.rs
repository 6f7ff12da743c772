//! Cells in a dispatcher: each has a decision module of its own, and a share of every limited resource.
//!
//! A message belongs to the cell of its tenant. Held messages, slots, journal room, turn time and the
//! promised calls to a member are divided by weight. What a cell does not use is lent to others, and taken
//! back when the cell wants it. Within a cell the decision module works as it would alone. What a member
//! reports of itself (retry-afters, the endpoint list, probes) goes to all cells. With a single cell there is
//! one decision module, and nothing is divided.

use super::{Core, HeldMessage};
use crate::api::*;
use crate::brain::DecisionModule;
use crate::journal::{AcceptedMessage, Ending};
use lilacbank_cells::bulkhead::{Acquisition, CapacityPool, CellIndex, FairScheduler, Revocability};
use lilacbank_cells::placement::{place, Candidate};
use lilacbank_limits::{DestinationLimit, RateLimiter};
use std::collections::{HashMap, VecDeque};

/// A cell as it is configured.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct CellSpec {
    /// The cell's name.
    pub name: String,
    /// Its share relative to those of the other cells.
    pub weight: f64,
    /// Tenants assigned to this cell; all others are placed by their names.
    pub tenants: Vec<String>,
}

/// Percentage of a cell's own share that is never lent: an outstanding attempt cannot be taken back.
const UNLENT_PERCENT: u32 = 25;
/// The half-life of a cell's recorded peak use.
const PEAK_HALF_LIFE: Ms = 10_000.0;
/// Journal room is divided in units of this many bytes.
const JOURNAL_UNIT_BYTES: u64 = 1_024;
/// The most work of one turn, in messages examined; the rest waits for the next turn, so that network I/O is
/// served in between.
const MAX_TURN_WORK: f64 = 20_000.0;
/// The number of recent endings from which a rate is estimated.
const RATE_SAMPLES: usize = 32;
/// The shortest retry-after that is given; anything shorter is not worth a wait.
const MIN_WAIT: Ms = 50.0;
/// The longest retry-after that is given; the estimate is no better beyond it.
const MAX_WAIT: Ms = 10_000.0;

/// The least number of deliveries and of pending messages from which the rate of a queue is estimated.
const QUEUE_MIN_SAMPLES: usize = 8;

/// Pending messages of one tenant, class and destination, and the rate at which they have been delivered
/// since there last were none.
#[derive(Debug, Default)]
struct PendingQueue {
    held: usize,
    since: Ms,
    deliveries: VecDeque<Ms>,
}

/// Identifies a pending queue: destination, tenant and class.
type QueueKey = (DestId, String, String);

fn queue_key(t: &AcceptedMessage) -> QueueKey {
    (t.destination, t.tenant.clone(), t.class.clone())
}

pub(super) struct Cell {
    pub(super) name: String,
    pub(super) brain: DecisionModule,
    pub(super) events: Vec<Event>,
    /// Its own share of the promised limits.
    own_limits: RateLimiter,
    /// The number of messages that it holds.
    held: usize,
    /// The number of its outstanding attempts.
    out: usize,
    /// When its most recent messages ended.
    recent_ends: VecDeque<Ms>,
    /// The slots and messages that its decision module was last told to use.
    allowed: (usize, usize),
    /// The decaying peak of its outstanding attempts, and when it was computed.
    peak: (f64, Ms),
    /// Its outstanding attempts to endpoints that promise a number of connections, by endpoint id.
    connections: HashMap<String, u32>,
    /// By endpoint id: the decaying peak of the calls of its own share that it has used in one span, and when
    /// it was computed.
    used_peaks: HashMap<String, (f64, Ms)>,
}

/// What is left of a peak that was computed at the time `at`.
fn decayed((peak, at): (f64, Ms), now: Ms) -> f64 {
    peak * (0.5f64).powf((now - at).max(0.0) / PEAK_HALF_LIFE)
}

impl Cell {
    /// Its own share of the calls to an endpoint in a span, and how many of them are left.
    fn own_share_left(&mut self, now: Ms, dest: DestId, uid: &str) -> Option<(u32, u32)> {
        let part = self.own_limits.limit(dest)?.calls?;
        let left = self.own_limits.room(now, dest, uid)?.calls;
        Some((part, left.min(part)))
    }

    fn used_peak(&self, now: Ms, uid: &str) -> f64 {
        self.used_peaks.get(uid).map_or(0.0, |peak| decayed(*peak, now))
    }
}

/// All cells of a dispatcher.
pub(super) struct Cells {
    pub(super) all: Vec<Cell>,
    places: Vec<Candidate>,
    pinned: HashMap<String, CellIndex>,
    held: CapacityPool,
    slots: CapacityPool,
    room: CapacityPool,
    turns: FairScheduler,
    queues: HashMap<QueueKey, PendingQueue>,
}

/// A cell's share of the promised limits; all shares together are at most the whole.
fn share_of_promises(promises: &[DestinationLimit], part: f64) -> Vec<DestinationLimit> {
    let own = |p: &DestinationLimit| DestinationLimit {
        calls: p.calls.map(|c| (f64::from(c) * part) as u32),
        connections: None,
        ..p.clone()
    };
    promises.iter().map(own).collect()
}

impl Cells {
    pub(super) fn new(
        settings: &Settings,
        specs: &[CellSpec],
        promises: &[DestinationLimit],
        journal_room: u64,
    ) -> Cells {
        let one = [CellSpec { name: String::new(), weight: 1.0, tenants: Vec::new() }];
        let specs = if specs.is_empty() { &one[..] } else { specs };
        let weights: Vec<f64> = specs.iter().map(|s| s.weight).collect();
        let sum: f64 = weights.iter().sum();
        let cell = |s: &CellSpec| Cell {
            name: s.name.clone(),
            brain: DecisionModule::new(settings.clone()),
            events: Vec::new(),
            own_limits: RateLimiter::new(share_of_promises(promises, s.weight / sum.max(f64::MIN_POSITIVE))),
            held: 0,
            out: 0,
            recent_ends: VecDeque::new(),
            allowed: (0, 0),
            peak: (0.0, 0.0),
            connections: HashMap::new(),
            used_peaks: HashMap::new(),
        };
        let pinned =
            specs.iter().enumerate().flat_map(|(n, s)| s.tenants.iter().map(move |t| (t.clone(), n)));
        Cells {
            places: specs.iter().map(|s| Candidate { name: s.name.clone(), weight: s.weight }).collect(),
            pinned: pinned.collect(),
            held: CapacityPool::new(settings.max_held as u64, &weights, Revocability::Revocable),
            slots: CapacityPool::new(
                settings.slots as u64,
                &weights,
                Revocability::NonRevocable { reserve: UNLENT_PERCENT },
            ),
            room: CapacityPool::new(journal_room / JOURNAL_UNIT_BYTES, &weights, Revocability::Revocable),
            turns: FairScheduler::new(&weights),
            queues: HashMap::new(),
            all: specs.iter().map(cell).collect(),
        }
    }

    /// Whether there is a single cell, so that nothing is divided.
    pub(super) fn is_single(&self) -> bool {
        self.all.len() == 1
    }

    /// The cell of a tenant.
    pub(super) fn cell_of(&self, tenant: &str) -> CellIndex {
        if self.is_single() {
            return 0;
        }
        self.pinned.get(tenant).copied().or_else(|| place(tenant, &self.places)).unwrap_or(0)
    }

    /// Applies changed capacity and promised limits; the cells stay the same.
    pub(super) fn change(&mut self, now: Ms, settings: &Settings, promises: &[DestinationLimit]) {
        let weights: Vec<f64> = self.places.iter().map(|p| p.weight).collect();
        let sum: f64 = weights.iter().sum();
        self.held.set_weights(settings.max_held as u64, &weights);
        self.slots.set_weights(settings.slots as u64, &weights);
        // The decision modules have been given the whole capacity: each gets its share again before its next
        // step.
        self.all.iter_mut().for_each(|c| c.allowed = (0, 0));
        for (cell, place) in self.all.iter_mut().zip(&self.places) {
            cell.own_limits
                .set_limits(now, share_of_promises(promises, place.weight / sum.max(f64::MIN_POSITIVE)));
        }
    }

    /// Queues an event for one cell.
    pub(super) fn post(&mut self, cell: CellIndex, event: Event) {
        if let Some(c) = self.all.get_mut(cell) {
            c.events.push(event);
        }
    }

    /// Queues an event for all cells.
    pub(super) fn post_all(&mut self, event: &Event) {
        self.all.iter_mut().for_each(|c| c.events.push(event.clone()));
    }

    pub(super) fn any_events(&self) -> bool {
        self.all.iter().any(|c| !c.events.is_empty())
    }

    /// The cells with pending events, those first that have used the least of their time, and only as many as
    /// fit in a turn.
    pub(super) fn turn(&mut self) -> Vec<CellIndex> {
        let wanting: Vec<CellIndex> =
            (0..self.all.len()).filter(|n| !self.all[*n].events.is_empty()).collect();
        if self.is_single() {
            return wanting;
        }
        let mut work = 0.0;
        let mut due = Vec::new();
        for cell in self.turns.order(wanting) {
            let cost = (1 + self.all[cell].events.len() + self.all[cell].held) as f64;
            if work > 0.0 && work + cost > MAX_TURN_WORK {
                break;
            }
            work += cost;
            self.turns.charge(cell, cost);
            due.push(cell);
        }
        due
    }

    /// Tells a cell's decision module how many slots and messages it may use.
    pub(super) fn allow(&mut self, cell: CellIndex) {
        if self.is_single() {
            return;
        }
        let slots = (self.slots.max_available(cell) as usize).max(1);
        let held = (self.held.max_available(cell) as usize).max(slots);
        let c = &mut self.all[cell];
        if c.allowed != (slots, held) {
            c.allowed = (slots, held);
            c.brain.set_capacity(slots, held);
        }
    }

    /// Takes a slot for an attempt; false if there is none.
    pub(super) fn take_slot(&mut self, now: Ms, cell: CellIndex) -> bool {
        if self.is_single() {
            return true;
        }
        let given = matches!(self.slots.check(cell), Acquisition::OwnShare | Acquisition::Lent);
        if given {
            self.slots.acquire(cell);
            let c = &mut self.all[cell];
            c.out += 1;
            c.peak = (decayed(c.peak, now).max(c.out as f64), now);
            self.slots.set_recent_need(cell, c.peak.0.ceil() as u64);
        }
        given
    }

    /// Takes a slot although there is none; the attempt's outcome gives it back.
    pub(super) fn force_slot(&mut self, cell: CellIndex) {
        self.slots.acquire_unconditionally(cell, 1);
        self.all[cell].out += 1;
    }

    /// Gives a slot back.
    pub(super) fn release_slot(&mut self, cell: CellIndex) {
        if !self.is_single() {
            self.slots.release(cell);
            self.all[cell].out = self.all[cell].out.saturating_sub(1);
        }
    }

    /// Adds a message of an earlier process or of another dispatcher.
    pub(super) fn add_restored(&mut self, now: Ms, message: &HeldMessage) {
        if !self.is_single() {
            self.held.acquire_unconditionally(message.cell, 1);
            self.room.acquire_unconditionally(message.cell, message.size.div_ceil(JOURNAL_UNIT_BYTES));
            self.all[message.cell].held += 1;
            self.enter_queue(now, &message.taken);
        }
    }

    /// A message has ended: its place is free, although its client may still have to be answered.
    pub(super) fn remove_ended(&mut self, now: Ms, message: &HeldMessage, delivered: bool) {
        if self.is_single() {
            return;
        }
        self.leave_queue(now, &message.taken, delivered);
        self.release_place(message.cell, message.size);
        let c = &mut self.all[message.cell];
        c.recent_ends.push_back(now);
        if c.recent_ends.len() > RATE_SAMPLES {
            c.recent_ends.pop_front();
        }
    }

    fn release_place(&mut self, cell: CellIndex, size: u64) {
        self.held.release(cell);
        (0..size.div_ceil(JOURNAL_UNIT_BYTES)).for_each(|_| self.room.release(cell));
        self.all[cell].held = self.all[cell].held.saturating_sub(1);
    }

    /// Counts a message as pending in its queue.
    pub(super) fn enter_queue(&mut self, now: Ms, t: &AcceptedMessage) {
        if self.is_single() {
            return;
        }
        let queue =
            self.queues.entry(queue_key(t)).or_insert(PendingQueue { since: now, ..PendingQueue::default() });
        queue.held += 1;
    }

    /// Removes a message from its queue; `delivered` tells whether it was delivered.
    fn leave_queue(&mut self, now: Ms, t: &AcceptedMessage, delivered: bool) {
        let name = queue_key(t);
        let Some(queue) = self.queues.get_mut(&name) else { return };
        queue.held = queue.held.saturating_sub(1);
        if delivered {
            queue.deliveries.push_back(now);
            if queue.deliveries.len() > RATE_SAMPLES {
                queue.since = queue.deliveries.pop_front().unwrap_or(queue.since);
            }
        }
        if queue.held == 0 {
            self.queues.remove(&name);
        }
    }

    /// How long a client should wait with a message that could not be delivered in time, at the rate at which
    /// earlier messages are. Only messages of the same tenant, class and destination count, since the
    /// decision module may let others overtake.
    pub(super) fn queue_wait(&self, now: Ms, t: &AcceptedMessage) -> Option<Ms> {
        if self.is_single() {
            return None;
        }
        let queue =
            self.queues.get(&queue_key(t)).filter(|l| l.held.min(l.deliveries.len()) >= QUEUE_MIN_SAMPLES)?;
        let each = (now - queue.since).max(1.0) / queue.deliveries.len() as f64;
        let short = each * (queue.held + 1) as f64 - (t.valid_until - now);
        (short > 0.0).then(|| short.clamp(MIN_WAIT, MAX_WAIT))
    }

    /// How long until a full cell has a place again, estimated from the rate at which its messages end.
    fn place_wait(&self, now: Ms, cell: CellIndex) -> Ms {
        let c = &self.all[cell];
        let Some(first) = c.recent_ends.front() else { return MAX_WAIT.min(1_000.0) };
        let each = (now - first).max(1.0) / c.recent_ends.len() as f64;
        // Clients that were rejected before come first. A tenth of the held messages is a guess at         // number.
        (each * (1.0 + c.held as f64 / 10.0)).clamp(MIN_WAIT, MAX_WAIT)
    }

    /// Counts a call to a member against the cell's own share, or else against what the other cells leave of
    /// the whole. Returns whether it was the cell's own share.
    pub(super) fn charge(
        &mut self,
        now: Ms,
        cell: CellIndex,
        total: &mut RateLimiter,
        dest: DestId,
        uid: &str,
    ) -> Result<bool, Ms> {
        if self.is_single() {
            return Ok(false);
        }
        let (calls, again) = self.calls_left(now, cell, total, dest, uid);
        if calls == 0 {
            return Err((again - now).max(1.0));
        }
        // Beyond its own share the cell uses what the others leave, which does not count against its share.
        let c = &mut self.all[cell];
        let own = c.own_limits.start_call(now, dest, uid).is_ok();
        if own {
            let used = c.own_share_left(now, dest, uid).map_or(0.0, |(part, left)| f64::from(part - left));
            let peak = c.used_peak(now, uid).max(used);
            c.used_peaks.insert(uid.to_string(), (peak, now));
        }
        Ok(own)
    }

    pub(super) fn charge_ended(&mut self, now: Ms, cell: CellIndex, dest: DestId, uid: &str, written: bool) {
        if let Some(c) = self.all.get_mut(cell) {
            if written {
                c.own_limits.call_written(now, dest, uid);
            }
            c.own_limits.call_ended(dest, uid, written);
        }
    }

    /// Counts an attempt to an endpoint that begins (`starts`) or has ended.
    pub(super) fn count_connection(&mut self, cell: CellIndex, uid: &str, starts: bool) {
        if self.is_single() {
            return;
        }
        let Some(c) = self.all.get_mut(cell) else { return };
        let out = c.connections.get(uid).copied().unwrap_or(0);
        match if starts { out + 1 } else { out.saturating_sub(1) } {
            0 => drop(c.connections.remove(uid)),
            n => drop(c.connections.insert(uid.to_string(), n)),
        }
    }

    /// How many of an endpoint's connections a cell may use: what the others leave. Another cell keeps its
    /// share while it has messages to send, and a quarter of it otherwise. Borrowed connections come back as
    /// attempts end.
    pub(super) fn connections_left(&self, cell: CellIndex, uid: &str, whole: u32) -> u32 {
        if self.is_single() || whole == u32::MAX {
            return whole;
        }
        let sum: f64 = self.places.iter().map(|p| p.weight).sum();
        let kept = |n: usize| {
            let part = (f64::from(whole) * self.places[n].weight / sum.max(f64::MIN_POSITIVE)) as u32;
            let idle = self.all[n].held == 0;
            let part = if idle { part * UNLENT_PERCENT / 100 } else { part };
            part.max(self.all[n].connections.get(uid).copied().unwrap_or(0))
        };
        let others: u32 = (0..self.all.len()).filter(|n| *n != cell).map(kept).sum();
        whole.saturating_sub(others)
    }

    /// How many calls to an endpoint a cell may start, and when to ask again.
    pub(super) fn calls_left(
        &mut self,
        now: Ms,
        cell: CellIndex,
        total: &mut RateLimiter,
        dest: DestId,
        uid: &str,
    ) -> (u32, Ms) {
        let Some(whole) = total.room(now, dest, uid) else { return (u32::MAX, now) };
        if self.is_single() || whole.calls == 0 || whole.calls == u32::MAX {
            return (whole.calls, whole.recheck_at);
        }
        let mut own = (0, now);
        let mut kept = 0;
        for (n, c) in self.all.iter_mut().enumerate() {
            let Some(room) = c.own_limits.room(now, dest, uid) else { continue };
            if n == cell {
                own = (room.calls, room.recheck_at);
            } else if c.held > 0 {
                kept += room.calls;
            } else if let Some((part, left)) = c.own_share_left(now, dest, uid) {
                // A lent call is gone for the span. So an idle cell keeps what it has needed recently, or a
                // quarter of its share.
                let peak = c.used_peak(now, uid);
                let needs = ((peak + peak.sqrt()).ceil() as u32).max(part * UNLENT_PERCENT / 100);
                kept += needs.saturating_sub(part - left).min(left);
            }
        }
        let lent = whole.calls.saturating_sub(kept);
        // There is room in the whole, so the cell waits for its own share.
        (own.0.min(whole.calls).max(lent), own.1)
    }
}

impl Core {
    /// Reserves a place for a message in its cell, for which another cell has to give back a borrowed one if
    /// necessary. If there is no place, returns the retry-after.
    pub(super) fn reserve_place(&mut self, now: Ms, cell: CellIndex, size: u64) -> Result<(), Ms> {
        if self.cells.is_single() {
            return Ok(());
        }
        if !self.find_place(now, cell, |c| &mut c.held) {
            return Err(self.cells.place_wait(now, cell));
        }
        for taken in 0..size.div_ceil(JOURNAL_UNIT_BYTES) {
            if !self.find_place(now, cell, |c| &mut c.room) {
                (0..taken).for_each(|_| self.cells.room.release(cell));
                return Err(self.cells.place_wait(now, cell));
            }
            self.cells.room.acquire(cell);
        }
        self.cells.held.acquire(cell);
        self.cells.all[cell].held += 1;
        Ok(())
    }

    /// Whether there is a place in a pool, after other cells have given back borrowed ones if necessary.
    fn find_place(&mut self, now: Ms, cell: CellIndex, pool: fn(&mut Cells) -> &mut CapacityPool) -> bool {
        loop {
            match pool(&mut self.cells).check(cell) {
                Acquisition::OwnShare | Acquisition::Lent => return true,
                Acquisition::AfterRevoking(other) if self.evict_one(now, other) => {}
                Acquisition::AfterRevoking(_) | Acquisition::Denied => return false,
            }
        }
    }

    /// Gives back a reserved place that is not needed.
    pub(super) fn cancel_place(&mut self, cell: CellIndex, size: u64) {
        if !self.cells.is_single() {
            self.cells.release_place(cell, size);
        }
    }

    /// Returns one message of a cell that uses borrowed capacity: the one that was accepted last among those
    /// that were never sent.
    fn evict_one(&mut self, now: Ms, cell: CellIndex) -> bool {
        let idle = |c: &HeldMessage| {
            c.cell == cell && c.out.is_none() && c.ran.is_none() && c.ending.is_none() && c.withheld.is_none()
        };
        let last = self.messages.iter().rev().find(|(_, c)| idle(c)).map(|(no, _)| *no);
        let Some(no) = last else { return false };
        let wait = self.cells.place_wait(now, cell).min(self.settings.max_retry_after);
        self.counters.evicted += 1;
        self.cells.post(cell, Event::ClientLeft(no));
        self.finish(now, no, Ending::Returned(wait));
        true
    }

    /// For the log: the number of messages that each cell holds and has outstanding; empty with a single
    /// cell.
    pub fn cells_summary(&self) -> String {
        if self.cells.is_single() {
            return String::new();
        }
        let one = |c: &Cell| format!("{} {} held {} out", c.name, c.held, c.out);
        self.cells.all.iter().map(one).collect::<Vec<_>>().join(", ")
    }
}

#[cfg(test)]
mod tests;
