//! Sends the parts of advice requests, as calls of this process or of its peers.

use std::sync::Arc;
use std::time::Duration;

use hs_cell::{AdviceCaller, AdvicePart, AdviceQueue, AdviceReply, AdviceRequest, StepId, TaskId};
use tokio::sync::mpsc;

use crate::message::AdviseRequest;
use crate::peers::PeerPool;
use crate::port::{AdvicePort, Platform};

/// Constant term of a call's timeout.
const CALL_TIMEOUT_MARGIN: Duration = Duration::from_millis(400);

/// Multiple of a call's expected duration in its timeout.
const CALL_TIMEOUT_FACTOR: u32 = 2;

/// The result of a part of a request.
#[derive(Debug)]
pub(crate) struct AdvicePartEnd {
    pub step: StepId,
    /// `None` if the call failed.
    pub reply: Option<AdviceReply>,
    /// Workers that the part named.
    pub workers: Vec<Arc<str>>,
    caller: AdviceCaller,
}

/// Sends advice requests to the advice service from the processes of the cell.
#[derive(Debug)]
pub(crate) struct AdviceDispatcher<P> {
    platform: P,
    peers: PeerPool,
    queue: AdviceQueue,
    ends: mpsc::Sender<AdvicePartEnd>,
}

impl<P: Platform> AdviceDispatcher<P> {
    pub(crate) fn new(platform: P, peers: PeerPool, ends: mpsc::Sender<AdvicePartEnd>) -> Self {
        Self {
            platform,
            peers,
            queue: AdviceQueue::default(),
            ends,
        }
    }

    /// Sets the peer addresses of the live processes other than this one.
    pub(crate) fn set_members(&mut self, addresses: &[Arc<str>]) {
        self.queue.set_peers(addresses);
        self.dispatch();
    }

    /// Queues a request. It replaces a waiting request for the same step.
    pub(crate) fn enqueue(&mut self, request: AdviceRequest, workers: Vec<Arc<str>>) {
        self.queue.enqueue(request, workers);
        self.dispatch();
    }

    /// Marks the caller of a part as idle. Returns whether this was the last part of its request.
    pub(crate) fn part_ended(&mut self, end: &AdvicePartEnd) -> bool {
        let is_last = match end.reply {
            Some(_) => self.queue.part_ended(end.step, &end.caller),
            None => self.queue.part_failed(end.step, &end.caller),
        };
        self.dispatch();
        is_last
    }

    fn dispatch(&mut self) {
        for part in self.queue.take_parts() {
            self.send(part);
        }
    }

    fn send(&self, part: AdvicePart) {
        let platform = self.platform.clone();
        let peers = self.peers.clone();
        let ends = self.ends.clone();
        let AdvicePart {
            step,
            workers,
            caller,
            cost,
        } = part;
        let timeout = cost * CALL_TIMEOUT_FACTOR + CALL_TIMEOUT_MARGIN;
        tokio::spawn(async move {
            let reply = match &caller {
                AdviceCaller::Here => advise_here(&platform, step, &workers, timeout).await,
                AdviceCaller::Peer(peer) => advise_at(&peers, peer, step, &workers, timeout).await,
            };
            let end = AdvicePartEnd {
                step,
                reply,
                workers,
                caller,
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
