//! Settings of the membership state machine.

use std::time::Duration;

/// Identity of the own process, and the intervals of failure detection.
///
/// `Default` gives the intervals and limits; the identity fields are empty there.
#[derive(Clone, Debug)]
pub struct MemberOptions {
    /// Unique name of the own VM, as in the VM list.
    pub id: String,
    /// Data centre of the own process.
    pub data_centre: String,
    /// Address of the own peer listener.
    pub address: String,
    /// Start time of the own process in milliseconds since the Unix epoch. Peers ignore heartbeats
    /// of a lower incarnation than one that they have seen.
    pub incarnation: u64,
    /// Peer addresses that receive heartbeats as long as there is no VM list.
    pub seeds: Vec<String>,
    /// Time between two heartbeats to each peer of the own data centre.
    pub heartbeat_interval: Duration,
    /// Silence after which a peer of the own data centre counts as lost. A gap between two ticks
    /// that is longer than this counts as a pause of the own process.
    pub liveness_timeout: Duration,
    /// Time between two heartbeats to each other data centre.
    pub remote_heartbeat_interval: Duration,
    /// Silence after which a peer of another data centre counts as lost. It has to be a multiple
    /// of `remote_heartbeat_interval`, or a single late heartbeat would end a membership.
    pub remote_liveness_timeout: Duration,
    /// Number of members of each other data centre that receive a heartbeat.
    pub remote_fanout: usize,
    /// Largest number of members that are remembered. It bounds memory when heartbeats with
    /// unknown names arrive while there is no VM list.
    pub max_members: usize,
}

impl Default for MemberOptions {
    fn default() -> Self {
        Self {
            id: String::new(),
            data_centre: String::new(),
            address: String::new(),
            incarnation: 0,
            seeds: Vec::new(),
            heartbeat_interval: Duration::from_millis(300),
            liveness_timeout: Duration::from_millis(1_200),
            remote_heartbeat_interval: Duration::from_secs(2),
            // Four intervals, the same ratio as within a data centre.
            remote_liveness_timeout: Duration::from_secs(8),
            remote_fanout: 2,
            max_members: 1_024,
        }
    }
}
