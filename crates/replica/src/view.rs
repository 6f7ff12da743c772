//! Who of the installation is alive, suspect or gone: SWIM, by foca.
//!
//! foca keeps the protocol free of I/O; this module gives it a clock, collects what it wants sent and timed, and turns its
//! notifications into [`Change`]s. A dispatcher that starts again keeps its name and comes with a higher life, which wins over
//! what is known of the old one; one that was declared gone while it lived comes again with the next.

use crate::Ms;
use foca::{Config, Foca, Identity, NoCustomBroadcast, Notification, PostcardCodec, Runtime, State, Timer};
use rand::rngs::StdRng;
use rand::SeedableRng;
use serde::{Deserialize, Serialize};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// A member is asked whether it lives once in this span,
const PROBE_PERIOD: Duration = Duration::from_millis(600);
/// and answers within this, directly; else others ask it.
const PROBE_RTT: Duration = Duration::from_millis(300);
/// Others that ask in one's place.
const INDIRECT: usize = 3;
/// So long a suspicion stands before the member counts as gone: one slowed by half a second refutes it in time.
pub const SUSPECT_FOR: Duration = Duration::from_millis(2_500);
/// A packet's bytes at most.
const PACKET_MOST: usize = 1_400;
/// A peer that is gone is forgotten after this; it may come back under its name at any time.
const FORGET_AFTER: Duration = Duration::from_secs(3_600);

/// A dispatcher, as the others know it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Node {
    /// Its name.
    pub name: String,
    /// Where the others reach it.
    pub address: String,
    /// Which of its lives: the higher one wins.
    pub life: u64,
}

impl Identity for Node {
    type Addr = String;

    fn renew(&self) -> Option<Node> {
        Some(Node { life: self.life + 1, ..self.clone() })
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, adversary: &Node) -> bool {
        self.life > adversary.life
    }
}

/// A change of the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// It is there.
    Up(Node),
    /// It is gone.
    Gone(Node),
    /// It has come back in another life before it counted as gone.
    Anew(Node),
    /// The others took this one for gone; it is back under its next life.
    Declared(Node),
}

/// How a member stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It answers.
    Alive,
    /// It does not, and has not refuted it yet.
    Suspect,
    /// It counts as gone.
    Gone,
}

#[derive(Debug, Default)]
struct Collected {
    sends: Vec<(Node, Vec<u8>)>,
    timers: Vec<(Timer<Node>, Duration)>,
    changes: Vec<Change>,
}

impl Runtime<Node> for Collected {
    fn notify(&mut self, notification: Notification<'_, Node>) {
        self.changes.extend(match notification {
            Notification::MemberUp(n) => Some(Change::Up(n.clone())),
            Notification::MemberDown(n) => Some(Change::Gone(n.clone())),
            Notification::Rename(_, n) => Some(Change::Anew(n.clone())),
            Notification::Rejoin(n) => Some(Change::Declared(n.clone())),
            _ => None,
        });
    }

    fn send_to(&mut self, to: Node, data: &[u8]) {
        self.sends.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Node>, after: Duration) {
        self.timers.push((event, after));
    }
}

/// What is to be done after something came or was due.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Todo {
    /// Packets to send: to whom, and what.
    pub sends: Vec<(Node, Vec<u8>)>,
    /// What has changed.
    pub changes: Vec<Change>,
}

/// One dispatcher's view.
pub struct View {
    me: Node,
    foca: Foca<Node, PostcardCodec, StdRng, NoCustomBroadcast>,
    timers: Vec<(Ms, Timer<Node>)>,
    seeds: Vec<Node>,
    announce_at: Ms,
    /// Packets that could not be read.
    pub nonsense: u64,
}

/// While nobody is known the seeds are asked this often.
const ANNOUNCE_EVERY: Ms = 500;

impl View {
    /// A view that knows nobody yet; `seeds` are asked for the others.
    pub fn new(now: Ms, me: Node, seeds: Vec<Node>, seed: u64) -> View {
        let config = Config {
            probe_period: PROBE_PERIOD,
            probe_rtt: PROBE_RTT,
            num_indirect_probes: NonZeroUsize::new(INDIRECT).unwrap_or(NonZeroUsize::MIN),
            max_transmissions: NonZeroU8::new(10).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: SUSPECT_FOR,
            remove_down_after: Some(FORGET_AFTER),
            max_packet_size: NonZeroUsize::new(PACKET_MOST).unwrap_or(NonZeroUsize::MIN),
            notify_down_members: true,
            ..Config::simple()
        };
        let foca = Foca::new(me.clone(), config, StdRng::seed_from_u64(seed), PostcardCodec);
        let seeds = seeds.into_iter().filter(|n| n.name != me.name).collect();
        View { me, foca, timers: Vec::new(), seeds, announce_at: now, nonsense: 0 }
    }

    /// This dispatcher, in its life as the others know it.
    pub fn me(&self) -> &Node {
        &self.me
    }

    /// When [`View::tick`] has something to do.
    pub fn next_due(&self) -> Ms {
        let timers = self.timers.iter().map(|t| t.0).min();
        timers.map_or(self.announce_at, |t| t.min(self.announce_at))
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Ms) -> Todo {
        let mut all = Collected::default();
        let due: Vec<Timer<Node>> = {
            // In the order of foca's own: probes before what ends them.
            let mut due: Vec<(Ms, Timer<Node>)> = Vec::new();
            let mut at = 0;
            while at < self.timers.len() {
                if self.timers[at].0 <= now {
                    due.push(self.timers.swap_remove(at));
                } else {
                    at += 1;
                }
            }
            due.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.cmp(&b.1)));
            due.into_iter().map(|d| d.1).collect()
        };
        for timer in due {
            if let Err(e) = self.foca.handle_timer(timer, &mut all) {
                // A timer that comes late may find its round over.
                let _ = e;
            }
        }
        if now >= self.announce_at {
            self.announce_at = now + ANNOUNCE_EVERY;
            let known: Vec<String> = self.foca.iter_members().map(|m| m.id().name.clone()).collect();
            let missing = self.seeds.iter().filter(|s| !known.contains(&s.name)).cloned();
            for seed in missing.collect::<Vec<_>>() {
                let _ = self.foca.announce(seed, &mut all);
            }
        }
        self.done(now, all)
    }

    /// A packet came.
    pub fn heard(&mut self, now: Ms, packet: &[u8]) -> Todo {
        let mut all = Collected::default();
        if self.foca.handle_data(packet, &mut all).is_err() {
            self.nonsense += 1;
        }
        self.done(now, all)
    }

    /// This one leaves: the others hear so at once and need not suspect it first.
    pub fn leave(&mut self, now: Ms) -> Todo {
        let mut all = Collected::default();
        let _ = self.foca.leave_cluster(&mut all);
        self.done(now, all)
    }

    fn done(&mut self, now: Ms, all: Collected) -> Todo {
        self.timers.extend(all.timers.into_iter().map(|(t, after)| (now + after.as_millis() as Ms, t)));
        for change in &all.changes {
            if let Change::Declared(n) = change {
                self.me = n.clone();
            }
        }
        Todo { sends: all.sends, changes: all.changes }
    }

    /// All members but this one, with how they stand, by name.
    pub fn members(&self) -> Vec<(Node, Standing)> {
        let standing = |s: State| match s {
            State::Alive => Standing::Alive,
            State::Suspect => Standing::Suspect,
            State::Down => Standing::Gone,
        };
        let mut all: Vec<(Node, Standing)> = self
            .foca
            .iter_membership_state()
            .map(|m| (m.id().clone(), standing(m.state())))
            .filter(|(n, _)| n.name != self.me.name)
            .collect();
        all.sort();
        all
    }

    /// The names of all that do not count as gone, this one too.
    pub fn alive(&self) -> Vec<String> {
        let mut names: Vec<String> = self.foca.iter_members().map(|m| m.id().name.clone()).collect();
        names.push(self.me.name.clone());
        names.sort();
        names.dedup();
        names
    }
}

impl PartialOrd for Standing {
    fn partial_cmp(&self, other: &Standing) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Standing {
    fn cmp(&self, other: &Standing) -> std::cmp::Ordering {
        (*self as u8).cmp(&(*other as u8))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeMap;

    /// Five views and a network with a delay of each pair, or none.
    struct Net {
        views: BTreeMap<String, View>,
        packets: Vec<(Ms, String, String, Vec<u8>)>,
        delay: BTreeMap<(String, String), Option<Ms>>,
        changes: Vec<(Ms, String, Change)>,
    }

    fn node(name: &str, life: u64) -> Node {
        Node { name: name.into(), address: format!("{name}:1"), life }
    }

    impl Net {
        fn of(names: &[&str]) -> Net {
            let seeds: Vec<Node> = names[..2].iter().map(|n| node(n, 0)).collect();
            let view =
                |(k, n): (usize, &&str)| (n.to_string(), View::new(0, node(n, 1), seeds.clone(), k as u64));
            let views = names.iter().enumerate().map(view).collect();
            Net { views, packets: Vec::new(), delay: BTreeMap::new(), changes: Vec::new() }
        }

        fn todo(&mut self, now: Ms, from: &str, todo: Todo) {
            for (to, packet) in todo.sends {
                let key = (from.to_string(), to.name.clone());
                if let Some(delay) = self.delay.get(&key).copied().unwrap_or(Some(1)) {
                    self.packets.push((now + delay, key.0, key.1, packet));
                }
            }
            self.changes.extend(todo.changes.into_iter().map(|c| (now, from.to_string(), c)));
        }

        fn run(&mut self, from: Ms, until: Ms) {
            for now in from..until {
                let (due, later): (Vec<_>, Vec<_>) = self.packets.drain(..).partition(|p| p.0 <= now);
                self.packets = later;
                for (_, _, to, packet) in due {
                    if let Some(todo) = self.views.get_mut(&to).map(|v| v.heard(now, &packet)) {
                        self.todo(now, &to, todo);
                    }
                }
                for name in self.views.keys().cloned().collect::<Vec<_>>() {
                    if self.views[&name].next_due() <= now {
                        let todo = self.views.get_mut(&name).map(|v| v.tick(now)).unwrap_or_default();
                        self.todo(now, &name, todo);
                    }
                }
            }
        }

        fn gone(&self, name: &str) -> usize {
            self.changes.iter().filter(|c| matches!(&c.2, Change::Gone(n) if n.name == name)).count()
        }
    }

    const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];

    /// Guards against a view that never meets, that misses a death, or that takes an old life for the new one.
    #[test]
    fn all_meet_by_the_seeds_and_a_death_is_seen_by_all_and_a_return_too() {
        let mut net = Net::of(&NAMES);
        net.run(0, 3_000);
        NAMES.iter().for_each(|n| assert_eq!(net.views[*n].alive(), NAMES, "{n}"));
        net.views.remove("e");
        net.run(3_000, 16_000);
        assert_eq!(net.gone("e"), 4, "each of the others saw it");
        assert_eq!(net.views["a"].alive(), ["a", "b", "c", "d"]);
        let seeds = vec![node("a", 0), node("b", 0)];
        net.views.insert("e".into(), View::new(16_000, node("e", 2), seeds, 9));
        net.run(16_000, 20_000);
        NAMES.iter().for_each(|n| assert_eq!(net.views[*n].alive(), NAMES, "{n}"));
        assert!(net.views["c"]
            .members()
            .iter()
            .any(|(n, s)| n.name == "e" && n.life == 2 && *s == Standing::Alive));
    }

    /// Guards against a slow peer that counts as gone, and one that is away that does not.
    #[test]
    fn one_slowed_by_half_a_second_is_not_gone_and_one_cut_off_is_and_comes_back() {
        let mut net = Net::of(&NAMES);
        net.run(0, 3_000);
        for other in &NAMES[..4] {
            net.delay.insert(("e".into(), other.to_string()), Some(500));
            net.delay.insert((other.to_string(), "e".into()), Some(500));
        }
        net.run(3_000, 33_000);
        assert_eq!(net.gone("e"), 0, "{:?}", net.changes);
        net.delay.values_mut().for_each(|d| *d = None);
        net.run(33_000, 46_000);
        assert_eq!(net.gone("e"), 4);
        net.delay.clear();
        net.run(46_000, 56_000);
        NAMES.iter().for_each(|n| assert_eq!(net.views[*n].alive(), NAMES, "{n}"));
        assert!(
            net.changes.iter().any(|c| matches!(&c.2, Change::Declared(n) if n.name == "e")),
            "under its next life"
        );
    }

    #[test]
    fn nonsense_is_counted_and_changes_nothing() {
        let mut v = View::new(0, node("a", 1), vec![], 1);
        for packet in [&b""[..], b"\0", &[0xff; 2_000], b"hello, hello, hello"] {
            v.heard(1, packet);
        }
        assert_eq!((v.nonsense, v.alive()), (4, vec!["a".to_string()]));
    }
}
