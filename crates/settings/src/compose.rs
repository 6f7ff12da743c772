//! Composes the first settings file of an application from agreements. The file is complete, has comments,
//! and passes the check without changes.

use crate::agreement::{Agreement, Area, Repeats};
use crate::check::repeats_name;
use crate::units::{Address, Name, Share, Span};
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// The number of slots where no limit on connections bounds it, and the most that are written.
const DEFAULT_SLOTS: u32 = 32;

/// The values for a new application.
#[derive(Debug, Clone)]
pub struct NewApplication {
    /// The application's name.
    pub name: Name,
    /// The address for RESP2 clients.
    pub resp: Address,
    /// The address for MQTT clients; none if the MQTT front end is off.
    pub mqtt: Option<Address>,
    /// The state folder.
    pub state: String,
    /// The share of each destination's limit, and of the connections that its endpoints take.
    pub share: Share,
    /// The application's building; without it, the first building of the first agreement.
    pub building: Option<Name>,
    /// The address of the registry.
    pub discovery: Option<Address>,
    /// The receiver of notices; without it, the registry, or the log if there is no registry.
    pub notices: Option<String>,
    /// The application's tenants.
    pub tenants: Vec<Name>,
}

/// Returns the text of the file. The paths of the agreements are relative to the folder of the new file.
pub fn compose(new: &NewApplication, agreements: &[(String, &Agreement)]) -> String {
    let mut text = String::new();
    let quoted = |text: &str| toml::Value::String(text.into()).to_string();
    let first = agreements.first().and_then(|a| a.1.buildings.first());
    let building = new.building.as_ref().or(first).map_or("building", |n| n);
    let _ = writeln!(
        text,
        "# Settings of the dispatcher for '{}'. To check them: lilacbank app check FILE",
        new.name
    );
    let _ = writeln!(text, "# To list all keys and their defaults: lilacbank schema application");
    let _ = writeln!(text, "application = \"{}\"", new.name);
    let _ = writeln!(
        text,
        "# Folder for accepted messages, which outlast the process.\nstate = {}",
        quoted(&new.state)
    );
    let _ = writeln!(
        text,
        "# The building in which the dispatcher runs; calls to other buildings may cost more.\n\
             building = \"{building}\""
    );
    match &new.discovery {
        Some(d) => {
            let _ = writeln!(
                text,
                "# The registry; its endpoint list replaces the endpoints in the agreements.\n\
             discovery = \"{d}\""
            );
        }
        None => text += "# Without 'discovery', only the endpoints in the agreements are used.\n",
    }
    if new.discovery.is_none() || new.notices.is_some() {
        let to = new.notices.as_deref().unwrap_or("log");
        let _ = writeln!(
            text,
            "# Receiver of notices about accepted messages of RESP2 clients that were not delivered.\nnotices = {}",
            quoted(to)
        );
    }
    let _ = writeln!(text, "\n[listen]\nresp = \"{}\"", new.resp);
    match &new.mqtt {
        Some(m) => {
            let _ = writeln!(text, "mqtt = \"{m}\"");
        }
        None => text += "# mqtt = \"127.0.0.1:1883\"\n",
    }
    text += "\n[log]\n# \"text\" for people, \"json\" for machines.\nformat = \"text\"\n";
    for tenant in &new.tenants {
        let _ = writeln!(
            text,
            "\n[tenants.{}]\n# Messages over this share get the lowest priority.\n# share = \"20/s\"",
            toml_key(tenant)
        );
    }
    write_classes(&mut text, agreements);
    for (path, a) in agreements {
        let _ = writeln!(text, "\n# {}", a.member.as_ref().map_or("", |m| m));
        let _ = writeln!(text, "[[uses]]\nagreement = {}", quoted(path));
        if let Some(limit) = a.limit {
            let n = new.share.of_calls(limit.calls);
            let _ = writeln!(
                text,
                "# {n} calls of the limit of {limit}; the shares of all applications add up to 100% at most.\n\
             share = \"{}\"",
                new.share
            );
        }
        let fewest = a.endpoints.iter().filter_map(|e| e.connections.or(a.connections)).min();
        if let Some(takes) = fewest {
            let n = new.share.of_calls(takes).max(1);
            let _ = writeln!(
                text,
                "# For each endpoint, idle connections included; an endpoint takes {takes} from all applications together.\n\
             connections = {n}"
            );
        }
    }
    let connections = agreements.iter().map(|(_, a)| {
        let fewest = a.endpoints.iter().filter_map(|e| e.connections.or(a.connections)).min();
        fewest.map(|takes| new.share.of_calls(takes).max(1) * a.endpoints.len() as u32)
    });
    // More slots than promised connections could never be used. The upper bound leaves file descriptors for
    // clients: each slot counts twice in the check.
    let slots = connections.sum::<Option<u32>>().unwrap_or(DEFAULT_SLOTS).clamp(1, DEFAULT_SLOTS);
    let _ = writeln!(
        text,
        "\n[work]\n# The most concurrent calls, and the most messages held at once.\n\
             slots = {slots}\nheld = 500"
    );
    let probes = agreements.iter().all(|(_, a)| {
        a.limit.is_none_or(|l| (l.span.0 / 500.0).ceil() < f64::from(new.share.of_calls(l.calls)))
    });
    if !probes {
        text += "# A probe counts as a call, and probes would use up the share.\nprobes = false\n";
    }
    text
}

/// Quotes a name that is not a bare TOML key.
fn toml_key(name: &Name) -> String {
    if name.0.contains('.') {
        format!("\"{name}\"")
    } else {
        name.0.clone()
    }
}

/// Writes all classes of all agreements, each with the strictest terms that an agreement sets for it.
fn write_classes(text: &mut String, agreements: &[(String, &Agreement)]) {
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
            text,
            "\n[classes.{}]\n# The strictest of the agreements.\nrepeats = \"{}\"",
            toml_key(name),
            repeats_name(repeats)
        );
        let mut deadline = Span(20_000.0);
        if repeats == Repeats::Dropped {
            let span = span.unwrap_or(deadline);
            let area = if area == Area::Building { "building" } else { "member" };
            let _ = writeln!(text, "dropped-in = \"{area}\"\ndropped-for = \"{span}\"");
            deadline = Span(deadline.0.min(span.0));
        }
        let wanted = Span(3_000f64.min(deadline.0));
        let _ = writeln!(
            text,
            "# Full worth within 'wanted', declining until 'deadline'; after that a message is given up.\n\
             wanted = \"{wanted}\"\ndeadline = \"{deadline}\""
        );
        text.push_str("worth = 1.0\nlate-worth = 0.5\n");
    }
}
