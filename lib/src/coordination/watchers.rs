//! Which boxes watch the platform's store for all others of their region.
//!
//! A watch of each box costs a call a box for each change. A few boxes of each
//! region watch instead; the others learn from them that there is something new
//! and ask for it. No box is told that it watches: each works it out from the
//! records that it knows. Two boxes that disagree for a moment both watch, or
//! neither does; then the looks of [`freshness`](super::freshness) find what
//! was missed.

use std::collections::BTreeMap;

use super::presence;
use super::rendezvous;
use crate::protocol::fleet::BoxRecord;

/// Boxes of a region that watch: with one that has stopped, and one that has lost the store without
/// knowing it, a third one still tells the others at once.
const WATCHERS_PER_REGION: usize = 3;

/// Whether a box is among those that watch for its region. The strongest do, since all others ask
/// them; among equals, the first by rendezvous.
pub fn is_watcher<'a>(own: &BoxRecord, others: impl Iterator<Item = &'a BoxRecord>) -> bool {
    let rank = |record: &BoxRecord| {
        let key = rendezvous::weight(&record.region, "watch");
        (record.weight, rendezvous::mix(presence::box_hash(&record.name), key))
    };
    let own_rank = rank(own);
    let same_region = others.filter(|other| other.region == own.region && !other.leaving);
    same_region.filter(|other| rank(other) > own_rank).take(WATCHERS_PER_REGION).count()
        < WATCHERS_PER_REGION
}

/// Most boxes of all regions that watch, the own one among them.
pub fn max_watchers(others: &[BoxRecord]) -> usize {
    let mut regions: BTreeMap<&str, usize> = BTreeMap::new();
    for record in others {
        *regions.entry(&record.region).or_default() += 1;
    }
    1 + regions.values().map(|boxes| (*boxes).min(WATCHERS_PER_REGION)).sum::<usize>()
}
