//! Handover: what a process on this state folder left when it ended is taken over once, by the next process
//! or by its sibling.
//!
//! Its records are written to this process's journal before any others, and its file stays unchanged until
//! they are. A marker in the journal tells a start that finds both files that this has happened. No I/O but
//! the journal's.

use super::once::RepeatCheck;
use super::sibling_messages::SiblingMessages;
use super::Core;
use crate::api::Ms;
use crate::journal::{AcceptedMessage, FileFingerprint, Identity, MessageNo, Record};
use std::collections::{BTreeMap, BTreeSet};

/// The delay before writing the deferred journal records is tried again.
const FLUSH_RETRY_DELAY: Ms = 100.0;

impl Core {
    /// Restores at a start what two ended processes left: this journal's own records, and those of the
    /// folder's other file, which are also written to this journal. They are restored together, so that
    /// messages come in the order of their numbers whichever file holds them. Returns how many messages came
    /// from the other file.
    pub fn restore_journals(&mut self, now: Ms, own: Vec<Record>, left: EndedJournal) -> usize {
        let has_left = !left.records.is_empty();
        let messages = self.restore_both(now, own, left);
        if has_left {
            self.forget_sibling_messages();
        }
        messages
    }

    fn restore_both(&mut self, now: Ms, own: Vec<Record>, left: EndedJournal) -> usize {
        // A process took the other file over and ended before it could empty it.
        if own.contains(&Record::TakenOver(left.fingerprint)) {
            // A compacted journal repeats the marker for as long as the other file may exist.
            self.adopted_file = Some(left.fingerprint);
            self.restore(now, own);
            return 0;
        }
        if left.records.contains(&Record::TakenOver(self.journal.start_fingerprint())) {
            (self.superseded, self.adopted_file) = (true, Some(left.fingerprint));
            self.restore(now, left.records);
            return self.messages.len();
        }
        let (own, records) = without_copies(own, left.records);
        let mut left = EndedJournal { records, ..left };
        let taken = |rs: &[Record]| -> BTreeSet<MessageNo> { rs.iter().filter_map(taken_number).collect() };
        let has_ownership = own.iter().chain(&left.records).any(|r| matches!(r, Record::TenantOwnership(_)));
        let messages = taken(&left.records);
        // Files written before message numbers continued across processes; and files with ownership records,
        // which concern only the messages of their own file.
        if has_ownership || !messages.is_disjoint(&taken(&own)) {
            self.restore(now, own);
            return self.take_over(now, left);
        }
        if left.records.is_empty() {
            self.restore(now, own);
            return 0;
        }
        let withdrawn = self.withdrawn_from_either(now, &own, &left.records);
        left.records.extend(withdrawn);
        let mut all = own;
        all.extend(left.records.iter().cloned());
        self.restore(now, all);
        self.write_taken_over(left.records, Some(left.fingerprint));
        messages.len()
    }

    /// Takes over what another process on this state folder left when it ended, during an upgrade: its
    /// messages are held as after a restart, and written to this journal. They keep their numbers, which are
    /// below this process's; only messages of a process from before incarnations existed are renumbered.
    /// Returns how many messages came.
    pub fn take_over(&mut self, now: Ms, left: EndedJournal) -> usize {
        let known = crate::journal::highest_message_no(&left.records) < self.first_message_no;
        let base = if known { 0 } else { self.next_message_no };
        let mut records: Vec<Record> = left.records.into_iter().map(|r| renumber(r, base)).collect();
        let messages = records.iter().filter(|r| matches!(r, Record::Accepted(_))).count();
        records.extend(withdrawals(now, &records, |message| self.knows_another(message)));
        self.restore(now, records.clone());
        self.apply_waits(now, &records);
        self.write_taken_over(records, Some(left.fingerprint));
        self.forget_sibling_messages();
        messages
    }

    /// Whether another message is known here under the same identity or the same at-most-once name.
    fn knows_another(&self, message: &AcceptedMessage) -> bool {
        let other = |no: MessageNo| no != message.no;
        let name = self.at_most_once.name_of(message);
        let named = name.is_some_and(|name| match self.at_most_once.check(&name) {
            RepeatCheck::New => false,
            RepeatCheck::Held(no) => other(no),
            RepeatCheck::Ended(_) => true,
        });
        named || self.identities.get(&message.identity).is_some_and(|known| other(known.no))
    }

    /// Withdraws the messages that both processes wrote to their journals at the same time: see
    /// [`withdrawals`]. If neither process had begun with such a message, this journal's own one stays.
    fn withdrawn_from_either(&self, now: Ms, own: &[Record], left: &[Record]) -> Vec<Record> {
        let known_in = |records: &[Record]| {
            let mut known = SiblingMessages::default();
            known.add(now, records, &self.at_most_once);
            known
        };
        let is_known = |known: &SiblingMessages, message: &AcceptedMessage| {
            known.knows(now, message, self.at_most_once.name_of(message).as_deref())
        };
        let known_to_own = known_in(own);
        let mut records = withdrawals(now, left, |message| is_known(&known_to_own, message));
        let mut begun = left.to_vec();
        begun.extend(records.iter().cloned());
        let known_to_left = known_in(&begun);
        records.extend(withdrawals(now, own, |message| is_known(&known_to_left, message)));
        records
    }

    /// Writes records of messages that are held already, before any other record. Does not use
    /// `append_or_defer`: a compaction before all of them are written would leave out the rest.
    pub(super) fn write_taken_over(&mut self, mut records: Vec<Record>, mark: Option<FileFingerprint>) {
        records.extend(mark.map(Record::TakenOver));
        self.adopted_file = mark.or(self.adopted_file);
        self.journal.defer(records.iter());
        if let Err(e) = self.journal.flush_deferred() {
            log::error!(cause:% = e; "records taken over cannot be written to the journal yet: {e}");
        }
        self.compact_if_full();
    }

    /// Whether everything that was taken over is in this journal, and nothing older. Until then the file that
    /// it came from must stay unchanged.
    pub fn flush_journal(&mut self) -> bool {
        if self.superseded {
            self.superseded = !self.compact();
        }
        !self.superseded && self.journal.flush_deferred().is_ok()
    }

    /// Writes the deferred journal records as soon as the state folder can be written, and compacts a journal
    /// that has grown. Guards against a journal that stays full after a failed compaction: nothing is
    /// accepted then, so no new record would cause another try.
    pub(super) fn journal_turn(&mut self, now: Ms) {
        if self.journal.has_deferred() && now >= self.flush_at {
            self.flush_at = now + FLUSH_RETRY_DELAY;
            let _ = self.journal.flush_deferred();
        }
        self.compact_if_full();
    }

    /// Whether there are records that could not be written yet.
    pub fn has_deferred_records(&self) -> bool {
        self.journal.has_deferred()
    }

    /// When writing deferred records or compacting is next tried.
    pub(super) fn journal_due(&self) -> Option<Ms> {
        let flush = self.journal.has_deferred().then_some(self.flush_at);
        let compact = self.journal.needs_compaction().then_some(self.compact_at);
        flush.into_iter().chain(compact).min_by(f64::total_cmp)
    }
}

/// What a process that has ended left in the folder's other file.
#[derive(Debug, Default)]
pub struct EndedJournal {
    /// Its records.
    pub records: Vec<Record>,
    /// Identifies the file.
    pub fingerprint: FileFingerprint,
}

/// Records that end those messages for which nothing but their acceptance was recorded, and that the other process
/// knows too. Two processes that accept the same message at the same time both write it; the one that ended before
/// it withdrew its record had neither answered the client nor sent the message.
fn withdrawals(now: Ms, records: &[Record], is_known: impl Fn(&AcceptedMessage) -> bool) -> Vec<Record> {
    let mut untouched: BTreeMap<MessageNo, &AcceptedMessage> = BTreeMap::new();
    for record in records {
        if let Record::Accepted(message) = record {
            untouched.insert(message.no, message);
        } else if let Some(no) = record.message_no() {
            untouched.remove(&no);
        }
    }
    let repeated = untouched.into_values().filter(|message| is_known(message));
    repeated.map(|message| Record::Settled { no: message.no, until: now }).collect()
}

fn taken_number(record: &Record) -> Option<MessageNo> {
    match record {
        Record::Accepted(t) => Some(t.no),
        _ => None,
    }
}

/// The records of both files, with each message in only one of them. A takeover that was cut short had begun
/// to copy messages, and nothing was done with the copies: the file with more records of a message is the one
/// that the message came from.
fn without_copies(own: Vec<Record>, left: Vec<Record>) -> (Vec<Record>, Vec<Record>) {
    let identities = |records: &[Record]| -> BTreeSet<(MessageNo, Identity)> {
        let identity = |r: &Record| match r {
            Record::Accepted(t) => Some((t.no, t.identity.clone())),
            _ => None,
        };
        records.iter().filter_map(identity).collect()
    };
    let both: BTreeSet<MessageNo> =
        identities(&own).intersection(&identities(&left)).map(|(no, _)| *no).collect();
    if both.is_empty() {
        return (own, left);
    }
    let record_counts = |records: &[Record]| -> BTreeMap<MessageNo, usize> {
        let mut record_counts = BTreeMap::new();
        for no in records.iter().filter_map(Record::message_no).filter(|no| both.contains(no)) {
            *record_counts.entry(no).or_default() += 1;
        }
        record_counts
    };
    let (by_own, by_left) = (record_counts(&own), record_counts(&left));
    let copied_to_own = |no: MessageNo| by_own.get(&no) < by_left.get(&no);
    let keep = |records: Vec<Record>, drop: &dyn Fn(MessageNo) -> bool| -> Vec<Record> {
        records
            .into_iter()
            .filter(|r| !r.message_no().is_some_and(|no| both.contains(&no) && drop(no)))
            .collect()
    };
    (keep(own, &copied_to_own), keep(left, &|no| !copied_to_own(no)))
}

/// The same record with its message number increased by `base`.
fn renumber(record: Record, base: MessageNo) -> Record {
    match record {
        Record::Accepted(mut taken) => {
            taken.no += base;
            Record::Accepted(taken)
        }
        Record::Attempts { no, attempts, may_have_run: ran, in_progress: out } => {
            Record::Attempts { no: no + base, attempts, may_have_run: ran, in_progress: out }
        }
        Record::FinalAnswer { no, ending } => Record::FinalAnswer { no: no + base, ending },
        Record::Settled { no, until } => Record::Settled { no: no + base, until },
        other => other,
    }
}
