//! Reservations that gangs hold on workers, and what other steps may still use of these (backfilling).
//!
//! Until its gang starts, a reserved worker is open to tasks that are expected to end before that, and to those that
//! have room beside the members of the gang. A task without an expected end may delay the gang for ever; it is kept
//! out only if the gang is about to start.
//!
//! A reservation is outdated after a short time, so that the gang chooses its workers again once a pass visits it. It stays
//! in force until then: steps that come before the gang in the pass would otherwise take its room each time.

use std::time::{Duration, Instant};

use hs_share::JobClass;
use hs_wire::Resources;
use smallvec::SmallVec;

use crate::capacity::{Sharing, StepDemand};
use crate::cell::Cell;
use crate::step_order::{OrderKey, StepRank};
use crate::worker::Worker;
use crate::{StepId, TaskRun, WorkerKey};

/// Time after which a reservation is outdated, so that the workers are chosen again.
const RESERVATION_TTL: Duration = Duration::from_millis(100);

/// Time for which an outdated reservation stays in force if its gang is not visited.
const MAX_RESERVATION_AGE: Duration = Duration::from_secs(1);

/// Time for which a dropped reservation is remembered. A gang that reserves again meanwhile has waited all along.
const RESERVATION_GAP: Duration = Duration::from_secs(1);

/// Maximum time before the expected start of a gang for which its reservation keeps out tasks without an expected end.
const MAX_INDEFINITE_HOLD: Duration = Duration::from_secs(1);

/// Reservation of workers for a gang.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    pub holder: ReservationHolder,
    pub workers: Vec<ReservedWorker>,
    pub made_at: Instant,
    /// Time since which the gang has reserved workers, without a pause of [`RESERVATION_GAP`].
    pub since: Instant,
    /// Time at which the gang is expected to start.
    pub start_at: Instant,
}

/// Worker of a reservation.
#[derive(Clone, Debug)]
pub(crate) struct ReservedWorker {
    pub key: WorkerKey,
    /// Resources that the members of the gang need on the worker.
    pub need: Resources,
    /// Runs that are expected to end before the gang starts.
    pub ending: SmallVec<[TaskRun; 4]>,
}

/// Reservation of a single worker, as the worker knows it.
#[derive(Clone, Debug)]
pub(crate) struct WorkerReservation {
    pub holder: ReservationHolder,
    made_at: Instant,
    start_at: Instant,
    need: Resources,
    ending: SmallVec<[TaskRun; 4]>,
}

/// Mark of a run that was placed on a reserved worker, since it is expected to end before the gang starts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backfill {
    /// Gang that had reserved the worker.
    pub gang: StepId,
    /// Time at which the run was expected to end when it was placed.
    pub end: Instant,
}

/// Gang that holds a reservation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReservationHolder {
    pub step: StepId,
    pub priority: u8,
    pub rank: StepRank,
}

/// Description of a reservation.
#[derive(Clone, Debug)]
pub struct ReservationState {
    /// Gang that holds the reservation.
    pub step: StepId,
    /// Number of reserved workers.
    pub worker_count: usize,
    /// IDs of the first few of them, separated by commas.
    pub workers: String,
    /// Time for which the gang has reserved workers.
    pub age: Duration,
    /// Time until the gang is expected to start.
    pub start_in: Duration,
}

impl Reservation {
    /// Returns whether the workers are to be chosen again.
    pub(crate) fn is_outdated(&self, now: Instant) -> bool {
        is_outdated(self.made_at, now)
    }
}

fn is_outdated(made_at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(made_at) >= RESERVATION_TTL
}

impl ReservationHolder {
    /// Returns whether the reservation keeps the workers from another step. Among jobs of one class the priority
    /// decides. A surplus gang holds nothing against owed steps, and an owed one holds its workers against the
    /// surplus steps that come after it.
    fn holds_against(&self, demand: &StepDemand) -> bool {
        match (self.rank.class, demand.rank.class) {
            (JobClass::Surplus, JobClass::Owed) => false,
            (JobClass::Owed, JobClass::Surplus) => self.rank < demand.rank,
            (JobClass::Owed, JobClass::Owed) | (JobClass::Surplus, JobClass::Surplus) => {
                self.priority <= demand.priority
            }
        }
    }
}

impl From<OrderKey> for ReservationHolder {
    fn from(order: OrderKey) -> Self {
        Self {
            step: order.step,
            priority: order.priority,
            rank: order.rank,
        }
    }
}

impl WorkerReservation {
    /// Returns whether another gang can't reserve the worker.
    pub(crate) fn excludes_gang(&self, class: JobClass, now: Instant) -> bool {
        self.holder.rank.class <= class && !is_outdated(self.made_at, now)
    }

    /// Returns the expected end of a task if it is placed now and ends before the gang starts.
    fn backfill_end(&self, demand: &StepDemand, now: Instant) -> Option<Instant> {
        let end = now + demand.run_time?;
        (end <= self.start_at).then_some(end)
    }

    /// Returns how many tasks of another step fit on the worker.
    fn fits(&self, worker: &Worker, demand: &StepDemand, now: Instant) -> u32 {
        let free = worker.free();
        let fits = demand.need.max_copies_in(free);
        let is_open = match demand.run_time {
            Some(_) => self.backfill_end(demand, now).is_some(),
            None => self.start_at > now + MAX_INDEFINITE_HOLD,
        };
        if is_open {
            return fits;
        }
        // A worker on probation runs one task at a time, and beside an isolated one there is no room for the gang.
        if demand.sharing != Sharing::Shared || worker.is_quarantined_or_on_probation(now) {
            return 0;
        }
        let ending = self.ending.iter().filter_map(|run| worker.slots.get(run));
        let free_at_start = ending.fold(free, |sum, slot| sum.saturating_add(slot.need));
        let beside_gang = free_at_start.saturating_sub(self.need);
        fits.min(demand.need.max_copies_in(beside_gang))
    }
}

impl Worker {
    /// Returns how many further tasks of a step fit into the free resources of the worker, as far as they are not reserved
    /// for another step.
    pub(crate) fn unreserved_fits(&self, demand: &StepDemand, now: Instant) -> u32 {
        match self.reservation_against(demand) {
            Some(reservation) => reservation.fits(self, demand, now),
            None => demand.need.max_copies_in(self.free()),
        }
    }

    /// Returns the mark of a run of this step that is placed on the worker now.
    pub(crate) fn backfill(&self, demand: &StepDemand, now: Instant) -> Option<Backfill> {
        let reservation = self.reservation_against(demand)?;
        Some(Backfill {
            gang: reservation.holder.step,
            end: reservation.backfill_end(demand, now)?,
        })
    }

    fn reservation_against(&self, demand: &StepDemand) -> Option<&WorkerReservation> {
        let reservation = self.reserved_by.as_ref();
        reservation.filter(|reservation| {
            let holder = reservation.holder;
            holder.step != demand.step && holder.holds_against(demand)
        })
    }
}

impl Cell {
    /// Drops reservations that are too old or whose steps no longer wait, and marks the workers of the remaining ones.
    pub(crate) fn refresh_reservations(&mut self, now: Instant) {
        let mut reservations = std::mem::take(&mut self.reservations);
        for reserved in reservations.iter().flat_map(|r| &r.workers) {
            if let Some(worker) = self.workers.get_mut(reserved.key) {
                worker.reserved_by = None;
            }
        }
        let age = |made_at: Instant| now.saturating_duration_since(made_at);
        self.dropped_reservations
            .retain(|dropped| age(dropped.made_at) < RESERVATION_GAP);
        reservations.retain(|reservation| {
            age(reservation.made_at) < MAX_RESERVATION_AGE
                && self.has_waiting_tasks(reservation.holder.step)
        });
        for reservation in &reservations {
            self.mark_reserved(reservation);
        }
        self.reservations = reservations;
    }

    /// Adds a reservation, which replaces outdated ones and those of a lower class on its workers.
    pub(crate) fn add_reservation(&mut self, reservation: Reservation) {
        self.drop_overlapping(&reservation);
        self.mark_reserved(&reservation);
        self.reservations.push(reservation);
    }

    /// Returns the time since which a gang that reserves workers now has reserved some.
    pub(crate) fn reserved_since(&self, step: StepId, now: Instant) -> Instant {
        let dropped = self.dropped_reservations.iter();
        let earlier = dropped.filter(|dropped| dropped.holder.step == step);
        earlier.map(|dropped| dropped.since).min().unwrap_or(now)
    }

    /// Drops the reservation of a step, if it has one.
    pub(crate) fn drop_reservation(&mut self, id: StepId) {
        let reservation = self.reservations.iter().position(|r| r.holder.step == id);
        let Some(reservation) = reservation.map(|index| self.reservations.remove(index)) else {
            return;
        };
        for reserved in &reservation.workers {
            if let Some(worker) = self.workers.get_mut(reserved.key) {
                worker.reserved_by = None;
            }
        }
        self.dropped_reservations.push(reservation);
    }

    /// Drops the reservations whose workers a new one takes.
    fn drop_overlapping(&mut self, taker: &Reservation) {
        let is_taken_worker = |worker: &ReservedWorker| {
            let mut taken = taker.workers.iter();
            taken.any(|other| other.key == worker.key)
        };
        let is_taken = |r: &&Reservation| r.workers.iter().any(is_taken_worker);
        let overlapping = self.reservations.iter().filter(is_taken);
        let steps: Vec<StepId> = overlapping.map(|r| r.holder.step).collect();
        for step in steps {
            self.drop_reservation(step);
        }
    }

    fn mark_reserved(&mut self, reservation: &Reservation) {
        for reserved in &reservation.workers {
            if let Some(worker) = self.workers.get_mut(reserved.key) {
                worker.reserved_by = Some(WorkerReservation {
                    holder: reservation.holder,
                    made_at: reservation.made_at,
                    start_at: reservation.start_at,
                    need: reserved.need,
                    ending: reserved.ending.clone(),
                });
            }
        }
    }

    /// Returns the number of reserved workers.
    pub fn reserved_workers(&self) -> usize {
        self.reservations.iter().map(|r| r.workers.len()).sum()
    }

    /// Describes at most `limit` reservations, the oldest first, with the IDs of at most `max_ids` workers each.
    pub fn reservation_states(
        &self,
        limit: usize,
        max_ids: usize,
        now: Instant,
    ) -> Vec<ReservationState> {
        let mut oldest: Vec<&Reservation> = self.reservations.iter().collect();
        oldest.sort_by_key(|reservation| reservation.since);
        oldest.truncate(limit);
        let describe = |reservation: &Reservation| {
            let workers = reservation.workers.iter();
            let ids = workers
                .filter_map(|reserved| self.worker_id(reserved.key))
                .take(max_ids);
            ReservationState {
                step: reservation.holder.step,
                worker_count: reservation.workers.len(),
                workers: ids.collect::<Vec<_>>().join(","),
                age: now.saturating_duration_since(reservation.since),
                start_in: reservation.start_at.saturating_duration_since(now),
            }
        };
        oldest.into_iter().map(describe).collect()
    }
}
