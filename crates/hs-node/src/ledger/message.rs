//! Messages to a partition task.

use hs_ledger::{FlushOutcome, RecordKey, RetryCause, TaskKey, TaskState};
use hs_wire::{NotRunReason, Submission, WorkId, WorkReply};
use serde::Serialize;
use tokio::sync::oneshot;

use crate::port::{PortError, StoreValue};

/// A call about durable work.
#[derive(Debug)]
pub enum LedgerCall {
    /// Submits work.
    Submit {
        /// The submission. Its `wait_ms` limits the time to the answer.
        submission: Submission,
        /// Time after which a new submission is refused, in milliseconds since the Unix epoch.
        expires_at_ms: u64,
    },
    /// Requests the state of work.
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

/// The answer to a [`LedgerCall`]: a reply for the caller, or why there is none.
#[derive(Debug)]
pub enum LedgerAnswer {
    /// Reply for the caller.
    Reply(WorkReply),
    /// The partition has no record of the key.
    NoRecord,
    /// This process does not own the partition, or lost it before it could answer. The call can be
    /// repeated at the owner, since calls are idempotent by key.
    NotOwned {
        /// Peer address of the owner, if known.
        owner: Option<String>,
    },
}

/// A message to a partition task.
#[derive(Debug)]
pub enum PartitionMessage {
    /// Handles a call of a caller.
    Call {
        /// The call.
        call: LedgerCall,
        /// Receives the answer.
        reply: oneshot::Sender<LedgerAnswer>,
    },
    /// The wait of a caller has expired. The caller gets the current state of its record.
    WaitExpired {
        /// Customer of the record.
        customer: String,
        /// Key of the record.
        key: String,
        /// Receives the answer.
        reply: oneshot::Sender<LedgerAnswer>,
    },
    /// A write to the store has ended.
    Flushed {
        /// Epoch of the ownership that made the write.
        epoch: u64,
        /// How the write ended.
        outcome: FlushOutcome,
    },
    /// The store value was read, by the owner after a lost reply or by a candidate.
    Read {
        /// The value, `None` if the store has none, or why the read failed. `None` outside if it
        /// panicked.
        found: Option<Result<Option<StoreValue>, PortError>>,
    },
    /// Applies a change that a runner makes to its tasks.
    Change {
        /// Epoch of the ownership that the runner belongs to.
        epoch: u64,
        /// Key of the record.
        record: RecordKey,
        /// The change.
        change: TaskChange,
        /// Receives the outcome once the change is committed. Dropped if the ownership is lost or
        /// the change came too late.
        reply: oneshot::Sender<ChangeOutcome>,
    },
    /// The runner of tasks has panicked. Those that are open get another runner.
    RunnerPanicked {
        /// Epoch of the ownership that the runner belonged to.
        epoch: u64,
        /// Key of the record.
        record: RecordKey,
        /// Indices of the tasks.
        tasks: Vec<u32>,
    },
    /// Releases the partition, because the process is shutting down.
    Release {
        /// Notified when the partition is released.
        done: oneshot::Sender<()>,
    },
    /// Requests the status of the partition.
    Status {
        /// Receives the status.
        reply: oneshot::Sender<PartitionStatus>,
    },
}

/// A change of one task or of all tasks of a gang.
#[derive(Clone, Debug)]
pub enum TaskChange {
    /// Capacity for attempts is reserved on workers, and they are about to be started.
    Placed(Vec<(TaskKey, String)>),
    /// A task has ended.
    Ended {
        /// The attempt.
        task: TaskKey,
        /// State in which the task ended.
        state: TaskState,
        /// Result of the task.
        result: String,
        /// Why the task did not run.
        reason: Option<NotRunReason>,
    },
    /// An attempt ended without a result. Another one may follow.
    Retry {
        /// The attempt.
        task: TaskKey,
        /// Why another attempt is needed.
        cause: RetryCause,
    },
    /// The worker does not know the attempt, and it can no longer start.
    Absent {
        /// The attempt.
        task: TaskKey,
    },
}

/// What the runner has to do after a committed change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeOutcome {
    /// No other attempt is needed: the task has ended, or its current attempt continues.
    NoNextAttempt,
    /// Another attempt has to be made.
    NextAttempt {
        /// The attempt.
        task: TaskKey,
        /// Id with which the attempt has to be started.
        id: WorkId,
    },
}

/// Status of a partition as seen by this process.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PartitionStatus {
    /// Number of the partition.
    pub partition: u32,
    /// Whether this process owns the partition.
    pub is_owned: bool,
    /// Peer address of the owner, if known.
    pub owner: Option<String>,
    /// Number of records.
    pub records: usize,
    /// Size of the store value in bytes.
    pub bytes: usize,
    /// Number of tasks that have not ended.
    pub open_tasks: usize,
}

impl TaskChange {
    /// Returns the task of the change, or the first one of a gang.
    pub fn first_task(&self) -> Option<TaskKey> {
        match self {
            Self::Placed(tasks) => tasks.first().map(|(task, _)| *task),
            Self::Ended { task, .. } | Self::Retry { task, .. } | Self::Absent { task } => {
                Some(*task)
            }
        }
    }
}
