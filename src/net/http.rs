//! Connections to workers over HTTP: one request at a time on each, kept open while they are of use.

use super::head::{head, status, Head, HEAD_MOST};
use super::stream::{Fill, Stream};
use super::{token, Kind};
use crate::api::*;
use crate::dispatch::Delegation;
use crate::journal::CallNo;
use mio::Registry;
use slab::Slab;
use std::collections::HashMap;
use std::fmt::Write as _;

/// A probe without an answer has failed after this.
pub(super) const PROBE_PATIENCE: Ms = 1_500.0;
/// An idle connection is closed so long before the worker's machine would: its clock began earlier.
const IDLE_MARGIN: Ms = 600.0;
/// Bytes of an answer's body that are read to keep the connection.
const BODY_MOST: usize = 64 * 1024;

/// What a connection is busy with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Task {
    /// A delegation of a call.
    Delegation(CallNo, u32),
    /// A probe.
    Probe(RouteId),
}

/// What a worker connection found out.
#[derive(Debug, Clone, PartialEq)]
pub enum Finding {
    /// The last byte has been written.
    Written(Task),
    /// The task ended.
    Ended {
        /// Which.
        task: Task,
        /// How.
        outcome: Outcome,
        /// Since its start.
        took: Ms,
        /// The wait that was told.
        wait: Ms,
        /// What was told of the limit.
        report: Report,
        /// The call is over, as the platform says.
        over: bool,
    },
}

#[derive(Debug)]
struct Conn {
    stream: Stream,
    address: String,
    up: bool,
    opened: Ms,
    task: Option<(Task, Ms)>,
    /// What shares waits, for delegations that are not written yet.
    unit: (DestId, RouteId),
    written: bool,
    /// Bytes of a body still to be read before the connection is free.
    skip: usize,
    reusable: bool,
    idle_since: Ms,
}

/// All connections to workers.
#[derive(Debug)]
pub struct Workers {
    conns: Slab<Conn>,
    idle: HashMap<String, Vec<usize>>,
    busy: HashMap<Task, usize>,
    most: usize,
    connect_timeout: Ms,
    keep_idle: Ms,
}

impl Workers {
    /// No connection yet, and so many at most.
    pub fn new(settings: &Settings, most: usize) -> Workers {
        let connect_timeout = if settings.connect_timeout > 0.0 { settings.connect_timeout } else { 1_000.0 };
        let keep = settings.keep_idle;
        let keep_idle = if keep > 0.0 { (keep - IDLE_MARGIN).max(keep / 2.0) } else { f64::MAX };
        Workers {
            conns: Slab::new(),
            idle: HashMap::new(),
            busy: HashMap::new(),
            most,
            connect_timeout,
            keep_idle,
        }
    }

    /// Starts a delegation.
    pub fn delegate(&mut self, now: Ms, d: &Delegation, registry: &Registry, found: &mut Vec<Finding>) {
        let mut text = format!("POST /inbox HTTP/1.1\r\nHost: {}\r\nX-Txn: {}\r\n", d.address, d.id);
        if !d.idempotency.is_empty() {
            let _ = write!(text, "Idempotency-Key: {}\r\n", d.idempotency);
        }
        let patience = d.patience.round().max(0.0) as u64;
        let _ = write!(text, "X-Remaining-Ms: {patience}\r\nContent-Length: {}\r\n\r\n", d.body.len());
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&d.body);
        let task = Task::Delegation(d.no, d.attempt);
        self.start(now, task, &d.address, (d.dest, d.route), &bytes, registry, found);
    }

    /// Starts a probe.
    pub fn probe(
        &mut self,
        now: Ms,
        unit: (DestId, RouteId),
        address: &str,
        registry: &Registry,
        found: &mut Vec<Finding>,
    ) {
        let text = format!("GET /health HTTP/1.1\r\nHost: {address}\r\n\r\n");
        let task = Task::Probe(unit.1);
        if !self.busy.contains_key(&task) {
            self.start(now, task, address, unit, text.as_bytes(), registry, found);
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn start(
        &mut self,
        now: Ms,
        task: Task,
        address: &str,
        unit: (DestId, RouteId),
        bytes: &[u8],
        registry: &Registry,
        found: &mut Vec<Finding>,
    ) {
        let at = match self.idle.get_mut(address).and_then(Vec::pop) {
            Some(at) => at,
            None => match self.open(now, address, registry) {
                Ok(at) => at,
                Err(outcome) => return found.push(ended(task, outcome, 0.0)),
            },
        };
        let Some(c) = self.conns.get_mut(at) else { return };
        (c.task, c.unit, c.written) = (Some((task, now)), unit, false);
        c.stream.queue(bytes);
        self.busy.insert(task, at);
        if self.conns[at].up {
            self.push(now, at, found);
        }
    }

    fn open(&mut self, now: Ms, address: &str, registry: &Registry) -> Result<usize, Outcome> {
        if self.conns.len() >= self.most {
            let oldest = self.conns.iter().filter(|(_, c)| c.task.is_none());
            let oldest = oldest.min_by(|a, b| a.1.idle_since.total_cmp(&b.1.idle_since)).map(|c| c.0);
            self.close(oldest.ok_or(Outcome::NotSent)?);
        }
        let to = address.parse().map_err(|_| Outcome::NoConnection)?;
        let entry = self.conns.vacant_entry();
        let at = entry.key();
        let stream = Stream::connect(to, registry, token(Kind::Worker, at)).map_err(|e| {
            log::debug!("no connection to {address}: {e}");
            Outcome::NoConnection
        })?;
        entry.insert(Conn {
            stream,
            address: address.to_string(),
            up: false,
            opened: now,
            task: None,
            unit: (0, 0),
            written: false,
            skip: 0,
            reusable: true,
            idle_since: now,
        });
        Ok(at)
    }

    fn close(&mut self, at: usize) {
        if let Some(c) = self.conns.try_remove(at) {
            if let Some(idle) = self.idle.get_mut(&c.address) {
                idle.retain(|i| *i != at);
                if idle.is_empty() {
                    self.idle.remove(&c.address);
                }
            }
            if let Some((task, _)) = c.task {
                self.busy.remove(&task);
            }
        }
    }

    /// Breaks a task off by closing its connection; nothing is found out any more.
    pub fn abandon(&mut self, task: Task) {
        if let Some(at) = self.busy.get(&task) {
            self.close(*at);
        }
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
    pub fn close_idle(&mut self, address: &str) {
        for at in self.idle.remove(address).unwrap_or_default() {
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
        let flushed = c.stream.flush();
        if let (Ok(true), Some((task, _)), false) = (&flushed, c.task, c.written) {
            c.written = true;
            found.push(Finding::Written(task));
        }
        let fill = c.stream.fill(HEAD_MOST + BODY_MOST);
        if c.skip > 0 {
            let n = c.skip.min(c.stream.inbox.len());
            c.stream.inbox.drain(..n);
            c.skip -= n;
            if c.skip == 0 && fill == Fill::Blocked {
                return self.rest(now, at);
            }
            if fill != Fill::Blocked {
                self.close(at);
            }
            return;
        }
        let Some((task, started)) = c.task else {
            // Idle: whatever comes now, the connection is of no more use.
            if fill != Fill::Blocked || !c.stream.inbox.is_empty() {
                self.close(at);
            }
            return;
        };
        match head(&c.stream.inbox) {
            Ok(Some(h)) if (100..200).contains(&h.code) => {
                c.stream.inbox.drain(..h.size);
                if fill == Fill::Blocked {
                    return;
                }
                self.broke(now, at, found);
            }
            Ok(Some(h)) => {
                found.push(answered(task, &h, now - started));
                self.busy.remove(&task);
                (c.task, c.reusable) = (None, h.reusable && c.written && fill == Fill::Blocked);
                let body = h.length.unwrap_or(usize::MAX);
                let have = c.stream.inbox.len() - h.size;
                if !c.reusable || body > BODY_MOST || have > body {
                    return self.close(at);
                }
                c.stream.inbox.clear();
                c.skip = body - have;
                if c.skip == 0 {
                    self.rest(now, at);
                } else {
                    c.idle_since = now;
                }
            }
            Ok(None) if flushed.is_ok() && fill == Fill::Blocked => {}
            _ => self.broke(now, at, found),
        }
    }

    /// The connection carries nothing any more: how that is to be taken hangs on what was written.
    fn broke(&mut self, now: Ms, at: usize, found: &mut Vec<Finding>) {
        let Some(c) = self.conns.get(at) else { return };
        let outcome = match (c.written, status(&c.stream.inbox)) {
            (_, Some(200)) => Outcome::Delivered,
            (true, _) => Outcome::Reset,
            (false, _) => Outcome::NoConnection,
        };
        self.end(now, at, outcome, found);
    }

    fn end(&mut self, now: Ms, at: usize, outcome: Outcome, found: &mut Vec<Finding>) {
        if let Some((task, started)) = self.conns.get(at).and_then(|c| c.task) {
            found.push(ended(task, outcome, now - started));
        }
        self.close(at);
    }

    fn rest(&mut self, now: Ms, at: usize) {
        let Some(c) = self.conns.get_mut(at) else { return };
        c.idle_since = now;
        self.idle.entry(c.address.clone()).or_default().push(at);
    }

    /// When [`Workers::tick`] has something to do.
    pub fn next_due(&self) -> Option<Ms> {
        self.conns.iter().filter_map(|(_, c)| self.due(c)).min_by(f64::total_cmp)
    }

    fn due(&self, c: &Conn) -> Option<Ms> {
        match c.task {
            Some(_) if !c.up => Some(c.opened + self.connect_timeout),
            Some((Task::Probe(_), started)) => Some(started + PROBE_PATIENCE),
            Some(_) => None,
            None => Some(c.idle_since + self.keep_idle).filter(|t| *t < f64::MAX),
        }
    }

    /// Gives up connections that do not come up and probes without an answer; closes what was idle too long.
    pub fn tick(&mut self, now: Ms, found: &mut Vec<Finding>) {
        let due = |c: &Conn| self.due(c).is_some_and(|t| t <= now);
        let due: Vec<usize> = self.conns.iter().filter(|(_, c)| due(c)).map(|(at, _)| at).collect();
        for at in due {
            let late = self.conns[at].up;
            self.end(now, at, if late { Outcome::Late } else { Outcome::NoConnection }, found);
        }
    }
}

pub(super) fn ended(task: Task, outcome: Outcome, took: Ms) -> Finding {
    Finding::Ended { task, outcome, took, wait: 0.0, report: Report::default(), over: false }
}

pub(super) fn answered(task: Task, h: &Head, took: Ms) -> Finding {
    let (outcome, over) = match h.code {
        200 => (Outcome::Delivered, false),
        503 if h.over_slots => (Outcome::NotSent, false),
        429 | 503 => (Outcome::Refused, false),
        504 => (Outcome::NotSent, false),
        410 => (Outcome::NotSent, true),
        code => {
            log::debug!("answer {code} counts as an error");
            (Outcome::Error, false)
        }
    };
    let wait = if outcome == Outcome::Refused { h.wait } else { 0.0 };
    Finding::Ended { task, outcome, took, wait, report: h.report, over }
}
