//! Stand-ins for MQTT: a broker with endpoints behind it, and a client. A test can end the sessions of both.
#![allow(dead_code)]

use super::{wait_until, TEST_TIMEOUT};
use mqtt_protocol_core::mqtt::common::Cursor;
use mqtt_protocol_core::mqtt::connection::{Event, Sendable};
use mqtt_protocol_core::mqtt::packet::v5_0::{Connack, Connect, Puback, Publish, Suback, Subscribe};
use mqtt_protocol_core::mqtt::packet::{
    CorrelationData, GenericPacketTrait, MessageExpiryInterval, Packet, Property, Qos, ResponseTopic,
    SubEntry, SubOpts, UserProperty,
};
use mqtt_protocol_core::mqtt::result_code::{ConnectReasonCode, PubackReasonCode, SubackReasonCode};
use mqtt_protocol_core::mqtt::{role, Connection, Version};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A blocking MQTT connection.
pub struct MqttConnection<R: role::RoleType> {
    tcp: TcpStream,
    mqtt: Connection<R>,
    received: Vec<Packet>,
}

impl<R: role::RoleType> MqttConnection<R> {
    pub fn new(tcp: TcpStream) -> MqttConnection<R> {
        tcp.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        MqttConnection { tcp, mqtt: Connection::new(Version::V5_0), received: Vec::new() }
    }

    fn handle_events(&mut self, events: Vec<Event>) {
        for event in events {
            match event {
                Event::RequestSendPacket { packet, .. } => {
                    let _ = self.tcp.write_all(&packet.to_continuous_buffer());
                }
                Event::NotifyPacketReceived(p) => self.received.push(p),
                Event::NotifyError(e) => panic!("the dispatcher broke the protocol: {e:?}"),
                _ => {}
            }
        }
    }

    pub fn send<P: Sendable<R, u16>>(&mut self, packet: P) {
        let events = self.mqtt.checked_send(packet);
        self.handle_events(events);
    }

    /// Waits for the next packet; `None` once the connection has ended.
    pub fn next(&mut self) -> Option<Packet> {
        while self.received.is_empty() {
            let mut bytes = [0; 4096];
            let n = self.tcp.read(&mut bytes).ok().filter(|n| *n > 0)?;
            let mut cursor = Cursor::new(&bytes[..n]);
            while (cursor.position() as usize) < n {
                let events = self.mqtt.recv(&mut cursor);
                self.handle_events(events);
            }
        }
        Some(self.received.remove(0))
    }
}

/// A client that handles one packet at a time: the test decides when it reads, acknowledges and sends again.
impl MqttConnection<role::Client> {
    /// Connects without a clean start.
    pub fn open(to: SocketAddr, name: &str) -> MqttConnection<role::Client> {
        let mut connection = MqttConnection::new(TcpStream::connect(to).unwrap());
        connection.send(Connect::builder().client_id(name).unwrap().clean_start(false).build().unwrap());
        let Some(Packet::V5_0Connack(_)) = connection.next() else { panic!("no CONNACK") };
        connection
    }

    pub fn subscribe(&mut self, filter: &str) {
        let id = self.mqtt.acquire_packet_id().unwrap();
        let entry = SubEntry::new(filter, SubOpts::new().set_qos(Qos::AtLeastOnce)).unwrap();
        self.send(Subscribe::builder().packet_id(id).entries(vec![entry]).build().unwrap());
    }

    /// Submits a message with an answer to `answers`; with `dup` it is sent again.
    pub fn submit(&mut self, id: &str, user: &[(&str, &str)], dup: bool) {
        let user = user.iter().copied().chain([("id", id)]);
        let user = user.map(|(k, v)| UserProperty::new(k, v).unwrap());
        let mut props: Vec<Property> = user.map(Property::UserProperty).collect();
        props.push(Property::ResponseTopic(ResponseTopic::new("answers").unwrap()));
        let packet = self.mqtt.acquire_packet_id().unwrap();
        let p = Publish::builder().topic_name("lilacbank/submit").unwrap().qos(Qos::AtLeastOnce);
        let p = p.dup(dup).packet_id(packet).props(props).payload(id.as_bytes());
        self.send(p.build().unwrap());
    }

    /// Waits for the next answer: the id of its packet, the message's id and the outcome.
    pub fn next_answer(&mut self) -> (u16, String, String) {
        loop {
            match self.next() {
                Some(Packet::V5_0Publish(p)) => {
                    let m = MqttMessage::of(&p);
                    let property = |name: &str| m.user_property(name).to_string();
                    return (p.packet_id().unwrap(), property("id"), property("outcome"));
                }
                Some(_) => {}
                None => panic!("the connection ended before an answer"),
            }
        }
    }

    /// Waits until a submission is acknowledged.
    pub fn wait_for_ack(&mut self) {
        while !matches!(self.next(), Some(Packet::V5_0Puback(_))) {}
    }

    pub fn acknowledge(&mut self, packet: u16) {
        let ack = Puback::builder().packet_id(packet).reason_code(PubackReasonCode::Success);
        self.send(ack.build().unwrap());
    }
}

#[derive(Debug, Clone)]
pub struct MqttMessage {
    pub topic: String,
    pub response_topic: String,
    pub correlation: Vec<u8>,
    pub expiry: Option<u32>,
    pub user_properties: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub at: Instant,
}

impl MqttMessage {
    fn of(p: &Publish) -> MqttMessage {
        let (mut response, mut correlation, mut expiry, mut user) =
            (String::new(), Vec::new(), None, Vec::new());
        for prop in p.props() {
            match prop {
                Property::ResponseTopic(t) => response = t.val().to_string(),
                Property::CorrelationData(c) => correlation = c.val().to_vec(),
                Property::MessageExpiryInterval(s) => expiry = Some(s.val()),
                Property::UserProperty(u) => user.push((u.key().to_string(), u.val().to_string())),
                _ => {}
            }
        }
        let body = p.payload().as_slice().to_vec();
        MqttMessage {
            topic: p.topic_name().into(),
            response_topic: response,
            correlation,
            expiry,
            user_properties: user,
            body,
            at: Instant::now(),
        }
    }

    pub fn user_property(&self, name: &str) -> &str {
        self.user_properties.iter().find(|u| u.0 == name).map_or("", |u| &u.1)
    }
}

fn publish_packet(id: u16, topic: &str, m: &MqttMessage) -> Publish {
    let mut props = vec![Property::CorrelationData(CorrelationData::new(&m.correlation).unwrap())];
    if !m.response_topic.is_empty() {
        props.push(Property::ResponseTopic(ResponseTopic::new(&m.response_topic).unwrap()));
    }
    props.extend(m.expiry.map(|s| Property::MessageExpiryInterval(MessageExpiryInterval::new(s).unwrap())));
    props.extend(
        m.user_properties.iter().map(|(k, v)| Property::UserProperty(UserProperty::new(k, v).unwrap())),
    );
    let p = Publish::builder().topic_name(topic).unwrap().qos(Qos::AtLeastOnce).packet_id(id);
    p.props(props).payload(&m.body[..]).build().unwrap()
}

/// How the endpoint behind the broker handles a call.
pub enum EndpointBehavior {
    /// Answers with this status and, if given, a retry-after in seconds.
    Answer(u16, Option<&'static str>),
    /// Sends the answer before this one again, and then answers with this status.
    AnswerBehindCopy(u16),
    /// Runs the call and never answers.
    NoAnswer,
    /// The session ends before the broker has passed the call on.
    LostBeforeDelivery,
    /// The session ends after the endpoint has run the call.
    BrokenAfterRun,
}

/// A broker whose only other clients are its endpoints: every PUBLISH reaches one at once.
#[derive(Clone)]
pub struct Broker {
    pub address: SocketAddr,
    /// Calls other than probes, in the order of arrival.
    pub calls: Arc<Mutex<Vec<MqttMessage>>>,
    /// The message id of each call that took effect, repeats included.
    pub effects: Arc<Mutex<Vec<String>>>,
    /// When sessions ended.
    pub session_ends: Arc<Mutex<Vec<Instant>>>,
}

impl Broker {
    pub fn start(worker: impl Fn(&MqttMessage, usize) -> EndpointBehavior + Send + Sync + 'static) -> Broker {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let broker =
            Broker { address, calls: Arc::default(), effects: Arc::default(), session_ends: Arc::default() };
        let (served, worker) = (broker.clone(), Arc::new(worker));
        thread::spawn(move || {
            for tcp in listener.incoming().map_while(Result::ok) {
                let (served, worker) = (served.clone(), worker.clone());
                thread::spawn(move || {
                    served.serve(tcp, &*worker);
                    served.session_ends.lock().unwrap().push(Instant::now());
                });
            }
        });
        broker
    }

    fn serve(&self, tcp: TcpStream, worker: &dyn Fn(&MqttMessage, usize) -> EndpointBehavior) {
        let end = tcp.try_clone().unwrap();
        let mut connection = MqttConnection::<role::Server>::new(tcp);
        let mut filters = Vec::new();
        let mut last_answer: Option<(String, MqttMessage)> = None;
        while let Some(packet) = connection.next() {
            match packet {
                Packet::V5_0Connect(_) => {
                    let ack =
                        Connack::builder().session_present(false).reason_code(ConnectReasonCode::Success);
                    connection.send(ack.build().unwrap());
                }
                Packet::V5_0Subscribe(s) => {
                    filters.extend(s.entries().iter().map(|e| e.topic_filter().to_string()));
                    let codes = vec![SubackReasonCode::GrantedQos1; s.entries().len()];
                    connection.send(
                        Suback::builder().packet_id(s.packet_id()).reason_codes(codes).build().unwrap(),
                    );
                }
                Packet::V5_0Publish(p) => {
                    let m = MqttMessage::of(&p);
                    let does = {
                        let mut calls = self.calls.lock().unwrap();
                        let probe = m.user_property("probe") == "1";
                        let does =
                            if probe { EndpointBehavior::Answer(200, None) } else { worker(&m, calls.len()) };
                        if !probe {
                            calls.push(m.clone());
                        }
                        let ran = matches!(
                            does,
                            EndpointBehavior::Answer(200 | 500, _)
                                | EndpointBehavior::AnswerBehindCopy(200 | 500)
                                | EndpointBehavior::NoAnswer
                                | EndpointBehavior::BrokenAfterRun
                        );
                        if ran && !probe {
                            self.effects.lock().unwrap().push(m.user_property("id").to_string());
                        }
                        does
                    };
                    if matches!(does, EndpointBehavior::LostBeforeDelivery | EndpointBehavior::BrokenAfterRun)
                    {
                        let _ = end.shutdown(Shutdown::Both);
                        return;
                    }
                    let ack = Puback::builder().packet_id(p.packet_id().unwrap());
                    connection.send(ack.reason_code(PubackReasonCode::Success).build().unwrap());
                    let behind_copy = matches!(does, EndpointBehavior::AnswerBehindCopy(_));
                    if let Some((topic, copy)) = last_answer.as_ref().filter(|_| behind_copy) {
                        let id = connection.mqtt.acquire_packet_id().unwrap();
                        connection.send(publish_packet(id, topic, copy));
                    }
                    let answer = match does {
                        EndpointBehavior::Answer(status, wait) => Some((status, wait)),
                        EndpointBehavior::AnswerBehindCopy(status) => Some((status, None)),
                        _ => None,
                    };
                    if let Some((status, wait)) = answer {
                        assert!(
                            filters.contains(&m.response_topic),
                            "no subscription for '{}'",
                            m.response_topic
                        );
                        let mut user = vec![("status".to_string(), status.to_string())];
                        user.extend(wait.map(|w| ("retry-after".to_string(), w.to_string())));
                        let topic = m.response_topic.clone();
                        let answer = MqttMessage {
                            response_topic: String::new(),
                            user_properties: user,
                            expiry: None,
                            ..m
                        };
                        let id = connection.mqtt.acquire_packet_id().unwrap();
                        connection.send(publish_packet(id, &topic, &answer));
                        last_answer = Some((topic, answer));
                    }
                }
                _ => {}
            }
        }
    }

    pub fn endpoint_address(&self, topic: &str) -> String {
        format!("mqtt://{}/{topic}", self.address)
    }

    pub fn effect_count(&self, id: &str) -> usize {
        self.effects.lock().unwrap().iter().filter(|e| *e == id).count()
    }
}

/// An MQTT client of the dispatcher. It keeps the answers of all its sessions.
pub struct MqttClient {
    to: SocketAddr,
    name: String,
    socket: Option<TcpStream>,
    connection: Option<Arc<Mutex<MqttConnection<role::Client>>>>,
    pub answers: Arc<Mutex<Vec<MqttMessage>>>,
    /// Reason codes of the acknowledgements of submitted messages.
    pub acks: Arc<Mutex<Vec<PubackReasonCode>>>,
    /// What the last CONNACK said of the client's session.
    pub session_present: bool,
}

impl MqttClient {
    pub fn connect(to: SocketAddr, name: &str) -> MqttClient {
        let (answers, acks) = Default::default();
        let mut c = MqttClient {
            to,
            name: name.into(),
            socket: None,
            connection: None,
            answers,
            acks,
            session_present: false,
        };
        c.reconnect(to);
        c
    }

    pub fn disconnect(&mut self) {
        if let Some(tcp) = self.socket.take() {
            let _ = tcp.shutdown(Shutdown::Both);
        }
        self.connection = None;
    }

    /// Ends the connection and opens a new one under the same client id, subscribed to its answers.
    pub fn reconnect(&mut self, to: SocketAddr) {
        self.open(to, |_| true);
    }

    /// Ends the connection and opens a new one under the same client id. Relies on CONNACK: subscribes only if the
    /// session is not present.
    pub fn resume(&mut self, to: SocketAddr) {
        self.open(to, |session_present| !session_present);
    }

    fn open(&mut self, to: SocketAddr, subscribes: impl Fn(bool) -> bool) {
        self.disconnect();
        self.to = to;
        let tcp = TcpStream::connect(self.to).unwrap();
        let reader = tcp.try_clone().unwrap();
        self.socket = Some(tcp.try_clone().unwrap());
        let mut connection = MqttConnection::<role::Client>::new(tcp);
        let connect = Connect::builder().client_id(&*self.name).unwrap().clean_start(false).build().unwrap();
        connection.send(connect);
        let Some(Packet::V5_0Connack(ack)) = connection.next() else { panic!("no CONNACK") };
        assert_eq!(ack.reason_code(), ConnectReasonCode::Success);
        self.session_present = ack.session_present();
        if subscribes(self.session_present) {
            let id = connection.mqtt.acquire_packet_id().unwrap();
            let filter = format!("answers/{}/#", self.name);
            let entry = SubEntry::new(filter, SubOpts::new().set_qos(Qos::AtLeastOnce)).unwrap();
            connection.send(Subscribe::builder().packet_id(id).entries(vec![entry]).build().unwrap());
        }
        let connection = Arc::new(Mutex::new(connection));
        self.connection = Some(connection.clone());
        let (answers, acks) = (self.answers.clone(), self.acks.clone());
        // The reader waits on its own handle of the socket, since it must not hold the lock that sending
        // needs.
        reader.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        thread::spawn(move || {
            let mut socket = reader;
            loop {
                // First what has arrived together with CONNACK.
                let mut held = connection.lock().unwrap();
                for packet in std::mem::take(&mut held.received) {
                    match packet {
                        Packet::V5_0Publish(p) => {
                            answers.lock().unwrap().push(MqttMessage::of(&p));
                            let ack = Puback::builder().packet_id(p.packet_id().unwrap());
                            held.send(ack.reason_code(PubackReasonCode::Success).build().unwrap());
                        }
                        Packet::V5_0Puback(p) => {
                            acks.lock().unwrap().push(p.reason_code().unwrap_or(PubackReasonCode::Success));
                        }
                        _ => {}
                    }
                }
                drop(held);
                let mut bytes = [0; 4096];
                let Some(n) = socket.read(&mut bytes).ok().filter(|n| *n > 0) else { return };
                let mut held = connection.lock().unwrap();
                let mut cursor = Cursor::new(&bytes[..n]);
                while (cursor.position() as usize) < n {
                    let events = held.mqtt.recv(&mut cursor);
                    held.handle_events(events);
                }
            }
        });
    }

    /// Submits a message; `user` holds the user properties beside the id, as `name=value` pairs.
    pub fn submit(&mut self, id: &str, user: &str, expiry: u32) {
        let pairs = user.split(',').filter_map(|p| p.split_once('='));
        let mut all = vec![("id".to_string(), id.to_string())];
        all.extend(pairs.map(|(k, v)| (k.to_string(), v.to_string())));
        let m = MqttMessage {
            topic: String::new(),
            response_topic: format!("answers/{}/{id}", self.name),
            correlation: id.as_bytes().to_vec(),
            expiry: Some(expiry),
            user_properties: all,
            body: b"pay \0 this".to_vec(),
            at: Instant::now(),
        };
        let Some(connection) = &self.connection else { return };
        let mut connection = connection.lock().unwrap();
        let packet = connection.mqtt.acquire_packet_id().unwrap();
        connection.send(publish_packet(packet, "lilacbank/submit", &m));
    }

    /// Outcomes that the client received for a message id.
    pub fn outcomes(&self, id: &str) -> Vec<String> {
        let answers = self.answers.lock().unwrap();
        let own = answers.iter().filter(|a| a.correlation == id.as_bytes());
        own.map(|a| a.user_property("outcome").to_string()).collect()
    }

    pub fn wait_for_outcome(&self, id: &str) -> String {
        wait_until(&format!("an answer for {id}"), || !self.outcomes(id).is_empty());
        self.outcomes(id)[0].clone()
    }
}

/// Waits 300 ms, so that a further answer or call would have arrived.
pub fn settle() {
    thread::sleep(Duration::from_millis(300));
}
