//! Backlog: restored messages beyond what the decision module may hold. They wait here, so that a journal
//! with very many messages costs no more in each turn than one with few, and the first of them go at once.

use crate::api::Ms;
use crate::journal::MessageNo;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// The most messages past their deadline that go to the decision module in one turn.
const MAX_EXPIRED_PER_TURN: usize = 256;

/// The waiting messages, in the order of their numbers.
#[derive(Debug, Clone, Default)]
pub struct Backlog {
    waiting: BTreeMap<MessageNo, u64>,
    /// The messages by their deadlines.
    due: BTreeSet<(u64, MessageNo)>,
}

impl Backlog {
    /// Adds a message.
    pub fn push(&mut self, no: MessageNo, valid_until: Ms) {
        let until = valid_until.max(0.0) as u64;
        self.waiting.insert(no, until);
        self.due.insert((until, no));
    }

    /// Removes a message.
    pub fn remove(&mut self, no: MessageNo) {
        if let Some(until) = self.waiting.remove(&no) {
            self.due.remove(&(until, no));
        }
    }

    /// The number of waiting messages.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no message waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Removes and returns the messages that go to the decision module now: the first ones, as many as there
    /// is room for, and those past their deadline, whose final answer needs no room.
    pub fn take(&mut self, now: Ms, room: usize) -> Vec<MessageNo> {
        let late = self
            .due
            .iter()
            .take_while(|(until, _)| *until as Ms <= now)
            .take(MAX_EXPIRED_PER_TURN)
            .map(|d| d.1);
        let mut taken: BTreeSet<MessageNo> = late.collect();
        taken.extend(self.waiting.keys().take(room));
        taken.iter().for_each(|no| self.remove(*no));
        taken.into_iter().collect()
    }

    /// The next deadline.
    pub fn next_due(&self) -> Option<Ms> {
        self.due.first().map(|d| d.0 as Ms)
    }
}

#[cfg(test)]
mod tests;
