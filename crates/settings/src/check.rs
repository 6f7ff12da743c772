//! The checks that need more than one value: of one file, of an application and its agreements, and of all files of one
//! machine together. No I/O: what is on the disk is asked of a [`Folders`].

use crate::agreement::{Agreement, Area, MemberKind, Repeats};
use crate::application::{Application, Class};
use crate::finding::{Finding, Place, Severity};
use crate::set::{AppFile, Set, Used};
use crate::source::Source;
use crate::units::{Name, Share, Size, Span, WHOLE};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// Rules of the project: a drain has ended after this.
pub const DRAIN_MOST: Span = Span(2_000.0);
/// Descriptors that the process needs itself.
pub const DESCRIPTORS_OWN: u32 = 40;
/// Memory that the process needs before it holds anything.
pub const MEMORY_OWN: u64 = 8 << 20;
/// Memory that a held message needs beside twice its body, and a connection.
pub const MEMORY_MESSAGE: u64 = 1_024;
/// See [`MEMORY_MESSAGE`].
pub const MEMORY_CONNECTION: u64 = 4 << 10;
/// Part of the folder that held messages may fill, in hundredths, and what each needs beside its body.
pub const DISK_LIVE: u64 = 36;
/// See [`DISK_LIVE`].
pub const DISK_MESSAGE: u64 = 512;
/// The least span between two probes of what shares a limit.
pub const PROBE_GAP: Span = Span(500.0);
/// Idle connections are closed so long before the endpoint's machine would.
pub const IDLE_MARGIN: Span = Span(600.0);

/// What is known of a folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Folder {
    /// It is there and can be written to.
    Good,
    /// It is not there, and can be made.
    Missing,
    /// It is not there and cannot be made, or it is no folder; why.
    Impossible(String),
    /// It cannot be written to.
    ReadOnly,
    /// Another application's journal is in it.
    Of(String),
}

/// Looks at folders.
pub trait Folders {
    /// What is known of one.
    fn look(&self, path: &str) -> Folder;
}

/// All folders are good: for files that are meant for another machine.
#[derive(Debug, Clone, Copy)]
pub struct Elsewhere;

impl Folders for Elsewhere {
    fn look(&self, _: &str) -> Folder {
        Folder::Good
    }
}

pub(crate) fn warn(f: Finding) -> Finding {
    Finding { severity: Severity::Warning, ..f }
}

pub(crate) fn with(mut f: Finding, place: Place, says: impl Into<String>) -> Finding {
    f.with.push(Place { says: says.into(), ..place });
    f
}

/// Checks all files together.
pub fn check(set: &Set, folders: &dyn Folders) -> Vec<Finding> {
    let mut found = Vec::new();
    for (file, a) in &set.agreements {
        agreement(&set.sources[file], a, &mut found);
    }
    for app in &set.apps {
        let source = &set.sources[&app.file];
        application(source, &app.record, &mut found);
        classes(set, app, &mut found);
        uses(set, app, &mut found);
        amounts(set, app, &mut found);
        mesh(source, app, &mut found);
        if let Some(path) = app.record.state.as_ref().filter(|p| !p.is_empty()) {
            let own = app.record.application.as_ref().map_or("", |n| n);
            folder(source, path, own, folders, &mut found);
        }
    }
    clashes(set, &mut found);
    members(set, &mut found);
    promises(set, &mut found);
    found.sort_by(|a, b| (&a.place.file, a.place.line, a.code).cmp(&(&b.place.file, b.place.line, b.code)));
    found.dedup();
    found
}

/// What must be there.
pub(crate) fn needed<T>(
    source: &Source,
    path: &str,
    value: &Option<T>,
    mend: &str,
    found: &mut Vec<Finding>,
) {
    if value.is_none() && !source.is_spoilt(path) {
        found.push(source.fault("LB0006", path, format!("'{path}' is missing"), mend));
    }
}

/// What must lie between two bounds.
pub(crate) fn between<T: PartialOrd + std::fmt::Display>(
    s: &Source,
    path: &str,
    v: T,
    low: T,
    high: T,
    found: &mut Vec<Finding>,
) {
    if !(low <= v && v <= high) {
        let wrong = format!("'{path}' is {v}");
        found.push(s.fault("LB0007", path, wrong, format!("it may be {low} to {high}")));
    }
}

/// Values that are there twice.
pub(crate) fn twice<'a, T: Ord + std::fmt::Display + 'a>(
    source: &Source,
    code: &'static str,
    what: &str,
    values: impl Iterator<Item = (String, &'a T)>,
    found: &mut Vec<Finding>,
) {
    let mut first: BTreeMap<&T, String> = BTreeMap::new();
    for (path, value) in values {
        if let Some(old) = first.get(value) {
            let wrong = format!("the {what} '{value}' is there twice");
            let f = source.fault(code, &path, wrong, "leave one out, or give it another");
            found.push(with(f, source.place(old), "first here"));
        } else {
            first.insert(value, path);
        }
    }
}

fn listed<'a>(list: &'a [Name], path: &'a str) -> impl Iterator<Item = (String, &'a Name)> + 'a {
    list.iter().enumerate().map(move |(i, n)| (format!("{path}[{i}]"), n))
}

fn agreement(s: &Source, a: &Agreement, found: &mut Vec<Finding>) {
    needed(s, "member", &a.member, "name the member: member = \"sotrans-dakar\"", found);
    needed(s, "destination", &a.destination, "give its number: destination = 7", found);
    if a.destination.is_some_and(|d| d > (1 << 53)) {
        found.push(s.fault(
            "LB0007",
            "destination",
            "the number is too large",
            "it may be 0 to 9007199254740992",
        ));
    }
    if a.drain > DRAIN_MOST {
        let wrong = format!("the drain time of {} is over {DRAIN_MOST}", a.drain);
        let mend = "new work to a draining endpoint must stop within 2s; write drain = \"2s\" or less";
        found.push(s.fault("LB0302", "drain", wrong, mend));
    }
    between(s, "cold", a.cold, Span(0.0), Span(600_000.0), found);
    between(s, "cold-from", a.cold_from, Share(10_000), Share(WHOLE), found);
    between(s, "travel", a.travel, Span(0.0), Span(10_000.0), found);
    between(s, "wait-most", a.wait_most, Span(0.0), Span(3_600_000.0), found);
    if let Some(limit) = a.limit {
        between(s, "limit", limit.span, Span(10.0), Span(7.0 * 86_400_000.0), found);
    }
    if a.connections == Some(0) {
        found.push(s.fault("LB0007", "connections", "'connections' is 0", "an endpoint takes 1 at least"));
    }
    if a.endpoints.is_empty() && !s.is_spoilt("endpoints") {
        found.push(s.fault("LB0006", "endpoints", "no endpoint is listed", "add an [[endpoints]] table"));
    }
    twice(s, "LB0101", "building", listed(&a.buildings, "buildings"), found);
    let mut ids: BTreeMap<&Name, (usize, Option<&Name>)> = BTreeMap::new();
    for (i, e) in a.endpoints.iter().enumerate() {
        let key = |key: &str| format!("endpoints[{i}].{key}");
        needed(s, &key("id"), &e.id, "give the endpoint an id", found);
        needed(
            s,
            &key("address"),
            &e.address,
            "say where it is reached: address = \"127.0.0.1:9101\"",
            found,
        );
        needed(s, &key("building"), &e.building, "say in which building it stands", found);
        if let Some(b) = e.building.as_ref().filter(|b| !a.buildings.contains(b) && !s.is_spoilt("buildings"))
        {
            let wrong = format!("the building '{b}' is not one of the member's");
            let f = s.fault(
                "LB0201",
                &key("building"),
                wrong,
                "add it to 'buildings', or name one that is there",
            );
            found.push(if s.has("buildings") {
                with(f, s.place("buildings"), "the member's buildings")
            } else {
                f
            });
        }
        if e.connections == Some(0) {
            found.push(s.fault(
                "LB0007",
                &key("connections"),
                "'connections' is 0",
                "an endpoint takes 1 at least",
            ));
        }
        if let Some(id) = &e.id {
            if let Some((first, building)) = ids.get(id) {
                let (code, wrong) = match *building == e.building.as_ref() {
                    true => ("LB0101", format!("the endpoint '{id}' is there twice")),
                    false => ("LB0207", format!("the endpoint '{id}' is said to stand in two buildings")),
                };
                let f = s.fault(
                    code,
                    &key("id"),
                    wrong,
                    "an endpoint stands in one building; give the other an id of its own",
                );
                found.push(with(f, s.place(&format!("endpoints[{first}].building")), "first here"));
            } else {
                ids.insert(id, (i, e.building.as_ref()));
            }
        }
    }
    let addresses = a.endpoints.iter().enumerate();
    let addresses =
        addresses.filter_map(|(i, e)| Some((format!("endpoints[{i}].address"), e.address.as_ref()?)));
    twice(s, "LB0102", "address", addresses, found);
    if a.classes.is_empty() && !s.is_spoilt("classes") {
        found.push(s.fault(
            "LB0006",
            "classes",
            "no class is accepted",
            "add a table such as [classes.claim-status]",
        ));
    }
    for (name, c) in &a.classes {
        let key = format!("classes.{name}");
        needed(
            s,
            &format!("{key}.repeats"),
            &c.repeats,
            "say what a repeat does: \"forbidden\", \"dropped\" or \"harmless\"",
            found,
        );
        if c.repeats == Some(Repeats::Dropped) {
            let mend = "say for how long: dropped-for = \"20s\"";
            needed(s, &format!("{key}.dropped-for"), &c.dropped_for, mend, found);
        }
        dropping(s, &key, c.repeats, c.dropped_in.is_some(), c.dropped_for, found);
    }
}

/// How and where repeats are dropped is said where they are dropped, and only there.
fn dropping(
    s: &Source,
    key: &str,
    repeats: Option<Repeats>,
    area: bool,
    span: Option<Span>,
    found: &mut Vec<Finding>,
) {
    match repeats {
        Some(Repeats::Dropped) => {}
        Some(_) if area || span.is_some() => {
            let path = format!("{key}.{}", if area { "dropped-in" } else { "dropped-for" });
            let wrong = format!("'{path}' is set, and repeats are not dropped");
            found.push(s.fault("LB0307", &path, wrong, "leave it out, or write repeats = \"dropped\""));
        }
        _ => {}
    }
}

fn application(s: &Source, a: &Application, found: &mut Vec<Finding>) {
    needed(s, "application", &a.application, "name the application", found);
    needed(s, "state", &a.state, "name a folder that outlasts the process", found);
    needed(s, "building", &a.building, "say in which building it stands", found);
    needed(s, "listen.resp", &a.listen.resp, "say where clients connect: resp = \"127.0.0.1:6379\"", found);
    if a.state.as_ref().is_some_and(|p| p.is_empty()) {
        found.push(s.fault("LB0007", "state", "the folder has no name", "write a path"));
    }
    between(s, "listen.mqtt-sessions", a.listen.mqtt_sessions, 1, 512, found);
    if a.classes.is_empty() && !s.is_spoilt("classes") {
        found.push(s.fault(
            "LB0006",
            "classes",
            "there is no class of messages",
            "add a table such as [classes.claim-status]",
        ));
    }
    if a.uses.is_empty() && !s.is_spoilt("uses") {
        found.push(s.fault(
            "LB0006",
            "uses",
            "no member is used",
            "add a [[uses]] table that names an agreement",
        ));
    }
    let (ms, hour) = (Span(1.0), Span(3_600_000.0));
    between(s, "work.slots", a.work.slots, 1, 100_000, found);
    between(s, "work.held", a.work.held, 1, 1_000_000, found);
    between(s, "work.message", a.work.message, Size(1), Size(64 << 10), found);
    between(s, "work.attempts", a.work.attempts, 1, 8, found);
    between(s, "work.connect-timeout", a.work.connect_timeout, ms, Span(60_000.0), found);
    between(s, "work.keep-alive", a.work.keep_alive, ms, hour, found);
    for (name, c) in &a.classes {
        let key = |key: &str| format!("classes.{name}.{key}");
        between(s, &key("wanted"), c.wanted, ms, hour, found);
        between(s, &key("deadline"), c.deadline, ms, hour, found);
        between(s, &key("late-worth"), c.late_worth, 0.0, 1.0, found);
        between(s, &key("worth"), c.worth, 0.001, 1_000.0, found);
        between(s, &key("remembered"), c.remembered, ms, Span(7.0 * 86_400_000.0), found);
        if c.wanted > c.deadline {
            let wrong = format!("'{name}' is wanted within {} and given up after {}", c.wanted, c.deadline);
            let f =
                s.fault("LB0306", &key("wanted"), wrong, "let 'deadline' be as long as 'wanted' or longer");
            found.push(with(f, s.place(&key("deadline")), "the deadline"));
        }
        if a.work.connect_timeout >= c.deadline {
            let wrong = format!(
                "a connection may take {}, and '{name}' is given up after {}",
                a.work.connect_timeout, c.deadline
            );
            let f = s.fault(
                "LB0501",
                "work.connect-timeout",
                wrong,
                "make 'connect-timeout' shorter than every deadline",
            );
            found.push(with(f, s.place(&key("deadline")), "the deadline"));
        }
        dropping(s, &format!("classes.{name}"), c.repeats, c.dropped_in.is_some(), c.dropped_for, found);
    }
    if a.work.keep_alive <= IDLE_MARGIN {
        let wrong = format!(
            "idle connections are closed {IDLE_MARGIN} early, so 'keep-alive' of {} keeps none",
            a.work.keep_alive
        );
        found.push(s.fault("LB0502", "work.keep-alive", wrong, "write keep-alive = \"2s\" or longer"));
    }
    cells(s, a, found);
    fronts(s, a, found);
}

/// The map that an application names must have it, and send clients where it listens.
fn mesh(s: &Source, app: &AppFile, found: &mut Vec<Finding>) {
    let Some(mesh) = &app.record.mesh else { return };
    needed(s, "mesh.map", &mesh.map, "name the cell map's file", found);
    needed(s, "mesh.dispatcher", &mesh.dispatcher, "say which of the map's dispatchers this one is", found);
    let (Some(map), Some(me)) = (&app.map, &mesh.dispatcher) else { return };
    found.extend(map.check(None));
    let Some(entry) = map.map.dispatchers.get(me) else {
        if !map.source.is_spoilt("dispatchers") {
            let wrong = format!("the map has no dispatcher '{me}'");
            let mend = format!("name one of the map's, or add [dispatchers.{me}] to it");
            let f = s.fault("LB0810", "mesh.dispatcher", wrong, mend);
            found.push(with(f, map.source.place("dispatchers"), "the map's dispatchers"));
        }
        return;
    };
    let listens =
        [("resp", app.record.listen.resp, entry.resp), ("mqtt", app.record.listen.mqtt, entry.mqtt)];
    for (key, own, told) in listens {
        let (Some(own), Some(told)) = (own, told) else { continue };
        if own != told {
            let wrong = format!("the map sends clients to {told}, and this dispatcher listens at {own}");
            let f = s.fault("LB0811", &format!("listen.{key}"), wrong, "let both be the same");
            found.push(with(f, map.source.place(&format!("dispatchers.{me}.{key}")), "the map's word"));
        }
    }
    if let (Some(peer), Some(resp)) = (entry.peer, app.record.listen.resp.filter(|r| Some(*r) == entry.peer))
    {
        let f = s.fault(
            "LB0103",
            "listen.resp",
            format!("'{resp}' is also where other dispatchers connect"),
            "give each an address of its own",
        );
        found.push(with(f, map.source.place(&format!("dispatchers.{me}.peer")), format!("{peer}")));
    }
}

/// Cells inside the dispatcher: each tenant lives in one, and every part must be worth something.
fn cells(s: &Source, a: &Application, found: &mut Vec<Finding>) {
    let path = |cell: &Name| format!("cells.{cell}");
    let tenants = a.cells.iter().flat_map(|(name, c)| {
        c.tenants.iter().enumerate().map(move |(i, t)| (format!("{}.tenants[{i}]", path(name)), t))
    });
    twice(s, "LB0801", "tenant", tenants.clone(), found);
    for (path, t) in tenants.filter(|(_, t)| !a.tenants.contains_key(*t) && !s.is_spoilt("tenants")) {
        let wrong = format!("the tenant '{t}' is not one of the application's");
        found.push(s.fault(
            "LB0204",
            &path,
            wrong,
            format!("add a table [tenants.{t}], or correct the name"),
        ));
    }
    let sum: f64 = a.cells.values().map(|c| c.weight).sum();
    for (name, c) in &a.cells {
        between(s, &format!("{}.weight", path(name)), c.weight, 0.001, 1_000.0, found);
        let slots = f64::from(a.work.slots) * c.weight / sum;
        if a.cells.len() > 1 && c.weight > 0.0 && slots < 1.0 {
            let wrong = format!("the part of '{name}' is less than one of {} slots", a.work.slots);
            let f = s.fault(
                "LB0802",
                &format!("{}.weight", path(name)),
                wrong,
                "give it a larger weight, or take more slots",
            );
            found.push(with(f, s.place("work.slots"), "the slots"));
        }
    }
}

fn fronts(s: &Source, a: &Application, found: &mut Vec<Finding>) {
    let notices = a.notices.as_ref().filter(|n| *n != "log").map(|n| n.parse::<SocketAddr>());
    if let Some(Err(_)) = notices {
        let wrong =
            format!("'{}' is neither an address with a port nor \"log\"", a.notices.as_deref().unwrap_or(""));
        found.push(s.fault(
            "LB0005",
            "notices",
            wrong,
            "write notices = \"127.0.0.1:8500\" or notices = \"log\"",
        ));
    }
    if a.notices.is_none() && a.discovery.is_none() && !s.is_spoilt("notices") && !s.is_spoilt("discovery") {
        let wrong = "nobody would hear of a message that was taken on and not delivered";
        let mend = "write notices = \"ADDRESS:PORT\" to have such ends sent there, or notices = \"log\"";
        found.push(s.fault("LB0701", "notices", wrong, mend));
    }
    let own = [("listen.resp", a.listen.resp), ("listen.mqtt", a.listen.mqtt), ("discovery", a.discovery)];
    let own = own.into_iter().filter_map(|(k, v)| Some((k, v?.0)));
    let mut all: Vec<(&str, SocketAddr)> = own.collect();
    all.extend(
        notices.and_then(Result::ok).filter(|n| a.discovery.map(|d| d.0) != Some(*n)).map(|n| ("notices", n)),
    );
    for (i, (key, address)) in all.iter().enumerate() {
        // Port 0 is chosen by the system: no two are the same.
        if let Some((other, _)) = all[..i].iter().find(|o| o.1 == *address && address.port() != 0) {
            let wrong = format!("'{key}' is {address}, and so is '{other}'");
            let f = s.fault("LB0103", key, wrong, "give each an address of its own");
            found.push(with(f, s.place(other), "the same address"));
        }
    }
}

/// What a class does with repeats, and where that comes from.
#[derive(Debug, Clone, PartialEq)]
pub struct Effective {
    /// What a repeat does.
    pub repeats: Repeats,
    /// Where it is dropped.
    pub area: Area,
    /// For how long.
    pub span: Span,
    /// Where that was said.
    pub from: Option<Place>,
}

/// What the application says of a class, and where it says nothing the strictest of its members.
pub fn effective(set: &Set, app: &AppFile, name: &Name, class: &Class) -> Effective {
    let own = |key: &str| Some(set.sources[&app.file].place(&format!("classes.{name}.{key}")));
    let mut e =
        Effective { repeats: Repeats::Harmless, area: Area::Member, span: Span(f64::MAX), from: None };
    let mut any = false;
    for u in set.uses(app).filter(|u| accepts(u, name)) {
        let Some(terms) = u.agreement.classes.get(name) else { continue };
        let repeats = terms.repeats.unwrap_or(Repeats::Forbidden);
        if !any || repeats < e.repeats {
            e.from = Some(u.terms.place(&format!("classes.{name}.repeats")));
        }
        e.repeats = if any { e.repeats.min(repeats) } else { repeats };
        if repeats == Repeats::Dropped {
            e.area = e.area.min(terms.dropped_in.unwrap_or(Area::Building));
            e.span = Span(e.span.0.min(terms.dropped_for.map_or(f64::MAX, |s| s.0)));
        }
        any = true;
    }
    if let Some(repeats) = class.repeats {
        (e.repeats, e.from) = (repeats, own("repeats"));
    } else if !any {
        e.repeats = Repeats::Forbidden;
    }
    e.area = class.dropped_in.unwrap_or(e.area);
    e.span = class.dropped_for.unwrap_or(if e.span.0 == f64::MAX { class.deadline } else { e.span });
    e
}

fn accepts(u: &Used, class: &Name) -> bool {
    u.agreement.classes.contains_key(class) && u.used.classes.as_ref().is_none_or(|c| c.contains(class))
}

fn classes(set: &Set, app: &AppFile, found: &mut Vec<Finding>) {
    let s = &set.sources[&app.file];
    for (name, class) in &app.record.classes {
        let key = |key: &str| format!("classes.{name}.{key}");
        let e = effective(set, app, name, class);
        let mut accepted = false;
        for u in set.uses(app).filter(|u| accepts(u, name)) {
            accepted = true;
            let Some(terms) = u.agreement.classes.get(name) else { continue };
            let said = u.terms.place(&format!("classes.{name}.repeats"));
            let theirs = terms.repeats.unwrap_or(Repeats::Forbidden);
            if class.repeats.is_some_and(|ours| ours > theirs) {
                let wrong = format!(
                    "'{name}' may be repeated here, and '{}' says that a repeat is {}",
                    u.member(),
                    word(theirs)
                );
                let mend = format!(
                    "write repeats = \"{}\", or leave it out and have what the members say",
                    word(theirs)
                );
                found.push(with(s.fault("LB0301", &key("repeats"), wrong, mend), said, "the member's word"));
                continue;
            }
            if e.repeats != Repeats::Dropped || theirs != Repeats::Dropped {
                continue;
            }
            let (area, span) = (terms.dropped_in.unwrap_or(Area::Building), terms.dropped_for);
            if class.dropped_in.is_some_and(|ours| ours > area) {
                let wrong = format!(
                    "'{}' drops repeats of '{name}' in the building of the first call only",
                    u.member()
                );
                let f = s.fault("LB0304", &key("dropped-in"), wrong, "write dropped-in = \"building\"");
                found.push(with(f, said.clone(), "the member's word"));
            }
            if let (Some(ours), Some(theirs)) =
                (class.dropped_for, span.filter(|t| class.dropped_for > Some(*t)))
            {
                let wrong =
                    format!("'{}' drops repeats of '{name}' for {theirs}, not for {ours}", u.member());
                let f = s.fault(
                    "LB0304",
                    &key("dropped-for"),
                    wrong,
                    format!("write dropped-for = \"{theirs}\" or less"),
                );
                found.push(with(
                    f,
                    u.terms.place(&format!("classes.{name}.dropped-for")),
                    "the member's word",
                ));
            }
        }
        if !accepted
            && !app.record.uses.is_empty()
            && !s.is_spoilt("uses")
            && app.agreements.iter().all(Option::is_some)
        {
            let wrong = format!("no member that is used accepts the class '{name}'");
            let mend = "use a member that accepts it, correct its name, or leave the class out";
            found.push(s.fault("LB0203", &format!("classes.{name}"), wrong, mend));
        }
        if e.repeats == Repeats::Dropped && e.span < class.deadline {
            let wrong = format!(
                "repeats of '{name}' are dropped for {} and it may be sent for {}",
                e.span, class.deadline
            );
            let mend = "let 'dropped-for' be as long as 'deadline', or make the deadline shorter";
            let f = s.fault(
                "LB0303",
                &key(if class.dropped_for.is_some() { "dropped-for" } else { "deadline" }),
                wrong,
                mend,
            );
            found.push(with(f, s.place(&key("deadline")), "the deadline"));
        }
        if e.repeats == Repeats::Harmless && class.ordered {
            let wrong = format!(
                "'{name}' is ordered and may be repeated: a late repeat would undo the message after it"
            );
            let mend = "write ordered = false, or let repeats be dropped or forbidden";
            let f = s.fault("LB0305", &key("ordered"), wrong, mend);
            found.push(match e.from.clone() {
                Some(from) => with(f, from, "a repeat is harmless"),
                None => f,
            });
        }
        if e.repeats == Repeats::Forbidden && class.remembered < class.deadline {
            let wrong = format!(
                "'{name}' must not be repeated, is remembered for {} and may be handed in for {}",
                class.remembered, class.deadline
            );
            let f = s.fault(
                "LB0308",
                &key("remembered"),
                wrong,
                "let 'remembered' be as long as 'deadline' or longer",
            );
            found.push(with(f, s.place(&key("deadline")), "the deadline"));
        }
    }
}

pub(crate) fn word(r: Repeats) -> &'static str {
    match r {
        Repeats::Forbidden => "forbidden",
        Repeats::Dropped => "dropped",
        Repeats::Harmless => "harmless",
    }
}

fn uses(set: &Set, app: &AppFile, found: &mut Vec<Finding>) {
    let (s, a) = (&set.sources[&app.file], &app.record);
    for (at, used) in a.uses.iter().enumerate() {
        let key = |key: &str| format!("uses[{at}].{key}");
        needed(s, &key("agreement"), &used.agreement, "name the member's file", found);
        for (list, what) in
            [(&used.tenants, "tenants"), (&used.endpoints, "endpoints"), (&used.classes, "classes")]
        {
            let path = key(what);
            twice(
                s,
                "LB0101",
                what.trim_end_matches('s'),
                listed(list.as_deref().unwrap_or(&[]), &path),
                found,
            );
        }
        for (path, tenant) in listed(used.tenants.as_deref().unwrap_or(&[]), &key("tenants")) {
            if !a.tenants.contains_key(tenant) && !s.is_spoilt("tenants") {
                let wrong = format!("the tenant '{tenant}' is not one of the application's");
                found.push(s.fault(
                    "LB0204",
                    &path,
                    wrong,
                    format!("add a table [tenants.{tenant}], or correct the name"),
                ));
            }
        }
        for (path, class) in listed(used.classes.as_deref().unwrap_or(&[]), &key("classes")) {
            if !a.classes.contains_key(class) && !s.is_spoilt("classes") {
                let wrong = format!("the class '{class}' is not one of the application's");
                found.push(s.fault(
                    "LB0203",
                    &path,
                    wrong,
                    format!("add a table [classes.{class}], or correct the name"),
                ));
            }
        }
    }
    // The tenants of two uses of one member must differ, or nobody knows which share a message takes from.
    let all: Vec<Used> = set.uses(app).collect();
    for (i, u) in all.iter().enumerate() {
        for o in all[..i].iter().filter(|o| o.terms.file == u.terms.file) {
            let apart = match (&u.used.tenants, &o.used.tenants) {
                (Some(x), Some(y)) => x.iter().all(|t| !y.contains(t)),
                _ => false,
            };
            if !apart {
                let wrong = format!("'{}' is used twice, and not for different tenants", u.member());
                let f = u.source.fault(
                    "LB0101",
                    &u.key("agreement"),
                    wrong,
                    "name other 'tenants' in each of the two, or leave one out",
                );
                found.push(with(f, u.source.place(&o.key("agreement")), "first here"));
            }
        }
    }
    probing(&all, found);
    let mut buildings: BTreeSet<&Name> = BTreeSet::new();
    for u in &all {
        buildings.extend(&u.agreement.buildings);
        use_terms(u, found);
    }
    if let Some(b) = a.building.as_ref().filter(|b| !all.is_empty() && !buildings.contains(b)) {
        let known: Vec<&str> = buildings.iter().map(|b| b.0.as_str()).collect();
        let wrong = format!("no member has a building '{b}'");
        found.push(s.fault("LB0201", "building", wrong, format!("buildings are: {}", known.join(", "))));
    }
}

/// One use against its agreement.
fn use_terms(u: &Used, found: &mut Vec<Finding>) {
    let (s, terms) = (u.source, u.terms);
    for (path, id) in listed(u.used.endpoints.as_deref().unwrap_or(&[]), &u.key("endpoints")) {
        if !u.agreement.endpoints.iter().any(|e| e.id.as_ref() == Some(id)) && !terms.is_spoilt("endpoints") {
            let known: Vec<&str> =
                u.agreement.endpoints.iter().filter_map(|e| Some(e.id.as_ref()?.0.as_str())).collect();
            let wrong = format!("'{}' has no endpoint '{id}'", u.member());
            let f = s.fault("LB0205", &path, wrong, format!("its endpoints are: {}", known.join(", ")));
            found.push(with(f, terms.place("endpoints"), "the member's list"));
        }
    }
    for (path, class) in listed(u.used.classes.as_deref().unwrap_or(&[]), &u.key("classes")) {
        let ours = u.app.record.classes.contains_key(class);
        if ours && !u.agreement.classes.contains_key(class) && !terms.is_spoilt("classes") {
            let wrong = format!("'{}' does not accept the class '{class}'", u.member());
            let f = s.fault("LB0203", &path, wrong, "leave it out, or agree on it with the member");
            found.push(with(f, terms.place("classes"), "what it accepts"));
        }
    }
    if let Some(limit) = u.agreement.limit {
        let mend =
            format!("say which part of its limit of {limit} the application keeps within: share = \"40%\"");
        needed(s, &u.key("share"), &u.used.share, &mend, found);
        if let Some(share) = u.used.share {
            let calls = share.of(limit.calls);
            if calls == 0 {
                let wrong = format!("{share} of {limit} is less than one call");
                let f = s.fault(
                    "LB0403",
                    &u.key("share"),
                    wrong,
                    format!("one call is {}%", 100.0 / f64::from(limit.calls)),
                );
                found.push(with(f, terms.place("limit"), "the member's limit"));
            }
        }
    } else if u.used.share.is_some() && !terms.is_spoilt("limit") {
        let wrong = format!("'{}' has no limit of which this could be a part", u.member());
        found.push(s.fault(
            "LB0409",
            &u.key("share"),
            wrong,
            "leave it out, or write the limit in the agreement",
        ));
    }
    let takes =
        u.agreement.connections.is_some() || u.agreement.endpoints.iter().any(|e| e.connections.is_some());
    if takes {
        needed(
            s,
            &u.key("connections"),
            &u.used.connections,
            "say how many connections to each endpoint it keeps within",
            found,
        );
    }
    if u.used.connections == Some(0) {
        found.push(s.fault(
            "LB0403",
            &u.key("connections"),
            "no connection is allowed",
            "at least one is needed",
        ));
    }
    let deadlines = u.app.record.classes.iter().filter(|(n, _)| accepts(u, n));
    if let Some((name, class)) = deadlines.max_by(|a, b| a.1.deadline.0.total_cmp(&b.1.deadline.0)) {
        if u.agreement.wait_most >= class.deadline {
            let wrong = format!(
                "'{}' may tell waits of {}, longer than any message for it is held",
                u.member(),
                u.agreement.wait_most
            );
            let f = s.fault(
                "LB0503",
                &format!("classes.{name}.deadline"),
                wrong,
                "make the deadline longer, or agree on shorter waits",
            );
            found.push(with(warn(f), terms.place("wait-most"), "the longest wait"));
        }
    }
}

/// A probe counts as a call, and while endpoints are out they are probed again and again. All uses of a member are one
/// promise.
fn probing(all: &[Used], found: &mut Vec<Finding>) {
    let mut by_member: BTreeMap<&str, Vec<&Used>> = BTreeMap::new();
    for u in all.iter().filter(|u| u.app.record.work.probes && u.agreement.probes) {
        by_member.entry(&u.terms.file).or_default().push(u);
    }
    for uses in by_member.values() {
        let (u, Some(limit)) = (uses[uses.len() - 1], uses[0].agreement.limit) else { continue };
        let calls: u32 = uses.iter().filter_map(|u| u.used.share).map(|s| s.of(limit.calls)).sum();
        let probes = (limit.span.0 / PROBE_GAP.0).ceil() as u32;
        if calls == 0 || probes < calls {
            continue;
        }
        let wrong = format!(
            "while '{}' is out it is probed every {PROBE_GAP}, {probes} times in {}, and the share is {calls}: no call \
             would be left",
            u.member(),
            limit.span
        );
        let mend = "take a larger share, or write probes = false under [work]";
        let f = u.source.fault("LB0405", &u.key("share"), wrong, mend);
        found.push(with(f, u.terms.place("limit"), "the member's limit"));
    }
}

/// Slots and sessions against descriptors.
pub(crate) fn descriptors(
    s: &Source,
    slots: (&str, u32),
    sessions: u32,
    allowed: (&str, u32),
    found: &mut Vec<Finding>,
) {
    let need = u64::from(DESCRIPTORS_OWN) + u64::from(sessions) + 2 * u64::from(slots.1);
    if need > u64::from(allowed.1) {
        let wrong = format!(
            "{need} descriptors are needed and {} allowed: {DESCRIPTORS_OWN} of its own, {sessions} MQTT sessions, {} slots and as many clients",
            allowed.1, slots.1
        );
        let f = s.fault("LB0406", slots.0, wrong, "take fewer slots or sessions, or allow more descriptors");
        found.push(with(f, s.place(allowed.0), "what is allowed"));
    }
}

/// Slots and held messages against descriptors, memory and disk.
fn amounts(set: &Set, app: &AppFile, found: &mut Vec<Finding>) {
    let (s, a) = (&set.sources[&app.file], &app.record);
    let sessions = a.listen.mqtt.map_or(0, |_| a.listen.mqtt_sessions);
    descriptors(
        s,
        ("work.slots", a.work.slots),
        sessions,
        ("process.descriptors", a.process.descriptors),
        found,
    );
    let held = u64::from(a.work.held);
    let each = 2 * a.work.message.0 + MEMORY_MESSAGE;
    let links = u64::from(a.process.descriptors) * MEMORY_CONNECTION;
    let need = MEMORY_OWN + held * each + links;
    if need > a.process.memory.0 {
        let wrong = format!(
            "{} MB of memory are needed and {} MB allowed: {} MB of its own, {held} held messages of {each} bytes each, {} connections of {MEMORY_CONNECTION} bytes each",
            need / 1_000_000, a.process.memory.0 / 1_000_000, MEMORY_OWN / 1_000_000, a.process.descriptors
        );
        let f = s.fault(
            "LB0407",
            "work.held",
            wrong,
            "hold fewer messages, or allow more memory under [process]",
        );
        found.push(with(f, s.place("process.memory"), "what is allowed"));
    }
    let each = a.work.message.0 + DISK_MESSAGE;
    let need = held * each * 100 / DISK_LIVE;
    if need > a.process.disk.0 {
        let wrong = format!(
            "{} kB of disk are needed and {} kB allowed: {held} held messages of {each} bytes each may fill {DISK_LIVE}% of the folder",
            need / 1_000, a.process.disk.0 / 1_000
        );
        let f =
            s.fault("LB0408", "work.held", wrong, "hold fewer messages, or allow more disk under [process]");
        found.push(with(f, s.place("process.disk"), "what is allowed"));
    }
    let links: Option<u32> = set
        .uses(app)
        .map(|u| {
            Some(
                u.used.connections?
                    * u.agreement
                        .endpoints
                        .iter()
                        .filter(|e| e.id.as_ref().is_some_and(|i| u.takes(i)))
                        .count() as u32,
            )
        })
        .sum();
    if let Some(links) = links.filter(|l| *l < a.work.slots && *l > 0) {
        let wrong = format!(
            "{} slots are more than the {links} connections that are promised to be enough",
            a.work.slots
        );
        found.push(warn(s.fault("LB0404", "work.slots", wrong, format!("slots = {links} does as much"))));
    }
}

/// The folder that outlasts the process.
pub(crate) fn folder(s: &Source, path: &str, own: &str, folders: &dyn Folders, found: &mut Vec<Finding>) {
    let (code, wrong, mend) = match folders.look(path) {
        Folder::Good => return,
        Folder::Of(other) if other == own => return,
        Folder::Missing => {
            let f = s.fault(
                "LB0601",
                "state",
                format!("the folder '{path}' is not there yet"),
                format!("it is made at the start; or: mkdir {path}"),
            );
            return found.push(warn(f));
        }
        Folder::Impossible(why) => (
            "LB0602",
            format!("'{path}' cannot be a folder: {why}"),
            "name a folder on a disk of this machine",
        ),
        Folder::ReadOnly => (
            "LB0603",
            format!("the folder '{path}' cannot be written to"),
            "give it to the user that runs the dispatcher",
        ),
        Folder::Of(other) => (
            "LB0604",
            format!("the folder '{path}' holds the journal of '{other}'"),
            "give each application a folder of its own",
        ),
    };
    found.push(s.fault(code, "state", wrong, mend));
}

/// Names, listeners and folders of applications that run on one machine.
fn clashes(set: &Set, found: &mut Vec<Finding>) {
    let mut names: HashMap<&Name, &AppFile> = HashMap::new();
    let mut listeners: BTreeMap<u16, Vec<(SocketAddr, &AppFile, &str)>> = BTreeMap::new();
    let mut folders: BTreeMap<String, &AppFile> = BTreeMap::new();
    let place = |app: &AppFile, key: &str| set.sources[&app.file].place(key);
    let name = |app: &AppFile| app.record.application.as_ref().map_or(app.file.clone(), |n| n.0.clone());
    for app in &set.apps {
        let (s, a) = (&set.sources[&app.file], &app.record);
        if let Some(n) = &a.application {
            if let Some(other) = names.get(n) {
                let f = s.fault(
                    "LB0105",
                    "application",
                    format!("the name '{n}' is taken by '{}'", other.file),
                    "give each application a name of its own",
                );
                found.push(with(f, place(other, "application"), "first here"));
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
                let f = s.fault(
                    "LB0104",
                    key,
                    format!("{address} is taken by '{}'", name(other)),
                    "give each application a port of its own",
                );
                found.push(with(f, place(other, theirs), "first here"));
            }
            others.push((address, app, key));
        }
        if let Some(path) = a.state.as_ref().filter(|p| !p.is_empty()) {
            let path = crate::set::beside("", path);
            let nested = |o: &str| path.strip_prefix(o).is_some_and(|r| r.is_empty() || r.starts_with('/'));
            let above = path.match_indices('/').map(|m| &path[..m.0]).chain([path.as_str()]);
            let below = folders
                .range(path.clone()..)
                .next()
                .filter(|(o, _)| o.strip_prefix(&path).is_some_and(|r| r.is_empty() || r.starts_with('/')));
            let other = above.filter(|p| nested(p)).find_map(|p| folders.get(p)).or(below.map(|b| b.1));
            if let Some(other) = other {
                let f = s.fault(
                    "LB0604",
                    "state",
                    format!("the folder is that of '{}', or one lies in the other", name(other)),
                    "give each application a folder of its own",
                );
                found.push(with(f, place(other, "state"), "the other folder"));
            }
            folders.insert(path, app);
        }
    }
    let listening: BTreeMap<SocketAddr, (&AppFile, &str)> =
        listeners.values().flatten().map(|(a, app, key)| (*a, (*app, *key))).collect();
    for (file, a) in &set.agreements {
        for (i, e) in a.endpoints.iter().enumerate() {
            let Some((app, key)) = e.address.as_ref().and_then(|t| listening.get(&t.address())) else {
                continue;
            };
            let wrong = format!("the endpoint is at the address where '{}' listens", name(app));
            let f = set.sources[file].fault(
                "LB0107",
                &format!("endpoints[{i}].address"),
                wrong,
                "a dispatcher must not call one; correct either address",
            );
            found.push(with(f, place(app, key), "the listener"));
        }
    }
}

/// Agreements against each other.
fn members(set: &Set, found: &mut Vec<Finding>) {
    let mut names: HashMap<&Name, &str> = HashMap::new();
    let mut numbers: HashMap<u64, &str> = HashMap::new();
    let mut ids: HashMap<&Name, (&str, usize)> = HashMap::new();
    let mut addresses: HashMap<String, (&str, usize)> = HashMap::new();
    for (file, a) in &set.agreements {
        let s = &set.sources[file];
        if let Some(other) = a.member.as_ref().and_then(|n| names.insert(n, file)) {
            let f = s.fault(
                "LB0106",
                "member",
                "another agreement is for the same member",
                "keep one agreement for each member",
            );
            found.push(with(f, set.sources[other].place("member"), "the other one"));
        }
        if let Some(other) = a.destination.and_then(|n| numbers.insert(n, file)) {
            let f = s.fault(
                "LB0106",
                "destination",
                "another member has the same number",
                "give each member a number of its own",
            );
            found.push(with(f, set.sources[other].place("destination"), "the other one"));
        }
        for (i, e) in a.endpoints.iter().enumerate() {
            let elsewhere = |old: &Option<(&str, usize)>| old.is_some_and(|o| o.0 != file);
            if let Some((other, n)) =
                e.id.as_ref().and_then(|id| ids.insert(id, (file, i))).filter(|o| elsewhere(&Some(*o)))
            {
                let f = s.fault(
                    "LB0108",
                    &format!("endpoints[{i}].id"),
                    "another member has an endpoint of this id",
                    "ids are the same everywhere; give it another",
                );
                found.push(with(f, set.sources[other].place(&format!("endpoints[{n}].id")), "the other one"));
            }
            let address = e.address.as_ref().map(|t| t.to_string());
            if let Some((other, n)) =
                address.and_then(|t| addresses.insert(t, (file, i))).filter(|o| elsewhere(&Some(*o)))
            {
                let f = s.fault(
                    "LB0102",
                    &format!("endpoints[{i}].address"),
                    "another member has an endpoint at this address",
                    "correct one of the two",
                );
                found.push(with(
                    f,
                    set.sources[other].place(&format!("endpoints[{n}].address")),
                    "the other one",
                ));
            }
        }
    }
}

/// What all applications together promise: of a member's limit, and of an endpoint's connections.
fn promises(set: &Set, found: &mut Vec<Finding>) {
    let mut by_member: BTreeMap<&str, Vec<Used>> = BTreeMap::new();
    for app in &set.apps {
        set.uses(app).for_each(|u| by_member.entry(&u.terms.file).or_default().push(u));
    }
    for all in by_member.values() {
        let (agreement, terms) = (all[0].agreement, all[0].terms);
        if let Some(limit) = agreement.limit {
            let apart = agreement.kind == MemberKind::LowVolume;
            let endpoints = agreement.endpoints.iter().filter_map(|e| e.id.as_ref());
            // Where endpoints have limits of their own, those who do not use one take nothing of it.
            let units: Vec<Option<&Name>> = if apart { endpoints.map(Some).collect() } else { vec![None] };
            let mut said: BTreeSet<Vec<(&str, usize)>> = BTreeSet::new();
            for unit in units {
                let of = all.iter().filter(|u| unit.is_none_or(|id| u.takes(id)));
                let parts: Vec<(&Used, u32)> = of.filter_map(|u| Some((u, u.used.share?.0))).collect();
                let sum: u64 = parts.iter().map(|p| u64::from(p.1)).sum();
                let who: Vec<(&str, usize)> = parts.iter().map(|p| (p.0.app.file.as_str(), p.0.at)).collect();
                if sum > u64::from(WHOLE) && said.insert(who) {
                    let what = unit.map_or("'".to_string(), |id| format!("endpoint '{id}' of '"));
                    let wrong = format!(
                        "the applications promise {what}{}' {}% of its limit of {limit}",
                        all[0].member(),
                        sum as f64 / 10_000.0
                    );
                    let part = |u: &Used| {
                        format!(
                            "{} of {limit}, {} calls",
                            u.used.share.map_or(String::new(), |s| s.to_string()),
                            u.used.share.map_or(0, |s| s.of(limit.calls))
                        )
                    };
                    over("LB0401", "share", wrong, &parts, part, terms.place("limit"), found);
                }
            }
        }
        let mut said: BTreeSet<(Vec<(&str, usize)>, u32)> = BTreeSet::new();
        for (i, e) in agreement.endpoints.iter().enumerate() {
            let Some((id, takes)) = e.id.as_ref().zip(e.connections.or(agreement.connections)) else {
                continue;
            };
            let of = all.iter().filter(|u| u.takes(id));
            let parts: Vec<(&Used, u32)> = of.filter_map(|u| Some((u, u.used.connections?))).collect();
            let sum: u64 = parts.iter().map(|p| u64::from(p.1)).sum();
            let who: Vec<(&str, usize)> = parts.iter().map(|p| (p.0.app.file.as_str(), p.0.at)).collect();
            if sum > u64::from(takes) && said.insert((who, takes)) {
                let wrong = format!(
                    "the applications promise {sum} connections to '{id}' of '{}', which takes {takes}",
                    all[0].member()
                );
                let path = if e.connections.is_some() {
                    format!("endpoints[{i}].connections")
                } else {
                    "connections".into()
                };
                let part = |u: &Used| format!("{} connections", u.used.connections.unwrap_or(0));
                over("LB0402", "connections", wrong, &parts, part, terms.place(&path), found);
            }
        }
    }
}

fn over(
    code: &'static str,
    key: &str,
    wrong: String,
    parts: &[(&Used, u32)],
    part: impl Fn(&Used) -> String,
    limit: Place,
    found: &mut Vec<Finding>,
) {
    let Some((last, rest)) = parts.split_last() else { return };
    let names: Vec<String> = parts.iter().map(|(u, _)| format!("{} {}", u.name(), part(u))).collect();
    let wrong = format!("{wrong}: {}", names.join("; "));
    let mut f = last.0.source.fault(
        code,
        &last.0.key(key),
        wrong,
        "agree on smaller parts: together at most the whole",
    );
    for (u, _) in rest {
        f = with(f, u.source.place(&u.key(key)), format!("{}: {}", u.name(), part(u)));
    }
    found.push(with(f, limit, "what the member takes"));
}
