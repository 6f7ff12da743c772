//! The list of tests and cases that are known to fail: CI prints its entries and skips exactly the tests that it names.

use std::io::Write;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};

const TESTS: &str = "a_first_test: test\nmodule::tests::a_second: test\nnamed_twice: test\nnamed_twice: test\nfourth: test\n\n4 tests, 0 benchmarks\n";

/// The result of `.ci/known-red` for a list: the names of the tests to skip, or the error.
fn run_known_red(list: &str) -> Result<String, String> {
    let path = {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        std::env::temp_dir().join(format!("lilacbank-red-{}-{n}", std::process::id()))
    };
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
        let entries = list.lines().filter(|l| !l.trim().is_empty()).count();
        assert_eq!(errors.lines().count(), entries, "each entry is printed: {errors}");
        Ok(names)
    } else {
        Err(errors)
    }
}

/// Guards against a list that skips other tests than it names: a case outside the suite skips none.
#[test]
fn exactly_the_listed_tests_are_skipped() {
    assert_eq!(run_known_red("").as_deref(), Ok(""));
    let list = "a_first_test, `cargo test a_first`, no seed, the clock runs back, issue 3\n\n\
                outside/soak-524, `lilacbank-rig soak --seed 524`, seed 524, eight late ends, all at once, issue 42\n\
                module::tests::a_second, `cargo test`, seed 7, it never ends, at all, issue 4\n\
                outside/search, `SEEDS=9 cargo test`, seed 1 to 9, 1-19 ran 2 times, issue 42\n\
                fourth, `cargo test fourth`, no seed, 0 of 40 bytes, issue 42\n";
    assert_eq!(run_known_red(list).as_deref(), Ok("a_first_test\nmodule::tests::a_second\nfourth\n"));
}

/// Guards against a list that skips more than it states: names that no test or several tests have, names that
/// are listed twice, and entries without a command, a seed, what was seen or an issue.
#[test]
fn an_entry_that_lacks_a_part_or_matches_no_test_is_rejected() {
    const FORM: &str = "is not 'NAME, `COMMAND`, seed SEED, WHAT WAS SEEN, issue N'";
    for (list, expected) in [
        ("a_first, `run`, no seed, gone, issue 3", "0 tests have the name"),
        ("named_twice, `run`, no seed, which, issue 3", "2 tests have the name"),
        (
            "a_first_test, `run`, no seed, a, issue 1\na_first_test, `run`, no seed, b, issue 1",
            "is listed twice",
        ),
        ("outside/a, `run`, no seed, a, issue 1\noutside/a, `run`, seed 2, b, issue 1", "is listed twice"),
        ("a_first_test, no seed, gone, issue 3", FORM),
        ("a_first_test, ``, no seed, gone, issue 3", FORM),
        ("a_first_test, run, no seed, gone, issue 3", FORM),
        ("a_first_test, `run`, gone, issue 3", FORM),
        ("a_first_test, `run`, seed, gone, issue 3", FORM),
        ("a_first_test, `run`, no seed, issue 3", FORM),
        ("a_first_test, `run`, no seed, , issue 3", FORM),
        ("a_first_test, `run`, no seed, gone", FORM),
        ("a_first_test, `run`, no seed, gone, issue", FORM),
        ("a_first_test", FORM),
        ("outside/, `run`, no seed, gone, issue 3", FORM),
        ("outside/a, `run`, no seed, gone", FORM),
        ("a first test, `run`, no seed, gone, issue 3", FORM),
    ] {
        let error = run_known_red(list).expect_err(list);
        assert!(error.contains(expected), "{list}: {error}");
    }
}
