//! A small MQTT 5 client: one session, QoS 1, as far as the cases need it.
#![allow(dead_code)]

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A packet from the dispatcher.
#[derive(Debug)]
pub enum Packet {
    Connack { session_present: bool, reason: u8 },
    Suback,
    Puback { packet: u16, reason: u8 },
    Publish { packet: u16, user: Vec<(String, String)>, body: Vec<u8> },
    Disconnect,
    Other,
}

/// A connection with an MQTT server.
pub struct Session {
    stream: TcpStream,
    buffer: Vec<u8>,
    next_packet: u16,
    /// What the CONNACK said: the server still has the session, with its subscriptions.
    pub session_present: bool,
}

fn text(out: &mut Vec<u8>, t: &str) {
    out.extend((t.len() as u16).to_be_bytes());
    out.extend(t.as_bytes());
}

fn variable(out: &mut Vec<u8>, mut n: usize) {
    loop {
        let byte = (n % 128) as u8;
        n /= 128;
        out.push(if n > 0 { byte | 128 } else { byte });
        if n == 0 {
            return;
        }
    }
}

fn packet(head: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![head];
    variable(&mut out, body.len());
    out.extend(body);
    out
}

/// A variable number at `at`: its value, and where it ends.
fn read_variable(bytes: &[u8], at: usize) -> Option<(usize, usize)> {
    let (mut value, mut shift) = (0, 0);
    for (n, b) in bytes.get(at..)?.iter().take(4).enumerate() {
        value |= usize::from(b & 127) << shift;
        shift += 7;
        if b & 128 == 0 {
            return Some((value, at + n + 1));
        }
    }
    None
}

fn number(bytes: &[u8], at: usize) -> u16 {
    bytes.get(at..at + 2).map_or(0, |b| u16::from_be_bytes([b[0], b[1]]))
}

fn read_text(bytes: &[u8], at: usize) -> (String, usize) {
    let end = at + 2 + usize::from(number(bytes, at));
    (String::from_utf8_lossy(bytes.get(at + 2..end).unwrap_or_default()).to_string(), end)
}

/// The user properties among properties.
fn user_properties(bytes: &[u8]) -> Vec<(String, String)> {
    let (mut at, mut user) = (0, Vec::new());
    while at < bytes.len() {
        match bytes[at] {
            0x26 => {
                let (name, next) = read_text(bytes, at + 1);
                let (value, next) = read_text(bytes, next);
                user.push((name, value));
                at = next;
            }
            0x01 | 0x17 | 0x19 | 0x24 | 0x25 | 0x28 | 0x29 | 0x2a => at += 2,
            0x13 | 0x21 | 0x22 | 0x23 => at += 3,
            0x02 | 0x11 | 0x18 | 0x27 => at += 5,
            0x03 | 0x08 | 0x09 | 0x12 | 0x15 | 0x16 | 0x1a | 0x1c | 0x1f => {
                at += 3 + usize::from(number(bytes, at + 1));
            }
            0x0b => at = read_variable(bytes, at + 1).map_or(bytes.len(), |v| v.1),
            _ => break,
        }
    }
    user
}

impl Session {
    /// Connects without a clean start.
    pub fn connect(at: SocketAddr, client: &str) -> io::Result<Session> {
        let stream = TcpStream::connect_timeout(&at, Duration::from_millis(400))?;
        stream.set_nodelay(true)?;
        let mut body = Vec::new();
        text(&mut body, "MQTT");
        body.push(5);
        body.push(0);
        body.extend(60u16.to_be_bytes());
        // Session expiry: 300 s.
        body.extend([5, 0x11]);
        body.extend(300u32.to_be_bytes());
        text(&mut body, client);
        let mut session = Session { stream, buffer: Vec::new(), next_packet: 1, session_present: false };
        session.stream.write_all(&packet(0x10, &body))?;
        match session.read(1_000)? {
            Some(Packet::Connack { reason: 0, session_present }) => {
                session.session_present = session_present;
                Ok(session)
            }
            _ => Err(ErrorKind::ConnectionRefused.into()),
        }
    }

    fn packet_id(&mut self) -> u16 {
        self.next_packet += 1;
        self.next_packet
    }

    pub fn subscribe(&mut self, filter: &str) -> io::Result<()> {
        let mut body = self.packet_id().to_be_bytes().to_vec();
        body.push(0);
        text(&mut body, filter);
        body.push(1);
        self.stream.write_all(&packet(0x82, &body))
    }

    /// Submits a message; returns the packet's number.
    pub fn submit(
        &mut self,
        topic: &str,
        reply: &str,
        expiry_s: u32,
        user: &[(&str, &str)],
        payload: &str,
    ) -> io::Result<u16> {
        let id = self.packet_id();
        let mut properties = vec![0x02];
        properties.extend(expiry_s.to_be_bytes());
        properties.push(0x08);
        text(&mut properties, reply);
        for (name, value) in user {
            properties.push(0x26);
            text(&mut properties, name);
            text(&mut properties, value);
        }
        let mut body = Vec::new();
        text(&mut body, topic);
        body.extend(id.to_be_bytes());
        variable(&mut body, properties.len());
        body.extend(properties);
        body.extend(payload.as_bytes());
        self.stream.write_all(&packet(0x32, &body))?;
        Ok(id)
    }

    pub fn acknowledge(&mut self, id: u16) -> io::Result<()> {
        self.stream.write_all(&packet(0x40, &id.to_be_bytes()))
    }

    /// Reads one packet; `None` if none comes within so many milliseconds.
    pub fn read(&mut self, most: u64) -> io::Result<Option<Packet>> {
        self.stream.set_read_timeout(Some(Duration::from_millis(most.max(1))))?;
        loop {
            if let Some(p) = self.take() {
                return Ok(Some(p));
            }
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(n) => self.buffer.extend(&bytes[..n]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return Ok(None),
                Err(e) => return Err(e),
            }
        }
    }

    fn take(&mut self) -> Option<Packet> {
        let (length, start) = read_variable(&self.buffer, 1)?;
        if self.buffer.len() < start + length {
            return None;
        }
        let head = self.buffer[0];
        let body: Vec<u8> = self.buffer.drain(..start + length).skip(start).collect();
        Some(match head >> 4 {
            2 => Packet::Connack { session_present: body[0] & 1 == 1, reason: body[1] },
            4 => Packet::Puback { packet: number(&body, 0), reason: body.get(2).copied().unwrap_or(0) },
            9 => Packet::Suback,
            14 => Packet::Disconnect,
            3 => {
                let (_, at) = read_text(&body, 0);
                let (size, from) = read_variable(&body, at + 2).unwrap_or((0, body.len()));
                let end = (from + size).min(body.len());
                Packet::Publish {
                    packet: number(&body, at),
                    user: user_properties(&body[from.min(end)..end]),
                    body: body[end..].to_vec(),
                }
            }
            _ => Packet::Other,
        })
    }
}
