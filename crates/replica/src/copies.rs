//! Copies of taken messages, and the rule for copies that differ.
//!
//! A copy's stage only moves forward: taken, started, ended. Its fence only rises. So two copies of one message meet in the
//! same one whichever is merged into which, in any order and however often: a join. Two different final answers are a
//! defect that is counted; the one that says more of the effect stays, the same one everywhere.

use std::collections::BTreeMap;

/// Who may act on a message: the higher fence. One epoch has one fence for each owner, and the name orders them.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Fence {
    /// Grows with each taking over.
    pub epoch: u64,
    /// Whose it is.
    pub owner: String,
}

/// How a message ended, in the order in which the one that says more of its effect comes later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum End {
    /// It never ran: the client may come again after so many milliseconds.
    HandedBack(u64),
    /// No promise about its effect.
    GivenUp,
    /// It took effect.
    Delivered,
}

/// How far a message has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// Taken on, and no attempt was begun, as far as the holder knows.
    Taken,
    /// An attempt may have run.
    Started,
    /// It has its final answer.
    Ended(End),
}

/// What never changes of a message.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Content {
    /// Who handed it in; empty for the platform's clients.
    pub client: String,
    /// Its class, by name.
    pub class: String,
    /// Its tenant, by name.
    pub tenant: String,
    /// The key of its order.
    pub key: Option<u64>,
    /// Its idempotency key.
    pub idempotency: String,
    /// Its destination.
    pub dest: u64,
    /// It may be delivered until then: milliseconds since 1970.
    pub valid_until: u64,
    /// Its number where it was taken: the order of a key.
    pub no: u64,
    /// Who took it on.
    pub taker: String,
    /// In which of its lives the arbiter may grant.
    pub arbiter_born: u64,
    /// Where its final answer goes.
    pub reply: Vec<u8>,
    /// The body.
    pub body: Vec<u8>,
}

/// One copy.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Copy {
    /// The id under which it was handed in.
    pub id: String,
    /// Who holds copies, the arbiter first; not the one that took it.
    pub holders: Vec<String>,
    /// Who may act on it.
    pub fence: Fence,
    /// How far it has come.
    pub stage: Stage,
    /// The message.
    pub content: Content,
}

/// What a merge came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Merged {
    /// Nothing new.
    Same,
    /// The copy has moved forward.
    Newer,
    /// Both had ended, differently: a defect.
    Conflict,
}

impl Copy {
    /// Takes in what another copy of the message knows.
    pub fn merge(&mut self, other: &Copy) -> Merged {
        let differ = matches!((self.stage, other.stage), (Stage::Ended(a), Stage::Ended(b)) if a != b);
        let (stage, fence) = (self.stage.max(other.stage), (&self.fence).max(&other.fence).clone());
        let newer = stage != self.stage || fence != self.fence;
        (self.stage, self.fence) = (stage, fence);
        match (differ, newer) {
            (true, _) => Merged::Conflict,
            (false, true) => Merged::Newer,
            (false, false) => Merged::Same,
        }
    }

    /// Bytes that it takes, about.
    pub fn size(&self) -> usize {
        let c = &self.content;
        let texts = [&self.id, &c.client, &c.class, &c.tenant, &c.idempotency, &self.fence.owner];
        let texts: usize = texts.iter().map(|t| t.len()).sum();
        let holders: usize = self.holders.iter().map(|h| h.len() + 24).sum();
        texts + holders + c.reply.len() + c.body.len() + 256
    }
}

/// All copies that a dispatcher holds for others, within a bound of bytes.
#[derive(Debug, Clone, Default)]
pub struct Copies {
    all: BTreeMap<String, Copy>,
    bytes: usize,
    most: usize,
    /// Merges that met two different final answers.
    pub conflicts: u64,
    /// Copies that found no room.
    pub refused: u64,
}

impl Copies {
    /// Holds so many bytes at most.
    pub fn new(most: usize) -> Copies {
        Copies { most, ..Copies::default() }
    }

    /// Takes a copy in; None where there is no room for a new one.
    pub fn take(&mut self, copy: &Copy) -> Option<Merged> {
        if let Some(held) = self.all.get_mut(&copy.id) {
            let merged = held.merge(copy);
            self.conflicts += u64::from(merged == Merged::Conflict);
            return Some(merged);
        }
        // What has ended is small beside what waits: its body is of no more use.
        let mut copy = copy.clone();
        if matches!(copy.stage, Stage::Ended(_)) {
            copy.content.body.clear();
        }
        if self.bytes + copy.size() > self.most {
            self.refused += 1;
            return None;
        }
        self.bytes += copy.size();
        self.all.insert(copy.id.clone(), copy);
        Some(Merged::Newer)
    }

    /// The copy of a message.
    pub fn get(&self, id: &str) -> Option<&Copy> {
        self.all.get(id)
    }

    /// Changes a copy; its bytes are counted anew.
    pub fn change(&mut self, id: &str, change: impl FnOnce(&mut Copy)) {
        if let Some(c) = self.all.get_mut(id) {
            self.bytes -= c.size();
            change(c);
            self.bytes += c.size();
        }
    }

    /// Forgets a copy.
    pub fn forget(&mut self, id: &str) -> Option<Copy> {
        let copy = self.all.remove(id)?;
        self.bytes -= copy.size();
        Some(copy)
    }

    /// Forgets what was over by then; what has no final answer yet stays for `grace` longer.
    pub fn fade(&mut self, now: u64, grace: u64) {
        let gone = |c: &Copy| match c.stage {
            Stage::Ended(_) => c.content.valid_until < now,
            _ => c.content.valid_until + grace < now,
        };
        let due: Vec<String> = self.all.iter().filter(|(_, c)| gone(c)).map(|(id, _)| id.clone()).collect();
        due.iter().for_each(|id| drop(self.forget(id)));
    }

    /// All copies, by id.
    pub fn iter(&self) -> impl Iterator<Item = &Copy> {
        self.all.values()
    }

    /// How many.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// None at all?
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Bytes that they take, about.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
