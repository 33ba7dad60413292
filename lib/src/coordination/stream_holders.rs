//! The boxes that hold the version of a stream. Any box finds them without asking, by rendezvous hashing.

use std::cmp::Reverse;
use std::net::SocketAddr;

use super::rendezvous;
use super::stream_versions::StreamKey;
use crate::protocol::fleet::BoxRecord;

/// Minimum number of holders of a stream, if there are so many boxes.
const MIN_HOLDERS: usize = 3;
/// Maximum number of holders of a stream.
const MAX_HOLDERS: usize = 4;

/// A box that may hold versions of streams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BoxLocation<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its region.
    pub region: &'a str,
    /// Its failure domain.
    pub failure_domain: &'a str,
    /// Its address for other boxes.
    pub address: SocketAddr,
}

impl<'a> From<&'a BoxRecord> for BoxLocation<'a> {
    fn from(record: &'a BoxRecord) -> BoxLocation<'a> {
        BoxLocation {
            name: &record.name,
            region: &record.region,
            failure_domain: &record.failure_domain,
            address: record.peers,
        }
    }
}

/// The boxes that hold the version of a stream: one in each region, so that one of them is near, and
/// others if there are few regions, in different failure domains if possible.
pub fn holders<'a>(
    key: StreamKey,
    boxes: impl Iterator<Item = BoxLocation<'a>>,
) -> Vec<BoxLocation<'a>> {
    let weight =
        |location: &BoxLocation<'_>| rendezvous::mix(rendezvous::weight(location.name, ""), key);
    let mut ranked: Vec<(u64, BoxLocation<'a>)> =
        boxes.map(|location| (weight(&location), location)).collect();
    ranked.sort_unstable_by_key(|(weight, _)| Reverse(*weight));
    let mut chosen: Vec<BoxLocation<'a>> = Vec::with_capacity(MAX_HOLDERS);
    let mut choose = |count: usize, is_new: fn(&BoxLocation<'_>, &BoxLocation<'_>) -> bool| {
        for (_, location) in &ranked {
            if chosen.len() < count && chosen.iter().all(|other| is_new(location, other)) {
                chosen.push(*location);
            }
        }
    };
    choose(MAX_HOLDERS, |location, other| location.region != other.region);
    choose(MIN_HOLDERS, |location, other| location.failure_domain != other.failure_domain);
    choose(MIN_HOLDERS, |location, other| location.name != other.name);
    chosen
}
