//! Report on a run: joins submissions, effects and times, by tenant.

use crate::arrivals::{PlannedMessage, Stream};
use crate::client::{Admission, Submission};
use crate::member::Effect;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// A message that the driver submitted later than this counts as late: the driver itself distorted the measurement.
pub const MAX_LAG: Duration = Duration::from_millis(50);
/// Number of late messages per thousand up to which a run is valid.
const MAX_LATE_PER_MILLE: usize = 10;

/// Results of one tenant.
#[derive(Debug, Clone)]
pub struct TenantReport {
    /// Messages that its clients were to submit.
    pub submitted: usize,
    /// Messages that were rejected, failed or stayed unanswered at every submission.
    pub rejected: usize,
    /// Messages that were delivered.
    pub delivered: usize,
    /// Delivered worth, as a share of the worth of all its messages.
    pub worth_share: f64,
    /// Delay of delivered messages from their intended times, in microseconds.
    pub delay: Histogram<u64>,
}

impl TenantReport {
    /// A percentile of the delay, in milliseconds.
    pub fn ms(&self, percentile: f64) -> f64 {
        self.delay.value_at_percentile(percentile) as f64 / 1_000.0
    }
}

/// Results of a run.
#[derive(Debug, Clone)]
pub struct Report {
    /// Results of the tenants, by name.
    pub tenants: BTreeMap<String, TenantReport>,
    /// Messages that took effect more than once.
    pub repeated_effects: usize,
    /// Messages with two executions that overlapped.
    pub overlapping: usize,
    /// Messages that the driver submitted late, and all messages.
    pub late_submissions: (usize, usize),
}

impl Report {
    /// Whether the driver submitted messages in time. If not, the measurements of the run are not usable.
    pub fn is_valid(&self) -> bool {
        self.late_submissions.0 * 1_000 <= self.late_submissions.1 * MAX_LATE_PER_MILLE
    }
}

/// Joins what clients and endpoints saw. Messages that were intended before `from` do not count.
pub fn build_report(
    start: Instant,
    from: Duration,
    streams: &[Stream],
    submissions: &[Submission],
    effects: &[Effect],
) -> Report {
    let mut effects_of: HashMap<(usize, usize), Vec<&Effect>> = HashMap::new();
    for e in effects {
        if let Some(message) = PlannedMessage::parse_id(&e.id) {
            effects_of.entry(message).or_default().push(e);
        }
    }
    let mut report =
        Report { tenants: BTreeMap::new(), repeated_effects: 0, overlapping: 0, late_submissions: (0, 0) };
    let mut asked: BTreeMap<String, f64> = BTreeMap::new();
    for h in submissions.iter().filter(|h| h.message.planned_at >= from) {
        let s = &streams[h.message.stream_index];
        let t = report.tenants.entry(s.tenant.clone()).or_insert_with(|| TenantReport {
            submitted: 0,
            rejected: 0,
            delivered: 0,
            worth_share: 0.0,
            delay: delay_histogram(),
        });
        t.submitted += 1;
        *asked.entry(s.tenant.clone()).or_default() += 1.0;
        t.rejected += usize::from(h.admission != Admission::Accepted);
        report.late_submissions.1 += 1;
        report.late_submissions.0 += usize::from(h.lag > MAX_LAG);
        let Some(all) = effects_of.get_mut(&(h.message.stream_index, h.message.index)) else { continue };
        all.sort_by_key(|e| e.began_at);
        report.repeated_effects += usize::from(all.len() > 1);
        report.overlapping += usize::from(all.windows(2).any(|w| w[1].began_at < w[0].took_effect_at));
        let delay = all[0].took_effect_at.saturating_duration_since(start + h.message.planned_at);
        t.delivered += 1;
        t.worth_share += worth(s, delay);
        t.delay.saturating_record(delay.as_micros() as u64);
    }
    for (name, t) in &mut report.tenants {
        t.worth_share /= asked.get(name).copied().unwrap_or(1.0).max(1.0);
    }
    report
}

/// An empty histogram for delays from a microsecond to ten minutes, with three significant digits.
fn delay_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("the bounds are constants in range")
}

/// The worth of a message that was delivered after `delay`: 1 within the wanted time, then decreasing linearly to 0 at the
/// deadline.
fn worth(s: &Stream, delay: Duration) -> f64 {
    match delay {
        d if d <= s.full_worth_within => 1.0,
        d if d >= s.deadline => 0.0,
        d => (s.deadline - d).as_secs_f64() / (s.deadline - s.full_worth_within).as_secs_f64(),
    }
}
