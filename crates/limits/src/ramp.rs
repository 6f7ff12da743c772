//! The ramp after a restart: how fast attempts at each destination may start again, and what is remembered
//! for it.
//!
//! Many dispatchers of an installation may restart at the same moment without knowing of each other. The
//! rates at which each of them was served before add up to what the destinations accepted. Each dispatcher
//! therefore begins at its own former rate, and only the capacity beyond it, which the backlog needs, is
//! probed slowly. For a destination without a known rate the allowed rate doubles each second. A destination
//! that was unavailable at the end of the last incarnation is tested with a single attempt. The ramp replaces
//! knowledge that the new process does not have yet: at the first attempt that is refused or gets no answer
//! the ramp of that destination ends, because the process then has evidence of its own and paces itself by
//! it. This module reads no clock and draws no random numbers.

use crate::Ms;
use std::collections::BTreeMap;

/// Half-life of the remembered rate of a destination.
const RATE_HALF_LIFE_MS: Ms = 10_000.0;
/// Factor on the former rate at the start of an incarnation: a destination that serves an installation has
/// some capacity left.
const INITIAL_RATE_FACTOR: f64 = 1.2;
/// Consecutive failures without an answer after which a destination counts as unavailable.
const UNAVAILABLE_AFTER_FAILURES: u32 = 3;
/// Half-life of the trust in remembered health data, by its age.
const TRUST_HALF_LIFE_MS: Ms = 120_000.0;
/// Below this trust, remembered health data is ignored.
const MIN_TRUST: f64 = 0.1;
/// Growth of the rate per second beyond the former rate, as a fraction.
const GROWTH_PER_SECOND: f64 = 0.10;
/// Growth of the rate per second, as a fraction, when no former rate is known.
const UNKNOWN_RATE_GROWTH_PER_SECOND: f64 = 1.0;
/// The ramp of a destination ends when it has held nothing back for this long: less is waiting than may be
/// sent.
const IDLE_END_MS: Ms = 2_000.0;
/// The ramp ends after this time in any case; the permanent limits then apply alone.
const MAX_DURATION_MS: Ms = 30_000.0;
/// While the test attempt at a formerly unavailable destination is running, the room is checked again after
/// this time.
const TRIAL_RECHECK_MS: Ms = 200.0;
/// Largest burst: what the current rate allows in this many seconds, because arrivals have gaps.
const BURST_SECONDS: f64 = 1.0;

/// The remembered health of a destination.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Health {
    /// Attempts per second that it answered recently.
    pub rate: f64,
    /// Since when it has been unavailable, if it is: attempts got no answer.
    pub unavailable_since: Option<Ms>,
}

/// Records the health of all destinations from the outcomes of attempts.
#[derive(Debug, Clone, Default)]
pub struct HealthTracker(BTreeMap<String, (Health, Ms, u32)>);

impl HealthTracker {
    /// An attempt ended with an answer of the destination, which therefore accepted it.
    pub fn answered(&mut self, now: Ms, member: &str) {
        let (health, at, failed) = self.entry(now, member);
        health.rate = health.rate * decay(now - *at) + std::f64::consts::LN_2 * 1000.0 / RATE_HALF_LIFE_MS;
        (health.unavailable_since, *at, *failed) = (None, now, 0);
    }

    /// An attempt ended without any answer.
    pub fn unanswered(&mut self, now: Ms, member: &str) {
        let (health, _, failed) = self.entry(now, member);
        *failed += 1;
        if *failed >= UNAVAILABLE_AFTER_FAILURES {
            health.unavailable_since.get_or_insert(now);
        }
    }

    fn entry(&mut self, now: Ms, member: &str) -> &mut (Health, Ms, u32) {
        if !self.0.contains_key(member) {
            self.0.insert(member.to_string(), (Health { rate: 0.0, unavailable_since: None }, now, 0));
        }
        self.0.get_mut(member).expect("the entry was inserted above")
    }

    /// The health of all destinations as of now. For an unavailable one, the rate is that from before the
    /// outage.
    pub fn all(&self, now: Ms) -> impl Iterator<Item = (&str, Health)> {
        self.0.iter().map(move |(member, (h, at, _))| {
            let until = h.unavailable_since.unwrap_or(now).max(*at);
            (member.as_str(), Health { rate: h.rate * decay(until - at), ..*h })
        })
    }

    /// As [`HealthTracker::all`], with the time of the newest evidence of each destination.
    pub fn all_with_time(&self, now: Ms) -> impl Iterator<Item = (&str, Health, Ms)> {
        let newest = move |member: &str| {
            self.0.get(member).map_or(now, |(h, at, _)| h.unavailable_since.unwrap_or(*at).max(*at))
        };
        self.all(now).map(move |(member, health)| (member, health, newest(member)))
    }

    /// Forgets destinations that no longer exist.
    pub fn retain(&mut self, is_there: impl Fn(&str) -> bool) {
        self.0.retain(|member, _| is_there(member));
    }
}

fn decay(span: Ms) -> f64 {
    0.5f64.powf(span.max(0.0) / RATE_HALF_LIFE_MS)
}

/// Health data of a destination from the last incarnation or from a peer, with its age.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RememberedHealth {
    /// The health data.
    pub health: Health,
    /// Its age; `None` if it is unknown.
    pub age: Option<Ms>,
}

impl RememberedHealth {
    /// The weight of the health data: 1 when fresh, 0 when too old.
    pub fn trust(&self) -> f64 {
        let trust = self.age.map_or(MIN_TRUST, |age| 0.5f64.powf(age.max(0.0) / TRUST_HALF_LIFE_MS));
        if trust < MIN_TRUST {
            0.0
        } else {
            trust
        }
    }
}

/// The ramp of one destination.
#[derive(Debug, Clone, Copy)]
struct DestinationRamp {
    rate: f64,
    /// No former rate is known.
    rate_unknown: bool,
    tokens: f64,
    at: Ms,
    /// The destination was unavailable: only one attempt is allowed until one is answered; `true` while it is
    /// running.
    trial: Option<bool>,
    /// When it last held an attempt back.
    last_limited: Ms,
    /// An attempt was made in this incarnation.
    attempted: bool,
}

/// The ramps of all destinations after a start.
#[derive(Debug, Clone)]
pub struct Ramp {
    began: Ms,
    /// Initial rate, in attempts per second, of a destination without a known rate.
    first: f64,
    former: BTreeMap<String, RememberedHealth>,
    ramps: BTreeMap<String, Option<DestinationRamp>>,
}

impl Ramp {
    /// Starts the ramp of a process that begins now; `first` is the initial rate, in attempts per second, of
    /// a destination without a known rate.
    pub fn begin(now: Ms, first: f64, former: BTreeMap<String, RememberedHealth>) -> Ramp {
        Ramp { began: now, first: first.max(0.1), former, ramps: BTreeMap::new() }
    }

    /// Whether the ramp is over for all destinations, including those that had no attempt yet.
    pub fn is_over(&self, now: Ms) -> bool {
        now - self.began >= MAX_DURATION_MS
    }

    /// Starts the ramp of a destination that is in the endpoint list. `draw` is a random number in [0, 1)
    /// that spreads the first attempts of several dispatchers over the time of one attempt.
    pub fn add_destination(&mut self, now: Ms, member: &str, draw: f64) {
        if self.is_over(now) || self.ramps.contains_key(member) {
            return;
        }
        let former = self.former.get(member).copied();
        let known = former.map_or(0.0, |f| f.trust() * f.health.rate) * INITIAL_RATE_FACTOR;
        let away = former.is_some_and(|f| f.health.unavailable_since.is_some());
        let ramp = DestinationRamp {
            rate: known.max(self.first),
            rate_unknown: known < self.first,
            tokens: draw,
            at: now,
            trial: away.then_some(false),
            last_limited: now,
            attempted: false,
        };
        self.ramps.insert(member.to_string(), Some(ramp));
    }

    /// Takes over health data that a peer sent. It is used only if this dispatcher has nothing newer: before
    /// its own first attempt in this incarnation, and if the data from its last incarnation is older.
    pub fn update_from_peer(&mut self, now: Ms, member: &str, received: RememberedHealth) {
        let age = |f: &RememberedHealth| f.age.unwrap_or(f64::MAX);
        if self.former.get(member).is_some_and(|f| age(f) + now - self.began <= age(&received)) {
            return;
        }
        self.former.insert(member.to_string(), received);
        if let Some(Some(c)) = self.ramps.get_mut(member).filter(|c| c.is_some_and(|c| !c.attempted)) {
            let known = received.trust() * received.health.rate * INITIAL_RATE_FACTOR;
            (c.rate, c.rate_unknown) = (known.max(self.first), known < self.first);
            c.trial = received.health.unavailable_since.map(|_| false);
            c.tokens = c.tokens.min(1.0);
        }
    }

    /// The attempts that may start now, and when one more may; `None` if they are not restricted.
    pub fn room(&mut self, now: Ms, member: &str) -> Option<(u32, Ms)> {
        let over = self.is_over(now);
        let slot = self.ramps.get_mut(member)?;
        let idle = |c: &DestinationRamp| now - c.last_limited >= IDLE_END_MS && c.trial.is_none();
        if over || slot.as_ref().is_some_and(idle) {
            *slot = None;
        }
        let c = slot.as_mut()?;
        c.grow(now);
        if c.trial == Some(true) {
            c.last_limited = now;
            return Some((0, now + TRIAL_RECHECK_MS));
        }
        let calls = c.tokens.max(0.0).floor();
        if calls < 1.0 {
            c.last_limited = now;
        }
        let calls_now = if c.trial.is_some() { calls.min(1.0) } else { calls };
        Some((calls_now as u32, now + (calls + 1.0 - c.tokens) * 1_000.0 / c.rate))
    }

    /// An attempt starts.
    pub fn attempt_started(&mut self, member: &str) {
        if let Some(Some(c)) = self.ramps.get_mut(member) {
            c.tokens -= 1.0;
            c.attempted = true;
            c.trial = c.trial.map(|_| true);
        }
    }

    /// An attempt was answered, so the destination is available. `full`: it refused, because of its limit or
    /// for lack of capacity; the ramp ends, since the dispatcher now knows.
    pub fn answered(&mut self, now: Ms, member: &str, full: bool) {
        match self.ramps.get_mut(member) {
            Some(slot) if full => *slot = None,
            Some(Some(c)) => {
                c.grow(now);
                c.trial = None;
            }
            _ => {}
        }
    }

    /// An attempt got no answer: the ramp ends, since the dispatcher now knows that the destination is
    /// unavailable and tests it in its own way.
    pub fn unanswered(&mut self, member: &str) {
        if let Some(slot) = self.ramps.get_mut(member) {
            *slot = None;
        }
    }

    /// An attempt ended without evidence about the destination: the next test attempt may start.
    pub fn attempt_cancelled(&mut self, member: &str) {
        if let Some(Some(c)) = self.ramps.get_mut(member) {
            c.trial = c.trial.map(|_| false);
        }
    }
}

impl DestinationRamp {
    fn grow(&mut self, now: Ms) {
        let dt = (now - self.at).max(0.0) / 1_000.0;
        self.at = now;
        self.tokens = (self.tokens + self.rate * dt).min((self.rate * BURST_SECONDS).max(1.0));
        // The rate does not grow while the destination is tested: there is no evidence for more.
        if self.trial.is_none() {
            self.rate *= (1.0
                + if self.rate_unknown { UNKNOWN_RATE_GROWTH_PER_SECOND } else { GROWTH_PER_SECOND })
            .powf(dt);
        }
    }
}

#[cfg(test)]
mod tests;
