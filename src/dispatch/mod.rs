//! The core of the dispatcher. It knows calls, delegations and workers, and no wire.
//!
//! A call passes a chain of stages, one unit each: [`take_in`] checks what a front handed over, [`admit`] writes it
//! down and numbers it, [`route`] lets the decision module choose, [`pace`] keeps what was promised, [`send`] starts a delegation, [`relay`] takes its
//! outcome back and [`book`] ends the call. Fronts and worker connections put events in by methods and carry out the
//! [`Order`]s that come back from [`Core::turn`].

mod admit;
mod backlog;
pub mod beside;
mod book;
mod cells;
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
mod take_in;
mod unconfirmed;
mod waits;

use crate::api::*;
use crate::config::{Names, Worker};
use crate::guard;
use crate::journal::{CallNo, Ending, FileMark, Identity, Journal, Sent};
use crate::logging::Complaint;
use lilacbank_cells::wire::Envelope;
use lilacbank_limits::{Ceilings, Promise};
use lilacbank_replica::wire::Envelope as MateEnvelope;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use admit::NO_ROOM_ADVICE;
pub use cells::CellSpec;
use cells::Cells;
pub use counters::Counters;
pub use handover::Left;
use hints::Hints;
pub use hints::Past;
use once::Once;
use seats::Seats;
pub use seats::{MeshSpec, PeerSpec};
pub use take_in::Submission;

/// How long after its time is up a session's client may still come for a final answer.
const ANSWER_KEPT: Ms = 60_000.0;

/// By which a front finds again who asked.
pub type Ticket = u64;

/// What a front tells a client at once.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Taken on: its end is owed.
    Taken,
    /// Not taken; the client may come again after so many milliseconds (0 tells nothing).
    Busy(Ms),
    /// Not taken and not wanted again.
    Failed(String),
    /// Not taken: the tenant is served by another dispatcher.
    Elsewhere {
        /// After so many milliseconds it is worth asking there.
        wait: Ms,
        /// Its name.
        name: String,
        /// Where its RESP2 clients connect.
        resp: Option<SocketAddr>,
        /// Where its MQTT clients connect.
        mqtt: Option<SocketAddr>,
    },
}

/// A delegation to carry out: one attempt to hand a call to a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Delegation {
    /// The call.
    pub no: CallNo,
    /// Which of its delegations, from 0.
    pub attempt: u32,
    /// The worker.
    pub route: RouteId,
    /// Where the worker is reached.
    pub address: String,
    /// What shares waits with this worker.
    pub dest: DestId,
    /// The id that the client gave.
    pub id: String,
    /// Its idempotency key; may be empty.
    pub idempotency: String,
    /// The body.
    pub body: Vec<u8>,
    /// How long the dispatcher waits for the answer.
    pub patience: Ms,
    /// Later than this no byte of it may be written, however late its connection comes up: nobody drops a repeat any more.
    pub write_by: Ms,
}

/// How a delegation or a probe ended.
#[derive(Debug, Clone, PartialEq)]
pub struct End {
    /// How.
    pub outcome: Outcome,
    /// The wait that was told; 0 if none.
    pub wait: Ms,
    /// What was told of the limit.
    pub report: Report,
    /// The call is over, as the platform says.
    pub over: bool,
    /// Some of an answer had come.
    pub heard: bool,
    /// The rule by which the wire did not write it.
    pub refused: Option<guard::Reason>,
    /// How it is known that its endpoint counts it as over.
    pub confirmed: Option<guard::Confirmation>,
    /// That is not known yet: a second end of the same delegation tells of it within this time.
    pub pending: Option<Ms>,
    /// When it ended here, where it was then waited for its endpoint to know.
    pub at: Option<Ms>,
}

impl End {
    /// An end of which nothing more is known.
    pub fn of(outcome: Outcome) -> End {
        let (wait, report, refused) = (0.0, Report::default(), None);
        let (over, heard, confirmed, pending, at) = (false, false, None, None, None);
        End { outcome, wait, report, over, heard, refused, confirmed, pending, at }
    }
}

/// The final answer of a call that was taken on, to be told until it is confirmed.
#[derive(Debug, Clone, PartialEq)]
pub struct Told {
    /// The call; confirm with this number.
    pub no: CallNo,
    /// Who handed it in, and under which id.
    pub identity: Identity,
    /// How it ended.
    pub ending: Ending,
    /// What its front had left with it.
    pub reply: Vec<u8>,
    /// From then on nobody waits for it any more.
    pub until: Ms,
}

/// Something that the core wants done on a wire.
#[derive(Debug, Clone, PartialEq)]
pub enum Order {
    /// Tell a client that waits.
    Answer {
        /// Who.
        ticket: Ticket,
        /// What.
        verdict: Verdict,
    },
    /// Start a delegation; its end is told by [`Core::outcome`].
    Delegate(Delegation),
    /// Break a delegation off. Its end is told by [`Core::outcome`], once its endpoint knows of it.
    Abandon {
        /// The call.
        no: CallNo,
        /// Which delegation.
        attempt: u32,
        /// How it ends if it was written and no answer comes after all.
        outcome: Outcome,
    },
    /// What shares this wait is told to wait: delegations that were not written yet must not go out.
    Hold {
        /// The destination.
        dest: DestId,
        /// The worker, where its waits are its own.
        route: Option<RouteId>,
    },
    /// Check a worker; its end is told by [`Core::probed`].
    Probe {
        /// The worker.
        route: RouteId,
        /// Its destination.
        dest: DestId,
        /// Where it is reached.
        address: String,
    },
    /// Close idle connections to a worker.
    CloseIdle {
        /// The worker.
        route: RouteId,
        /// Where it is reached.
        address: String,
    },
    /// Tell the final answer, until [`Core::confirmed`].
    Tell(Told),
    /// Ask the registry anew.
    Watch,
    /// Tell another dispatcher; it may be lost.
    Say {
        /// Which.
        to: String,
        /// What.
        envelope: Box<Envelope>,
    },
    /// Tell another dispatcher of the copies; it may be lost.
    Mate {
        /// Which.
        to: String,
        /// What.
        envelope: Box<MateEnvelope>,
    },
    /// The endpoints out by hand have changed: they are to be kept for the next process.
    KeepBans,
    /// Answer a tool on its own connection.
    Reply {
        /// Which.
        conn: usize,
        /// What.
        envelope: Box<Envelope>,
    },
}

/// A delegation that is out.
#[derive(Debug, Clone)]
struct Out {
    attempt: u32,
    route: RouteId,
    sent: Ms,
    until: Ms,
    /// Its mark is in the journal.
    marked: bool,
    /// Its last byte has been written: from then on it may run.
    written: bool,
    /// It was broken off then, and its wire is to tell how it ended.
    broken_off: Option<(Ms, Outcome)>,
    /// Where it is counted.
    charge: Option<pace::Charge>,
}

impl Out {
    /// When it ends by itself, of a call that may be delivered until `valid_until`.
    fn due(&self, valid_until: Ms) -> Ms {
        self.broken_off.map_or(self.until, |_| valid_until)
    }
}

/// Why the module does not have a call that has not ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Frozen {
    /// Its tenant is on its way to another dispatcher.
    Moving,
    /// Its tenant has gone, and it ends here: what is out comes back, and nothing more is tried.
    Behind,
    /// One of its key may run still where its tenant comes from.
    Parked,
    /// One of its key may be held by another process that serves on the folder, during an upgrade.
    Beside,
    /// No endpoint of its destination is confirmed since the start.
    Unconfirmed,
    /// The module holds as many as it may already.
    Queued,
    /// Another dispatcher may act on it, or one of its key waits for that.
    Still,
}

/// A call that was taken on.
#[derive(Debug, Clone)]
struct Call {
    taken: crate::journal::Taken,
    attempts: u32,
    /// How the last attempt of this process ended, for the log of the next.
    last: Option<Outcome>,
    ran: Option<Sent>,
    out: Option<Out>,
    ending: Option<Ending>,
    /// The cell that it belongs to.
    cell: usize,
    /// Bytes that it needs in a compacted journal.
    size: u64,
    frozen: Option<Frozen>,
    /// It was delivered as its time was up, and the platform may not have taken it for delivered: the module hears of it,
    /// and its key and slot come free, once the platform has confirmed the end.
    unheard: Option<Ended>,
}

/// What is remembered of an identity: the call that it named, or how that call ended.
#[derive(Debug, Clone)]
struct Known {
    no: CallNo,
    verdict: Verdict,
    ending: Option<Ending>,
    until: Ms,
    /// Its tenant, where tenants may move.
    tenant: String,
}

/// A worker of the list, and since when it is gone from it.
#[derive(Debug, Clone)]
struct Listed {
    worker: Worker,
    gone: Option<Ms>,
}

/// What the core is built from.
pub struct Parts {
    /// The decision module's settings.
    pub settings: Settings,
    /// Their names.
    pub names: Names,
    /// The journal.
    pub journal: Journal,
    /// What was promised of the members' limits.
    pub promises: Vec<Promise>,
    /// Classes that are never repeated, each with the span for which a message is remembered after its end.
    pub once: Vec<(String, Ms)>,
    /// The cells that it serves; none: one, undivided.
    pub cells: Vec<CellSpec>,
    /// The map that it shares with other dispatchers, if there are any.
    pub mesh: Option<MeshSpec>,
}

/// What a reload takes over.
pub struct Reloaded {
    /// The settings, under the names below.
    pub settings: Settings,
    /// The names: those that were there keep their numbers.
    pub names: Names,
    /// Names that are only kept for what is held.
    pub retired: Names,
    /// See [`Parts::promises`].
    pub promises: Vec<Promise>,
    /// See [`Parts::once`].
    pub once: Vec<(String, Ms)>,
    /// See [`Parts::mesh`].
    pub mesh: Option<MeshSpec>,
}

/// The dispatcher without its wires.
pub struct Core {
    cells: Cells,
    seats: Seats,
    settings: Settings,
    names: Names,
    journal: Journal,
    workers: BTreeMap<RouteId, Listed>,
    worker_of: HashMap<String, RouteId>,
    next_route: RouteId,
    calls: BTreeMap<CallNo, Call>,
    known: HashMap<Identity, Known>,
    /// Identities by when they may be forgotten.
    fading: BTreeSet<(u64, Identity)>,
    next_no: CallNo,
    /// The first number of this process's own calls.
    first_no: CallNo,
    /// What outlived the last process.
    hints: Hints,
    /// Copies of messages at other dispatchers, where the operators want them.
    copying: Option<Box<copying::Copying>>,
    /// Calls of an earlier process that the module does not hold yet.
    backlog: backlog::Backlog,
    /// Another process on the folder, during an upgrade.
    beside: beside::Beside,
    /// Waits that endpoints told this dispatcher.
    waits: waits::Waits,
    /// Calls of ordered keys that are not over.
    order: order::KeyOrder,
    /// Attempts that have ended here while their endpoints may not know yet.
    unconfirmed: unconfirmed::Attempts,
    /// What the rules on sending and closing did not allow.
    pub guard: guard::Counts,
    /// The last file that was taken over: it may still be there.
    adopted: Option<FileMark>,
    /// The journal's file still holds what a later process has taken over and gone on with.
    outdated: bool,
    /// Attempts that could not be written down, and compactions.
    unwritten: Complaint,
    uncompacted: Complaint,
    /// When the deferred records of the journal are next tried.
    flush_at: Ms,
    /// When a compaction may be tried again.
    compact_at: Ms,
    live_bytes: u64,
    known_bytes: u64,
    /// How calls ended whose clients wait for the verdict of this turn.
    answers: HashMap<CallNo, Verdict>,
    /// Clients that wait for the verdict of this turn.
    asking: Vec<(CallNo, Ticket)>,
    orders: Vec<Order>,
    ceilings: Ceilings,
    once: Once,
    /// Routes by destination.
    routes_of: BTreeMap<DestId, Vec<RouteId>>,
    /// Room as the module knows it.
    room_told: HashMap<(RouteId, usize), (u32, Ms, u32)>,
    /// Probes that are counted.
    probes: HashMap<RouteId, Option<pace::Charge>>,
    /// Names that the settings have no more, while calls that bear them are held.
    retired: Names,
    /// The last moment that it was told.
    now: Ms,
    /// When the module of a cell wants to be woken.
    alarms: Vec<(Ms, usize, u64)>,
    closing: Option<Ms>,
    /// What was done so far.
    pub counters: Counters,
    /// The figures of the operators' door.
    pub figures: figures::Figures,
    /// Endpoints out by hand, by id.
    down: BTreeSet<String>,
    /// Routes that the module probes and has not sent to since: it avoids them.
    avoided: BTreeSet<RouteId>,
}

impl Core {
    /// A core that holds nothing yet.
    pub fn new(parts: Parts) -> Core {
        Core {
            backlog: backlog::Backlog::default(),
            copying: None,
            hints: Hints::new(0.0, Past::default(), &parts.settings),
            cells: Cells::new(&parts.settings, &parts.cells, &parts.promises, parts.journal.room()),
            seats: Seats::new(parts.mesh),
            settings: parts.settings,
            names: parts.names,
            journal: parts.journal,
            workers: BTreeMap::new(),
            worker_of: HashMap::new(),
            next_route: 0,
            calls: BTreeMap::new(),
            known: HashMap::new(),
            fading: BTreeSet::new(),
            next_no: 1,
            first_no: 1,
            beside: beside::Beside::default(),
            waits: waits::Waits::default(),
            order: order::KeyOrder::default(),
            unconfirmed: unconfirmed::Attempts::default(),
            guard: guard::Counts::default(),
            adopted: None,
            outdated: false,
            unwritten: Complaint::default(),
            uncompacted: Complaint::default(),
            flush_at: 0.0,
            compact_at: 0.0,
            live_bytes: 0,
            known_bytes: 0,
            answers: HashMap::new(),
            asking: Vec::new(),
            orders: Vec::new(),
            ceilings: Ceilings::new(parts.promises),
            once: Once::new(parts.once),
            routes_of: BTreeMap::new(),
            room_told: HashMap::new(),
            probes: HashMap::new(),
            retired: Names::default(),
            now: 0.0,
            alarms: Vec::new(),
            closing: None,
            counters: Counters::default(),
            figures: figures::Figures::default(),
            down: BTreeSet::new(),
            avoided: BTreeSet::new(),
        }
    }

    /// The settings that it runs under.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Their names.
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// Calls whose end is still open or not yet confirmed.
    pub fn holds(&self) -> usize {
        self.calls.len()
    }

    /// The other journal of this folder: of a process that lives beside this one, or of one that has ended and left
    /// calls, for [`Core::take_over`].
    ///
    /// # Errors
    ///
    /// Its lock or its file cannot be read.
    pub fn other(&self) -> std::io::Result<crate::journal::Other> {
        self.journal.other()
    }

    /// What a look at the folder found: does another process serve on it? Once it has ended, what was held back for it goes
    /// to the module, after what was taken over from it.
    pub fn beside(&mut self, now: Ms, lives: bool) {
        self.journal.share(lives);
        if !self.beside.seen(now, lives) {
            return;
        }
        let held: Vec<CallNo> =
            self.calls.iter().filter(|(_, c)| c.frozen == Some(Frozen::Beside)).map(|(no, _)| *no).collect();
        held.into_iter().for_each(|no| self.resume(no));
    }

    /// Does another process serve on the folder, during an upgrade?
    pub fn has_company(&self) -> bool {
        self.beside.lives()
    }

    /// Delegations that are out.
    pub fn out(&self) -> usize {
        self.calls.values().filter(|c| c.out.is_some()).count()
    }

    /// Has anything come in since the last [`Core::turn`], or is anybody owed a verdict?
    pub fn is_due(&self) -> bool {
        self.cells.any_events() || !self.orders.is_empty() || !self.asking.is_empty()
    }

    /// When [`Core::turn`] has something to do of itself.
    pub fn next_due(&self) -> Option<Ms> {
        if self.is_due() {
            return Some(0.0);
        }
        let room = self.ceilings.next_due().filter(|_| !self.ceilings.is_empty() || self.hints.climbs());
        let due = |c: &Call| Some(c.out.as_ref()?.due(c.taken.valid_until));
        let outs = self.calls.values().filter_map(due);
        let own =
            room.into_iter().chain(self.hints_due()).chain(self.backlog.next_due()).chain(self.copying_due());
        outs.chain(self.alarms.iter().map(|a| a.0))
            .chain(own)
            .chain(self.seats_due())
            .chain(self.journal_due())
            .chain(self.unconfirmed.next_due())
            .min_by(f64::total_cmp)
    }

    /// Takes changed settings over, under names that [`crate::config::Names::carry`] has made to fit. What is held, what has
    /// gone out, waits and drains stay.
    pub fn reload(&mut self, now: Ms, parts: Reloaded) {
        self.cells.all.iter_mut().for_each(|c| c.brain.adopt(parts.settings.clone()));
        (self.settings, self.names, self.retired) = (parts.settings, parts.names, parts.retired);
        self.cells.change(now, &self.settings, &parts.promises);
        self.ceilings.change(now, parts.promises);
        self.once.change(parts.once);
        self.change_map(now, parts.mesh);
    }

    /// This process ends at that time: what cannot finish until then is left to the next one.
    pub fn close(&mut self, at: Ms) {
        self.closing = Some(at);
        self.cells.post_all(&Event::Closing(at));
    }
}
