//! One dispatcher's keeper of copies: what it says to its peers, what it hears of them, and what follows for the messages
//! that it owns or holds for others. No I/O: it is told the time and what came, and gives back what to send and what to do.
//!
//! **Leases.** Each dispatcher tells each other one every [`BEAT_EVERY`] that it is there. Who heard so answers. An owner acts
//! on a message only while every other one that has a copy has answered within [`LEASE`], or counts as gone; nobody counts
//! one as gone that it has heard of within [`GONE_AFTER`], which is longer, and only while it hears of most of the
//! installation itself. So two sides of a split both take messages on, each with holders of its own side, and of one
//! message that lies on both sides only the side with the majority acts.
//!
//! **Grants.** An unsafe message is started only with its arbiter's grant (see [`crate::owner`]). An arbiter that has begun a
//! new life knows nothing of its grants and gives none for messages of before: the copy says which life it was.
//!
//! **Catch-up.** Two dispatchers compare what lies with both of them by [`crate::digest`], at first contact and now and then,
//! and send what differs, a few buckets at a time.

use crate::copies::{Content, Copy, End, Fence, Merged, Stage};
use crate::digest::{self, Tree, DEPTH, FAN};
use crate::owner::{Holes, Kind, Part, Step, Word};
use crate::view::{Node, Standing, Todo, View};
use crate::wire::{self, Beat, Buckets, Differ, Done, Envelope, Hashes, HeldAt, Say, WireCopy, VERSION};
use crate::Ms;
use prost::Message as _;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Each peer is told so often that this one is there.
pub const BEAT_EVERY: Ms = 250;
/// An owner counts on a peer for so long after it said the word that the peer answered.
pub const LEASE: Ms = 2_500;
/// A peer that was heard of within this does not count as gone, whatever the view says.
pub const GONE_AFTER: Ms = 3_000;
/// One that has not answered for so long is given no new copies.
const FRESH: Ms = 700;
/// Words that were not answered are said again after so long.
const AGAIN_EVERY: Ms = 500;
/// Copies of messages whose owner is gone are looked for so often.
const LOOK_EVERY: Ms = 200;
/// Two that have met are compared so often,
const COMPARE_EVERY: Ms = 5_000;
/// and a comparison that got stuck is begun anew after so long.
const COMPARE_MOST: Ms = 2_000;
/// Buckets that are asked for at once,
const WANT_MOST: usize = 64;
/// and hashes of entries that are said of them, at most.
const HAVE_MOST: usize = 65_536;
/// What lies with a peer is looked through anew after so long.
const TABLE_FOR: Ms = 500;
/// A copy without a final answer is kept for so long after its time.
const GRACE: Ms = 60_000;
/// Others' answers about a message are awaited for so long.
const LOOK_MOST: Ms = 150;
/// Lives of a peer that are over and still known.
const PAST_MOST: usize = 8;
/// Messages that are settled, or said again, in one look at most: a connection has to carry them.
const PACED_MOST: usize = 2_000;
/// Most messages that are told a peer in one go when it is heard of again.
const TOLD_AGAIN_MOST: usize = 50_000;

/// Who this dispatcher is, and how it keeps copies.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Its name.
    pub me: String,
    /// Where the others reach it.
    pub address: String,
    /// A number that no other life of it has, above 0.
    pub born: u64,
    /// Which of its lives, for the view: the higher one wins.
    pub life: u64,
    /// The installation; what comes from another one is refused.
    pub installation: String,
    /// How many dispatchers the installation has.
    pub size: usize,
    /// Names and addresses of those that are asked for the others.
    pub seeds: Vec<(String, String)>,
    /// Copies of each message beside the owner's.
    pub copies: usize,
    /// Bytes of copies held for others, at most.
    pub most_bytes: usize,
    /// For draws.
    pub seed: u64,
    /// After a start, restored messages wait so long at most to hear what became of them.
    pub catch_up: Ms,
}

/// What has come of it, for the dispatcher.
#[derive(Debug, Clone, PartialEq)]
pub enum News {
    /// For the log: what changed in the view.
    View(String),
    /// Another one holds a copy of this message.
    Held(String),
    /// This message may be started now.
    Start(String),
    /// This one's final answer is due, without a call.
    GiveUp(String),
    /// This message is another's now, or has ended there: nothing more is owed here.
    Leave(String),
    /// A message is this dispatcher's from now on: to be written down before anything is done for it.
    Take(Box<Copy>, Step),
    /// An endpoint was set down, or up.
    Ban(String, bool),
    /// What was restored is settled, or the time for it is over.
    CaughtUp(bool),
    /// All that were asked of this message have answered, or their time is over.
    Looked(String),
    /// Fresher evidence of a member than any that was here.
    Health(String, Learnt),
}

/// What was learnt of a member.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Learnt {
    /// Calls a second that it answered of late, at the one that says so.
    pub rate: f64,
    /// Since when it has been away, if it is.
    pub away: Option<Ms>,
    /// When that was learnt.
    pub at: Ms,
}

/// What it has counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Copies taken in for others.
    pub taken_in: u64,
    /// Messages taken over.
    pub taken_over: u64,
    /// Own messages left to another that has taken over.
    pub left: u64,
    /// Grants given.
    pub granted: u64,
    /// Grants refused.
    pub denied: u64,
    /// Two different final answers of one message.
    pub conflicts: u64,
    /// Copies that found no room.
    pub no_room: u64,
    /// Words that cannot be meant.
    pub nonsense: u64,
    /// Words of lives that are over, which came late.
    pub stale: u64,
    /// Messages of others asked about.
    pub queries: u64,
    /// Copies sent to a peer that lacked them.
    pub caught_up: u64,
    /// Bytes of frames said.
    pub bytes: u64,
    /// Messages that lay nowhere else when they were taken on.
    pub alone: u64,
}

#[derive(Debug, Default)]
struct Peer {
    address: Option<String>,
    /// Which of its lives; 0: never heard of.
    born: u64,
    heard: Option<Ms>,
    /// When the word was said that it answered last.
    leased: Option<Ms>,
    /// It has answered since the connection to it was last lost.
    fresh: bool,
    /// Lives of it that are over.
    past: Vec<u64>,
    /// Its own open messages, as it said last.
    open: u64,
    beat_at: Ms,
    gone: bool,
    /// It has to hear of passed fences before its lease is renewed.
    behind: bool,
    /// It and this one have compared once in this life of both.
    met: bool,
    round: Option<Round>,
    round_at: Ms,
    table: Option<Table>,
}

/// What lies with a peer and here, by buckets; it is not made anew for each word.
#[derive(Debug)]
struct Table {
    at: Ms,
    tree: Tree,
    ids: BTreeMap<u32, Vec<String>>,
}

/// A comparison that is on.
#[derive(Debug, Default)]
struct Round {
    since: Ms,
    /// Hashes that were said and not answered.
    open: usize,
    /// Buckets that differ, and whether some were asked for.
    wants: Vec<u32>,
    wanted: Vec<u32>,
}

/// See the module.
pub struct Keeper {
    spec: Spec,
    view: View,
    peers: BTreeMap<String, Peer>,
    parts: BTreeMap<String, Part>,
    bytes: usize,
    /// Own messages that others have not confirmed as they are now: whom, and when it was said last.
    unheard: BTreeMap<String, BTreeMap<String, Ms>>,
    /// Own unsafe messages whose arbiter was asked.
    asked: BTreeSet<String>,
    /// Own messages of an earlier life of which it is not known yet what became of them.
    unsettled: BTreeSet<String>,
    settled_by: Option<Ms>,
    /// Since when it hears of most of the installation.
    majority_since: Option<Ms>,
    /// Messages that others were asked about: who has not answered, and until when that is awaited.
    looking: BTreeMap<String, (BTreeSet<String>, Ms)>,
    /// Of each member: the freshest evidence, its own or another's.
    health: BTreeMap<String, Learnt>,
    /// Of each endpoint: the newest wish.
    bans: BTreeMap<String, (crate::clock::Stamp, bool)>,
    clock: crate::clock::Clock,
    out: Vec<(String, Envelope)>,
    news: Vec<News>,
    again_at: Ms,
    look_at: Ms,
    fade_at: Ms,
    /// What was done so far.
    pub counts: Counts,
}

impl Keeper {
    /// One that knows nobody yet; `now`: the wall clock.
    pub fn new(now: Ms, spec: Spec) -> Keeper {
        let node = |(name, address): &(String, String)| Node {
            name: name.clone(),
            address: address.clone(),
            life: 0,
        };
        let me = Node { name: spec.me.clone(), address: spec.address.clone(), life: spec.life };
        let view = View::new(now, me, spec.seeds.iter().map(node).collect(), spec.seed);
        let peer = |(name, address): &(String, String)| {
            (name.clone(), Peer { address: Some(address.clone()), ..Peer::default() })
        };
        let peers = spec.seeds.iter().filter(|s| s.0 != spec.me).map(peer).collect();
        Keeper {
            clock: crate::clock::Clock::new(&spec.me),
            settled_by: Some(now + spec.catch_up),
            view,
            peers,
            spec,
            parts: BTreeMap::new(),
            bytes: 0,
            unheard: BTreeMap::new(),
            asked: BTreeSet::new(),
            unsettled: BTreeSet::new(),
            majority_since: None,
            looking: BTreeMap::new(),
            health: BTreeMap::new(),
            bans: BTreeMap::new(),
            out: Vec::new(),
            news: Vec::new(),
            again_at: now,
            look_at: now,
            fade_at: now,
            counts: Counts::default(),
        }
    }

    /// What is to be said, and to whom.
    pub fn take_out(&mut self) -> Vec<(String, Envelope)> {
        std::mem::take(&mut self.out)
    }

    /// What is to be done.
    pub fn take_news(&mut self) -> Vec<News> {
        std::mem::take(&mut self.news)
    }

    /// Peers and where they are reached.
    pub fn addresses(&self) -> impl Iterator<Item = (&String, &String)> {
        self.peers.iter().filter_map(|(n, p)| Some((n, p.address.as_ref()?)))
    }

    /// All peers with how they stand.
    pub fn standing(&self) -> Vec<(String, &'static str)> {
        let seen: BTreeMap<String, Standing> =
            self.view.members().into_iter().map(|(n, s)| (n.name, s)).collect();
        let of = |(name, p): (&String, &Peer)| {
            let standing = match (p.gone, seen.get(name)) {
                (true, _) => "gone",
                // By the view, but this one is cut off itself, or has not been sure for long enough.
                (false, Some(Standing::Gone)) => "unheard",
                (false, Some(Standing::Alive)) => "alive",
                (false, Some(Standing::Suspect)) => "suspect",
                (false, None) => "unknown",
            };
            (name.clone(), standing)
        };
        self.peers.iter().map(of).collect()
    }

    /// Members that are away, by the freshest evidence of any dispatcher.
    pub fn away(&self) -> Vec<&str> {
        self.health.iter().filter(|h| h.1.away.is_some()).map(|h| h.0.as_str()).collect()
    }

    /// Messages of its own, copies held for others, and their bytes.
    pub fn holds(&self) -> (usize, usize, usize) {
        let own = self.parts.values().filter(|p| p.owns()).count();
        (own, self.parts.len() - own, self.bytes)
    }

    /// Does it hear of most of the installation?
    pub fn has_majority(&self, now: Ms) -> bool {
        let heard = self.peers.values().filter(|p| p.leased_at(now)).count();
        2 * (heard + 1) > self.spec.size
    }

    fn say(&mut self, to: &str, say: Say) {
        let envelope = Envelope {
            version: VERSION,
            installation: self.spec.installation.clone(),
            from: self.spec.me.clone(),
            life: self.spec.born,
            say: Some(say),
        };
        self.counts.bytes += envelope.encoded_len() as u64 + 8;
        self.out.push((to.to_string(), envelope));
    }

    /// On the wire a message's time is what is left of it: clocks differ.
    fn write(&self, now: Ms, part: &Part) -> WireCopy {
        let mut wire = WireCopy::from(&part.copy);
        wire.valid_until = part.copy.content.valid_until.saturating_sub(now);
        wire.once = part.kind == Kind::Unsafe;
        wire
    }

    fn hold(&mut self, now: Ms, to: &str, id: &str) {
        if let Some(wire) = self.parts.get(id).map(|p| self.write(now, p)) {
            self.say(to, Say::Hold(wire));
        }
    }

    /// All others that have a copy, or had it first.
    fn others(&self, part: &Part) -> Vec<String> {
        let all = std::iter::once(&part.copy.content.taker).chain(&part.copy.holders);
        all.filter(|n| **n != self.spec.me).cloned().collect()
    }

    /// Does it lie here and with that peer?
    fn lies_with(&self, part: &Part, peer: &str) -> bool {
        let (taker, holders) = (&part.copy.content.taker, &part.copy.holders);
        let has = |n: &str| taker == n || holders.iter().any(|h| h == n);
        has(peer) && has(&self.spec.me)
    }

    /// Says an own message as it is now to all others that have it.
    fn tell(&mut self, now: Ms, id: &str) {
        let Some(part) = self.parts.get(id) else { return };
        let others = self.others(part);
        let reached: BTreeMap<String, Ms> = others
            .iter()
            .filter(|o| self.peers.get(*o).is_some_and(|p| !p.gone))
            .map(|o| (o.clone(), now + AGAIN_EVERY))
            .collect();
        for to in reached.keys().cloned().collect::<Vec<_>>() {
            self.hold(now, &to, id);
        }
        if reached.is_empty() {
            self.unheard.remove(id);
        } else {
            self.unheard.insert(id.to_string(), reached);
        }
    }

    /// This dispatcher has taken a message on: its holders are chosen and told. True where it may be started at once.
    pub fn taken(&mut self, now: Ms, id: &str, content: Content, kind: Kind) -> bool {
        // Those of one key lie with the same ones, so that one of them takes all over, in their order.
        let name = content.key.map_or_else(|| xxh3_64(id.as_bytes()), |k| xxh3_64(&k.to_le_bytes()));
        let rank = |n: &String| (xxh3_64_with_seed(n.as_bytes(), name), n.clone());
        let is_near = |p: &Peer| p.fresh && p.leased.is_some_and(|t| now < t + FRESH);
        let mut near: Vec<(u64, String)> =
            self.peers.iter().filter(|(_, p)| is_near(p)).map(|(n, _)| rank(n)).collect();
        near.sort();
        let holders: Vec<String> = near.into_iter().rev().take(self.spec.copies).map(|n| n.1).collect();
        self.counts.alone += u64::from(holders.is_empty());
        let arbiter_born = holders.first().and_then(|h| self.peers.get(h)).map_or(0, |p| p.born);
        let content = Content { taker: self.spec.me.clone(), arbiter_born, ..content };
        let fence = Fence { epoch: 0, owner: self.spec.me.clone() };
        let copy = Copy { id: id.to_string(), holders, fence, stage: Stage::Taken, content };
        let me = self.spec.me.clone();
        self.put(Part::taken(&me, copy, kind));
        self.tell(now, id);
        self.want_grant(now, id)
    }

    /// An own message of an earlier life: nothing is done for it until the others have said what became of it.
    pub fn restored(&mut self, id: &str, content: Content, kind: Kind, stage: Stage) {
        let content = Content { taker: self.spec.me.clone(), ..content };
        let fence = Fence { epoch: 0, owner: self.spec.me.clone() };
        let copy = Copy { id: id.to_string(), holders: Vec::new(), fence, stage, content };
        let me = self.spec.me.clone();
        self.put(Part::taken(&me, copy, kind));
        self.unsettled.insert(id.to_string());
        if self.settled_by.is_none() {
            // Left by a process that served beside this one: the others are asked anew.
            self.settled_by = Some(0);
            self.peers.values_mut().for_each(|p| (p.met, p.round, p.round_at) = (false, None, 0));
        }
    }

    /// Asks for a grant where one is needed; true where none is.
    fn want_grant(&mut self, now: Ms, id: &str) -> bool {
        let Some(part) = self.parts.get(id) else { return true };
        match part.step(true) {
            Step::Ask(arbiter) => {
                let wire = self.write(now, part);
                self.asked.insert(id.to_string());
                self.say(&arbiter, Say::Ask(wire));
                false
            }
            _ => true,
        }
    }

    fn put(&mut self, part: Part) {
        let (id, size) = (part.copy.id.clone(), part.copy.size());
        self.bytes += size;
        if let Some(old) = self.parts.insert(id, part) {
            self.bytes -= old.copy.size();
        }
    }

    fn forget(&mut self, id: &str) {
        if let Some(old) = self.parts.remove(id) {
            self.bytes -= old.copy.size();
        }
        self.unheard.remove(id);
        self.asked.remove(id);
        self.unsettled.remove(id);
    }

    /// May an attempt of this message begin now? A message that it knows nothing of is not its concern.
    pub fn may_act(&self, now: Ms, id: &str) -> bool {
        let Some(part) = self.parts.get(id) else { return true };
        let majority = self.has_majority(now);
        let counted = |n: &String| self.peers.get(n).is_some_and(|p| p.gone && majority || p.leased_at(now));
        let lease = self.others(part).iter().all(counted);
        if self.unsettled.contains(id) || !lease || !part.owns() {
            return false;
        }
        // One that has begun is not asked about again: its outcome is the owner's to find out.
        part.copy.stage == Stage::Started && part.kind == Kind::Unsafe || part.step(lease) == Step::Start
    }

    /// Are there others on whom own messages wait? While there are none, nothing that is out has to be looked at.
    pub fn shaky(&self, now: Ms) -> bool {
        self.peers.values().any(|p| !p.gone && p.born != 0 && !p.leased_at(now))
    }

    /// An attempt of an own message begins.
    pub fn started(&mut self, now: Ms, id: &str) {
        let Some(part) = self.parts.get_mut(id) else { return };
        if part.copy.stage == Stage::Taken {
            part.started();
            self.tell(now, id);
        }
    }

    /// An own message has its final answer.
    pub fn ended(&mut self, now: Ms, id: &str, end: End) {
        let Some(part) = self.parts.get_mut(id).filter(|p| p.owns()) else { return };
        if matches!(part.copy.stage, Stage::Ended(_)) {
            return;
        }
        let before = part.copy.size();
        part.ended(end);
        part.copy.content.body = Vec::new();
        self.bytes = self.bytes + part.copy.size() - before;
        self.asked.remove(id);
        self.unsettled.remove(id);
        self.tell(now, id);
    }

    /// What a copy held here says of a message handed in: how far it has come, if another dispatcher took it on.
    pub fn knows(&self, id: &str) -> Option<Stage> {
        self.parts.get(id).map(|p| p.copy.stage)
    }

    /// What it knows of a message.
    pub fn part(&self, id: &str) -> Option<&Part> {
        self.parts.get(id)
    }

    /// Asks those that are there what they know of a message of which nothing is known here; false where there is nobody to
    /// ask. [`News::Looked`] says when they have answered.
    pub fn look_for(&mut self, now: Ms, id: &str) -> bool {
        let asked: BTreeSet<String> =
            self.peers.iter().filter(|(_, p)| p.fresh && p.leased_at(now)).map(|p| p.0.clone()).collect();
        if asked.is_empty() {
            return false;
        }
        self.counts.queries += 1;
        asked.iter().for_each(|to| self.say(to, Say::Query(id.to_string())));
        self.looking.insert(id.to_string(), (asked, now + LOOK_MOST));
        true
    }

    fn looked(&mut self, id: String) {
        if self.looking.remove(&id).is_some() {
            self.news.push(News::Looked(id));
        }
    }

    /// What was learnt of a member here; others hear of a change, and one that comes hears of all.
    pub fn learnt(&mut self, member: &str, learnt: Learnt) {
        let old = self.health.insert(member.to_string(), learnt);
        if old.map(|o| o.away.is_some()).unwrap_or(false) != learnt.away.is_some() {
            let to: Vec<String> = self.peers.keys().cloned().collect();
            to.iter().for_each(|p| self.tell_health(learnt.at, p, member));
        }
    }

    fn tell_health(&mut self, now: Ms, to: &str, member: &str) {
        let Some(l) = self.health.get(member) else { return };
        let age = now.saturating_sub(l.at);
        let away = l.away.map(|a| now.saturating_sub(a));
        let health = wire::Health { member: member.to_string(), rate: l.rate, away, age };
        self.say(to, Say::Health(health));
    }

    /// An operator set an endpoint down or up here.
    pub fn ban(&mut self, now: Ms, endpoint: &str, down: bool) {
        let stamp = self.clock.tick(now);
        self.bans.insert(endpoint.to_string(), (stamp, down));
        // Guards against an older wish that was heard and not yet taken from here: it would be carried out after this one.
        self.news.retain(|n| !matches!(n, News::Ban(id, _) if id == endpoint));
        let to: Vec<String> = self.peers.keys().cloned().collect();
        to.iter().for_each(|p| self.tell_ban(p, endpoint));
    }

    fn tell_ban(&mut self, to: &str, endpoint: &str) {
        let Some((stamp, down)) = self.bans.get(endpoint) else { return };
        let ban = wire::Ban {
            id: endpoint.to_string(),
            down: *down,
            wall: stamp.wall,
            count: stamp.count,
            writer: stamp.writer.clone(),
        };
        self.say(to, Say::Ban(ban));
    }

    /// This one leaves: the others hear so at once.
    pub fn leave(&mut self, now: Ms) {
        let todo = self.view.leave(now);
        self.todo(todo);
    }

    fn todo(&mut self, todo: Todo) {
        for (to, packet) in todo.sends {
            if let Some(p) = self.peers.get_mut(&to.name) {
                // An address that the operators wrote wins over one that was heard.
                p.address.get_or_insert_with(|| to.address.clone());
            } else if to.name != self.spec.me {
                let peer = Peer { address: Some(to.address.clone()), ..Peer::default() };
                self.peers.insert(to.name.clone(), peer);
            }
            self.say(&to.name, Say::Swim(packet));
        }
        for change in todo.changes {
            self.news.push(News::View(format!("{change:?}")));
        }
    }

    /// When [`Keeper::tick`] has something to do.
    pub fn next_due(&self) -> Ms {
        let beats = self.peers.values().map(|p| p.beat_at).chain(self.looking.values().map(|l| l.1));
        let own = [self.view.next_due(), self.look_at, self.fade_at];
        beats.chain(own).min().unwrap_or(self.look_at)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Ms) {
        if self.view.next_due() <= now {
            let todo = self.view.tick(now);
            self.todo(todo);
        }
        let late: Vec<String> = self.looking.iter().filter(|l| l.1 .1 <= now).map(|l| l.0.clone()).collect();
        late.into_iter().for_each(|id| self.looked(id));
        let beats = self.peers.values().any(|p| p.beat_at <= now);
        let is_open = |p: &&Part| p.owns() && !matches!(p.copy.stage, Stage::Ended(_));
        let open = if beats { self.parts.values().filter(is_open).count() as u64 } else { 0 };
        for name in self.peers.keys().cloned().collect::<Vec<_>>() {
            if self.peers[&name].beat_at <= now {
                self.peers.entry(name.clone()).and_modify(|p| p.beat_at = now + BEAT_EVERY);
                self.say(&name, Say::Beat(Beat { at: now, open }));
                self.compare_if_due(now, &name);
            }
        }
        if self.look_at <= now {
            self.look_at = now + LOOK_EVERY;
            self.count_gone(now);
            self.look(now);
            self.settle(now);
        }
        if self.again_at <= now {
            self.again_at = now + LOOK_EVERY;
            self.say_again(now);
        }
        if self.fade_at <= now {
            self.fade_at = now + 1_000;
            let over = |p: &Part| match p.copy.stage {
                Stage::Ended(_) => p.copy.content.valid_until < now,
                _ => p.copy.content.valid_until + GRACE < now,
            };
            let due: Vec<String> = self.parts.iter().filter(|p| over(p.1)).map(|p| p.0.clone()).collect();
            due.iter().for_each(|id| self.forget(id));
        }
    }

    /// Who counts as gone now.
    fn count_gone(&mut self, now: Ms) {
        let alive: BTreeSet<String> = self.view.alive().into_iter().collect();
        // One that was cut off itself counts nobody as gone before it had the time to hear of them again.
        let since = self.majority_since.take().unwrap_or(now);
        self.majority_since = self.has_majority(now).then_some(since);
        let majority = self.majority_since.is_some_and(|t| t + GONE_AFTER <= now);
        let mut lost = Vec::new();
        for (name, p) in &mut self.peers {
            let silent = p.heard.is_none_or(|t| t + GONE_AFTER <= now);
            let gone = majority && silent && p.born != 0 && !alive.contains(name);
            if gone && !p.gone {
                p.gone = true;
                p.behind = true;
                lost.push((name.clone(), p.open));
            }
        }
        for (name, open) in lost {
            let here = |p: &&Part| p.copy.fence.owner == name && !matches!(p.copy.stage, Stage::Ended(_));
            let here = self.parts.values().filter(here).count();
            // Where all that have a copy are gone together, this is all that is left to say of it.
            let text = format!("{name} counts as gone; it said last that {open} messages were open there, {here} have a copy here");
            self.news.push(News::View(text));
        }
    }

    fn is_gone(&self, name: &str) -> bool {
        self.peers.get(name).is_some_and(|p| p.gone)
    }

    /// Messages of owners that are gone: the first that lives takes over. Own ones whose arbiter is gone are given up.
    fn look(&mut self, now: Ms) {
        if !self.peers.values().any(|p| p.gone) {
            return;
        }
        let first = |p: &Part| {
            let mut order = std::iter::once(&p.copy.content.taker).chain(&p.copy.holders);
            order.find(|n| !self.is_gone(n)) == Some(&self.spec.me)
        };
        let due = |p: &&Part| {
            !matches!(p.copy.stage, Stage::Ended(_))
                && !p.owns()
                && self.is_gone(&p.copy.fence.owner)
                && first(p)
        };
        let due: Vec<String> = self.parts.values().filter(due).map(|p| p.copy.id.clone()).collect();
        due.iter().for_each(|id| self.take_over(now, id));
        let lost = |id: &&String| {
            let arbiter = self.parts.get(*id).and_then(|p| p.copy.holders.first());
            arbiter.is_some_and(|a| self.is_gone(a))
        };
        let lost: Vec<String> = self.asked.iter().filter(lost).cloned().collect();
        for id in lost {
            self.asked.remove(&id);
            self.news.push(News::GiveUp(id));
        }
    }

    fn take_over(&mut self, now: Ms, id: &str) {
        let born = self.spec.born;
        let Some(part) = self.parts.get_mut(id) else { return };
        // An arbiter of another life knows nothing of what it granted.
        let forgot = part.arbitrates() && part.copy.content.arbiter_born != born;
        let mut step = part.take_over();
        if part.kind == Kind::Unsafe && forgot && step == Step::Start {
            step = Step::GiveUp;
        }
        if step == Step::Leave {
            return;
        }
        if part.copy.content.valid_until <= now {
            // Its time was up before anybody could know: its final answer is owed all the same.
            step = Step::GiveUp;
        }
        self.counts.taken_over += 1;
        let copy = part.copy.clone();
        self.news.push(News::Take(Box::new(copy), step));
        self.tell(now, id);
    }

    /// Restored messages are settled once most of the others have told what they know.
    fn settle(&mut self, now: Ms) {
        let Some(by) = self.settled_by else { return };
        let near: Vec<&Peer> = self.peers.values().filter(|p| p.leased_at(now)).collect();
        let met = near.iter().filter(|p| p.met).count();
        let done = 2 * (met + 1) > self.spec.size && met == near.len();
        let alone = self.spec.size <= 1;
        if !(done || alone || now >= by) {
            return;
        }
        self.settled_by = None;
        self.news.push(News::CaughtUp(done || alone));
        if !(done || alone) {
            // It serves, but what is restored waits until most of the others are heard.
            if !self.unsettled.is_empty() {
                self.settled_by = Some(now + LOOK_EVERY);
            }
            return;
        }
        let later = self.unsettled.iter().nth(PACED_MOST).cloned();
        let rest = later.map(|l| self.unsettled.split_off(&l)).unwrap_or_default();
        if !rest.is_empty() {
            self.settled_by = Some(now);
        }
        for id in std::mem::replace(&mut self.unsettled, rest) {
            let Some(part) = self.parts.get(&id) else { continue };
            if part.copy.holders.is_empty() && part.copy.stage == Stage::Taken {
                // Nobody has a copy: it is as if it were taken now.
                let (content, kind) = (part.copy.content.clone(), part.kind);
                if self.taken(now, &id, content, kind) {
                    self.news.push(News::Start(id));
                }
            } else if self.want_grant(now, &id) {
                self.news.push(News::Start(id));
            }
        }
    }

    /// What was not confirmed, to those that are there.
    fn say_again(&mut self, now: Ms) {
        let mut due = Vec::new();
        for (id, whom) in &mut self.unheard {
            if due.len() >= PACED_MOST {
                break;
            }
            for (to, at) in whom.iter_mut().filter(|w| *w.1 <= now) {
                *at = now + AGAIN_EVERY;
                due.push((id.clone(), to.clone()));
            }
        }
        for (id, to) in due {
            if self.is_gone(&to) {
                self.confirm(&id, &to);
                continue;
            }
            self.hold(now, &to, &id);
            let arbiter = self.parts.get(&id).and_then(|p| p.copy.holders.first()).is_some_and(|a| *a == to);
            if arbiter && self.asked.contains(&id) {
                self.want_grant(now, &id);
            }
        }
        // A grant that was lost on its way.
        let due: Vec<String> =
            self.asked.iter().filter(|id| !self.unheard.contains_key(*id)).cloned().collect();
        for id in due {
            self.want_grant(now, &id);
        }
    }

    fn confirm(&mut self, id: &str, by: &str) {
        if let Some(whom) = self.unheard.get_mut(id) {
            whom.remove(by);
            if whom.is_empty() {
                self.unheard.remove(id);
            }
        }
    }

    /// A word came.
    pub fn hear(&mut self, now: Ms, e: Envelope) {
        if e.from == self.spec.me || e.from.is_empty() || e.life == 0 {
            self.counts.nonsense += 1;
            return;
        }
        let from = e.from;
        let peer = self.peers.entry(from.clone()).or_default();
        if peer.past.contains(&e.life) {
            self.counts.stale += 1;
            return;
        }
        peer.heard = Some(now);
        if peer.born != e.life {
            // Another life: what it knew is gone, until it is told.
            let again = peer.born != 0;
            let mut past = std::mem::take(&mut peer.past);
            past.extend(again.then_some(peer.born));
            past.drain(..past.len().saturating_sub(PAST_MOST));
            *peer = Peer {
                address: peer.address.take(),
                born: e.life,
                heard: Some(now),
                beat_at: now,
                ..Peer::default()
            };
            (peer.behind, peer.past) = (true, past);
            if again {
                self.news.push(News::View(format!("{from} is there in a new life")));
            }
            self.bans.keys().cloned().collect::<Vec<_>>().iter().for_each(|b| self.tell_ban(&from, b));
            let members: Vec<String> = self.health.keys().cloned().collect();
            members.iter().for_each(|m| self.tell_health(now, &from, m));
        }
        match e.say {
            Some(Say::Swim(packet)) => {
                let todo = self.view.heard(now, &packet);
                self.todo(todo);
            }
            Some(Say::Beat(b)) => {
                self.renew(now, &from);
                self.peers.entry(from.clone()).and_modify(|p| p.open = b.open);
                self.say(&from, Say::Beaten(b.at));
            }
            Some(Say::Query(id)) => {
                let known = self.parts.get(&id).map(|p| WireCopy { body: Vec::new(), ..self.write(now, p) });
                self.say(&from, Say::Known(known.unwrap_or(WireCopy { id, ..WireCopy::default() })));
            }
            Some(Say::Known(wire)) => self.heard_known(now, &from, wire),
            Some(Say::Health(h)) => {
                let at = now.saturating_sub(h.age);
                let fresher = self.health.get(&h.member).is_none_or(|l| l.at < at);
                if h.member.is_empty() || !h.rate.is_finite() || h.rate < 0.0 {
                    self.counts.nonsense += 1;
                } else if fresher {
                    let away = h.away.map(|a| now.saturating_sub(a));
                    let learnt = Learnt { rate: h.rate, away, at };
                    self.health.insert(h.member.clone(), learnt);
                    self.news.push(News::Health(h.member, learnt));
                }
            }
            Some(Say::Beaten(at)) if at <= now => {
                self.peers.entry(from).and_modify(|p| {
                    p.leased = p.leased.max(Some(at));
                    p.fresh = true;
                });
            }
            Some(Say::Hold(wire)) => self.heard_hold(now, &from, wire),
            Some(Say::Held(h)) => {
                let same =
                    |p: &Part| p.copy.fence.epoch == h.epoch && wire::stage_number(p.copy.stage).0 == h.stage;
                if self.parts.get(&h.id).is_some_and(same) {
                    self.confirm(&h.id, &from);
                }
                if self.parts.get(&h.id).is_some_and(Part::owns) {
                    self.news.push(News::Held(h.id));
                }
            }
            Some(Say::Ask(wire)) => self.heard_ask(now, &from, wire),
            Some(Say::Grant(wire)) => {
                let fence = Fence { epoch: wire.epoch, owner: wire.owner };
                if let Some(part) = self.parts.get_mut(&wire.id) {
                    part.heard_grant(&fence);
                    if part.has_grant && self.asked.remove(&wire.id) {
                        self.news.push(News::Start(wire.id));
                    }
                }
            }
            Some(Say::Refuse(wire)) => {
                let fence = Fence { epoch: wire.epoch, owner: wire.owner };
                let Some(part) = self.parts.get_mut(&wire.id).filter(|p| p.owns()) else { return };
                if !self.asked.remove(&wire.id) {
                    return;
                }
                match part.heard_refusal(&fence) {
                    Step::GiveUp => self.news.push(News::GiveUp(wire.id)),
                    _ => self.gone_from_here(&wire.id),
                }
            }
            Some(Say::Hashes(h)) => {
                let level = h.level.min(DEPTH);
                let differ = self
                    .table(now, &from)
                    .map_or_else(Vec::new, |t| t.tree.differing(level, h.at as usize, &h.hashes));
                let children = differ.into_iter().map(|c| c as u32).collect();
                self.say(&from, Say::Differ(Differ { level, children }));
            }
            Some(Say::Differ(d)) => self.heard_differ(now, &from, d),
            Some(Say::Want(b)) => {
                let mut have: BTreeSet<u64> = b.have.into_iter().take(HAVE_MOST).collect();
                let here = self.entries(now, &from, &b.at);
                here.into_iter()
                    .filter(|(_, h)| !have.remove(h))
                    .for_each(|(id, _)| self.push(now, &from, &id));
                let count = b.at.len() as u32;
                self.say(&from, Say::Done(Done { count, lacks: have.into_iter().collect() }));
            }
            Some(Say::Done(d)) => {
                let round = self.peers.get_mut(&from).and_then(|p| p.round.as_mut());
                let asked = round.map(|r| std::mem::take(&mut r.wanted)).unwrap_or_default();
                let lacks: BTreeSet<u64> = d.lacks.into_iter().take(HAVE_MOST).collect();
                if !lacks.is_empty() {
                    let here = self.entries(now, &from, &asked);
                    here.into_iter()
                        .filter(|e| lacks.contains(&e.1))
                        .for_each(|e| self.push(now, &from, &e.0));
                }
                self.go_on(now, &from);
            }
            Some(Say::Ban(b)) => {
                let stamp = crate::clock::Stamp { wall: b.wall, count: b.count, writer: b.writer };
                if b.id.is_empty() || !self.clock.hear(now, &stamp) {
                    self.counts.nonsense += 1;
                } else if self.bans.get(&b.id).is_none_or(|(s, _)| *s < stamp) {
                    self.bans.insert(b.id.clone(), (stamp, b.down));
                    self.news.push(News::Ban(b.id, b.down));
                }
            }
            Some(Say::Beaten(_)) | None => self.counts.nonsense += 1,
        }
    }

    /// A peer is heard of: one that counted as gone, or begins a life, hears first of all fences that have passed it.
    fn renew(&mut self, now: Ms, from: &str) {
        let Some(p) = self.peers.get_mut(from) else { return };
        if p.gone {
            p.gone = false;
            p.round_at = now;
            self.news.push(News::View(format!("{from} is back")));
        }
        if !std::mem::take(&mut p.behind) {
            return;
        }
        let passed =
            |p: &&Part| p.copy.fence.epoch > 0 && p.copy.fence.owner != *from && self.lies_with(p, from);
        let ids: Vec<String> =
            self.parts.values().filter(passed).take(TOLD_AGAIN_MOST).map(|p| p.copy.id.clone()).collect();
        ids.iter().for_each(|id| self.hold(now, from, id));
    }

    /// The connection to a peer is lost, and what was said on it may be: it hears of passed fences anew.
    pub fn lost(&mut self, name: &str) {
        self.peers.entry(name.to_string()).and_modify(|p| (p.behind, p.fresh) = (true, false));
    }

    /// Another owns the message: nothing is owed here any more.
    fn gone_from_here(&mut self, id: &str) {
        self.counts.left += 1;
        self.unheard.remove(id);
        self.asked.remove(id);
        self.unsettled.remove(id);
        self.news.push(News::Leave(id.to_string()));
    }

    /// A peer's answer about a message that was asked about: what it knows is kept, without the body, to answer from.
    fn heard_known(&mut self, now: Ms, from: &str, wire: WireCopy) {
        let id = wire.id.clone();
        let Some((asked, _)) = self.looking.get_mut(&id) else { return };
        asked.remove(from);
        let all = asked.is_empty();
        let kind = if wire.once { Kind::Unsafe } else { Kind::Safe };
        let copy = Some(wire).filter(|w| !w.owner.is_empty()).and_then(WireCopy::read);
        if let Some(mut copy) = copy.filter(|_| !self.parts.contains_key(&id)) {
            copy.content.valid_until = copy.content.valid_until.saturating_add(now);
            if self.bytes + copy.size() <= self.spec.most_bytes {
                let me = self.spec.me.clone();
                self.put(Part::taken(&me, copy, kind));
                return self.looked(id);
            }
        }
        if all {
            self.looked(id);
        }
    }

    fn heard_hold(&mut self, now: Ms, from: &str, wire: WireCopy) {
        let once = wire.once;
        let Some(mut copy) = wire.read() else {
            self.counts.nonsense += 1;
            return;
        };
        copy.content.valid_until = copy.content.valid_until.saturating_add(now);
        let id = copy.id.clone();
        let kind = if once { Kind::Unsafe } else { Kind::Safe };
        let me = self.spec.me.clone();
        let Some(part) = self.parts.get_mut(&id) else {
            if copy.content.taker == me && !matches!(copy.stage, Stage::Ended(_)) && copy.fence.owner == me {
                return self.remember_own(now, copy, kind);
            }
            if !copy.holders.contains(&me) && copy.content.taker != me {
                self.counts.nonsense += 1;
                return;
            }
            if matches!(copy.stage, Stage::Ended(_)) {
                copy.content.body = Vec::new();
            }
            if self.bytes + copy.size() > self.spec.most_bytes {
                self.counts.no_room += 1;
                return;
            }
            self.counts.taken_in += 1;
            self.held(from, &copy);
            return self.put(Part::taken(&me, copy, kind));
        };
        if part.copy.content.taker != copy.content.taker && self.unsettled.contains(&id) {
            // Taken over in an earlier life, and known to the folder as if it had been taken on here.
            part.copy.content.taker = copy.content.taker.clone();
            part.copy.content.arbiter_born = copy.content.arbiter_born;
            (part.copy.holders, part.copy.fence) = (copy.holders.clone(), copy.fence.clone());
            if copy.fence.owner != me {
                return self.gone_from_here(&id);
            }
        }
        if part.copy.content.taker != copy.content.taker {
            // Handed in at two dispatchers: each has its own, and the arbiter's grant settles it.
            return self.held(from, &copy);
        }
        // An older copy of its folder came back: what it had begun since may have run.
        let begun = part.kind == Kind::Unsafe
            && part.copy.stage == Stage::Taken
            && copy.stage == Stage::Started
            && part.copy.fence.owner == me
            && self.unsettled.contains(&id);
        let (owned, was_ended) = (part.owns(), matches!(part.copy.stage, Stage::Ended(_)));
        let before = part.copy.size();
        // After a start it may not have known who has copies.
        if part.copy.holders.is_empty() {
            part.copy.holders = copy.holders.clone();
            part.copy.content.arbiter_born = copy.content.arbiter_born;
        }
        let differ = part.heard(&copy, false, Holes::default()) == Merged::Conflict;
        if matches!(part.copy.stage, Stage::Ended(_)) {
            part.copy.content.body = Vec::new();
        }
        let owns = part.owns();
        let after = part.copy.clone();
        self.bytes = self.bytes + after.size() - before;
        if differ {
            self.counts.conflicts += 1;
            self.news.push(News::View(format!("{id} has two final answers; {:?} stays", after.stage)));
        }
        self.held(from, &after);
        if begun && owns {
            self.news.push(News::GiveUp(id));
        } else if owned && (!owns || !was_ended && matches!(after.stage, Stage::Ended(_))) {
            self.gone_from_here(&id);
        } else if (after.fence, after.stage) > (copy.fence, copy.stage) {
            // The one that says so has not heard of a later stage, or that it was passed.
            self.hold(now, from, &id);
        }
    }

    fn held(&mut self, to: &str, copy: &Copy) {
        let stage = wire::stage_number(copy.stage).0;
        self.say(to, Say::Held(HeldAt { id: copy.id.clone(), epoch: copy.fence.epoch, stage }));
    }

    /// A message of its own that its folder knows nothing of: it was lost with the folder, and is taken up again under a
    /// higher fence. An unsafe one is given up: nobody can prove that it never went out.
    fn remember_own(&mut self, now: Ms, mut copy: Copy, kind: Kind) {
        let round = copy.holders.len() as u64 + 1;
        copy.fence = Fence { epoch: (copy.fence.epoch / round + 1) * round, owner: self.spec.me.clone() };
        let step = if kind == Kind::Safe { Step::Start } else { Step::GiveUp };
        let (id, me) = (copy.id.clone(), self.spec.me.clone());
        self.counts.taken_over += 1;
        self.put(Part::taken(&me, copy.clone(), kind));
        self.news.push(News::Take(Box::new(copy), step));
        self.tell(now, &id);
    }

    fn heard_ask(&mut self, now: Ms, from: &str, wire: WireCopy) {
        let fence = Fence { epoch: wire.epoch, owner: wire.owner.clone() };
        let (id, born) = (wire.id.clone(), wire.arbiter_born);
        if !self.parts.contains_key(&id) {
            self.heard_hold(now, from, wire);
        }
        let mine = self.spec.born;
        let Some(part) = self.parts.get_mut(&id) else { return };
        let word = if born == mine { part.asked(&fence, Holes::default()) } else { Word::Refuse };
        let mut wire = self.parts.get(&id).map(|p| self.write(now, p)).unwrap_or_default();
        wire.body = Vec::new();
        if word == Word::Grant {
            self.counts.granted += 1;
            (wire.epoch, wire.owner) = (fence.epoch, fence.owner);
            self.say(from, Say::Grant(wire));
        } else {
            self.counts.denied += 1;
            self.say(from, Say::Refuse(wire));
        }
    }

    /// What lies with a peer and here; none where the peer is not known.
    fn table(&mut self, now: Ms, with: &str) -> Option<&Table> {
        let made = self.peers.get(with)?.table.as_ref().is_some_and(|t| t.at + TABLE_FOR > now);
        if !made {
            // What is forgotten soon, here or there, is no difference.
            let open = |p: &Part| {
                !matches!(p.copy.stage, Stage::Ended(_)) || p.copy.content.valid_until > now + 2_000
            };
            let both: Vec<&Copy> =
                self.parts.values().filter(|p| open(p) && self.lies_with(p, with)).map(|p| &p.copy).collect();
            let mut ids: BTreeMap<u32, Vec<String>> = BTreeMap::new();
            both.iter().for_each(|c| ids.entry(digest::bucket(&c.id) as u32).or_default().push(c.id.clone()));
            let table = Table { at: now, tree: Tree::of(both.into_iter()), ids };
            self.peers.get_mut(with)?.table = Some(table);
        }
        self.peers.get(with)?.table.as_ref()
    }

    /// Of these buckets what lies with a peer and here, each with the hash of its state.
    fn entries(&mut self, now: Ms, with: &str, buckets: &[u32]) -> Vec<(String, u64)> {
        let wanted: BTreeSet<u32> = buckets.iter().copied().take(WANT_MOST).collect();
        let Some(table) = self.table(now, with) else { return Vec::new() };
        let ids: Vec<String> =
            wanted.iter().filter_map(|b| table.ids.get(b)).flat_map(|ids| ids.iter().cloned()).collect();
        let state = |id: String| self.parts.get(&id).map(|p| digest::hash(&p.copy)).map(|h| (id, h));
        ids.into_iter().filter_map(state).collect()
    }

    fn push(&mut self, now: Ms, to: &str, id: &str) {
        self.counts.caught_up += 1;
        self.hold(now, to, id);
    }

    fn compare_if_due(&mut self, now: Ms, name: &str) {
        let Some(p) = self.peers.get_mut(name).filter(|p| p.leased_at(now)) else { return };
        let stuck = |r: &Round| r.since + COMPARE_MOST <= now;
        match &mut p.round {
            // A word was lost: what is known to differ is asked for before all is compared anew.
            Some(r) if stuck(r) && !r.wants.is_empty() => {
                r.open = 0;
                r.wanted.clear();
                return self.go_on(now, name);
            }
            Some(r) if !stuck(r) => return,
            None if p.round_at > now => return,
            _ => {}
        }
        p.round = Some(Round { since: now, open: 1, ..Round::default() });
        p.round_at = now + COMPARE_EVERY;
        p.table = None;
        let hashes = self.table(now, name).and_then(|t| t.tree.children(0, 0)).unwrap_or_default();
        self.say(name, Say::Hashes(Hashes { level: 0, at: 0, hashes }));
    }

    fn heard_differ(&mut self, now: Ms, from: &str, d: Differ) {
        let Some(r) = self.peers.get_mut(from).and_then(|p| p.round.as_mut()) else { return };
        r.open = r.open.saturating_sub(1);
        let most = FAN.pow((d.level + 1).min(DEPTH));
        let children: Vec<u32> = d.children.into_iter().filter(|c| (*c as usize) < most).take(FAN).collect();
        if d.level + 1 >= DEPTH {
            r.wants.extend(children);
        } else {
            r.open += children.len();
            for at in children {
                let tree = self.table(now, from).map(|t| &t.tree);
                let hashes = tree.and_then(|t| t.children(d.level + 1, at as usize)).unwrap_or_default();
                self.say(from, Say::Hashes(Hashes { level: d.level + 1, at, hashes }));
            }
        }
        self.go_on(now, from);
    }

    /// The next buckets of a comparison; with none left it is over.
    fn go_on(&mut self, now: Ms, with: &str) {
        let Some(p) = self.peers.get_mut(with) else { return };
        let Some(r) = p.round.as_mut().filter(|r| r.wanted.is_empty()) else { return };
        if r.wants.is_empty() {
            if r.open == 0 {
                p.round = None;
                p.met = true;
            }
            return;
        }
        let at: Vec<u32> = r.wants.split_off(r.wants.len().saturating_sub(WANT_MOST));
        (r.wanted, r.since) = (at.clone(), now);
        let have = self.entries(now, with, &at).into_iter().map(|e| e.1).take(HAVE_MOST).collect();
        self.say(with, Say::Want(Buckets { at, have }));
    }
}

impl Peer {
    fn leased_at(&self, now: Ms) -> bool {
        self.leased.is_some_and(|t| now < t + LEASE)
    }
}
