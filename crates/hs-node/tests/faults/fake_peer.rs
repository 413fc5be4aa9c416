//! A peer whose replies the test chooses.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hs_peer::message::peer_client::PeerClient;
use hs_peer::message::peer_server::{Peer, PeerServer};
use hs_peer::message::{
    ForwardReply, ForwardRequest, HeartbeatReply, HeartbeatRequest, HeldTask, PullReply,
    PullRequest, ReleaseReply, ReleaseRequest, ReserveReply, ReserveRequest, ResolveReply,
    ResolveRequest, Resources as FreeResources, TasksReply, TasksRequest,
};
use hs_wire::{Resources, VmEntry, VmRole};
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::{Channel, Endpoint, Server};
use tonic::{Request, Response, Status};

use crate::harness::vm;

/// Interval between heartbeats, less than that of a real process.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Replies of a fake peer. `None` is an error.
#[derive(Clone, Debug, Default)]
pub struct PeerReplies {
    /// Delay of the replies to reservations.
    pub delay: Duration,
    pub tasks: Option<Vec<HeldTask>>,
    pub reserve: Option<ReserveReply>,
    pub resolve: Option<ResolveReply>,
    pub forward: Option<ForwardReply>,
    pub pull: Option<PullReply>,
}

/// The peer `e1`. Dropping it stops the peer.
pub struct FakePeer {
    pub address: SocketAddr,
    replies: Arc<Mutex<PeerReplies>>,
    heartbeats: Arc<AtomicUsize>,
    tasks: JoinSet<()>,
}

#[derive(Clone)]
struct FakeService(Arc<Mutex<PeerReplies>>, Arc<AtomicUsize>);

impl FakePeer {
    /// Starts the server of the peer.
    pub fn start(listener: TcpListener, replies: PeerReplies) -> Self {
        let address = listener.local_addr().expect("address");
        let replies = Arc::new(Mutex::new(replies));
        let heartbeats = Arc::new(AtomicUsize::new(0));
        let service = PeerServer::new(FakeService(replies.clone(), heartbeats.clone()));
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let server = Server::builder().add_service(service);
            let incoming = TcpListenerStream::new(listener);
            let _ = server.serve_with_incoming(incoming).await;
        });
        Self {
            address,
            replies,
            heartbeats,
            tasks,
        }
    }

    /// Returns the number of heartbeats that the peer has received.
    pub fn heartbeat_count(&self) -> usize {
        self.heartbeats.load(Ordering::Relaxed)
    }

    /// Returns the entry of the peer in the VM list.
    pub fn vm(&self) -> VmEntry {
        vm("e1", self.address, VmRole::Entry, Resources::ZERO)
    }

    /// Changes the replies.
    pub fn set(&self, change: impl FnOnce(&mut PeerReplies)) {
        change(&mut self.replies.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Sends heartbeats to a process from now on.
    pub fn send_heartbeats(&mut self, target: SocketAddr) {
        let heartbeat = heartbeat(self.address);
        self.tasks.spawn(async move {
            let mut client = connect(target);
            loop {
                let _ = client.heartbeat(heartbeat.clone()).await;
                tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            }
        });
    }
}

/// Returns a heartbeat of the peer `e1` with much free capacity.
pub fn heartbeat(address: SocketAddr) -> HeartbeatRequest {
    HeartbeatRequest {
        id: "e1".to_owned(),
        data_centre: "dc1".to_owned(),
        address: address.to_string(),
        incarnation: 1,
        free: Some(FreeResources {
            cpu_milli: 64_000,
            memory_mib: 64_000,
            accelerators: 64,
            slots: 64,
            connections: 64,
        }),
        ..HeartbeatRequest::default()
    }
}

/// Returns a client of the peer listener of a process.
pub fn connect(target: SocketAddr) -> PeerClient<Channel> {
    let endpoint = Endpoint::from_shared(format!("http://{target}")).expect("address");
    PeerClient::new(endpoint.connect_lazy())
}

impl FakeService {
    fn reply<T>(
        &self,
        select: impl FnOnce(&PeerReplies) -> Option<T>,
    ) -> Result<Response<T>, Status> {
        let replies = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let reply = select(&replies).ok_or_else(|| Status::unavailable("no reply is set"))?;
        Ok(Response::new(reply))
    }
}

#[tonic::async_trait]
impl Peer for FakeService {
    async fn heartbeat(
        &self,
        _: Request<HeartbeatRequest>,
    ) -> Result<Response<HeartbeatReply>, Status> {
        self.1.fetch_add(1, Ordering::Relaxed);
        Ok(Response::new(HeartbeatReply::default()))
    }

    async fn reserve(&self, _: Request<ReserveRequest>) -> Result<Response<ReserveReply>, Status> {
        let delay = self.reply(|replies| Some(replies.delay))?.into_inner();
        tokio::time::sleep(delay).await;
        self.reply(|replies| replies.reserve.clone())
    }

    async fn release(&self, _: Request<ReleaseRequest>) -> Result<Response<ReleaseReply>, Status> {
        Ok(Response::new(ReleaseReply {}))
    }

    async fn resolve(&self, _: Request<ResolveRequest>) -> Result<Response<ResolveReply>, Status> {
        self.reply(|replies| replies.resolve.clone())
    }

    async fn forward(&self, _: Request<ForwardRequest>) -> Result<Response<ForwardReply>, Status> {
        self.reply(|replies| replies.forward.clone())
    }

    async fn tasks(&self, _: Request<TasksRequest>) -> Result<Response<TasksReply>, Status> {
        let tasks = |replies: &PeerReplies| {
            Some(TasksReply {
                tasks: replies.tasks.clone()?,
            })
        };
        self.reply(tasks)
    }

    async fn pull(&self, _: Request<PullRequest>) -> Result<Response<PullReply>, Status> {
        self.reply(|replies| replies.pull.clone())
    }
}
