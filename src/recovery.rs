//! What a start makes of its folder: a first start, one more life, or a folder lost or damaged; no I/O, no clock.
//!
//! Beside the journal each start writes its life record: the number of this life, an epoch drawn at the first start,
//! the wall-clock time of that first start and a checksum. A start that finds the record tells a restart from the rest;
//! one that finds other files but no record knows the folder lost it; one that finds nothing at all cannot tell a first
//! start from a folder wiped whole, and says so.

use crate::api::Ms;
use crate::timeline::Reading;

/// The record of a folder's lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LifeRecord {
    /// This life, from 1.
    pub life: u64,
    /// Drawn at the first start of the folder; stays for all its lives.
    pub epoch: u64,
    /// Wall-clock milliseconds of the first start.
    pub first_ms: u64,
    /// Wall-clock milliseconds of the last starts that no clean end followed, oldest first, on the timeline of this life.
    pub starts: Starts,
    /// Which boot of the machine this life began in, and milliseconds since that boot; none in records of earlier programs.
    pub began: Option<(u64, u64)>,
}

/// Times of the last starts; 0 where there was none.
pub type Starts = [u64; CRASHES];

/// So many starts without a clean end
const CRASHES: usize = 5;
/// within this span are a crash loop.
const CRASH_SPAN: u64 = 30_000;

/// What a start found in its folder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Found {
    /// The life record: None where there is no file, `Some(None)` where it does not read or its checksum is wrong.
    pub record: Option<Option<LifeRecord>>,
    /// Other files of the dispatcher's were in the folder (journal, locks, bans).
    pub others: bool,
    /// Damaged stretches that the journal's reading set aside.
    pub damaged: usize,
}

/// The judgement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Life {
    /// Nothing was there: a first start, or a folder wiped whole; nobody can tell which from the folder alone.
    FirstOrWiped,
    /// The folder is whole: this is its next life.
    Again(LifeRecord),
    /// The folder had files but not its life record: part of it is lost.
    Lost,
    /// The life record or the journal was damaged.
    Damaged,
}

impl Life {
    /// The word of `vars` and the log.
    pub fn name(self) -> &'static str {
        match self {
            Life::FirstOrWiped => "first-or-wiped",
            Life::Again(_) => "again",
            Life::Lost => "lost",
            Life::Damaged => "damaged",
        }
    }

    /// Whether the folder cannot vouch for what its earlier life sent.
    pub fn unsure(self) -> bool {
        matches!(self, Life::Lost | Life::Damaged)
    }
}

/// Judges what was found.
pub fn judge(found: &Found) -> Life {
    match found.record {
        Some(Some(r)) if found.damaged == 0 => Life::Again(r),
        Some(_) => Life::Damaged,
        None if found.others => Life::Lost,
        None if found.damaged > 0 => Life::Damaged,
        None => Life::FirstOrWiped,
    }
}

/// The record to write for the start with this reading of the clocks: the next life, or a first one with an epoch from `draw`.
pub fn next(life: Life, draw: u64, clocks: &Reading) -> LifeRecord {
    let now = clocks.wall.max(0.0) as u64;
    let began = Some((clocks.boot, clocks.since_boot.max(0.0) as u64));
    let mut next = match life {
        Life::Again(r) => {
            LifeRecord { life: r.life.saturating_add(1), starts: r.starts_on(clocks), began, ..r }
        }
        // The folder's earlier lives are not known: a new epoch, so that nothing of them is taken for this one's.
        _ => LifeRecord { life: 1, epoch: draw, first_ms: now, starts: Starts::default(), began },
    };
    next.starts.rotate_left(1);
    next.starts[CRASHES - 1] = now;
    next
}

/// What a list's revision may be, beside the one that is held. A registry that was set back tells old lists: they are
/// refused for a while, and then believed, for a registry may also have begun anew.
#[derive(Debug, Clone, Copy, Default)]
pub struct Revisions {
    held: u64,
    refuse_for: Ms,
    since: Option<Ms>,
    /// Lists that were refused.
    pub refused: u64,
}

impl Revisions {
    /// With this revision held; older ones are refused for so long, 0: never.
    pub fn new(held: u64, refuse_for: Ms) -> Revisions {
        Revisions { held, refuse_for, since: None, refused: 0 }
    }

    /// May a list of this revision be taken over? 0: it tells none.
    pub fn takes(&mut self, now: Ms, rev: u64) -> bool {
        let older = rev > 0 && rev < self.held && self.refuse_for > 0.0;
        if older && now - *self.since.get_or_insert(now) < self.refuse_for {
            self.refused += 1;
            return false;
        }
        (self.held, self.since) = (rev, None);
        true
    }

    /// Another registry is asked from now on: what it tells is not compared.
    pub fn reset(&mut self) {
        (self.held, self.since) = (0, None);
    }
}

/// Numbers of calls that a life may give before the next life's begin.
const LIFE_NUMBERS: u64 = 1 << 32;

/// The first call number of a life: above those of every earlier life of the folder, so that the order of numbers is the
/// order of taking over all its processes, also two side by side. `seen` is the highest number that the folder's journals
/// hold, 0 for none; it stands in where the life record was lost and counting began anew.
pub fn first_number(life: u64, seen: u64) -> u64 {
    let after = if seen == 0 { 0 } else { seen / LIFE_NUMBERS + 1 };
    // Half the range at most, so that nothing overflows whatever a record says.
    life.max(after).min(LIFE_NUMBERS / 2) * LIFE_NUMBERS
}

impl LifeRecord {
    /// The starts on the timeline that begins with this reading: between two lives the wall clock may have been stepped.
    fn starts_on(&self, clocks: &Reading) -> Starts {
        let Some((boot, since_boot)) = self.began else { return self.starts };
        let wall = self.starts[CRASHES - 1] as Ms;
        let from = Reading { boot, since_boot: since_boot as Ms, wall };
        // After a clean end no start is left, and 0 is none.
        let moved = |at: u64| if at == 0 { 0 } else { clocks.translate(&from, at as Ms).max(1.0) as u64 };
        self.starts.map(moved)
    }

    /// One line of text with its checksum.
    pub fn encode(&self) -> String {
        let starts: Vec<String> = self.starts.iter().map(u64::to_string).collect();
        let (life, epoch, first) = (self.life, self.epoch, self.first_ms);
        let began = self.began.map_or(String::new(), |(boot, ms)| format!(" boot {boot:016x} at {ms}"));
        let body = format!("life {life} epoch {epoch:016x} first {first} starts {}{began}", starts.join(","));
        format!("{body} crc {:08x}\n", crc32fast::hash(body.as_bytes()))
    }

    /// Reads [`LifeRecord::encode`]'s line; None where it does not read or its checksum is wrong.
    pub fn decode(text: &str) -> Option<LifeRecord> {
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
        Some(LifeRecord {
            life: life.parse().ok()?,
            epoch: u64::from_str_radix(epoch, 16).ok()?,
            first_ms: first.parse().ok()?,
            starts: starts.try_into().ok()?,
            began,
        })
    }

    /// Has this folder's process died again and again of late?
    pub fn is_crash_loop(&self) -> bool {
        let (first, last) = (self.starts[0], self.starts[CRASHES - 1]);
        first > 0 && last >= first && last - first <= CRASH_SPAN
    }

    /// The same after a clean end: its starts are no crashes.
    pub fn ended_well(self) -> LifeRecord {
        LifeRecord { starts: Starts::default(), ..self }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a folder that lost its journal's company being taken for a first start, and a damaged record
    /// for a whole one.
    #[test]
    fn each_folder_is_judged_by_what_it_holds() {
        let r = LifeRecord { life: 3, epoch: 0xabc, first_ms: 1_000, ..LifeRecord::default() };
        assert_eq!(LifeRecord::decode(&r.encode()), Some(r));
        let flipped = r.encode().replacen("life 3", "life 4", 1);
        assert_eq!(LifeRecord::decode(&flipped), None);
        let found = |record, others, damaged| judge(&Found { record, others, damaged });
        assert_eq!(found(Some(Some(r)), true, 0), Life::Again(r));
        assert_eq!(found(Some(Some(r)), true, 1), Life::Damaged);
        assert_eq!(found(Some(None), true, 0), Life::Damaged);
        assert_eq!(found(None, true, 0), Life::Lost);
        assert_eq!(found(None, false, 0), Life::FirstOrWiped);
        let starts = [0, 0, 0, 0, 5];
        let began = Some((1, 70));
        assert_eq!(next(Life::Again(r), 9, &clocks(70.0, 5.0)), LifeRecord { life: 4, starts, began, ..r });
        let first = next(Life::Lost, 9, &clocks(70.0, 5.0));
        assert_eq!(first, LifeRecord { life: 1, epoch: 9, first_ms: 5, starts, began });
        assert_eq!(LifeRecord::decode(&first.encode()), Some(first));
        assert!(Life::Lost.unsure() && !Life::FirstOrWiped.unsure());
    }

    fn clocks(since_boot: Ms, wall: Ms) -> Reading {
        Reading { boot: 1, since_boot, wall }
    }

    /// Guards against restarts of weeks, or planned ones, taken for a crash loop, and a loop that is not seen.
    #[test]
    fn five_starts_in_thirty_seconds_without_a_clean_end_are_a_crash_loop() {
        let lives = |gap: f64, step: f64| {
            let mut r = next(Life::FirstOrWiped, 1, &clocks(0.0, 1e9));
            for n in (1..5).map(f64::from) {
                r = next(Life::Again(r), 1, &clocks(gap * n, 1e9 + (gap + step) * n));
            }
            r
        };
        assert!(lives(6_000.0, 0.0).is_crash_loop());
        assert!(!lives(60_000.0, 0.0).is_crash_loop());
        for step in [-3_600_000.0, 3_600_000.0] {
            assert!(lives(6_000.0, step).is_crash_loop(), "the wall clock says nothing of the time between");
            assert!(!lives(60_000.0, step).is_crash_loop());
        }
        let well = lives(6_000.0, 0.0).ended_well();
        assert!(!well.is_crash_loop() && !next(Life::Again(well), 1, &clocks(31_000.0, 2e9)).is_crash_loop());
    }

    /// Guards against a list of a registry that was set back, and against one that is refused for ever.
    #[test]
    fn an_older_list_is_refused_for_a_while_and_then_believed() {
        let mut r = Revisions::new(9, 10_000.0);
        assert!(r.takes(0.0, 9) && r.takes(1.0, 10) && r.takes(2.0, 12));
        assert!(!r.takes(100.0, 3) && !r.takes(5_000.0, 4));
        assert_eq!(r.refused, 2);
        assert!(r.takes(6_000.0, 13), "the newest again: from here on the time counts anew");
        assert!(!r.takes(20_000.0, 3) && r.takes(30_000.0, 3) && r.takes(30_001.0, 4));
        assert!(r.takes(30_002.0, 0), "a list without a revision");
        let mut off = Revisions::new(9, 0.0);
        assert!(off.takes(0.0, 1));
    }

    /// Guards against a number of an earlier life being given again, whatever is left of the folder.
    #[test]
    fn numbers_of_a_life_are_above_those_of_all_before_it() {
        let first = first_number(1, 0);
        assert!(first_number(2, 0) > first + 4_000_000_000, "by the record alone");
        assert!(first_number(1, first_number(9, 0) + 17) > first_number(9, 0) + 17, "by the journals alone");
        assert!(first_number(3, 12) > first_number(2, 12), "numbers from before there were lives");
        assert!(first_number(u64::MAX, u64::MAX) > 0, "nonsense overflows nothing");
    }
}
