//! A stand-in member: an endpoint over HTTP that records every call and every effect, and a place for notices.

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

#[derive(Debug, Default)]
struct Inner {
    serving: usize,
    queue: VecDeque<u64>,
    ticket: u64,
    effects: Vec<Effect>,
    refused: usize,
}

/// An endpoint.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Where it is reached.
    pub address: SocketAddr,
    inner: Arc<(Mutex<Inner>, Condvar)>,
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
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let endpoint = Endpoint { address: listener.local_addr()?, inner: Arc::default() };
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
        let mut out = tcp.try_clone().ok()?;
        let mut reader = BufReader::new(tcp);
        while let Some(r) = request(&mut reader) {
            let good = r.line.starts_with("GET") || self.call(r.id, manner);
            let head = if good { "200 OK" } else { "503 Full" };
            out.write_all(format!("HTTP/1.1 {head}\r\nContent-Length: 0\r\n\r\n").as_bytes()).ok()?;
        }
        None
    }

    /// Serves a call in its turn; false if there was no room for it.
    fn call(&self, id: String, manner: &Manner) -> bool {
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
        thread::sleep(manner.service);
        if let Ok(mut i) = inner.lock() {
            i.serving -= 1;
            i.effects.push(Effect { id, began, at: Instant::now() });
        }
        free.notify_all();
        true
    }

    /// All effects so far.
    pub fn effects(&self) -> Vec<Effect> {
        self.inner.0.lock().map(|i| i.effects.clone()).unwrap_or_default()
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
