//! What the store keeps so that streams go on at their versions after all boxes have started anew:
//! the versions of each service, and the streams that began while there were several.
//!
//! The recorder of a region writes the streams that its boxes send to it, and looks streams up for
//! them. A lookup is answered from a read that begins after the query, so a version that is listed by
//! then is not missed. While the store doesn't respond, a stream that no box knows stays unknown.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::shared::Shared;
use super::shared::Snapshot;
use super::shared::lock;
use super::store_keys;
use super::store_keys::STREAMS;
use super::stream_versions;
use super::stream_versions::StoreLookup;
use crate::coordination::presence;
use crate::coordination::stream_batch::MAX_BATCH_STREAMS;
use crate::coordination::stream_batch::StreamBatch;
use crate::coordination::stream_versions::ServiceHash;
use crate::coordination::stream_versions::StreamKey;
use crate::coordination::version_record::VersionRecord;
use crate::protocol::adapter::Adapter;
use crate::protocol::adapter::KeyWrite;
use crate::protocol::adapter::NO_LEASE;
use crate::protocol::adapter::Operation;
use crate::protocol::adapter::StoreResponse;
use crate::protocol::fleet::VersionHash;
use crate::protocol::platform::Era;
use crate::protocol::platform::LeaseId;
use crate::protocol::platform::PlatformError;
use crate::protocol::platform::Revision;
use crate::protocol::routing::ServiceId;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::transport::store;
use crate::transport::timer;

/// Time in which streams that begin are collected before they are sent or written.
const COLLECTION_TIME: Duration = Duration::from_millis(50);
/// Minimum time from one write of a recorder to the next.
const MIN_WRITE_GAP: Duration = Duration::from_millis(250);
/// Number of keys that a recorder uses in turn. At one write in each gap they hold the streams of
/// the last minute.
const BATCH_KEYS: u64 = 240;
/// Maximum time to live of a lease, by the rules of the store.
const MAX_LEASE_TTL: Duration = Duration::from_secs(600);
/// Interval of the checks for versions to write while there are any.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which the next box of the region writes a record that is still missing.
const NEXT_WRITER_DELAY: Duration = Duration::from_millis(400);
/// Maximum number of records in one write.
const MAX_RECORDS_PER_CALL: usize = 16;
/// How long a box that has just started leaves the list of versions as it was before, if servers of
/// the listed versions serve. As long as a single version is listed, all streams that began before
/// the start can go on at that one.
const TAKE_UP_TIME: Duration = Duration::from_secs(2);
/// Pause before a service is looked up again of which the store lists no versions yet.
const RECORD_PAUSE: Duration = Duration::from_millis(60);
/// Maximum number of reads for a lookup while the store lists no versions of the service.
const MAX_FAILED_READS: u32 = 5;
/// How long lookups fail without a call after the store did not respond to one.
const STORE_PAUSE: Duration = Duration::from_secs(1);

/// What the store has about streams.
#[derive(Debug, Default)]
struct StoredStreams {
    versions: HashMap<ServiceHash, VersionRecord>,
    streams: Vec<(StreamKey, VersionHash)>,
    era: Era,
}

/// Reads all entries about streams.
async fn read_streams<A: Adapter>(
    store: &store::Client<A>,
) -> Result<StoredStreams, PlatformError> {
    let mut stored = StoredStreams::default();
    let mut after: Option<String> = None;
    loop {
        let range = Operation::Range { prefix: STREAMS.to_owned(), after: after.clone() };
        let page = store.call_with_era(&range).await?;
        let StoreResponse::Page { items, more, .. } = page.response else {
            return Err(PlatformError::Malformed("not a page".to_owned()));
        };
        stored.era = page.era.unwrap_or_else(|| store.newest_era());
        let last = items.last().map(|item| item.key.clone());
        if last.is_some() && last <= after {
            return Err(PlatformError::Malformed("a page repeats the one before".to_owned()));
        }
        after = last;
        for item in items {
            if let Some(service) = store_keys::recorded_service(&item.key) {
                if let Ok(record) = VersionRecord::try_from(&item.value[..]) {
                    stored.versions.insert(stream_versions::service_hash(service), record);
                }
            } else if let Ok(batch) = StreamBatch::try_from(&item.value[..]) {
                stored.streams.extend(batch.streams);
            }
        }
        if !more || after.is_none() {
            return Ok(stored);
        }
    }
}

/// Looks streams up in the store for as long as the box runs. Lookups that arrive during a read share
/// the next one.
pub async fn answer_lookups<A: Adapter>(shared: Arc<Shared<A>>, store: store::Client<A>) {
    let own_hash = presence::box_hash(&shared.settings.name);
    let mut failed_at: Option<Instant> = None;
    loop {
        shared.store_lookups.notified().await;
        loop {
            let lookups = lock(&shared.streams).take_store_lookups();
            if lookups.is_empty() {
                break;
            }
            let is_paused = failed_at.is_some_and(|at| clock::now() < at + STORE_PAUSE);
            let stored = match is_paused {
                true => Err(PlatformError::NoResponse("the store did not respond".to_owned())),
                false => read_streams(&store).await,
            };
            let is_retried = match stored {
                Ok(stored) => {
                    failed_at = None;
                    finish_lookups(&shared, &stored, lookups, own_hash)
                }
                Err(error) => {
                    log::info!(
                        "event=streams_not_read lookups={} error=\"{error}\"",
                        lookups.len()
                    );
                    if !is_paused {
                        failed_at = Some(clock::now());
                    }
                    let mut directory = lock(&shared.streams);
                    for lookup in lookups {
                        directory.fail_store_lookup(lookup, own_hash);
                    }
                    false
                }
            };
            shared.stream_report.notify_one();
            if is_retried {
                timer::sleep(RECORD_PAUSE).await;
            }
        }
    }
}

/// Finishes lookups with what the store has. Returns whether some wait for the list of versions to be
/// written.
fn finish_lookups<A: Adapter>(
    shared: &Shared<A>,
    stored: &StoredStreams,
    lookups: Vec<StoreLookup>,
    own_hash: u64,
) -> bool {
    let now = clock::now();
    let mut is_retried = false;
    let mut directory = lock(&shared.streams);
    for (key, version) in &stored.streams {
        directory.versions.record_announcement(*key, *version, now);
    }
    let mut found = 0;
    let count = lookups.len();
    for lookup in lookups {
        let record = stored.versions.get(&lookup.service);
        let version = directory.versions.version(lookup.key, now);
        let version = version.or_else(|| record.and_then(|record| record.sole_version(stored.era)));
        let is_recorded = record.is_some_and(|record| record.era == stored.era);
        if version.is_none() && !is_recorded && lookup.failed_reads < MAX_FAILED_READS {
            is_retried = true;
            let failed_reads = lookup.failed_reads + 1;
            directory.add_store_lookup(StoreLookup { failed_reads, ..lookup });
            continue;
        }
        found += usize::from(version.is_some());
        directory.finish_store_lookup(lookup, version, own_hash);
    }
    drop(directory);
    log::info!("event=streams_read streams={} lookups={count} found={found}", stored.streams.len());
    if is_retried {
        shared.version_records.notify_one();
    }
    is_retried
}

/// Sends the streams that begin here to the recorder of the region, and writes them to the store while
/// this box is the recorder.
pub async fn write_streams<A: Adapter>(shared: Arc<Shared<A>>, store: store::Client<A>) {
    let mut writer = Writer { lease: None, number: 0 };
    let mut pause = store::RETRY_DELAY;
    loop {
        shared.streams_begun.notified().await;
        loop {
            timer::sleep(COLLECTION_TIME).await;
            forward_begun(&shared);
            let streams = lock(&shared.streams).take_unwritten(MAX_BATCH_STREAMS);
            if streams.is_empty() {
                break;
            }
            let batch = StreamBatch { streams };
            match writer.write(&shared, &store, &batch).await {
                Ok(()) => {
                    shared.counters.increment(Counter::StreamBatches);
                    pause = store::RETRY_DELAY;
                    timer::sleep(MIN_WRITE_GAP - COLLECTION_TIME).await;
                }
                Err(error) => {
                    let count = batch.streams.len();
                    log::warn!("event=streams_not_written count={count} error=\"{error}\"");
                    lock(&shared.streams).add_unwritten(batch.streams);
                    timer::sleep(pause).await;
                    pause = (pause * 2).min(store::RETRY_DELAY * 8);
                }
            }
        }
    }
}

/// Hands the streams that began here to the recorder. Nothing is written while boxes of an older
/// build run: they would hand the entries on to all boxes.
fn forward_begun<A: Adapter>(shared: &Shared<A>) {
    let snapshot = shared.snapshot.load();
    let begun = lock(&shared.streams).take_begun();
    if begun.is_empty() || !snapshot.boxes.iter().all(|other| other.records_streams) {
        return;
    }
    match stream_versions::other_recorder(shared, &snapshot, clock::now()) {
        Some(recorder) => {
            lock(&shared.streams).send_begun(recorder.address, &begun);
            shared.stream_report.notify_one();
        }
        None => lock(&shared.streams).add_unwritten(begun),
    }
}

/// Writes the streams of a box that stops. The recorder may stop as well.
pub async fn write_rest<A: Adapter>(shared: &Shared<A>, store: &store::Client<A>) {
    let rest = {
        let mut directory = lock(&shared.streams);
        let begun = directory.take_begun();
        directory.add_unwritten(begun);
        directory.take_unwritten(MAX_BATCH_STREAMS)
    };
    let is_alone = shared.snapshot.load().boxes.iter().all(|other| other.records_streams);
    if rest.is_empty() || !is_alone {
        return;
    }
    let mut writer = Writer { lease: None, number: BATCH_KEYS };
    if let Err(error) = writer.write(shared, store, &StreamBatch { streams: rest }).await {
        log::info!("event=streams_not_written error=\"{error}\"");
    }
}

/// Writes batches under the keys of this box.
struct Writer {
    /// The lease of the keys, its era, and when it was granted.
    lease: Option<(LeaseId, Era, Instant)>,
    /// Number of batches so far.
    number: u64,
}

impl Writer {
    async fn write<A: Adapter>(
        &mut self,
        shared: &Shared<A>,
        store: &store::Client<A>,
        batch: &StreamBatch,
    ) -> Result<(), PlatformError> {
        let lease = self.lease(shared, store).await?;
        let key = store_keys::batch_key(&shared.settings.name, self.number % (BATCH_KEYS + 1));
        let write = KeyWrite { key, value: batch.to_value(), lease };
        let result = store.call(&Operation::Put(vec![write])).await;
        match result {
            Ok(_) => {
                self.number += 1;
                Ok(())
            }
            Err(error) => {
                if matches!(error, PlatformError::LeaseExpired) {
                    self.lease = None;
                }
                Err(error)
            }
        }
    }

    /// A lease under which a batch lasts for as long as its streams may go on.
    async fn lease<A: Adapter>(
        &mut self,
        shared: &Shared<A>,
        store: &store::Client<A>,
    ) -> Result<LeaseId, PlatformError> {
        let retention = lock(&shared.streams).versions.retention();
        let ttl = (retention * 2).min(MAX_LEASE_TTL);
        let now = clock::now();
        if let Some((lease, era, granted_at)) = self.lease
            && era == store.newest_era()
            && now + retention < granted_at + ttl
        {
            return Ok(lease);
        }
        let granted = store.call_with_era(&Operation::Grant { ttl }).await?;
        let StoreResponse::Lease(lease) = granted.response else {
            return Err(PlatformError::Malformed("not a lease".to_owned()));
        };
        let era = granted.era.unwrap_or_else(|| store.newest_era());
        self.lease = Some((lease, era, now));
        Ok(lease)
    }
}

/// Keeps the lists of the services' versions in the store complete, for as long as the box runs.
pub async fn write_version_records<A: Adapter>(shared: Arc<Shared<A>>, store: store::Client<A>) {
    let started_at = clock::now();
    let mut due_since: HashMap<ServiceId, Instant> = HashMap::new();
    loop {
        match due_since.is_empty() {
            true => shared.version_records.notified().await,
            false => timer::sleep(CHECK_INTERVAL).await,
        }
        let snapshot = shared.snapshot.load_full();
        let now = clock::now();
        let is_start = now < started_at + TAKE_UP_TIME;
        let changes = record_changes(&shared, &snapshot, is_start, now);
        due_since.retain(|service, _| changes.iter().any(|change| change.service == *service));
        let delay = NEXT_WRITER_DELAY * rank(&shared, &snapshot) as u32;
        let due: Vec<RecordChange> = changes
            .into_iter()
            .filter(|change| {
                let since = *due_since.entry(change.service.clone()).or_insert(now);
                now >= since + delay && !change.is_held
            })
            .take(MAX_RECORDS_PER_CALL)
            .collect();
        if due.is_empty() {
            continue;
        }
        match write_records(&store, &due).await {
            Ok(()) => due.iter().for_each(|change| {
                log::info!(
                    "event=versions_recorded service={} versions={} era={}",
                    change.service,
                    change.record.versions.len(),
                    change.record.era
                )
            }),
            Err(error) => {
                log::info!("event=versions_not_recorded services={} error=\"{error}\"", due.len())
            }
        }
        // The watch returns what has been written, here or by another box.
        due.iter().for_each(|change| {
            due_since.insert(change.service.clone(), clock::now() + NEXT_WRITER_DELAY);
        });
    }
}

/// A list of versions to write.
struct RecordChange {
    service: ServiceId,
    record: VersionRecord,
    /// Revision that the key has; 0 if there is none.
    revision: Revision,
    /// Whether the change has to wait.
    is_held: bool,
}

fn record_changes<A: Adapter>(
    shared: &Shared<A>,
    snapshot: &Snapshot,
    is_start: bool,
    now: Instant,
) -> Vec<RecordChange> {
    let Some(routing) = &snapshot.routing else { return Vec::new() };
    let era = snapshot.state.position.era;
    let mut changes = Vec::new();
    for service in routing.streaming_services() {
        let hash = stream_versions::service_hash(service);
        let directory = lock(&shared.streams);
        let Some(record) = directory.versions.record_to_write(hash, era, now) else { continue };
        let recorded = directory.versions.recorded_versions(hash);
        let is_held = is_start && is_served(snapshot, service, &recorded);
        drop(directory);
        let key = store_keys::versions_key(service);
        let revision = lock(&shared.replica).revision(&key).unwrap_or(0);
        changes.push(RecordChange { service: service.clone(), record, revision, is_held });
    }
    changes
}

/// Whether servers of these versions may get requests in each region in which the service has any.
fn is_served(snapshot: &Snapshot, service: &str, versions: &[VersionHash]) -> bool {
    let Some(software) = snapshot.software.get(service) else { return false };
    let serves = |region| {
        versions
            .iter()
            .any(|version| software.get(version).is_some_and(|regions| regions.contains(region)))
    };
    software.values().flatten().all(serves)
}

/// Number of boxes of this region that write records before this one.
fn rank<A: Adapter>(shared: &Shared<A>, snapshot: &Snapshot) -> usize {
    let settings = &shared.settings;
    let own_rank = stream_versions::recorder_rank(&settings.name);
    let others = snapshot
        .boxes
        .iter()
        .filter(|other| other.region == settings.region && other.records_streams && !other.leaving);
    others.filter(|other| stream_versions::recorder_rank(&other.name) > own_rank).count()
}

async fn write_records<A: Adapter>(
    store: &store::Client<A>,
    changes: &[RecordChange],
) -> Result<(), PlatformError> {
    let expected = changes
        .iter()
        .map(|change| (store_keys::versions_key(&change.service), change.revision))
        .collect();
    let writes = changes
        .iter()
        .map(|change| KeyWrite {
            key: store_keys::versions_key(&change.service),
            value: change.record.to_value(),
            lease: NO_LEASE,
        })
        .collect();
    store.call(&Operation::PutIf { expected, writes }).await.map(|_| ())
}
