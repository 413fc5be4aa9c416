//! Exact sums of resource amounts.

use hs_wire::Resources;

/// Sum of the resources of tasks.
///
/// A worker may list a task of any size. A sum in the range of one amount would have to stop at its
/// largest value, and the end of that task would then free what the others hold.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ResourceSum([u64; 5]);

impl ResourceSum {
    /// Adds an amount `count` times.
    pub fn add(&mut self, amount: Resources, count: u32) {
        let added = amount.dimensions().map(u64::from);
        for (sum, amount) in self.0.iter_mut().zip(added) {
            *sum = sum.saturating_add(amount * u64::from(count));
        }
    }

    /// Subtracts an amount that was added.
    pub fn subtract(&mut self, amount: Resources) {
        let subtracted = amount.dimensions().map(u64::from);
        for (sum, amount) in self.0.iter_mut().zip(subtracted) {
            *sum = sum.saturating_sub(amount);
        }
    }

    /// Builds a sum from amounts in the order of [`Resources::dimensions`].
    pub fn from_dimensions(amounts: [u64; 5]) -> Self {
        Self(amounts)
    }

    /// Returns the amounts in the order of [`Resources::dimensions`].
    pub fn dimensions(self) -> [u64; 5] {
        self.0
    }

    /// Returns whether nothing is left.
    pub fn is_zero(self) -> bool {
        self.0 == [0; 5]
    }

    /// Returns the sum, at most the largest amounts.
    pub fn clamped(self) -> Resources {
        let clamp = |sum| u32::try_from(sum).unwrap_or(u32::MAX);
        Resources::from_dimensions(self.0.map(clamp))
    }
}
