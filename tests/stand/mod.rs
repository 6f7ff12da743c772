//! Stand-ins for the outside of a dispatcher: workers, the platform's registry, clients. The program itself is real.
#![allow(dead_code)]

pub mod faults;
pub mod in_process;

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const PATIENCE: Duration = Duration::from_secs(15);

/// Waits until it holds; fails the test after a time that no machine needs.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "never came true: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

#[derive(Debug, Clone)]
pub struct Request {
    pub line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    pub at: Instant,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |v| v)
    }
}

/// What a stand-in server does with a request.
pub enum Reply {
    /// An answer with this status line and these headers.
    Answer(&'static str),
    /// The same after a time.
    After(Duration, &'static str),
    /// Exactly these bytes; the connection stays open.
    Raw(Vec<u8>),
    /// The connection breaks.
    Break,
    /// Nothing, until the other side goes.
    Silence,
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim_end() {
            "" => break,
            text => lines.push(text.to_string()),
        }
    }
    let pair = |l: &String| l.split_once(": ").map(|(n, v)| (n.to_lowercase(), v.to_string()));
    let headers: HashMap<_, _> = lines.iter().skip(1).filter_map(pair).collect();
    let mut body = vec![0; headers.get("content-length").map_or(0, |l| l.parse().unwrap())];
    reader.read_exact(&mut body).ok()?;
    Some(Request { line: lines[0].clone(), headers, body, at: Instant::now() })
}

/// Counts a connection while it is open.
struct Open(Arc<Mutex<(usize, usize)>>);

impl Open {
    fn new(count: &Arc<Mutex<(usize, usize)>>) -> Open {
        let mut c = count.lock().unwrap();
        *c = (c.0 + 1, c.1.max(c.0 + 1));
        Open(count.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.lock().unwrap().0 -= 1;
    }
}

/// A worker over HTTP that keeps what it was sent.
#[derive(Clone)]
pub struct Worker {
    pub address: SocketAddr,
    pub calls: Arc<Mutex<Vec<Request>>>,
    /// When probes came.
    pub probes: Arc<Mutex<Vec<Instant>>>,
    /// Connections that are open, and the most there were at once.
    pub open: Arc<Mutex<(usize, usize)>>,
    /// Connections that it took.
    pub connections: Arc<Mutex<usize>>,
}

impl Worker {
    pub fn start(answer: impl Fn(&Request, usize) -> Reply + Send + Sync + 'static) -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let worker = Worker {
            address,
            calls: Arc::default(),
            probes: Arc::default(),
            open: Arc::default(),
            connections: Arc::default(),
        };
        let (connections, probes) = (worker.connections.clone(), worker.probes.clone());
        let (calls, answer) = (worker.calls.clone(), Arc::new(answer));
        let worker_open = worker.open.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                *connections.lock().unwrap() += 1;
                let (calls, probes, answer) = (calls.clone(), probes.clone(), answer.clone());
                let open = Open::new(&worker_open);
                thread::spawn(move || {
                    let _open = open;
                    let mut out = stream.try_clone().unwrap();
                    let mut reader = BufReader::new(stream);
                    while let Some(request) = read_request(&mut reader) {
                        let probe = request.line.starts_with("GET");
                        let mut calls = calls.lock().unwrap();
                        let nth = calls.len();
                        let reply = if probe { Reply::Answer("200 OK") } else { answer(&request, nth) };
                        match probe {
                            true => probes.lock().unwrap().push(request.at),
                            false => calls.push(request),
                        }
                        drop(calls);
                        if let Reply::After(time, _) = reply {
                            thread::sleep(time);
                        }
                        match reply {
                            Reply::Answer(head) | Reply::After(_, head) => {
                                let text = format!("HTTP/1.1 {head}\r\nContent-Length: 2\r\n\r\nok");
                                let _ = out.write_all(text.as_bytes());
                            }
                            Reply::Raw(bytes) => {
                                let _ = out.write_all(&bytes);
                            }
                            Reply::Break => {
                                let _ = out.shutdown(Shutdown::Both);
                                return;
                            }
                            Reply::Silence => {
                                let _ = reader.read(&mut [0]);
                                return;
                            }
                        }
                    }
                });
            }
        });
        worker
    }

    pub fn count(&self) -> usize {
        self.calls.lock().unwrap().len()
    }

    /// Calls with that id.
    pub fn of(&self, id: &str) -> usize {
        self.calls.lock().unwrap().iter().filter(|c| c.header("x-txn") == id).count()
    }
}

/// A request that came to a [`Puppet`]: nothing is answered until the test does it.
pub struct Arrival {
    pub request: Request,
    pub stream: TcpStream,
    /// Which connection it came on, from 0.
    pub connection: usize,
    /// When that connection was taken.
    pub taken: Instant,
}

impl Arrival {
    pub fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Begins a watch that stays open.
    pub fn begin_watch(&mut self) {
        self.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    pub fn chunk(&mut self, text: &str) {
        self.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
    }
}

/// An HTTP server that does nothing by itself: it reads requests, and the test answers each when it wants to.
pub struct Puppet {
    pub address: SocketAddr,
    arrivals: Receiver<Arrival>,
}

impl Puppet {
    pub fn start() -> Puppet {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (tell, arrivals) = channel();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().map_while(Result::ok).enumerate() {
                let (tell, taken) = (tell.clone(), Instant::now());
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    while let Some(request) = read_request(&mut reader) {
                        let stream = stream.try_clone().unwrap();
                        if tell.send(Arrival { request, stream, connection, taken }).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Puppet { address, arrivals }
    }

    /// A request that has come and was not looked at yet.
    pub fn waiting(&self) -> Option<Arrival> {
        self.arrivals.try_recv().ok()
    }

    /// The next request whose line holds this text; others are dropped unanswered, their connections stay open.
    pub fn next(&self, text: &str) -> Arrival {
        let start = Instant::now();
        loop {
            let left = PATIENCE.saturating_sub(start.elapsed());
            let arrival = self.arrivals.recv_timeout(left).unwrap_or_else(|_| panic!("'{text}' never came"));
            if arrival.request.line.contains(text) {
                return arrival;
            }
        }
    }
}

#[allow(unused_imports)]
pub use lilacbank_rig::entry;

/// A worker that refuses with a wait until it is opened, and then takes each call; who was taken, in order.
pub fn gate() -> (Worker, Arc<std::sync::atomic::AtomicBool>, Arc<Mutex<Vec<String>>>) {
    let (open, taken) =
        (Arc::new(std::sync::atomic::AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let (o, t) = (open.clone(), taken.clone());
    let worker = Worker::start(move |r, _| {
        if !o.load(std::sync::atomic::Ordering::SeqCst) {
            return Reply::Answer("429 Too Many Requests\r\nRetry-After: 1");
        }
        t.lock().unwrap().push(r.header("x-txn").to_string());
        Reply::Answer("200 OK")
    });
    (worker, open, taken)
}

/// A worker that is silent until it is told to take each call.
pub fn silent_until_told() -> (Worker, Arc<std::sync::atomic::AtomicBool>) {
    let answers = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let told = answers.clone();
    let reply = move || match told.load(std::sync::atomic::Ordering::SeqCst) {
        true => Reply::Answer("200 OK"),
        false => Reply::Silence,
    };
    (Worker::start(move |_, _| reply()), answers)
}

/// The platform: a watch that brings what is pushed, and a place for notices.
pub type Platform = lilacbank_rig::Registry;

/// What a dispatcher is started with; its folder outlasts it.
pub struct Site {
    pub dir: PathBuf,
    pub platform: Platform,
    pub disk_mb: f64,
    pub mqtt: bool,
    /// Dispatchers that the platform says it runs (`balancers`).
    pub balancers: u32,
}

impl Site {
    pub fn new(entries: &[String]) -> Site {
        static NEXT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
        let n = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("lilacbank-test-{}-{n}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).unwrap();
        Site { dir, platform: Platform::start(entries).unwrap(), disk_mb: 3.0, mqtt: false, balancers: 1 }
    }

    /// A seed of this site's own where the platform runs several dispatchers, as it gives each one; else the one seed.
    fn seed(&self) -> String {
        if self.balancers == 1 {
            return "0a".into();
        }
        let name = self.dir.file_name().map(|n| n.to_string_lossy().into_owned()).unwrap_or_default();
        format!("{:x}", name.bytes().fold(0x0a_u64, |h, b| h.wrapping_mul(0x100_0000_01b3) ^ u64::from(b)))
    }

    /// Writes the configuration, with a value for the registry's address in it.
    pub fn configure(&self, discovery: &str) {
        let text = lilacbank_rig::config::platform(
            "n0",
            &self.seed(),
            self.disk_mb,
            self.balancers as usize,
            1_000,
            discovery,
        );
        std::fs::write(self.dir.join("config.json"), text).unwrap();
    }

    /// The configuration with a text of it changed, as the value of `ROUTER_CONFIG`.
    pub fn changed(&self, from: &str, to: &str) -> String {
        self.configure("null");
        let text = std::fs::read_to_string(self.dir.join("config.json")).unwrap();
        assert!(text.contains(from), "{from} in {text}");
        let path = self.dir.join("changed.json");
        std::fs::write(&path, text.replace(from, to)).unwrap();
        path.to_string_lossy().into_owned()
    }

    pub fn start(&self) -> Dispatcher {
        self.start_with("127.0.0.1:0", &[])
    }

    /// Starts one on this address for clients, with more variables.
    pub fn start_with(&self, listen: &str, more: &[(&str, &str)]) -> Dispatcher {
        self.start_as(Command::new(env!("CARGO_BIN_EXE_lilacbank")), listen, more)
    }

    /// Starts one under a limit of the system, as `ulimit` takes it.
    pub fn start_limited(&self, limit: &str, more: &[(&str, &str)]) -> Dispatcher {
        let mut shell = Command::new("sh");
        let script = format!("ulimit {limit} && exec \"$0\"");
        shell.args(["-c", &script, env!("CARGO_BIN_EXE_lilacbank")]);
        self.start_as(shell, "127.0.0.1:0", more)
    }

    fn start_as(&self, mut command: Command, listen: &str, more: &[(&str, &str)]) -> Dispatcher {
        let (config, mqtt) = (self.dir.join("config.json"), self.dir.join("mqtt.toml"));
        self.configure("null");
        let on = self.mqtt;
        std::fs::write(&mqtt, format!("[acceptor]\nenabled = {on}\nlisten = \"127.0.0.1:0\"\n")).unwrap();
        command
            .env("ROUTER_CONFIG", config)
            .env("ROUTER_LISTEN", listen)
            .env("ROUTER_DISCOVERY", self.platform.address.to_string())
            .env("ROUTER_STATE", self.dir.join("state"))
            .env("LILACBANK_MQTT", mqtt)
            .env("RUST_LOG", "info");
        command.envs(more.iter().copied());
        Dispatcher::spawn(&mut command, on)
    }
}

impl Dispatcher {
    /// Starts the program and waits until it listens.
    pub fn spawn(command: &mut Command, mqtt: bool) -> Dispatcher {
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let (tell, log) = channel();
        let err = BufReader::new(child.stderr.take().unwrap());
        let log_paused = Arc::new(AtomicBool::new(false));
        let paused = log_paused.clone();
        let wait = move || {
            while paused.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(10));
            }
        };
        let mut lines = err.lines().map_while(Result::ok).inspect(move |_| wait());
        thread::spawn(move || lines.all(|line| tell.send(line).is_ok()));
        let mut d = Dispatcher { child, log, log_paused, seen: String::new(), address: None, mqtt: None };
        if mqtt {
            d.mqtt = d.logged("MQTT clients are served on ").split('"').next().unwrap().parse().ok();
        }
        d.address = d.logged(" listens on ").split(' ').next().unwrap().parse().ok();
        d
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// The program under test.
pub struct Dispatcher {
    child: Child,
    log: Receiver<String>,
    /// Its log is not read now.
    log_paused: Arc<AtomicBool>,
    seen: String,
    address: Option<SocketAddr>,
    pub mqtt: Option<SocketAddr>,
}

impl Dispatcher {
    /// Leaves its log unread from now on.
    pub fn stop_reading_log(&self) {
        self.log_paused.store(true, Ordering::SeqCst);
    }

    /// Reads its log again.
    pub fn read_log_again(&self) {
        self.log_paused.store(false, Ordering::SeqCst);
    }

    /// What follows the mark in the log.
    pub fn logged(&mut self, mark: &str) -> String {
        loop {
            let line = self.log.recv_timeout(PATIENCE);
            let line = line.unwrap_or_else(|_| panic!("'{mark}' was never logged:\n{}", self.seen));
            self.seen += &(line.clone() + "\n");
            if let Some((_, rest)) = line.split_once(mark) {
                return rest.to_string();
            }
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.address.unwrap()
    }

    /// All that was read of its log.
    pub fn seen(&self) -> &str {
        &self.seen
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address.unwrap())
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// Asks for the counters until they hold the text.
    pub fn counts(&mut self, text: &str) {
        let start = Instant::now();
        loop {
            self.signal("-USR1");
            let counters = self.logged("taken in: ");
            if counters.contains(text) {
                return;
            }
            assert!(start.elapsed() < PATIENCE, "never '{text}': {counters}");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Stops the process where it stands; [`Dispatcher::signal`] with `-CONT` lets it go on.
    pub fn halt(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        until("the process stands still", || {
            std::fs::read_to_string(&stat)
                .is_ok_and(|s| s.rsplit_once(") ").is_some_and(|r| r.1.starts_with('T')))
        });
    }

    pub fn kill(mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits for an end of any kind.
    pub fn ended_somehow(&mut self) -> std::process::ExitStatus {
        self.child.wait().unwrap()
    }

    /// Waits for its end; how long that took.
    pub fn ended(&mut self) -> Duration {
        let start = Instant::now();
        let status = self.child.wait().unwrap();
        assert!(status.success(), "{status}");
        start.elapsed()
    }

    /// Processor time that it has used so far.
    pub fn used(&self) -> Duration {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields: Vec<&str> = stat.rsplit_once(')').unwrap().1.split_whitespace().collect();
        let ticks: u64 = fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap();
        Duration::from_millis(ticks * 10)
    }

    /// Memory that it holds now.
    pub fn memory_mb(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() / 1024
    }

    pub fn running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A client that speaks RESP2.
pub struct Client(pub BufReader<TcpStream>);

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Client(BufReader::new(stream))
    }

    pub fn try_connect(address: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        Ok(Client(BufReader::new(stream)))
    }

    /// Hands in; empty if the connection ends before the answer.
    pub fn try_submit(&mut self, id: &str, options: &str) -> String {
        let words: [&[u8]; 5] = [b"SUBMIT", b"0000000000000000", id.as_bytes(), options.as_bytes(), b"x"];
        match self.0.get_mut().write_all(&command(&words)) {
            Ok(()) => self.line(),
            Err(_) => String::new(),
        }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).unwrap();
    }

    /// One line of answer without its end; empty once the connection has ended.
    pub fn line(&mut self) -> String {
        let mut line = String::new();
        let _ = self.0.read_line(&mut line);
        line.trim_end().to_string()
    }

    pub fn ask(&mut self, parts: &[&[u8]]) -> String {
        self.send(&command(parts));
        self.line()
    }

    pub fn submit(&mut self, id: &str, options: &str) -> String {
        self.ask(&[b"SUBMIT", b"0000000000000000", id.as_bytes(), options.as_bytes(), b"body\r\n\0\xff"])
    }

    pub fn keyed(&mut self, key: &str, id: &str, options: &str) -> String {
        self.ask(&[b"SUBMIT", key.as_bytes(), id.as_bytes(), options.as_bytes(), b"x"])
    }
}

/// Hands in so many messages of the three classes in turn, each with a key of its own; all are taken on.
pub fn hand_in_each_class(client: &mut Client, count: usize, left_ms: u64) -> Vec<(String, &'static str)> {
    let classes = ["safe", "order", "pay"];
    let ids: Vec<(String, &str)> =
        (0..count).map(|n| (format!("m{n:02}"), classes[n % classes.len()])).collect();
    for (n, (id, class)) in ids.iter().enumerate() {
        let options = format!("c={class},d={left_ms},k=k{n},dest=1");
        assert_eq!(client.keyed(&format!("{:x}", n + 1), id, &options), "+OK");
    }
    ids
}

pub fn command(parts: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", parts.len()).into_bytes();
    for p in parts {
        bytes.extend(format!("${}\r\n", p.len()).into_bytes());
        bytes.extend(*p);
        bytes.extend(b"\r\n");
    }
    bytes
}

/// Where its operators' door is.
pub fn door(d: &Dispatcher) -> SocketAddr {
    let (_, rest) = d.seen().split_once("the operators' door is on ").expect("a door");
    rest.split_whitespace().next().unwrap().parse().unwrap()
}

/// What an operators' door answers to a line.
pub fn control(door: SocketAddr, line: &str) -> String {
    let mut s = TcpStream::connect(door).unwrap();
    s.set_read_timeout(Some(PATIENCE)).unwrap();
    s.write_all(format!("{line}\n").as_bytes()).unwrap();
    let mut text = String::new();
    s.read_to_string(&mut text).unwrap();
    text
}

/// The figures of a dispatcher's door.
pub fn vars(d: &Dispatcher) -> serde_json::Value {
    serde_json::from_str(control(door(d), "vars").lines().next().unwrap()).unwrap()
}

/// Addresses to listen on, again and again: ports from the system, on a loopback address of this process's own, none given twice.
/// On the shared one a port on which nobody listens at the moment is given to any connection that goes out.
pub fn addresses(count: usize) -> Vec<SocketAddr> {
    static GIVEN: Mutex<std::collections::BTreeSet<SocketAddr>> =
        Mutex::new(std::collections::BTreeSet::new());
    let pid = std::process::id();
    let ip = [127, 128 + (pid >> 8 & 0x7f) as u8, (pid & 0xff) as u8, 1];
    let mut given = GIVEN.lock().unwrap();
    let fresh = std::iter::repeat_with(|| {
        TcpListener::bind(SocketAddr::from((ip, 0))).unwrap().local_addr().unwrap()
    });
    fresh.filter(|at| given.insert(*at)).take(count).collect()
}
