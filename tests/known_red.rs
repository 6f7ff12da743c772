//! The list of tests that are known to be red: CI passes over just those that it names, and over three at most.

use std::io::Write;
use std::process::{Command, Stdio};

const TESTS: &str = "a_first_test: test\nmodule::tests::a_second: test\nnamed_twice: test\nnamed_twice: test\nfourth: test\n\n4 tests, 0 benchmarks\n";

/// What `.ci/known-red` says of a list: the names to skip, or why it is refused.
fn read(list: &str) -> Result<String, String> {
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
    let (names, why) = (String::from_utf8(out.stdout).unwrap(), String::from_utf8(out.stderr).unwrap());
    if out.status.success() {
        assert_eq!(why.lines().count(), names.lines().count(), "each line is printed: {why}");
        Ok(names)
    } else {
        Err(why)
    }
}

#[test]
fn just_the_tests_that_the_list_names_are_skipped() {
    assert_eq!(read("").as_deref(), Ok(""));
    let list = "a_first_test, the clock runs back, issue 3\n\nmodule::tests::a_second, it never ends, at all, issue 4";
    assert_eq!(read(list).as_deref(), Ok("a_first_test\nmodule::tests::a_second\n"));
}

/// Guards against a list that hides more than it says: names that no test has any more, or that several have, lines without a
/// cause, and a fourth one.
#[test]
fn a_list_that_names_no_test_or_too_many_is_refused() {
    for (list, why) in [
        ("a_first, gone, issue 3", "0 tests have the name"),
        ("named_twice, which, issue 3", "2 tests have the name"),
        ("a_first_test, issue 3", "is not 'test, cause, issue N'"),
        ("a_first_test, a cause", "is not 'test, cause, issue N'"),
        ("a_first_test", "is not 'test, cause, issue N'"),
        ("a_first_test, a, issue 1\nfourth, b, issue 1\nmodule::tests::a_second, c, issue 1\na_first_test, d, issue 1", "more than three"),
    ] {
        let said = read(list).expect_err(list);
        assert!(said.contains(why), "{list}: {said}");
    }
}
