//! Boxes that send datagrams though the copy of the store's state does not list them.
//!
//! A box that loses the store before its record is written appears in no box's state. No box sends
//! it datagrams, and two such boxes in a region would each use a limit in full. A box that receives
//! datagrams from an unlisted box replies to it and names that box in its own datagrams, so that
//! unlisted boxes learn of each other.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::protocol::RegionId;

/// How long a box is kept after any box last received a datagram from it: fifty datagrams, some of
/// which go to randomly chosen boxes of other regions.
pub const NEIGHBOR_TTL: Duration = Duration::from_secs(10);
/// Time after which a box that is still unlisted is named. When a whole fleet starts, the store
/// lists all of it by then, and none need be named.
const LISTING_GRACE: Duration = Duration::from_secs(1);
/// Maximum number of boxes named in a datagram: some 700 bytes, which fit one packet.
pub const MAX_NAMED_BOXES: usize = 16;

/// A box that sends datagrams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Neighbor {
    /// Hash of the box's name.
    pub box_hash: u64,
    /// Region of the box.
    pub region: RegionId,
    /// Address for datagrams.
    pub address: SocketAddr,
    /// Port on the same host at which the box is asked for its state, and for its identity.
    pub handover_port: u16,
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
    /// Time since any box last received a datagram from it, milliseconds.
    #[prost(uint32, tag = "4")]
    pub heard_ms: u32,
    /// Port at which it is asked for its state; 0 from boxes of older builds.
    #[prost(uint32, tag = "5")]
    pub handover_port: u32,
}

#[derive(Debug)]
struct NeighborEntry {
    neighbor: Neighbor,
    /// When a datagram from the box was first received.
    first_received_at: Instant,
    /// When a datagram from the box was last received.
    last_received_at: Instant,
}

/// Boxes whose datagrams are received though the store does not list them.
#[derive(Debug, Default)]
pub struct Unlisted {
    listed: HashSet<u64>,
    neighbors: HashMap<u64, NeighborEntry>,
}

impl Unlisted {
    /// Sets the boxes that the store lists, this box included.
    pub fn set_listed(&mut self, listed: HashSet<u64>) {
        self.neighbors.retain(|hash, _| !listed.contains(hash));
        self.listed = listed;
    }

    /// Records a datagram from `neighbor` that was received at `last_received_at`, by this box or
    /// by a box that named it.
    pub fn record(&mut self, neighbor: Neighbor, last_received_at: Instant) {
        if self.listed.contains(&neighbor.box_hash) {
            return;
        }
        let previous = self.neighbors.get(&neighbor.box_hash);
        let first_received_at =
            previous.map_or(last_received_at, |previous| previous.first_received_at);
        if previous.is_none_or(|previous| previous.last_received_at < last_received_at) {
            self.neighbors.insert(
                neighbor.box_hash,
                NeighborEntry { neighbor, first_received_at, last_received_at },
            );
        }
    }

    /// Drops boxes without a recent datagram.
    pub fn expire(&mut self, now: Instant) {
        self.neighbors.retain(|_, entry| now < entry.last_received_at + NEIGHBOR_TTL);
    }

    /// The unlisted boxes.
    pub fn neighbors(&self) -> impl Iterator<Item = &Neighbor> {
        self.neighbors.values().map(|entry| &entry.neighbor)
    }

    /// Addresses of boxes of other regions whose datagrams arrived after `since` and that have been
    /// unlisted for a while; this box replies to them.
    pub fn remote_received_after(
        &self,
        since: Instant,
        region: &str,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let recent = self.neighbors.values().filter(|entry| entry.last_received_at > since);
        let unlisted = recent.filter(|entry| now >= entry.first_received_at + LISTING_GRACE);
        let remote = unlisted.filter(|entry| entry.neighbor.region != region);
        remote.map(|entry| entry.neighbor.address).collect()
    }

    /// The boxes to name in a datagram, latest first. Each has an age, so that boxes which name a
    /// box to each other do not keep it forever.
    pub fn neighbor_records(&self, now: Instant) -> Vec<NeighborRecord> {
        let unlisted =
            self.neighbors.values().filter(|entry| now >= entry.first_received_at + LISTING_GRACE);
        let mut newest: Vec<&NeighborEntry> = unlisted.collect();
        newest.sort_by_key(|entry| std::cmp::Reverse(entry.last_received_at));
        let records = newest.into_iter().take(MAX_NAMED_BOXES).map(
            |NeighborEntry { neighbor, last_received_at, .. }| NeighborRecord {
                box_hash: neighbor.box_hash,
                region: neighbor.region.clone(),
                address: neighbor.address.to_string(),
                handover_port: u32::from(neighbor.handover_port),
                heard_ms: now.saturating_duration_since(*last_received_at).as_millis() as u32,
            },
        );
        records.collect()
    }
}
