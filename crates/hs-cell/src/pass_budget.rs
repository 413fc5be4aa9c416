//! Work of scheduling passes, and how much of it a pass may do.
//!
//! The owner handles no events while a pass computes. The work of a pass is therefore bounded however many steps
//! wait, and the bound follows the measured duration of the passes.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Duration of a pass that the budget aims at.
pub(crate) const MAX_PASS_COST: Duration = Duration::from_millis(8);

/// Work of visiting a step, as a multiple of that of looking at a worker.
const VISIT_WORK: u64 = 8;

/// Budget until passes have been measured.
const INITIAL_BUDGET: u64 = 16_000;

/// Minimum budget. A pass that was interrupted by other processes counts as expensive although it is not.
const MIN_BUDGET: u64 = 4000;

/// Maximum budget.
const MAX_BUDGET: u64 = 64_000;

/// Share of the budget that a cheap pass must use up for the budget to grow.
const USED_SHARE_TO_GROW: f64 = 0.75;

/// Factor by which the budget grows after a cheap pass.
const GROWTH: f64 = 1.25;

/// Maximum factor by which the budget shrinks after an expensive pass.
const MAX_SHRINKAGE: f64 = 0.5;

/// Part of the budget of a pass.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum PassShare {
    /// Steps at the front of the order.
    Front,
    /// Steps that hold tickets.
    Holders,
    /// Further steps, which have their turns one after the other.
    Turns,
}

impl PassShare {
    /// Number of shares.
    pub(crate) const COUNT: usize = 3;
}

/// Work of the current pass, in looks at a worker.
#[derive(Debug, Default)]
pub(crate) struct PassWork {
    // Placement looks at workers through shared references.
    units: AtomicU64,
}

impl PassWork {
    pub(crate) fn units(&self) -> u64 {
        self.units.load(Ordering::Relaxed)
    }

    pub(crate) fn reset(&mut self) {
        *self.units.get_mut() = 0;
    }

    pub(crate) fn add_visit(&self) {
        self.add(VISIT_WORK);
    }

    /// Counts looks at this many workers, or at the keys of as many steps.
    pub(crate) fn add_looks(&self, count: usize) {
        self.add(count as u64);
    }

    fn add(&self, units: u64) {
        self.units.store(self.units() + units, Ordering::Relaxed);
    }
}

/// Bound on the work of a pass.
#[derive(Debug)]
pub(crate) struct PassBudget {
    units: u64,
}

impl Default for PassBudget {
    fn default() -> Self {
        Self {
            units: INITIAL_BUDGET,
        }
    }
}

impl PassBudget {
    /// Adapts the budget to a pass that did this work in this time.
    pub(crate) fn record_pass(&mut self, work: u64, cost: Duration) {
        let units = self.units as f64;
        let adapted = if cost > MAX_PASS_COST {
            let affordable = work as f64 * MAX_PASS_COST.as_secs_f64() / cost.as_secs_f64();
            units.min(affordable.max(units * MAX_SHRINKAGE))
        } else if work as f64 >= units * USED_SHARE_TO_GROW {
            units * GROWTH
        } else {
            units
        };
        self.units = (adapted as u64).clamp(MIN_BUDGET, MAX_BUDGET);
    }

    /// Returns the work that a pass may do for one kind of steps. The last visit may exceed it.
    pub(crate) fn share(&self, share: PassShare) -> u64 {
        match share {
            PassShare::Front => self.units / 2,
            PassShare::Holders | PassShare::Turns => self.units / 4,
        }
    }
}
