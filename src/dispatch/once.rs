//! Classes that are never repeated: which of their messages were taken on, whoever handed them in and whichever way.
//!
//! The decision module never sends such a message again once it may have run. This guards the other ways to a second
//! effect: the message handed in anew, by another client, over the other front, after a restart. No I/O, no clock.

use crate::api::Ms;
use crate::journal::{CallNo, Ending};
use std::collections::{BTreeSet, HashMap};

/// What a remembered message needs in the journal beside its name.
const MARGIN: u64 = 48;

/// What is known of a message that is to be taken on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Judgement {
    /// Nothing: take it on.
    New,
    /// It is held, under this number.
    Held(CallNo),
    /// It ended so, and may have run.
    Ended(Ending),
}

#[derive(Debug, Clone)]
enum Seen {
    Held(CallNo),
    /// How, until when it is remembered, and the tenant where tenants may move.
    Ended(Ending, Ms, String),
}

/// All that is remembered.
#[derive(Debug, Default)]
pub struct Once {
    /// How long after its end a message of a class is remembered.
    classes: HashMap<String, Ms>,
    seen: HashMap<String, Seen>,
    fading: BTreeSet<(u64, String)>,
    bytes: u64,
}

/// The name under which a message of a class is known: by its idempotency key, or else by its id.
fn name(class: &str, idempotency: &str, id: &str) -> String {
    match idempotency.is_empty() {
        true => format!("{class}\ni{id}"),
        false => format!("{class}\nk{idempotency}"),
    }
}

impl Once {
    /// Classes that are never repeated, each with the span after its end for which a message is remembered.
    pub fn new(classes: impl IntoIterator<Item = (String, Ms)>) -> Once {
        Once { classes: classes.into_iter().collect(), ..Once::default() }
    }

    /// Takes changed classes over; what is remembered stays so until its time.
    pub fn change(&mut self, classes: impl IntoIterator<Item = (String, Ms)>) {
        self.classes = classes.into_iter().collect();
    }

    /// The name of a message; `None` if its class may be repeated.
    pub fn name(&self, class: &str, idempotency: &str, id: &str) -> Option<String> {
        self.classes.contains_key(class).then(|| name(class, idempotency, id))
    }

    /// What is known of a message.
    pub fn judge(&self, name: &str) -> Judgement {
        match self.seen.get(name) {
            None => Judgement::New,
            Some(Seen::Held(no)) => Judgement::Held(*no),
            Some(Seen::Ended(ending, ..)) => Judgement::Ended(*ending),
        }
    }

    /// Bytes that all of it needs in the journal, and that one more would.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// See [`Once::bytes`].
    pub fn size(name: &str) -> u64 {
        name.len() as u64 + MARGIN
    }

    fn put(&mut self, name: String, seen: Seen) {
        let size = Once::size(&name);
        match self.seen.insert(name.clone(), seen) {
            Some(Seen::Ended(_, until, _)) => {
                self.fading.remove(&(until as u64, name));
            }
            Some(Seen::Held(_)) => {}
            None => self.bytes += size,
        }
    }

    /// A message was taken on.
    pub fn held(&mut self, name: String, no: CallNo) {
        self.put(name, Seen::Held(no));
    }

    /// It ended. One that was handed back never ran, and may be taken on again; any other is remembered, and the time
    /// until then is returned, to be written down.
    pub fn ended(&mut self, now: Ms, class: &str, name: &str, ending: Ending, tenant: String) -> Option<Ms> {
        if matches!(ending, Ending::HandedBack(_)) {
            self.forget(name);
            return None;
        }
        let until = now + self.span(class);
        self.remember(name.to_string(), ending, until, tenant);
        Some(until)
    }

    /// How long after its end a message of a class is remembered.
    pub fn span(&self, class: &str) -> Ms {
        self.classes.get(class).copied().unwrap_or(0.0)
    }

    /// A message that never ran, or that is somebody else's now.
    pub fn forget(&mut self, name: &str) {
        if let Some(seen) = self.seen.remove(name) {
            self.bytes -= Once::size(name);
            if let Seen::Ended(_, until, _) = seen {
                self.fading.remove(&(until as u64, name.to_string()));
            }
        }
    }

    /// Remembers an end.
    pub fn remember(&mut self, name: String, ending: Ending, until: Ms, tenant: String) {
        self.put(name.clone(), Seen::Ended(ending, until, tenant));
        self.fading.insert((until as u64, name));
    }

    /// Forgets what is past its time.
    pub fn fade(&mut self, now: Ms) {
        while let Some((until, name)) = self.fading.first().cloned().filter(|f| f.0 as Ms <= now) {
            self.fading.remove(&(until, name.clone()));
            if self.seen.remove(&name).is_some() {
                self.bytes -= Once::size(&name);
            }
        }
    }

    /// Ends that are remembered, for a journal that is written anew.
    pub fn ends(&self) -> impl Iterator<Item = (&String, Ending, Ms, &String)> {
        self.seen.iter().filter_map(|(name, seen)| match seen {
            Seen::Ended(ending, until, tenant) => Some((name, *ending, *until, tenant)),
            Seen::Held(_) => None,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a second effect by another way in, and against one that never ran being kept out.
    #[test]
    fn a_message_is_known_by_key_or_id_until_its_time() {
        let mut once = Once::new([("pay".to_string(), 1_000.0)]);
        assert_eq!(once.name("status", "k", "a"), None);
        let keyed = once.name("pay", "k", "a").unwrap();
        assert_eq!(once.name("pay", "k", "b"), Some(keyed.clone()), "the key counts, not the id");
        assert_ne!(once.name("pay", "", "k"), Some(keyed.clone()), "an id is no key");
        once.held(keyed.clone(), 7);
        assert_eq!(once.judge(&keyed), Judgement::Held(7));
        assert_eq!(once.ended(0.0, "pay", &keyed, Ending::HandedBack(5.0), String::new()), None);
        assert_eq!((once.judge(&keyed), once.bytes()), (Judgement::New, 0));
        once.held(keyed.clone(), 8);
        assert_eq!(once.ended(10.0, "pay", &keyed, Ending::GivenUp, String::new()), Some(1_010.0));
        once.fade(1_009.0);
        assert_eq!(once.judge(&keyed), Judgement::Ended(Ending::GivenUp));
        once.fade(1_010.0);
        assert_eq!((once.judge(&keyed), once.bytes(), once.fading.len()), (Judgement::New, 0, 0));
    }
}
