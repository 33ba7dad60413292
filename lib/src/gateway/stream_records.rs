//! What the store keeps so that streams go on at their versions after all boxes have started anew:
//! the versions of each service, and the streams that began while there were several.
//!
//! The recorder of a region writes the streams that its boxes send to it, and looks streams up for
//! them. A lookup is answered from a read that begins after the query, so a version that is listed by
//! then is not missed. While the store doesn't respond, a stream that no box knows stays unknown.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::shared::Shared;
use super::shared::Snapshot;
use super::shared::lock;
use super::store_contents;
use super::store_keys;
use super::store_keys::ROUTES;
use super::store_keys::STREAMS;
use super::stream_directory::StoreLookup;
use super::stream_directory::StoredVersion;
use super::stream_lists;
use super::stream_routes;
use super::stream_versions;
use crate::coordination::presence;
use crate::coordination::stream_batch::MAX_BATCH_STREAMS;
use crate::coordination::stream_batch::StreamBatch;
use crate::coordination::stream_table::MAX_STREAMS;
use crate::coordination::stream_versions::Split;
use crate::coordination::stream_versions::StreamKey;
use crate::coordination::stream_versions::SubjectHash;
use crate::coordination::version_list::RouteLists;
use crate::coordination::version_list::VersionList;
use crate::protocol::adapter::Adapter;
use crate::protocol::adapter::KeyWrite;
use crate::protocol::adapter::Operation;
use crate::protocol::adapter::StoreResponse;
use crate::protocol::fleet::VersionHash;
use crate::protocol::platform::Era;
use crate::protocol::platform::LeaseId;
use crate::protocol::platform::PlatformError;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::transport::store;
use crate::transport::timer;

/// Minimum time in which streams that begin are collected before they are sent or written.
const MIN_COLLECTION_TIME: Duration = Duration::from_millis(50);
/// The same for each box of the fleet, so that the datagrams to a recorder don't grow with it.
const COLLECTION_TIME_PER_BOX: Duration = Duration::from_micros(200);
/// Minimum time from one write of a recorder to the next.
const MIN_WRITE_GAP: Duration = Duration::from_millis(100);
/// Number of streams from which on a key takes no more, at 8 bytes each.
const MAX_KEY_STREAMS: usize = 512;
/// Maximum time to live of a lease, by the rules of the store.
const MAX_LEASE_TTL: Duration = Duration::from_secs(600);
/// Minimum time from the end of one read for lookups to the next.
const READ_PAUSE: Duration = Duration::from_millis(50);
/// Maximum number of reads for a lookup while the store has no list of the service's versions.
const MAX_READS_WITHOUT_LIST: u32 = 5;
/// How long lookups fail without a call after the store did not respond to one.
const STORE_PAUSE: Duration = Duration::from_secs(1);

/// What the store has about streams.
#[derive(Debug, Default)]
struct StoredStreams {
    /// Lists of services and of routes.
    lists: HashMap<SubjectHash, VersionList>,
    splits: Vec<Split>,
    batches: Vec<StreamBatch>,
    era: Era,
}

/// Starts the tasks that write to the store and read from it, for as long as the box runs.
pub fn spawn<A: Adapter>(shared: &Arc<Shared<A>>, store: &store::Client<A>) {
    tokio::spawn(stream_lists::write_lists(Arc::clone(shared), store.clone()));
    tokio::spawn(write_streams(Arc::clone(shared), store.clone()));
    tokio::spawn(answer_lookups(Arc::clone(shared), store.clone()));
}

/// Reads all entries about streams. The lists come after the batches, so they are not older.
async fn read_streams<A: Adapter>(
    store: &store::Client<A>,
) -> Result<StoredStreams, PlatformError> {
    let contents = store_contents::read(store, STREAMS, store.newest_era(), usize::MAX).await?;
    // Without a limit, a read returns the contents or an error.
    let contents = contents.ok_or_else(|| PlatformError::Malformed("no end".to_owned()))?;
    let era = contents.position.era;
    let mut stored = StoredStreams { era, ..StoredStreams::default() };
    for item in contents.items {
        if item.key == ROUTES {
            let lists = RouteLists::try_from(&item.value[..]).unwrap_or_default();
            stored.splits = lists.splits.into_values().collect();
            let lists = lists.routes.into_iter();
            stored.lists.extend(lists.map(|(name, list)| (stream_routes::route_hash(&name), list)));
        } else if let Some(service) = store_keys::listed_service(&item.key) {
            if let Ok(list) = VersionList::try_from(&item.value[..]) {
                stored.lists.insert(service, list);
            }
        } else if let Ok(batch) = StreamBatch::try_from(&item.value[..]) {
            stored.batches.push(batch);
        }
    }
    Ok(stored)
}

/// Looks streams up in the store for as long as the box runs. Lookups that arrive during a read share
/// the next one.
async fn answer_lookups<A: Adapter>(shared: Arc<Shared<A>>, store: store::Client<A>) {
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
            match stored {
                Ok(stored) => {
                    failed_at = None;
                    finish_lookups(&shared, &stored, lookups, own_hash);
                }
                Err(error) => {
                    let count = lookups.len();
                    log::info!("event=streams_not_read lookups={count} error=\"{error}\"");
                    if !is_paused {
                        failed_at = Some(clock::now());
                    }
                    let mut directory = lock(&shared.streams);
                    for lookup in lookups {
                        directory.fail_store_lookup(lookup, own_hash);
                    }
                }
            }
            shared.stream_report.notify_one();
            timer::sleep(READ_PAUSE).await;
        }
    }
}

/// Finishes lookups with what the store has. Those of services or routes without a list wait for it
/// to be written.
fn finish_lookups<A: Adapter>(
    shared: &Shared<A>,
    stored: &StoredStreams,
    lookups: Vec<StoreLookup>,
    own_hash: u64,
) {
    let now = clock::now();
    let queried: HashSet<StreamKey> = lookups.iter().map(|lookup| lookup.key).collect();
    let stream_count: usize = stored.batches.iter().map(|batch| batch.streams.len()).sum();
    // Requests need the lock, too.
    for batch in &stored.batches {
        match stream_count <= MAX_STREAMS {
            true => stream_versions::apply_batch(shared, batch),
            // A box doesn't keep the streams of a large fleet.
            false => {
                let streams = batch.streams.iter().copied();
                let streams = streams.filter(|(key, _)| queried.contains(key)).collect();
                stream_versions::apply_batch(shared, &StreamBatch { streams });
            }
        }
    }
    let all_wait_for_list = all_record_streams(&shared.snapshot.load());
    let (count, mut found) = (lookups.len(), 0);
    let mut directory = lock(&shared.streams);
    for split in &stored.splits {
        directory.versions.define_split(split.clone());
    }
    for lookup in lookups {
        let destination = lookup.destination;
        let list = |subject| stored.lists.get(&subject).map(|list| (list, stored.era));
        let (versions, splits) = (list(destination.service), list(destination.route));
        let recorded = directory.versions.look_up(lookup.key, now).map(StoredVersion::Recorded);
        let version = recorded.or_else(|| {
            let known = &directory.versions;
            known.is_sole_service(destination, splits?, now).then_some(())?;
            let sole =
                known.sole_version(destination.service, versions?, all_wait_for_list, now)?;
            Some(StoredVersion::Proved(sole))
        });
        let is_listed = versions.is_some() && splits.is_some() || !destination.may_be_listed();
        if !is_listed && version.is_none() && lookup.reads_without_list < MAX_READS_WITHOUT_LIST {
            let reads_without_list = lookup.reads_without_list + 1;
            directory.add_store_lookup(StoreLookup { reads_without_list, ..lookup });
            continue;
        }
        found += usize::from(version.is_some());
        directory.finish_store_lookup(lookup, version, own_hash);
    }
    let batches = stored.batches.len();
    log::info!("event=streams_read batches={batches} lookups={count} found={found}");
}

/// Whether all boxes write streams to the store, and wait for the lists of versions.
fn all_record_streams(snapshot: &Snapshot) -> bool {
    snapshot.boxes.iter().all(|other| other.records_streams)
}

/// Sends the streams that begin here to the recorder of the region, and writes them to the store while
/// this box is the recorder.
async fn write_streams<A: Adapter>(shared: Arc<Shared<A>>, store: store::Client<A>) {
    let mut writer = Writer::default();
    let mut pause = store::RETRY_DELAY;
    loop {
        shared.streams_begun.notified().await;
        loop {
            let fleet_size = shared.snapshot.load().fleet_size as u32;
            timer::sleep(MIN_COLLECTION_TIME.max(COLLECTION_TIME_PER_BOX * fleet_size)).await;
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
                    timer::sleep(MIN_WRITE_GAP - MIN_COLLECTION_TIME).await;
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
    if begun.is_empty() || !all_record_streams(&snapshot) {
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
    if rest.is_empty() || !all_record_streams(&shared.snapshot.load()) {
        return;
    }
    let mut writer = Writer { is_last: true, ..Writer::default() };
    if let Err(error) = writer.write(shared, store, &StreamBatch { streams: rest }).await {
        log::info!("event=streams_not_written error=\"{error}\"");
    }
}

/// A lease under which batches are written.
#[derive(Clone, Copy, Debug)]
struct BatchLease {
    id: LeaseId,
    era: Era,
    /// When another one is granted. The batches must last for as long as their streams may go on.
    renew_at: Instant,
}

/// Writes batches under the keys of this incarnation of the box, in turn. A key takes several batches
/// until it has [`MAX_KEY_STREAMS`], so that a small fleet has few keys.
#[derive(Debug, Default)]
struct Writer {
    lease: Option<BatchLease>,
    /// Number of keys that are full.
    full_keys: u64,
    /// Streams under the current key.
    written: Vec<(StreamKey, VersionHash)>,
    /// Whether the box stops, beside another writer that may be within a call.
    is_last: bool,
}

impl Writer {
    async fn write<A: Adapter>(
        &mut self,
        shared: &Shared<A>,
        store: &store::Client<A>,
        batch: &StreamBatch,
    ) -> Result<(), PlatformError> {
        let retention = lock(&shared.streams).versions.retention();
        let lease = self.lease(store, retention).await?;
        let is_full = self.written.len() + batch.streams.len() > MAX_KEY_STREAMS;
        if is_full {
            self.full_keys += 1;
            self.written.clear();
        }
        let streams = [&self.written[..], &batch.streams[..]].concat();
        let key_count = retention.div_duration_f64(MIN_WRITE_GAP).ceil() as u64;
        let number = if self.is_last { key_count } else { self.full_keys % key_count };
        let key = store_keys::batch_key(&shared.settings.name, shared.incarnation, number);
        let value = StreamBatch { streams: streams.clone() }.to_value();
        match store.call(&Operation::Put(vec![KeyWrite { key, value, lease }])).await {
            Ok(_) => {
                self.written = streams;
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

    async fn lease<A: Adapter>(
        &mut self,
        store: &store::Client<A>,
        retention: Duration,
    ) -> Result<LeaseId, PlatformError> {
        let now = clock::now();
        if let Some(lease) = self.lease
            && lease.era == store.newest_era()
            && now < lease.renew_at
        {
            return Ok(lease.id);
        }
        let ttl = (retention * 2).min(MAX_LEASE_TTL);
        let granted = store.call_with_era(&Operation::Grant { ttl }).await?;
        let StoreResponse::Lease(id) = granted.response else {
            return Err(PlatformError::Malformed("not a lease".to_owned()));
        };
        let era = granted.era.unwrap_or_else(|| store.newest_era());
        self.lease = Some(BatchLease { id, era, renew_at: now + ttl / 2 });
        Ok(id)
    }
}
