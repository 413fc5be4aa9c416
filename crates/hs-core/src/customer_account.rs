//! Quota, usage and queue state of one customer.

use hs_share::{ResourceQuota, ResourceSum};
use hs_wire::Resources;
use smallvec::SmallVec;

use crate::shape_queue::LaneKey;
use crate::{CustomerPolicy, WorkBand};

/// Limits, usage and fair-queuing state of one customer. Arrays are indexed by band.
#[derive(Debug)]
pub(crate) struct CustomerAccount {
    /// Quota, queue limit and weight. A customer that left the policy keeps its last values.
    pub(crate) policy: CustomerPolicy,
    /// Whether the current policy lists the customer.
    pub(crate) in_policy: bool,
    /// Resources allocated to the customer's tasks.
    pub(crate) used: ResourceSum,
    /// Number of queued work items by band.
    pub(crate) queued: [u32; 4],
    /// Start tag (virtual start time) of the next work item by band.
    pub(crate) start_tags: [u64; 4],
    /// Lanes removed from their queue because their first item would exceed the quota or take part
    /// of the margin.
    pub(crate) parked: SmallVec<[(WorkBand, LaneKey); 2]>,
    /// Whether the customer is among the margin waiters.
    pub(crate) waits_for_margin: bool,
    /// Whether the customer's weight is included in the sum of the weights of customers with work.
    pub(crate) active: bool,
}

impl CustomerAccount {
    /// Creates an account without usage.
    pub(crate) fn new(policy: CustomerPolicy) -> Self {
        Self {
            policy,
            in_policy: true,
            used: ResourceSum::default(),
            queued: [0; 4],
            start_tags: [0; 4],
            parked: SmallVec::new(),
            waits_for_margin: false,
            active: false,
        }
    }

    /// Returns whether the quota admits `amount` in addition to the current usage.
    pub(crate) fn quota_admits(&self, amount: Resources) -> bool {
        self.quota().admits(self.used, amount)
    }

    /// Returns whether the customer has queued or running work.
    pub(crate) fn has_work(&self) -> bool {
        !self.used.is_zero() || self.queued != [0; 4]
    }

    /// Returns whether the quota admits `amount` when the customer uses nothing.
    pub(crate) fn quota_admits_when_idle(&self, amount: Resources) -> bool {
        self.quota().admits(ResourceSum::default(), amount)
    }

    fn quota(&self) -> ResourceQuota {
        let quota = self.policy.quota;
        quota.map_or(ResourceQuota::UNLIMITED, ResourceQuota::at_most)
    }
}
