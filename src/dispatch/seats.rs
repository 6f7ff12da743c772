//! Seats: which tenants live in this dispatcher, and how one moves to another.
//!
//! What is decided between dispatchers is [`lilacbank_cells::moving`]; here it meets calls. A seat is written down before
//! what it orders is done. To drain a tenant, its messages are taken out of the module: what is out may end for a while,
//! then what may be repeated is cut, and what may not be stays here and ends here; its key waits at the other side until
//! it must have ended. So no move waits for a silent member. What was offered stays in this journal until the other side
//! serves it, and only then is it struck out: first the messages, then the seat.

use super::seats_read::SeatsRead;
use super::{Call, Core, Frozen, Order, Verdict};
use crate::api::*;
use crate::config::place;
use crate::guard::{self, CONFIRM_MOST};
use crate::journal::{CallNo, Ending, Record, Sent, Taken};
use lilacbank_cells::moving::{self, Faults, Input, Node, Phase, Refused, Seat, Word};
use lilacbank_cells::placement::{lives, Area};
use lilacbank_cells::wire::{
    self, Answer, Ask, Contents, Envelope, Held, Kind, Parked, Past, Report, SeatRecord, Wish,
};
use prost::Message as _;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// What is out when a move begins may end by itself for so long.
const DRAIN_PATIENCE: Ms = 500.0;
/// A message without order that has less time left than this ends where it is.
const NEAR: Ms = 1_000.0;
/// An offer that is not answered by then is taken back,
const OFFER_MOST: Ms = 5_000.0;
/// and in any case so long before the first of its messages would be late.
const OFFER_MARGIN: Ms = 400.0;
/// Words are said again after this, and after twice as long each time,
const AGAIN_FIRST: Ms = 100.0;
/// up to this.
const AGAIN_MOST: Ms = 1_000.0;
/// A tenant that is placed here for the first time is served after this, unless somebody says that it is served there.
const ASK_FOR: Ms = 1_000.0;
/// What a client is told to wait while a tenant is on its way,
const WAIT_MOVING: Ms = 100.0;
/// and before it asks at another dispatcher.
const WAIT_ELSEWHERE: Ms = 1.0;

/// Another dispatcher, or this one, as the map has it.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerSpec {
    /// Its name.
    pub name: String,
    /// Where other dispatchers reach it.
    pub peer: SocketAddr,
    /// Where its RESP2 clients connect.
    pub resp: Option<SocketAddr>,
    /// Where its MQTT clients connect.
    pub mqtt: Option<SocketAddr>,
}

/// The cell map as one dispatcher serves under it.
#[derive(Debug, Clone, PartialEq)]
pub struct MeshSpec {
    /// This dispatcher.
    pub me: String,
    /// The map's version.
    pub version: u64,
    /// All dispatchers.
    pub peers: Vec<PeerSpec>,
    /// The cells.
    pub areas: Vec<Area>,
}

impl MeshSpec {
    /// A dispatcher by its name.
    pub fn peer(&self, name: &str) -> Option<&PeerSpec> {
        self.peers.iter().find(|p| p.name == name)
    }
}

/// A tenant's seat, and what is not written down of it.
#[derive(Debug)]
struct Place {
    seat: Seat<Contents>,
    /// In this phase since.
    since: Ms,
    /// When words are said again, and after which pause then.
    tick_at: Ms,
    pause: Ms,
    /// Draining ends at the latest then.
    drain_until: Option<Ms>,
    /// Then endpoints know of all that was cut off.
    confirm_until: Option<Ms>,
    /// An offer is taken back then.
    offer_until: Ms,
    /// Since when messages stand still.
    still_since: Ms,
    /// For how long they stood in the last move that ended here.
    stood: Ms,
}

/// All seats of a dispatcher.
#[derive(Debug, Default)]
pub(super) struct Seats {
    spec: Option<MeshSpec>,
    /// Dispatchers by number; numbers hold for this process only.
    nodes: Vec<String>,
    of: BTreeMap<String, Place>,
    /// Tenants that are to be placed here, unless somebody says that they are served there: until when it is waited.
    asking: BTreeMap<String, Ms>,
    /// Tenants that are in the middle of a move.
    moving: BTreeSet<String>,
    /// Keys whose messages wait for one that ends where their tenant came from: until when, and whose.
    parked: HashMap<u64, (Ms, String)>,
    /// Keys that rest after an attempt that may still run: until when, and whose.
    rests: HashMap<u64, (Ms, String)>,
    /// Bytes of what was received, in a compacted journal.
    bytes: u64,
    ask_again: Ms,
}

impl Seats {
    pub(super) fn new(spec: Option<MeshSpec>) -> Seats {
        Seats { spec, ..Seats::default() }
    }

    fn node(&mut self, name: &str) -> Node {
        let at = self.nodes.iter().position(|n| n == name).unwrap_or_else(|| {
            self.nodes.push(name.to_string());
            self.nodes.len() - 1
        });
        at as Node
    }

    fn name(&self, node: Node) -> String {
        self.nodes.get(node as usize).cloned().unwrap_or_default()
    }

    fn me(&self) -> &str {
        self.spec.as_ref().map_or("", |s| s.me.as_str())
    }

    fn version(&self) -> u64 {
        self.spec.as_ref().map_or(0, |s| s.version)
    }

    /// Are there any moves, waits or questions under way?
    fn busy(&self) -> bool {
        !self.asking.is_empty() || !self.parked.is_empty() || !self.moving.is_empty()
    }

    /// Bytes that received contents need in the journal.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// A seat as it is written down, with the keys that wait.
    fn record(&self, tenant: &str, seat: &Seat<Contents>) -> SeatRecord {
        let own = self.parked.iter().filter(|(_, w)| w.1 == tenant);
        let parked = own.map(|(key, w)| Parked { key: *key, until: ms(w.0).saturating_add(1) }).collect();
        SeatRecord { parked, ..wire::record(tenant, seat, |n| self.name(n)) }
    }

    /// Keys that wait here for what ends elsewhere.
    fn park(&mut self, tenant: &str, keys: &[Parked]) {
        self.parked.extend(keys.iter().map(|k| (k.key, (k.until as Ms, tenant.to_string()))));
    }

    /// Takes up the keys that waited when an earlier process ended.
    pub(super) fn park_again(&mut self, now: Ms, read: &SeatsRead) {
        for (tenant, record) in &read.last {
            self.park(tenant, &record.parked);
        }
        self.parked.retain(|_, w| w.0 > now);
    }

    /// A seat is so from now on.
    fn put(&mut self, tenant: &str, place: Place) {
        match place.seat.is_moving() {
            true => self.moving.insert(tenant.to_string()),
            false => self.moving.remove(tenant),
        };
        self.of.insert(tenant.to_string(), place);
        self.reckon();
    }

    fn reckon(&mut self) {
        let received = |p: &Place| match &p.seat.phase {
            Phase::Received { contents, .. } => contents.encoded_len() as u64,
            _ => 0,
        };
        self.bytes = self.of.values().map(received).sum();
    }
}

fn fresh(now: Ms, seat: Seat<Contents>) -> Place {
    Place {
        seat,
        since: now,
        tick_at: now,
        pause: AGAIN_FIRST,
        drain_until: None,
        confirm_until: None,
        offer_until: f64::MAX,
        still_since: now,
        stood: 0.0,
    }
}

fn ms(t: Ms) -> u64 {
    t.max(0.0) as u64
}

/// Of an [`Ending`]: its number on the wire, and the wait.
fn ending_out(ending: Option<Ending>) -> (u32, u64) {
    match ending {
        Some(Ending::Delivered) => (0, 0),
        Some(Ending::GivenUp) => (1, 0),
        Some(Ending::HandedBack(wait)) => (2, ms(wait)),
        None => (3, 0),
    }
}

fn ending_in(past: &Past) -> Option<Ending> {
    match past.ending {
        0 => Some(Ending::Delivered),
        1 => Some(Ending::GivenUp),
        2 => Some(Ending::HandedBack(past.wait as Ms)),
        _ => None,
    }
}

fn phase_name<C>(phase: &Phase<C>) -> &'static str {
    match phase {
        Phase::Away { .. } => "away",
        Phase::Settled => "settled",
        Phase::Draining { .. } => "draining",
        Phase::Offered { .. } => "offered",
        Phase::Committed { .. } => "committed",
        Phase::Received { .. } => "received",
    }
}

fn other<C>(phase: &Phase<C>) -> Option<Node> {
    match phase {
        Phase::Away { at } => *at,
        Phase::Settled => None,
        Phase::Draining { to } | Phase::Offered { to, .. } | Phase::Committed { to, .. } => Some(*to),
        Phase::Received { from, .. } => Some(*from),
    }
}

impl Core {
    /// May tenants move between dispatchers at all?
    pub(super) fn may_move(&self) -> bool {
        self.seats.spec.is_some()
    }

    /// The tenant, where tenants may move; else nothing, which takes no room.
    pub(super) fn movable(&self, tenant: &str) -> String {
        if self.may_move() {
            tenant.to_string()
        } else {
            String::new()
        }
    }

    /// Is the tenant not served here, or not now?
    pub(super) fn is_elsewhere(&self, tenant: &str) -> bool {
        self.seats.of.get(tenant).is_some_and(|p| !p.seat.serves())
    }

    /// What a client of such a tenant is told.
    pub(super) fn elsewhere(&self, tenant: &str) -> Verdict {
        let busy = Verdict::Busy(WAIT_MOVING.min(self.settings.max_advice));
        let Some(place) = self.seats.of.get(tenant) else { return busy };
        let Phase::Away { at: Some(node) } = place.seat.phase else { return busy };
        let name = self.seats.name(node);
        let peer = self.seats.spec.as_ref().and_then(|s| s.peer(&name));
        let (resp, mqtt) = peer.map_or((None, None), |p| (p.resp, p.mqtt));
        Verdict::Elsewhere { wait: WAIT_ELSEWHERE, name, resp, mqtt }
    }

    /// Gives every tenant its seat, as it is written down or as the map has it. Messages are restored already.
    pub(super) fn open_seats(&mut self, now: Ms, read: SeatsRead) {
        let Some(spec) = self.seats.spec.clone() else { return };
        for (tenant, record) in read.last {
            let nodes = std::cell::RefCell::new(&mut self.seats);
            let seat = record.seat(|name| nodes.borrow_mut().node(name), |_| Contents::default());
            let Some(mut seat) = seat else {
                log::error!(tenant = tenant.as_str(); "the seat of '{tenant}' in the journal makes no sense");
                continue;
            };
            if let Phase::Offered { contents, .. } | Phase::Committed { contents, .. } = &mut seat.phase {
                *contents = self.contents_of(now, &tenant, now);
            }
            let mut place = fresh(now, seat);
            if let Phase::Offered { contents, .. } = &place.seat.phase {
                place.offer_until = offer_until(now, contents);
            }
            self.seats.put(&tenant, place);
        }
        self.place_new(now, &spec);
    }

    /// Tenants that have no seat yet.
    fn place_new(&mut self, now: Ms, spec: &MeshSpec) {
        let new: Vec<String> =
            self.names.tenants.iter().filter(|t| !self.seats.of.contains_key(*t)).cloned().collect();
        for tenant in new {
            let home = lives(&spec.areas, &tenant).map(|(_, at)| at.to_string());
            let at = match home {
                Some(home) if home == spec.me => {
                    self.seats.asking.insert(tenant.clone(), now + ASK_FOR);
                    None
                }
                home => home.map(|h| self.seats.node(&h)),
            };
            let seat = Seat::away(at);
            // Who is asked about is not written down before it is known: another start asks again.
            if at.is_some() {
                self.write_seat(&tenant, &seat);
            }
            self.seats.put(&tenant, fresh(now, seat));
        }
        if spec.peers.len() < 2 {
            self.seats.asking.values_mut().for_each(|t| *t = now);
        }
        self.seats.ask_again = now;
    }

    /// Takes a changed map over. It moves nobody who has a seat: that is done by a move.
    pub(super) fn change_map(&mut self, now: Ms, spec: Option<MeshSpec>) {
        if let (Some(new), Some(_)) = (spec, &self.seats.spec) {
            self.seats.spec = Some(new.clone());
            self.place_new(now, &new);
        }
    }

    fn write_seat(&mut self, tenant: &str, seat: &Seat<Contents>) -> bool {
        self.compact_if_full();
        self.append_seat(&self.seats.record(tenant, seat))
    }

    fn append_seat(&mut self, record: &SeatRecord) -> bool {
        let done = self.journal.append(&Record::Seat(record.encode_to_vec()));
        if let Err(e) = &done {
            log::error!(tenant = record.tenant.as_str(), cause:% = e; "a seat cannot be written down: {e}");
        }
        done.is_ok()
    }

    /// The seats for a journal that is written anew.
    pub(super) fn seat_records(&self) -> Vec<Record> {
        let known = self.seats.of.iter().filter(|(t, _)| !self.seats.asking.contains_key(*t));
        let record =
            |(tenant, p): (&String, &Place)| Record::Seat(self.seats.record(tenant, &p.seat).encode_to_vec());
        known.map(record).collect()
    }

    /// One step of a seat: written down first, then carried out.
    fn advance(&mut self, now: Ms, tenant: &str, input: Input<Contents>) -> Result<(), Refused> {
        let Some(place) = self.seats.of.get(tenant) else { return Err(Refused::NotOwner) };
        let old = &place.seat;
        let (seat, orders) = old.step(input, Faults::default())?;
        if seat != *old {
            let (was, old_epoch) = (phase_name(&old.phase), old.epoch);
            let handed = match (&old.phase, &seat.phase) {
                (Phase::Committed { contents, .. }, Phase::Away { .. }) => Some(contents.clone()),
                _ => None,
            };
            let adopted = match (&old.phase, &seat.phase) {
                (Phase::Received { contents, .. }, Phase::Settled) => Some(contents.clone()),
                _ => None,
            };
            // Messages that are served elsewhere go before the seat does: else a start in between would serve them here.
            handed.iter().for_each(|c| self.strike_out(now, c));
            let written = match &adopted {
                Some(contents) => self.adopt(now, tenant, &seat, contents),
                None => self.write_seat(tenant, &seat),
            };
            if !written {
                // As if nothing had been heard: it is said again.
                return Ok(());
            }
            let node = other(&seat.phase);
            let there = node.map(|n| self.seats.name(n)).unwrap_or_default();
            let (is, epoch) = (phase_name(&seat.phase), seat.epoch);
            if let Some(mut place) = self.seats.of.remove(tenant) {
                (place.since, place.tick_at, place.pause) = (now, now + AGAIN_FIRST, AGAIN_FIRST);
                if let Phase::Offered { contents, .. } = &seat.phase {
                    place.offer_until = offer_until(now, contents);
                }
                if !matches!(seat.phase, Phase::Draining { .. }) {
                    place.drain_until = None;
                }
                if let Some(c) = &adopted {
                    place.stood = (now - c.still_since as Ms).max(0.0);
                }
                place.seat = seat;
                self.seats.put(tenant, place);
            }
            self.seats.asking.remove(tenant);
            log::info!(tenant = tenant, phase = is, was = was, epoch = epoch, was_epoch = old_epoch, other = there.as_str(); "{tenant} is {is}");
            if adopted.is_some() {
                self.claim(tenant, None);
            }
        }
        orders.into_iter().for_each(|o| self.seat_order(now, tenant, o));
        Ok(())
    }

    fn seat_order(&mut self, now: Ms, tenant: &str, order: moving::Order<Contents>) {
        match order {
            moving::Order::Tell(node, word) => {
                let to = self.seats.name(node);
                let envelope = wire::envelope(self.seats.me(), &to, tenant, self.seats.version(), &word);
                self.orders.push(Order::Say { to, envelope: Box::new(envelope) });
            }
            moving::Order::Drain => self.drain_tenant(now, tenant),
            moving::Order::Resume => self.thaw_tenant(now, tenant),
            // An adoption has done it.
            moving::Order::Serve(_) => {}
            moving::Order::Forget => {
                let committed = |p: &Place| matches!(p.seat.phase, Phase::Committed { .. });
                // What was committed stays in the journal until the other side has said that it serves it.
                if !self.seats.of.get(tenant).is_some_and(committed) {
                    self.overtaken(now, tenant);
                }
            }
            // It ends here by itself.
            moving::Order::Finish => {}
        }
    }

    /// Tells a dispatcher, or all, that a tenant is served here.
    fn claim(&mut self, tenant: &str, only: Option<&str>) {
        let Some(place) = self.seats.of.get(tenant) else { return };
        let word = Word::Claim { epoch: place.seat.epoch };
        for to in self.others().into_iter().filter(|n| only.is_none_or(|o| o == n)) {
            let envelope = wire::envelope(self.seats.me(), &to, tenant, self.seats.version(), &word);
            self.orders.push(Order::Say { to, envelope: Box::new(envelope) });
        }
    }

    fn others(&self) -> Vec<String> {
        let Some(spec) = &self.seats.spec else { return Vec::new() };
        spec.peers.iter().map(|p| p.name.clone()).filter(|n| *n != spec.me).collect()
    }

    /// A connection to another dispatcher is up: it learns who is served here.
    pub fn peer_up(&mut self, name: &str) {
        let owned: Vec<String> =
            self.seats.of.iter().filter(|(_, p)| p.seat.owns()).map(|(t, _)| t.clone()).collect();
        owned.iter().for_each(|t| self.claim(t, Some(name)));
    }

    /// Something came from another dispatcher, or from a tool.
    pub fn hear(&mut self, now: Ms, conn: usize, e: Envelope) {
        self.now = now;
        let Ok(kind) = Kind::try_from(e.kind) else { return };
        if kind == Kind::Wish {
            let answer = match e.to == self.seats.me() {
                true => self.wish(now, &e.tenant, e.wish.as_ref()),
                false => Answer { refused: format!("this is {}", self.seats.me()), seats: Vec::new() },
            };
            let mut reply =
                wire::plain(self.seats.me(), &e.from, &e.tenant, self.seats.version(), Kind::Answer);
            reply.answer = Some(answer);
            return self.orders.push(Order::Reply { conn, envelope: Box::new(reply) });
        }
        if e.to != self.seats.me() || e.from == e.to {
            return log::warn!(from = e.from.as_str(), to = e.to.as_str(); "a word for another dispatcher came here");
        }
        if e.map > self.seats.version() {
            log::warn!(from = e.from.as_str(), version = e.map; "'{}' serves under version {} of the map; here it is {}", e.from, e.map, self.seats.version());
        }
        let from = self.seats.node(&e.from);
        match kind {
            Kind::Whose => {
                let theirs = |p: &Place| p.seat.owns() || matches!(p.seat.phase, Phase::Committed { .. });
                if self.seats.of.get(&e.tenant).is_some_and(theirs) {
                    self.claim(&e.tenant, Some(&e.from));
                }
            }
            Kind::NoRoom => {
                let offered = |p: &Place| {
                    p.seat.epoch + 1 == e.epoch
                        && matches!(p.seat.phase, Phase::Offered { to, .. } if to == from)
                };
                if self.seats.of.get(&e.tenant).is_some_and(offered) {
                    log::warn!(tenant = e.tenant.as_str(), other = e.from.as_str(), cause = e.why.as_str(); "'{}' does not take '{}': {}", e.from, e.tenant, e.why);
                    let _ = self.advance(now, &e.tenant, Input::Abort);
                }
            }
            _ => match e.word() {
                Ok(word) => self.word(now, &e, from, word),
                Err(why) => {
                    log::warn!(from = e.from.as_str(), cause:% = why; "a word is not understood: {why}")
                }
            },
        }
    }

    fn word(&mut self, now: Ms, e: &Envelope, from: Node, word: Word<Contents>) {
        let tenant = e.tenant.as_str();
        let refuse = match (&word, self.seats.of.get(tenant)) {
            (Word::Offer { .. }, None) => Some("the tenant is not configured here".to_string()),
            (Word::Offer { contents, .. }, Some(p)) if matches!(p.seat.phase, Phase::Away { .. }) => {
                self.cannot_take(contents)
            }
            (Word::Claim { epoch }, Some(p))
                if *epoch == p.seat.epoch
                    && p.seat.phase == Phase::Settled
                    && e.from.as_str() < self.seats.me() =>
            {
                log::warn!(tenant = tenant, other = e.from.as_str(); "'{tenant}' was placed here and at '{}', which keeps it", e.from);
                let _ = self.advance(now, tenant, Input::Yield(from));
                None
            }
            _ => None,
        };
        if let Some(why) = refuse {
            let mut no = wire::plain(self.seats.me(), &e.from, tenant, self.seats.version(), Kind::NoRoom);
            (no.epoch, no.why) = (e.epoch, why);
            return self.orders.push(Order::Say { to: e.from.clone(), envelope: Box::new(no) });
        }
        let _ = self.advance(now, tenant, Input::Heard(from, word));
    }

    /// Why what is offered cannot be held here.
    fn cannot_take(&self, c: &Contents) -> Option<String> {
        let size = c.encoded_len() as u64;
        let needed = self.live_bytes + self.once.bytes() + self.seats.bytes + 2 * size;
        if !self.journal.has_room(needed) {
            return Some(format!("there is no room for {size} bytes in the journal"));
        }
        if self.calls.len() + c.held.len() > self.settings.max_held {
            return Some(format!("there is no room for {} messages", c.held.len()));
        }
        let strange = c.held.iter().find(|h| place(&self.names.classes, &h.class).is_none());
        strange.map(|h| format!("the class '{}' is not configured here", h.class))
    }

    fn wish(&mut self, now: Ms, tenant: &str, wish: Option<&Wish>) -> Answer {
        let ask = wish.and_then(|w| Ask::try_from(w.ask).ok()).unwrap_or(Ask::None);
        let to = wish.map_or("", |w| w.to.as_str());
        let known = tenant.is_empty() && ask == Ask::Status || self.seats.of.contains_key(tenant);
        let target = self.seats.spec.as_ref().and_then(|s| s.peer(to)).is_some();
        let refused = match ask {
            _ if !known => Some(format!("there is no tenant '{tenant}' here")),
            Ask::Status => None,
            Ask::Move if to == self.seats.me() => match self.is_elsewhere(tenant) {
                true => Some(format!("'{tenant}' is not served here; ask the dispatcher that serves it")),
                false => Some(Refused::Here.to_string()),
            },
            Ask::Move if !target => Some(format!("the map has no dispatcher '{to}'")),
            Ask::Move => {
                let node = self.seats.node(to);
                self.advance(now, tenant, Input::Move(node)).err().map(|e| e.to_string())
            }
            Ask::Abort => self.advance(now, tenant, Input::Abort).err().map(|e| e.to_string()),
            Ask::Reclaim => self.advance(now, tenant, Input::Reclaim).err().map(|e| e.to_string()),
            Ask::None => Some("this wish is not known here".into()),
        };
        Answer { refused: refused.unwrap_or_default(), seats: self.reports(now, tenant) }
    }

    /// How the seats are: of one tenant, or of all.
    fn reports(&self, now: Ms, tenant: &str) -> Vec<Report> {
        let mut held: HashMap<&str, (u64, u64)> = HashMap::new();
        for c in self.calls.values().filter(|c| c.ending.is_none()) {
            let count = held.entry(&c.taken.tenant).or_default();
            *count = (count.0 + 1, count.1 + u64::from(c.frozen.is_some()));
        }
        let wanted = self.seats.of.iter().filter(|(t, _)| tenant.is_empty() || *t == tenant);
        let report = |(tenant, p): (&String, &Place)| {
            let asking = self.seats.asking.contains_key(tenant);
            let (held, still) = held.get(tenant.as_str()).copied().unwrap_or_default();
            Report {
                tenant: tenant.clone(),
                phase: if asking { "asking" } else { phase_name(&p.seat.phase) }.into(),
                other: other(&p.seat.phase).map(|n| self.seats.name(n)).unwrap_or_default(),
                epoch: p.seat.epoch,
                held,
                still,
                since: ms(now - p.since),
                stood: ms(p.stood),
            }
        };
        wanted.map(report).collect()
    }

    /// Takes a tenant's messages out of the module; what is out may end.
    fn drain_tenant(&mut self, now: Ms, tenant: &str) {
        let Some(p) = self.seats.of.get_mut(tenant).filter(|p| p.drain_until.is_none()) else { return };
        (p.drain_until, p.confirm_until) = (Some(now + DRAIN_PATIENCE), None);
        p.still_since = now;
        let mut gone = Vec::new();
        for (no, c) in self.calls.iter_mut().filter(|(_, c)| c.taken.tenant == tenant && c.ending.is_none()) {
            let near = c.taken.valid_until - now < NEAR && c.taken.key.is_none();
            match c.frozen {
                None if !near => {
                    gone.push((c.cell, *no));
                    c.frozen = Some(Frozen::Moving);
                }
                Some(Frozen::Parked) => c.frozen = Some(Frozen::Moving),
                _ => {}
            }
        }
        gone.into_iter().for_each(|(cell, no)| self.cells.post(cell, Event::ClientGone(no)));
    }

    /// A move was taken back: the module has the messages again, in their order.
    fn thaw_tenant(&mut self, now: Ms, tenant: &str) {
        if let Some(p) = self.seats.of.get_mut(tenant) {
            p.stood = now - p.still_since;
        }
        let moving = |c: &Call| c.taken.tenant == tenant && c.frozen == Some(Frozen::Moving);
        let mut back = self.those(moving);
        // What was left holds its key in the module until it has ended.
        back.retain(|no| self.cut_or_leave(now, *no));
        back.iter().for_each(|no| self.conclude_any(now, *no));
        self.park_resting(now, tenant);
        for no in back {
            self.calls.entry(no).and_modify(|c| c.frozen = Some(Frozen::Parked));
            self.thaw_if_free(no);
        }
    }

    /// Keys of a tenant that rest go on resting: the module did not have their calls, and knows of no rest.
    fn park_resting(&mut self, now: Ms, tenant: &str) {
        let rests = self.seats.rests.iter().filter(|(_, rest)| rest.0 > now && rest.1 == tenant);
        for (key, rest) in rests.map(|(key, rest)| (*key, rest.clone())).collect::<Vec<_>>() {
            let parked = self.seats.parked.entry(key).or_insert_with(|| rest.clone());
            parked.0 = parked.0.max(rest.0);
        }
    }

    /// The numbers of calls that are so, in the order in which they were taken.
    fn those(&self, are: impl Fn(&Call) -> bool) -> Vec<CallNo> {
        self.calls.iter().filter(|(_, c)| are(c)).map(|(no, _)| *no).collect()
    }

    /// Of a call whose tenant moves, or does not after all, cuts off what is out if it may be repeated or has not begun. Else
    /// it is left: it ends here by itself.
    fn cut_or_leave(&mut self, now: Ms, no: CallNo) -> bool {
        let out = self.calls.get(&no).and_then(|c| c.out.as_ref()).map(|o| (o.attempt, o.written));
        let Some((attempt, written)) = out else { return true };
        let leave = written && self.is_unsafe(no);
        match leave {
            true => drop(self.calls.entry(no).and_modify(|c| c.frozen = Some(Frozen::Behind))),
            false => self.cancel(now, no, attempt),
        }
        !leave
    }

    fn is_broken_off(&self, no: CallNo) -> bool {
        let out = self.calls.get(&no).and_then(|c| c.out.as_ref());
        out.is_some_and(|o| o.broken_off.is_some())
    }

    /// A tenant that drains stays for as long as endpoints may need to know of ends; false once it has.
    fn wait_once_more(&mut self, now: Ms, tenant: &str) -> bool {
        let Some(place) = self.seats.of.get_mut(tenant) else { return false };
        let until = *place.confirm_until.get_or_insert(guard::confirmed_by(now));
        place.drain_until = Some(until);
        now < until
    }

    /// What was cut off here has ended, whether or not its endpoint knows yet: the rules keep it back until then.
    fn conclude_any(&mut self, now: Ms, no: CallNo) {
        if let Some(attempt) = self.calls.get(&no).and_then(|c| Some(c.out.as_ref()?.attempt)) {
            self.conclude(now, no, attempt);
        }
    }

    /// Gives a call back to the module, unless others of its key must end first.
    fn thaw_if_free(&mut self, no: CallNo) {
        if self.calls.get(&no).is_some_and(|c| c.ending.is_none() && !self.is_parked(c.taken.key)) {
            self.resume(no);
        }
    }

    fn is_unsafe(&self, no: CallNo) -> bool {
        let class = self.calls.get(&no).and_then(|c| place(&self.names.classes, &c.taken.class));
        class.is_none_or(|c| self.settings.classes[c].effect == Effect::Unsafe)
    }

    /// Must a message of this key wait here for one that ends elsewhere?
    pub(super) fn is_parked(&self, key: Option<u64>) -> bool {
        key.is_some_and(|k| self.seats.parked.contains_key(&k))
    }

    /// A key rests after an attempt that may still run.
    pub(super) fn note_rest(&mut self, now: Ms, no: CallNo, outcome: Outcome) {
        if self.seats.spec.is_none()
            || !matches!(outcome, Outcome::Late | Outcome::Reset | Outcome::Cancelled)
        {
            return;
        }
        let Some((key, tenant)) = self.calls.get(&no).map(|c| (c.taken.key, c.taken.tenant.clone())) else {
            return;
        };
        self.rest_key(now, key, &tenant, now + self.settings.key_quiet);
    }

    /// A key of a tenant rests until then, also where the tenant goes.
    pub(super) fn rest_key(&mut self, now: Ms, key: Option<u64>, tenant: &str, until: Ms) {
        if let (Some(key), true) = (key, self.seats.spec.is_some()) {
            self.seats.rests.retain(|_, r| r.0 > now);
            self.seats.rests.insert(key, (until, tenant.to_string()));
        }
    }

    /// A message that stayed here while its tenant moved has come back without a delivery: the module knows it no more.
    pub(super) fn end_behind(&mut self, now: Ms, no: CallNo) {
        if self.calls.get(&no).is_some_and(|c| c.frozen == Some(Frozen::Behind) && c.out.is_none()) {
            self.end_unsent(now, no);
        }
    }

    /// Ends a call that the module does not have: without a promise if it may have run.
    fn end_unsent(&mut self, now: Ms, no: CallNo) {
        let ran = self.calls.get(&no).is_some_and(|c| c.ran.is_some());
        self.finish(now, no, if ran { Ending::GivenUp } else { Ending::HandedBack(0.0) });
    }

    /// All that is handed over of a tenant; what stays here shows in its keys and in what is past.
    fn contents_of(&self, now: Ms, tenant: &str, still_since: Ms) -> Contents {
        let goes = |c: &Call| c.frozen == Some(Frozen::Moving) && c.out.is_none() && c.ending.is_none();
        let own = || self.calls.iter().filter(|(_, c)| c.taken.tenant == tenant);
        let mut contents = Contents { still_since: ms(still_since), ..Contents::default() };
        let mut parked: BTreeMap<u64, u64> = BTreeMap::new();
        for (no, c) in own() {
            let t = &c.taken;
            let name = self.once.name(&t.class, &t.idempotency, &t.identity.1);
            if goes(c) {
                contents.held.push(Held {
                    client: t.identity.0.clone(),
                    id: t.identity.1.clone(),
                    class: t.class.clone(),
                    key: t.key,
                    idempotency: t.idempotency.clone(),
                    dest: t.dest,
                    valid_until: ms(t.valid_until),
                    reply: t.reply.clone(),
                    body: t.body.clone(),
                    attempts: c.attempts,
                    ran_at: c.ran.as_ref().map(|s| ms(s.at)),
                    ran_in: c.ran.as_ref().map(|s| s.zone.clone()).unwrap_or_default(),
                    no: *no,
                });
                continue;
            }
            if let Some(key) = t.key {
                // Until its end is known and heard, by its endpoint too, it may come before what follows it.
                let unconfirmed = if c.out.is_some() { CONFIRM_MOST } else { 0.0 };
                let until = ms(t.valid_until.max(now) + unconfirmed + self.settings.key_quiet);
                parked.entry(key).and_modify(|u| *u = (*u).max(until)).or_insert(until);
            }
            let until = ms(t.valid_until + self.once.span(&t.class));
            contents.past.extend(name.map(|id| Past { id, name: true, ending: 1, until, ..Past::default() }));
        }
        let waits = self.seats.parked.iter().chain(&self.seats.rests);
        for (key, (until, _)) in waits.filter(|(_, w)| w.0 > now && w.1 == tenant) {
            let until = ms(*until).saturating_add(1);
            parked.entry(*key).and_modify(|u| *u = (*u).max(until)).or_insert(until);
        }
        contents.parked = parked.into_iter().map(|(key, until)| Parked { key, until }).collect();
        let goes_no = |no: &CallNo| self.calls.get(no).is_some_and(goes);
        for (identity, k) in self.known.iter().filter(|(_, k)| k.tenant == tenant && !goes_no(&k.no)) {
            let (ending, wait) = ending_out(k.ending);
            let (client, id) = identity.clone();
            contents.past.push(Past { client, id, name: false, ending, wait, until: ms(k.until) });
        }
        for (name, ending, until, _) in self.once.ends().filter(|e| e.3 == tenant) {
            let (ending, wait) = ending_out(Some(ending));
            let (client, id) = (String::new(), name.clone());
            contents.past.push(Past { client, id, name: true, ending, wait, until: ms(until) });
        }
        contents
    }

    /// Messages are somebody else's: nothing is told of them here.
    fn strike_out(&mut self, now: Ms, contents: &Contents) {
        for h in &contents.held {
            let Some(c) = self.take_out(now, h.no) else { continue };
            let name = self.once.name(&c.taken.class, &c.taken.idempotency, &c.taken.identity.1);
            name.iter().for_each(|n| self.once.forget(n));
            self.forget_identity(&c.taken.identity);
            self.note(&Record::Over { no: h.no, until: 0.0 });
        }
    }

    /// This dispatcher served from an old folder, or under an old map, and the tenant has gone on without it. What it holds
    /// may have run elsewhere: it is given up, and its clients hear so.
    fn overtaken(&mut self, now: Ms, tenant: &str) {
        let own = |c: &Call| c.taken.tenant == tenant && c.ending.is_none();
        for no in self.those(own) {
            let Some(c) = self.calls.get_mut(&no) else { continue };
            let (cell, known, out) = (c.cell, c.frozen.is_none(), c.out.is_some());
            c.frozen = Some(Frozen::Behind);
            if known {
                self.cells.post(cell, Event::ClientGone(no));
            }
            if !out {
                self.finish(now, no, Ending::GivenUp);
            }
        }
    }

    /// Writes down what was received, as messages of this journal. Until the last record stands, none of it counts.
    fn adopt(&mut self, now: Ms, tenant: &str, seat: &Seat<Contents>, contents: &Contents) -> bool {
        self.compact_if_full();
        let parked = contents.parked.clone();
        let settled = SeatRecord { parked, ..wire::record(tenant, seat, |n| self.seats.name(n)) };
        let first = self.next_no;
        let begun = SeatRecord { adopts_from: Some(first), ..settled.clone() };
        if !self.append_seat(&begun) {
            return false;
        }
        self.next_no += contents.held.len() as CallNo;
        let cell = self.cells.of(tenant);
        let mut calls = Vec::new();
        for (h, no) in contents.held.iter().zip(first..) {
            let taken = Taken {
                no,
                identity: (h.client.clone(), h.id.clone()),
                class: h.class.clone(),
                tenant: tenant.into(),
                key: h.key,
                idempotency: h.idempotency.clone(),
                dest: h.dest,
                valid_until: h.valid_until as Ms,
                reply: h.reply.clone(),
                body: h.body.clone(),
            };
            let ran = h.ran_at.map(|at| Sent { at: at as Ms, zone: h.ran_in.clone() });
            let record = Record::Taken(taken);
            let size = record.size() + super::admit::MARGIN;
            let state = Record::State { no, attempts: h.attempts, ran: ran.clone(), out: None };
            let both = [Some(&record), (h.attempts > 0).then_some(&state)];
            for r in both.into_iter().flatten() {
                if let Err(e) = self.journal.append(r) {
                    log::error!(tenant = tenant, cause:% = e; "what was handed over cannot be written down: {e}");
                    return false;
                }
            }
            let Record::Taken(taken) = record else { return false };
            let frozen = Some(Frozen::Parked);
            calls.push(Call {
                taken,
                attempts: h.attempts,
                last: None,
                ran,
                out: None,
                ending: None,
                cell,
                size,
                frozen,
                unheard: None,
            });
        }
        // Before the seat is settled: a crash behind that would leave messages here that are never to run again.
        for past in &contents.past {
            if let Err(e) = self.journal.append(&past_record(tenant, past)) {
                log::error!(tenant = tenant, cause:% = e; "what is past cannot be written down: {e}");
                return false;
            }
        }
        if !self.append_seat(&settled) {
            return false;
        }
        self.seats.park(tenant, &contents.parked);
        // From here on a journal that is written anew must tell of what was written here.
        if let Some(place) = self.seats.of.get_mut(tenant) {
            place.seat = seat.clone();
        }
        for mut call in calls {
            call.frozen = self.is_parked(call.taken.key).then_some(Frozen::Parked);
            self.hold_again(now, call);
        }
        contents.past.iter().for_each(|past| self.remember_past(now, tenant, past));
        true
    }

    /// What ended where the tenant came from is known here, too.
    fn remember_past(&mut self, now: Ms, tenant: &str, past: &Past) {
        let (until, ending) = (past.until as Ms, ending_in(past));
        if past.name {
            let ending = ending.unwrap_or(Ending::GivenUp);
            self.once.remember(past.id.clone(), ending, until, tenant.to_string());
        } else {
            let identity = (past.client.clone(), past.id.clone());
            self.recall(now, identity, 0, ending, until, tenant.to_string());
        }
    }

    /// What time brings: drains that end, words that are said again, offers that nobody answers, keys that may go on.
    pub(super) fn seats_turn(&mut self, now: Ms) {
        if !self.seats.busy() {
            return;
        }
        self.unpark(now);
        self.end_still(now);
        self.ask(now);
        for tenant in self.seats.moving.clone() {
            let Some(p) = self.seats.of.get_mut(&tenant) else { continue };
            match (&p.seat.phase, p.drain_until) {
                (Phase::Draining { .. }, Some(until)) => self.drain_on(now, &tenant, until),
                (Phase::Offered { to, .. }, _) if p.offer_until <= now => {
                    let to = *to;
                    let to = self.seats.name(to);
                    log::warn!(tenant = tenant.as_str(), other = to.as_str(); "'{to}' has not taken '{tenant}' in time; the move is taken back");
                    let _ = self.advance(now, &tenant, Input::Abort);
                }
                _ if p.tick_at <= now => {
                    p.tick_at = now + p.pause;
                    p.pause = (2.0 * p.pause).min(AGAIN_MOST);
                    let _ = self.advance(now, &tenant, Input::Tick);
                }
                _ => {}
            }
        }
    }

    fn drain_on(&mut self, now: Ms, tenant: &str, until: Ms) {
        let goes =
            |c: &Call| c.taken.tenant == tenant && c.frozen == Some(Frozen::Moving) && c.ending.is_none();
        let going = self.those(goes);
        let is_out = |no: &CallNo| self.calls.get(no).is_some_and(|c| c.out.is_some());
        let left: Vec<CallNo> = going.iter().copied().filter(is_out).collect();
        if now < until && !left.is_empty() {
            return;
        }
        // Another dispatcher sends them once it has them: their endpoints have to know of the end before.
        for no in &left {
            self.cut_or_leave(now, *no);
        }
        let unconfirmed = |no: &CallNo| self.unconfirmed.is_of(*no, now) || self.is_broken_off(*no);
        if going.iter().any(unconfirmed) && self.wait_once_more(now, tenant) {
            return;
        }
        left.into_iter().for_each(|no| self.conclude_any(now, no));
        let since = self.seats.of.get(tenant).map_or(now, |p| p.still_since);
        let contents = self.contents_of(now, tenant, since);
        if contents.encoded_len() + 4_096 > wire::FRAME_MOST {
            log::error!(tenant = tenant; "'{tenant}' holds more than one frame takes, and is not moved");
            let _ = self.advance(now, tenant, Input::Abort);
            return;
        }
        let _ = self.advance(now, tenant, Input::Drained(contents));
    }

    /// Keys whose wait is over.
    fn unpark(&mut self, now: Ms) {
        let due: Vec<u64> = self.seats.parked.iter().filter(|(_, w)| w.0 <= now).map(|w| *w.0).collect();
        for key in due {
            self.seats.parked.remove(&key);
            let waits = |c: &Call| c.frozen == Some(Frozen::Parked) && c.taken.key == Some(key);
            self.those(waits).into_iter().for_each(|no| self.thaw_if_free(no));
        }
    }

    /// Messages that stand still and whose time is up. What is offered or committed is somebody's decision already.
    fn end_still(&mut self, now: Ms) {
        let due = |c: &Call| match c.frozen {
            Some(Frozen::Parked) => true,
            Some(Frozen::Moving) => {
                let p = self.seats.of.get(&c.taken.tenant);
                c.out.is_none() && p.is_some_and(|p| matches!(p.seat.phase, Phase::Draining { .. }))
            }
            _ => false,
        };
        let over = |c: &Call| c.ending.is_none() && c.taken.valid_until <= now && due(c);
        for no in self.those(over) {
            self.end_unsent(now, no);
        }
    }

    /// Asks whose a tenant is that has never been served here; who hears nothing takes it.
    fn ask(&mut self, now: Ms) {
        if self.seats.asking.is_empty() {
            return;
        }
        let due: Vec<String> =
            self.seats.asking.iter().filter(|a| *a.1 <= now).map(|a| a.0.clone()).collect();
        for tenant in due {
            let seat = Seat::settled();
            if self.write_seat(&tenant, &seat) {
                self.seats.asking.remove(&tenant);
                self.seats.put(&tenant, fresh(now, seat));
                self.claim(&tenant, None);
            }
        }
        if self.seats.ask_again <= now {
            self.seats.ask_again = now + AGAIN_FIRST;
            let all: Vec<String> = self.seats.asking.keys().cloned().collect();
            for to in self.others() {
                for tenant in &all {
                    let whose = wire::plain(self.seats.me(), &to, tenant, self.seats.version(), Kind::Whose);
                    self.orders.push(Order::Say { to: to.clone(), envelope: Box::new(whose) });
                }
            }
        }
    }

    /// When [`Core::seats_turn`] has something to do of itself.
    pub(super) fn seats_due(&self) -> Option<Ms> {
        if !self.seats.busy() {
            return None;
        }
        let asks = self.seats.asking.values().copied();
        let asks = asks.chain((!self.seats.asking.is_empty()).then_some(self.seats.ask_again));
        let parked = self.seats.parked.values().map(|w| w.0);
        let seat = |p: &Place| match p.drain_until {
            Some(until) => until,
            None => p.tick_at.min(p.offer_until),
        };
        let seats = self.seats.moving.iter().filter_map(|t| self.seats.of.get(t)).map(seat);
        let still = |c: &Call| match c.frozen {
            Some(Frozen::Parked) if c.ending.is_none() => Some(c.taken.valid_until),
            _ => None,
        };
        let still = self.calls.values().filter_map(still);
        asks.chain(parked).chain(seats).chain(still).min_by(f64::total_cmp)
    }
}

/// The record of what ended where the tenant came from. What ends elsewhere is, for a start after this, something that may have
/// taken effect.
fn past_record(tenant: &str, past: &Past) -> Record {
    let (until, ending) = (past.until as Ms, ending_in(past).unwrap_or(Ending::GivenUp));
    let tenant = tenant.to_string();
    if past.name {
        return Record::Once { name: past.id.clone(), ending, until, tenant };
    }
    Record::Known { identity: (past.client.clone(), past.id.clone()), ending, until, tenant }
}

/// When an offer is taken back by itself.
fn offer_until(now: Ms, contents: &Contents) -> Ms {
    let times = contents.held.iter().map(|h| h.valid_until as Ms).filter(|t| *t >= now + NEAR);
    times.map(|t| t - OFFER_MARGIN).fold(now + OFFER_MOST, f64::min)
}
