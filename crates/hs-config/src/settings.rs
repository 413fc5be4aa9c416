//! Settings of one entry process.

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;

/// Where a process runs and what it talks to.
#[derive(Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the entry VM, as the VM list has it.
    pub id: String,
    /// Name of the data centre.
    pub data_centre: String,
    /// Address for callers.
    pub caller_listen: SocketAddr,
    /// Address for operators. Without a token it has to be on loopback.
    pub control_listen: SocketAddr,
    /// Address for other entry processes, as the VM list has it.
    pub peer_listen: SocketAddr,
    /// Token of operators. Never logged.
    #[serde(default)]
    pub control_token: Option<String>,
    /// Address of the configuration store.
    pub store: SocketAddr,
    /// Address of the VM list.
    pub vm_list: SocketAddr,
    /// Peer addresses of entry processes to ask while the VM list does not answer.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Limits on what callers may send.
    #[serde(default)]
    pub limits: LimitSettings,
}

impl fmt::Debug for Settings {
    /// Shows whether there is a token, never the token itself.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let token = self.control_token.as_ref().map(|_| "hidden");
        formatter
            .debug_struct("Settings")
            .field("id", &self.id)
            .field("data_centre", &self.data_centre)
            .field("caller_listen", &self.caller_listen)
            .field("control_listen", &self.control_listen)
            .field("peer_listen", &self.peer_listen)
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
    /// Largest body in bytes, 1024 to 1048576.
    pub body_bytes: usize,
    /// Largest request head in bytes, 8192 to 65536.
    pub head_bytes: usize,
    /// Most connections at a time on one listener, 1 to 65536.
    pub connections: usize,
    /// Longest time for a request head to arrive, in milliseconds, 100 to 300000.
    pub head_timeout_ms: u64,
    /// Longest time for a body to arrive, in milliseconds, 100 to 300000.
    pub body_timeout_ms: u64,
    /// Longest time for calls in flight to end at a shutdown, in milliseconds, 0 to 300000.
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
