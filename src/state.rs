//! Records that the decision module keeps. Nothing is decided here, and no tunable value is set.

use crate::api::*;
use crate::curve::CallTimeDistribution;
use crate::fleet::LimitShare;
use std::collections::{BTreeMap, VecDeque};

/// Since when and why an endpoint is out, that is, gets no ordinary traffic.
#[derive(Debug, Clone)]
pub(crate) struct Outage {
    pub(crate) since: Ms,
    /// It accepted calls that may have run and were lost: at-most-once messages are kept away.
    pub(crate) may_have_run: bool,
    /// When the present trial, a message or a probe, was sent.
    pub(crate) trial_started: Option<Ms>,
    /// Refusals contributed to it, whose wait holds for the whole limit group: endpoints of a group with this
    /// flag recover together.
    pub(crate) from_refusals: bool,
    /// Nothing but connection resets was seen.
    pub(crate) only_resets: bool,
}

/// The rising rate of calls to an endpoint that has recovered and may be cold.
#[derive(Debug, Clone)]
pub(crate) struct Ramp {
    pub(crate) since: Ms,
    /// Share of its capacity that the endpoint is assumed to have at the start.
    pub(crate) initial_share: f64,
    pub(crate) tokens: TokenBucket,
}

/// What is known of one endpoint.
#[derive(Debug, Default)]
pub(crate) struct Endpoint {
    pub(crate) row: EndpointEntry,
    /// Since when it is off the endpoint list.
    pub(crate) delisted_at: Option<Ms>,
    /// Index of its limit group.
    pub(crate) group: usize,
    pub(crate) samples: Samples,
    /// Calls that may be outstanding at once.
    pub(crate) window: f64,
    /// Outstanding calls.
    pub(crate) calls: usize,
    /// Decaying share of failed attempts, as of `failure_rate_at`.
    pub(crate) failure_rate: f64,
    pub(crate) failure_rate_at: Ms,
    /// First failure of the present series.
    pub(crate) first_failure: Option<Ms>,
    /// Send time of the newest call that succeeded.
    pub(crate) last_success_sent: Ms,
    pub(crate) last_used: Ms,
    /// Since when its connections are idle; `None` if none is open.
    pub(crate) idle_since: Option<Ms>,
    /// When it last refused a connection.
    pub(crate) connection_refused_at: Option<Ms>,
    /// Refusals in a row that came from a full connection table.
    pub(crate) full_table_refusals: u32,
    pub(crate) outage: Option<Outage>,
    pub(crate) ramp: Option<Ramp>,
    /// Upper bound of connections to it, if there is one.
    pub(crate) connection_limit: Option<u32>,
}

impl Endpoint {
    pub(crate) fn new(row: EndpointEntry, group: usize, window: f64, now: Ms) -> Endpoint {
        let never = Endpoint { last_success_sent: f64::MIN, last_used: f64::MIN, ..Endpoint::default() };
        Endpoint { row, group, window, failure_rate_at: now, ..never }
    }

    /// Takes over the newest row of the endpoint list.
    pub(crate) fn update_listing(&mut self, now: Ms, row: EndpointEntry) {
        self.delisted_at = (row.state == ServiceState::Removed).then(|| self.delisted_at.unwrap_or(now));
        self.row = row;
    }

    /// Share of failed attempts, decayed by the half-life `half`.
    pub(crate) fn decayed_failure_rate(&self, now: Ms, half: Ms) -> f64 {
        self.failure_rate * (0.5f64).powf((now - self.failure_rate_at) / half)
    }
}

impl Endpoint {
    /// Counts an attempt into the failure rate and returns the rate. The newest attempt has `weight`, older
    /// ones decay by the half-life `half`. The series of failures ends with a success that leaves the rate at
    /// `recovered` or below.
    pub(crate) fn record_attempt(
        &mut self,
        now: Ms,
        failed: f64,
        weight: f64,
        half: Ms,
        recovered: f64,
    ) -> f64 {
        let decayed = self.decayed_failure_rate(now, half);
        self.failure_rate = decayed + weight * (failed - decayed);
        self.failure_rate_at = now;
        if failed > 0.0 {
            self.first_failure.get_or_insert(now);
        } else {
            self.first_failure = self.first_failure.filter(|_| self.failure_rate > recovered);
        }
        self.failure_rate
    }
}

/// Call times `(when, took, answered)` in a ring that is bounded by number and age, and the curve of them.
#[derive(Debug, Default)]
pub(crate) struct Samples {
    pub(crate) ring: VecDeque<(Ms, Ms, bool)>,
    pub(crate) curve: CallTimeDistribution,
    /// Time by which half of the answered calls were answered.
    pub(crate) median: Option<Ms>,
    /// Time by which 95 % of the answered calls were answered.
    pub(crate) p95: Option<Ms>,
}

impl Samples {
    /// A single answered call.
    pub(crate) fn single(took: Ms) -> Samples {
        let mut s = Samples::default();
        s.add(0.0, took, true, 1, 1.0);
        s
    }

    pub(crate) fn add(&mut self, now: Ms, took: Ms, answered: bool, max_samples: usize, max_age: Ms) {
        self.ring.push_back((now, took, answered));
        while self.ring.len() > max_samples || self.ring.front().is_some_and(|s| s.0 < now - max_age) {
            self.ring.pop_front();
        }
        let plain: Vec<(Ms, bool)> = self.ring.iter().map(|s| (s.1, s.2)).collect();
        self.curve = CallTimeDistribution::product_limit(&plain);
        (self.median, self.p95) = (self.curve.quantile(0.5), self.curve.quantile(0.95));
    }
}

/// Largest share left of a limit that a report is believed; noise may take it over 1.
const MAX_REPORTED_LEFT: f64 = 2.0;
/// Largest limit, in calls a second, that a report is believed.
const MAX_REPORTED_LIMIT: f64 = 1e6;

/// A change of room that a call caused is reported within this span.
const ROOM_UPDATE_DELAY: Ms = 5.0;

/// What shares one limit: an endpoint with a limit of its own, or all endpoints of a destination.
#[derive(Debug, Default)]
pub(crate) struct LimitGroup {
    pub(crate) dest: DestId,
    pub(crate) endpoint_count: usize,
    /// End of a wait after a refusal, or of a retry-after.
    pub(crate) pause_until: Ms,
    /// Calls that may still start under the quota of this dispatcher, and when there may be more once that is
    /// 0; `None` without a quota.
    pub(crate) room: Option<(u32, Ms)>,
    /// The limit in calls a second, of all dispatchers together, as last reported, listed or guessed.
    pub(crate) limit: Option<f64>,
    /// The limit was reported or listed; otherwise it is a guess.
    pub(crate) limit_reported: bool,
    /// The share of the limit that this dispatcher uses.
    pub(crate) share: LimitShare,
    /// When an endpoint of the group that is out may get its next trial.
    pub(crate) next_trial: Ms,
    /// Calls a second after refusals, where no limit is known.
    pub(crate) pace: Option<f64>,
    /// Calls that may go under `pace`.
    pub(crate) tokens: TokenBucket,
    pub(crate) accepted: AcceptedCalls,
    /// Rounds of refusals since the last success.
    pub(crate) refusal_rounds: u32,
    /// When a refusal last cut the pace; refusals of calls sent before that belong to the same round.
    pub(crate) pace_cut_at: Ms,
    /// Send time of the newest call that succeeded.
    pub(crate) last_success_sent: Ms,
}

impl LimitGroup {
    pub(crate) fn new(dest: DestId, now: Ms) -> LimitGroup {
        let accepted = AcceptedCalls::starting_at(now);
        LimitGroup {
            dest,
            accepted,
            pause_until: f64::MIN,
            last_success_sent: f64::MIN,
            ..LimitGroup::default()
        }
    }

    /// Until when nothing may be sent, because of a wait or of the dispatcher's own quota.
    pub(crate) fn blocked_until(&self) -> Ms {
        let quota = self.room.filter(|r| r.0 == 0).map_or(f64::MIN, |r| r.1);
        self.pause_until.max(quota)
    }

    /// Calls that may be outstanding at an endpoint, by its window and its connection limit.
    pub(crate) fn max_concurrent_calls(ep: &Endpoint) -> usize {
        (ep.window as usize).min(ep.connection_limit.map_or(usize::MAX, |l| l as usize))
    }

    /// Accounts for a call that starts. The room may have been reported long ago, so with none left the next
    /// report is awaited before more room is assumed.
    pub(crate) fn consume_room(&mut self, now: Ms) {
        let again = |again: Ms| again.max(now + ROOM_UPDATE_DELAY);
        self.room = self.room.map(|(calls, at)| (calls.saturating_sub(1), again(at)));
    }

    /// Time until the next call may start, and the time between the calls after it.
    pub(crate) fn pacing(&self, dispatchers: usize) -> (Ms, Ms) {
        match (self.limit, self.pace) {
            (Some(limit), _) => {
                let gap = 1000.0 / self.share.rate(limit, dispatchers).max(f64::MIN_POSITIVE);
                (self.share.wait(limit, dispatchers), gap)
            }
            (None, Some(pace)) => ((1.0 - self.tokens.level) * 1000.0 / pace, 1000.0 / pace),
            (None, None) => (0.0, 0.0),
        }
    }

    /// Shrinks the share of the limit after a refused call.
    pub(crate) fn record_refusal(&mut self, now: Ms, wait: Ms, dispatchers: usize, draw: f64) {
        match self.limit.filter(|_| self.limit_reported) {
            Some(limit) => self.share.refused(now, wait, limit, dispatchers, draw),
            // The limit was never reported and is only a guess, so the refused call is not counted against
            // it.
            None => self.share.refund(),
        }
    }

    /// Takes over a report of the limit; a limit of 0 means that only the capacity limits.
    pub(crate) fn apply_report(&mut self, report: &LimitReport, outcome: Outcome) {
        // Implausible values reach no estimate.
        let left = report.remaining_share.filter(|l| (0.0..=MAX_REPORTED_LEFT).contains(l));
        let limit = report.limit.filter(|l| (0.0..=MAX_REPORTED_LIMIT).contains(l));
        if let (Outcome::Delivered, Some(left)) = (outcome, left) {
            self.share.accepted(left);
        }
        if let Some(limit) = limit {
            self.limit_reported = true;
            self.limit = Some(limit).filter(|l| *l > 0.0);
        }
    }
}

/// Number of accepted calls whose times are kept.
const MAX_ACCEPTED_TIMES: usize = 256;

/// Times of accepted calls since a start, the newest last, and their rate.
#[derive(Debug, Default)]
pub(crate) struct AcceptedCalls {
    since: Ms,
    times: VecDeque<Ms>,
    /// The best rate seen, in calls a second; decays.
    pub(crate) best: f64,
}

impl AcceptedCalls {
    pub(crate) fn starting_at(since: Ms) -> AcceptedCalls {
        AcceptedCalls { since, ..AcceptedCalls::default() }
    }

    pub(crate) fn add(&mut self, now: Ms, span: Ms, least: usize, half: Ms) {
        let last = self.times.back().copied().unwrap_or(now);
        self.times.push_back(now);
        if self.times.len() > MAX_ACCEPTED_TIMES {
            self.times.pop_front();
        }
        self.best = (self.best * (0.5f64).powf((now - last) / half)).max(self.rate(now, span, least));
    }

    /// Calls a second over `span`, stretched until it holds `least` calls, or back to the start.
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

/// When to send, to which endpoint if one was chosen, and whether as a trial.
pub(crate) type Plan = (Ms, Option<EndpointId>, bool);

/// The outstanding attempt of a message.
#[derive(Debug)]
pub(crate) struct InFlight {
    pub(crate) attempt: u32,
    pub(crate) endpoint: EndpointId,
    /// Number of the call that carries it.
    pub(crate) call: u64,
    pub(crate) sent: Ms,
    /// It is cut short by the watchdog instead of the deadline.
    pub(crate) watchdog: bool,
}

/// A message that has no final answer yet, or whose attempt is still outstanding.
#[derive(Debug, Default)]
pub(crate) struct HeldMessage {
    pub(crate) message: Message,
    pub(crate) attempts: u32,
    pub(crate) in_flight: Option<InFlight>,
    /// Send time and zone of the first attempt that may have run.
    pub(crate) ran: Option<(Ms, usize)>,
    /// The one fail-over after a watchdog or a cancellation is used up.
    pub(crate) failed_over: bool,
    /// The outstanding attempt was cancelled.
    pub(crate) cancelled: bool,
    pub(crate) last_endpoint: Option<EndpointId>,
    pub(crate) not_before: Ms,
    pub(crate) arrived: Ms,
    /// When its age starts to count.
    pub(crate) age_from: Ms,
    /// Share of its worth that is left, less than 1 beyond the quota of its tenant.
    pub(crate) worth_share: f64,
    /// It gets no further attempt.
    pub(crate) ended: bool,
}

/// An outstanding call.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) endpoint: EndpointId,
    pub(crate) dest: DestId,
    /// Messages of the call whose outcome is still to come.
    pub(crate) pending_outcomes: usize,
    pub(crate) sent: Ms,
    pub(crate) outcome_seen: bool,
    /// How long its connection had been idle before; `None` for a new connection or one in use.
    pub(crate) idle_before: Option<Ms>,
}

/// Messages that arrived since the first event, by destination.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    pub(crate) since: Option<Ms>,
    total: u32,
    by_dest: BTreeMap<DestId, u32>,
}

impl Demand {
    pub(crate) fn add(&mut self, dest: DestId) {
        self.total += 1;
        *self.by_dest.entry(dest).or_default() += 1;
    }

    /// Removes the destinations for which `listed` is false.
    pub(crate) fn retain(&mut self, listed: impl Fn(&DestId) -> bool) {
        self.by_dest.retain(|dest, _| listed(dest));
    }

    /// Messages a second for one of `dests` destinations; a small count is drawn toward the mean, which has a
    /// weight of `weight` messages.
    pub(crate) fn rate(&self, now: Ms, dest: DestId, dests: usize, weight: f64) -> f64 {
        let span = (now - self.since.unwrap_or(now)).max(1_000.0) / 1000.0;
        let mean = f64::from(self.total) / span / dests.max(1) as f64;
        let own = self.by_dest.get(&dest).copied().map_or(0.0, f64::from);
        (own + weight) / (span + weight / mean.max(1e-6))
    }
}

/// Statistics of lost and refused connections.
#[derive(Debug, Default)]
pub(crate) struct ConnectionStats {
    /// When a connection was last refused, by kind of destination.
    pub(crate) refused_by_kind: BTreeMap<usize, Ms>,
    /// Share of failed calls on connections that had been idle.
    pub(crate) idle_failure_rate: f64,
    /// Share of failed calls on other connections.
    pub(crate) other_failure_rate: f64,
    /// When an idle connection was last lost, and the shortest idle time after which one was.
    pub(crate) idle_loss: Option<(Ms, Ms)>,
}

impl ConnectionStats {
    /// Counts a call and returns the failure rates of connections that had been idle and of others.
    pub(crate) fn record(&mut self, idle: bool, failed: f64, weight: f64) -> (f64, f64) {
        let share = if idle { &mut self.idle_failure_rate } else { &mut self.other_failure_rate };
        *share += weight * (failed - *share);
        (self.idle_failure_rate, self.other_failure_rate)
    }

    /// The shortest idle time after which a connection was lost within the last `memory`.
    pub(crate) fn shortest_idle_loss(&self, now: Ms, memory: Ms) -> Ms {
        self.idle_loss.filter(|l| now - l.0 < memory).map_or(f64::MAX, |l| l.1)
    }
}

/// Messages of each ordering key in the order of arrival, and the quiet periods of the keys.
#[derive(Debug, Default)]
pub(crate) struct KeyQueues {
    /// For each key: the messages in order of arrival, and the end of its quiet period.
    queues: BTreeMap<u64, (VecDeque<MessageId>, Ms)>,
    /// Number of keys at which unused ones are removed.
    sweep_at: usize,
    /// End of a quiet period of all keys.
    all_quiet_until: Option<Ms>,
}

/// Unused keys are not removed while there are fewer than twice this many.
const MIN_SWEEP_SIZE: usize = 32;

impl KeyQueues {
    pub(crate) fn enter(&mut self, now: Ms, key: u64, id: MessageId) {
        // Most keys are used once; unused ones are removed whenever the number of keys has doubled.
        if self.queues.len() >= self.sweep_at {
            self.queues.retain(|_, k| !k.0.is_empty() || k.1 > now);
            self.sweep_at = 2 * self.queues.len().max(MIN_SWEEP_SIZE);
        }
        self.queues.entry(key).or_insert((VecDeque::new(), f64::MIN)).0.push_back(id);
    }

    pub(crate) fn leave(&mut self, key: u64, id: MessageId) {
        self.queues.entry(key).and_modify(|k| k.0.retain(|x| *x != id));
    }

    pub(crate) fn set_quiet(&mut self, key: u64, until: Ms) {
        self.queues.entry(key).and_modify(|k| k.1 = until);
    }

    pub(crate) fn set_quiet_all(&mut self, until: Ms) {
        self.all_quiet_until = Some(until);
    }

    /// The first message of the key, and the end of its quiet period.
    pub(crate) fn front(&self, key: u64) -> Option<(Option<MessageId>, Ms)> {
        self.queues
            .get(&key)
            .map(|k| (k.0.front().copied(), self.all_quiet_until.map_or(k.1, |all| all.max(k.1))))
    }
}

/// A token bucket: an amount that grows with time up to a bound.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TokenBucket {
    pub(crate) level: f64,
    pub(crate) at: Ms,
}

impl TokenBucket {
    pub(crate) fn refill(&mut self, now: Ms, per_s: f64, most: f64) {
        self.level = (self.level + (now - self.at).max(0.0) * per_s / 1000.0).min(most);
        self.at = now;
    }

    /// Takes the amount if there is enough; returns whether it did.
    pub(crate) fn try_take(&mut self, amount: f64) -> bool {
        let enough = self.level >= amount;
        if enough {
            self.level -= amount;
        }
        enough
    }
}

/// A seeded generator of pseudo-random numbers (xorshift).
#[derive(Debug, Default)]
pub(crate) struct Random(u64);

impl Random {
    pub(crate) fn new(seed: u64) -> Random {
        Random((seed ^ 0x9E37_79B9_7F4A_7C15).max(1))
    }

    /// The next number, from `low` up to `high`.
    pub(crate) fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.next()
    }

    /// The next number, from 0 up to 1.
    pub(crate) fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 % 1024) as f64 / 1024.0
    }
}
