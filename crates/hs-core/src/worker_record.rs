//! Allocations and reservations on one worker.

use hs_share::ResourceSum;
use hs_wire::Resources;

use crate::{WorkBand, WorkKey, WorkerSpec, WorkerState};

/// A worker with the resources allocated to its tasks.
#[derive(Debug)]
pub(crate) struct WorkerRecord {
    /// Name, rack and capacity.
    pub(crate) spec: WorkerSpec,
    /// Index of the rack in the pool.
    pub(crate) rack: usize,
    /// Whether the worker takes new work or drains.
    pub(crate) state: WorkerState,
    /// Whether the worker is withheld from placement because its tasks failed, or while it runs a
    /// probe.
    pub(crate) withheld: bool,
    /// Resources allocated to tasks, by band.
    used: [ResourceSum; 4],
    /// Number of running tasks of band `Long`.
    long_tasks: u32,
    /// Capacity reserved for queued work.
    pub(crate) reserved: Resources,
    /// The highest band that may not use the reserved capacity; lower bands may not use it either.
    pub(crate) highest_excluded_band: WorkBand,
    /// Tasks that hold resources, as pairs of work key and task index.
    pub(crate) tasks: Vec<(WorkKey, u16)>,
}

impl WorkerRecord {
    /// Creates the record of an idle worker.
    pub(crate) fn new(spec: WorkerSpec, rack: usize) -> Self {
        Self {
            spec,
            rack,
            state: WorkerState::Active,
            withheld: false,
            used: [ResourceSum::default(); 4],
            long_tasks: 0,
            reserved: Resources::ZERO,
            highest_excluded_band: WorkBand::Long,
            tasks: Vec::new(),
        }
    }

    /// Returns the resources allocated to all tasks.
    pub(crate) fn used(&self) -> Resources {
        let [urgent, short, normal, long] = self.used.map(ResourceSum::clamped);
        let short = urgent.saturating_add(short);
        short.saturating_add(normal).saturating_add(long)
    }

    /// Returns the resources allocated to tasks of a band and the lower ones.
    pub(crate) fn used_at_or_below(&self, band: WorkBand) -> Resources {
        let used = self.used[band as usize..].iter();
        used.fold(Resources::ZERO, |sum, used| {
            sum.saturating_add(used.clamped())
        })
    }

    /// Returns whether the worker may get new work.
    pub(crate) fn takes_work(&self) -> bool {
        self.state == WorkerState::Active && !self.withheld
    }

    /// Returns the capacity that work of a band may use when the worker is idle. `reserve` is the
    /// part reserved for short work.
    pub(crate) fn band_capacity(&self, band: WorkBand, reserve: Resources) -> Resources {
        match band {
            WorkBand::Urgent | WorkBand::Short => self.spec.capacity,
            WorkBand::Normal | WorkBand::Long => self.spec.capacity.saturating_sub(reserve),
        }
    }

    /// Returns the capacity that is free for a band, regardless of reservations for queued work, or
    /// `None` if the worker may start no work of the band.
    pub(crate) fn free_capacity(
        &self,
        band: WorkBand,
        reserve: Resources,
        long_ceiling: Option<u32>,
    ) -> Option<Resources> {
        if !self.takes_work() {
            return None;
        }
        let free = self.spec.capacity.saturating_sub(self.used());
        match band {
            WorkBand::Urgent | WorkBand::Short => return Some(free),
            WorkBand::Normal => {}
            WorkBand::Long if long_ceiling.is_some_and(|limit| self.long_tasks >= limit) => {
                return None;
            }
            WorkBand::Long => {}
        }
        let capacity = self.band_capacity(band, reserve);
        let band_free = capacity.saturating_sub(self.used_at_or_below(WorkBand::Normal));
        Some(elementwise_min(free, band_free))
    }

    /// Returns the capacity reserved for queued work that a band may not use.
    pub(crate) fn reserved_against(&self, band: WorkBand) -> Resources {
        if band >= self.highest_excluded_band {
            self.reserved
        } else {
            Resources::ZERO
        }
    }

    /// Returns how many more tasks of a band the limit on long tasks admits.
    pub(crate) fn remaining_tasks(&self, band: WorkBand, long_ceiling: Option<u32>) -> u32 {
        match (band, long_ceiling) {
            (WorkBand::Long, Some(limit)) => limit.saturating_sub(self.long_tasks),
            _ => u32::MAX,
        }
    }

    /// Allocates resources to a task.
    pub(crate) fn allocate(&mut self, band: WorkBand, need: Resources, task: (WorkKey, u16)) {
        self.used[band as usize].add(need, 1);
        self.long_tasks += u32::from(band == WorkBand::Long);
        self.tasks.push(task);
    }

    /// Frees the resources of a task. Does nothing if it holds none.
    pub(crate) fn release(&mut self, band: WorkBand, need: Resources, task: (WorkKey, u16)) {
        let Some(position) = self.tasks.iter().position(|held| *held == task) else {
            return;
        };
        self.tasks.swap_remove(position);
        self.used[band as usize].subtract(need);
        self.long_tasks -= u32::from(band == WorkBand::Long);
    }
}

fn elementwise_min(left: Resources, right: Resources) -> Resources {
    let (left, right) = (left.dimensions(), right.dimensions());
    Resources::from_dimensions(std::array::from_fn(|index| left[index].min(right[index])))
}
