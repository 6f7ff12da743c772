//! Decides what a dispatcher sends, when and to which endpoint. Its interface is `src/api.rs`. On the
//! ordinary path, after Živković and van den Berg, the first endpoint is the one with the best payoff of
//! plain waiting, and a watchdog θ cuts the attempt short for one fail-over (`docs/design.md`).

use crate::api::*;
use crate::curve::CallTimeDistribution;
use crate::fleet::{
    self, LimitShare, CONNECTION_FAILURE_WEIGHT, CONNECTION_MEMORY, IDLE_FAILURE_EXCESS, IDLE_LOSS_MARGIN,
    MIN_IDLE,
};
use crate::state::*;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
mod adopt;

// Call time samples and payoffs.

/// Samples kept for each endpoint. Old samples are replaced, so a lasting change of call times is learned
/// once the ring has turned over.
const MAX_SAMPLES: usize = 32;
/// Samples older than this are dropped, because they no longer describe the endpoint.
const SAMPLE_AGE: Ms = 20_000.0;
/// With fewer samples of its own, an endpoint is estimated from all calls of this dispatcher.
const MIN_OWN_SAMPLES: usize = 2;
/// With fewer samples of the first endpoint there is no watchdog: its curve shows steps that are not there.
const MIN_WATCHDOG_SAMPLES: usize = 8;
/// Call time that is assumed before there is any sample.
const DEFAULT_CALL_TIME: Ms = 300.0;
/// Share of the payoff by which a watchdog has to beat plain waiting, and one endpoint another.
const MIN_PAYOFF_GAIN: f64 = 0.005;

// The retry budget.

/// Retries that each first attempt adds to the budget.
const RETRIES_PER_MESSAGE: f64 = 0.2;
/// Retries in the budget at the start.
const INITIAL_RETRIES: f64 = 5.0;
/// Upper bound of the budget, in retries.
const MAX_RETRIES: f64 = 15.0;
/// Retries added every second, so that a lone message can be retried.
const RETRIES_PER_SECOND: f64 = 0.5;
/// Delay of a message that came back unsent, which happens when the count of used slots was wrong.
const NOT_SENT_DELAY: Ms = 20.0;

// Windows and waits. The constants of limit shares and paces are in `src/fleet.rs`.

/// Concurrent calls that a new endpoint may have.
const INITIAL_WINDOW: f64 = 2.0;
/// Wait after a refusal without retry-after; doubled with each round of refusals.
const FIRST_REFUSAL_WAIT: Ms = 200.0;
/// Upper bound of that wait, and of the wait at a full connection table.
const MAX_REFUSAL_WAIT: Ms = 2_000.0;
/// At the first refusal, the dispatchers are assumed to have built up their load for this long.
const LOAD_AGE_AT_REFUSAL: Ms = 1_000.0;

// Failures, overdue calls, outages and recovery.

/// Weight of the newest attempt in the failure rate of an endpoint.
const FAILURE_WEIGHT: f64 = 0.3;
/// Half-life of the failure rate.
const FAILURE_HALF_LIFE: Ms = 3_000.0;
/// Part of a failure that a connection reset counts as.
const RESET_FAILURE: f64 = 0.7;
/// Failure rate from which an endpoint counts as out.
const OUTAGE_FAILURE_RATE: f64 = 0.5;
/// Above this failure rate an endpoint gets no at-most-once messages, and half of the slots at most.
const UNRELIABLE_FAILURE_RATE: f64 = 0.2;
/// Rounds of refusals without a success after which the limit group counts as out.
const OUTAGE_REFUSAL_ROUNDS: u32 = 4;
/// Constant part of the span after which a call is overdue.
const OVERDUE_BASE: Ms = 600.0;
/// Multiple of the endpoint's 95th percentile of call times that is added to [`OVERDUE_BASE`].
const OVERDUE_FACTOR: f64 = 3.0;
/// Multiple of that span for an at-most-once message, because cancelling its attempt loses the message.
const AT_MOST_ONCE_OVERDUE_FACTOR: f64 = 2.0;
/// With at least this many slots, one is kept free: overdue calls are cancelled when no slot is.
const MIN_SLOTS_FOR_SPARE: usize = 4;
/// An outage is assumed to have lasted this long when it is first seen.
const OUTAGE_AGE_WHEN_SEEN: Ms = 3_000.0;
/// Shortest time between two trials of an endpoint that is out.
const MIN_TRIAL_GAP: Ms = 500.0;
/// Share of the allowed overload that a recovered endpoint gets.
const RAMP_OVERLOAD_SHARE: f64 = 0.7;
/// After a refusal, the next calls are spread over this multiple of the time in which each dispatcher gets
/// one call.
const REFUSAL_SPREAD_FACTOR: f64 = 3.0;
/// Share of the calls allowed to a cold destination that trials may use.
const TRIAL_SHARE: f64 = 0.7;
/// Calls a second, of all dispatchers together, that any destination is assumed to get at least.
const MIN_DEMAND: f64 = 1.0;
/// Weight of the mean demand in the estimate for one destination, in messages.
const DEMAND_PRIOR_WEIGHT: f64 = 0.5;

// The endpoint list, the room for messages and the order of sending.

/// Time between two requests for the endpoint list after a failure; doubled each time.
const FIRST_LIST_RETRY: Ms = 500.0;
/// Upper bound of that time.
const MAX_LIST_RETRY: Ms = 8_000.0;
/// Share of the allowed held messages above which messages are ended to make room.
const MAX_HELD_SHARE: f64 = 0.9;
/// Share of its promise that a message may wait for others to fill a batch.
const BATCH_WAIT_SHARE: f64 = 0.1;
/// Messages of a destination that are planned while they cannot be sent yet.
const MAX_PLANNED_PER_DEST: usize = 6;
/// The rank of a message is what a delay by this share of its promise would cost.
const RANK_DELAY_SHARE: f64 = 0.5;
/// Share of its undelayed worth that is added to the rank of a message.
const RANK_WORTH_SHARE: f64 = 0.1;
/// Time that is added to every call time when messages are ranked for the slots.
const RANK_CALL_OVERHEAD: Ms = 50.0;

/// The watchdog θ that maximises the expected payoff E1→2 over (0, d), where d is the last of `breakpoints`;
/// `None` if none beats plain waiting. Both curves are step functions, so the best θ lies on a step of the
/// first, or on a time where the worth falls (`breakpoints`) minus a step of the second.
pub fn best_watchdog(
    first: &CallTimeDistribution,
    second: &CallTimeDistribution,
    breakpoints: &[Ms],
    worth: impl Fn(Ms) -> f64,
) -> Option<Ms> {
    let plain = first.payoff(&worth);
    let last = breakpoints.iter().copied().fold(0.0, f64::max);
    let value = |theta: Ms| {
        let before: f64 = first.steps.iter().take_while(|s| s.0 <= theta).map(|s| s.1 * worth(s.0)).sum();
        before + first.survival(theta) * second.payoff(|t| worth(theta + t))
    };
    let firsts = first.steps.iter().map(|s| s.0 + 1.0);
    let seconds = breakpoints.iter().flat_map(|b| second.steps.iter().map(move |s| b - s.0));
    let mut best: Option<(f64, Ms)> = None;
    for theta in firsts.chain(seconds).filter(|t| *t > 0.0 && *t < last) {
        let v = value(theta);
        let better = best.map_or(v > plain * (1.0 + MIN_PAYOFF_GAIN) + 1e-9, |(w, at)| {
            v > w + 1e-9 || (v > w - 1e-9 && theta > at)
        });
        if better {
            best = Some((v, theta));
        }
    }
    best.map(|b| b.1)
}

/// The decisions of one dispatcher. Pass each batch of events to [`DecisionModule::step`].
#[derive(Debug, Default)]
pub struct DecisionModule {
    settings: Settings,
    random: Random,
    /// Every endpoint that is listed, or was until lately.
    endpoints: BTreeMap<EndpointId, Endpoint>,
    /// The endpoints of each destination.
    dests: BTreeMap<DestId, Vec<EndpointId>>,
    groups: Vec<LimitGroup>,
    /// Index in `groups` by destination, and by endpoint where that has a limit of its own.
    group_of: BTreeMap<(DestId, Option<EndpointId>), usize>,
    /// Indices in `groups` that are not in use.
    free_groups: Vec<usize>,
    held: BTreeMap<MessageId, HeldMessage>,
    keys: KeyQueues,
    /// Calls that are outstanding.
    calls: BTreeMap<u64, Call>,
    /// Calls of the present step, which further messages to the same endpoint may join.
    open_calls: BTreeMap<EndpointId, u64>,
    next_call: u64,
    /// The retry budget.
    retry: TokenBucket,
    /// Answered calls of all endpoints.
    all_samples: Samples,
    /// Stands in before any call was answered.
    default_samples: Samples,
    mean_worth: f64,
    demand: Demand,
    connections: ConnectionStats,
    /// Endpoints whose idle connections are to be checked at the end of the step.
    idle_candidates: BTreeSet<EndpointId>,
    /// What each tenant may still send at full worth.
    quota: Vec<TokenBucket>,
    /// When to request the endpoint list next.
    watch_at: Option<Ms>,
    watch_gap: Ms,
    /// When the next step is needed.
    wake: Cell<Ms>,
    /// When the timer that was requested last is due.
    timer_at: Option<Ms>,
    /// Messages that were ended here and whose clients have not confirmed the final answer, with their keys.
    unconfirmed_ends: BTreeMap<MessageId, u64>,
    closing: Option<Ms>,
}

impl DecisionModule {
    /// A dispatcher that knows its settings and nothing else yet.
    pub fn new(s: Settings) -> DecisionModule {
        let mean = s.classes.iter().map(|c| c.worth).sum::<f64>() / s.classes.len().max(1) as f64;
        DecisionModule {
            random: Random::new(s.seed),
            quota: vec![TokenBucket::default(); s.tenant_quota.len()],
            watch_at: s.list_on_request.then_some(f64::MIN),
            watch_gap: FIRST_LIST_RETRY,
            retry: TokenBucket { level: INITIAL_RETRIES, at: f64::MAX },
            mean_worth: mean,
            default_samples: Samples::single(DEFAULT_CALL_TIME),
            settings: s,
            ..DecisionModule::default()
        }
    }

    /// Handles one batch of events and appends the actions that follow.
    pub fn step(&mut self, now: Ms, events: &[Event], out: &mut Vec<Action>) {
        self.wake.set(f64::MAX);
        self.open_calls.clear();
        self.demand.since.get_or_insert(now);
        self.retry.refill(now, RETRIES_PER_SECOND, MAX_RETRIES);
        for e in events {
            self.handle_event(now, e, out);
        }
        self.request_list(now, out);
        self.detect_hangs(now, out);
        self.end_expired(now, out);
        self.make_room(now, out);
        self.dispatch(now, out);
        self.send_probes(now, out);
        self.close_idle(now, out);
        let wake = self.wake.get();
        if wake < f64::MAX && self.timer_at.is_none_or(|a| wake < a - 0.5) {
            let at = wake.max(now + self.settings.min_step_interval);
            out.push(Action::Timer { at, token: 0 });
            self.timer_at = Some(at);
        }
    }

    fn wake_at(&self, t: Ms) {
        self.wake.set(self.wake.get().min(t));
    }

    fn handle_event(&mut self, now: Ms, e: &Event, out: &mut Vec<Action>) {
        match e {
            Event::EndpointList { rows, complete: whole, cached } => {
                self.update_list(now, rows, *whole, *cached)
            }
            Event::EndpointListFailed => {
                let again = now + self.watch_gap * self.random.between(0.85, 1.15);
                self.watch_at = self.settings.list_on_request.then_some(again);
                self.watch_gap = (self.watch_gap * 2.0).min(MAX_LIST_RETRY);
            }
            Event::MessageArrived(m) => self.accept_message(now, m, out),
            Event::ProcessRestarted => {
                self.keys.set_quiet_all(now + self.settings.key_quiet_period);
                self.groups.iter_mut().for_each(|g| g.share = LimitShare::new(true, self.random.next()));
            }
            Event::MessageResumed(resumed) => self.resume_message(now, resumed, out),
            Event::AnswerConfirmed(id) => {
                self.unconfirmed_ends.remove(id).into_iter().for_each(|k| self.keys.leave(k, *id));
            }
            Event::ProcessEndsAt(at) => self.closing = Some(*at),
            Event::AttemptEnded(e) => self.attempt_ended(now, e, out),
            Event::ProbeEnded { endpoint, outcome, report, .. } => {
                self.probe_ended(now, *endpoint, *outcome, report)
            }
            Event::QuotaLeft { endpoint, calls, more_at: again, max_connections: links } => {
                let Some(ep) = self.endpoints.get_mut(endpoint) else { return };
                ep.connection_limit = Some(*links).filter(|l| *l < u32::MAX);
                self.groups[ep.group].room = Some((*calls, *again)).filter(|c| c.0 < u32::MAX);
            }
            Event::ClientLeft(id) => self.end_message(*id),
            Event::Timer(_) => self.timer_at = self.timer_at.filter(|a| *a > now + 0.5),
        }
    }

    /// Subscribes to the endpoint list at the start, and again whenever the subscription may be lost.
    fn request_list(&mut self, now: Ms, out: &mut Vec<Action>) {
        if let Some(at) = self.watch_at {
            if at <= now {
                out.push(Action::WatchEndpointList);
                // Without an answer, the list is requested again within the span that the settings allow.
                self.watch_at = Some(now + self.settings.list_request_within.max(MAX_LIST_RETRY));
            }
            self.watch_at.iter().for_each(|t| self.wake_at(*t));
        }
    }

    fn update_list(&mut self, now: Ms, rows: &[EndpointEntry], whole: bool, cached: bool) {
        if !cached {
            self.watch_at = None;
            self.watch_gap = FIRST_LIST_RETRY;
        }
        if whole {
            self.endpoints.values_mut().for_each(|ep| {
                ep.update_listing(now, EndpointEntry { state: ServiceState::Removed, ..ep.row.clone() })
            });
        }
        for row in rows {
            if let Some(ep) = self.endpoints.get_mut(&row.endpoint) {
                ep.update_listing(now, row.clone());
                continue;
            }
            let apart = self.settings.kind(row.kind).per_endpoint_limit;
            let (groups, free) = (&mut self.groups, &mut self.free_groups);
            let group =
                *self.group_of.entry((row.dest, apart.then_some(row.endpoint))).or_insert_with(|| {
                    free.pop().unwrap_or_else(|| {
                        groups.push(LimitGroup::default());
                        groups.len() - 1
                    })
                });
            if groups[group].endpoint_count == 0 {
                groups[group] = LimitGroup::new(row.dest, now);
                // If messages wait for this destination here, they do at other dispatchers as well.
                let has_pending = self.held.values().any(|h| h.message.dest == row.dest);
                groups[group].share = LimitShare::new(has_pending, self.random.next());
            }
            groups[group].endpoint_count += 1;
            if self.settings.weights != WeightMeaning::None && row.weight > 0.0 {
                (self.groups[group].limit, self.groups[group].limit_reported) = (Some(row.weight), true);
            }
            self.dests.entry(row.dest).or_default().push(row.endpoint);
            self.endpoints.insert(row.endpoint, Endpoint::new(row.clone(), group, INITIAL_WINDOW, now));
        }
        self.prune(now);
    }

    /// Removes endpoints that have long been off the list, with all that is known of them, and destinations
    /// without endpoints. Without this, memory would grow where the registry uses new ids each time.
    fn prune(&mut self, now: Ms) {
        let removable =
            |ep: &Endpoint| ep.calls == 0 && ep.delisted_at.is_some_and(|t| now - t >= DELISTED_ENDPOINT_TTL);
        let due: Vec<EndpointId> =
            self.endpoints.iter().filter(|(_, ep)| removable(ep)).map(|(id, _)| *id).collect();
        for id in due {
            let Some(ep) = self.endpoints.remove(&id) else { continue };
            self.dests.entry(ep.row.dest).and_modify(|ids| ids.retain(|x| *x != id));
            self.groups[ep.group].endpoint_count -= 1;
            if self.groups[ep.group].endpoint_count == 0 {
                self.group_of.retain(|_, g| *g != ep.group);
                self.free_groups.push(ep.group);
            }
        }
        self.dests.retain(|_, ids| !ids.is_empty());
        self.demand.retain(|dest| self.dests.contains_key(dest));
    }

    fn accept_message(&mut self, now: Ms, m: &Message, out: &mut Vec<Action>) {
        if self.held.contains_key(&m.id) {
            return;
        }
        let Some(class) = self.settings.classes.get(m.class) else {
            return out.push(Action::GiveUp(m.id));
        };
        if self.dests.contains_key(&m.dest) {
            self.demand.add(m.dest);
        }
        self.mean_worth += 0.01 * (class.worth - self.mean_worth);
        if let Some(k) = m.key.filter(|_| class.in_order) {
            self.keys.enter(now, k, m.id);
        }
        let age_from = if self.settings.marks_resubmissions && !m.resubmitted {
            now
        } else {
            m.valid_until - class.deadline
        };
        let worth_share = self.tenant_share(now, m.tenant);
        let fresh =
            HeldMessage { message: m.clone(), arrived: now, age_from, worth_share, ..HeldMessage::default() };
        self.held.insert(m.id, HeldMessage { not_before: now, ..fresh });
    }

    /// Takes over a message of an earlier process. A restart must not forget what may have run: such a
    /// message keeps its attempts and its deduplication group, and its key has a quiet period. A message
    /// whose end was decided keeps its place in its key's queue until the client has confirmed the final
    /// answer.
    fn resume_message(&mut self, now: Ms, resumed: &ResumedMessage, out: &mut Vec<Action>) {
        let (id, key) = (resumed.message.id, resumed.message.key);
        if !resumed.ended {
            self.accept_message(now, &resumed.message, out);
            self.held
                .entry(id)
                .and_modify(|h| (h.attempts, h.ran) = (resumed.attempts, resumed.first_possible_run));
        } else if let Some(k) = key {
            self.keys.enter(now, k, id);
            self.unconfirmed_ends.insert(id, k);
        }
    }

    /// Share of its worth that a message keeps: less if it exceeds the quota of its tenant. Each dispatcher
    /// assumes an even part of the quota.
    fn tenant_share(&mut self, now: Ms, tenant: Option<usize>) -> f64 {
        let Some(t) = tenant.filter(|t| *t < self.quota.len()) else { return 1.0 };
        let rate = self.settings.tenant_quota[t] / self.settings.dispatchers as f64;
        self.quota[t].refill(now, rate, (2.0 * rate).max(1.0));
        if self.quota[t].try_take(1.0) {
            1.0
        } else {
            self.settings.over_quota_worth
        }
    }

    /// Messages without an outstanding attempt.
    fn pending(&self) -> impl Iterator<Item = (&MessageId, &HeldMessage)> {
        self.held.iter().filter(|(_, h)| h.in_flight.is_none() && !h.ended)
    }

    /// Number of pending messages, by destination.
    fn queue_lengths(&self) -> BTreeMap<DestId, usize> {
        let mut queues = BTreeMap::new();
        self.pending().for_each(|(_, h)| *queues.entry(h.message.dest).or_default() += 1);
        queues
    }

    fn class(&self, h: &HeldMessage) -> &Class {
        &self.settings.classes[h.message.class]
    }

    /// Worth of a delivery at time `t`. The step function of the paper is the case without promise and late
    /// worth. The age counts from the first submission, so a message that was submitted again may have little
    /// time left.
    fn worth(&self, h: &HeldMessage, t: Ms) -> f64 {
        let age = if t > h.message.valid_until { f64::MAX } else { t - h.age_from };
        h.worth_share * self.settings.worth(h.message.class, h.message.estimated_work, age)
    }

    /// Ends a message: no further attempts. Its record stays while an attempt is outstanding.
    fn end_message(&mut self, id: MessageId) {
        if let Some(h) = self.held.get_mut(&id) {
            h.ended = true;
            if h.in_flight.is_none() {
                self.remove_message(id);
            }
        }
    }

    fn remove_message(&mut self, id: MessageId) {
        let key = self.held.remove(&id).and_then(|h| h.message.key);
        key.into_iter()
            .filter(|_| !self.unconfirmed_ends.contains_key(&id))
            .for_each(|k| self.keys.leave(k, id));
    }

    /// Ends a message without delivery at once: returns it, with a retry-after, where repeating it is
    /// harmless, and else gives it up.
    fn end_undelivered(&mut self, now: Ms, id: MessageId, out: &mut Vec<Action>) {
        let Some(h) = self.held.get(&id) else { return };
        let harmless = match self.class(h).effect {
            Effect::Idempotent => true,
            Effect::Deduplicated { same_zone_only: by_zone } => h.ran.is_none() || !by_zone,
            Effect::AtMostOnce => h.ran.is_none(),
        };
        if harmless {
            let retry_in = (self.earliest_send(now, h) - now).clamp(0.0, self.settings.max_retry_after);
            out.push(Action::Return { id, retry_after: retry_in });
        } else {
            out.push(Action::GiveUp(id));
        }
        if let Some(k) = h.message.key.filter(|_| self.settings.answers_confirmed) {
            self.unconfirmed_ends.insert(id, k);
        }
        self.end_message(id);
    }

    /// When its destination is next expected to accept a message.
    fn earliest_send(&self, now: Ms, h: &HeldMessage) -> Ms {
        let ready = |ep: &Endpoint, g: &LimitGroup| {
            ep.outage.as_ref().map_or(now, |_| g.next_trial).max(g.blocked_until())
        };
        self.eligible_endpoints(h).map(|ep| ready(ep, &self.groups[ep.group])).fold(f64::MAX, f64::min)
    }

    /// Latest time for a useful attempt: the end of the message's validity, or of the window in which repeats
    /// are dropped.
    fn latest_send(&self, h: &HeldMessage) -> Ms {
        let c = self.class(h);
        let until = h.message.valid_until - 2.0 * self.settings.min_step_interval;
        match (c.effect, h.ran) {
            (Effect::Deduplicated { .. }, Some((sent, _))) => {
                until.min(sent + c.dedup_window - 2.0 * self.settings.min_step_interval)
            }
            (Effect::AtMostOnce, Some(_)) => f64::MIN,
            _ => until,
        }
    }

    fn end_expired(&mut self, now: Ms, out: &mut Vec<Action>) {
        let mut due = Vec::new();
        for (id, h) in self.pending() {
            let last = self.latest_send(h);
            // A destination may have no endpoint for a while, when all are being replaced or the list is
            // stale.
            let max_wait = if self.eligible_endpoints(h).next().is_some() {
                f64::MAX
            } else {
                self.class(h).target_time
            };
            let last = last.min(h.arrived + max_wait);
            // No endpoint accepts the message in time: the client gets its answer at once instead of at the
            // deadline.
            let unsendable = max_wait == f64::MAX && self.earliest_send(now, h) > last;
            if last <= now || unsendable || h.attempts >= self.settings.max_attempts {
                due.push(*id);
            } else {
                self.wake_at(last);
            }
        }
        for id in due {
            self.end_undelivered(now, id, out);
        }
    }

    /// Keeps the backlog of one destination from filling the room and shutting out messages for all others:
    /// near the limit, the longest queue ends the message for which a delay costs least. May hurt a queue
    /// that was about to drain.
    fn make_room(&mut self, now: Ms, out: &mut Vec<Action>) {
        let most = (self.settings.max_held as f64 * MAX_HELD_SHARE) as usize;
        while self.held.len() > most.max(self.settings.slots) {
            let Some((dest, _)) = self.queue_lengths().into_iter().max_by_key(|q| q.1) else { return };
            let order = self.ranked(now);
            let Some(id) = order.into_iter().rfind(|id| self.held[id].message.dest == dest) else { return };
            self.end_undelivered(now, id, out);
        }
    }

    fn attempt_ended(&mut self, now: Ms, e: &AttemptEnd, out: &mut Vec<Action>) {
        if let Some(ep) = self.endpoints.get(&e.endpoint) {
            let g = &mut self.groups[ep.group];
            if e.retry_after > 0.0 {
                g.pause_until =
                    g.pause_until.max(now + e.retry_after + 2.0 * self.settings.min_step_interval);
            }
            g.apply_report(&e.report, e.outcome);
        }
        let Some(h) = self.held.get_mut(&e.id) else { return };
        let Some(flight) = h.in_flight.take_if(|f| f.attempt == e.attempt) else { return };
        let zone = self.endpoints.get(&e.endpoint).map_or(0, |ep| ep.row.zone);
        if !e.outcome.never_ran() {
            h.ran.get_or_insert((flight.sent, zone));
        }
        if e.not_counted {
            h.attempts = flight.attempt;
            let earned = if h.attempts == 0 { RETRIES_PER_MESSAGE } else { 0.0 };
            self.retry.level -= earned;
        }
        h.ended |= e.message_ended;
        h.last_endpoint = Some(e.endpoint);
        h.not_before = if e.outcome == Outcome::NotSent { now + NOT_SENT_DELAY } else { now };
        let (over, key) = (h.ended, h.message.key);
        if matches!(e.outcome, Outcome::Late | Outcome::Reset | Outcome::Cancelled) {
            key.into_iter().for_each(|k| self.keys.set_quiet(k, now + self.settings.key_quiet_period));
        }
        let idle = self.calls.get(&flight.call).and_then(|c| c.idle_before);
        if self.record_call_outcome(now, flight.call) {
            let before_limit = fleet::refused_before_limit(self.settings.reports_limits, idle.is_none(), e);
            self.record_connection_outcome(now, &flight, idle, e, before_limit);
            self.record_outcome(now, &flight, e, before_limit);
        }
        if over {
            self.remove_message(e.id);
        } else if !e.outcome.never_ran() {
            self.schedule_retry(now, e, &flight, out);
        }
    }

    /// Schedules a retry after an attempt that may have run, or ends the message. Retries use up the retry
    /// budget; an empty budget delays them, so that failures cause no retry storm. No retry starts while the
    /// endpoint may not know yet that the attempt ended.
    fn schedule_retry(&mut self, now: Ms, e: &AttemptEnd, flight: &InFlight, out: &mut Vec<Action>) {
        if self.latest_send(&self.held[&e.id]) <= now + e.quiet_period {
            return self.end_undelivered(now, e.id, out);
        }
        self.retry.level -= 1.0;
        let budget_wait = (-self.retry.level).max(0.0) * 1000.0 / RETRIES_PER_SECOND;
        let not_before = now + budget_wait.max(e.quiet_period);
        self.held.entry(e.id).and_modify(|h| {
            h.failed_over |= flight.watchdog || h.cancelled;
            (h.cancelled, h.not_before) = (false, not_before);
        });
    }

    /// Records one outcome of a call. True for the first one, which stands for the whole call.
    fn record_call_outcome(&mut self, now: Ms, call: u64) -> bool {
        let Some(c) = self.calls.get_mut(&call) else { return false };
        let first = !std::mem::replace(&mut c.outcome_seen, true);
        c.pending_outcomes -= 1;
        if c.pending_outcomes == 0 {
            self.endpoints.entry(c.endpoint).and_modify(|ep| {
                ep.calls -= 1;
                ep.idle_since = Some(now);
            });
            self.idle_candidates.insert(c.endpoint);
            self.calls.remove(&call);
        }
        first
    }

    fn record_outcome(&mut self, now: Ms, f: &InFlight, e: &AttemptEnd, before_limit: bool) {
        if let Some(o) = self.endpoints.get_mut(&f.endpoint).and_then(|ep| ep.outage.as_mut()) {
            o.trial_started = None;
        }
        match e.outcome {
            Outcome::Delivered => self.record_success(now, f.endpoint, f.sent, e.took),
            Outcome::Cancelled => self.record_sample(now, f.endpoint, e.took, false),
            Outcome::Late if f.watchdog => self.record_sample(now, f.endpoint, e.took, false),
            Outcome::NotSent => {}
            Outcome::Refused if before_limit && self.back_off_full_table(now, f.endpoint) => {}
            Outcome::Refused => {
                self.record_sample(now, f.endpoint, f64::INFINITY, false);
                let limit_reached = e.report.limit.is_some_and(|l| l > 0.0);
                self.record_refusal(now, f.endpoint, f.sent, e.retry_after, limit_reached);
            }
            Outcome::Error | Outcome::Reset | Outcome::Late | Outcome::NoConnection => {
                self.record_sample(now, f.endpoint, f64::INFINITY, false);
                if e.outcome == Outcome::Late {
                    self.halve_window(f.endpoint);
                }
                self.record_failure(now, f.endpoint, e.outcome);
            }
        }
    }

    /// Detects connections that are dropped silently while idle: calls on such connections fail more often
    /// than others. A connection that broke within its answer was not dropped while idle.
    fn record_connection_outcome(
        &mut self,
        now: Ms,
        f: &InFlight,
        idle: Option<Ms>,
        e: &AttemptEnd,
        before_limit: bool,
    ) {
        let Some(ep) = self.endpoints.get_mut(&f.endpoint) else { return };
        ep.connection_refused_at = Some(now)
            .filter(|_| before_limit || e.outcome == Outcome::NoConnection)
            .or(ep.connection_refused_at);
        // Where endpoints report their limit, a full connection table shows as a refusal, so a failed
        // connection means an outage.
        if before_limit || e.outcome == Outcome::NoConnection && !self.settings.reports_limits {
            let kind = ep.row.kind;
            self.connections.refused_by_kind.insert(kind, now);
            let idle = self.endpoints.iter().filter(|(_, ep)| ep.row.kind == kind && ep.idle_since.is_some());
            self.idle_candidates.extend(idle.map(|ep| *ep.0));
        }
        let Some(failed) = fleet::connection_failure(e, f.watchdog) else { return };
        let (on_idle, on_others) = self.connections.record(idle.is_some(), failed, CONNECTION_FAILURE_WEIGHT);
        if let Some(idle_time) = idle.filter(|_| failed > 0.0 && on_idle > on_others + IDLE_FAILURE_EXCESS) {
            let shortest = self.connections.shortest_idle_loss(now, CONNECTION_MEMORY).min(idle_time);
            self.connections.idle_loss = Some((now, shortest));
        }
    }

    /// Closes idle connections of recently used endpoints that would fill the endpoint's connection table.
    fn close_idle(&mut self, now: Ms, out: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.idle_candidates) {
            let Some(ep) = self.endpoints.get_mut(&id).filter(|ep| ep.calls == 0) else { continue };
            let kind = self.connections.refused_by_kind.get(&ep.row.kind).copied();
            if !fleet::keeps_idle_connections(now, self.settings.dispatchers, ep.connection_refused_at, kind)
            {
                ep.idle_since = None;
                out.push(Action::CloseIdleConnections(id));
            }
        }
    }

    /// Backs off from an endpoint whose connection table is full, so that this is not taken for a reached
    /// limit or an outage. False after too many such refusals in a row: they then count like any other
    /// refusal.
    fn back_off_full_table(&mut self, now: Ms, endpoint: EndpointId) -> bool {
        let draw = self.random.next();
        let Some(ep) =
            self.endpoints.get(&endpoint).filter(|ep| ep.full_table_refusals < fleet::MAX_FULL_TABLE_ROUNDS)
        else {
            return false;
        };
        let until = now
            + fleet::full_table_backoff(self.median_time(ep), ep.full_table_refusals, MAX_REFUSAL_WAIT, draw);
        self.record_sample(now, endpoint, f64::INFINITY, false);
        let Some(ep) = self.endpoints.get_mut(&endpoint) else { return false };
        ep.full_table_refusals += 1;
        let g = &mut self.groups[ep.group];
        g.pause_until = g.pause_until.max(until);
        g.record_refusal(now, until - now, self.settings.dispatchers, draw);
        true
    }

    fn halve_window(&mut self, endpoint: EndpointId) {
        self.endpoints.entry(endpoint).and_modify(|ep| ep.window = (ep.window / 2.0).max(1.0));
    }

    fn record_sample(&mut self, now: Ms, endpoint: EndpointId, took: Ms, answered: bool) {
        self.endpoints
            .entry(endpoint)
            .and_modify(|ep| ep.samples.add(now, took, answered, MAX_SAMPLES, SAMPLE_AGE));
        if answered {
            self.all_samples.add(now, took, answered, MAX_SAMPLES, SAMPLE_AGE);
        }
    }

    fn record_success(&mut self, now: Ms, endpoint: EndpointId, sent: Ms, took: Ms) {
        let most = self.settings.slots as f64 * 0.75;
        if let Some(ep) = self.endpoints.get_mut(&endpoint) {
            let most = if ep.failure_rate > UNRELIABLE_FAILURE_RATE {
                most.min(self.settings.slots as f64 / 2.0)
            } else {
                most
            };
            ep.window = (ep.window + 1.0).min(most.max(1.0));
            (ep.last_success_sent, ep.full_table_refusals) = (ep.last_success_sent.max(sent), 0);
            let g = &mut self.groups[ep.group];
            g.refusal_rounds = 0;
            g.last_success_sent = g.last_success_sent.max(sent);
            fleet::record_accepted(now, &mut g.accepted);
        }
        self.record_sample(now, endpoint, took, true);
        self.record_attempt(now, endpoint, 0.0);
        self.recover(now, endpoint);
    }

    /// Counts an attempt into the failure rate, which decays, so that an endpoint is not avoided for old
    /// failures.
    fn record_attempt(&mut self, now: Ms, endpoint: EndpointId, failed: f64) -> f64 {
        let ep = self.endpoints.get_mut(&endpoint);
        ep.map_or(0.0, |ep| {
            ep.record_attempt(now, failed, FAILURE_WEIGHT, FAILURE_HALF_LIFE, UNRELIABLE_FAILURE_RATE)
        })
    }

    /// Counts a failure, and takes the endpoint out if it fails too often. A single reset says little,
    /// because a process that has died refuses the next connection; only several in a row count. Else a
    /// network that loses connections now and then would look like endpoints that are down.
    fn record_failure(&mut self, now: Ms, endpoint: EndpointId, outcome: Outcome) {
        let was_reset = outcome == Outcome::Reset;
        let failure_rate = self.record_attempt(now, endpoint, if was_reset { RESET_FAILURE } else { 1.0 });
        let Some(ep) = self.endpoints.get(&endpoint) else { return };
        // One failure is enough for an endpoint without a recent success.
        let no_recent_success =
            !was_reset && now - self.groups[ep.group].last_success_sent > FAILURE_HALF_LIFE;
        if no_recent_success || failure_rate >= OUTAGE_FAILURE_RATE || ep.outage.is_some() {
            self.mark_out(now, endpoint, outcome != Outcome::NoConnection, now, was_reset);
        }
    }

    /// Takes an endpoint out, so that a failing one is not loaded further: only single trials go there until
    /// one succeeds.
    fn mark_out(
        &mut self,
        now: Ms,
        endpoint: EndpointId,
        may_have_run: bool,
        not_before: Ms,
        only_resets: bool,
    ) {
        let Some(ep) = self.endpoints.get(&endpoint) else { return };
        let group = ep.group;
        let since = ep.outage.as_ref().map_or(ep.first_failure.unwrap_or(now), |o| o.since);
        let only_resets = only_resets && ep.outage.as_ref().is_none_or(|o| o.only_resets);
        let gap = if only_resets { MIN_TRIAL_GAP } else { self.trial_gap(now, group, since) };
        let next = not_before.max(now + gap);
        let Some(ep) = self.endpoints.get_mut(&endpoint) else { return };
        ep.window = (ep.window / 2.0).max(1.0);
        ep.ramp = ep.ramp.take().filter(|_| only_resets);
        let o = ep.outage.get_or_insert(Outage {
            since,
            may_have_run,
            trial_started: None,
            from_refusals: false,
            only_resets,
        });
        (o.trial_started, o.only_resets) = (None, only_resets);
        o.may_have_run |= may_have_run;
        o.from_refusals |= not_before > now;
        self.groups[group].next_trial = self.groups[group].next_trial.max(next);
        if let Some(ids) = self.dests.get_mut(&ep.row.dest) {
            ids.retain(|id| *id != endpoint);
            ids.push(endpoint);
        }
    }

    /// Time until the next trial. A destination that has just recovered takes only part of its usual rate,
    /// and the trials of all dispatchers are part of that.
    fn trial_gap(&mut self, now: Ms, group: usize, since: Ms) -> Ms {
        let cold = (self.settings.overload_factor * self.settings.cold_capacity_share).clamp(0.05, 1.0);
        let span =
            self.one_call_each(now, group, since - OUTAGE_AGE_WHEN_SEEN) * self.random.between(0.5, 1.5);
        MIN_TRIAL_GAP.max(span / (TRIAL_SHARE * cold))
    }

    /// Time in which each dispatcher gets one call, at the limit or at the rate that all together send; no
    /// longer than the time since `since`.
    fn one_call_each(&self, now: Ms, group: usize, since: Ms) -> Ms {
        let dispatchers = self.settings.dispatchers as f64;
        let all = self.groups[group].limit.unwrap_or(dispatchers * self.demand_rate(now, group));
        ((dispatchers - 1.0) * 1000.0 / all.max(MIN_DEMAND)).min(now - since)
    }

    /// Calls a second that this dispatcher has for a limit group, from the messages that arrived, accepted or
    /// not. Times the number of dispatchers this is the total demand, which is under the capacity in most
    /// hours.
    fn demand_rate(&self, now: Ms, group: usize) -> f64 {
        let g = &self.groups[group];
        let rate = self.demand.rate(now, g.dest, self.dests.len(), DEMAND_PRIOR_WEIGHT);
        rate * g.endpoint_count as f64 / self.dests[&g.dest].len() as f64
    }

    /// Handles a refusal, by a reached limit or an endpoint that accepts nothing. The window halves, the pace
    /// falls to what was just accepted, and the whole limit group waits: for the retry-after, or for a time
    /// guessed by the rounds of refusals.
    fn record_refusal(&mut self, now: Ms, endpoint: EndpointId, sent: Ms, wait: Ms, limit_reached: bool) {
        self.halve_window(endpoint);
        let Some(ep) = self.endpoints.get_mut(&endpoint) else { return };
        let since = *ep.first_failure.get_or_insert(now);
        let (group, already_out) = (ep.group, ep.outage.is_some());
        let rounds = self.groups[group].refusal_rounds;
        let guessed_wait = (FIRST_REFUSAL_WAIT * f64::from(1u32 << rounds.min(8))).min(MAX_REFUSAL_WAIT);
        let pause = if wait > 0.0 { wait } else { guessed_wait };
        let (draw, dispatchers) = (self.random.next(), self.settings.dispatchers);
        let span = self.one_call_each(now, group, since - pause - LOAD_AGE_AT_REFUSAL);
        let spread = REFUSAL_SPREAD_FACTOR * span * self.random.next();
        let g = &mut self.groups[group];
        if sent >= g.pace_cut_at {
            g.pace_cut_at = now;
            // An endpoint that reports the limit that was reached is not out.
            g.refusal_rounds += u32::from(!limit_reached);
            g.record_refusal(now, pause, dispatchers, draw);
            let pace = fleet::pace_after_refusal(now, &g.accepted, dispatchers, g.refusal_rounds);
            g.pause_until = g.pause_until.max(now + pause) + if g.limit.is_some() { 0.0 } else { spread };
            // One call may go when the pause ends, however slow the pace; the pace is for those after it.
            g.tokens.level = (1.0 - pace * (pause + spread) / 1000.0).max(0.0);
            g.tokens.at = now;
            g.pace = Some(pace);
        }
        if already_out || wait > self.settings.overload_span || g.refusal_rounds >= OUTAGE_REFUSAL_ROUNDS {
            let (until, whole_group) = (
                g.pause_until,
                wait > self.settings.overload_span || g.refusal_rounds >= OUTAGE_REFUSAL_ROUNDS,
            );
            let affected =
                self.group_members(endpoint).into_iter().filter(|id| whole_group || *id == endpoint);
            affected.for_each(|id| self.mark_out(now, id, false, until, false));
        }
    }

    /// Ends the outage of an endpoint, and of those in its limit group that refusals took out, after a
    /// successful call or probe. The endpoint may be cold, so calls ramp up from the least share of its
    /// capacity, measured against the demand that this dispatcher sees; its own best rate was misleading with
    /// many dispatchers.
    fn recover(&mut self, now: Ms, endpoint: EndpointId) {
        if self.endpoints.get(&endpoint).is_some_and(|ep| ep.outage.is_some()) {
            let refusing =
                |id: &EndpointId| self.endpoints[id].outage.as_ref().is_some_and(|o| o.from_refusals);
            let back = self.group_members(endpoint).into_iter().filter(|id| *id == endpoint || refusing(id));
            back.collect::<Vec<_>>().into_iter().for_each(|id| self.start_ramp(now, id));
        }
    }

    /// The endpoints that share the limit of this one. They go out and recover together, also where each
    /// dispatcher was refused by a different one of them.
    fn group_members(&self, endpoint: EndpointId) -> Vec<EndpointId> {
        let Some(ep) = self.endpoints.get(&endpoint) else { return Vec::new() };
        self.dests[&ep.row.dest].iter().copied().filter(|id| self.endpoints[id].group == ep.group).collect()
    }

    fn start_ramp(&mut self, now: Ms, endpoint: EndpointId) {
        let Some(ep) = self.endpoints.get_mut(&endpoint) else { return };
        let Some(o) = ep.outage.take() else { return };
        let group = ep.group;
        ep.samples.ring.retain(|s| s.2);
        ep.first_failure = None;
        ep.failure_rate = ep.failure_rate.min(OUTAGE_FAILURE_RATE / 2.0);
        // Where only connections broke, the endpoint was up all the time and is not cold.
        if o.only_resets {
            return;
        }
        let initial_share =
            if now - o.since < self.settings.overload_span { 0.5 } else { self.settings.cold_capacity_share };
        ep.ramp = Some(Ramp {
            since: now,
            initial_share,
            tokens: TokenBucket { level: self.random.next(), at: now },
        });
        self.groups[group].next_trial = now + self.trial_gap(now, group, o.since);
    }

    fn probe_ended(&mut self, now: Ms, endpoint: EndpointId, outcome: Outcome, report: &LimitReport) {
        let Some(ep) = self.endpoints.get(&endpoint) else { return };
        self.groups[ep.group].apply_report(report, outcome);
        self.idle_candidates.insert(endpoint);
        if ep.outage.is_none() {
            return;
        }
        if outcome == Outcome::Delivered {
            self.recover(now, endpoint);
        } else {
            self.mark_out(now, endpoint, false, now, false);
        }
    }

    /// Takes out endpoints that accept calls and never answer: one with a call far older than its slow ones,
    /// and no later call answered, is out at once instead of at the deadline.
    fn detect_hangs(&mut self, now: Ms, out: &mut Vec<Action>) {
        let mut hung = BTreeSet::new();
        for c in self.calls.values() {
            let Some(ep) = self.endpoints.get(&c.endpoint) else { continue };
            // For an endpoint that is out, only the present trial counts: an older overdue call must not end
            // all trials.
            let counts = ep.outage.as_ref().is_none_or(|o| o.trial_started.is_some_and(|t| c.sent >= t));
            if !counts || ep.last_success_sent > c.sent {
                continue;
            }
            let at = c.sent + self.overdue_after(ep);
            if at <= now {
                hung.insert(c.endpoint);
            } else {
                self.wake_at(at);
            }
        }
        for endpoint in hung {
            self.record_attempt(now, endpoint, 1.0);
            self.mark_out(now, endpoint, true, now, false);
        }
        if self.settings.can_cancel {
            self.cancel_overdue(now, out);
        }
    }

    /// Cancels calls that hold a slot and will hardly be answered. An overdue attempt is cancelled for the
    /// message's one fail-over, and when slots run short, whatever its class. May hurt an endpoint that has
    /// just become slow.
    fn cancel_overdue(&mut self, now: Ms, out: &mut Vec<Action>) {
        let spare = (self.settings.slots / MIN_SLOTS_FOR_SPARE).min(1);
        let short = self.calls.len() + spare >= self.settings.slots && self.held.len() > self.calls.len();
        let mut to_cancel = Vec::new();
        for (id, h) in self.held.iter().filter(|(_, h)| !h.ended && !h.cancelled) {
            let Some(f) = &h.in_flight else { continue };
            let Some(ep) = self.endpoints.get(&f.endpoint) else { continue };
            let repeatable = self.class(h).effect != Effect::AtMostOnce;
            let factor = if repeatable { 1.0 } else { AT_MOST_ONCE_OVERDUE_FACTOR };
            let due = f.sent + factor * self.overdue_after(ep);
            if now < due {
                self.wake_at(due);
            } else if short || (repeatable && !h.failed_over && self.retry.level >= 1.0) {
                to_cancel.push((*id, f.attempt));
            }
        }
        for (id, attempt) in to_cancel {
            out.push(Action::Cancel { id, attempt });
            self.held.entry(id).and_modify(|h| h.cancelled = true);
        }
    }

    fn overdue_after(&self, ep: &Endpoint) -> Ms {
        OVERDUE_BASE + OVERDUE_FACTOR * self.samples(ep).p95.unwrap_or(DEFAULT_CALL_TIME)
    }

    /// Probes endpoints that are out, where probes are allowed, so that no message is risked.
    fn send_probes(&mut self, now: Ms, out: &mut Vec<Action>) {
        let dests = if self.settings.can_probe { self.queue_lengths() } else { BTreeMap::new() };
        for id in dests.keys().filter_map(|d| self.dests.get(d)).flatten() {
            let Some(ep) = self.endpoints.get_mut(id).filter(|ep| ep.row.state == ServiceState::InService)
            else {
                continue;
            };
            let g = &mut self.groups[ep.group];
            let Some(o) = ep.outage.as_mut().filter(|o| o.may_have_run && o.trial_started.is_none()) else {
                continue;
            };
            let at = g.next_trial.max(g.blocked_until());
            if at <= now {
                o.trial_started = Some(now);
                g.next_trial = now + MIN_TRIAL_GAP;
                out.push(Action::Probe(*id));
            } else {
                self.wake.set(self.wake.get().min(at));
            }
        }
    }

    /// Whether the endpoint would drop a repeat of a message that may have run at an endpoint in `zone`, or a
    /// repeat is harmless.
    fn in_dedup_group(&self, h: &HeldMessage, zone: usize, ep: &Endpoint) -> bool {
        match self.class(h).effect {
            Effect::Idempotent => true,
            Effect::Deduplicated { same_zone_only: by_zone } => !by_zone || ep.row.zone == zone,
            Effect::AtMostOnce => false,
        }
    }

    /// The endpoints in service that may get the message.
    fn eligible_endpoints<'a>(&'a self, h: &'a HeldMessage) -> impl Iterator<Item = &'a Endpoint> + 'a {
        let all = self.dests.get(&h.message.dest).into_iter().flatten().map(|id| &self.endpoints[id]);
        all.filter(|ep| {
            ep.row.state == ServiceState::InService
                && h.ran.is_none_or(|(_, z)| self.in_dedup_group(h, z, ep))
        })
    }

    /// The endpoint's own samples; with too few of them, all recently answered calls of this dispatcher.
    fn samples<'a>(&'a self, ep: &'a Endpoint) -> &'a Samples {
        let known = |s: &&Samples| s.median.is_some();
        let own = Some(&ep.samples).filter(|s| s.ring.len() >= MIN_OWN_SAMPLES).filter(known);
        own.or(Some(&self.all_samples).filter(known))
            .or(Some(&ep.samples).filter(known))
            .unwrap_or(&self.default_samples)
    }

    fn curve<'a>(&'a self, ep: &'a Endpoint) -> &'a CallTimeDistribution {
        &self.samples(ep).curve
    }

    fn median_time(&self, ep: &Endpoint) -> Ms {
        self.samples(ep).median.unwrap_or(DEFAULT_CALL_TIME)
    }

    /// Whether a destination may have one more call outstanding. It may have under three quarters of the
    /// slots, or half of them if one of its endpoints is out, so that a destination that hangs cannot use
    /// them all.
    fn destination_has_room(&self, dest: DestId) -> bool {
        let has_outage = self.dests[&dest].iter().any(|ep| self.endpoints[ep].outage.is_some());
        let slots = self.settings.slots;
        let most = if has_outage { slots / 2 } else { (slots * 3).div_ceil(4).saturating_sub(1) };
        self.calls.values().filter(|c| c.dest == dest).count() < most.max(1)
    }

    fn ramp_rate(&self, now: Ms, ep: &Endpoint, ramp: &Ramp) -> f64 {
        let g = &self.groups[ep.group];
        let done = ((now - ramp.since) / self.settings.warm_up.max(1.0)).min(1.0);
        let ramp_share = ramp.initial_share + (1.0 - ramp.initial_share) * done;
        // The capacity is at least the limit; where none is known, the demand stands in for it.
        let dispatchers = self.settings.dispatchers as f64;
        let base_rate = g
            .limit
            .map_or(self.demand_rate(now, ep.group), |l| l / dispatchers)
            .max(MIN_DEMAND / dispatchers);
        base_rate * ramp_share * self.settings.overload_factor * RAMP_OVERLOAD_SHARE
            / g.endpoint_count.max(1) as f64
    }

    /// When the endpoint can next accept a call, by its waits, pace, ramp and window, and by the slots of the
    /// destination; with `ahead` messages planned before this one.
    fn next_ready(&self, now: Ms, ep: &Endpoint, ahead: usize) -> Ms {
        let g = &self.groups[ep.group];
        let (wait, mut gap) = g.pacing(self.settings.dispatchers);
        let mut at = g.blocked_until().max(now + wait);
        if let Some(ramp) = &ep.ramp {
            let rate = self.ramp_rate(now, ep, ramp);
            at = at.max(now + (1.0 - ramp.tokens.level) * 1000.0 / rate);
            gap = gap.max(1000.0 / rate);
        }
        if ep.calls >= LimitGroup::max_concurrent_calls(ep) || !self.destination_has_room(ep.row.dest) {
            let turn =
                (self.median_time(ep) / ep.window.max(1.0)).max(self.settings.min_step_interval).max(1.0);
            at = at.max(now + turn);
            gap = gap.max(turn);
        }
        at + ahead as f64 * gap / self.settings.kind(ep.row.kind).max_batch as f64
    }

    /// Refills the tokens of limit shares, paces and ramps of a destination's endpoints up to now.
    fn refill(&mut self, now: Ms, dest: DestId) {
        for id in self.dests.get(&dest).cloned().unwrap_or_default() {
            let ep = &self.endpoints[&id];
            let guess = (self.settings.reports_limits && !self.groups[ep.group].limit_reported)
                .then(|| self.guess_limit(now, ep));
            let g = &mut self.groups[ep.group];
            g.limit = guess.or(g.limit);
            if let Some(limit) = g.limit {
                g.share.refill(now, limit, self.settings.dispatchers);
            } else if let Some(p) = g.pace {
                let dt = (now - g.tokens.at).clamp(0.0, 1000.0) / 1000.0;
                g.tokens.refill(now, p, (p * 0.5).max(1.0));
                let quiet = (now - g.pace_cut_at).max(0.0) / 1000.0;
                g.pace = Some(fleet::pace_after_quiet(p, dt, quiet, self.settings.refused_price));
            }
            let Some(rate) = ep.ramp.as_ref().map(|p| self.ramp_rate(now, ep, p)) else { continue };
            let Some(ep) = self.endpoints.get_mut(&id) else { continue };
            ep.ramp = ep.ramp.take().filter(|p| now - p.since <= self.settings.warm_up);
            if let Some(p) = &mut ep.ramp {
                p.tokens.refill(now, rate, 1.0);
            }
        }
    }

    /// Assumes for an unknown limit the median of the known ones of the same kind, or else the total demand.
    fn guess_limit(&self, now: Ms, ep: &Endpoint) -> f64 {
        let like = self
            .endpoints
            .values()
            .filter(|o| o.row.kind == ep.row.kind && self.groups[o.group].limit_reported);
        let known = fleet::median(like.filter_map(|o| self.groups[o.group].limit).collect());
        known.unwrap_or((self.demand_rate(now, ep.group) * self.settings.dispatchers as f64).max(MIN_DEMAND))
    }

    fn fee(&self, ep: &Endpoint) -> f64 {
        let apart = self.settings.kind(ep.row.kind).per_endpoint_limit;
        let zone = self.settings.zone_fees.get(ep.row.zone).copied().filter(|_| apart).unwrap_or(0.0);
        let cross = if ep.row.zone != self.settings.zone { self.settings.cross_zone_price } else { 0.0 };
        (zone + cross) * self.mean_worth
    }

    /// Whether this message may be the trial of an endpoint that is out. An at-most-once message that could
    /// be lost there may only as a last resort.
    fn may_be_trial(&self, now: Ms, h: &HeldMessage, o: &Outage) -> bool {
        let unsafe_class = self.class(h).effect == Effect::AtMostOnce;
        let last_chance = h.message.valid_until - now < 1_000.0;
        h.attempts + 1 < self.settings.max_attempts && (!o.may_have_run || !unsafe_class || last_chance)
    }

    /// The endpoint with the best payoff of plain waiting, counting its fee and the time until it can accept
    /// the call. An endpoint that is out and due for a trial takes precedence.
    fn plan(&self, now: Ms, h: &HeldMessage, ahead: &BTreeMap<EndpointId, usize>) -> Plan {
        let mut next_check = f64::MAX;
        let mut best: Option<(f64, f64, EndpointId, Ms)> = None;
        for ep in self.eligible_endpoints(h) {
            let id = &ep.row.endpoint;
            if let Some(o) = &ep.outage {
                let g = &self.groups[ep.group];
                let at = g.next_trial.max(g.blocked_until());
                if !(self.settings.can_probe && o.may_have_run)
                    && o.trial_started.is_none()
                    && self.may_be_trial(now, h, o)
                {
                    if at <= now && self.destination_has_room(h.message.dest) {
                        return (now, Some(*id), true);
                    }
                    next_check = next_check.min(at.max(now + self.settings.min_step_interval));
                }
                continue;
            }
            if ep.decayed_failure_rate(now, FAILURE_HALF_LIFE) > UNRELIABLE_FAILURE_RATE
                && self.class(h).effect == Effect::AtMostOnce
            {
                next_check = next_check.min(now + FAILURE_HALF_LIFE / 4.0);
                continue;
            }
            let joins = self
                .open_calls
                .get(id)
                .is_some_and(|c| self.calls[c].pending_outcomes < self.settings.kind(ep.row.kind).max_batch);
            let at = if joins { now } else { self.next_ready(now, ep, ahead.get(id).copied().unwrap_or(0)) };
            let repeat_factor = if h.last_endpoint == Some(*id) { 0.8 } else { 1.0 };
            let g = &self.groups[ep.group];
            let excess_cost =
                g.limit.map_or(0.0, |_| g.share.excess()) * self.settings.refused_price * self.mean_worth;
            let payoff =
                repeat_factor * self.curve(ep).payoff(|t| self.worth(h, at + t)) - self.fee(ep) - excess_cost;
            let last_used = ep.last_used;
            let better = best.is_none_or(|(p, l, _, _)| {
                let margin = MIN_PAYOFF_GAIN * p.abs();
                payoff > p + margin || (payoff > p - margin && last_used < l)
            });
            if better {
                best = Some((payoff, last_used, *id, at));
            }
        }
        let (at, endpoint) = best.map_or((f64::MAX, None), |b| (b.3, Some(b.2)));
        (if at <= now { now } else { at.min(next_check) }, endpoint, false)
    }

    /// When the ordering key lets the message be sent: once all earlier messages of the key have ended and,
    /// for a first attempt, the quiet period of the key is over.
    fn key_free(&self, now: Ms, h: &HeldMessage) -> Ms {
        let Some((front, quiet)) = h.message.key.and_then(|k| self.keys.front(k)) else { return now };
        match front {
            Some(first) if first != h.message.id => f64::MAX,
            _ if h.attempts == 0 => quiet,
            _ => now,
        }
    }

    /// Whether an attempt would end before this process does. An at-most-once message would be lost if it did
    /// not, so it starts only if even a slow call would still be answered; others start if a usual call
    /// would.
    fn can_finish(&self, now: Ms, h: &HeldMessage) -> bool {
        let Some(closing) = self.closing else { return true };
        let usual = self.eligible_endpoints(h).map(|ep| self.median_time(ep)).fold(0.0, f64::max);
        let slow = self.eligible_endpoints(h).map(|ep| self.overdue_after(ep)).fold(0.0, f64::max);
        now + if self.class(h).effect == Effect::AtMostOnce { slow } else { usual } < closing
    }

    /// Pending messages, ordered by what a delay would cost for each unit of slot time that they need.
    fn ranked(&self, now: Ms) -> Vec<MessageId> {
        let mut order: Vec<(f64, Ms, MessageId)> = Vec::new();
        for (id, h) in self.pending() {
            let call_time =
                self.eligible_endpoints(h).map(|ep| self.median_time(ep)).fold(f64::MAX, f64::min);
            let at = now + call_time;
            let delay = RANK_DELAY_SHARE * self.class(h).target_time;
            let stake = self.worth(h, at) - self.worth(h, at + delay) + RANK_WORTH_SHARE * self.worth(h, at);
            order.push((stake / (call_time + RANK_CALL_OVERHEAD), h.message.valid_until, *id));
        }
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        order.into_iter().map(|o| o.2).collect()
    }

    fn dispatch(&mut self, now: Ms, out: &mut Vec<Action>) {
        // The next outcome frees a slot and starts another step.
        if self.calls.len() >= self.settings.slots {
            return;
        }
        let mut ahead: BTreeMap<EndpointId, usize> = BTreeMap::new();
        let mut queued: BTreeMap<DestId, usize> = BTreeMap::new();
        // Messages that no endpoint may get now are counted apart, because others of their destination may
        // still be sent.
        let mut unroutable: BTreeMap<(DestId, usize, Option<usize>), usize> = BTreeMap::new();
        let waiting = self.queue_lengths();
        waiting.keys().for_each(|dest| self.refill(now, *dest));
        for id in self.ranked(now) {
            let h = &self.held[&id];
            let choice = (h.message.dest, h.message.class, h.ran.map(|(_, zone)| zone));
            let planned = |count: Option<&usize>| count.is_some_and(|n| *n >= MAX_PLANNED_PER_DEST);
            if !self.can_finish(now, h)
                || planned(queued.get(&h.message.dest))
                || planned(unroutable.get(&choice))
            {
                continue;
            }
            let free = self.key_free(now, h).max(h.not_before).max(self.earliest_send(now, h));
            if free > now {
                self.wake_at(free);
                continue;
            }
            let (at, endpoint, trial) = self.plan(now, h, &ahead);
            let Some(endpoint) = endpoint.filter(|_| at <= now) else {
                match endpoint {
                    Some(id) => {
                        *ahead.entry(id).or_default() += 1;
                        *queued.entry(h.message.dest).or_default() += 1;
                    }
                    None => *unroutable.entry(choice).or_default() += 1,
                }
                self.wake_at(at);
                continue;
            };
            let batch = self.settings.kind(self.endpoints[&endpoint].row.kind).max_batch;
            let joins =
                self.open_calls.get(&endpoint).is_some_and(|c| self.calls[c].pending_outcomes < batch);
            let gathered = h.arrived + BATCH_WAIT_SHARE * self.class(h).target_time;
            if !joins && !trial && gathered > now && waiting[&h.message.dest] < batch {
                self.wake_at(gathered);
            } else if joins || self.calls.len() < self.settings.slots {
                self.send(now, id, endpoint, trial, joins, out);
            }
        }
    }

    fn send(
        &mut self,
        now: Ms,
        id: MessageId,
        endpoint: EndpointId,
        trial: bool,
        joins: bool,
        out: &mut Vec<Action>,
    ) {
        let cap = if trial { None } else { self.watchdog_timeout(now, &self.held[&id], endpoint) };
        let max_idle = self.connections.shortest_idle_loss(now, CONNECTION_MEMORY) * IDLE_LOSS_MARGIN;
        let Some(ep) = self.endpoints.get_mut(&endpoint) else { return };
        let mut idle = ep.idle_since.filter(|_| ep.calls == 0 && !joins).map(|t| now - t);
        idle = idle.filter(|t| {
            *t > MIN_IDLE && (self.settings.idle_timeout <= 0.0 || *t < self.settings.idle_timeout)
        });
        // A connection that has been idle for longer than others that were lost may have been dropped
        // silently; a new one costs no more than a lost call.
        if idle.take_if(|t| *t > max_idle).is_some() {
            out.push(Action::CloseIdleConnections(endpoint));
        }
        ep.last_used = now;
        if let Some(o) = ep.outage.as_mut() {
            o.trial_started = Some(now);
            self.groups[ep.group].next_trial = now + MIN_TRIAL_GAP;
        }
        let call = if joins { self.open_calls[&endpoint] } else { self.next_call };
        if joins {
            if let Some(c) = self.calls.get_mut(&call) {
                c.pending_outcomes += 1;
            }
        } else {
            self.next_call += 1;
            ep.calls += 1;
            self.groups[ep.group].tokens.level -= 1.0;
            self.groups[ep.group].share.spend();
            self.groups[ep.group].consume_room(now);
            if let Some(ramp) = &mut ep.ramp {
                ramp.tokens.level -= 1.0;
            }
            self.calls.insert(
                call,
                Call {
                    endpoint,
                    dest: ep.row.dest,
                    pending_outcomes: 1,
                    sent: now,
                    outcome_seen: false,
                    idle_before: idle,
                },
            );
            self.open_calls.insert(endpoint, call);
        }
        let Some(h) = self.held.get_mut(&id) else { return };
        if h.attempts == 0 {
            self.retry.level = (self.retry.level + RETRIES_PER_MESSAGE).min(MAX_RETRIES);
        }
        h.in_flight =
            Some(InFlight { attempt: h.attempts, endpoint, call, sent: now, watchdog: cap.is_some() });
        h.attempts += 1;
        out.push(Action::Send { id, endpoint, timeout: cap });
        self.wake_at(now + OVERDUE_BASE);
    }

    /// The watchdog of an attempt: none for an at-most-once message, nor once the one fail-over or the retry
    /// budget is used up.
    fn watchdog_timeout(&self, now: Ms, h: &HeldMessage, endpoint: EndpointId) -> Option<Ms> {
        let c = self.class(h);
        let used_up = h.failed_over || self.retry.level < 1.0 || h.attempts + 1 >= self.settings.max_attempts;
        if used_up || c.effect == Effect::AtMostOnce {
            return None;
        }
        let first =
            self.endpoints.get(&endpoint).filter(|ep| ep.samples.ring.len() >= MIN_WATCHDOG_SAMPLES)?;
        let left = h.message.valid_until - now;
        let worth = |t: Ms| self.worth(h, now + t);
        let candidates = self.eligible_endpoints(h).filter(|ep| {
            ep.row.endpoint != endpoint && ep.outage.is_none() && self.in_dedup_group(h, first.row.zone, ep)
        });
        let payoffs = candidates.map(|ep| (self.curve(ep).payoff(worth) - self.fee(ep), ep));
        let best = payoffs.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.row.endpoint.cmp(&a.1.row.endpoint)));
        let own = self.curve(first);
        let second = best.map_or(own, |b| self.curve(b.1));
        let breakpoints = [left, (h.age_from + c.target_time - now).max(0.0)];
        let theta = best_watchdog(own, second, &breakpoints, worth)?;
        let keyed = matches!(c.effect, Effect::Deduplicated { .. });
        (!keyed || theta < c.dedup_window - 4.0 * self.settings.min_step_interval).then_some(theta)
    }
}
