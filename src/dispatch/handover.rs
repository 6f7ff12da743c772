//! Handover: what a process of this folder left when it ended is taken up by the next one, or by the one beside it, once.
//!
//! Its records are written to this process's journal before any other, and its file stays as it is until they are; a mark in
//! the journal says so to a start that finds both files. No I/O but the journal's.

use super::Core;
use crate::api::Ms;
use crate::journal::{CallNo, FileMark, Identity, Record};
use std::collections::{BTreeMap, BTreeSet};

/// Between two tries to write the deferred records of the journal.
const FLUSH_AGAIN: Ms = 100.0;

impl Core {
    /// Takes up at a start what two ended processes left: this journal's own records, and those of the folder's other
    /// file, which are written to this journal too. Read together, so that the calls come in the order of their numbers
    /// whichever file is whose. Returns how many calls came from the other file.
    pub fn restore_both(&mut self, now: Ms, own: Vec<Record>, left: Left) -> usize {
        // A process that took the other file over and ended before it could empty it.
        if own.contains(&Record::Adopted(left.mark)) {
            // A journal that is written anew says so again, for as long as the other file may be there.
            self.adopted = Some(left.mark);
            self.restore(now, own);
            return 0;
        }
        if left.records.contains(&Record::Adopted(self.journal.found())) {
            (self.outdated, self.adopted) = (true, Some(left.mark));
            self.restore(now, left.records);
            return self.calls.len();
        }
        let (own, records) = without_copies(own, left.records);
        let left = Left { records, ..left };
        let taken = |rs: &[Record]| -> BTreeSet<CallNo> { rs.iter().filter_map(taken_number).collect() };
        let seats = own.iter().chain(&left.records).any(|r| matches!(r, Record::Seat(_)));
        let calls = taken(&left.records);
        // Files from before numbers outlived a process; and seats, which speak of the calls of their own file only.
        if seats || !calls.is_disjoint(&taken(&own)) {
            self.restore(now, own);
            return self.take_over(now, left);
        }
        let mut all = own;
        all.extend(left.records.iter().cloned());
        self.restore(now, all);
        if !left.records.is_empty() {
            self.write_down(left.records, Some(left.mark));
        }
        calls.len()
    }

    /// Takes over what another process of this folder left when it ended, during an upgrade: its calls are held as after
    /// a restart, and written to this journal. They keep their numbers, which are below this one's; only those of a
    /// process that did not know of lives are numbered anew. Returns how many calls came.
    pub fn take_over(&mut self, now: Ms, left: Left) -> usize {
        let known = crate::journal::highest(&left.records) < self.first_no;
        let base = if known { 0 } else { self.next_no };
        let records: Vec<Record> = left.records.into_iter().map(|r| renumber(r, base)).collect();
        let calls = records.iter().filter(|r| matches!(r, Record::Taken(_))).count();
        self.restore(now, records.clone());
        self.apply_waits(now, &records);
        self.write_down(records, Some(left.mark));
        calls
    }

    /// Writes records of calls that are held already, before any other record. Not by `note`: a compaction before all are
    /// written would leave out what is not written yet.
    pub(super) fn write_down(&mut self, mut records: Vec<Record>, mark: Option<FileMark>) {
        records.extend(mark.map(Record::Adopted));
        self.adopted = mark.or(self.adopted);
        self.journal.defer(records.iter());
        if let Err(e) = self.journal.flush_deferred() {
            log::error!(cause:% = e; "the journal does not take what was taken over yet: {e}");
        }
        self.compact_if_full();
    }

    /// Is all that was taken over in this journal, and nothing older? Before that the file that it came from must stay as it
    /// is.
    pub fn flush_journal(&mut self) -> bool {
        if self.outdated {
            self.outdated = !self.compact();
        }
        !self.outdated && self.journal.flush_deferred().is_ok()
    }

    /// Writes the deferred records of the journal as soon as the folder takes them, and the journal anew once it has grown. Guards
    /// against one that outgrew a compaction that failed: nothing is taken on then, and no record would have it tried again.
    pub(super) fn journal_turn(&mut self, now: Ms) {
        if self.journal.has_deferred() && now >= self.flush_at {
            self.flush_at = now + FLUSH_AGAIN;
            let _ = self.journal.flush_deferred();
        }
        self.compact_if_full();
    }

    /// Are there records that the folder has not taken yet?
    pub fn owes_records(&self) -> bool {
        self.journal.has_deferred()
    }

    /// When one of them is next tried.
    pub(super) fn journal_due(&self) -> Option<Ms> {
        let flush = self.journal.has_deferred().then_some(self.flush_at);
        let compact = self.journal.is_full().then_some(self.compact_at);
        flush.into_iter().chain(compact).min_by(f64::total_cmp)
    }
}

/// What a process that has ended left in the folder's other file.
#[derive(Debug, Default)]
pub struct Left {
    /// Its records.
    pub records: Vec<Record>,
    /// By which the file is known again.
    pub mark: FileMark,
}

fn taken_number(record: &Record) -> Option<CallNo> {
    match record {
        Record::Taken(t) => Some(t.no),
        _ => None,
    }
}

/// The records of both files, each call in one of them only. A taking over that was cut short had begun to copy calls, and
/// nothing was done with the copies: the file that tells more of a call is the one that it came from.
fn without_copies(own: Vec<Record>, left: Vec<Record>) -> (Vec<Record>, Vec<Record>) {
    let identities = |records: &[Record]| -> BTreeSet<(CallNo, Identity)> {
        let identity = |r: &Record| match r {
            Record::Taken(t) => Some((t.no, t.identity.clone())),
            _ => None,
        };
        records.iter().filter_map(identity).collect()
    };
    let both: BTreeSet<CallNo> =
        identities(&own).intersection(&identities(&left)).map(|(no, _)| *no).collect();
    if both.is_empty() {
        return (own, left);
    }
    let told = |records: &[Record]| -> BTreeMap<CallNo, usize> {
        let mut told = BTreeMap::new();
        for no in records.iter().filter_map(Record::call).filter(|no| both.contains(no)) {
            *told.entry(no).or_default() += 1;
        }
        told
    };
    let (by_own, by_left) = (told(&own), told(&left));
    let copied_to_own = |no: CallNo| by_own.get(&no) < by_left.get(&no);
    let keep = |records: Vec<Record>, drop: &dyn Fn(CallNo) -> bool| -> Vec<Record> {
        records.into_iter().filter(|r| !r.call().is_some_and(|no| both.contains(&no) && drop(no))).collect()
    };
    (keep(own, &copied_to_own), keep(left, &|no| !copied_to_own(no)))
}

/// The same record with its call numbered after `base`.
fn renumber(record: Record, base: CallNo) -> Record {
    match record {
        Record::Taken(mut taken) => {
            taken.no += base;
            Record::Taken(taken)
        }
        Record::State { no, attempts, ran, out } => Record::State { no: no + base, attempts, ran, out },
        Record::Ended { no, ending } => Record::Ended { no: no + base, ending },
        Record::Over { no, until } => Record::Over { no: no + base, until },
        other => other,
    }
}
