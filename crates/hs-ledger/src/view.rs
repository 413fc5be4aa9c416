//! Views of a partition's records.

use std::time::Instant;

use hs_wire::{WorkId, WorkReply};

use crate::{LedgerPartition, LedgerRecord, RecordKey, Stamp, TaskKey, TaskState};

/// A task that has not ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OpenTask<'a> {
    /// Record of the task.
    pub record: RecordKey,
    /// Current attempt.
    pub task: TaskKey,
    /// [`TaskState::Waiting`] or [`TaskState::Placed`].
    pub state: TaskState,
    /// Worker of the placement; empty for a waiting task that was never placed.
    pub worker: &'a str,
    /// Wall time of the placement in milliseconds.
    pub placed_ms: u64,
}

impl LedgerPartition {
    /// Finds the record of a key.
    pub fn find(&self, _customer: &str, _key: &str) -> Option<RecordKey> {
        todo!()
    }

    /// Returns a record, or `None` if it has expired.
    pub fn record(&self, _record: RecordKey) -> Option<&LedgerRecord> {
        todo!()
    }

    /// Returns the stamp of a record's last change. Its reply may be sent once this is committed.
    pub fn stamp(&self, _record: RecordKey) -> Option<Stamp> {
        todo!()
    }

    /// Returns the id under which an attempt is started.
    pub fn task_id(&self, _record: RecordKey, _task: TaskKey) -> Option<WorkId> {
        todo!()
    }

    /// Returns the reply to the caller of a record. It may be sent once [`Self::stamp`] is committed.
    pub fn reply(&self, _record: RecordKey) -> WorkReply {
        todo!()
    }

    /// Returns whether a reply of not run may be sent although it is not committed: the ownership is
    /// fresh, and no write that carried the record was sent.
    pub fn may_answer_not_run(&self, _record: RecordKey, _now: Instant) -> bool {
        todo!()
    }

    /// Forgets results over 4 KB that were kept for the first delivery.
    pub fn release_results(&mut self, _record: RecordKey) {
        todo!()
    }

    /// Returns all tasks that are waiting or placed.
    pub fn open_tasks(&self) -> impl Iterator<Item = OpenTask<'_>> {
        std::iter::empty()
    }
}
