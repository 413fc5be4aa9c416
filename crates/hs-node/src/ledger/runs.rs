//! Start of the runners of an owned partition, and the changes that runners make.

use std::collections::BTreeMap;

use hs_ledger::{OpenTask, RecordKey, TaskKey, TaskState};
use hs_wire::WorkClass;
use tokio::sync::{oneshot, watch};
use tokio::time::sleep;

use super::message::{ChangeOutcome, TaskChange};
use super::owned::CommitWaiter;
use super::runner::{RunPlan, TaskRunner};
use super::runner_port::RunnerPort;
use super::{PartitionMessage, PartitionTask};
use crate::port::Platform;
use crate::supervise::{RESTART_PAUSE, run_logged};

impl<P: Platform> PartitionTask<P> {
    /// Resumes the open tasks of the previous owner.
    pub(super) fn resume_open_tasks(&mut self) {
        let Some(owned) = &self.owned else {
            return;
        };
        let mut open: BTreeMap<RecordKey, Vec<(TaskKey, Option<String>)>> = BTreeMap::new();
        for task in owned.partition.open_tasks() {
            let worker = placed_worker(&task);
            open.entry(task.record)
                .or_default()
                .push((task.task, worker));
        }
        for (record, tasks) in open {
            self.spawn_runners(record, tasks);
        }
    }

    /// Spawns runners for tasks of a record: one for a gang that is not placed yet, else one for
    /// each task.
    pub(super) fn spawn_runners(
        &mut self,
        record: RecordKey,
        tasks: Vec<(TaskKey, Option<String>)>,
    ) {
        let Some(owned) = &mut self.owned else {
            return;
        };
        let Some(entry) = owned.partition.record(record) else {
            return;
        };
        let Some(submission) = entry.submission() else {
            return;
        };
        let (class, repeatable, admitted_ms) = (entry.class, entry.repeatable, entry.admitted_ms);
        let has_run: Vec<bool> = entry.tasks.iter().map(|task| task.has_run).collect();
        let has_run = |task: u32| has_run.get(task as usize).copied().unwrap_or(false);
        let named: Vec<_> = tasks
            .into_iter()
            .filter_map(|(task, worker)| Some((task, entry.task_id(task)?, worker)))
            .collect();
        // Replacing the signal would stop the other runners of the record.
        let signals = owned.cancel_signals.entry(record);
        let signal = signals.or_insert_with(|| watch::Sender::new(entry.cancel));
        let epoch = owned.partition.epoch();
        let is_gang =
            class == WorkClass::Gang && named.iter().all(|(_, _, worker)| worker.is_none());
        let groups = match is_gang {
            true => vec![named],
            false => named.into_iter().map(|task| vec![task]).collect(),
        };
        for tasks in groups {
            let indices: Vec<u32> = tasks.iter().map(|(task, ..)| task.task).collect();
            let plan = RunPlan {
                submission: submission.clone(),
                repeatable,
                has_run: indices.iter().any(|index| has_run(*index)),
                admitted_ms,
                tasks,
            };
            let port = RunnerPort::new(self.shared.ledger.clone(), self.number, epoch, record);
            let runner = TaskRunner::new(self.shared.clone(), port, plan, signal.subscribe());
            let (ledger, number) = (self.shared.ledger.clone(), self.number);
            tokio::spawn(async move {
                if run_logged(&"runner of durable work", runner.run()).await {
                    sleep(RESTART_PAUSE).await;
                    let message = PartitionMessage::RunnerPanicked {
                        epoch,
                        record,
                        tasks: indices,
                    };
                    ledger.send(number, message);
                }
            });
        }
    }

    /// Starts another runner for those tasks of a runner that panicked which are still open. It
    /// resolves the placed ones, like the runner of a new owner.
    pub(super) fn replace_runner(&mut self, epoch: u64, record: RecordKey, tasks: &[u32]) {
        let owned = self.owned.as_ref();
        let Some(owned) = owned.filter(|owned| owned.partition.epoch() == epoch) else {
            return;
        };
        let is_affected =
            |open: &OpenTask<'_>| open.record == record && tasks.contains(&open.task.task);
        let affected = owned.partition.open_tasks().filter(is_affected);
        let affected = affected
            .map(|open| (open.task, placed_worker(&open)))
            .collect();
        self.spawn_runners(record, affected);
    }

    /// Applies a change made by a runner, and answers once it is committed.
    pub(super) fn apply_change(
        &mut self,
        epoch: u64,
        record: RecordKey,
        change: TaskChange,
        reply: oneshot::Sender<ChangeOutcome>,
    ) {
        let now_ms = self.wall_ms();
        let Some(owned) = &mut self.owned else {
            return;
        };
        if owned.partition.epoch() != epoch {
            return;
        }
        let task = change.first_task();
        let result = match change {
            TaskChange::Placed(tasks) => {
                let mut last = Ok(owned.partition.last_stamp());
                for (task, worker) in &tasks {
                    last = last.and(owned.partition.mark_placed(record, *task, worker, now_ms));
                }
                last
            }
            TaskChange::Ended {
                task,
                state,
                result,
                reason,
            } => match reason {
                Some(reason) if state == TaskState::NotRun => {
                    owned.partition.refuse_waiting(record, reason, "", now_ms)
                }
                _ => owned
                    .partition
                    .end_task(record, task, state, &result, now_ms),
            },
            TaskChange::Retry { task, cause } => {
                owned.partition.retry_task(record, task, cause, now_ms)
            }
            TaskChange::Absent { task } => owned.partition.resolve_absent(record, task, now_ms),
        };
        let Ok(stamp) = result else {
            // The change came too late, for instance after a cancellation. The dropped channel
            // tells the runner to stop.
            return;
        };
        let outcome = owned.change_outcome(record, task);
        let waiter = CommitWaiter::Change { outcome, reply };
        owned.commit_waiters.entry(stamp).or_default().push(waiter);
    }
}

/// Returns the worker on which an open task was placed, or `None` if it is waiting.
fn placed_worker(task: &OpenTask<'_>) -> Option<String> {
    (task.state == TaskState::Placed).then(|| task.worker.to_owned())
}
