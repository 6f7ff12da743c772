//! Measurements of a run: delivered share, time to full service, peaks of calls over limits, latencies.

use hdrhistogram::Histogram;
use lilacbank_load::arrivals::Stream;
use lilacbank_load::client::Submission;
use lilacbank_load::member::{Effect, Limit};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Length of a bucket of the time series, in milliseconds.
pub const BUCKET_MS: u64 = 500;
/// In full service, the delivered share is at most this far below its level before the first step.
const FULL_SERVICE_TOLERANCE: f64 = 0.02;
/// Number of consecutive buckets (5 s) for which the share has to be in tolerance for full service.
const FULL_SERVICE_BUCKETS: usize = 10;
/// The first second, in milliseconds, is not part of the level before the first step, as the rig itself is starting.
const WARM_UP_MS: u64 = 1_000;
/// Time from the last kill or SIGTERM in which the peak of calls is searched.
const PEAK_SPAN: Duration = Duration::from_secs(10);
/// Percentiles of the latency in the report.
const PERCENTILES: [f64; 5] = [50.0, 90.0, 99.0, 99.9, 100.0];

/// Time of the first effect of each message, by the part of its id that all its submissions share.
pub(crate) fn first_effects(effects: &[Effect]) -> HashMap<String, Instant> {
    let mut first: HashMap<String, Instant> = HashMap::new();
    for e in effects {
        let base_id = e.id.rsplit_once('-').map_or(e.id.as_str(), |(b, _)| b).to_string();
        first.entry(base_id).and_modify(|t| *t = (*t).min(e.took_effect_at)).or_insert(e.took_effect_at);
    }
    first
}

/// The part of a message's id that all its submissions share.
fn base_id(h: &Submission) -> String {
    let id = h.message.id(0);
    id.rsplit_once('-').map_or(id.clone(), |(b, _)| b.to_string())
}

/// For each bucket, the share of the messages submitted in it (by intended time) that took effect within their wanted time.
pub(crate) fn shares(
    start: Instant,
    run_ms: u64,
    streams: &[Stream],
    submissions: &[Submission],
    first: &HashMap<String, Instant>,
) -> Vec<f64> {
    let buckets = run_ms.div_ceil(BUCKET_MS) as usize;
    let (mut all, mut in_time) = (vec![0usize; buckets], vec![0usize; buckets]);
    for h in submissions {
        let b = (h.message.planned_at.as_millis() as u64 / BUCKET_MS) as usize;
        let Some(n) = all.get_mut(b) else { continue };
        *n += 1;
        let due = start + h.message.planned_at + streams[h.message.stream_index].full_worth_within;
        if first.get(&base_id(h)).is_some_and(|at| *at <= due) {
            in_time[b] += 1;
        }
    }
    all.iter().zip(&in_time).map(|(a, g)| if *a == 0 { 1.0 } else { *g as f64 / *a as f64 }).collect()
}

/// Percentiles of the latencies of delivered messages, from their intended times, in milliseconds.
pub(crate) fn latencies(
    start: Instant,
    submissions: &[Submission],
    first: &HashMap<String, Instant>,
) -> Vec<(f64, f64)> {
    let Ok(mut delays) = Histogram::<u64>::new(3) else { return Vec::new() };
    for h in submissions {
        if let Some(at) = first.get(&base_id(h)) {
            let _ =
                delays.record(at.saturating_duration_since(start + h.message.planned_at).as_micros() as u64);
        }
    }
    PERCENTILES.iter().map(|p| (*p, delays.value_at_percentile(*p) as f64 / 1_000.0)).collect()
}

/// Mean of the delivered share before the first step.
pub(crate) fn level(share: &[f64], first_step: u64) -> f64 {
    let before: Vec<f64> = share
        .iter()
        .enumerate()
        .filter(|(b, _)| (*b as u64) * BUCKET_MS >= WARM_UP_MS && (*b as u64 + 1) * BUCKET_MS <= first_step)
        .map(|(_, s)| *s)
        .collect();
    if before.is_empty() {
        1.0
    } else {
        before.iter().sum::<f64>() / before.len() as f64
    }
}

/// Milliseconds from `from` until the share stays at most [`FULL_SERVICE_TOLERANCE`] below `level` for
/// [`FULL_SERVICE_BUCKETS`] buckets.
pub(crate) fn full_service(share: &[f64], level: f64, from: u64) -> Option<u64> {
    let first = from.div_ceil(BUCKET_MS) as usize;
    (first..share.len().saturating_sub(FULL_SERVICE_BUCKETS - 1))
        .find(|b| share[*b..*b + FULL_SERVICE_BUCKETS].iter().all(|s| *s >= level - FULL_SERVICE_TOLERANCE))
        .map(|b| b as u64 * BUCKET_MS - from)
}

/// Number of calls in the busiest second that begins within 10 s of `from`, divided by the limit.
pub(crate) fn peak(calls: &[Instant], from: Instant, limit: &Limit) -> f64 {
    busiest(calls, from, from + PEAK_SPAN, Duration::from_secs(1)) as f64 / f64::from(limit.per_second.max(1))
}

/// Number of calls in the busiest `overload_window` while an endpoint is cold, divided by the threshold above which it crashes
/// right after its recovery.
pub(crate) fn cold_peak(calls: &[Instant], recovered: Instant, limit: &Limit) -> f64 {
    busiest(calls, recovered, recovered + limit.cold, limit.overload_window) as f64
        / limit.crash_threshold(limit.cold_from)
}

/// Largest number of calls in a span of this length that begins with a call between `from` and `until`.
fn busiest(calls: &[Instant], from: Instant, until: Instant, span: Duration) -> usize {
    let inside: Vec<Instant> = calls.iter().copied().filter(|c| *c >= from && *c < until + span).collect();
    let mut end = 0;
    let mut max = 0;
    for (n, at) in inside.iter().enumerate().filter(|(_, at)| **at < until) {
        while inside.get(end).is_some_and(|c| *c < *at + span) {
            end += 1;
        }
        max = max.max(end - n);
    }
    max
}

/// Number of these times in each bucket of the run.
pub(crate) fn count_by_bucket(start: Instant, run_ms: u64, times: &[Instant]) -> Vec<usize> {
    let mut all = vec![0; run_ms.div_ceil(BUCKET_MS) as usize];
    for t in times.iter().filter(|t| **t >= start) {
        let b = (t.duration_since(start).as_millis() as u64 / BUCKET_MS) as usize;
        all.get_mut(b).into_iter().for_each(|n| *n += 1);
    }
    all
}

#[cfg(test)]
mod tests;
