//! The stored value of a partition.

use serde::{Deserialize, Serialize};

use crate::task::is_false;
use crate::{ImageError, LedgerRecord, OwnerAddress};

/// The stored value of a partition.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartitionImage {
    /// Rises with each takeover.
    pub epoch: u64,
    /// Owner of the partition.
    pub owner: OwnerAddress,
    /// Writer of this value.
    pub writer: String,
    /// Sequence number of this value, which rises with each write.
    pub seq: u64,
    /// Whether the owner has given the partition up, so that a candidate need not wait.
    #[serde(default, skip_serializing_if = "is_false")]
    pub released: bool,
    /// Records.
    pub records: Vec<LedgerRecord>,
}

impl PartitionImage {
    /// Largest store value in bytes.
    pub const MAX_BYTES: usize = 1_000_000;

    /// Reads a stored value.
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

    /// Writes the value to be stored.
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
