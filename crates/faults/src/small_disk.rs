//! A disk of limited size below the folder: the files in it together get no more blocks than the disk has.

use crate::schedule::Kind;
use crate::{active_argument, path_of, schedule};
use libc::{c_int, off_t, size_t};
use std::path::Path;

/// Unit in which the disk is allocated, in bytes.
const BLOCK_BYTES: u64 = 4_096;

/// How many of `count` bytes at this offset the disk takes; all of them while no such fault is active. Without an offset
/// the bytes go to the descriptor's own position.
pub(crate) fn bytes_taken(fd: c_int, count: size_t, offset: Option<off_t>) -> size_t {
    let Some(capacity) = active_argument(Kind::Disk) else { return count };
    let folder = Path::new(&schedule().folder);
    let Some(path) = path_of(fd).filter(|p| Path::new(p).parent() == Some(folder)) else { return count };
    let (own, others) = file_sizes(folder, Path::new(&path));
    let at = offset.or_else(|| position(fd, own)).unwrap_or(0).max(0) as u64;
    let room = (capacity as u64).saturating_sub(others) / BLOCK_BYTES * BLOCK_BYTES;
    // Bytes over what the file has already need no further block.
    let end = room.max(own.next_multiple_of(BLOCK_BYTES));
    end.saturating_sub(at).min(count as u64) as size_t
}

/// The length of this file, and the bytes allocated to all other files of the folder.
fn file_sizes(folder: &Path, path: &Path) -> (u64, u64) {
    let (mut own, mut others) = (0, 0);
    for entry in std::fs::read_dir(folder).into_iter().flatten().flatten() {
        let length = entry.metadata().map_or(0, |about| about.len());
        if entry.path() == path {
            own = length;
        } else {
            others += length.next_multiple_of(BLOCK_BYTES);
        }
    }
    (own, others)
}

/// Where the next write to the descriptor goes in a file of this length.
fn position(fd: c_int, length: u64) -> Option<off_t> {
    // SAFETY: both calls take no pointer; an invalid descriptor makes them return an error.
    let (flags, at) = unsafe { (libc::fcntl(fd, libc::F_GETFL), libc::lseek64(fd, 0, libc::SEEK_CUR)) };
    match flags & libc::O_APPEND != 0 {
        true => Some(length as off_t),
        false => (at >= 0).then_some(at),
    }
}
