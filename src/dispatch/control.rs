//! What the operators' door asks of the core: figures, and endpoints taken out by hand.

use super::door::{self, Command};
use super::figures::Now;
use super::{Core, Order};
use crate::api::*;
use std::collections::BTreeSet;

/// What the wires do besides writing the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Send clients away.
    DrainOn,
    /// End the drain.
    DrainOff,
    /// The endpoints out by hand have changed: they are to be kept for the next process.
    Bans,
}

/// The answer to a caller, and what else is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The lines to write, each with its end.
    pub text: String,
    /// What else.
    pub effect: Option<Effect>,
}

impl Core {
    /// Answers a command of the door. `serving`: this process takes clients, is not told to leave and does not drain.
    pub fn control(&mut self, now: Ms, command: &Command, serving: bool) -> Answer {
        let plain = |text: String| Answer { text, effect: None };
        match command {
            Command::Check if serving => plain(door::yes("yes")),
            Command::Check => plain(door::no("not taking clients")),
            Command::Vars => plain(format!("{}\nEOF\n", self.vars())),
            Command::DrainOn => Answer { text: door::yes("draining"), effect: Some(Effect::DrainOn) },
            Command::DrainOff => Answer { text: door::yes("taking clients"), effect: Some(Effect::DrainOff) },
            Command::SetDown(id) if !self.worker_of.contains_key(id) && !self.down.contains(id) => {
                plain(door::no(&format!("'{id}' was never listed")))
            }
            Command::SetDown(id) => {
                self.set_down(now, id);
                self.copy_ban(now, id, true);
                Answer { text: door::yes(&format!("{id} is out")), effect: Some(Effect::Bans) }
            }
            Command::SetUp(id) if !self.worker_of.contains_key(id) && !self.down.contains(id) => {
                plain(door::no(&format!("'{id}' was never listed")))
            }
            Command::SetUp(id) => {
                self.set_up(now, id);
                self.copy_ban(now, id, false);
                Answer { text: door::yes(&format!("{id} is in use")), effect: Some(Effect::Bans) }
            }
        }
    }

    /// The figures as one line of JSON.
    pub fn vars(&self) -> String {
        let pending = self.calls.values().filter(|c| c.ending.is_none()).count();
        let listed =
            self.workers.iter().filter(|(_, w)| w.gone.is_none() && w.worker.listing != Listing::Gone);
        let (mut members, mut unavailable) = (0, 0);
        for (route, w) in listed {
            members += 1;
            let out = self.down.contains(&w.worker.uid) || w.worker.listing != Listing::Ready;
            unavailable += usize::from(out || self.avoided.contains(route));
        }
        self.figures.json(
            &self.names.classes,
            Now {
                pending,
                members,
                unavailable,
                unproven: self.counters.unproven,
                guard: self.guard.json(),
                replication: self.copying_figures(),
            },
        )
    }

    /// Endpoints out by hand, by id.
    pub fn bans(&self) -> &BTreeSet<String> {
        &self.down
    }

    /// Takes over the endpoints out by hand that another process of this dispatcher kept.
    pub fn take_bans(&mut self, now: Ms, ids: &BTreeSet<String>) {
        let gone: Vec<String> = self.down.difference(ids).cloned().collect();
        gone.iter().for_each(|id| self.set_up(now, id));
        ids.iter().for_each(|id| self.set_down(now, id));
    }

    pub(super) fn set_down(&mut self, now: Ms, id: &str) {
        if self.down.insert(id.to_string()) {
            log::warn!(member = id; "{id} is taken out by hand");
            self.retell(now, id);
        }
    }

    pub(super) fn set_up(&mut self, now: Ms, id: &str) {
        if self.down.remove(id) {
            log::warn!(member = id; "{id} is used again");
            self.retell(now, id);
        }
    }

    /// Tells the module the endpoint's listing anew, as the door has it.
    fn retell(&mut self, _now: Ms, id: &str) {
        let Some(route) = self.worker_of.get(id).copied() else { return };
        let Some(w) = self.workers.get(&route).filter(|w| w.gone.is_none()) else { return };
        let row = self.row_of(route, &w.worker);
        if row.listing != Listing::Ready {
            let address = w.worker.address.clone();
            let dest = w.worker.dest;
            self.orders.push(Order::CloseIdle { route, address });
            self.orders.push(Order::Hold { dest, route: Some(route) });
        }
        self.cells.post_all(&Event::List { rows: vec![row], whole: false, cached: false });
    }

    /// What the module is told of a worker: one out by hand drains, whatever the list says.
    pub(super) fn row_of(&self, route: RouteId, w: &crate::config::Worker) -> Row {
        let listing = match w.listing {
            Listing::Ready if self.down.contains(&w.uid) => Listing::Draining,
            listing => listing,
        };
        Row { route, zone: w.zone, kind: w.kind, dest: w.dest, listing, weight: w.weight }
    }
}
