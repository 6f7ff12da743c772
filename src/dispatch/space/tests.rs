//! Tests of the module `space`.

use super::*;
use crate::dispatch::CoreParts;
use crate::journal::{AcceptedMessage, AttemptSent, Journal};
use lilacbank_limits::{CallRecord, CallStep, DestinationLimit, Scope};
use std::path::{Path, PathBuf};

const NOW: Ms = 1e12;
const DESTINATION: u64 = 1;

fn folder(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("lilacbank-space-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    dir
}

fn core(dir: &Path) -> Core {
    let (journal, _) = Journal::open(dir, 1 << 20).unwrap();
    let limit = DestinationLimit {
        name: "d".into(),
        destination: DESTINATION,
        calls: Some(50),
        span: 60_000.0,
        max_travel: 50.0,
        scope: Scope::Endpoint,
        connections: None,
    };
    let names = crate::config::Names { classes: vec!["pay".into()], ..Default::default() };
    let settings = Settings { classes: vec![class()], ..Settings::default() };
    Core::new(CoreParts {
        settings,
        names,
        journal,
        limits: vec![limit],
        at_most_once_classes: vec![("pay".into(), 60_000.0)],
        cells: Vec::new(),
        cell_map: None,
    })
}

fn class() -> Class {
    Class {
        target_time: 1_000.0,
        deadline: 60_000.0,
        effect: Effect::AtMostOnce,
        dedup_window: 0.0,
        in_order: true,
        late_worth: 0.0,
        worth: 1.0,
        target_stretch: 0.0,
    }
}

/// Records of `count` messages of each kind that a journal may hold, with names of different lengths.
fn all_kinds(count: u64) -> Vec<Record> {
    let until = NOW + 30_000.0;
    let mut records = Vec::new();
    for n in 0..count {
        let name = |what: &str| format!("{what}-{}", "x".repeat(n as usize * 13 % 60));
        let sent = Some(AttemptSent { at: NOW - 10.0, zone: "zone-a".into() });
        records.push(Record::Accepted(AcceptedMessage {
            no: n + 1,
            identity: (name("client"), name("held")),
            class: "pay".into(),
            tenant: name("tenant"),
            idempotency_key: name("key"),
            destination: DESTINATION,
            valid_until: until,
            body: vec![0; n as usize * 37],
            ..AcceptedMessage::default()
        }));
        if n % 2 == 0 {
            let in_progress = sent.clone();
            records.push(Record::Attempts { no: n + 1, attempts: 3, may_have_run: sent, in_progress });
        }
        if n % 4 == 0 {
            records.push(Record::FinalAnswer { no: n + 1, ending: Ending::GivenUp });
        }
        let (identity, tenant) = ((name("client"), name("ended")), name("tenant"));
        records.push(Record::RememberedIdentity {
            identity,
            ending: Ending::Delivered,
            until,
            tenant: tenant.clone(),
        });
        records.push(Record::AtMostOnceEnded { name: name("once"), ending: Ending::GivenUp, until, tenant });
        for step in [CallStep::Started, CallStep::Written] {
            let (destination, endpoint, at) = (DESTINATION, name("endpoint"), NOW - 1.0 - n as Ms);
            records.push(Record::CallsCounted(CallRecord { destination, endpoint, at, calls: 1, step }));
        }
    }
    records
}

/// Guards against a compaction that needs more than was reserved for it.
#[test]
fn a_compaction_writes_no_more_than_the_bytes_that_are_reserved_for_it() {
    for count in [0, 1, 40] {
        let dir = folder(&format!("compacted-{count}"));
        let mut core = core(&dir);
        core.restore(NOW, all_kinds(count));
        for n in 0..count {
            core.waits.set(NOW, &format!("endpoint-{n}"), NOW + 1_000.0);
        }
        core.adopted_file = Some(Default::default());
        let records = core.compacted_records();
        let kinds: std::collections::BTreeSet<_> =
            records.iter().map(|r| format!("{r:?}").split(['(', ' ']).next().map(str::to_string)).collect();
        assert_eq!(kinds.len(), if count == 0 { 1 } else { 8 }, "{kinds:?}");
        let written: u64 = records.iter().map(Record::size).sum();
        assert!(
            written <= core.compacted_bytes(),
            "{written} of {} bytes for {count}",
            core.compacted_bytes()
        );
        assert!(core.compact());
        assert!(core.journal.size() <= core.compacted_bytes());
        std::fs::remove_dir_all(dir).unwrap();
    }
}

/// Guards against an estimate that drifts: once everything is forgotten, nothing takes space.
#[test]
fn nothing_takes_space_once_all_identities_have_expired() {
    let dir = folder("expired");
    let mut core = core(&dir);
    let held =
        |r: &Record| matches!(r, Record::Accepted(_) | Record::Attempts { .. } | Record::FinalAnswer { .. });
    let records: Vec<Record> = all_kinds(20).into_iter().filter(|r| !held(r)).collect();
    let empty = core.compacted_bytes();
    core.restore(NOW, records.clone());
    // Remembered a second time, as after a takeover.
    core.restore(NOW, records);
    assert!(core.compacted_bytes() > empty);
    core.expire_identities(NOW + 31_000.0);
    core.at_most_once.expire(NOW + 31_000.0);
    assert_eq!((core.identity_bytes, core.at_most_once.bytes()), (0, 0));
    std::fs::remove_dir_all(dir).unwrap();
}
