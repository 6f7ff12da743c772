//! Reads the records of a journal file, skips damaged ranges, and derives what damage means for the messages
//! in it.

use super::record::{AttemptSent, MessageNo, Record};
use std::collections::BTreeMap;
use std::fs::OpenOptions;
use std::io::Write;
use std::ops::Range;
use std::path::Path;

/// Result of scanning a journal file.
#[derive(Debug, Default)]
pub(super) struct Scan {
    pub(super) records: Vec<Record>,
    /// Offset at which the last valid record ends, or the end of the file if the last record has its full
    /// length but is invalid.
    pub(super) valid_len: usize,
    /// Byte ranges that are not valid records, for example after a bit flip or an append behind a torn write.
    pub(super) damaged: Vec<Range<usize>>,
}

/// Decodes the record at offset `at` and returns it with its end; `None` if its length, checksum or body is
/// invalid.
fn record_at(bytes: &[u8], at: usize) -> Option<(Record, usize)> {
    let head = bytes.get(at..at + 8)?;
    let number = |b: &[u8]| b.iter().rev().fold(0u32, |n, x| n << 8 | u32::from(*x));
    let (len, sum) = (number(&head[..4]) as usize, number(&head[4..]));
    let body = bytes.get(at + 8..(at + 8).checked_add(len)?)?;
    let record = Some(body).filter(|b| crc32fast::hash(b) == sum).and_then(Record::decode)?;
    Some((record, at + 8 + len))
}

/// Reads all valid records. After an invalid one it searches byte by byte for the next valid record and
/// reports the bytes in between as damaged. If no valid record follows, the rest is a torn
/// tail, or damaged if it has the full length of its record.
pub(super) fn scan(bytes: &[u8]) -> Scan {
    let mut found = Scan::default();
    let mut at = 0;
    while at < bytes.len() {
        if let Some((record, end)) = record_at(bytes, at) {
            found.records.push(record);
            (at, found.valid_len) = (end, end);
            continue;
        }
        match (at + 1..bytes.len()).find_map(|from| record_at(bytes, from).map(|r| (from, r))) {
            Some((from, (record, end))) => {
                found.damaged.push(at..from);
                found.records.push(record);
                (at, found.valid_len) = (end, end);
            }
            // A kill leaves a write shorter than its length. An invalid record that has its full length was
            // damaged after it was written, and may have been the record that an attempt was begun.
            None if has_full_length(bytes, at) => {
                found.damaged.push(at..bytes.len());
                (at, found.valid_len) = (bytes.len(), bytes.len());
            }
            None => break,
        }
    }
    found
}

/// Whether the file has at least as many bytes as the length of the record at offset `at` requires.
fn has_full_length(bytes: &[u8], at: usize) -> bool {
    let Some(head) = bytes.get(at..at + 8) else { return false };
    let len = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
    (at + 8).checked_add(len).is_some_and(|end| end <= bytes.len())
}

/// Marks every open message without a recorded attempt as possibly executed, because a damaged journal cannot
/// prove that it was never sent. The added attempt has no zone and time 0, so that an at-most-once message is
/// never sent again and a deduplicated one is not repeated at any endpoint. Idempotent messages are sent as
/// before. Returns the number of messages marked.
pub fn mark_open_messages_as_possibly_executed(records: &mut Vec<Record>) -> usize {
    let mut open: BTreeMap<MessageNo, (u32, bool)> = BTreeMap::new();
    for r in records.iter() {
        match r {
            Record::Accepted(t) => drop(open.insert(t.no, (0, false))),
            Record::Attempts { no, attempts, may_have_run: ran, in_progress: out } => {
                if let Some(o) = open.get_mut(no) {
                    *o = (*attempts, ran.is_some() || out.is_some());
                }
            }
            Record::FinalAnswer { no, .. } | Record::Settled { no, .. } => drop(open.remove(no)),
            _ => {}
        }
    }
    let unmarked: Vec<_> = open.into_iter().filter(|(_, (_, marked))| !marked).collect();
    for (no, (attempts, _)) in &unmarked {
        let ran = Some(AttemptSent { at: 0.0, zone: String::new() });
        records.push(Record::Attempts {
            no: *no,
            attempts: (*attempts).max(1),
            may_have_run: ran,
            in_progress: None,
        });
    }
    unmarked.len()
}

/// The highest message number among the records; 0 if there is none.
pub fn highest_message_no(records: &[Record]) -> MessageNo {
    records.iter().filter_map(Record::message_no).max().unwrap_or(0)
}

/// Maximum number of damaged bytes that one start copies to the file `damaged`. Further bytes are counted but
/// dropped, to save space in the state folder.
const MAX_QUARANTINED_BYTES: usize = 64 << 10;

/// Appends damaged ranges to the folder's file `damaged`, each after a line that gives its position. Returns
/// the total number of damaged bytes.
pub(super) fn quarantine(folder: &Path, file: &str, bytes: &[u8], damaged: &[Range<usize>]) -> usize {
    let mut out = Vec::new();
    for r in damaged {
        let part = &bytes[r.clone()];
        let part = &part[..part.len().min(MAX_QUARANTINED_BYTES.saturating_sub(out.len()))];
        out.extend(format!("\n{file} at byte {} of {} bytes:\n", r.start, r.len()).into_bytes());
        out.extend(part);
    }
    let written = OpenOptions::new()
        .append(true)
        .create(true)
        .open(folder.join("damaged"))
        .and_then(|mut f| f.write_all(&out));
    if let Err(e) = written {
        log::warn!("cannot save the damaged records to the file damaged: {e}");
    }
    damaged.iter().map(|r| r.len()).sum()
}
