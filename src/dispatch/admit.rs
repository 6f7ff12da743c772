//! Admit: a call is written down and numbered before anything is done for it; after a restart it is read back.

use super::beside::Keyed;
use super::seats_read::SeatsRead;
use super::{Call, Core, Frozen, Known, Once, Ticket, Verdict};
use crate::api::*;
use crate::config::place;
use crate::journal::{CallNo, Ending, Identity, Record, Sent, Taken};
use std::collections::BTreeMap;

/// What a call needs in the journal beside its first record.
pub(super) const MARGIN: u64 = 192;
/// Advice to a client when there is no room and nothing better is known.
pub(super) const NO_ROOM_ADVICE: Ms = 500.0;
/// How long an identity is remembered after its call's time is up.
const MEMORY: Ms = 15_000.0;
/// After a compaction that failed, or gained nothing, the next one is tried so much later.
const COMPACT_AGAIN: Ms = 200.0;
/// Share of what the module may hold that is filled with calls of an earlier process; the rest wait in the backlog.
const BACKLOG_SHARE: f64 = 0.85;
/// What a remembered identity needs beside its own text.
const KNOWN_MARGIN: u64 = 64;

/// Bytes that an identity takes in a compacted journal.
fn known_size(identity: &Identity) -> u64 {
    (identity.0.len() + identity.1.len()) as u64 + KNOWN_MARGIN
}

impl Core {
    /// Writes the call down and gives it to its cell's module; where there is no room for it, the wait to tell.
    pub(super) fn admit(
        &mut self,
        now: Ms,
        class: usize,
        taken: Taken,
        again: bool,
        ticket: Ticket,
    ) -> Result<(), Ms> {
        // A file that has just grown has room again by this.
        self.compact_if_full();
        let record = Record::Taken(taken);
        let size = record.size() + MARGIN;
        let Record::Taken(t) = &record else { return Err(NO_ROOM_ADVICE) };
        let name = self.once.name(&t.class, &t.idempotency, &t.identity.1);
        let needed = self.live_bytes
            + size
            + self.once.bytes()
            + self.seats.bytes()
            + name.as_ref().map_or(0, |n| Once::size(n));
        if self.calls.len() >= self.settings.max_held && self.cells.undivided()
            || !self.journal.has_room(needed)
        {
            return Err(NO_ROOM_ADVICE);
        }
        let ordered = t.key.is_some() && self.settings.classes.get(class).is_some_and(|c| c.in_order);
        let keyed = if ordered { self.beside.keyed(now) } else { Keyed::Take };
        if let Keyed::HandBack(wait) = keyed {
            return Err(wait);
        }
        if let Some(wait) = self.cells.lane_wait(now, t) {
            self.counters.door += 1;
            return Err(wait);
        }
        let cell = self.cells.of(&t.tenant);
        self.make_place(now, cell, size)?;
        if let Err(e) = self.journal.append(&record) {
            if let Some(count) = self.unwritten.raise(now) {
                log::error!(cause:% = e, count = count; "the journal takes nothing more: {e}");
            }
            self.leave_place(cell, size);
            return Err(NO_ROOM_ADVICE);
        }
        let Record::Taken(taken) = record else { return Err(NO_ROOM_ADVICE) };
        let no = taken.no;
        self.next_no = no + 1;
        self.live_bytes += size;
        name.into_iter().for_each(|n| self.once.held(n, no));
        self.ceilings.queue(taken.dest);
        self.counters.taken += 1;
        let free = self.copy_taken(now, &taken);
        // One of its key may run still where its tenant came from.
        let frozen = match keyed {
            Keyed::Hold => Some(Frozen::Beside),
            _ if self.is_parked(taken.key) => Some(Frozen::Parked),
            // One of its key may wait there.
            _ if ordered && !self.backlog.is_empty() => Some(Frozen::Queued),
            _ if self.is_unconfirmed(&taken.class, taken.dest) => Some(Frozen::Unconfirmed),
            _ => (!free).then_some(Frozen::Still),
        };
        self.cells.enter_lane(now, &taken);
        if frozen.is_none() {
            let arrived = Event::Arrived(self.message(class, &taken, again));
            self.cells.post(cell, arrived);
        }
        let until = taken.valid_until + MEMORY;
        let tenant = self.movable(&taken.tenant);
        let known = Known { no, verdict: Verdict::Taken, ending: None, until, tenant };
        self.remember(taken.identity.clone(), known);
        let call = Call {
            taken,
            attempts: 0,
            last: None,
            ran: None,
            out: None,
            ending: None,
            cell,
            size,
            frozen,
            unheard: None,
        };
        if call.frozen == Some(Frozen::Queued) {
            self.backlog.push(no, call.taken.valid_until);
        }
        log::debug!(id = call.taken.identity.1.as_str(), class = call.taken.class.as_str(), member = call.taken.dest,
            left_ms = call.taken.valid_until - now; "a call is taken on");
        self.order.enter(&call.taken);
        self.calls.insert(no, call);
        if !self.copy_asks(now, no, ticket) {
            self.asking.push((no, ticket));
        }
        Ok(())
    }

    fn message(&self, class: usize, t: &Taken, again: bool) -> Message {
        Message {
            id: t.no,
            class,
            tenant: place(&self.names.tenants, &t.tenant),
            key: t.key,
            valid_until: t.valid_until,
            dest: t.dest,
            again,
            work: 0.0,
        }
    }

    /// Remembers an identity until its time; it outlives its call, so that a repeat makes no second one.
    pub(super) fn remember(&mut self, identity: Identity, known: Known) {
        self.fading.insert((known.until as u64, identity.clone()));
        let size = known_size(&identity);
        if self.known.insert(identity, known).is_none() {
            self.known_bytes += size;
        }
    }

    /// Forgets who handed in a message that is somebody else's now.
    pub(super) fn forget_identity(&mut self, identity: &Identity) {
        if let Some(k) = self.known.remove(identity) {
            self.known_bytes -= known_size(identity);
            self.fading.remove(&(k.until as u64, identity.clone()));
        }
    }

    /// Forgets identities whose time is up. Guards also against a journal that holds little else: then the oldest
    /// go early.
    pub(super) fn fade(&mut self, now: Ms) {
        while let Some((until, identity)) = self.fading.first().cloned() {
            let held = self.known.get(&identity).is_some_and(|k| self.calls.contains_key(&k.no));
            let crowded = !self.journal.has_memory(self.known_bytes);
            if (until as Ms) > now && !crowded {
                return;
            }
            self.fading.pop_first();
            if held {
                // Its final answer is not confirmed: it is asked about again later.
                self.fading.insert(((now + MEMORY) as u64, identity));
                return;
            }
            if self.known.remove(&identity).is_some() {
                self.known_bytes -= known_size(&identity);
            }
        }
    }

    /// Takes up what an earlier process left. A delegation without an outcome may have run; the module learns so.
    pub fn restore(&mut self, now: Ms, records: Vec<Record>) {
        self.now = now;
        if !records.is_empty() {
            self.cells.post_all(&Event::Restarted);
        }
        let (mut spent, mut seats) = (Vec::new(), SeatsRead::default());
        let mut left: BTreeMap<CallNo, (Call, bool)> = BTreeMap::new();
        for record in records {
            match record {
                Record::Taken(mut taken) => {
                    self.next_no = self.next_no.max(taken.no + 1);
                    let class =
                        place(&self.names.classes, &taken.class).and_then(|c| self.settings.classes.get(c));
                    let most = class.map_or(f64::MAX, |c| now + c.deadline);
                    taken.valid_until = taken.valid_until.min(most);
                    let size = Record::Taken(taken.clone()).size() + MARGIN;
                    let cell = self.cells.of(&taken.tenant);
                    let (last, ran, out, ending, frozen) = (None, None, None, None, None);
                    let call = Call {
                        taken,
                        attempts: 0,
                        last,
                        ran,
                        out,
                        ending,
                        cell,
                        size,
                        frozen,
                        unheard: None,
                    };
                    left.insert(call.taken.no, (call, false));
                }
                Record::State { no, attempts, ran, out } => {
                    if let Some((c, cut)) = left.get_mut(&no) {
                        *cut = out.is_some();
                        (c.attempts, c.ran) = (attempts, ran.or(out).map(|s| past(now, s)));
                    }
                }
                Record::Ended { no, ending } => {
                    if let Some((c, cut)) = left.get_mut(&no) {
                        (c.ending, *cut) = (Some(ending), false);
                    }
                }
                Record::Over { no, until } => {
                    if let Some((c, _)) = left.remove(&no) {
                        let ending = c.ending.unwrap_or(Ending::Delivered);
                        let tenant = self.movable(&c.taken.tenant);
                        self.recall(now, c.taken.identity, no, Some(ending), until, tenant);
                    }
                }
                Record::Known { identity, ending, until, tenant } => {
                    self.recall(now, identity, 0, Some(ending), until, tenant)
                }
                Record::Spent(s) => spent.push(s),
                Record::Once { name, ending, until, tenant } if until > now => {
                    self.once.remember(name, ending, until, tenant)
                }
                // A restart ends all waits, and the clocks have been read with the file.
                Record::Once { .. } | Record::Wait { .. } | Record::Clock(_) | Record::Adopted(_) => {}
                Record::Seat(bytes) => {
                    if let Some((tenant, from)) = seats.take(&bytes) {
                        left.retain(|no, (c, _)| *no < from || c.taken.tenant != tenant);
                    }
                }
            }
        }
        for (tenant, from) in seats.cut_short() {
            left.retain(|no, (c, _)| *no < from || c.taken.tenant != *tenant);
        }
        self.ceilings.restore(now, spent);
        self.seats.park_again(now, &seats);
        let mut given_up = Vec::new();
        for (no, (mut call, cut_off)) in left {
            if place(&self.names.classes, &call.taken.class).is_none() && call.ending.is_none() {
                let (id, class) = (call.taken.identity.1.as_str(), call.taken.class.as_str());
                log::error!(id = id, class = class, outcome = "given_up"; "the class '{class}' of a call in the journal is gone");
                call.ending = Some(Ending::GivenUp);
                given_up.push(no);
            }
            call.frozen = match call.ending {
                None if seats.is_offered(&call.taken.tenant, no) => Some(Frozen::Moving),
                // What was out when the process ended is not what others of its key wait for.
                None if self.is_parked(call.taken.key) && !cut_off => Some(Frozen::Parked),
                // What may have run is not sent again: its end waits for nobody.
                None if call.ran.is_none() && self.is_unconfirmed(&call.taken.class, call.taken.dest) => {
                    Some(Frozen::Unconfirmed)
                }
                _ => None,
            };
            if cut_off {
                self.inherit_attempt(now, no, call.taken.key);
            }
            self.hold_again(now, call);
            self.tell(no);
        }
        self.open_seats(now, seats);
        // Only now: a journal that is written anew holds what is known here, and before this that was not all.
        for no in given_up {
            self.note(&Record::Ended { no, ending: Ending::GivenUp });
        }
    }

    /// Calls that are taken from now on are numbered from `first` on: see [`crate::recovery::first_number`].
    pub fn number_from(&mut self, first: CallNo) {
        self.next_no = self.next_no.max(first);
        self.first_no = self.next_no;
    }

    /// A call of an earlier process, or of another dispatcher, is held here; the module has it if nothing keeps it from it.
    pub(super) fn hold_again(&mut self, now: Ms, call: Call) {
        let (no, t) = (call.taken.no, &call.taken);
        if call.ending.is_none() {
            self.cells.resumed(now, &call);
            self.ceilings.queue(t.dest);
        }
        let name = self.once.name(&t.class, &t.idempotency, &t.identity.1);
        name.into_iter().for_each(|n| self.once.held(n, no));
        let (until, tenant) = (t.valid_until.max(now) + MEMORY, self.movable(&t.tenant));
        self.recall(now, t.identity.clone(), no, call.ending, until, tenant);
        self.live_bytes += call.size;
        self.counters.resumed += 1;
        let mut call = call;
        self.copy_restored(no, &call);
        // Moves know nothing of calls that wait here; divided cells have room of their own.
        let queues = self.cells.undivided() && !self.may_move();
        if queues && call.frozen.is_none() && call.ending.is_none() && self.backlog_room() == 0 {
            self.backlog.push(no, call.taken.valid_until);
            call.frozen = Some(Frozen::Queued);
        }
        let waits = call.frozen.is_some();
        if call.ending != Some(Ending::Delivered) {
            self.order.enter(&call.taken);
        }
        self.calls.insert(no, call);
        if !waits {
            self.resume(no);
        }
    }

    /// Calls of an earlier process go to the module as it has room for them.
    pub(super) fn backlog_turn(&mut self, now: Ms) {
        if self.backlog.is_empty() {
            return;
        }
        let room = self.backlog_room();
        self.backlog.take(now, room).into_iter().for_each(|no| self.resume(no));
    }

    /// Calls of an earlier process that the module has room for, without having to hand any back.
    fn backlog_room(&self) -> usize {
        let most = (BACKLOG_SHARE * self.settings.max_held as f64) as usize;
        most.saturating_sub(self.calls.len() - self.backlog.len())
    }

    /// Gives a call to the module that it does not have, or not any more.
    pub(super) fn resume(&mut self, no: CallNo) {
        self.backlog.remove(no);
        let still = self.copy_stands_still(no);
        let Some(c) = self.calls.get_mut(&no) else { return };
        if still && c.ending.is_none() {
            c.frozen = Some(Frozen::Still);
            return;
        }
        c.frozen = None;
        let c = &self.calls[&no];
        let zone = |name: &str| place(&self.names.zones, name).unwrap_or(self.names.zones.len());
        let class = place(&self.names.classes, &c.taken.class).unwrap_or(0);
        let resumed = Event::Resumed(Resumed {
            message: self.message(class, &c.taken, true),
            attempts: c.attempts,
            ran: c.ran.as_ref().map(|s| (s.at, zone(&s.zone))),
            ended: c.ending.is_some(),
        });
        self.cells.post(c.cell, resumed);
    }

    pub(super) fn recall(
        &mut self,
        now: Ms,
        identity: Identity,
        no: CallNo,
        ending: Option<Ending>,
        until: Ms,
        tenant: String,
    ) {
        if until > now {
            // Whether a client of the platform was refused with that or told later is not written down. Guards against a
            // repeat of what was refused being answered as taken: nobody would ever be told of its end.
            let verdict = match ending {
                Some(Ending::HandedBack(wait)) if identity.0.is_empty() => Verdict::Busy(wait),
                Some(Ending::GivenUp) if identity.0.is_empty() => Verdict::Failed("given up".into()),
                _ => Verdict::Taken,
            };
            self.remember(identity, Known { no, verdict, ending, until, tenant });
        }
    }

    /// A client that comes back for a call that is held wants its answer where it asks now.
    pub(super) fn move_reply(&mut self, no: CallNo, reply: Vec<u8>) {
        if let Some(c) = self.calls.get_mut(&no).filter(|c| !c.taken.identity.0.is_empty()) {
            c.taken.reply = reply;
        }
    }

    /// Writes the journal anew with what still matters, once it has grown.
    pub(super) fn compact_if_full(&mut self) {
        if self.journal.is_full() && self.now >= self.compact_at {
            self.compact();
        }
    }

    /// Writes the journal anew with what still matters; false if the folder does not take it.
    pub(super) fn compact(&mut self) -> bool {
        let mut records = Vec::new();
        for (no, c) in &self.calls {
            records.push(Record::Taken(c.taken.clone()));
            records.extend(self.marked_state(*no, c));
            records.extend(c.ending.map(|ending| Record::Ended { no: *no, ending }));
        }
        for (identity, k) in self.known.iter().filter(|(_, k)| !self.calls.contains_key(&k.no)) {
            let known = |ending| Record::Known {
                identity: identity.clone(),
                ending,
                until: k.until,
                tenant: k.tenant.clone(),
            };
            records.extend(k.ending.map(known));
        }
        records.extend(self.ceilings.spent(self.now).into_iter().map(Record::Spent));
        let once = |(name, ending, until, tenant): (&String, Ending, Ms, &String)| Record::Once {
            name: name.clone(),
            ending,
            until,
            tenant: tenant.clone(),
        };
        records.extend(self.once.ends().map(once));
        records.extend(self.seat_records());
        records.extend(self.waits.records(self.now));
        records.extend(self.adopted.map(Record::Adopted));
        let done = self.journal.compact(records.into_iter());
        if done.is_err() || self.journal.is_full() {
            // Each try writes all that is held.
            self.compact_at = self.now + COMPACT_AGAIN;
        }
        if let Err(e) = &done {
            if let Some(count) = self.uncompacted.raise(self.now) {
                log::error!(cause:% = e, count = count; "the journal cannot be compacted: {e}");
            }
        }
        done.is_ok()
    }
}

/// An attempt of the future was sent before the clock was set back: nobody can tell how long ago, so long ago.
fn past(now: Ms, sent: Sent) -> Sent {
    let at = if sent.at > now { 0.0 } else { sent.at };
    Sent { at, ..sent }
}
