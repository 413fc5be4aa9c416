//! The part of a manifest that decides placement.

use hs_wire::Resources;

/// Which policy decides.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum PolicyMode {
    /// Bands, fair queues, reserved room and best fit.
    #[default]
    Fair,
    /// One queue, first come, first served, with first fit. Serves as the baseline of measurements.
    Baseline,
}

/// Limits and weight of one customer.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerPolicy {
    /// Unique name.
    pub name: String,
    /// Share of the capacity relative to the other customers; larger than zero.
    pub weight: u32,
    /// Most that the customer's running tasks may take together on the workers of this process.
    pub quota: Option<Resources>,
    /// Most pieces of work that wait in one band.
    pub queue_limit: u32,
}

/// Everything that the placer takes from a manifest.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacerPolicy {
    /// Which policy decides.
    pub mode: PolicyMode,
    /// The customers that may submit.
    pub customers: Vec<CustomerPolicy>,
    /// Room on each worker that only the bands `Urgent` and `Short` may take.
    pub short_reserve: Resources,
    /// Most tasks of band `Long` on one worker; `None` for no limit.
    pub long_ceiling: Option<u32>,
}
