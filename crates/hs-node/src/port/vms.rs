//! HTTP adapter to the VM list.

use std::net::SocketAddr;
use std::time::Duration;

use hs_http::HttpClient;
use hs_wire::VmList;

use super::{PortError, VmPort};

/// HTTP client of the VM list.
#[derive(Clone, Debug)]
pub struct HttpVms {
    client: HttpClient,
    peer: String,
}

impl HttpVms {
    /// Creates the adapter for the VM list at an address.
    pub fn new(client: HttpClient, address: SocketAddr) -> Self {
        Self {
            client,
            peer: address.to_string(),
        }
    }
}

impl VmPort for HttpVms {
    /// Sends the known version as an entity tag, because the whole list grows with the number of
    /// VMs. A platform that ignores the tag sends the whole list each time.
    async fn list(
        &self,
        known_version: u64,
        call_timeout: Duration,
    ) -> Result<Option<VmList>, PortError> {
        let operation = "VM list read";
        let tag = format!("\"{known_version}\"");
        let call = self
            .client
            .get_if_changed(operation, &self.peer, "/vms", &tag, call_timeout);
        let reply = call.await?;
        match reply.status {
            200 => {
                let list = VmList::decode(&reply.body).map(Some);
                list.map_err(|error| PortError::unreadable(operation, &self.peer, error))
            }
            304 => Ok(None),
            _ => Err(PortError::from_reply(operation, &self.peer, &reply)),
        }
    }
}
