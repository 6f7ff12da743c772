//! Stand-ins that the scripts of this review share: processes, clients, endpoints, the platform and a proxy.
//! Only the standard library; every address is a loopback address.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn listen(socket: i32, backlog: i32) -> i32;
    fn prctl(option: i32, argument: u64, a: u64, b: u64, c: u64) -> i32;
}

/// The option of `prctl` by which a process gets a signal when the thread that started it ends.
const PARENT_ENDS: i32 = 1;

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the script plays the disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// The processes that were started and have not been waited for.
static STARTED: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// The record of the case.
static RECORD: Mutex<Option<Record>> = Mutex::new(None);

/// The script ends by itself after so many seconds.
const LONGEST_S: u64 = 110;

/// Ends the script as one that could not run, with all processes that it started.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    let record = RECORD.lock().ok().and_then(|r| r.clone());
    record.iter().for_each(|r| {
        r.add(format!("the case could not run: {why}"));
        r.write();
    });
    end_all(2)
}

fn end_all(code: i32) -> ! {
    let pids = STARTED.lock().map(|p| p.clone()).unwrap_or_default();
    for pid in pids {
        // SAFETY: the process is a child that has not been waited for.
        unsafe { kill(pid, SIGKILL) };
    }
    let _ = fs::remove_dir_all(temporary_folder());
    std::process::exit(code)
}

fn temporary_folder() -> PathBuf {
    std::env::temp_dir().join(format!("review-2-{}", std::process::id()))
}

/// Runs a case; one that panics or takes too long could not run.
pub fn main_of(case: fn() -> i32) -> ! {
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(LONGEST_S));
        cannot_run("it takes too long");
    });
    match std::panic::catch_unwind(case) {
        Ok(code) => std::process::exit(code),
        Err(_) => cannot_run("the script has panicked"),
    }
}

/// What was sent, answered and run, with milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    lines: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        let record = Record { begun: Instant::now(), lines: Arc::new(Mutex::new(Vec::new())) };
        *RECORD.lock().unwrap() = Some(record.clone());
        record
    }

    pub fn now(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    pub fn add(&self, text: impl AsRef<str>) -> u64 {
        let mut lines = self.lines.lock().unwrap();
        let at = self.now();
        lines.push((at, text.as_ref().to_string()));
        at
    }

    /// Writes `record.txt` into the folder that the script names.
    pub fn write(&self) {
        let folder = std::env::var("CASE_FOLDER").unwrap_or_else(|_| ".".into());
        let lines = self.lines.lock().unwrap();
        let text: String = lines.iter().map(|(at, l)| format!("{at:>7} ms  {l}\n")).collect();
        let _ = fs::write(Path::new(&folder).join("record.txt"), text);
    }

    /// Ends the script with its result.
    pub fn finish(&self, broken: &[String]) -> i32 {
        for b in broken.iter().take(12) {
            println!("BROKEN: {b}");
            self.add(format!("BROKEN: {b}"));
        }
        if broken.len() > 12 {
            self.add(format!("BROKEN: {} times in all", broken.len()));
        }
        if broken.is_empty() {
            println!("the rule held");
            self.add("the rule held");
        }
        self.write();
        i32::from(!broken.is_empty())
    }
}

/// A temporary folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let dir = temporary_folder();
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).unwrap_or_else(|e| cannot_run(&e.to_string()));
        Folder(dir)
    }

    pub fn path(&self, name: &str) -> String {
        self.0.join(name).display().to_string()
    }

    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        fs::write(&path, text).unwrap_or_else(|e| cannot_run(&e.to_string()));
        path.display().to_string()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Free ports of the loopback address, below those that the system gives to outgoing connections.
pub fn addresses(count: usize) -> Vec<SocketAddr> {
    const FIRST: u32 = 20_000;
    const COUNT: u32 = 10_000;
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let begin = std::process::id().wrapping_mul(97) % COUNT;
    let mut held = Vec::new();
    while held.len() < count {
        let n = NEXT.fetch_add(1, Ordering::Relaxed) as u32;
        if n > COUNT {
            cannot_run("there are no free ports");
        }
        let port = (FIRST + (begin + n) % COUNT) as u16;
        held.extend(TcpListener::bind(("127.0.0.1", port)).ok());
    }
    held.iter().map(|l| l.local_addr().unwrap()).collect()
}

/// The root of the repository.
pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("ROOT").unwrap_or_else(|_| ".".into()))
}

/// The command `run` of the deploy file, without its `exec`.
pub fn run_command() -> PathBuf {
    let text = fs::read_to_string(root().join("deploy/balancer.toml"))
        .unwrap_or_else(|e| cannot_run(&e.to_string()));
    let run = text.lines().find_map(|l| l.strip_prefix("run = ")).unwrap_or("\"exec target/release/lilacbank\"");
    root().join(run.trim_matches('"').trim_start_matches("exec ").trim())
}

/// A process of the project; it is killed at the end of the script.
pub struct Process {
    child: Child,
    pub name: String,
}

impl Process {
    /// Starts the command `run` with these variables; its log goes to a file in the folder.
    pub fn start(folder: &Folder, name: &str, variables: &[(&str, &str)]) -> Process {
        let log = fs::File::create(folder.0.join(format!("{name}.log"))).unwrap();
        let mut command = Command::new(run_command());
        command.env("RUST_LOG", std::env::var("CASE_LOG").unwrap_or("info".into()));
        command.env("TMPDIR", &folder.0);
        command.envs(variables.iter().copied());
        command.current_dir(root()).stdin(Stdio::null()).stdout(log.try_clone().unwrap()).stderr(log);
        // SAFETY: a single system call; the process ends with the script, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PARENT_ENDS, SIGKILL as u64, 0, 0, 0);
                Ok(())
            })
        };
        let child = command.spawn().unwrap_or_else(|e| cannot_run(&format!("{name} does not start: {e}")));
        STARTED.lock().unwrap().push(child.id() as i32);
        Process { child, name: name.into() }
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process is a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// How the process ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok()??;
        self.forget();
        Some(status.code().map_or(format!("signal {:?}", status.signal()), |c| format!("exit {c}")))
    }

    /// Waits for the end of the process.
    pub fn wait_for_end(&mut self, ms: u64) -> bool {
        let until = Instant::now() + Duration::from_millis(ms);
        while Instant::now() < until {
            if self.ended().is_some() {
                return true;
            }
            sleep_ms(5);
        }
        false
    }

    pub fn kill(&mut self) {
        if self.ended().is_none() {
            self.signal(SIGCONT);
            let _ = self.child.kill();
            let _ = self.child.wait();
            self.forget();
        }
    }

    fn forget(&self) {
        let pid = self.child.id() as i32;
        STARTED.lock().unwrap().retain(|p| *p != pid);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs the tool of the project and returns its exit code and its output.
pub fn tool(args: &[&str]) -> (i32, String) {
    let out = Command::new(run_command())
        .args(args)
        .current_dir(root())
        .output()
        .unwrap_or_else(|e| cannot_run(&e.to_string()));
    let text = format!("{}{}", String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr));
    (out.status.code().unwrap_or(-1), text)
}

/// Waits until something holds; false after the time.
pub fn wait_until(ms: u64, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + Duration::from_millis(ms);
    while Instant::now() < until {
        if holds() {
            return true;
        }
        sleep_ms(20);
    }
    holds()
}

/// A client that speaks RESP2.
pub struct Client {
    stream: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(to: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_millis(500)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_millis(400))).ok()?;
        Some(Client { stream: BufReader::new(stream) })
    }

    /// The first line of the answer; `None` if the connection ends or the answer does not come in 400 ms.
    pub fn command(&mut self, words: &[&str]) -> Option<String> {
        let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
        for w in words {
            bytes.extend(format!("${}\r\n{w}\r\n", w.len()).bytes());
        }
        self.stream.get_mut().write_all(&bytes).ok()?;
        let mut line = String::new();
        match self.stream.read_line(&mut line) {
            Ok(n) if n > 0 => Some(line.trim_end().to_string()),
            _ => None,
        }
    }
}

/// Hands a message in on a new connection.
pub fn submit(to: SocketAddr, key: u64, id: &str, options: &str, body: &str) -> Option<String> {
    Client::connect(to)?.command(&["SUBMIT", &format!("{key:016x}"), id, options, body])
}

pub fn wait_for_ping(to: SocketAddr, ms: u64) {
    let answers = || Client::connect(to).and_then(|mut c| c.command(&["PING"])).is_some_and(|l| l == "+PONG");
    if !wait_until(ms, answers) {
        cannot_run("a dispatcher does not answer PING");
    }
}

/// One HTTP request as a stand-in reads it.
pub struct Request {
    pub line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(stream: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if stream.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut header = String::new();
        if stream.read_line(&mut header).ok()? == 0 {
            return None;
        }
        let header = header.trim_end();
        if header.is_empty() {
            break;
        }
        if let Some((name, value)) = header.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_string());
        }
    }
    let length = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(Request { line: line.trim_end().into(), headers, body })
}

/// A call that an endpoint has begun.
#[derive(Debug, Clone)]
pub struct Call {
    pub id: String,
    pub key: String,
    pub body: String,
    pub endpoint: String,
    /// When its last byte had come.
    pub begun: u64,
    /// When its answer was written, or its connection found ended.
    pub ended: Option<u64>,
    pub status: u16,
}

/// Endpoints that run every call in a given time, and what they ran.
#[derive(Clone)]
pub struct Endpoints {
    pub calls: Arc<Mutex<Vec<Call>>>,
    record: Record,
}

impl Endpoints {
    pub fn new(record: &Record) -> Endpoints {
        Endpoints { calls: Arc::default(), record: record.clone() }
    }

    /// Starts an endpoint. `work` gives the milliseconds that a call takes, by its id.
    pub fn start(&self, name: &str, work: impl Fn(&str) -> u64 + Send + Sync + 'static) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = listener.local_addr().unwrap();
        let (own, name, work) = (self.clone(), name.to_string(), Arc::new(work));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (own, name, work) = (own.clone(), name.clone(), work.clone());
                thread::spawn(move || own.serve(stream, &name, &*work));
            }
        });
        address
    }

    fn serve(&self, stream: TcpStream, name: &str, work: &dyn Fn(&str) -> u64) {
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        while let Some(request) = read_request(&mut stream) {
            let header = |n: &str| request.headers.get(n).cloned().unwrap_or_default();
            if request.line.starts_with("GET ") {
                self.record.add(format!("{name}: probe"));
                let ok = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                if stream.get_mut().write_all(ok).is_err() {
                    return;
                }
                continue;
            }
            let id = header("x-txn");
            let body = String::from_utf8_lossy(&request.body).to_string();
            let at = {
                let mut calls = self.calls.lock().unwrap();
                let begun = self.record.add(format!("{name}: call of {id} begins ({body})"));
                let key = header("idempotency-key");
                let endpoint = name.to_string();
                calls.push(Call { id: id.clone(), key, body, endpoint, begun, ended: None, status: 200 });
                calls.len() - 1
            };
            sleep_ms(work(&id));
            let written = stream.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            let mut calls = self.calls.lock().unwrap();
            let text = if written.is_ok() { "200 is written" } else { "its connection has ended" };
            calls[at].ended = Some(self.record.add(format!("{name}: call of {id} has run, {text}")));
        }
    }

    pub fn of(&self, id: &str) -> Vec<Call> {
        self.calls.lock().unwrap().iter().filter(|c| c.id == id).cloned().collect()
    }
}

/// The platform: the list of endpoints, and the notices that it receives.
#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    /// Each notice: when it came, its message and its outcome.
    pub notices: Arc<Mutex<Vec<(u64, String, String)>>>,
    list: Arc<Mutex<String>>,
    changes: Arc<Mutex<Vec<String>>>,
}

impl Platform {
    /// Pushes a change of the list, in discovery's form, to the watches that are open.
    pub fn push(&self, record: &Record, change: &str) {
        record.add(format!("discovery tells {change}"));
        self.changes.lock().unwrap().push(change.to_string());
    }

    /// Starts the platform with a whole list in discovery's form.
    pub fn start(record: &Record, name: &str, list: &str) -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let platform = Platform {
            address: listener.local_addr().unwrap(),
            notices: Arc::default(),
            list: Arc::new(Mutex::new(list.to_string())),
            changes: Arc::default(),
        };
        let (own, record, name) = (platform.clone(), record.clone(), name.to_string());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (own, record, name) = (own.clone(), record.clone(), name.clone());
                thread::spawn(move || own.serve(stream, &record, &name));
            }
        });
        platform
    }

    fn serve(&self, stream: TcpStream, record: &Record, name: &str) {
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        while let Some(request) = read_request(&mut stream) {
            if request.line.starts_with("POST /v1/outcomes") {
                for line in String::from_utf8_lossy(&request.body).lines() {
                    let field = |n: &str| {
                        let at = line.find(&format!("\"{n}\""))? + n.len() + 2;
                        let rest = line[at..].split_once('"')?.1;
                        Some(rest.split_once('"')?.0.to_string())
                    };
                    let (id, outcome) = (field("message"), field("outcome"));
                    if let (Some(id), Some(outcome)) = (id, outcome) {
                        let mut notices = self.notices.lock().unwrap();
                        let at = record.add(format!("{name}: notice {line}"));
                        notices.push((at, id, outcome));
                    }
                }
                if stream.get_mut().write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
                    return;
                }
                continue;
            }
            let list = self.list.lock().unwrap().clone();
            if request.line.contains("watch=1") {
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let first = format!("{head}{:x}\r\n{list}\n\r\n", list.len() + 1);
                let (mut piece, mut told, mut quiet) = (first, 0, 0);
                while stream.get_mut().write_all(piece.as_bytes()).is_ok() {
                    piece.clear();
                    while piece.is_empty() {
                        sleep_ms(10);
                        quiet += 10;
                        if let Some(change) = self.changes.lock().unwrap().get(told) {
                            told += 1;
                            piece = format!("{:x}\r\n{change}\n\r\n", change.len() + 1);
                        } else if quiet >= 2_000 {
                            piece = "1\r\n\n\r\n".into();
                        }
                    }
                    quiet = 0;
                }
                return;
            }
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            if stream.get_mut().write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    pub fn of(&self, id: &str) -> Vec<(u64, String, String)> {
        self.notices.lock().unwrap().iter().filter(|n| n.1 == id).cloned().collect()
    }
}

/// A path on which bytes take a while and a cut can be played. While it is cut, nothing is said: open connections
/// stay open and silent, and new ones do not come up.
#[derive(Clone)]
pub struct Route {
    pub address: SocketAddr,
    listener: Arc<TcpListener>,
    cut: Arc<AtomicBool>,
    /// Connections of its own that fill the backlog during a cut, so that no other comes up.
    fill: Arc<Mutex<Vec<TcpStream>>>,
    /// How long bytes are on their way, in milliseconds.
    delay: u64,
}

/// The backlog of a path that is not cut.
const BACKLOG: i32 = 128;

impl Route {
    pub fn start(to: SocketAddr) -> Route {
        Route::start_with_delay(to, 0)
    }

    pub fn start_with_delay(to: SocketAddr, delay: u64) -> Route {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        listener.set_nonblocking(true).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = listener.local_addr().unwrap();
        let route =
            Route { address, listener: Arc::new(listener), cut: Arc::default(), fill: Arc::default(), delay };
        let own = route.clone();
        thread::spawn(move || loop {
            own.wait_while_cut();
            match own.listener.accept() {
                Ok((near, from)) => {
                    let fills = own.fill.lock().unwrap().iter().any(|f| f.local_addr().ok() == Some(from));
                    if !fills {
                        let own = own.clone();
                        thread::spawn(move || own.carry(near, to));
                    }
                }
                Err(_) => sleep_ms(1),
            }
        });
        route
    }

    /// Cuts all these paths, or ends the cut.
    pub fn set_cut(all: &[&Route], cut: bool) {
        all.iter().for_each(|r| r.cut.store(cut, Ordering::SeqCst));
        thread::scope(|scope| {
            all.iter().for_each(|r| drop(scope.spawn(move || r.set_backlog(cut))));
        });
    }

    fn set_backlog(&self, cut: bool) {
        use std::os::fd::AsRawFd;
        // SAFETY: the socket is open and listens.
        unsafe { listen(self.listener.as_raw_fd(), if cut { 0 } else { BACKLOG }) };
        while cut {
            match TcpStream::connect_timeout(&self.address, Duration::from_millis(40)) {
                Ok(filler) => self.fill.lock().unwrap().push(filler),
                Err(_) => break,
            }
        }
    }

    fn wait_while_cut(&self) {
        while self.cut.load(Ordering::SeqCst) {
            sleep_ms(2);
        }
    }

    fn carry(&self, near: TcpStream, to: SocketAddr) {
        let _ = near.set_nonblocking(false);
        let Ok(far) = TcpStream::connect(to) else { return };
        let (a, b) = (near.try_clone(), far.try_clone());
        let (Ok(near_2), Ok(far_2)) = (a, b) else { return };
        let (one, other) = (self.clone(), self.clone());
        let up = thread::spawn(move || one.pump(near, far));
        other.pump(far_2, near_2);
        let _ = up.join();
    }

    /// Carries one direction: what is read is written `delay` later, by a thread of its own.
    fn pump(&self, mut from: TcpStream, mut to: TcpStream) {
        let _ = from.set_nodelay(true);
        let _ = to.set_nodelay(true);
        let _ = from.set_read_timeout(Some(Duration::from_millis(10)));
        let (sender, receiver) = std::sync::mpsc::channel::<(Instant, Option<Vec<u8>>)>();
        let (own, Ok(reading)) = (self.clone(), from.try_clone()) else { return };
        let writer = thread::spawn(move || {
            for (at, bytes) in receiver {
                thread::sleep(at.saturating_duration_since(Instant::now()));
                own.wait_while_cut();
                let written = bytes.is_some_and(|b| to.write_all(&b).is_ok());
                if !written {
                    let _ = to.shutdown(std::net::Shutdown::Write);
                    break;
                }
            }
            // Nothing more can be delivered: the other side hears of it.
            let _ = reading.shutdown(std::net::Shutdown::Read);
        });
        let mut buffer = [0; 16 * 1024];
        loop {
            // What was not read before a cut stays with the sender, which may take it back by a reset.
            self.wait_while_cut();
            let due = || Instant::now() + Duration::from_millis(self.delay);
            match from.read(&mut buffer) {
                Ok(n) if n > 0 => {
                    if sender.send((due(), Some(buffer[..n].to_vec()))).is_err() {
                        break;
                    }
                }
                Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
                _ => {
                    let _ = sender.send((due(), None));
                    break;
                }
            }
        }
        drop(sender);
        let _ = writer.join();
    }
}
