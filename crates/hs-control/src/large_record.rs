//! Records that exceed the size of a value of the store, and are written in chunks.
//!
//! The item of the record then only has the numbers of its chunks. They are written before it, in transactions that are small
//! enough for a slow link, under numbers that the last record doesn't use. The item makes them visible together.

use hs_cell::{
    CellBatch, ChunkedRecord, JobId, JobSpec, MAX_RECORD_CHUNKS, RecordRow, RecordStamp,
    StampedRecord,
};
use serde::{Deserialize, Serialize};

use crate::keys;

/// Share of the size of a value that a row has at most if it is not written in chunks. A batch ends with the row that
/// reaches this, so that its segment has less than twice as much.
const MAX_ROW_SHARE: f64 = 0.45;

/// Share of the size of a value that a chunk takes at most.
const CHUNK_SHARE: f64 = 0.9;

/// Maximum size of a chunk in bytes. The transaction with it takes 70 ms on a link of 10 Mbit/s.
const MAX_CHUNK_BYTES: usize = 64 << 10;

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
            max_chunk_bytes: share(CHUNK_SHARE).min(MAX_CHUNK_BYTES),
            max_value_bytes,
        }
    }

    /// Returns whether the store can hold a job: its own item of this size, and its record once all tasks of an
    /// occurrence run.
    pub(crate) fn can_hold(&self, spec: &JobSpec, item_bytes: usize) -> bool {
        let tasks = spec.steps.iter().map(|step| usize::from(step.count));
        let record_bytes = tasks.sum::<usize>() * USUAL_TASK_BYTES;
        item_bytes <= self.max_value_bytes
            && record_bytes <= self.max_chunk_bytes * MAX_RECORD_CHUNKS as usize
    }
}

/// Value of the item of a record that is written in chunks.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(crate) struct ChunkedValue {
    /// Number of chunks.
    #[serde(rename = "x")]
    pub chunks: u32,
    /// Number of the first chunk.
    #[serde(rename = "f", default)]
    pub first: u32,
}

/// Record of a batch that is written in chunks.
#[derive(Clone, Debug)]
pub(crate) struct LargeRecord {
    pub job: JobId,
    value: Vec<u8>,
    chunks: u32,
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
            chunks: u32::try_from(value.len().div_ceil(limits.max_chunk_bytes)).unwrap_or(u32::MAX),
            value,
        })
    }

    /// Returns the size of the record in bytes.
    pub(crate) fn len(&self) -> usize {
        self.value.len()
    }

    /// Returns whether the chunks are not too many.
    pub(crate) fn is_storable(&self) -> bool {
        self.chunks <= MAX_RECORD_CHUNKS
    }

    /// Returns the number of chunks.
    pub(crate) fn chunk_count(&self) -> u32 {
        self.chunks
    }

    /// Returns the keys and values of the chunks, and those of the item of the record.
    pub(crate) fn into_items(self, chunked: ChunkedRecord, limits: &RecordLimits) -> LargeItems {
        let value = ChunkedValue {
            chunks: chunked.chunks,
            first: chunked.first,
        };
        // Serialising numbers can't fail.
        let value = serde_json::to_vec(&value).unwrap_or_default();
        let chunks = self.value.chunks(limits.max_chunk_bytes);
        let chunks = chunked.numbers().zip(chunks);
        LargeItems {
            chunks: chunks
                .map(|(number, chunk)| (keys::chunk(self.job, number), chunk.to_vec()))
                .collect(),
            record: (keys::progress(self.job), value),
        }
    }
}

/// Keys and values of the items of a large record.
#[derive(Debug)]
pub(crate) struct LargeItems {
    pub chunks: Vec<(String, Vec<u8>)>,
    pub record: (String, Vec<u8>),
}
