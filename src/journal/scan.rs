//! Reads the records of a journal's file, past damage in it, and what damage means for the calls that it holds.

use super::record::{CallNo, Record, Sent};
use std::collections::BTreeMap;
use std::fs::OpenOptions;
use std::io::Write;
use std::ops::Range;
use std::path::Path;

/// What a reading of the file found.
#[derive(Debug, Default)]
pub(super) struct Scan {
    pub(super) records: Vec<Record>,
    /// Where the last good record ends.
    pub(super) good: usize,
    /// Stretches of bytes between good records that are no record: a flipped bit, a write torn and then written after.
    pub(super) damaged: Vec<Range<usize>>,
}

/// The record that starts at `at`, if its length fits, its checksum agrees and its body reads.
fn record_at(bytes: &[u8], at: usize) -> Option<(Record, usize)> {
    let head = bytes.get(at..at + 8)?;
    let number = |b: &[u8]| b.iter().rev().fold(0u32, |n, x| n << 8 | u32::from(*x));
    let (len, sum) = (number(&head[..4]) as usize, number(&head[4..]));
    let body = bytes.get(at + 8..(at + 8).checked_add(len)?)?;
    let record = Some(body).filter(|b| crc32fast::hash(b) == sum).and_then(Record::decode)?;
    Some((record, at + 8 + len))
}

/// Reads whole records. Where one does not read, the next that does is looked for byte by byte: what lies between is
/// damaged and set aside, and reading goes on; with none after it, it is a torn tail.
pub(super) fn scan(bytes: &[u8]) -> Scan {
    let mut found = Scan::default();
    let mut at = 0;
    while at < bytes.len() {
        if let Some((record, end)) = record_at(bytes, at) {
            found.records.push(record);
            (at, found.good) = (end, end);
            continue;
        }
        match (at + 1..bytes.len()).find_map(|from| record_at(bytes, from).map(|r| (from, r))) {
            Some((from, (record, end))) => {
                found.damaged.push(at..from);
                found.records.push(record);
                (at, found.good) = (end, end);
            }
            // A kill tears a write short of its length; one whose length is all there and does not read was damaged
            // after it was written, and may have been the mark that an attempt went out.
            None if whole_length(bytes, at) => {
                found.damaged.push(at..bytes.len());
                (at, found.good) = (bytes.len(), bytes.len());
            }
            None => break,
        }
    }
    found
}

/// The record at `at` has all the bytes that its length says, and more may follow.
fn whole_length(bytes: &[u8], at: usize) -> bool {
    let Some(head) = bytes.get(at..at + 8) else { return false };
    let len = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
    (at + 8).checked_add(len).is_some_and(|end| end <= bytes.len())
}

/// After damage the journal cannot prove that an open call never went out: each one without a mark of an attempt gets
/// one, of no building and long ago, so that an unsafe message is never sent again and an approval order is repeated
/// nowhere. Safe messages go as before. Returns how many were marked.
pub fn unsure(records: &mut Vec<Record>) -> usize {
    let mut open: BTreeMap<CallNo, (u32, bool)> = BTreeMap::new();
    for r in records.iter() {
        match r {
            Record::Taken(t) => drop(open.insert(t.no, (0, false))),
            Record::State { no, attempts, ran, out } => {
                if let Some(o) = open.get_mut(no) {
                    *o = (*attempts, ran.is_some() || out.is_some());
                }
            }
            Record::Ended { no, .. } | Record::Over { no, .. } => drop(open.remove(no)),
            _ => {}
        }
    }
    let unmarked: Vec<_> = open.into_iter().filter(|(_, (_, marked))| !marked).collect();
    for (no, (attempts, _)) in &unmarked {
        let ran = Some(Sent { at: 0.0, zone: String::new() });
        records.push(Record::State { no: *no, attempts: (*attempts).max(1), ran, out: None });
    }
    unmarked.len()
}

/// The highest call number among the records; 0 for none.
pub fn highest(records: &[Record]) -> CallNo {
    records.iter().filter_map(Record::call).max().unwrap_or(0)
}

/// Bytes of damaged records that a start sets aside at most; more are counted and dropped, for the folder's room.
const ASIDE_MOST: usize = 64 << 10;

/// Keeps damaged stretches in the folder's file `damaged`, each after a line that says where it stood; returns its bytes.
pub(super) fn set_aside(folder: &Path, file: &str, bytes: &[u8], damaged: &[Range<usize>]) -> usize {
    let mut out = Vec::new();
    for r in damaged {
        let part = &bytes[r.clone()];
        let part = &part[..part.len().min(ASIDE_MOST.saturating_sub(out.len()))];
        out.extend(format!("\n{file} at byte {} of {} bytes:\n", r.start, r.len()).into_bytes());
        out.extend(part);
    }
    let kept = OpenOptions::new()
        .append(true)
        .create(true)
        .open(folder.join("damaged"))
        .and_then(|mut f| f.write_all(&out));
    if let Err(e) = kept {
        log::warn!("the damaged records could not be set aside: {e}");
    }
    damaged.iter().map(|r| r.len()).sum()
}
