//! The worker's interface: lease, start, task, stop and usage.

use serde::{Deserialize, Serialize};

use crate::{Resources, WorkId};

/// Body of `POST /lease`: takes, renews or releases the lease of a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRequest {
    /// Identity of the entry process, new with each start of the process.
    pub owner: String,
    /// Requested length of the lease in milliseconds. Zero releases it.
    pub ttl_ms: u64,
    /// Raises the fence although the owner stays the same, so that starts still in flight are
    /// refused and the task list of the reply is complete.
    #[serde(default)]
    pub bump: bool,
    /// Asks for every running task. Set on a takeover.
    #[serde(default)]
    pub list: bool,
    /// Asks for these tasks, running or ended in the last ten minutes. With `bump`, a task that the
    /// reply lacks has not run in the worker's present incarnation and can no longer start under an
    /// older fence.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub query: Vec<WorkId>,
}

/// Reply to a lease request that was granted (200). Another owner's live lease gives 409.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseGrant {
    /// The fencing token that starts have to carry.
    pub fence: u64,
    /// Changes when the worker restarts and forgets its tasks.
    #[serde(default)]
    pub incarnation: u64,
    /// Granted length in milliseconds, counted from the moment of the grant.
    pub ttl_ms: u64,
    /// Total capacity of the worker.
    pub capacity: Resources,
    /// Whether the worker refuses new starts.
    #[serde(default)]
    pub draining: bool,
    /// The tasks that the request asked for, as far as the worker knows them.
    #[serde(default)]
    pub tasks: Vec<TaskView>,
    /// Usage, some seconds old.
    #[serde(default)]
    pub usage: WorkerUsage,
}

/// Body of `POST /start`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartRequest {
    /// Identity of the task. A second start with the same id does not run again.
    pub id: WorkId,
    /// Fencing token of the sender's lease.
    pub fence: u64,
    /// What the task takes.
    pub resources: Resources,
    /// Whether the worker stops the task when nobody has renewed its lease for the task lease.
    #[serde(default)]
    pub leased: bool,
    /// How long the reply may wait for the end of the task, in milliseconds.
    #[serde(default)]
    pub wait_ms: u64,
    /// Manifest revision under which the task was placed.
    #[serde(default)]
    pub revision: u64,
    /// The customer that the task is accounted to.
    #[serde(default)]
    pub customer: String,
    /// Name of the workload.
    pub workload: String,
    /// Opaque input.
    #[serde(default)]
    pub payload: String,
}

/// Reply to a start (200) or to a task query. A refusal is 409 (stale fence), 429 (no room) or
/// 503 (draining) with an [`ErrorBody`], and means that the task did not run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartReply {
    /// The task, as far as it has come.
    pub task: TaskView,
}

/// How far a task has come.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// The task runs.
    Running,
    /// The task ended well.
    Done,
    /// The task ended with a failure.
    Failed,
    /// The task was stopped before its end.
    Stopped,
}

/// One task as the worker knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskView {
    /// Identity of the task.
    pub id: WorkId,
    /// How far it has come.
    pub phase: TaskPhase,
    /// What it takes while it runs.
    pub resources: Resources,
    /// The customer that it is accounted to, as its start said.
    #[serde(default)]
    pub customer: String,
    /// Name of the workload, as its start said.
    #[serde(default)]
    pub workload: String,
    /// Its result, once it has ended.
    #[serde(default)]
    pub result: String,
    /// How long it has run, in milliseconds.
    #[serde(default)]
    pub ran_ms: u64,
}

/// How a task is made to end or to yield.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StopMode {
    /// Saves the task's progress, then ends it.
    Checkpoint,
    /// Slows the task down.
    Throttle,
    /// Ends the task.
    Stop,
}

/// Body of `POST /stop`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StopRequest {
    /// Identity of the task.
    pub id: WorkId,
    /// Fencing token of the sender's lease.
    pub fence: u64,
    /// What to do.
    pub mode: StopMode,
}

/// Usage that a worker reports with a lag.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerUsage {
    /// Processor time in use, in thousandths of a core.
    #[serde(default)]
    pub cpu_milli: u32,
    /// Memory in use, in MiB.
    #[serde(default)]
    pub memory_mib: u32,
}

/// Body of every error reply.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorBody {
    /// Short code in snake case.
    pub code: String,
    /// Details in plain words.
    pub message: String,
}
