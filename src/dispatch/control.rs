//! Commands of the control interface: metrics, operator blocks, and draining.

use super::door::{self, Command};
use super::figures::Snapshot;
use super::{Core, Order};
use crate::api::*;
use std::collections::BTreeSet;

/// What the network side does besides writing the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlEffect {
    /// Stop taking clients.
    DrainOn,
    /// Take clients again.
    DrainOff,
    /// The set of blocked endpoints has changed and has to be stored for the next process.
    StoreOperatorBlocks,
}

/// The answer to a command, and what else is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlAnswer {
    /// The lines to write, each with its line end.
    pub text: String,
    /// What else is to be done.
    pub effect: Option<ControlEffect>,
}

impl Core {
    /// Answers a command of the control interface. `serving` tells that this process takes clients: it has
    /// not been told to end and does not drain.
    pub fn control(&mut self, now: Ms, command: &Command, serving: bool) -> ControlAnswer {
        let plain = |text: String| ControlAnswer { text, effect: None };
        match command {
            Command::Check if serving => plain(door::positive_answer("yes")),
            Command::Check => plain(door::negative_answer("not taking clients")),
            Command::Vars => plain(format!("{}\nEOF\n", self.vars())),
            Command::DrainOn => ControlAnswer {
                text: door::positive_answer("draining"),
                effect: Some(ControlEffect::DrainOn),
            },
            Command::DrainOff => ControlAnswer {
                text: door::positive_answer("taking clients"),
                effect: Some(ControlEffect::DrainOff),
            },
            Command::SetDown(id)
                if !self.endpoint_by_id.contains_key(id) && !self.blocked_endpoints.contains(id) =>
            {
                plain(door::negative_answer(&format!("'{id}' was never listed")))
            }
            Command::SetDown(id) => {
                self.block_endpoint(now, id);
                self.replicate_block(now, id, true);
                ControlAnswer {
                    text: door::positive_answer(&format!("{id} is out")),
                    effect: Some(ControlEffect::StoreOperatorBlocks),
                }
            }
            Command::SetUp(id)
                if !self.endpoint_by_id.contains_key(id) && !self.blocked_endpoints.contains(id) =>
            {
                plain(door::negative_answer(&format!("'{id}' was never listed")))
            }
            Command::SetUp(id) => {
                self.unblock_endpoint(now, id);
                self.replicate_block(now, id, false);
                ControlAnswer {
                    text: door::positive_answer(&format!("{id} is in use")),
                    effect: Some(ControlEffect::StoreOperatorBlocks),
                }
            }
        }
    }

    /// The metrics as one line of JSON.
    pub fn vars(&self) -> String {
        let pending = self.messages.values().filter(|c| c.ending.is_none()).count();
        let listed = self
            .endpoints
            .iter()
            .filter(|(_, w)| w.gone_since.is_none() && w.endpoint.state != ServiceState::Removed);
        let (mut members, mut unavailable) = (0, 0);
        for (route, w) in listed {
            members += 1;
            let out = self.blocked_endpoints.contains(&w.endpoint.uid)
                || w.endpoint.state != ServiceState::InService;
            unavailable += usize::from(out || self.avoided.contains(route));
        }
        self.metrics.json(
            &self.names.classes,
            Snapshot {
                pending,
                members,
                unavailable,
                unproven: self.counters.unproven,
                guard: self.guard.json(),
                replication: self.replication_metrics(),
                journal: self.journal_metrics(),
            },
        )
    }

    /// Ids of the endpoints that operators have blocked.
    pub fn operator_blocks(&self) -> &BTreeSet<String> {
        &self.blocked_endpoints
    }

    /// Replaces the operator blocks by those that another process of this dispatcher has stored.
    pub fn replace_operator_blocks(&mut self, now: Ms, ids: &BTreeSet<String>) {
        let gone: Vec<String> = self.blocked_endpoints.difference(ids).cloned().collect();
        gone.iter().for_each(|id| self.unblock_endpoint(now, id));
        ids.iter().for_each(|id| self.block_endpoint(now, id));
    }

    pub(super) fn block_endpoint(&mut self, now: Ms, id: &str) {
        if self.blocked_endpoints.insert(id.to_string()) {
            log::warn!(member = id; "{id} is blocked by an operator");
            self.update_listing(now, id);
        }
    }

    pub(super) fn unblock_endpoint(&mut self, now: Ms, id: &str) {
        if self.blocked_endpoints.remove(id) {
            log::warn!(member = id; "{id} is no longer blocked by an operator");
            self.update_listing(now, id);
        }
    }

    /// Reports an endpoint's listing to the decision modules again, after a change to its operator block.
    fn update_listing(&mut self, _now: Ms, id: &str) {
        let Some(route) = self.endpoint_by_id.get(id).copied() else { return };
        let Some(w) = self.endpoints.get(&route).filter(|w| w.gone_since.is_none()) else { return };
        let row = self.listing_row(route, &w.endpoint);
        if row.state != ServiceState::InService {
            let address = w.endpoint.address.clone();
            let dest = w.endpoint.destination;
            self.orders.push(Order::CloseIdleConnections { route, address });
            self.orders.push(Order::WithholdUnwritten { dest, route: Some(route) });
        }
        self.cells.post_all(&Event::EndpointList { rows: vec![row], complete: false, cached: false });
    }

    /// An endpoint as it is reported to the decision modules: a blocked one drains, whatever the list says.
    pub(super) fn listing_row(
        &self,
        route: EndpointId,
        w: &crate::config::RegistryEndpoint,
    ) -> EndpointEntry {
        let listing = match w.state {
            ServiceState::InService if self.blocked_endpoints.contains(&w.uid) => ServiceState::Draining,
            listing => listing,
        };
        EndpointEntry {
            endpoint: route,
            zone: w.zone,
            kind: w.kind,
            dest: w.destination,
            state: listing,
            weight: w.weight,
        }
    }
}
