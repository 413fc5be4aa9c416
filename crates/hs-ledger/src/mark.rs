//! Changes of records.

use hs_wire::{NotRunReason, Outcome};

use crate::size::{KEPT_DETAIL_BYTES, KEPT_RESULT_BYTES, RESULT_BYTES, WORKER_BYTES, cut};
use crate::{ChangeError, LedgerPartition, RecordKey, RetryCause, Stamp, TaskKey, TaskState};

/// Age of a placement in milliseconds above which the worker may have forgotten the task. Workers
/// keep finished tasks for 10 min; the rest is a margin for differing clocks.
const REMEMBERED_MS: u64 = 9 * 60 * 1000;

impl LedgerPartition {
    /// Marks a waiting attempt as placed on a worker. Its start may be sent once the stamp is
    /// committed, under the id [`Self::task_id`].
    ///
    /// # Errors
    ///
    /// Returns an error if the attempt is not the current one or is not waiting, or if the worker's
    /// name takes more than 64 bytes.
    pub fn mark_placed(
        &mut self,
        record: RecordKey,
        task: TaskKey,
        worker: &str,
        now_ms: u64,
    ) -> Result<Stamp, ChangeError> {
        let from = self.state_of(record, task)?;
        if from != TaskState::Waiting {
            return Err(forbidden(from, TaskState::Placed));
        }
        if cut(worker, WORKER_BYTES, WORKER_BYTES) != worker {
            return Err(ChangeError::WorkerName);
        }
        let entry = &mut self.records[record].record.tasks[task.task as usize];
        entry.state = TaskState::Placed;
        worker.clone_into(&mut entry.worker);
        entry.placed_ms = now_ms.max(1);
        Ok(self.changed(record, now_ms))
    }

    /// Ends a task with `state`.
    ///
    /// A placed attempt may end in any final state, a waiting one only as not run or cancelled. A
    /// task of which an earlier attempt has run ends as failed instead of not run. For a task that
    /// did not run, `result` becomes the record's detail.
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
        let from = self.state_of(record, task)?;
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
            self.note(record, NotRunReason::WorkerRefused, result);
            self.records[record].record.tasks[index].close_not_run();
        } else {
            let room = RESULT_BYTES.saturating_sub(self.bytes);
            let kept = cut(result, KEPT_RESULT_BYTES, room);
            let entry = &mut self.records[record].record.tasks[index];
            entry.state = state;
            kept.clone_into(&mut entry.result);
            entry.truncated = kept.len() < result.len();
            if entry.truncated {
                self.long_results.hold(record, index, result);
            }
        }
        Ok(self.changed(record, now_ms))
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
        record: RecordKey,
        task: TaskKey,
        cause: RetryCause,
        now_ms: u64,
    ) -> Result<Stamp, ChangeError> {
        let from = self.state_of(record, task)?;
        let entry = &mut self.records[record].record;
        let repeatable = cause == RetryCause::NotRun || entry.repeatable || entry.cancel;
        if from != TaskState::Placed || !repeatable {
            return Err(forbidden(from, TaskState::Waiting));
        }
        let cancel = entry.cancel;
        let entry = &mut entry.tasks[task.task as usize];
        entry.has_run |= cause == RetryCause::Stopped;
        if cancel {
            entry.state = TaskState::Cancelled;
        } else {
            entry.state = TaskState::Waiting;
            entry.attempt += 1;
            entry.worker.clear();
            entry.placed_ms = 0;
        }
        Ok(self.changed(record, now_ms))
    }

    /// Decides a placed attempt that is absent from the complete task list of its worker.
    ///
    /// An attempt that was placed at most 9 min ago did not run and is retried. An older one ends as
    /// unknown, since the worker forgets finished tasks after 10 min.
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
        let from = self.state_of(record, task)?;
        if from != TaskState::Placed {
            return Err(forbidden(from, TaskState::Waiting));
        }
        let placed_ms = self.records[record].record.tasks[task.task as usize].placed_ms;
        match now_ms.saturating_sub(placed_ms) > REMEMBERED_MS {
            true => self.end_task(record, task, TaskState::Unknown, "", now_ms),
            false => self.retry_task(record, task, RetryCause::NotRun, now_ms),
        }
    }

    /// Ends all waiting tasks of a record as not run, or as failed if an earlier attempt has run.
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
        self.note(record, reason, detail);
        for task in &mut self.records[record].record.tasks {
            if task.state == TaskState::Waiting {
                task.close_not_run();
            }
        }
        Ok(self.changed(record, now_ms))
    }

    /// Cancels all waiting tasks of a record. The caller stops the placed ones and ends them with
    /// [`Self::end_task`].
    ///
    /// # Errors
    ///
    /// Returns an error if the record is closed.
    pub fn request_cancel(&mut self, record: RecordKey, now_ms: u64) -> Result<Stamp, ChangeError> {
        self.check_open(record)?;
        let entry = &mut self.records[record];
        if entry.record.cancel {
            return Ok(entry.last);
        }
        entry.record.cancel = true;
        for task in &mut entry.record.tasks {
            if task.state == TaskState::Waiting {
                task.state = TaskState::Cancelled;
            }
        }
        Ok(self.changed(record, now_ms))
    }

    fn check_open(&self, record: RecordKey) -> Result<(), ChangeError> {
        if self.lost {
            return Err(ChangeError::NotOwner);
        }
        let entry = self.records.get(record).ok_or(ChangeError::NoRecord)?;
        match entry.record.outcome() {
            Outcome::Accepted => Ok(()),
            _ => Err(ChangeError::Closed),
        }
    }

    /// Returns the state of the current attempt, which `task` has to name.
    fn state_of(&self, record: RecordKey, task: TaskKey) -> Result<TaskState, ChangeError> {
        self.check_open(record)?;
        let tasks = &self.records[record].record.tasks;
        let entry = tasks.get(task.task as usize);
        let entry = entry.ok_or(ChangeError::NoTask(task.task))?;
        match entry.attempt == task.attempt {
            true => Ok(entry.state),
            false => Err(ChangeError::OtherAttempt(task)),
        }
    }

    /// Notes why tasks did not run. The first reason stays.
    fn note(&mut self, record: RecordKey, reason: NotRunReason, detail: &str) {
        let room = RESULT_BYTES.saturating_sub(self.bytes);
        let entry = &mut self.records[record].record;
        if entry.reason.is_none() {
            entry.reason = Some(reason);
            cut(detail, KEPT_DETAIL_BYTES, room).clone_into(&mut entry.detail);
        }
    }

    /// Gives a record that was changed a new stamp, and closes it if no task is open any more.
    fn changed(&mut self, record: RecordKey, now_ms: u64) -> Stamp {
        self.last = self.last.next();
        let entry = &mut self.records[record];
        if entry.record.outcome().is_final() {
            entry.record.ended_ms = now_ms.max(1);
            // Neither is of use after the end, and finished records take most of the value.
            entry.record.open = None;
            entry.record.expires_at_ms = 0;
        }
        self.bytes -= entry.bytes;
        entry.update(self.last);
        self.bytes += entry.bytes;
        self.last
    }
}

fn forbidden(from: TaskState, to: TaskState) -> ChangeError {
    ChangeError::Forbidden { from, to }
}
