//! Sizes in the store value.
//!
//! The size that counts against the limits is the encoded size plus what open tasks may still add to
//! it, so that the value cannot outgrow the store's limit after records were admitted.

use serde::Serialize;

use crate::{LedgerRecord, TaskState};

/// Size above which no new record is admitted.
pub(crate) const ADMIT_BYTES: usize = 900_000;

/// Size above which refused submissions are no longer recorded. The difference to [`ADMIT_BYTES`]
/// holds about 250 of them.
pub(crate) const REFUSAL_BYTES: usize = 950_000;

/// Size above which results and details are cut to nothing.
pub(crate) const RESULT_BYTES: usize = 980_000;

/// Part of a result that is kept in the record.
pub(crate) const KEPT_RESULT_BYTES: usize = 4096;

/// Part of a detail that is kept in the record.
pub(crate) const KEPT_DETAIL_BYTES: usize = 256;

/// Room that is reserved for a worker's name, encoded.
pub(crate) const WORKER_BYTES: usize = 64;

/// Most that a placement adds: worker (8 + name) and time (25).
const PLACEMENT_BYTES: usize = WORKER_BYTES + 33;

/// Most that an open task's other changes add: state (8), attempt (15), two flags (18) and the frame
/// of a result (7).
const CHANGE_BYTES: usize = 48;

/// Most that the end of a record adds: time (25), cancellation (9), reason (25) and the frame of a
/// detail (7).
const END_BYTES: usize = 66;

/// Returns the size that a record counts with, with the comma that separates it from the next.
pub(crate) fn record_bytes(record: &LedgerRecord, encoded: &[u8]) -> usize {
    let tasks = record.tasks.iter().map(|task| match task.state {
        TaskState::Waiting => PLACEMENT_BYTES + CHANGE_BYTES,
        TaskState::Placed => CHANGE_BYTES,
        TaskState::Done
        | TaskState::Failed
        | TaskState::NotRun
        | TaskState::Unknown
        | TaskState::Cancelled => 0,
    });
    let end = match record.ended_ms {
        0 => END_BYTES,
        _ => 0,
    };
    encoded.len() + 1 + end + tasks.sum::<usize>()
}

/// Encodes a part of the store value.
///
/// # Panics
///
/// Panics if the value cannot be encoded, which the types of the store value exclude.
pub(crate) fn encode(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("ledger types have only string keys")
}

/// Returns the longest beginning of `text` with at most `raw` bytes that takes at most `room` bytes
/// when encoded.
pub(crate) fn cut(text: &str, raw: usize, room: usize) -> &str {
    let mut end = 0;
    let mut encoded = 0;
    for letter in text.chars() {
        encoded += match letter {
            '"' | '\\' | '\n' | '\r' | '\t' | '\u{8}' | '\u{c}' => 2,
            '\0'..='\u{1f}' => 6,
            _ => letter.len_utf8(),
        };
        if encoded > room || end + letter.len_utf8() > raw {
            break;
        }
        end += letter.len_utf8();
    }
    &text[..end]
}
