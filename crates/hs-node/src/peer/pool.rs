//! Client connections to peers.

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

/// Timeout for opening a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Error of a call to a peer that returned no result. The call may have taken effect.
#[derive(Debug, Error)]
#[error("{operation} to peer {peer} has no reply: {cause}")]
pub struct PeerError {
    /// Name of the operation.
    pub operation: &'static str,
    /// Address of the peer.
    pub peer: String,
    /// Cause of the error.
    pub cause: String,
}

/// A connection to a peer, and the circuit breaker that stops reservations at it while it does not
/// answer.
#[derive(Debug)]
struct PeerConnection {
    channel: Channel,
    breaker: CircuitBreaker,
}

/// Pool with one lazily opened connection to each peer. Clones share the connections.
#[derive(Clone, Debug, Default)]
pub struct PeerPool {
    connections: Arc<Mutex<HashMap<String, PeerConnection>>>,
}

impl PeerPool {
    /// Sends a heartbeat.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no reply within `call_timeout`, as the other calls do.
    pub async fn heartbeat(
        &self,
        peer: &str,
        request: HeartbeatRequest,
        call_timeout: Duration,
    ) -> Result<HeartbeatReply, PeerError> {
        let mut client = self.client("heartbeat", peer)?;
        await_reply("heartbeat", peer, client.heartbeat(request), call_timeout).await
    }

    /// Reserves capacity on the peer's workers.
    ///
    /// A paused peer counts as live for up to 1.2 s. The circuit breaker limits how much work waits
    /// for its replies in that time.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no reply, and at once while the circuit breaker is open. If the
    /// peer made the reservation, it detects that the reservation is unused and releases it.
    pub async fn reserve(
        &self,
        peer: &str,
        request: ReserveRequest,
        call_timeout: Duration,
        clock: &impl ClockPort,
    ) -> Result<ReserveReply, PeerError> {
        let operation = "reservation";
        let mut client = self.client(operation, peer)?;
        let permit = self
            .with_breaker(peer, |breaker| breaker.admit(clock.now()))
            .flatten();
        let Some(permit) = permit else {
            return Err(PeerError {
                operation,
                peer: peer.to_owned(),
                cause: "the circuit breaker is open".to_owned(),
            });
        };
        let result = await_reply(operation, peer, client.reserve(request), call_timeout).await;
        self.with_breaker(peer, |breaker| match result {
            Ok(_) => breaker.record_success(permit),
            Err(_) => breaker.record_failure(permit, clock.now()),
        });
        result
    }

    /// Returns the addresses of the peers whose circuit breaker is not closed.
    pub fn open_breakers(&self) -> Vec<String> {
        let connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let open = connections
            .iter()
            .filter(|(_, connection)| connection.breaker.state() != BreakerState::Closed);
        open.map(|(peer, _)| peer.clone()).collect()
    }

    fn with_breaker<T>(
        &self,
        peer: &str,
        update: impl FnOnce(&mut CircuitBreaker) -> T,
    ) -> Option<T> {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        connections
            .get_mut(peer)
            .map(|connection| update(&mut connection.breaker))
    }

    /// Releases reservations on the peer's workers.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no reply. If the release is lost, the peer detects that the
    /// tasks have ended and frees their capacity.
    pub async fn release(
        &self,
        peer: &str,
        request: ReleaseRequest,
        call_timeout: Duration,
    ) -> Result<(), PeerError> {
        let mut client = self.client("release", peer)?;
        await_reply("release", peer, client.release(request), call_timeout)
            .await
            .map(|_| ())
    }

    /// Determines the status of a task on a worker that the peer owns.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no reply. The call can be repeated.
    pub async fn resolve(
        &self,
        peer: &str,
        request: ResolveRequest,
        call_timeout: Duration,
    ) -> Result<ResolveReply, PeerError> {
        let mut client = self.client("resolve", peer)?;
        await_reply("resolve", peer, client.resolve(request), call_timeout).await
    }

    /// Forwards a call about durable work to the peer that owns its partition.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no reply. The call can be repeated, since it is idempotent by
    /// key.
    pub async fn forward(
        &self,
        peer: &str,
        request: ForwardRequest,
        call_timeout: Duration,
    ) -> Result<ForwardReply, PeerError> {
        let mut client = self.client("forward", peer)?;
        await_reply("forward", peer, client.forward(request), call_timeout).await
    }

    /// Lists the tasks that hold capacity on the peer's workers and whose id starts with a prefix.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no reply. The call can be repeated.
    pub async fn tasks(
        &self,
        peer: &str,
        request: TasksRequest,
        call_timeout: Duration,
    ) -> Result<TasksReply, PeerError> {
        let mut client = self.client("task list", peer)?;
        await_reply("task list", peer, client.tasks(request), call_timeout).await
    }

    /// Fetches the manifest and the VM list of a peer, each if it is newer than the version
    /// in the request.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no reply. The call can be repeated.
    pub async fn pull(
        &self,
        peer: &str,
        request: PullRequest,
        call_timeout: Duration,
    ) -> Result<PullReply, PeerError> {
        let mut client = self.client("pull", peer)?;
        await_reply("pull", peer, client.pull(request), call_timeout).await
    }

    fn client(
        &self,
        operation: &'static str,
        peer: &str,
    ) -> Result<PeerClient<Channel>, PeerError> {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(connection) = connections.get(peer) {
            return Ok(client(connection.channel.clone()));
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
        let connection = PeerConnection {
            channel: channel.clone(),
            breaker: CircuitBreaker::new(BreakerOptions::default()),
        };
        connections.insert(peer.to_owned(), connection);
        Ok(client(channel))
    }
}

/// Maximum size of a message between peers, in bytes. The largest message holds a manifest of one
/// megabyte and the VM list.
pub(super) const MAX_MESSAGE_BYTES: usize = 8 << 20;

fn client(channel: Channel) -> PeerClient<Channel> {
    PeerClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES)
}

async fn await_reply<T>(
    operation: &'static str,
    peer: &str,
    call: impl Future<Output = Result<Response<T>, Status>>,
    call_timeout: Duration,
) -> Result<T, PeerError> {
    let cause = match timeout(call_timeout, call).await {
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
