//! Index of the workers by free CPU, so that a step finds workers without looking at all of them.

use std::collections::BTreeSet;
use std::ops::Bound;

use slotmap::Key;

use crate::TaskRun;
use crate::WorkerKey;
use crate::cell::Cell;
use crate::worker::{Slot, Worker};

/// Workers ordered by their free CPU.
#[derive(Clone, Debug, Default)]
pub(crate) struct FreeIndex {
    workers: BTreeSet<FreeEntry>,
    /// Free CPU of all workers in thousandths of a core.
    total_cpu_milli: u64,
}

/// Sort key of a worker in the index.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct FreeEntry {
    cpu_milli: u32,
    key: WorkerKey,
}

impl FreeIndex {
    fn insert(&mut self, entry: FreeEntry) {
        if self.workers.insert(entry) {
            self.total_cpu_milli += u64::from(entry.cpu_milli);
        }
    }

    fn remove(&mut self, entry: FreeEntry) {
        if self.workers.remove(&entry) {
            self.total_cpu_milli -= u64::from(entry.cpu_milli);
        }
    }

    /// Returns the free CPU of all workers in thousandths of a core.
    pub(crate) fn total_cpu_milli(&self) -> u64 {
        self.total_cpu_milli
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

fn entry_of(key: WorkerKey, worker: &Worker) -> FreeEntry {
    FreeEntry {
        cpu_milli: worker.free().cpu_milli,
        key,
    }
}

/// Changes of workers that keep the index up to date.
impl Cell {
    pub(crate) fn insert_worker(&mut self, worker: Worker) -> WorkerKey {
        let key = self.workers.insert(worker);
        self.free_index.insert(entry_of(key, &self.workers[key]));
        key
    }

    pub(crate) fn take_worker(&mut self, key: WorkerKey) -> Option<Worker> {
        let worker = self.workers.remove(key)?;
        self.free_index.remove(entry_of(key, &worker));
        Some(worker)
    }

    /// Changes a worker in a way that may affect its free resources.
    pub(crate) fn change_worker<T>(
        &mut self,
        key: WorkerKey,
        change: impl FnOnce(&mut Worker) -> T,
    ) -> Option<T> {
        let worker = self.workers.get_mut(key)?;
        let before = worker.free().cpu_milli;
        let result = change(worker);
        let after = worker.free().cpu_milli;
        if before != after {
            let entry = |cpu_milli| FreeEntry { cpu_milli, key };
            self.free_index.remove(entry(before));
            self.free_index.insert(entry(after));
        }
        Some(result)
    }

    pub(crate) fn allocate(&mut self, key: WorkerKey, run: TaskRun, slot: Slot) {
        self.change_worker(key, |worker| worker.allocate(run, slot));
    }

    pub(crate) fn release(&mut self, key: WorkerKey, run: TaskRun) -> Option<Slot> {
        self.change_worker(key, |worker| worker.release(run))?
    }
}
