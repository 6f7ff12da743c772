//! Runs a scenario: starts the registry, the endpoints and the dispatchers, submits the load, applies the steps of the timeline,
//! waits for the final answers and audits what clients, endpoints and the receiver of notices saw.

use crate::measure;
use crate::process::Dispatcher;
use crate::report::Report;
use crate::scenario::{Scenario, Step};
use crate::stage::{endpoint_limit, Environment};
use crate::{config, judge, memory, room, rude};
use lilacbank_load::arrivals::{poisson_arrivals, PlannedMessage, Stream};
use lilacbank_load::client::{
    resubmit, run_open_loop, Admission, ClientConfig, DispatcherSelector, Submission,
};
use lilacbank_load::keyed::{audit, Audit, SubmittedMessage};
use lilacbank_load::member::Endpoint;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for final answers after the load: the longest deadline and some slack.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(25);
/// Messages that were accepted within this time before a state folder was lost are submitted again.
const RESUBMIT_SPAN: Duration = Duration::from_secs(10);

/// The streams of the load: for each dispatcher and class, one for each destination, then those of the surge, if there is one.
fn streams(scenario: &Scenario) -> Vec<Stream> {
    let (classes, destinations) = (&scenario.load.classes, scenario.member.count);
    let rate = scenario.load.per_second / (classes.len() * destinations) as f64;
    let mut all = Vec::new();
    for _ in 0..scenario.dispatchers {
        for class in classes {
            let (wanted, deadline) = config::wanted_and_deadline_ms(class);
            let deadline = scenario.deadline_ms.unwrap_or(deadline);
            let usual = (0, scenario.run_ms, rate);
            let surge = scenario.load.surge.as_ref().map(|s| (s.from_ms, s.until_ms, rate * (s.times - 1.0)));
            for (from, until, rate) in [usual].into_iter().chain(surge) {
                all.extend((1..=destinations as u64).map(|dest| Stream {
                    tenant: "acme".into(),
                    class: class.clone(),
                    destination: dest,
                    messages_per_second: rate,
                    from: Duration::from_millis(from),
                    until: Duration::from_millis(until),
                    full_worth_within: Duration::from_millis(wanted),
                    deadline: Duration::from_millis(deadline),
                }));
            }
        }
    }
    all
}

/// Runs the scenario with this program, in a new folder under `work`. The folder is removed at the end unless `keep` is set; a
/// run with misbehaving clients (a soak) keeps it only if an invariant was broken or a start failed.
///
/// # Errors
///
/// If the folder cannot be created, or a port cannot be bound.
pub fn run_scenario(scenario: &Scenario, program: &Path, work: &Path, keep: bool) -> std::io::Result<Report> {
    static RUNS: AtomicUsize = AtomicUsize::new(0);
    // Several runs may be active in one process, also with the same seed.
    let run_number = RUNS.fetch_add(1, Ordering::Relaxed);
    let folder = work.join(format!("lilacbank-rig-{}-{run_number}-{}", std::process::id(), scenario.seed));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder)?;
    let mut environment = Environment::new(scenario, &folder, run_number)?;
    let all: Vec<usize> = (0..scenario.dispatchers).collect();
    environment.start_dispatchers(&all, program, &Step::default());
    let streams = streams(scenario);
    let streams_each = streams.len() / scenario.dispatchers;
    let messages: Vec<PlannedMessage> = poisson_arrivals(scenario.seed, &streams);
    // Each dispatcher has its own clients. While it is down they still connect to its last address, which refuses them.
    let selectors: Vec<DispatcherSelector> = environment
        .dispatchers
        .iter()
        .map(|d| {
            let address = d.address.clone();
            let selector: DispatcherSelector = Arc::new(move |_, _| {
                address
                    .lock()
                    .unwrap_or_else(|e| e.into_inner())
                    .unwrap_or(SocketAddr::from(([127, 0, 0, 1], 9)))
            });
            selector
        })
        .collect();
    let start = Instant::now();
    let (mut last_start, mut last_stop) = (None, None);
    let results: Arc<Mutex<Vec<Submission>>> = Arc::default();
    let addresses: Vec<_> = environment.dispatchers.iter().map(|d| d.address.clone()).collect();
    let state_folders: Vec<PathBuf> =
        environment.dispatchers.iter().map(|d| d.folder.join("state")).collect();
    let limit = (scenario.disk_mb * 1e6) as u64;
    let done = AtomicBool::new(false);
    let doors: Vec<rude::Doors> = environment
        .dispatchers
        .iter()
        .map(|d| rude::Doors { resp: d.address.clone(), mqtt: d.mqtt_address.clone() })
        .collect();
    let process_ids: Vec<_> = environment.dispatchers.iter().map(|d| d.process_ids.clone()).collect();
    let (submissions, resubmissions, visits, over_disk, over_memory) = thread::scope(|scope| {
        let over_memory = scope.spawn(|| memory::over_limit(&process_ids, memory::DEFAULT_LIMIT, &done));
        let over_disk = scope.spawn(|| room::over_limit(&state_folders, limit, &done));
        let end = start + Duration::from_millis(scenario.run_ms);
        let idle_clients = (scenario.crowd > 0).then(|| {
            let addresses = addresses.clone();
            scope.spawn(move || rude::hold_idle_clients(&addresses, scenario.crowd, end))
        });
        let visits =
            scenario.rude.then(|| scope.spawn(move || rude::run_visits(scenario.seed, &doors, start, end)));
        let load = scope.spawn(|| {
            let parts: Vec<_> = (0..scenario.dispatchers)
                .map(|d| {
                    let own: Vec<PlannedMessage> =
                        messages.iter().filter(|m| m.stream_index / streams_each == d).copied().collect();
                    let (streams, selector) = (&streams, selectors[d].clone());
                    let habits = ClientConfig {
                        connections: 16,
                        results: Some(results.clone()),
                        ..ClientConfig::default()
                    };
                    scope.spawn(move || run_open_loop(start, streams, &own, selector, &habits))
                })
                .collect();
            parts.into_iter().flat_map(|p| p.join().unwrap_or_default()).collect::<Vec<Submission>>()
        });
        let mut resubmitting = Vec::new();
        for step in scenario.timeline() {
            thread::sleep((start + Duration::from_millis(step.ms)).saturating_duration_since(Instant::now()));
            if !step.start.is_empty() || !step.upgrade.is_empty() {
                last_start = Some(step.ms);
            }
            if !step.kill.is_empty() || !step.term.is_empty() {
                last_stop = Some(Instant::now());
            }
            environment.apply_step(&step, program, scenario.seed);
            environment.step_done_ms.push(start.elapsed().as_millis() as u64);
            let restarted: Vec<usize> =
                environment.wiped.iter().copied().filter(|d| step.start.contains(d)).collect();
            environment.wiped.retain(|d| !restarted.contains(d));
            for d in restarted {
                let until = last_stop.unwrap_or(start).saturating_duration_since(start);
                let is_affected = |h: &&Submission| {
                    h.message.stream_index / streams_each == d
                        && h.admission == Admission::Accepted
                        && h.message.planned_at < until
                        && h.message.planned_at + RESUBMIT_SPAN > until
                };
                let affected: Vec<Submission> = lock(&results).iter().filter(is_affected).copied().collect();
                let address = *environment.dispatchers[d].address.lock().unwrap_or_else(|e| e.into_inner());
                let streams = &streams;
                let submit = move |address| resubmit(streams, &affected, address, &ClientConfig::default());
                resubmitting.extend(address.map(|address| scope.spawn(move || submit(address))));
            }
        }
        let resubmissions: Vec<_> =
            resubmitting.into_iter().flat_map(|h| h.join().unwrap_or_default()).collect();
        let visits = visits.and_then(|v| v.join().ok()).unwrap_or_default();
        idle_clients.into_iter().for_each(|c| drop(c.join()));
        let submissions = load.join().unwrap_or_default();
        done.store(true, Ordering::Relaxed);
        let over_memory = over_memory.join().unwrap_or_default();
        (submissions, resubmissions, visits, over_disk.join().unwrap_or_default(), over_memory)
    });
    let found = wait_for_final_answers(scenario, &submissions, &resubmissions, &environment, streams_each);
    environment.dispatchers.iter().for_each(Dispatcher::dump_counters);
    thread::sleep(Duration::from_millis(200));
    environment.dispatchers.iter_mut().for_each(Dispatcher::kill);
    let logged =
        judge::scan_logs(&environment.dispatchers.iter().map(|d| d.folder.join("log")).collect::<Vec<_>>());
    let mut report =
        report(scenario, &environment, &streams, &submissions, found, (start, last_stop, last_start));
    report.hanging = rude::hanging(&visits, |n, from, until| judge::cannot_accept(scenario, n, from, until));
    report.late = late_messages(scenario, &environment, &submissions, streams_each, start);
    report.over_disk = over_disk;
    report.over_memory = over_memory;
    (report.violations, report.panics) = (logged.violations, logged.panics);
    report.again = resubmissions.len();
    report.again_without_call = resubmissions.iter().filter(|(_, answer)| is_final(answer)).count();
    // A soak keeps only the folders of runs that failed.
    if keep && !(scenario.rude && report.clean()) {
        eprintln!("folders and logs are kept in {}", folder.display());
    } else {
        let _ = std::fs::remove_dir_all(&folder);
    }
    Ok(report)
}

/// Whether this reply to a submission is the final answer: an error other than `-BUSY`, not an acceptance and not empty.
fn is_final(answer: &str) -> bool {
    answer.starts_with('-') && !answer.starts_with("-BUSY")
}

/// Waits until each accepted message has its final answer, at most [`SETTLE_TIMEOUT`]; returns the audit.
fn wait_for_final_answers(
    scenario: &Scenario,
    submissions: &[Submission],
    resubmissions: &[(String, String)],
    environment: &Environment,
    streams_each: usize,
) -> Audit {
    let sent: Vec<SubmittedMessage> = submissions
        .iter()
        .map(|h| SubmittedMessage {
            id: h.message.id(h.rejections),
            key: ((h.message.stream_index as u64) << 32) | h.message.index as u64,
            position: h.message.index,
            accepted: h.admission == Admission::Accepted,
            answer_time: h.lag,
        })
        .collect();
    let streams_per_class = streams_each / scenario.load.classes.len();
    let once =
        |key: u64| scenario.load.classes[(key >> 32) as usize % streams_each / streams_per_class] == "pay";
    // An error reply to a submission is a final answer, like a notice.
    let errors = resubmissions.iter().filter(|(_, answer)| is_final(answer));
    let errors: Vec<String> = errors.map(|(id, _)| format!("{{\"message\":\"{id}\"}}")).collect();
    let waiting_since = Instant::now();
    loop {
        let effects: Vec<_> = environment.endpoints.iter().flat_map(Endpoint::effects).collect();
        let notices = [lock(&environment.registry.notices), errors.clone()].concat();
        let attempts: Vec<_> = environment.endpoints.iter().flat_map(Endpoint::attempts).collect();
        let found = audit(&sent, &effects, &attempts, &notices, once);
        if found.lost.is_empty() || waiting_since.elapsed() > SETTLE_TIMEOUT {
            return found;
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// Describes the messages whose final answer came long after their deadline; only if the scenario sets one deadline for all.
fn late_messages(
    scenario: &Scenario,
    environment: &Environment,
    submissions: &[Submission],
    streams_each: usize,
    start: Instant,
) -> Vec<String> {
    let Some(deadline) = scenario.deadline_ms else { return Vec::new() };
    let since = |at: Instant| at.saturating_duration_since(start).as_millis() as u64;
    let mut first_answers: HashMap<String, u64> = HashMap::new();
    let mut add_answer = |id: &str, at: u64| {
        first_answers.entry(id.to_string()).and_modify(|known| *known = at.min(*known)).or_insert(at);
    };
    for effect in environment.endpoints.iter().flat_map(Endpoint::effects) {
        add_answer(&effect.id, since(effect.took_effect_at));
    }
    for (line, at) in lock(&environment.registry.notices).iter().zip(lock(&environment.registry.notice_times))
    {
        let id = line.split("\"message\":\"").nth(1).and_then(|rest| rest.split('"').next());
        id.into_iter().for_each(|id| add_answer(id, since(at)));
    }
    let answer = |h: &Submission| {
        let id = h.message.id(h.rejections);
        let ended = *first_answers.get(&id)?;
        let due = h.message.planned_at.as_millis() as u64 + deadline;
        Some(judge::FinalAnswer { id, dispatcher: h.message.stream_index / streams_each, due, ended })
    };
    let answers: Vec<judge::FinalAnswer> =
        submissions.iter().filter(|h| h.admission == Admission::Accepted).filter_map(answer).collect();
    let down = |n: usize| -> Vec<(u64, u64)> {
        let serving = &environment.dispatchers[n].serving;
        serving.windows(2).filter_map(|w| Some((since(w[0].1?), since(w[1].0)))).collect()
    };
    judge::late_answers(&answers, |n| judge::outages(scenario, &environment.step_done_ms, n, &down(n)))
}

/// Builds the report of a run from the audit and the measurements; the fields of the other checks stay empty.
fn report(
    scenario: &Scenario,
    environment: &Environment,
    streams: &[Stream],
    submissions: &[Submission],
    found: Audit,
    (start, last_stop, last_start): (Instant, Option<Instant>, Option<u64>),
) -> Report {
    let run_ms = scenario.run_ms;
    let effects: Vec<_> = environment.endpoints.iter().flat_map(Endpoint::effects).collect();
    let first = measure::first_effects(&effects);
    let share = measure::shares(start, run_ms, streams, submissions, &first);
    let level = measure::level(&share, scenario.timeline().first().map_or(run_ms, |s| s.ms));
    let first_delivery_ms = last_start.and_then(|at| {
        let from = start + Duration::from_millis(at);
        effects
            .iter()
            .filter(|e| e.took_effect_at >= from)
            .map(|e| e.took_effect_at.duration_since(from).as_millis() as u64)
            .min()
    });
    let (asks_in_10ms, asks) = environment.registry.max_watch_requests_in(Duration::from_millis(10));
    let since = |t: &Instant| match t.checked_duration_since(start) {
        Some(d) => d.as_millis() as i64,
        None => -(start.duration_since(*t).as_millis() as i64),
    };
    let calls: Vec<Vec<Instant>> = environment.endpoints.iter().map(Endpoint::calls).collect();
    let max = |peaks: Vec<f64>| peaks.into_iter().reduce(f64::max);
    let limit = endpoint_limit(scenario);
    let peak_over_limit = limit.zip(last_stop).and_then(|(limit, last_stop)| {
        max(calls.iter().map(|c| measure::peak(c, last_stop, &limit)).collect())
    });
    let cold_peak_over_limit = limit.and_then(|limit| {
        max(environment
            .recoveries
            .iter()
            .map(|(n, at)| measure::cold_peak(&calls[*n], *at, &limit))
            .collect())
    });
    let serving = (0..run_ms.div_ceil(measure::BUCKET_MS))
        .map(|b| {
            let at = start + Duration::from_millis(b * measure::BUCKET_MS);
            let is_serving =
                |d: &&Dispatcher| d.serving.iter().any(|(from, to)| *from <= at && to.is_none_or(|t| t > at));
            environment.dispatchers.iter().filter(is_serving).count()
        })
        .collect();
    Report {
        handed: submissions.len(),
        taken: found.accepted,
        delivered: found.delivered,
        told: found.notified,
        lost: found.lost,
        doubled: found.repeated_effects,
        overlapping: found.overlapping,
        altered: found.altered,
        told_twice: found.conflicting_answers,
        asks,
        asks_in_10ms,
        asks_at_ms: lock(&environment.registry.watch_requests).iter().map(since).collect(),
        full_service_ms: last_start.and_then(|at| measure::full_service(&share, level, at)),
        share,
        level,
        first_delivery_ms,
        failed_starts: environment.failed_starts,
        peak_over_limit,
        cold_peak_over_limit,
        falls: environment.endpoints.iter().map(Endpoint::crashes).sum(),
        refused: environment.endpoints.iter().map(Endpoint::refused).sum(),
        latency_ms: measure::latencies(start, submissions, &first),
        calls: calls.iter().map(|c| measure::count_by_bucket(start, run_ms, c)).collect(),
        serving,
        hanging: Vec::new(),
        over_memory: Vec::new(),
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
