//! Outputs of the placer.

use std::time::Duration;

use hs_wire::NotRunReason;
use smallvec::SmallVec;

use crate::{WorkKey, WorkerKey};

/// A decision that the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Start the tasks of the work now. Capacity is allocated on one worker for each task.
    Place {
        /// The work.
        work: WorkKey,
        /// Tag of the request.
        tag: u64,
        /// The worker of each task.
        workers: SmallVec<[WorkerKey; 2]>,
        /// Time from submission to decision.
        waited: Duration,
    },
    /// Reject the work. It left its queue and will not be started, and its key is no longer valid.
    Refuse {
        /// The work.
        work: WorkKey,
        /// Tag of the request.
        tag: u64,
        /// Why the work is not run.
        reason: NotRunReason,
        /// Time from submission to decision.
        waited: Duration,
    },
    /// The worker gets no new work for some time because its tasks fail.
    Eject {
        /// The worker.
        worker: WorkerKey,
        /// Duration of the ejection.
        pause: Duration,
    },
    /// The worker gets new work again, after a successful probe or because too many workers are
    /// ejected.
    Readmit {
        /// The worker.
        worker: WorkerKey,
    },
}

/// How a placed task ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum TaskEnd {
    /// The task ran and succeeded.
    Done,
    /// The task ran and failed.
    Failed,
    /// The worker refused to start the task, or the start request was never sent.
    Refused,
    /// The task was stopped on request.
    Stopped,
}

/// Result of [`crate::Placer::cancel`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CancelOutcome {
    /// The work was removed from its queue and will not start.
    Dequeued,
    /// The work is running on these workers. It keeps its capacity until [`crate::Placer::finish`]
    /// is called for each task.
    Running(SmallVec<[WorkerKey; 2]>),
    /// The key is no longer valid because the work has ended.
    Gone,
}
