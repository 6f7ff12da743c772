//! The operators' file on how dispatchers come back and stand together: `deploy/together.toml`, or the one that
//! `LILACBANK_TOGETHER` names. All of it is off without the file; the platform has none.

use crate::api::Ms;
use crate::config::Lookup;
use serde::Deserialize;
use std::net::SocketAddr;

/// The file that is read where `LILACBANK_TOGETHER` names none.
const FILE: &str = "deploy/together.toml";
/// Other dispatchers of an installation, at most.
pub const MATES_MOST: usize = 32;

/// What the file holds.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Together {
    /// Coming back after a restart.
    pub recovery: Recovery,
    /// Copies of messages at other dispatchers.
    pub replication: Replication,
}

/// How a dispatcher keeps copies with others of its installation.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Replication {
    /// Nothing below holds without it.
    pub enabled: bool,
    /// Where the other dispatchers reach this one; a free port of the system's with port 0.
    pub listen: SocketAddr,
    /// The installation's name: what comes from another one is refused.
    pub installation: String,
    /// All dispatchers of the installation but this one.
    pub peers: Vec<Mate>,
    /// Copies of each message beside its own.
    pub copies: usize,
    /// A client hears yes only once another dispatcher has a copy,
    pub ack: bool,
    /// or after so many milliseconds without one.
    pub ack_ms: Ms,
    /// After a start it takes clients once it has heard what became of what it left, or after so many milliseconds.
    pub catch_up_ms: Ms,
    /// Megabytes of copies that it holds for others.
    pub most_mb: f64,
}

/// Another dispatcher of the installation.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mate {
    /// Its name, as its `ROUTER_NAME`.
    pub name: String,
    /// Where it is reached: its `listen`.
    pub address: SocketAddr,
}

impl Default for Replication {
    fn default() -> Replication {
        Replication {
            enabled: false,
            listen: SocketAddr::from(([127, 0, 0, 1], 7200)),
            installation: String::new(),
            peers: Vec::new(),
            copies: 2,
            ack: false,
            ack_ms: 300.0,
            catch_up_ms: 5_000.0,
            most_mb: 8.0,
        }
    }
}

/// How a process comes back.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Recovery {
    /// Nothing below holds without it.
    pub enabled: bool,
    /// Calls to each member begin at the rate of the last life and climb from there.
    pub ramp: bool,
    /// Calls a second to a member of which nothing is known; it doubles each second until one is refused.
    pub first_rate: f64,
    /// An unsafe message goes only to a member that the registry named, or that answered, since the start.
    pub hold_unsafe: bool,
    /// After a start whose folder cannot vouch for an earlier life, an unsafe message that is handed in again gets its
    /// final answer without a call.
    pub refuse_again: bool,
    /// Milliseconds for which a list of an older revision than the kept one is refused; then the registry is believed.
    pub older_ms: Ms,
    /// Milliseconds between two writings of the kept list and the members' health.
    pub keep_ms: Ms,
}

impl Default for Recovery {
    fn default() -> Recovery {
        Recovery {
            enabled: false,
            ramp: true,
            first_rate: 10.0,
            hold_unsafe: true,
            refuse_again: true,
            older_ms: 60_000.0,
            keep_ms: 1_000.0,
        }
    }
}

impl Together {
    /// Reads the file that `LILACBANK_TOGETHER` names, or the usual one if it is there.
    ///
    /// # Errors
    ///
    /// `FILE:LINE: key KEY: what is wrong; what to do`.
    pub fn read(env: Lookup) -> Result<Together, String> {
        let named = env("LILACBANK_TOGETHER").filter(|p| !p.is_empty());
        let path = named.as_deref().unwrap_or(FILE);
        match std::fs::read_to_string(path) {
            Ok(text) => Together::parse(path, &text),
            Err(e) if named.is_none() && e.kind() == std::io::ErrorKind::NotFound => Ok(Together::default()),
            Err(e) => {
                Err(format!("{path}: {e}; name a file that can be read in LILACBANK_TOGETHER, or none"))
            }
        }
    }

    /// Does it fit the dispatcher of this name? One that is named among the others would count the majority wrong, and where
    /// tenants move (`moves`) a message that went with its tenant would be taken over from its copies besides.
    ///
    /// # Errors
    ///
    /// The key, what is wrong and what to do.
    pub fn fits(&self, name: &str, moves: bool) -> Result<(), String> {
        let c = &self.replication;
        if c.enabled && moves {
            let why = "tenants move between these dispatchers ([mesh]), and a copy does not move with them";
            return Err(format!("key replication.enabled: {why}; leave one of the two out"));
        }
        if c.enabled && c.peers.iter().any(|p| p.name == name) {
            return Err(format!(
                "key replication.peers: {name} is this dispatcher itself; name only the others in its own file"
            ));
        }
        Ok(())
    }

    /// The same from the file's text; `file` names it in faults.
    ///
    /// # Errors
    ///
    /// As [`Together::read`].
    pub fn parse(file: &str, text: &str) -> Result<Together, String> {
        let line_of = |at: usize| text[..at.min(text.len())].matches('\n').count() + 1;
        let together: Together = toml::from_str(text).map_err(|e| {
            let line = e.span().map_or(1, |s| line_of(s.start));
            let key =
                text.lines().nth(line - 1).and_then(|l| l.split_once('=')).map_or("", |(k, _)| k.trim());
            format!(
                "{file}:{line}: key {key}: {}; the keys are in docs/operators/together.md",
                e.message().trim()
            )
        })?;
        let at = |key: &str| text.lines().position(|l| l.trim_start().starts_with(key)).map_or(1, |n| n + 1);
        let (r, c) = (&together.recovery, &together.replication);
        let bounds = [
            ("recovery.first_rate", r.first_rate, 0.1, 10_000.0, "calls a second"),
            ("recovery.older_ms", r.older_ms, 0.0, 3_600_000.0, "milliseconds"),
            ("recovery.keep_ms", r.keep_ms, 100.0, 60_000.0, "milliseconds"),
            ("replication.copies", c.copies as f64, 1.0, 8.0, "copies"),
            ("replication.ack_ms", c.ack_ms, 1.0, 10_000.0, "milliseconds"),
            ("replication.catch_up_ms", c.catch_up_ms, 0.0, 60_000.0, "milliseconds"),
            ("replication.most_mb", c.most_mb, 0.1, 4_096.0, "megabytes"),
        ];
        for (key, value, least, most, unit) in bounds {
            if !(least..=most).contains(&value) {
                let line = at(key.rsplit('.').next().unwrap_or(key));
                return Err(format!(
                    "{file}:{line}: key {key}: {value} is not from {least} to {most} {unit}; give a number in that range"
                ));
            }
        }
        if c.enabled && c.installation.is_empty() {
            return Err(format!(
                "{file}:{}: key replication.installation: it is missing; give the installation's name, the same in all files",
                at("[replication]")
            ));
        }
        if c.enabled && c.peers.is_empty() {
            return Err(format!(
                "{file}:{}: key replication.peers: none is named; name each other dispatcher, or set enabled = false",
                at("[replication]")
            ));
        }
        let twice = c.peers.iter().enumerate().find(|(n, p)| c.peers[..*n].iter().any(|q| q.name == p.name));
        if let Some((_, p)) = twice {
            let line =
                text.lines().enumerate().filter(|(_, l)| l.contains(&format!("\"{}\"", p.name))).last();
            return Err(format!(
                "{file}:{}: key replication.peers: {} is named twice; name each other dispatcher once",
                line.map_or(1, |l| l.0 + 1),
                p.name
            ));
        }
        if c.enabled && c.peers.len() > MATES_MOST {
            return Err(format!(
                "{file}:{}: key replication.peers: {} are named; {MATES_MOST} at most",
                at("[replication]"),
                c.peers.len()
            ));
        }
        Ok(together)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_shipped_file_is_off_and_faults_name_file_line_and_key() {
        let shipped = Together::parse("f", include_str!("../deploy/together.toml")).unwrap();
        assert_eq!(shipped, Together::default());
        assert!(!shipped.recovery.enabled);
        for (text, said) in [
            ("[recovery]\nenabled = true\nramps = true\n", "f:3: key ramps: unknown field"),
            ("[recovery]\n\nfirst_rate = 0\n", "f:3: key recovery.first_rate: 0 is not from 0.1"),
            ("[recovery]\nenabled = \"yes\"\n", "f:2: key enabled: invalid type"),
            ("[recovered]\n", "f:1: key : unknown field"),
            ("[replication]\ncopies = 0\n", "f:2: key replication.copies: 0 is not from 1 to 8"),
            ("[replication]\nenabled = true\n", "f:1: key replication.installation: it is missing"),
            ("[replication]\nlisten = \"here\"\n", "f:2: key listen: invalid socket address"),
            (
                "[replication]\nenabled = true\ninstallation = \"i\"\n",
                "f:1: key replication.peers: none is named",
            ),
            (
                "[replication]\n[[replication.peers]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\n\
                 [[replication.peers]]\nname = \"a\"\naddress = \"127.0.0.1:2\"\n",
                "f:6: key replication.peers: a is named twice",
            ),
        ] {
            let e = Together::parse("f", text).unwrap_err();
            assert!(e.starts_with(said), "{e}");
        }
        let one = "[replication]\nenabled = true\ninstallation = \"i\"\n\
                   [[replication.peers]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\n";
        let one = Together::parse("f", one).unwrap();
        assert!(
            one.fits("b", false).is_ok() && one.fits("a", false).is_err() && one.fits("b", true).is_err()
        );
    }
}
