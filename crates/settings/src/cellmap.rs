//! The cell map: which dispatchers and which part of each member belong to which cell, and who lives there.
//!
//! It is the operator's, versioned, and one for all dispatchers. Tenants that no cell names are placed by hashing, so a new
//! tenant needs no edit; a map with one cell more moves only those who come to live in it.

use crate::agreement::{Agreement, MemberKind};
use crate::check::{between, needed, twice, warn, with};
use crate::finding::Finding;
use crate::set::{beside, ReadFile};
use crate::source::Source;
use crate::units::{Address, Name, Share, WHOLE};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A dispatcher.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Dispatcher {
    /// Where other dispatchers reach it.
    pub peer: Option<Address>,
    /// Where its RESP2 clients connect.
    pub resp: Option<Address>,
    /// Where its MQTT clients connect.
    pub mqtt: Option<Address>,
}

/// A cell's part of a member.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Part {
    /// The member's agreement, a file; its path is taken from the folder of this file.
    pub agreement: Option<String>,
    /// Part of its limit; those of all cells together are at most the whole.
    pub share: Option<Share>,
    /// Only these endpoints; without it, all of them.
    pub endpoints: Option<Vec<Name>>,
}

/// A cell.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Cell {
    /// Its dispatchers.
    pub dispatchers: Vec<Name>,
    /// Its part of the tenants that no cell names, beside those of the others (0 to 1000); at 0 only those named live there.
    pub weight: f64,
    /// Tenants that live there.
    pub tenants: Vec<Name>,
    /// Its parts of members.
    pub members: Vec<Part>,
}

impl Default for Cell {
    fn default() -> Cell {
        Cell { dispatchers: Vec::new(), weight: 1.0, tenants: Vec::new(), members: Vec::new() }
    }
}

/// The map.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct CellMap {
    /// Its name; one for all versions.
    pub map: Option<Name>,
    /// Its version; grows with each change.
    pub version: Option<u64>,
    /// The dispatchers, by name.
    pub dispatchers: BTreeMap<Name, Dispatcher>,
    /// The cells, by name.
    pub cells: BTreeMap<Name, Cell>,
}

/// A map that was read, with the agreements that it names.
#[derive(Debug, Clone)]
pub struct Read {
    /// Its source.
    pub source: Source,
    /// What stands in it.
    pub map: CellMap,
    agreements: BTreeMap<String, (Source, Agreement)>,
}

impl Read {
    /// Reads a map and the agreements that it names.
    ///
    /// # Errors
    ///
    /// Where the map itself cannot be read.
    pub fn load(file: &str, read: ReadFile, found: &mut Vec<Finding>) -> std::io::Result<Read> {
        let text = read(file)?;
        let mut source = Source::toml(file, &text, found);
        let map: CellMap = source.read(found);
        let mut agreements = BTreeMap::new();
        for (name, cell) in &map.cells {
            for (i, part) in cell.members.iter().enumerate() {
                let Some(named) = part.agreement.as_ref().map(|a| beside(file, a)) else { continue };
                if agreements.contains_key(&named) {
                    continue;
                }
                match read(&named) {
                    Ok(text) => {
                        let mut s = Source::toml(&named, &text, found);
                        let agreement = s.read(found);
                        agreements.insert(named, (s, agreement));
                    }
                    Err(e) => {
                        let key = format!("cells.{name}.members[{i}].agreement");
                        let wrong = format!("'{named}' cannot be read: {e}");
                        found.push(source.fault("LB0001", &key, wrong, "name a file that is there"));
                    }
                }
            }
        }
        Ok(Read { source, map, agreements })
    }

    /// The texts, for showing findings.
    pub fn texts(&self) -> BTreeMap<String, String> {
        let own = (self.source.file.clone(), self.source.text.clone());
        let more = self.agreements.iter().map(|(f, (s, _))| (f.clone(), s.text.clone()));
        std::iter::once(own).chain(more).collect()
    }

    /// All that is wrong with it; `force` is the map that is in force, if there is one.
    pub fn check(&self, force: Option<&Read>) -> Vec<Finding> {
        let (s, m) = (&self.source, &self.map);
        let mut found = Vec::new();
        needed(s, "map", &m.map, "name the map", &mut found);
        needed(s, "version", &m.version, "number the map: version = 1", &mut found);
        if m.cells.is_empty() && !s.is_spoilt("cells") {
            found.push(s.fault("LB0006", "cells", "there is no cell", "add a table such as [cells.large]"));
        }
        self.dispatchers(&mut found);
        for (name, cell) in &m.cells {
            self.cell(name, cell, &mut found);
        }
        let tenants = m.cells.iter().flat_map(|(name, c)| {
            c.tenants.iter().enumerate().map(move |(i, t)| (format!("cells.{name}.tenants[{i}]"), t))
        });
        twice(s, "LB0801", "tenant", tenants, &mut found);
        if !m.cells.is_empty() && m.cells.values().all(|c| c.weight <= 0.0) {
            let wrong = "no cell takes tenants that none names";
            found.push(s.fault("LB0808", "cells", wrong, "give one cell at least a weight over 0"));
        }
        self.shares(&mut found);
        if let Some(force) = force {
            self.succeeds(force, &mut found);
        }
        found.sort_by_key(|f| (f.place.line, f.code));
        found
    }

    fn dispatchers(&self, found: &mut Vec<Finding>) {
        let (s, m) = (&self.source, &self.map);
        let mut all: Vec<(String, Address)> = Vec::new();
        for (name, d) in &m.dispatchers {
            let key = |key: &str| format!("dispatchers.{name}.{key}");
            needed(s, &key("peer"), &d.peer, "say where other dispatchers reach it", found);
            for (key, address) in [(key("peer"), d.peer), (key("resp"), d.resp), (key("mqtt"), d.mqtt)] {
                all.extend(address.map(|a| (key, a)));
            }
            if !m.cells.values().any(|c| c.dispatchers.contains(name)) {
                let f = s.fault(
                    "LB0807",
                    &format!("dispatchers.{name}"),
                    format!("'{name}' belongs to no cell"),
                    "name it in a cell, or leave it out",
                );
                found.push(warn(f));
            }
        }
        twice(s, "LB0103", "address", all.iter().map(|(k, a)| (k.clone(), a)), found);
    }

    fn cell(&self, name: &Name, cell: &Cell, found: &mut Vec<Finding>) {
        let s = &self.source;
        let key = |key: &str| format!("cells.{name}.{key}");
        between(s, &key("weight"), cell.weight, 0.0, 1_000.0, found);
        if cell.dispatchers.is_empty() && !s.is_spoilt(&key("dispatchers")) {
            let wrong = format!("the cell '{name}' has no dispatcher");
            found.push(s.fault(
                "LB0803",
                &format!("cells.{name}"),
                wrong,
                "name one: dispatchers = [\"n1\"]",
            ));
        }
        for (i, d) in cell.dispatchers.iter().enumerate() {
            if !self.map.dispatchers.contains_key(d) && !s.is_spoilt("dispatchers") {
                let wrong = format!("there is no dispatcher '{d}'");
                let mend = format!("add a table [dispatchers.{d}], or correct the name");
                found.push(s.fault("LB0806", &format!("{}[{i}]", key("dispatchers")), wrong, mend));
            }
        }
        let used: BTreeSet<&Name> =
            cell.members.iter().enumerate().flat_map(|(i, p)| self.part(name, i, p, found)).collect();
        if used.is_empty() && !s.is_spoilt(&key("members")) {
            let wrong = format!("the cell '{name}' has no endpoint to deliver to");
            found.push(s.fault(
                "LB0804",
                &format!("cells.{name}"),
                wrong,
                format!("add a [[cells.{name}.members]] table"),
            ));
        }
    }

    /// One part of a member; returns the endpoints that it comes to.
    fn part<'a>(&'a self, name: &Name, i: usize, p: &'a Part, found: &mut Vec<Finding>) -> Vec<&'a Name> {
        let s = &self.source;
        let key = |key: &str| format!("cells.{name}.members[{i}].{key}");
        needed(s, &key("agreement"), &p.agreement, "name the member's file", found);
        let file = p.agreement.as_ref().map(|a| beside(&s.file, a));
        let Some((terms, agreement)) = file.and_then(|f| self.agreements.get(&f)) else { return Vec::new() };
        if let Some(limit) = agreement.limit {
            needed(
                s,
                &key("share"),
                &p.share,
                &format!("say which part of its limit of {limit} is the cell's"),
                found,
            );
            if p.share.is_some_and(|share| share.of(limit.calls) == 0) {
                let f = s.fault(
                    "LB0403",
                    &key("share"),
                    format!("this part of {limit} is less than one call"),
                    "make it larger",
                );
                found.push(with(f, terms.place("limit"), "the member's limit"));
            }
        }
        let known: Vec<&Name> = agreement.endpoints.iter().filter_map(|e| e.id.as_ref()).collect();
        let Some(wanted) = &p.endpoints else { return known };
        for (n, id) in wanted.iter().enumerate().filter(|(_, id)| !known.contains(id)) {
            let f = s.fault(
                "LB0205",
                &format!("{}[{n}]", key("endpoints")),
                format!("the member has no endpoint '{id}'"),
                "name one of its list",
            );
            found.push(with(f, terms.place("endpoints"), "the member's list"));
        }
        wanted.iter().filter(|id| known.contains(id)).collect()
    }

    /// What all cells together take of a member's limit.
    fn shares(&self, found: &mut Vec<Finding>) {
        let s = &self.source;
        for (file, (terms, agreement)) in &self.agreements {
            let Some(limit) = agreement.limit else { continue };
            let parts = self
                .map
                .cells
                .iter()
                .flat_map(|(name, c)| c.members.iter().enumerate().map(move |(i, p)| (name, i, p)));
            let parts: Vec<_> = parts
                .filter(|(_, _, p)| p.agreement.as_ref().is_some_and(|a| beside(&s.file, a) == *file))
                .collect();
            let ids = agreement.endpoints.iter().filter_map(|e| e.id.as_ref());
            let units: Vec<Option<&Name>> = match agreement.kind {
                MemberKind::HighVolume => vec![None],
                MemberKind::LowVolume => ids.map(Some).collect(),
            };
            for unit in units {
                let takes =
                    |p: &Part| unit.is_none_or(|id| p.endpoints.as_ref().is_none_or(|e| e.contains(id)));
                let of: Vec<_> = parts.iter().filter(|(_, _, p)| takes(p)).collect();
                let sum: u64 = of.iter().filter_map(|(_, _, p)| p.share).map(|x| u64::from(x.0)).sum();
                if sum <= u64::from(WHOLE) {
                    continue;
                }
                let names: Vec<String> =
                    of.iter().filter_map(|(n, _, p)| Some(format!("{n} {}", p.share?))).collect();
                let wrong = format!(
                    "the cells take {}% of the limit of {limit}: {}",
                    sum as f64 / 10_000.0,
                    names.join(", ")
                );
                let Some((name, i, _)) = of.last() else { continue };
                let mut f = s.fault(
                    "LB0805",
                    &format!("cells.{name}.members[{i}].share"),
                    wrong,
                    "together they take at most the whole",
                );
                for (name, i, p) in &of[..of.len() - 1] {
                    let says = format!("{name}: {}", p.share.map_or(String::new(), |x| x.to_string()));
                    f = with(f, s.place(&format!("cells.{name}.members[{i}].share")), says);
                }
                found.push(with(f, terms.place("limit"), "the member's limit"));
                break;
            }
        }
    }

    /// A map takes another one's place only under a higher number.
    fn succeeds(&self, force: &Read, found: &mut Vec<Finding>) {
        let (s, old) = (&self.source, &force.map);
        if self.map.map != old.map {
            let f = s.fault(
                "LB0809",
                "map",
                "the map in force has another name",
                "keep the name; it says what the versions belong to",
            );
            found.push(with(f, force.source.place("map"), "in force"));
        }
        let (Some(mine), Some(theirs)) = (self.map.version, old.version) else { return };
        let same = self.map == CellMap { version: self.map.version, ..old.clone() };
        if mine < theirs || (mine == theirs && !same) {
            let wrong = match mine < theirs {
                true => format!("version {mine} is older than {theirs}, which is in force"),
                false => format!("version {mine} is in force, and says something else"),
            };
            let f = s.fault(
                "LB0809",
                "version",
                wrong,
                format!("number it {} after taking over what has changed since", theirs + 1),
            );
            found.push(with(f, force.source.place("version"), "in force"));
        }
    }
}
