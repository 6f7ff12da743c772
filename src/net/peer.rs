//! Connections between dispatchers, and from an operator's tool: frames of [`lilacbank_cells::wire`].
//!
//! Words go out on a connection of this side, one to each dispatcher, and come in on those of the others; only a tool is
//! answered where it asked. A word that cannot go out now is dropped: whoever needs it says it again.

use super::links::{Change, OutboundConnections, READ_MAX};
use super::reactor::Reactor;
use super::stream::{Fill, Stream};
use super::{token, SourceKind};
use crate::api::Ms;
use crate::dispatch::{Core, MeshSpec};
use lilacbank_cells::wire::{Envelope, Frames, FRAME_MOST};
use mio::net::TcpStream;
use slab::Slab;
use std::rc::Rc;

/// Connections that others may have open here.
pub const INBOUND_MAX: usize = 64;
/// Dispatchers that it talks to: as many connections of its own at most.
pub const OUTBOUND_MAX: usize = 64;
/// Bytes that wait for a peer at most: two frames of the largest size.
const UNSENT_MAX: usize = 2 * FRAME_MOST;

#[derive(Debug)]
struct Inward {
    stream: Stream,
    frames: Frames,
}

/// All of them.
#[derive(Debug)]
pub struct Peers {
    inward: Slab<Inward>,
    outward: OutboundConnections,
}

impl Peers {
    /// None is open yet.
    pub fn new(spec: Option<&MeshSpec>) -> Peers {
        let mut peers =
            Peers { inward: Slab::new(), outward: OutboundConnections::new(SourceKind::PeerOut, UNSENT_MAX) };
        if let Some(spec) = spec {
            peers.redirect(spec);
        }
        peers
    }

    /// Takes a changed map over; connections to dispatchers that stay where they are stay, too.
    pub fn redirect(&mut self, spec: &MeshSpec) {
        for name in self.outward.names() {
            self.outward.set(&name, spec.peer(&name).map(|p| p.peer));
        }
        for p in spec.peers.iter().filter(|p| p.name != spec.me).take(OUTBOUND_MAX) {
            self.outward.set(&p.name, Some(p.peer));
        }
    }

    /// May one more connect?
    pub fn room(&self) -> bool {
        self.inward.len() < INBOUND_MAX
    }

    /// Another dispatcher, or a tool, has connected.
    pub fn accept(&mut self, tcp: TcpStream, reactor: &Rc<Reactor>) {
        let entry = self.inward.vacant_entry();
        match Stream::accepted(tcp, reactor, token(SourceKind::PeerIn, entry.key())) {
            Ok(stream) => drop(entry.insert(Inward { stream, frames: Frames::default() })),
            Err(e) => log::warn!(cause:% = e; "a dispatcher's connection cannot be served: {e}"),
        }
    }

    /// When [`Peers::tick`] has something to do.
    pub fn next_due(&self) -> Option<Ms> {
        self.outward.next_due()
    }

    /// Opens connections that are due, and gives up those that do not come up.
    pub fn tick(&mut self, now: Ms, reactor: &Rc<Reactor>) {
        self.outward.tick(now, reactor);
    }

    /// Something happened on a connection of this side.
    pub fn outbound_ready(&mut self, now: Ms, at: usize, core: &mut Core) {
        if let Change::Up(name) = self.outward.ready(now, at) {
            core.peer_up(name);
        }
    }

    /// Something happened on a connection of another dispatcher or a tool.
    pub fn inbound_ready(&mut self, now: Ms, at: usize, core: &mut Core) {
        loop {
            let Some(i) = self.inward.get_mut(at) else { return };
            let mut good = i.stream.flush().is_ok();
            let fill = i.stream.fill(READ_MAX);
            i.frames.push(&i.stream.read_buf);
            i.stream.read_buf.clear();
            loop {
                match i.frames.take() {
                    Ok(Some(e)) => core.hear(now, at, e),
                    Ok(None) => break,
                    Err(e) => {
                        log::warn!(cause:% = e; "a dispatcher's connection is closed: {e}");
                        good = false;
                        break;
                    }
                }
            }
            if !good || fill == Fill::Ended {
                drop(self.inward.try_remove(at));
                return;
            }
            if fill == Fill::Blocked {
                return;
            }
        }
    }

    /// Tells a dispatcher something, if the connection to it is up.
    pub fn say(&mut self, now: Ms, to: &str, e: &Envelope) {
        self.outward.say(now, to, &e.frame());
    }

    /// Answers a tool.
    pub fn reply(&mut self, conn: usize, e: &Envelope) {
        let Some(i) = self.inward.get_mut(conn) else { return };
        i.stream.queue(&e.frame());
        if i.stream.flush().is_err() {
            drop(self.inward.try_remove(conn));
        }
    }
}
