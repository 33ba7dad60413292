//! Boxes that send datagrams though the copy of the store's state does not list them.
//!
//! A box that loses the store before its record is written appears in no box's state. Nobody sends
//! it anything, and two such boxes in a region would each use a limit in full. A box that receives
//! datagrams from an unlisted box answers it and names it in its own datagrams, so that unlisted
//! boxes learn of each other.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::protocol::RegionId;

/// How long a box is kept after any box has last heard it: fifty datagrams, some of which go to
/// randomly chosen boxes of other regions.
const NEIGHBOR_TTL: Duration = Duration::from_secs(10);
/// Time after which a box that is still unlisted is named. When a whole fleet starts, the store
/// lists all of it by then, and none need be named.
const LISTING_GRACE: Duration = Duration::from_secs(1);
/// Maximum number of boxes named in a datagram: some 700 bytes, which fit one packet.
pub const MAX_NAMED: usize = 16;

/// A box that sends datagrams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Neighbor {
    /// Hash of the box's name.
    pub box_hash: u64,
    /// Region of the box.
    pub region: RegionId,
    /// Address for datagrams.
    pub address: SocketAddr,
}

/// A box as named in a datagram.
#[derive(Clone, PartialEq, prost::Message)]
pub struct NeighborRecord {
    /// Hash of the box's name.
    #[prost(fixed64, tag = "1")]
    pub box_hash: u64,
    /// Region of the box.
    #[prost(string, tag = "2")]
    pub region: String,
    /// Address for datagrams.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Time since any box last heard it, milliseconds.
    #[prost(uint32, tag = "4")]
    pub heard_ms: u32,
}

#[derive(Debug)]
struct HeardNeighbor {
    neighbor: Neighbor,
    /// When the box was first heard.
    first_heard_at: Instant,
    /// When the box was last heard.
    last_heard_at: Instant,
}

/// Boxes that are heard and not listed by the store.
#[derive(Debug, Default)]
pub struct Unlisted {
    listed: HashSet<u64>,
    heard: HashMap<u64, HeardNeighbor>,
}

impl Unlisted {
    /// Sets the boxes that the store lists, this box included.
    pub fn set_listed(&mut self, listed: HashSet<u64>) {
        self.heard.retain(|hash, _| !listed.contains(hash));
        self.listed = listed;
    }

    /// Records that a box was heard at that time, by this box or by one that named it.
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

    /// Drops boxes that have not been heard recently.
    pub fn expire(&mut self, now: Instant) {
        self.heard.retain(|_, heard| now < heard.last_heard_at + NEIGHBOR_TTL);
    }

    /// The unlisted boxes.
    pub fn neighbors(&self) -> impl Iterator<Item = &Neighbor> {
        self.heard.values().map(|heard| &heard.neighbor)
    }

    /// Addresses of boxes of other regions that were heard after `since` and have been unlisted for
    /// a while; this box answers them.
    pub fn remote_heard_after(
        &self,
        since: Instant,
        region: &str,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let heard = self.heard.values().filter(|heard| heard.last_heard_at > since);
        let unlisted = heard.filter(|heard| now >= heard.first_heard_at + LISTING_GRACE);
        let remote = unlisted.filter(|heard| heard.neighbor.region != region);
        remote.map(|heard| heard.neighbor.address).collect()
    }

    /// The boxes to name in a datagram, latest first. Each has an age, so that boxes which name a
    /// box to each other do not keep it forever.
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
