//! A small MQTT 5 client: QoS 1, acknowledgements by hand.
#![allow(dead_code)]

use super::lib::Record;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A packet from the dispatcher.
#[derive(Debug)]
pub enum Received {
    Connack { session_present: bool },
    Suback,
    Puback { packet_id: u16, reason: u8 },
    Publish { packet_id: u16, user: Vec<(String, String)>, dup: bool },
    Other(u8),
}

pub struct MqttClient {
    stream: TcpStream,
    buffer: Vec<u8>,
    next_id: u16,
    name: String,
    record: Record,
    waiting: Vec<Received>,
}

fn string(s: &str) -> Vec<u8> {
    let mut bytes = (s.len() as u16).to_be_bytes().to_vec();
    bytes.extend(s.bytes());
    bytes
}

fn length(mut n: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    loop {
        let byte = (n % 128) as u8;
        n /= 128;
        bytes.push(if n > 0 { byte | 128 } else { byte });
        if n == 0 {
            return bytes;
        }
    }
}

fn packet(first: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![first];
    bytes.extend(length(body.len()));
    bytes.extend(body);
    bytes
}

/// A variable length: its value and its bytes.
fn read_length(bytes: &[u8]) -> Option<(usize, usize)> {
    let (mut value, mut factor) = (0, 1);
    for (n, byte) in bytes.iter().take(4).enumerate() {
        value += (byte & 127) as usize * factor;
        factor *= 128;
        if byte & 128 == 0 {
            return Some((value, n + 1));
        }
    }
    None
}

impl MqttClient {
    /// Connects and waits for CONNACK.
    pub fn connect(to: SocketAddr, name: &str, clean: bool, record: &Record) -> Option<MqttClient> {
        let mut client = MqttClient::connect_at_once(to, name, clean, record)?;
        client.wait_for(|r| matches!(r, Received::Connack { .. }))?;
        Some(client)
    }

    /// Sends CONNECT and does not wait for CONNACK: a client may send other packets right behind it.
    pub fn connect_at_once(to: SocketAddr, name: &str, clean: bool, record: &Record) -> Option<MqttClient> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_millis(500)).ok()?;
        stream.set_nodelay(true).ok()?;
        let mut client = MqttClient {
            stream,
            buffer: Vec::new(),
            next_id: 1,
            name: name.into(),
            record: record.clone(),
            waiting: Vec::new(),
        };
        let mut body = string("MQTT");
        body.extend([5, if clean { 2 } else { 0 }, 0, 0]);
        // The session outlives the connection by an hour.
        body.extend([5, 0x11, 0, 0, 0x0e, 0x10]);
        body.extend(string(name));
        client.stream.write_all(&packet(0x10, &body)).ok()?;
        Some(client)
    }

    /// Reads until such a packet comes; others are kept for [`MqttClient::read`].
    fn wait_for(&mut self, is: impl Fn(&Received) -> bool) -> Option<Received> {
        let until = Instant::now() + Duration::from_secs(2);
        let mut others = Vec::new();
        while Instant::now() < until {
            match self.read_new(Duration::from_millis(100)) {
                Some(r) if is(&r) => {
                    self.waiting.extend(others);
                    return Some(r);
                }
                Some(r) => others.push(r),
                None => {}
            }
        }
        None
    }

    fn id(&mut self) -> u16 {
        self.next_id += 1;
        self.next_id
    }

    pub fn subscribe(&mut self, filter: &str) {
        let mut body = self.id().to_be_bytes().to_vec();
        body.push(0);
        body.extend(string(filter));
        body.push(1);
        let _ = self.stream.write_all(&packet(0x82, &body));
        if self.wait_for(|r| matches!(r, Received::Suback)).is_none() {
            super::lib::cannot_run("no SUBACK");
        }
    }

    /// Sends a PUBLISH with QoS 1 and returns its packet id.
    pub fn publish(
        &mut self,
        topic: &str,
        user: &[(&str, &str)],
        expiry_s: u32,
        response: &str,
        payload: &[u8],
    ) -> u16 {
        let packet_id = self.id();
        self.publish_as(0x32, packet_id, topic, user, expiry_s, response, payload);
        packet_id
    }

    /// Sends a PUBLISH that was not acknowledged on an earlier connection again, with its packet id and DUP.
    pub fn publish_again(
        &mut self,
        packet_id: u16,
        topic: &str,
        user: &[(&str, &str)],
        expiry_s: u32,
        response: &str,
        payload: &[u8],
    ) {
        self.next_id = self.next_id.max(packet_id);
        self.publish_as(0x3a, packet_id, topic, user, expiry_s, response, payload);
    }

    #[allow(clippy::too_many_arguments)]
    fn publish_as(
        &mut self,
        first: u8,
        packet_id: u16,
        topic: &str,
        user: &[(&str, &str)],
        expiry_s: u32,
        response: &str,
        payload: &[u8],
    ) {
        let mut properties = vec![2];
        properties.extend(expiry_s.to_be_bytes());
        properties.push(8);
        properties.extend(string(response));
        for (name, value) in user {
            properties.push(0x26);
            properties.extend(string(name));
            properties.extend(string(value));
        }
        let mut body = string(topic);
        body.extend(packet_id.to_be_bytes());
        body.extend(length(properties.len()));
        body.extend(properties);
        body.extend(payload);
        let _ = self.stream.write_all(&packet(first, &body));
    }

    pub fn puback(&mut self, packet_id: u16) {
        self.record.add(format!("{}: PUBACK of the answer", self.name));
        let _ = self.stream.write_all(&packet(0x40, &packet_id.to_be_bytes()));
    }

    /// The next packet, if one comes in this time.
    pub fn read(&mut self, within: Duration) -> Option<Received> {
        if !self.waiting.is_empty() {
            return Some(self.waiting.remove(0));
        }
        self.read_new(within)
    }

    fn read_new(&mut self, within: Duration) -> Option<Received> {
        let until = Instant::now() + within;
        loop {
            if let Some(received) = self.parse() {
                self.record.add(format!("{}: receives {received:?}", self.name));
                return Some(received);
            }
            let left = until.checked_duration_since(Instant::now())?;
            self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(n) if n > 0 => self.buffer.extend(&bytes[..n]),
                Ok(_) => {
                    std::thread::sleep(left);
                    return None;
                }
                Err(_) => {}
            }
        }
    }

    fn parse(&mut self) -> Option<Received> {
        let first = *self.buffer.first()?;
        let (size, used) = read_length(&self.buffer[1..])?;
        if self.buffer.len() < 1 + used + size {
            return None;
        }
        let body: Vec<u8> = self.buffer[1 + used..1 + used + size].to_vec();
        self.buffer.drain(..1 + used + size);
        let number = |at: usize| u16::from_be_bytes([body[at], body[at + 1]]);
        Some(match first >> 4 {
            2 => Received::Connack { session_present: body[0] == 1 },
            9 => Received::Suback,
            4 => Received::Puback { packet_id: number(0), reason: body.get(2).copied().unwrap_or(0) },
            3 => {
                let topic = number(0) as usize;
                let packet_id = number(2 + topic);
                let at = 4 + topic;
                let (size, used) = read_length(&body[at..])?;
                let mut rest = &body[at + used..at + used + size];
                let mut user = Vec::new();
                while let Some((kind, after)) = rest.split_first() {
                    let text = |b: &[u8]| {
                        let n = u16::from_be_bytes([b[0], b[1]]) as usize;
                        (String::from_utf8_lossy(&b[2..2 + n]).to_string(), 2 + n)
                    };
                    rest = match kind {
                        0x26 => {
                            let (name, n) = text(after);
                            let (value, m) = text(&after[n..]);
                            user.push((name, value));
                            &after[n + m..]
                        }
                        0x02 => &after[4..],
                        0x01 => &after[1..],
                        0x23 => &after[2..],
                        0x0b => &after[read_length(after)?.1..],
                        _ => &after[text(after).1..],
                    };
                }
                Received::Publish { packet_id, user, dup: first & 8 != 0 }
            }
            kind => Received::Other(kind),
        })
    }
}
