//! Relay: reports the outcome of an attempt to the decision module and writes it to the journal.

use super::unconfirmed::UnconfirmedAttempt;
use super::{AttemptResult, Core, Order};
use crate::api::*;
use crate::guard::{self, CONFIRM_TIMEOUT};
use crate::journal::{AttemptSent, Ending, MessageNo};

/// An answer that came this shortly before the message's deadline by the dispatcher's clock may have come
/// after it by the platform's, which counts from the last byte of the request: the request spent some time in
/// transit and in the socket.
const LATE_ANSWER_MARGIN: Ms = 100.0;

/// How long after the endpoint's confirmation the connection reports it.
const CONFIRM_REPORT_DELAY: Ms = 5.0;

impl Core {
    /// An attempt ended. Exactly one outcome counts for each attempt; once it is booked, only the
    /// confirmation that its endpoint knows of the end still matters.
    pub fn attempt_ended(&mut self, now: Ms, no: MessageNo, attempt: u32, end: AttemptResult) {
        let quiet = if end.outcome.never_ran() { 0.0 } else { self.settings.key_quiet_period };
        end.confirmed.into_iter().for_each(|how| self.guard.record_confirmation(how));
        if let Some(unconfirmed) = self.unconfirmed.confirm(now, no, attempt, quiet) {
            return self.book_late_confirmation(now, &unconfirmed, end.retry_after);
        }
        match end.confirmed_within {
            Some(within) => self.book_unconfirmed_end(now, no, attempt, within, end),
            None => self.book_end(now, no, attempt, end),
        }
    }

    /// Books the end of an attempt of which its endpoint may not know for this long: nothing else of the
    /// message goes out before.
    fn book_unconfirmed_end(&mut self, now: Ms, no: MessageNo, attempt: u32, within: Ms, end: AttemptResult) {
        let Some(c) = self.messages.get(&no) else { return };
        let Some(out) = c.out.as_ref().filter(|o| o.attempt == attempt) else { return };
        let unconfirmed = UnconfirmedAttempt::new(out.route, c.taken.key, c.taken.tenant.clone());
        self.unconfirmed.insert(no, attempt, unconfirmed.clone());
        self.book_end(now, no, attempt, end);
        let until = now + within + self.settings.key_quiet_period;
        self.set_key_quiet(now, unconfirmed.key, &unconfirmed.tenant, until);
    }

    /// Books the end of an attempt.
    fn book_end(&mut self, now: Ms, no: MessageNo, attempt: u32, end: AttemptResult) {
        let AttemptResult {
            outcome,
            retry_after: wait,
            report,
            message_over: over,
            answer_begun: heard,
            blocked_by_rule: refused,
            confirmed,
            confirmed_within: pending,
            ended_at: at,
        } = end;
        if let Some(reason) = refused {
            let _ = self.guard.record(Err(reason));
        }
        let Some(c) = self.messages.get_mut(&no) else { return };
        let cell = c.cell;
        let Some(mut out) = c.out.take_if(|o| o.attempt == attempt) else { return };
        if let Some(charge) = out.charge.take() {
            self.charge_ended(now, cell, charge);
        }
        self.counters.count_outcome(outcome);
        if log::log_enabled!(log::Level::Debug) {
            let w = self.endpoints.get(&out.route).map(|w| &w.endpoint);
            let (member, worker) = w.map_or((0, ""), |w| (w.destination, w.uid.as_str()));
            let id = self.messages.get(&no).map_or("", |c| c.taken.identity.1.as_str());
            let (left, limit) = (report.remaining_share.unwrap_or(-1.0), report.limit.unwrap_or(-1.0));
            let confirmed = confirmed.map_or("not_yet", |how| how.name());
            log::debug!(id = id, member = member, worker = worker, outcome:? = outcome, wait_ms = wait, took_ms = now - out.sent_at,
                attempt = attempt, left = left, limit = limit, confirmed = confirmed; "an attempt ended");
        }
        let route = out.route;
        let delivered = outcome == Outcome::Delivered;
        // Guards against messages that use up all their attempts without a request being sent, because a
        // retry-after, a promised limit or a failing state folder holds them back.
        let unspent = outcome == Outcome::NotSent && !heard && !over;
        self.messages.entry(no).and_modify(|c| match unspent {
            true => c.attempts = attempt,
            // An attempt that was held back on this side is no reason for the next one.
            false => c.last_outcome = Some(outcome),
        });
        let ended = AttemptEnd {
            took: at.unwrap_or(now) - out.sent_at,
            message_ended: over || delivered,
            retry_after: wait,
            report,
            answer_begun: heard,
            not_counted: unspent,
            quiet_period: pending.map_or(0.0, |within| within + CONFIRM_REPORT_DELAY),
            ..AttemptEnd::new(no, attempt, route, outcome)
        };
        let may_be_late = delivered && self.may_be_too_late(now, no);
        self.cells.release_slot(cell);
        if may_be_late {
            self.messages.entry(no).and_modify(|c| c.unreported_end = Some(ended));
        } else {
            self.post_end(cell, ended);
        }
        if !outcome.never_ran() {
            let sent = AttemptSent { at: out.sent_at, zone: self.zone_name(out.route) };
            self.messages.entry(no).and_modify(|c| {
                c.ran.get_or_insert(sent);
            });
        }
        self.record_endpoint_response(now, route, outcome, false);
        self.start_quiet_period(now, no, outcome);
        // An attempt held back by a ramp or a promised limit brought no retry-after: other attempts that have
        // their place still go out.
        if wait > 0.0 && outcome != Outcome::NotSent {
            self.record_wait(now, out.route, wait);
            self.order_hold(out.route);
        }
        if delivered {
            self.finish(now, no, Ending::Delivered);
        } else if over {
            self.close_message(now, no);
        } else if !out.recorded {
            // The attempt is not in the journal, and the last record of the message still holds.
            self.end_left_behind(now, no);
        } else if let Some(record) = self.messages.get(&no).map(|c| self.attempt_record(no, c)) {
            // Without this record a restart assumes that the attempt may have run, which is correct, but
            // slower.
            self.append_or_defer(&record);
            self.end_left_behind(now, no);
        }
    }

    /// Whether the message was delivered so late that the platform may still wait for its end. The platform
    /// is then sent a final answer, which does no harm if it has counted the message as delivered.
    fn may_be_too_late(&self, now: Ms, no: MessageNo) -> bool {
        let late = |c: &super::HeldMessage| {
            c.taken.identity.0.is_empty() && now + LATE_ANSWER_MARGIN >= c.taken.valid_until
        };
        self.messages.get(&no).is_some_and(late)
    }

    /// An endpoint asked for a wait in another way than in the answer to an attempt; 0 means none.
    pub fn retry_after_received(&mut self, now: Ms, route: EndpointId, wait: Ms) {
        if wait > 0.0 && self.endpoint(route).is_some() {
            log::debug!(wait_ms = wait; "endpoint {route} asked for a wait outside of an attempt's answer");
            self.post_retry_after(route, wait);
            self.record_wait(now, route, wait);
            self.order_hold(route);
        }
    }

    /// Keeps attempts that were decided before a retry-after came from being written after it has begun.
    pub(super) fn order_hold(&mut self, route: EndpointId) {
        let Some(w) = self.endpoint(route) else { return };
        let apart = self.settings.kind(w.kind).per_endpoint_limit;
        let (dest, route) = (w.destination, apart.then_some(route));
        self.orders.push(Order::WithholdUnwritten { dest, route });
    }

    /// Cancels an attempt for the decision module: its connection is closed, and it may have run.
    pub(super) fn cancel(&mut self, now: Ms, no: MessageNo, attempt: u32) {
        self.request_cancel(now, no, attempt, Outcome::Cancelled);
    }

    /// The same where the endpoint's confirmation cannot be awaited.
    pub(super) fn cancel_and_book(&mut self, now: Ms, no: MessageNo, attempt: u32) {
        self.request_cancel(now, no, attempt, Outcome::Cancelled);
        self.book_cancelled(now, no, attempt);
    }

    /// Cancels attempts that have reached their timeout. If the message has reached its deadline too, the
    /// attempt is booked as ended at once: nothing follows it, and the client is owed the final answer.
    pub(super) fn expire_attempts(&mut self, now: Ms) {
        let up = |(no, c): (&MessageNo, &super::HeldMessage)| {
            let over = c.taken.valid_until <= now;
            let out = c.out.as_ref().filter(|o| o.ends_at(c.taken.valid_until) <= now)?;
            Some((*no, out.attempt, over))
        };
        let due: Vec<_> = self.messages.iter().filter_map(up).collect();
        for (no, attempt, over) in due {
            self.request_cancel(now, no, attempt, Outcome::Late);
            if over {
                self.book_cancelled(now, no, attempt);
            }
        }
    }

    /// Requests the cancellation of an attempt. It stays outstanding until its connection has reported how it
    /// ended: until then its endpoint may not know of the end, and nothing else of the message may be sent.
    fn request_cancel(&mut self, now: Ms, no: MessageNo, attempt: u32, outcome: Outcome) {
        let out = self.messages.get_mut(&no).and_then(|c| c.out.as_mut()).filter(|o| o.attempt == attempt);
        let Some(out) = out.filter(|o| o.cancel_requested.is_none()) else { return };
        out.cancel_requested = Some((now, outcome));
        self.orders.push(Order::CancelAttempt { no, attempt, outcome });
    }

    /// Books the end of a cancelled attempt before its connection has reported it.
    pub(super) fn book_cancelled(&mut self, now: Ms, no: MessageNo, attempt: u32) {
        let out = self.messages.get(&no).and_then(|c| c.out.as_ref()).filter(|o| o.attempt == attempt);
        let Some((written, Some((at, outcome)))) = out.map(|o| (o.written, o.cancel_requested)) else {
            return;
        };
        // An attempt that was not written whole cannot have run.
        let outcome = if written { outcome } else { Outcome::NoConnection };
        let end = AttemptResult {
            ended_at: Some(at),
            confirmed_within: Some(CONFIRM_TIMEOUT),
            ..AttemptResult::new(outcome)
        };
        self.book_unconfirmed_end(now, no, attempt, CONFIRM_TIMEOUT, end);
    }

    /// Handles the report of a connection on an attempt whose end was booked before.
    fn book_late_confirmation(&mut self, now: Ms, unconfirmed: &UnconfirmedAttempt, wait: Ms) {
        let until = now + self.settings.key_quiet_period;
        self.set_key_quiet(now, unconfirmed.key, &unconfirmed.tenant, until);
        self.retry_after_received(now, unconfirmed.route, wait);
    }

    /// Records that an endpoint may not yet know of the end of an attempt that another process had
    /// outstanding when it ended.
    pub(super) fn inherit_attempt(&mut self, now: Ms, no: MessageNo, key: Option<u64>) {
        let confirmed_at = guard::inherited_confirmation_deadline(now);
        self.unconfirmed.inherit(no, key, confirmed_at, self.settings.key_quiet_period);
    }

    /// Releases the keys of ended messages once endpoints know of the end of all their attempts.
    pub(super) fn unconfirmed_turn(&mut self, now: Ms) {
        for released in self.unconfirmed.remove_finished(now) {
            self.key_order.remove(released.no, released.key);
        }
    }
}
