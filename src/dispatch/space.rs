//! Space for the journal: what a compaction writes, whether the state folder has the space for it, and when
//! the journal is compacted. No I/O but the journal's.
//!
//! A message is accepted only if the state folder has the space for a compacted journal with it and for the
//! records that its delivery writes, however small the disk. What it does not have then might be missing for
//! the attempts of messages that were accepted before.

use super::admit::{IDENTITY_OVERHEAD_BYTES, NO_ROOM_RETRY_AFTER};
use super::{Core, KnownIdentity};
use crate::api::*;
use crate::journal::{Ending, Identity, Record};
use serde_json::json;
use std::io;

/// The delay after a compaction that failed or gained nothing.
const COMPACT_RETRY_DELAY: Ms = 200.0;
/// The delay before space is reserved again after the disk did not have it.
const RESERVE_RETRY_DELAY: Ms = 200.0;
/// The delay before an attempt that could not be recorded is tried again, if a compaction has made room.
const COMPACTED_RETRY_DELAY: Ms = 1.0;
/// The delay before it is tried again otherwise.
pub(super) const JOURNAL_RETRY_DELAY: Ms = 100.0;
/// A compaction that gains fewer bytes makes no room for the records of a message.
const MIN_GAIN_BYTES: u64 = 256;
/// Share of the journal that a compaction has to gain when the disk has no space to reserve.
const MIN_GAIN_SHARE: f64 = 0.1;
/// Bytes that the record of an identity takes beyond its names.
const IDENTITY_RECORD_BYTES: u64 = 50;
/// Bytes that a record of counted calls takes beyond the endpoint's id.
const CALLS_RECORD_BYTES: u64 = 42;
/// Bytes that a record of a retry-after takes beyond the endpoint's id.
const WAIT_RECORD_BYTES: u64 = 25;
/// Bytes that the clock reading and the marker of a file that was taken over take.
const FILE_RECORDS_BYTES: u64 = 64;

/// Compactions since the start.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct CompactionCounts {
    done: u64,
    failed: u64,
}

/// Bytes that an identity takes in a compacted journal.
pub(super) fn identity_size(identity: &Identity, tenant: &str) -> u64 {
    (identity.0.len() + identity.1.len() + tenant.len()) as u64 + IDENTITY_OVERHEAD_BYTES
}

impl Core {
    /// Bytes that live records take in a compacted journal; they have a share of the folder's limit.
    pub(super) fn live_record_bytes(&self) -> u64 {
        self.live_bytes + self.at_most_once.bytes() + self.ownership.bytes()
    }

    /// Bytes that a compaction writes at most.
    pub(super) fn compacted_bytes(&self) -> u64 {
        let (calls, call_ids) = self.ceilings.snapshot_size();
        let (waits, wait_ids) = self.waits.size();
        let calls = calls as u64 * CALLS_RECORD_BYTES + call_ids as u64;
        let waits = waits as u64 * WAIT_RECORD_BYTES + wait_ids as u64;
        // The share of identities is reckoned with more than their records take.
        let overhead = self.identities.len() as u64 * (IDENTITY_OVERHEAD_BYTES - IDENTITY_RECORD_BYTES);
        let identities = self.identity_bytes - overhead;
        let ownership = self.ownership.record_bytes();
        self.live_record_bytes() + identities + ownership + calls + waits + FILE_RECORDS_BYTES
    }

    /// Reserves space for `more` bytes of live records, beside all that is held. If the disk does not have
    /// it, returns the retry-after.
    pub(super) fn reserve_space(&mut self, more: u64) -> Result<(), Ms> {
        let compacted = self.compacted_bytes() + more;
        if self.journal.has_reserved(compacted) {
            return Ok(());
        }
        if self.now < self.reserve_at {
            return Err(NO_ROOM_RETRY_AFTER);
        }
        let mut reserved = self.journal.reserve(compacted);
        let gain = self.journal.size().saturating_sub(compacted) as f64;
        if reserved.is_err() && gain > self.journal.size() as f64 * MIN_GAIN_SHARE && self.compact_if_due() {
            reserved = self.journal.reserve(compacted);
        }
        reserved.map_err(|e| {
            self.reserve_at = self.now + RESERVE_RETRY_DELAY;
            self.log_full_journal(&e);
            NO_ROOM_RETRY_AFTER
        })
    }

    /// Logs that the journal takes no new message.
    pub(super) fn log_full_journal(&mut self, e: &io::Error) {
        if let Some(count) = self.append_errors.record(self.now) {
            log::error!(cause:% = e, count = count; "the journal takes nothing more: {e}");
        }
    }

    /// Appends a record. A journal that cannot grow is compacted first, so what is held must not contain the
    /// record's change yet.
    ///
    /// # Errors
    ///
    /// The state folder cannot be written to, or has no space.
    pub(super) fn append_or_compact(&mut self, record: &Record) -> io::Result<()> {
        self.compact_if_full();
        let appended = self.journal.append(record);
        if appended.is_ok() || !self.journal.is_out_of_space() || !self.compact_if_due() {
            return appended;
        }
        self.journal.append(record)
    }

    /// When an attempt may be tried again whose record the journal did not take.
    pub(super) fn record_retry_delay(&mut self) -> Ms {
        let has_room = self.journal.is_out_of_space() && self.compact_if_due() && self.now >= self.compact_at;
        match has_room {
            true => COMPACTED_RETRY_DELAY,
            false => JOURNAL_RETRY_DELAY,
        }
    }

    /// Compacts the journal once it has grown.
    pub(super) fn compact_if_full(&mut self) {
        if self.journal.needs_compaction() {
            self.compact_if_due();
        }
    }

    /// Compacts the journal unless the last compaction failed or gained nothing a short time ago.
    fn compact_if_due(&mut self) -> bool {
        self.now >= self.compact_at && self.compact()
    }

    /// Rewrites the journal with the records that still matter; false if writing to the state folder fails.
    pub(super) fn compact(&mut self) -> bool {
        let records = self.compacted_records();
        let (before, reserved) = (self.journal.size(), self.journal.reserved());
        let done = self.journal.compact(records.into_iter());
        let after = self.journal.size();
        log::debug!(before = before, after = after, compacted = self.compacted_bytes(), reserved = reserved, held = self.messages.len(),
            identities = self.identities.len(), done = done.is_ok(); "the journal is compacted");
        let gained = before.saturating_sub(after) >= MIN_GAIN_BYTES;
        if done.is_err() || !gained || self.journal.needs_compaction() {
            // Each try writes everything that is held.
            self.compact_at = self.now + COMPACT_RETRY_DELAY;
        }
        match &done {
            Ok(()) => self.compactions.done += 1,
            Err(e) => {
                self.compactions.failed += 1;
                if let Some(count) = self.compaction_errors.record(self.now) {
                    log::error!(cause:% = e, count = count; "the journal cannot be compacted: {e}");
                }
            }
        }
        done.is_ok()
    }

    /// The records that a compacted journal has.
    fn compacted_records(&mut self) -> Vec<Record> {
        let mut records = Vec::new();
        for (no, c) in &self.messages {
            records.push(Record::Accepted(c.taken.clone()));
            records.extend(self.compacted_attempt_record(*no, c));
            records.extend(c.ending.map(|ending| Record::FinalAnswer { no: *no, ending }));
        }
        let settled = self.identities.iter().filter(|(_, k)| !self.messages.contains_key(&k.no));
        records.extend(settled.filter_map(|(identity, known)| identity_record(identity, known)));
        records.extend(self.ceilings.snapshot(self.now).into_iter().map(Record::CallsCounted));
        let once = |(name, ending, until, tenant): (&String, Ending, Ms, &String)| Record::AtMostOnceEnded {
            name: name.clone(),
            ending,
            until,
            tenant: tenant.clone(),
        };
        records.extend(self.at_most_once.endings().map(once));
        records.extend(self.ownership_records());
        records.extend(self.waits.records(self.now));
        records.extend(self.adopted_file.map(Record::TakenOver));
        records
    }

    /// The journal's metrics.
    pub(super) fn journal_metrics(&self) -> serde_json::Value {
        json!({
            "bytes": self.journal.size(),
            "compacted_bytes": self.compacted_bytes(),
            "reserved_bytes": self.journal.reserved(),
            "compactions": self.compactions.done,
            "compactions_failed": self.compactions.failed,
        })
    }
}

/// The record of the identity of a message that has ended.
fn identity_record(identity: &Identity, known: &KnownIdentity) -> Option<Record> {
    let record = |ending| Record::RememberedIdentity {
        identity: identity.clone(),
        ending,
        until: known.until,
        tenant: known.tenant.clone(),
    };
    known.ending.map(record)
}

#[cfg(test)]
mod tests;
