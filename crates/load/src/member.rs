//! Stand-in endpoint over HTTP that records every call and every effect, and a stand-in receiver of notices.

use crate::attempts::{Attempt, AttemptLog, EndedBy, OpenAttempt};
use crate::connection_fault::{
    half_close, reset_on_close, wait_for_events, wait_for_remote_close, ConnectionFault, FaultPlan,
};
use crate::content;
use rustix::event::PollFlags;
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Capacity of an endpoint.
#[derive(Debug, Clone)]
pub struct EndpointConfig {
    /// Time that a call takes.
    pub service_time: Duration,
    /// Number of calls that it serves at once; further calls wait in a queue.
    pub concurrency: usize,
    /// Length of the queue; calls beyond it are answered with 503.
    pub queue_capacity: usize,
}

/// Rate limit of an endpoint over all dispatchers, and how it recovers from an outage.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Calls in any second; further calls are answered with 429 and `retry_after`.
    pub per_second: u32,
    /// The wait that a 429 answer asks for.
    pub retry_after: Duration,
    /// Time after an outage until the endpoint serves its full limit again.
    pub cold: Duration,
    /// Fraction of the limit that it serves right after an outage.
    pub cold_from: f64,
    /// A cold endpoint crashes when more than N + 2 sqrt(N) + 2 calls come within `overload_window`, where N is the number
    /// of calls that its reduced limit allows in that time, multiplied by this factor.
    pub overload_factor: f64,
    /// See `overload_factor`.
    pub overload_window: Duration,
    /// How long it stays down after a crash.
    pub crash_time: Duration,
}

impl Limit {
    /// Fraction of the limit that it serves this long after its recovery; all of it if it was never down.
    pub fn fraction(&self, since: Option<Duration>) -> f64 {
        let done = since.map_or(1.0, |s| s.as_secs_f64() / self.cold.as_secs_f64().max(1e-9)).min(1.0);
        self.cold_from + (1.0 - self.cold_from) * done
    }

    /// Number of calls within `overload_window` above which an endpoint that serves this fraction of its limit crashes.
    pub fn crash_threshold(&self, fraction: f64) -> f64 {
        let n =
            f64::from(self.per_second) * fraction * self.overload_factor * self.overload_window.as_secs_f64();
        n + 2.0 * n.sqrt() + 2.0
    }
}

/// Outage state of an endpoint.
#[derive(Debug, Clone, Copy, Default)]
enum Health {
    /// It has not been down.
    #[default]
    Warm,
    /// Down until it is brought up, or, after a crash, until this time.
    Down(Option<Instant>),
    /// Up again since this time.
    Recovered(Instant),
}

/// The effect of a message at an endpoint.
#[derive(Debug, Clone)]
pub struct Effect {
    /// The id of its message.
    pub id: String,
    /// When its execution began.
    pub began_at: Instant,
    /// When it took effect.
    pub took_effect_at: Instant,
}

/// How often a queued call checks whether its connection has ended.
const QUEUE_POLL: Duration = Duration::from_millis(2);
/// How long an endpoint waits for the next request, or keeps a faulty connection open until the dispatcher closes it.
const MAX_HOLD: Duration = Duration::from_secs(30);
/// Fraction of a call's time after which a connection fault occurs.
const FAULT_AFTER_FRACTION: f64 = 0.5;

/// A call that is being served.
struct Call<'a> {
    log: &'a AttemptLog,
    open: OpenAttempt,
    tcp: &'a TcpStream,
    /// Whether the dispatcher has ended the connection.
    cancelled: bool,
}

impl Call<'_> {
    /// Waits for `time`. Records the dispatcher's end of the connection as soon as it occurs, also on a busy machine.
    fn wait(&mut self, time: Duration) {
        let start = Instant::now();
        if !self.cancelled && wait_for_remote_close(self.tcp, time).is_some() {
            self.cancelled = true;
            self.log.end(self.open, EndedBy::Caller);
        }
        thread::sleep(time.saturating_sub(start.elapsed()));
    }
}

#[derive(Debug, Default)]
struct State {
    serving: usize,
    queue: VecDeque<u64>,
    next_ticket: u64,
    effects: Vec<Effect>,
    refused: usize,
    health: Health,
    /// When each call came, including refused ones.
    calls: Vec<Instant>,
    /// Times of the calls within the limit in the last second.
    accepted: VecDeque<Instant>,
    crashes: usize,
    /// Connection faults to cause.
    faults: Option<FaultPlan>,
    /// Requests since the connection faults were set.
    requests: usize,
}

/// How an incoming call is handled.
enum Verdict {
    /// Serve it.
    Serve,
    /// Answer 429 with this wait.
    Refuse(Duration),
    /// Close the connection.
    Close,
}

impl State {
    /// Whether the endpoint is down now; ends the downtime after a crash.
    fn is_down(&mut self, now: Instant) -> bool {
        match self.health {
            Health::Down(Some(until)) if now >= until => {
                self.health = Health::Recovered(until);
                false
            }
            Health::Down(_) => true,
            _ => false,
        }
    }

    /// Counts a call against the limit, and crashes a cold endpoint that gets too many calls.
    fn receive_call(&mut self, now: Instant, limit: &Limit) -> Verdict {
        self.calls.push(now);
        let since = match self.health {
            Health::Recovered(at) => Some(now.saturating_duration_since(at)),
            _ => None,
        };
        let fraction = limit.fraction(since);
        if fraction < 1.0 {
            let from = now.checked_sub(limit.overload_window).unwrap_or(now);
            let recent = self.calls.iter().rev().take_while(|t| **t > from);
            // Calls from before the recovery did not reach the endpoint and cannot crash it.
            let recovered = now - since.unwrap_or_default();
            if recent.filter(|t| **t >= recovered).count() as f64 > limit.crash_threshold(fraction) {
                self.crashes += 1;
                self.health = Health::Down(Some(now + limit.crash_time));
                return Verdict::Close;
            }
        }
        let second_ago = now.checked_sub(Duration::from_secs(1)).unwrap_or(now);
        while self.accepted.front().is_some_and(|t| *t <= second_ago) {
            self.accepted.pop_front();
        }
        if self.accepted.len() as f64 >= (f64::from(limit.per_second) * fraction).max(1.0) {
            self.refused += 1;
            return Verdict::Refuse(limit.retry_after);
        }
        self.accepted.push_back(now);
        Verdict::Serve
    }
}

/// A stand-in endpoint. Clones share its state.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Its address.
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    attempts: AttemptLog,
    limit: Option<Limit>,
}

/// The parts of an HTTP request that the stand-ins use.
#[derive(Debug, Clone)]
pub struct Request {
    /// The request line, including its line break.
    pub line: String,
    /// The message id from the `x-txn` header, or empty.
    pub id: String,
    /// The idempotency key, or empty.
    pub idempotency_key: String,
    /// The body, of `content-length` bytes.
    pub body: Vec<u8>,
}

/// Reads one HTTP/1.1 request; `None` at the end of the connection or if the request cannot be parsed.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (mut first, mut id, mut idempotency_key, mut length) =
        (String::new(), String::new(), String::new(), 0);
    reader.read_line(&mut first).ok().filter(|n| *n > 0)?;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        match line.split_once(": ") {
            Some((n, v)) if n.eq_ignore_ascii_case("x-txn") => id = v.to_string(),
            Some((n, v)) if n.eq_ignore_ascii_case("idempotency-key") => idempotency_key = v.to_string(),
            Some((n, v)) if n.eq_ignore_ascii_case("content-length") => length = v.parse().ok()?,
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request { line: first, id, idempotency_key, body })
}

impl Endpoint {
    /// Starts an endpoint on a port that the system assigns.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub fn start(manner: EndpointConfig) -> std::io::Result<Endpoint> {
        Endpoint::start_with_limit(manner, None)
    }

    /// Starts an endpoint with a limit on the calls of all dispatchers together.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub fn start_with_limit(manner: EndpointConfig, limit: Option<Limit>) -> std::io::Result<Endpoint> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (address, attempts) = (listener.local_addr()?, AttemptLog::default());
        let endpoint = Endpoint { address, state: Arc::default(), attempts, limit };
        let server = endpoint.clone();
        thread::spawn(move || {
            for tcp in listener.incoming().map_while(Result::ok) {
                let (e, manner) = (server.clone(), manner.clone());
                thread::spawn(move || e.serve(tcp, &manner));
            }
        });
        Ok(endpoint)
    }

    /// Serves requests until the connection ends.
    fn serve(&self, tcp: TcpStream, manner: &EndpointConfig) -> Option<()> {
        tcp.set_nodelay(true).ok()?;
        let mut out = tcp.try_clone().ok()?;
        let mut reader = BufReader::new(tcp);
        loop {
            wait_for_events(&out, PollFlags::IN | PollFlags::RDHUP, MAX_HOLD)?;
            let fault = self.next_fault();
            match fault {
                Some((ConnectionFault::HalfCloseOnRequest, read_later)) => {
                    half_close(&out);
                    thread::sleep(read_later);
                }
                Some((ConnectionFault::ResetOnRequest, _)) => {
                    reset_on_close(&out);
                    return None;
                }
                Some((ConnectionFault::StopServing, _)) => {
                    thread::sleep(MAX_HOLD);
                    return None;
                }
                _ => {}
            }
            let r = read_request(&mut reader)?;
            let is_probe = r.line.starts_with("GET");
            let altered = content::difference(&r.id, &r.idempotency_key, &r.body);
            let open = (!is_probe).then(|| self.attempts.begin(&r.id, altered));
            let head = self.answer(r, open, manner, &out, fault.map(|f| f.0));
            let Some(head) = head else {
                let by = if fault.is_some() { EndedBy::Endpoint } else { EndedBy::Caller };
                open.into_iter().for_each(|open| self.attempts.end(open, by));
                return None;
            };
            open.into_iter().for_each(|open| self.attempts.end(open, EndedBy::Answer));
            out.write_all(format!("HTTP/1.1 {head}\r\nContent-Length: 0\r\n\r\n").as_bytes()).ok()?;
        }
    }

    /// The fault that the request that has just arrived meets, and the delay before it is read.
    fn next_fault(&self) -> Option<(ConnectionFault, Duration)> {
        let mut state = self.state.0.lock().ok()?;
        let nth = state.requests;
        state.requests += 1;
        let plan = state.faults.as_ref()?;
        Some((plan.fault_for(nth)?, plan.read_delay))
    }

    /// The status line and headers of the answer to a request; `None` if the connection ends without an answer.
    fn answer(
        &self,
        r: Request,
        open: Option<OpenAttempt>,
        manner: &EndpointConfig,
        tcp: &TcpStream,
        fault: Option<ConnectionFault>,
    ) -> Option<String> {
        let verdict = {
            let mut state = self.state.0.lock().ok()?;
            let now = Instant::now();
            match &self.limit {
                _ if state.is_down(now) => Verdict::Close,
                Some(limit) if open.is_some() => state.receive_call(now, limit),
                None if open.is_some() => {
                    state.calls.push(now);
                    Verdict::Serve
                }
                _ => Verdict::Serve,
            }
        };
        let ok = Some("200 OK".to_string());
        match (verdict, open) {
            (Verdict::Close, Some(open)) => {
                self.attempts.end(open, EndedBy::Endpoint);
                None
            }
            (Verdict::Close, None) => None,
            (Verdict::Refuse(wait), _) => {
                Some(format!("429 Too Many Requests\r\nRetry-After: {:.3}", wait.as_secs_f64()))
            }
            (Verdict::Serve, None) => ok,
            (Verdict::Serve, Some(open)) => {
                let call = Call { log: &self.attempts, open, tcp, cancelled: false };
                match self.serve_call(r.id, manner, call, fault)? {
                    true => ok,
                    false => Some("503 Full".to_string()),
                }
            }
        }
    }

    /// Serves a call when a slot is free: `false` if the queue was full, `None` if the connection ends without an answer.
    fn serve_call(
        &self,
        id: String,
        manner: &EndpointConfig,
        mut call: Call,
        fault: Option<ConnectionFault>,
    ) -> Option<bool> {
        if fault == Some(ConnectionFault::HalfCloseOnRequest) {
            // The write side is shut down, so the call has no effect; it ends when the dispatcher closes the connection.
            call.wait(Duration::ZERO);
            wait_for_remote_close(call.tcp, MAX_HOLD);
            self.attempts.end(call.open, EndedBy::Caller);
            return None;
        }
        if !self.wait_for_slot(manner, &mut call)? {
            return Some(false);
        }
        let began = Instant::now();
        let before = match fault {
            Some(_) => manner.service_time.mul_f64(FAULT_AFTER_FRACTION),
            None => Duration::ZERO,
        };
        call.wait(before);
        if fault == Some(ConnectionFault::ResetDuringCall) {
            self.release_slot();
            self.attempts.end(call.open, EndedBy::Endpoint);
            reset_on_close(call.tcp);
            return None;
        }
        if fault == Some(ConnectionFault::HalfCloseDuringCall) {
            half_close(call.tcp);
        }
        call.wait(manner.service_time.saturating_sub(before));
        if let Ok(mut state) = self.state.0.lock() {
            state.effects.push(Effect { id, began_at: began, took_effect_at: Instant::now() });
        }
        self.release_slot();
        if fault == Some(ConnectionFault::HalfCloseDuringCall) {
            wait_for_remote_close(call.tcp, MAX_HOLD);
            self.attempts.end(call.open, EndedBy::Caller);
            return None;
        }
        Some(true)
    }

    /// Waits in the queue for a free slot: `false` if the queue is full, `None` if the dispatcher ends the connection first.
    fn wait_for_slot(&self, manner: &EndpointConfig, call: &mut Call) -> Option<bool> {
        let (state, slot_freed) = &*self.state;
        let mut state = state.lock().ok()?;
        if state.serving >= manner.concurrency && state.queue.len() >= manner.queue_capacity {
            state.refused += 1;
            return Some(false);
        }
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        state.queue.push_back(ticket);
        while state.serving >= manner.concurrency || state.queue.front() != Some(&ticket) {
            state = slot_freed.wait_timeout(state, QUEUE_POLL).ok()?.0;
            if wait_for_remote_close(call.tcp, Duration::ZERO).is_some() {
                self.attempts.end(call.open, EndedBy::Caller);
                state.queue.retain(|t| *t != ticket);
                slot_freed.notify_all();
                return None;
            }
        }
        state.queue.pop_front();
        state.serving += 1;
        drop(state);
        slot_freed.notify_all();
        Some(true)
    }

    fn release_slot(&self) {
        let (state, slot_freed) = &*self.state;
        if let Ok(mut state) = state.lock() {
            state.serving -= 1;
        }
        slot_freed.notify_all();
    }

    /// All attempts so far, as the endpoint saw them; probes do not count.
    pub fn attempts(&self) -> Vec<Attempt> {
        self.attempts.all()
    }

    /// Sets the faults that its connections meet from now on; `None` ends them.
    pub fn set_faults(&self, plan: Option<FaultPlan>) {
        if let Ok(mut state) = self.state.0.lock() {
            (state.faults, state.requests) = (plan, 0);
        }
    }

    /// All effects so far.
    pub fn effects(&self) -> Vec<Effect> {
        self.state.0.lock().map(|state| state.effects.clone()).unwrap_or_default()
    }

    /// Starts an outage: every request ends its connection without an answer, until [`Endpoint::bring_up`].
    pub fn take_down(&self) {
        if let Ok(mut state) = self.state.0.lock() {
            state.health = Health::Down(None);
        }
    }

    /// Ends an outage; the endpoint is cold at first.
    pub fn bring_up(&self) {
        if let Ok(mut state) = self.state.0.lock() {
            state.health = Health::Recovered(Instant::now());
        }
    }

    /// When each call came, in order, including refused ones.
    pub fn calls(&self) -> Vec<Instant> {
        self.state.0.lock().map(|state| state.calls.clone()).unwrap_or_default()
    }

    /// How often it crashed while it was cold.
    pub fn crashes(&self) -> usize {
        self.state.0.lock().map(|state| state.crashes).unwrap_or(0)
    }

    /// Calls that it refused because of its limit or because its queue was full.
    pub fn refused(&self) -> usize {
        self.state.0.lock().map(|state| state.refused).unwrap_or(0)
    }
}

/// Stand-in receiver of notices. Clones share the notices received.
#[derive(Debug, Clone)]
pub struct NoticeReceiver {
    /// Its address.
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<String>>>,
}

impl NoticeReceiver {
    /// Starts a receiver on a port that the system assigns.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub fn start() -> std::io::Result<NoticeReceiver> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let notices = NoticeReceiver { address: listener.local_addr()?, received: Arc::default() };
        let lines = notices.received.clone();
        thread::spawn(move || {
            for tcp in listener.incoming().map_while(Result::ok) {
                let lines = lines.clone();
                thread::spawn(move || {
                    let mut out = tcp.try_clone().ok()?;
                    let mut reader = BufReader::new(tcp);
                    while let Some(r) = read_request(&mut reader) {
                        let text = String::from_utf8_lossy(&r.body).into_owned();
                        lines.lock().ok()?.extend(text.lines().map(String::from));
                        out.write_all(b"HTTP/1.1 204 Done\r\n\r\n").ok()?;
                    }
                    Some(())
                });
            }
        });
        Ok(notices)
    }

    /// All notices so far, one JSON object each.
    pub fn lines(&self) -> Vec<String> {
        self.received.lock().map(|l| l.clone()).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
