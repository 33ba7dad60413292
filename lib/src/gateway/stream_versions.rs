//! Keeps streams at the software version that began them when callers resume them: announces the
//! versions of streams to other boxes, and queries them for the version of a stream that this box
//! did not begin.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use super::box_reports;
use super::box_reports::REPLY_NUMBER;
use super::decision_log;
use super::job::Job;
use super::job::Origin;
use super::shared::Shared;
use super::shared::Snapshot;
use super::shared::lock;
use crate::coordination::loads::BoxReport;
use crate::coordination::presence;
use crate::coordination::rendezvous;
use crate::coordination::stream_versions;
use crate::coordination::stream_versions::BoxLocation;
use crate::coordination::stream_versions::StreamKey;
use crate::coordination::stream_versions::StreamReport;
use crate::coordination::stream_versions::StreamVersions;
use crate::error::ErrorKind;
use crate::error::Failure;
use crate::protocol::adapter::Adapter;
use crate::protocol::fleet::VersionHash;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::transport::timer;

/// Maximum number of streams in a datagram, at 16 bytes each.
const MAX_STREAMS_PER_REPORT: usize = 300;
/// Maximum wait for the version of a stream: a round trip between distant regions.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum wait for the holder in this region, which is the only one to be queried while this box
/// knows a single version. Another box may know of a second one already.
const NEAR_LOOKUP_TIMEOUT: Duration = Duration::from_millis(100);
/// Delay after which a caller is asked to retry if no box knows the version of its stream.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What told the version of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// This box began the stream, or is one of its holders.
    Own,
    /// Another box that holds it.
    Holder,
}

/// The version of a stream, and what told it.
#[derive(Clone, Copy, Debug)]
pub struct FoundVersion {
    /// The version.
    pub version: VersionHash,
    /// What told it.
    pub source: Source,
}

/// A stream whose version this box has queried.
#[derive(Debug, Default)]
struct Lookup {
    /// Hashes of the names of the boxes that have not responded.
    pending: Vec<u64>,
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

/// The versions of streams, the pending lookups, and the reports to be sent.
#[derive(Debug, Default)]
pub struct StreamDirectory {
    versions: StreamVersions,
    lookups: HashMap<StreamKey, Lookup>,
    outbox: HashMap<SocketAddr, StreamReport>,
}

impl StreamDirectory {
    /// Drops expired versions, and lookups whose requests are over.
    pub fn expire(&mut self, now: Instant) {
        self.versions.expire(now);
        self.lookups.retain(|_, lookup| lookup.requests.iter().any(|request| !request.is_closed()));
    }

    fn announce(&mut self, holders: &[BoxLocation<'_>], key: StreamKey, version: VersionHash) {
        for holder in holders {
            let report = self.outbox.entry(holder.address).or_default();
            report.announced.push(key);
            report.versions.push(version);
        }
    }

    /// Queries the holders of a stream for its version.
    fn query(
        &mut self,
        holders: &[BoxLocation<'_>],
        key: StreamKey,
    ) -> oneshot::Receiver<Option<VersionHash>> {
        let (sender, receiver) = oneshot::channel();
        let lookup = self.lookups.entry(key).or_default();
        lookup.requests.push(sender);
        for holder in holders {
            lookup.pending.push(presence::box_hash(holder.name));
            self.outbox.entry(holder.address).or_default().queried.push(key);
        }
        if holders.is_empty()
            && let Some(lookup) = self.lookups.remove(&key)
        {
            lookup.finish(None);
        }
        receiver
    }

    fn receive(&mut self, sender: u64, report: &StreamReport, from: SocketAddr, now: Instant) {
        for (key, version) in report.announced.iter().zip(&report.versions) {
            self.versions.record_announcement(*key, *version, now);
            if let Some(lookup) = self.lookups.remove(key) {
                lookup.finish(Some(*version));
            }
        }
        for key in &report.queried {
            let version = self.versions.version(*key, now);
            let response = self.outbox.entry(from).or_default();
            match version {
                Some(version) => {
                    response.announced.push(*key);
                    response.versions.push(version);
                }
                None => response.unknown.push(*key),
            }
        }
        for key in &report.unknown {
            let Some(lookup) = self.lookups.get_mut(key) else { continue };
            lookup.pending.retain(|holder| *holder != sender);
            if lookup.pending.is_empty()
                && let Some(lookup) = self.lookups.remove(key)
            {
                lookup.finish(None);
            }
        }
    }
}

/// The other boxes that hold the version of a stream.
fn other_holders<'a, A>(
    shared: &'a Shared<A>,
    snapshot: &'a Snapshot,
    key: StreamKey,
) -> Vec<BoxLocation<'a>> {
    let settings = &shared.settings;
    let own = BoxLocation {
        name: &settings.name,
        region: &settings.region,
        failure_domain: &settings.failure_domain,
        address: settings.listen.peers,
    };
    let others = snapshot.boxes.iter().map(|other| BoxLocation {
        name: &other.name,
        region: &other.region,
        failure_domain: &other.failure_domain,
        address: other.peers,
    });
    let mut holders = stream_versions::holders(key, others.chain([own]));
    holders.retain(|holder| holder.name != own.name);
    holders
}

fn stream_key(job: &Job, attempt: &str) -> StreamKey {
    let team = job.team.as_ref().map_or("", |team| team.name.as_str());
    stream_versions::stream_key(attempt, &job.service, team)
}

/// Records the version of a stream whose first event is about to be forwarded to its caller, and
/// announces it while the service has several versions.
pub fn record_begin<A: Adapter>(shared: &Shared<A>, job: &Job, version: Option<VersionHash>) {
    let Some(version) = version.filter(|_| job.origin == Origin::Caller && job.route.resumable)
    else {
        return;
    };
    let now = clock::now();
    let key = stream_key(job, job.first_attempt());
    let service = rendezvous::weight(&job.service, "");
    let has_several = {
        let mut directory = lock(&shared.streams);
        directory.versions.record_begin(key, service, version, now);
        directory.versions.has_several_versions(service, now)
    };
    if has_several {
        announce(shared, &shared.snapshot.load(), &[(key, version)]);
    }
}

/// Announces the versions of streams to their holders. The holders are found without the lock, since
/// the time that this takes grows with the number of boxes.
fn announce<A>(shared: &Shared<A>, snapshot: &Snapshot, streams: &[(StreamKey, VersionHash)]) {
    for (key, version) in streams {
        let holders = other_holders(shared, snapshot, *key);
        lock(&shared.streams).announce(&holders, *key, *version);
    }
    shared.stream_report.notify_one();
}

/// Records the versions of the servers of each service. Where a second one has appeared, the streams
/// that this box began are announced.
pub fn record_versions<A: Adapter>(shared: &Shared<A>, snapshot: &Snapshot, now: Instant) {
    let mut streams: Vec<(StreamKey, VersionHash)> = Vec::new();
    {
        let known = &mut lock(&shared.streams).versions;
        for (service, versions) in &snapshot.software {
            let service = rendezvous::weight(service, "");
            if known.record_versions(service, versions.keys().copied(), now) {
                streams.extend(known.own_streams(service, now));
            }
        }
    }
    if !streams.is_empty() {
        announce(shared, snapshot, &streams);
    }
}

/// The version at which a request must run because it continues a stream; `None` if any version may
/// run it. A stream of unknown version may continue only while there is a single one.
pub async fn version_to_continue<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: &Job,
) -> Result<Option<VersionHash>, Failure> {
    if job.origin == Origin::Peer {
        return Ok(job.forward.version);
    }
    if !job.continues_stream() {
        return Ok(None);
    }
    shared.counters.increment(Counter::StreamsResumed);
    let found = match &job.metadata.resumes {
        Some(attempt) => find_version(shared, job, stream_key(job, attempt)).await,
        None => None,
    };
    let known_versions = {
        let service = rendezvous::weight(&job.service, "");
        lock(&shared.streams).versions.count_versions(service, clock::now())
    };
    decision_log::stream_resumed(job, found, known_versions, shared.state_age_ms());
    let version = found.map(|found| found.version);
    if version.is_some() || !has_several_versions(shared, &job.service) {
        return Ok(version);
    }
    shared.counters.increment(Counter::StreamsOfUnknownVersion);
    let message = "the software version that began the stream is unknown";
    Err(Failure::new(ErrorKind::NoServer, message).with_retry_after(UNKNOWN_RETRY_AFTER))
}

/// Whether a service has servers of several versions, or recently had.
pub fn has_several_versions<A>(shared: &Shared<A>, service: &str) -> bool {
    let service = rendezvous::weight(service, "");
    lock(&shared.streams).versions.has_several_versions(service, clock::now())
}

/// Looks the version of a stream up here, and then at its holders.
async fn find_version<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: &Job,
    key: StreamKey,
) -> Option<FoundVersion> {
    let has_several = has_several_versions(shared, &job.service);
    let timeout = if has_several { LOOKUP_TIMEOUT } else { NEAR_LOOKUP_TIMEOUT };
    if let Some(version) = lock(&shared.streams).versions.version(key, clock::now()) {
        return Some(FoundVersion { version, source: Source::Own });
    }
    let response = {
        let snapshot = shared.snapshot.load();
        let mut holders = other_holders(shared, &snapshot, key);
        holders.retain(|holder| has_several || holder.region == shared.settings.region);
        lock(&shared.streams).query(&holders, key)
    };
    shared.stream_report.notify_one();
    let version =
        timer::timeout(timeout.min(job.time_left(clock::now())), response).await.ok()?.ok()?;
    version.map(|version| FoundVersion { version, source: Source::Holder })
}

/// Applies a report about streams, and responds to its queries.
pub fn receive<A: Adapter>(
    shared: &Shared<A>,
    socket: &UdpSocket,
    report: &BoxReport,
    from: SocketAddr,
    now: Instant,
) {
    let Some(streams) = &report.streams else { return };
    lock(&shared.streams).receive(report.sender, streams, from, now);
    send_reports(shared, socket);
}

/// Sends the pending announcements, queries and responses.
pub fn send_reports<A: Adapter>(shared: &Shared<A>, socket: &UdpSocket) {
    let outbox = std::mem::take(&mut lock(&shared.streams).outbox);
    for (address, report) in outbox {
        for streams in split(report) {
            let datagram = BoxReport {
                number: REPLY_NUMBER,
                sender: presence::box_hash(&shared.settings.name),
                incarnation: shared.incarnation,
                region: shared.settings.region.clone(),
                streams: Some(streams),
                ..BoxReport::default()
            };
            box_reports::send(socket, &datagram.encode_to_vec(), std::iter::once(&address));
        }
    }
}

/// Divides a report into parts that fit in a datagram.
fn split(mut report: StreamReport) -> Vec<StreamReport> {
    let mut parts = Vec::new();
    let take = |keys: &mut Vec<u64>| -> Vec<u64> {
        let count = keys.len().min(MAX_STREAMS_PER_REPORT);
        keys.drain(..count).collect()
    };
    while report != StreamReport::default() {
        parts.push(StreamReport {
            announced: take(&mut report.announced),
            versions: take(&mut report.versions),
            queried: take(&mut report.queried),
            unknown: take(&mut report.unknown),
        });
    }
    parts
}
