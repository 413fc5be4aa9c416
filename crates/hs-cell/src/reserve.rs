//! Reservation of workers for waiting gangs, and preemption.
//!
//! A gang needs resources for all its tasks at once, and would starve while small tasks take whatever
//! becomes free. The first waiting gangs therefore reserve the workers on which they can start soonest:
//! those with free resources, those whose runs end soon, or those where runs of lower priority can be
//! preempted without losing their work. All other workers remain available to every step.
//!
//! A surplus gang preempts no runs, and its reservation holds nothing against owed steps.

use std::time::{Duration, Instant};

use hs_share::JobClass;
use hs_wire::Resources;
use smallvec::SmallVec;

use crate::capacity::StepDemand;
use crate::cell::Cell;
use crate::slot::{Slot, SlotPhase};
use crate::step_order::{OrderKey, StepRank, Timeliness};
use crate::{StepId, TaskRun, WorkerKey};

/// Maximum number of gangs of one priority that hold reservations at a time.
const MAX_RESERVATIONS_PER_PRIORITY: usize = 2;

/// At most the number of workers divided by this may be reserved. A single reservation may exceed that.
const RESERVABLE_WORKERS_DIVISOR: usize = 4;

/// Time after which a reservation expires, so that the workers are chosen again.
const RESERVATION_TTL: Duration = Duration::from_millis(100);

/// Time from a stop until the resources are free: the stop takes up to 200 ms, and then the worker has to
/// report the end.
const STOP_LATENCY: Duration = Duration::from_millis(250);

/// Minimum time by which preemption must bring the start of a gang forward.
const MIN_PREEMPTION_GAIN: Duration = Duration::from_millis(400);

/// Minimum slack of a job whose runs may be preempted. It covers the stop, the wait for free resources and
/// the restore of the checkpoint.
const MIN_VICTIM_SLACK: Duration = Duration::from_millis(2000);

/// Reservation of workers for a gang.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    pub holder: ReservationHolder,
    pub workers: Vec<WorkerKey>,
    pub made_at: Instant,
    /// Time at which the gang is expected to start.
    pub start_at: Instant,
}

/// Gang that holds a reservation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReservationHolder {
    pub step: StepId,
    pub priority: u8,
    pub rank: StepRank,
}

impl ReservationHolder {
    /// Returns whether the reservation keeps the workers from another step. Among jobs of one class the priority
    /// decides. A surplus gang holds nothing against owed steps, and an owed one holds its workers against the
    /// surplus steps that come after it.
    pub(crate) fn holds_against(&self, demand: &StepDemand) -> bool {
        match (self.rank.class, demand.rank.class) {
            (JobClass::Surplus, JobClass::Owed) => false,
            (JobClass::Owed, JobClass::Surplus) => self.rank < demand.rank,
            (JobClass::Owed, JobClass::Owed) | (JobClass::Surplus, JobClass::Surplus) => {
                self.priority <= demand.priority
            }
        }
    }
}

/// Possible placement of one more task of the gang on a worker.
#[derive(Clone, Debug)]
struct PlacementOption {
    /// Time from which the task fits.
    available_at: Instant,
    key: WorkerKey,
    /// Runs to preempt for it, in addition to those of earlier options on the worker.
    victims: SmallVec<[TaskRun; 4]>,
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
struct StartPlan {
    start_at: Instant,
    placements: Vec<PlacementOption>,
}

impl Cell {
    /// Drops reservations that have expired or whose steps no longer wait, and marks the workers of the
    /// remaining ones.
    pub(crate) fn refresh_reservations(&mut self, now: Instant) {
        let mut reservations = std::mem::take(&mut self.reservations);
        for key in reservations.iter().flat_map(|r| &r.workers) {
            if let Some(worker) = self.workers.get_mut(*key) {
                worker.reserved_by = None;
            }
        }
        reservations.retain(|reservation| {
            let fresh = now.saturating_duration_since(reservation.made_at) < RESERVATION_TTL;
            fresh && self.has_waiting_tasks(reservation.holder.step)
        });
        for reservation in &reservations {
            self.mark_reserved(reservation);
        }
        self.reservations = reservations;
    }

    /// Drops the reservation of a step, if it has one.
    pub(crate) fn drop_reservation(&mut self, id: StepId) {
        let reservation = self.reservations.iter().position(|r| r.holder.step == id);
        let Some(reservation) = reservation.map(|index| self.reservations.remove(index)) else {
            return;
        };
        for key in reservation.workers {
            if let Some(worker) = self.workers.get_mut(key) {
                worker.reserved_by = None;
            }
        }
    }

    /// Drops reservations of a lower class whose workers a new one takes.
    fn drop_overlapping(&mut self, taker: &Reservation) {
        let is_taken = |r: &&Reservation| r.workers.iter().any(|key| taker.workers.contains(key));
        let overlapping = self.reservations.iter().filter(is_taken);
        let steps: SmallVec<[StepId; 4]> = overlapping.map(|r| r.holder.step).collect();
        for step in steps {
            self.drop_reservation(step);
        }
    }

    fn mark_reserved(&mut self, reservation: &Reservation) {
        for key in &reservation.workers {
            if let Some(worker) = self.workers.get_mut(*key) {
                worker.reserved_by = Some(reservation.holder);
            }
        }
    }

    /// Reserves workers for a gang that does not fit, and preempts runs there if that lets it start sooner.
    pub(crate) fn reserve(&mut self, order: OrderKey, wanted: u32, now: Instant) {
        let id = order.step;
        let already_reserved = self.reservations.iter().any(|r| r.holder.step == id);
        let class = order.rank.class;
        let same_priority =
            |r: &&Reservation| r.holder.priority == order.priority && r.holder.rank.class == class;
        let count = self.reservations.iter().filter(same_priority).count();
        let limit = match order.rank.timeliness {
            Timeliness::OnTime | Timeliness::Late => MAX_RESERVATIONS_PER_PRIORITY,
            // Its objective can no longer be met, so it reserves only if no other gang of its priority does.
            Timeliness::Overdue => 1,
        };
        if already_reserved || count >= limit {
            return;
        }
        let Some(allowed) = self.allowed_workers(order, now) else {
            return;
        };
        let Some(mut plan) = self.start_plan(order, &allowed, wanted, false, now) else {
            return;
        };
        let may_preempt = order.rank.timeliness == Timeliness::OnTime && class == JobClass::Owed;
        if may_preempt
            && plan.start_at > now + MIN_PREEMPTION_GAIN
            && let Some(sooner) = self.start_plan(order, &allowed, wanted, true, now)
            && sooner.start_at + MIN_PREEMPTION_GAIN <= plan.start_at
        {
            plan = sooner;
        }
        let mut workers: Vec<WorkerKey> = plan.placements.iter().map(|p| p.key).collect();
        workers.sort_unstable();
        workers.dedup();
        let reservations = self.reservations.iter();
        let of_class = reservations.filter(|r| r.holder.rank.class <= class);
        let reserved: usize = of_class.map(|r| r.workers.len()).sum();
        if reserved + workers.len() > (self.workers.len() / RESERVABLE_WORKERS_DIVISOR).max(1)
            && reserved > 0
        {
            return;
        }
        for placement in &plan.placements {
            for run in &placement.victims {
                self.stop_run(placement.key, *run);
            }
        }
        let reservation = Reservation {
            holder: ReservationHolder {
                step: id,
                priority: order.priority,
                rank: order.rank,
            },
            workers,
            made_at: now,
            start_at: plan.start_at,
        };
        self.drop_overlapping(&reservation);
        self.mark_reserved(&reservation);
        self.reservations.push(reservation);
    }

    /// Returns the unreserved workers that accept runs and on which a step may run. If its queue uses advice, these are only the
    /// workers with a ticket.
    fn allowed_workers(&self, order: OrderKey, now: Instant) -> Option<Vec<WorkerKey>> {
        let id = order.step;
        let job = self.jobs.get(&id.job)?;
        let eligibility = self.eligibility(job, id)?;
        let queue = self.queues.get(&job.spec.as_ref()?.queue)?;
        let class = order.rank.class;
        let usable = |key: &WorkerKey| {
            let Some(worker) = self.workers.get(*key) else {
                return false;
            };
            let holder_class = worker.reserved_by.map(|holder| holder.rank.class);
            let is_free = holder_class.is_none_or(|holder_class| holder_class > class);
            is_free && worker.accepts_runs(now) && eligibility.admits(worker, now)
        };
        Some(match queue.advice {
            Some(_) => {
                let tickets = job.step(id)?.advice.tickets.iter();
                self.pass_work.add_looks(tickets.len());
                tickets.map(|t| t.worker).filter(usable).collect()
            }
            None => {
                self.pass_work.add_looks(self.workers.len());
                self.workers.keys().filter(usable).collect()
            }
        })
    }

    /// Chooses the workers on which a gang can start soonest. Returns `None` if too few tasks fit.
    fn start_plan(
        &self,
        order: OrderKey,
        allowed: &[WorkerKey],
        wanted: u32,
        allow_preemption: bool,
        now: Instant,
    ) -> Option<StartPlan> {
        let id = order.step;
        let spec = self.jobs.get(&id.job)?.step_spec(id)?;
        let demand = StepDemand::new(order, spec);
        let mut options = Vec::new();
        self.pass_work.add_looks(allowed.len());
        for key in allowed {
            self.add_placement_options(order, *key, &demand, allow_preemption, now, &mut options);
        }
        options.sort_by_key(|option| option.available_at);
        options.truncate(usize::try_from(wanted).ok()?);
        if options.len() < usize::try_from(wanted).ok()? {
            return None;
        }
        let start_at = options.last()?.available_at;
        Some(StartPlan {
            start_at,
            placements: options,
        })
    }

    fn add_placement_options(
        &self,
        order: OrderKey,
        key: WorkerKey,
        demand: &StepDemand,
        allow_preemption: bool,
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
        let mut releases: Vec<ResourceRelease> = worker
            .slots
            .iter()
            .filter_map(|(run, slot)| {
                self.expected_release(order, *run, slot, allow_preemption, now)
            })
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
        order: OrderKey,
        run: TaskRun,
        slot: &Slot,
        allow_preemption: bool,
        now: Instant,
    ) -> Option<ResourceRelease> {
        let need = slot.need;
        if slot.phase == SlotPhase::Stopping {
            let at = now + STOP_LATENCY;
            return Some(ResourceRelease {
                at,
                run,
                need,
                preempted: false,
            });
        }
        let preempted = allow_preemption && self.is_preemptible(order, run, slot, now);
        let at = match preempted {
            true => now + STOP_LATENCY,
            false => self.expected_end(run, slot, now)?,
        };
        Some(ResourceRelease {
            at,
            run,
            need,
            preempted,
        })
    }

    /// Returns whether a run may be preempted for a step: it has a lower priority, loses no work
    /// since it saves checkpoints, and its job either has enough slack or has already missed its objective.
    fn is_preemptible(&self, order: OrderKey, run: TaskRun, slot: &Slot, now: Instant) -> bool {
        if slot.phase != SlotPhase::Running {
            return false;
        }
        let Some(job) = self.jobs.get(&run.task.job()) else {
            return false;
        };
        let (Some(spec), Some(step)) = (job.spec.as_ref(), job.step_spec(run.task.step)) else {
            return false;
        };
        if !step.checkpoints || step.gang || step.long_running {
            return false;
        }
        let Some(queue) = self.queues.get(&spec.queue) else {
            return false;
        };
        let mut occurrences = job.occurrences.iter();
        let occurrence = occurrences.find(|o| o.number == run.task.step.occurrence);
        let Some(occurrence) = occurrence.filter(|_| queue.priority > order.priority) else {
            return false;
        };
        let objective = spec.critical_path().mul_f64(queue.stretch.max(1.0)) + queue.target;
        let end = occurrence.runnable_since + objective;
        let remaining = spec.critical_path_from(run.task.step.step);
        now + remaining + MIN_VICTIM_SLACK <= end || now > end
    }

    /// Returns the expected end of a run, extrapolated from its progress or else from the client's estimate.
    pub(crate) fn expected_end(&self, run: TaskRun, slot: &Slot, now: Instant) -> Option<Instant> {
        if slot.percent > 0 {
            let elapsed = slot
                .last_progress_at
                .saturating_duration_since(slot.started_at);
            let left = u32::from(100u8.saturating_sub(slot.percent));
            let end = slot.last_progress_at + elapsed / u32::from(slot.percent) * left;
            return Some(end.max(now));
        }
        let job = self.jobs.get(&run.task.job())?;
        let step = job
            .step_spec(run.task.step)
            .filter(|step| !step.long_running)?;
        Some((slot.started_at + Duration::from_millis(step.estimate_ms)).max(now))
    }
}
