//! Routing: feeds events to the decision modules, carries out their actions, and keeps the list of endpoints.

use super::{Core, ListedEndpoint, Order};
use crate::api::*;
use crate::config::{EndpointList, RegistryEndpoint};
use std::collections::{BTreeSet, HashMap, HashSet};

/// The most steps of the decision modules in one turn; remaining events wait for the next turn.
const MAX_STEPS_PER_TURN: usize = 4;

impl Core {
    /// Lets the decision modules process all events that have come in, and returns the orders for the network
    /// side.
    pub fn turn(&mut self, now: Ms) -> Vec<Order> {
        self.now = now;
        self.expire_attempts(now);
        self.drop_unclaimed_answers(now);
        self.unconfirmed_turn(now);
        self.fire_timers(now);
        self.ownership_turn(now);
        self.recovery_turn(now);
        self.replication_turn(now);
        self.backlog_turn(now);
        for _ in 0..MAX_STEPS_PER_TURN {
            self.report_capacity(now);
            if !self.cells.any_events() {
                // Messages that were accepted and withheld from the decision module need no step of it.
                self.answer_waiting_clients();
                break;
            }
            for cell in self.cells.turn() {
                self.cells.allow(cell);
                let c = &mut self.cells.all[cell];
                let events = std::mem::take(&mut c.events);
                let mut actions = Vec::new();
                c.brain.step(now, &events, &mut actions);
                actions.into_iter().for_each(|a| self.carry_out(now, cell, a));
            }
            self.answer_waiting_clients();
        }
        self.expire_identities(now);
        self.at_most_once.expire(now);
        self.waits.expire(now);
        self.withdraw_waiting_starts(now);
        self.journal_turn(now);
        self.send_replication();
        std::mem::take(&mut self.orders)
    }

    fn fire_timers(&mut self, now: Ms) {
        let cells = &mut self.cells;
        self.timers.retain(|(at, cell, token)| {
            if *at <= now {
                cells.post(*cell, Event::Timer(*token));
            }
            *at > now
        });
    }

    fn carry_out(&mut self, now: Ms, cell: usize, action: Action) {
        match action {
            Action::Send { id, endpoint: route, timeout: cap } => {
                self.avoided.remove(&route);
                self.send(now, id, route, cap)
            }
            Action::Cancel { id, attempt } => self.cancel(now, id, attempt),
            Action::Return { id, retry_after: retry_in } => self.return_message(now, id, retry_in),
            Action::GiveUp(id) => self.give_up(now, id),
            Action::Probe(route) => {
                self.avoided.insert(route);
                self.probe(now, route)
            }
            Action::CloseIdleConnections(route) => {
                let address = self.address(route);
                self.orders.push(Order::CloseIdleConnections { route, address });
            }
            Action::WatchEndpointList => self.orders.push(Order::WatchRegistry),
            Action::Timer { at, token } => self.timers.push((at, cell, token)),
        }
    }

    /// The endpoints on the list: id, destination, kind and zone.
    pub fn listed_endpoints(&self) -> Vec<(&str, DestId, usize, usize)> {
        let known = self.endpoints.values().map(|l| &l.endpoint);
        known.map(|w| (w.uid.as_str(), w.destination, w.kind, w.zone)).collect()
    }

    pub(super) fn endpoint(&self, route: EndpointId) -> Option<&RegistryEndpoint> {
        self.endpoints.get(&route).map(|w| &w.endpoint)
    }

    pub(super) fn address(&self, route: EndpointId) -> String {
        self.endpoint(route).map(|w| w.address.clone()).unwrap_or_default()
    }

    /// Whether the list contains an endpoint of the destination. Before the first list, any destination may
    /// be in it.
    pub(super) fn is_listed(&self, dest: DestId) -> bool {
        self.endpoints.is_empty() || self.endpoints.values().any(|w| w.endpoint.destination == dest)
    }

    /// Applies the registry's endpoint list, or changes to it. An endpoint is identified by its id: it keeps
    /// its number if it leaves and comes back soon, and another endpoint at the same address gets a number of
    /// its own.
    pub fn apply_endpoint_list(&mut self, now: Ms, mut list: EndpointList, cached: bool) {
        if list.is_complete {
            self.endpoints.values_mut().for_each(|w| w.gone_since = w.gone_since.or(Some(now)));
        }
        let (mut rows, mut routes) = (self.remove_displaced(now, &mut list), Vec::new());
        for listed in list.endpoints {
            let old = self.endpoint_by_id.get(&listed.uid).copied();
            let old = old.and_then(|route| Some((route, self.endpoints.remove(&route)?)));
            // A change may omit fields that stay the same.
            let worker = match &old {
                Some((_, o)) if listed.address.is_empty() => {
                    RegistryEndpoint { state: listed.state, ..o.endpoint.clone() }
                }
                _ => listed,
            };
            let mut kept_route = None;
            if let Some((route, mut o)) = old {
                let same = (o.endpoint.destination, o.endpoint.kind) == (worker.destination, worker.kind);
                // The endpoint takes nothing new, or has moved: its idle connections are of no use any more.
                let moved = o.endpoint.address != worker.address;
                let restarted = worker.started_at > o.endpoint.started_at;
                if same && !moved && restarted && worker.state == ServiceState::InService {
                    // Idle connections are those of its earlier process.
                    let address = worker.address.clone();
                    self.orders.push(Order::CloseIdleConnections { route, address });
                }
                if !same || worker.state != ServiceState::InService || moved {
                    let (address, dest) = (o.endpoint.address.clone(), o.endpoint.destination);
                    self.orders.push(Order::CloseIdleConnections { route, address });
                    // Attempts that were decided before must not go out either: their connections may come up
                    // after the drain period.
                    self.orders.push(Order::WithholdUnwritten { dest, route: Some(route) });
                }
                if same {
                    kept_route = Some(route);
                } else {
                    // The id serves another destination now: nothing that is known of the old one applies.
                    o.endpoint.state = ServiceState::Removed;
                    rows.push(self.listing_row(route, &o.endpoint));
                    self.endpoints.insert(route, ListedEndpoint { gone_since: Some(now), ..o });
                }
            }
            let route = kept_route.unwrap_or(self.next_route);
            self.next_route = self.next_route.max(route + 1);
            self.endpoint_by_id.insert(worker.uid.clone(), route);
            rows.push(self.listing_row(route, &worker));
            routes.push(route);
            let gone = (worker.state == ServiceState::Removed).then_some(now);
            self.endpoints.insert(route, ListedEndpoint { endpoint: worker, gone_since: gone });
        }
        for (route, w) in self.endpoints.iter().filter(|(_, w)| list.is_complete && w.gone_since == Some(now))
        {
            self.orders.push(Order::WithholdUnwritten { dest: w.endpoint.destination, route: Some(*route) });
        }
        self.cells.post_all(&Event::EndpointList { rows, complete: list.is_complete, cached });
        self.prune(now);
        self.index();
        self.recovery_list_changed(now, &routes, cached);
        self.apply_unlisted_waits(now);
    }

    /// When the newest process at each address of this list started. Two processes cannot have one address at a time;
    /// endpoints whose processes started at the same time, or of which that is not known, share it.
    fn newest_processes(&self, list: &EndpointList) -> HashMap<String, Ms> {
        let is_present = |e: &&RegistryEndpoint| e.state != ServiceState::Removed && !e.address.is_empty();
        let mut newest: HashMap<String, Ms> = HashMap::new();
        for listed in list.endpoints.iter().filter(is_present) {
            let started_at = newest.entry(listed.address.clone()).or_default();
            *started_at = started_at.max(listed.started_at);
        }
        // An endpoint that is listed again may have moved.
        let named: HashSet<&str> = list.endpoints.iter().map(|listed| listed.uid.as_str()).collect();
        let known = self.endpoints.values().filter(|known| known.gone_since.is_none());
        let unlisted = known.map(|known| &known.endpoint).filter(|e| !named.contains(e.uid.as_str()));
        for known in unlisted.filter(is_present) {
            if let Some(started_at) = newest.get_mut(&known.address) {
                *started_at = started_at.max(known.started_at);
            }
        }
        newest
    }

    /// Takes endpoints off the list whose process has gone, as a newer one has its address: those that are listed again,
    /// and those that this list does not name. Returns the rows of the latter for the decision module.
    fn remove_displaced(&mut self, now: Ms, list: &mut EndpointList) -> Vec<EndpointEntry> {
        let newest = self.newest_processes(list);
        let is_displaced = |e: &RegistryEndpoint| {
            newest.get(&e.address).is_some_and(|started_at| e.started_at < *started_at)
        };
        for listed in list.endpoints.iter_mut().filter(|listed| is_displaced(listed)) {
            log_displaced(listed);
            listed.state = ServiceState::Removed;
        }
        let is_unlisted = |e: &RegistryEndpoint| list.endpoints.iter().all(|listed| listed.uid != e.uid);
        let displaced: Vec<EndpointId> = self
            .endpoints
            .iter()
            .filter(|(_, known)| known.gone_since.is_none() && is_displaced(&known.endpoint))
            .filter(|(_, known)| is_unlisted(&known.endpoint))
            .map(|(route, _)| *route)
            .collect();
        displaced.into_iter().filter_map(|route| self.remove_endpoint(now, route)).collect()
    }

    /// Takes an endpoint off the list; returns its row for the decision module.
    fn remove_endpoint(&mut self, now: Ms, route: EndpointId) -> Option<EndpointEntry> {
        let mut known = self.endpoints.remove(&route)?;
        log_displaced(&known.endpoint);
        let (address, dest) = (known.endpoint.address.clone(), known.endpoint.destination);
        self.orders.push(Order::CloseIdleConnections { route, address });
        self.orders.push(Order::WithholdUnwritten { dest, route: Some(route) });
        known.endpoint.state = ServiceState::Removed;
        known.gone_since = Some(now);
        let row = self.listing_row(route, &known.endpoint);
        self.endpoints.insert(route, known);
        Some(row)
    }

    /// Rebuilds the index of endpoints by destination, and has their capacity reported again.
    fn index(&mut self) {
        self.endpoints_of.clear();
        for (route, w) in &self.endpoints {
            self.endpoints_of.entry(w.endpoint.destination).or_default().push(*route);
        }
        let endpoints = &self.endpoints;
        self.reported_capacity.retain(|(route, _), _| endpoints.contains_key(route));
        self.ceilings.mark_all_changed();
    }

    /// Forgets endpoints that have been gone for long and have no outstanding attempt.
    fn prune(&mut self, now: Ms) {
        let out: BTreeSet<EndpointId> =
            self.messages.values().filter_map(|c| Some(c.out.as_ref()?.route)).collect();
        let over = |route: &EndpointId, w: &ListedEndpoint| {
            w.gone_since.is_some_and(|t| now - t >= DELISTED_ENDPOINT_TTL) && !out.contains(route)
        };
        self.endpoints.retain(|route, w| !over(route, w));
        let endpoints = &self.endpoints;
        self.endpoint_by_id.retain(|_, route| endpoints.contains_key(route));
    }
}

fn log_displaced(endpoint: &RegistryEndpoint) {
    let (uid, address) = (endpoint.uid.as_str(), endpoint.address.as_str());
    log::info!(member = uid, address = address, cause = "address_taken_over";
        "a newer process is listed at the address of {uid}, which gets nothing any more");
}

#[cfg(test)]
mod tests;
