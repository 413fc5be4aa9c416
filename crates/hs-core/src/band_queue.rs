//! Queue of one band.

use std::cmp::Reverse;
use std::collections::binary_heap::PeekMut;
use std::collections::{BTreeSet, BinaryHeap, HashMap, VecDeque};

use hs_wire::Resources;
use slotmap::{SlotMap, new_key_type};

use crate::customer_account::CustomerAccount;
use crate::work_record::{WorkRecord, WorkStage};
use crate::{CustomerKey, WorkBand, WorkKey, WorkRequest};

new_key_type! {
    /// Key of the waiting work of one customer and one shape.
    pub(crate) struct LaneKey;

    /// Key of a shape with waiting work.
    pub(crate) struct ShapeKey;
}

/// What decides whether a piece of work fits. Work of one shape fits or does not fit as a whole.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct WorkShape {
    /// What each task takes.
    pub(crate) need: Resources,
    /// Number of tasks.
    pub(crate) tasks: u16,
}

impl WorkShape {
    /// Returns the shape of a request.
    pub(crate) fn of(request: &WorkRequest) -> Self {
        Self {
            need: request.resources,
            tasks: request.tasks.max(1),
        }
    }

    /// Returns what all tasks take together.
    pub(crate) fn total(self) -> Resources {
        self.need.saturating_mul(u32::from(self.tasks))
    }
}

#[derive(Debug)]
struct ShapeQueue {
    shape: WorkShape,
    /// No worker had room; set back when a worker gets room that may do.
    blocked: bool,
    /// Number of placements when the shape's first work did not fit.
    blocked_at: Option<u64>,
    /// Number of lanes.
    lanes: usize,
    /// Lanes by virtual start time and age of their first work. Both only grow, so that an entry
    /// that is behind is corrected when it surfaces.
    heap: BinaryHeap<Reverse<(u64, u64, LaneKey)>>,
    /// Its entry among the shapes that may fit.
    listed: Option<(u64, u64)>,
}

impl ShapeQueue {
    /// Enters the shape among those that may fit if `order` is ahead of its present entry.
    fn list(
        &mut self,
        shape: ShapeKey,
        order: (u64, u64),
        ready: &mut BTreeSet<(u64, u64, ShapeKey)>,
    ) {
        if self.blocked || self.listed.is_some_and(|listed| listed <= order) {
            return;
        }
        self.unlist(shape, ready);
        ready.insert((order.0, order.1, shape));
        self.listed = Some(order);
    }

    /// Removes the shape from those that may fit.
    fn unlist(&mut self, shape: ShapeKey, ready: &mut BTreeSet<(u64, u64, ShapeKey)>) {
        if let Some((tag, sequence)) = self.listed.take() {
            ready.remove(&(tag, sequence, shape));
        }
    }

    /// Tries the shape again.
    fn unblock(&mut self, shape: ShapeKey, ready: &mut BTreeSet<(u64, u64, ShapeKey)>) {
        self.blocked = false;
        if let Some(Reverse((tag, sequence, _))) = self.heap.peek() {
            self.list(shape, (*tag, *sequence), ready);
        }
    }
}

#[derive(Debug)]
struct CustomerLane {
    customer: CustomerKey,
    shape: ShapeKey,
    items: VecDeque<(u64, WorkKey)>,
    stale: usize,
    parked: bool,
}

/// The first piece of work in line.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueHead {
    /// Its lane.
    pub(crate) lane: LaneKey,
    /// The shape's key.
    pub(crate) shape_key: ShapeKey,
    /// The shape.
    pub(crate) shape: WorkShape,
    /// The work.
    pub(crate) work: WorkKey,
    /// The customer.
    pub(crate) customer: CustomerKey,
}

/// Start-time fair queue over the customers of one band.
///
/// Work is kept by shape, so that work that does not fit holds up only work of its own shape.
#[derive(Debug)]
pub(crate) struct BandQueue {
    band: WorkBand,
    virtual_time: u64,
    shapes: SlotMap<ShapeKey, ShapeQueue>,
    by_shape: HashMap<WorkShape, ShapeKey>,
    /// Shapes that may fit, by the order of their first lane. As in the lanes, an entry that is
    /// behind is corrected when it surfaces.
    ready: BTreeSet<(u64, u64, ShapeKey)>,
    lanes: SlotMap<LaneKey, CustomerLane>,
    by_customer: HashMap<(CustomerKey, ShapeKey), LaneKey>,
}

impl BandQueue {
    /// Builds an empty queue.
    pub(crate) fn new(band: WorkBand) -> Self {
        Self {
            band,
            virtual_time: 0,
            shapes: SlotMap::with_key(),
            by_shape: HashMap::new(),
            ready: BTreeSet::new(),
            lanes: SlotMap::with_key(),
            by_customer: HashMap::new(),
        }
    }

    /// Adds a piece of work and returns its lane.
    pub(crate) fn push(
        &mut self,
        work: WorkKey,
        sequence: u64,
        request: &WorkRequest,
        account: &mut CustomerAccount,
    ) -> LaneKey {
        let band = self.band as usize;
        if account.queued[band] == 0 {
            account.tags[band] = account.tags[band].max(self.virtual_time);
        }
        account.queued[band] += 1;
        let shape = WorkShape::of(request);
        let shape_key = *self.by_shape.entry(shape).or_insert_with(|| {
            self.shapes.insert(ShapeQueue {
                shape,
                blocked: false,
                blocked_at: None,
                lanes: 0,
                heap: BinaryHeap::new(),
                listed: None,
            })
        });
        let customer = request.customer;
        let lane_key = *self
            .by_customer
            .entry((customer, shape_key))
            .or_insert_with(|| {
                let lane = self.lanes.insert(CustomerLane {
                    customer,
                    shape: shape_key,
                    items: VecDeque::new(),
                    stale: 0,
                    parked: false,
                });
                let queue = &mut self.shapes[shape_key];
                queue.lanes += 1;
                let order = (account.tags[band], sequence);
                queue.heap.push(Reverse((order.0, order.1, lane)));
                queue.list(shape_key, order, &mut self.ready);
                lane
            });
        self.lanes[lane_key].items.push_back((sequence, work));
        lane_key
    }

    /// Returns whether a shape is known not to fit anywhere.
    pub(crate) fn is_blocked(&self, shape: WorkShape) -> bool {
        let queue = self.by_shape.get(&shape).map(|key| &self.shapes[*key]);
        queue.is_some_and(|queue| queue.blocked)
    }

    /// Returns the first piece of work among the shapes that may fit.
    pub(crate) fn head(
        &mut self,
        accounts: &SlotMap<CustomerKey, CustomerAccount>,
        works: &SlotMap<WorkKey, WorkRecord>,
    ) -> Option<QueueHead> {
        while let Some((tag, sequence, shape_key)) = self.ready.first().copied() {
            let present = self.first_lane(shape_key, accounts, works);
            let queue = &mut self.shapes[shape_key];
            let Some((present, lane)) = present else {
                queue.unlist(shape_key, &mut self.ready);
                if queue.lanes == 0 {
                    self.by_shape.remove(&queue.shape);
                    self.shapes.remove(shape_key);
                }
                continue;
            };
            if present != (tag, sequence) {
                queue.unlist(shape_key, &mut self.ready);
                queue.list(shape_key, present, &mut self.ready);
                continue;
            }
            let (_, work) = *self.lanes[lane].items.front()?;
            return Some(QueueHead {
                lane,
                shape_key,
                shape: queue.shape,
                work,
                customer: self.lanes[lane].customer,
            });
        }
        None
    }

    /// Returns the first lane of a shape with its order, and drops what left the queue meanwhile.
    fn first_lane(
        &mut self,
        shape_key: ShapeKey,
        accounts: &SlotMap<CustomerKey, CustomerAccount>,
        works: &SlotMap<WorkKey, WorkRecord>,
    ) -> Option<((u64, u64), LaneKey)> {
        let queue = &mut self.shapes[shape_key];
        while let Some(mut top) = queue.heap.peek_mut() {
            let Reverse((tag, sequence, lane_key)) = *top;
            let lane = &mut self.lanes[lane_key];
            while let Some((_, work)) = lane.items.front()
                && !works.contains_key(*work)
            {
                lane.items.pop_front();
                lane.stale = lane.stale.saturating_sub(1);
            }
            let Some((first, _)) = lane.items.front() else {
                PeekMut::pop(top);
                self.by_customer.remove(&(lane.customer, shape_key));
                self.lanes.remove(lane_key);
                queue.lanes -= 1;
                continue;
            };
            let present = (accounts[lane.customer].tags[self.band as usize], *first);
            if present == (tag, sequence) {
                return Some((present, lane_key));
            }
            *top = Reverse((present.0, present.1, lane_key));
        }
        None
    }

    /// Removes the first piece of work of a lane, which was placed, and charges the customer.
    pub(crate) fn take(&mut self, head: QueueHead, cost: u64, account: &mut CustomerAccount) {
        let lane = &mut self.lanes[head.lane];
        // Cancelled work may still be ahead of it.
        while let Some((_, work)) = lane.items.pop_front()
            && work != head.work
        {
            lane.stale = lane.stale.saturating_sub(1);
        }
        self.shapes[head.shape_key].blocked_at = None;
        account.queued[self.band as usize] -= 1;
        self.charge(cost, account);
    }

    /// Advances the virtual time of a customer that was served.
    pub(crate) fn charge(&mut self, cost: u64, account: &mut CustomerAccount) {
        let tag = &mut account.tags[self.band as usize];
        // A customer whose work did not fit for a while gets no credit for that time, since it
        // would keep all others waiting until the credit is used up.
        self.virtual_time = self.virtual_time.max(*tag);
        *tag = self.virtual_time + (cost / u64::from(account.policy.weight.max(1))).max(1);
    }

    /// Notes that a piece of work left its lane without being placed.
    pub(crate) fn forget(
        &mut self,
        lane: LaneKey,
        account: &mut CustomerAccount,
        works: &SlotMap<WorkKey, WorkRecord>,
    ) {
        account.queued[self.band as usize] -= 1;
        let lane = &mut self.lanes[lane];
        lane.stale += 1;
        // Keeps a lane that does not move from growing when its work is cancelled.
        if lane.stale > 32 + lane.items.len() / 2 {
            lane.items.retain(|(_, work)| works.contains_key(*work));
            lane.stale = 0;
        }
    }

    /// Skips a shape until a worker gets room for it.
    pub(crate) fn block(&mut self, shape: ShapeKey, placements: u64) {
        let queue = &mut self.shapes[shape];
        queue.blocked = true;
        queue.unlist(shape, &mut self.ready);
        queue.blocked_at.get_or_insert(placements);
    }

    /// Returns whether a shape is blocked, and the first work of the blocked shapes that others
    /// were placed ahead of.
    pub(crate) fn passed_over(
        &mut self,
        placements: u64,
        works: &SlotMap<WorkKey, WorkRecord>,
    ) -> (bool, Vec<WorkKey>) {
        let mut passed = Vec::new();
        let mut blocked = false;
        for (key, queue) in self.shapes.iter_mut().filter(|(_, queue)| queue.blocked) {
            let top = queue.heap.peek().map(|Reverse((.., lane))| *lane);
            let first = top.and_then(|lane| self.lanes[lane].items.front());
            match first.filter(|(_, work)| works.contains_key(*work)) {
                Some((_, work)) => {
                    blocked = true;
                    if queue.blocked_at.is_some_and(|at| at < placements) {
                        passed.push(*work);
                    }
                }
                // The work was cancelled or shed: the next search finds the first one anew.
                None => queue.unblock(key, &mut self.ready),
            }
        }
        (blocked, passed)
    }

    /// Returns the place in line of work that waits.
    pub(crate) fn head_of(&self, work: WorkKey, record: &WorkRecord) -> Option<QueueHead> {
        let WorkStage::Queued(Some(lane)) = record.stage else {
            return None;
        };
        let shape_key = self.lanes.get(lane)?.shape;
        Some(QueueHead {
            lane,
            shape_key,
            shape: self.shapes[shape_key].shape,
            work,
            customer: record.request.customer,
        })
    }

    /// Tries shapes again, of which one task fits into `room`.
    pub(crate) fn unblock(&mut self, room: Resources) {
        for (key, queue) in self.shapes.iter_mut().filter(|(_, queue)| queue.blocked) {
            if queue.shape.need.fits(room) {
                queue.unblock(key, &mut self.ready);
            }
        }
    }

    /// Tries every shape again.
    pub(crate) fn unblock_all(&mut self) {
        for (key, queue) in &mut self.shapes {
            queue.unblock(key, &mut self.ready);
        }
    }

    /// Takes the lane at the head of a shape out of line until its customer uses less.
    pub(crate) fn park(&mut self, head: QueueHead) {
        self.shapes[head.shape_key].heap.pop();
        self.lanes[head.lane].parked = true;
    }

    /// Puts a lane back in line.
    pub(crate) fn unpark(&mut self, lane_key: LaneKey, tag: u64) {
        let lane = &mut self.lanes[lane_key];
        if std::mem::take(&mut lane.parked) {
            let sequence = lane.items.front().map_or(0, |(sequence, _)| *sequence);
            let shape = lane.shape;
            let queue = &mut self.shapes[shape];
            queue.heap.push(Reverse((tag, sequence, lane_key)));
            queue.list(shape, (tag, sequence), &mut self.ready);
        }
    }
}
