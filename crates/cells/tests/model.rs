//! The move as a model: the very transitions of the program, explored over crashes, lost, doubled and reordered words, a
//! member that answers late or never, operators who abort, and two moves one after the other.

use lilacbank_cells::moving::{Faults, Input, Order, Phase, Seat, Word};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// Messages; two of the first key, in order, and one of the other.
const MESSAGES: [u8; 3] = [0, 1, 2];

fn key(m: u8) -> u8 {
    m / 2
}

type Held = Vec<u8>;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    /// In the journal.
    seat: Seat<Held>,
    held: Held,
    /// Calls that are out; the journal knows that they may run.
    out: BTreeSet<u8>,
    crashes: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    nodes: Vec<Node>,
    /// Words that were said: any of them may come, now, later, again or never.
    net: BTreeSet<(usize, usize, Told)>,
    /// What runs at the member and has not taken effect yet.
    running: BTreeSet<u8>,
    /// Starts and effects, as they came.
    started: Vec<u8>,
    effects: Vec<u8>,
    /// Final answers.
    ended: Vec<u8>,
    moves: u8,
    aborts: u8,
}

/// A word that can be kept in an ordered set.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Told(String, u64, Held);

fn told(w: &Word<Held>) -> Told {
    let (name, epoch, held) = match w {
        Word::Offer { epoch, contents } => ("offer", epoch, contents.clone()),
        Word::Received { epoch } => ("received", epoch, vec![]),
        Word::Commit { epoch } => ("commit", epoch, vec![]),
        Word::Settled { epoch } => ("settled", epoch, vec![]),
        Word::Cancel { epoch } => ("cancel", epoch, vec![]),
        Word::Unknown { epoch } => ("unknown", epoch, vec![]),
        Word::Stale { epoch } => ("stale", epoch, vec![]),
        Word::Query { epoch } => ("query", epoch, vec![]),
        Word::Claim { epoch } => ("claim", epoch, vec![]),
    };
    Told(name.into(), *epoch, held)
}

fn word(t: &Told) -> Word<Held> {
    let (epoch, contents) = (t.1, t.2.clone());
    match t.0.as_str() {
        "offer" => Word::Offer { epoch, contents },
        "received" => Word::Received { epoch },
        "commit" => Word::Commit { epoch },
        "settled" => Word::Settled { epoch },
        "cancel" => Word::Cancel { epoch },
        "unknown" => Word::Unknown { epoch },
        "stale" => Word::Stale { epoch },
        "claim" => Word::Claim { epoch },
        _ => Word::Query { epoch },
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Start(usize, u8),
    Run(u8),
    Answer(usize, u8),
    Cut(usize, u8),
    Move(usize, usize),
    Abort(usize),
    Drained(usize),
    Tick(usize),
    Deliver(usize, usize, Told),
    Crash(usize),
}

#[derive(Clone, Copy)]
struct Moving {
    faults: Faults,
    moves: u8,
    aborts: u8,
    crashes: u8,
    /// A fault of the host: the offer goes out while calls are out.
    no_drain: bool,
    /// A fault of the host: orders are carried out and the seat is written afterwards; a crash comes in between.
    late_write: bool,
}

const GOOD: Moving = Moving {
    faults: Faults {
        no_fence: false,
        late_abort: false,
        early_serve: false,
        epoch_again: false,
        early_forget: false,
    },
    moves: 2,
    aborts: 1,
    crashes: 1,
    no_drain: false,
    late_write: false,
};

impl Moving {
    fn apply(&self, w: &mut World, n: usize, input: Input<Held>) {
        let Ok((seat, orders)) = w.nodes[n].seat.step(input, self.faults) else { return };
        w.nodes[n].seat = seat;
        for o in orders {
            match o {
                Order::Tell(to, word) => drop(w.net.insert((n, to as usize, told(&word)))),
                Order::Serve(held) => {
                    w.nodes[n].held = held;
                    Moving::claim(w, n);
                }
                Order::Forget => w.nodes[n].held.clear(),
                Order::Drain | Order::Resume | Order::Finish => {}
            }
        }
    }

    /// A dispatcher that begins to serve, or starts again, says so.
    fn claim(w: &mut World, n: usize) {
        if w.nodes[n].seat.owns() {
            let epoch = w.nodes[n].seat.epoch;
            w.net.insert((n, 1 - n, told(&Word::Claim { epoch })));
        }
    }

    fn end(w: &mut World, n: usize, m: u8) {
        w.nodes[n].held.retain(|x| *x != m);
        w.nodes[n].out.remove(&m);
        w.ended.push(m);
        w.ended.sort_unstable();
    }
}

impl Model for Moving {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let node = |seat, held| Node { seat, held, out: BTreeSet::new(), crashes: 0 };
        let nodes = vec![node(Seat::settled(), MESSAGES.to_vec()), node(Seat::away(Some(0)), vec![])];
        vec![World {
            nodes,
            net: BTreeSet::new(),
            running: BTreeSet::new(),
            started: vec![],
            effects: vec![],
            ended: vec![],
            moves: 0,
            aborts: 0,
        }]
    }

    fn actions(&self, w: &World, acts: &mut Vec<Act>) {
        for (n, node) in w.nodes.iter().enumerate() {
            for m in &node.held {
                // A key's order is the host's: what is held before it goes first, and one at a time.
                let first = node.held.iter().find(|x| key(**x) == key(*m)) == Some(m);
                if node.seat.serves() && first && node.out.is_empty() {
                    acts.push(Act::Start(n, *m));
                }
            }
            for m in &node.out {
                if w.effects.contains(m) {
                    acts.push(Act::Answer(n, *m));
                }
                acts.push(Act::Cut(n, *m));
            }
            if w.moves < self.moves && node.seat.serves() {
                acts.push(Act::Move(n, 1 - n));
            }
            if w.aborts < self.aborts && node.seat.is_moving() {
                acts.push(Act::Abort(n));
            }
            let drained = matches!(node.seat.phase, Phase::Draining { .. });
            if drained && (node.out.is_empty() || self.no_drain) {
                acts.push(Act::Drained(n));
            }
            if node.seat.is_moving() && !drained {
                acts.push(Act::Tick(n));
            }
            if node.crashes < self.crashes {
                acts.push(Act::Crash(n));
            }
        }
        w.running.iter().for_each(|m| acts.push(Act::Run(*m)));
        w.net.iter().for_each(|(a, b, t)| acts.push(Act::Deliver(*a, *b, t.clone())));
    }

    fn next_state(&self, last: &World, act: Act) -> Option<World> {
        let mut w = last.clone();
        match act {
            Act::Start(n, m) => {
                w.nodes[n].out.insert(m);
                w.running.insert(m);
                w.started.push(m);
            }
            Act::Run(m) => {
                w.running.remove(&m);
                w.effects.push(m);
            }
            Act::Answer(n, m) | Act::Cut(n, m) => Moving::end(&mut w, n, m),
            Act::Move(n, to) => {
                w.moves += 1;
                self.apply(&mut w, n, Input::Move(to as u32));
            }
            Act::Abort(n) => {
                w.aborts += 1;
                self.apply(&mut w, n, Input::Abort);
            }
            Act::Drained(n) => {
                let held = w.nodes[n].held.clone();
                self.apply(&mut w, n, Input::Drained(held));
            }
            Act::Tick(n) => self.apply(&mut w, n, Input::Tick),
            Act::Deliver(a, b, t) => {
                let before = w.nodes[b].clone();
                self.apply(&mut w, b, Input::Heard(a as u32, word(&t)));
                if self.late_write && w.nodes[b].crashes < self.crashes && w.nodes[b].seat != before.seat {
                    // Killed between the word and the writing: the word is out, the seat is the old one.
                    w.nodes[b] = Node { crashes: before.crashes + 1, ..before };
                }
            }
            Act::Crash(n) => {
                w.nodes[n].crashes += 1;
                // What was out may have run, and must not be repeated: it is given up.
                for m in w.nodes[n].out.clone() {
                    Moving::end(&mut w, n, m);
                }
                Moving::claim(&mut w, n);
            }
        }
        (w != *last).then_some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one owner at most", |_, w: &World| {
                w.nodes.iter().filter(|n| n.seat.owns()).count() <= 1
            }),
            Property::always("one final answer at most", |_, w: &World| {
                MESSAGES.iter().all(|m| w.ended.iter().filter(|e| *e == m).count() <= 1)
            }),
            Property::always("started once at most", |_, w: &World| {
                MESSAGES.iter().all(|m| w.started.iter().filter(|e| *e == m).count() <= 1)
            }),
            Property::always("one effect at most", |_, w: &World| {
                MESSAGES.iter().all(|m| w.effects.iter().filter(|e| *e == m).count() <= 1)
            }),
            Property::always("keys in order, one at a time", |_, w: &World| {
                let out: Vec<u8> = w.nodes.iter().flat_map(|n| n.out.iter().map(|m| key(*m))).collect();
                let of = |k: u8| w.started.iter().filter(move |m| key(**m) == k);
                let ordered = |k: u8| of(k).zip(of(k).skip(1)).all(|(a, b)| a < b);
                (0..2).all(|k| ordered(k) && out.iter().filter(|o| **o == k).count() <= 1)
            }),
            Property::always("nothing is lost", |_, w: &World| {
                MESSAGES.iter().all(|m| {
                    let kept = w.nodes.iter().any(|n| match &n.seat.phase {
                        Phase::Committed { contents, .. } | Phase::Received { contents, .. } => {
                            contents.contains(m)
                        }
                        _ => n.seat.owns() && n.held.contains(m),
                    });
                    kept || w.ended.contains(m)
                })
            }),
            Property::sometimes("all end, and two moves are through", |m: &Moving, w: &World| {
                let over = w.nodes.iter().all(|n| !n.seat.is_moving());
                w.ended.len() == MESSAGES.len()
                    && w.moves == m.moves
                    && over
                    && w.nodes.iter().any(|n| n.seat.epoch > 2)
            }),
        ]
    }
}

/// Guards against every mistake that this model can make; the figures are in `docs/design/cells.md`.
#[test]
fn no_way_of_moving_breaks_a_rule() {
    let checker = GOOD.checker().threads(4).spawn_bfs().join();
    println!("{} states, {} of them different", checker.state_count(), checker.unique_state_count());
    checker.assert_properties();
    assert!(checker.unique_state_count() > 10_000, "{}", checker.unique_state_count());
}

/// Each hole in the protocol must be found, or the model proves nothing.
#[test]
fn every_hole_is_found() {
    let fault = |faults| Moving { faults, ..GOOD };
    let none = GOOD.faults;
    let holes = [
        ("no fence", fault(Faults { no_fence: true, ..none })),
        ("takes back what it gave away", fault(Faults { late_abort: true, ..none })),
        ("serves on the offer", fault(Faults { early_serve: true, ..none })),
        ("an epoch is used again", fault(Faults { epoch_again: true, ..none })),
        ("forgets before it is heard", fault(Faults { early_forget: true, ..none })),
        ("offers what is out", Moving { no_drain: true, ..GOOD }),
        ("says before it writes", Moving { late_write: true, ..GOOD }),
    ];
    let mut lost = Vec::new();
    for (name, model) in holes {
        let checker = model
            .checker()
            .threads(4)
            .finish_when(stateright::HasDiscoveries::AnyFailures)
            .spawn_bfs()
            .join();
        let found: Vec<&str> =
            checker.discoveries().into_iter().map(|d| d.0).filter(|d| !d.starts_with("all end")).collect();
        println!("{name}: {found:?} after {} states", checker.state_count());
        if found.is_empty() {
            lost.push(name);
        }
    }
    assert!(lost.is_empty(), "not found: {lost:?}");
}
