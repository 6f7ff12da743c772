//! RESP2 front end: a thin layer over the core that serves the clients of the platform.

mod command;

use super::departure::{DelayDetector, PeerSending, Presence, SendingEnd};
use super::displacement::{pick_to_close, Candidate, Connections, Use};
use super::reactor::Reactor;
use super::stream::{Fill, Stream};
use super::{token, SourceKind};
use crate::api::Ms;
use crate::dispatch::{ClientTicket, Core, Verdict};
use crate::guard::{self, CloseReason};
use command::{parse, submission, Parse, PART_MAX};
use mio::net::TcpStream;
use slab::Slab;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

/// Maximum number of bytes of a command.
const READ_BUF_MAX: usize = PART_MAX + 8 * 1024;
/// Number of bytes read before it is known that a command is longer.
const READ_AHEAD: usize = 4 * 1024;
/// Maximum number of commands of one client in one pass, so that other clients get their turn.
const COMMANDS_PER_TURN: usize = 32;
/// Milliseconds after which a connection is closed if no command was served on it. Protects against floods of
/// clients that connect and send nothing, half a command or malformed input: they have to be closed within 3
/// s, and normal clients send a command as soon as they connect.
pub(super) const FIRST_REQUEST_TIMEOUT: Ms = 2_200.0;
/// Milliseconds for which an incomplete command, or an unread answer, may stand.
const STALL_TIMEOUT: Ms = 2_200.0;
/// Milliseconds for which an idle connection is kept between two requests; some clients send one request and
/// never close.
const IDLE_TIMEOUT: Ms = 20_000.0;
/// Milliseconds for which closing waits after an error until the client stops sending: data that reaches a
/// closed connection causes a reset, which discards the error line unread.
const LINGER_TIMEOUT: Ms = 1_000.0;
/// Interval in milliseconds between reads, of up to 64 KiB each, on a lingering connection: enough to keep
/// the client sending, too slow to keep this side busy.
const LINGER_READ_INTERVAL: Ms = 20.0;

#[derive(Debug)]
struct Conn {
    stream: Stream,
    /// Ticket of the command that waits for its answer.
    awaiting: Option<ClientTicket>,
    /// The connection is closed once everything is written.
    closing: bool,
    /// The input was malformed, and the client may still be sending.
    malformed_input: bool,
    /// Since when the connection lingers: everything is written, this side has ended its sending, and input
    /// is read and discarded.
    lingering_since: Option<Ms>,
    /// A command was served on this connection.
    served: bool,
    connected_at: Ms,
    /// Time of the last command, or of the last read while lingering.
    last_used: Ms,
    /// Since when an incomplete command or a partly written answer stands.
    stalled_since: Option<Ms>,
    /// Its number in the order of acceptance.
    serial: u64,
    /// Number of bytes that the read buffer may hold for the command that is being read.
    read_target: usize,
    /// The end of the client's sending.
    sending_end: SendingEnd,
    /// Until when its next request waits for a reset of the connection.
    waits_until: Option<Ms>,
}

impl Conn {
    /// Whether the client is there for its next request, after a read with this result. `has_more`: more input follows
    /// the request.
    fn presence(&mut self, now: Ms, fill: Fill, has_more: bool, delays: &DelayDetector) -> Presence {
        // A read that finds no more input would have found the end of the client's sending.
        let sending = if fill == Fill::Blocked { PeerSending::Open } else { self.stream.peer_sending() };
        if sending != PeerSending::Open {
            self.sending_end.record_end();
        }
        self.sending_end.presence(now, sending, has_more, delays.was_delayed(now))
    }

    /// Whether all input that has arrived was processed. A close over unread input resets the connection, and answers
    /// that are on their way are lost with it.
    fn has_no_input(&mut self) -> bool {
        if self.stream.read_buf.is_empty() {
            self.stream.fill(READ_AHEAD);
        }
        self.stream.read_buf.is_empty()
    }

    /// Queues an answer.
    fn answer(&mut self, now: Ms, text: &[u8]) {
        self.stream.queue(text);
        self.sending_end.record_answer(now);
    }

    /// Answers a command that is not served and ends the connection; what else the client sends is discarded.
    fn reject_input(&mut self, now: Ms, text: &[u8]) {
        self.answer(now, text);
        self.stream.discard_input();
        (self.closing, self.malformed_input) = (true, true);
    }

    /// State of the connection as the guard's rules on closing need it.
    fn guard_state(&self, now: Ms) -> guard::ClientConnection {
        guard::ClientConnection {
            awaits_answer: self.awaiting.is_some(),
            unwritten: self.stream.unwritten(),
            client_not_reading: self.stalled_since.is_some_and(|since| now - since >= STALL_TIMEOUT),
        }
    }

    /// Refuses the commands that have arrived and were not started. If the connection ended without an answer to a
    /// request that was read, its client would take the request for lost; a refusal states that the client
    /// may submit it again.
    fn refuse_rest(&mut self, core: &mut Core) {
        let mut refused = 0;
        while self.awaiting.is_none() && refused < READ_BUF_MAX {
            let used = self.refuse_commands(core);
            refused += used;
            let target = if used == 0 { self.stream.read_buf.len() + READ_AHEAD } else { READ_AHEAD };
            let before = self.stream.read_buf.len();
            self.stream.fill(target.min(READ_BUF_MAX));
            if self.stream.read_buf.len() == before {
                break;
            }
        }
        if let Err(e) = self.stream.flush() {
            log::debug!(cause:% = e; "a client disconnected before its last answers were written");
        }
    }

    /// Refuses the commands in the read buffer; returns the number of bytes that they took.
    fn refuse_commands(&mut self, core: &mut Core) -> usize {
        let mut taken = 0;
        while let Parse::Whole(parts, used) = parse(&self.stream.read_buf[taken..]) {
            taken += used;
            let refused = parts[0].eq_ignore_ascii_case(b"SUBMIT");
            core.counters.busy += u64::from(refused);
            self.stream.queue(if refused { b"-BUSY\r\n" } else { b"-ERR draining\r\n" });
        }
        self.stream.read_buf.drain(..taken);
        taken
    }

    /// What the connection is used for, for the rule on making room.
    fn used_for(&self) -> Use {
        if self.lingering_since.is_some() || (!self.served && self.awaiting.is_none()) {
            Use::Unserved
        } else if self.served && self.is_idle() {
            Use::Idle
        } else {
            Use::Busy
        }
    }

    fn is_idle(&self) -> bool {
        self.awaiting.is_none() && self.stream.read_buf.is_empty() && self.stream.unwritten() == 0
    }

    /// When the connection is closed, or read again while it lingers.
    fn due(&self) -> Ms {
        match (self.lingering_since, self.stalled_since) {
            (Some(since), _) => (self.last_used + LINGER_READ_INTERVAL).min(since + LINGER_TIMEOUT),
            _ if self.awaiting.is_some() => f64::MAX,
            (_, stalled_since) => {
                let stalled = stalled_since.map_or(f64::MAX, |t| t + STALL_TIMEOUT);
                let stalled = self.waits_until.map_or(stalled, |until| until.min(stalled));
                let idle = if self.served {
                    self.last_used + IDLE_TIMEOUT
                } else {
                    self.connected_at + FIRST_REQUEST_TIMEOUT
                };
                stalled.min(idle)
            }
        }
    }
}

/// The connections of RESP clients.
#[derive(Debug)]
pub struct RespClients {
    conns: Slab<Conn>,
    awaiting: HashMap<ClientTicket, usize>,
    next_ticket: ClientTicket,
    next_serial: u64,
    /// Connections with commands left for the next turn.
    unfinished: BTreeSet<usize>,
    max: usize,
    draining: bool,
    /// The process is about to end: what was accepted is answered, and all else that arrives is refused.
    refusing: bool,
    /// The process is ending: what was read is answered, and nothing more is read.
    stopped: bool,
    /// Delays of the process, in which clients may have left.
    delays: DelayDetector,
}

/// The connections with the core, which serves what is read from them.
struct Served<'a> {
    clients: &'a mut RespClients,
    core: &'a mut Core,
}

impl Connections for Served<'_> {
    fn candidates(&self) -> impl Iterator<Item = Candidate> {
        self.clients.conns.iter().map(|(index, c)| candidate(index, c))
    }

    fn candidate(&self, index: usize) -> Option<Candidate> {
        self.clients.conns.get(index).map(|c| candidate(index, c))
    }

    fn read(&mut self, now: Ms, index: usize) {
        self.clients.serve(now, index, self.core);
    }
}

fn candidate(index: usize, c: &Conn) -> Candidate {
    let (used_for, serial) = (c.used_for(), c.serial);
    Candidate { index, used_for, connected_at: c.connected_at, last_used: c.last_used, serial }
}

impl RespClients {
    /// Creates the set without connections; `max` bounds their number.
    pub fn new(max: usize) -> RespClients {
        let (conns, awaiting, unfinished) = (Slab::new(), HashMap::new(), BTreeSet::new());
        RespClients {
            conns,
            awaiting,
            next_ticket: 0,
            next_serial: 0,
            unfinished,
            max,
            draining: false,
            refusing: false,
            stopped: false,
            delays: DelayDetector::default(),
        }
    }

    /// Records that the event loop goes on `late` milliseconds later than it had to.
    pub fn record_delay(&mut self, now: Ms, late: Ms) {
        self.delays.record(now, late);
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    /// Closes connections while there are more than `max`; false if none may be closed and new clients must
    /// wait in the listen backlog. That is the last resort: the backlog is short, and a client that finds it
    /// full retries its connect only after a second, without notice.
    pub fn make_room(&mut self, now: Ms, core: &mut Core) -> bool {
        while self.conns.len() > self.max {
            let max = self.max;
            let picked = pick_to_close(&mut Served { clients: self, core }, now, max);
            let Some(index) = picked else { return false };
            if !self.close(now, index, CloseReason::DescriptorNeeded, core) {
                return false;
            }
        }
        true
    }

    /// Reads a connection that is about to be closed; returns whether it was closed by that or still fits the
    /// condition for closing. Prevents closing a connection whose request has just arrived.
    fn recheck(&mut self, now: Ms, index: usize, core: &mut Core, fits: &dyn Fn(&Conn) -> bool) -> bool {
        self.serve(now, index, core);
        self.conns.get(index).is_none_or(fits)
    }

    /// Registers the connection of a new client.
    pub fn accept(&mut self, now: Ms, tcp: TcpStream, reactor: &Rc<Reactor>) {
        let entry = self.conns.vacant_entry();
        match Stream::accepted(tcp, reactor, token(SourceKind::RespClient, entry.key())) {
            Ok(stream) => {
                let fresh = Conn {
                    stream,
                    awaiting: None,
                    closing: false,
                    malformed_input: false,
                    lingering_since: None,
                    served: false,
                    connected_at: now,
                    last_used: now,
                    stalled_since: None,
                    serial: self.next_serial,
                    read_target: READ_AHEAD,
                    sending_end: SendingEnd::default(),
                    waits_until: None,
                };
                self.next_serial += 1;
                entry.insert(fresh);
            }
            Err(e) => log::warn!("a client's connection cannot be registered: {e}"),
        }
    }

    /// Closes a connection if the guard allows it for this cause; true once it is gone.
    fn close(&mut self, now: Ms, index: usize, why: CloseReason, core: &mut Core) -> bool {
        let Some(c) = self.conns.get(index) else { return true };
        if let Err(reason) = core.guard.record(guard::may_close(&c.guard_state(now), why)) {
            log::warn!(conn = index, cause = why.name(); "a client's connection is not closed: {}", reason.name());
            return false;
        }
        core.guard.record_close(why);
        log::debug!(conn = index, cause = why.name(), served = c.served, unread = c.stream.read_buf.len();
            "a client's connection is closed");
        if let Some(ticket) = self.conns.remove(index).awaiting {
            self.awaiting.remove(&ticket);
            core.client_left(ticket);
        }
        true
    }

    /// Counts connections that still wait for an answer when the process ends; there are none unless this
    /// program has a bug.
    pub fn count_unanswered(&self, core: &mut Core) {
        for (index, _) in self.conns.iter().filter(|(_, c)| c.awaiting.is_some()) {
            core.guard.record_violation(guard::Reason::AnswerPending);
            log::error!(conn = index; "the process ends while a client still waits for an answer");
        }
    }

    /// Time at which [`RespClients::tick`] is due.
    pub fn next_due(&self) -> Option<Ms> {
        let due = self.conns.iter().map(|(_, c)| c.due()).min_by(f64::total_cmp);
        if self.unfinished.is_empty() {
            due.filter(|t| *t < f64::MAX)
        } else {
            Some(0.0)
        }
    }

    /// Continues with clients that had more commands than one turn takes, and closes connections that have
    /// timed out.
    pub fn tick(&mut self, now: Ms, core: &mut Core) {
        for index in std::mem::take(&mut self.unfinished) {
            self.serve(now, index, core);
        }
        let due: Vec<usize> =
            self.conns.iter().filter(|(_, c)| c.due() <= now).map(|(index, _)| index).collect();
        for index in due {
            let Some(c) = self.conns.get_mut(index) else { continue };
            if c.waits_until.is_some() {
                self.serve(now, index, core);
                continue;
            }
            let Some(since) = c.lingering_since else {
                // A request may have arrived just now.
                if self.recheck(now, index, core, &|c| c.due() <= now) {
                    self.close(now, index, CloseReason::TimedOut, core);
                }
                continue;
            };
            c.last_used = now;
            let over = now - since >= LINGER_TIMEOUT || c.stream.fill(PART_MAX) == Fill::Ended;
            c.stream.discard_input();
            if over {
                self.close(now, index, CloseReason::Answered, core);
            }
        }
    }

    /// Handles an event on a connection.
    pub fn ready(&mut self, now: Ms, index: usize, core: &mut Core) {
        // What is left over has its share of the next turn.
        if !self.unfinished.contains(&index) {
            self.serve(now, index, core);
        }
    }

    /// Serves a connection's share of commands for this turn.
    fn serve(&mut self, now: Ms, index: usize, core: &mut Core) {
        for _ in 0..COMMANDS_PER_TURN {
            if !self.serve_next(now, index, core) {
                return;
            }
        }
        self.unfinished.insert(index);
    }

    /// Reads and serves the next command of a connection; false if there is none for now.
    fn serve_next(&mut self, now: Ms, index: usize, core: &mut Core) -> bool {
        let Some(c) = self.conns.get_mut(index).filter(|c| c.lingering_since.is_none()) else { return false };
        if c.stream.flush().is_err() {
            self.close(now, index, CloseReason::ByClient, core);
            return false;
        }
        if self.stopped {
            c.refuse_rest(core);
            return false;
        }
        if c.awaiting.is_some() && c.stream.peer_sending() == PeerSending::Broken {
            self.close(now, index, CloseReason::ByClient, core);
            return false;
        }
        // Prevents a client from sending requests without end while it reads no answers.
        if c.awaiting.is_some() || c.stream.unwritten() > 0 {
            c.stalled_since = Some(c.stalled_since.unwrap_or(now)).filter(|_| c.awaiting.is_none());
            return false;
        }
        if c.closing {
            self.finish_closing(now, index, core);
            return false;
        }
        c.waits_until = c.waits_until.filter(|until| *until > now);
        if c.waits_until.is_some() {
            return false;
        }
        let fill = c.stream.fill(c.read_target);
        match parse(&c.stream.read_buf) {
            Parse::Whole(parts, used) => self.take_command(now, index, parts, used, fill, core),
            Parse::Bad(why) => {
                core.counters.malformed += 1;
                c.reject_input(now, format!("-ERR {why}\r\n").as_bytes());
                true
            }
            Parse::More if fill == Fill::Full => self.extend_command(now, index, core),
            Parse::More if fill == Fill::Ended => {
                self.close(now, index, CloseReason::ByClient, core);
                false
            }
            Parse::More => {
                c.stalled_since =
                    if c.stream.read_buf.is_empty() { None } else { c.stalled_since.or(Some(now)) };
                false
            }
        }
    }

    /// Ends a connection whose last answer is written, or lingers on it until the client stops sending.
    fn finish_closing(&mut self, now: Ms, index: usize, core: &mut Core) {
        let Some(c) = self.conns.get_mut(index) else { return };
        c.stream.finish();
        if c.malformed_input {
            (c.lingering_since, c.last_used) = (Some(now), now);
        } else {
            self.close(now, index, CloseReason::Answered, core);
        }
    }

    /// Serves a command that was read whole, unless its client has left; false if it waits or the connection ended.
    fn take_command(
        &mut self,
        now: Ms,
        index: usize,
        parts: Vec<Vec<u8>>,
        used: usize,
        fill: Fill,
        core: &mut Core,
    ) -> bool {
        let Some(c) = self.conns.get_mut(index) else { return false };
        let submits = parts[0].eq_ignore_ascii_case(b"SUBMIT");
        let has_more = c.stream.read_buf.len() > used || fill == Fill::Full;
        let presence =
            if submits { c.presence(now, fill, has_more, &self.delays) } else { Presence::Present };
        match presence {
            Presence::Left => {
                log::debug!(conn = index, cause = "client_left"; "a request is not taken on: its client has left");
                self.close(now, index, CloseReason::ByClient, core);
                return false;
            }
            Presence::WaitUntil(until) => {
                c.waits_until = Some(until);
                return false;
            }
            Presence::Present | Presence::Doubtful => {}
        }
        c.stream.read_buf.drain(..used);
        (c.last_used, c.stalled_since, c.read_target) = (now, None, READ_AHEAD);
        if presence == Presence::Doubtful {
            log::debug!(conn = index, cause = "client_may_have_left"; "a request is refused: its client may have left");
            core.counters.busy += 1;
            c.answer(now, b"-BUSY\r\n");
        } else {
            self.handle_command(now, index, parts, core);
        }
        true
    }

    /// Lets a command be longer than what was read of it. If there is no memory for that, the connection whose
    /// incomplete command has stood longest is refused and closed.
    fn extend_command(&mut self, now: Ms, index: usize, core: &mut Core) -> bool {
        let Some(c) = self.conns.get_mut(index) else { return false };
        if c.read_target >= READ_BUF_MAX {
            core.counters.malformed += 1;
            c.reject_input(now, b"-ERR Protocol error: the command is too large\r\n");
            return true;
        }
        let target = (2 * c.read_target).min(READ_BUF_MAX);
        c.stalled_since = c.stalled_since.or(Some(now));
        if c.stream.may_grow(target - c.read_target) {
            c.read_target = target;
            return true;
        }
        let extended = self.conns.iter().filter(|(_, c)| c.read_target > READ_AHEAD && !c.closing);
        let stood = |c: &Conn| c.stalled_since.unwrap_or(f64::MAX);
        let oldest =
            extended.min_by(|a, b| stood(a.1).total_cmp(&stood(b.1))).map_or(index, |(index, _)| index);
        let Some(c) = self.conns.get_mut(oldest) else { return false };
        log::debug!(conn = oldest, cause = "memory", unread = c.stream.read_buf.len();
            "an incomplete command is refused: there is no memory for it");
        c.stream.count_refused();
        c.reject_input(now, b"-BUSY\r\n");
        if oldest != index {
            self.unfinished.insert(oldest);
        }
        true
    }

    fn handle_command(&mut self, now: Ms, index: usize, parts: Vec<Vec<u8>>, core: &mut Core) {
        let Some(c) = self.conns.get_mut(index) else { return };
        match parts[0].to_ascii_uppercase().as_slice() {
            // Load balancers send PING to find out whether to route clients here.
            b"PING" if self.draining => {
                c.answer(now, b"-ERR draining\r\n");
                c.closing = c.has_no_input();
            }
            b"PING" if core.is_catching_up() => {
                c.served = true;
                c.answer(now, b"-ERR catching up\r\n");
            }
            b"PING" => {
                c.served = true;
                match parts.get(1) {
                    None => c.answer(now, b"+PONG\r\n"),
                    Some(echo) if !c.stream.may_grow(echo.len()) => {
                        c.stream.count_refused();
                        c.answer(now, b"-ERR out of memory\r\n");
                    }
                    Some(echo) => {
                        c.answer(now, format!("${}\r\n", echo.len()).as_bytes());
                        c.answer(now, echo);
                        c.answer(now, b"\r\n");
                    }
                }
            }
            b"SUBMIT" if self.refusing => {
                core.counters.busy += 1;
                c.answer(now, b"-BUSY\r\n");
                c.closing = c.has_no_input();
            }
            b"SUBMIT" => match submission(parts) {
                Ok(s) => {
                    let ticket = self.next_ticket * 2;
                    self.next_ticket += 1;
                    c.awaiting = Some(ticket);
                    self.awaiting.insert(ticket, index);
                    core.submit(now, ticket, s);
                }
                Err(why) => {
                    core.counters.malformed += 1;
                    c.answer(now, format!("-ERR {why}\r\n").as_bytes());
                }
            },
            b"QUIT" => {
                c.answer(now, b"+OK\r\n");
                c.closing = true;
            }
            _ => {
                core.counters.malformed += 1;
                c.answer(now, b"-ERR unknown command\r\n");
            }
        }
    }

    /// Sends a verdict to the client that waits for it.
    pub fn answer(&mut self, now: Ms, ticket: ClientTicket, verdict: &Verdict, core: &mut Core) {
        let Some(index) = self.awaiting.remove(&ticket) else { return };
        let Some(c) = self.conns.get_mut(index) else { return };
        let text = match verdict {
            Verdict::Accepted => "+OK\r\n".to_string(),
            Verdict::Busy(ms) if *ms >= 1.0 => format!("-BUSY {}\r\n", ms.ceil() as u64),
            Verdict::Busy(_) => "-BUSY\r\n".to_string(),
            Verdict::Failed(why) => format!("-ERR {why}\r\n"),
            Verdict::ServedElsewhere { retry_after: wait, name, resp: Some(address), .. } => {
                format!("-BUSY {} MOVED {name} {address}\r\n", wait.ceil() as u64)
            }
            Verdict::ServedElsewhere { retry_after: wait, name, .. } => {
                format!("-BUSY {} MOVED {name}\r\n", wait.ceil() as u64)
            }
        };
        c.answer(now, text.as_bytes());
        (c.awaiting, c.stalled_since) = (None, None);
        c.served |= !matches!(verdict, Verdict::Failed(_));
        // While draining, a connection is closed once its answer is written.
        c.closing |= self.draining && c.has_no_input();
        self.serve(now, index, core);
    }

    /// Refuses all submissions from now on: the process ends once those that were accepted are answered.
    pub fn refuse(&mut self) {
        self.refusing = true;
    }

    /// Stops reading because the process is ending; what has arrived until now is refused. Input that was not read is reset with the connection, so
    /// that its client submits it elsewhere; commands that were read ahead are refused.
    pub fn stop(&mut self, now: Ms, core: &mut Core) {
        let all: Vec<usize> = self.conns.iter().map(|(index, _)| index).collect();
        self.refusing = true;
        all.iter().for_each(|index| self.serve(now, *index, core));
        self.stopped = true;
        all.into_iter().for_each(|index| self.serve(now, index, core));
    }

    /// Accepts clients again after a drain.
    pub fn undrain(&mut self) {
        self.draining = false;
    }

    /// Whether the front end is draining.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Starts draining: `PING` answers an error, idle connections are closed now and the others once they
    /// have their answer.
    pub fn drain(&mut self, now: Ms, core: &mut Core) {
        self.draining = true;
        let all: Vec<usize> = self.conns.iter().map(|(index, _)| index).collect();
        for index in all {
            self.serve(now, index, core);
            if self.conns.get(index).is_some_and(Conn::is_idle) {
                self.close(now, index, CloseReason::Draining, core);
            }
        }
    }
}
