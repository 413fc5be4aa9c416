//! Resource amounts in five dimensions.

use serde::{Deserialize, Serialize};

/// Amounts of all resources, such as the capacity of a worker or the requirement of a task.
///
/// Fields that are absent in JSON are zero. Unknown fields are an error, since a misspelt
/// dimension would otherwise count as zero.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// CPU time in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Number of whole accelerators.
    pub accelerators: u32,
    /// Number of task slots.
    pub slots: u32,
    /// Number of connections.
    pub connections: u32,
}

impl Resources {
    /// Zero in every dimension.
    pub const ZERO: Self = Self {
        cpu_milli: 0,
        memory_mib: 0,
        accelerators: 0,
        slots: 0,
        connections: 0,
    };

    /// The largest amount in every dimension.
    pub const MAX: Self = Self {
        cpu_milli: u32::MAX,
        memory_mib: u32::MAX,
        accelerators: u32::MAX,
        slots: u32::MAX,
        connections: u32::MAX,
    };

    /// Returns the amounts in a fixed order: CPU, memory, accelerators, slots, connections.
    pub fn dimensions(self) -> [u32; 5] {
        [
            self.cpu_milli,
            self.memory_mib,
            self.accelerators,
            self.slots,
            self.connections,
        ]
    }

    /// Builds amounts from an array in the order of [`Resources::dimensions`].
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

    /// Returns whether `self` is at most `available` in every dimension.
    #[inline]
    pub fn fits(self, available: Self) -> bool {
        let pairs = self.dimensions().into_iter().zip(available.dimensions());
        pairs.into_iter().all(|(need, have)| need <= have)
    }

    /// Returns the sum, or `None` if a dimension overflows.
    pub fn checked_add(self, other: Self) -> Option<Self> {
        self.try_combine(other, u32::checked_add)
    }

    /// Returns the difference, or `None` if a dimension would be negative.
    pub fn checked_sub(self, other: Self) -> Option<Self> {
        self.try_combine(other, u32::checked_sub)
    }

    /// Returns the sum, saturating at the largest value in each dimension.
    pub fn saturating_add(self, other: Self) -> Self {
        self.combine(other, u32::saturating_add)
    }

    /// Returns the difference, saturating at zero in each dimension.
    pub fn saturating_sub(self, other: Self) -> Self {
        self.combine(other, u32::saturating_sub)
    }

    /// Returns `self` multiplied by `count`, saturating at the largest value in each dimension.
    pub fn saturating_mul(self, count: u32) -> Self {
        Self::from_dimensions(self.dimensions().map(|amount| amount.saturating_mul(count)))
    }

    /// Returns how many copies of `self` fit into `available` at the same time, `u32::MAX` if
    /// `self` is zero.
    #[inline]
    pub fn max_copies_in(self, available: Self) -> u32 {
        let pairs = self.dimensions().into_iter().zip(available.dimensions());
        let counts = pairs.filter_map(|(need, have)| have.checked_div(need));
        counts.min().unwrap_or(u32::MAX)
    }

    /// Returns the largest fraction of `total` that `self` takes in any dimension.
    ///
    /// A dimension that is zero in `total` counts as 1.0 if `self` needs it.
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

    fn try_combine(self, other: Self, operation: fn(u32, u32) -> Option<u32>) -> Option<Self> {
        let left = self.dimensions();
        let right = other.dimensions();
        let mut amounts = [0; 5];
        for (index, amount) in amounts.iter_mut().enumerate() {
            *amount = operation(left[index], right[index])?;
        }
        Some(Self::from_dimensions(amounts))
    }

    fn combine(self, other: Self, operation: fn(u32, u32) -> u32) -> Self {
        let left = self.dimensions();
        let right = other.dimensions();
        let mut amounts = [0; 5];
        for (index, amount) in amounts.iter_mut().enumerate() {
            *amount = operation(left[index], right[index]);
        }
        Self::from_dimensions(amounts)
    }
}
