//! The list of tests that are known to fail: CI skips exactly the tests that it names, and three at most.

use std::io::Write;
use std::process::{Command, Stdio};

const TESTS: &str = "a_first_test: test\nmodule::tests::a_second: test\nnamed_twice: test\nnamed_twice: test\nfourth: test\n\n4 tests, 0 benchmarks\n";

/// The result of `.ci/known-red` for a list: the names of the tests to skip, or the error.
fn run_known_red(list: &str) -> Result<String, String> {
    let path = std::env::temp_dir().join(format!("lilacbank-red-{}-{}", std::process::id(), list.len()));
    std::fs::write(&path, list).unwrap();
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/known-red");
    let mut child = Command::new("bash")
        .args([script, path.to_str().unwrap()])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(TESTS.as_bytes()).unwrap();
    let out = child.wait_with_output().unwrap();
    std::fs::remove_file(path).unwrap();
    let (names, errors) = (String::from_utf8(out.stdout).unwrap(), String::from_utf8(out.stderr).unwrap());
    if out.status.success() {
        assert_eq!(errors.lines().count(), names.lines().count(), "each entry is printed: {errors}");
        Ok(names)
    } else {
        Err(errors)
    }
}

#[test]
fn exactly_the_listed_tests_are_skipped() {
    assert_eq!(run_known_red("").as_deref(), Ok(""));
    let list = "a_first_test, the clock runs back, issue 3\n\nmodule::tests::a_second, it never ends, at all, issue 4";
    assert_eq!(run_known_red(list).as_deref(), Ok("a_first_test\nmodule::tests::a_second\n"));
}

/// Guards against a list that skips more than it states: names that no test or several tests have, entries
/// without a cause or issue, and more than three entries.
#[test]
fn a_list_that_matches_no_test_or_too_many_is_rejected() {
    for (list, expected) in [
        ("a_first, gone, issue 3", "0 tests have the name"),
        ("named_twice, which, issue 3", "2 tests have the name"),
        ("a_first_test, issue 3", "is not 'test, cause, issue N'"),
        ("a_first_test, a cause", "is not 'test, cause, issue N'"),
        ("a_first_test", "is not 'test, cause, issue N'"),
        ("a_first_test, a, issue 1\nfourth, b, issue 1\nmodule::tests::a_second, c, issue 1\na_first_test, d, issue 1", "more than three"),
    ] {
        let error = run_known_red(list).expect_err(list);
        assert!(error.contains(expected), "{list}: {error}");
    }
}
