//! What is measured in a play: the delivered share, time to full service, peaks of calls over limits, latencies.

use hdrhistogram::Histogram;
use lilacbank_load::arrivals::Stream;
use lilacbank_load::client::Handed;
use lilacbank_load::member::{Effect, Limit};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Buckets of the delivered share, in milliseconds.
pub const BUCKET_MS: u64 = 500;
/// Full service: the share within this of its level before the first step,
const FULL_WITHIN: f64 = 0.02;
/// for so many buckets in a row (5 s).
const FULL_FOR: usize = 10;
/// The first second is the rig's own start, not the level before the fault.
const WARM_MS: u64 = 1_000;
/// Peaks of calls are looked for so long from the wave on.
const PEAK_SPAN: Duration = Duration::from_secs(10);
/// Percentiles of the latency that are reported.
const PERCENTILES: [f64; 5] = [50.0, 90.0, 99.0, 99.9, 100.0];

/// The first effect of each message, by its name without the number of its hand-in.
pub(crate) fn first_effects(effects: &[Effect]) -> HashMap<String, Instant> {
    let mut first: HashMap<String, Instant> = HashMap::new();
    for e in effects {
        let base = e.id.rsplit_once('-').map_or(e.id.as_str(), |(b, _)| b).to_string();
        first.entry(base).and_modify(|t| *t = (*t).min(e.at)).or_insert(e.at);
    }
    first
}

fn name(h: &Handed) -> String {
    let id = h.what.id(0);
    id.rsplit_once('-').map_or(id.clone(), |(b, _)| b.to_string())
}

/// Share of the messages handed in each bucket (by intended time) that took effect within their wanted time.
pub(crate) fn shares(
    start: Instant,
    run_ms: u64,
    streams: &[Stream],
    handed: &[Handed],
    first: &HashMap<String, Instant>,
) -> Vec<f64> {
    let buckets = run_ms.div_ceil(BUCKET_MS) as usize;
    let (mut all, mut good) = (vec![0usize; buckets], vec![0usize; buckets]);
    for h in handed {
        let b = (h.what.at.as_millis() as u64 / BUCKET_MS) as usize;
        let Some(n) = all.get_mut(b) else { continue };
        *n += 1;
        let due = start + h.what.at + streams[h.what.stream].wanted;
        if first.get(&name(h)).is_some_and(|at| *at <= due) {
            good[b] += 1;
        }
    }
    all.iter().zip(&good).map(|(a, g)| if *a == 0 { 1.0 } else { *g as f64 / *a as f64 }).collect()
}

/// Latencies of what was delivered, from the intended times, as percentiles in milliseconds.
pub(crate) fn latencies(
    start: Instant,
    handed: &[Handed],
    first: &HashMap<String, Instant>,
) -> Vec<(f64, f64)> {
    let Ok(mut delays) = Histogram::<u64>::new(3) else { return Vec::new() };
    for h in handed {
        if let Some(at) = first.get(&name(h)) {
            let _ = delays.record(at.saturating_duration_since(start + h.what.at).as_micros() as u64);
        }
    }
    PERCENTILES.iter().map(|p| (*p, delays.value_at_percentile(*p) as f64 / 1_000.0)).collect()
}

/// The level of the share before the first step.
pub(crate) fn level(share: &[f64], first_step: u64) -> f64 {
    let before: Vec<f64> = share
        .iter()
        .enumerate()
        .filter(|(b, _)| (*b as u64) * BUCKET_MS >= WARM_MS && (*b as u64 + 1) * BUCKET_MS <= first_step)
        .map(|(_, s)| *s)
        .collect();
    if before.is_empty() {
        1.0
    } else {
        before.iter().sum::<f64>() / before.len() as f64
    }
}

/// Milliseconds from `from` until the share stays within [`FULL_WITHIN`] of `level` for [`FULL_FOR`] buckets.
pub(crate) fn full_service(share: &[f64], level: f64, from: u64) -> Option<u64> {
    let first = from.div_ceil(BUCKET_MS) as usize;
    (first..share.len().saturating_sub(FULL_FOR - 1))
        .find(|b| share[*b..*b + FULL_FOR].iter().all(|s| *s >= level - FULL_WITHIN))
        .map(|b| b as u64 * BUCKET_MS - from)
}

/// Calls of the busiest second that begins within 10 s of `from`, over the limit.
pub(crate) fn peak(calls: &[Instant], from: Instant, limit: &Limit) -> f64 {
    busiest(calls, from, from + PEAK_SPAN, Duration::from_secs(1)) as f64 / f64::from(limit.per_second.max(1))
}

/// Calls of the busiest `over` of a cold span, over what makes a cold one fall at its beginning: at 1.0 it falls.
pub(crate) fn cold_peak(calls: &[Instant], back: Instant, limit: &Limit) -> f64 {
    busiest(calls, back, back + limit.cold, limit.over) as f64 / limit.fall_at(limit.cold_from)
}

fn busiest(calls: &[Instant], from: Instant, until: Instant, span: Duration) -> usize {
    let inside: Vec<Instant> = calls.iter().copied().filter(|c| *c >= from && *c < until + span).collect();
    let mut last = 0;
    let mut most = 0;
    for (n, at) in inside.iter().enumerate().filter(|(_, at)| **at < until) {
        while inside.get(last).is_some_and(|c| *c < *at + span) {
            last += 1;
        }
        most = most.max(last - n);
    }
    most
}

/// How many of these times lie in each bucket of the run.
pub(crate) fn buckets(start: Instant, run_ms: u64, times: &[Instant]) -> Vec<usize> {
    let mut all = vec![0; run_ms.div_ceil(BUCKET_MS) as usize];
    for t in times.iter().filter(|t| **t >= start) {
        let b = (t.duration_since(start).as_millis() as u64 / BUCKET_MS) as usize;
        all.get_mut(b).into_iter().for_each(|n| *n += 1);
    }
    all
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a time to full service that counts a single good bucket, or one before the restart.
    #[test]
    fn full_service_waits_for_five_seconds_in_a_row_after_the_start() {
        let mut share = vec![1.0; 40];
        share[10..14].iter_mut().for_each(|s| *s = 0.2);
        share[16] = 0.5;
        // From the start at 5,000 ms: buckets 10 to 16 are short; 17 begins ten good ones.
        assert_eq!(full_service(&share, 0.99, 5_000), Some(17 * BUCKET_MS - 5_000));
        assert_eq!(full_service(&share[..25], 0.99, 5_000), None, "not five seconds of it left");
    }

    /// Guards against a peak that counts a fixed grid of seconds, or calls from before the wave.
    #[test]
    fn the_busiest_second_is_found_wherever_it_begins() {
        let start = Instant::now();
        let at = |ms: u64| start + Duration::from_millis(ms);
        let second = Duration::from_secs(1);
        let calls: Vec<Instant> = [100, 200, 300, 400, 1_900, 2_000, 2_800].into_iter().map(at).collect();
        assert_eq!(busiest(&calls, at(0), at(10_000), second), 4);
        assert_eq!(busiest(&calls, at(1_000), at(10_000), second), 3, "1.9 s to 2.8 s");
        assert_eq!(busiest(&calls, at(350), at(1_000), second), 1);
        assert_eq!(buckets(start, 3_000, &calls), [4, 0, 0, 1, 1, 1]);
    }
}
