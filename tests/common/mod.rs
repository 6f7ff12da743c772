//! Runs the decision module on scripted events and checks each of its actions against the delivery rules.
#![allow(dead_code)]

use lilacbank::api::*;
use lilacbank::DecisionModule;
use std::collections::{BTreeMap, VecDeque};

pub const ANSWER_SLACK: Ms = 20.0;

pub fn class(effect: Effect) -> Class {
    Class {
        target_time: 2_000.0,
        deadline: 16_000.0,
        effect,
        dedup_window: 4_000.0,
        in_order: false,
        late_worth: 0.3,
        worth: 1.0,
        target_stretch: 0.0,
    }
}

/// Classes 0 to 3: idempotent, deduplicated within a zone, at-most-once, and idempotent in order.
pub fn settings() -> Settings {
    let ordered = Class { in_order: true, ..class(Effect::Idempotent) };
    Settings {
        seed: 7,
        dispatchers: 1,
        min_step_interval: 5.0,
        classes: vec![
            class(Effect::Idempotent),
            class(Effect::Deduplicated { same_zone_only: true }),
            class(Effect::AtMostOnce),
            ordered,
        ],
        kinds: vec![
            DestinationKind { per_endpoint_limit: true, max_batch: 1 },
            DestinationKind { per_endpoint_limit: false, max_batch: 1 },
            DestinationKind { per_endpoint_limit: true, max_batch: 5 },
        ],
        slots: 8,
        max_held: 60,
        max_attempts: 6,
        can_cancel: true,
        max_retry_after: 2_000.0,
        connect_timeout: 1_000.0,
        answer_slack: ANSWER_SLACK,
        drain_grace: 250.0,
        overload_factor: 2.0,
        overload_span: 2_000.0,
        cold_capacity_share: 0.2,
        warm_up: 10_000.0,
        key_quiet_period: 500.0,
        over_quota_worth: 0.1,
        ..Settings::default()
    }
}

pub fn endpoint_row(route: EndpointId, dest: DestId, zone: usize, kind: usize) -> EndpointEntry {
    EndpointEntry { endpoint: route, zone, kind, dest, state: ServiceState::InService, weight: 1.0 }
}

/// An attempt as the checker sees it.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub number: u32,
    pub route: EndpointId,
    pub sent: Ms,
    /// Timeout that the module set for the attempt, if any.
    pub timeout: Option<Ms>,
    /// Whether the attempt is still outstanding.
    pub outstanding: bool,
    pub may_have_run: bool,
}

/// What the checker knows of a message.
#[derive(Debug, Clone)]
pub struct ObservedMessage {
    pub message: Message,
    pub attempts: Vec<Attempt>,
    /// Number of final answers; exactly one is right.
    pub final_answers: usize,
    pub ended_at: Ms,
    /// Retry interval with which the message was returned, if it was.
    pub retry_in: Option<Ms>,
    pub given_up: bool,
}

/// Passes events to a decision module and checks each action against the rules at once.
pub struct CheckedModule {
    pub brain: DecisionModule,
    pub settings: Settings,
    pub now: Ms,
    pub seen: BTreeMap<MessageId, ObservedMessage>,
    pub endpoints: BTreeMap<EndpointId, EndpointEntry>,
    pub actions: Vec<Action>,
    pub timers: Vec<(Ms, u64)>,
    /// Violations of the rules.
    pub violations: Vec<String>,
    /// When each endpoint was first listed as draining or gone.
    draining_since: BTreeMap<EndpointId, Ms>,
    /// End of the retry-after of each unit: an endpoint, or a destination whose endpoints share one limit.
    retry_after_until: BTreeMap<(DestId, Option<EndpointId>), Ms>,
    /// Messages of each ordering key in the order of arrival, and the end of the key's quiet period.
    keys: BTreeMap<u64, (VecDeque<MessageId>, Ms)>,
    next_id: MessageId,
}

impl CheckedModule {
    pub fn new(s: Settings, rows: Vec<EndpointEntry>) -> CheckedModule {
        let mut w = CheckedModule {
            brain: DecisionModule::new(s.clone()),
            settings: s,
            now: 1_000.0,
            seen: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            actions: Vec::new(),
            timers: Vec::new(),
            violations: Vec::new(),
            draining_since: BTreeMap::new(),
            retry_after_until: BTreeMap::new(),
            keys: BTreeMap::new(),
            next_id: 1,
        };
        w.process(vec![Event::EndpointList { rows, complete: true, cached: true }]);
        w
    }

    /// Passes in a new message of a class for a destination, as the only event of its batch.
    pub fn submit(&mut self, class: usize, dest: DestId, key: Option<u64>) -> MessageId {
        let id = self.next_id;
        self.next_id += 1;
        let valid_until = self.now + self.settings.classes[class].deadline;
        let m = Message {
            id,
            class,
            tenant: None,
            key,
            valid_until,
            dest,
            resubmitted: false,
            estimated_work: 0.0,
        };
        self.process(vec![Event::MessageArrived(m)]);
        id
    }

    /// The outstanding attempt of a message.
    pub fn outstanding_attempt(&self, id: MessageId) -> Option<Attempt> {
        self.seen[&id].attempts.iter().rfind(|a| a.outstanding).cloned()
    }

    /// Ends the outstanding attempt of a message with this outcome and retry-after.
    pub fn end_attempt(&mut self, id: MessageId, outcome: Outcome, wait: Ms) {
        let a = self.outstanding_attempt(id).expect("no attempt is outstanding");
        let over = outcome == Outcome::Delivered || self.seen[&id].final_answers > 0;
        let took = self.now - a.sent;
        let e = AttemptEnd {
            took,
            message_ended: over,
            retry_after: wait,
            ..AttemptEnd::new(id, a.number, a.route, outcome)
        };
        self.process(vec![Event::AttemptEnded(e)]);
    }

    /// Passes a batch of events to the module, and checks and returns its actions.
    pub fn process(&mut self, events: Vec<Event>) -> Vec<Action> {
        for e in &events {
            self.record_event(e);
        }
        let mut actions = Vec::new();
        self.brain.step(self.now, &events, &mut actions);
        for a in &actions {
            self.check(a);
        }
        // Sends in the reply to the batch that carries a retry-after are permitted, so it binds from here on.
        for e in &events {
            if let Event::AttemptEnded(e) = e {
                if e.retry_after > 0.0 {
                    let limit_unit = self.limit_unit(e.endpoint);
                    let until = self.retry_after_until.entry(limit_unit).or_insert(0.0);
                    *until = until.max(self.now + e.retry_after);
                }
            }
        }
        self.actions.extend(actions.iter().cloned());
        actions
    }

    /// Advances the clock by `span` and fires the timers that fall due.
    pub fn advance(&mut self, span: Ms) {
        let until = self.now + span;
        while let Some(at) = self.timers.iter().map(|t| t.0).filter(|t| *t <= until).min_by(f64::total_cmp) {
            self.now = self.now.max(at);
            let now = self.now;
            let due: Vec<u64> = self.timers.iter().filter(|t| t.0 <= now).map(|t| t.1).collect();
            self.timers.retain(|t| t.0 > now);
            self.process(due.into_iter().map(Event::Timer).collect());
        }
        self.now = until;
    }

    /// The unit that a retry-after of this endpoint binds: the endpoint, or its destination if its endpoints
    /// share one limit.
    fn limit_unit(&self, route: EndpointId) -> (DestId, Option<EndpointId>) {
        let r = &self.endpoints[&route];
        (r.dest, self.settings.kind(r.kind).per_endpoint_limit.then_some(route))
    }

    /// Updates the checker's state with an event, before the module sees it.
    fn record_event(&mut self, e: &Event) {
        match e {
            Event::EndpointList { rows, .. } => {
                for r in rows {
                    self.endpoints.insert(r.endpoint, r.clone());
                    if r.state != ServiceState::InService {
                        self.draining_since.entry(r.endpoint).or_insert(self.now);
                    }
                }
            }
            Event::MessageArrived(m) => {
                if let Some(k) = m.key.filter(|_| self.settings.classes[m.class].in_order) {
                    self.keys.entry(k).or_default().0.push_back(m.id);
                }
                let fresh = ObservedMessage {
                    message: m.clone(),
                    attempts: vec![],
                    final_answers: 0,
                    ended_at: 0.0,
                    retry_in: None,
                    given_up: false,
                };
                self.seen.insert(m.id, fresh);
            }
            Event::AttemptEnded(e) => {
                let now = self.now;
                let Some(seen) = self.seen.get_mut(&e.id) else { return };
                if let Some(a) = seen.attempts.get_mut(e.attempt as usize) {
                    a.outstanding = false;
                    a.may_have_run = !e.outcome.never_ran();
                }
                if e.outcome == Outcome::Delivered && seen.final_answers == 0 {
                    seen.final_answers = 1;
                    seen.ended_at = now;
                }
                if let Some((_, quiet)) = seen.message.key.and_then(|k| self.keys.get_mut(&k)) {
                    if matches!(e.outcome, Outcome::Late | Outcome::Reset | Outcome::Cancelled) {
                        *quiet = now + self.settings.key_quiet_period;
                    }
                }
            }
            _ => {}
        }
    }

    fn add_violation(&mut self, what: String) {
        self.violations.push(format!("{:.0}: {what}", self.now));
    }

    fn check(&mut self, a: &Action) {
        match a {
            Action::Send { id, endpoint: route, timeout: cap } => self.check_send(*id, *route, *cap),
            Action::Return { id, retry_after: retry_in } => {
                let s = self.seen[id].clone();
                let ran = s.attempts.iter().any(|a| a.may_have_run || a.outstanding);
                let effect = self.settings.classes[s.message.class].effect;
                if ran
                    && effect != Effect::Idempotent
                    && effect != (Effect::Deduplicated { same_zone_only: false })
                {
                    self.add_violation(format!("message {id} returned although it may have run"));
                }
                self.record_final_answer(*id);
                self.seen.get_mut(id).unwrap().retry_in = Some(*retry_in);
            }
            Action::GiveUp(id) => {
                self.record_final_answer(*id);
                self.seen.get_mut(id).unwrap().given_up = true;
            }
            Action::Timer { at, token } => self.timers.push((*at, *token)),
            Action::Probe(r) => {
                if self.retry_after_until.get(&self.limit_unit(*r)).is_some_and(|w| *w > self.now) {
                    self.add_violation(format!("probe of endpoint {r} before its retry-after is over"));
                }
            }
            Action::Cancel { .. } | Action::CloseIdleConnections(_) | Action::WatchEndpointList => {}
        }
    }

    /// Counts a final answer and checks that it is the only one and in time.
    fn record_final_answer(&mut self, id: MessageId) {
        let now = self.now;
        let s = self.seen.get_mut(&id).expect("final answer for an unknown message");
        s.final_answers += 1;
        s.ended_at = now;
        let (finals, due) = (s.final_answers, s.message.valid_until + ANSWER_SLACK);
        if finals > 1 {
            self.add_violation(format!("message {id} ended twice"));
        }
        if now > due {
            self.add_violation(format!("message {id} ended too late"));
        }
    }

    /// Checks a new attempt against the rules, and records it.
    fn check_send(&mut self, id: MessageId, route: EndpointId, cap: Option<Ms>) {
        let now = self.now;
        let s = self.seen[&id].clone();
        let row = self.endpoints[&route].clone();
        let c = self.settings.classes[s.message.class].clone();
        if s.final_answers > 0 {
            self.add_violation(format!("message {id} sent after its final answer"));
        }
        if row.dest != s.message.dest {
            self.add_violation(format!("message {id} sent to a destination other than its own"));
        }
        if s.attempts.iter().any(|a| a.outstanding) {
            self.add_violation(format!("message {id} has two outstanding attempts"));
        }
        if s.attempts.len() >= self.settings.max_attempts as usize {
            self.add_violation(format!("message {id} has too many attempts"));
        }
        if let Some(first) = s.attempts.iter().find(|a| a.may_have_run) {
            let same_zone = self.endpoints[&first.route].zone == row.zone;
            let allowed = match c.effect {
                Effect::Idempotent => true,
                Effect::Deduplicated { same_zone_only: by_zone } => {
                    (same_zone || !by_zone) && now <= first.sent + c.dedup_window
                }
                Effect::AtMostOnce => false,
            };
            if !allowed {
                self.add_violation(format!("message {id} could take effect twice"));
            }
        }
        if self.draining_since.get(&route).is_some_and(|d| now > d + self.settings.drain_grace) {
            self.add_violation(format!("endpoint {route} sent to after its drain grace"));
        }
        if self.retry_after_until.get(&self.limit_unit(route)).is_some_and(|w| *w > now) {
            self.add_violation(format!("endpoint {route} sent to before its retry-after is over"));
        }
        if let Some(k) = s.message.key.filter(|_| c.in_order) {
            let (queue, quiet) = self.keys[&k].clone();
            let open = |m: &MessageId| {
                self.seen[m].final_answers == 0 || self.seen[m].attempts.iter().any(|a| a.outstanding)
            };
            if queue.iter().take_while(|m| **m != id).any(open) {
                self.add_violation(format!("message {id} overtakes an earlier one of its key"));
            }
            if s.attempts.is_empty() && quiet > now {
                self.add_violation(format!("message {id} sent in the quiet period of its key"));
            }
        }
        let n = s.attempts.len() as u32;
        let attempt =
            Attempt { number: n, route, sent: now, timeout: cap, outstanding: true, may_have_run: false };
        self.seen.get_mut(&id).unwrap().attempts.push(attempt);
        let outstanding = |dest: Option<DestId>| {
            let all = self.seen.values().filter(|s| dest.is_none_or(|d| s.message.dest == d));
            let single = |a: &&Attempt| {
                a.outstanding && self.settings.kind(self.endpoints[&a.route].kind).max_batch == 1
            };
            all.flat_map(|s| &s.attempts).filter(single).count()
        };
        if self.settings.kind(row.kind).max_batch == 1 {
            let (all, here) = (outstanding(None), outstanding(Some(row.dest)));
            if all > self.settings.slots {
                self.add_violation(format!("{all} attempts outstanding with {} slots", self.settings.slots));
            }
            if here > 1 && here * 4 >= self.settings.slots * 3 {
                self.add_violation(format!("{here} attempts outstanding at one destination"));
            }
        }
    }

    /// Asserts that every message has exactly one final answer and that no rule was broken.
    pub fn assert_rules_kept(&mut self) {
        let lost: Vec<_> =
            self.seen.iter().filter(|(_, s)| s.final_answers != 1).map(|(id, _)| *id).collect();
        assert!(self.violations.is_empty(), "rules broken: {:?}", self.violations);
        assert!(lost.is_empty(), "messages without exactly one final answer: {lost:?}");
    }
}
