//! The JSON that a dispatcher reads, as one type: what is rendered, and what is checked when somebody edits it.

use crate::check::{self, between, needed, twice, with, Folders};
use crate::finding::Finding;
use crate::source::Source;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Bounds of the process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Part of a core.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cores: Option<f64>,
    /// File descriptors.
    pub sockets: u32,
    /// Disk in the state folder, in megabytes.
    pub disk_mb: f64,
    /// Memory, in megabytes.
    pub memory_mb: f64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { cores: None, sockets: 1024, disk_mb: 3.0, memory_mb: 192.0 }
    }
}

/// A worker of the list.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Target {
    /// Its id.
    pub uid: String,
    /// Where it is reached.
    pub endpoint: String,
    /// Its zone.
    pub az: String,
    /// Its destination's kind.
    pub model: String,
    /// Its destination.
    pub pod_group: u64,
    /// `in_service`, `terminating` or `terminated`.
    pub state: String,
    /// What it takes, as a hint.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub capacity_hint: Option<f64>,
    /// When it started.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub boot_ms: Option<f64>,
}

/// The list of workers.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Known {
    /// Its version.
    pub rev: u64,
    /// It is the whole list.
    pub all: bool,
    /// The workers.
    pub targets: Vec<Target>,
}

/// A class of messages; times in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// `idempotent`, `deduplicated` or `at_most_once`.
    pub effect: String,
    /// Repeats are dropped by the same `zone` or by `all`.
    pub group: String,
    /// Wanted within.
    pub promise: Option<f64>,
    /// Given up after.
    pub deadline: f64,
    /// Repeats are dropped for.
    pub window: f64,
    /// Messages of a key go in order.
    pub in_order: bool,
    /// Worth of a message.
    pub worth: f64,
    /// Part of it that is left at the deadline.
    pub late_worth: f64,
    /// The promise grows by so many times the work.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub aim_stretch: Option<f64>,
}

impl Default for Class {
    fn default() -> Class {
        Class {
            name: String::new(),
            effect: "at_most_once".into(),
            group: "zone".into(),
            promise: None,
            deadline: 0.0,
            window: 0.0,
            in_order: false,
            worth: 1.0,
            late_worth: 0.0,
            aim_stretch: None,
        }
    }
}

/// What the dispatcher may do.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Ceilings {
    /// Attempts may be called off.
    pub cancel: bool,
    /// Workers may be probed.
    pub probes: bool,
    /// Clients heed waits,
    pub retry_after: bool,
    /// up to so many milliseconds.
    pub max_retry_after: f64,
    /// A connection that is not up by then is given up.
    pub connect_timeout: f64,
    /// Idle connections are closed after this.
    pub keepalive: f64,
    /// Messages held at once.
    pub max_open: u32,
    /// Attempts for a message.
    pub most_tries: u32,
}

impl Default for Ceilings {
    fn default() -> Ceilings {
        Ceilings {
            cancel: true,
            probes: true,
            retry_after: true,
            max_retry_after: 2_000.0,
            connect_timeout: 1_000.0,
            keepalive: 10_000.0,
            max_open: 1_000,
            most_tries: 8,
        }
    }
}

/// The rules' figures.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Guarantees {
    /// A final answer may be this late.
    pub answer_slack: f64,
    /// Sends to a draining worker have ended after this.
    pub drain_grace: f64,
    /// Rest of a key.
    pub key_quiet: f64,
    /// A cold worker falls over above so many times what it can take,
    pub overload_factor: f64,
    /// held for this.
    pub overload_for: f64,
    /// Part of its capacity that a worker has after an outage.
    pub cold_from: f64,
    /// It has all of it after this.
    pub cold: f64,
    /// A list that was asked for counts as known after this.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ask_within: Option<f64>,
}

impl Default for Guarantees {
    fn default() -> Guarantees {
        Guarantees {
            answer_slack: 20.0,
            drain_grace: 2_000.0,
            key_quiet: 100.0,
            overload_factor: 2.0,
            overload_for: 2_000.0,
            cold_from: 0.22,
            cold: 13_000.0,
            ask_within: None,
        }
    }
}

/// What the destinations are like.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Family {
    /// Calls out at once.
    pub slots: u32,
    /// By kind: workers are routes apart.
    pub kind_apart: Vec<bool>,
    /// By kind: messages in one call.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub batch_by_kind: Vec<f64>,
    /// By zone: fee of a route.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub route_fee: Vec<f64>,
    /// Price of a refusal.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub turned_away_price: Option<f64>,
    /// How worth falls.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub decay: Option<String>,
}

impl Default for Family {
    fn default() -> Family {
        Family {
            slots: 32,
            kind_apart: vec![],
            batch_by_kind: vec![],
            route_fee: vec![],
            turned_away_price: None,
            decay: None,
        }
    }
}

/// A tenant.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its share, in messages a second.
    pub quota_per_s: f64,
}

/// Prices, in shares of a mean message.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Prices {
    /// Of a call across zones.
    pub cross_zone: f64,
    /// Of a new connection.
    pub handshake: f64,
}

/// What clients do.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Callers {
    /// They mark what they hand in again.
    pub marks_retry: bool,
}

/// The settings of the decision module.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Dispatchers that share the work.
    pub balancers: f64,
    /// Least span between two batches of events.
    pub round: f64,
    /// The classes.
    pub classes: Vec<Class>,
    /// What it may do.
    pub ceilings: Ceilings,
    /// The rules' figures.
    pub guarantees: Guarantees,
    /// What the destinations are like.
    pub family_info: Family,
    /// The kinds of destination.
    pub kinds: Vec<String>,
    /// The zones.
    pub zones: Vec<String>,
    /// The own zone.
    pub zone: String,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// Part of its worth that a message beyond a tenant's share keeps.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub over_share_worth: Option<f64>,
    /// Prices.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prices: Option<Prices>,
    /// What clients do.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub callers: Option<Callers>,
    /// How the list comes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub discovery: Option<String>,
    /// What the weights of the list mean.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weights: Option<String>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            balancers: 1.0,
            round: 1.0,
            classes: Vec::new(),
            ceilings: Ceilings::default(),
            guarantees: Guarantees::default(),
            family_info: Family::default(),
            kinds: Vec::new(),
            zones: Vec::new(),
            zone: String::new(),
            tenants: Vec::new(),
            over_share_worth: None,
            prices: None,
            callers: None,
            discovery: None,
            weights: None,
        }
    }
}

/// What a member says of a class.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Accepts {
    /// The most that the member allows: `idempotent`, `deduplicated` or `at_most_once`.
    pub effect: String,
    /// How long it drops repeats, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub window: Option<f64>,
}

/// What is promised of a member.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its destination.
    pub dest: u64,
    /// Calls in any span; none: no limit.
    pub calls: Option<u32>,
    /// The span, in milliseconds.
    pub span: f64,
    /// A call arrives at most so long after its last byte was written, in milliseconds.
    pub travel: f64,
    /// Each endpoint has a limit of its own.
    pub each: bool,
    /// Connections to each endpoint.
    pub connections: Option<u32>,
    /// What it says of the classes that it accepts.
    pub accepts: BTreeMap<String, Accepts>,
}

/// A class that is never repeated.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Once {
    /// Its name.
    pub class: String,
    /// How long after its end a message is remembered, in milliseconds.
    pub remembered: f64,
}

/// A cell.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Cell {
    /// Its name.
    pub name: String,
    /// Its part beside those of the others.
    pub weight: f64,
    /// The tenants that live in it.
    pub tenants: Vec<String>,
}

/// The MQTT front.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Mqtt {
    /// Where it listens.
    pub listen: String,
    /// Connections at once.
    pub sessions: u32,
}

/// The log.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// `text` or `json`.
    pub format: String,
    /// What is logged.
    pub level: String,
}

/// A dispatcher of the map.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Where other dispatchers reach it.
    pub peer: String,
    /// Where its RESP2 clients connect.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub resp: Option<String>,
    /// Where its MQTT clients connect.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mqtt: Option<String>,
}

/// A cell of the map.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Area {
    /// Its name.
    pub name: String,
    /// Its part of the tenants that no cell names.
    pub weight: f64,
    /// Its dispatchers.
    pub dispatchers: Vec<String>,
    /// The tenants that live in it.
    pub tenants: Vec<String>,
}

/// The cell map that it shares with other dispatchers.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Mesh {
    /// Which of the dispatchers this one is.
    pub dispatcher: String,
    /// The map's name.
    pub map: String,
    /// The map's version.
    pub version: u64,
    /// The dispatchers.
    pub dispatchers: Vec<Peer>,
    /// The cells.
    pub cells: Vec<Area>,
}

/// What makes a dispatcher a sidecar: none of it is there on the platform.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Sidecar {
    /// What is promised, member by member.
    pub members: Vec<Member>,
    /// Classes that are never repeated.
    pub once: Vec<Once>,
    /// The cells that share it; none: it is undivided.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub cells: Vec<Cell>,
    /// The map that it shares with other dispatchers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mesh: Option<Mesh>,
    /// The MQTT front.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mqtt: Option<Mqtt>,
    /// The log.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub log: Option<Log>,
}

/// The whole file.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Served {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: Option<String>,
    /// The registry; none: the list in this file is all.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub discovery: Option<String>,
    /// Where notices go, if not to the registry: an address, or `log`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub notices: Option<String>,
    /// Seed of all randomness.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub seed: Option<String>,
    /// The folder that outlasts the process.
    pub state: Option<String>,
    /// Bounds of the process.
    pub limits: Limits,
    /// The list of workers.
    pub known: Known,
    /// The settings.
    pub settings: Settings,
    /// What makes it a sidecar.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub sidecar: Option<Sidecar>,
}

const EFFECTS: [&str; 3] = ["at_most_once", "deduplicated", "idempotent"];

/// How much an effect allows; unknown ones allow nothing.
fn allows(effect: &str) -> usize {
    EFFECTS.iter().position(|e| *e == effect).unwrap_or(0)
}

impl Served {
    /// The JSON text.
    pub fn text(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default() + "\n"
    }

    /// Reads a file and reports all that is wrong with it.
    pub fn read(file: &str, text: &str, folders: &dyn Folders, found: &mut Vec<Finding>) -> (Source, Served) {
        let mut source = Source::json(file, text, found);
        let broken = !found.is_empty() && source.tree.as_object().is_none_or(|o| o.is_empty());
        let served: Served = source.read(found);
        if !broken {
            served.check(&source, folders, found);
        }
        (source, served)
    }

    fn check(&self, s: &Source, folders: &dyn Folders, found: &mut Vec<Finding>) {
        needed(s, "listen", &self.listen, "say where clients connect", found);
        needed(s, "state", &self.state, "name a folder that outlasts the process", found);
        self.addresses(s, found);
        if let Some(path) = &self.state {
            check::folder(s, path, &self.name, folders, found);
        }
        let (set, tries) = (&self.settings, &self.settings.ceilings);
        if set.classes.is_empty() && !s.is_spoilt("settings.classes") {
            found.push(s.fault("LB0006", "settings.classes", "there is no class of messages", "add one"));
        }
        let key = |i: usize, key: &str| format!("settings.classes[{i}].{key}");
        let names = set.classes.iter().enumerate().map(|(i, c)| (key(i, "name"), &c.name));
        twice(s, "LB0101", "class", names, found);
        let tenants =
            set.tenants.iter().enumerate().map(|(i, t)| (format!("settings.tenants[{i}].name"), &t.name));
        twice(s, "LB0101", "tenant", tenants, found);
        for (i, c) in set.classes.iter().enumerate() {
            self.class(s, i, c, found);
        }
        let hour = 3_600_000.0;
        between(s, "settings.ceilings.max_open", tries.max_open, 1, 1_000_000, found);
        between(s, "settings.ceilings.most_tries", tries.most_tries, 1, 8, found);
        between(s, "settings.ceilings.connect_timeout", tries.connect_timeout, 1.0, 60_000.0, found);
        between(s, "settings.ceilings.keepalive", tries.keepalive, 0.0, hour, found);
        between(s, "settings.ceilings.max_retry_after", tries.max_retry_after, 0.0, hour, found);
        between(s, "settings.family_info.slots", set.family_info.slots, 1, 100_000, found);
        between(s, "limits.disk_mb", self.limits.disk_mb, 0.01, 1e6, found);
        between(s, "limits.memory_mb", self.limits.memory_mb, 8.0, 1e6, found);
        if set.guarantees.drain_grace > check::DRAIN_MOST.0 {
            let wrong =
                format!("the drain time of {} ms is over {}", set.guarantees.drain_grace, check::DRAIN_MOST);
            found.push(s.fault("LB0302", "settings.guarantees.drain_grace", wrong, "write 2000 or less"));
        }
        if tries.keepalive > 0.0 && tries.keepalive <= check::IDLE_MARGIN.0 {
            let wrong = format!("idle connections are closed {} early, so none is kept", check::IDLE_MARGIN);
            found.push(s.fault(
                "LB0502",
                "settings.ceilings.keepalive",
                wrong,
                "write 2000 or more, or 0 for no end",
            ));
        }
        let sessions = self.sidecar.as_ref().and_then(|c| c.mqtt.as_ref()).map_or(0, |m| m.sessions);
        let slots = ("settings.family_info.slots", set.family_info.slots);
        check::descriptors(s, slots, sessions, ("limits.sockets", self.limits.sockets), found);
        self.targets(s, found);
        if let Some(c) = &self.sidecar {
            self.sidecar(s, c, found);
        }
    }

    fn addresses(&self, s: &Source, found: &mut Vec<Finding>) {
        let notices = self.notices.as_ref().filter(|n| *n != "log");
        let mqtt = self.sidecar.as_ref().and_then(|c| c.mqtt.as_ref()).map(|m| &m.listen);
        let all = [
            ("listen", self.listen.as_ref()),
            ("sidecar.mqtt.listen", mqtt),
            ("discovery", self.discovery.as_ref()),
            ("notices", notices),
        ];
        let mut known: Vec<(&str, SocketAddr)> = Vec::new();
        for (key, text) in all.into_iter().filter_map(|(k, v)| Some((k, v?))) {
            let Ok(address) = text.parse::<SocketAddr>() else {
                let wrong = format!("'{text}' is not an address with a port");
                found.push(s.fault(
                    "LB0005",
                    key,
                    wrong,
                    "write an IP address with a port: \"127.0.0.1:6379\"",
                ));
                continue;
            };
            if let Some((other, _)) = known.iter().find(|k| k.1 == address && address.port() != 0) {
                let both = [*other, key] == ["discovery", "notices"];
                if !both {
                    let f = s.fault(
                        "LB0103",
                        key,
                        format!("'{key}' is {address}, and so is '{other}'"),
                        "give each an address of its own",
                    );
                    found.push(with(f, s.place(other), "the same address"));
                }
            }
            known.push((key, address));
        }
        if self.discovery.is_none() && !s.is_spoilt("discovery") {
            if self.known.targets.is_empty() && !s.is_spoilt("known") {
                let mend = "name the registry, or list the workers under 'known'";
                found.push(s.fault(
                    "LB0702",
                    "discovery",
                    "there is neither a registry nor a list of workers",
                    mend,
                ));
            } else if self.notices.is_none() && !s.is_spoilt("notices") {
                let wrong = "nobody would hear of a message that was taken on and not delivered";
                found.push(s.fault(
                    "LB0701",
                    "notices",
                    wrong,
                    "write \"notices\": \"log\", or an address that takes notices",
                ));
            }
        }
    }

    fn class(&self, s: &Source, i: usize, c: &Class, found: &mut Vec<Finding>) {
        let key = |key: &str| format!("settings.classes[{i}].{key}");
        let name = &c.name;
        if name.is_empty() && !s.is_spoilt(&key("name")) {
            found.push(s.fault("LB0006", &key("name"), "the class has no name", "give it one"));
        }
        if !EFFECTS.contains(&c.effect.as_str()) {
            let wrong = format!("'{}' is no effect", c.effect);
            found.push(s.fault(
                "LB0005",
                &key("effect"),
                wrong,
                format!("one of {} is meant", EFFECTS.join(", ")),
            ));
        }
        if !["zone", "all"].contains(&c.group.as_str()) {
            found.push(s.fault(
                "LB0005",
                &key("group"),
                format!("'{}' is no group", c.group),
                "write \"zone\" or \"all\"",
            ));
        }
        let hour = 3_600_000.0;
        if !s.is_spoilt(&key("deadline")) {
            between(s, &key("deadline"), c.deadline, 1.0, hour, found);
        }
        between(s, &key("worth"), c.worth, 0.0, 1_000.0, found);
        between(s, &key("late_worth"), c.late_worth, 0.0, 1.0, found);
        if c.promise.is_some_and(|p| p > c.deadline || p < 0.0) {
            let f = s.fault(
                "LB0306",
                &key("promise"),
                format!("'{name}' is wanted after it is given up"),
                "let 'deadline' be as long as 'promise' or longer",
            );
            found.push(with(f, s.place(&key("deadline")), "the deadline"));
        }
        if c.effect == "deduplicated" && c.window < c.deadline {
            let wrong = format!(
                "repeats of '{name}' are dropped for {} ms and it may be sent for {} ms",
                c.window, c.deadline
            );
            let f =
                s.fault("LB0303", &key("window"), wrong, "let 'window' be as long as 'deadline' or longer");
            found.push(with(f, s.place(&key("deadline")), "the deadline"));
        }
        if c.effect == "idempotent" && c.in_order {
            let wrong = format!(
                "'{name}' is ordered and may be repeated: a late repeat would undo the message after it"
            );
            found.push(s.fault("LB0305", &key("in_order"), wrong, "write false, or another effect"));
        }
        let connect = self.settings.ceilings.connect_timeout;
        if connect >= c.deadline && c.deadline > 0.0 {
            let wrong = format!(
                "a connection may take {connect} ms, and '{name}' is given up after {} ms",
                c.deadline
            );
            let f = s.fault(
                "LB0501",
                "settings.ceilings.connect_timeout",
                wrong,
                "make it shorter than every deadline",
            );
            found.push(with(f, s.place(&key("deadline")), "the deadline"));
        }
    }

    fn targets(&self, s: &Source, found: &mut Vec<Finding>) {
        let key = |i: usize, key: &str| format!("known.targets[{i}].{key}");
        let all = || self.known.targets.iter().enumerate();
        twice(s, "LB0101", "worker", all().map(|(i, t)| (key(i, "uid"), &t.uid)), found);
        twice(s, "LB0102", "address", all().map(|(i, t)| (key(i, "endpoint"), &t.endpoint)), found);
        for (i, t) in all() {
            if t.uid.is_empty() {
                found.push(s.fault("LB0006", &key(i, "uid"), "the worker has no id", "give it one"));
            }
            if let Err(e) = t.endpoint.parse::<crate::units::Target>() {
                found.push(s.fault(
                    "LB0005",
                    &key(i, "endpoint"),
                    e,
                    "write \"ADDRESS:PORT\" or \"mqtt://ADDRESS:PORT/TOPIC\"",
                ));
            }
            if Some(&t.endpoint) == self.listen.as_ref() {
                let f = s.fault(
                    "LB0107",
                    &key(i, "endpoint"),
                    "the worker is at the address where the dispatcher listens",
                    "correct either",
                );
                found.push(with(f, s.place("listen"), "the listener"));
            }
            if !self.settings.zones.contains(&t.az) {
                let wrong = format!("the zone '{}' is not one of the settings'", t.az);
                found.push(s.fault(
                    "LB0201",
                    &key(i, "az"),
                    wrong,
                    "add it to 'settings.zones', or correct it",
                ));
            }
            if !self.settings.kinds.contains(&t.model) {
                let wrong = format!("the kind '{}' is not one of the settings'", t.model);
                found.push(s.fault(
                    "LB0202",
                    &key(i, "model"),
                    wrong,
                    "add it to 'settings.kinds', or correct it",
                ));
            }
            if !["in_service", "terminating", "terminated", ""].contains(&t.state.as_str()) {
                let wrong = format!("'{}' is no state", t.state);
                found.push(s.fault(
                    "LB0005",
                    &key(i, "state"),
                    wrong,
                    "write \"in_service\" or \"terminating\"",
                ));
            }
        }
    }

    fn sidecar(&self, s: &Source, c: &Sidecar, found: &mut Vec<Finding>) {
        let class = |name: &str| self.settings.classes.iter().position(|c| c.name == name);
        for (i, m) in c.members.iter().enumerate() {
            let key = |key: &str| format!("sidecar.members[{i}].{key}");
            if m.calls == Some(0) || m.connections == Some(0) {
                let path = key(if m.calls == Some(0) { "calls" } else { "connections" });
                found.push(s.fault(
                    "LB0403",
                    &path,
                    "nothing is allowed",
                    "write 1 or more, or null for no limit",
                ));
            }
            if m.calls.is_some() {
                between(s, &key("span"), m.span, 10.0, 7.0 * 86_400_000.0, found);
                between(s, &key("travel"), m.travel, 0.0, 10_000.0, found);
            }
            for (name, terms) in &m.accepts {
                let Some(at) = class(name) else { continue };
                let ours = &self.settings.classes[at];
                let path = |key: &str| format!("settings.classes[{at}].{key}");
                let said = s.place(&key(&format!("accepts.{name}")));
                if allows(&ours.effect) > allows(&terms.effect) {
                    let wrong = format!(
                        "'{name}' is {}, and '{}' allows {} at most",
                        ours.effect, m.name, terms.effect
                    );
                    let f = s.fault("LB0301", &path("effect"), wrong, format!("write \"{}\"", terms.effect));
                    found.push(with(f, said, "the member's word"));
                } else if let Some(span) =
                    terms.window.filter(|w| ours.effect == "deduplicated" && ours.window > *w)
                {
                    let wrong = format!(
                        "'{}' drops repeats of '{name}' for {span} ms, not for {} ms",
                        m.name, ours.window
                    );
                    let f = s.fault("LB0304", &path("window"), wrong, format!("write {span} or less"));
                    found.push(with(f, said, "the member's word"));
                }
            }
        }
        let names =
            c.members.iter().enumerate().map(|(i, m)| (format!("sidecar.members[{i}].dest"), &m.dest));
        twice(s, "LB0106", "destination", names, found);
        for (i, o) in c.once.iter().enumerate() {
            let path = format!("sidecar.once[{i}].class");
            match class(&o.class).map(|at| &self.settings.classes[at]) {
                None => found.push(s.fault(
                    "LB0203",
                    &path,
                    format!("there is no class '{}'", o.class),
                    "correct its name",
                )),
                Some(c) if c.effect != "at_most_once" => {
                    let wrong =
                        format!("'{}' is never to be repeated, and its effect is {}", c.name, c.effect);
                    found.push(s.fault("LB0301", &path, wrong, "let its effect be at_most_once"));
                }
                Some(c) if o.remembered < c.deadline => {
                    let path = format!("sidecar.once[{i}].remembered");
                    found.push(s.fault(
                        "LB0308",
                        &path,
                        "it is forgotten before its deadline",
                        "let it be as long as the deadline",
                    ));
                }
                Some(_) => {}
            }
        }
        let cells = || c.cells.iter().enumerate();
        let tenants = cells().flat_map(|(i, c)| {
            let path = move |n| format!("sidecar.cells[{i}].tenants[{n}]");
            c.tenants.iter().enumerate().map(move |(n, t)| (path(n), t))
        });
        twice(s, "LB0801", "tenant", tenants.clone(), found);
        for (path, t) in tenants.filter(|(_, t)| !self.settings.tenants.iter().any(|k| k.name == **t)) {
            found.push(s.fault("LB0204", &path, format!("there is no tenant '{t}'"), "correct its name"));
        }
        twice(
            s,
            "LB0101",
            "cell",
            cells().map(|(i, c)| (format!("sidecar.cells[{i}].name"), &c.name)),
            found,
        );
        if let Some(m) = &c.mesh {
            mesh(s, m, found);
        }
        for (i, cell) in cells() {
            between(s, &format!("sidecar.cells[{i}].weight"), cell.weight, 0.001, 1_000.0, found);
        }
        if let Some(l) = &c.log {
            if !["text", "json"].contains(&l.format.as_str()) {
                found.push(s.fault(
                    "LB0005",
                    "sidecar.log.format",
                    format!("'{}' is no form", l.format),
                    "write \"text\" or \"json\"",
                ));
            }
        }
    }
}

/// A map in the JSON: the tool has checked the file that it comes from; here it must make sense by itself.
fn mesh(s: &Source, m: &Mesh, found: &mut Vec<Finding>) {
    let known = |name: &str| m.dispatchers.iter().any(|d| d.name == name);
    if !known(&m.dispatcher) {
        let wrong = format!("the map has no dispatcher '{}'", m.dispatcher);
        found.push(s.fault("LB0810", "sidecar.mesh.dispatcher", wrong, "name one of 'dispatchers'"));
    }
    for (i, d) in m.dispatchers.iter().enumerate() {
        let own = [("peer", Some(&d.peer)), ("resp", d.resp.as_ref()), ("mqtt", d.mqtt.as_ref())];
        for (key, text) in own.into_iter().filter_map(|(k, t)| Some((k, t?))) {
            if text.parse::<SocketAddr>().is_err() {
                let (key, wrong) =
                    (format!("sidecar.mesh.dispatchers[{i}].{key}"), format!("'{text}' is no address"));
                let mend = "write an IP address with a port: \"127.0.0.1:7301\"";
                found.push(s.fault("LB0005", &key, wrong, mend));
            }
        }
    }
    let tenants = m.cells.iter().enumerate().flat_map(|(i, c)| {
        let path = move |n| format!("sidecar.mesh.cells[{i}].tenants[{n}]");
        c.tenants.iter().enumerate().map(move |(n, t)| (path(n), t))
    });
    twice(s, "LB0801", "tenant", tenants, found);
    for (i, c) in m.cells.iter().enumerate() {
        between(s, &format!("sidecar.mesh.cells[{i}].weight"), c.weight, 0.0, 1_000.0, found);
        for (n, d) in c.dispatchers.iter().enumerate().filter(|(_, d)| !known(d)) {
            let wrong = format!("there is no dispatcher '{d}'");
            found.push(s.fault(
                "LB0806",
                &format!("sidecar.mesh.cells[{i}].dispatchers[{n}]"),
                wrong,
                "correct its name",
            ));
        }
    }
}
