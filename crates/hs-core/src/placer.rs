//! The placer.

use std::collections::{HashMap, VecDeque};
use std::time::Instant;

use hs_wire::Resources;
use slotmap::SlotMap;

use crate::band_queue::BandQueue;
use crate::customer_account::CustomerAccount;
use crate::deadline_heap::DeadlineHeap;
use crate::drain::DrainState;
use crate::health_board::HealthBoard;
use crate::run_times::RunTimes;
use crate::work_record::{WorkRecord, WorkStage};
use crate::worker_pool::WorkerPool;
use crate::{
    CapacitySummary, CustomerKey, Decision, PlacerPolicy, PolicyMode, WorkBand, WorkKey, WorkerKey,
    WorkerSpec, WorkerState,
};

/// Decides which work starts on which worker.
#[derive(Debug)]
pub struct Placer {
    pub(crate) policy: PlacerPolicy,
    pub(crate) accounts: SlotMap<CustomerKey, CustomerAccount>,
    names: HashMap<String, CustomerKey>,
    pub(crate) pool: WorkerPool,
    pub(crate) works: SlotMap<WorkKey, WorkRecord>,
    pub(crate) queues: [BandQueue; 4],
    /// The single queue of the baseline.
    pub(crate) arrivals: VecDeque<WorkKey>,
    pub(crate) deadlines: DeadlineHeap,
    pub(crate) queued: usize,
    pub(crate) sequence: u64,
    /// Decisions about workers that wait for [`Placer::poll`].
    pub(crate) events: VecDeque<Decision>,
    pub(crate) health: HealthBoard,
    pub(crate) drain: DrainState,
    /// Customers that wait for room beyond the margin.
    pub(crate) margin_line: VecDeque<CustomerKey>,
    /// Sum of the weights of the customers with work.
    pub(crate) active_weight: u64,
    /// Finished run times by workload.
    pub(crate) run_times: HashMap<u32, RunTimes>,
}

impl Default for Placer {
    fn default() -> Self {
        Self {
            policy: PlacerPolicy::default(),
            accounts: SlotMap::with_key(),
            names: HashMap::new(),
            pool: WorkerPool::default(),
            works: SlotMap::with_key(),
            queues: WorkBand::ALL.map(BandQueue::new),
            arrivals: VecDeque::new(),
            deadlines: DeadlineHeap::default(),
            queued: 0,
            sequence: 0,
            events: VecDeque::new(),
            health: HealthBoard::default(),
            drain: DrainState::default(),
            margin_line: VecDeque::new(),
            active_weight: 0,
            run_times: HashMap::new(),
        }
    }
}

impl Placer {
    /// Builds a placer without workers.
    pub fn new(policy: PlacerPolicy, now: Instant) -> Self {
        let mut placer = Self::default();
        placer.apply_policy(policy, now);
        placer
    }

    /// Puts a policy in force. Work of a customer that is gone keeps its place and the customer's
    /// last limits.
    pub fn apply_policy(&mut self, policy: PlacerPolicy, _now: Instant) {
        for account in self.accounts.values_mut() {
            account.listed = false;
        }
        for customer in &policy.customers {
            let known = self.names.get(&customer.name);
            match known.and_then(|key| self.accounts.get_mut(*key)) {
                Some(account) => {
                    account.policy = customer.clone();
                    account.listed = true;
                }
                None => {
                    let account = CustomerAccount::new(customer.clone());
                    let key = self.accounts.insert(account);
                    self.names.insert(customer.name.clone(), key);
                }
            }
        }
        let before = std::mem::replace(&mut self.policy, policy);
        let limits = (self.policy.short_reserve, self.policy.long_ceiling);
        if limits != (before.short_reserve, before.long_ceiling) {
            self.pool.set_limits(limits.0, limits.1);
        }
        if self.policy.mode != before.mode {
            self.requeue();
        }
        self.count_activity();
        let customers: Vec<_> = self.accounts.keys().collect();
        for customer in customers {
            self.unpark(customer);
        }
        self.unblock_all();
    }

    /// Returns the key of a customer of the policy.
    pub fn customer(&self, name: &str) -> Option<CustomerKey> {
        let key = self.names.get(name).copied()?;
        self.accounts.get(key)?.listed.then_some(key)
    }

    /// Adds a worker.
    pub fn add_worker(&mut self, spec: WorkerSpec, _now: Instant) -> WorkerKey {
        let worker = self.pool.add(spec);
        self.room_returned(worker);
        worker
    }

    /// Sets whether a worker takes new work.
    pub fn set_worker_state(&mut self, worker: WorkerKey, state: WorkerState, _now: Instant) {
        self.pool.update(worker, |record| record.state = state);
        if state == WorkerState::Draining {
            self.health.forget(worker);
            self.pool.update(worker, |record| record.withheld = false);
            self.readmit_excess();
        }
        self.room_returned(worker);
    }

    /// Removes a worker and returns the tasks that it ran, as work and task index. Their work stays
    /// valid until [`Placer::finish`] is called for each of them.
    pub fn remove_worker(&mut self, worker: WorkerKey, _now: Instant) -> Vec<(WorkKey, u16)> {
        let record = self.pool.remove(worker);
        self.health.forget(worker);
        self.readmit_excess();
        self.drain.note_room();
        record.map(|record| record.tasks).unwrap_or_default()
    }

    /// Returns when [`Placer::poll`] has to be called even without an input.
    pub fn next_wake(&self) -> Option<Instant> {
        let wakes = [
            self.deadlines.first(),
            self.health.first_wake(),
            self.drain.wake().filter(|_| self.queued > 0),
        ];
        wakes.into_iter().flatten().min()
    }

    /// Returns the free room, as heartbeats carry it.
    pub fn capacity_summary(&self) -> CapacitySummary {
        let mut summary = CapacitySummary::default();
        for (_, record) in self.pool.iter().filter(|(_, record)| record.takes_work()) {
            let free = record.spec.capacity.saturating_sub(record.used());
            summary.free = summary.free.saturating_add(free);
            summary.total = summary.total.saturating_add(record.spec.capacity);
        }
        summary.queued = u32::try_from(self.queued).unwrap_or(u32::MAX);
        summary
    }

    /// Returns the capacity and the reserved part of a worker.
    pub fn worker_load(&self, worker: WorkerKey) -> Option<(Resources, Resources)> {
        let record = self.pool.get(worker)?;
        Some((record.spec.capacity, record.used()))
    }

    /// Tries the waiting work again that may fit on a worker whose room has grown.
    pub(crate) fn room_returned(&mut self, worker: WorkerKey) {
        self.drain.note_room();
        for band in WorkBand::ALL {
            if let Some(room) = self.pool.room(worker, band) {
                self.queues[band as usize].unblock(room);
            }
        }
    }

    /// Tries all waiting work again.
    pub(crate) fn unblock_all(&mut self) {
        for queue in &mut self.queues {
            queue.unblock_all();
        }
    }

    /// Tries the waiting work of a customer again that exceeded its quota.
    pub(crate) fn unpark(&mut self, customer: CustomerKey) {
        let account = &mut self.accounts[customer];
        for (band, lane) in std::mem::take(&mut account.parked) {
            let tag = account.tags[band as usize];
            self.queues[band as usize].unpark(lane, tag);
        }
    }

    /// Moves all waiting work into the queues of the mode in force, in order of submission.
    fn requeue(&mut self) {
        self.end_drain();
        self.drain = DrainState::default();
        let works = self.works.iter().filter(|(_, record)| record.is_queued());
        let mut waiting: Vec<_> = works
            .map(|(work, record)| (record.sequence, work))
            .collect();
        waiting.sort_unstable();
        self.arrivals.clear();
        self.margin_line.clear();
        self.queues = WorkBand::ALL.map(BandQueue::new);
        for account in self.accounts.values_mut() {
            account.queued = [0; 4];
            account.tags = [0; 4];
            account.parked.clear();
            account.waits_for_margin = false;
        }
        for (_, work) in waiting {
            self.enqueue(work);
        }
    }

    /// Puts work at the end of its queue.
    pub(crate) fn enqueue(&mut self, work: WorkKey) {
        let record = &mut self.works[work];
        let lane = match self.policy.mode {
            PolicyMode::Baseline => {
                self.arrivals.push_back(work);
                None
            }
            PolicyMode::Fair => {
                let queue = &mut self.queues[record.request.band as usize];
                let account = &mut self.accounts[record.request.customer];
                Some(queue.push(work, record.sequence, &record.request, account))
            }
        };
        record.stage = WorkStage::Queued(lane);
        let customer = record.request.customer;
        self.note_activity(customer);
    }

    /// Removes waiting work that was not placed and returns its record.
    pub(crate) fn dequeue(&mut self, work: WorkKey) -> Option<WorkRecord> {
        let record = self.works.remove(work)?;
        self.queued -= 1;
        if let WorkStage::Queued(Some(lane)) = record.stage {
            let account = &mut self.accounts[record.request.customer];
            let queue = &mut self.queues[record.request.band as usize];
            queue.forget(lane, account, &self.works);
            self.note_activity(record.request.customer);
        }
        Some(record)
    }
}
