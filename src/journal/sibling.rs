//! Follows the journal file of a sibling process, during an upgrade.

use super::record::Record;
use super::scan::scan;
use crate::timeline::ClockReading;
use std::fs::File;
use std::io;
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::Path;

/// What the folder's other file holds beyond what was read before.
#[derive(Debug, Default)]
pub struct SiblingRecords {
    /// The file was replaced, emptied or removed: what was read of it before no longer counts.
    pub replaced: bool,
    /// The records that were not read before.
    pub records: Vec<Record>,
}

/// Read position in the file that a sibling process appends to.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SiblingTail {
    /// Inode of the file; it changes when a compaction replaces the file.
    inode: u64,
    read: u64,
    /// The clock reading that applies to the next records.
    clocks: Option<ClockReading>,
}

impl SiblingTail {
    /// Reads the records appended since the last call, preceded by the clock reading that applies to them. If
    /// the read fails, the next call reads the same records.
    ///
    /// # Errors
    ///
    /// The file exists and cannot be read.
    pub(super) fn read_new_records(&mut self, path: &Path) -> io::Result<SiblingRecords> {
        let Some((inode, length)) = found(std::fs::metadata(path))?.map(|about| (about.ino(), about.len()))
        else {
            return Ok(self.removed());
        };
        if (inode, length) == (self.inode, self.read) {
            return Ok(SiblingRecords::default());
        }
        let Some(file) = found(File::open(path))? else { return Ok(self.removed()) };
        let about = file.metadata()?;
        let replaced = about.ino() != self.inode || about.len() < self.read;
        let mut tail =
            if replaced { SiblingTail { inode: about.ino(), ..SiblingTail::default() } } else { *self };
        let mut bytes = vec![0; (about.len() - tail.read) as usize];
        file.read_exact_at(&mut bytes, tail.read)?;
        let found = scan(&bytes);
        tail.read += found.valid_len as u64;
        let mut records: Vec<Record> = tail.clocks.map(Record::ClockReading).into_iter().collect();
        records.extend(found.records);
        let clocks =
            records.iter().rev().find_map(|r| if let Record::ClockReading(c) = r { Some(*c) } else { None });
        tail.clocks = clocks.or(tail.clocks);
        *self = tail;
        Ok(SiblingRecords { replaced, records })
    }

    /// The file does not exist.
    fn removed(&mut self) -> SiblingRecords {
        let replaced = self.inode != 0;
        *self = SiblingTail::default();
        SiblingRecords { replaced, records: Vec::new() }
    }
}

/// `None` if the file does not exist.
fn found<T>(result: io::Result<T>) -> io::Result<Option<T>> {
    match result {
        Ok(value) => Ok(Some(value)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}
