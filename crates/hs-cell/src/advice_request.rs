//! Requests to the advice service: which workers they name, and when they are sent.
//!
//! A request takes a fixed time plus a little for each worker that it names, and each process has one
//! request in flight at a time. A first request therefore names enough workers for the whole step. A
//! further request is sent if many workers are unknown, that is, not named before, if the unknown ones are
//! expected to suffice for the rest of the step, or if the last reply is [`SMALL_REQUEST_INTERVAL`] old.
//! Steps that wait at the same time name different workers, since each would otherwise find that another one has
//! taken the workers when the reply arrives: gangs go through the workers in orders that differ, and steps of
//! single tasks leave out what the requests in flight are expected to use.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::ControlFlow;
use std::time::{Duration, Instant};

use slotmap::Key;

use crate::capacity::StepDemand;
use crate::cell::Cell;
use crate::effect::{AdviceRequest, CellEffect};
use crate::expected_use::expected_uses;
use crate::job::{Job, StepRun};
use crate::placement::Eligibility;
use crate::queue_spec::AdviceSpec;
use crate::step_order::OrderKey;
use crate::{StepId, WorkerKey};

/// Maximum number of unknown workers that a request names in all its parts.
const MAX_UNKNOWN_WORKERS: usize = 200;

/// Minimum number of unknown workers that a request names, if there are that many. As many unknown workers
/// also justify a further request.
const MIN_WORKERS_PER_REQUEST: usize = 8;

/// Free capacity that a request is expected to obtain, as a multiple of what the step still needs, since
/// other steps may take some of it meanwhile.
const EXPECTED_CAPACITY_FACTOR: f64 = 1.5;

/// Capacity of the allowed workers, as a multiple of what a gang needs, from which it names no further workers
/// that are full now.
const KNOWN_CAPACITY_FACTOR: u32 = 2;

/// Minimum fixed time of a request at which it names more workers than the step is expected to need. Naming
/// them then takes less time than a second request.
const MIN_BASE_COST_FOR_EXTRA_WORKERS: Duration = Duration::from_millis(25);

/// Share of such a request's fixed time that naming workers may take, which determines their minimum number.
const EXTRA_WORKERS_COST_SHARE: f64 = 0.4;

/// Time after the last reply from which a waiting step may send a request for a few unknown workers.
const SMALL_REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// Delay after which a step that has found no worker to name looks for one again. Looking goes through all workers.
const RESCAN_DELAY: Duration = Duration::from_millis(50);

/// Odd multiplier that mixes the key of a worker with the hash of a step (64-bit golden ratio).
const SPREAD_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Demand that an advice request has to meet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdviceNeed {
    /// Cost of advice requests of the queue.
    pub spec: AdviceSpec,
    /// Number of waiting tasks of the step.
    pub wanted: u32,
    pub demand: StepDemand,
}

/// What came of the attempt to request advice for a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AdviceAttempt {
    /// A request is in flight, the next one is delayed, or too many of other steps are in flight.
    Blocked,
    /// No worker is worth a request.
    NothingToName,
    /// A request was sent.
    Sent,
}

/// Number of further tasks of a step that fit on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FreeCapacity {
    pub key: WorkerKey,
    pub fits: u32,
}

impl Cell {
    /// Requests advice for a step if that helps to place it.
    ///
    /// The advice service never changes its decision on a step and a worker. Denied workers are therefore not
    /// named again, and allowed ones only to renew their tickets.
    pub(crate) fn request_advice(
        &mut self,
        order: OrderKey,
        need: AdviceNeed,
        now: Instant,
    ) -> AdviceAttempt {
        let (id, class) = (order.step, order.rank.class);
        let step = self.jobs.get(&id.job).and_then(|job| job.step(id));
        if step.is_none_or(|step| step.advice.is_blocked(now)) {
            return AdviceAttempt::Blocked;
        }
        if self.advice_window.is_pass_over() {
            self.pass_requested = true;
            return AdviceAttempt::Blocked;
        }
        // Naming workers takes long, so that requests that are not admitted are ruled out before.
        if !self.advice_window.admits(need.spec.base_cost, class) {
            return AdviceAttempt::Blocked;
        }
        let workers = self.workers_to_name(id, need, now);
        if workers.is_empty() {
            return AdviceAttempt::NothingToName;
        }
        let cost = need.spec.cost(workers.len());
        if !self.advice_window.admits(cost, class) {
            self.delay_rescan(id, now);
            return AdviceAttempt::Blocked;
        }
        self.advice_window.add(id, cost, class, now);
        let expected_uses = match self.is_gang(id) {
            true => Vec::new(),
            false => expected_uses(&workers, need),
        };
        let request = AdviceRequest {
            step: id,
            spec: need.spec,
            workers,
            class: order.rank.class,
            priority: order.priority,
            start_by: order.start_by,
        };
        if let Some(step) = self.jobs.get_mut(&id.job).and_then(|job| job.step_mut(id)) {
            step.advice.requested_at = Some(now);
            step.advice.retry_at = None;
            step.advice.expected_uses = expected_uses;
        }
        self.add_expected_uses(id, now);
        self.effects.push(CellEffect::Advise(request));
        AdviceAttempt::Sent
    }

    /// Delays the next request of a step for which there was no worker to name.
    pub(crate) fn delay_rescan(&mut self, id: StepId, now: Instant) {
        if let Some(step) = self.jobs.get_mut(&id.job).and_then(|job| job.step_mut(id)) {
            step.advice.retry_at = Some(now + RESCAN_DELAY);
        }
    }

    fn workers_to_name(&self, id: StepId, need: AdviceNeed, now: Instant) -> Vec<WorkerKey> {
        let allowed = self.allowed_capacity(id, need, now);
        let is_gang = self.is_gang(id);
        let allowed_fits = total_fits(&allowed);
        let enough = if is_gang { need.wanted } else { 1 };
        let mut requested = self.tickets_to_renew(id, &allowed, enough, need, now);
        if allowed_fits < need.wanted {
            let missing = need.wanted - allowed_fits;
            let unknown = self.unknown_workers_worth_a_request(id, need, missing, now);
            if is_gang && !unknown.is_empty() {
                // All tickets have to be valid at once when the reply arrives.
                let cost = need.spec.cost(unknown.len() + allowed.len());
                let renewed_until = now + cost + self.ticket_margin.of_renewal();
                requested = self.tickets_that_end_before(id, &allowed, renewed_until);
            }
            requested.extend(unknown);
        }
        requested
    }

    fn is_gang(&self, id: StepId) -> bool {
        let job = self.jobs.get(&id.job);
        let spec = job.and_then(|job| job.step_spec(id));
        spec.is_some_and(|spec| spec.gang)
    }

    /// Returns the workers with a ticket, whether or not it has expired, and the tasks that fit on them now.
    fn allowed_capacity(&self, id: StepId, need: AdviceNeed, now: Instant) -> Vec<FreeCapacity> {
        let Some(job) = self.jobs.get(&id.job) else {
            return Vec::new();
        };
        let (Some(step), Some(eligibility)) = (job.step(id), self.eligibility(job, id)) else {
            return Vec::new();
        };
        self.pass_work.add_looks(step.advice.tickets.len());
        let tickets = step.advice.tickets.iter();
        let capacity =
            tickets.filter_map(|ticket| self.free_capacity(ticket.worker, &eligibility, need, now));
        capacity.collect()
    }

    fn free_capacity(
        &self,
        key: WorkerKey,
        eligibility: &Eligibility<'_>,
        need: AdviceNeed,
        now: Instant,
    ) -> Option<FreeCapacity> {
        let worker = self.workers.get(key)?;
        if !eligibility.admits(worker, now) {
            return None;
        }
        let fits = worker.placeable_tasks(&need.demand, now);
        let beside = self.tasks_beside_expected_use(key, worker, need);
        Some(FreeCapacity {
            key,
            fits: fits.min(beside),
        })
    }

    /// Returns the unknown workers to name, or none if a request for them is not worth its time.
    fn unknown_workers_worth_a_request(
        &self,
        id: StepId,
        need: AdviceNeed,
        missing: u32,
        now: Instant,
    ) -> Vec<WorkerKey> {
        let Some(job) = self.jobs.get(&id.job) else {
            return Vec::new();
        };
        let Some(step) = job.step(id) else {
            return Vec::new();
        };
        let unknown = self.unknown_workers_to_name(job, id, need, missing, now);
        let share = self.allowed_share(job);
        let expected = share * f64::from(total_fits(&unknown));
        let old = |at: Instant| now.saturating_duration_since(at) >= SMALL_REQUEST_INTERVAL;
        let is_worth_a_request = unknown.len() >= MIN_WORKERS_PER_REQUEST
            || expected >= f64::from(missing)
            || step.advice.answered_at.is_none_or(old);
        match is_worth_a_request {
            true => unknown.iter().map(|worker| worker.key).collect(),
            false => Vec::new(),
        }
    }

    /// Returns the workers to name that were not named before: enough of them that `missing` tasks are expected
    /// to fit on the allowed ones.
    fn unknown_workers_to_name(
        &self,
        job: &Job,
        id: StepId,
        need: AdviceNeed,
        missing: u32,
        now: Instant,
    ) -> Vec<FreeCapacity> {
        let (Some(step), Some(spec)) = (job.step(id), job.step_spec(id)) else {
            return Vec::new();
        };
        let Some(eligibility) = self.eligibility(job, id) else {
            return Vec::new();
        };
        let advice = &step.advice;
        let admitted = |key| self.free_capacity(key, &eligibility, need, now);
        let wanted_fits = f64::from(missing) * EXPECTED_CAPACITY_FACTOR / self.allowed_share(job);
        let minimum = min_workers_per_request(need.spec);
        let cpu_milli = need.demand.need.cpu_milli;
        let mut chosen = Vec::new();
        let mut fits = 0.0;
        let mut choose = |worker: FreeCapacity| {
            chosen.push(worker);
            fits += f64::from(worker.fits);
            let is_enough = fits >= wanted_fits && chosen.len() >= minimum;
            match is_enough || chosen.len() >= MAX_UNKNOWN_WORKERS {
                true => ControlFlow::Break(()),
                false => ControlFlow::Continue(()),
            }
        };
        let unknown = |key: &WorkerKey| {
            self.pass_work.add_looks(1);
            !advice.is_known(*key)
        };
        let index = &self.free_index;
        let flow = match spec.gang {
            true => {
                let with_room = index.emptiest_first(cpu_milli).filter(unknown);
                let with_room = with_room.filter_map(admitted).filter(|w| w.fits > 0);
                let spread = spread_over_workers(id, with_room.collect());
                self.in_preferred_order(id, spread.into_iter(), now)
                    .try_for_each(&mut choose)
            }
            // Single tasks fill up busy workers first, and leave the empty ones to gangs.
            false => {
                let with_room = index.fullest_first(cpu_milli).filter(unknown);
                let with_room = with_room.filter_map(admitted).filter(|w| w.fits > 0);
                self.in_preferred_order(id, with_room, now)
                    .try_for_each(&mut choose)
            }
        };
        // The tasks of a gang are placed together, and may wait for workers that are full now. Others are only
        // named for single tasks if nothing is known yet.
        let is_first_request = advice.tickets.is_empty() && advice.denied.is_empty();
        let names_full_workers = match spec.gang {
            true => self.allowed_size(step, need) < need.wanted * KNOWN_CAPACITY_FACTOR,
            false => is_first_request,
        };
        if flow.is_continue() && names_full_workers {
            let all = index.emptiest_first(0).filter(unknown);
            let full = all.filter_map(admitted).filter(|w| w.fits == 0);
            // Both outcomes leave the chosen workers.
            let _ = full.into_iter().try_for_each(&mut choose);
        }
        chosen
    }

    /// Returns how many tasks of a step would fit on the allowed workers if they were empty.
    fn allowed_size(&self, step: &StepRun, need: AdviceNeed) -> u32 {
        let workers = step.advice.tickets.iter();
        let workers = workers.filter_map(|ticket| self.workers.get(ticket.worker));
        let sizes = workers.map(|worker| need.demand.need.max_copies_in(worker.entry.capacity));
        sizes.fold(0, u32::saturating_add)
    }

    fn allowed_share(&self, job: &Job) -> f64 {
        let queue = job.spec.as_ref().map(|spec| &spec.queue);
        let share = queue.and_then(|queue| self.allowed_shares.get(queue));
        share.copied().unwrap_or_default().share()
    }
}

/// Orders workers by the tasks that fit on them, those with the most first, and those with equally many in an
/// order that differs between steps.
fn spread_over_workers(id: StepId, mut workers: Vec<FreeCapacity>) -> Vec<FreeCapacity> {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    let seed = hasher.finish();
    workers.sort_by_cached_key(|worker| {
        let place = (worker.key.data().as_ffi() ^ seed).wrapping_mul(SPREAD_MULTIPLIER);
        (
            std::cmp::Reverse(worker.fits),
            place.rotate_left(u64::BITS / 2),
        )
    });
    workers
}

fn total_fits(workers: &[FreeCapacity]) -> u32 {
    let fits = workers.iter().map(|worker| worker.fits);
    fits.fold(0, u32::saturating_add)
}

/// Returns the minimum number of unknown workers that a request names.
fn min_workers_per_request(spec: AdviceSpec) -> usize {
    if spec.base_cost < MIN_BASE_COST_FOR_EXTRA_WORKERS || spec.cost_per_worker.is_zero() {
        return MIN_WORKERS_PER_REQUEST;
    }
    let extra = spec.base_cost.as_secs_f64() * EXTRA_WORKERS_COST_SHARE
        / spec.cost_per_worker.as_secs_f64();
    (extra as usize).max(MIN_WORKERS_PER_REQUEST)
}
