//! A partition while this process owns it.

use std::collections::{BTreeMap, HashMap};

use hs_ledger::{LedgerPartition, RecordKey, Stamp, TaskKey, TaskState};
use hs_wire::{NotRunReason, WorkReply};
use tokio::sync::{oneshot, watch};

use super::LedgerAnswer;
use super::fate::PlacedWorker;
use super::message::ChangeOutcome;

/// Retry hint while the store takes no writes, in milliseconds.
pub(super) const STORE_RETRY_MS: u64 = 1000;

/// Somebody who waits for a commit.
pub(super) enum CommitWaiter {
    Answer {
        record: RecordKey,
        reply: oneshot::Sender<LedgerAnswer>,
    },
    Reused {
        key: String,
        reply: oneshot::Sender<LedgerAnswer>,
    },
    Change {
        done: ChangeOutcome,
        reply: oneshot::Sender<ChangeOutcome>,
    },
}

/// The partition, and who waits for what in it.
pub(super) struct OwnedPartition {
    pub(super) partition: LedgerPartition,
    pub(super) is_announced: bool,
    pub(super) is_store_down: bool,
    pub(super) commits: BTreeMap<Stamp, Vec<CommitWaiter>>,
    pub(super) answers: HashMap<RecordKey, Vec<oneshot::Sender<LedgerAnswer>>>,
    pub(super) signals: HashMap<RecordKey, watch::Sender<bool>>,
    /// Commits up to this one have been acted on.
    pub(super) settled: Stamp,
}

impl OwnedPartition {
    pub(super) fn is_committed(&self, record: RecordKey) -> bool {
        self.partition
            .stamp(record)
            .is_none_or(|stamp| stamp <= self.partition.committed())
    }

    /// Returns whether the record has tasks that have not ended.
    pub(super) fn is_open(&self, record: RecordKey) -> bool {
        let kept = self.partition.record(record);
        kept.is_some_and(|kept| !kept.outcome().is_final())
    }

    /// Answers everybody who waits for a record whose final outcome is committed.
    pub(super) fn answer_if_final(&mut self, record: RecordKey) {
        if !self.is_committed(record) || self.is_open(record) {
            return;
        }
        let reply = self.reply(record);
        for waiter in self.answers.remove(&record).unwrap_or_default() {
            let _ = waiter.send(LedgerAnswer::Reply(reply.clone()));
        }
        self.partition.release_results(record);
    }

    /// Acts on what has been committed since the last call. Its cost grows with the number of waiting
    /// callers and open records, so that it does nothing between two commits.
    pub(super) fn settle(&mut self) {
        let committed = self.partition.committed();
        while let Some(entry) = self.commits.first_entry() {
            if *entry.key() > committed {
                break;
            }
            for waiter in entry.remove() {
                self.wake(waiter);
            }
        }
        if committed == self.settled {
            return;
        }
        self.settled = committed;
        let waiting: Vec<RecordKey> = self.answers.keys().copied().collect();
        for record in waiting {
            self.answer_if_final(record);
        }
        let partition = &self.partition;
        self.signals.retain(|record, _| {
            let kept = partition.record(*record);
            kept.is_some_and(|kept| !kept.outcome().is_final())
        });
    }

    pub(super) fn answer_at_commit(
        &mut self,
        record: RecordKey,
        reply: oneshot::Sender<LedgerAnswer>,
    ) {
        let stamp = self
            .partition
            .stamp(record)
            .unwrap_or_else(|| self.partition.committed());
        let waiter = CommitWaiter::Answer { record, reply };
        self.commits.entry(stamp).or_default().push(waiter);
    }

    /// Returns the reply about a record that is not in the store.
    ///
    /// It is never "not run": if this process dies before the refusal is in the store, the next owner
    /// knows nothing of it and would start a duplicate that was delayed on the way.
    pub(super) fn reply_unstored(&self, record: RecordKey) -> WorkReply {
        let key = self.partition.record(record).map_or("", |kept| &kept.key);
        let mut reply = WorkReply::unknown(key, "the store does not take the record");
        reply.retry_after_ms = Some(STORE_RETRY_MS);
        reply
    }

    /// Returns the reply for the caller, in which workers have their names only.
    pub(super) fn reply(&self, record: RecordKey) -> WorkReply {
        let mut reply = self.partition.reply(record);
        for worker in &mut reply.workers {
            *worker = PlacedWorker::parse(worker).name;
        }
        reply
    }

    pub(super) fn next_step(&self, record: RecordKey, task: Option<TaskKey>) -> ChangeOutcome {
        let step = || {
            let task = task?;
            let kept = self.partition.record(record)?;
            let current = kept.tasks.get(task.task as usize)?;
            let next = TaskKey {
                task: task.task,
                attempt: current.attempt,
            };
            let id = kept.task_id(next)?;
            (current.state == TaskState::Waiting)
                .then_some(ChangeOutcome::NextAttempt { task: next, id })
        };
        step().unwrap_or(ChangeOutcome::NoNextAttempt)
    }

    pub(super) fn wake(&self, waiter: CommitWaiter) {
        match waiter {
            CommitWaiter::Answer { record, reply } => {
                let answer = self.reply(record);
                let _ = reply.send(LedgerAnswer::Reply(answer));
            }
            CommitWaiter::Reused { key, reply } => {
                let reason = NotRunReason::KeyReused;
                let detail = "the key was used before with another customer, workload or payload";
                let answer = WorkReply::not_run(&key, reason, detail);
                let _ = reply.send(LedgerAnswer::Reply(answer));
            }
            CommitWaiter::Change { done, reply } => {
                let _ = reply.send(done);
            }
        }
    }
}
