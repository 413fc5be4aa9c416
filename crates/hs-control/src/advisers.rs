//! Which process calls the advice service for which step.
//!
//! The service handles one call at a time for each calling process. Long calls are kept away from some
//! of the processes, so that the short calls of urgent queues don't wait behind them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hs_cell::{AdviceReply, AdviceRequest, StepId, TaskId};
use smallvec::SmallVec;
use tokio::sync::mpsc;

use crate::message::AdviseRequest;
use crate::peers::PeerPool;
use crate::port::{AdvicePort, Platform};

/// Calls up to this duration are short, and may use any process.
const SHORT_CALL: Duration = Duration::from_millis(25);

/// Calls that take longer are long. Waiting gangs would otherwise hold up the calls of queues whose steps
/// need a fraction of that time.
const LONG_CALL: Duration = Duration::from_millis(300);

/// One of this many processes takes no long calls.
const NO_LONG_SHARE: usize = 3;

/// Processes that take short calls only, if there are enough of them.
const SHORT_ONLY: usize = 1;

/// Most workers that one call may name.
const MAX_NAMED: usize = 100;

/// Share of the fixed time of a call that its names may take before it is made in parts.
const NAMES_SHARE: f64 = 0.3;

/// One of this many idle processes may take a part of the same call.
const PART_SHARE: usize = 2;

/// Fewest processes among which some are set aside for short calls.
const MIN_SPLIT: usize = 3;

/// Time that a call may take beyond its expected duration.
const CALL_SLACK: Duration = Duration::from_millis(400);

/// Time that a call may take as a multiple of its expected duration.
const CALL_FACTOR: u32 = 2;

/// A process that may call the service.
#[derive(Clone, Debug)]
struct Adviser {
    /// Address of its peer listener; `None` for this process.
    address: Option<Arc<str>>,
    busy: bool,
}

/// A call that waits for a process.
#[derive(Debug)]
struct WaitingCall {
    request: AdviceRequest,
    workers: Vec<Arc<str>>,
}

impl WaitingCall {
    /// Returns into how many parts the call is split. Each has the fixed time of a call, so that this is for
    /// calls whose names take long, and where enough processes are idle.
    fn parts(&self, idle: usize) -> usize {
        let count = self.workers.len();
        let spec = self.request.spec;
        let names = spec.cost(count).saturating_sub(spec.base_cost);
        let wanted = names.as_secs_f64() / (spec.base_cost.as_secs_f64() * NAMES_SHARE).max(0.001);
        let useful = (wanted.ceil() as usize).min(idle / PART_SHARE).max(1);
        useful.max(count.div_ceil(MAX_NAMED))
    }
}

/// The end of a part of a call.
#[derive(Debug)]
pub(crate) struct AdviceEnd {
    pub step: StepId,
    pub reply: Option<AdviceReply>,
    /// Workers that were asked about.
    pub named: Vec<Arc<str>>,
    address: Option<Arc<str>>,
}

/// Waiting calls, and the processes that take them.
#[derive(Debug)]
pub(crate) struct AdviserPool<P> {
    platform: P,
    peers: PeerPool,
    advisers: Vec<Adviser>,
    waiting: Vec<WaitingCall>,
    /// Parts of calls that are out.
    parts: HashMap<StepId, usize>,
    ends: mpsc::Sender<AdviceEnd>,
}

impl<P: Platform> AdviserPool<P> {
    pub(crate) fn new(platform: P, peers: PeerPool, ends: mpsc::Sender<AdviceEnd>) -> Self {
        let advisers = vec![Adviser {
            address: None,
            busy: false,
        }];
        Self {
            platform,
            peers,
            advisers,
            waiting: Vec::new(),
            parts: HashMap::new(),
            ends,
        }
    }

    /// Sets the processes that are known to live, beside this one.
    pub(crate) fn set_members(&mut self, addresses: &[Arc<str>]) {
        let gone = |adviser: &Adviser| {
            let address = adviser.address.as_ref();
            address.is_some_and(|address| !addresses.contains(address))
        };
        self.advisers.retain(|adviser| !gone(adviser));
        for address in addresses {
            let known = |adviser: &Adviser| adviser.address.as_ref() == Some(address);
            if !self.advisers.iter().any(known) {
                self.advisers.push(Adviser {
                    address: Some(address.clone()),
                    busy: false,
                });
            }
        }
        self.dispatch();
    }

    /// Adds a call.
    pub(crate) fn ask(&mut self, request: AdviceRequest, workers: Vec<Arc<str>>) {
        self.waiting
            .retain(|call| call.request.step != request.step);
        self.waiting.push(WaitingCall { request, workers });
        self.waiting
            .sort_by_key(|call| (call.request.priority, call.request.start_by));
        self.dispatch();
    }

    /// Notes that a part of a call has ended. Returns whether it was the last one.
    pub(crate) fn ended(&mut self, end: &AdviceEnd) -> bool {
        let same = |adviser: &&mut Adviser| adviser.address == end.address;
        if let Some(adviser) = self.advisers.iter_mut().find(same) {
            adviser.busy = false;
        }
        let left = self.parts.get(&end.step).map_or(0, |parts| parts - 1);
        match left {
            0 => self.parts.remove(&end.step),
            left => self.parts.insert(end.step, left),
        };
        self.dispatch();
        left == 0
    }

    fn dispatch(&mut self) {
        let mut index = 0;
        while index < self.waiting.len() {
            let call = &self.waiting[index];
            let first = self.first_adviser(call.request.spec.cost(call.workers.len()));
            let advisers = self.advisers.iter().enumerate().skip(first);
            let idle = advisers.filter(|(_, adviser)| !adviser.busy);
            let idle: SmallVec<[usize; 16]> = idle.map(|(at, _)| at).collect();
            if idle.is_empty() {
                index += 1;
                continue;
            }
            let mut call = self.waiting.remove(index);
            let parts = call.parts(idle.len());
            let size = call.workers.len().div_ceil(parts).min(MAX_NAMED);
            for adviser in idle {
                if call.workers.is_empty() {
                    break;
                }
                let rest = call.workers.split_off(size.min(call.workers.len()));
                let workers = std::mem::replace(&mut call.workers, rest);
                self.advisers[adviser].busy = true;
                *self.parts.entry(call.request.step).or_default() += 1;
                let address = self.advisers[adviser].address.clone();
                self.send(&call.request, workers, address);
            }
            // What no idle process could take waits for the next one.
            if !call.workers.is_empty() {
                self.waiting.insert(index, call);
                index += 1;
            }
        }
    }

    /// Returns the position of the first process that may take a call of this duration.
    fn first_adviser(&self, cost: Duration) -> usize {
        let count = self.advisers.len();
        if count < MIN_SPLIT || cost <= SHORT_CALL {
            0
        } else if cost <= LONG_CALL {
            SHORT_ONLY
        } else {
            count.div_ceil(NO_LONG_SHARE)
        }
    }

    fn send(&self, request: &AdviceRequest, workers: Vec<Arc<str>>, address: Option<Arc<str>>) {
        let platform = self.platform.clone();
        let peers = self.peers.clone();
        let ends = self.ends.clone();
        let step = request.step;
        let limit = request.spec.cost(workers.len()) * CALL_FACTOR + CALL_SLACK;
        tokio::spawn(async move {
            let reply = match &address {
                None => advise_here(&platform, step, &workers, limit).await,
                Some(peer) => advise_at(&peers, peer, step, &workers, limit).await,
            };
            let end = AdviceEnd {
                step,
                reply,
                named: workers,
                address,
            };
            // An owner task that has ended needs no advice.
            let _ = ends.send(end).await;
        });
    }
}

async fn advise_here<P: AdvicePort>(
    platform: &P,
    step: StepId,
    workers: &[Arc<str>],
    limit: Duration,
) -> Option<AdviceReply> {
    match platform.advise(step, workers, limit).await {
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
    limit: Duration,
) -> Option<AdviceReply> {
    let request = AdviseRequest {
        step: step.to_string(),
        workers: workers.iter().map(ToString::to_string).collect(),
        limit_ms: u64::try_from(limit.as_millis()).unwrap_or(0),
    };
    let call = peers.call("advise", address, limit, |mut client| async move {
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

/// Reads a step as it is sent between processes.
pub(crate) fn parse_step(text: &str) -> Option<StepId> {
    let task: TaskId = format!("{text}.0").parse().ok()?;
    Some(task.step)
}
