//! Book: a call ends once; its client is told until it has heard, and only then is the call over.

use super::figures::Tally;
use super::{Call, Core, Counters, Order, Told, Verdict, ANSWER_KEPT};
use crate::api::*;
use crate::journal::{CallNo, Ending, Record};

/// How long an identity is remembered after its call is over.
const MEMORY: Ms = 20_000.0;

impl Counters {
    pub(super) fn note(&mut self, outcome: Outcome) {
        let count = match outcome {
            Outcome::Delivered => return,
            Outcome::Error => &mut self.errors,
            Outcome::Refused => &mut self.refused,
            Outcome::Late => &mut self.late,
            Outcome::NoConnection => &mut self.unconnected,
            Outcome::Reset => &mut self.resets,
            Outcome::Cancelled => &mut self.cancelled,
            Outcome::NotSent => &mut self.unsent,
        };
        *count += 1;
    }
}

/// How an end is told in the log: outcome, and the wait in milliseconds.
fn told(ending: Ending) -> (&'static str, f64) {
    match ending {
        Ending::Delivered => ("delivered", 0.0),
        Ending::GivenUp => ("given_up", 0.0),
        Ending::HandedBack(wait) => ("handed_back", wait),
    }
}

impl Core {
    pub(super) fn hand_back(&mut self, now: Ms, no: CallNo, retry_in: Ms) {
        self.finish(now, no, Ending::HandedBack(retry_in));
    }

    pub(super) fn give_up(&mut self, now: Ms, no: CallNo) {
        self.finish(now, no, Ending::GivenUp);
    }

    /// Ends a call: its client, if it still waits for the verdict, hears that; else it is told the end.
    pub(super) fn finish(&mut self, now: Ms, no: CallNo, ending: Ending) {
        let Some(c) = self.calls.get_mut(&no).filter(|c| c.ending.is_none()) else { return };
        c.ending = Some(ending);
        let tally = match ending {
            Ending::Delivered => Tally::Completed,
            Ending::GivenUp => Tally::Failed,
            Ending::HandedBack(_) => Tally::Rejected,
        };
        self.figures.count(&c.taken.class, tally);
        let (identity, dest) = (c.taken.identity.clone(), c.taken.dest);
        let (outcome, wait) = told(ending);
        log::debug!(id = identity.1.as_str(), class = c.taken.class.as_str(), member = dest, outcome = outcome, wait_ms = wait,
            attempts = c.attempts, left_ms = c.taken.valid_until - now; "a call ended");
        self.ceilings.unqueue(dest);
        self.cells.over(now, c, ending == Ending::Delivered);
        let platform = identity.0.is_empty();
        let doubtful = c.unheard.is_some();
        if ending == Ending::Delivered && !doubtful {
            // The next of its key may go, though its client has not confirmed that it heard.
            self.order.leave(no, c.taken.key);
        }
        self.note(&Record::Ended { no, ending });
        self.copy_answered(no);
        self.copy_ended(now, no, &identity, ending);
        let asking = self.asking.iter().any(|a| a.0 == no);
        if let Some(k) = self.known.get_mut(&identity) {
            k.ending = Some(ending);
            k.verdict = match ending {
                Ending::HandedBack(wait) if asking => Verdict::Busy(wait),
                Ending::GivenUp if asking => Verdict::Failed("given up".into()),
                _ => Verdict::Taken,
            };
        }
        match ending {
            Ending::Delivered => self.counters.delivered += 1,
            _ if asking => {}
            Ending::GivenUp => self.counters.given_up += 1,
            Ending::HandedBack(_) => self.counters.handed_back += 1,
        }
        // The platform's client of a delivered call hears of it by itself.
        if asking || (platform && ending == Ending::Delivered && !doubtful) {
            if let Some(k) = self.known.get(&identity).filter(|_| asking) {
                self.answers.insert(no, k.verdict.clone());
            }
            // Guards against a crowd that is refused, each time under a new id, and leaves no room for what was taken.
            let refused = platform && asking && matches!(ending, Ending::HandedBack(_));
            self.close_call(now, no, if refused { 0.0 } else { MEMORY });
        } else {
            self.tell(no);
        }
    }

    /// Orders the final answer of a call to be told, if it has ended.
    pub(super) fn tell(&mut self, no: CallNo) {
        let Some(c) = self.calls.get(&no) else { return };
        let Some(ending) = c.ending else { return };
        let (identity, reply) = (c.taken.identity.clone(), c.taken.reply.clone());
        let until = c.taken.valid_until + ANSWER_KEPT;
        self.orders.push(Order::Tell(Told { no, identity, ending, reply, until }));
    }

    /// Guards against answers piling up for sessions that never come back; the platform is told until it hears.
    pub(super) fn lapse(&mut self, now: Ms) {
        let lapsed = |c: &Call| {
            let session = !c.taken.identity.0.is_empty();
            session && c.ending.is_some() && c.taken.valid_until + ANSWER_KEPT <= now
        };
        let due: Vec<CallNo> = self.calls.iter().filter(|(_, c)| lapsed(c)).map(|(no, _)| *no).collect();
        due.into_iter().for_each(|no| self.close_over(now, no));
    }

    /// The client has the final answer.
    pub fn confirmed(&mut self, now: Ms, no: CallNo) {
        if self.calls.get(&no).is_some_and(|c| c.ending.is_some()) {
            self.counters.confirmed += 1;
            self.close_over(now, no);
        }
    }

    /// A call is held no more.
    pub(super) fn take_out(&mut self, now: Ms, no: CallNo) -> Option<Call> {
        let c = self.calls.remove(&no)?;
        // Guards against the next of its key beside an attempt of it whose endpoint does not know of the end yet.
        if !self.unconfirmed.is_over(no) {
            self.order.leave(no, c.taken.key);
        }
        self.backlog.remove(no);
        self.live_bytes -= c.size;
        if c.ending.is_none() {
            self.ceilings.unqueue(c.taken.dest);
            self.cells.over(now, &c, false);
        }
        Some(c)
    }

    /// Nothing more is owed for the call; a later one of its key may go.
    pub(super) fn close_over(&mut self, now: Ms, no: CallNo) {
        self.close_call(now, no, MEMORY);
    }

    fn close_call(&mut self, now: Ms, no: CallNo, memory: Ms) {
        let Some(c) = self.take_out(now, no) else { return };
        self.copy_answered(no);
        self.copy_ended(now, no, &c.taken.identity, c.ending.unwrap_or(Ending::GivenUp));
        let name = self.once.name(&c.taken.class, &c.taken.idempotency, &c.taken.identity.1);
        if let Some(name) = name {
            // Without an end of its own it may have run.
            let ending = c.ending.unwrap_or(Ending::GivenUp);
            let tenant = self.movable(&c.taken.tenant);
            let until = self.once.ended(now, &c.taken.class, &name, ending, tenant.clone());
            if let Some(until) = until {
                self.note(&Record::Once { name, ending, until, tenant });
            }
        }
        c.unheard.into_iter().for_each(|ended| self.ended_in(c.cell, ended));
        self.cells.post(c.cell, Event::Heard(no));
        let until = now + memory;
        if memory <= 0.0 {
            self.forget_identity(&c.taken.identity);
        } else if let Some(k) = self.known.get_mut(&c.taken.identity) {
            let (old, ending) = (k.until as u64, k.ending.or(Some(Ending::GivenUp)));
            (k.until, k.ending) = (until, ending);
            self.fading.remove(&(old, c.taken.identity.clone()));
            self.fading.insert((until as u64, c.taken.identity));
        }
        self.note(&Record::Over { no, until });
    }

    /// Clients that asked in this turn hear what became of their calls.
    pub(super) fn give_verdicts(&mut self) {
        for (no, ticket) in std::mem::take(&mut self.asking) {
            let verdict = self.answers.get(&no).cloned().unwrap_or(Verdict::Taken);
            self.counters.busy += u64::from(matches!(verdict, Verdict::Busy(_)));
            self.orders.push(Order::Answer { ticket, verdict });
        }
        self.answers.clear();
    }

    /// Writes a record that a restart could do without, at a price.
    pub(super) fn note(&mut self, record: &Record) {
        self.compact_if_full();
        if let Err(e) = self.journal.append(record) {
            self.journal.defer_bounded(record);
            if let Some(count) = self.unwritten.raise(self.now) {
                log::error!(cause:% = e, count = count; "the journal does not take a record yet: {e}");
            }
        }
    }
}
