//! Read access to the records of a partition.

use hs_wire::{NotRunReason, Outcome, WorkId, WorkReply};

use crate::hash::identity_hash;
use crate::{LedgerPartition, LedgerRecord, RecordKey, Stamp, TaskKey, TaskState};

/// A task that has not ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OpenTask<'a> {
    /// Record of the task.
    pub record: RecordKey,
    /// Task with its current attempt.
    pub task: TaskKey,
    /// [`TaskState::Waiting`] or [`TaskState::Placed`].
    pub state: TaskState,
    /// Worker on which the attempt is placed; empty if it is waiting.
    pub worker: &'a str,
    /// Wall-clock time of the placement in milliseconds; zero if the attempt is waiting.
    pub placed_ms: u64,
}

impl LedgerPartition {
    /// Returns the record of a (customer, key) pair.
    pub fn find(&self, customer: &str, key: &str) -> Option<RecordKey> {
        let bucket = self.index.get(&identity_hash(customer, key))?;
        let found = bucket.iter().find(|other| {
            let record = &self.records[**other].record;
            record.customer == customer && record.key == key
        });
        found.copied()
    }

    /// Returns a record, or `None` if it was dropped after its retention.
    pub fn record(&self, record: RecordKey) -> Option<&LedgerRecord> {
        self.records.get(record).map(|entry| &entry.record)
    }

    /// Returns the stamp of the last change of a record. Its reply may be sent once this stamp is
    /// committed.
    pub fn stamp(&self, record: RecordKey) -> Option<Stamp> {
        self.records.get(record).map(|entry| entry.stamp)
    }

    /// Returns the id under which an attempt is started, or `None` if there is no such task.
    pub fn task_id(&self, record: RecordKey, task: TaskKey) -> Option<WorkId> {
        self.record(record)?.task_id(task)
    }

    /// Returns the reply to the caller that submitted a record. It may be sent once the stamp that
    /// [`Self::stamp`] returns is committed.
    ///
    /// If the record was dropped after its retention, the reply is `unknown` with an empty key.
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

    /// Drops the complete results of a record whose tasks keep only the beginning. They are held
    /// only for the first delivery of the reply.
    pub fn drop_long_results(&mut self, record: RecordKey) {
        self.long_results.remove(record);
    }

    /// Returns all tasks that are waiting or placed. After a takeover, the caller has to place the
    /// waiting ones and to resolve the placed ones.
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
