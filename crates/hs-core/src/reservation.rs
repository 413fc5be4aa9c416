//! Capacity reservations for gangs and large tasks, with backfill of shorter tasks.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::band_queue::QueuedItem;
use crate::decide::TaskWorkers;
use crate::work_shape::WorkShape;
use crate::{Decision, Placer, WorkBand, WorkKey, WorkRequest, WorkerKey};

/// Interval between searches for blocked work that needs a reservation.
const RESERVATION_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum wait of a single task before it gets a reservation. Most of them find a worker sooner
/// without one. Urgent tasks and gangs get a reservation without this wait.
const SINGLE_TASK_MIN_WAIT: Duration = Duration::from_secs(1);

/// Validity of the first reservation of a work item. It doubles with every further reservation.
const INITIAL_VALIDITY: Duration = Duration::from_secs(30);

/// Assumed remaining run time of a task whose end is unknown. It exceeds any real estimate, so that
/// such tasks sort last.
const UNKNOWN_REMAINING_TIME: Duration = Duration::from_secs(1_000_000);

/// Upper bound on the doublings of [`INITIAL_VALIDITY`], which limits the validity to 64 minutes.
const MAX_VALIDITY_DOUBLINGS: u8 = 7;

/// Number of workers that planning a reservation examines in addition to those for each task. The
/// number is limited because examining all of 3,300 workers took 2 ms.
const BASE_PLAN_WORKERS: usize = 64;

/// Number of workers that planning a reservation examines for each task.
const PLAN_WORKERS_PER_TASK: usize = 2;

/// Maximum number of reserved workers that are examined to backfill a task.
const MAX_BACKFILL_WORKERS: usize = 64;

/// Capacity reserved on several workers for one queued gang or large task.
#[derive(Debug)]
pub(crate) struct Reservation {
    work: WorkKey,
    band: WorkBand,
    shape: WorkShape,
    /// The reserved workers, each with the number of tasks that it is to run.
    workers: Vec<(WorkerKey, u32)>,
    /// Expected time at which the reserved capacity is free. Backfilled tasks have to end before
    /// it. It never changes, so that backfill cannot postpone the start.
    ready_at: Instant,
    expires_at: Instant,
    /// Whether the reservation also excludes the higher bands except `Urgent`, because only their
    /// work still occupies the reserved capacity.
    excludes_higher_bands: bool,
}

/// The current reservation, if any, and when to search for work that needs one.
#[derive(Debug, Default)]
pub(crate) struct ReservationState {
    current: Option<Reservation>,
    /// Whether capacity was freed since the last attempt to place the reservation's work.
    capacity_freed: bool,
    /// Whether there is queued work for which no workers were found.
    blocked: bool,
    next_check: Option<Instant>,
    /// Number of placements so far. If it has grown since some work was blocked, other work was
    /// placed ahead of it.
    pub(crate) placements: u64,
}

impl ReservationState {
    /// Records that capacity was freed on some worker.
    pub(crate) fn note_capacity_freed(&mut self) {
        self.capacity_freed = true;
    }

    /// Records that no workers were found for some work, and schedules a check.
    pub(crate) fn note_blocked(&mut self, now: Instant) {
        self.blocked = true;
        self.next_check
            .get_or_insert(now + RESERVATION_CHECK_INTERVAL);
    }

    /// Returns when [`Placer::poll`] has to be called to expire the reservation or to search for
    /// work that needs one.
    pub(crate) fn next_wake(&self) -> Option<Instant> {
        match &self.current {
            Some(reservation) => Some(reservation.expires_at),
            None => self.next_check.filter(|_| self.blocked),
        }
    }
}

impl Placer {
    /// Places the work of the current reservation if its capacity is free, and ends the reservation
    /// if it has expired or become void. Without a reservation, starts one for blocked work if a
    /// check is due.
    pub(crate) fn serve_reservation(&mut self, now: Instant) -> Option<Decision> {
        if self.reservations.current.is_none() {
            if self.reservations.blocked
                && self
                    .reservations
                    .next_check
                    .is_none_or(|check| check <= now)
            {
                self.try_start_reservation(now);
            }
            return None;
        }
        let reservation = self.reservations.current.as_ref()?;
        let (work, expires_at) = (reservation.work, reservation.expires_at);
        let Some(record) = self
            .work_records
            .get(work)
            .filter(|record| record.is_queued())
        else {
            self.end_reservation();
            return None;
        };
        let account = &self.accounts[record.request.customer];
        let is_unavailable = |(worker, _): &(WorkerKey, u32)| {
            let record = self.pool.get(*worker);
            !record.is_some_and(|record| record.takes_work())
        };
        if expires_at <= now || !account.quota_admits(reservation.shape.total()) {
            if let Some(record) = self.work_records.get_mut(work) {
                record.failed_reservations = record.failed_reservations.saturating_add(1);
            }
            self.end_reservation();
            return None;
        }
        if !std::mem::take(&mut self.reservations.capacity_freed) {
            return None;
        }
        if reservation.workers.iter().any(is_unavailable) {
            self.end_reservation();
            self.try_start_reservation(now);
            return None;
        }
        if let Some(workers) = self.find_reserved_workers(reservation) {
            let item = self.locate_queued(work)?;
            self.end_reservation();
            return Some(self.place_queued(item, workers, now));
        }
        self.exclude_higher_bands();
        None
    }

    /// Searches for workers among those of the current reservation. The reservation's own work may
    /// use the reserved capacity, together with unreserved workers; a single task may be backfilled
    /// into it if its declared run time ends before the reservation needs the capacity.
    pub(crate) fn find_with_reservation(
        &self,
        request: &WorkRequest,
        work: Option<WorkKey>,
        now: Instant,
    ) -> Option<TaskWorkers> {
        let reservation = self.reservations.current.as_ref()?;
        if work == Some(reservation.work) {
            return self.find_reserved_workers(reservation);
        }
        if request.tasks > 1 {
            return None;
        }
        if now + request.estimate? > reservation.ready_at {
            return None;
        }
        let mut reserved_workers = reservation.workers.iter().take(MAX_BACKFILL_WORKERS);
        let (worker, _) = reserved_workers.find(|(worker, _)| {
            self.pool
                .count_fits(*worker, request.band, request.resources)
                > 0
        })?;
        Some(SmallVec::from_iter([*worker]))
    }

    fn find_reserved_workers(&self, reservation: &Reservation) -> Option<TaskWorkers> {
        let Reservation { band, shape, .. } = *reservation;
        let mut chosen = TaskWorkers::new();
        for (worker, count) in &reservation.workers {
            let fits = self.pool.count_fits(*worker, band, shape.need).min(*count);
            chosen.extend(std::iter::repeat_n(*worker, fits as usize));
        }
        let missing = u32::from(shape.tasks) - chosen.len() as u32;
        if missing == 0 {
            return Some(chosen);
        }
        let others = self.pool.fit_gang(band, shape.need, missing)?;
        let is_reserved = |worker| {
            let mut workers = reservation.workers.iter();
            workers.any(|(reserved, _)| *reserved == worker)
        };
        // The index does not account for the tasks assigned to reserved workers above, so assigning
        // more tasks to one of these workers could exceed its capacity.
        if others.iter().any(|worker| is_reserved(*worker)) {
            return None;
        }
        chosen.extend(others);
        Some(chosen)
    }

    fn locate_queued(&self, work: WorkKey) -> Option<QueuedItem> {
        let record = self.work_records.get(work)?;
        let queue = &self.queues[record.request.band as usize];
        queue.locate(work, record)
    }

    /// Starts a reservation for the first blocked work item that other work was placed ahead of, if
    /// there is one. Items with fewer failed reservations come first, so that an item that never
    /// gets its capacity does not block the only reservation; then higher bands, then older items.
    fn try_start_reservation(&mut self, now: Instant) {
        self.reservations.next_check = Some(now + RESERVATION_CHECK_INTERVAL);
        let placements = self.reservations.placements;
        let mut blocked = false;
        let mut first: Option<((u8, WorkBand, u64), WorkKey)> = None;
        for band in WorkBand::ALL {
            let (any_blocked, passed) =
                self.queues[band as usize].passed_over(placements, &self.work_records);
            blocked |= any_blocked;
            for work in passed {
                let record = &self.work_records[work];
                let min_wait = match (band, record.request.tasks) {
                    (WorkBand::Urgent, _) | (_, 2..) => Duration::ZERO,
                    _ => SINGLE_TASK_MIN_WAIT,
                };
                let waited = now.saturating_duration_since(record.submitted);
                let order = (record.failed_reservations, band, record.sequence);
                if waited >= min_wait && first.is_none_or(|(least, _)| order < least) {
                    first = Some((order, work));
                }
            }
        }
        self.reservations.blocked = blocked;
        let Some((_, work)) = first else { return };
        match self.plan_reservation(work, now) {
            Some(reservation) => self.activate_reservation(reservation),
            None => {
                self.work_records[work].failed_reservations = self.work_records[work]
                    .failed_reservations
                    .saturating_add(1)
            }
        }
    }

    /// Chooses the workers on which the work is expected to fit earliest, based on the expected
    /// ends of the running tasks.
    fn plan_reservation(&self, work: WorkKey, now: Instant) -> Option<Reservation> {
        let record = &self.work_records[work];
        let (band, shape) = (record.request.band, WorkShape::of(&record.request));
        let unknown_end = now + UNKNOWN_REMAINING_TIME;
        // Expected start of each task that fits, with its worker.
        let mut task_starts: Vec<(Instant, WorkerKey)> = Vec::new();
        let mut ends: Vec<(Instant, &WorkRequest)> = Vec::new();
        let max_examined = BASE_PLAN_WORKERS + PLAN_WORKERS_PER_TASK * usize::from(shape.tasks);
        let mut examined = 0;
        for (worker, record) in self.pool.iter_from_rack(record.sequence) {
            let capacity = self.pool.band_capacity(record, band);
            let Some(mut free) = self.pool.free_capacity_of(record, band) else {
                continue;
            };
            if !shape.need.fits(capacity) {
                continue;
            }
            if examined >= max_examined && task_starts.len() >= usize::from(shape.tasks) {
                break;
            }
            examined += 1;
            let mut tasks_left = self.pool.remaining_tasks(record, band);
            ends.clear();
            ends.extend(record.tasks.iter().filter_map(|(work, _)| {
                let end = self.expected_end(*work, now).unwrap_or(unknown_end);
                Some((end, &self.work_records.get(*work)?.request))
            }));
            ends.sort_by_key(|(end, _)| *end);
            let mut ends = ends.iter();
            let (mut at, mut found) = (now, 0);
            loop {
                if found < shape.tasks && tasks_left > 0 && shape.need.fits(free) {
                    free = free.saturating_sub(shape.need);
                    tasks_left -= 1;
                    found += 1;
                    task_starts.push((at, worker));
                    continue;
                }
                let Some((end, request)) = ends.next() else {
                    break;
                };
                at = *end;
                free = free.saturating_add(request.resources);
                tasks_left = tasks_left.saturating_add(u32::from(request.band == WorkBand::Long));
            }
        }
        let tasks = usize::from(shape.tasks);
        if task_starts.len() < tasks {
            return None;
        }
        task_starts.sort_unstable();
        task_starts.truncate(tasks);
        let ready_at = task_starts
            .last()
            .map(|(at, _)| *at)
            .filter(|at| *at < unknown_end);
        let mut reserved_workers: Vec<(WorkerKey, u32)> = Vec::new();
        task_starts.sort_unstable_by_key(|(_, worker)| *worker);
        for (_, worker) in task_starts {
            match reserved_workers.last_mut() {
                Some((last, count)) if *last == worker => *count += 1,
                _ => reserved_workers.push((worker, 1)),
            }
        }
        let validity = INITIAL_VALIDITY
            .saturating_mul(1 << record.failed_reservations.min(MAX_VALIDITY_DOUBLINGS));
        Some(Reservation {
            work,
            band,
            shape,
            workers: reserved_workers,
            // If the time is unknown, no task is certain to end before it: `now` disables backfill.
            ready_at: ready_at.unwrap_or(now),
            expires_at: now + validity,
            excludes_higher_bands: false,
        })
    }

    fn activate_reservation(&mut self, reservation: Reservation) {
        for (worker, count) in &reservation.workers {
            let reserved = reservation.shape.need.saturating_mul(*count);
            self.pool.update(*worker, |record| {
                record.reserved = reserved;
                record.highest_excluded_band = reservation.band;
            });
        }
        self.reservations.current = Some(reservation);
        self.reservations.capacity_freed = true;
    }

    /// Extends the reservation to the bands `Short` and below once only tasks of higher bands
    /// occupy the reserved capacity. The run time of these tasks then bounds the remaining wait.
    fn exclude_higher_bands(&mut self) {
        let Some(reservation) = &mut self.reservations.current else {
            return;
        };
        let band = reservation.band;
        let workers = reservation.workers.iter();
        let mut records = workers.map(|(worker, count)| (self.pool.get(*worker), *count));
        let only_higher_bands_left = records.all(|(record, count)| {
            record.is_some_and(|record| {
                let capacity = self.pool.band_capacity(record, band);
                let reserved = reservation.shape.need.saturating_mul(count);
                reserved.fits(capacity.saturating_sub(record.used_at_or_below(band)))
            })
        });
        if only_higher_bands_left
            && !std::mem::replace(&mut reservation.excludes_higher_bands, true)
        {
            for (worker, _) in &reservation.workers {
                self.pool.update(*worker, |record| {
                    record.highest_excluded_band =
                        record.highest_excluded_band.min(WorkBand::Short);
                });
            }
        }
    }

    /// Ends the current reservation, if there is one, and releases its capacity.
    pub(crate) fn end_reservation(&mut self) {
        let Some(reservation) = self.reservations.current.take() else {
            return;
        };
        self.reservations.blocked = true;
        for (worker, _) in reservation.workers {
            self.pool.update(worker, |record| {
                record.reserved = hs_wire::Resources::ZERO;
            });
            self.handle_freed_capacity(worker);
        }
    }
}
