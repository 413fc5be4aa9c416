//! Settings of the membership state machine.

use std::time::Duration;

/// Identity of this process, and intervals and limits of the failure detection.
///
/// `Default` sets the intervals and limits, and leaves the identity empty.
#[derive(Clone, Debug)]
pub struct MemberOptions {
    /// Unique name of this VM, as in the VM list.
    pub id: String,
    /// Name of the data centre of this process.
    pub data_centre: String,
    /// Address of the peer listener of this process.
    pub address: String,
    /// Start time of this process in milliseconds since the Unix epoch. Peers ignore heartbeats
    /// with a lower incarnation than the highest one that they have received.
    pub incarnation: u64,
    /// Peer addresses to which heartbeats are sent as long as there is no VM list.
    pub seeds: Vec<String>,
    /// Time between two heartbeats to each peer in the same data centre.
    pub heartbeat_interval: Duration,
    /// Time without a heartbeat after which a peer in the same data centre counts as lost. A longer
    /// time between two ticks counts as a pause of this process.
    pub liveness_timeout: Duration,
    /// Time between two rounds of heartbeats to the other data centres.
    pub remote_heartbeat_interval: Duration,
    /// Time without a heartbeat after which a peer in another data centre counts as lost. It has to
    /// be a multiple of `remote_heartbeat_interval`, or the peer would be lost if a single
    /// heartbeat were late.
    pub remote_liveness_timeout: Duration,
    /// Maximum number of peers in each other data centre to which a heartbeat is sent per round.
    pub remote_fanout: usize,
    /// Maximum number of members that are kept, unless the VM list has more. It bounds the memory
    /// when heartbeats with unknown ids arrive while there is no VM list.
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
