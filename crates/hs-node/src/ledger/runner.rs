//! Runs the tasks of one durable record.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_core::TaskEnd;
use hs_ledger::{TaskKey, TaskState};
use hs_wire::{NotRunReason, Resources, Submission, WorkClass, WorkId};
use tokio::sync::watch;
use tokio::time::sleep;

use super::fate::PlacedWorker;
use super::message::TaskChange;
use super::placed::PlacedTask;
use super::runner_port::RunnerPort;
use crate::port::{ClockPort, Platform};
use crate::shared::NodeShared;
use crate::work::{HeldGrants, ReserveSpec, deadline_of, reserve};

/// Pause before another attempt after a refused start; it doubles up to the longest one.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Longest pause before another attempt.
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(2);

/// Pause before work that may wait is queued again after the queue was full or the quota in use.
const QUEUE_PAUSE: Duration = Duration::from_millis(250);

/// What a runner starts from.
pub(super) struct RunPlan {
    /// The submission.
    pub(super) submission: Submission,
    /// Whether a stopped task may be attempted again.
    pub(super) repeatable: bool,
    /// Wall time of the admission in milliseconds.
    pub(super) admitted_ms: u64,
    /// The attempts; those with a worker were placed by a previous owner.
    pub(super) tasks: Vec<(TaskKey, WorkId, Option<String>)>,
}

/// Places the tasks of one record, starts them, and follows them to their end.
pub(super) struct TaskRunner<P: Platform> {
    pub(super) shared: Arc<NodeShared<P>>,
    pub(super) port: RunnerPort,
    pub(super) plan: RunPlan,
    pub(super) cancelled: watch::Receiver<bool>,
}

impl<P: Platform> TaskRunner<P> {
    pub(super) fn new(
        shared: Arc<NodeShared<P>>,
        port: RunnerPort,
        plan: RunPlan,
        cancelled: watch::Receiver<bool>,
    ) -> Self {
        Self {
            shared,
            port,
            plan,
            cancelled,
        }
    }

    /// Runs until every task has ended or the ledger partition is lost.
    pub(super) async fn run(mut self) {
        let mut lost = self.cancelled.clone();
        let is_lost = async move { while lost.changed().await.is_ok() {} };
        let tasks = std::mem::take(&mut self.plan.tasks);
        let runner = Arc::new(self);
        tokio::select! {
            _ = runner.run_all(tasks) => {}
            // The record's next owner finds the tasks by their ids.
            () = is_lost => {}
        }
    }

    async fn run_all(
        self: &Arc<Self>,
        tasks: Vec<(TaskKey, WorkId, Option<String>)>,
    ) -> Option<()> {
        let mut waiting = Vec::new();
        for (task, id, worker) in tasks {
            match worker {
                None => waiting.push((task, id)),
                Some(worker) => {
                    let placed = PlacedTask {
                        task,
                        id,
                        worker: PlacedWorker::parse(&worker),
                        address: None,
                        fence: 0,
                    };
                    waiting.extend(self.find_out(&placed).await?);
                }
            }
        }
        let mut pause = RETRY_PAUSE;
        while !waiting.is_empty() {
            waiting = self.attempt(waiting).await?;
            if !waiting.is_empty() {
                sleep(pause).await;
                pause = (pause * 2).min(RETRY_PAUSE_MAX);
            }
        }
        Some(())
    }

    /// Makes one attempt at the waiting tasks together, and returns those that have to be attempted
    /// again. `None` means that the runner must stop.
    async fn attempt(
        self: &Arc<Self>,
        waiting: Vec<(TaskKey, WorkId)>,
    ) -> Option<Vec<(TaskKey, WorkId)>> {
        let held = match self.reserve(&waiting).await {
            Ok(held) => held,
            Err(reason) => {
                for (task, _) in waiting {
                    self.end(task, TaskState::NotRun, String::new(), Some(reason))
                        .await?;
                }
                return Some(Vec::new());
            }
        };
        let placed: Vec<PlacedTask> = waiting
            .iter()
            .zip(&held.grants)
            .map(|((task, id), grant)| PlacedTask::granted(*task, id, grant))
            .collect();
        let change = placed
            .iter()
            .map(|placed| (placed.task, placed.worker.to_string()))
            .collect();
        if self.port.change(TaskChange::Placed(change)).await.is_none() {
            held.release_all(TaskEnd::Stopped);
            return None;
        }
        let starts = self.start_all(&placed).await;
        match placed.len() {
            1 => self.follow_all(placed, starts, held).await,
            _ => self.follow_gang(placed, starts, held).await,
        }
    }

    async fn reserve(&self, waiting: &[(TaskKey, WorkId)]) -> Result<HeldGrants<P>, NotRunReason> {
        loop {
            let entry = self.entry()?;
            let deadline = self.deadline();
            let spec = ReserveSpec {
                customer: self.plan.submission.customer.clone(),
                workload: self.plan.submission.workload.clone(),
                tasks: waiting.iter().map(|(_, id)| id.clone()).collect(),
                resources: entry.0,
                deadline: Some(deadline),
            };
            let may_wait = matches!(entry.1, WorkClass::Batch | WorkClass::Gang);
            match reserve(&self.shared, &spec).await {
                Err(NotRunReason::QueueFull | NotRunReason::QuotaExceeded)
                    if may_wait && self.shared.platform.clock().now() < deadline =>
                {
                    sleep(QUEUE_PAUSE).await;
                }
                result => return result,
            }
        }
    }

    pub(super) fn entry(&self) -> Result<(Resources, WorkClass), NotRunReason> {
        let view = self.shared.view().ok_or(NotRunReason::NotReady)?;
        let found = view.workload(&self.plan.submission.workload);
        let (_, entry) = found.ok_or(NotRunReason::UnknownWorkload)?;
        Ok((entry.resources, entry.class))
    }

    fn deadline(&self) -> Instant {
        let clock = self.shared.platform.clock();
        let age = clock.wall_ms().saturating_sub(self.plan.admitted_ms);
        let left = self.plan.submission.deadline_ms.saturating_sub(age);
        deadline_of(clock, clock.now(), left)
    }
}
