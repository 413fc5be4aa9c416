//! Work of class check: short requests without a durable record.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_config::WorkloadEntry;
use hs_core::TaskEnd;
use hs_event::EventCode;
use hs_wire::{
    NotRunReason, Outcome, StartRequest, Submission, TaskPhase, TaskView, WorkClass, WorkReply,
};

use super::reserve::deadline_of;
use super::{ReserveSpec, reserve};
use crate::placer::{TaskGrant, task_end};
use crate::port::{ClockPort, Platform, PortError, WorkerPort};
use crate::shared::NodeShared;

/// Time that a worker's reply to a start may take beyond the wait of the caller.
const REPLY_MARGIN: Duration = Duration::from_millis(50);

/// One check that is being run.
pub(super) struct CheckRun<P: Platform> {
    pub(super) shared: Arc<NodeShared<P>>,
    pub(super) submission: Submission,
    pub(super) entry: WorkloadEntry,
    pub(super) revision: u64,
    pub(super) arrived_at: Instant,
}

impl<P: Platform> CheckRun<P> {
    /// Places the check, starts it, and returns the reply for the caller.
    ///
    /// The check is started again only if the earlier start certainly did not run or the check is
    /// repeatable, and only within the retry budget. Once a start may have run, the outcome is
    /// never "not run".
    pub(super) async fn run(self) -> WorkReply {
        let clock = self.shared.platform.clock();
        let reply_deadline = deadline_of(clock, self.arrived_at, self.submission.wait_limit_ms());
        let start_deadline =
            deadline_of(clock, self.arrived_at, self.submission.deadline_ms).min(reply_deadline);
        let mut may_have_run = false;
        loop {
            let spec = ReserveSpec {
                customer: self.submission.customer.clone(),
                workload: self.submission.workload.clone(),
                tasks: vec![self.shared.next_check_id(&self.submission.key)],
                resources: self.entry.resources,
                deadline: Some(start_deadline),
            };
            let held = match reserve(&self.shared, &spec).await {
                Ok(held) => held,
                Err(reason) => return self.refused_reply(reason, may_have_run),
            };
            let Some(grant) = held.grants.first() else {
                return self.refused_reply(NotRunReason::WorkerRefused, may_have_run);
            };
            let started_at = self.shared.platform.clock().now();
            if started_at >= start_deadline {
                // The grant arrived late, or this process was paused.
                held.release(0, TaskEnd::Stopped);
                return self.refused_reply(NotRunReason::DeadlinePassed, may_have_run);
            }
            let waited = started_at.saturating_duration_since(self.arrived_at);
            let (did_not_run, error) = match self.start(&spec, grant, reply_deadline).await {
                Ok(task) => match task.phase {
                    TaskPhase::Done | TaskPhase::Failed | TaskPhase::Stopped => {
                        held.release(0, task_end(task.phase));
                        return self.ended_reply(&task, grant, waited);
                    }
                    // The owner of the worker detects the end of the task and releases its
                    // capacity.
                    TaskPhase::Running => return self.unknown_reply("the wait ended while it ran"),
                },
                Err(error) => (error.had_no_effect(), error),
            };
            if did_not_run {
                held.release(0, TaskEnd::Refused);
                EventCode::StartRefused.log(format_args!(
                    "task={} worker={} cause={error}",
                    spec.tasks[0], grant.worker
                ));
            } else {
                may_have_run = true;
                EventCode::StartUnknown.log(format_args!(
                    "task={} worker={} cause={error}",
                    spec.tasks[0], grant.worker
                ));
                if !self.entry.is_repeatable() {
                    return self.unknown_reply("the worker did not answer");
                }
            }
            if self.shared.platform.clock().now() >= start_deadline {
                return self.refused_reply(NotRunReason::DeadlinePassed, may_have_run);
            }
            if !self.shared.placer.try_retry().await {
                return self.refused_reply(NotRunReason::WorkerRefused, may_have_run);
            }
            self.shared.metrics.record_retry();
        }
    }

    async fn start(
        &self,
        spec: &ReserveSpec,
        grant: &TaskGrant,
        reply_deadline: Instant,
    ) -> Result<TaskView, PortError> {
        let now = self.shared.platform.clock().now();
        let remaining = reply_deadline.saturating_duration_since(now);
        let request = StartRequest {
            id: spec.tasks[0].clone(),
            fence: grant.fence,
            resources: self.entry.resources,
            leased: false,
            wait_ms: remaining.as_millis() as u64,
            revision: self.revision,
            customer: self.submission.customer.clone(),
            workload: self.submission.workload.clone(),
            payload: self.submission.payload.clone(),
        };
        let workers = self.shared.platform.workers();
        workers
            .start(&grant.address, &request, remaining + REPLY_MARGIN)
            .await
    }

    fn ended_reply(&self, task: &TaskView, grant: &TaskGrant, waited: Duration) -> WorkReply {
        let outcome = match task.phase {
            TaskPhase::Done => Outcome::Done,
            _ => Outcome::Failed,
        };
        let mut reply = WorkReply::new(&self.submission.key, outcome);
        reply.results = vec![task.result.clone()];
        reply.workers = vec![grant.worker.clone()];
        reply.waited_ms = waited.as_millis() as u64;
        reply.revision = self.revision;
        self.shared.metrics.record_wait(WorkClass::Check, waited);
        reply
    }

    fn refused_reply(&self, reason: NotRunReason, may_have_run: bool) -> WorkReply {
        if may_have_run {
            return self.unknown_reply("an earlier start may have run");
        }
        let mut reply = WorkReply::not_run(&self.submission.key, reason, "");
        reply.revision = self.revision;
        reply
    }

    fn unknown_reply(&self, detail: &str) -> WorkReply {
        let mut reply = WorkReply::unknown(&self.submission.key, detail);
        reply.revision = self.revision;
        reply
    }
}
