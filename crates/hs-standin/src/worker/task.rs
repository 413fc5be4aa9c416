//! Record of a task of a worker stand-in.

use std::time::Instant;

use hs_wire::{Resources, TaskPhase, TaskView, WorkId};
use tokio::sync::watch;

use super::plan::TaskPlan;

/// A task that is running or ended recently.
pub(super) struct TaskRecord {
    pub(super) id: WorkId,
    pub(super) phase: TaskPhase,
    pub(super) resources: Resources,
    pub(super) customer: String,
    pub(super) workload: String,
    pub(super) leased: bool,
    pub(super) started_at: Instant,
    /// Time of the end; absent while the task runs.
    pub(super) ended_at: Option<Instant>,
    pub(super) plan: TaskPlan,
    /// Index of its entry in the log.
    pub(super) log_index: usize,
    /// Becomes true when the task ends.
    pub(super) end_signal: watch::Sender<bool>,
}

impl TaskRecord {
    pub(super) fn view(&self, now: Instant) -> TaskView {
        let run_time = self.ended_at.unwrap_or(now) - self.started_at;
        let result = match self.phase {
            TaskPhase::Done | TaskPhase::Failed => self.plan.result.clone(),
            TaskPhase::Running | TaskPhase::Stopped => String::new(),
        };
        TaskView {
            id: self.id.clone(),
            phase: self.phase,
            resources: self.resources,
            customer: self.customer.clone(),
            workload: self.workload.clone(),
            result,
            ran_ms: u64::try_from(run_time.as_millis()).unwrap_or(u64::MAX),
        }
    }
}
