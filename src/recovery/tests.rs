//! Tests of the module `recovery`.

use super::*;

/// Guards against a folder without its life record being taken for a first start, and a damaged life
/// record for a valid one.
#[test]
fn folder_is_classified_by_its_life_record_files_and_damage() {
    let r = IncarnationRecord {
        incarnation: 3,
        epoch: 0xabc,
        first_start_ms: 1_000,
        ..IncarnationRecord::default()
    };
    assert_eq!(IncarnationRecord::decode(&r.encode()), Some(r));
    let flipped = r.encode().replacen("life 3", "life 4", 1);
    assert_eq!(IncarnationRecord::decode(&flipped), None);
    let found = |record, others, damaged| {
        classify_folder(&FolderContents { record, has_other_files: others, damaged })
    };
    assert_eq!(found(Some(Some(r)), true, 0), FolderState::NextIncarnation(r));
    assert_eq!(found(Some(Some(r)), true, 1), FolderState::Damaged);
    assert_eq!(found(Some(None), true, 0), FolderState::Damaged);
    assert_eq!(found(None, true, 0), FolderState::Lost);
    assert_eq!(found(None, false, 0), FolderState::FirstOrWiped);
    let starts = [0, 0, 0, 0, 5];
    let began = Some((1, 70));
    assert_eq!(
        next_record(FolderState::NextIncarnation(r), 9, &clocks(70.0, 5.0)),
        IncarnationRecord { incarnation: 4, starts, started_at_boot: began, ..r }
    );
    let first = next_record(FolderState::Lost, 9, &clocks(70.0, 5.0));
    assert_eq!(
        first,
        IncarnationRecord { incarnation: 1, epoch: 9, first_start_ms: 5, starts, started_at_boot: began }
    );
    assert_eq!(IncarnationRecord::decode(&first.encode()), Some(first));
    assert!(FolderState::Lost.may_lack_records() && !FolderState::FirstOrWiped.may_lack_records());
}

fn clocks(since_boot: Ms, wall: Ms) -> ClockReading {
    ClockReading { boot: 1, since_boot, wall }
}

/// Guards against restarts over a long time, or after clean ends, being taken for a crash loop, and
/// against an undetected crash loop.
#[test]
fn five_starts_in_thirty_seconds_without_a_clean_end_are_a_crash_loop() {
    let lives = |gap: f64, step: f64| {
        let mut r = next_record(FolderState::FirstOrWiped, 1, &clocks(0.0, 1e9));
        for n in (1..5).map(f64::from) {
            r = next_record(FolderState::NextIncarnation(r), 1, &clocks(gap * n, 1e9 + (gap + step) * n));
        }
        r
    };
    assert!(lives(6_000.0, 0.0).is_crash_loop());
    assert!(!lives(60_000.0, 0.0).is_crash_loop());
    for step in [-3_600_000.0, 3_600_000.0] {
        assert!(
            lives(6_000.0, step).is_crash_loop(),
            "a step of the wall clock does not change the time between starts"
        );
        assert!(!lives(60_000.0, step).is_crash_loop());
    }
    let clean = lives(6_000.0, 0.0).after_clean_end();
    assert!(
        !clean.is_crash_loop()
            && !next_record(FolderState::NextIncarnation(clean), 1, &clocks(31_000.0, 2e9)).is_crash_loop()
    );
}

/// Guards against accepting an old list of a restored registry at once, and against rejecting it forever.
#[test]
fn older_list_is_rejected_for_a_limited_time_and_then_accepted() {
    let mut r = RevisionCheck::new(9, 10_000.0);
    assert!(r.accept(0.0, 9) && r.accept(1.0, 10) && r.accept(2.0, 12));
    assert!(!r.accept(100.0, 3) && !r.accept(5_000.0, 4));
    assert_eq!(r.rejected, 2);
    assert!(r.accept(6_000.0, 13), "a newer list restarts the time limit");
    assert!(!r.accept(20_000.0, 3) && r.accept(30_000.0, 3) && r.accept(30_001.0, 4));
    assert!(r.accept(30_002.0, 0), "a list without a revision");
    assert!(!r.accept(30_003.0, 3), "a list without a revision does not make older ones acceptable");
    assert!(!r.accept(35_000.0, 3) && r.accept(35_001.0, 0), "nor does it restart their time limit");
    assert!(r.accept(40_003.0, 3));
    let mut off = RevisionCheck::new(9, 0.0);
    assert!(off.accept(0.0, 1));
}

/// Guards against reusing a message number of an earlier incarnation, whichever files of the folder
/// remain.
#[test]
fn message_numbers_of_an_incarnation_are_above_all_earlier_ones() {
    let first = first_message_no(1, 0);
    assert!(first_message_no(2, 0) > first + 4_000_000_000, "with the life record alone");
    assert!(
        first_message_no(1, first_message_no(9, 0) + 17) > first_message_no(9, 0) + 17,
        "with the journals alone"
    );
    assert!(
        first_message_no(3, 12) > first_message_no(2, 12),
        "journals from before incarnations were numbered"
    );
    assert!(first_message_no(u64::MAX, u64::MAX) > 0, "no overflow at the highest values");
}
