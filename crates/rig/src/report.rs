//! The report of one run, and the summary of several.

/// The report of one run.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Report {
    /// Messages that clients submitted.
    pub handed: usize,
    /// Messages accepted with `+OK`.
    pub taken: usize,
    /// Accepted messages that were delivered.
    pub delivered: usize,
    /// Messages for which a notice came: given up or returned.
    pub told: usize,
    /// Ids of accepted messages without a final answer.
    pub lost: Vec<String>,
    /// Ids of at-most-once messages that took effect more than once.
    pub doubled: Vec<String>,
    /// Pairs of attempts of one key that overlapped.
    pub overlapping: Vec<String>,
    /// Ids of messages that got two different final answers.
    pub told_twice: Vec<String>,
    /// Attempts whose request differed from the message that was submitted.
    pub altered: Vec<String>,
    /// Ids of messages whose final answer came long after their deadline.
    pub late: Vec<String>,
    /// Misbehaving clients whose connection stayed open too long.
    pub hanging: Vec<String>,
    /// Dispatchers that were over their memory limit.
    pub over_memory: Vec<String>,
    /// Dispatchers whose state folder exceeded its limit at any time.
    pub over_disk: Vec<String>,
    /// Log lines of the dispatchers that count violations of their own rules.
    pub violations: Vec<String>,
    /// Log lines of the dispatchers that report a panic.
    pub panics: Vec<String>,
    /// Watch requests at the registry.
    pub asks: usize,
    /// Largest number of watch requests in any 10 ms.
    pub asks_in_10ms: usize,
    /// When each watch request came, in milliseconds from the start of the load (negative for those of the first starts).
    pub asks_at_ms: Vec<i64>,
    /// For each bucket, the share of the messages submitted in it that were delivered within their wanted time.
    pub share: Vec<f64>,
    /// Mean of `share` before the first step, without the first second.
    pub level: f64,
    /// Milliseconds from the last start of the timeline to the first delivery after it.
    pub first_delivery_ms: Option<u64>,
    /// Milliseconds from the last start of the timeline until `share` stays at most 0.02 below `level` for 5 s.
    pub full_service_ms: Option<u64>,
    /// Starts that failed (the process did not listen within 15 s).
    pub failed_starts: usize,
    /// Largest number of calls at any endpoint in one second that begins within 10 s of the last kill or SIGTERM, divided by the
    /// limit; `None` without a limit.
    pub peak_over_limit: Option<f64>,
    /// Largest number of calls at any cold endpoint within its overload window, divided by its crash threshold.
    pub cold_peak_over_limit: Option<f64>,
    /// Crashes of cold endpoints.
    pub falls: usize,
    /// Calls that endpoints refused because of their limit or because their queue was full.
    pub refused: usize,
    /// Percentiles of the time from a message's intended time to its effect, in milliseconds.
    pub latency_ms: Vec<(f64, f64)>,
    /// Calls at each endpoint, by bucket.
    pub calls: Vec<Vec<usize>>,
    /// Dispatchers that accepted clients at the start of each bucket.
    pub serving: Vec<usize>,
    /// Messages submitted again to dispatchers whose state folder was removed.
    pub again: usize,
    /// Messages of `again` that got their final answer as the reply to the submission, without a call.
    pub again_without_call: usize,
}

impl Report {
    /// Whether no invariant was broken and every start succeeded.
    pub fn clean(&self) -> bool {
        self.lost.is_empty()
            && self.doubled.is_empty()
            && self.overlapping.is_empty()
            && self.told_twice.is_empty()
            && self.altered.is_empty()
            && self.hanging.is_empty()
            && self.over_memory.is_empty()
            && self.late.is_empty()
            && self.over_disk.is_empty()
            && self.violations.is_empty()
            && self.panics.is_empty()
            && self.failed_starts == 0
    }
}

/// Summary of several runs of one scenario: sums, and quantiles over the runs that have a value.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Trials {
    /// Number of runs.
    pub trials: usize,
    /// Messages accepted in all runs.
    pub taken: usize,
    /// Accepted messages that were delivered.
    pub delivered: usize,
    /// Messages for which a notice came: given up or returned.
    pub told: usize,
    /// Accepted messages without a final answer.
    pub lost: usize,
    /// At-most-once messages that took effect more than once.
    pub doubled: usize,
    /// Pairs of attempts of one key that overlapped.
    pub overlapping: usize,
    /// Messages that got two different final answers.
    pub told_twice: usize,
    /// Attempts whose request differed from the message that was submitted.
    pub altered: usize,
    /// Runs that did not reach full service.
    pub never_full: usize,
    /// Milliseconds to full service: median (nearest rank) of the runs that reached it.
    pub full_service_p50_ms: Option<u64>,
    /// Milliseconds to full service: 99th percentile (nearest rank) of the runs that reached it.
    pub full_service_p99_ms: Option<u64>,
    /// Largest number of watch requests at the registry in any 10 ms of any run.
    pub asks_in_10ms: usize,
    /// `peak_over_limit`: median over the runs.
    pub peak_p50: Option<f64>,
    /// `peak_over_limit`: maximum over the runs.
    pub peak_most: Option<f64>,
    /// Crashes of cold endpoints.
    pub falls: usize,
    /// Messages submitted again to dispatchers whose state folder was removed.
    pub again: usize,
    /// Messages of `again` that got their final answer without a call.
    pub again_without_call: usize,
    /// Starts that failed.
    pub failed_starts: usize,
}

impl Trials {
    /// Summarizes these reports.
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
            altered: sum(|r| r.altered.len()),
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
