//! Tenant ownership: which tenants this dispatcher serves, and how a tenant moves to another dispatcher.
//!
//! The protocol between dispatchers is [`lilacbank_cells::moving`]; this module applies it to messages. An
//! ownership record is written before the orders that follow from it are carried out. To drain a tenant, its
//! messages are withdrawn from the decision module. Outstanding attempts may end by themselves for a while;
//! then those of messages that may be repeated are cancelled, and a message that may not be repeated stays
//! and ends here, while its key waits at the other dispatcher until it must have ended. So no move waits for
//! a silent member. What was offered stays in this journal until the other dispatcher serves it. Only then is
//! it removed: first the messages, then the ownership.

mod contents;
mod drain;

use super::seats_read::OwnershipRecords;
use super::{Core, HeldMessage, Order, Verdict, Withheld};
use crate::api::*;
use crate::config::index_of;
use crate::journal::{Ending, MessageNo, Record};
use lilacbank_cells::moving::{
    self, DispatcherId, Faults, HandoffMessage, Input, MoveError, Phase, TenantOwnership,
};
use lilacbank_cells::placement::{place_tenant, PlacedCell};
use lilacbank_cells::wire::{
    self, Envelope, MessageKind, OwnershipRecord, OwnershipReport, QuietKey, TenantContents, ToolAnswer,
    ToolRequest, ToolRequestKind,
};
use prost::Message as _;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// How long outstanding attempts may end by themselves after a move begins.
const DRAIN_GRACE: Ms = 500.0;
/// A message without an ordering key that has less time left than this is not moved; it ends here.
const MIN_LEFT_TO_MOVE: Ms = 1_000.0;
/// An offer that is not answered within this time is taken back.
const OFFER_TIMEOUT: Ms = 5_000.0;
/// An offer is taken back at the latest this long before the first of its messages reaches its deadline.
const OFFER_MARGIN: Ms = 400.0;
/// How long after it was sent a peer message is sent again; the delay doubles with each repeat.
const RESEND_FIRST: Ms = 100.0;
/// The longest delay before a peer message is sent again.
const RESEND_MAX: Ms = 1_000.0;
/// How long a tenant that is placed here for the first time waits for another dispatcher to claim it before
/// it is served here.
const CLAIM_WAIT: Ms = 1_000.0;
/// The retry-after of a client whose tenant is being moved.
const MOVING_RETRY_AFTER: Ms = 100.0;
/// How long a client waits before it turns to the dispatcher that its tenant has moved to.
const MOVED_RETRY_AFTER: Ms = 1.0;

/// A dispatcher of the cell map, including this one.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerAddresses {
    /// The dispatcher's name.
    pub name: String,
    /// Where other dispatchers reach it.
    pub peer_address: SocketAddr,
    /// Where its RESP2 clients connect.
    pub resp_address: Option<SocketAddr>,
    /// Where its MQTT clients connect.
    pub mqtt_address: Option<SocketAddr>,
}

/// Bytes that a tenant's ownership record takes in the journal beyond its name, parked keys and contents.
const OWNERSHIP_RECORD_BYTES: u64 = 256;
/// Bytes that a parked key takes in such a record.
const QUIET_KEY_BYTES: u64 = 32;

/// The cell map, as one dispatcher sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct CellMapView {
    /// The name of this dispatcher.
    pub own_name: String,
    /// The version of the map.
    pub version: u64,
    /// All dispatchers, including this one.
    pub peers: Vec<PeerAddresses>,
    /// The cells.
    pub cells: Vec<PlacedCell>,
}

impl CellMapView {
    /// Finds a dispatcher by its name.
    pub fn peer(&self, name: &str) -> Option<&PeerAddresses> {
        self.peers.iter().find(|p| p.name == name)
    }
}

/// A tenant's ownership, and the state that is not in the journal.
#[derive(Debug)]
struct TenantState {
    ownership: TenantOwnership<TenantContents>,
    /// When the current phase began.
    since: Ms,
    /// When the pending peer message is sent again.
    resend_at: Ms,
    /// The delay after that.
    resend_delay: Ms,
    /// When draining ends at the latest.
    drain_until: Option<Ms>,
    /// When endpoints know of all cancelled attempts.
    confirm_until: Option<Ms>,
    /// When an offer is taken back.
    offer_until: Ms,
    /// Since when the tenant's messages have been withdrawn from the decision module.
    halted_since: Ms,
    /// For how long they were withdrawn in the last move that ended here.
    last_halt: Ms,
}

/// The ownership of all tenants known to this dispatcher.
#[derive(Debug, Default)]
pub(super) struct Ownership {
    spec: Option<CellMapView>,
    /// Names of the dispatchers by number; the numbers hold for this process only.
    nodes: Vec<String>,
    tenants: BTreeMap<String, TenantState>,
    /// Tenants that are to be served here unless another dispatcher claims them, and until when a claim is
    /// awaited.
    unclaimed: BTreeMap<String, Ms>,
    /// Tenants with a move under way.
    moving: BTreeSet<String>,
    /// Keys whose messages wait for one that ends at the dispatcher their tenant came from: until when, and
    /// the tenant.
    parked: HashMap<u64, (Ms, String)>,
    /// Keys in a quiet period after an attempt that may still run: until when, and the tenant.
    quiet_keys: HashMap<u64, (Ms, String)>,
    /// Bytes that received contents take in a compacted journal.
    bytes: u64,
    next_query_at: Ms,
}

impl Ownership {
    pub(super) fn new(spec: Option<CellMapView>) -> Ownership {
        Ownership { spec, ..Ownership::default() }
    }

    fn node(&mut self, name: &str) -> DispatcherId {
        let at = self.nodes.iter().position(|n| n == name).unwrap_or_else(|| {
            self.nodes.push(name.to_string());
            self.nodes.len() - 1
        });
        at as DispatcherId
    }

    fn name(&self, node: DispatcherId) -> String {
        self.nodes.get(node as usize).cloned().unwrap_or_default()
    }

    fn me(&self) -> &str {
        self.spec.as_ref().map_or("", |s| s.own_name.as_str())
    }

    fn version(&self) -> u64 {
        self.spec.as_ref().map_or(0, |s| s.version)
    }

    /// Whether there are moves, parked keys or unclaimed tenants.
    fn is_active(&self) -> bool {
        !self.unclaimed.is_empty() || !self.parked.is_empty() || !self.moving.is_empty()
    }

    /// Bytes that received contents take in a compacted journal.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Bytes that the ownership records take in a compacted journal, without received contents.
    pub(super) fn record_bytes(&self) -> u64 {
        let names: usize = self.tenants.keys().map(String::len).sum();
        let records = self.tenants.len() as u64 * OWNERSHIP_RECORD_BYTES + names as u64;
        records + self.parked.len() as u64 * QUIET_KEY_BYTES
    }

    /// The journal record of a tenant's ownership, with its parked keys.
    fn record(&self, tenant: &str, ownership: &TenantOwnership<TenantContents>) -> OwnershipRecord {
        let own = self.parked.iter().filter(|(_, w)| w.1 == tenant);
        let parked =
            own.map(|(key, w)| QuietKey { key: *key, until: whole_ms(w.0).saturating_add(1) }).collect();
        OwnershipRecord { quiet_keys: parked, ..wire::to_record(tenant, ownership, |n| self.name(n)) }
    }

    /// Parks keys whose messages wait here for one that ends at another dispatcher.
    fn park_keys(&mut self, tenant: &str, keys: &[QuietKey]) {
        self.parked.extend(keys.iter().map(|k| (k.key, (k.until as Ms, tenant.to_string()))));
    }

    /// Restores the keys that were parked when an earlier process ended.
    pub(super) fn restore_parked_keys(&mut self, now: Ms, read: &OwnershipRecords) {
        for (tenant, record) in &read.latest {
            self.park_keys(tenant, &record.quiet_keys);
        }
        self.parked.retain(|_, w| w.0 > now);
    }

    /// Replaces the state of a tenant.
    fn set(&mut self, tenant: &str, state: TenantState) {
        match state.ownership.is_moving() {
            true => self.moving.insert(tenant.to_string()),
            false => self.moving.remove(tenant),
        };
        self.tenants.insert(tenant.to_string(), state);
        self.recount_bytes();
    }

    fn recount_bytes(&mut self) {
        let received = |p: &TenantState| match &p.ownership.phase {
            Phase::Received { contents, .. } => contents.encoded_len() as u64,
            _ => 0,
        };
        self.bytes = self.tenants.values().map(received).sum();
    }
}

fn new_tenant_state(now: Ms, ownership: TenantOwnership<TenantContents>) -> TenantState {
    TenantState {
        ownership,
        since: now,
        resend_at: now,
        resend_delay: RESEND_FIRST,
        drain_until: None,
        confirm_until: None,
        offer_until: f64::MAX,
        halted_since: now,
        last_halt: 0.0,
    }
}

fn whole_ms(t: Ms) -> u64 {
    t.max(0.0) as u64
}

fn phase_name<C>(phase: &Phase<C>) -> &'static str {
    match phase {
        Phase::OwnedElsewhere { .. } => "away",
        Phase::Owned => "settled",
        Phase::Draining { .. } => "draining",
        Phase::Offered { .. } => "offered",
        Phase::Committed { .. } => "committed",
        Phase::Received { .. } => "received",
    }
}

fn counterpart<C>(phase: &Phase<C>) -> Option<DispatcherId> {
    match phase {
        Phase::OwnedElsewhere { at } => *at,
        Phase::Owned => None,
        Phase::Draining { to } | Phase::Offered { to, .. } | Phase::Committed { to, .. } => Some(*to),
        Phase::Received { from, .. } => Some(*from),
    }
}

impl Core {
    /// Whether tenants can move between dispatchers at all.
    pub(super) fn tenants_can_move(&self) -> bool {
        self.ownership.spec.is_some()
    }

    /// The tenant's name, where tenants can move; else an empty string, which takes no memory.
    pub(super) fn tenant_if_movable(&self, tenant: &str) -> String {
        if self.tenants_can_move() {
            tenant.to_string()
        } else {
            String::new()
        }
    }

    /// Whether the tenant is not served here, or not at the moment.
    pub(super) fn is_not_served_here(&self, tenant: &str) -> bool {
        self.ownership.tenants.get(tenant).is_some_and(|p| !p.ownership.is_serving())
    }

    /// The answer to a client whose tenant is not served here.
    pub(super) fn moved_verdict(&self, tenant: &str) -> Verdict {
        let busy = Verdict::Busy(MOVING_RETRY_AFTER.min(self.settings.max_retry_after));
        let Some(state) = self.ownership.tenants.get(tenant) else { return busy };
        let Phase::OwnedElsewhere { at: Some(node) } = state.ownership.phase else { return busy };
        let name = self.ownership.name(node);
        let peer = self.ownership.spec.as_ref().and_then(|s| s.peer(&name));
        let (resp, mqtt) = peer.map_or((None, None), |p| (p.resp_address, p.mqtt_address));
        Verdict::ServedElsewhere { retry_after: MOVED_RETRY_AFTER, name, resp, mqtt }
    }

    /// Restores the ownership of every tenant from the journal, or else from the cell map. Messages have been
    /// restored before.
    pub(super) fn restore_ownership(&mut self, now: Ms, read: OwnershipRecords) {
        let Some(spec) = self.ownership.spec.clone() else { return };
        for (tenant, record) in read.latest {
            let nodes = std::cell::RefCell::new(&mut self.ownership);
            let ownership =
                record.to_ownership(|name| nodes.borrow_mut().node(name), |_| TenantContents::default());
            let Some(mut ownership) = ownership else {
                log::error!(tenant = tenant.as_str();
                    "the ownership record of '{tenant}' in the journal is invalid");
                continue;
            };
            if let Phase::Offered { contents, .. } | Phase::Committed { contents, .. } = &mut ownership.phase
            {
                *contents = self.handoff_contents(now, &tenant, now);
            }
            let mut state = new_tenant_state(now, ownership);
            if let Phase::Offered { contents, .. } = &state.ownership.phase {
                state.offer_until = offer_until(now, contents);
            }
            self.ownership.set(&tenant, state);
        }
        self.place_new_tenants(now, &spec);
    }

    /// Decides on tenants that have no ownership yet.
    fn place_new_tenants(&mut self, now: Ms, spec: &CellMapView) {
        let new: Vec<String> =
            self.names.tenants.iter().filter(|t| !self.ownership.tenants.contains_key(*t)).cloned().collect();
        for tenant in new {
            let home = place_tenant(&spec.cells, &tenant).map(|(_, at)| at.to_string());
            let at = match home {
                Some(home) if home == spec.own_name => {
                    self.ownership.unclaimed.insert(tenant.clone(), now + CLAIM_WAIT);
                    None
                }
                home => home.map(|h| self.ownership.node(&h)),
            };
            let ownership = TenantOwnership::owned_elsewhere(at);
            // Nothing is written while the owner is being queried: another start queries again.
            if at.is_some() {
                self.write_ownership(&tenant, &ownership);
            }
            self.ownership.set(&tenant, new_tenant_state(now, ownership));
        }
        if spec.peers.len() < 2 {
            self.ownership.unclaimed.values_mut().for_each(|t| *t = now);
        }
        self.ownership.next_query_at = now;
    }

    /// Applies a changed cell map. A tenant that already has an owner stays there; only a move changes that.
    pub(super) fn change_map(&mut self, now: Ms, spec: Option<CellMapView>) {
        if let (Some(new), Some(_)) = (spec, &self.ownership.spec) {
            self.ownership.spec = Some(new.clone());
            self.place_new_tenants(now, &new);
        }
    }

    fn write_ownership(&mut self, tenant: &str, ownership: &TenantOwnership<TenantContents>) -> bool {
        self.compact_if_full();
        self.append_ownership(&self.ownership.record(tenant, ownership))
    }

    fn append_ownership(&mut self, record: &OwnershipRecord) -> bool {
        let done = self.journal.append(&Record::TenantOwnership(record.encode_to_vec()));
        if let Err(e) = &done {
            log::error!(tenant = record.tenant.as_str(), cause:% = e;
                "an ownership record cannot be written to the journal: {e}");
        }
        done.is_ok()
    }

    /// The ownership records for a compacted journal.
    pub(super) fn ownership_records(&self) -> Vec<Record> {
        let known = self.ownership.tenants.iter().filter(|(t, _)| !self.ownership.unclaimed.contains_key(*t));
        let record = |(tenant, p): (&String, &TenantState)| {
            Record::TenantOwnership(self.ownership.record(tenant, &p.ownership).encode_to_vec())
        };
        known.map(record).collect()
    }

    /// Applies one input to a tenant's ownership: the new state is written first, then its orders are carried
    /// out.
    fn step_ownership(
        &mut self,
        now: Ms,
        tenant: &str,
        input: Input<TenantContents>,
    ) -> Result<(), MoveError> {
        let Some(state) = self.ownership.tenants.get(tenant) else { return Err(MoveError::NotOwner) };
        let old = &state.ownership;
        let (ownership, orders) = old.handle(input, Faults::default())?;
        if ownership != *old {
            let (was, old_epoch) = (phase_name(&old.phase), old.epoch);
            let handed_off = match (&old.phase, &ownership.phase) {
                (Phase::Committed { contents, .. }, Phase::OwnedElsewhere { .. }) => Some(contents.clone()),
                _ => None,
            };
            let adopted = match (&old.phase, &ownership.phase) {
                (Phase::Received { contents, .. }, Phase::Owned) => Some(contents.clone()),
                _ => None,
            };
            // Messages that another dispatcher serves are removed before the ownership is written: a restart
            // in between would otherwise serve them here.
            handed_off.iter().for_each(|c| self.remove_handed_off(now, c));
            let written = match &adopted {
                Some(contents) => self.adopt_tenant(now, tenant, &ownership, contents),
                None => self.write_ownership(tenant, &ownership),
            };
            if !written {
                // The input counts as not received; the peer sends it again.
                return Ok(());
            }
            let node = counterpart(&ownership.phase);
            let counterpart_name = node.map(|n| self.ownership.name(n)).unwrap_or_default();
            let (is, epoch) = (phase_name(&ownership.phase), ownership.epoch);
            if let Some(mut state) = self.ownership.tenants.remove(tenant) {
                (state.since, state.resend_at, state.resend_delay) = (now, now + RESEND_FIRST, RESEND_FIRST);
                if let Phase::Offered { contents, .. } = &ownership.phase {
                    state.offer_until = offer_until(now, contents);
                }
                if !matches!(ownership.phase, Phase::Draining { .. }) {
                    state.drain_until = None;
                }
                if let Some(c) = &adopted {
                    state.last_halt = (now - c.suspended_since as Ms).max(0.0);
                }
                state.ownership = ownership;
                self.ownership.set(tenant, state);
            }
            self.ownership.unclaimed.remove(tenant);
            log::info!(tenant = tenant, phase = is, was = was, epoch = epoch, was_epoch = old_epoch, other = counterpart_name.as_str();
                "{tenant} is {is}");
            if adopted.is_some() {
                self.claim(tenant, None);
            }
        }
        orders.into_iter().for_each(|o| self.apply_move_order(now, tenant, o));
        Ok(())
    }

    fn apply_move_order(&mut self, now: Ms, tenant: &str, order: moving::HostAction<TenantContents>) {
        match order {
            moving::HostAction::Send(node, message) => {
                let to = self.ownership.name(node);
                let envelope = wire::handoff_envelope(
                    self.ownership.me(),
                    &to,
                    tenant,
                    self.ownership.version(),
                    &message,
                );
                self.orders.push(Order::SendOwnershipMessage { to, envelope: Box::new(envelope) });
            }
            moving::HostAction::Drain => self.drain_tenant(now, tenant),
            moving::HostAction::Resume => self.resume_tenant(now, tenant),
            // `adopt_tenant` has done it already.
            moving::HostAction::Serve(_) => {}
            moving::HostAction::DropContents => {
                let committed = |p: &TenantState| matches!(p.ownership.phase, Phase::Committed { .. });
                // Committed messages stay in the journal until the other dispatcher has confirmed that it
                // serves them.
                if !self.ownership.tenants.get(tenant).is_some_and(committed) {
                    self.give_up_superseded(now, tenant);
                }
            }
            // The remaining messages end here by themselves.
            moving::HostAction::StopAccepting => {}
        }
    }

    /// Tells one dispatcher, or all, that a tenant is served here.
    fn claim(&mut self, tenant: &str, only: Option<&str>) {
        let Some(state) = self.ownership.tenants.get(tenant) else { return };
        let message = HandoffMessage::Claim { epoch: state.ownership.epoch };
        for to in self.peer_names().into_iter().filter(|n| only.is_none_or(|o| o == n)) {
            let envelope =
                wire::handoff_envelope(self.ownership.me(), &to, tenant, self.ownership.version(), &message);
            self.orders.push(Order::SendOwnershipMessage { to, envelope: Box::new(envelope) });
        }
    }

    fn peer_names(&self) -> Vec<String> {
        let Some(spec) = &self.ownership.spec else { return Vec::new() };
        spec.peers.iter().map(|p| p.name.clone()).filter(|n| *n != spec.own_name).collect()
    }

    /// Tells a newly connected dispatcher which tenants are served here.
    pub fn peer_connected(&mut self, name: &str) {
        let owned: Vec<String> = self
            .ownership
            .tenants
            .iter()
            .filter(|(_, p)| p.ownership.is_owner())
            .map(|(t, _)| t.clone())
            .collect();
        owned.iter().for_each(|t| self.claim(t, Some(name)));
    }

    /// Handles a message from another dispatcher or from an operator's tool.
    pub fn receive_ownership_message(&mut self, now: Ms, conn: usize, e: Envelope) {
        self.now = now;
        let Ok(kind) = MessageKind::try_from(e.kind) else { return };
        if kind == MessageKind::ToolRequest {
            let answer = match e.to == self.ownership.me() {
                true => self.operator_request(now, &e.tenant, e.tool_request.as_ref()),
                false => ToolAnswer {
                    rejected: format!("this is {}", self.ownership.me()),
                    ownerships: Vec::new(),
                },
            };
            let mut reply = wire::envelope_of_kind(
                self.ownership.me(),
                &e.from,
                &e.tenant,
                self.ownership.version(),
                MessageKind::ToolAnswer,
            );
            reply.answer = Some(answer);
            return self.orders.push(Order::AnswerTool { conn, envelope: Box::new(reply) });
        }
        if e.to != self.ownership.me() || e.from == e.to {
            return log::warn!(from = e.from.as_str(), to = e.to.as_str();
                "a peer message for another dispatcher was received; it is ignored");
        }
        if e.map_version > self.ownership.version() {
            log::warn!(from = e.from.as_str(), version = e.map_version;
                "'{}' uses version {} of the cell map; this dispatcher uses {}", e.from, e.map_version, self.ownership.version());
        }
        let from = self.ownership.node(&e.from);
        match kind {
            MessageKind::OwnerQuery => {
                let theirs = |p: &TenantState| {
                    p.ownership.is_owner() || matches!(p.ownership.phase, Phase::Committed { .. })
                };
                if self.ownership.tenants.get(&e.tenant).is_some_and(theirs) {
                    self.claim(&e.tenant, Some(&e.from));
                }
            }
            MessageKind::NoRoom => {
                let offered = |p: &TenantState| {
                    p.ownership.epoch + 1 == e.epoch
                        && matches!(p.ownership.phase, Phase::Offered { to, .. } if to == from)
                };
                if self.ownership.tenants.get(&e.tenant).is_some_and(offered) {
                    log::warn!(tenant = e.tenant.as_str(), other = e.from.as_str(), cause = e.reason.as_str();
                        "'{}' rejects the offer of '{}': {}", e.from, e.tenant, e.reason);
                    let _ = self.step_ownership(now, &e.tenant, Input::Abort);
                }
            }
            _ => match e.handoff_message() {
                Ok(message) => self.handle_peer_message(now, &e, from, message),
                Err(why) => {
                    log::warn!(from = e.from.as_str(), cause:% = why; "a peer message is invalid: {why}")
                }
            },
        }
    }

    fn handle_peer_message(
        &mut self,
        now: Ms,
        e: &Envelope,
        from: DispatcherId,
        message: HandoffMessage<TenantContents>,
    ) {
        let tenant = e.tenant.as_str();
        let refuse = match (&message, self.ownership.tenants.get(tenant)) {
            (HandoffMessage::Offer { .. }, None) => Some("the tenant is not configured here".to_string()),
            (HandoffMessage::Offer { contents, .. }, Some(p))
                if matches!(p.ownership.phase, Phase::OwnedElsewhere { .. }) =>
            {
                self.offer_rejection(contents)
            }
            (HandoffMessage::Claim { epoch }, Some(p))
                if *epoch == p.ownership.epoch
                    && p.ownership.phase == Phase::Owned
                    && e.from.as_str() < self.ownership.me() =>
            {
                log::warn!(tenant = tenant, other = e.from.as_str();
                    "'{tenant}' was placed both here and at '{}', which keeps it", e.from);
                let _ = self.step_ownership(now, tenant, Input::YieldTo(from));
                None
            }
            _ => None,
        };
        if let Some(why) = refuse {
            let mut no = wire::envelope_of_kind(
                self.ownership.me(),
                &e.from,
                tenant,
                self.ownership.version(),
                MessageKind::NoRoom,
            );
            (no.epoch, no.reason) = (e.epoch, why);
            return self
                .orders
                .push(Order::SendOwnershipMessage { to: e.from.clone(), envelope: Box::new(no) });
        }
        let _ = self.step_ownership(now, tenant, Input::MessageReceived(from, message));
    }

    /// Why offered contents cannot be accepted here, if they cannot.
    fn offer_rejection(&mut self, c: &TenantContents) -> Option<String> {
        let size = c.encoded_len() as u64;
        let live = self.live_record_bytes() + 2 * size;
        if !self.journal.has_room_for_live_records(live, self.identity_bytes)
            || self.reserve_space(2 * size).is_err()
        {
            return Some(format!("there is no room for {size} bytes in the journal"));
        }
        if self.messages.len() + c.messages.len() > self.settings.max_held {
            return Some(format!("there is no room for {} messages", c.messages.len()));
        }
        let strange = c.messages.iter().find(|h| index_of(&self.names.classes, &h.class).is_none());
        strange.map(|h| format!("the class '{}' is not configured here", h.class))
    }

    fn operator_request(&mut self, now: Ms, tenant: &str, request: Option<&ToolRequest>) -> ToolAnswer {
        let ask =
            request.and_then(|w| ToolRequestKind::try_from(w.kind).ok()).unwrap_or(ToolRequestKind::None);
        let to = request.map_or("", |w| w.to.as_str());
        let known = tenant.is_empty() && ask == ToolRequestKind::Status
            || self.ownership.tenants.contains_key(tenant);
        let target = self.ownership.spec.as_ref().and_then(|s| s.peer(to)).is_some();
        let refused = match ask {
            _ if !known => Some(format!("there is no tenant '{tenant}' here")),
            ToolRequestKind::Status => None,
            ToolRequestKind::Move if to == self.ownership.me() => match self.is_not_served_here(tenant) {
                true => Some(format!("'{tenant}' is not served here; ask the dispatcher that serves it")),
                false => Some(MoveError::AlreadyThere.to_string()),
            },
            ToolRequestKind::Move if !target => Some(format!("the map has no dispatcher '{to}'")),
            ToolRequestKind::Move => {
                let node = self.ownership.node(to);
                self.step_ownership(now, tenant, Input::Move(node)).err().map(|e| e.to_string())
            }
            ToolRequestKind::Abort => {
                self.step_ownership(now, tenant, Input::Abort).err().map(|e| e.to_string())
            }
            ToolRequestKind::Reclaim => {
                self.step_ownership(now, tenant, Input::Reclaim).err().map(|e| e.to_string())
            }
            ToolRequestKind::None => Some("this wish is not known here".into()),
        };
        ToolAnswer { rejected: refused.unwrap_or_default(), ownerships: self.reports(now, tenant) }
    }

    /// Reports the ownership of one tenant, or of all if `tenant` is empty.
    fn reports(&self, now: Ms, tenant: &str) -> Vec<OwnershipReport> {
        let mut held: HashMap<&str, (u64, u64)> = HashMap::new();
        for c in self.messages.values().filter(|c| c.ending.is_none()) {
            let count = held.entry(&c.taken.tenant).or_default();
            *count = (count.0 + 1, count.1 + u64::from(c.withheld.is_some()));
        }
        let wanted = self.ownership.tenants.iter().filter(|(t, _)| tenant.is_empty() || *t == tenant);
        let report = |(tenant, p): (&String, &TenantState)| {
            let asking = self.ownership.unclaimed.contains_key(tenant);
            let (held, still) = held.get(tenant.as_str()).copied().unwrap_or_default();
            OwnershipReport {
                tenant: tenant.clone(),
                phase: if asking { "asking" } else { phase_name(&p.ownership.phase) }.into(),
                peer: counterpart(&p.ownership.phase).map(|n| self.ownership.name(n)).unwrap_or_default(),
                epoch: p.ownership.epoch,
                held,
                suspended: still,
                phase_ms: whole_ms(now - p.since),
                last_suspension_ms: whole_ms(p.last_halt),
            }
        };
        wanted.map(report).collect()
    }

    /// The numbers of the messages that match, in the order in which they were accepted.
    fn messages_where(&self, are: impl Fn(&HeldMessage) -> bool) -> Vec<MessageNo> {
        self.messages.iter().filter(|(_, c)| are(c)).map(|(no, _)| *no).collect()
    }

    /// Gives a message to the decision module, unless another message of its key must end first.
    fn resume_if_key_free(&mut self, no: MessageNo) {
        if self.messages.get(&no).is_some_and(|c| c.ending.is_none() && !self.is_parked(c.taken.key)) {
            self.resume(no);
        }
    }

    /// Whether messages of this key wait here for one that ends at another dispatcher.
    pub(super) fn is_parked(&self, key: Option<u64>) -> bool {
        key.is_some_and(|k| self.ownership.parked.contains_key(&k))
    }

    /// Starts the quiet period of a key after an attempt that may still run.
    pub(super) fn start_quiet_period(&mut self, now: Ms, no: MessageNo, outcome: Outcome) {
        if self.ownership.spec.is_none()
            || !matches!(outcome, Outcome::Late | Outcome::Reset | Outcome::Cancelled)
        {
            return;
        }
        let Some((key, tenant)) = self.messages.get(&no).map(|c| (c.taken.key, c.taken.tenant.clone()))
        else {
            return;
        };
        self.set_key_quiet(now, key, &tenant, now + self.settings.key_quiet_period);
    }

    /// Sets the quiet period of a tenant's key; a move carries it to the next owner.
    pub(super) fn set_key_quiet(&mut self, now: Ms, key: Option<u64>, tenant: &str, until: Ms) {
        if let (Some(key), true) = (key, self.ownership.spec.is_some()) {
            self.ownership.quiet_keys.retain(|_, r| r.0 > now);
            self.ownership.quiet_keys.insert(key, (until, tenant.to_string()));
        }
    }

    /// Ends a message that stayed here when its tenant moved and whose attempt ended without a delivery: the
    /// decision module does not hold it any more.
    pub(super) fn end_left_behind(&mut self, now: Ms, no: MessageNo) {
        if self.messages.get(&no).is_some_and(|c| c.withheld == Some(Withheld::LeftBehind) && c.out.is_none())
        {
            self.end_withheld(now, no);
        }
    }

    /// Ends a message that the decision module does not hold: given up if it may have run, else returned.
    fn end_withheld(&mut self, now: Ms, no: MessageNo) {
        let ran = self.messages.get(&no).is_some_and(|c| c.ran.is_some());
        self.finish(now, no, if ran { Ending::GivenUp } else { Ending::Returned(0.0) });
    }

    /// Handles what is due: drains, repeated peer messages, offers without an answer, and parked keys.
    pub(super) fn ownership_turn(&mut self, now: Ms) {
        if !self.ownership.is_active() {
            return;
        }
        self.release_parked_keys(now);
        self.expire_withheld(now);
        self.query_owners(now);
        for tenant in self.ownership.moving.clone() {
            let Some(p) = self.ownership.tenants.get_mut(&tenant) else { continue };
            match (&p.ownership.phase, p.drain_until) {
                (Phase::Draining { .. }, Some(until)) => self.continue_drain(now, &tenant, until),
                (Phase::Offered { to, .. }, _) if p.offer_until <= now => {
                    let to = *to;
                    let to = self.ownership.name(to);
                    log::warn!(tenant = tenant.as_str(), other = to.as_str();
                        "'{to}' has not accepted '{tenant}' in time; the move is taken back");
                    let _ = self.step_ownership(now, &tenant, Input::Abort);
                }
                _ if p.resend_at <= now => {
                    p.resend_at = now + p.resend_delay;
                    p.resend_delay = (2.0 * p.resend_delay).min(RESEND_MAX);
                    let _ = self.step_ownership(now, &tenant, Input::Tick);
                }
                _ => {}
            }
        }
    }

    /// Releases parked keys whose time has passed.
    fn release_parked_keys(&mut self, now: Ms) {
        let due: Vec<u64> = self.ownership.parked.iter().filter(|(_, w)| w.0 <= now).map(|w| *w.0).collect();
        for key in due {
            self.ownership.parked.remove(&key);
            let waits = |c: &HeldMessage| c.withheld == Some(Withheld::KeyParked) && c.taken.key == Some(key);
            self.messages_where(waits).into_iter().for_each(|no| self.resume_if_key_free(no));
        }
    }

    /// Ends withheld messages whose deadline has passed. Offered or committed messages are left alone: their
    /// fate is decided by the move.
    fn expire_withheld(&mut self, now: Ms) {
        let due = |c: &HeldMessage| match c.withheld {
            Some(Withheld::KeyParked) => true,
            Some(Withheld::TenantMoving) => {
                let p = self.ownership.tenants.get(&c.taken.tenant);
                c.out.is_none() && p.is_some_and(|p| matches!(p.ownership.phase, Phase::Draining { .. }))
            }
            _ => false,
        };
        let over = |c: &HeldMessage| c.ending.is_none() && c.taken.valid_until <= now && due(c);
        for no in self.messages_where(over) {
            self.end_withheld(now, no);
        }
    }

    /// Asks the other dispatchers who serves the tenants that have no owner yet, and takes those that nobody
    /// has claimed in time.
    fn query_owners(&mut self, now: Ms) {
        if self.ownership.unclaimed.is_empty() {
            return;
        }
        let due: Vec<String> =
            self.ownership.unclaimed.iter().filter(|a| *a.1 <= now).map(|a| a.0.clone()).collect();
        for tenant in due {
            let ownership = TenantOwnership::owned_here();
            if self.write_ownership(&tenant, &ownership) {
                self.ownership.unclaimed.remove(&tenant);
                self.ownership.set(&tenant, new_tenant_state(now, ownership));
                self.claim(&tenant, None);
            }
        }
        if self.ownership.next_query_at <= now {
            self.ownership.next_query_at = now + RESEND_FIRST;
            let all: Vec<String> = self.ownership.unclaimed.keys().cloned().collect();
            for to in self.peer_names() {
                for tenant in &all {
                    let whose = wire::envelope_of_kind(
                        self.ownership.me(),
                        &to,
                        tenant,
                        self.ownership.version(),
                        MessageKind::OwnerQuery,
                    );
                    self.orders
                        .push(Order::SendOwnershipMessage { to: to.clone(), envelope: Box::new(whose) });
                }
            }
        }
    }

    /// When [`Core::ownership_turn`] next has something to do.
    pub(super) fn ownership_due(&self) -> Option<Ms> {
        if !self.ownership.is_active() {
            return None;
        }
        let asks = self.ownership.unclaimed.values().copied();
        let asks = asks.chain((!self.ownership.unclaimed.is_empty()).then_some(self.ownership.next_query_at));
        let parked = self.ownership.parked.values().map(|w| w.0);
        let ownership = |p: &TenantState| match p.drain_until {
            Some(until) => until,
            None => p.resend_at.min(p.offer_until),
        };
        let seats = self.ownership.moving.iter().filter_map(|t| self.ownership.tenants.get(t)).map(ownership);
        let expires_at = |c: &HeldMessage| match c.withheld {
            Some(Withheld::KeyParked) if c.ending.is_none() => Some(c.taken.valid_until),
            _ => None,
        };
        let expiries = self.messages.values().filter_map(expires_at);
        asks.chain(parked).chain(seats).chain(expiries).min_by(f64::total_cmp)
    }
}

/// When an offer is taken back without an answer.
fn offer_until(now: Ms, contents: &TenantContents) -> Ms {
    let times =
        contents.messages.iter().map(|h| h.valid_until as Ms).filter(|t| *t >= now + MIN_LEFT_TO_MOVE);
    times.map(|t| t - OFFER_MARGIN).fold(now + OFFER_TIMEOUT, f64::min)
}
