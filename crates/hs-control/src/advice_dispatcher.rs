//! Distributes advice requests over the processes of the cell.
//!
//! The advice service handles one call at a time for each calling process. A request is sent as one call,
//! or as several parts, each of which is a call of another process. Some processes take no long requests,
//! so that the short requests of urgent queues don't wait behind them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hs_cell::{AdviceReply, AdviceRequest, StepId, TaskId};
use smallvec::SmallVec;
use tokio::sync::mpsc;

use crate::message::AdviseRequest;
use crate::peers::PeerPool;
use crate::port::{AdvicePort, Platform};

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

/// Constant term of a call's timeout.
const CALL_TIMEOUT_MARGIN: Duration = Duration::from_millis(400);

/// Multiple of a call's expected duration in its timeout.
const CALL_TIMEOUT_FACTOR: u32 = 2;

/// A process that can call the advice service.
#[derive(Clone, Debug)]
struct Caller {
    /// Address of the process's peer listener; `None` for this process.
    address: Option<Arc<str>>,
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

/// The result of a part of a request.
#[derive(Debug)]
pub(crate) struct AdvicePartEnd {
    pub step: StepId,
    /// `None` if the call failed.
    pub reply: Option<AdviceReply>,
    /// Workers that the part named.
    pub workers: Vec<Arc<str>>,
    address: Option<Arc<str>>,
}

/// Queue of waiting requests, and the processes that send them.
#[derive(Debug)]
pub(crate) struct AdviceDispatcher<P> {
    platform: P,
    peers: PeerPool,
    callers: Vec<Caller>,
    waiting: Vec<WaitingRequest>,
    /// Number of parts in flight for each step.
    parts_in_flight: HashMap<StepId, usize>,
    ends: mpsc::Sender<AdvicePartEnd>,
}

impl<P: Platform> AdviceDispatcher<P> {
    pub(crate) fn new(platform: P, peers: PeerPool, ends: mpsc::Sender<AdvicePartEnd>) -> Self {
        let callers = vec![Caller {
            address: None,
            busy: false,
        }];
        Self {
            platform,
            peers,
            callers,
            waiting: Vec::new(),
            parts_in_flight: HashMap::new(),
            ends,
        }
    }

    /// Sets the peer addresses of the live processes other than this one.
    pub(crate) fn set_members(&mut self, addresses: &[Arc<str>]) {
        let gone = |caller: &Caller| {
            let address = caller.address.as_ref();
            address.is_some_and(|address| !addresses.contains(address))
        };
        self.callers.retain(|caller| !gone(caller));
        for address in addresses {
            let known = |caller: &Caller| caller.address.as_ref() == Some(address);
            if !self.callers.iter().any(known) {
                self.callers.push(Caller {
                    address: Some(address.clone()),
                    busy: false,
                });
            }
        }
        self.dispatch();
    }

    /// Queues a request. It replaces a waiting request for the same step.
    pub(crate) fn enqueue(&mut self, request: AdviceRequest, workers: Vec<Arc<str>>) {
        self.waiting
            .retain(|waiting| waiting.request.step != request.step);
        self.waiting.push(WaitingRequest { request, workers });
        self.waiting
            .sort_by_key(|waiting| (waiting.request.priority, waiting.request.start_by));
        self.dispatch();
    }

    /// Marks the caller of a part as idle. Returns whether no other part of the same step is in flight.
    pub(crate) fn part_ended(&mut self, end: &AdvicePartEnd) -> bool {
        let same = |caller: &&mut Caller| caller.address == end.address;
        if let Some(caller) = self.callers.iter_mut().find(same) {
            caller.busy = false;
        }
        let left = self
            .parts_in_flight
            .get(&end.step)
            .map_or(0, |parts| parts - 1);
        match left {
            0 => self.parts_in_flight.remove(&end.step),
            left => self.parts_in_flight.insert(end.step, left),
        };
        self.dispatch();
        left == 0
    }

    fn dispatch(&mut self) {
        let mut index = 0;
        while index < self.waiting.len() {
            let waiting = &self.waiting[index];
            let first = self.first_caller(waiting.request.spec.cost(waiting.workers.len()));
            let callers = self.callers.iter().enumerate().skip(first);
            let idle = callers.filter(|(_, caller)| !caller.busy);
            let idle: SmallVec<[usize; 16]> = idle.map(|(at, _)| at).collect();
            if idle.is_empty() {
                index += 1;
                continue;
            }
            let mut waiting = self.waiting.remove(index);
            let parts = waiting.part_count(idle.len());
            let size = waiting
                .workers
                .len()
                .div_ceil(parts)
                .min(MAX_WORKERS_PER_CALL);
            for caller in idle {
                if waiting.workers.is_empty() {
                    break;
                }
                let rest = waiting.workers.split_off(size.min(waiting.workers.len()));
                let workers = std::mem::replace(&mut waiting.workers, rest);
                self.callers[caller].busy = true;
                *self
                    .parts_in_flight
                    .entry(waiting.request.step)
                    .or_default() += 1;
                let address = self.callers[caller].address.clone();
                self.send(&waiting.request, workers, address);
            }
            // The workers that are left over wait for the next idle process.
            if !waiting.workers.is_empty() {
                self.waiting.insert(index, waiting);
                index += 1;
            }
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

    fn send(&self, request: &AdviceRequest, workers: Vec<Arc<str>>, address: Option<Arc<str>>) {
        let platform = self.platform.clone();
        let peers = self.peers.clone();
        let ends = self.ends.clone();
        let step = request.step;
        let timeout = request.spec.cost(workers.len()) * CALL_TIMEOUT_FACTOR + CALL_TIMEOUT_MARGIN;
        tokio::spawn(async move {
            let reply = match &address {
                None => advise_here(&platform, step, &workers, timeout).await,
                Some(peer) => advise_at(&peers, peer, step, &workers, timeout).await,
            };
            let end = AdvicePartEnd {
                step,
                reply,
                workers,
                address,
            };
            // The receiver is gone if the owner task has ended.
            let _ = ends.send(end).await;
        });
    }
}

async fn advise_here<P: AdvicePort>(
    platform: &P,
    step: StepId,
    workers: &[Arc<str>],
    timeout: Duration,
) -> Option<AdviceReply> {
    match platform.advise(step, workers, timeout).await {
        Ok(reply) => Some(reply),
        Err(error) => {
            log::debug!("{error}");
            None
        }
    }
}

async fn advise_at(
    peers: &PeerPool,
    address: &str,
    step: StepId,
    workers: &[Arc<str>],
    timeout: Duration,
) -> Option<AdviceReply> {
    let request = AdviseRequest {
        step: step.to_string(),
        workers: workers.iter().map(ToString::to_string).collect(),
        limit_ms: u64::try_from(timeout.as_millis()).unwrap_or(0),
    };
    let call = peers.call("advise", address, timeout, |mut client| async move {
        client.advise(request).await
    });
    match call.await {
        Ok(reply) => Some(AdviceReply {
            allowed: reply
                .allowed
                .into_iter()
                .map(|worker| (worker.id.into(), worker.ticket.into()))
                .collect(),
            ticket_validity: Duration::from_millis(reply.valid_ms),
        }),
        Err(error) => {
            log::debug!("{error}");
            None
        }
    }
}

/// Parses a step in the format of [`AdviseRequest::step`].
pub(crate) fn parse_step(text: &str) -> Option<StepId> {
    let task: TaskId = format!("{text}.0").parse().ok()?;
    Some(task.step)
}
