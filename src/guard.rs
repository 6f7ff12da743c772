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

use crate::api::{Effect, Listing, Ms};
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
    OtherGroup,
    /// An earlier message of its key has not ended.
    OutOfTurn,
    /// A retry-after of the endpoint, or of one that shares its limit, has not passed.
    Waiting,
    /// The endpoint is draining, off the endpoint list or blocked by an operator.
    NotInService,
    /// The process is ending, or has handed over.
    Leaving,
    /// A request was read, and its answer is not written yet.
    AnswerOwed,
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
            Reason::OtherGroup => "other_group",
            Reason::OutOfTurn => "out_of_turn",
            Reason::Waiting => "waiting",
            Reason::NotInService => "not_in_service",
            Reason::Leaving => "leaving",
            Reason::AnswerOwed => "answer_owed",
            Reason::Unfinished => "unfinished",
            Reason::Unrecorded => "unrecorded",
        }
    }
}

/// A message for which an attempt is planned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Message<'a> {
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
    pub window: Ms,
    /// The first attempt that may have run: its send time, and the zone of its endpoint.
    pub ran: Option<(Ms, &'a str)>,
    /// An earlier message of its key has not ended.
    pub has_earlier: bool,
}

/// The endpoint of a planned attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Endpoint<'a> {
    /// Its state on the endpoint list, or as set by an operator.
    pub listing: Listing,
    /// Its zone.
    pub zone: &'a str,
    /// End of a retry-after that is in force.
    pub wait_until: Option<Ms>,
}

/// What applies to all messages.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Process {
    /// When it stops to start attempts.
    pub closing: Option<Ms>,
    /// Largest number of attempts for one message.
    pub most_attempts: u32,
    /// Resolution of times, in milliseconds.
    pub round: Ms,
}

/// Whether an attempt of the message may be sent to the endpoint now.
///
/// # Errors
///
/// The first rule that forbids it.
pub fn may_send(now: Ms, message: &Message, endpoint: &Endpoint, process: &Process) -> Result<(), Reason> {
    let rules = [
        (message.ended, Reason::Ended),
        (message.outstanding, Reason::Outstanding),
        (message.unconfirmed, Reason::Unconfirmed),
        (now >= message.valid_until, Reason::Expired),
        (message.attempts >= process.most_attempts, Reason::Exhausted),
        (process.closing.is_some_and(|at| now >= at), Reason::Leaving),
        (endpoint.listing != Listing::Ready, Reason::NotInService),
        (endpoint.wait_until.is_some_and(|until| now < until), Reason::Waiting),
        (message.has_earlier, Reason::OutOfTurn),
    ];
    match rules.iter().find(|(holds, _)| *holds) {
        Some((_, reason)) => Err(*reason),
        None => may_repeat(now, message, endpoint, process),
    }
}

/// Whether a message that may have run may be sent again, to this endpoint.
fn may_repeat(now: Ms, message: &Message, endpoint: &Endpoint, process: &Process) -> Result<(), Reason> {
    let Some((_, zone)) = message.ran else { return Ok(()) };
    match message.effect {
        Effect::Safe => Ok(()),
        Effect::Unsafe => Err(Reason::MayHaveRun),
        Effect::Keyed { by_zone: true } if zone != endpoint.zone => Err(Reason::OtherGroup),
        Effect::Keyed { .. } if now > write_by(message, process) => Err(Reason::WindowOver),
        Effect::Keyed { .. } => Ok(()),
    }
}

/// Whether the endpoint may be probed now. A probe counts as a call.
///
/// # Errors
///
/// The rule that forbids it.
pub fn may_probe(now: Ms, endpoint: &Endpoint) -> Result<(), Reason> {
    match endpoint.wait_until {
        Some(until) if now < until => Err(Reason::Waiting),
        _ if endpoint.listing == Listing::Gone => Err(Reason::NotInService),
        _ => Ok(()),
    }
}

/// Latest time at which a byte of an attempt may be written: its connection may be established late.
pub fn write_by(message: &Message, process: &Process) -> Ms {
    match (message.effect, message.ran) {
        (Effect::Keyed { .. }, Some((sent, _))) => {
            message.valid_until.min(sent + message.window - 2.0 * process.round)
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
pub struct Written {
    /// Latest time for writing it: see [`write_by`].
    pub write_by: Ms,
    /// When the retry-after that is in force at its endpoint arrived.
    pub wait_told: Option<Ms>,
    /// An earlier message of its key has not ended.
    pub has_earlier: bool,
    /// An earlier attempt of its message has ended here, but its endpoint may not know yet.
    pub unconfirmed: bool,
}

/// The rule that writing the attempt has broken, if any.
pub fn broken_by(now: Ms, written: &Written) -> Option<Reason> {
    let broken = [
        (now > written.write_by + MAX_PROCESS_DELAY, Reason::WindowOver),
        (
            written.wait_told.is_some_and(|arrived| now > arrived + RETRY_AFTER_GRACE + MAX_PROCESS_DELAY),
            Reason::Waiting,
        ),
        (written.has_earlier, Reason::OutOfTurn),
        (written.unconfirmed, Reason::Unconfirmed),
    ];
    broken.iter().find(|(holds, _)| *holds).map(|(_, reason)| *reason)
}

/// Which side ended the connection of an attempt that was written and not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndedFirst {
    /// This process: it has shut down its sending side, and the endpoint answers that by ending its own.
    Dispatcher,
    /// The endpoint, or a proxy on the path: no further confirmation can arrive.
    Endpoint,
}

impl EndedFirst {
    /// Its name in the log.
    pub fn name(self) -> &'static str {
        match self {
            EndedFirst::Dispatcher => "dispatcher",
            EndedFirst::Endpoint => "endpoint",
        }
    }
}

/// How it is known that an endpoint counts an attempt as over. Until then the message is sent to no endpoint:
/// two connections have no order, so the end of one may be seen after the request on the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Confirmation {
    /// Its last byte was not written, so no endpoint has begun it.
    NeverBegun,
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
            Confirmation::NeverBegun => "never_begun",
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
pub const CONFIRM_MOST: Ms = 700.0;
/// The endpoint's own end of the connection may have crossed this side's, so it does not prove that the
/// endpoint has seen the latter. After this span the endpoint has.
pub const CONFIRM_CROSSED: Ms = 100.0;
/// The same as [`CONFIRM_MOST`] for attempts that another process left outstanding when it ended: the system
/// ends its connections at once, and the next process has taken a while to start.
const INHERITED_CONFIRM_TIMEOUT: Ms = 500.0;

/// When an attempt that ends now, written and not answered, counts as over at its endpoint at the latest.
pub fn confirmed_by(now: Ms) -> Ms {
    now + CONFIRM_MOST
}

/// The same once the endpoint has ended its side after this one.
pub fn confirmed_behind(now: Ms, by: Ms) -> Ms {
    by.min(now + CONFIRM_CROSSED)
}

/// The same for attempts of another process that is found to have ended now.
pub fn inherited_by(now: Ms) -> Ms {
    now + INHERITED_CONFIRM_TIMEOUT
}

/// How the end of such an attempt became known to its endpoint, once its wait is over.
pub fn confirmation(first: EndedFirst, endpoint_ended: bool) -> Confirmation {
    match first {
        EndedFirst::Dispatcher if endpoint_ended => Confirmation::EndedByEndpoint,
        _ => Confirmation::TimedOut,
    }
}

/// After SIGTERM, outstanding attempts may finish for this span.
pub const LEAVE_AFTER: Ms = 3_300.0;
/// After SIGTERM, the process accepts clients for this span, and ends after it if it holds no message.
pub const LINGER: Ms = 700.0;

/// A process that was told to end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Leaving {
    /// Time since it was told.
    pub told_for: Ms,
    /// Messages that it holds.
    pub held: usize,
    /// Messages of `held` with an outstanding attempt.
    pub outstanding: usize,
    /// A sibling process serves on the state folder and takes over what this one holds.
    pub has_company: bool,
    /// A request was read that is not decided on or answered.
    pub undecided: bool,
    /// Records of the ends of messages are not all in the state folder.
    pub unrecorded: bool,
}

/// Whether the process may end now. At [`LEAVE_AFTER`] it may in any case: requests that were read get an
/// answer then, and the next process takes over the rest.
///
/// # Errors
///
/// What it still has to do.
pub fn may_end(leaving: &Leaving) -> Result<(), Reason> {
    if leaving.told_for >= LEAVE_AFTER {
        return Ok(());
    }
    let done = leaving.held == 0 || (leaving.has_company && leaving.outstanding == 0);
    if leaving.told_for < LINGER || !done {
        return Err(Reason::Unfinished);
    }
    if leaving.undecided {
        return Err(Reason::AnswerOwed);
    }
    if leaving.unrecorded {
        return Err(Reason::Unrecorded);
    }
    Ok(())
}

/// Why a client's connection is to be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Close {
    /// The client ended or broke it.
    ByClient,
    /// All its requests are answered, and the client or this process ends the connection.
    Answered,
    /// It was idle, silent or in the middle of a request for too long.
    TimedOut,
    /// Its file descriptor is needed for another connection.
    NoRoom,
    /// The process drains.
    Draining,
}

impl Close {
    /// Its name in the log and in the metrics.
    pub fn name(self) -> &'static str {
        match self {
            Close::ByClient => "by_client",
            Close::Answered => "answered",
            Close::TimedOut => "timed_out",
            Close::NoRoom => "no_room",
            Close::Draining => "draining",
        }
    }
}

/// A client's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Connection {
    /// A whole request was read, and its answer is not decided yet.
    pub awaits_answer: bool,
    /// Bytes of answers that are not written yet.
    pub unwritten: usize,
    /// The client does not read what is written.
    pub stalled: bool,
}

/// Whether a client's connection may be closed for this reason now.
///
/// # Errors
///
/// An answer is outstanding and would be lost.
pub fn may_close(connection: &Connection, why: Close) -> Result<(), Reason> {
    let owed = connection.awaits_answer || (connection.unwritten > 0 && !connection.stalled);
    if why != Close::ByClient && owed {
        return Err(Reason::AnswerOwed);
    }
    Ok(())
}

/// Counts since the start of what was not allowed and of what was done.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts {
    /// Attempts, probes and closes that were not allowed.
    pub refused: BTreeMap<Reason, u64>,
    /// Closed connections of clients, by reason.
    pub closed: BTreeMap<Close, u64>,
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
    pub fn note(&mut self, answer: Result<(), Reason>) -> Result<(), Reason> {
        if let Err(reason) = answer {
            *self.refused.entry(reason).or_default() += 1;
        }
        answer
    }

    /// Counts a closed connection.
    pub fn closed(&mut self, why: Close) {
        *self.closed.entry(why).or_default() += 1;
    }

    /// Counts an attempt that is over for its endpoint, too.
    pub fn confirmed(&mut self, how: Confirmation) {
        *self.confirmed.entry(how).or_default() += 1;
    }

    /// Counts an action that this rule forbids.
    pub fn violated(&mut self, reason: Reason) {
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
            "refused": by_reason(&self.refused),
            "closed": closed,
            "confirmed": confirmed,
            "violations": by_reason(&self.violations)
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const PROCESS: Process = Process { closing: None, most_attempts: 8, round: 1.0 };
    const ENDPOINT: Endpoint = Endpoint { listing: Listing::Ready, zone: "a", wait_until: None };

    fn message(effect: Effect) -> Message<'static> {
        Message {
            ended: false,
            outstanding: false,
            unconfirmed: false,
            valid_until: 1_000.0,
            attempts: 1,
            effect,
            window: 500.0,
            ran: None,
            has_earlier: false,
        }
    }

    #[test]
    fn each_rule_alone_forbids_an_attempt() {
        let m = message(Effect::Safe);
        assert_eq!(may_send(0.0, &m, &ENDPOINT, &PROCESS), Ok(()));
        let forbidden = [
            (Message { ended: true, ..m }, ENDPOINT, PROCESS, Reason::Ended),
            (Message { outstanding: true, ..m }, ENDPOINT, PROCESS, Reason::Outstanding),
            (Message { unconfirmed: true, ..m }, ENDPOINT, PROCESS, Reason::Unconfirmed),
            (Message { valid_until: 0.0, ..m }, ENDPOINT, PROCESS, Reason::Expired),
            (Message { attempts: 8, ..m }, ENDPOINT, PROCESS, Reason::Exhausted),
            (Message { has_earlier: true, ..m }, ENDPOINT, PROCESS, Reason::OutOfTurn),
            (m, Endpoint { listing: Listing::Draining, ..ENDPOINT }, PROCESS, Reason::NotInService),
            (m, Endpoint { listing: Listing::Gone, ..ENDPOINT }, PROCESS, Reason::NotInService),
            (m, Endpoint { wait_until: Some(0.1), ..ENDPOINT }, PROCESS, Reason::Waiting),
            (m, ENDPOINT, Process { closing: Some(0.0), ..PROCESS }, Reason::Leaving),
        ];
        for (message, endpoint, process, reason) in forbidden {
            assert_eq!(may_send(0.0, &message, &endpoint, &process), Err(reason));
        }
        let wait_over = Endpoint { wait_until: Some(0.0), ..ENDPOINT };
        assert_eq!(may_send(0.0, &m, &wait_over, &PROCESS), Ok(()), "a retry-after that has passed");
    }

    #[test]
    fn a_message_that_may_have_run_is_repeated_as_its_effect_allows() {
        let ran = |effect| Message { ran: Some((100.0, "a")), ..message(effect) };
        let may = |now, m: &Message, zone| may_send(now, m, &Endpoint { zone, ..ENDPOINT }, &PROCESS);
        assert_eq!(may(900.0, &ran(Effect::Safe), "b"), Ok(()));
        assert_eq!(may(101.0, &ran(Effect::Unsafe), "a"), Err(Reason::MayHaveRun));
        let keyed = |by_zone| ran(Effect::Keyed { by_zone });
        assert_eq!(may(598.0, &keyed(false), "b"), Ok(()));
        assert_eq!(may(598.1, &keyed(false), "b"), Err(Reason::WindowOver));
        assert_eq!(may(200.0, &keyed(true), "b"), Err(Reason::OtherGroup));
        assert_eq!(write_by(&keyed(true), &PROCESS), 598.0);
        assert_eq!(write_by(&Message { valid_until: 300.0, ..keyed(true) }, &PROCESS), 300.0);
    }

    #[test]
    fn a_write_that_is_late_within_a_wait_or_out_of_order_is_a_violation() {
        let written = Written { write_by: 1_000.0, wait_told: None, has_earlier: false, unconfirmed: false };
        assert_eq!(
            (may_write(1_000.0, 1_000.0), may_write(1_000.1, 1_000.0)),
            (Ok(()), Err(Reason::WindowOver))
        );
        assert_eq!(broken_by(1_150.0, &written), None);
        assert_eq!(broken_by(1_151.0, &written), Some(Reason::WindowOver));
        let waiting = Written { wait_told: Some(100.0), ..written };
        assert_eq!((broken_by(350.0, &waiting), broken_by(351.0, &waiting)), (None, Some(Reason::Waiting)));
        assert_eq!(broken_by(0.0, &Written { has_earlier: true, ..written }), Some(Reason::OutOfTurn));
        assert_eq!(broken_by(0.0, &Written { unconfirmed: true, ..written }), Some(Reason::Unconfirmed));
    }

    #[test]
    fn an_unanswered_attempt_is_over_after_a_confirmation_or_a_timeout() {
        let by = confirmed_by(10.0);
        assert_eq!(by, 10.0 + CONFIRM_MOST);
        assert_eq!(confirmed_behind(20.0, by), 20.0 + CONFIRM_CROSSED);
        assert_eq!(confirmed_behind(by - 1.0, by), by, "never longer than without the confirmation");
        assert_eq!(confirmation(EndedFirst::Dispatcher, true), Confirmation::EndedByEndpoint);
        assert_eq!(confirmation(EndedFirst::Dispatcher, false), Confirmation::TimedOut);
        assert_eq!(
            confirmation(EndedFirst::Endpoint, true),
            Confirmation::TimedOut,
            "the end of the endpoint does not confirm ours"
        );
    }

    #[test]
    fn a_process_ends_when_its_work_is_done_or_its_time_is_up() {
        let idle = Leaving {
            told_for: LINGER,
            held: 0,
            outstanding: 0,
            has_company: false,
            undecided: false,
            unrecorded: false,
        };
        assert_eq!(may_end(&idle), Ok(()));
        let stays = [
            (Leaving { told_for: LINGER - 1.0, ..idle }, Reason::Unfinished),
            (Leaving { held: 1, ..idle }, Reason::Unfinished),
            (Leaving { held: 2, outstanding: 1, has_company: true, ..idle }, Reason::Unfinished),
            (Leaving { undecided: true, ..idle }, Reason::AnswerOwed),
            (Leaving { unrecorded: true, ..idle }, Reason::Unrecorded),
        ];
        for (leaving, reason) in stays {
            assert_eq!(may_end(&leaving), Err(reason));
            assert_eq!(may_end(&Leaving { told_for: LEAVE_AFTER, ..leaving }), Ok(()));
        }
        assert_eq!(
            may_end(&Leaving { held: 2, has_company: true, ..idle }),
            Ok(()),
            "the sibling process takes over"
        );
    }

    #[test]
    fn only_the_client_closes_a_connection_with_an_outstanding_answer() {
        let idle = Connection { awaits_answer: false, unwritten: 0, stalled: false };
        let awaiting = Connection { awaits_answer: true, ..idle };
        let writing = Connection { unwritten: 3, ..idle };
        for why in [Close::Answered, Close::TimedOut, Close::NoRoom, Close::Draining] {
            assert_eq!(may_close(&idle, why), Ok(()));
            assert_eq!(may_close(&awaiting, why), Err(Reason::AnswerOwed));
            assert_eq!(may_close(&writing, why), Err(Reason::AnswerOwed));
            assert_eq!(may_close(&Connection { stalled: true, ..writing }, why), Ok(()));
        }
        assert_eq!(may_close(&awaiting, Close::ByClient), Ok(()));
        let mut counts = Counts::default();
        let _ = counts.note(may_close(&awaiting, Close::NoRoom));
        counts.closed(Close::ByClient);
        assert_eq!(counts.json()["refused"]["answer_owed"], 1);
        assert_eq!(counts.json()["closed"]["by_client"], 1);
    }
}
