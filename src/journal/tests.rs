//! Tests of the journal that need access to its private items.

use super::reserve::MIN_HEADROOM_BYTES;
use super::*;
use std::os::unix::fs::MetadataExt;

fn folder(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("lilacbank-journal-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    dir
}

fn taken(no: MessageNo) -> Record {
    let identity = (String::new(), format!("{no:016x}"));
    Record::Accepted(AcceptedMessage {
        no,
        identity,
        body: vec![0, 255, 10],
        key: Some(7),
        ..AcceptedMessage::default()
    })
}

/// Guards against a torn record making the other records unreadable, or those appended after its truncation.
#[test]
fn torn_tail_is_truncated_and_appending_continues() {
    let dir = folder("torn");
    let (mut j, none) = Journal::open(&dir, 1 << 20).unwrap();
    assert!(none.is_empty());
    let sent = Some(AttemptSent { at: 5.5, zone: "a".into() });
    let state = Record::Attempts { no: 1, attempts: 2, may_have_run: sent, in_progress: None };
    let ended = Record::FinalAnswer { no: 1, ending: Ending::Returned(250.0) };
    for r in [&taken(1), &state, &ended, &taken(2)] {
        j.append(r).unwrap();
    }
    drop(j);
    let whole = std::fs::read(dir.join("journal")).unwrap();
    std::fs::write(dir.join("journal"), &whole[..whole.len() - 3]).unwrap();
    let (mut j, back) = Journal::open(&dir, 1 << 20).unwrap();
    assert_eq!(back, [taken(1), state, ended]);
    j.append(&taken(3)).unwrap();
    drop(j);
    assert_eq!(Journal::open(&dir, 1 << 20).unwrap().1.last(), Some(&taken(3)));
    std::fs::remove_dir_all(dir).unwrap();
}

/// Guards against an undetected truncation between two records: nothing in the file itself shows that the
/// record of an attempt is missing.
#[test]
fn truncation_between_two_records_is_detected_by_the_length_mark_and_a_clean_end_is_not_reported() {
    let dir = folder("cut");
    let (mut j, _) = Journal::open(&dir, 4_000).unwrap();
    let out = Some(AttemptSent { at: 5.5, zone: "a".into() });
    let begun = Record::Attempts { no: 1, attempts: 1, may_have_run: None, in_progress: out };
    j.append(&taken(1)).unwrap();
    let first = j.size();
    j.append(&begun).unwrap();
    drop(j);
    let whole = std::fs::read(dir.join("journal")).unwrap();
    assert!(!Journal::open(&dir, 4_000).unwrap().0.may_lack_records());
    std::fs::write(dir.join("journal"), &whole[..first as usize]).unwrap();
    let (j, back) = Journal::open(&dir, 4_000).unwrap();
    assert_eq!((back, j.may_lack_records(), j.damaged()), (vec![taken(1)], true, 0));
    drop(j);
    let mut j = Journal::open(&dir, 4_000).unwrap().0;
    assert!(!j.may_lack_records(), "reported once");
    // A compacted journal is shorter, but complete.
    j.append(&begun).unwrap();
    j.compact([taken(2)].into_iter()).unwrap();
    drop(j);
    assert!(!Journal::open(&dir, 4_000).unwrap().0.may_lack_records());
    std::fs::remove_dir_all(dir).unwrap();
}

/// Guards against a flipped bit making all later records unreadable: the damaged record is quarantined, the
/// others stay.
#[test]
fn damaged_record_is_quarantined_and_later_records_stay() {
    let dir = folder("flip");
    let (mut j, _) = Journal::open(&dir, 1 << 20).unwrap();
    let records: Vec<Record> = (1..=6).map(taken).collect();
    records.iter().for_each(|r| j.append(r).unwrap());
    drop(j);
    let mut whole = std::fs::read(dir.join("journal")).unwrap();
    let size = taken(1).size() as usize;
    for (n, at) in [(2, 12), (4, 3)] {
        // Flips one bit in the body of the third record and one in the length of the fifth.
        whole[n * size + at] ^= 0x10;
    }
    std::fs::write(dir.join("journal"), &whole).unwrap();
    let (j, back) = Journal::open(&dir, 1 << 20).unwrap();
    assert_eq!(back, [&records[..2], &records[3..4], &records[5..]].concat());
    assert_eq!(j.damaged(), 2);
    let aside = std::fs::read(dir.join("damaged")).unwrap();
    assert!(aside.len() > 2 * size && String::from_utf8_lossy(&aside).contains("journal at byte"));
    drop(j);
    let (j, again) = Journal::open(&dir, 1 << 20).unwrap();
    assert_eq!(
        (again.len(), j.damaged()),
        (4, 0),
        "the journal was rewritten: a second start finds no damage"
    );
    std::fs::remove_dir_all(dir).unwrap();
}

/// Guards against a flipped bit in the last record being taken for a torn write: it must be reported as
/// damage.
#[test]
fn invalid_last_record_is_damaged_at_full_length_and_torn_if_shorter() {
    let dir = folder("last");
    let (mut j, _) = Journal::open(&dir, 1 << 20).unwrap();
    [taken(1), taken(2)].iter().for_each(|r| j.append(r).unwrap());
    drop(j);
    let whole = std::fs::read(dir.join("journal")).unwrap();
    let mut flipped = whole.clone();
    flipped[whole.len() - 2] ^= 0x01;
    std::fs::write(dir.join("journal"), &flipped).unwrap();
    let (j, back) = Journal::open(&dir, 1 << 20).unwrap();
    assert_eq!((back, j.damaged()), (vec![taken(1)], 1));
    drop(j);
    std::fs::write(dir.join("journal"), &whole[..whole.len() - 2]).unwrap();
    let (j, back) = Journal::open(&dir, 1 << 20).unwrap();
    assert_eq!((back, j.damaged()), (vec![taken(1)], 0), "shorter than its length: torn");
    assert!(!j.may_lack_records(), "no attempt was begun after the valid records: a write failed halfway");
    drop(j);
    // Truncates the file within the record of an attempt, before it, and within the record before that one.
    let out = Some(AttemptSent { at: 5.5, zone: "a".into() });
    let begun = Record::Attempts { no: 1, attempts: 1, may_have_run: None, in_progress: out };
    let mut j = Journal::open(&dir, 1 << 20).unwrap().0;
    let before = j.size();
    j.append(&begun).unwrap();
    drop(j);
    let whole = std::fs::read(dir.join("journal")).unwrap();
    for length in [whole.len() - 2, before as usize, before as usize - 3] {
        std::fs::write(dir.join("journal"), &whole[..length]).unwrap();
        let lock = OpenOptions::new().write(true).open(dir.join("journal.lock")).unwrap();
        write_length_mark(&lock, whole.len() as u64).unwrap();
        assert!(Journal::open(&dir, 1 << 20).unwrap().0.may_lack_records(), "truncated to {length}");
        std::fs::write(dir.join("journal"), &whole[..length]).unwrap();
        write_length_mark(&lock, 0).unwrap();
        let is_detected = length != before as usize;
        assert_eq!(
            Journal::open(&dir, 1 << 20).unwrap().0.may_lack_records(),
            is_detected,
            "truncated to {length}, no length mark"
        );
    }
    std::fs::remove_dir_all(dir).unwrap();
}

/// Guards against repeating an at-most-once message whose recorded attempt was in a damaged range. Each open
/// message without an attempt gets one; messages that ended or have one are left unchanged.
#[test]
fn after_damage_open_messages_count_as_possibly_executed() {
    let ran = Some(AttemptSent { at: 5.0, zone: "a".into() });
    let mut records = vec![
        taken(1),
        taken(2),
        Record::Attempts { no: 2, attempts: 3, may_have_run: ran.clone(), in_progress: None },
        taken(3),
        Record::FinalAnswer { no: 3, ending: Ending::Delivered },
        taken(4),
        Record::Attempts { no: 4, attempts: 2, may_have_run: None, in_progress: None },
    ];
    assert_eq!(mark_open_messages_as_possibly_executed(&mut records), 2);
    let none = Some(AttemptSent { at: 0.0, zone: String::new() });
    assert_eq!(
        records[7..],
        [
            Record::Attempts { no: 1, attempts: 1, may_have_run: none.clone(), in_progress: None },
            Record::Attempts { no: 4, attempts: 2, may_have_run: none, in_progress: None }
        ]
    );
}

/// Guards against two sibling processes writing to one file: the second process has a file of its own, and
/// takes over the records of the first once the first has released its file.
#[test]
fn second_journal_of_a_folder_has_its_own_file_and_takes_over_the_first() {
    let dir = folder("slots");
    let (mut first, _) = Journal::open(&dir, 1 << 20).unwrap();
    first.append(&taken(1)).unwrap();
    let (second, none) = Journal::open(&dir, 1 << 20).unwrap();
    assert_eq!((first.file_index(), second.file_index(), none), (0, 1, vec![]));
    assert!(Journal::open(&dir, 1 << 20).is_err(), "a third process finds both files locked");
    assert!(second.orphaned_journal().unwrap().is_none(), "the first process still runs");
    drop(first);
    let orphan = second.orphaned_journal().unwrap().expect("the records of the first process");
    assert_eq!(orphan.records, [taken(1)]);
    orphan.truncate_and_release().unwrap();
    assert!(second.orphaned_journal().unwrap().is_none(), "taken over once");
    let (third, left) = Journal::open(&dir, 1 << 20).unwrap();
    assert_eq!((third.file_index(), left), (0, vec![]));
    std::fs::remove_dir_all(dir).unwrap();
}

/// Guards against records of a sibling process that are missed or read twice: after an append, a compaction, an
/// emptied file and a new process on it.
#[test]
fn a_siblings_records_are_read_once_and_anew_after_its_file_was_replaced() {
    let dir = folder("sibling-records");
    let (mut first, _) = Journal::open(&dir, 1 << 20).unwrap();
    let (mut second, _) = Journal::open(&dir, 1 << 20).unwrap();
    let mut read = || second.read_sibling_records().map(|found| (found.replaced, found.records)).unwrap();
    assert_eq!(read().1, []);
    first.append(&taken(1)).unwrap();
    assert_eq!(read().1, [taken(1)]);
    assert_eq!(read(), (false, vec![]));
    first.append(&taken(2)).unwrap();
    assert_eq!(read(), (false, vec![taken(2)]));
    first.compact([taken(2), taken(3)].into_iter()).unwrap();
    assert_eq!(read(), (true, vec![taken(2), taken(3)]));
    drop(first);
    second.orphaned_journal().unwrap().unwrap().truncate_and_release().unwrap();
    second.restart_sibling_records();
    let (mut third, _) = Journal::open(&dir, 1 << 20).unwrap();
    for no in 4..9 {
        third.append(&taken(no)).unwrap();
    }
    let found = second.read_sibling_records().unwrap();
    assert_eq!(found.records, (4..9).map(taken).collect::<Vec<_>>());
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn compaction_keeps_the_given_records_and_appends_after_them() {
    let dir = folder("compact");
    let (mut j, _) = Journal::open(&dir, 20_000).unwrap();
    while !j.needs_compaction() {
        j.append(&taken(1)).unwrap();
    }
    let live = taken(9);
    assert!(j.size() + live.size() < 20_000 && j.has_room_for_live_records(live.size(), 0));
    j.compact([live.clone()].into_iter()).unwrap();
    assert_eq!(j.size(), live.size());
    j.append(&taken(10)).unwrap();
    drop(j);
    assert_eq!(Journal::open(&dir, 20_000).unwrap().1, [live, taken(10)]);
    std::fs::remove_dir_all(dir).unwrap();
}

/// Guards against a kill during a compaction: after any of its steps, the next start must find all live
/// records and must not take the file for truncated.
#[test]
fn kill_between_any_two_steps_of_a_compaction_loses_nothing_and_reports_no_truncation() {
    let out = Some(AttemptSent { at: 5.5, zone: "a".into() });
    let begun = Record::Attempts { no: 1, attempts: 1, may_have_run: None, in_progress: out };
    for steps in 0..=2 {
        let dir = folder(&format!("steps-{steps}"));
        let (mut j, _) = Journal::open(&dir, 1 << 20).unwrap();
        for record in [&taken(1), &begun, &taken(2), &taken(3)] {
            j.append(record).unwrap();
        }
        match steps {
            0 => {}
            1 => drop(j.write_compacted([taken(2)].into_iter()).unwrap()),
            _ => {
                drop(j.write_compacted([taken(2)].into_iter()).unwrap());
                std::fs::rename(reserve_path(&j.path), &j.path).unwrap();
            }
        }
        drop(j);
        let (j, back) = Journal::open(&dir, 1 << 20).unwrap();
        assert!(!j.may_lack_records(), "after {steps} steps");
        assert_eq!(back.len(), if steps == 2 { 1 } else { 4 }, "after {steps} steps");
        std::fs::remove_dir_all(dir).unwrap();
    }
}

/// Guards against a journal that cannot be compacted growing beyond the folder's limit with new messages.
#[test]
fn file_that_cannot_be_compacted_has_no_room_for_new_messages_beyond_its_share() {
    let dir = folder("grown");
    let limit = 20_000;
    let (mut j, _) = Journal::open(&dir, limit).unwrap();
    // A directory at the path of the compacted file makes every compaction fail.
    std::fs::create_dir(dir.join("journal.new")).unwrap();
    let mut no = 0;
    while j.has_room_for_live_records(0, 0) {
        no += 1;
        j.append(&taken(no)).unwrap();
        assert!(j.size() < limit, "it grew beyond its limit");
    }
    assert!(j.needs_compaction() && j.compact([taken(1)].into_iter()).is_err());
    assert!(!j.has_room_for_live_records(0, 0), "unchanged by the failed compaction");
    j.append(&Record::FinalAnswer { no: 1, ending: Ending::Delivered }).unwrap();
    std::fs::remove_dir(dir.join("journal.new")).unwrap();
    j.compact([taken(no)].into_iter()).unwrap();
    assert!(j.has_room_for_live_records(0, 0) && !j.needs_compaction());
    drop(j);
    assert_eq!(Journal::open(&dir, limit).unwrap().1, [taken(no)]);
    std::fs::remove_dir_all(dir).unwrap();
}

/// Guards against a folder over its limit, which counts as a crash: after failed compactions, the grown file
/// exists for a moment together with its compacted copy, which holds all live records and identities.
#[test]
fn grown_file_and_its_compacted_copy_stay_within_the_limit_together() {
    let dir = folder("together");
    let limit = 60_000;
    let (mut j, _) = Journal::open(&dir, limit).unwrap();
    let mut no = 0;
    while j.has_room_for_live_records(0, 0) {
        no += 1;
        j.append(&taken(no)).unwrap();
    }
    let compacted = (limit as f64 * (LIVE_RECORDS_SHARE + IDENTITIES_SHARE)) as u64;
    assert!(j.size() + compacted <= limit, "{} and {compacted} of {limit}", j.size());
    std::fs::remove_dir_all(dir).unwrap();
}

/// Guards against a folder over its limit while a sibling process serves on it with a file of its own.
#[test]
fn two_processes_on_a_folder_use_at_most_half_of_its_limit_each() {
    let dir = folder("shared");
    let limit = 60_000;
    let (mut j, _) = Journal::open(&dir, limit).unwrap();
    let mut no = 0;
    while !j.needs_compaction() {
        no += 1;
        j.append(&taken(no)).unwrap();
    }
    let alone = j.size();
    j.compact(std::iter::empty()).unwrap();
    j.set_shared(true);
    while !j.needs_compaction() {
        no += 1;
        j.append(&taken(no)).unwrap();
    }
    assert!(j.size() <= alone / 2 + taken(no).size(), "{} shared, {alone} alone", j.size());
    assert!(
        !j.has_room_for_live_records((limit as f64 * LIVE_RECORDS_SHARE * 0.6) as u64, 0),
        "live records are halved, too"
    );
    j.set_shared(false);
    assert!(
        !j.needs_compaction()
            && j.has_room_for_live_records((limit as f64 * LIVE_RECORDS_SHARE * 0.6) as u64, 0)
    );
    std::fs::remove_dir_all(dir).unwrap();
}

/// Guards against a journal that is compacted again and again beside a sibling process, with all clients
/// waiting: what the process may keep has to fit below the threshold of compaction.
#[test]
fn what_may_be_kept_beside_a_sibling_needs_no_further_compaction() {
    let dir = folder("beside");
    let limit = 600_000;
    let (mut j, _) = Journal::open(&dir, limit).unwrap();
    j.set_shared(true);
    let identities = (0..limit).step_by(100).take_while(|b| j.has_room_for_identities(*b)).last().unwrap();
    let has_room = |live: &u64| j.has_room_for_live_records(*live, identities);
    let live = (0..limit).step_by(100).take_while(has_room).last().unwrap();
    assert!(live > 0);
    let kept = |bytes: u64| {
        let body = vec![0; bytes as usize - taken(1).size() as usize];
        Record::Accepted(AcceptedMessage { no: 1, body, ..AcceptedMessage::default() })
    };
    j.compact([kept(live), kept(identities)].into_iter()).unwrap();
    assert!(j.size() + 200 >= live + identities, "{} of {live} and {identities} bytes", j.size());
    assert!(!j.needs_compaction(), "{live} and {identities} of {limit} bytes");
    std::fs::remove_dir_all(dir).unwrap();
}

/// Guards against a compaction that needs space which the disk no longer has: it overwrites the reserve, and
/// the next reserve is there when it ends.
#[test]
fn a_compaction_overwrites_its_reserve_and_leaves_another() {
    let dir = folder("reserve");
    let (mut j, _) = Journal::open(&dir, 1 << 20).unwrap();
    (1..=20).for_each(|no| j.append(&taken(no)).unwrap());
    let compacted = 10 * taken(1).size();
    assert!(!j.has_reserved(compacted));
    j.reserve(compacted).unwrap();
    assert!(j.has_reserved(compacted) && j.reserved() >= compacted + MIN_HEADROOM_BYTES);
    let inode = |name: &str| std::fs::metadata(dir.join(name)).unwrap().ino();
    let reserve = inode("journal.new");
    j.compact((1..=10).map(taken)).unwrap();
    assert_eq!(inode("journal"), reserve, "the space of the reserve is reused");
    assert_eq!((j.size(), std::fs::metadata(dir.join("journal")).unwrap().len()), (compacted, compacted));
    assert!(
        j.reserved() >= compacted
            && j.reserved() == std::fs::metadata(dir.join("journal.new")).unwrap().len()
    );
    j.append(&taken(11)).unwrap();
    drop(j);
    let (j, back) = Journal::open(&dir, 1 << 20).unwrap();
    assert_eq!(back, (1..=11).map(taken).collect::<Vec<_>>());
    assert!(j.reserved() >= compacted, "the next start keeps the reserve");
    std::fs::remove_dir_all(dir).unwrap();
}

/// Guards against a folder over its limit because of the reserve.
#[test]
fn the_reserve_stays_within_its_share_alone_and_beside_a_sibling() {
    let dir = folder("reserve-share");
    let limit = 600_000;
    let (mut j, _) = Journal::open(&dir, limit).unwrap();
    let largest = (limit as f64 * (LIVE_RECORDS_SHARE + IDENTITIES_SHARE)) as u64;
    j.reserve(largest).unwrap();
    assert!(j.has_reserved(largest) && j.reserved() >= largest, "{} of {largest}", j.reserved());
    assert!(j.reserved() as f64 <= limit as f64 * (1.0 - MAX_FILE_SHARE));
    j.set_shared(true);
    assert!(j.reserved() as f64 <= limit as f64 * SIBLING_SHARE * (1.0 - MAX_FILE_SHARE));
    std::fs::remove_dir_all(dir).unwrap();
}

/// Guards against the space of an ended sibling's reserve missing when its records are taken over.
#[test]
fn the_reserve_of_an_ended_sibling_is_removed() {
    let dir = folder("reserve-sibling");
    let (first, _) = Journal::open(&dir, 1 << 20).unwrap();
    let (mut second, _) = Journal::open(&dir, 1 << 20).unwrap();
    second.append(&taken(1)).unwrap();
    second.reserve(1_000).unwrap();
    assert!(dir.join("journal.1.new").exists());
    assert!(first.orphaned_journal().unwrap().is_none() && dir.join("journal.1.new").exists());
    drop(second);
    assert!(first.orphaned_journal().unwrap().is_some());
    assert!(!dir.join("journal.1.new").exists());
    std::fs::remove_dir_all(dir).unwrap();
}
