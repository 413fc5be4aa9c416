//! State of one worker.

use hs_wire::Resources;

use crate::{WorkBand, WorkKey, WorkerSpec, WorkerState};

/// One worker with what its tasks hold.
#[derive(Debug)]
pub(crate) struct WorkerRecord {
    /// Name, rack and capacity.
    pub(crate) spec: WorkerSpec,
    /// Index of the rack.
    pub(crate) rack: usize,
    /// Whether it takes new work.
    pub(crate) state: WorkerState,
    /// Whether it is withheld from placement because its tasks fail.
    pub(crate) withheld: bool,
    /// Reserved room by band.
    used: [Resources; 4],
    /// Number of tasks of band `Long`.
    long_tasks: u32,
    /// Room held for waiting work, and the bands that may not take it.
    pub(crate) claim: Resources,
    /// The highest band that the claim holds off.
    pub(crate) claim_from: WorkBand,
    /// Tasks that hold room.
    pub(crate) tasks: Vec<(WorkKey, u16)>,
}

impl WorkerRecord {
    /// Builds a record of an idle worker.
    pub(crate) fn new(spec: WorkerSpec, rack: usize) -> Self {
        Self {
            spec,
            rack,
            state: WorkerState::Active,
            withheld: false,
            used: [Resources::ZERO; 4],
            long_tasks: 0,
            claim: Resources::ZERO,
            claim_from: WorkBand::Long,
            tasks: Vec::new(),
        }
    }

    /// Returns the room that all tasks hold together.
    pub(crate) fn used(&self) -> Resources {
        let [urgent, short, normal, long] = self.used;
        let short = urgent.saturating_add(short);
        short.saturating_add(normal).saturating_add(long)
    }

    /// Returns the room that the tasks of a band and those below hold.
    pub(crate) fn used_from(&self, band: WorkBand) -> Resources {
        let used = self.used[band as usize..].iter();
        used.fold(Resources::ZERO, |sum, used| sum.saturating_add(*used))
    }

    /// Returns whether new work may start here.
    pub(crate) fn takes_work(&self) -> bool {
        self.state == WorkerState::Active && !self.withheld
    }

    /// Returns the most that work of a band may hold when nothing else runs.
    pub(crate) fn ceiling(&self, band: WorkBand, reserve: Resources) -> Resources {
        match band {
            WorkBand::Urgent | WorkBand::Short => self.spec.capacity,
            WorkBand::Normal | WorkBand::Long => self.spec.capacity.saturating_sub(reserve),
        }
    }

    /// Returns the free room of a band without regard to claims, or `None` if the band may not
    /// start anything here.
    pub(crate) fn free(
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
            WorkBand::Long if long_ceiling.is_some_and(|most| self.long_tasks >= most) => {
                return None;
            }
            WorkBand::Long => {}
        }
        let ceiling = self.ceiling(band, reserve);
        let room = ceiling.saturating_sub(self.used_from(WorkBand::Normal));
        Some(smaller(free, room))
    }

    /// Returns the room that the claim keeps from a band.
    pub(crate) fn held_off(&self, band: WorkBand) -> Resources {
        if band >= self.claim_from {
            self.claim
        } else {
            Resources::ZERO
        }
    }

    /// Returns how many more tasks of a band the ceiling for long work admits.
    pub(crate) fn tasks_left(&self, band: WorkBand, long_ceiling: Option<u32>) -> u32 {
        match (band, long_ceiling) {
            (WorkBand::Long, Some(most)) => most.saturating_sub(self.long_tasks),
            _ => u32::MAX,
        }
    }

    /// Reserves room for a task.
    pub(crate) fn reserve(&mut self, band: WorkBand, need: Resources, task: (WorkKey, u16)) {
        let used = &mut self.used[band as usize];
        *used = used.saturating_add(need);
        self.long_tasks += u32::from(band == WorkBand::Long);
        self.tasks.push(task);
    }

    /// Frees the room of a task.
    pub(crate) fn release(&mut self, band: WorkBand, need: Resources, task: (WorkKey, u16)) {
        let Some(position) = self.tasks.iter().position(|held| *held == task) else {
            return;
        };
        self.tasks.swap_remove(position);
        let used = &mut self.used[band as usize];
        *used = used.saturating_sub(need);
        self.long_tasks -= u32::from(band == WorkBand::Long);
    }
}

fn smaller(left: Resources, right: Resources) -> Resources {
    let (left, right) = (left.dimensions(), right.dimensions());
    Resources::from_dimensions(std::array::from_fn(|index| left[index].min(right[index])))
}
