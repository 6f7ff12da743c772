//! Copying: what the core does about messages that lie with other dispatchers, too. Who may act, and who has a copy, is
//! `lilacbank_replica`'s; here messages wait for its word, are taken over, or are left to another.
//!
//! A message that may not be started now stands still: the module does not have it, nor any later one of its key. All of it is the
//! operators' choice (`[replication]`), off on the platform.

use super::{Core, Order, Submission, Verdict};
use super::{Frozen, NO_ROOM_ADVICE};
use crate::api::*;
use crate::journal::{CallNo, Ending, Identity, Record, Sent, Taken};
use crate::together::Replication;
use lilacbank_limits::ramp::{Former, Health};
use lilacbank_replica::copies::{Content, Copy, End, Stage};
use lilacbank_replica::keeper::{Keeper, Learnt, News};
use lilacbank_replica::owner::{Kind, Step};
use lilacbank_replica::wire::Envelope;
use serde_json::json;
use std::collections::BTreeSet;

/// Messages that stand still are looked at again after so long.
const LOOK_EVERY: Ms = 100.0;
/// One that still stands still so long before its time is up gets its final answer.
const END_BEFORE: Ms = 200.0;
/// What was learnt of the members is looked at so often.
const LEARNT_EVERY: Ms = 1_000.0;
/// Messages that others are asked about at once, at most.
const LOOKING_MOST: usize = 256;
/// Divides a client's name and a message's id in the name of a copy.
const DIVIDER: char = '\u{1f}';

/// The stage's own state.
pub(super) struct Copying {
    keeper: Keeper,
    spec: Replication,
    /// Clients that wait for another dispatcher's copy, and until when.
    acking: Vec<(CallNo, super::Ticket, Ms)>,
    /// Messages that stand still.
    still: BTreeSet<CallNo>,
    look_at: Ms,
    learnt_at: Ms,
    /// Messages handed in again that others are asked about, and who asks.
    looking: Vec<(super::Ticket, Submission)>,
    /// What was restored is not settled, and the time for it is not over.
    catching_up: bool,
    /// Messages answered from another's copy.
    known: u64,
    /// Clients told yes without another's copy: none came in time.
    unacked: u64,
}

fn ms(t: Ms) -> u64 {
    t.max(0.0) as u64
}

fn name_of(identity: &Identity) -> String {
    match identity.0.as_str() {
        "" => identity.1.clone(),
        client => format!("{client}{DIVIDER}{}", identity.1),
    }
}

fn identity_of(name: &str) -> Identity {
    match name.split_once(DIVIDER) {
        Some((client, id)) => (client.to_string(), id.to_string()),
        None => (String::new(), name.to_string()),
    }
}

fn end_of(ending: Ending) -> End {
    match ending {
        Ending::Delivered => End::Delivered,
        Ending::GivenUp => End::GivenUp,
        Ending::HandedBack(wait) => End::HandedBack(ms(wait)),
    }
}

fn content_of(t: &Taken) -> Content {
    Content {
        client: t.identity.0.clone(),
        class: t.class.clone(),
        tenant: t.tenant.clone(),
        key: t.key,
        idempotency: t.idempotency.clone(),
        dest: t.dest,
        valid_until: ms(t.valid_until),
        no: t.no,
        reply: t.reply.clone(),
        body: t.body.clone(),
        ..Content::default()
    }
}

impl Core {
    /// Copies messages from now on; before anything is restored.
    pub fn copy_with(&mut self, keeper: Keeper, spec: Replication) {
        self.copying = Some(Box::new(Copying {
            keeper,
            spec,
            acking: Vec::new(),
            still: BTreeSet::new(),
            look_at: 0.0,
            learnt_at: 0.0,
            looking: Vec::new(),
            catching_up: true,
            known: 0,
            unacked: 0,
        }));
    }

    /// Does it still wait to hear what became of what it left?
    pub fn is_catching_up(&self) -> bool {
        self.copying.as_ref().is_some_and(|c| c.catching_up)
    }

    /// A word of another dispatcher.
    pub fn hear_copy(&mut self, now: Ms, e: Envelope) {
        if let Some(c) = &mut self.copying {
            c.keeper.hear(ms(now), e);
        }
    }

    /// The connection to another dispatcher is lost.
    pub fn copy_peer_lost(&mut self, name: &str) {
        if let Some(c) = &mut self.copying {
            c.keeper.lost(name);
        }
    }

    /// The other dispatchers and where they are reached.
    pub fn copy_peers(&self) -> Vec<(String, String)> {
        let all = self.copying.iter().flat_map(|c| c.keeper.addresses());
        all.map(|(n, a)| (n.clone(), a.clone())).collect()
    }

    fn kind_of(&self, class: &str) -> Kind {
        match self.is_unsafe_class(class) {
            true => Kind::Unsafe,
            false => Kind::Safe,
        }
    }

    /// A call was taken on: others are given copies. False where it has to stand still for now.
    pub(super) fn copy_taken(&mut self, now: Ms, t: &Taken) -> bool {
        let kind = self.kind_of(&t.class);
        let Some(c) = &mut self.copying else { return true };
        let free = c.keeper.taken(ms(now), &name_of(&t.identity), content_of(t), kind);
        let behind = self.behind_another(t.no, t.key);
        if !free || behind {
            self.stands_still(t.no, true);
        }
        free && !behind
    }

    /// Does an earlier message of its key stand still?
    fn behind_another(&self, no: CallNo, key: Option<u64>) -> bool {
        let Some(c) = self.copying.as_ref().filter(|_| key.is_some()) else { return false };
        c.still.range(..no).any(|n| self.calls.get(n).is_some_and(|c| c.taken.key == key))
    }

    /// A call of an earlier process waits for what the others know of it; one that was just taken over does not.
    pub(super) fn copy_restored(&mut self, no: CallNo, call: &super::Call) {
        let kind = self.kind_of(&call.taken.class);
        let Some(c) = self.copying.as_mut().filter(|_| call.ending.is_none()) else { return };
        let name = name_of(&call.taken.identity);
        if c.keeper.knows(&name).is_none() {
            let stage = if call.attempts > 0 { Stage::Started } else { Stage::Taken };
            c.keeper.restored(&name, content_of(&call.taken), kind, stage);
            c.still.insert(no);
        }
    }

    fn stands_still(&mut self, no: CallNo, still: bool) {
        if let Some(c) = &mut self.copying {
            match still {
                true => c.still.insert(no),
                false => c.still.remove(&no),
            };
        }
    }

    /// Must this call stand still?
    pub(super) fn copy_stands_still(&self, no: CallNo) -> bool {
        self.copying.as_ref().is_some_and(|c| c.still.contains(&no))
    }

    /// Does a client wait for a copy of it? Then it is told its verdict once one is held.
    pub(super) fn copy_asks(&mut self, now: Ms, no: CallNo, ticket: super::Ticket) -> bool {
        let Some(c) = self.copying.as_mut().filter(|c| c.spec.ack) else { return false };
        c.acking.push((no, ticket, now + c.spec.ack_ms));
        true
    }

    /// Is its client still waiting for a copy?
    pub(super) fn copy_is_asked(&self, no: CallNo) -> bool {
        self.copying.as_ref().is_some_and(|c| c.acking.iter().any(|a| a.0 == no))
    }

    /// Its client waits no more for a copy: it hears the verdict of this turn.
    pub(super) fn copy_answered(&mut self, no: CallNo) {
        let Some(c) = &mut self.copying else { return };
        let (now, later): (Vec<_>, Vec<_>) = c.acking.drain(..).partition(|a| a.0 == no);
        c.acking = later;
        self.asking.extend(now.into_iter().map(|(no, ticket, _)| (no, ticket)));
    }

    /// Whether a delegation may begin; else the call stands still, and later ones of its key.
    pub(super) fn copy_may_start(&mut self, now: Ms, no: CallNo) -> bool {
        let Some(name) = self.calls.get(&no).map(|c| name_of(&c.taken.identity)) else { return true };
        let Some(c) = &mut self.copying else { return true };
        if c.keeper.may_act(ms(now), &name) {
            c.keeper.started(ms(now), &name);
            return true;
        }
        false
    }

    /// Takes a call from the module, and later ones of its key that are not out, until it may be started.
    pub(super) fn stand_still(&mut self, no: CallNo) {
        let Some(key) = self.calls.get(&no).map(|c| c.taken.key) else { return };
        let later = |(n, c): &(&CallNo, &super::Call)| {
            **n == no || (key.is_some() && **n > no && c.taken.key == key && c.frozen.is_none())
        };
        let those = self.calls.iter().filter(later).filter(|(_, c)| c.out.is_none() && c.ending.is_none());
        let those: Vec<(CallNo, usize)> = those.map(|(n, c)| (*n, c.cell)).collect();
        for (n, cell) in those {
            self.calls.entry(n).and_modify(|c| c.frozen = Some(Frozen::Still));
            self.stands_still(n, true);
            self.cells.post(cell, Event::ClientGone(n));
        }
    }

    /// A call has its final answer.
    pub(super) fn copy_ended(&mut self, now: Ms, no: CallNo, identity: &Identity, ending: Ending) {
        if let Some(c) = &mut self.copying {
            c.still.remove(&no);
            c.keeper.ended(ms(now), &name_of(identity), end_of(ending));
        }
    }

    /// What a copy of another's message says to one that is handed in here.
    pub(super) fn copied_verdict(&mut self, identity: &Identity) -> Option<Verdict> {
        let busy = NO_ROOM_ADVICE.min(self.settings.max_advice);
        let c = self.copying.as_mut()?;
        let verdict = match c.keeper.knows(&name_of(identity))? {
            // Whoever holds it tells its end; a session's answer goes where it is connected.
            Stage::Taken | Stage::Started if !identity.0.is_empty() => Verdict::Busy(busy),
            Stage::Taken | Stage::Started | Stage::Ended(End::Delivered) => Verdict::Taken,
            Stage::Ended(End::GivenUp) => Verdict::Failed("given up".into()),
            Stage::Ended(End::HandedBack(wait)) => Verdict::Busy(wait as Ms),
        };
        c.known += 1;
        Some(verdict)
    }

    /// Asks the others about a message that was handed in before and of which nothing is known here. Its client waits.
    pub(super) fn look_elsewhere(&mut self, now: Ms, ticket: super::Ticket, s: &Submission) -> bool {
        let Some(c) = self.copying.as_mut().filter(|c| s.again && !c.catching_up) else { return false };
        let name = name_of(&s.identity);
        if c.looking.len() >= LOOKING_MOST || !c.keeper.look_for(ms(now), &name) {
            return false;
        }
        c.looking.push((ticket, s.clone()));
        true
    }

    /// An operator's wish is told the others.
    pub(super) fn copy_ban(&mut self, now: Ms, id: &str, down: bool) {
        if let Some(c) = &mut self.copying {
            c.keeper.ban(ms(now), id, down);
        }
    }

    /// When [`Core::copying_turn`] has something to do.
    pub(super) fn copying_due(&self) -> Option<Ms> {
        let c = self.copying.as_ref()?;
        let acks = c.acking.iter().map(|a| a.2).min_by(f64::total_cmp);
        let look = (!c.still.is_empty() || c.keeper.shaky(ms(self.now))).then_some(c.look_at);
        [Some(c.keeper.next_due() as Ms), acks, look].into_iter().flatten().min_by(f64::total_cmp)
    }

    /// Hears what has come of the others' words, and looks at what stands still.
    pub(super) fn copying_turn(&mut self, now: Ms) {
        let Some(c) = &mut self.copying else { return };
        if c.keeper.next_due() <= ms(now) {
            c.keeper.tick(ms(now));
        }
        let news = c.keeper.take_news();
        let late: Vec<CallNo> = c.acking.iter().filter(|a| a.2 <= now).map(|a| a.0).collect();
        c.unacked += late.len() as u64;
        late.into_iter().for_each(|no| self.copy_answered(no));
        let (mut started, mut taken) = (false, Vec::new());
        for n in news {
            match n {
                News::View(text) => log::info!("dispatchers: {text}"),
                News::Held(id) => {
                    let no = self.known.get(&identity_of(&id)).map(|k| k.no);
                    no.into_iter().for_each(|no| self.copy_answered(no));
                }
                News::Start(_) => started = true,
                News::GiveUp(id) => {
                    if let Some(no) = self.call_named(&id) {
                        log::warn!(id = id.as_str(), outcome = "given_up"; "{id} is given up: nobody can say that it never went out");
                        self.stands_still(no, false);
                        self.give_up(now, no);
                    }
                }
                News::Leave(id) => self.leave_to_another(now, &id),
                News::Take(copy, step) => taken.push((*copy, step)),
                News::Ban(id, down) => {
                    match down {
                        true => self.set_down(now, &id),
                        false => self.set_up(now, &id),
                    }
                    self.orders.push(Order::KeepBans);
                }
                News::Looked(id) => {
                    let Some(c) = &mut self.copying else { return };
                    let is = |l: &(super::Ticket, Submission)| name_of(&l.1.identity) == id;
                    let (known, later): (Vec<_>, Vec<_>) = c.looking.drain(..).partition(is);
                    c.looking = later;
                    known.into_iter().for_each(|(ticket, s)| self.submit_looked_for(now, ticket, s));
                }
                News::Health(member, l) => {
                    let health = Health { rate: l.rate, away: l.away.map(|a| a as Ms) };
                    let age = Some((now - l.at as Ms).max(0.0));
                    self.hints_told(now, &member, Former { health, age });
                }
                News::CaughtUp(settled) => {
                    let done = self.copying.as_mut().is_some_and(|c| std::mem::take(&mut c.catching_up));
                    if done {
                        log::info!(settled = settled; "stage serving: {}", if settled {
                            "the others have told what became of what was left"
                        } else {
                            "most of the others are not heard; what was left waits"
                        });
                    }
                }
            }
        }
        if !taken.is_empty() {
            self.take_copies(now, taken);
        }
        if self.copying.as_ref().is_some_and(|c| c.learnt_at <= now) {
            let learnt = self.hints_learnt(now);
            let Some(c) = &mut self.copying else { return };
            c.learnt_at = now + LEARNT_EVERY;
            for (member, h, at) in learnt {
                let learnt = Learnt { rate: h.rate, away: h.away.map(ms), at: ms(at) };
                c.keeper.learnt(&member, learnt);
            }
        }
        let Some(c) = &mut self.copying else { return };
        if started || c.look_at <= now {
            c.look_at = now + LOOK_EVERY;
            let shaky = c.keeper.shaky(ms(now));
            self.look_at_still(now);
            if shaky {
                self.break_off_unleased(now);
            }
        }
    }

    /// What is to be said to the others.
    pub(super) fn copying_out(&mut self) {
        let said = self.copying.as_mut().map(|c| c.keeper.take_out()).unwrap_or_default();
        self.orders.extend(said.into_iter().map(|(to, e)| Order::Mate { to, envelope: Box::new(e) }));
    }

    fn call_named(&self, name: &str) -> Option<CallNo> {
        let no = self.known.get(&identity_of(name))?.no;
        self.calls.contains_key(&no).then_some(no)
    }

    /// Messages that stand still: those that may go now, in their order, and those whose time is up.
    fn look_at_still(&mut self, now: Ms) {
        let still: Vec<CallNo> = self.copying.iter().flat_map(|c| c.still.iter().copied()).collect();
        for no in still {
            let Some(call) = self.calls.get(&no) else {
                self.stands_still(no, false);
                continue;
            };
            if call.taken.valid_until - END_BEFORE <= now {
                // Another may have it: no promise about its effect.
                self.stands_still(no, false);
                self.give_up(now, no);
                continue;
            }
            let (name, key, frozen) = (name_of(&call.taken.identity), call.taken.key, call.frozen);
            let may = self.copying.as_ref().is_some_and(|c| c.keeper.may_act(ms(now), &name));
            if may && !self.behind_another(no, key) {
                self.stands_still(no, false);
                if frozen == Some(Frozen::Still) {
                    self.resume(no);
                }
            }
        }
    }

    /// Safe messages that are out while another that has a copy may count this dispatcher as gone are broken off before it does.
    fn break_off_unleased(&mut self, now: Ms) {
        let Some(c) = &self.copying else { return };
        let unleased = |call: &super::Call| {
            call.out.is_some()
                && !self.is_unsafe_class(&call.taken.class)
                && !c.keeper.may_act(ms(now), &name_of(&call.taken.identity))
        };
        let due: Vec<(CallNo, u32)> = self
            .calls
            .iter()
            .filter(|(_, call)| unleased(call))
            .filter_map(|(no, call)| Some((*no, call.out.as_ref()?.attempt)))
            .collect();
        due.into_iter().for_each(|(no, attempt)| self.cancel(now, no, attempt));
    }

    /// Another dispatcher has the message: it ends here without a word, and whoever hands it in again hears that it is held.
    fn leave_to_another(&mut self, now: Ms, name: &str) {
        let Some(no) = self.call_named(name) else { return };
        self.stands_still(no, false);
        if let Some(attempt) = self.calls.get(&no).and_then(|c| Some(c.out.as_ref()?.attempt)) {
            self.cancel_at_once(now, no, attempt);
        }
        let Some(call) = self.take_out(now, no) else { return };
        log::info!(id = call.taken.identity.1.as_str(); "{} is another dispatcher's now", call.taken.identity.1);
        self.cells.post(call.cell, Event::ClientGone(no));
        self.copy_answered(no);
        self.forget_identity(&call.taken.identity);
        // Not over for good: nothing is remembered of it beside its copy.
        self.note(&Record::Over { no, until: now });
    }

    /// Takes messages over: each is written down before anything is done for it.
    fn take_copies(&mut self, now: Ms, mut taken: Vec<(Copy, Step)>) {
        taken.sort_by(|a, b| (&a.0.content.taker, a.0.content.no).cmp(&(&b.0.content.taker, b.0.content.no)));
        let (mut records, mut given_up) = (Vec::new(), Vec::new());
        for (copy, step) in taken {
            let identity = identity_of(&copy.id);
            if let Some(known) = self.known.get(&identity) {
                // Its end is known here, beside the copy.
                let (no, ending) = (known.no, known.ending);
                ending.into_iter().for_each(|e| self.copy_ended(now, no, &identity, e));
                continue;
            }
            let no = self.next_no;
            self.next_no += 1;
            let c = copy.content;
            log::info!(id = identity.1.as_str(), class = c.class.as_str(), epoch = copy.fence.epoch; "{} is taken over from {}", identity.1, c.taker);
            records.push(Record::Taken(Taken {
                no,
                identity: identity.clone(),
                class: c.class,
                tenant: c.tenant,
                key: c.key,
                idempotency: c.idempotency,
                dest: c.dest,
                valid_until: c.valid_until as Ms,
                reply: c.reply,
                body: c.body,
            }));
            if copy.stage == Stage::Started {
                // Long ago and nowhere that is known: outside every window for repeats.
                let ran = Some(Sent { at: 0.0, zone: String::new() });
                records.push(Record::State { no, attempts: 1, ran, out: None });
            }
            if step == Step::GiveUp {
                records.push(Record::Ended { no, ending: Ending::GivenUp });
                given_up.push((no, identity));
            }
        }
        self.write_down(records.clone(), None);
        self.restore(now, records);
        for (no, identity) in given_up {
            self.copy_ended(now, no, &identity, Ending::GivenUp);
        }
    }

    /// The part of `vars` on the other dispatchers; null where nothing is copied.
    pub(super) fn copying_figures(&self) -> serde_json::Value {
        let Some(c) = &self.copying else { return serde_json::Value::Null };
        let (own, held, bytes) = c.keeper.holds();
        let n = c.keeper.counts;
        json!({
            "dispatchers": c.keeper.standing().into_iter().collect::<std::collections::BTreeMap<_, _>>(),
            "majority": c.keeper.has_majority(ms(self.now)),
            "catching_up": c.catching_up,
            "own": own, "copies": held, "bytes": bytes, "still": c.still.len(), "away": c.keeper.away(),
            "taken_in": n.taken_in, "taken_over": n.taken_over, "left": n.left, "alone": n.alone,
            "granted": n.granted, "denied": n.denied, "conflicts": n.conflicts, "no_room": n.no_room,
            "caught_up": n.caught_up, "nonsense": n.nonsense, "stale": n.stale, "queries": n.queries, "said_bytes": n.bytes, "known": c.known, "unacked": c.unacked,
        })
    }
}
