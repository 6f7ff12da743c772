//! Cell maps that are wrong, each with its code at its line; and those that may follow one another.

use lilacbank_settings::cellmap::LoadedMap;
use lilacbank_settings::finding::render_findings;
use std::path::Path;

fn example() -> (String, String) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/examples/maps/plateau.toml");
    (path.display().to_string(), std::fs::read_to_string(&path).unwrap())
}

/// Codes and lines of what is wrong with a text at the example's place.
fn wrong(text: &str, force: Option<&str>) -> Vec<(String, usize)> {
    let (file, _) = example();
    let load = |text: &str| {
        let mut found = Vec::new();
        let read = |f: &str| if f == file { Ok(text.to_string()) } else { std::fs::read_to_string(f) };
        (LoadedMap::load(&file, &read, &mut found).unwrap(), found)
    };
    let (new, mut found) = load(text);
    let old = force.map(|f| load(f).0);
    found.extend(new.check(old.as_ref()));
    println!("{}", render_findings(&found, &new.texts(), false));
    found.iter().map(|f| (f.code.to_string(), f.place.line)).collect()
}

#[test]
fn every_fault_of_a_map_has_its_code_at_its_line() {
    let (_, good) = example();
    assert_eq!(wrong(&good, None), []);
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
        let got = wrong(&text, None);
        let hit = codes.iter().all(|c| got.contains(&(c.to_string(), at)));
        assert!(hit, "{to}: {codes:?} at {at}, got {got:?}");
    }
    let rest = good.split("[cells.rest]").next().unwrap();
    let codes: Vec<String> = wrong(rest, None).into_iter().map(|w| w.0).collect();
    assert_eq!(codes, ["LB0807", "LB0807", "LB0808"], "two idle dispatchers, and nowhere for the unnamed");
    let empty = good.split("[[cells.rest.members]]").next().unwrap();
    assert!(wrong(empty, None).iter().any(|w| w.0 == "LB0804"));
}

/// Guards against two dispatchers on two maps of one number, and against an old map coming back.
#[test]
fn a_map_follows_another_under_a_higher_number_only() {
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
        let got = wrong(&new, Some(&force));
        assert_eq!(got.iter().any(|w| w.0 == "LB0809"), refused, "{got:?}");
    }
}
