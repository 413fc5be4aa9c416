//! One task of a record.

use serde::{Deserialize, Serialize};

/// State of a task.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum TaskState {
    /// The current attempt has not been placed.
    #[default]
    #[serde(rename = "w")]
    Waiting,
    /// The current attempt was placed on a worker; its start may have been sent.
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
    /// The task may have run.
    #[serde(rename = "u")]
    Unknown,
    /// The caller cancelled the task; it was stopped if it had started.
    #[serde(rename = "c")]
    Cancelled,
}

impl TaskState {
    /// Returns whether the state can still change.
    pub fn is_open(self) -> bool {
        matches!(self, Self::Waiting | Self::Placed)
    }

    /// Returns whether this is the state of a new task. Such a state is left out of the store value.
    pub(crate) fn is_waiting(&self) -> bool {
        *self == Self::Waiting
    }
}

/// Names one attempt of one task of a record.
///
/// Changes name the attempt so that a late or repeated report about an earlier attempt cannot touch
/// the current one.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskKey {
    /// Index of the task in its record.
    pub task: u32,
    /// Attempt, from zero.
    pub attempt: u32,
}

/// Why an attempt ended without a result and may be followed by another.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RetryCause {
    /// The attempt certainly did not run: its start was never sent, refused or fenced.
    NotRun,
    /// The attempt ran and was stopped. Only a repeatable task may be attempted again.
    Stopped,
}

/// One task of a record.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LedgerTask {
    /// State of the current attempt.
    #[serde(rename = "s", default, skip_serializing_if = "TaskState::is_waiting")]
    pub state: TaskState,
    /// Current attempt, from zero.
    #[serde(rename = "a", default, skip_serializing_if = "is_zero_u32")]
    pub attempt: u32,
    /// Worker of the last placement; empty before the first.
    #[serde(rename = "w", default, skip_serializing_if = "String::is_empty")]
    pub worker: String,
    /// Wall time of the last placement in milliseconds; zero before the first.
    #[serde(rename = "p", default, skip_serializing_if = "is_zero_u64")]
    pub placed_ms: u64,
    /// Result, at most its first 4 KB.
    #[serde(rename = "r", default, skip_serializing_if = "String::is_empty")]
    pub result: String,
    /// Whether `result` is only the beginning of the result.
    #[serde(rename = "t", default, skip_serializing_if = "is_false")]
    pub truncated: bool,
    /// Whether an attempt has run. Such a task can no longer end as not run.
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    pub has_run: bool,
}

impl LedgerTask {
    /// Ends the task without a run of the current attempt. If an earlier attempt has run, the task
    /// has failed.
    pub(crate) fn close_not_run(&mut self) {
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
