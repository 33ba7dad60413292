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

use bytes::Bytes;

use super::shared::Shared;
use super::shared::Snapshot;
use super::shared::lock;
use super::store_contents;
use super::store_keys;
use super::store_keys::ROUTES;
use super::store_keys::STREAMS;
use super::stream_directory::StoreLookup;
use super::stream_routes;
use super::stream_versions;
use crate::coordination::presence;
use crate::coordination::stream_batch::MAX_BATCH_STREAMS;
use crate::coordination::stream_batch::StreamBatch;
use crate::coordination::stream_versions::Split;
use crate::coordination::stream_versions::StreamKey;
use crate::coordination::stream_versions::SubjectHash;
use crate::coordination::version_list::RouteLists;
use crate::coordination::version_list::VersionList;
use crate::protocol::BoxId;
use crate::protocol::Incarnation;
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
use crate::state::clock;
use crate::state::counters::Counter;
use crate::transport::store;
use crate::transport::timer;

/// Minimum time in which streams that begin are collected before they are sent or written.
const MIN_COLLECTION_TIME: Duration = Duration::from_millis(50);
/// The same for each box of the fleet, so that the datagrams to a recorder don't grow with it.
const COLLECTION_TIME_PER_BOX: Duration = Duration::from_micros(200);
/// Minimum time from one write of a recorder to the next.
const MIN_WRITE_GAP: Duration = Duration::from_millis(250);
/// Number of streams from which on a key takes no more, at 8 bytes each.
const MAX_KEY_STREAMS: usize = 512;
/// Maximum time to live of a lease, by the rules of the store.
const MAX_LEASE_TTL: Duration = Duration::from_secs(600);
/// Interval of the checks for versions to write while there are any.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of the checks while there are none.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which the next box of the region writes a list that is still not as it should be.
const NEXT_WRITER_DELAY: Duration = Duration::from_millis(400);
/// Time after a write until a list is written again if it is still not as it should be.
const WRITE_PAUSE: Duration = Duration::from_millis(400);
/// Maximum number of lists in one write.
const MAX_LISTS_PER_CALL: usize = 16;
/// Delay after which a second version is listed if servers of the listed ones serve: by then the
/// streams that run are in batches.
const LISTING_DELAY: Duration = Duration::from_millis(500);
/// How long the list stays as it was after boxes have started, if servers of the listed versions
/// serve. As long as a single version is listed, the streams that these boxes began before can go on
/// at that one.
const TAKE_UP_TIME: Duration = Duration::from_secs(2);
/// Maximum delay of a second version because boxes start or don't respond.
const MAX_LISTING_DELAY: Duration = Duration::from_secs(10);
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
    tokio::spawn(write_version_lists(Arc::clone(shared), store.clone()));
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
                stored.lists.insert(stream_versions::service_hash(service), list);
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
    // Requests need the lock, too.
    for batch in &stored.batches {
        stream_versions::apply_batch(shared, batch);
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
        let version = directory.versions.look_up(lookup.key, now).or_else(|| {
            let known = &directory.versions;
            known.is_sole_service(destination, splits?, now).then_some(())?;
            known.sole_version(destination.service, versions?, all_wait_for_list, now)
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

/// Keeps the lists of the services' versions in the store as they should be.
async fn write_version_lists<A: Adapter>(shared: Arc<Shared<A>>, store: store::Client<A>) {
    // Keys of the lists that are to be written, with the time from which the first box may.
    let mut due_from: HashMap<String, Instant> = HashMap::new();
    let mut starts = BoxStarts::default();
    loop {
        match due_from.is_empty() {
            // Versions leave the list with time, also while nothing changes.
            true => {
                let _ = timer::timeout(IDLE_CHECK_INTERVAL, shared.version_lists.notified()).await;
            }
            false => timer::sleep(CHECK_INTERVAL).await,
        }
        let snapshot = shared.snapshot.load_full();
        let now = clock::now();
        starts.update(&snapshot, now);
        let is_settled = starts.are_over(now) && all_are_heard(&shared, &snapshot, now);
        let changes = list_changes(&shared, &snapshot, now);
        due_from.retain(|key, _| changes.iter().any(|change| change.key == *key));
        for change in &changes {
            due_from.entry(change.key.clone()).or_insert(now);
        }
        let rank_delay = NEXT_WRITER_DELAY * rank(&shared, &snapshot) as u32;
        let is_due = |change: &ListChange| {
            let delay = match (change.can_wait, is_settled) {
                (false, _) => Duration::ZERO,
                (true, true) => LISTING_DELAY,
                (true, false) => MAX_LISTING_DELAY,
            };
            now >= due_from[&change.key] + rank_delay + delay
        };
        let due: Vec<ListChange> =
            changes.into_iter().filter(is_due).take(MAX_LISTS_PER_CALL).collect();
        if due.is_empty() {
            continue;
        }
        if let Err(PlatformError::Conflict(_)) = write_lists(&store, &due).await {
            // One of several lists has changed meanwhile. Those that fail again are due again.
            for change in due.chunks(1).filter(|_| due.len() > 1) {
                let _ = write_lists(&store, change).await;
            }
        }
        // The watch returns what has been written, here or by another box.
        for change in due {
            due_from.insert(change.key, clock::now() + WRITE_PAUSE);
        }
    }
}

/// When the boxes of the fleet, and this one, were started last.
#[derive(Debug, Default)]
struct BoxStarts {
    incarnations: HashMap<BoxId, Incarnation>,
    last_start_at: Option<Instant>,
}

impl BoxStarts {
    fn update(&mut self, snapshot: &Snapshot, now: Instant) {
        let mut has_started = self.last_start_at.is_none() && snapshot.routing.is_some();
        for other in &snapshot.boxes {
            let known = self.incarnations.insert(other.name.clone(), other.incarnation);
            has_started |= known != Some(other.incarnation);
        }
        if has_started {
            self.last_start_at = Some(now);
        }
    }

    fn are_over(&self, now: Instant) -> bool {
        self.last_start_at.is_some_and(|at| now >= at + TAKE_UP_TIME)
    }
}

/// Whether all listed boxes of this region send reports. One that doesn't may have ended, and its
/// streams may not be known to any other box.
fn all_are_heard<A: Adapter>(shared: &Shared<A>, snapshot: &Snapshot, now: Instant) -> bool {
    let presence = lock(&shared.presence);
    let mut neighbors =
        snapshot.boxes.iter().filter(|other| other.region == shared.settings.region);
    neighbors.all(|other| presence.has_recent_datagram(&other.name, now))
}

/// A list to write, of the versions of a service or of the splits of routes.
struct ListChange {
    key: String,
    value: Bytes,
    /// What the list has, for the log.
    summary: String,
    /// Revision that the key has; 0 if there is none.
    revision: Revision,
    /// Whether servers of the listed versions serve, so that a new version can wait.
    can_wait: bool,
}

fn list_changes<A: Adapter>(
    shared: &Shared<A>,
    snapshot: &Snapshot,
    now: Instant,
) -> Vec<ListChange> {
    let Some(routing) = &snapshot.routing else { return Vec::new() };
    let is_current = !lock(&shared.freshness).is_aging(now);
    let revision = |key: &str| lock(&shared.replica).revision(key).unwrap_or(0);
    let mut changes: Vec<ListChange> = Vec::new();
    let lists = {
        let directory = lock(&shared.streams);
        let listed = &directory.listed_routes;
        stream_routes::lists_to_write(&directory.versions, routing, listed, is_current, now)
    };
    changes.extend(lists.map(|lists| ListChange {
        key: ROUTES.to_owned(),
        value: lists.to_value(),
        summary: format!("routes={}", lists.routes.len()),
        revision: revision(ROUTES),
        can_wait: false,
    }));
    for service in routing.streaming_services() {
        let hash = stream_versions::service_hash(service);
        let (list, listed) = {
            let versions = &lock(&shared.streams).versions;
            let Some(list) = versions.list_to_write(hash, is_current, now) else { continue };
            (list, versions.listed_versions(hash))
        };
        let can_wait = listed.is_some_and(|listed| {
            list.versions.iter().any(|version| !listed.contains(version))
                && is_served(snapshot, service, &listed)
        });
        let key = store_keys::versions_key(service);
        changes.push(ListChange {
            value: list.to_value(),
            summary: format!("versions={} complete={}", list.versions.len(), list.complete),
            revision: revision(&key),
            can_wait,
            key,
        });
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

/// Number of boxes of this region that write lists before this one.
fn rank<A: Adapter>(shared: &Shared<A>, snapshot: &Snapshot) -> usize {
    let settings = &shared.settings;
    let own_rank = stream_versions::recorder_rank(&settings.name);
    let others = snapshot
        .boxes
        .iter()
        .filter(|other| other.region == settings.region && other.records_streams && !other.leaving);
    others.filter(|other| stream_versions::recorder_rank(&other.name) > own_rank).count()
}

async fn write_lists<A: Adapter>(
    store: &store::Client<A>,
    changes: &[ListChange],
) -> Result<(), PlatformError> {
    let expected = changes.iter().map(|change| (change.key.clone(), change.revision)).collect();
    let to_write = |change: &ListChange| KeyWrite {
        key: change.key.clone(),
        value: change.value.clone(),
        lease: NO_LEASE,
    };
    let writes = changes.iter().map(to_write).collect();
    let result = store.call(&Operation::PutIf { expected, writes }).await;
    for ListChange { key, summary, .. } in changes {
        match &result {
            Ok(_) => log::info!("event=versions_listed key={key} {summary}"),
            Err(error) => log::info!("event=versions_not_listed key={key} error=\"{error}\""),
        }
    }
    result.map(|_| ())
}
