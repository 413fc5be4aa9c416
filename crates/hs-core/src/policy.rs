//! Placement policy, the part of a manifest that the placer uses.

use hs_wire::Resources;

/// Scheduling algorithm of the placer.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum PolicyMode {
    /// Priority bands, fair queues, reserved capacity and best fit.
    #[default]
    Fair,
    /// A single first-come, first-served queue with first fit. Serves as the baseline in
    /// benchmarks.
    Baseline,
}

/// Limits and weight of one customer.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerPolicy {
    /// Unique name, which identifies the customer when the policy changes.
    pub name: String,
    /// Share of the capacity in relation to the other customers' weights; greater than zero.
    pub weight: u32,
    /// Limit on the total resources of the customer's running tasks on the workers of this process.
    pub quota: Option<Resources>,
    /// Maximum number of queued work items in each band.
    pub queue_limit: u32,
}

/// Everything that the placer uses from a manifest.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacerPolicy {
    /// Scheduling algorithm.
    pub mode: PolicyMode,
    /// The customers that may submit.
    pub customers: Vec<CustomerPolicy>,
    /// Capacity of each worker that is reserved for the bands `Urgent` and `Short`.
    pub short_reserve: Resources,
    /// Maximum number of tasks of band `Long` on one worker; `None` for no limit.
    pub long_ceiling: Option<u32>,
}
