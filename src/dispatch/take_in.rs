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
            self.counters.repeated += 1;
            return self.answer_now(&s.class, ticket, verdict);
        }
        if let Some(k) = self.known.get(&s.identity) {
            self.counters.repeated += 1;
            let no = k.no;
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
            return;
        }
        if let Some(verdict) = self.copied_verdict(&s.identity) {
            self.counters.repeated += 1;
            return self.answer_now(&s.class, ticket, verdict);
        }
        if !looked && self.look_elsewhere(now, ticket, &s) {
            return;
        }
        let class_name = s.class.clone();
        let verdict = match self.check(&s) {
            Err(why) => {
                self.counters.malformed += 1;
                Verdict::Failed(why)
            }
            // Its first hand-in may have been taken, sent and forgotten with the folder.
            Ok(_) if self.is_unproven(now, &s.class, s.again) => {
                self.counters.unproven += 1;
                log::warn!(id = s.identity.1.as_str(), class = s.class.as_str(), outcome = "failed";
                    "{} was handed in before, and the folder cannot prove that it never went out: it is not sent", s.identity.1);
                Verdict::Failed("it may have taken effect in a lost life, and is not sent again".into())
            }
            Ok(_) if self.is_elsewhere(&s.tenant) => self.elsewhere(&s.tenant),
            // What it lost may be told it any moment: it says yes to nobody before.
            Ok(_) if self.is_catching_up() => Verdict::Busy(NO_ROOM_ADVICE.min(self.settings.max_advice)),
            // Perhaps the client has heard of it first: it may come again. Taken on, the message could only wait.
            Ok(_) if !self.is_listed(s.dest) => Verdict::Busy(NO_ROOM_ADVICE.min(self.settings.max_advice)),
            Ok(class) => {
                let deadline = self.settings.classes[class].deadline;
                let left = s.left.unwrap_or(deadline).min(deadline);
                if let Some(wait) = self.door_wait(now, s.dest, left) {
                    self.counters.busy += 1;
                    let verdict = Verdict::Busy(wait.min(self.settings.max_advice));
                    return self.answer_now(&s.class, ticket, verdict);
                }
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
                let id = taken.identity.1.clone();
                match self.admit(now, class, taken, s.again, ticket) {
                    Ok(()) => return,
                    Err(wait) => {
                        log::debug!(id = id.as_str(), outcome = "busy", wait_ms = wait; "a call is not taken on");
                        Verdict::Busy(wait.min(self.settings.max_advice))
                    }
                }
            }
        };
        self.counters.busy += u64::from(matches!(verdict, Verdict::Busy(_) | Verdict::Elsewhere { .. }));
        if let Verdict::Failed(why) = &verdict {
            log::debug!(cause = why.as_str(), outcome = "failed"; "a call is not taken on");
        }
        self.answer_now(&class_name, ticket, verdict);
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
