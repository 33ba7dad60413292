//! What a box knows of the versions of streams, the lookups that it waits for, and what it has to tell
//! other boxes and the store.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Instant;

use tokio::sync::oneshot;

use crate::coordination::presence;
use crate::coordination::stream_holders::BoxLocation;
use crate::coordination::stream_report::NO_POINT;
use crate::coordination::stream_report::StreamReport;
use crate::coordination::stream_versions::Destination;
use crate::coordination::stream_versions::StreamKey;
use crate::coordination::stream_versions::StreamVersions;
use crate::protocol::fleet::VersionHash;
use crate::protocol::platform::Era;

/// Maximum number of streams that wait to be written to the store; the oldest are dropped first.
const MAX_UNWRITTEN: usize = 20_000;

/// A stream whose version this box has queried.
#[derive(Debug, Default)]
struct Lookup {
    /// Hashes of the names of the boxes that have not responded.
    pending: Vec<u64>,
    destination: Destination,
    requests: Vec<oneshot::Sender<Option<VersionHash>>>,
}

impl Lookup {
    fn finish(self, version: Option<VersionHash>) {
        for request in self.requests {
            // The request may be over.
            let _ = request.send(version);
        }
    }
}

/// The version of a stream, by a read of the store.
#[derive(Clone, Copy, Debug)]
pub enum StoredVersion {
    /// A batch has the stream.
    Recorded(VersionHash),
    /// By the lists, no other version is possible.
    Proved(VersionHash),
}

impl StoredVersion {
    fn version(self) -> VersionHash {
        match self {
            StoredVersion::Recorded(version) | StoredVersion::Proved(version) => version,
        }
    }
}

/// A stream to look up in the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreLookup {
    /// The stream.
    pub key: StreamKey,
    /// Where the request of its caller goes.
    pub destination: Destination,
    /// The box that asked; `None` if it is this one.
    pub asked_by: Option<SocketAddr>,
    /// Number of reads of the store that found no list of the service's versions.
    pub reads_without_list: u32,
}

/// The versions of streams, the pending lookups, and the reports to be sent.
#[derive(Debug, Default)]
pub struct StreamDirectory {
    /// The versions of streams and services.
    pub versions: StreamVersions,
    /// Names of the routes whose splits the store lists, or that were configured lately.
    pub route_names: BTreeSet<String>,
    lookups: HashMap<StreamKey, Lookup>,
    pub(super) outbox: HashMap<SocketAddr, StreamReport>,
    /// Streams that began here and that the recorder has not been sent.
    pub(super) begun: Vec<(StreamKey, VersionHash)>,
    /// Streams that this box is to write to the store, as the recorder of its region.
    unwritten: VecDeque<(StreamKey, VersionHash)>,
    store_lookups: Vec<StoreLookup>,
    /// Whether the state from the store was too old to rely on when this was last checked.
    pub(super) was_aging: bool,
    /// Era of the store when this was last checked.
    pub(super) last_era: Option<Era>,
}

impl StreamDirectory {
    /// Drops expired versions, and lookups whose requests are over.
    pub fn expire(&mut self, now: Instant) {
        self.versions.expire(now);
        self.lookups.retain(|_, lookup| lookup.requests.iter().any(|request| !request.is_closed()));
    }

    pub(super) fn announce(
        &mut self,
        holders: &[BoxLocation<'_>],
        key: StreamKey,
        version: VersionHash,
    ) {
        for holder in holders {
            let report = self.outbox.entry(holder.address).or_default();
            report.announced.push(key);
            report.versions.push(version);
        }
    }

    /// Takes the streams that began here since the last call.
    pub fn take_begun(&mut self) -> Vec<(StreamKey, VersionHash)> {
        std::mem::take(&mut self.begun)
    }

    /// Sends streams to the recorder at an address.
    pub fn send_begun(&mut self, recorder: SocketAddr, streams: &[(StreamKey, VersionHash)]) {
        let report = self.outbox.entry(recorder).or_default();
        report.begun.extend(streams.iter().map(|(key, _)| *key));
        report.begun_versions.extend(streams.iter().map(|(_, version)| *version));
    }

    /// Adds streams that this box is to write to the store.
    pub fn add_unwritten(&mut self, streams: impl IntoIterator<Item = (StreamKey, VersionHash)>) {
        self.unwritten.extend(streams);
        let excess = self.unwritten.len().saturating_sub(MAX_UNWRITTEN);
        self.unwritten.drain(..excess);
    }

    /// Takes the streams to write next, in the order in which they began.
    pub fn take_unwritten(&mut self, count: usize) -> Vec<(StreamKey, VersionHash)> {
        let count = self.unwritten.len().min(count);
        self.unwritten.drain(..count).collect()
    }

    /// Takes the lookups that wait for a read of the store.
    pub fn take_store_lookups(&mut self) -> Vec<StoreLookup> {
        std::mem::take(&mut self.store_lookups)
    }

    /// Adds a lookup that waits for a read of the store.
    pub fn add_store_lookup(&mut self, lookup: StoreLookup) {
        self.store_lookups.push(lookup);
    }

    /// Records that the store could not be read for a lookup. Another box reads it itself.
    pub fn fail_store_lookup(&mut self, lookup: StoreLookup, own_hash: u64) {
        match lookup.asked_by {
            Some(asked_by) => {
                self.outbox.entry(asked_by).or_default().not_looked_up.push(lookup.key);
            }
            None => self.record_unknown(lookup.key, own_hash),
        }
    }

    /// Records the result of a read of the store for a box that asked, or for this one.
    pub fn finish_store_lookup(
        &mut self,
        lookup: StoreLookup,
        found: Option<StoredVersion>,
        own_hash: u64,
    ) {
        match (lookup.asked_by, found) {
            // The box that asked may know of more versions, and must not tell others.
            (Some(asked_by), Some(StoredVersion::Proved(version))) => {
                let response = self.outbox.entry(asked_by).or_default();
                response.proved.push(lookup.key);
                response.proved_versions.push(version);
            }
            (Some(asked_by), found) => {
                self.respond(asked_by, lookup.key, found.map(StoredVersion::version));
            }
            (None, found) => match found {
                Some(found) => self.finish_lookup(lookup.key, Some(found.version())),
                None => self.record_unknown(lookup.key, own_hash),
            },
        }
    }

    fn respond(&mut self, to: SocketAddr, key: StreamKey, version: Option<VersionHash>) {
        let response = self.outbox.entry(to).or_default();
        match version {
            Some(version) => {
                response.announced.push(key);
                response.versions.push(version);
            }
            None => response.unknown.push(key),
        }
    }

    fn finish_lookup(&mut self, key: StreamKey, version: Option<VersionHash>) {
        if let Some(lookup) = self.lookups.remove(&key) {
            lookup.finish(version);
        }
    }

    /// Records that a box doesn't know a stream. The lookup ends when none of them does.
    fn record_unknown(&mut self, key: StreamKey, by: u64) {
        let Some(lookup) = self.lookups.get_mut(&key) else { return };
        lookup.pending.retain(|holder| *holder != by);
        if lookup.pending.is_empty() {
            self.finish_lookup(key, None);
        }
    }

    /// Queries the holders of a stream for its version, and the recorder, which is this box if there
    /// is no other one.
    pub(super) fn query(
        &mut self,
        holders: &[BoxLocation<'_>],
        recorder: Option<&BoxLocation<'_>>,
        (key, destination): (StreamKey, Destination),
        own_hash: u64,
    ) -> oneshot::Receiver<Option<VersionHash>> {
        let (sender, receiver) = oneshot::channel();
        let lookup = self.lookups.entry(key).or_default();
        lookup.destination = destination;
        lookup.requests.push(sender);
        let others =
            holders.iter().filter(|holder| Some(holder.name) != recorder.map(|box_| box_.name));
        for holder in others.chain(recorder) {
            lookup.pending.push(presence::box_hash(holder.name));
            let report = self.outbox.entry(holder.address).or_default();
            // The destinations are those of the first streams.
            match recorder.is_some_and(|recorder| recorder.name == holder.name) {
                true => {
                    report.queried.insert(0, key);
                    report.queried_services.insert(0, destination.service);
                    report.queried_routes.insert(0, destination.route);
                    report.queried_points.insert(0, destination.point.unwrap_or(NO_POINT));
                }
                false => report.queried.push(key),
            }
        }
        if recorder.is_none() {
            self.query_store(key, own_hash);
        }
        receiver
    }

    /// Looks a stream up in the store for a request of this box.
    pub(super) fn query_store(&mut self, key: StreamKey, own_hash: u64) {
        let Some(lookup) = self.lookups.get_mut(&key) else { return };
        if !lookup.pending.contains(&own_hash) {
            lookup.pending.push(own_hash);
            let destination = lookup.destination;
            self.store_lookups.push(StoreLookup {
                key,
                destination,
                asked_by: None,
                reads_without_list: 0,
            });
        }
    }

    pub(super) fn receive(
        &mut self,
        sender: u64,
        report: &StreamReport,
        from: SocketAddr,
        own_hash: u64,
        now: Instant,
    ) {
        for (key, version) in report.announced.iter().zip(&report.versions) {
            self.versions.record_announcement(*key, *version, now);
            self.finish_lookup(*key, Some(*version));
        }
        let begun = report.begun.iter().copied().zip(report.begun_versions.iter().copied());
        for (key, version) in begun.clone() {
            self.versions.record_announcement(key, version, now);
        }
        self.add_unwritten(begun);
        for (number, key) in report.queried.iter().enumerate() {
            let version = self.versions.look_up(*key, now);
            match queried_destination(report, number) {
                Some(destination) if version.is_none() => self.store_lookups.push(StoreLookup {
                    key: *key,
                    destination,
                    asked_by: Some(from),
                    reads_without_list: 0,
                }),
                _ => self.respond(from, *key, version),
            }
        }
        for key in &report.not_looked_up {
            self.query_store(*key, own_hash);
        }
        for (key, version) in report.proved.iter().zip(&report.proved_versions) {
            let Some(lookup) = self.lookups.get(key) else { continue };
            match self.versions.may_be_sole(lookup.destination, *version, now) {
                true => self.finish_lookup(*key, Some(*version)),
                false => self.record_unknown(*key, sender),
            }
        }
        for key in report.unknown.iter().chain(&report.not_looked_up) {
            self.record_unknown(*key, sender);
        }
    }
}

/// The destination of a queried stream, if the receiver is to look it up in the store.
fn queried_destination(report: &StreamReport, number: usize) -> Option<Destination> {
    Some(Destination {
        service: *report.queried_services.get(number)?,
        route: *report.queried_routes.get(number)?,
        point: Some(*report.queried_points.get(number)?).filter(|point| *point != NO_POINT),
    })
}
