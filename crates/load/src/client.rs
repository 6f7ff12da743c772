//! Clients that speak RESP2 and hand in what is due, whether the last answer has come or not.

use crate::arrivals::{Intended, Stream};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How a message fared at the door.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Door {
    /// Taken on.
    Taken,
    /// Refused as often as it was handed in.
    Refused,
    /// Failed, or no answer came.
    Failed,
}

/// What became of one message, as its client saw it.
#[derive(Debug, Clone, Copy)]
pub struct Handed {
    /// Which.
    pub what: Intended,
    /// How late the driver was with it.
    pub lag: Duration,
    /// How it fared.
    pub door: Door,
    /// Refusals that it met.
    pub refusals: u32,
}

/// How clients behave.
#[derive(Debug, Clone)]
pub struct Habits {
    /// Connections at most: messages that are due while all are busy are late by the driver's fault.
    pub connections: usize,
    /// How often a refused message is handed in again.
    pub again: u32,
    /// A client waits so long where no wait is told.
    pub wait: Duration,
    /// An answer that has not come by then will not.
    pub patience: Duration,
    /// Where each message is written down as soon as it has fared somehow, for who must know before the end.
    pub seen: Option<Arc<Mutex<Vec<Handed>>>>,
}

impl Default for Habits {
    fn default() -> Habits {
        let (wait, patience) = (Duration::from_millis(200), Duration::from_millis(400));
        Habits { connections: 64, again: 2, wait, patience, seen: None }
    }
}

/// Where a message is handed in: by its stream and number.
pub type Route = Arc<dyn Fn(&Stream, usize) -> SocketAddr + Send + Sync>;

fn command(words: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for w in words {
        bytes.extend(format!("${}\r\n", w.len()).bytes());
        bytes.extend_from_slice(w);
        bytes.extend(b"\r\n");
    }
    bytes
}

/// Hands in once over a kept connection, or a new one where that has ended.
pub(crate) fn submit(
    kept: &mut Option<(SocketAddr, BufReader<TcpStream>)>,
    to: SocketAddr,
    words: &[&[u8]],
    patience: Duration,
) -> Option<String> {
    for _ in 0..2 {
        if kept.as_ref().is_none_or(|k| k.0 != to) {
            let tcp = TcpStream::connect_timeout(&to, patience).ok()?;
            tcp.set_nodelay(true).ok()?;
            tcp.set_read_timeout(Some(patience)).ok()?;
            *kept = Some((to, BufReader::new(tcp)));
        }
        let (_, reader) = kept.as_mut()?;
        let mut line = String::new();
        let written = reader.get_mut().write_all(&command(words)).is_ok();
        match reader.read_line(&mut line) {
            Ok(n) if written && n > 0 => return Some(line.trim_end().to_string()),
            // It ended between two requests: once more on a new one. A silent one is not asked again.
            Ok(_) => *kept = None,
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => *kept = None,
            Err(_) => {
                *kept = None;
                return None;
            }
        }
    }
    None
}

/// Hands all messages in at their times, from `start` on; returns when all have fared somehow.
pub fn drive(
    start: Instant,
    streams: &[Stream],
    messages: &[Intended],
    route: Route,
    habits: &Habits,
) -> Vec<Handed> {
    let (next, all) = (AtomicUsize::new(0), Mutex::new(Vec::with_capacity(messages.len())));
    thread::scope(|scope| {
        for _ in 0..habits.connections {
            scope.spawn(|| {
                let mut kept = None;
                loop {
                    let Some(what) = messages.get(next.fetch_add(1, Ordering::Relaxed)) else { return };
                    thread::sleep((start + what.at).saturating_duration_since(Instant::now()));
                    let handed = hand(start, &streams[what.stream], *what, &route, habits, &mut kept);
                    if let Some(Ok(mut seen)) = habits.seen.as_ref().map(|s| s.lock()) {
                        seen.push(handed);
                    }
                    if let Ok(mut all) = all.lock() {
                        all.push(handed);
                    }
                }
            });
        }
    });
    all.into_inner().unwrap_or_default()
}

/// Hands messages that were taken in once more, marked so, each under its next id, as clients of a dispatcher that died
/// with its folder do; what each is answered.
pub fn hand_in_again(
    streams: &[Stream],
    messages: &[Handed],
    to: SocketAddr,
    habits: &Habits,
) -> Vec<(String, String)> {
    let mut kept = None;
    let one = |h: &Handed| {
        let s = &streams[h.what.stream];
        let id = h.what.id(h.refusals + 1);
        let left = s.deadline.as_millis();
        let options =
            format!("c={},t={},d={left},dest={},k={:016x},again=1", s.class, s.tenant, s.dest, h.what.number);
        let words: [&[u8]; 5] = [b"SUBMIT", b"0000000000000000", id.as_bytes(), options.as_bytes(), b"claim"];
        let answer = submit(&mut kept, to, &words, habits.patience).unwrap_or_default();
        (id, answer)
    };
    messages.iter().map(one).collect()
}

fn hand(
    start: Instant,
    s: &Stream,
    what: Intended,
    route: &Route,
    habits: &Habits,
    kept: &mut Option<(SocketAddr, BufReader<TcpStream>)>,
) -> Handed {
    let due = start + what.at;
    let lag = due.elapsed();
    let (mut door, mut refusals) = (Door::Failed, 0);
    for attempt in 0..=habits.again {
        let left = s.deadline.saturating_sub(due.elapsed()).as_millis();
        if left == 0 {
            break;
        }
        let id = what.id(attempt);
        let options = format!("c={},t={},d={left},dest={},k={:016x}", s.class, s.tenant, s.dest, what.number);
        let words: [&[u8]; 5] = [b"SUBMIT", b"0000000000000000", id.as_bytes(), options.as_bytes(), b"claim"];
        let answer = submit(kept, route(s, what.number), &words, habits.patience).unwrap_or_default();
        let Some(wait) = answer.strip_prefix("-BUSY") else {
            door = if answer.starts_with('+') { Door::Taken } else { Door::Failed };
            break;
        };
        (door, refusals) = (Door::Refused, refusals + 1);
        if attempt < habits.again {
            let told = wait.trim().parse().map(Duration::from_millis).unwrap_or(habits.wait);
            thread::sleep(told);
        }
    }
    Handed { what, lag, door, refusals }
}
