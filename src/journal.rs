//! The lasting folder: one file of checksummed records, which a restart replays.
//!
//! A record is its length, its checksum and its body. What a process wrote outlasts it, also when it is killed, so
//! nothing is synced. A torn tail is cut off. When the file has grown, the records that still matter are written to
//! a second file, which then takes the first one's name; both together stay within the folder's limit.

mod record;
mod scan;
mod slot;

use crate::timeline::{self, Reading};
pub use record::{CallNo, Ending, FileMark, Identity, Record, Sent, Taken};
pub use scan::{highest, unsure};
use scan::{scan, set_aside, Scan};
use slot::{lock, was_cut, write_mark, SLOTS};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::{Path, PathBuf};

/// Share of the limit that live records may fill before nothing more is taken in,
const LIVE_SHARE: f64 = 0.36;
/// that identities of calls that are over may fill before the oldest are forgotten,
const KNOWN_SHARE: f64 = 0.08;
/// and that the file may fill before it is compacted. Both copies together stay under the limit.
const FILE_SHARE: f64 = 0.48;
/// Bytes of records deferred by `defer_bounded` at most.
const DEFERRED_MOST: usize = 256 << 10;
/// A file that cannot be compacted takes no new call beyond this: it and the fresh one that takes its place at last stay under the
/// limit together. What is held still ends in it.
const GROWN_SHARE: f64 = 0.5;
/// Part of the folder's room that each of two processes keeps to.
const SHARED_PART: f64 = 0.5;

/// Times that a start looks for a free file before it gives up.
const LOCK_ROUNDS: u32 = 8;

/// The open journal.
#[derive(Debug)]
pub struct Journal {
    path: PathBuf,
    file: File,
    size: u64,
    limit: u64,
    /// Another process has a file of its own in the folder.
    shared: bool,
    /// Half a record stands behind the last whole one.
    torn: bool,
    /// The file took no more the last time, as its disk is full or it may not be larger.
    takes_no_more: bool,
    /// Held for as long as this process lives; the system lets it go at any end, a kill too.
    _lock: File,
    /// Which of the folder's files is this one's.
    slot: usize,
    /// Damaged stretches that its start found between good records and set aside.
    damaged: usize,
    /// Its start found the last record cut short.
    cut: bool,
    /// The file as the start found it.
    found: FileMark,
    /// The clocks at the start of this process; none for those who only look at a folder.
    clocks: Option<Reading>,
    /// Records that the file must hold before any other: it took none when they were to be written.
    deferred: Vec<u8>,
    /// How far the other file has been read for news, while the process that writes it lives.
    other_read: Tail,
}

/// How far a file that another process writes has been read.
#[derive(Debug, Default)]
struct Tail {
    /// Which file it is: a compaction puts another one in its place.
    inode: u64,
    read: u64,
    /// The reading of the clocks before the records that come next.
    clocks: Option<Reading>,
}

impl Tail {
    /// The records behind those of the last look, with the reading of the clocks before them.
    fn news(&mut self, path: &Path) -> io::Result<Vec<Record>> {
        let file = File::open(path)?;
        let about = file.metadata()?;
        if about.ino() != self.inode || about.len() < self.read {
            *self = Tail { inode: about.ino(), ..Tail::default() };
        }
        let mut bytes = vec![0; (about.len() - self.read) as usize];
        file.read_exact_at(&mut bytes, self.read)?;
        let found = scan(&bytes);
        self.read += found.good as u64;
        let mut records: Vec<Record> = self.clocks.map(Record::Clock).into_iter().collect();
        records.extend(found.records);
        let clocks =
            records.iter().rev().find_map(|r| if let Record::Clock(c) = r { Some(*c) } else { None });
        self.clocks = clocks.or(self.clocks);
        Ok(records)
    }
}

/// The file of a process that has ended, taken over by this one: its records, and its lock until it is emptied.
#[derive(Debug)]
pub struct Orphan {
    path: PathBuf,
    _lock: File,
    /// What it held.
    pub records: Vec<Record>,
    /// Damaged stretches among them, passed over, and a last record cut short.
    pub damaged: usize,
    /// By which the file is known again, if it could not be emptied.
    pub mark: FileMark,
}

impl Orphan {
    /// Empties the file once its records are written elsewhere, and lets it go for the next process.
    ///
    /// # Errors
    ///
    /// The file cannot be emptied; its records stay, and are to be passed over by their mark.
    pub fn clear(self) -> io::Result<()> {
        self.empty()
    }

    /// The same, and the file is still held by this process: if it cannot be emptied now, later perhaps.
    ///
    /// # Errors
    ///
    /// See [`Orphan::clear`].
    pub fn empty(&self) -> io::Result<()> {
        write_mark(&self._lock, 0)?;
        OpenOptions::new().write(true).open(&self.path)?.set_len(0)
    }
}

/// The other file of a folder, as [`Journal::other`] finds it.
#[derive(Debug)]
pub enum Other {
    /// Nobody holds it, and it holds nothing.
    Free,
    /// A process that lives holds it: two serve on the folder, during an upgrade.
    Lives,
    /// A process that has ended left records in it.
    Left(Orphan),
}

/// Does the error say that a file cannot grow now?
fn is_out_of_room(error: &io::Error) -> bool {
    use io::ErrorKind::{FileTooLarge, QuotaExceeded, StorageFull};
    matches!(error.kind(), StorageFull | QuotaExceeded | FileTooLarge)
}

/// Records of a file on the timeline of the process that reads them, if it has one.
fn on_timeline(records: Vec<Record>, clocks: Option<&Reading>) -> Vec<Record> {
    match clocks {
        Some(clocks) => timeline::translated(records, clocks),
        None => records,
    }
}

/// The file where a compaction writes before it takes the journal's name.
fn fresh(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".new");
    PathBuf::from(name)
}

impl Journal {
    /// Opens the folder's journal and reads what it holds; creates what is missing.
    ///
    /// Two processes may serve on one folder, each with a file of its own: this one takes the first file that no living
    /// process holds. What the other file holds once its process has ended is taken over by [`Journal::orphan`].
    ///
    /// # Errors
    ///
    /// The folder or a file cannot be made or read, or both files are held by processes that live.
    pub fn open(folder: &Path, limit: u64) -> io::Result<(Journal, Vec<Record>)> {
        Journal::open_at(folder, limit, None)
    }

    /// The same for a process that started with this reading of the clocks: all times are on its timeline, those read and
    /// those that it writes.
    ///
    /// # Errors
    ///
    /// See [`Journal::open`].
    pub fn open_at(folder: &Path, limit: u64, clocks: Option<Reading>) -> io::Result<(Journal, Vec<Record>)> {
        crate::disk::make_folder(folder)?;
        let mut held = None;
        // The other process looks at a file's lock now and then, and holds it for that instant.
        for round in 0..LOCK_ROUNDS {
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
        // A compaction that was cut short left this; the journal itself is still whole.
        let _ = std::fs::remove_file(fresh(&path));
        let mut file = OpenOptions::new().read(true).append(true).create(true).open(&path)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let Scan { records, good, damaged } = scan(&bytes);
        let records = on_timeline(records, clocks.as_ref());
        if good < bytes.len() {
            log::warn!("the journal's tail of {} bytes is torn and cut off", bytes.len() - good);
            file.set_len(good as u64)?;
        }
        let cut = was_cut(&lock, good, bytes.len());
        if cut {
            // Said once: the next start finds a whole file, if a shorter one.
            write_mark(&lock, good as u64)?;
        }
        let mut journal = Journal {
            path,
            file,
            size: good as u64,
            limit,
            shared: false,
            torn: false,
            takes_no_more: false,
            slot,
            damaged: damaged.len(),
            cut,
            found: FileMark::of(&bytes),
            clocks,
            deferred: clocks.map_or_else(Vec::new, |c| Record::Clock(c).encode()),
            other_read: Tail::default(),
            _lock: lock,
        };
        // From here on there is a length to go by.
        if let Err(e) = journal.flush_deferred().and_then(|()| write_mark(&journal._lock, journal.size)) {
            log::warn!(cause:% = e; "the journal takes no record yet: {e}");
        }
        if !damaged.is_empty() {
            let bytes = set_aside(folder, SLOTS[slot], &bytes, &damaged);
            log::warn!(
                records = damaged.len(), bytes = bytes, kept = records.len();
                "the journal holds {} damaged stretches of {bytes} bytes between good records; they are set aside in \
                 the folder's file damaged and the good ones are written anew",
                damaged.len()
            );
            journal.compact(records.iter().cloned())?;
        }
        Ok((journal, records))
    }

    /// The file as the start found it.
    pub fn found(&self) -> FileMark {
        self.found
    }

    /// The clocks at the start of this process.
    pub fn clocks(&self) -> Option<Reading> {
        self.clocks
    }

    /// Damaged stretches that the start found between good records and set aside in the folder's file `damaged`.
    pub fn damaged(&self) -> usize {
        self.damaged
    }

    /// May records be missing? A kill divides hardly any write: a record that is cut short may as well be where something cut
    /// the file off, and a mark that an attempt went out may have stood behind it.
    pub fn may_lack_records(&self) -> bool {
        self.damaged > 0 || self.cut
    }

    /// Which of the folder's files this process holds, from 0.
    pub fn slot(&self) -> usize {
        self.slot
    }

    /// The highest call number in the folder's other file, also while a process that lives writes it; 0 for none.
    pub fn other_numbers(&self) -> CallNo {
        let folder = self.path.parent().unwrap_or(Path::new("."));
        let others = (0..SLOTS.len()).filter(|s| *s != self.slot);
        let records =
            others.filter_map(|s| std::fs::read(folder.join(SLOTS[s])).ok()).flat_map(|b| scan(&b).records);
        highest(&records.collect::<Vec<_>>())
    }

    /// The other file of the folder: held by a process that lives, left with records by one that has ended, or neither.
    ///
    /// # Errors
    ///
    /// Its lock or its file cannot be opened or read.
    pub fn other(&self) -> io::Result<Other> {
        let folder = self.path.parent().unwrap_or(Path::new("."));
        let mut found = Other::Free;
        for slot in (0..SLOTS.len()).filter(|s| *s != self.slot) {
            let Some(lock) = lock(folder, slot)? else {
                found = Other::Lives;
                continue;
            };
            let path = folder.join(SLOTS[slot]);
            let bytes = match std::fs::read(&path) {
                Ok(bytes) => bytes,
                Err(e) if e.kind() == io::ErrorKind::NotFound => continue,
                Err(e) => return Err(e),
            };
            let Scan { records, damaged, good } = scan(&bytes);
            if !records.is_empty() || !damaged.is_empty() {
                if !damaged.is_empty() {
                    set_aside(folder, SLOTS[slot], &bytes, &damaged);
                }
                let cut = was_cut(&lock, good, bytes.len());
                let damaged = damaged.len() + usize::from(cut);
                let records = on_timeline(records, self.clocks.as_ref());
                let mark = FileMark::of(&bytes);
                return Ok(Other::Left(Orphan { path, _lock: lock, records, damaged, mark }));
            }
        }
        Ok(found)
    }

    /// Waits that were written to the folder's other file since the last look: the process that writes it lives, and what
    /// endpoints told it was told to this one, too.
    pub fn other_waits(&mut self) -> Vec<Record> {
        let folder = self.path.parent().unwrap_or(Path::new("."));
        let Some(other) = (0..SLOTS.len()).find(|s| *s != self.slot) else { return Vec::new() };
        let news = self.other_read.news(&folder.join(SLOTS[other])).unwrap_or_default();
        let waits = on_timeline(news, self.clocks.as_ref()).into_iter();
        waits.filter(|r| matches!(r, Record::Wait { .. })).collect()
    }

    /// What [`Journal::other`] finds, if it is left by a process that has ended.
    ///
    /// # Errors
    ///
    /// As there.
    pub fn orphan(&self) -> io::Result<Option<Orphan>> {
        Ok(match self.other()? {
            Other::Left(orphan) => Some(orphan),
            _ => None,
        })
    }

    /// Writes what is deferred.
    ///
    /// # Errors
    ///
    /// The file takes nothing now; it is as it was before.
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

    /// Records that must stand in the file before any that is written from now on, whether it takes them now or later.
    pub fn defer<'a>(&mut self, records: impl Iterator<Item = &'a Record>) {
        records.for_each(|r| self.deferred.extend(r.encode()));
    }

    /// Is anything deferred?
    pub fn has_deferred(&self) -> bool {
        !self.deferred.is_empty()
    }

    /// Defers a record that the file did not take, unless too much is deferred already: a restart can do without it, at a price.
    pub fn defer_bounded(&mut self, record: &Record) {
        if self.deferred.len() < DEFERRED_MOST {
            self.defer(std::iter::once(record));
        }
    }

    /// Writes a record; after a failure the file is as it was before.
    pub fn append(&mut self, record: &Record) -> io::Result<()> {
        self.flush_deferred()?;
        let before = self.size;
        self.write(&record.encode())?;
        if matches!(record, Record::State { out: Some(_), .. }) {
            // Beside a mark that stays behind, a cut that takes this record would not be seen.
            if let Err(e) = write_mark(&self._lock, self.size) {
                self.torn = self.file.set_len(before).is_err();
                self.size = before;
                return Err(e);
            }
        }
        Ok(())
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        // Half a record would hide all that follow it.
        if self.torn {
            self.file.set_len(self.size)?;
        }
        if let Err(e) = self.file.write_all(bytes) {
            self.torn = self.file.set_len(self.size).is_err();
            self.takes_no_more = is_out_of_room(&e);
            return Err(e);
        }
        (self.torn, self.takes_no_more) = (false, false);
        self.size += bytes.len() as u64;
        Ok(())
    }

    /// Does another process have a file of its own in the folder, during an upgrade?
    pub fn share(&mut self, shared: bool) {
        self.shared = shared;
    }

    /// Would live records of so many bytes still fit? Not in a file that has grown because it could not be compacted.
    pub fn has_room(&self, live: u64) -> bool {
        let fits = |bytes: u64, share: f64| (bytes as f64) < self.own_room() * share;
        fits(live, LIVE_SHARE) && fits(self.size, GROWN_SHARE)
    }

    /// Bytes that live records may fill.
    pub fn room(&self) -> u64 {
        (self.limit as f64 * LIVE_SHARE) as u64
    }

    /// Would identities of so many bytes still fit?
    pub fn has_memory(&self, known: u64) -> bool {
        (known as f64) < self.limit as f64 * KNOWN_SHARE
    }

    /// The file has grown so far that it should be compacted, or takes no more as it is.
    pub fn is_full(&self) -> bool {
        self.takes_no_more || self.size as f64 > self.own_room() * FILE_SHARE
    }

    /// Bytes of the folder that this process's files may fill.
    fn own_room(&self) -> f64 {
        self.limit as f64 * if self.shared { SHARED_PART } else { 1.0 }
    }

    /// Replaces the file by one with these records only.
    pub fn compact(&mut self, records: impl Iterator<Item = Record>) -> io::Result<()> {
        let new = fresh(&self.path);
        let written = self.write_fresh(records);
        let done = written.and_then(|whole| std::fs::rename(&new, &self.path).map(|()| whole));
        if done.is_err() {
            let _ = std::fs::remove_file(&new);
        }
        let (file, size) = done?;
        (self.file, self.size) = (file, size);
        (self.torn, self.takes_no_more) = (false, false);
        // All that was deferred is held, and was among the records.
        self.deferred.clear();
        write_mark(&self._lock, self.size)
    }

    /// Writes the file that is to take the journal's name. Guards against a kill between the new name and the new mark: beside
    /// the old mark the shorter file would look cut off, and all that is held would count as may have run. So the mark goes
    /// first; until the next one is written a cut is not seen.
    fn write_fresh(&self, records: impl Iterator<Item = Record>) -> io::Result<(File, u64)> {
        let new = fresh(&self.path);
        let mut bytes = Vec::new();
        let clocks = self.clocks.map(Record::Clock);
        clocks.into_iter().chain(records).for_each(|r| bytes.extend(r.encode()));
        let _ = std::fs::remove_file(&new);
        let mut file = OpenOptions::new().append(true).create_new(true).open(&new)?;
        file.write_all(&bytes)?;
        write_mark(&self._lock, 0)?;
        Ok((file, bytes.len() as u64))
    }

    /// Bytes in the file.
    pub fn size(&self) -> u64 {
        self.size
    }
}

#[cfg(test)]
mod tests;
