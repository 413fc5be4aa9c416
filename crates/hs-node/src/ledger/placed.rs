//! A placed attempt and the outcome of its start request.

use hs_event::EventCode;
use hs_ledger::TaskKey;
use hs_wire::{TaskView, WorkId};

use super::resolve::PlacedWorker;
use crate::placer::TaskGrant;
use crate::port::PortError;

/// An attempt that was placed on a worker.
pub(super) struct PlacedTask {
    pub(super) task: TaskKey,
    pub(super) id: WorkId,
    pub(super) worker: PlacedWorker,
    pub(super) address: Option<String>,
    pub(super) fence: u64,
}

impl PlacedTask {
    /// Creates a placed attempt from the grant for its start.
    pub(super) fn granted(task: TaskKey, id: &WorkId, grant: &TaskGrant) -> Self {
        Self {
            task,
            id: id.clone(),
            worker: PlacedWorker {
                name: grant.worker.clone(),
                incarnation: grant.incarnation,
            },
            address: Some(grant.address.clone()),
            fence: grant.fence,
        }
    }
}

/// What is known about an attempt after its start request.
pub(super) enum StartOutcome {
    /// The worker knows the attempt, which runs or has ended.
    Acknowledged(TaskView),
    /// The attempt certainly did not start.
    NotStarted,
    /// The attempt certainly did not start, and the task must not be attempted again.
    Abandoned,
    /// The attempt may have started.
    Unknown,
}

impl StartOutcome {
    /// Classifies the result of a start request, and logs a failure.
    pub(super) fn from_result(placed: &PlacedTask, result: Result<TaskView, PortError>) -> Self {
        match result {
            Ok(view) => Self::Acknowledged(view),
            Err(error) if error.had_no_effect() => {
                EventCode::StartRefused.log(format_args!(
                    "task={} worker={} cause={error}",
                    placed.id, placed.worker.name
                ));
                Self::NotStarted
            }
            Err(error) => {
                EventCode::StartUnknown.log(format_args!(
                    "task={} worker={} cause={error}",
                    placed.id, placed.worker.name
                ));
                Self::Unknown
            }
        }
    }
}
