//! Builds the fault-injection library of `crates/faults` on demand and loads it into a dispatcher that a test
//! starts.

use super::TestInstallation;
use std::path::PathBuf;
use std::process::Command;
use std::sync::OnceLock;

/// Path of the library, which is built once for each test program.
pub fn fault_library() -> &'static str {
    static PATH: OnceLock<String> = OnceLock::new();
    PATH.get_or_init(|| {
        let done = Command::new(env!("CARGO"))
            .args(["build", "--quiet", "--locked", "-p", "lilacbank-faults"])
            .current_dir(env!("CARGO_MANIFEST_DIR"))
            .status()
            .unwrap();
        assert!(done.success(), "the build of crates/faults failed");
        // The test program is TARGET/PROFILE/deps/NAME.
        let target: PathBuf = std::env::current_exe().unwrap().ancestors().nth(3).unwrap().into();
        let path = target.join("debug/liblilacbank_faults.so");
        assert!(path.exists(), "{}", path.display());
        path.to_str().unwrap().to_string()
    })
}

/// Environment variables for a dispatcher of this site whose system calls fail by the schedule
/// (`crates/faults`).
pub fn fault_environment(site: &TestInstallation, text: &str) -> Vec<(&'static str, String)> {
    vec![
        ("LD_PRELOAD", fault_library().to_string()),
        ("LILACBANK_FAULTS", text.to_string()),
        ("LILACBANK_FAULTS_FOLDER", site.dir.join("state").to_str().unwrap().to_string()),
    ]
}

impl TestInstallation {
    /// Starts a dispatcher whose system calls fail by the schedule.
    pub fn start_with_faults(&self, text: &str, more: &[(&str, &str)]) -> super::Dispatcher {
        let faults = fault_environment(self, text);
        let all: Vec<(&str, &str)> =
            faults.iter().map(|(n, v)| (*n, v.as_str())).chain(more.iter().copied()).collect();
        self.start_with("127.0.0.1:0", &all)
    }
}
