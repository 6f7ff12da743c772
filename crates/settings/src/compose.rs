//! Writes an application's first file from agreements: commented, complete, and good as it stands.

use crate::agreement::{Agreement, Area, Repeats};
use crate::check::word;
use crate::units::{Address, Name, Share, Span};
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Slots where nothing else bounds them.
const SLOTS: u32 = 32;

/// What is asked for.
#[derive(Debug, Clone)]
pub struct Wanted {
    /// The application's name.
    pub name: Name,
    /// Where RESP2 clients connect.
    pub resp: Address,
    /// Where MQTT clients connect.
    pub mqtt: Option<Address>,
    /// The folder that outlasts the process.
    pub state: String,
    /// The part of each member's limit, and of the connections to its endpoints.
    pub share: Share,
    /// Its building; without it, the first of the first member.
    pub building: Option<Name>,
    /// The registry.
    pub discovery: Option<Address>,
    /// Where ends are told; without it, the registry or the log.
    pub notices: Option<String>,
    /// Its tenants.
    pub tenants: Vec<Name>,
}

/// The text of the file. The agreements come with their paths as seen from it.
pub fn compose(w: &Wanted, agreements: &[(String, &Agreement)]) -> String {
    let mut t = String::new();
    let quoted = |text: &str| toml::Value::String(text.into()).to_string();
    let first = agreements.first().and_then(|a| a.1.buildings.first());
    let building = w.building.as_ref().or(first).map_or("building", |n| n);
    let _ = writeln!(t, "# The dispatcher beside '{}'. Check it by: lilacbank app check FILE", w.name);
    let _ = writeln!(t, "# Every key and its default: lilacbank schema application");
    let _ = writeln!(t, "application = \"{}\"", w.name);
    let _ = writeln!(t, "# What it has taken on outlasts its process here.\nstate = {}", quoted(&w.state));
    let _ =
        writeln!(t, "# Where it stands; calls to other buildings may cost more.\nbuilding = \"{building}\"");
    match &w.discovery {
        Some(d) => {
            let _ =
                writeln!(t, "# The registry: its list replaces that of the agreements.\ndiscovery = \"{d}\"");
        }
        None => t += "# Without 'discovery' the endpoints of the agreements are all there are.\n",
    }
    if w.discovery.is_none() || w.notices.is_some() {
        let to = w.notices.as_deref().unwrap_or("log");
        let _ = writeln!(
            t,
            "# Where RESP2 clients hear of messages that were taken on and not delivered.\nnotices = {}",
            quoted(to)
        );
    }
    let _ = writeln!(t, "\n[listen]\nresp = \"{}\"", w.resp);
    match &w.mqtt {
        Some(m) => {
            let _ = writeln!(t, "mqtt = \"{m}\"");
        }
        None => t += "# mqtt = \"127.0.0.1:1883\"\n",
    }
    t += "\n[log]\n# \"text\" for people, \"json\" for machines.\nformat = \"text\"\n";
    for tenant in &w.tenants {
        let _ = writeln!(
            t,
            "\n[tenants.{}]\n# Messages beyond this come last.\n# share = \"20/s\"",
            toml_key(tenant)
        );
    }
    classes(&mut t, agreements);
    for (path, a) in agreements {
        let _ = writeln!(t, "\n# {}", a.member.as_ref().map_or("", |m| m));
        let _ = writeln!(t, "[[uses]]\nagreement = {}", quoted(path));
        if let Some(limit) = a.limit {
            let n = w.share.of(limit.calls);
            let _ = writeln!(
                t,
                "# {n} calls of {limit}; all applications together may promise the whole.\nshare = \"{}\"",
                w.share
            );
        }
        let fewest = a.endpoints.iter().filter_map(|e| e.connections.or(a.connections)).min();
        if let Some(takes) = fewest {
            let n = w.share.of(takes).max(1);
            let _ = writeln!(
                t,
                "# To each endpoint, idle ones counted; it takes {takes} from everybody.\nconnections = {n}"
            );
        }
    }
    let links = agreements.iter().map(|(_, a)| {
        let fewest = a.endpoints.iter().filter_map(|e| e.connections.or(a.connections)).min();
        fewest.map(|takes| w.share.of(takes).max(1) * a.endpoints.len() as u32)
    });
    // No more slots than connections that are promised; half the descriptors are for clients.
    let slots = links.sum::<Option<u32>>().unwrap_or(SLOTS).clamp(1, SLOTS);
    let _ = writeln!(t, "\n[work]\n# Calls out at once, messages held at once.\nslots = {slots}\nheld = 500");
    let probes = agreements
        .iter()
        .all(|(_, a)| a.limit.is_none_or(|l| (l.span.0 / 500.0).ceil() < f64::from(w.share.of(l.calls))));
    if !probes {
        t += "# A probe counts as a call, and the share is too small for them.\nprobes = false\n";
    }
    t
}

fn toml_key(name: &Name) -> String {
    if name.0.contains('.') {
        format!("\"{name}\"")
    } else {
        name.0.clone()
    }
}

/// All classes of all agreements, each as strict as the strictest.
fn classes(t: &mut String, agreements: &[(String, &Agreement)]) {
    let mut all: BTreeMap<&Name, (Repeats, Area, Option<Span>)> = BTreeMap::new();
    for (name, c) in agreements.iter().flat_map(|(_, a)| &a.classes) {
        let theirs =
            (c.repeats.unwrap_or(Repeats::Forbidden), c.dropped_in.unwrap_or(Area::Building), c.dropped_for);
        let old = all.entry(name).or_insert((theirs.0, Area::Member, None));
        old.0 = old.0.min(theirs.0);
        if theirs.0 == Repeats::Dropped {
            old.1 = old.1.min(theirs.1);
            old.2 = match (old.2, theirs.2) {
                (Some(a), Some(b)) => Some(Span(a.0.min(b.0))),
                (a, b) => a.or(b),
            };
        }
    }
    for (name, (repeats, area, span)) in all {
        let _ = writeln!(
            t,
            "\n[classes.{}]\n# What the members say of it.\nrepeats = \"{}\"",
            toml_key(name),
            word(repeats)
        );
        let mut deadline = Span(20_000.0);
        if repeats == Repeats::Dropped {
            let span = span.unwrap_or(deadline);
            let area = if area == Area::Building { "building" } else { "member" };
            let _ = writeln!(t, "dropped-in = \"{area}\"\ndropped-for = \"{span}\"");
            deadline = Span(deadline.0.min(span.0));
        }
        let wanted = Span(3_000f64.min(deadline.0));
        let _ = writeln!(t, "# Worth all within 'wanted', less and less up to 'deadline', then given up.\nwanted = \"{wanted}\"\ndeadline = \"{deadline}\"");
        t.push_str("worth = 1.0\nlate-worth = 0.5\n");
    }
}
