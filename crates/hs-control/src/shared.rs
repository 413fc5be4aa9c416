//! State and messages that the tasks of a process share.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_cell::{AdmissionVerdict, JobId, JobSpec, JobState};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

use crate::config::ClusterConfig;
use crate::congestion::CongestedTeams;
use crate::metrics::ControlMetrics;
use crate::owner_status::OwnerStatus;
use crate::peers::PeerPool;
use crate::store_health::StoreHealth;

/// The owner of the cell, as far as this process knows.
#[derive(Clone, Debug)]
pub(crate) enum Ownership {
    /// The owner is not known.
    Unknown,
    /// This process owns the cell.
    Here(OwnerHandle),
    /// The process with this peer address owns the cell.
    Peer(Arc<str>),
}

/// Handle of the owner task of this process.
#[derive(Clone, Debug)]
pub(crate) struct OwnerHandle {
    pub sender: mpsc::Sender<OwnerRequest>,
    pub status: OwnerStatus,
}

/// A request to the owner task.
#[derive(Debug)]
pub(crate) enum OwnerRequest {
    Offer {
        jobs: Vec<(JobId, Arc<JobSpec>)>,
        cancelled: Vec<JobId>,
        reply: oneshot::Sender<()>,
    },
    State(JobId, oneshot::Sender<Option<JobState>>),
    /// Sends the final state of a job once it has ended.
    AwaitEnd(JobId, oneshot::Sender<JobState>),
    Pending(String, oneshot::Sender<u64>),
    /// Decides whether a job may be stored.
    Admit(JobId, Arc<JobSpec>, oneshot::Sender<AdmissionVerdict>),
    /// Releases the cell because the process shuts down.
    Release(oneshot::Sender<()>),
}

impl OwnerHandle {
    /// Sends a request and waits for the reply. Returns `None` if the owner task has ended.
    pub(crate) async fn ask<T>(
        &self,
        request: impl FnOnce(oneshot::Sender<T>) -> OwnerRequest,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.sender.send(request(reply)).await.ok()?;
        answer.await.ok()
    }

    /// Returns the state of a job. If it has not ended, waits up to `wait` for its end.
    ///
    /// Returns `None` if the owner task has ended, and `Some(None)` if the job is unknown to the cell.
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

/// Identity of a process, and its view of the configuration, the owner and the store.
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
    /// When the owner, which may be this process, was last known to have a recently confirmed claim.
    pub owner_last_seen: watch::Receiver<Option<Instant>>,
    /// Congested teams, as the owner has named them in its last reply to a heartbeat.
    pub congested_teams: CongestedTeams,
}

/// Time since the owner was last seen with a recently confirmed claim during which it counts as
/// reachable.
const OWNER_REACHABLE_FOR: Duration = Duration::from_millis(600);

impl NodeContext {
    /// Returns whether the owner has answered recently and was able to write to the store.
    pub(crate) fn is_owner_reachable(&self, now: Instant) -> bool {
        let seen = *self.owner_last_seen.borrow();
        seen.is_some_and(|at| now.saturating_duration_since(at) < OWNER_REACHABLE_FOR)
    }
}
