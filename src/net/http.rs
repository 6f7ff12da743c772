//! HTTP connections to endpoints: one request at a time on each, kept open while they are useful.

mod connection;
mod pending;

use super::closing::Closing;
use super::finding::{answered, ended, refused, EndpointEvent, RequestKind};
use super::head::{head, status, HEAD_MAX};
use super::reactor::Reactor;
use super::reuse::{ReuseDelay, ReuseWait};
use super::stream::{Fill, Stream};
use super::{token, SourceKind};
use crate::api::*;
use crate::dispatch::{Attempt, AttemptResult};
use crate::guard::{self, ClosedFirst, Confirmation, Reason};
use connection::{Connection, Timeouts};
use pending::{PendingRequests, Request};
use slab::Slab;
use std::collections::HashMap;
use std::fmt::Write as _;
use std::rc::Rc;

/// Milliseconds by which an idle connection is closed before the endpoint would close it: the endpoint's idle
/// clock started earlier.
const IDLE_MARGIN: Ms = 600.0;
/// Milliseconds within which a connection must be established if the settings do not say.
const DEFAULT_CONNECT_TIMEOUT: Ms = 1_000.0;
/// Maximum size of a response body in bytes; a response that announces more is malformed.
const BODY_MAX: u64 = 64 * 1024;
/// Maximum number of 1xx responses before a final response.
const INTERIM_MAX: u32 = 16;

/// All HTTP connections to endpoints.
#[derive(Debug)]
pub struct HttpEndpoints {
    conns: Slab<Connection>,
    idle: HashMap<EndpointId, Vec<usize>>,
    busy: HashMap<RequestKind, usize>,
    max: usize,
    timeouts: Timeouts,
    reuse_delay: ReuseDelay,
    /// Requests that wait for a connection to be reusable.
    pending: PendingRequests,
}

impl HttpEndpoints {
    /// Creates the set without connections; `max` bounds their number.
    pub fn new(settings: &Settings, max: usize) -> HttpEndpoints {
        let mut workers = HttpEndpoints {
            conns: Slab::new(),
            idle: HashMap::new(),
            busy: HashMap::new(),
            max,
            timeouts: Timeouts::default(),
            reuse_delay: ReuseDelay::default(),
            pending: PendingRequests::default(),
        };
        workers.apply_settings(settings);
        workers
    }

    /// Applies the timeouts of changed settings.
    pub fn apply_settings(&mut self, settings: &Settings) {
        let (connect, idle) = (settings.connect_timeout, settings.idle_timeout);
        self.timeouts = Timeouts {
            connect: if connect > 0.0 { connect } else { DEFAULT_CONNECT_TIMEOUT },
            idle: if idle > 0.0 { (idle - IDLE_MARGIN).max(idle / 2.0) } else { f64::MAX },
        };
    }

    /// Starts an attempt.
    pub fn start_attempt(
        &mut self,
        now: Ms,
        d: &Attempt,
        reactor: &Rc<Reactor>,
        findings: &mut Vec<EndpointEvent>,
    ) {
        let mut text = format!("POST /inbox HTTP/1.1\r\nHost: {}\r\nX-Txn: {}\r\n", d.address, d.id);
        if !d.idempotency_key.is_empty() {
            let _ = write!(text, "Idempotency-Key: {}\r\n", d.idempotency_key);
        }
        let patience = d.timeout.round().max(0.0) as u64;
        let _ = write!(text, "X-Remaining-Ms: {patience}\r\nContent-Length: {}\r\n\r\n", d.body.len());
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&d.body);
        let task = RequestKind::Delegation(d.message_no, d.attempt);
        let Ok(address) = d.address.parse() else {
            return findings.push(ended(task, Outcome::NoConnection, 0.0));
        };
        let request = Request {
            task,
            started: now,
            id: d.id.clone(),
            bytes,
            write_by: d.latest_write,
            address,
            target: (d.dest, d.endpoint),
            max_connections: d.max_connections.unwrap_or(u32::MAX),
            reactor: Rc::clone(reactor),
        };
        self.start(now, request, findings);
    }

    /// Starts a probe.
    pub fn probe(
        &mut self,
        now: Ms,
        target: (DestId, EndpointId),
        address: &str,
        reactor: &Rc<Reactor>,
        findings: &mut Vec<EndpointEvent>,
    ) {
        let text = format!("GET /health HTTP/1.1\r\nHost: {address}\r\n\r\n");
        let task = RequestKind::Probe(target.1);
        if self.busy.contains_key(&task) || self.pending.contains(&task) {
            return;
        }
        let Ok(address) = address.parse() else {
            return findings.push(ended(task, Outcome::NoConnection, 0.0));
        };
        let request = Request {
            task,
            started: now,
            id: String::new(),
            bytes: text.into_bytes(),
            write_by: f64::MAX,
            address,
            target,
            max_connections: 1,
            reactor: Rc::clone(reactor),
        };
        self.start(now, request, findings);
    }

    /// Gives a request to an idle connection or to a new one, or lets it wait until one can be reused.
    fn start(&mut self, now: Ms, request: Request, findings: &mut Vec<EndpointEvent>) {
        let index = match self.take_idle(now, request.target.1) {
            Some(index) => index,
            None => match self.reusable_at(now, &request) {
                Some(retry_at) => return self.pending.add(retry_at, request),
                None => match self.open(now, &request) {
                    Ok(index) => index,
                    Err(outcome) => {
                        return findings.push(ended(request.task, outcome, now - request.started));
                    }
                },
            },
        };
        let Some(c) = self.conns.get_mut(index) else { return };
        log::debug!(id = request.id.as_str(), task:? = request.task, conn = index, bytes = request.bytes.len(),
            kept = c.up, waited_ms = now - request.started; "a request is queued");
        self.busy.insert(request.task, index);
        c.begin(now, request);
        if self.conns[index].up {
            self.transfer(now, index, findings);
        }
    }

    /// When a request finds an idle connection that can be reused; `None` if it is given a new one instead. The
    /// delay before a connection is reused at most doubles the number of connections.
    fn reusable_at(&self, now: Ms, request: &Request) -> Option<Ms> {
        let idle = self.idle.get(&request.target.1)?;
        let connections = idle.iter().filter_map(|index| self.conns.get(*index));
        let mut waits: Vec<ReuseWait> =
            connections.filter_map(|c| c.history.reuse_wait(now, &self.reuse_delay)).collect();
        waits.sort_by(|a, b| a.until.total_cmp(&b.until));
        // Each request that waits already takes one of them.
        let ahead = self.pending.count(request.target);
        if let Some(wait) = waits.get(ahead).filter(|wait| wait.is_worth_it(now)) {
            return Some(wait.until);
        }
        let open = self.conns.iter().filter(|(_, c)| c.target == request.target).count();
        let busy = open.saturating_sub(idle.len());
        let most = (request.max_connections as usize).min(2 * (busy + 1));
        waits.get(ahead).or(waits.last()).filter(|_| open >= most).map(|wait| wait.until)
    }

    /// Takes the idle connection to an endpoint that was used last among those that may be reused now. Skips
    /// connections that were closed meanwhile or hold unsolicited bytes, which would be taken for the response to
    /// the next request.
    fn take_idle(&mut self, now: Ms, route: EndpointId) -> Option<usize> {
        loop {
            let idle = self.idle.get_mut(&route)?;
            let (conns, delay) = (&self.conns, &self.reuse_delay);
            let is_reusable = |index: &usize| {
                let wait = conns.get(*index).and_then(|c| c.history.reuse_wait(now, delay));
                wait.is_none_or(|wait| wait.until <= now)
            };
            let index = idle.remove(idle.iter().rposition(is_reusable)?);
            let Some(c) = self.conns.get_mut(index) else { continue };
            if c.stream.fill(1) == Fill::Blocked && c.stream.read_buf.is_empty() {
                return Some(index);
            }
            self.handle_unsolicited_input(now, index);
        }
    }

    /// Handles bytes that arrived on a connection without a request, or its end. After a second copy of its last
    /// response it stays; after anything else it is closed.
    fn handle_unsolicited_input(&mut self, now: Ms, index: usize) {
        let Some(c) = self.conns.get_mut(index) else { return };
        let fill = c.stream.fill(HEAD_MAX);
        let is_copy = c.history.discard_copy(now, &mut c.stream.read_buf, &mut self.reuse_delay);
        if !is_copy || fill != Fill::Blocked {
            return self.close(index);
        }
        let idle = self.idle.entry(c.target.1).or_default();
        idle.retain(|other| *other != index);
        idle.push(index);
    }

    /// Changes the maximum number of connections.
    pub fn set_max(&mut self, max: usize) {
        self.max = max;
    }

    fn open(&mut self, now: Ms, request: &Request) -> Result<usize, Outcome> {
        if self.conns.len() >= self.max {
            let oldest = self.conns.iter().filter(|(_, c)| c.task.is_none());
            let oldest = oldest.min_by(|a, b| a.1.idle_since.total_cmp(&b.1.idle_since)).map(|c| c.0);
            self.close(oldest.ok_or(Outcome::NotSent)?);
        }
        let (address, target) = (request.address, request.target);
        let entry = self.conns.vacant_entry();
        let index = entry.key();
        let token = token(SourceKind::Endpoint, index);
        let stream = Stream::connect(address, &request.reactor, token).map_err(|e| {
            log::debug!(worker:% = address, cause:% = e; "cannot connect to {address}: {e}");
            Outcome::NoConnection
        })?;
        log::debug!(worker:% = address, route = target.1, conn = index; "connecting to an endpoint");
        entry.insert(Connection::new(now, stream, target));
        Ok(index)
    }

    fn close(&mut self, index: usize) {
        if let Some(c) = self.conns.try_remove(index) {
            log::debug!(route = c.target.1, conn = index; "a connection to an endpoint is closed");
            if let Some(idle) = self.idle.get_mut(&c.target.1) {
                idle.retain(|i| *i != index);
                if idle.is_empty() {
                    self.idle.remove(&c.target.1);
                }
            }
            if let Some((task, _)) = c.task {
                self.busy.remove(&task);
            }
        }
    }

    /// Abandons a task by ending this side of its connection. The end is reported once the endpoint knows of
    /// it, or at once if the request was not fully written; a response that arrives meanwhile counts.
    pub fn abandon(
        &mut self,
        now: Ms,
        task: RequestKind,
        outcome: Outcome,
        findings: &mut Vec<EndpointEvent>,
    ) {
        for request in self.pending.take(|request| request.task == task) {
            findings.push(ended(task, Outcome::NotSent, now - request.started));
        }
        let Some(index) = self.busy.get(&task).copied() else { return };
        let Some(c) = self.conns.get_mut(index) else { return };
        if !c.up || !c.written {
            return self.end(now, index, Outcome::NoConnection, findings);
        }
        if c.closing.is_none() {
            c.stream.finish();
            self.await_confirmation(
                index,
                Closing::new(now, AttemptResult::new(outcome), ClosedFirst::Dispatcher),
            );
        }
    }

    /// Waits until the endpoint knows of the end of a written attempt, before the message is attempted
    /// elsewhere.
    fn await_confirmation(&mut self, index: usize, closing: Closing) {
        let Some(c) = self.conns.get_mut(index) else { return };
        log::debug!(id = c.id.as_str(), conn = index, bytes = c.size, ended_by = closing.first.name();
            "an attempt has ended; waiting until its endpoint knows");
        c.closing = Some(closing);
    }

    /// Reports the end of an attempt as pending: its slot at the endpoint is free, but the endpoint may not
    /// know yet.
    fn report_pending(&self, now: Ms, index: usize, findings: &mut Vec<EndpointEvent>) {
        let Some(c) = self.conns.get(index) else { return };
        if let (Some(closing), Some((task, started))) = (&c.closing, c.task) {
            findings.push(EndpointEvent::Ended {
                task,
                elapsed: now - started,
                result: closing.pending(now),
            });
        }
    }

    /// Reports that the endpoint, too, counts the attempt as ended.
    fn confirm(&mut self, now: Ms, index: usize, findings: &mut Vec<EndpointEvent>) {
        let Some(c) = self.conns.get_mut(index) else { return };
        if let (Some(closing), Some((task, started))) = (&c.closing, c.task) {
            log::debug!(id = c.id.as_str(), conn = index, ended_by = closing.first.name(), confirmed = closing.confirmation().name();
                "an attempt counts as ended at its endpoint");
            if closing.confirmation() == Confirmation::TimedOut {
                // Data that the system still holds for this connection is no longer wanted.
                c.stream.reset_on_close();
            }
            findings.push(EndpointEvent::Ended { task, elapsed: now - started, result: closing.confirmed() });
        }
        self.close(index);
    }

    /// Cancels attempts that are not fully written and are subject to a retry-after wait: they must not reach
    /// the endpoint now.
    pub fn cancel_unwritten(
        &mut self,
        now: Ms,
        dest: DestId,
        route: Option<EndpointId>,
        findings: &mut Vec<EndpointEvent>,
    ) {
        let cancelled = |c: &Connection| {
            !c.written && c.task.is_some() && c.target.0 == dest && route.is_none_or(|r| r == c.target.1)
        };
        let is_pending =
            |request: &Request| request.target.0 == dest && route.is_none_or(|r| r == request.target.1);
        for request in self.pending.take(is_pending) {
            findings.push(ended(request.task, Outcome::NotSent, now - request.started));
        }
        let due: Vec<usize> =
            self.conns.iter().filter(|(_, c)| cancelled(c)).map(|(index, _)| index).collect();
        due.into_iter().for_each(|index| self.end(now, index, Outcome::NotSent, findings));
    }

    /// Closes idle connections to an endpoint.
    pub fn close_idle(&mut self, route: EndpointId) {
        for index in self.idle.remove(&route).unwrap_or_default() {
            log::debug!(route = route, conn = index; "a connection to an endpoint is closed");
            self.conns.try_remove(index);
        }
    }

    /// Handles an event on a connection.
    pub fn ready(&mut self, now: Ms, index: usize, findings: &mut Vec<EndpointEvent>) {
        let Some(c) = self.conns.get_mut(index) else { return };
        if !c.up {
            match c.stream.is_up() {
                Ok(true) => c.up = true,
                Ok(false) => return,
                Err(_) => return self.end(now, index, Outcome::NoConnection, findings),
            }
        }
        self.transfer(now, index, findings);
    }

    /// Writes and reads as much as the connection allows.
    fn transfer(&mut self, now: Ms, index: usize, findings: &mut Vec<EndpointEvent>) {
        let Some(c) = self.conns.get_mut(index) else { return };
        if c.task.is_some() && !c.written {
            if let Err(reason) = guard::may_write(now, c.write_by) {
                return self.refuse(now, index, reason, findings);
            }
        }
        let flushed = c.stream.flush();
        if let (Ok(true), Some((task, _)), false) = (&flushed, c.task, c.written) {
            c.written = true;
            findings.push(EndpointEvent::Written(task));
        }
        if c.closing.as_ref().is_some_and(|closing| closing.endpoint_closed) {
            return;
        }
        let mut fill = c.stream.fill(HEAD_MAX + BODY_MAX as usize);
        if flushed.is_err() {
            fill = Fill::Ended;
        }
        if c.closing.as_ref().is_some_and(|closing| closing.is_malformed) {
            c.stream.read_buf.clear();
            return if fill == Fill::Ended {
                self.handle_endpoint_close(now, index, findings)
            };
        }
        if c.task.is_none() && c.head.is_none() {
            // Idle: unsolicited data or the end of the connection makes it useless.
            if fill != Fill::Blocked || !c.stream.read_buf.is_empty() {
                self.handle_unsolicited_input(now, index);
            }
            return;
        }
        if c.has_input_of_earlier_request() {
            return self.end(now, index, Outcome::NoConnection, findings);
        }
        while c.head.is_none() {
            if !c.stream.read_buf.is_empty() {
                c.first_byte_at.get_or_insert(now);
            }
            match head(&c.stream.read_buf) {
                // The final response follows, perhaps in the same bytes.
                Ok(Some(h)) if (100..200).contains(&h.code) && c.interim < INTERIM_MAX => {
                    c.interim += 1;
                    c.stream.read_buf.drain(..h.size);
                    c.first_byte_at = None;
                }
                Ok(Some(h)) => {
                    c.response_start = c.stream.read_buf.drain(..h.size).collect();
                    // Status 200 means delivered, whatever follows.
                    if let Some((task, started)) = c.task.take_if(|_| h.code == 200) {
                        findings.push(answered(task, &h, now - started));
                        self.busy.remove(&task);
                    }
                    c.head = Some(h);
                }
                Ok(None) if fill == Fill::Blocked => return,
                _ => return self.handle_broken(now, index, fill, findings),
            }
        }
        self.read_body(now, index, fill, findings);
    }

    /// Handles the body after the head; the response counts once the body has the announced length.
    fn read_body(&mut self, now: Ms, index: usize, fill: Fill, findings: &mut Vec<EndpointEvent>) {
        let open = fill == Fill::Blocked;
        let Some(c) = self.conns.get_mut(index) else { return };
        c.take_body();
        let Some(h) = &c.head else { return };
        let have = c.body_read;
        let whole = match h.length {
            _ if h.is_invalid => false,
            Some(announced) if announced > BODY_MAX || have > announced => false,
            Some(announced) if have < announced && open => return,
            Some(announced) => have == announced,
            // Chunked or delimited by the end of the connection: there is no length to check.
            None => true,
        };
        if !whole {
            return self.handle_broken(now, index, fill, findings);
        }
        let reusable = h.reusable && c.written && open && c.closing.is_none();
        if let Some((task, started)) = c.task.take() {
            findings.push(answered(task, h, now - started));
            self.busy.remove(&task);
        }
        if !reusable {
            return self.close(index);
        }
        c.complete_response(now);
        self.idle.entry(c.target.1).or_default().push(index);
    }

    /// Handles a broken connection; the outcome depends on what was written and received. After a malformed
    /// response the message may have run whatever the status was, but the wait that it asked for is kept.
    fn handle_broken(&mut self, now: Ms, index: usize, fill: Fill, findings: &mut Vec<EndpointEvent>) {
        let Some(c) = self.conns.get_mut(index) else { return };
        let Some((task, started)) = c.task else { return self.close(index) };
        let (outcome, wait) = match (&c.head, status(&c.stream.read_buf)) {
            (None, Some(200)) => (Outcome::Delivered, 0.0),
            (h, _) if c.written => (Outcome::Reset, h.as_ref().map_or(0.0, |h| h.wait)),
            (_, _) => (Outcome::NoConnection, 0.0),
        };
        let (route, stale) = (c.target.1, c.is_stale(now));
        if outcome == Outcome::Reset && matches!(task, RequestKind::Delegation(..)) {
            let end = AttemptResult {
                retry_after: wait,
                answer_begun: c.first_byte_at.is_some(),
                ..AttemptResult::new(outcome)
            };
            self.end_unanswered(now, index, fill, end, findings);
        } else {
            let confirmation = if c.written { Confirmation::Answered } else { Confirmation::NotWritten };
            let end = AttemptResult {
                retry_after: wait,
                answer_begun: c.first_byte_at.is_some(),
                confirmed: Some(confirmation),
                ..AttemptResult::new(outcome)
            };
            findings.push(EndpointEvent::Ended { task, elapsed: now - started, result: end });
            self.close(index);
        }
        if stale {
            self.close_idle(route);
        }
    }

    /// Ends an attempt that was written and not answered: its endpoint closed the connection, or this side
    /// closes it because the response is malformed.
    fn end_unanswered(
        &mut self,
        now: Ms,
        index: usize,
        fill: Fill,
        end: AttemptResult,
        findings: &mut Vec<EndpointEvent>,
    ) {
        let Some(c) = self.conns.get_mut(index) else { return };
        match &mut c.closing {
            Some(_) if fill == Fill::Ended => self.handle_endpoint_close(now, index, findings),
            Some(closing) => closing.is_malformed = true,
            None if fill == Fill::Ended => {
                c.stream.finish();
                self.await_confirmation(index, Closing::new(now, end, ClosedFirst::Endpoint));
                self.report_pending(now, index, findings);
            }
            None => {
                c.stream.finish();
                self.await_confirmation(index, Closing::of_malformed(now, end));
            }
        }
    }

    /// Handles the endpoint closing its side after this side ended the attempt: its slot there is free.
    fn handle_endpoint_close(&mut self, now: Ms, index: usize, findings: &mut Vec<EndpointEvent>) {
        if let Some(closing) = self.conns.get_mut(index).and_then(|c| c.closing.as_mut()) {
            closing.endpoint_closes(now);
            self.report_pending(now, index, findings);
        }
    }

    /// Ends a task whose request the guard no longer allows to be written.
    fn refuse(&mut self, now: Ms, index: usize, reason: Reason, findings: &mut Vec<EndpointEvent>) {
        self.end_at_once(
            index,
            reason.name(),
            |task, started| refused(task, reason, now - started),
            findings,
        );
    }

    fn end(&mut self, now: Ms, index: usize, outcome: Outcome, findings: &mut Vec<EndpointEvent>) {
        self.end_at_once(index, "given_up", |task, started| ended(task, outcome, now - started), findings);
    }

    /// Closes the connection of a probe, or of an attempt that no endpoint has begun, and reports its end at
    /// once.
    fn end_at_once(
        &mut self,
        index: usize,
        cause: &str,
        end: impl Fn(RequestKind, Ms) -> EndpointEvent,
        findings: &mut Vec<EndpointEvent>,
    ) {
        let Some(c) = self.conns.get(index) else { return };
        if let Some((task, started)) = c.task {
            let written = c.size - c.stream.unwritten().min(c.size);
            log::debug!(id = c.id.as_str(), conn = index, bytes = written, of = c.size, up = c.up, cause = cause;
                "a request and its connection are closed");
            findings.push(end(task, started));
        }
        self.close(index);
    }

    /// Time at which [`HttpEndpoints::tick`] is due.
    pub fn next_due(&self) -> Option<Ms> {
        let connections = self.conns.iter().filter_map(|(_, c)| c.due(&self.timeouts));
        connections.chain(self.pending.next_due()).min_by(f64::total_cmp)
    }

    /// Ends connections that were not established in time, probes without a response and incomplete
    /// responses; closes connections that were idle too long. Tries pending requests again.
    pub fn tick(&mut self, now: Ms, findings: &mut Vec<EndpointEvent>) {
        let due = |c: &Connection| c.due(&self.timeouts).is_some_and(|t| t <= now);
        let due: Vec<usize> = self.conns.iter().filter(|(_, c)| due(c)).map(|(index, _)| index).collect();
        for index in due {
            match &self.conns[index] {
                c if c.closing.is_some() => self.confirm(now, index, findings),
                c if c.task.is_some() && !c.written && c.write_by <= now => {
                    self.refuse(now, index, Reason::WindowOver, findings);
                }
                c if c.first_byte_at.is_some() => self.handle_broken(now, index, Fill::Blocked, findings),
                c if c.up => self.end(now, index, Outcome::Late, findings),
                _ => self.end(now, index, Outcome::NoConnection, findings),
            }
        }
        for request in self.pending.take_due(now) {
            match guard::may_write(now, request.write_by) {
                Ok(()) => self.start(now, request, findings),
                Err(reason) => findings.push(refused(request.task, reason, now - request.started)),
            }
        }
    }
}
