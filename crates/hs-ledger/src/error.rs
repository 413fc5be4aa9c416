//! Errors of the ledger.

use thiserror::Error;

use crate::{TaskKey, TaskState};

/// A store value that is no partition.
#[derive(Debug, Error)]
pub enum ImageError {
    /// The value is not a partition document.
    #[error("ledger value cannot be read: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The value is larger than the store's limit.
    #[error("ledger value has {size} bytes, more than the limit of {limit}")]
    TooLarge {
        /// Size in bytes.
        size: usize,
        /// Limit in bytes.
        limit: usize,
    },
}

/// A change that the record's state forbids. The record is unchanged.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum ChangeError {
    /// The record is not in this partition, or has expired.
    #[error("no such record in the ledger partition")]
    NoRecord,
    /// The partition belongs to another owner now.
    #[error("the ledger partition is owned by another process")]
    NotOwner,
    /// The record has no such task.
    #[error("the record has no task {0}")]
    NoTask(u32),
    /// The task has moved on to a later attempt, or the attempt does not exist yet.
    #[error("task {} is not at attempt {}", .0.task, .0.attempt)]
    OtherAttempt(TaskKey),
    /// The task's state does not allow the change.
    #[error("task in state {from:?} cannot become {to:?}")]
    Forbidden {
        /// State of the task.
        from: TaskState,
        /// Requested state.
        to: TaskState,
    },
    /// The worker's name takes more room than the store value reserves for it.
    #[error("the worker's name is longer than {limit} bytes in JSON", limit = crate::size::WORKER_BYTES)]
    WorkerName,
    /// The record has its final outcome.
    #[error("the record has its final outcome")]
    Closed,
}
