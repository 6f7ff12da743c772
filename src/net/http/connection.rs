//! One HTTP connection to an endpoint: the request that it carries, its response, and when it may carry the next one.

use super::super::closing::Closing;
use super::super::finding::{RequestKind, PROBE_TIMEOUT};
use super::super::head::Head;
use super::super::reuse::{ResponseHistory, COPY_MAX};
use super::super::stream::Stream;
use super::pending::Request;
use crate::api::{DestId, EndpointId, Ms};

/// Milliseconds within which a response must be complete, head and body, once its first byte has arrived;
/// endpoints write it in one go. Without this limit a head that never ends, or a body that is too short,
/// would hold a message until its deadline.
const RESPONSE_TIMEOUT: Ms = 500.0;
/// A reused connection that breaks within this many milliseconds of a request had been closed unnoticed while
/// it was idle. The other connections to that endpoint are as old and no better, and each would cost an
/// attempt.
const STALE_WITHIN: Ms = 10.0;

/// The times, in milliseconds, after which connections are closed.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Timeouts {
    /// Until a connection must be established.
    pub(super) connect: Ms,
    /// How long a connection is kept without a request.
    pub(super) idle: Ms,
}

/// A connection, and the request that it carries, if there is one.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) stream: Stream,
    /// Destination and endpoint. The connection belongs to the endpoint's id, not to its address, because
    /// another endpoint may get that address later.
    pub(super) target: (DestId, EndpointId),
    pub(super) up: bool,
    opened: Ms,
    /// The task of its request, and when that was ordered.
    pub(super) task: Option<(RequestKind, Ms)>,
    /// When the connection got its last request.
    begun: Ms,
    /// The request is not written after this time.
    pub(super) write_by: Ms,
    /// Id of the message, for the log.
    pub(super) id: String,
    /// Size of the request in bytes.
    pub(super) size: usize,
    pub(super) written: bool,
    /// When the first byte of the response arrived.
    pub(super) first_byte_at: Option<Ms>,
    /// Number of 1xx responses to the request so far.
    pub(super) interim: u32,
    /// Set when the task ended without a response and its endpoint may not know yet.
    pub(super) closing: Option<Closing>,
    /// Head of a response whose body is still incomplete.
    pub(super) head: Option<Head>,
    /// The start of the response: its head, and as much of its body as is needed to recognize a second copy.
    pub(super) response_start: Vec<u8>,
    /// Number of bytes of the body that were read.
    pub(super) body_read: u64,
    pub(super) idle_since: Ms,
    /// The responses so far.
    pub(super) history: ResponseHistory,
}

impl Connection {
    /// A connection that is being established.
    pub(super) fn new(now: Ms, stream: Stream, target: (DestId, EndpointId)) -> Connection {
        Connection {
            stream,
            target,
            up: false,
            opened: now,
            task: None,
            begun: now,
            write_by: f64::MAX,
            id: String::new(),
            size: 0,
            written: false,
            first_byte_at: None,
            interim: 0,
            closing: None,
            head: None,
            response_start: Vec::new(),
            body_read: 0,
            idle_since: now,
            history: ResponseHistory::default(),
        }
    }

    /// Gives the connection a request to write.
    pub(super) fn begin(&mut self, now: Ms, request: Request) {
        self.task = Some((request.task, request.started));
        self.begun = now;
        self.write_by = request.write_by;
        self.size = request.bytes.len();
        self.id = request.id;
        self.written = false;
        self.body_read = 0;
        self.first_byte_at = None;
        self.interim = 0;
        self.stream.queue(&request.bytes);
    }

    /// Takes the part of the body that is in the read buffer; a body means nothing.
    pub(super) fn take_body(&mut self) {
        let part = &self.stream.read_buf;
        let kept = part.len().min((COPY_MAX + 1).saturating_sub(self.response_start.len()));
        self.response_start.extend_from_slice(&part[..kept]);
        self.body_read += part.len() as u64;
        self.stream.discard_input();
    }

    /// Makes the connection idle after a complete response.
    pub(super) fn complete_response(&mut self, now: Ms) {
        let call = self.first_byte_at.unwrap_or(now) - self.begun;
        self.history.record(now, call, std::mem::take(&mut self.response_start));
        self.head = None;
        self.first_byte_at = None;
        self.idle_since = now;
    }

    /// Whether bytes have arrived that cannot belong to the response: an endpoint begins a call once the last
    /// byte of its request has arrived.
    pub(super) fn has_input_of_earlier_request(&self) -> bool {
        let is_unwritten = self.task.is_some() && !self.written;
        is_unwritten && self.history.has_response() && !self.stream.read_buf.is_empty()
    }

    /// Whether the connection had been closed unnoticed while it was idle: it broke as soon as a request was
    /// written to it.
    pub(super) fn is_stale(&self, now: Ms) -> bool {
        let at_once = now - self.begun < STALE_WITHIN && self.first_byte_at.is_none();
        at_once && self.begun > self.opened
    }

    /// When something has to be done although nothing arrives.
    pub(super) fn due(&self, timeouts: &Timeouts) -> Option<Ms> {
        if let Some(closing) = &self.closing {
            return Some(closing.until);
        }
        let timeout = self.first_byte_at.map(|t| t + RESPONSE_TIMEOUT);
        match self.task {
            Some(_) if !self.up => Some((self.opened + timeouts.connect).min(self.write_by)),
            Some((RequestKind::Delegation(..), _)) if !self.written => {
                Some(self.write_by.min(timeout.unwrap_or(f64::MAX))).filter(|t| *t < f64::MAX)
            }
            Some((RequestKind::Probe(_), started)) => {
                Some((started + PROBE_TIMEOUT).min(timeout.unwrap_or(f64::MAX)))
            }
            Some(_) => timeout,
            None => timeout.or(Some(self.idle_since + timeouts.idle)).filter(|t| *t < f64::MAX),
        }
    }
}
