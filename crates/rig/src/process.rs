//! One dispatcher of a scenario: its processes (one after the other, or two during an upgrade), its folder, and the damage done
//! to that folder.

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

/// A start fails if the process does not log its address within this time.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Number of MQTT clients that a dispatcher serves.
const MQTT_SESSIONS: usize = 16;

/// One dispatcher with its folder, whose processes are started as the timeline says.
pub(crate) struct Dispatcher {
    pub(crate) folder: PathBuf,
    pub(crate) config: PathBuf,
    /// The address on which it is to listen, with port 0.
    listen: SocketAddr,
    /// The operators' `together.toml`, if it has one.
    pub(crate) together: Option<PathBuf>,
    /// Further environment variables of its processes: the library of `crates/faults` and its schedule.
    pub(crate) variables: Vec<(String, String)>,
    child: Option<Child>,
    /// Processes that got SIGTERM in an upgrade.
    terminating: Vec<Child>,
    /// The address on which it accepts clients; the last one while it is down.
    pub(crate) address: Arc<Mutex<Option<SocketAddr>>>,
    /// Whether its processes have the MQTT front end.
    pub(crate) serves_mqtt: bool,
    /// The address on which it accepts MQTT clients; the last one while it is down.
    pub(crate) mqtt_address: Arc<Mutex<Option<SocketAddr>>>,
    /// The ids of all its processes so far.
    pub(crate) process_ids: Arc<Mutex<Vec<u32>>>,
    /// When it began and ceased to accept clients.
    pub(crate) serving: Vec<(Instant, Option<Instant>)>,
}

impl Dispatcher {
    /// The `n`th dispatcher of a run. It listens on a loopback address of its own. On a shared address the system could assign
    /// the port of a dispatcher that is down to a dispatcher of another run, which would then get the first one's clients.
    pub(crate) fn new(
        (run, n): (usize, usize),
        folder: PathBuf,
        config: PathBuf,
        together: Option<PathBuf>,
    ) -> Dispatcher {
        let pid = std::process::id();
        let (rig, run) = ((pid >> 8 & 0x1f) as u8, (run & 0x3) as u8);
        let ip = [127, 1 + (rig << 2 | run), (pid & 0xff) as u8, 1 + n as u8];
        let (child, terminating, serving) = (None, Vec::new(), Vec::new());
        let listen = SocketAddr::from((ip, 0));
        let (address, variables) = (Arc::default(), Vec::new());
        Dispatcher {
            folder,
            listen,
            config,
            together,
            variables,
            child,
            terminating,
            address,
            serves_mqtt: false,
            mqtt_address: Arc::default(),
            process_ids: Arc::default(),
            serving,
        }
    }

    /// Its loopback address, with this port.
    pub(crate) fn with_port(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.listen.ip(), port)
    }

    /// Stops the running process, if any, and starts a new one; false if that does not listen in time.
    pub(crate) fn start(&mut self, program: &Path, registry: SocketAddr, clock_ms: i64) -> bool {
        self.stop();
        self.spawn(program, registry, clock_ms, self.listen)
    }

    /// Starts a sibling process on the same address and folder, then sends SIGTERM to the first one; false if there is none, or
    /// if the new one does not listen in time.
    pub(crate) fn upgrade(&mut self, program: &Path, registry: SocketAddr, clock_ms: i64) -> bool {
        let address = *self.address.lock().unwrap_or_else(|e| e.into_inner());
        let (Some(address), Some(old)) = (address, self.child.take()) else { return false };
        let started = self.spawn(program, registry, clock_ms, address);
        signal(&old, "-TERM");
        self.terminating.push(old);
        started
    }

    /// Starts a process and waits until it listens; false if it does not in time.
    fn spawn(&mut self, program: &Path, registry: SocketAddr, clock_ms: i64, listen: SocketAddr) -> bool {
        let together = self.together.as_ref().map(|p| p.display().to_string());
        let Ok(mqtt) = self.write_mqtt_file(listen) else { return false };
        let child = Command::new(program)
            .env("LILACBANK_TOGETHER", together.unwrap_or_default())
            .env("LILACBANK_MQTT", mqtt)
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
        self.process_ids.lock().unwrap_or_else(|e| e.into_inner()).push(child.id());
        let mqtt_address = self.mqtt_address.clone();
        let (sender, listening) = std::sync::mpsc::channel();
        if let Some(err) = child.stderr.take() {
            // The whole log is kept next to the state folder, for the analysis of failed runs.
            let mut log =
                std::fs::File::options().append(true).create(true).open(self.folder.join("log")).ok();
            thread::spawn(move || {
                for line in BufReader::new(err).lines().map_while(Result::ok) {
                    let _ = log.as_mut().map(|f| writeln!(f, "{line}"));
                    if let Some((_, rest)) = line.split_once("MQTT clients are served on ") {
                        let address = rest.split([' ', '"']).next().and_then(|a| a.parse().ok());
                        *mqtt_address.lock().unwrap_or_else(|e| e.into_inner()) = address;
                    }
                    if let Some((_, rest)) = line.split_once(" listens on ") {
                        let _ =
                            sender.send(rest.split(' ').next().and_then(|a| a.parse::<SocketAddr>().ok()));
                    }
                }
            });
        }
        self.child = Some(child);
        match listening.recv_timeout(START_TIMEOUT) {
            Ok(Some(address)) => {
                *self.address.lock().unwrap_or_else(|e| e.into_inner()) = Some(address);
                self.serving.push((Instant::now(), None));
                true
            }
            _ => false,
        }
    }

    /// Writes the file of the MQTT front end for a process that listens on this address. A sibling process has the same
    /// address for MQTT clients, too.
    fn write_mqtt_file(&self, listen: SocketAddr) -> std::io::Result<PathBuf> {
        let known = *self.mqtt_address.lock().unwrap_or_else(|e| e.into_inner());
        let address = known.filter(|_| listen.port() != 0).unwrap_or(self.listen);
        let path = self.folder.join("mqtt.toml");
        let enabled = self.serves_mqtt;
        let text =
            format!("[acceptor]\nenabled = {enabled}\nlisten = \"{address}\"\nsessions = {MQTT_SESSIONS}\n");
        std::fs::write(&path, text)?;
        Ok(path)
    }

    /// Kills all its processes.
    pub(crate) fn kill(&mut self) {
        for mut child in self.terminating.drain(..).chain(self.child.take()) {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.end_serving();
    }

    fn end_serving(&mut self) {
        self.serving.iter_mut().for_each(|s| s.1 = s.1.or(Some(Instant::now())));
    }

    /// Sends it SIGTERM.
    pub(crate) fn terminate(&mut self) {
        if let Some(child) = &self.child {
            signal(child, "-TERM");
        }
        self.end_serving();
    }

    /// Writes the registry's address to its configuration and makes it read that again (SIGHUP).
    pub(crate) fn reload(&self, registry: SocketAddr) -> std::io::Result<()> {
        let mut config: serde_json::Value = serde_json::from_str(&std::fs::read_to_string(&self.config)?)?;
        config["discovery"] = registry.to_string().into();
        std::fs::write(&self.config, config.to_string())?;
        self.child.iter().for_each(|c| signal(c, "-HUP"));
        Ok(())
    }

    /// Sends it these signals, with `gap` after each.
    pub(crate) fn send_signals(&self, series: &[Signal], gap: Duration) {
        for s in series {
            self.child.iter().for_each(|c| signal(c, s.kill_option()));
            thread::sleep(gap);
        }
    }

    /// Makes it write its counters to its log.
    pub(crate) fn dump_counters(&self) {
        self.child.iter().for_each(|c| signal(c, "-USR1"));
    }

    /// Waits up to 4 s for its processes to end, then kills the remaining ones.
    pub(crate) fn stop(&mut self) {
        let until = Instant::now() + Duration::from_secs(4);
        for child in self.terminating.iter_mut().chain(&mut self.child) {
            while Instant::now() < until && matches!(child.try_wait(), Ok(None)) {
                thread::sleep(Duration::from_millis(20));
            }
        }
        self.kill();
    }

    /// Flips one bit in the body of the middle record of its journal; false if there is none.
    pub(crate) fn flip_journal_bit(&self, seed: u64) -> bool {
        let path = self.folder.join("state").join("journal");
        let Ok(mut bytes) = std::fs::read(&path) else { return false };
        let mut starts = Vec::new();
        let mut start = 0;
        while start + 9 <= bytes.len() {
            starts.push(start);
            let len = u32::from_le_bytes([bytes[start], bytes[start + 1], bytes[start + 2], bytes[start + 3]])
                as usize;
            start += 8 + len;
        }
        let Some(&start) = starts.get(starts.len() / 2) else { return false };
        let len =
            u32::from_le_bytes([bytes[start], bytes[start + 1], bytes[start + 2], bytes[start + 3]]) as usize;
        let byte = start + 8 + (seed as usize % len.max(1));
        if let Some(b) = bytes.get_mut(byte) {
            *b ^= 1 << (seed % 8);
        }
        std::fs::write(&path, bytes).is_ok()
    }

    /// Truncates its journal at a byte drawn from the seed; false if it has none.
    pub(crate) fn truncate_journal(&self, seed: u64) -> bool {
        let path = self.folder.join("state").join("journal");
        let Ok(bytes) = std::fs::read(&path) else { return false };
        let length = StdRng::seed_from_u64(seed).random_range(0..bytes.len().max(1));
        !bytes.is_empty() && std::fs::write(&path, &bytes[..length]).is_ok()
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        self.kill();
    }
}

fn signal(child: &Child, name: &str) {
    let _ = Command::new("kill").args([name, &child.id().to_string()]).status();
}
