//! Settings of an entry process.

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;

/// Settings of an entry process: its identity, listeners and the addresses that it connects to.
#[derive(Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Id of the entry VM in the VM list.
    pub id: String,
    /// Name of the data centre.
    pub data_centre: String,
    /// Address of the listener for callers.
    pub caller_listen: SocketAddr,
    /// Address of the listener for operators. Without a token it has to be a loopback address.
    pub control_listen: SocketAddr,
    /// Address of the listener for other entry processes.
    pub peer_listen: SocketAddr,
    /// Address at which other entry processes reach this one, as in the VM list. Defaults to
    /// `peer_listen`.
    #[serde(default)]
    pub peer_advertise: Option<SocketAddr>,
    /// Bearer token that operators have to send. It is never logged.
    #[serde(default)]
    pub control_token: Option<String>,
    /// Address of the configuration store.
    pub store: SocketAddr,
    /// Address of the VM list.
    pub vm_list: SocketAddr,
    /// Peer addresses of entry processes that are contacted while the VM list is unavailable.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Limits of the caller and operator listeners.
    #[serde(default)]
    pub limits: LimitSettings,
}

impl Settings {
    /// Returns the address at which other entry processes reach this one.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_advertise.unwrap_or(self.peer_listen)
    }
}

impl fmt::Debug for Settings {
    /// Shows whether a token is set, but never the token itself.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let token = self.control_token.as_ref().map(|_| "hidden");
        formatter
            .debug_struct("Settings")
            .field("id", &self.id)
            .field("data_centre", &self.data_centre)
            .field("caller_listen", &self.caller_listen)
            .field("control_listen", &self.control_listen)
            .field("peer_listen", &self.peer_listen)
            .field("peer_advertise", &self.peer_advertise)
            .field("control_token", &token)
            .field("store", &self.store)
            .field("vm_list", &self.vm_list)
            .field("seeds", &self.seeds)
            .field("limits", &self.limits)
            .finish()
    }
}

/// Limits of the caller and operator listeners.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Largest request body in bytes, 1024 to 1048576.
    pub body_bytes: usize,
    /// Largest request head in bytes, 8192 to 65536.
    pub head_bytes: usize,
    /// Maximum number of concurrent connections per listener, 1 to 65536.
    pub connections: usize,
    /// Maximum time for a request head to arrive in milliseconds, 100 to 300000.
    pub head_timeout_ms: u64,
    /// Maximum time for a request body to arrive in milliseconds, 100 to 300000.
    pub body_timeout_ms: u64,
    /// Maximum time for requests in flight to end at a shutdown in milliseconds, 0 to 300000.
    pub drain_timeout_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_bytes: 256 << 10,
            head_bytes: 16 << 10,
            connections: 4096,
            head_timeout_ms: 30_000,
            body_timeout_ms: 10_000,
            drain_timeout_ms: 10_000,
        }
    }
}
