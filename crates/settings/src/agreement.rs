//! The agreement of a member firm: what its endpoints take, from everybody together.

use crate::units::{Limit, Name, Share, Span, Target};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a repeat of a message does at a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Repeats {
    /// It takes effect once more: never send it again once it may have run.
    Forbidden,
    /// It is dropped, for a time and in a place.
    Dropped,
    /// It does no harm.
    Harmless,
}

/// Where a repeat is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Area {
    /// By endpoints of the building of the first call only.
    Building,
    /// By all endpoints of the member.
    Member,
}

/// What kind of member it is: what its limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum MemberKind {
    /// Its endpoints are one system behind one limit.
    #[default]
    HighVolume,
    /// Each endpoint is a route of its own, with a limit, pace and outages of its own.
    LowVolume,
}

impl MemberKind {
    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            MemberKind::HighVolume => "high-volume",
            MemberKind::LowVolume => "low-volume",
        }
    }
}

/// An endpoint.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Endpoint {
    /// Its id, the same for everybody.
    pub id: Option<Name>,
    /// Where it is reached.
    pub address: Option<Target>,
    /// The building that it stands in.
    pub building: Option<Name>,
    /// Connections that it takes from everybody together, idle ones counted; without it, the agreement's.
    pub connections: Option<u32>,
}

/// What the member says of a class of messages.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Acceptance {
    /// What a repeat does.
    pub repeats: Option<Repeats>,
    /// Where a repeat is dropped, if it is.
    pub dropped_in: Option<Area>,
    /// How long a repeat is dropped, if it is.
    pub dropped_for: Option<Span>,
}

/// The agreement of a member firm.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Agreement {
    /// The member's name.
    pub member: Option<Name>,
    /// The number by which messages name it as their destination.
    pub destination: Option<u64>,
    /// What its limit counts.
    pub kind: MemberKind,
    /// Calls that it takes from everybody together; without it, there is no limit but its capacity.
    pub limit: Option<Limit>,
    /// A call reaches it at most so long after its last byte was written.
    pub travel: Span,
    /// Connections that each endpoint takes from everybody together, idle ones counted.
    pub connections: Option<u32>,
    /// New work to a draining endpoint ends within this.
    pub drain: Span,
    /// The longest wait that it tells.
    pub wait_most: Span,
    /// After an outage it has all of its capacity again within this (0s to 10min).
    pub cold: Span,
    /// Part of its capacity that it has when it comes back.
    pub cold_from: Share,
    /// Its endpoints may be probed; a probe counts as a call.
    pub probes: bool,
    /// The buildings that its endpoints stand in.
    pub buildings: Vec<Name>,
    /// Its endpoints.
    pub endpoints: Vec<Endpoint>,
    /// The classes that it accepts.
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
