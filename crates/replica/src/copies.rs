//! Copies of accepted messages, and the rule that merges differing copies.
//!
//! A copy's stage only advances: taken, started, ended. Its fence only rises. Merging is therefore a join:
//! two copies of one message converge to the same state, in whichever direction, in whichever order and
//! however often they are merged. Two different final answers are a defect that is counted; the answer that
//! says more about the effect wins on every dispatcher.

/// Decides who may act on a message: the higher fence wins. The owner's name orders fences of the same epoch.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Fence {
    /// Rises with each takeover.
    pub epoch: u64,
    /// The dispatcher that owns the message under this fence.
    pub owner: String,
}

/// How a message ended. Answers that say more about its effect come later in the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CopyEnding {
    /// Returned: it never ran, and the client may submit it again after this many milliseconds.
    Returned(u64),
    /// Given up: no statement about its effect.
    GivenUp,
    /// Delivered: it took effect.
    Delivered,
}

/// The progress of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// Accepted; no attempt was begun as far as the holder knows.
    Accepted,
    /// An attempt may have run.
    Started,
    /// It has its final answer.
    Ended(CopyEnding),
}

impl Stage {
    /// Whether the message has its final answer.
    pub fn is_end(self) -> bool {
        matches!(self, Stage::Ended(_))
    }
}

/// The immutable part of a message.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct MessageContent {
    /// The client that submitted it; empty for the platform's clients.
    pub client: String,
    /// The name of its class.
    pub class: String,
    /// The name of its tenant.
    pub tenant: String,
    /// Its ordering key.
    pub ordering_key: Option<u64>,
    /// Its idempotency key.
    pub idempotency_key: String,
    /// Its destination.
    pub destination: u64,
    /// Its deadline, in milliseconds since 1970.
    pub valid_until: u64,
    /// Its sequence number at the dispatcher that accepted it; orders the messages of one key.
    pub number: u64,
    /// The dispatcher that accepted it.
    pub accepted_by: String,
    /// The incarnation of the arbiter that may grant it.
    pub arbiter_incarnation: u64,
    /// Where to send its final answer.
    pub reply_to: Vec<u8>,
    /// The message body.
    pub body: Vec<u8>,
}

/// One copy of a message.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MessageCopy {
    /// The id under which the client submitted it.
    pub id: String,
    /// The dispatchers that hold copies, the arbiter first; without the one that accepted the message.
    pub holders: Vec<String>,
    /// Who may act on it.
    pub fence: Fence,
    /// Its progress.
    pub stage: Stage,
    /// The message itself.
    pub content: MessageContent,
}

/// The result of a merge.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MergeOutcome {
    /// Nothing changed.
    Unchanged,
    /// The stage or the fence advanced.
    Advanced,
    /// The copies have different final answers, which is a defect.
    Conflict,
}

impl crate::store::ByteSize for MessageCopy {
    fn size(&self) -> usize {
        MessageCopy::size(self)
    }
}

impl MessageCopy {
    /// Merges the state of another copy of the same message into this one.
    pub fn merge(&mut self, other: &MessageCopy) -> MergeOutcome {
        let differ = matches!((self.stage, other.stage), (Stage::Ended(a), Stage::Ended(b)) if a != b);
        let (stage, fence) = (self.stage.max(other.stage), (&self.fence).max(&other.fence).clone());
        let newer = stage != self.stage || fence != self.fence;
        (self.stage, self.fence) = (stage, fence);
        match (differ, newer) {
            (true, _) => MergeOutcome::Conflict,
            (false, true) => MergeOutcome::Advanced,
            (false, false) => MergeOutcome::Unchanged,
        }
    }

    /// Takes over who accepted the message, who holds copies and who owns it from another copy.
    pub fn adopt_ownership(&mut self, other: &MessageCopy) {
        self.content.accepted_by = other.content.accepted_by.clone();
        self.content.arbiter_incarnation = other.content.arbiter_incarnation;
        self.holders = other.holders.clone();
        self.fence = other.fence.clone();
    }

    /// Drops the body of a message that has its final answer: nobody sends it any more.
    pub fn drop_body_if_ended(&mut self) {
        if self.stage.is_end() {
            self.content.body = Vec::new();
        }
    }

    /// Approximate size in bytes.
    pub fn size(&self) -> usize {
        let c = &self.content;
        let texts = [&self.id, &c.client, &c.class, &c.tenant, &c.idempotency_key, &self.fence.owner];
        let texts: usize = texts.iter().map(|t| t.len()).sum();
        let holders: usize = self.holders.iter().map(|h| h.len() + 24).sum();
        texts + holders + c.reply_to.len() + c.body.len() + 256
    }
}
