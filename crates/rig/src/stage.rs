//! What stands round the dispatchers of a play, and what the steps of its timeline do to it.

use crate::process::Process;
use crate::scenario::{FaultName, Faults, MemberStep, PathName, RegistryStep, Scenario, Step};
use crate::{config, Fault, Proxy, Registry};
use lilacbank_load::connection_fault::FaultPlan;
use lilacbank_load::member::{Endpoint, Limit, Manner};
use rustix::time::{clock_gettime, ClockId};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Part of its limit that a member serves when it has just come back, as the settings tell dispatchers.
const COLD_FROM: f64 = 0.5;
/// A cold member falls over when more than so many times its reduced limit come,
const FALL_FACTOR: f64 = 2.0;
/// within this span, and stays away
const FALL_OVER: Duration = Duration::from_millis(2_000);
/// for so long.
const FALL_AWAY: Duration = Duration::from_secs(3);
/// The wait that a member over its limit tells.
const LIMIT_WAIT: Duration = Duration::from_millis(300);

/// Of the requests at an endpoint that ends its connections one in so many meets such an end,
const CONNECTION_FAULT_ONE_IN: usize = 4;
/// and is read so much later, where it crosses the end.
const READ_LATER: Duration = Duration::from_millis(15);
/// Between two signals of a series.
const SIGNAL_GAP: Duration = Duration::from_millis(30);

/// The paths of one dispatcher.
struct Paths {
    /// The registry as it sees it,
    registry: Registry,
    /// the proxy before that,
    to_registry: Proxy,
    /// and one before each endpoint.
    to_members: Vec<Proxy>,
}

/// What stands round the dispatchers of a play.
pub(crate) struct Stage {
    pub(crate) members: Vec<Endpoint>,
    /// Endpoints of each member.
    each: usize,
    pub(crate) registry: Registry,
    /// The paths of each dispatcher.
    paths: Vec<Paths>,
    pub(crate) processes: Vec<Process>,
    /// The proxies between dispatchers, by who connects to whom.
    mates: Vec<(usize, usize, Proxy)>,
    /// When each member came back from an outage.
    pub(crate) back: Vec<(usize, Instant)>,
    pub(crate) failed_starts: usize,
    /// Whether a dispatcher's configuration names the registry itself or the proxy before it.
    direct: Vec<bool>,
    /// Dispatchers whose folder was wiped and that have not started since.
    pub(crate) wiped: Vec<usize>,
    /// When each step of the timeline had been played, in milliseconds from the start of the load: one that starts a process
    /// waits for it, and what is behind it comes later than it says.
    pub(crate) played: Vec<u64>,
}

/// The limit of each member, if it has one.
pub(crate) fn limit_of(scenario: &Scenario) -> Option<Limit> {
    let m = &scenario.member;
    m.per_second.map(|per_second| Limit {
        per_second,
        wait: LIMIT_WAIT,
        cold: Duration::from_millis(m.cold_ms),
        cold_from: COLD_FROM,
        factor: FALL_FACTOR,
        over: FALL_OVER,
        away: FALL_AWAY,
    })
}

impl Stage {
    /// Starts all but the dispatchers, whose folders are laid.
    pub(crate) fn set(scenario: &Scenario, folder: &Path, number: usize) -> std::io::Result<Stage> {
        let m = &scenario.member;
        let manner =
            Manner { service: Duration::from_millis(m.service_ms), at_once: m.at_once, queue: m.queue };
        let members = (0..m.count * m.each)
            .map(|_| Endpoint::limited(manner.clone(), limit_of(scenario)))
            .collect::<std::io::Result<Vec<_>>>()?;
        let registry = Registry::start(&[])?;
        let balancers = scenario.balancers.unwrap_or(scenario.dispatchers);
        let (mut paths, mut processes) = (Vec::new(), Vec::new());
        for n in 0..scenario.dispatchers {
            let to_members =
                members.iter().map(|e| Proxy::start(e.address)).collect::<std::io::Result<Vec<_>>>()?;
            let registry = registry.beside(&entries(&to_members, m.each))?;
            let to_registry = Proxy::start(registry.address)?;
            paths.push(Paths { registry, to_registry, to_members });
            let (name, dir) = (format!("n{n}"), folder.join(format!("n{n}")));
            let seed = format!("{:x}", scenario.seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ (n as u64 + 1));
            let config = dir.join("config.json");
            let text = config::platform(&name, &seed, scenario.disk_mb, balancers, m.cold_ms, "null");
            std::fs::create_dir_all(&dir)?;
            std::fs::write(&config, text)?;
            let together = (scenario.recovery || scenario.replication).then(|| dir.join("together.toml"));
            let mut process = Process::new((number, n), dir, config, together);
            if let Some(faults) = &scenario.faults {
                process.variables = variables(faults, n, &process.folder);
            }
            processes.push(process);
        }
        let mates = together_files(scenario, &processes)?;
        Ok(Stage {
            mates,
            members,
            each: m.each,
            registry,
            paths,
            processes,
            back: Vec::new(),
            failed_starts: 0,
            direct: vec![false; scenario.dispatchers],
            wiped: Vec::new(),
            played: Vec::new(),
        })
    }

    /// Starts these dispatchers, each in its time of the span.
    pub(crate) fn start(&mut self, which: &[usize], program: &Path, step: &Step) {
        let gap = Duration::from_millis(step.spread_ms) / which.len().max(1) as u32;
        let paths = &self.paths;
        let failed = thread::scope(|scope| {
            let starting: Vec<_> = self
                .processes
                .iter_mut()
                .enumerate()
                .filter_map(|(n, p)| Some((which.iter().position(|w| *w == n)?, n, p)))
                .map(|(turn, n, p)| {
                    scope.spawn(move || {
                        thread::sleep(gap * turn as u32);
                        p.start(program, paths[n].to_registry.address, step.clock_ms)
                    })
                })
                .collect();
            starting.into_iter().map(|h| h.join().unwrap_or(false)).filter(|came| !came).count()
        });
        self.failed_starts += failed;
    }

    /// Plays one step.
    pub(crate) fn play(&mut self, step: &Step, program: &Path, seed: u64) {
        self.play_ends(step);
        self.play_reloads(step);
        self.play_damage(step, seed);
        if let (Some(fault), Some(path)) = (step.fault, step.path) {
            self.play_fault(step, fault, path);
        }
        self.play_members(step);
        self.play_connections(step);
        for &d in step.of.iter().filter(|_| !step.signals.is_empty()) {
            self.processes[d].signals(&step.signals, SIGNAL_GAP);
        }
        self.play_registry(step);
        for &d in &step.upgrade {
            let at = self.paths[d].to_registry.address;
            self.failed_starts += usize::from(!self.processes[d].upgrade(program, at, step.clock_ms));
        }
        self.start(&step.start, program, step);
    }

    /// Kills processes, and tells processes to leave.
    fn play_ends(&mut self, step: &Step) {
        let gap = Duration::from_millis(step.spread_ms) / step.kill.len().max(1) as u32;
        for &d in &step.kill {
            self.processes[d].kill();
            thread::sleep(gap);
        }
        step.term.iter().for_each(|&d| self.processes[d].term());
    }

    /// Has configurations read again, each with the other of the registry's two addresses.
    fn play_reloads(&mut self, step: &Step) {
        for &d in &step.reload {
            let Paths { registry, to_registry, .. } = &self.paths[d];
            self.direct[d] = !self.direct[d];
            let to = if self.direct[d] { registry.address } else { to_registry.address };
            if let Err(e) = self.processes[d].reload(to) {
                eprintln!("the configuration of n{d} cannot be written: {e}");
            }
        }
    }

    /// Damages folders of processes that are not running.
    fn play_damage(&mut self, step: &Step, seed: u64) {
        for &d in &step.wipe {
            self.processes[d].stop();
            let _ = std::fs::remove_dir_all(self.processes[d].folder.join("state"));
            self.wiped.push(d);
        }
        for &d in &step.flip {
            self.processes[d].stop();
            self.processes[d].flip(seed ^ d as u64);
        }
        for &d in &step.tear {
            self.processes[d].stop();
            self.processes[d].tear(seed ^ d as u64);
        }
    }

    /// Sets a fault on paths.
    fn play_fault(&self, step: &Step, fault: FaultName, path: PathName) {
        let fault = match fault {
            FaultName::Pass => Fault::Pass,
            FaultName::Delay => Fault::Delay(Duration::from_millis(step.delay_ms.unwrap_or(0))),
            FaultName::Reset => Fault::Reset,
            FaultName::Blackhole => Fault::Blackhole,
            FaultName::Drop => Fault::Drop,
            FaultName::Bandwidth => Fault::Bandwidth(step.bytes_per_s.unwrap_or(1)),
            FaultName::Truncate => Fault::Truncate,
        };
        let of = |n: &usize| step.of.is_empty() || step.of.contains(n);
        let between = |(a, b, _): &&(usize, usize, Proxy)| {
            step.of.is_empty() || step.of.contains(a) != step.of.contains(b)
        };
        if path == PathName::Mate {
            self.mates.iter().filter(between).for_each(|m| m.2.set(fault));
        }
        for Paths { to_registry, to_members, .. } in (0..self.paths.len()).filter(of).map(|n| &self.paths[n])
        {
            match path {
                PathName::Member => {
                    let named = |n: &usize| step.members.is_empty() || step.members.contains(n);
                    (0..to_members.len()).filter(named).for_each(|n| to_members[n].set(fault));
                }
                PathName::Registry => to_registry.set(fault),
                PathName::Mate => {}
            }
        }
    }

    /// Members go away and come back.
    fn play_members(&mut self, step: &Step) {
        let Some(what) = step.member else { return };
        let named = |n: &usize| step.members.is_empty() || step.members.contains(n);
        for n in (0..self.members.len()).filter(named) {
            match what {
                MemberStep::Down => self.members[n].go_away(),
                MemberStep::Up => {
                    self.members[n].come_back();
                    self.back.push((n, Instant::now()));
                }
            }
        }
    }

    /// The registry tells something else.
    fn play_registry(&self, step: &Step) {
        for Paths { registry, to_members, .. } in &self.paths {
            let entries = || entries(to_members, self.each);
            match step.registry {
                Some(RegistryStep::Change) => entries().iter().for_each(|e| registry.push(e)),
                Some(RegistryStep::Older) => registry.set_back(Some((1, &entries()))),
                Some(RegistryStep::Newest) => registry.set_back(None),
                None => {}
            }
        }
    }

    /// What endpoints do to their connections, and which of them drain.
    fn play_connections(&self, step: &Step) {
        let named = |n: &usize| step.members.is_empty() || step.members.contains(n);
        for n in (0..self.members.len()).filter(named) {
            if let Some(faults) = &step.connections {
                let plan = FaultPlan {
                    faults: faults.clone(),
                    one_in: CONNECTION_FAULT_ONE_IN,
                    read_later: READ_LATER,
                };
                self.members[n].set_faults(Some(plan).filter(|p| !p.faults.is_empty()));
            }
            if let Some(drains) = step.drain {
                let state = if drains { "terminating" } else { "in_service" };
                for Paths { registry, to_members, .. } in &self.paths {
                    registry.push(&entry_of(to_members, n, self.each, state));
                }
            }
        }
    }
}

/// What loads the faults into a dispatcher's processes; the time of the schedule begins now.
fn variables(faults: &Faults, n: usize, folder: &Path) -> Vec<(String, String)> {
    let now = clock_gettime(ClockId::Monotonic);
    let epoch = now.tv_sec as f64 * 1e3 + now.tv_nsec as f64 / 1e6;
    let schedule = faults.schedules.get(n).cloned().unwrap_or_default();
    [
        ("LD_PRELOAD", faults.library.display().to_string()),
        ("LILACBANK_FAULTS", schedule),
        ("LILACBANK_FAULTS_EPOCH", epoch.to_string()),
        ("LILACBANK_FAULTS_FOLDER", folder.join("state").display().to_string()),
    ]
    .map(|(name, value)| (name.to_string(), value))
    .to_vec()
}

/// Ports of dispatchers for each other: no two of one process of the rig.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Writes the operators' file of each dispatcher; returns the proxies between them.
fn together_files(scenario: &Scenario, processes: &[Process]) -> std::io::Result<Vec<(usize, usize, Proxy)>> {
    let port = |_| 20_000 + NEXT_PORT.fetch_add(1, Ordering::Relaxed) % 10_000;
    let at: Vec<SocketAddr> = processes.iter().map(|p| p.at(port(p))).collect();
    let mut proxies = Vec::new();
    for (n, process) in processes.iter().enumerate() {
        let mut text = format!("[recovery]\nenabled = {}\n", scenario.recovery);
        if scenario.replication {
            let (listen, ack) = (at[n], scenario.ack);
            text += &format!(
                "[replication]\nenabled = true\nlisten = \"{listen}\"\ninstallation = \"rig\"\nack = {ack}\n"
            );
            for (m, target) in at.iter().enumerate().filter(|(m, _)| *m != n) {
                let proxy = Proxy::start(*target)?;
                let address = proxy.address;
                text += &format!("[[replication.peers]]\nname = \"n{m}\"\naddress = \"{address}\"\n");
                proxies.push((n, m, proxy));
            }
        }
        if let Some(path) = &process.together {
            std::fs::write(path, text)?;
        }
    }
    Ok(proxies)
}

/// The list as one dispatcher sees it: a destination of its own for each member, from 1, with so many endpoints.
fn entries(proxies: &[Proxy], each: usize) -> Vec<String> {
    (0..proxies.len()).map(|n| entry_of(proxies, n, each, "in_service")).collect()
}

/// The `n`th endpoint's entry.
fn entry_of(proxies: &[Proxy], n: usize, each: usize, state: &str) -> String {
    let (address, dest) = (proxies[n].address.to_string(), (n / each) as u64 + 1);
    crate::entry(&format!("w{}", n + 1), &address, "a", dest, state)
}
