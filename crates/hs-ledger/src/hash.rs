//! Hashes that are the same in every process and release.

use std::hash::Hasher;

use fnv::FnvHasher;
use hs_wire::Submission;

/// Characters of the key that a task id shows.
const SHOWN_KEY_CHARS: usize = 32;

/// Returns the partition that holds the record of (`customer`, `key`).
///
/// # Panics
///
/// Panics if `partition_count` is zero.
pub fn partition_of(customer: &str, key: &str, partition_count: u32) -> u32 {
    // The lowest bits of an FNV hash depend on the lowest bits of the input only, so that keys which
    // end in 0, 4 or 8 would share a partition of four. The finaliser of MurmurHash3 mixes all bits.
    let mut hash = name_hash(customer, key);
    for factor in [0xff51_afd7_ed55_8ccd_u64, 0xc4ce_b9fe_1a85_ec53] {
        hash = (hash ^ (hash >> 33)).wrapping_mul(factor);
    }
    hash ^= hash >> 33;
    let index = hash % u64::from(partition_count);
    u32::try_from(index).expect("a remainder of a u32 fits a u32")
}

/// Hashes the identity of a record.
pub(crate) fn name_hash(customer: &str, key: &str) -> u64 {
    hash_parts(&[customer, key])
}

/// Hashes what makes two submissions of one key the same work.
pub(crate) fn body_hash(submission: &Submission) -> u64 {
    hash_parts(&[
        &submission.customer,
        &submission.workload,
        &submission.payload,
    ])
}

/// Returns the record's part of its task ids.
///
/// Records with equal hashes are in one partition, which gives them different salts. The time of
/// admission tells a record from an expired one of the same key. The shown part of the key is for
/// people and may be equal for different keys.
pub(crate) fn record_id(customer: &str, key: &str, salt: u32, admitted_ms: u64) -> String {
    let hash = name_hash(customer, key);
    let shown = key
        .chars()
        .take(SHOWN_KEY_CHARS)
        .map(|letter| match letter {
            'a'..='z' | 'A'..='Z' | '0'..='9' | '-' | '_' => letter,
            _ => '_',
        });
    let shown: String = shown.collect();
    format!("{hash:016x}-{admitted_ms:x}-{salt}:{shown}")
}

/// Hashes strings with their lengths, so that moving a character from one to the next changes it.
fn hash_parts(parts: &[&str]) -> u64 {
    let mut hasher = FnvHasher::default();
    for part in parts {
        hasher.write(&(part.len() as u64).to_le_bytes());
        hasher.write(part.as_bytes());
    }
    hasher.finish()
}
