//! Deadlines of queued work.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use crate::WorkKey;

/// Min-heap of deadlines. Entries of work that is no longer queued are dropped when they reach the
/// top.
#[derive(Debug, Default)]
pub(crate) struct DeadlineHeap {
    heap: BinaryHeap<Reverse<(Instant, WorkKey)>>,
}

impl DeadlineHeap {
    /// Adds a deadline. `queued` is the number of queued work items; stale entries are purged when
    /// the heap holds more than twice this number plus 64 entries.
    pub(crate) fn push(
        &mut self,
        deadline: Instant,
        work: WorkKey,
        queued: usize,
        is_queued: impl Fn(WorkKey) -> bool,
    ) {
        if self.heap.len() > 2 * queued + 64 {
            self.heap.retain(|Reverse((_, work))| is_queued(*work));
        }
        self.heap.push(Reverse((deadline, work)));
    }

    /// Removes and returns a queued work item whose deadline has passed.
    pub(crate) fn pop_expired(
        &mut self,
        now: Instant,
        is_queued: impl Fn(WorkKey) -> bool,
    ) -> Option<WorkKey> {
        while let Some(Reverse((deadline, work))) = self.heap.peek().copied() {
            let is_queued = is_queued(work);
            if is_queued && deadline > now {
                return None;
            }
            self.heap.pop();
            if is_queued {
                return Some(work);
            }
        }
        None
    }

    /// Returns the earliest deadline, which may belong to a stale entry.
    pub(crate) fn first(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse((deadline, _))| *deadline)
    }
}
