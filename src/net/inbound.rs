//! Inbound connections of peers, which send frames. Each has a bounded share of a turn and of the memory for incomplete
//! frames; one that has sent no valid frame makes room for a new one.

use super::reactor::Reactor;
use super::stream::{Fill, Stream};
use crate::memory::Holder;
use mio::net::TcpStream;
use mio::Token;
use slab::Slab;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Number of bytes read from one connection in one turn, so that others get theirs.
const READ_PER_TURN: usize = 64 * 1024;
/// Number of frames of one connection in one turn.
const FRAMES_PER_TURN: usize = 64;

/// Divides received bytes into messages.
pub(super) trait FrameReader: Clone {
    /// A message.
    type Message;

    /// Appends received bytes.
    fn push(&mut self, bytes: &[u8]);

    /// The next whole message, or why the connection has to be closed.
    fn next_message(&mut self) -> Result<Option<Self::Message>, String>;

    /// Bytes of memory that the received bytes take.
    fn held_bytes(&self) -> usize;
}

/// Identifies a connection, also after another one has got its place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ConnectionId {
    index: usize,
    serial: usize,
}

/// Bits of a connection's number that hold its index.
const INDEX_BITS: u32 = 16;

impl ConnectionId {
    /// The connection of a number.
    pub(super) fn of_number(number: usize) -> ConnectionId {
        ConnectionId { index: number & ((1 << INDEX_BITS) - 1), serial: number >> INDEX_BITS }
    }

    /// A number by which the core refers to the connection.
    pub(super) fn number(self) -> usize {
        self.serial << INDEX_BITS | self.index
    }
}

#[derive(Debug)]
struct Inbound<R> {
    stream: Stream,
    reader: R,
    serial: usize,
    /// A valid frame was received.
    served: bool,
    /// Bytes that the memory ledger knows of.
    counted: usize,
}

/// What a connection has sent in this turn.
pub(super) struct Received<M> {
    /// The connection.
    pub(super) id: ConnectionId,
    /// Its whole messages.
    pub(super) messages: Vec<M>,
    /// Why it was closed, unless the peer ended it.
    pub(super) closed: Option<String>,
}

/// The inbound connections of one kind.
#[derive(Debug)]
pub(super) struct InboundConnections<R: FrameReader> {
    conns: Slab<Inbound<R>>,
    /// The reader of a connection that has received nothing.
    new_reader: R,
    max: usize,
    next_serial: usize,
    /// Connections with input left for the next turn.
    unfinished: BTreeSet<usize>,
}

impl<R: FrameReader> InboundConnections<R> {
    /// Creates the set without connections; `max` bounds their number, and each gets a copy of the reader.
    pub(super) fn new(max: usize, new_reader: R) -> InboundConnections<R> {
        InboundConnections {
            conns: Slab::new(),
            new_reader,
            max,
            next_serial: 0,
            unfinished: BTreeSet::new(),
        }
    }

    /// Makes room for one more connection; false if there is none.
    pub(super) fn make_room(&mut self) -> bool {
        if self.conns.len() < self.max {
            return true;
        }
        let silent = self.conns.iter().filter(|(_, c)| !c.served);
        let Some(oldest) = silent.min_by_key(|(_, c)| c.serial).map(|(index, _)| index) else { return false };
        log::debug!(conn = oldest, cause = "no_room"; "a peer connection that has sent nothing is closed");
        self.close(oldest);
        true
    }

    /// Registers a connection; `token` gives its events' token by its index.
    pub(super) fn accept(&mut self, tcp: TcpStream, reactor: &Rc<Reactor>, token: impl Fn(usize) -> Token) {
        let entry = self.conns.vacant_entry();
        match Stream::accepted(tcp, reactor, token(entry.key())) {
            Ok(stream) => {
                self.next_serial += 1;
                let (reader, serial) = (self.new_reader.clone(), self.next_serial);
                entry.insert(Inbound { stream, reader, serial, served: false, counted: 0 });
            }
            Err(e) => log::warn!(cause:% = e; "a peer connection cannot be registered: {e}"),
        }
    }

    fn close(&mut self, index: usize) {
        if let Some(c) = self.conns.try_remove(index) {
            c.stream.memory().change(Holder::Frames, c.counted, 0);
        }
        self.unfinished.remove(&index);
    }

    /// Connections with input left from the last turn.
    pub(super) fn take_unfinished(&mut self) -> BTreeSet<usize> {
        std::mem::take(&mut self.unfinished)
    }

    /// Whether any connection has input left.
    pub(super) fn has_unfinished(&self) -> bool {
        !self.unfinished.is_empty()
    }

    /// Reads a connection's share for this turn.
    pub(super) fn read(&mut self, index: usize) -> Option<Received<R::Message>> {
        let c = self.conns.get_mut(index)?;
        let id = ConnectionId { index, serial: c.serial };
        let usable = c.stream.flush().is_ok();
        let fill = c.stream.fill(READ_PER_TURN);
        c.reader.push(&c.stream.read_buf);
        c.stream.discard_input();
        let mut messages = Vec::new();
        let mut more = fill == Fill::Full;
        let mut closed = None;
        loop {
            if messages.len() == FRAMES_PER_TURN {
                more = true;
                break;
            }
            match c.reader.next_message() {
                Ok(Some(message)) => messages.push(message),
                Ok(None) => break,
                Err(why) => {
                    closed = Some(why);
                    break;
                }
            }
        }
        c.served |= !messages.is_empty();
        let held = c.reader.held_bytes();
        c.stream.memory().change(Holder::Frames, c.counted, held);
        c.counted = held;
        if held > 0 && !self.make_memory(index) {
            closed = closed.or(Some("there is no memory for its frame".into()));
        }
        if !usable || closed.is_some() || (fill == Fill::Ended && !more) {
            self.close(index);
        } else if more {
            self.unfinished.insert(index);
        }
        Some(Received { id, messages, closed })
    }

    /// Closes connections without a valid frame while there is no memory for incomplete frames, the oldest first; false
    /// if that is not enough for this connection.
    fn make_memory(&mut self, index: usize) -> bool {
        loop {
            let Some(c) = self.conns.get(index) else { return false };
            if c.stream.memory().has_room(Holder::Frames, 0) {
                return true;
            }
            c.stream.memory().count_refused(Holder::Frames);
            let others = self.conns.iter().filter(|(other, c)| *other != index && !c.served && c.counted > 0);
            let Some(oldest) = others.min_by_key(|(_, c)| c.serial).map(|(other, _)| other) else {
                return false;
            };
            log::debug!(conn = oldest, cause = "memory"; "a peer connection with an incomplete frame is closed");
            self.close(oldest);
        }
    }

    /// Sends bytes on a connection if it is still the same.
    pub(super) fn send(&mut self, id: ConnectionId, bytes: &[u8]) {
        let Some(c) = self.conns.get_mut(id.index).filter(|c| c.serial == id.serial) else { return };
        c.stream.queue(bytes);
        if c.stream.flush().is_err() {
            self.close(id.index);
        }
    }
}
