//! Model checking of the ownership rules: all orders of a few dispatchers' transitions around one message,
//! with lost, duplicated and late peer messages, a kill and false suspicions. The rules of `owner` are the
//! code that the dispatcher runs. The checker must also detect each of three injected faults.

use lilacbank_replica::copies::{CopyEnding, Fence, MessageContent, MessageCopy, Stage};
use lilacbank_replica::owner::{Faults, PeerMessage, Repeatability, Replica, ReplicaAction};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// The dispatcher that accepted the message, its arbiter and the second holder.
const NAMES: [&str; 3] = ["o", "a", "b"];

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Dispatcher {
    replica: Replica,
    up: bool,
    /// The peers will count it as alive for some time: it may act on repeatable messages.
    lease: bool,
    /// An attempt of its own is running.
    attempt_running: bool,
    /// The final answer that it has given.
    answered: Option<CopyEnding>,
    /// It holds a copy.
    has_copy: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct InFlight {
    from: usize,
    to: usize,
    message: PeerMessage,
    epoch: u64,
    owner: usize,
    stage: u8,
    /// When it was sent, by the sender's wall clock.
    wall: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    dispatchers: Vec<Dispatcher>,
    in_flight: BTreeSet<InFlight>,
    effects: u8,
    /// Attempts of two dispatchers ran at the same time.
    overlapped: bool,
    /// Fences under which an attempt was started: the epoch and the owner.
    acted: BTreeSet<(u64, usize)>,
    kills: u8,
    losses: u8,
    suspicions: u8,
    takeovers: u8,
    /// A copy's stage moved backwards on some dispatcher.
    moved_back: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Transition {
    /// The owner takes its next step.
    Act(usize),
    /// An attempt ends: delivered, or without an answer though it may have run.
    EndAttempt(usize, bool),
    /// A peer message arrives; true leaves a duplicate in flight, which may arrive later.
    Deliver(InFlight, bool),
    Lose(InFlight),
    Kill(usize),
    /// The lease of a disconnected dispatcher expires: its attempt is cancelled.
    ExpireLease(usize),
    /// The peers receive from the dispatcher again: they renew its lease and send it their copies.
    RenewLease(usize),
    /// The first live holder considers the owner gone and takes over.
    TakeOver(usize),
    /// A later holder considers the owner gone and sends the first live one its copy.
    ForwardCopy(usize),
}

/// Takeovers in one history, at most. The second is by a holder whose arbiter died after the first.
const MAX_TAKEOVERS: u8 = 2;
/// Upper bound on the explored states, which keeps the run time acceptable for a test.
const MAX_STATES: usize = 150_000;

struct Protocol {
    kind: Repeatability,
    faults: Faults,
    kills: u8,
    losses: u8,
    suspicions: u8,
}

fn index_of(name: &str) -> usize {
    NAMES.iter().position(|n| *n == name).unwrap()
}

fn stage_of(n: u8) -> Stage {
    [Stage::Accepted, Stage::Started, Stage::Ended(CopyEnding::GivenUp), Stage::Ended(CopyEnding::Delivered)]
        [n as usize]
}

fn stage_number(s: Stage) -> u8 {
    match s {
        Stage::Accepted => 0,
        Stage::Started => 1,
        Stage::Ended(CopyEnding::Delivered) => 3,
        Stage::Ended(_) => 2,
    }
}

impl Protocol {
    /// The first dispatcher that its peers count as alive, in the order of succession: the one that accepted
    /// the message, then its holders.
    fn first(&self, w: &World) -> Option<usize> {
        (0..3).find(|m| w.dispatchers[*m].up && w.dispatchers[*m].lease)
    }

    fn copy(&self, epoch: u64, owner: usize, stage: Stage) -> MessageCopy {
        MessageCopy {
            id: "m".into(),
            holders: vec!["a".into(), "b".into()],
            fence: Fence { epoch, owner: NAMES[owner].into() },
            stage,
            content: MessageContent::default(),
        }
    }

    fn send(&self, w: &mut World, from: usize, to: usize, message: PeerMessage) {
        let c = &w.dispatchers[from].replica.copy;
        // The clock of the dispatcher that accepted the message is behind those of its peers.
        let wall = if from == 0 { 0 } else { 1 };
        let in_flight = InFlight {
            from,
            to,
            message,
            epoch: c.fence.epoch,
            owner: index_of(&c.fence.owner),
            stage: stage_number(c.stage),
            wall,
        };
        w.in_flight.insert(in_flight);
    }

    fn send_to_all(&self, w: &mut World, from: usize) {
        (0..3).filter(|n| *n != from).for_each(|to| self.send(w, from, to, PeerMessage::Store));
    }

    fn begin(&self, w: &mut World, n: usize) {
        let dispatcher = &mut w.dispatchers[n];
        dispatcher.replica.mark_started();
        dispatcher.attempt_running = true;
        let fence = (dispatcher.replica.copy.fence.epoch, index_of(&dispatcher.replica.copy.fence.owner));
        w.acted.insert(fence);
        w.overlapped |= (0..3).any(|m| m != n && w.dispatchers[m].attempt_running);
        self.send_to_all(w, n);
    }

    fn end(&self, w: &mut World, n: usize, end: CopyEnding) {
        let dispatcher = &mut w.dispatchers[n];
        (dispatcher.attempt_running, dispatcher.answered) = (false, dispatcher.answered.or(Some(end)));
        dispatcher.replica.mark_ended(end);
        self.send_to_all(w, n);
    }

    fn do_step(&self, w: &mut World, n: usize, step: ReplicaAction) {
        match step {
            ReplicaAction::Start if !w.dispatchers[n].attempt_running => self.begin(w, n),
            ReplicaAction::RequestGrant(to) => self.send(w, n, index_of(&to), PeerMessage::RequestGrant),
            ReplicaAction::GiveUp => self.end(w, n, CopyEnding::GivenUp),
            _ => {}
        }
    }
}

impl Model for Protocol {
    type State = World;
    type Action = Transition;

    fn init_states(&self) -> Vec<World> {
        let dispatcher = |n: usize| Dispatcher {
            replica: Replica::new(NAMES[n], self.copy(0, 0, Stage::Accepted), self.kind),
            up: true,
            lease: true,
            attempt_running: false,
            answered: None,
            has_copy: n == 0,
        };
        let mut w = World {
            dispatchers: (0..3).map(dispatcher).collect(),
            in_flight: BTreeSet::new(),
            effects: 0,
            overlapped: false,
            acted: BTreeSet::new(),
            kills: 0,
            losses: 0,
            suspicions: 0,
            takeovers: 0,
            moved_back: false,
        };
        self.send_to_all(&mut w, 0);
        vec![w]
    }

    fn actions(&self, w: &World, transitions: &mut Vec<Transition>) {
        for (n, dispatcher) in w.dispatchers.iter().enumerate().filter(|(_, x)| x.up) {
            let owner = index_of(&dispatcher.replica.copy.fence.owner);
            if dispatcher.attempt_running {
                transitions.extend([Transition::EndAttempt(n, true), Transition::EndAttempt(n, false)]);
            } else if dispatcher.replica.is_owner() && dispatcher.answered.is_none() {
                transitions.push(Transition::Act(n));
            }
            if w.kills < self.kills {
                transitions.push(Transition::Kill(n));
            }
            if dispatcher.lease && n == 0 && w.suspicions < self.suspicions {
                transitions.push(Transition::ExpireLease(n));
            }
            if !dispatcher.lease {
                transitions.push(Transition::RenewLease(n));
            }
            // The owner's lease expires before a peer may count it as gone: the timeouts guarantee it.
            let lease_expired =
                !w.dispatchers[owner].up || !w.dispatchers[owner].lease || self.faults.early_takeover;
            // The first live dispatcher, whether it has a copy yet or not: the other holders send it theirs.
            let first = self.first(w) == Some(n);
            // A dispatcher whose own lease has expired counts nobody as gone: it may be the one that is
            // disconnected.
            if dispatcher.has_copy
                && dispatcher.lease
                && owner != n
                && lease_expired
                && first
                && dispatcher.answered.is_none()
                && w.takeovers < MAX_TAKEOVERS
            {
                transitions.push(Transition::TakeOver(n));
            }
            if dispatcher.has_copy
                && owner != n
                && lease_expired
                && !first
                && dispatcher.lease
                && dispatcher.answered.is_none()
            {
                transitions.push(Transition::ForwardCopy(n));
            }
        }
        for m in &w.in_flight {
            transitions.push(Transition::Deliver(m.clone(), false));
            if w.losses < self.losses {
                transitions.extend([Transition::Deliver(m.clone(), true), Transition::Lose(m.clone())]);
            }
        }
    }

    fn next_state(&self, last: &World, transition: Transition) -> Option<World> {
        let mut w = last.clone();
        match transition {
            Transition::Act(n) => {
                let step = w.dispatchers[n].replica.next_step(w.dispatchers[n].lease);
                self.do_step(&mut w, n, step);
            }
            Transition::EndAttempt(n, true) => {
                w.effects += 1;
                self.end(&mut w, n, CopyEnding::Delivered);
            }
            Transition::EndAttempt(n, false) => {
                // It took effect and the answer was lost: a repeatable message is sent again, an at-most-once
                // message is given up.
                w.effects += 1;
                w.dispatchers[n].attempt_running = false;
                if self.kind == Repeatability::AtMostOnce {
                    self.end(&mut w, n, CopyEnding::GivenUp);
                } else if w.effects > 3 {
                    return None;
                }
            }
            Transition::Deliver(m, stays) => {
                w.losses += u8::from(stays);
                if !stays {
                    w.in_flight.remove(&m);
                }
                if !w.dispatchers[m.to].up {
                    return Some(w);
                }
                let copy = self.copy(m.epoch, m.owner, stage_of(m.stage));
                let later = m.wall > 0;
                match m.message {
                    PeerMessage::Store => {
                        w.dispatchers[m.to].has_copy = true;
                        let before = w.dispatchers[m.to].replica.copy.stage;
                        w.dispatchers[m.to].replica.merge(&copy, later, self.faults);
                        w.moved_back |= w.dispatchers[m.to].replica.copy.stage < before;
                        if let Stage::Ended(end) = w.dispatchers[m.to].replica.copy.stage {
                            w.dispatchers[m.to].answered.get_or_insert(end);
                        }
                    }
                    PeerMessage::Stored => {}
                    PeerMessage::RequestGrant => {
                        let message = w.dispatchers[m.to].replica.on_grant_request(&copy.fence, self.faults);
                        let (epoch, owner) = match message {
                            PeerMessage::Grant => (m.epoch, m.owner),
                            _ => {
                                let f = &w.dispatchers[m.to].replica.copy.fence;
                                (f.epoch, index_of(&f.owner))
                            }
                        };
                        let stage = stage_number(w.dispatchers[m.to].replica.copy.stage);
                        w.in_flight.insert(InFlight {
                            from: m.to,
                            to: m.from,
                            message,
                            epoch,
                            owner,
                            stage,
                            wall: 1,
                        });
                    }
                    PeerMessage::Grant => w.dispatchers[m.to].replica.on_grant(&copy.fence),
                    PeerMessage::DenyGrant => {
                        let was_running = w.dispatchers[m.to].attempt_running;
                        let answered = w.dispatchers[m.to].answered.is_some();
                        if !was_running && !answered && w.dispatchers[m.to].replica.is_owner() {
                            let step = w.dispatchers[m.to].replica.on_grant_denied(&copy.fence);
                            self.do_step(&mut w, m.to, step);
                        }
                    }
                }
            }
            Transition::Lose(m) => {
                w.losses += 1;
                w.in_flight.remove(&m);
            }
            Transition::Kill(n) => {
                w.kills += 1;
                (w.dispatchers[n].up, w.dispatchers[n].lease) = (false, false);
                // An attempt that was running may still run at the endpoint.
                if std::mem::take(&mut w.dispatchers[n].attempt_running) {
                    w.effects += 1;
                }
            }
            Transition::ExpireLease(n) => {
                w.suspicions += 1;
                w.dispatchers[n].lease = false;
                if self.kind == Repeatability::Repeatable {
                    w.dispatchers[n].attempt_running = false;
                }
            }
            Transition::RenewLease(n) => {
                for m in (0..3).filter(|m| *m != n) {
                    if w.dispatchers[m].up && w.dispatchers[m].has_copy {
                        let copy = w.dispatchers[m].replica.copy.clone();
                        w.dispatchers[n].replica.merge(&copy, false, self.faults);
                    }
                }
                if let Stage::Ended(end) = w.dispatchers[n].replica.copy.stage {
                    w.dispatchers[n].answered.get_or_insert(end);
                }
                w.dispatchers[n].lease = true;
            }
            Transition::ForwardCopy(n) => {
                let first = self.first(&w)?;
                self.send(&mut w, n, first, PeerMessage::Store);
            }
            Transition::TakeOver(n) => {
                w.takeovers += 1;
                let step = w.dispatchers[n].replica.take_over();
                self.do_step(&mut w, n, step);
            }
        }
        (w != *last).then_some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "an at-most-once message takes effect at most once",
                |m: &Protocol, w: &World| m.kind == Repeatability::Repeatable || w.effects <= 1,
            ),
            Property::always("attempts of a repeatable message do not overlap", |m: &Protocol, w: &World| {
                m.kind == Repeatability::AtMostOnce || !w.overlapped
            }),
            Property::always("a stage only advances", |_, w: &World| !w.moved_back),
            Property::always("one owner acts under an epoch", |_, w: &World| {
                w.acted.iter().all(|(epoch, who)| w.acted.iter().all(|(e, o)| e != epoch || o == who))
            }),
            // In every final state, a message with a live copy has its final answer.
            Property::always("every message with a live copy is answered", |m: &Protocol, w: &World| {
                let mut transitions = Vec::new();
                m.actions(w, &mut transitions);
                let over = transitions.into_iter().all(|d| m.next_state(w, d).is_none());
                let lives = w.dispatchers.iter().any(|n| n.up && n.has_copy);
                !over || !lives || w.dispatchers.iter().any(|n| n.answered.is_some())
            }),
            Property::always(
                "final answers agree unless a lease expired or a dispatcher was killed",
                |_, w: &World| {
                    let answered: BTreeSet<u8> = w
                        .dispatchers
                        .iter()
                        .filter_map(|n| n.answered)
                        .map(|e| stage_number(Stage::Ended(e)))
                        .collect();
                    answered.len() <= 1 || w.suspicions > 0 || w.kills > 0
                },
            ),
            Property::sometimes("a message is delivered after a takeover", |_, w: &World| {
                w.dispatchers
                    .iter()
                    .any(|n| n.answered == Some(CopyEnding::Delivered) && n.replica.copy.fence.epoch > 0)
            }),
        ]
    }
}

/// Limits of a history: kills, lost or duplicated peer messages, and false suspicions.
const FAULT_LIMITS: [(u8, u8, u8); 3] = [(1, 0, 1), (0, 1, 1), (1, 1, 0)];

/// Explores more states with `LOOK=400000 cargo test --release -p lilacbank-replica --test model`.
fn max_states() -> usize {
    std::env::var("LOOK").ok().and_then(|n| n.parse().ok()).unwrap_or(MAX_STATES)
}

fn check(
    kind: Repeatability,
    faults: Faults,
    (kills, losses, suspicions): (u8, u8, u8),
) -> impl Checker<Protocol> {
    let protocol = Protocol { kind, faults, kills, losses, suspicions };
    protocol.checker().threads(2).target_state_count(max_states()).spawn_bfs().join()
}

#[test]
fn the_invariants_hold_in_every_order_of_transitions() {
    for kind in [Repeatability::Repeatable, Repeatability::AtMostOnce] {
        for limits in FAULT_LIMITS {
            let c = check(kind, Faults::default(), limits);
            let (all, unique) = (c.state_count(), c.unique_state_count());
            println!("{kind:?} {limits:?}: {all} states, {unique} unique, depth {}", c.max_depth());
            for name in INVARIANTS {
                c.assert_no_discovery(name);
            }
            assert!(c.is_done() || all >= max_states(), "neither all states nor the maximum was explored");
        }
    }
}

const INVARIANTS: [&str; 6] = [
    "a stage only advances",
    "an at-most-once message takes effect at most once",
    "attempts of a repeatable message do not overlap",
    "one owner acts under an epoch",
    "every message with a live copy is answered",
    "final answers agree unless a lease expired or a dispatcher was killed",
];

/// Guards against a checker that detects nothing.
#[test]
fn each_injected_fault_is_detected() {
    let found = |kind, faults, name: &'static str| {
        let paths = FAULT_LIMITS.into_iter().filter_map(|t| check(kind, faults, t).discovery(name));
        let transitions = paths.map(|p| p.into_actions().len()).min();
        assert!(transitions.is_some(), "'{name}' was not found violated");
        println!("{faults:?}: {name}: {} transitions", transitions.unwrap_or(0));
    };
    let none = Faults::default();
    found(
        Repeatability::AtMostOnce,
        Faults { skip_fencing: true, ..none },
        "an at-most-once message takes effect at most once",
    );
    found(
        Repeatability::Repeatable,
        Faults { early_takeover: true, ..none },
        "attempts of a repeatable message do not overlap",
    );
    found(Repeatability::AtMostOnce, Faults { last_writer_wins: true, ..none }, "a stage only advances");
}
