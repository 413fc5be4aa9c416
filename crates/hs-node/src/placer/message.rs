//! Messages to the placer task.

use std::sync::Arc;
use std::time::Instant;

use hs_core::TaskEnd;
use hs_peer::message::HeldTask;
use hs_wire::{LeaseGrant, TaskView, WorkId};
use tokio::sync::oneshot;

use super::{PlaceRefusal, PlacerStatus, TaskGrant};
use crate::manifest::ManifestView;

/// Whether work may wait for room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlaceMode {
    /// It is placed at once or refused.
    Immediate,
    /// As many of its first tasks as there is room for are placed at once, each for itself.
    Partial,
    /// It waits in the queue until its deadline.
    Queued,
}

/// Work that needs room.
#[derive(Clone, Debug)]
pub struct PlaceRequest {
    /// The customer that it is accounted to.
    pub customer: String,
    /// Name of the workload.
    pub workload: String,
    /// Identity of each task; several make a gang.
    pub tasks: Vec<WorkId>,
    /// Time after which a start is of no use.
    pub deadline: Option<Instant>,
    /// Whether it may wait.
    pub mode: PlaceMode,
}

/// A worker whose lease was taken, renewed with changes, or asked about tasks.
#[derive(Clone, Debug)]
pub struct WorkerReport {
    /// Name of the worker.
    pub name: String,
    /// Rack of the worker.
    pub rack: String,
    /// Address of the worker.
    pub address: String,
    /// Whether the VM list or the manifest says that it takes no new work.
    pub draining: bool,
    /// The grant.
    pub grant: LeaseGrant,
}

/// One message to the placer task.
#[derive(Debug)]
pub enum PlacerMessage {
    /// Reserves room.
    Place {
        /// What needs room.
        request: PlaceRequest,
        /// Where the grants go, one for each task. If the receiver is gone, the room is freed.
        reply: oneshot::Sender<Result<Vec<TaskGrant>, PlaceRefusal>>,
    },
    /// Takes queued work out of its queue.
    Withdraw {
        /// Identity of its first task.
        task: WorkId,
    },
    /// Frees the room of tasks.
    Release {
        /// The tasks and how they ended.
        ends: Vec<(WorkId, TaskEnd)>,
    },
    /// Asks whether the retry budget allows another start.
    TryRetry {
        /// Where the answer goes.
        reply: oneshot::Sender<bool>,
    },
    /// The lease of a worker was taken; its running tasks are in the grant.
    WorkerAdded {
        /// The worker.
        report: WorkerReport,
    },
    /// The lease of a worker was renewed.
    WorkerUpdated {
        /// The worker.
        report: WorkerReport,
    },
    /// The lease of a worker was lost or given up.
    WorkerRemoved {
        /// Name of the worker.
        name: String,
    },
    /// Asks which reservations of a worker are due for a query.
    DueQuery {
        /// Name of the worker.
        name: String,
        /// Where the tasks go.
        reply: oneshot::Sender<TaskQuery>,
    },
    /// Says what the worker answered about suspects.
    QueryAnswered {
        /// Name of the worker.
        name: String,
        /// The tasks that were asked for.
        queried: Vec<WorkId>,
        /// Whether the fence was raised in the same call.
        fence_raised: bool,
        /// The tasks that the worker knows.
        known: Vec<TaskView>,
    },
    /// Puts a manifest in force.
    Manifest {
        /// The manifest.
        view: Arc<ManifestView>,
        /// Number of live entry processes in the data centre.
        members: u32,
    },
    /// Asks for the tasks that hold room and whose id begins with a prefix.
    HeldTasks {
        /// The prefix.
        prefix: String,
        /// Where they go.
        reply: oneshot::Sender<Vec<HeldTask>>,
    },
    /// Asks for a summary.
    Status {
        /// Where it goes.
        reply: oneshot::Sender<PlacerStatus>,
    },
}

/// Reservations that a worker is to be asked about.
#[derive(Clone, Debug, Default)]
pub struct TaskQuery {
    /// The tasks.
    pub tasks: Vec<WorkId>,
    /// Whether one of them was unknown to the worker before and is old enough for a raised fence.
    pub raise_fence: bool,
}
