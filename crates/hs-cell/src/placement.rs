//! Placement of tasks on workers.
//!
//! A scheduling pass goes through waiting steps in order (see the `passes` module). Placement is best-fit: a task goes to the
//! worker on which it leaves the least free resources, so that large tasks and gangs find empty workers.
//! A gang that does not fit reserves workers (see the `reserve` module).

use std::sync::Arc;
use std::time::Instant;

use hs_wire::Resources;
use smallvec::SmallVec;

use crate::active_steps::ActiveSteps;
use crate::advice_request::{AdviceAttempt, AdviceNeed};
use crate::capacity::StepDemand;
use crate::cell::Cell;
use crate::crash_history::Isolation;
use crate::evidence_feed::observed_worker;
use crate::isolation::PlannedTask;
use crate::job::{Job, StepRun, TaskState};
use crate::job_spec::StepSpec;
use crate::slot::{Slot, SlotPhase};
use crate::step_order::OrderKey;
use crate::worker::Worker;
use crate::{StepId, TaskRun, WorkerKey};

/// Worker on which tasks of a step fit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub key: WorkerKey,
    /// Number of tasks that fit.
    pub fits: u32,
    /// Share of the capacity that is left free after one more task, in thousandths. The resource of which the
    /// largest share is left counts.
    leftover_permille: u32,
    /// Whether the worker is on the preferred rack of the step, or the step prefers none.
    in_preferred_rack: bool,
    /// Whether a task of the step last failed on the worker.
    has_failed: bool,
}

impl Cell {
    /// Places tasks of a waiting step, and requests advice or reserves workers for it.
    pub(crate) fn place_step(
        &mut self,
        key: OrderKey,
        active_steps: &mut ActiveSteps,
        now: Instant,
    ) {
        let id = key.step;
        self.add_expected_uses(id, now);
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let (Some(step), Some(spec)) = (job.step(id), job.step_spec(id).cloned()) else {
            return;
        };
        if spec.gang && step.has_placed_tasks() {
            return;
        }
        let queue = job
            .spec
            .as_ref()
            .and_then(|spec| self.queues.get(&spec.queue));
        let advice = queue.and_then(|queue| queue.advice);
        if advice.is_none() && !self.open_starts.has_room(id.job, spec.start_kind()) {
            self.open_starts.record_limit();
            return;
        }
        let Some(plan) = self.plan_isolation(key, advice, now) else {
            return;
        };
        if !spec.gang {
            self.place_planned(id, &plan.planned, None, now);
        }
        let (waiting, planned) = (plan.shared, plan.planned);
        if waiting.is_empty() && (planned.is_empty() || !spec.gang) {
            return;
        }
        let wanted = waiting.len() as u32;
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let demand = StepDemand::new(key, &spec);
        let cpu_milli = u64::from(wanted) * u64::from(demand.need.cpu_milli);
        let is_active = active_steps.add(key.priority, cpu_milli, advice);
        let ticket_end = self.placement_ticket_end(now);
        let has_ticket = |step: &StepRun| step.advice.valid_workers(ticket_end).next().is_some();
        let can_start = advice.is_none() || job.step(id).is_some_and(has_ticket);
        if !is_active && !can_start {
            return;
        }
        let mut candidates = self.candidates(job, &demand, &spec, advice.is_some(), now);
        let is_taken = |key: WorkerKey| planned.iter().any(|task| task.worker == key);
        candidates.retain(|c| !is_taken(c.key));
        let total_fits = total_tasks(&candidates);
        if let Some(advice) = advice
            && is_active
            && (total_fits < wanted || job.step(id).is_some_and(|s| s.advice.tickets.is_empty()))
        {
            let need = AdviceNeed {
                spec: advice,
                wanted: wanted + self.tasks_displaced(&planned, &demand, now),
                demand,
            };
            if self.request_advice(key, need, now) == AdviceAttempt::NothingToName {
                self.delay_rescan(id, now);
            }
        }
        if spec.gang {
            // One whose workers have too many open starts reserves them, so that no others follow.
            candidates.retain(|candidate| self.open_starts.admits_gang(candidate.key, id.job));
        }
        let total_fits = total_tasks(&candidates);
        if (candidates.is_empty() && wanted > 0) || (spec.gang && total_fits < wanted) {
            // A reservation without the members that run alone would let the tickets of their workers expire.
            let is_plain = planned.is_empty() || advice.is_none();
            if is_active && spec.gang && is_plain {
                self.reserve(key, wanted, now);
            }
            return;
        }
        self.order_candidates(id, &spec, wanted, &mut candidates, now);
        let run = self
            .jobs
            .get(&id.job)
            .and_then(|job| job.step(id))
            .map(|s| s.max_run_number() + 1);
        let gang_run = run.filter(|_| spec.gang);
        if spec.gang {
            self.place_planned(id, &planned, gang_run, now);
        }
        self.place_waiting(id, &waiting, &candidates, gang_run, now);
    }

    /// Puts the workers on which tasks of a step are to be placed first to the front.
    fn order_candidates(
        &self,
        id: StepId,
        spec: &StepSpec,
        wanted: u32,
        candidates: &mut [Candidate],
        now: Instant,
    ) {
        let preference = self.worker_preference(id, now);
        candidates.sort_by_cached_key(|c| {
            (
                c.has_failed,
                !c.in_preferred_rack,
                preference.map(|p| p.standing(observed_worker(c.key))),
                c.leftover_permille,
                c.key,
            )
        });
        if spec.same_rack || spec.gang {
            let alike = self.prefer_one_speed_class(id, candidates, wanted, now);
            self.prefer_one_rack(alike, wanted);
        }
    }

    /// Places tasks on the candidates in their order, as far as these may have further starts. A gang starts whole.
    fn place_waiting(
        &mut self,
        id: StepId,
        waiting: &[u16],
        candidates: &[Candidate],
        gang_run: Option<u32>,
        now: Instant,
    ) {
        let mut left = waiting;
        for candidate in candidates {
            if left.is_empty() {
                break;
            }
            let wanted = u32::try_from(left.len()).unwrap_or(u32::MAX);
            let wanted = candidate.fits.min(wanted);
            let admitted = match gang_run {
                Some(_) => wanted,
                None => self.open_starts.admit(candidate.key, id.job, wanted),
            };
            let (placed, rest) = left.split_at(admitted as usize);
            for index in placed {
                self.place_task(id, *index, candidate.key, gang_run, false, now);
            }
            left = rest;
        }
    }

    fn place_planned(
        &mut self,
        id: StepId,
        tasks: &[PlannedTask],
        gang_run: Option<u32>,
        now: Instant,
    ) {
        for task in tasks {
            self.place_task(id, task.index, task.worker, gang_run, task.alone, now);
            self.workers[task.worker].vacated_for = None;
        }
    }

    fn place_task(
        &mut self,
        id: StepId,
        index: u16,
        key: WorkerKey,
        gang_run: Option<u32>,
        is_isolated: bool,
        now: Instant,
    ) {
        let demand = self.step_demand(id);
        let backfill = demand.and_then(|demand| self.workers.get(key)?.backfill(&demand, now));
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let Some(spec) = job.step_spec(id) else {
            return;
        };
        let (need, kind) = (spec.allocated_resources(), spec.start_kind());
        let Some(step) = job.step_mut(id) else {
            return;
        };
        let task = &mut step.tasks[usize::from(index)];
        task.run = gang_run.unwrap_or(task.run + 1);
        task.state = TaskState::Placed(key);
        task.isolated = is_isolated;
        let is_suspect = task.isolation() != Isolation::Unneeded;
        let run = TaskRun {
            task: id.task(index),
            run: task.run,
        };
        self.open_starts.add(key, run, kind, now);
        job.pending_starts.push((key, run));
        let slot = Slot {
            is_isolated,
            is_suspect,
            backfill,
            ..Slot::new(need, job.team, SlotPhase::Recording, now)
        };
        self.allocate(key, run, slot);
        self.observe_placement(key, run, now);
        self.mark_dirty(id.job);
    }

    /// Returns the workers on which tasks of a step can be placed now, those with the least free resources first.
    pub(crate) fn placeable_workers(
        &self,
        demand: &StepDemand,
        needs_ticket: bool,
        now: Instant,
    ) -> Vec<WorkerKey> {
        let job = self.jobs.get(&demand.step.job);
        let spec = job.and_then(|job| Some((job, job.step_spec(demand.step)?)));
        let Some((job, spec)) = spec else {
            return Vec::new();
        };
        let mut candidates = self.candidates(job, demand, spec, needs_ticket, now);
        candidates.sort_by_key(|c| (!c.in_preferred_rack, c.leftover_permille, c.key));
        candidates.into_iter().map(|c| c.key).collect()
    }

    /// Returns the workers on which tasks of a step can be placed now.
    fn candidates(
        &self,
        job: &Job,
        demand: &StepDemand,
        spec: &StepSpec,
        needs_ticket: bool,
        now: Instant,
    ) -> Vec<Candidate> {
        let Some(step) = job.step(demand.step) else {
            return Vec::new();
        };
        let Some(service) = self.service_of(job) else {
            return Vec::new();
        };
        let mut failed_on: SmallVec<[WorkerKey; 8]> = step
            .tasks
            .iter()
            .filter_map(|task| task.last_failed_on)
            .collect();
        failed_on.sort_unstable();
        let mut candidates = Vec::new();
        // If the queue uses advice, only the few workers with a valid ticket are candidates.
        let keys: SmallVec<[WorkerKey; 64]> = match needs_ticket {
            true => {
                let ticket_end = self.placement_ticket_end(now);
                step.advice.valid_workers(ticket_end).collect()
            }
            false => self
                .free_index
                .fullest_first(demand.need.cpu_milli)
                .collect(),
        };
        self.pass_work.add_looks(keys.len());
        for key in keys {
            let Some(worker) = self.workers.get(key) else {
                continue;
            };
            let fits = worker.placeable_tasks(demand, now);
            if fits == 0 || worker.entry.service != service {
                continue;
            }
            if !has_label(&worker.entry.labels, spec.requires.as_ref()) {
                continue;
            }
            let after = worker.free().saturating_sub(demand.need);
            let leftover = after.dominant_share(worker.entry.capacity) * 1000.0;
            candidates.push(Candidate {
                key,
                fits,
                leftover_permille: leftover as u32,
                in_preferred_rack: spec.affinity.is_none() || spec.affinity == worker.rack,
                has_failed: failed_on.binary_search(&key).is_ok(),
            });
        }
        candidates
    }

    /// Moves the workers of one rack to the front, if there is a rack on which all tasks fit. Among several,
    /// the one on which the fewest tasks fit is chosen.
    fn prefer_one_rack(&self, candidates: &mut [Candidate], wanted: u32) {
        let mut racks: Vec<(Option<Arc<str>>, u32)> = Vec::new();
        for candidate in candidates.iter() {
            let rack = &self.workers[candidate.key].rack;
            match racks.iter_mut().find(|(name, _)| name == rack) {
                Some((_, fits)) => *fits = fits.saturating_add(candidate.fits),
                None => racks.push((rack.clone(), candidate.fits)),
            }
        }
        let large_enough = racks.into_iter().filter(|(_, fits)| *fits >= wanted);
        if let Some((rack, _)) = large_enough.min_by_key(|(_, fits)| *fits) {
            candidates.sort_by_key(|c| self.workers[c.key].rack != rack);
        }
    }

    /// Returns the conditions that a worker has to meet to run a step.
    pub(crate) fn eligibility<'a>(&self, job: &'a Job, id: StepId) -> Option<Eligibility<'a>> {
        let spec = job.step_spec(id)?;
        Some(Eligibility {
            service: self.service_of(job)?,
            need: spec.allocated_resources(),
            label: spec.requires.as_ref(),
        })
    }

    fn service_of(&self, job: &Job) -> Option<Arc<str>> {
        let queue = self.queues.get(&job.spec.as_ref()?.queue)?;
        Some(queue.service.clone())
    }
}

/// Returns the number of tasks that fit on workers.
fn total_tasks(candidates: &[Candidate]) -> u32 {
    let fits = candidates.iter().map(|candidate| candidate.fits);
    fits.fold(0, u32::saturating_add)
}

/// Conditions that a worker has to meet to run a step, regardless of its current load.
#[derive(Clone, Debug)]
pub(crate) struct Eligibility<'a> {
    service: Arc<str>,
    need: Resources,
    label: Option<&'a Arc<str>>,
}

impl Eligibility<'_> {
    pub(crate) fn admits(&self, worker: &Worker, now: Instant) -> bool {
        worker.listed
            && worker.reported
            && worker.quarantined_until.is_none_or(|until| now >= until)
            && self.suits(worker)
    }

    /// Returns whether the worker may run the step once it is reachable and healthy.
    pub(crate) fn suits(&self, worker: &Worker) -> bool {
        !worker.entry.draining
            && worker.entry.service == self.service
            && self.need.fits(worker.entry.capacity)
            && has_label(&worker.entry.labels, self.label)
    }
}

fn has_label(labels: &[Arc<str>], wanted: Option<&Arc<str>>) -> bool {
    wanted.is_none_or(|wanted| labels.contains(wanted))
}
