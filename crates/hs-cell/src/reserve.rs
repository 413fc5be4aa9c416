//! Reservation of workers for waiting gangs, and preemption.
//!
//! A gang needs resources for all its tasks at once, and would starve while small tasks take whatever
//! becomes free. The first waiting gangs therefore reserve the workers on which they can start soonest:
//! those with free resources, those whose runs end soon, or those where runs of lower priority can be
//! preempted without losing their work (see the `start_plan` module). A gang that waits for runs without a known end
//! reserves nothing. All other workers remain available to every step, and the reserved ones to those that don't
//! delay the gang (see the `reservation` module).
//!
//! A surplus gang preempts no runs, and its reservation holds nothing against owed steps.

use std::time::{Duration, Instant};

use hs_share::JobClass;

use crate::cell::Cell;
use crate::reservation::{Reservation, ReservationHolder};
use crate::slot::{Slot, SlotPhase};
use crate::start_plan::{GangStart, Preemption, StartPlan};
use crate::step_order::{OrderKey, Timeliness};
use crate::{TaskRun, WorkerKey};

/// Maximum number of gangs of one priority that hold reservations at a time.
const MAX_RESERVATIONS_PER_PRIORITY: usize = 2;

/// At most the number of workers divided by this may be reserved. A single reservation may exceed that.
const RESERVABLE_WORKERS_DIVISOR: usize = 4;

/// Minimum time by which preemption must bring the start of a gang forward.
const MIN_PREEMPTION_GAIN: Duration = Duration::from_millis(400);

/// Minimum slack of a job whose runs may be preempted. It covers the stop, the wait for free resources and
/// the restore of the checkpoint.
const MIN_VICTIM_SLACK: Duration = Duration::from_millis(2000);

impl Cell {
    /// Reserves workers for a gang that does not fit, and preempts runs there if that lets it start sooner.
    pub(crate) fn reserve(&mut self, order: OrderKey, wanted: u32, now: Instant) {
        let id = order.step;
        let own = self.reservations.iter().find(|r| r.holder.step == id);
        if own.is_some_and(|own| !own.is_outdated(now)) {
            return;
        }
        self.drop_reservation(id);
        let class = order.rank.class;
        let same_priority =
            |r: &&Reservation| r.holder.priority == order.priority && r.holder.rank.class == class;
        let count = self.current_reservations(now).filter(same_priority).count();
        let limit = match order.rank.timeliness {
            Timeliness::OnTime | Timeliness::Late => MAX_RESERVATIONS_PER_PRIORITY,
            // Its objective can no longer be met, so it reserves only if no other gang of its priority does.
            Timeliness::Overdue => 1,
        };
        if count >= limit {
            return;
        }
        let Some(allowed) = self.allowed_workers(order, now) else {
            return;
        };
        let mut gang = GangStart {
            order,
            wanted,
            reserved_since: self.reserved_since(id, now),
            preemption: Preemption::Disallowed,
        };
        let Some(mut plan) = self.start_plan(gang, &allowed, now) else {
            return;
        };
        let may_preempt = order.rank.timeliness == Timeliness::OnTime && class == JobClass::Owed;
        if may_preempt && plan.start_at > now + MIN_PREEMPTION_GAIN {
            gang.preemption = Preemption::Allowed;
            let sooner = self.start_plan(gang, &allowed, now);
            let gains = |sooner: &StartPlan| sooner.start_at + MIN_PREEMPTION_GAIN <= plan.start_at;
            if let Some(sooner) = sooner.filter(gains) {
                plan = sooner;
            } else {
                gang.preemption = Preemption::Disallowed;
            }
        }
        let workers = self.reserved_workers_of(&plan, gang, now);
        let of_class = self
            .current_reservations(now)
            .filter(|r| r.holder.rank.class <= class);
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
        self.add_reservation(Reservation {
            holder: ReservationHolder::from(order),
            workers,
            made_at: now,
            since: gang.reserved_since,
            start_at: plan.start_at,
        });
    }

    /// Returns the reservations whose workers are not to be chosen again.
    fn current_reservations(&self, now: Instant) -> impl Iterator<Item = &Reservation> {
        let reservations = self.reservations.iter();
        reservations.filter(move |reservation| !reservation.is_outdated(now))
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
            let reservation = worker.reserved_by.as_ref();
            let is_free = !reservation.is_some_and(|r| r.excludes_gang(class, now));
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

    /// Returns whether a run may be preempted for a step: it has a lower priority, loses no work
    /// since it saves checkpoints, and its job either has enough slack or has already missed its objective.
    pub(crate) fn is_preemptible(
        &self,
        order: OrderKey,
        run: TaskRun,
        slot: &Slot,
        now: Instant,
    ) -> bool {
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
}
