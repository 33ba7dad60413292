//! Boxes that are heard though the state from the store does not show them.
//!
//! A box that loses the store before its record is in it is in nobody's state,
//! so nobody sends it anything, and two of them in one region would each take
//! the whole of a bound for itself. Whoever hears such a box answers it, and
//! names it in its own datagrams; boxes that are named hear each other from then on.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::protocol::RegionId;

/// How long a box counts after it was last heard by anyone: fifty datagrams, some of which go to
/// boxes elsewhere, drawn at random.
const LIFE: Duration = Duration::from_secs(10);
/// Time after which a box that is still not shown is named: when a whole fleet starts, the store
/// shows all of it by then, and nobody need be named.
const UNSHOWN: Duration = Duration::from_secs(1);
/// Most boxes that a datagram names: some 700 bytes, which one packet holds.
pub const NAMED: usize = 16;

/// A box that is heard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Neighbor {
    /// What stands for it in datagrams.
    pub box_hash: u64,
    /// Its region.
    pub region: RegionId,
    /// Where datagrams reach it.
    pub address: SocketAddr,
}

/// A box as it is named in a datagram.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Named {
    /// What stands for it.
    #[prost(fixed64, tag = "1")]
    pub box_hash: u64,
    /// Its region.
    #[prost(string, tag = "2")]
    pub region: String,
    /// Where datagrams reach it.
    #[prost(string, tag = "3")]
    pub address: String,
    /// How long ago it was heard by anyone, milliseconds.
    #[prost(uint32, tag = "4")]
    pub heard_ms: u32,
}

#[derive(Debug)]
struct Heard {
    neighbor: Neighbor,
    /// When it was first heard.
    since: Instant,
    /// When it was last heard.
    at: Instant,
}

/// The boxes that are heard and not shown by the store.
#[derive(Debug, Default)]
pub struct Unlisted {
    listed: HashSet<u64>,
    heard: HashMap<u64, Heard>,
}

impl Unlisted {
    /// The store shows these boxes, the own one among them.
    pub fn list(&mut self, listed: HashSet<u64>) {
        self.heard.retain(|hash, _| !listed.contains(hash));
        self.listed = listed;
    }

    /// A box was heard then, here or by the box that names it.
    pub fn hear(&mut self, neighbor: Neighbor, at: Instant) {
        if self.listed.contains(&neighbor.box_hash) {
            return;
        }
        let known = self.heard.get(&neighbor.box_hash);
        let since = known.map_or(at, |known| known.since);
        if known.is_none_or(|known| known.at < at) {
            self.heard.insert(neighbor.box_hash, Heard { neighbor, since, at });
        }
    }

    /// Drops boxes that were not heard for long.
    pub fn expire(&mut self, now: Instant) {
        self.heard.retain(|_, heard| now < heard.at + LIFE);
    }

    /// The boxes.
    pub fn neighbors(&self) -> impl Iterator<Item = &Neighbor> {
        self.heard.values().map(|heard| &heard.neighbor)
    }

    /// Boxes of other regions that were heard after a moment and have not been shown for a while: they
    /// are answered.
    pub fn heard_after(&self, since: Instant, region: &str, now: Instant) -> Vec<SocketAddr> {
        let heard = self.heard.values().filter(|heard| heard.at > since);
        let unshown = heard.filter(|heard| now >= heard.since + UNSHOWN);
        let away = unshown.filter(|heard| heard.neighbor.region != region);
        away.map(|heard| heard.neighbor.address).collect()
    }

    /// Those heard last, as a datagram names them. An age goes with each name, so that boxes which
    /// name a box to each other do not keep it for ever.
    pub fn named(&self, now: Instant) -> Vec<Named> {
        let unshown = self.heard.values().filter(|heard| now >= heard.since + UNSHOWN);
        let mut newest: Vec<&Heard> = unshown.collect();
        newest.sort_by_key(|heard| std::cmp::Reverse(heard.at));
        let named = newest.into_iter().take(NAMED).map(|Heard { neighbor, at, .. }| Named {
            box_hash: neighbor.box_hash,
            region: neighbor.region.clone(),
            address: neighbor.address.to_string(),
            heard_ms: now.saturating_duration_since(*at).as_millis() as u32,
        });
        named.collect()
    }
}
