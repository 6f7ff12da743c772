//! The poll that all sources of events are registered with, and what is looked at again without an event: a call that the
//! system had no memory or descriptor for leaves no event behind.

use mio::event::Source;
use mio::{Events, Interest, Poll, Token};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io::{self, ErrorKind};
use std::time::Duration;

/// The poll of the process's one loop, shared by all connections.
#[derive(Debug)]
pub struct Reactor {
    poll: RefCell<Poll>,
    /// Sources to look at again.
    retries: RefCell<BTreeSet<Token>>,
}

impl Reactor {
    /// A poll with nothing registered yet.
    ///
    /// # Errors
    ///
    /// The system has none to give.
    pub fn new() -> io::Result<Reactor> {
        Ok(Reactor { poll: RefCell::new(Poll::new()?), retries: RefCell::default() })
    }

    /// Registers a source; its events come under the token.
    ///
    /// # Errors
    ///
    /// See [`is_shortage`] for those that pass.
    pub fn register(&self, source: &mut dyn Source, token: Token, interest: Interest) -> io::Result<()> {
        let poll = self.poll.borrow();
        source.register(poll.registry(), token, interest).inspect_err(|_| {
            // It counts as registered otherwise, and would not be taken the next time.
            let _ = source.deregister(poll.registry());
        })
    }

    /// Takes a source out again.
    ///
    /// # Errors
    ///
    /// It is not registered.
    pub fn deregister(&self, source: &mut dyn Source) -> io::Result<()> {
        source.deregister(self.poll.borrow().registry())
    }

    /// Waits for events.
    ///
    /// # Errors
    ///
    /// Also [`ErrorKind::Interrupted`].
    pub fn wait(&self, events: &mut Events, most: Duration) -> io::Result<()> {
        self.poll.borrow_mut().poll(events, Some(most))
    }

    /// The source is to be looked at again soon, with or without an event.
    pub fn retry(&self, token: Token) {
        self.retries.borrow_mut().insert(token);
    }

    /// Is any source to be looked at again?
    pub fn has_retries(&self) -> bool {
        !self.retries.borrow().is_empty()
    }

    /// The sources to look at again, once.
    pub fn take_retries(&self) -> BTreeSet<Token> {
        self.retries.take()
    }
}

/// Did the system lack memory, buffers or room for a call on a socket? The connection is whole, and the call may succeed later.
pub fn is_shortage(error: &io::Error) -> bool {
    /// Linux's number of ENOBUFS, which has no kind of its own.
    const NO_BUFFERS: i32 = 105;
    matches!(error.kind(), ErrorKind::OutOfMemory | ErrorKind::StorageFull)
        || error.raw_os_error() == Some(NO_BUFFERS)
}
