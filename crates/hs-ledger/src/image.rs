//! Store value of a partition.

use serde::Serialize;

use crate::image_decode::decode_image;
use crate::task::is_false;
use crate::{ImageError, LedgerRecord, OwnerAddress, UnreadableRecord};

/// End of an encoded store value, after the last record.
pub(crate) const RECORDS_END: &[u8] = b"]}";

/// Store value of a partition, which is encoded as JSON.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
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
    #[serde(skip_serializing_if = "is_false")]
    pub released: bool,
    /// Open records, and closed ones whose retention is not over.
    pub records: Vec<LedgerRecord>,
    /// Records that can't be used. They follow the others in the encoded value, unchanged.
    #[serde(skip)]
    pub unreadable: Vec<UnreadableRecord>,
}

impl PartitionImage {
    /// Maximum size of a store value in bytes.
    pub const MAX_BYTES: usize = 1_000_000;

    /// Decodes a store value. A record that can't be used is in [`PartitionImage::unreadable`] and
    /// does not affect the others.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a partition, is larger than the store allows, or has an
    /// epoch or a sequence number that is about to overflow.
    pub fn decode(body: &[u8]) -> Result<Self, ImageError> {
        match body.len() > Self::MAX_BYTES {
            true => Err(too_large(body)),
            false => decode_image(body),
        }
    }

    /// Encodes the store value.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is larger than the store allows.
    pub fn encode(&self) -> Result<Vec<u8>, ImageError> {
        let mut body = serde_json::to_vec(self)?;
        body.truncate(body.len() - RECORDS_END.len());
        close_records(&mut body, !self.records.is_empty(), &self.unreadable);
        match body.len() > Self::MAX_BYTES {
            true => Err(too_large(&body)),
            false => Ok(body),
        }
    }
}

/// Appends the unreadable records and the end of the value to an encoded value that ends behind its
/// last record.
pub(crate) fn close_records(
    body: &mut Vec<u8>,
    mut has_records: bool,
    unreadable: &[UnreadableRecord],
) {
    for record in unreadable {
        if std::mem::replace(&mut has_records, true) {
            body.push(b',');
        }
        body.extend_from_slice(record.text.as_bytes());
    }
    body.extend_from_slice(RECORDS_END);
}

fn too_large(body: &[u8]) -> ImageError {
    ImageError::TooLarge {
        size: body.len(),
        limit: PartitionImage::MAX_BYTES,
    }
}
