//! Settings of one entry process.

use std::net::SocketAddr;

use serde::Deserialize;

/// Where a process runs and what it talks to.
#[derive(Clone, Debug, Deserialize, PartialEq)]
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
