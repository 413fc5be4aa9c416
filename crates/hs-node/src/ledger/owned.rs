//! State of a partition while this process owns it.

use std::collections::{BTreeMap, HashMap};

use hs_ledger::{LedgerPartition, RecordKey, Stamp, TaskKey, TaskState};
use hs_wire::{NotRunReason, WorkReply};
use tokio::sync::{oneshot, watch};

use super::LedgerAnswer;
use super::message::ChangeOutcome;
use super::resolve::PlacedWorker;

/// `retry_after_ms` of replies while the store accepts no writes.
pub(super) const STORE_RETRY_AFTER_MS: u64 = 1000;

/// A caller or runner that waits for a commit.
pub(super) enum CommitWaiter {
    /// A caller that gets the state of a record.
    Answer {
        record: RecordKey,
        reply: oneshot::Sender<LedgerAnswer>,
    },
    /// A caller whose submission is refused because its key belongs to other work.
    KeyReused {
        key: String,
        reply: oneshot::Sender<LedgerAnswer>,
    },
    /// A runner that gets the outcome of its change.
    Change {
        outcome: ChangeOutcome,
        reply: oneshot::Sender<ChangeOutcome>,
    },
}

/// An owned partition with the callers and runners that wait for its commits.
pub(super) struct OwnedPartition {
    pub(super) partition: LedgerPartition,
    /// Whether the takeover is committed and calls are handled.
    pub(super) is_active: bool,
    /// Whether the store is considered down: the last write failed, or its outcome is unknown.
    pub(super) is_store_down: bool,
    /// Waiters by the change whose commit they wait for.
    pub(super) commit_waiters: BTreeMap<Stamp, Vec<CommitWaiter>>,
    /// Callers that wait for the final outcome of a record.
    pub(super) outcome_waiters: HashMap<RecordKey, Vec<oneshot::Sender<LedgerAnswer>>>,
    /// Signals by record whose value is whether the record is cancelled. Dropping a signal stops
    /// the runners of the record.
    pub(super) cancel_signals: HashMap<RecordKey, watch::Sender<bool>>,
    /// Last commit that [`Self::process_commits`] has processed.
    pub(super) processed_commit: Stamp,
}

impl OwnedPartition {
    /// Returns whether the last change of the record is committed.
    pub(super) fn is_committed(&self, record: RecordKey) -> bool {
        self.partition
            .stamp(record)
            .is_none_or(|stamp| stamp <= self.partition.committed())
    }

    /// Returns whether the record has tasks that have not ended.
    pub(super) fn is_open(&self, record: RecordKey) -> bool {
        let entry = self.partition.record(record);
        entry.is_some_and(|entry| !entry.outcome().is_final())
    }

    /// Answers all callers that wait for the record, if its final outcome is committed.
    pub(super) fn answer_if_final(&mut self, record: RecordKey) {
        if !self.is_committed(record) || self.is_open(record) {
            return;
        }
        let reply = self.reply(record);
        for waiter in self.outcome_waiters.remove(&record).unwrap_or_default() {
            let _ = waiter.send(LedgerAnswer::Reply(reply.clone()));
        }
        self.partition.drop_long_results(record);
    }

    /// Notifies the waiters of changes that were committed since the last call. Outcomes and
    /// cancellation signals are checked only after a new commit, since the cost grows with the
    /// number of waiting callers and open records.
    pub(super) fn process_commits(&mut self) {
        let committed = self.partition.committed();
        while let Some(entry) = self.commit_waiters.first_entry() {
            if *entry.key() > committed {
                break;
            }
            for waiter in entry.remove() {
                self.notify(waiter);
            }
        }
        if committed == self.processed_commit {
            return;
        }
        self.processed_commit = committed;
        let waiting: Vec<RecordKey> = self.outcome_waiters.keys().copied().collect();
        for record in waiting {
            self.answer_if_final(record);
        }
        let partition = &self.partition;
        self.cancel_signals.retain(|record, _| {
            let entry = partition.record(*record);
            entry.is_some_and(|entry| !entry.outcome().is_final())
        });
    }

    /// Answers a caller with the state of the record once its last change is committed.
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
        self.commit_waiters.entry(stamp).or_default().push(waiter);
    }

    /// Returns the reply about a record whose last change is not in the store.
    ///
    /// The outcome is never "not run". If this process crashes before the refusal is stored, the
    /// next owner does not know of it and would start a duplicate submission that was delayed on
    /// the network.
    pub(super) fn reply_uncommitted(&self, record: RecordKey) -> WorkReply {
        let key = self.partition.record(record).map_or("", |entry| &entry.key);
        let mut reply = WorkReply::unknown(key, "the store does not take the record");
        reply.retry_after_ms = Some(STORE_RETRY_AFTER_MS);
        reply
    }

    /// Returns the reply for the caller, which names workers without their incarnations.
    pub(super) fn reply(&self, record: RecordKey) -> WorkReply {
        let mut reply = self.partition.reply(record);
        for worker in &mut reply.workers {
            *worker = PlacedWorker::parse(worker).name;
        }
        reply
    }

    /// Returns what follows for the runner of a task from a change that was just made.
    pub(super) fn change_outcome(&self, record: RecordKey, task: Option<TaskKey>) -> ChangeOutcome {
        let next_attempt = || {
            let task = task?;
            let entry = self.partition.record(record)?;
            let current = entry.tasks.get(task.task as usize)?;
            let next = TaskKey {
                task: task.task,
                attempt: current.attempt,
            };
            let id = entry.task_id(next)?;
            (current.state == TaskState::Waiting)
                .then_some(ChangeOutcome::NextAttempt { task: next, id })
        };
        next_attempt().unwrap_or(ChangeOutcome::NoNextAttempt)
    }

    /// Sends a waiter what it waits for.
    pub(super) fn notify(&self, waiter: CommitWaiter) {
        match waiter {
            CommitWaiter::Answer { record, reply } => {
                let work_reply = self.reply(record);
                let _ = reply.send(LedgerAnswer::Reply(work_reply));
            }
            CommitWaiter::KeyReused { key, reply } => {
                let reason = NotRunReason::KeyReused;
                let detail = "the key was used before with another customer, workload or payload";
                let work_reply = WorkReply::not_run(&key, reason, detail);
                let _ = reply.send(LedgerAnswer::Reply(work_reply));
            }
            CommitWaiter::Change { outcome, reply } => {
                let _ = reply.send(outcome);
            }
        }
    }
}
