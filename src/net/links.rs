//! Connections of this side to other dispatchers: each is opened, kept and opened again. What is said while one is not up, or
//! while too much waits on it, is lost; whoever needs it says it again.

use super::reactor::Reactor;
use super::stream::{Fill, Stream};
use super::{token, SourceKind};
use crate::api::Ms;
use std::net::SocketAddr;
use std::rc::Rc;

/// Read in one go, so that one peer does not keep all others waiting.
pub const READ_MAX: usize = 256 * 1024;
/// A connection that is not up by then is given up,
const CONNECT_MOST: Ms = 1_000.0;
/// and tried again after this,
const AGAIN_FIRST: Ms = 50.0;
/// and twice as long each time, up to this.
const AGAIN_MOST: Ms = 1_000.0;

/// What an event on a connection came to.
#[derive(Debug, PartialEq, Eq)]
pub enum Change<'a> {
    /// Nothing that concerns others.
    None,
    /// The connection to this one has come up.
    Up(&'a str),
    /// It is lost, and what was said on it may be.
    Lost(&'a str),
}

/// One dispatcher, and the connection to it.
#[derive(Debug)]
struct Link {
    name: String,
    address: SocketAddr,
    stream: Option<Stream>,
    up: bool,
    since: Ms,
    open_at: Ms,
    again: Ms,
}

/// All of them.
#[derive(Debug)]
pub struct OutboundConnections {
    kind: SourceKind,
    /// Bytes that wait for one at most.
    waiting_most: usize,
    all: Vec<Link>,
}

impl OutboundConnections {
    /// None yet; their events come under this kind of token.
    pub(super) fn new(kind: SourceKind, waiting_most: usize) -> OutboundConnections {
        OutboundConnections { kind, waiting_most, all: Vec::new() }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.all.len()
    }

    /// The names of all.
    pub fn names(&self) -> Vec<String> {
        self.all.iter().map(|l| l.name.clone()).collect()
    }

    /// A dispatcher is at this address; without one it is connected to no more. A connection to where it stays is kept.
    pub fn set(&mut self, name: &str, address: Option<SocketAddr>) {
        match self.all.iter_mut().find(|l| l.name == name) {
            Some(l) if address == Some(l.address) => {}
            Some(l) => {
                (l.stream, l.up) = (None, false);
                l.open_at = if address.is_some() { 0.0 } else { f64::MAX };
                l.address = address.unwrap_or(l.address);
            }
            None => self.all.extend(address.map(|address| Link {
                name: name.to_string(),
                address,
                stream: None,
                up: false,
                since: 0.0,
                open_at: 0.0,
                again: AGAIN_FIRST,
            })),
        }
    }

    /// When [`OutboundConnections::tick`] has something to do.
    pub fn next_due(&self) -> Option<Ms> {
        let due = |l: &Link| match l.stream {
            None => l.open_at,
            Some(_) if !l.up => l.since + CONNECT_MOST,
            Some(_) => f64::MAX,
        };
        self.all.iter().map(due).filter(|t| *t < f64::MAX).min_by(f64::total_cmp)
    }

    /// Opens connections that are due, and gives up those that do not come up.
    pub fn tick(&mut self, now: Ms, reactor: &Rc<Reactor>) {
        for (at, l) in self.all.iter_mut().enumerate() {
            if l.stream.is_some() && !l.up && l.since + CONNECT_MOST <= now {
                l.lost(now);
            }
            if l.stream.is_none() && l.open_at <= now {
                l.since = now;
                match Stream::connect(l.address, reactor, token(self.kind, at)) {
                    Ok(stream) => l.stream = Some(stream),
                    Err(_) => l.lost(now),
                }
            }
        }
    }

    /// Something happened on a connection.
    pub fn ready(&mut self, now: Ms, at: usize) -> Change<'_> {
        let Some(l) = self.all.get_mut(at) else { return Change::None };
        let Some(stream) = &mut l.stream else { return Change::None };
        let (mut came, mut good) = (false, true);
        match stream.is_up() {
            Ok(true) => {
                if !std::mem::replace(&mut l.up, true) {
                    l.again = AGAIN_FIRST;
                    came = true;
                }
                // Nothing is answered on it: what comes is its end.
                good = stream.flush().is_ok()
                    && stream.fill(READ_MAX) == Fill::Blocked
                    && stream.read_buf.is_empty();
            }
            Ok(false) => {}
            Err(_) => good = false,
        }
        if !good {
            l.lost(now);
            return Change::Lost(&l.name);
        }
        if came {
            return Change::Up(&l.name);
        }
        Change::None
    }

    /// Says something to a dispatcher, if the connection to it is up and has room. False where the connection broke.
    pub fn say(&mut self, now: Ms, to: &str, frame: &[u8]) -> bool {
        let Some(l) = self.all.iter_mut().find(|l| l.name == to && l.up) else { return true };
        let Some(stream) = &mut l.stream else { return true };
        if stream.unwritten() + frame.len() > self.waiting_most {
            return true;
        }
        stream.queue(frame);
        let good = stream.flush().is_ok();
        if !good {
            l.lost(now);
        }
        good
    }

    /// Has the connection to it room for so many bytes more? One that is not up has.
    pub fn has_room(&self, to: &str, bytes: usize) -> bool {
        let up = self.all.iter().find(|l| l.name == to).and_then(|l| l.stream.as_ref());
        up.is_none_or(|s| s.unwritten() + bytes <= self.waiting_most)
    }

    /// Gives up the connection to it.
    pub fn cut(&mut self, now: Ms, name: &str) {
        self.all.iter_mut().filter(|l| l.name == name).for_each(|l| l.lost(now));
    }
}

impl Link {
    fn lost(&mut self, now: Ms) {
        (self.stream, self.up) = (None, false);
        self.open_at = now + self.again;
        self.again = (2.0 * self.again).min(AGAIN_MOST);
    }
}
