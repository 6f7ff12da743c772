//! The cached endpoint list: the last list of the registry and the last known health of the destinations, in
//! two files that are written alternately, so that one is intact at any time. No I/O and no clock: the
//! callers read and write the files and pass the time.
//!
//! The cache carries its age. Its content is never taken for the current state: it only gives the endpoints
//! and rates with which a start begins, until the registry answers.

use crate::api::{Ms, ServiceState};
use crate::config::{self, EndpointList, Names, Node};
use crate::timeline::ClockReading;
use lilacbank_limits::ramp::{Health, RememberedHealth};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A file counts as written in the future if its time is more than this many milliseconds ahead of the clock.
/// Two readings of one clock may differ by less.
const CLOCK_TOLERANCE_MS: Ms = 1_000.0;
/// Version of the file format; files of any other version are rejected.
const FORMAT_VERSION: u32 = 1;

/// The content of the file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
// Error messages keep the name they have always shown.
#[serde(expecting = "struct Kept")]
pub struct CachedList {
    /// See [`FORMAT_VERSION`].
    form: u32,
    /// Identifies the writer: see [`writer_id`].
    installation: u32,
    /// When it was written, in wall-clock milliseconds on the timeline of its writer.
    at: Ms,
    /// The clock reading with which the writer's timeline begins; `None` in files of program versions without
    /// one.
    #[serde(default)]
    clocks: Option<ClockReading>,
    /// Revision of the endpoint list.
    rev: u64,
    targets: Vec<Target>,
    /// For each destination its name, its rate in calls a second, and since when it has been unreachable.
    health: Vec<(String, f64, Option<Ms>)>,
}

/// An endpoint in the form of the registry's protocol.
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

/// Why a file is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectedCache {
    /// It is malformed, or its checksum does not match.
    Damaged,
    /// Another installation or another format version wrote it.
    OtherInstallation,
}

/// The cached state that a start uses.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CachedState {
    /// The whole endpoint list.
    pub list: EndpointList,
    /// The remembered health of each destination.
    pub health: BTreeMap<String, RememberedHealth>,
    /// Age of the file; `None` if its time lies in the future, for example because the clock was set back.
    pub age: Option<Ms>,
}

/// Identifies the writer of a file by a hash of the dispatcher's name and of the zone and kind names used in
/// its list.
pub fn writer_id(name: &str, names: &Names) -> u32 {
    let mut hash = crc32fast::Hasher::new();
    for text in [name].into_iter().chain(names.zones.iter().chain(&names.kinds).map(String::as_str)) {
        hash.update(text.as_bytes());
        hash.update(&[0]);
    }
    hash.finalize()
}

impl CachedList {
    /// Collects the state to be written at the time `now`.
    pub fn new(
        installation: u32,
        (now, clocks): (Ms, Option<ClockReading>),
        list: &EndpointList,
        names: &Names,
        health: impl Iterator<Item = (String, Health)>,
    ) -> CachedList {
        let name_of = |names: &[String], n: usize| names.get(n).cloned().unwrap_or_default();
        let state = |l: ServiceState| match l {
            ServiceState::InService => "in_service",
            ServiceState::Draining => "terminating",
            ServiceState::Removed => "terminated",
        };
        let target = |w: &config::RegistryEndpoint| Target {
            uid: w.uid.clone(),
            endpoint: w.address.clone(),
            az: name_of(&names.zones, w.zone),
            model: name_of(&names.kinds, w.kind),
            pod_group: w.destination,
            state: state(w.state).into(),
            capacity_hint: w.weight,
        };
        CachedList {
            form: FORMAT_VERSION,
            installation,
            at: now,
            clocks,
            rev: list.revision,
            targets: list.endpoints.iter().map(target).collect(),
            health: health.map(|(destination, h)| (destination, h.rate, h.unavailable_since)).collect(),
        }
    }

    /// Encodes a header line with length and checksum, and a line of JSON. Anything after it in the file is
    /// left over from an earlier, longer content and is ignored.
    pub fn encode(&self) -> String {
        let body = serde_json::to_string(self).unwrap_or_default();
        format!("kept {} crc {:08x}\n{body}\n", body.len(), crc32fast::hash(body.as_bytes()))
    }

    fn decode(bytes: &[u8]) -> Option<CachedList> {
        let end = bytes.iter().position(|b| *b == b'\n')?;
        let words: Vec<&str> = std::str::from_utf8(&bytes[..end]).ok()?.split(' ').collect();
        let ["kept", len, "crc", sum] = words.as_slice() else { return None };
        let body = bytes.get(end + 1..)?.get(..len.parse().ok()?)?;
        (sum.len() == 8 && u32::from_str_radix(sum, 16).ok()? == crc32fast::hash(body)).then_some(())?;
        serde_json::from_slice(body).ok()
    }

    /// The newest valid one of these files, for a start with the clock reading `clocks`; `None` if there is
    /// no file.
    ///
    /// # Errors
    ///
    /// Every file is damaged or was written by another installation or format version.
    pub fn newest(
        files: &[Vec<u8>],
        installation: u32,
        clocks: &ClockReading,
        names: &Names,
    ) -> Result<Option<CachedState>, RejectedCache> {
        let read: Vec<Result<(Ms, CachedState), RejectedCache>> =
            files.iter().map(|f| CachedList::read_file(f, installation, clocks, names)).collect();
        let newest = read.iter().filter_map(|r| r.as_ref().ok()).max_by(|a, b| a.0.total_cmp(&b.0));
        match (newest, read.first()) {
            (Some((_, cached)), _) => Ok(Some(cached.clone())),
            (None, Some(Err(why))) => Err(*why),
            (None, _) => Ok(None),
        }
    }

    /// Decodes the output of [`CachedList::encode`] for a start with the clock reading `clocks`; also returns when
    /// it was written.
    ///
    /// # Errors
    ///
    /// The file is damaged or was written by another installation or format version.
    fn read_file(
        text: &[u8],
        installation: u32,
        clocks: &ClockReading,
        names: &Names,
    ) -> Result<(Ms, CachedState), RejectedCache> {
        let kept = CachedList::decode(text).ok_or(RejectedCache::Damaged)?;
        if kept.installation != installation || kept.form != FORMAT_VERSION {
            return Err(RejectedCache::OtherInstallation);
        }
        let list = serde_json::json!({ "rev": kept.rev, "all": true, "targets": kept.targets }).to_string();
        let list = config::parse_json("kept", &list)
            .and_then(|v| config::parse_endpoint_list(&Node::root("kept", &v), names));
        let at = kept.clocks.map_or(kept.at, |from| clocks.translate(&from, kept.at));
        let age = Some(clocks.wall - at).filter(|age| *age >= -CLOCK_TOLERANCE_MS).map(|age| age.max(0.0));
        let is_valid = |h: &(String, f64, Option<Ms>)| h.1.is_finite() && h.1 >= 0.0;
        let former = kept.health.into_iter().filter(is_valid);
        let former = former.map(|(destination, rate, away)| {
            (destination, RememberedHealth { health: Health { rate, unavailable_since: away }, age })
        });
        Ok((
            at,
            CachedState {
                list: list.map_err(|_| RejectedCache::OtherInstallation)?,
                health: former.collect(),
                age,
            },
        ))
    }
}

#[cfg(test)]
mod tests;
