//! Placement of suspects alone on workers.
//!
//! A suspect takes an empty worker if there is one. For a suspect that must not share a worker, the one that gets
//! empty first is vacated otherwise: nothing else is placed there. Runs that have lasted for long do not delay
//! the suspect, since they may never end.

use std::time::{Duration, Instant};

use hs_wire::Resources;
use smallvec::SmallVec;

use crate::advice_request::{AdviceAttempt, AdviceNeed};
use crate::capacity::{SETTLED_RUN_TIME, Sharing, StepDemand};
use crate::cell::Cell;
use crate::crash_history::{CrashHistory, Isolation};
use crate::job::{StepRun, Task};
use crate::queue_spec::AdviceSpec;
use crate::slot::SlotPhase;
use crate::step_order::OrderKey;
use crate::worker::Worker;
use crate::{StepId, WorkerKey};

/// At most the number of workers divided by this is vacated at a time, but always one.
const VACATED_WORKERS_DIVISOR: usize = 4;

/// Time after which another worker is chosen if the vacated one does not accept the suspect.
const VACATING_TIMEOUT: Duration = Duration::from_secs(15);

/// When a worker can be vacated. The least is the best.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Vacancy {
    is_too_full: bool,
    at: Instant,
}

/// Worker that is being vacated.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Vacating {
    /// Step for a suspect of which the worker is vacated.
    pub step: StepId,
    pub until: Instant,
}

/// Task under which workers have crashed, and the worker on which it is placed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedTask {
    pub index: u16,
    pub worker: WorkerKey,
    /// Whether nothing else may run on the worker.
    pub alone: bool,
}

/// How the waiting tasks of a step are placed.
#[derive(Clone, Debug, Default)]
pub(crate) struct IsolationPlan {
    /// Tasks that may be placed on any worker.
    pub shared: SmallVec<[u16; 16]>,
    pub planned: Vec<PlannedTask>,
}

impl IsolationPlan {
    /// Plans one task for each of the workers that are not taken yet. Returns the tasks for which none is left.
    fn place_on(&mut self, tasks: Vec<u16>, workers: &[WorkerKey], alone: bool) -> Vec<u16> {
        let planned = &self.planned;
        let is_taken = |key: &WorkerKey| planned.iter().any(|task| task.worker == *key);
        let free: Vec<WorkerKey> = workers.iter().copied().filter(|k| !is_taken(k)).collect();
        let mut tasks = tasks.into_iter();
        for worker in free {
            let Some(index) = tasks.next() else {
                break;
            };
            self.planned.push(PlannedTask {
                index,
                worker,
                alone,
            });
        }
        tasks.collect()
    }
}

/// Waiting tasks of a step by how they may share a worker.
#[derive(Debug, Default)]
struct WaitingTasks {
    shared: SmallVec<[u16; 16]>,
    apart: Vec<u16>,
    preferred: Vec<u16>,
    required: Vec<u16>,
    /// Number of tasks that wait for the return of workers.
    on_hold: usize,
}

impl WaitingTasks {
    fn of(step: &StepRun, now: Instant) -> Self {
        let mut waiting = Self::default();
        for index in step.waiting_tasks() {
            let task = &step.tasks[usize::from(index)];
            if is_on_hold(task, now) {
                waiting.on_hold += 1;
                continue;
            }
            match task.isolation() {
                Isolation::Unneeded => waiting.shared.push(index),
                Isolation::Apart => waiting.apart.push(index),
                Isolation::Preferred => waiting.preferred.push(index),
                Isolation::Required => waiting.required.push(index),
            }
        }
        waiting
    }

    /// Keeps at most this many tasks, those that are the easiest to place first.
    fn truncate(&mut self, max_tasks: u64) {
        let mut left = usize::try_from(max_tasks).unwrap_or(usize::MAX);
        self.shared.truncate(left);
        left -= self.shared.len();
        for tasks in [&mut self.apart, &mut self.preferred, &mut self.required] {
            tasks.truncate(left);
            left -= tasks.len();
        }
    }

    fn len(&self) -> usize {
        self.shared.len() + self.apart.len() + self.preferred.len() + self.required.len()
    }
}

fn is_on_hold(task: &Task, now: Instant) -> bool {
    let history = task.crash_history.as_deref();
    history.is_some_and(|history| CrashHistory::is_on_hold(history, now))
}

impl Cell {
    /// Plans how the waiting tasks of a step are placed. Requests advice and vacates workers for those that have to
    /// run alone and cannot. Returns `None` if no task of the step can be placed.
    pub(crate) fn plan_isolation(
        &mut self,
        order: OrderKey,
        advice: Option<AdviceSpec>,
        now: Instant,
    ) -> Option<IsolationPlan> {
        let job = self.jobs.get(&order.step.job)?;
        let spec = job.step_spec(order.step)?;
        let mut waiting = WaitingTasks::of(job.step(order.step)?, now);
        let demand = StepDemand::new(order, spec);
        if !spec.gang {
            waiting.truncate(self.team_room(job).max_tasks(demand.need));
        }
        if spec.gang {
            return self.plan_gang(order, demand, advice, waiting, now);
        }
        let mut plan = IsolationPlan {
            shared: waiting.shared,
            planned: Vec::new(),
        };
        let mut apart = waiting.apart;
        if !waiting.required.is_empty() || !waiting.preferred.is_empty() {
            let alone = demand.with_sharing(Sharing::Alone);
            let workers = self.workers_for_isolation(&alone, advice, now);
            let waits = plan.place_on(waiting.required, &workers, true);
            if !waits.is_empty() {
                self.prepare_isolation(order, alone, advice, waits.len(), now);
            }
            let others = plan.place_on(waiting.preferred, &workers, true);
            apart.splice(0..0, others);
        }
        if !apart.is_empty() {
            let demand = demand.with_sharing(Sharing::Apart);
            let workers = self.placeable_workers(&demand, advice.is_some(), now);
            let others = plan.place_on(apart, &workers, false);
            plan.shared.extend(others);
        }
        Some(plan)
    }

    /// Plans the members of a gang. Those that may share a worker only run alone if there are empty workers for
    /// all members.
    fn plan_gang(
        &mut self,
        order: OrderKey,
        demand: StepDemand,
        advice: Option<AdviceSpec>,
        waiting: WaitingTasks,
        now: Instant,
    ) -> Option<IsolationPlan> {
        if waiting.on_hold > 0 {
            return None;
        }
        let members = waiting.len();
        let mut plan = IsolationPlan {
            shared: waiting.shared,
            planned: Vec::new(),
        };
        plan.shared.extend(waiting.apart);
        if waiting.required.is_empty() && waiting.preferred.is_empty() {
            return Some(plan);
        }
        let alone_demand = demand.with_sharing(Sharing::Alone);
        let workers = self.workers_for_isolation(&alone_demand, advice, now);
        let mut alone = waiting.required;
        match workers.len() >= members {
            true => alone.extend(waiting.preferred),
            false => plan.shared.extend(waiting.preferred),
        }
        if !self.has_room_for_isolation(&demand, alone.len(), plan.shared.len(), now) {
            plan.shared.extend(alone);
            return Some(plan);
        }
        if workers.len() < alone.len() {
            self.prepare_isolation(order, alone_demand, advice, alone.len(), now);
            return None;
        }
        plan.place_on(alone, &workers, true);
        Some(plan)
    }

    /// Returns the workers on which a suspect can be placed alone now, the vacated ones first.
    fn workers_for_isolation(
        &self,
        demand: &StepDemand,
        advice: Option<AdviceSpec>,
        now: Instant,
    ) -> Vec<WorkerKey> {
        let mut workers = self.placeable_workers(demand, advice.is_some(), now);
        let is_vacated = |key: &WorkerKey| self.workers[*key].vacated_for.is_some();
        // Other tasks of the step may be placed on the workers that are not vacated.
        workers.sort_by_key(|key| !is_vacated(key));
        workers
    }

    /// Returns how many tasks could be placed on the workers that members of a gang are going to have alone.
    pub(crate) fn tasks_displaced(
        &self,
        planned: &[PlannedTask],
        demand: &StepDemand,
        now: Instant,
    ) -> u32 {
        let workers = planned
            .iter()
            .filter_map(|task| self.workers.get(task.worker));
        let fits = workers.map(|worker| worker.placeable_tasks(demand, now));
        fits.fold(0, u32::saturating_add)
    }

    /// Returns whether this many members of a gang can each have a worker of their own while the others share the
    /// rest, once all runs have ended that have not lasted for long and crashed workers are back.
    fn has_room_for_isolation(
        &self,
        demand: &StepDemand,
        alone: usize,
        shared: usize,
        now: Instant,
    ) -> bool {
        let id = demand.step;
        let Some(job) = self.jobs.get(&id.job) else {
            return false;
        };
        let (Some(step), Some(eligibility)) = (job.step(id), self.eligibility(job, id)) else {
            return false;
        };
        self.pass_work.add_looks(self.workers.len());
        let is_denied = |key: WorkerKey| step.advice.denied.binary_search(&key).is_ok();
        let workers = self.workers.iter();
        let usable = workers.filter(|(key, worker)| eligibility.suits(worker) && !is_denied(*key));
        let fits = usable.map(|(_, worker)| worker.tasks_beside_settled(demand, now));
        let mut fits: Vec<usize> = fits.filter(|fits| *fits > 0).collect();
        fits.sort_unstable();
        let rest = fits.iter().skip(alone);
        fits.len() >= alone && rest.fold(0, |sum, fits| fits.saturating_add(sum)) >= shared
    }

    /// Requests advice and vacates workers for suspects that have to run alone.
    fn prepare_isolation(
        &mut self,
        order: OrderKey,
        demand: StepDemand,
        advice: Option<AdviceSpec>,
        missing: usize,
        now: Instant,
    ) {
        if let Some(spec) = advice {
            let wanted = u32::try_from(missing).unwrap_or(u32::MAX);
            // Empty workers come first, then those that can be vacated.
            for sharing in [Sharing::Alone, Sharing::Shared] {
                let demand = demand.with_sharing(sharing);
                let need = AdviceNeed {
                    spec,
                    wanted,
                    demand,
                };
                if self.request_advice(order, need, now) != AdviceAttempt::NothingToName {
                    break;
                }
            }
        }
        let vacated = self.vacated_workers.iter();
        let vacated = vacated.filter_map(|key| self.workers.get(*key)?.vacated_for);
        let limit = (self.workers.len() / VACATED_WORKERS_DIVISOR).max(1);
        let mut total = vacated.clone().count();
        let mut of_step = vacated.filter(|v| v.step == order.step).count();
        // A single step may exceed the limit, since a gang needs all its workers at once.
        while of_step < missing && (total < limit || total == of_step) {
            let Some(key) = self.worker_to_vacate(order.step, advice, now) else {
                return;
            };
            self.workers[key].vacated_for = Some(Vacating {
                step: order.step,
                until: now + VACATING_TIMEOUT,
            });
            self.vacated_workers.push(key);
            of_step += 1;
            total += 1;
        }
    }

    /// Returns the worker on which a suspect can be placed soonest once nothing else is placed there.
    fn worker_to_vacate(
        &self,
        id: StepId,
        advice: Option<AdviceSpec>,
        now: Instant,
    ) -> Option<WorkerKey> {
        let job = self.jobs.get(&id.job)?;
        let eligibility = self.eligibility(job, id)?;
        let step = job.step(id)?;
        let need = job.step_spec(id)?.allocated_resources();
        self.pass_work.add_looks(self.workers.len());
        let is_allowed = |key: WorkerKey| advice.is_none() || step.advice.any_ticket(key).is_some();
        let is_usable = |key: WorkerKey, worker: &Worker| {
            let is_free = worker.vacated_for.is_none() && worker.isolated_runs == 0;
            is_free && eligibility.admits(worker, now) && is_allowed(key)
        };
        let workers = self.workers.iter();
        let usable = workers.filter(|(key, worker)| is_usable(*key, worker));
        let vacancies =
            usable.filter_map(|(key, worker)| Some((self.vacancy(worker, need, now)?, key)));
        vacancies.min().map(|(_, key)| key)
    }

    /// Returns whether a worker is too full for a suspect beside its runs, and the time at which they have ended
    /// or, unless it is too full, have lasted for long. On a worker that is not too full that takes
    /// [`SETTLED_RUN_TIME`] at most. Returns `None` if the worker is too full and the end of a run is not known: nothing
    /// else would be placed there, and the suspect neither.
    fn vacancy(&self, worker: &Worker, need: Resources, now: Instant) -> Option<Vacancy> {
        let is_too_full = !need.fits(worker.free());
        let mut at = now;
        for (run, slot) in &worker.slots {
            let settled_at = slot.started_at + SETTLED_RUN_TIME;
            let end = match slot.phase {
                SlotPhase::Stopping => Some(now),
                _ => self.expected_end(*run, slot, now),
            };
            let vacant_at = match end {
                end if is_too_full => end?,
                Some(end) => end.min(settled_at),
                None => settled_at,
            };
            at = at.max(vacant_at);
        }
        Some(Vacancy { is_too_full, at })
    }

    /// Ends the vacating of workers whose suspects no longer wait, or that do not accept them.
    pub(crate) fn refresh_vacated_workers(&mut self, now: Instant) {
        let mut vacated = std::mem::take(&mut self.vacated_workers);
        vacated.retain(|key| {
            let Some(worker) = self.workers.get(*key) else {
                return false;
            };
            let Some(vacating) = worker.vacated_for else {
                return false;
            };
            let goes_on = now < vacating.until
                && !worker.entry.draining
                && worker.listed
                && self.has_waiting_suspects(vacating.step);
            if !goes_on {
                self.workers[*key].vacated_for = None;
            }
            goes_on
        });
        self.vacated_workers = vacated;
    }

    fn has_waiting_suspects(&self, id: StepId) -> bool {
        let job = self.jobs.get(&id.job).filter(|job| job.outcome.is_none());
        let Some(step) = job.and_then(|job| job.step(id)) else {
            return false;
        };
        let is_suspect =
            |index: u16| step.tasks[usize::from(index)].isolation() == Isolation::Required;
        step.waiting_tasks().any(is_suspect)
    }
}
