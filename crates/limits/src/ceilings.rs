//! The promises of one dispatcher, member by member.

use crate::{Ms, Window};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// While only connections stand in the way, the next look is after this; an end is told sooner.
const LOOK_AGAIN: Ms = 50.0;

/// What a limit of a member counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Scope {
    /// Calls to all endpoints of the member together.
    #[default]
    Member,
    /// Calls to each endpoint on its own.
    Endpoint,
}

/// What a dispatcher promised to keep within at one member.
#[derive(Debug, Clone, PartialEq)]
pub struct Promise {
    /// The member's name, for those who read.
    pub member: String,
    /// The number of its destination.
    pub dest: u64,
    /// Calls in any span, probes counted; none: only connections are bounded.
    pub calls: Option<u32>,
    /// The span, in milliseconds.
    pub span: Ms,
    /// A call arrives at most so long after its last byte was written, in milliseconds.
    pub travel: Ms,
    /// What the limit counts.
    pub scope: Scope,
    /// Connections to each endpoint, idle ones counted; none: as many as the process has.
    pub connections: Option<u32>,
}

/// What became of a call that was counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// It was started.
    Started,
    /// Its last byte is out.
    Written,
    /// It ended before that.
    GivenBack,
}

/// What must outlast the process: calls of one window that took a step.
#[derive(Debug, Clone, PartialEq)]
pub struct Spent {
    /// The destination.
    pub dest: u64,
    /// The endpoint's id, where each has a window of its own; else empty.
    pub endpoint: String,
    /// When, by the wall clock in milliseconds; for [`Step::Written`] the latest arrival.
    pub at: Ms,
    /// How many.
    pub calls: u32,
    /// Which step.
    pub step: Step,
}

/// A call does not fit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Over {
    /// Time until there may be room, in milliseconds.
    pub wait: Ms,
}

/// How much may go to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Room {
    /// Calls that its window still takes now.
    pub calls: u32,
    /// With none: when to look again.
    pub again: Ms,
    /// Connections that are promised to be enough.
    pub links: u32,
    /// Those of them that carry nothing now.
    pub links_left: u32,
}

#[derive(Debug)]
struct Member {
    promise: Promise,
    /// The windows; by endpoint, or one under the empty name.
    windows: BTreeMap<String, Window>,
    /// What a new window starts with, after windows were divided.
    before: Option<Window>,
    /// Calls and probes that are out, by endpoint: each has a connection.
    busy: HashMap<String, u32>,
    /// Messages that wait for it.
    waiting: u32,
}

impl Member {
    fn unit<'a>(&self, endpoint: &'a str) -> &'a str {
        if self.promise.scope == Scope::Endpoint {
            endpoint
        } else {
            ""
        }
    }

    fn window(&mut self, endpoint: &str) -> Option<&mut Window> {
        let calls = self.promise.calls?;
        let unit = self.unit(endpoint);
        if !self.windows.contains_key(unit) {
            let fresh = || Window::new(calls, self.promise.span, self.promise.travel);
            let w = self.before.clone().unwrap_or_else(fresh);
            self.windows.insert(unit.to_string(), w);
        }
        self.windows.get_mut(unit)
    }

    /// All windows as one; calls that are still being written count as about to arrive.
    fn merged(&self, now: Ms) -> Window {
        let p = &self.promise;
        let mut all = Window::new(p.calls.unwrap_or(0), p.span, p.travel);
        let mut arrived: Vec<(Ms, u32)> = self.windows.values().flat_map(|w| w.arrived()).collect();
        arrived.extend(self.windows.values().map(|w| (now + p.travel, w.open())).filter(|a| a.1 > 0));
        arrived.sort_by(|a, b| a.0.total_cmp(&b.0));
        arrived.into_iter().for_each(|(at, n)| all.add(at, n));
        all
    }

    fn links_left(&self, endpoint: &str) -> u32 {
        let busy = self.busy.get(endpoint).copied().unwrap_or(0);
        self.promise.connections.map_or(u32::MAX, |most| most.saturating_sub(busy))
    }

    fn room(&mut self, now: Ms, endpoint: &str) -> Room {
        let (links, links_left) = (self.promise.connections.unwrap_or(u32::MAX), self.links_left(endpoint));
        let (calls, again) = match self.window(endpoint) {
            None => (u32::MAX, now),
            Some(w) => (w.room(now), w.when(now, 0).max(now)),
        };
        Room { calls, again, links, links_left }
    }
}

/// All promises of a dispatcher and what has gone out against them.
#[derive(Debug, Default)]
pub struct Ceilings {
    members: BTreeMap<u64, Member>,
    /// Destinations whose room may have changed since [`Ceilings::changed`] was asked.
    dirty: BTreeSet<u64>,
    /// When places come back that somebody waits for.
    due: BTreeSet<(u64, u64)>,
}

impl Ceilings {
    /// Nothing has gone out yet.
    pub fn new(promises: impl IntoIterator<Item = Promise>) -> Ceilings {
        let mut c = Ceilings::default();
        c.change(0.0, promises);
        c
    }

    /// Is anything promised at all?
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// What is promised of a destination.
    pub fn promise(&self, dest: u64) -> Option<&Promise> {
        self.members.get(&dest).map(|m| &m.promise)
    }

    /// Takes new promises over; what has gone out stays counted. A destination that is promised no longer is free.
    pub fn change(&mut self, now: Ms, promises: impl IntoIterator<Item = Promise>) {
        let mut old = std::mem::take(&mut self.members);
        self.due.clear();
        for p in promises {
            let mut m = match old.remove(&p.dest) {
                Some(m) if m.promise.scope == p.scope => m,
                // Calls counted together cannot be told apart: each endpoint is charged with all of them.
                Some(mut m) => {
                    let all = m.merged(now);
                    match p.scope {
                        Scope::Member => m.windows = BTreeMap::from([(String::new(), all)]),
                        Scope::Endpoint => (m.windows, m.before) = (BTreeMap::new(), Some(all)),
                    }
                    m
                }
                None => Member {
                    promise: p.clone(),
                    windows: BTreeMap::new(),
                    before: None,
                    busy: HashMap::new(),
                    waiting: 0,
                },
            };
            if let Some(calls) = p.calls {
                let all = m.windows.values_mut().chain(&mut m.before);
                all.for_each(|w| w.change(now, calls, p.span, p.travel));
            }
            m.promise = p;
            self.dirty.insert(m.promise.dest);
            self.members.insert(m.promise.dest, m);
        }
        self.dirty.extend(old.keys());
    }

    /// Starts a call or a probe if it fits; then [`Ceilings::written`] and [`Ceilings::ended`] are owed for it.
    pub fn take(&mut self, now: Ms, dest: u64, endpoint: &str) -> Result<(), Over> {
        let Some(m) = self.members.get_mut(&dest) else { return Ok(()) };
        let room = m.room(now, endpoint);
        if room.calls == 0 {
            return Err(Over { wait: (room.again - now).max(1.0) });
        } else if room.links_left == 0 {
            return Err(Over { wait: LOOK_AGAIN });
        }
        if let Some(w) = m.window(endpoint) {
            w.take(now);
        }
        *m.busy.entry(endpoint.to_string()).or_default() += 1;
        self.dirty.insert(dest);
        Ok(())
    }

    /// What a step is written down as; `None` where nothing is counted in a span.
    pub fn record(&self, now: Ms, dest: u64, endpoint: &str, step: Step) -> Option<Spent> {
        let m = self.members.get(&dest)?;
        m.promise.calls?;
        let at = if step == Step::Written { now + m.promise.travel } else { now };
        Some(Spent { dest, endpoint: m.unit(endpoint).to_string(), at, calls: 1, step })
    }

    /// The last byte of a call is out.
    pub fn written(&mut self, now: Ms, dest: u64, endpoint: &str) {
        let Some(m) = self.members.get_mut(&dest) else { return };
        if let Some(w) = m.window(endpoint) {
            w.written(now);
        }
        self.dirty.insert(dest);
    }

    /// A call or probe is over and its connection free; `written` tells whether [`Ceilings::written`] was said of it.
    pub fn ended(&mut self, dest: u64, endpoint: &str, written: bool) {
        let Some(m) = self.members.get_mut(&dest) else { return };
        if !written {
            if let Some(w) = m.window(endpoint) {
                w.give_back();
            }
        }
        if let Some(busy) = m.busy.get_mut(endpoint) {
            *busy = busy.saturating_sub(1);
            if *busy == 0 {
                m.busy.remove(endpoint);
            }
        }
        self.dirty.insert(dest);
    }

    /// A message for the destination was taken on.
    pub fn queue(&mut self, dest: u64) {
        self.members.entry(dest).and_modify(|m| m.waiting += 1);
    }

    /// One of them is over.
    pub fn unqueue(&mut self, dest: u64) {
        self.members.entry(dest).and_modify(|m| m.waiting = m.waiting.saturating_sub(1));
    }

    /// How much may go to an endpoint; `None`: as much as anybody wants.
    pub fn room(&mut self, now: Ms, dest: u64, endpoint: &str) -> Option<Room> {
        Some(self.members.get_mut(&dest)?.room(now, endpoint))
    }

    /// When a message that came now could go, after all that wait for the same destination. `endpoints` are those that
    /// are up for it; where each has a window of its own, the queue is taken to spread over them.
    pub fn when(&mut self, now: Ms, dest: u64, endpoints: &[&str]) -> Ms {
        let Some(m) = self.members.get_mut(&dest) else { return now };
        let ahead = m.waiting.saturating_sub(m.busy.values().sum());
        match m.promise.scope {
            Scope::Member => m.window("").map_or(now, |w| w.when(now, ahead)),
            Scope::Endpoint => {
                let each = ahead / (endpoints.len().max(1) as u32);
                let times = endpoints.iter().map(|e| m.window(e).map_or(now, |w| w.when(now, each)));
                let first = times.fold(f64::MAX, f64::min);
                if first == f64::MAX {
                    now
                } else {
                    first
                }
            }
        }
    }

    /// Destinations whose room may be another than when this was asked last.
    pub fn changed(&mut self, now: Ms) -> BTreeSet<u64> {
        while let Some((at, dest)) = self.due.first().copied().filter(|d| (d.0 as Ms) <= now) {
            self.due.remove(&(at, dest));
            self.dirty.insert(dest);
        }
        std::mem::take(&mut self.dirty)
    }

    /// All destinations count as changed.
    pub fn touch(&mut self) {
        self.dirty.extend(self.members.keys());
    }

    /// Asks for a destination to be among the changed ones at that time.
    pub fn remind(&mut self, at: Ms, dest: u64) {
        self.due.insert((at.ceil() as u64, dest));
    }

    /// When [`Ceilings::changed`] has something new of itself.
    pub fn next_due(&self) -> Option<Ms> {
        if !self.dirty.is_empty() {
            return Some(0.0);
        }
        self.due.first().map(|d| d.0 as Ms)
    }

    /// All that a next process must know, for a journal that is written anew.
    pub fn spent(&mut self, now: Ms) -> Vec<Spent> {
        let mut all = Vec::new();
        for (dest, m) in &mut self.members {
            m.windows.retain(|_, w| !w.is_idle(now));
            for (endpoint, w) in &m.windows {
                let of = |at, calls, step| Spent { dest: *dest, endpoint: endpoint.clone(), at, calls, step };
                all.extend(w.arrived().map(|(at, n)| of(at, n, Step::Written)));
                if w.open() > 0 {
                    all.push(of(now, w.open(), Step::Started));
                }
            }
        }
        all
    }

    /// Takes up what earlier processes sent. Steps come in the order in which they were written down. A call that was
    /// started and never reported written may have arrived up to now.
    pub fn restore(&mut self, now: Ms, steps: impl IntoIterator<Item = Spent>) {
        let mut open: BTreeMap<(u64, String), u32> = BTreeMap::new();
        for s in steps {
            let Some(m) = self.members.get_mut(&s.dest) else { continue };
            let started = open.entry((s.dest, s.endpoint.clone())).or_default();
            match s.step {
                Step::Started => *started = started.saturating_add(s.calls),
                Step::GivenBack => *started = started.saturating_sub(s.calls),
                Step::Written => {
                    *started = started.saturating_sub(s.calls);
                    // A clock that was set back must not make old calls newer than any, nor keep them for ever.
                    let latest = now + m.promise.travel;
                    if let Some(w) = m.window(&s.endpoint) {
                        w.add(s.at.min(latest), s.calls);
                    }
                }
            }
        }
        for ((dest, endpoint), n) in open.into_iter().filter(|o| o.1 > 0) {
            let Some(m) = self.members.get_mut(&dest) else { continue };
            let latest = now + m.promise.travel;
            if let Some(w) = m.window(&endpoint) {
                w.add(latest, n);
            }
        }
        self.touch();
    }
}
