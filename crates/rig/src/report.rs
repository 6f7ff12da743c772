//! What a play showed, and the sum of many.

/// What one play showed.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Report {
    /// Messages handed in.
    pub handed: usize,
    /// Taken with `+OK`.
    pub taken: usize,
    /// Taken and delivered.
    pub delivered: usize,
    /// Taken and given up with a notice.
    pub told: usize,
    /// Ids of what was taken and never answered.
    pub lost: Vec<String>,
    /// Ids of unsafe messages that took effect more than once.
    pub doubled: Vec<String>,
    /// Pairs of calls of one key that overlapped.
    pub overlapping: Vec<String>,
    /// Ids told two final answers that differ.
    pub told_twice: Vec<String>,
    /// Ids of what got its end long after its time.
    pub late: Vec<String>,
    /// Clients that misbehaved and whose connection stayed open beyond its time.
    pub hanging: Vec<String>,
    /// Dispatchers whose folder held more than its limit at some moment.
    pub over_disk: Vec<String>,
    /// Lines of the dispatchers' logs that count what their own rules forbid and was done all the same.
    pub violations: Vec<String>,
    /// Lines of their logs that tell of a panic.
    pub panics: Vec<String>,
    /// The registry's askings.
    pub asks: usize,
    /// The most askings in any 10 ms.
    pub asks_in_10ms: usize,
    /// When each asking came, in milliseconds from the start of the load (those of the first starts are below 0).
    pub asks_at_ms: Vec<i64>,
    /// Share of the messages handed in each bucket that were delivered within their wanted time.
    pub share: Vec<f64>,
    /// The share before the first step (after the first second).
    pub level: f64,
    /// Milliseconds from the last start of the timeline to the first delivery after it.
    pub first_delivery_ms: Option<u64>,
    /// Milliseconds from the last start of the timeline until the share stays within 2% of `level` for 5 s.
    pub full_service_ms: Option<u64>,
    /// Starts that failed (no address within 15 s).
    pub failed_starts: usize,
    /// Calls of the busiest second from the last kill on (10 s long) at any member, over its limit; none without a limit.
    pub peak_over_limit: Option<f64>,
    /// The same over a cold member's reduced limit, in the spans in which one was cold.
    pub cold_peak_over_limit: Option<f64>,
    /// Times that a member fell over while it was cold.
    pub falls: usize,
    /// Calls that members refused for their limit or for want of room.
    pub refused: usize,
    /// Milliseconds from the intended time of a message to its effect, by percentile (hdrhistogram).
    pub latency_ms: Vec<(f64, f64)>,
    /// Calls at each member in each bucket.
    pub calls: Vec<Vec<usize>>,
    /// Dispatchers that took clients at the start of each bucket.
    pub serving: Vec<usize>,
    /// Messages handed in again at dispatchers whose folder was lost, and of these the ones that got their final answer
    /// without a call.
    pub again: usize,
    /// See `again`.
    pub again_without_call: usize,
}

impl Report {
    /// No rule was broken and every start succeeded.
    pub fn clean(&self) -> bool {
        self.lost.is_empty()
            && self.doubled.is_empty()
            && self.overlapping.is_empty()
            && self.told_twice.is_empty()
            && self.hanging.is_empty()
            && self.late.is_empty()
            && self.over_disk.is_empty()
            && self.violations.is_empty()
            && self.panics.is_empty()
            && self.failed_starts == 0
    }
}

/// What many plays of one scenario showed, summed; times by quantile over the plays that reached them.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Trials {
    /// Plays.
    pub trials: usize,
    /// Messages taken in all plays.
    pub taken: usize,
    /// Delivered.
    pub delivered: usize,
    /// Told as given up.
    pub told: usize,
    /// Lost.
    pub lost: usize,
    /// Doubled unsafe effects.
    pub doubled: usize,
    /// Overlapping calls of a key.
    pub overlapping: usize,
    /// Told more than once.
    pub told_twice: usize,
    /// Plays that never reached full service.
    pub never_full: usize,
    /// Milliseconds to full service: median (nearest rank) of the plays that reached it,
    pub full_service_p50_ms: Option<u64>,
    /// and the 99th percentile.
    pub full_service_p99_ms: Option<u64>,
    /// The most askings of the registry in 10 ms, in any play.
    pub asks_in_10ms: usize,
    /// The highest peak over a member's limit after the wave: median over the plays,
    pub peak_p50: Option<f64>,
    /// and the highest of all.
    pub peak_most: Option<f64>,
    /// Falls of cold members.
    pub falls: usize,
    /// Messages handed in again where a folder was lost,
    pub again: usize,
    /// and of these answered without a call.
    pub again_without_call: usize,
    /// Starts that failed.
    pub failed_starts: usize,
}

impl Trials {
    /// The sum of these reports.
    pub fn of(reports: &[Report]) -> Trials {
        let mut full: Vec<u64> = reports.iter().filter_map(|r| r.full_service_ms).collect();
        full.sort_unstable();
        let rank = |q: f64| full.get(((q * full.len() as f64).ceil() as usize).saturating_sub(1)).copied();
        let sum = |f: fn(&Report) -> usize| reports.iter().map(f).sum();
        let mut peaks: Vec<f64> = reports.iter().filter_map(|r| r.peak_over_limit).collect();
        peaks.sort_by(f64::total_cmp);
        Trials {
            trials: reports.len(),
            taken: sum(|r| r.taken),
            delivered: sum(|r| r.delivered),
            told: sum(|r| r.told),
            lost: sum(|r| r.lost.len()),
            doubled: sum(|r| r.doubled.len()),
            overlapping: sum(|r| r.overlapping.len()),
            told_twice: sum(|r| r.told_twice.len()),
            never_full: reports.len() - full.len(),
            full_service_p50_ms: rank(0.5),
            full_service_p99_ms: rank(0.99),
            asks_in_10ms: reports.iter().map(|r| r.asks_in_10ms).max().unwrap_or(0),
            peak_p50: peaks.get(peaks.len() / 2).copied(),
            peak_most: peaks.last().copied(),
            falls: sum(|r| r.falls),
            again: sum(|r| r.again),
            again_without_call: sum(|r| r.again_without_call),
            failed_starts: sum(|r| r.failed_starts),
        }
    }
}
