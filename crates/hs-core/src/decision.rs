//! What the placer decides.

use std::time::Duration;

use hs_wire::NotRunReason;
use smallvec::SmallVec;

use crate::{WorkKey, WorkerKey};

/// One decision.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The work's tasks have room reserved, one worker for each task, and are to be started now.
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
    /// The work left its queue and will not be started. Its key is no longer valid.
    Refuse {
        /// The work.
        work: WorkKey,
        /// Tag of the request.
        tag: u64,
        /// Why.
        reason: NotRunReason,
        /// Time from submission to decision.
        waited: Duration,
    },
    /// The worker gets no work for a while, since its tasks fail.
    Eject {
        /// The worker.
        worker: WorkerKey,
        /// Length of the ejection.
        pause: Duration,
    },
    /// The worker takes work again after a successful probe.
    Readmit {
        /// The worker.
        worker: WorkerKey,
    },
}

/// How a placed task ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum TaskEnd {
    /// It ran and succeeded.
    Done,
    /// It ran and failed.
    Failed,
    /// The worker refused the start, or the start was never sent.
    Refused,
    /// It was stopped on request.
    Stopped,
}

/// What a cancellation found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CancelOutcome {
    /// The work was queued and will not start.
    Dequeued,
    /// The work holds room on these workers until [`crate::Placer::finish`] is called for each task.
    Running(SmallVec<[WorkerKey; 2]>),
    /// The key is not valid: the work has ended.
    Gone,
}
