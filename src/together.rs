//! Settings for recovery after a restart and for replication between dispatchers, read from
//! `deploy/together.toml` or from the file named by `LILACBANK_TOGETHER`. Without a file both are disabled;
//! the platform has none.

use crate::api::Ms;
use crate::config::EnvLookup;
use serde::Deserialize;
use std::net::SocketAddr;

/// The file that is read if `LILACBANK_TOGETHER` is not set.
const DEFAULT_FILE: &str = "deploy/together.toml";
/// Maximum number of peers of one dispatcher.
pub const MAX_PEERS: usize = 32;

/// The content of the file.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
// Error messages keep the name they have always shown.
#[serde(expecting = "struct Together")]
pub struct ResilienceSettings {
    /// Recovery after a restart.
    pub recovery: Recovery,
    /// Replication of messages to peers.
    pub replication: Replication,
}

/// How a dispatcher replicates messages to its peers.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Replication {
    /// Enables replication; the other keys have no effect without it.
    pub enabled: bool,
    /// Address on which peers reach this dispatcher; with port 0 the system picks a free port.
    pub listen: SocketAddr,
    /// Name of the installation; peer messages of another installation are rejected.
    pub installation: String,
    /// All dispatchers of the installation except this one.
    pub peers: Vec<Peer>,
    /// Number of copies of each message at peers, in addition to the dispatcher's own.
    pub copies: usize,
    /// Whether a message is confirmed to its client only once a peer has a copy, or after `ack_ms`.
    pub ack: bool,
    /// Milliseconds after which a message is confirmed to its client even if no peer has a copy.
    pub ack_ms: Ms,
    /// Milliseconds for which a started dispatcher waits to learn from its peers what happened to its
    /// messages before it accepts clients.
    pub catch_up_ms: Ms,
    /// Size limit in megabytes of the copies held for peers.
    pub most_mb: f64,
}

/// A peer: another dispatcher of the same installation.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
// Error messages keep the name they have always shown.
#[serde(expecting = "struct Mate")]
pub struct Peer {
    /// Its name, which is its `ROUTER_NAME`.
    pub name: String,
    /// Its address, which is its `listen`.
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

/// How a process recovers after a restart.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Recovery {
    /// Enables recovery; the other keys have no effect without it.
    pub enabled: bool,
    /// Whether the calls to each destination start at the rate of the previous incarnation and ramp up from
    /// there.
    pub ramp: bool,
    /// Initial rate in calls a second to a destination without a known rate; it doubles each second until a
    /// call is refused.
    pub first_rate: f64,
    /// Whether at-most-once messages go only to destinations that the registry has listed, or that have
    /// answered, since the start.
    pub hold_unsafe: bool,
    /// Whether an at-most-once message that a client submits again gets its final answer without a call,
    /// after a start whose folder may lack records of an earlier incarnation.
    pub refuse_again: bool,
    /// Milliseconds for which endpoint lists of an older revision than the cached one are rejected; after
    /// that the registry's list is accepted.
    pub older_ms: Ms,
    /// Milliseconds between two writes of the cached endpoint list and the destinations' health.
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

impl ResilienceSettings {
    /// Reads the file that `LILACBANK_TOGETHER` names, or else the default file if it exists.
    ///
    /// # Errors
    ///
    /// `DEFAULT_FILE:LINE: key KEY: what is wrong; what to do`.
    pub fn read(env: EnvLookup) -> Result<ResilienceSettings, String> {
        let named = env("LILACBANK_TOGETHER").filter(|p| !p.is_empty());
        let path = named.as_deref().unwrap_or(DEFAULT_FILE);
        match std::fs::read_to_string(path) {
            Ok(text) => ResilienceSettings::parse(path, &text),
            Err(e) if named.is_none() && e.kind() == std::io::ErrorKind::NotFound => {
                Ok(ResilienceSettings::default())
            }
            Err(e) => Err(format!("{path}: {e}; set LILACBANK_TOGETHER to a readable file, or unset it")),
        }
    }

    /// Checks the settings against the dispatcher's own name and against tenant moves. A dispatcher that
    /// lists itself as a peer would count the majority wrongly. Where tenants move (`moves`), a message that
    /// moved with its tenant could in addition be taken over from its copies.
    ///
    /// # Errors
    ///
    /// The key, what is wrong and what to do.
    pub fn check(&self, name: &str, moves: bool) -> Result<(), String> {
        let r = &self.replication;
        if r.enabled && moves {
            let why = "tenants move between these dispatchers ([mesh]), but copies do not move with them";
            return Err(format!("key replication.enabled: {why}; disable one of the two"));
        }
        if r.enabled && r.peers.iter().any(|p| p.name == name) {
            return Err(format!(
                "key replication.peers: {name} is this dispatcher itself; list only the other dispatchers"
            ));
        }
        Ok(())
    }

    /// Reads the settings from the text of a file; error messages name it `file`.
    ///
    /// # Errors
    ///
    /// See [`ResilienceSettings::read`].
    pub fn parse(file: &str, text: &str) -> Result<ResilienceSettings, String> {
        let line_of = |at: usize| text[..at.min(text.len())].matches('\n').count() + 1;
        let together: ResilienceSettings = toml::from_str(text).map_err(|e| {
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
        for (key, value, min, max, unit) in bounds {
            if !(min..=max).contains(&value) {
                let line = at(key.rsplit('.').next().unwrap_or(key));
                return Err(format!(
                    "{file}:{line}: key {key}: {value} is not from {min} to {max} {unit}; give a number in that range"
                ));
            }
        }
        if c.enabled && c.installation.is_empty() {
            return Err(format!(
                "{file}:{}: key replication.installation: it is missing; give all dispatchers the same name",
                at("[replication]")
            ));
        }
        if c.enabled && c.peers.is_empty() {
            return Err(format!(
                "{file}:{}: key replication.peers: no peer is listed; list all peers, or set enabled = false",
                at("[replication]")
            ));
        }
        let duplicate =
            c.peers.iter().enumerate().find(|(n, p)| c.peers[..*n].iter().any(|q| q.name == p.name));
        if let Some((_, p)) = duplicate {
            let line =
                text.lines().enumerate().filter(|(_, l)| l.contains(&format!("\"{}\"", p.name))).last();
            return Err(format!(
                "{file}:{}: key replication.peers: {} is listed twice; list every other dispatcher once",
                line.map_or(1, |l| l.0 + 1),
                p.name
            ));
        }
        if c.enabled && c.peers.len() > MAX_PEERS {
            return Err(format!(
                "{file}:{}: key replication.peers: {} peers are listed; the maximum is {MAX_PEERS}",
                at("[replication]"),
                c.peers.len()
            ));
        }
        Ok(together)
    }
}

#[cfg(test)]
mod tests;
