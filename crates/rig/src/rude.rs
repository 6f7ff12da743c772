//! Misbehaving clients, over RESP2 and MQTT: they send nothing, half a command or invalid bytes, write slowly, stop half way
//! through a large command, read no answers, use ever new names, or send much and disconnect. The dispatcher has to close
//! those that stay connected without a sound request within three seconds. Also holds idle clients connected.

use crate::raw;
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

/// Number of packets or commands that a greedy client sends at once.
const GREEDY_COMMANDS: usize = 40;
/// Bytes of a large command.
const LARGE: usize = 60_000;
/// Time for which a greedy or slow client goes on.
const GREEDY_TIME: Duration = Duration::from_millis(1_500);
/// Time between two pieces that a slow client writes, and their size in bytes.
const SLOW_GAP: Duration = Duration::from_millis(20);
const SLOW_PIECE: usize = 200;

/// How a client misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Misbehavior {
    /// Sends nothing.
    Silent,
    /// Sends half a command and stops.
    HalfCommand,
    /// Sends what is no command.
    Nonsense,
    /// Sends many commands and disconnects.
    Burst,
    /// Stops half way through a large command.
    Halting,
    /// Writes a large command in small pieces, and leaves before its end.
    Slow,
    /// Sends large commands and reads no answer.
    Greedy,
    /// Resets its connection right behind many commands.
    Leaving,
    /// Connects to the MQTT front end and sends nothing.
    MqttSilent,
    /// Sends half a CONNECT and stops.
    MqttHalf,
    /// Sends MQTT packets at full speed and reads no answer.
    MqttGreedy,
    /// Subscribes to long filters under a new client id, and leaves.
    MqttNewName,
    /// Publishes many messages and leaves without DISCONNECT.
    MqttLeaving,
}

const MISBEHAVIORS: [Misbehavior; 13] = [
    Misbehavior::Silent,
    Misbehavior::HalfCommand,
    Misbehavior::Nonsense,
    Misbehavior::Burst,
    Misbehavior::Halting,
    Misbehavior::Slow,
    Misbehavior::Greedy,
    Misbehavior::Leaving,
    Misbehavior::MqttSilent,
    Misbehavior::MqttHalf,
    Misbehavior::MqttGreedy,
    Misbehavior::MqttNewName,
    Misbehavior::MqttLeaving,
];

impl Misbehavior {
    /// Whether it needs the MQTT front end.
    fn uses_mqtt(self) -> bool {
        use Misbehavior::{MqttGreedy, MqttHalf, MqttLeaving, MqttNewName, MqttSilent};
        matches!(self, MqttSilent | MqttHalf | MqttGreedy | MqttNewName | MqttLeaving)
    }

    /// Whether the client ends the connection itself.
    fn leaves(self) -> bool {
        use Misbehavior::{Burst, Greedy, Leaving, MqttGreedy, MqttLeaving, MqttNewName, Slow};
        matches!(self, Burst | Slow | Greedy | Leaving | MqttGreedy | MqttNewName | MqttLeaving)
    }
}

/// The addresses on which a dispatcher accepts clients now.
#[derive(Debug, Clone, Default)]
pub(crate) struct Doors {
    /// For RESP2 clients.
    pub(crate) resp: Address,
    /// For MQTT clients.
    pub(crate) mqtt: Address,
}

impl Doors {
    fn address_for(&self, misbehavior: Misbehavior) -> Option<SocketAddr> {
        let address = if misbehavior.uses_mqtt() { &self.mqtt } else { &self.resp };
        *address.lock().unwrap_or_else(|e| e.into_inner())
    }
}

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
pub(crate) fn run_visits(seed: u64, dispatchers: &[Doors], start: Instant, end: Instant) -> Vec<Visit> {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x5EED);
    let visits = Mutex::new(Vec::new());
    thread::scope(|scope| {
        while Instant::now() < end {
            let dispatcher = rng.random_range(0..dispatchers.len());
            let misbehavior = MISBEHAVIORS[rng.random_range(0..MISBEHAVIORS.len())];
            let address = dispatchers[dispatcher].address_for(misbehavior);
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
    raw::submit(id, "c=safe,t=acme,d=2000,dest=1", b"x")
}

/// What a client sends at first.
fn first_bytes(misbehavior: Misbehavior, number: u64) -> Vec<u8> {
    let name = format!("rude-{number}");
    let commands = |count: usize| (0..count).flat_map(|n| command(&format!("{name}-{n}"))).collect();
    let large = || raw::submit(&name, "c=safe,t=acme,d=2000,dest=1", &[b'x'; LARGE]);
    let connect = raw::mqtt_connect(&name, false);
    let with_connect = |rest: Vec<u8>| connect.iter().copied().chain(rest).collect();
    match misbehavior {
        Misbehavior::Silent | Misbehavior::MqttSilent => Vec::new(),
        Misbehavior::HalfCommand => command("rude")[..20].to_vec(),
        Misbehavior::Nonsense => b"GET / HTTP/1.1\r\nHost: nobody\r\n\r\n".to_vec(),
        Misbehavior::Burst | Misbehavior::Leaving => commands(BURST),
        Misbehavior::Halting => large()[..LARGE / 2].to_vec(),
        Misbehavior::Slow => large(),
        Misbehavior::Greedy => raw::command(&[b"PING", &[b'x'; LARGE]]).repeat(GREEDY_COMMANDS),
        Misbehavior::MqttHalf => connect[..connect.len() / 2].to_vec(),
        Misbehavior::MqttGreedy => with_connect(raw::MQTT_PING.repeat(LARGE)),
        Misbehavior::MqttNewName => with_connect(
            (1..=32).flat_map(|n| raw::mqtt_subscribe(n, &format!("{}{n}", "f".repeat(8_000)))).collect(),
        ),
        Misbehavior::MqttLeaving => with_connect(
            (1..=BURST as u16)
                .flat_map(|n| raw::mqtt_submit(Some(n), &format!("{name}-m{n}"), "safe", 1, b"x"))
                .collect(),
        ),
    }
}

/// Writes at full speed, or slowly in small pieces, until everything is written or the time is over.
fn write_for_a_while(tcp: &mut TcpStream, bytes: &[u8], piece: usize, gap: Duration) {
    let started = Instant::now();
    let _ = tcp.set_write_timeout(Some(Duration::from_millis(100)));
    let mut written = 0;
    while written < bytes.len() && started.elapsed() < GREEDY_TIME {
        match tcp.write(&bytes[written..(written + piece).min(bytes.len())]) {
            Ok(n) => written += n,
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => return,
        }
        thread::sleep(gap);
    }
}

/// Connects and misbehaves. `None` if it could not connect, otherwise whether the connection ended before it gave up.
fn misbehave(address: SocketAddr, misbehavior: Misbehavior, number: u64) -> Option<bool> {
    let mut tcp = TcpStream::connect_timeout(&address, Duration::from_millis(300)).ok()?;
    tcp.set_read_timeout(Some(Duration::from_millis(100))).ok()?;
    let started = Instant::now();
    let bytes = first_bytes(misbehavior, number);
    match misbehavior {
        Misbehavior::Slow => write_for_a_while(&mut tcp, &bytes, SLOW_PIECE, SLOW_GAP),
        Misbehavior::Greedy | Misbehavior::MqttGreedy | Misbehavior::MqttNewName => {
            write_for_a_while(&mut tcp, &bytes, bytes.len(), Duration::ZERO);
        }
        _ => drop(tcp.write_all(&bytes)),
    }
    if misbehavior == Misbehavior::Leaving {
        let _ = rustix::net::sockopt::set_socket_linger(&tcp, Some(Duration::ZERO));
    }
    if misbehavior.leaves() {
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
