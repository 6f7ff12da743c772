//! Connections to workers over HTTP: one request at a time on each, kept open while they are of use.

use super::closing::Closing;
use super::finding::{answered, ended, refused, Finding, Task, PROBE_TIMEOUT};
use super::head::{head, status, Head, HEAD_MAX};
use super::reactor::Reactor;
use super::stream::{Fill, Stream};
use super::{token, SourceKind};
use crate::api::*;
use crate::dispatch::{Delegation, End};
use crate::guard::{self, Confirmation, EndedFirst, Reason};
use slab::Slab;
use std::collections::HashMap;
use std::fmt::Write as _;
use std::rc::Rc;

/// An idle connection is closed so long before the worker's machine would: its clock began earlier.
const IDLE_MARGIN: Ms = 600.0;
/// An answer that has begun is whole after this, head and body: workers write it in one go. Guards against heads that
/// never end and bodies that fall short holding a call until its deadline.
const ANSWER_PATIENCE: Ms = 500.0;
/// Bytes of an answer's body at most; one that claims more is spoilt.
const BODY_MAX: u64 = 64 * 1024;
/// A kept connection that breaks so soon after a call was written to it had been dropped unseen while it was idle; the
/// others to that worker are as old and no better, and each would cost a call.
const STALE_WITHIN: Ms = 10.0;
/// Answers of status 1xx in front of one answer at most.
const INTERIM_MOST: u32 = 16;

#[derive(Debug)]
struct Conn {
    stream: Stream,
    /// Destination and worker. The connection belongs to the worker's id, not to its address: another worker may have
    /// that later.
    unit: (DestId, RouteId),
    up: bool,
    opened: Ms,
    task: Option<(Task, Ms)>,
    /// Later than this its request is not written.
    write_by: Ms,
    /// The id of its message, for the log.
    id: String,
    /// Bytes of its request.
    size: usize,
    written: bool,
    /// When the first byte of the answer came.
    heard: Option<Ms>,
    interim: u32,
    /// Its task has ended without an answer, and its endpoint may not know yet.
    closing: Option<Closing>,
    /// The head of an answer whose body is still to come.
    head: Option<Head>,
    idle_since: Ms,
}

impl Conn {
    /// It had been dropped unseen while it was idle: it broke as soon as a request was written to it.
    fn is_stale(&self, now: Ms, started: Ms) -> bool {
        let at_once = now - started < STALE_WITHIN && self.heard.is_none();
        at_once && started > self.opened
    }
}

/// A request that is to be written, and its task.
struct Request<'a> {
    task: Task,
    /// The id of its message.
    id: &'a str,
    bytes: &'a [u8],
    /// Later than this it is not written.
    write_by: Ms,
}

/// All connections to workers.
#[derive(Debug)]
pub struct Workers {
    conns: Slab<Conn>,
    idle: HashMap<RouteId, Vec<usize>>,
    busy: HashMap<Task, usize>,
    most: usize,
    connect_timeout: Ms,
    keep_idle: Ms,
}

impl Workers {
    /// No connection yet, and so many at most.
    pub fn new(settings: &Settings, most: usize) -> Workers {
        let mut workers = Workers {
            conns: Slab::new(),
            idle: HashMap::new(),
            busy: HashMap::new(),
            most,
            connect_timeout: 0.0,
            keep_idle: 0.0,
        };
        workers.settle(settings);
        workers
    }

    /// Takes times from changed settings.
    pub fn settle(&mut self, settings: &Settings) {
        self.connect_timeout =
            if settings.connect_timeout > 0.0 { settings.connect_timeout } else { 1_000.0 };
        let keep = settings.keep_idle;
        self.keep_idle = if keep > 0.0 { (keep - IDLE_MARGIN).max(keep / 2.0) } else { f64::MAX };
    }

    /// Starts a delegation.
    pub fn delegate(&mut self, now: Ms, d: &Delegation, reactor: &Rc<Reactor>, found: &mut Vec<Finding>) {
        let mut text = format!("POST /inbox HTTP/1.1\r\nHost: {}\r\nX-Txn: {}\r\n", d.address, d.id);
        if !d.idempotency.is_empty() {
            let _ = write!(text, "Idempotency-Key: {}\r\n", d.idempotency);
        }
        let patience = d.patience.round().max(0.0) as u64;
        let _ = write!(text, "X-Remaining-Ms: {patience}\r\nContent-Length: {}\r\n\r\n", d.body.len());
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&d.body);
        let task = Task::Delegation(d.no, d.attempt);
        let request = Request { task, id: &d.id, bytes: &bytes, write_by: d.write_by };
        self.start(now, request, &d.address, (d.dest, d.route), reactor, found);
    }

    /// Starts a probe.
    pub fn probe(
        &mut self,
        now: Ms,
        unit: (DestId, RouteId),
        address: &str,
        reactor: &Rc<Reactor>,
        found: &mut Vec<Finding>,
    ) {
        let text = format!("GET /health HTTP/1.1\r\nHost: {address}\r\n\r\n");
        let task = Task::Probe(unit.1);
        if !self.busy.contains_key(&task) {
            let request = Request { task, id: "", bytes: text.as_bytes(), write_by: f64::MAX };
            self.start(now, request, address, unit, reactor, found);
        }
    }

    fn start(
        &mut self,
        now: Ms,
        request: Request,
        address: &str,
        unit: (DestId, RouteId),
        reactor: &Rc<Reactor>,
        found: &mut Vec<Finding>,
    ) {
        let Request { task, id, bytes, write_by } = request;
        let at = match self.rested(unit.1) {
            Some(at) => at,
            None => match self.open(now, address, unit, reactor) {
                Ok(at) => at,
                Err(outcome) => return found.push(ended(task, outcome, 0.0)),
            },
        };
        let Some(c) = self.conns.get_mut(at) else { return };
        (c.task, c.written, c.heard, c.interim) = (Some((task, now)), false, None, 0);
        (c.write_by, c.id, c.size) = (write_by, id.to_string(), bytes.len());
        c.stream.queue(bytes);
        log::debug!(id = id, task:? = task, conn = at, bytes = bytes.len(), kept = c.up; "a request goes out");
        self.busy.insert(task, at);
        if self.conns[at].up {
            self.push(now, at, found);
        }
    }

    /// An idle connection to a worker. Guards against one that has ended meanwhile or holds what nobody asked for:
    /// that would be taken for the answer to the next call.
    fn rested(&mut self, route: RouteId) -> Option<usize> {
        loop {
            let at = self.idle.get_mut(&route)?.pop()?;
            let Some(c) = self.conns.get_mut(at) else { continue };
            if c.stream.fill(1) == Fill::Blocked && c.stream.read_buf.is_empty() {
                return Some(at);
            }
            self.close(at);
        }
    }

    /// At most so many connections from now on.
    pub fn limit(&mut self, most: usize) {
        self.most = most;
    }

    fn open(
        &mut self,
        now: Ms,
        address: &str,
        unit: (DestId, RouteId),
        reactor: &Rc<Reactor>,
    ) -> Result<usize, Outcome> {
        if self.conns.len() >= self.most {
            let oldest = self.conns.iter().filter(|(_, c)| c.task.is_none());
            let oldest = oldest.min_by(|a, b| a.1.idle_since.total_cmp(&b.1.idle_since)).map(|c| c.0);
            self.close(oldest.ok_or(Outcome::NotSent)?);
        }
        let to = address.parse().map_err(|_| Outcome::NoConnection)?;
        let entry = self.conns.vacant_entry();
        let at = entry.key();
        let stream = Stream::connect(to, reactor, token(SourceKind::Endpoint, at)).map_err(|e| {
            log::debug!(worker = address, cause:% = e; "no connection to {address}: {e}");
            Outcome::NoConnection
        })?;
        log::debug!(worker = address, route = unit.1, conn = at; "a connection is opened");
        entry.insert(Conn {
            stream,
            unit,
            up: false,
            opened: now,
            task: None,
            write_by: f64::MAX,
            id: String::new(),
            size: 0,
            written: false,
            heard: None,
            interim: 0,
            closing: None,
            head: None,
            idle_since: now,
        });
        Ok(at)
    }

    fn close(&mut self, at: usize) {
        if let Some(c) = self.conns.try_remove(at) {
            log::debug!(route = c.unit.1, conn = at; "a connection is closed");
            if let Some(idle) = self.idle.get_mut(&c.unit.1) {
                idle.retain(|i| *i != at);
                if idle.is_empty() {
                    self.idle.remove(&c.unit.1);
                }
            }
            if let Some((task, _)) = c.task {
                self.busy.remove(&task);
            }
        }
    }

    /// Breaks a task off: this side's sending on its connection ends. Its end is told once the endpoint knows of it, or at once
    /// if its request was not written; an answer that comes meanwhile counts.
    pub fn abandon(&mut self, now: Ms, task: Task, outcome: Outcome, found: &mut Vec<Finding>) {
        let Some(at) = self.busy.get(&task).copied() else { return };
        let Some(c) = self.conns.get_mut(at) else { return };
        if !c.up || !c.written {
            return self.end(now, at, Outcome::NoConnection, found);
        }
        if c.closing.is_none() {
            c.stream.finish();
            self.await_end(at, Closing::new(now, End::of(outcome), EndedFirst::Dispatcher));
        }
    }

    /// A written attempt has ended here: its endpoint is to know before another one of its message goes out.
    fn await_end(&mut self, at: usize, closing: Closing) {
        let Some(c) = self.conns.get_mut(at) else { return };
        log::debug!(id = c.id.as_str(), conn = at, bytes = c.size, ended_by = closing.first.name();
            "an attempt ends, and its endpoint is to know");
        c.closing = Some(closing);
    }

    /// The end of an attempt is told, though its endpoint may not know yet: its slot there is free.
    fn tell_pending(&self, now: Ms, at: usize, found: &mut Vec<Finding>) {
        let Some(c) = self.conns.get(at) else { return };
        if let (Some(closing), Some((task, started))) = (&c.closing, c.task) {
            found.push(Finding::Ended { task, took: now - started, end: closing.pending(now) });
        }
    }

    /// The endpoint counts an attempt as over, too.
    fn confirm(&mut self, now: Ms, at: usize, found: &mut Vec<Finding>) {
        let Some(c) = self.conns.get_mut(at) else { return };
        if let (Some(closing), Some((task, started))) = (&c.closing, c.task) {
            log::debug!(id = c.id.as_str(), conn = at, ended_by = closing.first.name(), confirmed = closing.confirmation().name();
                "the end of an attempt is known to its endpoint");
            if closing.confirmation() == Confirmation::TimedOut {
                // Nobody waits any more for what the system still holds of it.
                c.stream.reset_on_close();
            }
            found.push(Finding::Ended { task, took: now - started, end: closing.confirmed() });
        }
        self.close(at);
    }

    /// Ends delegations that are not written yet and share a wait: they must not reach the worker now.
    pub fn hold(&mut self, now: Ms, dest: DestId, route: Option<RouteId>, found: &mut Vec<Finding>) {
        let held = |c: &Conn| {
            !c.written && c.task.is_some() && c.unit.0 == dest && route.is_none_or(|r| r == c.unit.1)
        };
        let due: Vec<usize> = self.conns.iter().filter(|(_, c)| held(c)).map(|(at, _)| at).collect();
        due.into_iter().for_each(|at| self.end(now, at, Outcome::NotSent, found));
    }

    /// Closes idle connections to a worker.
    pub fn close_idle(&mut self, route: RouteId) {
        for at in self.idle.remove(&route).unwrap_or_default() {
            log::debug!(route = route, conn = at; "a connection is closed");
            self.conns.try_remove(at);
        }
    }

    /// Something happened on a connection.
    pub fn ready(&mut self, now: Ms, at: usize, found: &mut Vec<Finding>) {
        let Some(c) = self.conns.get_mut(at) else { return };
        if !c.up {
            match c.stream.is_up() {
                Ok(true) => c.up = true,
                Ok(false) => return,
                Err(_) => return self.end(now, at, Outcome::NoConnection, found),
            }
        }
        self.push(now, at, found);
    }

    /// Writes and reads what can be.
    fn push(&mut self, now: Ms, at: usize, found: &mut Vec<Finding>) {
        let Some(c) = self.conns.get_mut(at) else { return };
        if c.task.is_some() && !c.written {
            if let Err(reason) = guard::may_write(now, c.write_by) {
                return self.refuse(now, at, reason, found);
            }
        }
        let flushed = c.stream.flush();
        if let (Ok(true), Some((task, _)), false) = (&flushed, c.task, c.written) {
            c.written = true;
            found.push(Finding::Written(task));
        }
        if c.closing.as_ref().is_some_and(|closing| closing.is_ended) {
            return;
        }
        let mut fill = c.stream.fill(HEAD_MAX + BODY_MAX as usize);
        if flushed.is_err() {
            fill = Fill::Ended;
        }
        if c.closing.as_ref().is_some_and(|closing| closing.is_spoilt) {
            c.stream.read_buf.clear();
            return if fill == Fill::Ended {
                self.endpoint_ended(now, at, found)
            };
        }
        if c.task.is_none() && c.head.is_none() {
            // Idle: whatever comes now, the connection is of no more use.
            if fill != Fill::Blocked || !c.stream.read_buf.is_empty() {
                self.close(at);
            }
            return;
        }
        while c.head.is_none() {
            if !c.stream.read_buf.is_empty() {
                c.heard.get_or_insert(now);
            }
            match head(&c.stream.read_buf) {
                // The answer proper comes behind it, perhaps with the same bytes.
                Ok(Some(h)) if (100..200).contains(&h.code) && c.interim < INTERIM_MOST => {
                    c.interim += 1;
                    c.stream.read_buf.drain(..h.size);
                    c.heard = None;
                }
                Ok(Some(h)) => {
                    c.stream.read_buf.drain(..h.size);
                    // Delivered by its first line, whatever is wrong with the rest.
                    if let Some((task, started)) = c.task.take_if(|_| h.code == 200) {
                        found.push(answered(task, &h, now - started));
                        self.busy.remove(&task);
                    }
                    c.head = Some(h);
                }
                Ok(None) if fill == Fill::Blocked => return,
                _ => return self.broke(now, at, fill, found),
            }
        }
        self.body(now, at, fill, found);
    }

    /// The head is there; the answer counts once its body is as long as it says.
    fn body(&mut self, now: Ms, at: usize, fill: Fill, found: &mut Vec<Finding>) {
        let open = fill == Fill::Blocked;
        let Some(c) = self.conns.get_mut(at) else { return };
        let Some(h) = &c.head else { return };
        let have = c.stream.read_buf.len() as u64;
        let whole = match h.length {
            _ if h.unsound => false,
            Some(told) if told > BODY_MAX || have > told => false,
            Some(told) if have < told && open => return,
            Some(told) => have == told,
            // In chunks or up to the connection's end: nothing to measure it by.
            None => true,
        };
        if !whole {
            return self.broke(now, at, fill, found);
        }
        let reusable = h.reusable && c.written && open && c.closing.is_none();
        if let Some((task, started)) = c.task.take() {
            found.push(answered(task, h, now - started));
            self.busy.remove(&task);
        }
        if !reusable {
            return self.close(at);
        }
        c.stream.read_buf.clear();
        (c.head, c.heard, c.idle_since) = (None, None, now);
        self.idle.entry(c.unit.1).or_default().push(at);
    }

    /// The connection carries nothing any more: how that is to be taken hangs on what was written and what came. An
    /// answer that was spoilt may have run whatever its head said, but the wait that it told is kept.
    fn broke(&mut self, now: Ms, at: usize, fill: Fill, found: &mut Vec<Finding>) {
        let Some(c) = self.conns.get_mut(at) else { return };
        let Some((task, started)) = c.task else { return self.close(at) };
        let (outcome, wait) = match (&c.head, status(&c.stream.read_buf)) {
            (None, Some(200)) => (Outcome::Delivered, 0.0),
            (h, _) if c.written => (Outcome::Reset, h.as_ref().map_or(0.0, |h| h.wait)),
            (_, _) => (Outcome::NoConnection, 0.0),
        };
        let (route, stale) = (c.unit.1, c.is_stale(now, started));
        if outcome == Outcome::Reset && matches!(task, Task::Delegation(..)) {
            let end = End { wait, heard: c.heard.is_some(), ..End::of(outcome) };
            self.broke_unanswered(now, at, fill, end, found);
        } else {
            let how = if c.written { Confirmation::Answered } else { Confirmation::NeverBegun };
            let end = End { wait, heard: c.heard.is_some(), confirmed: Some(how), ..End::of(outcome) };
            found.push(Finding::Ended { task, took: now - started, end });
            self.close(at);
        }
        if stale {
            self.close_idle(route);
        }
    }

    /// An attempt was written and not answered: its endpoint has ended the connection, or its answer is spoilt and this side
    /// ends it.
    fn broke_unanswered(&mut self, now: Ms, at: usize, fill: Fill, end: End, found: &mut Vec<Finding>) {
        let Some(c) = self.conns.get_mut(at) else { return };
        match &mut c.closing {
            Some(_) if fill == Fill::Ended => self.endpoint_ended(now, at, found),
            Some(closing) => closing.is_spoilt = true,
            None if fill == Fill::Ended => {
                c.stream.finish();
                self.await_end(at, Closing::new(now, end, EndedFirst::Endpoint));
                self.tell_pending(now, at, found);
            }
            None => {
                c.stream.finish();
                self.await_end(at, Closing::of_spoilt(now, end));
            }
        }
    }

    /// The endpoint ends its side of a connection whose attempt this side has ended: its slot there is free.
    fn endpoint_ended(&mut self, now: Ms, at: usize, found: &mut Vec<Finding>) {
        if let Some(closing) = self.conns.get_mut(at).and_then(|c| c.closing.as_mut()) {
            closing.endpoint_ends(now);
            self.tell_pending(now, at, found);
        }
    }

    /// Ends a task that the rules do not let be written any more.
    fn refuse(&mut self, now: Ms, at: usize, reason: Reason, found: &mut Vec<Finding>) {
        self.end_at_once(at, reason.name(), |task, started| refused(task, reason, now - started), found);
    }

    fn end(&mut self, now: Ms, at: usize, outcome: Outcome, found: &mut Vec<Finding>) {
        self.end_at_once(at, "given_up", |task, started| ended(task, outcome, now - started), found);
    }

    /// Closes the connection of a probe, or of an attempt that no endpoint has begun; its end is told at once.
    fn end_at_once(
        &mut self,
        at: usize,
        cause: &str,
        end: impl Fn(Task, Ms) -> Finding,
        found: &mut Vec<Finding>,
    ) {
        let Some(c) = self.conns.get(at) else { return };
        if let Some((task, started)) = c.task {
            let written = c.size - c.stream.unwritten().min(c.size);
            log::debug!(id = c.id.as_str(), conn = at, bytes = written, of = c.size, up = c.up, cause = cause;
                "a request ends, and its connection");
            found.push(end(task, started));
        }
        self.close(at);
    }

    /// When [`Workers::tick`] has something to do.
    pub fn next_due(&self) -> Option<Ms> {
        self.conns.iter().filter_map(|(_, c)| self.due(c)).min_by(f64::total_cmp)
    }

    fn due(&self, c: &Conn) -> Option<Ms> {
        if let Some(closing) = &c.closing {
            return Some(closing.until);
        }
        let heard = c.heard.map(|t| t + ANSWER_PATIENCE);
        match c.task {
            Some(_) if !c.up => Some((c.opened + self.connect_timeout).min(c.write_by)),
            Some((Task::Delegation(..), _)) if !c.written => {
                Some(c.write_by.min(heard.unwrap_or(f64::MAX))).filter(|t| *t < f64::MAX)
            }
            Some((Task::Probe(_), started)) => Some((started + PROBE_TIMEOUT).min(heard.unwrap_or(f64::MAX))),
            Some(_) => heard,
            None => heard.or(Some(c.idle_since + self.keep_idle)).filter(|t| *t < f64::MAX),
        }
    }

    /// Gives up connections that do not come up, probes without an answer and answers that do not end; closes what
    /// was idle too long.
    pub fn tick(&mut self, now: Ms, found: &mut Vec<Finding>) {
        let due = |c: &Conn| self.due(c).is_some_and(|t| t <= now);
        let due: Vec<usize> = self.conns.iter().filter(|(_, c)| due(c)).map(|(at, _)| at).collect();
        for at in due {
            match &self.conns[at] {
                c if c.closing.is_some() => self.confirm(now, at, found),
                c if c.task.is_some() && !c.written && c.write_by <= now => {
                    self.refuse(now, at, Reason::WindowOver, found);
                }
                c if c.heard.is_some() => self.broke(now, at, Fill::Blocked, found),
                c if c.up => self.end(now, at, Outcome::Late, found),
                _ => self.end(now, at, Outcome::NoConnection, found),
            }
        }
    }
}
