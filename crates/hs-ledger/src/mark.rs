//! Changes of records.

use hs_wire::NotRunReason;

use crate::{LedgerPartition, MarkError, RecordKey, RetryCause, Stamp, TaskKey, TaskState};

impl LedgerPartition {
    /// Marks a waiting attempt as placed on a worker. Its start may be sent once the stamp is
    /// committed, under the id [`Self::task_id`].
    ///
    /// # Errors
    ///
    /// Returns an error if the attempt is not the current one or is not waiting.
    pub fn mark_placed(
        &mut self,
        _record: RecordKey,
        _task: TaskKey,
        _worker: &str,
        _now_ms: u64,
    ) -> Result<Stamp, MarkError> {
        todo!()
    }

    /// Ends a task with `state`.
    ///
    /// A placed attempt may end in any final state, a waiting one only as not run or cancelled. A
    /// task of which an earlier attempt has run ends as failed instead of not run.
    ///
    /// # Errors
    ///
    /// Returns an error if the attempt is not the current one or has ended, or if `state` is open.
    pub fn mark_task(
        &mut self,
        _record: RecordKey,
        _task: TaskKey,
        _state: TaskState,
        _result: &str,
        _now_ms: u64,
    ) -> Result<Stamp, MarkError> {
        todo!()
    }

    /// Returns a placed task to waiting, with the next attempt. If the caller has asked for
    /// cancellation, the task ends as cancelled instead.
    ///
    /// # Errors
    ///
    /// Returns an error if the attempt is not the current one or is not placed, or if it was stopped
    /// and the record is not repeatable.
    pub fn retry_task(
        &mut self,
        _record: RecordKey,
        _task: TaskKey,
        _cause: RetryCause,
        _now_ms: u64,
    ) -> Result<Stamp, MarkError> {
        todo!()
    }

    /// Decides a placed attempt that is absent from the complete task list of its worker.
    ///
    /// An attempt that was placed at most 9 min ago did not run and is retried. An older one ends as
    /// unknown, since the worker forgets finished tasks after 10 min.
    ///
    /// # Errors
    ///
    /// Returns an error if the attempt is not the current one or is not placed.
    pub fn mark_absent(
        &mut self,
        _record: RecordKey,
        _task: TaskKey,
        _now_ms: u64,
    ) -> Result<Stamp, MarkError> {
        todo!()
    }

    /// Ends all waiting tasks of a record as not run.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is closed.
    pub fn refuse(
        &mut self,
        _record: RecordKey,
        _reason: NotRunReason,
        _detail: &str,
        _now_ms: u64,
    ) -> Result<Stamp, MarkError> {
        todo!()
    }

    /// Cancels all waiting tasks of a record. The caller stops the placed ones and ends them with
    /// [`Self::mark_task`].
    ///
    /// # Errors
    ///
    /// Returns an error if the record is closed.
    pub fn request_cancel(&mut self, _record: RecordKey, _now_ms: u64) -> Result<Stamp, MarkError> {
        todo!()
    }
}
