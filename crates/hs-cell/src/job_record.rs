//! Progress of unfinished jobs as kept in the store.

use serde::{Deserialize, Serialize};

/// Progress of a job. Tasks that are not listed have never been placed.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct JobRecord {
    /// Number of the first occurrence that is not done.
    #[serde(default, rename = "o")]
    pub first_occurrence: u32,
    /// Workers that [`TaskPlace::Worker`] and [`LossRecord::worker`] refer to by index.
    #[serde(default, rename = "w", skip_serializing_if = "Vec::is_empty")]
    pub workers: Vec<WorkerIncarnation>,
    /// Steps that have made progress.
    #[serde(default, rename = "s")]
    pub steps: Vec<StepRecord>,
}

/// Upper bounds of the bytes that the parts of a record take in JSON, without texts and lists.
const MAX_WORKER_BYTES: usize = 48;
const MAX_STEP_BYTES: usize = 64;
const MAX_TASK_BYTES: usize = 112;
const MAX_CRASHES_BYTES: usize = 128;
const MAX_LOSS_BYTES: usize = 64;

/// Maximum number of bytes that a number in a list takes in JSON.
const MAX_NUMBER_BYTES: usize = 11;

/// Maximum number of bytes that a byte of a text takes in JSON.
const MAX_ESCAPED_BYTES: usize = 6;

impl JobRecord {
    /// Returns an upper bound of the length of the record in JSON, in bytes. It costs far less than the JSON.
    pub fn max_json_bytes(&self) -> usize {
        let workers = self.workers.iter();
        let workers = workers.map(|worker| MAX_WORKER_BYTES + worker.id.len() * MAX_ESCAPED_BYTES);
        let steps = self.steps.iter();
        let steps = steps.map(|step| {
            let tasks = step.tasks.iter().map(TaskRecord::max_json_bytes);
            MAX_STEP_BYTES + tasks.sum::<usize>()
        });
        MAX_STEP_BYTES + workers.sum::<usize>() + steps.sum::<usize>()
    }
}

impl TaskRecord {
    fn max_json_bytes(&self) -> usize {
        let crashes = self.crashes.as_ref();
        let crashes = crashes.map_or(0, |crashes| {
            MAX_CRASHES_BYTES + crashes.losses.len() * MAX_LOSS_BYTES
        });
        MAX_TASK_BYTES
            + self.checkpoint.len() * MAX_ESCAPED_BYTES
            + self.earlier_failed_runs.len() * MAX_NUMBER_BYTES
            + crashes
    }
}

/// Final outcome of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum JobOutcome {
    /// All tasks are done.
    Completed,
    /// A task, or a gang, reached the maximum number of failed runs, or too many workers crashed under a task.
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
    /// Numbers of the other failed runs that `failures` includes. Records of earlier versions lack them.
    #[serde(default, rename = "e", skip_serializing_if = "Vec::is_empty")]
    pub earlier_failed_runs: Vec<u32>,
    /// Last checkpoint; empty if there is none.
    #[serde(default, rename = "c", skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
    /// Crashes of workers under the task, if there were any.
    #[serde(default, rename = "h", skip_serializing_if = "Option::is_none")]
    pub crashes: Option<CrashRecord>,
}

/// Crashes of workers under a task.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CrashRecord {
    /// Number of crashes.
    #[serde(default, rename = "n", skip_serializing_if = "is_zero")]
    pub crashes: u32,
    /// Number of the crashes early in the run.
    #[serde(default, rename = "s", skip_serializing_if = "is_zero")]
    pub early_crashes: u32,
    /// Number of the early crashes in which nothing else ran on the worker.
    #[serde(default, rename = "a", skip_serializing_if = "is_zero")]
    pub alone_crashes: u32,
    /// Number of the last run that `crashes` includes. It prevents counting a crash twice.
    #[serde(default, rename = "l", skip_serializing_if = "is_zero")]
    pub last_crashed_run: u32,
    /// Longest time in milliseconds for which a run had lasted when its worker crashed.
    #[serde(default, rename = "m", skip_serializing_if = "is_zero")]
    pub longest_run_ms: u32,
    /// Whether the current run was placed alone on its worker.
    #[serde(default, rename = "e", skip_serializing_if = "std::ops::Not::not")]
    pub isolated: bool,
    /// Workers of which it is not known whether they have crashed.
    #[serde(default, rename = "u", skip_serializing_if = "Vec::is_empty")]
    pub losses: Vec<LossRecord>,
}

/// Worker whose lease expired while it may have run a task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LossRecord {
    /// Index of the worker in [`JobRecord::workers`].
    #[serde(rename = "w")]
    pub worker: u16,
    /// Whether nothing else ran on the worker.
    #[serde(default, rename = "a", skip_serializing_if = "std::ops::Not::not")]
    pub alone: bool,
    /// Number of the run.
    #[serde(rename = "r")]
    pub run: u32,
    /// Time in milliseconds for which the run had lasted.
    #[serde(default, rename = "m", skip_serializing_if = "is_zero")]
    pub lasted_ms: u32,
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
