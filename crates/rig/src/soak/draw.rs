//! The kinds of faults in a soak, and how each is drawn: as steps of the timeline, or as a span in a dispatcher's fault schedule.

use super::{DESTINATIONS, ENDPOINTS_EACH};
use crate::scenario::{FaultName, MemberStep, PathName, RegistryStep, Signal, Step};
use lilacbank_load::connection_fault::CONNECTION_FAULTS;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

/// Longest time for which a function fails, in milliseconds. With much longer ones most messages would only wait for the end
/// of the fault.
const MAX_FUNCTION_ERROR_MS: u64 = 1_000;
/// Shortest time from the kill of a process to its next start, in milliseconds.
const MIN_DOWN_MS: u64 = 600;
/// Time from SIGTERM to SIGKILL in milliseconds, the shortest that the platform may use.
const KILL_AFTER_MS: u64 = 3_700;
/// Time from SIGTERM until the process has been killed and started again, in milliseconds.
const STOP_SPAN_MS: u64 = KILL_AFTER_MS + MIN_DOWN_MS + 200;
const HOUR_MS: i64 = 3_600_000;
/// End of a fault that lasts until the end of the run, in milliseconds.
const FOREVER_MS: u64 = 1_000_000_000;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FaultKind {
    /// Processes get SIGKILL and are started again.
    Kill,
    /// Processes get SIGTERM, then SIGKILL, and are started again.
    Stop,
    /// As `Stop`, with SIGTERM in a series of other signals.
    Signals,
    /// Sibling processes replace processes.
    Upgrade,
    /// Processes read their configuration again.
    Reload,
    /// Endpoints half-close, reset or stop serving connections.
    ConnectionFaults,
    /// An endpoint drains, and serves again.
    Drain,
    /// The path to one endpoint of each destination is slower than to the others.
    SlowPath,
    /// The paths to endpoints have a fault.
    EndpointPath(FaultName),
    /// The path to the registry has a fault.
    RegistryPath(FaultName),
    /// An endpoint has an outage.
    EndpointDown,
    /// The registry publishes an older endpoint list.
    OlderList,
    /// The wall clock steps.
    ClockStep,
    /// A kind of failing system calls, in the words of the fault schedule.
    SystemCalls(&'static str),
    /// A function of the C library and the error with which it fails.
    FunctionError(&'static str),
}

/// The kinds from which scenarios are drawn, with equal probability for each element; repeated kinds come more often.
pub(super) const FAULT_KINDS: [FaultKind; 43] = [
    FaultKind::Signals,
    FaultKind::ConnectionFaults,
    FaultKind::ConnectionFaults,
    FaultKind::ConnectionFaults,
    FaultKind::ConnectionFaults,
    FaultKind::Drain,
    FaultKind::Drain,
    FaultKind::SlowPath,
    FaultKind::SlowPath,
    FaultKind::SystemCalls("late"),
    FaultKind::SystemCalls("late"),
    FaultKind::SystemCalls("late"),
    FaultKind::Kill,
    FaultKind::Kill,
    FaultKind::Stop,
    FaultKind::Stop,
    FaultKind::Upgrade,
    FaultKind::Upgrade,
    FaultKind::Reload,
    FaultKind::EndpointPath(FaultName::Blackhole),
    FaultKind::EndpointPath(FaultName::Reset),
    FaultKind::EndpointPath(FaultName::Delay),
    FaultKind::EndpointPath(FaultName::Truncate),
    FaultKind::RegistryPath(FaultName::Blackhole),
    FaultKind::RegistryPath(FaultName::Reset),
    FaultKind::RegistryPath(FaultName::Truncate),
    FaultKind::EndpointDown,
    FaultKind::OlderList,
    FaultKind::ClockStep,
    FaultKind::ClockStep,
    FaultKind::SystemCalls("enospc"),
    FaultKind::SystemCalls("eio"),
    FaultKind::SystemCalls("accept"),
    FaultKind::SystemCalls("connect"),
    FaultKind::SystemCalls("eintr"),
    FaultKind::SystemCalls("short"),
    FaultKind::FunctionError("send ENOBUFS"),
    FaultKind::FunctionError("recv ENOMEM"),
    FaultKind::FunctionError("epoll_ctl ENOMEM"),
    FaultKind::FunctionError("socket EMFILE"),
    FaultKind::FunctionError("open64 EMFILE"),
    FaultKind::FunctionError("rename EIO"),
    FaultKind::FunctionError("pwrite64 ENOSPC"),
];

/// Draws the faults of a scenario.
pub(super) struct Generator {
    pub(super) rng: StdRng,
    /// For each dispatcher, the time in milliseconds until which a fault affects its process; other process faults leave it out.
    busy_until: Vec<u64>,
    /// The steps of the timeline so far, in any order.
    pub(super) steps: Vec<Step>,
    /// The fault schedule of each dispatcher so far.
    pub(super) schedules: Vec<Vec<String>>,
}

/// A step at this time without an action.
fn step(ms: u64) -> Step {
    Step { ms, ..Step::default() }
}

impl Generator {
    pub(super) fn new(seed: u64, dispatchers: usize) -> Generator {
        Generator {
            rng: StdRng::seed_from_u64(seed),
            busy_until: vec![0; dispatchers],
            steps: Vec::new(),
            schedules: vec![Vec::new(); dispatchers],
        }
    }

    /// Draws a fault of this kind that begins and ends at these times.
    pub(super) fn add_fault(&mut self, kind: FaultKind, at: u64, until: u64) {
        match kind {
            FaultKind::Kill => self.kill(at, until),
            FaultKind::Stop => self.stop(at),
            FaultKind::Signals => self.signals(at),
            FaultKind::Upgrade => self.upgrade(at),
            FaultKind::Reload => self.reload(at),
            FaultKind::ConnectionFaults => self.connection_faults(at, until),
            FaultKind::Drain => self.drain(at, until),
            FaultKind::SlowPath => self.slow_path(at, until),
            FaultKind::EndpointPath(fault) => self.path(PathName::Member, fault, at, until),
            FaultKind::RegistryPath(fault) => self.path(PathName::Registry, fault, at, until),
            FaultKind::EndpointDown => self.endpoint_down(at, until),
            FaultKind::OlderList => self.older_list(at, until),
            FaultKind::ClockStep => self.clock_step(at),
            FaultKind::FunctionError(function_and_error) => {
                self.function_error(function_and_error, at, until)
            }
            FaultKind::SystemCalls(name) => self.system_calls(name, at, until),
        }
    }

    /// A random subset of at least one and at most a third (rounded up) of these indexes.
    fn sample(&mut self, from: Vec<usize>) -> Vec<usize> {
        let mut from = from;
        from.shuffle(&mut self.rng);
        let max_count = from.len().div_ceil(3).max(1);
        let count = self.rng.random_range(1..=max_count);
        from.truncate(count);
        from
    }

    /// A random subset of the dispatchers whose process has no fault at `at`; marks them as busy until `until`.
    fn claim_idle(&mut self, at: u64, until: u64) -> Vec<usize> {
        let idle = (0..self.busy_until.len()).filter(|n| self.busy_until[*n] <= at).collect::<Vec<_>>();
        if idle.is_empty() {
            return idle;
        }
        let which = self.sample(idle);
        which.iter().for_each(|n| self.busy_until[*n] = until);
        which
    }

    /// Adds the SIGKILL that follows a SIGTERM at `at`, and the next start.
    fn kill_and_start(&mut self, which: Vec<usize>, at: u64) {
        self.steps.push(Step { kill: which.clone(), ..step(at + KILL_AFTER_MS) });
        self.steps.push(Step { start: which, spread_ms: 100, ..step(at + KILL_AFTER_MS + MIN_DOWN_MS) });
    }

    fn all(&self) -> Vec<usize> {
        (0..self.busy_until.len()).collect()
    }

    /// Kills some processes, and starts them again.
    fn kill(&mut self, at: u64, until: u64) {
        let down = at + MIN_DOWN_MS.max(until - at);
        let which = self.claim_idle(at, down + 200);
        let kill = Step { kill: which.clone(), spread_ms: 50, ..step(at) };
        self.steps.extend([kill, Step { start: which, spread_ms: 50, ..step(down) }]);
    }

    /// Sends SIGTERM to some processes, and SIGKILL as early as the platform may; then starts them again.
    fn stop(&mut self, at: u64) {
        let which = self.claim_idle(at, at + STOP_SPAN_MS);
        self.steps.push(Step { term: which.clone(), ..step(at) });
        self.kill_and_start(which, at);
    }

    /// As `stop`, with SIGTERM in a series of other signals.
    fn signals(&mut self, at: u64) {
        use Signal::{DumpCounters, Hangup, Terminate};
        let which = self.claim_idle(at, at + STOP_SPAN_MS);
        let signals = vec![Hangup, DumpCounters, Hangup, Terminate, Hangup, Terminate, DumpCounters];
        self.steps.push(Step { signals, of: which.clone(), ..step(at) });
        self.kill_and_start(which, at);
    }

    /// Starts a sibling process for some dispatchers and then sends SIGTERM to the first one.
    fn upgrade(&mut self, at: u64) {
        let which = self.claim_idle(at, at + 4_500);
        self.steps.push(Step { upgrade: which, ..step(at) });
    }

    /// Makes some dispatchers read their configuration again, three times in a row.
    fn reload(&mut self, at: u64) {
        let which = self.sample(self.all());
        self.steps.extend([0, 120, 300].map(|offset| Step { reload: which.clone(), ..step(at + offset) }));
    }

    /// Makes some endpoints half-close, reset or stop serving connections.
    fn connection_faults(&mut self, at: u64, until: u64) {
        let members = self.sample((0..DESTINATIONS * ENDPOINTS_EACH).collect());
        let mut faults = CONNECTION_FAULTS.to_vec();
        faults.shuffle(&mut self.rng);
        let begin = Step { connections: Some(faults), members: members.clone(), ..step(at) };
        self.steps.extend([begin, Step { connections: Some(Vec::new()), members, ..step(until) }]);
    }

    /// Makes an endpoint drain, and serve again.
    fn drain(&mut self, at: u64, until: u64) {
        let members = vec![self.rng.random_range(0..DESTINATIONS * ENDPOINTS_EACH)];
        let event = |ms, drains| Step { drain: Some(drains), members: members.clone(), ..step(ms) };
        self.steps.extend([event(at, true), event(until, false)]);
    }

    /// Delays the path from some dispatchers to the first endpoint of each destination.
    fn slow_path(&mut self, at: u64, until: u64) {
        let path = Some(PathName::Member);
        let (of, members) = (self.sample(self.all()), vec![0, ENDPOINTS_EACH]);
        let delay_ms = Some(self.rng.random_range(10..120));
        let fault = Some(FaultName::Delay);
        let begin = Step { fault, path, of: of.clone(), members: members.clone(), delay_ms, ..step(at) };
        let end = Step { fault: Some(FaultName::Pass), path, of, members, ..step(until) };
        self.steps.extend([begin, end]);
    }

    /// Sets a fault on a path of some dispatchers.
    fn path(&mut self, path: PathName, fault: FaultName, at: u64, until: u64) {
        let path = Some(path);
        let of = self.sample(self.all());
        let delay_ms = (fault == FaultName::Delay).then(|| self.rng.random_range(50..600));
        let begin = Step { fault: Some(fault), path, of: of.clone(), delay_ms, ..step(at) };
        self.steps.extend([begin, Step { fault: Some(FaultName::Pass), path, of, ..step(until) }]);
    }

    /// Causes an outage of an endpoint.
    fn endpoint_down(&mut self, at: u64, until: u64) {
        let members = vec![self.rng.random_range(0..DESTINATIONS * ENDPOINTS_EACH)];
        let event = |ms, what| Step { member: Some(what), members: members.clone(), ..step(ms) };
        self.steps.extend([event(at, MemberStep::Down), event(until, MemberStep::Up)]);
    }

    /// Makes the registry publish an older endpoint list for a while.
    fn older_list(&mut self, at: u64, until: u64) {
        let event = |ms, what| Step { registry: Some(what), ..step(ms) };
        self.steps.extend([event(at, RegistryStep::Older), event(until, RegistryStep::Newest)]);
    }

    /// Steps the wall clocks of some dispatchers, until the end of the run.
    fn clock_step(&mut self, at: u64) {
        let sign = if self.rng.random_range(0..2) == 0 { -1 } else { 1 };
        let offset_ms = sign * self.rng.random_range(1_000..=HOUR_MS);
        for n in self.sample(self.all()) {
            self.schedules[n].push(format!("clock {at} {FOREVER_MS} {offset_ms}"));
        }
    }

    /// Makes a function of the C library fail in some dispatchers.
    fn function_error(&mut self, function_and_error: &str, at: u64, until: u64) {
        let until = until.min(at + MAX_FUNCTION_ERROR_MS);
        for n in self.sample(self.all()) {
            self.schedules[n].push(format!("fail {at} {until} {function_and_error}"));
        }
    }

    /// Makes system calls of one kind fail in some dispatchers, and stalls these dispatchers with `halt`.
    fn system_calls(&mut self, kind: &str, at: u64, until: u64) {
        let argument = if kind == "enospc" { self.rng.random_range(0..2) } else { 0 };
        for n in self.sample(self.all()) {
            self.schedules[n].push(format!("{kind} {at} {until} {argument}"));
            self.schedules[n].push(format!("halt {at} {until}"));
        }
    }
}
