//! Workers and the summary of their capacity.

use hs_wire::Resources;
use slotmap::new_key_type;

new_key_type! {
    /// Key of a worker that the process owns.
    pub struct WorkerKey;
}

/// Static properties of a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerSpec {
    /// Unique name.
    pub name: String,
    /// Rack. The tasks of a gang are placed in one rack if possible.
    pub rack: String,
    /// Total capacity.
    pub capacity: Resources,
}

/// Whether a worker takes new work.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum WorkerState {
    /// The worker takes new work.
    Active,
    /// The worker finishes its running tasks and takes no new work.
    Draining,
}

/// Capacity of all workers that take new work, and the queue length, as heartbeats carry them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CapacitySummary {
    /// Sum of the free capacity of the workers that take new work.
    pub free: Resources,
    /// Sum of the capacity of those workers.
    pub total: Resources,
    /// Number of queued work items.
    pub queued: u32,
}
