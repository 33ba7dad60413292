//! Keeps the lists of the services' versions, and of the routes' splits, in the store as they should be.
//!
//! The recorder of a region writes a list first; the next boxes of the region follow if it doesn't.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;

use super::shared::Shared;
use super::shared::Snapshot;
use super::shared::lock;
use super::store_keys;
use super::store_keys::ROUTES;
use super::stream_routes;
use super::stream_versions;
use crate::coordination::version_list;
use crate::protocol::BoxId;
use crate::protocol::Incarnation;
use crate::protocol::adapter::Adapter;
use crate::protocol::adapter::KeyWrite;
use crate::protocol::adapter::NO_LEASE;
use crate::protocol::adapter::Operation;
use crate::protocol::fleet::VersionHash;
use crate::protocol::platform::PlatformError;
use crate::protocol::platform::Revision;
use crate::state::clock;
use crate::transport::store;
use crate::transport::timer;

/// Interval of the checks for versions to write while there are any.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of the checks while there are none.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which the next box of the region writes a list that is still not as it should be.
const NEXT_WRITER_DELAY: Duration = Duration::from_millis(400);
/// Time after a write until a list is written again if it is still not as it should be.
const WRITE_PAUSE: Duration = Duration::from_millis(400);
/// The same if writes fail again and again.
const MAX_WRITE_PAUSE: Duration = Duration::from_secs(10);
/// Maximum number of lists in one write.
const MAX_LISTS_PER_CALL: usize = 16;
/// Delay after which a second version is listed if servers of the listed ones serve: by then the
/// streams that run are in batches.
const LISTING_DELAY: Duration = Duration::from_millis(500);
/// How long the list stays as it was after boxes have started, if servers of the listed versions
/// serve. As long as a single version is listed, the streams that these boxes began before can go on
/// at that one.
const TAKE_UP_TIME: Duration = Duration::from_secs(2);
/// Maximum delay of a second version because boxes start or don't respond, while most of the service
/// has listed versions.
const MAX_LISTING_DELAY: Duration = Duration::from_secs(10);

/// Writes lists for as long as the box runs.
pub async fn write_lists<A: Adapter>(shared: Arc<Shared<A>>, store: store::Client<A>) {
    // Keys of the lists that are to be written, with the time from which the first box may.
    let mut due_from: HashMap<String, Due> = HashMap::new();
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
        for ListChange { key, revision, .. } in &changes {
            let new = Due { from: now, pause: WRITE_PAUSE, revision: *revision };
            let due = due_from.entry(key.clone()).or_insert(new);
            // The list was written since.
            if due.revision != *revision {
                *due = Due { from: now + WRITE_PAUSE, ..new };
            }
        }
        let rank_delay = NEXT_WRITER_DELAY * rank(&shared, &snapshot) as u32;
        let is_due = |change: &ListChange| {
            let delay = match is_settled {
                true => change.max_delay.min(LISTING_DELAY),
                false => change.max_delay,
            };
            now >= due_from[&change.key].from + rank_delay + delay
        };
        let due: Vec<ListChange> =
            changes.into_iter().filter(is_due).take(MAX_LISTS_PER_CALL).collect();
        if due.is_empty() {
            continue;
        }
        let mut failed: HashSet<String> = HashSet::new();
        match write_changes(&store, &due).await {
            Ok(()) => {}
            // One of several lists has changed meanwhile, or the store doesn't take it.
            Err(PlatformError::Conflict(_) | PlatformError::Malformed(_)) if due.len() > 1 => {
                for change in due.chunks(1) {
                    if write_changes(&store, change).await.is_err() {
                        failed.insert(change[0].key.clone());
                    }
                }
            }
            Err(_) => failed.extend(due.iter().map(|change| change.key.clone())),
        }
        // The watch returns what has been written, here or by another box.
        for change in due {
            let last = due_from.get(&change.key).map_or(WRITE_PAUSE, |due| due.pause);
            let pause = match failed.contains(&change.key) {
                true => (last * 2).min(MAX_WRITE_PAUSE),
                false => WRITE_PAUSE,
            };
            let due = Due { from: clock::now() + pause, pause, revision: change.revision };
            due_from.insert(change.key, due);
        }
    }
}

/// When a list is written.
#[derive(Clone, Copy, Debug)]
struct Due {
    /// From when the first box of the region may write it.
    from: Instant,
    /// Pause after the last write.
    pause: Duration,
    /// Revision of the key at that time.
    revision: Revision,
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
    /// How long the write may wait for boxes that start or don't respond.
    max_delay: Duration,
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
        let names = &directory.route_names;
        stream_routes::lists_to_write(&directory.versions, names, is_current, now)
    };
    changes.extend(lists.map(|lists| ListChange {
        key: ROUTES.to_owned(),
        value: lists.to_value(),
        summary: format!("routes={}", lists.routes.len()),
        revision: revision(ROUTES),
        max_delay: Duration::ZERO,
    }));
    let streaming = routing.streaming_services();
    for service in routing.services.keys() {
        let hash = stream_versions::service_hash(service);
        let (list, listed) = {
            let versions = &lock(&shared.streams).versions;
            // Routes with streams may move back to a service that has a list.
            if !streaming.contains(service) && versions.list(hash).is_none() {
                continue;
            }
            let Some(list) = versions.list_to_write(hash, is_current, now) else { continue };
            (list, versions.listed_versions(hash))
        };
        let listed = listed.unwrap_or_default();
        let max_delay = match list.versions.iter().any(|version| !listed.contains(version)) {
            true => max_listing_delay(snapshot, service, &listed),
            false => Duration::ZERO,
        };
        let key = store_keys::versions_key(service);
        changes.push(ListChange {
            value: list.to_value(),
            summary: format!("versions={} complete={}", list.versions.len(), list.complete),
            revision: revision(&key),
            max_delay,
            key,
        });
    }
    changes
}

/// How long a new version of a service may wait for boxes that start or don't respond.
fn max_listing_delay(snapshot: &Snapshot, service: &str, listed: &[VersionHash]) -> Duration {
    let Some(slots) = snapshot.software.get(service) else { return Duration::ZERO };
    match version_list::min_listed_share(slots, listed) {
        share if share >= 0.5 => MAX_LISTING_DELAY,
        share if share > 0.0 => TAKE_UP_TIME + LISTING_DELAY,
        _ => Duration::ZERO,
    }
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

async fn write_changes<A: Adapter>(
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
