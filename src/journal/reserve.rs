//! The reserve: a file beside the journal that holds the disk space of the next compaction.
//!
//! Compaction overwrites the file and renames it over the journal, so it needs no space that the disk might
//! not have by then. The content of the file means nothing until then.

use super::{is_out_of_space, Journal};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Share of the size limit that the reserve may fill.
const RESERVE_SHARE: f64 = 0.46;
/// The reserve has at least this many bytes beyond what a compaction writes, for the records that follow it:
/// two blocks of a usual file system.
pub(super) const MIN_HEADROOM_BYTES: u64 = 8 << 10;
/// The headroom is at least what a compaction writes, divided by this.
const HEADROOM_DIVISOR: u64 = 3;
/// Bytes by which the reserve grows beyond what is needed, where the disk takes them.
const RESERVE_STEP_BYTES: u64 = 16 << 10;
/// Zeros that the reserve grows by in one write.
static ZEROS: [u8; 64 << 10] = [0; 64 << 10];

/// The reserve of one journal file.
#[derive(Debug)]
pub(super) struct Reserve {
    path: PathBuf,
    size: u64,
}

/// Path of the reserve of a journal file.
pub(super) fn reserve_path(journal: &Path) -> PathBuf {
    let mut name = journal.as_os_str().to_owned();
    name.push(".new");
    PathBuf::from(name)
}

impl Reserve {
    /// The reserve that an earlier process left, or an empty one.
    pub(super) fn open(journal: &Path) -> Reserve {
        let path = reserve_path(journal);
        let size = std::fs::metadata(&path).map_or(0, |about| about.len());
        Reserve { path, size }
    }

    pub(super) fn path(&self) -> &Path {
        &self.path
    }

    /// Size of the file in bytes.
    pub(super) fn size(&self) -> u64 {
        self.size
    }

    /// Grows the file to at least `least` bytes, and to `wanted` if the disk takes them.
    ///
    /// # Errors
    ///
    /// The disk does not take `least` bytes. The file then has its former size again, so that it does not
    /// keep space from the journal.
    pub(super) fn grow(&mut self, least: u64, wanted: u64) -> io::Result<()> {
        let former = self.size;
        let grown = self.append_zeros(wanted);
        if self.size >= least {
            return Ok(());
        }
        self.shrink(former);
        grown
    }

    fn append_zeros(&mut self, size: u64) -> io::Result<()> {
        let mut file = OpenOptions::new().append(true).create(true).open(&self.path)?;
        self.size = file.metadata()?.len();
        while self.size < size {
            let missing = usize::try_from(size - self.size).unwrap_or(usize::MAX);
            match file.write(&ZEROS[..missing.min(ZEROS.len())])? {
                0 => return Err(io::ErrorKind::WriteZero.into()),
                written => self.size += written as u64,
            }
        }
        Ok(())
    }

    /// Cuts the file to this size, if it is larger; returns whether that freed space.
    pub(super) fn shrink(&mut self, size: u64) -> bool {
        let cut = |file: File| file.set_len(size).is_ok();
        let is_cut = self.size > size && OpenOptions::new().write(true).open(&self.path).is_ok_and(cut);
        if is_cut {
            self.size = size;
        }
        is_cut
    }

    /// Replaces the content of the file; its space is reused. Returns the file, open for appending.
    ///
    /// # Errors
    ///
    /// The file cannot be written, or the content is larger than the file and the disk is full.
    pub(super) fn overwrite(&mut self, bytes: &[u8]) -> io::Result<File> {
        let former = self.size;
        let written = self.write_over(bytes);
        if written.is_err() && bytes.len() as u64 > former {
            self.shrink(former);
        } else if written.is_err() {
            // Some file systems need new space to overwrite a file.
            self.remove();
        }
        written
    }

    fn write_over(&mut self, bytes: &[u8]) -> io::Result<File> {
        let mut file = OpenOptions::new().write(true).create(true).truncate(false).open(&self.path)?;
        self.size = self.size.max(bytes.len() as u64);
        file.write_all(bytes)?;
        file.set_len(bytes.len() as u64)?;
        self.size = bytes.len() as u64;
        OpenOptions::new().append(true).open(&self.path)
    }

    /// Notes that the file is the journal now.
    pub(super) fn renamed(&mut self) {
        self.size = 0;
    }

    /// Removes the file.
    pub(super) fn remove(&mut self) {
        if std::fs::remove_file(&self.path).is_ok() {
            self.size = 0;
        }
    }
}

/// Bytes that a file needs which is to hold `compacted` bytes and the records that follow them.
fn with_headroom(compacted: u64) -> u64 {
    compacted + (compacted / HEADROOM_DIVISOR).max(MIN_HEADROOM_BYTES)
}

impl Journal {
    /// Cuts a reserve that is larger than its share.
    pub(super) fn limit_reserve(&mut self) {
        let most = self.max_reserve();
        self.reserve.shrink(most);
        self.reserved_for = self.reserved_for.min(most);
    }

    fn max_reserve(&self) -> u64 {
        (self.own_limit() * RESERVE_SHARE) as u64
    }

    /// Size that the reserve needs if a compaction writes `compacted` bytes.
    fn needed_reserve(&self, compacted: u64) -> u64 {
        with_headroom(compacted).min(self.max_reserve())
    }

    /// Whether the next compaction has its space if it writes `compacted` bytes.
    pub fn has_reserved(&self, compacted: u64) -> bool {
        self.reserve.size() >= self.needed_reserve(compacted) && self.may_hold_sibling_file(compacted)
    }

    /// Whether one file may hold `compacted` bytes and all records of a sibling process: one of the two takes
    /// the other's records over.
    fn may_hold_sibling_file(&self, compacted: u64) -> bool {
        let Some(most) = self.max_file_size.filter(|_| self.shared) else { return true };
        let sibling = self.sibling_path().and_then(|path| std::fs::metadata(path).ok());
        with_headroom(compacted + sibling.map_or(0, |about| about.len())) <= most
    }

    /// Reserves the space for a compaction that writes `compacted` bytes, and for records after it.
    ///
    /// # Errors
    ///
    /// The disk does not have the space. Other failures are no error: they say nothing about the space, and
    /// an append finds out whether the folder can be written.
    pub fn reserve(&mut self, compacted: u64) -> io::Result<()> {
        if !self.may_hold_sibling_file(compacted) {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        if !self.has_reserved(compacted) {
            let least = self.needed_reserve(compacted);
            let wanted = (least + RESERVE_STEP_BYTES).min(self.max_reserve()).max(least);
            self.reserve
                .grow(least, wanted)
                .or_else(|e| if is_out_of_space(&e) { Err(e) } else { Ok(()) })?;
        }
        self.reserved_for = compacted.min(self.max_reserve());
        Ok(())
    }

    /// Makes a new reserve after a compaction has used up the former one. If another program has taken the
    /// space meanwhile, the reserve is only as large as the journal is now. Best effort: without it new messages
    /// are rejected, which tries again.
    pub(super) fn renew_reserve(&mut self) {
        for size in [self.reserved_for, self.size] {
            if self.reserve.grow(size, size).is_ok() {
                return;
            }
        }
    }

    /// Size of the reserve in bytes.
    pub fn reserved(&self) -> u64 {
        self.reserve.size()
    }
}
