//! Connections to the other processes of the cell.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hs_timer::timeout;
use thiserror::Error;
use tonic::transport::{Channel, Endpoint};

use crate::message::cell_client::CellClient;
use crate::peer_connector::ChannelOpener;
use crate::port::NetworkPort;

/// Why a call to a peer failed.
#[derive(Debug, Error)]
pub(crate) enum PeerError {
    /// The peer does not own the cell.
    #[error("{operation} at {peer}: not the owner")]
    NotOwner {
        /// Name of the call.
        operation: &'static str,
        /// Address of the peer.
        peer: String,
    },
    /// Nothing listens at the address, so the peer's process has exited.
    #[error("{operation} at {peer}: connection refused")]
    ConnectionRefused {
        /// Name of the call.
        operation: &'static str,
        /// Address of the peer.
        peer: String,
    },
    /// The call failed or timed out; the peer may have handled it.
    #[error("{operation} at {peer}: {cause}")]
    Failed {
        /// Name of the call.
        operation: &'static str,
        /// Address of the peer.
        peer: String,
        /// Error of the call.
        cause: String,
    },
}

/// Open connections by address. A connection is replaced after a failed call.
#[derive(Clone, Debug)]
pub(crate) struct PeerPool {
    opener: ChannelOpener,
    channels: Arc<Mutex<HashMap<Arc<str>, Channel>>>,
}

impl PeerPool {
    /// Builds a pool without connections, which opens them through a network.
    pub(crate) fn new<N: NetworkPort>(network: N) -> Self {
        Self {
            opener: ChannelOpener::new(network),
            channels: Arc::default(),
        }
    }

    /// Makes a call that must complete within `call_timeout`.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] with the operation and the address if the call fails.
    pub(crate) async fn call<T, Call, Answer>(
        &self,
        operation: &'static str,
        address: &str,
        call_timeout: Duration,
        call: Call,
    ) -> Result<T, PeerError>
    where
        Call: FnOnce(CellClient<Channel>) -> Answer,
        Answer: Future<Output = Result<tonic::Response<T>, tonic::Status>>,
    {
        let client = CellClient::new(self.channel(operation, address)?);
        let status = match timeout(call_timeout, call(client)).await {
            Ok(Ok(response)) => return Ok(response.into_inner()),
            Ok(Err(status)) => status,
            Err(error) => tonic::Status::deadline_exceeded(error.to_string()),
        };
        let peer = address.to_owned();
        if status.code() == tonic::Code::FailedPrecondition {
            return Err(PeerError::NotOwner { operation, peer });
        }
        self.remove(address);
        if is_connection_refused(&status) {
            return Err(PeerError::ConnectionRefused { operation, peer });
        }
        let cause = status.to_string();
        Err(PeerError::Failed {
            operation,
            peer,
            cause,
        })
    }

    fn channel(&self, operation: &'static str, address: &str) -> Result<Channel, PeerError> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(channel) = channels.get(address) {
            return Ok(channel.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}"));
        let endpoint = endpoint.map_err(|error| PeerError::Failed {
            operation,
            peer: address.to_owned(),
            cause: error.to_string(),
        })?;
        let channel = self.opener.open(&endpoint);
        channels.insert(address.into(), channel.clone());
        Ok(channel)
    }

    fn remove(&self, address: &str) {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        channels.remove(address);
    }
}

/// Returns whether the connection was refused, which means that the peer's process has exited.
fn is_connection_refused(status: &tonic::Status) -> bool {
    let mut source = std::error::Error::source(status);
    while let Some(error) = source {
        if let Some(error) = error.downcast_ref::<std::io::Error>() {
            return error.kind() == std::io::ErrorKind::ConnectionRefused;
        }
        source = error.source();
    }
    false
}
