//! What outlives a process as a hint: the list as last told and the members' health as last learnt, in two files that are
//! written in turn, so that one is whole at any moment. No I/O, no clock: the wires read and write them, with the time.
//!
//! A hint carries its age. Nothing in it is taken for the present: it says where to begin, and how carefully.

use crate::api::{Listing, Ms};
use crate::config::{self, Names, Node, WorkerList};
use crate::timeline::Reading;
use lilacbank_limits::ramp::{Former, Health};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A writing of the future is this much ahead of the clock: two reads of one clock may differ by less.
const AHEAD: Ms = 1_000.0;
/// A form that is not known here is not read.
const FORM: u32 = 1;

/// The file's content.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Kept {
    form: u32,
    /// Whose it is: see [`installation`].
    installation: u32,
    /// When it was written, in wall-clock milliseconds on the timeline of its writer,
    at: Ms,
    /// which begins with this reading; none in files of earlier programs.
    #[serde(default)]
    clocks: Option<Reading>,
    /// Revision of the list.
    rev: u64,
    targets: Vec<Target>,
    health: Vec<(String, f64, Option<Ms>)>,
}

/// An endpoint as discovery writes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Target {
    uid: String,
    endpoint: String,
    az: String,
    model: String,
    pod_group: u64,
    state: String,
    capacity_hint: f64,
}

/// Why a file is no hint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// It does not read, or its checksum is wrong.
    Damaged,
    /// Another installation wrote it.
    Foreign,
}

/// What a start takes from the file.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Hint {
    /// The list, whole.
    pub list: WorkerList,
    /// What is remembered of each member.
    pub former: BTreeMap<String, Former>,
    /// How old it is; none: it is from the future, or the clock was set back.
    pub age: Option<Ms>,
}

/// A mark of who wrote a file: the dispatcher's name, and the names that its list speaks in.
pub fn installation(name: &str, names: &Names) -> u32 {
    let mut hash = crc32fast::Hasher::new();
    for word in [name].into_iter().chain(names.zones.iter().chain(&names.kinds).map(String::as_str)) {
        hash.update(word.as_bytes());
        hash.update(&[0]);
    }
    hash.finalize()
}

impl Kept {
    /// What is to be written now.
    pub fn new(
        installation: u32,
        (now, clocks): (Ms, Option<Reading>),
        list: &WorkerList,
        names: &Names,
        health: impl Iterator<Item = (String, Health)>,
    ) -> Kept {
        let word = |names: &[String], n: usize| names.get(n).cloned().unwrap_or_default();
        let state = |l: Listing| match l {
            Listing::Ready => "in_service",
            Listing::Draining => "terminating",
            Listing::Gone => "terminated",
        };
        let target = |w: &config::Worker| Target {
            uid: w.uid.clone(),
            endpoint: w.address.clone(),
            az: word(&names.zones, w.zone),
            model: word(&names.kinds, w.kind),
            pod_group: w.dest,
            state: state(w.listing).into(),
            capacity_hint: w.weight,
        };
        Kept {
            form: FORM,
            installation,
            at: now,
            clocks,
            rev: list.rev,
            targets: list.workers.iter().map(target).collect(),
            health: health.map(|(member, h)| (member, h.rate, h.away)).collect(),
        }
    }

    /// A line with its length and checksum, and a line of JSON. What stands behind, of an earlier and longer writing, does
    /// not count.
    pub fn encode(&self) -> String {
        let body = serde_json::to_string(self).unwrap_or_default();
        format!("kept {} crc {:08x}\n{body}\n", body.len(), crc32fast::hash(body.as_bytes()))
    }

    fn decode(bytes: &[u8]) -> Option<Kept> {
        let end = bytes.iter().position(|b| *b == b'\n')?;
        let words: Vec<&str> = std::str::from_utf8(&bytes[..end]).ok()?.split(' ').collect();
        let ["kept", len, "crc", sum] = words.as_slice() else { return None };
        let body = bytes.get(end + 1..)?.get(..len.parse().ok()?)?;
        (sum.len() == 8 && u32::from_str_radix(sum, 16).ok()? == crc32fast::hash(body)).then_some(())?;
        serde_json::from_slice(body).ok()
    }

    /// The newest of these writings that is whole, as a hint for a start with this reading of the clocks; none where there is no file.
    ///
    /// # Errors
    ///
    /// All are damaged, or of another installation.
    pub fn newest(
        files: &[Vec<u8>],
        installation: u32,
        clocks: &Reading,
        names: &Names,
    ) -> Result<Option<Hint>, Refused> {
        let read: Vec<Result<(Ms, Hint), Refused>> =
            files.iter().map(|f| Kept::hint(f, installation, clocks, names)).collect();
        let good = read.iter().filter_map(|r| r.as_ref().ok()).max_by(|a, b| a.0.total_cmp(&b.0));
        match (good, read.first()) {
            (Some((_, hint)), _) => Ok(Some(hint.clone())),
            (None, Some(Err(why))) => Err(*why),
            (None, _) => Ok(None),
        }
    }

    /// Reads [`Kept::encode`]'s lines as a hint for a start with this reading, with the time of its writing.
    ///
    /// # Errors
    ///
    /// It is damaged, or of another installation.
    fn hint(text: &[u8], installation: u32, clocks: &Reading, names: &Names) -> Result<(Ms, Hint), Refused> {
        let kept = Kept::decode(text).ok_or(Refused::Damaged)?;
        if kept.installation != installation || kept.form != FORM {
            return Err(Refused::Foreign);
        }
        let list = serde_json::json!({ "rev": kept.rev, "all": true, "targets": kept.targets }).to_string();
        let list =
            config::json("kept", &list).and_then(|v| config::worker_list(&Node::root("kept", &v), names));
        let at = kept.clocks.map_or(kept.at, |from| clocks.translate(&from, kept.at));
        let age = Some(clocks.wall - at).filter(|age| *age >= -AHEAD).map(|age| age.max(0.0));
        let good = |h: &(String, f64, Option<Ms>)| h.1.is_finite() && h.1 >= 0.0;
        let former = kept.health.into_iter().filter(good);
        let former =
            former.map(|(member, rate, away)| (member, Former { health: Health { rate, away }, age }));
        Ok((at, Hint { list: list.map_err(|_| Refused::Foreign)?, former: former.collect(), age }))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names() -> Names {
        Names { zones: vec!["a".into(), "b".into()], kinds: vec!["m".into()], ..Names::default() }
    }

    fn kept(now: Ms) -> Kept {
        let worker = config::Worker {
            uid: "w1".into(),
            address: "127.0.0.1:7".into(),
            zone: 1,
            kind: 0,
            dest: 4,
            listing: Listing::Draining,
            weight: 2.0,
        };
        let list = WorkerList { rev: 9, whole: true, workers: vec![worker] };
        let health = [("w1".to_string(), Health { rate: 7.5, away: Some(3.0) })];
        Kept::new(installation("n0", &names()), (now, None), &list, &names(), health.into_iter())
    }

    /// Guards against a hint of another installation, of the future, or with a flipped bit, taken for one's own.
    #[test]
    fn a_hint_is_read_whole_with_its_age_or_not_at_all() {
        let (me, text) = (installation("n0", &names()), kept(1_000.0).encode());
        let at = |wall: Ms| Reading { wall, ..Reading::default() };
        let read =
            |bytes: &[u8], whose: u32, now: Ms| Kept::hint(bytes, whose, &at(now), &names()).map(|h| h.1);
        let hint = read(text.as_bytes(), me, 61_000.0).unwrap();
        assert_eq!((hint.list.rev, hint.list.workers[0].zone, hint.age), (9, 1, Some(60_000.0)));
        assert_eq!(hint.list.workers[0].listing, Listing::Draining);
        assert_eq!(hint.former["w1"].health, Health { rate: 7.5, away: Some(3.0) });
        let future = read(text.as_bytes(), me, -5_000.0).unwrap();
        assert_eq!((future.age, future.former["w1"].age), (None, None));
        assert_eq!(read(text.as_bytes(), installation("n1", &names()), 0.0), Err(Refused::Foreign));
        let longer = text.clone() + "of an earlier writing, which was longer";
        assert_eq!(read(longer.as_bytes(), me, 61_000.0), Ok(hint.clone()));
        // Whatever the wall clock was set to meanwhile, its age is the time that went by.
        let from = Reading { boot: 3, since_boot: 100.0, wall: 1_000.0 };
        let dated = Kept { clocks: Some(from), ..kept(1_500.0) }.encode();
        for wall in [-3_600_000.0, 3_600_000.0] {
            let later = Reading { since_boot: 2_600.0, wall, ..from };
            let hint = Kept::hint(dated.as_bytes(), me, &later, &names()).unwrap().1;
            assert_eq!(hint.age, Some(2_000.0));
        }
        // Of two files the newer; of one whole and one torn the whole one.
        let (older, torn) = (kept(500.0).encode().into_bytes(), text.as_bytes()[..90].to_vec());
        let newest = |files: &[Vec<u8>]| {
            Kept::newest(files, me, &at(61_000.0), &names()).map(|h| h.and_then(|h| h.age))
        };
        assert_eq!(newest(&[older.clone(), text.clone().into_bytes()]), Ok(Some(60_000.0)));
        assert_eq!(newest(&[older, torn.clone()]), Ok(Some(60_500.0)));
        assert_eq!((newest(&[torn]), newest(&[])), (Err(Refused::Damaged), Ok(None)));
        // Ten kinds of damage, and every single bit.
        let bytes = text.as_bytes();
        let mut damaged: Vec<Vec<u8>> = vec![
            Vec::new(),
            b"\n".to_vec(),
            bytes[..1].to_vec(),
            bytes[..bytes.len() / 2].to_vec(),
            bytes[..bytes.len() - 2].to_vec(),
            vec![0; bytes.len()],
            vec![0xff; bytes.len()],
            bytes[1..].to_vec(),
            bytes.iter().rev().copied().collect(),
            text.replace("\"rev\":9", "\"rev\":8").into_bytes(),
        ];
        for bit in 0..(bytes.len() - 1) * 8 {
            let mut b = bytes.to_vec();
            b[bit / 8] ^= 1 << (bit % 8);
            damaged.push(b);
        }
        for b in damaged {
            // An upper-case digit of the checksum says the same.
            let same = b.eq_ignore_ascii_case(bytes);
            assert!(same || read(&b, me, 0.0) == Err(Refused::Damaged), "{}", String::from_utf8_lossy(&b));
        }
    }
}
