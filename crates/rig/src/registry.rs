//! The platform's registry as a stand-in: a watch that never ends and brings each version of the list, one JSON object
//! a line, and a place where notices are posted. Every asking is timed, for the count of a stampede.

use lilacbank_load::member::request;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// The registry and notice place of one installation.
#[derive(Debug, Clone)]
pub struct Registry {
    /// Where the dispatchers reach it (`$ROUTER_DISCOVERY`).
    pub address: SocketAddr,
    lists: Arc<Mutex<Vec<String>>>,
    /// A whole list of an older revision that is told instead, by a registry that was set back.
    older: Arc<Mutex<Option<String>>>,
    /// Lines of the notices posted, one JSON object each.
    pub notices: Arc<Mutex<Vec<String>>>,
    /// When each of them came.
    pub noticed_at: Arc<Mutex<Vec<Instant>>>,
    /// So many notices are answered 500, not 204.
    pub deaf: Arc<Mutex<usize>>,
    /// Watches that began with an earlier number are broken.
    watches: Arc<Mutex<usize>>,
    /// When each watch was asked for.
    pub asks: Arc<Mutex<Vec<Instant>>>,
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

/// One entry of the list, as the platform writes it.
pub fn entry(uid: &str, address: &str, zone: &str, dest: u64, state: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"{zone}","model":"m","pod_group":{dest},"state":"{state}"}}"#
    )
}

/// A whole list of this revision.
fn whole(rev: u64, entries: &[String]) -> String {
    format!(r#"{{"rev":{rev},"all":true,"targets":[{}]}}"#, entries.join(","))
}

impl Registry {
    /// Starts on a port from the OS with a first, whole list of these entries (revision 1).
    ///
    /// # Errors
    ///
    /// No port can be had on loopback.
    pub fn start(entries: &[String]) -> std::io::Result<Registry> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let registry = Registry {
            address: listener.local_addr()?,
            lists: Arc::new(Mutex::new(vec![whole(1, entries)])),
            older: Arc::default(),
            notices: Arc::default(),
            noticed_at: Arc::default(),
            deaf: Arc::default(),
            watches: Arc::default(),
            asks: Arc::default(),
        };
        registry.clone().listen(listener);
        Ok(registry)
    }

    /// The same registry at an address of its own, with other addresses of the same endpoints: as one dispatcher sees
    /// it, whose paths are its own.
    ///
    /// # Errors
    ///
    /// No port can be had on loopback.
    pub fn beside(&self, entries: &[String]) -> std::io::Result<Registry> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (address, lists) = (listener.local_addr()?, Arc::new(Mutex::new(vec![whole(1, entries)])));
        let registry = Registry { address, lists, ..self.clone() };
        registry.clone().listen(listener);
        Ok(registry)
    }

    fn listen(self, listener: TcpListener) {
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let r = self.clone();
                thread::spawn(move || r.serve(stream));
            }
        });
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut out = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = request(&mut reader) {
            if request.line.starts_with("POST") {
                let mut deaf = lock(&self.deaf);
                let text = String::from_utf8_lossy(&request.body).into_owned();
                let (mut notices, mut times) = (lock(&self.notices), lock(&self.noticed_at));
                notices.extend(text.lines().map(String::from));
                times.resize(notices.len(), Instant::now());
                if *deaf > 0 {
                    *deaf -= 1;
                    out.write_all(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n").ok()?;
                } else {
                    out.write_all(b"HTTP/1.1 204 Done\r\n\r\n").ok()?;
                }
                continue;
            }
            lock(&self.asks).push(Instant::now());
            out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
            let after = request.line.split("after=").nth(1).and_then(|r| r.split([' ', '&']).next());
            let mut next = after.and_then(|r| r.parse().ok()).unwrap_or(0);
            let began = *lock(&self.watches);
            if let Some(older) = lock(&self.older).clone() {
                let line = older + "\n";
                out.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).ok()?;
                next = usize::MAX;
            }
            while *lock(&self.watches) == began {
                let news = lock(&self.lists).get(next..).map(<[String]>::to_vec).unwrap_or_default();
                next += news.len();
                let lines = if news.is_empty() { "\n".to_string() } else { news.join("\n") + "\n" };
                out.write_all(format!("{:x}\r\n{lines}\r\n", lines.len()).as_bytes()).ok()?;
                thread::sleep(Duration::from_millis(20));
            }
            return None;
        }
        None
    }

    /// Breaks all watches; new ones go on after the version that they name.
    pub fn break_watches(&self) {
        *lock(&self.watches) += 1;
    }

    /// From now on each new watch is told this whole list under an older revision, and nothing after it: a registry set
    /// back to a backup. None ends it.
    pub fn set_back(&self, older: Option<(u64, &[String])>) {
        *lock(&self.older) = older.map(|(rev, entries)| whole(rev, entries));
        self.break_watches();
    }

    /// Tells a change of the list: these entries, as the next revision.
    pub fn push(&self, entry: &str) {
        let mut lists = lock(&self.lists);
        let rev = lists.len() + 1;
        lists.push(format!(r#"{{"rev":{rev},"all":false,"targets":[{entry}]}}"#));
    }

    /// The notices that name this text (a message id).
    pub fn noticed(&self, id: &str) -> Vec<String> {
        lock(&self.notices).iter().filter(|n| n.contains(id)).cloned().collect()
    }

    /// Askings for the watch in the busiest span of this length, and how many in all.
    pub fn busiest(&self, span: Duration) -> (usize, usize) {
        let asks = lock(&self.asks).clone();
        let most = asks
            .iter()
            .map(|a| asks.iter().filter(|b| **b >= *a && b.duration_since(*a) < span).count())
            .max();
        (most.unwrap_or(0), asks.len())
    }
}
