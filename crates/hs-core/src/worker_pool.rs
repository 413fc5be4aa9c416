//! The workers of the process, with indices of their free capacity.

use std::collections::HashMap;

use hs_wire::Resources;
use slotmap::SlotMap;
use smallvec::SmallVec;

use crate::free_capacity_index::FreeCapacityIndex;
use crate::worker_record::WorkerRecord;
use crate::{WorkBand, WorkKey, WorkerKey, WorkerSpec, WorkerState};

/// Maximum number of workers that a best-fit search compares.
const MAX_BEST_FIT_CANDIDATES: usize = 8;

/// Maximum number of racks that a search for a gang compares.
const MAX_GANG_RACKS: usize = 32;

/// The workers that the process owns.
#[derive(Debug, Default)]
pub(crate) struct WorkerPool {
    records: SlotMap<WorkerKey, WorkerRecord>,
    /// One index for each band, since bands may use different parts of a worker's capacity. The
    /// indexed free capacity excludes what is reserved against the band.
    free_indices: [FreeCapacityIndex; 4],
    /// Index of each rack by name.
    rack_names: HashMap<String, usize>,
    /// The workers of each rack.
    racks: Vec<Vec<WorkerKey>>,
    /// Number of workers of each capacity.
    capacities: Vec<(Resources, u32)>,
    /// Number of workers that are not draining.
    active_count: usize,
    /// Total capacity and used part of each resource dimension over the workers that take work.
    totals: [(u64, u64); 5],
    short_reserve: Resources,
    long_ceiling: Option<u32>,
}

impl WorkerPool {
    /// Sets the capacity reserved for short work and the limit on long tasks for each worker.
    pub(crate) fn set_limits(&mut self, short_reserve: Resources, long_ceiling: Option<u32>) {
        self.short_reserve = short_reserve;
        self.long_ceiling = long_ceiling;
        let workers: Vec<_> = self.records.keys().collect();
        for worker in workers {
            self.reindex(worker);
        }
    }

    /// Adds an idle worker.
    pub(crate) fn add(&mut self, spec: WorkerSpec) -> WorkerKey {
        let racks = &mut self.racks;
        let rack = *self.rack_names.entry(spec.rack.clone()).or_insert_with(|| {
            racks.push(Vec::new());
            racks.len() - 1
        });
        let capacity = spec.capacity;
        match self
            .capacities
            .iter_mut()
            .find(|(known, _)| *known == capacity)
        {
            Some((_, count)) => *count += 1,
            None => self.capacities.push((capacity, 1)),
        }
        let record = WorkerRecord::new(spec, rack);
        add_totals(&mut self.totals, &record, u64::wrapping_add);
        let worker = self.records.insert(record);
        self.racks[rack].push(worker);
        self.active_count += 1;
        self.reindex(worker);
        worker
    }

    /// Removes a worker and returns its record.
    pub(crate) fn remove(&mut self, worker: WorkerKey) -> Option<WorkerRecord> {
        let record = self.records.remove(worker)?;
        add_totals(&mut self.totals, &record, u64::wrapping_sub);
        for index in &mut self.free_indices {
            index.remove(worker);
        }
        self.racks[record.rack].retain(|member| *member != worker);
        let capacity = record.spec.capacity;
        for (_, count) in self
            .capacities
            .iter_mut()
            .filter(|(known, _)| *known == capacity)
        {
            *count -= 1;
        }
        self.capacities.retain(|(_, count)| *count > 0);
        self.active_count -= usize::from(record.state == WorkerState::Active);
        Some(record)
    }

    /// Returns the record of a worker.
    pub(crate) fn get(&self, worker: WorkerKey) -> Option<&WorkerRecord> {
        self.records.get(worker)
    }

    /// Applies `change` to a worker and updates the indices and totals. Does nothing if the worker
    /// was removed.
    pub(crate) fn update(&mut self, worker: WorkerKey, change: impl FnOnce(&mut WorkerRecord)) {
        if let Some(record) = self.records.get_mut(worker) {
            let before = record.state;
            add_totals(&mut self.totals, record, u64::wrapping_sub);
            change(record);
            add_totals(&mut self.totals, record, u64::wrapping_add);
            self.active_count -= usize::from(before == WorkerState::Active);
            self.active_count += usize::from(record.state == WorkerState::Active);
            self.reindex(worker);
        }
    }

    /// Returns all workers in order of key.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (WorkerKey, &WorkerRecord)> {
        self.records.iter()
    }

    /// Returns all workers grouped by rack, starting with the rack at index `start` modulo the
    /// number of racks.
    pub(crate) fn iter_from_rack(
        &self,
        start: u64,
    ) -> impl Iterator<Item = (WorkerKey, &WorkerRecord)> {
        let first = start.checked_rem(self.racks.len() as u64).unwrap_or(0) as usize;
        let racks = self.racks[first..].iter().chain(&self.racks[..first]);
        racks
            .flatten()
            .map(|worker| (*worker, &self.records[*worker]))
    }

    /// Returns the capacity and the used part of each resource dimension, summed over the workers
    /// that take work.
    pub(crate) fn totals(&self) -> [(u64, u64); 5] {
        self.totals
    }

    /// Returns the number of workers.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the number of workers that are not draining.
    pub(crate) fn active_count(&self) -> usize {
        self.active_count
    }

    /// Returns the capacity of a worker that is free for a band, regardless of reservations for
    /// queued work.
    pub(crate) fn free_capacity(&self, worker: WorkerKey, band: WorkBand) -> Option<Resources> {
        self.free_capacity_of(self.records.get(worker)?, band)
    }

    /// Same as [`WorkerPool::free_capacity`], for a record.
    pub(crate) fn free_capacity_of(
        &self,
        record: &WorkerRecord,
        band: WorkBand,
    ) -> Option<Resources> {
        record.free_capacity(band, self.short_reserve, self.long_ceiling)
    }

    /// Returns how many more tasks of a band the limit on long tasks admits on a worker.
    pub(crate) fn remaining_tasks(&self, record: &WorkerRecord, band: WorkBand) -> u32 {
        record.remaining_tasks(band, self.long_ceiling)
    }

    /// Returns the capacity of a worker that work of a band may use at most.
    pub(crate) fn band_capacity(&self, record: &WorkerRecord, band: WorkBand) -> Resources {
        record.band_capacity(band, self.short_reserve)
    }

    /// Returns how many tasks fit into the capacity of a worker that is free for a band, regardless
    /// of reservations for queued work.
    pub(crate) fn count_fits(&self, worker: WorkerKey, band: WorkBand, need: Resources) -> u32 {
        let (Some(record), Some(free)) =
            (self.records.get(worker), self.free_capacity(worker, band))
        else {
            return 0;
        };
        need.max_copies_in(free)
            .min(record.remaining_tasks(band, self.long_ceiling))
    }

    /// Returns whether the tasks would fit if all workers were idle.
    pub(crate) fn could_fit(&self, band: WorkBand, need: Resources, tasks: u16) -> bool {
        let reserve = match band {
            WorkBand::Urgent | WorkBand::Short => Resources::ZERO,
            WorkBand::Normal | WorkBand::Long => self.short_reserve,
        };
        let ceiling = self.long_ceiling.filter(|_| band == WorkBand::Long);
        let fits = |(capacity, count): &(Resources, u32)| {
            let fits_per_worker = need.max_copies_in(capacity.saturating_sub(reserve));
            u64::from(fits_per_worker.min(ceiling.unwrap_or(u32::MAX))) * u64::from(*count)
        };
        let fits = self.capacities.iter().map(fits);
        fits.fold(0, u64::saturating_add) >= u64::from(tasks)
    }

    /// Returns the cost of an amount in fair queuing: its dominant share of the largest worker, in
    /// millionths.
    pub(crate) fn cost(&self, amount: Resources) -> u64 {
        let shares = self.capacities.iter();
        let share = shares.map(|(capacity, _)| amount.dominant_share(*capacity));
        let share = share.fold(f64::INFINITY, f64::min);
        if share.is_finite() {
            (share * 1e6) as u64
        } else {
            1
        }
    }

    /// Returns the worker that has the least capacity left after starting a task, among the first
    /// candidates that fit it.
    pub(crate) fn best_fit(&self, band: WorkBand, need: Resources) -> Option<WorkerKey> {
        let mut best: Option<(f64, WorkerKey)> = None;
        let mut seen = 0;
        self.free_indices[band as usize].visit_fits(need, |worker, free| {
            let score = leftover_share(free, need, self.records[worker].spec.capacity);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, worker));
            }
            seen += 1;
            seen < MAX_BEST_FIT_CANDIDATES
        });
        best.map(|(_, worker)| worker)
    }

    /// Returns workers for tasks that start together: in one rack if they fit there, otherwise in
    /// few racks.
    pub(crate) fn fit_gang(
        &self,
        band: WorkBand,
        need: Resources,
        tasks: u32,
    ) -> Option<SmallVec<[WorkerKey; 2]>> {
        let mut found: SmallVec<[(WorkerKey, u32); 8]> = SmallVec::new();
        let mut total = 0;
        self.free_indices[band as usize].visit_fits(need, |worker, free| {
            let left = self.records[worker].remaining_tasks(band, self.long_ceiling);
            let count = need.max_copies_in(free).min(left).min(tasks);
            found.push((worker, count));
            total += count;
            // Finds more candidates than necessary, so that racks can be compared.
            total < 2 * tasks + 64
        });
        if total < tasks {
            return None;
        }
        let mut racks: SmallVec<[(usize, u32); 8]> = SmallVec::new();
        for (worker, _) in &found {
            let rack = self.records[*worker].rack;
            if racks.len() < MAX_GANG_RACKS && !racks.iter().any(|(known, _)| *known == rack) {
                let members = self.racks[rack].iter();
                let counts = members.map(|member| self.count_unreserved_fits(*member, band, need));
                racks.push((rack, counts.fold(0, u32::saturating_add)));
            }
        }
        // Prefers the fullest rack that fits the whole gang; if none does, the emptiest racks
        // first.
        racks.sort_by_key(|(rack, fits)| match *fits >= tasks {
            true => (false, i64::from(*fits), *rack),
            false => (true, -i64::from(*fits), *rack),
        });
        let mut chosen = SmallVec::new();
        let members = racks.iter().flat_map(|(rack, _)| &self.racks[*rack]);
        for worker in members {
            let left = tasks - chosen.len() as u32;
            let count = self.count_unreserved_fits(*worker, band, need).min(left);
            chosen.extend(std::iter::repeat_n(*worker, count as usize));
        }
        for (worker, count) in found {
            let left = tasks - chosen.len() as u32;
            if left > 0
                && !racks
                    .iter()
                    .any(|(rack, _)| *rack == self.records[worker].rack)
            {
                chosen.extend(std::iter::repeat_n(worker, count.min(left) as usize));
            }
        }
        Some(chosen)
    }

    /// Allocates resources on a worker to a task.
    pub(crate) fn allocate(
        &mut self,
        worker: WorkerKey,
        band: WorkBand,
        need: Resources,
        task: (WorkKey, u16),
    ) {
        self.update(worker, |record| record.allocate(band, need, task));
    }

    fn count_unreserved_fits(&self, worker: WorkerKey, band: WorkBand, need: Resources) -> u32 {
        let (Some(record), Some(free)) =
            (self.records.get(worker), self.free_capacity(worker, band))
        else {
            return 0;
        };
        let unreserved = free.saturating_sub(record.reserved_against(band));
        need.max_copies_in(unreserved)
            .min(record.remaining_tasks(band, self.long_ceiling))
    }

    fn reindex(&mut self, worker: WorkerKey) {
        let record = &self.records[worker];
        for band in WorkBand::ALL {
            let index = &mut self.free_indices[band as usize];
            match record.free_capacity(band, self.short_reserve, self.long_ceiling) {
                Some(free) => {
                    let free = free.saturating_sub(record.reserved_against(band));
                    index.set(worker, free, record.spec.capacity);
                }
                None => index.remove(worker),
            }
        }
    }
}

/// Adds a worker to the totals, or subtracts it if `add` is a subtraction. Skips workers that take
/// no work.
fn add_totals(totals: &mut [(u64, u64); 5], record: &WorkerRecord, add: fn(u64, u64) -> u64) {
    if !record.takes_work() {
        return;
    }
    let amounts = record.spec.capacity.dimensions().into_iter();
    let amounts = amounts.zip(record.used().dimensions());
    for ((capacity, used), (more_capacity, more_used)) in totals.iter_mut().zip(amounts) {
        *capacity = add(*capacity, u64::from(more_capacity));
        *used = add(*used, u64::from(more_used));
    }
}

/// Returns the share of a worker's capacity that stays free after starting a task, summed over the
/// resource dimensions.
fn leftover_share(free: Resources, need: Resources, capacity: Resources) -> f64 {
    let left = free.saturating_sub(need).dimensions();
    let pairs = left.into_iter().zip(capacity.dimensions());
    pairs
        .filter(|(_, total)| *total > 0)
        .map(|(left, total)| f64::from(left) / f64::from(total))
        .sum()
}
