//! The interface of the decision module: settings, events and actions.
//!
//! All times are in milliseconds, on a clock that may start anywhere and never goes back. Nothing is decided
//! here.

/// A time on that clock, or a span, in milliseconds.
pub type Ms = f64;
/// Number of a message; not used again after the message has ended.
pub type MessageId = u64;
/// Number of an endpoint, chosen by the host.
pub type EndpointId = u32;
/// Number of a destination.
pub type DestId = u64;

/// An endpoint that left the endpoint list is remembered for this span, so that what is known of it, waits
/// included, still holds if its id returns. It is not remembered for longer, because ids that never return
/// must not accumulate.
pub const DELISTED_ENDPOINT_TTL: Ms = 30_000.0;

/// What repeating a message of a class does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent: may be repeated.
    Idempotent,
    /// Deduplicated: repeats are dropped for `dedup_window`, by every endpoint of the destination or by those of
    /// one zone.
    Deduplicated {
        /// Only endpoints in the zone of the first one drop the repeat.
        same_zone_only: bool,
    },
    /// At-most-once: must not take effect twice, and no endpoint drops a repeat.
    AtMostOnce,
}

/// A class of messages.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Span after the arrival within which a delivery earns the whole worth.
    pub target_time: Ms,
    /// Span after the arrival from which a delivery earns nothing.
    pub deadline: Ms,
    /// What a repeat does.
    pub effect: Effect,
    /// For [`Effect::Deduplicated`]: span in which repeats are dropped.
    pub dedup_window: Ms,
    /// Messages with the same ordering key are sent one at a time, in order.
    pub in_order: bool,
    /// Share of the worth that is left at the deadline.
    pub late_worth: f64,
    /// Worth of a message.
    pub worth: f64,
    /// Multiple of the message's own processing time by which the promise is extended, up to the deadline.
    pub target_stretch: f64,
}

/// How the worth falls between promise and deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum WorthDecay {
    /// Linearly, down to the late worth.
    #[default]
    Linear,
    /// By half with each further span of the promise, but not below the late worth.
    HalfLife,
}

/// Properties of a kind of destination.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DestinationKind {
    /// Each endpoint has a limit, a pace and outages of its own.
    pub per_endpoint_limit: bool,
    /// Largest number of messages in one call.
    pub max_batch: usize,
}

/// Meaning of the weights in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum WeightMeaning {
    /// They have no meaning.
    #[default]
    None,
    /// Calls a second that the destination, or an endpoint with a limit of its own, accepts from all
    /// dispatchers together.
    Rate,
    /// The same, but up to 50 % too high or too low.
    ApproximateRate,
}

/// The settings of a dispatcher.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Settings {
    /// Seed of all randomness.
    pub seed: u64,
    /// Number of dispatchers that share the work.
    pub dispatchers: usize,
    /// Shortest span between two batches of events.
    pub min_step_interval: Ms,
    /// The classes; messages name them by index.
    pub classes: Vec<Class>,
    /// How the worth falls.
    pub decay: WorthDecay,
    /// The kinds of destination; endpoints name them by index.
    pub kinds: Vec<DestinationKind>,
    /// Fee for each message that an endpoint with a limit of its own accepts, by zone, in shares of a mean
    /// message.
    pub zone_fees: Vec<f64>,
    /// The dispatcher's own zone.
    pub zone: usize,
    /// Price of a call across zones, in shares of a mean message.
    pub cross_zone_price: f64,
    /// Price of a refused call, in shares of a mean message.
    pub refused_price: f64,
    /// Price of a new connection, in shares of a mean message.
    pub handshake_price: f64,
    /// Span after which this side closes an idle connection; 0: never.
    pub idle_timeout: Ms,
    /// Messages a second allowed to each tenant, over all dispatchers.
    pub tenant_quota: Vec<f64>,
    /// Share of its worth that a message beyond the quota keeps.
    pub over_quota_worth: f64,
    /// Messages that were submitted before are marked.
    pub marks_resubmissions: bool,
    /// Answers report the limit ([`LimitReport`]), where there is one.
    pub reports_limits: bool,
    /// Calls that may be outstanding at once.
    pub slots: usize,
    /// Messages that may be held at once.
    pub max_held: usize,
    /// Largest number of attempts for one message.
    pub max_attempts: u32,
    /// Attempts can be cancelled.
    pub can_cancel: bool,
    /// Endpoints can be probed.
    pub can_probe: bool,
    /// Longest retry-after that clients follow; 0 if none is passed on.
    pub max_retry_after: Ms,
    /// Span after which an attempt to connect is abandoned.
    pub connect_timeout: Ms,
    /// The endpoint list is sent only on request.
    pub list_on_request: bool,
    /// Without a subscription, a change of the endpoint list counts as known after this span.
    pub list_request_within: Ms,
    /// Meaning of the weights.
    pub weights: WeightMeaning,
    /// Longest delay allowed to a final answer.
    pub answer_slack: Ms,
    /// Span after which no more attempts may be sent to a draining endpoint.
    pub drain_grace: Ms,
    /// A cold endpoint is overloaded by more than this multiple of what it can process.
    pub overload_factor: f64,
    /// Span for which an endpoint stands such an overload.
    pub overload_span: Ms,
    /// Share of its capacity that an endpoint has at least after an outage.
    pub cold_capacity_share: f64,
    /// Span after which an endpoint has its whole capacity again.
    pub warm_up: Ms,
    /// Quiet period of a key after an attempt that may still run.
    pub key_quiet_period: Ms,
    /// A message that the module ends is over only after its client confirmed the answer: [`Event::AnswerConfirmed`].
    pub answers_confirmed: bool,
}

impl Settings {
    /// Span within which a message earns its whole worth, if `work` is the estimate of its own processing
    /// time.
    pub fn target_time(&self, class: usize, work: Ms) -> Ms {
        let c = &self.classes[class];
        (c.target_time + c.target_stretch * work).min(c.deadline.max(c.target_time))
    }

    /// Worth of a delivery at the age `age`; 0 after the deadline.
    pub fn worth(&self, class: usize, work: Ms, age: Ms) -> f64 {
        let c = &self.classes[class];
        let promise = self.target_time(class, work);
        let late = age - promise;
        if age > c.deadline {
            0.0
        } else if late <= 0.0 {
            c.worth
        } else if self.decay == WorthDecay::HalfLife {
            c.worth * (0.5f64).powf(late / promise.max(1.0)).max(c.late_worth)
        } else {
            c.worth * (1.0 - (1.0 - c.late_worth) * late / (c.deadline - promise).max(1.0))
        }
    }

    /// The kind with that index; the last kind for indices beyond the list.
    pub fn kind(&self, index: usize) -> DestinationKind {
        let shared = DestinationKind { per_endpoint_limit: false, max_batch: 1 };
        self.kinds.get(index).or(self.kinds.last()).copied().unwrap_or(shared)
    }
}

/// State of an endpoint in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ServiceState {
    /// In service.
    #[default]
    InService,
    /// Gets no new attempts.
    Draining,
    /// Not in the list any more.
    Removed,
}

/// One row of the endpoint list.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its zone.
    pub zone: usize,
    /// Its destination's kind.
    pub kind: usize,
    /// Its destination.
    pub dest: DestId,
    /// Its state.
    pub state: ServiceState,
    /// See [`WeightMeaning`].
    pub weight: f64,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Delivered.
    Delivered,
    /// Answered with an error; the message may have run.
    Error,
    /// Refused; the message never ran.
    Refused,
    /// No answer in time; the message may have run or still run.
    Late,
    /// No connection; the message never ran.
    NoConnection,
    /// The connection broke; the message may have run.
    Reset,
    /// Cancelled; the message may have run.
    Cancelled,
    /// Not sent; the message never ran.
    NotSent,
}

impl Outcome {
    /// Whether the outcome proves that the message never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Refused | Outcome::NoConnection | Outcome::NotSent)
    }
}

/// A message to deliver.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Message {
    /// Its number.
    pub id: MessageId,
    /// Its class.
    pub class: usize,
    /// Its tenant, where there are any.
    pub tenant: Option<usize>,
    /// Its ordering key, for classes in order.
    pub key: Option<u64>,
    /// End of its validity.
    pub valid_until: Ms,
    /// Its destination.
    pub dest: DestId,
    /// It was submitted before.
    pub resubmitted: bool,
    /// Estimate of its own processing time, where the host has one; else 0.
    pub estimated_work: Ms,
}

/// A destination's report of its limit in an answer. It may be out of date and inexact, and each value may be
/// absent.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LimitReport {
    /// Share of the limit that is left.
    pub remaining_share: Option<f64>,
    /// Limit in calls a second, for all dispatchers together; 0: no limit but the capacity.
    pub limit: Option<f64>,
}

/// How an attempt of a message ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptEnd {
    /// The message.
    pub id: MessageId,
    /// Which attempt, from 0.
    pub attempt: u32,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// How.
    pub outcome: Outcome,
    /// Time since the attempt was sent.
    pub took: Ms,
    /// The message is over and gets no further attempt.
    pub message_ended: bool,
    /// The retry-after of the answer; 0 if none.
    pub retry_after: Ms,
    /// The report of the limit that came with it.
    pub report: LimitReport,
    /// A part of an answer had arrived, so the connection was alive, whatever the outcome.
    pub answer_begun: bool,
    /// Nothing of it was sent, for a reason on this side: it does not count among the message's attempts.
    pub not_counted: bool,
    /// Quiet period of the message, in which it is sent to no endpoint: this one may not count the attempt as
    /// over yet.
    pub quiet_period: Ms,
}

impl AttemptEnd {
    /// An end with no further details: took no time, no retry-after, no report, no part of an answer.
    pub fn new(id: MessageId, attempt: u32, route: EndpointId, outcome: Outcome) -> AttemptEnd {
        let (took, over, wait, heard, unspent, rest) = (0.0, false, 0.0, false, false, 0.0);
        AttemptEnd {
            id,
            attempt,
            endpoint: route,
            outcome,
            took,
            message_ended: over,
            retry_after: wait,
            report: LimitReport::default(),
            answer_begun: heard,
            not_counted: unspent,
            quiet_period: rest,
        }
    }
}

/// A message that an earlier process of this dispatcher accepted. Such messages are passed in the order of
/// acceptance.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResumedMessage {
    /// The message.
    pub message: Message,
    /// Attempts made so far.
    pub attempts: u32,
    /// Send time and zone of the first attempt that may have run.
    pub first_possible_run: Option<(Ms, usize)>,
    /// Its end is decided, and its client has not confirmed the answer.
    pub ended: bool,
}

/// An input of the decision module.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Rows of the endpoint list, which update the known list or replace it.
    EndpointList {
        /// The rows.
        rows: Vec<EndpointEntry>,
        /// They are the whole list and replace the known one.
        complete: bool,
        /// They come from the cached endpoint list and may be stale.
        cached: bool,
    },
    /// A request for the endpoint list failed, or the subscription broke.
    EndpointListFailed,
    /// A message arrived.
    MessageArrived(Message),
    /// A message of an earlier process is taken over.
    MessageResumed(ResumedMessage),
    /// An earlier process of this dispatcher ended. Its calls may still run, so every key starts with a quiet
    /// period.
    ProcessRestarted,
    /// The client confirmed the answer to a message that the module ended; only where `answers_confirmed` is set.
    AnswerConfirmed(MessageId),
    /// This process ends at that time and leaves what it holds to the next one.
    ProcessEndsAt(Ms),
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// What the dispatcher's own quota allows to an endpoint. No such event comes for an endpoint without a
    /// quota.
    QuotaLeft {
        /// The endpoint.
        endpoint: EndpointId,
        /// Calls that may start from now on, to the endpoint or to all that share its limit.
        calls: u32,
        /// If `calls` is 0: when more calls may start.
        more_at: Ms,
        /// Upper bound of connections to the endpoint.
        max_connections: u32,
    },
    /// A probe ended.
    ProbeEnded {
        /// The endpoint.
        endpoint: EndpointId,
        /// How.
        outcome: Outcome,
        /// Time since it was sent.
        took: Ms,
        /// The report of the limit that came with it.
        report: LimitReport,
    },
    /// The client left, or its final answer is overdue.
    ClientLeft(MessageId),
    /// A requested timer is due.
    Timer(u64),
}

/// An output of the decision module, which the host carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message to an endpoint; without `timeout`, until the end of its validity.
    Send {
        /// The message.
        id: MessageId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Timeout of the attempt.
        timeout: Option<Ms>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The message.
        id: MessageId,
        /// Which attempt, from 0.
        attempt: u32,
    },
    /// Final answer: the message is returned, and the client may submit it again.
    Return {
        /// The message.
        id: MessageId,
        /// Retry-after for the client; 0: none.
        retry_after: Ms,
    },
    /// Final answer: the message is given up, with no statement about its effect.
    GiveUp(MessageId),
    /// Probe an endpoint.
    Probe(EndpointId),
    /// Close this dispatcher's idle connections to an endpoint.
    CloseIdleConnections(EndpointId),
    /// Subscribe to changes of the endpoint list.
    WatchEndpointList,
    /// Request a timer.
    Timer {
        /// When it is due.
        at: Ms,
        /// Passed back when it is due.
        token: u64,
    },
}
