//! Changes to the tasks of a record.

use hs_wire::{NotRunReason, Outcome};

use crate::size::{
    MAX_DETAIL_BYTES, MAX_RESULT_BYTES, MAX_WORKER_NAME_BYTES, RESULT_LIMIT_BYTES, truncate_encoded,
};
use crate::{ChangeError, LedgerPartition, RecordKey, RetryCause, Stamp, TaskKey, TaskState};

/// Age of a placement in milliseconds above which the worker may have dropped the finished task.
/// Workers keep finished tasks for 10 min; the difference is a margin for clock skew.
const ASSUMED_WORKER_RETENTION_MS: u64 = 9 * 60 * 1000;

impl LedgerPartition {
    /// Records the placement of a waiting attempt on a worker. Once the returned stamp is
    /// committed, the attempt may be started under the id that [`Self::task_id`] returns.
    ///
    /// # Errors
    ///
    /// Returns an error if the attempt is not the current one or is not waiting, or if the encoded
    /// name of the worker is longer than 64 bytes.
    pub fn mark_placed(
        &mut self,
        record: RecordKey,
        task: TaskKey,
        worker: &str,
        now_ms: u64,
    ) -> Result<Stamp, ChangeError> {
        let from = self.current_state(record, task)?;
        if from != TaskState::Waiting {
            return Err(forbidden(from, TaskState::Placed));
        }
        if truncate_encoded(worker, MAX_WORKER_NAME_BYTES, MAX_WORKER_NAME_BYTES) != worker {
            return Err(ChangeError::WorkerName);
        }
        let ledger_task = &mut self.records[record].record.tasks[task.task as usize];
        ledger_task.state = TaskState::Placed;
        worker.clone_into(&mut ledger_task.worker);
        ledger_task.placed_ms = now_ms.max(1);
        Ok(self.finish_change(record, now_ms))
    }

    /// Ends a task with the final state `state`.
    ///
    /// A placed attempt may end in any final state, a waiting one only as not run or cancelled. If
    /// an earlier attempt has run, the task ends as failed instead of not run. With
    /// [`TaskState::NotRun`], `result` becomes the detail of the record unless it has a reason
    /// already.
    ///
    /// # Errors
    ///
    /// Returns an error if the attempt is not the current one or has ended, or if `state` is open.
    pub fn end_task(
        &mut self,
        record: RecordKey,
        task: TaskKey,
        state: TaskState,
        result: &str,
        now_ms: u64,
    ) -> Result<Stamp, ChangeError> {
        let from = self.current_state(record, task)?;
        let allowed = match (from, state) {
            (TaskState::Waiting, TaskState::NotRun | TaskState::Cancelled) => true,
            (TaskState::Placed, state) => !state.is_open(),
            _ => false,
        };
        if !allowed {
            return Err(forbidden(from, state));
        }
        let index = task.task as usize;
        if state == TaskState::NotRun {
            self.set_not_run_reason(record, NotRunReason::WorkerRefused, result);
            self.records[record].record.tasks[index].end_not_run();
        } else {
            let max_encoded_bytes = RESULT_LIMIT_BYTES.saturating_sub(self.size_bytes);
            let kept = truncate_encoded(result, MAX_RESULT_BYTES, max_encoded_bytes);
            let ledger_task = &mut self.records[record].record.tasks[index];
            ledger_task.state = state;
            kept.clone_into(&mut ledger_task.result);
            ledger_task.truncated = kept.len() < result.len();
            if ledger_task.truncated {
                self.long_results.insert(record, index, result);
            }
        }
        Ok(self.finish_change(record, now_ms))
    }

    /// Ends the attempt of a placed task and lets the task wait for the next attempt. If the caller
    /// has requested cancellation, the task ends as cancelled instead.
    ///
    /// # Errors
    ///
    /// Returns an error if the attempt is not the current one or is not placed. Returns an error
    /// also if it was stopped, the record is not repeatable and no cancellation was requested.
    pub fn retry_task(
        &mut self,
        record: RecordKey,
        task: TaskKey,
        cause: RetryCause,
        now_ms: u64,
    ) -> Result<Stamp, ChangeError> {
        let from = self.current_state(record, task)?;
        let entry = &mut self.records[record].record;
        let may_retry = cause == RetryCause::NotRun || entry.repeatable || entry.cancel;
        if from != TaskState::Placed || !may_retry {
            return Err(forbidden(from, TaskState::Waiting));
        }
        let cancel = entry.cancel;
        let ledger_task = &mut entry.tasks[task.task as usize];
        ledger_task.has_run |= cause == RetryCause::Stopped;
        if cancel {
            ledger_task.state = TaskState::Cancelled;
        } else {
            ledger_task.state = TaskState::Waiting;
            ledger_task.attempt += 1;
            ledger_task.worker.clear();
            ledger_task.placed_ms = 0;
        }
        Ok(self.finish_change(record, now_ms))
    }

    /// Resolves a placed attempt that its worker does not know and that can no longer start there.
    ///
    /// An attempt that was placed at most 9 min ago did not run and is retried. An older one ends
    /// as unknown, since the worker drops finished tasks after 10 min.
    ///
    /// # Errors
    ///
    /// Returns an error if the attempt is not the current one or is not placed.
    pub fn resolve_absent(
        &mut self,
        record: RecordKey,
        task: TaskKey,
        now_ms: u64,
    ) -> Result<Stamp, ChangeError> {
        let from = self.current_state(record, task)?;
        if from != TaskState::Placed {
            return Err(forbidden(from, TaskState::Waiting));
        }
        let placed_ms = self.records[record].record.tasks[task.task as usize].placed_ms;
        match now_ms.saturating_sub(placed_ms) > ASSUMED_WORKER_RETENTION_MS {
            true => self.end_task(record, task, TaskState::Unknown, "", now_ms),
            false => self.retry_task(record, task, RetryCause::NotRun, now_ms),
        }
    }

    /// Ends all waiting tasks of a record: as failed if an earlier attempt has run, else as not
    /// run.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is closed.
    pub fn refuse_waiting(
        &mut self,
        record: RecordKey,
        reason: NotRunReason,
        detail: &str,
        now_ms: u64,
    ) -> Result<Stamp, ChangeError> {
        self.check_open(record)?;
        self.set_not_run_reason(record, reason, detail);
        for task in &mut self.records[record].record.tasks {
            if task.state == TaskState::Waiting {
                task.end_not_run();
            }
        }
        Ok(self.finish_change(record, now_ms))
    }

    /// Cancels all waiting tasks of a record. The caller must stop the placed ones and end them
    /// with [`Self::end_task`].
    ///
    /// # Errors
    ///
    /// Returns an error if the record is closed.
    pub fn request_cancel(&mut self, record: RecordKey, now_ms: u64) -> Result<Stamp, ChangeError> {
        self.check_open(record)?;
        let entry = &mut self.records[record];
        if entry.record.cancel {
            return Ok(entry.stamp);
        }
        entry.record.cancel = true;
        for task in &mut entry.record.tasks {
            if task.state == TaskState::Waiting {
                task.state = TaskState::Cancelled;
            }
        }
        Ok(self.finish_change(record, now_ms))
    }

    fn check_open(&self, record: RecordKey) -> Result<(), ChangeError> {
        if self.is_lost {
            return Err(ChangeError::NotOwner);
        }
        let entry = self.records.get(record).ok_or(ChangeError::NoRecord)?;
        match entry.record.outcome() {
            Outcome::Accepted => Ok(()),
            _ => Err(ChangeError::Closed),
        }
    }

    /// Returns the state of an attempt, which must be the current one.
    fn current_state(&self, record: RecordKey, task: TaskKey) -> Result<TaskState, ChangeError> {
        self.check_open(record)?;
        let tasks = &self.records[record].record.tasks;
        let ledger_task = tasks.get(task.task as usize);
        let ledger_task = ledger_task.ok_or(ChangeError::NoTask(task.task))?;
        match ledger_task.attempt == task.attempt {
            true => Ok(ledger_task.state),
            false => Err(ChangeError::OtherAttempt(task)),
        }
    }

    /// Sets why tasks did not run, with a detail, unless the record has a reason already.
    fn set_not_run_reason(&mut self, record: RecordKey, reason: NotRunReason, detail: &str) {
        let max_encoded_bytes = RESULT_LIMIT_BYTES.saturating_sub(self.size_bytes);
        let entry = &mut self.records[record].record;
        if entry.reason.is_none() {
            entry.reason = Some(reason);
            truncate_encoded(detail, MAX_DETAIL_BYTES, max_encoded_bytes)
                .clone_into(&mut entry.detail);
        }
    }

    /// Gives a changed record the next stamp, and closes the record if no task is open any more.
    fn finish_change(&mut self, record: RecordKey, now_ms: u64) -> Stamp {
        self.last_stamp = self.last_stamp.next();
        let entry = &mut self.records[record];
        if entry.record.outcome().is_final() {
            entry.record.ended_ms = now_ms.max(1);
            // Neither is needed after the end, and closed records make up most of the store value.
            entry.record.open = None;
            entry.record.expires_at_ms = 0;
        }
        self.size_bytes -= entry.size_bytes;
        entry.update(self.last_stamp);
        self.size_bytes += entry.size_bytes;
        self.last_stamp
    }
}

fn forbidden(from: TaskState, to: TaskState) -> ChangeError {
    ChangeError::Forbidden { from, to }
}
