//! Runs the tasks of one durable record.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_core::TaskEnd;
use hs_event::EventCode;
use hs_ledger::{RetryCause, TaskKey, TaskState};
use hs_wire::{
    NotRunReason, Resources, StartRequest, StopMode, StopRequest, Submission, TaskPhase, TaskView,
    WorkClass, WorkId,
};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::fate::{PlacedFate, PlacedWorker, ask_owner, find_fate};
use super::message::{ChangeDone, TaskChange};
use super::runner_port::RunnerPort;
use crate::placer::TaskGrant;
use crate::port::{ClockPort, Platform, PortError, WorkerPort};
use crate::shared::NodeShared;
use crate::work::{HeldGrants, ReserveSpec, deadline_of, reserve};

/// Longest time that one question about a running task waits for its end.
const END_WAIT: Duration = Duration::from_secs(10);

/// Time beyond the wait that a worker's reply may take.
const REPLY_SLACK: Duration = Duration::from_secs(1);

/// Longest time for a start or a stop itself.
const START_LIMIT: Duration = Duration::from_secs(2);

/// Most tries to stop a task; each may meet a fence that was raised in the meantime.
const STOP_TRIES: u32 = 5;

/// Pause before another attempt after a refused start; it doubles up to the longest one.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

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

/// One attempt that was placed.
struct PlacedTask {
    task: TaskKey,
    id: WorkId,
    worker: PlacedWorker,
    address: Option<String>,
    fence: u64,
}

/// What is known after a start was sent.
enum StartState {
    /// The worker runs it, or has ended it.
    Known(TaskView),
    /// It certainly did not start.
    Refused,
    /// It may have started.
    Unclear,
}

/// Places the tasks of one record, starts them, and follows them to their end.
pub(super) struct TaskRunner<P: Platform> {
    shared: Arc<NodeShared<P>>,
    port: RunnerPort,
    plan: RunPlan,
    cancelled: watch::Receiver<bool>,
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
        tokio::select! {
            _ = self.run_all() => {}
            // The record's next owner finds the tasks by their ids.
            () = is_lost => {}
        }
    }

    async fn run_all(&mut self) -> Option<()> {
        let tasks = std::mem::take(&mut self.plan.tasks);
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
    async fn attempt(&mut self, waiting: Vec<(TaskKey, WorkId)>) -> Option<Vec<(TaskKey, WorkId)>> {
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
            .map(|((task, id), grant)| placed_task(*task, id, grant))
            .collect();
        let change = placed
            .iter()
            .map(|placed| (placed.task, placed.worker.to_string()))
            .collect();
        if self.port.change(TaskChange::Placed(change)).await.is_none() {
            held.release_all(TaskEnd::Refused);
            return None;
        }
        let starts = self.start_all(&placed).await;
        match placed.len() {
            1 => self.follow_one(&placed, starts, &held).await,
            _ => self.follow_gang(&placed, starts, &held).await,
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

    fn entry(&self) -> Result<(Resources, WorkClass), NotRunReason> {
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

    async fn start_all(&self, placed: &[PlacedTask]) -> Vec<StartState> {
        let mut starts = JoinSet::new();
        for (index, task) in placed.iter().enumerate() {
            let request = self.start_request(task, placed.len() == 1);
            let address = task.address.clone().unwrap_or_default();
            let shared = self.shared.clone();
            starts.spawn(async move {
                let limit = START_LIMIT + Duration::from_millis(request.wait_ms);
                let result = shared
                    .platform
                    .workers()
                    .start(&address, &request, limit)
                    .await;
                (index, result)
            });
        }
        let mut states: Vec<StartState> = placed.iter().map(|_| StartState::Unclear).collect();
        while let Some(joined) = starts.join_next().await {
            if let Ok((index, result)) = joined {
                states[index] = start_state(&placed[index], result);
            }
        }
        states
    }

    fn start_request(&self, placed: &PlacedTask, may_wait: bool) -> StartRequest {
        let submission = &self.plan.submission;
        StartRequest {
            id: placed.id.clone(),
            fence: placed.fence,
            resources: self.entry().map_or(Resources::ZERO, |entry| entry.0),
            leased: true,
            // The tasks of a gang are started at the same time, so that no reply may wait.
            wait_ms: if may_wait {
                END_WAIT.as_millis() as u64
            } else {
                0
            },
            revision: self.shared.view().map_or(0, |view| view.revision()),
            customer: submission.customer.clone(),
            workload: submission.workload.clone(),
            payload: submission.payload.clone(),
        }
    }

    async fn follow_one(
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
    async fn follow_gang(
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
    async fn follow(
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
    async fn find_out(&mut self, placed: &PlacedTask) -> Option<Option<(TaskKey, WorkId)>> {
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
    async fn await_end(&mut self, placed: &PlacedTask, first: TaskView) -> Option<TaskView> {
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
    async fn stop(&self, placed: &PlacedTask) {
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

    async fn ended(
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

    async fn retry(&self, task: TaskKey, cause: RetryCause) -> Option<Option<(TaskKey, WorkId)>> {
        next_attempt(self.port.change(TaskChange::Retry { task, cause }).await?)
    }

    async fn end(
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

fn placed_task(task: TaskKey, id: &WorkId, grant: &TaskGrant) -> PlacedTask {
    PlacedTask {
        task,
        id: id.clone(),
        worker: PlacedWorker {
            name: grant.worker.clone(),
            incarnation: grant.incarnation,
        },
        address: Some(grant.address.clone()),
        fence: grant.fence,
    }
}

fn start_state(placed: &PlacedTask, result: Result<TaskView, PortError>) -> StartState {
    match result {
        Ok(view) => StartState::Known(view),
        Err(error) if error.is_certain() => {
            EventCode::StartRefused.log(format_args!(
                "task={} worker={} cause={error}",
                placed.id, placed.worker.name
            ));
            StartState::Refused
        }
        Err(error) => {
            EventCode::StartUnknown.log(format_args!(
                "task={} worker={} cause={error}",
                placed.id, placed.worker.name
            ));
            StartState::Unclear
        }
    }
}

fn task_end(phase: TaskPhase) -> TaskEnd {
    match phase {
        TaskPhase::Done => TaskEnd::Done,
        TaskPhase::Failed => TaskEnd::Failed,
        TaskPhase::Stopped | TaskPhase::Running => TaskEnd::Stopped,
    }
}
