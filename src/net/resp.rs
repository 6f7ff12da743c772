//! The acceptor for the platform's protocol: RESP2, a thin layer over the core.

use super::stream::{Fill, Stream};
use super::{token, Kind};
use crate::api::Ms;
use crate::config;
use crate::dispatch::{Core, Submission, Ticket, Verdict};
use mio::net::TcpStream;
use mio::Registry;
use slab::Slab;
use std::collections::HashMap;

/// Parts of a command at most.
const PARTS_MOST: usize = 8;
/// Bytes of one part at most: the largest body.
const PART_MOST: usize = 64 * 1024;
/// Bytes of a line that announces a part or a count.
const LINE_MOST: usize = 32;
/// Bytes read ahead of what has been answered.
const INBOX_MOST: usize = PART_MOST + 8 * 1024;

#[derive(Debug)]
struct Conn {
    stream: Stream,
    /// The command that is being answered.
    asked: Option<Ticket>,
    /// Nothing more is read; closed once all is written.
    ending: bool,
    used: Ms,
}

/// The connections of clients.
#[derive(Debug)]
pub struct Acceptors {
    conns: Slab<Conn>,
    asked: HashMap<Ticket, usize>,
    next_ticket: Ticket,
    most: usize,
    draining: bool,
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

impl Acceptors {
    /// No connection yet, and so many at most.
    pub fn new(most: usize) -> Acceptors {
        Acceptors { conns: Slab::new(), asked: HashMap::new(), next_ticket: 0, most, draining: false }
    }

    /// Open connections.
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// Is no connection open?
    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    /// A client has connected. With too many, the one that has been silent for longest goes.
    pub fn accept(&mut self, now: Ms, tcp: TcpStream, registry: &Registry) {
        if self.conns.len() >= self.most {
            let idle = self.conns.iter().filter(|(_, c)| c.asked.is_none() && c.stream.inbox.is_empty());
            match idle.min_by(|a, b| a.1.used.total_cmp(&b.1.used)).map(|c| c.0) {
                Some(at) => self.close(at),
                None => return log::warn!("too many clients; a connection is turned away"),
            }
        }
        let entry = self.conns.vacant_entry();
        match Stream::accepted(tcp, registry, token(Kind::Acceptor, entry.key())) {
            Ok(stream) => {
                entry.insert(Conn { stream, asked: None, ending: false, used: now });
            }
            Err(e) => log::warn!("a client's connection cannot be served: {e}"),
        }
    }

    fn close(&mut self, at: usize) {
        if let Some(c) = self.conns.try_remove(at) {
            if let Some(t) = c.asked {
                self.asked.remove(&t);
            }
        }
    }

    /// Something happened on a connection.
    pub fn ready(&mut self, now: Ms, at: usize, core: &mut Core) {
        loop {
            let Some(c) = self.conns.get_mut(at) else { return };
            if c.stream.flush().is_err() {
                return self.close(at);
            }
            // Guards against a client that asks without end and reads nothing.
            if c.asked.is_some() || c.stream.unwritten() > 0 {
                return;
            }
            if c.ending {
                c.stream.finish();
                return self.close(at);
            }
            let fill = c.stream.fill(INBOX_MOST);
            let parsed = match parse(&c.stream.inbox) {
                Parse::More if fill == Fill::Full => Parse::Bad("Protocol error: the command is too large"),
                parsed => parsed,
            };
            match parsed {
                Parse::Whole(parts, used) => {
                    c.stream.inbox.drain(..used);
                    c.used = now;
                    self.command(now, at, parts, core);
                }
                Parse::Bad(why) => {
                    core.counters.malformed += 1;
                    c.stream.queue(format!("-ERR {why}\r\n").as_bytes());
                    c.stream.inbox.clear();
                    c.ending = true;
                }
                Parse::More if fill == Fill::Ended => return self.close(at),
                Parse::More => return,
            }
        }
    }

    fn command(&mut self, now: Ms, at: usize, parts: Vec<Vec<u8>>, core: &mut Core) {
        let Some(c) = self.conns.get_mut(at) else { return };
        match parts[0].to_ascii_uppercase().as_slice() {
            b"PING" => match parts.get(1) {
                None => c.stream.queue(b"+PONG\r\n"),
                Some(echo) => {
                    c.stream.queue(format!("${}\r\n", echo.len()).as_bytes());
                    c.stream.queue(echo);
                    c.stream.queue(b"\r\n");
                }
            },
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
        };
        c.stream.queue(text.as_bytes());
        c.asked = None;
        // While draining, a connection ends once it has its answer.
        c.ending |= self.draining && c.stream.inbox.is_empty();
        self.ready(now, at, core);
    }

    /// Ends idle connections, and all others after their next answer.
    pub fn drain(&mut self, now: Ms, core: &mut Core) {
        self.draining = true;
        let all: Vec<usize> = self.conns.iter().map(|(at, _)| at).collect();
        for at in all {
            self.ready(now, at, core);
            let idle = |c: &Conn| c.asked.is_none() && c.stream.inbox.is_empty() && c.stream.unwritten() == 0;
            if self.conns.get(at).is_some_and(idle) {
                self.close(at);
            }
        }
    }
}
