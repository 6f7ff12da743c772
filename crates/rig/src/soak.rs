//! Scenarios drawn from a seed, with faults of many kinds that overlap in time, checked against the invariants of
//! [`crate::report`].
//!
//! A fault is a few steps of the timeline, or a span in the schedule of failing system calls of some dispatchers
//! (`crates/faults`). All faults are over some time before the load ends, so that every accepted message has to get its final
//! answer.

mod draw;

use crate::scenario::{Faults, Load, Member, Scenario, Surge};
use draw::{Generator, FAULT_KINDS};
use rand::RngExt;
use std::path::PathBuf;

/// Parameters of a soak scenario.
#[derive(Debug, Clone)]
pub struct SoakSpec {
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of dispatchers.
    pub dispatchers: usize,
    /// Duration of the load in milliseconds.
    pub run_ms: u64,
    /// Average number of faults that are active at the same time.
    pub concurrent_faults: f64,
    /// Path of the library of `crates/faults`; without it no system call fails.
    pub library: Option<PathBuf>,
}

/// Time without faults at the start of the load, in milliseconds.
const LEAD_IN_MS: u64 = 1_500;
/// Time without faults before the end of the load, in milliseconds.
const LEAD_OUT_MS: u64 = 1_500;
/// Shortest duration of a fault in milliseconds.
const MIN_FAULT_MS: u64 = 400;
/// Longest duration of a fault in milliseconds.
const MAX_FAULT_MS: u64 = 3_000;
/// Number of endpoints of each destination.
const ENDPOINTS_EACH: usize = 2;
/// Number of destinations.
const DESTINATIONS: usize = 2;
/// Times that a call takes at the endpoints, in milliseconds; each scenario draws one of them.
const SERVICE_MS: [u64; 3] = [5, 20, 45];
/// One scenario in this many has a surge of load in its middle, and idle clients.
const SURGE_ONE_IN: u64 = 4;
/// Load during a surge, as a multiple of the usual load.
const SURGE_FACTOR: f64 = 5.0;
/// Number of idle clients at each dispatcher, in scenarios with a surge.
const IDLE_CLIENTS: usize = 60;
/// Deadline of every message in milliseconds, short enough that many deadlines pass within a run.
const DEADLINE_MS: u64 = 4_000;

/// Draws the scenario of a seed.
pub fn draw_scenario(spec: &SoakSpec) -> Scenario {
    let mut generator = Generator::new(spec.seed, spec.dispatchers);
    let last_end = spec.run_ms.saturating_sub(LEAD_OUT_MS);
    let gap = ((MIN_FAULT_MS + MAX_FAULT_MS) as f64 / 2.0 / spec.concurrent_faults.max(0.1)) as u64;
    let mut at = LEAD_IN_MS;
    while at + MIN_FAULT_MS < last_end {
        let kind = FAULT_KINDS[generator.rng.random_range(0..FAULT_KINDS.len())];
        let until = (at + generator.rng.random_range(MIN_FAULT_MS..MAX_FAULT_MS)).min(last_end);
        generator.add_fault(kind, at, until);
        at += generator.rng.random_range(1..2 * gap.max(2));
    }
    let schedules = generator.schedules.iter().map(|s| s.join("; ")).collect();
    let service_ms = SERVICE_MS[generator.rng.random_range(0..SERVICE_MS.len())];
    let has_surge = spec.seed.is_multiple_of(SURGE_ONE_IN);
    let (from_ms, until_ms) = (spec.run_ms / 3, spec.run_ms / 2);
    let surge = has_surge.then_some(Surge { from_ms, until_ms, times: SURGE_FACTOR });
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
            count: DESTINATIONS,
            each: ENDPOINTS_EACH,
            per_second: None,
            cold_ms: 1_000,
        },
        load: Load { per_second: 12.0, classes: vec!["safe".into(), "order".into(), "pay".into()], surge },
        crowd: if has_surge { IDLE_CLIENTS } else { 0 },
        rude: true,
        deadline_ms: Some(DEADLINE_MS),
        faults: spec.library.clone().map(|library| Faults { library, schedules }),
        steps: generator.steps.into_iter().map(|s| toml::Spanned::new(0..0, s)).collect(),
    }
}

#[cfg(test)]
mod tests;
