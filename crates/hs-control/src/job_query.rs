//! Queries of clients: the states of jobs, from the owner or else from the store, and the lengths of queues.

use std::time::Duration;

use hs_cell::{JobId, JobState};

use crate::control::{Control, JobStateReply};
use crate::job_phase::state_from_phase;
use crate::keys;
use crate::message::{PendingRequest, StateRequest};
use crate::port::{ClockPort, StorePort};
use crate::recover::JobValue;
use crate::shared::{OwnerRequest, Ownership};

/// Timeout of a query to the owner, in addition to the wait for the end of a job.
const OWNER_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout of a read from the store.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of state requests that a process handles at a time. It is above the connections of clients of the
/// smallest VM, and below the concurrent calls of a connection to the owner, so that heartbeats never wait for them.
pub(crate) const MAX_STATE_REQUESTS: usize = 768;

impl<P: StorePort + ClockPort> Control<P> {
    /// Returns the state of a job, from the owner or else from the store.
    ///
    /// If the job has not ended, waits up to `wait` for its end, so that a caller that asks shortly
    /// before the end does not have to ask again.
    ///
    /// Beyond [`MAX_STATE_REQUESTS`] at a time, the state is not asked for.
    pub async fn state(&self, id: JobId, wait: Duration) -> JobStateReply {
        let Ok(_permit) = self.state_permits.try_acquire() else {
            let metrics = &self.context.metrics;
            metrics.record_turned_away("state_requests", 1);
            return JobStateReply::Unknown;
        };
        self.current_state(id, wait).await
    }

    pub(crate) async fn current_state(&self, id: JobId, wait: Duration) -> JobStateReply {
        if let Some(Some(state)) = self.owner_state(id, wait).await {
            return JobStateReply::State(state);
        }
        // The owner may not have been notified of the job yet, so the store is authoritative.
        match self.platform.read(&keys::job(id), READ_TIMEOUT).await {
            Ok(None) => JobStateReply::NoJob,
            Ok(Some(item)) => self.stored_state(id, item.value.as_deref()).await,
            Err(error) => {
                log::debug!("failed to read the state of job {id}: {error}");
                JobStateReply::Unknown
            }
        }
    }

    async fn stored_state(&self, id: JobId, value: Option<&[u8]>) -> JobStateReply {
        match value.and_then(JobValue::parse) {
            Some(JobValue::Ended(end)) => JobStateReply::State(JobState::Ended(end.outcome)),
            Some(JobValue::Accepted(_)) => {
                // Segments are not read here, so a job whose progress is in a segment is reported as
                // queued until the owner answers.
                match self.platform.read(&keys::progress(id), READ_TIMEOUT).await {
                    Ok(Some(_)) => JobStateReply::State(JobState::Running),
                    Ok(None) => JobStateReply::State(JobState::Queued),
                    Err(error) => {
                        log::debug!("failed to read the progress of job {id}: {error}");
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
                    OWNER_TIMEOUT + wait,
                    |mut client| async move { client.state(request).await },
                );
                match call.await {
                    Ok(reply) => Some(state_from_phase(reply.phase())),
                    Err(error) => {
                        log::debug!("{error}");
                        None
                    }
                }
            }
        }
    }

    /// Returns the number of pending jobs of a queue, or `None` if the owner does not answer.
    pub async fn pending(&self, queue: &str) -> Option<u64> {
        let ownership = self.context.ownership.borrow().clone();
        match ownership {
            Ownership::Unknown => None,
            Ownership::Here(owner) => {
                let queue = queue.to_owned();
                owner.ask(|reply| OwnerRequest::Pending(queue, reply)).await
            }
            Ownership::Peer(address) => {
                let queue = queue.to_owned();
                let request = PendingRequest { queue };
                let call = self.context.peers.call(
                    "pending",
                    &address,
                    OWNER_TIMEOUT,
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
