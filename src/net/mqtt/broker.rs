//! Endpoints that are reached through a broker: `mqtt://address:port/topic` in the endpoint list.
//!
//! A session carries one attempt at a time, like an HTTP connection, so that abandoning an attempt means
//! closing its session. Only the endpoint's answer on the session's topic counts; the broker's PUBACK says
//! only that the broker has the message. If a session is lost after its PUBLISH was written, the attempt
//! counts as reset: the message may have run.

use super::super::reactor::Reactor;
use super::session::Session;
use super::{publish, PublishProperties};
use crate::api::*;
use crate::dispatch::{Attempt, AttemptResult};
use crate::guard::{self, ClosedFirst, Reason};
use crate::net::closing::Closing;
use crate::net::finding::{answered, ended, refused, EndpointEvent, RequestKind, PROBE_TIMEOUT};
use crate::net::head::{report, Head};
use crate::net::stream::Stream;
use crate::net::{token, SourceKind};
use mqtt_protocol_core::mqtt::packet::v5_0::{Connect, Subscribe};
use mqtt_protocol_core::mqtt::packet::{Packet, Qos, SubEntry, SubOpts};
use mqtt_protocol_core::mqtt::result_code::{ConnectReasonCode, PubackReasonCode, SubackReasonCode};
use mqtt_protocol_core::mqtt::role::Client;
use slab::Slab;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

/// Scheme of the address of an endpoint behind a broker.
pub const SCHEME: &str = "mqtt://";

/// Splits such an address into broker and topic.
pub fn split(address: &str) -> Option<(&str, &str)> {
    address.strip_prefix(SCHEME)?.split_once('/').filter(|(_, topic)| !topic.is_empty())
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SessionState {
    Connecting,
    /// CONNECT was sent, then SUBSCRIBE; their acknowledgements are outstanding.
    Handshaking,
    Ready,
}

/// The PUBLISH that a session carries for a task.
struct Publication {
    task: RequestKind,
    started: Ms,
    topic: String,
    properties: PublishProperties,
    body: Vec<u8>,
    target: (DestId, EndpointId),
    /// The PUBLISH is not written after this time.
    write_by: Ms,
    queued: bool,
    written: bool,
}

struct Conn {
    session: Session<Client>,
    broker: String,
    name: String,
    state: SessionState,
    opened: Ms,
    publication: Option<Publication>,
    idle_since: Ms,
}

/// An attempt whose session was closed. An endpoint behind a broker does not see that, so its end is
/// confirmed only after a time limit.
struct UnconfirmedEnd {
    task: RequestKind,
    started: Ms,
    closing: Closing,
}

/// All sessions with brokers.
pub struct BrokerSessions {
    conns: Slab<Conn>,
    busy: HashMap<RequestKind, usize>,
    unconfirmed_ends: Vec<UnconfirmedEnd>,
    max: usize,
    connect_timeout: Ms,
    keep_idle: Ms,
    /// Prefix of client ids that distinguishes the sessions of this process from those of other and earlier
    /// processes.
    prefix: String,
    opened: u64,
    /// Sessions with input left for the next turn.
    unfinished: BTreeSet<usize>,
}

impl BrokerSessions {
    /// Creates the set without sessions; `max` bounds their number.
    pub fn new(settings: &Settings, max: usize, prefix: String) -> BrokerSessions {
        let connect_timeout = if settings.connect_timeout > 0.0 { settings.connect_timeout } else { 1_000.0 };
        let keep_idle = if settings.idle_timeout > 0.0 { settings.idle_timeout } else { f64::MAX };
        BrokerSessions {
            conns: Slab::new(),
            busy: HashMap::new(),
            unconfirmed_ends: Vec::new(),
            max,
            connect_timeout,
            keep_idle,
            prefix,
            opened: 0,
            unfinished: BTreeSet::new(),
        }
    }

    /// Number of open sessions.
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// Whether no session is open.
    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    /// Starts an attempt.
    pub fn start_attempt(
        &mut self,
        now: Ms,
        d: &Attempt,
        reactor: &Rc<Reactor>,
        findings: &mut Vec<EndpointEvent>,
    ) {
        let patience = d.timeout.round().max(0.0) as u64;
        let mut user = vec![("id".into(), d.id.clone()), ("remaining-ms".into(), patience.to_string())];
        if !d.idempotency_key.is_empty() {
            user.push(("idempotency-key".into(), d.idempotency_key.clone()));
        }
        let correlation = format!("{}.{}", d.message_no, d.attempt).into_bytes();
        let expiry_s = Some((d.timeout / 1000.0).ceil().clamp(1.0, 1e9) as u32);
        let properties = PublishProperties { response: String::new(), correlation, expiry_s, user };
        let task = RequestKind::Delegation(d.message_no, d.attempt);
        self.start(
            now,
            task,
            &d.address,
            (d.dest, d.endpoint),
            properties,
            (&d.body, d.latest_write),
            reactor,
            findings,
        );
    }

    /// Starts a probe: a PUBLISH with the user property `probe`, which the endpoint answers like a message.
    pub fn probe(
        &mut self,
        now: Ms,
        target: (DestId, EndpointId),
        address: &str,
        reactor: &Rc<Reactor>,
        findings: &mut Vec<EndpointEvent>,
    ) {
        let user = vec![("probe".into(), "1".into())];
        let expiry_s = Some((PROBE_TIMEOUT / 1000.0).ceil() as u32);
        let correlation = format!("probe.{now}").into_bytes();
        let properties = PublishProperties { response: String::new(), correlation, expiry_s, user };
        let task = RequestKind::Probe(target.1);
        if !self.busy.contains_key(&task) {
            self.start(now, task, address, target, properties, (&[], f64::MAX), reactor, findings);
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn start(
        &mut self,
        now: Ms,
        task: RequestKind,
        address: &str,
        target: (DestId, EndpointId),
        properties: PublishProperties,
        (body, write_by): (&[u8], Ms),
        reactor: &Rc<Reactor>,
        findings: &mut Vec<EndpointEvent>,
    ) {
        let Some((broker, topic)) = split(address) else {
            return findings.push(ended(task, Outcome::NoConnection, 0.0));
        };
        let idle = |c: &Conn| c.publication.is_none() && c.state == SessionState::Ready && c.broker == broker;
        let newest = self.conns.iter().filter(|(_, c)| idle(c));
        let index = match newest.max_by(|a, b| a.1.idle_since.total_cmp(&b.1.idle_since)).map(|c| c.0) {
            Some(index) => index,
            None => match self.open(now, broker, reactor) {
                Ok(index) => index,
                Err(outcome) => return findings.push(ended(task, outcome, 0.0)),
            },
        };
        let publication = Publication {
            task,
            started: now,
            topic: topic.to_string(),
            properties,
            body: body.to_vec(),
            target,
            write_by,
            queued: false,
            written: false,
        };
        self.conns[index].publication = Some(publication);
        self.busy.insert(task, index);
        if self.conns[index].state == SessionState::Ready {
            self.ready(now, index, findings);
        }
    }

    fn open(&mut self, now: Ms, broker: &str, reactor: &Rc<Reactor>) -> Result<usize, Outcome> {
        if self.conns.len() >= self.max {
            let oldest = self.conns.iter().filter(|(_, c)| c.publication.is_none());
            let oldest = oldest.min_by(|a, b| a.1.idle_since.total_cmp(&b.1.idle_since)).map(|c| c.0);
            self.close(oldest.ok_or(Outcome::NotSent)?);
        }
        let to = broker.parse().map_err(|_| Outcome::NoConnection)?;
        let entry = self.conns.vacant_entry();
        let index = entry.key();
        let stream = Stream::connect(to, reactor, token(SourceKind::Broker, index))
            .map_err(|_| Outcome::NoConnection)?;
        self.opened += 1;
        let mut session = Session::new(stream);
        session.mqtt.set_auto_pub_response(true);
        entry.insert(Conn {
            session,
            broker: broker.to_string(),
            name: format!("{}-{}", self.prefix, self.opened),
            state: SessionState::Connecting,
            opened: now,
            publication: None,
            idle_since: now,
        });
        Ok(index)
    }

    fn close(&mut self, index: usize) {
        if let Some(publication) = self.conns.try_remove(index).and_then(|c| c.publication) {
            self.busy.remove(&publication.task);
        }
    }

    /// Abandons a task by closing its session.
    pub fn abandon(
        &mut self,
        now: Ms,
        task: RequestKind,
        outcome: Outcome,
        findings: &mut Vec<EndpointEvent>,
    ) {
        if let Some(index) = self.busy.get(&task).copied() {
            self.close_session(now, index, outcome, ClosedFirst::Dispatcher, findings);
        }
    }

    /// Closes a session. The end of a published attempt is confirmed after a time limit; the end of an
    /// unpublished one is reported at once.
    fn close_session(
        &mut self,
        now: Ms,
        index: usize,
        outcome: Outcome,
        first: ClosedFirst,
        findings: &mut Vec<EndpointEvent>,
    ) {
        let publication = self.conns.get(index).and_then(|c| c.publication.as_ref());
        let Some(publication) =
            publication.filter(|j| j.written && matches!(j.task, RequestKind::Delegation(..)))
        else {
            let written = publication.is_some_and(|j| j.written);
            return self.end(now, index, if written { outcome } else { Outcome::NoConnection }, findings);
        };
        let (task, started) = (publication.task, publication.started);
        let closing = Closing::new(now, AttemptResult::new(outcome), first);
        if closing.endpoint_closed {
            findings.push(EndpointEvent::Ended {
                task,
                elapsed: now - started,
                result: closing.pending(now),
            });
        }
        self.close(index);
        self.unconfirmed_ends.push(UnconfirmedEnd { task, started, closing });
    }

    /// Cancels attempts that are not written yet and are subject to a retry-after wait.
    pub fn cancel_unwritten(
        &mut self,
        now: Ms,
        dest: DestId,
        route: Option<EndpointId>,
        findings: &mut Vec<EndpointEvent>,
    ) {
        let cancelled = |c: &Conn| {
            let fits =
                |j: &Publication| !j.written && j.target.0 == dest && route.is_none_or(|r| r == j.target.1);
            c.publication.as_ref().is_some_and(fits)
        };
        let due: Vec<usize> =
            self.conns.iter().filter(|(_, c)| cancelled(c)).map(|(index, _)| index).collect();
        due.into_iter().for_each(|index| self.end(now, index, Outcome::NotSent, findings));
    }

    /// Closes idle sessions with the broker of an endpoint.
    pub fn close_idle(&mut self, address: &str) {
        let Some((broker, _)) = split(address) else { return };
        self.conns.retain(|_, c| c.publication.is_some() || c.broker != broker);
    }

    fn end(&mut self, now: Ms, index: usize, outcome: Outcome, findings: &mut Vec<EndpointEvent>) {
        if let Some(j) = self.conns.get(index).and_then(|c| c.publication.as_ref()) {
            findings.push(ended(j.task, outcome, now - j.started));
        }
        self.close(index);
    }

    /// Handles an event on a connection.
    pub fn ready(&mut self, now: Ms, index: usize, findings: &mut Vec<EndpointEvent>) {
        let Some(c) = self.conns.get_mut(index) else { return };
        if c.state == SessionState::Connecting {
            match c.session.stream.is_up() {
                Ok(true) => {
                    c.state = SessionState::Handshaking;
                    let connect =
                        Connect::builder().client_id(&c.name).map(|b| b.clean_start(true).keep_alive(0));
                    match connect.and_then(|b| b.build()) {
                        Ok(p) => c.session.send(now, p),
                        Err(_) => c.session.closing = true,
                    }
                }
                Ok(false) => return,
                Err(_) => return self.end(now, index, Outcome::NoConnection, findings),
            }
        }
        self.write_pending(now, index, findings);
        let Some(c) = self.conns.get_mut(index) else { return };
        let (packets, more) = c.session.read(now);
        for packet in packets {
            self.handle_packet(now, index, packet, findings);
        }
        if more {
            self.unfinished.insert(index);
        }
        self.write_pending(now, index, findings);
        if self.conns.get(index).is_some_and(|c| c.session.closing) {
            self.close_session(now, index, Outcome::Reset, ClosedFirst::Endpoint, findings);
        }
    }

    /// Queues the PUBLISH once the session is ready, and writes.
    fn write_pending(&mut self, now: Ms, index: usize, findings: &mut Vec<EndpointEvent>) {
        let Some(c) = self.conns.get_mut(index) else { return };
        let unwritten = c.publication.as_ref().filter(|p| !p.written);
        if let Some(Err(reason)) = unwritten.map(|j| guard::may_write(now, j.write_by)) {
            return self.refuse(now, index, reason, findings);
        }
        if let Some(publication) =
            c.publication.as_mut().filter(|j| c.state == SessionState::Ready && !j.queued)
        {
            publication.queued = true;
            publication.properties.response = answer_topic(&c.name);
            let id = c.session.mqtt.acquire_packet_id();
            match id.and_then(|id| {
                publish(id, &publication.topic, &publication.properties, &publication.body, false)
            }) {
                Ok(p) => c.session.send(now, p),
                Err(_) => c.session.closing = true,
            }
        }
        match c.session.stream.flush() {
            Ok(all) => {
                if let Some(publication) =
                    c.publication.as_mut().filter(|j| all && j.queued && !j.written && !c.session.closing)
                {
                    publication.written = true;
                    findings.push(EndpointEvent::Written(publication.task));
                }
            }
            Err(_) => c.session.closing = true,
        }
    }

    fn handle_packet(&mut self, now: Ms, index: usize, packet: Packet, findings: &mut Vec<EndpointEvent>) {
        let Some(c) = self.conns.get_mut(index) else { return };
        match packet {
            Packet::V5_0Connack(p) if p.reason_code() == ConnectReasonCode::Success => {
                let entry = SubEntry::new(answer_topic(&c.name), SubOpts::new().set_qos(Qos::AtLeastOnce));
                let id = c.session.mqtt.acquire_packet_id();
                let ask = entry.and_then(|e| id.map(|id| (e, id)));
                match ask.and_then(|(e, id)| Subscribe::builder().packet_id(id).entries(vec![e]).build()) {
                    Ok(p) => c.session.send(now, p),
                    Err(_) => c.session.closing = true,
                }
            }
            Packet::V5_0Suback(p) => {
                let granted = |r: &SubackReasonCode| {
                    matches!(r, SubackReasonCode::GrantedQos0 | SubackReasonCode::GrantedQos1)
                };
                match p.reason_codes().iter().all(granted) {
                    true => c.state = SessionState::Ready,
                    false => c.session.closing = true,
                }
            }
            Packet::V5_0Puback(p) => {
                // Success only means that the broker has the message; an error means that no endpoint gets
                // it.
                let outcome = match p.reason_code() {
                    None | Some(PubackReasonCode::Success) => return,
                    Some(PubackReasonCode::QuotaExceeded) => Outcome::Refused,
                    Some(_) => Outcome::NoConnection,
                };
                self.finish_publication(now, index, |task, took| ended(task, outcome, took), findings);
            }
            Packet::V5_0Publish(p) => {
                let properties = PublishProperties::of(&p);
                if c.publication
                    .as_ref()
                    .is_none_or(|j| !j.queued || j.properties.correlation != properties.correlation)
                {
                    return;
                }
                let wait: f64 = properties.get("retry-after").parse().unwrap_or(0.0);
                let h = Head {
                    code: properties.get("status").parse().unwrap_or(500),
                    wait: if wait.is_finite() && wait > 0.0 { wait * 1000.0 } else { 0.0 },
                    report: report(properties.get("pressure")),
                    over_slots: properties.get("over-slots") == "1",
                    ..Head::default()
                };
                self.finish_publication(now, index, |task, took| answered(task, &h, took), findings);
            }
            Packet::V5_0Disconnect(_) | Packet::V5_0Connack(_) => c.session.closing = true,
            _ => {}
        }
    }

    /// Reports the end of the publication; the session is free for another one.
    fn finish_publication(
        &mut self,
        now: Ms,
        index: usize,
        report: impl Fn(RequestKind, Ms) -> EndpointEvent,
        findings: &mut Vec<EndpointEvent>,
    ) {
        let Some(c) = self.conns.get_mut(index) else { return };
        if let Some(publication) = c.publication.take() {
            self.busy.remove(&publication.task);
            findings.push(report(publication.task, now - publication.started));
        }
        c.idle_since = now;
    }

    /// Ends a task whose PUBLISH the guard no longer allows to be written.
    fn refuse(&mut self, now: Ms, index: usize, reason: Reason, findings: &mut Vec<EndpointEvent>) {
        if let Some(publication) = self.conns.get(index).and_then(|c| c.publication.as_ref()) {
            findings.push(refused(publication.task, reason, now - publication.started));
        }
        self.close(index);
    }

    fn due(&self, c: &Conn) -> Option<Ms> {
        match &c.publication {
            Some(publication) if c.state != SessionState::Ready => {
                Some((c.opened + self.connect_timeout).min(publication.write_by))
            }
            None if c.state != SessionState::Ready => Some(c.opened + self.connect_timeout),
            Some(Publication { task: RequestKind::Probe(_), started, .. }) => Some(started + PROBE_TIMEOUT),
            Some(_) => None,
            None => Some(c.idle_since + self.keep_idle).filter(|t| *t < f64::MAX),
        }
    }

    /// Time at which [`BrokerSessions::tick`] is due.
    pub fn next_due(&self) -> Option<Ms> {
        let unconfirmed_ends = self.unconfirmed_ends.iter().map(|e| e.closing.until);
        let unfinished = (!self.unfinished.is_empty()).then_some(0.0);
        let due = self.conns.iter().filter_map(|(_, c)| self.due(c)).chain(unconfirmed_ends);
        due.chain(unfinished).min_by(f64::total_cmp)
    }

    /// Reports the ends of attempts that endpoints count as ended by now.
    fn report_unconfirmed_ends(&mut self, now: Ms, findings: &mut Vec<EndpointEvent>) {
        self.unconfirmed_ends.retain(|e| {
            let is_due = e.closing.until <= now;
            if is_due {
                let (task, took) = (e.task, now - e.started);
                findings.push(EndpointEvent::Ended { task, elapsed: took, result: e.closing.confirmed() });
            }
            !is_due
        });
    }

    /// Ends sessions that were not established in time and probes without an answer; closes sessions that
    /// were idle too long.
    pub fn tick(&mut self, now: Ms, findings: &mut Vec<EndpointEvent>) {
        self.report_unconfirmed_ends(now, findings);
        for index in std::mem::take(&mut self.unfinished) {
            self.ready(now, index, findings);
        }
        let due = |c: &Conn| self.due(c).is_some_and(|t| t <= now);
        let due: Vec<usize> = self.conns.iter().filter(|(_, c)| due(c)).map(|(index, _)| index).collect();
        for index in due {
            let unwritten = self.conns[index].publication.as_ref().filter(|p| !p.written);
            if unwritten.is_some_and(|j| j.write_by <= now) {
                self.refuse(now, index, Reason::WindowOver, findings);
                continue;
            }
            let up = self.conns[index].state == SessionState::Ready;
            self.end(now, index, if up { Outcome::Late } else { Outcome::NoConnection }, findings);
        }
    }
}

/// Topic on which endpoints answer a session.
fn answer_topic(name: &str) -> String {
    format!("lilacbank/answers/{name}")
}
