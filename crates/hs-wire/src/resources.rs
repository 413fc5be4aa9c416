//! The five dimensions of capacity.

use serde::{Deserialize, Serialize};

/// An amount of each resource that a worker has or a task takes.
///
/// Fields that are absent in JSON are zero. Unknown fields are an error, since a misspelt
/// dimension would otherwise be scheduled as free.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Whole accelerators.
    pub accelerators: u32,
    /// Task slots.
    pub slots: u32,
    /// Connections.
    pub connections: u32,
}

impl Resources {
    /// No amount of any resource.
    pub const ZERO: Self = Self {
        cpu_milli: 0,
        memory_mib: 0,
        accelerators: 0,
        slots: 0,
        connections: 0,
    };

    /// Returns the amounts in a fixed order: processors, memory, accelerators, slots, connections.
    pub fn dimensions(self) -> [u32; 5] {
        [
            self.cpu_milli,
            self.memory_mib,
            self.accelerators,
            self.slots,
            self.connections,
        ]
    }

    /// Builds an amount from the order that [`Resources::dimensions`] returns.
    pub fn from_dimensions(amounts: [u32; 5]) -> Self {
        let [cpu_milli, memory_mib, accelerators, slots, connections] = amounts;
        Self {
            cpu_milli,
            memory_mib,
            accelerators,
            slots,
            connections,
        }
    }

    /// Returns whether `self` fits into `room` in every dimension.
    pub fn fits(self, room: Self) -> bool {
        let pairs = self.dimensions().into_iter().zip(room.dimensions());
        pairs.into_iter().all(|(need, have)| need <= have)
    }

    /// Returns the sum, or `None` if a dimension overflows.
    pub fn checked_add(self, other: Self) -> Option<Self> {
        self.combine(other, u32::checked_add)
    }

    /// Returns the difference, or `None` if a dimension would become negative.
    pub fn checked_sub(self, other: Self) -> Option<Self> {
        self.combine(other, u32::checked_sub)
    }

    /// Returns the sum, limited to the largest amount in each dimension.
    pub fn saturating_add(self, other: Self) -> Self {
        self.map2(other, u32::saturating_add)
    }

    /// Returns the difference, limited to zero in each dimension.
    pub fn saturating_sub(self, other: Self) -> Self {
        self.map2(other, u32::saturating_sub)
    }

    /// Returns `self` taken `count` times, limited to the largest amount in each dimension.
    pub fn saturating_mul(self, count: u32) -> Self {
        Self::from_dimensions(self.dimensions().map(|amount| amount.saturating_mul(count)))
    }

    /// Returns how often `self` fits into `room` together.
    pub fn max_copies_in(self, room: Self) -> u32 {
        let pairs = self.dimensions().into_iter().zip(room.dimensions());
        let counts = pairs.filter_map(|(need, have)| have.checked_div(need));
        counts.min().unwrap_or(u32::MAX)
    }

    /// Returns the largest share of `total` that `self` takes in any dimension.
    ///
    /// A dimension that `total` lacks counts as a full share when `self` needs it.
    pub fn dominant_share(self, total: Self) -> f64 {
        let pairs = self.dimensions().into_iter().zip(total.dimensions());
        pairs
            .map(|(need, have)| match (need, have) {
                (0, _) => 0.0,
                (_, 0) => 1.0,
                (need, have) => f64::from(need) / f64::from(have),
            })
            .fold(0.0, f64::max)
    }

    fn combine(self, other: Self, operation: fn(u32, u32) -> Option<u32>) -> Option<Self> {
        let left = self.dimensions();
        let right = other.dimensions();
        let mut amounts = [0; 5];
        for (index, amount) in amounts.iter_mut().enumerate() {
            *amount = operation(left[index], right[index])?;
        }
        Some(Self::from_dimensions(amounts))
    }

    fn map2(self, other: Self, operation: fn(u32, u32) -> u32) -> Self {
        let left = self.dimensions();
        let right = other.dimensions();
        let mut amounts = [0; 5];
        for (index, amount) in amounts.iter_mut().enumerate() {
            *amount = operation(left[index], right[index]);
        }
        Self::from_dimensions(amounts)
    }
}
