//! Route: the decision module is told what came in and says what to do; the list of workers is kept here.

use super::{Core, Order};
use crate::api::*;
use crate::config::WorkerList;

/// Steps of the module in one turn at most; what is left waits for the next turn.
const STEPS_MOST: usize = 4;

impl Core {
    /// Lets the module decide on all that has come in, and returns what is to be done on the wires.
    pub fn turn(&mut self, now: Ms) -> Vec<Order> {
        self.expire(now);
        self.lapse(now);
        self.ring(now);
        for _ in 0..STEPS_MOST {
            if self.events.is_empty() {
                break;
            }
            let events = std::mem::take(&mut self.events);
            let mut actions = Vec::new();
            self.brain.step(now, &events, &mut actions);
            actions.into_iter().for_each(|a| self.carry_out(now, a));
            self.give_verdicts();
        }
        self.fade(now);
        std::mem::take(&mut self.orders)
    }

    fn ring(&mut self, now: Ms) {
        let events = &mut self.events;
        self.alarms.retain(|(at, token)| {
            if *at <= now {
                events.push(Event::Timer(*token));
            }
            *at > now
        });
    }

    fn carry_out(&mut self, now: Ms, action: Action) {
        match action {
            Action::Send { id, route, cap } => self.send(now, id, route, cap),
            Action::Cancel { id, attempt } => self.cancel(now, id, attempt),
            Action::Deny { id, retry_in } => self.hand_back(now, id, retry_in),
            Action::Fail(id) => self.give_up(now, id),
            Action::Probe(route) => {
                self.counters.probes += 1;
                let address = self.address(route);
                let dest = self.workers.get(route as usize).map_or(0, |w| w.dest);
                self.orders.push(Order::Probe { route, dest, address });
            }
            Action::CloseIdle(route) => {
                let address = self.address(route);
                self.orders.push(Order::CloseIdle { address });
            }
            Action::Watch => self.orders.push(Order::Watch),
            Action::Timer { at, token } => self.alarms.push((at, token)),
        }
    }

    pub(super) fn address(&self, route: RouteId) -> String {
        self.workers.get(route as usize).map(|w| w.address.clone()).unwrap_or_default()
    }

    /// The registry's list, or changes of it. A worker keeps its number however often it comes and goes.
    pub fn list(&mut self, list: WorkerList, cached: bool) {
        let mut rows = Vec::new();
        for w in list.workers {
            let next = self.workers.len() as RouteId;
            let route = *self.worker_of.entry(w.uid.clone()).or_insert(next);
            rows.push(Row {
                route,
                zone: w.zone,
                kind: w.kind,
                dest: w.dest,
                listing: w.listing,
                weight: w.weight,
            });
            match self.workers.get_mut(route as usize) {
                // A change may leave out what stays as it was.
                Some(old) if w.address.is_empty() => old.listing = w.listing,
                Some(old) => *old = w,
                None => self.workers.push(w),
            }
        }
        self.events.push(Event::List { rows, whole: list.whole, cached });
    }
}
