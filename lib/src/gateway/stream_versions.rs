//! Keeps streams at the software version that began them when callers resume them: announces the
//! versions of streams to other boxes, and queries them for the version of a stream that this box
//! did not begin. One box of each region, its recorder, also writes the streams to the store and
//! looks them up there, see [`stream_records`](super::stream_records).

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
use super::stream_routes;
use crate::coordination::loads::BoxReport;
use crate::coordination::presence;
use crate::coordination::rendezvous;
use crate::coordination::stream_batch::StreamBatch;
use crate::coordination::stream_holders;
use crate::coordination::stream_holders::BoxLocation;
use crate::coordination::stream_report::StreamReport;
use crate::coordination::stream_versions;
use crate::coordination::stream_versions::Destination;
use crate::coordination::stream_versions::ServiceHash;
use crate::coordination::stream_versions::StreamKey;
use crate::error::ErrorKind;
use crate::error::Failure;
use crate::protocol::adapter::Adapter;
use crate::protocol::fleet::BoxRecord;
use crate::protocol::fleet::VersionHash;
use crate::protocol::routing::ServiceId;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::transport::timer;

/// Maximum number of streams of each kind in a datagram, at 96 bytes for one of each.
const MAX_STREAMS_PER_REPORT: usize = 70;
/// Maximum wait for other boxes: a round trip between distant regions, or a read of the store by the
/// recorder. After that, this box reads the store itself.
const QUERY_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum wait for the store then.
const STORE_LOOKUP_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after which a caller is asked to retry if no box knows the version of its stream.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Ranks the boxes of a region to find its recorder.
const RECORDER_KEY: &str = "streams";

/// What told the version of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// This box began the stream, or is one of its holders.
    Own,
    /// Another box, or the store.
    Other,
}

/// The version of a stream, and what told it.
#[derive(Clone, Debug)]
pub struct FoundVersion {
    /// The service that runs the stream.
    pub service: ServiceId,
    /// The version.
    pub version: VersionHash,
    /// What told it.
    pub source: Source,
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
    let others = snapshot.boxes.iter().map(BoxLocation::from);
    let mut holders = stream_holders::holders(key, others.chain([own]));
    holders.retain(|holder| holder.name != own.name);
    holders
}

/// The box that writes the streams of this region to the store; `None` if it is this one. Before any
/// box was heard, as just after a start, every listed box counts as running.
pub fn other_recorder<'a, A>(
    shared: &'a Shared<A>,
    snapshot: &'a Snapshot,
    now: Instant,
) -> Option<BoxLocation<'a>> {
    let presence = lock(&shared.presence);
    let is_heard = |other: &&BoxRecord| presence.has_recent_datagram(&other.name, now);
    let candidates = || {
        snapshot.boxes.iter().filter(|other| {
            other.region == shared.settings.region && other.records_streams && !other.leaving
        })
    };
    let any_heard = candidates().any(|other| is_heard(&other));
    let running = candidates().filter(|other| !any_heard || is_heard(other));
    let first = running.max_by_key(|other| recorder_rank(&other.name))?;
    (recorder_rank(&first.name) > recorder_rank(&shared.settings.name))
        .then(|| BoxLocation::from(first))
}

/// Rank of a box among those of its region that may be its recorder; the highest one is.
pub fn recorder_rank(name: &str) -> u64 {
    rendezvous::weight(name, RECORDER_KEY)
}

/// Key of the stream of a request's caller, if that service runs it.
fn stream_key(job: &Job, service: &str) -> StreamKey {
    let team = job.team.as_ref().map_or("", |team| team.name.as_str());
    stream_versions::stream_key(job.first_attempt(), service, team)
}

/// Hash of a service's name.
pub fn service_hash(service: &str) -> ServiceHash {
    rendezvous::weight(service, "")
}

/// Records the version of a stream whose first event is about to be forwarded to its caller, and
/// announces it while the service has several versions or the route several splits, or may have had
/// without this box knowing.
pub fn record_begin<A: Adapter>(shared: &Shared<A>, job: &Job, version: Option<VersionHash>) {
    let Some(version) = version.filter(|_| job.origin == Origin::Caller && job.route.resumable)
    else {
        return;
    };
    let now = clock::now();
    let key = stream_key(job, &job.service);
    let destination = stream_routes::destination(job);
    let is_aging = lock(&shared.freshness).is_aging(now);
    let (has_alternatives, has_proof) = {
        let versions = &mut lock(&shared.streams).versions;
        versions.record_begin(key, destination, version, now);
        (versions.has_alternatives(destination, now), versions.has_proof(destination, now))
    };
    let streams = [(key, version)];
    if has_alternatives {
        record_in_store(shared, &streams);
    }
    if has_alternatives || is_aging || !has_proof {
        announce(shared, &shared.snapshot.load(), &streams);
    }
}

/// Has the recorder of this region write streams to the store.
fn record_in_store<A>(shared: &Shared<A>, streams: &[(StreamKey, VersionHash)]) {
    lock(&shared.streams).begun.extend(streams);
    shared.streams_begun.notify_one();
}

/// Records streams that the store keeps.
pub fn apply_batch<A>(shared: &Shared<A>, batch: &StreamBatch) {
    let now = clock::now();
    let versions = &mut lock(&shared.streams).versions;
    for (key, version) in &batch.streams {
        versions.record_announcement(*key, *version, now);
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

/// Records the versions of the servers of each service, and the splits of the routes. Where a second
/// one has appeared, the streams that this box began are announced.
pub fn record_versions<A: Adapter>(shared: &Shared<A>, snapshot: &Snapshot, now: Instant) {
    let mut streams: Vec<(StreamKey, VersionHash)> = Vec::new();
    {
        let directory = &mut *lock(&shared.streams);
        let known = &mut directory.versions;
        if let Some(routing) = &snapshot.routing {
            known.set_longest_stream(routing.longest_stream(), now);
            known.record_state(snapshot.state.position.era, now);
            let names = &mut directory.route_names;
            let changed = stream_routes::record_splits(known, routing, names, now);
            if !changed.is_empty() {
                let running = known.running_streams(now);
                let moved =
                    running.filter(|(destination, ..)| changed.contains(&destination.route));
                streams.extend(moved.map(|(_, key, version)| (key, version)));
            }
        }
        for (service, versions) in &snapshot.software {
            let service = service_hash(service);
            if known.record_versions(service, versions.keys().copied(), now) {
                streams.extend(known.own_streams(service, now));
            }
        }
    }
    shared.version_lists.notify_one();
    if !streams.is_empty() {
        record_in_store(shared, &streams);
        announce(shared, snapshot, &streams);
    }
}

/// Announces the running streams of this box when its state from the store gets too old to tell
/// whether there is a second version, or the store came back from an older copy.
pub fn tick<A: Adapter>(shared: &Shared<A>, now: Instant) {
    let is_aging = lock(&shared.freshness).is_aging(now);
    let streams: Vec<(StreamKey, VersionHash)> = {
        let mut directory = lock(&shared.streams);
        directory.expire(now);
        let was_aging = std::mem::replace(&mut directory.was_aging, is_aging);
        let era = directory.versions.era();
        let last_era = std::mem::replace(&mut directory.last_era, era);
        let has_lost_proof = (is_aging && !was_aging) || (last_era.is_some() && last_era != era);
        let running = directory.versions.running_streams(now);
        running.filter(|_| has_lost_proof).map(|(_, key, version)| (key, version)).collect()
    };
    if !streams.is_empty() {
        announce(shared, &shared.snapshot.load(), &streams);
    }
}

/// The versions at which a request may begin a resumable stream; `None` if any may run it. A box that
/// starts later could not tell that other versions had streams.
pub fn listed_versions<A>(shared: &Shared<A>, job: &Job) -> Option<Vec<VersionHash>> {
    if !job.route.resumable {
        return None;
    }
    lock(&shared.streams).versions.listed_versions(service_hash(&job.service))
}

/// Whether servers get no streams of a request's service only because their versions are not listed.
pub fn awaits_list<A>(shared: &Shared<A>, job: &Job) -> bool {
    let Some(listed) = listed_versions(shared, job) else { return false };
    let snapshot = shared.snapshot.load();
    let versions = snapshot.software.get(&job.service);
    versions.is_some_and(|versions| versions.keys().any(|version| !listed.contains(version)))
}

/// The service and the version at which a request must run because it continues a stream; `None` if
/// it continues none. A stream of unknown version is refused.
pub async fn version_to_continue<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: &Job,
) -> Result<Option<(ServiceId, VersionHash)>, Failure> {
    if job.origin == Origin::Peer {
        let chosen = job.forward.service.filter(|_| job.route.resumable);
        if chosen.is_some_and(|chosen| chosen != service_hash(&job.service)) {
            let message = "the route no longer has the service that the request was sent for";
            return Err(Failure::new(ErrorKind::NoServer, message));
        }
        // Boxes of older builds forward streams whose version they don't know.
        if let Some(version) = job.forward.version {
            return Ok(Some((job.service.clone(), version)));
        }
    }
    if !job.continues_stream() {
        return Ok(None);
    }
    shared.counters.increment(Counter::StreamsResumed);
    // The weights of the route may have changed since the stream began.
    let others = job.route.services().filter(|service| **service != job.service);
    let services: Vec<&ServiceId> = [&job.service].into_iter().chain(others).collect();
    let found = find_version_among(shared, job, &services).await;
    let known_versions = {
        let service = service_hash(&job.service);
        lock(&shared.streams).versions.count_versions(service, clock::now())
    };
    decision_log::stream_resumed(job, found.as_ref(), known_versions, shared.state_age_ms());
    if let Some(FoundVersion { service, version, .. }) = found {
        return Ok(Some((service, version)));
    }
    shared.counters.increment(Counter::StreamsOfUnknownVersion);
    let message = "the software version that began the stream is unknown";
    Err(Failure::new(ErrorKind::NoServer, message).with_retry_after(UNKNOWN_RETRY_AFTER))
}

/// Looks the version of a request's stream up here, then at the holders and the recorder, and last in
/// the store.
pub async fn find_version<A: Adapter>(shared: &Arc<Shared<A>>, job: &Job) -> Option<FoundVersion> {
    find_version_among(shared, job, &[&job.service]).await
}

/// Looks a request's stream up, if one of these services runs it. Only that of the first one may be
/// found by the lists in the store.
async fn find_version_among<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: &Job,
    services: &[&ServiceId],
) -> Option<FoundVersion> {
    let own_hash = presence::box_hash(&shared.settings.name);
    let now = clock::now();
    for service in services {
        let key = stream_key(job, service);
        if let Some(version) = lock(&shared.streams).versions.look_up(key, now) {
            let service = ServiceId::clone(service);
            return Some(FoundVersion { service, version, source: Source::Own });
        }
    }
    let mut queries = query_others(shared, job, services, now);
    let until = now + QUERY_TIMEOUT;
    for wait_until in [until, until + STORE_LOOKUP_TIMEOUT] {
        let mut unanswered = Vec::new();
        for mut query in queries {
            match timer::timeout_at(wait_until.min(job.deadline), &mut query.response).await {
                Ok(Ok(Some(version))) => {
                    return Some(FoundVersion {
                        service: query.service,
                        version,
                        source: Source::Other,
                    });
                }
                Ok(_) => {}
                Err(_) => unanswered.push(query),
            }
        }
        queries = unanswered;
        for query in &queries {
            lock(&shared.streams).query_store(query.key, own_hash);
        }
        shared.store_lookups.notify_one();
    }
    None
}

/// A query for the version of a stream, if a service runs it.
struct Query {
    service: ServiceId,
    key: StreamKey,
    response: oneshot::Receiver<Option<VersionHash>>,
}

fn query_others<A: Adapter>(
    shared: &Arc<Shared<A>>,
    job: &Job,
    services: &[&ServiceId],
    now: Instant,
) -> Vec<Query> {
    let own_hash = presence::box_hash(&shared.settings.name);
    let snapshot = shared.snapshot.load();
    let recorder = other_recorder(shared, &snapshot, now);
    let chosen = stream_routes::destination(job);
    let query = |service: &&ServiceId| {
        let key = stream_key(job, service);
        let destination = match **service == job.service {
            true => chosen,
            false => Destination { service: service_hash(service), ..Destination::default() },
        };
        let holders = other_holders(shared, &snapshot, key);
        let response =
            lock(&shared.streams).query(&holders, recorder.as_ref(), (key, destination), own_hash);
        Query { service: ServiceId::clone(service), key, response }
    };
    let queries = services.iter().map(query).collect();
    shared.stream_report.notify_one();
    shared.store_lookups.notify_one();
    queries
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
    let own_hash = presence::box_hash(&shared.settings.name);
    lock(&shared.streams).receive(report.sender, streams, from, own_hash, now);
    shared.streams_begun.notify_one();
    shared.store_lookups.notify_one();
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
            queried_services: take(&mut report.queried_services),
            begun: take(&mut report.begun),
            begun_versions: take(&mut report.begun_versions),
            not_looked_up: take(&mut report.not_looked_up),
            queried_routes: take(&mut report.queried_routes),
            queried_points: take(&mut report.queried_points),
            proved: take(&mut report.proved),
            proved_versions: take(&mut report.proved_versions),
        });
    }
    parts
}
