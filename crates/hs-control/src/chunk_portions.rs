//! Portions in which the chunks of a large record are written.
//!
//! Each portion confirms the claim, so that it must not take long: the link to the store may be slow. On a fast link few
//! large portions take fewer calls.

use std::time::Duration;

/// Maximum number of chunks of a portion. Beside them a transaction has two entries for the claim.
const MAX_PORTION_CHUNKS: usize = 24;

/// Minimum of the size that a portion may have, in bytes. A larger chunk is a portion by itself.
const MIN_PORTION_BYTES: usize = 64 << 10;

/// Maximum of the size that a portion may have, in bytes.
const MAX_PORTION_BYTES: usize = 1 << 20;

/// Time below which portions may become larger.
const SHORT_WRITE: Duration = Duration::from_millis(75);

/// Time above which portions become smaller. A follower considers the claim lost after 600 ms.
const LONG_WRITE: Duration = Duration::from_millis(150);

/// Size of the next portion.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChunkPortions {
    max_bytes: usize,
}

impl Default for ChunkPortions {
    fn default() -> Self {
        Self {
            max_bytes: MIN_PORTION_BYTES,
        }
    }
}

impl ChunkPortions {
    /// Takes the next portion of the chunks; it is empty only if they are.
    pub(crate) fn take(&self, chunks: &mut Vec<(String, Vec<u8>)>) -> Vec<(String, Vec<u8>)> {
        let mut bytes = 0;
        let fitting = chunks.iter().take_while(|(_, value)| {
            bytes += value.len();
            bytes <= self.max_bytes
        });
        let count = fitting.count().clamp(1, MAX_PORTION_CHUNKS);
        chunks.drain(..count.min(chunks.len())).collect()
    }

    /// Adapts the size to the time that the write of a portion took.
    pub(crate) fn record(&mut self, duration: Duration) {
        if duration < SHORT_WRITE {
            self.max_bytes = (self.max_bytes * 2).min(MAX_PORTION_BYTES);
        } else if duration > LONG_WRITE {
            self.max_bytes = (self.max_bytes / 2).max(MIN_PORTION_BYTES);
        }
    }
}
