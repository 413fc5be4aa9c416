//! Distribution of advice requests over the processes of the cell.
//!
//! The advice service handles one call at a time for each calling process. A request is sent as one call,
//! or as several parts, each of which is a call of another process.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_share::JobClass;

use crate::StepId;
use crate::advice_callers::{AdviceCaller, AdviceCallers};
use crate::effect::AdviceRequest;
use crate::request_class::RequestClass;

/// Maximum number of workers that one call may name.
const MAX_WORKERS_PER_CALL: usize = 100;

/// Share of a request's base cost that the cost of its workers may reach before it is split into parts.
const MAX_WORKER_COST_RATIO: f64 = 0.3;

/// One in this many idle processes may take a part of the same request.
const IDLE_CALLERS_PER_PART: usize = 2;

/// Part of a request, which one process sends as one call.
#[derive(Clone, Debug)]
pub struct AdvicePart {
    /// Step that the request is for.
    pub step: StepId,
    /// IDs of the workers that the call names.
    pub workers: Vec<Arc<str>>,
    /// Process that sends the call.
    pub caller: AdviceCaller,
    /// Expected duration of the call.
    pub cost: Duration,
}

/// A request, or the rest of one, that waits for an idle process.
#[derive(Debug)]
struct WaitingRequest {
    request: AdviceRequest,
    workers: Vec<Arc<str>>,
}

impl WaitingRequest {
    fn class(&self) -> RequestClass {
        RequestClass::of(self.request.spec.cost(self.workers.len()))
    }

    fn key(&self) -> WaitingKey {
        WaitingKey {
            class: self.request.class,
            priority: self.request.priority,
            start_by: self.request.start_by,
            step: self.request.step,
        }
    }

    /// Returns the number of parts to split the request into. Every part has the base cost of a call, so
    /// splitting is only useful if the workers dominate the cost and enough processes are idle.
    fn part_count(&self, idle: usize) -> usize {
        let count = self.workers.len();
        let spec = self.request.spec;
        let worker_cost = spec.cost(count).saturating_sub(spec.base_cost);
        let wanted = worker_cost.as_secs_f64()
            / (spec.base_cost.as_secs_f64() * MAX_WORKER_COST_RATIO).max(0.001);
        let useful = (wanted.ceil() as usize)
            .min(idle / IDLE_CALLERS_PER_PART)
            .max(1);
        useful.max(count.div_ceil(MAX_WORKERS_PER_CALL))
    }
}

/// Sort key of a waiting request; the smallest is sent first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct WaitingKey {
    class: JobClass,
    priority: u8,
    start_by: Instant,
    step: StepId,
}

/// Waiting requests of one class, in order.
type ClassQueue = BTreeMap<WaitingKey, WaitingRequest>;

/// Queue of waiting requests, and the processes that send them.
#[derive(Debug, Default)]
pub struct AdviceQueue {
    callers: AdviceCallers,
    waiting: [ClassQueue; RequestClass::ALL.len()],
    /// Places of the waiting requests.
    places: HashMap<StepId, (RequestClass, WaitingKey)>,
    /// Number of parts in flight for each step.
    parts_in_flight: HashMap<StepId, usize>,
}

impl AdviceQueue {
    /// Sets the peer addresses of the live processes other than the owner.
    pub fn set_peers(&mut self, addresses: &[Arc<str>]) {
        self.callers.set_peers(addresses);
    }

    /// Queues a request. It replaces a waiting request for the same step.
    pub fn enqueue(&mut self, request: AdviceRequest, workers: Vec<Arc<str>>) {
        if let Some((class, key)) = self.places.remove(&request.step) {
            self.waiting[class as usize].remove(&key);
        }
        self.insert(WaitingRequest { request, workers });
    }

    /// Marks the caller of an answered part as idle. Returns whether no other part of the step is in flight or
    /// waits.
    pub fn part_ended(&mut self, step: StepId, caller: &AdviceCaller) -> bool {
        self.callers.call_ended(caller, true);
        self.end_part(step)
    }

    /// Marks the caller of a part whose call has failed as idle. It gets the next parts only if no other process is
    /// idle. Returns whether no other part of the step is in flight or waits.
    pub fn part_failed(&mut self, step: StepId, caller: &AdviceCaller) -> bool {
        self.callers.call_ended(caller, false);
        self.end_part(step)
    }

    fn end_part(&mut self, step: StepId) -> bool {
        let in_flight = self.parts_in_flight.remove(&step).unwrap_or(0);
        let left = in_flight.saturating_sub(1);
        if left > 0 {
            self.parts_in_flight.insert(step, left);
        }
        left == 0 && !self.places.contains_key(&step)
    }

    /// Takes the parts that idle processes can send now.
    pub fn take_parts(&mut self) -> Vec<AdvicePart> {
        let mut parts = Vec::new();
        while let Some(class) = self.next_class()
            && let Some((key, mut waiting)) = self.waiting[class as usize].pop_first()
        {
            self.places.remove(&key.step);
            self.split(&mut waiting, class, &mut parts);
            // The workers that are left over wait for the next idle process.
            if !waiting.workers.is_empty() {
                self.insert(waiting);
            }
        }
        parts
    }

    fn insert(&mut self, waiting: WaitingRequest) {
        let (class, key) = (waiting.class(), waiting.key());
        self.places.insert(key.step, (class, key));
        self.waiting[class as usize].insert(key, waiting);
    }

    /// Returns the class of the first request that an idle process can send.
    fn next_class(&self) -> Option<RequestClass> {
        let sendable = RequestClass::ALL.into_iter().filter_map(|class| {
            let (key, _) = self.waiting[class as usize].first_key_value()?;
            self.callers.has_idle(class).then_some((*key, class))
        });
        sendable.min_by_key(|(key, _)| *key).map(|(_, class)| class)
    }

    /// Moves workers of a request into parts for idle processes.
    fn split(
        &mut self,
        waiting: &mut WaitingRequest,
        class: RequestClass,
        parts: &mut Vec<AdvicePart>,
    ) {
        let step = waiting.request.step;
        let count = waiting.workers.len();
        let size = count.div_ceil(waiting.part_count(self.callers.idle_count(class)));
        let size = size.min(MAX_WORKERS_PER_CALL);
        while !waiting.workers.is_empty()
            && let Some(caller) = self.callers.take_idle(class)
        {
            let rest = waiting.workers.split_off(size.min(waiting.workers.len()));
            let workers = std::mem::replace(&mut waiting.workers, rest);
            *self.parts_in_flight.entry(step).or_default() += 1;
            parts.push(AdvicePart {
                step,
                cost: waiting.request.spec.cost(workers.len()),
                workers,
                caller,
            });
        }
    }
}
