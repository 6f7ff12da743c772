//! Tests of the module `view`.

use super::*;
use rand::RngExt;
use std::collections::BTreeMap;

/// Membership views joined by a network with a delay for each pair, or no connection.
struct Net {
    views: BTreeMap<String, Membership>,
    packets: Vec<(Ms, String, String, Vec<u8>)>,
    delay: BTreeMap<(String, String), Option<Ms>>,
    changes: Vec<(Ms, String, MembershipChange)>,
    /// Share of the packets that are lost.
    loss: f64,
    random: StdRng,
}

fn node(name: &str, life: u64) -> PeerIdentity {
    PeerIdentity { name: name.into(), address: format!("{name}:1"), life }
}

impl Net {
    fn of(names: &[&str]) -> Net {
        let seeds: Vec<PeerIdentity> = names[..2].iter().map(|n| node(n, 0)).collect();
        let view =
            |(k, n): (usize, &&str)| (n.to_string(), Membership::new(0, node(n, 1), seeds.clone(), k as u64));
        let views = names.iter().enumerate().map(view).collect();
        Net {
            views,
            packets: Vec::new(),
            delay: BTreeMap::new(),
            changes: Vec::new(),
            loss: 0.0,
            random: StdRng::seed_from_u64(0),
        }
    }

    fn apply(&mut self, now: Ms, from: &str, output: Output) {
        for (to, packet) in output.sends {
            if self.random.random_bool(self.loss) {
                continue;
            }
            let key = (from.to_string(), to.name.clone());
            if let Some(delay) = self.delay.get(&key).copied().unwrap_or(Some(1)) {
                self.packets.push((now + delay, key.0, key.1, packet));
            }
        }
        self.changes.extend(output.changes.into_iter().map(|c| (now, from.to_string(), c)));
    }

    fn run(&mut self, from: Ms, until: Ms) {
        for now in from..until {
            let (due, later): (Vec<_>, Vec<_>) = self.packets.drain(..).partition(|p| p.0 <= now);
            self.packets = later;
            for (_, _, to, packet) in due {
                if let Some(output) = self.views.get_mut(&to).map(|v| v.receive(now, &packet)) {
                    self.apply(now, &to, output);
                }
            }
            for name in self.views.keys().cloned().collect::<Vec<_>>() {
                if self.views[&name].next_due() <= now {
                    let output = self.views.get_mut(&name).map(|v| v.tick(now)).unwrap_or_default();
                    self.apply(now, &name, output);
                }
            }
        }
    }

    fn gone(&self, name: &str) -> usize {
        self.changes.iter().filter(|c| matches!(&c.2, MembershipChange::Gone(n) if n.name == name)).count()
    }
}

const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];

/// Guards against members that never find each other, a crash that is not detected, and an old
/// incarnation that is taken for the new one.
#[test]
fn members_meet_through_the_seeds_and_all_detect_a_crash_and_a_restart() {
    let mut net = Net::of(&NAMES);
    net.run(0, 3_000);
    NAMES.iter().for_each(|n| assert_eq!(net.views[*n].alive(), NAMES, "{n}"));
    net.views.remove("e");
    net.run(3_000, 16_000);
    assert_eq!(net.gone("e"), 4, "each of the others detected the crash");
    assert_eq!(net.views["a"].alive(), ["a", "b", "c", "d"]);
    let seeds = vec![node("a", 0), node("b", 0)];
    net.views.insert("e".into(), Membership::new(16_000, node("e", 2), seeds, 9));
    net.run(16_000, 20_000);
    NAMES.iter().for_each(|n| assert_eq!(net.views[*n].alive(), NAMES, "{n}"));
    assert!(net.views["c"]
        .members()
        .iter()
        .any(|(n, s)| n.name == "e" && n.life == 2 && *s == MemberState::Alive));
}

/// Guards against a slow peer that counts as gone, and against a disconnected one that does not.
#[test]
fn a_peer_slowed_by_half_a_second_is_not_gone_and_a_disconnected_one_is_and_rejoins() {
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
        net.changes.iter().any(|c| matches!(&c.2, MembershipChange::Rejoined(n) if n.name == "e")),
        "it rejoins under its next incarnation"
    );
}

/// Guards against a crashed peer that stays suspect for good: the others suspect each other too, as packets
/// are lost, and one of them that rejoins must not forget its suspicions.
#[test]
fn a_crashed_peer_counts_as_gone_while_others_suspect_each_other_and_rejoin() {
    let mut rejoined = 0;
    for seed in 0..60 {
        let mut net = Net::of(&NAMES[..3]);
        net.random = StdRng::seed_from_u64(seed);
        net.run(0, 3_000);
        net.loss = 0.3;
        net.run(3_000, 3_000 + seed * 50);
        net.views.remove("c");
        net.run(3_000 + seed * 50, 10_000);
        net.loss = 0.1;
        net.run(10_000, 25_000);
        for name in ["a", "b"] {
            let members = net.views[name].members();
            let state = members.iter().find(|(n, _)| n.name == "c").map(|m| m.1);
            assert_eq!(state, Some(MemberState::Gone), "seed {seed}: c as {name} sees it");
        }
        rejoined += net.changes.iter().filter(|c| matches!(c.2, MembershipChange::Rejoined(_))).count();
    }
    assert!(rejoined > 0, "some rejoined");
}

#[test]
fn undecodable_packets_are_counted_and_change_nothing() {
    let mut v = Membership::new(0, node("a", 1), vec![], 1);
    for packet in [&b""[..], b"\0", &[0xff; 2_000], b"hello, hello, hello"] {
        v.receive(1, packet);
    }
    assert_eq!((v.undecodable, v.alive()), (4, vec!["a".to_string()]));
}
