//! One placed attempt and the state of its start.

use hs_event::EventCode;
use hs_ledger::TaskKey;
use hs_wire::{TaskView, WorkId};

use super::fate::PlacedWorker;
use crate::placer::TaskGrant;
use crate::port::PortError;

/// One attempt that was placed.
pub(super) struct PlacedTask {
    pub(super) task: TaskKey,
    pub(super) id: WorkId,
    pub(super) worker: PlacedWorker,
    pub(super) address: Option<String>,
    pub(super) fence: u64,
}

impl PlacedTask {
    /// Builds an attempt from the grant for its start.
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

/// What is known after a start was sent.
pub(super) enum StartState {
    /// The worker runs it, or has ended it.
    Known(TaskView),
    /// It certainly did not start.
    Refused,
    /// It certainly did not start, and shall not be attempted again.
    GivenUp,
    /// It may have started.
    Unclear,
}

impl StartState {
    /// Sorts the result of a start.
    pub(super) fn of(placed: &PlacedTask, result: Result<TaskView, PortError>) -> Self {
        match result {
            Ok(view) => Self::Known(view),
            Err(error) if error.had_no_effect() => {
                EventCode::StartRefused.log(format_args!(
                    "task={} worker={} cause={error}",
                    placed.id, placed.worker.name
                ));
                Self::Refused
            }
            Err(error) => {
                EventCode::StartUnknown.log(format_args!(
                    "task={} worker={} cause={error}",
                    placed.id, placed.worker.name
                ));
                Self::Unclear
            }
        }
    }
}
