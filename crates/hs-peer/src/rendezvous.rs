//! Rendezvous hashing (highest random weight).
//!
//! All processes must compute the same owner, even if they run different releases. The functions
//! here are therefore fixed, unlike `std::hash`: changing them would move workers between processes
//! that run different releases.

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the hash of the name of a worker or member: FNV-1a followed by a finalizer, because
/// FNV-1a alone gives close values for names that differ only in the last digit.
pub fn hash_name(name: &str) -> u64 {
    let hash = name.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    mix(hash)
}

/// Returns the hash of the number of a ledger partition.
pub fn hash_number(number: u32) -> u64 {
    mix(FNV_OFFSET_BASIS.wrapping_add(u64::from(number)))
}

/// Returns the weight of a member for an item (a worker or a partition), both given by their
/// hashes. The member with the highest weight is preferred.
pub fn weight(item: u64, member: u64) -> u64 {
    mix(item ^ member.rotate_left(32))
}

/// Applies the finalizer of splitmix64, a bijection in which each input bit affects all output
/// bits.
pub(crate) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
