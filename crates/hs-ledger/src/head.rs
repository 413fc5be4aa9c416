//! Owner recorded in a store value.

use serde::Deserialize;

use crate::{ImageError, OwnerAddress};

/// Part of a store value that a candidate decodes once a second.
///
/// Decoding skips the records, which make up most of a value of up to a megabyte.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct PartitionHead {
    /// Owner of the partition.
    pub owner: OwnerAddress,
    /// Whether the owner has released the partition, so that a candidate can take over at once.
    #[serde(default)]
    pub released: bool,
}

impl PartitionHead {
    /// Decodes the head of a store value.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a partition.
    pub fn decode(body: &[u8]) -> Result<Self, ImageError> {
        Ok(serde_json::from_slice(body)?)
    }
}
