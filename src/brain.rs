//! All decisions; the interface is `src/api.rs`. Ordinary path, after Živković and van den Berg: the first
//! route has the best plain-waiting payoff, and a watchdog θ cuts it for one fail-over (`docs/design.md`).

use crate::api::*;
use crate::curve::Curve;
use crate::fleet::{self, Share, LINK_GAP, LINK_LEAST, LINK_MEMORY, LINK_SLACK, LINK_WEIGHT};
use crate::state::*;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
mod adopt;
// Samples and payoffs. A ring of aged samples learns a lasting shift within one turn.
const RING: usize = 32; // samples a route
const SAMPLE_AGE: Ms = 20_000.0; // older samples say nothing of now
const OWN_SAMPLES: usize = 2; // of a route; with fewer, all calls of this sender stand in
const THETA_SAMPLES: usize = 8; // of the first route; with fewer its curve has steps where there are none
const FIRST_GUESS: Ms = 300.0; // call time before any sample
const CLEAR_GAIN: f64 = 0.005; // share of payoff by which a watchdog or a route must win

// Retry budget, in retries.
const RETRY_EARN: f64 = 0.2; // for each first attempt
const RETRY_START: f64 = 5.0;
const RETRY_MOST: f64 = 15.0;
const RETRY_DRIP: f64 = 0.5; // a second, so that a lone message is not stranded
const NOT_SENT_REST: Ms = 20.0; // for a message that came back unsent: the count of slots was off

// Windows and waits; shares and paces are in `src/fleet.rs`.
const WINDOW_START: f64 = 2.0; // calls
const REST_FIRST: Ms = 200.0; // after a refusal that told no wait; doubled with each round
const REST_MOST: Ms = 2_000.0;
const REFUSED_AGE: Ms = 1_000.0; // a crowd at a limit is taken to have gathered so long at the first refusal

// Failures, hangs, outages and returns.
const FAIL_WEIGHT: f64 = 0.3; // of the newest attempt in a route's share of failures
const FAIL_HALF: Ms = 3_000.0; // half-life of that share
const FAIL_RESET: f64 = 0.7; // of a failure that a connection which broke counts as
const FAIL_OUT: f64 = 0.5; // the route is out
const FAIL_UNSAFE: f64 = 0.2; // unsafe messages stay away
const SHUT_ROUNDS: u32 = 4; // of refusals without a success: shut
const HANG_LEAST: Ms = 600.0; // a call is overdue after this,
const HANG_TIMES: f64 = 3.0; // and so many times its route's slow calls;
const HANG_UNSAFE: f64 = 2.0; // so many times that for an unsafe message: called off, it is lost
const SLOTS_SPARE: usize = 4; // one slot of so many is kept free: else overdue calls give theirs up
const OUTAGE_AGE: Ms = 3_000.0; // an outage is taken to have lasted so long when it is first seen
const TRIAL_GAP: Ms = 500.0; // between trials of a route that is out, at least
const RAMP_SHARE: f64 = 0.7; // part of the allowed overload that a returning route is given
const CROWD_GAP: f64 = 3.0; // times the span in which a crowd gathered at a limit, over which it is spread
const CROWD_PART: f64 = 0.7; // of what a cold destination may be sent is left to trials
const CROWD_LEAST: f64 = 1.0; // calls a second, all senders together, that any destination is taken to get
const DEMAND_PRIOR: f64 = 0.5; // messages by which a destination's count is drawn toward the mean

// The list, room and order.
const WATCH_GAP: Ms = 500.0; // between two askings for the list after a failure, doubled each time
const WATCH_GAP_MOST: Ms = 8_000.0;
const ROOM_SHARE: f64 = 0.9; // of the room is filled before messages are handed back
const GATHER: f64 = 0.1; // of the promise a message may wait for company in one call
const PLANS_AHEAD: usize = 6; // messages of a destination that are planned while they cannot go yet
const RANK_AHEAD: f64 = 0.5; // of the promise: delay by which the stake of a message is judged
const RANK_WORTH: f64 = 0.1; // part of plain worth in its rank
const RANK_CALL: Ms = 50.0; // time that any call takes beside its own, when slots are shared out

/// The watchdog θ that maximises E1→2 over (0, d); `None`: none beats waiting. Both curves are steps, so
/// it lies on a step of the first, or on a place where the payoff falls (`bends`) minus one of the second.
pub fn watchdog(first: &Curve, second: &Curve, bends: &[Ms], worth: impl Fn(Ms) -> f64) -> Option<Ms> {
    let plain = first.payoff(&worth);
    let last = bends.iter().copied().fold(0.0, f64::max);
    let value = |theta: Ms| {
        let before: f64 = first.steps.iter().take_while(|s| s.0 <= theta).map(|s| s.1 * worth(s.0)).sum();
        before + first.survival(theta) * second.payoff(|t| worth(theta + t))
    };
    let firsts = first.steps.iter().map(|s| s.0 + 1.0);
    let seconds = bends.iter().flat_map(|b| second.steps.iter().map(move |s| b - s.0));
    let mut best: Option<(f64, Ms)> = None;
    for theta in firsts.chain(seconds).filter(|t| *t > 0.0 && *t < last) {
        let v = value(theta);
        let better = best.map_or(v > plain * (1.0 + CLEAR_GAIN) + 1e-9, |(w, at)| {
            v > w + 1e-9 || (v > w - 1e-9 && theta > at)
        });
        if better {
            best = Some((v, theta));
        }
    }
    best.map(|b| b.1)
}

/// One sender's decisions. Give it each batch of events with [`Brain::step`].
#[derive(Debug, Default)]
pub struct Brain {
    s: Settings,
    random: Random,
    routes: BTreeMap<RouteId, Route>,
    dests: BTreeMap<DestId, Vec<RouteId>>,
    units: Vec<Unit>,
    unit_of: BTreeMap<(DestId, Option<RouteId>), usize>,
    free_units: Vec<usize>,
    held: BTreeMap<MsgId, Held>,
    keys: Keys,
    calls: BTreeMap<u64, Call>,
    open: BTreeMap<RouteId, u64>,
    next_call: u64,
    retry: Bucket,
    seen: Samples,
    guess: Samples,
    mean_worth: f64,
    wanted: Wanted,
    links: Links,
    done: BTreeSet<RouteId>,
    quota: Vec<Bucket>,
    watch_at: Option<Ms>,
    watch_gap: Ms,
    wake: Cell<Ms>,
    armed: Option<Ms>,
    /// Keys of messages that were ended here, whose clients have not heard of it.
    owed: BTreeMap<MsgId, u64>,
    closing: Option<Ms>,
}

impl Brain {
    /// A sender that knows its settings and nothing else yet.
    pub fn new(s: Settings) -> Brain {
        let mean = s.classes.iter().map(|c| c.worth).sum::<f64>() / s.classes.len().max(1) as f64;
        Brain {
            random: Random::new(s.seed),
            quota: vec![Bucket::default(); s.tenant_quota.len()],
            watch_at: s.list_on_request.then_some(f64::MIN),
            watch_gap: WATCH_GAP,
            retry: Bucket { level: RETRY_START, at: f64::MAX },
            mean_worth: mean,
            guess: Samples::one(FIRST_GUESS),
            s,
            ..Brain::default()
        }
    }

    /// Takes the events of one batch and appends what is to be done.
    pub fn step(&mut self, now: Ms, events: &[Event], out: &mut Vec<Action>) {
        self.wake.set(f64::MAX);
        self.open.clear();
        self.wanted.since.get_or_insert(now);
        self.retry.fill(now, RETRY_DRIP, RETRY_MOST);
        for e in events {
            self.take(now, e, out);
        }
        self.ask_for_list(now, out);
        self.spot_hangs(now, out);
        self.expire(now, out);
        self.make_room(now, out);
        self.dispatch(now, out);
        self.probe(now, out);
        self.close_idle(now, out);
        let wake = self.wake.get();
        if wake < f64::MAX && self.armed.is_none_or(|a| wake < a - 0.5) {
            let at = wake.max(now + self.s.round);
            out.push(Action::Timer { at, token: 0 });
            self.armed = Some(at);
        }
    }

    fn wake_at(&self, t: Ms) {
        self.wake.set(self.wake.get().min(t));
    }

    fn take(&mut self, now: Ms, e: &Event, out: &mut Vec<Action>) {
        match e {
            Event::List { rows, whole, cached } => self.list(now, rows, *whole, *cached),
            Event::ListFailed => {
                let again = now + self.watch_gap * self.random.between(0.85, 1.15);
                self.watch_at = self.s.list_on_request.then_some(again);
                self.watch_gap = (self.watch_gap * 2.0).min(WATCH_GAP_MOST);
            }
            Event::Arrived(m) => self.arrived(now, m, out),
            Event::Restarted => {
                self.keys.rest_all(now + self.s.key_quiet);
                self.units.iter_mut().for_each(|u| u.share = Share::begin(true, self.random.next()));
            }
            Event::Resumed(r) => self.resumed(now, r, out),
            Event::Heard(id) => {
                self.owed.remove(id).into_iter().for_each(|k| self.keys.leave(k, *id));
            }
            Event::Closing(at) => self.closing = Some(*at),
            Event::Ended(e) => self.ended(now, e, out),
            Event::Probed { route, outcome, report, .. } => self.probed(now, *route, *outcome, report),
            Event::Room { route, calls, again, links } => {
                let Some(r) = self.routes.get_mut(route) else { return };
                r.links = Some(*links).filter(|l| *l < u32::MAX);
                self.units[r.unit].room = Some((*calls, *again)).filter(|c| c.0 < u32::MAX);
            }
            Event::ClientGone(id) => self.end(*id),
            Event::Timer(_) => self.armed = self.armed.filter(|a| *a > now + 0.5),
        }
    }

    /// Subscribes at the start and again whenever the subscription may be gone.
    fn ask_for_list(&mut self, now: Ms, out: &mut Vec<Action>) {
        if let Some(at) = self.watch_at {
            if at <= now {
                out.push(Action::Watch);
                // Unanswered, it is asked for once more within the span that the rules allow.
                self.watch_at = Some(now + self.s.ask_within.max(WATCH_GAP_MOST));
            }
            self.watch_at.iter().for_each(|t| self.wake_at(*t));
        }
    }

    fn list(&mut self, now: Ms, rows: &[Row], whole: bool, cached: bool) {
        if !cached {
            self.watch_at = None;
            self.watch_gap = WATCH_GAP;
        }
        if whole {
            self.routes
                .values_mut()
                .for_each(|r| r.list(now, Row { listing: Listing::Gone, ..r.row.clone() }));
        }
        for row in rows {
            if let Some(r) = self.routes.get_mut(&row.route) {
                r.list(now, row.clone());
                continue;
            }
            let apart = self.s.kind(row.kind).apart;
            let (units, free) = (&mut self.units, &mut self.free_units);
            let unit = *self.unit_of.entry((row.dest, apart.then_some(row.route))).or_insert_with(|| {
                free.pop().unwrap_or_else(|| {
                    units.push(Unit::default());
                    units.len() - 1
                })
            });
            if units[unit].routes == 0 {
                units[unit] = Unit::new(row.dest, now);
                // Who has messages waiting for it is not the only one.
                let waited = self.held.values().any(|h| h.m.dest == row.dest);
                units[unit].share = Share::begin(waited, self.random.next());
            }
            units[unit].routes += 1;
            if self.s.weights != Weights::None && row.weight > 0.0 {
                (self.units[unit].limit, self.units[unit].told) = (Some(row.weight), true);
            }
            self.dests.entry(row.dest).or_default().push(row.route);
            self.routes.insert(row.route, Route::new(row.clone(), unit, WINDOW_START, now));
        }
        self.prune(now);
    }

    /// Guards against growth where ids are new each time: a route gone for long is forgotten with all that
    /// was its own, and so is a destination without routes.
    fn prune(&mut self, now: Ms) {
        let over = |r: &Route| r.calls == 0 && r.gone.is_some_and(|t| now - t >= GONE_KEPT);
        let due: Vec<RouteId> = self.routes.iter().filter(|(_, r)| over(r)).map(|(id, _)| *id).collect();
        for id in due {
            let Some(r) = self.routes.remove(&id) else { continue };
            self.dests.entry(r.row.dest).and_modify(|ids| ids.retain(|x| *x != id));
            self.units[r.unit].routes -= 1;
            if self.units[r.unit].routes == 0 {
                self.unit_of.retain(|_, u| *u != r.unit);
                self.free_units.push(r.unit);
            }
        }
        self.dests.retain(|_, ids| !ids.is_empty());
        self.wanted.keep(|dest| self.dests.contains_key(dest));
    }

    fn arrived(&mut self, now: Ms, m: &Message, out: &mut Vec<Action>) {
        if self.held.contains_key(&m.id) {
            return;
        }
        let Some(class) = self.s.classes.get(m.class) else {
            return out.push(Action::Fail(m.id));
        };
        if self.dests.contains_key(&m.dest) {
            self.wanted.add(m.dest);
        }
        self.mean_worth += 0.01 * (class.worth - self.mean_worth);
        if let Some(k) = m.key.filter(|_| class.in_order) {
            self.keys.enter(now, k, m.id);
        }
        let born = if self.s.marks_again && !m.again { now } else { m.valid_until - class.deadline };
        let share = self.tenant_share(now, m.tenant);
        let fresh = Held { m: m.clone(), arrived: now, born, share, ..Held::default() };
        self.held.insert(m.id, Held { not_before: now, ..fresh });
    }

    /// Guards against a restart that forgets what may have run: such a message keeps its attempts and its
    /// group, its key rests, and one whose end was decided holds its key until that has been heard.
    fn resumed(&mut self, now: Ms, r: &Resumed, out: &mut Vec<Action>) {
        let (id, key) = (r.message.id, r.message.key);
        if !r.ended {
            self.arrived(now, &r.message, out);
            self.held.entry(id).and_modify(|h| (h.attempts, h.ran) = (r.attempts, r.ran));
        } else if let Some(k) = key {
            self.keys.enter(now, k, id);
            self.owed.insert(id, k);
        }
    }

    /// What a message beyond its tenant's quota is worth; each sender counts on an even part of the quota.
    fn tenant_share(&mut self, now: Ms, tenant: Option<usize>) -> f64 {
        let Some(t) = tenant.filter(|t| *t < self.quota.len()) else { return 1.0 };
        let rate = self.s.tenant_quota[t] / self.s.senders as f64;
        self.quota[t].fill(now, rate, (2.0 * rate).max(1.0));
        if self.quota[t].take(1.0) {
            1.0
        } else {
            self.s.over_share_worth
        }
    }

    /// Messages without an attempt out.
    fn waiting(&self) -> impl Iterator<Item = (&MsgId, &Held)> {
        self.held.iter().filter(|(_, h)| h.flight.is_none() && !h.over)
    }

    /// Messages waiting for each destination that any wait for.
    fn queues(&self) -> BTreeMap<DestId, usize> {
        let mut queues = BTreeMap::new();
        self.waiting().for_each(|(_, h)| *queues.entry(h.m.dest).or_default() += 1);
        queues
    }

    fn class(&self, h: &Held) -> &Class {
        &self.s.classes[h.m.class]
    }

    /// Worth of a delivery at time `t`: the paper's step is the case without promise and late worth. Age
    /// counts from the first hand-in; a fresh message may have little time left all the same.
    fn worth(&self, h: &Held, t: Ms) -> f64 {
        let age = if t > h.m.valid_until { f64::MAX } else { t - h.born };
        h.share * self.s.worth(h.m.class, h.m.work, age)
    }

    /// Nothing is sent for the message any more; its record stays while an attempt is out.
    fn end(&mut self, id: MsgId) {
        if let Some(h) = self.held.get_mut(&id) {
            h.over = true;
            if h.flight.is_none() {
                self.forget(id);
            }
        }
    }

    fn forget(&mut self, id: MsgId) {
        let key = self.held.remove(&id).and_then(|h| h.m.key);
        key.into_iter().filter(|_| !self.owed.contains_key(&id)).for_each(|k| self.keys.leave(k, id));
    }

    /// Gives a message up at once: handed back, with advice, where repeating is harmless.
    fn give_up(&mut self, now: Ms, id: MsgId, out: &mut Vec<Action>) {
        let Some(h) = self.held.get(&id) else { return };
        let harmless = match self.class(h).effect {
            Effect::Safe => true,
            Effect::Keyed { by_zone } => h.ran.is_none() || !by_zone,
            Effect::Unsafe => h.ran.is_none(),
        };
        if harmless {
            let retry_in = (self.next_chance(now, h) - now).clamp(0.0, self.s.max_advice);
            out.push(Action::Deny { id, retry_in });
        } else {
            out.push(Action::Fail(id));
        }
        if let Some(k) = h.m.key.filter(|_| self.s.ends_confirmed) {
            self.owed.insert(id, k);
        }
        self.end(id);
    }

    /// When its destination is next expected to take a message.
    fn next_chance(&self, now: Ms, h: &Held) -> Ms {
        let ready = |r: &Route, u: &Unit| r.outage.as_ref().map_or(now, |_| u.next_trial).max(u.shut_until());
        self.routes_to(h).map(|r| ready(r, &self.units[r.unit])).fold(f64::MAX, f64::min)
    }

    /// Last moment at which a send makes sense: its time, or the end of the span that drops repeats.
    fn last_send(&self, h: &Held) -> Ms {
        let c = self.class(h);
        let until = h.m.valid_until - 2.0 * self.s.round;
        match (c.effect, h.ran) {
            (Effect::Keyed { .. }, Some((sent, _))) => until.min(sent + c.window - 2.0 * self.s.round),
            (Effect::Unsafe, Some(_)) => f64::MIN,
            _ => until,
        }
    }

    fn expire(&mut self, now: Ms, out: &mut Vec<Action>) {
        let mut due = Vec::new();
        for (id, h) in self.waiting() {
            let last = self.last_send(h);
            // A destination whose routes are all replaced, or a stale list, has no route for a while.
            let patience = if self.routes_to(h).next().is_some() { f64::MAX } else { self.class(h).promise };
            let last = last.min(h.arrived + patience);
            // Nothing can go there while there is time: the client hears of it at once, not at the end.
            let hopeless = patience == f64::MAX && self.next_chance(now, h) > last;
            if last <= now || hopeless || h.attempts >= self.s.most_attempts {
                due.push(*id);
            } else {
                self.wake_at(last);
            }
        }
        for id in due {
            self.give_up(now, id, out);
        }
    }

    /// Guards against one destination's backlog filling the room and shutting out messages for all others:
    /// near the limit, the longest queue hands back what a delay costs least. May harm a queue that was
    /// about to drain.
    fn make_room(&mut self, now: Ms, out: &mut Vec<Action>) {
        let most = (self.s.max_held as f64 * ROOM_SHARE) as usize;
        while self.held.len() > most.max(self.s.slots) {
            let Some((dest, _)) = self.queues().into_iter().max_by_key(|q| q.1) else { return };
            let order = self.ranked(now);
            let Some(id) = order.into_iter().rfind(|id| self.held[id].m.dest == dest) else { return };
            self.give_up(now, id, out);
        }
    }

    fn ended(&mut self, now: Ms, e: &Ended, out: &mut Vec<Action>) {
        if let Some(r) = self.routes.get(&e.route) {
            let u = &mut self.units[r.unit];
            if e.wait > 0.0 {
                u.pause_until = u.pause_until.max(now + e.wait + 2.0 * self.s.round);
            }
            u.hear(&e.report, e.outcome);
        }
        let Some(h) = self.held.get_mut(&e.id) else { return };
        let Some(flight) = h.flight.take_if(|f| f.attempt == e.attempt) else { return };
        let zone = self.routes.get(&e.route).map_or(0, |r| r.row.zone);
        if !e.outcome.never_ran() {
            h.ran.get_or_insert((flight.sent, zone));
        }
        if e.unspent {
            h.attempts = flight.attempt;
            let earned = if h.attempts == 0 { RETRY_EARN } else { 0.0 };
            self.retry.level -= earned;
        }
        h.over |= e.over;
        h.avoid = Some(e.route);
        h.not_before = if e.outcome == Outcome::NotSent { now + NOT_SENT_REST } else { now };
        let (over, key) = (h.over, h.m.key);
        if matches!(e.outcome, Outcome::Late | Outcome::Reset | Outcome::Cancelled) {
            key.into_iter().for_each(|k| self.keys.rest(k, now + self.s.key_quiet));
        }
        let idle = self.calls.get(&flight.call).and_then(|c| c.idle);
        if self.close_call(now, flight.call) {
            let door = fleet::at_the_door(self.s.reports, idle.is_none(), e);
            self.learn_link(now, &flight, idle, e, door);
            self.learn(now, &flight, e, door);
        }
        if over {
            self.forget(e.id);
        } else if !e.outcome.never_ran() {
            self.after_run(now, e, &flight, out);
        }
    }

    /// What follows an attempt that may have run: further attempts out of the retry budget, or the end. An
    /// empty budget delays them, so that failures set off no storm. While an endpoint may not know of the end, none follows.
    fn after_run(&mut self, now: Ms, e: &Ended, flight: &Flight, out: &mut Vec<Action>) {
        if self.last_send(&self.held[&e.id]) <= now + e.rest {
            return self.give_up(now, e.id, out);
        }
        self.retry.level -= 1.0;
        let drip = (-self.retry.level).max(0.0) * 1000.0 / RETRY_DRIP;
        let not_before = now + drip.max(e.rest);
        self.held.entry(e.id).and_modify(|h| {
            h.failed_over |= flight.watchdog || h.cancelled;
            (h.cancelled, h.not_before) = (false, not_before);
        });
    }

    /// One outcome of a call less to come; true for the first one, which speaks for the whole call.
    fn close_call(&mut self, now: Ms, call: u64) -> bool {
        let Some(c) = self.calls.get_mut(&call) else { return false };
        let first = !std::mem::replace(&mut c.heard, true);
        c.left -= 1;
        if c.left == 0 {
            self.routes.entry(c.route).and_modify(|r| {
                r.calls -= 1;
                r.idle_since = Some(now);
            });
            self.done.insert(c.route);
            self.calls.remove(&call);
        }
        first
    }

    fn learn(&mut self, now: Ms, f: &Flight, e: &Ended, door: bool) {
        if let Some(o) = self.routes.get_mut(&f.route).and_then(|r| r.outage.as_mut()) {
            o.trying = None;
        }
        match e.outcome {
            Outcome::Delivered => self.success(now, f.route, f.sent, e.took),
            Outcome::Cancelled => self.sample(now, f.route, e.took, false),
            Outcome::Late if f.watchdog => self.sample(now, f.route, e.took, false),
            Outcome::NotSent => {}
            Outcome::Refused if door && self.full_table(now, f.route) => {}
            Outcome::Refused => {
                self.sample(now, f.route, f64::INFINITY, false);
                let met = e.report.limit.is_some_and(|l| l > 0.0);
                self.refused(now, f.route, f.sent, e.wait, met);
            }
            Outcome::Error | Outcome::Reset | Outcome::Late | Outcome::NoConnection => {
                self.sample(now, f.route, f64::INFINITY, false);
                if e.outcome == Outcome::Late {
                    self.halve(f.route);
                }
                self.failed(now, f.route, e.outcome);
            }
        }
    }

    /// Calls on connections that had been idle fail more often than others: idle ones are dropped unseen. One
    /// that broke within its answer was not dropped.
    fn learn_link(&mut self, now: Ms, f: &Flight, idle: Option<Ms>, e: &Ended, door: bool) {
        let Some(r) = self.routes.get_mut(&f.route) else { return };
        r.refused = Some(now).filter(|_| door || e.outcome == Outcome::NoConnection).or(r.refused);
        // Where refusals tell a full table, a connection that was refused tells an outage.
        if door || e.outcome == Outcome::NoConnection && !self.s.reports {
            let kind = r.row.kind;
            self.links.refused.insert(kind, now);
            let idle = self.routes.iter().filter(|(_, r)| r.row.kind == kind && r.idle_since.is_some());
            self.done.extend(idle.map(|r| *r.0));
        }
        let Some(failed) = fleet::on_a_link(e, f.watchdog) else { return };
        let (on_idle, on_others) = self.links.count(idle.is_some(), failed, LINK_WEIGHT);
        if let Some(rest) = idle.filter(|_| failed > 0.0 && on_idle > on_others + LINK_GAP) {
            let shortest = self.links.lost_after(now, LINK_MEMORY).min(rest);
            self.links.reaped = Some((now, shortest));
        }
    }

    /// Closes the idle connections of the routes that were used, where they are in the way of others.
    fn close_idle(&mut self, now: Ms, out: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.done) {
            let Some(r) = self.routes.get_mut(&id).filter(|r| r.calls == 0) else { continue };
            let kind = self.links.refused.get(&r.row.kind).copied();
            if !fleet::keeps_idle(now, self.s.senders, r.refused, kind) {
                r.idle_since = None;
                out.push(Action::CloseIdle(id));
            }
        }
    }

    /// Guards against taking a full table of connections for a limit or an outage. False: it is as if shut.
    fn full_table(&mut self, now: Ms, route: RouteId) -> bool {
        let draw = self.random.next();
        let Some(r) = self.routes.get(&route).filter(|r| r.fulls < fleet::FULL_ROUNDS) else { return false };
        let until = now + fleet::door_rest(self.typical(r), r.fulls, REST_MOST, draw);
        self.sample(now, route, f64::INFINITY, false);
        let Some(r) = self.routes.get_mut(&route) else { return false };
        r.fulls += 1;
        let u = &mut self.units[r.unit];
        u.pause_until = u.pause_until.max(until);
        u.hold_back(now, until - now, self.s.senders, draw);
        true
    }

    fn halve(&mut self, route: RouteId) {
        self.routes.entry(route).and_modify(|r| r.window = (r.window / 2.0).max(1.0));
    }

    fn sample(&mut self, now: Ms, route: RouteId, took: Ms, answered: bool) {
        self.routes.entry(route).and_modify(|r| r.samples.add(now, took, answered, RING, SAMPLE_AGE));
        if answered {
            self.seen.add(now, took, answered, RING, SAMPLE_AGE);
        }
    }

    fn success(&mut self, now: Ms, route: RouteId, sent: Ms, took: Ms) {
        let most = self.s.slots as f64 * 0.75;
        if let Some(r) = self.routes.get_mut(&route) {
            let most = if r.fails > FAIL_UNSAFE { most.min(self.s.slots as f64 / 2.0) } else { most };
            r.window = (r.window + 1.0).min(most.max(1.0));
            (r.last_good_send, r.fulls) = (r.last_good_send.max(sent), 0);
            let u = &mut self.units[r.unit];
            u.rounds = 0;
            u.last_good_send = u.last_good_send.max(sent);
            fleet::accepted(now, &mut u.good);
        }
        self.sample(now, route, took, true);
        self.note(now, route, 0.0);
        self.recover(now, route);
    }

    /// Share of failed attempts, newest first; fades, so that a route is not shunned for what is long past.
    fn note(&mut self, now: Ms, route: RouteId, failed: f64) -> f64 {
        let r = self.routes.get_mut(&route);
        r.map_or(0.0, |r| r.note(now, failed, FAIL_WEIGHT, FAIL_HALF, FAIL_UNSAFE))
    }

    /// Guards against taking a network that loses connections here and there for routes that are down: a
    /// process that has died refuses the next connection, so a lone reset says little; a row of them counts.
    fn failed(&mut self, now: Ms, route: RouteId, outcome: Outcome) {
        let broke = outcome == Outcome::Reset;
        let fails = self.note(now, route, if broke { FAIL_RESET } else { 1.0 });
        let Some(r) = self.routes.get(&route) else { return };
        // A route that is seldom called is judged by one failure.
        let seldom = !broke && now - self.units[r.unit].last_good_send > FAIL_HALF;
        if seldom || fails >= FAIL_OUT || r.outage.is_some() {
            self.out(now, route, outcome != Outcome::NoConnection, now, broke);
        }
    }

    /// Guards against pushing a shut or failing route: only single trials go there until one succeeds.
    fn out(&mut self, now: Ms, route: RouteId, harmful: bool, not_before: Ms, soft: bool) {
        let Some(r) = self.routes.get(&route) else { return };
        let unit = r.unit;
        let since = r.outage.as_ref().map_or(r.first_fail.unwrap_or(now), |o| o.since);
        let soft = soft && r.outage.as_ref().is_none_or(|o| o.soft);
        let gap = if soft { TRIAL_GAP } else { self.trial_gap(now, unit, since) };
        let next = not_before.max(now + gap);
        let Some(r) = self.routes.get_mut(&route) else { return };
        r.window = (r.window / 2.0).max(1.0);
        r.ramp = r.ramp.take().filter(|_| soft);
        let o = r.outage.get_or_insert(Outage { since, harmful, trying: None, shut: false, soft });
        (o.trying, o.soft) = (None, soft);
        o.harmful |= harmful;
        o.shut |= not_before > now;
        self.units[unit].next_trial = self.units[unit].next_trial.max(next);
        if let Some(ids) = self.dests.get_mut(&r.row.dest) {
            ids.retain(|id| *id != route);
            ids.push(route);
        }
    }

    /// A destination just back may be sent part of its usual rate; the trials of all are part of that.
    fn trial_gap(&mut self, now: Ms, unit: usize, since: Ms) -> Ms {
        let cold = (self.s.overload_factor * self.s.cold_from).clamp(0.05, 1.0);
        let crowd = self.crowd_gap(now, unit, since - OUTAGE_AGE) * self.random.between(0.5, 1.5);
        TRIAL_GAP.max(crowd / (CROWD_PART * cold))
    }

    /// How long a crowd that gathered since then takes, a turn for each at the rate that all send.
    fn crowd_gap(&self, now: Ms, unit: usize, since: Ms) -> Ms {
        let senders = self.s.senders as f64;
        let all = self.units[unit].limit.unwrap_or(senders * self.demand(now, unit));
        ((senders - 1.0) * 1000.0 / all.max(CROWD_LEAST)).min(now - since)
    }

    /// Calls a second that this sender has for what shares a limit, from the messages that came, accepted or
    /// not. Times the number of senders it is the demand of all, in most hours under the capacity.
    fn demand(&self, now: Ms, unit: usize) -> f64 {
        let u = &self.units[unit];
        let rate = self.wanted.rate(now, u.dest, self.dests.len(), DEMAND_PRIOR);
        rate * u.routes as f64 / self.dests[&u.dest].len() as f64
    }

    /// A refusal: over the limit, or shut. The window halves, the pace falls to what was just accepted, and a
    /// told wait, or one guessed by rounds of refusals, is kept by all that share the limit.
    fn refused(&mut self, now: Ms, route: RouteId, sent: Ms, wait: Ms, met: bool) {
        self.halve(route);
        let Some(r) = self.routes.get_mut(&route) else { return };
        let since = *r.first_fail.get_or_insert(now);
        let (unit, known) = (r.unit, r.outage.is_some());
        let rounds = self.units[unit].rounds;
        let rest = (REST_FIRST * f64::from(1u32 << rounds.min(8))).min(REST_MOST);
        let told = if wait > 0.0 { wait } else { rest };
        let (draw, senders) = (self.random.next(), self.s.senders);
        let crowd = self.crowd_gap(now, unit, since - told - REFUSED_AGE);
        let spread = CROWD_GAP * crowd * self.random.next();
        let u = &mut self.units[unit];
        if sent >= u.cut_at {
            u.cut_at = now;
            // Who tells of the limit that was met is not shut.
            u.rounds += u32::from(!met);
            u.hold_back(now, told, senders, draw);
            let pace = fleet::pace_cut(now, &u.good, senders, u.rounds);
            u.pause_until = u.pause_until.max(now + told) + if u.limit.is_some() { 0.0 } else { spread };
            // One call may go when the pause ends, however slow the pace; the pace is for those after it.
            u.tokens.level = (1.0 - pace * (told + spread) / 1000.0).max(0.0);
            u.tokens.at = now;
            u.pace = Some(pace);
        }
        if known || wait > self.s.overload_for || u.rounds >= SHUT_ROUNDS {
            let (until, whole) = (u.pause_until, wait > self.s.overload_for || u.rounds >= SHUT_ROUNDS);
            let shut = self.sharing(route).into_iter().filter(|id| whole || *id == route);
            shut.for_each(|id| self.out(now, id, false, until, false));
        }
    }

    /// A call or probe went through. After an outage the route may be cold: calls drip, from the least share
    /// of its capacity upward, against the demand that this sender sees (its own best rate misled at size).
    fn recover(&mut self, now: Ms, route: RouteId) {
        if self.routes.get(&route).is_some_and(|r| r.outage.is_some()) {
            let shut = |id: &RouteId| self.routes[id].outage.as_ref().is_some_and(|o| o.shut);
            let back = self.sharing(route).into_iter().filter(|id| *id == route || shut(id));
            back.collect::<Vec<_>>().into_iter().for_each(|id| self.ramp_up(now, id));
        }
    }

    /// The routes that share a route's limit: shut and open again they are one, also for senders of whom each
    /// was refused on another of them.
    fn sharing(&self, route: RouteId) -> Vec<RouteId> {
        let Some(r) = self.routes.get(&route) else { return Vec::new() };
        self.dests[&r.row.dest].iter().copied().filter(|id| self.routes[id].unit == r.unit).collect()
    }

    fn ramp_up(&mut self, now: Ms, route: RouteId) {
        let Some(r) = self.routes.get_mut(&route) else { return };
        let Some(o) = r.outage.take() else { return };
        let unit = r.unit;
        r.samples.ring.retain(|s| s.2);
        r.first_fail = None;
        r.fails = r.fails.min(FAIL_OUT / 2.0);
        // Where nothing but connections broke, the route was up all the time and is not cold.
        if o.soft {
            return;
        }
        let from = if now - o.since < self.s.overload_for { 0.5 } else { self.s.cold_from };
        r.ramp = Some(Ramp { since: now, from, tokens: Bucket { level: self.random.next(), at: now } });
        self.units[unit].next_trial = now + self.trial_gap(now, unit, o.since);
    }

    fn probed(&mut self, now: Ms, route: RouteId, outcome: Outcome, report: &Report) {
        let Some(r) = self.routes.get(&route) else { return };
        self.units[r.unit].hear(report, outcome);
        self.done.insert(route);
        if r.outage.is_none() {
            return;
        }
        if outcome == Outcome::Delivered {
            self.recover(now, route);
        } else {
            self.out(now, route, false, now, false);
        }
    }

    /// Guards against calls that are taken and never answered: a call far older than its route's slow ones,
    /// with no later call answered, makes the route untrusted at once, not at the deadline.
    fn spot_hangs(&mut self, now: Ms, out: &mut Vec<Action>) {
        let mut hung = BTreeSet::new();
        for c in self.calls.values() {
            let Some(r) = self.routes.get(&c.route) else { continue };
            // Where a route is out, only its present trial counts: a hung one must not end all trials.
            let counts = r.outage.as_ref().is_none_or(|o| o.trying.is_some_and(|t| c.sent >= t));
            if !counts || r.last_good_send > c.sent {
                continue;
            }
            let at = c.sent + self.hang_span(r);
            if at <= now {
                hung.insert(c.route);
            } else {
                self.wake_at(at);
            }
        }
        for route in hung {
            self.note(now, route, 1.0);
            self.out(now, route, true, now, false);
        }
        if self.s.can_cancel {
            self.cut_hung(now, out);
        }
    }

    /// Guards against calls that hold a slot and will hardly be answered: one overdue by its route's curve
    /// is called off for its one fail-over, and when slots run short whatever its class. May harm a route
    /// that turned slow just now.
    fn cut_hung(&mut self, now: Ms, out: &mut Vec<Action>) {
        let spare = (self.s.slots / SLOTS_SPARE).min(1);
        let short = self.calls.len() + spare >= self.s.slots && self.held.len() > self.calls.len();
        let mut cut = Vec::new();
        for (id, h) in self.held.iter().filter(|(_, h)| !h.over && !h.cancelled) {
            let Some(f) = &h.flight else { continue };
            let Some(r) = self.routes.get(&f.route) else { continue };
            let moves = self.class(h).effect != Effect::Unsafe;
            let patience = if moves { 1.0 } else { HANG_UNSAFE };
            let due = f.sent + patience * self.hang_span(r);
            if now < due {
                self.wake_at(due);
            } else if short || (moves && !h.failed_over && self.retry.level >= 1.0) {
                cut.push((*id, f.attempt));
            }
        }
        for (id, attempt) in cut {
            out.push(Action::Cancel { id, attempt });
            self.held.entry(id).and_modify(|h| h.cancelled = true);
        }
    }

    fn hang_span(&self, r: &Route) -> Ms {
        HANG_LEAST + HANG_TIMES * self.samples(r).slow.unwrap_or(FIRST_GUESS)
    }

    /// Routes that are out are tried by probes where those are allowed, so that no message is risked.
    fn probe(&mut self, now: Ms, out: &mut Vec<Action>) {
        let dests = if self.s.can_probe { self.queues() } else { BTreeMap::new() };
        for id in dests.keys().filter_map(|d| self.dests.get(d)).flatten() {
            let Some(r) = self.routes.get_mut(id).filter(|r| r.row.listing == Listing::Ready) else {
                continue;
            };
            let u = &mut self.units[r.unit];
            let Some(o) = r.outage.as_mut().filter(|o| o.harmful && o.trying.is_none()) else { continue };
            let at = u.next_trial.max(u.shut_until());
            if at <= now {
                o.trying = Some(now);
                u.next_trial = now + TRIAL_GAP;
                out.push(Action::Probe(*id));
            } else {
                self.wake.set(self.wake.get().min(at));
            }
        }
    }

    /// A message that may have run stays with the routes that would drop its repeat.
    fn same_group(&self, h: &Held, zone: usize, r: &Route) -> bool {
        match self.class(h).effect {
            Effect::Safe => true,
            Effect::Keyed { by_zone } => !by_zone || r.row.zone == zone,
            Effect::Unsafe => false,
        }
    }

    /// The listed routes that may take it.
    fn routes_to<'a>(&'a self, h: &'a Held) -> impl Iterator<Item = &'a Route> + 'a {
        let all = self.dests.get(&h.m.dest).into_iter().flatten().map(|id| &self.routes[id]);
        all.filter(|r| r.row.listing == Listing::Ready && h.ran.is_none_or(|(_, z)| self.same_group(h, z, r)))
    }

    /// A route's own calls; where it has few samples, all answered calls of this sender lately.
    fn samples<'a>(&'a self, r: &'a Route) -> &'a Samples {
        let known = |s: &&Samples| s.median.is_some();
        let own = Some(&r.samples).filter(|s| s.ring.len() >= OWN_SAMPLES).filter(known);
        own.or(Some(&self.seen).filter(known)).or(Some(&r.samples).filter(known)).unwrap_or(&self.guess)
    }

    fn curve<'a>(&'a self, r: &'a Route) -> &'a Curve {
        &self.samples(r).curve
    }

    fn typical(&self, r: &Route) -> Ms {
        self.samples(r).median.unwrap_or(FIRST_GUESS)
    }

    /// Calls that a destination may have out: under three quarters of the slots, half of them if one of its
    /// routes is out, so that no destination that hangs holds them all.
    fn dest_room(&self, dest: DestId) -> bool {
        let sick = self.dests[&dest].iter().any(|r| self.routes[r].outage.is_some());
        let slots = self.s.slots;
        let most = if sick { slots / 2 } else { (slots * 3).div_ceil(4).saturating_sub(1) };
        self.calls.values().filter(|c| c.dest == dest).count() < most.max(1)
    }

    fn ramp_rate(&self, now: Ms, r: &Route, ramp: &Ramp) -> f64 {
        let u = &self.units[r.unit];
        let done = ((now - ramp.since) / self.s.cold.max(1.0)).min(1.0);
        let part = ramp.from + (1.0 - ramp.from) * done;
        // Its capacity is the limit or more; where none is told, the demand is taken for what it can do.
        let senders = self.s.senders as f64;
        let usual = u.limit.map_or(self.demand(now, r.unit), |l| l / senders).max(CROWD_LEAST / senders);
        usual * part * self.s.overload_factor * RAMP_SHARE / u.routes.max(1) as f64
    }

    /// When the route can next take a call: pauses, pace, ramp, window and slots of the destination.
    fn ready(&self, now: Ms, r: &Route, ahead: usize) -> Ms {
        let u = &self.units[r.unit];
        let (wait, mut gap) = u.paced(self.s.senders);
        let mut at = u.shut_until().max(now + wait);
        if let Some(ramp) = &r.ramp {
            let rate = self.ramp_rate(now, r, ramp);
            at = at.max(now + (1.0 - ramp.tokens.level) * 1000.0 / rate);
            gap = gap.max(1000.0 / rate);
        }
        if r.calls >= Unit::most_out(r) || !self.dest_room(r.row.dest) {
            let turn = (self.typical(r) / r.window.max(1.0)).max(self.s.round).max(1.0);
            at = at.max(now + turn);
            gap = gap.max(turn);
        }
        at + ahead as f64 * gap / self.s.kind(r.row.kind).batch as f64
    }

    /// Brings pace and ramp of a destination's routes up to now; the others stay untouched.
    fn refill(&mut self, now: Ms, dest: DestId) {
        for id in self.dests.get(&dest).cloned().unwrap_or_default() {
            let r = &self.routes[&id];
            let guess = (self.s.reports && !self.units[r.unit].told).then(|| self.guess_limit(now, r));
            let u = &mut self.units[r.unit];
            u.limit = guess.or(u.limit);
            if let Some(limit) = u.limit {
                u.share.fill(now, limit, self.s.senders);
            } else if let Some(p) = u.pace {
                let dt = (now - u.tokens.at).clamp(0.0, 1000.0) / 1000.0;
                u.tokens.fill(now, p, (p * 0.5).max(1.0));
                let quiet = (now - u.cut_at).max(0.0) / 1000.0;
                u.pace = Some(fleet::pace_grown(p, dt, quiet, self.s.refused_price));
            }
            let Some(rate) = r.ramp.as_ref().map(|p| self.ramp_rate(now, r, p)) else { continue };
            let Some(r) = self.routes.get_mut(&id) else { continue };
            r.ramp = r.ramp.take().filter(|p| now - p.since <= self.s.cold);
            if let Some(p) = &mut r.ramp {
                p.tokens.fill(now, rate, 1.0);
            }
        }
    }

    /// A limit that was not told yet is taken to be like those of its kind, or as high as what all want.
    fn guess_limit(&self, now: Ms, r: &Route) -> f64 {
        let like = self.routes.values().filter(|o| o.row.kind == r.row.kind && self.units[o.unit].told);
        let known = fleet::median(like.filter_map(|o| self.units[o.unit].limit).collect());
        known.unwrap_or((self.demand(now, r.unit) * self.s.senders as f64).max(CROWD_LEAST))
    }

    fn fee(&self, r: &Route) -> f64 {
        let apart = self.s.kind(r.row.kind).apart;
        let zone = self.s.zone_fees.get(r.row.zone).copied().filter(|_| apart).unwrap_or(0.0);
        let cross = if r.row.zone != self.s.zone { self.s.cross_zone } else { 0.0 };
        (zone + cross) * self.mean_worth
    }

    /// May this message test a route that is out? Not one that could be lost there, but as a last resort.
    fn may_try(&self, now: Ms, h: &Held, o: &Outage) -> bool {
        let unsafe_class = self.class(h).effect == Effect::Unsafe;
        let last_chance = h.m.valid_until - now < 1_000.0;
        h.attempts + 1 < self.s.most_attempts && (!o.harmful || !unsafe_class || last_chance)
    }

    /// The first route by plain-waiting payoff, counting the time until it can take the call and its fee.
    fn plan(&self, now: Ms, h: &Held, ahead: &BTreeMap<RouteId, usize>) -> Plan {
        let mut hold = f64::MAX;
        let mut best: Option<(f64, f64, RouteId, Ms)> = None;
        for r in self.routes_to(h) {
            let id = &r.row.route;
            if let Some(o) = &r.outage {
                let u = &self.units[r.unit];
                let at = u.next_trial.max(u.shut_until());
                if !(self.s.can_probe && o.harmful) && o.trying.is_none() && self.may_try(now, h, o) {
                    if at <= now && self.dest_room(h.m.dest) {
                        return (now, Some(*id), true);
                    }
                    hold = hold.min(at.max(now + self.s.round));
                }
                continue;
            }
            if r.fails_now(now, FAIL_HALF) > FAIL_UNSAFE && self.class(h).effect == Effect::Unsafe {
                hold = hold.min(now + FAIL_HALF / 4.0);
                continue;
            }
            let joins = self.open.get(id).is_some_and(|c| self.calls[c].left < self.s.kind(r.row.kind).batch);
            let at = if joins { now } else { self.ready(now, r, ahead.get(id).copied().unwrap_or(0)) };
            let again = if h.avoid == Some(*id) { 0.8 } else { 1.0 };
            let u = &self.units[r.unit];
            let beyond = u.limit.map_or(0.0, |_| u.share.beyond()) * self.s.refused_price * self.mean_worth;
            let pay = again * self.curve(r).payoff(|t| self.worth(h, at + t)) - self.fee(r) - beyond;
            let load = r.last_used;
            let better = best.is_none_or(|(p, l, _, _)| {
                let margin = CLEAR_GAIN * p.abs();
                pay > p + margin || (pay > p - margin && load < l)
            });
            if better {
                best = Some((pay, load, *id, at));
            }
        }
        let (at, route) = best.map_or((f64::MAX, None), |b| (b.3, Some(b.2)));
        (if at <= now { now } else { at.min(hold) }, route, false)
    }

    /// Its key's turn: once everything taken earlier is over, and the key has rested.
    fn key_free(&self, now: Ms, h: &Held) -> Ms {
        let Some((front, quiet)) = h.m.key.and_then(|k| self.keys.turn(k)) else { return now };
        match front {
            Some(first) if first != h.m.id => f64::MAX,
            _ if h.attempts == 0 => quiet,
            _ => now,
        }
    }

    /// Guards against calls cut off by the end of this process: an unsafe message would be lost by it, so it
    /// starts only if a slow call would still be answered; others start while a usual one would.
    fn can_finish(&self, now: Ms, h: &Held) -> bool {
        let Some(closing) = self.closing else { return true };
        let usual = self.routes_to(h).map(|r| self.typical(r)).fold(0.0, f64::max);
        let slow = self.routes_to(h).map(|r| self.hang_span(r)).fold(0.0, f64::max);
        now + if self.class(h).effect == Effect::Unsafe { slow } else { usual } < closing
    }

    /// Messages that may be sent, by what a delay would cost them for each unit of slot time that they need.
    fn ranked(&self, now: Ms) -> Vec<MsgId> {
        let mut order: Vec<(f64, Ms, MsgId)> = Vec::new();
        for (id, h) in self.waiting() {
            let quick = self.routes_to(h).map(|r| self.typical(r)).fold(f64::MAX, f64::min);
            let at = now + quick;
            let delay = RANK_AHEAD * self.class(h).promise;
            let stake = self.worth(h, at) - self.worth(h, at + delay) + RANK_WORTH * self.worth(h, at);
            order.push((stake / (quick + RANK_CALL), h.m.valid_until, *id));
        }
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        order.into_iter().map(|o| o.2).collect()
    }

    fn dispatch(&mut self, now: Ms, out: &mut Vec<Action>) {
        // The next outcome wakes up who waits for a slot.
        if self.calls.len() >= self.s.slots {
            return;
        }
        let mut ahead: BTreeMap<RouteId, usize> = BTreeMap::new();
        let mut queued: BTreeMap<DestId, usize> = BTreeMap::new();
        // Those that no route may take now are counted apart: others of their destination may still go.
        let mut barred: BTreeMap<(DestId, usize, Option<usize>), usize> = BTreeMap::new();
        let waiting = self.queues();
        waiting.keys().for_each(|dest| self.refill(now, *dest));
        for id in self.ranked(now) {
            let h = &self.held[&id];
            let choice = (h.m.dest, h.m.class, h.ran.map(|(_, zone)| zone));
            let planned = |count: Option<&usize>| count.is_some_and(|n| *n >= PLANS_AHEAD);
            if !self.can_finish(now, h) || planned(queued.get(&h.m.dest)) || planned(barred.get(&choice)) {
                continue;
            }
            let free = self.key_free(now, h).max(h.not_before).max(self.next_chance(now, h));
            if free > now {
                self.wake_at(free);
                continue;
            }
            let (at, route, trial) = self.plan(now, h, &ahead);
            let Some(route) = route.filter(|_| at <= now) else {
                match route {
                    Some(r) => {
                        *ahead.entry(r).or_default() += 1;
                        *queued.entry(h.m.dest).or_default() += 1;
                    }
                    None => *barred.entry(choice).or_default() += 1,
                }
                self.wake_at(at);
                continue;
            };
            let batch = self.s.kind(self.routes[&route].row.kind).batch;
            let joins = self.open.get(&route).is_some_and(|c| self.calls[c].left < batch);
            let gathered = h.arrived + GATHER * self.class(h).promise;
            if !joins && !trial && gathered > now && waiting[&h.m.dest] < batch {
                self.wake_at(gathered);
            } else if joins || self.calls.len() < self.s.slots {
                self.send(now, id, route, trial, joins, out);
            }
        }
    }

    fn send(&mut self, now: Ms, id: MsgId, route: RouteId, trial: bool, joins: bool, out: &mut Vec<Action>) {
        let cap = if trial { None } else { self.theta(now, &self.held[&id], route) };
        let lost_after = self.links.lost_after(now, LINK_MEMORY) * LINK_SLACK;
        let Some(r) = self.routes.get_mut(&route) else { return };
        let mut idle = r.idle_since.filter(|_| r.calls == 0 && !joins).map(|t| now - t);
        idle = idle.filter(|t| *t > LINK_LEAST && (self.s.keep_idle <= 0.0 || *t < self.s.keep_idle));
        // Guards against calls lost on a connection that was dropped unseen: a new one costs no more.
        if idle.take_if(|t| *t > lost_after).is_some() {
            out.push(Action::CloseIdle(route));
        }
        r.last_used = now;
        if let Some(o) = r.outage.as_mut() {
            o.trying = Some(now);
            self.units[r.unit].next_trial = now + TRIAL_GAP;
        }
        let call = if joins { self.open[&route] } else { self.next_call };
        if joins {
            if let Some(c) = self.calls.get_mut(&call) {
                c.left += 1;
            }
        } else {
            self.next_call += 1;
            r.calls += 1;
            self.units[r.unit].tokens.level -= 1.0;
            self.units[r.unit].share.spend();
            self.units[r.unit].use_room(now);
            if let Some(ramp) = &mut r.ramp {
                ramp.tokens.level -= 1.0;
            }
            self.calls.insert(call, Call { route, dest: r.row.dest, left: 1, sent: now, heard: false, idle });
            self.open.insert(route, call);
        }
        let Some(h) = self.held.get_mut(&id) else { return };
        if h.attempts == 0 {
            self.retry.level = (self.retry.level + RETRY_EARN).min(RETRY_MOST);
        }
        h.flight = Some(Flight { attempt: h.attempts, route, call, sent: now, watchdog: cap.is_some() });
        h.attempts += 1;
        out.push(Action::Send { id, route, cap });
        self.wake_at(now + HANG_LEAST);
    }

    /// The watchdog; none for an unsafe message, nor once the one fail-over or the budget is spent.
    fn theta(&self, now: Ms, h: &Held, route: RouteId) -> Option<Ms> {
        let c = self.class(h);
        let spent = h.failed_over || self.retry.level < 1.0 || h.attempts + 1 >= self.s.most_attempts;
        if spent || c.effect == Effect::Unsafe {
            return None;
        }
        let first = self.routes.get(&route).filter(|r| r.samples.ring.len() >= THETA_SAMPLES)?;
        let left = h.m.valid_until - now;
        let worth = |t: Ms| self.worth(h, now + t);
        let fit = self
            .routes_to(h)
            .filter(|r| r.row.route != route && r.outage.is_none() && self.same_group(h, first.row.zone, r));
        let paid = fit.map(|r| (self.curve(r).payoff(worth) - self.fee(r), r));
        let best = paid.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.row.route.cmp(&a.1.row.route)));
        let own = self.curve(first);
        let second = best.map_or(own, |b| self.curve(b.1));
        let bends = [left, (h.born + c.promise - now).max(0.0)];
        let theta = watchdog(own, second, &bends, worth)?;
        let keyed = matches!(c.effect, Effect::Keyed { .. });
        (!keyed || theta < c.window - 4.0 * self.s.round).then_some(theta)
    }
}
