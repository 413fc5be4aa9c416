//! Store value of a partition.

use serde::{Deserialize, Serialize};

use crate::task::is_false;
use crate::{ImageError, LedgerRecord, OwnerAddress};

/// Maximum of the counters of a record, half of their range.
const MAX_SMALL_COUNTER: u64 = u32::MAX as u64 / 2;

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
    /// Returns an error if the value is not a partition, is larger than the store allows, or has a
    /// counter that is about to overflow.
    pub fn decode(body: &[u8]) -> Result<Self, ImageError> {
        if body.len() > Self::MAX_BYTES {
            return Err(ImageError::TooLarge {
                size: body.len(),
                limit: Self::MAX_BYTES,
            });
        }
        let image: Self = serde_json::from_slice(body)?;
        image.check_counters()?;
        Ok(image)
    }

    /// Checks the counters that an owner raises. No partition reaches half of their range, so a
    /// higher value was not written by an owner.
    fn check_counters(&self) -> Result<(), ImageError> {
        check_counter("epoch", self.epoch, u64::MAX / 2)?;
        check_counter("sequence number", self.seq, u64::MAX / 2)?;
        for record in &self.records {
            check_counter("salt", record.salt.into(), MAX_SMALL_COUNTER)?;
            for task in &record.tasks {
                check_counter("attempt", task.attempt.into(), MAX_SMALL_COUNTER)?;
            }
        }
        Ok(())
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

fn check_counter(counter: &'static str, value: u64, max: u64) -> Result<(), ImageError> {
    match value <= max {
        true => Ok(()),
        false => Err(ImageError::CounterRange { counter, value }),
    }
}
