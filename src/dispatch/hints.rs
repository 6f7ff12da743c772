//! Recovery after a start: what outlived the last process decides where to begin and how carefully, but is
//! never taken for the current state.
//!
//! The rate of calls to each member ramps up from the rate of the last incarnation. A message that may run at
//! most once waits until the registry has listed an endpoint of its destination, or one has answered, since
//! the start. With a state folder that cannot vouch for an earlier incarnation, a repeated submission of such
//! a message gets its final answer without an attempt. All of it is optional.

use super::{Core, Withheld};
use crate::api::*;
use crate::config::EndpointList;
use crate::journal::MessageNo;
use crate::kept::CachedList;
use crate::state::Random;
use crate::together::Recovery;
use lilacbank_limits::ramp::{Health, HealthTracker, Ramp, RememberedHealth};
use std::collections::{BTreeMap, BTreeSet};

/// While at-most-once messages wait for a member, one of its endpoints is probed this often.
const PROBE_INTERVAL: Ms = 500.0;
/// The delay before an attempt is decided on again that was held back because its endpoint is not confirmed.
const UNCONFIRMED_RETRY_DELAY: Ms = 100.0;
/// An at-most-once message that waits in vain is returned this long before its deadline, so that its client
/// learns of it in time.
const RETURN_MARGIN: Ms = 200.0;

/// What a start knows of earlier incarnations.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StartupHistory {
    /// The configured recovery behaviour.
    pub recovery: Recovery,
    /// What the last incarnation remembered of each member.
    pub destination_health: BTreeMap<String, RememberedHealth>,
    /// The state folder cannot vouch for an earlier incarnation.
    pub unproven: bool,
    /// The process has crashed repeatedly: it begins at half the rate.
    pub crashing: bool,
}

/// The state of recovery; unused where recovery is disabled.
#[derive(Debug)]
pub(super) struct RecoveryState {
    spec: Recovery,
    ramp: Option<Ramp>,
    memory: HealthTracker,
    confirmed_endpoints: BTreeSet<EndpointId>,
    /// Until then a repeated submission of an at-most-once message may have been sent by a lost incarnation.
    unproven_until: Ms,
    next_check: Ms,
    /// Messages may wait for a member; updated with each check.
    has_waiting: bool,
    random: Random,
}

impl RecoveryState {
    pub(super) fn new(now: Ms, past: StartupHistory, settings: &Settings) -> RecoveryState {
        let StartupHistory { recovery: spec, mut destination_health, unproven, crashing } = past;
        let enabled = spec.enabled;
        if crashing {
            destination_health.values_mut().for_each(|f| f.health.rate /= 2.0);
        }
        let first = if crashing { spec.first_rate / 2.0 } else { spec.first_rate };
        let ramp = (enabled && spec.ramp).then(|| Ramp::begin(now, first, destination_health));
        // By then every message that an earlier incarnation accepted has reached its deadline.
        let longest = settings.classes.iter().filter(|c| c.effect == Effect::AtMostOnce).map(|c| c.deadline);
        let unproven = enabled && spec.refuse_again && unproven;
        RecoveryState {
            ramp,
            memory: HealthTracker::default(),
            confirmed_endpoints: BTreeSet::new(),
            unproven_until: if unproven { now + longest.fold(0.0, f64::max) } else { f64::MIN },
            next_check: now,
            has_waiting: false,
            random: Random::new(settings.seed ^ 0x48_1415),
            spec,
        }
    }

    fn withholds_at_most_once(&self) -> bool {
        self.spec.enabled && self.spec.hold_unsafe
    }

    /// Whether the rate of any member is still ramping up.
    pub(super) fn is_ramping(&self) -> bool {
        self.ramp.is_some()
    }
}

impl Core {
    /// Identifies what shares a limit with the endpoint: its own id, or that of its destination.
    fn limit_group(&self, route: EndpointId) -> Option<String> {
        let w = self.endpoint(route)?;
        Some(if self.settings.kind(w.kind).per_endpoint_limit {
            w.uid.clone()
        } else {
            format!("dest {}", w.destination)
        })
    }

    /// Sets what the start knows of earlier incarnations; called before any endpoint list arrives.
    pub fn set_startup_history(&mut self, now: Ms, past: StartupHistory) {
        self.recovery = RecoveryState::new(now, past, &self.settings);
    }

    /// The endpoint list has changed: ramps begin, and endpoints are confirmed if they come from the registry
    /// and not from the cached list.
    pub(super) fn recovery_list_changed(&mut self, now: Ms, listed: &[EndpointId], cached: bool) {
        if !self.recovery.spec.enabled {
            return;
        }
        for route in listed {
            let Some(member) = self.limit_group(*route) else { continue };
            let draw = self.recovery.random.next();
            if let Some(ramp) = &mut self.recovery.ramp {
                ramp.add_destination(now, &member, draw);
            }
            self.mark_capacity_changed(*route);
            if !cached && self.endpoint(*route).is_some_and(|w| w.state == ServiceState::InService) {
                self.confirm_endpoint(*route);
            }
        }
        let members: BTreeSet<String> = self.endpoints.keys().filter_map(|r| self.limit_group(*r)).collect();
        self.recovery.memory.retain(|m| members.contains(m));
        let endpoints = &self.endpoints;
        self.recovery.confirmed_endpoints.retain(|r| endpoints.contains_key(r));
    }

    /// The registry reports that the endpoint list has not changed.
    pub fn endpoint_list_is_current(&mut self) {
        if self.recovery.withholds_at_most_once()
            && self.recovery.confirmed_endpoints.len() < self.endpoints.len()
        {
            let ready = self
                .endpoints
                .iter()
                .filter(|(_, w)| w.gone_since.is_none() && w.endpoint.state == ServiceState::InService);
            let ready: Vec<EndpointId> = ready.map(|(r, _)| *r).collect();
            ready.into_iter().for_each(|r| self.confirm_endpoint(r));
        }
    }

    /// Confirms an endpoint: at-most-once messages that waited for its destination go to the decision module.
    fn confirm_endpoint(&mut self, route: EndpointId) {
        if !self.recovery.withholds_at_most_once() || !self.recovery.confirmed_endpoints.insert(route) {
            return;
        }
        let Some(dest) = self.endpoint(route).map(|w| w.destination) else { return };
        let waits = |c: &super::HeldMessage| {
            c.withheld == Some(Withheld::EndpointUnconfirmed) && c.taken.destination == dest
        };
        let waiting: Vec<MessageNo> =
            self.messages.iter().filter(|(_, c)| waits(c)).map(|(no, _)| *no).collect();
        waiting.into_iter().for_each(|no| self.resume(no));
    }

    /// Whether a message of this class has to wait for its destination to be confirmed. If so, waiting
    /// messages are checked from now on.
    pub(super) fn must_wait_for_endpoint(&mut self, class: &str, dest: DestId) -> bool {
        let waits = self.recovery.withholds_at_most_once()
            && self.is_at_most_once_class(class)
            && !self
                .endpoints_of
                .get(&dest)
                .into_iter()
                .flatten()
                .any(|r| self.recovery.confirmed_endpoints.contains(r));
        self.recovery.has_waiting |= waits;
        waits
    }

    pub(super) fn is_at_most_once_class(&self, class: &str) -> bool {
        let class = crate::config::index_of(&self.names.classes, class);
        class.and_then(|c| self.settings.classes.get(c)).is_some_and(|c| c.effect == Effect::AtMostOnce)
    }

    /// Whether this repeated submission may have been sent by an incarnation that the state folder knows
    /// nothing of.
    pub(super) fn is_unproven(&self, now: Ms, class: &str, again: bool) -> bool {
        again && now < self.recovery.unproven_until && self.is_at_most_once_class(class)
    }

    /// Whether an attempt may go to the endpoint now; else the delay before it is decided on again.
    pub(super) fn recovery_allows(&mut self, now: Ms, no: MessageNo, route: EndpointId) -> Result<(), Ms> {
        if !self.recovery.spec.enabled {
            return Ok(());
        }
        let class = self.messages.get(&no).map(|c| c.taken.class.clone()).unwrap_or_default();
        if self.recovery.withholds_at_most_once()
            && !self.recovery.confirmed_endpoints.contains(&route)
            && self.is_at_most_once_class(&class)
        {
            return Err(UNCONFIRMED_RETRY_DELAY);
        }
        let Some(member) = self.limit_group(route) else { return Ok(()) };
        let Some(ramp) = &mut self.recovery.ramp else { return Ok(()) };
        if let Some((0, again)) = ramp.room(now, &member) {
            self.counters.ramped += 1;
            return Err((again - now).max(1.0));
        }
        ramp.attempt_started(&member);
        self.mark_capacity_changed(route);
        Ok(())
    }

    /// How many calls the ramp allows, and when it allows more.
    pub(super) fn ramp_room(&mut self, now: Ms, route: EndpointId) -> (u32, Ms) {
        let Some(member) = self.limit_group(route) else { return (u32::MAX, now) };
        let room = self.recovery.ramp.as_mut().and_then(|r| r.room(now, &member));
        room.unwrap_or((u32::MAX, now))
    }

    /// Marks the capacity of an endpoint's destination as changed.
    fn mark_capacity_changed(&mut self, route: EndpointId) {
        if let Some(dest) = self.endpoint(route).map(|w| w.destination).filter(|_| self.recovery.is_ramping())
        {
            self.ceilings.mark_changed_at(self.now, dest);
        }
    }

    /// Learns about the member from the end of an attempt or a probe.
    pub(super) fn record_endpoint_response(
        &mut self,
        now: Ms,
        route: EndpointId,
        outcome: Outcome,
        probe: bool,
    ) {
        if !self.recovery.spec.enabled {
            return;
        }
        let Some(member) = self.limit_group(route) else { return };
        let (answered, full) = match outcome {
            Outcome::Delivered | Outcome::Error => (true, false),
            Outcome::Refused => (true, true),
            Outcome::Late | Outcome::NoConnection | Outcome::Reset => (false, false),
            Outcome::Cancelled | Outcome::NotSent => {
                // This says nothing about the member; the next attempt may serve as the trial.
                self.recovery.ramp.iter_mut().for_each(|r| r.attempt_cancelled(&member));
                return;
            }
        };
        if answered {
            self.confirm_endpoint(route);
            if !full && !probe {
                self.recovery.memory.answered(now, &member);
            }
        } else {
            self.recovery.memory.unanswered(now, &member);
        }
        if let Some(ramp) = &mut self.recovery.ramp {
            match answered {
                true => ramp.answered(now, &member, full),
                false => ramp.unanswered(&member),
            }
            if ramp.is_over(now) {
                // The ramp is over: capacity is reported once more, without its bound.
                self.recovery.ramp = None;
                self.reported_capacity.keys().map(|k| k.0).collect::<BTreeSet<_>>().into_iter().for_each(
                    |r| {
                        if let Some(dest) = self.endpoint(r).map(|w| w.destination) {
                            self.ceilings.mark_changed_at(now, dest);
                        }
                    },
                );
            }
        }
        self.mark_capacity_changed(route);
    }

    /// What was learned about the members, with the time of the newest evidence.
    pub(super) fn learned_health(&self, now: Ms) -> Vec<(String, Health, Ms)> {
        if !self.recovery.spec.enabled {
            return Vec::new();
        }
        self.recovery.memory.all_with_time(now).map(|(m, h, at)| (m.to_string(), h, at)).collect()
    }

    /// Another dispatcher has newer evidence about a member.
    pub(super) fn apply_peer_health(&mut self, now: Ms, member: &str, former: RememberedHealth) {
        if let Some(ramp) = &mut self.recovery.ramp {
            ramp.update_from_peer(now, member, former);
        }
        let of = |r: &EndpointId| self.limit_group(*r).as_deref() == Some(member);
        let routes: Vec<EndpointId> = self.endpoints.keys().copied().filter(of).collect();
        routes.into_iter().for_each(|r| self.mark_capacity_changed(r));
    }

    /// Checks waiting at-most-once messages: probes one endpoint of each of their destinations, and returns
    /// messages that have waited in vain.
    pub(super) fn recovery_turn(&mut self, now: Ms) {
        if !self.recovery.has_waiting || now < self.recovery.next_check {
            return;
        }
        let mut dests = BTreeSet::new();
        let mut late = Vec::new();
        for (no, c) in self
            .messages
            .iter()
            .filter(|(_, c)| c.withheld == Some(Withheld::EndpointUnconfirmed) && c.ending.is_none())
        {
            dests.insert(c.taken.destination);
            if now + RETURN_MARGIN + PROBE_INTERVAL >= c.taken.valid_until {
                late.push(*no);
            }
        }
        (self.recovery.has_waiting, self.recovery.next_check) = (!dests.is_empty(), now + PROBE_INTERVAL);
        let wait = NO_ENDPOINT_RETRY_AFTER.min(self.settings.max_retry_after);
        // Nothing of them was sent since the start or before, so their clients may submit them again.
        late.into_iter().for_each(|no| self.return_message(now, no, wait));
        if !self.settings.can_probe {
            return;
        }
        for dest in dests {
            let routes = self.endpoints_of.get(&dest).cloned().unwrap_or_default();
            let ready =
                |r: &&EndpointId| self.endpoint(**r).is_some_and(|w| w.state == ServiceState::InService);
            let ready: Vec<EndpointId> = routes.iter().filter(ready).copied().collect();
            let pick = (self.recovery.random.next() * ready.len() as f64) as usize;
            ready.get(pick).copied().into_iter().for_each(|r| self.probe(now, r));
        }
    }

    /// When waiting at-most-once messages are checked again.
    pub(super) fn recovery_due(&self) -> Option<Ms> {
        self.recovery.has_waiting.then_some(self.recovery.next_check)
    }

    /// What is stored for the next incarnation; `None` where recovery is disabled.
    pub fn cached_endpoint_list(&self, now: Ms, installation: u32, rev: u64) -> Option<CachedList> {
        if !self.recovery.spec.enabled {
            return None;
        }
        let workers =
            self.endpoints.values().filter(|w| w.gone_since.is_none()).map(|w| w.endpoint.clone()).collect();
        let list = EndpointList { revision: rev, is_complete: true, endpoints: workers };
        let health = self.recovery.memory.all(now).map(|(m, h)| (m.to_string(), h));
        Some(CachedList::new(installation, (now, self.journal.clocks()), &list, &self.names, health))
    }
}

/// The retry-after of the client of an at-most-once message whose destination was not confirmed in time.
const NO_ENDPOINT_RETRY_AFTER: Ms = 500.0;
