//! State of one piece of work.

use std::time::Instant;

use smallvec::SmallVec;

use crate::band_queue::LaneKey;
use crate::{WorkRequest, WorkerKey};

/// One queued or running piece of work.
#[derive(Debug)]
pub(crate) struct WorkRecord {
    /// The request.
    pub(crate) request: WorkRequest,
    /// Time of submission.
    pub(crate) submitted: Instant,
    /// Order of submission.
    pub(crate) sequence: u64,
    /// Number of drain reservations that ended without a start.
    pub(crate) drains: u8,
    /// Where it stands.
    pub(crate) stage: WorkStage,
}

/// Where a piece of work stands.
#[derive(Debug)]
pub(crate) enum WorkStage {
    /// It waits in a lane; the baseline's single queue has none.
    Queued(Option<LaneKey>),
    /// Its tasks hold room since a time; a task that has ended holds none.
    Running {
        /// The worker of each task that has not ended.
        workers: SmallVec<[Option<WorkerKey>; 2]>,
        /// Time of the decision.
        since: Instant,
        /// Whether it was reported as a straggler.
        straggler: bool,
    },
}

impl WorkRecord {
    /// Returns whether the work waits.
    pub(crate) fn is_queued(&self) -> bool {
        matches!(self.stage, WorkStage::Queued(_))
    }
}
