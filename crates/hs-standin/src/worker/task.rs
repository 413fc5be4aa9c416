//! One task of a worker.

use std::time::Instant;

use hs_wire::{Resources, TaskPhase, TaskView, WorkId};
use tokio::sync::watch;

use super::plan::TaskPlan;

/// One task, running or recently ended.
pub(super) struct TaskRecord {
    pub(super) id: WorkId,
    pub(super) phase: TaskPhase,
    pub(super) resources: Resources,
    pub(super) customer: String,
    pub(super) workload: String,
    pub(super) leased: bool,
    pub(super) started: Instant,
    /// Time of the end, once it has come.
    pub(super) ended: Option<Instant>,
    pub(super) plan: TaskPlan,
    /// Position of the start in the log.
    pub(super) log_index: usize,
    /// Becomes true at the end.
    pub(super) signal: watch::Sender<bool>,
}

impl TaskRecord {
    pub(super) fn view(&self, now: Instant) -> TaskView {
        let ran = self.ended.unwrap_or(now) - self.started;
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
            ran_ms: u64::try_from(ran.as_millis()).unwrap_or(u64::MAX),
        }
    }
}
