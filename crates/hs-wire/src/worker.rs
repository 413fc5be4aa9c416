//! Requests and replies of the worker interface: lease, start, task, stop and usage.

use serde::{Deserialize, Serialize};

use crate::lease_decode::RawGrant;
use crate::{Resources, WorkId, lenient};

/// Body of `POST /lease`, which acquires, renews or releases the lease of a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRequest {
    /// Id of the entry process. A restarted process has a new one.
    pub owner: String,
    /// Requested duration of the lease in milliseconds. Zero releases the lease.
    pub ttl_ms: u64,
    /// Whether the worker increments the fence even if the owner stays the same. Starts that are
    /// still in flight are then refused, and the task list of the reply is complete.
    #[serde(default)]
    pub bump: bool,
    /// Whether the reply lists all running tasks. Set on a takeover.
    #[serde(default)]
    pub list: bool,
    /// Tasks that the reply lists if they are running or ended in the last ten minutes. With
    /// `bump`, a task that is missing from the reply has not run in the worker's current
    /// incarnation and can no longer start under an older fence.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub query: Vec<WorkId>,
}

/// Reply (200) to a lease request that was granted. While another owner holds a valid lease, the
/// reply is 409.
///
/// A task that can't be decoded is listed in `unreadable` and does not affect the others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "RawGrant")]
pub struct LeaseGrant {
    /// Fencing token that start requests have to carry.
    pub fence: u64,
    /// Incarnation of the worker. It changes when the worker restarts and loses its tasks.
    pub incarnation: u64,
    /// Granted duration in milliseconds, starting at the grant.
    pub ttl_ms: u64,
    /// Total capacity of the worker.
    pub capacity: Resources,
    /// Whether the worker refuses new starts.
    pub draining: bool,
    /// The requested tasks that the worker knows.
    pub tasks: Vec<TaskView>,
    /// Listed tasks that can't be decoded.
    #[serde(skip_serializing)]
    pub unreadable: Vec<UnreadableTask>,
    /// Resource usage, which may be some seconds old.
    pub usage: WorkerUsage,
}

impl LeaseGrant {
    /// Returns whether an entry that can't be decoded may be about this task. The task must not be
    /// taken for one that the worker does not know.
    pub fn may_list(&self, id: &WorkId) -> bool {
        let mut unreadable = self.unreadable.iter();
        unreadable.any(|task| task.id.as_ref().is_none_or(|other| other == id))
    }
}

/// A task in a reply that can't be decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnreadableTask {
    /// Id of the task, or `None` if the entry shows none.
    pub id: Option<WorkId>,
    /// Why the entry can't be decoded.
    pub cause: String,
}

/// Body of `POST /start`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartRequest {
    /// Id of the task. A second start with the same id does not run the task again.
    pub id: WorkId,
    /// Fencing token of the sender's lease.
    pub fence: u64,
    /// Resources that the task takes.
    pub resources: Resources,
    /// Whether the worker stops the task when the lease of the worker has not been renewed for the
    /// duration of the task lease.
    #[serde(default)]
    pub leased: bool,
    /// Longest time that the reply may wait for the end of the task, in milliseconds.
    #[serde(default)]
    pub wait_ms: u64,
    /// Manifest revision under which the task was placed.
    #[serde(default)]
    pub revision: u64,
    /// Name of the customer to whom the task is accounted.
    #[serde(default)]
    pub customer: String,
    /// Name of the workload.
    pub workload: String,
    /// Opaque input of the task.
    #[serde(default)]
    pub payload: String,
}

/// Reply (200) to a start request or a task query. A refusal has status 409 (stale fence), 429
/// (insufficient free resources) or 503 (draining) and an [`ErrorBody`], and means that the task
/// did not run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartReply {
    /// Current state of the task.
    pub task: TaskView,
}

/// Phase of a task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// The task is running.
    Running,
    /// The task succeeded.
    Done,
    /// The task failed.
    Failed,
    /// The task was stopped before its end.
    Stopped,
}

/// State of a task as the worker reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskView {
    /// Id of the task.
    pub id: WorkId,
    /// Phase of the task.
    pub phase: TaskPhase,
    /// Resources that the task takes while it runs.
    pub resources: Resources,
    /// Name of the customer to whom the task is accounted, as given in the start request.
    #[serde(default)]
    pub customer: String,
    /// Name of the workload, as given in the start request.
    #[serde(default)]
    pub workload: String,
    /// Result of the task; empty until the task has ended.
    #[serde(default)]
    pub result: String,
    /// Run time of the task in milliseconds; zero if it can't be decoded.
    #[serde(default, deserialize_with = "lenient::or_default")]
    pub ran_ms: u64,
}

/// How a worker stops a task or reduces its resource use.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StopMode {
    /// Saves a checkpoint of the task, then ends it.
    Checkpoint,
    /// Slows the task down.
    Throttle,
    /// Ends the task.
    Stop,
}

/// Body of `POST /stop`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StopRequest {
    /// Id of the task.
    pub id: WorkId,
    /// Fencing token of the sender's lease.
    pub fence: u64,
    /// How the task is stopped or slowed down.
    pub mode: StopMode,
}

/// Resource usage of a worker, reported with a delay.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerUsage {
    /// CPU time in use, in thousandths of a core.
    #[serde(default)]
    pub cpu_milli: u32,
    /// Memory in use, in MiB.
    #[serde(default)]
    pub memory_mib: u32,
}

/// JSON body of every error reply.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorBody {
    /// Short error code in snake case.
    pub code: String,
    /// Details for a human reader.
    pub message: String,
}
