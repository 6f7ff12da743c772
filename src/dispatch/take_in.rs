//! Intake: checks what a front end submits, and answers at once where no decision is needed.

use super::admit::NO_ROOM_RETRY_AFTER;
use super::figures::ClientOutcome;
use super::once::RepeatCheck;
use super::{ClientTicket, Core, Order, Verdict};
use crate::api::{Effect, Ms};
use crate::config::index_of;
use crate::journal::{AcceptedMessage, Ending, Identity, MessageNo};

/// The largest body, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// The longest id, idempotency key or client name, in bytes.
pub const MAX_NAME_BYTES: usize = 256;

/// A message as a front end has read it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Submission {
    /// The client (empty for the platform) and the id that it gave the message.
    pub identity: Identity,
    /// The name of its class.
    pub class: String,
    /// The name of its tenant; empty if it has none.
    pub tenant: String,
    /// The ordering key; ignored in classes without ordering.
    pub key: Option<u64>,
    /// The idempotency key.
    pub idempotency_key: String,
    /// The destination.
    pub dest: u64,
    /// How long it may still be delivered; `None` means the class's deadline.
    pub time_left: Option<Ms>,
    /// The client marks it as submitted before.
    pub resubmitted: bool,
    /// Where the final answer goes; only the front end interprets this.
    pub reply_to: Vec<u8>,
    /// The message body.
    pub body: Vec<u8>,
}

/// Why a message is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RejectReason {
    /// The submission is invalid.
    Unreadable,
    /// An earlier incarnation that the state folder knows nothing of may have sent it.
    Unproven,
    /// Another dispatcher serves its tenant.
    Elsewhere,
    /// The peers have not reported yet what became of the messages that this dispatcher held.
    CatchingUp,
    /// The endpoint list has no endpoint of its destination.
    NotListed,
    /// The promised share of its destination is used up beyond its deadline.
    NotInTime,
    /// There is no capacity for it, or the state folder cannot be read or written.
    NoRoom,
}

impl RejectReason {
    /// The reason's name in log records and metrics.
    fn name(self) -> &'static str {
        match self {
            RejectReason::Unreadable => "unreadable",
            RejectReason::Unproven => "unproven",
            RejectReason::Elsewhere => "elsewhere",
            RejectReason::CatchingUp => "catching_up",
            RejectReason::NotListed => "not_listed",
            RejectReason::NotInTime => "not_in_time",
            RejectReason::NoRoom => "no_room",
        }
    }
}

impl Core {
    /// Submits a message. The verdict comes as an [`Order::AnswerClient`] of the next [`Core::turn`].
    pub fn submit(&mut self, now: Ms, ticket: ClientTicket, s: Submission) {
        self.take_in(now, ticket, s, false);
    }

    /// Continues a submission after the peers have reported what they know of it.
    pub(super) fn submit_after_query(&mut self, now: Ms, ticket: ClientTicket, s: Submission) {
        self.take_in(now, ticket, s, true);
    }

    fn take_in(&mut self, now: Ms, ticket: ClientTicket, s: Submission, peers_queried: bool) {
        self.now = now;
        if let Some(verdict) = self.once_verdict(now, &s) {
            return self.answer_repeat(&s, ticket, verdict);
        }
        if self.identities.contains_key(&s.identity) {
            return self.answer_known(now, ticket, s);
        }
        match self.verdict_from_sibling(now, &s) {
            Ok(None) => {}
            Ok(Some(verdict)) => return self.answer_repeat(&s, ticket, verdict),
            Err(e) => return self.reject_unknown(&s, ticket, &e),
        }
        if let Some(verdict) = self.verdict_from_copy(&s.identity) {
            return self.answer_repeat(&s, ticket, verdict);
        }
        if !peers_queried && self.query_peers(now, ticket, &s) {
            return;
        }
        if let Some(verdict) = self.verdict_from_last_known(&s.identity) {
            return self.answer_repeat(&s, ticket, verdict);
        }
        match self.check_acceptance(now, &s) {
            Ok((class, left)) => self.accept(now, ticket, s, class, left),
            Err((why, verdict)) => self.reject(&s.class, &s.identity.1, ticket, why, verdict),
        }
    }

    /// Answers a submission that was made before, by whichever client and at whichever dispatcher.
    fn answer_repeat(&mut self, s: &Submission, ticket: ClientTicket, verdict: Verdict) {
        self.counters.repeated += 1;
        self.answer_now(&s.class, ticket, verdict);
    }

    /// Rejects a submission because the journal of the sibling process cannot be read: it may have accepted the
    /// message.
    fn reject_unknown(&mut self, s: &Submission, ticket: ClientTicket, e: &std::io::Error) {
        if let Some(count) = self.append_errors.record(self.now) {
            log::error!(cause:% = e, count = count;
                "the journal of the sibling process cannot be read, and messages are rejected meanwhile: {e}");
        }
        let wait = NO_ROOM_RETRY_AFTER.min(self.settings.max_retry_after);
        self.reject(&s.class, &s.identity.1, ticket, RejectReason::NoRoom, Verdict::Busy(wait));
    }

    /// Answers a submission under an identity that is known.
    fn answer_known(&mut self, now: Ms, ticket: ClientTicket, s: Submission) {
        let Some(no) = self.identities.get(&s.identity).map(|k| k.no) else { return };
        self.counters.repeated += 1;
        if self.awaiting_verdict.iter().any(|a| a.0 == no) {
            self.awaiting_verdict.push((no, ticket));
            return;
        }
        if self.waits_for_copy_ack(no) && self.wait_for_copy_ack(now, no, ticket) {
            return;
        }
        let Some(k) = self.identities.get(&s.identity) else { return };
        // The platform learns of an ending once; a session submits again because it may have missed the
        // answer.
        let unclaimed_ending = k.ending.filter(|_| !s.identity.0.is_empty());
        let (no, verdict) = (k.no, k.verdict.clone());
        self.answer_now(&s.class, ticket, verdict);
        if let Some(ending) = unclaimed_ending {
            let until = now + super::ANSWER_KEPT;
            let told = super::FinalAnswer {
                message_no: no,
                identity: s.identity,
                ending,
                reply_to: s.reply_to,
                expires_at: until,
            };
            self.orders.push(Order::SendFinalAnswer(told));
        } else {
            self.update_reply(no, s.reply_to);
        }
    }

    /// The class of an acceptable message and the time that it has left; else the reason for the rejection
    /// and the answer to its client.
    fn check_acceptance(&mut self, now: Ms, s: &Submission) -> Result<(usize, Ms), (RejectReason, Verdict)> {
        let busy = |wait: Ms, most: Ms| Verdict::Busy(wait.min(most));
        let advice = self.settings.max_retry_after;
        let class = match self.validate(s) {
            Ok(class) => class,
            Err(why) => return Err((RejectReason::Unreadable, Verdict::Failed(why))),
        };
        // An earlier submission may have been accepted and sent by an incarnation whose state folder is lost.
        if self.is_unproven(now, &s.class, s.resubmitted) {
            self.counters.unproven += 1;
            let why = "it may have taken effect in a lost life, and is not sent again";
            return Err((RejectReason::Unproven, Verdict::Failed(why.into())));
        }
        if self.is_not_served_here(&s.tenant) {
            return Err((RejectReason::Elsewhere, self.moved_verdict(&s.tenant)));
        }
        // Peers may still report messages that this dispatcher has lost, so it accepts none before they have.
        if self.is_catching_up() {
            return Err((RejectReason::CatchingUp, busy(NO_ROOM_RETRY_AFTER, advice)));
        }
        // The client may know of the destination before this dispatcher does and may submit again later. An
        // accepted message could only wait.
        if !self.is_listed(s.dest) {
            return Err((RejectReason::NotListed, busy(NO_ROOM_RETRY_AFTER, advice)));
        }
        let deadline = self.settings.classes[class].deadline;
        let left = s.time_left.unwrap_or(deadline).min(deadline);
        match self.admission_wait(now, s.dest, left) {
            Some(wait) => Err((RejectReason::NotInTime, busy(wait, advice))),
            None => Ok((class, left)),
        }
    }

    fn accept(&mut self, now: Ms, ticket: ClientTicket, s: Submission, class: usize, left: Ms) {
        let (name, id) = (s.class.clone(), s.identity.1.clone());
        let taken = AcceptedMessage {
            no: self.next_message_no,
            identity: s.identity,
            key: s.key.filter(|_| self.settings.classes[class].in_order),
            class: s.class,
            tenant: s.tenant,
            idempotency_key: s.idempotency_key,
            destination: s.dest,
            valid_until: now + left,
            reply_to: s.reply_to,
            body: s.body,
        };
        if let Err(wait) = self.admit(now, class, taken, s.resubmitted, ticket) {
            let verdict = Verdict::Busy(wait.min(self.settings.max_retry_after));
            self.reject(&name, &id, ticket, RejectReason::NoRoom, verdict);
        }
    }

    /// Rejects a message: answers its client, and logs and counts the reason.
    fn reject(&mut self, class: &str, id: &str, ticket: ClientTicket, why: RejectReason, verdict: Verdict) {
        self.metrics.count_rejection(why.name());
        self.counters.busy +=
            u64::from(matches!(verdict, Verdict::Busy(_) | Verdict::ServedElsewhere { .. }));
        self.counters.malformed += u64::from(why == RejectReason::Unreadable);
        match &verdict {
            _ if why == RejectReason::Unproven => log::warn!(id = id, class = class, outcome = "failed";
                "{id} was submitted before, and the state folder cannot prove that it was never sent; it is not sent again"),
            Verdict::Failed(cause) => {
                log::debug!(id = id, class = class, outcome = "failed", why = why.name(),
                cause = cause.as_str(); "a message is rejected")
            }
            Verdict::Busy(wait) => {
                log::debug!(id = id, class = class, outcome = "busy", why = why.name(), wait_ms = *wait;
                "a message is rejected")
            }
            _ => {
                log::debug!(id = id, class = class, outcome = "elsewhere", why = why.name();
                    "a message is rejected")
            }
        }
        self.answer_now(class, ticket, verdict);
    }

    /// Answers a client at once, and counts the verdict in the metrics if it ends the message.
    fn answer_now(&mut self, class: &str, ticket: ClientTicket, verdict: Verdict) {
        let tally = match verdict {
            Verdict::Accepted => None,
            Verdict::Busy(_) | Verdict::ServedElsewhere { .. } => Some(ClientOutcome::Rejected),
            Verdict::Failed(_) => Some(ClientOutcome::Failed),
        };
        // Only configured classes are counted: invalid input from clients creates no new metrics.
        if let Some(tally) = tally.filter(|_| self.names.classes.iter().any(|c| c == class)) {
            self.metrics.count(class, tally);
        }
        self.orders.push(Order::AnswerClient { ticket, verdict });
    }

    /// The answer to a message of an at-most-once class that was submitted before, by whichever client and at
    /// whichever dispatcher.
    fn once_verdict(&mut self, now: Ms, s: &Submission) -> Option<Verdict> {
        let name = self.at_most_once.entry_name(&s.class, &s.idempotency_key, &s.identity.1)?;
        let own = self.identities.get(&s.identity).map(|known| known.no);
        self.verdict_on_repeat(now, s, self.at_most_once.check(&name), own)
    }

    /// The answer to a message of an at-most-once class of which `check` is known. `own` is the number of the
    /// message that has the submission's identity, if there is one.
    pub(super) fn verdict_on_repeat(
        &mut self,
        now: Ms,
        s: &Submission,
        check: RepeatCheck,
        own: Option<MessageNo>,
    ) -> Option<Verdict> {
        match check {
            RepeatCheck::New => None,
            // The message is held and its end not known yet. Its own client is answered by its identity; any
            // other has to submit again, as it would not get the final answer.
            RepeatCheck::Held(no) if own == Some(no) => None,
            RepeatCheck::Held(_) => {
                Some(Verdict::Busy(NO_ROOM_RETRY_AFTER.min(self.settings.max_retry_after)))
            }
            RepeatCheck::Ended(ending @ Ending::Delivered) => {
                if !s.identity.0.is_empty() {
                    self.order_answer_to_repeat(now, s, ending);
                }
                Some(Verdict::Accepted)
            }
            RepeatCheck::Ended(_) => {
                Some(Verdict::Failed("it may have taken effect, and is not sent again".into()))
            }
        }
    }

    /// Orders the final answer to a session's submission of a message that ended before and is not held here.
    pub(super) fn order_answer_to_repeat(&mut self, now: Ms, s: &Submission, ending: Ending) {
        self.orders.push(Order::SendFinalAnswer(super::FinalAnswer {
            message_no: 0,
            identity: s.identity.clone(),
            ending,
            reply_to: s.reply_to.clone(),
            expires_at: now + super::ANSWER_KEPT,
        }));
    }

    /// The class of a valid message, or the error text.
    fn validate(&self, s: &Submission) -> Result<usize, String> {
        let class = index_of(&self.names.classes, &s.class).ok_or("unknown class")?;
        if self.retired.classes.contains(&s.class) || self.retired.tenants.contains(&s.tenant) {
            return Err("the class or tenant is not served any more".into());
        }
        let keyed = matches!(self.settings.classes[class].effect, Effect::Deduplicated { .. });
        let printable = |t: &str| t.bytes().all(|b| b.is_ascii_graphic());
        if !s.tenant.is_empty() && index_of(&self.names.tenants, &s.tenant).is_none() {
            Err("unknown tenant".into())
        } else if s.identity.1.is_empty() || s.identity.1.len() > MAX_NAME_BYTES || !printable(&s.identity.1)
        {
            Err("bad id".into())
        } else if s.idempotency_key.len() > MAX_NAME_BYTES || !printable(&s.idempotency_key) {
            Err("bad idempotency key".into())
        } else if keyed && s.idempotency_key.is_empty() {
            Err("an idempotency key is needed in this class".into())
        } else if s.body.len() > MAX_BODY_BYTES {
            Err("the body is too large".into())
        } else {
            Ok(class)
        }
    }
}
