//! Progress of unfinished jobs as kept in the store.

use serde::{Deserialize, Serialize};

/// Progress of a job. Tasks that are not listed have never been placed.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct JobRecord {
    /// Number of the first occurrence that is not done.
    #[serde(default, rename = "o")]
    pub first_occurrence: u32,
    /// Workers that [`TaskPlace::Worker`] refers to by index.
    #[serde(default, rename = "w", skip_serializing_if = "Vec::is_empty")]
    pub workers: Vec<WorkerIncarnation>,
    /// Steps that have made progress.
    #[serde(default, rename = "s")]
    pub steps: Vec<StepRecord>,
}

/// Final outcome of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum JobOutcome {
    /// All tasks are done.
    Completed,
    /// A task, or a gang, reached the maximum number of failed runs.
    Failed,
    /// The client cancelled the job.
    Cancelled,
}

/// Incarnation of a worker, identified by the worker ID and the start time of the process.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct WorkerIncarnation {
    /// ID of the worker.
    #[serde(rename = "i")]
    pub id: String,
    /// Start time of the worker process in Unix milliseconds.
    #[serde(rename = "b")]
    pub started_ms: u64,
}

/// Progress of a step of an occurrence.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StepRecord {
    /// Zero-based number of the occurrence.
    #[serde(rename = "k")]
    pub occurrence: u32,
    /// Zero-based number of the step.
    #[serde(rename = "n")]
    pub step: u16,
    /// Whether all tasks are done, in which case `tasks` is empty.
    #[serde(default, rename = "d", skip_serializing_if = "std::ops::Not::not")]
    pub done: bool,
    /// Tasks that have been placed at least once.
    #[serde(default, rename = "t", skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<TaskRecord>,
}

/// Progress of a task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskRecord {
    /// Zero-based number of the task.
    #[serde(rename = "i")]
    pub index: u16,
    /// Whether the task waits, is placed or is done.
    #[serde(rename = "p")]
    pub place: TaskPlace,
    /// Number of the last run; 0 if the task has never been placed.
    #[serde(rename = "r")]
    pub run: u32,
    /// Number of failed runs.
    #[serde(default, rename = "f", skip_serializing_if = "is_zero")]
    pub failures: u32,
    /// Number of the last failed run that `failures` includes. It prevents counting the failure twice, since
    /// workers may report the end again after a takeover.
    #[serde(default, rename = "l", skip_serializing_if = "is_zero")]
    pub last_failed_run: u32,
    /// Last checkpoint; empty if there is none.
    #[serde(default, rename = "c", skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
}

/// Recorded placement of a task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TaskPlace {
    /// The task waits for a worker.
    #[serde(rename = "q")]
    Waiting,
    /// The task may be running on the worker at this index of [`JobRecord::workers`].
    #[serde(rename = "w")]
    Worker(u16),
    /// The task is done.
    #[serde(rename = "d")]
    Done,
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}
