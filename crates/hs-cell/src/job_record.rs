//! What the store keeps of an unfinished job beside its spec.

use serde::{Deserialize, Serialize};

/// Progress of a job. Tasks that aren't named have never been placed.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct JobRecord {
    /// Occurrences before this one are done.
    #[serde(default, rename = "o")]
    pub first_occurrence: u32,
    /// Workers that `tasks` name by their position.
    #[serde(default, rename = "w", skip_serializing_if = "Vec::is_empty")]
    pub workers: Vec<WorkerIncarnation>,
    /// Steps with progress.
    #[serde(default, rename = "s")]
    pub steps: Vec<StepRecord>,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum JobOutcome {
    /// All tasks are done.
    Completed,
    /// A task, or a gang, failed too often.
    Failed,
    /// The client cancelled it.
    Cancelled,
}

/// One life of a worker: its id and its start.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct WorkerIncarnation {
    /// Id of the worker.
    #[serde(rename = "i")]
    pub id: String,
    /// Start of the worker's process in Unix milliseconds.
    #[serde(rename = "b")]
    pub started_ms: u64,
}

/// Progress of a step of an occurrence.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StepRecord {
    /// Number of the occurrence.
    #[serde(rename = "k")]
    pub occurrence: u32,
    /// Number of the step.
    #[serde(rename = "n")]
    pub step: u16,
    /// Whether all tasks are done; `tasks` is empty then.
    #[serde(default, rename = "d", skip_serializing_if = "std::ops::Not::not")]
    pub done: bool,
    /// Tasks with progress.
    #[serde(default, rename = "t", skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<TaskRecord>,
}

/// Progress of a task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskRecord {
    /// Number of the task.
    #[serde(rename = "i")]
    pub index: u16,
    /// Where the task stands.
    #[serde(rename = "p")]
    pub place: TaskPlace,
    /// Number of the last run; 0 if there was none.
    #[serde(rename = "r")]
    pub run: u32,
    /// Number of failed runs.
    #[serde(default, rename = "f", skip_serializing_if = "is_zero")]
    pub failures: u32,
    /// Last failed run that `failures` counts; its end may be listed again after a takeover.
    #[serde(default, rename = "l", skip_serializing_if = "is_zero")]
    pub failed_run: u32,
    /// Last checkpoint; empty if there is none.
    #[serde(default, rename = "c", skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
}

/// Where a recorded task stands.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TaskPlace {
    /// It waits for a worker.
    #[serde(rename = "q")]
    Waiting,
    /// It may run on the worker at this position of [`JobRecord::workers`].
    #[serde(rename = "w")]
    Worker(u16),
    /// It is done.
    #[serde(rename = "d")]
    Done,
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}
