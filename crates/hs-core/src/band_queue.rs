//! Fair queue of one priority band.

use std::cmp::Reverse;
use std::collections::binary_heap::PeekMut;
use std::collections::{BTreeSet, HashMap, VecDeque};

use hs_share::VirtualClock;
use hs_wire::Resources;
use slotmap::SlotMap;

use crate::customer_account::CustomerAccount;
use crate::shape_queue::{LaneKey, ShapeKey, ShapeQueue};
use crate::work_record::{WorkRecord, WorkStage};
use crate::work_shape::WorkShape;
use crate::{CustomerKey, WorkBand, WorkKey, WorkRequest};

/// Queued work of one customer and one shape, in order of submission.
#[derive(Debug)]
struct CustomerLane {
    customer: CustomerKey,
    shape: ShapeKey,
    /// Sequence number and key of each item.
    items: VecDeque<(u64, WorkKey)>,
    /// Number of items in `items` that were cancelled or refused and are no longer queued.
    stale_items: usize,
    /// Whether the lane is not in the heap because the quota or the margin holds its first item
    /// back.
    parked: bool,
}

/// A queued work item with its position.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedItem {
    /// The lane that holds it.
    pub(crate) lane: LaneKey,
    /// Key of its shape.
    pub(crate) shape_key: ShapeKey,
    /// Its shape.
    pub(crate) shape: WorkShape,
    /// Key of the work item.
    pub(crate) work: WorkKey,
    /// The customer that submitted it.
    pub(crate) customer: CustomerKey,
}

/// Start-time fair queue over the customers of one band.
///
/// Work is grouped by shape, so that work that does not fit blocks only work of the same shape.
#[derive(Debug)]
pub(crate) struct BandQueue {
    band: WorkBand,
    virtual_clock: VirtualClock,
    shapes: SlotMap<ShapeKey, ShapeQueue>,
    shape_keys: HashMap<WorkShape, ShapeKey>,
    /// Shapes that may fit, ordered by start tag and sequence number of their first lane. As in
    /// [`ShapeQueue::lane_heap`], an outdated entry is corrected when it becomes the first.
    ready: BTreeSet<(u64, u64, ShapeKey)>,
    lanes: SlotMap<LaneKey, CustomerLane>,
    lane_keys: HashMap<(CustomerKey, ShapeKey), LaneKey>,
}

impl BandQueue {
    /// Builds an empty queue.
    pub(crate) fn new(band: WorkBand) -> Self {
        Self {
            band,
            virtual_clock: VirtualClock::default(),
            shapes: SlotMap::with_key(),
            shape_keys: HashMap::new(),
            ready: BTreeSet::new(),
            lanes: SlotMap::with_key(),
            lane_keys: HashMap::new(),
        }
    }

    /// Adds a work item at the end of its lane and returns the lane.
    pub(crate) fn push(
        &mut self,
        work: WorkKey,
        sequence: u64,
        request: &WorkRequest,
        account: &mut CustomerAccount,
    ) -> LaneKey {
        let band = self.band as usize;
        if account.queued[band] == 0 {
            let tag = &mut account.start_tags[band];
            *tag = self.virtual_clock.activated_tag(*tag);
        }
        account.queued[band] += 1;
        let shape = WorkShape::of(request);
        let shape_key = *self
            .shape_keys
            .entry(shape)
            .or_insert_with(|| self.shapes.insert(ShapeQueue::new(shape)));
        let customer = request.customer;
        let lane_key = *self
            .lane_keys
            .entry((customer, shape_key))
            .or_insert_with(|| {
                let lane = self.lanes.insert(CustomerLane {
                    customer,
                    shape: shape_key,
                    items: VecDeque::new(),
                    stale_items: 0,
                    parked: false,
                });
                let queue = &mut self.shapes[shape_key];
                queue.lane_count += 1;
                let order = (account.start_tags[band], sequence);
                queue.lane_heap.push(Reverse((order.0, order.1, lane)));
                queue.insert_ready(shape_key, order, &mut self.ready);
                lane
            });
        self.lanes[lane_key].items.push_back((sequence, work));
        lane_key
    }

    /// Returns whether a shape is known to fit on no workers.
    pub(crate) fn is_blocked(&self, shape: WorkShape) -> bool {
        let queue = self.shape_keys.get(&shape).map(|key| &self.shapes[*key]);
        queue.is_some_and(|queue| queue.blocked)
    }

    /// Returns the first work item among the shapes that may fit.
    pub(crate) fn head(
        &mut self,
        accounts: &SlotMap<CustomerKey, CustomerAccount>,
        work_records: &SlotMap<WorkKey, WorkRecord>,
    ) -> Option<QueuedItem> {
        while let Some((tag, sequence, shape_key)) = self.ready.first().copied() {
            let current = self.first_lane(shape_key, accounts, work_records);
            let queue = &mut self.shapes[shape_key];
            let Some((current, lane)) = current else {
                queue.remove_ready(shape_key, &mut self.ready);
                if queue.lane_count == 0 {
                    self.shape_keys.remove(&queue.shape);
                    self.shapes.remove(shape_key);
                }
                continue;
            };
            if current != (tag, sequence) {
                queue.remove_ready(shape_key, &mut self.ready);
                queue.insert_ready(shape_key, current, &mut self.ready);
                continue;
            }
            let (_, work) = *self.lanes[lane].items.front()?;
            return Some(QueuedItem {
                lane,
                shape_key,
                shape: queue.shape,
                work,
                customer: self.lanes[lane].customer,
            });
        }
        None
    }

    /// Returns the first lane of a shape with its start tag and sequence number, and drops stale
    /// items and empty lanes on the way.
    fn first_lane(
        &mut self,
        shape_key: ShapeKey,
        accounts: &SlotMap<CustomerKey, CustomerAccount>,
        work_records: &SlotMap<WorkKey, WorkRecord>,
    ) -> Option<((u64, u64), LaneKey)> {
        let queue = &mut self.shapes[shape_key];
        while let Some(mut top) = queue.lane_heap.peek_mut() {
            let Reverse((tag, sequence, lane_key)) = *top;
            let lane = &mut self.lanes[lane_key];
            while let Some((_, work)) = lane.items.front()
                && !work_records.contains_key(*work)
            {
                lane.items.pop_front();
                lane.stale_items = lane.stale_items.saturating_sub(1);
            }
            let Some((first, _)) = lane.items.front() else {
                PeekMut::pop(top);
                self.lane_keys.remove(&(lane.customer, shape_key));
                self.lanes.remove(lane_key);
                queue.lane_count -= 1;
                continue;
            };
            let current = (
                accounts[lane.customer].start_tags[self.band as usize],
                *first,
            );
            if current == (tag, sequence) {
                return Some((current, lane_key));
            }
            *top = Reverse((current.0, current.1, lane_key));
        }
        None
    }

    /// Removes an item that was placed from its lane and charges the customer for it.
    pub(crate) fn remove_placed(
        &mut self,
        item: QueuedItem,
        cost: u64,
        account: &mut CustomerAccount,
    ) {
        let lane = &mut self.lanes[item.lane];
        // Stale items may still be ahead of it.
        while let Some((_, work)) = lane.items.pop_front()
            && work != item.work
        {
            lane.stale_items = lane.stale_items.saturating_sub(1);
        }
        self.shapes[item.shape_key].blocked_at_placement = None;
        account.queued[self.band as usize] -= 1;
        self.charge(cost, account);
    }

    /// Advances the start tag of a customer whose work was placed, by the cost divided by its
    /// weight.
    pub(crate) fn charge(&mut self, cost: u64, account: &mut CustomerAccount) {
        let weight = account.policy.weight;
        let tag = &mut account.start_tags[self.band as usize];
        *tag = self.virtual_clock.charge(*tag, cost, weight);
    }

    /// Records that an item of a lane was cancelled or refused. It stays in the lane as a stale
    /// item.
    pub(crate) fn mark_stale(
        &mut self,
        lane: LaneKey,
        account: &mut CustomerAccount,
        work_records: &SlotMap<WorkKey, WorkRecord>,
    ) {
        account.queued[self.band as usize] -= 1;
        let lane = &mut self.lanes[lane];
        lane.stale_items += 1;
        // Bounds the number of stale items in a lane that does not advance while its work is
        // cancelled.
        if lane.stale_items > 32 + lane.items.len() / 2 {
            lane.items
                .retain(|(_, work)| work_records.contains_key(*work));
            lane.stale_items = 0;
        }
    }

    /// Skips a shape until a worker frees capacity for it. `placements` is the current placement
    /// count.
    pub(crate) fn block(&mut self, shape: ShapeKey, placements: u64) {
        let queue = &mut self.shapes[shape];
        queue.blocked = true;
        queue.remove_ready(shape, &mut self.ready);
        queue.blocked_at_placement.get_or_insert(placements);
    }

    /// Returns whether any shape is blocked, and those first work items of blocked shapes that
    /// other work was placed ahead of.
    pub(crate) fn passed_over(
        &mut self,
        placements: u64,
        work_records: &SlotMap<WorkKey, WorkRecord>,
    ) -> (bool, Vec<WorkKey>) {
        let mut passed = Vec::new();
        let mut blocked = false;
        for (key, queue) in self.shapes.iter_mut().filter(|(_, queue)| queue.blocked) {
            let top = queue.lane_heap.peek().map(|Reverse((.., lane))| *lane);
            let first = top.and_then(|lane| self.lanes[lane].items.front());
            match first.filter(|(_, work)| work_records.contains_key(*work)) {
                Some((_, work)) => {
                    blocked = true;
                    if queue.blocked_at_placement.is_some_and(|at| at < placements) {
                        passed.push(*work);
                    }
                }
                // The first item was cancelled or refused: the next call of `head` drops it and
                // finds the new first item.
                None => queue.unblock(key, &mut self.ready),
            }
        }
        (blocked, passed)
    }

    /// Returns the position of a queued work item, or `None` if it is in no lane.
    pub(crate) fn locate(&self, work: WorkKey, record: &WorkRecord) -> Option<QueuedItem> {
        let WorkStage::Queued(Some(lane)) = record.stage else {
            return None;
        };
        let shape_key = self.lanes.get(lane)?.shape;
        Some(QueuedItem {
            lane,
            shape_key,
            shape: self.shapes[shape_key].shape,
            work,
            customer: record.request.customer,
        })
    }

    /// Unblocks the shapes of which one task fits into `free`.
    pub(crate) fn unblock(&mut self, free: Resources) {
        for (key, queue) in self.shapes.iter_mut().filter(|(_, queue)| queue.blocked) {
            if queue.shape.need.fits(free) {
                queue.unblock(key, &mut self.ready);
            }
        }
    }

    /// Unblocks every shape.
    pub(crate) fn unblock_all(&mut self) {
        for (key, queue) in &mut self.shapes {
            queue.unblock(key, &mut self.ready);
        }
    }

    /// Removes the lane at the top of a shape's heap until [`BandQueue::unpark`] returns it.
    pub(crate) fn park(&mut self, item: QueuedItem) {
        self.shapes[item.shape_key].lane_heap.pop();
        self.lanes[item.lane].parked = true;
    }

    /// Returns a parked lane to the queue with its customer's start tag.
    pub(crate) fn unpark(&mut self, lane_key: LaneKey, tag: u64) {
        let lane = &mut self.lanes[lane_key];
        if std::mem::take(&mut lane.parked) {
            let sequence = lane.items.front().map_or(0, |(sequence, _)| *sequence);
            let shape = lane.shape;
            let queue = &mut self.shapes[shape];
            queue.lane_heap.push(Reverse((tag, sequence, lane_key)));
            queue.insert_ready(shape, (tag, sequence), &mut self.ready);
        }
    }
}
