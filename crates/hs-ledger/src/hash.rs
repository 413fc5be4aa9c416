//! Hashes whose values must not change between processes and releases.

use std::hash::Hasher;

use fnv::FnvHasher;
use hs_wire::Submission;

/// Maximum number of characters of the key in a task id.
const MAX_KEY_CHARS_IN_ID: usize = 32;

/// Returns the partition that holds the record of (`customer`, `key`).
///
/// # Panics
///
/// Panics if `partition_count` is zero.
pub fn partition_of(customer: &str, key: &str, partition_count: u32) -> u32 {
    // The lowest bits of an FNV hash depend only on the lowest bits of the input. Without further
    // mixing, keys that end in 0, 4 or 8 would share one of four partitions. The finalizer of
    // MurmurHash3 mixes all bits.
    let mut hash = identity_hash(customer, key);
    for factor in [0xff51_afd7_ed55_8ccd_u64, 0xc4ce_b9fe_1a85_ec53] {
        hash = (hash ^ (hash >> 33)).wrapping_mul(factor);
    }
    hash ^= hash >> 33;
    let index = hash % u64::from(partition_count);
    u32::try_from(index).expect("a remainder of a u32 fits a u32")
}

/// Returns the hash of the (customer, key) pair that identifies a record.
pub(crate) fn identity_hash(customer: &str, key: &str) -> u64 {
    hash_parts(&[customer, key])
}

/// Returns the hash of the fields in which two submissions of one key must agree to be the same
/// work.
pub(crate) fn body_hash(submission: &Submission) -> u64 {
    hash_parts(&[
        &submission.customer,
        &submission.workload,
        &submission.payload,
    ])
}

/// Returns the part of a task id that identifies the record.
///
/// Records with equal hashes are in the same partition, which gives them different salts. The time
/// of admission distinguishes a record from an expired one with the same key. The beginning of the
/// key is for people and need not be unique.
pub(crate) fn record_id(customer: &str, key: &str, salt: u32, admitted_ms: u64) -> String {
    let hash = identity_hash(customer, key);
    let shown = key
        .chars()
        .take(MAX_KEY_CHARS_IN_ID)
        .map(|character| match character {
            'a'..='z' | 'A'..='Z' | '0'..='9' | '-' | '_' => character,
            _ => '_',
        });
    let shown: String = shown.collect();
    format!("{hash:016x}-{admitted_ms:x}-{salt}:{shown}")
}

/// Hashes strings together with their lengths, so that moving a character from one string to the
/// next changes the hash.
fn hash_parts(parts: &[&str]) -> u64 {
    let mut hasher = FnvHasher::default();
    for part in parts {
        hasher.write(&(part.len() as u64).to_le_bytes());
        hasher.write(part.as_bytes());
    }
    hasher.finish()
}
