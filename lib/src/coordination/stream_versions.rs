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

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::rendezvous;
use super::stream_table::Entry;
use super::stream_table::StreamTable;
use super::version_list::MAX_VERSIONS;
use super::version_list::VersionList;
use crate::protocol::fleet::VersionHash;
use crate::protocol::platform::Era;
use crate::protocol::routing;

/// Identifies a stream: the caller's attempt that began it, with its service and team.
pub type StreamKey = u64;
/// Hash of a service's name.
pub type ServiceHash = u64;
/// Hash of a route's host and path prefix.
pub type RouteHash = u64;
/// The services of a route, with their weights.
pub type Split = Vec<(ServiceHash, u32)>;
/// Hash of a split.
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
    /// What the service is picked by; `None` if the caller doesn't name the attempt that began the
    /// stream, and any service of the route may run it.
    pub point: Option<u64>,
}

/// Minimum duration of the longest stream that any route allows.
const MIN_LONGEST_STREAM: Duration = Duration::from_secs(30);
/// Maximum time from the end of a stream until its caller takes it up.
const MAX_CALLER_PAUSE: Duration = Duration::from_secs(30);
/// Part of the retention after which a query for a stream keeps it longer.
const REFRESH_FRACTION: u32 = 8;

/// Key of the stream that an attempt of a caller began. Attempts of another service or team have
/// other keys, so a caller can't find out whether they exist.
pub fn stream_key(attempt: &str, service: &str, team: &str) -> StreamKey {
    rendezvous::mix(rendezvous::weight(attempt, service), rendezvous::weight(team, ""))
}

/// Hash of a split.
pub fn split_hash(split: &Split) -> SplitHash {
    let add = |hash, (service, weight): &(ServiceHash, u32)| {
        rendezvous::mix(rendezvous::mix(hash, *service), u64::from(*weight))
    };
    split.iter().fold(0, add)
}

impl Destination {
    /// Whether lists can tell the version of a stream that runs there. They can't for a service that
    /// the split would not choose.
    pub fn may_be_listed(&self) -> bool {
        self.route != 0
    }
}

/// A version of a service that counts.
#[derive(Clone, Copy, Debug, Default)]
struct CountedVersion {
    /// Since when no server of it is known.
    gone_since: Option<Instant>,
    /// Whether the store has listed it, so that streams may have begun at it.
    was_listed: bool,
    /// Whether streams may have begun at it, though it was never listed.
    began_unlisted: bool,
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
    /// Whether the last update had none.
    is_away: bool,
}

/// The streams whose version a box knows, and the versions of each service.
#[derive(Debug)]
pub struct StreamVersions {
    streams: StreamTable,
    subjects: HashMap<SubjectHash, Subject>,
    /// The splits of routes that count or are listed.
    splits: HashMap<SplitHash, Split>,
    /// Duration of the longest stream that a route allows, or allowed lately.
    longest_stream: Duration,
    /// Since when no route allows streams as long as that.
    shortened_at: Option<Instant>,
    /// Era of the store in which this box's state was read, and since when it knows that era.
    era: Option<(Era, Instant)>,
    /// Whether the boxes that run are the first of the fleet, so that there are no streams of boxes
    /// before them; `None` if that is not known yet.
    is_new_fleet: Option<bool>,
}

impl Default for StreamVersions {
    fn default() -> StreamVersions {
        StreamVersions {
            streams: StreamTable::default(),
            subjects: HashMap::new(),
            splits: HashMap::new(),
            longest_stream: MIN_LONGEST_STREAM,
            shortened_at: None,
            era: None,
            is_new_fleet: None,
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
        self.streams.insert(key, Entry { version, began_for: Some(destination), noted_at: now });
    }

    /// Records the version that another box or the store tells. A version that is known already
    /// stays.
    pub fn record_announcement(&mut self, key: StreamKey, version: VersionHash, now: Instant) {
        if self.version(key, now).is_none() {
            self.streams.insert(key, Entry { version, began_for: None, noted_at: now });
        }
    }

    /// The version at which a stream began, if this box knows it.
    pub fn version(&self, key: StreamKey, now: Instant) -> Option<VersionHash> {
        let entry = self.streams.get(key)?;
        (now < entry.noted_at + self.retention()).then_some(entry.version)
    }

    /// The version at which a stream began, for a caller that resumes it. The version is kept longer,
    /// because the caller may repeat its request.
    pub fn look_up(&mut self, key: StreamKey, now: Instant) -> Option<VersionHash> {
        let version = self.version(key, now)?;
        let entry = self.streams.get(key)?;
        if now >= entry.noted_at + self.retention() / REFRESH_FRACTION {
            self.streams.insert(key, Entry { noted_at: now, ..entry });
        }
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
        known.is_away = true;
        for version in versions {
            known.counted.entry(version).or_default().gone_since = None;
            known.is_away = false;
        }
        let has_several = self.has_several_versions(service, now);
        let known = self.subjects.entry(service).or_default();
        !std::mem::replace(&mut known.had_several, has_several) && has_several
    }

    /// Whether anything of a service or route counts or is listed.
    pub fn is_known(&self, subject: SubjectHash, now: Instant) -> bool {
        self.count_versions(subject, now) > 0 || self.list(subject).is_some()
    }

    /// Whether a service had no servers, or a route was not configured, at the last update.
    pub fn is_away(&self, subject: SubjectHash) -> bool {
        self.subjects.get(&subject).is_some_and(|known| known.is_away)
    }

    /// Records the era of the state that this box has read from the store.
    pub fn record_state(&mut self, era: Era, now: Instant) {
        if self.era.is_none_or(|(known, _)| known != era) {
            self.era = Some((era, now));
        }
    }

    /// The era of the state that this box has read from the store.
    pub fn era(&self) -> Option<Era> {
        self.era.map(|(era, _)| era)
    }

    /// Records whether the boxes that run are the first of the fleet.
    pub fn record_fleet(&mut self, is_new: bool) {
        self.is_new_fleet = Some(is_new);
    }

    /// Records the versions that the store lists for a service.
    pub fn apply_list(&mut self, service: ServiceHash, list: Option<VersionList>, now: Instant) {
        let known = self.subjects.entry(service).or_default();
        for version in list.iter().flat_map(|list| &list.versions) {
            let gone = CountedVersion { gone_since: Some(now), ..CountedVersion::default() };
            let counted = known.counted.entry(*version).or_insert(gone);
            counted.was_listed = true;
            counted.began_unlisted = false;
        }
        known.list = list;
    }

    /// Records the split of a route; `None` if it isn't configured. Returns whether it was another one,
    /// or none, at the last call. Requests don't wait for a split to be listed.
    pub fn record_split(
        &mut self,
        route: RouteHash,
        split: Option<SplitHash>,
        now: Instant,
    ) -> bool {
        let known = self.subjects.entry(route).or_default();
        let new = CountedVersion { began_unlisted: true, ..CountedVersion::default() };
        let is_new = split.is_some_and(|split| {
            let is_counted = known.counted.contains_key(&split);
            let counted = known.counted.entry(split).or_insert(new);
            !is_counted || counted.gone_since.is_some()
        });
        self.record_versions(route, split.into_iter(), now);
        is_new
    }

    /// Counts the splits of a route for another one too, to which its paths belong now. Streams that
    /// began under the first are resumed under the second. Returns whether one of them is new there.
    pub fn inherit_splits(&mut self, from: RouteHash, to: RouteHash, now: Instant) -> bool {
        let Some(earlier) = self.subjects.get(&from) else { return false };
        let splits: Vec<SplitHash> = self.counted(earlier, now).map(|(split, _)| split).collect();
        let gone = CountedVersion {
            gone_since: Some(now),
            began_unlisted: true,
            ..CountedVersion::default()
        };
        let later = self.subjects.entry(to).or_default();
        let count_before = later.counted.len();
        for split in splits {
            later.counted.entry(split).or_insert(gone);
        }
        later.counted.len() > count_before
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
        // What is gone isn't added again once it was listed: boxes that count it for different times
        // would add and remove it in turn.
        let counted = self.counted(known, now);
        let kept = counted.filter(|(version, counted)| {
            counted.gone_since.is_none() || counted.began_unlisted || is_listed(version)
        });
        let mut versions: BTreeSet<VersionHash> = kept.map(|(version, _)| version).collect();
        if versions.len() > MAX_VERSIONS {
            versions.retain(|version| known.counted[version].gone_since.is_none());
            return Some(VersionList { era, versions, complete: false });
        }
        if let Some(list) = known.list.as_ref().filter(|_| !is_current) {
            versions.extend(&list.versions);
        }
        if versions.is_empty() {
            return None;
        }
        // A version that left counts, but isn't listed, if another writer has removed the list.
        let is_missing = |(version, counted): (VersionHash, CountedVersion)| {
            counted.was_listed && !versions.contains(&version)
        };
        let lacks_version = self.counted(known, now).any(is_missing);
        let Some(list) = &known.list else {
            let complete = (self.is_new_fleet? || self.has_known_era(now)) && !lacks_version;
            return Some(VersionList { era, versions, complete });
        };
        // A list from before the store was restored may have lost versions that still have streams.
        let (era, complete) = match self.has_known_era(now) {
            true => (era, list.is_complete(era) || !lacks_version),
            // A box that started later doesn't know what an incomplete list lacks.
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
    pub fn has_proof(&self, destination: Destination, now: Instant) -> bool {
        let Some((era, _)) = self.era else { return false };
        let versions = self.list(destination.service);
        let splits = self.list(destination.route);
        versions.is_some_and(|list| list.sole_version(era).is_some())
            && splits.is_some_and(|list| self.is_sole_service(destination, (list, era), now))
    }

    /// The list that the store has for a service or route.
    pub fn list(&self, subject: SubjectHash) -> Option<&VersionList> {
        self.subjects.get(&subject)?.list.as_ref()
    }

    /// Whether several versions of the service count, or splits of the route that lead elsewhere.
    pub fn has_alternatives(&self, destination: Destination, now: Instant) -> bool {
        self.has_several_versions(destination.service, now)
            || !self.counted_splits_agree(destination, now)
    }

    /// Whether a stream that is not known otherwise began at the service to which its caller is led now,
    /// by the list of the route's splits that the store has. Requests don't wait for a split to be
    /// listed, so those count as well that only this box knows.
    pub fn is_sole_service(
        &self,
        destination: Destination,
        stored: (&VersionList, Era),
        now: Instant,
    ) -> bool {
        let (list, era) = stored;
        list.is_complete(era)
            && list.versions.iter().all(|split| self.leads_to(*split, destination))
            && self.counted_splits_agree(destination, now)
    }

    /// Whether this box knows nothing against a version that another box has by the lists.
    pub fn may_be_sole(
        &self,
        destination: Destination,
        version: VersionHash,
        now: Instant,
    ) -> bool {
        let known = self.subjects.get(&destination.service);
        let is_other = |(other, counted): (VersionHash, CountedVersion)| {
            other != version && counted.was_listed
        };
        let has_other = known.is_some_and(|known| self.counted(known, now).any(is_other));
        !has_other && self.counted_splits_agree(destination, now)
    }

    fn counted_splits_agree(&self, destination: Destination, now: Instant) -> bool {
        let Some(known) = self.subjects.get(&destination.route) else { return true };
        self.counted(known, now).all(|(split, _)| self.leads_to(split, destination))
    }

    fn leads_to(&self, split: SplitHash, destination: Destination) -> bool {
        let Some(services) = self.splits.get(&split) else { return false };
        let picked = match (destination.point, &services[..]) {
            (Some(point), services) => routing::pick(services, point),
            (None, [(only, _)]) => Some(only),
            (None, _) => None,
        };
        picked == Some(&destination.service)
    }

    /// Records the services of a split. Returns its hash.
    pub fn define_split(&mut self, split: Split) -> SplitHash {
        let hash = split_hash(&split);
        self.splits.insert(hash, split);
        hash
    }

    /// The services of a split.
    pub fn split(&self, hash: SplitHash) -> Option<&Split> {
        self.splits.get(&hash)
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
        let entries = self.streams.iter().filter(move |(_, entry)| may_run(entry));
        entries.filter_map(|(key, entry)| Some((entry.began_for?, key, entry.version)))
    }

    /// Drops what is no longer kept.
    pub fn expire(&mut self, now: Instant) {
        let retention = self.retention();
        self.streams.expire(retention, now);
        for Subject { counted, list, .. } in self.subjects.values_mut() {
            // What is still listed would be counted anew with the next state.
            counted.retain(|version, CountedVersion { gone_since, .. }| {
                gone_since.is_none_or(|since| now < since + retention)
                    || list.as_ref().is_some_and(|list| list.versions.contains(version))
            });
        }
        let subjects = &mut self.subjects;
        subjects.retain(|_, known| !known.counted.is_empty() || known.list.is_some());
        let is_used =
            |split: &SplitHash| subjects.values().any(|known| known.counted.contains_key(split));
        self.splits.retain(|split, _| is_used(split));
    }

    /// Number of streams that are kept.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether no stream is kept.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }
}
