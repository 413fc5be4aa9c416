//! Order in which a new owner contacts the workers.

use std::cmp::Reverse;

use crate::WorkerKey;
use crate::cell::Cell;
use crate::worker::Worker;

impl Cell {
    /// Returns the listed workers in the order in which a new owner should contact them.
    ///
    /// Those with the most recorded runs come first, since the leases that the earlier owner granted end soon. Those
    /// with the most free CPU follow, since they can start waiting tasks.
    pub fn contact_order(&self) -> Vec<WorkerKey> {
        let workers = self.workers.iter().filter(|(_, worker)| worker.listed);
        let mut keys: Vec<WorkerKey> = workers.map(|(key, _)| key).collect();
        keys.sort_by_cached_key(|key| contact_rank(&self.workers[*key]));
        keys
    }
}

/// Returns the sort key of a worker; lower ones are contacted first.
fn contact_rank(worker: &Worker) -> (Reverse<usize>, Reverse<u32>) {
    let free_cpu = match worker.entry.draining {
        true => 0,
        false => worker.free().cpu_milli,
    };
    (Reverse(worker.slots.len()), Reverse(free_cpu))
}
