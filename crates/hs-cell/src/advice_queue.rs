//! Distribution of advice requests over the processes of the cell.
//!
//! The advice service handles one call at a time for each calling process. A request is sent as one call,
//! or as several parts, each of which is a call of another process. Some processes take no long requests,
//! so that the short requests of urgent queues don't wait behind them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::StepId;
use crate::effect::AdviceRequest;

/// Longest expected duration of a short request, which any process may send.
const MAX_SHORT_REQUEST: Duration = Duration::from_millis(25);

/// Longest expected duration of a medium request; requests that take longer are long. Without this
/// distinction, requests for waiting gangs would delay those of queues whose steps need a fraction of that
/// time.
const MAX_MEDIUM_REQUEST: Duration = Duration::from_millis(300);

/// One in this many processes takes no long requests.
const NO_LONG_REQUESTS_DIVISOR: usize = 3;

/// Number of processes reserved for short requests, if there are enough processes.
const SHORT_ONLY_CALLERS: usize = 1;

/// Maximum number of workers that one call may name.
const MAX_WORKERS_PER_CALL: usize = 100;

/// Share of a request's base cost that the cost of its workers may reach before it is split into parts.
const MAX_WORKER_COST_RATIO: f64 = 0.3;

/// One in this many idle processes may take a part of the same request.
const IDLE_CALLERS_PER_PART: usize = 2;

/// Minimum number of processes at which some are reserved for short requests.
const MIN_CALLERS_TO_RESERVE: usize = 3;

/// Process that calls the advice service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdviceCaller {
    /// The owner itself.
    Here,
    /// The process with this peer address.
    Peer(Arc<str>),
}

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

#[derive(Clone, Debug)]
struct CallerState {
    caller: AdviceCaller,
    busy: bool,
}

/// A request, or the rest of one, that waits for an idle process.
#[derive(Debug)]
struct WaitingRequest {
    request: AdviceRequest,
    workers: Vec<Arc<str>>,
}

impl WaitingRequest {
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

/// Queue of waiting requests, and the processes that send them.
#[derive(Debug)]
pub struct AdviceQueue {
    callers: Vec<CallerState>,
    waiting: Vec<WaitingRequest>,
    /// Number of parts in flight for each step.
    parts_in_flight: HashMap<StepId, usize>,
}

impl Default for AdviceQueue {
    fn default() -> Self {
        let owner = CallerState {
            caller: AdviceCaller::Here,
            busy: false,
        };
        Self {
            callers: vec![owner],
            waiting: Vec::new(),
            parts_in_flight: HashMap::new(),
        }
    }
}

impl AdviceQueue {
    /// Sets the peer addresses of the live processes other than the owner.
    pub fn set_peers(&mut self, addresses: &[Arc<str>]) {
        self.callers.retain(|state| match &state.caller {
            AdviceCaller::Here => true,
            AdviceCaller::Peer(address) => addresses.contains(address),
        });
        for address in addresses {
            let caller = AdviceCaller::Peer(address.clone());
            if !self.callers.iter().any(|state| state.caller == caller) {
                self.callers.push(CallerState {
                    caller,
                    busy: false,
                });
            }
        }
    }

    /// Queues a request. It replaces a waiting request for the same step.
    pub fn enqueue(&mut self, request: AdviceRequest, workers: Vec<Arc<str>>) {
        self.waiting
            .retain(|waiting| waiting.request.step != request.step);
        self.waiting.push(WaitingRequest { request, workers });
        self.waiting
            .sort_by_key(|waiting| (waiting.request.priority, waiting.request.start_by));
    }

    /// Marks the caller of a part as idle. Returns whether no other part of the step is in flight or waits.
    pub fn part_ended(&mut self, step: StepId, caller: &AdviceCaller) -> bool {
        let same = |state: &&mut CallerState| state.caller == *caller;
        if let Some(state) = self.callers.iter_mut().find(same) {
            state.busy = false;
        }
        let in_flight = self.parts_in_flight.remove(&step).unwrap_or(0);
        let left = in_flight.saturating_sub(1);
        if left > 0 {
            self.parts_in_flight.insert(step, left);
        }
        let is_waiting = self
            .waiting
            .iter()
            .any(|waiting| waiting.request.step == step);
        left == 0 && !is_waiting
    }

    /// Takes the parts that idle processes can send now.
    pub fn take_parts(&mut self) -> Vec<AdvicePart> {
        let mut parts = Vec::new();
        let mut index = 0;
        while index < self.waiting.len() {
            let idle = self.idle_callers(index);
            if idle.is_empty() {
                index += 1;
                continue;
            }
            let mut waiting = self.waiting.remove(index);
            self.split(&mut waiting, &idle, &mut parts);
            // The workers that are left over wait for the next idle process.
            if !waiting.workers.is_empty() {
                self.waiting.insert(index, waiting);
                index += 1;
            }
        }
        parts
    }

    /// Returns the positions of the idle processes that may take a waiting request.
    fn idle_callers(&self, index: usize) -> SmallVec<[usize; 16]> {
        let waiting = &self.waiting[index];
        let first = self.first_caller(waiting.request.spec.cost(waiting.workers.len()));
        let callers = self.callers.iter().enumerate().skip(first);
        let idle = callers.filter(|(_, state)| !state.busy);
        idle.map(|(position, _)| position).collect()
    }

    /// Moves workers of a request into parts for idle processes.
    fn split(&mut self, waiting: &mut WaitingRequest, idle: &[usize], parts: &mut Vec<AdvicePart>) {
        let step = waiting.request.step;
        let count = waiting.workers.len();
        let size = count.div_ceil(waiting.part_count(idle.len()));
        let size = size.min(MAX_WORKERS_PER_CALL);
        for position in idle {
            if waiting.workers.is_empty() {
                break;
            }
            let rest = waiting.workers.split_off(size.min(waiting.workers.len()));
            let workers = std::mem::replace(&mut waiting.workers, rest);
            let state = &mut self.callers[*position];
            state.busy = true;
            *self.parts_in_flight.entry(step).or_default() += 1;
            parts.push(AdvicePart {
                step,
                cost: waiting.request.spec.cost(workers.len()),
                workers,
                caller: state.caller.clone(),
            });
        }
    }

    /// Returns the index of the first process that may take a request with this expected duration.
    /// Processes before it are reserved for shorter requests.
    fn first_caller(&self, cost: Duration) -> usize {
        let count = self.callers.len();
        if count < MIN_CALLERS_TO_RESERVE || cost <= MAX_SHORT_REQUEST {
            0
        } else if cost <= MAX_MEDIUM_REQUEST {
            SHORT_ONLY_CALLERS
        } else {
            count.div_ceil(NO_LONG_REQUESTS_DIVISOR)
        }
    }
}
