//! Capacity of a worker for the tasks of a step.
//!
//! Placement, advice requests and reservations use the same figures. If they differed, a step could wait for
//! workers on which it is never placed.

use std::time::{Duration, Instant};

use hs_wire::Resources;

use crate::StepId;
use crate::cell::Cell;
use crate::job_spec::StepSpec;
use crate::slot::{Slot, SlotPhase};
use crate::step_order::{OrderKey, StepRank, Timeliness};
use crate::worker::Worker;

/// Properties of a step that determine how many of its tasks fit on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StepDemand {
    pub step: StepId,
    /// Resources that each task occupies.
    pub need: Resources,
    pub priority: u8,
    /// Rank by which reservations of other steps are respected.
    pub rank: StepRank,
    /// Maximum number of tasks of the step on one worker.
    pub max_per_worker: u32,
    pub sharing: Sharing,
    /// Time that a task is expected to take; `None` if it lasts until it is cancelled, or its client has given no estimate.
    pub run_time: Option<Duration>,
}

/// What may run beside a task on its worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Sharing {
    /// All tasks that are not isolated.
    #[default]
    Shared,
    /// All tasks that are not isolated and under which no worker has crashed.
    Apart,
    /// Nothing; on a worker that was vacated for the step, runs that have lasted for [`SETTLED_RUN_TIME`].
    Alone,
}

/// Duration from which a run counts as harmless to its worker. A suspect may run beside it where no worker gets
/// empty, and a crash counts as if the suspect were alone.
pub(crate) const SETTLED_RUN_TIME: Duration = Duration::from_secs(10);

impl StepDemand {
    pub(crate) fn new(order: OrderKey, spec: &StepSpec) -> Self {
        let max_per_worker = match spec.max_per_worker {
            0 => u32::MAX,
            limit => u32::from(limit),
        };
        let has_end = !spec.long_running && spec.estimate_ms > 0;
        Self {
            step: order.step,
            need: spec.allocated_resources(),
            priority: order.priority,
            rank: order.rank,
            max_per_worker,
            sharing: Sharing::Shared,
            run_time: has_end.then(|| Duration::from_millis(spec.estimate_ms)),
        }
    }

    /// Returns the same demand for a task that shares its worker in another way.
    pub(crate) fn with_sharing(self, sharing: Sharing) -> Self {
        Self { sharing, ..self }
    }
}

impl Cell {
    /// Returns the demand of a step, or `None` if its queue is not configured.
    pub(crate) fn step_demand(&self, id: StepId) -> Option<StepDemand> {
        let job = self.jobs.get(&id.job)?;
        let order = match self.ready_steps.key(id) {
            Some(order) => order,
            None => self.ready_step(id)?.key(Timeliness::OnTime),
        };
        Some(StepDemand::new(order, job.step_spec(id)?))
    }
}

impl Worker {
    /// Returns how many further tasks of a step can be placed on the worker now. Tickets are not considered.
    pub(crate) fn placeable_tasks(&self, demand: &StepDemand, now: Instant) -> u32 {
        if !self.accepts_runs(now) {
            return 0;
        }
        // A worker that has shrunk gets nothing, not even tasks that need none of what it lacks.
        if !self.used.fits(self.entry.capacity) {
            return 0;
        }
        match self.unreserved_fits(demand, now) {
            0 => 0,
            fits => fits.min(self.task_limit(demand, now)),
        }
    }

    /// Returns how many further tasks of a step the worker may run, however many resources are free.
    pub(crate) fn task_limit(&self, demand: &StepDemand, now: Instant) -> u32 {
        let limit = self.sharing_limit(demand, now);
        if limit == 0 {
            return 0;
        }
        if self.is_quarantined_or_on_probation(now) {
            return 1;
        }
        if demand.max_per_worker == u32::MAX {
            return limit;
        }
        let runs = self.slots.keys();
        let of_step = runs.filter(|run| run.task.step == demand.step).count();
        let of_step = u32::try_from(of_step).unwrap_or(u32::MAX);
        demand.max_per_worker.saturating_sub(of_step).min(limit)
    }

    /// Returns how many further tasks of a step the worker may run because of what is beside them.
    fn sharing_limit(&self, demand: &StepDemand, now: Instant) -> u32 {
        let is_for_another = match demand.sharing {
            Sharing::Apart => self.vacated_for.is_some(),
            _ => self.vacated_for.is_some_and(|v| v.step != demand.step),
        };
        let is_usable = match demand.sharing {
            Sharing::Shared => return self.shared_limit(),
            Sharing::Apart => !self.slots.values().any(|slot| slot.is_suspect),
            Sharing::Alone => self.is_vacant_for(demand.step, now),
        };
        u32::from(is_usable && !is_for_another && self.isolated_runs == 0)
    }

    fn is_vacant_for(&self, step: StepId, now: Instant) -> bool {
        let is_vacated = self.vacated_for.is_some_and(|v| v.step == step);
        let mut slots = self.slots.values();
        slots.all(|slot| is_vacated && slot.is_settled(now))
    }

    /// Returns how many tasks of a step fit beside the runs that have lasted for long.
    pub(crate) fn tasks_beside_settled(&self, demand: &StepDemand, now: Instant) -> usize {
        let settled = self.slots.values().filter(|slot| slot.is_settled(now));
        let used = settled.fold(Resources::ZERO, |sum, slot| sum.saturating_add(slot.need));
        let fits = demand
            .need
            .max_copies_in(self.entry.capacity.saturating_sub(used));
        fits.min(demand.max_per_worker) as usize
    }

    fn shared_limit(&self) -> u32 {
        match self.isolated_runs > 0 || self.vacated_for.is_some() {
            true => 0,
            false => u32::MAX,
        }
    }
}

impl Slot {
    /// Returns whether the run has lasted long enough to count as harmless to its worker.
    pub(crate) fn is_settled(&self, now: Instant) -> bool {
        let time = now.saturating_duration_since(self.started_at);
        self.phase == SlotPhase::Running && !self.is_isolated && time >= SETTLED_RUN_TIME
    }
}
