//! The JSON configuration that a dispatcher reads, as one type: rendered from settings files, and checked
//! after manual edits.
//!
//! Field names are the keys of the file. Times are in milliseconds unless a field says otherwise.

use crate::check::{self, check_duplicates, check_range, check_required, with_related, FolderInspector};
use crate::finding::Finding;
use crate::source::Source;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Resource limits of the process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// CPU time, in cores; may be a fraction.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cores: Option<f64>,
    /// File descriptors.
    pub sockets: u32,
    /// Disk space in the state folder, in megabytes.
    pub disk_mb: f64,
    /// Memory, in megabytes.
    pub memory_mb: f64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { cores: None, sockets: 1024, disk_mb: 3.0, memory_mb: 192.0 }
    }
}

/// An endpoint of the endpoint list.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListedEndpoint {
    /// The endpoint's id.
    pub uid: String,
    /// The address: `ADDRESS:PORT` or `mqtt://ADDRESS:PORT/TOPIC`.
    pub endpoint: String,
    /// The endpoint's zone.
    pub az: String,
    /// The kind of its destination.
    pub model: String,
    /// The number of its destination.
    pub pod_group: u64,
    /// `in_service`, `terminating` or `terminated`.
    pub state: String,
    /// A hint about its capacity, used as a weight.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub capacity_hint: Option<f64>,
    /// The time at which it started, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub boot_ms: Option<f64>,
}

/// The endpoint list.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EndpointList {
    /// The revision of the list.
    pub rev: u64,
    /// Whether the list is complete.
    pub all: bool,
    /// The endpoints.
    pub targets: Vec<ListedEndpoint>,
}

/// A class of messages; times are in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Class {
    /// The class's name.
    pub name: String,
    /// The effect of a repeat: `idempotent`, `deduplicated` or `at_most_once`.
    pub effect: String,
    /// Which endpoints drop repeats: those of the same `zone`, or `all`.
    pub group: String,
    /// The time within which a message has its full worth.
    pub promise: Option<f64>,
    /// The time after which a message is given up.
    pub deadline: f64,
    /// How long repeats are dropped.
    pub window: f64,
    /// Whether messages with the same ordering key are delivered in order.
    pub in_order: bool,
    /// The worth of a message.
    pub worth: f64,
    /// The part of the worth that is left at the deadline (0 to 1).
    pub late_worth: f64,
    /// By how many times the work of a message its promise grows.
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

/// What the dispatcher is permitted to do, and its upper bounds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Ceilings {
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether endpoints may be probed.
    pub probes: bool,
    /// Whether clients respect a retry-after.
    pub retry_after: bool,
    /// The longest retry-after that clients respect, in milliseconds.
    pub max_retry_after: f64,
    /// The timeout for connecting, in milliseconds.
    pub connect_timeout: f64,
    /// The time after which an idle connection is closed, in milliseconds; 0 for never.
    pub keepalive: f64,
    /// The most messages held at once.
    pub max_open: u32,
    /// The most attempts for one message.
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

/// The figures that the rules of the platform guarantee; times are in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Guarantees {
    /// How late a final answer may be.
    pub answer_slack: f64,
    /// The time after which attempts at a draining endpoint have ended.
    pub drain_grace: f64,
    /// The quiet period of an ordering key.
    pub key_quiet: f64,
    /// A cold endpoint fails under a load of more than this many times its capacity.
    pub overload_factor: f64,
    /// How long such a load must last until the endpoint fails.
    pub overload_for: f64,
    /// The part of its capacity that an endpoint has right after an outage.
    pub cold_from: f64,
    /// The time after which it has its full capacity again.
    pub cold: f64,
    /// The time after which a requested endpoint list counts as known.
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

/// Properties of the destinations.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Family {
    /// The most concurrent calls.
    pub slots: u32,
    /// For each kind: whether its endpoints are separate routes.
    pub kind_apart: Vec<bool>,
    /// For each kind: the number of messages in one call.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub batch_by_kind: Vec<f64>,
    /// For each zone: the fee of a route.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub route_fee: Vec<f64>,
    /// The price of a refused attempt.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub turned_away_price: Option<f64>,
    /// How the worth of a message declines over time.
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
    /// The tenant's name.
    pub name: String,
    /// Its share, in messages per second.
    pub quota_per_s: f64,
}

/// Prices, as fractions of the worth of an average message.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Prices {
    /// The price of a call to another zone.
    pub cross_zone: f64,
    /// The price of a new connection.
    pub handshake: f64,
}

/// What is known about the behavior of clients.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Callers {
    /// Whether clients mark messages that they submit again.
    pub marks_retry: bool,
}

/// Settings of the module that decides which attempts to make.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The number of dispatchers that share the work.
    pub balancers: f64,
    /// The shortest time between two batches of events, in milliseconds.
    pub round: f64,
    /// The message classes.
    pub classes: Vec<Class>,
    /// Permissions and upper bounds.
    pub ceilings: Ceilings,
    /// Guaranteed figures.
    pub guarantees: Guarantees,
    /// Properties of the destinations.
    pub family_info: Family,
    /// The kinds of destinations.
    pub kinds: Vec<String>,
    /// The zones.
    pub zones: Vec<String>,
    /// The zone in which the dispatcher runs.
    pub zone: String,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// The part of its worth that a message over its tenant's share keeps (0 to 1).
    #[serde(skip_serializing_if = "Option::is_none")]
    pub over_share_worth: Option<f64>,
    /// Prices of calls and connections.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prices: Option<Prices>,
    /// Behavior of clients.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub callers: Option<Callers>,
    /// How the endpoint list is obtained.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub discovery: Option<String>,
    /// The meaning of the weights in the endpoint list.
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

/// A destination's terms for a class.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Accepts {
    /// The most permissive effect that the destination allows: `idempotent`, `deduplicated` or
    /// `at_most_once`.
    pub effect: String,
    /// How long the destination drops repeats, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub window: Option<f64>,
}

/// What the application promises to keep to at a destination.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Member {
    /// The destination's name.
    pub name: String,
    /// The destination's number.
    pub dest: u64,
    /// The most calls in any period of length `span`; none for no limit.
    pub calls: Option<u32>,
    /// The length of the period, in milliseconds.
    pub span: f64,
    /// The longest time from writing a call's last byte to its arrival, in milliseconds.
    pub travel: f64,
    /// Whether each endpoint has a limit of its own.
    pub each: bool,
    /// The most connections to each endpoint.
    pub connections: Option<u32>,
    /// The terms for the classes that the destination accepts, by class.
    pub accepts: BTreeMap<String, Accepts>,
}

/// A class whose messages must not be repeated.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AtMostOnceClass {
    /// The name of the class.
    pub class: String,
    /// How long a message is remembered after its final answer, in milliseconds.
    pub remembered: f64,
}

/// A cell inside the dispatcher.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Cell {
    /// The cell's name.
    pub name: String,
    /// Its weight relative to the other cells.
    pub weight: f64,
    /// The tenants assigned to the cell.
    pub tenants: Vec<String>,
}

/// The MQTT front end.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Mqtt {
    /// The address at which it listens.
    pub listen: String,
    /// The most connections at once.
    pub sessions: u32,
}

/// Settings of the log.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// `text` or `json`.
    pub format: String,
    /// The least severe level that is logged.
    pub level: String,
}

/// A dispatcher in the cell map.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MapDispatcher {
    /// The dispatcher's name.
    pub name: String,
    /// The address for peers.
    pub peer: String,
    /// The address for RESP2 clients.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub resp: Option<String>,
    /// The address for MQTT clients.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mqtt: Option<String>,
}

/// A cell in the cell map.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MapCell {
    /// The cell's name.
    pub name: String,
    /// Its weight in the placement of tenants that no cell names.
    pub weight: f64,
    /// The dispatchers of the cell.
    pub dispatchers: Vec<String>,
    /// The tenants assigned to the cell.
    pub tenants: Vec<String>,
}

/// The cell map that the dispatcher shares with its peers.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Mesh {
    /// The name of this dispatcher in the map.
    pub dispatcher: String,
    /// The name of the map.
    pub map: String,
    /// The version of the map.
    pub version: u64,
    /// All dispatchers in the map.
    pub dispatchers: Vec<MapDispatcher>,
    /// All cells in the map.
    pub cells: Vec<MapCell>,
}

/// Settings that exist only where the dispatcher runs as a sidecar; a platform's configuration has none of
/// them.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Sidecar {
    /// What the application promises, for each destination.
    pub members: Vec<Member>,
    /// Classes whose messages must not be repeated.
    pub once: Vec<AtMostOnceClass>,
    /// The cells that divide the dispatcher; empty if it is undivided.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub cells: Vec<Cell>,
    /// The cell map that it shares with its peers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mesh: Option<Mesh>,
    /// The MQTT front end.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mqtt: Option<Mqtt>,
    /// Settings of the log.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub log: Option<Log>,
}

/// The complete configuration file of a dispatcher.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
// Error messages keep the name they have always shown.
#[serde(expecting = "struct Served")]
pub struct DispatcherConfig {
    /// The dispatcher's name.
    pub name: String,
    /// The address for RESP2 clients.
    pub listen: Option<String>,
    /// The registry's address; without it, the endpoint list in this file is used.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub discovery: Option<String>,
    /// The receiver of notices, if not the registry: an address, or `log`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub notices: Option<String>,
    /// The seed of all random numbers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub seed: Option<String>,
    /// The state folder.
    pub state: Option<String>,
    /// Resource limits of the process.
    pub limits: Limits,
    /// The endpoint list at startup.
    pub known: EndpointList,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Settings of a sidecar; none on a platform.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub sidecar: Option<Sidecar>,
}

/// The values of `effect`, from the strictest to the most permissive.
const EFFECTS: [&str; 3] = ["at_most_once", "deduplicated", "idempotent"];

/// How permissive an effect is, as its index in [`EFFECTS`]; an unknown one counts as the strictest.
fn effect_rank(effect: &str) -> usize {
    EFFECTS.iter().position(|e| *e == effect).unwrap_or(0)
}

impl DispatcherConfig {
    /// Formats the configuration as JSON text.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default() + "\n"
    }

    /// Reads a file and adds a finding for everything that is wrong with it.
    pub fn read_and_check(
        file: &str,
        text: &str,
        folders: &dyn FolderInspector,
        findings: &mut Vec<Finding>,
    ) -> (Source, DispatcherConfig) {
        let mut source = Source::json(file, text, findings);
        let broken = !findings.is_empty() && source.tree.as_object().is_none_or(|o| o.is_empty());
        let served: DispatcherConfig = source.read(findings);
        if !broken {
            served.check(&source, folders, findings);
        }
        (source, served)
    }

    fn check(&self, s: &Source, folders: &dyn FolderInspector, findings: &mut Vec<Finding>) {
        check_required(
            s,
            "listen",
            &self.listen,
            "set the address for RESP2 clients: \"listen\": \"127.0.0.1:6379\"",
            findings,
        );
        check_required(
            s,
            "state",
            &self.state,
            "set a folder for the state that outlasts the process",
            findings,
        );
        self.addresses(s, findings);
        if let Some(path) = &self.state {
            check::check_state_folder(s, path, &self.name, folders, findings);
        }
        let (set, ceilings) = (&self.settings, &self.settings.ceilings);
        if set.classes.is_empty() && !s.is_unreadable("settings.classes") {
            findings.push(s.finding("LB0006", "settings.classes", "no message class is defined", "add one"));
        }
        let key = |i: usize, key: &str| format!("settings.classes[{i}].{key}");
        let names = set.classes.iter().enumerate().map(|(i, c)| (key(i, "name"), &c.name));
        check_duplicates(s, "LB0101", "class", names, findings);
        let tenants =
            set.tenants.iter().enumerate().map(|(i, t)| (format!("settings.tenants[{i}].name"), &t.name));
        check_duplicates(s, "LB0101", "tenant", tenants, findings);
        for (i, c) in set.classes.iter().enumerate() {
            self.class(s, i, c, findings);
        }
        let hour = 3_600_000.0;
        check_range(s, "settings.ceilings.max_open", ceilings.max_open, 1, 1_000_000, findings);
        check_range(s, "settings.ceilings.most_tries", ceilings.most_tries, 1, 8, findings);
        check_range(
            s,
            "settings.ceilings.connect_timeout",
            ceilings.connect_timeout,
            1.0,
            60_000.0,
            findings,
        );
        check_range(s, "settings.ceilings.keepalive", ceilings.keepalive, 0.0, hour, findings);
        check_range(s, "settings.ceilings.max_retry_after", ceilings.max_retry_after, 0.0, hour, findings);
        check_range(s, "settings.family_info.slots", set.family_info.slots, 1, 100_000, findings);
        check_range(s, "limits.disk_mb", self.limits.disk_mb, 0.01, 1e6, findings);
        check_range(s, "limits.memory_mb", self.limits.memory_mb, 8.0, 1e6, findings);
        if set.guarantees.drain_grace > check::MAX_DRAIN_TIME.0 {
            let wrong = format!(
                "the drain time of {} ms is longer than {}",
                set.guarantees.drain_grace,
                check::MAX_DRAIN_TIME
            );
            findings.push(s.finding(
                "LB0302",
                "settings.guarantees.drain_grace",
                wrong,
                "set it to 2000 or less",
            ));
        }
        if ceilings.keepalive > 0.0 && ceilings.keepalive <= check::IDLE_CLOSE_MARGIN.0 {
            let wrong =
                format!("idle connections are closed {} early, so none is kept", check::IDLE_CLOSE_MARGIN);
            findings.push(s.finding(
                "LB0502",
                "settings.ceilings.keepalive",
                wrong,
                "set it to 2000 or more, or to 0 to keep idle connections open",
            ));
        }
        let sessions = self.sidecar.as_ref().and_then(|c| c.mqtt.as_ref()).map_or(0, |m| m.sessions);
        let slots = ("settings.family_info.slots", set.family_info.slots);
        check::check_descriptors(s, slots, sessions, ("limits.sockets", self.limits.sockets), findings);
        self.targets(s, findings);
        if let Some(c) = &self.sidecar {
            self.sidecar(s, c, findings);
        }
    }

    fn addresses(&self, s: &Source, findings: &mut Vec<Finding>) {
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
                findings.push(s.finding(
                    "LB0005",
                    key,
                    wrong,
                    "use an IP address with a port, such as \"127.0.0.1:6379\"",
                ));
                continue;
            };
            if let Some((other, _)) = known.iter().find(|k| k.1 == address && address.port() != 0) {
                let both = [*other, key] == ["discovery", "notices"];
                if !both {
                    let f = s.finding(
                        "LB0103",
                        key,
                        format!("'{key}' and '{other}' are both {address}"),
                        "use a separate address for each",
                    );
                    findings.push(with_related(f, s.place(other), "the same address"));
                }
            }
            known.push((key, address));
        }
        if self.discovery.is_none() && !s.is_unreadable("discovery") {
            if self.known.targets.is_empty() && !s.is_unreadable("known") {
                let mend = "set the registry's address, or list the endpoints under 'known'";
                findings.push(s.finding(
                    "LB0702",
                    "discovery",
                    "there is neither a registry nor an endpoint list",
                    mend,
                ));
            } else if self.notices.is_none() && !s.is_unreadable("notices") {
                let wrong = "no notice would be sent for a message that was accepted and not delivered";
                findings.push(s.finding(
                    "LB0701",
                    "notices",
                    wrong,
                    "set \"notices\": \"log\", or an address that receives notices",
                ));
            }
        }
    }

    fn class(&self, s: &Source, i: usize, c: &Class, findings: &mut Vec<Finding>) {
        let key = |key: &str| format!("settings.classes[{i}].{key}");
        let name = &c.name;
        if name.is_empty() && !s.is_unreadable(&key("name")) {
            findings.push(s.finding("LB0006", &key("name"), "the class has no name", "set its name"));
        }
        if !EFFECTS.contains(&c.effect.as_str()) {
            let wrong = format!("'{}' is not an effect", c.effect);
            findings.push(s.finding(
                "LB0005",
                &key("effect"),
                wrong,
                format!("use one of: {}", EFFECTS.join(", ")),
            ));
        }
        if !["zone", "all"].contains(&c.group.as_str()) {
            findings.push(s.finding(
                "LB0005",
                &key("group"),
                format!("'{}' is not a group", c.group),
                "use \"zone\" or \"all\"",
            ));
        }
        let hour = 3_600_000.0;
        if !s.is_unreadable(&key("deadline")) {
            check_range(s, &key("deadline"), c.deadline, 1.0, hour, findings);
        }
        check_range(s, &key("worth"), c.worth, 0.0, 1_000.0, findings);
        check_range(s, &key("late_worth"), c.late_worth, 0.0, 1.0, findings);
        if c.promise.is_some_and(|p| p > c.deadline || p < 0.0) {
            let f = s.finding(
                "LB0306",
                &key("promise"),
                format!("'promise' of '{name}' is negative or longer than its 'deadline'"),
                "set 'deadline' to at least 'promise'",
            );
            findings.push(with_related(f, s.place(&key("deadline")), "the deadline"));
        }
        if c.effect == "deduplicated" && c.window < c.deadline {
            let wrong = format!(
                "repeats of '{name}' are dropped for {} ms, but attempts may be made for {} ms",
                c.window, c.deadline
            );
            let f = s.finding("LB0303", &key("window"), wrong, "set 'window' to at least 'deadline'");
            findings.push(with_related(f, s.place(&key("deadline")), "the deadline"));
        }
        if c.effect == "idempotent" && c.in_order {
            let wrong =
                format!("'{name}' is ordered and may be repeated: a late repeat would undo the next message");
            findings.push(s.finding(
                "LB0305",
                &key("in_order"),
                wrong,
                "set it to false, or use another effect",
            ));
        }
        let connect = self.settings.ceilings.connect_timeout;
        if connect >= c.deadline && c.deadline > 0.0 {
            let wrong =
                format!("connecting may take {connect} ms, but '{name}' is given up after {} ms", c.deadline);
            let f = s.finding(
                "LB0501",
                "settings.ceilings.connect_timeout",
                wrong,
                "make it shorter than every deadline",
            );
            findings.push(with_related(f, s.place(&key("deadline")), "the deadline"));
        }
    }

    fn targets(&self, s: &Source, findings: &mut Vec<Finding>) {
        let key = |i: usize, key: &str| format!("known.targets[{i}].{key}");
        let all = || self.known.targets.iter().enumerate();
        check_duplicates(s, "LB0101", "worker", all().map(|(i, t)| (key(i, "uid"), &t.uid)), findings);
        check_duplicates(
            s,
            "LB0102",
            "address",
            all().map(|(i, t)| (key(i, "endpoint"), &t.endpoint)),
            findings,
        );
        for (i, t) in all() {
            if t.uid.is_empty() {
                findings.push(s.finding("LB0006", &key(i, "uid"), "the endpoint has no id", "set its id"));
            }
            if let Err(e) = t.endpoint.parse::<crate::units::Target>() {
                findings.push(s.finding(
                    "LB0005",
                    &key(i, "endpoint"),
                    e,
                    "use \"ADDRESS:PORT\" or \"mqtt://ADDRESS:PORT/TOPIC\"",
                ));
            }
            if Some(&t.endpoint) == self.listen.as_ref() {
                let f = s.finding(
                    "LB0107",
                    &key(i, "endpoint"),
                    "the endpoint has the address at which the dispatcher listens",
                    "correct one of the addresses",
                );
                findings.push(with_related(f, s.place("listen"), "the listener"));
            }
            if !self.settings.zones.contains(&t.az) {
                let wrong = format!("the zone '{}' is not in 'settings.zones'", t.az);
                findings.push(s.finding(
                    "LB0201",
                    &key(i, "az"),
                    wrong,
                    "add it to 'settings.zones', or correct its name",
                ));
            }
            if !self.settings.kinds.contains(&t.model) {
                let wrong = format!("the kind '{}' is not in 'settings.kinds'", t.model);
                findings.push(s.finding(
                    "LB0202",
                    &key(i, "model"),
                    wrong,
                    "add it to 'settings.kinds', or correct its name",
                ));
            }
            if !["in_service", "terminating", "terminated", ""].contains(&t.state.as_str()) {
                let wrong = format!("'{}' is not a state", t.state);
                findings.push(s.finding(
                    "LB0005",
                    &key(i, "state"),
                    wrong,
                    "use \"in_service\" or \"terminating\"",
                ));
            }
        }
    }

    fn sidecar(&self, s: &Source, c: &Sidecar, findings: &mut Vec<Finding>) {
        let class = |name: &str| self.settings.classes.iter().position(|c| c.name == name);
        for (i, m) in c.members.iter().enumerate() {
            let key = |key: &str| format!("sidecar.members[{i}].{key}");
            if m.calls == Some(0) || m.connections == Some(0) {
                let path = key(if m.calls == Some(0) { "calls" } else { "connections" });
                findings.push(s.finding(
                    "LB0403",
                    &path,
                    "the limit is 0, so nothing could be delivered",
                    "set it to 1 or more, or to null for no limit",
                ));
            }
            if m.calls.is_some() {
                check_range(s, &key("span"), m.span, 10.0, 7.0 * 86_400_000.0, findings);
                check_range(s, &key("travel"), m.travel, 0.0, 10_000.0, findings);
            }
            for (name, terms) in &m.accepts {
                let Some(at) = class(name) else { continue };
                let ours = &self.settings.classes[at];
                let path = |key: &str| format!("settings.classes[{at}].{key}");
                let agreed_at = s.place(&key(&format!("accepts.{name}")));
                if effect_rank(&ours.effect) > effect_rank(&terms.effect) {
                    let wrong = format!(
                        "'{name}' is {}, but '{}' allows {} at most",
                        ours.effect, m.name, terms.effect
                    );
                    let f = s.finding("LB0301", &path("effect"), wrong, format!("use \"{}\"", terms.effect));
                    findings.push(with_related(f, agreed_at, "the destination's terms"));
                } else if let Some(span) =
                    terms.window.filter(|w| ours.effect == "deduplicated" && ours.window > *w)
                {
                    let wrong = format!(
                        "'{}' drops repeats of '{name}' for {span} ms, not for {} ms",
                        m.name, ours.window
                    );
                    let f = s.finding("LB0304", &path("window"), wrong, format!("set it to {span} or less"));
                    findings.push(with_related(f, agreed_at, "the destination's terms"));
                }
            }
        }
        let names =
            c.members.iter().enumerate().map(|(i, m)| (format!("sidecar.members[{i}].dest"), &m.dest));
        check_duplicates(s, "LB0106", "destination", names, findings);
        for (i, o) in c.once.iter().enumerate() {
            let path = format!("sidecar.once[{i}].class");
            match class(&o.class).map(|at| &self.settings.classes[at]) {
                None => findings.push(s.finding(
                    "LB0203",
                    &path,
                    format!("no class '{}' is defined", o.class),
                    "correct its name",
                )),
                Some(c) if c.effect != "at_most_once" => {
                    let wrong = format!("'{}' must not be repeated, but its effect is {}", c.name, c.effect);
                    findings.push(s.finding("LB0301", &path, wrong, "set its effect to at_most_once"));
                }
                Some(c) if o.remembered < c.deadline => {
                    let path = format!("sidecar.once[{i}].remembered");
                    findings.push(s.finding(
                        "LB0308",
                        &path,
                        "messages of the class are forgotten before their deadline",
                        "set it to at least the class's deadline",
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
        check_duplicates(s, "LB0801", "tenant", tenants.clone(), findings);
        for (path, t) in tenants.filter(|(_, t)| !self.settings.tenants.iter().any(|k| k.name == **t)) {
            findings.push(s.finding(
                "LB0204",
                &path,
                format!("no tenant '{t}' is defined"),
                "correct its name",
            ));
        }
        check_duplicates(
            s,
            "LB0101",
            "cell",
            cells().map(|(i, c)| (format!("sidecar.cells[{i}].name"), &c.name)),
            findings,
        );
        if let Some(m) = &c.mesh {
            check_mesh(s, m, findings);
        }
        for (i, cell) in cells() {
            check_range(s, &format!("sidecar.cells[{i}].weight"), cell.weight, 0.001, 1_000.0, findings);
        }
        if let Some(l) = &c.log {
            if !["text", "json"].contains(&l.format.as_str()) {
                findings.push(s.finding(
                    "LB0005",
                    "sidecar.log.format",
                    format!("'{}' is not a log format", l.format),
                    "use \"text\" or \"json\"",
                ));
            }
        }
    }
}

/// Checks the cell map in the JSON for consistency with itself. The tool has checked the file that it comes
/// from.
fn check_mesh(s: &Source, m: &Mesh, findings: &mut Vec<Finding>) {
    let known = |name: &str| m.dispatchers.iter().any(|d| d.name == name);
    if !known(&m.dispatcher) {
        let wrong = format!("the cell map has no dispatcher '{}'", m.dispatcher);
        findings.push(s.finding(
            "LB0810",
            "sidecar.mesh.dispatcher",
            wrong,
            "use the name of one in 'dispatchers'",
        ));
    }
    for (i, d) in m.dispatchers.iter().enumerate() {
        let own = [("peer", Some(&d.peer)), ("resp", d.resp.as_ref()), ("mqtt", d.mqtt.as_ref())];
        for (key, text) in own.into_iter().filter_map(|(k, t)| Some((k, t?))) {
            if text.parse::<SocketAddr>().is_err() {
                let (key, wrong) = (
                    format!("sidecar.mesh.dispatchers[{i}].{key}"),
                    format!("'{text}' is not an address with a port"),
                );
                let mend = "use an IP address with a port, such as \"127.0.0.1:7301\"";
                findings.push(s.finding("LB0005", &key, wrong, mend));
            }
        }
    }
    let tenants = m.cells.iter().enumerate().flat_map(|(i, c)| {
        let path = move |n| format!("sidecar.mesh.cells[{i}].tenants[{n}]");
        c.tenants.iter().enumerate().map(move |(n, t)| (path(n), t))
    });
    check_duplicates(s, "LB0801", "tenant", tenants, findings);
    for (i, c) in m.cells.iter().enumerate() {
        check_range(s, &format!("sidecar.mesh.cells[{i}].weight"), c.weight, 0.0, 1_000.0, findings);
        for (n, d) in c.dispatchers.iter().enumerate().filter(|(_, d)| !known(d)) {
            let wrong = format!("no dispatcher '{d}' is defined");
            findings.push(s.finding(
                "LB0806",
                &format!("sidecar.mesh.cells[{i}].dispatchers[{n}]"),
                wrong,
                "correct its name",
            ));
        }
    }
}
