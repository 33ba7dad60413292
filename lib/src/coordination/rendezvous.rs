//! Rendezvous hashing: assigns duties to boxes without communication.
//!
//! Every box ranks the same names for a key in the same order. A box that joins or leaves moves
//! only its own duties.

use rapidhash::v3::rapidhash_v3;

/// Weight of a name for a key.
pub fn weight(name: &str, key: &str) -> u64 {
    let mut bytes = Vec::with_capacity(name.len() + key.len() + 1);
    bytes.extend_from_slice(name.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(key.as_bytes());
    rapidhash_v3(&bytes)
}

/// Whether `name` is among the `count` names with the highest weights for a key.
pub fn is_selected<'a>(
    name: &str,
    names: impl Iterator<Item = &'a str>,
    key: &str,
    count: usize,
) -> bool {
    let own = (weight(name, key), name);
    let ahead = names.filter(|other| (weight(other, key), *other) > own).count();
    ahead < count
}

/// Weight of a hashed name for a hashed key, computed without a string.
pub fn mix(name: u64, key: u64) -> u64 {
    // The finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
    let mut bits = name ^ key.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
