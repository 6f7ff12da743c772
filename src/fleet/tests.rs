//! Tests of the module `fleet`.

use super::*;
use crate::state::Random;
use std::collections::VecDeque;

/// Guards against a start that serves from a cached list for many seconds before it asks the registry:
/// 300 dispatchers waited up to 30 s, and sent to endpoints that had begun to drain meanwhile.
#[test]
fn a_start_with_a_cached_list_asks_within_the_bound_for_any_number_of_dispatchers() {
    let mut random = Random::new(5);
    for dispatchers in [1, 10, 100, 300, 3_000] {
        let a = RegistryBackoff::new(dispatchers, 2_000.0);
        let most = (0..1_000).map(|_| a.start_delay_with_cached_list(random.next())).fold(0.0, f64::max);
        assert!(most <= MAX_START_DELAY, "{dispatchers}: {most}");
        assert!(dispatchers < 10 || most > MAX_START_DELAY / 2.0, "still spread: {dispatchers}: {most}");
        // With a drain grace of half a second the bound is shorter: what the registry has counts as known
        // from the first moment of a new process.
        let a = RegistryBackoff::new(dispatchers, 500.0);
        let most = (0..1_000).map(|_| a.start_delay_with_cached_list(random.next())).fold(0.0, f64::max);
        assert!(most <= 200.0, "{dispatchers}: {most}");
    }
}

/// Simulates a registry that serves one request in 100 ms and answers 503 to one that has waited for 2 s,
/// but still does its work. Returns when the last dispatcher has its watch.
fn time_until_all_watch(dispatchers: usize, seed: u64) -> Option<Ms> {
    let mut random = Random::new(seed);
    let mut requesters: Vec<RegistryBackoff> = vec![RegistryBackoff::new(dispatchers, 2_000.0); dispatchers];
    // When each dispatcher makes its next request, or, if the flag is set, stops waiting for the answer.
    let mut at: Vec<(Ms, bool)> = requesters.iter().map(|a| (a.first_delay(random.next()), false)).collect();
    let mut has = vec![false; dispatchers];
    let mut queue: VecDeque<usize> = VecDeque::new();
    for tick in 0..600 {
        let now = f64::from(tick) * 100.0;
        for n in (0..dispatchers).filter(|n| !has[*n]) {
            let (due, waiting) = at[n];
            if due > now {
                continue;
            }
            at[n] = if waiting {
                let silent = requesters[n].answer_timeout() < 2_000.0;
                let why = if silent { RequestFailure::TimedOut } else { RequestFailure::Refused(0.0) };
                (now + requesters[n].record_failure(why, random.next()), false)
            } else {
                queue.push_back(n);
                (now + requesters[n].answer_timeout().min(2_000.0), true)
            };
        }
        // A request that was given up is served as well, in vain.
        if let Some(n) = queue.pop_front() {
            has[n] |= at[n].1;
        }
        if has.iter().all(|h| *h) {
            return Some(now);
        }
    }
    None
}

/// Guards against many starts without a list that ask the registry in the same instant: of 100, only a
/// few ask in any 10 ms, and the last one within its bound. A single dispatcher asks at once.
#[test]
fn starts_without_a_list_are_spread_within_a_bound() {
    let mut random = Random::new(7);
    let a = RegistryBackoff::new(100, 2_000.0);
    let mut at: Vec<Ms> = (0..100).map(|_| a.start_delay_without_list(random.next())).collect();
    at.sort_by(f64::total_cmp);
    let busiest = at.iter().map(|t| at.iter().filter(|u| **u >= *t && **u < t + 10.0).count()).max();
    assert!(busiest.is_some_and(|b| b <= 8), "{busiest:?}");
    assert!(at[99] <= MAX_START_DELAY / 2.0);
    assert_eq!(RegistryBackoff::new(1, 2_000.0).start_delay_without_list(0.9), 0.0);
}

/// Guards against a change that the registry has for 6 s after its return while no dispatcher asks: after
/// any number of unanswered requests, the timeout of one and the delay after it end before that.
#[test]
fn a_registry_that_did_not_answer_is_asked_again_within_the_bound() {
    let mut random = Random::new(11);
    for dispatchers in [1, 3, 25, 100, 300, 3_000] {
        for silent in [true, false] {
            let mut a = RegistryBackoff::new(dispatchers, 2_000.0);
            for n in 0..12 {
                let patience = if silent { a.answer_timeout() } else { 0.0 };
                let why = if silent { RequestFailure::TimedOut } else { RequestFailure::Broken };
                let all = patience + a.record_failure(why, random.next());
                assert!(all < 5_500.0, "{dispatchers} dispatchers, failure {n}: {all}");
            }
        }
    }
    let mut few = RegistryBackoff::new(BOUNDED_DISPATCHERS, 2_000.0);
    for _ in 0..12 {
        let wait = RequestFailure::Refused(60_000.0);
        assert!(few.answer_timeout() + few.record_failure(wait, random.next()) < 5_500.0);
    }
}

/// Guards against an overload that lasts: after a release, 100 dispatchers asked an overloaded registry
/// every second or two, and 81 of them never got an answer again.
#[test]
fn many_dispatchers_that_lost_the_registry_all_return_and_a_few_do_at_once() {
    for seed in 1..=5 {
        let many = time_until_all_watch(100, seed);
        assert!(many.is_some_and(|t| t < 30_000.0), "seed {seed}: {many:?}");
        let few = time_until_all_watch(3, seed);
        assert!(few.is_some_and(|t| t < 800.0), "seed {seed}: {few:?}");
    }
}

/// Guards against reported values that would drive a share out of its bounds.
#[test]
fn a_share_stays_within_its_bounds_for_any_report() {
    let mut share = LimitShare::default();
    for (left, limit) in [(9.0, 1e300), (-3.0, 1e-300), (f64::INFINITY, 25.0), (0.5, 25.0)] {
        share.refill(1_000.0, limit, 100);
        share.accepted(left);
        share.refused(1_000.0, 500.0, limit, 100, 0.5);
        assert!(share.level.is_finite() && share.gain.is_finite() && share.credit == 0.0);
        assert!(share.wait(limit, 100) >= 0.0);
        share = LimitShare::default();
    }
}
