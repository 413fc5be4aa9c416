//! Dominant resource share of a team, divided by its weight.

use std::cmp::Ordering;

use crate::ResourceSum;

/// Number of dimensions that count for a share: CPU, memory and accelerators, the first ones of
/// [`hs_wire::Resources::dimensions`].
const SHARED_DIMENSIONS: usize = 3;

/// Change of a share by which the order of teams is updated, relative to the larger of the two shares. Without it,
/// each start and end would move its team.
const COARSE_CHANGE: f64 = 0.02;

/// Largest of the shares that the runs of a team hold of CPU, memory and accelerators, divided by its weight.
///
/// The team with the smallest one goes first. Answers the load pattern in which several teams have owed work for
/// more than the free capacity: the one that holds least for its weight gets the next worker, so that a team with
/// many or large tasks does not crowd out the others.
#[derive(Clone, Copy, Debug, Default)]
pub struct NormalizedShare(f64);

impl NormalizedShare {
    /// The share of a team that holds nothing.
    pub const ZERO: Self = Self(0.0);

    /// Returns the share of a team that uses `used` of `capacity`. A weight that is not positive counts as 1. A
    /// dimension without capacity counts as wholly held by a team that uses it.
    pub fn new(used: ResourceSum, capacity: ResourceSum, weight: f64) -> Self {
        let pairs = used.dimensions().into_iter().zip(capacity.dimensions());
        let shares = pairs.take(SHARED_DIMENSIONS).map(|pair| match pair {
            (0, _) => 0.0,
            (_, 0) => 1.0,
            (used, capacity) => used as f64 / capacity as f64,
        });
        Self(shares.fold(0.0, f64::max) / valid_weight(weight))
    }

    /// Returns the share as a number.
    pub fn value(self) -> f64 {
        self.0
    }

    /// Returns whether the difference is large enough to change the order of teams.
    pub fn differs_coarsely_from(self, other: Self) -> bool {
        let is_zero = |share: Self| share.0 == 0.0;
        is_zero(self) != is_zero(other)
            || (self.0 - other.0).abs() > COARSE_CHANGE * self.0.max(other.0)
    }
}

/// Returns a usable weight: one that is not positive or not finite counts as 1.
pub fn valid_weight(weight: f64) -> f64 {
    if weight.is_finite() && weight > 0.0 {
        weight
    } else {
        1.0
    }
}

impl PartialEq for NormalizedShare {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for NormalizedShare {}

impl PartialOrd for NormalizedShare {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for NormalizedShare {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}
