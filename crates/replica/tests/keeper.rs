//! Keepers of several dispatchers on a simulated network with losses, doubles, delays, splits and kills, from seeds. What the
//! dispatcher does round a keeper is played by a small driver; who acted on what, and when, is audited.

use lilacbank_replica::copies::{Content, End, Stage};
use lilacbank_replica::keeper::{Keeper, News, Spec};
use lilacbank_replica::owner::{Kind, Step};
use lilacbank_replica::wire::{Ban, Beat, Envelope, Say, WireCopy};
use lilacbank_replica::Ms;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// One message as its driver has it.
#[derive(Debug, Clone)]
struct Own {
    kind: Kind,
    content: Content,
    stage: Stage,
    /// Until when its attempt is out, and whether that ends it.
    out: Option<(Ms, bool)>,
}

struct Site {
    keeper: Option<Keeper>,
    life: u64,
    /// What a folder keeps, and what an old copy of it does.
    own: BTreeMap<String, Own>,
    old: Option<BTreeMap<String, Own>>,
}

#[derive(Default)]
struct Seen {
    /// Attempts of each message: who, from, until.
    attempts: BTreeMap<String, Vec<(usize, Ms, Ms)>>,
    unsafe_ids: BTreeSet<String>,
    taken: BTreeMap<String, usize>,
    ends: BTreeMap<String, BTreeSet<End>>,
    taken_over: u64,
    /// Nobody else had a copy when the one that took them was killed.
    alone: BTreeSet<String>,
}

struct World {
    sites: Vec<Site>,
    mail: Vec<(Ms, usize, usize, Envelope)>,
    /// Pairs that do not hear each other.
    cut: BTreeSet<(usize, usize)>,
    delay: BTreeMap<usize, Ms>,
    loss: f64,
    rng: StdRng,
    seen: Seen,
    last: BTreeMap<(usize, usize), Ms>,
}

fn name(n: usize) -> String {
    format!("n{n}")
}

impl World {
    fn new(count: usize, seed: u64) -> World {
        let mut w = World {
            sites: (0..count)
                .map(|_| Site { keeper: None, life: 0, own: BTreeMap::new(), old: None })
                .collect(),
            mail: Vec::new(),
            cut: BTreeSet::new(),
            delay: BTreeMap::new(),
            loss: 0.0,
            rng: StdRng::seed_from_u64(seed),
            seen: Seen::default(),
            last: BTreeMap::new(),
        };
        (0..count).for_each(|n| w.start(0, n, true));
        w
    }

    fn start(&mut self, now: Ms, n: usize, folder: bool) {
        let count = self.sites.len();
        let s = &mut self.sites[n];
        s.life += 1;
        let mut keeper = Keeper::new(
            now,
            Spec {
                me: name(n),
                address: name(n),
                born: s.life * 100 + n as u64,
                life: s.life,
                installation: "i".into(),
                size: count,
                seeds: (0..count).map(|m| (name(m), name(m))).collect(),
                copies: 2,
                most_bytes: 1 << 27,
                seed: n as u64,
                catch_up: 5_000,
            },
        );
        if !folder {
            s.own.clear();
        }
        for (id, own) in &mut s.own {
            own.out = None;
            if !matches!(own.stage, Stage::Ended(_)) {
                keeper.restored(id, own.content.clone(), own.kind, own.stage);
            }
        }
        s.keeper = Some(keeper);
    }

    fn kill(&mut self, now: Ms, n: usize) {
        self.sites[n].keeper = None;
        let known =
            |id: &String| self.sites.iter().filter_map(|s| s.keeper.as_ref()).any(|k| k.knows(id).is_some());
        let open = self.seen.taken.keys().filter(|id| !self.seen.ends.contains_key(*id));
        let alone = open.filter(|id| !known(id)).cloned().collect();
        self.seen.alone.extend::<BTreeSet<String>>(alone);
        // What was out is cut; it may have run.
        for (id, own) in &mut self.sites[n].own {
            if own.out.take().is_some() {
                let last = self.seen.attempts.get_mut(id).and_then(|a| a.last_mut());
                last.into_iter().for_each(|a| a.2 = now);
            }
        }
        self.mail.retain(|m| m.1 != n);
    }

    fn take(&mut self, now: Ms, n: usize, id: String, kind: Kind) {
        let Some(keeper) = &mut self.sites[n].keeper else { return };
        let content =
            Content { class: "c".into(), valid_until: now + 60_000, body: vec![1; 40], ..Content::default() };
        keeper.taken(now, &id, content.clone(), kind);
        self.sites[n].own.insert(id.clone(), Own { kind, content, stage: Stage::Taken, out: None });
        if kind == Kind::Unsafe {
            self.seen.unsafe_ids.insert(id.clone());
        }
        self.seen.taken.insert(id, n);
    }

    fn end(&mut self, now: Ms, n: usize, id: &str, end: End) {
        let s = &mut self.sites[n];
        let Some(own) = s.own.get_mut(id).filter(|o| !matches!(o.stage, Stage::Ended(_))) else { return };
        (own.stage, own.out) = (Stage::Ended(end), None);
        s.keeper.iter_mut().for_each(|k| k.ended(now, id, end));
        self.seen.ends.entry(id.to_string()).or_default().insert(end);
    }

    /// One dispatcher's turn, as the core does it.
    fn turn(&mut self, now: Ms, n: usize) {
        let Some(keeper) = &mut self.sites[n].keeper else { return };
        keeper.tick(now);
        for news in keeper.take_news() {
            match news {
                News::GiveUp(id) => self.end(now, n, &id, End::GivenUp),
                News::Leave(id) => {
                    if let Some(own) = self.sites[n].own.remove(&id).filter(|o| o.out.is_some()) {
                        let _ = own;
                        let last = self.seen.attempts.get_mut(&id).and_then(|a| a.last_mut());
                        last.into_iter().for_each(|a| a.2 = now);
                    }
                }
                News::Take(copy, step) => {
                    let kind =
                        if self.seen.unsafe_ids.contains(&copy.id) { Kind::Unsafe } else { Kind::Safe };
                    self.seen.taken_over += 1;
                    let own = Own { kind, content: copy.content.clone(), stage: copy.stage, out: None };
                    self.sites[n].own.insert(copy.id.clone(), own);
                    if step == Step::GiveUp {
                        self.end(now, n, &copy.id, End::GivenUp);
                    }
                }
                _ => {}
            }
        }
        let ids: Vec<String> = self.sites[n].own.keys().cloned().collect();
        for id in ids {
            let s = &mut self.sites[n];
            let (Some(own), Some(keeper)) = (s.own.get_mut(&id), s.keeper.as_mut()) else { continue };
            if matches!(own.stage, Stage::Ended(_)) {
                continue;
            }
            let may = keeper.may_act(now, &id);
            match own.out {
                Some((until, delivered)) if until <= now => {
                    own.out = None;
                    if delivered {
                        self.end(now, n, &id, End::Delivered);
                    } else if own.kind == Kind::Unsafe {
                        self.end(now, n, &id, End::GivenUp);
                    }
                }
                // A safe one is broken off when its owner may be counted as gone.
                Some(_) if !may && own.kind == Kind::Safe => {
                    own.out = None;
                    let last = self.seen.attempts.get_mut(&id).and_then(|a| a.last_mut());
                    last.into_iter().for_each(|a| a.2 = now);
                }
                None if may && !(own.kind == Kind::Unsafe && own.stage == Stage::Started) => {
                    own.stage = Stage::Started;
                    keeper.started(now, &id);
                    // Some are out for longer than it takes to count their owner as gone.
                    let long = self.rng.random_bool(0.15);
                    let until = now + self.rng.random_range(if long { 4_000..10_000 } else { 20..1_500 });
                    let delivered = long || self.rng.random_bool(0.8);
                    own.out = Some((until, delivered));
                    self.seen.attempts.entry(id).or_default().push((n, now, until));
                }
                None if may => self.end(now, n, &id, End::GivenUp),
                _ => {}
            }
        }
        let Some(keeper) = &mut self.sites[n].keeper else { return };
        let said = keeper.take_out();
        for (to, e) in said {
            let Some(m) = (0..self.sites.len()).find(|m| name(*m) == to) else { continue };
            if self.cut.contains(&(n, m)) || self.rng.random_bool(self.loss) {
                continue;
            }
            let slow = self.delay.get(&n).copied().unwrap_or(0) + self.delay.get(&m).copied().unwrap_or(0);
            // In order, as on a connection.
            let at =
                (now + slow + self.rng.random_range(1..5)).max(self.last.get(&(n, m)).copied().unwrap_or(0));
            self.last.insert((n, m), at);
            // Late, as what an old connection still held: behind words that were said after it.
            if self.rng.random_bool(self.loss / 2.0) {
                self.mail.push((at + self.rng.random_range(10..3_000), n, m, e.clone()));
            }
            self.mail.push((at, n, m, e));
        }
    }

    fn run(&mut self, from: Ms, until: Ms, mut each: impl FnMut(&mut World, Ms)) {
        for now in from..until {
            each(self, now);
            let (due, later): (Vec<_>, Vec<_>) =
                std::mem::take(&mut self.mail).into_iter().partition(|m| m.0 <= now);
            self.mail = later;
            for (_, from, to, e) in due {
                if self.cut.contains(&(from, to)) {
                    continue;
                }
                self.sites[to].keeper.iter_mut().for_each(|k| k.hear(now, e.clone()));
            }
            for n in 0..self.sites.len() {
                if now % 10 == n as Ms || self.sites[n].keeper.as_ref().is_some_and(|k| k.next_due() <= now) {
                    self.turn(now, n);
                }
            }
        }
    }

    /// What must hold of all that was seen.
    fn audit(&self, seed: u64) {
        for (id, attempts) in &self.seen.attempts {
            let once = self.seen.unsafe_ids.contains(id);
            assert!(!once || attempts.len() <= 1, "seed {seed}: {id} was sent again: {attempts:?}");
            for (k, a) in attempts.iter().enumerate() {
                for b in &attempts[k + 1..] {
                    assert!(a.0 == b.0 || b.1 >= a.2, "seed {seed}: {id} overlaps: {attempts:?}");
                }
            }
        }
        for (id, by) in &self.seen.taken {
            let ends = self.seen.ends.get(id);
            let said = || {
                let of =
                    |s: &Site| (s.own.get(id).cloned(), s.keeper.as_ref().and_then(|k| k.part(id).cloned()));
                self.sites.iter().map(of).collect::<Vec<_>>()
            };
            assert!(
                self.seen.alone.contains(id) || ends.is_some(),
                "seed {seed}: {id} of n{by} has no end: {:?} {:#?}",
                self.seen.attempts.get(id),
                said()
            );
        }
        // Nobody is left with another idea of an end.
        let mut last: BTreeMap<&str, Stage> = BTreeMap::new();
        for k in self.sites.iter().filter_map(|s| s.keeper.as_ref()) {
            for id in self.seen.taken.keys() {
                if let Some(stage) = k.knows(id) {
                    let first = *last.entry(id).or_insert(stage);
                    let all = || {
                        let of = |s: &Site| {
                            s.keeper.as_ref().and_then(|k| k.part(id)).map(|p| (p.copy.clone(), p.kind))
                        };
                        self.sites.iter().map(of).collect::<Vec<_>>()
                    };
                    assert_eq!(
                        first,
                        stage,
                        "seed {seed}: {id} differs: {:?} {:#?}",
                        self.seen.attempts.get(id),
                        all()
                    );
                }
            }
        }
    }
}

fn victim_of(seed: u64, count: usize) -> usize {
    (seed % count as u64) as usize
}

/// A history of faults: what happens is drawn from the seed.
fn history(seed: u64, count: usize) -> World {
    let mut w = World::new(count, seed);
    w.loss = [0.0, 0.02, 0.1][(seed % 3) as usize];
    let what = seed / 3 % 9;
    let second = (victim_of(seed, count) + 1) % count;
    let victim = victim_of(seed, count);
    let (from, until) = (4_000, 4_000 + w.rng.random_range(500..12_000));
    let mut taken = 0;
    w.run(0, 45_000, |w, now| {
        if now > 1_500 && now < 20_000 && now % 70 == 0 {
            let n = w.rng.random_range(0..count);
            let kind = if w.rng.random_bool(0.5) { Kind::Unsafe } else { Kind::Safe };
            taken += 1;
            w.take(now, n, format!("m{taken}"), kind);
        }
        match what {
            0 if now == from => w.kill(now, victim),
            1 | 2 if now == from => w.kill(now, victim),
            1 if now == until => w.start(now, victim, true),
            2 if now == until => w.start(now, victim, false),
            3 if now == from => {
                let side = |n: usize| n == victim || n == (victim + 1) % count && count > 3;
                let pairs = (0..count).flat_map(|a| (0..count).map(move |b| (a, b)));
                w.cut = pairs.filter(|(a, b)| side(*a) != side(*b)).collect();
            }
            3 if now == until => w.cut.clear(),
            // Only one way, which a split need not be.
            4 if now == from => w.cut = (0..count).map(|m| (victim, m)).filter(|p| p.0 != p.1).collect(),
            4 if now == until => w.cut.clear(),
            5 if now == from => drop(w.delay.insert(victim, 500)),
            // One forgets what it held and granted just before another dies for good; or comes back while that one is away.
            6 | 7 if now == from => w.kill(now, victim),
            6 | 7 if now == from + 150 => w.start(now, victim, what == 7),
            6 | 7 if now == from + 900 => w.kill(now, second),
            // It comes back with an older copy of its folder.
            8 if now == from - 400 => w.sites[victim].old = Some(w.sites[victim].own.clone()),
            8 if now == from + 1_000 => w.kill(now, victim),
            8 if now == until + 1_500 => {
                let old = w.sites[victim].old.take().unwrap_or_default();
                w.sites[victim].own = old;
                w.start(now, victim, true);
            }
            7 if now == until + 8_000 => w.start(now, second, true),
            _ => {}
        }
    });
    w
}

/// Seeds of histories with kills, returns with and without a folder, splits, one-way cuts and a slow peer, losses besides.
/// `SEEDS=1000 cargo test --release -p lilacbank-replica --test keeper`.
#[test]
fn no_message_is_acted_on_by_two_none_unsafe_is_sent_twice_and_each_has_an_end() {
    let seeds = std::env::var("SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(27u64);
    let first = std::env::var("FIRST").ok().and_then(|s| s.parse().ok()).unwrap_or(0u64);
    let (mut taken_over, mut taken, mut alone) = (0, 0, 0);
    for seed in first..first + seeds {
        let count = if seed % 2 == 0 { 3 } else { 5 };
        let w = history(seed, count);
        w.audit(seed);
        assert!(w.seen.alone.len() <= 4, "seed {seed}: {:?}", w.seen.alone);
        alone += w.seen.alone.len();
        taken_over += w.seen.taken_over;
        taken += w.seen.taken.len();
    }
    println!("{seeds} seeds, {taken} messages, {taken_over} taken over, {alone} lay nowhere else");
    assert!(taken_over > 0);
}

/// A keeper of an installation of its own (so it hears most of it), which hears words of a dispatcher `o`.
fn alone(born: u64) -> Keeper {
    let (me, address, installation) = ("a".to_string(), String::new(), "i".to_string());
    let (life, size, seeds, copies, most_bytes, seed, catch_up) = (1, 1, Vec::new(), 2, 1 << 20, 1, 0);
    Keeper::new(
        0,
        Spec { me, address, born, life, installation, size, seeds, copies, most_bytes, seed, catch_up },
    )
}

fn word(life: u64, say: Say) -> Envelope {
    Envelope { version: 1, installation: "i".into(), from: "o".into(), life, say: Some(say) }
}

/// A copy of an unsafe message of `o`, whose arbiter is `a` in that life of it.
fn unsafe_copy(arbiter_born: u64) -> WireCopy {
    WireCopy {
        id: "m".into(),
        holders: vec!["a".into()],
        owner: "o".into(),
        taker: "o".into(),
        once: true,
        valid_until: 60_000,
        arbiter_born,
        ..WireCopy::default()
    }
}

/// Guards against an arbiter that has forgotten what it granted, or started itself, and grants or starts it again.
#[test]
fn an_arbiter_grants_and_starts_only_what_its_own_life_was_told_of() {
    for (born, granted) in [(7, true), (6, false)] {
        let mut k = alone(7);
        k.hear(10, word(1, Say::Ask(unsafe_copy(born))));
        let said = k.take_out();
        assert_eq!(said.iter().any(|s| matches!(s.1.say, Some(Say::Grant(_)))), granted, "{said:?}");
        assert_eq!(said.iter().any(|s| matches!(s.1.say, Some(Say::Refuse(_)))), !granted, "{said:?}");
        let mut k = alone(7);
        k.hear(10, word(1, Say::Hold(unsafe_copy(born))));
        (0..80).for_each(|n| k.tick(n * 100));
        let steps: Vec<Step> = k
            .take_news()
            .into_iter()
            .filter_map(|n| if let News::Take(_, s) = n { Some(s) } else { None })
            .collect();
        assert_eq!(steps, [if granted { Step::Start } else { Step::GiveUp }]);
    }
}

/// Guards against a folder that is older than what went out of it: its reimbursement would go a second time.
#[test]
fn what_an_older_folder_does_not_know_to_have_begun_is_given_up() {
    for (stage, wanted) in [(1, true), (0, false)] {
        let mut k = alone(7);
        let content = Content { valid_until: 60_000, ..Content::default() };
        k.restored("m", content, Kind::Unsafe, Stage::Taken);
        let (holders, owner, taker) = (vec!["o".to_string()], "a".to_string(), "a".to_string());
        k.hear(10, word(1, Say::Hold(WireCopy { holders, owner, taker, stage, ..unsafe_copy(1) })));
        assert_eq!(k.take_news().contains(&News::GiveUp("m".into())), wanted);
        assert!(!k.may_act(20, "m"), "it is not settled yet, or over");
    }
}

/// Guards against copies for others beyond the bytes that the operators allow.
#[test]
fn copies_for_others_keep_within_their_bytes_and_are_forgotten() {
    let mut k = alone(7);
    for n in 0..20 {
        let (id, body) = (format!("m{n}"), vec![1; 100_000]);
        k.hear(10, word(1, Say::Hold(WireCopy { id, body, ..unsafe_copy(7) })));
    }
    assert_eq!((k.holds().1, k.counts.no_room), (10, 10));
    assert!(k.holds().2 <= 1 << 20);
    let ended =
        (0..10).map(|n| word(1, Say::Hold(WireCopy { id: format!("m{n}"), stage: 4, ..unsafe_copy(7) })));
    ended.for_each(|e| k.hear(20, e));
    assert!(k.holds().2 < 10_000, "what has ended keeps no body: {}", k.holds().2);
    (0..70).for_each(|n| k.tick(n * 1_000));
    assert_eq!((k.holds().1, k.holds().2), (0, 0));
}

/// Guards against a word of an old life, late on an old connection, that makes its writer a new one for all.
#[test]
fn words_of_lives_that_are_over_change_nothing() {
    let mut k = alone(7);
    let beat = || Say::Beat(Beat { at: 1, open: 0 });
    [(1, 5), (2, 6), (3, 5), (4, 6)].into_iter().for_each(|(now, life)| k.hear(now, word(life, beat())));
    let lives =
        k.take_news().into_iter().filter(|n| matches!(n, News::View(t) if t.contains("new life"))).count();
    assert_eq!((k.counts.stale, lives), (1, 1));
}

/// A measurement, not a check: of so many messages of one dispatcher another one lacks some; words, bytes, processor time and
/// simulated time until it has them all. `cargo test --release -p lilacbank-replica --test keeper -- --ignored --nocapture`
#[test]
#[ignore = "a measurement"]
fn catch_up_by_what_was_missed() {
    for (held, missed) in
        [(1_000, 1_000), (10_000, 10_000), (100_000, 100_000), (100_000, 10_000), (100_000, 1_000)]
    {
        let mut w = World::new(3, 1);
        (w.sites[2].keeper, w.sites[2].life) = (None, 0);
        let all: Vec<String> = (0..held).map(|n| format!("m{n}")).collect();
        let content = |to: &str| Content {
            taker: to.into(),
            class: "c".into(),
            valid_until: 10_000_000,
            body: vec![1; 200],
            ..Content::default()
        };
        let hold = |id: &String| {
            let c = content("n0");
            let holders = vec!["n2".to_string(), "n1".to_string()];
            let (id, taker, valid_until, body) = (id.clone(), c.taker, c.valid_until, c.body);
            let owner = taker.clone();
            Say::Hold(WireCopy { id, holders, owner, taker, valid_until, body, ..WireCopy::default() })
        };
        let from = |from: &str, life: u64, say: Say| Envelope {
            version: 1,
            installation: "i".into(),
            from: from.into(),
            life,
            say: Some(say),
        };
        // n1 holds them all for n0, which is not there; n2 comes and lacks some.
        w.kill(0, 0);
        let big = |w: &mut World, n: usize, ids: &[String]| {
            let k = w.sites[n].keeper.as_mut().unwrap();
            ids.iter().for_each(|id| k.hear(0, from("n0", 77, hold(id))));
            k.take_out();
        };
        big(&mut w, 1, &all);
        w.start(0, 2, false);
        big(&mut w, 2, &all[missed..]);
        let start = std::time::Instant::now();
        let before: u64 = w.sites.iter().filter_map(|s| s.keeper.as_ref()).map(|k| k.counts.bytes).sum();
        let mut now = 1;
        while now < 120_000 && w.sites[2].keeper.as_ref().unwrap().holds().1 < held {
            w.run(now, now + 10, |_, _| {});
            now += 10;
        }
        let after: u64 = w.sites.iter().filter_map(|s| s.keeper.as_ref()).map(|k| k.counts.bytes).sum();
        println!(
            "{missed} missed of {held}: {} MB said, {now} ms on the network, {} ms of processor, {} MB held",
            (after - before) / 1_000_000,
            start.elapsed().as_millis(),
            w.sites[2].keeper.as_ref().unwrap().holds().2 / 1_000_000
        );
    }
}

/// Guards against calls of a process that served beside this one, during an upgrade, that stand still for ever: they come when all
/// else has long been settled.
#[test]
fn what_is_left_after_the_start_is_settled_too() {
    let mut k = alone(7);
    (0..20).for_each(|n| k.tick(n * 100));
    assert!(k.take_news().contains(&News::CaughtUp(true)));
    k.restored("m", Content { valid_until: 60_000, ..Content::default() }, Kind::Safe, Stage::Taken);
    assert!(!k.may_act(2_000, "m"));
    (20..40).for_each(|n| k.tick(n * 100));
    assert!(k.may_act(4_000, "m") && k.take_news().contains(&News::Start("m".into())));
}

/// Guards against an older wish carried out after a newer one: it was heard, and an operator said otherwise here before the
/// dispatcher took the news. Then this dispatcher does what nobody wishes any more, and the others do the other.
#[test]
fn a_wish_that_was_heard_gives_way_to_one_said_here_before_it_was_taken() {
    let mut a = alone(1);
    a.hear(
        10,
        word(5, Say::Ban(Ban { id: "w1".into(), down: false, wall: 10, count: 0, writer: "o".into() })),
    );
    a.ban(11, "w1", true);
    let bans: Vec<News> = a.take_news().into_iter().filter(|n| matches!(n, News::Ban(..))).collect();
    assert!(bans.is_empty(), "{bans:?}");
    // Another endpoint's wish is kept, and so is a newer one.
    for (id, wall) in [("w2", 12), ("w1", 13)] {
        let ban = Ban { id: id.into(), down: true, wall, count: 0, writer: "o".into() };
        a.hear(wall, word(5, Say::Ban(ban)));
    }
    a.ban(14, "w3", true);
    let bans = a.take_news().into_iter().filter(|n| matches!(n, News::Ban(..))).count();
    assert_eq!(bans, 2);
}
