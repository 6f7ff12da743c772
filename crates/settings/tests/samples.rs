//! Checks of broken sample files, each reported with its code and line, and of valid files, which must pass.
//!
//! A sample marks the line of each expected finding with `# <- LBnnnn`. Its head may name files to check it
//! together with (`# with: FILE ...`) and the state of its state folder (`# folder: readonly`).

use lilacbank_settings::check::{check, FolderInspector, FolderState};
use lilacbank_settings::finding::{has_errors, render_findings, Finding, Severity};
use lilacbank_settings::set::{resolve_path, FileSet};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// A path in this crate.
fn crate_path(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(path)
}

/// Reports every folder in the state that a sample's head names.
struct SampleFolder(String);

impl FolderInspector for SampleFolder {
    fn inspect(&self, _: &str) -> FolderState {
        match self.0.split_once(' ').unwrap_or((self.0.as_str(), "")) {
            ("missing", _) => FolderState::Missing,
            ("impossible", why) => FolderState::Unusable(why.into()),
            ("readonly", _) => FolderState::ReadOnly,
            ("of", other) => FolderState::OwnedBy(other.into()),
            _ => FolderState::Usable,
        }
    }
}

/// The value of a `# name: value` line in a sample's head; empty if there is none.
fn head_value(text: &str, name: &str) -> String {
    let line = text.lines().find_map(|l| l.strip_prefix("# ")?.strip_prefix(name)?.strip_prefix(": "));
    line.unwrap_or("").to_string()
}

/// Loads and checks files together.
fn check_files(files: &[String], folder: String) -> (FileSet, Vec<Finding>) {
    let mut found = Vec::new();
    let set = FileSet::load(files, &|f| std::fs::read_to_string(f), &mut found);
    found.extend(check(&set, &SampleFolder(folder)));
    (set, found)
}

/// Files, lines and codes of findings.
type Marks = BTreeSet<(String, usize, String)>;

/// The findings that the samples mark.
fn expected_marks(set: &FileSet) -> Marks {
    let mut all = Marks::new();
    for (file, s) in &set.sources {
        for (n, line) in s.text.lines().enumerate() {
            let codes = line.split("# <- ").nth(1).unwrap_or("");
            all.extend(codes.split_whitespace().map(|c| (file.clone(), n + 1, c.to_string())));
        }
    }
    all
}

#[test]
fn every_broken_sample_is_reported_with_code_and_line() {
    let (mut samples, mut codes, mut mismatches) = (0, BTreeSet::new(), String::new());
    let mut files: Vec<PathBuf> =
        std::fs::read_dir(crate_path("tests/broken")).unwrap().map(|e| e.unwrap().path()).collect();
    files.sort();
    for path in files.iter().filter(|p| !p.file_name().unwrap().to_str().unwrap().starts_with('_')) {
        let (file, text) = (path.display().to_string(), std::fs::read_to_string(path).unwrap());
        let with = head_value(&text, "with");
        let all: Vec<String> = std::iter::once(file.clone())
            .chain(with.split_whitespace().map(|w| resolve_path(&file, w)))
            .collect();
        let (set, found) = check_files(&all, head_value(&text, "folder"));
        let wanted = expected_marks(&set);
        let got: Marks =
            found.iter().map(|f| (f.place.file.clone(), f.place.line, f.code.to_string())).collect();
        if wanted != got || wanted.is_empty() || got.len() != found.len() {
            mismatches += &format!(
                "{file}\n wanted {wanted:#?}\n got {got:#?}\n{}\n",
                render_findings(&found, &set.texts(), false)
            );
        }
        for f in &found {
            assert!(!f.wrong.is_empty() && !f.mend.is_empty() && f.place.column > 0, "{f:?}");
        }
        codes.extend(got.into_iter().map(|g| g.2));
        samples += 1;
    }
    assert!(mismatches.is_empty(), "{mismatches}");
    assert!(samples >= 40, "{samples}");
    // Every code in the source has a sample here and an entry on the operators' page.
    let source: String = ["check", "set", "source"]
        .map(|f| std::fs::read_to_string(crate_path(&format!("src/{f}.rs"))).unwrap())
        .concat();
    let given: BTreeSet<String> = source.split("\"LB").skip(1).map(|c| format!("LB{}", &c[..4])).collect();
    assert_eq!(given.difference(&codes).collect::<Vec<_>>(), Vec::<&String>::new(), "codes without a sample");
    let page = std::fs::read_to_string(crate_path("../../docs/operators/sidecar.md")).unwrap();
    let undocumented: Vec<&String> = given.iter().filter(|c| !page.contains(c.as_str())).collect();
    assert!(undocumented.is_empty(), "codes without an entry on the operators' page: {undocumented:?}");
}

/// Guards against findings for valid files on the edge: shares that add up to exactly 100%, and one
/// destination used twice for different tenants.
#[test]
fn the_examples_pass_together_and_alone() {
    let files = ["claims", "payroll"]
        .map(|n| crate_path(&format!("../../deploy/examples/{n}.toml")).display().to_string());
    let mesh = ["n1", "n2"]
        .map(|n| crate_path(&format!("../../deploy/examples/mesh/{n}.toml")).display().to_string());
    for group in [&files[..], &files[..1], &files[1..], &mesh[..], &mesh[..1]] {
        let (set, found) = check_files(group, String::new());
        assert!(found.is_empty(), "{}", render_findings(&found, &set.texts(), false));
        assert_eq!(set.apps.len(), group.len());
    }
}

/// Guards against an error that hides another one, in the same file or another.
#[test]
fn one_check_reports_all_errors_of_all_files() {
    let good = std::fs::read_to_string(crate_path("../../deploy/examples/payroll.toml")).unwrap();
    let bad = good
        .replace("wanted = \"3s\"", "wanted = \"3\"\nwantde = \"1s\"")
        .replace("slots = 14", "slots = \"x\"");
    let bad =
        bad.replace("share = \"40%\"", "share = \"140%\"").replace("connections = 7", "connections = 17");
    let agreement =
        std::fs::read_to_string(crate_path("../../deploy/examples/agreements/sotrans-dakar.toml")).unwrap();
    let agreement = agreement.replace("drain = \"2s\"", "drain = \"9s\"\nrest = 1");
    let read = |f: &str| Ok(if f.ends_with("bad.toml") { bad.clone() } else { agreement.clone() });
    let mut found = Vec::new();
    let set = FileSet::load(&["bad.toml".into()], &read, &mut found);
    found.extend(check(&set, &SampleFolder(String::new())));
    let codes: Vec<&str> = found.iter().map(|f| f.code).collect();
    let mut sorted = codes.clone();
    sorted.sort();
    assert_eq!(sorted, ["LB0004", "LB0004", "LB0005", "LB0005", "LB0005", "LB0302", "LB0402"], "{codes:?}");
    assert!(has_errors(&found) && found.iter().all(|f| f.severity == Severity::Error));
    let text = render_findings(&found, &set.texts(), false);
    for part in ["did you mean 'wanted'?", "error[LB0302]", "bad.toml:", "| "] {
        assert!(text.contains(part), "{part} is not in:\n{text}");
    }
}

/// Guards against a finding about an exceeded limit that does not name every application with its share.
#[test]
fn a_sum_over_the_limit_names_each_share() {
    let path = crate_path("tests/broken/LB0401-three-shares.toml").display().to_string();
    let text = std::fs::read_to_string(&path).unwrap();
    let with = head_value(&text, "with");
    let files: Vec<String> = std::iter::once(path.clone())
        .chain(with.split_whitespace().map(|w| resolve_path(&path, w)))
        .collect();
    let (_, found) = check_files(&files, String::new());
    let f = found.iter().find(|f| f.code == "LB0401").unwrap();
    for part in ["110%", "24 in 2s", "app 40%", "second 40%", "third 30%"] {
        assert!(f.wrong.contains(part), "{part} is not in: {}", f.wrong);
    }
    assert_eq!(f.related.len(), 3, "the two other shares and the limit: {f:?}");
}
