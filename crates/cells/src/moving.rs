//! The protocol that moves a tenant from one dispatcher to another, and the state of its ownership on each
//! dispatcher. It tolerates lost, duplicated and late peer messages, crashes on either side, and operators
//! who abort a move.
//!
//! The handoff has two phases, driven by the owner. It first *drains*: nothing new starts, and running
//! attempts end or are cut. It then *offers* the tenant's contents and remains the owner; the receiver
//! records the offer and acknowledges it, which gives it no right yet. Only then does the owner *commit*, by
//! recording that in its own journal. From that moment the receiver owns the tenant, and serves it as soon as
//! it receives the commit. There is thus a single commit point in one journal, and never more than one owner.
//! Before the commit the owner can abort alone, even if the receiver never answers; after it, the former
//! owner repeats the commit until it is acknowledged.
//!
//! Each offer has its own epoch, assigned by the owner, one higher than its last. An aborted offer uses up
//! its epoch. A peer message with an epoch other than the current one is out of date, and a dispatcher that
//! sees a higher epoch than its own has been superseded and stops.
//!
//! [`TenantOwnership::handle`] is the complete state machine. The host records the new state **before** it carries
//! out the orders. The tests explore this very code with a model checker; [`Faults`] are protocol violations that the
//! checker must detect.

use std::fmt;

/// A dispatcher, by number.
pub type DispatcherId = u32;
/// The number of an ownership period; grows with each offer.
pub type Epoch = u64;

/// Protocol violations that the model checker injects to show that it detects them. A dispatcher sets none of
/// them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Faults {
    /// Epochs are not compared.
    pub ignore_epochs: bool,
    /// A dispatcher aborts a move that it has committed.
    pub abort_after_commit: bool,
    /// The receiver serves as soon as it has the offer.
    pub serve_on_offer: bool,
    /// An aborted offer does not use up its epoch.
    pub reuse_epoch: bool,
    /// The owner drops what it committed before that is acknowledged.
    pub forget_before_ack: bool,
}

/// The role of a dispatcher for a tenant. `C` is everything that is held for the tenant.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Phase<C> {
    /// Another dispatcher owns the tenant.
    OwnedElsewhere {
        /// The owner, if it is known.
        at: Option<DispatcherId>,
    },
    /// Owns the tenant and serves it.
    Owned,
    /// Owns the tenant; nothing new starts, and running attempts end.
    Draining {
        /// The receiver of the move.
        to: DispatcherId,
    },
    /// Owns the tenant and has offered its contents under the next epoch.
    Offered {
        /// The receiver of the offer.
        to: DispatcherId,
        /// The offered contents.
        contents: C,
    },
    /// No longer owns the tenant; repeats the commit until it is acknowledged.
    Committed {
        /// The new owner.
        to: DispatcherId,
        /// The offered contents, in case the new owner lost them and asks for them again.
        contents: C,
    },
    /// Does not own the tenant yet; has recorded an offer.
    Received {
        /// The owner that made the offer.
        from: DispatcherId,
        /// The offered contents.
        contents: C,
    },
}

/// The state of a tenant's ownership on one dispatcher.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TenantOwnership<C> {
    /// The highest epoch that this dispatcher took part in.
    pub epoch: Epoch,
    /// The dispatcher's role.
    pub phase: Phase<C>,
}

/// A peer message of the move protocol. It may be lost, duplicated or late.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum HandoffMessage<C> {
    /// Offers the tenant under this epoch.
    Offer {
        /// The epoch of the offer.
        epoch: Epoch,
        /// Everything that is held for the tenant.
        contents: C,
    },
    /// Acknowledges that the offer is recorded.
    OfferRecorded {
        /// The epoch of the offer.
        epoch: Epoch,
    },
    /// The receiver owns the tenant from now on.
    Commit {
        /// The epoch of the offer.
        epoch: Epoch,
    },
    /// Acknowledges the commit: the tenant is served by the sender.
    CommitAcknowledged {
        /// The epoch of the offer.
        epoch: Epoch,
    },
    /// The offer is withdrawn.
    Withdraw {
        /// The epoch of the offer.
        epoch: Epoch,
    },
    /// The committed offer is not known to the sender.
    UnknownOffer {
        /// The epoch of the offer.
        epoch: Epoch,
    },
    /// The sender knows a later epoch.
    StaleEpoch {
        /// The later epoch.
        epoch: Epoch,
    },
    /// Asks what became of an offer.
    Query {
        /// The epoch of the offer.
        epoch: Epoch,
    },
    /// The sender serves the tenant. Sent to all peers on a new connection and after a move: they learn where
    /// the tenant is, and two dispatchers that both consider themselves the owner detect the conflict.
    Claim {
        /// The epoch of the ownership.
        epoch: Epoch,
    },
}

/// An input of the state machine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Input<C> {
    /// The operator moves the tenant to that dispatcher.
    Move(DispatcherId),
    /// The operator aborts the move, or a message's deadline is too close to wait for the receiver.
    Abort,
    /// The operator has ensured that the receiver never starts again, and takes back a committed handoff that
    /// was not acknowledged.
    Reclaim,
    /// No attempt of the tenant is running any more; these are its contents.
    Drained(C),
    /// That dispatcher considers itself the owner under the same epoch, which differing versions of a cell
    /// map can cause, and is the one of the two that keeps the tenant.
    YieldTo(DispatcherId),
    /// Time has passed, or the process has started: peer messages may have been lost.
    Tick,
    /// A message from a peer.
    MessageReceived(DispatcherId, HandoffMessage<C>),
}

/// An order to the host, to be carried out after the new state has been recorded.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum HostAction<C> {
    /// Send a message to a peer.
    Send(DispatcherId, HandoffMessage<C>),
    /// Start nothing new; report [`Input::Drained`] once nothing is running.
    Drain,
    /// Serve again what was held.
    Resume,
    /// Serve the tenant, beginning with these contents.
    Serve(C),
    /// Drop what was held: another dispatcher owns it.
    DropContents,
    /// Accept nothing more, and finish what is held here.
    StopAccepting,
}

/// Why an operator's request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveError {
    /// The tenant is not served here.
    NotOwner,
    /// The tenant is being moved already.
    MoveInProgress,
    /// The tenant is already on the requested dispatcher.
    AlreadyThere,
    /// The tenant has been handed over; it can only be moved back from its new owner.
    AlreadyCommitted,
    /// The tenant does not wait for another dispatcher's acknowledgement.
    NothingToReclaim,
}

impl fmt::Display for MoveError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MoveError::NotOwner => "the tenant is not served here; ask the dispatcher that serves it",
            MoveError::MoveInProgress => "the tenant is being moved already; wait, or abort that move first",
            MoveError::AlreadyThere => "the tenant is there already",
            MoveError::AlreadyCommitted => {
                "the tenant has been handed over; move it back from where it is now"
            }
            MoveError::NothingToReclaim => {
                "the tenant does not wait here for another dispatcher; there is nothing to reclaim"
            }
        })
    }
}

impl std::error::Error for MoveError {}

type Transition<C> = (TenantOwnership<C>, Vec<HostAction<C>>);

impl<C: Clone> TenantOwnership<C> {
    /// The initial state of a tenant that belongs to this dispatcher.
    pub fn owned_here() -> TenantOwnership<C> {
        TenantOwnership { epoch: 1, phase: Phase::Owned }
    }

    /// The initial state of a tenant that belongs to another dispatcher.
    pub fn owned_elsewhere(at: Option<DispatcherId>) -> TenantOwnership<C> {
        TenantOwnership { epoch: 0, phase: Phase::OwnedElsewhere { at } }
    }

    /// Whether messages of the tenant may start here.
    pub fn is_serving(&self) -> bool {
        matches!(self.phase, Phase::Owned)
    }

    /// Whether this dispatcher is responsible for the messages held for the tenant.
    pub fn is_owner(&self) -> bool {
        matches!(self.phase, Phase::Owned | Phase::Draining { .. } | Phase::Offered { .. })
    }

    /// Whether a move is in progress, so that peer messages may have to be repeated.
    pub fn is_moving(&self) -> bool {
        !matches!(self.phase, Phase::Owned | Phase::OwnedElsewhere { .. })
    }

    fn unchanged(&self) -> Transition<C> {
        (self.clone(), Vec::new())
    }

    fn reply(&self, to: DispatcherId, message: HandoffMessage<C>) -> Transition<C> {
        (self.clone(), vec![HostAction::Send(to, message)])
    }

    /// The state after an input, and the orders to carry out once that state is recorded.
    ///
    /// # Errors
    ///
    /// If an operator's request cannot be met; the state does not change then.
    pub fn handle(&self, input: Input<C>, faults: Faults) -> Result<Transition<C>, MoveError> {
        Ok(match input {
            Input::Move(to) => return self.begin_move(to),
            Input::Abort => return self.abort(faults),
            Input::Reclaim => return self.reclaim(),
            Input::YieldTo(to) if self.is_serving() => (
                TenantOwnership { epoch: self.epoch, phase: Phase::OwnedElsewhere { at: Some(to) } },
                vec![HostAction::StopAccepting],
            ),
            Input::YieldTo(_) => self.unchanged(),
            Input::Drained(contents) => self.on_drained(contents),
            Input::Tick => self.retransmit(),
            Input::MessageReceived(from, message) => self.receive(from, message, faults),
        })
    }

    fn begin_move(&self, to: DispatcherId) -> Result<Transition<C>, MoveError> {
        match &self.phase {
            Phase::Owned => {
                let state = TenantOwnership { epoch: self.epoch, phase: Phase::Draining { to } };
                Ok((state, vec![HostAction::Drain]))
            }
            Phase::OwnedElsewhere { at } if *at == Some(to) => Err(MoveError::AlreadyThere),
            Phase::OwnedElsewhere { .. } | Phase::Received { .. } => Err(MoveError::NotOwner),
            Phase::Draining { .. } | Phase::Offered { .. } => Err(MoveError::MoveInProgress),
            Phase::Committed { .. } => Err(MoveError::AlreadyCommitted),
        }
    }

    /// Before the commit, the owner aborts alone: no other dispatcher has a right to the tenant yet.
    fn abort(&self, faults: Faults) -> Result<Transition<C>, MoveError> {
        match &self.phase {
            Phase::Draining { .. } => {
                Ok((TenantOwnership { epoch: self.epoch, phase: Phase::Owned }, vec![HostAction::Resume]))
            }
            Phase::Offered { to, .. } => {
                let offered = self.epoch + 1;
                // The epoch is used up: a late peer message about this offer must not be taken for one about
                // the next.
                let epoch = if faults.reuse_epoch { self.epoch } else { offered };
                let cancel = HostAction::Send(*to, HandoffMessage::Withdraw { epoch: offered });
                Ok((TenantOwnership { epoch, phase: Phase::Owned }, vec![HostAction::Resume, cancel]))
            }
            // Without the owner's commit this dispatcher has no right to the tenant, and the owner still has
            // its contents.
            Phase::Received { from, .. } => Ok((
                TenantOwnership { epoch: self.epoch, phase: Phase::OwnedElsewhere { at: Some(*from) } },
                Vec::new(),
            )),
            Phase::Committed { contents, .. } if faults.abort_after_commit => Ok((
                TenantOwnership { epoch: self.epoch, phase: Phase::Owned },
                vec![HostAction::Serve(contents.clone())],
            )),
            Phase::Committed { .. } => Err(MoveError::AlreadyCommitted),
            Phase::Owned | Phase::OwnedElsewhere { .. } => Err(MoveError::NotOwner),
        }
    }

    /// Takes the tenant back after the commit, on the operator's assurance that no other dispatcher acts on
    /// it. A new owner that appears late finds itself superseded.
    fn reclaim(&self) -> Result<Transition<C>, MoveError> {
        match &self.phase {
            Phase::Committed { .. } => {
                Ok((TenantOwnership { epoch: self.epoch + 1, phase: Phase::Owned }, vec![HostAction::Resume]))
            }
            _ => Err(MoveError::NothingToReclaim),
        }
    }

    fn on_drained(&self, contents: C) -> Transition<C> {
        let Phase::Draining { to } = &self.phase else { return self.unchanged() };
        let offer = HandoffMessage::Offer { epoch: self.epoch + 1, contents: contents.clone() };
        let state = TenantOwnership { epoch: self.epoch, phase: Phase::Offered { to: *to, contents } };
        (state, vec![HostAction::Send(*to, offer)])
    }

    /// The commit point: from here on the tenant belongs to the receiver.
    fn commit(&self, to: DispatcherId) -> Transition<C> {
        let Phase::Offered { contents, .. } = &self.phase else { return self.unchanged() };
        let epoch = self.epoch + 1;
        let phase = Phase::Committed { to, contents: contents.clone() };
        (
            TenantOwnership { epoch, phase },
            vec![HostAction::DropContents, HostAction::Send(to, HandoffMessage::Commit { epoch })],
        )
    }

    /// Repeats peer messages that may have been lost.
    fn retransmit(&self) -> Transition<C> {
        match &self.phase {
            Phase::Offered { to, contents } => {
                self.reply(*to, HandoffMessage::Offer { epoch: self.epoch + 1, contents: contents.clone() })
            }
            Phase::Committed { to, .. } => self.reply(*to, HandoffMessage::Commit { epoch: self.epoch }),
            Phase::Received { from, .. } => self.reply(*from, HandoffMessage::Query { epoch: self.epoch }),
            // Attempts that were running when the process ended have ended with it.
            Phase::Draining { .. } => (self.clone(), vec![HostAction::Drain]),
            Phase::Owned | Phase::OwnedElsewhere { .. } => self.unchanged(),
        }
    }

    fn receive(&self, from: DispatcherId, message: HandoffMessage<C>, faults: Faults) -> Transition<C> {
        match message {
            HandoffMessage::Offer { epoch, contents } => self.on_offer(from, epoch, contents, faults),
            HandoffMessage::OfferRecorded { epoch } => match &self.phase {
                Phase::Offered { to, .. }
                    if *to == from && (epoch == self.epoch + 1 || faults.ignore_epochs) =>
                {
                    let (state, orders) = self.commit(from);
                    if faults.forget_before_ack {
                        return (
                            TenantOwnership {
                                epoch: state.epoch,
                                phase: Phase::OwnedElsewhere { at: Some(from) },
                            },
                            orders,
                        );
                    }
                    (state, orders)
                }
                Phase::Committed { to, .. } if *to == from && epoch == self.epoch => {
                    self.reply(from, HandoffMessage::Commit { epoch })
                }
                // An out-of-date offer: a dispatcher that still holds it has to drop it.
                _ if epoch < self.epoch || (epoch == self.epoch && self.is_owner()) => {
                    self.reply(from, HandoffMessage::Withdraw { epoch })
                }
                _ => self.unchanged(),
            },
            HandoffMessage::Commit { epoch } => self.on_commit(from, epoch, faults),
            HandoffMessage::CommitAcknowledged { epoch } => match &self.phase {
                Phase::Committed { to, .. } if *to == from && epoch == self.epoch => self.complete(from),
                _ => self.unchanged(),
            },
            HandoffMessage::Withdraw { epoch } => match &self.phase {
                Phase::Received { from: by, .. }
                    if *by == from && (epoch == self.epoch || faults.ignore_epochs) =>
                {
                    (
                        TenantOwnership {
                            epoch: self.epoch,
                            phase: Phase::OwnedElsewhere { at: Some(from) },
                        },
                        Vec::new(),
                    )
                }
                _ => self.unchanged(),
            },
            HandoffMessage::UnknownOffer { epoch } => match &self.phase {
                Phase::Committed { to, contents } if *to == from && epoch == self.epoch => {
                    self.reply(from, HandoffMessage::Offer { epoch, contents: contents.clone() })
                }
                _ => self.unchanged(),
            },
            HandoffMessage::StaleEpoch { epoch } => self.on_stale(from, epoch),
            HandoffMessage::Claim { epoch } => self.on_claim(from, epoch),
            HandoffMessage::Query { epoch } => match &self.phase {
                Phase::Committed { to, .. } if *to == from && epoch == self.epoch => {
                    self.reply(from, HandoffMessage::Commit { epoch })
                }
                Phase::Offered { to, .. } if *to == from && epoch == self.epoch + 1 => self.unchanged(),
                _ if epoch <= self.epoch => self.reply(from, HandoffMessage::Withdraw { epoch }),
                _ => self.unchanged(),
            },
        }
    }

    /// The other dispatcher serves the tenant: the move is complete here.
    fn complete(&self, at: DispatcherId) -> Transition<C> {
        (TenantOwnership { epoch: self.epoch, phase: Phase::OwnedElsewhere { at: Some(at) } }, Vec::new())
    }

    fn on_offer(&self, from: DispatcherId, epoch: Epoch, contents: C, faults: Faults) -> Transition<C> {
        let known = match &self.phase {
            Phase::Received { from: by, .. } => epoch == self.epoch && *by == from,
            _ => false,
        };
        if known {
            return self.reply(from, HandoffMessage::OfferRecorded { epoch });
        }
        let idle = matches!(self.phase, Phase::OwnedElsewhere { .. } | Phase::Received { .. });
        // An offer that was dropped here may be sent again under its epoch, if its owner has committed it.
        let again = epoch == self.epoch && matches!(self.phase, Phase::OwnedElsewhere { .. });
        if idle && (epoch > self.epoch || again || faults.ignore_epochs) {
            if faults.serve_on_offer {
                let state = TenantOwnership { epoch, phase: Phase::Owned };
                return (
                    state,
                    vec![
                        HostAction::Serve(contents),
                        HostAction::Send(from, HandoffMessage::OfferRecorded { epoch }),
                    ],
                );
            }
            let state = TenantOwnership { epoch, phase: Phase::Received { from, contents } };
            return (state, vec![HostAction::Send(from, HandoffMessage::OfferRecorded { epoch })]);
        }
        // This dispatcher's own offer or ownership is later than the received offer, or is the received
        // offer.
        let mine = self.epoch;
        if epoch == mine && !idle {
            self.reply(from, HandoffMessage::CommitAcknowledged { epoch })
        } else if epoch < mine {
            self.reply(from, HandoffMessage::StaleEpoch { epoch: mine })
        } else {
            self.unchanged()
        }
    }

    fn on_commit(&self, from: DispatcherId, epoch: Epoch, faults: Faults) -> Transition<C> {
        match &self.phase {
            Phase::Received { from: by, contents }
                if *by == from && (epoch == self.epoch || faults.ignore_epochs) =>
            {
                let state = TenantOwnership { epoch: self.epoch.max(epoch), phase: Phase::Owned };
                let settled = HostAction::Send(from, HandoffMessage::CommitAcknowledged { epoch });
                (state, vec![HostAction::Serve(contents.clone()), settled])
            }
            // A repeated commit: the tenant is, or was, served here.
            _ if epoch == self.epoch
                && !matches!(self.phase, Phase::OwnedElsewhere { .. } | Phase::Received { .. }) =>
            {
                self.reply(from, HandoffMessage::CommitAcknowledged { epoch })
            }
            // The offer was dropped, or lost with the state folder; the owner still has the contents.
            Phase::OwnedElsewhere { .. } | Phase::Received { .. } if epoch >= self.epoch => {
                self.reply(from, HandoffMessage::UnknownOffer { epoch })
            }
            _ => self.reply(from, HandoffMessage::StaleEpoch { epoch: self.epoch }),
        }
    }

    /// A peer knows a later epoch than this dispatcher.
    fn on_stale(&self, from: DispatcherId, epoch: Epoch) -> Transition<C> {
        match &self.phase {
            // Only the new owner can have assigned a later epoch.
            Phase::Committed { .. } if epoch > self.epoch => self.complete(from),
            // An owner with an outdated state folder: another dispatcher owned the tenant after it. It stops.
            Phase::Owned | Phase::Draining { .. } | Phase::Offered { .. } if epoch > self.epoch + 1 => (
                TenantOwnership { epoch, phase: Phase::OwnedElsewhere { at: None } },
                vec![HostAction::DropContents],
            ),
            _ => self.unchanged(),
        }
    }

    /// A peer reports that it serves the tenant.
    fn on_claim(&self, from: DispatcherId, epoch: Epoch) -> Transition<C> {
        let there = |epoch| TenantOwnership { epoch, phase: Phase::OwnedElsewhere { at: Some(from) } };
        match &self.phase {
            Phase::OwnedElsewhere { at }
                if epoch > self.epoch || (epoch == self.epoch && *at != Some(from)) =>
            {
                (there(epoch), Vec::new())
            }
            Phase::OwnedElsewhere { .. } => self.unchanged(),
            // From the new owner, or a later one.
            Phase::Committed { .. } if epoch >= self.epoch => self.complete(from),
            Phase::Committed { .. } => self.unchanged(),
            // The owner has aborted the offer, or the tenant has been moved on without this offer.
            Phase::Received { .. } if epoch >= self.epoch => (there(epoch), Vec::new()),
            Phase::Received { .. } => self.unchanged(),
            // An outdated state folder: its contents were handed over long ago.
            _ if epoch > self.epoch => (there(epoch), vec![HostAction::DropContents]),
            _ => self.reply(from, HandoffMessage::Claim { epoch: self.epoch }),
        }
    }
}
