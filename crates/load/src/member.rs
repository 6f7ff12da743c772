//! A stand-in member: an endpoint over HTTP that records every call and every effect, and a place for notices.

use crate::attempts::{Attempt, AttemptLog, EndedBy, Open};
use crate::connection_fault::{
    half_close, reset_on_close, wait_for, wait_for_caller, ConnectionFault, FaultPlan,
};
use rustix::event::PollFlags;
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What an endpoint is like.
#[derive(Debug, Clone)]
pub struct Manner {
    /// How long a call takes.
    pub service: Duration,
    /// Calls that it serves at once; others wait in its queue,
    pub at_once: usize,
    /// which holds so many; beyond them it answers 503.
    pub queue: usize,
}

/// What an endpoint takes of all its callers together, and how it comes back from an outage.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Calls in any second; what comes beyond them is answered 429 and told to wait `wait`.
    pub per_second: u32,
    /// The wait that is told.
    pub wait: Duration,
    /// After an outage it takes so long until it serves its whole limit again,
    pub cold: Duration,
    /// from this part of it on.
    pub cold_from: f64,
    /// While it is cold it falls over again when the calls of `over` are more than N + 2 x root of N + 2, N being
    /// what it may take then times `factor`.
    pub factor: f64,
    /// See `factor`.
    pub over: Duration,
    /// So long it stays away after a fall.
    pub away: Duration,
}

impl Limit {
    /// Part of the limit that it serves so long after its return.
    pub fn part(&self, since: Option<Duration>) -> f64 {
        let done = since.map_or(1.0, |s| s.as_secs_f64() / self.cold.as_secs_f64().max(1e-9)).min(1.0);
        self.cold_from + (1.0 - self.cold_from) * done
    }

    /// Calls within `over` that are too many for one that may take this part.
    pub fn fall_at(&self, part: f64) -> f64 {
        let n = f64::from(self.per_second) * part * self.factor * self.over.as_secs_f64();
        n + 2.0 * n.sqrt() + 2.0
    }
}

/// Where an endpoint is with its outages.
#[derive(Debug, Clone, Copy, Default)]
enum Health {
    /// It has never been away, or long ago.
    #[default]
    Warm,
    /// Away until it is told to come back, or until then after a fall.
    Away(Option<Instant>),
    /// Back since then.
    Back(Instant),
}

/// A call that took effect.
#[derive(Debug, Clone)]
pub struct Effect {
    /// The id of its message.
    pub id: String,
    /// When it began,
    pub began: Instant,
    /// and took effect.
    pub at: Instant,
}

/// While a call waits for its turn its caller is looked for this often.
const QUEUE_LOOK: Duration = Duration::from_millis(2);
/// A connection that has been ended or forgotten is held open for its caller's end no longer than this.
const HELD_MOST: Duration = Duration::from_secs(30);
/// The part of a call's time after which a fault meets it.
const FAULT_AFTER: f64 = 0.5;

/// A call that is being served.
struct Call<'a> {
    log: &'a AttemptLog,
    open: Open,
    tcp: &'a TcpStream,
    /// Its caller has ended it.
    left: bool,
}

impl Call<'_> {
    /// Lets time pass; the end of the caller is known as it comes, also on a busy machine.
    fn pass(&mut self, time: Duration) {
        let began = Instant::now();
        if !self.left && wait_for_caller(self.tcp, time).is_some() {
            self.left = true;
            self.log.end(self.open, EndedBy::Caller);
        }
        thread::sleep(time.saturating_sub(began.elapsed()));
    }
}

#[derive(Debug, Default)]
struct Inner {
    serving: usize,
    queue: VecDeque<u64>,
    ticket: u64,
    effects: Vec<Effect>,
    refused: usize,
    health: Health,
    /// When each call came, also those that were refused.
    calls: Vec<Instant>,
    /// Times of the calls of the last second that it took.
    taken: VecDeque<Instant>,
    falls: usize,
    /// What it does to its connections, and requests that came since it was told so.
    faults: Option<FaultPlan>,
    arrived: usize,
}

/// What becomes of a call that has come.
enum Verdict {
    /// It is served.
    Serve,
    /// 429 with this wait.
    Wait(Duration),
    /// The connection breaks.
    Break,
}

impl Inner {
    fn away(&mut self, now: Instant) -> bool {
        match self.health {
            Health::Away(Some(until)) if now >= until => {
                self.health = Health::Back(until);
                false
            }
            Health::Away(_) => true,
            _ => false,
        }
    }

    /// Counts a call against the limit; a fall of a cold one is found here.
    fn comes(&mut self, now: Instant, limit: &Limit) -> Verdict {
        self.calls.push(now);
        let since = match self.health {
            Health::Back(at) => Some(now.saturating_duration_since(at)),
            _ => None,
        };
        let part = limit.part(since);
        if part < 1.0 {
            let from = now.checked_sub(limit.over).unwrap_or(now);
            let recent = self.calls.iter().rev().take_while(|t| **t > from);
            // Calls of before its return met no process that could fall.
            let back = now - since.unwrap_or_default();
            if recent.filter(|t| **t >= back).count() as f64 > limit.fall_at(part) {
                self.falls += 1;
                self.health = Health::Away(Some(now + limit.away));
                return Verdict::Break;
            }
        }
        let second = now.checked_sub(Duration::from_secs(1)).unwrap_or(now);
        while self.taken.front().is_some_and(|t| *t <= second) {
            self.taken.pop_front();
        }
        if self.taken.len() as f64 >= (f64::from(limit.per_second) * part).max(1.0) {
            self.refused += 1;
            return Verdict::Wait(limit.wait);
        }
        self.taken.push_back(now);
        Verdict::Serve
    }
}

/// An endpoint.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Where it is reached.
    pub address: SocketAddr,
    inner: Arc<(Mutex<Inner>, Condvar)>,
    attempts: AttemptLog,
    limit: Option<Limit>,
}

/// A request's first line, the values of two headers and its body.
#[derive(Debug, Clone)]
pub struct Request {
    /// The request line, with its line end.
    pub line: String,
    /// The message id of `x-txn`, or empty.
    pub id: String,
    /// The body, of `content-length` bytes.
    pub body: Vec<u8>,
}

/// Reads one HTTP/1.1 request; None at the end of the connection or where it does not read.
pub fn request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (mut first, mut id, mut length) = (String::new(), String::new(), 0);
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
            Some((n, v)) if n.eq_ignore_ascii_case("content-length") => length = v.parse().ok()?,
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request { line: first, id, body })
}

impl Endpoint {
    /// Starts one on a port of the system's choice.
    ///
    /// # Errors
    ///
    /// Where no port can be had.
    pub fn start(manner: Manner) -> std::io::Result<Endpoint> {
        Endpoint::limited(manner, None)
    }

    /// The same, with a limit on the calls of all its callers together.
    ///
    /// # Errors
    ///
    /// Where no port can be had.
    pub fn limited(manner: Manner, limit: Option<Limit>) -> std::io::Result<Endpoint> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (address, attempts) = (listener.local_addr()?, AttemptLog::default());
        let endpoint = Endpoint { address, inner: Arc::default(), attempts, limit };
        let served = endpoint.clone();
        thread::spawn(move || {
            for tcp in listener.incoming().map_while(Result::ok) {
                let (e, manner) = (served.clone(), manner.clone());
                thread::spawn(move || e.serve(tcp, &manner));
            }
        });
        Ok(endpoint)
    }

    /// Serves requests until the connection ends.
    fn serve(&self, tcp: TcpStream, manner: &Manner) -> Option<()> {
        tcp.set_nodelay(true).ok()?;
        let mut out = tcp.try_clone().ok()?;
        let mut reader = BufReader::new(tcp);
        loop {
            wait_for(&out, PollFlags::IN | PollFlags::RDHUP, HELD_MOST)?;
            let fault = self.next_fault();
            match fault {
                Some((ConnectionFault::HalfCloseAsCallCrosses, read_later)) => {
                    half_close(&out);
                    thread::sleep(read_later);
                }
                Some((ConnectionFault::ResetAsCallCrosses, _)) => {
                    reset_on_close(&out);
                    return None;
                }
                Some((ConnectionFault::Forget, _)) => {
                    thread::sleep(HELD_MOST);
                    return None;
                }
                _ => {}
            }
            let r = request(&mut reader)?;
            let probe = r.line.starts_with("GET");
            let open = (!probe).then(|| self.attempts.begin(&r.id));
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

    /// The fault that the request which has just arrived meets, and how much later it is read then.
    fn next_fault(&self) -> Option<(ConnectionFault, Duration)> {
        let mut inner = self.inner.0.lock().ok()?;
        let nth = inner.arrived;
        inner.arrived += 1;
        let plan = inner.faults.as_ref()?;
        Some((plan.fault_of(nth)?, plan.read_later))
    }

    /// The head that a request is answered with; none where its connection ends without an answer.
    fn answer(
        &self,
        r: Request,
        open: Option<Open>,
        manner: &Manner,
        tcp: &TcpStream,
        fault: Option<ConnectionFault>,
    ) -> Option<String> {
        let verdict = {
            let mut i = self.inner.0.lock().ok()?;
            let now = Instant::now();
            match &self.limit {
                _ if i.away(now) => Verdict::Break,
                Some(limit) if open.is_some() => i.comes(now, limit),
                None if open.is_some() => {
                    i.calls.push(now);
                    Verdict::Serve
                }
                _ => Verdict::Serve,
            }
        };
        let ok = Some("200 OK".to_string());
        match (verdict, open) {
            (Verdict::Break, Some(open)) => {
                self.attempts.end(open, EndedBy::Endpoint);
                None
            }
            (Verdict::Break, None) => None,
            (Verdict::Wait(w), _) => {
                Some(format!("429 Too Many Requests\r\nRetry-After: {:.3}", w.as_secs_f64()))
            }
            (Verdict::Serve, None) => ok,
            (Verdict::Serve, Some(open)) => {
                let call = Call { log: &self.attempts, open, tcp, left: false };
                match self.call(r.id, manner, call, fault)? {
                    true => ok,
                    false => Some("503 Full".to_string()),
                }
            }
        }
    }

    /// Serves a call in its turn: false if there was no room for it, none if its connection ends without an answer.
    fn call(
        &self,
        id: String,
        manner: &Manner,
        mut call: Call,
        fault: Option<ConnectionFault>,
    ) -> Option<bool> {
        if fault == Some(ConnectionFault::HalfCloseAsCallCrosses) {
            // It has ended its sending: nothing comes of the call but its caller's end.
            call.pass(Duration::ZERO);
            wait_for_caller(call.tcp, HELD_MOST);
            self.attempts.end(call.open, EndedBy::Caller);
            return None;
        }
        if !self.wait_for_turn(manner, &mut call)? {
            return Some(false);
        }
        let began = Instant::now();
        let before = match fault {
            Some(_) => manner.service.mul_f64(FAULT_AFTER),
            None => Duration::ZERO,
        };
        call.pass(before);
        if fault == Some(ConnectionFault::ResetInCall) {
            self.leave_turn();
            self.attempts.end(call.open, EndedBy::Endpoint);
            reset_on_close(call.tcp);
            return None;
        }
        if fault == Some(ConnectionFault::HalfCloseInCall) {
            half_close(call.tcp);
        }
        call.pass(manner.service.saturating_sub(before));
        if let Ok(mut i) = self.inner.0.lock() {
            i.effects.push(Effect { id, began, at: Instant::now() });
        }
        self.leave_turn();
        if fault == Some(ConnectionFault::HalfCloseInCall) {
            wait_for_caller(call.tcp, HELD_MOST);
            self.attempts.end(call.open, EndedBy::Caller);
            return None;
        }
        Some(true)
    }

    /// Waits until a call is served: false if there is no room for it, none if its caller leaves before its turn.
    fn wait_for_turn(&self, manner: &Manner, call: &mut Call) -> Option<bool> {
        let (inner, free) = &*self.inner;
        let mut i = inner.lock().ok()?;
        if i.serving >= manner.at_once && i.queue.len() >= manner.queue {
            i.refused += 1;
            return Some(false);
        }
        let ticket = i.ticket;
        i.ticket += 1;
        i.queue.push_back(ticket);
        while i.serving >= manner.at_once || i.queue.front() != Some(&ticket) {
            i = free.wait_timeout(i, QUEUE_LOOK).ok()?.0;
            if wait_for_caller(call.tcp, Duration::ZERO).is_some() {
                self.attempts.end(call.open, EndedBy::Caller);
                i.queue.retain(|t| *t != ticket);
                free.notify_all();
                return None;
            }
        }
        i.queue.pop_front();
        i.serving += 1;
        drop(i);
        free.notify_all();
        Some(true)
    }

    fn leave_turn(&self) {
        let (inner, free) = &*self.inner;
        if let Ok(mut i) = inner.lock() {
            i.serving -= 1;
        }
        free.notify_all();
    }

    /// All attempts so far, as it saw them; probes are none.
    pub fn attempts(&self) -> Vec<Attempt> {
        self.attempts.all()
    }

    /// From now on its connections meet these faults, or none.
    pub fn set_faults(&self, plan: Option<FaultPlan>) {
        if let Ok(mut i) = self.inner.0.lock() {
            (i.faults, i.arrived) = (plan, 0);
        }
    }

    /// All effects so far.
    pub fn effects(&self) -> Vec<Effect> {
        self.inner.0.lock().map(|i| i.effects.clone()).unwrap_or_default()
    }

    /// It goes away: connections break and new ones are of no use, until [`Endpoint::come_back`].
    pub fn go_away(&self) {
        if let Ok(mut i) = self.inner.0.lock() {
            i.health = Health::Away(None);
        }
    }

    /// It comes back, cold.
    pub fn come_back(&self) {
        if let Ok(mut i) = self.inner.0.lock() {
            i.health = Health::Back(Instant::now());
        }
    }

    /// When each call came, in order, also those that were refused.
    pub fn calls(&self) -> Vec<Instant> {
        self.inner.0.lock().map(|i| i.calls.clone()).unwrap_or_default()
    }

    /// Times that it fell over while it was cold.
    pub fn falls(&self) -> usize {
        self.inner.0.lock().map(|i| i.falls).unwrap_or(0)
    }

    /// Calls that it had no room for.
    pub fn refused(&self) -> usize {
        self.inner.0.lock().map(|i| i.refused).unwrap_or(0)
    }
}

/// A place for notices.
#[derive(Debug, Clone)]
pub struct Notices {
    /// Where it is reached.
    pub address: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Notices {
    /// Starts one on a port of the system's choice.
    ///
    /// # Errors
    ///
    /// Where no port can be had.
    pub fn start() -> std::io::Result<Notices> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let notices = Notices { address: listener.local_addr()?, lines: Arc::default() };
        let lines = notices.lines.clone();
        thread::spawn(move || {
            for tcp in listener.incoming().map_while(Result::ok) {
                let lines = lines.clone();
                thread::spawn(move || {
                    let mut out = tcp.try_clone().ok()?;
                    let mut reader = BufReader::new(tcp);
                    while let Some(r) = request(&mut reader) {
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

    /// All lines so far, one JSON object each.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().map(|l| l.clone()).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a limit that counts nothing and a cold endpoint that takes any crowd: a rig that cannot see a
    /// stampede.
    #[test]
    fn a_cold_endpoint_serves_a_part_of_its_limit_and_falls_under_a_crowd() {
        let limit = Limit {
            per_second: 40,
            wait: Duration::from_millis(100),
            cold: Duration::from_secs(4),
            cold_from: 0.5,
            factor: 2.0,
            over: Duration::from_millis(500),
            away: Duration::from_secs(1),
        };
        let start = Instant::now();
        let at = |ms: u64| start + Duration::from_millis(ms);
        let mut warm = Inner::default();
        let served = (0..50).filter(|n| matches!(warm.comes(at(n * 10), &limit), Verdict::Serve)).count();
        assert_eq!((served, warm.refused, warm.falls), (40, 10, 0));
        let mut cold = Inner { health: Health::Back(start), ..Inner::default() };
        let served = (0..30).filter(|n| matches!(cold.comes(at(n * 10), &limit), Verdict::Serve)).count();
        assert!((20..23).contains(&served), "half of it and little more: {served}");
        // N = 40 x 0.5 x 2 x 0.5 s = 20: 20 + 3 x 4.5 + 3 is passed by the 37th and more within half a second.
        (30..45).for_each(|n| {
            cold.comes(at(n * 10), &limit);
        });
        assert_eq!(cold.falls, 1);
        assert!(cold.away(at(500)) && !cold.away(at(1_600)), "away for a second after the fall, then back");
    }
}
