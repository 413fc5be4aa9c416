//! Status of the placer for operators.

use hs_core::CapacitySummary;
use hs_wire::Resources;
use serde::Serialize;

/// Status of one worker that this process has leased.
#[derive(Clone, Debug, Serialize)]
pub struct WorkerStatus {
    /// Name of the worker.
    pub name: String,
    /// Whether the worker is draining and gets no new work.
    pub draining: bool,
    /// Whether the worker is ejected because of failures.
    pub ejected: bool,
    /// Current fencing token of the lease.
    pub fence: u64,
    /// Total capacity of the worker.
    pub capacity: Resources,
    /// Reserved part of the capacity.
    pub reserved: Resources,
    /// Number of tasks that hold capacity.
    pub tasks: usize,
}

/// Status of the placer and of its workers.
#[derive(Clone, Debug, Default)]
pub struct PlacerStatus {
    /// Free capacity and queue length.
    pub summary: CapacitySummary,
    /// The leased workers, sorted by name.
    pub workers: Vec<WorkerStatus>,
}
