//! Times that outlive a process: how a moment that one process wrote down reads on the timeline of another; no I/O, no clock.
//!
//! A process counts time from the reading of the machine's clocks at its start: that reading's wall-clock time, and what
//! `CLOCK_BOOTTIME` has gone on since. The wall clock may be stepped between two starts, or while a process runs; the time
//! since boot may not. So what is written down stands behind the reading of its writer, and whoever reads it on the same
//! boot of the machine moves it to its own timeline by the real time between the two readings. Across a boot only the
//! wall clock is left to tell how long it took.

use crate::api::Ms;
use crate::journal::{Record, Sent};
use lilacbank_cells::wire::SeatRecord;
use prost::Message as _;
use serde::{Deserialize, Serialize};

/// The machine's clocks, read together.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Reading {
    /// Which boot of the machine it is; 0 if the system does not tell.
    pub boot: u64,
    /// Milliseconds since that boot.
    pub since_boot: Ms,
    /// Milliseconds since 1970 by the wall clock.
    pub wall: Ms,
}

impl Reading {
    /// Real time from `earlier` to this reading, negative if that one is later.
    fn since(&self, earlier: &Reading) -> Ms {
        let unknown_and_reset = self.boot == 0 && earlier.since_boot > self.since_boot;
        if self.boot == earlier.boot && !unknown_and_reset {
            self.since_boot - earlier.since_boot
        } else {
            // The machine was booted between them: it was not before.
            (self.wall - earlier.wall).max(0.0)
        }
    }

    /// The moment `at` on the timeline that begins with the reading `from`, on the timeline that begins with this one.
    pub fn translate(&self, from: &Reading, at: Ms) -> Ms {
        self.wall - self.since(from) + (at - from.wall)
    }
}

/// Records of a journal on the timeline that begins with `ours`. Those before the first reading in the file were written by
/// a program that knew of none, by the wall clock; they stay as they are. The readings themselves are left out.
pub fn translated(records: Vec<Record>, ours: &Reading) -> Vec<Record> {
    let mut from = None;
    let mut all = Vec::with_capacity(records.len());
    for record in records {
        match (record, from) {
            (Record::Clock(reading), _) => from = Some(reading),
            (record, None) => all.push(record),
            (record, Some(from)) => all.push(moved(record, |at| ours.translate(&from, at))),
        }
    }
    all
}

/// The record with its times moved.
fn moved(mut record: Record, time: impl Fn(Ms) -> Ms) -> Record {
    let sent = |s: &mut Option<Sent>| s.iter_mut().for_each(|s| s.at = time(s.at));
    match &mut record {
        Record::Taken(taken) => taken.valid_until = time(taken.valid_until),
        Record::State { ran, out, .. } => {
            sent(ran);
            sent(out);
        }
        Record::Over { until, .. }
        | Record::Once { until, .. }
        | Record::Known { until, .. }
        | Record::Wait { until, .. } => *until = time(*until),
        Record::Spent(spent) => spent.at = time(spent.at),
        Record::Seat(bytes) => {
            // One that does not read is complained of where it is taken up.
            if let Ok(mut seat) = SeatRecord::decode(bytes.as_slice()) {
                seat.map_times(|at| time(at as Ms).max(0.0) as u64);
                *bytes = seat.encode_to_vec();
            }
        }
        Record::Ended { .. } | Record::Clock(_) | Record::Adopted(_) => {}
    }
    record
}

#[cfg(test)]
mod tests {
    use super::*;

    const HOUR: Ms = 3_600_000.0;

    /// Guards against a step of the wall clock taken for time that has passed.
    #[test]
    fn on_one_boot_only_the_time_since_boot_counts() {
        let first = Reading { boot: 7, since_boot: 1_000.0, wall: 10.0 * HOUR };
        for step in [-HOUR, 0.0, HOUR] {
            let second = Reading { since_boot: 3_500.0, wall: 10.0 * HOUR + 2_500.0 + step, ..first };
            let until = first.wall + 8_000.0;
            assert_eq!(second.translate(&first, until) - second.wall, 5_500.0, "step {step}");
            // The process beside it, which started earlier, reads the same the other way round.
            assert_eq!(first.translate(&second, second.wall) - first.wall, 2_500.0, "step {step}");
        }
    }

    /// Across a boot the wall clock tells, and never that time went back.
    #[test]
    fn across_a_boot_the_wall_clock_counts() {
        let first = Reading { boot: 7, since_boot: 90_000.0, wall: HOUR };
        let later = Reading { boot: 8, since_boot: 500.0, wall: HOUR + 60_000.0 };
        assert_eq!(later.translate(&first, HOUR + 70_000.0) - later.wall, 10_000.0);
        let stepped_back = Reading { wall: 10.0, ..later };
        assert_eq!(stepped_back.translate(&first, HOUR + 70_000.0) - stepped_back.wall, 70_000.0);
        let unknown = |since_boot, wall| Reading { boot: 0, since_boot, wall };
        assert_eq!(unknown(5.0, 2.0 * HOUR).translate(&unknown(90.0, HOUR), HOUR), HOUR, "reset");
        assert_eq!(unknown(95.0, 2.0 * HOUR).translate(&unknown(90.0, HOUR), HOUR), 2.0 * HOUR - 5.0);
    }

    /// Guards against a tenant's move that waits for the step: its messages, keys and memories are timed, too.
    #[test]
    fn a_seat_is_moved_with_all_its_times() {
        use lilacbank_cells::wire::{Contents, Held, Parked, Past};
        let seat = |at: u64| SeatRecord {
            tenant: "t".into(),
            contents: Some(Contents {
                held: vec![Held { valid_until: at + 1, ran_at: Some(at + 2), ..Held::default() }],
                parked: vec![Parked { key: 7, until: at + 3 }],
                past: vec![Past { until: at + 4, ..Past::default() }],
                still_since: at + 5,
            }),
            parked: vec![Parked { key: 8, until: at + 6 }],
            ..SeatRecord::default()
        };
        let reading = |since_boot, wall| Reading { boot: 1, since_boot, wall };
        let written = vec![Record::Clock(reading(0.0, 8e6)), Record::Seat(seat(8_000_000).encode_to_vec())];
        let moved = translated(written, &reading(500.0, 1e6));
        assert_eq!(moved, [Record::Seat(seat(999_500).encode_to_vec())]);
        let nonsense = vec![Record::Clock(reading(0.0, 8e6)), Record::Seat(vec![0xff; 9])];
        assert_eq!(translated(nonsense, &reading(5.0, 1e6)), [Record::Seat(vec![0xff; 9])]);
    }

    #[test]
    fn records_are_moved_by_the_reading_before_them() {
        let over = |no, until| Record::Over { no, until };
        let reading = |since_boot, wall| Reading { boot: 1, since_boot, wall };
        let records = vec![
            over(1, 5.0),
            Record::Clock(reading(100.0, 1_000.0)),
            over(2, 1_050.0),
            Record::Clock(reading(200.0, 9_000.0)),
            over(3, 9_050.0),
        ];
        let ours = reading(300.0, 50.0);
        assert_eq!(translated(records, &ours), [over(1, 5.0), over(2, -100.0), over(3, 0.0)]);
    }
}
