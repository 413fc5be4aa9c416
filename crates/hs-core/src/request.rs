//! Work requests and priority bands.

use std::time::{Duration, Instant};

use hs_wire::{Resources, WorkClass};
use slotmap::new_key_type;

new_key_type! {
    /// Key of a queued or running work item.
    pub struct WorkKey;

    /// Key of a customer. It stays valid after the customer has left the policy.
    pub struct CustomerKey;
}

/// Priority band of work. Higher bands are served first; `Urgent` is the highest.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum WorkBand {
    /// Urgent work of any class, which has to start within 1.2 s at full load.
    Urgent,
    /// Short checks.
    Short,
    /// Orders and settlements.
    Normal,
    /// Batch work and gangs.
    Long,
}

impl WorkBand {
    /// All bands from the highest to the lowest.
    pub const ALL: [Self; 4] = [Self::Urgent, Self::Short, Self::Normal, Self::Long];

    /// Returns the band of a work class; urgent work is in band `Urgent` whatever its class.
    pub fn of(class: WorkClass, urgent: bool) -> Self {
        match class {
            _ if urgent => Self::Urgent,
            WorkClass::Check => Self::Short,
            WorkClass::Order | WorkClass::Service => Self::Normal,
            WorkClass::Batch | WorkClass::Gang => Self::Long,
        }
    }
}

/// A work item to place: a single task, or a gang whose tasks start together.
#[derive(Clone, Debug)]
pub struct WorkRequest {
    /// The customer whose quota and fair share the work counts against.
    pub customer: CustomerKey,
    /// Number that identifies the workload. Run times are compared within one workload.
    pub workload: u32,
    /// Priority band.
    pub band: WorkBand,
    /// Resources of each task.
    pub resources: Resources,
    /// Number of tasks; work with more than one is a gang.
    pub tasks: u16,
    /// Declared run time, which is often inaccurate.
    pub estimate: Option<Duration>,
    /// Time after which the work is refused instead of started.
    pub deadline: Option<Instant>,
    /// Opaque number that is returned in decisions about the work.
    pub tag: u64,
}
