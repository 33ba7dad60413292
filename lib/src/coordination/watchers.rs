//! Which boxes watch the platform's store on behalf of their region.
//!
//! If each box had a watch, each change would cost one call for each box. Instead, a few boxes of
//! each region watch; the other boxes learn from the watchers' reports that there is a change, and
//! query a watcher for it. Each box determines from the known records whether it watches. While two
//! boxes disagree, both watch or neither does; the checks of [`freshness`](super::freshness) then
//! find changes that were missed.

use std::collections::BTreeMap;

use super::presence;
use super::rendezvous;
use crate::protocol::fleet::BoxRecord;

/// Watching boxes in each region: if one has stopped and another has lost the store unnoticed, a
/// third one still informs the others at once.
const WATCHERS_PER_REGION: usize = 3;

/// Whether a box is among the watchers of its region. The boxes with the highest weight are
/// watchers, since all other boxes query them; ties are resolved by rendezvous hashing.
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

/// Maximum number of watchers in all regions, including this box.
pub fn max_watchers(others: &[BoxRecord]) -> usize {
    let mut regions: BTreeMap<&str, usize> = BTreeMap::new();
    for record in others {
        *regions.entry(&record.region).or_default() += 1;
    }
    1 + regions.values().map(|boxes| (*boxes).min(WATCHERS_PER_REGION)).sum::<usize>()
}
