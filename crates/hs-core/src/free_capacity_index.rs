//! Index of workers by free capacity.

use hs_wire::Resources;
use slotmap::SecondaryMap;

use crate::WorkerKey;
use crate::free_capacity_tree::FreeCapacityTree;

/// Number of levels into which the free share of a worker's scarcest resource dimension is divided.
const FREE_LEVELS: usize = 16;

/// Workers grouped into levels of free capacity. Searches start at the fullest level, so that best
/// fit examines few workers.
#[derive(Debug)]
pub(crate) struct FreeCapacityIndex {
    /// One tree for each level, from the fullest workers to the emptiest.
    trees: Vec<FreeCapacityTree>,
    /// Level of each worker and its position in the tree of that level.
    positions: SecondaryMap<WorkerKey, (usize, usize)>,
}

impl Default for FreeCapacityIndex {
    fn default() -> Self {
        Self {
            trees: std::iter::repeat_with(FreeCapacityTree::default)
                .take(FREE_LEVELS)
                .collect(),
            positions: SecondaryMap::new(),
        }
    }
}

impl FreeCapacityIndex {
    /// Inserts a worker, or replaces its free capacity.
    pub(crate) fn set(&mut self, worker: WorkerKey, free: Resources, capacity: Resources) {
        let level = level_of(free, capacity);
        match self.positions.get(worker) {
            Some(&(old, position)) if old == level => self.trees[level].set(position, free),
            _ => {
                self.remove(worker);
                let position = self.trees[level].push(worker, free);
                self.positions.insert(worker, (level, position));
            }
        }
    }

    /// Removes a worker if it is in the index.
    pub(crate) fn remove(&mut self, worker: WorkerKey) {
        if let Some((level, position)) = self.positions.remove(worker)
            && let Some(moved) = self.trees[level].swap_remove(position)
        {
            self.positions.insert(moved, (level, position));
        }
    }

    /// Calls `visit` for each worker whose free capacity fits `need`, the fullest level first,
    /// until it returns `false`.
    pub(crate) fn visit_fits(
        &self,
        need: Resources,
        mut visit: impl FnMut(WorkerKey, Resources) -> bool,
    ) {
        for tree in &self.trees {
            if !tree.visit_fits(need, &mut visit) {
                return;
            }
        }
    }
}

fn level_of(free: Resources, capacity: Resources) -> usize {
    let pairs = free.dimensions().into_iter().zip(capacity.dimensions());
    let level = pairs
        .filter(|(_, total)| *total > 0)
        .map(|(free, total)| u64::from(free) * FREE_LEVELS as u64 / u64::from(total))
        .min()
        .unwrap_or(0);
    (level as usize).min(FREE_LEVELS - 1)
}
