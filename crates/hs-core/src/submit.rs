//! Inputs about work: adoption, submission, end and cancellation.

use std::time::Instant;

use hs_wire::NotRunReason;
use smallvec::SmallVec;

use crate::work_record::{WorkRecord, WorkStage};
use crate::work_shape::WorkShape;
use crate::{
    CancelOutcome, Decision, Placer, PolicyMode, TaskEnd, WorkBand, WorkKey, WorkRequest, WorkerKey,
};

impl Placer {
    /// Adds a task that is already running on a worker, found during a takeover. It is the only
    /// task of its work and has index 0.
    pub fn adopt(&mut self, worker: WorkerKey, request: WorkRequest, now: Instant) -> WorkKey {
        let (band, need, customer) = (request.band, request.resources, request.customer);
        let work = self.insert_record(
            request,
            now,
            WorkStage::Running {
                workers: SmallVec::from_iter([Some(worker)]),
                placed_at: now,
                straggler_reported: false,
            },
        );
        if let Some(account) = self.accounts.get_mut(customer) {
            account.used.add(need, 1);
            self.update_active_weight(customer);
        }
        self.pool.allocate(worker, band, need, (work, 0));
        work
    }

    /// Queues work. [`Placer::poll`] returns the decision about it.
    ///
    /// # Errors
    ///
    /// Returns the reason if the work can never run, or if the customer's queue is full.
    pub fn submit(&mut self, request: WorkRequest, now: Instant) -> Result<WorkKey, NotRunReason> {
        self.check_admission(&request)?;
        let account = &self.accounts[request.customer];
        let queued = account.queued[request.band as usize];
        if self.policy.mode == PolicyMode::Fair && queued >= account.policy.queue_limit {
            return Err(NotRunReason::QueueFull);
        }
        let deadline = request.deadline;
        let work = self.insert_record(request, now, WorkStage::Queued(None));
        self.enqueue(work);
        self.queued += 1;
        if let Some(deadline) = deadline {
            let work_records = &self.work_records;
            let is_queued = |work| work_records.get(work).is_some_and(WorkRecord::is_queued);
            self.deadlines.push(deadline, work, self.queued, is_queued);
        }
        Ok(work)
    }

    /// Places work immediately, without queuing it. Returns `None` if it does not fit, or if queued
    /// work of its band or a higher one could be placed and has to go first; the request is then
    /// dropped.
    pub fn place_now(&mut self, request: WorkRequest, now: Instant) -> Option<Decision> {
        let expired = request.deadline.is_some_and(|deadline| deadline <= now);
        if expired || self.check_admission(&request).is_err() {
            return None;
        }
        if self.policy.mode == PolicyMode::Baseline {
            if self.queued > 0 {
                return None;
            }
            let workers = self.first_fit(&request)?;
            let work = self.insert_record(request, now, WorkStage::Queued(None));
            return Some(self.place(work, workers, now));
        }
        let shape = WorkShape::of(&request);
        let account = &self.accounts[request.customer];
        if !account.quota_admits(shape.total())
            || self.queues[request.band as usize].is_blocked(shape)
            || self.next_placeable(request.band, now).is_some()
            || self.blocked_by_margin(request.customer, request.band, shape.total())
        {
            return None;
        }
        let workers = self.find_workers(&request, None, now)?;
        let account = &mut self.accounts[request.customer];
        let cost = self.pool.cost(shape.total());
        self.queues[request.band as usize].charge(cost, account);
        let work = self.insert_record(request, now, WorkStage::Queued(None));
        Some(self.place(work, workers, now))
    }

    /// Frees the resources of one task that has ended or whose start was refused. Does nothing if
    /// the task has been reported before.
    pub fn finish(&mut self, work: WorkKey, task: u16, end: TaskEnd, now: Instant) {
        let Some(record) = self.work_records.get_mut(work) else {
            return;
        };
        let (band, need) = (record.request.band, record.request.resources);
        let (customer, workload) = (record.request.customer, record.request.workload);
        let WorkStage::Running {
            workers, placed_at, ..
        } = &mut record.stage
        else {
            return;
        };
        let placed = workers.get_mut(usize::from(task)).and_then(Option::take);
        let Some(worker) = placed else {
            return;
        };
        if end == TaskEnd::Done {
            let run_time = now.saturating_duration_since(*placed_at);
            self.run_times.entry(workload).or_default().record(run_time);
        }
        if workers.iter().all(Option::is_none) {
            self.work_records.remove(work);
        }
        if let Some(account) = self.accounts.get_mut(customer) {
            account.used.subtract(need);
            self.update_active_weight(customer);
            self.unpark(customer);
        }
        self.pool.update(worker, |record| {
            record.release(band, need, (work, task));
        });
        self.handle_freed_capacity(worker);
        self.record_task_end(worker, work, end, now);
    }

    /// Cancels queued work in amortized constant time. Running work keeps its resources until its
    /// tasks are reported to [`Placer::finish`].
    pub fn cancel(&mut self, work: WorkKey, _now: Instant) -> CancelOutcome {
        let Some(record) = self.work_records.get(work) else {
            return CancelOutcome::Gone;
        };
        if let WorkStage::Running { workers, .. } = &record.stage {
            return CancelOutcome::Running(workers.iter().flatten().copied().collect());
        }
        self.dequeue(work);
        CancelOutcome::Dequeued
    }

    /// Checks that the customer is known and that the work could run on otherwise idle workers
    /// within the customer's quota. Without any workers, all sizes are accepted.
    fn check_admission(&self, request: &WorkRequest) -> Result<(), NotRunReason> {
        let account = self.accounts.get(request.customer);
        let account = account.ok_or(NotRunReason::UnknownCustomer)?;
        let shape = WorkShape::of(request);
        let band = match self.policy.mode {
            PolicyMode::Fair => request.band,
            PolicyMode::Baseline => WorkBand::Urgent,
        };
        let fits = self.pool.len() == 0 || self.pool.could_fit(band, shape.need, shape.tasks);
        let allowed = self.policy.mode == PolicyMode::Baseline
            || account.quota_admits_when_idle(shape.total());
        if fits && allowed {
            Ok(())
        } else {
            Err(NotRunReason::NeverFits)
        }
    }

    fn insert_record(&mut self, request: WorkRequest, now: Instant, stage: WorkStage) -> WorkKey {
        self.last_sequence += 1;
        self.work_records.insert(WorkRecord {
            request,
            submitted: now,
            sequence: self.last_sequence,
            failed_reservations: 0,
            stage,
        })
    }
}
