//! Plays drawn from a seed: troubles of many kinds that overlap in time, judged by the invariants of [`crate::report`].
//!
//! A trouble is a few steps of a timeline, or a span in the schedule of failing system calls of some dispatchers
//! (`crates/faults`). All are over a while before the load ends, so that what was taken on has to get its end.

use crate::scenario::{
    FaultName, Faults, Load, Member, MemberStep, PathName, RegistryStep, Scenario, Signal, Step, Surge,
};
use lilacbank_load::connection_fault::CONNECTION_FAULTS;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use std::path::{Path, PathBuf};

/// What is asked of a soak.
#[derive(Debug, Clone)]
pub struct Spec {
    /// All draws hang on it.
    pub seed: u64,
    /// Processes of the program.
    pub dispatchers: usize,
    /// Milliseconds of load.
    pub run_ms: u64,
    /// Troubles begin one after another, on average this many at once.
    pub at_once: f64,
    /// The library of `crates/faults`; without it no system call fails.
    pub library: Option<PathBuf>,
}

/// Milliseconds in which nothing happens yet, at the start of a play.
const QUIET_FIRST: u64 = 1_500;
/// Troubles are over so long before the load ends.
const QUIET_LAST: u64 = 1_500;
/// A trouble lasts so many milliseconds.
const LEAST: u64 = 400;
const MOST: u64 = 3_000;
/// A function fails for so long at most.
const FAILS_MOST: u64 = 1_000;
/// A killed process starts again no sooner.
const DOWN_LEAST: u64 = 600;
/// SIGKILL comes so long behind SIGTERM: as early as the platform may.
const KILL_AFTER: u64 = 3_700;
/// A process that was stopped has this behind it, with its kill and the next start.
const STOP_SPAN: u64 = KILL_AFTER + DOWN_LEAST + 200;
/// Endpoints of each member,
const ENDPOINTS_EACH: usize = 2;
/// and members.
const MEMBERS: usize = 2;
/// Milliseconds that a call takes at the endpoints of a play, drawn from these.
const SERVICE_MS: [u64; 3] = [5, 20, 45];
/// One play in so many has a crowd: that many times the load in its middle, and idle clients at each dispatcher.
const CROWD_EACH: u64 = 4;
const CROWD_TIMES: f64 = 5.0;
const CROWD_IDLE: usize = 60;
/// Messages may be delivered for so long: many times are up within a play.
const DEADLINE: u64 = 4_000;
const HOUR_MS: i64 = 3_600_000;
/// Until the end of the play.
const FOR_GOOD: u64 = 1_000_000_000;

/// The kinds of trouble.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    Kill,
    Stop,
    /// The same within a series of signals.
    Signals,
    Upgrade,
    Reload,
    /// Endpoints end, reset or forget connections.
    Connections,
    /// Endpoints drain, and serve again.
    Drain,
    /// The path to one endpoint of each member is longer than the others.
    LongPath,
    MemberPath(FaultName),
    RegistryPath(FaultName),
    MemberDown,
    OlderList,
    ClockStep,
    Calls(&'static str),
    /// A function of the C library and the error with which it fails.
    Fails(&'static str),
}

const TROUBLES: [Trouble; 43] = [
    Trouble::Signals,
    Trouble::Connections,
    Trouble::Connections,
    Trouble::Connections,
    Trouble::Connections,
    Trouble::Drain,
    Trouble::Drain,
    Trouble::LongPath,
    Trouble::LongPath,
    Trouble::Calls("late"),
    Trouble::Calls("late"),
    Trouble::Calls("late"),
    Trouble::Kill,
    Trouble::Kill,
    Trouble::Stop,
    Trouble::Stop,
    Trouble::Upgrade,
    Trouble::Upgrade,
    Trouble::Reload,
    Trouble::MemberPath(FaultName::Blackhole),
    Trouble::MemberPath(FaultName::Reset),
    Trouble::MemberPath(FaultName::Delay),
    Trouble::MemberPath(FaultName::Truncate),
    Trouble::RegistryPath(FaultName::Blackhole),
    Trouble::RegistryPath(FaultName::Reset),
    Trouble::RegistryPath(FaultName::Truncate),
    Trouble::MemberDown,
    Trouble::OlderList,
    Trouble::ClockStep,
    Trouble::ClockStep,
    Trouble::Calls("enospc"),
    Trouble::Calls("eio"),
    Trouble::Calls("accept"),
    Trouble::Calls("connect"),
    Trouble::Calls("eintr"),
    Trouble::Calls("short"),
    Trouble::Fails("send ENOBUFS"),
    Trouble::Fails("recv ENOMEM"),
    Trouble::Fails("epoll_ctl ENOMEM"),
    Trouble::Fails("socket EMFILE"),
    Trouble::Fails("open64 EMFILE"),
    Trouble::Fails("rename EIO"),
    Trouble::Fails("pwrite64 ENOSPC"),
];

/// Draws a play.
struct Draw {
    random: StdRng,
    /// Until when a dispatcher has a trouble of its process, and is left alone by others of that kind.
    busy_until: Vec<u64>,
    steps: Vec<Step>,
    schedules: Vec<Vec<String>>,
}

/// The play of a seed.
pub fn scenario(spec: &Spec) -> Scenario {
    let mut draw = Draw {
        random: StdRng::seed_from_u64(spec.seed),
        busy_until: vec![0; spec.dispatchers],
        steps: Vec::new(),
        schedules: vec![Vec::new(); spec.dispatchers],
    };
    let last = spec.run_ms.saturating_sub(QUIET_LAST);
    let gap = ((LEAST + MOST) as f64 / 2.0 / spec.at_once.max(0.1)) as u64;
    let mut at = QUIET_FIRST;
    while at + LEAST < last {
        let trouble = TROUBLES[draw.random.random_range(0..TROUBLES.len())];
        let until = (at + draw.random.random_range(LEAST..MOST)).min(last);
        draw.add(trouble, at, until);
        at += draw.random.random_range(1..2 * gap.max(2));
    }
    let schedules = draw.schedules.iter().map(|s| s.join("; ")).collect();
    let service_ms = SERVICE_MS[draw.random.random_range(0..SERVICE_MS.len())];
    let crowded = spec.seed.is_multiple_of(CROWD_EACH);
    let (from_ms, until_ms) = (spec.run_ms / 3, spec.run_ms / 2);
    let surge = crowded.then_some(Surge { from_ms, until_ms, times: CROWD_TIMES });
    Scenario {
        seed: spec.seed,
        dispatchers: spec.dispatchers,
        balancers: None,
        run_ms: spec.run_ms,
        disk_mb: 0.3,
        recovery: false,
        replication: false,
        ack: false,
        member: Member {
            service_ms,
            at_once: 32,
            queue: 256,
            count: MEMBERS,
            each: ENDPOINTS_EACH,
            per_second: None,
            cold_ms: 1_000,
        },
        load: Load { per_second: 12.0, classes: vec!["safe".into(), "order".into(), "pay".into()], surge },
        crowd: if crowded { CROWD_IDLE } else { 0 },
        rude: true,
        deadline_ms: Some(DEADLINE),
        faults: spec.library.clone().map(|library| Faults { library, schedules }),
        steps: draw.steps.into_iter().map(|s| toml::Spanned::new(0..0, s)).collect(),
    }
}

impl Draw {
    /// Some of the dispatchers, at least one.
    fn some(&mut self, of: Vec<usize>) -> Vec<usize> {
        let mut of = of;
        of.shuffle(&mut self.random);
        let most = of.len().div_ceil(3).max(1);
        let count = self.random.random_range(1..=most);
        of.truncate(count);
        of
    }

    /// Some of those whose process has no other trouble then; they have this one until `until`.
    fn free(&mut self, at: u64, until: u64) -> Vec<usize> {
        let free = (0..self.busy_until.len()).filter(|n| self.busy_until[*n] <= at).collect::<Vec<_>>();
        if free.is_empty() {
            return free;
        }
        let which = self.some(free);
        which.iter().for_each(|n| self.busy_until[*n] = until);
        which
    }

    /// The kill behind SIGTERM, and the next start.
    fn kill_and_start(&mut self, which: Vec<usize>, at: u64) {
        let step = |ms: u64| Step { ms, ..Step::default() };
        self.steps.push(Step { kill: which.clone(), ..step(at + KILL_AFTER) });
        self.steps.push(Step { start: which, spread_ms: 100, ..step(at + KILL_AFTER + DOWN_LEAST) });
    }

    fn all(&self) -> Vec<usize> {
        (0..self.busy_until.len()).collect()
    }

    fn add(&mut self, trouble: Trouble, at: u64, until: u64) {
        let step = |ms: u64| Step { ms, ..Step::default() };
        let down = at + DOWN_LEAST.max(until - at);
        match trouble {
            Trouble::Kill => {
                let which = self.free(at, down + 200);
                let kill = Step { kill: which.clone(), spread_ms: 50, ..step(at) };
                self.steps.extend([kill, Step { start: which, spread_ms: 50, ..step(down) }]);
            }
            Trouble::Stop => {
                let which = self.free(at, at + STOP_SPAN);
                self.steps.push(Step { term: which.clone(), ..step(at) });
                self.kill_and_start(which, at);
            }
            Trouble::Signals => {
                use Signal::{Count, Hangup, Terminate};
                let which = self.free(at, at + STOP_SPAN);
                let signals = vec![Hangup, Count, Hangup, Terminate, Hangup, Terminate, Count];
                self.steps.push(Step { signals, of: which.clone(), ..step(at) });
                self.kill_and_start(which, at);
            }
            Trouble::Connections => {
                let members = self.some((0..MEMBERS * ENDPOINTS_EACH).collect());
                let mut faults = CONNECTION_FAULTS.to_vec();
                faults.shuffle(&mut self.random);
                let begin = Step { connections: Some(faults), members: members.clone(), ..step(at) };
                self.steps.extend([begin, Step { connections: Some(Vec::new()), members, ..step(until) }]);
            }
            Trouble::Drain => {
                let members = vec![self.random.random_range(0..MEMBERS * ENDPOINTS_EACH)];
                let tell = |ms, drains| Step { drain: Some(drains), members: members.clone(), ..step(ms) };
                self.steps.extend([tell(at, true), tell(until, false)]);
            }
            Trouble::LongPath => {
                let path = Some(PathName::Member);
                let (of, members) = (self.some(self.all()), vec![0, ENDPOINTS_EACH]);
                let delay_ms = Some(self.random.random_range(10..120));
                let fault = Some(FaultName::Delay);
                let begin =
                    Step { fault, path, of: of.clone(), members: members.clone(), delay_ms, ..step(at) };
                let end = Step { fault: Some(FaultName::Pass), path, of, members, ..step(until) };
                self.steps.extend([begin, end]);
            }
            Trouble::Upgrade => {
                let which = self.free(at, at + 4_500);
                self.steps.push(Step { upgrade: which, ..step(at) });
            }
            Trouble::Reload => {
                let which = self.some(self.all());
                self.steps
                    .extend([0, 120, 300].map(|more| Step { reload: which.clone(), ..step(at + more) }));
            }
            Trouble::MemberPath(fault) | Trouble::RegistryPath(fault) => {
                let member = matches!(trouble, Trouble::MemberPath(_));
                let path = Some(if member { PathName::Member } else { PathName::Registry });
                let of = self.some(self.all());
                let delay_ms = (fault == FaultName::Delay).then(|| self.random.random_range(50..600));
                let begin = Step { fault: Some(fault), path, of: of.clone(), delay_ms, ..step(at) };
                self.steps.extend([begin, Step { fault: Some(FaultName::Pass), path, of, ..step(until) }]);
            }
            Trouble::MemberDown => {
                let members = vec![self.random.random_range(0..MEMBERS * ENDPOINTS_EACH)];
                let event = |ms, what| Step { member: Some(what), members: members.clone(), ..step(ms) };
                self.steps.extend([event(at, MemberStep::Down), event(until, MemberStep::Up)]);
            }
            Trouble::OlderList => {
                let event = |ms, what| Step { registry: Some(what), ..step(ms) };
                self.steps.extend([event(at, RegistryStep::Older), event(until, RegistryStep::Newest)]);
            }
            Trouble::ClockStep => {
                let sign = if self.random.random_range(0..2) == 0 { -1 } else { 1 };
                let by = sign * self.random.random_range(1_000..=HOUR_MS);
                for n in self.some(self.all()) {
                    self.schedules[n].push(format!("clock {at} {FOR_GOOD} {by}"));
                }
            }
            Trouble::Fails(how) => {
                // Much longer, and most messages would only wait for the end of the fault.
                let until = until.min(at + FAILS_MOST);
                for n in self.some(self.all()) {
                    self.schedules[n].push(format!("fail {at} {until} {how}"));
                }
            }
            Trouble::Calls(kind) => {
                let argument = if kind == "enospc" { self.random.random_range(0..2) } else { 0 };
                for n in self.some(self.all()) {
                    self.schedules[n].push(format!("{kind} {at} {until} {argument}"));
                    self.schedules[n].push(format!("halt {at} {until}"));
                }
            }
        }
    }
}

/// A final answer may come so long after its time: 300 ms by the protocol, and what a busy machine adds.
const LATE_MOST: u64 = 1_300;
/// After its time in which a message's end may be late for a trouble that is over: connections are opened anew, and no notice
/// is overdue until 1.5 s after a dispatcher is ready again.
const RECOVERY: u64 = 3_500;

/// A message that was taken on, and its ends, in milliseconds from the start of the load.
#[derive(Debug, Clone)]
pub(crate) struct Ending {
    pub(crate) id: String,
    pub(crate) dispatcher: usize,
    /// When its time is up.
    pub(crate) due: u64,
    /// The first effect or notice.
    pub(crate) ended: u64,
}

/// Spans in which a dispatcher cannot be asked to end messages in time: its process is away, or its path to the platform, or
/// none of its connections comes up. `played` says when each step of the timeline had been played.
pub(crate) fn excuses(
    scenario: &Scenario,
    played: &[u64],
    dispatcher: usize,
    away: &[(u64, u64)],
) -> Vec<(u64, u64)> {
    let mut spans = away.to_vec();
    let mut since = None;
    for (step, played) in scenario.timeline().into_iter().zip(played) {
        let named = step.of.is_empty() || step.of.contains(&dispatcher);
        match step.fault {
            Some(_) if step.path != Some(PathName::Registry) || !named => {}
            Some(FaultName::Pass) => spans.extend(since.take().map(|from| (from, *played))),
            Some(_) => since = since.or(Some(step.ms)),
            None => {}
        }
    }
    let schedule = scenario.faults.as_ref().and_then(|f| f.schedules.get(dispatcher));
    for fault in schedule.iter().flat_map(|s| s.split(';')) {
        if let [kind, from, until, ..] = fault.split_whitespace().collect::<Vec<_>>().as_slice() {
            // Without an open folder no process starts; in a stop of connections no notice goes out.
            if ["connect", "late", "eio", "fail"].contains(kind) {
                spans.extend(from.parse().ok().zip(until.parse().ok()));
            }
        }
    }
    spans
}

/// Does the dispatcher take no new connection at some moment of this span, by its schedule of faults?
pub(crate) fn refuses_clients(scenario: &Scenario, dispatcher: usize, from: u64, until: u64) -> bool {
    let schedule = scenario.faults.as_ref().and_then(|f| f.schedules.get(dispatcher));
    let span = |fault: &str| match fault.split_whitespace().collect::<Vec<_>>().as_slice() {
        ["accept", begin, end, ..] => begin.parse().ok().zip(end.parse().ok()),
        _ => None,
    };
    let mut spans = schedule.into_iter().flat_map(|s| s.split(';')).filter_map(span);
    spans.any(|(begin, end): (u64, u64)| begin <= until && from <= end)
}

/// Those that ended too late, without an excuse near their time.
pub(crate) fn late(endings: &[Ending], excuses: impl Fn(usize) -> Vec<(u64, u64)>) -> Vec<String> {
    let excused = |e: &Ending| {
        excuses(e.dispatcher).iter().any(|(from, until)| *from <= e.ended && e.due <= until + RECOVERY)
    };
    let late = endings.iter().filter(|e| e.ended > e.due + LATE_MOST && !excused(e));
    late.map(|e| format!("{} of n{}: {} ms late", e.id, e.dispatcher, e.ended - e.due)).collect()
}

/// What the dispatchers' logs tell that must not be.
#[derive(Debug, Clone, Default)]
pub(crate) struct Logged {
    pub(crate) violations: Vec<String>,
    pub(crate) panics: Vec<String>,
}

/// Looks through the logs.
pub(crate) fn logged(logs: &[PathBuf]) -> Logged {
    let mut found = Logged::default();
    for path in logs {
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let named = |line: &str| format!("{}: {line}", name_of(path));
        for line in text.lines() {
            if line.contains("panicked at") {
                found.panics.push(named(line));
            } else if line.contains("\"violations\":{\"") {
                found.violations.push(named(line));
            }
        }
    }
    found
}

fn name_of(log: &Path) -> String {
    let folder = log.parent().and_then(Path::file_name);
    folder.map(|n| n.to_string_lossy().into_owned()).unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a judge that excuses everything, or nothing.
    #[test]
    fn an_end_is_late_unless_its_dispatcher_was_away() {
        let ending = |due, ended| Ending { id: "m".into(), dispatcher: 0, due, ended };
        let none = |_| Vec::new();
        assert!(late(&[ending(4_000, 4_300), ending(4_000, 2_000)], none).is_empty());
        assert_eq!(late(&[ending(4_000, 9_000)], none).len(), 1);
        assert!(late(&[ending(4_000, 9_000)], |_| vec![(3_000, 5_000)]).is_empty());
        assert_eq!(late(&[ending(9_000, 12_000)], |_| vec![(3_000, 5_000)]).len(), 1, "long over");
    }

    /// Guards against plays that cannot be played again, and against troubles that last beyond the load.
    #[test]
    fn a_seed_draws_the_same_play_each_time_and_its_troubles_end() {
        for seed in 0..50 {
            let library = Some(PathBuf::from("library"));
            let spec = Spec { seed, dispatchers: 6, run_ms: 12_000, at_once: 2.5, library };
            let (a, b) = (scenario(&spec), scenario(&spec));
            assert_eq!(format!("{a:?}"), format!("{b:?}"));
            assert!(a.steps.len() + a.faults.iter().flat_map(|f| &f.schedules).count() > 4);
            let paths = |s: &Step| (s.path.map(|p| p as usize), s.of.clone(), s.members.clone());
            let mut cut = std::collections::BTreeSet::new();
            for step in a.timeline().iter().filter(|s| s.fault.is_some()) {
                match step.fault {
                    Some(FaultName::Pass) => cut.remove(&paths(step)),
                    _ => cut.insert(paths(step)),
                };
            }
            assert!(cut.is_empty(), "{cut:?}");
        }
    }
}
