//! Bytes of commands and packets, as clients write them without a library: sound or unsound, whole or in part.

/// A RESP2 command.
pub fn command(parts: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        bytes.extend(format!("${}\r\n", part.len()).into_bytes());
        bytes.extend(*part);
        bytes.extend(b"\r\n");
    }
    bytes
}

/// A SUBMIT command without an ordering key.
pub fn submit(id: &str, options: &str, body: &[u8]) -> Vec<u8> {
    command(&[b"SUBMIT", b"0", id.as_bytes(), options.as_bytes(), body])
}

/// An MQTT PINGREQ packet.
pub const MQTT_PING: [u8; 2] = [0xC0, 0];
/// An MQTT DISCONNECT packet without a reason code.
pub const MQTT_DISCONNECT: [u8; 2] = [0xE0, 0];

/// Appends a text with its length, as MQTT has them.
fn push_text(bytes: &mut Vec<u8>, text: &str) {
    bytes.extend((text.len() as u16).to_be_bytes());
    bytes.extend(text.as_bytes());
}

/// A length in MQTT's variable byte form.
fn variable_length(mut length: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    loop {
        let low = (length % 128) as u8;
        length /= 128;
        if length == 0 {
            bytes.push(low);
            return bytes;
        }
        bytes.push(low | 0x80);
    }
}

/// A packet with this first byte and this rest behind its length.
fn packet(first: u8, rest: &[u8]) -> Vec<u8> {
    let mut bytes = vec![first];
    bytes.extend(variable_length(rest.len()));
    bytes.extend(rest);
    bytes
}

/// An MQTT 5 CONNECT without a keep-alive.
pub fn mqtt_connect(client_id: &str, clean_start: bool) -> Vec<u8> {
    let mut rest = b"\x00\x04MQTT\x05".to_vec();
    rest.push(if clean_start { 2 } else { 0 });
    rest.extend([0, 0, 0]);
    push_text(&mut rest, client_id);
    packet(0x10, &rest)
}

/// A SUBSCRIBE to one filter, with QoS 1.
pub fn mqtt_subscribe(packet_id: u16, filter: &str) -> Vec<u8> {
    let mut rest = packet_id.to_be_bytes().to_vec();
    rest.push(0);
    push_text(&mut rest, filter);
    rest.push(1);
    packet(0x82, &rest)
}

/// A PUBLISH; with a packet id its QoS is 1, else 0.
pub fn mqtt_publish(
    topic: &str,
    packet_id: Option<u16>,
    response_topic: &str,
    user_properties: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let mut properties = Vec::new();
    if !response_topic.is_empty() {
        properties.push(0x08);
        push_text(&mut properties, response_topic);
    }
    for (name, value) in user_properties {
        properties.push(0x26);
        push_text(&mut properties, name);
        push_text(&mut properties, value);
    }
    let mut rest = Vec::new();
    push_text(&mut rest, topic);
    packet_id.into_iter().for_each(|id| rest.extend(id.to_be_bytes()));
    rest.extend(variable_length(properties.len()));
    rest.extend(properties);
    rest.extend(body);
    packet(if packet_id.is_some() { 0x32 } else { 0x30 }, &rest)
}

/// A PUBLISH that submits a message under this id.
pub fn mqtt_submit(packet_id: Option<u16>, id: &str, class: &str, dest: u64, body: &[u8]) -> Vec<u8> {
    let dest = dest.to_string();
    let user = [("id", id), ("class", class), ("dest", dest.as_str()), ("tenant", "acme")];
    mqtt_publish("lilacbank/submit", packet_id, "answers", &user, body)
}
