//! Several processes behind the rig's proxies with hand-written combinations of faults: full state folders,
//! kills and upgrades while the endpoints are unresponsive, and clocks that are an hour off at the next
//! start.

mod stand;
use lilacbank_rig::report::Report;
use lilacbank_rig::scenario::{Faults, Scenario};
use std::path::Path;

/// Six dispatchers whose endpoints become unresponsive after 1.5 s.
fn scenario(seed: u64, per_second: u32, classes: &str, steps: &str) -> Scenario {
    let text = format!(
        "seed = {seed}\ndispatchers = 6\nrun_ms = 7000\ndisk_mb = 1.0\n\
         [member]\nservice_ms = 5\nat_once = 32\nqueue = 256\ncount = 2\n\
         [load]\nper_second = {per_second}\nclasses = {classes}\n\
         [[at]]\nms = 1500\nfault = \"blackhole\"\npath = \"member\"\n{steps}"
    );
    Scenario::parse("fleet_faults", &text).unwrap()
}

/// A step that makes the endpoints reachable again.
fn endpoints_reachable(ms: u64) -> String {
    format!("[[at]]\nms = {ms}\nfault = \"pass\"\npath = \"member\"\n")
}

/// Steps that kill four of the six dispatchers while they have pending messages, and start them with a clock
/// offset.
fn kill_and_start(clock_ms: i64) -> String {
    format!(
        "[[at]]\nms = 2500\nkill = [0, 1, 2, 3]\n[[at]]\nms = 3200\nstart = [0, 1, 2, 3]\nclock_ms = {clock_ms}\n"
    )
}

/// Runs the scenario with one schedule of failing system calls for all dispatchers and one deadline for all
/// messages, and checks the audit.
fn run(scenario: Scenario, deadline_ms: u64, schedule: &str) -> Report {
    let library = stand::faults::fault_library().into();
    let faults = Some(Faults { library, schedules: vec![schedule.to_string(); scenario.dispatchers] });
    let scenario = Scenario { deadline_ms: Some(deadline_ms), faults, ..scenario };
    let program = Path::new(env!("CARGO_BIN_EXE_lilacbank"));
    let report = lilacbank_rig::run::run_scenario(&scenario, program, &std::env::temp_dir(), false).unwrap();
    let findings = (
        &report.lost,
        &report.late,
        &report.doubled,
        &report.overlapping,
        &report.told_twice,
        &report.altered,
    );
    assert!(report.clean(), "{findings:?} {:?} {:?}", report.violations, report.panics);
    report
}

const REPEATABLE: &str = r#"["safe", "order"]"#;
const HOUR_MS: i64 = 3_600_000;

/// Guards against messages that look expired after the clock step and are returned, although they may be
/// repeated and have time left. Without `timeline::translate_records` more than a hundred messages are returned.
#[test]
fn a_fleet_restarted_with_clocks_an_hour_ahead_delivers_pending_messages() {
    let steps = kill_and_start(HOUR_MS) + &endpoints_reachable(3_400);
    let report = run(scenario(41, 30, REPEATABLE, &steps), 6_000, "");
    assert!(report.taken > 600 && report.told < 50, "{} of {} with a notice", report.told, report.taken);
}

/// Guards against deadlines that move with the clock step. The endpoints stay unresponsive, and each message
/// must end by its deadline. Without `timeline::translate_records` those of class `order` end 15 s late.
#[test]
fn a_fleet_restarted_with_clocks_an_hour_behind_ends_messages_in_time() {
    let report = run(scenario(42, 30, REPEATABLE, &kill_and_start(-HOUR_MS)), 6_000, "");
    assert!(report.told > 300, "{} of {} with a notice", report.told, report.taken);
}

/// Guards against messages that are taken over repeatedly from a journal file that cannot be emptied,
/// including those that were delivered in between. All six dispatchers are upgraded while their folders can
/// be written only for short periods. Unless the file is held until it is empty (`Server::empty_left`),
/// at-most-once messages run twice.
#[test]
fn a_fleet_upgraded_on_full_folders_sends_nothing_twice() {
    let steps = endpoints_reachable(2_600) + "[[at]]\nms = 2200\nupgrade = [0, 1, 2, 3, 4, 5]\n";
    let full_periods: Vec<String> =
        (0..12).map(|n| format!("enospc {} {}", 2_660 + 300 * n, 2_900 + 300 * n)).collect();
    let schedule = format!("enospc 1900 2600; {}", full_periods.join("; "));
    let report = run(scenario(43, 40, r#"["pay"]"#, &steps), 6_000, &schedule);
    let share = report.delivered as f64 / report.taken as f64;
    assert!(report.taken > 300 && share > 0.8, "{} of {} delivered", report.delivered, report.taken);
}
