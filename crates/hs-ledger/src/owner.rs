//! Identity of the owner of a partition.

use serde::{Deserialize, Serialize};

/// Entry process that takes over a partition.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LedgerOwner {
    /// Id of the entry process.
    pub id: String,
    /// Address at which it accepts connections from peers.
    pub addr: String,
    /// Id that its writes carry. It must be new for each takeover: if two takeovers of one process
    /// shared a writer id, either could take a write of the other for its own when it reads the
    /// value back.
    pub writer: String,
}

/// Owner of a partition as recorded in the store value.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerAddress {
    /// Id of the entry process.
    pub id: String,
    /// Address at which it accepts connections from peers.
    pub addr: String,
}
