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
    /// Asks with the version as entity tag. A platform that ignores it sends the whole list, which
    /// grows with the fleet.
    async fn list(&self, known: u64, limit: Duration) -> Result<Option<VmList>, PortError> {
        let operation = "VM list read";
        let tag = format!("\"{known}\"");
        let call = self
            .client
            .get_if_changed(operation, &self.peer, "/vms", &tag, limit);
        let reply = call.await?;
        match reply.status {
            200 => {
                let list = reply.json().map(Some);
                list.map_err(|error| PortError::unreadable(operation, &self.peer, error))
            }
            304 => Ok(None),
            _ => Err(PortError::from_reply(operation, &self.peer, &reply)),
        }
    }
}
