//! Messages to the placer task.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Instant;

use hs_core::TaskEnd;
use hs_peer::message::HeldTask;
use hs_wire::{LeaseGrant, NotRunReason, TaskView, WorkId};
use tokio::sync::oneshot;

use super::{PlaceRefusal, PlacerStatus, TaskGrant};
use crate::manifest::ManifestView;

/// How to place work that does not fit at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlaceMode {
    /// All tasks are placed at once, or the request is refused.
    Immediate,
    /// The first tasks that fit are placed at once and independently of each other; the rest is not
    /// placed.
    Partial,
    /// The work waits in the queue until its deadline.
    Queued,
}

/// A request for capacity for the tasks of one piece of work.
#[derive(Clone, Debug)]
pub struct PlaceRequest {
    /// Customer that the work is accounted to.
    pub customer: String,
    /// Name of the workload.
    pub workload: String,
    /// Id of each task; more than one task makes a gang.
    pub tasks: Vec<WorkId>,
    /// Time after which a start is no longer useful.
    pub deadline: Option<Instant>,
    /// Whether the work may wait in the queue or be placed in part.
    pub mode: PlaceMode,
}

impl PlaceRequest {
    /// Returns the number of tasks. Each needs an id of its own, by which it is released.
    pub(super) fn task_count(&self) -> Result<u16, NotRunReason> {
        match u16::try_from(self.tasks.len()) {
            Ok(1) => Ok(1),
            Ok(count @ 2..) if self.has_distinct_tasks() => Ok(count),
            Ok(_) | Err(_) => Err(NotRunReason::Malformed),
        }
    }

    fn has_distinct_tasks(&self) -> bool {
        let distinct: HashSet<&WorkId> = self.tasks.iter().collect();
        distinct.len() == self.tasks.len()
    }
}

/// State of a leased worker, reported when its lease is acquired or renewed or its draining flag
/// changes.
#[derive(Clone, Debug)]
pub struct WorkerReport {
    /// Name of the worker.
    pub name: String,
    /// Rack of the worker.
    pub rack: String,
    /// Address of the worker.
    pub address: String,
    /// Whether the VM list or the manifest marks the worker as draining, so that it gets no new
    /// work.
    pub draining: bool,
    /// Most recent lease grant of the worker.
    pub grant: LeaseGrant,
}

/// A message to the placer task.
#[derive(Debug)]
pub enum PlacerMessage {
    /// Reserves capacity.
    Place {
        /// The work to place.
        request: PlaceRequest,
        /// Receives one grant for each placed task. If the receiver is dropped, the capacity is
        /// released.
        reply: oneshot::Sender<Result<Vec<TaskGrant>, PlaceRefusal>>,
    },
    /// Cancels work that waits in the queue.
    CancelQueued {
        /// Id of the first task of the work.
        task: WorkId,
    },
    /// Releases the capacity that tasks hold.
    Release {
        /// The tasks, each with how it ended.
        ends: Vec<(WorkId, TaskEnd)>,
    },
    /// Charges another start to the retry budget, if the budget allows it.
    TryRetry {
        /// Receives whether the start is allowed.
        reply: oneshot::Sender<bool>,
    },
    /// Adds a worker whose lease was acquired, or replaces it. Its grant lists the running
    /// tasks.
    WorkerAdded {
        /// State of the worker.
        report: WorkerReport,
    },
    /// Updates a worker whose lease was renewed or whose draining flag changed.
    WorkerUpdated {
        /// State of the worker.
        report: WorkerReport,
    },
    /// Removes a worker whose lease was lost or released.
    WorkerRemoved {
        /// Name of the worker.
        name: String,
    },
    /// Requests the reservations of a worker whose tasks are due to be queried.
    DueQuery {
        /// Name of the worker.
        name: String,
        /// Receives the tasks to query, or `None` if there is no such worker.
        reply: oneshot::Sender<Option<TaskQuery>>,
    },
    /// Reports what a worker answered to a query about tasks.
    QueryAnswered {
        /// Name of the worker.
        name: String,
        /// The tasks that the query named.
        queried: Vec<WorkId>,
        /// Whether the same call raised the fencing token.
        fence_raised: bool,
        /// Those of the tasks that the worker knows.
        known: Vec<TaskView>,
    },
    /// Applies a manifest.
    Manifest {
        /// The manifest.
        view: Arc<ManifestView>,
        /// Number of live entry processes in the data centre.
        members: u32,
    },
    /// Requests the tasks that hold capacity and whose id starts with a prefix.
    HeldTasks {
        /// Prefix of the task ids.
        prefix: String,
        /// Receives the tasks.
        reply: oneshot::Sender<Vec<HeldTask>>,
    },
    /// Requests the status of the placer.
    Status {
        /// Receives the status.
        reply: oneshot::Sender<PlacerStatus>,
    },
}

/// A query to a worker about the tasks of reservations.
#[derive(Clone, Debug, Default)]
pub struct TaskQuery {
    /// Tasks that the worker is asked about.
    pub tasks: Vec<WorkId>,
    /// Whether the query has to raise the fencing token, because the worker did not know one of the
    /// tasks at the previous query and the reservation is old enough to be released.
    pub raise_fence: bool,
}
