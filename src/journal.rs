//! The journal in the state folder: one file of checksummed records that a restart replays.
//!
//! A record is its length, its checksum and its body. Completed writes outlast the process even if it is
//! killed, so nothing is synced. A torn tail is truncated. Once the file has grown, compaction writes the
//! live records to a second file, the reserve, and renames it over the first; both files together stay within
//! the folder's size limit. The reserve keeps the space that this needs on a disk that is smaller than the
//! limit.

mod record;
mod reserve;
mod scan;
mod sibling;
mod slot;

use crate::timeline::{self, ClockReading};
pub use record::{AcceptedMessage, AttemptSent, Ending, FileFingerprint, Identity, MessageNo, Record};
use reserve::{reserve_path, Reserve};
use rustix::process::{getrlimit, Resource};
pub use scan::{highest_message_no, mark_open_messages_as_possibly_executed};
use scan::{quarantine, scan, Scan};
pub use sibling::SiblingRecords;
use sibling::SiblingTail;
use slot::{lock, was_truncated, write_length_mark, SLOTS};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// Share of the size limit that live records may fill; above it no new message is accepted.
const LIVE_RECORDS_SHARE: f64 = 0.36;
/// Share of the size limit that identities of settled messages may fill; above it the oldest are forgotten.
const IDENTITIES_SHARE: f64 = 0.08;
/// Share of the size limit that the file may fill before it is compacted. It leaves room for the compacted
/// copy, so that both files together stay under the limit.
const COMPACTION_SHARE: f64 = 0.48;
/// Maximum size of the records deferred by `defer_bounded`.
const MAX_DEFERRED_BYTES: usize = 256 << 10;
/// Share of the size limit above which a file that cannot be compacted accepts no new message, so that this
/// file and the compacted copy that finally replaces it stay under the limit together. Messages already held
/// can still end.
const MAX_FILE_SHARE: f64 = 0.5;
/// Share of the size limit that each of two sibling processes on one state folder may use.
const SIBLING_SHARE: f64 = 0.5;

/// Number of times that a start tries to lock a free journal file before it gives up.
const LOCK_ATTEMPTS: u32 = 8;

/// The open journal.
#[derive(Debug)]
pub struct Journal {
    path: PathBuf,
    file: File,
    size: u64,
    limit: u64,
    /// A sibling process has a file of its own in the folder.
    shared: bool,
    /// A partial record follows the last whole one.
    torn: bool,
    /// The last write failed because the disk is full or the file may not grow.
    out_of_space: bool,
    /// Held while this process lives; the system releases it however the process ends, also by a kill.
    _lock: File,
    /// Index of this process's file among the folder's files.
    slot: usize,
    /// Number of damaged byte ranges that the start quarantined.
    damaged: usize,
    /// The start found that the file had been truncated.
    truncated: bool,
    /// Fingerprint of the file as the start found it.
    found: FileFingerprint,
    /// The clocks at the start of this process; `None` for a reader that only inspects a folder.
    clocks: Option<ClockReading>,
    /// Encoded records that must be written before any other, because the file did not accept them earlier.
    deferred: Vec<u8>,
    /// Read position in the sibling process's file.
    sibling_tail: SiblingTail,
    /// The file that the next compaction overwrites.
    reserve: Reserve,
    /// Bytes that the reserve must keep for the next compaction.
    reserved_for: u64,
    /// Size of the largest file that this process may write, if that is limited.
    max_file_size: Option<u64>,
}

/// The journal file of an ended process, locked by this process until the file is truncated.
#[derive(Debug)]
pub struct OrphanedJournal {
    path: PathBuf,
    _lock: File,
    /// The records that the file held.
    pub records: Vec<Record>,
    /// Number of damaged byte ranges that were skipped, plus one if the file was truncated.
    pub damaged: usize,
    /// Fingerprint by which the file is recognized if it could not be truncated.
    pub fingerprint: FileFingerprint,
}

impl OrphanedJournal {
    /// Truncates the file once its records are written elsewhere, and releases its lock for the next process.
    ///
    /// # Errors
    ///
    /// The file cannot be truncated. Its records stay in it and must be skipped by its fingerprint.
    pub fn truncate_and_release(self) -> io::Result<()> {
        self.truncate()
    }

    /// Truncates the file and keeps its lock, so that a failed truncation can be retried later.
    ///
    /// # Errors
    ///
    /// See [`OrphanedJournal::truncate_and_release`].
    pub fn truncate(&self) -> io::Result<()> {
        write_length_mark(&self._lock, 0)?;
        OpenOptions::new().write(true).open(&self.path)?.set_len(0)
    }
}

/// State of the folder's other journal file, as found by [`Journal::check_sibling_file`].
#[derive(Debug)]
pub enum SiblingFile {
    /// No process holds its lock, and it has no records.
    Unused,
    /// A running sibling process holds its lock, as during an upgrade.
    InUse,
    /// It holds records of a process that has ended.
    Orphaned(OrphanedJournal),
}

/// Whether the error means that the file cannot grow at the moment.
fn is_out_of_space(error: &io::Error) -> bool {
    use io::ErrorKind::{FileTooLarge, QuotaExceeded, StorageFull};
    matches!(error.kind(), StorageFull | QuotaExceeded | FileTooLarge)
}

/// Translates the records' times to the timeline of the reading process, if it has one.
fn on_timeline(records: Vec<Record>, clocks: Option<&ClockReading>) -> Vec<Record> {
    match clocks {
        Some(clocks) => timeline::translate_records(records, clocks),
        None => records,
    }
}

/// Whether the error means that the disk, or the user's part of it, is full. A process that may not write
/// larger files gets another error.
fn is_disk_full(error: &io::Error) -> bool {
    is_out_of_space(error) && error.kind() != io::ErrorKind::FileTooLarge
}

impl Journal {
    /// Opens the folder's journal, creating what is missing, and reads its records.
    ///
    /// Two sibling processes may serve on one folder, each with a file of its own. This process locks the
    /// first file that no running process holds. Records that an ended process left in the other file are
    /// taken over through [`Journal::orphaned_journal`].
    ///
    /// # Errors
    ///
    /// The folder or a file cannot be created or read, or running processes hold both files.
    pub fn open(folder: &Path, limit: u64) -> io::Result<(Journal, Vec<Record>)> {
        Journal::open_at(folder, limit, None)
    }

    /// Like [`Journal::open`], for a process that started with the clock reading `clocks`: all times that it
    /// reads or writes are on the timeline of that reading.
    ///
    /// # Errors
    ///
    /// See [`Journal::open`].
    pub fn open_at(
        folder: &Path,
        limit: u64,
        clocks: Option<ClockReading>,
    ) -> io::Result<(Journal, Vec<Record>)> {
        crate::disk::make_folder(folder)?;
        let mut held = None;
        // A sibling process briefly holds a free file's lock while it checks that file, so a failure may
        // pass.
        for round in 0..LOCK_ATTEMPTS {
            for slot in 0..SLOTS.len() {
                if let Some(lock) = lock(folder, slot)? {
                    held = Some((slot, lock));
                    break;
                }
            }
            if held.is_some() {
                break;
            }
            std::thread::sleep(std::time::Duration::from_millis(2 << round.min(4)));
        }
        let Some((slot, lock)) = held else {
            let why = "two processes that live serve on this folder already; end one, or give this one another folder";
            return Err(io::Error::new(io::ErrorKind::ResourceBusy, why));
        };
        let path = folder.join(SLOTS[slot]);
        let reserve = Reserve::open(&path);
        let mut file = OpenOptions::new().read(true).append(true).create(true).open(&path)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let Scan { records, valid_len, damaged } = scan(&bytes);
        let records = on_timeline(records, clocks.as_ref());
        if valid_len < bytes.len() {
            log::warn!("truncating a torn journal tail of {} bytes", bytes.len() - valid_len);
            file.set_len(valid_len as u64)?;
        }
        let truncated = was_truncated(&lock, valid_len, bytes.len());
        if truncated {
            // Reported once: the next start compares against the new, shorter length.
            write_length_mark(&lock, valid_len as u64)?;
        }
        let mut journal = Journal {
            path,
            file,
            size: valid_len as u64,
            limit,
            shared: false,
            torn: false,
            out_of_space: false,
            slot,
            damaged: damaged.len(),
            truncated,
            found: FileFingerprint::of(&bytes),
            clocks,
            deferred: clocks.map_or_else(Vec::new, |c| Record::ClockReading(c).encode()),
            sibling_tail: SiblingTail::default(),
            reserved_for: reserve.size(),
            reserve,
            max_file_size: getrlimit(Resource::Fsize).current,
            _lock: lock,
        };
        journal.limit_reserve();
        // From here on the lock file records a length, so that a later truncation is detected.
        if let Err(e) =
            journal.flush_deferred().and_then(|()| write_length_mark(&journal._lock, journal.size))
        {
            log::warn!(cause:% = e; "the journal cannot be written yet: {e}");
        }
        if !damaged.is_empty() {
            let bytes = quarantine(folder, SLOTS[slot], &bytes, &damaged);
            log::warn!(
                records = damaged.len(), bytes = bytes, kept = records.len();
                "the journal has {} damaged ranges of {bytes} bytes in total; they are copied to the file damaged \
                 in the state folder, and the journal is rewritten with the valid records",
                damaged.len()
            );
            journal.compact(records.iter().cloned())?;
        }
        Ok((journal, records))
    }

    /// Fingerprint of the file as the start found it.
    pub fn start_fingerprint(&self) -> FileFingerprint {
        self.found
    }

    /// The clocks at the start of this process.
    pub fn clocks(&self) -> Option<ClockReading> {
        self.clocks
    }

    /// Number of damaged byte ranges that the start quarantined in the folder's file `damaged`.
    pub fn damaged(&self) -> usize {
        self.damaged
    }

    /// Whether records may be missing. A kill hardly ever splits a write, so a partial last record may also
    /// mean that the file was truncated there, and the lost part may have recorded that an attempt was begun.
    pub fn may_lack_records(&self) -> bool {
        self.damaged > 0 || self.truncated
    }

    /// Index of the file that this process holds, from 0.
    pub fn file_index(&self) -> usize {
        self.slot
    }

    /// The highest message number in the folder's other file, even while a sibling process writes it; 0 if
    /// there is none.
    pub fn highest_sibling_number(&self) -> MessageNo {
        let folder = self.path.parent().unwrap_or(Path::new("."));
        let others = (0..SLOTS.len()).filter(|s| *s != self.slot);
        let records =
            others.filter_map(|s| std::fs::read(folder.join(SLOTS[s])).ok()).flat_map(|b| scan(&b).records);
        highest_message_no(&records.collect::<Vec<_>>())
    }

    /// Checks the folder's other file: held by a running process, left with records by an ended one, or
    /// neither.
    ///
    /// # Errors
    ///
    /// The other file or its lock cannot be opened or read.
    pub fn check_sibling_file(&self) -> io::Result<SiblingFile> {
        let folder = self.path.parent().unwrap_or(Path::new("."));
        let mut found = SiblingFile::Unused;
        for slot in (0..SLOTS.len()).filter(|s| *s != self.slot) {
            let Some(lock) = lock(folder, slot)? else {
                found = SiblingFile::InUse;
                continue;
            };
            let path = folder.join(SLOTS[slot]);
            // The records that are taken over from the file may need its space.
            let _ = std::fs::remove_file(reserve_path(&path));
            let bytes = match std::fs::read(&path) {
                Ok(bytes) => bytes,
                Err(e) if e.kind() == io::ErrorKind::NotFound => continue,
                Err(e) => return Err(e),
            };
            let Scan { records, damaged, valid_len } = scan(&bytes);
            if !records.is_empty() || !damaged.is_empty() {
                if !damaged.is_empty() {
                    quarantine(folder, SLOTS[slot], &bytes, &damaged);
                }
                let truncated = was_truncated(&lock, valid_len, bytes.len());
                let damaged = damaged.len() + usize::from(truncated);
                let records = on_timeline(records, self.clocks.as_ref());
                let mark = FileFingerprint::of(&bytes);
                return Ok(SiblingFile::Orphaned(OrphanedJournal {
                    path,
                    _lock: lock,
                    records,
                    damaged,
                    fingerprint: mark,
                }));
            }
        }
        Ok(found)
    }

    /// What a sibling process has written to the other file since the last call. It binds this process too: for
    /// clients and endpoints the two are one dispatcher.
    ///
    /// # Errors
    ///
    /// The file exists and cannot be read; the next call returns the same records.
    pub fn read_sibling_records(&mut self) -> io::Result<SiblingRecords> {
        let Some(path) = self.sibling_path() else { return Ok(SiblingRecords::default()) };
        let found = self.sibling_tail.read_new_records(&path)?;
        let records = on_timeline(found.records, self.clocks.as_ref());
        Ok(SiblingRecords { records, ..found })
    }

    /// Reads the other file from its start the next time: it was emptied, and another process may write it.
    pub fn restart_sibling_records(&mut self) {
        self.sibling_tail = SiblingTail::default();
    }

    /// The other file, if [`Journal::check_sibling_file`] finds that an ended process left it.
    ///
    /// # Errors
    ///
    /// See [`Journal::check_sibling_file`].
    pub fn orphaned_journal(&self) -> io::Result<Option<OrphanedJournal>> {
        Ok(match self.check_sibling_file()? {
            SiblingFile::Orphaned(orphan) => Some(orphan),
            _ => None,
        })
    }

    /// Writes the deferred records.
    ///
    /// # Errors
    ///
    /// The write failed; the file is unchanged and the records stay deferred.
    pub fn flush_deferred(&mut self) -> io::Result<()> {
        if !self.deferred.is_empty() {
            let deferred = std::mem::take(&mut self.deferred);
            if let Err(e) = self.write(&deferred) {
                self.deferred = deferred;
                return Err(e);
            }
        }
        Ok(())
    }

    /// Defers records: they are written before any record appended from now on, as soon as the file accepts
    /// them.
    pub fn defer<'a>(&mut self, records: impl Iterator<Item = &'a Record>) {
        records.for_each(|r| self.deferred.extend(r.encode()));
    }

    /// Whether any record is deferred.
    pub fn has_deferred(&self) -> bool {
        !self.deferred.is_empty()
    }

    /// Defers a record that the file did not accept, unless too many bytes are deferred already. A restart
    /// can do without the record, at a cost.
    pub fn defer_bounded(&mut self, record: &Record) {
        if self.deferred.len() < MAX_DEFERRED_BYTES {
            self.defer(std::iter::once(record));
        }
    }

    /// Appends a record; a failed append leaves the file unchanged.
    pub fn append(&mut self, record: &Record) -> io::Result<()> {
        self.flush_deferred()?;
        let before = self.size;
        self.write(&record.encode())?;
        if matches!(record, Record::Attempts { in_progress: Some(_), .. }) {
            // If the recorded length lagged behind, a truncation that removes this record would not be
            // detected.
            if let Err(e) = write_length_mark(&self._lock, self.size) {
                self.torn = self.file.set_len(before).is_err();
                self.size = before;
                return Err(e);
            }
        }
        Ok(())
    }

    /// Writes encoded records; on a full disk with the headroom of the reserve.
    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        match self.write_at_end(bytes) {
            Err(e) if is_disk_full(&e) && self.reserve.shrink(self.reserved_for) => self.write_at_end(bytes),
            done => done,
        }
    }

    fn write_at_end(&mut self, bytes: &[u8]) -> io::Result<()> {
        // A partial record left in place would make the following records unreadable.
        if self.torn {
            self.file.set_len(self.size)?;
        }
        if let Err(e) = self.file.write_all(bytes) {
            self.torn = self.file.set_len(self.size).is_err();
            self.out_of_space = is_out_of_space(&e);
            return Err(e);
        }
        (self.torn, self.out_of_space) = (false, false);
        self.size += bytes.len() as u64;
        Ok(())
    }

    /// Sets whether a sibling process has a file of its own in the folder, as during an upgrade.
    pub fn set_shared(&mut self, shared: bool) {
        self.shared = shared;
        self.limit_reserve();
    }

    /// Path of the folder's other journal file.
    fn sibling_path(&self) -> Option<PathBuf> {
        let folder = self.path.parent().unwrap_or(Path::new("."));
        let other = (0..SLOTS.len()).find(|slot| *slot != self.slot)?;
        Some(folder.join(SLOTS[other]))
    }

    /// Whether the last write failed because the disk is full or the file may not grow.
    pub fn is_out_of_space(&self) -> bool {
        self.out_of_space
    }

    /// Whether `live` bytes of live records still fit beside `identities` bytes of identities. Also false if the
    /// file itself has grown too large because it could not be compacted.
    ///
    /// Identities from the time before a sibling process may fill more than their share; live records then get
    /// less, so that a compaction ends below the threshold of the next one.
    pub fn has_room_for_live_records(&self, live: u64, identities: u64) -> bool {
        let fits = |bytes: u64, share: f64| (bytes as f64) < self.own_limit() * share;
        let both_fit = fits(live + identities, LIVE_RECORDS_SHARE + IDENTITIES_SHARE);
        fits(live, LIVE_RECORDS_SHARE) && (!self.shared || both_fit) && fits(self.size, MAX_FILE_SHARE)
    }

    /// Bytes that live records may fill if no sibling process shares the folder.
    pub fn live_records_limit(&self) -> u64 {
        (self.limit as f64 * LIVE_RECORDS_SHARE) as u64
    }

    /// Whether `known` bytes of identities still fit.
    pub fn has_room_for_identities(&self, known: u64) -> bool {
        (known as f64) < self.limit as f64 * IDENTITIES_SHARE
    }

    /// Whether the file should be compacted: it has grown past the threshold, or its last write ran out of
    /// space.
    pub fn needs_compaction(&self) -> bool {
        self.out_of_space || self.size as f64 > self.own_limit() * COMPACTION_SHARE
    }

    /// Bytes of the folder that this process's files may fill.
    fn own_limit(&self) -> f64 {
        self.limit as f64 * if self.shared { SIBLING_SHARE } else { 1.0 }
    }

    /// Replaces the file by one that holds only these records.
    pub fn compact(&mut self, records: impl Iterator<Item = Record>) -> io::Result<()> {
        let (file, size) = self.write_compacted(records)?;
        std::fs::rename(self.reserve.path(), &self.path)?;
        self.reserve.renamed();
        (self.file, self.size) = (file, size);
        (self.torn, self.out_of_space) = (false, false);
        // The deferred records describe state that is still held, so the compacted records include them.
        self.deferred.clear();
        let marked = write_length_mark(&self._lock, self.size);
        self.renew_reserve();
        marked
    }

    /// Writes the file that is to be renamed over the journal, and resets the recorded length before the
    /// rename. Otherwise a kill between the rename and the new length mark would make the shorter file look
    /// truncated, and every held message would count as possibly executed. A truncation goes undetected until
    /// the next length mark.
    fn write_compacted(&mut self, records: impl Iterator<Item = Record>) -> io::Result<(File, u64)> {
        let mut bytes = Vec::new();
        let clocks = self.clocks.map(Record::ClockReading);
        clocks.into_iter().chain(records).for_each(|r| bytes.extend(r.encode()));
        let file = self.reserve.overwrite(&bytes)?;
        write_length_mark(&self._lock, 0)?;
        Ok((file, bytes.len() as u64))
    }

    /// Size of the file in bytes.
    pub fn size(&self) -> u64 {
        self.size
    }
}

#[cfg(test)]
mod tests;
