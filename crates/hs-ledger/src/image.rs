//! Store value of a partition.

use serde::{Deserialize, Serialize};

use crate::task::is_false;
use crate::{ImageError, LedgerRecord, OwnerAddress};

/// Store value of a partition, which is encoded as JSON.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartitionImage {
    /// Number of takeovers up to this value; each raises it by one.
    pub epoch: u64,
    /// Owner of the partition.
    pub owner: OwnerAddress,
    /// Writer id of the owner, from [`LedgerOwner::writer`](crate::LedgerOwner::writer).
    pub writer: String,
    /// Sequence number of the value, which each write raises.
    pub seq: u64,
    /// Whether the owner has released the partition, so that a candidate can take over at once.
    #[serde(default, skip_serializing_if = "is_false")]
    pub released: bool,
    /// Open records, and closed ones whose retention is not over.
    pub records: Vec<LedgerRecord>,
}

impl PartitionImage {
    /// Maximum size of a store value in bytes.
    pub const MAX_BYTES: usize = 1_000_000;

    /// Decodes a store value.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a partition or is larger than the store allows.
    pub fn decode(body: &[u8]) -> Result<Self, ImageError> {
        if body.len() > Self::MAX_BYTES {
            return Err(ImageError::TooLarge {
                size: body.len(),
                limit: Self::MAX_BYTES,
            });
        }
        Ok(serde_json::from_slice(body)?)
    }

    /// Encodes the store value.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is larger than the store allows.
    pub fn encode(&self) -> Result<Vec<u8>, ImageError> {
        let body = serde_json::to_vec(self)?;
        if body.len() > Self::MAX_BYTES {
            return Err(ImageError::TooLarge {
                size: body.len(),
                limit: Self::MAX_BYTES,
            });
        }
        Ok(body)
    }
}
