//! Copies of taken messages, and the rule for copies that differ.
//!
//! A copy's stage only moves forward: taken, started, ended. Its fence only rises. So two copies of one message meet in the
//! same one whichever is merged into which, in any order and however often: a join. Two different final answers are a
//! defect that is counted; the one that says more of the effect stays, the same one everywhere.

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
