//! Hints: what outlived the last process says where to begin, and how carefully; never what is so now.
//!
//! Calls to each member climb from the rate of the last life. An unsafe message waits for a member that the registry
//! named, or that answered, since the start. With a folder that cannot vouch for an earlier life, an unsafe message that
//! is handed in again gets its final answer without a call. All of it is the operators' choice.

use super::{Core, Frozen};
use crate::api::*;
use crate::config::WorkerList;
use crate::journal::CallNo;
use crate::kept::Kept;
use crate::state::Random;
use crate::together::Recovery;
use lilacbank_limits::ramp::{Former, Health, Memory, Ramp};
use std::collections::{BTreeMap, BTreeSet};

/// While unsafe messages wait for a member, one of its endpoints is checked this often.
const CHECK_EVERY: Ms = 500.0;
/// A call kept back because its endpoint is not confirmed is decided on again after so long.
const UNCONFIRMED_REST: Ms = 100.0;
/// An unsafe message that waits is handed back so long before its time is up: its client hears it in time.
const BACK_BEFORE: Ms = 200.0;

/// What a start knows of the life before.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Past {
    /// What the operators want of it.
    pub recovery: Recovery,
    /// What the last life remembered of each member.
    pub former: BTreeMap<String, Former>,
    /// The folder cannot vouch for an earlier life.
    pub unproven: bool,
    /// It died again and again: it begins with half of what it would.
    pub crashing: bool,
}

/// The stage's own state; nothing of it is used where the operators did not enable it.
#[derive(Debug)]
pub(super) struct Hints {
    spec: Recovery,
    ramp: Option<Ramp>,
    memory: Memory,
    confirmed: BTreeSet<RouteId>,
    /// Until then an unsafe message handed in again may be one of a lost life.
    unproven_until: Ms,
    next_check: Ms,
    /// Messages may wait for a member; looked at anew with each check.
    waits: bool,
    random: Random,
}

impl Hints {
    pub(super) fn new(now: Ms, past: Past, settings: &Settings) -> Hints {
        let Past { recovery: spec, mut former, unproven, crashing } = past;
        let on = spec.enabled;
        if crashing {
            former.values_mut().for_each(|f| f.health.rate /= 2.0);
        }
        let first = if crashing { spec.first_rate / 2.0 } else { spec.first_rate };
        let ramp = (on && spec.ramp).then(|| Ramp::begin(now, first, former));
        // What an earlier life took is over by then.
        let longest = settings.classes.iter().filter(|c| c.effect == Effect::Unsafe).map(|c| c.deadline);
        let unproven = on && spec.refuse_again && unproven;
        Hints {
            ramp,
            memory: Memory::default(),
            confirmed: BTreeSet::new(),
            unproven_until: if unproven { now + longest.fold(0.0, f64::max) } else { f64::MIN },
            next_check: now,
            waits: false,
            random: Random::new(settings.seed ^ 0x48_1415),
            spec,
        }
    }

    fn holds_unsafe(&self) -> bool {
        self.spec.enabled && self.spec.hold_unsafe
    }

    /// Is any member's climb still on?
    pub(super) fn climbs(&self) -> bool {
        self.ramp.is_some()
    }
}

impl Core {
    /// What shares a limit with the route: its own id, or its destination's.
    fn member_of(&self, route: RouteId) -> Option<String> {
        let w = self.worker(route)?;
        Some(if self.settings.kind(w.kind).apart { w.uid.clone() } else { format!("dest {}", w.dest) })
    }

    /// Takes what a start knows of the life before; before any list.
    pub fn begin_from(&mut self, now: Ms, past: Past) {
        self.hints = Hints::new(now, past, &self.settings);
    }

    /// News of the list: climbs begin; what the registry told, not the last life, is confirmed.
    pub(super) fn hints_listed(&mut self, now: Ms, told: &[RouteId], cached: bool) {
        if !self.hints.spec.enabled {
            return;
        }
        for route in told {
            let Some(member) = self.member_of(*route) else { continue };
            let draw = self.hints.random.next();
            if let Some(ramp) = &mut self.hints.ramp {
                ramp.listed(now, &member, draw);
            }
            self.touch(*route);
            if !cached && self.worker(*route).is_some_and(|w| w.listing == Listing::Ready) {
                self.confirm(*route);
            }
        }
        let members: BTreeSet<String> = self.workers.keys().filter_map(|r| self.member_of(*r)).collect();
        self.hints.memory.keep(|m| members.contains(m));
        let workers = &self.workers;
        self.hints.confirmed.retain(|r| workers.contains_key(r));
    }

    /// The registry says that nothing has changed since the list that is held.
    pub fn list_is_current(&mut self) {
        if self.hints.holds_unsafe() && self.hints.confirmed.len() < self.workers.len() {
            let ready =
                self.workers.iter().filter(|(_, w)| w.gone.is_none() && w.worker.listing == Listing::Ready);
            let ready: Vec<RouteId> = ready.map(|(r, _)| *r).collect();
            ready.into_iter().for_each(|r| self.confirm(r));
        }
    }

    /// The member is there: unsafe messages that waited for it go to the module.
    fn confirm(&mut self, route: RouteId) {
        if !self.hints.holds_unsafe() || !self.hints.confirmed.insert(route) {
            return;
        }
        let Some(dest) = self.worker(route).map(|w| w.dest) else { return };
        let waits = |c: &super::Call| c.frozen == Some(Frozen::Unconfirmed) && c.taken.dest == dest;
        let waiting: Vec<CallNo> = self.calls.iter().filter(|(_, c)| waits(c)).map(|(no, _)| *no).collect();
        waiting.into_iter().for_each(|no| self.resume(no));
    }

    /// Does an unsafe message of this class have to wait for its destination? If so it is looked after from now on.
    pub(super) fn is_unconfirmed(&mut self, class: &str, dest: DestId) -> bool {
        let waits = self.hints.holds_unsafe()
            && self.is_unsafe_class(class)
            && !self.routes_of.get(&dest).into_iter().flatten().any(|r| self.hints.confirmed.contains(r));
        self.hints.waits |= waits;
        waits
    }

    pub(super) fn is_unsafe_class(&self, class: &str) -> bool {
        let class = crate::config::place(&self.names.classes, class);
        class.and_then(|c| self.settings.classes.get(c)).is_some_and(|c| c.effect == Effect::Unsafe)
    }

    /// May this message, handed in again, have been sent by a life that the folder does not know of?
    pub(super) fn is_unproven(&self, now: Ms, class: &str, again: bool) -> bool {
        again && now < self.hints.unproven_until && self.is_unsafe_class(class)
    }

    /// Whether a call may go to the route now; else the wait until it is decided on again.
    pub(super) fn hinted(&mut self, now: Ms, no: CallNo, route: RouteId) -> Result<(), Ms> {
        if !self.hints.spec.enabled {
            return Ok(());
        }
        let class = self.calls.get(&no).map(|c| c.taken.class.clone()).unwrap_or_default();
        if self.hints.holds_unsafe() && !self.hints.confirmed.contains(&route) && self.is_unsafe_class(&class)
        {
            return Err(UNCONFIRMED_REST);
        }
        let Some(member) = self.member_of(route) else { return Ok(()) };
        let Some(ramp) = &mut self.hints.ramp else { return Ok(()) };
        if let Some((0, again)) = ramp.room(now, &member) {
            self.counters.ramped += 1;
            return Err((again - now).max(1.0));
        }
        ramp.sent(&member);
        self.touch(route);
        Ok(())
    }

    /// Calls that the climb leaves room for, and when there is more.
    pub(super) fn climb_room(&mut self, now: Ms, route: RouteId) -> (u32, Ms) {
        let Some(member) = self.member_of(route) else { return (u32::MAX, now) };
        let room = self.hints.ramp.as_mut().and_then(|r| r.room(now, &member));
        room.unwrap_or((u32::MAX, now))
    }

    /// The room of a route's destination has changed.
    fn touch(&mut self, route: RouteId) {
        if let Some(dest) = self.worker(route).map(|w| w.dest).filter(|_| self.hints.climbs()) {
            self.ceilings.remind(self.now, dest);
        }
    }

    /// A call or probe ended: what it says of the member.
    pub(super) fn hints_heard(&mut self, now: Ms, route: RouteId, outcome: Outcome, probe: bool) {
        if !self.hints.spec.enabled {
            return;
        }
        let Some(member) = self.member_of(route) else { return };
        let (answered, full) = match outcome {
            Outcome::Delivered | Outcome::Error => (true, false),
            Outcome::Refused => (true, true),
            Outcome::Late | Outcome::NoConnection | Outcome::Reset => (false, false),
            Outcome::Cancelled | Outcome::NotSent => {
                // It says nothing of the member; a trial is free for the next call.
                self.hints.ramp.iter_mut().for_each(|r| r.unheard(&member));
                return;
            }
        };
        if answered {
            self.confirm(route);
            if !full && !probe {
                self.hints.memory.answered(now, &member);
            }
        } else {
            self.hints.memory.silent(now, &member);
        }
        if let Some(ramp) = &mut self.hints.ramp {
            match answered {
                true => ramp.heard(now, &member, full),
                false => ramp.silent(&member),
            }
            if ramp.is_over(now) {
                // Its last word: no bound any more.
                self.hints.ramp = None;
                self.room_told.keys().map(|k| k.0).collect::<BTreeSet<_>>().into_iter().for_each(|r| {
                    if let Some(dest) = self.worker(r).map(|w| w.dest) {
                        self.ceilings.remind(now, dest);
                    }
                });
            }
        }
        self.touch(route);
    }

    /// What was learnt of the members, with the time of the newest evidence.
    pub(super) fn hints_learnt(&self, now: Ms) -> Vec<(String, Health, Ms)> {
        if !self.hints.spec.enabled {
            return Vec::new();
        }
        self.hints.memory.learnt(now).map(|(m, h, at)| (m.to_string(), h, at)).collect()
    }

    /// Another dispatcher has fresher evidence of a member.
    pub(super) fn hints_told(&mut self, now: Ms, member: &str, told: Former) {
        if let Some(ramp) = &mut self.hints.ramp {
            ramp.told(now, member, told);
        }
        let of = |r: &RouteId| self.member_of(*r).as_deref() == Some(member);
        let routes: Vec<RouteId> = self.workers.keys().copied().filter(of).collect();
        routes.into_iter().for_each(|r| self.touch(r));
    }

    /// Unsafe messages that wait: one endpoint of theirs is checked now and then, and what waits in vain is handed back.
    pub(super) fn hints_turn(&mut self, now: Ms) {
        if !self.hints.waits || now < self.hints.next_check {
            return;
        }
        let mut dests = BTreeSet::new();
        let mut late = Vec::new();
        for (no, c) in
            self.calls.iter().filter(|(_, c)| c.frozen == Some(Frozen::Unconfirmed) && c.ending.is_none())
        {
            dests.insert(c.taken.dest);
            if now + BACK_BEFORE + CHECK_EVERY >= c.taken.valid_until {
                late.push(*no);
            }
        }
        (self.hints.waits, self.hints.next_check) = (!dests.is_empty(), now + CHECK_EVERY);
        let wait = NO_MEMBER_ADVICE.min(self.settings.max_advice);
        // Nothing of them went out since the start, or before: their clients may hand them in again.
        late.into_iter().for_each(|no| self.hand_back(now, no, wait));
        if !self.settings.can_probe {
            return;
        }
        for dest in dests {
            let routes = self.routes_of.get(&dest).cloned().unwrap_or_default();
            let ready = |r: &&RouteId| self.worker(**r).is_some_and(|w| w.listing == Listing::Ready);
            let ready: Vec<RouteId> = routes.iter().filter(ready).copied().collect();
            let pick = (self.hints.random.next() * ready.len() as f64) as usize;
            ready.get(pick).copied().into_iter().for_each(|r| self.probe(now, r));
        }
    }

    /// When unsafe messages that wait are looked at again.
    pub(super) fn hints_due(&self) -> Option<Ms> {
        self.hints.waits.then_some(self.hints.next_check)
    }

    /// What is to be kept for the next life; none where the operators keep nothing.
    pub fn kept(&self, now: Ms, installation: u32, rev: u64) -> Option<Kept> {
        if !self.hints.spec.enabled {
            return None;
        }
        let workers = self.workers.values().filter(|w| w.gone.is_none()).map(|w| w.worker.clone()).collect();
        let list = WorkerList { rev, whole: true, workers };
        let health = self.hints.memory.all(now).map(|(m, h)| (m.to_string(), h));
        Some(Kept::new(installation, (now, self.journal.clocks()), &list, &self.names, health))
    }
}

/// Advice to the client of an unsafe message for which no member was confirmed in time.
const NO_MEMBER_ADVICE: Ms = 500.0;
