//! Connections to peers.

use std::collections::HashMap;
use std::future::Future;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hs_peer::message::peer_client::PeerClient;
use hs_peer::message::{
    ForwardReply, ForwardRequest, HeartbeatReply, HeartbeatRequest, PullReply, PullRequest,
    ReleaseRequest, ReserveReply, ReserveRequest, ResolveReply, ResolveRequest,
};
use thiserror::Error;
use tokio::time::timeout;
use tonic::transport::{Channel, Endpoint};
use tonic::{Response, Status};

/// Time to open a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a call to a peer has no reply. It may have taken effect.
#[derive(Debug, Error)]
#[error("{step} to peer {peer} has no reply: {cause}")]
pub struct PeerError {
    /// What the call was for.
    pub step: &'static str,
    /// Address of the peer.
    pub peer: String,
    /// What went wrong.
    pub cause: String,
}

/// One lazily opened connection to each peer. Clones share the connections.
#[derive(Clone, Debug, Default)]
pub struct PeerPool {
    channels: Arc<Mutex<HashMap<String, Channel>>>,
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
    /// # Errors
    ///
    /// Returns an error if no reply comes. The peer finds the reservation unused and frees it.
    pub async fn reserve(
        &self,
        peer: &str,
        request: ReserveRequest,
        limit: Duration,
    ) -> Result<ReserveReply, PeerError> {
        let mut client = self.client("reservation", peer)?;
        finish("reservation", peer, client.reserve(request), limit).await
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

    fn client(&self, step: &'static str, peer: &str) -> Result<PeerClient<Channel>, PeerError> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(channel) = channels.get(peer) {
            return Ok(client(channel.clone()));
        }
        let endpoint =
            Endpoint::from_shared(format!("http://{peer}")).map_err(|error| PeerError {
                step,
                peer: peer.to_owned(),
                cause: error.to_string(),
            })?;
        let channel = endpoint
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .connect_lazy();
        channels.insert(peer.to_owned(), channel.clone());
        Ok(client(channel))
    }
}

/// Largest message between peers in bytes: a manifest of one megabyte and the VM list.
pub(super) const MAX_MESSAGE_BYTES: usize = 8 << 20;

fn client(channel: Channel) -> PeerClient<Channel> {
    PeerClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES)
}

async fn finish<T>(
    step: &'static str,
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
        step,
        peer: peer.to_owned(),
        cause,
    })
}
