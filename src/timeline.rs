//! Translates stored times from the timeline of the process that wrote them to that of the reader. No I/O and
//! no clock.
//!
//! A process derives its time from one reading of the machine's clocks at its start: the wall-clock time of
//! that reading plus the time that has passed on `CLOCK_BOOTTIME` since. The wall clock may be stepped
//! between two starts or while a process runs; the time since boot cannot. Stored times are therefore
//! preceded by the clock reading of their writer. A reader in the same boot of the machine translates them by
//! the real time between the two readings. Across a reboot, only the wall clock tells how much time has
//! passed.

use crate::api::Ms;
use crate::journal::{AttemptSent, Record};
use lilacbank_cells::wire::OwnershipRecord;
use prost::Message as _;
use serde::{Deserialize, Serialize};

/// A simultaneous reading of the machine's clocks.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
// Error messages keep the name they have always shown.
#[serde(expecting = "struct Reading")]
pub struct ClockReading {
    /// Id of the machine's current boot; 0 if the system does not provide one.
    pub boot: u64,
    /// Milliseconds since that boot.
    pub since_boot: Ms,
    /// Milliseconds since 1970 by the wall clock.
    pub wall: Ms,
}

impl ClockReading {
    /// Real time from `earlier` to this reading; negative if `earlier` is in fact the later one.
    fn since(&self, earlier: &ClockReading) -> Ms {
        let unknown_and_reset = self.boot == 0 && earlier.since_boot > self.since_boot;
        if self.boot == earlier.boot && !unknown_and_reset {
            self.since_boot - earlier.since_boot
        } else {
            // The machine was rebooted in between, so `earlier` cannot lie after this reading.
            (self.wall - earlier.wall).max(0.0)
        }
    }

    /// Translates the time `at` from the timeline of the reading `from` to the timeline of this reading.
    pub fn translate(&self, from: &ClockReading, at: Ms) -> Ms {
        self.wall - self.since(from) + (at - from.wall)
    }
}

/// Translates journal records to the timeline of the reading `ours`, and omits the clock readings. Records
/// before the first reading come from a program version without readings; their times are wall-clock times
/// and stay unchanged.
pub fn translate_records(records: Vec<Record>, ours: &ClockReading) -> Vec<Record> {
    let mut from = None;
    let mut all = Vec::with_capacity(records.len());
    for record in records {
        match (record, from) {
            (Record::ClockReading(reading), _) => from = Some(reading),
            (record, None) => all.push(record),
            (record, Some(from)) => all.push(map_times(record, |at| ours.translate(&from, at))),
        }
    }
    all
}

/// Applies `time` to every time in the record.
fn map_times(mut record: Record, time: impl Fn(Ms) -> Ms) -> Record {
    let sent = |s: &mut Option<AttemptSent>| s.iter_mut().for_each(|s| s.at = time(s.at));
    match &mut record {
        Record::Accepted(taken) => taken.valid_until = time(taken.valid_until),
        Record::Attempts { may_have_run: ran, in_progress: out, .. } => {
            sent(ran);
            sent(out);
        }
        Record::Settled { until, .. }
        | Record::AtMostOnceEnded { until, .. }
        | Record::RememberedIdentity { until, .. }
        | Record::RetryAfter { until, .. } => *until = time(*until),
        Record::CallsCounted(spent) => spent.at = time(spent.at),
        Record::TenantOwnership(bytes) => {
            // A malformed ownership record is reported by the code that restores it.
            if let Ok(mut ownership) = OwnershipRecord::decode(bytes.as_slice()) {
                ownership.map_times(|at| time(at as Ms).max(0.0) as u64);
                *bytes = ownership.encode_to_vec();
            }
        }
        Record::FinalAnswer { .. } | Record::ClockReading(_) | Record::TakenOver(_) => {}
    }
    record
}

#[cfg(test)]
mod tests;
