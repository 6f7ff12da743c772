//! Connections between dispatchers that keep replicas for each other: frames of [`lilacbank_replica::wire`].
//!
//! As on the connections for tenant moves, peer messages are sent on outbound connections and received on
//! inbound ones. If too much data is queued for a peer that reads slowly, the connection to it is closed, and
//! the core sends again what matters: a message must not be lost while a later one arrives.

use super::links::{Change, OutboundConnections, READ_MAX};
use super::reactor::Reactor;
use super::stream::{Fill, Stream};
use super::{token, SourceKind};
use crate::api::Ms;
use crate::dispatch::Core;
use crate::logging::LogThrottle;
use lilacbank_replica::wire::{Envelope, FrameDecoder, MAX_FRAME_BYTES};
use mio::net::TcpStream;
use slab::Slab;
use std::rc::Rc;

/// Number of inbound connections allowed beyond two for each configured peer.
pub const INBOUND_EXTRA: usize = 8;
/// Maximum number of unsent bytes queued for one peer.
const UNSENT_MAX: usize = 4 * MAX_FRAME_BYTES;

#[derive(Debug)]
struct Inbound {
    stream: Stream,
    frames: FrameDecoder,
}

/// The replication connections to and from all peers.
#[derive(Debug)]
pub struct ReplicaPeers {
    installation: String,
    inbound: Slab<Inbound>,
    inbound_max: usize,
    outbound: OutboundConnections,
    /// Limits the log about invalid frames.
    invalid_frame_log: LogThrottle,
    /// Number of connections closed because of an invalid frame.
    pub invalid_frames: u64,
}

impl ReplicaPeers {
    /// Creates the set without connections, for `named` configured peers.
    pub fn new(installation: &str, named: usize) -> ReplicaPeers {
        ReplicaPeers {
            installation: installation.to_string(),
            inbound: Slab::new(),
            inbound_max: 2 * named + INBOUND_EXTRA,
            outbound: OutboundConnections::new(SourceKind::ReplicaOut, UNSENT_MAX),
            invalid_frame_log: LogThrottle::default(),
            invalid_frames: 0,
        }
    }

    /// Whether one more inbound connection is allowed.
    pub fn has_room(&self) -> bool {
        self.inbound.len() < self.inbound_max
    }

    /// Registers an inbound connection.
    pub fn accept(&mut self, tcp: TcpStream, reactor: &Rc<Reactor>) {
        let entry = self.inbound.vacant_entry();
        match Stream::accepted(tcp, reactor, token(SourceKind::ReplicaIn, entry.key())) {
            Ok(stream) => drop(entry.insert(Inbound { stream, frames: FrameDecoder::default() })),
            Err(e) => log::warn!(cause:% = e; "a peer connection cannot be registered: {e}"),
        }
    }

    /// Time at which [`ReplicaPeers::tick`] is due.
    pub fn next_due(&self) -> Option<Ms> {
        self.outbound.next_due()
    }

    /// Opens connections that are due, also to peers learned since.
    pub fn tick(&mut self, now: Ms, reactor: &Rc<Reactor>, core: &Core) {
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
        loop {
            let Some(i) = self.inbound.get_mut(index) else { return };
            let fill = i.stream.fill(READ_MAX);
            i.frames.push(&i.stream.read_buf);
            i.stream.read_buf.clear();
            let why = loop {
                match i.frames.next_envelope(&self.installation) {
                    Ok(Some(e)) => core.receive_replication_message(now, e),
                    Ok(None) => break None,
                    Err(why) => break Some(why.description()),
                }
            };
            if let Some(why) = why {
                self.invalid_frames += 1;
                if let Some(count) = self.invalid_frame_log.record(now) {
                    log::warn!(cause = why, count = count; "a peer connection is closed because of an invalid frame: {why}");
                }
            }
            if why.is_some() || fill == Fill::Ended {
                drop(self.inbound.try_remove(index));
                return;
            }
            if fill == Fill::Blocked {
                return;
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
