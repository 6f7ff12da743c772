//! A stand-in member: an endpoint over HTTP that records every call and every effect, and a place for notices.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::Errno;
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
    /// Its caller had closed the connection by then: the attempt was over for it, whatever the endpoint still did.
    pub left: Option<Instant>,
    /// When its connection was seen to end after it, if nothing else came on it: on a busy machine an end from before may be
    /// seen so late.
    pub ended: Option<Instant>,
}

/// Takes so long; returns when the other side of the connection closed it meanwhile, if it did. Waits for that end itself, so
/// that it is known as it comes, also on a busy machine.
fn serve_for(service: Duration, tcp: &TcpStream) -> Option<Instant> {
    let began = Instant::now();
    let rest = || service.saturating_sub(began.elapsed());
    let mut left = None;
    while left.is_none() && !rest().is_zero() {
        let mut ends = [PollFd::new(tcp, PollFlags::RDHUP)];
        let Ok(timeout) = Timespec::try_from(rest()) else { break };
        match poll(&mut ends, Some(&timeout)) {
            Ok(0) | Err(Errno::INTR) => {}
            Ok(_) => left = Some(Instant::now()),
            Err(_) => break,
        }
    }
    thread::sleep(rest());
    left
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
        let endpoint = Endpoint { address: listener.local_addr()?, inner: Arc::default(), limit };
        let served = endpoint.clone();
        thread::spawn(move || {
            for tcp in listener.incoming().map_while(Result::ok) {
                let (e, manner) = (served.clone(), manner.clone());
                thread::spawn(move || e.serve(tcp, &manner));
            }
        });
        Ok(endpoint)
    }

    fn serve(&self, tcp: TcpStream, manner: &Manner) -> Option<()> {
        tcp.set_nodelay(true).ok()?;
        let mut last = None;
        let ended = self.serve_all(tcp, manner, &mut last);
        if let (Some(n), Ok(mut i)) = (last, self.inner.0.lock()) {
            i.effects.get_mut(n).into_iter().for_each(|e: &mut Effect| e.ended = Some(Instant::now()));
        }
        ended
    }

    /// Serves requests until the connection ends; `last` is the place of the last one's effect.
    fn serve_all(&self, tcp: TcpStream, manner: &Manner, last: &mut Option<usize>) -> Option<()> {
        let mut out = tcp.try_clone().ok()?;
        let mut reader = BufReader::new(tcp);
        while let Some(r) = request(&mut reader) {
            *last = None;
            let probe = r.line.starts_with("GET");
            let verdict = {
                let mut i = self.inner.0.lock().ok()?;
                let now = Instant::now();
                match &self.limit {
                    _ if i.away(now) => Verdict::Break,
                    Some(limit) if !probe => i.comes(now, limit),
                    None if !probe => {
                        i.calls.push(now);
                        Verdict::Serve
                    }
                    _ => Verdict::Serve,
                }
            };
            let told;
            let head = match verdict {
                Verdict::Break => return None,
                Verdict::Wait(w) => {
                    told = format!("429 Too Many Requests\r\nRetry-After: {:.3}", w.as_secs_f64());
                    told.as_str()
                }
                Verdict::Serve if probe || self.call(r.id, manner, &out, last) => "200 OK",
                Verdict::Serve => "503 Full",
            };
            out.write_all(format!("HTTP/1.1 {head}\r\nContent-Length: 0\r\n\r\n").as_bytes()).ok()?;
        }
        None
    }

    /// Serves a call in its turn; false if there was no room for it.
    fn call(&self, id: String, manner: &Manner, tcp: &TcpStream, last: &mut Option<usize>) -> bool {
        let (inner, free) = &*self.inner;
        let Ok(mut i) = inner.lock() else { return false };
        if i.serving >= manner.at_once && i.queue.len() >= manner.queue {
            i.refused += 1;
            return false;
        }
        let ticket = i.ticket;
        i.ticket += 1;
        i.queue.push_back(ticket);
        while i.serving >= manner.at_once || i.queue.front() != Some(&ticket) {
            match free.wait(i) {
                Ok(again) => i = again,
                Err(_) => return false,
            }
        }
        i.queue.pop_front();
        i.serving += 1;
        drop(i);
        free.notify_all();
        let began = Instant::now();
        let left = serve_for(manner.service, tcp);
        if let Ok(mut i) = inner.lock() {
            i.serving -= 1;
            *last = Some(i.effects.len());
            i.effects.push(Effect { id, began, at: Instant::now(), left, ended: None });
        }
        free.notify_all();
        true
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
