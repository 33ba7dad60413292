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
const NEIGHBOR_TTL: Duration = Duration::from_secs(10);
/// Time after which a box that is still not shown is named: when a whole fleet starts, the store
/// shows all of it by then, and nobody need be named.
const LISTING_GRACE: Duration = Duration::from_secs(1);
/// Most boxes that a datagram names: some 700 bytes, which one packet holds.
pub const MAX_NAMED: usize = 16;

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
pub struct NeighborRecord {
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
struct HeardNeighbor {
    neighbor: Neighbor,
    /// When it was first heard.
    first_heard_at: Instant,
    /// When it was last heard.
    last_heard_at: Instant,
}

/// The boxes that are heard and not shown by the store.
#[derive(Debug, Default)]
pub struct Unlisted {
    listed: HashSet<u64>,
    heard: HashMap<u64, HeardNeighbor>,
}

impl Unlisted {
    /// The store shows these boxes, the own one among them.
    pub fn set_listed(&mut self, listed: HashSet<u64>) {
        self.heard.retain(|hash, _| !listed.contains(hash));
        self.listed = listed;
    }

    /// A box was heard then, here or by the box that names it.
    pub fn record(&mut self, neighbor: Neighbor, last_heard_at: Instant) {
        if self.listed.contains(&neighbor.box_hash) {
            return;
        }
        let previous = self.heard.get(&neighbor.box_hash);
        let first_heard_at = previous.map_or(last_heard_at, |previous| previous.first_heard_at);
        if previous.is_none_or(|previous| previous.last_heard_at < last_heard_at) {
            self.heard.insert(
                neighbor.box_hash,
                HeardNeighbor { neighbor, first_heard_at, last_heard_at },
            );
        }
    }

    /// Drops boxes that were not heard for long.
    pub fn expire(&mut self, now: Instant) {
        self.heard.retain(|_, heard| now < heard.last_heard_at + NEIGHBOR_TTL);
    }

    /// The boxes.
    pub fn neighbors(&self) -> impl Iterator<Item = &Neighbor> {
        self.heard.values().map(|heard| &heard.neighbor)
    }

    /// Boxes of other regions that were heard after a moment and have not been shown for a while: they
    /// are answered.
    pub fn remote_heard_after(
        &self,
        first_heard_at: Instant,
        region: &str,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let heard = self.heard.values().filter(|heard| heard.last_heard_at > first_heard_at);
        let unlisted = heard.filter(|heard| now >= heard.first_heard_at + LISTING_GRACE);
        let remote = unlisted.filter(|heard| heard.neighbor.region != region);
        remote.map(|heard| heard.neighbor.address).collect()
    }

    /// Those heard last, as a datagram names them. An age goes with each name, so that boxes which
    /// name a box to each other do not keep it for ever.
    pub fn neighbor_records(&self, now: Instant) -> Vec<NeighborRecord> {
        let unlisted =
            self.heard.values().filter(|heard| now >= heard.first_heard_at + LISTING_GRACE);
        let mut newest: Vec<&HeardNeighbor> = unlisted.collect();
        newest.sort_by_key(|heard| std::cmp::Reverse(heard.last_heard_at));
        let records = newest.into_iter().take(MAX_NAMED).map(
            |HeardNeighbor { neighbor, last_heard_at, .. }| NeighborRecord {
                box_hash: neighbor.box_hash,
                region: neighbor.region.clone(),
                address: neighbor.address.to_string(),
                heard_ms: now.saturating_duration_since(*last_heard_at).as_millis() as u32,
            },
        );
        records.collect()
    }
}
