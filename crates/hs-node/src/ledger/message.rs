//! Messages to a partition task.

use hs_ledger::{FlushEnd, RecordKey, RetryCause, TaskKey, TaskState};
use hs_wire::{NotRunReason, Submission, WorkId, WorkReply};
use serde::Serialize;
use tokio::sync::oneshot;

use crate::port::{PortError, StoreValue};

/// A call about durable work.
#[derive(Debug)]
pub enum LedgerCall {
    /// Submits work.
    Submit {
        /// The submission; its `wait_ms` bounds the answer.
        submission: Submission,
        /// Time after which it is refused, in milliseconds since the Unix epoch.
        expires_at_ms: u64,
    },
    /// Asks what became of work.
    Query {
        /// Customer of the work.
        customer: String,
        /// Key of the work.
        key: String,
    },
    /// Cancels work.
    Cancel {
        /// Customer of the work.
        customer: String,
        /// Key of the work.
        key: String,
    },
}

/// The answer to a [`LedgerCall`].
#[derive(Debug)]
pub enum LedgerAnswer {
    /// The reply for the caller.
    Reply(WorkReply),
    /// There is no record of the key.
    NoRecord,
    /// This process does not own the partition, and has done nothing.
    NotOwned {
        /// Peer address of the owner, as far as it is known.
        owner: Option<String>,
    },
}

/// A message to a partition task.
#[derive(Debug)]
pub enum PartitionMessage {
    /// A caller's call.
    Call {
        /// The call.
        call: LedgerCall,
        /// Where the answer goes.
        reply: oneshot::Sender<LedgerAnswer>,
    },
    /// The caller's wait for a record is over: it is told how things stand.
    WaitExpired {
        /// Customer of the record.
        customer: String,
        /// Key of the record.
        key: String,
        /// Where the answer goes.
        reply: oneshot::Sender<LedgerAnswer>,
    },
    /// A write has ended.
    Flushed {
        /// Epoch of the ownership that wrote.
        epoch: u64,
        /// How it ended.
        end: FlushEnd,
    },
    /// The value was read, by the owner after a lost reply or by a candidate.
    Read {
        /// What was found.
        found: Result<Option<StoreValue>, PortError>,
    },
    /// A runner's change of a task.
    Change {
        /// Epoch of the ownership that the runner belongs to.
        epoch: u64,
        /// The record.
        record: RecordKey,
        /// The change.
        change: TaskChange,
        /// Told once the change is committed; dropped if the ownership is lost.
        reply: oneshot::Sender<ChangeOutcome>,
    },
    /// Gives the partition up; the process is shutting down.
    Release {
        /// Told when it is given up.
        done: oneshot::Sender<()>,
    },
    /// Asks for a summary.
    Status {
        /// Where it goes.
        reply: oneshot::Sender<PartitionStatus>,
    },
}

/// A change of one task or of all tasks of a gang.
#[derive(Clone, Debug)]
pub enum TaskChange {
    /// Attempts have room on workers and are about to be started.
    Placed(Vec<(TaskKey, String)>),
    /// A task has ended.
    Ended {
        /// The attempt.
        task: TaskKey,
        /// How it ended.
        state: TaskState,
        /// Its result.
        result: String,
        /// Why it did not run.
        reason: Option<NotRunReason>,
    },
    /// An attempt ended without a result; another may follow.
    Retry {
        /// The attempt.
        task: TaskKey,
        /// Why.
        cause: RetryCause,
    },
    /// The worker does not know the attempt, and it can no longer start.
    Absent {
        /// The attempt.
        task: TaskKey,
    },
}

/// What follows from a committed change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeOutcome {
    /// The task has ended, or goes on as it was.
    NoNextAttempt,
    /// Another attempt is waiting.
    NextAttempt {
        /// The attempt.
        task: TaskKey,
        /// Id under which it is to be started.
        id: WorkId,
    },
}

/// Summary of a partition.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PartitionStatus {
    /// Number of the partition.
    pub partition: u32,
    /// Whether this process owns it.
    pub is_owned: bool,
    /// Peer address of the owner, as far as it is known.
    pub owner: Option<String>,
    /// Number of records.
    pub records: usize,
    /// Size of the store value in bytes.
    pub bytes: usize,
    /// Number of tasks that wait or run.
    pub open_tasks: usize,
}

impl TaskChange {
    /// Returns the task, or the first task of a gang.
    pub fn first_task(&self) -> Option<TaskKey> {
        match self {
            Self::Placed(tasks) => tasks.first().map(|(task, _)| *task),
            Self::Ended { task, .. } | Self::Retry { task, .. } | Self::Absent { task } => {
                Some(*task)
            }
        }
    }
}
