//! The interface of the decision module: settings, events and actions, in the words of the field.
//!
//! All times are milliseconds; a clock value may start anywhere and only grows. Nothing here decides anything.

/// A time of the clock, or a span, in milliseconds.
pub type Ms = f64;
/// Number of a message; never used again once the message is over.
pub type MsgId = u64;
/// Number of a route (one address of a destination), as the host chose it.
pub type RouteId = u32;
/// Number of a destination.
pub type DestId = u64;

/// A route that is gone from the list is forgotten after this span: what was told of it, waits too, holds for its id
/// if it comes back, and ids that never come back must not pile up.
pub const GONE_KEPT: Ms = 30_000.0;

/// What repeating a message of a class would do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// May be repeated without harm.
    Safe,
    /// Repeats are dropped for `window`, by every route of the destination or by those of one zone.
    Keyed {
        /// Only routes in the zone of the first one drop the repeat.
        by_zone: bool,
    },
    /// Must not take effect twice, and nobody drops a repeat.
    Unsafe,
}

/// A class of messages.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Delivered within this span of its arrival, a message earns all of its worth.
    pub promise: Ms,
    /// Span after which it is worth nothing.
    pub deadline: Ms,
    /// What a repeat does.
    pub effect: Effect,
    /// For [`Effect::Keyed`]: how long repeats are dropped.
    pub window: Ms,
    /// Messages with one key go one at a time, in order.
    pub in_order: bool,
    /// Share of the worth that is left at the deadline.
    pub late_worth: f64,
    /// Worth of a message.
    pub worth: f64,
    /// The promise grows by this multiple of the message's own work, up to the deadline.
    pub aim_stretch: f64,
}

/// How worth falls between promise and deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Decay {
    /// Evenly, down to the late worth.
    #[default]
    Line,
    /// By half with each further promise, not under the late worth.
    Halves,
}

/// What a kind of destination is like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Kind {
    /// Its routes have limits, paces and outages of their own.
    pub apart: bool,
    /// Messages that one call carries at most.
    pub batch: usize,
}

/// What the list of routes says in its weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Weights {
    /// Nothing.
    #[default]
    None,
    /// Calls a second that the destination, or the route apart, takes from all senders together.
    Rate,
    /// The same, but up to half too high or too low.
    RoughRate,
}

/// What a sender is told when it starts.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Settings {
    /// Seed of all randomness.
    pub seed: u64,
    /// How many senders share the work.
    pub senders: usize,
    /// Least span between two batches of events.
    pub round: Ms,
    /// The classes; messages name them by index.
    pub classes: Vec<Class>,
    /// How worth falls.
    pub decay: Decay,
    /// The kinds of destination; routes name them by index.
    pub kinds: Vec<Kind>,
    /// Fee for each message that a route apart takes on, by zone, in shares of a mean message.
    pub zone_fees: Vec<f64>,
    /// The sender's own zone.
    pub zone: usize,
    /// Price of a call across zones, in shares of a mean message.
    pub cross_zone: f64,
    /// Price of a call that is turned away, in shares of a mean message.
    pub refused_price: f64,
    /// Price of a new connection, in shares of a mean message.
    pub handshake_price: f64,
    /// An idle connection is closed after this span by this side; 0: never.
    pub keep_idle: Ms,
    /// Allowed messages a second for each tenant, over all senders.
    pub tenant_quota: Vec<f64>,
    /// Share of its worth that a message beyond the quota keeps.
    pub over_share_worth: f64,
    /// Messages that were handed in before are marked.
    pub marks_again: bool,
    /// Answers tell of the limit ([`Report`]), where there is one.
    pub reports: bool,
    /// Calls out at once.
    pub slots: usize,
    /// Messages held at once.
    pub max_held: usize,
    /// Attempts for one message.
    pub most_attempts: u32,
    /// Attempts can be called off.
    pub can_cancel: bool,
    /// Routes can be probed.
    pub can_probe: bool,
    /// The longest advice on when to come again that clients follow; 0 if none is passed on.
    pub max_advice: Ms,
    /// A connection not made within this span is given up.
    pub connect_timeout: Ms,
    /// The list of routes comes only when asked for.
    pub list_on_request: bool,
    /// Without a subscription, the list counts as known after this span.
    pub ask_within: Ms,
    /// What the weights of the list mean.
    pub weights: Weights,
    /// A final answer may be this late.
    pub answer_slack: Ms,
    /// Sends to a draining route must have ended after this span.
    pub drain_grace: Ms,
    /// A cold route falls over above this multiple of what it can take,
    pub overload_factor: f64,
    /// held for this span.
    pub overload_for: Ms,
    /// Least share of its capacity that a route has after an outage.
    pub cold_from: f64,
    /// Span after which it has all of it.
    pub cold: Ms,
    /// Rest of a key after an attempt that may still run.
    pub key_quiet: Ms,
    /// A message that the module ends is over only once its client has heard: [`Event::Heard`].
    pub ends_confirmed: bool,
}

impl Settings {
    /// Span within which a message earns all of its worth, if its own work is guessed to take so long.
    pub fn promise(&self, class: usize, work: Ms) -> Ms {
        let c = &self.classes[class];
        (c.promise + c.aim_stretch * work).min(c.deadline.max(c.promise))
    }

    /// What a delivery earns at an age; nothing after the deadline.
    pub fn worth(&self, class: usize, work: Ms, age: Ms) -> f64 {
        let c = &self.classes[class];
        let promise = self.promise(class, work);
        let late = age - promise;
        if age > c.deadline {
            0.0
        } else if late <= 0.0 {
            c.worth
        } else if self.decay == Decay::Halves {
            c.worth * (0.5f64).powf(late / promise.max(1.0)).max(c.late_worth)
        } else {
            c.worth * (1.0 - (1.0 - c.late_worth) * late / (c.deadline - promise).max(1.0))
        }
    }

    /// The kind of that index; the last one serves for the rest.
    pub fn kind(&self, index: usize) -> Kind {
        let shared = Kind { apart: false, batch: 1 };
        self.kinds.get(index).or(self.kinds.last()).copied().unwrap_or(shared)
    }
}

/// State of a listed route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Listing {
    /// May be sent to.
    #[default]
    Ready,
    /// Nothing new may be sent.
    Draining,
    /// Not there any more.
    Gone,
}

/// One row of the list of routes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Row {
    /// The route.
    pub route: RouteId,
    /// Its zone.
    pub zone: usize,
    /// Its destination's kind.
    pub kind: usize,
    /// Its destination.
    pub dest: DestId,
    /// Its state.
    pub listing: Listing,
    /// See [`Weights`].
    pub weight: f64,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Delivered.
    Delivered,
    /// Answered with an error; may have run.
    Error,
    /// Turned away unseen; never ran.
    Refused,
    /// No answer in time; may have run or run still.
    Late,
    /// No connection; never ran.
    NoConnection,
    /// The connection broke; may have run.
    Reset,
    /// Called off; may have run.
    Cancelled,
    /// Not sent; never ran.
    NotSent,
}

impl Outcome {
    /// The outcome proves that the message never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Refused | Outcome::NoConnection | Outcome::NotSent)
    }
}

/// A message to deliver.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Message {
    /// Its number.
    pub id: MsgId,
    /// Its class.
    pub class: usize,
    /// Its tenant, where there are any.
    pub tenant: Option<usize>,
    /// What it is about, for classes in order.
    pub key: Option<u64>,
    /// It may be delivered until then.
    pub valid_until: Ms,
    /// Its destination.
    pub dest: DestId,
    /// It was handed in before.
    pub again: bool,
    /// A guess of its own work, where the host gives one; else 0.
    pub work: Ms,
}

/// What a destination told of its limit with an answer; late and noisy. Each value may be absent.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Report {
    /// Share of the allowance that is left.
    pub left: Option<f64>,
    /// Limit in calls a second, from all senders together; 0: no limit but the capacity.
    pub limit: Option<f64>,
}

/// How one attempt of a message ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ended {
    /// The message.
    pub id: MsgId,
    /// Which attempt, from 0.
    pub attempt: u32,
    /// The route.
    pub route: RouteId,
    /// How.
    pub outcome: Outcome,
    /// Time since the send.
    pub took: Ms,
    /// The message is over.
    pub over: bool,
    /// The wait that was told; 0 if none.
    pub wait: Ms,
    /// What came with it of the limit.
    pub report: Report,
    /// Some of an answer had come: the connection was alive, whatever became of it.
    pub heard: bool,
    /// Nothing of it went out, for a reason on this side: it does not count among the message's attempts.
    pub unspent: bool,
    /// For so long the message goes nowhere else: the endpoint may not count the attempt as over yet.
    pub rest: Ms,
}

impl Ended {
    /// An end of which nothing more is known: at once, no wait, no report, nothing of an answer.
    pub fn of(id: MsgId, attempt: u32, route: RouteId, outcome: Outcome) -> Ended {
        let (took, over, wait, heard, unspent, rest) = (0.0, false, 0.0, false, false, 0.0);
        Ended {
            id,
            attempt,
            route,
            outcome,
            took,
            over,
            wait,
            report: Report::default(),
            heard,
            unspent,
            rest,
        }
    }
}

/// A message that an earlier process of this sender had taken on. Given in the order of taking.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Resumed {
    /// The message.
    pub message: Message,
    /// Attempts made so far.
    pub attempts: u32,
    /// Send time and zone of the first attempt that may have run.
    pub ran: Option<(Ms, usize)>,
    /// Its end was decided, and its client has not heard yet.
    pub ended: bool,
}

/// Something the sender is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// News of the list: rows, and whether they replace the list held.
    List {
        /// The rows.
        rows: Vec<Row>,
        /// They are the whole list.
        whole: bool,
        /// The list came from memory and may be stale.
        cached: bool,
    },
    /// Asking for the list failed, or the subscription broke.
    ListFailed,
    /// A message came in.
    Arrived(Message),
    /// A message of an earlier process is held again.
    Resumed(Resumed),
    /// An earlier process of this sender has ended: what it called may run still, so every key rests first.
    Restarted,
    /// The client of a message that the module ended has heard of it, where ends are confirmed.
    Heard(MsgId),
    /// This process ends at that time and leaves what it holds to the next one.
    Closing(Ms),
    /// An attempt ended.
    Ended(Ended),
    /// How much the ceilings of this sender let go to a route; nothing is said of a route without any.
    Room {
        /// The route.
        route: RouteId,
        /// Calls that may start to it, or to all that share its limit, from now on.
        calls: u32,
        /// With none: when there may be room again.
        again: Ms,
        /// Connections that it may have.
        links: u32,
    },
    /// A probe ended.
    Probed {
        /// The route.
        route: RouteId,
        /// How.
        outcome: Outcome,
        /// Time since it was sent.
        took: Ms,
        /// What came with it of the limit.
        report: Report,
    },
    /// The client went away, or the final answer is overdue.
    ClientGone(MsgId),
    /// A timer that was asked for is due.
    Timer(u64),
}

/// Something the sender wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Call a route with a message; without a cap, until its time is up.
    Send {
        /// The message.
        id: MsgId,
        /// The route.
        route: RouteId,
        /// Attempt time-out.
        cap: Option<Ms>,
    },
    /// Call an attempt off.
    Cancel {
        /// The message.
        id: MsgId,
        /// Which attempt, from 0.
        attempt: u32,
    },
    /// Final answer: handed back, may be handed in again.
    Deny {
        /// The message.
        id: MsgId,
        /// Span that the client should stay away; 0: no advice.
        retry_in: Ms,
    },
    /// Final answer: given up, no promise about its effect.
    Fail(MsgId),
    /// Check a route.
    Probe(RouteId),
    /// Close this sender's idle connections to a route.
    CloseIdle(RouteId),
    /// Subscribe to changes of the list.
    Watch,
    /// Ask for a timer.
    Timer {
        /// When.
        at: Ms,
        /// Given back when due.
        token: u64,
    },
}
