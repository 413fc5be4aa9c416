//! Errors of the ledger.

use thiserror::Error;

use crate::{TaskKey, TaskState};

/// Error of decoding or encoding the store value of a partition.
#[derive(Debug, Error)]
pub enum ImageError {
    /// The value is not the JSON document of a partition.
    #[error("cannot parse ledger value: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The value is larger than the store's limit.
    #[error("ledger value has {size} bytes, more than the limit of {limit}")]
    TooLarge {
        /// Size of the value in bytes.
        size: usize,
        /// Limit of the store in bytes.
        limit: usize,
    },
    /// A counter is so high that the next values could overflow it.
    #[error("{counter} {value} of the ledger value is out of range")]
    CounterRange {
        /// Name of the counter.
        counter: &'static str,
        /// Value of the counter.
        value: u64,
    },
}

/// Error of a change that the state of the record or its partition does not allow. The record is
/// unchanged.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum ChangeError {
    /// The record is not in this partition, or has been dropped after its retention.
    #[error("no such record in the ledger partition")]
    NoRecord,
    /// This process no longer owns the partition.
    #[error("this process no longer owns the ledger partition")]
    NotOwner,
    /// The record has no task with this index.
    #[error("the record has no task {0}")]
    NoTask(u32),
    /// The attempt is not the current one: a later one exists, or it does not exist yet.
    #[error("attempt {} of task {} is not the current one", .0.attempt, .0.task)]
    OtherAttempt(TaskKey),
    /// The task cannot change between these states.
    #[error("task in state {from:?} cannot become {to:?}")]
    Forbidden {
        /// Current state of the task.
        from: TaskState,
        /// Requested state.
        to: TaskState,
    },
    /// The encoded name of the worker is longer than the space that the store value reserves for
    /// it.
    #[error("the worker's name is longer than {limit} bytes in JSON", limit = crate::size::MAX_WORKER_NAME_BYTES)]
    WorkerName,
    /// All tasks of the record have ended.
    #[error("all tasks of the record have ended")]
    Closed,
}
