//! Tasks of a record.

use serde::{Deserialize, Serialize};

/// State of a task.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum TaskState {
    /// The current attempt has not been placed on a worker.
    #[default]
    #[serde(rename = "w")]
    Waiting,
    /// The current attempt was placed on a worker and may have been started.
    #[serde(rename = "p")]
    Placed,
    /// The task ran and succeeded.
    #[serde(rename = "d")]
    Done,
    /// The task ran and failed.
    #[serde(rename = "f")]
    Failed,
    /// The task did not run and will not run.
    #[serde(rename = "n")]
    NotRun,
    /// It is unknown whether the task ran.
    #[serde(rename = "u")]
    Unknown,
    /// The task was cancelled at the request of the caller. If it had started, it was stopped.
    #[serde(rename = "c")]
    Cancelled,
}

impl TaskState {
    /// Returns whether the task has not ended.
    pub fn is_open(self) -> bool {
        matches!(self, Self::Waiting | Self::Placed)
    }

    /// Returns whether this is the initial state, which is omitted from the store value.
    pub(crate) fn is_waiting(&self) -> bool {
        *self == Self::Waiting
    }
}

/// Identifies an attempt of a task within its record.
///
/// Every change of a task names the attempt, so that a late or repeated report about an earlier
/// attempt does not affect the current one.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskKey {
    /// Index of the task in its record.
    pub task: u32,
    /// Number of the attempt, from zero.
    pub attempt: u32,
}

/// Reason for which an attempt ended without a result, so that the task may be attempted again.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RetryCause {
    /// The attempt certainly did not run: its start was never sent, was refused by the worker, or
    /// was rejected because of its fencing token.
    NotRun,
    /// The attempt ran and was stopped. Only a repeatable task may be attempted again.
    Stopped,
}

/// Task of a record.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LedgerTask {
    /// State of the current attempt.
    #[serde(rename = "s", default, skip_serializing_if = "TaskState::is_waiting")]
    pub state: TaskState,
    /// Number of the current attempt, from zero.
    #[serde(rename = "a", default, skip_serializing_if = "is_zero_u32")]
    pub attempt: u32,
    /// Worker on which the task was placed; empty if the current attempt was never placed.
    #[serde(rename = "w", default, skip_serializing_if = "String::is_empty")]
    pub worker: String,
    /// Wall-clock time of the placement in milliseconds; zero if the current attempt was never
    /// placed.
    #[serde(rename = "p", default, skip_serializing_if = "is_zero_u64")]
    pub placed_ms: u64,
    /// Result that the worker reported, at most its first 4 KB.
    #[serde(rename = "r", default, skip_serializing_if = "String::is_empty")]
    pub result: String,
    /// Whether `result` is only the beginning of the result.
    #[serde(rename = "t", default, skip_serializing_if = "is_false")]
    pub truncated: bool,
    /// Whether an attempt ran and was stopped. Such a task can no longer end as not run.
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    pub has_run: bool,
}

impl LedgerTask {
    /// Ends the task when its current attempt did not run: as failed if an earlier attempt has run,
    /// else as not run.
    pub(crate) fn end_not_run(&mut self) {
        self.state = match self.has_run {
            true => TaskState::Failed,
            false => TaskState::NotRun,
        };
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes the field by reference"
)]
pub(crate) fn is_zero_u32(number: &u32) -> bool {
    *number == 0
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes the field by reference"
)]
pub(crate) fn is_zero_u64(number: &u64) -> bool {
    *number == 0
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes the field by reference"
)]
pub(crate) fn is_false(flag: &bool) -> bool {
    !*flag
}
