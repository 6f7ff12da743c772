//! Take in: checks what a front hands over, and answers at once what needs no decision.

use super::admit::NO_ROOM_ADVICE;
use super::figures::Tally;
use super::once::Judgement;
use super::{Core, Order, Ticket, Verdict};
use crate::api::{Effect, Ms};
use crate::config::place;
use crate::journal::{Ending, Identity, Taken};

/// The largest body.
pub const BODY_MOST: usize = 64 * 1024;
/// The longest id, idempotency key or client name.
const NAME_MOST: usize = 256;

/// A call as a front reads it off its wire.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Submission {
    /// Who hands it in (empty for the platform), and under which id.
    pub identity: Identity,
    /// The name of its class.
    pub class: String,
    /// The name of its tenant; empty if it has none.
    pub tenant: String,
    /// The key of its order; passed over in classes without order.
    pub key: Option<u64>,
    /// Its idempotency key.
    pub idempotency: String,
    /// Its destination.
    pub dest: u64,
    /// How long it may still be delivered; none: the class's deadline.
    pub left: Option<Ms>,
    /// It was handed in before.
    pub again: bool,
    /// Where its final answer goes; only its front reads this.
    pub reply: Vec<u8>,
    /// The body.
    pub body: Vec<u8>,
}

/// Why a message is not taken on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NotTaken {
    /// It makes no sense.
    Unreadable,
    /// A lost life may have sent it.
    Unproven,
    /// Its tenant is served by another dispatcher.
    Elsewhere,
    /// The others have not told yet what became of what this one held.
    CatchingUp,
    /// The list names no endpoint of its destination.
    NotListed,
    /// Its destination's promised share is used up beyond its time.
    NotInTime,
    /// There is no room for it, or the folder takes nothing.
    NoRoom,
}

impl NotTaken {
    /// The word of the log and of the figures.
    fn name(self) -> &'static str {
        match self {
            NotTaken::Unreadable => "unreadable",
            NotTaken::Unproven => "unproven",
            NotTaken::Elsewhere => "elsewhere",
            NotTaken::CatchingUp => "catching_up",
            NotTaken::NotListed => "not_listed",
            NotTaken::NotInTime => "not_in_time",
            NotTaken::NoRoom => "no_room",
        }
    }
}

impl Core {
    /// Takes a call in. The verdict comes as an [`Order::Answer`] of the next [`Core::turn`].
    pub fn submit(&mut self, now: Ms, ticket: Ticket, s: Submission) {
        self.take_in(now, ticket, s, false);
    }

    /// The others have said what they know of a message that was handed in before.
    pub(super) fn submit_looked_for(&mut self, now: Ms, ticket: Ticket, s: Submission) {
        self.take_in(now, ticket, s, true);
    }

    fn take_in(&mut self, now: Ms, ticket: Ticket, s: Submission, looked: bool) {
        self.now = now;
        if let Some(verdict) = self.once_verdict(now, &s) {
            return self.repeat_answer(&s, ticket, verdict);
        }
        if self.known.contains_key(&s.identity) {
            return self.answer_known(now, ticket, s);
        }
        if let Some(verdict) = self.copied_verdict(&s.identity) {
            return self.repeat_answer(&s, ticket, verdict);
        }
        if !looked && self.look_elsewhere(now, ticket, &s) {
            return;
        }
        match self.may_take(now, &s) {
            Ok((class, left)) => self.take_on(now, ticket, s, class, left),
            Err((why, verdict)) => self.refuse(&s.class, &s.identity.1, ticket, why, verdict),
        }
    }

    /// It was handed in before, by whoever and wherever.
    fn repeat_answer(&mut self, s: &Submission, ticket: Ticket, verdict: Verdict) {
        self.counters.repeated += 1;
        self.answer_now(&s.class, ticket, verdict);
    }

    /// A client hands in under an id that is known.
    fn answer_known(&mut self, now: Ms, ticket: Ticket, s: Submission) {
        let Some(no) = self.known.get(&s.identity).map(|k| k.no) else { return };
        self.counters.repeated += 1;
        if self.asking.iter().any(|a| a.0 == no) {
            self.asking.push((no, ticket));
            return;
        }
        if self.copy_is_asked(no) && self.copy_asks(now, no, ticket) {
            return;
        }
        let Some(k) = self.known.get(&s.identity) else { return };
        // The platform hears of an end once; a session asks again because it may have missed it.
        let told = k.ending.filter(|_| !s.identity.0.is_empty());
        let (no, verdict) = (k.no, k.verdict.clone());
        self.answer_now(&s.class, ticket, verdict);
        if let Some(ending) = told {
            let until = now + super::ANSWER_KEPT;
            let told = super::Told { no, identity: s.identity, ending, reply: s.reply, until };
            self.orders.push(Order::Tell(told));
        } else {
            self.move_reply(no, s.reply);
        }
    }

    /// The class of a message that may be taken on and the time that it has left; else why not, and what its client is told.
    fn may_take(&mut self, now: Ms, s: &Submission) -> Result<(usize, Ms), (NotTaken, Verdict)> {
        let busy = |wait: Ms, most: Ms| Verdict::Busy(wait.min(most));
        let advice = self.settings.max_advice;
        let class = match self.check(s) {
            Ok(class) => class,
            Err(why) => return Err((NotTaken::Unreadable, Verdict::Failed(why))),
        };
        // Its first hand-in may have been taken, sent and forgotten with the folder.
        if self.is_unproven(now, &s.class, s.again) {
            self.counters.unproven += 1;
            let why = "it may have taken effect in a lost life, and is not sent again";
            return Err((NotTaken::Unproven, Verdict::Failed(why.into())));
        }
        if self.is_elsewhere(&s.tenant) {
            return Err((NotTaken::Elsewhere, self.elsewhere(&s.tenant)));
        }
        // What it lost may be told it any moment: it says yes to nobody before.
        if self.is_catching_up() {
            return Err((NotTaken::CatchingUp, busy(NO_ROOM_ADVICE, advice)));
        }
        // Perhaps the client has heard of it first: it may come again. Taken on, the message could only wait.
        if !self.is_listed(s.dest) {
            return Err((NotTaken::NotListed, busy(NO_ROOM_ADVICE, advice)));
        }
        let deadline = self.settings.classes[class].deadline;
        let left = s.left.unwrap_or(deadline).min(deadline);
        match self.door_wait(now, s.dest, left) {
            Some(wait) => Err((NotTaken::NotInTime, busy(wait, advice))),
            None => Ok((class, left)),
        }
    }

    fn take_on(&mut self, now: Ms, ticket: Ticket, s: Submission, class: usize, left: Ms) {
        let (name, id) = (s.class.clone(), s.identity.1.clone());
        let taken = Taken {
            no: self.next_no,
            identity: s.identity,
            key: s.key.filter(|_| self.settings.classes[class].in_order),
            class: s.class,
            tenant: s.tenant,
            idempotency: s.idempotency,
            dest: s.dest,
            valid_until: now + left,
            reply: s.reply,
            body: s.body,
        };
        if let Err(wait) = self.admit(now, class, taken, s.again, ticket) {
            let verdict = Verdict::Busy(wait.min(self.settings.max_advice));
            self.refuse(&name, &id, ticket, NotTaken::NoRoom, verdict);
        }
    }

    /// A message is not taken on: said to its client, logged and counted by its reason.
    fn refuse(&mut self, class: &str, id: &str, ticket: Ticket, why: NotTaken, verdict: Verdict) {
        self.figures.not_taken(why.name());
        self.counters.busy += u64::from(matches!(verdict, Verdict::Busy(_) | Verdict::Elsewhere { .. }));
        self.counters.malformed += u64::from(why == NotTaken::Unreadable);
        match &verdict {
            _ if why == NotTaken::Unproven => log::warn!(id = id, class = class, outcome = "failed";
                "{id} was handed in before, and the folder cannot prove that it never went out: it is not sent"),
            Verdict::Failed(cause) => {
                log::debug!(id = id, class = class, outcome = "failed", why = why.name(),
                cause = cause.as_str(); "a call is not taken on")
            }
            Verdict::Busy(wait) => {
                log::debug!(id = id, class = class, outcome = "busy", why = why.name(), wait_ms = *wait;
                "a call is not taken on")
            }
            _ => {
                log::debug!(id = id, class = class, outcome = "elsewhere", why = why.name(); "a call is not taken on")
            }
        }
        self.answer_now(class, ticket, verdict);
    }

    /// A verdict at once, counted in the figures if it ends the message.
    fn answer_now(&mut self, class: &str, ticket: Ticket, verdict: Verdict) {
        let tally = match verdict {
            Verdict::Taken => None,
            Verdict::Busy(_) | Verdict::Elsewhere { .. } => Some(Tally::Rejected),
            Verdict::Failed(_) => Some(Tally::Failed),
        };
        // Only classes of the settings are counted: a client's nonsense makes no new figure.
        if let Some(tally) = tally.filter(|_| self.names.classes.iter().any(|c| c == class)) {
            self.figures.count(class, tally);
        }
        self.orders.push(Order::Answer { ticket, verdict });
    }

    /// What a message of a class that is never repeated is answered if it was handed in before, by whoever and wherever.
    fn once_verdict(&mut self, now: Ms, s: &Submission) -> Option<Verdict> {
        let name = self.once.name(&s.class, &s.idempotency, &s.identity.1)?;
        match self.once.judge(&name) {
            Judgement::New => None,
            // Its end is not known yet, and somebody else is told of it.
            Judgement::Held(no) if self.known.get(&s.identity).is_some_and(|k| k.no == no) => None,
            Judgement::Held(_) => Some(Verdict::Busy(NO_ROOM_ADVICE.min(self.settings.max_advice))),
            Judgement::Ended(ending @ Ending::Delivered) => {
                if !s.identity.0.is_empty() {
                    let until = now + super::ANSWER_KEPT;
                    let (identity, reply) = (s.identity.clone(), s.reply.clone());
                    self.orders.push(Order::Tell(super::Told { no: 0, identity, ending, reply, until }));
                }
                Some(Verdict::Taken)
            }
            Judgement::Ended(_) => {
                Some(Verdict::Failed("it may have taken effect, and is not sent again".into()))
            }
        }
    }

    /// The class of a call that makes sense.
    fn check(&self, s: &Submission) -> Result<usize, String> {
        let class = place(&self.names.classes, &s.class).ok_or("unknown class")?;
        if self.retired.classes.contains(&s.class) || self.retired.tenants.contains(&s.tenant) {
            return Err("the class or tenant is not served any more".into());
        }
        let keyed = matches!(self.settings.classes[class].effect, Effect::Keyed { .. });
        let printable = |t: &str| t.bytes().all(|b| b.is_ascii_graphic());
        if !s.tenant.is_empty() && place(&self.names.tenants, &s.tenant).is_none() {
            Err("unknown tenant".into())
        } else if s.identity.1.is_empty() || s.identity.1.len() > NAME_MOST || !printable(&s.identity.1) {
            Err("bad id".into())
        } else if s.idempotency.len() > NAME_MOST || !printable(&s.idempotency) {
            Err("bad idempotency key".into())
        } else if keyed && s.idempotency.is_empty() {
            Err("an idempotency key is needed in this class".into())
        } else if s.body.len() > BODY_MOST {
            Err("the body is too large".into())
        } else {
            Ok(class)
        }
    }
}
