//! What the placer tells operators.

use hs_core::CapacitySummary;
use hs_wire::Resources;
use serde::Serialize;

/// One owned worker.
#[derive(Clone, Debug, Serialize)]
pub struct WorkerStatus {
    /// Name.
    pub name: String,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Whether it is ejected after failures.
    pub ejected: bool,
    /// Fencing token in use.
    pub fence: u64,
    /// Total capacity.
    pub capacity: Resources,
    /// Reserved part.
    pub reserved: Resources,
    /// Number of tasks that hold room.
    pub tasks: usize,
}

/// Summary of the placer.
#[derive(Clone, Debug, Default)]
pub struct PlacerStatus {
    /// Free room and queue length.
    pub summary: CapacitySummary,
    /// The owned workers by name.
    pub workers: Vec<WorkerStatus>,
}
