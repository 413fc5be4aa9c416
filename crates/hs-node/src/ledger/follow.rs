//! Placed attempts from their start to their end.

use std::time::Duration;

use hs_core::TaskEnd;
use hs_ledger::{RetryCause, TaskKey, TaskState};
use hs_wire::{NotRunReason, StopMode, StopRequest, TaskPhase, TaskView, WorkId};
use tokio::time::sleep;

use super::fate::{PlacedFate, ask_owner, find_fate};
use super::message::{ChangeDone, TaskChange};
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
    pub(super) async fn follow_one(
        &mut self,
        placed: &[PlacedTask],
        starts: Vec<StartState>,
        held: &HeldGrants<P>,
    ) -> Option<Vec<(TaskKey, WorkId)>> {
        let mut again = Vec::new();
        for (index, (placed, start)) in placed.iter().zip(starts).enumerate() {
            again.extend(self.follow(placed, start, held, index).await?);
        }
        Some(again)
    }

    /// Follows the tasks of a gang. If some were refused, the others are stopped, so that no part of
    /// a gang goes on alone.
    pub(super) async fn follow_gang(
        &mut self,
        placed: &[PlacedTask],
        starts: Vec<StartState>,
        held: &HeldGrants<P>,
    ) -> Option<Vec<(TaskKey, WorkId)>> {
        let is_partial = starts
            .iter()
            .any(|start| matches!(start, StartState::Refused));
        if is_partial {
            for (placed, start) in placed.iter().zip(&starts) {
                if !matches!(start, StartState::Refused) {
                    self.stop(placed).await;
                }
            }
        }
        self.follow_one(placed, starts, held).await
    }

    /// Follows one task to its end. Returns the next attempt if there has to be one.
    pub(super) async fn follow(
        &mut self,
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
    pub(super) async fn find_out(
        &mut self,
        placed: &PlacedTask,
    ) -> Option<Option<(TaskKey, WorkId)>> {
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
    pub(super) async fn await_end(
        &mut self,
        placed: &PlacedTask,
        first: TaskView,
    ) -> Option<TaskView> {
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
                Ok(()) = self.cancelled.changed(), if !is_stopping => {}
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
        &mut self,
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
    ) -> Option<ChangeDone> {
        let change = TaskChange::Ended {
            task,
            state,
            result,
            reason,
        };
        self.port.change(change).await
    }
}

fn next_attempt(done: ChangeDone) -> Option<Option<(TaskKey, WorkId)>> {
    match done {
        ChangeDone::Waiting { task, id } => Some(Some((task, id))),
        ChangeDone::Settled => Some(None),
    }
}

fn task_end(phase: TaskPhase) -> TaskEnd {
    match phase {
        TaskPhase::Done => TaskEnd::Done,
        TaskPhase::Failed => TaskEnd::Failed,
        TaskPhase::Stopped | TaskPhase::Running => TaskEnd::Stopped,
    }
}
