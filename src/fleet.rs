//! What a dispatcher may use as one of many that share destinations and cannot talk to each other.
//!
//! Pure rules: evidence goes in, a span or a rate comes out. No clock, and no randomness of their own.

use crate::api::*;
use crate::state::AcceptedCalls;

// The pace of a dispatcher that is refused where no limit is known. A refusal sets the pace; the pace then
// grows, ever faster while no refusal comes.

/// Share of the rate just accepted that becomes the pace after a refusal.
const PACE_AFTER_REFUSAL: f64 = 0.9;
/// Share of the best rate of late below which no refusal sets the pace.
const MIN_PACE_OF_BEST: f64 = 0.6;
/// Lower bound of the pace in calls a second, of all dispatchers together; divided by the rounds of refusals.
const MIN_PACE: f64 = 3.0;
/// Upper bound of the pace in calls a second.
const MAX_PACE: f64 = 1_000.0;
/// Share by which the pace grows in a second.
const PACE_GROWTH: f64 = 0.05;
/// Increase of that share for each second without a refusal.
const PACE_ACCELERATION: f64 = 0.3;
/// Price of a refusal, in shares of a mean message, at which [`PACE_ACCELERATION`] is halved.
const PACE_HALVING_PRICE: f64 = 0.015;
/// Span over which accepted calls are counted for a rate.
const RATE_SPAN: Ms = 1_000.0;
/// The span is stretched until it holds this many calls, because one call in a second is no rate.
const MIN_RATE_CALLS: usize = 5;
/// Half-life of the best rate seen.
const BEST_RATE_HALF_LIFE: Ms = 60_000.0;

// Connections.

/// Evidence on lost idle connections, and with many dispatchers on refused ones, holds for this span.
pub(crate) const CONNECTION_MEMORY: Ms = 120_000.0;
/// Number of dispatchers that may fill a connection table by keeping one connection each.
const MANY_DISPATCHERS: usize = 16;
/// With fewer dispatchers, a connection table that was full is assumed to be full for this span.
const FULL_TABLE_SPAN: Ms = 5_000.0;
/// Weight of the newest call in a failure rate of connections.
pub(crate) const CONNECTION_FAILURE_WEIGHT: f64 = 0.3;
/// Idle connections are taken to be dropped where the failure rate of calls on them is higher by more than
/// this.
pub(crate) const IDLE_FAILURE_EXCESS: f64 = 0.15;
/// Share of the shortest idle time after which a connection was lost; longer idle ones are replaced.
pub(crate) const IDLE_LOSS_MARGIN: f64 = 0.8;
/// A connection that was unused for a shorter time does not count as idle.
pub(crate) const MIN_IDLE: Ms = 200.0;

/// The pace after a refusal in calls a second, from the calls accepted just now and the best rate of late.
pub(crate) fn pace_after_refusal(now: Ms, calls: &AcceptedCalls, dispatchers: usize, rounds: u32) -> f64 {
    let least = MIN_PACE / dispatchers as f64 / f64::from(rounds.max(1));
    (PACE_AFTER_REFUSAL * calls.rate(now, RATE_SPAN, MIN_RATE_CALLS))
        .max(MIN_PACE_OF_BEST * calls.best)
        .max(least)
}

/// The pace after a further `dt` seconds, `quiet` seconds since the last refusal. It grows more slowly where
/// a refusal is expensive.
pub(crate) fn pace_after_quiet(pace: f64, dt: f64, quiet: f64, refused_price: f64) -> f64 {
    let acceleration = PACE_ACCELERATION / (1.0 + refused_price / PACE_HALVING_PRICE);
    (pace * (1.0 + (PACE_GROWTH + acceleration * quiet) * dt)).min(MAX_PACE)
}

/// Counts an accepted call.
pub(crate) fn record_accepted(now: Ms, calls: &mut AcceptedCalls) {
    calls.add(now, RATE_SPAN, MIN_RATE_CALLS, BEST_RATE_HALF_LIFE);
}

/// Refusals from a full connection table in a row after which they count like any other refusal.
pub(crate) const MAX_FULL_TABLE_ROUNDS: u32 = 6;

/// Whether a refusal came before the limit was consulted: the connection table is full, or the process
/// accepts no connections. Where answers report the limit, a call that reached the limit gets the report even
/// if it is refused. One that was refused on a new connection without a report never got that far, and says
/// nothing about the limit.
pub(crate) fn refused_before_limit(reports: bool, new_connection: bool, e: &AttemptEnd) -> bool {
    let no_report = e.report.limit.is_none() && e.report.remaining_share.is_none();
    reports && new_connection && no_report && e.retry_after <= 0.0 && e.outcome == Outcome::Refused
}

/// Wait after a refusal from a full connection table. Places come free as calls end, so the wait is about as
/// long as a call takes and doubles with each refusal in a row. `draw` spreads it over half to one and a half
/// of that, so that dispatchers do not return together.
pub(crate) fn full_table_backoff(call: Ms, refusals: u32, max_wait: Ms, draw: f64) -> Ms {
    (call * f64::from(1u32 << refusals.min(8))).min(max_wait) * (0.5 + draw)
}

/// Whether an idle connection to an endpoint is kept, given when the endpoint (`endpoint`) and any endpoint
/// of its kind (`kind`) last refused a connection. Keeps connection tables from being filled by hundreds of
/// dispatchers whose connections are hardly used. A few dispatchers cannot fill a table by their idle
/// connections, so for them only the endpoint that refused is relieved. An outage or a replaced process looks
/// the same; closing then costs handshakes and nothing else.
pub(crate) fn keeps_idle_connections(
    now: Ms,
    dispatchers: usize,
    endpoint: Option<Ms>,
    kind: Option<Ms>,
) -> bool {
    let by_kind = kind.filter(|_| dispatchers >= MANY_DISPATCHERS);
    let memory = if by_kind.is_some() { CONNECTION_MEMORY } else { FULL_TABLE_SPAN };
    by_kind.or(endpoint).is_none_or(|t| now - t >= memory)
}

/// Whether the connection failed a call, as 1 or 0; `None` if the outcome does not tell. A connection that
/// broke within its answer had not been dropped while idle.
pub(crate) fn connection_failure(e: &AttemptEnd, watchdog: bool) -> Option<f64> {
    match e.outcome {
        Outcome::Reset if e.answer_begun => Some(0.0),
        Outcome::NotSent | Outcome::NoConnection => None,
        Outcome::Late if watchdog => None,
        Outcome::Reset | Outcome::Late | Outcome::Cancelled => Some(1.0),
        Outcome::Delivered | Outcome::Error | Outcome::Refused => Some(0.0),
    }
}

// The share of a limit that one dispatcher uses.

/// Calls that a dispatcher may send beyond its even share before it knows how much of the limit is in use.
const INITIAL_CREDIT: f64 = 2.0;
/// Upper bound of the credit, in calls.
const MAX_CREDIT: f64 = 6.0;
/// Calls of credit that are regained every second.
const CREDIT_PER_SECOND: f64 = 0.05;
/// Calls of credit for an answer that reports the whole limit left; in proportion for less.
const CREDIT_PER_ANSWER: f64 = 0.3;
/// Least gain after an accepted call: the part of its even share that a dispatcher sends at which is refused
/// now and then.
const MIN_GAIN_WHEN_ACCEPTED: f64 = 0.9;
/// Lower bound of the gain.
const MIN_GAIN: f64 = 0.4;
/// Share by which the gain grows with an answer that reports the whole limit left; in proportion for less.
const GAIN_PER_ANSWER: f64 = 0.05;
/// Upper bound of the gain.
const MAX_GAIN: f64 = 1_000.0;
/// Share of the gain that is left after a refusal.
const GAIN_AFTER_REFUSAL: f64 = 0.7;

/// The share of a common limit that this dispatcher uses. Each dispatcher sends at an even part of the limit,
/// so that all together stay under it however many messages they hold. What others leave unused it uses as
/// credit: calls beyond its part, which grow while answers report room and are lost with a refusal. Refused
/// calls use up the limit, too: if all that were refused came back at their own pace, nothing would be
/// accepted any more.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LimitShare {
    /// Calls that may be sent; a negative level is credit that is in use.
    level: f64,
    /// Time of the last refill.
    at: Ms,
    /// Calls that may be sent beyond the even part.
    credit: f64,
    /// Factor on the even part.
    gain: f64,
}

impl Default for LimitShare {
    fn default() -> LimitShare {
        LimitShare { level: 1.0, at: f64::MAX, credit: INITIAL_CREDIT, gain: 1.0 }
    }
}

/// The median; the upper one of two.
pub(crate) fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

impl LimitShare {
    /// A new share. Where many dispatchers start at the same time with messages pending (after a restart, or
    /// when an endpoint is new on the list), `contended` puts the first call at a random time within one call
    /// interval.
    pub(crate) fn new(contended: bool, draw: f64) -> LimitShare {
        let fresh = LimitShare::default();
        if contended {
            LimitShare { level: draw, credit: 0.0, ..fresh }
        } else {
            fresh
        }
    }

    /// Calls a second that it allows in the long run, given the limit of all dispatchers together.
    pub(crate) fn rate(&self, limit: f64, dispatchers: usize) -> f64 {
        limit * self.gain / dispatchers.max(1) as f64
    }

    /// Refills level and credit up to now.
    pub(crate) fn refill(&mut self, now: Ms, limit: f64, dispatchers: usize) {
        let dt = (now - self.at).max(0.0) / 1000.0;
        self.level = (self.level + dt * self.rate(limit, dispatchers)).min(1.0);
        self.credit = (self.credit + dt * CREDIT_PER_SECOND).min(MAX_CREDIT);
        self.at = now;
    }

    /// Time until the next call may be sent.
    pub(crate) fn wait(&self, limit: f64, dispatchers: usize) -> Ms {
        ((1.0 - self.credit - self.level) * 1000.0 / self.rate(limit, dispatchers).max(1e-6)).max(0.0)
    }

    /// Calls by which the next one would exceed its part.
    pub(crate) fn excess(&self) -> f64 {
        (1.0 - self.level).max(0.0)
    }

    /// Accounts for a call that starts.
    pub(crate) fn spend(&mut self) {
        self.level -= 1.0;
    }

    /// Takes back a call that was refused before it was counted against the limit.
    pub(crate) fn refund(&mut self) {
        self.level = (self.level + 1.0).min(1.0);
    }

    /// Accounts for an accepted call whose answer reported the share `left` of the limit.
    pub(crate) fn accepted(&mut self, left: f64) {
        let left = left.clamp(0.0, 1.0);
        self.credit = (self.credit + CREDIT_PER_ANSWER * left).min(MAX_CREDIT);
        self.gain = (self.gain * (1.0 + GAIN_PER_ANSWER * left)).clamp(MIN_GAIN_WHEN_ACCEPTED, MAX_GAIN);
    }

    /// Accounts for a call that the limit refused, with a wait. The next call goes at a random time, half to
    /// one and a half call intervals after the end of the wait.
    pub(crate) fn refused(&mut self, now: Ms, wait: Ms, limit: f64, dispatchers: usize, draw: f64) {
        self.gain = (self.gain * GAIN_AFTER_REFUSAL).max(MIN_GAIN);
        self.credit = 0.0;
        self.level = 0.5 - draw - wait / 1000.0 * self.rate(limit, dispatchers);
        self.at = now;
    }
}

// Requests to the registry.

/// A request that has no answer after this span is made again; the registry usually answers at once.
const FIRST_ANSWER_TIMEOUT: Ms = 1_000.0;
/// Extension of that span for each other dispatcher whose request may be served before.
const ANSWER_TIME_PER_DISPATCHER: Ms = 25.0;
/// Upper bound of the span, which doubles with each unanswered request in a row.
const MAX_ANSWER_TIMEOUT: Ms = 2_500.0;
/// Time before the next request after a failure; doubled with each failure in a row.
const FIRST_RETRY_GAP: Ms = 200.0;
/// Upper bound of that time, before it is spread over the dispatchers.
const MAX_RETRY_GAP: Ms = 2_000.0;
/// Number of times that the spread over the dispatchers is doubled.
const MAX_SPREAD_DOUBLINGS: u32 = 3;
/// Upper bound of the spread where the registry did not answer: it may be back any moment.
const MAX_SPREAD_UNANSWERED: Ms = 800.0;
/// Upper bound of the time before the next request. Together with [`MAX_ANSWER_TIMEOUT`] it stays under the 6
/// s after which a change in the registry counts as known here.
const MAX_RETRY_DELAY: Ms = 2_800.0;
/// With up to this many dispatchers the bound also holds where the registry itself refused the request.
const BOUNDED_DISPATCHERS: usize = 30;
/// Time for each dispatcher over which the requests of all that lost the registry together are spread.
const SPREAD_PER_DISPATCHER: Ms = 100.0;
/// A start with a cached endpoint list makes its first request within this span. The list may be old, and an
/// endpoint that has begun to drain since must get nothing 2 s after the registry would have reported that.
const MAX_START_DELAY: Ms = 800.0;
/// The same bound as a share of the grace of a draining endpoint, where that is less.
const START_DELAY_GRACE_SHARE: f64 = 0.4;

/// How a request for the endpoint list, or the watch that it opened, failed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum RequestFailure {
    /// Nothing was received for too long.
    TimedOut,
    /// No connection, a connection that ended, or an invalid answer.
    Broken,
    /// The registry refused the request; its retry-after in milliseconds, or 0.
    Refused(Ms),
}

/// Schedules requests to the registry for one of many dispatchers that lose it at the same moment, as in a
/// release of the dispatchers or when the registry's process ends. An overloaded registry works on every
/// request, so those that give up early and ask again keep it overloaded.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RegistryBackoff {
    dispatchers: usize,
    /// Upper bound of the delay of the first request after a start.
    max_start_delay: Ms,
    /// Failures in a row.
    failed: u32,
    /// Failures in a row that were [`RequestFailure::TimedOut`].
    silent: u32,
}

impl RegistryBackoff {
    /// For one of `dispatchers`; `drain_grace` is how long a draining endpoint may still be sent to after
    /// that was reported.
    pub(crate) fn new(dispatchers: usize, drain_grace: Ms) -> RegistryBackoff {
        // 0 means that no grace is configured.
        let grace = if drain_grace > 0.0 { START_DELAY_GRACE_SHARE * drain_grace } else { MAX_START_DELAY };
        let max_start_delay = MAX_START_DELAY.min(grace);
        RegistryBackoff { dispatchers, max_start_delay, failed: 0, silent: 0 }
    }

    /// How long a request may go without an answer.
    pub(crate) fn answer_timeout(&self) -> Ms {
        let queue = ANSWER_TIME_PER_DISPATCHER * (self.dispatchers.max(1) - 1) as f64;
        ((FIRST_ANSWER_TIMEOUT + queue) * f64::from(1u32 << self.silent.min(8))).min(MAX_ANSWER_TIMEOUT)
    }

    /// Delay of the first request, spread over all dispatchers.
    pub(crate) fn first_delay(&self, draw: f64) -> Ms {
        draw * SPREAD_PER_DISPATCHER * (self.dispatchers.max(1) - 1) as f64
    }

    /// Delay of the first request of a process that starts with a cached endpoint list: spread over all
    /// dispatchers, within a bound.
    pub(crate) fn start_delay_with_cached_list(&self, draw: f64) -> Ms {
        draw * (SPREAD_PER_DISPATCHER * (self.dispatchers.max(1) - 1) as f64).min(self.max_start_delay)
    }

    /// Delay of the first request of a process that starts without a list. It serves nothing until the list
    /// is there, so the delay covers only the time in which the registry serves the dispatchers that may
    /// start together, and at most half the bound of a start with a list.
    pub(crate) fn start_delay_without_list(&self, draw: f64) -> Ms {
        draw * (ANSWER_TIME_PER_DISPATCHER * (self.dispatchers.max(1) - 1) as f64)
            .min(self.max_start_delay / 2.0)
    }

    /// Records a failed request and returns the delay of the next one. What the registry has counts as known
    /// here 6 s after it can be reached, whatever failed before, and an unanswered request
    /// ([`RegistryBackoff::answer_timeout`]) and the delay after it are shorter together. Only the refusal of an
    /// overloaded registry may delay many dispatchers for longer: requests that are given up early would keep it
    /// overloaded, and nobody would get an answer.
    pub(crate) fn record_failure(&mut self, why: RequestFailure, draw: f64) -> Ms {
        let gap = (FIRST_RETRY_GAP * f64::from(1u32 << self.failed.min(8))).min(MAX_RETRY_GAP);
        // Between half of the gap and the whole. The spread over the dispatchers is added, and doubles with
        // each failure, because the previous spread was too short.
        let pause = gap * (0.5 + 0.5 * draw);
        let spread = self.first_delay(draw) * f64::from(1u32 << self.failed.min(MAX_SPREAD_DOUBLINGS));
        self.failed += 1;
        match why {
            RequestFailure::Refused(wait) if self.dispatchers > BOUNDED_DISPATCHERS => {
                wait.max(pause) + spread
            }
            RequestFailure::Refused(wait) => (wait.max(pause) + spread).min(MAX_RETRY_DELAY),
            RequestFailure::TimedOut | RequestFailure::Broken => {
                self.silent += u32::from(why == RequestFailure::TimedOut);
                (pause + self.first_delay(draw).min(draw * MAX_SPREAD_UNANSWERED)).min(MAX_RETRY_DELAY)
            }
        }
    }

    /// Records an answer.
    pub(crate) fn record_answer(&mut self) {
        (self.failed, self.silent) = (0, 0);
    }
}

#[cfg(test)]
mod tests;
