//! Records of what a worker ran, which tests check.

use hs_wire::{Resources, TaskPhase, WorkId};
use serde::{Deserialize, Serialize};

/// A task that ran, as recorded by the worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerStart {
    /// Id of the task.
    pub id: WorkId,
    /// Fence of the start request.
    pub fence: u64,
    /// Name of the workload.
    pub workload: String,
    /// Resources that it occupied while it ran.
    pub resources: Resources,
    /// Payload, which identifies the work in tests.
    pub payload: String,
    /// Current phase.
    pub phase: TaskPhase,
    /// Time of the start, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Time of the end, in milliseconds since the Unix epoch; absent while the task runs.
    #[serde(default)]
    pub ended_ms: Option<u64>,
}

/// Reply of `GET /log`: every task that ran, in the order of the starts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct WorkerLog(pub Vec<WorkerStart>);

/// Reply of `GET /peak`: resources in use, their peak, and refused requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerPeak {
    /// Resources that running tasks occupy now.
    pub used: Resources,
    /// Maximum of the resources in use so far, for each dimension separately.
    pub peak: Resources,
    /// Total capacity.
    pub capacity: Resources,
    /// Whether running tasks ever occupied more than the capacity.
    pub exceeded: bool,
    /// Number of starts beyond the capacity that were accepted because overcommitment is allowed.
    pub excess_starts: u64,
    /// Number of starts that were refused for lack of capacity.
    pub refused_no_room: u64,
    /// Number of starts and stops that were refused for a wrong fence or a missing lease.
    pub refused_fence: u64,
}
