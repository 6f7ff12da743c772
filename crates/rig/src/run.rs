//! Plays a scenario: starts the registry, the member and the dispatchers, hands in the load, plays the timeline, waits
//! for the final answers and audits what clients, the member and the platform saw.

use crate::scenario::{FaultName, PathName, Scenario, Step};
use crate::{config, Fault, Proxy, Registry};
use lilacbank_load::arrivals::{poisson, Intended, Stream};
use lilacbank_load::client::{drive, Door, Habits, Route};
use lilacbank_load::keyed::{audit, Audit, Sent};
use lilacbank_load::member::{Effect, Endpoint, Manner};
use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Buckets of the delivered share, in milliseconds.
pub const BUCKET_MS: u64 = 500;
/// Full service: the share within this of its level before the first step,
const FULL_WITHIN: f64 = 0.02;
/// for so many buckets in a row (5 s).
const FULL_FOR: usize = 10;
/// The first second is the rig's own start, not the level before the fault.
const WARM_MS: u64 = 1_000;
/// A start that does not say where it listens in this time failed.
const START_MOST: Duration = Duration::from_secs(15);
/// After the load, final answers are awaited for so long at most (the longest deadline and its slack).
const SETTLE_MOST: Duration = Duration::from_secs(25);

/// What one play showed.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Report {
    /// Messages handed in.
    pub handed: usize,
    /// Taken with `+OK`.
    pub taken: usize,
    /// Taken and delivered.
    pub delivered: usize,
    /// Taken and given up with a notice.
    pub told: usize,
    /// Ids of what was taken and never answered.
    pub lost: Vec<String>,
    /// Ids of unsafe messages that took effect more than once.
    pub doubled: Vec<String>,
    /// Pairs of calls of one key that overlapped.
    pub overlapping: Vec<String>,
    /// Ids told more than once.
    pub told_twice: Vec<String>,
    /// The registry's askings.
    pub asks: usize,
    /// The most askings in any 10 ms.
    pub asks_in_10ms: usize,
    /// When each asking came, in milliseconds from the start of the load (those of the first starts are below 0).
    pub asks_at_ms: Vec<i64>,
    /// Share of the messages handed in each bucket that were delivered within their wanted time.
    pub share: Vec<f64>,
    /// The share before the first step (after the first second).
    pub level: f64,
    /// Milliseconds from the last start of the timeline to the first delivery after it.
    pub first_delivery_ms: Option<u64>,
    /// Milliseconds from the last start of the timeline until the share stays within 2% of `level` for 5 s.
    pub full_service_ms: Option<u64>,
    /// Starts that failed (no address within 15 s).
    pub failed_starts: usize,
}

impl Report {
    /// No rule was broken and every start succeeded.
    pub fn clean(&self) -> bool {
        self.lost.is_empty()
            && self.doubled.is_empty()
            && self.overlapping.is_empty()
            && self.told_twice.is_empty()
            && self.failed_starts == 0
    }
}

/// What many plays of one scenario showed, summed; times by quantile over the plays that reached them.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Trials {
    /// Plays.
    pub trials: usize,
    /// Messages taken in all plays.
    pub taken: usize,
    /// Delivered.
    pub delivered: usize,
    /// Told as given up.
    pub told: usize,
    /// Lost.
    pub lost: usize,
    /// Doubled unsafe effects.
    pub doubled: usize,
    /// Overlapping calls of a key.
    pub overlapping: usize,
    /// Told more than once.
    pub told_twice: usize,
    /// Plays that never reached full service.
    pub never_full: usize,
    /// Milliseconds to full service: median (nearest rank) of the plays that reached it,
    pub full_service_p50_ms: Option<u64>,
    /// and the 99th percentile.
    pub full_service_p99_ms: Option<u64>,
    /// The most askings of the registry in 10 ms, in any play.
    pub asks_in_10ms: usize,
    /// Starts that failed.
    pub failed_starts: usize,
}

impl Trials {
    /// The sum of these reports.
    pub fn of(reports: &[Report]) -> Trials {
        let mut full: Vec<u64> = reports.iter().filter_map(|r| r.full_service_ms).collect();
        full.sort_unstable();
        let rank = |q: f64| full.get(((q * full.len() as f64).ceil() as usize).saturating_sub(1)).copied();
        let sum = |f: fn(&Report) -> usize| reports.iter().map(f).sum();
        Trials {
            trials: reports.len(),
            taken: sum(|r| r.taken),
            delivered: sum(|r| r.delivered),
            told: sum(|r| r.told),
            lost: sum(|r| r.lost.len()),
            doubled: sum(|r| r.doubled.len()),
            overlapping: sum(|r| r.overlapping.len()),
            told_twice: sum(|r| r.told_twice.len()),
            never_full: reports.len() - full.len(),
            full_service_p50_ms: rank(0.5),
            full_service_p99_ms: rank(0.99),
            asks_in_10ms: reports.iter().map(|r| r.asks_in_10ms).max().unwrap_or(0),
            failed_starts: sum(|r| r.failed_starts),
        }
    }
}

/// One process of the program, in its folder; started again as the timeline says.
struct Process {
    folder: PathBuf,
    config: PathBuf,
    child: Option<Child>,
    /// Where it takes clients now; the last address while it is down.
    address: Arc<Mutex<Option<SocketAddr>>>,
}

impl Process {
    fn start(&mut self, program: &Path, registry: SocketAddr) -> bool {
        self.stop();
        let child = Command::new(program)
            .env("ROUTER_CONFIG", &self.config)
            .env("ROUTER_LISTEN", "127.0.0.1:0")
            .env("ROUTER_DISCOVERY", registry.to_string())
            .env("ROUTER_STATE", self.folder.join("state"))
            .env("RUST_LOG", "info")
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn();
        let Ok(mut child) = child else { return false };
        let (tell, heard) = std::sync::mpsc::channel();
        if let Some(err) = child.stderr.take() {
            thread::spawn(move || {
                for line in BufReader::new(err).lines().map_while(Result::ok) {
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
                true
            }
            _ => false,
        }
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn term(&mut self) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").args(["-TERM", &child.id().to_string()]).status();
        }
    }

    /// Waits for an end that was asked for, and kills what is still there.
    fn stop(&mut self) {
        if let Some(child) = self.child.as_mut() {
            let until = Instant::now() + Duration::from_secs(4);
            while Instant::now() < until && matches!(child.try_wait(), Ok(None)) {
                thread::sleep(Duration::from_millis(20));
            }
        }
        self.kill();
    }

    /// Flips one bit in the body of the record in the middle of its journal; false if it has none.
    fn flip(&self, seed: u64) -> bool {
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
}

/// Plays the scenario with this program in a folder of its own under `work`, which is removed at the end.
///
/// # Errors
///
/// The folder, a port or the member cannot be had.
pub fn play(scenario: &Scenario, program: &Path, work: &Path) -> std::io::Result<Report> {
    let folder = work.join(format!("lilacbank-rig-{}-{}", std::process::id(), scenario.seed));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder)?;
    let m = &scenario.member;
    let manner = Manner { service: Duration::from_millis(m.service_ms), at_once: m.at_once, queue: m.queue };
    let member = Endpoint::start(manner)?;
    let to_member = Proxy::start(member.address)?;
    let registry =
        Registry::start(&[crate::entry("w1", &to_member.address.to_string(), "a", 1, "in_service")])?;
    let to_registry = Proxy::start(registry.address)?;
    let balancers = scenario.balancers.unwrap_or(scenario.dispatchers);
    let mut processes: Vec<Process> = (0..scenario.dispatchers)
        .map(|n| {
            let (name, dir) = (format!("n{n}"), folder.join(format!("n{n}")));
            let seed = format!("{:x}", scenario.seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ (n as u64 + 1));
            let config = dir.join("config.json");
            let text = config::platform(&name, &seed, 3.0, balancers, "null");
            std::fs::create_dir_all(&dir).and_then(|_| std::fs::write(&config, text)).map(|_| Process {
                folder: dir,
                config,
                child: None,
                address: Arc::default(),
            })
        })
        .collect::<std::io::Result<_>>()?;
    let mut failed_starts = 0;
    thread::scope(|scope| {
        let starting: Vec<_> =
            processes.iter_mut().map(|p| scope.spawn(|| p.start(program, to_registry.address))).collect();
        failed_starts += starting.into_iter().map(|h| h.join().unwrap_or(false)).filter(|ok| !ok).count();
    });
    let classes = &scenario.load.classes;
    let rate = scenario.load.per_second / classes.len() as f64;
    let streams: Vec<Stream> = (0..scenario.dispatchers)
        .flat_map(|_| classes.iter())
        .map(|class| {
            let (wanted, deadline) = config::times(class);
            Stream {
                tenant: "acme".into(),
                class: class.clone(),
                dest: 1,
                rate,
                from: Duration::ZERO,
                until: Duration::from_millis(scenario.run_ms),
                wanted: Duration::from_millis(wanted),
                deadline: Duration::from_millis(deadline),
            }
        })
        .collect();
    let messages: Vec<Intended> = poisson(scenario.seed, &streams);
    let addresses: Vec<_> = processes.iter().map(|p| p.address.clone()).collect();
    let per = classes.len();
    // Each dispatcher has clients of its own; one that is down refuses them at its old address.
    let routes: Vec<Route> = addresses
        .iter()
        .map(|a| {
            let a = a.clone();
            let r: Route = Arc::new(move |_, _| {
                a.lock().unwrap_or_else(|e| e.into_inner()).unwrap_or(SocketAddr::from(([127, 0, 0, 1], 9)))
            });
            r
        })
        .collect();
    let start = Instant::now();
    let (handed, last_start) = thread::scope(|scope| {
        let load = scope.spawn(|| {
            // Streams come in runs of one for each class: a dispatcher's run goes to it alone.
            let parts: Vec<_> = (0..scenario.dispatchers)
                .map(|d| {
                    let mine: Vec<Intended> =
                        messages.iter().filter(|m| m.stream / per == d).copied().collect();
                    let (streams, route) = (&streams, routes[d].clone());
                    let habits = Habits { connections: 16, ..Habits::default() };
                    scope.spawn(move || drive(start, streams, &mine, route, &habits))
                })
                .collect();
            parts.into_iter().flat_map(|p| p.join().unwrap_or_default()).collect::<Vec<_>>()
        });
        let mut last_start = None;
        for step in scenario.timeline() {
            thread::sleep((start + Duration::from_millis(step.ms)).saturating_duration_since(Instant::now()));
            if !step.start.is_empty() {
                last_start = Some(step.ms);
            }
            failed_starts += apply(&step, &mut processes, program, &to_registry, &to_member, scenario.seed);
        }
        (load.join().unwrap_or_default(), last_start)
    });
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
    let once = |key: u64| classes[(key >> 32) as usize % per] == "pay";
    let settled = Instant::now();
    let mut found: Audit;
    loop {
        found = audit(&sent, &member.effects(), &lock(&registry.notices), once);
        if found.lost.is_empty() || settled.elapsed() > SETTLE_MOST {
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
    let effects = member.effects();
    processes.iter_mut().for_each(Process::kill);
    let _ = std::fs::remove_dir_all(&folder);
    let share = shares(start, scenario.run_ms, &streams, &handed, &effects);
    let first_step = scenario.timeline().first().map_or(scenario.run_ms, |s| s.ms);
    let before: Vec<f64> = share
        .iter()
        .enumerate()
        .filter(|(b, _)| (*b as u64) * BUCKET_MS >= WARM_MS && (*b as u64 + 1) * BUCKET_MS <= first_step)
        .map(|(_, s)| *s)
        .collect();
    let level = if before.is_empty() { 1.0 } else { before.iter().sum::<f64>() / before.len() as f64 };
    let first_delivery_ms = last_start.and_then(|at| {
        let from = start + Duration::from_millis(at);
        effects.iter().filter(|e| e.at >= from).map(|e| e.at.duration_since(from).as_millis() as u64).min()
    });
    let full_service_ms = last_start.and_then(|at| full_service(&share, level, at));
    let (asks_in_10ms, asks) = registry.busiest(Duration::from_millis(10));
    let since = |t: &Instant| {
        if *t >= start {
            t.duration_since(start).as_millis() as i64
        } else {
            -(start.duration_since(*t).as_millis() as i64)
        }
    };
    let asks_at_ms = lock(&registry.asks).iter().map(since).collect();
    Ok(Report {
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
        asks_at_ms,
        share,
        level,
        first_delivery_ms,
        full_service_ms,
        failed_starts,
    })
}

fn lock<T: Clone>(m: &Mutex<T>) -> T {
    m.lock().unwrap_or_else(|e| e.into_inner()).clone()
}

/// Plays one step; returns the starts that failed.
fn apply(
    step: &Step,
    processes: &mut [Process],
    program: &Path,
    registry: &Proxy,
    member: &Proxy,
    seed: u64,
) -> usize {
    let gap = |n: usize| Duration::from_millis(step.spread_ms / n.max(1) as u64);
    for &d in &step.kill {
        processes[d].kill();
        thread::sleep(gap(step.kill.len()));
    }
    step.term.iter().for_each(|&d| processes[d].term());
    for &d in &step.wipe {
        processes[d].stop();
        let _ = std::fs::remove_dir_all(processes[d].folder.join("state"));
    }
    for &d in &step.flip {
        processes[d].stop();
        processes[d].flip(seed ^ d as u64);
    }
    if let (Some(fault), Some(path)) = (step.fault, step.path) {
        let fault = match fault {
            FaultName::Pass => Fault::Pass,
            FaultName::Delay => Fault::Delay(Duration::from_millis(step.delay_ms.unwrap_or(0))),
            FaultName::Reset => Fault::Reset,
            FaultName::Blackhole => Fault::Blackhole,
        };
        match path {
            PathName::Member => member.set(fault),
            PathName::Registry => registry.set(fault),
        }
    }
    let mut failed = 0;
    for &d in &step.start {
        failed += usize::from(!processes[d].start(program, registry.address));
        thread::sleep(gap(step.start.len()));
    }
    failed
}

/// Share of the messages handed in each bucket (by intended time) that took effect within their wanted time.
fn shares(
    start: Instant,
    run_ms: u64,
    streams: &[Stream],
    handed: &[lilacbank_load::client::Handed],
    effects: &[Effect],
) -> Vec<f64> {
    let mut first: HashMap<String, Instant> = HashMap::new();
    for e in effects {
        let base = e.id.rsplit_once('-').map_or(e.id.as_str(), |(b, _)| b).to_string();
        first.entry(base).and_modify(|t| *t = (*t).min(e.at)).or_insert(e.at);
    }
    let buckets = run_ms.div_ceil(BUCKET_MS) as usize;
    let (mut all, mut good) = (vec![0usize; buckets], vec![0usize; buckets]);
    for h in handed {
        let b = (h.what.at.as_millis() as u64 / BUCKET_MS) as usize;
        let Some(n) = all.get_mut(b) else { continue };
        *n += 1;
        let base = h.what.id(0);
        let base = base.rsplit_once('-').map_or(base.as_str(), |(b, _)| b);
        let due = start + h.what.at + streams[h.what.stream].wanted;
        if first.get(base).is_some_and(|at| *at <= due) {
            good[b] += 1;
        }
    }
    all.iter().zip(&good).map(|(a, g)| if *a == 0 { 1.0 } else { *g as f64 / *a as f64 }).collect()
}

/// Milliseconds from `from` until the share stays within [`FULL_WITHIN`] of `level` for [`FULL_FOR`] buckets.
fn full_service(share: &[f64], level: f64, from: u64) -> Option<u64> {
    let first = from.div_ceil(BUCKET_MS) as usize;
    (first..share.len().saturating_sub(FULL_FOR - 1))
        .find(|b| share[*b..*b + FULL_FOR].iter().all(|s| *s >= level - FULL_WITHIN))
        .map(|b| b as u64 * BUCKET_MS - from)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a time to full service that counts a single good bucket, or one before the restart.
    #[test]
    fn full_service_waits_for_five_seconds_in_a_row_after_the_start() {
        let mut share = vec![1.0; 40];
        share[10..14].iter_mut().for_each(|s| *s = 0.2);
        share[16] = 0.5;
        // From the start at 5,000 ms: buckets 10 to 16 are short; 17 begins ten good ones.
        assert_eq!(full_service(&share, 0.99, 5_000), Some(17 * BUCKET_MS - 5_000));
        assert_eq!(full_service(&share[..25], 0.99, 5_000), None, "not five seconds of it left");
    }
}
