//! Tests of the module `timeline`.

use super::*;

const HOUR: Ms = 3_600_000.0;

/// Guards against a step of the wall clock being taken for elapsed time.
#[test]
fn within_one_boot_only_the_time_since_boot_counts() {
    let first = ClockReading { boot: 7, since_boot: 1_000.0, wall: 10.0 * HOUR };
    for step in [-HOUR, 0.0, HOUR] {
        let second = ClockReading { since_boot: 3_500.0, wall: 10.0 * HOUR + 2_500.0 + step, ..first };
        let until = first.wall + 8_000.0;
        assert_eq!(second.translate(&first, until) - second.wall, 5_500.0, "step {step}");
        // A sibling process that started earlier translates in the other direction.
        assert_eq!(first.translate(&second, second.wall) - first.wall, 2_500.0, "step {step}");
    }
}

/// Across a reboot the elapsed time is taken from the wall clock and is never negative.
#[test]
fn across_a_reboot_the_wall_clock_counts() {
    let first = ClockReading { boot: 7, since_boot: 90_000.0, wall: HOUR };
    let later = ClockReading { boot: 8, since_boot: 500.0, wall: HOUR + 60_000.0 };
    assert_eq!(later.translate(&first, HOUR + 70_000.0) - later.wall, 10_000.0);
    let stepped_back = ClockReading { wall: 10.0, ..later };
    assert_eq!(stepped_back.translate(&first, HOUR + 70_000.0) - stepped_back.wall, 70_000.0);
    let unknown = |since_boot, wall| ClockReading { boot: 0, since_boot, wall };
    assert_eq!(unknown(5.0, 2.0 * HOUR).translate(&unknown(90.0, HOUR), HOUR), HOUR, "reset");
    assert_eq!(unknown(95.0, 2.0 * HOUR).translate(&unknown(90.0, HOUR), HOUR), 2.0 * HOUR - 5.0);
}

/// Guards against a step of the wall clock delaying a tenant move: the times of its messages, keys and
/// remembered outcomes must be translated, too.
#[test]
fn all_times_of_an_ownership_record_are_translated() {
    use lilacbank_cells::wire::{EndedMessage, HandedOverMessage, QuietKey, TenantContents};
    let ownership = |at: u64| OwnershipRecord {
        tenant: "t".into(),
        contents: Some(TenantContents {
            messages: vec![HandedOverMessage {
                valid_until: at + 1,
                first_attempt_at: Some(at + 2),
                ..HandedOverMessage::default()
            }],
            quiet_keys: vec![QuietKey { key: 7, until: at + 3 }],
            ended: vec![EndedMessage { remembered_until: at + 4, ..EndedMessage::default() }],
            suspended_since: at + 5,
        }),
        quiet_keys: vec![QuietKey { key: 8, until: at + 6 }],
        ..OwnershipRecord::default()
    };
    let reading = |since_boot, wall| ClockReading { boot: 1, since_boot, wall };
    let written = vec![
        Record::ClockReading(reading(0.0, 8e6)),
        Record::TenantOwnership(ownership(8_000_000).encode_to_vec()),
    ];
    let read = translate_records(written, &reading(500.0, 1e6));
    assert_eq!(read, [Record::TenantOwnership(ownership(999_500).encode_to_vec())]);
    let malformed = vec![Record::ClockReading(reading(0.0, 8e6)), Record::TenantOwnership(vec![0xff; 9])];
    assert_eq!(translate_records(malformed, &reading(5.0, 1e6)), [Record::TenantOwnership(vec![0xff; 9])]);
}

#[test]
fn records_are_translated_by_the_reading_before_them() {
    let over = |no, until| Record::Settled { no, until };
    let reading = |since_boot, wall| ClockReading { boot: 1, since_boot, wall };
    let records = vec![
        over(1, 5.0),
        Record::ClockReading(reading(100.0, 1_000.0)),
        over(2, 1_050.0),
        Record::ClockReading(reading(200.0, 9_000.0)),
        over(3, 9_050.0),
    ];
    let ours = reading(300.0, 50.0);
    assert_eq!(translate_records(records, &ours), [over(1, 5.0), over(2, -100.0), over(3, 0.0)]);
}
