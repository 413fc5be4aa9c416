//! Views of a partition's records.

use hs_wire::{NotRunReason, Outcome, WorkId, WorkReply};

use crate::hash::name_hash;
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
    pub fn find(&self, customer: &str, key: &str) -> Option<RecordKey> {
        let bucket = self.index.get(&name_hash(customer, key))?;
        let found = bucket.iter().find(|other| {
            let record = &self.records[**other].record;
            record.customer == customer && record.key == key
        });
        found.copied()
    }

    /// Returns a record, or `None` if it has expired.
    pub fn record(&self, record: RecordKey) -> Option<&LedgerRecord> {
        self.records.get(record).map(|entry| &entry.record)
    }

    /// Returns the stamp of a record's last change. Its reply may be sent once this is committed.
    pub fn stamp(&self, record: RecordKey) -> Option<Stamp> {
        self.records.get(record).map(|entry| entry.last)
    }

    /// Returns the id under which an attempt is started.
    pub fn task_id(&self, record: RecordKey, task: TaskKey) -> Option<WorkId> {
        self.record(record)?.task_id(task)
    }

    /// Returns the reply to the caller of a record. It may be sent once [`Self::stamp`] is committed.
    ///
    /// The reply about a record that has expired is `unknown` and names no key.
    pub fn reply(&self, record: RecordKey) -> WorkReply {
        let Some(entry) = self.record(record) else {
            return WorkReply::unknown("", "the record has expired");
        };
        let outcome = entry.outcome();
        let mut reply = match outcome {
            Outcome::NotRun => {
                let reason = entry.reason.unwrap_or(NotRunReason::WorkerRefused);
                WorkReply::not_run(&entry.key, reason, "")
            }
            _ => WorkReply::new(&entry.key, outcome),
        };
        reply.detail.clone_from(&entry.detail);
        reply.revision = entry.revision;
        let tasks = entry.tasks.iter();
        if tasks.clone().any(|task| !task.result.is_empty()) {
            let results = tasks.clone().enumerate();
            let results = results.map(|(index, task)| match task.truncated {
                true => self.long_results.get(record, index).unwrap_or(&task.result),
                false => &task.result,
            });
            reply.results = results.map(str::to_owned).collect();
        }
        if tasks.clone().any(|task| !task.worker.is_empty()) {
            reply.workers = tasks.clone().map(|task| task.worker.clone()).collect();
        }
        let placed = tasks
            .map(|task| task.placed_ms)
            .filter(|placed| *placed > 0);
        reply.waited_ms = placed
            .min()
            .map_or(0, |placed| placed.saturating_sub(entry.admitted_ms));
        reply
    }

    /// Forgets results over 4 KB that were kept for the first delivery.
    pub fn drop_long_results(&mut self, record: RecordKey) {
        self.long_results.release(record);
    }

    /// Returns all tasks that are waiting or placed. After a takeover, these are the tasks to place
    /// and to resolve.
    pub fn open_tasks(&self) -> impl Iterator<Item = OpenTask<'_>> {
        let records = self.records.iter();
        let open = records.filter(|(_, entry)| entry.record.ended_ms == 0);
        open.flat_map(|(record, entry)| {
            let tasks = (0..).zip(&entry.record.tasks);
            let open = tasks.filter(|(_, task)| task.state.is_open());
            open.map(move |(index, task)| OpenTask {
                record,
                task: TaskKey {
                    task: index,
                    attempt: task.attempt,
                },
                state: task.state,
                worker: &task.worker,
                placed_ms: task.placed_ms,
            })
        })
    }
}
