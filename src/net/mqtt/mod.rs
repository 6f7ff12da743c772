//! The MQTT 5 front: [`acceptor`] serves clients, [`broker`] reaches workers. The packets are the library's; here is
//! what both sides share: a session on a connection, and the properties of a PUBLISH.

pub mod acceptor;
pub mod broker;

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

/// Bytes of a packet at most: a body and its properties.
const PACKET_MOST: u32 = 80 * 1024;
const READ_BUF_MAX: usize = 96 * 1024;
/// Bytes that may wait for a client that reads slowly.
const WRITE_BUF_MAX: usize = 256 * 1024;

/// A connection that speaks MQTT in one of its roles.
struct Session<R: role::RoleType> {
    stream: Stream,
    mqtt: Connection<R>,
    alarms: Vec<(TimerKind, Ms)>,
    /// It carries nothing any more once its outbox is written.
    over: bool,
}

impl<R: role::RoleType> Session<R> {
    fn new(stream: Stream) -> Session<R> {
        let options = ConnectionOptions::new().maximum_packet_size_recv(PACKET_MOST);
        let mqtt = Connection::with_options(Version::V5_0, options);
        Session { stream, mqtt, alarms: Vec::new(), over: false }
    }

    /// Sends a packet, or fails the session where the library refuses it.
    fn send<P: Sendable<R, u16>>(&mut self, now: Ms, packet: P) {
        let events = self.mqtt.checked_send(packet);
        self.obey(now, events);
    }

    fn obey(&mut self, now: Ms, events: Vec<Event>) -> Vec<Packet> {
        let mut packets = Vec::new();
        for event in events {
            match event {
                Event::RequestSendPacket { packet, .. } => self.stream.queue(&packet.to_continuous_buffer()),
                Event::NotifyPacketReceived(packet) => packets.push(packet),
                Event::RequestTimerReset { kind, duration_ms } => {
                    self.alarms.retain(|a| a.0 != kind);
                    self.alarms.push((kind, now + duration_ms as Ms));
                }
                Event::RequestTimerCancel(kind) => {
                    self.alarms.retain(|a| a.0 != kind);
                }
                Event::NotifyError(e) => {
                    log::debug!("an MQTT session failed: {e:?}");
                    self.over = true;
                }
                Event::RequestClose => self.over = true,
                Event::NotifyPacketIdReleased(_) => {}
            }
        }
        self.over |= self.stream.unwritten() > WRITE_BUF_MAX;
        packets
    }

    /// Reads what has come, up to so much that others have their turn too; the session is over if the connection is.
    /// The second value: there may be more.
    fn read(&mut self, now: Ms) -> (Vec<Packet>, bool) {
        let mut packets = Vec::new();
        let fill = self.stream.fill(READ_BUF_MAX);
        let bytes = std::mem::take(&mut self.stream.read_buf);
        let mut cursor = Cursor::new(&bytes[..]);
        while (cursor.position() as usize) < bytes.len() && !self.over {
            let events = self.mqtt.recv(&mut cursor);
            packets.extend(self.obey(now, events));
        }
        self.over |= fill == Fill::Ended;
        (packets, fill == Fill::Full && !self.over)
    }

    fn next_due(&self) -> Option<Ms> {
        self.alarms.iter().map(|a| a.1).min_by(f64::total_cmp)
    }

    fn tick(&mut self, now: Ms) {
        let due: Vec<TimerKind> = self.alarms.iter().filter(|a| a.1 <= now).map(|a| a.0).collect();
        for kind in due {
            self.alarms.retain(|a| a.0 != kind);
            let events = self.mqtt.notify_timer_fired(kind);
            self.obey(now, events);
        }
    }
}

/// What a PUBLISH carries beside its topic and payload.
#[derive(Debug, Default, Clone, PartialEq)]
struct Extras {
    response: String,
    correlation: Vec<u8>,
    expiry_s: Option<u32>,
    user: Vec<(String, String)>,
}

impl Extras {
    fn of(publish: &Publish) -> Extras {
        let mut e = Extras::default();
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

/// A PUBLISH that asks for an acknowledgement.
fn publish(id: u16, topic: &str, extras: &Extras, body: &[u8], dup: bool) -> Result<Publish, MqttError> {
    let mut props = Vec::new();
    if !extras.response.is_empty() {
        props.push(Property::ResponseTopic(ResponseTopic::new(&extras.response)?));
    }
    if !extras.correlation.is_empty() {
        props.push(Property::CorrelationData(CorrelationData::new(&extras.correlation)?));
    }
    if let Some(s) = extras.expiry_s {
        props.push(Property::MessageExpiryInterval(MessageExpiryInterval::new(s)?));
    }
    for (name, value) in &extras.user {
        props.push(Property::UserProperty(UserProperty::new(name, value)?));
    }
    let builder = Publish::builder().topic_name(topic)?.qos(Qos::AtLeastOnce).dup(dup);
    builder.packet_id(id).props(props).payload(body).build()
}

/// Does a topic filter match a topic?
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
mod tests {
    use super::matches;

    #[test]
    fn filters_match_as_the_specification_says() {
        for (filter, topic, fits) in [
            ("a/b", "a/b", true),
            ("a/+", "a/b", true),
            ("a/+", "a/b/c", false),
            ("a/#", "a/b/c", true),
            ("a/#", "a", true),
            ("#", "a/b", true),
            ("a", "a/b", false),
            ("a/b/c", "a/b", false),
        ] {
            assert_eq!(matches(filter, topic), fits, "{filter} {topic}");
        }
    }
}
