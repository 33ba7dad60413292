//! The software versions at which streams began, so that a stream that its caller resumes continues
//! at the same version.
//!
//! Servers of two versions write events that do not fit together. A caller may resume a stream at
//! any box, also after the box that began it is gone, and names only the attempt that brought the
//! first event. A box that begins a stream keeps its version under a key made from that attempt.
//! While the service has several versions, it also announces the version to the holders of the key,
//! a few boxes that any box finds by rendezvous hashing, and to the recorder of its region, which
//! writes it to the store. Nothing is sent while there is a single version; a box that sees a second
//! one appear then announces the streams that it began before.
//!
//! The store also lists the versions of each service (see
//! [`version_record`](super::version_record)). A version counts while it has servers, while it is
//! listed, and until no stream of it can run any more.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::rendezvous;
use super::version_record::VersionRecord;
use crate::protocol::fleet::BoxRecord;
use crate::protocol::fleet::VersionHash;
use crate::protocol::platform::Era;

/// Identifies a stream: the caller's attempt that began it, with its service and team.
pub type StreamKey = u64;
/// Hash of a service's name.
pub type ServiceHash = u64;

/// Minimum duration of the longest stream that any route allows.
const MIN_LONGEST_STREAM: Duration = Duration::from_secs(30);
/// Maximum time from the end of a stream until its caller takes it up.
const MAX_CALLER_PAUSE: Duration = Duration::from_secs(30);
/// Maximum number of streams kept; the oldest are dropped first.
const MAX_STREAMS: usize = 200_000;
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

#[derive(Clone, Copy, Debug)]
struct Entry {
    version: VersionHash,
    /// The service, if this box began the stream.
    began_for: Option<ServiceHash>,
    noted_at: Instant,
}

/// The versions of a service.
#[derive(Debug, Default)]
struct ServiceVersions {
    /// The versions that count, and since when no server of them is known.
    counted: HashMap<VersionHash, Option<Instant>>,
    /// The versions that the store lists, if it does.
    recorded: Option<VersionRecord>,
    /// Whether several versions counted at the last update.
    had_several: bool,
}

/// The streams whose version a box knows, and the versions of each service.
#[derive(Debug)]
pub struct StreamVersions {
    entries: HashMap<StreamKey, Entry>,
    /// Keys by the time at which they were noted; a key may occur several times.
    noted: VecDeque<(Instant, StreamKey)>,
    services: HashMap<ServiceHash, ServiceVersions>,
    /// Duration of the longest stream that a route allows.
    longest_stream: Duration,
    /// When this box read its first state from the store, and the era of that.
    first_state: Option<(Instant, Era)>,
}

impl Default for StreamVersions {
    fn default() -> StreamVersions {
        StreamVersions {
            entries: HashMap::new(),
            noted: VecDeque::new(),
            services: HashMap::new(),
            longest_stream: MIN_LONGEST_STREAM,
            first_state: None,
        }
    }
}

impl StreamVersions {
    /// How long the version of a stream is kept, and how long a version counts after its last server
    /// is gone.
    pub fn retention(&self) -> Duration {
        self.longest_stream + MAX_CALLER_PAUSE
    }

    /// Sets the longest timeout of a route on which streams may be resumed.
    pub fn set_longest_stream(&mut self, timeout: Duration) {
        self.longest_stream = timeout.max(MIN_LONGEST_STREAM);
    }

    /// Whether a version without servers since `gone_since` still counts.
    fn counts(&self, gone_since: Option<Instant>, now: Instant) -> bool {
        gone_since.is_none_or(|since| now < since + self.retention())
    }

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

    /// Records the version that another box or the store tells. A version that is known already
    /// stays.
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
        (now < entry.noted_at + self.retention()).then_some(entry.version)
    }

    /// Records the versions of the known servers of a service. Returns whether several versions count
    /// now, and only one did at the last call.
    pub fn record_versions(
        &mut self,
        service: ServiceHash,
        versions: impl Iterator<Item = VersionHash>,
        now: Instant,
    ) -> bool {
        let known = self.services.entry(service).or_default();
        for gone_since in known.counted.values_mut() {
            gone_since.get_or_insert(now);
        }
        known.counted.extend(versions.map(|version| (version, None)));
        let has_several = self.has_several_versions(service, now);
        let known = self.services.entry(service).or_default();
        !std::mem::replace(&mut known.had_several, has_several) && has_several
    }

    /// Records that this box has read a state of an era from the store.
    pub fn record_state(&mut self, era: Era, now: Instant) {
        self.first_state.get_or_insert((now, era));
    }

    /// Records the versions that the store lists for a service.
    pub fn apply_record(
        &mut self,
        service: ServiceHash,
        record: Option<VersionRecord>,
        now: Instant,
    ) {
        let known = self.services.entry(service).or_default();
        for version in record.iter().flat_map(|record| &record.versions) {
            known.counted.entry(*version).or_insert(Some(now));
        }
        known.recorded = record;
    }

    /// The record that the store should have for a service, if it has another one.
    pub fn record_to_write(
        &self,
        service: ServiceHash,
        era: Era,
        now: Instant,
    ) -> Option<VersionRecord> {
        let known = self.services.get(&service)?;
        let counted = known.counted.iter().filter(|(_, gone_since)| self.counts(**gone_since, now));
        let versions: BTreeSet<VersionHash> = counted.map(|(version, _)| *version).collect();
        if versions.is_empty() {
            return None;
        }
        let Some(recorded) = &known.recorded else { return Some(VersionRecord { era, versions }) };
        // After the store was restored from an older copy, only boxes that have run since before, or
        // for long enough, know that no version is missing.
        let era = if self.has_seen_before(era, now) { era } else { recorded.era };
        let record = VersionRecord { era, versions };
        (record != *recorded).then_some(record)
    }

    fn has_seen_before(&self, era: Era, now: Instant) -> bool {
        self.first_state.is_some_and(|(_, first_era)| first_era < era)
            || self.has_run_for_retention(now)
    }

    fn has_run_for_retention(&self, now: Instant) -> bool {
        self.first_state.is_some_and(|(at, _)| now >= at + self.retention())
    }

    /// Those of a service's versions at which no resumable stream may begin, because the store lists
    /// only others.
    pub fn unrecorded(
        &self,
        service: ServiceHash,
        versions: impl Iterator<Item = VersionHash>,
    ) -> Vec<VersionHash> {
        let recorded = self.services.get(&service).and_then(|known| known.recorded.as_ref());
        let Some(recorded) = recorded else { return Vec::new() };
        versions.filter(|version| !recorded.versions.contains(version)).collect()
    }

    /// The versions that the store lists for a service.
    pub fn recorded_versions(&self, service: ServiceHash) -> Vec<VersionHash> {
        let recorded = self.services.get(&service).and_then(|known| known.recorded.as_ref());
        recorded.map_or_else(Vec::new, |record| record.versions.iter().copied().collect())
    }

    /// Whether several versions of a service count.
    pub fn has_several_versions(&self, service: ServiceHash, now: Instant) -> bool {
        self.count_versions(service, now) > 1
    }

    /// Number of versions of a service that count.
    pub fn count_versions(&self, service: ServiceHash, now: Instant) -> usize {
        let Some(known) = self.services.get(&service) else { return 0 };
        known.counted.values().filter(|gone_since| self.counts(**gone_since, now)).count()
    }

    /// Streams of a service that this box began and that may still run.
    pub fn own_streams(
        &self,
        service: ServiceHash,
        now: Instant,
    ) -> impl Iterator<Item = (StreamKey, VersionHash)> {
        let of_service = self.running_streams(now).filter(move |(of, ..)| *of == service);
        of_service.map(|(_, key, version)| (key, version))
    }

    /// Streams that this box began and that may still run, with their services.
    pub fn running_streams(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (ServiceHash, StreamKey, VersionHash)> {
        let longest_stream = self.longest_stream;
        let may_run = move |entry: &Entry| now < entry.noted_at + longest_stream;
        let entries = self.entries.iter().filter(move |(_, entry)| may_run(entry));
        entries.filter_map(|(key, entry)| Some((entry.began_for?, *key, entry.version)))
    }

    /// Drops what is no longer kept.
    pub fn expire(&mut self, now: Instant) {
        let retention = self.retention();
        while self.noted.front().is_some_and(|(noted_at, _)| now >= *noted_at + retention) {
            self.drop_oldest();
        }
        for known in self.services.values_mut() {
            known
                .counted
                .retain(|_, gone_since| gone_since.is_none_or(|since| now < since + retention));
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
    /// Services of the queried streams, in their order, if the receiver is to look them up in the
    /// store.
    #[prost(fixed64, repeated, tag = "5")]
    pub queried_services: Vec<ServiceHash>,
    /// Streams that the receiver is to write to the store.
    #[prost(fixed64, repeated, tag = "6")]
    pub begun: Vec<StreamKey>,
    /// Versions of these streams, in their order.
    #[prost(fixed64, repeated, tag = "7")]
    pub begun_versions: Vec<VersionHash>,
    /// Queried streams that the sender could not look up in the store.
    #[prost(fixed64, repeated, tag = "8")]
    pub not_looked_up: Vec<StreamKey>,
}
