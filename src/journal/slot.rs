//! The journal files of a state folder, their locks, and the recorded lengths by which a truncated file is
//! detected.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// Names of a folder's journal files. Each file is locked by one process at a time, so that a new process can
/// serve next to the old one during an upgrade. The first name is the one used by journals that had a single
/// file.
pub(super) const SLOTS: [&str; 2] = ["journal", "journal.1"];

/// Locks a slot of the folder; `None` if another process holds its lock.
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

/// Records in the lock file how long the journal is now; called whenever an attempt is begun. A journal that
/// is later shorter than this was truncated, even if the truncation fell between two records.
pub(super) fn write_length_mark(lock: &File, size: u64) -> io::Result<()> {
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&size.to_le_bytes());
    let sum = crc32fast::hash(&bytes[..8]);
    bytes[8..].copy_from_slice(&sum.to_le_bytes());
    lock.write_all_at(&bytes, 0)
}

/// Reads the length written by [`write_length_mark`]; 0 if there is no valid one.
fn read_length_mark(lock: &File) -> u64 {
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

/// Whether a file of `length` bytes, of which the first `valid_len` are valid records, was truncated below
/// the recorded length. A partial record at the end proves nothing by itself, since a write may fail halfway;
/// without a recorded length it counts as a truncation.
pub(super) fn was_truncated(lock: &File, valid_len: usize, length: usize) -> bool {
    match read_length_mark(lock) {
        0 => valid_len < length,
        mark => (valid_len as u64) < mark,
    }
}
