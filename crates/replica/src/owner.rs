//! Ownership rules: which dispatcher may act on a message, as the state of one dispatcher for one message and
//! its transitions on peer messages.
//!
//! The dispatcher that accepted a message owns it under its first fence. Copies are placed on its holders,
//! the first of which is its arbiter. When the owner counts as gone by the membership view, the first live
//! dispatcher takes the message over under a higher fence, which it records before anything else; the order
//! of succession is the dispatcher that accepted the message, then its holders in their order. The other
//! holders send it their copies.
//!
//! An at-most-once message is started only with its arbiter's grant, and the arbiter grants to one fence
//! only: every other request is denied, and the arbiter itself does not start the message either once it has
//! granted. The message is therefore started at most once, whatever the membership view shows and whichever
//! peer messages are lost, duplicated or late. If the arbiter is gone too, or has already granted, the
//! message is given up without an attempt: nobody can prove that it was never sent.
//!
//! A deduplicated message is started once every other dispatcher that holds a copy, and does not count as gone,
//! has confirmed that it may have run. A dispatcher that takes it over therefore knows whether it was started; it
//! does not know where, and so does not send again what was.
//!
//! A message that may be repeated needs neither; its owner acts on it while its lease lasts. The lease
//! expires before any peer may count the owner as gone, so attempts of two owners do not overlap. A
//! dispatcher whose own lease has expired counts nobody as gone, and the peers that renew its lease send it
//! their copies first, so that it does not act under a fence that has been replaced.

use crate::copies::{CopyEnding, Fence, MergeOutcome, MessageCopy, Stage};

/// A peer message about one message.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum PeerMessage {
    /// Asks the receiver to store this copy, with the state that the sender knows.
    Store,
    /// Acknowledges that the copy is stored.
    Stored,
    /// Asks the arbiter whether the message may be started under this fence.
    RequestGrant,
    /// The message may be started under this fence, and under no other.
    Grant,
    /// The message may not be started; carries the fence that the message belongs to.
    DenyGrant,
}

/// The next action for a message.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ReplicaAction {
    /// Start an attempt.
    Start,
    /// Request a grant from this arbiter first.
    RequestGrant(String),
    /// Nothing: another dispatcher owns the message, or it has ended.
    NoAction,
    /// Give the message its final answer without an attempt.
    GiveUp,
}

/// Whether a message may be repeated after an attempt that may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Repeatability {
    /// It may be repeated.
    Repeatable,
    /// It may be repeated where the endpoint of its first attempt drops repeats, which only the dispatcher that
    /// sent it knows (deduplicated).
    Deduplicated,
    /// It must not be repeated (at-most-once).
    AtMostOnce,
}

/// Rules that the model checker switches off to show that it detects their absence. A dispatcher sets none of
/// them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Faults {
    /// The arbiter grants requests regardless of its earlier grants, of higher fences and of a final answer.
    pub skip_fencing: bool,
    /// A holder takes over while the owner's lease is still valid.
    pub early_takeover: bool,
    /// The copy with the later wall clock time wins a merge, whatever its stage.
    pub last_writer_wins: bool,
}

/// One dispatcher's copy of a message, with its part in the ownership protocol.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Replica {
    /// The name of this dispatcher.
    pub dispatcher: String,
    /// The copy as this dispatcher knows it.
    pub copy: MessageCopy,
    /// At the arbiter: the fence that may start the message.
    pub granted_fence: Option<Fence>,
    /// At the owner: whether the arbiter's grant has arrived.
    pub has_grant: bool,
    /// Whether the message may be repeated.
    pub kind: Repeatability,
}

impl crate::store::ByteSize for Replica {
    fn size(&self) -> usize {
        self.copy.size()
    }
}

impl Replica {
    /// The state of this dispatcher for a message, without a grant.
    pub fn new(me: &str, copy: MessageCopy, kind: Repeatability) -> Replica {
        Replica { dispatcher: me.into(), copy, granted_fence: None, has_grant: false, kind }
    }

    /// Whether this dispatcher owns the message, and so may act on it.
    pub fn is_owner(&self) -> bool {
        self.copy.fence.owner == self.dispatcher
    }

    /// Whether this dispatcher is the message's arbiter.
    pub fn is_arbiter(&self) -> bool {
        self.copy.holders.first().is_some_and(|h| *h == self.dispatcher)
    }

    /// What the owner may do now. `lease`: whether its peers will still count it as alive for some time.
    pub fn next_step(&self, lease: bool) -> ReplicaAction {
        if !self.is_owner() || matches!(self.copy.stage, Stage::Ended(_)) {
            return ReplicaAction::NoAction;
        }
        match self.kind {
            Repeatability::Repeatable | Repeatability::Deduplicated if lease => ReplicaAction::Start,
            Repeatability::Repeatable | Repeatability::Deduplicated => ReplicaAction::NoAction,
            // A started at-most-once message is not started again: its attempt has an outcome, or the outcome
            // stays unknown.
            Repeatability::AtMostOnce if self.copy.stage == Stage::Started => ReplicaAction::NoAction,
            // No other dispatcher has a copy, so none can take the message over.
            Repeatability::AtMostOnce if self.copy.holders.is_empty() => ReplicaAction::Start,
            Repeatability::AtMostOnce if self.is_arbiter() => match &self.granted_fence {
                Some(f) if *f != self.copy.fence => ReplicaAction::GiveUp,
                _ => ReplicaAction::Start,
            },
            Repeatability::AtMostOnce if self.has_grant => ReplicaAction::Start,
            Repeatability::AtMostOnce => ReplicaAction::RequestGrant(self.copy.holders[0].clone()),
        }
    }

    /// The owner starts an attempt; this is recorded before the first byte is sent.
    pub fn mark_started(&mut self) {
        if self.is_arbiter() {
            self.granted_fence = Some(self.copy.fence.clone());
        }
        self.copy.stage = self.copy.stage.max(Stage::Started);
    }

    /// The message has its final answer.
    pub fn mark_ended(&mut self, end: CopyEnding) {
        self.copy.stage = self.copy.stage.max(Stage::Ended(end));
    }

    /// Takes the message over: its owner counts as gone, and this dispatcher is the first live one in the
    /// order of succession. Returns the next action.
    pub fn take_over(&mut self) -> ReplicaAction {
        if self.is_owner() {
            return ReplicaAction::NoAction;
        }
        let index = self.copy.holders.iter().position(|h| *h == self.dispatcher).map_or(0, |p| p as u64 + 1);
        let participants = self.copy.holders.len() as u64 + 1;
        // Each dispatcher uses epochs of its own, so that two that take over at once never act under the same
        // epoch.
        let epoch = (self.copy.fence.epoch / participants + 1) * participants + index;
        self.copy.fence = Fence { epoch, owner: self.dispatcher.clone() };
        self.has_grant = false;
        match (self.copy.stage, self.kind) {
            (Stage::Ended(_), _) => ReplicaAction::NoAction,
            (_, Repeatability::Repeatable | Repeatability::Deduplicated) => ReplicaAction::Start,
            (Stage::Accepted, Repeatability::AtMostOnce)
                if self.is_arbiter() && self.granted_fence.is_none() =>
            {
                ReplicaAction::Start
            }
            _ => ReplicaAction::GiveUp,
        }
    }

    /// Processes a grant request as the arbiter and returns the answer. A grant is recorded before it is
    /// sent.
    pub fn on_grant_request(&mut self, fence: &Fence, faults: Faults) -> PeerMessage {
        let free = *fence >= self.copy.fence
            && self.granted_fence.as_ref().is_none_or(|g| g == fence)
            && !matches!(self.copy.stage, Stage::Ended(_));
        if !(faults.skip_fencing || free && self.is_arbiter()) {
            return PeerMessage::DenyGrant;
        }
        // The grant is no start: the owner itself reports the start of the attempt.
        self.granted_fence = Some(fence.clone());
        PeerMessage::Grant
    }

    /// The arbiter's grant for this fence has arrived.
    pub fn on_grant(&mut self, fence: &Fence) {
        self.has_grant |= *fence == self.copy.fence && self.is_owner();
    }

    /// A denial has arrived, with the fence that the message belongs to. An owner with a lower fence stops.
    /// An owner with the highest fence gives the message up, because the arbiter granted it to another one
    /// before.
    pub fn on_grant_denied(&mut self, fence: &Fence) -> ReplicaAction {
        if *fence > self.copy.fence {
            self.copy.fence = fence.clone();
            self.has_grant = false;
            return ReplicaAction::NoAction;
        }
        ReplicaAction::GiveUp
    }

    /// Merges another dispatcher's copy. `later`: it was written later by the wall clock, which counts only
    /// with the fault [`Faults::last_writer_wins`].
    pub fn merge(&mut self, copy: &MessageCopy, later: bool, faults: Faults) -> MergeOutcome {
        if faults.last_writer_wins {
            if later {
                (self.copy.stage, self.copy.fence) = (copy.stage, copy.fence.clone());
            }
            return MergeOutcome::Advanced;
        }
        let was = self.copy.fence.clone();
        let merged = self.copy.merge(copy);
        if self.copy.fence != was {
            self.has_grant = false;
        }
        merged
    }
}
