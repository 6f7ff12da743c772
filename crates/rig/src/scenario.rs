//! A scenario of the rig: how many dispatchers, the member, the load, and a timeline of faults. TOML, read with serde
//! and checked in one place; a fault names the file, line and key and says what to do.

use lilacbank_load::connection_fault::ConnectionFault;
use serde::Deserialize;
use std::path::Path;

/// The scenario that `lilacbank-rig run` plays when it is given no file.
pub const DEFAULT: &str = r#"# Three dispatchers; two are SIGKILLed within 100 ms while the member is silent, and start again within 1 s.
seed = 7
dispatchers = 3
run_ms = 8000

[member]
service_ms = 2
at_once = 16
queue = 256

[load]
per_second = 60
classes = ["safe", "pay"]

[[at]]
ms = 2500
fault = "blackhole"
path = "member"

[[at]]
ms = 2600
kill = [0, 1]
spread_ms = 100

[[at]]
ms = 3400
start = [0, 1]

[[at]]
ms = 3400
fault = "pass"
path = "member"
"#;

/// Dispatchers that keep copies for each other, at most: as many as their file may name, and one.
const MATES_MOST: usize = 33;

/// What a scenario holds.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Draws of the load and the dispatchers' seeds hang on it.
    pub seed: u64,
    /// Processes of the program, 1 to 128.
    pub dispatchers: usize,
    /// How many dispatchers the platform says it runs; by default as many as there are.
    #[serde(default)]
    pub balancers: Option<usize>,
    /// Milliseconds of load; the rig then waits for the last final answers.
    pub run_ms: u64,
    /// Megabytes that the folder of a dispatcher may hold; 3 as on the platform.
    #[serde(default = "three")]
    pub disk_mb: f64,
    /// The dispatchers come back as `[recovery]` of the operators' file says, with its defaults.
    #[serde(default)]
    pub recovery: bool,
    /// The dispatchers keep copies for each other as `[replication]` of the operators' file says, with its defaults,
    #[serde(default)]
    pub replication: bool,
    /// and with its `ack`.
    #[serde(default)]
    pub ack: bool,
    /// The members behind all, alike.
    pub member: Member,
    /// Messages handed in.
    pub load: Load,
    /// Idle clients at each dispatcher, which stay and hand in nothing.
    #[serde(skip)]
    pub crowd: usize,
    /// Clients that misbehave come all the time, drawn from the seed; see `crate::rude`.
    #[serde(skip)]
    pub rude: bool,
    /// Milliseconds for which each message may be delivered; those of its class where it is none.
    #[serde(skip)]
    pub deadline_ms: Option<u64>,
    /// The library of `crates/faults`, and the schedule of each dispatcher; see `crate::soak`.
    #[serde(skip)]
    pub faults: Option<Faults>,
    /// The timeline, in any order; steps of one time go in the order written.
    #[serde(default, rename = "at")]
    pub steps: Vec<toml::Spanned<Step>>,
}

/// System calls that fail in the dispatchers' processes.
#[derive(Debug, Clone)]
pub struct Faults {
    /// The library of `crates/faults`.
    pub library: std::path::PathBuf,
    /// What fails when, for each dispatcher; times count from the start of the load.
    pub schedules: Vec<String>,
}

/// The stand-in member.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Milliseconds that a call takes.
    pub service_ms: u64,
    /// Calls served at once,
    pub at_once: usize,
    /// and waiting; beyond them it answers 503.
    pub queue: usize,
    /// How many there are; the load is spread evenly over them.
    #[serde(default = "one")]
    pub count: usize,
    /// Endpoints of each, every one with paths of its own: those of the first member, then those of the second, and so on.
    #[serde(skip, default = "one")]
    pub each: usize,
    /// Calls a second that each takes of all dispatchers together; beyond them it answers 429 with a wait. Without it
    /// there is no limit, no cold return and no fall.
    #[serde(default)]
    pub per_second: Option<u32>,
    /// Milliseconds after an outage until it serves its whole limit again, from half of it on; as the platform's
    /// `cold` is told.
    #[serde(default = "cold")]
    pub cold_ms: u64,
}

fn one() -> usize {
    1
}

fn three() -> f64 {
    3.0
}

fn cold() -> u64 {
    1_000
}

/// The load: Poisson arrivals at each dispatcher.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Messages a second at each dispatcher, over all classes.
    pub per_second: f64,
    /// Classes, among `safe`, `order` (approval orders) and `pay` (reimbursements, never repeated).
    pub classes: Vec<String>,
    /// A span with more of it: a month's end.
    #[serde(default)]
    pub surge: Option<Surge>,
}

/// A span in which the load is so many times the usual.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Surge {
    /// Milliseconds from the start of the load,
    pub from_ms: u64,
    /// until when.
    pub until_ms: u64,
    /// Times the usual load, more than 1.
    pub times: f64,
}

/// Where a fault is put.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PathName {
    /// Between the dispatchers and the member.
    Member,
    /// Between the dispatchers and the registry.
    Registry,
    /// Between the dispatchers themselves: with `of`, between those and all others, either way.
    Mate,
}

/// A fault of a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FaultName {
    /// Bytes pass.
    Pass,
    /// Bytes wait `delay_ms`.
    Delay,
    /// Connections are cut.
    Reset,
    /// Nothing passes, nothing is answered; what was held passes late.
    Blackhole,
    /// Bytes are thrown away.
    Drop,
    /// `bytes_per_s` pass on each connection.
    Bandwidth,
    /// Answers are cut in their middle, and the connection with them.
    Truncate,
}

/// What happens to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberStep {
    /// It goes away: its connections break.
    Down,
    /// It comes back, cold.
    Up,
}

/// What the registry tells from now on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RegistryStep {
    /// Its list was changed: the next revision.
    Change,
    /// It was set back: new watches get the first revision, whole, and nothing after it.
    Older,
    /// It tells its newest again.
    Newest,
}

/// One step of the timeline.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Milliseconds from the start of the load.
    pub ms: u64,
    /// Dispatchers to SIGKILL, spread over `spread_ms`.
    #[serde(default)]
    pub kill: Vec<usize>,
    /// Dispatchers to send SIGTERM.
    #[serde(default)]
    pub term: Vec<usize>,
    /// Dispatchers to start again, spread over `spread_ms`.
    #[serde(default)]
    pub start: Vec<usize>,
    /// Folders to remove whole, of dispatchers that are not running.
    #[serde(default)]
    pub wipe: Vec<usize>,
    /// Journals to damage by a bit in a record of their middle, of dispatchers that are not running.
    #[serde(default)]
    pub flip: Vec<usize>,
    /// Journals to cut off at a byte drawn from the seed, of dispatchers that are not running.
    #[serde(default)]
    pub tear: Vec<usize>,
    /// Dispatchers to upgrade: a second process starts beside the first, which is then sent SIGTERM.
    #[serde(default)]
    pub upgrade: Vec<usize>,
    /// Dispatchers whose configuration is read again (SIGHUP): discovery moves to the other of its two addresses.
    #[serde(default)]
    pub reload: Vec<usize>,
    /// Milliseconds by which the clock of the processes that this step starts is off.
    #[serde(default)]
    pub clock_ms: i64,
    /// Milliseconds over which the kills or starts of this step are spread.
    #[serde(default)]
    pub spread_ms: u64,
    /// A fault to set on `path`.
    #[serde(default)]
    pub fault: Option<FaultName>,
    /// The path of `fault`.
    #[serde(default)]
    pub path: Option<PathName>,
    /// The dispatchers whose path it is; all where none is named. A fault on both paths of some splits the fleet.
    #[serde(default)]
    pub of: Vec<usize>,
    /// Milliseconds of a `delay`.
    #[serde(default)]
    pub delay_ms: Option<u64>,
    /// Bytes a second of a `bandwidth`.
    #[serde(default)]
    pub bytes_per_s: Option<u64>,
    /// What happens to the members named in `members` (all where none is named).
    #[serde(default)]
    pub member: Option<MemberStep>,
    /// See `member`.
    #[serde(default)]
    pub members: Vec<usize>,
    /// What the registry tells from now on.
    #[serde(default)]
    pub registry: Option<RegistryStep>,
    /// What the endpoints named in `members` (all where none is named) do to their connections from now on; nothing if empty.
    #[serde(skip)]
    pub connections: Option<Vec<ConnectionFault>>,
    /// The registry tells of the endpoints named in `members` (all where none is named) that they drain, or serve again.
    #[serde(skip)]
    pub drain: Option<bool>,
    /// Signals that the dispatchers named in `of` get one after another, this many milliseconds apart.
    #[serde(skip)]
    pub signals: Vec<Signal>,
}

/// A signal of a series.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Read the configuration again.
    Hangup,
    /// Write the counters to the log.
    Count,
    /// Leave.
    Terminate,
}

impl Signal {
    /// The option of `kill`.
    pub(crate) fn option(self) -> &'static str {
        match self {
            Signal::Hangup => "-HUP",
            Signal::Count => "-USR1",
            Signal::Terminate => "-TERM",
        }
    }
}

/// Line of a byte of the text, from 1.
fn line_of(text: &str, at: usize) -> usize {
    text[..at.min(text.len())].bytes().filter(|b| *b == b'\n').count() + 1
}

impl Scenario {
    /// Reads and checks a scenario's text; `file` names it in faults.
    ///
    /// # Errors
    ///
    /// `FILE:LINE: key `KEY`: what is wrong; what to do`, for the first fault.
    pub fn parse(file: &str, text: &str) -> Result<Scenario, String> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| {
            let line = e.span().map_or(1, |s| line_of(text, s.start));
            let key = text.lines().nth(line - 1).and_then(|l| l.split_once('=')).map(|(k, _)| k.trim());
            let key = key.map_or(String::new(), |k| format!("key `{k}`: "));
            let what = e.message().trim();
            format!("{file}:{line}: {key}{what}; see `lilacbank-rig default` for a scenario that reads")
        })?;
        let fault = |line: usize, key: &str, what: &str| Err(format!("{file}:{line}: key `{key}`: {what}"));
        // The line of a key in its section, else the section's own.
        let within = |section: &str, key: &str| {
            let from = text.lines().position(|l| l.trim() == format!("[{section}]")).unwrap_or(0);
            let body = text.lines().enumerate().skip(from + 1);
            let mut body = body.take_while(|(_, l)| !l.trim_start().starts_with('['));
            body.find(|(_, l)| l.trim_start().starts_with(key)).map_or(from, |(n, _)| n) + 1
        };
        let top = |key: &str| text.lines().position(|l| l.trim_start().starts_with(key)).map_or(1, |n| n + 1);
        if !(1..=128).contains(&scenario.dispatchers) {
            return fault(
                top("dispatchers"),
                "dispatchers",
                "1 to 128 processes; give a number in that range",
            );
        }
        if scenario.replication && scenario.dispatchers > MATES_MOST {
            let what = format!("with `replication` {MATES_MOST} at most; give fewer, or leave it out");
            return fault(top("dispatchers"), "dispatchers", &what);
        }
        if scenario.ack && !scenario.replication {
            return fault(
                top("ack"),
                "ack",
                "it says nothing without `replication = true`; add that, or leave it out",
            );
        }
        if !(0.05..=1_000.0).contains(&scenario.disk_mb) {
            return fault(top("disk_mb"), "disk_mb", "0.05 to 1000 megabytes; give a number in that range");
        }
        if !(1..=16).contains(&scenario.member.count) {
            return fault(
                within("member", "count"),
                "member.count",
                "1 to 16 members; give a number in that range",
            );
        }
        if scenario.member.per_second == Some(0) {
            return fault(
                within("member", "per_second"),
                "member.per_second",
                "at least 1 call a second; leave it out for no limit",
            );
        }
        if scenario.balancers.is_some_and(|b| b == 0) {
            return fault(top("balancers"), "balancers", "at least 1; leave it out for as many as there are");
        }
        if !(scenario.load.per_second > 0.0 && scenario.load.per_second <= 2_000.0) {
            return fault(
                within("load", "per_second"),
                "load.per_second",
                "more than 0 and at most 2000 a second",
            );
        }
        let known = ["safe", "order", "pay"];
        if scenario.load.classes.is_empty()
            || scenario.load.classes.iter().any(|c| !known.contains(&c.as_str()))
        {
            return fault(
                within("load", "classes"),
                "load.classes",
                "one or more of \"safe\", \"order\", \"pay\"",
            );
        }
        if scenario
            .load
            .surge
            .as_ref()
            .is_some_and(|s| s.from_ms >= s.until_ms || !(s.times > 1.0 && s.times <= 100.0))
        {
            let what = "a span from before until, and 1 to 100 times the load (more than 1)";
            return fault(within("load", "surge"), "load.surge", what);
        }
        if scenario.member.at_once == 0 {
            return fault(within("member", "at_once"), "member.at_once", "at least 1 call at once");
        }
        for step in &scenario.steps {
            let span = step.span();
            // The line of the key in the step (from its header to the next one), else the step's own.
            let line = |key: &str| {
                let from = line_of(text, span.start);
                let body = text.lines().enumerate().skip(from);
                let mut body = body.take_while(|(_, l)| !l.trim_start().starts_with('['));
                body.find(|(_, l)| l.trim_start().starts_with(key)).map_or(from, |(n, _)| n + 1)
            };
            let s = step.get_ref();
            let all = [
                ("kill", &s.kill),
                ("term", &s.term),
                ("start", &s.start),
                ("wipe", &s.wipe),
                ("flip", &s.flip),
                ("tear", &s.tear),
                ("upgrade", &s.upgrade),
                ("reload", &s.reload),
                ("of", &s.of),
            ];
            if let Some((key, _)) = all.iter().find(|(_, ns)| ns.iter().any(|n| *n >= scenario.dispatchers)) {
                let what =
                    format!("dispatchers are numbered 0 to {}; name one of them", scenario.dispatchers - 1);
                return fault(line(key), &format!("at.{key}"), &what);
            }
            if s.path == Some(PathName::Mate) && !scenario.replication {
                let what = "dispatchers talk to each other only with `replication = true`; add that, or name another path";
                return fault(line("path"), "at.path", what);
            }
            if s.fault.is_some() != s.path.is_some() {
                return fault(
                    line(if s.fault.is_some() { "fault" } else { "path" }),
                    "at.path",
                    "a fault needs its path and a path its fault: give both or neither",
                );
            }
            if s.fault == Some(FaultName::Delay) && s.delay_ms.is_none() {
                return fault(line("fault"), "at.delay_ms", "a delay needs its milliseconds");
            }
            if s.fault == Some(FaultName::Bandwidth) && s.bytes_per_s.is_none_or(|b| b == 0) {
                return fault(
                    line("fault"),
                    "at.bytes_per_s",
                    "a bandwidth needs its bytes a second, 1 or more",
                );
            }
            if s.members.iter().any(|n| *n >= scenario.member.count) {
                let what =
                    format!("members are numbered 0 to {}; name one of them", scenario.member.count - 1);
                return fault(line("members"), "at.members", &what);
            }
            if s.member == Some(MemberStep::Down) && scenario.member.per_second.is_none() {
                return fault(
                    line("member"),
                    "at.member",
                    "a member without `member.per_second` has no outage; give it a limit, or use a fault of its path",
                );
            }
            if s.ms > scenario.run_ms {
                return fault(
                    line("ms"),
                    "at.ms",
                    "a step after the end of the load (run_ms) is never played",
                );
            }
        }
        Ok(scenario)
    }

    /// Reads a scenario's file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or as [`Scenario::parse`].
    pub fn read(path: &Path) -> Result<Scenario, String> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|e| format!("{name}: {e}; give the path of a TOML file"))?;
        Scenario::parse(&name, &text)
    }

    /// The steps in the order in which they are played.
    pub fn timeline(&self) -> Vec<Step> {
        let mut steps: Vec<Step> = self.steps.iter().map(|s| s.get_ref().clone()).collect();
        steps.sort_by_key(|s| s.ms);
        steps
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a default that does not read, and against faults without their line and key.
    #[test]
    fn the_default_reads_and_faults_name_line_and_key() {
        let s = Scenario::parse("default", DEFAULT).unwrap();
        assert_eq!((s.dispatchers, s.timeline().len()), (3, 4));
        let bad = DEFAULT.replace("kill = [0, 1]", "reload = [3]");
        let why = Scenario::parse("f", &bad).unwrap_err();
        assert!(why.contains("key `at.reload`: dispatchers are numbered 0 to 2"), "{why}");
        let bad = DEFAULT.replace("kill = [0, 1]", "kill = [0, 3]");
        let e = Scenario::parse("f.toml", &bad).unwrap_err();
        assert!(e.starts_with("f.toml:22: key `at.kill`"), "{e}");
        let e =
            Scenario::parse("f.toml", &DEFAULT.replace("queue = 256", "queue = 256\nqueu = 1")).unwrap_err();
        assert!(e.starts_with("f.toml:10:") && e.contains("`queu`"), "{e}");
        let e =
            Scenario::parse("f.toml", &DEFAULT.replace("dispatchers = 3", "dispatchers = 0")).unwrap_err();
        assert!(e.starts_with("f.toml:3: key `dispatchers`"), "{e}");
        for (from, to, key) in [
            ("fault = \"blackhole\"", "fault = \"bandwidth\"", "f.toml:17: key `at.bytes_per_s`"),
            ("queue = 256", "queue = 256\ncount = 99", "f.toml:10: key `member.count`"),
            ("start = [0, 1]", "start = [0, 1]\nmember = \"down\"", "f.toml:28: key `at.member`"),
            ("start = [0, 1]", "start = [0, 1]\nmembers = [1]", "f.toml:28: key `at.members`"),
            ("start = [0, 1]", "start = [0, 1]\nregistry = \"gone\"", "f.toml:28: key `registry`"),
            ("path = \"member\"", "path = \"mate\"", "f.toml:18: key `at.path`"),
            ("run_ms = 8000", "run_ms = 8000\nack = true", "f.toml:5: key `ack`"),
            ("dispatchers = 3", "dispatchers = 34\nreplication = true", "f.toml:3: key `dispatchers`"),
        ] {
            let e = Scenario::parse("f.toml", &DEFAULT.replacen(from, to, 1)).unwrap_err();
            assert!(e.starts_with(key), "{e}");
        }
    }
}
