//! HTTP adapter to the VM list.

use std::net::SocketAddr;
use std::time::Duration;

use hs_http::HttpClient;
use hs_wire::VmList;

use super::{PortError, VmPort};

/// The VM list over HTTP.
#[derive(Clone, Debug)]
pub struct HttpVms {
    client: HttpClient,
    peer: String,
}

impl HttpVms {
    /// Builds the adapter.
    pub fn new(client: HttpClient, address: SocketAddr) -> Self {
        Self {
            client,
            peer: address.to_string(),
        }
    }
}

impl VmPort for HttpVms {
    async fn list(&self, limit: Duration) -> Result<VmList, PortError> {
        let step = "VM list read";
        let reply = self.client.get(step, &self.peer, "/vms", limit).await?;
        if reply.status != 200 {
            return Err(PortError::from_reply(step, &self.peer, &reply));
        }
        reply
            .json()
            .map_err(|error| PortError::unreadable(step, &self.peer, error))
    }
}
