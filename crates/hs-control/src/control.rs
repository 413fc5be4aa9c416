//! What a process does for its clients.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_cell::{JobId, JobOutcome, JobSpec, JobState};
use tokio::sync::watch;

use crate::config::ClusterConfig;
use crate::intake::{IntakeHandle, IntakeResult};
use crate::keys;
use crate::message::{AcceptRequest, AcceptResult, JobPhase, JobRow, PendingRequest, StateRequest};
use crate::metrics::ControlMetrics;
use crate::notify::{Notice, NotifyHandle};
use crate::peers::PeerError;
use crate::port::{ClockPort, StorePort};
use crate::recover::JobValue;
use crate::shared::{NodeContext, OwnerMessage, Ownership};

/// Time that the owner may take to answer for a state.
const OWNER_LIMIT: Duration = Duration::from_millis(250);

/// Time that a read of the store may take.
const READ_LIMIT: Duration = Duration::from_millis(400);

/// Time that this process tries to write before it asks a peer to do so.
const OWN_TRY: Duration = Duration::from_millis(700);

/// What became of a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SubmitReply {
    /// The job is stored and will be run.
    Accepted,
    /// The job is not stored and will never run by this submission.
    Refused,
    /// The job may have been stored.
    Unknown,
}

/// What became of a cancellation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CancelReply {
    /// The job is cancelled, or has ended.
    Cancelled,
    /// There is no such job.
    NoJob,
    /// The cancellation may not have been stored.
    Unknown,
}

/// The state of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobStateReply {
    /// The job is known.
    State(JobState),
    /// There is no such job.
    NoJob,
    /// Neither the owner nor the store answers.
    Unknown,
}

/// Entry to the cell from any process.
#[derive(Clone, Debug)]
pub struct Control<P> {
    pub(crate) platform: P,
    pub(crate) context: NodeContext,
    pub(crate) intake: IntakeHandle,
    pub(crate) notify: NotifyHandle,
    pub(crate) ready: watch::Receiver<bool>,
}

impl<P: StorePort + ClockPort> Control<P> {
    /// Returns the configuration in force, or `None` if there is none yet.
    pub fn config(&self) -> Option<Arc<ClusterConfig>> {
        self.context.config.borrow().clone()
    }

    /// Returns whether this process should get new connections.
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// Returns the time of day in Unix milliseconds.
    pub fn unix_ms(&self) -> u64 {
        self.platform.unix_ms()
    }

    /// Returns the metrics of this process.
    pub fn metrics(&self) -> &ControlMetrics {
        &self.context.metrics
    }

    /// Stores a job. The same job may be submitted any number of times, at any process.
    pub async fn submit(&self, id: JobId, spec: JobSpec, limit: Duration) -> SubmitReply {
        let reply = self.submit_uncounted(id, spec, limit).await;
        self.context.metrics.submitted(reply);
        reply
    }

    async fn submit_uncounted(&self, id: JobId, spec: JobSpec, limit: Duration) -> SubmitReply {
        let Ok(value) = serde_json::to_vec(&JobValue::Accepted(&spec)) else {
            return SubmitReply::Refused;
        };
        let result = self.store(keys::job(id), &value, id, false, limit).await;
        match result {
            IntakeResult::Stored => {
                self.notify.send(Notice::Job(id, Arc::new(spec), value));
                SubmitReply::Accepted
            }
            IntakeResult::Present => SubmitReply::Accepted,
            IntakeResult::Refused => SubmitReply::Refused,
            IntakeResult::Unknown => SubmitReply::Unknown,
        }
    }

    /// Stores the cancellation of a job.
    pub async fn cancel(&self, id: JobId, limit: Duration) -> CancelReply {
        match self.state(id, Duration::ZERO).await {
            JobStateReply::NoJob => return CancelReply::NoJob,
            JobStateReply::State(JobState::Ended(_)) => return CancelReply::Cancelled,
            JobStateReply::State(_) | JobStateReply::Unknown => {}
        }
        match self.store(keys::cancel(id), b"{}", id, true, limit).await {
            IntakeResult::Stored | IntakeResult::Present => {
                self.notify.send(Notice::Cancel(id));
                CancelReply::Cancelled
            }
            IntakeResult::Refused | IntakeResult::Unknown => CancelReply::Unknown,
        }
    }

    /// Writes a row, through a peer if the store refuses this process.
    async fn store(
        &self,
        key: String,
        value: &[u8],
        id: JobId,
        cancel: bool,
        limit: Duration,
    ) -> IntakeResult {
        let now = self.platform.now();
        let own = limit.min(OWN_TRY);
        let result = self.intake.create(key, value.to_vec(), now + own).await;
        let left = (now + limit).saturating_duration_since(self.platform.now());
        if !matches!(result, IntakeResult::Refused | IntakeResult::Unknown) || left.is_zero() {
            return result;
        }
        let Ownership::Peer(address) = self.context.ownership.borrow().clone() else {
            return result;
        };
        if !self.context.owner_answers(self.platform.now()) {
            return result;
        }
        let spec = if cancel { Vec::new() } else { value.to_vec() };
        let request = AcceptRequest {
            job: Some(JobRow { id: id.0, spec }),
            cancel,
            limit_ms: u64::try_from(left.as_millis()).unwrap_or(0),
        };
        let call = self
            .context
            .peers
            .call("accept", &address, left, |mut client| async move {
                client.accept(request).await
            });
        match call.await.map(|reply| reply.result()) {
            Ok(AcceptResult::Stored) => IntakeResult::Stored,
            Ok(AcceptResult::Refused) => result,
            Ok(AcceptResult::Unknown) => IntakeResult::Unknown,
            Err(PeerError::ConnectionRefused { .. }) => result,
            Err(error) => {
                log::debug!("{error}");
                IntakeResult::Unknown
            }
        }
    }

    /// Creates a row for a peer that the store refuses.
    pub(crate) async fn accept_for_peer(
        &self,
        key: String,
        value: Vec<u8>,
        give_up_at: Instant,
    ) -> IntakeResult {
        self.intake.create(key, value, give_up_at).await
    }

    /// Returns the state of a job, from the owner or else from the store. Waits for the end of a job that
    /// has not ended, so that a caller that asks shortly before it need not ask again.
    pub async fn state(&self, id: JobId, wait: Duration) -> JobStateReply {
        if let Some(Some(state)) = self.owner_state(id, wait).await {
            return JobStateReply::State(state);
        }
        // The owner may not have heard of the job yet, so the store decides.
        match self.platform.read(&keys::job(id), READ_LIMIT).await {
            Ok(None) => JobStateReply::NoJob,
            Ok(Some(item)) => self.stored_state(id, item.value.as_deref()).await,
            Err(error) => {
                log::debug!("state of {id} not read: {error}");
                JobStateReply::Unknown
            }
        }
    }

    async fn stored_state(&self, id: JobId, value: Option<&[u8]>) -> JobStateReply {
        match value.and_then(JobValue::parse) {
            Some(JobValue::Ended(outcome)) => JobStateReply::State(JobState::Ended(outcome)),
            Some(JobValue::Accepted(_)) => {
                // A job whose progress stands in a segment is shown as queued until the owner answers.
                match self.platform.read(&keys::run(id), READ_LIMIT).await {
                    Ok(Some(_)) => JobStateReply::State(JobState::Running),
                    Ok(None) => JobStateReply::State(JobState::Queued),
                    Err(error) => {
                        log::debug!("progress of {id} not read: {error}");
                        JobStateReply::Unknown
                    }
                }
            }
            None => JobStateReply::Unknown,
        }
    }

    async fn owner_state(&self, id: JobId, wait: Duration) -> Option<Option<JobState>> {
        let ownership = self.context.ownership.borrow().clone();
        match ownership {
            Ownership::Unknown => None,
            Ownership::Here(owner) => owner.state(id, wait).await,
            Ownership::Peer(address) => {
                let request = StateRequest {
                    id: id.0,
                    wait_ms: u64::try_from(wait.as_millis()).unwrap_or(0),
                };
                let call = self.context.peers.call(
                    "state",
                    &address,
                    OWNER_LIMIT + wait,
                    |mut client| async move { client.state(request).await },
                );
                match call.await {
                    Ok(reply) => Some(state_of(reply.phase())),
                    Err(error) => {
                        log::debug!("{error}");
                        None
                    }
                }
            }
        }
    }

    /// Returns the number of jobs of a queue that wait, or `None` if the owner does not answer.
    pub async fn pending(&self, queue: &str) -> Option<u64> {
        let ownership = self.context.ownership.borrow().clone();
        match ownership {
            Ownership::Unknown => None,
            Ownership::Here(owner) => {
                let queue = queue.to_owned();
                owner.ask(|reply| OwnerMessage::Pending(queue, reply)).await
            }
            Ownership::Peer(address) => {
                let queue = queue.to_owned();
                let request = PendingRequest { queue };
                let call = self.context.peers.call(
                    "pending",
                    &address,
                    OWNER_LIMIT,
                    |mut client| async move { client.pending(request).await },
                );
                match call.await {
                    Ok(reply) => Some(reply.count),
                    Err(error) => {
                        log::debug!("{error}");
                        None
                    }
                }
            }
        }
    }
}

/// Reads a phase as it is sent between processes.
pub(crate) fn state_of(phase: JobPhase) -> Option<JobState> {
    match phase {
        JobPhase::Unknown => None,
        JobPhase::Queued => Some(JobState::Queued),
        JobPhase::Running => Some(JobState::Running),
        JobPhase::Completed => Some(JobState::Ended(JobOutcome::Completed)),
        JobPhase::Failed => Some(JobState::Ended(JobOutcome::Failed)),
        JobPhase::Cancelled => Some(JobState::Ended(JobOutcome::Cancelled)),
    }
}

/// Returns the phase that stands for a state between processes.
pub(crate) fn phase_of(state: Option<JobState>) -> JobPhase {
    match state {
        None => JobPhase::Unknown,
        Some(JobState::Queued) => JobPhase::Queued,
        Some(JobState::Running) => JobPhase::Running,
        Some(JobState::Ended(JobOutcome::Completed)) => JobPhase::Completed,
        Some(JobState::Ended(JobOutcome::Failed)) => JobPhase::Failed,
        Some(JobState::Ended(JobOutcome::Cancelled)) => JobPhase::Cancelled,
    }
}
