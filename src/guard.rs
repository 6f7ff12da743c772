//! The rules on what may be sent, repeated, closed or ended now, in one place; no I/O, no clock.
//!
//! Every path that starts an attempt or a probe, writes a request, closes a client's connection or ends the
//! process checks here first, whatever was decided before: since a decision was made, another event may have
//! overtaken it. What is not allowed is not done, and is counted by reason ([`Counts`]). What turns out to
//! have been done although it was not allowed is a violation.
//!
//! Idle connections to endpoints are closed without a check, because no answer is outstanding on them.
//! Closing one with an outstanding request abandons that request, and the next attempt waits until the
//! endpoint counts the last one as over ([`Confirmation`]). An MQTT client's connection needs no check
//! either: its session, and the answers owed to it, outlive the connection.

use crate::api::{Effect, Ms, ServiceState};
use std::collections::BTreeMap;

/// Why an action is not allowed now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The end of the message is decided.
    Ended,
    /// An attempt of the message is outstanding.
    Outstanding,
    /// An attempt of the message has ended here, but its endpoint may not know yet.
    Unconfirmed,
    /// Its validity has ended.
    Expired,
    /// It has used up its attempts.
    Exhausted,
    /// It may have run, and is at-most-once.
    MayHaveRun,
    /// It may have run, and the window in which repeats are dropped is over.
    WindowOver,
    /// It may have run at another endpoint, and this one would not drop the repeat.
    OtherDedupGroup,
    /// An earlier message of its key has not ended.
    OutOfOrder,
    /// A retry-after of the endpoint, or of one that shares its limit, has not passed.
    RetryAfter,
    /// The endpoint is draining, off the endpoint list or blocked by an operator.
    NotInService,
    /// The process is ending, or has handed over.
    Leaving,
    /// A request was read, and its answer is not written yet.
    AnswerPending,
    /// Attempts are outstanding or messages are held, and there is time to finish them.
    Unfinished,
    /// Ends of messages are not in the state folder yet, so the next process would not know of them.
    Unrecorded,
}

impl Reason {
    /// Its name in the log and in the metrics.
    pub fn name(self) -> &'static str {
        match self {
            Reason::Ended => "ended",
            Reason::Outstanding => "outstanding",
            Reason::Unconfirmed => "unconfirmed",
            Reason::Expired => "expired",
            Reason::Exhausted => "exhausted",
            Reason::MayHaveRun => "may_have_run",
            Reason::WindowOver => "window_over",
            Reason::OtherDedupGroup => "other_group",
            Reason::OutOfOrder => "out_of_turn",
            Reason::RetryAfter => "waiting",
            Reason::NotInService => "not_in_service",
            Reason::Leaving => "leaving",
            Reason::AnswerPending => "answer_owed",
            Reason::Unfinished => "unfinished",
            Reason::Unrecorded => "unrecorded",
        }
    }
}

/// A message for which an attempt is planned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptMessage<'a> {
    /// Its end is decided.
    pub ended: bool,
    /// An attempt of it is outstanding.
    pub outstanding: bool,
    /// An attempt of it has ended here, but its endpoint may not know yet.
    pub unconfirmed: bool,
    /// End of its validity.
    pub valid_until: Ms,
    /// Attempts made so far.
    pub attempts: u32,
    /// What a repeat does.
    pub effect: Effect,
    /// Span after the first attempt in which its receiver drops a repeat.
    pub dedup_window: Ms,
    /// The first attempt that may have run: its send time, and the zone of its endpoint.
    pub first_possible_run: Option<(Ms, &'a str)>,
    /// An earlier message of its key has not ended.
    pub earlier_in_key_pending: bool,
}

/// The endpoint of a planned attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptEndpoint<'a> {
    /// Its state on the endpoint list, or as set by an operator.
    pub state: ServiceState,
    /// Its zone.
    pub zone: &'a str,
    /// End of a retry-after that is in force.
    pub retry_after_until: Option<Ms>,
}

/// What applies to all messages.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Process {
    /// When it stops to start attempts.
    pub no_attempts_from: Option<Ms>,
    /// Largest number of attempts for one message.
    pub max_attempts: u32,
    /// Resolution of times, in milliseconds.
    pub time_resolution: Ms,
}

/// Whether an attempt of the message may be sent to the endpoint now.
///
/// # Errors
///
/// The first rule that forbids it.
pub fn may_send(
    now: Ms,
    message: &AttemptMessage,
    endpoint: &AttemptEndpoint,
    process: &Process,
) -> Result<(), Reason> {
    let rules = [
        (message.ended, Reason::Ended),
        (message.outstanding, Reason::Outstanding),
        (message.unconfirmed, Reason::Unconfirmed),
        (now >= message.valid_until, Reason::Expired),
        (message.attempts >= process.max_attempts, Reason::Exhausted),
        (process.no_attempts_from.is_some_and(|at| now >= at), Reason::Leaving),
        (endpoint.state != ServiceState::InService, Reason::NotInService),
        (endpoint.retry_after_until.is_some_and(|until| now < until), Reason::RetryAfter),
        (message.earlier_in_key_pending, Reason::OutOfOrder),
    ];
    match rules.iter().find(|(holds, _)| *holds) {
        Some((_, reason)) => Err(*reason),
        None => may_repeat(now, message, endpoint, process),
    }
}

/// Whether a message that may have run may be sent again, to this endpoint.
fn may_repeat(
    now: Ms,
    message: &AttemptMessage,
    endpoint: &AttemptEndpoint,
    process: &Process,
) -> Result<(), Reason> {
    let Some((_, zone)) = message.first_possible_run else { return Ok(()) };
    match message.effect {
        Effect::Idempotent => Ok(()),
        Effect::AtMostOnce => Err(Reason::MayHaveRun),
        Effect::Deduplicated { same_zone_only: true } if zone != endpoint.zone => {
            Err(Reason::OtherDedupGroup)
        }
        Effect::Deduplicated { .. } if now > latest_write(message, process) => Err(Reason::WindowOver),
        Effect::Deduplicated { .. } => Ok(()),
    }
}

/// Whether the endpoint may be probed now. A probe counts as a call.
///
/// # Errors
///
/// The rule that forbids it.
pub fn may_probe(now: Ms, endpoint: &AttemptEndpoint) -> Result<(), Reason> {
    match endpoint.retry_after_until {
        Some(until) if now < until => Err(Reason::RetryAfter),
        _ if endpoint.state == ServiceState::Removed => Err(Reason::NotInService),
        _ => Ok(()),
    }
}

/// Latest time at which a byte of an attempt may be written: its connection may be established late.
pub fn latest_write(message: &AttemptMessage, process: &Process) -> Ms {
    match (message.effect, message.first_possible_run) {
        (Effect::Deduplicated { .. }, Some((sent, _))) => {
            message.valid_until.min(sent + message.dedup_window - 2.0 * process.time_resolution)
        }
        _ => message.valid_until,
    }
}

/// Whether bytes of an attempt may be written now. Checked before each write, because its connection may be
/// established late.
///
/// # Errors
///
/// The latest time for it has passed.
pub fn may_write(now: Ms, write_by: Ms) -> Result<(), Reason> {
    if now > write_by {
        return Err(Reason::WindowOver);
    }
    Ok(())
}

/// Longest assumed delay of the process between reading its clock and writing; deadlines and windows allow
/// for it.
const MAX_PROCESS_DELAY: Ms = 150.0;
/// Calls sent within this span after a retry-after arrived were already on their way.
const RETRY_AFTER_GRACE: Ms = 100.0;

/// An attempt whose last byte was written, as it is recorded.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WrittenAttempt {
    /// Latest time for writing it: see [`latest_write`].
    pub latest_write: Ms,
    /// When the retry-after that is in force at its endpoint arrived.
    pub retry_after_received_at: Option<Ms>,
    /// An earlier message of its key has not ended.
    pub earlier_in_key_pending: bool,
    /// An earlier attempt of its message has ended here, but its endpoint may not know yet.
    pub unconfirmed: bool,
}

/// The rule that writing the attempt has broken, if any.
pub fn violated_rule(now: Ms, written: &WrittenAttempt) -> Option<Reason> {
    let broken = [
        (now > written.latest_write + MAX_PROCESS_DELAY, Reason::WindowOver),
        (
            written
                .retry_after_received_at
                .is_some_and(|arrived| now > arrived + RETRY_AFTER_GRACE + MAX_PROCESS_DELAY),
            Reason::RetryAfter,
        ),
        (written.earlier_in_key_pending, Reason::OutOfOrder),
        (written.unconfirmed, Reason::Unconfirmed),
    ];
    broken.iter().find(|(holds, _)| *holds).map(|(_, reason)| *reason)
}

/// Which side ended the connection of an attempt that was written and not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClosedFirst {
    /// This process: it has shut down its sending side, and the endpoint answers that by ending its own.
    Dispatcher,
    /// The endpoint, or a proxy on the path: no further confirmation can arrive.
    Endpoint,
}

impl ClosedFirst {
    /// Its name in the log.
    pub fn name(self) -> &'static str {
        match self {
            ClosedFirst::Dispatcher => "dispatcher",
            ClosedFirst::Endpoint => "endpoint",
        }
    }
}

/// How it is known that an endpoint counts an attempt as over. Until then the message is sent to no endpoint:
/// two connections have no order, so the end of one may be seen after the request on the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Confirmation {
    /// Its last byte was not written, so no endpoint has begun it.
    NotWritten,
    /// The endpoint answered.
    Answered,
    /// The endpoint ended the connection after this side did.
    EndedByEndpoint,
    /// No confirmation arrived or can arrive: the time in which the end reaches the endpoint has passed.
    TimedOut,
}

impl Confirmation {
    /// Its name in the log and in the metrics.
    pub fn name(self) -> &'static str {
        match self {
            Confirmation::NotWritten => "never_begun",
            Confirmation::Answered => "answered",
            Confirmation::EndedByEndpoint => "ended_by_endpoint",
            Confirmation::TimedOut => "timed_out",
        }
    }
}

/// Longest wait until an endpoint counts an attempt as over that was written and not answered. An endpoint
/// that hangs or is cut off never confirms, and after an endpoint ended the connection first no confirmation
/// can arrive. The span is longer than any path delays bytes one way, which is the way the end takes. It is
/// not derived from the last answer times, because the path may have become slow since.
pub const CONFIRM_TIMEOUT: Ms = 700.0;
/// The endpoint's own end of the connection may have crossed this side's, so it does not prove that the
/// endpoint has seen the latter. After this span the endpoint has.
pub const CROSSED_CLOSE_DELAY: Ms = 100.0;
/// The same as [`CONFIRM_TIMEOUT`] for attempts that another process left outstanding when it ended: the system
/// ends its connections at once, and the next process has taken a while to start.
const INHERITED_CONFIRM_TIMEOUT: Ms = 500.0;

/// When an attempt that ends now, written and not answered, counts as over at its endpoint at the latest.
pub fn confirmation_deadline(now: Ms) -> Ms {
    now + CONFIRM_TIMEOUT
}

/// The same once the endpoint has ended its side after this one.
pub fn deadline_after_peer_close(now: Ms, by: Ms) -> Ms {
    by.min(now + CROSSED_CLOSE_DELAY)
}

/// The same for attempts of another process that is found to have ended now.
pub fn inherited_confirmation_deadline(now: Ms) -> Ms {
    now + INHERITED_CONFIRM_TIMEOUT
}

/// How the end of such an attempt became known to its endpoint, once its wait is over.
pub fn confirmation_kind(first: ClosedFirst, endpoint_ended: bool) -> Confirmation {
    match first {
        ClosedFirst::Dispatcher if endpoint_ended => Confirmation::EndedByEndpoint,
        _ => Confirmation::TimedOut,
    }
}

/// After SIGTERM, outstanding attempts may finish for this span.
pub const SHUTDOWN_TIMEOUT: Ms = 3_300.0;
/// After SIGTERM, the process accepts clients for this span, and ends after it if it holds no message.
pub const SHUTDOWN_LINGER: Ms = 700.0;
/// After [`SHUTDOWN_TIMEOUT`], requests that were read wait for peers for this span; no further ones are accepted.
pub const PEER_ANSWER_TIMEOUT: Ms = 200.0;

/// A process that was told to end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shutdown {
    /// Time since it was told.
    pub since: Ms,
    /// Messages that it holds.
    pub held: usize,
    /// Messages of `held` with an outstanding attempt.
    pub outstanding: usize,
    /// A sibling process serves on the state folder and takes over what this one holds.
    pub has_sibling: bool,
    /// A request was read that is not decided on or answered.
    pub requests_pending: bool,
    /// A request was read whose answer depends on peers: on a copy of its message, or on what they know of it.
    pub peers_pending: bool,
    /// Records of the ends of messages are not all in the state folder.
    pub records_pending: bool,
}

/// Whether the process may end now. At [`SHUTDOWN_TIMEOUT`] it may unless requests wait for peers, which they do for
/// [`PEER_ANSWER_TIMEOUT`] at most: all requests that were read get an answer then, and the next process takes over
/// the rest.
///
/// # Errors
///
/// What it still has to do.
pub fn may_end(leaving: &Shutdown) -> Result<(), Reason> {
    if leaving.since >= SHUTDOWN_TIMEOUT {
        let waits = leaving.peers_pending && leaving.since < SHUTDOWN_TIMEOUT + PEER_ANSWER_TIMEOUT;
        return if waits { Err(Reason::AnswerPending) } else { Ok(()) };
    }
    let done = leaving.held == 0 || (leaving.has_sibling && leaving.outstanding == 0);
    if leaving.since < SHUTDOWN_LINGER || !done {
        return Err(Reason::Unfinished);
    }
    if leaving.requests_pending || leaving.peers_pending {
        return Err(Reason::AnswerPending);
    }
    if leaving.records_pending {
        return Err(Reason::Unrecorded);
    }
    Ok(())
}

/// Why a client's connection is to be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// The client ended or broke it.
    ByClient,
    /// All its requests are answered, and the client or this process ends the connection.
    Answered,
    /// It was idle, silent or in the middle of a request for too long.
    TimedOut,
    /// Its file descriptor is needed for another connection.
    DescriptorNeeded,
    /// The process drains.
    Draining,
}

impl CloseReason {
    /// Its name in the log and in the metrics.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::ByClient => "by_client",
            CloseReason::Answered => "answered",
            CloseReason::TimedOut => "timed_out",
            CloseReason::DescriptorNeeded => "no_room",
            CloseReason::Draining => "draining",
        }
    }
}

/// A client's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientConnection {
    /// A whole request was read, and its answer is not decided yet.
    pub awaits_answer: bool,
    /// Bytes of answers that are not written yet.
    pub unwritten: usize,
    /// The client does not read what is written.
    pub client_not_reading: bool,
}

/// Whether a client's connection may be closed for this reason now.
///
/// # Errors
///
/// An answer is outstanding and would be lost.
pub fn may_close(connection: &ClientConnection, why: CloseReason) -> Result<(), Reason> {
    let owed = connection.awaits_answer || (connection.unwritten > 0 && !connection.client_not_reading);
    if why != CloseReason::ByClient && owed {
        return Err(Reason::AnswerPending);
    }
    Ok(())
}

/// Counts since the start of what was not allowed and of what was done.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts {
    /// Attempts, probes and closes that were not allowed.
    pub forbidden: BTreeMap<Reason, u64>,
    /// Closed connections of clients, by reason.
    pub closed: BTreeMap<CloseReason, u64>,
    /// Attempts that ended, by how their endpoints are known to count them as over.
    pub confirmed: BTreeMap<Confirmation, u64>,
    /// What was done although it was not allowed; 0 unless this program has a fault.
    pub violations: BTreeMap<Reason, u64>,
}

impl Counts {
    /// Counts the result of a check and passes it on.
    ///
    /// # Errors
    ///
    /// The result, if it is an error.
    pub fn record(&mut self, answer: Result<(), Reason>) -> Result<(), Reason> {
        if let Err(reason) = answer {
            *self.forbidden.entry(reason).or_default() += 1;
        }
        answer
    }

    /// Counts a closed connection.
    pub fn record_close(&mut self, why: CloseReason) {
        *self.closed.entry(why).or_default() += 1;
    }

    /// Counts an attempt that is over for its endpoint, too.
    pub fn record_confirmation(&mut self, how: Confirmation) {
        *self.confirmed.entry(how).or_default() += 1;
    }

    /// Counts an action that this rule forbids.
    pub fn record_violation(&mut self, reason: Reason) {
        *self.violations.entry(reason).or_default() += 1;
    }

    /// The counts as metrics.
    pub fn json(&self) -> serde_json::Value {
        let by_reason = |counts: &BTreeMap<Reason, u64>| -> serde_json::Value {
            counts
                .iter()
                .map(|(r, n)| (r.name().to_string(), (*n).into()))
                .collect::<serde_json::Map<_, _>>()
                .into()
        };
        let closed: serde_json::Map<_, _> =
            self.closed.iter().map(|(c, n)| (c.name().to_string(), (*n).into())).collect();
        let confirmed: serde_json::Map<_, _> =
            self.confirmed.iter().map(|(c, n)| (c.name().to_string(), (*n).into())).collect();
        serde_json::json!({
            "refused": by_reason(&self.forbidden),
            "closed": closed,
            "confirmed": confirmed,
            "violations": by_reason(&self.violations)
        })
    }
}

#[cfg(test)]
mod tests;
