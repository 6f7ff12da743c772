//! MQTT 5: [`acceptor`] is the front end for clients, [`broker`] reaches endpoints. A library provides the
//! packets; `session` has a session on a connection, and this module the properties of a PUBLISH.

pub mod acceptor;
pub mod broker;
mod framing;
mod pending;
mod session;

use mqtt_protocol_core::mqtt::packet::v5_0::Publish;
use mqtt_protocol_core::mqtt::packet::{
    CorrelationData, MessageExpiryInterval, Property, Qos, ResponseTopic, UserProperty,
};
use mqtt_protocol_core::mqtt::result_code::MqttError;

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
