//! About which workers the policy outside is asked.
//!
//! A call costs a fixed time and a little for each worker that it names, and each process makes one call
//! at a time. So a first call names enough workers for the whole step, and further calls are made only
//! where many workers are unknown, or where the unknown ones would complete the step.

use std::time::{Duration, Instant};

use crate::cell::Cell;
use crate::effect::{AdviceRequest, CellEffect};
use crate::order::OrderKey;
use crate::queue_spec::AdviceSpec;
use crate::{StepId, WorkerKey};

use crate::advice::TICKET_MARGIN;

/// Most workers that are asked about at a time; the call is made in parts.
const MAX_NAMED: usize = 200;

/// Fewest workers that a first call names, and from which on a further call is worth its fixed time.
const MIN_NAMED: usize = 8;

/// Expected room on allowed workers as a multiple of what the step takes, since others may take some of it
/// meanwhile.
const ROOM_FACTOR: f64 = 1.5;

/// Room for which tickets are renewed, as a multiple of what the step takes.
const SPARE_FACTOR: f64 = 1.5;

/// Fixed time of a call from which on it names more workers than the step is expected to need, as a
/// second call would cost more than the additional names.
const LONG_DECISION: Duration = Duration::from_millis(25);

/// Share of the fixed time that may be spent on additional names.
const EXTRA_SHARE: f64 = 0.4;

/// Time after which a step that still waits asks about a few unknown workers too.
const FEW_EVERY: Duration = Duration::from_secs(1);

/// What a call for advice is to achieve.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdviceNeed {
    /// Cost of calls for the queue.
    pub spec: AdviceSpec,
    /// Tasks of the step that wait.
    pub wanted: u32,
}

/// Free room on a worker for tasks of a step.
#[derive(Clone, Copy, Debug)]
struct AskedWorker {
    key: WorkerKey,
    free: u32,
}

impl Cell {
    /// Asks for advice on a step where that helps.
    ///
    /// The workers that may run a step never change, so that denied ones are not asked about again, and
    /// tickets of allowed ones are only renewed.
    pub(crate) fn ask_advice(&mut self, order: OrderKey, need: AdviceNeed, now: Instant) {
        let id = order.step;
        let step = self.jobs.get(&id.job).and_then(|job| job.step(id));
        if step.is_none_or(|step| step.advice.is_busy(now)) {
            return;
        }
        let workers = self.workers_to_ask(id, need, now);
        if workers.is_empty() {
            return;
        }
        let request = AdviceRequest {
            step: id,
            spec: need.spec,
            workers,
            priority: order.priority,
            start_by: order.start_by,
        };
        if let Some(step) = self.jobs.get_mut(&id.job).and_then(|job| job.step_mut(id)) {
            step.advice.asked_at = Some(now);
            step.advice.retry_at = None;
        }
        self.effects.push(CellEffect::Advise(request));
    }

    fn workers_to_ask(&self, id: StepId, need: AdviceNeed, now: Instant) -> Vec<WorkerKey> {
        let Some((queue, eligible)) = self.eligible(id, now) else {
            return Vec::new();
        };
        let Some(job) = self.jobs.get(&id.job) else {
            return Vec::new();
        };
        let (Some(step), Some(spec)) = (job.step(id), job.step_spec(id)) else {
            return Vec::new();
        };
        let advice = &step.advice;
        let held = spec.allocated_resources();
        let limit = match spec.max_per_worker {
            0 => u32::MAX,
            limit => u32::from(limit),
        };
        let mut allowed = Vec::new();
        let mut unknown = Vec::new();
        for key in eligible {
            let free = held.count_in(self.workers[key].free()).min(limit);
            let worker = AskedWorker { key, free };
            if advice.tickets.iter().any(|ticket| ticket.worker == key) {
                allowed.push(worker);
            } else if !advice.denied.contains(&key) {
                unknown.push(worker);
            }
        }
        let free = |workers: &[AskedWorker]| -> u32 {
            let free = workers.iter().map(|worker| worker.free);
            free.fold(0, u32::saturating_add)
        };
        let allowed_room = free(&allowed);
        let enough = if spec.gang { need.wanted } else { 1 };
        let mut named = self.tickets_to_renew(id, &allowed, enough, need, now);
        if allowed_room < need.wanted {
            let first_call = allowed.is_empty() && advice.denied.is_empty();
            if !first_call && !spec.gang {
                // The tasks of the step go one by one, so only workers with room help.
                unknown.retain(|worker| worker.free > 0);
            }
            let share = self.shares.get(&queue).copied().unwrap_or_default().share();
            let missing = need.wanted - allowed_room;
            let expected = share * f64::from(free(&unknown));
            let old = |at: Instant| now.saturating_duration_since(at) >= FEW_EVERY;
            let worth_a_call = unknown.len() >= MIN_NAMED
                || expected >= f64::from(missing)
                || advice.answered_at.is_none_or(old);
            if worth_a_call {
                // Single tasks fill workers up, and gangs take those that are left empty.
                match spec.gang {
                    true => unknown.sort_by_key(|worker| std::cmp::Reverse(worker.free)),
                    false => unknown.sort_by_key(|worker| (worker.free == 0, worker.free)),
                }
                let room = f64::from(missing) * ROOM_FACTOR / share;
                let count = workers_for_room(&unknown, room).max(least_named(need.spec));
                named.extend(unknown.iter().take(count).map(|worker| worker.key));
            }
        }
        named.truncate(MAX_NAMED);
        named
    }

    /// Returns the allowed workers whose tickets are to be renewed: those on which the step can start now,
    /// or those that are reserved for it, if the ticket of one of them ends soon.
    fn tickets_to_renew(
        &self,
        id: StepId,
        allowed: &[AskedWorker],
        enough: u32,
        need: AdviceNeed,
        now: Instant,
    ) -> Vec<WorkerKey> {
        let step = self.jobs.get(&id.job).and_then(|job| job.step(id));
        let Some(step) = step else {
            return Vec::new();
        };
        let spec = need.spec;
        let reservation = self.reservations.iter().find(|r| r.step == id);
        let wanted: Vec<WorkerKey> = match reservation {
            // A ticket has to be valid when the room is free, and not long before.
            Some(kept) if kept.start_at > now + spec.ticket_validity / 2 => Vec::new(),
            Some(kept) => kept.workers.clone(),
            None => workers_with_room(allowed, enough, need.wanted),
        };
        let ends_within = |key: WorkerKey, time: Duration| {
            let mut tickets = step.advice.tickets.iter();
            tickets.any(|ticket| ticket.worker == key && now + time >= ticket.until)
        };
        let soon = spec.cost(wanted.len()) + TICKET_MARGIN * 2;
        if !wanted.iter().any(|key| ends_within(*key, soon)) {
            return Vec::new();
        }
        let old = |key: &WorkerKey| ends_within(*key, soon.max(spec.ticket_validity / 2));
        wanted.into_iter().filter(old).collect()
    }
}

/// Returns workers with more free room than a step takes, since others may take some of it meanwhile; none
/// if there is not `enough`.
fn workers_with_room(allowed: &[AskedWorker], enough: u32, wanted: u32) -> Vec<WorkerKey> {
    let mut free: Vec<AskedWorker> = allowed.iter().copied().filter(|w| w.free > 0).collect();
    free.sort_by_key(|worker| std::cmp::Reverse(worker.free));
    let target = (f64::from(wanted) * SPARE_FACTOR).ceil() as u32;
    let mut room = 0u32;
    let mut workers = Vec::new();
    for worker in free {
        if room >= target {
            break;
        }
        room = room.saturating_add(worker.free);
        workers.push(worker.key);
    }
    match room >= enough {
        true => workers,
        false => Vec::new(),
    }
}

/// Returns how many of the first workers have this much free room together.
fn workers_for_room(workers: &[AskedWorker], room: f64) -> usize {
    let mut sum = 0.0;
    let enough = workers.iter().position(|worker| {
        sum += f64::from(worker.free);
        sum >= room
    });
    enough.map_or(workers.len(), |last| last + 1)
}

/// Returns the fewest workers that a call for unknown workers names.
fn least_named(spec: AdviceSpec) -> usize {
    if spec.base_cost < LONG_DECISION || spec.cost_per_worker.is_zero() {
        return MIN_NAMED;
    }
    let extra = spec.base_cost.as_secs_f64() * EXTRA_SHARE / spec.cost_per_worker.as_secs_f64();
    (extra as usize).max(MIN_NAMED)
}
