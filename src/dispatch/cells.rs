//! Cells in a dispatcher: each has a decision module of its own, and a part of everything that can run out.
//!
//! Messages belong to the cell of their tenant. Held messages, slots, journal room, turn time and the promised calls to a
//! member are divided by weight; what a cell does not use is lent, and taken back when it wants it. Within a cell the
//! module decides as ever. What a member says of itself (waits, the list, probes) all of them hear. With one cell none of
//! this is in the way: there is one module, and nothing is divided.

use super::{Call, Core};
use crate::api::*;
use crate::brain::Brain;
use crate::journal::{Ending, Taken};
use lilacbank_cells::bulkhead::{CellNo, Grant, Lending, Pool, Turns};
use lilacbank_cells::placement::{home, Place};
use lilacbank_limits::{Ceilings, Promise};
use std::collections::{HashMap, VecDeque};

/// A cell as the configuration names it.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct CellSpec {
    /// Its name.
    pub name: String,
    /// Its part beside those of the others.
    pub weight: f64,
    /// Tenants that live there; all others are placed by their names.
    pub tenants: Vec<String>,
}

/// Of slots so many hundredths of each part are never lent: a call that is out cannot be taken back.
const SLOTS_KEPT: u32 = 25;
/// What a cell has needed at once of late, its peak, halves in this time.
const PEAK_HALF: Ms = 10_000.0;
/// Journal room is divided in pieces of so many bytes.
const PIECE: u64 = 1_024;
/// Work of one turn, in messages looked at; what is left waits for the next, so that wires are served in between.
const TURN_WORK: f64 = 20_000.0;
/// Ends of a cell over which its pace is reckoned.
const PACE_ENDS: usize = 32;
/// A wait that is told lies between these: shorter is no wait, longer is no better known.
const WAIT_LEAST: Ms = 50.0;
const WAIT_MOST: Ms = 10_000.0;

/// Ends from which the pace of a lane is reckoned at least, and messages that it must hold.
const LANE_LEAST: usize = 8;

/// What waits of one tenant and class for one destination, since it last was empty: at which pace it is served.
#[derive(Debug, Default)]
struct Lane {
    held: usize,
    since: Ms,
    served: VecDeque<Ms>,
}

/// A lane's name: destination, tenant and class.
type LaneName = (DestId, String, String);

fn lane_name(t: &Taken) -> LaneName {
    (t.dest, t.tenant.clone(), t.class.clone())
}

/// One cell.
pub(super) struct Cell {
    pub(super) name: String,
    pub(super) brain: Brain,
    pub(super) events: Vec<Event>,
    /// Its own part of what is promised.
    own: Ceilings,
    /// Calls that it holds, and that are out.
    held: usize,
    out: usize,
    /// When its last calls ended.
    ends: VecDeque<Ms>,
    told: (usize, usize),
    /// The most calls that it had out at once, fading, and when that was reckoned.
    peak: (f64, Ms),
    /// Calls that it has out to endpoints whose connections were promised, by id.
    links: HashMap<String, u32>,
    /// The most of its own promised calls to an endpoint that it has used up in one span, fading, and when that was reckoned.
    spent: HashMap<String, (f64, Ms)>,
}

/// What is left of a peak that was reckoned a while ago.
fn faded((peak, at): (f64, Ms), now: Ms) -> f64 {
    peak * (0.5f64).powf((now - at).max(0.0) / PEAK_HALF)
}

impl Cell {
    /// Its own calls to an endpoint in a span, and those that are left of them.
    fn spent_now(&mut self, now: Ms, dest: DestId, uid: &str) -> Option<(u32, u32)> {
        let part = self.own.promise(dest)?.calls?;
        let left = self.own.room(now, dest, uid)?.calls;
        Some((part, left.min(part)))
    }

    fn spent_peak(&self, now: Ms, uid: &str) -> f64 {
        self.spent.get(uid).map_or(0.0, |peak| faded(*peak, now))
    }
}

/// All cells of a dispatcher.
pub(super) struct Cells {
    pub(super) all: Vec<Cell>,
    places: Vec<Place>,
    pinned: HashMap<String, CellNo>,
    held: Pool,
    slots: Pool,
    room: Pool,
    turns: Turns,
    lanes: HashMap<LaneName, Lane>,
}

/// The part of a promise that is a cell's own; together they are at most the whole.
fn part_of(promises: &[Promise], part: f64) -> Vec<Promise> {
    let own = |p: &Promise| Promise {
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
        promises: &[Promise],
        journal_room: u64,
    ) -> Cells {
        let one = [CellSpec { name: String::new(), weight: 1.0, tenants: Vec::new() }];
        let specs = if specs.is_empty() { &one[..] } else { specs };
        let weights: Vec<f64> = specs.iter().map(|s| s.weight).collect();
        let sum: f64 = weights.iter().sum();
        let cell = |s: &CellSpec| Cell {
            name: s.name.clone(),
            brain: Brain::new(settings.clone()),
            events: Vec::new(),
            own: Ceilings::new(part_of(promises, s.weight / sum.max(f64::MIN_POSITIVE))),
            held: 0,
            out: 0,
            ends: VecDeque::new(),
            told: (0, 0),
            peak: (0.0, 0.0),
            links: HashMap::new(),
            spent: HashMap::new(),
        };
        let pinned =
            specs.iter().enumerate().flat_map(|(n, s)| s.tenants.iter().map(move |t| (t.clone(), n)));
        Cells {
            places: specs.iter().map(|s| Place { name: s.name.clone(), weight: s.weight }).collect(),
            pinned: pinned.collect(),
            held: Pool::new(settings.max_held as u64, &weights, Lending::Revocable),
            slots: Pool::new(settings.slots as u64, &weights, Lending::Held { reserve: SLOTS_KEPT }),
            room: Pool::new(journal_room / PIECE, &weights, Lending::Revocable),
            turns: Turns::new(&weights),
            lanes: HashMap::new(),
            all: specs.iter().map(cell).collect(),
        }
    }

    /// Is there but one, so that nothing is divided?
    pub(super) fn undivided(&self) -> bool {
        self.all.len() == 1
    }

    /// Where a tenant lives.
    pub(super) fn of(&self, tenant: &str) -> CellNo {
        if self.undivided() {
            return 0;
        }
        self.pinned.get(tenant).copied().or_else(|| home(tenant, &self.places)).unwrap_or(0)
    }

    /// Takes changed room and promises over; the cells stay.
    pub(super) fn change(&mut self, now: Ms, settings: &Settings, promises: &[Promise]) {
        let weights: Vec<f64> = self.places.iter().map(|p| p.weight).collect();
        let sum: f64 = weights.iter().sum();
        self.held.divide(settings.max_held as u64, &weights);
        self.slots.divide(settings.slots as u64, &weights);
        // The modules have adopted the whole: each is told its part anew before its next step.
        self.all.iter_mut().for_each(|c| c.told = (0, 0));
        for (cell, place) in self.all.iter_mut().zip(&self.places) {
            cell.own.change(now, part_of(promises, place.weight / sum.max(f64::MIN_POSITIVE)));
        }
    }

    /// Something happened in a cell.
    pub(super) fn post(&mut self, cell: CellNo, event: Event) {
        if let Some(c) = self.all.get_mut(cell) {
            c.events.push(event);
        }
    }

    /// Something happened that concerns all.
    pub(super) fn post_all(&mut self, event: &Event) {
        self.all.iter_mut().for_each(|c| c.events.push(event.clone()));
    }

    pub(super) fn any_events(&self) -> bool {
        self.all.iter().any(|c| !c.events.is_empty())
    }

    /// The cells that have something to decide, those first that have used least of their time; as many as fit a turn.
    pub(super) fn turn(&mut self) -> Vec<CellNo> {
        let wanting: Vec<CellNo> = (0..self.all.len()).filter(|n| !self.all[*n].events.is_empty()).collect();
        if self.undivided() {
            return wanting;
        }
        let mut work = 0.0;
        let mut due = Vec::new();
        for cell in self.turns.order(wanting) {
            let cost = (1 + self.all[cell].events.len() + self.all[cell].held) as f64;
            if work > 0.0 && work + cost > TURN_WORK {
                break;
            }
            work += cost;
            self.turns.used(cell, cost);
            due.push(cell);
        }
        due
    }

    /// Tells a cell's module what it may use.
    pub(super) fn allow(&mut self, cell: CellNo) {
        if self.undivided() {
            return;
        }
        let slots = (self.slots.most(cell) as usize).max(1);
        let held = (self.held.most(cell) as usize).max(slots);
        let c = &mut self.all[cell];
        if c.told != (slots, held) {
            c.told = (slots, held);
            c.brain.allow(slots, held);
        }
    }

    /// A call goes out.
    pub(super) fn sent(&mut self, now: Ms, cell: CellNo) -> bool {
        if self.undivided() {
            return true;
        }
        let given = matches!(self.slots.ask(cell), Grant::Own | Grant::Lent);
        if given {
            self.slots.take(cell);
            let c = &mut self.all[cell];
            c.out += 1;
            c.peak = (faded(c.peak, now).max(c.out as f64), now);
            self.slots.keep(cell, c.peak.0.ceil() as u64);
        }
        given
    }

    /// It goes out although there is no place: its outcome gives one back.
    pub(super) fn forced(&mut self, cell: CellNo) {
        self.slots.force(cell, 1);
        self.all[cell].out += 1;
    }

    /// It is back.
    pub(super) fn back(&mut self, cell: CellNo) {
        if !self.undivided() {
            self.slots.give(cell);
            self.all[cell].out = self.all[cell].out.saturating_sub(1);
        }
    }

    /// A call of an earlier process, or of another dispatcher, is held here.
    pub(super) fn resumed(&mut self, now: Ms, call: &Call) {
        if !self.undivided() {
            self.held.force(call.cell, 1);
            self.room.force(call.cell, call.size.div_ceil(PIECE));
            self.all[call.cell].held += 1;
            self.enter_lane(now, &call.taken);
        }
    }

    /// The end of a call is decided: its place is free, although its client may have to be told yet.
    pub(super) fn over(&mut self, now: Ms, call: &Call, delivered: bool) {
        if self.undivided() {
            return;
        }
        self.leave_lane(now, &call.taken, delivered);
        self.give_place(call.cell, call.size);
        let c = &mut self.all[call.cell];
        c.ends.push_back(now);
        if c.ends.len() > PACE_ENDS {
            c.ends.pop_front();
        }
    }

    fn give_place(&mut self, cell: CellNo, size: u64) {
        self.held.give(cell);
        (0..size.div_ceil(PIECE)).for_each(|_| self.room.give(cell));
        self.all[cell].held = self.all[cell].held.saturating_sub(1);
    }

    /// A message is held from now on.
    pub(super) fn enter_lane(&mut self, now: Ms, t: &Taken) {
        if self.undivided() {
            return;
        }
        let lane = self.lanes.entry(lane_name(t)).or_insert(Lane { since: now, ..Lane::default() });
        lane.held += 1;
    }

    /// It is held no more; was it delivered?
    fn leave_lane(&mut self, now: Ms, t: &Taken, delivered: bool) {
        let name = lane_name(t);
        let Some(lane) = self.lanes.get_mut(&name) else { return };
        lane.held = lane.held.saturating_sub(1);
        if delivered {
            lane.served.push_back(now);
            if lane.served.len() > PACE_ENDS {
                lane.since = lane.served.pop_front().unwrap_or(lane.since);
            }
        }
        if lane.held == 0 {
            self.lanes.remove(&name);
        }
    }

    /// How long a message had better stay away that could not be delivered in time, at the pace at which those before it are.
    /// Only what is like it counts, its tenant's, of its class and to its destination: the module may let others by.
    pub(super) fn lane_wait(&self, now: Ms, t: &Taken) -> Option<Ms> {
        if self.undivided() {
            return None;
        }
        let lane = self.lanes.get(&lane_name(t)).filter(|l| l.held.min(l.served.len()) >= LANE_LEAST)?;
        let each = (now - lane.since).max(1.0) / lane.served.len() as f64;
        let short = each * (lane.held + 1) as f64 - (t.valid_until - now);
        (short > 0.0).then(|| short.clamp(WAIT_LEAST, WAIT_MOST))
    }

    /// How long until a full cell has a place again, from the pace at which its calls end.
    fn wait(&self, now: Ms, cell: CellNo) -> Ms {
        let c = &self.all[cell];
        let Some(first) = c.ends.front() else { return WAIT_MOST.min(1_000.0) };
        let each = (now - first).max(1.0) / c.ends.len() as f64;
        // Those who were refused before come first; a tenth of what is held is a guess at how many they are.
        (each * (1.0 + c.held as f64 / 10.0)).clamp(WAIT_LEAST, WAIT_MOST)
    }

    /// Counts a call to a member against a cell's own part, or what the others leave of the whole; whether it was the part.
    pub(super) fn charge(
        &mut self,
        now: Ms,
        cell: CellNo,
        total: &mut Ceilings,
        dest: DestId,
        uid: &str,
    ) -> Result<bool, Ms> {
        if self.undivided() {
            return Ok(false);
        }
        let (calls, again) = self.calls_left(now, cell, total, dest, uid);
        if calls == 0 {
            return Err((again - now).max(1.0));
        }
        // Beyond its own part it goes on what the others leave, and is not counted against the part.
        let c = &mut self.all[cell];
        let own = c.own.take(now, dest, uid).is_ok();
        if own {
            let used = c.spent_now(now, dest, uid).map_or(0.0, |(part, left)| f64::from(part - left));
            let peak = c.spent_peak(now, uid).max(used);
            c.spent.insert(uid.to_string(), (peak, now));
        }
        Ok(own)
    }

    pub(super) fn charge_ended(&mut self, now: Ms, cell: CellNo, dest: DestId, uid: &str, written: bool) {
        if let Some(c) = self.all.get_mut(cell) {
            if written {
                c.own.written(now, dest, uid);
            }
            c.own.ended(dest, uid, written);
        }
    }

    /// A call to an endpoint goes out, or is back.
    pub(super) fn link(&mut self, cell: CellNo, uid: &str, goes: bool) {
        if self.undivided() {
            return;
        }
        let Some(c) = self.all.get_mut(cell) else { return };
        let out = c.links.get(uid).copied().unwrap_or(0);
        match if goes { out + 1 } else { out.saturating_sub(1) } {
            0 => drop(c.links.remove(uid)),
            n => drop(c.links.insert(uid.to_string(), n)),
        }
    }

    /// Of the connections that an endpoint takes, those that a cell may use: what is left by the others, who keep their part
    /// while they have something to send, and a quarter of it else. What one has borrowed comes back as its calls end.
    pub(super) fn links_left(&self, cell: CellNo, uid: &str, whole: u32) -> u32 {
        if self.undivided() || whole == u32::MAX {
            return whole;
        }
        let sum: f64 = self.places.iter().map(|p| p.weight).sum();
        let kept = |n: usize| {
            let part = (f64::from(whole) * self.places[n].weight / sum.max(f64::MIN_POSITIVE)) as u32;
            let idle = self.all[n].held == 0;
            let part = if idle { part * SLOTS_KEPT / 100 } else { part };
            part.max(self.all[n].links.get(uid).copied().unwrap_or(0))
        };
        let others: u32 = (0..self.all.len()).filter(|n| *n != cell).map(kept).sum();
        whole.saturating_sub(others)
    }

    /// Calls to an endpoint that a cell may start, and when to look again.
    pub(super) fn calls_left(
        &mut self,
        now: Ms,
        cell: CellNo,
        total: &mut Ceilings,
        dest: DestId,
        uid: &str,
    ) -> (u32, Ms) {
        let Some(whole) = total.room(now, dest, uid) else { return (u32::MAX, now) };
        if self.undivided() || whole.calls == 0 || whole.calls == u32::MAX {
            return (whole.calls, whole.again);
        }
        let mut own = (0, now);
        let mut kept = 0;
        for (n, c) in self.all.iter_mut().enumerate() {
            let Some(room) = c.own.room(now, dest, uid) else { continue };
            if n == cell {
                own = (room.calls, room.again);
            } else if c.held > 0 {
                kept += room.calls;
            } else if let Some((part, left)) = c.spent_now(now, dest, uid) {
                // A call that was lent is gone for the span. Who is idle keeps what it has needed of late, or a quarter.
                let peak = c.spent_peak(now, uid);
                let needs = ((peak + peak.sqrt()).ceil() as u32).max(part * SLOTS_KEPT / 100);
                kept += needs.saturating_sub(part - left).min(left);
            }
        }
        let lent = whole.calls.saturating_sub(kept);
        // There is room in the whole: what the cell waits for is its own part.
        (own.0.min(whole.calls).max(lent), own.1)
    }
}

impl Core {
    /// Finds a place for a call in its cell, where another one has to give back what it borrowed if need be; else the wait
    /// that can be told.
    pub(super) fn make_place(&mut self, now: Ms, cell: CellNo, size: u64) -> Result<(), Ms> {
        if self.cells.undivided() {
            return Ok(());
        }
        if !self.find_place(now, cell, |c| &mut c.held) {
            return Err(self.cells.wait(now, cell));
        }
        for taken in 0..size.div_ceil(PIECE) {
            if !self.find_place(now, cell, |c| &mut c.room) {
                (0..taken).for_each(|_| self.cells.room.give(cell));
                return Err(self.cells.wait(now, cell));
            }
            self.cells.room.take(cell);
        }
        self.cells.held.take(cell);
        self.cells.all[cell].held += 1;
        Ok(())
    }

    /// Is there a place in a pool, once others have given back what they borrowed if need be?
    fn find_place(&mut self, now: Ms, cell: CellNo, pool: fn(&mut Cells) -> &mut Pool) -> bool {
        loop {
            match pool(&mut self.cells).ask(cell) {
                Grant::Own | Grant::Lent => return true,
                Grant::After(other) if self.give_back(now, other) => {}
                Grant::After(_) | Grant::Full => return false,
            }
        }
    }

    /// A place that was found is not needed.
    pub(super) fn leave_place(&mut self, cell: CellNo, size: u64) {
        if !self.cells.undivided() {
            self.cells.give_place(cell, size);
        }
    }

    /// A cell hands back one of the calls for which it borrowed room: the last one that was taken and never went out.
    fn give_back(&mut self, now: Ms, cell: CellNo) -> bool {
        let idle = |c: &Call| {
            c.cell == cell && c.out.is_none() && c.ran.is_none() && c.ending.is_none() && c.frozen.is_none()
        };
        let last = self.calls.iter().rev().find(|(_, c)| idle(c)).map(|(no, _)| *no);
        let Some(no) = last else { return false };
        let wait = self.cells.wait(now, cell).min(self.settings.max_advice);
        self.counters.evicted += 1;
        self.cells.post(cell, Event::ClientGone(no));
        self.finish(now, no, Ending::HandedBack(wait));
        true
    }

    /// What each cell holds and has out, for the log; empty with one.
    pub fn cells_text(&self) -> String {
        if self.cells.undivided() {
            return String::new();
        }
        let one = |c: &Cell| format!("{} {} held {} out", c.name, c.held, c.out);
        self.cells.all.iter().map(one).collect::<Vec<_>>().join(", ")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against one cell that takes all connections of an endpoint, and against a part that nobody may use.
    #[test]
    fn connections_are_lent_and_come_back_as_calls_end() {
        let spec = |name: &str| CellSpec { name: name.into(), weight: 1.0, tenants: Vec::new() };
        let settings = Settings { slots: 32, max_held: 100, ..Settings::default() };
        let mut cells = Cells::new(&settings, &[spec("a"), spec("b")], &[], 1 << 20);
        assert_eq!(cells.links_left(0, "e", 8), 7, "a quarter of the idle part is never lent");
        (0..7).for_each(|_| cells.link(0, "e", true));
        cells.all[1].held = 1;
        assert_eq!((cells.links_left(0, "e", 8), cells.links_left(1, "e", 8)), (4, 1), "the owner wants it");
        (0..3).for_each(|_| cells.link(0, "e", false));
        assert_eq!(cells.links_left(1, "e", 8), 4);
        assert_eq!(cells.links_left(1, "other", 8), 7, "each endpoint by itself");
        assert_eq!(cells.links_left(1, "e", u32::MAX), u32::MAX);
        (0..9).for_each(|_| cells.link(0, "e", false));
        assert!(cells.all[0].links.is_empty());
    }
}
