//! Placed attempts from their start to their end.

use std::sync::Arc;
use std::time::Duration;

use hs_core::TaskEnd;
use hs_ledger::{RetryCause, TaskKey, TaskState};
use hs_wire::{NotRunReason, StopMode, StopRequest, TaskPhase, TaskView, WorkId};
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::fate::{PlacedFate, ask_owner, find_fate};
use super::message::{ChangeOutcome, TaskChange};
use super::placed::{PlacedTask, StartState};
use super::runner::{RETRY_PAUSE, TaskRunner};
use super::starts::{END_WAIT, START_LIMIT};
use crate::port::{Platform, WorkerPort};
use crate::work::HeldGrants;

/// Time beyond the wait that a worker's reply may take.
const REPLY_SLACK: Duration = Duration::from_secs(1);

/// Most tries to stop a task; each may meet a fence that was raised in the meantime.
const STOP_TRIES: u32 = 5;

impl<P: Platform> TaskRunner<P> {
    /// Follows the tasks side by side, and returns those that have to be attempted again.
    pub(super) async fn follow_all(
        self: &Arc<Self>,
        placed: Vec<PlacedTask>,
        starts: Vec<StartState>,
        held: HeldGrants<P>,
    ) -> Option<Vec<(TaskKey, WorkId)>> {
        let held = Arc::new(held);
        let mut follows = JoinSet::new();
        for (index, (placed, start)) in placed.into_iter().zip(starts).enumerate() {
            let (runner, held) = (self.clone(), held.clone());
            follows.spawn(async move { runner.follow(&placed, start, &held, index).await });
        }
        let mut again = Vec::new();
        while let Some(next) = follows.join_next().await {
            again.extend(next.ok()??);
        }
        again.sort_by_key(|(task, _)| *task);
        Some(again)
    }

    /// Follows the tasks of a gang. If some were refused, the others are stopped, so that no part of
    /// a gang goes on alone.
    pub(super) async fn follow_gang(
        self: &Arc<Self>,
        placed: Vec<PlacedTask>,
        mut starts: Vec<StartState>,
        held: HeldGrants<P>,
    ) -> Option<Vec<(TaskKey, WorkId)>> {
        let is_refused = |start: &StartState| matches!(start, StartState::Refused);
        let is_partial = starts.iter().any(is_refused) && !starts.iter().all(is_refused);
        if is_partial {
            for (placed, start) in placed.iter().zip(&mut starts) {
                match start {
                    // Its part that ran cannot be repeated, so that the rest must not run either.
                    StartState::Refused if !self.plan.repeatable => *start = StartState::GivenUp,
                    StartState::Refused | StartState::GivenUp => {}
                    StartState::Known(_) | StartState::Unclear => self.stop(placed).await,
                }
            }
        }
        self.follow_all(placed, starts, held).await
    }

    /// Follows one task to its end. Returns the next attempt if there has to be one.
    pub(super) async fn follow(
        &self,
        placed: &PlacedTask,
        start: StartState,
        held: &HeldGrants<P>,
        index: usize,
    ) -> Option<Option<(TaskKey, WorkId)>> {
        let view = match start {
            StartState::Refused => {
                held.release(index, TaskEnd::Refused);
                let cause = RetryCause::NotRun;
                return self.retry(placed.task, cause).await;
            }
            StartState::GivenUp => {
                held.release(index, TaskEnd::Refused);
                self.end(placed.task, TaskState::NotRun, String::new(), None)
                    .await?;
                return Some(None);
            }
            StartState::Known(view) => self.await_end(placed, view).await,
            StartState::Unclear => None,
        };
        match view {
            Some(view) => {
                held.release(index, task_end(view.phase));
                self.ended(placed, &view).await
            }
            None => {
                let next = self.find_out(placed).await;
                held.release(index, TaskEnd::Stopped);
                next
            }
        }
    }

    /// Finds out for certain what became of a task whose worker gave no clear answer.
    pub(super) async fn find_out(&self, placed: &PlacedTask) -> Option<Option<(TaskKey, WorkId)>> {
        loop {
            match find_fate(&self.shared, &placed.worker, &placed.id).await {
                PlacedFate::Known {
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
                        return self.ended(&found, &view).await;
                    }
                }
                PlacedFate::Absent => {
                    let change = TaskChange::Absent { task: placed.task };
                    return next_attempt(self.port.change(change).await?);
                }
                PlacedFate::Lost if self.plan.repeatable => {
                    return self.retry(placed.task, RetryCause::Stopped).await;
                }
                PlacedFate::Lost => {
                    self.end(placed.task, TaskState::Unknown, String::new(), None)
                        .await?;
                    return Some(None);
                }
            }
        }
    }

    /// Waits for the end of a running task. Returns `None` if the worker no longer answers for it.
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
            let limit = END_WAIT + REPLY_SLACK;
            let question = shared
                .platform
                .workers()
                .task(&address, &placed.id, END_WAIT, limit);
            tokio::select! {
                answer = question => view = answer.ok().flatten()?,
                Ok(()) = cancelled.changed(), if !is_stopping => {}
            }
        }
        Some(view)
    }

    /// Stops a task. Its worker may have another owner by now, who then tells the fence in use.
    pub(super) async fn stop(&self, placed: &PlacedTask) {
        let address = placed.address.clone().unwrap_or_default();
        let mut fence = placed.fence;
        for _ in 0..STOP_TRIES {
            let request = StopRequest {
                id: placed.id.clone(),
                fence,
                mode: StopMode::Stop,
            };
            let workers = self.shared.platform.workers();
            match workers.stop(&address, &request, START_LIMIT).await {
                Ok(()) => return,
                Err(_) => sleep(RETRY_PAUSE).await,
            }
            match ask_owner(&self.shared, &placed.worker, &placed.id).await {
                Some(PlacedFate::Known { fence: current, .. }) => fence = current,
                Some(PlacedFate::Absent | PlacedFate::Lost) | None => {}
            }
        }
    }

    pub(super) async fn ended(
        &self,
        placed: &PlacedTask,
        view: &TaskView,
    ) -> Option<Option<(TaskKey, WorkId)>> {
        let state = match view.phase {
            TaskPhase::Done => TaskState::Done,
            TaskPhase::Failed => TaskState::Failed,
            TaskPhase::Stopped if *self.cancelled.borrow() => TaskState::Cancelled,
            TaskPhase::Stopped if self.plan.repeatable => {
                return self.retry(placed.task, RetryCause::Stopped).await;
            }
            TaskPhase::Stopped | TaskPhase::Running => TaskState::Failed,
        };
        self.end(placed.task, state, view.result.clone(), None)
            .await?;
        Some(None)
    }

    pub(super) async fn retry(
        &self,
        task: TaskKey,
        cause: RetryCause,
    ) -> Option<Option<(TaskKey, WorkId)>> {
        next_attempt(self.port.change(TaskChange::Retry { task, cause }).await?)
    }

    pub(super) async fn end(
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
        self.port.change(change).await
    }
}

fn next_attempt(done: ChangeOutcome) -> Option<Option<(TaskKey, WorkId)>> {
    match done {
        ChangeOutcome::NextAttempt { task, id } => Some(Some((task, id))),
        ChangeOutcome::NoNextAttempt => Some(None),
    }
}

fn task_end(phase: TaskPhase) -> TaskEnd {
    match phase {
        TaskPhase::Done => TaskEnd::Done,
        TaskPhase::Failed => TaskEnd::Failed,
        TaskPhase::Stopped | TaskPhase::Running => TaskEnd::Stopped,
    }
}
