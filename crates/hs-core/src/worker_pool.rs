//! All workers with the index of their free room.

use std::collections::HashMap;

use hs_wire::Resources;
use slotmap::SlotMap;
use smallvec::SmallVec;

use crate::room_index::RoomIndex;
use crate::worker_record::WorkerRecord;
use crate::{WorkBand, WorkKey, WorkerKey, WorkerSpec, WorkerState};

/// Most workers that best fit compares.
const MAX_CANDIDATES: usize = 8;

/// Most racks that a gang compares.
const MAX_RACKS: usize = 32;

/// The workers that the process owns.
#[derive(Debug, Default)]
pub(crate) struct WorkerPool {
    records: SlotMap<WorkerKey, WorkerRecord>,
    /// One index for each band, since the bands may take different parts of a worker.
    indices: [RoomIndex; 4],
    rack_names: HashMap<String, usize>,
    racks: Vec<Vec<WorkerKey>>,
    /// Number of workers of each capacity.
    capacities: Vec<(Resources, u32)>,
    active: usize,
    /// Capacity and used part of the workers that take work, summed.
    totals: [(u64, u64); 5],
    short_reserve: Resources,
    long_ceiling: Option<u32>,
}

impl WorkerPool {
    /// Sets the room reserved for short work and the ceiling for long work.
    pub(crate) fn set_limits(&mut self, short_reserve: Resources, long_ceiling: Option<u32>) {
        self.short_reserve = short_reserve;
        self.long_ceiling = long_ceiling;
        let workers: Vec<_> = self.records.keys().collect();
        for worker in workers {
            self.refresh(worker);
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
        match self.capacities.iter_mut().find(|(of, _)| *of == capacity) {
            Some((_, count)) => *count += 1,
            None => self.capacities.push((capacity, 1)),
        }
        let record = WorkerRecord::new(spec, rack);
        add_totals(&mut self.totals, &record, u64::wrapping_add);
        let worker = self.records.insert(record);
        self.racks[rack].push(worker);
        self.active += 1;
        self.refresh(worker);
        worker
    }

    /// Removes a worker.
    pub(crate) fn remove(&mut self, worker: WorkerKey) -> Option<WorkerRecord> {
        let record = self.records.remove(worker)?;
        add_totals(&mut self.totals, &record, u64::wrapping_sub);
        for index in &mut self.indices {
            index.remove(worker);
        }
        self.racks[record.rack].retain(|member| *member != worker);
        let capacity = record.spec.capacity;
        for (_, count) in self.capacities.iter_mut().filter(|(of, _)| *of == capacity) {
            *count -= 1;
        }
        self.capacities.retain(|(_, count)| *count > 0);
        self.active -= usize::from(record.state == WorkerState::Active);
        Some(record)
    }

    /// Returns a worker.
    pub(crate) fn get(&self, worker: WorkerKey) -> Option<&WorkerRecord> {
        self.records.get(worker)
    }

    /// Changes a worker and enters its new room into the index. Does nothing for a worker that is
    /// gone.
    pub(crate) fn update(&mut self, worker: WorkerKey, change: impl FnOnce(&mut WorkerRecord)) {
        if let Some(record) = self.records.get_mut(worker) {
            let before = record.state;
            add_totals(&mut self.totals, record, u64::wrapping_sub);
            change(record);
            add_totals(&mut self.totals, record, u64::wrapping_add);
            self.active -= usize::from(before == WorkerState::Active);
            self.active += usize::from(record.state == WorkerState::Active);
            self.refresh(worker);
        }
    }

    /// Returns every worker in order of key.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (WorkerKey, &WorkerRecord)> {
        self.records.iter()
    }

    /// Returns every worker rack by rack, beginning with a rack that depends on `start`.
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

    /// Returns the capacity and the used part of each dimension over the workers that take work.
    pub(crate) fn totals(&self) -> [(u64, u64); 5] {
        self.totals
    }

    /// Returns the number of workers.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the number of workers that are not draining.
    pub(crate) fn active(&self) -> usize {
        self.active
    }

    /// Returns the free room of a band on a worker, claims included.
    pub(crate) fn room(&self, worker: WorkerKey, band: WorkBand) -> Option<Resources> {
        self.room_of(self.records.get(worker)?, band)
    }

    /// Returns the free room of a band on a worker, claims included.
    pub(crate) fn room_of(&self, record: &WorkerRecord, band: WorkBand) -> Option<Resources> {
        record.free(band, self.short_reserve, self.long_ceiling)
    }

    /// Returns how many more tasks of a band the ceiling for long work admits on a worker.
    pub(crate) fn tasks_left(&self, record: &WorkerRecord, band: WorkBand) -> u32 {
        record.tasks_left(band, self.long_ceiling)
    }

    /// Returns the most that work of a band may hold on a worker.
    pub(crate) fn ceiling(&self, record: &WorkerRecord, band: WorkBand) -> Resources {
        record.ceiling(band, self.short_reserve)
    }

    /// Returns how many tasks fit into the free room of a band on a worker.
    pub(crate) fn count_fits(&self, worker: WorkerKey, band: WorkBand, need: Resources) -> u32 {
        let (Some(record), Some(room)) = (self.records.get(worker), self.room(worker, band)) else {
            return 0;
        };
        need.count_in(room)
            .min(record.tasks_left(band, self.long_ceiling))
    }

    /// Returns whether tasks fit on the workers when nothing else runs there.
    pub(crate) fn could_fit(&self, band: WorkBand, need: Resources, tasks: u16) -> bool {
        let reserve = match band {
            WorkBand::Urgent | WorkBand::Short => Resources::ZERO,
            WorkBand::Normal | WorkBand::Long => self.short_reserve,
        };
        let ceiling = self.long_ceiling.filter(|_| band == WorkBand::Long);
        let fits = |(capacity, count): &(Resources, u32)| {
            let each = need.count_in(capacity.saturating_sub(reserve));
            u64::from(each.min(ceiling.unwrap_or(u32::MAX))) * u64::from(*count)
        };
        let fits = self.capacities.iter().map(fits);
        fits.fold(0, u64::saturating_add) >= u64::from(tasks)
    }

    /// Returns the part of the largest worker that an amount takes, in millionths.
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

    /// Returns the worker that is left fullest by a task.
    pub(crate) fn best_fit(&self, band: WorkBand, need: Resources) -> Option<WorkerKey> {
        let mut best: Option<(f64, WorkerKey)> = None;
        let mut seen = 0;
        self.indices[band as usize].visit_fits(need, |worker, free| {
            let score = leftover(free, need, self.records[worker].spec.capacity);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, worker));
            }
            seen += 1;
            seen < MAX_CANDIDATES
        });
        best.map(|(_, worker)| worker)
    }

    /// Returns workers for tasks that start together: one rack if it has room, else few racks.
    pub(crate) fn fit_gang(
        &self,
        band: WorkBand,
        need: Resources,
        tasks: u32,
    ) -> Option<SmallVec<[WorkerKey; 2]>> {
        let mut found: SmallVec<[(WorkerKey, u32); 8]> = SmallVec::new();
        let mut total = 0;
        self.indices[band as usize].visit_fits(need, |worker, free| {
            let left = self.records[worker].tasks_left(band, self.long_ceiling);
            let count = need.count_in(free).min(left).min(tasks);
            found.push((worker, count));
            total += count;
            // A few more than needed, so that racks can be compared.
            total < 2 * tasks + 64
        });
        if total < tasks {
            return None;
        }
        let mut racks: SmallVec<[(usize, u32); 8]> = SmallVec::new();
        for (worker, _) in &found {
            let rack = self.records[*worker].rack;
            if racks.len() < MAX_RACKS && !racks.iter().any(|(known, _)| *known == rack) {
                let members = self.racks[rack].iter();
                let counts = members.map(|member| self.unclaimed_fits(*member, band, need));
                racks.push((rack, counts.fold(0, u32::saturating_add)));
            }
        }
        // The fullest rack that holds the gang; if none does, the emptiest racks first.
        racks.sort_by_key(|(rack, room)| match *room >= tasks {
            true => (false, i64::from(*room), *rack),
            false => (true, -i64::from(*room), *rack),
        });
        let mut chosen = SmallVec::new();
        let members = racks.iter().flat_map(|(rack, _)| &self.racks[*rack]);
        for worker in members {
            let left = tasks - chosen.len() as u32;
            let count = self.unclaimed_fits(*worker, band, need).min(left);
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

    /// Reserves room for a task.
    pub(crate) fn reserve(
        &mut self,
        worker: WorkerKey,
        band: WorkBand,
        need: Resources,
        task: (WorkKey, u16),
    ) {
        self.update(worker, |record| record.reserve(band, need, task));
    }

    fn unclaimed_fits(&self, worker: WorkerKey, band: WorkBand, need: Resources) -> u32 {
        let (Some(record), Some(room)) = (self.records.get(worker), self.room(worker, band)) else {
            return 0;
        };
        let room = room.saturating_sub(record.held_off(band));
        need.count_in(room)
            .min(record.tasks_left(band, self.long_ceiling))
    }

    fn refresh(&mut self, worker: WorkerKey) {
        let record = &self.records[worker];
        for band in WorkBand::ALL {
            let index = &mut self.indices[band as usize];
            match record.free(band, self.short_reserve, self.long_ceiling) {
                Some(free) => {
                    let free = free.saturating_sub(record.held_off(band));
                    index.set(worker, free, record.spec.capacity);
                }
                None => index.remove(worker),
            }
        }
    }
}

/// Adds a worker to the totals or, with the reverse operation, takes it out.
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

/// Returns the sum over all dimensions of the share of a worker that stays free after a start.
fn leftover(free: Resources, need: Resources, capacity: Resources) -> f64 {
    let left = free.saturating_sub(need).dimensions();
    let pairs = left.into_iter().zip(capacity.dimensions());
    pairs
        .filter(|(_, total)| *total > 0)
        .map(|(left, total)| f64::from(left) / f64::from(total))
        .sum()
}
