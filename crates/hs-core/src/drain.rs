//! Room held for work that needs more than becomes free at once.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::band_queue::{QueueHead, WorkShape};
use crate::decide::TaskWorkers;
use crate::{Decision, Placer, WorkBand, WorkKey, WorkRequest, WorkerKey};

/// Time between looks for work that needs a reservation.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Wait of single tasks before a reservation. Most of them fit sooner than that by themselves.
const SINGLE_PATIENCE: Duration = Duration::from_secs(1);

/// Validity of the first reservation for a piece of work; it doubles with every further one.
const FIRST_VALIDITY: Duration = Duration::from_secs(30);

/// Time until the end of tasks of which nothing is known, later than any other.
const UNKNOWN_END: Duration = Duration::from_secs(1_000_000);

/// Most doublings of the validity, which give 64 minutes.
const MAX_DOUBLINGS: u8 = 7;

/// Workers that a reservation compares, beside those for each task. Comparing all of 3,300 workers
/// took 2 ms.
const PLAN_WORKERS: usize = 64;

/// Workers that a reservation compares for each task.
const PLAN_WORKERS_PER_TASK: usize = 2;

/// Most claimed workers that backfill looks at.
const MAX_BACKFILL: usize = 64;

/// Claims on workers for one piece of waiting work, a gang or a large task.
#[derive(Debug)]
pub(crate) struct DrainReservation {
    work: WorkKey,
    band: WorkBand,
    shape: WorkShape,
    /// Claimed workers with the number of tasks that each is to take.
    claims: Vec<(WorkerKey, u32)>,
    /// When the room is expected to be free. Fixed, so that backfill cannot postpone it.
    ready_at: Instant,
    expires: Instant,
    /// Whether higher bands are held off too, since only their work is left on the claimed room.
    closing: bool,
}

/// When to look for work that needs a reservation, and the reservation in force.
#[derive(Debug, Default)]
pub(crate) struct DrainState {
    reservation: Option<DrainReservation>,
    /// Room has returned since the last attempt to place the work.
    room_returned: bool,
    /// Work waits that did not fit.
    blocked: bool,
    next_check: Option<Instant>,
    /// Number of decisions to place, by which work notices that it was passed over.
    pub(crate) placements: u64,
}

impl DrainState {
    /// Notes that room has returned.
    pub(crate) fn note_room(&mut self) {
        self.room_returned = true;
    }

    /// Notes that work did not fit.
    pub(crate) fn note_blocked(&mut self, now: Instant) {
        self.blocked = true;
        self.next_check.get_or_insert(now + CHECK_INTERVAL);
    }

    /// Returns when [`Placer::poll`] has to be called for the sake of a reservation.
    pub(crate) fn wake(&self) -> Option<Instant> {
        match &self.reservation {
            Some(reservation) => Some(reservation.expires),
            None => self.next_check.filter(|_| self.blocked),
        }
    }
}

impl Placer {
    /// Places the work of the reservation if its room is free, and looks for work that needs one.
    pub(crate) fn serve_drain(&mut self, now: Instant) -> Option<Decision> {
        if self.drain.reservation.is_none() {
            if self.drain.blocked && self.drain.next_check.is_none_or(|check| check <= now) {
                self.consider_drain(now);
            }
            return None;
        }
        let reservation = self.drain.reservation.as_ref()?;
        let (work, expires) = (reservation.work, reservation.expires);
        let Some(record) = self.works.get(work).filter(|record| record.is_queued()) else {
            self.end_drain();
            return None;
        };
        let account = &self.accounts[record.request.customer];
        let lost = |(worker, _): &(WorkerKey, u32)| {
            let record = self.pool.get(*worker);
            !record.is_some_and(|record| record.takes_work())
        };
        if expires <= now || !account.admits(reservation.shape.total()) {
            if let Some(record) = self.works.get_mut(work) {
                record.drains = record.drains.saturating_add(1);
            }
            self.end_drain();
            return None;
        }
        if !std::mem::take(&mut self.drain.room_returned) {
            return None;
        }
        if reservation.claims.iter().any(lost) {
            self.end_drain();
            self.consider_drain(now);
            return None;
        }
        if let Some(workers) = self.find_drained(reservation) {
            let head = self.queued_head(work)?;
            self.end_drain();
            return Some(self.place_head(head, workers, now));
        }
        self.close_drain();
        None
    }

    /// Returns workers for a request, the room that is held for it included.
    pub(crate) fn find_claimed(
        &self,
        request: &WorkRequest,
        work: Option<WorkKey>,
        now: Instant,
    ) -> Option<TaskWorkers> {
        let reservation = self.drain.reservation.as_ref()?;
        if work == Some(reservation.work) {
            return self.find_drained(reservation);
        }
        if request.tasks > 1 {
            return None;
        }
        if now + request.estimate? > reservation.ready_at {
            return None;
        }
        let mut claims = reservation.claims.iter().take(MAX_BACKFILL);
        let (worker, _) = claims.find(|(worker, _)| {
            self.pool
                .count_fits(*worker, request.band, request.resources)
                > 0
        })?;
        Some(SmallVec::from_iter([*worker]))
    }

    fn find_drained(&self, reservation: &DrainReservation) -> Option<TaskWorkers> {
        let DrainReservation { band, shape, .. } = *reservation;
        let mut chosen = TaskWorkers::new();
        for (worker, count) in &reservation.claims {
            let fits = self.pool.count_fits(*worker, band, shape.need).min(*count);
            chosen.extend(std::iter::repeat_n(*worker, fits as usize));
        }
        let missing = u32::from(shape.tasks) - chosen.len() as u32;
        if missing == 0 {
            return Some(chosen);
        }
        let others = self.pool.fit_gang(band, shape.need, missing)?;
        let claimed = |worker| {
            let mut claims = reservation.claims.iter();
            claims.any(|(claimed, _)| *claimed == worker)
        };
        // The index does not know what was chosen on claimed workers above.
        if others.iter().any(|worker| claimed(*worker)) {
            return None;
        }
        chosen.extend(others);
        Some(chosen)
    }

    fn queued_head(&self, work: WorkKey) -> Option<QueueHead> {
        let record = self.works.get(work)?;
        let queue = &self.queues[record.request.band as usize];
        queue.head_of(work, record)
    }

    /// Starts a reservation for the work that was passed over, the oldest first. One that had a
    /// reservation before comes after those that had none.
    fn consider_drain(&mut self, now: Instant) {
        self.drain.next_check = Some(now + CHECK_INTERVAL);
        let placements = self.drain.placements;
        let mut blocked = false;
        let mut first: Option<((u8, WorkBand, u64), WorkKey)> = None;
        for band in WorkBand::ALL {
            let (waiting, passed) = self.queues[band as usize].passed_over(placements, &self.works);
            blocked |= waiting;
            for work in passed {
                let record = &self.works[work];
                let patience = match (band, record.request.tasks) {
                    (WorkBand::Urgent, _) | (_, 2..) => Duration::ZERO,
                    _ => SINGLE_PATIENCE,
                };
                let waited = now.saturating_duration_since(record.submitted);
                let order = (record.drains, band, record.sequence);
                if waited >= patience && first.is_none_or(|(least, _)| order < least) {
                    first = Some((order, work));
                }
            }
        }
        self.drain.blocked = blocked;
        let Some((_, work)) = first else { return };
        match self.plan_drain(work, now) {
            Some(reservation) => self.begin_drain(reservation),
            None => self.works[work].drains = self.works[work].drains.saturating_add(1),
        }
    }

    /// Chooses the workers on which the work's room is free first.
    fn plan_drain(&self, work: WorkKey, now: Instant) -> Option<DrainReservation> {
        let record = &self.works[work];
        let (band, shape) = (record.request.band, WorkShape::of(&record.request));
        let unknown = now + UNKNOWN_END;
        let mut slots: Vec<(Instant, WorkerKey)> = Vec::new();
        let mut ends: Vec<(Instant, &WorkRequest)> = Vec::new();
        let enough = PLAN_WORKERS + PLAN_WORKERS_PER_TASK * usize::from(shape.tasks);
        let mut seen = 0;
        for (worker, record) in self.pool.iter_from_rack(record.sequence) {
            let ceiling = self.pool.ceiling(record, band);
            let Some(mut free) = self.pool.room_of(record, band) else {
                continue;
            };
            if !shape.need.fits(ceiling) {
                continue;
            }
            if seen >= enough && slots.len() >= usize::from(shape.tasks) {
                break;
            }
            seen += 1;
            let mut left = self.pool.tasks_left(record, band);
            ends.clear();
            ends.extend(record.tasks.iter().filter_map(|(work, _)| {
                let end = self.expected_end(*work, now).unwrap_or(unknown);
                Some((end, &self.works.get(*work)?.request))
            }));
            ends.sort_by_key(|(end, _)| *end);
            let mut ends = ends.iter();
            let (mut at, mut found) = (now, 0);
            loop {
                if found < shape.tasks && left > 0 && shape.need.fits(free) {
                    free = free.saturating_sub(shape.need);
                    left -= 1;
                    found += 1;
                    slots.push((at, worker));
                    continue;
                }
                let Some((end, request)) = ends.next() else {
                    break;
                };
                at = *end;
                free = free.saturating_add(request.resources);
                left = left.saturating_add(u32::from(request.band == WorkBand::Long));
            }
        }
        let tasks = usize::from(shape.tasks);
        if slots.len() < tasks {
            return None;
        }
        slots.sort_unstable();
        slots.truncate(tasks);
        let ready_at = slots.last().map(|(at, _)| *at).filter(|at| *at < unknown);
        let mut claims: Vec<(WorkerKey, u32)> = Vec::new();
        slots.sort_unstable_by_key(|(_, worker)| *worker);
        for (_, worker) in slots {
            match claims.last_mut() {
                Some((last, count)) if *last == worker => *count += 1,
                _ => claims.push((worker, 1)),
            }
        }
        let validity = FIRST_VALIDITY.saturating_mul(1 << record.drains.min(MAX_DOUBLINGS));
        Some(DrainReservation {
            work,
            band,
            shape,
            claims,
            // Without an expected end nothing is known to end before it.
            ready_at: ready_at.unwrap_or(now),
            expires: now + validity,
            closing: false,
        })
    }

    fn begin_drain(&mut self, reservation: DrainReservation) {
        for (worker, count) in &reservation.claims {
            let claim = reservation.shape.need.saturating_mul(*count);
            self.pool.update(*worker, |record| {
                record.claim = claim;
                record.claim_from = reservation.band;
            });
        }
        self.drain.reservation = Some(reservation);
        self.drain.room_returned = true;
    }

    /// Holds off the higher bands once the claimed room is taken by their work alone, whose run
    /// time then bounds the rest of the wait.
    fn close_drain(&mut self) {
        let Some(reservation) = &mut self.drain.reservation else {
            return;
        };
        let band = reservation.band;
        let claimed = reservation.claims.iter();
        let mut records = claimed.map(|(worker, count)| (self.pool.get(*worker), *count));
        let drained = records.all(|(record, count)| {
            record.is_some_and(|record| {
                let room = self.pool.ceiling(record, band);
                let claim = reservation.shape.need.saturating_mul(count);
                claim.fits(room.saturating_sub(record.used_from(band)))
            })
        });
        if drained && !std::mem::replace(&mut reservation.closing, true) {
            for (worker, _) in &reservation.claims {
                self.pool.update(*worker, |record| {
                    record.claim_from = record.claim_from.min(WorkBand::Short);
                });
            }
        }
    }

    /// Gives up the reservation, if there is one.
    pub(crate) fn end_drain(&mut self) {
        let Some(reservation) = self.drain.reservation.take() else {
            return;
        };
        self.drain.blocked = true;
        for (worker, _) in reservation.claims {
            self.pool.update(worker, |record| {
                record.claim = hs_wire::Resources::ZERO;
            });
            self.room_returned(worker);
        }
    }
}
