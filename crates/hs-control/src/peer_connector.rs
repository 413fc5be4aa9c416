//! Opens the connections of gRPC channels through the network of the platform.

use std::fmt;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use hs_timer::timeout;
use hyper_util::rt::TokioIo;
use tonic::codegen::Service;
use tonic::transport::{Channel, Endpoint, Uri};

use crate::port::NetworkPort;

/// Timeout for opening a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Creates channels whose connections are opened through a [`NetworkPort`].
#[derive(Clone)]
pub(crate) struct ChannelOpener {
    open: Arc<dyn Fn(&Endpoint) -> Channel + Send + Sync>,
}

impl ChannelOpener {
    /// Returns an opener for a network.
    pub(crate) fn new<N: NetworkPort>(network: N) -> Self {
        let connector = PeerConnector { network };
        Self {
            open: Arc::new(move |endpoint| endpoint.connect_with_connector_lazy(connector.clone())),
        }
    }

    /// Creates a channel, which connects with its first call.
    pub(crate) fn open(&self, endpoint: &Endpoint) -> Channel {
        (self.open)(endpoint)
    }
}

impl fmt::Debug for ChannelOpener {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ChannelOpener").finish_non_exhaustive()
    }
}

/// Connects a channel to the authority of its URI.
#[derive(Clone, Debug)]
struct PeerConnector<N> {
    network: N,
}

impl<N: NetworkPort> Service<Uri> for PeerConnector<N> {
    type Response = TokioIo<N::Stream>;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let network = self.network.clone();
        Box::pin(async move {
            let address = uri.authority().map_or("", |authority| authority.as_str());
            let connected = timeout(CONNECT_TIMEOUT, network.connect(address)).await;
            let stream = connected.map_err(io::Error::other)??;
            Ok(TokioIo::new(stream))
        })
    }
}
