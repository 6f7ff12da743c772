//! Hand-written transcripts of the simulator's protocol, passed to the built adapter.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"balancers":1,"unknown_key":[1],"round":5.0,"ceilings":{"most_tries":6,"max_open":50,"retry_after":true,"max_retry_after":2000.0,"connect_timeout":1000.0},"classes":[{"name":"note","deadline":16000.0,"promise":2000.0,"effect":"idempotent","late_worth":0.3,"worth":1.0}],"family_info":{"slots":4,"kind_apart":[true],"batch_by_kind":[1]},"guarantees":{"answer_slack":20.0,"cold":9000.0,"cold_from":0.2,"drain_grace":250.0,"overload_factor":2.0,"overload_for":2000.0},"kinds":["k"],"zones":["z"],"zone":"z","discovery":"pushed"}"#;

/// Runs the adapter on this input until it exits.
fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_lilacbank-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may end before it has read all of a malformed input.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

/// Input that starts an instance with one endpoint.
fn started() -> String {
    format!(
        "sync 10.0 1\neob\nsync 15.0 2\nenlist forwarder-3 99 {SETTINGS}\ninventory 0 1\n\
         entry 10.0.0.1:7003 z k 57 1 1 -\nroster_change forwarder-3 2 41 0\neob\n"
    )
}

#[test]
fn a_message_is_dispatched_and_its_outcome_ends_it() {
    let script = started()
        + "sync 20.0 3\nnew_request forwarder-3 1564119492 note - - 16020.0 - 57 0\neob\n\
           sync 95.0 4\nanswer forwarder-3 1564119492 0 10.0.0.1:7003 GOOD 75.0 1 - -\neob\n";
    let done = run_adapter(&script);
    let out = String::from_utf8(done.stdout).unwrap();
    assert!(done.status.success(), "{}", String::from_utf8_lossy(&done.stderr));
    let replies: Vec<&str> = out.lines().filter(|l| !l.starts_with("timer ")).collect();
    let sends = ["ok 1", "ok 2", "dispatch forwarder-3 1564119492 - 10.0.0.1:7003", "ok 3", "ok 4"];
    assert_eq!(replies, sends);
}

#[test]
fn a_message_without_time_is_returned_and_a_crashed_instance_is_forgotten() {
    let script = started()
        + "sync 20.0 3\nnew_request forwarder-3 7 note - - 20.0 - 57 0\neob\n\
           sync 25.0 4\ncrash_now forwarder-3\neob\n";
    let done = run_adapter(&script);
    let out = String::from_utf8(done.stdout).unwrap();
    assert!(done.status.success());
    assert!(out.contains("deny forwarder-3 7 "), "{out}");
    assert!(out.ends_with("ok 4\n"), "{out}");
}

#[test]
fn an_end_of_input_is_no_error() {
    let done = run_adapter("");
    assert!(done.status.success());
    assert!(done.stdout.is_empty() && done.stderr.is_empty());
}

#[test]
fn malformed_input_ends_with_one_line_of_error() {
    let known = started();
    let cases = [
        ("sync ten 1\n".to_string(), 1),
        ("hello\n".to_string(), 1),
        ("sync 10.0 1\nnonsense forwarder-3\neob\n".to_string(), 2),
        ("sync 10.0 1\nenlist forwarder-3 9 [1,2]\neob\n".to_string(), 2),
        ("sync 10.0 1\nenlist forwarder-3 9 {\neob\n".to_string(), 2),
        ("sync 10.0 1\nelapsed forwarder-3 7\neob\n".to_string(), 2),
        ("sync 10.0 1\n".to_string(), 1),
        (format!("{known}sync 20.0 3\nnew_request forwarder-3 7 note - - soon - 57 0\neob\n"), 10),
        (format!("{known}sync 20.0 3\nnew_request forwarder-3 7 other - - 99.0 - 57 0\neob\n"), 10),
        (format!("{known}sync 20.0 3\nanswer forwarder-3 7 0 10.0.0.1:7003 FINE 1.0 1 - -\neob\n"), 10),
        (format!("{known}sync 20.0 3\nanswer forwarder-3 7\neob\n"), 10),
    ];
    for (script, line) in cases {
        let done = run_adapter(&script);
        let err = String::from_utf8(done.stderr).unwrap();
        assert!(!done.status.success(), "{script}");
        assert_eq!(err.lines().count(), 1, "{err}");
        assert!(err.contains(&format!("input line {line}:")), "{script}: {err}");
        let out = String::from_utf8(done.stdout).unwrap();
        assert!(out.lines().all(|l| l.starts_with("ok ") || l.starts_with("timer ")), "{out}");
    }
}
