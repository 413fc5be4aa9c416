//! Follows placed attempts from their start to their end.

use std::panic::resume_unwind;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hs_core::TaskEnd;
use hs_ledger::{RetryCause, TaskKey, TaskState};
use hs_wire::{NotRunReason, StopMode, StopRequest, TaskPhase, TaskView, WorkId};
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::message::{ChangeOutcome, TaskChange};
use super::placed::{PlacedTask, StartOutcome};
use super::resolve::{AttemptStatus, query_worker_owner, resolve_attempt};
use super::runner::{MAX_RETRY_DELAY, MIN_RETRY_DELAY, TaskRunner};
use super::starts::{START_STOP_TIMEOUT, TASK_END_WAIT};
use crate::placer::task_end;
use crate::port::{Platform, WorkerPort};
use crate::work::HeldGrants;

/// Time that a worker's reply may take beyond the requested wait.
const REPLY_MARGIN: Duration = Duration::from_secs(1);

/// Pause between two queries about a running task, each of which waits for its end.
const MIN_QUERY_PAUSE: Duration = Duration::from_millis(20);

/// Maximum number of attempts to stop a task. Each may fail because the fencing token was raised in
/// the meantime.
const MAX_STOP_ATTEMPTS: u32 = 5;

/// How an attempt ended whose worker gave no definite answer at first.
pub(super) struct Resolution {
    /// Next attempt if one has to be made; `None` if the runner must stop.
    pub(super) next: Option<Option<(TaskKey, WorkId)>>,
    /// End of the reservation of the attempt.
    pub(super) end: TaskEnd,
}

impl<P: Platform> TaskRunner<P> {
    /// Follows the tasks concurrently, and returns those that have to be attempted again.
    pub(super) async fn follow_all(
        self: &Arc<Self>,
        placed: Vec<PlacedTask>,
        starts: Vec<StartOutcome>,
        held: HeldGrants<P>,
    ) -> Option<Vec<(TaskKey, WorkId)>> {
        let held = Arc::new(held);
        let mut follows = JoinSet::new();
        for (index, (placed, start)) in placed.into_iter().zip(starts).enumerate() {
            let (runner, held) = (self.clone(), held.clone());
            follows.spawn(async move { runner.follow(&placed, start, &held, index).await });
        }
        let mut to_retry = Vec::new();
        while let Some(next) = follows.join_next().await {
            match next {
                Ok(next) => to_retry.extend(next?),
                Err(error) if error.is_panic() => resume_unwind(error.into_panic()),
                Err(_) => return None,
            }
        }
        to_retry.sort_by_key(|(task, _)| *task);
        Some(to_retry)
    }

    /// Follows the tasks of a gang. If some did not start, the others are stopped, so that no part
    /// of a gang keeps running alone.
    pub(super) async fn follow_gang(
        self: &Arc<Self>,
        placed: Vec<PlacedTask>,
        mut starts: Vec<StartOutcome>,
        held: HeldGrants<P>,
    ) -> Option<Vec<(TaskKey, WorkId)>> {
        let is_not_started = |start: &StartOutcome| matches!(start, StartOutcome::NotStarted);
        let is_partial = starts.iter().any(is_not_started) && !starts.iter().all(is_not_started);
        if is_partial {
            for (placed, start) in placed.iter().zip(&mut starts) {
                match start {
                    // The tasks that ran cannot be repeated, so the others must not run either.
                    StartOutcome::NotStarted if !self.plan.repeatable => {
                        *start = StartOutcome::Abandoned
                    }
                    StartOutcome::NotStarted | StartOutcome::Abandoned => {}
                    StartOutcome::Acknowledged(_) | StartOutcome::Unknown => {
                        self.stop(placed).await
                    }
                }
            }
        }
        self.follow_all(placed, starts, held).await
    }

    /// Follows one task to its end. Returns the next attempt if one has to be made, and `None` if
    /// the runner must stop.
    pub(super) async fn follow(
        &self,
        placed: &PlacedTask,
        start: StartOutcome,
        held: &HeldGrants<P>,
        index: usize,
    ) -> Option<Option<(TaskKey, WorkId)>> {
        let view = match start {
            StartOutcome::NotStarted => {
                held.release(index, TaskEnd::Refused);
                let cause = RetryCause::NotRun;
                return self.report_retry(placed.task, cause).await;
            }
            StartOutcome::Abandoned => {
                held.release(index, TaskEnd::Refused);
                self.report_end(placed.task, TaskState::NotRun, String::new(), None)
                    .await?;
                return Some(None);
            }
            StartOutcome::Acknowledged(view) => self.await_end(placed, view).await,
            StartOutcome::Unknown => None,
        };
        match view {
            Some(view) => {
                held.release(index, task_end(view.phase));
                self.report_worker_result(placed, &view).await
            }
            None => {
                let resolution = self.await_resolution(placed).await;
                held.release(index, resolution.end);
                resolution.next
            }
        }
    }

    /// Determines the outcome of a task whose worker gave no definite answer, and follows the task
    /// to its end if it still runs.
    pub(super) async fn await_resolution(&self, placed: &PlacedTask) -> Resolution {
        let mut delay = MIN_RETRY_DELAY;
        loop {
            match resolve_attempt(&self.shared, &placed.worker, &placed.id).await {
                AttemptStatus::Known {
                    address,
                    fence,
                    task,
                } => {
                    let found = PlacedTask {
                        task: placed.task,
                        id: placed.id.clone(),
                        worker: placed.worker.clone(),
                        address: Some(address),
                        fence,
                    };
                    if let Some(view) = self.await_end(&found, task).await {
                        let next = self.report_worker_result(&found, &view).await;
                        let end = task_end(view.phase);
                        return Resolution { next, end };
                    }
                }
                AttemptStatus::Absent => {
                    let next = self.report_absent(placed.task).await;
                    let end = TaskEnd::Stopped;
                    return Resolution { next, end };
                }
                AttemptStatus::Lost => {
                    let next = self.report_lost(placed.task).await;
                    let end = TaskEnd::Stopped;
                    return Resolution { next, end };
                }
            }
            // Each query raises the fencing token, so that starts in flight are refused.
            sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    /// Waits for the end of a running task, and stops the task if the work is cancelled. Returns
    /// `None` if the worker does not answer or does not know the task.
    pub(super) async fn await_end(&self, placed: &PlacedTask, first: TaskView) -> Option<TaskView> {
        let mut cancelled = self.cancelled.clone();
        let mut view = first;
        let mut is_stopping = false;
        while view.phase == TaskPhase::Running {
            if *self.cancelled.borrow() && !is_stopping {
                self.stop(placed).await;
                is_stopping = true;
            }
            let address = placed.address.clone()?;
            let shared = self.shared.clone();
            let call_timeout = TASK_END_WAIT + REPLY_MARGIN;
            let request =
                shared
                    .platform
                    .workers()
                    .task(&address, &placed.id, TASK_END_WAIT, call_timeout);
            tokio::select! {
                result = request => {
                    view = result.ok().flatten()?;
                    if view.phase == TaskPhase::Running {
                        // A worker may answer at once instead of at the end of the task.
                        sleep(MIN_QUERY_PAUSE).await;
                    }
                }
                Ok(()) = cancelled.changed(), if !is_stopping => {}
            }
        }
        Some(view)
    }

    /// Stops a task. If its worker has another owner by now, that owner reports the current fencing
    /// token.
    pub(super) async fn stop(&self, placed: &PlacedTask) {
        let address = placed.address.clone().unwrap_or_default();
        let mut fence = placed.fence;
        for _ in 0..MAX_STOP_ATTEMPTS {
            let request = StopRequest {
                id: placed.id.clone(),
                fence,
                mode: StopMode::Stop,
            };
            let workers = self.shared.platform.workers();
            match workers.stop(&address, &request, START_STOP_TIMEOUT).await {
                Ok(()) => return,
                Err(_) => sleep(MIN_RETRY_DELAY).await,
            }
            match query_worker_owner(&self.shared, &placed.worker, &placed.id).await {
                Some(AttemptStatus::Known { fence: current, .. }) => fence = current,
                // The task does not run and can no longer start under the token of its placement.
                Some(AttemptStatus::Absent | AttemptStatus::Lost) => return,
                None => {}
            }
        }
    }

    /// Records how an attempt ended at its worker. Returns the next attempt if one has to be made.
    pub(super) async fn report_worker_result(
        &self,
        placed: &PlacedTask,
        view: &TaskView,
    ) -> Option<Option<(TaskKey, WorkId)>> {
        let state = match view.phase {
            TaskPhase::Done => TaskState::Done,
            TaskPhase::Failed => TaskState::Failed,
            TaskPhase::Stopped if *self.cancelled.borrow() => TaskState::Cancelled,
            TaskPhase::Stopped if self.plan.repeatable => {
                return self.report_retry(placed.task, RetryCause::Stopped).await;
            }
            TaskPhase::Stopped | TaskPhase::Running => TaskState::Failed,
        };
        self.report_end(placed.task, state, view.result.clone(), None)
            .await?;
        Some(None)
    }

    /// Records that the worker does not know an attempt. Returns the next attempt if one has to be
    /// made.
    async fn report_absent(&self, task: TaskKey) -> Option<Option<(TaskKey, WorkId)>> {
        let change = TaskChange::Absent { task };
        next_attempt(self.port.commit_change(change).await?)
    }

    /// Records that the worker of an attempt restarted or no longer exists. Returns the next attempt
    /// if one has to be made.
    async fn report_lost(&self, task: TaskKey) -> Option<Option<(TaskKey, WorkId)>> {
        if self.plan.repeatable {
            return self.report_retry(task, RetryCause::Stopped).await;
        }
        self.report_end(task, TaskState::Unknown, String::new(), None)
            .await?;
        Some(None)
    }

    /// Records that an attempt ended without a result. Returns the next attempt if one has to be
    /// made.
    pub(super) async fn report_retry(
        &self,
        task: TaskKey,
        cause: RetryCause,
    ) -> Option<Option<(TaskKey, WorkId)>> {
        if cause == RetryCause::Stopped {
            self.has_run.store(true, Ordering::Relaxed);
        }
        next_attempt(
            self.port
                .commit_change(TaskChange::Retry { task, cause })
                .await?,
        )
    }

    /// Records the end of a task.
    pub(super) async fn report_end(
        &self,
        task: TaskKey,
        state: TaskState,
        result: String,
        reason: Option<NotRunReason>,
    ) -> Option<ChangeOutcome> {
        let change = TaskChange::Ended {
            task,
            state,
            result,
            reason,
        };
        self.port.commit_change(change).await
    }
}

fn next_attempt(outcome: ChangeOutcome) -> Option<Option<(TaskKey, WorkId)>> {
    match outcome {
        ChangeOutcome::NextAttempt { task, id } => Some(Some((task, id))),
        ChangeOutcome::NoNextAttempt => Some(None),
    }
}
