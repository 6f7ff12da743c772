//! The core of the dispatcher. It knows messages, attempts and endpoints, and does no network I/O.
//!
//! A message passes a chain of stages, one module each: [`take_in`] checks what a front end submits,
//! [`admit`] numbers it and writes it to the journal, [`route`] runs the decision module, [`pace`] keeps the
//! promised limits, [`send`] starts an attempt, [`relay`] takes its outcome back and [`book`] ends the
//! message. Front ends and endpoint connections report events by calling methods of [`Core`] and carry out
//! the [`Order`]s that [`Core::turn`] returns.

mod admit;
mod backlog;
pub mod beside;
mod book;
mod cells;
mod confirmed_starts;
pub mod control;
mod copying;
mod counters;
pub mod door;
pub mod figures;
mod handover;
mod hints;
mod once;
mod order;
mod pace;
mod relay;
mod route;
mod seats;
mod seats_read;
mod send;
mod sibling_messages;
mod space;
mod take_in;
mod unconfirmed;
mod waits;

use crate::api::*;
use crate::config::{Names, RegistryEndpoint};
use crate::guard;
use crate::journal::{AttemptSent, Ending, FileFingerprint, Identity, Journal, MessageNo};
use crate::logging::LogThrottle;
use lilacbank_cells::wire::Envelope;
use lilacbank_limits::{DestinationLimit, RateLimiter};
use lilacbank_replica::wire::Envelope as MateEnvelope;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use admit::NO_ROOM_RETRY_AFTER;
pub use cells::CellSpec;
use cells::Cells;
pub use counters::Counters;
pub use handover::EndedJournal;
use hints::RecoveryState;
pub use hints::StartupHistory;
use once::AtMostOnce;
use seats::Ownership;
pub use seats::{CellMapView, PeerAddresses};
pub use take_in::{Submission, MAX_NAME_BYTES};

/// How long after a message's deadline its session may still fetch the final answer.
const ANSWER_KEPT: Ms = 60_000.0;

/// Identifies the waiting client to its front end.
pub type ClientTicket = u64;

/// What a front end answers a client at once.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Accepted: the client is owed a final answer.
    Accepted,
    /// Rejected; the client may submit it again after this many milliseconds (0: no advice).
    Busy(Ms),
    /// Rejected for good: the client must not submit it again.
    Failed(String),
    /// Rejected: another dispatcher serves the tenant.
    ServedElsewhere {
        /// How many milliseconds the client waits before it asks the other dispatcher.
        retry_after: Ms,
        /// The other dispatcher's name.
        name: String,
        /// Where its RESP2 clients connect.
        resp: Option<SocketAddr>,
        /// Where its MQTT clients connect.
        mqtt: Option<SocketAddr>,
    },
}

/// One attempt to deliver a message to an endpoint, to be carried out by a connection.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt {
    /// The message.
    pub message_no: MessageNo,
    /// The number of the attempt within the message, from 0.
    pub attempt: u32,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The endpoint's address.
    pub address: String,
    /// The destination; its endpoints share limits and waits.
    pub dest: DestId,
    /// The message id that the client chose.
    pub id: String,
    /// The idempotency key; may be empty.
    pub idempotency_key: String,
    /// The message body.
    pub body: Vec<u8>,
    /// How long the dispatcher waits for the answer.
    pub timeout: Ms,
    /// No byte may be written after this time, however late the connection comes up: from then on the
    /// endpoint no longer drops repeats.
    pub latest_write: Ms,
    /// The most connections that this dispatcher may have to the endpoint, idle ones included, if a number is
    /// promised.
    pub max_connections: Option<u32>,
}

/// How an attempt or a probe ended.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptResult {
    /// The outcome.
    pub outcome: Outcome,
    /// The retry-after that the endpoint asked for; 0 if none.
    pub retry_after: Ms,
    /// What the endpoint reported of its limit.
    pub report: LimitReport,
    /// The platform has ended the message.
    pub message_over: bool,
    /// A part of an answer was received.
    pub answer_begun: bool,
    /// The rule that kept the connection from writing the attempt.
    pub blocked_by_rule: Option<guard::Reason>,
    /// How it is known that the endpoint counts the attempt as over.
    pub confirmed: Option<guard::Confirmation>,
    /// The endpoint may not count the attempt as over yet: a second end of the same attempt reports that it
    /// does, within this time.
    pub confirmed_within: Option<Ms>,
    /// When the attempt ended here, if the report then waited until the endpoint knew.
    pub ended_at: Option<Ms>,
}

impl AttemptResult {
    /// An end with nothing but its outcome.
    pub fn new(outcome: Outcome) -> AttemptResult {
        let (wait, report, refused) = (0.0, LimitReport::default(), None);
        let (over, heard, confirmed, pending, at) = (false, false, None, None, None);
        AttemptResult {
            outcome,
            retry_after: wait,
            report,
            message_over: over,
            answer_begun: heard,
            blocked_by_rule: refused,
            confirmed,
            confirmed_within: pending,
            ended_at: at,
        }
    }
}

/// The final answer of an accepted message, to be sent until the client confirms it.
#[derive(Debug, Clone, PartialEq)]
pub struct FinalAnswer {
    /// The message's number, by which the answer is confirmed.
    pub message_no: MessageNo,
    /// The client, and the id that it gave the message.
    pub identity: Identity,
    /// How the message ended.
    pub ending: Ending,
    /// The front end's reply address, stored with the message.
    pub reply_to: Vec<u8>,
    /// After this time no client waits for the answer.
    pub expires_at: Ms,
}

/// An action that the core wants the network side to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Order {
    /// Answer a waiting client.
    AnswerClient {
        /// The client.
        ticket: ClientTicket,
        /// The answer.
        verdict: Verdict,
    },
    /// Start an attempt; its end is reported to [`Core::attempt_ended`].
    StartAttempt(Attempt),
    /// Cancel an attempt. Its end is reported to [`Core::attempt_ended`] once the endpoint knows of it.
    CancelAttempt {
        /// The message.
        no: MessageNo,
        /// The number of the attempt.
        attempt: u32,
        /// The outcome if the attempt was written and no answer comes after all.
        outcome: Outcome,
    },
    /// Attempts that have not been written yet must not go out: whatever shares this wait was asked to wait,
    /// or the endpoint takes nothing new.
    WithholdUnwritten {
        /// The destination.
        dest: DestId,
        /// The endpoint, where its waits are its own.
        route: Option<EndpointId>,
    },
    /// Probe an endpoint; the result is reported to [`Core::probe_ended`].
    Probe {
        /// The endpoint.
        route: EndpointId,
        /// Its destination.
        dest: DestId,
        /// Its address.
        address: String,
    },
    /// Close idle connections to an endpoint.
    CloseIdleConnections {
        /// The endpoint.
        route: EndpointId,
        /// Its address.
        address: String,
    },
    /// Send a final answer until [`Core::final_answer_confirmed`] is called for it.
    SendFinalAnswer(FinalAnswer),
    /// Query the registry again.
    WatchRegistry,
    /// Send a peer message about tenant ownership; it may be lost.
    SendOwnershipMessage {
        /// The receiving dispatcher.
        to: String,
        /// The peer message.
        envelope: Box<Envelope>,
    },
    /// Send a peer message about replication; it may be lost.
    SendReplicationMessage {
        /// The receiving dispatcher.
        to: String,
        /// The peer message.
        envelope: Box<MateEnvelope>,
    },
    /// The set of blocked endpoints has changed and has to be stored for the next process.
    StoreOperatorBlocks,
    /// Answer an operator's tool on its own connection.
    AnswerTool {
        /// The connection.
        conn: usize,
        /// The answer.
        envelope: Box<Envelope>,
    },
}

/// An attempt that has started and not ended.
#[derive(Debug, Clone)]
struct OutstandingAttempt {
    attempt: u32,
    route: EndpointId,
    sent_at: Ms,
    timeout_at: Ms,
    /// The attempt's record is in the journal.
    recorded: bool,
    /// The last byte has been written: from then on the attempt may run.
    written: bool,
    /// When cancellation was requested, and the outcome then; the connection still has to report the end.
    cancel_requested: Option<(Ms, Outcome)>,
    /// What it counts against promised limits.
    charge: Option<pace::Charge>,
}

impl OutstandingAttempt {
    /// When the attempt ends by itself: at its timeout, or at the message's deadline `valid_until` once
    /// cancellation was requested.
    fn ends_at(&self, valid_until: Ms) -> Ms {
        self.cancel_requested.map_or(self.timeout_at, |_| valid_until)
    }
}

/// Why the decision module does not hold a message that has not ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Withheld {
    /// Its tenant is being moved to another dispatcher.
    TenantMoving,
    /// Its tenant has moved away and the message ends here: an outstanding attempt may still end, no
    /// other is started.
    LeftBehind,
    /// A message of the same key may still run at the dispatcher that the tenant came from.
    KeyParked,
    /// A message of the same key may be held by the sibling process, during an upgrade.
    SiblingProcess,
    /// No endpoint of its destination has been confirmed since the start.
    EndpointUnconfirmed,
    /// The decision module already holds as many restored messages as it may.
    Backlogged,
    /// Another dispatcher may act on it, or an earlier message of its key is suspended for that reason.
    Suspended,
}

/// An accepted message.
#[derive(Debug, Clone)]
struct HeldMessage {
    taken: crate::journal::AcceptedMessage,
    attempts: u32,
    /// The outcome of the last attempt by this process; logged when the next one starts.
    last_outcome: Option<Outcome>,
    /// When and in which zone the first attempt was sent that may have run.
    ran: Option<AttemptSent>,
    out: Option<OutstandingAttempt>,
    ending: Option<Ending>,
    /// The cell that it belongs to.
    cell: usize,
    /// Bytes that it takes in a compacted journal.
    size: u64,
    withheld: Option<Withheld>,
    /// The end of an attempt that delivered the message close to its deadline, so that the platform may not
    /// have counted it as delivered. The decision module learns of it, and frees the key and the slot, once
    /// the platform has confirmed the final answer.
    unreported_end: Option<AttemptEnd>,
}

/// What is remembered of an identity: the message that it names, or how that message ended.
#[derive(Debug, Clone)]
struct KnownIdentity {
    no: MessageNo,
    verdict: Verdict,
    ending: Option<Ending>,
    until: Ms,
    /// The tenant, where tenants may move; else empty.
    tenant: String,
}

/// An endpoint of the list, and since when it is gone from the list.
#[derive(Debug, Clone)]
struct ListedEndpoint {
    endpoint: RegistryEndpoint,
    gone_since: Option<Ms>,
}

/// What a [`Core`] is built from.
pub struct CoreParts {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of the classes, tenants, zones and kinds in the settings.
    pub names: Names,
    /// The journal.
    pub journal: Journal,
    /// The limits promised to the members.
    pub limits: Vec<DestinationLimit>,
    /// At-most-once classes, each with the span for which a message is remembered after its end.
    pub at_most_once_classes: Vec<(String, Ms)>,
    /// The cells that this dispatcher serves; if empty, it has a single cell.
    pub cells: Vec<CellSpec>,
    /// The cell map that it shares with other dispatchers, if there are any.
    pub cell_map: Option<CellMapView>,
}

/// What a configuration reload replaces.
pub struct ReloadParts {
    /// The settings, under the names below.
    pub settings: Settings,
    /// The names: those that existed before keep their numbers.
    pub names: Names,
    /// Names that are no longer configured and are kept only for messages that are still held.
    pub retired: Names,
    /// See [`CoreParts::limits`].
    pub promises: Vec<DestinationLimit>,
    /// See [`CoreParts::at_most_once_classes`].
    pub once: Vec<(String, Ms)>,
    /// See [`CoreParts::cell_map`].
    pub mesh: Option<CellMapView>,
}

/// The dispatcher without its network I/O.
pub struct Core {
    cells: Cells,
    ownership: Ownership,
    settings: Settings,
    names: Names,
    journal: Journal,
    endpoints: BTreeMap<EndpointId, ListedEndpoint>,
    endpoint_by_id: HashMap<String, EndpointId>,
    next_route: EndpointId,
    messages: BTreeMap<MessageNo, HeldMessage>,
    identities: HashMap<Identity, KnownIdentity>,
    /// Identities, ordered by when they may be forgotten.
    identity_expiry: BTreeSet<(u64, Identity)>,
    next_message_no: MessageNo,
    /// The number of the first message that this process accepts itself.
    first_message_no: MessageNo,
    /// State for the start after an earlier process: endpoint confirmation, rate ramps and member health.
    recovery: RecoveryState,
    /// Replication of messages to other dispatchers, where it is enabled.
    replication: Option<Box<copying::ReplicationState>>,
    /// Restored messages that the decision module does not hold yet.
    backlog: backlog::Backlog,
    /// The sibling process on the state folder, during an upgrade.
    sibling: beside::SiblingProcess,
    /// What the sibling process has accepted.
    sibling_messages: sibling_messages::SiblingMessages,
    /// Retry-afters that endpoints asked this dispatcher for.
    waits: waits::RetryAfters,
    /// Messages of ordered keys that have not ended.
    key_order: order::KeyOrder,
    /// Attempts that have ended here while their endpoints may not know yet.
    unconfirmed: unconfirmed::UnconfirmedAttempts,
    /// Refusals and violations of the rules on sending and closing.
    pub guard: guard::Counts,
    /// The journal file that was taken over last; it may still exist.
    adopted_file: Option<FileFingerprint>,
    /// The journal file still holds records that a later process has taken over and continued.
    superseded: bool,
    /// Limits how often failed journal writes are logged.
    append_errors: LogThrottle,
    /// Limits how often failed compactions are logged.
    compaction_errors: LogThrottle,
    /// When writing the deferred journal records is next tried.
    flush_at: Ms,
    /// When a compaction may be tried again.
    compact_at: Ms,
    /// When space in the state folder may be reserved again, after it did not have it.
    reserve_at: Ms,
    compactions: space::CompactionCounts,
    live_bytes: u64,
    identity_bytes: u64,
    /// Verdicts on messages that ended while their clients still wait for the verdict of this turn.
    verdicts: HashMap<MessageNo, Verdict>,
    /// Clients that wait for the verdict of this turn.
    awaiting_verdict: Vec<(MessageNo, ClientTicket)>,
    orders: Vec<Order>,
    ceilings: RateLimiter,
    at_most_once: AtMostOnce,
    /// Endpoints by destination.
    endpoints_of: BTreeMap<DestId, Vec<EndpointId>>,
    /// The capacity last reported to the decision module, by endpoint and cell: calls, when there is more,
    /// and connections.
    reported_capacity: HashMap<(EndpointId, usize), (u32, Ms, u32)>,
    /// Outstanding probes, and what each counts against promised limits.
    probes: HashMap<EndpointId, Option<pace::Charge>>,
    /// Names that are no longer configured, while messages that use them are held.
    retired: Names,
    /// The time of the last event.
    now: Ms,
    /// Timers that the decision modules have set: time, cell and token.
    timers: Vec<(Ms, usize, u64)>,
    closing: Option<Ms>,
    /// Totals since the start.
    pub counters: Counters,
    /// Metrics of the control interface.
    pub metrics: figures::Metrics,
    /// Ids of the endpoints that operators have blocked.
    blocked_endpoints: BTreeSet<String>,
    /// Endpoints that the decision module has probed and not sent to since.
    avoided: BTreeSet<EndpointId>,
}

impl Core {
    /// A core that holds no messages.
    pub fn new(parts: CoreParts) -> Core {
        Core {
            backlog: backlog::Backlog::default(),
            replication: None,
            recovery: RecoveryState::new(0.0, StartupHistory::default(), &parts.settings),
            cells: Cells::new(
                &parts.settings,
                &parts.cells,
                &parts.limits,
                parts.journal.live_records_limit(),
            ),
            ownership: Ownership::new(parts.cell_map),
            settings: parts.settings,
            names: parts.names,
            journal: parts.journal,
            endpoints: BTreeMap::new(),
            endpoint_by_id: HashMap::new(),
            next_route: 0,
            messages: BTreeMap::new(),
            identities: HashMap::new(),
            identity_expiry: BTreeSet::new(),
            next_message_no: 1,
            first_message_no: 1,
            sibling: beside::SiblingProcess::default(),
            sibling_messages: sibling_messages::SiblingMessages::default(),
            waits: waits::RetryAfters::default(),
            key_order: order::KeyOrder::default(),
            unconfirmed: unconfirmed::UnconfirmedAttempts::default(),
            guard: guard::Counts::default(),
            adopted_file: None,
            superseded: false,
            append_errors: LogThrottle::default(),
            compaction_errors: LogThrottle::default(),
            flush_at: 0.0,
            compact_at: 0.0,
            reserve_at: 0.0,
            compactions: space::CompactionCounts::default(),
            live_bytes: 0,
            identity_bytes: 0,
            verdicts: HashMap::new(),
            awaiting_verdict: Vec::new(),
            orders: Vec::new(),
            ceilings: RateLimiter::new(parts.limits),
            at_most_once: AtMostOnce::new(parts.at_most_once_classes),
            endpoints_of: BTreeMap::new(),
            reported_capacity: HashMap::new(),
            probes: HashMap::new(),
            retired: Names::default(),
            now: 0.0,
            timers: Vec::new(),
            closing: None,
            counters: Counters::default(),
            metrics: figures::Metrics::default(),
            blocked_endpoints: BTreeSet::new(),
            avoided: BTreeSet::new(),
        }
    }

    /// The current settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The names in the current settings.
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// The number of messages that have not ended or whose final answer is not confirmed.
    pub fn held_messages(&self) -> usize {
        self.messages.len()
    }

    /// The other journal of this state folder: that of the sibling process, or of a process that has ended
    /// and left messages for [`Core::take_over`].
    ///
    /// # Errors
    ///
    /// Its lock or its file cannot be read.
    pub fn sibling_journal(&self) -> std::io::Result<crate::journal::SiblingFile> {
        self.journal.check_sibling_file()
    }

    /// Reports whether another process serves on the state folder. Once that process has ended, messages
    /// withheld because of it go to the decision module, after those taken over from it.
    pub fn observe_sibling(&mut self, now: Ms, lives: bool) {
        self.journal.set_shared(lives);
        if !self.sibling.observe_folder(now, lives) {
            return;
        }
        let held: Vec<MessageNo> = self
            .messages
            .iter()
            .filter(|(_, c)| c.withheld == Some(Withheld::SiblingProcess))
            .map(|(no, _)| *no)
            .collect();
        held.into_iter().for_each(|no| self.resume(no));
    }

    /// Whether a sibling process serves on the state folder, during an upgrade.
    pub fn has_sibling(&self) -> bool {
        self.sibling.is_present()
    }

    /// The number of outstanding attempts.
    pub fn outstanding_attempts(&self) -> usize {
        self.messages.values().filter(|c| c.out.is_some()).count()
    }

    /// Whether events have come in since the last [`Core::turn`], or clients wait for a verdict.
    pub fn is_due(&self) -> bool {
        self.cells.any_events() || !self.orders.is_empty() || !self.awaiting_verdict.is_empty()
    }

    /// When [`Core::turn`] next has something to do without a new event.
    pub fn next_due(&self) -> Option<Ms> {
        if self.is_due() {
            return Some(0.0);
        }
        let room =
            self.ceilings.next_due().filter(|_| !self.ceilings.is_empty() || self.recovery.is_ramping());
        let due = |c: &HeldMessage| Some(c.out.as_ref()?.ends_at(c.taken.valid_until));
        let outs = self.messages.values().filter_map(due);
        let own = room
            .into_iter()
            .chain(self.recovery_due())
            .chain(self.backlog.next_due())
            .chain(self.replication_due());
        outs.chain(self.timers.iter().map(|a| a.0))
            .chain(own)
            .chain(self.ownership_due())
            .chain(self.journal_due())
            .chain(self.unconfirmed.next_due())
            .min_by(f64::total_cmp)
    }

    /// Applies changed settings, under names that [`crate::config::Names::merge_reloaded`] has made compatible. Held
    /// messages, outstanding attempts, retry-afters and drains are kept.
    pub fn reload(&mut self, now: Ms, parts: ReloadParts) {
        self.cells.all.iter_mut().for_each(|c| c.brain.update_settings(parts.settings.clone()));
        (self.settings, self.names, self.retired) = (parts.settings, parts.names, parts.retired);
        self.cells.change(now, &self.settings, &parts.promises);
        self.ceilings.set_limits(now, parts.promises);
        self.at_most_once.change(parts.once);
        self.change_map(now, parts.mesh);
    }

    /// Announces that this process ends at the time `at`: what cannot finish until then is left to the next
    /// process.
    pub fn close_at(&mut self, at: Ms) {
        self.closing = Some(at);
        self.cells.post_all(&Event::ProcessEndsAt(at));
    }
}
