//! The gRPC service for the other processes of the cell.

use std::sync::Arc;
use std::time::Duration;

use hs_cell::{JobId, JobSpec};
use prost::Message;
use tonic::{Request, Response, Status};

use crate::admission::verdict_to_wire;
use crate::advice_dispatcher::parse_step;
use crate::control::Control;
use crate::intake::IntakeResult;
use crate::job_phase::phase_from_state;
use crate::keys;
use crate::members::{Candidate, Heartbeat};
use crate::message::cell_server::Cell;
use crate::message::{
    AcceptReply, AcceptRequest, AcceptResult, AdmitReply, AdmitRequest, AdviseReply, AdviseRequest,
    AllowedWorker, BeatReply, BeatRequest, OfferReply, OfferRequest, PendingReply, PendingRequest,
    StateReply, StateRequest,
};
use crate::notify::Notice;
use crate::port::Platform;
use crate::rank::VmRank;
use crate::recover::JobValue;
use crate::shared::{OwnerHandle, OwnerRequest, Ownership};
use crate::traffic::TrafficKind;

/// Upper bound of the timeout that a peer may set for a write by this process.
const MAX_ACCEPT_TIMEOUT: Duration = Duration::from_secs(3);

/// Upper bound of the time for which a peer may wait for the end of a job.
const MAX_STATE_WAIT: Duration = Duration::from_secs(2);

/// Implementation of the `Cell` service.
#[derive(Clone, Debug)]
pub(crate) struct PeerServer<P> {
    pub control: Control<P>,
}

impl<P: Platform> PeerServer<P> {
    fn owner(&self) -> Result<OwnerHandle, Status> {
        match &*self.control.context.ownership.borrow() {
            Ownership::Here(owner) => Ok(owner.clone()),
            Ownership::Unknown | Ownership::Peer(_) => Err(not_owner()),
        }
    }
}

fn not_owner() -> Status {
    Status::failed_precondition("not the owner")
}

#[tonic::async_trait]
impl<P: Platform> Cell for PeerServer<P> {
    async fn beat(&self, request: Request<BeatRequest>) -> Result<Response<BeatReply>, Status> {
        let request = request.into_inner();
        let request_bytes = request.encoded_len();
        let BeatRequest {
            node,
            address,
            work_us,
            rank,
            gave_up,
        } = request;
        let owner = self.owner()?;
        let now = self.control.platform.now();
        let heartbeat = Heartbeat {
            node: node.into(),
            address: address.into(),
            standing: Candidate {
                rank: VmRank::from_wire(rank),
                work_time: (work_us > 0).then(|| Duration::from_micros(work_us)),
                gave_up,
            },
        };
        let reply = owner.status.answer_heartbeat(heartbeat, now);
        let reply = BeatReply {
            fence: reply.fence,
            proof_age_ms: u64::try_from(reply.confirmation_age.as_millis()).unwrap_or(u64::MAX),
            next_beat_ms: u64::try_from(reply.heartbeat_interval.as_millis()).unwrap_or(u64::MAX),
            workers: reply.workers,
            best_rank: reply.best_rank.map_or(0, VmRank::to_wire),
            congested_teams: owner
                .status
                .congested_teams
                .names()
                .iter()
                .map(ToString::to_string)
                .collect(),
        };
        let bytes = request_bytes + reply.encoded_len();
        owner.status.traffic.record(TrafficKind::Heartbeats, bytes);
        Ok(Response::new(reply))
    }

    async fn offer(&self, request: Request<OfferRequest>) -> Result<Response<OfferReply>, Status> {
        let request = request.into_inner();
        let owner = self.owner()?;
        let mut jobs: Vec<(JobId, Arc<JobSpec>)> = Vec::with_capacity(request.jobs.len());
        for row in request.jobs {
            match JobValue::parse(&row.spec) {
                Some(JobValue::Accepted(spec)) => jobs.push((JobId(row.id), Arc::new(spec))),
                _ => return Err(Status::invalid_argument("a spec is unreadable")),
            }
        }
        let cancelled = request.cancelled.into_iter().map(JobId).collect();
        let answer = owner.ask(|reply| OwnerRequest::Offer {
            jobs,
            cancelled,
            reply,
        });
        answer.await.ok_or_else(not_owner)?;
        Ok(Response::new(OfferReply {}))
    }

    async fn state(&self, request: Request<StateRequest>) -> Result<Response<StateReply>, Status> {
        let StateRequest { id, wait_ms } = request.into_inner();
        let wait = Duration::from_millis(wait_ms).min(MAX_STATE_WAIT);
        let owner = self.owner()?;
        let state = owner.state(JobId(id), wait).await;
        let state = state.ok_or_else(not_owner)?;
        let phase = phase_from_state(state).into();
        Ok(Response::new(StateReply { phase }))
    }

    async fn pending(
        &self,
        request: Request<PendingRequest>,
    ) -> Result<Response<PendingReply>, Status> {
        let queue = request.into_inner().queue;
        let owner = self.owner()?;
        let answer = owner.ask(|reply| OwnerRequest::Pending(queue, reply));
        let count = answer.await.ok_or_else(not_owner)?;
        Ok(Response::new(PendingReply { count }))
    }

    async fn admit(&self, request: Request<AdmitRequest>) -> Result<Response<AdmitReply>, Status> {
        let owner = self.owner()?;
        let row = request.into_inner().job;
        let row = row.ok_or_else(|| Status::invalid_argument("the job is missing"))?;
        let Some(JobValue::Accepted(spec)) = JobValue::parse(&row.spec) else {
            return Err(Status::invalid_argument("a spec is unreadable"));
        };
        let (id, spec) = (JobId(row.id), Arc::new(spec));
        let answer = owner.ask(|reply| OwnerRequest::Admit(id, spec, reply));
        let verdict = answer.await.ok_or_else(not_owner)?;
        Ok(Response::new(AdmitReply {
            retry_after_s: verdict_to_wire(verdict),
        }))
    }

    async fn advise(
        &self,
        request: Request<AdviseRequest>,
    ) -> Result<Response<AdviseReply>, Status> {
        let request = request.into_inner();
        let step = parse_step(&request.step);
        let step = step.ok_or_else(|| Status::invalid_argument("the step is unreadable"))?;
        let workers: Vec<Arc<str>> = request.workers.into_iter().map(Into::into).collect();
        let timeout = Duration::from_millis(request.limit_ms);
        let reply = self.control.platform.advise(step, &workers, timeout).await;
        let reply = reply.map_err(|error| Status::unavailable(error.to_string()))?;
        let allowed = reply.allowed.into_iter().map(|(id, ticket)| AllowedWorker {
            id: id.to_string(),
            ticket: ticket.to_string(),
        });
        Ok(Response::new(AdviseReply {
            allowed: allowed.collect(),
            valid_ms: u64::try_from(reply.ticket_validity.as_millis()).unwrap_or(0),
        }))
    }

    async fn accept(
        &self,
        request: Request<AcceptRequest>,
    ) -> Result<Response<AcceptReply>, Status> {
        let request = request.into_inner();
        let row = request.job.unwrap_or_default();
        let id = JobId(row.id);
        let (key, value, notice) = if request.cancel {
            (keys::cancel(id), b"{}".to_vec(), Notice::Cancel(id))
        } else {
            let Some(JobValue::Accepted(spec)) = JobValue::parse(&row.spec) else {
                return Err(Status::invalid_argument("the spec is unreadable"));
            };
            let notice = Notice::Job(id, Arc::new(spec), row.spec.clone());
            (keys::job(id), row.spec, notice)
        };
        let timeout = Duration::from_millis(request.limit_ms).min(MAX_ACCEPT_TIMEOUT);
        let deadline = self.control.platform.now() + timeout;
        let result = self.control.accept_for_peer(key, value, deadline).await;
        let result = match result {
            IntakeResult::Stored => {
                self.control.notify.send(notice);
                AcceptResult::Stored
            }
            IntakeResult::AlreadyExists(stored) => {
                match notice {
                    Notice::Job(id, _, _) => self.control.notify_stored_job(id, stored),
                    Notice::Cancel(_) => self.control.notify.send(notice),
                }
                AcceptResult::Stored
            }
            IntakeResult::Refused => AcceptResult::Refused,
            IntakeResult::Unknown => AcceptResult::Unknown,
        };
        Ok(Response::new(AcceptReply {
            result: result.into(),
        }))
    }
}
