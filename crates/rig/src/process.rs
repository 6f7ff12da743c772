//! One dispatcher of a scenario: its processes one after the other (or two beside each other), its folder, and the damage
//! that is done to it.

use crate::scenario::Signal;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A start that does not say where it listens in this time failed.
const START_MOST: Duration = Duration::from_secs(15);

/// One process of the program, in its folder; started again as the timeline says.
pub(crate) struct Process {
    pub(crate) folder: PathBuf,
    pub(crate) config: PathBuf,
    /// Where it is to listen, on a port of the system's choice.
    listen: SocketAddr,
    /// The operators' file on coming back, if it has one.
    pub(crate) together: Option<PathBuf>,
    /// More variables of its processes: the library of `crates/faults` and its schedule.
    pub(crate) variables: Vec<(String, String)>,
    child: Option<Child>,
    /// The processes beside it that were told to leave, during an upgrade.
    leaving: Vec<Child>,
    /// Where it takes clients now; the last address while it is down.
    pub(crate) address: Arc<Mutex<Option<SocketAddr>>>,
    /// When it began and ended to take clients.
    pub(crate) lives: Vec<(Instant, Option<Instant>)>,
}

impl Process {
    /// The `n`th dispatcher of a play of this rig. It listens on a loopback address that is the play's and its own: on a
    /// shared one the system may give the port of one that is down to a dispatcher of another play, whose clients then come
    /// there.
    pub(crate) fn new(
        (play, n): (usize, usize),
        folder: PathBuf,
        config: PathBuf,
        together: Option<PathBuf>,
    ) -> Process {
        let pid = std::process::id();
        let (rig, play) = ((pid >> 8 & 0x1f) as u8, (play & 0x3) as u8);
        let ip = [127, 1 + (rig << 2 | play), (pid & 0xff) as u8, 1 + n as u8];
        let (child, leaving, lives) = (None, Vec::new(), Vec::new());
        let listen = SocketAddr::from((ip, 0));
        let (address, variables) = (Arc::default(), Vec::new());
        Process { folder, listen, config, together, variables, child, leaving, address, lives }
    }

    /// Its own address, with this port.
    pub(crate) fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.listen.ip(), port)
    }

    /// Starts it where the last one has ended; false if it does not listen in time.
    pub(crate) fn start(&mut self, program: &Path, registry: SocketAddr, clock_ms: i64) -> bool {
        self.stop();
        self.spawn(program, registry, clock_ms, self.listen)
    }

    /// Starts one beside it on the same address and folder, and then tells it to leave.
    pub(crate) fn upgrade(&mut self, program: &Path, registry: SocketAddr, clock_ms: i64) -> bool {
        let at = *self.address.lock().unwrap_or_else(|e| e.into_inner());
        let (Some(at), Some(old)) = (at, self.child.take()) else { return false };
        let came = self.spawn(program, registry, clock_ms, at);
        signal(&old, "-TERM");
        self.leaving.push(old);
        came
    }

    fn spawn(&mut self, program: &Path, registry: SocketAddr, clock_ms: i64, listen: SocketAddr) -> bool {
        let together = self.together.as_ref().map(|p| p.display().to_string());
        let child = Command::new(program)
            .env("LILACBANK_TOGETHER", together.unwrap_or_default())
            .env("ROUTER_CONFIG", &self.config)
            .env("ROUTER_LISTEN", listen.to_string())
            .env("ROUTER_DISCOVERY", registry.to_string())
            .env("ROUTER_STATE", self.folder.join("state"))
            .env("LILACBANK_CLOCK_OFFSET_MS", clock_ms.to_string())
            .env("RUST_LOG", std::env::var("RUST_LOG").unwrap_or("info".into()))
            .envs(self.variables.iter().map(|(name, value)| (name, value)))
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn();
        let Ok(mut child) = child else { return false };
        let (tell, heard) = std::sync::mpsc::channel();
        if let Some(err) = child.stderr.take() {
            // Its whole log is kept beside its folder, for a look after a play that went wrong.
            let mut log =
                std::fs::File::options().append(true).create(true).open(self.folder.join("log")).ok();
            thread::spawn(move || {
                for line in BufReader::new(err).lines().map_while(Result::ok) {
                    let _ = log.as_mut().map(|f| writeln!(f, "{line}"));
                    if let Some((_, rest)) = line.split_once(" listens on ") {
                        let _ = tell.send(rest.split(' ').next().and_then(|a| a.parse::<SocketAddr>().ok()));
                    }
                }
            });
        }
        self.child = Some(child);
        match heard.recv_timeout(START_MOST) {
            Ok(Some(at)) => {
                *self.address.lock().unwrap_or_else(|e| e.into_inner()) = Some(at);
                self.lives.push((Instant::now(), None));
                true
            }
            _ => false,
        }
    }

    pub(crate) fn kill(&mut self) {
        for mut child in self.leaving.drain(..).chain(self.child.take()) {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.ended();
    }

    fn ended(&mut self) {
        self.lives.iter_mut().for_each(|l| l.1 = l.1.or(Some(Instant::now())));
    }

    pub(crate) fn term(&mut self) {
        if let Some(child) = &self.child {
            signal(child, "-TERM");
        }
        self.ended();
    }

    /// Puts the registry's address into its configuration and has it read that again.
    pub(crate) fn reload(&self, registry: SocketAddr) -> std::io::Result<()> {
        let mut config: serde_json::Value = serde_json::from_str(&std::fs::read_to_string(&self.config)?)?;
        config["discovery"] = registry.to_string().into();
        std::fs::write(&self.config, config.to_string())?;
        self.child.iter().for_each(|c| signal(c, "-HUP"));
        Ok(())
    }

    /// Sends it signals one after another.
    pub(crate) fn signals(&self, series: &[Signal], gap: Duration) {
        for s in series {
            self.child.iter().for_each(|c| signal(c, s.option()));
            thread::sleep(gap);
        }
    }

    /// Asks it to write its counters to its log.
    pub(crate) fn count(&self) {
        self.child.iter().for_each(|c| signal(c, "-USR1"));
    }

    /// Waits for an end that was asked for, and kills what is still there.
    pub(crate) fn stop(&mut self) {
        let until = Instant::now() + Duration::from_secs(4);
        for child in self.leaving.iter_mut().chain(&mut self.child) {
            while Instant::now() < until && matches!(child.try_wait(), Ok(None)) {
                thread::sleep(Duration::from_millis(20));
            }
        }
        self.kill();
    }

    /// Flips one bit in the body of the record in the middle of its journal; false if it has none.
    pub(crate) fn flip(&self, seed: u64) -> bool {
        let path = self.folder.join("state").join("journal");
        let Ok(mut bytes) = std::fs::read(&path) else { return false };
        let mut starts = Vec::new();
        let mut at = 0;
        while at + 9 <= bytes.len() {
            starts.push(at);
            let len = u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]) as usize;
            at += 8 + len;
        }
        let Some(&at) = starts.get(starts.len() / 2) else { return false };
        let len = u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]) as usize;
        let byte = at + 8 + (seed as usize % len.max(1));
        if let Some(b) = bytes.get_mut(byte) {
            *b ^= 1 << (seed % 8);
        }
        std::fs::write(&path, bytes).is_ok()
    }

    /// Cuts its journal off at a byte drawn from the seed; false if it has none.
    pub(crate) fn tear(&self, seed: u64) -> bool {
        let path = self.folder.join("state").join("journal");
        let Ok(bytes) = std::fs::read(&path) else { return false };
        let at = StdRng::seed_from_u64(seed).random_range(0..bytes.len().max(1));
        !bytes.is_empty() && std::fs::write(&path, &bytes[..at]).is_ok()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn signal(child: &Child, name: &str) {
    let _ = Command::new("kill").args([name, &child.id().to_string()]).status();
}
