//! An application's own file: the dispatcher that runs beside it, and what it promises to the members.

use crate::agreement::{Area, Repeats};
use crate::units::{Address, Limit, Name, Share, Size, Span};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Where its clients connect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Listen {
    /// RESP2 clients.
    pub resp: Option<Address>,
    /// MQTT 5 clients; without it that front is off.
    pub mqtt: Option<Address>,
    /// MQTT connections at once (1 to 512).
    pub mqtt_sessions: u32,
}

impl Default for Listen {
    fn default() -> Listen {
        Listen { resp: None, mqtt: None, mqtt_sessions: 64 }
    }
}

/// The form of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Lines for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// What is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Only what is broken.
    Error,
    /// And what somebody should look at.
    Warn,
    /// And what happens.
    #[default]
    Info,
    /// And every message.
    Debug,
}

/// The log, on standard error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Log {
    /// Its form.
    pub format: LogFormat,
    /// What is in it; the variable RUST_LOG wins.
    pub level: LogLevel,
}

/// A tenant.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Tenant {
    /// Messages that are its share; those beyond it come last. Without it there is no bound.
    pub share: Option<Limit>,
}

/// A cell: tenants that share a part of everything that can run out, and feel nothing of the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Cell {
    /// Its part of slots, held messages, journal, time and promised calls beside those of the others (over 0, up to 1000).
    pub weight: f64,
    /// Tenants that live in it; those whom no cell names are placed by their names.
    pub tenants: Vec<Name>,
}

impl Default for Cell {
    fn default() -> Cell {
        Cell { weight: 1.0, tenants: Vec::new() }
    }
}

/// A class of messages.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Class {
    /// What a repeat does; without it, what the agreements say, and the strictest of them.
    pub repeats: Option<Repeats>,
    /// Where a repeat is dropped, if it is.
    pub dropped_in: Option<Area>,
    /// How long a repeat is dropped, if it is.
    pub dropped_for: Option<Span>,
    /// Delivered within this span, a message is worth all of its worth (1ms to 1h).
    pub wanted: Span,
    /// After this span it is given up (1ms to 1h).
    pub deadline: Span,
    /// Messages of one key go one at a time, in order.
    pub ordered: bool,
    /// What a message is worth beside those of other classes (over 0, up to 1000).
    pub worth: f64,
    /// Part of the worth that is left at the deadline (0 to 1).
    pub late_worth: f64,
    /// Where repeats are forbidden: how long a message is remembered after its end, so that it is not sent again when it
    /// is handed in once more.
    pub remembered: Span,
}

impl Default for Class {
    fn default() -> Class {
        Class {
            repeats: None,
            dropped_in: None,
            dropped_for: None,
            wanted: Span(3_000.0),
            deadline: Span(20_000.0),
            ordered: false,
            worth: 1.0,
            late_worth: 0.0,
            remembered: Span(600_000.0),
        }
    }
}

/// A member that the application uses, and what it promises to keep within there.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Use {
    /// The member's agreement, a file; its path is taken from the folder of this file.
    pub agreement: Option<String>,
    /// Part of the member's limit; the parts of all applications together are at most the whole.
    pub share: Option<Share>,
    /// Connections to each endpoint, idle ones counted.
    pub connections: Option<u32>,
    /// Only these endpoints, by id; without it, all of them.
    pub endpoints: Option<Vec<Name>>,
    /// Only these tenants; without it, all of them.
    pub tenants: Option<Vec<Name>>,
    /// Only these classes; without it, all that the member accepts.
    pub classes: Option<Vec<Name>>,
}

/// The cell map that the application's dispatchers share.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Mesh {
    /// The map, a file; its path is taken from the folder of this file.
    pub map: Option<String>,
    /// Which of the map's dispatchers this one is.
    pub dispatcher: Option<Name>,
}

/// How much it works at once, and how patient it is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Work {
    /// Calls out at once (1 to 100000).
    pub slots: u32,
    /// Messages held at once (1 to 1000000).
    pub held: u32,
    /// Size of a usual message, by which memory and disk are reckoned (64KiB at most).
    pub message: Size,
    /// Attempts for one message (1 to 8).
    pub attempts: u32,
    /// A connection that is not up by then is given up (1ms to 1min).
    pub connect_timeout: Span,
    /// An idle connection is closed after this (1ms to 1h).
    pub keep_alive: Span,
    /// Endpoints that are out are probed before a message is risked; a probe counts as a call.
    pub probes: bool,
}

impl Default for Work {
    fn default() -> Work {
        Work {
            slots: 32,
            held: 500,
            message: Size(1_024),
            attempts: 8,
            connect_timeout: Span(1_000.0),
            keep_alive: Span(10_000.0),
            probes: true,
        }
    }
}

/// What the process may use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Process {
    /// File descriptors.
    pub descriptors: u32,
    /// Memory.
    pub memory: Size,
    /// Disk, in the state folder.
    pub disk: Size,
}

impl Default for Process {
    fn default() -> Process {
        Process { descriptors: 256, memory: Size(32 << 20), disk: Size(3_000_000) }
    }
}

/// An application's file.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Application {
    /// Its name; each on a machine has another.
    pub application: Option<Name>,
    /// The folder that outlasts the process.
    pub state: Option<String>,
    /// The building that it stands in.
    pub building: Option<Name>,
    /// The registry; without it the endpoints of the agreements are all there are.
    pub discovery: Option<Address>,
    /// Where RESP2 clients hear of messages that were taken on and not delivered: an address that takes the platform's
    /// notices, or "log". Without it, discovery's.
    pub notices: Option<String>,
    /// Where its clients connect.
    pub listen: Listen,
    /// The log.
    pub log: Log,
    /// The tenants, by name.
    pub tenants: BTreeMap<Name, Tenant>,
    /// The cells that its tenants live in; without any it is undivided.
    pub cells: BTreeMap<Name, Cell>,
    /// The other dispatchers that it shares its tenants with; without it there are none.
    pub mesh: Option<Mesh>,
    /// The classes of messages, by name.
    pub classes: BTreeMap<Name, Class>,
    /// The members that it uses.
    pub uses: Vec<Use>,
    /// How much it works at once.
    pub work: Work,
    /// What the process may use.
    pub process: Process,
}
