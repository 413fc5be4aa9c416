//! Which process calls the advice service for which step.
//!
//! The service handles one call at a time for each calling process. Long calls are kept away from some
//! of the processes, so that the short calls of urgent queues don't wait behind them.

use std::sync::Arc;
use std::time::Duration;

use hs_cell::{AdviceReply, AdviceRequest, StepId, TaskId};
use tokio::sync::mpsc;

use crate::message::AdviseRequest;
use crate::peers::PeerPool;
use crate::port::{AdvicePort, Platform};

/// Calls up to this duration are short, and may use any process.
const SHORT_CALL: Duration = Duration::from_millis(25);

/// Calls that take longer are long.
const LONG_CALL: Duration = Duration::from_millis(150);

/// One of this many processes takes no long calls.
const NO_LONG_SHARE: usize = 3;

/// Processes that take short calls only, if there are enough of them.
const SHORT_ONLY: usize = 1;

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

/// The end of a call.
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
            .sort_by_key(|call| (call.request.priority, call.request.objective_end));
        self.dispatch();
    }

    /// Notes that a call has ended.
    pub(crate) fn ended(&mut self, end: &AdviceEnd) {
        let same = |adviser: &&mut Adviser| adviser.address == end.address;
        if let Some(adviser) = self.advisers.iter_mut().find(same) {
            adviser.busy = false;
        }
        self.dispatch();
    }

    fn dispatch(&mut self) {
        let mut index = 0;
        while index < self.waiting.len() {
            let first = self.first_adviser(self.waiting[index].request.cost);
            let mut advisers = self.advisers.iter().skip(first);
            let free = advisers
                .position(|adviser| !adviser.busy)
                .map(|at| at + first);
            match free {
                Some(adviser) => {
                    let call = self.waiting.remove(index);
                    self.advisers[adviser].busy = true;
                    let address = self.advisers[adviser].address.clone();
                    self.send(call, address);
                }
                None => index += 1,
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

    fn send(&self, call: WaitingCall, address: Option<Arc<str>>) {
        let platform = self.platform.clone();
        let peers = self.peers.clone();
        let ends = self.ends.clone();
        tokio::spawn(async move {
            let step = call.request.step;
            let limit = call.request.cost * CALL_FACTOR + CALL_SLACK;
            let reply = match &address {
                None => advise_here(&platform, step, &call.workers, limit).await,
                Some(peer) => advise_at(&peers, peer, step, &call.workers, limit).await,
            };
            let end = AdviceEnd {
                step,
                reply,
                named: call.workers,
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
            valid: Duration::from_millis(reply.valid_ms),
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
