//! Queue of the lanes of one shape, and its entry in the order of the shapes of a band.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use slotmap::new_key_type;

use crate::work_shape::WorkShape;

new_key_type! {
    /// Key of a lane: the queued work of one customer and one shape.
    pub(crate) struct LaneKey;

    /// Key of a shape with queued work.
    pub(crate) struct ShapeKey;
}

/// The lanes of one shape.
#[derive(Debug)]
pub(crate) struct ShapeQueue {
    pub(crate) shape: WorkShape,
    /// Whether no workers were found for this shape. Cleared when a worker frees capacity into
    /// which a task of the shape may fit.
    pub(crate) blocked: bool,
    /// Placement count at the time when the first work item of the shape was blocked.
    pub(crate) blocked_at_placement: Option<u64>,
    /// Number of lanes, including parked ones.
    pub(crate) lane_count: usize,
    /// Lanes ordered by start tag and sequence number of their first item. Both only grow, so an
    /// outdated entry sorts too early and is corrected when it reaches the top.
    pub(crate) lane_heap: BinaryHeap<Reverse<(u64, u64, LaneKey)>>,
    /// Start tag and sequence number of the shape's entry in [`BandQueue::ready`](crate::band_queue::BandQueue).
    ready_entry: Option<(u64, u64)>,
}

impl ShapeQueue {
    /// Creates the queue of a shape without lanes.
    pub(crate) fn new(shape: WorkShape) -> Self {
        Self {
            shape,
            blocked: false,
            blocked_at_placement: None,
            lane_count: 0,
            lane_heap: BinaryHeap::new(),
            ready_entry: None,
        }
    }

    /// Inserts the shape into `ready`, unless it is blocked or its entry is already at or before
    /// `order`.
    pub(crate) fn insert_ready(
        &mut self,
        shape: ShapeKey,
        order: (u64, u64),
        ready: &mut BTreeSet<(u64, u64, ShapeKey)>,
    ) {
        if self.blocked || self.ready_entry.is_some_and(|entry| entry <= order) {
            return;
        }
        self.remove_ready(shape, ready);
        ready.insert((order.0, order.1, shape));
        self.ready_entry = Some(order);
    }

    /// Removes the shape's entry from `ready`.
    pub(crate) fn remove_ready(
        &mut self,
        shape: ShapeKey,
        ready: &mut BTreeSet<(u64, u64, ShapeKey)>,
    ) {
        if let Some((tag, sequence)) = self.ready_entry.take() {
            ready.remove(&(tag, sequence, shape));
        }
    }

    /// Marks the shape as possibly fitting and returns it to `ready`.
    pub(crate) fn unblock(&mut self, shape: ShapeKey, ready: &mut BTreeSet<(u64, u64, ShapeKey)>) {
        self.blocked = false;
        if let Some(Reverse((tag, sequence, _))) = self.lane_heap.peek() {
            self.insert_ready(shape, (*tag, *sequence), ready);
        }
    }
}
