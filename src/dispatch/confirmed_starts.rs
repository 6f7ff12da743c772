//! Attempts that wait until the other holders of a copy have confirmed the start. For the decision module and the journal
//! they are outstanding; towards the network side they are attempts that were not written yet.

use super::copying::{copy_name, whole_ms};
use super::{AttemptResult, Core, Order};
use crate::api::{Ms, Outcome};
use crate::journal::MessageNo;

impl Core {
    /// Starts a recorded attempt: at once, or after the holders have confirmed that the message may have run.
    pub(super) fn start_attempt(&mut self, now: Ms, no: MessageNo) {
        let Some(message) = self.messages.get(&no) else { return };
        let Some(attempt) = message.out.as_ref().map(|out| out.attempt) else { return };
        if let Some(replication) = &mut self.replication {
            let name = copy_name(&message.taken.identity);
            replication.keeper.record_start(whole_ms(now), &name);
            if !replication.keeper.is_start_confirmed(&name) {
                replication.waiting_starts.insert(no, attempt);
                return;
            }
        }
        let order = self.attempt_order(no);
        self.orders.extend(order.map(Order::StartAttempt));
    }

    /// Starts the waiting attempts whose start is confirmed, and ends those that may not be sent any more.
    pub(super) fn release_confirmed_starts(&mut self, now: Ms) {
        let closing = self.closing.is_some_and(|at| at <= now);
        for (no, attempt) in self.waiting_starts() {
            if closing {
                self.end_waiting_start(now, no, attempt);
            } else if self.is_start_confirmed(now, no) {
                self.forget_waiting_start(no);
                self.start_confirmed(now, no, attempt);
            }
        }
    }

    fn is_start_confirmed(&self, now: Ms, no: MessageNo) -> bool {
        let Some(replication) = &self.replication else { return true };
        let Some(message) = self.messages.get(&no) else { return true };
        let name = copy_name(&message.taken.identity);
        replication.keeper.may_start_attempt(whole_ms(now), &name)
            && replication.keeper.is_start_confirmed(&name)
    }

    /// Starts an attempt that has waited. The wait is no part of its time.
    fn start_confirmed(&mut self, now: Ms, no: MessageNo, attempt: u32) {
        let out = self.messages.get_mut(&no).and_then(|c| c.out.as_mut());
        let Some(out) = out.filter(|out| out.attempt == attempt && out.cancel_requested.is_none()) else {
            return;
        };
        out.sent_at = now;
        let order = self.attempt_order(no);
        self.orders.extend(order.map(Order::StartAttempt));
    }

    /// Carries out the orders of this turn that concern waiting attempts: the network side does not know these.
    pub(super) fn withdraw_waiting_starts(&mut self, now: Ms) {
        let waiting = self.waiting_starts();
        if waiting.is_empty() {
            return;
        }
        let is_waiting = |no: &MessageNo, attempt: &u32| waiting.contains(&(*no, *attempt));
        let mut withdrawn = Vec::new();
        let mut orders = std::mem::take(&mut self.orders);
        orders.retain(|order| match order {
            Order::CancelAttempt { no, attempt, .. } if is_waiting(no, attempt) => {
                withdrawn.push((*no, *attempt));
                false
            }
            Order::WithholdUnwritten { dest, route } => {
                let concerned = waiting.iter().filter(|(no, _)| {
                    let message = self.messages.get(no);
                    message.is_some_and(|c| {
                        let to = c.out.as_ref().map(|out| out.route);
                        c.taken.destination == *dest && (route.is_none() || to == *route)
                    })
                });
                withdrawn.extend(concerned.copied());
                true
            }
            _ => true,
        });
        self.orders = orders;
        withdrawn.into_iter().for_each(|(no, attempt)| self.end_waiting_start(now, no, attempt));
    }

    /// Ends a waiting attempt: it was not sent.
    fn end_waiting_start(&mut self, now: Ms, no: MessageNo, attempt: u32) {
        self.forget_waiting_start(no);
        self.attempt_ended(now, no, attempt, AttemptResult::new(Outcome::NotSent));
    }

    fn waiting_starts(&self) -> Vec<(MessageNo, u32)> {
        self.replication.iter().flat_map(|r| &r.waiting_starts).map(|(no, attempt)| (*no, *attempt)).collect()
    }

    fn forget_waiting_start(&mut self, no: MessageNo) {
        if let Some(replication) = &mut self.replication {
            replication.waiting_starts.remove(&no);
        }
    }
}
