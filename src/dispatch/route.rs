//! Route: the decision module is told what came in and says what to do; the list of workers is kept here.

use super::{Core, Listed, Order};
use crate::api::*;
use crate::config::{Worker, WorkerList};
use std::collections::BTreeSet;

/// Steps of the module in one turn at most; what is left waits for the next turn.
const STEPS_MOST: usize = 4;

impl Core {
    /// Lets the module decide on all that has come in, and returns what is to be done on the wires.
    pub fn turn(&mut self, now: Ms) -> Vec<Order> {
        self.now = now;
        self.expire(now);
        self.lapse(now);
        self.unconfirmed_turn(now);
        self.ring(now);
        self.seats_turn(now);
        self.hints_turn(now);
        self.copying_turn(now);
        self.backlog_turn(now);
        for _ in 0..STEPS_MOST {
            self.tell_room(now);
            if !self.cells.any_events() {
                // What was taken and is kept from the module waits for no step of it.
                self.give_verdicts();
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
            self.give_verdicts();
        }
        self.fade(now);
        self.once.fade(now);
        self.waits.fade(now);
        self.journal_turn(now);
        self.copying_out();
        std::mem::take(&mut self.orders)
    }

    fn ring(&mut self, now: Ms) {
        let cells = &mut self.cells;
        self.alarms.retain(|(at, cell, token)| {
            if *at <= now {
                cells.post(*cell, Event::Timer(*token));
            }
            *at > now
        });
    }

    fn carry_out(&mut self, now: Ms, cell: usize, action: Action) {
        match action {
            Action::Send { id, route, cap } => {
                self.avoided.remove(&route);
                self.send(now, id, route, cap)
            }
            Action::Cancel { id, attempt } => self.cancel(now, id, attempt),
            Action::Deny { id, retry_in } => self.hand_back(now, id, retry_in),
            Action::Fail(id) => self.give_up(now, id),
            Action::Probe(route) => {
                self.avoided.insert(route);
                self.probe(now, route)
            }
            Action::CloseIdle(route) => {
                let address = self.address(route);
                self.orders.push(Order::CloseIdle { route, address });
            }
            Action::Watch => self.orders.push(Order::Watch),
            Action::Timer { at, token } => self.alarms.push((at, cell, token)),
        }
    }

    /// The workers that it knows: id, destination, kind, zone.
    pub fn workers_known(&self) -> Vec<(&str, DestId, usize, usize)> {
        let known = self.workers.values().map(|l| &l.worker);
        known.map(|w| (w.uid.as_str(), w.dest, w.kind, w.zone)).collect()
    }

    pub(super) fn worker(&self, route: RouteId) -> Option<&Worker> {
        self.workers.get(&route).map(|w| &w.worker)
    }

    pub(super) fn address(&self, route: RouteId) -> String {
        self.worker(route).map(|w| w.address.clone()).unwrap_or_default()
    }

    /// Does the list name a worker of the destination? Before there is a list, any may be in it.
    pub(super) fn is_listed(&self, dest: DestId) -> bool {
        self.workers.is_empty() || self.workers.values().any(|w| w.worker.dest == dest)
    }

    /// The registry's list, or changes of it. A worker is its id: it keeps its number if it goes and comes back soon,
    /// and another one at its address gets a number of its own.
    pub fn list(&mut self, now: Ms, list: WorkerList, cached: bool) {
        if list.whole {
            self.workers.values_mut().for_each(|w| w.gone = w.gone.or(Some(now)));
        }
        let (mut rows, mut routes) = (Vec::new(), Vec::new());
        for told in list.workers {
            let old = self.worker_of.get(&told.uid).copied();
            let old = old.and_then(|route| Some((route, self.workers.remove(&route)?)));
            // A change may leave out what stays as it was.
            let worker = match &old {
                Some((_, o)) if told.address.is_empty() => {
                    Worker { listing: told.listing, ..o.worker.clone() }
                }
                _ => told,
            };
            let mut number = None;
            if let Some((route, mut o)) = old {
                let same = (o.worker.dest, o.worker.kind) == (worker.dest, worker.kind);
                // Nothing new goes there, or it is elsewhere now: idle connections are of no more use.
                if !same || worker.listing != Listing::Ready || o.worker.address != worker.address {
                    let (address, dest) = (o.worker.address.clone(), o.worker.dest);
                    self.orders.push(Order::CloseIdle { route, address });
                    // Nor does what was decided before and waits for its connection, which may come up after the grace.
                    self.orders.push(Order::Hold { dest, route: Some(route) });
                }
                if same {
                    number = Some(route);
                } else {
                    // Under an id that serves another destination now, nothing of the old one holds.
                    o.worker.listing = Listing::Gone;
                    rows.push(self.row_of(route, &o.worker));
                    self.workers.insert(route, Listed { gone: Some(now), ..o });
                }
            }
            let route = number.unwrap_or(self.next_route);
            self.next_route = self.next_route.max(route + 1);
            self.worker_of.insert(worker.uid.clone(), route);
            rows.push(self.row_of(route, &worker));
            routes.push(route);
            let gone = (worker.listing == Listing::Gone).then_some(now);
            self.workers.insert(route, Listed { worker, gone });
        }
        for (route, w) in self.workers.iter().filter(|(_, w)| list.whole && w.gone == Some(now)) {
            self.orders.push(Order::Hold { dest: w.worker.dest, route: Some(*route) });
        }
        self.cells.post_all(&Event::List { rows, whole: list.whole, cached });
        self.prune(now);
        self.index();
        self.hints_listed(now, &routes, cached);
        self.apply_unknown_waits(now);
    }

    /// The routes of each destination; the module is to hear of their room.
    fn index(&mut self) {
        self.routes_of.clear();
        for (route, w) in &self.workers {
            self.routes_of.entry(w.worker.dest).or_default().push(*route);
        }
        let workers = &self.workers;
        self.room_told.retain(|(route, _), _| workers.contains_key(route));
        self.ceilings.touch();
    }

    /// Forgets workers that have been gone for long and have no delegation out.
    fn prune(&mut self, now: Ms) {
        let out: BTreeSet<RouteId> =
            self.calls.values().filter_map(|c| Some(c.out.as_ref()?.route)).collect();
        let over = |route: &RouteId, w: &Listed| {
            w.gone.is_some_and(|t| now - t >= GONE_KEPT) && !out.contains(route)
        };
        self.workers.retain(|route, w| !over(route, w));
        let workers = &self.workers;
        self.worker_of.retain(|_, route| workers.contains_key(route));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::dispatch::Parts;
    use crate::dispatch::{Submission, Verdict};
    use crate::journal::{Ending, Journal, Record, Sent, Taken};

    fn worker(uid: &str, dest: DestId, listing: Listing) -> Worker {
        let address = "127.0.0.1:1".into();
        Worker { uid: uid.into(), address, zone: 0, kind: 0, dest, listing, weight: 1.0 }
    }

    fn core(name: &str) -> Core {
        core_of(name, Settings::default(), Default::default())
    }

    /// A core of the settings that tests of the whole program use.
    fn platform_core(name: &str) -> Core {
        let text = lilacbank_rig::config::platform("n0", "0a", 3.0, 1, 1_000, "\"127.0.0.1:1\"");
        let env = |key: &str| match key {
            "ROUTER_STATE" => Some("unused".to_string()),
            "ROUTER_LISTEN" => Some("127.0.0.1:0".to_string()),
            _ => None,
        };
        let config = crate::config::Config::reread(&text, &env).unwrap();
        core_of(name, config.settings, config.names)
    }

    fn core_of(name: &str, settings: Settings, names: crate::config::Names) -> Core {
        let dir = std::env::temp_dir().join(format!("lilacbank-route-{name}-{}", std::process::id()));
        let (journal, _) = Journal::open(&dir, 1 << 20).unwrap();
        std::fs::remove_dir_all(dir).unwrap();
        let (promises, once, cells) = (Vec::new(), Vec::new(), Vec::new());
        Core::new(Parts { settings, names, journal, promises, once, cells, mesh: None })
    }

    /// The one class `c`, safe, of this deadline.
    fn one_class(core: &mut Core, deadline: Ms, in_order: bool) {
        let (promise, window, worth) = (1_000.0, 20_000.0, 1.0);
        let (effect, late_worth, aim_stretch) = (Effect::Safe, 0.0, 0.0);
        core.settings.classes =
            vec![Class { promise, deadline, effect, window, in_order, late_worth, worth, aim_stretch }];
        core.names.classes = vec!["c".into()];
    }

    fn news(core: &mut Core, now: Ms, workers: Vec<Worker>) {
        core.list(now, WorkerList { rev: 1, whole: false, workers }, false);
        core.turn(now);
    }

    /// Guards against growth: on a day of releases every id is new.
    #[test]
    fn workers_gone_for_long_are_forgotten_and_one_that_comes_back_soon_is_the_same() {
        let mut core = core("growth");
        for n in 0..1_000 {
            let now = Ms::from(n) * 1_000.0;
            let old = worker(&format!("u{}", n - 1), 1, Listing::Gone);
            news(&mut core, now, vec![old, worker(&format!("u{n}"), 1, Listing::Ready)]);
        }
        assert!(core.workers.len() < 40 && core.worker_of.len() < 40, "{}", core.workers.len());
        let number = core.worker_of["u999"];
        news(&mut core, 1e6, vec![worker("u999", 1, Listing::Gone)]);
        news(&mut core, 1e6 + 5_000.0, vec![worker("u999", 1, Listing::Ready)]);
        assert_eq!(core.worker_of["u999"], number);
    }

    /// Guards against an id that serves another destination all at once, with calls for the old one.
    #[test]
    fn an_id_that_changes_its_destination_is_another_worker() {
        let mut core = core("moved");
        news(&mut core, 0.0, vec![worker("u", 1, Listing::Ready)]);
        let number = core.worker_of["u"];
        news(&mut core, 1.0, vec![worker("u", 2, Listing::Ready)]);
        assert_ne!(core.worker_of["u"], number);
        assert_eq!(core.worker(number).map(|w| w.listing), Some(Listing::Gone));
        assert!(core.is_listed(2) && !core.is_listed(3));
    }

    /// Guards against a clock that was set back between two lives: an attempt of the future would be within its window for
    /// as long as the step was, and a message valid for as long.
    #[test]
    fn what_a_life_with_a_clock_ahead_left_is_held_to_the_times_of_now() {
        let mut core = core("clock");
        one_class(&mut core, 6_000.0, false);
        let hour = 3_600_000.0;
        let taken = Taken { no: 3, class: "c".into(), valid_until: 2.0 * hour, ..Taken::default() };
        let sent = |at: Ms| Some(Sent { at, zone: "a".into() });
        let state = |no, at| Record::State { no, attempts: 1, ran: sent(at), out: None };
        let other = Taken { no: 4, valid_until: hour + 500.0, ..taken.clone() };
        let records =
            vec![Record::Taken(taken), Record::Taken(other), state(3, 2.0 * hour), state(4, hour - 9.0)];
        core.restore(hour, records);
        assert_eq!(core.calls[&3].taken.valid_until, hour + 6_000.0);
        assert_eq!(core.calls[&3].ran.as_ref().map(|s| s.at), Some(0.0), "long ago");
        assert_eq!(core.calls[&4].taken.valid_until, hour + 500.0);
        assert_eq!(core.calls[&4].ran.as_ref().map(|s| s.at), Some(hour - 9.0));
    }

    /// Guards against a journal with many calls that all go to the module at once, which then hands the rest back or costs
    /// seconds in each turn; and against a later message of a key that overtakes one in the backlog.
    #[test]
    fn many_calls_of_an_earlier_process_wait_for_the_module_s_room_in_their_order() {
        let mut core = core("backlog");
        one_class(&mut core, 60_000.0, true);
        core.settings.max_held = 100;
        let taken = |no: u64| {
            let identity = (String::new(), format!("m{no}"));
            let (class, key, valid_until) = ("c".to_string(), Some(no % 50), 50_000.0 + no as f64);
            Record::Taken(Taken { no, identity, class, key, dest: 1, valid_until, ..Taken::default() })
        };
        core.restore(0.0, (1..=95).map(taken).collect());
        assert_eq!((core.calls.len(), core.backlog.len()), (95, 10));
        core.turn(1.0);
        let queued = |core: &Core, no: u64| core.calls[&no].frozen.is_some();
        assert!(!queued(&core, 85) && queued(&core, 86) && queued(&core, 95));
        let class = "c".to_string();
        let late = Submission {
            identity: (String::new(), "x".into()),
            class,
            key: Some(45),
            dest: 1,
            ..Submission::default()
        };
        core.submit(2.0, 7, late);
        assert!(core.turn(2.0).contains(&Order::Answer { ticket: 7, verdict: Verdict::Taken }));
        assert!(queued(&core, 96), "behind the one of its key that waits");
        // Without workers the module has handed them back; heard of that, their clients leave room.
        (1..=4).for_each(|no| {
            core.finish(3.0, no, Ending::Delivered);
            core.confirmed(3.0, no);
        });
        core.turn(3.0);
        let waiting: Vec<u64> =
            core.calls.iter().filter(|(_, c)| c.frozen.is_some()).map(|(no, _)| *no).collect();
        assert_eq!(waiting, [90, 91, 92, 93, 94, 95, 96], "the first ones go as room comes");
        core.turn(50_092.0);
        assert!(
            (90..=92).all(|no| !core.calls.contains_key(&no) || !queued(&core, no)),
            "time is up: at once"
        );
    }

    /// Guards against a wait that the module was not told, as the other process of an upgrade was: the guard keeps the call back,
    /// it costs neither an attempt nor a record, and goes once the wait is over.
    #[test]
    fn what_the_guard_keeps_back_costs_no_attempt_and_no_record() {
        let mut core = platform_core("kept-back");
        news(&mut core, 0.0, vec![worker("u", 1, Listing::Ready)]);
        let class = "pay".to_string();
        core.submit(
            1.0,
            7,
            Submission { identity: (String::new(), "x".into()), class, dest: 1, ..Submission::default() },
        );
        core.waits.told(1.0, "u", 301.0);
        let delegated =
            |core: &mut Core, now: Ms| core.turn(now).iter().any(|o| matches!(o, Order::Delegate(_)));
        let size = core.journal.size();
        assert!(!delegated(&mut core, 1.0));
        let first = (2..400).map(Ms::from).find(|now| delegated(&mut core, *now)).unwrap();
        assert!((301.0..330.0).contains(&first), "{first}");
        assert!(core.guard.json()["refused"]["waiting"].as_u64() >= Some(1));
        let call = core.calls.values().next().unwrap();
        assert_eq!((call.attempts, call.out.as_ref().map(|o| o.attempt)), (1, Some(0)));
        let mark = core.state(call.taken.no, call).size();
        assert_eq!(core.journal.size() - size, mark, "one record, of the attempt that went out");
    }

    /// Guards against a trial of a member that was away that never goes out: with the room told long before the first
    /// call, the module sent a second one beside it, which was kept back, and that broke the first one off, over and over.
    #[test]
    fn a_member_that_was_away_is_tried_by_one_call_and_what_is_kept_back_does_not_break_it_off() {
        use crate::dispatch::Past;
        use lilacbank_limits::ramp::{Former, Health};
        let mut core = platform_core("trial");
        let recovery = crate::together::Recovery { enabled: true, ..Default::default() };
        let former = Former { health: Health { rate: 0.0, away: Some(0.0) }, age: Some(10.0) };
        let former = [("u".to_string(), former)].into();
        core.begin_from(0.0, Past { recovery, former, ..Past::default() });
        news(&mut core, 0.0, vec![worker("u", 1, Listing::Ready)]);
        // The room of one call was told by now, and the time of the next one is over when they come.
        (1..=20).for_each(|n| drop(core.turn(Ms::from(n) * 50.0)));
        for no in 1..=3 {
            let identity = (String::new(), format!("m{no}"));
            let s = Submission { identity, class: "safe".into(), dest: 1, ..Submission::default() };
            core.submit(1_000.0, no, s);
        }
        let orders = core.turn(1_000.0);
        let out: Vec<_> = orders
            .iter()
            .filter_map(|o| if let Order::Delegate(d) = o { Some(d.no) } else { None })
            .collect();
        assert_eq!((out.len(), core.counters.over), (1, 0), "one tries it: {orders:?}");
        // Another that comes to be sent all the same is kept back, and nothing is held for that.
        let other = if out[0] == 1 { 2 } else { 1 };
        core.send(1_001.0, other, 0, None);
        let orders = core.turn(1_001.0);
        assert_eq!(core.counters.over, 1);
        assert!(!orders.iter().any(|o| matches!(o, Order::Hold { .. })), "{orders:?}");
    }

    /// Guards against a repeat, after a restart, of what was refused or given up: as taken, its end would never be told.
    #[test]
    fn what_was_refused_before_a_restart_is_not_taken_after_it() {
        let cases = [
            (Ending::HandedBack(40.0), Verdict::Busy(40.0)),
            (Ending::GivenUp, Verdict::Failed("given up".into())),
            (Ending::Delivered, Verdict::Taken),
        ];
        for (ending, wanted) in cases {
            let mut core = core("refused");
            let identity = (String::new(), "a".to_string());
            let (until, tenant) = (9_000.0, String::new());
            core.restore(0.0, vec![Record::Known { identity: identity.clone(), ending, until, tenant }]);
            core.submit(1.0, 7, Submission { identity, ..Submission::default() });
            let answer = Order::Answer { ticket: 7, verdict: wanted };
            assert!(core.turn(1.0).contains(&answer), "{ending:?}");
        }
    }
}
