//! The acceptor for the platform's protocol: RESP2, a thin layer over the core.

use super::reactor::Reactor;
use super::stream::{Fill, Stream};
use super::{token, SourceKind};
use crate::api::Ms;
use crate::config;
use crate::dispatch::{Core, Submission, Ticket, Verdict};
use crate::guard::{self, Close};
use mio::net::TcpStream;
use slab::Slab;
use std::collections::HashMap;
use std::rc::Rc;

/// Parts of a command at most.
const PARTS_MOST: usize = 8;
/// Bytes of one part at most: the largest body.
const PART_MOST: usize = 64 * 1024;
/// Bytes of a line that announces a part or a count.
const LINE_MOST: usize = 32;
/// Bytes read ahead of what has been answered.
const READ_BUF_MAX: usize = PART_MOST + 8 * 1024;
/// Commands of one client that are served before others have their turn.
const COMMANDS_A_TURN: usize = 32;
/// A connection on which nothing could be served yet is closed after this. Guards against crowds that connect and say
/// nothing, half a command or nonsense: they are owed an end within 3 s, and usual clients ask as soon as they connect.
pub(super) const FIRST_REQUEST_TIMEOUT: Ms = 2_200.0;
/// Half a command, or answers that are not read, may stand so long.
const STALL_PATIENCE: Ms = 2_200.0;
/// Between two requests a connection is kept so long; some clients ask once and keep theirs for good.
const IDLE_PATIENCE: Ms = 20_000.0;
/// When room is short, a connection that said nothing yet goes after this before others do: a usual client's first
/// command is there by then.
const YOUNG: Ms = 100.0;
/// When room is short, an idle connection goes after this: many clients ask once and keep theirs all the same.
const LEFT: Ms = 2_000.0;
/// After an error the connection's end waits so long for the client to stop sending: bytes that meet a closed connection
/// would have the error line thrown away unread.
const LINGER: Ms = 1_000.0;
/// What still comes is read in such steps, 64 KiB each: enough to keep the client going, too slow to keep this side busy.
const LINGER_STEP: Ms = 20.0;

#[derive(Debug)]
struct Conn {
    stream: Stream,
    /// The command that is being answered.
    asked: Option<Ticket>,
    /// Closed once all is written.
    ending: bool,
    /// What came was no command and the client may be sending still.
    faulty: bool,
    /// All is written and this side has ended its sending; until then the rest is read and thrown away.
    lingers: Option<Ms>,
    /// A command was served here.
    served: bool,
    since: Ms,
    used: Ms,
    /// Since when half a command, or half an answer, stands.
    stuck: Option<Ms>,
}

impl Conn {
    /// As the rules on closing see it.
    fn guarded(&self, now: Ms) -> guard::Connection {
        guard::Connection {
            awaits_answer: self.asked.is_some(),
            unwritten: self.stream.unwritten(),
            stalled: self.stuck.is_some_and(|since| now - since >= STALL_PATIENCE),
        }
    }

    /// Answers the commands that were read and not begun. Guards against a connection that ends over a request that was read:
    /// its client takes it for lost, where a refusal says that it may come again.
    fn refuse_rest(&mut self, core: &mut Core) {
        while self.asked.is_none() {
            let Parse::Whole(parts, used) = parse(&self.stream.read_buf) else { break };
            self.stream.read_buf.drain(..used);
            let refused = parts[0].eq_ignore_ascii_case(b"SUBMIT");
            core.counters.busy += u64::from(refused);
            self.stream.queue(if refused { b"-BUSY\r\n" } else { b"-ERR draining\r\n" });
        }
        if let Err(e) = self.stream.flush() {
            log::debug!(cause:% = e; "a client has gone before its last answers");
        }
    }

    fn is_idle(&self) -> bool {
        self.asked.is_none() && self.stream.read_buf.is_empty() && self.stream.unwritten() == 0
    }

    /// When it is closed, or what lingers is read on.
    fn due(&self) -> Ms {
        match (self.lingers, self.stuck) {
            (Some(since), _) => (self.used + LINGER_STEP).min(since + LINGER),
            _ if self.asked.is_some() => f64::MAX,
            (_, stuck) => {
                let stalled = stuck.map_or(f64::MAX, |t| t + STALL_PATIENCE);
                let idle =
                    if self.served { self.used + IDLE_PATIENCE } else { self.since + FIRST_REQUEST_TIMEOUT };
                stalled.min(idle)
            }
        }
    }
}

/// The connections of clients.
#[derive(Debug)]
pub struct RespClients {
    conns: Slab<Conn>,
    asked: HashMap<Ticket, usize>,
    next_ticket: Ticket,
    /// Connections with commands that wait for the next turn.
    more: Vec<usize>,
    most: usize,
    draining: bool,
    /// The process ends: what was read is answered and nothing more is read.
    stopped: bool,
}

/// The parts of a command, and the bytes that it took.
type Command = (Vec<Vec<u8>>, usize);

/// A command, or why there is none.
enum Parse {
    Whole(Vec<Vec<u8>>, usize),
    More,
    Bad(&'static str),
}

/// A line up to CR LF that starts with the mark; its number, and where the next one starts.
fn number(bytes: &[u8], at: usize, mark: u8) -> Result<Option<(usize, usize)>, &'static str> {
    let rest = &bytes[at.min(bytes.len())..];
    if rest.first().is_some_and(|b| *b != mark) {
        return Err("Protocol error: an array of bulk strings was expected");
    }
    let Some(end) = rest.windows(2).take(LINE_MOST).position(|w| w == b"\r\n") else {
        return if rest.len() > LINE_MOST { Err("Protocol error: a length is too long") } else { Ok(None) };
    };
    let digits = std::str::from_utf8(&rest[1..end]).ok().filter(|d| d.bytes().all(|b| b.is_ascii_digit()));
    match digits.and_then(|d| d.parse().ok()) {
        Some(n) => Ok(Some((n, at + end + 2))),
        None => Err("Protocol error: invalid length"),
    }
}

fn parse(bytes: &[u8]) -> Parse {
    let inner = || -> Result<Option<Command>, &'static str> {
        let Some((count, mut at)) = number(bytes, 0, b'*')? else { return Ok(None) };
        if count == 0 || count > PARTS_MOST {
            return Err("Protocol error: wrong number of parts");
        }
        let mut parts = Vec::with_capacity(count);
        for _ in 0..count {
            let Some((len, start)) = number(bytes, at, b'$')? else { return Ok(None) };
            if len > PART_MOST {
                return Err("Protocol error: a part is too large");
            }
            let Some(part) = bytes.get(start..start + len) else { return Ok(None) };
            match bytes.get(start + len..start + len + 2) {
                Some(b"\r\n") => parts.push(part.to_vec()),
                Some(_) => return Err("Protocol error: a part is longer than announced"),
                None => return Ok(None),
            }
            at = start + len + 2;
        }
        Ok(Some((parts, at)))
    };
    match inner() {
        Ok(Some((parts, used))) => Parse::Whole(parts, used),
        Ok(None) => Parse::More,
        Err(why) => Parse::Bad(why),
    }
}

/// Reads a SUBMIT's parts: key, id, options and body.
fn submission(parts: Vec<Vec<u8>>) -> Result<Submission, String> {
    let [_, key, id, options, body]: [Vec<u8>; 5] =
        parts.try_into().map_err(|_| "wrong number of arguments for 'submit'".to_string())?;
    let text =
        |bytes: Vec<u8>, what: &str| String::from_utf8(bytes).map_err(|_| format!("{what} is no text"));
    let (key, id, options) = (text(key, "the key")?, text(id, "the id")?, text(options, "the options")?);
    let given = config::options(&options).ok_or("options are name=value pairs")?;
    let number =
        |name: &str| given.get(name).map(|v| v.parse::<u64>().map_err(|_| format!("bad {name}"))).transpose();
    let mark = |name: &str| given.get(name) == Some(&"1");
    let key = u64::from_str_radix(&key, 16).map_err(|_| "the key is not made of hex digits")?;
    Ok(Submission {
        identity: (String::new(), id),
        class: given.get("c").ok_or("c is missing")?.to_string(),
        tenant: given.get("t").unwrap_or(&"").to_string(),
        key: Some(key).filter(|k| *k != 0),
        idempotency: given.get("k").unwrap_or(&"").to_string(),
        dest: number("dest")?.ok_or("dest is missing")?,
        left: number("d")?.map(|d| d as Ms),
        again: mark("r") || mark("again"),
        reply: Vec::new(),
        body,
    })
}

impl RespClients {
    /// No connection yet, and so many at most.
    pub fn new(most: usize) -> RespClients {
        let (conns, asked, more) = (Slab::new(), HashMap::new(), Vec::new());
        RespClients { conns, asked, next_ticket: 0, more, most, draining: false, stopped: false }
    }

    /// Open connections.
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// Is no connection open?
    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    /// Makes room once there are too many clients; false if nobody can go and new ones must wait where the system keeps
    /// them. That is the last resort: it keeps few, and who finds no place there is silently put off for a second.
    pub fn room(&mut self, now: Ms, core: &mut Core) -> bool {
        while self.conns.len() > self.most {
            let Some(at) = self.spare(now, core) else { return false };
            if !self.close(now, at, Close::NoRoom, core) {
                return false;
            }
        }
        true
    }

    /// The connection that goes first: one that has had nothing served for a while, one that was served and is left
    /// idle, a newer one, and only then one that is in use.
    fn spare(&mut self, now: Ms, core: &mut Core) -> Option<usize> {
        let stranger = |c: &Conn| c.lingers.is_some() || (!c.served && c.asked.is_none());
        let pick = |all: &RespClients, fits: &dyn Fn(&Conn) -> bool, since: &dyn Fn(&Conn) -> Ms| {
            let all = all.conns.iter().filter(|(_, c)| fits(c));
            all.min_by(|a, b| since(a.1).total_cmp(&since(b.1))).map(|c| c.0)
        };
        let old = |c: &Conn| stranger(c) && now - c.since >= YOUNG;
        let left = |c: &Conn| c.served && c.is_idle() && now - c.used >= LEFT;
        while let Some(at) = pick(self, &old, &|c| c.since).or_else(|| pick(self, &left, &|c| c.used)) {
            if self.still(now, at, core, &|c| old(c) || left(c)) {
                return Some(at);
            }
        }
        let mut young: Vec<(Ms, usize)> =
            self.conns.iter().filter(|(_, c)| stranger(c)).map(|(at, c)| (c.since, at)).collect();
        // A few newcomers among many clients are clients too, whose first command is on its way; only a crowd is not.
        // Who was served and loses an idle connection asks again on a new one.
        let idle = |c: &Conn| c.served && c.is_idle();
        while young.len() * 2 < self.most {
            let Some(at) = pick(self, &idle, &|c| c.used) else { break };
            if self.still(now, at, core, &idle) {
                return Some(at);
            }
        }
        young.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, at) in young {
            if self.still(now, at, core, &stranger) {
                return Some(at);
            }
        }
        while let Some(at) = pick(self, &Conn::is_idle, &|c| c.used) {
            if self.still(now, at, core, &Conn::is_idle) {
                return Some(at);
            }
        }
        None
    }

    /// Reads what has come on a connection that is about to be closed: is it closed, or may be closed, all the same? Guards
    /// against a close that overtakes a request.
    fn still(&mut self, now: Ms, at: usize, core: &mut Core, fits: &dyn Fn(&Conn) -> bool) -> bool {
        self.ready(now, at, core);
        self.conns.get(at).is_none_or(fits)
    }

    /// A client has connected.
    pub fn accept(&mut self, now: Ms, tcp: TcpStream, reactor: &Rc<Reactor>) {
        let entry = self.conns.vacant_entry();
        match Stream::accepted(tcp, reactor, token(SourceKind::RespClient, entry.key())) {
            Ok(stream) => {
                let fresh = Conn {
                    stream,
                    asked: None,
                    ending: false,
                    faulty: false,
                    lingers: None,
                    served: false,
                    since: now,
                    used: now,
                    stuck: None,
                };
                entry.insert(fresh);
            }
            Err(e) => log::warn!("a client's connection cannot be served: {e}"),
        }
    }

    /// Closes a connection, if the rules allow it for this cause; true once it is gone.
    fn close(&mut self, now: Ms, at: usize, why: Close, core: &mut Core) -> bool {
        let Some(c) = self.conns.get(at) else { return true };
        if let Err(reason) = core.guard.note(guard::may_close(&c.guarded(now), why)) {
            log::warn!(conn = at, cause = why.name(); "a client's connection is not closed: {}", reason.name());
            return false;
        }
        core.guard.closed(why);
        log::debug!(conn = at, cause = why.name(), served = c.served, unread = c.stream.read_buf.len();
            "a client's connection is closed");
        if let Some(ticket) = self.conns.remove(at).asked {
            self.asked.remove(&ticket);
        }
        true
    }

    /// The process ends: connections whose answer is still owed. There are none, unless this program is wrong.
    pub fn count_owed(&self, core: &mut Core) {
        for (at, _) in self.conns.iter().filter(|(_, c)| c.asked.is_some()) {
            core.guard.violated(guard::Reason::AnswerOwed);
            log::error!(conn = at; "the process ends and a client's answer is owed");
        }
    }

    /// When [`RespClients::tick`] has something to do.
    pub fn next_due(&self) -> Option<Ms> {
        let due = self.conns.iter().map(|(_, c)| c.due()).min_by(f64::total_cmp);
        if self.more.is_empty() {
            due.filter(|t| *t < f64::MAX)
        } else {
            Some(0.0)
        }
    }

    /// Goes on with clients that had more commands than one turn takes, and closes connections whose time is up.
    pub fn tick(&mut self, now: Ms, core: &mut Core) {
        for at in std::mem::take(&mut self.more) {
            self.ready(now, at, core);
        }
        let due: Vec<usize> = self.conns.iter().filter(|(_, c)| c.due() <= now).map(|(at, _)| at).collect();
        for at in due {
            let Some(c) = self.conns.get_mut(at) else { continue };
            let Some(since) = c.lingers else {
                // A request may have come in this very moment.
                if self.still(now, at, core, &|c| c.due() <= now) {
                    self.close(now, at, Close::TimedOut, core);
                }
                continue;
            };
            c.used = now;
            let over = now - since >= LINGER || c.stream.fill(PART_MOST) == Fill::Ended;
            c.stream.read_buf.clear();
            if over {
                self.close(now, at, Close::Answered, core);
            }
        }
    }

    /// Something happened on a connection.
    pub fn ready(&mut self, now: Ms, at: usize, core: &mut Core) {
        for _ in 0..COMMANDS_A_TURN {
            let Some(c) = self.conns.get_mut(at).filter(|c| c.lingers.is_none()) else { return };
            if c.stream.flush().is_err() {
                self.close(now, at, Close::ByClient, core);
                return;
            }
            if self.stopped {
                return c.refuse_rest(core);
            }
            // Guards against a client that asks without end and reads nothing.
            if c.asked.is_some() || c.stream.unwritten() > 0 {
                c.stuck = Some(c.stuck.unwrap_or(now)).filter(|_| c.asked.is_none());
                return;
            }
            if c.ending {
                c.stream.finish();
                if !c.faulty {
                    self.close(now, at, Close::Answered, core);
                    return;
                }
                (c.lingers, c.used) = (Some(now), now);
                return;
            }
            let fill = c.stream.fill(READ_BUF_MAX);
            let parsed = match parse(&c.stream.read_buf) {
                Parse::More if fill == Fill::Full => Parse::Bad("Protocol error: the command is too large"),
                parsed => parsed,
            };
            match parsed {
                Parse::Whole(parts, used) => {
                    c.stream.read_buf.drain(..used);
                    (c.used, c.stuck) = (now, None);
                    self.command(now, at, parts, core);
                }
                Parse::Bad(why) => {
                    core.counters.malformed += 1;
                    c.stream.queue(format!("-ERR {why}\r\n").as_bytes());
                    c.stream.read_buf.clear();
                    (c.ending, c.faulty) = (true, true);
                }
                Parse::More if fill == Fill::Ended => {
                    self.close(now, at, Close::ByClient, core);
                    return;
                }
                Parse::More => {
                    c.stuck = if c.stream.read_buf.is_empty() { None } else { c.stuck.or(Some(now)) };
                    return;
                }
            }
        }
        self.more.push(at);
    }

    fn command(&mut self, now: Ms, at: usize, parts: Vec<Vec<u8>>, core: &mut Core) {
        let Some(c) = self.conns.get_mut(at) else { return };
        match parts[0].to_ascii_uppercase().as_slice() {
            // The front asks so whether to send clients here.
            b"PING" if self.draining => {
                c.stream.queue(b"-ERR draining\r\n");
                c.ending = c.stream.read_buf.is_empty();
            }
            b"PING" if core.is_catching_up() => {
                c.served = true;
                c.stream.queue(b"-ERR catching up\r\n");
            }
            b"PING" => {
                c.served = true;
                match parts.get(1) {
                    None => c.stream.queue(b"+PONG\r\n"),
                    Some(echo) => {
                        c.stream.queue(format!("${}\r\n", echo.len()).as_bytes());
                        c.stream.queue(echo);
                        c.stream.queue(b"\r\n");
                    }
                }
            }
            b"SUBMIT" => match submission(parts) {
                Ok(s) => {
                    let ticket = self.next_ticket * 2;
                    self.next_ticket += 1;
                    c.asked = Some(ticket);
                    self.asked.insert(ticket, at);
                    core.submit(now, ticket, s);
                }
                Err(why) => {
                    core.counters.malformed += 1;
                    c.stream.queue(format!("-ERR {why}\r\n").as_bytes());
                }
            },
            b"QUIT" => {
                c.stream.queue(b"+OK\r\n");
                c.ending = true;
            }
            _ => {
                core.counters.malformed += 1;
                c.stream.queue(b"-ERR unknown command\r\n");
            }
        }
    }

    /// A verdict for a client that waits.
    pub fn answer(&mut self, now: Ms, ticket: Ticket, verdict: &Verdict, core: &mut Core) {
        let Some(at) = self.asked.remove(&ticket) else { return };
        let Some(c) = self.conns.get_mut(at) else { return };
        let text = match verdict {
            Verdict::Taken => "+OK\r\n".to_string(),
            Verdict::Busy(ms) if *ms >= 1.0 => format!("-BUSY {}\r\n", ms.ceil() as u64),
            Verdict::Busy(_) => "-BUSY\r\n".to_string(),
            Verdict::Failed(why) => format!("-ERR {why}\r\n"),
            Verdict::Elsewhere { wait, name, resp: Some(at), .. } => {
                format!("-BUSY {} MOVED {name} {at}\r\n", wait.ceil() as u64)
            }
            Verdict::Elsewhere { wait, name, .. } => format!("-BUSY {} MOVED {name}\r\n", wait.ceil() as u64),
        };
        c.stream.queue(text.as_bytes());
        (c.asked, c.stuck) = (None, None);
        c.served |= !matches!(verdict, Verdict::Failed(_));
        // While draining, a connection ends once it has its answer.
        c.ending |= self.draining && c.stream.read_buf.is_empty();
        self.ready(now, at, core);
    }

    /// Reads nothing more: the process ends, and what is not read is reset with it, so that its client hands it in elsewhere.
    /// What was read ahead is refused.
    pub fn stop(&mut self, now: Ms, core: &mut Core) {
        self.stopped = true;
        let all: Vec<usize> = self.conns.iter().map(|(at, _)| at).collect();
        all.into_iter().for_each(|at| self.ready(now, at, core));
    }

    /// Takes clients again after a drain.
    pub fn undrain(&mut self) {
        self.draining = false;
    }

    /// Are clients sent away?
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Sends clients away: `PING` answers no, idle connections end now, others once they have their answer.
    pub fn drain(&mut self, now: Ms, core: &mut Core) {
        self.draining = true;
        let all: Vec<usize> = self.conns.iter().map(|(at, _)| at).collect();
        for at in all {
            self.ready(now, at, core);
            if self.conns.get(at).is_some_and(Conn::is_idle) {
                self.close(now, at, Close::Draining, core);
            }
        }
    }
}
