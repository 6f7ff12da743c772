//! The messages of each ordered key that have not ended, in the order in which they were accepted.

use crate::journal::{AcceptedMessage, MessageNo};
use std::collections::{BTreeSet, HashMap};

/// The held messages of ordered keys.
#[derive(Debug, Default)]
pub struct KeyOrder(HashMap<u64, BTreeSet<MessageNo>>);

impl KeyOrder {
    /// Adds a message.
    pub fn insert(&mut self, taken: &AcceptedMessage) {
        if let Some(key) = taken.key {
            self.0.entry(key).or_default().insert(taken.no);
        }
    }

    /// Removes a message.
    pub fn remove(&mut self, no: MessageNo, key: Option<u64>) {
        let Some(key) = key else { return };
        if let Some(messages) = self.0.get_mut(&key) {
            messages.remove(&no);
            if messages.is_empty() {
                self.0.remove(&key);
            }
        }
    }

    /// Whether an earlier message of the same key is held.
    pub fn has_earlier(&self, taken: &AcceptedMessage) -> bool {
        let messages = taken.key.and_then(|key| self.0.get(&key));
        messages.and_then(BTreeSet::first).is_some_and(|first| *first < taken.no)
    }
}

#[cfg(test)]
mod tests;
