//! The acceptor for MQTT clients. A client submits by a PUBLISH to [`SUBMIT_TOPIC`] and gets one final answer on its
//! response topic. Who it is, is its client id; a message it submits again under one id joins the message held.

use super::super::reactor::Reactor;
use super::{matches, publish, Extras, Session};
use crate::api::Ms;
use crate::dispatch::{Core, Submission, Ticket, Told, Verdict};
use crate::journal::{CallNo, Ending};
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
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

/// Where clients submit.
pub const SUBMIT_TOPIC: &str = "lilacbank/submit";
/// A client is told what was not taken on for so long.
const REFUSAL_KEPT: Ms = 5_000.0;
/// Filters of one client at most.
const FILTERS_MOST: usize = 32;
/// Answers on their way to one client at a time.
const ANSWERS_OUT_MOST: usize = 16;
/// Clients remembered without a connection and with nothing owed.
const ABSENT_MOST: usize = 256;

struct Conn {
    session: Session<Server>,
    client: Option<String>,
    since: Ms,
    /// Tells it from an earlier connection in the same place, also one of the same client.
    serial: u64,
}

/// A final answer that a client is owed until it acknowledges it.
#[derive(Debug)]
struct Owed {
    told: Told,
    /// The packet that carries it on the present connection.
    out: Option<u16>,
    again: bool,
    /// Its tenant is served by this dispatcher, whose MQTT clients connect there.
    moved: Option<(String, Option<SocketAddr>)>,
}

/// What outlives a connection.
#[derive(Debug, Default)]
struct Client {
    conn: Option<usize>,
    filters: Vec<String>,
    owed: BTreeMap<String, Owed>,
}

#[derive(Debug)]
struct Asked {
    conn: usize,
    serial: u64,
    client: String,
    packet: Option<u16>,
    id: String,
    reply: Vec<u8>,
}

/// The connections and sessions of MQTT clients.
pub struct MqttClients {
    conns: Slab<Conn>,
    clients: HashMap<String, Client>,
    asked: HashMap<Ticket, Asked>,
    next_ticket: Ticket,
    next_serial: u64,
    /// Connections that had more to read than one turn takes.
    more: Vec<usize>,
    most: usize,
    draining: bool,
}

/// Response topic and correlation data, as the core keeps them.
fn reply(extras: &Extras) -> Vec<u8> {
    let mut bytes = (extras.response.len() as u32).to_le_bytes().to_vec();
    bytes.extend_from_slice(extras.response.as_bytes());
    bytes.extend_from_slice(&extras.correlation);
    bytes
}

fn unreply(bytes: &[u8]) -> Option<Extras> {
    let (len, rest) = bytes.split_first_chunk::<4>()?;
    let (response, correlation) = rest.split_at_checked(u32::from_le_bytes(*len) as usize)?;
    let response = String::from_utf8(response.to_vec()).ok()?;
    Some(Extras { response, correlation: correlation.to_vec(), ..Extras::default() })
}

fn submission(client: &str, extras: &Extras, body: &[u8]) -> Result<Submission, String> {
    let text = |name: &str| Some(extras.get(name)).filter(|v| !v.is_empty());
    let key = text("key").map(|k| u64::from_str_radix(k, 16)).transpose();
    let dest = text("dest").ok_or("the user property dest is missing")?;
    if extras.response.is_empty() {
        return Err("a response topic is needed".into());
    }
    Ok(Submission {
        identity: (client.to_string(), text("id").ok_or("the user property id is missing")?.to_string()),
        class: text("class").ok_or("the user property class is missing")?.to_string(),
        tenant: extras.get("tenant").to_string(),
        key: key.map_err(|_| "key is not made of hex digits")?.filter(|k| *k != 0),
        idempotency: extras.get("idempotency-key").to_string(),
        dest: dest.parse().map_err(|_| "bad dest")?,
        left: extras.expiry_s.map(|s| Ms::from(s) * 1000.0),
        again: extras.get("again") == "1",
        reply: reply(extras),
        body: body.to_vec(),
    })
}

impl MqttClients {
    /// No client yet, and so many connections at most.
    pub fn new(most: usize) -> MqttClients {
        MqttClients {
            conns: Slab::new(),
            clients: HashMap::new(),
            asked: HashMap::new(),
            next_ticket: 0,
            next_serial: 0,
            more: Vec::new(),
            most,
            draining: false,
        }
    }

    /// Makes room once there are too many clients: the one goes that has said nothing for longest; sessions stay.
    /// While draining all new ones are turned away by [`MqttClients::accept`].
    pub fn room(&mut self) -> bool {
        if self.conns.len() <= self.most || self.draining {
            return true;
        }
        let silent = self.conns.iter().filter(|(_, c)| c.client.is_none());
        let pick = silent.min_by(|a, b| a.1.since.total_cmp(&b.1.since)).map(|c| c.0);
        pick.into_iter().for_each(|at| self.close(at));
        pick.is_some()
    }

    /// A client has connected.
    pub fn accept(&mut self, now: Ms, tcp: TcpStream, reactor: &Rc<Reactor>) {
        if self.draining {
            return log::warn!("an MQTT connection is turned away");
        }
        let entry = self.conns.vacant_entry();
        match Stream::accepted(tcp, reactor, token(SourceKind::MqttClient, entry.key())) {
            Ok(stream) => {
                self.next_serial += 1;
                let (session, serial) = (Session::new(stream), self.next_serial);
                entry.insert(Conn { session, client: None, since: now, serial });
            }
            Err(e) => log::warn!("an MQTT connection cannot be served: {e}"),
        }
    }

    /// Something happened on a connection; returns calls whose final answer was acknowledged.
    pub fn ready(&mut self, now: Ms, at: usize, core: &mut Core) -> Vec<CallNo> {
        let mut heard = Vec::new();
        let Some(c) = self.conns.get_mut(at) else { return heard };
        // What the client has not read is written before more is read from it.
        if c.session.stream.flush().is_ok_and(|all| !all) {
            return heard;
        }
        let (packets, more) = c.session.read(now);
        for packet in packets {
            self.packet(now, at, packet, core, &mut heard);
        }
        if more {
            self.more.push(at);
        }
        self.settle(now, at);
        heard
    }

    /// Writes what is owed, and closes what is over.
    fn settle(&mut self, now: Ms, at: usize) {
        if let Some(client) = self.conns.get(at).and_then(|c| c.client.clone()) {
            self.answer_client(now, &client);
        }
        let Some(c) = self.conns.get_mut(at) else { return };
        if c.session.stream.flush().is_err() || c.session.over {
            self.close(at);
        }
    }

    fn close(&mut self, at: usize) {
        let Some(c) = self.conns.try_remove(at) else { return };
        c.session.stream.finish();
        let Some(client) = c.client.and_then(|name| self.clients.get_mut(&name)) else { return };
        if client.conn == Some(at) {
            client.conn = None;
            client.owed.values_mut().for_each(|o| {
                o.again |= o.out.take().is_some();
            });
        }
        if self.clients.len() > ABSENT_MOST + self.conns.len() {
            self.clients.retain(|_, c| c.conn.is_some() || !c.owed.is_empty());
        }
    }

    fn packet(&mut self, now: Ms, at: usize, packet: Packet, core: &mut Core, heard: &mut Vec<CallNo>) {
        let Some(c) = self.conns.get_mut(at) else { return };
        let client = c.client.clone();
        match (packet, client) {
            (Packet::V5_0Connect(p), None) => self.connect(now, at, p.client_id(), p.clean_start()),
            (Packet::V5_0Publish(p), Some(client)) => self.publish(now, at, &client, &p, core),
            (Packet::V5_0Puback(p), Some(name)) => {
                let Some(client) = self.clients.get_mut(&name) else { return };
                let id = client.owed.iter().find(|o| o.1.out == Some(p.packet_id())).map(|o| o.0.clone());
                heard.extend(id.and_then(|id| client.owed.remove(&id)).map(|o| o.told.no));
            }
            (Packet::V5_0Subscribe(p), Some(name)) => {
                let Some(client) = self.clients.get_mut(&name) else { return };
                let mut codes = Vec::new();
                for entry in p.entries() {
                    let filter = entry.topic_filter().to_string();
                    client.filters.retain(|f| *f != filter);
                    let room = client.filters.len() < FILTERS_MOST;
                    if room {
                        client.filters.push(filter);
                    }
                    let code =
                        if room { SubackReasonCode::GrantedQos1 } else { SubackReasonCode::QuotaExceeded };
                    codes.push(code);
                }
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
            _ => c.session.over = true,
        }
    }

    fn connect(&mut self, now: Ms, at: usize, name: &str, clean: bool) {
        if let Some(old) = self.clients.get(name).and_then(|c| c.conn).filter(|old| *old != at) {
            if let Some(c) = self.conns.get_mut(old) {
                let bye = Disconnect::builder().reason_code(DisconnectReasonCode::SessionTakenOver).build();
                bye.into_iter().for_each(|p| c.session.send(now, p));
                let _ = c.session.stream.flush();
            }
            self.close(old);
        }
        let Some(c) = self.conns.get_mut(at) else { return };
        // Without a name of its own a client could not be told from another after it reconnects.
        let code = match name.is_empty() {
            true => ConnectReasonCode::ClientIdentifierNotValid,
            false => ConnectReasonCode::Success,
        };
        let known = self.clients.contains_key(name) && !clean;
        let mut props = Vec::new();
        props.extend(MaximumQos::new(1).ok().map(Property::MaximumQos));
        props.extend(RetainAvailable::new(0).ok().map(Property::RetainAvailable));
        let ack = Connack::builder()
            .session_present(known && !name.is_empty())
            .reason_code(code)
            .props(props)
            .build();
        match ack {
            Ok(ack) => c.session.send(now, ack),
            Err(_) => c.session.over = true,
        }
        if name.is_empty() {
            c.session.over = true;
            return;
        }
        c.client = Some(name.to_string());
        let client = self.clients.entry(name.to_string()).or_default();
        client.conn = Some(at);
        if clean {
            client.filters.clear();
        }
    }

    fn publish(&mut self, now: Ms, at: usize, client: &str, p: &Publish, core: &mut Core) {
        let extras = Extras::of(p);
        if p.qos() == Qos::ExactlyOnce {
            self.conns[at].session.over = true;
            return;
        }
        if p.topic_name() != SUBMIT_TOPIC {
            return self.acknowledge(now, at, p.packet_id(), PubackReasonCode::TopicNameInvalid);
        }
        match submission(client, &extras, p.payload().as_slice()) {
            Ok(s) => {
                let ticket = self.next_ticket * 2 + 1;
                self.next_ticket += 1;
                let (id, reply) = (s.identity.1.clone(), s.reply.clone());
                let (serial, client) = (self.conns[at].serial, client.to_string());
                let asked = Asked { conn: at, serial, client, packet: p.packet_id(), id, reply };
                self.asked.insert(ticket, asked);
                core.submit(now, ticket, s);
            }
            Err(why) => {
                core.counters.malformed += 1;
                log::debug!("a submission of '{client}' cannot be read: {why}");
                self.acknowledge(now, at, p.packet_id(), PubackReasonCode::PayloadFormatInvalid);
            }
        }
    }

    fn acknowledge(&mut self, now: Ms, at: usize, packet: Option<u16>, code: PubackReasonCode) {
        let Some((c, id)) = self.conns.get_mut(at).zip(packet) else { return };
        if let Ok(ack) = Puback::builder().packet_id(id).reason_code(code).build() {
            c.session.send(now, ack);
        }
    }

    /// A verdict for a client that waits: the PUBLISH is acknowledged, and what was not taken on has its answer.
    pub fn answer(&mut self, now: Ms, ticket: Ticket, verdict: &Verdict) {
        let Some(a) = self.asked.remove(&ticket) else { return };
        let mut moved = None;
        let ending = match verdict {
            Verdict::Taken => None,
            Verdict::Busy(wait) => Some(Ending::HandedBack(*wait)),
            Verdict::Elsewhere { wait, name, mqtt, .. } => {
                moved = Some((name.clone(), *mqtt));
                Some(Ending::HandedBack(*wait))
            }
            Verdict::Failed(why) => {
                log::debug!("the message {} of '{}' failed: {why}", a.id, a.client);
                Some(Ending::GivenUp)
            }
        };
        // Guards against acknowledging on the client's next connection, in the same place, what it never sent there.
        if self.conns.get(a.conn).is_some_and(|c| c.serial == a.serial) {
            self.acknowledge(now, a.conn, a.packet, PubackReasonCode::Success);
        }
        if let Some(ending) = ending {
            let identity = (a.client, a.id);
            let told = Told { no: 0, identity, ending, reply: a.reply, until: now + REFUSAL_KEPT };
            self.owe(now, told, moved);
        }
        self.settle(now, a.conn);
    }

    /// Owes a client its final answer.
    pub fn tell(&mut self, now: Ms, told: Told) {
        self.owe(now, told, None);
    }

    fn owe(&mut self, now: Ms, told: Told, moved: Option<(String, Option<SocketAddr>)>) {
        let name = told.identity.0.clone();
        let client = self.clients.entry(name.clone()).or_default();
        let id = told.identity.1.clone();
        // One that is on its way already is not sent a second time on the same connection.
        if client.owed.get(&id).is_none_or(|o| o.out.is_none()) {
            client.owed.insert(id, Owed { told, out: None, again: false, moved });
        }
        if let Some(at) = client.conn {
            self.settle(now, at);
        }
    }

    fn answer_client(&mut self, now: Ms, name: &str) {
        let Some(client) = self.clients.get_mut(name) else { return };
        let Some(c) = client.conn.and_then(|at| self.conns.get_mut(at)) else { return };
        let mut out = client.owed.values().filter(|o| o.out.is_some()).count();
        for owed in client.owed.values_mut().filter(|o| o.out.is_none()) {
            let Some(extras) = unreply(&owed.told.reply) else { continue };
            // The client may allow fewer answers on their way than this side does.
            let vacancy = c.session.mqtt.get_receive_maximum_vacancy_for_send();
            if out >= ANSWERS_OUT_MOST || vacancy == Some(0) || c.session.over {
                return;
            }
            if !client.filters.iter().any(|f| matches(f, &extras.response)) {
                continue;
            }
            let (outcome, wait) = match owed.told.ending {
                Ending::Delivered => ("delivered", None),
                Ending::GivenUp => ("given_up", None),
                Ending::HandedBack(wait) => ("handed_back", Some(wait.ceil() as u64).filter(|w| *w > 0)),
            };
            let mut user =
                vec![("id".into(), owed.told.identity.1.clone()), ("outcome".into(), outcome.into())];
            user.extend(wait.map(|w| ("retry-in-ms".into(), w.to_string())));
            if let Some((name, at)) = &owed.moved {
                user.push(("moved-to".into(), name.clone()));
                user.extend(at.map(|a| ("server-reference".into(), a.to_string())));
            }
            let topic = extras.response.clone();
            let answer = Extras { response: String::new(), user, ..extras };
            let Ok(id) = c.session.mqtt.acquire_packet_id() else { return };
            match publish(id, &topic, &answer, outcome.as_bytes(), owed.again) {
                Ok(p) => {
                    owed.out = Some(id);
                    out += 1;
                    c.session.send(now, p);
                }
                Err(e) => {
                    log::debug!("an answer cannot be published: {e:?}");
                    // Kept from being tried over and over.
                    owed.told.reply.clear();
                }
            }
        }
    }

    /// When [`MqttClients::tick`] has something to do.
    pub fn next_due(&self) -> Option<Ms> {
        let hello = |c: &Conn| c.client.is_none().then_some(c.since + FIRST_REQUEST_TIMEOUT);
        let due = self.conns.iter().filter_map(|(_, c)| c.session.next_due().or_else(|| hello(c)));
        due.chain((!self.more.is_empty()).then_some(0.0)).min_by(f64::total_cmp)
    }

    /// Goes on with clients that had more to read; closes connections whose keep-alive is over or that never said who
    /// they are; drops answers nobody came for. Returns calls whose final answer was acknowledged.
    pub fn tick(&mut self, now: Ms, core: &mut Core) -> Vec<CallNo> {
        let more = std::mem::take(&mut self.more);
        let heard = more.into_iter().flat_map(|at| self.ready(now, at, core)).collect();
        for client in self.clients.values_mut() {
            client.owed.retain(|_, o| o.told.until > now || o.out.is_some());
        }
        let due = |c: &Conn| {
            let hello = c.client.is_none() && now - c.since >= FIRST_REQUEST_TIMEOUT;
            hello || c.session.next_due().is_some_and(|t| t <= now)
        };
        let all: Vec<usize> = self.conns.iter().filter(|(_, c)| due(c)).map(|(at, _)| at).collect();
        for at in all {
            let c = &mut self.conns[at];
            c.session.over |= c.client.is_none();
            c.session.tick(now);
            self.settle(now, at);
        }
        heard
    }

    /// Takes no new connections; those that are there keep being answered.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Says good-bye to all.
    pub fn leave(&mut self, now: Ms) {
        for (_, c) in self.conns.iter_mut().filter(|(_, c)| c.client.is_some()) {
            let bye = Disconnect::builder().reason_code(DisconnectReasonCode::ServerShuttingDown).build();
            bye.into_iter().for_each(|p| c.session.send(now, p));
            let _ = c.session.stream.flush();
        }
    }
}
