//! The troubles of a soak, and how each is drawn: a few steps of the timeline, or a span in a dispatcher's schedule of faults.

use super::{ENDPOINTS_EACH, MEMBERS};
use crate::scenario::{FaultName, MemberStep, PathName, RegistryStep, Signal, Step};
use lilacbank_load::connection_fault::CONNECTION_FAULTS;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

/// A function fails for so long at most.
const FAILS_MOST: u64 = 1_000;
/// A killed process starts again no sooner.
const DOWN_LEAST: u64 = 600;
/// SIGKILL comes so long behind SIGTERM: as early as the platform may.
const KILL_AFTER: u64 = 3_700;
/// A process that was stopped has this behind it, with its kill and the next start.
const STOP_SPAN: u64 = KILL_AFTER + DOWN_LEAST + 200;
const HOUR_MS: i64 = 3_600_000;
/// Until the end of the play.
const FOR_GOOD: u64 = 1_000_000_000;

/// The kinds of trouble.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Trouble {
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

/// The kinds that a play is drawn from; those that stand here more often come more often.
pub(super) const TROUBLES: [Trouble; 43] = [
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
pub(super) struct Draw {
    pub(super) random: StdRng,
    /// Until when a dispatcher has a trouble of its process, and is left alone by others of that kind.
    busy_until: Vec<u64>,
    /// The timeline so far, in any order.
    pub(super) steps: Vec<Step>,
    /// The schedule of each dispatcher so far.
    pub(super) schedules: Vec<Vec<String>>,
}

/// A step of this time that does nothing yet.
fn step(ms: u64) -> Step {
    Step { ms, ..Step::default() }
}

impl Draw {
    /// Nothing is drawn yet.
    pub(super) fn new(seed: u64, dispatchers: usize) -> Draw {
        Draw {
            random: StdRng::seed_from_u64(seed),
            busy_until: vec![0; dispatchers],
            steps: Vec::new(),
            schedules: vec![Vec::new(); dispatchers],
        }
    }

    /// Draws a trouble that begins and ends at these times.
    pub(super) fn add(&mut self, trouble: Trouble, at: u64, until: u64) {
        match trouble {
            Trouble::Kill => self.kill(at, until),
            Trouble::Stop => self.stop(at),
            Trouble::Signals => self.signals(at),
            Trouble::Upgrade => self.upgrade(at),
            Trouble::Reload => self.reload(at),
            Trouble::Connections => self.connections(at, until),
            Trouble::Drain => self.drain(at, until),
            Trouble::LongPath => self.long_path(at, until),
            Trouble::MemberPath(fault) => self.path(PathName::Member, fault, at, until),
            Trouble::RegistryPath(fault) => self.path(PathName::Registry, fault, at, until),
            Trouble::MemberDown => self.member_down(at, until),
            Trouble::OlderList => self.older_list(at, until),
            Trouble::ClockStep => self.clock_step(at),
            Trouble::Fails(how) => self.fails(how, at, until),
            Trouble::Calls(kind) => self.calls(kind, at, until),
        }
    }

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
        self.steps.push(Step { kill: which.clone(), ..step(at + KILL_AFTER) });
        self.steps.push(Step { start: which, spread_ms: 100, ..step(at + KILL_AFTER + DOWN_LEAST) });
    }

    fn all(&self) -> Vec<usize> {
        (0..self.busy_until.len()).collect()
    }

    /// Some processes are killed, and start again.
    fn kill(&mut self, at: u64, until: u64) {
        let down = at + DOWN_LEAST.max(until - at);
        let which = self.free(at, down + 200);
        let kill = Step { kill: which.clone(), spread_ms: 50, ..step(at) };
        self.steps.extend([kill, Step { start: which, spread_ms: 50, ..step(down) }]);
    }

    /// Some are told to leave, and killed as early as the platform may.
    fn stop(&mut self, at: u64) {
        let which = self.free(at, at + STOP_SPAN);
        self.steps.push(Step { term: which.clone(), ..step(at) });
        self.kill_and_start(which, at);
    }

    /// The same within a series of signals.
    fn signals(&mut self, at: u64) {
        use Signal::{Count, Hangup, Terminate};
        let which = self.free(at, at + STOP_SPAN);
        let signals = vec![Hangup, Count, Hangup, Terminate, Hangup, Terminate, Count];
        self.steps.push(Step { signals, of: which.clone(), ..step(at) });
        self.kill_and_start(which, at);
    }

    /// A second process starts beside some, which are then told to leave.
    fn upgrade(&mut self, at: u64) {
        let which = self.free(at, at + 4_500);
        self.steps.push(Step { upgrade: which, ..step(at) });
    }

    /// Some read their configuration again, three times in a row.
    fn reload(&mut self, at: u64) {
        let which = self.some(self.all());
        self.steps.extend([0, 120, 300].map(|more| Step { reload: which.clone(), ..step(at + more) }));
    }

    /// Some endpoints end, reset or forget connections.
    fn connections(&mut self, at: u64, until: u64) {
        let members = self.some((0..MEMBERS * ENDPOINTS_EACH).collect());
        let mut faults = CONNECTION_FAULTS.to_vec();
        faults.shuffle(&mut self.random);
        let begin = Step { connections: Some(faults), members: members.clone(), ..step(at) };
        self.steps.extend([begin, Step { connections: Some(Vec::new()), members, ..step(until) }]);
    }

    /// An endpoint drains, and serves again.
    fn drain(&mut self, at: u64, until: u64) {
        let members = vec![self.random.random_range(0..MEMBERS * ENDPOINTS_EACH)];
        let tell = |ms, drains| Step { drain: Some(drains), members: members.clone(), ..step(ms) };
        self.steps.extend([tell(at, true), tell(until, false)]);
    }

    /// The path to the first endpoint of each member becomes longer for some dispatchers.
    fn long_path(&mut self, at: u64, until: u64) {
        let path = Some(PathName::Member);
        let (of, members) = (self.some(self.all()), vec![0, ENDPOINTS_EACH]);
        let delay_ms = Some(self.random.random_range(10..120));
        let fault = Some(FaultName::Delay);
        let begin = Step { fault, path, of: of.clone(), members: members.clone(), delay_ms, ..step(at) };
        let end = Step { fault: Some(FaultName::Pass), path, of, members, ..step(until) };
        self.steps.extend([begin, end]);
    }

    /// A path of some dispatchers has a fault.
    fn path(&mut self, path: PathName, fault: FaultName, at: u64, until: u64) {
        let path = Some(path);
        let of = self.some(self.all());
        let delay_ms = (fault == FaultName::Delay).then(|| self.random.random_range(50..600));
        let begin = Step { fault: Some(fault), path, of: of.clone(), delay_ms, ..step(at) };
        self.steps.extend([begin, Step { fault: Some(FaultName::Pass), path, of, ..step(until) }]);
    }

    /// An endpoint goes away, and comes back.
    fn member_down(&mut self, at: u64, until: u64) {
        let members = vec![self.random.random_range(0..MEMBERS * ENDPOINTS_EACH)];
        let event = |ms, what| Step { member: Some(what), members: members.clone(), ..step(ms) };
        self.steps.extend([event(at, MemberStep::Down), event(until, MemberStep::Up)]);
    }

    /// The registry tells an older list for a while.
    fn older_list(&mut self, at: u64, until: u64) {
        let event = |ms, what| Step { registry: Some(what), ..step(ms) };
        self.steps.extend([event(at, RegistryStep::Older), event(until, RegistryStep::Newest)]);
    }

    /// The wall clocks of some step, for good.
    fn clock_step(&mut self, at: u64) {
        let sign = if self.random.random_range(0..2) == 0 { -1 } else { 1 };
        let by = sign * self.random.random_range(1_000..=HOUR_MS);
        for n in self.some(self.all()) {
            self.schedules[n].push(format!("clock {at} {FOR_GOOD} {by}"));
        }
    }

    /// A function fails in some.
    fn fails(&mut self, how: &str, at: u64, until: u64) {
        // Much longer, and most messages would only wait for the end of the fault.
        let until = until.min(at + FAILS_MOST);
        for n in self.some(self.all()) {
            self.schedules[n].push(format!("fail {at} {until} {how}"));
        }
    }

    /// Calls of a kind fail in some, and they are held up.
    fn calls(&mut self, kind: &str, at: u64, until: u64) {
        let argument = if kind == "enospc" { self.random.random_range(0..2) } else { 0 };
        for n in self.some(self.all()) {
            self.schedules[n].push(format!("{kind} {at} {until} {argument}"));
            self.schedules[n].push(format!("halt {at} {until}"));
        }
    }
}
