//! Plain records that the decision module keeps. Nothing is decided here and no value is set.

use crate::api::*;
use crate::curve::Curve;
use crate::fleet::Share;
use std::collections::{BTreeMap, VecDeque};

/// Why and since when a route is not trusted with ordinary traffic.
#[derive(Debug, Clone)]
pub(crate) struct Outage {
    pub(crate) since: Ms,
    /// Calls may have run there and were lost: unsafe messages stay away.
    pub(crate) harmful: bool,
    pub(crate) trying: Option<Ms>,
    /// What shares its limit was shut, not this route alone.
    pub(crate) shut: bool,
    /// All that was seen of it are connections that broke.
    pub(crate) soft: bool,
}

/// A drip of calls for a route that has come back and may be cold.
#[derive(Debug, Clone)]
pub(crate) struct Ramp {
    pub(crate) since: Ms,
    pub(crate) from: f64,
    pub(crate) tokens: Bucket,
}

#[derive(Debug, Default)]
pub(crate) struct Route {
    pub(crate) row: Row,
    /// Since when it is gone from the list.
    pub(crate) gone: Option<Ms>,
    pub(crate) unit: usize,
    pub(crate) samples: Samples,
    pub(crate) window: f64,
    pub(crate) calls: usize,
    pub(crate) fails: f64,
    pub(crate) fails_at: Ms,
    pub(crate) first_fail: Option<Ms>,
    pub(crate) last_good_send: Ms,
    pub(crate) last_used: Ms,
    /// Since when its connections are idle; `None` if none is open.
    pub(crate) idle_since: Option<Ms>,
    /// When it last refused a connection, and how many times in a row.
    pub(crate) refused: Option<Ms>,
    pub(crate) fulls: u32,
    pub(crate) outage: Option<Outage>,
    pub(crate) ramp: Option<Ramp>,
    /// Connections that a ceiling lets it have.
    pub(crate) links: Option<u32>,
}

impl Route {
    pub(crate) fn new(row: Row, unit: usize, window: f64, now: Ms) -> Route {
        let never = Route { last_good_send: f64::MIN, last_used: f64::MIN, ..Route::default() };
        Route { row, unit, window, fails_at: now, ..never }
    }

    /// What the list says of it now.
    pub(crate) fn list(&mut self, now: Ms, row: Row) {
        self.gone = (row.listing == Listing::Gone).then(|| self.gone.unwrap_or(now));
        self.row = row;
    }

    /// Share of failed attempts, faded with the half-life.
    pub(crate) fn fails_now(&self, now: Ms, half: Ms) -> f64 {
        self.fails * (0.5f64).powf((now - self.fails_at) / half)
    }
}

impl Route {
    /// Counts an attempt into the share of failed ones: the newest weighs so much, older ones fade with a
    /// half-life, and under `quiet` the row of failures is over.
    pub(crate) fn note(&mut self, now: Ms, failed: f64, weight: f64, half: Ms, quiet: f64) -> f64 {
        let faded = self.fails_now(now, half);
        self.fails = faded + weight * (failed - faded);
        self.fails_at = now;
        if failed > 0.0 {
            self.first_fail.get_or_insert(now);
        } else {
            self.first_fail = self.first_fail.filter(|_| self.fails > quiet);
        }
        self.fails
    }
}

/// Call times, `(when, took, answered)`, in a bounded, aged ring, and their curve.
#[derive(Debug, Default)]
pub(crate) struct Samples {
    pub(crate) ring: VecDeque<(Ms, Ms, bool)>,
    pub(crate) curve: Curve,
    /// Times by which half, and nearly all, of the answered calls were answered.
    pub(crate) median: Option<Ms>,
    pub(crate) slow: Option<Ms>,
}

impl Samples {
    /// One answered call.
    pub(crate) fn one(took: Ms) -> Samples {
        let mut s = Samples::default();
        s.add(0.0, took, true, 1, 1.0);
        s
    }

    pub(crate) fn add(&mut self, now: Ms, took: Ms, answered: bool, most: usize, age: Ms) {
        self.ring.push_back((now, took, answered));
        while self.ring.len() > most || self.ring.front().is_some_and(|s| s.0 < now - age) {
            self.ring.pop_front();
        }
        let plain: Vec<(Ms, bool)> = self.ring.iter().map(|s| (s.1, s.2)).collect();
        self.curve = Curve::product_limit(&plain);
        (self.median, self.slow) = (self.curve.quantile(0.5), self.curve.quantile(0.95));
    }
}

/// A share that is left and a limit in calls a second that a report can mean; noise may take the share over 1.
const LEFT_MOST: f64 = 2.0;
const LIMIT_MOST: f64 = 1e6;

/// Room that has changed with a call that went out is told within this.
const ROOM_TOLD_WITHIN: Ms = 5.0;

/// What shares one limit: a route apart, or all routes of a destination.
#[derive(Debug, Default)]
pub(crate) struct Unit {
    pub(crate) dest: DestId,
    pub(crate) routes: usize,
    pub(crate) pause_until: Ms,
    /// Calls that a ceiling still lets go, and with none, when it may let go more.
    pub(crate) room: Option<(u32, Ms)>,
    /// Its limit, calls a second from all senders, as last told or listed.
    pub(crate) limit: Option<f64>,
    /// It was told; else it is a guess.
    pub(crate) told: bool,
    /// What this sender takes of it.
    pub(crate) share: Share,
    pub(crate) next_trial: Ms,
    pub(crate) pace: Option<f64>,
    pub(crate) tokens: Bucket,
    pub(crate) good: Accepted,
    pub(crate) rounds: u32,
    pub(crate) cut_at: Ms,
    /// When the newest call that was answered had been sent.
    pub(crate) last_good_send: Ms,
}

impl Unit {
    pub(crate) fn new(dest: DestId, now: Ms) -> Unit {
        let good = Accepted::since(now);
        Unit { dest, good, pause_until: f64::MIN, last_good_send: f64::MIN, ..Unit::default() }
    }

    /// Until then nothing may be sent: a told wait, or a ceiling.
    pub(crate) fn shut_until(&self) -> Ms {
        let ceiling = self.room.filter(|r| r.0 == 0).map_or(f64::MIN, |r| r.1);
        self.pause_until.max(ceiling)
    }

    /// Calls that a route's window and its ceiling let be out at once.
    pub(crate) fn most_out(r: &Route) -> usize {
        (r.window as usize).min(r.links.map_or(usize::MAX, |l| l as usize))
    }

    /// A call goes out. When room was told may be long ago: with none left, more is told before it is guessed.
    pub(crate) fn use_room(&mut self, now: Ms) {
        let again = |again: Ms| again.max(now + ROOM_TOLD_WITHIN);
        self.room = self.room.map(|(calls, at)| (calls.saturating_sub(1), again(at)));
    }

    /// How long until the next call may go, and the time between those behind it.
    pub(crate) fn paced(&self, senders: usize) -> (Ms, Ms) {
        match (self.limit, self.pace) {
            (Some(limit), _) => {
                let gap = 1000.0 / self.share.rate(limit, senders).max(f64::MIN_POSITIVE);
                (self.share.wait(limit, senders), gap)
            }
            (None, Some(pace)) => ((1.0 - self.tokens.level) * 1000.0 / pace, 1000.0 / pace),
            (None, None) => (0.0, 0.0),
        }
    }

    /// A call was turned away: the share of what shares a limit shrinks.
    pub(crate) fn hold_back(&mut self, now: Ms, wait: Ms, senders: usize, draw: f64) {
        match self.limit.filter(|_| self.told) {
            Some(limit) => self.share.refused(now, wait, limit, senders, draw),
            // It never met the limit, and what that is was only a guess.
            None => self.share.give_back(),
        }
    }

    /// Takes in what was told of the limit; 0 says that there is none but the capacity.
    pub(crate) fn hear(&mut self, report: &Report, outcome: Outcome) {
        // What cannot be meant reaches no estimate.
        let left = report.left.filter(|l| (0.0..=LEFT_MOST).contains(l));
        let limit = report.limit.filter(|l| (0.0..=LIMIT_MOST).contains(l));
        if let (Outcome::Delivered, Some(left)) = (outcome, left) {
            self.share.taken(left);
        }
        if let Some(limit) = limit {
            self.told = true;
            self.limit = Some(limit).filter(|l| *l > 0.0);
        }
    }
}

/// Times of accepted calls since a start, the newest last.
#[derive(Debug, Default)]
pub(crate) struct Accepted {
    since: Ms,
    times: VecDeque<Ms>,
    /// The best rate seen, fading.
    pub(crate) best: f64,
}

impl Accepted {
    pub(crate) fn since(since: Ms) -> Accepted {
        Accepted { since, ..Accepted::default() }
    }

    pub(crate) fn add(&mut self, now: Ms, span: Ms, least: usize, half: Ms) {
        let last = self.times.back().copied().unwrap_or(now);
        self.times.push_back(now);
        if self.times.len() > 256 {
            self.times.pop_front();
        }
        self.best = (self.best * (0.5f64).powf((now - last) / half)).max(self.rate(now, span, least));
    }

    /// Calls a second over the span, stretched until it holds `least` calls, or back to the start.
    pub(crate) fn rate(&self, now: Ms, span: Ms, least: usize) -> f64 {
        let recent = self.times.iter().rev().take_while(|t| **t >= now - span).count();
        let (calls, over) = match self.times.len().checked_sub(least) {
            _ if recent >= least => (recent, span),
            Some(first) => (least, now - self.times[first]),
            None => (self.times.len(), (now - self.since).max(least as f64 * span)),
        };
        calls as f64 * 1000.0 / over.max(span)
    }
}

/// When to send, on which route if one is chosen, and whether as a trial.
pub(crate) type Plan = (Ms, Option<RouteId>, bool);

#[derive(Debug)]
pub(crate) struct Flight {
    pub(crate) attempt: u32,
    pub(crate) route: RouteId,
    pub(crate) call: u64,
    pub(crate) sent: Ms,
    pub(crate) watchdog: bool,
}

#[derive(Debug, Default)]
pub(crate) struct Held {
    pub(crate) m: Message,
    pub(crate) attempts: u32,
    pub(crate) flight: Option<Flight>,
    /// Send time and zone of the first attempt that may have run.
    pub(crate) ran: Option<(Ms, usize)>,
    pub(crate) failed_over: bool,
    pub(crate) cancelled: bool,
    pub(crate) avoid: Option<RouteId>,
    pub(crate) not_before: Ms,
    pub(crate) arrived: Ms,
    /// From when its age counts.
    pub(crate) born: Ms,
    pub(crate) share: f64,
    pub(crate) over: bool,
}

#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) route: RouteId,
    pub(crate) dest: DestId,
    pub(crate) left: usize,
    pub(crate) sent: Ms,
    pub(crate) heard: bool,
    /// How long its connection had been idle; `None` for a new one or one in use.
    pub(crate) idle: Option<Ms>,
}

/// Messages that came, by destination, since the first event.
#[derive(Debug, Default)]
pub(crate) struct Wanted {
    pub(crate) since: Option<Ms>,
    all: u32,
    by_dest: BTreeMap<DestId, u32>,
}

impl Wanted {
    pub(crate) fn add(&mut self, dest: DestId) {
        self.all += 1;
        *self.by_dest.entry(dest).or_default() += 1;
    }

    /// Forgets all other destinations.
    pub(crate) fn keep(&mut self, listed: impl Fn(&DestId) -> bool) {
        self.by_dest.retain(|dest, _| listed(dest));
    }

    /// Messages a second for a destination of `dests`; few are drawn toward the mean by a weight in messages.
    pub(crate) fn rate(&self, now: Ms, dest: DestId, dests: usize, weight: f64) -> f64 {
        let span = (now - self.since.unwrap_or(now)).max(1_000.0) / 1000.0;
        let mean = f64::from(self.all) / span / dests.max(1) as f64;
        let own = self.by_dest.get(&dest).copied().map_or(0.0, f64::from);
        (own + weight) / (span + weight / mean.max(1e-6))
    }
}

/// What is known of idle connections.
#[derive(Debug, Default)]
pub(crate) struct Links {
    /// By kind of destination: when a connection was last refused there.
    pub(crate) refused: BTreeMap<usize, Ms>,
    /// Share of failed calls on connections that had been idle, and on others.
    pub(crate) idle_fails: f64,
    pub(crate) other_fails: f64,
    /// When an idle connection last failed, and the shortest rest after which one did.
    pub(crate) reaped: Option<(Ms, Ms)>,
}

impl Links {
    /// Counts a call; returns the shares of failed ones on connections that had been idle, and on others.
    pub(crate) fn count(&mut self, idle: bool, failed: f64, weight: f64) -> (f64, f64) {
        let share = if idle { &mut self.idle_fails } else { &mut self.other_fails };
        *share += weight * (failed - *share);
        (self.idle_fails, self.other_fails)
    }

    /// The shortest rest after which a connection was lost in the last `memory`.
    pub(crate) fn lost_after(&self, now: Ms, memory: Ms) -> Ms {
        self.reaped.filter(|l| now - l.0 < memory).map_or(f64::MAX, |l| l.1)
    }
}

/// Messages of each key in the order in which they came, and until when the key rests; and until when all of them do.
#[derive(Debug, Default)]
pub(crate) struct Keys(BTreeMap<u64, (VecDeque<MsgId>, Ms)>, usize, Option<Ms>);

const KEYS_LEAST: usize = 32;

impl Keys {
    pub(crate) fn enter(&mut self, now: Ms, key: u64, id: MsgId) {
        // Most keys are never seen again; they are cleared out whenever their number has doubled.
        if self.0.len() >= self.1 {
            self.0.retain(|_, k| !k.0.is_empty() || k.1 > now);
            self.1 = 2 * self.0.len().max(KEYS_LEAST);
        }
        self.0.entry(key).or_insert((VecDeque::new(), f64::MIN)).0.push_back(id);
    }

    pub(crate) fn leave(&mut self, key: u64, id: MsgId) {
        self.0.entry(key).and_modify(|k| k.0.retain(|x| *x != id));
    }

    pub(crate) fn rest(&mut self, key: u64, until: Ms) {
        self.0.entry(key).and_modify(|k| k.1 = until);
    }

    pub(crate) fn rest_all(&mut self, until: Ms) {
        self.2 = Some(until);
    }

    /// Whose turn it is, and the end of the rest.
    pub(crate) fn turn(&self, key: u64) -> Option<(Option<MsgId>, Ms)> {
        self.0.get(&key).map(|k| (k.0.front().copied(), self.2.map_or(k.1, |all| all.max(k.1))))
    }
}

/// An amount that grows with time up to a bound.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Bucket {
    pub(crate) level: f64,
    pub(crate) at: Ms,
}

impl Bucket {
    pub(crate) fn fill(&mut self, now: Ms, per_s: f64, most: f64) {
        self.level = (self.level + (now - self.at).max(0.0) * per_s / 1000.0).min(most);
        self.at = now;
    }

    /// Takes the amount if it is there.
    pub(crate) fn take(&mut self, amount: f64) -> bool {
        let enough = self.level >= amount;
        if enough {
            self.level -= amount;
        }
        enough
    }
}

/// A seeded sequence of numbers (xorshift).
#[derive(Debug, Default)]
pub(crate) struct Random(u64);

impl Random {
    pub(crate) fn new(seed: u64) -> Random {
        Random((seed ^ 0x9E37_79B9_7F4A_7C15).max(1))
    }

    /// The next one, between two bounds.
    pub(crate) fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.next()
    }

    /// The next one, from 0 up to 1.
    pub(crate) fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 % 1024) as f64 / 1024.0
    }
}
