//! What a worker really did, for tests.

use hs_wire::{Resources, TaskPhase, WorkId};
use serde::{Deserialize, Serialize};

/// One start that really ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerStart {
    /// Identity of the task.
    pub id: WorkId,
    /// Fence under which it started.
    pub fence: u64,
    /// Name of the workload.
    pub workload: String,
    /// What it took while it ran.
    pub resources: Resources,
    /// Payload, by which tests recognise their own work.
    pub payload: String,
    /// How far it has come.
    pub phase: TaskPhase,
    /// Time of the start, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Time of the end, in milliseconds since the Unix epoch; absent while it runs.
    #[serde(default)]
    pub ended_ms: Option<u64>,
}

/// Reply of `GET /log`: every start that really ran, in order.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct WorkerLog(pub Vec<WorkerStart>);

/// Reply of `GET /peak`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerPeak {
    /// What running tasks take together now.
    pub used: Resources,
    /// The most that they have taken at any time, in each dimension.
    pub peak: Resources,
    /// Total capacity.
    pub capacity: Resources,
    /// Whether running tasks ever took more than the capacity.
    pub exceeded: bool,
    /// Starts that an unchecked worker accepted although they did not fit.
    pub excess_starts: u64,
    /// Starts that were refused because they did not fit.
    pub refused_no_room: u64,
    /// Starts and stops that were refused for their fence or for lack of a lease.
    pub refused_fence: u64,
}
