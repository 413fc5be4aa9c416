//! Server for the calls of peers.

use std::sync::Arc;

use hs_core::TaskEnd;
use hs_peer::message::forward_request::Call;
use hs_peer::message::peer_server::{Peer, PeerServer};
use hs_peer::message::{
    ForwardReply, ForwardRequest, Grant, HeartbeatReply, HeartbeatRequest, PullReply, PullRequest,
    ReleaseReply, ReleaseRequest, ReserveReply, ReserveRequest, ResolveReply, ResolveRequest,
    TaskEndKind, TasksReply, TasksRequest,
};
use hs_wire::WorkId;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;
use tonic::{Request, Response, Status};

use super::pool::MAX_MESSAGE_BYTES;
use crate::ledger::{LedgerAnswer, LedgerCall};
use crate::placer::{PlaceMode, PlaceRefusal, PlaceRequest, PlacerMessage};
use crate::port::Platform;
use crate::shared::NodeShared;

/// Serves the listener for peers until the process shuts down.
pub struct PeerServerTask<P: Platform> {
    shared: Arc<NodeShared<P>>,
}

impl<P: Platform> PeerServerTask<P> {
    /// Creates the server over the handles of the process.
    pub fn new(shared: Arc<NodeShared<P>>) -> Self {
        Self { shared }
    }

    /// Runs until `stop` becomes true.
    ///
    /// # Errors
    ///
    /// Returns the error of the transport if the listener fails.
    pub async fn run(
        self,
        listener: TcpListener,
        mut stop: watch::Receiver<bool>,
    ) -> Result<(), tonic::transport::Error> {
        let service = PeerServer::new(self).max_decoding_message_size(MAX_MESSAGE_BYTES);
        let ended = async move {
            let _ = stop.wait_for(|stopped| *stopped).await;
        };
        Server::builder()
            .tcp_nodelay(true)
            .add_service(service)
            .serve_with_incoming_shutdown(TcpListenerStream::new(listener), ended)
            .await
    }

    async fn place(&self, request: ReserveRequest) -> Result<Vec<Grant>, PlaceRefusal> {
        let request = PlaceRequest {
            customer: request.customer,
            workload: request.workload,
            tasks: request.task_ids.into_iter().map(WorkId).collect(),
            deadline: None,
            mode: match request.partial {
                true => PlaceMode::Partial,
                false => PlaceMode::Immediate,
            },
        };
        let grants = self.shared.placer.place(request).await?;
        let grants = grants.into_iter().map(|grant| Grant {
            worker: grant.worker,
            address: grant.address,
            fence: grant.fence,
            incarnation: grant.incarnation,
        });
        Ok(grants.collect())
    }
}

fn task_end(kind: i32) -> TaskEnd {
    match TaskEndKind::try_from(kind) {
        Ok(TaskEndKind::Done) => TaskEnd::Done,
        Ok(TaskEndKind::Failed) => TaskEnd::Failed,
        Ok(TaskEndKind::Refused) => TaskEnd::Refused,
        Ok(TaskEndKind::Stopped) | Err(_) => TaskEnd::Stopped,
    }
}

#[tonic::async_trait]
impl<P: Platform> Peer for PeerServerTask<P> {
    async fn heartbeat(
        &self,
        request: Request<HeartbeatRequest>,
    ) -> Result<Response<HeartbeatReply>, Status> {
        self.shared
            .member_task
            .heartbeat_received(request.into_inner())
            .await;
        Ok(Response::new(HeartbeatReply {
            manifest_revision: self.shared.view().map_or(0, |view| view.revision()),
            vm_list_version: self.shared.vms.borrow().version,
        }))
    }

    async fn reserve(
        &self,
        request: Request<ReserveRequest>,
    ) -> Result<Response<ReserveReply>, Status> {
        let mut reply = ReserveReply::default();
        match self.place(request.into_inner()).await {
            Ok(grants) => reply.grants = grants,
            Err(refusal) => reply.refusal = format!("{refusal:?}"),
        }
        Ok(Response::new(reply))
    }

    async fn release(
        &self,
        request: Request<ReleaseRequest>,
    ) -> Result<Response<ReleaseReply>, Status> {
        let ends = request.into_inner().ends.into_iter();
        let ends = ends
            .map(|end| (WorkId(end.task_id), task_end(end.kind)))
            .collect();
        self.shared.placer.send(PlacerMessage::Release { ends });
        Ok(Response::new(ReleaseReply {}))
    }

    async fn resolve(
        &self,
        request: Request<ResolveRequest>,
    ) -> Result<Response<ResolveReply>, Status> {
        let request = request.into_inner();
        let task = WorkId(request.task_id);
        let Some(resolved) = self.shared.links.resolve(&request.worker, &task).await else {
            return Ok(Response::new(ResolveReply::default()));
        };
        let task = resolved
            .task
            .as_ref()
            .map(serde_json::to_string)
            .transpose();
        let task = task.map_err(|error| Status::internal(error.to_string()))?;
        Ok(Response::new(ResolveReply {
            owned: true,
            found: task.is_some(),
            task_json: task.unwrap_or_default(),
            address: resolved.address,
            incarnation: resolved.incarnation,
            fence: resolved.fence,
        }))
    }

    async fn forward(
        &self,
        request: Request<ForwardRequest>,
    ) -> Result<Response<ForwardReply>, Status> {
        let request = request.into_inner();
        let call = match request.call {
            Some(Call::SubmissionJson(json)) => {
                let submission = serde_json::from_str(&json)
                    .map_err(|error| Status::invalid_argument(error.to_string()))?;
                LedgerCall::Submit {
                    submission,
                    expires_at_ms: request.expires_at_ms,
                }
            }
            Some(Call::Query(name)) => LedgerCall::Query {
                customer: name.customer,
                key: name.key,
            },
            Some(Call::Cancel(name)) => LedgerCall::Cancel {
                customer: name.customer,
                key: name.key,
            },
            None => return Err(Status::invalid_argument("the call is missing")),
        };
        let reply = match self.shared.ledger.call(request.partition, call).await {
            LedgerAnswer::Reply(reply) => ForwardReply {
                owned: true,
                owner: String::new(),
                reply_json: serde_json::to_string(&reply)
                    .map_err(|error| Status::internal(error.to_string()))?,
            },
            LedgerAnswer::NoRecord => ForwardReply {
                owned: true,
                ..ForwardReply::default()
            },
            LedgerAnswer::NotOwned { owner } => ForwardReply {
                owned: false,
                owner: owner.unwrap_or_default(),
                reply_json: String::new(),
            },
        };
        Ok(Response::new(reply))
    }

    async fn tasks(&self, request: Request<TasksRequest>) -> Result<Response<TasksReply>, Status> {
        let tasks = self
            .shared
            .placer
            .held_tasks(&request.into_inner().prefix)
            .await;
        Ok(Response::new(TasksReply { tasks }))
    }

    async fn pull(&self, request: Request<PullRequest>) -> Result<Response<PullReply>, Status> {
        let request = request.into_inner();
        let mut reply = PullReply::default();
        if let Some(view) = self.shared.view() {
            reply.manifest_revision = view.revision();
            if view.revision() > request.manifest_revision {
                reply.manifest_json.clone_from(&view.text);
            }
        }
        let vms = self.shared.vms.borrow().clone();
        reply.vm_list_version = vms.version;
        if vms.version > request.vm_list_version {
            reply.vm_list_json = serde_json::to_string(&*vms)
                .map_err(|error| Status::internal(error.to_string()))?;
        }
        Ok(Response::new(reply))
    }
}
