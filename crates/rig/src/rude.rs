//! Misbehaving clients: they send nothing, half a command or invalid bytes, or send a burst of commands and disconnect. The
//! dispatcher has to close those that stay connected within three seconds. Also holds idle clients connected.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time within which the dispatcher has to close the connection: 3 s by the operators' documentation, and an allowance for a
/// busy machine.
const MAX_OPEN: Duration = Duration::from_millis(3_700);
/// Time after which a client stops waiting for the dispatcher to close the connection.
const GIVE_UP_AFTER: Duration = Duration::from_millis(6_000);
/// Time between the starts of two visits.
const VISIT_GAP: Duration = Duration::from_millis(120);
/// Number of commands in a burst.
const BURST: usize = 40;

/// The address on which a dispatcher accepts clients now.
type Address = Arc<Mutex<Option<SocketAddr>>>;

/// How a client misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Misbehavior {
    Silent,
    HalfCommand,
    Nonsense,
    Burst,
}

const MISBEHAVIORS: [Misbehavior; 4] =
    [Misbehavior::Silent, Misbehavior::HalfCommand, Misbehavior::Nonsense, Misbehavior::Burst];

/// One connection of a misbehaving client; times are in milliseconds from the start of the load.
#[derive(Debug, Clone)]
pub(crate) struct Visit {
    dispatcher: usize,
    misbehavior: Misbehavior,
    from: u64,
    /// When the connection ended; `None` if it was still open when the client gave up.
    until: Option<u64>,
}

/// Connects misbehaving clients to random dispatchers until `end`.
pub(crate) fn run_visits(seed: u64, dispatchers: &[Address], start: Instant, end: Instant) -> Vec<Visit> {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x5EED);
    let visits = Mutex::new(Vec::new());
    thread::scope(|scope| {
        while Instant::now() < end {
            let dispatcher = rng.random_range(0..dispatchers.len());
            let misbehavior = MISBEHAVIORS[rng.random_range(0..MISBEHAVIORS.len())];
            let address = *dispatchers[dispatcher].lock().unwrap_or_else(|e| e.into_inner());
            let visits = &visits;
            scope.spawn(move || {
                let from = start.elapsed().as_millis() as u64;
                if let Some(ended) = address.and_then(|address| misbehave(address, misbehavior, from)) {
                    let until = ended.then(|| start.elapsed().as_millis() as u64);
                    let visit = Visit { dispatcher, misbehavior, from, until };
                    visits.lock().unwrap_or_else(|e| e.into_inner()).push(visit);
                }
            });
            thread::sleep(VISIT_GAP);
        }
    });
    visits.into_inner().unwrap_or_else(|e| e.into_inner())
}

/// Time between two checks of the idle clients' connections.
const IDLE_POLL: Duration = Duration::from_millis(250);

/// Holds this many idle clients connected to each dispatcher until `end`; one whose connection has ended connects again.
pub(crate) fn hold_idle_clients(dispatchers: &[Address], clients_each: usize, end: Instant) {
    let mut clients: Vec<(usize, Option<TcpStream>)> =
        (0..dispatchers.len() * clients_each).map(|n| (n % dispatchers.len(), None)).collect();
    while Instant::now() < end {
        for (dispatcher, client) in &mut clients {
            if client.as_ref().is_some_and(is_open) {
                continue;
            }
            let address = *dispatchers[*dispatcher].lock().unwrap_or_else(|e| e.into_inner());
            *client = address.and_then(|address| TcpStream::connect_timeout(&address, IDLE_POLL).ok());
            client.iter().for_each(|c| drop(c.set_nonblocking(true)));
        }
        thread::sleep(IDLE_POLL);
    }
}

fn is_open(client: &TcpStream) -> bool {
    matches!(client.peek(&mut [0]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
}

fn command(id: &str) -> Vec<u8> {
    let parts = ["SUBMIT", "0", id, "c=safe,t=acme,d=2000,dest=1", "x"];
    let parts: String = parts.iter().map(|p| format!("${}\r\n{p}\r\n", p.len())).collect();
    format!("*5\r\n{parts}").into_bytes()
}

/// Connects and misbehaves. `None` if it could not connect, otherwise whether the connection ended before it gave up.
fn misbehave(address: SocketAddr, misbehavior: Misbehavior, number: u64) -> Option<bool> {
    let mut tcp = TcpStream::connect_timeout(&address, Duration::from_millis(300)).ok()?;
    tcp.set_read_timeout(Some(Duration::from_millis(100))).ok()?;
    let started = Instant::now();
    let bytes = match misbehavior {
        Misbehavior::Silent => Vec::new(),
        Misbehavior::HalfCommand => command("rude")[..20].to_vec(),
        Misbehavior::Nonsense => b"GET / HTTP/1.1\r\nHost: nobody\r\n\r\n".to_vec(),
        Misbehavior::Burst => (0..BURST).flat_map(|n| command(&format!("rude-{number}-{n}"))).collect(),
    };
    let _ = tcp.write_all(&bytes);
    if misbehavior == Misbehavior::Burst {
        return Some(true);
    }
    let mut buffer = [0; 256];
    while started.elapsed() < GIVE_UP_AFTER {
        match tcp.read(&mut buffer) {
            Ok(0) => return Some(true),
            Ok(_) => {}
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => return Some(true),
        }
    }
    Some(false)
}

/// Describes the visits whose connection stayed open too long, except those at dispatchers that could not accept connections
/// meanwhile.
pub(crate) fn hanging(visits: &[Visit], cannot_accept: impl Fn(usize, u64, u64) -> bool) -> Vec<String> {
    let max_open = MAX_OPEN.as_millis() as u64;
    let too_long = |v: &&Visit| v.until.is_none_or(|until| until - v.from > max_open);
    let could_accept = |v: &&Visit| !cannot_accept(v.dispatcher, v.from, v.from + max_open);
    let describe = |v: &Visit| {
        format!("{:?} at n{} from {} ms, open until {:?}", v.misbehavior, v.dispatcher, v.from, v.until)
    };
    visits.iter().filter(too_long).filter(could_accept).map(describe).collect()
}

#[cfg(test)]
mod tests;
