//! Plays a scenario: starts the registry, the members and the dispatchers, hands in the load, plays the timeline, waits
//! for the final answers and audits what clients, the members and the platform saw.

use crate::measure;
use crate::process::Process;
use crate::report::Report;
use crate::scenario::{Scenario, Step};
use crate::stage::{limit_of, Stage};
use crate::{config, judge, room, rude};
use lilacbank_load::arrivals::{poisson, Intended, Stream};
use lilacbank_load::client::{drive, hand_in_again, Door, Habits, Handed, Route};
use lilacbank_load::keyed::{audit, Audit, Sent};
use lilacbank_load::member::Endpoint;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// After the load, final answers are awaited for so long at most (the longest deadline and its slack).
const SETTLE_MOST: Duration = Duration::from_secs(25);
/// Messages taken within so long before a folder was lost are handed in again.
const AGAIN_SPAN: Duration = Duration::from_secs(10);

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
    let logged = judge::logged(&stage.processes.iter().map(|p| p.folder.join("log")).collect::<Vec<_>>());
    let mut report = report(scenario, &stage, &streams, &handed, found, (start, wave, last_start));
    report.hanging = rude::hanging(&rude, |n, from, until| judge::refuses_clients(scenario, n, from, until));
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
        Some(judge::Ending { id, dispatcher: h.what.stream / per, due, ended })
    };
    let endings: Vec<judge::Ending> =
        handed.iter().filter(|h| h.door == Door::Taken).filter_map(ending).collect();
    let away = |n: usize| -> Vec<(u64, u64)> {
        let lives = &stage.processes[n].lives;
        lives.windows(2).filter_map(|w| Some((since(w[0].1?), since(w[1].0)))).collect()
    };
    judge::late(&endings, |n| judge::excuses(scenario, &stage.played, n, &away(n)))
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
