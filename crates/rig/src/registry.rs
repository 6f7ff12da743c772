//! Stand-in for the platform's registry and for its receiver of notices.
//!
//! A watch never ends and sends each revision of the endpoint list as a JSON object on a line. The time of every watch request is
//! recorded, so that a thundering herd can be measured.

use lilacbank_load::member::read_request;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// The registry and the receiver of notices of one installation. Clones share their state.
#[derive(Debug, Clone)]
pub struct Registry {
    /// The address for dispatchers (`$ROUTER_DISCOVERY`).
    pub address: SocketAddr,
    /// The revisions of the endpoint list, as JSON; the first one is whole, the others are changes.
    revisions: Arc<Mutex<Vec<String>>>,
    /// The whole list of an older revision that new watches get instead, while the registry is set back.
    older: Arc<Mutex<Option<String>>>,
    /// The notices received, one JSON object each.
    pub notices: Arc<Mutex<Vec<String>>>,
    /// When each notice came.
    pub notice_times: Arc<Mutex<Vec<Instant>>>,
    /// Number of requests with notices that are still to be answered with 500 and not with 204.
    pub notices_to_fail: Arc<Mutex<usize>>,
    /// Generation of the watches; those that began in an earlier one are closed.
    watch_generation: Arc<Mutex<usize>>,
    /// When each watch was requested.
    pub watch_requests: Arc<Mutex<Vec<Instant>>>,
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

/// One entry of the endpoint list, in the platform's format.
pub fn list_entry(uid: &str, address: &str, zone: &str, dest: u64, state: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"{zone}","model":"m","pod_group":{dest},"state":"{state}"}}"#
    )
}

/// A whole endpoint list of this revision.
fn whole_list(rev: u64, entries: &[String]) -> String {
    format!(r#"{{"rev":{rev},"all":true,"targets":[{}]}}"#, entries.join(","))
}

impl Registry {
    /// Starts a registry on a port that the system assigns. Revision 1 of its list is whole and has these entries.
    ///
    /// # Errors
    ///
    /// If no port can be bound on loopback.
    pub fn start(entries: &[String]) -> std::io::Result<Registry> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let registry = Registry {
            address: listener.local_addr()?,
            revisions: Arc::new(Mutex::new(vec![whole_list(1, entries)])),
            older: Arc::default(),
            notices: Arc::default(),
            notice_times: Arc::default(),
            notices_to_fail: Arc::default(),
            watch_generation: Arc::default(),
            watch_requests: Arc::default(),
        };
        registry.clone().listen(listener);
        Ok(registry)
    }

    /// Starts a view of this registry for one dispatcher: at another address, and with that dispatcher's own addresses for the
    /// endpoints. Everything else is shared.
    ///
    /// # Errors
    ///
    /// If no port can be bound on loopback.
    pub fn start_view(&self, entries: &[String]) -> std::io::Result<Registry> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (address, revisions) =
            (listener.local_addr()?, Arc::new(Mutex::new(vec![whole_list(1, entries)])));
        let registry = Registry { address, revisions, ..self.clone() };
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
        while let Some(request) = read_request(&mut reader) {
            if request.line.starts_with("POST") {
                let mut deaf = lock(&self.notices_to_fail);
                let text = String::from_utf8_lossy(&request.body).into_owned();
                let (mut notices, mut times) = (lock(&self.notices), lock(&self.notice_times));
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
            lock(&self.watch_requests).push(Instant::now());
            out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
            let after = request.line.split("after=").nth(1).and_then(|r| r.split([' ', '&']).next());
            let mut next = after.and_then(|r| r.parse().ok()).unwrap_or(0);
            let generation = *lock(&self.watch_generation);
            if let Some(older) = lock(&self.older).clone() {
                let line = older + "\n";
                out.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).ok()?;
                next = usize::MAX;
            }
            while *lock(&self.watch_generation) == generation {
                let new = lock(&self.revisions).get(next..).map(<[String]>::to_vec).unwrap_or_default();
                next += new.len();
                let lines = if new.is_empty() { "\n".to_string() } else { new.join("\n") + "\n" };
                out.write_all(format!("{:x}\r\n{lines}\r\n", lines.len()).as_bytes()).ok()?;
                thread::sleep(Duration::from_millis(20));
            }
            return None;
        }
        None
    }

    /// Closes all watches; new ones continue after the revision that they name.
    pub fn close_watches(&self) {
        *lock(&self.watch_generation) += 1;
    }

    /// Makes each new watch get this whole list under an older revision, and nothing after it, like a registry that was restored
    /// from a backup. `None` ends this.
    pub fn restore_older(&self, older: Option<(u64, &[String])>) {
        *lock(&self.older) = older.map(|(rev, entries)| whole_list(rev, entries));
        self.close_watches();
    }

    /// Publishes a change of the list, with this entry, as the next revision.
    pub fn publish_change(&self, entry: &str) {
        let mut revisions = lock(&self.revisions);
        let rev = revisions.len() + 1;
        revisions.push(format!(r#"{{"rev":{rev},"all":false,"targets":[{entry}]}}"#));
    }

    /// Publishes a change of the list, with this entry and without a revision.
    pub fn publish_unnumbered_change(&self, entry: &str) {
        lock(&self.revisions).push(format!(r#"{{"all":false,"targets":[{entry}]}}"#));
    }

    /// The notices that contain this text (a message id).
    pub fn notices_for(&self, id: &str) -> Vec<String> {
        lock(&self.notices).iter().filter(|n| n.contains(id)).cloned().collect()
    }

    /// Number of watch requests in the busiest span of this length, and in total.
    pub fn max_watch_requests_in(&self, span: Duration) -> (usize, usize) {
        let asks = lock(&self.watch_requests).clone();
        let busiest = asks
            .iter()
            .map(|a| asks.iter().filter(|b| **b >= *a && b.duration_since(*a) < span).count())
            .max();
        (busiest.unwrap_or(0), asks.len())
    }
}
