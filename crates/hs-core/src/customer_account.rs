//! State of one customer.

use hs_wire::Resources;
use smallvec::SmallVec;

use crate::band_queue::LaneKey;
use crate::{CustomerPolicy, WorkBand};

/// Limits, usage and fair-queuing state of one customer.
#[derive(Debug)]
pub(crate) struct CustomerAccount {
    /// Limits and weight.
    pub(crate) policy: CustomerPolicy,
    /// Whether the policy in force names the customer.
    pub(crate) listed: bool,
    /// Room that the customer's tasks hold.
    pub(crate) used: Resources,
    /// Number of waiting pieces of work by band.
    pub(crate) queued: [u32; 4],
    /// Virtual start time of the next piece of work by band.
    pub(crate) tags: [u64; 4],
    /// Lanes that wait until the customer uses less of its quota, or less of the last room.
    pub(crate) parked: SmallVec<[(WorkBand, LaneKey); 2]>,
    /// Whether the customer waits for room beyond the margin.
    pub(crate) waits_for_margin: bool,
    /// Whether the customer's weight counts, since it has work.
    pub(crate) active: bool,
}

impl CustomerAccount {
    /// Builds an account without usage.
    pub(crate) fn new(policy: CustomerPolicy) -> Self {
        Self {
            policy,
            listed: true,
            used: Resources::ZERO,
            queued: [0; 4],
            tags: [0; 4],
            parked: SmallVec::new(),
            waits_for_margin: false,
            active: false,
        }
    }

    /// Returns whether the quota admits an amount beside what is in use.
    pub(crate) fn admits(&self, amount: Resources) -> bool {
        let quota = self.policy.quota;
        quota.is_none_or(|quota| self.used.saturating_add(amount).fits(quota))
    }

    /// Returns whether the customer has waiting or running work.
    pub(crate) fn has_work(&self) -> bool {
        self.used != Resources::ZERO || self.queued != [0; 4]
    }

    /// Returns whether the quota admits an amount when nothing is in use.
    pub(crate) fn could_admit(&self, amount: Resources) -> bool {
        self.policy.quota.is_none_or(|quota| amount.fits(quota))
    }
}
