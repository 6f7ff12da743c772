//! Booking: a message ends once. Its final answer is sent until the client confirms it; only then is the
//! message closed.

use super::figures::ClientOutcome;
use super::{Core, Counters, FinalAnswer, HeldMessage, Order, Verdict, ANSWER_KEPT};
use crate::api::*;
use crate::journal::{Ending, MessageNo, Record};

/// How long an identity is remembered after its message is closed.
const IDENTITY_MEMORY_AFTER_END: Ms = 20_000.0;

impl Counters {
    pub(super) fn count_outcome(&mut self, outcome: Outcome) {
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

/// How an ending is logged: the outcome, and the retry-after in milliseconds.
fn outcome_fields(ending: Ending) -> (&'static str, f64) {
    match ending {
        Ending::Delivered => ("delivered", 0.0),
        Ending::GivenUp => ("given_up", 0.0),
        Ending::Returned(wait) => ("handed_back", wait),
    }
}

impl Core {
    pub(super) fn return_message(&mut self, now: Ms, no: MessageNo, retry_in: Ms) {
        self.finish(now, no, Ending::Returned(retry_in));
    }

    pub(super) fn give_up(&mut self, now: Ms, no: MessageNo) {
        self.finish(now, no, Ending::GivenUp);
    }

    /// Ends a message. A client that still waits for its verdict gets the ending as the verdict; any other
    /// gets a final answer.
    pub(super) fn finish(&mut self, now: Ms, no: MessageNo, ending: Ending) {
        let Some(c) = self.messages.get_mut(&no).filter(|c| c.ending.is_none()) else { return };
        c.ending = Some(ending);
        let tally = match ending {
            Ending::Delivered => ClientOutcome::Completed,
            Ending::GivenUp => ClientOutcome::Failed,
            Ending::Returned(_) => ClientOutcome::Rejected,
        };
        self.metrics.count(&c.taken.class, tally);
        let (identity, dest) = (c.taken.identity.clone(), c.taken.destination);
        let (outcome, wait) = outcome_fields(ending);
        log::debug!(id = identity.1.as_str(), class = c.taken.class.as_str(), member = dest, outcome = outcome, wait_ms = wait,
            attempts = c.attempts, left_ms = c.taken.valid_until - now; "a message ended");
        self.ceilings.message_dequeued(dest);
        self.cells.remove_ended(now, c, ending == Ending::Delivered);
        let platform = identity.0.is_empty();
        let may_be_late = c.unreported_end.is_some();
        if ending == Ending::Delivered && !may_be_late {
            // The next message of its key may go, although the client has not confirmed the answer.
            self.key_order.remove(no, c.taken.key);
        }
        self.append_or_defer(&Record::FinalAnswer { no, ending });
        self.end_copy_wait(no);
        self.replicate_ending(now, no, &identity, ending);
        let asking = self.awaiting_verdict.iter().any(|a| a.0 == no);
        if let Some(k) = self.identities.get_mut(&identity) {
            k.ending = Some(ending);
            k.verdict = match ending {
                Ending::Returned(wait) if asking => Verdict::Busy(wait),
                Ending::GivenUp if asking => Verdict::Failed("given up".into()),
                _ => Verdict::Accepted,
            };
        }
        match ending {
            Ending::Delivered => self.counters.delivered += 1,
            _ if asking => {}
            Ending::GivenUp => self.counters.given_up += 1,
            Ending::Returned(_) => self.counters.handed_back += 1,
        }
        // The platform learns by itself that a message was delivered.
        if asking || (platform && ending == Ending::Delivered && !may_be_late) {
            if let Some(k) = self.identities.get(&identity).filter(|_| asking) {
                self.verdicts.insert(no, k.verdict.clone());
            }
            // Guards against many rejected messages, each under a new id, filling the journal so that
            // accepted ones find no room.
            let refused = platform && asking && matches!(ending, Ending::Returned(_));
            self.close_with_memory(now, no, if refused { 0.0 } else { IDENTITY_MEMORY_AFTER_END });
        } else {
            self.order_final_answer(no);
        }
    }

    /// Orders the final answer of a message to be sent, if it has ended.
    pub(super) fn order_final_answer(&mut self, no: MessageNo) {
        let Some(c) = self.messages.get(&no) else { return };
        let Some(ending) = c.ending else { return };
        let (identity, reply) = (c.taken.identity.clone(), c.taken.reply_to.clone());
        let until = c.taken.valid_until + ANSWER_KEPT;
        self.orders.push(Order::SendFinalAnswer(FinalAnswer {
            message_no: no,
            identity,
            ending,
            reply_to: reply,
            expires_at: until,
        }));
    }

    /// Guards against final answers piling up for sessions that never come back. The platform's are sent
    /// until it confirms them.
    pub(super) fn drop_unclaimed_answers(&mut self, now: Ms) {
        let lapsed = |c: &HeldMessage| {
            let session = !c.taken.identity.0.is_empty();
            session && c.ending.is_some() && c.taken.valid_until + ANSWER_KEPT <= now
        };
        let due: Vec<MessageNo> =
            self.messages.iter().filter(|(_, c)| lapsed(c)).map(|(no, _)| *no).collect();
        due.into_iter().for_each(|no| self.close_message(now, no));
    }

    /// The client has confirmed the final answer.
    pub fn final_answer_confirmed(&mut self, now: Ms, no: MessageNo) {
        if self.messages.get(&no).is_some_and(|c| c.ending.is_some()) {
            self.counters.confirmed += 1;
            self.close_message(now, no);
        }
    }

    /// Removes a message from those that are held.
    pub(super) fn remove_message(&mut self, now: Ms, no: MessageNo) -> Option<HeldMessage> {
        let c = self.messages.remove(&no)?;
        // Guards against sending the next message of its key while an endpoint may not yet know that an
        // attempt of this message has ended.
        if !self.unconfirmed.end_message(no) {
            self.key_order.remove(no, c.taken.key);
        }
        self.backlog.remove(no);
        self.live_bytes -= c.size;
        if c.ending.is_none() {
            self.ceilings.message_dequeued(c.taken.destination);
            self.cells.remove_ended(now, &c, false);
        }
        Some(c)
    }

    /// Closes a message: its client is owed nothing more, and a later message of its key may go.
    pub(super) fn close_message(&mut self, now: Ms, no: MessageNo) {
        self.close_with_memory(now, no, IDENTITY_MEMORY_AFTER_END);
    }

    fn close_with_memory(&mut self, now: Ms, no: MessageNo, memory: Ms) {
        let Some(c) = self.remove_message(now, no) else { return };
        self.end_copy_wait(no);
        self.replicate_ending(now, no, &c.taken.identity, c.ending.unwrap_or(Ending::GivenUp));
        let name =
            self.at_most_once.entry_name(&c.taken.class, &c.taken.idempotency_key, &c.taken.identity.1);
        if let Some(name) = name {
            // Without a recorded ending it may have run.
            let ending = c.ending.unwrap_or(Ending::GivenUp);
            let tenant = self.tenant_if_movable(&c.taken.tenant);
            let until = self.at_most_once.end(now, &c.taken.class, &name, ending, tenant.clone());
            if let Some(until) = until {
                self.append_or_defer(&Record::AtMostOnceEnded { name, ending, until, tenant });
            }
        }
        c.unreported_end.into_iter().for_each(|ended| self.post_end(c.cell, ended));
        self.cells.post(c.cell, Event::AnswerConfirmed(no));
        let until = now + memory;
        if memory <= 0.0 {
            self.forget_identity(&c.taken.identity);
        } else if let Some(k) = self.identities.get_mut(&c.taken.identity) {
            let (old, ending) = (k.until as u64, k.ending.or(Some(Ending::GivenUp)));
            (k.until, k.ending) = (until, ending);
            self.identity_expiry.remove(&(old, c.taken.identity.clone()));
            self.identity_expiry.insert((until as u64, c.taken.identity));
        }
        self.append_or_defer(&Record::Settled { no, until });
    }

    /// Answers the clients that wait for a verdict of this turn.
    pub(super) fn answer_waiting_clients(&mut self) {
        for (no, ticket) in std::mem::take(&mut self.awaiting_verdict) {
            let verdict = self.verdicts.get(&no).cloned().unwrap_or(Verdict::Accepted);
            self.counters.busy += u64::from(matches!(verdict, Verdict::Busy(_)));
            self.orders.push(Order::AnswerClient { ticket, verdict });
        }
        self.verdicts.clear();
    }

    /// Writes a record without which a restart would still be correct, but slower. If the write fails, the
    /// record is deferred.
    pub(super) fn append_or_defer(&mut self, record: &Record) {
        self.compact_if_full();
        if let Err(e) = self.journal.append(record) {
            self.journal.defer_bounded(record);
            if let Some(count) = self.append_errors.record(self.now) {
                log::error!(cause:% = e, count = count;
                    "a journal record cannot be written yet and is deferred: {e}");
            }
        }
    }
}
