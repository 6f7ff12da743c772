//! Model checking of the tenant move: the state machine of the program itself, explored over crashes, lost,
//! duplicated and reordered peer messages, a destination that answers late or never, aborts by operators, and
//! two consecutive moves.

use lilacbank_cells::moving::{Faults, HandoffMessage, HostAction, Input, Phase, TenantOwnership};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// Messages: two of the first ordering key, in order, and one of the other key.
const MESSAGES: [u8; 3] = [0, 1, 2];

fn key(m: u8) -> u8 {
    m / 2
}

type Held = Vec<u8>;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Dispatcher {
    /// The ownership state in the journal.
    ownership: TenantOwnership<Held>,
    held: Held,
    /// Messages with a running attempt; the journal has recorded that they may run.
    running_attempts: BTreeSet<u8>,
    crashes: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    dispatchers: Vec<Dispatcher>,
    /// Peer messages that were sent: each may be delivered at any time, again or never.
    network: BTreeSet<(usize, usize, SentMessage)>,
    /// Attempts that run at the destination and have not taken effect yet.
    running: BTreeSet<u8>,
    /// Messages in the order in which their attempts were started.
    started: Vec<u8>,
    /// Messages in the order in which they took effect.
    effects: Vec<u8>,
    /// Messages with a final answer.
    ended: Vec<u8>,
    moves: u8,
    aborts: u8,
}

/// A peer message in a form that an ordered set can hold.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct SentMessage(String, u64, Held);

fn to_sent(w: &HandoffMessage<Held>) -> SentMessage {
    let (name, epoch, held) = match w {
        HandoffMessage::Offer { epoch, contents } => ("offer", epoch, contents.clone()),
        HandoffMessage::OfferRecorded { epoch } => ("received", epoch, vec![]),
        HandoffMessage::Commit { epoch } => ("commit", epoch, vec![]),
        HandoffMessage::CommitAcknowledged { epoch } => ("settled", epoch, vec![]),
        HandoffMessage::Withdraw { epoch } => ("cancel", epoch, vec![]),
        HandoffMessage::UnknownOffer { epoch } => ("unknown", epoch, vec![]),
        HandoffMessage::StaleEpoch { epoch } => ("stale", epoch, vec![]),
        HandoffMessage::Query { epoch } => ("query", epoch, vec![]),
        HandoffMessage::Claim { epoch } => ("claim", epoch, vec![]),
    };
    SentMessage(name.into(), *epoch, held)
}

fn from_sent(t: &SentMessage) -> HandoffMessage<Held> {
    let (epoch, contents) = (t.1, t.2.clone());
    match t.0.as_str() {
        "offer" => HandoffMessage::Offer { epoch, contents },
        "received" => HandoffMessage::OfferRecorded { epoch },
        "commit" => HandoffMessage::Commit { epoch },
        "settled" => HandoffMessage::CommitAcknowledged { epoch },
        "cancel" => HandoffMessage::Withdraw { epoch },
        "unknown" => HandoffMessage::UnknownOffer { epoch },
        "stale" => HandoffMessage::StaleEpoch { epoch },
        "claim" => HandoffMessage::Claim { epoch },
        _ => HandoffMessage::Query { epoch },
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Start(usize, u8),
    TakeEffect(u8),
    Answer(usize, u8),
    Cut(usize, u8),
    Move(usize, usize),
    Abort(usize),
    Drained(usize),
    Tick(usize),
    Deliver(usize, usize, SentMessage),
    Crash(usize),
}

#[derive(Clone, Copy)]
struct MoveModel {
    faults: Faults,
    moves: u8,
    aborts: u8,
    crashes: u8,
    /// A fault of the host: the offer is made while attempts are running.
    offer_undrained: bool,
    /// A fault of the host: it carries out the orders before it records the state, and crashes in between.
    record_late: bool,
}

const CORRECT: MoveModel = MoveModel {
    faults: Faults {
        ignore_epochs: false,
        abort_after_commit: false,
        serve_on_offer: false,
        reuse_epoch: false,
        forget_before_ack: false,
    },
    moves: 2,
    aborts: 1,
    crashes: 1,
    offer_undrained: false,
    record_late: false,
};

impl MoveModel {
    fn apply(&self, w: &mut World, n: usize, input: Input<Held>) {
        let Ok((ownership, orders)) = w.dispatchers[n].ownership.handle(input, self.faults) else { return };
        w.dispatchers[n].ownership = ownership;
        for o in orders {
            match o {
                HostAction::Send(to, message) => drop(w.network.insert((n, to as usize, to_sent(&message)))),
                HostAction::Serve(held) => {
                    w.dispatchers[n].held = held;
                    MoveModel::claim(w, n);
                }
                HostAction::DropContents => w.dispatchers[n].held.clear(),
                HostAction::Drain | HostAction::Resume | HostAction::StopAccepting => {}
            }
        }
    }

    /// A dispatcher that begins to serve, or restarts, sends a claim.
    fn claim(w: &mut World, n: usize) {
        if w.dispatchers[n].ownership.is_owner() {
            let epoch = w.dispatchers[n].ownership.epoch;
            w.network.insert((n, 1 - n, to_sent(&HandoffMessage::Claim { epoch })));
        }
    }

    fn end(w: &mut World, n: usize, m: u8) {
        w.dispatchers[n].held.retain(|x| *x != m);
        w.dispatchers[n].running_attempts.remove(&m);
        w.ended.push(m);
        w.ended.sort_unstable();
    }
}

impl Model for MoveModel {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        let dispatcher =
            |ownership, held| Dispatcher { ownership, held, running_attempts: BTreeSet::new(), crashes: 0 };
        let dispatchers = vec![
            dispatcher(TenantOwnership::owned_here(), MESSAGES.to_vec()),
            dispatcher(TenantOwnership::owned_elsewhere(Some(0)), vec![]),
        ];
        vec![World {
            dispatchers,
            network: BTreeSet::new(),
            running: BTreeSet::new(),
            started: vec![],
            effects: vec![],
            ended: vec![],
            moves: 0,
            aborts: 0,
        }]
    }

    fn actions(&self, w: &World, actions: &mut Vec<Action>) {
        for (n, dispatcher) in w.dispatchers.iter().enumerate() {
            for m in &dispatcher.held {
                // The order within a key is enforced by the host: messages start in order, one at a time.
                let first = dispatcher.held.iter().find(|x| key(**x) == key(*m)) == Some(m);
                if dispatcher.ownership.is_serving() && first && dispatcher.running_attempts.is_empty() {
                    actions.push(Action::Start(n, *m));
                }
            }
            for m in &dispatcher.running_attempts {
                if w.effects.contains(m) {
                    actions.push(Action::Answer(n, *m));
                }
                actions.push(Action::Cut(n, *m));
            }
            if w.moves < self.moves && dispatcher.ownership.is_serving() {
                actions.push(Action::Move(n, 1 - n));
            }
            if w.aborts < self.aborts && dispatcher.ownership.is_moving() {
                actions.push(Action::Abort(n));
            }
            let drained = matches!(dispatcher.ownership.phase, Phase::Draining { .. });
            if drained && (dispatcher.running_attempts.is_empty() || self.offer_undrained) {
                actions.push(Action::Drained(n));
            }
            if dispatcher.ownership.is_moving() && !drained {
                actions.push(Action::Tick(n));
            }
            if dispatcher.crashes < self.crashes {
                actions.push(Action::Crash(n));
            }
        }
        w.running.iter().for_each(|m| actions.push(Action::TakeEffect(*m)));
        w.network.iter().for_each(|(a, b, t)| actions.push(Action::Deliver(*a, *b, t.clone())));
    }

    fn next_state(&self, last: &World, action: Action) -> Option<World> {
        let mut w = last.clone();
        match action {
            Action::Start(n, m) => {
                w.dispatchers[n].running_attempts.insert(m);
                w.running.insert(m);
                w.started.push(m);
            }
            Action::TakeEffect(m) => {
                w.running.remove(&m);
                w.effects.push(m);
            }
            Action::Answer(n, m) | Action::Cut(n, m) => MoveModel::end(&mut w, n, m),
            Action::Move(n, to) => {
                w.moves += 1;
                self.apply(&mut w, n, Input::Move(to as u32));
            }
            Action::Abort(n) => {
                w.aborts += 1;
                self.apply(&mut w, n, Input::Abort);
            }
            Action::Drained(n) => {
                let held = w.dispatchers[n].held.clone();
                self.apply(&mut w, n, Input::Drained(held));
            }
            Action::Tick(n) => self.apply(&mut w, n, Input::Tick),
            Action::Deliver(a, b, t) => {
                let before = w.dispatchers[b].clone();
                self.apply(&mut w, b, Input::MessageReceived(a as u32, from_sent(&t)));
                if self.record_late
                    && w.dispatchers[b].crashes < self.crashes
                    && w.dispatchers[b].ownership != before.ownership
                {
                    // Crashed after it sent the message and before it recorded the state: the old state
                    // remains.
                    w.dispatchers[b] = Dispatcher { crashes: before.crashes + 1, ..before };
                }
            }
            Action::Crash(n) => {
                w.dispatchers[n].crashes += 1;
                // An attempt that was running may have run, and must not be repeated: the message is given
                // up.
                for m in w.dispatchers[n].running_attempts.clone() {
                    MoveModel::end(&mut w, n, m);
                }
                MoveModel::claim(&mut w, n);
            }
        }
        (w != *last).then_some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one owner", |_, w: &World| {
                w.dispatchers.iter().filter(|n| n.ownership.is_owner()).count() <= 1
            }),
            Property::always("at most one final answer", |_, w: &World| {
                MESSAGES.iter().all(|m| w.ended.iter().filter(|e| *e == m).count() <= 1)
            }),
            Property::always("started at most once", |_, w: &World| {
                MESSAGES.iter().all(|m| w.started.iter().filter(|e| *e == m).count() <= 1)
            }),
            Property::always("at most one effect", |_, w: &World| {
                MESSAGES.iter().all(|m| w.effects.iter().filter(|e| *e == m).count() <= 1)
            }),
            Property::always("messages of a key run in order, one at a time", |_, w: &World| {
                let running_attempts: Vec<u8> =
                    w.dispatchers.iter().flat_map(|n| n.running_attempts.iter().map(|m| key(*m))).collect();
                let of = |k: u8| w.started.iter().filter(move |m| key(**m) == k);
                let ordered = |k: u8| of(k).zip(of(k).skip(1)).all(|(a, b)| a < b);
                (0..2).all(|k| ordered(k) && running_attempts.iter().filter(|o| **o == k).count() <= 1)
            }),
            Property::always("nothing is lost", |_, w: &World| {
                MESSAGES.iter().all(|m| {
                    let kept = w.dispatchers.iter().any(|n| match &n.ownership.phase {
                        Phase::Committed { contents, .. } | Phase::Received { contents, .. } => {
                            contents.contains(m)
                        }
                        _ => n.ownership.is_owner() && n.held.contains(m),
                    });
                    kept || w.ended.contains(m)
                })
            }),
            Property::sometimes("all messages end and all moves complete", |m: &MoveModel, w: &World| {
                let over = w.dispatchers.iter().all(|n| !n.ownership.is_moving());
                w.ended.len() == MESSAGES.len()
                    && w.moves == m.moves
                    && over
                    && w.dispatchers.iter().any(|n| n.ownership.epoch > 2)
            }),
        ]
    }
}

/// Guards against all violations that this model can express; the figures are in `docs/design/cells.md`.
#[test]
fn no_sequence_of_moves_violates_an_invariant() {
    let checker = CORRECT.checker().threads(4).spawn_bfs().join();
    println!("{} states, {} unique", checker.state_count(), checker.unique_state_count());
    checker.assert_properties();
    assert!(checker.unique_state_count() > 10_000, "{}", checker.unique_state_count());
}

/// Guards against a model that detects nothing: each injected fault must be detected.
#[test]
fn every_injected_fault_is_detected() {
    let fault = |faults| MoveModel { faults, ..CORRECT };
    let none = CORRECT.faults;
    let faults = [
        ("epochs ignored", fault(Faults { ignore_epochs: true, ..none })),
        ("abort after the commit", fault(Faults { abort_after_commit: true, ..none })),
        ("serving on the offer", fault(Faults { serve_on_offer: true, ..none })),
        ("epoch of an aborted offer reused", fault(Faults { reuse_epoch: true, ..none })),
        ("contents dropped before the acknowledgement", fault(Faults { forget_before_ack: true, ..none })),
        ("offer with running attempts", MoveModel { offer_undrained: true, ..CORRECT }),
        ("orders carried out before the state is recorded", MoveModel { record_late: true, ..CORRECT }),
    ];
    let mut undetected = Vec::new();
    for (name, model) in faults {
        let checker = model
            .checker()
            .threads(4)
            .finish_when(stateright::HasDiscoveries::AnyFailures)
            .spawn_bfs()
            .join();
        let found: Vec<&str> = checker
            .discoveries()
            .into_iter()
            .map(|d| d.0)
            .filter(|d| !d.starts_with("all messages end"))
            .collect();
        println!("{name}: {found:?} after {} states", checker.state_count());
        if found.is_empty() {
            undetected.push(name);
        }
    }
    assert!(undetected.is_empty(), "not detected: {undetected:?}");
}
