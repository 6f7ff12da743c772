//! Several processes of the program behind the rig's proxies, with troubles laid on each other by hand: folders that take no
//! writes, kills and upgrades while the members are silent, and clocks that are an hour off at the next start.

mod stand;
use lilacbank_rig::report::Report;
use lilacbank_rig::scenario::{Faults, Scenario};
use std::path::Path;

const SIX: &str = r#"
seed = 41
dispatchers = 6
run_ms = 9000
disk_mb = 0.5
[member]
service_ms = 5
at_once = 32
queue = 256
count = 2
[load]
per_second = 15
classes = ["safe", "order", "pay"]
[[at]]
ms = 1500
fault = "blackhole"
path = "member"
"#;

/// The members are heard again.
const BACK: &str = r#"
[[at]]
ms = 3000
fault = "pass"
path = "member"
"#;

const DEADLINE_MS: u64 = 6_000;

/// Plays six dispatchers, of which each has this schedule of failing system calls, with these steps beside the silence of the
/// members between 1.5 and 3 s.
fn play(steps: &str, schedule: &str) -> Report {
    let scenario = Scenario::parse("fleet_faults", &format!("{SIX}{steps}{BACK}")).unwrap();
    let library = stand::faults::library().into();
    let schedules = vec![schedule.to_string(); scenario.dispatchers];
    let faults = Some(Faults { library, schedules });
    let scenario = Scenario { deadline_ms: Some(DEADLINE_MS), faults, ..scenario };
    let program = Path::new(env!("CARGO_BIN_EXE_lilacbank"));
    lilacbank_rig::run::play(&scenario, program, &std::env::temp_dir(), false).unwrap()
}

fn holds(report: &Report) {
    let broken = (&report.lost, &report.late, &report.doubled, &report.overlapping, &report.told_twice);
    assert!(report.clean(), "{broken:?} {:?} {:?}", report.violations, report.panics);
    // What had time left after the silence is delivered, not handed back: all but what may have run and must not twice.
    let share = report.delivered as f64 / report.taken as f64;
    assert!(report.taken > 400 && share > 0.9, "{} of {} delivered", report.delivered, report.taken);
}

/// Guards against journals and handovers that lose or repeat work: the folders of all are full while two are upgraded and two
/// killed. Without `Journal::defer` and the mark of a file that was taken over messages are sent twice.
#[test]
fn a_fleet_with_full_folders_is_upgraded_and_killed_and_keeps_its_work() {
    let steps = r#"
[[at]]
ms = 2000
kill = [2, 3]
[[at]]
ms = 2200
upgrade = [0, 1]
[[at]]
ms = 2700
start = [2, 3]
"#;
    holds(&play(steps, "enospc 1600 4200 1"));
}

/// Guards against times that are kept by the wall clock: four of six are killed with work held and start with a clock an hour
/// off, two each way. Without `timeline::translated` it is handed back, or ends late.
#[test]
fn a_fleet_that_is_killed_starts_with_clocks_an_hour_off_and_keeps_its_work() {
    let steps = r#"
[[at]]
ms = 2000
kill = [0, 1, 2, 3]
[[at]]
ms = 2700
start = [0, 1]
clock_ms = 3600000
[[at]]
ms = 2700
start = [2, 3]
clock_ms = -3600000
"#;
    holds(&play(steps, ""));
}
