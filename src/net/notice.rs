//! Notices to the platform: each is sent again until it is answered 204.

use super::head::{head, HEAD_MAX};
use super::reactor::Reactor;
use super::stream::{Fill, Stream};
use super::{token, SourceKind};
use crate::api::Ms;
use crate::dispatch::Told;
use crate::journal::{CallNo, Ending};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use tinyjson::JsonValue;

/// An answer comes at once; without one for so long the connection is given up and the notices go again on a new one, so
/// that an end told at the last moment is heard within the 300 ms after it. Twice as long each time in a row.
const PATIENCE: Ms = 200.0;
const PATIENCE_MOST: Ms = 1_000.0;
const AGAIN_FIRST: Ms = 50.0;
/// Once connections come up again, what is owed is told well within the 300 ms that a notice has.
const AGAIN_MOST: Ms = 100.0;
const BATCH_MOST: usize = 64;

/// Notices that are owed, and the connection that carries them.
#[derive(Debug)]
pub struct Notices {
    address: Option<SocketAddr>,
    owed: VecDeque<Told>,
    /// Those in the request that is out.
    out: usize,
    stream: Option<Stream>,
    since: Ms,
    open_at: Ms,
    again: Ms,
    /// How long the request that is out may be without an answer.
    patience: Ms,
    /// One at a time, after a request that could not be read.
    single: bool,
}

fn line(told: &Told) -> String {
    let mut map = HashMap::from([("message".to_string(), JsonValue::from(told.identity.1.clone()))]);
    let outcome = match told.ending {
        Ending::HandedBack(wait) => {
            if wait >= 1.0 {
                map.insert("retry_in_ms".into(), wait.ceil().into());
            }
            "handed_back"
        }
        Ending::GivenUp | Ending::Delivered => "given_up",
    };
    map.insert("outcome".into(), JsonValue::from(outcome.to_string()));
    JsonValue::from(map).stringify().unwrap_or_default() + "\n"
}

impl Notices {
    /// Nothing owed yet.
    pub fn new(address: Option<SocketAddr>) -> Notices {
        Notices {
            address,
            owed: VecDeque::new(),
            out: 0,
            stream: None,
            since: 0.0,
            open_at: 0.0,
            again: AGAIN_FIRST,
            patience: PATIENCE,
            single: false,
        }
    }

    /// The platform is elsewhere from now on. A request that is out goes again there: its answer may never come here.
    pub fn redirect(&mut self, address: Option<SocketAddr>) {
        (self.address, self.stream, self.out) = (address, None, 0);
        (self.open_at, self.again, self.patience) = (0.0, AGAIN_FIRST, PATIENCE);
    }

    /// What is owed is told by somebody else from now on.
    pub fn take_owed(&mut self) -> Vec<Told> {
        self.out = 0;
        self.owed.drain(..).collect()
    }

    /// Owes one more.
    pub fn tell(&mut self, told: Told) {
        self.owed.push_back(told);
    }

    /// When [`Notices::tick`] has something to do.
    pub fn next_due(&self) -> Option<Ms> {
        if self.address.is_none() {
            None
        } else if self.out > 0 {
            Some(self.since + self.patience)
        } else if self.owed.is_empty() {
            None
        } else {
            Some(self.open_at)
        }
    }

    /// Sends what is owed, and gives up a request without an answer.
    pub fn tick(&mut self, now: Ms, reactor: &Rc<Reactor>) {
        let Some(address) = self.address.filter(|_| self.next_due().is_some_and(|t| t <= now)) else {
            return;
        };
        if self.out > 0 {
            self.patience = (self.patience * 2.0).min(PATIENCE_MOST);
            return self.lost(now);
        }
        if self.stream.is_none() {
            match Stream::connect(address, reactor, token(SourceKind::Notice, 0)) {
                Ok(stream) => self.stream = Some(stream),
                Err(_) => return self.lost(now),
            }
        }
        let Some(stream) = &mut self.stream else { return };
        log::debug!(owed = self.owed.len(), patience_ms = self.patience, first = self.owed.front().map_or("", |t| t.identity.1.as_str());
            "notices go out");
        self.out = self.owed.len().min(if self.single { 1 } else { BATCH_MOST });
        self.since = now;
        let body: String = self.owed.iter().take(self.out).map(line).collect();
        let (host, len) = (address, body.len());
        let head = format!("POST /v1/outcomes HTTP/1.1\r\nHost: {host}\r\nContent-Length: {len}\r\n\r\n");
        stream.queue(head.as_bytes());
        stream.queue(body.as_bytes());
        match stream.is_up() {
            Ok(false) => {}
            Ok(true) if stream.flush().is_ok() => {}
            _ => self.lost(now),
        }
    }

    fn lost(&mut self, now: Ms) {
        log::debug!(out = self.out, up = self.stream.as_mut().is_some_and(|s| s.is_up().unwrap_or(false)), waited_ms = now - self.since;
            "notices were not answered, and go again");
        (self.stream, self.out) = (None, 0);
        self.open_at = now + self.again;
        self.again = (self.again * 2.0).min(AGAIN_MOST);
    }

    /// Something happened on the connection; returns the calls whose notices were answered.
    pub fn ready(&mut self, now: Ms) -> Vec<CallNo> {
        let Some(stream) = &mut self.stream else { return Vec::new() };
        match stream.is_up() {
            Ok(true) => {}
            Ok(false) => return Vec::new(),
            Err(_) => {
                self.lost(now);
                return Vec::new();
            }
        }
        let flushed = stream.flush();
        let fill = stream.fill(HEAD_MAX);
        let answer = head(&stream.read_buf);
        if self.out == 0 {
            // Idle: the other side has closed it, or says what nobody asked for.
            if fill != Fill::Blocked || !stream.read_buf.is_empty() {
                self.stream = None;
            }
            return Vec::new();
        }
        match answer {
            Ok(Some(h)) => {
                let told: Vec<CallNo> = match h.code {
                    204 | 200 => self.owed.drain(..self.out).map(|t| t.no).collect(),
                    code => {
                        log::error!(outcome = code; "notices were answered {code}");
                        // Guards against one that cannot be read holding up all others.
                        if self.single {
                            self.owed.rotate_left(1);
                        }
                        Vec::new()
                    }
                };
                self.single = told.is_empty();
                let whole = h.length.is_some_and(|l| h.size as u64 + l == stream.read_buf.len() as u64);
                stream.read_buf.clear();
                self.out = 0;
                if !(h.reusable && whole && fill == Fill::Blocked) {
                    self.stream = None;
                }
                if told.is_empty() {
                    self.lost(now);
                } else {
                    (self.again, self.open_at, self.patience) = (AGAIN_FIRST, now, PATIENCE);
                    log::debug!(count = told.len(), took_ms = now - self.since; "notices were answered");
                }
                told
            }
            Ok(None) if flushed.is_ok() && fill == Fill::Blocked => Vec::new(),
            _ => {
                self.lost(now);
                Vec::new()
            }
        }
    }
}
