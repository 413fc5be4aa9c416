//! Effects that the owner of a cell has to execute, and batches that it has to commit.

use std::sync::Arc;
use std::time::Instant;

use hs_share::JobClass;

use crate::job_end::{JobEnd, MAX_STOPPING_RUN_BYTES};
use crate::job_record::JobRecord;
use crate::queue_spec::AdviceSpec;
use crate::{JobId, StepId, TaskId, WorkerKey};

/// One run of a task.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskRun {
    /// ID of the task.
    pub task: TaskId,
    /// One-based number of the run.
    pub run: u32,
}

/// Order to start a run on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// Run to start.
    pub run: TaskRun,
    /// Opaque input of the job.
    pub input: Arc<str>,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
    /// Ticket that permits the worker to run the step, if the queue requires one.
    pub ticket: Option<Arc<str>>,
}

/// Request to the advice service for the workers that may run a step.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceRequest {
    /// Step to place.
    pub step: StepId,
    /// Workers that the request names.
    pub workers: Vec<WorkerKey>,
    /// Cost of advice requests of the queue.
    pub spec: AdviceSpec,
    /// Class of the job. Requests of owed jobs are sent first.
    pub class: JobClass,
    /// Priority of the queue; 0 is the highest.
    pub priority: u8,
    /// Latest start time with which the job can meet its objective.
    pub start_by: Instant,
}

/// Action that the owner executes outside the cell.
#[derive(Clone, Debug, PartialEq)]
pub enum CellEffect {
    /// Send the start order to the worker.
    Start(WorkerKey, StartOrder),
    /// Stop the run, and repeat the request until the worker answers. Without a link to the worker nothing is to be
    /// done: the cell orders the stop again after the next report of the worker.
    Stop(WorkerKey, TaskRun),
    /// Ask the advice service which workers may run a step.
    Advise(AdviceRequest),
    /// Acknowledge the ends up to this number, none of which waits for a commit any more.
    Acknowledge(WorkerKey, u64),
    /// Drop all state of the worker, which the cell has removed.
    Forget(WorkerKey),
    /// Log the event and count it.
    Report(CrashEvent),
    /// Log that the run is released.
    Release(ReleasedRun),
}

/// Event in the search for the tasks that crash workers.
#[derive(Clone, Debug, PartialEq)]
pub enum CrashEvent {
    /// A worker has crashed under a run.
    WorkerCrashed {
        /// ID of the worker.
        worker: Arc<str>,
        /// Run that the worker had.
        run: TaskRun,
        /// Whether nothing else ran on the worker.
        alone: bool,
    },
    /// A task is suspected of crashing workers, and runs alone from now on.
    TaskSuspected {
        /// Task that is suspected.
        task: TaskId,
        /// Number of crashes so far.
        crashes: u32,
    },
    /// A task is not suspected any more, since it has run for long enough.
    TaskCleared {
        /// Task that was suspected.
        task: TaskId,
    },
    /// A task is not started again, and its job has failed.
    TaskGivenUp {
        /// Task that crashed workers.
        task: TaskId,
        /// Number of crashes.
        crashes: u32,
        /// Number of crashes in which nothing else ran on the worker.
        alone: u32,
    },
}

/// Run that is released because the lease of its worker has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct ReleasedRun {
    /// ID of the worker.
    pub worker: Arc<str>,
    /// Start of the incarnation, in Unix milliseconds.
    pub started_ms: u64,
    /// Run that may be started elsewhere from now on.
    pub run: TaskRun,
    /// Time at which this owner sent the last renewal, if it has renewed the lease.
    pub renewed_at: Option<Instant>,
    /// What the end of the run follows from.
    pub counted_by: LeaseSource,
}

/// What the time follows from until which a run counts as going on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseSource {
    /// The last renewal, or the leases that earlier owners may have granted.
    Renewal,
    /// The longest lease that a call for another incarnation may have brought about.
    StaleCall,
    /// The longest lease of an incarnation that may have taken the start.
    UnconfirmedStart,
}

/// Upper bound of the bytes that a row takes in a segment beside its record, with the name of a team.
const MAX_ROW_BYTES: usize = 512;

/// Change of a job to be written to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordRow {
    /// Current progress of an unfinished job.
    Progress(JobId, JobRecord),
    /// End of a job.
    Finished(JobId, JobEnd),
}

impl RecordRow {
    /// Returns the job that has changed.
    pub fn job(&self) -> JobId {
        match self {
            Self::Progress(id, _) | Self::Finished(id, _) => *id,
        }
    }

    /// Returns the number of tasks that the row lists, which determines its size.
    pub fn task_count(&self) -> usize {
        match self {
            Self::Progress(_, record) => record.steps.iter().map(|step| step.tasks.len()).sum(),
            Self::Finished(..) => 0,
        }
    }

    /// Returns an upper bound of the bytes that the row takes in the store.
    pub fn max_bytes(&self) -> usize {
        match self {
            Self::Progress(_, record) => record.max_json_bytes() + MAX_ROW_BYTES,
            Self::Finished(_, end) => end.stopping.len() * MAX_STOPPING_RUN_BYTES + MAX_ROW_BYTES,
        }
    }
}

/// Changes to be written in one transaction, with the starts and ends that wait for the commit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CellBatch {
    /// Changes, one for each job.
    pub rows: Vec<RecordRow>,
    pub(crate) starts: Vec<(WorkerKey, TaskRun)>,
    /// Ends by the jobs whose rows record them.
    pub(crate) ends: Vec<(JobId, WorkerKey, u64)>,
}

impl CellBatch {
    /// Returns whether the batch holds no changes.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the jobs whose outcomes the batch holds.
    pub fn finished(&self) -> impl Iterator<Item = JobId> + '_ {
        self.rows.iter().filter_map(|row| match row {
            RecordRow::Finished(id, _) => Some(*id),
            RecordRow::Progress(..) => None,
        })
    }
}
