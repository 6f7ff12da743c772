//! The poll that all event sources are registered with, and the list of sources to service again without an
//! event: an operation that failed for lack of memory or descriptors leaves no event behind.

use crate::memory::{MemoryLedger, MemoryPlan};
use mio::event::Source;
use mio::{Events, Interest, Poll, Token};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io::{self, ErrorKind};
use std::time::Duration;

/// The poll of the event loop, shared by all connections.
#[derive(Debug)]
pub struct Reactor {
    poll: RefCell<Poll>,
    /// Sources to service again.
    retries: RefCell<BTreeSet<Token>>,
    /// What the connections hold.
    pub memory: MemoryLedger,
}

impl Reactor {
    /// Creates a poll without sources, with the default memory plan.
    ///
    /// # Errors
    ///
    /// The system cannot create a poll.
    pub fn new() -> io::Result<Reactor> {
        Reactor::with_memory(MemoryPlan::default())
    }

    /// Creates a poll without sources for connections that keep to this memory plan.
    ///
    /// # Errors
    ///
    /// The system cannot create a poll.
    pub fn with_memory(plan: MemoryPlan) -> io::Result<Reactor> {
        let memory = MemoryLedger::new(plan);
        Ok(Reactor { poll: RefCell::new(Poll::new()?), retries: RefCell::default(), memory })
    }

    /// Registers a source; its events carry the token.
    ///
    /// # Errors
    ///
    /// The system lacks resources (temporary, see [`is_shortage`]) or the source cannot be registered.
    pub fn register(&self, source: &mut dyn Source, token: Token, interest: Interest) -> io::Result<()> {
        let poll = self.poll.borrow();
        source.register(poll.registry(), token, interest).inspect_err(|_| {
            // Otherwise the source would count as registered, and the next attempt would fail.
            let _ = source.deregister(poll.registry());
        })
    }

    /// Removes a source.
    ///
    /// # Errors
    ///
    /// The source is not registered.
    pub fn deregister(&self, source: &mut dyn Source) -> io::Result<()> {
        source.deregister(self.poll.borrow().registry())
    }

    /// Waits for events for at most this long.
    ///
    /// # Errors
    ///
    /// The poll failed, or [`ErrorKind::Interrupted`].
    pub fn wait(&self, events: &mut Events, max: Duration) -> io::Result<()> {
        self.poll.borrow_mut().poll(events, Some(max))
    }

    /// Schedules a source to be serviced again soon, with or without an event.
    pub fn retry(&self, token: Token) {
        self.retries.borrow_mut().insert(token);
    }

    /// Whether any source is scheduled to be serviced again.
    pub fn has_retries(&self) -> bool {
        !self.retries.borrow().is_empty()
    }

    /// Takes the sources that are scheduled to be serviced again.
    pub fn take_retries(&self) -> BTreeSet<Token> {
        self.retries.take()
    }
}

/// Whether the system lacked memory, buffers or space for a socket operation. The connection is intact, and
/// the operation may succeed later.
pub fn is_shortage(error: &io::Error) -> bool {
    /// ENOBUFS on Linux; it has no `ErrorKind` of its own.
    const ENOBUFS: i32 = 105;
    matches!(error.kind(), ErrorKind::OutOfMemory | ErrorKind::StorageFull)
        || error.raw_os_error() == Some(ENOBUFS)
}
