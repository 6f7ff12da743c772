//! The replication state machine of one dispatcher: the peer messages that it sends and processes, and what
//! follows for the messages that it owns or replicates for others. It does no I/O: the caller passes in the
//! time and received peer messages, and takes out what to send and the resulting events.
//!
//! **Leases.** Each dispatcher sends every peer a heartbeat each [`HEARTBEAT_INTERVAL_MS`], and the peer
//! answers it. An owner acts on a message only while every other dispatcher with a copy has answered within
//! [`LEASE_MS`] or counts as gone. A dispatcher counts a peer as gone only if it received nothing from it for
//! [`PEER_GONE_AFTER_MS`], which is longer than the lease, and only while it has valid leases of a majority
//! of the installation itself. Both sides of a network partition therefore accept messages, each with holders
//! on its own side, and only the majority side acts on a message that has copies on both.
//!
//! **Grants.** An at-most-once message is started only with its arbiter's grant (see [`crate::owner`]). A
//! restarted arbiter has lost its grants and gives none for messages from before the restart: the copy names
//! the incarnation of the arbiter that may grant.
//!
//! **Confirmed starts.** A deduplicated message is sent once all holders have confirmed that it may have run
//! ([`Replicator::is_start_confirmed`]).
//!
//! **Anti-entropy.** Two dispatchers compare the copies that both should have through [`crate::digest`], at
//! first contact and then periodically, and send the copies that differ, a limited number of buckets at a
//! time.

mod comparison;
mod fences;
mod received;
mod starts;
mod takeover;

use self::comparison::{Comparison, PeerDigest, MAX_HASHES_PER_REQUEST};
use crate::copies::{CopyEnding, Fence, MergeOutcome, MessageContent, MessageCopy, Stage};
use crate::digest::{self, HashTree, DEPTH, FAN_OUT};
use crate::owner::{Faults, PeerMessage, Repeatability, Replica, ReplicaAction};
use crate::store::SizedMap;
use crate::view::{MemberState, Membership, Output, PeerIdentity};
use crate::wire::{
    self, BucketRequest, BucketsSent, CopyAck, DifferingChildren, Envelope, Hashes, Heartbeat, Payload,
    WireCopy, VERSION,
};
use crate::Ms;
use prost::Message as _;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Interval between heartbeats to each peer.
pub const HEARTBEAT_INTERVAL_MS: Ms = 250;
/// How long an owner relies on a peer, counted from the time at which the answered heartbeat was sent.
pub const LEASE_MS: Ms = 2_500;
/// A peer from which anything was received within this time does not count as gone, whatever the membership
/// view shows.
pub const PEER_GONE_AFTER_MS: Ms = 3_000;
/// A peer that has not answered a heartbeat within this time is not chosen as a holder of new copies.
const HOLDER_FRESHNESS_MS: Ms = 700;
/// Unacknowledged peer messages are sent again after this time.
const RESEND_INTERVAL_MS: Ms = 500;
/// Interval between scans for messages whose owner is gone, and between checks for peer messages to send
/// again.
const SCAN_INTERVAL_MS: Ms = 200;
/// Interval between removals of expired copies.
const EXPIRY_INTERVAL_MS: Ms = 1_000;
/// A copy without a final answer is kept this long after its message expired.
const EXPIRED_RETENTION_MS: Ms = 60_000;
/// How long to wait for the peers' answers to a query about a message.
const QUERY_TIMEOUT_MS: Ms = 150;
/// Past incarnations that are remembered of each peer, so that late peer messages from them are ignored.
const MAX_PAST_INCARNATIONS: usize = 8;
/// Messages that are settled, or sent again, in one scan at most: a connection has to carry them.
const MAX_MESSAGES_PER_SCAN: usize = 2_000;
/// Copies with a newer fence that are sent to a returning peer in one go, at most.
const MAX_FENCES_RESENT: usize = 50_000;

/// The identity and the replication settings of a dispatcher.
#[derive(Debug, Clone)]
pub struct ReplicationConfig {
    /// The dispatcher's name.
    pub name: String,
    /// The address at which peers reach it.
    pub address: String,
    /// Random number that identifies this incarnation of the dispatcher in peer messages; above 0.
    pub incarnation_id: u64,
    /// Incarnation number for the membership protocol: the higher one wins.
    pub incarnation: u64,
    /// The installation; peer messages from another one are rejected.
    pub installation: String,
    /// Number of dispatchers in the installation.
    pub dispatcher_count: usize,
    /// Names and addresses of the peers that are asked for the other members.
    pub seeds: Vec<(String, String)>,
    /// Copies of each message besides the owner's.
    pub copies: usize,
    /// Maximum total size, in bytes, of the copies held here.
    pub max_bytes: usize,
    /// Seed of the random number generator.
    pub seed: u64,
    /// How long, after a start, restored messages wait at most for the peers' copies before the dispatcher
    /// serves.
    pub settle_timeout: Ms,
}

/// An event for the dispatcher to act on.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplicationEvent {
    /// A change of the membership or of a peer's state, as text for the log.
    MembershipChanged(String),
    /// A peer acknowledged its copy of this message.
    CopyAcknowledged(String),
    /// This message may be started now.
    Start(String),
    /// This message has to be given up: it gets its final answer without an attempt.
    GiveUp(String),
    /// Another dispatcher owns this message, or it has ended there: this dispatcher drops it.
    OwnershipLost(String),
    /// This dispatcher has become the owner of a message; the host records that before it acts on the
    /// message.
    OwnershipTaken(Box<MessageCopy>, ReplicaAction),
    /// An operator block was set (true) or lifted (false) for this endpoint.
    OperatorBlock(String, bool),
    /// Restored messages are settled (true), or the time limit for it has passed (false).
    Settled(bool),
    /// All peers answered the query about this message, or its timeout has passed.
    QueryFinished(String),
    /// A peer sent newer health data of a destination than was known here.
    HealthUpdate(String, DestinationHealth),
}

/// Health data of a destination.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DestinationHealth {
    /// Attempts per second that the destination answered recently, as measured by the dispatcher that reports
    /// it.
    pub rate: f64,
    /// Since when the destination has been unavailable, if it is.
    pub unavailable_since: Option<Ms>,
    /// When this was observed.
    pub observed_at: Ms,
}

/// Counters of the replication.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplicationCounters {
    /// Copies accepted for peers.
    pub copies_accepted: u64,
    /// Messages whose ownership was taken over.
    pub takeovers: u64,
    /// Own messages dropped because another dispatcher took them over.
    pub ownership_lost: u64,
    /// Grants given.
    pub grants_given: u64,
    /// Grant requests denied.
    pub grants_denied: u64,
    /// Messages with two different final answers.
    pub conflicts: u64,
    /// Copies rejected for lack of room.
    pub copies_rejected: u64,
    /// Invalid peer messages.
    pub invalid_messages: u64,
    /// Peer messages from past incarnations, which arrived late.
    pub stale_messages: u64,
    /// Queries about messages that are unknown here.
    pub queries: u64,
    /// Copies sent to a peer that lacked them.
    pub missing_copies_sent: u64,
    /// Bytes of the frames sent.
    pub bytes_sent: u64,
    /// Messages that were accepted when no peer could hold a copy.
    pub without_holders: u64,
}

#[derive(Debug, Default)]
struct Peer {
    address: Option<String>,
    /// The number that identifies the peer's current incarnation ([`ReplicationConfig::incarnation_id`]); 0 before
    /// anything was received from it.
    incarnation: u64,
    last_received: Option<Ms>,
    /// When the heartbeat that it answered last was sent.
    lease_start: Option<Ms>,
    /// It has answered a heartbeat since the connection to it was last lost.
    answering: bool,
    /// Its past incarnations.
    past_incarnations: Vec<u64>,
    /// Own messages without a final answer, as it last reported.
    open_messages: u64,
    heartbeat_due: Ms,
    gone: bool,
    /// It has to receive the fences that replaced its own before its lease is renewed.
    needs_fences: bool,
    /// Messages whose newer fence it was sent and has not confirmed; its lease is not renewed meanwhile.
    unconfirmed_fences: BTreeSet<String>,
    /// When they are sent again.
    fences_resend_due: Ms,
    /// A comparison with it has completed since both were started.
    compared: bool,
    comparison: Option<Comparison>,
    comparison_due: Ms,
    digest: Option<PeerDigest>,
}

/// See the module documentation.
pub struct Replicator {
    spec: ReplicationConfig,
    membership: Membership,
    peers: BTreeMap<String, Peer>,
    replicas: SizedMap<Replica>,
    /// What peers answered to queries about messages that are not held here, without the bodies. These are no
    /// copies: they only answer clients.
    query_answers: SizedMap<MessageCopy>,
    /// Own messages whose current state is not acknowledged by all peers that hold them: the peers, and when
    /// to send it to each again.
    unconfirmed: BTreeMap<String, BTreeMap<String, Ms>>,
    /// Own at-most-once messages whose arbiter was asked for a grant.
    grant_requests: BTreeSet<String>,
    /// Own messages restored from an earlier incarnation whose outcome is not known yet.
    unsettled: BTreeSet<String>,
    settle_deadline: Option<Ms>,
    /// Since when a majority of the installation has answered, see [`Replicator::has_majority`].
    majority_since: Option<Ms>,
    /// Messages that peers were asked about: the peers that have not answered, and the time limit.
    queries: BTreeMap<String, (BTreeSet<String>, Ms)>,
    /// By destination: the newest health data, observed here or received.
    health: BTreeMap<String, DestinationHealth>,
    /// By endpoint: the newest operator block or its removal.
    operator_blocks: BTreeMap<String, (crate::clock::Timestamp, bool)>,
    clock: crate::clock::HybridClock,
    outbox: Vec<(String, Envelope)>,
    events: Vec<ReplicationEvent>,
    resend_due: Ms,
    scan_due: Ms,
    expiry_due: Ms,
    /// Counters since the start.
    pub counts: ReplicationCounters,
}

impl Replicator {
    /// A keeper that knows no peer's state yet; `now` is the wall clock.
    pub fn new(now: Ms, spec: ReplicationConfig) -> Replicator {
        let node = |(name, address): &(String, String)| PeerIdentity {
            name: name.clone(),
            address: address.clone(),
            life: 0,
        };
        let me =
            PeerIdentity { name: spec.name.clone(), address: spec.address.clone(), life: spec.incarnation };
        let membership = Membership::new(now, me, spec.seeds.iter().map(node).collect(), spec.seed);
        let peer = |(name, address): &(String, String)| {
            (name.clone(), Peer { address: Some(address.clone()), ..Peer::default() })
        };
        let peers = spec.seeds.iter().filter(|s| s.0 != spec.name).map(peer).collect();
        Replicator {
            clock: crate::clock::HybridClock::new(&spec.name),
            settle_deadline: Some(now + spec.settle_timeout),
            membership,
            peers,
            spec,
            replicas: SizedMap::default(),
            query_answers: SizedMap::default(),
            unconfirmed: BTreeMap::new(),
            grant_requests: BTreeSet::new(),
            unsettled: BTreeSet::new(),
            majority_since: None,
            queries: BTreeMap::new(),
            health: BTreeMap::new(),
            operator_blocks: BTreeMap::new(),
            outbox: Vec::new(),
            events: Vec::new(),
            resend_due: now,
            scan_due: now,
            expiry_due: now,
            counts: ReplicationCounters::default(),
        }
    }

    /// Removes and returns the peer messages to send, each with its recipient.
    pub fn take_outgoing(&mut self) -> Vec<(String, Envelope)> {
        std::mem::take(&mut self.outbox)
    }

    /// Removes and returns the events to act on.
    pub fn take_events(&mut self) -> Vec<ReplicationEvent> {
        std::mem::take(&mut self.events)
    }

    /// Names and addresses of the peers.
    pub fn addresses(&self) -> impl Iterator<Item = (&String, &String)> {
        self.peers.iter().filter_map(|(n, p)| Some((n, p.address.as_ref()?)))
    }

    /// All peers with their state.
    pub fn peer_states(&self) -> Vec<(String, &'static str)> {
        let seen: BTreeMap<String, MemberState> =
            self.membership.members().into_iter().map(|(n, s)| (n.name, s)).collect();
        let of = |(name, p): (&String, &Peer)| {
            let standing = match (p.gone, seen.get(name)) {
                (true, _) => "gone",
                // Gone by the membership view, but this dispatcher lacks a majority or has not had one for
                // long enough.
                (false, Some(MemberState::Gone)) => "unheard",
                (false, Some(MemberState::Alive)) => "alive",
                (false, Some(MemberState::Suspect)) => "suspect",
                (false, None) => "unknown",
            };
            (name.clone(), standing)
        };
        self.peers.iter().map(of).collect()
    }

    /// Destinations that are unavailable by the newest health data of any dispatcher.
    pub fn unavailable_destinations(&self) -> Vec<&str> {
        self.health.iter().filter(|h| h.1.unavailable_since.is_some()).map(|h| h.0.as_str()).collect()
    }

    /// Number of own messages, number of copies held for peers, and the total size in bytes.
    pub fn copy_counts(&self) -> (usize, usize, usize) {
        let own = self.replicas.values().filter(|p| p.is_owner()).count();
        (own, self.replicas.len() - own, self.bytes())
    }

    /// Whether a majority of the installation, including this dispatcher, has answered a heartbeat within
    /// [`LEASE_MS`].
    pub fn has_majority(&self, now: Ms) -> bool {
        let answered = self.peers.values().filter(|p| p.has_lease(now)).count();
        2 * (answered + 1) > self.spec.dispatcher_count
    }

    fn send(&mut self, to: &str, payload: Payload) {
        let envelope = Envelope {
            version: VERSION,
            installation: self.spec.installation.clone(),
            from: self.spec.name.clone(),
            incarnation: self.spec.incarnation_id,
            payload: Some(payload),
        };
        self.counts.bytes_sent += envelope.encoded_len() as u64 + 8;
        self.outbox.push((to.to_string(), envelope));
    }

    /// The wire format of a copy. It carries the remaining time of the message, as the peers' clocks differ.
    fn to_wire(&self, now: Ms, replica: &Replica) -> WireCopy {
        let mut wire = WireCopy::from(&replica.copy);
        wire.valid_until = replica.copy.content.valid_until.saturating_sub(now);
        wire.set_repeatability(replica.kind);
        wire
    }

    fn send_copy(&mut self, now: Ms, to: &str, id: &str) {
        if let Some(wire) = self.replicas.get(id).map(|p| self.to_wire(now, p)) {
            self.send(to, Payload::Store(wire));
        }
    }

    /// All other dispatchers that hold a copy, including the one that accepted the message.
    fn other_holders(&self, replica: &Replica) -> Vec<String> {
        let all = std::iter::once(&replica.copy.content.accepted_by).chain(&replica.copy.holders);
        all.filter(|n| **n != self.spec.name).cloned().collect()
    }

    /// Whether both this dispatcher and that peer should have a copy.
    fn is_shared_with(&self, replica: &Replica, peer: &str) -> bool {
        let (taker, holders) = (&replica.copy.content.accepted_by, &replica.copy.holders);
        let has = |n: &str| taker == n || holders.iter().any(|h| h == n);
        has(peer) && has(&self.spec.name)
    }

    /// Sends the current state of an own message to all other dispatchers that hold it.
    fn replicate(&mut self, now: Ms, id: &str) {
        let Some(replica) = self.replicas.get(id) else { return };
        let others = self.other_holders(replica);
        let reached: BTreeMap<String, Ms> = others
            .iter()
            .filter(|o| self.peers.get(*o).is_some_and(|p| !p.gone))
            .map(|o| (o.clone(), now + RESEND_INTERVAL_MS))
            .collect();
        for to in reached.keys().cloned().collect::<Vec<_>>() {
            self.send_copy(now, &to, id);
        }
        if reached.is_empty() {
            self.unconfirmed.remove(id);
        } else {
            self.unconfirmed.insert(id.to_string(), reached);
        }
    }

    /// Chooses the holders of a message that this dispatcher accepted and sends them copies. Returns whether
    /// the message may be started at once.
    pub fn accept(&mut self, now: Ms, id: &str, content: MessageContent, kind: Repeatability) -> bool {
        // All messages of one ordering key get the same holders, so that one dispatcher takes all of them
        // over, in order.
        let name = content.ordering_key.map_or_else(|| xxh3_64(id.as_bytes()), |k| xxh3_64(&k.to_le_bytes()));
        let rank = |n: &String| (xxh3_64_with_seed(n.as_bytes(), name), n.clone());
        let is_reachable =
            |p: &Peer| p.answering && p.lease_start.is_some_and(|t| now < t + HOLDER_FRESHNESS_MS);
        let mut candidates: Vec<(u64, String)> =
            self.peers.iter().filter(|(_, p)| is_reachable(p)).map(|(n, _)| rank(n)).collect();
        candidates.sort();
        let holders: Vec<String> = candidates.into_iter().rev().take(self.spec.copies).map(|n| n.1).collect();
        self.counts.without_holders += u64::from(holders.is_empty());
        let arbiter_born = holders.first().and_then(|h| self.peers.get(h)).map_or(0, |p| p.incarnation);
        let content = MessageContent {
            accepted_by: self.spec.name.clone(),
            arbiter_incarnation: arbiter_born,
            ..content
        };
        let fence = Fence { epoch: 0, owner: self.spec.name.clone() };
        let copy = MessageCopy { id: id.to_string(), holders, fence, stage: Stage::Accepted, content };
        let me = self.spec.name.clone();
        self.insert(Replica::new(&me, copy, kind));
        self.replicate(now, id);
        self.request_grant(now, id)
    }

    /// Adds an own message of an earlier incarnation. It is not acted on until the peers have sent what they
    /// know of it.
    pub fn restore(&mut self, id: &str, content: MessageContent, kind: Repeatability, stage: Stage) {
        let content = MessageContent { accepted_by: self.spec.name.clone(), ..content };
        let fence = Fence { epoch: 0, owner: self.spec.name.clone() };
        let copy = MessageCopy { id: id.to_string(), holders: Vec::new(), fence, stage, content };
        let me = self.spec.name.clone();
        self.insert(Replica::new(&me, copy, kind));
        self.unsettled.insert(id.to_string());
        if self.settle_deadline.is_none() {
            // The message was left by the sibling process after this one had settled: the peers are compared
            // anew.
            self.settle_deadline = Some(0);
            self.peers
                .values_mut()
                .for_each(|p| (p.compared, p.comparison, p.comparison_due) = (false, None, 0));
        }
    }

    /// Requests a grant if the message needs one; returns whether it needs none.
    fn request_grant(&mut self, now: Ms, id: &str) -> bool {
        let Some(replica) = self.replicas.get(id) else { return true };
        match replica.next_step(true) {
            ReplicaAction::RequestGrant(arbiter) => {
                let wire = self.to_wire(now, replica);
                self.grant_requests.insert(id.to_string());
                self.send(&arbiter, Payload::RequestGrant(wire));
                false
            }
            _ => true,
        }
    }

    /// Total size in bytes of what is kept of messages.
    fn bytes(&self) -> usize {
        self.replicas.bytes() + self.query_answers.bytes()
    }

    fn insert(&mut self, replica: Replica) {
        self.query_answers.remove(&replica.copy.id);
        self.replicas.insert(replica.copy.id.clone(), replica);
    }

    fn remove(&mut self, id: &str) {
        self.replicas.remove(id);
        self.unconfirmed.remove(id);
        self.grant_requests.remove(id);
        self.unsettled.remove(id);
    }

    /// Whether a copy of this size may be added to those held here.
    fn has_room_for(&self, copy: &MessageCopy) -> bool {
        self.bytes() + copy.size() <= self.spec.max_bytes
    }

    /// Whether an attempt of this message may begin now. A message without a copy here is not restricted. See also
    /// [`Replicator::is_start_confirmed`].
    pub fn may_start_attempt(&self, now: Ms, id: &str) -> bool {
        let Some(replica) = self.replicas.get(id) else { return true };
        let majority = self.has_majority(now);
        let safe_to_act =
            |n: &String| self.peers.get(n).is_some_and(|p| p.gone && majority || p.has_lease(now));
        let lease = self.other_holders(replica).iter().all(safe_to_act);
        if self.unsettled.contains(id) || !lease || !replica.is_owner() {
            return false;
        }
        match replica.kind {
            // A started at-most-once message needs no further grant: its owner finds out the outcome.
            Repeatability::AtMostOnce if replica.copy.stage == Stage::Started => true,
            Repeatability::Deduplicated if self.awaits_former_starts(replica) => false,
            _ => replica.next_step(lease) == ReplicaAction::Start,
        }
    }

    /// Whether there are peers without a valid lease that may hold own messages back. If not, running
    /// attempts need no check.
    pub fn has_lapsed_lease(&self, now: Ms) -> bool {
        self.peers.values().any(|p| !p.gone && p.incarnation != 0 && !p.has_lease(now))
    }

    /// Records that an attempt of an own message begins.
    pub fn record_start(&mut self, now: Ms, id: &str) {
        let begins = self.replicas.update(id, |replica| {
            let begins = replica.copy.stage == Stage::Accepted;
            if begins {
                replica.mark_started();
            }
            begins
        });
        if begins == Some(true) {
            self.replicate(now, id);
        }
    }

    /// Records the final answer of an own message.
    pub fn record_end(&mut self, now: Ms, id: &str, end: CopyEnding) {
        let is_open = |r: &Replica| r.is_owner() && !r.copy.stage.is_end();
        if !self.replicas.get(id).is_some_and(is_open) {
            return;
        }
        self.replicas.update(id, |replica| {
            replica.mark_ended(end);
            replica.copy.drop_body_if_ended();
        });
        self.grant_requests.remove(id);
        self.unsettled.remove(id);
        self.replicate(now, id);
    }

    /// The stage of a message that has a copy here, or of one that ended by a peer's answer to a query.
    pub fn stage(&self, id: &str) -> Option<Stage> {
        let ended = || self.query_answers.get(id).map(|c| c.stage).filter(|s| s.is_end());
        self.replicas.get(id).map(|p| p.copy.stage).or_else(ended)
    }

    /// The stage of a message by all that is known here. A message that was open at the last query may have
    /// ended since.
    pub fn last_known_stage(&self, id: &str) -> Option<Stage> {
        let answered = || self.query_answers.get(id).map(|c| c.stage);
        self.replicas.get(id).map(|p| p.copy.stage).or_else(answered)
    }

    /// The copy of a message with its ownership state.
    pub fn replica(&self, id: &str) -> Option<&Replica> {
        self.replicas.get(id)
    }

    /// Asks the reachable peers about a message that is unknown here; false if there is none to ask.
    /// [`ReplicationEvent::QueryFinished`] reports that they have answered.
    pub fn query_peers(&mut self, now: Ms, id: &str) -> bool {
        let asked: BTreeSet<String> =
            self.peers.iter().filter(|(_, p)| p.answering && p.has_lease(now)).map(|p| p.0.clone()).collect();
        if asked.is_empty() {
            return false;
        }
        self.counts.queries += 1;
        asked.iter().for_each(|to| self.send(to, Payload::Query(id.to_string())));
        self.queries.insert(id.to_string(), (asked, now + QUERY_TIMEOUT_MS));
        true
    }

    fn finish_query(&mut self, id: String) {
        if self.queries.remove(&id).is_some() {
            self.events.push(ReplicationEvent::QueryFinished(id));
        }
    }

    /// Records health data of a destination that was observed here. Peers get it when the availability
    /// changes, and a peer that starts gets all of it.
    pub fn update_health(&mut self, member: &str, learnt: DestinationHealth) {
        let old = self.health.insert(member.to_string(), learnt);
        if old.map(|o| o.unavailable_since.is_some()).unwrap_or(false) != learnt.unavailable_since.is_some() {
            let to: Vec<String> = self.peers.keys().cloned().collect();
            to.iter().for_each(|p| self.send_health(learnt.observed_at, p, member));
        }
    }

    fn send_health(&mut self, now: Ms, to: &str, member: &str) {
        let Some(l) = self.health.get(member) else { return };
        let age = now.saturating_sub(l.observed_at);
        let away = l.unavailable_since.map(|a| now.saturating_sub(a));
        let health = wire::Health { destination: member.to_string(), rate: l.rate, away, age };
        self.send(to, Payload::Health(health));
    }

    /// Sets (`down`) or lifts an operator block of an endpoint, as ordered at this dispatcher.
    pub fn set_operator_block(&mut self, now: Ms, endpoint: &str, down: bool) {
        let stamp = self.clock.tick(now);
        self.operator_blocks.insert(endpoint.to_string(), (stamp, down));
        // A block received earlier and not yet taken by the dispatcher would be carried out after this one,
        // though it is older.
        self.events.retain(|n| !matches!(n, ReplicationEvent::OperatorBlock(id, _) if id == endpoint));
        let to: Vec<String> = self.peers.keys().cloned().collect();
        to.iter().for_each(|p| self.send_operator_block(p, endpoint));
    }

    fn send_operator_block(&mut self, to: &str, endpoint: &str) {
        let Some((stamp, down)) = self.operator_blocks.get(endpoint) else { return };
        let block = wire::OperatorBlock {
            id: endpoint.to_string(),
            down: *down,
            wall: stamp.wall,
            count: stamp.count,
            writer: stamp.writer.clone(),
        };
        self.send(to, Payload::OperatorBlock(block));
    }

    /// Leaves the installation; the peers learn of it at once.
    pub fn leave(&mut self, now: Ms) {
        let output = self.membership.leave(now);
        self.apply(output);
    }

    fn apply(&mut self, output: Output) {
        for (to, packet) in output.sends {
            if let Some(p) = self.peers.get_mut(&to.name) {
                // A configured address takes precedence over a received one.
                p.address.get_or_insert_with(|| to.address.clone());
            } else if to.name != self.spec.name {
                let peer = Peer { address: Some(to.address.clone()), ..Peer::default() };
                self.peers.insert(to.name.clone(), peer);
            }
            self.send(&to.name, Payload::Swim(packet));
        }
        for change in output.changes {
            self.events.push(ReplicationEvent::MembershipChanged(format!("{change:?}")));
        }
    }

    /// When [`Replicator::tick`] has work to do.
    pub fn next_due(&self) -> Ms {
        let heartbeats =
            self.peers.values().map(|p| p.heartbeat_due).chain(self.queries.values().map(|l| l.1));
        let own = [self.membership.next_due(), self.scan_due, self.expiry_due];
        heartbeats.chain(own).min().unwrap_or(self.scan_due)
    }

    /// Does all work that is due.
    pub fn tick(&mut self, now: Ms) {
        if self.membership.next_due() <= now {
            let output = self.membership.tick(now);
            self.apply(output);
        }
        let late: Vec<String> = self.queries.iter().filter(|l| l.1 .1 <= now).map(|l| l.0.clone()).collect();
        late.into_iter().for_each(|id| self.finish_query(id));
        let heartbeat_is_due = self.peers.values().any(|p| p.heartbeat_due <= now);
        let is_open = |p: &&Replica| p.is_owner() && !p.copy.stage.is_end();
        let open = if heartbeat_is_due { self.replicas.values().filter(is_open).count() as u64 } else { 0 };
        for name in self.peers.keys().cloned().collect::<Vec<_>>() {
            if self.peers[&name].heartbeat_due <= now {
                self.peers.entry(name.clone()).and_modify(|p| p.heartbeat_due = now + HEARTBEAT_INTERVAL_MS);
                self.send(&name, Payload::Heartbeat(Heartbeat { at: now, open }));
                self.compare_if_due(now, &name);
            }
        }
        if self.scan_due <= now {
            self.scan_due = now + SCAN_INTERVAL_MS;
            self.update_gone(now);
            self.take_over_from_gone_owners(now);
            self.settle_restored(now);
        }
        if self.resend_due <= now {
            self.resend_due = now + SCAN_INTERVAL_MS;
            self.resend_unconfirmed(now);
        }
        if self.expiry_due <= now {
            self.expiry_due = now + EXPIRY_INTERVAL_MS;
            self.remove_expired(now);
        }
    }

    fn remove_expired(&mut self, now: Ms) {
        let is_over = |copy: &MessageCopy| match copy.stage {
            Stage::Ended(_) => copy.content.valid_until < now,
            _ => copy.content.valid_until + EXPIRED_RETENTION_MS < now,
        };
        let copies = self.replicas.iter().filter(|(_, r)| is_over(&r.copy));
        let due: Vec<String> = copies.map(|(id, _)| id.clone()).collect();
        due.iter().for_each(|id| self.remove(id));
        let answers = self.query_answers.iter().filter(|(_, answer)| is_over(answer));
        let due: Vec<String> = answers.map(|(id, _)| id.clone()).collect();
        due.iter().for_each(|id| drop(self.query_answers.remove(id)));
    }

    /// Sends states again that peers have not acknowledged, and repeats unanswered grant requests.
    fn resend_unconfirmed(&mut self, now: Ms) {
        let mut due = Vec::new();
        for (id, peers) in &mut self.unconfirmed {
            if due.len() >= MAX_MESSAGES_PER_SCAN {
                break;
            }
            for (to, at) in peers.iter_mut().filter(|w| *w.1 <= now) {
                *at = now + RESEND_INTERVAL_MS;
                due.push((id.clone(), to.clone()));
            }
        }
        for (id, to) in due {
            if self.is_gone(&to) {
                self.confirm(&id, &to);
                continue;
            }
            self.send_copy(now, &to, &id);
            let arbiter =
                self.replicas.get(&id).and_then(|p| p.copy.holders.first()).is_some_and(|a| *a == to);
            if arbiter && self.grant_requests.contains(&id) {
                self.request_grant(now, &id);
            }
        }
        // Requests for which the grant may have been lost on its way.
        let due: Vec<String> =
            self.grant_requests.iter().filter(|id| !self.unconfirmed.contains_key(*id)).cloned().collect();
        for id in due {
            self.request_grant(now, &id);
        }
    }

    fn confirm(&mut self, id: &str, by: &str) {
        if let Some(peers) = self.unconfirmed.get_mut(id) {
            peers.remove(by);
            if peers.is_empty() {
                self.unconfirmed.remove(id);
            }
        }
    }

    /// Processes a peer message.
    pub fn receive(&mut self, now: Ms, e: Envelope) {
        if e.from == self.spec.name || e.from.is_empty() || e.incarnation == 0 {
            self.counts.invalid_messages += 1;
            return;
        }
        let from = e.from;
        let peer = self.peers.entry(from.clone()).or_default();
        if peer.past_incarnations.contains(&e.incarnation) {
            self.counts.stale_messages += 1;
            return;
        }
        peer.last_received = Some(now);
        if peer.incarnation != e.incarnation {
            // A new incarnation: all that was known of the peer is discarded until it is received anew.
            let again = peer.incarnation != 0;
            let mut past = std::mem::take(&mut peer.past_incarnations);
            past.extend(again.then_some(peer.incarnation));
            past.drain(..past.len().saturating_sub(MAX_PAST_INCARNATIONS));
            *peer = Peer {
                address: peer.address.take(),
                incarnation: e.incarnation,
                last_received: Some(now),
                heartbeat_due: now,
                ..Peer::default()
            };
            (peer.needs_fences, peer.past_incarnations) = (true, past);
            if again {
                self.events.push(ReplicationEvent::MembershipChanged(format!(
                    "{from} was restarted and has begun a new life"
                )));
            }
            self.operator_blocks
                .keys()
                .cloned()
                .collect::<Vec<_>>()
                .iter()
                .for_each(|b| self.send_operator_block(&from, b));
            let members: Vec<String> = self.health.keys().cloned().collect();
            members.iter().for_each(|m| self.send_health(now, &from, m));
        }
        match e.payload {
            Some(Payload::Swim(packet)) => {
                let output = self.membership.receive(now, &packet);
                self.apply(output);
            }
            Some(Payload::Heartbeat(b)) => {
                self.peers.entry(from.clone()).and_modify(|p| p.open_messages = b.open);
                if self.has_newest_fences(now, &from) {
                    self.send(&from, Payload::HeartbeatAck(b.at));
                }
            }
            Some(Payload::Query(id)) => {
                let known =
                    self.replicas.get(&id).map(|p| WireCopy { body: Vec::new(), ..self.to_wire(now, p) });
                self.send(
                    &from,
                    Payload::QueryAnswer(known.unwrap_or(WireCopy { id, ..WireCopy::default() })),
                );
            }
            Some(Payload::QueryAnswer(wire)) => self.on_query_answer(now, &from, wire),
            Some(Payload::Health(h)) => {
                let at = now.saturating_sub(h.age);
                let fresher = self.health.get(&h.destination).is_none_or(|l| l.observed_at < at);
                if h.destination.is_empty() || !h.rate.is_finite() || h.rate < 0.0 {
                    self.counts.invalid_messages += 1;
                } else if fresher {
                    let away = h.away.map(|a| now.saturating_sub(a));
                    let learnt = DestinationHealth { rate: h.rate, unavailable_since: away, observed_at: at };
                    self.health.insert(h.destination.clone(), learnt);
                    self.events.push(ReplicationEvent::HealthUpdate(h.destination, learnt));
                }
            }
            Some(Payload::HeartbeatAck(at)) if at <= now => {
                self.peers.entry(from).and_modify(|p| {
                    p.lease_start = p.lease_start.max(Some(at));
                    p.answering = true;
                });
            }
            Some(Payload::Store(wire)) => self.on_copy(now, &from, wire),
            Some(Payload::Stored(h)) => {
                let same = |p: &Replica| {
                    p.copy.fence.epoch == h.epoch && wire::stage_number(p.copy.stage).0 == h.stage
                };
                let is_newest = |p: &Replica| p.copy.fence.epoch <= h.epoch;
                if self.replicas.get(&h.id).is_none_or(is_newest) {
                    self.confirm_fence(&from, &h.id);
                }
                if self.replicas.get(&h.id).is_some_and(same) {
                    self.confirm(&h.id, &from);
                    self.report_confirmed_start(&h.id);
                }
                if self.replicas.get(&h.id).is_some_and(Replica::is_owner) {
                    self.events.push(ReplicationEvent::CopyAcknowledged(h.id));
                }
            }
            Some(Payload::NotStored(id)) => {
                self.confirm_fence(&from, &id);
                self.on_start_not_stored(&from, &id);
            }
            Some(Payload::RequestGrant(wire)) => self.on_grant_request(now, &from, wire),
            Some(Payload::Grant(wire)) => {
                let fence = Fence { epoch: wire.epoch, owner: wire.owner };
                let granted = self.replicas.update(&wire.id, |replica| {
                    replica.on_grant(&fence);
                    replica.has_grant
                });
                if granted == Some(true) && self.grant_requests.remove(&wire.id) {
                    self.events.push(ReplicationEvent::Start(wire.id));
                }
            }
            Some(Payload::DenyGrant(wire)) => {
                let fence = Fence { epoch: wire.epoch, owner: wire.owner };
                let owned = self.replicas.get(&wire.id).is_some_and(Replica::is_owner);
                if !owned || !self.grant_requests.remove(&wire.id) {
                    return;
                }
                match self.replicas.update(&wire.id, |replica| replica.on_grant_denied(&fence)) {
                    Some(ReplicaAction::GiveUp) => self.events.push(ReplicationEvent::GiveUp(wire.id)),
                    _ => self.release_own(&wire.id),
                }
            }
            Some(Payload::Hashes(h)) => {
                let level = h.level.min(DEPTH);
                let differ = self
                    .digest(now, &from)
                    .map_or_else(Vec::new, |t| t.tree.differing_children(level, h.at as usize, &h.hashes));
                let children = differ.into_iter().map(|c| c as u32).collect();
                self.send(&from, Payload::DifferingChildren(DifferingChildren { level, children }));
            }
            Some(Payload::DifferingChildren(d)) => self.on_differing_children(now, &from, d),
            Some(Payload::RequestBuckets(b)) => {
                let mut have: BTreeSet<u64> = b.have.into_iter().take(MAX_HASHES_PER_REQUEST).collect();
                let here = self.entries(now, &from, &b.at);
                here.into_iter()
                    .filter(|(_, h)| !have.remove(h))
                    .for_each(|(id, _)| self.send_missing(now, &from, &id));
                let count = b.at.len() as u32;
                self.send(
                    &from,
                    Payload::BucketsSent(BucketsSent { count, lacks: have.into_iter().collect() }),
                );
            }
            Some(Payload::BucketsSent(d)) => {
                let comparison = self.peers.get_mut(&from).and_then(|p| p.comparison.as_mut());
                let asked = comparison.map(|r| std::mem::take(&mut r.requested)).unwrap_or_default();
                let lacks: BTreeSet<u64> = d.lacks.into_iter().take(MAX_HASHES_PER_REQUEST).collect();
                if !lacks.is_empty() {
                    let here = self.entries(now, &from, &asked);
                    here.into_iter()
                        .filter(|e| lacks.contains(&e.1))
                        .for_each(|e| self.send_missing(now, &from, &e.0));
                }
                self.request_next_buckets(now, &from);
            }
            Some(Payload::OperatorBlock(b)) => {
                let stamp = crate::clock::Timestamp { wall: b.wall, count: b.count, writer: b.writer };
                if b.id.is_empty() || !self.clock.observe(now, &stamp) {
                    self.counts.invalid_messages += 1;
                } else if self.operator_blocks.get(&b.id).is_none_or(|(s, _)| *s < stamp) {
                    self.operator_blocks.insert(b.id.clone(), (stamp, b.down));
                    self.events.push(ReplicationEvent::OperatorBlock(b.id, b.down));
                }
            }
            Some(Payload::HeartbeatAck(_)) | None => self.counts.invalid_messages += 1,
        }
    }

    /// The connection to a peer is lost, and peer messages may be lost with it: fences that replaced its own
    /// are sent anew.
    pub fn connection_lost(&mut self, name: &str) {
        self.peers.entry(name.to_string()).and_modify(|p| (p.needs_fences, p.answering) = (true, false));
    }

    /// Drops an own message that another dispatcher owns now.
    fn release_own(&mut self, id: &str) {
        self.counts.ownership_lost += 1;
        self.unconfirmed.remove(id);
        self.grant_requests.remove(id);
        self.unsettled.remove(id);
        self.events.push(ReplicationEvent::OwnershipLost(id.to_string()));
    }
}

impl Peer {
    fn has_lease(&self, now: Ms) -> bool {
        self.lease_start.is_some_and(|t| now < t + LEASE_MS)
    }
}
