//! A scenario of the rig: the dispatchers, the destinations, the load and a timeline of faults. Scenarios are TOML files; an error
//! names the file, line and key, and says how to correct it.

use lilacbank_load::connection_fault::ConnectionFault;
use serde::Deserialize;
use std::path::Path;

/// The scenario that `lilacbank-rig run` uses without a file.
pub const DEFAULT: &str = r#"# Three dispatchers; two get SIGKILL within 100 ms while the member does not answer, and are started again within 1 s.
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

/// Largest number of dispatchers with replication: the number of peers that the operators' file may name, plus one.
const MAX_REPLICATING_DISPATCHERS: usize = 33;

/// A scenario.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seed of the random draws of the load, and of the dispatchers' own seeds.
    pub seed: u64,
    /// Number of dispatchers, 1 to 128.
    pub dispatchers: usize,
    /// Number of dispatchers that the platform's configuration names; by default the actual number.
    #[serde(default)]
    pub balancers: Option<usize>,
    /// Duration of the load in milliseconds; the rig then waits for the last final answers.
    pub run_ms: u64,
    /// Size limit of each state folder in megabytes; by default 3, as on the platform.
    #[serde(default = "three")]
    pub disk_mb: f64,
    /// Enables `[recovery]` in the operators' file, with its defaults.
    #[serde(default)]
    pub recovery: bool,
    /// Enables `[replication]` in the operators' file, with its defaults: the dispatchers keep copies for each other.
    #[serde(default)]
    pub replication: bool,
    /// Sets `ack` of `[replication]`.
    #[serde(default)]
    pub ack: bool,
    /// The destinations, which are all alike.
    pub member: Member,
    /// The messages that clients submit.
    pub load: Load,
    /// Number of idle clients connected to each dispatcher, which submit nothing.
    #[serde(skip)]
    pub crowd: usize,
    /// Whether misbehaving clients connect during the load, drawn from the seed; see `crate::rude`.
    #[serde(skip)]
    pub rude: bool,
    /// Deadline of every message in milliseconds; without it the deadline of the message's class.
    #[serde(skip)]
    pub deadline_ms: Option<u64>,
    /// System calls that fail; see `crate::soak`.
    #[serde(skip)]
    pub faults: Option<Faults>,
    /// The steps of the timeline, in any order; steps at the same time are applied in the order written.
    #[serde(default, rename = "at")]
    pub steps: Vec<toml::Spanned<Step>>,
}

/// System calls that fail in the dispatchers' processes.
#[derive(Debug, Clone)]
pub struct Faults {
    /// Path of the library of `crates/faults`.
    pub library: std::path::PathBuf,
    /// The fault schedule of each dispatcher; times are milliseconds from the creation of its folder, just before the first start.
    pub schedules: Vec<String>,
}

/// The stand-in destinations.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Time that a call takes in milliseconds.
    pub service_ms: u64,
    /// Number of calls that an endpoint serves at once; further calls wait in a queue.
    pub at_once: usize,
    /// Length of the queue; calls beyond it are answered with 503.
    pub queue: usize,
    /// Number of destinations; the load is spread evenly over them.
    #[serde(default = "one")]
    pub count: usize,
    /// Number of endpoints of each destination, each with its own paths. Endpoints are numbered by destination: first those of the
    /// first one, then those of the second one, and so on.
    #[serde(skip, default = "one")]
    pub each: usize,
    /// Rate limit of each endpoint over all dispatchers, in calls per second; further calls are answered with 429 and a
    /// retry-after. Without it there is no limit, and endpoints are never cold and do not crash.
    #[serde(default)]
    pub per_second: Option<u32>,
    /// Time in milliseconds after an outage until an endpoint, which starts at half of its limit, serves all of it. The platform's
    /// `cold` setting has the same value.
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
    /// Messages per second at each dispatcher, over all classes.
    pub per_second: f64,
    /// Classes of the messages: `safe` (idempotent), `order` (approval orders, deduplicated) and `pay` (reimbursements,
    /// at-most-once).
    pub classes: Vec<String>,
    /// A span with more load, such as the end of a month.
    #[serde(default)]
    pub surge: Option<Surge>,
}

/// A span in which the load is a multiple of the usual load.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Surge {
    /// Start in milliseconds from the start of the load.
    pub from_ms: u64,
    /// End in milliseconds from the start of the load.
    pub until_ms: u64,
    /// Multiple of the usual load, more than 1.
    pub times: f64,
}

/// The path on which a fault is set.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PathName {
    /// Between the dispatchers and the endpoints.
    Member,
    /// Between the dispatchers and the registry.
    Registry,
    /// Between the dispatchers: with `of`, in both directions between those and all others; otherwise between all.
    Mate,
}

/// A fault on a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FaultName {
    /// No fault.
    Pass,
    /// Bytes are delayed by `delay_ms`.
    Delay,
    /// Connections are closed.
    Reset,
    /// Nothing is forwarded until the fault is lifted; held bytes are then forwarded.
    Blackhole,
    /// Bytes are discarded.
    Drop,
    /// At most `bytes_per_s` are forwarded in each direction on each connection.
    Bandwidth,
    /// Half of an answer is forwarded, then the connection is closed.
    Truncate,
}

/// A change of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberStep {
    /// An outage begins: requests end their connections without an answer.
    Down,
    /// The outage ends; the endpoint is cold.
    Up,
}

/// A change of what the registry publishes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RegistryStep {
    /// Publishes a new revision for each endpoint, with its entry unchanged.
    Change,
    /// Restored from a backup: new watches get a whole list with revision 1 and nothing after it.
    Older,
    /// Publishes the newest revisions again.
    Newest,
}

/// One step of the timeline.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Time in milliseconds from the start of the load.
    pub ms: u64,
    /// Dispatchers that get SIGKILL, spread over `spread_ms`.
    #[serde(default)]
    pub kill: Vec<usize>,
    /// Dispatchers that get SIGTERM.
    #[serde(default)]
    pub term: Vec<usize>,
    /// Dispatchers to start again, spread over `spread_ms`.
    #[serde(default)]
    pub start: Vec<usize>,
    /// Dispatchers whose state folder is removed; they are stopped first.
    #[serde(default)]
    pub wipe: Vec<usize>,
    /// Dispatchers in whose journal a bit of the middle record is flipped; they are stopped first.
    #[serde(default)]
    pub flip: Vec<usize>,
    /// Dispatchers whose journal is truncated at a byte drawn from the seed; they are stopped first.
    #[serde(default)]
    pub tear: Vec<usize>,
    /// Dispatchers to upgrade: a sibling process starts, then the first one gets SIGTERM.
    #[serde(default)]
    pub upgrade: Vec<usize>,
    /// Dispatchers that read their configuration again (SIGHUP), which switches between the registry's own address and its proxy's.
    #[serde(default)]
    pub reload: Vec<usize>,
    /// Clock offset in milliseconds of the processes that this step starts.
    #[serde(default)]
    pub clock_ms: i64,
    /// Milliseconds over which the kills or starts of this step are spread.
    #[serde(default)]
    pub spread_ms: u64,
    /// A fault to set on `path`.
    #[serde(default)]
    pub fault: Option<FaultName>,
    /// The path on which `fault` is set.
    #[serde(default)]
    pub path: Option<PathName>,
    /// The dispatchers whose paths get the fault; all if empty. Faults on both paths of some dispatchers partition the fleet.
    #[serde(default)]
    pub of: Vec<usize>,
    /// Delay in milliseconds of the fault `delay`.
    #[serde(default)]
    pub delay_ms: Option<u64>,
    /// Bytes per second of the fault `bandwidth`.
    #[serde(default)]
    pub bytes_per_s: Option<u64>,
    /// A change of the endpoints in `members` (all if empty).
    #[serde(default)]
    pub member: Option<MemberStep>,
    /// Endpoints, by number, that `fault`, `member`, `connections` and `drain` affect; all if empty.
    #[serde(default)]
    pub members: Vec<usize>,
    /// A change of what the registry publishes.
    #[serde(default)]
    pub registry: Option<RegistryStep>,
    /// Connection faults that the endpoints in `members` (all if empty) cause from now on; an empty list ends the faults.
    #[serde(skip)]
    pub connections: Option<Vec<ConnectionFault>>,
    /// Whether the registry lists the endpoints in `members` (all if empty) as draining or, if false, as in service.
    #[serde(skip)]
    pub drain: Option<bool>,
    /// Signals that the dispatchers in `of` get one after another.
    #[serde(skip)]
    pub signals: Vec<Signal>,
}

/// A signal of a series.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Read the configuration again.
    Hangup,
    /// Write the counters to the log.
    DumpCounters,
    /// Drain and end.
    Terminate,
}

impl Signal {
    /// The option of the `kill` command.
    pub(crate) fn kill_option(self) -> &'static str {
        match self {
            Signal::Hangup => "-HUP",
            Signal::DumpCounters => "-USR1",
            Signal::Terminate => "-TERM",
        }
    }
}

/// Line number of a byte offset in the text, from 1.
fn line_of(text: &str, offset: usize) -> usize {
    text[..offset.min(text.len())].bytes().filter(|b| *b == b'\n').count() + 1
}

impl Scenario {
    /// Parses and validates a scenario; `file` is its name in error messages.
    ///
    /// # Errors
    ///
    /// `FILE:LINE: key `KEY`: what is wrong; how to correct it`, for the first error.
    pub fn parse(file: &str, text: &str) -> Result<Scenario, String> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| {
            let line = e.span().map_or(1, |s| line_of(text, s.start));
            let key = text.lines().nth(line - 1).and_then(|l| l.split_once('=')).map(|(k, _)| k.trim());
            let key = key.map_or(String::new(), |k| format!("key `{k}`: "));
            let what = e.message().trim();
            format!("{file}:{line}: {key}{what}; see `lilacbank-rig default` for a valid scenario")
        })?;
        let error = |line: usize, key: &str, what: &str| Err(format!("{file}:{line}: key `{key}`: {what}"));
        // The line of a key in its section, or the line of the section header if the key is missing.
        let section_line = |section: &str, key: &str| {
            let from = text.lines().position(|l| l.trim() == format!("[{section}]")).unwrap_or(0);
            let body = text.lines().enumerate().skip(from + 1);
            let mut body = body.take_while(|(_, l)| !l.trim_start().starts_with('['));
            body.find(|(_, l)| l.trim_start().starts_with(key)).map_or(from, |(n, _)| n) + 1
        };
        let top_level_line =
            |key: &str| text.lines().position(|l| l.trim_start().starts_with(key)).map_or(1, |n| n + 1);
        if !(1..=128).contains(&scenario.dispatchers) {
            return error(
                top_level_line("dispatchers"),
                "dispatchers",
                "must be a number of dispatchers from 1 to 128",
            );
        }
        if scenario.replication && scenario.dispatchers > MAX_REPLICATING_DISPATCHERS {
            let what = format!("at most {MAX_REPLICATING_DISPATCHERS} with `replication`; use fewer, or remove `replication`");
            return error(top_level_line("dispatchers"), "dispatchers", &what);
        }
        if scenario.ack && !scenario.replication {
            return error(
                top_level_line("ack"),
                "ack",
                "has no effect without `replication = true`; add that, or remove `ack`",
            );
        }
        if !(0.05..=1_000.0).contains(&scenario.disk_mb) {
            return error(top_level_line("disk_mb"), "disk_mb", "must be from 0.05 to 1000 megabytes");
        }
        if !(1..=16).contains(&scenario.member.count) {
            return error(
                section_line("member", "count"),
                "member.count",
                "must be a number of members from 1 to 16",
            );
        }
        if scenario.member.per_second == Some(0) {
            return error(
                section_line("member", "per_second"),
                "member.per_second",
                "must be at least 1 call per second; remove it for no limit",
            );
        }
        if scenario.balancers.is_some_and(|b| b == 0) {
            return error(
                top_level_line("balancers"),
                "balancers",
                "must be at least 1; remove it to use the number of dispatchers",
            );
        }
        if !(scenario.load.per_second > 0.0 && scenario.load.per_second <= 2_000.0) {
            return error(
                section_line("load", "per_second"),
                "load.per_second",
                "must be more than 0 and at most 2000 messages per second",
            );
        }
        let known = ["safe", "order", "pay"];
        if scenario.load.classes.is_empty()
            || scenario.load.classes.iter().any(|c| !known.contains(&c.as_str()))
        {
            return error(
                section_line("load", "classes"),
                "load.classes",
                "must have one or more of \"safe\", \"order\", \"pay\"",
            );
        }
        if scenario
            .load
            .surge
            .as_ref()
            .is_some_and(|s| s.from_ms >= s.until_ms || !(s.times > 1.0 && s.times <= 100.0))
        {
            let what = "from_ms must be less than until_ms, and times more than 1 and at most 100";
            return error(section_line("load", "surge"), "load.surge", what);
        }
        if scenario.member.at_once == 0 {
            return error(section_line("member", "at_once"), "member.at_once", "must be at least 1");
        }
        for step in &scenario.steps {
            let span = step.span();
            // The line of the key in the step (between its header and the next one), or the step's own line if it is missing.
            let line = |key: &str| {
                let from = line_of(text, span.start);
                let body = text.lines().enumerate().skip(from);
                let mut body = body.take_while(|(_, l)| !l.trim_start().starts_with('['));
                body.find(|(_, l)| l.trim_start().starts_with(key)).map_or(from, |(n, _)| n + 1)
            };
            let s = step.get_ref();
            let dispatcher_lists = [
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
            if let Some((key, _)) =
                dispatcher_lists.iter().find(|(_, ns)| ns.iter().any(|n| *n >= scenario.dispatchers))
            {
                let what =
                    format!("dispatchers are numbered 0 to {}; name one of them", scenario.dispatchers - 1);
                return error(line(key), &format!("at.{key}"), &what);
            }
            if s.path == Some(PathName::Mate) && !scenario.replication {
                let what = "dispatchers connect to each other only with `replication = true`; add that, or use another path";
                return error(line("path"), "at.path", what);
            }
            if s.fault.is_some() != s.path.is_some() {
                return error(
                    line(if s.fault.is_some() { "fault" } else { "path" }),
                    "at.path",
                    "`fault` and `path` are needed together; set both or neither",
                );
            }
            if s.fault == Some(FaultName::Delay) && s.delay_ms.is_none() {
                return error(line("fault"), "at.delay_ms", "the fault `delay` needs `delay_ms`");
            }
            if s.fault == Some(FaultName::Bandwidth) && s.bytes_per_s.is_none_or(|b| b == 0) {
                return error(
                    line("fault"),
                    "at.bytes_per_s",
                    "the fault `bandwidth` needs `bytes_per_s`, 1 or more",
                );
            }
            if s.members.iter().any(|n| *n >= scenario.member.count) {
                let what =
                    format!("members are numbered 0 to {}; name one of them", scenario.member.count - 1);
                return error(line("members"), "at.members", &what);
            }
            if s.member == Some(MemberStep::Down) && scenario.member.per_second.is_none() {
                return error(
                    line("member"),
                    "at.member",
                    "outages need `member.per_second`; set that limit, or use a fault on the path `member`",
                );
            }
            if s.ms > scenario.run_ms {
                return error(line("ms"), "at.ms", "the step is after the end of the load (run_ms)");
            }
        }
        Ok(scenario)
    }

    /// Reads a scenario from a file.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, or as for [`Scenario::parse`].
    pub fn read(path: &Path) -> Result<Scenario, String> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|e| format!("{name}: {e}; expected the path of a TOML file"))?;
        Scenario::parse(&name, &text)
    }

    /// The steps in the order in which they are applied.
    pub fn timeline(&self) -> Vec<Step> {
        let mut steps: Vec<Step> = self.steps.iter().map(|s| s.get_ref().clone()).collect();
        steps.sort_by_key(|s| s.ms);
        steps
    }
}

#[cfg(test)]
mod tests;
