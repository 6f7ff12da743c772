//! Runs the command line tool as a sidecar's operator would.

use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

fn dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("lilacbank-tool-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

fn lilacbank(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_lilacbank")).args(arguments).output().unwrap()
}

fn tool(arguments: &[&str]) -> Output {
    lilacbank(&[&["config"], arguments].concat())
}

fn utf8(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/examples").join(name)
}

#[test]
fn output_of_config_write_passes_check() {
    let dir = dir("write");
    let file = dir.join("claims.json");
    let path = file.to_str().unwrap();
    let pay =
        ["--class", "payout,at_most_once,3000,20000", "--class", "order,deduplicated,4000,9000,9000,ordered"];
    let out = tool(
        &[&["write", "--name", "claims", "--mqtt", "127.0.0.1:1883", "--output", path], &pay[..]].concat(),
    );
    assert!(out.status.success(), "{}", utf8(&out.stderr));
    let mqtt_file = format!("{path}.mqtt.toml");
    let out = tool(&["check", path, "--mqtt", &mqtt_file]);
    let text = utf8(&out.stdout);
    assert!(out.status.success() && text.contains("2 classes") && text.contains("127.0.0.1:1883"), "{text}");
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn an_error_names_its_key_and_nothing_is_written() {
    let dir = dir("fault");
    let file = dir.join("x.json");
    let path = file.to_str().unwrap();
    let cases: [(&[&str], i32, &str); 6] = [
        (&["--listen", "nowhere"], 1, "'nowhere' is not an address"),
        (&["--class", "a,often,1,2"], 1, "settings.classes[0].effect"),
        (&["--class", "a,idempotent,1,0"], 1, "settings.classes[0].deadline"),
        (&["--slots", "0"], 1, "settings.family_info.slots"),
        (&["--mqtt", "here"], 2, "'here' is not an address"),
        (&["--class", "a"], 2, "NAME,EFFECT,PROMISE,DEADLINE"),
    ];
    for (more, status, wanted) in cases {
        let out = tool(&[&["write", "--output", path], more].concat());
        let text = utf8(&out.stderr);
        assert!(
            out.status.code() == Some(status) && !file.exists() && text.contains(wanted),
            "{more:?}\n{text}"
        );
    }
    std::fs::write(&file, r#"{"state":"s","settings":{"classes":[{"deadline":"soon"}]}}"#).unwrap();
    let out = tool(&["check", path]);
    assert_eq!(out.status.code(), Some(1));
    assert!(
        utf8(&out.stderr).contains("'settings.classes[0].deadline' cannot be read"),
        "{}",
        utf8(&out.stderr)
    );
    assert_eq!(tool(&["check", "/no/such/file"]).status.code(), Some(2));
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn an_import_passes_check_and_reports_unmapped_directives() {
    let dir = dir("import");
    let (from, to) = (dir.join("haproxy.cfg"), dir.join("out.json"));
    let text = "defaults\n  timeout connect 500ms\n  balance roundrobin\nbackend b\n  server s 127.0.0.1:9000 check\n";
    std::fs::write(&from, text).unwrap();
    let out = tool(&["import-haproxy", from.to_str().unwrap(), "--output", to.to_str().unwrap()]);
    let report = utf8(&out.stderr);
    assert!(out.status.success() && report.contains("haproxy.cfg:3: 'balance roundrobin'"), "{report}");
    assert_eq!(report.lines().count(), 1, "{report}");
    let out = tool(&["check", "--elsewhere", to.to_str().unwrap()]);
    assert!(utf8(&out.stdout).contains("1 endpoints"), "{}", utf8(&out.stderr));
    std::fs::remove_dir_all(dir).unwrap();
}

/// Guards against mistakes in the JSON that pass unnoticed. A new user made these mistakes, and only one was
/// caught at the time; each must be reported with its code and line.
#[test]
fn mistakes_in_the_json_are_reported_with_code_and_line() {
    let dir = dir("json");
    let good = dir.join("good.json");
    let path = good.to_str().unwrap();
    let out =
        lilacbank(&["app", "render", "--elsewhere", example("claims.toml").to_str().unwrap(), "-o", path]);
    assert!(out.status.success(), "{}", utf8(&out.stderr));
    assert!(tool(&["check", "--elsewhere", path]).status.success());
    let text = std::fs::read_to_string(&good).unwrap();
    let cases = [
        ("\"deadline\": 8000.0", "\"dedaline\": 8000.0", "LB0004"),
        ("\"drain_grace\": 2000.0", "\"drain_grace\": 9000", "LB0302"),
        (
            "\"effect\": \"at_most_once\",\n        \"group\"",
            "\"effect\": \"idempotent\",\n        \"group\"",
            "LB0301",
        ),
        ("\"uid\": \"sotrans-b1\"", "\"uid\": \"sotrans-a1\"", "LB0101"),
        ("\"endpoint\": \"127.0.0.1:9102\"", "\"endpoint\": \"127.0.0.1:9101\"", "LB0102"),
        ("\"az\": \"building-b\"", "\"az\": \"building-c\"", "LB0201"),
        ("\"model\": \"low-volume\"", "\"model\": \"no-volume\"", "LB0202"),
        ("\"window\": 20000.0,\n        \"in_order\"", "\"window\": 200,\n        \"in_order\"", "LB0303"),
        ("\"name\": \"textile\"", "\"name\": \"sotrans\"", "LB0101"),
        ("\"notices\": \"log\"", "\"discovery\": \"127.0.0.1:6401\"", "LB0103"),
        ("\"connect_timeout\": 1000.0", "\"connect_timeout\": 1e9", "LB0007"),
        ("\"slots\": 24", "\"slots\": 2400", "LB0406"),
        ("\"slots\": 24", "\"slots\": 0", "LB0007"),
        ("\"name\": \"reimbursement\"", "\"name\": \"claim-status\"", "LB0101"),
        ("\"notices\": \"log\",", "", "LB0701"),
        ("\"calls\": 13", "\"calls\": 0", "LB0403"),
        ("\"remembered\": 3600000.0", "\"remembered\": 5", "LB0308"),
        ("\"listen\": \"127.0.0.1:6401\"", "\"listen\": \"here\"", "LB0005"),
        ("\"endpoint\": \"127.0.0.1:9102\"", "\"endpoint\": \"127.0.0.1:6401\"", "LB0107"),
        ("\"state\": \"/var/lib/lilacbank/claims\"", "\"state\": \"/etc/passwd/claims\"", "LB0602"),
    ];
    let no_endpoints = dir.join("nowhere.json");
    let class = r#"{"name":"a","deadline":5000,"promise":1000}"#;
    std::fs::write(
        &no_endpoints,
        format!(r#"{{"listen":"127.0.0.1:0","state":"/tmp","settings":{{"classes":[{class}]}}}}"#),
    )
    .unwrap();
    let out = tool(&["check", "--format", "json", "--elsewhere", no_endpoints.to_str().unwrap()]);
    assert!(utf8(&out.stdout).contains("LB0702"), "{}", utf8(&out.stdout));
    for (n, (from, to, code)) in cases.into_iter().enumerate() {
        assert!(text.contains(from), "{from} is not in:\n{text}");
        let file = dir.join(format!("bad-{n}.json"));
        std::fs::write(&file, text.replacen(from, to, 1)).unwrap();
        let out = tool(&["check", "--format", "json", file.to_str().unwrap()]);
        let output = utf8(&out.stdout);
        let line = text[..text.find(from).unwrap()].matches('\n').count() + 1;
        let reported = output.lines().any(|l| l.contains(&format!("\"code\":\"{code}\"")));
        assert!(out.status.code() == Some(1) && reported, "{to}: {code} at line {line}\n{output}");
        // A missing key is reported at its parent's line.
        if !to.is_empty() && code != "LB0308" && code != "LB0301" && !to.contains("discovery") && n != 13 {
            assert!(output.contains(&format!("\"line\":{line},")), "{to}: line {line}\n{output}");
        }
    }
    std::fs::remove_dir_all(dir).unwrap();
}

/// The output of `app new` passes `app check` without changes in any folder, and a failed command leaves
/// neither a changed nor a partly written file.
#[test]
fn a_new_application_passes_check_unchanged() {
    let dir = dir("new");
    let (file, json) = (dir.join("deep/er/new.toml"), dir.join("new.json"));
    std::fs::create_dir_all(file.parent().unwrap()).unwrap();
    let (path, json) = (file.to_str().unwrap(), json.to_str().unwrap());
    let agreements = ["sotrans-dakar", "textile-kaolack"].map(|n| example(&format!("agreements/{n}.toml")));
    let [a, b] = agreements.each_ref().map(|p| p.to_str().unwrap());
    let state = dir.join("state");
    let new = [
        "app",
        "new",
        "--name",
        "new",
        "--state",
        state.to_str().unwrap(),
        "--tenant",
        "acme",
        "-o",
        path,
        a,
        b,
    ];
    for share in ["5%", "25%", "100%"] {
        let out = lilacbank(&[&new[..], &["--share", share]].concat());
        assert!(out.status.success() && out.stderr.is_empty(), "{share}: {}", utf8(&out.stderr));
        let out = lilacbank(&["app", "check", path]);
        assert!(out.status.success() && !utf8(&out.stderr).contains("error"), "{}", utf8(&out.stderr));
    }
    let text = std::fs::read_to_string(&file).unwrap();
    assert!(lilacbank(&["app", "render", path, "-o", json]).status.success());
    let values = utf8(&lilacbank(&["app", "explain", path]).stdout);
    for line in
        ["promised.sotrans-dakar.calls", "24 in any 2s", "work.attempts", "default", "sotrans-dakar.toml:6"]
    {
        assert!(values.contains(line), "{line} is not in:\n{values}");
    }
    // A share of less than one call is rejected, and the old file stays.
    let out = lilacbank(&[&new[..], &["--share", "1%"]].concat());
    assert!(out.status.code() == Some(1) && utf8(&out.stderr).contains("LB0403"), "{}", utf8(&out.stderr));
    assert_eq!(std::fs::read_to_string(&file).unwrap(), text);
    std::fs::write(&file, text.replace("slots = ", "slots = \"")).unwrap();
    let before = std::fs::read_to_string(json).unwrap();
    assert_eq!(lilacbank(&["app", "render", path, "-o", json]).status.code(), Some(1));
    assert_eq!(std::fs::read_to_string(json).unwrap(), before);
    assert_eq!(std::fs::read_dir(&dir).unwrap().count(), 2, "no partly written file is left");
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn help_schemas_and_completions_are_printed() {
    for (arguments, wanted) in [
        (&["--help"][..], "Exit status: 0 good"),
        (&["app", "check", "--help"], "--elsewhere"),
        (&["schema", "application"], "\"additionalProperties\": false"),
        (&["schema", "agreement", "--cue"], "#Agreement: {"),
        (&["schema", "cells", "--cue"], "#CellMap: {"),
        (&["completions", "bash"], "lilacbank"),
    ] {
        let out = lilacbank(arguments);
        assert!(
            out.status.success() && utf8(&out.stdout).contains(wanted),
            "{arguments:?}: {}",
            utf8(&out.stdout)
        );
    }
    assert_eq!(lilacbank(&["serv"]).status.code(), Some(2));
}

/// Guards against a new cell that moves tenants other than those it gets.
#[test]
fn cell_maps_show_placement_and_moves() {
    let dir = dir("cells");
    let old = example("maps/plateau.toml");
    let old = old.to_str().unwrap();
    assert!(lilacbank(&["cell", "check", old]).status.success());
    let text = std::fs::read_to_string(old).unwrap();
    let agreements = example("agreements").display().to_string();
    let text = text.replace("../agreements/", &format!("{agreements}/"));
    let more = "[dispatchers.n5]\npeer = \"127.0.0.1:7305\"\n[cells.third]\ndispatchers = [\"n5\"]\n[[cells.third.members]]\n";
    let more = format!("{text}{more}agreement = \"{agreements}/textile-kaolack.toml\"\n");
    let (new, names) = (dir.join("new.toml"), dir.join("names"));
    let write = |version: &str| std::fs::write(&new, more.replace("version = 1", version)).unwrap();
    write("version = 1");
    let new = new.to_str().unwrap();
    let out = lilacbank(&["cell", "check", new, "--in-force", old]);
    assert!(out.status.code() == Some(1) && utf8(&out.stderr).contains("LB0809"), "{}", utf8(&out.stderr));
    write("version = 2");
    let out = lilacbank(&["cell", "check", new, "--in-force", old]);
    assert!(out.status.success(), "{}", utf8(&out.stderr));
    std::fs::write(&names, (0..200).map(|n| format!("tenant-{n}\n")).collect::<String>()).unwrap();
    let at = format!("@{}", names.display());
    let placed = utf8(&lilacbank(&["cell", "place", old, "sotrans-dakar", &at]).stdout);
    assert!(
        placed.starts_with("sotrans-dakar large n") && placed.lines().skip(1).all(|l| l.contains(" rest n"))
    );
    let plan = utf8(&lilacbank(&["cell", "plan", old, new, &at]).stdout);
    let moved = plan.lines().filter(|l| l.contains(" -> third")).count();
    assert!((70..130).contains(&moved) && plan.contains(&format!("{moved} of 200 move")), "{plan}");
    std::fs::remove_dir_all(dir).unwrap();
}

/// Whether a dispatcher starts with this configuration and listens; otherwise its log.
fn check_starts(json: &Path) -> Result<(), String> {
    use std::io::{BufRead, BufReader};
    let mut child = Command::new(env!("CARGO_BIN_EXE_lilacbank"))
        .args(["serve", "--log-format", "text", "--config", json.to_str().unwrap()])
        .env("RUST_LOG", "info")
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    let mut log = String::new();
    let listens = lines.into_iter().any(|l| {
        log += &format!("{l}\n");
        l.contains(" listens on ")
    });
    child.kill().unwrap();
    child.wait().unwrap();
    if listens {
        Ok(())
    } else {
        Err(log)
    }
}

/// Guards against files that pass the check but do not serve. Each line of a valid application and agreement
/// is changed in 12 ways; either the check reports an error, or a dispatcher starts with the result.
#[test]
fn a_single_mutation_is_rejected_or_serves() {
    let dir = dir("mutate");
    let agreement = std::fs::read_to_string(example("agreements/sotrans-dakar.toml")).unwrap();
    let app = std::fs::read_to_string(example("payroll.toml")).unwrap();
    let app = app.replace("127.0.0.1:6402", "127.0.0.1:0").replace("agreements/", "");
    let mutate = |line: &str, kind: usize| -> Option<String> {
        let (key, value) = line.split_once(" = ")?;
        let digits: String = value.chars().filter(|c| c.is_ascii_digit()).collect();
        let number =
            |to: &str| (!digits.is_empty()).then(|| format!("{key} = {}", value.replacen(&digits, to, 1)));
        match kind {
            0 => Some(String::new()),
            1 => Some(format!("{line}\n{line}")),
            2 => Some(format!("{key}x = {value}")),
            3 => Some(format!("{key} = \"\"")),
            4 => Some(format!("{key} = -1")),
            5 => Some(format!("{key} = [{value}]")),
            6 => number("0"),
            7 => number("999999"),
            8 => number("1"),
            9 => Some(format!("{key} = {}", value.replace('s', ""))),
            10 => Some(format!("{key} = {}", value.replace('a', "A"))),
            _ => Some(format!("{key} = {}", value.trim_matches('"'))),
        }
    };
    let mut cases = Vec::new();
    for (which, text) in [&app, &agreement].into_iter().enumerate() {
        let lines: Vec<&str> = text.lines().collect();
        for (n, line) in lines.iter().enumerate() {
            for kind in 0..12 {
                let Some(new) = mutate(line, kind).filter(|new| new != line) else { continue };
                let mut all = lines.clone();
                all[n] = &new;
                cases.push((which, n + 1, kind, all.join("\n") + "\n"));
            }
        }
    }
    let (app, agreement, dir) = (&app, &agreement, &dir);
    let cases = std::sync::Mutex::new(cases.into_iter().enumerate());
    let rejected = std::sync::atomic::AtomicUsize::new(0);
    let served = std::sync::atomic::AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| loop {
                let next = cases.lock().unwrap().next();
                let Some((at, (which, line, kind, text))) = next else { return };
                let dir = dir.join(at.to_string());
                std::fs::create_dir_all(&dir).unwrap();
                let state = dir.join("state");
                let texts = if which == 0 { [&text, agreement] } else { [app, &text] };
                let app = texts[0].replace("/var/lib/lilacbank/payroll", state.to_str().unwrap());
                std::fs::write(dir.join("payroll.toml"), app).unwrap();
                std::fs::write(dir.join("sotrans-dakar.toml"), texts[1]).unwrap();
                let (file, json) = (dir.join("payroll.toml"), dir.join("out.json"));
                let out = lilacbank(&["app", "render", file.to_str().unwrap(), "-o", json.to_str().unwrap()]);
                let errors = utf8(&out.stderr);
                match out.status.code() {
                    Some(1) => {
                        assert!(errors.contains("error[LB") && !json.exists(), "{which}:{line} kind {kind}\n{errors}");
                        rejected.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    }
                    Some(0) => {
                        if let Err(why) = check_starts(&json) {
                            panic!("{which}:{line} kind {kind} passes the check but does not serve:\n{why}\n{text}");
                        }
                        served.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    }
                    other => panic!("{which}:{line} kind {kind}: {other:?}\n{errors}\n{text}"),
                }
            });
        }
    });
    let (rejected, served) = (rejected.into_inner(), served.into_inner());
    println!("{rejected} mutations rejected, {served} served");
    assert!(rejected > 150 && served > 20, "{rejected} rejected, {served} served");
    std::fs::remove_dir_all(dir).unwrap();
}
