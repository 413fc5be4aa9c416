//! Capacity of a worker for the tasks of a step.
//!
//! Placement, advice requests and reservations use the same figures. If they differed, a step could wait for
//! workers on which it is never placed.

use std::time::Instant;

use hs_wire::Resources;

use crate::StepId;
use crate::cell::Cell;
use crate::job_spec::StepSpec;
use crate::worker::Worker;

/// Properties of a step that determine how many of its tasks fit on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StepDemand {
    pub step: StepId,
    /// Resources that each task occupies.
    pub need: Resources,
    pub priority: u8,
    /// Maximum number of tasks of the step on one worker.
    pub max_per_worker: u32,
}

impl StepDemand {
    pub(crate) fn new(step: StepId, spec: &StepSpec, priority: u8) -> Self {
        let max_per_worker = match spec.max_per_worker {
            0 => u32::MAX,
            limit => u32::from(limit),
        };
        Self {
            step,
            need: spec.allocated_resources(),
            priority,
            max_per_worker,
        }
    }
}

impl Cell {
    /// Returns the demand of a step, or `None` if its queue is not configured.
    pub(crate) fn step_demand(&self, id: StepId) -> Option<StepDemand> {
        let job = self.jobs.get(&id.job)?;
        let queue = self.queues.get(&job.spec.as_ref()?.queue)?;
        Some(StepDemand::new(id, job.step_spec(id)?, queue.priority))
    }
}

impl Worker {
    /// Returns how many further tasks of a step can be placed on the worker now. Tickets are not considered.
    pub(crate) fn placeable_tasks(&self, demand: &StepDemand, now: Instant) -> u32 {
        if !self.accepts_runs(now) || self.is_reserved_for_another(demand) {
            return 0;
        }
        let fits = demand.need.max_copies_in(self.free());
        match fits {
            0 => 0,
            fits => fits.min(self.task_limit(demand, now)),
        }
    }

    /// Returns how many further tasks of a step the worker may run, however many resources are free.
    pub(crate) fn task_limit(&self, demand: &StepDemand, now: Instant) -> u32 {
        if self.is_quarantined_or_on_probation(now) {
            return 1;
        }
        if demand.max_per_worker == u32::MAX {
            return u32::MAX;
        }
        let runs = self.slots.keys();
        let of_step = runs.filter(|run| run.task.step == demand.step).count();
        let of_step = u32::try_from(of_step).unwrap_or(u32::MAX);
        demand.max_per_worker.saturating_sub(of_step)
    }

    fn is_reserved_for_another(&self, demand: &StepDemand) -> bool {
        self.reserved_by
            .is_some_and(|(priority, step)| step != demand.step && priority <= demand.priority)
    }
}
