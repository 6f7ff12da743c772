//! Divides the capacity of a dispatcher among the cells that it serves. Each cell has a guaranteed share;
//! idle units are lent to other cells and taken back when their owner needs them.
//!
//! There are two kinds of capacity. Units that can be returned at once, such as a held message that never
//! ran, may all be lent: when the owner needs one, [`CapacityPool::acquire`] names the cell that must return one. Units
//! that cannot be revoked, such as the slot of a running attempt, are lent only beyond a reserve for each
//! idle owner and beyond what that owner has needed recently ([`CapacityPool::set_recent_need`]). An owner with
//! steady load therefore never waits. An owner whose load rises finds the reserve at once and the remainder as the
//! borrowers' attempts end; until then no returned unit is lent again.

/// A cell, by its index in the cell map.
pub type CellIndex = usize;

/// Whether the units of a pool can be taken back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Revocability {
    /// A unit can be taken back at once.
    Revocable,
    /// A unit comes back when its holder is done with it, so a percentage of each share is never lent.
    NonRevocable {
        /// The percentage of each share that is reserved for its owner.
        reserve: u32,
    },
}

/// The result of a request for a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acquisition {
    /// A unit of the cell's own share.
    OwnShare,
    /// A unit of another cell's share that is idle now.
    Lent,
    /// A unit, once that cell has returned one that it borrowed.
    AfterRevoking(CellIndex),
    /// No unit: the cell's share is in use, and nothing is idle.
    Denied,
}

impl Acquisition {
    /// Whether a unit was granted.
    pub fn is_granted(self) -> bool {
        self != Acquisition::Denied
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Allocation {
    guaranteed: u64,
    used: u64,
    /// Units that the owner has needed at the same time recently.
    needed: u64,
}

impl Allocation {
    fn borrowed(&self) -> u64 {
        self.used.saturating_sub(self.guaranteed)
    }

    fn idle(&self) -> u64 {
        self.guaranteed.saturating_sub(self.used)
    }
}

/// Units of one kind of capacity, such as slots, held messages or space in the journal.
#[derive(Debug, Clone, PartialEq)]
pub struct CapacityPool {
    capacity: u64,
    lending: Revocability,
    allocations: Vec<Allocation>,
}

impl CapacityPool {
    /// A pool of `capacity` units, divided by weight; the remainder of the division goes to the first cells,
    /// one unit each.
    pub fn new(capacity: u64, weights: &[f64], lending: Revocability) -> CapacityPool {
        let allocations = vec![Allocation { guaranteed: 0, used: 0, needed: 0 }; weights.len()];
        let mut pool = CapacityPool { capacity, lending, allocations };
        pool.set_weights(capacity, weights);
        pool
    }

    /// Changes the division while units are in use. Nothing is taken away: units in use beyond the new share
    /// count as borrowed from now on.
    pub fn set_weights(&mut self, capacity: u64, weights: &[f64]) {
        self.capacity = capacity;
        self.allocations.resize(
            weights.len().max(self.allocations.len()),
            Allocation { guaranteed: 0, used: 0, needed: 0 },
        );
        let sum: f64 = weights.iter().filter(|w| **w > 0.0).sum();
        let mut left = capacity;
        for (n, allocation) in self.allocations.iter_mut().enumerate() {
            let weight = weights.get(n).copied().unwrap_or(0.0).max(0.0);
            allocation.guaranteed =
                if sum > 0.0 { ((capacity as f64) * weight / sum).floor() as u64 } else { 0 };
            left = left.saturating_sub(allocation.guaranteed);
        }
        for (n, allocation) in self.allocations.iter_mut().enumerate() {
            if left > 0 && weights.get(n).is_some_and(|w| *w > 0.0) {
                allocation.guaranteed += 1;
                left -= 1;
            }
        }
    }

    /// Sets what a cell has needed at the same time recently: that much of its share is not lent if it cannot
    /// be taken back.
    pub fn set_recent_need(&mut self, cell: CellIndex, needed: u64) {
        if let Some(allocation) = self.allocations.get_mut(cell) {
            allocation.needed = needed;
        }
    }

    /// Units that a cell has in use.
    pub fn used(&self, cell: CellIndex) -> u64 {
        self.allocations.get(cell).map_or(0, |p| p.used)
    }

    /// The guaranteed share of a cell, in units.
    pub fn guaranteed(&self, cell: CellIndex) -> u64 {
        self.allocations.get(cell).map_or(0, |p| p.guaranteed)
    }

    fn free(&self) -> u64 {
        self.capacity.saturating_sub(self.allocations.iter().map(|p| p.used).sum())
    }

    /// Idle units reserved for their owners, because they could not be taken back when the owners need them.
    fn reserved_for_others(&self, cell: CellIndex) -> u64 {
        let others = self.allocations.iter().enumerate().filter(|(n, _)| *n != cell).map(|p| p.1);
        match self.lending {
            Revocability::Revocable => 0,
            Revocability::NonRevocable { reserve } => {
                let reserved = |p: &Allocation| (p.guaranteed * u64::from(reserve)).div_ceil(100);
                others.map(|p| p.idle().min(reserved(p).max(p.needed.saturating_sub(p.used)))).sum()
            }
        }
    }

    /// Units that a cell may have in total at present: its units in use, the free units of its share, and
    /// those that can be lent.
    pub fn max_available(&self, cell: CellIndex) -> u64 {
        let Some(allocation) = self.allocations.get(cell) else { return 0 };
        let free = self.free();
        let own = allocation.idle().min(free);
        allocation.used + own + (free - own).saturating_sub(self.reserved_for_others(cell))
    }

    /// Counts units that a cell already uses: those of an earlier process.
    pub fn acquire_unconditionally(&mut self, cell: CellIndex, units: u64) {
        if let Some(allocation) = self.allocations.get_mut(cell) {
            allocation.used += units;
        }
    }

    /// The result that [`CapacityPool::acquire`] would return now.
    pub fn check(&self, cell: CellIndex) -> Acquisition {
        let Some(allocation) = self.allocations.get(cell) else { return Acquisition::Denied };
        let free = self.free();
        if allocation.used < allocation.guaranteed {
            if free > 0 {
                return Acquisition::OwnShare;
            }
            // The cell's own units are lent out: the cell that borrowed the most returns one.
            let most = self.allocations.iter().enumerate().filter(|(n, p)| *n != cell && p.borrowed() > 0);
            let most = most.max_by_key(|(n, p)| (p.borrowed(), std::cmp::Reverse(*n))).map(|m| m.0);
            return match (most, self.lending) {
                (Some(other), Revocability::Revocable) => Acquisition::AfterRevoking(other),
                _ => Acquisition::Denied,
            };
        }
        match free > self.reserved_for_others(cell) {
            true => Acquisition::Lent,
            false => Acquisition::Denied,
        }
    }

    /// Takes a unit. After [`Acquisition::AfterRevoking`] the named cell's unit counts as returned already, and the
    /// host has to make sure that it is.
    pub fn acquire(&mut self, cell: CellIndex) -> Acquisition {
        let grant = self.check(cell);
        if let Acquisition::AfterRevoking(other) = grant {
            self.release(other);
        }
        if grant.is_granted() {
            if let Some(allocation) = self.allocations.get_mut(cell) {
                allocation.used += 1;
            }
        }
        grant
    }

    /// Returns a unit.
    pub fn release(&mut self, cell: CellIndex) {
        if let Some(allocation) = self.allocations.get_mut(cell) {
            allocation.used = allocation.used.saturating_sub(1);
        }
    }
}

/// Divides the processing time of the core among cells by start-time fair queueing over measured costs: the
/// cell that has used the least relative to its weight goes next, and unused time is not saved up.
#[derive(Debug, Clone, PartialEq)]
pub struct FairScheduler {
    weights: Vec<f64>,
    /// Time used so far, divided by the weight.
    spent: Vec<f64>,
    /// Virtual time: the start of the turn that was served last.
    now: f64,
}

impl FairScheduler {
    /// A scheduler in which no cell has used any time.
    pub fn new(weights: &[f64]) -> FairScheduler {
        FairScheduler { weights: weights.to_vec(), spent: vec![0.0; weights.len()], now: 0.0 }
    }

    /// The order in which the cells with pending work go.
    pub fn order(&mut self, wanting: impl IntoIterator<Item = CellIndex>) -> Vec<CellIndex> {
        let mut all: Vec<CellIndex> = wanting.into_iter().filter(|c| *c < self.spent.len()).collect();
        for cell in &all {
            // Time that a cell did not use while it was idle is forfeited.
            self.spent[*cell] = self.spent[*cell].max(self.now);
        }
        all.sort_by(|a, b| self.spent[*a].total_cmp(&self.spent[*b]).then(a.cmp(b)));
        if let Some(first) = all.first() {
            self.now = self.now.max(self.spent[*first]);
        }
        all
    }

    /// Charges a cell for the time that it used.
    pub fn charge(&mut self, cell: CellIndex, cost: f64) {
        if let (Some(spent), Some(weight)) = (self.spent.get_mut(cell), self.weights.get(cell)) {
            *spent += cost / weight.max(f64::MIN_POSITIVE);
        }
    }
}

#[cfg(test)]
mod tests {
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
}
