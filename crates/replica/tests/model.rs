//! Every order of a few dispatchers' deeds around one message: words that are lost, doubled and late, a kill, false
//! suspicions. The rules of `owner` are the code that the dispatcher runs. Three holes are left open on purpose, each of
//! which has to be found.

use lilacbank_replica::copies::{Content, Copy, End, Fence, Stage};
use lilacbank_replica::owner::{Holes, Kind, Part, Step, Word};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// The one that took the message, its arbiter and the second holder.
const NAMES: [&str; 3] = ["o", "a", "b"];

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Node {
    part: Part,
    up: bool,
    /// The others count it as alive for some time yet: it may act on safe messages.
    lease: bool,
    /// An attempt of its own is out.
    out: bool,
    /// It has told the final answer.
    told: Option<End>,
    /// Its copy is there.
    holds: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Mail {
    from: usize,
    to: usize,
    word: Word,
    epoch: u64,
    owner: usize,
    stage: u8,
    /// When it was written, by the writer's wall clock.
    wall: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    nodes: Vec<Node>,
    mail: BTreeSet<Mail>,
    effects: u8,
    /// Attempts of two dispatchers were out at one time.
    overlapped: bool,
    /// Fences under which an attempt was begun, and whose.
    acted: BTreeSet<(u64, usize)>,
    kills: u8,
    losses: u8,
    suspicions: u8,
    takeovers: u8,
    /// A copy's stage moved back somewhere.
    moved_back: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Deed {
    /// The owner looks what it may do.
    Look(usize),
    /// An attempt ends: delivered, or without an answer though it may have run.
    Answer(usize, bool),
    /// A word arrives; it may stay in the net, to arrive once more.
    Arrive(Mail, bool),
    Lose(Mail),
    Kill(usize),
    /// A dispatcher cut off from the others lets its lease run out: its attempt is broken off.
    Lapse(usize),
    /// The others hear it again: they renew its lease, and tell it their copies with that.
    Renew(usize),
    /// The first holder that lives takes the owner for gone.
    Suspect(usize),
    /// A later holder takes the owner for gone, and gives the first its copy.
    Forward(usize),
}

/// Takings over in one history: the second is that of a holder whose arbiter died after the first.
const TAKEOVERS: u8 = 2;
/// States that are looked at, at most: as many as a test may take.
const LOOKED_AT: usize = 150_000;

struct Fleet {
    kind: Kind,
    holes: Holes,
    kills: u8,
    losses: u8,
    suspicions: u8,
}

fn place(name: &str) -> usize {
    NAMES.iter().position(|n| *n == name).unwrap()
}

fn stage_of(n: u8) -> Stage {
    [Stage::Taken, Stage::Started, Stage::Ended(End::GivenUp), Stage::Ended(End::Delivered)][n as usize]
}

fn number(s: Stage) -> u8 {
    match s {
        Stage::Taken => 0,
        Stage::Started => 1,
        Stage::Ended(End::Delivered) => 3,
        Stage::Ended(_) => 2,
    }
}

impl Fleet {
    /// The first that the others count as alive: the one that took the message, then its holders.
    fn first(&self, w: &World) -> Option<usize> {
        (0..3).find(|m| w.nodes[*m].up && w.nodes[*m].lease)
    }

    fn copy(&self, epoch: u64, owner: usize, stage: Stage) -> Copy {
        Copy {
            id: "m".into(),
            holders: vec!["a".into(), "b".into()],
            fence: Fence { epoch, owner: NAMES[owner].into() },
            stage,
            content: Content::default(),
        }
    }

    fn say(&self, w: &mut World, from: usize, to: usize, word: Word) {
        let c = &w.nodes[from].part.copy;
        // The clock of the one that took it is behind those of the others.
        let wall = if from == 0 { 0 } else { 1 };
        let mail = Mail {
            from,
            to,
            word,
            epoch: c.fence.epoch,
            owner: place(&c.fence.owner),
            stage: number(c.stage),
            wall,
        };
        w.mail.insert(mail);
    }

    fn tell_all(&self, w: &mut World, from: usize) {
        (0..3).filter(|n| *n != from).for_each(|to| self.say(w, from, to, Word::Hold));
    }

    fn begin(&self, w: &mut World, n: usize) {
        let node = &mut w.nodes[n];
        node.part.started();
        node.out = true;
        let fence = (node.part.copy.fence.epoch, place(&node.part.copy.fence.owner));
        w.acted.insert(fence);
        w.overlapped |= (0..3).any(|m| m != n && w.nodes[m].out);
        self.tell_all(w, n);
    }

    fn end(&self, w: &mut World, n: usize, end: End) {
        let node = &mut w.nodes[n];
        (node.out, node.told) = (false, node.told.or(Some(end)));
        node.part.ended(end);
        self.tell_all(w, n);
    }

    fn do_step(&self, w: &mut World, n: usize, step: Step) {
        match step {
            Step::Start if !w.nodes[n].out => self.begin(w, n),
            Step::Ask(to) => self.say(w, n, place(&to), Word::Ask),
            Step::GiveUp => self.end(w, n, End::GivenUp),
            _ => {}
        }
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Deed;

    fn init_states(&self) -> Vec<World> {
        let node = |n: usize| Node {
            part: Part::taken(NAMES[n], self.copy(0, 0, Stage::Taken), self.kind),
            up: true,
            lease: true,
            out: false,
            told: None,
            holds: n == 0,
        };
        let mut w = World {
            nodes: (0..3).map(node).collect(),
            mail: BTreeSet::new(),
            effects: 0,
            overlapped: false,
            acted: BTreeSet::new(),
            kills: 0,
            losses: 0,
            suspicions: 0,
            takeovers: 0,
            moved_back: false,
        };
        self.tell_all(&mut w, 0);
        vec![w]
    }

    fn actions(&self, w: &World, deeds: &mut Vec<Deed>) {
        for (n, node) in w.nodes.iter().enumerate().filter(|(_, x)| x.up) {
            let owner = place(&node.part.copy.fence.owner);
            if node.out {
                deeds.extend([Deed::Answer(n, true), Deed::Answer(n, false)]);
            } else if node.part.owns() && node.told.is_none() {
                deeds.push(Deed::Look(n));
            }
            if w.kills < self.kills {
                deeds.push(Deed::Kill(n));
            }
            if node.lease && n == 0 && w.suspicions < self.suspicions {
                deeds.push(Deed::Lapse(n));
            }
            if !node.lease {
                deeds.push(Deed::Renew(n));
            }
            // Its lease has run out before anybody may count it as gone: the spans are chosen so.
            let lapsed = !w.nodes[owner].up || !w.nodes[owner].lease || self.holes.hasty;
            // The first that lives, whether it has its copy yet or not: the others give it theirs.
            let first = self.first(w) == Some(n);
            // One whose own lease has run out counts nobody as gone: it is the one that is cut off.
            if node.holds
                && node.lease
                && owner != n
                && lapsed
                && first
                && node.told.is_none()
                && w.takeovers < TAKEOVERS
            {
                deeds.push(Deed::Suspect(n));
            }
            if node.holds && owner != n && lapsed && !first && node.lease && node.told.is_none() {
                deeds.push(Deed::Forward(n));
            }
        }
        for m in &w.mail {
            deeds.push(Deed::Arrive(m.clone(), false));
            if w.losses < self.losses {
                deeds.extend([Deed::Arrive(m.clone(), true), Deed::Lose(m.clone())]);
            }
        }
    }

    fn next_state(&self, last: &World, deed: Deed) -> Option<World> {
        let mut w = last.clone();
        match deed {
            Deed::Look(n) => {
                let step = w.nodes[n].part.step(w.nodes[n].lease);
                self.do_step(&mut w, n, step);
            }
            Deed::Answer(n, true) => {
                w.effects += 1;
                self.end(&mut w, n, End::Delivered);
            }
            Deed::Answer(n, false) => {
                // It took effect and the answer was lost; a safe one goes again, an unsafe one is given up.
                w.effects += 1;
                w.nodes[n].out = false;
                if self.kind == Kind::Unsafe {
                    self.end(&mut w, n, End::GivenUp);
                } else if w.effects > 3 {
                    return None;
                }
            }
            Deed::Arrive(m, stays) => {
                w.losses += u8::from(stays);
                if !stays {
                    w.mail.remove(&m);
                }
                if !w.nodes[m.to].up {
                    return Some(w);
                }
                let copy = self.copy(m.epoch, m.owner, stage_of(m.stage));
                let later = m.wall > 0;
                match m.word {
                    Word::Hold => {
                        w.nodes[m.to].holds = true;
                        let before = w.nodes[m.to].part.copy.stage;
                        w.nodes[m.to].part.heard(&copy, later, self.holes);
                        w.moved_back |= w.nodes[m.to].part.copy.stage < before;
                        if let Stage::Ended(end) = w.nodes[m.to].part.copy.stage {
                            w.nodes[m.to].told.get_or_insert(end);
                        }
                    }
                    Word::Held => {}
                    Word::Ask => {
                        let word = w.nodes[m.to].part.asked(&copy.fence, self.holes);
                        let (epoch, owner) = match word {
                            Word::Grant => (m.epoch, m.owner),
                            _ => {
                                let f = &w.nodes[m.to].part.copy.fence;
                                (f.epoch, place(&f.owner))
                            }
                        };
                        let stage = number(w.nodes[m.to].part.copy.stage);
                        w.mail.insert(Mail { from: m.to, to: m.from, word, epoch, owner, stage, wall: 1 });
                    }
                    Word::Grant => w.nodes[m.to].part.heard_grant(&copy.fence),
                    Word::Refuse => {
                        let was_out = w.nodes[m.to].out;
                        let told = w.nodes[m.to].told.is_some();
                        if !was_out && !told && w.nodes[m.to].part.owns() {
                            let step = w.nodes[m.to].part.heard_refusal(&copy.fence);
                            self.do_step(&mut w, m.to, step);
                        }
                    }
                }
            }
            Deed::Lose(m) => {
                w.losses += 1;
                w.mail.remove(&m);
            }
            Deed::Kill(n) => {
                w.kills += 1;
                (w.nodes[n].up, w.nodes[n].lease) = (false, false);
                // What was out may run yet.
                if std::mem::take(&mut w.nodes[n].out) {
                    w.effects += 1;
                }
            }
            Deed::Lapse(n) => {
                w.suspicions += 1;
                w.nodes[n].lease = false;
                if self.kind == Kind::Safe {
                    w.nodes[n].out = false;
                }
            }
            Deed::Renew(n) => {
                for m in (0..3).filter(|m| *m != n) {
                    if w.nodes[m].up && w.nodes[m].holds {
                        let copy = w.nodes[m].part.copy.clone();
                        w.nodes[n].part.heard(&copy, false, self.holes);
                    }
                }
                if let Stage::Ended(end) = w.nodes[n].part.copy.stage {
                    w.nodes[n].told.get_or_insert(end);
                }
                w.nodes[n].lease = true;
            }
            Deed::Forward(n) => {
                let first = self.first(&w)?;
                self.say(&mut w, n, first, Word::Hold);
            }
            Deed::Suspect(n) => {
                w.takeovers += 1;
                let step = w.nodes[n].part.take_over();
                self.do_step(&mut w, n, step);
            }
        }
        (w != *last).then_some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("an unsafe message takes effect once at most", |m: &Fleet, w: &World| {
                m.kind == Kind::Safe || w.effects <= 1
            }),
            Property::always("attempts of a safe message do not overlap", |m: &Fleet, w: &World| {
                m.kind == Kind::Unsafe || !w.overlapped
            }),
            Property::always("a stage only moves forward", |_, w: &World| !w.moved_back),
            Property::always("one owner acts under an epoch", |_, w: &World| {
                w.acted.iter().all(|(epoch, who)| w.acted.iter().all(|(e, o)| e != epoch || o == who))
            }),
            // Where nothing more can happen, each taken message with a living copy has its final answer.
            Property::always("every message with a living copy is answered", |m: &Fleet, w: &World| {
                let mut deeds = Vec::new();
                m.actions(w, &mut deeds);
                let over = deeds.into_iter().all(|d| m.next_state(w, d).is_none());
                let lives = w.nodes.iter().any(|n| n.up && n.holds);
                !over || !lives || w.nodes.iter().any(|n| n.told.is_some())
            }),
            Property::always("no two final answers differ unless a lease ran out", |_, w: &World| {
                let told: BTreeSet<u8> =
                    w.nodes.iter().filter_map(|n| n.told).map(|e| number(Stage::Ended(e))).collect();
                told.len() <= 1 || w.suspicions > 0 || w.kills > 0
            }),
            Property::sometimes("it is delivered after a taking over", |_, w: &World| {
                w.nodes.iter().any(|n| n.told == Some(End::Delivered) && n.part.copy.fence.epoch > 0)
            }),
        ]
    }
}

/// Kills, losses (a word lost or doubled) and false suspicions in one history, at most.
const TROUBLES: [(u8, u8, u8); 3] = [(1, 0, 1), (0, 1, 1), (1, 1, 0)];

/// With `LOOK=400000 cargo test --release -p lilacbank-replica --test model`, more.
fn looked_at() -> usize {
    std::env::var("LOOK").ok().and_then(|n| n.parse().ok()).unwrap_or(LOOKED_AT)
}

fn check(kind: Kind, holes: Holes, (kills, losses, suspicions): (u8, u8, u8)) -> impl Checker<Fleet> {
    let fleet = Fleet { kind, holes, kills, losses, suspicions };
    fleet.checker().threads(2).target_state_count(looked_at()).spawn_bfs().join()
}

#[test]
fn the_rules_hold_in_every_order_of_deeds() {
    for kind in [Kind::Safe, Kind::Unsafe] {
        for troubles in TROUBLES {
            let c = check(kind, Holes::default(), troubles);
            let (all, unique) = (c.state_count(), c.unique_state_count());
            println!("{kind:?} {troubles:?}: {all} states, {unique} different, depth {}", c.max_depth());
            for name in NEVER_BROKEN {
                c.assert_no_discovery(name);
            }
            assert!(c.is_done() || all >= looked_at(), "all orders, or as many as are looked at");
        }
    }
}

const NEVER_BROKEN: [&str; 6] = [
    "a stage only moves forward",
    "an unsafe message takes effect once at most",
    "attempts of a safe message do not overlap",
    "one owner acts under an epoch",
    "every message with a living copy is answered",
    "no two final answers differ unless a lease ran out",
];

/// Guards against a checker that would find nothing.
#[test]
fn each_hole_left_open_on_purpose_is_found() {
    let found = |kind, holes, name: &'static str| {
        let paths = TROUBLES.into_iter().filter_map(|t| check(kind, holes, t).discovery(name));
        let deeds = paths.map(|p| p.into_actions().len()).min();
        assert!(deeds.is_some(), "'{name}' was not found broken");
        println!("{holes:?}: {name}: {} deeds", deeds.unwrap_or(0));
    };
    let none = Holes::default();
    found(Kind::Unsafe, Holes { no_fence: true, ..none }, "an unsafe message takes effect once at most");
    found(Kind::Safe, Holes { hasty: true, ..none }, "attempts of a safe message do not overlap");
    found(Kind::Unsafe, Holes { last_writer: true, ..none }, "a stage only moves forward");
}
