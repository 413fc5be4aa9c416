//! Identity of a partition's owner.

use serde::{Deserialize, Serialize};

/// The entry process that takes a partition over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LedgerOwner {
    /// Id of the entry process.
    pub id: String,
    /// Address of its listener for peers.
    pub addr: String,
    /// Writer id of its writes. It must be new for each takeover: two takeovers of one process that
    /// shared a writer id could mistake each other's writes for their own when they read back.
    pub writer: String,
}

/// The owner as it stands in the store value.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerAddress {
    /// Id of the entry process.
    pub id: String,
    /// Address of its listener for peers.
    pub addr: String,
}
