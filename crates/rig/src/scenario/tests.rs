//! Tests of the module `scenario`.

use super::*;

/// Guards against a default scenario that cannot be parsed, and against errors that do not name line and key.
#[test]
fn the_default_scenario_is_valid_and_errors_name_line_and_key() {
    let s = Scenario::parse("default", DEFAULT).unwrap();
    assert_eq!((s.dispatchers, s.timeline().len()), (3, 4));
    let bad = DEFAULT.replace("kill = [0, 1]", "reload = [3]");
    let why = Scenario::parse("f", &bad).unwrap_err();
    assert!(why.contains("key `at.reload`: dispatchers are numbered 0 to 2"), "{why}");
    let bad = DEFAULT.replace("kill = [0, 1]", "kill = [0, 3]");
    let e = Scenario::parse("f.toml", &bad).unwrap_err();
    assert!(e.starts_with("f.toml:22: key `at.kill`"), "{e}");
    let e = Scenario::parse("f.toml", &DEFAULT.replace("queue = 256", "queue = 256\nqueu = 1")).unwrap_err();
    assert!(e.starts_with("f.toml:10:") && e.contains("`queu`"), "{e}");
    let e = Scenario::parse("f.toml", &DEFAULT.replace("dispatchers = 3", "dispatchers = 0")).unwrap_err();
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
