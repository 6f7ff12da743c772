//! Checks of a run in addition to the audit: final answers that come late without an outage as the cause, and log lines that report
//! violations or panics.

use crate::scenario::{FaultName, PathName, Scenario};
use std::path::{Path, PathBuf};

/// Time after a message's deadline within which its final answer has to come, in milliseconds: 300 ms by the protocol, and an
/// allowance for a busy machine.
const MAX_LATE_MS: u64 = 1_300;
/// A late final answer is excused if the message was due at most this many milliseconds after the end of an outage: connections
/// have to be opened again, and no notice is overdue until 1.5 s after a dispatcher is ready again.
const RECOVERY_MS: u64 = 3_500;

/// An accepted message and its first final answer; times are in milliseconds from the start of the load.
#[derive(Debug, Clone)]
pub(crate) struct FinalAnswer {
    pub(crate) id: String,
    pub(crate) dispatcher: usize,
    /// The message's deadline.
    pub(crate) due: u64,
    /// When the first effect or notice came.
    pub(crate) ended: u64,
}

/// Spans in which a dispatcher cannot be expected to end messages in time: its process is down, its path to the registry has a
/// fault, or its system calls fail. `step_done_ms` holds the time at which each step of the timeline was done, `down` the spans
/// in which the process was down.
pub(crate) fn outages(
    scenario: &Scenario,
    step_done_ms: &[u64],
    dispatcher: usize,
    down: &[(u64, u64)],
) -> Vec<(u64, u64)> {
    let mut spans = down.to_vec();
    let mut since = None;
    for (step, done_ms) in scenario.timeline().into_iter().zip(step_done_ms) {
        let is_named = step.of.is_empty() || step.of.contains(&dispatcher);
        match step.fault {
            Some(_) if step.path != Some(PathName::Registry) || !is_named => {}
            Some(FaultName::Pass) => spans.extend(since.take().map(|from| (from, *done_ms))),
            Some(_) => since = since.or(Some(step.ms)),
            None => {}
        }
    }
    let schedule = scenario.faults.as_ref().and_then(|f| f.schedules.get(dispatcher));
    for fault in schedule.iter().flat_map(|s| s.split(';')) {
        if let [kind, from, until, ..] = fault.split_whitespace().collect::<Vec<_>>().as_slice() {
            // `eio` and `fail`: a process does not start if it cannot open its folder. `connect` and `late`: no notice can be posted.
            if ["connect", "late", "eio", "fail"].contains(kind) {
                spans.extend(from.parse().ok().zip(until.parse().ok()));
            }
        }
    }
    spans
}

/// Whether the dispatcher's fault schedule keeps it from accepting connections at any time in this span.
pub(crate) fn cannot_accept(scenario: &Scenario, dispatcher: usize, from: u64, until: u64) -> bool {
    let schedule = scenario.faults.as_ref().and_then(|f| f.schedules.get(dispatcher));
    let span = |fault: &str| match fault.split_whitespace().collect::<Vec<_>>().as_slice() {
        ["accept", begin, end, ..] => begin.parse().ok().zip(end.parse().ok()),
        _ => None,
    };
    let mut spans = schedule.into_iter().flat_map(|s| s.split(';')).filter_map(span);
    spans.any(|(begin, end): (u64, u64)| begin <= until && from <= end)
}

/// Describes the final answers that came too late without an outage of their dispatcher near that time.
pub(crate) fn late_answers(
    answers: &[FinalAnswer],
    outages: impl Fn(usize) -> Vec<(u64, u64)>,
) -> Vec<String> {
    let is_excused = |e: &FinalAnswer| {
        outages(e.dispatcher).iter().any(|(from, until)| *from <= e.ended && e.due <= until + RECOVERY_MS)
    };
    let late = answers.iter().filter(|e| e.ended > e.due + MAX_LATE_MS && !is_excused(e));
    late.map(|e| format!("{} of n{}: {} ms late", e.id, e.dispatcher, e.ended - e.due)).collect()
}

/// Log lines of the dispatchers that report rule violations or panics.
#[derive(Debug, Clone, Default)]
pub(crate) struct LogFindings {
    pub(crate) violations: Vec<String>,
    pub(crate) panics: Vec<String>,
}

/// Searches the logs for lines that report violations or panics.
pub(crate) fn scan_logs(logs: &[PathBuf]) -> LogFindings {
    let mut found = LogFindings::default();
    for path in logs {
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let with_name = |line: &str| format!("{}: {line}", folder_name(path));
        for line in text.lines() {
            if line.contains("panicked at") {
                found.panics.push(with_name(line));
            } else if line.contains("\"violations\":{\"") {
                found.violations.push(with_name(line));
            }
        }
    }
    found
}

/// The name of the log's folder, which is the dispatcher's name.
fn folder_name(log: &Path) -> String {
    let folder = log.parent().and_then(Path::file_name);
    folder.map(|n| n.to_string_lossy().into_owned()).unwrap_or_default()
}

#[cfg(test)]
mod tests;
