//! Work as the placer sees it.

use std::time::{Duration, Instant};

use hs_wire::{Resources, WorkClass};
use slotmap::new_key_type;

new_key_type! {
    /// Key of one queued or running piece of work.
    pub struct WorkKey;

    /// Key of one customer.
    pub struct CustomerKey;
}

/// The priority band of a piece of work. A higher band is served first.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum WorkBand {
    /// Work that has to start within 1.2 s at full load.
    Urgent,
    /// Short checks.
    Short,
    /// Orders and settlements.
    Normal,
    /// Batch work and gangs.
    Long,
}

impl WorkBand {
    /// Every band, the highest first.
    pub const ALL: [Self; 4] = [Self::Urgent, Self::Short, Self::Normal, Self::Long];

    /// Returns the band of a class.
    pub fn of(class: WorkClass, urgent: bool) -> Self {
        match class {
            _ if urgent => Self::Urgent,
            WorkClass::Check => Self::Short,
            WorkClass::Order | WorkClass::Service => Self::Normal,
            WorkClass::Batch | WorkClass::Gang => Self::Long,
        }
    }
}

/// One piece of work to place: a single task, or a gang whose tasks start together.
#[derive(Clone, Debug)]
pub struct WorkRequest {
    /// The customer that it is accounted to.
    pub customer: CustomerKey,
    /// Identity of the workload, used to compare run times.
    pub workload: u32,
    /// Priority band.
    pub band: WorkBand,
    /// What each task takes.
    pub resources: Resources,
    /// Number of tasks; more than one makes a gang.
    pub tasks: u16,
    /// Declared run time, often far off.
    pub estimate: Option<Duration>,
    /// Time after which a start is of no use.
    pub deadline: Option<Instant>,
    /// Opaque number that decisions repeat.
    pub tag: u64,
}
