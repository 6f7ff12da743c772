//! Checks of invalid cell maps, each reported with its code and line, and of maps that replace one another.

use lilacbank_settings::cellmap::LoadedMap;
use lilacbank_settings::finding::render_findings;
use std::path::Path;

/// The path and text of the example map.
fn example() -> (String, String) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/examples/maps/plateau.toml");
    (path.display().to_string(), std::fs::read_to_string(&path).unwrap())
}

/// Codes and lines of the findings for a map with this text, loaded under the path of the example.
fn findings(text: &str, in_force: Option<&str>) -> Vec<(String, usize)> {
    let (file, _) = example();
    let load = |text: &str| {
        let mut found = Vec::new();
        let read = |f: &str| if f == file { Ok(text.to_string()) } else { std::fs::read_to_string(f) };
        (LoadedMap::load(&file, &read, &mut found).unwrap(), found)
    };
    let (new, mut found) = load(text);
    let old = in_force.map(|f| load(f).0);
    found.extend(new.check(old.as_ref()));
    println!("{}", render_findings(&found, &new.texts(), false));
    found.iter().map(|f| (f.code.to_string(), f.place.line)).collect()
}

#[test]
fn every_error_in_a_map_has_its_code_and_line() {
    let (_, good) = example();
    assert_eq!(findings(&good, None), []);
    let cases = [
        ("dispatchers = [\"n3\", \"n4\"]\n", "", "[cells.rest]", vec!["LB0803"]),
        ("[\"n3\", \"n4\"]", "[\"n3\", \"n5\"]", "\"n5\"]", vec!["LB0806"]),
        ("share = \"40%\"", "share = \"41%\"", "share = \"41%\"", vec!["LB0805"]),
        ("tenants = [\"sotrans", "tenants = [\"x\", \"x\", \"sotrans", "tenants = [\"x\"", vec!["LB0801"]),
        ("weight = 0.0", "weight = -1.0", "weight = -1.0", vec!["LB0007"]),
        ("version = 1", "verison = 1", "verison", vec!["LB0004"]),
        ("127.0.0.1:6412", "127.0.0.1:7301", "resp = \"127.0.0.1:7301", vec!["LB0103"]),
        ("share = \"60%\"", "share = \"60%\"\nendpoints = [\"sotrans-c9\"]", "sotrans-c9", vec!["LB0205"]),
        ("../agreements/textile-kaolack.toml", "../agreements/none.toml", "none.toml", vec!["LB0001"]),
        ("share = \"60%\"\n", "share = \"1%\"\n", "share = \"1%\"", vec!["LB0403"]),
    ];
    for (from, to, line, codes) in cases {
        assert!(good.contains(from), "{from}");
        let text = good.replacen(from, to, 1);
        let at = text.lines().position(|l| l.contains(line)).unwrap() + 1;
        let got = findings(&text, None);
        let hit = codes.iter().all(|c| got.contains(&(c.to_string(), at)));
        assert!(hit, "{to}: {codes:?} at {at}, got {got:?}");
    }
    let rest = good.split("[cells.rest]").next().unwrap();
    let codes: Vec<String> = findings(rest, None).into_iter().map(|w| w.0).collect();
    assert_eq!(
        codes,
        ["LB0807", "LB0807", "LB0808"],
        "two dispatchers without a cell, and no cell for tenants that none names"
    );
    let empty = good.split("[[cells.rest.members]]").next().unwrap();
    assert!(findings(empty, None).iter().any(|w| w.0 == "LB0804"));
}

/// Guards against two different maps with the same version, and against a return to an older map.
#[test]
fn a_changed_map_needs_a_higher_version() {
    let (_, good) = example();
    let changed = good.replace("weight = 0.0", "weight = 2.0");
    let numbered = |text: &str, n: u32| text.replace("version = 1", &format!("version = {n}"));
    let other = good.replace("map = \"plateau\"", "map = \"medina\"");
    for (new, force, refused) in [
        (good.clone(), good.clone(), false),
        (changed.clone(), good.clone(), true),
        (numbered(&changed, 2), good.clone(), false),
        (good.clone(), numbered(&good, 2), true),
        (numbered(&other, 2), good.clone(), true),
    ] {
        let got = findings(&new, Some(&force));
        assert_eq!(got.iter().any(|w| w.0 == "LB0809"), refused, "{got:?}");
    }
}
