//! Runner of the tasks of one durable record.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use hs_core::TaskEnd;
use hs_ledger::{RetryCause, TaskKey, TaskState};
use hs_wire::{NotRunReason, Resources, Submission, WorkClass, WorkId};
use tokio::sync::watch;
use tokio::time::sleep;

use super::message::TaskChange;
use super::placed::PlacedTask;
use super::resolve::PlacedWorker;
use super::runner_port::RunnerPort;
use crate::port::{ClockPort, Platform};
use crate::shared::NodeShared;
use crate::work::{HeldGrants, ReserveSpec, deadline_of, reserve};

/// Initial delay before another attempt after a failed one. It doubles up to [`MAX_RETRY_DELAY`].
/// It is also the delay before another attempt to stop a task.
pub(super) const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum delay before another attempt.
pub(super) const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Delay before work that may wait is queued again, after the queue was full or the quota was
/// exhausted.
const REQUEUE_DELAY: Duration = Duration::from_millis(250);

/// What a runner has to run.
pub(super) struct RunPlan {
    pub(super) submission: Submission,
    /// Whether a stopped task may be attempted again.
    pub(super) repeatable: bool,
    /// Whether an attempt at one of the tasks has run and was stopped.
    pub(super) has_run: bool,
    /// Time of the admission, in milliseconds since the Unix epoch.
    pub(super) admitted_ms: u64,
    /// The attempts. Those with a worker were placed by a previous owner of the partition.
    pub(super) tasks: Vec<(TaskKey, WorkId, Option<String>)>,
}

/// Places the tasks of one record, starts them, and follows them to their end.
pub(super) struct TaskRunner<P: Platform> {
    pub(super) shared: Arc<NodeShared<P>>,
    pub(super) port: RunnerPort,
    pub(super) plan: RunPlan,
    pub(super) cancelled: watch::Receiver<bool>,
    /// Whether an attempt has run and was stopped.
    pub(super) has_run: AtomicBool,
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
            cancelled,
            has_run: AtomicBool::new(plan.has_run),
            plan,
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
            // The next owner of the partition resolves the tasks by their ids.
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
                    waiting.extend(self.await_resolution(&placed).await.next?);
                }
            }
        }
        let mut delay = MIN_RETRY_DELAY;
        while !waiting.is_empty() {
            waiting = self.attempt_tasks(waiting).await?;
            if !waiting.is_empty() {
                sleep(delay).await;
                delay = (delay * 2).min(MAX_RETRY_DELAY);
            }
        }
        Some(())
    }

    /// Makes one attempt at the waiting tasks together, and returns those that have to be attempted
    /// again. `None` means that the runner must stop.
    async fn attempt_tasks(
        self: &Arc<Self>,
        waiting: Vec<(TaskKey, WorkId)>,
    ) -> Option<Vec<(TaskKey, WorkId)>> {
        let deadline = self.deadline();
        let held = match self.reserve(&waiting).await {
            Ok(held) => held,
            Err(reason) => {
                for (task, _) in waiting {
                    self.report_end(task, TaskState::NotRun, String::new(), Some(reason))
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
        if self
            .port
            .commit_change(TaskChange::Placed(change))
            .await
            .is_none()
        {
            held.release_all(TaskEnd::Stopped);
            return None;
        }
        if self.shared.platform.clock().now() >= deadline {
            // The record took long to reach the store, or this process was paused.
            held.release_all(TaskEnd::Stopped);
            return self.refuse_unstarted(&placed).await;
        }
        let starts = self.start_all(&placed).await;
        match placed.len() {
            1 => self.follow_all(placed, starts, held).await,
            _ => self.follow_gang(placed, starts, held).await,
        }
    }

    /// Ends placed tasks whose starts were not sent, because their deadline has passed. `None` means
    /// that the runner must stop.
    async fn refuse_unstarted(&self, placed: &[PlacedTask]) -> Option<Vec<(TaskKey, WorkId)>> {
        for placed in placed {
            let next = self.report_retry(placed.task, RetryCause::NotRun).await?;
            if let Some((task, _)) = next {
                let reason = Some(NotRunReason::DeadlinePassed);
                self.report_end(task, TaskState::NotRun, String::new(), reason)
                    .await?;
            }
        }
        Some(Vec::new())
    }

    /// Reserves capacity for the tasks. Batch and gang work is queued again until its deadline if
    /// the queue is full or the quota is exhausted.
    async fn reserve(&self, waiting: &[(TaskKey, WorkId)]) -> Result<HeldGrants<P>, NotRunReason> {
        loop {
            let (resources, class) = self.resources_and_class()?;
            let deadline = self.deadline();
            let spec = ReserveSpec {
                customer: self.plan.submission.customer.clone(),
                workload: self.plan.submission.workload.clone(),
                tasks: waiting.iter().map(|(_, id)| id.clone()).collect(),
                resources,
                deadline: Some(deadline),
            };
            let may_wait = matches!(class, WorkClass::Batch | WorkClass::Gang);
            match reserve(&self.shared, &spec).await {
                Err(NotRunReason::QueueFull | NotRunReason::QuotaExceeded)
                    if may_wait && self.shared.platform.clock().now() < deadline =>
                {
                    sleep(REQUEUE_DELAY).await;
                }
                // The placer panicked and is started again. A refusal would be final for the key.
                Err(NotRunReason::ShuttingDown)
                    if self.shared.platform.clock().now() < deadline =>
                {
                    sleep(REQUEUE_DELAY).await;
                }
                result => return result,
            }
        }
    }

    /// Returns the resources of a task and the class of the workload, from the current manifest.
    pub(super) fn resources_and_class(&self) -> Result<(Resources, WorkClass), NotRunReason> {
        let view = self.shared.view().ok_or(NotRunReason::NotReady)?;
        let found = view.workload(&self.plan.submission.workload);
        let (_, entry) = found.ok_or(NotRunReason::UnknownWorkload)?;
        Ok((entry.resources, entry.class))
    }

    /// Returns the deadline of the next start, counted from the admission. Work that has run in time
    /// and was stopped has none: the deadline is one for the first start.
    fn deadline(&self) -> Instant {
        let clock = self.shared.platform.clock();
        if self.has_run.load(Ordering::Relaxed) {
            return deadline_of(clock, clock.now(), u64::MAX);
        }
        let age = clock.wall_ms().saturating_sub(self.plan.admitted_ms);
        let remaining = self.plan.submission.deadline_ms.saturating_sub(age);
        deadline_of(clock, clock.now(), remaining)
    }
}
