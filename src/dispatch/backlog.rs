//! Backlog: calls that a start took up beyond what the module holds at most. They wait for their turn here, so that a
//! journal with very many calls does not cost more in each turn than one with a few, and the first of them go at once.

use crate::api::Ms;
use crate::journal::CallNo;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Calls whose time is up that go to the module in one turn at most.
const LATE_MOST: usize = 256;

/// The calls that wait, in the order of their numbers.
#[derive(Debug, Clone, Default)]
pub struct Backlog {
    waiting: BTreeMap<CallNo, u64>,
    /// By when their time is up.
    due: BTreeSet<(u64, CallNo)>,
}

impl Backlog {
    /// One more waits.
    pub fn push(&mut self, no: CallNo, valid_until: Ms) {
        let until = valid_until.max(0.0) as u64;
        self.waiting.insert(no, until);
        self.due.insert((until, no));
    }

    /// It waits no more.
    pub fn remove(&mut self, no: CallNo) {
        if let Some(until) = self.waiting.remove(&no) {
            self.due.remove(&(until, no));
        }
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Those that go to the module now: the first ones while there is room, and those whose time is up: their final answer
    /// waits for nobody's turn.
    pub fn take(&mut self, now: Ms, room: usize) -> Vec<CallNo> {
        let late = self.due.iter().take_while(|(until, _)| *until as Ms <= now).take(LATE_MOST).map(|d| d.1);
        let mut taken: BTreeSet<CallNo> = late.collect();
        taken.extend(self.waiting.keys().take(room));
        taken.iter().for_each(|no| self.remove(*no));
        taken.into_iter().collect()
    }

    /// When the next one's time is up.
    pub fn next_due(&self) -> Option<Ms> {
        self.due.first().map(|d| d.0 as Ms)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a call that waits beyond its time, and against an order of numbers that is lost.
    #[test]
    fn the_first_go_while_there_is_room_and_the_late_at_once() {
        let mut b = Backlog::default();
        [(3, 900.0), (1, 5_000.0), (2, 50.0), (4, 10.0)]
            .into_iter()
            .for_each(|(no, until)| b.push(no, until));
        assert_eq!(b.next_due(), Some(10.0));
        assert_eq!(b.take(0.0, 1), [1]);
        assert_eq!(b.take(20.0, 0), [4]);
        b.remove(2);
        assert_eq!((b.take(60.0, 0), b.len(), b.next_due()), (vec![], 1, Some(900.0)));
        assert_eq!(b.take(60.0, 9), [3]);
        assert!(b.is_empty());
    }
}
