//! The files of a folder's journal, their locks, and the length beside each by which a file that was cut off is known.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// The files of a folder's journal. Each is held by one process at a time, so that a new process can serve beside the
/// old one during an upgrade; the first name is that of a journal of one file.
pub(super) const SLOTS: [&str; 2] = ["journal", "journal.1"];
/// Takes the lock of a slot of the folder if nobody holds it.
pub(super) fn lock(folder: &Path, slot: usize) -> io::Result<Option<File>> {
    let file = OpenOptions::new()
        .read(true)
        .write(true)
        .create(true)
        .truncate(false)
        .open(folder.join(format!("{}.lock", SLOTS[slot])))?;
    match file.try_lock() {
        Ok(()) => Ok(Some(file)),
        Err(std::fs::TryLockError::WouldBlock) => Ok(None),
        Err(std::fs::TryLockError::Error(e)) => Err(e),
    }
}

/// How long the journal was when an attempt was last begun, in the file of its lock. One that is shorter now was cut off,
/// if the cut fell between two records, too.
pub(super) fn write_mark(lock: &File, size: u64) -> io::Result<()> {
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&size.to_le_bytes());
    let sum = crc32fast::hash(&bytes[..8]);
    bytes[8..].copy_from_slice(&sum.to_le_bytes());
    lock.write_all_at(&bytes, 0)
}

/// See [`write_mark`]; 0 where there is none that reads.
fn read_mark(lock: &File) -> u64 {
    let mut bytes = [0; 12];
    let read = lock.read_exact_at(&mut bytes, 0).is_ok();
    let (size, sum) = bytes.split_at(8);
    let number = |b: &[u8]| b.iter().rev().fold(0u64, |n, x| n << 8 | u64::from(*x));
    if read && u64::from(crc32fast::hash(size)) == number(sum) {
        number(size)
    } else {
        0
    }
}

/// Was a file of which `good` bytes read whole cut off before the mark that an attempt went out? Half a record behind them
/// says nothing by itself: a write may fail halfway. Without a length to go by it is taken for a cut.
pub(super) fn was_cut(lock: &File, good: usize, length: usize) -> bool {
    match read_mark(lock) {
        0 => good < length,
        mark => (good as u64) < mark,
    }
}
