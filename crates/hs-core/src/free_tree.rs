//! Maximum tree over the free room of a group of workers.

use hs_wire::Resources;

use crate::WorkerKey;

/// Group of workers with the largest free amount of each dimension kept for every subtree, so that
/// a search skips subtrees without a fit.
#[derive(Debug, Default)]
pub(crate) struct FreeTree {
    keys: Vec<WorkerKey>,
    width: usize,
    nodes: Vec<[u32; 5]>,
}

impl FreeTree {
    /// Adds a worker and returns its position.
    pub(crate) fn push(&mut self, worker: WorkerKey, free: Resources) -> usize {
        let position = self.keys.len();
        self.keys.push(worker);
        if position == self.width {
            self.grow();
        }
        self.set(position, free);
        position
    }

    /// Replaces the free room at a position.
    pub(crate) fn set(&mut self, position: usize, free: Resources) {
        self.set_leaf(position, free.dimensions());
    }

    /// Removes the worker at a position and returns the worker that took the position, if any.
    pub(crate) fn swap_remove(&mut self, position: usize) -> Option<WorkerKey> {
        let last = self.keys.len() - 1;
        self.keys.swap_remove(position);
        let amounts = self.nodes[self.width + last];
        self.set_leaf(last, [0; 5]);
        if position == last {
            return None;
        }
        self.set_leaf(position, amounts);
        Some(self.keys[position])
    }

    /// Visits the workers with room for `need` until `visit` returns `false`, and returns whether
    /// all were visited.
    pub(crate) fn visit_fits(
        &self,
        need: Resources,
        visit: &mut impl FnMut(WorkerKey, Resources) -> bool,
    ) -> bool {
        if self.keys.is_empty() {
            return true;
        }
        self.visit_subtree(1, need.dimensions(), visit)
    }

    fn visit_subtree(
        &self,
        node: usize,
        need: [u32; 5],
        visit: &mut impl FnMut(WorkerKey, Resources) -> bool,
    ) -> bool {
        let most = self.nodes[node];
        if need.iter().zip(most).any(|(need, have)| *need > have) {
            return true;
        }
        if node < self.width {
            return self.visit_subtree(2 * node, need, visit)
                && self.visit_subtree(2 * node + 1, need, visit);
        }
        // Positions past the last worker hold zeros, which fit work that needs nothing.
        self.keys
            .get(node - self.width)
            .is_none_or(|worker| visit(*worker, Resources::from_dimensions(most)))
    }

    fn grow(&mut self) {
        let width = (2 * self.width).max(1);
        let mut nodes = vec![[0; 5]; 2 * width];
        let leaves = &self.nodes[self.width..];
        nodes[width..width + leaves.len()].copy_from_slice(leaves);
        for node in (1..width).rev() {
            nodes[node] = larger(nodes[2 * node], nodes[2 * node + 1]);
        }
        self.width = width;
        self.nodes = nodes;
    }

    fn set_leaf(&mut self, position: usize, amounts: [u32; 5]) {
        let mut node = self.width + position;
        self.nodes[node] = amounts;
        while node > 1 {
            node /= 2;
            let most = larger(self.nodes[2 * node], self.nodes[2 * node + 1]);
            if self.nodes[node] == most {
                break;
            }
            self.nodes[node] = most;
        }
    }
}

fn larger(left: [u32; 5], right: [u32; 5]) -> [u32; 5] {
    std::array::from_fn(|index| left[index].max(right[index]))
}
