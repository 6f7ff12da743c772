//! Renders an application and its agreements as the JSON that its dispatcher reads.

use crate::agreement::{Area as DropArea, MemberKind, Repeats};
use crate::application::{LogFormat, LogLevel};
use crate::check::effective_repeats;
use crate::served::*;
use crate::set::{ApplicationFile, FileSet, ResolvedUse};
use crate::units::{Name, Span, WHOLE_MILLIONTHS};
use std::collections::BTreeMap;

/// The value of `effect` in the JSON.
fn effect_name(r: Repeats) -> String {
    match r {
        Repeats::Forbidden => "at_most_once",
        Repeats::Dropped => "deduplicated",
        Repeats::Harmless => "idempotent",
    }
    .into()
}

/// The endpoint at index `i` of the agreement, as an entry of the endpoint list; none if a required key is
/// missing.
fn listed_endpoint(u: &ResolvedUse, i: usize) -> Option<ListedEndpoint> {
    let e = &u.agreement.endpoints[i];
    let id = e.id.as_ref()?;
    Some(ListedEndpoint {
        uid: id.0.clone(),
        endpoint: e.address.as_ref()?.to_string(),
        az: e.building.as_ref()?.0.clone(),
        model: u.agreement.kind.name().into(),
        pod_group: u.agreement.destination?,
        state: "in_service".into(),
        ..ListedEndpoint::default()
    })
}

/// The limits that the application promises to keep at a destination, summed over all its uses of the
/// destination.
pub fn promised_limits(all: &[ResolvedUse]) -> Member {
    let (u, a) = (&all[0], all[0].agreement);
    // The share of each use is rounded down by itself, as in the check.
    let calls = a.limit.map(|l| all.iter().filter_map(|u| u.entry.share).map(|s| s.of_calls(l.calls)).sum());
    let accepts = a.classes.iter().map(|(name, c)| {
        let window = c.dropped_for.map(|s| s.0);
        (name.0.clone(), Accepts { effect: effect_name(c.repeats.unwrap_or(Repeats::Forbidden)), window })
    });
    Member {
        name: u.destination_name().into(),
        dest: a.destination.unwrap_or(0),
        calls,
        span: a.limit.map_or(0.0, |l| l.span.0),
        travel: a.travel.0,
        each: a.kind == MemberKind::LowVolume,
        connections: all.iter().map(|u| u.entry.connections).sum(),
        accepts: accepts.collect(),
    }
}

/// The cell map in the form that the dispatcher reads.
fn mesh(app: &ApplicationFile) -> Option<Mesh> {
    let (own, map) = (app.record.mesh.as_ref()?, &app.map.as_ref()?.map);
    let text = |a: &Option<crate::units::Address>| a.as_ref().map(|a| a.to_string());
    let peer = |(name, d): (&Name, &crate::cellmap::Dispatcher)| MapDispatcher {
        name: name.0.clone(),
        peer: text(&d.peer).unwrap_or_default(),
        resp: text(&d.resp),
        mqtt: text(&d.mqtt),
    };
    let names = |all: &[Name]| all.iter().map(|n| n.0.clone()).collect();
    let area = |(name, c): (&Name, &crate::cellmap::Cell)| MapCell {
        name: name.0.clone(),
        weight: c.weight,
        dispatchers: names(&c.dispatchers),
        tenants: names(&c.tenants),
    };
    Some(Mesh {
        dispatcher: own.dispatcher.as_ref()?.0.clone(),
        map: map.map.as_ref().map_or(String::new(), |n| n.0.clone()),
        version: map.version.unwrap_or(0),
        dispatchers: map.dispatchers.iter().map(peer).collect(),
        cells: map.cells.iter().map(area).collect(),
    })
}

/// The JSON for an application whose files have passed the check.
pub fn render(set: &FileSet, app: &ApplicationFile) -> DispatcherConfig {
    let a = &app.record;
    let mut by_agreement: BTreeMap<&str, Vec<ResolvedUse>> = BTreeMap::new();
    let mut order: Vec<&str> = Vec::new();
    for u in set.resolved_uses(app) {
        if !by_agreement.contains_key(u.agreement_source.file.as_str()) {
            order.push(&u.agreement_source.file);
        }
        by_agreement.entry(&u.agreement_source.file).or_default().push(u);
    }
    let groups: Vec<&Vec<ResolvedUse>> = order.iter().map(|f| &by_agreement[f]).collect();
    let mut zones: Vec<String> = a.building.iter().map(|b| b.0.clone()).collect();
    let mut kinds: Vec<MemberKind> = Vec::new();
    let mut targets = Vec::new();
    for all in &groups {
        let terms = all[0].agreement;
        let more: Vec<String> =
            terms.buildings.iter().map(|b| b.0.clone()).filter(|b| !zones.contains(b)).collect();
        zones.extend(more);
        if !kinds.contains(&terms.kind) {
            kinds.push(terms.kind);
        }
        for (i, e) in terms.endpoints.iter().enumerate() {
            let used = |u: &&ResolvedUse| e.id.as_ref().is_some_and(|id| u.uses_endpoint(id));
            targets.extend(all.iter().find(used).and_then(|u| listed_endpoint(u, i)));
        }
    }
    let mut once = Vec::new();
    let mut classes = Vec::new();
    for (name, c) in &a.classes {
        let e = effective_repeats(set, app, name, c);
        if e.repeats == Repeats::Forbidden {
            once.push(AtMostOnceClass { class: name.0.clone(), remembered: c.remembered.0 });
        }
        classes.push(Class {
            name: name.0.clone(),
            effect: effect_name(e.repeats),
            group: if e.area == DropArea::Building { "zone" } else { "all" }.into(),
            promise: Some(c.wanted.0),
            deadline: c.deadline.0,
            window: if e.repeats == Repeats::Dropped { e.span.0 } else { 0.0 },
            in_order: c.ordered,
            worth: c.worth,
            late_worth: c.late_worth,
            aim_stretch: None,
        });
    }
    let shortest = |f: fn(&ResolvedUse) -> Span| groups.iter().map(|g| f(&g[0]).0).fold(f64::MAX, f64::min);
    let longest = |f: fn(&ResolvedUse) -> Span| groups.iter().map(|g| f(&g[0]).0).fold(0.0, f64::max);
    let probes = a.work.probes && groups.iter().all(|g| g[0].agreement.probes);
    // Other applications have the remaining shares. The decision module gets the number of dispatchers of
    // this size that the limit has room for, 64 at most.
    let parts = groups.iter().flat_map(|g| g.iter()).filter_map(|u| u.entry.share);
    let dispatchers = parts
        .map(|s| f64::from(WHOLE_MILLIONTHS) / f64::from(s.0.max(1)))
        .fold(1.0, f64::max)
        .round()
        .min(64.0);
    let tenant = |(name, t): (&Name, &crate::application::Tenant)| Tenant {
        name: name.0.clone(),
        quota_per_s: t.share.map_or(1e6, |l| l.per_second()),
    };
    let cell = |(name, c): (&Name, &crate::application::Cell)| Cell {
        name: name.0.clone(),
        weight: c.weight,
        tenants: c.tenants.iter().map(|t| t.0.clone()).collect(),
    };
    let log = Log {
        format: if a.log.format == LogFormat::Json { "json" } else { "text" }.into(),
        level: match a.log.level {
            LogLevel::Error => "error",
            LogLevel::Warn => "warn",
            LogLevel::Info => "info",
            LogLevel::Debug => "debug",
        }
        .into(),
    };
    DispatcherConfig {
        name: a.application.as_ref().map_or(String::new(), |n| n.0.clone()),
        listen: a.listen.resp.map(|l| l.to_string()),
        discovery: a.discovery.map(|d| d.to_string()),
        notices: a.notices.clone(),
        seed: None,
        state: a.state.clone(),
        limits: Limits {
            cores: None,
            sockets: a.process.descriptors,
            disk_mb: a.process.disk.0 as f64 / 1e6,
            memory_mb: a.process.memory.0 as f64 / 1e6,
        },
        known: EndpointList { rev: 0, all: true, targets },
        settings: Settings {
            balancers: dispatchers,
            classes,
            ceilings: Ceilings {
                probes,
                max_retry_after: longest(|u| u.agreement.wait_most).max(1_000.0),
                connect_timeout: a.work.connect_timeout.0,
                keepalive: a.work.keep_alive.0,
                max_open: a.work.held,
                most_tries: a.work.attempts,
                ..Ceilings::default()
            },
            guarantees: Guarantees {
                drain_grace: shortest(|u| u.agreement.drain).min(2_000.0),
                cold: longest(|u| u.agreement.cold),
                // The decision module has one value for all destinations, so the lowest one is used.
                cold_from: groups
                    .iter()
                    .map(|g| g[0].agreement.cold_from.0)
                    .min()
                    .map_or(0.22, |c| f64::from(c) / f64::from(WHOLE_MILLIONTHS)),
                ..Guarantees::default()
            },
            family_info: Family {
                slots: a.work.slots,
                kind_apart: kinds.iter().map(|k| *k == MemberKind::LowVolume).collect(),
                ..Family::default()
            },
            kinds: kinds.iter().map(|k| k.name().to_string()).collect(),
            zones,
            zone: a.building.as_ref().map_or(String::new(), |b| b.0.clone()),
            tenants: a.tenants.iter().map(tenant).collect(),
            over_share_worth: Some(0.2),
            ..Settings::default()
        },
        sidecar: Some(Sidecar {
            members: groups.iter().map(|g| promised_limits(g)).collect(),
            once,
            cells: a.cells.iter().map(cell).collect(),
            mesh: mesh(app),
            mqtt: a.listen.mqtt.map(|m| Mqtt { listen: m.to_string(), sessions: a.listen.mqtt_sessions }),
            log: Some(log),
        }),
    }
}
