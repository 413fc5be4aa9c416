//! State of one work item.

use std::time::Instant;

use smallvec::SmallVec;

use crate::shape_queue::LaneKey;
use crate::{WorkRequest, WorkerKey};

/// A queued or running work item.
#[derive(Debug)]
pub(crate) struct WorkRecord {
    /// The request as submitted.
    pub(crate) request: WorkRequest,
    /// Time of submission or adoption.
    pub(crate) submitted: Instant,
    /// Sequence number in order of submission or adoption.
    pub(crate) sequence: u64,
    /// Number of reservations for the work that could not be planned, or that expired or were ended
    /// by the quota before the work started.
    pub(crate) failed_reservations: u8,
    /// Whether the work is queued or running.
    pub(crate) stage: WorkStage,
}

/// Stage of a work item.
#[derive(Debug)]
pub(crate) enum WorkStage {
    /// The work is queued in a lane. The single queue of the baseline mode has no lanes.
    Queued(Option<LaneKey>),
    /// At least one task of the work holds resources.
    Running {
        /// The worker of each task by task index; `None` for a task that has ended.
        workers: SmallVec<[Option<WorkerKey>; 2]>,
        /// Time of the decision to place the work.
        placed_at: Instant,
        /// Whether the work was reported as a straggler.
        straggler_reported: bool,
    },
}

impl WorkRecord {
    /// Returns whether the work is queued.
    pub(crate) fn is_queued(&self) -> bool {
        matches!(self.stage, WorkStage::Queued(_))
    }
}
