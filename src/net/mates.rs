//! Connections between dispatchers that keep copies for each other: frames of [`lilacbank_replica::wire`].
//!
//! As between those that move tenants, words go out on connections of this side and come in on those of the others. Where too
//! much waits for one that reads slowly its connection is cut, and it hears anew what matters: a word in the middle may
//! not be lost while a later one arrives.

use super::links::{Change, OutboundConnections, READ_MAX};
use super::reactor::Reactor;
use super::stream::{Fill, Stream};
use super::{token, SourceKind};
use crate::api::Ms;
use crate::dispatch::Core;
use crate::logging::Complaint;
use lilacbank_replica::wire::{Envelope, Frames, FRAME_MOST};
use mio::net::TcpStream;
use slab::Slab;
use std::rc::Rc;

/// Connections that others may have open here, beside one for each that is named.
pub const INBOUND_EXTRA: usize = 8;
/// Bytes that wait for one at most.
const UNSENT_MAX: usize = 4 * FRAME_MOST;

#[derive(Debug)]
struct Inward {
    stream: Stream,
    frames: Frames,
}

/// All of them.
#[derive(Debug)]
pub struct ReplicaPeers {
    installation: String,
    inward: Slab<Inward>,
    inward_most: usize,
    outward: OutboundConnections,
    refused: Complaint,
    /// Connections closed for a frame that was refused.
    pub nonsense: u64,
}

impl ReplicaPeers {
    /// None is open yet; so many others are named.
    pub fn new(installation: &str, named: usize) -> ReplicaPeers {
        ReplicaPeers {
            installation: installation.to_string(),
            inward: Slab::new(),
            inward_most: 2 * named + INBOUND_EXTRA,
            outward: OutboundConnections::new(SourceKind::ReplicaOut, UNSENT_MAX),
            refused: Complaint::default(),
            nonsense: 0,
        }
    }

    /// May one more connect?
    pub fn room(&self) -> bool {
        self.inward.len() < self.inward_most
    }

    /// Another dispatcher has connected.
    pub fn accept(&mut self, tcp: TcpStream, reactor: &Rc<Reactor>) {
        let entry = self.inward.vacant_entry();
        match Stream::accepted(tcp, reactor, token(SourceKind::ReplicaIn, entry.key())) {
            Ok(stream) => drop(entry.insert(Inward { stream, frames: Frames::default() })),
            Err(e) => log::warn!(cause:% = e; "a dispatcher's connection cannot be served: {e}"),
        }
    }

    /// When [`ReplicaPeers::tick`] has something to do.
    pub fn next_due(&self) -> Option<Ms> {
        self.outward.next_due()
    }

    /// Opens connections that are due, also to dispatchers that were heard of since.
    pub fn tick(&mut self, now: Ms, reactor: &Rc<Reactor>, core: &Core) {
        let peers = core.copy_peers();
        if peers.len() != self.outward.count() {
            for (name, address) in peers {
                self.outward.set(&name, address.parse().ok());
            }
        }
        self.outward.tick(now, reactor);
    }

    /// Something happened on a connection of this side.
    pub fn outbound_ready(&mut self, now: Ms, at: usize, core: &mut Core) {
        if let Change::Lost(name) = self.outward.ready(now, at) {
            core.copy_peer_lost(name);
        }
    }

    /// Something happened on a connection of another dispatcher.
    pub fn inbound_ready(&mut self, now: Ms, at: usize, core: &mut Core) {
        loop {
            let Some(i) = self.inward.get_mut(at) else { return };
            let fill = i.stream.fill(READ_MAX);
            i.frames.push(&i.stream.read_buf);
            i.stream.read_buf.clear();
            let why = loop {
                match i.frames.take(&self.installation) {
                    Ok(Some(e)) => core.hear_copy(now, e),
                    Ok(None) => break None,
                    Err(why) => break Some(why.text()),
                }
            };
            if let Some(why) = why {
                self.nonsense += 1;
                if let Some(count) = self.refused.raise(now) {
                    log::warn!(cause = why, count = count; "a dispatcher's connection is closed: {why}");
                }
            }
            if why.is_some() || fill == Fill::Ended {
                drop(self.inward.try_remove(at));
                return;
            }
            if fill == Fill::Blocked {
                return;
            }
        }
    }

    /// Tells a dispatcher something; where too much waits for it, its connection is cut.
    pub fn say(&mut self, now: Ms, to: &str, e: &Envelope, core: &mut Core) {
        let frame = e.frame();
        if !self.outward.has_room(to, frame.len()) {
            self.outward.cut(now, to);
            return core.copy_peer_lost(to);
        }
        if !self.outward.say(now, to, &frame) {
            core.copy_peer_lost(to);
        }
    }
}
