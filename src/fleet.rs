//! What a sender may take for itself as one of many that share destinations and cannot talk to each other.
//!
//! Plain rules: evidence goes in, a span or a rate comes out; no clock, no randomness of its own.

use crate::api::*;
use crate::state::Accepted;

// The pace of a sender that is refused where no limit is told: the refusal sets it, and its growth speeds up while none comes.
const PACE_CUT: f64 = 0.9; // of the rate just accepted
const PACE_PROVEN: f64 = 0.6; // of the proven throughput: no refusal sets the pace lower
const PACE_LEAST: f64 = 3.0; // calls a second of all senders together; less with each refused round
const PACE_MOST: f64 = 1_000.0;
const PACE_GROW: f64 = 0.05; // share a second,
const PACE_RISE: f64 = 0.3; // and more of it for each second without a refusal,
const PACE_CARE: f64 = 0.015; // halved where a refusal costs this share of a mean message
const RATE_SPAN: Ms = 1_000.0; // over which accepted calls are counted,
const RATE_CALLS: usize = 5; // stretched until it holds so many: one call in a second is no rate
const PROVEN_HALF: Ms = 60_000.0; // half-life of the proven throughput

// Connections.
pub(crate) const LINK_MEMORY: Ms = 120_000.0; // evidence on idle connections says so long what now holds
const LINK_CROWD: usize = 16; // senders that may fill a table of connections by keeping one each
const LINK_FULL: Ms = 5_000.0; // with fewer, a table that was full is taken to be full for so long
pub(crate) const LINK_WEIGHT: f64 = 0.3; // of the newest call in a share of failures
pub(crate) const LINK_GAP: f64 = 0.15; // by which calls on idle connections fail more often where those are dropped
pub(crate) const LINK_SLACK: f64 = 0.8; // of the shortest rest after which one was lost
pub(crate) const LINK_LEAST: Ms = 200.0; // a shorter rest is none

/// Calls a second after a refusal, by what was just accepted and what has been of late.
pub(crate) fn pace_cut(now: Ms, good: &Accepted, senders: usize, rounds: u32) -> f64 {
    let least = PACE_LEAST / senders as f64 / f64::from(rounds.max(1));
    (PACE_CUT * good.rate(now, RATE_SPAN, RATE_CALLS)).max(PACE_PROVEN * good.best).max(least)
}

/// A pace after a further `dt` seconds, `quiet` seconds since the last refusal; slower where a refusal is dear.
pub(crate) fn pace_grown(pace: f64, dt: f64, quiet: f64, refused_price: f64) -> f64 {
    let rise = PACE_RISE / (1.0 + refused_price / PACE_CARE);
    (pace * (1.0 + (PACE_GROW + rise * quiet) * dt)).min(PACE_MOST)
}

/// Counts a call that was taken.
pub(crate) fn accepted(now: Ms, good: &mut Accepted) {
    good.add(now, RATE_SPAN, RATE_CALLS, PROVEN_HALF);
}

/// Rounds of refused connections in a row after which a route is taken for shut.
pub(crate) const FULL_ROUNDS: u32 = 6;

/// A refusal at the door: the table of connections is full, or the process takes none. Where answers tell of the limit, a
/// call that met the limit is told of it even as it is refused; one that was turned away on a new connection without a
/// word of it never got so far, and says nothing of the limit.
pub(crate) fn at_the_door(reports: bool, fresh: bool, e: &Ended) -> bool {
    let silent = e.report.limit.is_none() && e.report.left.is_none();
    reports && fresh && silent && e.wait <= 0.0 && e.outcome == Outcome::Refused
}

/// How long to stay away from a full table: places in it come free as calls end, so about as long as a call takes, longer
/// with each refusal in a row, and nobody at the same moment (full jitter over half of it and more).
pub(crate) fn door_rest(call: Ms, row: u32, most: Ms, draw: f64) -> Ms {
    (call * f64::from(1u32 << row.min(8))).min(most) * (0.5 + draw)
}

/// Is an idle connection to a route kept, when it or any of its kind (`kind`) last refused one then? Guards against tables of
/// connections filled by what hundreds of senders keep open and hardly use. Few senders fill no table by being there: only the
/// route that refused is relieved. An outage, or a process replaced, looks the same; then this costs handshakes and nothing else.
pub(crate) fn keeps_idle(now: Ms, senders: usize, route: Option<Ms>, kind: Option<Ms>) -> bool {
    let crowd = kind.filter(|_| senders >= LINK_CROWD);
    let memory = if crowd.is_some() { LINK_MEMORY } else { LINK_FULL };
    crowd.or(route).is_none_or(|t| now - t >= memory)
}

/// Did the connection fail a call? `None`: the outcome says nothing of it. One that broke within its answer was not dropped
/// while it was idle.
pub(crate) fn on_a_link(e: &Ended, watchdog: bool) -> Option<f64> {
    match e.outcome {
        Outcome::Reset if e.heard => Some(0.0),
        Outcome::NotSent | Outcome::NoConnection => None,
        Outcome::Late if watchdog => None,
        Outcome::Reset | Outcome::Late | Outcome::Cancelled => Some(1.0),
        Outcome::Delivered | Outcome::Error | Outcome::Refused => Some(0.0),
    }
}

// A sender's share of a limit.
const CREDIT_START: f64 = 2.0; // calls that a sender may go beyond its share before it knows how full the limit is
const CREDIT_MOST: f64 = 6.0;
const CREDIT_TIME: f64 = 0.05; // calls of credit a second that come back by themselves
const CREDIT_GAIN: f64 = 0.3; // calls of credit for an answer that tells of a limit with all of it left
const GAIN_USUAL: f64 = 0.9; // of the even share is sent by one that is refused now and then
const GAIN_LEAST: f64 = 0.4;
const GAIN_GROW: f64 = 0.05; // share by which it grows for an answer that tells of a limit with all of it left
const GAIN_MOST: f64 = 1_000.0;
const GAIN_CUT: f64 = 0.7; // of it is left by a refusal

/// What this sender takes of a limit that all share. Each has an even part of it as a rate, so that all together stay under
/// the limit however much they hold; what others leave unused it takes as credit, calls beyond its part, that grows while
/// answers tell of room and is gone with a refusal. Guards against refused calls, which use the limit up: when all who were
/// refused come again at their own pace, nothing is accepted any more.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Share {
    /// Calls that may go; under 0 and down to the credit, taken ahead.
    level: f64,
    at: Ms,
    credit: f64,
    /// Times the even part.
    gain: f64,
}

impl Default for Share {
    fn default() -> Share {
        Share { level: 1.0, at: f64::MAX, credit: CREDIT_START, gain: 1.0 }
    }
}

/// The middle one.
pub(crate) fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

impl Share {
    /// A new one. Where many begin at this moment with messages at hand (a restart, or news of an endpoint), the first call
    /// goes at a moment of its own within the time of one call.
    pub(crate) fn begin(crowd: bool, draw: f64) -> Share {
        let fresh = Share::default();
        if crowd {
            Share { level: draw, credit: 0.0, ..fresh }
        } else {
            fresh
        }
    }

    /// Calls a second that it lets go in the long run, of a limit for all.
    pub(crate) fn rate(&self, limit: f64, senders: usize) -> f64 {
        limit * self.gain / senders.max(1) as f64
    }

    /// Brings it up to now.
    pub(crate) fn fill(&mut self, now: Ms, limit: f64, senders: usize) {
        let dt = (now - self.at).max(0.0) / 1000.0;
        self.level = (self.level + dt * self.rate(limit, senders)).min(1.0);
        self.credit = (self.credit + dt * CREDIT_TIME).min(CREDIT_MOST);
        self.at = now;
    }

    /// How long until the next call may go.
    pub(crate) fn wait(&self, limit: f64, senders: usize) -> Ms {
        ((1.0 - self.credit - self.level) * 1000.0 / self.rate(limit, senders).max(1e-6)).max(0.0)
    }

    /// Calls that the next one would be beyond its part.
    pub(crate) fn beyond(&self) -> f64 {
        (1.0 - self.level).max(0.0)
    }

    /// A call goes out.
    pub(crate) fn spend(&mut self) {
        self.level -= 1.0;
    }

    /// A call was turned away before it met the limit.
    pub(crate) fn give_back(&mut self) {
        self.level = (self.level + 1.0).min(1.0);
    }

    /// A call was taken, and told which share of the limit is left.
    pub(crate) fn taken(&mut self, left: f64) {
        let left = left.clamp(0.0, 1.0);
        self.credit = (self.credit + CREDIT_GAIN * left).min(CREDIT_MOST);
        self.gain = (self.gain * (1.0 + GAIN_GROW * left)).clamp(GAIN_USUAL, GAIN_MOST);
    }

    /// A call was refused above the limit, with a wait: the next one goes at a moment of its own within the time of one
    /// call at its part, counted from the end of the wait.
    pub(crate) fn refused(&mut self, now: Ms, wait: Ms, limit: f64, senders: usize, draw: f64) {
        self.gain = (self.gain * GAIN_CUT).max(GAIN_LEAST);
        self.credit = 0.0;
        self.level = 0.5 - draw - wait / 1000.0 * self.rate(limit, senders);
        self.at = now;
    }
}

// Asking the registry.
const ASK_BEGIN: Ms = 1_000.0; // it answers at once; a watch that has not begun after so long is asked for anew,
const ASK_QUEUE: Ms = 25.0; // later for each other sender that may be before this one,
const ASK_BEGIN_MOST: Ms = 2_500.0; // and with each in a row that was not answered it is given twice the time, to this
const ASK_AGAIN: Ms = 200.0; // before the next asking; doubled with each failure in a row
const ASK_AGAIN_MOST: Ms = 2_000.0;
const ASK_TURNS_MOST: u32 = 3; // doublings of the crowd's time
const ASK_TURN_UNHEARD: Ms = 800.0; // a crowd's turns where the registry said nothing: it may be back any moment
const ASK_AGAIN_BOUND: Ms = 2_800.0; // an asking and the wait after it stay under what counts as told, 6 s together
const ASK_CROWD: usize = 30; // senders up to which that bound holds, too, where the registry itself turned the asking away
const ASK_TURN: Ms = 100.0; // for each sender: in this time its place in a crowd that lost the registry at one moment comes round
                            // A start with a list of its own asks within this: the list may be old, and an endpoint that drains since is not to be
                            // sent to 2 s after the registry would have told of it.
const ASK_START_MOST: Ms = 800.0;
const ASK_START_GRACE: f64 = 0.4; // and within this part of the grace that a draining endpoint has, where that is less

/// How an asking, or the watch that came of it, ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Unanswered {
    /// Nothing was heard for too long.
    Silent,
    /// No connection, or one that ended, or an answer that made no sense.
    Broken,
    /// The registry turned it away, with a wait in milliseconds or 0.
    Refused(Ms),
}

/// When to ask the registry, for one of many who lose it at the same moment: a release of the senders, or the end of its
/// process. One that is overbooked does work for each who asks; those who give up soon and ask again keep it so.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Asking {
    senders: usize,
    /// The first asking of a start comes within this.
    start_most: Ms,
    /// Failures in a row, and of these the ones that were silence.
    failed: u32,
    silent: u32,
}

impl Asking {
    /// For one of so many senders; `drain_grace`: for how long a draining endpoint may still be sent to once that is told.
    pub(crate) fn new(senders: usize, drain_grace: Ms) -> Asking {
        // 0: none is told.
        let grace = if drain_grace > 0.0 { ASK_START_GRACE * drain_grace } else { ASK_START_MOST };
        let start_most = ASK_START_MOST.min(grace);
        Asking { senders, start_most, failed: 0, silent: 0 }
    }

    /// How long an asking may be without an answer.
    pub(crate) fn patience(&self) -> Ms {
        let crowd = ASK_QUEUE * (self.senders.max(1) - 1) as f64;
        ((ASK_BEGIN + crowd) * f64::from(1u32 << self.silent.min(8))).min(ASK_BEGIN_MOST)
    }

    /// How long to wait before the first asking: a turn among all senders.
    pub(crate) fn first(&self, draw: f64) -> Ms {
        draw * ASK_TURN * (self.senders.max(1) - 1) as f64
    }

    /// How long to wait before the first asking of a process that starts with a list it kept: a turn, within a bound.
    pub(crate) fn start(&self, draw: f64) -> Ms {
        draw * (ASK_TURN * (self.senders.max(1) - 1) as f64).min(self.start_most)
    }

    /// How long to wait before the first asking of a process that starts with no list: it serves nothing until it asks,
    /// so only the registry's time for the senders that may start with it, and half the bound of a start with a list.
    pub(crate) fn empty(&self, draw: f64) -> Ms {
        draw * (ASK_QUEUE * (self.senders.max(1) - 1) as f64).min(self.start_most / 2.0)
    }

    /// An asking failed; returns after how long to ask again. What the registry has counts as told 6 s after it can be
    /// reached, whatever failed before: an asking that waits for its answer ([`Asking::patience`]) and the pause after it
    /// are shorter together. Only an overbooked registry's own refusal may take a large crowd longer, for askings that are
    /// given up would keep it overbooked and nobody would hear it.
    pub(crate) fn failed(&mut self, why: Unanswered, draw: f64) -> Ms {
        let gap = (ASK_AGAIN * f64::from(1u32 << self.failed.min(8))).min(ASK_AGAIN_MOST);
        // Half of the gap and a draw over it; the crowd's turns come on top, and twice as many each time that they were
        // too few.
        let pause = gap * (0.5 + 0.5 * draw);
        let turns = self.first(draw) * f64::from(1u32 << self.failed.min(ASK_TURNS_MOST));
        self.failed += 1;
        match why {
            Unanswered::Refused(wait) if self.senders > ASK_CROWD => wait.max(pause) + turns,
            Unanswered::Refused(wait) => (wait.max(pause) + turns).min(ASK_AGAIN_BOUND),
            Unanswered::Silent | Unanswered::Broken => {
                self.silent += u32::from(why == Unanswered::Silent);
                (pause + self.first(draw).min(draw * ASK_TURN_UNHEARD)).min(ASK_AGAIN_BOUND)
            }
        }
    }

    /// It answers.
    pub(crate) fn settled(&mut self) {
        (self.failed, self.silent) = (0, 0);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::state::Random;
    use std::collections::VecDeque;

    /// Guards against a start that serves from a kept list for many seconds before it asks: 300 senders waited up to 30 s,
    /// and sent to endpoints that had begun to drain meanwhile.
    #[test]
    fn a_start_with_a_kept_list_asks_within_the_bound_however_many_senders() {
        let mut random = Random::new(5);
        for senders in [1, 10, 100, 300, 3_000] {
            let a = Asking::new(senders, 2_000.0);
            let most = (0..1_000).map(|_| a.start(random.next())).fold(0.0, f64::max);
            assert!(most <= ASK_START_MOST, "{senders}: {most}");
            assert!(senders < 10 || most > ASK_START_MOST / 2.0, "still spread: {senders}: {most}");
            // Another customer's endpoints have a grace of half a second, and what the registry has counts as told from the
            // first moment of a new process.
            let a = Asking::new(senders, 500.0);
            let most = (0..1_000).map(|_| a.start(random.next())).fold(0.0, f64::max);
            assert!(most <= 200.0, "{senders}: {most}");
        }
    }

    /// A registry that does one asking in 100 ms, answers 503 to one that has waited 2 s and does its work all the same.
    /// Returns when the last of the senders has its watch.
    fn all_watch(senders: usize, seed: u64) -> Option<Ms> {
        let mut random = Random::new(seed);
        let mut askers: Vec<Asking> = vec![Asking::new(senders, 2_000.0); senders];
        // When each asks next, or until when it waits for the answer.
        let mut at: Vec<(Ms, bool)> = askers.iter().map(|a| (a.first(random.next()), false)).collect();
        let mut has = vec![false; senders];
        let mut queue: VecDeque<usize> = VecDeque::new();
        for tick in 0..600 {
            let now = f64::from(tick) * 100.0;
            for n in (0..senders).filter(|n| !has[*n]) {
                let (due, waits) = at[n];
                if due > now {
                    continue;
                }
                at[n] = if waits {
                    let silent = askers[n].patience() < 2_000.0;
                    let why = if silent { Unanswered::Silent } else { Unanswered::Refused(0.0) };
                    (now + askers[n].failed(why, random.next()), false)
                } else {
                    queue.push_back(n);
                    (now + askers[n].patience().min(2_000.0), true)
                };
            }
            // Whoever has given up is served as well, and gains nothing.
            if let Some(n) = queue.pop_front() {
                has[n] |= at[n].1;
            }
            if has.iter().all(|h| *h) {
                return Some(now);
            }
        }
        None
    }

    /// Guards against a crowd of starts with no list that asks the registry all in one instant: of 100, at most a few
    /// come in any 10 ms, and the last within its bound; one alone asks at once.
    #[test]
    fn starts_with_no_list_are_spread_within_a_bound() {
        let mut random = Random::new(7);
        let a = Asking::new(100, 2_000.0);
        let mut at: Vec<Ms> = (0..100).map(|_| a.empty(random.next())).collect();
        at.sort_by(f64::total_cmp);
        let busiest = at.iter().map(|t| at.iter().filter(|u| **u >= *t && **u < t + 10.0).count()).max();
        assert!(busiest.is_some_and(|b| b <= 8), "{busiest:?}");
        assert!(at[99] <= ASK_START_MOST / 2.0);
        assert_eq!(Asking::new(1, 2_000.0).empty(0.9), 0.0);
    }

    /// Guards against a change that is told 6 s after the registry is back and found nobody asking: however many askings were
    /// not answered, one that waits and the pause after it are over before.
    #[test]
    fn an_unheard_registry_is_asked_again_within_what_counts_as_told() {
        let mut random = Random::new(11);
        for senders in [1, 3, 25, 100, 300, 3_000] {
            for silent in [true, false] {
                let mut a = Asking::new(senders, 2_000.0);
                for n in 0..12 {
                    let patience = if silent { a.patience() } else { 0.0 };
                    let why = if silent { Unanswered::Silent } else { Unanswered::Broken };
                    let all = patience + a.failed(why, random.next());
                    assert!(all < 5_500.0, "{senders} senders, failure {n}: {all}");
                }
            }
        }
        let mut few = Asking::new(ASK_CROWD, 2_000.0);
        for _ in 0..12 {
            let wait = Unanswered::Refused(60_000.0);
            assert!(few.patience() + few.failed(wait, random.next()) < 5_500.0);
        }
    }

    /// A release of the senders: 100 asked an overbooked registry every second or two, and 81 of them never heard it again.
    #[test]
    fn a_crowd_that_lost_the_registry_comes_through_and_a_few_do_at_once() {
        for seed in 1..=5 {
            let crowd = all_watch(100, seed);
            assert!(crowd.is_some_and(|t| t < 30_000.0), "seed {seed}: {crowd:?}");
            let few = all_watch(3, seed);
            assert!(few.is_some_and(|t| t < 800.0), "seed {seed}: {few:?}");
        }
    }

    /// Guards against numbers from outside that would end in a share without bounds.
    #[test]
    fn a_share_stays_within_its_bounds_whatever_it_is_told() {
        let mut share = Share::default();
        for (left, limit) in [(9.0, 1e300), (-3.0, 1e-300), (f64::INFINITY, 25.0), (0.5, 25.0)] {
            share.fill(1_000.0, limit, 100);
            share.taken(left);
            share.refused(1_000.0, 500.0, limit, 100, 0.5);
            assert!(share.level.is_finite() && share.gain.is_finite() && share.credit == 0.0);
            assert!(share.wait(limit, 100) >= 0.0);
            share = Share::default();
        }
    }
}
