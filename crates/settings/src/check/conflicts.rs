//! Checks across all files of one machine: what several applications or agreements use, and sums of promises.

use super::with_related;
use crate::agreement::MemberKind;
use crate::finding::{Finding, Place};
use crate::set::{ApplicationFile, FileSet, ResolvedUse};
use crate::units::{Name, WHOLE_MILLIONTHS};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// Reports names, listeners and folders that several applications of one machine use.
pub(super) fn check_application_conflicts(set: &FileSet, findings: &mut Vec<Finding>) {
    let mut names: HashMap<&Name, &ApplicationFile> = HashMap::new();
    let mut listeners: BTreeMap<u16, Vec<(SocketAddr, &ApplicationFile, &str)>> = BTreeMap::new();
    let mut folders: BTreeMap<String, &ApplicationFile> = BTreeMap::new();
    let place = |app: &ApplicationFile, key: &str| set.sources[&app.file].place(key);
    let name =
        |app: &ApplicationFile| app.record.application.as_ref().map_or(app.file.clone(), |n| n.0.clone());
    for app in &set.apps {
        let (s, a) = (&set.sources[&app.file], &app.record);
        if let Some(n) = &a.application {
            if let Some(other) = names.get(n) {
                let f = s.finding(
                    "LB0105",
                    "application",
                    format!("the name '{n}' is already used by '{}'", other.file),
                    "use a separate name for each application",
                );
                findings.push(with_related(f, place(other, "application"), "first defined here"));
            } else {
                names.insert(n, app);
            }
        }
        for (key, address) in [("listen.resp", a.listen.resp), ("listen.mqtt", a.listen.mqtt)] {
            let Some(address) = address.map(|a| a.0).filter(|a| a.port() != 0) else { continue };
            let same = |o: &SocketAddr| {
                o.ip() == address.ip() || o.ip().is_unspecified() || address.ip().is_unspecified()
            };
            let others = listeners.entry(address.port()).or_default();
            if let Some((_, other, theirs)) = others.iter().find(|o| same(&o.0) && o.1.file != app.file) {
                let f = s.finding(
                    "LB0104",
                    key,
                    format!("{address} is already used by '{}'", name(other)),
                    "use a separate port for each application",
                );
                findings.push(with_related(f, place(other, theirs), "first defined here"));
            }
            others.push((address, app, key));
        }
        if let Some(path) = a.state.as_ref().filter(|p| !p.is_empty()) {
            let path = crate::set::resolve_path("", path);
            let nested = |o: &str| path.strip_prefix(o).is_some_and(|r| r.is_empty() || r.starts_with('/'));
            let above = path.match_indices('/').map(|m| &path[..m.0]).chain([path.as_str()]);
            // Other folders may sort between this one and those inside it: `a`, `a-b`, `a/c`.
            let inside = format!("{path}/");
            let below = folders.range(inside.clone()..).next().filter(|(o, _)| o.starts_with(&inside));
            let other = above.filter(|p| nested(p)).find_map(|p| folders.get(p)).or(below.map(|b| b.1));
            if let Some(other) = other {
                let f = s.finding(
                    "LB0604",
                    "state",
                    format!("the folder is also that of '{}', or one is inside the other", name(other)),
                    "use a separate folder for each application",
                );
                findings.push(with_related(f, place(other, "state"), "the other folder"));
            }
            folders.insert(path, app);
        }
    }
    let listening: BTreeMap<SocketAddr, (&ApplicationFile, &str)> =
        listeners.values().flatten().map(|(a, app, key)| (*a, (*app, *key))).collect();
    for (file, a) in &set.agreements {
        for (i, e) in a.endpoints.iter().enumerate() {
            let Some((app, key)) = e.address.as_ref().and_then(|t| listening.get(&t.address())) else {
                continue;
            };
            let wrong = format!("the endpoint has the address at which '{}' listens", name(app));
            let f = set.sources[file].finding(
                "LB0107",
                &format!("endpoints[{i}].address"),
                wrong,
                "a dispatcher must not deliver to a dispatcher; correct one of the addresses",
            );
            findings.push(with_related(f, place(app, key), "the listener"));
        }
    }
}

/// Reports names, numbers, ids and addresses that several agreements use.
pub(super) fn check_agreement_conflicts(set: &FileSet, findings: &mut Vec<Finding>) {
    let mut names: HashMap<&Name, &str> = HashMap::new();
    let mut numbers: HashMap<u64, &str> = HashMap::new();
    let mut ids: HashMap<&Name, (&str, usize)> = HashMap::new();
    let mut addresses: HashMap<String, (&str, usize)> = HashMap::new();
    for (file, a) in &set.agreements {
        let s = &set.sources[file];
        if let Some(other) = a.member.as_ref().and_then(|n| names.insert(n, file)) {
            let f = s.finding(
                "LB0106",
                "member",
                "another agreement is for the same destination",
                "keep one agreement for each destination",
            );
            findings.push(with_related(f, set.sources[other].place("member"), "the other one"));
        }
        if let Some(other) = a.destination.and_then(|n| numbers.insert(n, file)) {
            let f = s.finding(
                "LB0106",
                "destination",
                "another destination has the same number",
                "use a separate number for each destination",
            );
            findings.push(with_related(f, set.sources[other].place("destination"), "the other one"));
        }
        for (i, e) in a.endpoints.iter().enumerate() {
            let in_other_file = |old: &Option<(&str, usize)>| old.is_some_and(|o| o.0 != file);
            if let Some((other, n)) =
                e.id.as_ref().and_then(|id| ids.insert(id, (file, i))).filter(|o| in_other_file(&Some(*o)))
            {
                let f = s.finding(
                    "LB0108",
                    &format!("endpoints[{i}].id"),
                    "another destination has an endpoint with this id",
                    "endpoint ids are unique over all destinations; use another one",
                );
                findings.push(with_related(
                    f,
                    set.sources[other].place(&format!("endpoints[{n}].id")),
                    "the other one",
                ));
            }
            let address = e.address.as_ref().map(|t| t.to_string());
            if let Some((other, n)) =
                address.and_then(|t| addresses.insert(t, (file, i))).filter(|o| in_other_file(&Some(*o)))
            {
                let f = s.finding(
                    "LB0102",
                    &format!("endpoints[{i}].address"),
                    "another destination has an endpoint at this address",
                    "correct one of the two addresses",
                );
                findings.push(with_related(
                    f,
                    set.sources[other].place(&format!("endpoints[{n}].address")),
                    "the other one",
                ));
            }
        }
    }
}

/// Reports promises that add up to more than a destination's limit, or more than the connections that an
/// endpoint takes.
pub(super) fn check_total_promises(set: &FileSet, findings: &mut Vec<Finding>) {
    let mut by_agreement: BTreeMap<&str, Vec<ResolvedUse>> = BTreeMap::new();
    for app in &set.apps {
        set.resolved_uses(app)
            .for_each(|u| by_agreement.entry(&u.agreement_source.file).or_default().push(u));
    }
    for all in by_agreement.values() {
        let (agreement, agreement_source) = (all[0].agreement, all[0].agreement_source);
        if let Some(limit) = agreement.limit {
            let limit_per_endpoint = agreement.kind == MemberKind::LowVolume;
            let endpoints = agreement.endpoints.iter().filter_map(|e| e.id.as_ref());
            // Where each endpoint has its own limit, an application that does not use the endpoint takes no
            // part of it.
            let units: Vec<Option<&Name>> =
                if limit_per_endpoint { endpoints.map(Some).collect() } else { vec![None] };
            let mut reported: BTreeSet<Vec<(&str, usize)>> = BTreeSet::new();
            for unit in units {
                let users = all.iter().filter(|u| unit.is_none_or(|id| u.uses_endpoint(id)));
                let parts: Vec<(&ResolvedUse, u32)> =
                    users.filter_map(|u| Some((u, u.entry.share?.0))).collect();
                let sum: u64 = parts.iter().map(|p| u64::from(p.1)).sum();
                let user_keys: Vec<(&str, usize)> =
                    parts.iter().map(|p| (p.0.app.file.as_str(), p.0.index)).collect();
                if sum > u64::from(WHOLE_MILLIONTHS) && reported.insert(user_keys) {
                    let what = unit.map_or("'".to_string(), |id| format!("endpoint '{id}' of '"));
                    let wrong = format!(
                        "the applications claim {}% of the limit ({limit}) of {what}{}'",
                        sum as f64 / 10_000.0,
                        all[0].destination_name()
                    );
                    let part = |u: &ResolvedUse| {
                        format!(
                            "{} of {limit}, {} calls",
                            u.entry.share.map_or(String::new(), |s| s.to_string()),
                            u.entry.share.map_or(0, |s| s.of_calls(limit.calls))
                        )
                    };
                    report_excess(
                        "LB0401",
                        "share",
                        wrong,
                        &parts,
                        part,
                        agreement_source.place("limit"),
                        findings,
                    );
                }
            }
        }
        let mut reported: BTreeSet<(Vec<(&str, usize)>, u32)> = BTreeSet::new();
        for (i, e) in agreement.endpoints.iter().enumerate() {
            let Some((id, takes)) = e.id.as_ref().zip(e.connections.or(agreement.connections)) else {
                continue;
            };
            let users = all.iter().filter(|u| u.uses_endpoint(id));
            let parts: Vec<(&ResolvedUse, u32)> =
                users.filter_map(|u| Some((u, u.entry.connections?))).collect();
            let sum: u64 = parts.iter().map(|p| u64::from(p.1)).sum();
            let user_keys: Vec<(&str, usize)> =
                parts.iter().map(|p| (p.0.app.file.as_str(), p.0.index)).collect();
            if sum > u64::from(takes) && reported.insert((user_keys, takes)) {
                let wrong = format!(
                    "the applications claim {sum} connections to '{id}' of '{}', which takes {takes}",
                    all[0].destination_name()
                );
                let path = if e.connections.is_some() {
                    format!("endpoints[{i}].connections")
                } else {
                    "connections".into()
                };
                let part = |u: &ResolvedUse| format!("{} connections", u.entry.connections.unwrap_or(0));
                report_excess(
                    "LB0402",
                    "connections",
                    wrong,
                    &parts,
                    part,
                    agreement_source.place(&path),
                    findings,
                );
            }
        }
    }
}

/// Reports a sum of promises over a limit, at the last of them; the others and the limit are related places.
fn report_excess(
    code: &'static str,
    key: &str,
    wrong: String,
    parts: &[(&ResolvedUse, u32)],
    part: impl Fn(&ResolvedUse) -> String,
    limit: Place,
    findings: &mut Vec<Finding>,
) {
    let Some((last, others)) = parts.split_last() else { return };
    let names: Vec<String> =
        parts.iter().map(|(u, _)| format!("{} {}", u.application_name(), part(u))).collect();
    let wrong = format!("{wrong}: {}", names.join("; "));
    let mut f = last.0.source.finding(
        code,
        &last.0.key_path(key),
        wrong,
        "agree on smaller values, so that the sum stays within the limit",
    );
    for (u, _) in others {
        f = with_related(
            f,
            u.source.place(&u.key_path(key)),
            format!("{}: {}", u.application_name(), part(u)),
        );
    }
    findings.push(with_related(f, limit, "the destination's limit"));
}
