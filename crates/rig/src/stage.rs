//! The environment of the dispatchers in a run (stand-in endpoints, registry, proxies, processes), and how the steps of the
//! timeline change it.

use crate::process::Dispatcher;
use crate::scenario::{FaultName, Faults, MemberStep, PathName, RegistryStep, Scenario, Step};
use crate::{config, Fault, Proxy, Registry};
use lilacbank_load::connection_fault::FaultPlan;
use lilacbank_load::member::{Endpoint, EndpointConfig, Limit};
use rustix::time::{clock_gettime, ClockId};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Fraction of its limit that an endpoint serves right after an outage, the same as in the dispatchers' settings.
const COLD_FROM: f64 = 0.5;
/// Multiple of its reduced limit above which a cold endpoint crashes.
const OVERLOAD_FACTOR: f64 = 2.0;
/// Time over which the calls to a cold endpoint are counted.
const OVERLOAD_WINDOW: Duration = Duration::from_millis(2_000);
/// Time for which an endpoint stays down after a crash.
const CRASH_TIME: Duration = Duration::from_secs(3);
/// The retry-after that an endpoint over its limit answers with.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// At an endpoint with connection faults, one in this many requests meets a fault.
const CONNECTION_FAULT_ONE_IN: usize = 4;
/// Delay before an endpoint reads a request that arrived as it shut down its write side.
const READ_LATER: Duration = Duration::from_millis(15);
/// Time between two signals of a series.
const SIGNAL_GAP: Duration = Duration::from_millis(30);

/// The proxies and the registry of one dispatcher.
struct Paths {
    /// The registry, which lists this dispatcher's proxies as the endpoints.
    registry: Registry,
    /// The proxy in front of the registry.
    to_registry: Proxy,
    /// The proxies in front of the endpoints.
    to_endpoints: Vec<Proxy>,
}

/// The dispatchers of a run and their environment.
pub(crate) struct Environment {
    pub(crate) endpoints: Vec<Endpoint>,
    /// Number of endpoints of each destination.
    endpoints_each: usize,
    pub(crate) registry: Registry,
    /// The paths of each dispatcher.
    paths: Vec<Paths>,
    pub(crate) dispatchers: Vec<Dispatcher>,
    /// The proxies between dispatchers, with the index of the connecting dispatcher and of its peer.
    peer_proxies: Vec<(usize, usize, Proxy)>,
    /// The index of each endpoint that was brought up after an outage, and when.
    pub(crate) recoveries: Vec<(usize, Instant)>,
    pub(crate) failed_starts: usize,
    /// For each dispatcher, whether its configuration names the registry itself and not the proxy in front of it.
    uses_registry_directly: Vec<bool>,
    /// Dispatchers whose state folder was removed and that have not started since.
    pub(crate) wiped: Vec<usize>,
    /// When each step of the timeline was done, in milliseconds from the start of the load. A step that starts a process waits
    /// until the process is ready, so later steps can be applied later than scheduled.
    pub(crate) step_done_ms: Vec<u64>,
}

/// The rate limit of each endpoint, if the scenario has one.
pub(crate) fn endpoint_limit(scenario: &Scenario) -> Option<Limit> {
    let m = &scenario.member;
    m.per_second.map(|per_second| Limit {
        per_second,
        retry_after: RETRY_AFTER,
        cold: Duration::from_millis(m.cold_ms),
        cold_from: COLD_FROM,
        overload_factor: OVERLOAD_FACTOR,
        overload_window: OVERLOAD_WINDOW,
        crash_time: CRASH_TIME,
    })
}

impl Environment {
    /// Starts everything but the dispatchers, and creates their folders and configurations.
    pub(crate) fn new(scenario: &Scenario, folder: &Path, run_number: usize) -> std::io::Result<Environment> {
        let m = &scenario.member;
        let manner = EndpointConfig {
            service_time: Duration::from_millis(m.service_ms),
            concurrency: m.at_once,
            queue_capacity: m.queue,
        };
        let endpoints = (0..m.count * m.each)
            .map(|_| Endpoint::start_with_limit(manner.clone(), endpoint_limit(scenario)))
            .collect::<std::io::Result<Vec<_>>>()?;
        let registry = Registry::start(&[])?;
        let balancers = scenario.balancers.unwrap_or(scenario.dispatchers);
        let (mut paths, mut dispatchers) = (Vec::new(), Vec::new());
        for n in 0..scenario.dispatchers {
            let to_endpoints =
                endpoints.iter().map(|e| Proxy::start(e.address)).collect::<std::io::Result<Vec<_>>>()?;
            let registry = registry.start_view(&list_entries(&to_endpoints, m.each))?;
            let to_registry = Proxy::start(registry.address)?;
            paths.push(Paths { registry, to_registry, to_endpoints });
            let (name, dir) = (format!("n{n}"), folder.join(format!("n{n}")));
            let seed = format!("{:x}", scenario.seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ (n as u64 + 1));
            let config = dir.join("config.json");
            let text = config::dispatcher_json(&name, &seed, scenario.disk_mb, balancers, m.cold_ms, "null");
            std::fs::create_dir_all(&dir)?;
            std::fs::write(&config, text)?;
            let together = (scenario.recovery || scenario.replication).then(|| dir.join("together.toml"));
            let mut dispatcher = Dispatcher::new((run_number, n), dir, config, together);
            dispatcher.serves_mqtt = scenario.rude;
            if let Some(faults) = &scenario.faults {
                dispatcher.variables = fault_variables(faults, n, &dispatcher.folder);
            }
            dispatchers.push(dispatcher);
        }
        let peer_proxies = write_together_files(scenario, &dispatchers)?;
        Ok(Environment {
            peer_proxies,
            endpoints,
            endpoints_each: m.each,
            registry,
            paths,
            dispatchers,
            recoveries: Vec::new(),
            failed_starts: 0,
            uses_registry_directly: vec![false; scenario.dispatchers],
            wiped: Vec::new(),
            step_done_ms: Vec::new(),
        })
    }

    /// Starts these dispatchers, spread over `spread_ms` of the step.
    pub(crate) fn start_dispatchers(&mut self, which: &[usize], program: &Path, step: &Step) {
        let gap = Duration::from_millis(step.spread_ms) / which.len().max(1) as u32;
        let paths = &self.paths;
        let failed = thread::scope(|scope| {
            let starting: Vec<_> = self
                .dispatchers
                .iter_mut()
                .enumerate()
                .filter_map(|(n, d)| Some((which.iter().position(|w| *w == n)?, n, d)))
                .map(|(position, n, d)| {
                    scope.spawn(move || {
                        thread::sleep(gap * position as u32);
                        d.start(program, paths[n].to_registry.address, step.clock_ms)
                    })
                })
                .collect();
            starting.into_iter().map(|h| h.join().unwrap_or(false)).filter(|started| !started).count()
        });
        self.failed_starts += failed;
    }

    /// Applies one step of the timeline.
    pub(crate) fn apply_step(&mut self, step: &Step, program: &Path, seed: u64) {
        self.stop_dispatchers(step);
        self.reload_configurations(step);
        self.damage_folders(step, seed);
        if let (Some(fault), Some(path)) = (step.fault, step.path) {
            self.set_path_fault(step, fault, path);
        }
        self.change_endpoints(step);
        self.set_connection_faults(step);
        for &d in step.of.iter().filter(|_| !step.signals.is_empty()) {
            self.dispatchers[d].send_signals(&step.signals, SIGNAL_GAP);
        }
        self.change_registry(step);
        for &d in &step.upgrade {
            let registry = self.paths[d].to_registry.address;
            self.failed_starts += usize::from(!self.dispatchers[d].upgrade(program, registry, step.clock_ms));
        }
        self.start_dispatchers(&step.start, program, step);
    }

    /// Sends SIGKILL to some dispatchers and SIGTERM to others.
    fn stop_dispatchers(&mut self, step: &Step) {
        let gap = Duration::from_millis(step.spread_ms) / step.kill.len().max(1) as u32;
        for &d in &step.kill {
            self.dispatchers[d].kill();
            thread::sleep(gap);
        }
        step.term.iter().for_each(|&d| self.dispatchers[d].terminate());
    }

    /// Makes dispatchers read their configuration again, switched between the registry's own address and its proxy's.
    fn reload_configurations(&mut self, step: &Step) {
        for &d in &step.reload {
            let Paths { registry, to_registry, .. } = &self.paths[d];
            self.uses_registry_directly[d] = !self.uses_registry_directly[d];
            let address = if self.uses_registry_directly[d] { registry.address } else { to_registry.address };
            if let Err(e) = self.dispatchers[d].reload(address) {
                eprintln!("cannot write the configuration of n{d}: {e}");
            }
        }
    }

    /// Damages state folders, of dispatchers that it stops before.
    fn damage_folders(&mut self, step: &Step, seed: u64) {
        for &d in &step.wipe {
            self.dispatchers[d].stop();
            let _ = std::fs::remove_dir_all(self.dispatchers[d].folder.join("state"));
            self.wiped.push(d);
        }
        for &d in &step.flip {
            self.dispatchers[d].stop();
            self.dispatchers[d].flip_journal_bit(seed ^ d as u64);
        }
        for &d in &step.tear {
            self.dispatchers[d].stop();
            self.dispatchers[d].truncate_journal(seed ^ d as u64);
        }
    }

    /// Sets a fault on the paths that the step names.
    fn set_path_fault(&self, step: &Step, fault: FaultName, path: PathName) {
        let fault = match fault {
            FaultName::Pass => Fault::Pass,
            FaultName::Delay => Fault::Delay(Duration::from_millis(step.delay_ms.unwrap_or(0))),
            FaultName::Reset => Fault::Reset,
            FaultName::Blackhole => Fault::Blackhole,
            FaultName::Drop => Fault::Drop,
            FaultName::Bandwidth => Fault::Bandwidth(step.bytes_per_s.unwrap_or(1)),
            FaultName::Truncate => Fault::Truncate,
        };
        let is_named = |n: &usize| step.of.is_empty() || step.of.contains(n);
        let crosses = |(a, b, _): &&(usize, usize, Proxy)| {
            step.of.is_empty() || step.of.contains(a) != step.of.contains(b)
        };
        if path == PathName::Mate {
            self.peer_proxies.iter().filter(crosses).for_each(|p| p.2.set_fault(fault));
        }
        for Paths { to_registry, to_endpoints, .. } in
            (0..self.paths.len()).filter(is_named).map(|n| &self.paths[n])
        {
            match path {
                PathName::Member => {
                    let is_named = |n: &usize| step.members.is_empty() || step.members.contains(n);
                    (0..to_endpoints.len()).filter(is_named).for_each(|n| to_endpoints[n].set_fault(fault));
                }
                PathName::Registry => to_registry.set_fault(fault),
                PathName::Mate => {}
            }
        }
    }

    /// Starts and ends outages of endpoints.
    fn change_endpoints(&mut self, step: &Step) {
        let Some(change) = step.member else { return };
        let is_named = |n: &usize| step.members.is_empty() || step.members.contains(n);
        for n in (0..self.endpoints.len()).filter(is_named) {
            match change {
                MemberStep::Down => self.endpoints[n].take_down(),
                MemberStep::Up => {
                    self.endpoints[n].bring_up();
                    self.recoveries.push((n, Instant::now()));
                }
            }
        }
    }

    /// Changes what the registry publishes.
    fn change_registry(&self, step: &Step) {
        for Paths { registry, to_endpoints, .. } in &self.paths {
            let entries = || list_entries(to_endpoints, self.endpoints_each);
            match step.registry {
                Some(RegistryStep::Change) => entries().iter().for_each(|e| registry.publish_change(e)),
                Some(RegistryStep::Older) => registry.restore_older(Some((1, &entries()))),
                Some(RegistryStep::Newest) => registry.restore_older(None),
                None => {}
            }
        }
    }

    /// Sets the connection faults of endpoints, and which endpoints drain.
    fn set_connection_faults(&self, step: &Step) {
        let is_named = |n: &usize| step.members.is_empty() || step.members.contains(n);
        for n in (0..self.endpoints.len()).filter(is_named) {
            if let Some(faults) = &step.connections {
                let plan = FaultPlan {
                    faults: faults.clone(),
                    one_in: CONNECTION_FAULT_ONE_IN,
                    read_delay: READ_LATER,
                };
                self.endpoints[n].set_faults(Some(plan).filter(|p| !p.faults.is_empty()));
            }
            if let Some(drains) = step.drain {
                let state = if drains { "terminating" } else { "in_service" };
                for Paths { registry, to_endpoints, .. } in &self.paths {
                    registry.publish_change(&list_entry(to_endpoints, n, self.endpoints_each, state));
                }
            }
        }
    }
}

/// Environment variables that load the fault library into a dispatcher's processes; the schedule's epoch is now.
fn fault_variables(faults: &Faults, n: usize, folder: &Path) -> Vec<(String, String)> {
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

/// Counter for the ports on which dispatchers listen for peers, so that no two dispatchers of one rig process share a port.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Writes the operators' `together.toml` of each dispatcher; returns the proxies between the dispatchers.
fn write_together_files(
    scenario: &Scenario,
    dispatchers: &[Dispatcher],
) -> std::io::Result<Vec<(usize, usize, Proxy)>> {
    let port = |_| 20_000 + NEXT_PORT.fetch_add(1, Ordering::Relaxed) % 10_000;
    let addresses: Vec<SocketAddr> = dispatchers.iter().map(|d| d.with_port(port(d))).collect();
    let mut proxies = Vec::new();
    for (n, dispatcher) in dispatchers.iter().enumerate() {
        let mut text = format!("[recovery]\nenabled = {}\n", scenario.recovery);
        if scenario.replication {
            let (listen, ack) = (addresses[n], scenario.ack);
            text += &format!(
                "[replication]\nenabled = true\nlisten = \"{listen}\"\ninstallation = \"rig\"\nack = {ack}\n"
            );
            for (m, target) in addresses.iter().enumerate().filter(|(m, _)| *m != n) {
                let proxy = Proxy::start(*target)?;
                let address = proxy.address;
                text += &format!("[[replication.peers]]\nname = \"n{m}\"\naddress = \"{address}\"\n");
                proxies.push((n, m, proxy));
            }
        }
        if let Some(path) = &dispatcher.together {
            std::fs::write(path, text)?;
        }
    }
    Ok(proxies)
}

/// The endpoint list as one dispatcher sees it: destinations numbered from 1, with `endpoints_each` consecutive endpoints.
fn list_entries(proxies: &[Proxy], endpoints_each: usize) -> Vec<String> {
    (0..proxies.len()).map(|n| list_entry(proxies, n, endpoints_each, "in_service")).collect()
}

/// The entry of the `n`th endpoint in the endpoint list.
fn list_entry(proxies: &[Proxy], n: usize, endpoints_each: usize, state: &str) -> String {
    let (address, dest) = (proxies[n].address.to_string(), (n / endpoints_each) as u64 + 1);
    crate::list_entry(&format!("w{}", n + 1), &address, "a", dest, state)
}
