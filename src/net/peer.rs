//! Connections between dispatchers, and from an operator's tool: frames of [`lilacbank_cells::wire`].
//!
//! Words go out on a connection of this side, one to each dispatcher, and come in on those of the others; only a tool is
//! answered where it asked. A word that cannot go out now is dropped: whoever needs it says it again.

use super::stream::{Fill, Stream};
use super::{token, Kind};
use crate::api::Ms;
use crate::dispatch::{Core, MeshSpec};
use lilacbank_cells::wire::{Envelope, Frames, FRAME_MOST};
use mio::net::TcpStream;
use mio::Registry;
use slab::Slab;
use std::net::SocketAddr;

/// Connections that others may have open here.
pub const INWARD_MOST: usize = 64;
/// Dispatchers that it talks to: as many connections of its own at most.
pub const OUTWARD_MOST: usize = 64;
/// Read in one go, so that one peer does not keep all others waiting.
const READ_MOST: usize = 256 * 1024;
/// A connection that is not up by then is given up,
const CONNECT_MOST: Ms = 1_000.0;
/// and tried again after this,
const AGAIN_FIRST: Ms = 50.0;
/// and twice as long each time, up to this.
const AGAIN_MOST: Ms = 1_000.0;
/// Bytes that wait for a peer at most: two frames of the largest size.
const WAITING_MOST: usize = 2 * FRAME_MOST;

#[derive(Debug)]
struct Inward {
    stream: Stream,
    frames: Frames,
}

/// One dispatcher, and the connection to it.
#[derive(Debug)]
struct Outward {
    name: String,
    address: SocketAddr,
    stream: Option<Stream>,
    up: bool,
    since: Ms,
    open_at: Ms,
    again: Ms,
}

/// All of them.
#[derive(Debug, Default)]
pub struct Peers {
    inward: Slab<Inward>,
    outward: Vec<Outward>,
}

impl Peers {
    /// None is open yet.
    pub fn new(spec: Option<&MeshSpec>) -> Peers {
        let mut peers = Peers::default();
        if let Some(spec) = spec {
            peers.redirect(spec);
        }
        peers
    }

    /// Takes a changed map over; connections to dispatchers that stay where they are stay, too.
    pub fn redirect(&mut self, spec: &MeshSpec) {
        for o in &mut self.outward {
            let peer = spec.peer(&o.name);
            if peer.is_none_or(|p| p.peer != o.address) {
                (o.stream, o.up, o.open_at) = (None, false, if peer.is_some() { 0.0 } else { f64::MAX });
                o.address = peer.map_or(o.address, |p| p.peer);
            }
        }
        for p in spec.peers.iter().filter(|p| p.name != spec.me).take(OUTWARD_MOST) {
            if !self.outward.iter().any(|o| o.name == p.name) {
                let (name, address) = (p.name.clone(), p.peer);
                self.outward.push(Outward {
                    name,
                    address,
                    stream: None,
                    up: false,
                    since: 0.0,
                    open_at: 0.0,
                    again: AGAIN_FIRST,
                });
            }
        }
    }

    /// May one more connect?
    pub fn room(&self) -> bool {
        self.inward.len() < INWARD_MOST
    }

    /// Another dispatcher, or a tool, has connected.
    pub fn accept(&mut self, tcp: TcpStream, registry: &Registry) {
        let entry = self.inward.vacant_entry();
        match Stream::accepted(tcp, registry, token(Kind::Inward, entry.key())) {
            Ok(stream) => drop(entry.insert(Inward { stream, frames: Frames::default() })),
            Err(e) => log::warn!(cause:% = e; "a dispatcher's connection cannot be served: {e}"),
        }
    }

    /// When [`Peers::tick`] has something to do.
    pub fn next_due(&self) -> Option<Ms> {
        let due = |o: &Outward| match o.stream {
            None => o.open_at,
            Some(_) if !o.up => o.since + CONNECT_MOST,
            Some(_) => f64::MAX,
        };
        self.outward.iter().map(due).filter(|t| *t < f64::MAX).min_by(f64::total_cmp)
    }

    /// Opens connections that are due, and gives up those that do not come up.
    pub fn tick(&mut self, now: Ms, registry: &Registry) {
        for (at, o) in self.outward.iter_mut().enumerate() {
            if o.stream.is_some() && !o.up && o.since + CONNECT_MOST <= now {
                o.lost(now);
            }
            if o.stream.is_none() && o.open_at <= now {
                o.since = now;
                match Stream::connect(o.address, registry, token(Kind::Outward, at)) {
                    Ok(stream) => o.stream = Some(stream),
                    Err(_) => o.lost(now),
                }
            }
        }
    }

    /// Something happened on a connection of this side.
    pub fn outward_ready(&mut self, now: Ms, at: usize, core: &mut Core) {
        let Some(o) = self.outward.get_mut(at) else { return };
        let Some(stream) = &mut o.stream else { return };
        let good = match stream.is_up() {
            Ok(true) => {
                if !std::mem::replace(&mut o.up, true) {
                    o.again = AGAIN_FIRST;
                    core.peer_up(&o.name);
                }
                // Nothing is answered on it: what comes is its end.
                stream.flush().is_ok() && stream.fill(READ_MOST) == Fill::Blocked && stream.inbox.is_empty()
            }
            Ok(false) => true,
            Err(_) => false,
        };
        if !good {
            o.lost(now);
        }
    }

    /// Something happened on a connection of another dispatcher or a tool.
    pub fn inward_ready(&mut self, now: Ms, at: usize, core: &mut Core) {
        loop {
            let Some(i) = self.inward.get_mut(at) else { return };
            let mut good = i.stream.flush().is_ok();
            let fill = i.stream.fill(READ_MOST);
            i.frames.push(&i.stream.inbox);
            i.stream.inbox.clear();
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
        let Some(o) = self.outward.iter_mut().find(|o| o.name == to && o.up) else { return };
        let Some(stream) = &mut o.stream else { return };
        let frame = e.frame();
        if stream.unwritten() + frame.len() > WAITING_MOST {
            return;
        }
        stream.queue(&frame);
        if stream.flush().is_err() {
            o.lost(now);
        }
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

impl Outward {
    fn lost(&mut self, now: Ms) {
        (self.stream, self.up) = (None, false);
        self.open_at = now + self.again;
        self.again = (2.0 * self.again).min(AGAIN_MOST);
    }
}
