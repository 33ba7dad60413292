//! The software versions at which streams began, so that a stream that its caller resumes continues
//! at the same version.
//!
//! Servers of two versions write events that do not fit together. A caller may resume a stream at
//! any box, also after the box that began it is gone, and names only the attempt that brought the
//! first event. A box that begins a stream keeps its version under a key made from that attempt.
//! While the service has several versions, it also announces the version to the holders of the key,
//! a few boxes that any box finds by rendezvous hashing. Nothing is sent while there is a single
//! version; a box that sees a second one appear then announces the streams that it began before.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::rendezvous;
use crate::protocol::fleet::VersionHash;

/// Identifies a stream: the caller's attempt that began it, with its service and team.
pub type StreamKey = u64;
/// Hash of a service's name.
type ServiceHash = u64;

/// How long the version of a stream is kept, and how long a version counts after its last server
/// is gone. A stream may run for tens of seconds before its caller takes it up.
const RETENTION: Duration = Duration::from_secs(60);
/// Age up to which streams are announced when a second version appears. Older ones have ended.
const MAX_STREAM_AGE: Duration = Duration::from_secs(30);
/// Maximum number of streams kept; the oldest are dropped first.
const MAX_STREAMS: usize = 50_000;
/// Minimum number of holders of a stream, if there are so many boxes.
const MIN_HOLDERS: usize = 3;
/// Maximum number of holders of a stream.
const MAX_HOLDERS: usize = 4;

/// Key of the stream that an attempt of a caller began. Attempts of another service or team have
/// other keys, so a caller can't find out whether they exist.
pub fn stream_key(attempt: &str, service: &str, team: &str) -> StreamKey {
    rendezvous::mix(rendezvous::weight(attempt, service), rendezvous::weight(team, ""))
}

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

#[derive(Clone, Copy, Debug)]
struct Entry {
    version: VersionHash,
    /// The service, if this box began the stream.
    began_for: Option<ServiceHash>,
    noted_at: Instant,
}

/// Whether a version without servers since `gone_since` still counts.
fn counts(gone_since: Option<Instant>, now: Instant) -> bool {
    gone_since.is_none_or(|since| now < since + RETENTION)
}

/// The streams whose version a box knows, and the versions of each service.
#[derive(Debug, Default)]
pub struct StreamVersions {
    entries: HashMap<StreamKey, Entry>,
    /// Keys by the time at which they were noted; a key may occur several times.
    noted: VecDeque<(Instant, StreamKey)>,
    /// Versions of each service, and since when no server of them is known.
    services: HashMap<ServiceHash, HashMap<VersionHash, Option<Instant>>>,
}

impl StreamVersions {
    /// Records that this box begins or continues a stream.
    pub fn record_begin(
        &mut self,
        key: StreamKey,
        service: ServiceHash,
        version: VersionHash,
        now: Instant,
    ) {
        self.insert(key, Entry { version, began_for: Some(service), noted_at: now });
    }

    /// Records the version that another box announces. A version that is known already stays.
    pub fn record_announcement(&mut self, key: StreamKey, version: VersionHash, now: Instant) {
        if self.version(key, now).is_none() {
            self.insert(key, Entry { version, began_for: None, noted_at: now });
        }
    }

    fn insert(&mut self, key: StreamKey, entry: Entry) {
        self.entries.insert(key, entry);
        self.noted.push_back((entry.noted_at, key));
        while self.noted.len() > MAX_STREAMS {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((noted_at, key)) = self.noted.pop_front() else { return };
        if self.entries.get(&key).is_some_and(|entry| entry.noted_at == noted_at) {
            self.entries.remove(&key);
        }
    }

    /// The version at which a stream began, if this box knows it.
    pub fn version(&self, key: StreamKey, now: Instant) -> Option<VersionHash> {
        let entry = self.entries.get(&key)?;
        (now < entry.noted_at + RETENTION).then_some(entry.version)
    }

    /// Records the versions of the known servers of a service. Returns whether there are now
    /// several, and there was only one before.
    pub fn record_versions(
        &mut self,
        service: ServiceHash,
        versions: impl Iterator<Item = VersionHash>,
        now: Instant,
    ) -> bool {
        let had_several = self.has_several_versions(service, now);
        let known = self.services.entry(service).or_default();
        for gone_since in known.values_mut() {
            gone_since.get_or_insert(now);
        }
        known.extend(versions.map(|version| (version, None)));
        !had_several && self.has_several_versions(service, now)
    }

    /// Whether a service has servers of several versions, or recently had.
    pub fn has_several_versions(&self, service: ServiceHash, now: Instant) -> bool {
        self.count_versions(service, now) > 1
    }

    /// Number of versions of which a service has servers, or recently had.
    pub fn count_versions(&self, service: ServiceHash, now: Instant) -> usize {
        let Some(versions) = self.services.get(&service) else { return 0 };
        versions.values().filter(|gone_since| counts(**gone_since, now)).count()
    }

    /// Streams of a service that this box began and that may still run.
    pub fn own_streams(
        &self,
        service: ServiceHash,
        now: Instant,
    ) -> impl Iterator<Item = (StreamKey, VersionHash)> {
        let may_run = move |entry: &Entry| {
            entry.began_for == Some(service) && now < entry.noted_at + MAX_STREAM_AGE
        };
        let entries = self.entries.iter().filter(move |(_, entry)| may_run(entry));
        entries.map(|(key, entry)| (*key, entry.version))
    }

    /// Drops what is no longer kept.
    pub fn expire(&mut self, now: Instant) {
        while self.noted.front().is_some_and(|(noted_at, _)| now >= *noted_at + RETENTION) {
            self.drop_oldest();
        }
        for versions in self.services.values_mut() {
            versions.retain(|_, gone_since| counts(*gone_since, now));
        }
    }

    /// Number of streams that are kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no stream is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Announcements of stream versions, queries for them and responses to queries.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StreamReport {
    /// Streams whose versions are announced.
    #[prost(fixed64, repeated, tag = "1")]
    pub announced: Vec<StreamKey>,
    /// Versions of these streams, in their order.
    #[prost(fixed64, repeated, tag = "2")]
    pub versions: Vec<VersionHash>,
    /// Streams whose versions are queried.
    #[prost(fixed64, repeated, tag = "3")]
    pub queried: Vec<StreamKey>,
    /// Queried streams that the sender doesn't know.
    #[prost(fixed64, repeated, tag = "4")]
    pub unknown: Vec<StreamKey>,
}
