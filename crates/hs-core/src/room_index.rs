//! Index of free room.

use hs_wire::Resources;
use slotmap::SecondaryMap;

use crate::WorkerKey;
use crate::free_tree::FreeTree;

/// Steps of the free share of a worker's scarcest dimension.
const LEVELS: usize = 16;

/// Groups workers by free room, the fullest first, so that best fit looks at few of them.
#[derive(Debug)]
pub(crate) struct RoomIndex {
    trees: Vec<FreeTree>,
    places: SecondaryMap<WorkerKey, (usize, usize)>,
}

impl Default for RoomIndex {
    fn default() -> Self {
        Self {
            trees: std::iter::repeat_with(FreeTree::default)
                .take(LEVELS)
                .collect(),
            places: SecondaryMap::new(),
        }
    }
}

impl RoomIndex {
    /// Enters a worker, or replaces its free room.
    pub(crate) fn set(&mut self, worker: WorkerKey, free: Resources, capacity: Resources) {
        let group = group_of(free, capacity);
        match self.places.get(worker) {
            Some(&(old, position)) if old == group => self.trees[group].set(position, free),
            _ => {
                self.remove(worker);
                let position = self.trees[group].push(worker, free);
                self.places.insert(worker, (group, position));
            }
        }
    }

    /// Removes a worker if it is present.
    pub(crate) fn remove(&mut self, worker: WorkerKey) {
        if let Some((group, position)) = self.places.remove(worker)
            && let Some(moved) = self.trees[group].swap_remove(position)
        {
            self.places.insert(moved, (group, position));
        }
    }

    /// Visits workers with room for `need`, the fullest group first, until `visit` returns `false`.
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

fn group_of(free: Resources, capacity: Resources) -> usize {
    let pairs = free.dimensions().into_iter().zip(capacity.dimensions());
    let level = pairs
        .filter(|(_, total)| *total > 0)
        .map(|(free, total)| u64::from(free) * LEVELS as u64 / u64::from(total))
        .min()
        .unwrap_or(0);
    (level as usize).min(LEVELS - 1)
}
