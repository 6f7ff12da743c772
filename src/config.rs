//! Reads and checks the configuration and applies defaults.
//!
//! The platform configures a dispatcher by `ROUTER_*` environment variables and a JSON file; the simulator
//! passes the same settings to the adapter. Every error names the key at fault. Unknown keys are ignored.

use crate::api::*;
use crate::dispatch::{CellMapView, CellSpec, PeerAddresses};
use lilacbank_cells::placement::PlacedCell;
use lilacbank_limits::{DestinationLimit, Scope};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use tinyjson::JsonValue;

/// A configuration error and the key at fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError {
    /// Full path of the key, such as `settings.classes[1].deadline`.
    pub key: String,
    /// What is wrong.
    pub message: String,
}

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.key, self.message)
    }
}

impl std::error::Error for ConfigError {}

impl ConfigError {
    /// Number of the first line, from 1, in which the text has a key of this name; `None` for an environment
    /// variable or a missing key.
    pub fn line_in(&self, text: &str) -> Option<usize> {
        let last = self.key.rsplit('.').next()?.split('[').next()?;
        if last.is_empty() || last.starts_with("ROUTER_") {
            return None;
        }
        let quoted = format!("\"{last}\"");
        let at = text
            .match_indices(&quoted)
            .map(|(at, _)| at + quoted.len())
            .find(|end| text[*end..].trim_start().starts_with(':'))?;
        Some(text[..at].matches('\n').count() + 1)
    }
}

/// Megabytes of memory of a process whose configuration does not say.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// Megabytes of memory that a process needs at least.
const MIN_MEMORY_MB: f64 = 8.0;

/// Result of reading a configuration value.
pub type ConfigResult<T> = Result<T, ConfigError>;

fn config_error<T>(key: impl Into<String>, what: impl Into<String>) -> ConfigResult<T> {
    Err(ConfigError { key: key.into(), message: what.into() })
}

static NULL: JsonValue = JsonValue::Null;

/// A JSON value with the path of its key.
#[derive(Debug, Clone)]
pub struct Node<'a> {
    path: String,
    value: &'a JsonValue,
}

impl<'a> Node<'a> {
    /// The root of a document; its error messages start with `name`.
    pub fn root(name: &str, value: &'a JsonValue) -> Node<'a> {
        Node { path: name.into(), value }
    }

    /// The value of a key; null if there is none.
    pub fn get(&self, key: &str) -> Node<'a> {
        let value = match self.value {
            JsonValue::Object(map) => map.get(key).unwrap_or(&NULL),
            _ => &NULL,
        };
        let path = if self.path.is_empty() { key.to_string() } else { format!("{}.{key}", self.path) };
        Node { path, value }
    }

    /// An error for this key.
    pub fn error<T>(&self, what: impl Into<String>) -> ConfigResult<T> {
        config_error(self.path.clone(), what)
    }

    /// Whether the value is absent or null.
    pub fn is_absent(&self) -> bool {
        matches!(self.value, JsonValue::Null)
    }

    /// The value as a number, or `absent` if there is none; a boolean counts as 1 or 0.
    pub fn number(&self, absent: f64) -> ConfigResult<f64> {
        match self.value {
            JsonValue::Null => Ok(absent),
            JsonValue::Boolean(b) => Ok(f64::from(u8::from(*b))),
            JsonValue::Number(n) if n.is_finite() => Ok(*n),
            _ => self.error("a number was expected"),
        }
    }

    /// The value as a number that is not negative, or `absent` if there is none.
    pub fn non_negative(&self, absent: f64) -> ConfigResult<f64> {
        let n = self.number(absent)?;
        if n < 0.0 {
            return self.error("a negative number makes no sense here");
        }
        Ok(n)
    }

    /// The value as a boolean; false if absent.
    pub fn boolean(&self) -> ConfigResult<bool> {
        Ok(self.number(0.0)? != 0.0)
    }

    /// The value as a string; empty if absent.
    pub fn text(&self) -> ConfigResult<&'a str> {
        match self.value {
            JsonValue::Null => Ok(""),
            JsonValue::String(s) => Ok(s),
            _ => self.error("a text was expected"),
        }
    }

    /// The items of the value as a list; empty if absent.
    pub fn items(&self) -> ConfigResult<Vec<Node<'a>>> {
        match self.value {
            JsonValue::Null => Ok(Vec::new()),
            JsonValue::Array(values) => {
                let item = |(i, value)| Node { path: format!("{}[{i}]", self.path), value };
                Ok(values.iter().enumerate().map(item).collect())
            }
            _ => self.error("a list was expected"),
        }
    }

    fn expect_object(&self) -> ConfigResult<()> {
        match self.value {
            JsonValue::Object(_) => Ok(()),
            _ => self.error("an object was expected"),
        }
    }

    fn texts(&self) -> ConfigResult<Vec<String>> {
        self.items()?.iter().map(|n| Ok(n.text()?.to_string())).collect()
    }
}

/// Names from the settings. The number of a class, zone, kind or tenant is its index in the list of names.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Names {
    /// Names of the message classes.
    pub classes: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the kinds of destinations.
    pub kinds: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
}

impl Names {
    /// Merges reloaded settings into the numbering in use: existing names keep their index and new names are
    /// appended. Returns the merged settings, all names, and the retired classes and tenants, which exist
    /// only for the messages still held. The workers in `list` are renumbered to match.
    pub fn merge_reloaded(
        &self,
        old: &Settings,
        names: &Names,
        new: &Settings,
        list: &mut EndpointList,
    ) -> (Settings, Names, Names) {
        let join = |a: &[String], b: &[String]| -> Vec<String> {
            a.iter().chain(b.iter().filter(|n| !a.contains(n))).cloned().collect()
        };
        let all = Names {
            classes: join(&self.classes, &names.classes),
            zones: join(&self.zones, &names.zones),
            kinds: join(&self.kinds, &names.kinds),
            tenants: join(&self.tenants, &names.tenants),
        };
        let removed = |a: &[String], b: &[String]| a.iter().filter(|n| !b.contains(n)).cloned().collect();
        let retired = Names {
            classes: removed(&self.classes, &names.classes),
            tenants: removed(&self.tenants, &names.tenants),
            ..Names::default()
        };
        // The values in the order of the merged names: the new value of each name, or its old one if there is
        // no new one.
        fn values<T: Clone>(all: &[String], new: (&[String], &[T]), old: (&[String], &[T])) -> Vec<T> {
            let value_of = |list: (&[String], &[T]), n: &String| {
                index_of(list.0, n).and_then(|i| list.1.get(i)).cloned()
            };
            all.iter().filter_map(|n| value_of(new, n).or_else(|| value_of(old, n))).collect()
        }
        let renumber = |all: &[String], names: &[String], at: usize| -> usize {
            names.get(at).and_then(|n| index_of(all, n)).unwrap_or(all.len())
        };
        for w in &mut list.endpoints {
            w.zone = renumber(&all.zones, &names.zones, w.zone);
            w.kind = renumber(&all.kinds, &names.kinds, w.kind);
        }
        let settings = Settings {
            seed: old.seed,
            classes: values(&all.classes, (&names.classes, &new.classes), (&self.classes, &old.classes)),
            kinds: values(&all.kinds, (&names.kinds, &new.kinds), (&self.kinds, &old.kinds)),
            zone_fees: values(&all.zones, (&names.zones, &new.zone_fees), (&self.zones, &old.zone_fees)),
            tenant_quota: values(
                &all.tenants,
                (&names.tenants, &new.tenant_quota),
                (&self.tenants, &old.tenant_quota),
            ),
            zone: renumber(&all.zones, &names.zones, new.zone),
            ..new.clone()
        };
        (settings, all, retired)
    }
}

/// The index of a name in its list.
pub fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

fn parse_class(v: &Node) -> ConfigResult<Class> {
    let effect = match v.get("effect").text()? {
        "idempotent" => Effect::Idempotent,
        "deduplicated" => Effect::Deduplicated { same_zone_only: v.get("group").text()? != "all" },
        "at_most_once" | "" => Effect::AtMostOnce,
        other => return v.get("effect").error(format!("unknown effect '{other}'")),
    };
    let deadline = v.get("deadline").non_negative(0.0)?;
    Ok(Class {
        target_time: v.get("promise").non_negative(deadline)?,
        deadline,
        effect,
        dedup_window: v.get("window").non_negative(0.0)?,
        in_order: v.get("in_order").boolean()?,
        late_worth: v.get("late_worth").number(0.0)?,
        worth: v.get("worth").number(1.0)?,
        target_stretch: v.get("aim_stretch").number(0.0)?,
    })
}

/// Largest accepted number of dispatchers.
const MAX_BALANCERS: f64 = 100_000.0;

/// Reads the settings object; absent keys get their documented defaults.
pub fn parse_settings(seed: u64, v: &Node) -> ConfigResult<(Settings, Names)> {
    v.expect_object()?;
    let (limits, guarantees) = (v.get("ceilings"), v.get("guarantees"));
    let (family, prices) = (v.get("family_info"), v.get("prices"));
    let names = |key: &str| -> ConfigResult<Vec<String>> {
        v.get(key).items()?.iter().map(|c| Ok(c.get("name").text()?.to_string())).collect()
    };
    let names = Names {
        classes: names("classes")?,
        tenants: names("tenants")?,
        zones: v.get("zones").texts()?,
        kinds: v.get("kinds").texts()?,
    };
    let (apart, batch) = (family.get("kind_apart").items()?, family.get("batch_by_kind").items()?);
    let parse_kind = |i: usize| -> ConfigResult<DestinationKind> {
        let apart = apart.get(i).or(apart.last()).map_or(Ok(false), |n| n.boolean())?;
        let batch = batch.get(i).or(batch.last()).map_or(Ok(1.0), |n| n.number(1.0))?;
        Ok(DestinationKind { per_endpoint_limit: apart, max_batch: batch.max(1.0) as usize })
    };
    let max_advice = if limits.get("retry_after").boolean()? {
        limits.get("max_retry_after").non_negative(0.0)?
    } else {
        0.0
    };
    let zone = v.get("zone").text()?;
    let (balancers, rank) = (v.get("balancers").number(1.0)?, v.get("rank").number(0.0)?);
    if balancers.fract() != 0.0 || !(1.0..=MAX_BALANCERS).contains(&balancers) {
        return v
            .get("balancers")
            .error(format!("{balancers} is no number of dispatchers: 1 to {MAX_BALANCERS}"));
    }
    if rank.fract() != 0.0 || !(0.0..balancers).contains(&rank) {
        return v
            .get("rank")
            .error(format!("{rank} is not the number of one of {balancers}, counted from 0"));
    }
    let s = Settings {
        seed,
        dispatchers: balancers as usize,
        min_step_interval: v.get("round").non_negative(0.0)?,
        classes: v.get("classes").items()?.iter().map(parse_class).collect::<ConfigResult<_>>()?,
        decay: if family.get("decay").text()? == "halves" {
            WorthDecay::HalfLife
        } else {
            WorthDecay::Linear
        },
        kinds: (0..names.kinds.len().max(1)).map(parse_kind).collect::<ConfigResult<_>>()?,
        zone_fees: family
            .get("route_fee")
            .items()?
            .iter()
            .map(|f| f.number(0.0))
            .collect::<ConfigResult<_>>()?,
        zone: index_of(&names.zones, zone).unwrap_or(names.zones.len()),
        cross_zone_price: prices.get("cross_zone").number(0.0)?,
        refused_price: family.get("turned_away_price").number(0.0)?,
        handshake_price: prices.get("handshake").number(0.0)?,
        idle_timeout: limits.get("keepalive").non_negative(0.0)?,
        tenant_quota: v
            .get("tenants")
            .items()?
            .iter()
            .map(|t| t.get("quota_per_s").non_negative(0.0))
            .collect::<ConfigResult<_>>()?,
        over_quota_worth: v.get("over_share_worth").number(1.0)?,
        marks_resubmissions: v.get("callers").get("marks_retry").boolean()?,
        reports_limits: v.get("telemetry").get("via").text()? == "answers",
        slots: family.get("slots").non_negative(1.0)? as usize,
        max_held: limits.get("max_open").non_negative(1e9)? as usize,
        max_attempts: limits.get("most_tries").non_negative(1e9)? as u32,
        can_cancel: limits.get("cancel").boolean()?,
        can_probe: limits.get("probes").boolean()?,
        max_retry_after: max_advice,
        connect_timeout: limits.get("connect_timeout").non_negative(0.0)?,
        list_on_request: v.get("discovery").text()? == "on_request",
        list_request_within: guarantees.get("ask_within").non_negative(0.0)?,
        weights: match v.get("weights").text()? {
            "nominal" => WeightMeaning::Rate,
            "rough" => WeightMeaning::ApproximateRate,
            _ => WeightMeaning::None,
        },
        answer_slack: guarantees.get("answer_slack").non_negative(0.0)?,
        drain_grace: guarantees.get("drain_grace").non_negative(0.0)?,
        overload_factor: guarantees.get("overload_factor").number(1.0)?,
        overload_span: guarantees.get("overload_for").non_negative(0.0)?,
        cold_capacity_share: guarantees.get("cold_from").number(1.0)?,
        warm_up: guarantees.get("cold").non_negative(0.0)?,
        key_quiet_period: guarantees.get("key_quiet").non_negative(0.0)?,
        answers_confirmed: false,
    };
    Ok((s, names))
}

/// An endpoint in the registry's list.
#[derive(Debug, Clone, PartialEq)]
pub struct RegistryEndpoint {
    /// Id of the endpoint, the same at every dispatcher.
    pub uid: String,
    /// Address of the endpoint.
    pub address: String,
    /// Number of its zone.
    pub zone: usize,
    /// Number of its destination's kind.
    pub kind: usize,
    /// Its destination.
    pub destination: DestId,
    /// Whether it takes calls.
    pub state: ServiceState,
    /// See [`WeightMeaning`].
    pub weight: f64,
    /// When its process last started, in Unix milliseconds; 0 if that is not known or long ago.
    pub started_at: Ms,
}

/// An endpoint list from the registry, complete or only the changed entries.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointList {
    /// Revision of the list.
    pub revision: u64,
    /// Whether these are all endpoints; otherwise endpoints that are not listed are unchanged.
    pub is_complete: bool,
    /// The endpoints.
    pub endpoints: Vec<RegistryEndpoint>,
}

/// Parses the registry's endpoint list.
pub fn parse_endpoint_list(v: &Node, names: &Names) -> ConfigResult<EndpointList> {
    v.expect_object()?;
    let parse_worker = |t: &Node| -> ConfigResult<RegistryEndpoint> {
        let uid = t.get("uid").text()?.to_string();
        if uid.is_empty() {
            return t.get("uid").error("missing");
        }
        Ok(RegistryEndpoint {
            uid,
            address: t.get("endpoint").text()?.to_string(),
            zone: index_of(&names.zones, t.get("az").text()?).unwrap_or(names.zones.len()),
            kind: index_of(&names.kinds, t.get("model").text()?).unwrap_or(names.kinds.len()),
            destination: t.get("pod_group").non_negative(0.0)? as DestId,
            state: match t.get("state").text()? {
                "in_service" | "" => ServiceState::InService,
                "terminating" => ServiceState::Draining,
                "terminated" => ServiceState::Removed,
                other => return t.get("state").error(format!("unknown state '{other}'")),
            },
            weight: t.get("capacity_hint").number(1.0)?,
            started_at: t.get("boot_ms").non_negative(0.0)?,
        })
    };
    Ok(EndpointList {
        revision: v.get("rev").non_negative(0.0)? as u64,
        is_complete: v.get("all").boolean()?,
        endpoints: v.get("targets").items()?.iter().map(parse_worker).collect::<ConfigResult<_>>()?,
    })
}

/// Parses the memory limit, in megabytes; returns bytes.
fn parse_memory(node: &Node) -> ConfigResult<u64> {
    let megabytes = node.non_negative(DEFAULT_MEMORY_MB)?;
    if megabytes < MIN_MEMORY_MB {
        return node.error(format!(
            "a process needs {MIN_MEMORY_MB} MB or more; without the key it has {DEFAULT_MEMORY_MB}"
        ));
    }
    Ok((megabytes * 1e6) as u64)
}

/// Parses a JSON text; `name` is the key in errors.
pub fn parse_json(name: &str, text: &str) -> ConfigResult<JsonValue> {
    text.parse().or_else(|e| config_error(name, format!("not JSON: {e}")))
}

/// Resource limits of the process.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Number of file descriptors.
    pub sockets: usize,
    /// Bytes in the state folder.
    pub disk: u64,
    /// Bytes of memory.
    pub memory: u64,
}

/// The whole configuration of a dispatcher.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Name of the dispatcher.
    pub name: String,
    /// Address on which RESP2 clients connect.
    pub listen: SocketAddr,
    /// Address of the control interface; `None` disables it.
    pub control: Option<SocketAddr>,
    /// Address of the registry; `None` if `initial_endpoints` is the fixed endpoint list.
    pub registry: Option<SocketAddr>,
    /// Where the dispatcher reports messages that it accepted and ended undelivered.
    pub notice_target: NoticeTarget,
    /// Settings that only a sidecar has; `None` on the platform.
    pub sidecar: Option<Sidecar>,
    /// Path of the state folder.
    pub state_folder: PathBuf,
    /// Resource limits.
    pub limits: Limits,
    /// The endpoint list to start with.
    pub initial_endpoints: EndpointList,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of the settings' classes, zones, kinds and tenants.
    pub names: Names,
}

/// Where notices go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeTarget {
    /// To this address, by the platform's protocol.
    To(SocketAddr),
    /// Into the log.
    Log,
}

/// Settings of a sidecar beyond those of a dispatcher on the platform.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Sidecar {
    /// The limits agreed with each destination.
    pub limits: Vec<DestinationLimit>,
    /// At-most-once classes, each with the time for which a message is remembered after its end.
    pub at_most_once_classes: Vec<(String, Ms)>,
    /// The cells that share the dispatcher; empty if it is not divided.
    pub cells: Vec<CellSpec>,
    /// The cell map that it shares with other dispatchers, if there are any.
    pub cell_map: Option<CellMapView>,
    /// The MQTT front end.
    pub mqtt: MqttSettings,
    /// Whether the log is written as JSON.
    pub log_json: bool,
    /// Log level if the environment does not set one.
    pub log_level: String,
}

fn parse_sidecar(v: &Node) -> ConfigResult<Sidecar> {
    let parse_promise = |m: &Node| -> ConfigResult<DestinationLimit> {
        let count = |key: &str| -> ConfigResult<Option<u32>> {
            let n = m.get(key);
            Ok(if n.is_absent() { None } else { Some(n.non_negative(0.0)? as u32) })
        };
        Ok(DestinationLimit {
            name: m.get("name").text()?.to_string(),
            destination: m.get("dest").non_negative(0.0)? as DestId,
            calls: count("calls")?,
            span: m.get("span").non_negative(0.0)?,
            max_travel: m.get("travel").non_negative(0.0)?,
            scope: if m.get("each").boolean()? { Scope::Endpoint } else { Scope::Destination },
            connections: count("connections")?,
        })
    };
    let parse_once = |o: &Node| -> ConfigResult<(String, Ms)> {
        Ok((o.get("class").text()?.to_string(), o.get("remembered").non_negative(0.0)?))
    };
    let parse_cell = |c: &Node| -> ConfigResult<CellSpec> {
        let tenants = c.get("tenants").texts()?;
        Ok(CellSpec {
            name: c.get("name").text()?.to_string(),
            weight: c.get("weight").non_negative(1.0)?,
            tenants,
        })
    };
    let (mqtt, log) = (v.get("mqtt"), v.get("log"));
    let listen = match mqtt.get("listen").text()? {
        "" => None,
        text => match text.parse() {
            Ok(address) => Some(address),
            Err(_) => return mqtt.get("listen").error("an address with a port was expected"),
        },
    };
    Ok(Sidecar {
        limits: v.get("members").items()?.iter().map(parse_promise).collect::<ConfigResult<_>>()?,
        at_most_once_classes: v.get("once").items()?.iter().map(parse_once).collect::<ConfigResult<_>>()?,
        cells: v.get("cells").items()?.iter().map(parse_cell).collect::<ConfigResult<_>>()?,
        cell_map: parse_mesh(&v.get("mesh"))?,
        mqtt: MqttSettings {
            listen,
            sessions: mqtt.get("sessions").non_negative(DEFAULT_MQTT_SESSIONS as f64)? as usize,
        },
        log_json: log.get("format").text()? == "json",
        log_level: log.get("level").text()?.to_string(),
    })
}

/// Parses the cell map, if there is one.
fn parse_mesh(v: &Node) -> ConfigResult<Option<CellMapView>> {
    if v.is_absent() {
        return Ok(None);
    }
    let parse_address = |n: &Node| -> ConfigResult<Option<SocketAddr>> {
        match n.text()? {
            "" => Ok(None),
            text => match text.parse() {
                Ok(address) => Ok(Some(address)),
                Err(_) => n.error("an address with a port was expected"),
            },
        }
    };
    let parse_peer = |p: &Node| -> ConfigResult<PeerAddresses> {
        let Some(peer) = parse_address(&p.get("peer"))? else {
            return p.get("peer").error("an address with a port was expected");
        };
        let (resp, mqtt) = (parse_address(&p.get("resp"))?, parse_address(&p.get("mqtt"))?);
        Ok(PeerAddresses {
            name: p.get("name").text()?.to_string(),
            peer_address: peer,
            resp_address: resp,
            mqtt_address: mqtt,
        })
    };
    let parse_area = |c: &Node| -> ConfigResult<PlacedCell> {
        Ok(PlacedCell {
            name: c.get("name").text()?.to_string(),
            weight: c.get("weight").non_negative(1.0)?,
            dispatchers: c.get("dispatchers").texts()?,
            tenants: c.get("tenants").texts()?,
        })
    };
    let spec = CellMapView {
        own_name: v.get("dispatcher").text()?.to_string(),
        version: v.get("version").non_negative(1.0)? as u64,
        peers: v.get("dispatchers").items()?.iter().map(parse_peer).collect::<ConfigResult<_>>()?,
        cells: v.get("cells").items()?.iter().map(parse_area).collect::<ConfigResult<_>>()?,
    };
    match spec.peer(&spec.own_name) {
        Some(_) => Ok(Some(spec)),
        None => v.get("dispatcher").error("one of the map's dispatchers was expected"),
    }
}

/// Looks up an environment variable; tests pass their own function.
pub type EnvLookup<'a> = &'a dyn Fn(&str) -> Option<String>;

impl Config {
    /// Reads the environment and the file that `ROUTER_CONFIG` names. Environment variables override the
    /// file's keys.
    pub fn read(env: EnvLookup) -> ConfigResult<Config> {
        Config::from_json(&Config::text(env)?, env)
    }

    /// The text of the file that `ROUTER_CONFIG` names.
    pub fn text(env: EnvLookup) -> ConfigResult<String> {
        match env("ROUTER_CONFIG") {
            None => config_error("ROUTER_CONFIG", "missing"),
            Some(path) => std::fs::read_to_string(&path)
                .or_else(|e| config_error("ROUTER_CONFIG", format!("cannot read '{path}': {e}"))),
        }
    }

    /// Reads the configuration again while the process serves. Here the file's `discovery` overrides the
    /// variable, which is as old as the process, while the file has been replaced since.
    pub fn reload(text: &str, env: EnvLookup) -> ConfigResult<Config> {
        let value = parse_json("ROUTER_CONFIG", text)?;
        let in_file = !Node::root("", &value).get("discovery").is_absent();
        Config::from_json(text, &|name| env(name).filter(|_| !(in_file && name == "ROUTER_DISCOVERY")))
    }

    /// The keys that differ in another configuration but are read only at the start.
    pub fn needs_restart(&self, other: &Config) -> Vec<&'static str> {
        let settings = Settings { seed: self.settings.seed, ..other.settings.clone() };
        let cells = |c: &Config| c.sidecar.as_ref().map(|s| s.cells.clone());
        let mqtt = |c: &Config| c.sidecar.as_ref().map(|s| s.mqtt.clone());
        // A cell map that gives the dispatcher another name or address requires another listener.
        let mesh = |c: &Config| {
            let spec = c.sidecar.as_ref().and_then(|s| s.cell_map.as_ref());
            spec.map(|m| (m.own_name.clone(), m.peer(&m.own_name).map(|p| p.peer_address)))
        };
        let log = |c: &Config| c.sidecar.as_ref().map(|s| (s.log_json, s.log_level.clone()));
        let differs = [
            ("name", self.name != other.name),
            ("listen", self.listen != other.listen),
            ("control", self.control != other.control),
            ("state", self.state_folder != other.state_folder),
            ("limits", self.limits != other.limits),
            // A sidecar applies these while it serves.
            ("settings", self.sidecar.is_none() && (self.settings != settings || self.names != other.names)),
            ("sidecar.mqtt", mqtt(self) != mqtt(other)),
            ("sidecar.log", log(self) != log(other)),
            ("sidecar.mesh", mesh(self) != mesh(other)),
            ("sidecar.cells", cells(self) != cells(other)),
            ("sidecar", self.sidecar.is_some() != other.sidecar.is_some()),
        ];
        differs.into_iter().filter(|d| d.1).map(|d| d.0).collect()
    }

    /// Reads the configuration from the text of the JSON file; environment variables override its keys.
    pub fn from_json(text: &str, env: EnvLookup) -> ConfigResult<Config> {
        let value = parse_json("ROUTER_CONFIG", text)?;
        let v = Node::root("", &value);
        v.expect_object().or_else(|_| config_error("ROUTER_CONFIG", "an object was expected"))?;
        // The value, and the name of the variable or key that it comes from.
        let lookup = |variable: &str, key: &str| -> ConfigResult<(String, String)> {
            match env(variable).filter(|t| !t.is_empty()) {
                Some(t) => Ok((variable.to_string(), t)),
                None => Ok((key.to_string(), v.get(key).text()?.to_string())),
            }
        };
        let parse = |key: &str, text: &str| -> ConfigResult<SocketAddr> {
            text.parse().or_else(|_| config_error(key, format!("'{text}' is not an address with a port")))
        };
        let address = |variable: &str, key: &str| -> ConfigResult<SocketAddr> {
            let (key, text) = lookup(variable, key)?;
            parse(&key, &text)
        };
        let known = v.get("known");
        // A fixed endpoint list replaces the registry, which would receive the notices; these then need a
        // destination of their own.
        let registry = match lookup("ROUTER_DISCOVERY", "discovery")?.1.is_empty()
            && !known.get("targets").items()?.is_empty()
        {
            true => None,
            false => Some(address("ROUTER_DISCOVERY", "discovery")?),
        };
        let notices = match (v.get("notices").text()?, registry) {
            ("log", _) => NoticeTarget::Log,
            ("", Some(to)) => NoticeTarget::To(to),
            ("", None) => {
                return v.get("notices").error("without a registry, an address or \"log\" is needed")
            }
            (text, _) => NoticeTarget::To(parse("notices", text)?),
        };
        let state = lookup("ROUTER_STATE", "state")?.1;
        if state.is_empty() {
            return config_error("ROUTER_STATE", "missing");
        }
        let seed_text = v.get("seed").text()?;
        let seed = u64::from_str_radix(seed_text, 16);
        let seed = match seed {
            Ok(s) => s,
            Err(_) if seed_text.is_empty() => 0,
            Err(_) => return v.get("seed").error("hex digits were expected"),
        };
        let limits = v.get("limits");
        let (mut settings, names) = parse_settings(seed, &v.get("settings"))?;
        settings.answers_confirmed = true;
        if settings.classes.is_empty() {
            return v.get("settings").get("classes").error("at least one class is needed");
        }
        let sidecar = v.get("sidecar");
        Ok(Config {
            name: lookup("ROUTER_NAME", "name")?.1,
            listen: address("ROUTER_LISTEN", "listen")?,
            control: match lookup("ROUTER_CONTROL", "control")? {
                (_, text) if text.is_empty() => None,
                (key, text) => Some(text.parse().or_else(|_| {
                    config_error(
                        key,
                        format!("'{text}' is not an address with a port; give one such as 127.0.0.1:7001"),
                    )
                })?),
            },
            registry,
            notice_target: notices,
            sidecar: if sidecar.is_absent() { None } else { Some(parse_sidecar(&sidecar)?) },
            state_folder: PathBuf::from(state),
            limits: Limits {
                sockets: limits.get("sockets").non_negative(1024.0)? as usize,
                disk: (limits.get("disk_mb").non_negative(3.0)? * 1e6) as u64,
                memory: parse_memory(&limits.get("memory_mb"))?,
            },
            initial_endpoints: if known.is_absent() {
                EndpointList::default()
            } else {
                parse_endpoint_list(&known, &names)?
            },
            settings,
            names,
        })
    }
}

/// Settings of the MQTT front end.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct MqttSettings {
    /// Address on which MQTT clients connect; `None` disables the front end.
    pub listen: Option<SocketAddr>,
    /// Maximum number of concurrent connections.
    pub sessions: usize,
}

/// The file that is read if `LILACBANK_MQTT` is not set.
const DEFAULT_MQTT_FILE: &str = "deploy/mqtt.toml";
/// Maximum number of concurrent MQTT connections if the configuration does not set one.
const DEFAULT_MQTT_SESSIONS: usize = 64;

impl MqttSettings {
    /// Reads the file that `LILACBANK_MQTT` names, or else the default file if it exists. A sidecar without
    /// the variable uses the settings in its own file.
    pub fn read(env: EnvLookup, sidecar: Option<&Sidecar>) -> ConfigResult<MqttSettings> {
        let named = env("LILACBANK_MQTT").filter(|p| !p.is_empty());
        if let (None, Some(sidecar)) = (&named, sidecar) {
            return Ok(sidecar.mqtt.clone());
        }
        let path = named.as_deref().unwrap_or(DEFAULT_MQTT_FILE);
        match std::fs::read_to_string(path) {
            Ok(text) => MqttSettings::from_toml(&text),
            Err(e) if named.is_none() && e.kind() == std::io::ErrorKind::NotFound => {
                Ok(MqttSettings::default())
            }
            Err(e) => config_error("LILACBANK_MQTT", format!("cannot read '{path}': {e}")),
        }
    }

    /// Reads the settings from the text of the file. Unlike the platform's file, it is defined by this
    /// program alone, so an unknown key is an error.
    pub fn from_toml(text: &str) -> ConfigResult<MqttSettings> {
        let top: toml::Table =
            text.parse().or_else(|e: toml::de::Error| config_error("LILACBANK_MQTT", e.message()))?;
        if let Some(key) = top.keys().find(|k| *k != "acceptor") {
            return config_error(key, "unknown key");
        }
        let empty = toml::Table::new();
        let acceptor = match top.get("acceptor") {
            None => &empty,
            Some(v) => v.as_table().map_or_else(|| config_error("acceptor", "a table was expected"), Ok)?,
        };
        if let Some(key) = acceptor.keys().find(|k| !["enabled", "listen", "sessions"].contains(&k.as_str()))
        {
            return config_error(format!("acceptor.{key}"), "unknown key");
        }
        let enabled = match acceptor.get("enabled") {
            None => false,
            Some(v) => v
                .as_bool()
                .map_or_else(|| config_error("acceptor.enabled", "true or false was expected"), Ok)?,
        };
        let sessions = match acceptor.get("sessions").map(|v| v.as_integer()) {
            None => DEFAULT_MQTT_SESSIONS,
            Some(Some(n)) if (1..=512).contains(&n) => n as usize,
            Some(_) => return config_error("acceptor.sessions", "a number from 1 to 512 was expected"),
        };
        let listen = match acceptor.get("listen").map(|v| v.as_str().and_then(|t| t.parse().ok())) {
            Some(None) => return config_error("acceptor.listen", "an address with a port was expected"),
            None if enabled => return config_error("acceptor.listen", "missing"),
            listen => listen.flatten(),
        };
        Ok(MqttSettings { listen: listen.filter(|_| enabled), sessions })
    }
}

/// Looks up a variable in the environment of this process.
pub fn env_var(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Parses options of the form `name=value,name=value`; the last value of a name wins. `None` if a part has no
/// `=`.
pub fn parse_options(text: &str) -> Option<HashMap<&str, &str>> {
    text.split(',').filter(|p| !p.is_empty()).map(|p| p.split_once('=')).collect()
}

#[cfg(test)]
mod tests;
