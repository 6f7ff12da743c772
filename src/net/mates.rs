//! Connections between dispatchers that keep replicas for each other: frames of [`lilacbank_replica::wire`].
//!
//! As on the connections for tenant moves, peer messages are sent on outbound connections and received on
//! inbound ones. If too much data is queued for a peer that reads slowly, the connection to it is closed, and
//! the core sends again what matters: a message must not be lost while a later one arrives.

use super::inbound::{FrameReader, InboundConnections};
use super::links::{Change, OutboundConnections};
use super::reactor::Reactor;
use super::{token, SourceKind};
use crate::api::Ms;
use crate::dispatch::Core;
use crate::logging::LogThrottle;
use lilacbank_replica::wire::{Envelope, FrameDecoder, MAX_FRAME_BYTES};
use mio::net::TcpStream;
use std::rc::Rc;

/// Number of inbound connections allowed beyond two for each configured peer.
pub const INBOUND_EXTRA: usize = 8;
/// Maximum number of unsent bytes queued for one peer.
const UNSENT_MAX: usize = 4 * MAX_FRAME_BYTES;

/// Reads the frames of the peers of one installation.
#[derive(Debug, Clone)]
struct InstallationFrames {
    installation: String,
    decoder: FrameDecoder,
}

impl FrameReader for InstallationFrames {
    type Message = Envelope;

    fn push(&mut self, bytes: &[u8]) {
        self.decoder.push(bytes);
    }

    fn next_message(&mut self) -> Result<Option<Envelope>, String> {
        self.decoder.next_envelope(&self.installation).map_err(|e| e.description().to_string())
    }

    fn held_bytes(&self) -> usize {
        self.decoder.held_bytes()
    }
}

/// The replication connections to and from all peers.
#[derive(Debug)]
pub struct ReplicaPeers {
    inbound: InboundConnections<InstallationFrames>,
    outbound: OutboundConnections,
    /// Limits the log about invalid frames.
    invalid_frame_log: LogThrottle,
    /// Number of connections closed because of an invalid frame.
    pub invalid_frames: u64,
}

impl ReplicaPeers {
    /// Creates the set without connections, for `named` configured peers.
    pub fn new(installation: &str, named: usize) -> ReplicaPeers {
        let reader =
            InstallationFrames { installation: installation.to_string(), decoder: FrameDecoder::default() };
        ReplicaPeers {
            inbound: InboundConnections::new(2 * named + INBOUND_EXTRA, reader),
            outbound: OutboundConnections::new(SourceKind::ReplicaOut, UNSENT_MAX),
            invalid_frame_log: LogThrottle::default(),
            invalid_frames: 0,
        }
    }

    /// Makes room for one more inbound connection; false if there is none.
    pub fn make_room(&mut self) -> bool {
        self.inbound.make_room()
    }

    /// Registers an inbound connection.
    pub fn accept(&mut self, tcp: TcpStream, reactor: &Rc<Reactor>) {
        self.inbound.accept(tcp, reactor, |index| token(SourceKind::ReplicaIn, index));
    }

    /// Time at which [`ReplicaPeers::tick`] is due.
    pub fn next_due(&self) -> Option<Ms> {
        let unfinished = self.inbound.has_unfinished().then_some(0.0);
        self.outbound.next_due().into_iter().chain(unfinished).min_by(f64::total_cmp)
    }

    /// Opens connections that are due, also to peers learned since. Goes on with peers that had more input than their
    /// share of a turn.
    pub fn tick(&mut self, now: Ms, reactor: &Rc<Reactor>, core: &mut Core) {
        for index in self.inbound.take_unfinished() {
            self.inbound_ready(now, index, core);
        }
        let peers = core.replication_peers();
        if peers.len() != self.outbound.count() {
            for (name, address) in peers {
                self.outbound.set(&name, address.parse().ok());
            }
        }
        self.outbound.tick(now, reactor);
    }

    /// Handles an event on an outbound connection.
    pub fn outbound_ready(&mut self, now: Ms, index: usize, core: &mut Core) {
        if let Change::Lost(name) = self.outbound.ready(now, index) {
            core.replication_peer_lost(name);
        }
    }

    /// Handles an event on an inbound connection.
    pub fn inbound_ready(&mut self, now: Ms, index: usize, core: &mut Core) {
        let Some(received) = self.inbound.read(index) else { return };
        for envelope in received.messages {
            core.receive_replication_message(now, envelope);
        }
        if let Some(why) = received.closed {
            self.invalid_frames += 1;
            if let Some(count) = self.invalid_frame_log.record(now) {
                log::warn!(cause = why.as_str(), count = count; "a peer connection is closed because of an invalid frame: {why}");
            }
        }
    }

    /// Sends a message to a peer; if too much data is queued for it, its connection is closed.
    pub fn send(&mut self, now: Ms, to: &str, e: &Envelope, core: &mut Core) {
        let frame = e.to_frame();
        if !self.outbound.has_room(to, frame.len()) {
            self.outbound.cut(now, to);
            return core.replication_peer_lost(to);
        }
        if !self.outbound.send(now, to, &frame) {
            core.replication_peer_lost(to);
        }
    }
}
