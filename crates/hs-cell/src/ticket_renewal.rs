//! Which tickets of a waiting step a request renews.

use std::time::{Duration, Instant};

use crate::advice_request::{AdviceNeed, FreeCapacity};
use crate::cell::Cell;
use crate::{StepId, WorkerKey};

/// Free capacity for which tickets are renewed, as a multiple of what the step needs.
const RENEWAL_CAPACITY_FACTOR: f64 = 1.5;

impl Cell {
    /// Returns the workers with room for the step whose tickets are not valid until `time`.
    pub(crate) fn tickets_that_end_before(
        &self,
        id: StepId,
        allowed: &[FreeCapacity],
        time: Instant,
    ) -> Vec<WorkerKey> {
        let Some(step) = self.jobs.get(&id.job).and_then(|job| job.step(id)) else {
            return Vec::new();
        };
        let with_room = allowed.iter().filter(|worker| worker.fits > 0);
        let ends_before = |key: &WorkerKey| {
            let ticket = step.advice.any_ticket(*key);
            ticket.is_none_or(|ticket| ticket.until < time)
        };
        let keys = with_room.map(|worker| worker.key);
        keys.filter(ends_before).collect()
    }

    /// Returns the allowed workers whose tickets have to be renewed: those on which the step can start now,
    /// or those that are reserved for it, if the ticket of one of them expires soon.
    pub(crate) fn tickets_to_renew(
        &self,
        id: StepId,
        allowed: &[FreeCapacity],
        enough: u32,
        need: AdviceNeed,
        now: Instant,
    ) -> Vec<WorkerKey> {
        let step = self.jobs.get(&id.job).and_then(|job| job.step(id));
        let Some(step) = step else {
            return Vec::new();
        };
        let spec = need.spec;
        let reservation = self.reservations.iter().find(|r| r.holder.step == id);
        let wanted: Vec<WorkerKey> = match reservation {
            // A ticket has to be valid when the resources become free, but not long before.
            Some(reservation) if reservation.start_at > now + spec.ticket_validity / 2 => {
                Vec::new()
            }
            Some(reservation) => reservation.workers.iter().map(|w| w.key).collect(),
            None => workers_with_free_capacity(allowed, enough, need.wanted),
        };
        let ends_within = |key: WorkerKey, time: Duration| {
            let ticket = step.advice.any_ticket(key);
            ticket.is_some_and(|ticket| now + time >= ticket.until)
        };
        let soon = spec.cost(wanted.len()) + self.ticket_margin.of_renewal();
        if !wanted.iter().any(|key| ends_within(*key, soon)) {
            return Vec::new();
        }
        let old = |key: &WorkerKey| ends_within(*key, soon.max(spec.ticket_validity / 2));
        wanted.into_iter().filter(old).collect()
    }
}

/// Returns the workers with the most free capacity, as many as fit [`RENEWAL_CAPACITY_FACTOR`] times the
/// `wanted` tasks, since other steps may take some of it meanwhile. Returns none if fewer than `enough` tasks
/// fit on all of them.
fn workers_with_free_capacity(
    allowed: &[FreeCapacity],
    enough: u32,
    wanted: u32,
) -> Vec<WorkerKey> {
    let mut free: Vec<FreeCapacity> = allowed.iter().copied().filter(|w| w.fits > 0).collect();
    free.sort_by_key(|worker| std::cmp::Reverse(worker.fits));
    let target = (f64::from(wanted) * RENEWAL_CAPACITY_FACTOR).ceil() as u32;
    let mut total_fits = 0u32;
    let mut workers = Vec::new();
    for worker in free {
        if total_fits >= target {
            break;
        }
        total_fits = total_fits.saturating_add(worker.fits);
        workers.push(worker.key);
    }
    match total_fits >= enough {
        true => workers,
        false => Vec::new(),
    }
}
