//! Rendezvous hashing: who does a duty, without anybody being asked.
//!
//! Every box ranks the same names for the same duty in the same order, and a
//! box that comes or goes moves only its own duties.

use rapidhash::v3::rapidhash_v3;

/// Weight of a name for a duty.
pub fn weight(name: &str, duty: &str) -> u64 {
    let mut bytes = Vec::with_capacity(name.len() + duty.len() + 1);
    bytes.extend_from_slice(name.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(duty.as_bytes());
    rapidhash_v3(&bytes)
}

/// Whether `name` is among the first `count` for a duty.
pub fn holds<'a>(
    name: &str,
    names: impl Iterator<Item = &'a str>,
    duty: &str,
    count: usize,
) -> bool {
    let own = (weight(name, duty), name);
    let ahead = names.filter(|other| (weight(other, duty), *other) > own).count();
    ahead < count
}
