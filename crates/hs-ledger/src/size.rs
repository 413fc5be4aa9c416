//! Size accounting of the store value.
//!
//! The size that is compared with the limits is the encoded size plus a reserve for what open tasks
//! may still add, so that the value cannot exceed the limit of the store after records were
//! admitted.

use serde::Serialize;

use crate::{LedgerRecord, TaskState};

/// Size above which no new submission is admitted.
pub(crate) const ADMISSION_LIMIT_BYTES: usize = 900_000;

/// Size above which refused submissions are no longer recorded. The difference to
/// [`ADMISSION_LIMIT_BYTES`] is enough for about 250 of them.
pub(crate) const REFUSAL_LIMIT_BYTES: usize = 950_000;

/// Size up to which results and details are stored. They are truncated to the space that is left,
/// above this size to nothing.
pub(crate) const RESULT_LIMIT_BYTES: usize = 980_000;

/// Maximum size of a result in a record, before encoding. A longer one is truncated.
pub(crate) const MAX_RESULT_BYTES: usize = 4096;

/// Maximum size of a detail in a record, before encoding. A longer one is truncated.
pub(crate) const MAX_DETAIL_BYTES: usize = 256;

/// Maximum size of an encoded worker name.
pub(crate) const MAX_WORKER_NAME_BYTES: usize = 64;

/// Maximum size that a placement adds to a task: worker (8 + name) and time (25).
const PLACEMENT_RESERVE_BYTES: usize = MAX_WORKER_NAME_BYTES + 33;

/// Maximum size that the other changes add to an open task: state (8), attempt (15), two flags (18)
/// and an empty result (7).
const CHANGE_RESERVE_BYTES: usize = 48;

/// Maximum size that a record itself gains until it is closed: time (25), cancellation (9), reason
/// (25) and an empty detail (7).
const END_RESERVE_BYTES: usize = 66;

/// Returns the size that a record contributes to the store value: its encoded size, the comma that
/// separates it from the next record, and the reserve for later changes.
pub(crate) fn record_size_bytes(record: &LedgerRecord, encoded: &[u8]) -> usize {
    let tasks = record.tasks.iter().map(|task| match task.state {
        TaskState::Waiting => PLACEMENT_RESERVE_BYTES + CHANGE_RESERVE_BYTES,
        TaskState::Placed => CHANGE_RESERVE_BYTES,
        TaskState::Done
        | TaskState::Failed
        | TaskState::NotRun
        | TaskState::Unknown
        | TaskState::Cancelled => 0,
    });
    let end_reserve = match record.ended_ms {
        0 => END_RESERVE_BYTES,
        _ => 0,
    };
    encoded.len() + 1 + end_reserve + tasks.sum::<usize>()
}

/// Encodes the store value or a part of it.
///
/// # Panics
///
/// Panics if the value cannot be encoded, which the types of the store value exclude.
pub(crate) fn encode(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("ledger types have only string keys")
}

/// Returns the longest prefix of `text` that has at most `max_bytes` bytes, and at most
/// `max_encoded_bytes` bytes when it is encoded as JSON.
pub(crate) fn truncate_encoded(text: &str, max_bytes: usize, max_encoded_bytes: usize) -> &str {
    let mut end = 0;
    let mut encoded_bytes = 0;
    for character in text.chars() {
        encoded_bytes += match character {
            '"' | '\\' | '\n' | '\r' | '\t' | '\u{8}' | '\u{c}' => 2,
            '\0'..='\u{1f}' => 6,
            _ => character.len_utf8(),
        };
        if encoded_bytes > max_encoded_bytes || end + character.len_utf8() > max_bytes {
            break;
        }
        end += character.len_utf8();
    }
    &text[..end]
}
