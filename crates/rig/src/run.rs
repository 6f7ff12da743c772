//! Plays a scenario: starts the registry, the members and the dispatchers, hands in the load, plays the timeline, waits
//! for the final answers and audits what clients, the members and the platform saw.

use crate::measure;
use crate::process::Process;
use crate::report::Report;
use crate::scenario::{FaultName, Faults, MemberStep, PathName, RegistryStep, Scenario, Step};
use crate::{config, room, rude, soak, Fault, Proxy, Registry};
use lilacbank_load::arrivals::{poisson, Intended, Stream};
use lilacbank_load::client::{drive, hand_in_again, Door, Habits, Handed, Route};
use lilacbank_load::connection_fault::FaultPlan;
use lilacbank_load::keyed::{audit, Audit, Sent};
use lilacbank_load::member::{Endpoint, Limit, Manner};
use rustix::time::{clock_gettime, ClockId};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// After the load, final answers are awaited for so long at most (the longest deadline and its slack).
const SETTLE_MOST: Duration = Duration::from_secs(25);
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

/// What stands round the dispatchers of a play.
struct Stage {
    members: Vec<Endpoint>,
    /// Endpoints of each member.
    each: usize,
    registry: Registry,
    /// For each dispatcher: the registry as it sees it, the proxy before it, and one before each member.
    paths: Vec<(Registry, Proxy, Vec<Proxy>)>,
    processes: Vec<Process>,
    /// The proxies between dispatchers, by who connects to whom.
    mates: Vec<(usize, usize, Proxy)>,
    /// When each member came back from an outage.
    back: Vec<(usize, Instant)>,
    failed_starts: usize,
    /// Whether a dispatcher's configuration names the registry itself or the proxy before it.
    direct: Vec<bool>,
    /// Dispatchers whose folder was wiped and that have not started since.
    wiped: Vec<usize>,
    /// When each step of the timeline had been played, in milliseconds from the start of the load: one that starts a process
    /// waits for it, and what is behind it comes later than it says.
    played: Vec<u64>,
}

/// Messages taken within so long before a folder was lost are handed in again.
const AGAIN_SPAN: Duration = Duration::from_secs(10);

fn limit_of(scenario: &Scenario) -> Option<Limit> {
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
    fn set(scenario: &Scenario, folder: &Path, number: usize) -> std::io::Result<Stage> {
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
            let proxies =
                members.iter().map(|e| Proxy::start(e.address)).collect::<std::io::Result<Vec<_>>>()?;
            let seen = registry.beside(&entries(&proxies, m.each))?;
            let to_registry = Proxy::start(seen.address)?;
            paths.push((seen, to_registry, proxies));
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
    fn start(&mut self, which: &[usize], program: &Path, step: &Step) {
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
                        p.start(program, paths[n].1.address, step.clock_ms)
                    })
                })
                .collect();
            starting.into_iter().map(|h| h.join().unwrap_or(false)).filter(|came| !came).count()
        });
        self.failed_starts += failed;
    }

    /// Plays one step.
    fn play(&mut self, step: &Step, program: &Path, seed: u64) {
        let gap = Duration::from_millis(step.spread_ms) / step.kill.len().max(1) as u32;
        for &d in &step.kill {
            self.processes[d].kill();
            thread::sleep(gap);
        }
        step.term.iter().for_each(|&d| self.processes[d].term());
        for &d in &step.reload {
            let (seen, proxy, _) = &self.paths[d];
            self.direct[d] = !self.direct[d];
            let to = if self.direct[d] { seen.address } else { proxy.address };
            if let Err(e) = self.processes[d].reload(to) {
                eprintln!("the configuration of n{d} cannot be written: {e}");
            }
        }
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
        if let (Some(fault), Some(path)) = (step.fault, step.path) {
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
            for (_, to_registry, to_members) in (0..self.paths.len()).filter(of).map(|n| &self.paths[n]) {
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
        if let Some(what) = step.member {
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
        self.play_connections(step);
        for &d in step.of.iter().filter(|_| !step.signals.is_empty()) {
            self.processes[d].signals(&step.signals, SIGNAL_GAP);
        }
        for (seen, _, proxies) in &self.paths {
            match step.registry {
                Some(RegistryStep::Change) => entries(proxies, self.each).iter().for_each(|e| seen.push(e)),
                Some(RegistryStep::Older) => seen.set_back(Some((1, &entries(proxies, self.each)))),
                Some(RegistryStep::Newest) => seen.set_back(None),
                None => {}
            }
        }
        for &d in &step.upgrade {
            let at = self.paths[d].1.address;
            self.failed_starts += usize::from(!self.processes[d].upgrade(program, at, step.clock_ms));
        }
        self.start(&step.start, program, step);
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
                let tell = |(seen, _, proxies): &(Registry, Proxy, Vec<Proxy>)| {
                    seen.push(&entry_of(proxies, n, self.each, state));
                };
                self.paths.iter().for_each(tell);
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

/// The load's streams: for each dispatcher and class one for each member, then those of a surge, if there is one.
fn streams(scenario: &Scenario) -> Vec<Stream> {
    let (classes, members) = (&scenario.load.classes, scenario.member.count);
    let rate = scenario.load.per_second / (classes.len() * members) as f64;
    let mut all = Vec::new();
    for _ in 0..scenario.dispatchers {
        for class in classes {
            let (wanted, deadline) = config::times(class);
            let deadline = scenario.deadline_ms.unwrap_or(deadline);
            let usual = (0, scenario.run_ms, rate);
            let more = scenario.load.surge.as_ref().map(|s| (s.from_ms, s.until_ms, rate * (s.times - 1.0)));
            for (from, until, rate) in [usual].into_iter().chain(more) {
                all.extend((1..=members as u64).map(|dest| Stream {
                    tenant: "acme".into(),
                    class: class.clone(),
                    dest,
                    rate,
                    from: Duration::from_millis(from),
                    until: Duration::from_millis(until),
                    wanted: Duration::from_millis(wanted),
                    deadline: Duration::from_millis(deadline),
                }));
            }
        }
    }
    all
}

/// Plays the scenario with this program in a folder of its own under `work`, which is removed at the end unless it is to
/// be kept.
///
/// # Errors
///
/// The folder, a port or a member cannot be had.
pub fn play(scenario: &Scenario, program: &Path, work: &Path, keep: bool) -> std::io::Result<Report> {
    static PLAYS: AtomicUsize = AtomicUsize::new(0);
    // Plays of one process may be on at a time, also of one seed.
    let number = PLAYS.fetch_add(1, Ordering::Relaxed);
    let folder = work.join(format!("lilacbank-rig-{}-{number}-{}", std::process::id(), scenario.seed));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder)?;
    let mut stage = Stage::set(scenario, &folder, number)?;
    let all: Vec<usize> = (0..scenario.dispatchers).collect();
    stage.start(&all, program, &Step::default());
    let streams = streams(scenario);
    let per = streams.len() / scenario.dispatchers;
    let messages: Vec<Intended> = poisson(scenario.seed, &streams);
    // Each dispatcher has clients of its own; one that is down refuses them at its old address.
    let routes: Vec<Route> = stage
        .processes
        .iter()
        .map(|p| {
            let a = p.address.clone();
            let r: Route = Arc::new(move |_, _| {
                a.lock().unwrap_or_else(|e| e.into_inner()).unwrap_or(SocketAddr::from(([127, 0, 0, 1], 9)))
            });
            r
        })
        .collect();
    let start = Instant::now();
    let (mut last_start, mut wave) = (None, None);
    let seen: Arc<Mutex<Vec<Handed>>> = Arc::default();
    let addresses: Vec<_> = stage.processes.iter().map(|p| p.address.clone()).collect();
    let states: Vec<PathBuf> = stage.processes.iter().map(|p| p.folder.join("state")).collect();
    let limit = (scenario.disk_mb * 1e6) as u64;
    let played = AtomicBool::new(false);
    let (handed, again, rude, over_disk) = thread::scope(|scope| {
        let room = scope.spawn(|| room::over_limit(&states, limit, &played));
        let end = start + Duration::from_millis(scenario.run_ms);
        let crowd = (scenario.crowd > 0).then(|| {
            let addresses = addresses.clone();
            scope.spawn(move || rude::crowd(&addresses, scenario.crowd, end))
        });
        let rude =
            scenario.rude.then(|| scope.spawn(move || rude::visit(scenario.seed, &addresses, start, end)));
        let load = scope.spawn(|| {
            let parts: Vec<_> = (0..scenario.dispatchers)
                .map(|d| {
                    let mine: Vec<Intended> =
                        messages.iter().filter(|m| m.stream / per == d).copied().collect();
                    let (streams, route) = (&streams, routes[d].clone());
                    let habits = Habits { connections: 16, seen: Some(seen.clone()), ..Habits::default() };
                    scope.spawn(move || drive(start, streams, &mine, route, &habits))
                })
                .collect();
            parts.into_iter().flat_map(|p| p.join().unwrap_or_default()).collect::<Vec<Handed>>()
        });
        let mut again = Vec::new();
        for step in scenario.timeline() {
            thread::sleep((start + Duration::from_millis(step.ms)).saturating_duration_since(Instant::now()));
            if !step.start.is_empty() || !step.upgrade.is_empty() {
                last_start = Some(step.ms);
            }
            if !step.kill.is_empty() || !step.term.is_empty() {
                wave = Some(Instant::now());
            }
            stage.play(&step, program, scenario.seed);
            stage.played.push(start.elapsed().as_millis() as u64);
            let back: Vec<usize> = stage.wiped.iter().copied().filter(|d| step.start.contains(d)).collect();
            stage.wiped.retain(|d| !back.contains(d));
            for d in back {
                let until = wave.unwrap_or(start).saturating_duration_since(start);
                let mine = |h: &&Handed| {
                    h.what.stream / per == d
                        && h.door == Door::Taken
                        && h.what.at < until
                        && h.what.at + AGAIN_SPAN > until
                };
                let mine: Vec<Handed> = lock(&seen).iter().filter(mine).copied().collect();
                let at = *stage.processes[d].address.lock().unwrap_or_else(|e| e.into_inner());
                let streams = &streams;
                let hand = move |at| hand_in_again(streams, &mine, at, &Habits::default());
                again.extend(at.map(|at| scope.spawn(move || hand(at))));
            }
        }
        let again: Vec<_> = again.into_iter().flat_map(|h| h.join().unwrap_or_default()).collect();
        let rude = rude.and_then(|r| r.join().ok()).unwrap_or_default();
        crowd.into_iter().for_each(|c| drop(c.join()));
        let handed = load.join().unwrap_or_default();
        played.store(true, Ordering::Relaxed);
        (handed, again, rude, room.join().unwrap_or_default())
    });
    let found = settle(scenario, &handed, &again, &stage, per);
    stage.processes.iter().for_each(Process::count);
    thread::sleep(Duration::from_millis(200));
    stage.processes.iter_mut().for_each(Process::kill);
    let logged = soak::logged(&stage.processes.iter().map(|p| p.folder.join("log")).collect::<Vec<_>>());
    let mut report = report(scenario, &stage, &streams, &handed, found, (start, wave, last_start));
    report.hanging = rude::hanging(&rude, |n, from, until| soak::refuses_clients(scenario, n, from, until));
    report.late = late_ends(scenario, &stage, &handed, per, start);
    report.over_disk = over_disk;
    (report.violations, report.panics) = (logged.violations, logged.panics);
    report.again = again.len();
    report.again_without_call = again.iter().filter(|(_, answer)| failed(answer)).count();
    // A soak keeps the plays that are worth a look.
    if keep && !(scenario.rude && report.clean()) {
        eprintln!("the folders and logs are kept in {}", folder.display());
    } else {
        let _ = std::fs::remove_dir_all(&folder);
    }
    Ok(report)
}

/// It is a final answer: neither taken, nor refused for now, nor none.
fn failed(answer: &str) -> bool {
    answer.starts_with('-') && !answer.starts_with("-BUSY")
}

/// Waits until each message taken has its final answer, or will not get one any more.
fn settle(
    scenario: &Scenario,
    handed: &[Handed],
    again: &[(String, String)],
    stage: &Stage,
    per: usize,
) -> Audit {
    let sent: Vec<Sent> = handed
        .iter()
        .map(|h| Sent {
            id: h.what.id(h.refusals),
            key: ((h.what.stream as u64) << 32) | h.what.number as u64,
            number: h.what.number,
            taken: h.door == Door::Taken,
            door: h.lag,
        })
        .collect();
    let each = per / scenario.load.classes.len();
    let once = |key: u64| scenario.load.classes[(key >> 32) as usize % per / each] == "pay";
    // A failure at the door is the message's final answer, as a notice is.
    let said = again.iter().filter(|(_, answer)| failed(answer));
    let said: Vec<String> = said.map(|(id, _)| format!("{{\"message\":\"{id}\"}}")).collect();
    let settled = Instant::now();
    loop {
        let effects: Vec<_> = stage.members.iter().flat_map(Endpoint::effects).collect();
        let told = [lock(&stage.registry.notices), said.clone()].concat();
        let attempts: Vec<_> = stage.members.iter().flat_map(Endpoint::attempts).collect();
        let found = audit(&sent, &effects, &attempts, &told, once);
        if found.lost.is_empty() || settled.elapsed() > SETTLE_MOST {
            return found;
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// Messages that got their end long after their time; only where all have the same time.
fn late_ends(
    scenario: &Scenario,
    stage: &Stage,
    handed: &[Handed],
    per: usize,
    start: Instant,
) -> Vec<String> {
    let Some(deadline) = scenario.deadline_ms else { return Vec::new() };
    let since = |at: Instant| at.saturating_duration_since(start).as_millis() as u64;
    let mut ended: HashMap<String, u64> = HashMap::new();
    let mut end = |id: &str, at: u64| {
        ended.entry(id.to_string()).and_modify(|known| *known = at.min(*known)).or_insert(at);
    };
    for effect in stage.members.iter().flat_map(Endpoint::effects) {
        end(&effect.id, since(effect.at));
    }
    for (line, at) in lock(&stage.registry.notices).iter().zip(lock(&stage.registry.noticed_at)) {
        let id = line.split("\"message\":\"").nth(1).and_then(|rest| rest.split('"').next());
        id.into_iter().for_each(|id| end(id, since(at)));
    }
    let ending = |h: &Handed| {
        let id = h.what.id(h.refusals);
        let ended = *ended.get(&id)?;
        let due = h.what.at.as_millis() as u64 + deadline;
        Some(soak::Ending { id, dispatcher: h.what.stream / per, due, ended })
    };
    let endings: Vec<soak::Ending> =
        handed.iter().filter(|h| h.door == Door::Taken).filter_map(ending).collect();
    let away = |n: usize| -> Vec<(u64, u64)> {
        let lives = &stage.processes[n].lives;
        lives.windows(2).filter_map(|w| Some((since(w[0].1?), since(w[1].0)))).collect()
    };
    soak::late(&endings, |n| soak::excuses(scenario, &stage.played, n, &away(n)))
}

fn report(
    scenario: &Scenario,
    stage: &Stage,
    streams: &[Stream],
    handed: &[Handed],
    found: Audit,
    (start, wave, last_start): (Instant, Option<Instant>, Option<u64>),
) -> Report {
    let run_ms = scenario.run_ms;
    let effects: Vec<_> = stage.members.iter().flat_map(Endpoint::effects).collect();
    let first = measure::first_effects(&effects);
    let share = measure::shares(start, run_ms, streams, handed, &first);
    let level = measure::level(&share, scenario.timeline().first().map_or(run_ms, |s| s.ms));
    let first_delivery_ms = last_start.and_then(|at| {
        let from = start + Duration::from_millis(at);
        effects.iter().filter(|e| e.at >= from).map(|e| e.at.duration_since(from).as_millis() as u64).min()
    });
    let (asks_in_10ms, asks) = stage.registry.busiest(Duration::from_millis(10));
    let since = |t: &Instant| match t.checked_duration_since(start) {
        Some(d) => d.as_millis() as i64,
        None => -(start.duration_since(*t).as_millis() as i64),
    };
    let calls: Vec<Vec<Instant>> = stage.members.iter().map(Endpoint::calls).collect();
    let most = |peaks: Vec<f64>| peaks.into_iter().reduce(f64::max);
    let limit = limit_of(scenario);
    let peak_over_limit = limit
        .zip(wave)
        .and_then(|(limit, wave)| most(calls.iter().map(|c| measure::peak(c, wave, &limit)).collect()));
    let cold_peak_over_limit = limit.and_then(|limit| {
        most(stage.back.iter().map(|(n, at)| measure::cold_peak(&calls[*n], *at, &limit)).collect())
    });
    let serving = (0..run_ms.div_ceil(measure::BUCKET_MS))
        .map(|b| {
            let at = start + Duration::from_millis(b * measure::BUCKET_MS);
            let lives =
                |p: &&Process| p.lives.iter().any(|(from, to)| *from <= at && to.is_none_or(|t| t > at));
            stage.processes.iter().filter(lives).count()
        })
        .collect();
    Report {
        handed: handed.len(),
        taken: found.taken,
        delivered: found.delivered,
        told: found.told,
        lost: found.lost,
        doubled: found.doubled,
        overlapping: found.overlapping,
        told_twice: found.told_twice,
        asks,
        asks_in_10ms,
        asks_at_ms: lock(&stage.registry.asks).iter().map(since).collect(),
        full_service_ms: last_start.and_then(|at| measure::full_service(&share, level, at)),
        share,
        level,
        first_delivery_ms,
        failed_starts: stage.failed_starts,
        peak_over_limit,
        cold_peak_over_limit,
        falls: stage.members.iter().map(Endpoint::falls).sum(),
        refused: stage.members.iter().map(Endpoint::refused).sum(),
        latency_ms: measure::latencies(start, handed, &first),
        calls: calls.iter().map(|c| measure::buckets(start, run_ms, c)).collect(),
        serving,
        hanging: Vec::new(),
        over_disk: Vec::new(),
        late: Vec::new(),
        violations: Vec::new(),
        panics: Vec::new(),
        again: 0,
        again_without_call: 0,
    }
}

fn lock<T: Clone>(m: &Mutex<T>) -> T {
    m.lock().unwrap_or_else(|e| e.into_inner()).clone()
}
