//! Segment tree of the maximum free capacity of a set of workers.

use hs_wire::Resources;

use crate::WorkerKey;

/// Segment tree over workers. Each node holds the maximum free amount of each resource dimension in
/// its subtree, so that a search skips subtrees in which no worker fits.
#[derive(Debug, Default)]
pub(crate) struct FreeCapacityTree {
    /// The workers by position.
    keys: Vec<WorkerKey>,
    /// Number of leaves, a power of two or zero.
    width: usize,
    /// The root at index 1, the children of node `n` at `2 * n` and `2 * n + 1`, the leaves from
    /// `width` on.
    nodes: Vec<[u32; 5]>,
}

impl FreeCapacityTree {
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

    /// Replaces the free capacity of the worker at a position.
    pub(crate) fn set(&mut self, position: usize, free: Resources) {
        self.set_leaf(position, free.dimensions());
    }

    /// Removes the worker at a position. The last worker moves to this position and is returned,
    /// unless it is the removed one.
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

    /// Calls `visit` for each worker whose free capacity fits `need` until it returns `false`.
    /// Returns whether all were visited.
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
        let maxima = self.nodes[node];
        if need.iter().zip(maxima).any(|(need, have)| *need > have) {
            return true;
        }
        if node < self.width {
            return self.visit_subtree(2 * node, need, visit)
                && self.visit_subtree(2 * node + 1, need, visit);
        }
        // Leaves after the last worker hold zeros, which still fit a `need` of zero.
        self.keys
            .get(node - self.width)
            .is_none_or(|worker| visit(*worker, Resources::from_dimensions(maxima)))
    }

    fn grow(&mut self) {
        let width = (2 * self.width).max(1);
        let mut nodes = vec![[0; 5]; 2 * width];
        let leaves = &self.nodes[self.width..];
        nodes[width..width + leaves.len()].copy_from_slice(leaves);
        for node in (1..width).rev() {
            nodes[node] = elementwise_max(nodes[2 * node], nodes[2 * node + 1]);
        }
        self.width = width;
        self.nodes = nodes;
    }

    fn set_leaf(&mut self, position: usize, amounts: [u32; 5]) {
        let mut node = self.width + position;
        self.nodes[node] = amounts;
        while node > 1 {
            node /= 2;
            let maxima = elementwise_max(self.nodes[2 * node], self.nodes[2 * node + 1]);
            if self.nodes[node] == maxima {
                break;
            }
            self.nodes[node] = maxima;
        }
    }
}

fn elementwise_max(left: [u32; 5], right: [u32; 5]) -> [u32; 5] {
    std::array::from_fn(|index| left[index].max(right[index]))
}
