//! The rules on what may be sent, repeated, closed or started now, in one place; no I/O, no clock.
//!
//! Every path that begins an attempt or a probe, writes a request, closes a client's connection or ends the process asks here
//! first, whatever it decided before: a decision may be older than an event that has crossed it. What is not allowed is not
//! done, and counted by its reason ([`Counts`]). What was found done although it was not allowed is a violation.
//!
//! Idle connections to endpoints are closed without asking: they owe nothing. One with a request out gives that request up, and
//! the next attempt waits until its endpoint counts the last one as over ([`Confirmation`]). An MQTT client's connection, too: its session outlives it, with what is owed to it.

use crate::api::{Effect, Listing, Ms};
use std::collections::BTreeMap;

/// Why something may not be done now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The message has its end.
    Ended,
    /// An attempt of the message is out.
    Outstanding,
    /// An attempt of the message has ended here, and its endpoint may not know yet.
    Unconfirmed,
    /// Its time is up.
    Expired,
    /// It has had all its attempts.
    Exhausted,
    /// It may have run, and must not run twice.
    MayHaveRun,
    /// It may have run, and nobody drops a repeat any more.
    WindowOver,
    /// It may have run elsewhere, and a repeat would not be dropped here.
    OtherGroup,
    /// An earlier message of its key is not over.
    OutOfTurn,
    /// The endpoint, or what it shares its limit with, has told a wait.
    Waiting,
    /// The endpoint drains, is gone from the list or is out by hand.
    NotInService,
    /// The process ends, or has handed over.
    Leaving,
    /// A request was read, and its answer is owed or not written yet.
    AnswerOwed,
    /// Calls are out or held, and there is time for them.
    Unfinished,
    /// Ends are not in the folder yet: the next process would not know of them.
    Unrecorded,
}

impl Reason {
    /// The word of the log and of the figures.
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

/// A message that an attempt is to be made of.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Message<'a> {
    /// Its end was decided.
    pub ended: bool,
    /// An attempt of it is out.
    pub outstanding: bool,
    /// An attempt of it has ended here, and its endpoint may not know yet.
    pub unconfirmed: bool,
    /// It may be delivered until then.
    pub valid_until: Ms,
    /// Attempts that went out.
    pub attempts: u32,
    /// What a second run does.
    pub effect: Effect,
    /// For so long after the first attempt a repeat is dropped by who got that.
    pub window: Ms,
    /// The first attempt that may have run: when it went out, and its endpoint's zone.
    pub ran: Option<(Ms, &'a str)>,
    /// An earlier message of its key is not over.
    pub has_earlier: bool,
}

/// The endpoint that it is to go to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Endpoint<'a> {
    /// What the list, or the operator's hand, says of it.
    pub listing: Listing,
    /// Its zone.
    pub zone: &'a str,
    /// A wait that is on.
    pub wait_until: Option<Ms>,
}

/// What holds for all messages.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Process {
    /// It begins nothing from then on.
    pub closing: Option<Ms>,
    /// Attempts of a message at most.
    pub most_attempts: u32,
    /// Times are this exact.
    pub round: Ms,
}

/// May an attempt of the message go to the endpoint now?
///
/// # Errors
///
/// The first rule against it.
pub fn may_send(now: Ms, message: &Message, endpoint: &Endpoint, process: &Process) -> Result<(), Reason> {
    let against = [
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
    match against.iter().find(|(holds, _)| *holds) {
        Some((_, reason)) => Err(*reason),
        None => may_repeat(now, message, endpoint, process),
    }
}

/// May a message that may have run go out again, to this endpoint?
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

/// May the endpoint be probed now? A probe counts as a call.
///
/// # Errors
///
/// The rule against it.
pub fn may_probe(now: Ms, endpoint: &Endpoint) -> Result<(), Reason> {
    match endpoint.wait_until {
        Some(until) if now < until => Err(Reason::Waiting),
        _ if endpoint.listing == Listing::Gone => Err(Reason::NotInService),
        _ => Ok(()),
    }
}

/// The last moment at which a byte of an attempt may be written: its connection may come up late.
pub fn write_by(message: &Message, process: &Process) -> Ms {
    match (message.effect, message.ran) {
        (Effect::Keyed { .. }, Some((sent, _))) => {
            message.valid_until.min(sent + message.window - 2.0 * process.round)
        }
        _ => message.valid_until,
    }
}

/// May bytes of an attempt be written now? Asked before each write: its connection may come up late.
///
/// # Errors
///
/// Its last moment is over.
pub fn may_write(now: Ms, write_by: Ms) -> Result<(), Reason> {
    if now > write_by {
        return Err(Reason::WindowOver);
    }
    Ok(())
}

/// The process may be held up for so long between reading its clock and writing; deadlines and windows allow for it.
const HELD_UP: Ms = 150.0;
/// Calls that come so soon after a wait was told were on their way.
const ON_ITS_WAY: Ms = 100.0;

/// An attempt whose last byte was written, as it is booked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Written {
    /// Its last moment: see [`write_by`].
    pub write_by: Ms,
    /// When the wait was told that is on at its endpoint.
    pub wait_told: Option<Ms>,
    /// An earlier message of its key is not over.
    pub has_earlier: bool,
    /// An earlier attempt of its message has ended here, and its endpoint may not know yet.
    pub unconfirmed: bool,
}

/// The rule that the writing of an attempt has broken.
pub fn broken_by(now: Ms, written: &Written) -> Option<Reason> {
    let broken = [
        (now > written.write_by + HELD_UP, Reason::WindowOver),
        (written.wait_told.is_some_and(|told| now > told + ON_ITS_WAY + HELD_UP), Reason::Waiting),
        (written.has_earlier, Reason::OutOfTurn),
        (written.unconfirmed, Reason::Unconfirmed),
    ];
    broken.iter().find(|(holds, _)| *holds).map(|(_, reason)| *reason)
}

/// Who ended the connection of an attempt that was written and not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndedFirst {
    /// This process: it has ended its sending, and the endpoint answers that with an end of its own.
    Dispatcher,
    /// The endpoint, or whatever stands for it on the path: no further sign of it can come.
    Endpoint,
}

impl EndedFirst {
    /// The word of the log.
    pub fn name(self) -> &'static str {
        match self {
            EndedFirst::Dispatcher => "dispatcher",
            EndedFirst::Endpoint => "endpoint",
        }
    }
}

/// How it is known that an endpoint counts an attempt as over. Before that the message goes out nowhere else: two connections
/// have no order, so that the end on one may be seen behind the request on the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Confirmation {
    /// Its last byte was not written: no endpoint has begun it.
    NeverBegun,
    /// The endpoint has answered.
    Answered,
    /// The endpoint has ended the connection after this side did.
    EndedByEndpoint,
    /// No sign can come or came: the time has passed in which the end gets there.
    TimedOut,
}

impl Confirmation {
    /// The word of the log and of the figures.
    pub fn name(self) -> &'static str {
        match self {
            Confirmation::NeverBegun => "never_begun",
            Confirmation::Answered => "answered",
            Confirmation::EndedByEndpoint => "ended_by_endpoint",
            Confirmation::TimedOut => "timed_out",
        }
    }
}

/// The end of an attempt that was written and not answered is waited for no longer than this, before it counts as known to its
/// endpoint: one that hangs or is cut off never tells, and where it ended the connection first no further sign can come. Longer
/// than any path delays bytes one way; the end takes the path once. What the last answers took tells nothing of a path that has
/// become slow meanwhile.
pub const CONFIRM_MOST: Ms = 700.0;
/// The endpoint's own end may have crossed this side's, and does not prove that it has seen that. So long after it the endpoint
/// has.
pub const CONFIRM_CROSSED: Ms = 100.0;
/// The same as [`CONFIRM_MOST`] for what a process had out as it ended: the system ends its connections at once, and the next
/// process has taken a while to start.
const CONFIRM_INHERITED: Ms = 500.0;

/// When an attempt that ends now, written and not answered, counts as over for its endpoint at the latest.
pub fn confirmed_by(now: Ms) -> Ms {
    now + CONFIRM_MOST
}

/// The same once the endpoint has ended its side behind this one.
pub fn confirmed_behind(now: Ms, by: Ms) -> Ms {
    by.min(now + CONFIRM_CROSSED)
}

/// The same for what another process had out, which is found to have ended now.
pub fn inherited_by(now: Ms) -> Ms {
    now + CONFIRM_INHERITED
}

/// How the end of such an attempt is known to its endpoint, once its time is over.
pub fn confirmation(first: EndedFirst, endpoint_ended: bool) -> Confirmation {
    match first {
        EndedFirst::Dispatcher if endpoint_ended => Confirmation::EndedByEndpoint,
        _ => Confirmation::TimedOut,
    }
}

/// After SIGTERM: calls that are out may end until then,
pub const LEAVE_AFTER: Ms = 3_300.0;
/// and with nothing held the process leaves after this; until then clients still come.
pub const LINGER: Ms = 700.0;

/// A process that was told to leave.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Leaving {
    /// For so long.
    pub told_for: Ms,
    /// Calls that it holds, and of these the ones with an attempt out.
    pub held: usize,
    /// See `held`.
    pub outstanding: usize,
    /// Another process serves on the folder, which takes over what this one holds.
    pub has_company: bool,
    /// Something was read that is not decided on or answered.
    pub undecided: bool,
    /// The folder has not taken all records of what became of its calls.
    pub unrecorded: bool,
}

/// May the process end now? At [`LEAVE_AFTER`] in any case: what was read is answered then, and the rest is the next one's.
///
/// # Errors
///
/// What it stays for.
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
    /// All that it asked for is answered, and it or this process wants to go.
    Answered,
    /// It rested, said nothing or stood in the middle of a request for too long.
    TimedOut,
    /// Others need its descriptor.
    NoRoom,
    /// The process drains.
    Draining,
}

impl Close {
    /// The word of the log and of the figures.
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
    /// A request was read whole, and its verdict is not there yet.
    pub awaits_answer: bool,
    /// Bytes of answers that are not written yet.
    pub unwritten: usize,
    /// The client does not read what is written.
    pub stalled: bool,
}

/// May a client's connection be closed for this cause now?
///
/// # Errors
///
/// An answer is owed: its message would be lost.
pub fn may_close(connection: &Connection, why: Close) -> Result<(), Reason> {
    let owed = connection.awaits_answer || (connection.unwritten > 0 && !connection.stalled);
    if why != Close::ByClient && owed {
        return Err(Reason::AnswerOwed);
    }
    Ok(())
}

/// What was refused and what was done, since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts {
    /// Attempts, probes and closes that were asked for and not allowed.
    pub refused: BTreeMap<Reason, u64>,
    /// Clients' connections closed, by cause.
    pub closed: BTreeMap<Close, u64>,
    /// Attempts that ended, by how it is known that their endpoints count them as over.
    pub confirmed: BTreeMap<Confirmation, u64>,
    /// What was done although it was not allowed; 0 unless this program is wrong.
    pub violations: BTreeMap<Reason, u64>,
}

impl Counts {
    /// Counts an answer of this module and passes it on.
    ///
    /// # Errors
    ///
    /// As it was given.
    pub fn note(&mut self, answer: Result<(), Reason>) -> Result<(), Reason> {
        if let Err(reason) = answer {
            *self.refused.entry(reason).or_default() += 1;
        }
        answer
    }

    /// A connection was closed.
    pub fn closed(&mut self, why: Close) {
        *self.closed.entry(why).or_default() += 1;
    }

    /// An attempt is over, for its endpoint too.
    pub fn confirmed(&mut self, how: Confirmation) {
        *self.confirmed.entry(how).or_default() += 1;
    }

    /// Something was done that this rule forbids.
    pub fn violated(&mut self, reason: Reason) {
        *self.violations.entry(reason).or_default() += 1;
    }

    /// For the operators' figures.
    pub fn json(&self) -> serde_json::Value {
        let by = |counts: &BTreeMap<Reason, u64>| -> serde_json::Value {
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
            "refused": by(&self.refused),
            "closed": closed,
            "confirmed": confirmed,
            "violations": by(&self.violations)
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
    fn each_rule_stops_an_attempt_by_itself() {
        let m = message(Effect::Safe);
        assert_eq!(may_send(0.0, &m, &ENDPOINT, &PROCESS), Ok(()));
        let stopped = [
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
        for (message, endpoint, process, reason) in stopped {
            assert_eq!(may_send(0.0, &message, &endpoint, &process), Err(reason));
        }
        let over = Endpoint { wait_until: Some(0.0), ..ENDPOINT };
        assert_eq!(may_send(0.0, &m, &over, &PROCESS), Ok(()), "a wait that is over");
    }

    #[test]
    fn what_may_have_run_goes_again_as_its_effect_allows() {
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
    fn what_was_written_too_late_within_a_wait_or_out_of_turn_is_a_violation() {
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
    fn an_unanswered_attempt_is_over_with_a_sign_of_its_endpoint_or_after_a_while() {
        let by = confirmed_by(10.0);
        assert_eq!(by, 10.0 + CONFIRM_MOST);
        assert_eq!(confirmed_behind(20.0, by), 20.0 + CONFIRM_CROSSED);
        assert_eq!(confirmed_behind(by - 1.0, by), by, "never longer than without the sign");
        assert_eq!(confirmation(EndedFirst::Dispatcher, true), Confirmation::EndedByEndpoint);
        assert_eq!(confirmation(EndedFirst::Dispatcher, false), Confirmation::TimedOut);
        assert_eq!(
            confirmation(EndedFirst::Endpoint, true),
            Confirmation::TimedOut,
            "it is no answer to ours"
        );
    }

    #[test]
    fn a_process_ends_when_nothing_is_owed_or_its_time_is_up() {
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
            "the other one takes over"
        );
    }

    #[test]
    fn a_connection_with_an_answer_owed_is_closed_by_its_client_only() {
        let idle = Connection { awaits_answer: false, unwritten: 0, stalled: false };
        let asked = Connection { awaits_answer: true, ..idle };
        let writing = Connection { unwritten: 3, ..idle };
        for why in [Close::Answered, Close::TimedOut, Close::NoRoom, Close::Draining] {
            assert_eq!(may_close(&idle, why), Ok(()));
            assert_eq!(may_close(&asked, why), Err(Reason::AnswerOwed));
            assert_eq!(may_close(&writing, why), Err(Reason::AnswerOwed));
            assert_eq!(may_close(&Connection { stalled: true, ..writing }, why), Ok(()));
        }
        assert_eq!(may_close(&asked, Close::ByClient), Ok(()));
        let mut counts = Counts::default();
        let _ = counts.note(may_close(&asked, Close::NoRoom));
        counts.closed(Close::ByClient);
        assert_eq!(counts.json()["refused"]["answer_owed"], 1);
        assert_eq!(counts.json()["closed"]["by_client"], 1);
    }
}
