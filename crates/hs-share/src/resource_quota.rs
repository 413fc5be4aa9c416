//! Limits on the resources that a party uses in all.

use hs_wire::Resources;

use crate::ResourceSum;

/// Limit on the sum of the resources of a party's tasks, in each dimension.
///
/// Answers the load pattern of a party that has more work than it may run at a time, whatever the free capacity.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResourceQuota {
    /// Largest sum in the order of [`Resources::dimensions`]; `u64::MAX` is no limit.
    limits: [u64; 5],
}

impl ResourceQuota {
    /// No limit in any dimension.
    pub const UNLIMITED: Self = Self {
        limits: [u64::MAX; 5],
    };

    /// Returns the quota that allows at most `limit`. Zero allows nothing, and the largest amount is no limit.
    pub fn at_most(limit: Resources) -> Self {
        Self {
            limits: limit.dimensions().map(|limit| match limit {
                u32::MAX => u64::MAX,
                limit => u64::from(limit),
            }),
        }
    }

    /// Returns the quota of a cap, in which zero is no limit.
    pub fn of_cap(cap: Resources) -> Self {
        Self {
            limits: cap.dimensions().map(|limit| match limit {
                0 => u64::MAX,
                limit => u64::from(limit),
            }),
        }
    }

    /// Returns whether the quota admits `amount` in addition to what is used.
    pub fn admits(self, used: ResourceSum, amount: Resources) -> bool {
        let sums = used.dimensions().into_iter().zip(amount.dimensions());
        sums.zip(self.limits)
            .all(|((used, amount), limit)| used.saturating_add(u64::from(amount)) <= limit)
    }

    /// Returns how many times the quota admits `amount` in addition to what is used, `u32::MAX` without a limit.
    pub fn copies_admitted(self, used: ResourceSum, amount: Resources) -> u32 {
        let sums = used.dimensions().into_iter().zip(amount.dimensions());
        let copies = sums.zip(self.limits).map(|((used, amount), limit)| {
            match (limit, limit.checked_sub(used), u64::from(amount)) {
                (u64::MAX, ..) => u64::MAX,
                (_, None, _) => 0,
                (_, Some(_), 0) => u64::MAX,
                (_, Some(left), amount) => left / amount,
            }
        });
        let copies = copies.min().unwrap_or(u64::MAX);
        u32::try_from(copies).unwrap_or(u32::MAX)
    }
}
