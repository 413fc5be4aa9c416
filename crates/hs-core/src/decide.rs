//! Decisions.

use std::time::Instant;

use hs_wire::NotRunReason;
use smallvec::SmallVec;

use crate::band_queue::{QueueHead, WorkShape};
use crate::work_record::{WorkRecord, WorkStage};
use crate::{Decision, Placer, PolicyMode, WorkBand, WorkKey, WorkRequest, WorkerKey};

/// The worker of each task.
pub(crate) type TaskWorkers = SmallVec<[WorkerKey; 2]>;

impl Placer {
    /// Returns the next decision, or `None` if nothing changes without another input.
    pub fn poll(&mut self, now: Instant) -> Option<Decision> {
        self.tend_workers(now);
        if let Some(event) = self.events.pop_front() {
            return Some(event);
        }
        let works = &self.works;
        let waits = |work| works.get(work).is_some_and(WorkRecord::is_queued);
        if let Some(work) = self.deadlines.pop_passed(now, waits) {
            return self.shed(work, now);
        }
        if self.policy.mode == PolicyMode::Baseline {
            return self.poll_arrivals(now);
        }
        if let Some(decision) = self.serve_drain(now) {
            return Some(decision);
        }
        let mut found = self.next_fit(WorkBand::Long, now);
        for _ in 0..self.margin_retries() {
            if found.is_some() {
                break;
            }
            self.retry_margin();
            found = self.next_fit(WorkBand::Long, now);
        }
        let (head, workers) = found?;
        Some(self.place_head(head, workers, now))
    }

    /// Returns the first waiting work of a band or a higher one that fits, with its workers.
    pub(crate) fn next_fit(
        &mut self,
        lowest: WorkBand,
        now: Instant,
    ) -> Option<(QueueHead, TaskWorkers)> {
        for band in WorkBand::ALL.into_iter().filter(|band| *band <= lowest) {
            let index = band as usize;
            while let Some(head) = self.queues[index].head(&self.accounts, &self.works) {
                let account = &mut self.accounts[head.customer];
                if !account.admits(head.shape.total()) {
                    account.parked.push((band, head.lane));
                    self.queues[index].park(head);
                    continue;
                }
                if self.takes_margin(head.customer, band, head.shape.total()) {
                    self.accounts[head.customer].parked.push((band, head.lane));
                    self.queues[index].park(head);
                    self.wait_for_margin(head.customer);
                    continue;
                }
                let request = &self.works[head.work].request;
                match self.find(request, Some(head.work), now) {
                    Some(workers) => return Some((head, workers)),
                    None => {
                        self.queues[index].block(head.shape_key, self.drain.placements);
                        self.drain.note_blocked(now);
                    }
                }
            }
        }
        None
    }

    /// Returns the workers that a request would start on.
    pub(crate) fn find(
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
        found.or_else(|| self.find_claimed(request, work, now))
    }

    /// Starts the work at the head of a lane.
    pub(crate) fn place_head(
        &mut self,
        head: QueueHead,
        workers: TaskWorkers,
        now: Instant,
    ) -> Decision {
        let band = self.works[head.work].request.band;
        let cost = self.pool.cost(head.shape.total());
        let account = &mut self.accounts[head.customer];
        self.queues[band as usize].take(head, cost, account);
        self.queued -= 1;
        self.start(head.work, workers, now)
    }

    /// Reserves room for work that is in no queue any more.
    pub(crate) fn start(&mut self, work: WorkKey, workers: TaskWorkers, now: Instant) -> Decision {
        self.drain.placements += 1;
        let record = &mut self.works[work];
        record.stage = WorkStage::Running {
            workers: workers.iter().copied().map(Some).collect(),
            since: now,
            straggler: false,
        };
        let (band, need) = (record.request.band, record.request.resources);
        let (tag, submitted) = (record.request.tag, record.submitted);
        let account = &mut self.accounts[record.request.customer];
        account.used = account
            .used
            .saturating_add(need.saturating_mul(workers.len() as u32));
        let customer = record.request.customer;
        self.note_activity(customer);
        for (task, worker) in workers.iter().enumerate() {
            self.pool.reserve(*worker, band, need, (work, task as u16));
            if self.health.placed(*worker, work, now) {
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

    /// Refuses waiting work whose deadline has passed.
    fn shed(&mut self, work: WorkKey, now: Instant) -> Option<Decision> {
        let request = &self.works[work].request;
        let over_quota = self.policy.mode == PolicyMode::Fair
            && !self.accounts[request.customer].admits(WorkShape::of(request).total());
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

    /// Decides about the first work in order of arrival, which holds up all other work.
    fn poll_arrivals(&mut self, now: Instant) -> Option<Decision> {
        loop {
            let work = *self.arrivals.front()?;
            let Some(record) = self.works.get(work) else {
                self.arrivals.pop_front();
                continue;
            };
            let workers = self.first_fit(&record.request)?;
            self.arrivals.pop_front();
            self.queued -= 1;
            return Some(self.start(work, workers, now));
        }
    }

    /// Returns the first workers in order of key that have room.
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
