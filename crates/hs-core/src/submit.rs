//! Inputs about work: submission, adoption, end and cancellation.

use std::time::Instant;

use hs_wire::NotRunReason;
use smallvec::SmallVec;

use crate::band_queue::WorkShape;
use crate::work_record::{WorkRecord, WorkStage};
use crate::{
    CancelOutcome, Decision, Placer, PolicyMode, TaskEnd, WorkBand, WorkKey, WorkRequest, WorkerKey,
};

impl Placer {
    /// Accounts a task that already runs, found on a takeover. The task has index 0 of its work.
    pub fn adopt(&mut self, worker: WorkerKey, request: WorkRequest, now: Instant) -> WorkKey {
        let (band, need, customer) = (request.band, request.resources, request.customer);
        let work = self.insert(
            request,
            now,
            WorkStage::Running {
                workers: SmallVec::from_iter([Some(worker)]),
                since: now,
                straggler: false,
            },
        );
        if let Some(account) = self.accounts.get_mut(customer) {
            account.used = account.used.saturating_add(need);
            self.note_activity(customer);
        }
        self.pool.reserve(worker, band, need, (work, 0));
        work
    }

    /// Queues work. A decision about it follows from [`Placer::poll`].
    ///
    /// # Errors
    ///
    /// Returns why the work can never run, or why it may not wait.
    pub fn submit(&mut self, request: WorkRequest, now: Instant) -> Result<WorkKey, NotRunReason> {
        self.admit(&request)?;
        let account = &self.accounts[request.customer];
        let waiting = account.queued[request.band as usize];
        if self.policy.mode == PolicyMode::Fair && waiting >= account.policy.queue_limit {
            return Err(NotRunReason::QueueFull);
        }
        let deadline = request.deadline;
        let work = self.insert(request, now, WorkStage::Queued(None));
        self.enqueue(work);
        self.queued += 1;
        if let Some(deadline) = deadline {
            let works = &self.works;
            let waits = |work| works.get(work).is_some_and(WorkRecord::is_queued);
            self.deadlines.push(deadline, work, self.queued, waits);
        }
        Ok(work)
    }

    /// Places work at once, ahead of the queue only if no work of its band or a higher one that
    /// could be placed waits. Returns `None` if it would have to wait; nothing is kept then.
    pub fn place_now(&mut self, request: WorkRequest, now: Instant) -> Option<Decision> {
        let passed = request.deadline.is_some_and(|deadline| deadline <= now);
        if passed || self.admit(&request).is_err() {
            return None;
        }
        if self.policy.mode == PolicyMode::Baseline {
            if self.queued > 0 {
                return None;
            }
            let workers = self.first_fit(&request)?;
            let work = self.insert(request, now, WorkStage::Queued(None));
            return Some(self.start(work, workers, now));
        }
        let shape = WorkShape::of(&request);
        let account = &self.accounts[request.customer];
        if !account.admits(shape.total())
            || self.queues[request.band as usize].is_blocked(shape)
            || self.next_fit(request.band, now).is_some()
            || self.takes_margin(request.customer, request.band, shape.total())
        {
            return None;
        }
        let workers = self.find(&request, None, now)?;
        let account = &mut self.accounts[request.customer];
        let cost = self.pool.cost(shape.total());
        self.queues[request.band as usize].charge(cost, account);
        let work = self.insert(request, now, WorkStage::Queued(None));
        Some(self.start(work, workers, now))
    }

    /// Frees the room of one task that has ended, or whose start was refused.
    pub fn finish(&mut self, work: WorkKey, task: u16, end: TaskEnd, now: Instant) {
        let Some(record) = self.works.get_mut(work) else {
            return;
        };
        let (band, need) = (record.request.band, record.request.resources);
        let (customer, workload) = (record.request.customer, record.request.workload);
        let WorkStage::Running { workers, since, .. } = &mut record.stage else {
            return;
        };
        let placed = workers.get_mut(usize::from(task)).and_then(Option::take);
        let Some(worker) = placed else {
            return;
        };
        if end == TaskEnd::Done {
            let run = now.saturating_duration_since(*since);
            self.run_times.entry(workload).or_default().record(run);
        }
        if workers.iter().all(Option::is_none) {
            self.works.remove(work);
        }
        if let Some(account) = self.accounts.get_mut(customer) {
            account.used = account.used.saturating_sub(need);
            self.note_activity(customer);
            self.unpark(customer);
        }
        self.pool.update(worker, |record| {
            record.release(band, need, (work, task));
        });
        self.room_returned(worker);
        self.note_end(worker, work, end, now);
    }

    /// Cancels work in constant time.
    pub fn cancel(&mut self, work: WorkKey, _now: Instant) -> CancelOutcome {
        let Some(record) = self.works.get(work) else {
            return CancelOutcome::Gone;
        };
        if let WorkStage::Running { workers, .. } = &record.stage {
            return CancelOutcome::Running(workers.iter().flatten().copied().collect());
        }
        self.dequeue(work);
        CancelOutcome::Dequeued
    }

    /// Refuses work that can never run.
    fn admit(&self, request: &WorkRequest) -> Result<(), NotRunReason> {
        let account = self.accounts.get(request.customer);
        let account = account.ok_or(NotRunReason::UnknownCustomer)?;
        let shape = WorkShape::of(request);
        let band = match self.policy.mode {
            PolicyMode::Fair => request.band,
            PolicyMode::Baseline => WorkBand::Urgent,
        };
        let fits = self.pool.len() == 0 || self.pool.could_fit(band, shape.need, shape.tasks);
        let allowed =
            self.policy.mode == PolicyMode::Baseline || account.could_admit(shape.total());
        if fits && allowed {
            Ok(())
        } else {
            Err(NotRunReason::NeverFits)
        }
    }

    fn insert(&mut self, request: WorkRequest, now: Instant, stage: WorkStage) -> WorkKey {
        self.sequence += 1;
        self.works.insert(WorkRecord {
            request,
            submitted: now,
            sequence: self.sequence,
            drains: 0,
            stage,
        })
    }
}
