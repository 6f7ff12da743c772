//! Classifies the state folder at a start: first start, next incarnation, or a folder that is lost or
//! damaged. No I/O and no clock.
//!
//! Each start writes a life record next to the journal: the number of this incarnation, an epoch drawn at
//! random at the first start, the wall-clock time of that first start, the latest starts and a checksum. A
//! valid record shows that this is a restart. If other files exist without the record, the folder has lost
//! it. An empty folder may be a first start or may have been wiped; these two cases cannot be told apart and
//! are reported as such.

use crate::api::Ms;
use crate::timeline::ClockReading;

/// The life record of a state folder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct IncarnationRecord {
    /// Number of this incarnation, from 1.
    pub incarnation: u64,
    /// Drawn at the first start in the folder; the same for all its incarnations.
    pub epoch: u64,
    /// Time of the first start, in wall-clock milliseconds.
    pub first_start_ms: u64,
    /// Times of the latest starts without a clean end, oldest first, in wall-clock milliseconds on the
    /// timeline of this incarnation.
    pub starts: RecentStarts,
    /// Id of the machine's boot in which this incarnation began, and milliseconds since that boot; `None` in
    /// records of program versions that did not write it.
    pub started_at_boot: Option<(u64, u64)>,
}

/// Times of the latest starts; 0 for a missing one.
pub type RecentStarts = [u64; CRASH_LOOP_STARTS];

/// Number of starts without a clean end that make a crash loop if they fall into `CRASH_LOOP_SPAN_MS`.
const CRASH_LOOP_STARTS: usize = 5;
/// Longest time from the first to the last start of a crash loop.
const CRASH_LOOP_SPAN_MS: u64 = 30_000;

/// What a start found in its state folder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FolderContents {
    /// The life record: `None` if there is no file, `Some(None)` if it is malformed or its checksum does not
    /// match.
    pub record: Option<Option<IncarnationRecord>>,
    /// Whether the folder held other files of the dispatcher (journal, locks, operator blocks).
    pub has_other_files: bool,
    /// Damage found in the journal; 0 if there is none.
    pub damaged: usize,
}

/// Classification of a state folder at a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FolderState {
    /// The folder was empty: a first start, or a wiped folder. The folder alone does not tell which.
    FirstOrWiped,
    /// The folder is intact, and this is its next incarnation.
    NextIncarnation(IncarnationRecord),
    /// The folder had files but no life record: part of it is lost.
    Lost,
    /// The life record or the journal is damaged.
    Damaged,
}

impl FolderState {
    /// Name of the classification in `vars` and in the log.
    pub fn name(self) -> &'static str {
        match self {
            FolderState::FirstOrWiped => "first-or-wiped",
            FolderState::NextIncarnation(_) => "again",
            FolderState::Lost => "lost",
            FolderState::Damaged => "damaged",
        }
    }

    /// Whether the folder may lack records of what an earlier incarnation sent.
    pub fn may_lack_records(self) -> bool {
        matches!(self, FolderState::Lost | FolderState::Damaged)
    }
}

/// Classifies the folder by what was found in it.
pub fn classify_folder(found: &FolderContents) -> FolderState {
    match found.record {
        Some(Some(r)) if found.damaged == 0 => FolderState::NextIncarnation(r),
        Some(_) => FolderState::Damaged,
        None if found.has_other_files => FolderState::Lost,
        None if found.damaged > 0 => FolderState::Damaged,
        None => FolderState::FirstOrWiped,
    }
}

/// The life record for a start with the clock reading `clocks`: the next incarnation, or a first one with the
/// epoch `draw`.
pub fn next_record(life: FolderState, draw: u64, clocks: &ClockReading) -> IncarnationRecord {
    let now = clocks.wall.max(0.0) as u64;
    let began = Some((clocks.boot, clocks.since_boot.max(0.0) as u64));
    let mut next = match life {
        FolderState::NextIncarnation(r) => IncarnationRecord {
            incarnation: r.incarnation.saturating_add(1),
            starts: r.translate_starts(clocks),
            started_at_boot: began,
            ..r
        },
        // Earlier incarnations are unknown. The new epoch prevents their data from being taken for that of
        // this one.
        _ => IncarnationRecord {
            incarnation: 1,
            epoch: draw,
            first_start_ms: now,
            starts: RecentStarts::default(),
            started_at_boot: began,
        },
    };
    next.starts.rotate_left(1);
    next.starts[CRASH_LOOP_STARTS - 1] = now;
    next
}

/// Decides whether an endpoint list is accepted by its revision. A registry restored to an earlier state
/// publishes old lists; they are rejected for a limited time and then accepted, because the registry may also
/// have started over.
#[derive(Debug, Clone, Copy, Default)]
pub struct RevisionCheck {
    current: u64,
    reject_for: Ms,
    /// When the first older list since the last accepted one was rejected.
    older_since: Option<Ms>,
    /// Number of lists rejected.
    pub rejected: u64,
}

impl RevisionCheck {
    /// Starts at the revision `current`; older revisions are rejected for the time `reject_for`, or never if
    /// it is 0.
    pub fn new(current: u64, reject_for: Ms) -> RevisionCheck {
        RevisionCheck { current, reject_for, older_since: None, rejected: 0 }
    }

    /// Whether a list of revision `rev` is accepted; 0 means that the list has no revision. An accepted
    /// revision becomes the current one. A list without one is accepted, and says nothing of other lists.
    pub fn accept(&mut self, now: Ms, rev: u64) -> bool {
        if rev == 0 {
            return true;
        }
        let older = rev < self.current && self.reject_for > 0.0;
        if older && now - *self.older_since.get_or_insert(now) < self.reject_for {
            self.rejected += 1;
            return false;
        }
        (self.current, self.older_since) = (rev, None);
        true
    }

    /// Forgets the current revision after a switch to another registry, whose revisions are not comparable.
    pub fn reset(&mut self) {
        (self.current, self.older_since) = (0, None);
    }
}

/// Size of the range of message numbers that each incarnation has to itself.
const NUMBERS_PER_LIFE: u64 = 1 << 32;

/// The first message number of an incarnation. It is above all numbers of earlier incarnations of the folder,
/// so that numbers give the order of acceptance across all its processes, also during an upgrade with two of
/// them. `seen` is the highest number in the folder's journals, 0 if there is none; it counts where the life
/// record was lost and `life` started over.
pub fn first_message_no(life: u64, seen: u64) -> u64 {
    let after = if seen == 0 { 0 } else { seen / NUMBERS_PER_LIFE + 1 };
    // At most half the range, so that no record, however wrong, causes an overflow.
    life.max(after).min(NUMBERS_PER_LIFE / 2) * NUMBERS_PER_LIFE
}

impl IncarnationRecord {
    /// The start times translated to the timeline of `clocks`, since the wall clock may have been stepped in
    /// between.
    fn translate_starts(&self, clocks: &ClockReading) -> RecentStarts {
        let Some((boot, since_boot)) = self.started_at_boot else { return self.starts };
        let wall = self.starts[CRASH_LOOP_STARTS - 1] as Ms;
        let from = ClockReading { boot, since_boot: since_boot as Ms, wall };
        // 0 stands for a missing start, as after a clean end, and stays 0.
        let moved = |at: u64| if at == 0 { 0 } else { clocks.translate(&from, at as Ms).max(1.0) as u64 };
        self.starts.map(moved)
    }

    /// Encodes the record as one line of text with a checksum.
    pub fn encode(&self) -> String {
        let starts: Vec<String> = self.starts.iter().map(u64::to_string).collect();
        let (life, epoch, first) = (self.incarnation, self.epoch, self.first_start_ms);
        let began =
            self.started_at_boot.map_or(String::new(), |(boot, ms)| format!(" boot {boot:016x} at {ms}"));
        let body = format!("life {life} epoch {epoch:016x} first {first} starts {}{began}", starts.join(","));
        format!("{body} crc {:08x}\n", crc32fast::hash(body.as_bytes()))
    }

    /// Decodes the line written by [`IncarnationRecord::encode`]; `None` if it is malformed or its checksum does not
    /// match.
    pub fn decode(text: &str) -> Option<IncarnationRecord> {
        let (body, sum) = text.trim_end().rsplit_once(" crc ")?;
        (u32::from_str_radix(sum, 16).ok()? == crc32fast::hash(body.as_bytes())).then_some(())?;
        let words: Vec<&str> = body.split(' ').collect();
        let ["life", life, "epoch", epoch, "first", first, "starts", starts, began @ ..] = words.as_slice()
        else {
            return None;
        };
        let began = match began {
            [] => None,
            ["boot", boot, "at", ms] => Some((u64::from_str_radix(boot, 16).ok()?, ms.parse().ok()?)),
            _ => return None,
        };
        let starts: Vec<u64> = starts.split(',').map(|s| s.parse().ok()).collect::<Option<_>>()?;
        Some(IncarnationRecord {
            incarnation: life.parse().ok()?,
            epoch: u64::from_str_radix(epoch, 16).ok()?,
            first_start_ms: first.parse().ok()?,
            starts: starts.try_into().ok()?,
            started_at_boot: began,
        })
    }

    /// Whether the folder's process is in a crash loop.
    pub fn is_crash_loop(&self) -> bool {
        let (first, last) = (self.starts[0], self.starts[CRASH_LOOP_STARTS - 1]);
        first > 0 && last >= first && last - first <= CRASH_LOOP_SPAN_MS
    }

    /// The record after a clean end, whose starts do not count as crashes.
    pub fn after_clean_end(self) -> IncarnationRecord {
        IncarnationRecord { starts: RecentStarts::default(), ..self }
    }
}

#[cfg(test)]
mod tests;
