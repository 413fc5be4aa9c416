//! Reservation of workers for gangs that only lack tickets.
//!
//! A ticket is valid for a few seconds, and an advice request takes up to a second. A gang that asked for a few
//! workers at a time would find that its first tickets have expired, or that other steps have taken the
//! workers, when the last ticket arrives. Once a gang fits on allowed workers, it therefore reserves exactly
//! these and renews all their tickets with one request. The reservation is only made for the whole gang, so
//! two gangs never wait for each other's workers.

use std::time::{Duration, Instant};

use crate::advice::TICKET_MARGIN;
use crate::advice_request::{AdviceNeed, FreeCapacity};
use crate::cell::Cell;
use crate::reserve::{Reservation, ReservationPurpose};
use crate::step_order::OrderKey;
use crate::{StepId, WorkerKey};

/// At most the number of workers divided by this may be reserved in all for gangs that wait for tickets. A
/// single reservation may exceed that.
const HELD_WORKERS_DIVISOR: usize = 2;

/// Room that a gang reserves, as a multiple of its tasks, since a worker may fail or be taken by a step of a
/// higher priority.
const HELD_CAPACITY_FACTOR: f64 = 1.1;

/// Multiple of the expected duration of the request after which the reservation expires. A request may wait for
/// an idle process.
const MAX_REQUEST_TIME_FACTOR: u32 = 2;

/// Time after the reply for which the workers remain reserved, so that the next pass places the gang.
const PLACEMENT_TIME: Duration = Duration::from_millis(100);

impl Cell {
    /// Reserves workers for a gang that fits on the `allowed` ones, and returns those whose tickets have to be
    /// renewed. Returns none if the gang does not fit, or if too many workers are reserved.
    pub(crate) fn hold_for_tickets(
        &mut self,
        order: OrderKey,
        need: AdviceNeed,
        allowed: &[FreeCapacity],
        now: Instant,
    ) -> Vec<WorkerKey> {
        let id = order.step;
        let workers = self.workers_to_hold(id, need, allowed, now);
        let others = self.reservations.iter().filter(|r| r.step != id);
        let held: usize = others.map(|r| r.workers.len()).sum();
        let limit = self.workers.len() / HELD_WORKERS_DIVISOR;
        if workers.is_empty() || (held > 0 && held + workers.len() > limit) {
            return Vec::new();
        }
        let request_time = need.spec.cost(workers.len());
        let renewed_until = now + request_time + TICKET_MARGIN * 2;
        let renewed = self.tickets_that_end_before(id, &workers, renewed_until);
        self.release_reservation(id);
        let reservation = Reservation {
            step: id,
            priority: order.priority,
            workers,
            until: now + request_time * MAX_REQUEST_TIME_FACTOR + PLACEMENT_TIME,
            purpose: ReservationPurpose::Tickets,
        };
        self.mark_reserved(&reservation);
        self.reservations.push(reservation);
        renewed
    }

    /// Chooses workers with room for a whole gang: first those whose tickets are valid, then those with the most
    /// room. Returns none if the gang does not fit.
    fn workers_to_hold(
        &self,
        id: StepId,
        need: AdviceNeed,
        allowed: &[FreeCapacity],
        now: Instant,
    ) -> Vec<WorkerKey> {
        let Some(step) = self.jobs.get(&id.job).and_then(|job| job.step(id)) else {
            return Vec::new();
        };
        let valid_from = now + need.spec.ticket_validity / 2;
        let mut free: Vec<FreeCapacity> = allowed.iter().copied().filter(|w| w.fits > 0).collect();
        free.sort_by_key(|worker| {
            let ticket = step.advice.ticket(worker.key, valid_from);
            (ticket.is_none(), std::cmp::Reverse(worker.fits))
        });
        let target = (f64::from(need.wanted) * HELD_CAPACITY_FACTOR).ceil() as u32;
        let mut fits = 0u32;
        let mut workers = Vec::new();
        for worker in free {
            if fits >= target {
                break;
            }
            fits = fits.saturating_add(worker.fits);
            workers.push(worker.key);
        }
        match fits >= need.wanted {
            true => workers,
            false => Vec::new(),
        }
    }

    /// Returns those of the workers whose tickets for a step are not valid until `time`.
    pub(crate) fn tickets_that_end_before(
        &self,
        id: StepId,
        workers: &[WorkerKey],
        time: Instant,
    ) -> Vec<WorkerKey> {
        let Some(step) = self.jobs.get(&id.job).and_then(|job| job.step(id)) else {
            return Vec::new();
        };
        let ends_before = |key: &&WorkerKey| {
            let ticket = step.advice.any_ticket(**key);
            ticket.is_none_or(|ticket| ticket.until < time)
        };
        workers.iter().filter(ends_before).copied().collect()
    }

    fn release_reservation(&mut self, id: StepId) {
        for reservation in self.reservations.extract_if(.., |r| r.step == id) {
            for key in reservation.workers {
                if let Some(worker) = self.workers.get_mut(key) {
                    worker.reserved_by = None;
                }
            }
        }
    }

    /// Returns whether a step waits for an advice reply, or has got one that no pass has used yet.
    pub(crate) fn awaits_advice(&self, id: StepId, now: Instant) -> bool {
        let step = self.jobs.get(&id.job).and_then(|job| job.step(id));
        step.is_some_and(|step| {
            let advice = &step.advice;
            let is_recent = |at: Instant| now.saturating_duration_since(at) < PLACEMENT_TIME;
            advice.requested_at.is_some() || advice.answered_at.is_some_and(is_recent)
        })
    }
}
