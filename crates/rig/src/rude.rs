//! Clients that misbehave: they say nothing, stop in the middle of a command, talk nonsense, or send much at once and go.
//! Those that stay are owed an error or an end within three seconds.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A client that stays is closed within this: 3 s by the operators' pages, and what a busy machine adds.
const OWED: Duration = Duration::from_millis(3_700);
/// It is given up on after this.
const GIVEN_UP: Duration = Duration::from_millis(6_000);
/// The time between two visits.
const GAP: Duration = Duration::from_millis(120);
/// Commands that are sent at once.
const BURST: usize = 40;

/// Where a dispatcher takes clients now.
type Address = Arc<Mutex<Option<SocketAddr>>>;

/// How a client misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Manner {
    Silent,
    HalfCommand,
    Nonsense,
    Burst,
}

const MANNERS: [Manner; 4] = [Manner::Silent, Manner::HalfCommand, Manner::Nonsense, Manner::Burst];

/// One visit, in milliseconds from the start of the load.
#[derive(Debug, Clone)]
pub(crate) struct Visit {
    dispatcher: usize,
    manner: Manner,
    from: u64,
    /// When its connection ended; none: it was still open when the client gave up.
    until: Option<u64>,
}

/// Visits one dispatcher after another until the end.
pub(crate) fn visit(seed: u64, dispatchers: &[Address], start: Instant, end: Instant) -> Vec<Visit> {
    let mut random = StdRng::seed_from_u64(seed ^ 0x5EED);
    let visits = Mutex::new(Vec::new());
    thread::scope(|scope| {
        while Instant::now() < end {
            let dispatcher = random.random_range(0..dispatchers.len());
            let manner = MANNERS[random.random_range(0..MANNERS.len())];
            let at = *dispatchers[dispatcher].lock().unwrap_or_else(|e| e.into_inner());
            let visits = &visits;
            scope.spawn(move || {
                let from = start.elapsed().as_millis() as u64;
                if let Some(ended) = at.and_then(|at| misbehave(at, manner, from)) {
                    let until = ended.then(|| start.elapsed().as_millis() as u64);
                    let visit = Visit { dispatcher, manner, from, until };
                    visits.lock().unwrap_or_else(|e| e.into_inner()).push(visit);
                }
            });
            thread::sleep(GAP);
        }
    });
    visits.into_inner().unwrap_or_else(|e| e.into_inner())
}

/// Between two looks of the crowd at its connections.
const CROWD_LOOK: Duration = Duration::from_millis(250);

/// So many idle clients stay at each dispatcher until the end; one whose connection has ended comes again.
pub(crate) fn crowd(dispatchers: &[Address], each: usize, end: Instant) {
    let mut clients: Vec<(usize, Option<TcpStream>)> =
        (0..dispatchers.len() * each).map(|n| (n % dispatchers.len(), None)).collect();
    while Instant::now() < end {
        for (dispatcher, client) in &mut clients {
            if client.as_ref().is_some_and(is_open) {
                continue;
            }
            let at = *dispatchers[*dispatcher].lock().unwrap_or_else(|e| e.into_inner());
            *client = at.and_then(|at| TcpStream::connect_timeout(&at, CROWD_LOOK).ok());
            client.iter().for_each(|c| drop(c.set_nonblocking(true)));
        }
        thread::sleep(CROWD_LOOK);
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

/// None: it did not get in. Else: did the connection end while it waited?
fn misbehave(at: SocketAddr, manner: Manner, number: u64) -> Option<bool> {
    let mut tcp = TcpStream::connect_timeout(&at, Duration::from_millis(300)).ok()?;
    tcp.set_read_timeout(Some(Duration::from_millis(100))).ok()?;
    let begun = Instant::now();
    let bytes = match manner {
        Manner::Silent => Vec::new(),
        Manner::HalfCommand => command("rude")[..20].to_vec(),
        Manner::Nonsense => b"GET / HTTP/1.1\r\nHost: nobody\r\n\r\n".to_vec(),
        Manner::Burst => (0..BURST).flat_map(|n| command(&format!("rude-{number}-{n}"))).collect(),
    };
    let _ = tcp.write_all(&bytes);
    if manner == Manner::Burst {
        return Some(true);
    }
    let mut buffer = [0; 256];
    while begun.elapsed() < GIVEN_UP {
        match tcp.read(&mut buffer) {
            Ok(0) => return Some(true),
            Ok(_) => {}
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => return Some(true),
        }
    }
    Some(false)
}

/// Those whose connection stayed open beyond its time, but where the dispatcher took no connections meanwhile.
pub(crate) fn hanging(visits: &[Visit], refuses: impl Fn(usize, u64, u64) -> bool) -> Vec<String> {
    let most = OWED.as_millis() as u64;
    let open = |v: &&Visit| v.until.is_none_or(|until| until - v.from > most);
    let owed = |v: &&Visit| !refuses(v.dispatcher, v.from, v.from + most);
    let told = |v: &Visit| {
        format!("{:?} at n{} from {} ms, open until {:?}", v.manner, v.dispatcher, v.from, v.until)
    };
    visits.iter().filter(open).filter(owed).map(told).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::TcpListener;

    fn server(closes: bool) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        thread::spawn(move || {
            let mut kept = Vec::new();
            for client in listener.incoming().map_while(Result::ok) {
                if !closes {
                    kept.push(client);
                }
            }
        });
        at
    }

    /// Guards against a judge that finds nobody hanging.
    #[test]
    fn a_server_that_keeps_a_silent_client_is_found_and_one_that_closes_is_not() {
        let visits = |closes: bool| {
            let at = Arc::new(Mutex::new(Some(server(closes))));
            let start = Instant::now();
            visit(3, &[at], start, start + Duration::from_millis(500))
        };
        let (closed, kept) = thread::scope(|scope| {
            let kept = scope.spawn(|| visits(false));
            (visits(true), kept.join().unwrap())
        });
        assert!(closed.len() >= 3 && hanging(&closed, |_, _, _| false).is_empty(), "{closed:?}");
        assert!(!hanging(&kept, |_, _, _| false).is_empty(), "{kept:?}");
        assert!(hanging(&kept, |_, _, _| true).is_empty(), "it took no connections");
    }
}
