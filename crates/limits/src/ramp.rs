//! Coming back: how fast calls to each member may begin again after a restart, and what is remembered for it.
//!
//! Most dispatchers of a fleet may come back at one moment and know nothing of each other. What each of them was served
//! at just before was, together, what the members took: so each begins at its own former rate, and only what is beyond
//! it (the backlog) has to be found out, slowly. Of a member without a past the rate is found by doubling; one that was away
//! when the last life ended is tried by one call. A climb stands in for what the new process does not know yet: with the first
//! call that is refused or not answered it has seen for itself, paces itself by that, and the climb is over. No clock, no
//! randomness of its own.

use crate::Ms;
use std::collections::BTreeMap;

/// Half-life of the rate that is remembered of a member.
const RATE_HALF: Ms = 10_000.0;
/// A life begins with so many times the rate of the last: a member that is served by a fleet has some room left.
const HEADROOM: f64 = 1.2;
/// Failures in a row without an answer after which a member is taken to be away.
const AWAY_AFTER: u32 = 3;
/// An old memory counts for less: for half after so long.
const AGE_HALF: Ms = 120_000.0;
/// Below this part an old memory is none.
const AGE_LEAST: f64 = 0.1;
/// Growth of the rate in a second beyond what is known to be taken,
const GROW: f64 = 0.10;
/// and where nothing is known and nothing was refused.
const GROW_NEW: f64 = 1.0;
/// When it has kept nothing back for so long the climb is over: what waits is fewer than what may go.
const QUIET: Ms = 2_000.0;
/// After so long it is over whatever is heard: the limits that hold at all times take over.
const MOST_SPAN: Ms = 30_000.0;
/// While a call that tries it is out, it is asked again after so long.
const TRIAL_LOOK: Ms = 200.0;
/// Calls that may go at once are those of so many seconds in which none came: arrivals have gaps.
const BURST: f64 = 1.0;

/// What is remembered of one member.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Health {
    /// Calls a second that it answered of late.
    pub rate: f64,
    /// It was away since then: calls met no answer.
    pub away: Option<Ms>,
}

/// Keeps what is remembered of all members, from the ends of calls.
#[derive(Debug, Clone, Default)]
pub struct Memory(BTreeMap<String, (Health, Ms, u32)>);

impl Memory {
    /// A call ended with an answer of the member: it took it.
    pub fn answered(&mut self, now: Ms, member: &str) {
        let (health, at, failed) = self.entry(now, member);
        health.rate = health.rate * fade(now - *at) + std::f64::consts::LN_2 * 1000.0 / RATE_HALF;
        (health.away, *at, *failed) = (None, now, 0);
    }

    /// A call ended without any answer.
    pub fn silent(&mut self, now: Ms, member: &str) {
        let (health, _, failed) = self.entry(now, member);
        *failed += 1;
        if *failed >= AWAY_AFTER {
            health.away.get_or_insert(now);
        }
    }

    fn entry(&mut self, now: Ms, member: &str) -> &mut (Health, Ms, u32) {
        if !self.0.contains_key(member) {
            self.0.insert(member.to_string(), (Health { rate: 0.0, away: None }, now, 0));
        }
        self.0.get_mut(member).expect("it was put there")
    }

    /// All of it, brought up to now. The rate of one that is away is that of before.
    pub fn all(&self, now: Ms) -> impl Iterator<Item = (&str, Health)> {
        self.0.iter().map(move |(member, (h, at, _))| {
            let until = h.away.unwrap_or(now).max(*at);
            (member.as_str(), Health { rate: h.rate * fade(until - at), ..*h })
        })
    }

    /// The same with the time of the newest evidence of each.
    pub fn learnt(&self, now: Ms) -> impl Iterator<Item = (&str, Health, Ms)> {
        let newest =
            move |member: &str| self.0.get(member).map_or(now, |(h, at, _)| h.away.unwrap_or(*at).max(*at));
        self.all(now).map(move |(member, health)| (member, health, newest(member)))
    }

    /// Forgets members that are gone.
    pub fn keep(&mut self, is_there: impl Fn(&str) -> bool) {
        self.0.retain(|member, _| is_there(member));
    }
}

fn fade(span: Ms) -> f64 {
    0.5f64.powf(span.max(0.0) / RATE_HALF)
}

/// What the last life left of a member, and how old that is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Former {
    /// What was remembered.
    pub health: Health,
    /// How long ago; none: nobody can tell.
    pub age: Option<Ms>,
}

impl Former {
    /// How much it counts for: all of it when fresh, nothing when old.
    pub fn trust(&self) -> f64 {
        let trust = self.age.map_or(AGE_LEAST, |age| 0.5f64.powf(age.max(0.0) / AGE_HALF));
        if trust < AGE_LEAST {
            0.0
        } else {
            trust
        }
    }
}

/// One member's climb.
#[derive(Debug, Clone, Copy)]
struct Climb {
    rate: f64,
    /// Nothing was known of it.
    new: bool,
    tokens: f64,
    at: Ms,
    /// It was away: one call until that is answered; true while it is out.
    trial: Option<bool>,
    /// When it last had no room.
    bound: Ms,
    /// A call has gone to it in this life.
    called: bool,
}

/// The climbs of one life.
#[derive(Debug, Clone)]
pub struct Ramp {
    began: Ms,
    /// Calls a second to a member of which nothing is known.
    first: f64,
    former: BTreeMap<String, Former>,
    climbs: BTreeMap<String, Option<Climb>>,
}

impl Ramp {
    /// A ramp for a life that begins now; `first`: calls a second to a member of which nothing is known.
    pub fn begin(now: Ms, first: f64, former: BTreeMap<String, Former>) -> Ramp {
        Ramp { began: now, first: first.max(0.1), former, climbs: BTreeMap::new() }
    }

    /// Is it over for all members, also for those that were not called yet?
    pub fn is_over(&self, now: Ms) -> bool {
        now - self.began >= MOST_SPAN
    }

    /// A member is listed; its climb begins. `draw`, from 0 up to 1, gives its first call a moment of its own within the
    /// time of one.
    pub fn listed(&mut self, now: Ms, member: &str, draw: f64) {
        if self.is_over(now) || self.climbs.contains_key(member) {
            return;
        }
        let former = self.former.get(member).copied();
        let known = former.map_or(0.0, |f| f.trust() * f.health.rate) * HEADROOM;
        let away = former.is_some_and(|f| f.health.away.is_some());
        let climb = Climb {
            rate: known.max(self.first),
            new: known < self.first,
            tokens: draw,
            at: now,
            trial: away.then_some(false),
            bound: now,
            called: false,
        };
        self.climbs.insert(member.to_string(), Some(climb));
    }

    /// Another dispatcher says what it has learnt of the member. It counts where this one knows nothing fresher: before its own
    /// first call of this life, and if its former life's memory is older.
    pub fn told(&mut self, now: Ms, member: &str, told: Former) {
        let age = |f: &Former| f.age.unwrap_or(f64::MAX);
        if self.former.get(member).is_some_and(|f| age(f) + now - self.began <= age(&told)) {
            return;
        }
        self.former.insert(member.to_string(), told);
        if let Some(Some(c)) = self.climbs.get_mut(member).filter(|c| c.is_some_and(|c| !c.called)) {
            let known = told.trust() * told.health.rate * HEADROOM;
            (c.rate, c.new) = (known.max(self.first), known < self.first);
            c.trial = told.health.away.map(|_| false);
            c.tokens = c.tokens.min(1.0);
        }
    }

    /// Calls that may go to the member now, and when there is one more; none: as many as wanted.
    pub fn room(&mut self, now: Ms, member: &str) -> Option<(u32, Ms)> {
        let late = self.is_over(now);
        let slot = self.climbs.get_mut(member)?;
        let unbound = |c: &Climb| now - c.bound >= QUIET && c.trial.is_none();
        if late || slot.as_ref().is_some_and(unbound) {
            *slot = None;
        }
        let c = slot.as_mut()?;
        c.grow(now);
        if c.trial == Some(true) {
            c.bound = now;
            return Some((0, now + TRIAL_LOOK));
        }
        let calls = c.tokens.max(0.0).floor();
        if calls < 1.0 {
            c.bound = now;
        }
        let calls_now = if c.trial.is_some() { calls.min(1.0) } else { calls };
        Some((calls_now as u32, now + (calls + 1.0 - c.tokens) * 1_000.0 / c.rate))
    }

    /// A call goes to the member.
    pub fn sent(&mut self, member: &str) {
        if let Some(Some(c)) = self.climbs.get_mut(member) {
            c.tokens -= 1.0;
            c.called = true;
            c.trial = c.trial.map(|_| true);
        }
    }

    /// A call was answered: the member is there. `full`: it refused, for its limit or for want of room; the caller knows now.
    pub fn heard(&mut self, now: Ms, member: &str, full: bool) {
        match self.climbs.get_mut(member) {
            Some(slot) if full => *slot = None,
            Some(Some(c)) => {
                c.grow(now);
                c.trial = None;
            }
            _ => {}
        }
    }

    /// A call met no answer: the caller knows now that the member is away, and how to try it.
    pub fn silent(&mut self, member: &str) {
        if let Some(slot) = self.climbs.get_mut(member) {
            *slot = None;
        }
    }

    /// A call ended and says nothing of the member: a trial is free for the next one.
    pub fn unheard(&mut self, member: &str) {
        if let Some(Some(c)) = self.climbs.get_mut(member) {
            c.trial = c.trial.map(|_| false);
        }
    }
}

impl Climb {
    fn grow(&mut self, now: Ms) {
        let dt = (now - self.at).max(0.0) / 1_000.0;
        self.at = now;
        self.tokens = (self.tokens + self.rate * dt).min((self.rate * BURST).max(1.0));
        // While it is tried, more would be a guess.
        if self.trial.is_none() {
            self.rate *= (1.0 + if self.new { GROW_NEW } else { GROW }).powf(dt);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Sends whenever there is room, for so long; returns the times. `answer` says whether the member is full.
    fn climb(ramp: &mut Ramp, from: Ms, until: Ms, mut full: impl FnMut(Ms) -> Option<bool>) -> Vec<Ms> {
        let (mut sent, mut now) = (Vec::new(), from);
        while now < until {
            if ramp.room(now, "m").is_none_or(|r| r.0 > 0) {
                ramp.sent("m");
                sent.push(now);
                match full(now) {
                    Some(full) => ramp.heard(now, "m", full),
                    None => ramp.silent("m"),
                }
            }
            now += 10.0;
        }
        sent
    }

    fn ramp(former: Option<Former>) -> Ramp {
        let former = former.map(|f| ("m".to_string(), f)).into_iter().collect();
        let mut ramp = Ramp::begin(0.0, 2.0, former);
        ramp.listed(0.0, "m", 0.5);
        ramp
    }

    fn of(rate: f64, away: Option<Ms>, age: Ms) -> Option<Former> {
        Some(Former { health: Health { rate, away }, age: Some(age) })
    }

    /// Guards against a backlog that goes out at once, and against a climb that never ends.
    #[test]
    fn a_life_begins_at_the_rate_of_the_last_and_climbs_slowly_beyond_it() {
        let sent = climb(&mut ramp(of(10.0, None, 1_000.0)), 0.0, 3_000.0, |_| Some(false));
        let first = sent.iter().filter(|t| **t < 1_000.0).count();
        assert!((11..=14).contains(&first), "little more than the former rate in the first second: {first}");
        assert!((36..=46).contains(&sent.len()), "a little more each second: {}", sent.len());
        let mut r = ramp(of(10.0, None, 1_000.0));
        climb(&mut r, 0.0, 4_000.0, |_| Some(false));
        assert!(r.room(4_000.0, "m").is_some(), "on while it keeps calls back");
        (0..=30).for_each(|n| {
            r.room(4_000.0 + 100.0 * f64::from(n), "m");
        });
        assert_eq!(r.room(7_100.0, "m"), None, "over when nothing waits for it");
    }

    /// Guards against a climb that goes on beside what the process has seen for itself.
    #[test]
    fn with_the_first_refusal_or_silence_it_is_over() {
        let mut r = ramp(of(20.0, None, 1_000.0));
        assert!(r.room(100.0, "m").is_some());
        r.heard(110.0, "m", true);
        assert_eq!(r.room(120.0, "m"), None);
        let mut r = ramp(of(20.0, None, 1_000.0));
        r.sent("m");
        r.silent("m");
        assert_eq!(r.room(120.0, "m"), None);
        assert!(r.room(120.0, "never listed").is_none() && r.is_over(MOST_SPAN));
    }

    /// Guards against a crowd at a member that was away when the last life ended.
    #[test]
    fn one_that_was_away_is_tried_by_one_call_until_it_answers() {
        let mut r = ramp(of(20.0, Some(1.0), 1_000.0));
        assert_eq!(r.room(100.0, "m").map(|r| r.0), Some(1));
        r.sent("m");
        assert_eq!(r.room(900.0, "m").map(|r| r.0), Some(0), "one is out");
        r.unheard("m");
        assert_eq!(r.room(910.0, "m").map(|r| r.0), Some(1), "it was called off: the next try");
        r.sent("m");
        r.heard(950.0, "m", false);
        assert!(r.room(960.0, "m").is_some_and(|r| r.0 > 10), "it is there");
    }

    /// Guards against a crowd at a member that another dispatcher knows to be away, and against an old word that wins.
    #[test]
    fn what_another_has_learnt_counts_where_nothing_fresher_is_known() {
        let away = of(40.0, Some(0.0), 100.0).unwrap();
        let mut r = ramp(None);
        r.told(0.0, "m", away);
        assert_eq!(r.room(900.0, "m").map(|r| r.0), Some(1), "one call tries it");
        let mut r = ramp(of(20.0, None, 50.0));
        r.told(0.0, "m", away);
        assert!(r.room(900.0, "m").is_some_and(|r| r.0 > 10), "its own memory is fresher");
        let mut r = ramp(None);
        r.sent("m");
        r.told(0.0, "m", away);
        assert!(r.room(1_900.0, "m").is_some_and(|r| r.0 > 1), "it sees for itself");
    }

    /// Guards against an old memory taken for a fresh one, and a new member that is never found out.
    #[test]
    fn what_is_old_counts_for_less_and_nothing_known_doubles() {
        let in_a_second = |f: Option<Former>| climb(&mut ramp(f), 0.0, 1_000.0, |_| Some(false)).len();
        let (fresh, old) = (in_a_second(of(40.0, None, 0.0)), in_a_second(of(40.0, None, 240_000.0)));
        assert!(old * 3 < fresh, "{old} of {fresh}");
        let unsure = Former { health: Health { rate: 40.0, away: None }, age: None };
        assert!(in_a_second(Some(unsure)) < 8, "of an age that nobody can tell");
        let sent = climb(&mut ramp(None), 0.0, 3_900.0, |_| Some(false));
        assert!(sent.len() > 25, "it doubles each second: {}", sent.len());
    }

    #[test]
    fn the_memory_is_the_rate_of_late_and_that_of_before_an_outage() {
        let mut m = Memory::default();
        (0..300).for_each(|n| m.answered(f64::from(n) * 100.0, "m"));
        let health = |m: &Memory, now: Ms| m.all(now).next().unwrap().1;
        assert!((health(&m, 30_000.0).rate - 10.0).abs() < 1.5, "{:?}", health(&m, 30_000.0));
        assert!(health(&m, 50_000.0).rate < 3.0, "nothing came for 20 s");
        (0..3).for_each(|_| m.silent(30_100.0, "m"));
        assert_eq!(health(&m, 50_000.0).away, Some(30_100.0));
        assert!(health(&m, 50_000.0).rate > 8.0, "what it took before it went away");
        m.answered(50_000.0, "m");
        assert_eq!(health(&m, 50_000.0).away, None);
        m.keep(|_| false);
        assert_eq!(m.all(0.0).count(), 0);
    }
}
