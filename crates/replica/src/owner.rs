//! Who may act on a message: the rules of one dispatcher for one message, as words that come in and words that go out.
//!
//! The one that took it owns it under its first fence. Copies lie with its holders, the first of which is its arbiter. When
//! the view says that the owner is gone, the first that lives takes it over under a higher fence, which it writes down before
//! anything else: first the one that took the message, then its holders in their order. The others give it their copies.
//!
//! An unsafe message is started only with its arbiter's grant, and the arbiter grants to one fence alone: whoever else wants
//! to start it is refused, the arbiter itself too once it has granted. So it is started once, whatever the view says and
//! whatever is lost, doubled or late between them. Where the arbiter is gone too, or has granted already, the message is
//! given up without a call: nobody can prove that it never went out.
//!
//! A safe message needs no grant; it is acted on while the owner's lease lasts. The lease runs out before anybody may count
//! the owner as gone, so attempts of two owners do not overlap. One whose lease ran out counts nobody as gone, and whoever
//! renews its lease tells it their copies with that, so that it does not act under a fence that has been passed.

use crate::copies::{Copy, End, Fence, Merged, Stage};

/// What a dispatcher says to another of one message.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Word {
    /// Hold this: the copy as the sender knows it.
    Hold,
    /// It is held.
    Held,
    /// May it be started under this fence?
    Ask,
    /// It may, under that fence and no other.
    Grant,
    /// It may not: the fence that it belongs to is with the word.
    Refuse,
}

/// What is to be done about a message now.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Step {
    /// Start an attempt.
    Start,
    /// Ask the arbiter first.
    Ask(String),
    /// Nothing: it is another's, or it has ended.
    Leave,
    /// Give it its final answer without a call.
    GiveUp,
}

/// May it be repeated where it may have run?
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// It may.
    Safe,
    /// It must not.
    Unsafe,
}

/// Rules that can be left out on purpose, to show that the checker finds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Holes {
    /// The arbiter grants whatever it has granted or taken over before.
    pub no_fence: bool,
    /// A holder takes over while the owner's lease lasts.
    pub hasty: bool,
    /// Of two copies the one that was written later by the wall clock stays, whatever its stage.
    pub last_writer: bool,
}

/// One dispatcher's part in one message.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Part {
    /// Its own name.
    pub me: String,
    /// What it knows.
    pub copy: Copy,
    /// As the arbiter: the fence that may start it.
    pub granted: Option<Fence>,
    /// As the owner: the arbiter's grant has come.
    pub has_grant: bool,
    /// The message's kind.
    pub kind: Kind,
}

impl Part {
    /// Its own, just taken.
    pub fn taken(me: &str, copy: Copy, kind: Kind) -> Part {
        Part { me: me.into(), copy, granted: None, has_grant: false, kind }
    }

    /// Is it the one that may act?
    pub fn owns(&self) -> bool {
        self.copy.fence.owner == self.me
    }

    /// Is it the arbiter?
    pub fn arbitrates(&self) -> bool {
        self.copy.holders.first().is_some_and(|h| *h == self.me)
    }

    /// What its owner may do about it. `lease`: the others count this dispatcher as alive for some time yet.
    pub fn step(&self, lease: bool) -> Step {
        if !self.owns() || matches!(self.copy.stage, Stage::Ended(_)) {
            return Step::Leave;
        }
        match self.kind {
            Kind::Safe if lease => Step::Start,
            Kind::Safe => Step::Leave,
            // What has started has an outcome of its own, or none that anybody can tell.
            Kind::Unsafe if self.copy.stage == Stage::Started => Step::Leave,
            // Nobody else has a copy: nobody can take it over.
            Kind::Unsafe if self.copy.holders.is_empty() => Step::Start,
            Kind::Unsafe if self.arbitrates() => match &self.granted {
                Some(f) if *f != self.copy.fence => Step::GiveUp,
                _ => Step::Start,
            },
            Kind::Unsafe if self.has_grant => Step::Start,
            Kind::Unsafe => Step::Ask(self.copy.holders[0].clone()),
        }
    }

    /// The owner starts an attempt: written down before its first byte.
    pub fn started(&mut self) {
        if self.arbitrates() {
            self.granted = Some(self.copy.fence.clone());
        }
        self.copy.stage = self.copy.stage.max(Stage::Started);
    }

    /// It has its final answer.
    pub fn ended(&mut self, end: End) {
        self.copy.stage = self.copy.stage.max(Stage::Ended(end));
    }

    /// The view says that the owner is gone, and this one is the first holder that lives: it takes over. Returns what is to
    /// be done then.
    pub fn take_over(&mut self) -> Step {
        if self.owns() {
            return Step::Leave;
        }
        let place = self.copy.holders.iter().position(|h| *h == self.me).map_or(0, |p| p as u64 + 1);
        let round = self.copy.holders.len() as u64 + 1;
        // Each one has epochs of its own, so that two who take over at once never act under the same one.
        let epoch = (self.copy.fence.epoch / round + 1) * round + place;
        self.copy.fence = Fence { epoch, owner: self.me.clone() };
        self.has_grant = false;
        match (self.copy.stage, self.kind) {
            (Stage::Ended(_), _) => Step::Leave,
            (_, Kind::Safe) => Step::Start,
            (Stage::Taken, Kind::Unsafe) if self.arbitrates() && self.granted.is_none() => Step::Start,
            _ => Step::GiveUp,
        }
    }

    /// Asked as the arbiter whether that fence may start it: the word to answer. What is granted is written down first.
    pub fn asked(&mut self, fence: &Fence, holes: Holes) -> Word {
        let free = *fence >= self.copy.fence
            && self.granted.as_ref().is_none_or(|g| g == fence)
            && !matches!(self.copy.stage, Stage::Ended(_));
        if !(holes.no_fence || free && self.arbitrates()) {
            return Word::Refuse;
        }
        // Not yet a start: the owner itself says so when it begins.
        self.granted = Some(fence.clone());
        Word::Grant
    }

    /// The arbiter's grant for this fence has come.
    pub fn heard_grant(&mut self, fence: &Fence) {
        self.has_grant |= *fence == self.copy.fence && self.owns();
    }

    /// A refusal, with the fence that the message belongs to: an owner whose own is lower stops; one whose fence is the
    /// highest gives the message up, for the arbiter has granted it to another before.
    pub fn heard_refusal(&mut self, fence: &Fence) -> Step {
        if *fence > self.copy.fence {
            self.copy.fence = fence.clone();
            self.has_grant = false;
            return Step::Leave;
        }
        Step::GiveUp
    }

    /// Another's copy has come. `later`: it was written later by the wall clock, which only a hole heeds.
    pub fn heard(&mut self, copy: &Copy, later: bool, holes: Holes) -> Merged {
        if holes.last_writer {
            if later {
                (self.copy.stage, self.copy.fence) = (copy.stage, copy.fence.clone());
            }
            return Merged::Newer;
        }
        let was = self.copy.fence.clone();
        let merged = self.copy.merge(copy);
        if self.copy.fence != was {
            self.has_grant = false;
        }
        merged
    }
}
