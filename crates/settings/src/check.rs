//! Checks that compare several values: within one file, between an application and its agreements, and across
//! all files of one machine. This module does no I/O; the state of the disk comes from a [`FolderInspector`]
//! implementation.

mod agreement;
mod conflicts;

use crate::agreement::{Area, Repeats};
use crate::application::{Application, Class};
use crate::finding::{Finding, Place, Severity};
use crate::set::{ApplicationFile, FileSet, ResolvedUse};
use crate::source::Source;
use crate::units::{Name, Size, Span};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The longest drain time that an agreement may set; a project rule says that a drain has ended after this
/// time.
pub const MAX_DRAIN_TIME: Span = Span(2_000.0);
/// File descriptors that the process needs for itself, besides clients, sessions and slots.
pub const RESERVED_DESCRIPTORS: u32 = 40;
/// Memory, in bytes, that the process needs before it holds any message or connection.
pub const BASE_MEMORY_BYTES: u64 = 8 << 20;
/// Memory, in bytes, that a held message needs in addition to twice the size of its body.
pub const MEMORY_OVERHEAD_PER_MESSAGE_BYTES: u64 = 1_024;
/// Memory, in bytes, that each connection needs.
pub const MEMORY_PER_CONNECTION_BYTES: u64 = 4 << 10;
/// Percentage of the state folder's disk limit that held messages may fill.
pub const MAX_LIVE_DISK_PERCENT: u64 = 36;
/// Disk space, in bytes, that a held message needs in addition to its body.
pub const DISK_OVERHEAD_PER_MESSAGE_BYTES: u64 = 512;
/// The shortest time between two probes of endpoints that share a limit.
pub const MIN_PROBE_INTERVAL: Span = Span(500.0);
/// The dispatcher closes an idle connection this long before the endpoint's side would close it.
pub const IDLE_CLOSE_MARGIN: Span = Span(600.0);

/// The state of a folder, as far as it matters for use as a state folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FolderState {
    /// It exists and is writable.
    Usable,
    /// It does not exist but can be created.
    Missing,
    /// It cannot be created, or the path is not a folder; the text gives the reason.
    Unusable(String),
    /// It is not writable.
    ReadOnly,
    /// It holds the journal of the named application.
    OwnedBy(String),
}

/// Access to the state of folders.
pub trait FolderInspector {
    /// Returns the state of the folder at `path`.
    fn inspect(&self, path: &str) -> FolderState;
}

/// Reports every folder as usable; for files that are meant for another machine.
#[derive(Debug, Clone, Copy)]
pub struct AssumeUsable;

impl FolderInspector for AssumeUsable {
    fn inspect(&self, _: &str) -> FolderState {
        FolderState::Usable
    }
}

/// The finding with severity warning.
pub(crate) fn as_warning(f: Finding) -> Finding {
    Finding { severity: Severity::Warning, ..f }
}

/// The finding with a related place, and how that place is related.
pub(crate) fn with_related(mut f: Finding, place: Place, label: impl Into<String>) -> Finding {
    f.related.push(Place { label: label.into(), ..place });
    f
}

/// Checks all files together and returns the findings sorted by file, line and code.
pub fn check(set: &FileSet, folders: &dyn FolderInspector) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (file, a) in &set.agreements {
        agreement::check_agreement(&set.sources[file], a, &mut findings);
    }
    for app in &set.apps {
        let source = &set.sources[&app.file];
        check_application(source, &app.record, &mut findings);
        check_classes(set, app, &mut findings);
        check_uses(set, app, &mut findings);
        check_resources(set, app, &mut findings);
        check_mesh(source, app, &mut findings);
        if let Some(path) = app.record.state.as_ref().filter(|p| !p.is_empty()) {
            let own = app.record.application.as_ref().map_or("", |n| n);
            check_state_folder(source, path, own, folders, &mut findings);
        }
    }
    conflicts::check_application_conflicts(set, &mut findings);
    conflicts::check_agreement_conflicts(set, &mut findings);
    conflicts::check_total_promises(set, &mut findings);
    findings
        .sort_by(|a, b| (&a.place.file, a.place.line, a.code).cmp(&(&b.place.file, b.place.line, b.code)));
    findings.dedup();
    findings
}

/// Reports a required key that is missing. A key that could not be read already has a finding of its own.
pub(crate) fn check_required<T>(
    source: &Source,
    path: &str,
    value: &Option<T>,
    mend: &str,
    findings: &mut Vec<Finding>,
) {
    if value.is_none() && !source.is_unreadable(path) {
        findings.push(source.finding("LB0006", path, format!("'{path}' is missing"), mend));
    }
}

/// Reports a value outside the range from `low` to `high`, both included.
pub(crate) fn check_range<T: PartialOrd + std::fmt::Display>(
    s: &Source,
    path: &str,
    v: T,
    low: T,
    high: T,
    findings: &mut Vec<Finding>,
) {
    if !(low <= v && v <= high) {
        let wrong = format!("'{path}' is {v}, which is out of range");
        findings.push(s.finding("LB0007", path, wrong, format!("use a value from {low} to {high}")));
    }
}

/// Reports each value that occurs more than once, with the place of its first occurrence.
pub(crate) fn check_duplicates<'a, T: Ord + std::fmt::Display + 'a>(
    source: &Source,
    code: &'static str,
    what: &str,
    values: impl Iterator<Item = (String, &'a T)>,
    findings: &mut Vec<Finding>,
) {
    let mut first: BTreeMap<&T, String> = BTreeMap::new();
    for (path, value) in values {
        if let Some(old) = first.get(value) {
            let wrong = format!("the {what} '{value}' is defined more than once");
            let f = source.finding(code, &path, wrong, "remove one of them, or give it another value");
            findings.push(with_related(f, source.place(old), "first defined here"));
        } else {
            first.insert(value, path);
        }
    }
}

/// Pairs each name of a list with the path of its item, such as `uses[0].tenants[1]`.
fn with_paths<'a>(list: &'a [Name], path: &'a str) -> impl Iterator<Item = (String, &'a Name)> + 'a {
    list.iter().enumerate().map(move |(i, n)| (format!("{path}[{i}]"), n))
}

/// Reports `dropped-in` or `dropped-for` where `repeats` has a value other than `dropped`.
fn check_dropped_keys(
    s: &Source,
    key: &str,
    repeats: Option<Repeats>,
    area: bool,
    span: Option<Span>,
    findings: &mut Vec<Finding>,
) {
    match repeats {
        Some(Repeats::Dropped) => {}
        Some(_) if area || span.is_some() => {
            let path = format!("{key}.{}", if area { "dropped-in" } else { "dropped-for" });
            let wrong = format!("'{path}' is set, but repeats are not dropped");
            findings.push(s.finding("LB0307", &path, wrong, "remove it, or set repeats = \"dropped\""));
        }
        _ => {}
    }
}

/// Checks one application by itself.
fn check_application(s: &Source, a: &Application, findings: &mut Vec<Finding>) {
    check_required(s, "application", &a.application, "set the application's name", findings);
    check_required(s, "state", &a.state, "set a folder for the state that outlasts the process", findings);
    check_required(s, "building", &a.building, "set the endpoint's building", findings);
    check_required(
        s,
        "listen.resp",
        &a.listen.resp,
        "set where clients connect: resp = \"127.0.0.1:6379\"",
        findings,
    );
    if a.state.as_ref().is_some_and(|p| p.is_empty()) {
        findings.push(s.finding("LB0007", "state", "the state folder is an empty path", "set a path"));
    }
    check_range(s, "listen.mqtt-sessions", a.listen.mqtt_sessions, 1, 512, findings);
    if a.classes.is_empty() && !s.is_unreadable("classes") {
        findings.push(s.finding(
            "LB0006",
            "classes",
            "no message class is defined",
            "add a table such as [classes.claim-status]",
        ));
    }
    if a.uses.is_empty() && !s.is_unreadable("uses") {
        findings.push(s.finding(
            "LB0006",
            "uses",
            "no destination is used",
            "add a [[uses]] table that names an agreement",
        ));
    }
    let (ms, hour) = (Span(1.0), Span(3_600_000.0));
    check_range(s, "work.slots", a.work.slots, 1, 100_000, findings);
    check_range(s, "work.held", a.work.held, 1, 1_000_000, findings);
    check_range(s, "work.message", a.work.message, Size(1), Size(64 << 10), findings);
    check_range(s, "work.attempts", a.work.attempts, 1, 8, findings);
    check_range(s, "work.connect-timeout", a.work.connect_timeout, ms, Span(60_000.0), findings);
    check_range(s, "work.keep-alive", a.work.keep_alive, ms, hour, findings);
    for (name, c) in &a.classes {
        let key = |key: &str| format!("classes.{name}.{key}");
        check_range(s, &key("wanted"), c.wanted, ms, hour, findings);
        check_range(s, &key("deadline"), c.deadline, ms, hour, findings);
        check_range(s, &key("late-worth"), c.late_worth, 0.0, 1.0, findings);
        check_range(s, &key("worth"), c.worth, 0.001, 1_000.0, findings);
        check_range(s, &key("remembered"), c.remembered, ms, Span(7.0 * 86_400_000.0), findings);
        if c.wanted > c.deadline {
            let wrong = format!("'{name}' is wanted within {}, but given up after {}", c.wanted, c.deadline);
            let f = s.finding("LB0306", &key("wanted"), wrong, "set 'deadline' to at least 'wanted'");
            findings.push(with_related(f, s.place(&key("deadline")), "the deadline"));
        }
        if a.work.connect_timeout >= c.deadline {
            let wrong = format!(
                "connecting may take {}, but '{name}' is given up after {}",
                a.work.connect_timeout, c.deadline
            );
            let f = s.finding(
                "LB0501",
                "work.connect-timeout",
                wrong,
                "make 'connect-timeout' shorter than every deadline",
            );
            findings.push(with_related(f, s.place(&key("deadline")), "the deadline"));
        }
        check_dropped_keys(
            s,
            &format!("classes.{name}"),
            c.repeats,
            c.dropped_in.is_some(),
            c.dropped_for,
            findings,
        );
    }
    if a.work.keep_alive <= IDLE_CLOSE_MARGIN {
        let wrong = format!(
            "idle connections are closed {IDLE_CLOSE_MARGIN} early, so none is kept with a 'keep-alive' of {}",
            a.work.keep_alive
        );
        findings.push(s.finding("LB0502", "work.keep-alive", wrong, "set keep-alive = \"2s\" or longer"));
    }
    check_cells(s, a, findings);
    check_addresses(s, a, findings);
}

/// Checks that the cell map lists this dispatcher and gives clients the addresses at which it listens.
fn check_mesh(s: &Source, app: &ApplicationFile, findings: &mut Vec<Finding>) {
    let Some(mesh) = &app.record.mesh else { return };
    check_required(s, "mesh.map", &mesh.map, "set the path of the cell map's file", findings);
    check_required(
        s,
        "mesh.dispatcher",
        &mesh.dispatcher,
        "set which of the map's dispatchers this one is",
        findings,
    );
    let (Some(map), Some(own_name)) = (&app.map, &mesh.dispatcher) else { return };
    findings.extend(map.check(None));
    let Some(entry) = map.map.dispatchers.get(own_name) else {
        if !map.source.is_unreadable("dispatchers") {
            let wrong = format!("the cell map has no dispatcher '{own_name}'");
            let mend = format!(
                "use the name of one of the map's dispatchers, or add [dispatchers.{own_name}] to the map"
            );
            let f = s.finding("LB0810", "mesh.dispatcher", wrong, mend);
            findings.push(with_related(f, map.source.place("dispatchers"), "the map's dispatchers"));
        }
        return;
    };
    let listeners =
        [("resp", app.record.listen.resp, entry.resp), ("mqtt", app.record.listen.mqtt, entry.mqtt)];
    for (key, own, advertised) in listeners {
        let (Some(own), Some(advertised)) = (own, advertised) else { continue };
        if own != advertised {
            let wrong =
                format!("the cell map sends clients to {advertised}, but this dispatcher listens at {own}");
            let f =
                s.finding("LB0811", &format!("listen.{key}"), wrong, "use the same address in both files");
            findings.push(with_related(
                f,
                map.source.place(&format!("dispatchers.{own_name}.{key}")),
                "the address in the map",
            ));
        }
    }
    if let (Some(peer), Some(resp)) = (entry.peer, app.record.listen.resp.filter(|r| Some(*r) == entry.peer))
    {
        let f = s.finding(
            "LB0103",
            "listen.resp",
            format!("'{resp}' is also the address for peers"),
            "use a separate address for each",
        );
        findings.push(with_related(
            f,
            map.source.place(&format!("dispatchers.{own_name}.peer")),
            format!("{peer}"),
        ));
    }
}

/// Checks the cells inside the dispatcher: each tenant is in one cell at most, and each cell gets at least
/// one slot.
fn check_cells(s: &Source, a: &Application, findings: &mut Vec<Finding>) {
    let path = |cell: &Name| format!("cells.{cell}");
    let tenants = a.cells.iter().flat_map(|(name, c)| {
        c.tenants.iter().enumerate().map(move |(i, t)| (format!("{}.tenants[{i}]", path(name)), t))
    });
    check_duplicates(s, "LB0801", "tenant", tenants.clone(), findings);
    for (path, t) in tenants.filter(|(_, t)| !a.tenants.contains_key(*t) && !s.is_unreadable("tenants")) {
        let wrong = format!("the application has no tenant '{t}'");
        findings.push(s.finding(
            "LB0204",
            &path,
            wrong,
            format!("add a table [tenants.{t}], or correct the name"),
        ));
    }
    let sum: f64 = a.cells.values().map(|c| c.weight).sum();
    for (name, c) in &a.cells {
        check_range(s, &format!("{}.weight", path(name)), c.weight, 0.001, 1_000.0, findings);
        let slots = f64::from(a.work.slots) * c.weight / sum;
        if a.cells.len() > 1 && c.weight > 0.0 && slots < 1.0 {
            let wrong = format!("the cell '{name}' gets less than one of {} slots", a.work.slots);
            let f = s.finding(
                "LB0802",
                &format!("{}.weight", path(name)),
                wrong,
                "set a larger weight, or configure more slots",
            );
            findings.push(with_related(f, s.place("work.slots"), "the slots"));
        }
    }
}

/// Checks where notices go, and that listeners and other services have different addresses.
fn check_addresses(s: &Source, a: &Application, findings: &mut Vec<Finding>) {
    let notices = a.notices.as_ref().filter(|n| *n != "log").map(|n| n.parse::<SocketAddr>());
    if let Some(Err(_)) = notices {
        let wrong =
            format!("'{}' is neither an address with a port nor \"log\"", a.notices.as_deref().unwrap_or(""));
        findings.push(s.finding(
            "LB0005",
            "notices",
            wrong,
            "set notices = \"127.0.0.1:8500\" or notices = \"log\"",
        ));
    }
    if a.notices.is_none()
        && a.discovery.is_none()
        && !s.is_unreadable("notices")
        && !s.is_unreadable("discovery")
    {
        let wrong = "no notice would be sent for a message that was accepted and not delivered";
        let mend = "set notices = \"ADDRESS:PORT\" to send notices there, or notices = \"log\"";
        findings.push(s.finding("LB0701", "notices", wrong, mend));
    }
    let own = [("listen.resp", a.listen.resp), ("listen.mqtt", a.listen.mqtt), ("discovery", a.discovery)];
    let own = own.into_iter().filter_map(|(k, v)| Some((k, v?.0)));
    let mut all: Vec<(&str, SocketAddr)> = own.collect();
    all.extend(
        notices.and_then(Result::ok).filter(|n| a.discovery.map(|d| d.0) != Some(*n)).map(|n| ("notices", n)),
    );
    for (i, (key, address)) in all.iter().enumerate() {
        // With port 0 the system chooses a free port, so two such addresses never collide.
        if let Some((other, _)) = all[..i].iter().find(|o| o.1 == *address && address.port() != 0) {
            let wrong = format!("'{key}' and '{other}' are both {address}");
            let f = s.finding("LB0103", key, wrong, "use a separate address for each");
            findings.push(with_related(f, s.place(other), "the same address"));
        }
    }
}

/// How repeats of a class are handled, and where that is defined.
#[derive(Debug, Clone, PartialEq)]
pub struct EffectiveRepeats {
    /// The effect of a repeat.
    pub repeats: Repeats,
    /// Which endpoints drop a repeat.
    pub area: Area,
    /// How long repeats are dropped.
    pub span: Span,
    /// The place that defines `repeats`; none for the default.
    pub from: Option<Place>,
}

/// Returns how repeats of a class are handled: the application's own settings, and for those that it does not
/// set the strictest of its destinations.
pub fn effective_repeats(
    set: &FileSet,
    app: &ApplicationFile,
    name: &Name,
    class: &Class,
) -> EffectiveRepeats {
    let own = |key: &str| Some(set.sources[&app.file].place(&format!("classes.{name}.{key}")));
    let mut e =
        EffectiveRepeats { repeats: Repeats::Harmless, area: Area::Member, span: Span(f64::MAX), from: None };
    let mut any = false;
    for u in set.resolved_uses(app).filter(|u| accepts_class(u, name)) {
        let Some(acceptance) = u.agreement.classes.get(name) else { continue };
        let repeats = acceptance.repeats.unwrap_or(Repeats::Forbidden);
        if !any || repeats < e.repeats {
            e.from = Some(u.agreement_source.place(&format!("classes.{name}.repeats")));
        }
        e.repeats = if any { e.repeats.min(repeats) } else { repeats };
        if repeats == Repeats::Dropped {
            e.area = e.area.min(acceptance.dropped_in.unwrap_or(Area::Building));
            e.span = Span(e.span.0.min(acceptance.dropped_for.map_or(f64::MAX, |s| s.0)));
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

/// Whether the agreement accepts the class and the use does not exclude it.
fn accepts_class(u: &ResolvedUse, class: &Name) -> bool {
    u.agreement.classes.contains_key(class) && u.entry.classes.as_ref().is_none_or(|c| c.contains(class))
}

/// Checks the classes of an application against the agreements that it uses.
fn check_classes(set: &FileSet, app: &ApplicationFile, findings: &mut Vec<Finding>) {
    let s = &set.sources[&app.file];
    for (name, class) in &app.record.classes {
        let key = |key: &str| format!("classes.{name}.{key}");
        let e = effective_repeats(set, app, name, class);
        let mut accepted = false;
        for u in set.resolved_uses(app).filter(|u| accepts_class(u, name)) {
            accepted = true;
            let Some(acceptance) = u.agreement.classes.get(name) else { continue };
            let agreed_at = u.agreement_source.place(&format!("classes.{name}.repeats"));
            let theirs = acceptance.repeats.unwrap_or(Repeats::Forbidden);
            if class.repeats.is_some_and(|ours| ours > theirs) {
                let wrong = format!(
                    "'{name}' may be repeated here, but for '{}' a repeat is {}",
                    u.destination_name(),
                    repeats_name(theirs)
                );
                let mend = format!(
                    "set repeats = \"{}\", or remove it to use the strictest of the agreements",
                    repeats_name(theirs)
                );
                findings.push(with_related(
                    s.finding("LB0301", &key("repeats"), wrong, mend),
                    agreed_at,
                    "the agreement",
                ));
                continue;
            }
            if e.repeats != Repeats::Dropped || theirs != Repeats::Dropped {
                continue;
            }
            let (area, span) = (acceptance.dropped_in.unwrap_or(Area::Building), acceptance.dropped_for);
            if class.dropped_in.is_some_and(|ours| ours > area) {
                let wrong = format!(
                    "'{}' drops repeats of '{name}' only in the building of the first attempt",
                    u.destination_name()
                );
                let f = s.finding("LB0304", &key("dropped-in"), wrong, "set dropped-in = \"building\"");
                findings.push(with_related(f, agreed_at.clone(), "the agreement"));
            }
            if let (Some(ours), Some(theirs)) =
                (class.dropped_for, span.filter(|t| class.dropped_for > Some(*t)))
            {
                let wrong = format!(
                    "'{}' drops repeats of '{name}' for {theirs}, not for {ours}",
                    u.destination_name()
                );
                let f = s.finding(
                    "LB0304",
                    &key("dropped-for"),
                    wrong,
                    format!("set dropped-for = \"{theirs}\" or less"),
                );
                findings.push(with_related(
                    f,
                    u.agreement_source.place(&format!("classes.{name}.dropped-for")),
                    "the agreement",
                ));
            }
        }
        if !accepted
            && !app.record.uses.is_empty()
            && !s.is_unreadable("uses")
            && app.agreements.iter().all(Option::is_some)
        {
            let wrong = format!("no destination in 'uses' accepts the class '{name}'");
            let mend = "use a destination that accepts it, correct the class name, or remove the class";
            findings.push(s.finding("LB0203", &format!("classes.{name}"), wrong, mend));
        }
        if e.repeats == Repeats::Dropped && e.span < class.deadline {
            let wrong = format!(
                "repeats of '{name}' are dropped for {}, but attempts may be made for {}",
                e.span, class.deadline
            );
            let mend = "set 'dropped-for' to at least 'deadline', or shorten the deadline";
            let f = s.finding(
                "LB0303",
                &key(if class.dropped_for.is_some() { "dropped-for" } else { "deadline" }),
                wrong,
                mend,
            );
            findings.push(with_related(f, s.place(&key("deadline")), "the deadline"));
        }
        if e.repeats == Repeats::Harmless && class.ordered {
            let wrong =
                format!("'{name}' is ordered and may be repeated: a late repeat would undo the next message");
            let mend = "set ordered = false, or set repeats = \"dropped\" or \"forbidden\"";
            let f = s.finding("LB0305", &key("ordered"), wrong, mend);
            findings.push(match e.from.clone() {
                Some(from) => with_related(f, from, "a repeat is harmless"),
                None => f,
            });
        }
        if e.repeats == Repeats::Forbidden && class.remembered < class.deadline {
            let wrong = format!(
                "'{name}' must not be repeated, but is remembered for {} and may be submitted for {}",
                class.remembered, class.deadline
            );
            let f = s.finding("LB0308", &key("remembered"), wrong, "set 'remembered' to at least 'deadline'");
            findings.push(with_related(f, s.place(&key("deadline")), "the deadline"));
        }
    }
}

/// The name of the value in settings files.
pub(crate) fn repeats_name(r: Repeats) -> &'static str {
    match r {
        Repeats::Forbidden => "forbidden",
        Repeats::Dropped => "dropped",
        Repeats::Harmless => "harmless",
    }
}

/// Checks the uses of an application against the application and their agreements.
fn check_uses(set: &FileSet, app: &ApplicationFile, findings: &mut Vec<Finding>) {
    let (s, a) = (&set.sources[&app.file], &app.record);
    for (at, used) in a.uses.iter().enumerate() {
        let key = |key: &str| format!("uses[{at}].{key}");
        check_required(
            s,
            &key("agreement"),
            &used.agreement,
            "set the path of the destination's agreement",
            findings,
        );
        for (list, what) in
            [(&used.tenants, "tenants"), (&used.endpoints, "endpoints"), (&used.classes, "classes")]
        {
            let path = key(what);
            check_duplicates(
                s,
                "LB0101",
                what.trim_end_matches('s'),
                with_paths(list.as_deref().unwrap_or(&[]), &path),
                findings,
            );
        }
        for (path, tenant) in with_paths(used.tenants.as_deref().unwrap_or(&[]), &key("tenants")) {
            if !a.tenants.contains_key(tenant) && !s.is_unreadable("tenants") {
                let wrong = format!("the application has no tenant '{tenant}'");
                findings.push(s.finding(
                    "LB0204",
                    &path,
                    wrong,
                    format!("add a table [tenants.{tenant}], or correct the name"),
                ));
            }
        }
        for (path, class) in with_paths(used.classes.as_deref().unwrap_or(&[]), &key("classes")) {
            if !a.classes.contains_key(class) && !s.is_unreadable("classes") {
                let wrong = format!("the application has no class '{class}'");
                findings.push(s.finding(
                    "LB0203",
                    &path,
                    wrong,
                    format!("add a table [classes.{class}], or correct the name"),
                ));
            }
        }
    }
    // Two uses of one destination must name different tenants; otherwise it is undefined from whose share a
    // message is taken.
    let all: Vec<ResolvedUse> = set.resolved_uses(app).collect();
    for (i, u) in all.iter().enumerate() {
        for o in all[..i].iter().filter(|o| o.agreement_source.file == u.agreement_source.file) {
            let disjoint = match (&u.entry.tenants, &o.entry.tenants) {
                (Some(x), Some(y)) => x.iter().all(|t| !y.contains(t)),
                _ => false,
            };
            if !disjoint {
                let wrong = format!("'{}' is used twice without separate 'tenants'", u.destination_name());
                let f = u.source.finding(
                    "LB0101",
                    &u.key_path("agreement"),
                    wrong,
                    "list different 'tenants' in each of the two, or remove one",
                );
                findings.push(with_related(
                    f,
                    u.source.place(&o.key_path("agreement")),
                    "first defined here",
                ));
            }
        }
    }
    check_probe_calls(&all, findings);
    let mut buildings: BTreeSet<&Name> = BTreeSet::new();
    for u in &all {
        buildings.extend(&u.agreement.buildings);
        check_use_against_agreement(u, findings);
    }
    if let Some(b) = a.building.as_ref().filter(|b| !all.is_empty() && !buildings.contains(b)) {
        let known: Vec<&str> = buildings.iter().map(|b| b.0.as_str()).collect();
        let wrong = format!("no destination has a building '{b}'");
        findings.push(s.finding("LB0201", "building", wrong, format!("use one of: {}", known.join(", "))));
    }
}

/// Checks one use against its agreement.
fn check_use_against_agreement(u: &ResolvedUse, findings: &mut Vec<Finding>) {
    let (s, agreement_source) = (u.source, u.agreement_source);
    for (path, id) in with_paths(u.entry.endpoints.as_deref().unwrap_or(&[]), &u.key_path("endpoints")) {
        if !u.agreement.endpoints.iter().any(|e| e.id.as_ref() == Some(id))
            && !agreement_source.is_unreadable("endpoints")
        {
            let known: Vec<&str> =
                u.agreement.endpoints.iter().filter_map(|e| Some(e.id.as_ref()?.0.as_str())).collect();
            let wrong = format!("'{}' has no endpoint '{id}'", u.destination_name());
            let f = s.finding("LB0205", &path, wrong, format!("use one of: {}", known.join(", ")));
            findings.push(with_related(
                f,
                agreement_source.place("endpoints"),
                "the destination's endpoints",
            ));
        }
    }
    for (path, class) in with_paths(u.entry.classes.as_deref().unwrap_or(&[]), &u.key_path("classes")) {
        let ours = u.app.record.classes.contains_key(class);
        if ours && !u.agreement.classes.contains_key(class) && !agreement_source.is_unreadable("classes") {
            let wrong = format!("'{}' does not accept the class '{class}'", u.destination_name());
            let f = s.finding(
                "LB0203",
                &path,
                wrong,
                "remove it, or agree on it with the destination's operator",
            );
            findings.push(with_related(f, agreement_source.place("classes"), "the classes that it accepts"));
        }
    }
    if let Some(limit) = u.agreement.limit {
        let mend = format!("set the application's share of the limit of {limit}: share = \"40%\"");
        check_required(s, &u.key_path("share"), &u.entry.share, &mend, findings);
        if let Some(share) = u.entry.share {
            let calls = share.of_calls(limit.calls);
            if calls == 0 {
                let wrong = format!("{share} of {limit} is less than one call");
                let f = s.finding(
                    "LB0403",
                    &u.key_path("share"),
                    wrong,
                    format!("one call needs a share of {}%", 100.0 / f64::from(limit.calls)),
                );
                findings.push(with_related(f, agreement_source.place("limit"), "the destination's limit"));
            }
        }
    } else if u.entry.share.is_some() && !agreement_source.is_unreadable("limit") {
        let wrong = format!("'{}' has no limit, so a share of it has no meaning", u.destination_name());
        findings.push(s.finding(
            "LB0409",
            &u.key_path("share"),
            wrong,
            "remove it, or set the limit in the agreement",
        ));
    }
    let takes =
        u.agreement.connections.is_some() || u.agreement.endpoints.iter().any(|e| e.connections.is_some());
    if takes {
        check_required(
            s,
            &u.key_path("connections"),
            &u.entry.connections,
            "set the most connections that the application opens to each endpoint",
            findings,
        );
    }
    if u.entry.connections == Some(0) {
        findings.push(s.finding(
            "LB0403",
            &u.key_path("connections"),
            "no connection is allowed",
            "set it to 1 or more",
        ));
    }
    let deadlines = u.app.record.classes.iter().filter(|(n, _)| accepts_class(u, n));
    if let Some((name, class)) = deadlines.max_by(|a, b| a.1.deadline.0.total_cmp(&b.1.deadline.0)) {
        if u.agreement.wait_most >= class.deadline {
            let wrong = format!(
                "'{}' may ask for waits of {}, longer than any message for it is held",
                u.destination_name(),
                u.agreement.wait_most
            );
            let f = s.finding(
                "LB0503",
                &format!("classes.{name}.deadline"),
                wrong,
                "set a longer deadline, or agree on shorter waits",
            );
            findings.push(with_related(
                as_warning(f),
                agreement_source.place("wait-most"),
                "the longest wait",
            ));
        }
    }
}

/// Reports a share that probes would use up. A probe counts as a call, and endpoints in an outage are probed
/// repeatedly. All uses of a destination count as one promise.
fn check_probe_calls(all: &[ResolvedUse], findings: &mut Vec<Finding>) {
    let mut by_agreement: BTreeMap<&str, Vec<&ResolvedUse>> = BTreeMap::new();
    for u in all.iter().filter(|u| u.app.record.work.probes && u.agreement.probes) {
        by_agreement.entry(&u.agreement_source.file).or_default().push(u);
    }
    for uses in by_agreement.values() {
        let (u, Some(limit)) = (uses[uses.len() - 1], uses[0].agreement.limit) else { continue };
        let calls: u32 = uses.iter().filter_map(|u| u.entry.share).map(|s| s.of_calls(limit.calls)).sum();
        let probes = (limit.span.0 / MIN_PROBE_INTERVAL.0).ceil() as u32;
        if calls == 0 || probes < calls {
            continue;
        }
        let wrong = format!(
            "during an outage '{}' is probed every {MIN_PROBE_INTERVAL}, {probes} times in {}, but the share is {calls}: no \
             call would be left",
            u.destination_name(),
            limit.span
        );
        let mend = "use a larger share, or set probes = false under [work]";
        let f = u.source.finding("LB0405", &u.key_path("share"), wrong, mend);
        findings.push(with_related(f, u.agreement_source.place("limit"), "the destination's limit"));
    }
}

/// Checks slots and MQTT sessions against the limit on file descriptors.
pub(crate) fn check_descriptors(
    s: &Source,
    slots: (&str, u32),
    sessions: u32,
    allowed: (&str, u32),
    findings: &mut Vec<Finding>,
) {
    let need = u64::from(RESERVED_DESCRIPTORS) + u64::from(sessions) + 2 * u64::from(slots.1);
    if need > u64::from(allowed.1) {
        let wrong = format!(
            "{need} file descriptors are needed, but {} are allowed: {RESERVED_DESCRIPTORS} for the process, {sessions} MQTT sessions, {} slots and as many clients",
            allowed.1, slots.1
        );
        let f = s.finding("LB0406", slots.0, wrong, "use fewer slots or sessions, or allow more descriptors");
        findings.push(with_related(f, s.place(allowed.0), "the configured maximum"));
    }
}

/// Checks slots and held messages against the limits on descriptors, memory and disk.
fn check_resources(set: &FileSet, app: &ApplicationFile, findings: &mut Vec<Finding>) {
    let (s, a) = (&set.sources[&app.file], &app.record);
    let sessions = a.listen.mqtt.map_or(0, |_| a.listen.mqtt_sessions);
    check_descriptors(
        s,
        ("work.slots", a.work.slots),
        sessions,
        ("process.descriptors", a.process.descriptors),
        findings,
    );
    let held = u64::from(a.work.held);
    let each = 2 * a.work.message.0 + MEMORY_OVERHEAD_PER_MESSAGE_BYTES;
    let connections = u64::from(a.process.descriptors) * MEMORY_PER_CONNECTION_BYTES;
    let need = BASE_MEMORY_BYTES + held * each + connections;
    if need > a.process.memory.0 {
        let wrong = format!(
            "{} MB of memory are needed, but {} MB are allowed: {} MB for the process, {held} held messages of {each} bytes each, {} connections of {MEMORY_PER_CONNECTION_BYTES} bytes each",
            need / 1_000_000, a.process.memory.0 / 1_000_000, BASE_MEMORY_BYTES / 1_000_000, a.process.descriptors
        );
        let f = s.finding(
            "LB0407",
            "work.held",
            wrong,
            "hold fewer messages, or allow more memory under [process]",
        );
        findings.push(with_related(f, s.place("process.memory"), "the configured maximum"));
    }
    let each = a.work.message.0 + DISK_OVERHEAD_PER_MESSAGE_BYTES;
    let need = held * each * 100 / MAX_LIVE_DISK_PERCENT;
    if need > a.process.disk.0 {
        let wrong = format!(
            "{} kB of disk are needed, but {} kB are allowed: {held} held messages of {each} bytes each may fill {MAX_LIVE_DISK_PERCENT}% of the folder",
            need / 1_000, a.process.disk.0 / 1_000
        );
        let f = s.finding(
            "LB0408",
            "work.held",
            wrong,
            "hold fewer messages, or allow more disk under [process]",
        );
        findings.push(with_related(f, s.place("process.disk"), "the configured maximum"));
    }
    let connections: Option<u32> = set
        .resolved_uses(app)
        .map(|u| {
            Some(
                u.entry.connections?
                    * u.agreement
                        .endpoints
                        .iter()
                        .filter(|e| e.id.as_ref().is_some_and(|i| u.uses_endpoint(i)))
                        .count() as u32,
            )
        })
        .sum();
    if let Some(connections) = connections.filter(|n| *n < a.work.slots && *n > 0) {
        let wrong = format!(
            "{} slots are more than the {connections} connections that the application may open",
            a.work.slots
        );
        findings.push(as_warning(s.finding(
            "LB0404",
            "work.slots",
            wrong,
            format!("slots = {connections} is enough"),
        )));
    }
}

/// Checks that the state folder is usable and does not belong to another application.
pub(crate) fn check_state_folder(
    s: &Source,
    path: &str,
    own: &str,
    folders: &dyn FolderInspector,
    findings: &mut Vec<Finding>,
) {
    let (code, wrong, mend) = match folders.inspect(path) {
        FolderState::Usable => return,
        FolderState::OwnedBy(other) if other == own => return,
        FolderState::Missing => {
            let f = s.finding(
                "LB0601",
                "state",
                format!("the folder '{path}' does not exist yet"),
                format!("it is created at startup; to create it now: mkdir {path}"),
            );
            return findings.push(as_warning(f));
        }
        FolderState::Unusable(why) => (
            "LB0602",
            format!("'{path}' cannot be used as a folder: {why}"),
            "set a folder on a disk of this machine",
        ),
        FolderState::ReadOnly => (
            "LB0603",
            format!("the folder '{path}' is not writable"),
            "make it writable for the user that runs the dispatcher",
        ),
        FolderState::OwnedBy(other) => (
            "LB0604",
            format!("the folder '{path}' holds the journal of '{other}'"),
            "use a separate folder for each application",
        ),
    };
    findings.push(s.finding(code, "state", wrong, mend));
}
