//! Deadlines of waiting work.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use crate::WorkKey;

/// Deadlines in order of time. Entries of work that no longer waits are dropped when they surface.
#[derive(Debug, Default)]
pub(crate) struct DeadlineHeap {
    heap: BinaryHeap<Reverse<(Instant, WorkKey)>>,
}

impl DeadlineHeap {
    /// Adds a deadline. `queued` is the number of waiting pieces of work, which bounds how many
    /// stale entries are kept.
    pub(crate) fn push(
        &mut self,
        deadline: Instant,
        work: WorkKey,
        queued: usize,
        waits: impl Fn(WorkKey) -> bool,
    ) {
        if self.heap.len() > 2 * queued + 64 {
            self.heap.retain(|Reverse((_, work))| waits(*work));
        }
        self.heap.push(Reverse((deadline, work)));
    }

    /// Removes and returns a piece of work whose deadline has passed.
    pub(crate) fn pop_passed(
        &mut self,
        now: Instant,
        waits: impl Fn(WorkKey) -> bool,
    ) -> Option<WorkKey> {
        while let Some(Reverse((deadline, work))) = self.heap.peek().copied() {
            let waits = waits(work);
            if waits && deadline > now {
                return None;
            }
            self.heap.pop();
            if waits {
                return Some(work);
            }
        }
        None
    }

    /// Returns the first deadline.
    pub(crate) fn first(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse((deadline, _))| *deadline)
    }
}
