//! Admission of jobs of congested teams: a call to the owner before the job is stored.

use std::time::Duration;

use hs_cell::{AdmissionVerdict, JobId, JobSpec};
use tokio::time::timeout;

use crate::control::Control;
use crate::message::{AdmitRequest, JobRow};
use crate::port::Platform;
use crate::recover::JobValue;
use crate::shared::{OwnerRequest, Ownership};

/// Time in which the owner has to answer. Without an answer the job is stored as usual.
const ADMIT_TIMEOUT: Duration = Duration::from_millis(50);

impl<P: Platform> Control<P> {
    /// Asks the owner whether a job may be stored, if its team is congested. Without an answer it may.
    ///
    /// The job may have been stored before, by an earlier submission. A caller that refuses it has to make sure that
    /// it was not.
    pub async fn admit(&self, id: JobId, spec: &JobSpec) -> AdmissionVerdict {
        let verdict = match &spec.team {
            Some(team) => self.owner_verdict(team, id, spec).await,
            None => None,
        };
        verdict.unwrap_or(AdmissionVerdict::Admitted)
    }

    async fn owner_verdict(
        &self,
        team: &str,
        id: JobId,
        spec: &JobSpec,
    ) -> Option<AdmissionVerdict> {
        let ownership = self.context.ownership.borrow().clone();
        match ownership {
            Ownership::Unknown => None,
            Ownership::Here(owner) => {
                if !owner.status.congested_teams.contains(team) {
                    return None;
                }
                let spec = spec.clone().into();
                let answer = owner.ask(|reply| OwnerRequest::Admit(id, spec, reply));
                timeout(ADMIT_TIMEOUT, answer).await.ok()?
            }
            Ownership::Peer(address) => {
                // What an owner has said that is no longer heard of does not count.
                let is_heard = self.context.is_owner_reachable(self.platform.now());
                if !is_heard || !self.context.congested_teams.contains(team) {
                    return None;
                }
                let spec = serde_json::to_vec(&JobValue::Accepted(spec)).ok()?;
                let request = AdmitRequest {
                    job: Some(JobRow { id: id.0, spec }),
                };
                let call = self.context.peers.call(
                    "admit",
                    &address,
                    ADMIT_TIMEOUT,
                    |mut client| async move { client.admit(request).await },
                );
                match call.await {
                    Ok(reply) => Some(verdict_from_wire(reply.retry_after_s)),
                    Err(error) => {
                        log::debug!("{error}");
                        None
                    }
                }
            }
        }
    }
}

/// Converts a verdict to its form in messages: the seconds to wait, or 0 if the job is admitted.
pub(crate) fn verdict_to_wire(verdict: AdmissionVerdict) -> u32 {
    match verdict {
        AdmissionVerdict::Admitted => 0,
        AdmissionVerdict::Refused { retry_after } => {
            u32::try_from(retry_after.as_secs().max(1)).unwrap_or(u32::MAX)
        }
    }
}

fn verdict_from_wire(retry_after_s: u32) -> AdmissionVerdict {
    match retry_after_s {
        0 => AdmissionVerdict::Admitted,
        seconds => AdmissionVerdict::Refused {
            retry_after: Duration::from_secs(u64::from(seconds)),
        },
    }
}
