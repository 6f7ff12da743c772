//! MQTT front end. A client submits a message with a PUBLISH to [`SUBMIT_TOPIC`] and gets one final answer on
//! its response topic. Its client id identifies it; a message that it submits again under the same id joins
//! the message already held.

use super::super::reactor::Reactor;
use super::pending::{answer_bytes, outcome_name, Client, NEW_CLIENT_BYTES, NO_MESSAGE, REJECTION_KEPT};
use super::session::Session;
use super::{matches, publish, PublishProperties};
use crate::api::Ms;
use crate::dispatch::{ClientTicket, Core, FinalAnswer, Submission, Verdict, MAX_NAME_BYTES};
use crate::journal::{Ending, Identity, MessageNo};
use crate::memory::Holder;
use crate::net::displacement::{pick_to_close, Candidate, Connections, Use};
use crate::net::resp::FIRST_REQUEST_TIMEOUT;
use crate::net::stream::Stream;
use crate::net::{token, SourceKind};
use mio::net::TcpStream;
use mqtt_protocol_core::mqtt::packet::v5_0::{Connack, Disconnect, Puback, Publish, Suback, Unsuback};
use mqtt_protocol_core::mqtt::packet::{MaximumQos, Packet, Property, Qos, RetainAvailable};
use mqtt_protocol_core::mqtt::result_code::{
    ConnectReasonCode, DisconnectReasonCode, PubackReasonCode, SubackReasonCode, UnsubackReasonCode,
};
use mqtt_protocol_core::mqtt::role::Server;
use slab::Slab;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

/// Topic to which clients submit messages.
pub const SUBMIT_TOPIC: &str = "lilacbank/submit";
/// Maximum number of topic filters of one client.
const FILTERS_MAX: usize = 32;
/// Maximum number of unacknowledged answers to one client at a time.
const ANSWERS_IN_FLIGHT_MAX: usize = 16;
/// Maximum number of clients that are remembered without a connection and without pending answers.
const DISCONNECTED_CLIENTS_MAX: usize = 256;
/// Maximum number of answers that a client has not acknowledged; beyond it nothing more is taken on from it.
const PENDING_ANSWERS_MAX: usize = 256;
/// Interval in milliseconds between counts of the bytes that are kept for clients.
const COUNT_INTERVAL: Ms = 100.0;

struct Conn {
    session: Session<Server>,
    client: Option<String>,
    connected_at: Ms,
    /// Distinguishes the connection from an earlier one with the same index, also of the same client.
    serial: u64,
    /// It has input left for the next turn.
    unfinished: bool,
}

/// A submission that waits for its verdict.
#[derive(Debug)]
struct PendingSubmission {
    conn: usize,
    serial: u64,
    client: String,
    packet: Option<u16>,
    id: String,
    reply: Vec<u8>,
}

/// The connections and the state of MQTT clients.
pub struct MqttClients {
    conns: Slab<Conn>,
    clients: HashMap<String, Client>,
    submissions: HashMap<ClientTicket, PendingSubmission>,
    /// Number of submissions of each message that wait for their verdict.
    submitted: HashMap<Identity, usize>,
    reactor: Rc<Reactor>,
    /// Connections with something to send, or to be closed.
    unsent: BTreeSet<usize>,
    /// When the bytes that are kept for clients are next counted.
    count_due_at: Ms,
    next_ticket: ClientTicket,
    next_serial: u64,
    /// Connections with data left for the next turn.
    unfinished: Vec<usize>,
    max: usize,
    draining: bool,
    /// A sibling process serves, to which clients may connect and change their subscriptions.
    sibling_serves: bool,
}

/// The connections with the core, which serves what is read from them.
struct Served<'a> {
    clients: &'a mut MqttClients,
    core: &'a mut Core,
    acknowledged: &'a mut Vec<MessageNo>,
}

impl Connections for Served<'_> {
    fn candidates(&self) -> impl Iterator<Item = Candidate> {
        self.clients.conns.iter().map(|(index, c)| candidate(index, c))
    }

    fn candidate(&self, index: usize) -> Option<Candidate> {
        self.clients.conns.get(index).map(|c| candidate(index, c))
    }

    fn read(&mut self, now: Ms, index: usize) {
        self.acknowledged.extend(self.clients.ready(now, index, self.core));
    }
}

fn candidate(index: usize, c: &Conn) -> Candidate {
    let used_for = if c.client.is_none() { Use::Unserved } else { Use::Busy };
    let (connected_at, serial) = (c.connected_at, c.serial);
    Candidate { index, used_for, connected_at, last_used: connected_at, serial }
}

/// Encodes the response topic and the correlation data for the core.
fn encode_reply(properties: &PublishProperties) -> Vec<u8> {
    let mut bytes = (properties.response.len() as u32).to_le_bytes().to_vec();
    bytes.extend_from_slice(properties.response.as_bytes());
    bytes.extend_from_slice(&properties.correlation);
    bytes
}

/// Decodes the response topic and the correlation data.
fn decode_reply(bytes: &[u8]) -> Option<PublishProperties> {
    let (len, rest) = bytes.split_first_chunk::<4>()?;
    let (response, correlation) = rest.split_at_checked(u32::from_le_bytes(*len) as usize)?;
    let response = String::from_utf8(response.to_vec()).ok()?;
    Some(PublishProperties { response, correlation: correlation.to_vec(), ..PublishProperties::default() })
}

fn submission(client: &str, properties: &PublishProperties, body: &[u8]) -> Result<Submission, String> {
    let text = |name: &str| Some(properties.get(name)).filter(|v| !v.is_empty());
    let key = text("key").map(|k| u64::from_str_radix(k, 16)).transpose();
    let dest = text("dest").ok_or("the user property dest is missing")?;
    if properties.response.is_empty() {
        return Err("a response topic is needed".into());
    }
    Ok(Submission {
        identity: (client.to_string(), text("id").ok_or("the user property id is missing")?.to_string()),
        class: text("class").ok_or("the user property class is missing")?.to_string(),
        tenant: properties.get("tenant").to_string(),
        key: key.map_err(|_| "key is not made of hex digits")?.filter(|k| *k != 0),
        idempotency_key: properties.get("idempotency-key").to_string(),
        dest: dest.parse().map_err(|_| "bad dest")?,
        time_left: properties.expiry_s.map(|s| Ms::from(s) * 1000.0),
        resubmitted: properties.get("again") == "1",
        reply_to: encode_reply(properties),
        body: body.to_vec(),
    })
}

impl MqttClients {
    /// Creates the set without clients; `max` bounds the number of connections.
    pub fn new(max: usize, reactor: &Rc<Reactor>) -> MqttClients {
        MqttClients {
            conns: Slab::new(),
            clients: HashMap::new(),
            submissions: HashMap::new(),
            submitted: HashMap::new(),
            reactor: Rc::clone(reactor),
            unsent: BTreeSet::new(),
            count_due_at: 0.0,
            next_ticket: 0,
            next_serial: 0,
            unfinished: Vec::new(),
            max,
            draining: false,
            sibling_serves: false,
        }
    }

    /// Reports whether a sibling process serves. Sessions without a connection here are then given up: the client
    /// may have gone on at the sibling.
    pub fn observe_sibling(&mut self, serves: bool) {
        self.sibling_serves = serves;
        if serves {
            self.clients.values_mut().filter(|c| c.conn.is_none()).for_each(Client::give_up_session);
        }
    }

    /// Closes connections without a CONNECT while there are more than `max`; established sessions stay. False if
    /// none may be closed. While draining, [`MqttClients::accept`] rejects all new connections. Messages whose
    /// final answer was acknowledged meanwhile are added to `acknowledged`.
    pub fn make_room(&mut self, now: Ms, core: &mut Core, acknowledged: &mut Vec<MessageNo>) -> bool {
        while self.conns.len() > self.max && !self.draining {
            let max = self.max;
            let picked = pick_to_close(&mut Served { clients: self, core, acknowledged }, now, max);
            let Some(index) = picked else { return false };
            self.close(now, index);
        }
        true
    }

    /// Registers a new connection.
    pub fn accept(&mut self, now: Ms, tcp: TcpStream, reactor: &Rc<Reactor>) {
        if self.draining {
            return log::warn!("an MQTT connection is rejected while draining");
        }
        let entry = self.conns.vacant_entry();
        match Stream::accepted(tcp, reactor, token(SourceKind::MqttClient, entry.key())) {
            Ok(stream) => {
                self.next_serial += 1;
                let (session, serial) = (Session::new(stream), self.next_serial);
                entry.insert(Conn { session, client: None, connected_at: now, serial, unfinished: false });
            }
            Err(e) => log::warn!("an MQTT connection cannot be registered: {e}"),
        }
    }

    /// Handles an event on a connection; returns messages whose final answer was acknowledged.
    pub fn ready(&mut self, now: Ms, index: usize, core: &mut Core) -> Vec<MessageNo> {
        // What is left over has its share of the next turn.
        let has_share = self.conns.get(index).is_some_and(|c| !c.unfinished);
        if has_share {
            self.serve(now, index, core)
        } else {
            Vec::new()
        }
    }

    /// Reads and handles a connection's share of packets for this turn.
    fn serve(&mut self, now: Ms, index: usize, core: &mut Core) -> Vec<MessageNo> {
        let mut acknowledged = Vec::new();
        let Some(c) = self.conns.get_mut(index) else { return acknowledged };
        c.unfinished = false;
        // Pending output is written before more input is read.
        if c.session.stream.flush().is_ok_and(|all| !all) {
            return acknowledged;
        }
        let (packets, more) = c.session.read(now);
        let has_left = c.session.has_left(&packets);
        c.unfinished = more;
        if more {
            self.unfinished.push(index);
        }
        for packet in packets {
            // The client sends again what was not acknowledged.
            if has_left && matches!(packet, Packet::V5_0Publish(_)) {
                log::debug!(conn = index, cause = "client_left"; "a message is not taken on: its client has left");
                continue;
            }
            self.handle_packet(now, index, packet, core, &mut acknowledged);
        }
        self.send_or_close(now, index);
        acknowledged
    }

    /// Sends what became ready since the last call: acknowledgements and final answers.
    pub fn send_ready(&mut self, now: Ms) {
        for index in std::mem::take(&mut self.unsent) {
            self.send_or_close(now, index);
        }
    }

    /// Sends pending answers, and closes the connection if its session has ended.
    fn send_or_close(&mut self, now: Ms, index: usize) {
        if let Some(client) = self.conns.get(index).and_then(|c| c.client.clone()) {
            self.send_pending_answers(now, &client);
        }
        let Some(c) = self.conns.get_mut(index) else { return };
        if c.session.stream.flush().is_err() || c.session.closing {
            self.close(now, index);
        }
    }

    /// Whether `more` bytes may be kept for clients. If memory is short, sessions without a connection are given up,
    /// the one that ended first before others.
    fn make_memory(&mut self, now: Ms, more: usize) -> bool {
        if self.reactor.memory.has_room(Holder::Sessions, more) {
            self.reactor.memory.change(Holder::Sessions, 0, more);
            return true;
        }
        if now >= self.count_due_at {
            self.count_bytes(now);
            let mut gone: Vec<(Ms, String)> = self
                .clients
                .iter()
                .filter(|(_, c)| c.can_give_up())
                .map(|(name, c)| (c.disconnected_at, name.clone()))
                .collect();
            gone.sort_by(|a, b| a.0.total_cmp(&b.0));
            for (_, name) in gone {
                if self.reactor.memory.has_room(Holder::Sessions, more) {
                    break;
                }
                self.give_up_session(&name);
            }
        }
        let has_room = self.reactor.memory.has_room(Holder::Sessions, more);
        match has_room {
            true => self.reactor.memory.change(Holder::Sessions, 0, more),
            false => self.reactor.memory.count_refused(Holder::Sessions),
        }
        has_room
    }

    /// Gives up the session of a client without a connection.
    fn give_up_session(&mut self, name: &str) {
        let Some(client) = self.clients.get_mut(name) else { return };
        let before = client.bytes(name);
        client.give_up_session();
        client.filters = Vec::new();
        let after = client.bytes(name);
        if client.answers.is_empty() {
            self.clients.remove(name);
        }
        self.reactor.memory.change(Holder::Sessions, before, after);
    }

    fn count_bytes(&mut self, now: Ms) {
        self.count_due_at = now + COUNT_INTERVAL;
        let bytes = self.clients.iter().map(|(name, c)| c.bytes(name)).sum();
        self.reactor.memory.set(Holder::Sessions, bytes);
    }

    fn close(&mut self, now: Ms, index: usize) {
        let Some(c) = self.conns.try_remove(index) else { return };
        c.session.stream.finish();
        let Some(client) = c.client.and_then(|name| self.clients.get_mut(&name)) else { return };
        if client.conn == Some(index) {
            client.disconnect(now);
            if self.sibling_serves {
                client.give_up_session();
            }
        }
        if self.clients.len() > DISCONNECTED_CLIENTS_MAX + self.conns.len() {
            self.clients.retain(|_, c| c.conn.is_some() || !c.answers.is_empty());
        }
    }

    fn handle_packet(
        &mut self,
        now: Ms,
        index: usize,
        packet: Packet,
        core: &mut Core,
        acknowledged: &mut Vec<MessageNo>,
    ) {
        let Some(c) = self.conns.get_mut(index) else { return };
        let client = c.client.clone();
        match (packet, client) {
            (Packet::V5_0Connect(p), None) => self.handle_connect(now, index, p.client_id(), p.clean_start()),
            (Packet::V5_0Publish(p), Some(client)) => self.handle_publish(now, index, &client, &p, core),
            (Packet::V5_0Puback(p), Some(name)) => {
                let Some(client) = self.clients.get_mut(&name) else { return };
                acknowledged.extend(client.acknowledge(p.packet_id()));
            }
            (Packet::V5_0Subscribe(p), Some(name)) => {
                let mut codes = Vec::new();
                for entry in p.entries() {
                    codes.push(self.subscribe(now, &name, entry.topic_filter().to_string()));
                }
                let Some(c) = self.conns.get_mut(index) else { return };
                if let Ok(ack) = Suback::builder().packet_id(p.packet_id()).reason_codes(codes).build() {
                    c.session.send(now, ack);
                }
            }
            (Packet::V5_0Unsubscribe(p), Some(name)) => {
                let Some(client) = self.clients.get_mut(&name) else { return };
                let mut codes = Vec::new();
                for entry in p.entries() {
                    client.filters.retain(|f| f != entry.as_str());
                    codes.push(UnsubackReasonCode::Success);
                }
                if let Ok(ack) = Unsuback::builder().packet_id(p.packet_id()).reason_codes(codes).build() {
                    c.session.send(now, ack);
                }
            }
            (Packet::V5_0Pingreq(_), Some(_)) => {
                if let Ok(pong) = mqtt_protocol_core::mqtt::packet::v5_0::Pingresp::builder().build() {
                    c.session.send(now, pong);
                }
            }
            _ => c.session.closing = true,
        }
    }

    /// Adds a subscription of a client.
    fn subscribe(&mut self, now: Ms, name: &str, filter: String) -> SubackReasonCode {
        let has_memory = self.make_memory(now, filter.len());
        let Some(client) = self.clients.get_mut(name) else { return SubackReasonCode::UnspecifiedError };
        client.filters.retain(|f| *f != filter);
        if !has_memory || client.filters.len() >= FILTERS_MAX {
            return SubackReasonCode::QuotaExceeded;
        }
        client.filters.push(filter);
        SubackReasonCode::GrantedQos1
    }

    fn handle_connect(&mut self, now: Ms, index: usize, name: &str, clean: bool) {
        if let Some(old) = self.clients.get(name).and_then(|c| c.conn).filter(|old| *old != index) {
            if let Some(c) = self.conns.get_mut(old) {
                let bye = Disconnect::builder().reason_code(DisconnectReasonCode::SessionTakenOver).build();
                bye.into_iter().for_each(|p| c.session.send(now, p));
                let _ = c.session.stream.flush();
            }
            self.close(now, old);
        }
        // Without a client id a client could not be recognized after it reconnects.
        let code = if name.is_empty() || name.len() > MAX_NAME_BYTES {
            ConnectReasonCode::ClientIdentifierNotValid
        } else if !self.clients.contains_key(name) && !self.make_memory(now, NEW_CLIENT_BYTES + name.len()) {
            ConnectReasonCode::QuotaExceeded
        } else {
            ConnectReasonCode::Success
        };
        let Some(c) = self.conns.get_mut(index) else { return };
        let resumed = !clean && self.clients.get(name).is_some_and(|c| c.has_session);
        let mut props = Vec::new();
        props.extend(MaximumQos::new(1).ok().map(Property::MaximumQos));
        props.extend(RetainAvailable::new(0).ok().map(Property::RetainAvailable));
        let ack = Connack::builder().session_present(resumed).reason_code(code).props(props).build();
        match ack {
            Ok(ack) => c.session.send(now, ack),
            Err(_) => c.session.closing = true,
        }
        if code != ConnectReasonCode::Success {
            c.session.closing = true;
            return;
        }
        c.client = Some(name.to_string());
        let client = self.clients.entry(name.to_string()).or_default();
        client.conn = Some(index);
        client.has_session = true;
        if !resumed {
            client.filters.clear();
        }
    }

    fn handle_publish(&mut self, now: Ms, index: usize, client: &str, p: &Publish, core: &mut Core) {
        let properties = PublishProperties::of(p);
        if p.qos() == Qos::ExactlyOnce {
            self.conns[index].session.closing = true;
            return;
        }
        if p.topic_name() != SUBMIT_TOPIC {
            return self.acknowledge(now, index, p.packet_id(), PubackReasonCode::TopicNameInvalid);
        }
        match submission(client, &properties, p.payload().as_slice()) {
            Ok(s) if self.repeat_rejection(client, &s) => {
                self.acknowledge(now, index, p.packet_id(), PubackReasonCode::Success);
            }
            Ok(_) if !self.may_submit(client) => {
                log::debug!(cause = "answers_not_acknowledged"; "a message of '{client}' is refused");
                self.acknowledge(now, index, p.packet_id(), PubackReasonCode::QuotaExceeded);
            }
            Ok(s) => {
                *self.submitted.entry(s.identity.clone()).or_default() += 1;
                let ticket = self.next_ticket * 2 + 1;
                self.next_ticket += 1;
                let (id, reply) = (s.identity.1.clone(), s.reply_to.clone());
                let (serial, client) = (self.conns[index].serial, client.to_string());
                let submission =
                    PendingSubmission { conn: index, serial, client, packet: p.packet_id(), id, reply };
                self.submissions.insert(ticket, submission);
                core.submit(now, ticket, s);
            }
            Err(why) => {
                core.counters.malformed += 1;
                log::debug!("a submission of '{client}' cannot be read: {why}");
                self.acknowledge(now, index, p.packet_id(), PubackReasonCode::PayloadFormatInvalid);
            }
        }
    }

    /// Whether the client may know that this message was rejected, and has not acknowledged that: then the rejection
    /// is the answer to this submission, too. If it were accepted, the client could submit it under another id, as
    /// the rejection says, and it would take effect twice.
    fn repeat_rejection(&mut self, name: &str, s: &Submission) -> bool {
        let Some(client) = self.clients.get_mut(name) else { return false };
        client.drop_unsent_rejections(&s.identity.1);
        let Some(rejection) = client.known_rejection(&s.identity.1) else { return false };
        if rejection.packet.is_none() {
            rejection.told.reply_to = s.reply_to.clone();
        }
        true
    }

    /// Whether a client may submit: it takes the answers that it gets.
    fn may_submit(&self, name: &str) -> bool {
        self.clients.get(name).is_none_or(|c| c.answers.len() < PENDING_ANSWERS_MAX)
    }

    fn acknowledge(&mut self, now: Ms, index: usize, packet: Option<u16>, code: PubackReasonCode) {
        let Some((c, id)) = self.conns.get_mut(index).zip(packet) else { return };
        if let Ok(ack) = Puback::builder().packet_id(id).reason_code(code).build() {
            c.session.send(now, ack);
        }
    }

    /// Handles a verdict: acknowledges the PUBLISH, and queues the final answer if the message was rejected.
    pub fn answer(&mut self, now: Ms, ticket: ClientTicket, verdict: &Verdict) {
        let Some(a) = self.submissions.remove(&ticket) else { return };
        let mut moved = None;
        let ending = match verdict {
            Verdict::Accepted => None,
            Verdict::Busy(wait) => Some(Ending::Returned(*wait)),
            Verdict::ServedElsewhere { retry_after: wait, name, mqtt, .. } => {
                moved = Some((name.clone(), *mqtt));
                Some(Ending::Returned(*wait))
            }
            Verdict::Failed(why) => {
                log::debug!("the message {} of '{}' failed: {why}", a.id, a.client);
                Some(Ending::GivenUp)
            }
        };
        let identity = (a.client, a.id);
        // If the client has submitted the message again meanwhile, the verdict on that is the answer.
        let is_last = self.is_last_submission(&identity);
        let answer = ending.filter(|_| is_last).map(|ending| FinalAnswer {
            message_no: NO_MESSAGE,
            identity,
            ending,
            reply_to: a.reply,
            expires_at: now + REJECTION_KEPT,
        });
        let is_kept = answer.as_ref().is_none_or(|told| self.make_memory(now, answer_bytes(told)));
        let code = if is_kept { PubackReasonCode::Success } else { PubackReasonCode::QuotaExceeded };
        // Prevents an acknowledgement on a later connection with the same index, on which the PUBLISH was
        // never sent.
        if self.conns.get(a.conn).is_some_and(|c| c.serial == a.serial) {
            self.acknowledge(now, a.conn, a.packet, code);
        }
        if let Some(told) = answer.filter(|_| is_kept) {
            self.queue_answer(told, moved);
        }
        self.unsent.insert(a.conn);
    }

    /// Counts a submission as answered; whether no other one of the same message waits for its verdict.
    fn is_last_submission(&mut self, identity: &Identity) -> bool {
        let Some(count) = self.submitted.get_mut(identity) else { return true };
        *count -= 1;
        let is_last = *count == 0;
        if is_last {
            self.submitted.remove(identity);
        }
        is_last
    }

    /// Queues a final answer for a client.
    pub fn push_answer(&mut self, told: FinalAnswer) {
        self.queue_answer(told, None);
    }

    fn queue_answer(&mut self, told: FinalAnswer, moved: Option<(String, Option<SocketAddr>)>) {
        let client = self.clients.entry(told.identity.0.clone()).or_default();
        client.queue_answer(told, moved);
        self.unsent.extend(client.conn);
    }

    fn send_pending_answers(&mut self, now: Ms, name: &str) {
        let Some(client) = self.clients.get_mut(name) else { return };
        let Some(c) = client.conn.and_then(|index| self.conns.get_mut(index)) else { return };
        let mut in_flight = client.answers.values().filter(|o| o.packet.is_some()).count();
        for pending in client.answers.values_mut().filter(|o| o.packet.is_none()) {
            let Some(properties) = decode_reply(&pending.told.reply_to) else { continue };
            // The client may allow fewer unacknowledged answers than this side does.
            let vacancy = c.session.mqtt.get_receive_maximum_vacancy_for_send();
            if in_flight >= ANSWERS_IN_FLIGHT_MAX || vacancy == Some(0) || c.session.closing {
                return;
            }
            if !client.filters.iter().any(|f| matches(f, &properties.response)) {
                continue;
            }
            let outcome = outcome_name(pending.told.ending);
            let wait = match pending.told.ending {
                Ending::Returned(wait) => Some(wait.ceil() as u64).filter(|w| *w > 0),
                Ending::Delivered | Ending::GivenUp => None,
            };
            let mut user =
                vec![("id".into(), pending.told.identity.1.clone()), ("outcome".into(), outcome.into())];
            user.extend(wait.map(|w| ("retry-in-ms".into(), w.to_string())));
            if let Some((name, address)) = &pending.moved {
                user.push(("moved-to".into(), name.clone()));
                user.extend(address.map(|a| ("server-reference".into(), a.to_string())));
            }
            let topic = properties.response.clone();
            let answer = PublishProperties { response: String::new(), user, ..properties };
            let Ok(id) = c.session.mqtt.acquire_packet_id() else { return };
            match publish(id, &topic, &answer, outcome.as_bytes(), pending.again) {
                Ok(p) => {
                    pending.packet = Some(id);
                    in_flight += 1;
                    c.session.send(now, p);
                }
                Err(e) => {
                    log::debug!("an answer cannot be published: {e:?}");
                    // Clearing the reply prevents further attempts: an answer without one is skipped.
                    pending.told.reply_to.clear();
                }
            }
        }
    }

    /// Time at which [`MqttClients::tick`] is due.
    pub fn next_due(&self) -> Option<Ms> {
        let connect_due = |c: &Conn| c.client.is_none().then_some(c.connected_at + FIRST_REQUEST_TIMEOUT);
        let due = self.conns.iter().filter_map(|(_, c)| c.session.next_due().or_else(|| connect_due(c)));
        due.chain((!self.unfinished.is_empty()).then_some(0.0)).min_by(f64::total_cmp)
    }

    /// Continues with clients that had more data; closes connections whose keep-alive has expired or that
    /// sent no CONNECT in time; drops answers past their time limit. Returns messages whose final answer was
    /// acknowledged.
    pub fn tick(&mut self, now: Ms, core: &mut Core) -> Vec<MessageNo> {
        let more = std::mem::take(&mut self.unfinished);
        let acknowledged = more.into_iter().flat_map(|index| self.serve(now, index, core)).collect();
        for client in self.clients.values_mut() {
            client.answers.retain(|_, o| o.told.expires_at > now || o.packet.is_some());
        }
        if now >= self.count_due_at {
            self.count_bytes(now);
        }
        let due = |c: &Conn| {
            let connect_due = c.client.is_none() && now - c.connected_at >= FIRST_REQUEST_TIMEOUT;
            connect_due || c.session.next_due().is_some_and(|t| t <= now)
        };
        let all: Vec<usize> = self.conns.iter().filter(|(_, c)| due(c)).map(|(index, _)| index).collect();
        for index in all {
            let c = &mut self.conns[index];
            c.session.closing |= c.client.is_none();
            c.session.tick(now);
            self.send_or_close(now, index);
        }
        acknowledged
    }

    /// Rejects new connections; existing ones are still served.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Sends DISCONNECT to all clients.
    pub fn disconnect_all(&mut self, now: Ms) {
        for (_, c) in self.conns.iter_mut().filter(|(_, c)| c.client.is_some()) {
            let bye = Disconnect::builder().reason_code(DisconnectReasonCode::ServerShuttingDown).build();
            bye.into_iter().for_each(|p| c.session.send(now, p));
            let _ = c.session.stream.flush();
        }
    }
}
