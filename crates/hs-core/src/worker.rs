//! Workers as the placer sees them.

use hs_wire::Resources;
use slotmap::new_key_type;

new_key_type! {
    /// Key of one worker that the process owns.
    pub struct WorkerKey;
}

/// What the placer has to know of a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerSpec {
    /// Unique name.
    pub name: String,
    /// Rack, which the tasks of a gang prefer to share.
    pub rack: String,
    /// Total capacity.
    pub capacity: Resources,
}

/// Whether a worker takes new work.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum WorkerState {
    /// It takes new work.
    Active,
    /// It finishes what it runs.
    Draining,
}

/// Free room in total and in the largest piece, as heartbeats carry it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CapacitySummary {
    /// Sum over the workers that take new work.
    pub free: Resources,
    /// Sum of the capacity of those workers.
    pub total: Resources,
    /// Number of queued pieces of work.
    pub queued: u32,
}
