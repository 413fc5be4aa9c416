//! The placer's state, its inputs about workers and policy, and its queries.

use std::collections::{HashMap, VecDeque};
use std::time::Instant;

use hs_wire::Resources;
use slotmap::SlotMap;

use crate::band_queue::BandQueue;
use crate::customer_account::CustomerAccount;
use crate::deadline_heap::DeadlineHeap;
use crate::health_tracker::HealthTracker;
use crate::reservation::ReservationState;
use crate::run_times::RunTimes;
use crate::work_record::{WorkRecord, WorkStage};
use crate::worker_pool::WorkerPool;
use crate::{
    CapacitySummary, CustomerKey, Decision, PlacerPolicy, PolicyMode, WorkBand, WorkKey, WorkerKey,
    WorkerSpec, WorkerState,
};

/// Decides which work starts on which worker.
///
/// The caller reports inputs and then calls [`Placer::poll`] until it returns `None`.
#[derive(Debug)]
pub struct Placer {
    pub(crate) policy: PlacerPolicy,
    pub(crate) accounts: SlotMap<CustomerKey, CustomerAccount>,
    /// Keys of customers by name, including those that left the policy.
    customer_keys: HashMap<String, CustomerKey>,
    pub(crate) pool: WorkerPool,
    pub(crate) work_records: SlotMap<WorkKey, WorkRecord>,
    pub(crate) queues: [BandQueue; 4],
    /// The single queue of the baseline mode, in order of submission.
    pub(crate) baseline_queue: VecDeque<WorkKey>,
    pub(crate) deadlines: DeadlineHeap,
    /// Number of queued work items.
    pub(crate) queued: usize,
    /// Sequence number of the work item that was submitted or adopted last.
    pub(crate) last_sequence: u64,
    /// Decisions about workers that [`Placer::poll`] has not returned yet.
    pub(crate) worker_decisions: VecDeque<Decision>,
    pub(crate) health: HealthTracker,
    pub(crate) reservations: ReservationState,
    /// Customers whose work the margin holds back, in the order in which they are retried.
    pub(crate) margin_waiters: VecDeque<CustomerKey>,
    /// Sum of the weights of the customers with work.
    pub(crate) active_weight: u64,
    /// Run times of finished tasks by workload.
    pub(crate) run_times: HashMap<u32, RunTimes>,
}

impl Default for Placer {
    fn default() -> Self {
        Self {
            policy: PlacerPolicy::default(),
            accounts: SlotMap::with_key(),
            customer_keys: HashMap::new(),
            pool: WorkerPool::default(),
            work_records: SlotMap::with_key(),
            queues: WorkBand::ALL.map(BandQueue::new),
            baseline_queue: VecDeque::new(),
            deadlines: DeadlineHeap::default(),
            queued: 0,
            last_sequence: 0,
            worker_decisions: VecDeque::new(),
            health: HealthTracker::default(),
            reservations: ReservationState::default(),
            margin_waiters: VecDeque::new(),
            active_weight: 0,
            run_times: HashMap::new(),
        }
    }
}

impl Placer {
    /// Creates a placer without workers.
    pub fn new(policy: PlacerPolicy, now: Instant) -> Self {
        let mut placer = Self::default();
        placer.apply_policy(policy, now);
        placer
    }

    /// Applies a policy. Work of customers that are no longer in the policy stays queued under
    /// their last limits.
    pub fn apply_policy(&mut self, policy: PlacerPolicy, _now: Instant) {
        for account in self.accounts.values_mut() {
            account.in_policy = false;
        }
        for customer in &policy.customers {
            let known = self.customer_keys.get(&customer.name);
            match known.and_then(|key| self.accounts.get_mut(*key)) {
                Some(account) => {
                    account.policy = customer.clone();
                    account.in_policy = true;
                }
                None => {
                    let account = CustomerAccount::new(customer.clone());
                    let key = self.accounts.insert(account);
                    self.customer_keys.insert(customer.name.clone(), key);
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
        self.recompute_active_weight();
        let customers: Vec<_> = self.accounts.keys().collect();
        for customer in customers {
            self.unpark(customer);
        }
        self.unblock_all();
    }

    /// Returns the key of a customer in the current policy.
    pub fn customer(&self, name: &str) -> Option<CustomerKey> {
        let key = self.customer_keys.get(name).copied()?;
        self.accounts.get(key)?.in_policy.then_some(key)
    }

    /// Adds an idle worker. Tasks that already run on it are added by [`Placer::adopt`].
    pub fn add_worker(&mut self, spec: WorkerSpec, _now: Instant) -> WorkerKey {
        let worker = self.pool.add(spec);
        self.handle_freed_capacity(worker);
        worker
    }

    /// Sets whether a worker takes new work. Draining also discards its health record.
    pub fn set_worker_state(&mut self, worker: WorkerKey, state: WorkerState, _now: Instant) {
        self.pool.update(worker, |record| record.state = state);
        if state == WorkerState::Draining {
            self.health.remove(worker);
            self.pool.update(worker, |record| record.withheld = false);
            self.readmit_excess();
        }
        self.handle_freed_capacity(worker);
    }

    /// Removes a worker and returns its tasks as pairs of work key and task index. The work keys
    /// stay valid until [`Placer::finish`] is called for each task.
    pub fn remove_worker(&mut self, worker: WorkerKey, _now: Instant) -> Vec<(WorkKey, u16)> {
        let record = self.pool.remove(worker);
        self.health.remove(worker);
        self.readmit_excess();
        self.reservations.note_capacity_freed();
        record.map(|record| record.tasks).unwrap_or_default()
    }

    /// Returns when [`Placer::poll`] has to be called even if there is no input.
    pub fn next_wake(&self) -> Option<Instant> {
        let wakes = [
            self.deadlines.first(),
            self.health.next_wake(),
            self.reservations.next_wake().filter(|_| self.queued > 0),
        ];
        wakes.into_iter().flatten().min()
    }

    /// Returns the free and total capacity and the queue length, as heartbeats carry them.
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

    /// Returns the capacity of a worker and the part that is allocated to tasks.
    pub fn worker_load(&self, worker: WorkerKey) -> Option<(Resources, Resources)> {
        let record = self.pool.get(worker)?;
        Some((record.spec.capacity, record.used()))
    }

    /// Unblocks the queued work that may fit on a worker whose free capacity has grown.
    pub(crate) fn handle_freed_capacity(&mut self, worker: WorkerKey) {
        self.reservations.note_capacity_freed();
        for band in WorkBand::ALL {
            if let Some(free) = self.pool.free_capacity(worker, band) {
                self.queues[band as usize].unblock(free);
            }
        }
    }

    /// Unblocks all queued work.
    pub(crate) fn unblock_all(&mut self) {
        for queue in &mut self.queues {
            queue.unblock_all();
        }
    }

    /// Returns the parked lanes of a customer to their queues.
    pub(crate) fn unpark(&mut self, customer: CustomerKey) {
        let account = &mut self.accounts[customer];
        for (band, lane) in std::mem::take(&mut account.parked) {
            let tag = account.start_tags[band as usize];
            self.queues[band as usize].unpark(lane, tag);
        }
    }

    /// Moves all queued work into the queues of the current mode, in order of submission.
    fn requeue(&mut self) {
        self.end_reservation();
        self.reservations = ReservationState::default();
        let work_records = self
            .work_records
            .iter()
            .filter(|(_, record)| record.is_queued());
        let mut queued: Vec<_> = work_records
            .map(|(work, record)| (record.sequence, work))
            .collect();
        queued.sort_unstable();
        self.baseline_queue.clear();
        self.margin_waiters.clear();
        self.queues = WorkBand::ALL.map(BandQueue::new);
        for account in self.accounts.values_mut() {
            account.queued = [0; 4];
            account.start_tags = [0; 4];
            account.parked.clear();
            account.waits_for_margin = false;
        }
        for (_, work) in queued {
            self.enqueue(work);
        }
    }

    /// Appends work to the queue of the current mode.
    pub(crate) fn enqueue(&mut self, work: WorkKey) {
        let record = &mut self.work_records[work];
        let lane = match self.policy.mode {
            PolicyMode::Baseline => {
                self.baseline_queue.push_back(work);
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
        self.update_active_weight(customer);
    }

    /// Removes queued work without placing it, and returns its record.
    pub(crate) fn dequeue(&mut self, work: WorkKey) -> Option<WorkRecord> {
        let record = self.work_records.remove(work)?;
        self.queued -= 1;
        if let WorkStage::Queued(Some(lane)) = record.stage {
            let account = &mut self.accounts[record.request.customer];
            let queue = &mut self.queues[record.request.band as usize];
            queue.mark_stale(lane, account, &self.work_records);
            self.update_active_weight(record.request.customer);
        }
        Some(record)
    }
}
