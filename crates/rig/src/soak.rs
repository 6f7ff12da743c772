//! Plays drawn from a seed: troubles of many kinds that overlap in time, judged by the invariants of [`crate::report`].
//!
//! A trouble is a few steps of a timeline, or a span in the schedule of failing system calls of some dispatchers
//! (`crates/faults`). All are over a while before the load ends, so that what was taken on has to get its end.

mod draw;

use crate::scenario::{Faults, Load, Member, Scenario, Surge};
use draw::{Draw, TROUBLES};
use rand::RngExt;
use std::path::PathBuf;

/// What is asked of a soak.
#[derive(Debug, Clone)]
pub struct Spec {
    /// All draws hang on it.
    pub seed: u64,
    /// Processes of the program.
    pub dispatchers: usize,
    /// Milliseconds of load.
    pub run_ms: u64,
    /// Troubles begin one after another, on average this many at once.
    pub at_once: f64,
    /// The library of `crates/faults`; without it no system call fails.
    pub library: Option<PathBuf>,
}

/// Milliseconds in which nothing happens yet, at the start of a play.
const QUIET_FIRST: u64 = 1_500;
/// Troubles are over so long before the load ends.
const QUIET_LAST: u64 = 1_500;
/// A trouble lasts so many milliseconds.
const LEAST: u64 = 400;
const MOST: u64 = 3_000;
/// Endpoints of each member,
const ENDPOINTS_EACH: usize = 2;
/// and members.
const MEMBERS: usize = 2;
/// Milliseconds that a call takes at the endpoints of a play, drawn from these.
const SERVICE_MS: [u64; 3] = [5, 20, 45];
/// One play in so many has a crowd: that many times the load in its middle, and idle clients at each dispatcher.
const CROWD_EACH: u64 = 4;
const CROWD_TIMES: f64 = 5.0;
const CROWD_IDLE: usize = 60;
/// Messages may be delivered for so long: many times are up within a play.
const DEADLINE: u64 = 4_000;

/// The play of a seed.
pub fn scenario(spec: &Spec) -> Scenario {
    let mut draw = Draw::new(spec.seed, spec.dispatchers);
    let last = spec.run_ms.saturating_sub(QUIET_LAST);
    let gap = ((LEAST + MOST) as f64 / 2.0 / spec.at_once.max(0.1)) as u64;
    let mut at = QUIET_FIRST;
    while at + LEAST < last {
        let trouble = TROUBLES[draw.random.random_range(0..TROUBLES.len())];
        let until = (at + draw.random.random_range(LEAST..MOST)).min(last);
        draw.add(trouble, at, until);
        at += draw.random.random_range(1..2 * gap.max(2));
    }
    let schedules = draw.schedules.iter().map(|s| s.join("; ")).collect();
    let service_ms = SERVICE_MS[draw.random.random_range(0..SERVICE_MS.len())];
    let crowded = spec.seed.is_multiple_of(CROWD_EACH);
    let (from_ms, until_ms) = (spec.run_ms / 3, spec.run_ms / 2);
    let surge = crowded.then_some(Surge { from_ms, until_ms, times: CROWD_TIMES });
    Scenario {
        seed: spec.seed,
        dispatchers: spec.dispatchers,
        balancers: None,
        run_ms: spec.run_ms,
        disk_mb: 0.3,
        recovery: false,
        replication: false,
        ack: false,
        member: Member {
            service_ms,
            at_once: 32,
            queue: 256,
            count: MEMBERS,
            each: ENDPOINTS_EACH,
            per_second: None,
            cold_ms: 1_000,
        },
        load: Load { per_second: 12.0, classes: vec!["safe".into(), "order".into(), "pay".into()], surge },
        crowd: if crowded { CROWD_IDLE } else { 0 },
        rude: true,
        deadline_ms: Some(DEADLINE),
        faults: spec.library.clone().map(|library| Faults { library, schedules }),
        steps: draw.steps.into_iter().map(|s| toml::Spanned::new(0..0, s)).collect(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::{FaultName, Step};

    /// Guards against plays that cannot be played again, and against troubles that last beyond the load.
    #[test]
    fn a_seed_draws_the_same_play_each_time_and_its_troubles_end() {
        for seed in 0..50 {
            let library = Some(PathBuf::from("library"));
            let spec = Spec { seed, dispatchers: 6, run_ms: 12_000, at_once: 2.5, library };
            let (a, b) = (scenario(&spec), scenario(&spec));
            assert_eq!(format!("{a:?}"), format!("{b:?}"));
            assert!(a.steps.len() + a.faults.iter().flat_map(|f| &f.schedules).count() > 4);
            let paths = |s: &Step| (s.path.map(|p| p as usize), s.of.clone(), s.members.clone());
            let mut cut = std::collections::BTreeSet::new();
            for step in a.timeline().iter().filter(|s| s.fault.is_some()) {
                match step.fault {
                    Some(FaultName::Pass) => cut.remove(&paths(step)),
                    _ => cut.insert(paths(step)),
                };
            }
            assert!(cut.is_empty(), "{cut:?}");
        }
    }
}
