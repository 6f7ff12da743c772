//! The configuration tool, started as a sidecar's operator would.

use std::path::PathBuf;
use std::process::{Command, Output};

fn dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("lilacbank-tool-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

fn tool(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_lilacbank")).arg("config").args(arguments).output().unwrap()
}

fn said(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn what_write_puts_out_passes_check() {
    let dir = dir("write");
    let file = dir.join("claims.json");
    let path = file.to_str().unwrap();
    let pay =
        ["--class", "payout,at_most_once,3000,20000", "--class", "order,deduplicated,4000,9000,9000,ordered"];
    let out = tool(
        &[&["write", "--name", "claims", "--mqtt", "127.0.0.1:1883", "--output", path], &pay[..]].concat(),
    );
    assert!(out.status.success(), "{}", said(&out.stderr));
    let beside = format!("{path}.mqtt.toml");
    let out = tool(&["check", path, "--mqtt", &beside]);
    let text = said(&out.stdout);
    assert!(out.status.success() && text.contains("2 classes") && text.contains("127.0.0.1:1883"), "{text}");
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn a_fault_is_named_by_its_key_and_nothing_is_written() {
    let dir = dir("fault");
    let file = dir.join("x.json");
    let path = file.to_str().unwrap();
    let write = |more: &[&str]| {
        let out = tool(&[&["write", "--output", path], more].concat());
        assert!(!out.status.success() && !file.exists(), "{more:?}");
        said(&out.stderr)
    };
    assert!(write(&["--listen", "nowhere"]).contains("listen: 'nowhere'"));
    assert!(write(&["--class", "a,often,1,2"]).contains("settings.classes[0].effect: unknown effect 'often'"));
    assert!(write(&["--class", "a,idempotent,1,0"]).contains("settings.classes[0].deadline"));
    assert!(write(&["--slots", "0"]).contains("settings.family_info.slots"));
    assert!(write(&["--mqtt", "here"]).contains("acceptor.listen"));
    assert!(write(&["--class", "a"]).contains("--class 'a'"));
    std::fs::write(&file, r#"{"state":"s","settings":{"classes":[{"deadline":"soon"}]}}"#).unwrap();
    let out = tool(&["check", path]);
    assert_eq!(out.status.code(), Some(2));
    assert!(said(&out.stderr).contains("settings.classes[0].deadline: a number was expected"));
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn an_import_passes_check_and_reports_what_it_left_out() {
    let dir = dir("import");
    let (from, to) = (dir.join("haproxy.cfg"), dir.join("out.json"));
    let text = "defaults\n  timeout connect 500ms\n  balance roundrobin\nbackend b\n  server s 127.0.0.1:9000 check\n";
    std::fs::write(&from, text).unwrap();
    let out = tool(&["import-haproxy", from.to_str().unwrap(), "--output", to.to_str().unwrap()]);
    let report = said(&out.stderr);
    assert!(out.status.success() && report.contains("haproxy.cfg:3: 'balance roundrobin'"), "{report}");
    assert_eq!(report.lines().count(), 1, "{report}");
    let out = tool(&["check", to.to_str().unwrap()]);
    assert!(said(&out.stdout).contains("1 workers"), "{}", said(&out.stderr));
    std::fs::remove_dir_all(dir).unwrap();
}
