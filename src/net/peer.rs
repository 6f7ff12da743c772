//! Connections between peers, and from the command-line tool: frames of [`lilacbank_cells::wire`].
//!
//! Peer messages are sent on one outbound connection to each peer and received on inbound ones; only the tool
//! gets its answer on the connection that it opened. A message that cannot be sent now is dropped; the sender
//! repeats it if it still matters.

use super::inbound::{ConnectionId, FrameReader, InboundConnections};
use super::links::{Change, OutboundConnections};
use super::reactor::Reactor;
use super::{token, SourceKind};
use crate::api::Ms;
use crate::dispatch::{CellMapView, Core};
use lilacbank_cells::wire::{Envelope, FrameDecoder, MAX_FRAME_BYTES};
use mio::net::TcpStream;
use std::rc::Rc;

/// Maximum number of inbound connections.
pub const INBOUND_MAX: usize = 64;
/// Maximum number of peers, each with one outbound connection.
pub const OUTBOUND_MAX: usize = 64;
/// Maximum number of unsent bytes queued for one peer: two frames of the largest size.
const UNSENT_MAX: usize = 2 * MAX_FRAME_BYTES;

impl FrameReader for FrameDecoder {
    type Message = Envelope;

    fn push(&mut self, bytes: &[u8]) {
        FrameDecoder::push(self, bytes);
    }

    fn next_message(&mut self) -> Result<Option<Envelope>, String> {
        self.next_envelope().map_err(|e| e.to_string())
    }

    fn held_bytes(&self) -> usize {
        FrameDecoder::held_bytes(self)
    }
}

/// The connections to and from all peers.
#[derive(Debug)]
pub struct Peers {
    inbound: InboundConnections<FrameDecoder>,
    outbound: OutboundConnections,
}

impl Peers {
    /// Creates the set without connections.
    pub fn new(spec: Option<&CellMapView>) -> Peers {
        let mut peers = Peers {
            inbound: InboundConnections::new(INBOUND_MAX, FrameDecoder::default()),
            outbound: OutboundConnections::new(SourceKind::PeerOut, UNSENT_MAX),
        };
        if let Some(spec) = spec {
            peers.redirect(spec);
        }
        peers
    }

    /// Applies a changed cell map; connections to peers with unchanged addresses are kept.
    pub fn redirect(&mut self, spec: &CellMapView) {
        for name in self.outbound.names() {
            self.outbound.set(&name, spec.peer(&name).map(|p| p.peer_address));
        }
        for p in spec.peers.iter().filter(|p| p.name != spec.own_name).take(OUTBOUND_MAX) {
            self.outbound.set(&p.name, Some(p.peer_address));
        }
    }

    /// Makes room for one more inbound connection; false if there is none.
    pub fn make_room(&mut self) -> bool {
        self.inbound.make_room()
    }

    /// Registers an inbound connection of a peer or the tool.
    pub fn accept(&mut self, tcp: TcpStream, reactor: &Rc<Reactor>) {
        self.inbound.accept(tcp, reactor, |index| token(SourceKind::PeerIn, index));
    }

    /// Time at which [`Peers::tick`] is due.
    pub fn next_due(&self) -> Option<Ms> {
        let unfinished = self.inbound.has_unfinished().then_some(0.0);
        self.outbound.next_due().into_iter().chain(unfinished).min_by(f64::total_cmp)
    }

    /// Opens connections that are due, and closes those that were not established in time. Goes on with peers that
    /// had more input than their share of a turn.
    pub fn tick(&mut self, now: Ms, reactor: &Rc<Reactor>, core: &mut Core) {
        self.outbound.tick(now, reactor);
        for index in self.inbound.take_unfinished() {
            self.inbound_ready(now, index, core);
        }
    }

    /// Handles an event on an outbound connection.
    pub fn outbound_ready(&mut self, now: Ms, index: usize, core: &mut Core) {
        if let Change::Up(name) = self.outbound.ready(now, index) {
            core.peer_connected(name);
        }
    }

    /// Handles an event on an inbound connection.
    pub fn inbound_ready(&mut self, now: Ms, index: usize, core: &mut Core) {
        let Some(received) = self.inbound.read(index) else { return };
        for envelope in received.messages {
            core.receive_ownership_message(now, received.id.number(), envelope);
        }
        if let Some(why) = received.closed {
            log::warn!(cause = why.as_str(); "a peer connection is closed because of an invalid frame: {why}");
        }
    }

    /// Sends a message to a peer if the connection to it is up.
    pub fn send(&mut self, now: Ms, to: &str, e: &Envelope) {
        self.outbound.send(now, to, &e.frame());
    }

    /// Sends a reply to the tool, on the connection with this number.
    pub fn reply(&mut self, conn: usize, e: &Envelope) {
        self.inbound.send(ConnectionId::of_number(conn), &e.frame());
    }
}
