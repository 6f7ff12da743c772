//! The settings file of an application: its dispatcher, and the limits that it promises to keep at each
//! destination.

use crate::agreement::{Area, Repeats};
use crate::units::{Address, Limit, Name, Share, Size, Span};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The addresses at which clients connect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Listen {
    /// The address for RESP2 clients.
    pub resp: Option<Address>,
    /// The address for MQTT 5 clients; without it, the MQTT front end is off.
    pub mqtt: Option<Address>,
    /// The most MQTT connections at once (1 to 512).
    pub mqtt_sessions: u32,
}

impl Default for Listen {
    fn default() -> Listen {
        Listen { resp: None, mqtt: None, mqtt_sessions: 64 }
    }
}

/// The format of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Lines of text for people.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The least severe level that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Errors and warnings.
    Warn,
    /// Also normal events.
    #[default]
    Info,
    /// Also details of each message.
    Debug,
}

/// Settings of the log, which is written to standard error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Log {
    /// The format of the log.
    pub format: LogFormat,
    /// The least severe level that is logged; the environment variable RUST_LOG overrides it.
    pub level: LogLevel,
}

/// A tenant of the application.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Tenant {
    /// The rate of messages that is the tenant's share; messages over it get the lowest priority. Without it,
    /// the share is unlimited.
    pub share: Option<Limit>,
}

/// A cell: tenants that share a part of every limited resource, and are isolated from the tenants of other
/// cells.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Cell {
    /// The cell's weight when slots, held messages, journal, time and promised calls are divided among cells
    /// (over 0, up to 1000).
    pub weight: f64,
    /// Tenants assigned to the cell; tenants that no cell lists are placed by a hash of their names.
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
    /// The effect of a repeat; without it, the strictest of the agreements applies.
    pub repeats: Option<Repeats>,
    /// Which endpoints drop a repeat, if repeats are dropped.
    pub dropped_in: Option<Area>,
    /// How long repeats are dropped, if they are.
    pub dropped_for: Option<Span>,
    /// The time within which a delivered message has its full worth (1ms to 1h).
    pub wanted: Span,
    /// The time after which a message is given up (1ms to 1h).
    pub deadline: Span,
    /// Whether messages with the same ordering key are delivered one at a time, in order.
    pub ordered: bool,
    /// The worth of a message relative to messages of other classes (over 0, up to 1000).
    pub worth: f64,
    /// The part of the worth that is left at the deadline (0 to 1).
    pub late_worth: f64,
    /// Where repeats are forbidden: how long a message is remembered after its final answer, so that it is
    /// not delivered again when a client submits it again.
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

/// A destination that the application uses, and the limits that the application promises to keep there.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Use {
    /// The path of the destination's agreement, relative to the folder of this file.
    pub agreement: Option<String>,
    /// The application's share of the destination's limit; the shares of all applications add up to 100% at
    /// most.
    pub share: Option<Share>,
    /// The most connections to each endpoint, idle ones included.
    pub connections: Option<u32>,
    /// The ids of the endpoints to use; without it, all of them.
    pub endpoints: Option<Vec<Name>>,
    /// The tenants that may use the destination; without it, all of them.
    pub tenants: Option<Vec<Name>>,
    /// The classes to deliver there; without it, all that the destination accepts.
    pub classes: Option<Vec<Name>>,
}

/// The cell map that the application's dispatchers share.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Mesh {
    /// The path of the cell map, relative to the folder of this file.
    pub map: Option<String>,
    /// The name of this dispatcher in the cell map.
    pub dispatcher: Option<Name>,
}

/// Concurrency limits, timeouts and probing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Work {
    /// The most concurrent calls (1 to 100000).
    pub slots: u32,
    /// The most messages held at once (1 to 1000000).
    pub held: u32,
    /// The size of a typical message, used to estimate memory and disk (1B to 64KiB).
    pub message: Size,
    /// The most attempts for one message (1 to 8).
    pub attempts: u32,
    /// The timeout for connecting (1ms to 1min).
    pub connect_timeout: Span,
    /// The time after which an idle connection is closed (1ms to 1h).
    pub keep_alive: Span,
    /// Whether endpoints in an outage are probed before a message is attempted there; a probe counts as a
    /// call.
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

/// Resource limits of the process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Process {
    /// The most open file descriptors.
    pub descriptors: u32,
    /// The most memory.
    pub memory: Size,
    /// The most disk space in the state folder.
    pub disk: Size,
}

impl Default for Process {
    fn default() -> Process {
        Process { descriptors: 256, memory: Size(32 << 20), disk: Size(3_000_000) }
    }
}

/// The settings file of an application.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Application {
    /// The application's name, unique on its machine.
    pub application: Option<Name>,
    /// The folder for the state that outlasts the process.
    pub state: Option<String>,
    /// The building in which the application runs.
    pub building: Option<Name>,
    /// The address of the registry; without it, only the endpoints in the agreements are used.
    pub discovery: Option<Address>,
    /// The receiver of notices to RESP2 clients about accepted messages that were not delivered: the address
    /// of a service that accepts the platform's notices, or "log". Without it, the address in 'discovery' is
    /// used.
    pub notices: Option<String>,
    /// The addresses at which clients connect.
    pub listen: Listen,
    /// Settings of the log.
    pub log: Log,
    /// The application's tenants, by name.
    pub tenants: BTreeMap<Name, Tenant>,
    /// The cells inside the dispatcher, by name; without any, the dispatcher is undivided.
    pub cells: BTreeMap<Name, Cell>,
    /// The cell map that distributes tenants over several dispatchers; without it, there are no peers.
    pub mesh: Option<Mesh>,
    /// The message classes, by name.
    pub classes: BTreeMap<Name, Class>,
    /// The destinations that the application uses.
    pub uses: Vec<Use>,
    /// Concurrency limits, timeouts and probing.
    pub work: Work,
    /// Resource limits of the process.
    pub process: Process,
}
