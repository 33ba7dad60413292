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
//! The store also lists the versions of each service (see [`version_list`](super::version_list)). A
//! version counts while it has servers and until no stream of it can run any more; a version that a
//! box finds in a list counts as if its servers had just left.
//!
//! A stream also stays with its service. A route that has several, or another one than before, may
//! lead the caller elsewhere. The splits of each route are kept, counted and listed like the versions
//! of a service: what a version is to a service, a split is to a route.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::rendezvous;
use super::version_list::VersionList;
use crate::protocol::fleet::BoxRecord;
use crate::protocol::fleet::VersionHash;
use crate::protocol::platform::Era;

/// Identifies a stream: the caller's attempt that began it, with its service and team.
pub type StreamKey = u64;
/// Hash of a service's name.
pub type ServiceHash = u64;
/// Hash of a route's host and path prefix.
pub type RouteHash = u64;
/// Hash of the services of a route and their weights.
pub type SplitHash = u64;
/// Hash of what a list in the store is about: a service with its versions, or a route with its splits.
pub type SubjectHash = u64;

/// Where the requests of a stream's callers go.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Destination {
    /// The service.
    pub service: ServiceHash,
    /// The route that led there.
    pub route: RouteHash,
    /// The split by which the route led there.
    pub split: SplitHash,
}

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

impl Destination {
    /// Whether lists can tell the version of a stream that runs there. They can't for a service that
    /// the split would not choose.
    pub fn may_be_listed(&self) -> bool {
        self.route != 0
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
    /// Where it runs, if this box began the stream.
    began_for: Option<Destination>,
    noted_at: Instant,
}

/// A version of a service that counts.
#[derive(Clone, Copy, Debug, Default)]
struct CountedVersion {
    /// Since when no server of it is known.
    gone_since: Option<Instant>,
    /// Whether the store has listed it, so that streams may have begun at it.
    was_listed: bool,
}

/// The versions of a service, or the splits of a route.
#[derive(Debug, Default)]
struct Subject {
    /// The versions that count.
    counted: HashMap<VersionHash, CountedVersion>,
    /// The versions that the store lists, if it does.
    list: Option<VersionList>,
    /// Whether several versions counted at the last update.
    had_several: bool,
}

/// The streams whose version a box knows, and the versions of each service.
#[derive(Debug)]
pub struct StreamVersions {
    entries: HashMap<StreamKey, Entry>,
    /// Keys by the time at which they were noted; a key may occur several times.
    noted: VecDeque<(Instant, StreamKey)>,
    subjects: HashMap<SubjectHash, Subject>,
    /// Duration of the longest stream that a route allows, or allowed lately.
    longest_stream: Duration,
    /// Since when no route allows streams as long as that.
    shortened_at: Option<Instant>,
    /// Era of the store in which this box's state was read, and since when it knows that era.
    era: Option<(Era, Instant)>,
    /// Whether this box is the first of its name; `None` if that is not known yet.
    is_first_start: Option<bool>,
    /// Whether streams may have begun at versions that were never listed, or whose list was removed.
    has_unlisted: bool,
}

impl Default for StreamVersions {
    fn default() -> StreamVersions {
        StreamVersions {
            entries: HashMap::new(),
            noted: VecDeque::new(),
            subjects: HashMap::new(),
            longest_stream: MIN_LONGEST_STREAM,
            shortened_at: None,
            era: None,
            is_first_start: None,
            has_unlisted: false,
        }
    }
}

impl StreamVersions {
    /// How long the version of a stream is kept, and how long a version counts after its last server
    /// is gone.
    pub fn retention(&self) -> Duration {
        self.longest_stream + MAX_CALLER_PAUSE
    }

    /// Sets the longest timeout of a route on which streams may be resumed. Streams that began under
    /// a longer one may still run.
    pub fn set_longest_stream(&mut self, timeout: Duration, now: Instant) {
        let timeout = timeout.max(MIN_LONGEST_STREAM);
        if timeout < self.longest_stream
            && now < *self.shortened_at.get_or_insert(now) + self.retention()
        {
            return;
        }
        self.longest_stream = timeout;
        self.shortened_at = None;
    }

    /// Whether a version without servers since `gone_since` still counts.
    fn counts(&self, gone_since: Option<Instant>, now: Instant) -> bool {
        gone_since.is_none_or(|since| now < since + self.retention())
    }

    /// Records that this box begins or continues a stream.
    pub fn record_begin(
        &mut self,
        key: StreamKey,
        destination: Destination,
        version: VersionHash,
        now: Instant,
    ) {
        self.insert(key, Entry { version, began_for: Some(destination), noted_at: now });
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

    /// The version at which a stream began, for a caller that resumes it. The version is kept longer,
    /// because the caller may repeat its request.
    pub fn look_up(&mut self, key: StreamKey, now: Instant) -> Option<VersionHash> {
        let version = self.version(key, now)?;
        let entry = *self.entries.get(&key)?;
        self.insert(key, Entry { noted_at: now, ..entry });
        Some(version)
    }

    /// Records the versions of the known servers of a service. Returns whether several versions count
    /// now, and only one did at the last call.
    pub fn record_versions(
        &mut self,
        service: ServiceHash,
        versions: impl Iterator<Item = VersionHash>,
        now: Instant,
    ) -> bool {
        let known = self.subjects.entry(service).or_default();
        for version in known.counted.values_mut() {
            version.gone_since.get_or_insert(now);
        }
        for version in versions {
            known.counted.entry(version).or_default().gone_since = None;
        }
        let has_several = self.has_several_versions(service, now);
        let known = self.subjects.entry(service).or_default();
        !std::mem::replace(&mut known.had_several, has_several) && has_several
    }

    /// Records the era of the state that this box has read from the store.
    pub fn record_state(&mut self, era: Era, now: Instant) {
        if self.era.is_none_or(|(known, _)| known != era) {
            self.era = Some((era, now));
        }
    }

    /// Whether this box has read a state from the store.
    pub fn knows_era(&self) -> bool {
        self.era.is_some()
    }

    /// Records whether no box has run under this box's name before.
    pub fn record_start(&mut self, is_first: bool) {
        self.is_first_start.get_or_insert(is_first);
    }

    /// Records whether the fleet has or had boxes that begin streams at versions that are not listed.
    pub fn record_unlisted(&mut self, has_unlisted: bool) {
        self.has_unlisted |= has_unlisted;
    }

    /// Records the versions that the store lists for a service.
    pub fn apply_list(&mut self, service: ServiceHash, list: Option<VersionList>, now: Instant) {
        let known = self.subjects.entry(service).or_default();
        for version in list.iter().flat_map(|list| &list.versions) {
            let gone = CountedVersion { gone_since: Some(now), was_listed: true };
            known.counted.entry(*version).or_insert(gone).was_listed = true;
        }
        self.has_unlisted |= known.list.is_some() && list.is_none();
        known.list = list;
    }

    /// The list that the store should have for a service, if it has another one. Only a box whose
    /// state is current may take versions from the list.
    pub fn list_to_write(
        &self,
        service: ServiceHash,
        is_current: bool,
        now: Instant,
    ) -> Option<VersionList> {
        let needed = self.needed_list(service, is_current, now)?;
        (self.list(service) != Some(&needed)).then_some(needed)
    }

    /// The list that the store should have for a service or route; `None` if nothing of it counts, or
    /// this box can't tell yet.
    pub fn needed_list(
        &self,
        subject: SubjectHash,
        is_current: bool,
        now: Instant,
    ) -> Option<VersionList> {
        let known = self.subjects.get(&subject)?;
        let (era, _) = self.era?;
        let is_listed = |version: &VersionHash| {
            known.list.as_ref().is_some_and(|list| list.versions.contains(version))
        };
        // A version without servers is never added: boxes that count it for different times would
        // add and remove it in turn.
        let counted = self.counted(known, now);
        let kept =
            counted.filter(|(version, counted)| counted.gone_since.is_none() || is_listed(version));
        let mut versions: BTreeSet<VersionHash> = kept.map(|(version, _)| version).collect();
        if let Some(list) = known.list.as_ref().filter(|_| !is_current) {
            versions.extend(&list.versions);
        }
        if versions.is_empty() {
            return None;
        }
        let Some(list) = &known.list else {
            let is_new = self.is_first_start? && !self.has_unlisted;
            let complete = is_new || self.has_known_era(now);
            return Some(VersionList { era, versions, complete });
        };
        // A list from before the store was restored may have lost versions that still have streams.
        let (era, complete) = match self.has_known_era(now) {
            true => (era, true),
            false => (list.era, list.complete),
        };
        Some(VersionList { era, versions, complete })
    }

    /// Whether this box has known the store's era for as long as streams may run.
    fn has_known_era(&self, now: Instant) -> bool {
        self.era.is_some_and(|(_, since)| now >= since + self.retention())
    }

    /// The versions at which resumable streams of a service may begin; `None` if the store has no list.
    /// A version that this box saw listed while it has servers is one of them, whatever another writer
    /// has made of the list since.
    pub fn listed_versions(&self, service: ServiceHash) -> Option<Vec<VersionHash>> {
        let known = self.subjects.get(&service)?;
        let list = known.list.as_ref()?;
        let were_listed = known.counted.iter().filter(|(version, counted)| {
            counted.was_listed && counted.gone_since.is_none() && !list.versions.contains(version)
        });
        let were_listed = were_listed.map(|(version, _)| *version);
        Some(list.versions.iter().copied().chain(were_listed).collect())
    }

    /// Whether the lists tell the version of streams that nobody knows.
    pub fn has_proof(&self, destination: Destination) -> bool {
        let Some((era, _)) = self.era else { return false };
        let sole = |subject| self.list(subject).and_then(|list| list.sole_version(era));
        sole(destination.service).is_some() && sole(destination.route) == Some(destination.split)
    }

    /// The list that the store has for a service or route.
    pub fn list(&self, subject: SubjectHash) -> Option<&VersionList> {
        self.subjects.get(&subject)?.list.as_ref()
    }

    /// Whether several versions of the service, or splits of the route, count.
    pub fn has_alternatives(&self, destination: Destination, now: Instant) -> bool {
        let Destination { service, route, .. } = destination;
        self.has_several_versions(service, now) || self.has_several_versions(route, now)
    }

    /// Whether every stream of a route that is not known otherwise began by this split, by the list that
    /// the store has now.
    pub fn is_sole_split(
        &self,
        destination: Destination,
        stored: (&VersionList, Era),
        now: Instant,
    ) -> bool {
        // Requests don't wait for a new split to be listed.
        let sole = self.sole_version(destination.route, stored, false, now);
        sole == Some(destination.split)
    }

    /// Whether several versions of a service count.
    pub fn has_several_versions(&self, service: ServiceHash, now: Instant) -> bool {
        self.count_versions(service, now) > 1
    }

    /// Number of versions of a service that count.
    pub fn count_versions(&self, service: ServiceHash, now: Instant) -> usize {
        let Some(known) = self.subjects.get(&service) else { return 0 };
        self.counted(known, now).count()
    }

    fn counted<'a>(
        &'a self,
        known: &'a Subject,
        now: Instant,
    ) -> impl Iterator<Item = (VersionHash, CountedVersion)> + 'a {
        let counted = known.counted.iter().map(|(version, counted)| (*version, *counted));
        counted.filter(move |(_, counted)| self.counts(counted.gone_since, now))
    }

    /// The version at which a stream of a service began that is not known otherwise, by the list that
    /// the store has now. A version that left the list lately counts as well, because a write may have
    /// been late. Unless `all_wait_for_list`, so do versions that were never listed.
    pub fn sole_version(
        &self,
        service: ServiceHash,
        stored: (&VersionList, Era),
        all_wait_for_list: bool,
        now: Instant,
    ) -> Option<VersionHash> {
        let (list, era) = stored;
        let sole = list.sole_version(era)?;
        let is_other = |(version, counted): (VersionHash, CountedVersion)| {
            version != sole && (counted.was_listed || !all_wait_for_list)
        };
        let known = self.subjects.get(&service);
        let has_other = known.is_some_and(|known| self.counted(known, now).any(is_other));
        (!has_other).then_some(sole)
    }

    /// Streams of a service or route that this box began and that may still run.
    pub fn own_streams(
        &self,
        subject: SubjectHash,
        now: Instant,
    ) -> impl Iterator<Item = (StreamKey, VersionHash)> {
        let of_subject = self
            .running_streams(now)
            .filter(move |(of, ..)| of.service == subject || of.route == subject);
        of_subject.map(|(_, key, version)| (key, version))
    }

    /// Streams that this box began and that may still run, with their destinations.
    pub fn running_streams(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (Destination, StreamKey, VersionHash)> {
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
        for Subject { counted, list, .. } in self.subjects.values_mut() {
            // What is still listed would be counted anew with the next state.
            counted.retain(|version, CountedVersion { gone_since, .. }| {
                gone_since.is_none_or(|since| now < since + retention)
                    || list.as_ref().is_some_and(|list| list.versions.contains(version))
            });
        }
        self.subjects.retain(|_, known| !known.counted.is_empty() || known.list.is_some());
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
    /// Routes of the queried streams, in the order of the services.
    #[prost(fixed64, repeated, tag = "9")]
    pub queried_routes: Vec<RouteHash>,
    /// Splits of these routes, in their order.
    #[prost(fixed64, repeated, tag = "10")]
    pub queried_splits: Vec<SplitHash>,
}
