//! Connections to peers.

use std::collections::HashMap;
use std::future::Future;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hs_peer::message::peer_client::PeerClient;
use hs_peer::message::{
    ForwardReply, ForwardRequest, HeartbeatReply, HeartbeatRequest, PullReply, PullRequest,
    ReleaseRequest, ReserveReply, ReserveRequest, ResolveReply, ResolveRequest, TasksReply,
    TasksRequest,
};
use hs_peer::{BreakerOptions, BreakerState, CircuitBreaker};
use thiserror::Error;
use tokio::time::timeout;
use tonic::transport::{Channel, Endpoint};
use tonic::{Response, Status};

use crate::port::ClockPort;

/// Time to open a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a call to a peer has no reply. It may have taken effect.
#[derive(Debug, Error)]
#[error("{operation} to peer {peer} has no reply: {cause}")]
pub struct PeerError {
    /// What the call was for.
    pub operation: &'static str,
    /// Address of the peer.
    pub peer: String,
    /// What went wrong.
    pub cause: String,
}

/// A connection and the breaker that keeps reservations off a peer that does not answer.
#[derive(Debug)]
struct PeerLink {
    channel: Channel,
    breaker: CircuitBreaker,
}

/// One lazily opened connection to each peer. Clones share the connections.
#[derive(Clone, Debug, Default)]
pub struct PeerPool {
    links: Arc<Mutex<HashMap<String, PeerLink>>>,
}

impl PeerPool {
    /// Sends a heartbeat.
    ///
    /// # Errors
    ///
    /// Returns an error if no reply comes within `limit`; so do the other calls.
    pub async fn heartbeat(
        &self,
        peer: &str,
        request: HeartbeatRequest,
        limit: Duration,
    ) -> Result<HeartbeatReply, PeerError> {
        let mut client = self.client("heartbeat", peer)?;
        finish("heartbeat", peer, client.heartbeat(request), limit).await
    }

    /// Reserves room on the peer's workers.
    ///
    /// A paused peer counts as live for up to 1.2 s; the breaker bounds how much work waits for it.
    ///
    /// # Errors
    ///
    /// Returns an error if no reply comes, or at once while the breaker is open. A peer that did
    /// reserve finds the room unused and frees it.
    pub async fn reserve(
        &self,
        peer: &str,
        request: ReserveRequest,
        limit: Duration,
        clock: &impl ClockPort,
    ) -> Result<ReserveReply, PeerError> {
        let operation = "reservation";
        let mut client = self.client(operation, peer)?;
        let pass = self
            .with_breaker(peer, |breaker| breaker.admit(clock.now()))
            .flatten();
        let Some(pass) = pass else {
            return Err(PeerError {
                operation,
                peer: peer.to_owned(),
                cause: "the circuit breaker is open".to_owned(),
            });
        };
        let result = finish(operation, peer, client.reserve(request), limit).await;
        self.with_breaker(peer, |breaker| match result {
            Ok(_) => breaker.succeeded(pass),
            Err(_) => breaker.failed(pass, clock.now()),
        });
        result
    }

    /// Returns the addresses of the peers whose breaker is open.
    pub fn open_breakers(&self) -> Vec<String> {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let open = links
            .iter()
            .filter(|(_, link)| link.breaker.state() != BreakerState::Closed);
        open.map(|(peer, _)| peer.clone()).collect()
    }

    fn with_breaker<T>(
        &self,
        peer: &str,
        change: impl FnOnce(&mut CircuitBreaker) -> T,
    ) -> Option<T> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.get_mut(peer).map(|link| change(&mut link.breaker))
    }

    /// Ends reservations on the peer's workers.
    ///
    /// # Errors
    ///
    /// Returns an error if no reply comes. The peer finds the tasks ended and frees the room.
    pub async fn release(
        &self,
        peer: &str,
        request: ReleaseRequest,
        limit: Duration,
    ) -> Result<(), PeerError> {
        let mut client = self.client("release", peer)?;
        finish("release", peer, client.release(request), limit)
            .await
            .map(|_| ())
    }

    /// Finds out what became of a task.
    ///
    /// # Errors
    ///
    /// Returns an error if no reply comes; the call can be repeated.
    pub async fn resolve(
        &self,
        peer: &str,
        request: ResolveRequest,
        limit: Duration,
    ) -> Result<ResolveReply, PeerError> {
        let mut client = self.client("resolve", peer)?;
        finish("resolve", peer, client.resolve(request), limit).await
    }

    /// Passes a call about durable work to the owner of its partition.
    ///
    /// # Errors
    ///
    /// Returns an error if no reply comes; the call can be repeated, since keys are idempotent.
    pub async fn forward(
        &self,
        peer: &str,
        request: ForwardRequest,
        limit: Duration,
    ) -> Result<ForwardReply, PeerError> {
        let mut client = self.client("forward", peer)?;
        finish("forward", peer, client.forward(request), limit).await
    }

    /// Gets the tasks that hold room on the peer's workers and whose id begins with a prefix.
    ///
    /// # Errors
    ///
    /// Returns an error if no reply comes; the call can be repeated.
    pub async fn tasks(
        &self,
        peer: &str,
        request: TasksRequest,
        limit: Duration,
    ) -> Result<TasksReply, PeerError> {
        let mut client = self.client("task list", peer)?;
        finish("task list", peer, client.tasks(request), limit).await
    }

    /// Gets the manifest and the VM list of a peer.
    ///
    /// # Errors
    ///
    /// Returns an error if no reply comes; the call can be repeated.
    pub async fn pull(
        &self,
        peer: &str,
        request: PullRequest,
        limit: Duration,
    ) -> Result<PullReply, PeerError> {
        let mut client = self.client("pull", peer)?;
        finish("pull", peer, client.pull(request), limit).await
    }

    fn client(
        &self,
        operation: &'static str,
        peer: &str,
    ) -> Result<PeerClient<Channel>, PeerError> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(link) = links.get(peer) {
            return Ok(client(link.channel.clone()));
        }
        let endpoint =
            Endpoint::from_shared(format!("http://{peer}")).map_err(|error| PeerError {
                operation,
                peer: peer.to_owned(),
                cause: error.to_string(),
            })?;
        let channel = endpoint
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .connect_lazy();
        let link = PeerLink {
            channel: channel.clone(),
            breaker: CircuitBreaker::new(BreakerOptions::default()),
        };
        links.insert(peer.to_owned(), link);
        Ok(client(channel))
    }
}

/// Largest message between peers in bytes: a manifest of one megabyte and the VM list.
pub(super) const MAX_MESSAGE_BYTES: usize = 8 << 20;

fn client(channel: Channel) -> PeerClient<Channel> {
    PeerClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES)
}

async fn finish<T>(
    operation: &'static str,
    peer: &str,
    call: impl Future<Output = Result<Response<T>, Status>>,
    limit: Duration,
) -> Result<T, PeerError> {
    let cause = match timeout(limit, call).await {
        Ok(Ok(response)) => return Ok(response.into_inner()),
        Ok(Err(status)) => format!("{}: {}", status.code(), status.message()),
        Err(elapsed) => elapsed.to_string(),
    };
    Err(PeerError {
        operation,
        peer: peer.to_owned(),
        cause,
    })
}
