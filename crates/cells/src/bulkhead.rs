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
mod tests;
