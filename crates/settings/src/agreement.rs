//! The agreement of a destination: what its endpoints take from all applications together.

use crate::units::{Limit, Name, Share, Span, Target};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The effect of a repeated message at a destination.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Repeats {
    /// A repeat takes effect again (at-most-once): a message is not attempted again once it may have run.
    Forbidden,
    /// A repeat is dropped (deduplicated), for a limited time and by certain endpoints.
    Dropped,
    /// A repeat has no further effect (idempotent).
    Harmless,
}

/// Which endpoints drop a repeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Area {
    /// Only endpoints in the building of the first attempt.
    Building,
    /// All endpoints of the destination.
    Member,
}

/// The kind of a destination: whether its limit applies to all endpoints together or to each of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum MemberKind {
    /// The endpoints are one system that shares one limit.
    #[default]
    HighVolume,
    /// Each endpoint is independent, with its own limit, speed and outages.
    LowVolume,
}

impl MemberKind {
    /// The name of the kind in settings files.
    pub fn name(self) -> &'static str {
        match self {
            MemberKind::HighVolume => "high-volume",
            MemberKind::LowVolume => "low-volume",
        }
    }
}

/// An endpoint of a destination.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Endpoint {
    /// The id, which is the same in all files.
    pub id: Option<Name>,
    /// The address: "ADDRESS:PORT" over HTTP, or "mqtt://ADDRESS:PORT/TOPIC".
    pub address: Option<Target>,
    /// The building in which the endpoint runs.
    pub building: Option<Name>,
    /// The most connections from all applications together, idle ones included; without it, the agreement's value
    /// applies.
    pub connections: Option<u32>,
}

/// The destination's terms for a class of messages.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Acceptance {
    /// The effect of a repeat.
    pub repeats: Option<Repeats>,
    /// Which endpoints drop a repeat, if repeats are dropped.
    pub dropped_in: Option<Area>,
    /// How long repeats are dropped, if they are.
    pub dropped_for: Option<Span>,
}

/// The agreement of a destination.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Agreement {
    /// The destination's name.
    pub member: Option<Name>,
    /// The number by which messages refer to the destination.
    pub destination: Option<u64>,
    /// The kind: whether the limit applies to all endpoints together or to each of them.
    pub kind: MemberKind,
    /// The most calls from all applications together; without it, only the destination's capacity limits them.
    pub limit: Option<Limit>,
    /// The longest time from writing a call's last byte to its arrival.
    pub travel: Span,
    /// The most connections to each endpoint from all applications together, idle ones included.
    pub connections: Option<u32>,
    /// The time within which new attempts at a draining endpoint stop (2s at most).
    pub drain: Span,
    /// The longest retry-after that the destination asks for.
    pub wait_most: Span,
    /// The time after an outage until an endpoint has its full capacity again (0s to 10min).
    pub cold: Span,
    /// The part of its capacity that an endpoint has right after an outage.
    pub cold_from: Share,
    /// Whether endpoints may be probed; a probe counts as a call.
    pub probes: bool,
    /// The buildings in which the endpoints run.
    pub buildings: Vec<Name>,
    /// The destination's endpoints.
    pub endpoints: Vec<Endpoint>,
    /// The classes that the destination accepts, by name.
    pub classes: BTreeMap<Name, Acceptance>,
}

impl Default for Agreement {
    fn default() -> Agreement {
        Agreement {
            member: None,
            destination: None,
            kind: MemberKind::default(),
            limit: None,
            travel: Span(50.0),
            connections: None,
            drain: Span(2_000.0),
            wait_most: Span(2_000.0),
            cold: Span(13_000.0),
            cold_from: Share(220_000),
            probes: true,
            buildings: Vec::new(),
            endpoints: Vec::new(),
            classes: BTreeMap::new(),
        }
    }
}
