//! Several processes of the program behind the rig's proxies, with troubles laid on each other by hand: folders that take no
//! writes, kills and upgrades while the members are silent, and clocks that are an hour off at the next start.

mod stand;
use lilacbank_rig::report::Report;
use lilacbank_rig::scenario::{Faults, Scenario};
use std::path::Path;

/// Six dispatchers whose members fall silent after 1.5 s.
fn scenario(seed: u64, per_second: u32, classes: &str, steps: &str) -> Scenario {
    let text = format!(
        "seed = {seed}\ndispatchers = 6\nrun_ms = 7000\ndisk_mb = 1.0\n\
         [member]\nservice_ms = 5\nat_once = 32\nqueue = 256\ncount = 2\n\
         [load]\nper_second = {per_second}\nclasses = {classes}\n\
         [[at]]\nms = 1500\nfault = \"blackhole\"\npath = \"member\"\n{steps}"
    );
    Scenario::parse("fleet_faults", &text).unwrap()
}

/// The members are heard again from this time on.
fn heard_again(ms: u64) -> String {
    format!("[[at]]\nms = {ms}\nfault = \"pass\"\npath = \"member\"\n")
}

/// Four of the six are killed while they hold work, and start with a clock that is off by so much.
fn killed_and_started(clock_ms: i64) -> String {
    format!(
        "[[at]]\nms = 2500\nkill = [0, 1, 2, 3]\n[[at]]\nms = 3200\nstart = [0, 1, 2, 3]\nclock_ms = {clock_ms}\n"
    )
}

/// Plays it with one schedule of failing system calls for all; every message has the same time.
fn play(scenario: Scenario, deadline_ms: u64, schedule: &str) -> Report {
    let library = stand::faults::library().into();
    let faults = Some(Faults { library, schedules: vec![schedule.to_string(); scenario.dispatchers] });
    let scenario = Scenario { deadline_ms: Some(deadline_ms), faults, ..scenario };
    let program = Path::new(env!("CARGO_BIN_EXE_lilacbank"));
    let report = lilacbank_rig::run::play(&scenario, program, &std::env::temp_dir(), false).unwrap();
    let broken = (&report.lost, &report.late, &report.doubled, &report.overlapping, &report.told_twice);
    assert!(report.clean(), "{broken:?} {:?} {:?}", report.violations, report.panics);
    report
}

const REPEATABLE: &str = r#"["safe", "order"]"#;
const HOUR_MS: i64 = 3_600_000;

/// Guards against work that looks overdue after the step and is handed back: it may be repeated, and has time left. Without
/// `timeline::translated` over a hundred messages are.
#[test]
fn a_fleet_that_starts_with_clocks_an_hour_ahead_delivers_what_it_held() {
    let steps = killed_and_started(HOUR_MS) + &heard_again(3_400);
    let report = play(scenario(41, 30, REPEATABLE, &steps), 6_000, "");
    assert!(report.taken > 600 && report.told < 50, "{} of {} told", report.told, report.taken);
}

/// Guards against deadlines that are put off by the step: the members stay silent, and each message ends in its time. Without
/// `timeline::translated` those of class `order` end 15 s late.
#[test]
fn a_fleet_that_starts_with_clocks_an_hour_behind_ends_what_it_held_in_time() {
    let report = play(scenario(42, 30, REPEATABLE, &killed_and_started(-HOUR_MS)), 6_000, "");
    assert!(report.told > 300, "{} of {}", report.told, report.taken);
}

/// Guards against work that is taken over again and again from a file that cannot be emptied, also what was delivered between:
/// all six are upgraded while their folders take writes for moments only. Without the file held until it is empty
/// (`Server::empty_left`) messages that must not run twice do.
#[test]
fn a_fleet_that_is_upgraded_on_full_folders_sends_nothing_twice() {
    let steps = heard_again(2_600) + "[[at]]\nms = 2200\nupgrade = [0, 1, 2, 3, 4, 5]\n";
    let moments: Vec<String> =
        (0..12).map(|n| format!("enospc {} {}", 2_660 + 300 * n, 2_900 + 300 * n)).collect();
    let schedule = format!("enospc 1900 2600; {}", moments.join("; "));
    let report = play(scenario(43, 40, r#"["pay"]"#, &steps), 6_000, &schedule);
    let share = report.delivered as f64 / report.taken as f64;
    assert!(report.taken > 300 && share > 0.8, "{} of {} delivered", report.delivered, report.taken);
}
