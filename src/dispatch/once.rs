//! Deduplication for at-most-once classes: which of their messages were accepted, from whichever client and
//! in whichever way.
//!
//! The decision module never sends such a message again once it may have run. This guards the other ways to a
//! second effect: the message submitted again, by another client, through another front end, or after a
//! restart. No I/O, no clock.

use crate::api::Ms;
use crate::journal::{AcceptedMessage, Ending, MessageNo};
use std::collections::{BTreeSet, HashMap};

/// Bytes that a remembered message takes in the journal beyond its name.
const ENTRY_OVERHEAD_BYTES: u64 = 48;

/// What is known of a message that is submitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RepeatCheck {
    /// Nothing: it may be accepted.
    New,
    /// It is held, under this number.
    Held(MessageNo),
    /// It ended in this way, and may have run.
    Ended(Ending),
}

#[derive(Debug, Clone)]
enum RememberedState {
    Held(MessageNo),
    /// How it ended, until when it is remembered, and its tenant where tenants may move.
    Ended(Ending, Ms, String),
}

/// The messages of at-most-once classes that are held or remembered.
#[derive(Debug, Default)]
pub struct AtMostOnce {
    /// How long after its end a message of a class is remembered.
    classes: HashMap<String, Ms>,
    entries: HashMap<String, RememberedState>,
    expiry: BTreeSet<(u64, String)>,
    bytes: u64,
}

/// The name under which a message of a class is known: by its idempotency key, or else by its id.
fn entry_name(class: &str, idempotency: &str, id: &str) -> String {
    match idempotency.is_empty() {
        true => format!("{class}\ni{id}"),
        false => format!("{class}\nk{idempotency}"),
    }
}

impl RememberedState {
    /// Bytes that the state takes in the journal beyond the entry's name.
    fn size(&self) -> u64 {
        let tenant = match self {
            RememberedState::Held(_) => 0,
            RememberedState::Ended(_, _, tenant) => tenant.len() as u64,
        };
        ENTRY_OVERHEAD_BYTES + tenant
    }
}

impl AtMostOnce {
    /// Creates the state for at-most-once classes, each with the span for which a message is remembered after
    /// its end.
    pub fn new(classes: impl IntoIterator<Item = (String, Ms)>) -> AtMostOnce {
        AtMostOnce { classes: classes.into_iter().collect(), ..AtMostOnce::default() }
    }

    /// Replaces the classes; messages that are remembered stay until their time has passed.
    pub fn change(&mut self, classes: impl IntoIterator<Item = (String, Ms)>) {
        self.classes = classes.into_iter().collect();
    }

    /// The name of a message; `None` if its class is not at-most-once.
    pub fn entry_name(&self, class: &str, idempotency: &str, id: &str) -> Option<String> {
        self.classes.contains_key(class).then(|| entry_name(class, idempotency, id))
    }

    /// The name of an accepted message; `None` if its class is not at-most-once.
    pub fn name_of(&self, message: &AcceptedMessage) -> Option<String> {
        self.entry_name(&message.class, &message.idempotency_key, &message.identity.1)
    }

    /// What is known of a message.
    pub fn check(&self, name: &str) -> RepeatCheck {
        match self.entries.get(name) {
            None => RepeatCheck::New,
            Some(RememberedState::Held(no)) => RepeatCheck::Held(*no),
            Some(RememberedState::Ended(ending, ..)) => RepeatCheck::Ended(*ending),
        }
    }

    /// Bytes that all entries take in the journal.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Bytes that the entry of a held message takes in the journal.
    pub fn entry_size(name: &str) -> u64 {
        name.len() as u64 + ENTRY_OVERHEAD_BYTES
    }

    fn put(&mut self, name: String, seen: RememberedState) {
        self.bytes += name.len() as u64 + seen.size();
        let former = self.entries.insert(name.clone(), seen);
        former.into_iter().for_each(|former| self.count_removed(&name, former));
    }

    /// Subtracts an entry that is no longer in the map.
    fn count_removed(&mut self, name: &str, removed: RememberedState) {
        self.bytes -= name.len() as u64 + removed.size();
        if let RememberedState::Ended(_, until, _) = removed {
            self.expiry.remove(&(until as u64, name.to_string()));
        }
    }

    /// A message was accepted.
    pub fn hold(&mut self, name: String, no: MessageNo) {
        self.put(name, RememberedState::Held(no));
    }

    /// A message ended. One that was returned never ran, and may be accepted again. Any other is remembered,
    /// and the time until when is returned, to be written to the journal.
    pub fn end(&mut self, now: Ms, class: &str, name: &str, ending: Ending, tenant: String) -> Option<Ms> {
        if matches!(ending, Ending::Returned(_)) {
            self.forget(name);
            return None;
        }
        let until = now + self.memory_span(class);
        self.remember(name.to_string(), ending, until, tenant);
        Some(until)
    }

    /// How long after its end a message of a class is remembered.
    pub fn memory_span(&self, class: &str) -> Ms {
        self.classes.get(class).copied().unwrap_or(0.0)
    }

    /// Forgets a message that never ran, or that another dispatcher owns now.
    pub fn forget(&mut self, name: &str) {
        if let Some(removed) = self.entries.remove(name) {
            self.count_removed(name, removed);
        }
    }

    /// Remembers an ending.
    pub fn remember(&mut self, name: String, ending: Ending, until: Ms, tenant: String) {
        self.put(name.clone(), RememberedState::Ended(ending, until, tenant));
        self.expiry.insert((until as u64, name));
    }

    /// Forgets endings whose time has passed.
    pub fn expire(&mut self, now: Ms) {
        while let Some((until, name)) = self.expiry.first().cloned().filter(|f| f.0 as Ms <= now) {
            self.expiry.remove(&(until, name.clone()));
            self.forget(&name);
        }
    }

    /// The remembered endings, for a compacted journal.
    pub fn endings(&self) -> impl Iterator<Item = (&String, Ending, Ms, &String)> {
        self.entries.iter().filter_map(|(name, seen)| match seen {
            RememberedState::Ended(ending, until, tenant) => Some((name, *ending, *until, tenant)),
            RememberedState::Held(_) => None,
        })
    }
}

#[cfg(test)]
mod tests;
