//! The limits that one dispatcher keeps, per destination.

use crate::{Ms, Window};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Time until the next check while only connections are missing; the host reports a freed connection sooner.
const CONNECTION_RECHECK_MS: Ms = 50.0;

/// The scope of a destination's call limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Scope {
    /// All endpoints of the destination together.
    #[default]
    Destination,
    /// Each endpoint on its own.
    Endpoint,
}

/// The share of one destination's limits that a dispatcher must not exceed.
#[derive(Debug, Clone, PartialEq)]
pub struct DestinationLimit {
    /// The name of the destination, for display.
    pub name: String,
    /// The number of the destination.
    pub destination: u64,
    /// Calls in any span, including probes; `None` if only connections are limited.
    pub calls: Option<u32>,
    /// The span, in milliseconds.
    pub span: Ms,
    /// The longest time from writing the last byte of a call to its arrival, in milliseconds.
    pub max_travel: Ms,
    /// The scope of the call limit.
    pub scope: Scope,
    /// Connections to each endpoint, including idle ones; `None` if they are not limited.
    pub connections: Option<u32>,
}

/// A step of a counted call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallStep {
    /// It was started.
    Started,
    /// Its last byte was written.
    Written,
    /// It ended before its last byte was written.
    Cancelled,
}

/// A record that must outlast the process: a step of calls in one window.
#[derive(Debug, Clone, PartialEq)]
pub struct CallRecord {
    /// The number of the destination.
    pub destination: u64,
    /// The endpoint's id if each endpoint has a window of its own, else empty.
    pub endpoint: String,
    /// When, by the wall clock in milliseconds; for [`CallStep::Written`] the latest possible arrival.
    pub at: Ms,
    /// The number of calls.
    pub calls: u32,
    /// The step.
    pub step: CallStep,
}

/// A call exceeds a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitExceeded {
    /// Time until there may be room, in milliseconds.
    pub retry_after: Ms,
}

/// The room for calls to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AvailableCapacity {
    /// Calls that the window admits now.
    pub calls: u32,
    /// If it admits none: when to check again.
    pub recheck_at: Ms,
    /// The limit of connections to the endpoint.
    pub max_connections: u32,
    /// The part of that limit that is not in use.
    pub free_connections: u32,
}

#[derive(Debug)]
struct Destination {
    promise: DestinationLimit,
    /// The windows by endpoint, or a single one under the empty name.
    windows: BTreeMap<String, Window>,
    /// The initial state of a new window, after a common window was split per endpoint.
    initial_window: Option<Window>,
    /// Running calls and probes by endpoint, each of which has a connection.
    busy: HashMap<String, u32>,
    /// Messages that wait for the destination.
    waiting: u32,
}

impl Destination {
    fn window_key<'a>(&self, endpoint: &'a str) -> &'a str {
        if self.promise.scope == Scope::Endpoint {
            endpoint
        } else {
            ""
        }
    }

    fn window(&mut self, endpoint: &str) -> Option<&mut Window> {
        let calls = self.promise.calls?;
        let key = self.window_key(endpoint);
        if !self.windows.contains_key(key) {
            let fresh = || Window::new(calls, self.promise.span, self.promise.max_travel);
            let w = self.initial_window.clone().unwrap_or_else(fresh);
            self.windows.insert(key.to_string(), w);
        }
        self.windows.get_mut(key)
    }

    /// All windows merged into one; calls that are still being written count as about to arrive.
    fn merged(&self, now: Ms) -> Window {
        let p = &self.promise;
        let mut all = Window::new(p.calls.unwrap_or(0), p.span, p.max_travel);
        let mut arrived: Vec<(Ms, u32)> = self.windows.values().flat_map(|w| w.arrived()).collect();
        arrived.extend(self.windows.values().map(|w| (now + p.max_travel, w.open())).filter(|a| a.1 > 0));
        arrived.sort_by(|a, b| a.0.total_cmp(&b.0));
        arrived.into_iter().for_each(|(at, n)| all.add(at, n));
        all
    }

    fn connections_left(&self, endpoint: &str) -> u32 {
        let busy = self.busy.get(endpoint).copied().unwrap_or(0);
        self.promise.connections.map_or(u32::MAX, |most| most.saturating_sub(busy))
    }

    fn room(&mut self, now: Ms, endpoint: &str) -> AvailableCapacity {
        let (links, links_left) =
            (self.promise.connections.unwrap_or(u32::MAX), self.connections_left(endpoint));
        let (calls, again) = match self.window(endpoint) {
            None => (u32::MAX, now),
            Some(w) => (w.room(now), w.when(now, 0).max(now)),
        };
        AvailableCapacity { calls, recheck_at: again, max_connections: links, free_connections: links_left }
    }
}

/// All limits of a dispatcher, and the calls counted against them.
#[derive(Debug, Default)]
pub struct RateLimiter {
    destinations: BTreeMap<u64, Destination>,
    /// Destinations whose room may have changed since the last [`RateLimiter::take_changed`].
    dirty: BTreeSet<u64>,
    /// Times, in milliseconds, at which places that a message waits for are freed, with the destination.
    due: BTreeSet<(u64, u64)>,
}

impl RateLimiter {
    /// Limits against which nothing is counted yet.
    pub fn new(promises: impl IntoIterator<Item = DestinationLimit>) -> RateLimiter {
        let mut c = RateLimiter::default();
        c.set_limits(0.0, promises);
        c
    }

    /// Whether there is no limit at all.
    pub fn is_empty(&self) -> bool {
        self.destinations.is_empty()
    }

    /// The limit for a destination.
    pub fn limit(&self, dest: u64) -> Option<&DestinationLimit> {
        self.destinations.get(&dest).map(|m| &m.promise)
    }

    /// Replaces the limits; the calls counted so far stay counted. A destination without a new limit is
    /// unlimited.
    pub fn set_limits(&mut self, now: Ms, promises: impl IntoIterator<Item = DestinationLimit>) {
        let mut old = std::mem::take(&mut self.destinations);
        self.due.clear();
        for p in promises {
            let mut m = match old.remove(&p.destination) {
                Some(m) if m.promise.scope == p.scope => m,
                // Calls that were counted together cannot be attributed: each endpoint is charged with all of
                // them.
                Some(mut m) => {
                    let all = m.merged(now);
                    match p.scope {
                        Scope::Destination => m.windows = BTreeMap::from([(String::new(), all)]),
                        Scope::Endpoint => (m.windows, m.initial_window) = (BTreeMap::new(), Some(all)),
                    }
                    m
                }
                None => Destination {
                    promise: p.clone(),
                    windows: BTreeMap::new(),
                    initial_window: None,
                    busy: HashMap::new(),
                    waiting: 0,
                },
            };
            if let Some(calls) = p.calls {
                let all = m.windows.values_mut().chain(&mut m.initial_window);
                all.for_each(|w| w.change(now, calls, p.span, p.max_travel));
            }
            m.promise = p;
            self.dirty.insert(m.promise.destination);
            self.destinations.insert(m.promise.destination, m);
        }
        self.dirty.extend(old.keys());
    }

    /// Starts a call or a probe if it fits. The caller then has to report it to [`RateLimiter::call_written`] and
    /// [`RateLimiter::call_ended`].
    pub fn start_call(&mut self, now: Ms, dest: u64, endpoint: &str) -> Result<(), LimitExceeded> {
        let Some(m) = self.destinations.get_mut(&dest) else { return Ok(()) };
        let room = m.room(now, endpoint);
        if room.calls == 0 {
            return Err(LimitExceeded { retry_after: (room.recheck_at - now).max(1.0) });
        } else if room.free_connections == 0 {
            return Err(LimitExceeded { retry_after: CONNECTION_RECHECK_MS });
        }
        if let Some(w) = m.window(endpoint) {
            w.take(now);
        }
        *m.busy.entry(endpoint.to_string()).or_default() += 1;
        self.dirty.insert(dest);
        Ok(())
    }

    /// The record of a step; `None` if the destination has no call limit.
    pub fn call_record(&self, now: Ms, dest: u64, endpoint: &str, step: CallStep) -> Option<CallRecord> {
        let m = self.destinations.get(&dest)?;
        m.promise.calls?;
        let at = if step == CallStep::Written { now + m.promise.max_travel } else { now };
        Some(CallRecord {
            destination: dest,
            endpoint: m.window_key(endpoint).to_string(),
            at,
            calls: 1,
            step,
        })
    }

    /// The last byte of a call has been written.
    pub fn call_written(&mut self, now: Ms, dest: u64, endpoint: &str) {
        let Some(m) = self.destinations.get_mut(&dest) else { return };
        if let Some(w) = m.window(endpoint) {
            w.written(now);
        }
        self.dirty.insert(dest);
    }

    /// A call or probe has ended and its connection is free; `written` is whether [`RateLimiter::call_written`]
    /// was called for it.
    pub fn call_ended(&mut self, dest: u64, endpoint: &str, written: bool) {
        let Some(m) = self.destinations.get_mut(&dest) else { return };
        if !written {
            if let Some(w) = m.window(endpoint) {
                w.cancel();
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

    /// A message for the destination was accepted.
    pub fn message_queued(&mut self, dest: u64) {
        self.destinations.entry(dest).and_modify(|m| m.waiting += 1);
    }

    /// A message for the destination has ended.
    pub fn message_dequeued(&mut self, dest: u64) {
        self.destinations.entry(dest).and_modify(|m| m.waiting = m.waiting.saturating_sub(1));
    }

    /// The room for calls to an endpoint; `None` if it is unlimited.
    pub fn room(&mut self, now: Ms, dest: u64, endpoint: &str) -> Option<AvailableCapacity> {
        Some(self.destinations.get_mut(&dest)?.room(now, endpoint))
    }

    /// The number of connections to each endpoint of a destination that is promised, idle ones included.
    pub fn max_connections(&self, dest: u64) -> Option<u32> {
        self.destinations.get(&dest)?.promise.connections
    }

    /// When a message accepted now could be sent, after all that wait for the same destination. `endpoints`
    /// are the destination's available endpoints; if each has a window of its own, the queue is assumed to
    /// spread evenly over them.
    pub fn estimated_start(&mut self, now: Ms, dest: u64, endpoints: &[&str]) -> Ms {
        let Some(m) = self.destinations.get_mut(&dest) else { return now };
        let ahead = m.waiting.saturating_sub(m.busy.values().sum());
        match m.promise.scope {
            Scope::Destination => m.window("").map_or(now, |w| w.when(now, ahead)),
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

    /// Destinations whose room may have changed since the previous call.
    pub fn take_changed(&mut self, now: Ms) -> BTreeSet<u64> {
        while let Some((at, dest)) = self.due.first().copied().filter(|d| (d.0 as Ms) <= now) {
            self.due.remove(&(at, dest));
            self.dirty.insert(dest);
        }
        std::mem::take(&mut self.dirty)
    }

    /// Marks all destinations as changed.
    pub fn mark_all_changed(&mut self) {
        self.dirty.extend(self.destinations.keys());
    }

    /// Marks a destination as changed at that time.
    pub fn mark_changed_at(&mut self, at: Ms, dest: u64) {
        self.due.insert((at.ceil() as u64, dest));
    }

    /// When [`RateLimiter::take_changed`] next returns a destination by itself.
    pub fn next_due(&self) -> Option<Ms> {
        if !self.dirty.is_empty() {
            return Some(0.0);
        }
        self.due.first().map(|d| d.0 as Ms)
    }

    /// Records of everything that the next process must know, for a compacted journal.
    pub fn snapshot(&mut self, now: Ms) -> Vec<CallRecord> {
        let mut all = Vec::new();
        for (dest, m) in &mut self.destinations {
            m.windows.retain(|_, w| !w.is_idle(now));
            for (endpoint, w) in &m.windows {
                let of = |at, calls, step| CallRecord {
                    destination: *dest,
                    endpoint: endpoint.clone(),
                    at,
                    calls,
                    step,
                };
                all.extend(w.arrived().map(|(at, n)| of(at, n, CallStep::Written)));
                if w.open() > 0 {
                    all.push(of(now, w.open(), CallStep::Started));
                }
            }
        }
        all
    }

    /// How many records [`RateLimiter::snapshot`] returns at most, and the bytes of the endpoint ids in them.
    pub fn snapshot_size(&self) -> (usize, usize) {
        let windows = self.destinations.values().flat_map(|m| &m.windows);
        windows.fold((0, 0), |(records, bytes), (endpoint, w)| {
            let more = w.arrivals() + 1;
            (records + more, bytes + more * endpoint.len())
        })
    }

    /// Restores what earlier processes sent, from records in their original order. A call that was started
    /// and never recorded as written may have arrived at any time until now.
    pub fn restore(&mut self, now: Ms, steps: impl IntoIterator<Item = CallRecord>) {
        let mut open: BTreeMap<(u64, String), u32> = BTreeMap::new();
        for s in steps {
            let Some(m) = self.destinations.get_mut(&s.destination) else { continue };
            let started = open.entry((s.destination, s.endpoint.clone())).or_default();
            match s.step {
                CallStep::Started => *started = started.saturating_add(s.calls),
                CallStep::Cancelled => *started = started.saturating_sub(s.calls),
                CallStep::Written => {
                    *started = started.saturating_sub(s.calls);
                    // A wall clock that was set back must not make old calls newer than any possible one, nor
                    // keep them forever.
                    let latest = now + m.promise.max_travel;
                    if let Some(w) = m.window(&s.endpoint) {
                        w.add(s.at.min(latest), s.calls);
                    }
                }
            }
        }
        for ((dest, endpoint), n) in open.into_iter().filter(|o| o.1 > 0) {
            let Some(m) = self.destinations.get_mut(&dest) else { continue };
            let latest = now + m.promise.max_travel;
            if let Some(w) = m.window(&endpoint) {
                w.add(latest, n);
            }
        }
        self.mark_all_changed();
    }
}
