//! What the tasks of a process share.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_cell::{JobId, JobSpec, JobState};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

use crate::config::ClusterConfig;
use crate::metrics::ControlMetrics;
use crate::peers::PeerPool;
use crate::store_health::StoreHealth;

/// Who owns the cell, as this process knows it.
#[derive(Clone, Debug)]
pub(crate) enum Ownership {
    /// Not known.
    Unknown,
    /// This process.
    Here(OwnerHandle),
    /// Another process, at this address.
    Peer(Arc<str>),
}

/// Sends requests to the owner task of this process.
#[derive(Clone, Debug)]
pub(crate) struct OwnerHandle {
    pub sender: mpsc::Sender<OwnerRequest>,
}

/// A request to the owner task.
#[derive(Debug)]
pub(crate) enum OwnerRequest {
    Heartbeat {
        node: String,
        address: String,
        reply: oneshot::Sender<HeartbeatReply>,
    },
    Offer {
        jobs: Vec<(JobId, Arc<JobSpec>)>,
        cancelled: Vec<JobId>,
        reply: oneshot::Sender<()>,
    },
    State(JobId, oneshot::Sender<Option<JobState>>),
    /// Wait for the end of a job.
    AwaitEnd(JobId, oneshot::Sender<JobState>),
    Pending(String, oneshot::Sender<u64>),
    /// The process ends: give the cell up.
    Release(oneshot::Sender<()>),
}

/// The owner's answer to a beat.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeartbeatReply {
    pub fence: u64,
    pub confirmation_age: Duration,
    /// When the process should send the next beat.
    pub heartbeat_interval: Duration,
}

impl OwnerHandle {
    /// Sends a request and waits for the answer. Returns `None` if the owner task has ended.
    pub(crate) async fn ask<T>(
        &self,
        request: impl FnOnce(oneshot::Sender<T>) -> OwnerRequest,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.sender.send(request(reply)).await.ok()?;
        answer.await.ok()
    }

    /// Asks for the state of a job, and waits for its end if it has not ended.
    ///
    /// Returns `None` if the owner task has ended, and `Some(None)` if the cell does not know the job.
    pub(crate) async fn state(&self, id: JobId, wait: Duration) -> Option<Option<JobState>> {
        let state = self.ask(|reply| OwnerRequest::State(id, reply)).await?;
        if wait.is_zero() || matches!(state, None | Some(JobState::Ended(_))) {
            return Some(state);
        }
        let end = self.ask(|reply| OwnerRequest::AwaitEnd(id, reply));
        match timeout(wait, end).await {
            Ok(Some(end)) => Some(Some(end)),
            Ok(None) | Err(_) => Some(state),
        }
    }
}

/// Name, addresses and views of a process.
#[derive(Clone, Debug)]
pub(crate) struct NodeContext {
    pub node: Arc<str>,
    pub address: Arc<str>,
    pub started_ms: u64,
    pub config: watch::Receiver<Option<Arc<ClusterConfig>>>,
    pub ownership: watch::Receiver<Ownership>,
    pub peers: PeerPool,
    pub store_health: StoreHealth,
    pub metrics: ControlMetrics,
    /// When the owner, which may be this process, last had a fresh proof of its claim.
    pub owner_last_seen: watch::Receiver<Option<Instant>>,
}

/// Time since the owner's last answer after which it is not asked any more.
const OWNER_REACHABLE_FOR: Duration = Duration::from_millis(600);

impl NodeContext {
    /// Returns whether the owner has answered lately, and could write to the store.
    pub(crate) fn is_owner_reachable(&self, now: Instant) -> bool {
        let seen = *self.owner_last_seen.borrow();
        seen.is_some_and(|at| now.saturating_duration_since(at) < OWNER_REACHABLE_FOR)
    }
}
