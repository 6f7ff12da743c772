//! Sending: an attempt is written to the journal before its first byte goes out, and has a time at which it
//! ends.

use super::{Attempt, Core, HeldMessage, OutstandingAttempt};
use crate::api::*;
use crate::config::index_of;
use crate::guard;
use crate::journal::{AttemptSent, MessageNo, Record};

/// Why an attempt does not go out now.
enum SendBlock {
    /// It may be tried again after this many milliseconds, or when something else happens (0).
    Wait(Ms),
    /// Another dispatcher may act on its message.
    Suspended,
}

impl Core {
    /// Starts an attempt if the rules allow it now. An attempt that cannot be written to the journal is not
    /// sent.
    pub(super) fn send(&mut self, now: Ms, no: MessageNo, route: EndpointId, cap: Option<Ms>) {
        let allowed = self.guard_allows(now, no, route);
        let Some(attempt) = self.begin_attempt(now, no, route, cap) else { return };
        let passed = self.check_send(now, no, route, allowed).and_then(|()| self.record_attempt(now, no));
        match passed {
            Ok(()) => {
                self.log_attempt_start(now, no, route);
                self.counters.sent += 1;
                self.start_attempt(now, no);
            }
            Err(SendBlock::Wait(wait)) => self.report_unsent(now, no, attempt, wait),
            Err(SendBlock::Suspended) => {
                self.report_unsent(now, no, attempt, 0.0);
                self.suspend(no);
            }
        }
    }

    /// Marks an attempt as outstanding, whatever becomes of it, and returns its number; `None` if the message
    /// has ended or has an outstanding attempt.
    fn begin_attempt(&mut self, now: Ms, no: MessageNo, route: EndpointId, cap: Option<Ms>) -> Option<u32> {
        let c = self.messages.get_mut(&no).filter(|c| c.ending.is_none() && c.out.is_none())?;
        let attempt = c.attempts;
        let left = c.taken.valid_until - now;
        let until = now + cap.map_or(left, |cap| cap.min(left)).max(0.0);
        c.attempts += 1;
        let (recorded, written, cancel_requested, charge) = (false, false, None, None);
        c.out = Some(OutstandingAttempt {
            attempt,
            route,
            sent_at: now,
            timeout_at: until,
            recorded,
            written,
            cancel_requested,
            charge,
        });
        Some(attempt)
    }

    /// Checks everything that may hold an attempt back: the cell's slots, the send rules, the recovery ramp,
    /// replication, and the promised limits.
    fn check_send(
        &mut self,
        now: Ms,
        no: MessageNo,
        route: EndpointId,
        allowed: Result<(), Ms>,
    ) -> Result<(), SendBlock> {
        let cell = self.messages.get(&no).map_or(0, |c| c.cell);
        // The slot is given back with the outcome, whatever that is.
        if !self.cells.take_slot(now, cell) {
            self.cells.force_slot(cell);
            return Err(SendBlock::Wait(0.0));
        }
        allowed.map_err(SendBlock::Wait)?;
        self.recovery_allows(now, no, route).map_err(SendBlock::Wait)?;
        if !self.replication_allows_start(now, no) {
            return Err(SendBlock::Suspended);
        }
        let charge = self.charge(now, cell, route).map_err(SendBlock::Wait)?;
        if let Some(out) = self.messages.get_mut(&no).and_then(|c| c.out.as_mut()) {
            out.charge = charge;
        }
        Ok(())
    }

    /// Writes the attempt to the journal before its first byte goes out.
    fn record_attempt(&mut self, now: Ms, no: MessageNo) -> Result<(), SendBlock> {
        let record = self.messages.get(&no).map(|c| self.attempt_record(no, c));
        if let Some(Err(e)) = record.map(|r| self.append_or_compact(&r)) {
            if let Some(count) = self.append_errors.record(now) {
                log::error!(cause:% = e, count = count;
                    "an attempt cannot be written to the journal and is not sent: {e}");
            }
            return Err(SendBlock::Wait(self.record_retry_delay()));
        }
        if let Some(out) = self.messages.get_mut(&no).and_then(|c| c.out.as_mut()) {
            out.recorded = true;
        }
        Ok(())
    }

    /// What the network side needs to carry out the outstanding attempt.
    pub(super) fn attempt_order(&self, no: MessageNo) -> Option<Attempt> {
        let c = self.messages.get(&no)?;
        let out = c.out.as_ref()?;
        Some(Attempt {
            message_no: no,
            attempt: out.attempt,
            endpoint: out.route,
            address: self.address(out.route),
            dest: c.taken.destination,
            id: c.taken.identity.1.clone(),
            idempotency_key: c.taken.idempotency_key.clone(),
            body: c.taken.body.clone(),
            timeout: out.timeout_at - out.sent_at,
            latest_write: guard::latest_write(&self.guard_message(c), &self.guard_process()),
            max_connections: self.ceilings.max_connections(c.taken.destination),
        })
    }

    /// Logs which attempt it is, where it goes and how the last one ended, which tells why the message is
    /// sent again.
    fn log_attempt_start(&self, now: Ms, no: MessageNo, route: EndpointId) {
        let Some(c) = self.messages.get(&no).filter(|_| log::log_enabled!(log::Level::Debug)) else { return };
        let worker = self.endpoint(route).map_or("", |w| w.uid.as_str());
        let after = c.last_outcome.map_or("nothing".to_string(), |outcome| format!("{outcome:?}"));
        log::debug!(id = c.taken.identity.1.as_str(), class = c.taken.class.as_str(), member = c.taken.destination, worker = worker,
            attempt = c.attempts.saturating_sub(1), after = after.as_str(), left_ms = c.taken.valid_until - now;
            "an attempt begins");
    }

    /// Asks the send rules whether an attempt may go out. If not, returns how long its endpoint is left alone
    /// (0: no retry-after is active).
    fn guard_allows(&mut self, now: Ms, no: MessageNo, route: EndpointId) -> Result<(), Ms> {
        let Some(message) = self.messages.get(&no).map(|c| self.guard_message(c)) else { return Err(0.0) };
        let Some(endpoint) = self.guard_endpoint(now, route) else { return Err(0.0) };
        let wait = endpoint.retry_after_until.map_or(0.0, |until| until - now);
        let answer = guard::may_send(now, &message, &endpoint, &self.guard_process());
        self.guard.record(answer).map_err(|reason| {
            let id = self.messages.get(&no).map_or("", |c| c.taken.identity.1.as_str());
            log::debug!(id = id, route = route, cause = reason.name();
                "a send rule does not allow an attempt now");
            wait
        })
    }

    /// A message as the send rules see it.
    fn guard_message<'a>(&self, c: &'a HeldMessage) -> guard::AttemptMessage<'a> {
        let class = index_of(&self.names.classes, &c.taken.class).and_then(|c| self.settings.classes.get(c));
        let ordered = class.is_some_and(|class| class.in_order);
        guard::AttemptMessage {
            ended: c.ending.is_some(),
            outstanding: c.out.is_some(),
            unconfirmed: self.unconfirmed.has_unconfirmed(c.taken.no, self.now),
            valid_until: c.taken.valid_until,
            attempts: c.attempts,
            effect: class.map_or(Effect::AtMostOnce, |class| class.effect),
            dedup_window: class.map_or(0.0, |class| class.dedup_window),
            first_possible_run: c.ran.as_ref().map(|sent| (sent.at, sent.zone.as_str())),
            earlier_in_key_pending: ordered && self.key_order.has_earlier(&c.taken),
        }
    }

    /// An endpoint as the send rules see it.
    pub(super) fn guard_endpoint(&self, now: Ms, route: EndpointId) -> Option<guard::AttemptEndpoint<'_>> {
        let w = self.endpoint(route)?;
        let out = self.blocked_endpoints.contains(&w.uid) && w.state == ServiceState::InService;
        let listing = if out { ServiceState::Draining } else { w.state };
        let zone = self.names.zones.get(w.zone).map_or("", String::as_str);
        let wait_until = self.active_wait(now, route).map(|wait| wait.until);
        Some(guard::AttemptEndpoint { state: listing, zone, retry_after_until: wait_until })
    }

    fn guard_process(&self) -> guard::Process {
        let (most_attempts, round) = (self.settings.max_attempts, self.settings.min_step_interval);
        guard::Process { no_attempts_from: self.closing, max_attempts: most_attempts, time_resolution: round }
    }

    /// The last byte of an attempt has been written.
    pub fn attempt_written(&mut self, now: Ms, no: MessageNo, attempt: u32) {
        let out = self.messages.get_mut(&no).and_then(|c| c.out.as_mut()).filter(|o| o.attempt == attempt);
        let Some(o) = out else { return };
        let first = !std::mem::replace(&mut o.written, true);
        self.metrics.attempts_written += u64::from(first);
        if first {
            self.check_write_rules(now, no);
        }
        let Some(o) = self.messages.get_mut(&no).and_then(|c| c.out.as_mut()) else { return };
        // The attempt stays outstanding meanwhile, because the journal may be compacted here.
        let Some(mut charge) = o.charge.take() else { return };
        self.charge_written(now, &mut charge);
        if let Some(o) = self.messages.get_mut(&no).and_then(|c| c.out.as_mut()) {
            o.charge = Some(charge);
        }
    }

    /// Counts the rule that the writing of an attempt has violated, if any. This is checked when the write is
    /// reported, a little after the write itself.
    fn check_write_rules(&mut self, now: Ms, no: MessageNo) {
        let Some(c) = self.messages.get(&no) else { return };
        let message = self.guard_message(c);
        let written = guard::WrittenAttempt {
            latest_write: guard::latest_write(&message, &self.guard_process()),
            retry_after_received_at: c
                .out
                .as_ref()
                .and_then(|out| self.active_wait(now, out.route))
                .map(|wait| wait.learned_at),
            earlier_in_key_pending: message.earlier_in_key_pending,
            unconfirmed: message.unconfirmed,
        };
        if let Some(reason) = guard::violated_rule(now, &written) {
            log::error!(id = c.taken.identity.1.as_str(), late_ms = now - written.latest_write, cause = reason.name();
                "an attempt was written in violation of a send rule");
            self.guard.record_violation(reason);
        }
    }

    /// The journal record of a message's attempts.
    pub(super) fn attempt_record(&self, no: MessageNo, c: &HeldMessage) -> Record {
        let out = c.out.as_ref().map(|o| AttemptSent { at: o.sent_at, zone: self.zone_name(o.route) });
        Record::Attempts { no, attempts: c.attempts, may_have_run: c.ran.clone(), in_progress: out }
    }

    /// The same record for a compacted journal. An attempt that is not in the journal yet may still be held
    /// back and does not count.
    pub(super) fn compacted_attempt_record(&self, no: MessageNo, c: &HeldMessage) -> Option<Record> {
        let unrecorded = c.out.as_ref().filter(|o| !o.recorded).map(|o| o.attempt);
        match unrecorded {
            Some(0) => None,
            Some(attempts) => {
                Some(Record::Attempts { no, attempts, may_have_run: c.ran.clone(), in_progress: None })
            }
            None => (c.attempts > 0).then(|| self.attempt_record(no, c)),
        }
    }

    /// The name of an endpoint's zone.
    pub(super) fn zone_name(&self, route: EndpointId) -> String {
        let zone = self.endpoint(route).map(|w| w.zone);
        zone.and_then(|z| self.names.zones.get(z)).cloned().unwrap_or_default()
    }
}
