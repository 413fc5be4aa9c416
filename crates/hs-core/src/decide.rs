//! Placement decisions.

use std::time::Instant;

use hs_wire::NotRunReason;
use smallvec::SmallVec;

use crate::band_queue::QueuedItem;
use crate::work_record::{WorkRecord, WorkStage};
use crate::work_shape::WorkShape;
use crate::{Decision, Placer, PolicyMode, WorkBand, WorkKey, WorkRequest, WorkerKey};

/// The worker of each task, by task index.
pub(crate) type TaskWorkers = SmallVec<[WorkerKey; 2]>;

impl Placer {
    /// Returns the next decision, or `None` if there is none until another input or
    /// [`Placer::next_wake`].
    pub fn poll(&mut self, now: Instant) -> Option<Decision> {
        self.apply_due_health_changes(now);
        if let Some(decision) = self.worker_decisions.pop_front() {
            return Some(decision);
        }
        let work_records = &self.work_records;
        let is_queued = |work| work_records.get(work).is_some_and(WorkRecord::is_queued);
        if let Some(work) = self.deadlines.pop_expired(now, is_queued) {
            return self.refuse_expired(work, now);
        }
        if self.policy.mode == PolicyMode::Baseline {
            return self.poll_baseline(now);
        }
        if let Some(decision) = self.serve_reservation(now) {
            return Some(decision);
        }
        let mut found = self.next_placeable(WorkBand::Long, now);
        for _ in 0..self.margin_retries() {
            if found.is_some() {
                break;
            }
            self.retry_margin_waiter();
            found = self.next_placeable(WorkBand::Long, now);
        }
        let (head, workers) = found?;
        Some(self.place_queued(head, workers, now))
    }

    /// Returns the first queued work item that can be placed, with its workers. Searches the bands
    /// from the highest down to `lowest`. Parks lanes that the quota or the margin holds back, and
    /// blocks shapes that fit nowhere.
    pub(crate) fn next_placeable(
        &mut self,
        lowest: WorkBand,
        now: Instant,
    ) -> Option<(QueuedItem, TaskWorkers)> {
        for band in WorkBand::ALL.into_iter().filter(|band| *band <= lowest) {
            let index = band as usize;
            while let Some(head) = self.queues[index].head(&self.accounts, &self.work_records) {
                let account = &mut self.accounts[head.customer];
                if !account.quota_admits(head.shape.total()) {
                    account.parked.push((band, head.lane));
                    self.queues[index].park(head);
                    continue;
                }
                if self.blocked_by_margin(head.customer, band, head.shape.total()) {
                    self.accounts[head.customer].parked.push((band, head.lane));
                    self.queues[index].park(head);
                    self.wait_for_margin(head.customer);
                    continue;
                }
                let request = &self.work_records[head.work].request;
                match self.find_workers(request, Some(head.work), now) {
                    Some(workers) => return Some((head, workers)),
                    None => {
                        self.queues[index].block(head.shape_key, self.reservations.placements);
                        self.reservations.note_blocked(now);
                    }
                }
            }
        }
        None
    }

    /// Returns the workers for the tasks of a request, or `None` if they do not fit. `work` is the
    /// key of the request if it is queued, and gives it access to the capacity reserved for it.
    pub(crate) fn find_workers(
        &self,
        request: &WorkRequest,
        work: Option<WorkKey>,
        now: Instant,
    ) -> Option<TaskWorkers> {
        let (band, need) = (request.band, request.resources);
        let found = match request.tasks {
            0 | 1 => {
                let worker = self.pool.best_fit(band, need);
                worker.map(|worker| SmallVec::from_iter([worker]))
            }
            tasks => self.pool.fit_gang(band, need, u32::from(tasks)),
        };
        found.or_else(|| self.find_with_reservation(request, work, now))
    }

    /// Removes a queued work item from its lane and places it.
    pub(crate) fn place_queued(
        &mut self,
        item: QueuedItem,
        workers: TaskWorkers,
        now: Instant,
    ) -> Decision {
        let band = self.work_records[item.work].request.band;
        let cost = self.pool.cost(item.shape.total());
        let account = &mut self.accounts[item.customer];
        self.queues[band as usize].remove_placed(item, cost, account);
        self.queued -= 1;
        self.place(item.work, workers, now)
    }

    /// Allocates resources to work that is in no lane and returns the decision to start it.
    pub(crate) fn place(&mut self, work: WorkKey, workers: TaskWorkers, now: Instant) -> Decision {
        self.reservations.placements += 1;
        let record = &mut self.work_records[work];
        record.stage = WorkStage::Running {
            workers: workers.iter().copied().map(Some).collect(),
            placed_at: now,
            straggler_reported: false,
        };
        let (band, need) = (record.request.band, record.request.resources);
        let (tag, submitted) = (record.request.tag, record.submitted);
        let account = &mut self.accounts[record.request.customer];
        account.used.add(need, workers.len() as u32);
        let customer = record.request.customer;
        self.update_active_weight(customer);
        for (task, worker) in workers.iter().enumerate() {
            self.pool.allocate(*worker, band, need, (work, task as u16));
            if self.health.record_placement(*worker, work, now) {
                self.pool.update(*worker, |record| record.withheld = true);
            }
        }
        Decision::Place {
            work,
            tag,
            workers,
            waited: now.saturating_duration_since(submitted),
        }
    }

    /// Refuses queued work whose deadline has passed.
    fn refuse_expired(&mut self, work: WorkKey, now: Instant) -> Option<Decision> {
        let request = &self.work_records[work].request;
        let over_quota = self.policy.mode == PolicyMode::Fair
            && !self.accounts[request.customer].quota_admits(WorkShape::of(request).total());
        let record = self.dequeue(work)?;
        let reason = if over_quota {
            NotRunReason::QuotaExceeded
        } else {
            NotRunReason::DeadlinePassed
        };
        Some(Decision::Refuse {
            work,
            tag: record.request.tag,
            reason,
            waited: now.saturating_duration_since(record.submitted),
        })
    }

    /// Places the oldest queued work if it fits. The baseline mode keeps the order of submission,
    /// so work that does not fit blocks all work after it.
    fn poll_baseline(&mut self, now: Instant) -> Option<Decision> {
        loop {
            let work = *self.baseline_queue.front()?;
            let Some(record) = self.work_records.get(work) else {
                self.baseline_queue.pop_front();
                continue;
            };
            let workers = self.first_fit(&record.request)?;
            self.baseline_queue.pop_front();
            self.queued -= 1;
            return Some(self.place(work, workers, now));
        }
    }

    /// Returns the first workers in order of key that fit the tasks. Used in baseline mode, which
    /// ignores the limits of bands.
    pub(crate) fn first_fit(&self, request: &WorkRequest) -> Option<TaskWorkers> {
        let (need, tasks) = (request.resources, usize::from(request.tasks.max(1)));
        let mut chosen = TaskWorkers::new();
        for (worker, _) in self.pool.iter() {
            let left = (tasks - chosen.len()) as u32;
            let fits = self.pool.count_fits(worker, WorkBand::Urgent, need);
            chosen.extend(std::iter::repeat_n(worker, fits.min(left) as usize));
            if chosen.len() == tasks {
                return Some(chosen);
            }
        }
        None
    }
}
