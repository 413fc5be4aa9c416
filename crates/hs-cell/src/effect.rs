//! What a cell asks its owner to do.

use std::sync::Arc;
use std::time::Instant;

use crate::job_record::{JobOutcome, JobRecord};
use crate::queue_spec::AdviceSpec;
use crate::{JobId, StepId, TaskId, WorkerKey};

/// One run of a task.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskRun {
    /// The task.
    pub task: TaskId,
    /// Number of the run, from 1.
    pub run: u32,
}

/// A start to be sent to a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// The run.
    pub run: TaskRun,
    /// Input of the job.
    pub input: Arc<str>,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
    /// Ticket that allows the worker to run the step.
    pub ticket: Option<Arc<str>>,
}

/// A call for advice.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceRequest {
    /// The step.
    pub step: StepId,
    /// Workers to ask about.
    pub workers: Vec<WorkerKey>,
    /// What calls cost.
    pub spec: AdviceSpec,
    /// Priority of the queue; 0 comes first.
    pub priority: u8,
    /// Latest start that meets the objective of the job.
    pub start_by: Instant,
}

/// Something to do outside the cell.
#[derive(Clone, Debug, PartialEq)]
pub enum CellEffect {
    /// Send a start.
    Start(WorkerKey, StartOrder),
    /// Stop a run, and repeat that until the worker answers.
    Stop(WorkerKey, TaskRun),
    /// Ask which workers may run a step.
    Advise(AdviceRequest),
    /// Ends of this worker up to the number are recorded and may be acknowledged.
    Acknowledge(WorkerKey, u64),
    /// The worker has left and holds nothing any more.
    Forget(WorkerKey),
}

/// A change to be written to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordRow {
    /// Progress of an unfinished job.
    Progress(JobId, JobRecord),
    /// End of a job.
    Finished(JobId, JobOutcome),
}

impl RecordRow {
    /// Returns the number of tasks that the row names, which determines its size.
    pub fn task_count(&self) -> usize {
        match self {
            Self::Progress(_, record) => record.steps.iter().map(|step| step.tasks.len()).sum(),
            Self::Finished(..) => 0,
        }
    }
}

/// Changes to be written in one transaction.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CellBatch {
    /// The changes.
    pub rows: Vec<RecordRow>,
    pub(crate) starts: Vec<(WorkerKey, TaskRun)>,
    pub(crate) ends: Vec<(WorkerKey, u64)>,
}

impl CellBatch {
    /// Returns whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the jobs whose ends the changes hold.
    pub fn finished(&self) -> impl Iterator<Item = JobId> + '_ {
        self.rows.iter().filter_map(|row| match row {
            RecordRow::Finished(id, _) => Some(*id),
            RecordRow::Progress(..) => None,
        })
    }
}
