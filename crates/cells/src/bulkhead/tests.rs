//! Tests of the module `bulkhead`.

use super::*;
use proptest::prelude::*;

/// Guards against a cell under heavy load that keeps its neighbour's guaranteed share.
#[test]
fn revocable_units_are_returned_at_once_when_their_owner_needs_them() {
    let mut pool = CapacityPool::new(10, &[1.0, 1.0], Revocability::Revocable);
    let taken = (0..20).filter(|_| pool.acquire(0).is_granted()).count();
    assert_eq!((taken, pool.used(0)), (10, 10));
    for n in 1..=5 {
        assert_eq!(pool.acquire(1), Acquisition::AfterRevoking(0));
        assert_eq!((pool.used(0), pool.used(1)), (10 - n, n));
    }
    assert_eq!((pool.acquire(1), pool.acquire(0)), (Acquisition::Denied, Acquisition::Denied));
    pool.release(1);
    assert_eq!((pool.acquire(0), pool.acquire(1)), (Acquisition::Lent, Acquisition::AfterRevoking(0)));
}

#[test]
fn units_that_cannot_be_taken_back_are_lent_only_beyond_a_reserve() {
    let mut pool = CapacityPool::new(20, &[1.0, 1.0], Revocability::NonRevocable { reserve: 50 });
    pool.set_recent_need(1, 9);
    assert_eq!(
        (pool.max_available(0), pool.max_available(1)),
        (11, 15),
        "units needed recently are not lent"
    );
    pool.set_recent_need(1, 2);
    let taken = (0..40).filter(|_| pool.acquire(0).is_granted()).count();
    assert_eq!(taken, 15, "half of the other share is reserved");
    assert!((0..5).all(|_| pool.acquire(1) == Acquisition::OwnShare));
    assert_eq!(
        pool.acquire(1),
        Acquisition::Denied,
        "further units are free only when borrowed ones are returned,"
    );
    pool.release(0);
    assert_eq!(pool.acquire(0), Acquisition::Denied, "and they are not lent to the borrower again");
    assert_eq!(pool.acquire(1), Acquisition::OwnShare);
}

#[test]
fn a_new_division_takes_no_units_away_and_lends_no_more() {
    let mut pool = CapacityPool::new(10, &[1.0], Revocability::Revocable);
    (0..10).for_each(|_| assert!(pool.acquire(0).is_granted()));
    pool.set_weights(10, &[1.0, 4.0]);
    assert_eq!((pool.guaranteed(0), pool.guaranteed(1), pool.used(0)), (2, 8, 10));
    assert_eq!(pool.acquire(1), Acquisition::AfterRevoking(0));
    assert_eq!(pool.acquire(0), Acquisition::Denied);
}

proptest! {
    /// Guards against use beyond the capacity, and against a share that its owner cannot get.
    #[test]
    fn a_pool_never_exceeds_its_capacity_and_owners_get_their_shares(
        capacity in 0u64..40,
        weights in prop::collection::vec(0.0..4.0, 1..5),
        reserve in prop::option::of(0u32..=100),
        operations in prop::collection::vec((0usize..5, prop::bool::ANY), 0..200),
    ) {
        let lending = reserve.map_or(Revocability::Revocable, |reserve| Revocability::NonRevocable { reserve });
        let mut pool = CapacityPool::new(capacity, &weights, lending);
        for (cell, takes) in operations {
            if !takes {
                pool.release(cell);
                continue;
            }
            let most = pool.max_available(cell);
            let (entitled, before) = (pool.used(cell) < pool.guaranteed(cell), pool.used(cell));
            let grant = pool.acquire(cell);
            prop_assert!(
                !entitled || lending != Revocability::Revocable || grant.is_granted(),
                "an owner did not get a unit of its share"
            );
            prop_assert!(
                most > before || !matches!(grant, Acquisition::OwnShare | Acquisition::Lent),
                "more units than Pool::most allows"
            );
            prop_assert_eq!(pool.used(cell), before + u64::from(grant.is_granted()));
            let sum: u64 = (0..weights.len()).map(|c| pool.used(c)).sum();
            prop_assert!(sum <= capacity);
        }
    }
}

/// Guards against a cell that saves up time, and against a cell whose expensive turns take time from the
/// others.
#[test]
fn time_is_shared_by_weight_and_not_saved_up() {
    let mut turns = FairScheduler::new(&[1.0, 1.0]);
    let mut used = [0.0, 0.0];
    let run = |turns: &mut FairScheduler, wanting: &[usize], cost: [f64; 2]| {
        let first = turns.order(wanting.iter().copied())[0];
        turns.charge(first, cost[first]);
        first
    };
    for _ in 0..400 {
        let cost = [9.0, 1.0];
        let first = run(&mut turns, &[0, 1], cost);
        used[first] += cost[first];
    }
    assert!((used[0] / used[1] - 1.0).abs() < 0.1, "{used:?}");
    let mut turns = FairScheduler::new(&[1.0, 1.0]);
    (0..100).for_each(|_| assert_eq!(run(&mut turns, &[0], [1.0, 1.0]), 0));
    let next: Vec<usize> = (0..6).map(|_| run(&mut turns, &[0, 1], [1.0, 1.0])).collect();
    assert_eq!(next.iter().filter(|c| **c == 0).count(), 3, "{next:?}");
}
