//! When and where a gang can start: the workers on which its tasks find room soonest, and when the runs there end.

use std::time::{Duration, Instant};

use hs_wire::Resources;
use smallvec::SmallVec;

use crate::capacity::StepDemand;
use crate::cell::Cell;
use crate::reservation::{Backfill, ReservedWorker};
use crate::slot::{Slot, SlotPhase};
use crate::step_order::OrderKey;
use crate::{StepId, TaskRun, WorkerKey};

/// Time from a stop until the resources are free: the stop takes up to 200 ms, and then the worker has to
/// report the end.
const STOP_LATENCY: Duration = Duration::from_millis(250);

/// Minimum time by which a backfill may exceed its expected end before others are placed beside it again.
const MIN_BACKFILL_OVERRUN: Duration = Duration::from_secs(2);

/// A backfill may exceed its expected end by the time for which the gang has reserved workers divided by this.
const BACKFILL_OVERRUN_DIVISOR: u32 = 4;

/// Whether runs of lower priority may be stopped for a gang.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Preemption {
    Allowed,
    Disallowed,
}

/// Gang for which a start is planned.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GangStart {
    pub order: OrderKey,
    /// Number of tasks to place.
    pub wanted: u32,
    /// Time since which the gang has reserved workers.
    pub reserved_since: Instant,
    pub preemption: Preemption,
}

/// Possible placement of one more task of the gang on a worker.
#[derive(Clone, Debug)]
pub(crate) struct PlacementOption {
    /// Time from which the task fits.
    available_at: Instant,
    pub key: WorkerKey,
    /// Runs to preempt for it, in addition to those of earlier options on the worker.
    pub victims: SmallVec<[TaskRun; 4]>,
}

/// Expected release of the resources of a run.
#[derive(Clone, Copy, Debug)]
struct ResourceRelease {
    at: Instant,
    run: TaskRun,
    need: Resources,
    /// Whether the release requires preemption of the run.
    preempted: bool,
}

/// Placements for all tasks of a gang, and the time from which all are available.
#[derive(Debug)]
pub(crate) struct StartPlan {
    pub start_at: Instant,
    pub placements: Vec<PlacementOption>,
}

impl Cell {
    /// Chooses the workers on which a gang can start soonest. Returns `None` if too few tasks fit, or only beside runs
    /// whose ends are not known.
    pub(crate) fn start_plan(
        &self,
        gang: GangStart,
        allowed: &[WorkerKey],
        now: Instant,
    ) -> Option<StartPlan> {
        let id = gang.order.step;
        let spec = self.jobs.get(&id.job)?.step_spec(id)?;
        let demand = StepDemand::new(gang.order, spec);
        let mut options = Vec::new();
        self.pass_work.add_looks(allowed.len());
        for key in allowed {
            self.add_placement_options(gang, *key, &demand, now, &mut options);
        }
        options.sort_by_key(|option| option.available_at);
        options.truncate(usize::try_from(gang.wanted).ok()?);
        if options.len() < usize::try_from(gang.wanted).ok()? {
            return None;
        }
        let start_at = options.last()?.available_at;
        Some(StartPlan {
            start_at,
            placements: options,
        })
    }

    /// Returns the workers of a plan, with what the gang needs there and the runs that are expected to end before its
    /// start.
    pub(crate) fn reserved_workers_of(
        &self,
        plan: &StartPlan,
        gang: GangStart,
        now: Instant,
    ) -> Vec<ReservedWorker> {
        let id = gang.order.step;
        let job = self.jobs.get(&id.job);
        let Some(spec) = job.and_then(|job| job.step_spec(id)) else {
            return Vec::new();
        };
        let need = spec.allocated_resources();
        let mut keys: Vec<WorkerKey> = plan.placements.iter().map(|p| p.key).collect();
        keys.sort_unstable();
        let of_workers = keys.chunk_by(|a, b| a == b);
        let reserved = of_workers.map(|members| ReservedWorker {
            key: members[0],
            need: need.saturating_mul(u32::try_from(members.len()).unwrap_or(u32::MAX)),
            ending: self.runs_ending_by_start(plan, members[0], gang, now),
        });
        reserved.collect()
    }

    /// Returns the runs on a worker that are preempted for a plan, or expected to end before its start.
    fn runs_ending_by_start(
        &self,
        plan: &StartPlan,
        key: WorkerKey,
        gang: GangStart,
        now: Instant,
    ) -> SmallVec<[TaskRun; 4]> {
        let Some(worker) = self.workers.get(key) else {
            return SmallVec::new();
        };
        let others = GangStart {
            preemption: Preemption::Disallowed,
            ..gang
        };
        let is_ending = |run: TaskRun, slot: &Slot| {
            let mut victims = plan.placements.iter().flat_map(|p| &p.victims);
            let release = self.expected_release(others, run, slot, now);
            victims.any(|victim| *victim == run)
                || release.is_some_and(|release| release.at <= plan.start_at)
        };
        let ending = worker
            .slots
            .iter()
            .filter(|(run, slot)| is_ending(**run, slot));
        ending.map(|(run, _)| *run).collect()
    }

    fn add_placement_options(
        &self,
        gang: GangStart,
        key: WorkerKey,
        demand: &StepDemand,
        now: Instant,
        options: &mut Vec<PlacementOption>,
    ) {
        let worker = &self.workers[key];
        let need = demand.need;
        let limit = worker.task_limit(demand, now);
        let capacity = worker.entry.capacity;
        let mut used = worker.used;
        let mut fits = need.max_copies_in(worker.free()).min(limit);
        for _ in 0..fits {
            options.push(PlacementOption {
                available_at: now,
                key,
                victims: SmallVec::new(),
            });
        }
        let slots = worker.slots.iter();
        let mut releases: Vec<ResourceRelease> = slots
            .filter_map(|(run, slot)| self.expected_release(gang, *run, slot, now))
            .collect();
        // Among runs that end at the same time the largest come first, so that few runs are preempted.
        releases.sort_by_key(|release| (release.at, std::cmp::Reverse(release.need.cpu_milli)));
        let mut victims: SmallVec<[TaskRun; 4]> = SmallVec::new();
        for release in releases {
            used = used.saturating_sub(release.need);
            if release.preempted {
                victims.push(release.run);
            }
            let new_fits = need.max_copies_in(capacity.saturating_sub(used)).min(limit);
            for _ in fits..new_fits {
                let victims = std::mem::take(&mut victims);
                let available_at = release.at;
                options.push(PlacementOption {
                    available_at,
                    key,
                    victims,
                });
            }
            fits = fits.max(new_fits);
        }
    }

    fn expected_release(
        &self,
        gang: GangStart,
        run: TaskRun,
        slot: &Slot,
        now: Instant,
    ) -> Option<ResourceRelease> {
        let is_preemptible = || self.is_preemptible(gang.order, run, slot, now);
        let preempted = slot.phase != SlotPhase::Stopping
            && gang.preemption == Preemption::Allowed
            && is_preemptible();
        let at = match (slot.phase, preempted) {
            (SlotPhase::Stopping, _) | (_, true) => now + STOP_LATENCY,
            (_, false) => self.expected_end_for(gang, run, slot, now)?,
        };
        Some(ResourceRelease {
            at,
            run,
            need: slot.need,
            preempted,
        })
    }

    /// Returns the expected end of a run as a gang counts it. A backfill of its own workers that exceeds its expected end
    /// for some time counts as about to end: if the start of the gang were expected later, further backfills would be
    /// placed, and a stream of tasks with low estimates would delay the gang for ever.
    fn expected_end_for(
        &self,
        gang: GangStart,
        run: TaskRun,
        slot: &Slot,
        now: Instant,
    ) -> Option<Instant> {
        let own = |backfill: &Backfill| backfill.gang == gang.order.step;
        let Some(backfill) = slot.backfill.filter(own) else {
            return self.expected_end(run, slot, now);
        };
        let wait = now.saturating_duration_since(gang.reserved_since);
        let grace = MIN_BACKFILL_OVERRUN.max(wait / BACKFILL_OVERRUN_DIVISOR);
        match now <= backfill.end + grace {
            true => Some(backfill.end.max(now)),
            false => self.expected_end(run, slot, now),
        }
    }

    /// Returns the expected end of a run, extrapolated from its progress or else from the client's estimate. A run that
    /// has exceeded it is expected to go on for as long as it has done so. Returns `None` for a long-running task, which
    /// goes on until it is cancelled, and for a run of an unknown job without progress.
    pub(crate) fn expected_end(&self, run: TaskRun, slot: &Slot, now: Instant) -> Option<Instant> {
        let end = self.estimated_end(run.task.step, slot)?;
        let overrun = now.checked_duration_since(end);
        Some(overrun.map_or(end, |overrun| now + overrun))
    }

    /// Returns the end of a run by its progress or the client's estimate, which may have passed.
    fn estimated_end(&self, id: StepId, slot: &Slot) -> Option<Instant> {
        let job = self.jobs.get(&id.job);
        let step = job.and_then(|job| job.step_spec(id));
        if step.is_some_and(|step| step.long_running) {
            return None;
        }
        if slot.percent > 0 {
            let elapsed = slot
                .last_progress_at
                .saturating_duration_since(slot.started_at);
            let left = u32::from(100u8.saturating_sub(slot.percent));
            return Some(slot.last_progress_at + elapsed / u32::from(slot.percent) * left);
        }
        Some(slot.started_at + Duration::from_millis(step?.estimate_ms))
    }
}
