//! Tests of the module `soak`.

use super::*;
use crate::scenario::{FaultName, Step};

/// Guards against scenarios that a seed does not reproduce, and against path faults that are never lifted.
#[test]
fn a_seed_draws_the_same_scenario_each_time_and_its_faults_end() {
    for seed in 0..50 {
        let library = Some(PathBuf::from("library"));
        let spec = SoakSpec { seed, dispatchers: 6, run_ms: 12_000, concurrent_faults: 2.5, library };
        let (a, b) = (draw_scenario(&spec), draw_scenario(&spec));
        assert_eq!(format!("{a:?}"), format!("{b:?}"));
        assert!(a.steps.len() + a.faults.iter().flat_map(|f| &f.schedules).count() > 4);
        let paths = |s: &Step| (s.path.map(|p| p as usize), s.of.clone(), s.members.clone());
        let mut faulty = std::collections::BTreeSet::new();
        for step in a.timeline().iter().filter(|s| s.fault.is_some()) {
            match step.fault {
                Some(FaultName::Pass) => faulty.remove(&paths(step)),
                _ => faulty.insert(paths(step)),
            };
        }
        assert!(faulty.is_empty(), "{faulty:?}");
    }
}
