//! The cell map: which dispatchers, tenants and shares of each destination belong to which cell.
//!
//! Operators write the map; it has a version, and all dispatchers use the same one. Tenants that no cell
//! names are placed by a hash of their names, so a new tenant needs no change of the map. Adding a cell moves
//! only the tenants that the new cell gets.

use crate::agreement::{Agreement, MemberKind};
use crate::check::{as_warning, check_duplicates, check_range, check_required, with_related};
use crate::finding::Finding;
use crate::set::{resolve_path, ReadFile};
use crate::source::Source;
use crate::units::{Address, Name, Share, WHOLE_MILLIONTHS};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A dispatcher of the cell map.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Dispatcher {
    /// The address for peers.
    pub peer: Option<Address>,
    /// The address for RESP2 clients.
    pub resp: Option<Address>,
    /// The address for MQTT clients.
    pub mqtt: Option<Address>,
}

/// A cell's share of a destination.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Part {
    /// The path of the destination's agreement, relative to the folder of this file.
    pub agreement: Option<String>,
    /// The cell's share of the limit; the shares of all cells add up to 100% at most.
    pub share: Option<Share>,
    /// The ids of the endpoints to use; without it, all of them.
    pub endpoints: Option<Vec<Name>>,
}

/// A cell of the map.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Cell {
    /// The dispatchers of the cell.
    pub dispatchers: Vec<Name>,
    /// The cell's weight in the placement of tenants that no cell names (0 to 1000); at 0, it gets only the
    /// tenants that it names.
    pub weight: f64,
    /// Tenants assigned to the cell.
    pub tenants: Vec<Name>,
    /// The cell's shares of destinations.
    pub members: Vec<Part>,
}

impl Default for Cell {
    fn default() -> Cell {
        Cell { dispatchers: Vec::new(), weight: 1.0, tenants: Vec::new(), members: Vec::new() }
    }
}

/// The cell map.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct CellMap {
    /// The name of the map, the same for all versions.
    pub map: Option<Name>,
    /// The version, which increases with each change.
    pub version: Option<u64>,
    /// All dispatchers, by name.
    pub dispatchers: BTreeMap<Name, Dispatcher>,
    /// All cells, by name.
    pub cells: BTreeMap<Name, Cell>,
}

/// A cell map that was loaded, with the agreements that it names.
#[derive(Debug, Clone)]
pub struct LoadedMap {
    /// The source of the map's file.
    pub source: Source,
    /// The content of the map.
    pub map: CellMap,
    agreements: BTreeMap<String, (Source, Agreement)>,
}

impl LoadedMap {
    /// Reads a map and the agreements that it names.
    ///
    /// # Errors
    ///
    /// The file of the map cannot be read.
    pub fn load(file: &str, read: ReadFile, findings: &mut Vec<Finding>) -> std::io::Result<LoadedMap> {
        let text = read(file)?;
        let mut source = Source::toml(file, &text, findings);
        let map: CellMap = source.read(findings);
        let mut agreements = BTreeMap::new();
        for (name, cell) in &map.cells {
            for (i, part) in cell.members.iter().enumerate() {
                let Some(named) = part.agreement.as_ref().map(|a| resolve_path(file, a)) else { continue };
                if agreements.contains_key(&named) {
                    continue;
                }
                match read(&named) {
                    Ok(text) => {
                        let mut s = Source::toml(&named, &text, findings);
                        let agreement = s.read(findings);
                        agreements.insert(named, (s, agreement));
                    }
                    Err(e) => {
                        let key = format!("cells.{name}.members[{i}].agreement");
                        let wrong = format!("'{named}' cannot be read: {e}");
                        findings.push(source.finding(
                            "LB0001",
                            &key,
                            wrong,
                            "name a file that exists; paths are relative to the folder of the map",
                        ));
                    }
                }
            }
        }
        Ok(LoadedMap { source, map, agreements })
    }

    /// The texts of all files by path, for rendering findings.
    pub fn texts(&self) -> BTreeMap<String, String> {
        let own = (self.source.file.clone(), self.source.text.clone());
        let more = self.agreements.iter().map(|(f, (s, _))| (f.clone(), s.text.clone()));
        std::iter::once(own).chain(more).collect()
    }

    /// Checks the map and its agreements; `in_force` is the map that it replaces, if there is one.
    pub fn check(&self, in_force: Option<&LoadedMap>) -> Vec<Finding> {
        let (s, m) = (&self.source, &self.map);
        let mut findings = Vec::new();
        check_required(s, "map", &m.map, "set the name of the map", &mut findings);
        check_required(s, "version", &m.version, "set the version of the map: version = 1", &mut findings);
        if m.cells.is_empty() && !s.is_unreadable("cells") {
            findings.push(s.finding(
                "LB0006",
                "cells",
                "no cell is defined",
                "add a table such as [cells.large]",
            ));
        }
        self.check_dispatchers(&mut findings);
        for (name, cell) in &m.cells {
            self.check_cell(name, cell, &mut findings);
        }
        let tenants = m.cells.iter().flat_map(|(name, c)| {
            c.tenants.iter().enumerate().map(move |(i, t)| (format!("cells.{name}.tenants[{i}]"), t))
        });
        check_duplicates(s, "LB0801", "tenant", tenants, &mut findings);
        if !m.cells.is_empty() && m.cells.values().all(|c| c.weight <= 0.0) {
            let wrong = "no cell takes the tenants that no cell names";
            findings.push(s.finding("LB0808", "cells", wrong, "set a weight over 0 for at least one cell"));
        }
        self.check_shares(&mut findings);
        if let Some(in_force) = in_force {
            self.check_successor(in_force, &mut findings);
        }
        findings.sort_by_key(|f| (f.place.line, f.code));
        findings
    }

    fn check_dispatchers(&self, findings: &mut Vec<Finding>) {
        let (s, m) = (&self.source, &self.map);
        let mut all: Vec<(String, Address)> = Vec::new();
        for (name, d) in &m.dispatchers {
            let key = |key: &str| format!("dispatchers.{name}.{key}");
            check_required(s, &key("peer"), &d.peer, "set the address for peers", findings);
            for (key, address) in [(key("peer"), d.peer), (key("resp"), d.resp), (key("mqtt"), d.mqtt)] {
                all.extend(address.map(|a| (key, a)));
            }
            if !m.cells.values().any(|c| c.dispatchers.contains(name)) {
                let f = s.finding(
                    "LB0807",
                    &format!("dispatchers.{name}"),
                    format!("the dispatcher '{name}' belongs to no cell"),
                    "add it to a cell, or remove it",
                );
                findings.push(as_warning(f));
            }
        }
        check_duplicates(s, "LB0103", "address", all.iter().map(|(k, a)| (k.clone(), a)), findings);
    }

    fn check_cell(&self, name: &Name, cell: &Cell, findings: &mut Vec<Finding>) {
        let s = &self.source;
        let key = |key: &str| format!("cells.{name}.{key}");
        check_range(s, &key("weight"), cell.weight, 0.0, 1_000.0, findings);
        if cell.dispatchers.is_empty() && !s.is_unreadable(&key("dispatchers")) {
            let wrong = format!("the cell '{name}' has no dispatcher");
            findings.push(s.finding(
                "LB0803",
                &format!("cells.{name}"),
                wrong,
                "add one: dispatchers = [\"n1\"]",
            ));
        }
        for (i, d) in cell.dispatchers.iter().enumerate() {
            if !self.map.dispatchers.contains_key(d) && !s.is_unreadable("dispatchers") {
                let wrong = format!("no dispatcher '{d}' is defined");
                let mend = format!("add a table [dispatchers.{d}], or correct the name");
                findings.push(s.finding("LB0806", &format!("{}[{i}]", key("dispatchers")), wrong, mend));
            }
        }
        let used: BTreeSet<&Name> = cell
            .members
            .iter()
            .enumerate()
            .flat_map(|(i, p)| self.check_part(name, i, p, findings))
            .collect();
        if used.is_empty() && !s.is_unreadable(&key("members")) {
            let wrong = format!("the cell '{name}' has no endpoint to deliver to");
            findings.push(s.finding(
                "LB0804",
                &format!("cells.{name}"),
                wrong,
                format!("add a [[cells.{name}.members]] table"),
            ));
        }
    }

    /// Checks a cell's share of a destination, and returns the endpoints that the cell may use.
    fn check_part<'a>(
        &'a self,
        name: &Name,
        i: usize,
        p: &'a Part,
        findings: &mut Vec<Finding>,
    ) -> Vec<&'a Name> {
        let s = &self.source;
        let key = |key: &str| format!("cells.{name}.members[{i}].{key}");
        check_required(
            s,
            &key("agreement"),
            &p.agreement,
            "set the path of the destination's agreement",
            findings,
        );
        let file = p.agreement.as_ref().map(|a| resolve_path(&s.file, a));
        let Some((terms, agreement)) = file.and_then(|f| self.agreements.get(&f)) else { return Vec::new() };
        if let Some(limit) = agreement.limit {
            check_required(
                s,
                &key("share"),
                &p.share,
                &format!("set the cell's share of the limit of {limit}"),
                findings,
            );
            if p.share.is_some_and(|share| share.of_calls(limit.calls) == 0) {
                let f = s.finding(
                    "LB0403",
                    &key("share"),
                    format!("this share of {limit} is less than one call"),
                    "use a larger share",
                );
                findings.push(with_related(f, terms.place("limit"), "the destination's limit"));
            }
        }
        let known: Vec<&Name> = agreement.endpoints.iter().filter_map(|e| e.id.as_ref()).collect();
        let Some(wanted) = &p.endpoints else { return known };
        for (n, id) in wanted.iter().enumerate().filter(|(_, id)| !known.contains(id)) {
            let f = s.finding(
                "LB0205",
                &format!("{}[{n}]", key("endpoints")),
                format!("the destination has no endpoint '{id}'"),
                "use an id from its list",
            );
            findings.push(with_related(f, terms.place("endpoints"), "the destination's endpoints"));
        }
        wanted.iter().filter(|id| known.contains(id)).collect()
    }

    /// Reports shares of all cells that add up to more than a destination's limit.
    fn check_shares(&self, findings: &mut Vec<Finding>) {
        let s = &self.source;
        for (file, (terms, agreement)) in &self.agreements {
            let Some(limit) = agreement.limit else { continue };
            let parts = self
                .map
                .cells
                .iter()
                .flat_map(|(name, c)| c.members.iter().enumerate().map(move |(i, p)| (name, i, p)));
            let parts: Vec<_> = parts
                .filter(|(_, _, p)| p.agreement.as_ref().is_some_and(|a| resolve_path(&s.file, a) == *file))
                .collect();
            let ids = agreement.endpoints.iter().filter_map(|e| e.id.as_ref());
            let units: Vec<Option<&Name>> = match agreement.kind {
                MemberKind::HighVolume => vec![None],
                MemberKind::LowVolume => ids.map(Some).collect(),
            };
            for unit in units {
                let uses_endpoint =
                    |p: &Part| unit.is_none_or(|id| p.endpoints.as_ref().is_none_or(|e| e.contains(id)));
                let of: Vec<_> = parts.iter().filter(|(_, _, p)| uses_endpoint(p)).collect();
                let sum: u64 = of.iter().filter_map(|(_, _, p)| p.share).map(|x| u64::from(x.0)).sum();
                if sum <= u64::from(WHOLE_MILLIONTHS) {
                    continue;
                }
                let names: Vec<String> =
                    of.iter().filter_map(|(n, _, p)| Some(format!("{n} {}", p.share?))).collect();
                let wrong = format!(
                    "the cells claim {}% of the limit of {limit}: {}",
                    sum as f64 / 10_000.0,
                    names.join(", ")
                );
                let Some((name, i, _)) = of.last() else { continue };
                let mut f = s.finding(
                    "LB0805",
                    &format!("cells.{name}.members[{i}].share"),
                    wrong,
                    "reduce the shares, so that the sum is 100% at most",
                );
                for (name, i, p) in &of[..of.len() - 1] {
                    let label = format!("{name}: {}", p.share.map_or(String::new(), |x| x.to_string()));
                    f = with_related(f, s.place(&format!("cells.{name}.members[{i}].share")), label);
                }
                findings.push(with_related(f, terms.place("limit"), "the destination's limit"));
                break;
            }
        }
    }

    /// Checks that the map may replace the one in force: it needs the same name, and a higher version if it
    /// differs.
    fn check_successor(&self, in_force: &LoadedMap, findings: &mut Vec<Finding>) {
        let (s, old) = (&self.source, &in_force.map);
        if self.map.map != old.map {
            let f = s.finding(
                "LB0809",
                "map",
                "the map in force has a different name",
                "keep the name; versions are compared only under the same name",
            );
            findings.push(with_related(f, in_force.source.place("map"), "the map in force"));
        }
        let (Some(mine), Some(theirs)) = (self.map.version, old.version) else { return };
        let same = self.map == CellMap { version: self.map.version, ..old.clone() };
        if mine < theirs || (mine == theirs && !same) {
            let wrong = match mine < theirs {
                true => format!("version {mine} is older than {theirs}, which is in force"),
                false => format!("version {mine} is in force with different content"),
            };
            let f = s.finding(
                "LB0809",
                "version",
                wrong,
                format!("set version = {} after merging what has changed since", theirs + 1),
            );
            findings.push(with_related(f, in_force.source.place("version"), "the map in force"));
        }
    }
}
