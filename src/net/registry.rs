//! The watch on the registry: an endless response with one JSON object per line, requested again when it
//! breaks.

use super::head::{head, HEAD_MAX};
use super::reactor::Reactor;
use super::stream::{Fill, Stream};
use super::{token, SourceKind};
use crate::api::{Ms, Settings};
use crate::config::{self, EndpointList, Names, Node};
use crate::fleet::{RegistryBackoff, RequestFailure};
use crate::logging::LogThrottle;
use crate::recovery::RevisionCheck;
use crate::state::Random;
use std::net::SocketAddr;
use std::rc::Rc;

/// Milliseconds of silence after which the watch is opened again. The registry sends a line every two
/// seconds, and a change that was missed counts as known to this process 6 s after the silence began; the
/// value allows for two missing lines and leaves time for a new request.
const SILENCE_TIMEOUT: Ms = 4_400.0;
/// Number of reads in one turn, so that connections get theirs.
const READS_PER_TURN: usize = 16;
/// Number of endpoint lists in one turn: each has all endpoints looked through.
const LISTS_PER_TURN: usize = 16;

/// One JSON object, assembled line by line.
#[derive(Debug, Default)]
struct Object {
    text: Vec<u8>,
    /// Number of brackets still open.
    depth: usize,
    /// The last line ended within a string, where JSON allows no line break; the parser reports it.
    in_string: bool,
}

impl Object {
    /// Appends one line; true once no bracket is open, which also holds after an empty line.
    fn add(&mut self, line: &[u8]) -> bool {
        let mut escaped = false;
        for b in line {
            match (self.in_string, escaped, b) {
                (true, true, _) => escaped = false,
                (true, false, b'\\') => escaped = true,
                (_, _, b'"') => self.in_string = !self.in_string,
                (false, _, b'{' | b'[') => self.depth += 1,
                (false, _, b'}' | b']') => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
        }
        self.text.extend_from_slice(line);
        self.depth == 0 || self.in_string
    }
}

/// The watch on the registry.
#[derive(Debug)]
pub struct RegistryWatch {
    /// `None` if there is no registry; then nothing is watched.
    address: Option<SocketAddr>,
    stream: Option<Stream>,
    /// The request has been queued.
    request_queued: bool,
    /// The head of the response has been read.
    response_begun: bool,
    chunked: bool,
    /// Number of bytes left in the current chunk.
    chunk: usize,
    line: Vec<u8>,
    /// The current object; an endpoint list may be indented over many lines.
    object: Object,
    /// Revision of the current endpoint list.
    rev: u64,
    revisions: RevisionCheck,
    /// The registry reported that the endpoint list has not changed.
    current: bool,
    /// When the registry last sent something.
    last_received: Ms,
    open_at: Ms,
    asking: RegistryBackoff,
    random: Random,
    /// Retry-after wait of a rejected request in milliseconds, 0 if it named none; `None` if the request was
    /// not rejected.
    rejected_wait: Option<Ms>,
    /// Limits the log about a watch that ended.
    failure_log: LogThrottle,
}

impl RegistryWatch {
    /// Creates a watch that continues from a revision. The first request is delayed, so that dispatchers with
    /// these settings do not all send theirs at once.
    ///
    /// `older`: for how many milliseconds older endpoint lists are rejected.
    pub fn new(
        now: Ms,
        address: Option<SocketAddr>,
        rev: u64,
        settings: &Settings,
        older: Ms,
    ) -> RegistryWatch {
        let asking = RegistryBackoff::new(settings.dispatchers, settings.drain_grace);
        let mut random = Random::new(settings.seed);
        // Without an endpoint list nothing can be served, so the delay is short among the dispatchers that
        // may start with one.
        let delay = if rev > 0 {
            asking.start_delay_with_cached_list(random.next())
        } else {
            asking.start_delay_without_list(random.next())
        };
        RegistryWatch {
            address,
            stream: None,
            request_queued: false,
            response_begun: false,
            chunked: false,
            chunk: 0,
            line: Vec::new(),
            object: Object::default(),
            rev,
            revisions: RevisionCheck::new(rev, older),
            current: false,
            last_received: 0.0,
            open_at: now + delay,
            asking,
            random,
            rejected_wait: None,
            failure_log: LogThrottle::default(),
        }
    }

    /// Moves the watch to another address: it is opened there at once and continues from the current
    /// revision.
    pub fn redirect(&mut self, address: Option<SocketAddr>) {
        (self.address, self.stream) = (address, None);
        self.revisions.reset();
        self.open_at = 0.0;
        self.asking.record_answer();
    }

    /// Time at which [`RegistryWatch::tick`] is due.
    pub fn next_due(&self) -> Ms {
        if self.address.is_none() {
            f64::MAX
        } else if self.stream.is_some() {
            self.last_received
                + if self.response_begun { SILENCE_TIMEOUT } else { self.asking.answer_timeout() }
        } else {
            self.open_at
        }
    }

    /// Opens the watch, or closes it after too long a silence.
    pub fn tick(&mut self, now: Ms, reactor: &Rc<Reactor>) {
        let Some(address) = self.address.filter(|_| self.next_due() <= now) else { return };
        if self.stream.is_some() {
            return self.handle_lost(now, "the registry was silent", RequestFailure::TimedOut);
        }
        (self.request_queued, self.response_begun, self.chunk, self.last_received, self.rejected_wait) =
            (false, false, 0, now, None);
        self.line.clear();
        self.object = Object::default();
        log::debug!(rev = self.rev; "requesting the watch on the registry");
        match Stream::connect(address, reactor, token(SourceKind::Registry, 0)) {
            Ok(stream) => self.stream = Some(stream),
            Err(e) => self.handle_lost(now, &e.to_string(), RequestFailure::Broken),
        }
    }

    fn handle_lost(&mut self, now: Ms, why: &str, reason: RequestFailure) {
        if let Some(count) = self.failure_log.record(now) {
            log::info!(cause = why, count = count; "the watch on the registry ended: {why}");
        }
        self.stream = None;
        let draw = self.random.next();
        self.open_at = now + self.asking.record_failure(reason, draw);
    }

    /// Handles an event on the connection; returns the endpoint lists received.
    pub fn ready(&mut self, now: Ms, names: &Names) -> Vec<EndpointList> {
        let mut lists = Vec::new();
        if let Err(why) = self.read(now, names, &mut lists) {
            let wait = self.rejected_wait.take();
            self.handle_lost(now, &why, wait.map_or(RequestFailure::Broken, RequestFailure::Refused));
        }
        lists
    }

    fn read(&mut self, now: Ms, names: &Names, lists: &mut Vec<EndpointList>) -> Result<(), String> {
        let Some(stream) = &mut self.stream else { return Ok(()) };
        if !stream.is_up().map_err(|e| e.to_string())? {
            return Ok(());
        }
        if !self.request_queued {
            self.request_queued = true;
            let (rev, host) = (self.rev, self.address.map_or(String::new(), |a| a.to_string()));
            let get = format!("GET /v1/endpoints?watch=1&after={rev} HTTP/1.1\r\nHost: {host}\r\n\r\n");
            stream.queue(get.as_bytes());
        }
        stream.flush().map_err(|e| e.to_string())?;
        for _ in 0..READS_PER_TURN {
            // What the last turn left comes first.
            self.read_lines(now, names, lists)?;
            if lists.len() >= LISTS_PER_TURN {
                break;
            }
            let Some(stream) = &mut self.stream else { return Ok(()) };
            let fill = stream.fill(64 * 1024);
            if !stream.read_buf.is_empty() {
                self.last_received = now;
            }
            if !self.response_begun {
                match head(&stream.read_buf).map_err(|e| e.to_string())? {
                    None if stream.read_buf.len() > HEAD_MAX => {
                        return Err("the response head is too long".into())
                    }
                    None => {}
                    Some(h) if h.code != 200 => {
                        self.rejected_wait = Some(h.wait);
                        return Err(format!("status {}, retry after {} ms", h.code, h.wait));
                    }
                    Some(h) => {
                        stream.read_buf.drain(..h.size);
                        log::debug!(rev = self.rev; "the watch on the registry has begun");
                        (self.response_begun, self.chunked) = (true, h.chunked);
                        self.asking.record_answer();
                        self.failure_log.reset();
                    }
                }
            }
            if self.response_begun {
                self.unchunk()?;
                self.read_lines(now, names, lists)?;
            }
            match fill {
                Fill::Blocked if lists.len() < LISTS_PER_TURN => return Ok(()),
                Fill::Blocked => break,
                Fill::Ended => return Err("the connection was closed or broke".into()),
                Fill::Full => {}
            }
        }
        if let Some(stream) = &self.stream {
            stream.serve_again();
        }
        Ok(())
    }

    /// Maximum size of a line, and of an object, in bytes.
    fn max_line(&self) -> usize {
        self.stream.as_ref().map_or(0, |stream| stream.memory().plan().endpoint_list)
    }

    /// Moves the received part of the body to the line buffer.
    fn unchunk(&mut self) -> Result<(), String> {
        let Some(stream) = &mut self.stream else { return Ok(()) };
        let read_buf = &mut stream.read_buf;
        if !self.chunked {
            self.line.append(read_buf);
            return Ok(());
        }
        loop {
            let taken = self.chunk.min(read_buf.len());
            self.line.extend(read_buf.drain(..taken));
            self.chunk -= taken;
            if self.chunk > 0 || read_buf.is_empty() {
                return Ok(());
            }
            // The line break that ends a chunk precedes the size of the next one.
            let skipped = if read_buf.starts_with(b"\r\n") { 2 } else { 0 };
            match httparse::parse_chunk_size(&read_buf[skipped..]) {
                Ok(httparse::Status::Complete((used, size))) => {
                    read_buf.drain(..skipped + used);
                    self.chunk = usize::try_from(size).map_err(|_| "a chunk is too large")?;
                    if size == 0 {
                        return Err("the response body ended".into());
                    }
                }
                Ok(httparse::Status::Partial) => return Ok(()),
                Err(_) => return Err("a chunk size cannot be parsed".into()),
            }
        }
    }

    /// Number of endpoint lists that were rejected for an older revision.
    pub fn older_lists(&self) -> u64 {
        self.revisions.rejected
    }

    /// Revision of the current endpoint list.
    pub fn rev(&self) -> u64 {
        self.rev
    }

    /// Whether the registry has reported an unchanged endpoint list since the last call.
    pub fn take_current(&mut self) -> bool {
        std::mem::take(&mut self.current)
    }

    /// Takes the endpoint lists that have arrived whole, up to the share of a turn.
    fn read_lines(&mut self, now: Ms, names: &Names, lists: &mut Vec<EndpointList>) -> Result<(), String> {
        let received = std::mem::take(&mut self.line);
        let mut taken = 0;
        while lists.len() < LISTS_PER_TURN {
            let Some(end) = received[taken..].iter().position(|b| *b == b'\n') else { break };
            let line = &received[taken..=taken + end];
            taken += end + 1;
            lists.extend(self.read_line(now, names, line)?);
        }
        self.line = received[taken..].to_vec();
        if lists.len() < LISTS_PER_TURN && self.line.len() > self.max_line() {
            return Err("a line is too long".into());
        }
        Ok(())
    }

    /// Adds a line to the current object; returns the endpoint list that it completes.
    fn read_line(&mut self, now: Ms, names: &Names, line: &[u8]) -> Result<Option<EndpointList>, String> {
        if !self.object.add(line) {
            if self.object.text.len() > self.max_line() {
                return Err("an endpoint list is too long".into());
            }
            return Ok(None);
        }
        let object = std::mem::take(&mut self.object).text;
        let text = std::str::from_utf8(&object).map_err(|e| e.to_string())?.trim();
        if text.is_empty() {
            self.current = true;
            return Ok(None);
        }
        let value = config::parse_json("registry", text).map_err(|e| e.to_string())?;
        let list =
            config::parse_endpoint_list(&Node::root("registry", &value), names).map_err(|e| e.to_string())?;
        log::debug!(rev = list.revision, whole = list.is_complete, rows = list.endpoints.len(), from = self.rev; "the registry sent an endpoint list");
        self.check_revision(now, &list)?;
        if list.revision > 0 {
            self.rev = list.revision;
        }
        Ok(Some(list))
    }

    /// Checks that a list does not belong to an earlier state, or to another registry than the current list.
    fn check_revision(&mut self, now: Ms, list: &EndpointList) -> Result<(), String> {
        if !list.is_complete && list.revision > 0 && list.revision < self.rev {
            // A registry that has started over counts from the beginning: its changes need its own whole list.
            let before = std::mem::take(&mut self.rev);
            return Err(format!("a change of revision {} came after revision {before}", list.revision));
        }
        if !self.revisions.accept(now, list.revision) {
            return Err(format!(
                "endpoint list revision {} is older than the current revision {}",
                list.revision, self.rev
            ));
        }
        Ok(())
    }
}
