//! What the soak judges beside the audit: ends that come late without an excuse, and what the dispatchers' logs must not tell.

use crate::scenario::{FaultName, PathName, Scenario};
use std::path::{Path, PathBuf};

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
}
