//! MQTT 5: [`acceptor`] is the front end for clients, [`broker`] reaches endpoints. A library provides the
//! packets; this module holds what both sides share: a session on a connection, and the properties of a
//! PUBLISH.

pub mod acceptor;
pub mod broker;
mod pending;

use super::stream::{Fill, Stream};
use crate::api::Ms;
use mqtt_protocol_core::mqtt::common::Cursor;
use mqtt_protocol_core::mqtt::connection::{ConnectionOptions, Event, Sendable, TimerKind};
use mqtt_protocol_core::mqtt::packet::v5_0::Publish;
use mqtt_protocol_core::mqtt::packet::{
    CorrelationData, GenericPacketTrait, MessageExpiryInterval, Packet, Property, Qos, ResponseTopic,
    UserProperty,
};
use mqtt_protocol_core::mqtt::result_code::MqttError;
use mqtt_protocol_core::mqtt::{role, Connection, Version};

/// Maximum size of a packet in bytes: a body and its properties.
const PACKET_MOST: u32 = 80 * 1024;
/// Maximum number of bytes read in one go.
const READ_BUF_MAX: usize = 96 * 1024;
/// Maximum number of unsent bytes for a remote side that reads slowly; beyond it the session is closed.
const WRITE_BUF_MAX: usize = 256 * 1024;

/// An MQTT session on a connection, as a server or a client.
struct Session<R: role::RoleType> {
    stream: Stream,
    mqtt: Connection<R>,
    /// Timers of the library and when they fire.
    timers: Vec<(TimerKind, Ms)>,
    /// The session is closed once the write buffer is written.
    closing: bool,
}

impl<R: role::RoleType> Session<R> {
    fn new(stream: Stream) -> Session<R> {
        let options = ConnectionOptions::new().maximum_packet_size_recv(PACKET_MOST);
        let mqtt = Connection::with_options(Version::V5_0, options);
        Session { stream, mqtt, timers: Vec::new(), closing: false }
    }

    /// Sends a packet; the session fails if the library refuses it.
    fn send<P: Sendable<R, u16>>(&mut self, now: Ms, packet: P) {
        let events = self.mqtt.checked_send(packet);
        self.handle_events(now, events);
    }

    /// Executes the events of the library; returns the packets received.
    fn handle_events(&mut self, now: Ms, events: Vec<Event>) -> Vec<Packet> {
        let mut packets = Vec::new();
        for event in events {
            match event {
                Event::RequestSendPacket { packet, .. } => self.stream.queue(&packet.to_continuous_buffer()),
                Event::NotifyPacketReceived(packet) => packets.push(packet),
                Event::RequestTimerReset { kind, duration_ms } => {
                    self.timers.retain(|a| a.0 != kind);
                    self.timers.push((kind, now + duration_ms as Ms));
                }
                Event::RequestTimerCancel(kind) => {
                    self.timers.retain(|a| a.0 != kind);
                }
                Event::NotifyError(e) => {
                    log::debug!("MQTT protocol error: {e:?}");
                    self.closing = true;
                }
                Event::RequestClose => self.closing = true,
                Event::NotifyPacketIdReleased(_) => {}
            }
        }
        self.closing |= self.stream.unwritten() > WRITE_BUF_MAX;
        packets
    }

    /// Reads received packets, up to a bound so that other connections get their turn; the session ends with
    /// its connection. The second value tells whether there may be more.
    fn read(&mut self, now: Ms) -> (Vec<Packet>, bool) {
        let mut packets = Vec::new();
        let fill = self.stream.fill(READ_BUF_MAX);
        let bytes = std::mem::take(&mut self.stream.read_buf);
        let mut cursor = Cursor::new(&bytes[..]);
        while (cursor.position() as usize) < bytes.len() && !self.closing {
            let events = self.mqtt.recv(&mut cursor);
            packets.extend(self.handle_events(now, events));
        }
        self.closing |= fill == Fill::Ended;
        (packets, fill == Fill::Full && !self.closing)
    }

    fn next_due(&self) -> Option<Ms> {
        self.timers.iter().map(|a| a.1).min_by(f64::total_cmp)
    }

    fn tick(&mut self, now: Ms) {
        let due: Vec<TimerKind> = self.timers.iter().filter(|a| a.1 <= now).map(|a| a.0).collect();
        for kind in due {
            self.timers.retain(|a| a.0 != kind);
            let events = self.mqtt.notify_timer_fired(kind);
            self.handle_events(now, events);
        }
    }
}

/// The properties of a PUBLISH.
#[derive(Debug, Default, Clone, PartialEq)]
struct PublishProperties {
    response: String,
    correlation: Vec<u8>,
    expiry_s: Option<u32>,
    user: Vec<(String, String)>,
}

impl PublishProperties {
    fn of(publish: &Publish) -> PublishProperties {
        let mut e = PublishProperties::default();
        for p in publish.props().iter() {
            match p {
                Property::ResponseTopic(t) => e.response = t.val().to_string(),
                Property::CorrelationData(c) => e.correlation = c.val().to_vec(),
                Property::MessageExpiryInterval(s) => e.expiry_s = Some(s.val()),
                Property::UserProperty(u) => e.user.push((u.key().to_string(), u.val().to_string())),
                _ => {}
            }
        }
        e
    }

    fn get(&self, name: &str) -> &str {
        self.user.iter().find(|u| u.0 == name).map_or("", |u| &u.1)
    }
}

/// Builds a PUBLISH with QoS 1, which requires an acknowledgement.
fn publish(
    id: u16,
    topic: &str,
    properties: &PublishProperties,
    body: &[u8],
    dup: bool,
) -> Result<Publish, MqttError> {
    let mut props = Vec::new();
    if !properties.response.is_empty() {
        props.push(Property::ResponseTopic(ResponseTopic::new(&properties.response)?));
    }
    if !properties.correlation.is_empty() {
        props.push(Property::CorrelationData(CorrelationData::new(&properties.correlation)?));
    }
    if let Some(s) = properties.expiry_s {
        props.push(Property::MessageExpiryInterval(MessageExpiryInterval::new(s)?));
    }
    for (name, value) in &properties.user {
        props.push(Property::UserProperty(UserProperty::new(name, value)?));
    }
    let builder = Publish::builder().topic_name(topic)?.qos(Qos::AtLeastOnce).dup(dup);
    builder.packet_id(id).props(props).payload(body).build()
}

/// Whether a topic filter matches a topic.
fn matches(filter: &str, topic: &str) -> bool {
    let mut topic = topic.split('/');
    for part in filter.split('/') {
        match (part, topic.next()) {
            ("#", _) => return true,
            ("+", Some(_)) => {}
            (part, Some(t)) if part == t => {}
            _ => return false,
        }
    }
    topic.next().is_none()
}

#[cfg(test)]
mod tests;
