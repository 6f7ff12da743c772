//! The fault schedule of `crates/faults`. An invalid schedule ends the process, so that no test passes
//! because its faults are missing.

mod stand;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

fn run_under(schedule: &str, folder: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_lilacbank"))
        .arg("--version")
        .env("LD_PRELOAD", stand::faults::library())
        .env("LILACBANK_FAULTS", schedule)
        .env("LILACBANK_FAULTS_FOLDER", folder)
        .output()
        .unwrap()
}

#[test]
fn a_valid_schedule_lets_the_process_run() {
    let out = run_under(
        "clock 0 1e12 -3600000; late 0 9; enospc 5 10 1; halt 0 9; fail 1 2 send ENOBUFS",
        "/nowhere",
    );
    assert!(out.status.success() && out.stderr.is_empty(), "{out:?}");
}

/// Each error names the mistake and the correct form.
#[test]
fn an_invalid_schedule_ends_the_process_with_an_explanation() {
    let invalid = [
        ("enospc", "/nowhere", "'enospc': write KIND FROM UNTIL [ARGUMENT]"),
        ("clock 0 9; flood 0 10", "/nowhere", "'flood 0 10': the kind is one of clock, enospc,"),
        ("eio 10 5", "/nowhere", "'eio 10 5': FROM is before UNTIL"),
        ("clock 0 1e12 back", "/nowhere", "'clock 0 1e12 back': FROM, UNTIL and ARGUMENT are numbers"),
        (
            "fail 0 9 sand ENOMEM",
            "/nowhere",
            "'fail 0 9 sand ENOMEM': the function is one of accept4, connect,",
        ),
        ("fail 9 0 send ENOMEM", "/nowhere", "'fail 9 0 send ENOMEM': FROM is before UNTIL"),
        ("fail 0 5 rename EIO", "", "set it to the folder whose files fail"),
        ("eio 0 5", "", "set it to the folder whose files fail"),
    ];
    for (schedule, folder, expected) in invalid {
        let out = run_under(schedule, folder);
        let text = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(2), "{schedule}: {text}");
        assert!(text.starts_with("LILACBANK_FAULTS: ") && text.contains(expected), "{schedule}: {text}");
    }
}

/// Guards against a schedule entry `late` that has no effect, so that every connection of a soak is
/// established immediately. The connection to the registry is delayed first, then the one to the endpoint.
#[test]
fn connections_are_delayed_as_the_schedule_specifies() {
    const DELAY: Duration = Duration::from_millis(400);
    let worker = stand::Worker::start(|_, _| stand::Reply::Answer("200 OK"));
    let site = stand::Site::new(&[stand::entry("w1", &worker.address.to_string(), "a", 1, "in_service")]);
    let start = Instant::now();
    let dispatcher = site.start_under(&format!("late 0 60000 {}", DELAY.as_millis()), &[]);
    let mut client = dispatcher.client();
    assert_eq!(client.submit("m", "c=safe,d=5000,dest=1"), "+OK");
    stand::until("the message is delivered", || worker.of("m") == 1);
    let called = worker.calls.lock().unwrap()[0].at;
    assert!(called.duration_since(start) >= 2 * DELAY, "{:?}", called.duration_since(start));
}
