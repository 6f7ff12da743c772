//! Workers that are reached through a broker: `mqtt://address:port/topic` in the registry's list.
//!
//! A session carries one delegation at a time, as a connection to an HTTP worker does, so that giving one up is
//! closing its session. Only the worker's own answer on the session's topic counts; the broker's PUBACK tells no more
//! than that the broker has it. Once the PUBLISH is written, a lost session is a reset: it may have run.

use super::super::reactor::Reactor;
use super::{publish, Extras, Session};
use crate::api::*;
use crate::dispatch::{Delegation, End};
use crate::guard::{self, EndedFirst, Reason};
use crate::net::closing::Closing;
use crate::net::finding::{answered, ended, refused, Finding, Task, PROBE_TIMEOUT};
use crate::net::head::{report, Head};
use crate::net::stream::Stream;
use crate::net::{token, SourceKind};
use mqtt_protocol_core::mqtt::packet::v5_0::{Connect, Subscribe};
use mqtt_protocol_core::mqtt::packet::{Packet, Qos, SubEntry, SubOpts};
use mqtt_protocol_core::mqtt::result_code::{ConnectReasonCode, PubackReasonCode, SubackReasonCode};
use mqtt_protocol_core::mqtt::role::Client;
use slab::Slab;
use std::collections::HashMap;
use std::rc::Rc;

/// What an address of a worker behind a broker begins with.
pub const SCHEME: &str = "mqtt://";

/// Broker and topic of such an address.
pub fn split(address: &str) -> Option<(&str, &str)> {
    address.strip_prefix(SCHEME)?.split_once('/').filter(|(_, topic)| !topic.is_empty())
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Connecting,
    /// CONNECT is out, then SUBSCRIBE.
    Greeting,
    Ready,
}

struct Job {
    task: Task,
    started: Ms,
    topic: String,
    extras: Extras,
    body: Vec<u8>,
    unit: (DestId, RouteId),
    /// Later than this it is not written.
    write_by: Ms,
    queued: bool,
    written: bool,
}

struct Conn {
    session: Session<Client>,
    broker: String,
    name: String,
    stage: Stage,
    opened: Ms,
    job: Option<Job>,
    idle_since: Ms,
}

/// An attempt whose session is closed. No endpoint behind a broker sees that, so that its end is told only after a while.
struct Ending {
    task: Task,
    started: Ms,
    closing: Closing,
}

/// All sessions with brokers.
pub struct Brokers {
    conns: Slab<Conn>,
    busy: HashMap<Task, usize>,
    endings: Vec<Ending>,
    most: usize,
    connect_timeout: Ms,
    keep_idle: Ms,
    /// Tells this process's sessions from those of others and of earlier ones.
    prefix: String,
    opened: u64,
}

impl Brokers {
    /// No session yet, and so many at most.
    pub fn new(settings: &Settings, most: usize, prefix: String) -> Brokers {
        let connect_timeout = if settings.connect_timeout > 0.0 { settings.connect_timeout } else { 1_000.0 };
        let keep_idle = if settings.keep_idle > 0.0 { settings.keep_idle } else { f64::MAX };
        Brokers {
            conns: Slab::new(),
            busy: HashMap::new(),
            endings: Vec::new(),
            most,
            connect_timeout,
            keep_idle,
            prefix,
            opened: 0,
        }
    }

    /// Open sessions.
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// Is no session open?
    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    /// Starts a delegation.
    pub fn delegate(&mut self, now: Ms, d: &Delegation, reactor: &Rc<Reactor>, found: &mut Vec<Finding>) {
        let patience = d.patience.round().max(0.0) as u64;
        let mut user = vec![("id".into(), d.id.clone()), ("remaining-ms".into(), patience.to_string())];
        if !d.idempotency.is_empty() {
            user.push(("idempotency-key".into(), d.idempotency.clone()));
        }
        let correlation = format!("{}.{}", d.no, d.attempt).into_bytes();
        let expiry_s = Some((d.patience / 1000.0).ceil().clamp(1.0, 1e9) as u32);
        let extras = Extras { response: String::new(), correlation, expiry_s, user };
        let task = Task::Delegation(d.no, d.attempt);
        self.start(now, task, &d.address, (d.dest, d.route), extras, (&d.body, d.write_by), reactor, found);
    }

    /// Starts a probe: a PUBLISH with the user property `probe`, which the worker answers like a call.
    pub fn probe(
        &mut self,
        now: Ms,
        unit: (DestId, RouteId),
        address: &str,
        reactor: &Rc<Reactor>,
        found: &mut Vec<Finding>,
    ) {
        let user = vec![("probe".into(), "1".into())];
        let expiry_s = Some((PROBE_TIMEOUT / 1000.0).ceil() as u32);
        let correlation = format!("probe.{now}").into_bytes();
        let extras = Extras { response: String::new(), correlation, expiry_s, user };
        let task = Task::Probe(unit.1);
        if !self.busy.contains_key(&task) {
            self.start(now, task, address, unit, extras, (&[], f64::MAX), reactor, found);
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn start(
        &mut self,
        now: Ms,
        task: Task,
        address: &str,
        unit: (DestId, RouteId),
        extras: Extras,
        (body, write_by): (&[u8], Ms),
        reactor: &Rc<Reactor>,
        found: &mut Vec<Finding>,
    ) {
        let Some((broker, topic)) = split(address) else {
            return found.push(ended(task, Outcome::NoConnection, 0.0));
        };
        let idle = |c: &Conn| c.job.is_none() && c.stage == Stage::Ready && c.broker == broker;
        let newest = self.conns.iter().filter(|(_, c)| idle(c));
        let at = match newest.max_by(|a, b| a.1.idle_since.total_cmp(&b.1.idle_since)).map(|c| c.0) {
            Some(at) => at,
            None => match self.open(now, broker, reactor) {
                Ok(at) => at,
                Err(outcome) => return found.push(ended(task, outcome, 0.0)),
            },
        };
        let job = Job {
            task,
            started: now,
            topic: topic.to_string(),
            extras,
            body: body.to_vec(),
            unit,
            write_by,
            queued: false,
            written: false,
        };
        self.conns[at].job = Some(job);
        self.busy.insert(task, at);
        if self.conns[at].stage == Stage::Ready {
            self.ready(now, at, found);
        }
    }

    fn open(&mut self, now: Ms, broker: &str, reactor: &Rc<Reactor>) -> Result<usize, Outcome> {
        if self.conns.len() >= self.most {
            let oldest = self.conns.iter().filter(|(_, c)| c.job.is_none());
            let oldest = oldest.min_by(|a, b| a.1.idle_since.total_cmp(&b.1.idle_since)).map(|c| c.0);
            self.close(oldest.ok_or(Outcome::NotSent)?);
        }
        let to = broker.parse().map_err(|_| Outcome::NoConnection)?;
        let entry = self.conns.vacant_entry();
        let at = entry.key();
        let stream =
            Stream::connect(to, reactor, token(SourceKind::Broker, at)).map_err(|_| Outcome::NoConnection)?;
        self.opened += 1;
        let mut session = Session::new(stream);
        session.mqtt.set_auto_pub_response(true);
        entry.insert(Conn {
            session,
            broker: broker.to_string(),
            name: format!("{}-{}", self.prefix, self.opened),
            stage: Stage::Connecting,
            opened: now,
            job: None,
            idle_since: now,
        });
        Ok(at)
    }

    fn close(&mut self, at: usize) {
        if let Some(job) = self.conns.try_remove(at).and_then(|c| c.job) {
            self.busy.remove(&job.task);
        }
    }

    /// Breaks a task off by closing its session.
    pub fn abandon(&mut self, now: Ms, task: Task, outcome: Outcome, found: &mut Vec<Finding>) {
        if let Some(at) = self.busy.get(&task).copied() {
            self.break_off(now, at, outcome, EndedFirst::Dispatcher, found);
        }
    }

    /// Closes a session. The end of what it has published is told after a while, and of what it has not at once.
    fn break_off(
        &mut self,
        now: Ms,
        at: usize,
        outcome: Outcome,
        first: EndedFirst,
        found: &mut Vec<Finding>,
    ) {
        let job = self.conns.get(at).and_then(|c| c.job.as_ref());
        let Some(job) = job.filter(|j| j.written && matches!(j.task, Task::Delegation(..))) else {
            let written = job.is_some_and(|j| j.written);
            return self.end(now, at, if written { outcome } else { Outcome::NoConnection }, found);
        };
        let (task, started) = (job.task, job.started);
        let closing = Closing::new(now, End::of(outcome), first);
        if closing.endpoint_closed {
            found.push(Finding::Ended { task, took: now - started, end: closing.pending(now) });
        }
        self.close(at);
        self.endings.push(Ending { task, started, closing });
    }

    /// Ends delegations that are not written yet and share a wait.
    pub fn hold(&mut self, now: Ms, dest: DestId, route: Option<RouteId>, found: &mut Vec<Finding>) {
        let held = |c: &Conn| {
            let fits = |j: &Job| !j.written && j.unit.0 == dest && route.is_none_or(|r| r == j.unit.1);
            c.job.as_ref().is_some_and(fits)
        };
        let due: Vec<usize> = self.conns.iter().filter(|(_, c)| held(c)).map(|(at, _)| at).collect();
        due.into_iter().for_each(|at| self.end(now, at, Outcome::NotSent, found));
    }

    /// Closes idle sessions with a worker's broker.
    pub fn close_idle(&mut self, address: &str) {
        let Some((broker, _)) = split(address) else { return };
        self.conns.retain(|_, c| c.job.is_some() || c.broker != broker);
    }

    fn end(&mut self, now: Ms, at: usize, outcome: Outcome, found: &mut Vec<Finding>) {
        if let Some(j) = self.conns.get(at).and_then(|c| c.job.as_ref()) {
            found.push(ended(j.task, outcome, now - j.started));
        }
        self.close(at);
    }

    /// Something happened on a connection.
    pub fn ready(&mut self, now: Ms, at: usize, found: &mut Vec<Finding>) {
        let Some(c) = self.conns.get_mut(at) else { return };
        if c.stage == Stage::Connecting {
            match c.session.stream.is_up() {
                Ok(true) => {
                    c.stage = Stage::Greeting;
                    let hello =
                        Connect::builder().client_id(&c.name).map(|b| b.clean_start(true).keep_alive(0));
                    match hello.and_then(|b| b.build()) {
                        Ok(p) => c.session.send(now, p),
                        Err(_) => c.session.over = true,
                    }
                }
                Ok(false) => return,
                Err(_) => return self.end(now, at, Outcome::NoConnection, found),
            }
        }
        self.push(now, at, found);
        loop {
            let Some(c) = self.conns.get_mut(at) else { return };
            let (packets, more) = c.session.read(now);
            for packet in packets {
                self.packet(now, at, packet, found);
            }
            if !more {
                break;
            }
        }
        self.push(now, at, found);
        if self.conns.get(at).is_some_and(|c| c.session.over) {
            self.break_off(now, at, Outcome::Reset, EndedFirst::Endpoint, found);
        }
    }

    /// Queues the delegation once the session is ready, and writes.
    fn push(&mut self, now: Ms, at: usize, found: &mut Vec<Finding>) {
        let Some(c) = self.conns.get_mut(at) else { return };
        let unwritten = c.job.as_ref().filter(|j| !j.written);
        if let Some(Err(reason)) = unwritten.map(|j| guard::may_write(now, j.write_by)) {
            return self.refuse(now, at, reason, found);
        }
        if let Some(job) = c.job.as_mut().filter(|j| c.stage == Stage::Ready && !j.queued) {
            job.queued = true;
            job.extras.response = answers(&c.name);
            let id = c.session.mqtt.acquire_packet_id();
            match id.and_then(|id| publish(id, &job.topic, &job.extras, &job.body, false)) {
                Ok(p) => c.session.send(now, p),
                Err(_) => c.session.over = true,
            }
        }
        match c.session.stream.flush() {
            Ok(all) => {
                if let Some(job) = c.job.as_mut().filter(|j| all && j.queued && !j.written && !c.session.over)
                {
                    job.written = true;
                    found.push(Finding::Written(job.task));
                }
            }
            Err(_) => c.session.over = true,
        }
    }

    fn packet(&mut self, now: Ms, at: usize, packet: Packet, found: &mut Vec<Finding>) {
        let Some(c) = self.conns.get_mut(at) else { return };
        match packet {
            Packet::V5_0Connack(p) if p.reason_code() == ConnectReasonCode::Success => {
                let entry = SubEntry::new(answers(&c.name), SubOpts::new().set_qos(Qos::AtLeastOnce));
                let id = c.session.mqtt.acquire_packet_id();
                let ask = entry.and_then(|e| id.map(|id| (e, id)));
                match ask.and_then(|(e, id)| Subscribe::builder().packet_id(id).entries(vec![e]).build()) {
                    Ok(p) => c.session.send(now, p),
                    Err(_) => c.session.over = true,
                }
            }
            Packet::V5_0Suback(p) => {
                let granted = |r: &SubackReasonCode| {
                    matches!(r, SubackReasonCode::GrantedQos0 | SubackReasonCode::GrantedQos1)
                };
                match p.reason_codes().iter().all(granted) {
                    true => c.stage = Stage::Ready,
                    false => c.session.over = true,
                }
            }
            Packet::V5_0Puback(p) => {
                // The broker has it, or says that nobody will: only the latter tells something.
                let outcome = match p.reason_code() {
                    None | Some(PubackReasonCode::Success) => return,
                    Some(PubackReasonCode::QuotaExceeded) => Outcome::Refused,
                    Some(_) => Outcome::NoConnection,
                };
                self.finish(now, at, |task, took| ended(task, outcome, took), found);
            }
            Packet::V5_0Publish(p) => {
                let extras = Extras::of(&p);
                if c.job.as_ref().is_none_or(|j| !j.queued || j.extras.correlation != extras.correlation) {
                    return;
                }
                let wait: f64 = extras.get("retry-after").parse().unwrap_or(0.0);
                let h = Head {
                    code: extras.get("status").parse().unwrap_or(500),
                    wait: if wait.is_finite() && wait > 0.0 { wait * 1000.0 } else { 0.0 },
                    report: report(extras.get("pressure")),
                    over_slots: extras.get("over-slots") == "1",
                    ..Head::default()
                };
                self.finish(now, at, |task, took| answered(task, &h, took), found);
            }
            Packet::V5_0Disconnect(_) | Packet::V5_0Connack(_) => c.session.over = true,
            _ => {}
        }
    }

    /// The job is done and the session free for another.
    fn finish(&mut self, now: Ms, at: usize, made: impl Fn(Task, Ms) -> Finding, found: &mut Vec<Finding>) {
        let Some(c) = self.conns.get_mut(at) else { return };
        if let Some(job) = c.job.take() {
            self.busy.remove(&job.task);
            found.push(made(job.task, now - job.started));
        }
        c.idle_since = now;
    }

    /// Ends a task that the rules do not let be written any more.
    fn refuse(&mut self, now: Ms, at: usize, reason: Reason, found: &mut Vec<Finding>) {
        if let Some(job) = self.conns.get(at).and_then(|c| c.job.as_ref()) {
            found.push(refused(job.task, reason, now - job.started));
        }
        self.close(at);
    }

    fn due(&self, c: &Conn) -> Option<Ms> {
        match &c.job {
            Some(job) if c.stage != Stage::Ready => Some((c.opened + self.connect_timeout).min(job.write_by)),
            None if c.stage != Stage::Ready => Some(c.opened + self.connect_timeout),
            Some(Job { task: Task::Probe(_), started, .. }) => Some(started + PROBE_TIMEOUT),
            Some(_) => None,
            None => Some(c.idle_since + self.keep_idle).filter(|t| *t < f64::MAX),
        }
    }

    /// When [`Brokers::tick`] has something to do.
    pub fn next_due(&self) -> Option<Ms> {
        let endings = self.endings.iter().map(|e| e.closing.until);
        self.conns.iter().filter_map(|(_, c)| self.due(c)).chain(endings).min_by(f64::total_cmp)
    }

    /// Tells the ends that endpoints count as over by now.
    fn tell_endings(&mut self, now: Ms, found: &mut Vec<Finding>) {
        self.endings.retain(|e| {
            let is_over = e.closing.until <= now;
            if is_over {
                let (task, took) = (e.task, now - e.started);
                found.push(Finding::Ended { task, took, end: e.closing.confirmed() });
            }
            !is_over
        });
    }

    /// Gives up sessions that do not come up and probes without an answer; closes what was idle too long.
    pub fn tick(&mut self, now: Ms, found: &mut Vec<Finding>) {
        self.tell_endings(now, found);
        let due = |c: &Conn| self.due(c).is_some_and(|t| t <= now);
        let due: Vec<usize> = self.conns.iter().filter(|(_, c)| due(c)).map(|(at, _)| at).collect();
        for at in due {
            let unwritten = self.conns[at].job.as_ref().filter(|j| !j.written);
            if unwritten.is_some_and(|j| j.write_by <= now) {
                self.refuse(now, at, Reason::WindowOver, found);
                continue;
            }
            let up = self.conns[at].stage == Stage::Ready;
            self.end(now, at, if up { Outcome::Late } else { Outcome::NoConnection }, found);
        }
    }
}

/// Where workers answer a session.
fn answers(name: &str) -> String {
    format!("lilacbank/answers/{name}")
}
