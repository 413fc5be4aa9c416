//! Room that is kept for gangs that wait.
//!
//! A gang needs room for all its tasks at once, which it never finds beside small tasks that take what
//! becomes free. So the first waiting gangs reserve the workers on which they can start soonest: where
//! room is free, where runs end soon, or where runs of lower priority can be stopped without losing their
//! work. All other workers stay open to everybody.

use std::time::{Duration, Instant};

use hs_wire::Resources;
use smallvec::SmallVec;

use crate::cell::Cell;
use crate::order::{OrderKey, Timeliness};
use crate::worker::{Slot, SlotPhase};
use crate::{StepId, TaskRun, WorkerKey};

/// Gangs of one priority that may reserve workers at a time.
const MAX_RESERVATIONS: usize = 2;

/// One of this many workers may be reserved.
const MAX_RESERVED_SHARE: usize = 4;

/// Time after which the choice of workers is made anew.
const RESERVE_FOR: Duration = Duration::from_millis(100);

/// Time from a stop until its room is free: a stop takes up to 200 ms, and its end has to be listed.
const STOP_TIME: Duration = Duration::from_millis(250);

/// Runs are stopped for a gang only if that brings its start forward by this much.
const MIN_GAIN: Duration = Duration::from_millis(400);

/// Time that a job must have to spare before its runs are stopped for another: a stop, a wait for room,
/// and the time to restore a checkpoint.
const VICTIM_SLACK: Duration = Duration::from_millis(2000);

/// Workers that are kept for a gang.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    pub step: StepId,
    pub priority: u8,
    pub workers: Vec<WorkerKey>,
    pub made_at: Instant,
    /// When the gang is expected to start.
    pub start_at: Instant,
}

/// One more task of the gang fits on a worker from some time on.
#[derive(Clone, Debug)]
struct Opening {
    at: Instant,
    key: WorkerKey,
    /// Runs to be stopped for it, beside those of earlier openings on the worker.
    victims: SmallVec<[TaskRun; 4]>,
}

/// A run that will leave its worker.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    at: Instant,
    run: TaskRun,
    need: Resources,
    /// Whether it has to be stopped.
    stopped: bool,
}

/// Openings for a whole gang.
#[derive(Debug)]
struct StartPlan {
    at: Instant,
    openings: Vec<Opening>,
}

impl Cell {
    /// Drops reservations that are old or whose steps wait no longer, and marks the workers of the others.
    pub(crate) fn refresh_reservations(&mut self, now: Instant) {
        for worker in self.workers.values_mut() {
            worker.reserved_by = None;
        }
        let mut reservations = std::mem::take(&mut self.reservations);
        reservations.retain(|reservation| {
            let young = now.saturating_duration_since(reservation.made_at) < RESERVE_FOR;
            young && self.has_waiting(reservation.step)
        });
        for reservation in &reservations {
            self.mark_reserved(reservation);
        }
        self.reservations = reservations;
    }

    fn mark_reserved(&mut self, reservation: &Reservation) {
        for key in &reservation.workers {
            if let Some(worker) = self.workers.get_mut(*key) {
                worker.reserved_by = Some((reservation.priority, reservation.step));
            }
        }
    }

    /// Reserves workers for a gang that finds no room, and stops runs there if that lets it start sooner.
    pub(crate) fn reserve(&mut self, order: OrderKey, wanted: u32, now: Instant) {
        let id = order.step;
        let held = self.reservations.iter().any(|r| r.step == id);
        let same = |r: &&Reservation| r.priority == order.priority;
        let count = self.reservations.iter().filter(same).count();
        let limit = match order.timeliness {
            Timeliness::OnTime | Timeliness::Late => MAX_RESERVATIONS,
            // It has no objective any more, so that it only takes what nobody else waits for.
            Timeliness::Overdue => 1,
        };
        if held || count >= limit {
            return;
        }
        let Some(allowed) = self.allowed_workers(id, now) else {
            return;
        };
        let Some(mut plan) = self.start_plan(order, &allowed, wanted, false, now) else {
            return;
        };
        let may_stop = order.timeliness == Timeliness::OnTime;
        if may_stop
            && plan.at > now + MIN_GAIN
            && let Some(sooner) = self.start_plan(order, &allowed, wanted, true, now)
            && sooner.at + MIN_GAIN <= plan.at
        {
            plan = sooner;
        }
        let mut workers: Vec<WorkerKey> = plan.openings.iter().map(|o| o.key).collect();
        workers.sort_unstable();
        workers.dedup();
        let reserved: usize = self.reservations.iter().map(|r| r.workers.len()).sum();
        if reserved + workers.len() > (self.workers.len() / MAX_RESERVED_SHARE).max(1)
            && reserved > 0
        {
            return;
        }
        for opening in &plan.openings {
            for run in &opening.victims {
                self.stop_run(opening.key, *run);
            }
        }
        let reservation = Reservation {
            step: id,
            priority: order.priority,
            workers,
            made_at: now,
            start_at: plan.at,
        };
        self.mark_reserved(&reservation);
        self.reservations.push(reservation);
    }

    /// Returns the workers on which a step may run, as far as that is known.
    fn allowed_workers(&self, id: StepId, now: Instant) -> Option<Vec<WorkerKey>> {
        let (queue, eligible) = self.eligible(id, now)?;
        let advised = self.queues.get(&queue)?.advice.is_some();
        let step = self.jobs.get(&id.job)?.step(id)?;
        let tickets = &step.advice.tickets;
        let open = |key: &WorkerKey| self.workers[*key].reserved_by.is_none();
        let allowed = |key: &WorkerKey| !advised || tickets.iter().any(|t| t.worker == *key);
        Some(eligible.into_iter().filter(open).filter(allowed).collect())
    }

    /// Chooses the workers on which a gang can start soonest.
    fn start_plan(
        &self,
        order: OrderKey,
        allowed: &[WorkerKey],
        wanted: u32,
        with_stops: bool,
        now: Instant,
    ) -> Option<StartPlan> {
        let id = order.step;
        let spec = self.jobs.get(&id.job)?.step_spec(id)?;
        let need = spec.allocated_resources();
        let limit = match spec.max_per_worker {
            0 => u32::MAX,
            limit => u32::from(limit),
        };
        let mut openings = Vec::new();
        for key in allowed {
            self.add_openings(order, *key, need, limit, with_stops, now, &mut openings);
        }
        openings.sort_by_key(|opening| opening.at);
        openings.truncate(usize::try_from(wanted).ok()?);
        if openings.len() < usize::try_from(wanted).ok()? {
            return None;
        }
        let at = openings.last()?.at;
        Some(StartPlan { at, openings })
    }

    #[expect(clippy::too_many_arguments, reason = "one loop of `start_plan`")]
    fn add_openings(
        &self,
        order: OrderKey,
        key: WorkerKey,
        need: Resources,
        limit: u32,
        with_stops: bool,
        now: Instant,
        openings: &mut Vec<Opening>,
    ) {
        let worker = &self.workers[key];
        let mut free = worker.free();
        let mut fits = need.count_in(free).min(limit);
        for _ in 0..fits {
            openings.push(Opening {
                at: now,
                key,
                victims: SmallVec::new(),
            });
        }
        let mut leaving: Vec<Leaving> = worker
            .slots
            .iter()
            .filter_map(|(run, slot)| self.leaving(order, *run, slot, with_stops, now))
            .collect();
        // Of runs that leave at the same time the largest go first, so that few are stopped.
        leaving.sort_by_key(|run| (run.at, std::cmp::Reverse(run.need.cpu_milli)));
        let mut victims: SmallVec<[TaskRun; 4]> = SmallVec::new();
        for run in leaving {
            free = free.saturating_add(run.need);
            if run.stopped {
                victims.push(run.run);
            }
            let now_fits = need.count_in(free).min(limit);
            for _ in fits..now_fits {
                let victims = std::mem::take(&mut victims);
                let at = run.at;
                openings.push(Opening { at, key, victims });
            }
            fits = fits.max(now_fits);
        }
    }

    fn leaving(
        &self,
        order: OrderKey,
        run: TaskRun,
        slot: &Slot,
        with_stops: bool,
        now: Instant,
    ) -> Option<Leaving> {
        let need = slot.need;
        if slot.phase == SlotPhase::Stopping {
            let at = now + STOP_TIME;
            return Some(Leaving {
                at,
                run,
                need,
                stopped: false,
            });
        }
        let stopped = with_stops && self.is_victim(order, run, slot, now);
        let at = match stopped {
            true => now + STOP_TIME,
            false => self.expected_end(run, slot, now)?,
        };
        Some(Leaving {
            at,
            run,
            need,
            stopped,
        })
    }

    /// Returns whether a run may be stopped for a step: it is of lower priority, loses no work, and its job
    /// has time to spare or none to lose.
    fn is_victim(&self, order: OrderKey, run: TaskRun, slot: &Slot, now: Instant) -> bool {
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
        let end = occurrence.begun + objective;
        let remaining = spec.critical_path_from(run.task.step.step);
        now + remaining + VICTIM_SLACK <= end || now > end
    }

    /// Returns when a run will end by its progress so far, or by the client's estimate.
    fn expected_end(&self, run: TaskRun, slot: &Slot, now: Instant) -> Option<Instant> {
        if slot.percent > 0 {
            let pace = slot.moved_at.saturating_duration_since(slot.began_at);
            let left = u32::from(100u8.saturating_sub(slot.percent));
            let end = slot.moved_at + pace / u32::from(slot.percent) * left;
            return Some(end.max(now));
        }
        let job = self.jobs.get(&run.task.job())?;
        let step = job
            .step_spec(run.task.step)
            .filter(|step| !step.long_running)?;
        Some((slot.began_at + Duration::from_millis(step.estimate_ms)).max(now))
    }
}
