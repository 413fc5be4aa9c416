//! Records that exceed the size of a value of the store, and are written in chunks.
//!
//! The item of the record then only has the number of its chunks. All of them are written in one transaction, so that
//! they are visible together or not at all.

use hs_cell::{CellBatch, ChunkedRecord, JobId, JobSpec, RecordRow, RecordStamp, StampedRecord};
use serde::{Deserialize, Serialize};

use crate::keys;

/// Maximum number of chunks of a record. Beside them a transaction has entries for the record's own item, a segment with
/// the other rows of the batch, and the claim.
const MAX_RECORD_CHUNKS: usize = 24;

/// Share of the size of a value that a row has at most if it is not written in chunks. A batch ends with the row that
/// reaches this, so that its segment has less than twice as much.
const MAX_ROW_SHARE: f64 = 0.45;

/// Share of the size of a value that a chunk takes.
const CHUNK_SHARE: f64 = 0.9;

/// Bytes that the record of a task takes which has been started on a worker, without a checkpoint.
const USUAL_TASK_BYTES: usize = 40;

/// Sizes that follow from the size of a value of the store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecordLimits {
    /// Maximum size of a row that is not written in chunks, in bytes.
    pub max_row_bytes: usize,
    /// Maximum size of a chunk in bytes.
    max_chunk_bytes: usize,
    /// Maximum size of a value in bytes.
    max_value_bytes: usize,
}

impl RecordLimits {
    pub(crate) fn new(max_value_bytes: usize) -> Self {
        let share = |share: f64| ((max_value_bytes as f64 * share) as usize).max(1);
        Self {
            max_row_bytes: share(MAX_ROW_SHARE),
            max_chunk_bytes: share(CHUNK_SHARE),
            max_value_bytes,
        }
    }

    /// Returns whether the store can hold a job: its own item of this size, and its record once all tasks of an
    /// occurrence run.
    pub(crate) fn can_hold(&self, spec: &JobSpec, item_bytes: usize) -> bool {
        let tasks = spec.steps.iter().map(|step| usize::from(step.count));
        let record_bytes = tasks.sum::<usize>() * USUAL_TASK_BYTES;
        item_bytes <= self.max_value_bytes
            && record_bytes <= self.max_chunk_bytes * MAX_RECORD_CHUNKS
    }
}

/// Value of the item of a record that is written in chunks.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(crate) struct ChunkedValue {
    /// Number of chunks.
    #[serde(rename = "x")]
    pub chunks: u32,
}

/// Record of a batch that is written in chunks.
#[derive(Clone, Debug)]
pub(crate) struct LargeRecord {
    pub job: JobId,
    value: Vec<u8>,
    chunks: usize,
}

impl LargeRecord {
    /// Returns the record of a batch that is too large for one value. There is one at most, since it ends the batch.
    pub(crate) fn in_batch(
        batch: &CellBatch,
        stamp: RecordStamp,
        limits: &RecordLimits,
    ) -> Option<Self> {
        let mut rows = batch.rows.iter();
        let large = rows.find(|row| row.max_bytes() > limits.max_row_bytes)?;
        let RecordRow::Progress(job, record) = large else {
            return None;
        };
        let record = record.clone();
        let value = serde_json::to_vec(&StampedRecord { stamp, record }).ok()?;
        (value.len() > limits.max_row_bytes).then(|| Self {
            job: *job,
            chunks: value.len().div_ceil(limits.max_chunk_bytes),
            value,
        })
    }

    /// Returns the size of the record in bytes.
    pub(crate) fn len(&self) -> usize {
        self.value.len()
    }

    /// Returns whether a transaction has entries for all chunks.
    pub(crate) fn is_storable(&self) -> bool {
        self.chunks <= MAX_RECORD_CHUNKS
    }

    pub(crate) fn chunked(&self) -> ChunkedRecord {
        ChunkedRecord {
            job: self.job,
            chunks: u32::try_from(self.chunks).unwrap_or(u32::MAX),
        }
    }

    /// Returns the number of chunks.
    pub(crate) fn chunk_count(&self) -> usize {
        self.chunks
    }

    /// Returns the keys and values of the item of the record and of its chunks.
    pub(crate) fn into_items(self, limits: &RecordLimits) -> Vec<(String, Vec<u8>)> {
        let count = ChunkedValue {
            chunks: self.chunked().chunks,
        };
        // Serialising a number can't fail.
        let count = serde_json::to_vec(&count).unwrap_or_default();
        let mut items = vec![(keys::progress(self.job), count)];
        let chunks = (0u32..).zip(self.value.chunks(limits.max_chunk_bytes));
        items.extend(chunks.map(|(number, chunk)| (keys::chunk(self.job, number), chunk.to_vec())));
        items
    }
}
