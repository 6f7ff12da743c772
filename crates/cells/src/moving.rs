//! Moving a tenant from one dispatcher to another: who owns it at each moment, over lost, doubled and late messages,
//! kills on either side, and operators who change their mind.
//!
//! The owner hands over in two steps. It *drains*: nothing new starts, and what is out ends or is cut. It *offers* what it
//! holds and stays the owner; the other side writes that down and says so, which gives it no right yet. Only then the
//! owner *commits*, by writing that down itself: from that moment the tenant is the other side's, which serves as soon as
//! it has heard. So there is one decision, in one journal, and no moment with two owners. Until then the owner can take
//! everything back by itself, also when the other side never answers; after it, it repeats its word until it is heard.
//!
//! Each offer has an epoch of its own, handed out by the owner, one higher than its last. An offer that was taken back
//! uses its epoch up. Whatever bears an epoch that is not the one at hand is out of date, and who meets a higher one than
//! its own has been overtaken and stops.
//!
//! [`Seat::step`] is the whole of it. The host writes the seat down **before** it carries the orders out. The tests explore
//! this very code with a model checker; [`Faults`] are holes that it must find.

use std::fmt;

/// A dispatcher.
pub type Node = u32;
/// Number of an ownership; grows with each offer.
pub type Epoch = u64;

/// Holes in the protocol, for the model checker to find. None of them is ever set in a dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Faults {
    /// Epochs are not looked at.
    pub no_fence: bool,
    /// Who has committed takes it back all the same.
    pub late_abort: bool,
    /// The other side serves as soon as it has the offer.
    pub early_serve: bool,
    /// An offer that was taken back does not use its epoch up.
    pub epoch_again: bool,
    /// The owner forgets what it committed before it has been heard.
    pub early_forget: bool,
}

/// What a dispatcher is to a tenant. `C` is all that is held of it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Phase<C> {
    /// Nothing; it lives there, if that is known.
    Away {
        /// Where.
        at: Option<Node>,
    },
    /// Its owner, and serves it.
    Settled,
    /// Its owner; nothing new starts, and what is out ends.
    Draining {
        /// Where it is to go.
        to: Node,
    },
    /// Its owner; has offered what it holds, under the next epoch.
    Offered {
        /// To whom.
        to: Node,
        /// What.
        contents: C,
    },
    /// Not its owner any more; repeats so until it is heard.
    Committed {
        /// To whom.
        to: Node,
        /// What was offered: asked for again if it was lost there.
        contents: C,
    },
    /// Not its owner yet; has written down what was offered.
    Received {
        /// By whom.
        from: Node,
        /// What.
        contents: C,
    },
}

/// A dispatcher's place in the ownership of one tenant.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Seat<C> {
    /// The highest epoch that it has had to do with.
    pub epoch: Epoch,
    /// What it is.
    pub phase: Phase<C>,
}

/// What dispatchers tell each other. Any may be lost, doubled or late.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Word<C> {
    /// Take this, under that epoch.
    Offer {
        /// The epoch.
        epoch: Epoch,
        /// All that is held.
        contents: C,
    },
    /// The offer is written down.
    Received {
        /// The epoch.
        epoch: Epoch,
    },
    /// It is yours.
    Commit {
        /// The epoch.
        epoch: Epoch,
    },
    /// It is served here.
    Settled {
        /// The epoch.
        epoch: Epoch,
    },
    /// The offer is taken back.
    Cancel {
        /// The epoch.
        epoch: Epoch,
    },
    /// That offer is not known here.
    Unknown {
        /// The epoch.
        epoch: Epoch,
    },
    /// A later epoch is known here.
    Stale {
        /// The later one.
        epoch: Epoch,
    },
    /// What has become of the offer?
    Query {
        /// The epoch.
        epoch: Epoch,
    },
    /// The tenant is served here. Told to all on a new connection and after a move: others learn where it lives, and two
    /// that both take it for theirs find out.
    Claim {
        /// Under which epoch.
        epoch: Epoch,
    },
}

/// What happens to a dispatcher.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Input<C> {
    /// The operator wants the tenant moved there.
    Move(Node),
    /// The operator wants it back, or a message's time will not wait for an answer.
    Abort,
    /// The operator has made sure that the other side never starts again, and wants back what was handed over and not
    /// acknowledged.
    Reclaim,
    /// Nothing of the tenant that is handed over is out any more; this is what is held.
    Drained(C),
    /// That dispatcher takes the tenant for its own under the same epoch, as two versions of a map may have it, and is the
    /// one of the two that keeps it.
    Yield(Node),
    /// Time has passed, or the process has started: words may have been lost.
    Tick,
    /// A word from another dispatcher.
    Heard(Node, Word<C>),
}

/// What is to be done, after the seat has been written down.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Order<C> {
    /// Tell another dispatcher.
    Tell(Node, Word<C>),
    /// Start nothing new; say [`Input::Drained`] when nothing is out.
    Drain,
    /// Serve again what was held.
    Resume,
    /// Serve, beginning with this.
    Serve(C),
    /// Forget what was held: it is somebody else's.
    Forget,
    /// Take nothing more on, and end what is held here.
    Finish,
}

/// Why a wish cannot be met.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// The tenant is not served here.
    NotOwner,
    /// It is on its way already.
    Underway,
    /// It is where it is to go.
    Here,
    /// It has been handed over; it can only be moved back from there.
    TooLate,
    /// It is not waiting for a dispatcher to acknowledge it.
    NotOwed,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Refused::NotOwner => "the tenant is not served here; ask the dispatcher that serves it",
            Refused::Underway => "the tenant is being moved already; wait, or abort that move first",
            Refused::Here => "the tenant is there already",
            Refused::TooLate => "the tenant has been handed over; move it back from where it is now",
            Refused::NotOwed => {
                "the tenant does not wait here for another dispatcher; there is nothing to reclaim"
            }
        })
    }
}

impl std::error::Error for Refused {}

type Step<C> = (Seat<C>, Vec<Order<C>>);

impl<C: Clone> Seat<C> {
    /// The seat of a tenant that lives here from the start.
    pub fn settled() -> Seat<C> {
        Seat { epoch: 1, phase: Phase::Settled }
    }

    /// The seat of a tenant that lives elsewhere.
    pub fn away(at: Option<Node>) -> Seat<C> {
        Seat { epoch: 0, phase: Phase::Away { at } }
    }

    /// May calls of the tenant start here?
    pub fn serves(&self) -> bool {
        matches!(self.phase, Phase::Settled)
    }

    /// Is what is held of the tenant this dispatcher's to answer for?
    pub fn owns(&self) -> bool {
        matches!(self.phase, Phase::Settled | Phase::Draining { .. } | Phase::Offered { .. })
    }

    /// Are words owed that may have been lost?
    pub fn is_moving(&self) -> bool {
        !matches!(self.phase, Phase::Settled | Phase::Away { .. })
    }

    fn stay(&self) -> Step<C> {
        (self.clone(), Vec::new())
    }

    fn say(&self, to: Node, word: Word<C>) -> Step<C> {
        (self.clone(), vec![Order::Tell(to, word)])
    }

    /// What becomes of the seat, and what is to be done once it is written down.
    ///
    /// # Errors
    ///
    /// Where an operator's wish cannot be met; then nothing changes.
    pub fn step(&self, input: Input<C>, faults: Faults) -> Result<Step<C>, Refused> {
        Ok(match input {
            Input::Move(to) => return self.start(to),
            Input::Abort => return self.abort(faults),
            Input::Reclaim => return self.reclaim(),
            Input::Yield(to) if self.serves() => {
                (Seat { epoch: self.epoch, phase: Phase::Away { at: Some(to) } }, vec![Order::Finish])
            }
            Input::Yield(_) => self.stay(),
            Input::Drained(contents) => self.drained(contents),
            Input::Tick => self.tick(),
            Input::Heard(from, word) => self.hear(from, word, faults),
        })
    }

    fn start(&self, to: Node) -> Result<Step<C>, Refused> {
        match &self.phase {
            Phase::Settled => {
                let seat = Seat { epoch: self.epoch, phase: Phase::Draining { to } };
                Ok((seat, vec![Order::Drain]))
            }
            Phase::Away { at } if *at == Some(to) => Err(Refused::Here),
            Phase::Away { .. } | Phase::Received { .. } => Err(Refused::NotOwner),
            Phase::Draining { .. } | Phase::Offered { .. } => Err(Refused::Underway),
            Phase::Committed { .. } => Err(Refused::TooLate),
        }
    }

    /// Until it has committed, the owner takes back by itself: nobody else has a right yet.
    fn abort(&self, faults: Faults) -> Result<Step<C>, Refused> {
        match &self.phase {
            Phase::Draining { .. } => {
                Ok((Seat { epoch: self.epoch, phase: Phase::Settled }, vec![Order::Resume]))
            }
            Phase::Offered { to, .. } => {
                let offered = self.epoch + 1;
                // The epoch is used up: a late word about this offer must not be taken for one about the next.
                let epoch = if faults.epoch_again { self.epoch } else { offered };
                let cancel = Order::Tell(*to, Word::Cancel { epoch: offered });
                Ok((Seat { epoch, phase: Phase::Settled }, vec![Order::Resume, cancel]))
            }
            // Without the owner's word it has no right to it, and the owner still has all of it.
            Phase::Received { from, .. } => {
                Ok((Seat { epoch: self.epoch, phase: Phase::Away { at: Some(*from) } }, Vec::new()))
            }
            Phase::Committed { contents, .. } if faults.late_abort => {
                Ok((Seat { epoch: self.epoch, phase: Phase::Settled }, vec![Order::Serve(contents.clone())]))
            }
            Phase::Committed { .. } => Err(Refused::TooLate),
            Phase::Settled | Phase::Away { .. } => Err(Refused::NotOwner),
        }
    }

    /// Takes back after the decision, on the operator's word that nobody else acts on it. A late heir finds itself overtaken.
    fn reclaim(&self) -> Result<Step<C>, Refused> {
        match &self.phase {
            Phase::Committed { .. } => {
                Ok((Seat { epoch: self.epoch + 1, phase: Phase::Settled }, vec![Order::Resume]))
            }
            _ => Err(Refused::NotOwed),
        }
    }

    fn drained(&self, contents: C) -> Step<C> {
        let Phase::Draining { to } = &self.phase else { return self.stay() };
        let offer = Word::Offer { epoch: self.epoch + 1, contents: contents.clone() };
        let seat = Seat { epoch: self.epoch, phase: Phase::Offered { to: *to, contents } };
        (seat, vec![Order::Tell(*to, offer)])
    }

    /// The one decision: from here on the tenant is the other side's.
    fn commit(&self, to: Node) -> Step<C> {
        let Phase::Offered { contents, .. } = &self.phase else { return self.stay() };
        let epoch = self.epoch + 1;
        let phase = Phase::Committed { to, contents: contents.clone() };
        (Seat { epoch, phase }, vec![Order::Forget, Order::Tell(to, Word::Commit { epoch })])
    }

    /// Says again what may have been lost.
    fn tick(&self) -> Step<C> {
        match &self.phase {
            Phase::Offered { to, contents } => {
                self.say(*to, Word::Offer { epoch: self.epoch + 1, contents: contents.clone() })
            }
            Phase::Committed { to, .. } => self.say(*to, Word::Commit { epoch: self.epoch }),
            Phase::Received { from, .. } => self.say(*from, Word::Query { epoch: self.epoch }),
            // What was out when the process ended has ended with it.
            Phase::Draining { .. } => (self.clone(), vec![Order::Drain]),
            Phase::Settled | Phase::Away { .. } => self.stay(),
        }
    }

    fn hear(&self, from: Node, word: Word<C>, faults: Faults) -> Step<C> {
        match word {
            Word::Offer { epoch, contents } => self.offered(from, epoch, contents, faults),
            Word::Received { epoch } => match &self.phase {
                Phase::Offered { to, .. } if *to == from && (epoch == self.epoch + 1 || faults.no_fence) => {
                    let (seat, orders) = self.commit(from);
                    if faults.early_forget {
                        return (Seat { epoch: seat.epoch, phase: Phase::Away { at: Some(from) } }, orders);
                    }
                    (seat, orders)
                }
                Phase::Committed { to, .. } if *to == from && epoch == self.epoch => {
                    self.say(from, Word::Commit { epoch })
                }
                // An offer of long ago: whoever holds it still is to let it go.
                _ if epoch < self.epoch || (epoch == self.epoch && self.owns()) => {
                    self.say(from, Word::Cancel { epoch })
                }
                _ => self.stay(),
            },
            Word::Commit { epoch } => self.committed(from, epoch, faults),
            Word::Settled { epoch } => match &self.phase {
                Phase::Committed { to, .. } if *to == from && epoch == self.epoch => self.go(from),
                _ => self.stay(),
            },
            Word::Cancel { epoch } => match &self.phase {
                Phase::Received { from: by, .. }
                    if *by == from && (epoch == self.epoch || faults.no_fence) =>
                {
                    (Seat { epoch: self.epoch, phase: Phase::Away { at: Some(from) } }, Vec::new())
                }
                _ => self.stay(),
            },
            Word::Unknown { epoch } => match &self.phase {
                Phase::Committed { to, contents } if *to == from && epoch == self.epoch => {
                    self.say(from, Word::Offer { epoch, contents: contents.clone() })
                }
                _ => self.stay(),
            },
            Word::Stale { epoch } => self.overtaken(from, epoch),
            Word::Claim { epoch } => self.claimed(from, epoch),
            Word::Query { epoch } => match &self.phase {
                Phase::Committed { to, .. } if *to == from && epoch == self.epoch => {
                    self.say(from, Word::Commit { epoch })
                }
                Phase::Offered { to, .. } if *to == from && epoch == self.epoch + 1 => self.stay(),
                _ if epoch <= self.epoch => self.say(from, Word::Cancel { epoch }),
                _ => self.stay(),
            },
        }
    }

    /// The other side serves: nothing is owed any more.
    fn go(&self, at: Node) -> Step<C> {
        (Seat { epoch: self.epoch, phase: Phase::Away { at: Some(at) } }, Vec::new())
    }

    fn offered(&self, from: Node, epoch: Epoch, contents: C, faults: Faults) -> Step<C> {
        let known = match &self.phase {
            Phase::Received { from: by, .. } => epoch == self.epoch && *by == from,
            _ => false,
        };
        if known {
            return self.say(from, Word::Received { epoch });
        }
        let idle = matches!(self.phase, Phase::Away { .. } | Phase::Received { .. });
        // One that was let go comes again under its epoch, if its owner has committed to it.
        let again = epoch == self.epoch && matches!(self.phase, Phase::Away { .. });
        if idle && (epoch > self.epoch || again || faults.no_fence) {
            if faults.early_serve {
                let seat = Seat { epoch, phase: Phase::Settled };
                return (seat, vec![Order::Serve(contents), Order::Tell(from, Word::Received { epoch })]);
            }
            let seat = Seat { epoch, phase: Phase::Received { from, contents } };
            return (seat, vec![Order::Tell(from, Word::Received { epoch })]);
        }
        // Its own offer or ownership is later than that one, or is that one.
        let mine = self.epoch;
        if epoch == mine && !idle {
            self.say(from, Word::Settled { epoch })
        } else if epoch < mine {
            self.say(from, Word::Stale { epoch: mine })
        } else {
            self.stay()
        }
    }

    fn committed(&self, from: Node, epoch: Epoch, faults: Faults) -> Step<C> {
        match &self.phase {
            Phase::Received { from: by, contents }
                if *by == from && (epoch == self.epoch || faults.no_fence) =>
            {
                let seat = Seat { epoch: self.epoch.max(epoch), phase: Phase::Settled };
                let told = Order::Tell(from, Word::Settled { epoch });
                (seat, vec![Order::Serve(contents.clone()), told])
            }
            // Heard before: it is, or was, served here.
            _ if epoch == self.epoch
                && !matches!(self.phase, Phase::Away { .. } | Phase::Received { .. }) =>
            {
                self.say(from, Word::Settled { epoch })
            }
            // It was let go, or its folder was lost; the owner still has the contents.
            Phase::Away { .. } | Phase::Received { .. } if epoch >= self.epoch => {
                self.say(from, Word::Unknown { epoch })
            }
            _ => self.say(from, Word::Stale { epoch: self.epoch }),
        }
    }

    /// A later epoch than its own exists.
    fn overtaken(&self, from: Node, epoch: Epoch) -> Step<C> {
        match &self.phase {
            // Only its heir can have gone on from there.
            Phase::Committed { .. } if epoch > self.epoch => self.go(from),
            // An owner with an old folder: somebody else was the owner after it. It stops.
            Phase::Settled | Phase::Draining { .. } | Phase::Offered { .. } if epoch > self.epoch + 1 => {
                (Seat { epoch, phase: Phase::Away { at: None } }, vec![Order::Forget])
            }
            _ => self.stay(),
        }
    }

    /// Another one says that it serves the tenant.
    fn claimed(&self, from: Node, epoch: Epoch) -> Step<C> {
        let there = |epoch| Seat { epoch, phase: Phase::Away { at: Some(from) } };
        match &self.phase {
            Phase::Away { at } if epoch > self.epoch || (epoch == self.epoch && *at != Some(from)) => {
                (there(epoch), Vec::new())
            }
            Phase::Away { .. } => self.stay(),
            // The heir, or whoever had it after the heir.
            Phase::Committed { .. } if epoch >= self.epoch => self.go(from),
            Phase::Committed { .. } => self.stay(),
            // The owner has taken the offer back, or the tenant has gone on without this offer.
            Phase::Received { .. } if epoch >= self.epoch => (there(epoch), Vec::new()),
            Phase::Received { .. } => self.stay(),
            // An old folder: what it holds was handed on long ago.
            _ if epoch > self.epoch => (there(epoch), vec![Order::Forget]),
            _ => self.say(from, Word::Claim { epoch: self.epoch }),
        }
    }
}
