//! An MQTT session on a connection, as a server or a client. Each turn takes a bounded share of its input.

use super::framing::{self, FramingError};
use crate::api::Ms;
use crate::net::departure::PeerSending;
use crate::net::stream::{Fill, Stream};
use mqtt_protocol_core::mqtt::common::Cursor;
use mqtt_protocol_core::mqtt::connection::{ConnectionOptions, Event, Sendable, TimerKind};
use mqtt_protocol_core::mqtt::packet::{GenericPacketTrait, Packet};
use mqtt_protocol_core::mqtt::{role, Connection, Version};

/// Maximum number of packets of one connection in one turn, so that others get theirs.
const PACKETS_PER_TURN: usize = 32;
/// Number of bytes of packets of one connection after which its turn ends.
const BYTES_PER_TURN: usize = 64 * 1024;
/// Number of bytes read before it is known that a packet is longer.
const READ_AHEAD: usize = 4 * 1024;
/// Maximum number of unsent bytes for a remote side that reads slowly; beyond it the session is closed.
const WRITE_BUF_MAX: usize = 256 * 1024;

/// An MQTT session on a connection.
pub(super) struct Session<R: role::RoleType> {
    pub(super) stream: Stream,
    pub(super) mqtt: Connection<R>,
    /// Timers of the library and when they fire.
    timers: Vec<(TimerKind, Ms)>,
    /// The session is closed once the write buffer is written.
    pub(super) closing: bool,
    /// The result of the last read.
    last_fill: Fill,
}

impl<R: role::RoleType> Session<R> {
    /// A session on a new connection.
    pub(super) fn new(stream: Stream) -> Session<R> {
        let options = ConnectionOptions::new().maximum_packet_size_recv(framing::PUBLISH_MAX as u32);
        let mqtt = Connection::with_options(Version::V5_0, options);
        Session { stream, mqtt, timers: Vec::new(), closing: false, last_fill: Fill::Blocked }
    }

    /// Sends a packet; the session fails if the library refuses it.
    pub(super) fn send<P: Sendable<R, u16>>(&mut self, now: Ms, packet: P) {
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
    pub(super) fn read(&mut self, now: Ms) -> (Vec<Packet>, bool) {
        let (mut packets, mut bytes) = (Vec::new(), 0);
        for _ in 0..PACKETS_PER_TURN {
            if self.closing || bytes >= BYTES_PER_TURN {
                break;
            }
            let Some(size) = self.next_packet() else { return (packets, false) };
            bytes += size;
            let mut cursor = Cursor::new(&self.stream.read_buf[..size]);
            let mut events = Vec::new();
            while (cursor.position() as usize) < size {
                events.extend(self.mqtt.recv(&mut cursor));
            }
            self.stream.read_buf.drain(..size);
            packets.extend(self.handle_events(now, events));
        }
        (packets, !self.closing)
    }

    /// Reads the next packet; returns its size once it is whole.
    fn next_packet(&mut self) -> Option<usize> {
        loop {
            let size = match framing::packet_size(&self.stream.read_buf) {
                Ok(size) => size,
                Err(error) => return self.refuse_packet(error),
            };
            let have = self.stream.read_buf.len();
            if let Some(size) = size.filter(|size| *size <= have) {
                return match framing::check_properties(&self.stream.read_buf[..size]) {
                    Ok(()) => Some(size),
                    Err(error) => self.refuse_packet(error),
                };
            }
            if self.last_fill == Fill::Ended {
                self.closing = true;
                return None;
            }
            let target = size.unwrap_or(0).max(READ_AHEAD);
            if target > READ_AHEAD && !self.stream.may_grow(target - have) {
                log::debug!(cause = "memory", bytes = target; "a session ends: there is no memory for its packet");
                self.stream.count_refused();
                self.closing = true;
                return None;
            }
            self.last_fill = self.stream.fill(target);
            if self.last_fill == Fill::Blocked && self.stream.read_buf.len() < size.unwrap_or(have + 1) {
                return None;
            }
        }
    }

    fn refuse_packet(&mut self, error: FramingError) -> Option<usize> {
        log::debug!(cause:? = error; "a session ends: its packet is refused");
        self.closing = true;
        None
    }

    /// Whether the other side has left without a DISCONNECT, whose packets were not acknowledged. `packets` were read
    /// last; what was not read yet may end with a DISCONNECT.
    pub(super) fn has_left(&self, packets: &[Packet]) -> bool {
        let is_disconnect = |packet: &Packet| matches!(packet, Packet::V5_0Disconnect(_));
        // A read that finds no more input would have found the end of the other side's sending.
        let may_have_ended = self.last_fill != Fill::Blocked || !self.stream.read_buf.is_empty();
        if !may_have_ended || packets.iter().any(is_disconnect) {
            return false;
        }
        if self.stream.peer_sending() == PeerSending::Open {
            return false;
        }
        let mut rest = self.stream.read_buf.clone();
        self.stream.peek_into(&mut rest);
        !framing::ends_with_disconnect(&rest)
    }

    pub(super) fn next_due(&self) -> Option<Ms> {
        self.timers.iter().map(|a| a.1).min_by(f64::total_cmp)
    }

    pub(super) fn tick(&mut self, now: Ms) {
        let due: Vec<TimerKind> = self.timers.iter().filter(|a| a.1 <= now).map(|a| a.0).collect();
        for kind in due {
            self.timers.retain(|a| a.0 != kind);
            let events = self.mqtt.notify_timer_fired(kind);
            self.handle_events(now, events);
        }
    }
}
