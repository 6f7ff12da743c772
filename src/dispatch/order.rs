//! Which calls of each ordered key are not over, in the order of their taking.

use crate::journal::{CallNo, Taken};
use std::collections::{BTreeSet, HashMap};

/// The calls of ordered keys that are held.
#[derive(Debug, Default)]
pub struct KeyOrder(HashMap<u64, BTreeSet<CallNo>>);

impl KeyOrder {
    /// A call is held from now on.
    pub fn enter(&mut self, taken: &Taken) {
        if let Some(key) = taken.key {
            self.0.entry(key).or_default().insert(taken.no);
        }
    }

    /// A call is over.
    pub fn leave(&mut self, no: CallNo, key: Option<u64>) {
        let Some(key) = key else { return };
        if let Some(calls) = self.0.get_mut(&key) {
            calls.remove(&no);
            if calls.is_empty() {
                self.0.remove(&key);
            }
        }
    }

    /// Is a call of the same key held that was taken earlier?
    pub fn has_earlier(&self, taken: &Taken) -> bool {
        let calls = taken.key.and_then(|key| self.0.get(&key));
        calls.and_then(BTreeSet::first).is_some_and(|first| *first < taken.no)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_call_has_its_turn_once_all_before_it_are_over() {
        let taken = |no, key| Taken { no, key, ..Taken::default() };
        let (a, b, other, free) = (taken(1, Some(7)), taken(2, Some(7)), taken(3, Some(8)), taken(4, None));
        let mut order = KeyOrder::default();
        [&b, &a, &other, &free].into_iter().for_each(|t| order.enter(t));
        assert!(!order.has_earlier(&a) && order.has_earlier(&b));
        assert!(!order.has_earlier(&other) && !order.has_earlier(&free));
        order.leave(a.no, a.key);
        assert!(!order.has_earlier(&b));
        order.leave(b.no, b.key);
        assert_eq!(order.0.len(), 1);
    }
}
