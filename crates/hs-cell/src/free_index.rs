//! Index of the reachable workers by free CPU, so that a step finds workers without looking at all of them.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use hs_share::ResourceSum;
use hs_wire::Resources;
use slotmap::Key;

use crate::TaskRun;
use crate::WorkerKey;
use crate::cell::Cell;
use crate::open_starts::StartOutcome;
use crate::slot::{Slot, SlotPhase};
use crate::worker::Worker;

/// Reachable workers ordered by their free CPU.
///
/// Workers that drain, are not listed or do not answer are left out: nothing can be placed on them, so what they
/// have free is no capacity, and an entry of a worker that does not exist may claim any amount.
#[derive(Clone, Debug, Default)]
pub(crate) struct FreeIndex {
    workers: BTreeSet<FreeEntry>,
    /// Free CPU of the available workers in thousandths of a core.
    total_cpu_milli: u64,
    /// Capacity of the available workers.
    total_capacity: ResourceSum,
}

/// Sort key of a worker in the index.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct FreeEntry {
    cpu_milli: u32,
    key: WorkerKey,
}

/// What the index holds about a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct IndexedWorker {
    entry: FreeEntry,
    /// Free CPU that the worker adds to the total. A reachable worker without a lease adds none.
    counted_cpu_milli: u64,
    /// Capacity that the worker adds to the total.
    counted_capacity: Resources,
}

impl IndexedWorker {
    /// Returns `None` if the worker is not in the index.
    fn new(key: WorkerKey, worker: &Worker) -> Option<Self> {
        let cpu_milli = worker.free().cpu_milli;
        let (counted_cpu_milli, counted_capacity) = match worker.is_available() {
            true => (u64::from(cpu_milli), worker.entry.capacity),
            false => (0, Resources::ZERO),
        };
        worker.is_reachable().then_some(Self {
            entry: FreeEntry { cpu_milli, key },
            counted_cpu_milli,
            counted_capacity,
        })
    }
}

impl FreeIndex {
    fn replace(&mut self, before: Option<IndexedWorker>, after: Option<IndexedWorker>) {
        if before == after {
            return;
        }
        if let Some(before) = before {
            self.workers.remove(&before.entry);
            self.total_cpu_milli -= before.counted_cpu_milli;
            self.total_capacity.subtract(before.counted_capacity);
        }
        if let Some(after) = after {
            self.workers.insert(after.entry);
            self.total_cpu_milli += after.counted_cpu_milli;
            self.total_capacity.add(after.counted_capacity, 1);
        }
    }

    /// Returns the free CPU of the available workers in thousandths of a core.
    pub(crate) fn total_cpu_milli(&self) -> u64 {
        self.total_cpu_milli
    }

    /// Returns the capacity of the available workers.
    pub(crate) fn total_capacity(&self) -> ResourceSum {
        self.total_capacity
    }

    /// Returns the workers with at least this much free CPU, those with the least first.
    pub(crate) fn fullest_first(&self, cpu_milli: u32) -> impl Iterator<Item = WorkerKey> + '_ {
        // The null key is the last one in the order of keys.
        let too_little = cpu_milli.checked_sub(1).map(|cpu_milli| FreeEntry {
            cpu_milli,
            key: WorkerKey::null(),
        });
        let from = too_little.map_or(Bound::Unbounded, Bound::Excluded);
        let entries = self.workers.range((from, Bound::Unbounded));
        entries.map(|entry| entry.key)
    }

    /// Returns the workers with at least this much free CPU, those with the most first.
    pub(crate) fn emptiest_first(&self, cpu_milli: u32) -> impl Iterator<Item = WorkerKey> + '_ {
        let entries = self.workers.iter().rev();
        let entries = entries.take_while(move |entry| entry.cpu_milli >= cpu_milli);
        entries.map(|entry| entry.key)
    }
}

/// Changes of workers that keep the index up to date.
impl Cell {
    pub(crate) fn insert_worker(&mut self, worker: Worker) -> WorkerKey {
        let key = self.workers.insert(worker);
        let indexed = IndexedWorker::new(key, &self.workers[key]);
        self.free_index.replace(None, indexed);
        key
    }

    pub(crate) fn take_worker(&mut self, key: WorkerKey) -> Option<Worker> {
        let worker = self.workers.remove(key)?;
        self.open_starts.forget(key);
        self.observe_removal(key);
        self.free_index
            .replace(IndexedWorker::new(key, &worker), None);
        for slot in worker.slots.values() {
            self.remove_usage(slot);
        }
        Some(worker)
    }

    /// Changes a worker in a way that may affect its free resources, or whether it is available.
    pub(crate) fn change_worker<T>(
        &mut self,
        key: WorkerKey,
        change: impl FnOnce(&mut Worker) -> T,
    ) -> Option<T> {
        let worker = self.workers.get_mut(key)?;
        let before = IndexedWorker::new(key, worker);
        let result = change(worker);
        self.free_index
            .replace(before, IndexedWorker::new(key, worker));
        Some(result)
    }

    pub(crate) fn allocate(&mut self, key: WorkerKey, run: TaskRun, slot: Slot) {
        let (team, need) = (slot.team, slot.need);
        if let Some(old) = self.change_worker(key, |worker| worker.allocate(run, slot)) {
            self.team_usage.add(team, need);
            if let Some(old) = old {
                self.remove_usage(&old);
            }
        }
    }

    pub(crate) fn release(&mut self, key: WorkerKey, run: TaskRun) -> Option<Slot> {
        let slot = self.change_worker(key, |worker| worker.release(run))??;
        if matches!(slot.phase, SlotPhase::Recording | SlotPhase::Sent) {
            self.close_start(key, run, StartOutcome::Withdrawn);
        }
        self.remove_usage(&slot);
        Some(slot)
    }

    /// Removes all runs from a worker.
    pub(crate) fn take_slots(&mut self, key: WorkerKey) -> BTreeMap<TaskRun, Slot> {
        self.open_starts.forget(key);
        let slots = self.change_worker(key, Worker::take_slots);
        let slots = slots.unwrap_or_default();
        for slot in slots.values() {
            self.remove_usage(slot);
        }
        slots
    }

    /// Removes a run from the usage of its team, whose steps may start now.
    fn remove_usage(&mut self, slot: &Slot) {
        let Some(team) = slot.team else {
            return;
        };
        self.team_usage.remove(team, slot.need);
        if self.ready_steps.parked.has_steps_of(team) {
            self.request_pass();
        }
    }
}
