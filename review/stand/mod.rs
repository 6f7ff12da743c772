//! Small stand-ins for the cases of this review: the platform's discovery, endpoints, clients, and a proxy.
//! Standard library only. Every address is a loopback address.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// A case ends itself after this time with the status 2.
const WATCHDOG: Duration = Duration::from_secs(110);

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static FOLDER: OnceLock<PathBuf> = OnceLock::new();

/// Milliseconds since the case began.
pub fn ms() -> u64 {
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

pub fn sleep(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Writes a line to `record.txt`.
pub fn note(text: impl AsRef<str>) {
    let line = format!("{:>6} ms  {}\n", ms(), text.as_ref());
    if let Some(file) = RECORD.get() {
        let _ = file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Whether the disruption is played; `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |t| t != "0")
}

/// Opens the record and the temporary folder, and starts the watchdog.
pub fn begin(case: &str) {
    START.get_or_init(Instant::now);
    // A stand-in that fails ends the case with the status 2, and all that it started with it.
    std::panic::set_hook(Box::new(|why| {
        note(format!("a stand-in failed: {why}"));
        eprintln!("{why}");
        end(COULD_NOT_RUN)
    }));
    let record = File::create(format!("review/{case}/record.txt")).expect("the record cannot be written");
    let _ = RECORD.set(Mutex::new(record));
    let folder = std::env::temp_dir().join(format!("lilacbank-review-{}-{}", case.replace('/', "-"), std::process::id()));
    fs::create_dir_all(&folder).expect("no temporary folder");
    let _ = FOLDER.set(folder);
    thread::spawn(|| {
        thread::sleep(WATCHDOG);
        note("the case takes too long");
        end(COULD_NOT_RUN);
    });
    note(format!("case {case}, disruption {}", if trouble() { "on" } else { "off" }));
}

pub fn folder() -> &'static Path {
    FOLDER.get().expect("begin() comes first")
}

/// Ends all processes that the case started, removes the temporary folder and exits.
pub fn end(status: i32) -> ! {
    for pid in CHILDREN.lock().unwrap_or_else(|e| e.into_inner()).drain(..) {
        let _ = signal(pid, "KILL");
    }
    thread::sleep(Duration::from_millis(100));
    if let (Some(folder), Err(_)) = (FOLDER.get(), std::env::var("KEEP")) {
        let _ = fs::remove_dir_all(folder);
    }
    note(match status {
        HELD => "the rule held",
        BROKEN => "THE RULE WAS BROKEN",
        _ => "the case could not run",
    });
    std::process::exit(status)
}

/// Ends the case with the status 2.
pub fn give_up(why: impl AsRef<str>) -> ! {
    note(why.as_ref());
    eprintln!("{}", why.as_ref());
    end(COULD_NOT_RUN)
}

/// Waits until something holds; false after `most` milliseconds.
pub fn wait_until(most: u64, mut holds: impl FnMut() -> bool) -> bool {
    let by = Instant::now() + Duration::from_millis(most);
    while Instant::now() < by {
        if holds() {
            return true;
        }
        sleep(5);
    }
    holds()
}

/// A free address on the loopback interface.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("no free port")
}

pub fn signal(pid: u32, name: &str) -> bool {
    let status = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {pid}")).status();
    status.is_ok_and(|s| s.success())
}

// ---------------------------------------------------------------------------------------------------------
// Dispatchers

/// The `run` command of the deploy file.
fn run_command() -> String {
    let text = fs::read_to_string("deploy/balancer.toml").expect("run this from the root of the repository");
    let line = text.lines().find_map(|l| l.strip_prefix("run = \"")).expect("no run command");
    line.split('"').next().unwrap_or_default().to_string()
}

/// A dispatcher process.
pub struct Dispatcher {
    pub name: String,
    pub pid: u32,
    child: Child,
    log: PathBuf,
    started_ms: u64,
}

impl Dispatcher {
    /// Starts the command of the deploy file with these environment variables.
    pub fn start(name: &str, environment: &[(&str, String)]) -> Dispatcher {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let log = folder().join(format!("{name}.{number}.log"));
        let tmp = folder().join(format!("tmp.{name}"));
        fs::create_dir_all(&tmp).expect("no folder for TMPDIR");
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command()).env("TMPDIR", &tmp);
        for variable in
            ["ROUTER_CONFIG", "ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_STATE", "ROUTER_CONTROL"]
        {
            command.env_remove(variable);
        }
        command.env_remove("LILACBANK_MQTT").env_remove("LILACBANK_TOGETHER");
        command.env("RUST_LOG", std::env::var("RUST_LOG").unwrap_or("lilacbank=info".into()));
        command.envs(environment.iter().map(|(k, v)| (*k, v.as_str())));
        let out = File::create(&log).expect("no log file");
        command.stdin(Stdio::null()).stdout(out.try_clone().expect("no log file")).stderr(out);
        let child = command.spawn().unwrap_or_else(|e| give_up(format!("{name} cannot be started: {e}")));
        let pid = child.id();
        CHILDREN.lock().unwrap().push(pid);
        note(format!("{name}: started (process {number})"));
        Dispatcher { name: name.into(), pid, child, log, started_ms: ms() }
    }

    pub fn signal(&self, name: &str) {
        note(format!("{}: SIG{name}", self.name));
        signal(self.pid, name);
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let ended = matches!(self.child.try_wait(), Ok(Some(_)));
        if ended {
            CHILDREN.lock().unwrap().retain(|pid| *pid != self.pid);
        }
        ended
    }

    pub fn kill(&mut self) {
        self.signal("KILL");
        let _ = self.child.wait();
        CHILDREN.lock().unwrap().retain(|pid| *pid != self.pid);
    }

    /// The lines of its log that contain one of these texts.
    pub fn log_lines(&self, any: &[&str]) -> Vec<String> {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().filter(|l| any.iter().any(|a| l.contains(a))).map(String::from).collect()
    }
}

/// Asks the control interface one line; the first line of its answer.
pub fn control(at: SocketAddr, line: &str) -> Option<String> {
    let mut s = TcpStream::connect_timeout(&at, Duration::from_millis(500)).ok()?;
    s.set_read_timeout(Some(Duration::from_millis(1_000))).ok()?;
    s.write_all(format!("{line}\n").as_bytes()).ok()?;
    let mut answer = String::new();
    BufReader::new(s).read_line(&mut answer).ok()?;
    Some(answer.trim().to_string())
}

// ---------------------------------------------------------------------------------------------------------
// HTTP, as far as the protocol page uses it

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads one request; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace().map(String::from);
    let (method, target) = (words.next()?, words.next()?);
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_string());
    }
    let length = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request { method, target, headers, body })
}

pub fn write_answer(s: &mut TcpStream, status: u32, headers: &str, body: &str) -> io::Result<()> {
    let reason = match status {
        200 => "OK",
        204 => "No Content",
        429 => "Too Many Requests",
        _ => "Status",
    };
    let length = if status == 204 { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    s.write_all(format!("HTTP/1.1 {status} {reason}\r\n{headers}{length}\r\n{body}").as_bytes())
}

/// Serves each connection of a listener in a thread of its own.
pub fn serve(listener: TcpListener, each: impl Fn(TcpStream) + Send + Sync + 'static) {
    let each = Arc::new(each);
    thread::spawn(move || {
        for s in listener.incoming().flatten() {
            let _ = s.set_nodelay(true);
            let each = Arc::clone(&each);
            thread::spawn(move || each(s));
        }
    });
}

// ---------------------------------------------------------------------------------------------------------
// The platform: discovery and notices

/// An endpoint as discovery lists it.
#[derive(Clone)]
pub struct Listed {
    pub uid: String,
    pub address: SocketAddr,
    pub zone: String,
    pub model: String,
    pub dest: u64,
}

pub fn list_json(rev: u64, all: &[Listed]) -> String {
    let rows: Vec<String> = all
        .iter()
        .map(|l| {
            format!(
                "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"{}\",\"model\":\"{}\",\"pod_group\":{},\
                 \"state\":\"in_service\",\"capacity_hint\":1.0,\"boot_ms\":0}}",
                l.uid, l.address, l.zone, l.model, l.dest
            )
        })
        .collect();
    format!("{{\"rev\":{rev},\"all\":true,\"targets\":[{}]}}", rows.join(","))
}

/// A notice that a dispatcher sent: when, and its line.
pub type Notice = (u64, String);

/// Discovery, with the notices that it received.
pub struct Platform {
    pub address: SocketAddr,
    pub notices: Arc<Mutex<Vec<Notice>>>,
}

impl Platform {
    pub fn start(list: Vec<Listed>) -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let address = listener.local_addr().expect("no address");
        let notices = Arc::new(Mutex::new(Vec::new()));
        let received = Arc::clone(&notices);
        serve(listener, move |s| {
            let Ok(read) = s.try_clone() else { return };
            let (mut reader, mut s) = (BufReader::new(read), s);
            while let Some(r) = read_request(&mut reader) {
                let done = if r.method == "POST" {
                    for line in String::from_utf8_lossy(&r.body).lines().filter(|l| !l.trim().is_empty()) {
                        note(format!("platform: notice {line}"));
                        received.lock().unwrap().push((ms(), line.to_string()));
                    }
                    write_answer(&mut s, 204, "", "")
                } else if r.target.contains("watch=1") {
                    return watch(&mut s, &list, &r.target);
                } else {
                    write_answer(&mut s, 200, "Content-Type: application/json\r\n", &list_json(1, &list))
                };
                if done.is_err() {
                    return;
                }
            }
        });
        Platform { address, notices }
    }
}

fn watch(s: &mut TcpStream, list: &[Listed], target: &str) {
    let after: u64 = target.split("after=").nth(1).and_then(|t| t.parse().ok()).unwrap_or(0);
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let mut first = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_string();
    let whole = format!("{}\n", list_json(1, list));
    first.push_str(&chunk(if after < 1 { &whole } else { "\n" }));
    let mut next = first;
    while s.write_all(next.as_bytes()).is_ok() {
        sleep(2_000);
        next = chunk("\n");
    }
}

// ---------------------------------------------------------------------------------------------------------
// Endpoints

/// A call that an endpoint has received whole.
#[derive(Clone)]
pub struct Call {
    pub at: u64,
    pub endpoint: String,
    pub zone: String,
    pub id: String,
    pub key: String,
    pub body: String,
    /// The status that was answered.
    pub status: u32,
}

/// What an endpoint does with a call: the status, the headers, and after how many milliseconds.
pub struct Reply {
    pub status: u32,
    pub headers: String,
    pub after: u64,
}

/// What all endpoints of the case recorded, in the order in which the calls began.
#[derive(Clone, Default)]
pub struct Calls(pub Arc<Mutex<Vec<Call>>>);

impl Calls {
    pub fn all(&self) -> Vec<Call> {
        self.0.lock().unwrap().clone()
    }

    /// The calls of a message that ran, by its body.
    pub fn runs_of(&self, body: &str) -> Vec<Call> {
        self.all().into_iter().filter(|c| c.body == body && c.status == 200).collect()
    }
}

/// Starts an endpoint. A call that it answers with 200 has run.
pub fn endpoint(
    listed: &mut Vec<Listed>,
    (uid, zone, model, dest): (&str, &str, &str, u64),
    calls: &Calls,
    decide: impl Fn(&Request) -> Reply + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let address = listener.local_addr().expect("no address");
    listed.push(Listed { uid: uid.into(), address, zone: zone.into(), model: model.into(), dest });
    let (uid, zone, calls) = (uid.to_string(), zone.to_string(), calls.clone());
    serve(listener, move |s| {
        let Ok(read) = s.try_clone() else { return };
        let (mut reader, mut s) = (BufReader::new(read), s);
        while let Some(r) = read_request(&mut reader) {
            let reply = decide(&r);
            if r.method == "POST" {
                let text = |name: &str| r.header(name).to_string();
                let call = Call {
                    at: ms(),
                    endpoint: uid.clone(),
                    zone: zone.clone(),
                    id: text("x-txn"),
                    key: text("idempotency-key"),
                    body: String::from_utf8_lossy(&r.body).to_string(),
                    status: reply.status,
                };
                note(format!(
                    "endpoint {uid} ({zone}): call {} '{}' {} {}",
                    call.id,
                    call.body,
                    if call.status == 200 { "runs, answer" } else { "is turned away," },
                    call.status
                ));
                calls.0.lock().unwrap().push(call);
            }
            sleep(reply.after);
            if write_answer(&mut s, reply.status, &reply.headers, "").is_err() {
                return;
            }
        }
    });
    address
}

/// A limit of a member: at most `most` calls in any span of `span` milliseconds.
pub struct Window {
    most: usize,
    span: u64,
    begun: Mutex<Vec<u64>>,
}

impl Window {
    pub fn new(most: usize, span: u64) -> Window {
        Window { most, span, begun: Mutex::new(Vec::new()) }
    }

    /// Takes a call if there is room; the share of the limit that is left.
    pub fn take(&self) -> Result<f64, f64> {
        let now = ms();
        let mut begun = self.begun.lock().unwrap();
        begun.retain(|t| t + self.span > now);
        if begun.len() >= self.most {
            return Err(0.0);
        }
        begun.push(now);
        Ok(1.0 - begun.len() as f64 / self.most as f64)
    }
}

// ---------------------------------------------------------------------------------------------------------
// RESP2 clients

/// Sends one command and reads the line of its answer.
pub fn resp(s: &mut TcpStream, parts: &[&str]) -> io::Result<String> {
    let mut text = format!("*{}\r\n", parts.len());
    for p in parts {
        text.push_str(&format!("${}\r\n{p}\r\n", p.len()));
    }
    s.write_all(text.as_bytes())?;
    let mut line = Vec::new();
    let mut byte = [0];
    while !line.ends_with(b"\r\n") {
        s.read_exact(&mut byte)?;
        line.push(byte[0]);
    }
    Ok(String::from_utf8_lossy(&line[..line.len() - 2]).to_string())
}

pub fn resp_connect(at: SocketAddr) -> io::Result<TcpStream> {
    let s = TcpStream::connect_timeout(&at, Duration::from_millis(400))?;
    s.set_nodelay(true)?;
    s.set_read_timeout(Some(Duration::from_millis(400)))?;
    Ok(s)
}

/// Waits until a dispatcher answers `PING` with `+PONG`.
pub fn wait_for_pong(at: SocketAddr, most: u64) {
    let pong = || {
        let Ok(mut s) = resp_connect(at) else { return false };
        resp(&mut s, &["PING"]).is_ok_and(|a| a == "+PONG")
    };
    if !wait_until(most, pong) {
        give_up(format!("the dispatcher at {at} is not ready"));
    }
}

// ---------------------------------------------------------------------------------------------------------
// A proxy that can be cut

/// Forwards connections to an address. While it is cut, nothing passes in either direction and nothing is
/// said: open connections stay open and silent, and new ones never come up. Open connections are ended when
/// the cut ends, and what was sent on them during it never arrives.
pub struct Proxy {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<(TcpStream, TcpStream)>>>,
    /// Connections that fill the listener's queue during a cut, so that no other one comes up.
    filling: Mutex<Vec<TcpStream>>,
}

impl Proxy {
    /// `delay`: how long bytes take one way, in milliseconds.
    pub fn start(to: SocketAddr, delay: u64) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let address = listener.local_addr().expect("no address");
        let cut = Arc::new(AtomicBool::new(false));
        let open: Arc<Mutex<Vec<(TcpStream, TcpStream)>>> = Arc::default();
        let (is_cut, all) = (Arc::clone(&cut), Arc::clone(&open));
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                while is_cut.load(Ordering::SeqCst) {
                    sleep(5);
                }
                let (is_cut, all) = (Arc::clone(&is_cut), Arc::clone(&all));
                thread::spawn(move || carry(near, to, delay, &is_cut, &all));
            }
        });
        Proxy { address, cut, open, filling: Mutex::default() }
    }

    /// Cuts the path. `refuse_new`: new connections never come up; else only open ones fall silent.
    pub fn cut(&self, refuse_new: bool) {
        self.cut.store(true, Ordering::SeqCst);
        let mut filling = self.filling.lock().unwrap();
        while refuse_new && filling.len() < 600 {
            match TcpStream::connect_timeout(&self.address, Duration::from_millis(50)) {
                Ok(s) => filling.push(s),
                Err(_) => return,
            }
        }
    }

    /// Ends the cut.
    pub fn heal(&self) {
        self.filling.lock().unwrap().clear();
        for (a, b) in self.open.lock().unwrap().drain(..) {
            let _ = a.shutdown(Shutdown::Both);
            let _ = b.shutdown(Shutdown::Both);
        }
        self.cut.store(false, Ordering::SeqCst);
    }
}

/// Carries one connection.
fn carry(
    near: TcpStream,
    to: SocketAddr,
    delay: u64,
    cut: &Arc<AtomicBool>,
    all: &Mutex<Vec<(TcpStream, TcpStream)>>,
) {
    let Ok(far) = TcpStream::connect_timeout(&to, Duration::from_millis(500)) else { return };
    let (_, _) = (near.set_nodelay(true), far.set_nodelay(true));
    let clone = |s: &TcpStream| s.try_clone().ok();
    let (Some(a), Some(b), Some(c), Some(d)) = (clone(&near), clone(&far), clone(&near), clone(&far)) else {
        return;
    };
    all.lock().unwrap().push((c, d));
    let other = Arc::clone(cut);
    thread::spawn(move || forward(a, far, delay, &other));
    forward(b, near, delay, cut);
}

fn forward(mut from: TcpStream, mut to: TcpStream, delay: u64, cut: &AtomicBool) {
    let mut bytes = [0; 64 * 1024];
    loop {
        let n = match from.read(&mut bytes) {
            Ok(n) if n > 0 => n,
            _ => break,
        };
        sleep(delay);
        // What is sent during a cut never arrives.
        if cut.load(Ordering::SeqCst) || to.write_all(&bytes[..n]).is_err() {
            break;
        }
    }
    while cut.load(Ordering::SeqCst) {
        sleep(5);
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
