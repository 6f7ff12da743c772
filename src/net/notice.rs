//! Notices to the platform: each is sent repeatedly until it is answered with status 204 or 200.

use super::head::{head, HEAD_MAX};
use super::reactor::Reactor;
use super::reuse::{ResponseHistory, ReuseDelay};
use super::stream::{Fill, Stream};
use super::{token, SourceKind};
use crate::api::Ms;
use crate::dispatch::FinalAnswer;
use crate::journal::{Ending, MessageNo};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use tinyjson::JsonValue;

/// Initial time limit, in milliseconds, for the response to a request. The platform answers at once; without
/// a response the connection is closed and the notices are sent again on a new one, so that a final answer
/// sent at its deadline still arrives within the 300 ms after it. The limit doubles with each failure in a
/// row.
const RESPONSE_TIMEOUT: Ms = 200.0;
/// Upper bound of that time limit, in milliseconds.
const RESPONSE_TIMEOUT_MAX: Ms = 1_000.0;
/// Initial delay, in milliseconds, before a failed request is sent again; it doubles with each failure in a row.
const RETRY_DELAY_FIRST: Ms = 50.0;
/// Upper bound of that delay, in milliseconds: once connections succeed again, pending notices are sent well
/// within the 300 ms that a notice has.
const RETRY_DELAY_MAX: Ms = 100.0;
/// Maximum number of notices in one request.
const BATCH_MAX: usize = 64;

/// Pending notices and the connection that carries them.
#[derive(Debug)]
pub struct Notices {
    address: Option<SocketAddr>,
    pending: VecDeque<FinalAnswer>,
    /// Number of notices in the request in flight.
    in_flight: usize,
    stream: Option<Stream>,
    /// The responses on that connection.
    history: ResponseHistory,
    reuse_delay: ReuseDelay,
    since: Ms,
    open_at: Ms,
    retry_delay: Ms,
    /// How long, in milliseconds, the request in flight may go unanswered.
    timeout: Ms,
    /// Whether each request carries only one notice, set after a request that the platform did not accept.
    one_by_one: bool,
}

fn line(told: &FinalAnswer) -> String {
    let mut map = HashMap::from([("message".to_string(), JsonValue::from(told.identity.1.clone()))]);
    let outcome = match told.ending {
        Ending::Returned(wait) => {
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
    /// Creates a queue without notices.
    pub fn new(address: Option<SocketAddr>) -> Notices {
        Notices {
            address,
            pending: VecDeque::new(),
            in_flight: 0,
            stream: None,
            history: ResponseHistory::default(),
            reuse_delay: ReuseDelay::default(),
            since: 0.0,
            open_at: 0.0,
            retry_delay: RETRY_DELAY_FIRST,
            timeout: RESPONSE_TIMEOUT,
            one_by_one: false,
        }
    }

    /// Moves to another address. The request in flight is sent again there, because its response may never
    /// arrive here.
    pub fn redirect(&mut self, address: Option<SocketAddr>) {
        (self.address, self.stream, self.in_flight) = (address, None, 0);
        (self.open_at, self.retry_delay, self.timeout) = (0.0, RETRY_DELAY_FIRST, RESPONSE_TIMEOUT);
    }

    /// Takes all pending notices, for another way of reporting them.
    pub fn take_pending(&mut self) -> Vec<FinalAnswer> {
        self.in_flight = 0;
        self.pending.drain(..).collect()
    }

    /// Adds a notice to the queue.
    pub fn push(&mut self, told: FinalAnswer) {
        self.pending.push_back(told);
    }

    /// Time at which [`Notices::tick`] is due.
    pub fn next_due(&self) -> Option<Ms> {
        if self.address.is_none() {
            None
        } else if self.in_flight > 0 {
            Some(self.since + self.timeout)
        } else if self.pending.is_empty() {
            None
        } else {
            Some(self.open_at)
        }
    }

    /// Sends pending notices, and abandons a request without a response.
    pub fn tick(&mut self, now: Ms, reactor: &Rc<Reactor>) {
        let Some(address) = self.address.filter(|_| self.next_due().is_some_and(|t| t <= now)) else {
            return;
        };
        if self.in_flight == 0 {
            self.discard_unsolicited_input(now);
            if self.open_at > now {
                return;
            }
        }
        if self.in_flight > 0 {
            self.timeout = (self.timeout * 2.0).min(RESPONSE_TIMEOUT_MAX);
            return self.schedule_retry(now);
        }
        if self.stream.is_none() {
            match Stream::connect(address, reactor, token(SourceKind::Notice, 0)) {
                Ok(stream) => (self.stream, self.history) = (Some(stream), ResponseHistory::default()),
                Err(_) => return self.schedule_retry(now),
            }
        }
        let Some(stream) = &mut self.stream else { return };
        log::debug!(owed = self.pending.len(), patience_ms = self.timeout, first = self.pending.front().map_or("", |t| t.identity.1.as_str());
            "sending notices");
        self.in_flight = self.pending.len().min(if self.one_by_one { 1 } else { BATCH_MAX });
        self.since = now;
        let body: String = self.pending.iter().take(self.in_flight).map(line).collect();
        let (host, len) = (address, body.len());
        let head = format!("POST /v1/outcomes HTTP/1.1\r\nHost: {host}\r\nContent-Length: {len}\r\n\r\n");
        stream.queue(head.as_bytes());
        stream.queue(body.as_bytes());
        match stream.is_up() {
            Ok(false) => {}
            Ok(true) if stream.flush().is_ok() => {}
            _ => self.schedule_retry(now),
        }
    }

    /// Handles bytes that arrived on the idle connection, or its end. After a second copy of the last response it can
    /// be reused a while later; after anything else it is closed.
    fn discard_unsolicited_input(&mut self, now: Ms) {
        let Some(stream) = &mut self.stream else { return };
        let fill = stream.fill(HEAD_MAX);
        if fill == Fill::Blocked && stream.read_buf.is_empty() {
            return;
        }
        let is_copy = self.history.discard_copy(now, &mut stream.read_buf, &mut self.reuse_delay);
        if fill == Fill::Blocked && is_copy {
            self.open_at = self.open_at.max(self.reusable_at(now));
        } else {
            self.stream = None;
            self.open_at = self.open_at.min(now);
        }
    }

    /// When the next request may be written to the connection.
    fn reusable_at(&self, now: Ms) -> Ms {
        self.history.reuse_wait(now, &self.reuse_delay).map_or(now, |wait| wait.until)
    }

    fn schedule_retry(&mut self, now: Ms) {
        log::debug!(out = self.in_flight, up = self.stream.as_mut().is_some_and(|s| s.is_up().unwrap_or(false)), waited_ms = now - self.since;
            "notices were not acknowledged and will be sent again");
        (self.stream, self.in_flight) = (None, 0);
        self.open_at = now + self.retry_delay;
        self.retry_delay = (self.retry_delay * 2.0).min(RETRY_DELAY_MAX);
    }

    /// Handles an event on the connection; returns the messages whose notices were acknowledged.
    pub fn ready(&mut self, now: Ms) -> Vec<MessageNo> {
        let Some(stream) = &mut self.stream else { return Vec::new() };
        match stream.is_up() {
            Ok(true) => {}
            Ok(false) => return Vec::new(),
            Err(_) => {
                self.schedule_retry(now);
                return Vec::new();
            }
        }
        let flushed = stream.flush();
        if self.in_flight == 0 {
            self.discard_unsolicited_input(now);
            return Vec::new();
        }
        let fill = stream.fill(HEAD_MAX);
        let answer = head(&stream.read_buf);
        match answer {
            Ok(Some(h)) => {
                let acknowledged: Vec<MessageNo> = match h.code {
                    204 | 200 => self.pending.drain(..self.in_flight).map(|t| t.message_no).collect(),
                    code => {
                        log::error!(outcome = code; "notices were answered with status {code}");
                        // Prevents one notice that the platform cannot read from blocking all others.
                        if self.one_by_one {
                            self.pending.rotate_left(1);
                        }
                        Vec::new()
                    }
                };
                self.one_by_one = acknowledged.is_empty();
                let whole = h.length.is_some_and(|l| h.size as u64 + l == stream.read_buf.len() as u64);
                self.history.record(now, now - self.since, std::mem::take(&mut stream.read_buf));
                self.in_flight = 0;
                if !(h.reusable && whole && fill == Fill::Blocked) {
                    self.stream = None;
                }
                if acknowledged.is_empty() {
                    self.schedule_retry(now);
                } else {
                    (self.retry_delay, self.timeout) = (RETRY_DELAY_FIRST, RESPONSE_TIMEOUT);
                    self.open_at = if self.stream.is_some() { self.reusable_at(now) } else { now };
                    log::debug!(count = acknowledged.len(), took_ms = now - self.since; "notices were acknowledged");
                }
                acknowledged
            }
            Ok(None) if flushed.is_ok() && fill == Fill::Blocked => Vec::new(),
            _ => {
                self.schedule_retry(now);
                Vec::new()
            }
        }
    }
}
