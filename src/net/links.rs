//! Outbound connections to peers: each is opened, kept and reopened. A peer message that is sent while the
//! connection is down, or while too much unsent data is queued on it, is lost; the sender has to repeat it if
//! it still matters.

use super::reactor::Reactor;
use super::stream::{Fill, Stream};
use super::{token, SourceKind};
use crate::api::Ms;
use std::net::SocketAddr;
use std::rc::Rc;

/// Maximum number of bytes read in one go, so that one peer does not keep all others waiting.
pub const READ_MAX: usize = 256 * 1024;
/// Milliseconds after which a connection that is not established is given up.
const CONNECT_TIMEOUT: Ms = 1_000.0;
/// Initial delay, in milliseconds, before a lost connection is opened again; it doubles with each failure in
/// a row.
const RETRY_DELAY_FIRST: Ms = 50.0;
/// Upper bound of that delay, in milliseconds.
const RETRY_DELAY_MAX: Ms = 1_000.0;

/// Result of an event on a connection.
#[derive(Debug, PartialEq, Eq)]
pub enum Change<'a> {
    /// Nothing that the caller has to react to.
    None,
    /// The connection to this peer is established.
    Up(&'a str),
    /// The connection to this peer is lost, possibly with messages sent on it.
    Lost(&'a str),
}

/// A peer and the connection to it.
#[derive(Debug)]
struct Outbound {
    name: String,
    address: SocketAddr,
    stream: Option<Stream>,
    up: bool,
    since: Ms,
    open_at: Ms,
    retry_delay: Ms,
}

/// The outbound connections to all peers.
#[derive(Debug)]
pub struct OutboundConnections {
    kind: SourceKind,
    /// Maximum number of unsent bytes queued for one peer.
    unsent_max: usize,
    all: Vec<Outbound>,
}

impl OutboundConnections {
    /// Creates an empty set; the tokens of its connections are of this kind.
    pub(super) fn new(kind: SourceKind, unsent_max: usize) -> OutboundConnections {
        OutboundConnections { kind, unsent_max, all: Vec::new() }
    }

    /// Number of peers.
    pub fn count(&self) -> usize {
        self.all.len()
    }

    /// Names of all peers.
    pub fn names(&self) -> Vec<String> {
        self.all.iter().map(|l| l.name.clone()).collect()
    }

    /// Sets the address of a peer; `None` stops connecting to it. A connection to an unchanged address is
    /// kept.
    pub fn set(&mut self, name: &str, address: Option<SocketAddr>) {
        match self.all.iter_mut().find(|l| l.name == name) {
            Some(l) if address == Some(l.address) => {}
            Some(l) => {
                (l.stream, l.up) = (None, false);
                l.open_at = if address.is_some() { 0.0 } else { f64::MAX };
                l.address = address.unwrap_or(l.address);
            }
            None => self.all.extend(address.map(|address| Outbound {
                name: name.to_string(),
                address,
                stream: None,
                up: false,
                since: 0.0,
                open_at: 0.0,
                retry_delay: RETRY_DELAY_FIRST,
            })),
        }
    }

    /// Time at which [`OutboundConnections::tick`] is due.
    pub fn next_due(&self) -> Option<Ms> {
        let due = |l: &Outbound| match l.stream {
            None => l.open_at,
            Some(_) if !l.up => l.since + CONNECT_TIMEOUT,
            Some(_) => f64::MAX,
        };
        self.all.iter().map(due).filter(|t| *t < f64::MAX).min_by(f64::total_cmp)
    }

    /// Opens connections that are due, and closes those that were not established in time.
    pub fn tick(&mut self, now: Ms, reactor: &Rc<Reactor>) {
        for (index, l) in self.all.iter_mut().enumerate() {
            if l.stream.is_some() && !l.up && l.since + CONNECT_TIMEOUT <= now {
                l.handle_lost(now);
            }
            if l.stream.is_none() && l.open_at <= now {
                l.since = now;
                match Stream::connect(l.address, reactor, token(self.kind, index)) {
                    Ok(stream) => l.stream = Some(stream),
                    Err(_) => l.handle_lost(now),
                }
            }
        }
    }

    /// Handles an event on a connection.
    pub fn ready(&mut self, now: Ms, index: usize) -> Change<'_> {
        let Some(l) = self.all.get_mut(index) else { return Change::None };
        let Some(stream) = &mut l.stream else { return Change::None };
        let (mut established, mut usable) = (false, true);
        match stream.is_up() {
            Ok(true) => {
                if !std::mem::replace(&mut l.up, true) {
                    l.retry_delay = RETRY_DELAY_FIRST;
                    established = true;
                }
                // Peers send nothing on this connection: any data, or its end, makes it useless.
                usable = stream.flush().is_ok()
                    && stream.fill(READ_MAX) == Fill::Blocked
                    && stream.read_buf.is_empty();
            }
            Ok(false) => {}
            Err(_) => usable = false,
        }
        if !usable {
            l.handle_lost(now);
            return Change::Lost(&l.name);
        }
        if established {
            return Change::Up(&l.name);
        }
        Change::None
    }

    /// Sends a frame to a peer if the connection to it is up and has room. False if the connection broke.
    pub fn send(&mut self, now: Ms, to: &str, frame: &[u8]) -> bool {
        let Some(l) = self.all.iter_mut().find(|l| l.name == to && l.up) else { return true };
        let Some(stream) = &mut l.stream else { return true };
        if stream.unwritten() + frame.len() > self.unsent_max {
            return true;
        }
        stream.queue(frame);
        let usable = stream.flush().is_ok();
        if !usable {
            l.handle_lost(now);
        }
        usable
    }

    /// Whether the connection to a peer has room for this many more bytes. One that is not up has.
    pub fn has_room(&self, to: &str, bytes: usize) -> bool {
        let up = self.all.iter().find(|l| l.name == to).and_then(|l| l.stream.as_ref());
        up.is_none_or(|s| s.unwritten() + bytes <= self.unsent_max)
    }

    /// Closes the connection to a peer.
    pub fn cut(&mut self, now: Ms, name: &str) {
        self.all.iter_mut().filter(|l| l.name == name).for_each(|l| l.handle_lost(now));
    }
}

impl Outbound {
    fn handle_lost(&mut self, now: Ms) {
        (self.stream, self.up) = (None, false);
        self.open_at = now + self.retry_delay;
        self.retry_delay = (2.0 * self.retry_delay).min(RETRY_DELAY_MAX);
    }
}
