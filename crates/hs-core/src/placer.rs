//! The placer.

use std::collections::{HashMap, VecDeque};
use std::time::Instant;

use hs_wire::{NotRunReason, Resources};
use slotmap::SlotMap;
use smallvec::SmallVec;

use crate::{
    CancelState, CustomerKey, Decision, FreeSummary, PlacerPolicy, TaskEnd, WorkKey, WorkRequest,
    WorkerKey, WorkerSpec, WorkerState,
};

#[derive(Debug)]
struct WorkerRecord {
    spec: WorkerSpec,
    state: WorkerState,
    used: Resources,
}

#[derive(Debug)]
struct WorkRecord {
    request: WorkRequest,
    submitted: Instant,
    workers: SmallVec<[Option<WorkerKey>; 2]>,
}

/// Decides which work starts on which worker.
#[derive(Debug, Default)]
pub struct Placer {
    policy: PlacerPolicy,
    customers: SlotMap<CustomerKey, String>,
    names: HashMap<String, CustomerKey>,
    workers: SlotMap<WorkerKey, WorkerRecord>,
    works: SlotMap<WorkKey, WorkRecord>,
    queue: VecDeque<WorkKey>,
}

impl Placer {
    /// Builds a placer without workers.
    pub fn new(policy: PlacerPolicy, now: Instant) -> Self {
        let mut placer = Self::default();
        placer.apply_policy(policy, now);
        placer
    }

    /// Puts a policy in force. Work of a customer that is gone keeps its place.
    pub fn apply_policy(&mut self, policy: PlacerPolicy, _now: Instant) {
        for customer in &policy.customers {
            if !self.names.contains_key(&customer.name) {
                let key = self.customers.insert(customer.name.clone());
                self.names.insert(customer.name.clone(), key);
            }
        }
        self.policy = policy;
    }

    /// Returns the key of a customer of the policy.
    pub fn customer(&self, name: &str) -> Option<CustomerKey> {
        self.names.get(name).copied()
    }

    /// Adds a worker.
    pub fn add_worker(&mut self, spec: WorkerSpec, _now: Instant) -> WorkerKey {
        self.workers.insert(WorkerRecord {
            spec,
            state: WorkerState::Active,
            used: Resources::ZERO,
        })
    }

    /// Sets whether a worker takes new work.
    pub fn set_worker_state(&mut self, worker: WorkerKey, state: WorkerState, _now: Instant) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.state = state;
        }
    }

    /// Removes a worker and returns the tasks that it ran, as work and task index. Their work stays
    /// valid until [`Placer::finish`] is called for each of them.
    pub fn remove_worker(&mut self, worker: WorkerKey, _now: Instant) -> Vec<(WorkKey, u16)> {
        self.workers.remove(worker);
        let mut lost = Vec::new();
        for (key, record) in &self.works {
            for (index, placed) in record.workers.iter().enumerate() {
                if *placed == Some(worker) {
                    lost.push((key, index as u16));
                }
            }
        }
        lost
    }

    /// Accounts a task that already runs, found on a takeover.
    pub fn adopt(&mut self, worker: WorkerKey, request: WorkRequest, now: Instant) -> WorkKey {
        self.reserve(worker, request.resources);
        self.works.insert(WorkRecord {
            request,
            submitted: now,
            workers: SmallVec::from_iter([Some(worker)]),
        })
    }

    /// Queues work. A decision about it follows from [`Placer::poll`].
    ///
    /// # Errors
    ///
    /// Returns why the work can never run, or why it may not wait.
    pub fn submit(&mut self, request: WorkRequest, now: Instant) -> Result<WorkKey, NotRunReason> {
        let fits = |record: &WorkerRecord| request.resources.fits(record.spec.capacity);
        if !self.workers.is_empty() && !self.workers.values().any(fits) {
            return Err(NotRunReason::NeverFits);
        }
        let work = self.works.insert(WorkRecord {
            request,
            submitted: now,
            workers: SmallVec::new(),
        });
        self.queue.push_back(work);
        Ok(work)
    }

    /// Places work at once, ahead of the queue only if nothing of its band or a higher one waits.
    /// Returns `None` if it would have to wait; nothing is kept then.
    pub fn place_now(&mut self, request: WorkRequest, now: Instant) -> Option<Decision> {
        if !self.queue.is_empty() {
            return None;
        }
        let work = self.submit(request, now).ok()?;
        let decision = self.poll(now);
        if decision.is_none() {
            self.cancel(work, now);
        }
        decision
    }

    /// Returns the next decision, or `None` if nothing changes without another input.
    pub fn poll(&mut self, now: Instant) -> Option<Decision> {
        loop {
            let work = *self.queue.front()?;
            let Some(record) = self.works.get(work) else {
                self.queue.pop_front();
                continue;
            };
            let waited = now.saturating_duration_since(record.submitted);
            let tag = record.request.tag;
            if record
                .request
                .deadline
                .is_some_and(|deadline| deadline <= now)
            {
                self.queue.pop_front();
                self.works.remove(work);
                let reason = NotRunReason::DeadlinePassed;
                return Some(Decision::Refuse {
                    work,
                    tag,
                    reason,
                    waited,
                });
            }
            let (resources, tasks) = (record.request.resources, record.request.tasks);
            let workers = self.first_fit(resources, tasks)?;
            self.queue.pop_front();
            if let Some(record) = self.works.get_mut(work) {
                record.workers = workers.iter().copied().map(Some).collect();
            }
            return Some(Decision::Place {
                work,
                tag,
                workers,
                waited,
            });
        }
    }

    /// Frees the room of one task that has ended, or whose start was refused.
    pub fn finish(&mut self, work: WorkKey, task: u16, _end: TaskEnd, _now: Instant) {
        let Some(record) = self.works.get_mut(work) else {
            return;
        };
        let resources = record.request.resources;
        let placed = record
            .workers
            .get_mut(usize::from(task))
            .and_then(Option::take);
        if record.workers.iter().all(Option::is_none) {
            self.works.remove(work);
        }
        if let Some(worker) = placed.and_then(|worker| self.workers.get_mut(worker)) {
            worker.used = worker.used.saturating_sub(resources);
        }
    }

    /// Cancels work in constant time.
    pub fn cancel(&mut self, work: WorkKey, _now: Instant) -> CancelState {
        match self.works.get(work) {
            None => CancelState::Gone,
            Some(record) if record.workers.is_empty() => {
                self.works.remove(work);
                CancelState::Dequeued
            }
            Some(record) => {
                CancelState::Running(record.workers.iter().flatten().copied().collect())
            }
        }
    }

    /// Returns when [`Placer::poll`] has to be called even without an input.
    pub fn next_wake(&self) -> Option<Instant> {
        let records = self.queue.iter().filter_map(|work| self.works.get(*work));
        records.filter_map(|record| record.request.deadline).min()
    }

    /// Returns the free room, as heartbeats carry it.
    pub fn free_summary(&self) -> FreeSummary {
        let mut summary = FreeSummary::default();
        for record in self
            .workers
            .values()
            .filter(|record| record.state == WorkerState::Active)
        {
            let free = record.spec.capacity.saturating_sub(record.used);
            summary.free = summary.free.saturating_add(free);
            summary.total = summary.total.saturating_add(record.spec.capacity);
        }
        summary.queued = self.queue.len() as u32;
        summary
    }

    /// Returns the capacity and the reserved part of a worker.
    pub fn worker_load(&self, worker: WorkerKey) -> Option<(Resources, Resources)> {
        let record = self.workers.get(worker)?;
        Some((record.spec.capacity, record.used))
    }

    fn first_fit(&mut self, need: Resources, tasks: u16) -> Option<SmallVec<[WorkerKey; 2]>> {
        let mut chosen = SmallVec::new();
        for _ in 0..tasks.max(1) {
            let free = self.workers.iter().find(|(_, record)| {
                record.state == WorkerState::Active
                    && need.fits(record.spec.capacity.saturating_sub(record.used))
            });
            let Some((worker, _)) = free else {
                for worker in chosen {
                    self.unreserve(worker, need);
                }
                return None;
            };
            self.reserve(worker, need);
            chosen.push(worker);
        }
        Some(chosen)
    }

    fn reserve(&mut self, worker: WorkerKey, need: Resources) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.used = record.used.saturating_add(need);
        }
    }

    fn unreserve(&mut self, worker: WorkerKey, need: Resources) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.used = record.used.saturating_sub(need);
        }
    }
}
