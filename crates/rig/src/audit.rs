//! What clients were told and what members did, set against each other by the rules.

use std::collections::{BTreeMap, BTreeSet};

/// Everything that one run saw, by message id.
#[derive(Debug, Default, Clone)]
pub struct Audit {
    /// Messages that a dispatcher took with `+OK`.
    taken: BTreeSet<String>,
    /// Messages that may not take effect twice.
    unsafe_ids: BTreeSet<String>,
    /// Effects at members.
    effects: BTreeMap<String, usize>,
    /// Final answers other than an effect: a notice that the message was given up.
    given_up: BTreeMap<String, usize>,
}

/// What the rules forbid, counted; and what the run did.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// Messages taken.
    pub taken: usize,
    /// Taken and delivered at least once.
    pub delivered: usize,
    /// Taken and given up with a notice, never delivered.
    pub given_up: usize,
    /// Taken, and neither delivered nor given up: lost.
    pub lost: Vec<String>,
    /// Unsafe messages that took effect more than once.
    pub doubled: Vec<String>,
    /// Messages that were both given up and delivered, or given up twice: more than one final answer.
    pub answered_twice: Vec<String>,
}

impl Verdict {
    /// No rule was broken.
    pub fn clean(&self) -> bool {
        self.lost.is_empty() && self.doubled.is_empty() && self.answered_twice.is_empty()
    }
}

impl Audit {
    /// A message was taken with `+OK`; `unsafe_` if it may take effect once only.
    pub fn taken(&mut self, id: &str, unsafe_: bool) {
        self.taken.insert(id.to_string());
        if unsafe_ {
            self.unsafe_ids.insert(id.to_string());
        }
    }

    /// A member did what a message asked.
    pub fn effect(&mut self, id: &str) {
        *self.effects.entry(id.to_string()).or_default() += 1;
    }

    /// The platform heard that a message was given up.
    pub fn gave_up(&mut self, id: &str) {
        *self.given_up.entry(id.to_string()).or_default() += 1;
    }

    /// The rules against what was seen.
    pub fn verdict(&self) -> Verdict {
        let mut v = Verdict { taken: self.taken.len(), ..Verdict::default() };
        for id in &self.taken {
            let (effects, ends) =
                (self.effects.get(id).copied().unwrap_or(0), self.given_up.get(id).copied().unwrap_or(0));
            match (effects, ends) {
                (0, 0) => v.lost.push(id.clone()),
                (0, 1) => v.given_up += 1,
                (_, 0) => v.delivered += 1,
                _ => v.answered_twice.push(id.clone()),
            }
            if effects > 1 && self.unsafe_ids.contains(id) {
                v.doubled.push(id.clone());
            }
        }
        v
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against an audit that lets a lost, doubled or twice-answered message pass.
    #[test]
    fn each_broken_rule_is_found() {
        let mut a = Audit::default();
        for (id, unsafe_) in [
            ("ok", true),
            ("lost", false),
            ("twice", true),
            ("safe-twice", false),
            ("ended", true),
            ("both", false),
        ] {
            a.taken(id, unsafe_);
        }
        ["ok", "twice", "twice", "safe-twice", "safe-twice", "both"].iter().for_each(|id| a.effect(id));
        ["ended", "both"].iter().for_each(|id| a.gave_up(id));
        a.effect("never-taken");
        let v = a.verdict();
        assert_eq!((v.taken, v.delivered, v.given_up), (6, 3, 1));
        assert_eq!(
            (v.lost, v.doubled, v.answered_twice),
            (vec!["lost".into()], vec!["twice".into()], vec!["both".into()])
        );
        assert!(!a.verdict().clean());
    }
}
