//! Connections between peers, and from the command-line tool: frames of [`lilacbank_cells::wire`].
//!
//! Peer messages are sent on one outbound connection to each peer and received on inbound ones; only the tool
//! gets its answer on the connection that it opened. A message that cannot be sent now is dropped; the sender
//! repeats it if it still matters.

use super::links::{Change, OutboundConnections, READ_MAX};
use super::reactor::Reactor;
use super::stream::{Fill, Stream};
use super::{token, SourceKind};
use crate::api::Ms;
use crate::dispatch::{CellMapView, Core};
use lilacbank_cells::wire::{Envelope, FrameDecoder, MAX_FRAME_BYTES};
use mio::net::TcpStream;
use slab::Slab;
use std::rc::Rc;

/// Maximum number of inbound connections.
pub const INBOUND_MAX: usize = 64;
/// Maximum number of peers, each with one outbound connection.
pub const OUTBOUND_MAX: usize = 64;
/// Maximum number of unsent bytes queued for one peer: two frames of the largest size.
const UNSENT_MAX: usize = 2 * MAX_FRAME_BYTES;

#[derive(Debug)]
struct Inbound {
    stream: Stream,
    frames: FrameDecoder,
}

/// The connections to and from all peers.
#[derive(Debug)]
pub struct Peers {
    inbound: Slab<Inbound>,
    outbound: OutboundConnections,
}

impl Peers {
    /// Creates the set without connections.
    pub fn new(spec: Option<&CellMapView>) -> Peers {
        let mut peers = Peers {
            inbound: Slab::new(),
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

    /// Whether one more inbound connection is allowed.
    pub fn has_room(&self) -> bool {
        self.inbound.len() < INBOUND_MAX
    }

    /// Registers an inbound connection of a peer or the tool.
    pub fn accept(&mut self, tcp: TcpStream, reactor: &Rc<Reactor>) {
        let entry = self.inbound.vacant_entry();
        match Stream::accepted(tcp, reactor, token(SourceKind::PeerIn, entry.key())) {
            Ok(stream) => drop(entry.insert(Inbound { stream, frames: FrameDecoder::default() })),
            Err(e) => log::warn!(cause:% = e; "a peer connection cannot be registered: {e}"),
        }
    }

    /// Time at which [`Peers::tick`] is due.
    pub fn next_due(&self) -> Option<Ms> {
        self.outbound.next_due()
    }

    /// Opens connections that are due, and closes those that were not established in time.
    pub fn tick(&mut self, now: Ms, reactor: &Rc<Reactor>) {
        self.outbound.tick(now, reactor);
    }

    /// Handles an event on an outbound connection.
    pub fn outbound_ready(&mut self, now: Ms, index: usize, core: &mut Core) {
        if let Change::Up(name) = self.outbound.ready(now, index) {
            core.peer_connected(name);
        }
    }

    /// Handles an event on an inbound connection.
    pub fn inbound_ready(&mut self, now: Ms, index: usize, core: &mut Core) {
        loop {
            let Some(i) = self.inbound.get_mut(index) else { return };
            let mut usable = i.stream.flush().is_ok();
            let fill = i.stream.fill(READ_MAX);
            i.frames.push(&i.stream.read_buf);
            i.stream.read_buf.clear();
            loop {
                match i.frames.next_envelope() {
                    Ok(Some(e)) => core.receive_ownership_message(now, index, e),
                    Ok(None) => break,
                    Err(e) => {
                        log::warn!(cause:% = e; "a peer connection is closed because of an invalid frame: {e}");
                        usable = false;
                        break;
                    }
                }
            }
            if !usable || fill == Fill::Ended {
                drop(self.inbound.try_remove(index));
                return;
            }
            if fill == Fill::Blocked {
                return;
            }
        }
    }

    /// Sends a message to a peer if the connection to it is up.
    pub fn send(&mut self, now: Ms, to: &str, e: &Envelope) {
        self.outbound.send(now, to, &e.frame());
    }

    /// Sends a reply to the tool.
    pub fn reply(&mut self, conn: usize, e: &Envelope) {
        let Some(i) = self.inbound.get_mut(conn) else { return };
        i.stream.queue(&e.frame());
        if i.stream.flush().is_err() {
            drop(self.inbound.try_remove(conn));
        }
    }
}
