//! The owner named by a stored value.

use serde::Deserialize;

use crate::{ImageError, OwnerAddress};

/// The part of a stored value that a candidate looks at once a second.
///
/// Reading it skips the records, which are most of a value of up to a megabyte.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct PartitionHead {
    /// Owner of the partition.
    pub owner: OwnerAddress,
    /// Whether the owner has given the partition up, so that a candidate need not wait.
    #[serde(default)]
    pub released: bool,
}

impl PartitionHead {
    /// Reads the head of a stored value.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a partition.
    pub fn decode(body: &[u8]) -> Result<Self, ImageError> {
        Ok(serde_json::from_slice(body)?)
    }
}
