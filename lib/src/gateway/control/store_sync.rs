//! Reads the state from the store and keeps it current by watches and polls.

use std::collections::BTreeSet;
use std::pin::Pin;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use tokio::sync::mpsc;

use super::Control;
use super::Event;
use crate::coordination::freshness::CHECK_INTERVAL;
use crate::coordination::stream_batch::StreamBatch;
use crate::coordination::upgrade::Plan;
use crate::coordination::version_list::RouteLists;
use crate::coordination::version_list::VersionList;
use crate::coordination::watchers;
use crate::gateway::quarantine;
use crate::gateway::replica;
use crate::gateway::shared::lock;
use crate::gateway::store_contents;
use crate::gateway::store_contents::ALL_KEYS;
use crate::gateway::store_contents::Contents;
use crate::gateway::store_keys;
use crate::gateway::store_keys::BOXES;
use crate::gateway::store_keys::QUARANTINE;
use crate::gateway::store_keys::RATES;
use crate::gateway::store_keys::ROSTER;
use crate::gateway::store_keys::ROUTES;
use crate::gateway::store_keys::UPGRADES;
use crate::gateway::store_keys::VERSIONS;
use crate::gateway::stream_routes;
use crate::gateway::stream_versions;
use crate::gateway::throttle;
use crate::protocol::adapter::Adapter;
use crate::protocol::adapter::Change;
use crate::protocol::adapter::Fact;
use crate::protocol::adapter::KeyValue;
use crate::protocol::adapter::Operation;
use crate::protocol::adapter::StoreResponse;
use crate::protocol::adapter::Subject;
use crate::protocol::fleet::BoxRecord;
use crate::protocol::platform::PlatformError;
use crate::protocol::platform::Position;
use crate::protocol::platform::Revision;
use crate::protocol::quantity::MAX_PLAN_SERIAL;
use crate::protocol::quantity::Notes;
use crate::state::clock;
use crate::transport::store::ResponseWithEra;
use crate::transport::timer;

/// Maximum wait of a watch call; each return costs another call. A watch whose connection died
/// unnoticed is abandoned earlier: when another box has a newer state, or when no box has recent
/// information from the store.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Share of the store's read rate that the watches of all boxes may use while changes are frequent.
/// Changes that fall into the resulting gap between two watches cost one call.
const WATCH_READ_SHARE: f64 = 0.01;
/// Maximum gap between two watches, as a share of the propagation limit. It leaves time for another
/// call if one is lost.
const MAX_WATCH_GAP_SHARE: f64 = 0.3;

/// Minimum gap between two watches. Changes in quick succession, as in a rolling restart of the
/// boxes, cost each watching box one call.
const MIN_WATCH_GAP: Duration = Duration::from_millis(200);

/// A call to the store for the changes since the known position.
type ChangesCall = Pin<Box<dyn Future<Output = Result<ResponseWithEra, PlatformError>>>>;

/// A series of calls that reads the complete contents of the store.
type FullReadCall = Pin<Box<dyn Future<Output = Result<Contents, PlatformError>>>>;

/// A response from the store.
enum SyncResponse {
    /// The changes since the known position.
    Incremental(ResponseWithEra),
    /// The complete contents.
    Full(Contents),
}

/// The effect of a response on the known state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ResponseEffect {
    /// No change was applied.
    Unchanged,
    /// Only keys have changed that are not part of the state.
    Ignored,
    /// Changes or the complete contents were applied.
    Changed,
    /// The store can't list the changes since the known position. A full read is needed.
    Superseded,
}

/// The call to the store that this box is waiting for.
enum PendingCall {
    /// No call: other boxes provide the state, or the next call is not due.
    Idle,
    /// Waits for changes.
    Watch(ChangesCall),
    /// Queries whether there are changes, without waiting.
    Poll(ChangesCall),
    /// Reads the complete contents.
    FullRead(FullReadCall),
}

impl<A: Adapter> Control<A> {
    /// Reads the complete contents of the store and applies them.
    pub(super) async fn load_full_state(&mut self) -> Result<(), PlatformError> {
        let read = self.read_all_keys(usize::MAX);
        if let Some(full_state) = read.await? {
            self.apply_full_state(full_state);
        }
        Ok(())
    }

    /// Reads the complete contents of the store; `None` if there are more than `max_keys` keys.
    pub(super) fn read_all_keys(
        &self,
        max_keys: usize,
    ) -> impl Future<Output = Result<Option<Contents>, PlatformError>> + use<A> {
        let (store, era) = (self.store.clone(), self.position().era);
        async move { store_contents::read(&store, ALL_KEYS, era, max_keys).await }
    }

    pub(super) fn apply_full_state(&mut self, state: Contents) {
        let Contents { items, position, asked_at } = state;
        self.record_store_success();
        self.replace_state(items, position);
        self.mark_current(asked_at);
        self.publish();
        self.shared.region_update.notify_one();
    }

    /// Replaces the known state by the complete contents at a position. Keys that are not among
    /// them are removed.
    fn replace_state(&mut self, items: Vec<KeyValue>, position: Position) {
        let before = self.position();
        if before.era != position.era && self.cluster_state.routing.is_some() {
            self.begin_era(clock::now(), before, position);
        }
        self.applied_era = position.era;
        self.applied_position = position;
        let listed_hashes = items.iter().map(|item| replica::key_hash(&item.key)).collect();
        let removed = lock(&self.shared.replica).keys_not_in(&listed_hashes);
        removed.into_iter().for_each(|key| self.apply_change(Change::Removed(key)));
        let mut seen_subjects = BTreeSet::new();
        let mut boxes = BTreeSet::new();
        let mut keys = BTreeSet::new();
        for item in items {
            match item.key.strip_prefix(BOXES) {
                Some(name) => boxes.insert(name.to_owned()),
                None => seen_subjects.insert(self.shared.adapter.subject(&item.key)),
            };
            keys.insert(item.key.clone());
            self.apply_item(item);
        }
        self.cluster_state.retain_listed(&seen_subjects, &boxes, clock::now());
        let mut replica = lock(&self.shared.replica);
        replica.retain_keys(&keys);
        replica.advance_to(position);
        log::info!("event=state_read position={position} before={before} keys={}", keys.len());
    }

    /// Applies changes from the store or from other boxes until the process ends.
    pub(super) async fn run_sync(&mut self, events: &mut mpsc::Receiver<Event>) {
        let mut pending = PendingCall::Idle;
        let mut last_change_at: Option<Instant> = None;
        let mut next_draw_at = clock::now();
        loop {
            let now = clock::now();
            // A full read isn't abandoned: its result is newer than any state that is asked for.
            let may_query = !matches!(pending, PendingCall::FullRead(_));
            let source = may_query.then(|| self.shared.forwarded_versions.take_source()).flatten();
            if let Some(address) = source.or_else(|| self.newer_peer(now)) {
                // A watch that has not returned these changes by now has died.
                pending = PendingCall::Idle;
                self.fetch_state_from(address).await;
            }
            self.discover_peers(now).await;
            self.discover_configuration(now).await;
            let mut poll_now = self.take_due_check(now);
            if now >= next_draw_at {
                poll_now |= self.draw_poll();
                next_draw_at = now + CHECK_INTERVAL;
            }
            let watching = self.store_down_since.is_none() && self.should_watch();
            self.set_watching(watching);
            pending = match pending {
                PendingCall::Idle | PendingCall::Watch(_)
                    if (watching || poll_now) && self.is_superseded() =>
                {
                    self.start_full_read()
                }
                PendingCall::Idle | PendingCall::Watch(_) if poll_now => self.start_poll(),
                PendingCall::Idle
                    if watching && last_change_at.is_none_or(|at| now >= at + self.watch_gap()) =>
                {
                    self.start_watch()
                }
                PendingCall::Watch(_) if !watching => PendingCall::Idle,
                unchanged => unchanged,
            };
            let tick = if watching { self.watch_gap().min(CHECK_INTERVAL) } else { CHECK_INTERVAL };
            let response = tokio::select! {
                response = pending.response() => Some(response),
                Some(event) = events.recv() => {
                    self.handle_event(event);
                    None
                }
                () = self.shared.peer_ahead.notified() => None,
                () = timer::sleep(tick) => None,
            };
            if let Some(response) = response {
                let effect = self.apply_response(response);
                last_change_at = (effect != ResponseEffect::Unchanged).then(clock::now);
                pending = match effect {
                    ResponseEffect::Superseded => self.start_full_read(),
                    ResponseEffect::Unchanged
                    | ResponseEffect::Ignored
                    | ResponseEffect::Changed => PendingCall::Idle,
                };
            }
            if self.tick() {
                return;
            }
        }
    }

    /// Whether the known position belongs to a history that the store no longer has. A call for
    /// changes since that position need not fail, because the new history may already have passed
    /// its revision.
    pub(super) fn is_superseded(&self) -> bool {
        let mut freshness = lock(&self.shared.freshness);
        freshness.observe_era(self.store.newest_era());
        freshness.is_superseded()
    }

    /// Starts a call that returns changes as soon as there are any.
    fn start_watch(&self) -> PendingCall {
        PendingCall::Watch(self.call_for_changes(WATCH_TIMEOUT))
    }

    /// Starts a call that returns at once, with or without changes.
    fn start_poll(&self) -> PendingCall {
        PendingCall::Poll(self.call_for_changes(Duration::ZERO))
    }

    fn call_for_changes(&self, wait: Duration) -> ChangesCall {
        let prefix = ALL_KEYS.to_owned();
        let operation = Operation::Watch { prefix, after: self.position().revision, wait };
        let store = self.store.clone();
        Box::pin(async move { store.call_with_era(&operation).await })
    }

    /// Starts a read of the complete contents, in one call or several.
    fn start_full_read(&self) -> PendingCall {
        let read = self.read_all_keys(usize::MAX);
        // Without a limit, a read returns a state or an error.
        let unlimited = async { read.await?.ok_or(PlatformError::Malformed("no end".to_owned())) };
        PendingCall::FullRead(Box::pin(unlimited))
    }

    /// Applies a response of the store and returns its effect.
    fn apply_response(&mut self, response: Result<SyncResponse, PlatformError>) -> ResponseEffect {
        let known_position = self.position();
        match response {
            Ok(SyncResponse::Full(full_state)) => {
                self.apply_full_state(full_state);
                ResponseEffect::Changed
            }
            Ok(SyncResponse::Incremental(ResponseWithEra { era, .. }))
                if era.is_some_and(|era| era != known_position.era) =>
            {
                ResponseEffect::Superseded
            }
            Ok(SyncResponse::Incremental(ResponseWithEra {
                response: StoreResponse::Changes { changes, revision },
                asked_at,
                ..
            })) => {
                self.record_store_success();
                self.applied_era = known_position.era;
                self.applied_position = Position { revision, ..known_position };
                let effect = match &changes[..] {
                    [] => ResponseEffect::Unchanged,
                    changes if changes.iter().all(is_batch_change) => ResponseEffect::Ignored,
                    _ => ResponseEffect::Changed,
                };
                changes.into_iter().for_each(|change| self.apply_change(change));
                lock(&self.shared.replica).advance_to(Position { revision, ..known_position });
                self.mark_current(asked_at);
                if effect == ResponseEffect::Changed {
                    self.publish_changes();
                    self.shared.region_update.notify_one();
                }
                effect
            }
            Ok(SyncResponse::Incremental(_)) | Err(PlatformError::HistoryCompacted) => {
                log::warn!("event=history_gone after={known_position}");
                ResponseEffect::Superseded
            }
            Err(error) => {
                self.record_store_failure(&error);
                ResponseEffect::Unchanged
            }
        }
    }

    /// Records that the state known to this box is at least as new as the store's was at
    /// `asked_at`, when the call was sent. This holds for a watch too, which may have waited: with
    /// the time at which its response is read, a box that was suspended meanwhile would take a
    /// state from before its suspension for a current one. The polls of the boxes keep the age low
    /// while watches wait.
    fn mark_current(&self, asked_at: Instant) {
        let version = lock(&self.shared.replica).version();
        lock(&self.shared.freshness).record_state(version, Some(asked_at), clock::now());
    }

    /// Draws whether this box polls the store: a waiting watch may have died unnoticed, and no box
    /// has recently reported that nothing changed. Without this, watches that died at all boxes at
    /// once hid an evacuation for 11 s. The polls of all boxes together cost four calls a second.
    fn draw_poll(&self) -> bool {
        let fleet_size = self.shared.snapshot.load().fleet_size;
        let freshness = lock(&self.shared.freshness);
        let probability = match self.store_down_since {
            Some(_) => freshness.reconnect_probability(fleet_size),
            None => freshness.check_probability(fleet_size, clock::now()),
        };
        rand::rng().random::<f64>() < probability
    }

    /// Whether to poll the store now, because this box has just written its record or because a
    /// call failed for the first time a short while ago. A broken connection is not an outage, and
    /// without this poll a watching box would not call the store until it is drawn to poll it, 7 s
    /// on average among 295 boxes.
    fn take_due_check(&mut self, now: Instant) -> bool {
        self.next_check_at.take_if(|at| now >= *at).is_some()
    }

    /// Minimum time from one watch to the next.
    pub(super) fn watch_gap(&self) -> Duration {
        let settings = &self.shared.settings;
        let watching = watchers::max_watchers(&self.shared.snapshot.load().boxes) as f64;
        let rate_gap = watching / (settings.store_reads * WATCH_READ_SHARE).max(1.0);
        let max_gap = settings.propagation_limit.mul_f64(MAX_WATCH_GAP_SHARE);
        Duration::from_secs_f64(rate_gap).max(MIN_WATCH_GAP).min(max_gap)
    }

    /// Applies the change of a key.
    pub(super) fn apply_change(&mut self, change: Change) {
        let now = clock::now();
        match change {
            Change::Written(item) => self.apply_item(item),
            Change::Removed(key) if key.starts_with(RATES) => {
                self.remove_from_replica(&key);
                throttle::remove_stored_rate(&self.shared, &key);
            }
            Change::Removed(key) if store_keys::is_batch(&key) => {}
            Change::Removed(key) if key == ROUTES => {
                self.remove_from_replica(&key);
                stream_routes::apply_lists(&self.shared, RouteLists::default(), now);
            }
            Change::Removed(key) if key.starts_with(VERSIONS) => {
                self.remove_from_replica(&key);
                if let Some(service) = store_keys::listed_service(&key) {
                    let service = stream_versions::service_hash(service);
                    lock(&self.shared.streams).versions.apply_list(service, None, now);
                }
            }
            Change::Removed(key) if key.starts_with(QUARANTINE) => {
                self.remove_from_replica(&key);
                if self.cluster_state.is_settling(now) {
                    quarantine::rewrite_lost_verdict(&self.shared, &key);
                }
            }
            Change::Removed(key) if key.starts_with(UPGRADES) => {
                self.remove_from_replica(&key);
                self.decided_at = self.decided_at.max(self.applied_position);
                if let Some(service) = key.strip_prefix(UPGRADES) {
                    lock(&self.shared.upgrades).remove_plan(service);
                }
            }
            Change::Removed(key) => match self.remove_from_replica(&key).strip_prefix(BOXES) {
                Some(name) if name == self.own_record.name => {
                    self.rewrite_record("the store has removed it");
                }
                Some(name) => self.cluster_state.remove_box(name, now),
                None => self.remove_fact(&self.shared.adapter.subject(&key), now),
            },
        }
    }

    fn remove_fact(&mut self, subject: &Subject, now: Instant) {
        if let Subject::Upgrade(service) = subject {
            lock(&self.shared.upgrades).remove_order(service);
        }
        if matches!(subject, Subject::Upgrade(_) | Subject::Evacuation(_)) {
            self.decided_at = self.decided_at.max(self.applied_position);
        }
        self.cluster_state.remove(subject, now);
    }

    fn remove_from_replica<'a>(&self, key: &'a str) -> &'a str {
        lock(&self.shared.replica).remove(key);
        key
    }

    /// Writes this box's record again if a store that was restored from an older copy has an
    /// outdated one.
    fn rewrite_outdated_record(&mut self, record: &BoxRecord) {
        if record.name == self.own_record.name
            && *record != self.own_record
            && self.cluster_state.is_settling(clock::now())
        {
            self.rewrite_record("the store shows an older one");
        }
    }

    fn rewrite_record(&self, reason: &str) {
        log::warn!("event=record_lost reason={reason:?}");
        self.record_sender.send_replace(self.own_record.clone());
    }

    /// Logs a record that can't be read, and writes this box's record again if it was replaced by
    /// one.
    fn reject_record(&mut self, name: &str, item: &KeyValue, error: &str) {
        self.unreadable_keys.record(&item.key, &item.value, error);
        if name == self.own_record.name {
            self.rewrite_record("the store shows an unreadable one");
        }
    }

    /// Records a change of configuration, evacuations or upgrades.
    fn record_decision(&mut self, revision: Revision) {
        let position = Position { era: self.applied_era, revision };
        self.decided_at = self.decided_at.max(position);
    }

    /// Applies a key that was written.
    fn apply_item(&mut self, item: KeyValue) {
        if store_keys::is_batch(&item.key) {
            match StreamBatch::try_from(&item.value[..]) {
                Ok(batch) => stream_versions::apply_batch(&self.shared, &batch),
                Err(error) => self.unreadable_keys.record(&item.key, &item.value, &error),
            }
            return;
        }
        lock(&self.shared.replica).insert(&item);
        if let Some((region, name)) =
            item.key.strip_prefix(ROSTER).and_then(|entry| entry.split_once('/'))
        {
            self.cluster_state.apply_roster_entry(region, name, &item.value);
            return;
        }
        if let Some(name) = item.key.strip_prefix(BOXES) {
            match serde_json::from_slice::<BoxRecord>(&item.value) {
                Ok(record) if record.name != name => {
                    self.reject_record(name, &item, "it names another box");
                }
                Ok(mut record) => {
                    record.clamp_weight();
                    self.rewrite_outdated_record(&record);
                    self.cluster_state.apply_box(record);
                }
                Err(error) => self.reject_record(name, &item, &error.to_string()),
            }
            return;
        }
        if item.key == ROUTES {
            let lists = RouteLists::try_from(&item.value[..]).inspect_err(|error| {
                self.unreadable_keys.record(&item.key, &item.value, error);
            });
            stream_routes::apply_lists(&self.shared, lists.unwrap_or_default(), clock::now());
            return;
        }
        if let Some(service) = store_keys::listed_service(&item.key) {
            let list = VersionList::try_from(&item.value[..]).inspect_err(|error| {
                self.unreadable_keys.record(&item.key, &item.value, error);
            });
            let service = stream_versions::service_hash(service);
            lock(&self.shared.streams).versions.apply_list(service, list.ok(), clock::now());
            return;
        }
        if item.key.starts_with(QUARANTINE) {
            if let Err(error) = quarantine::apply_stored_verdict(&self.shared, &item.value) {
                self.unreadable_keys.record(&item.key, &item.value, &error.to_string());
            }
            return;
        }
        if item.key.starts_with(RATES) {
            if let Err(error) = throttle::apply_stored_rate(&self.shared, &item.value) {
                self.unreadable_keys.record(&item.key, &item.value, &error.to_string());
            }
            return;
        }
        if let Some(service) = item.key.strip_prefix(UPGRADES) {
            let position = Position { era: self.applied_era, revision: item.revision };
            match read_plan(&item.value, position) {
                Ok(plan) => {
                    self.record_decision(item.revision);
                    lock(&self.shared.upgrades).apply_plan(service, plan, clock::now());
                }
                Err(problem) => self.unreadable_keys.record(&item.key, &item.value, &problem),
            }
            return;
        }
        let subject = self.shared.adapter.subject(&item.key);
        if subject == Subject::Other {
            return;
        }
        let mut notes = Notes::default();
        let decoded = self.shared.adapter.decode_noted_fact(&subject, &item.value, &mut notes);
        if decoded.is_ok()
            && let Some(notes) = notes.into_line()
        {
            self.unreadable_keys.record_notes(&item.key, &item.value, &notes);
        }
        match decoded {
            Ok(Some(Fact::Upgrade(order))) => {
                let position = Position { era: self.applied_era, revision: item.revision };
                log::info!(
                    "event=upgrade_ordered service={} version={} duration_ms={}",
                    order.service,
                    order.target,
                    order.duration.as_millis()
                );
                self.record_decision(item.revision);
                lock(&self.shared.upgrades).apply_order(order, position, clock::now());
            }
            Ok(Some(fact)) => {
                if matches!(fact, Fact::Routing(_) | Fact::Evacuated(_)) {
                    self.record_decision(item.revision);
                }
                let is_routing = matches!(fact, Fact::Routing(_));
                if self.cluster_state.apply(fact, item.revision, clock::now()) && is_routing {
                    *lock(&self.shared.configuration) = Some(item);
                }
            }
            Ok(None) => {}
            Err(error) => {
                if let Subject::Server(id) = &subject {
                    self.cluster_state.discard_server(id);
                }
                self.unreadable_keys.record(&item.key, &item.value, &error);
            }
        }
    }
}

impl PendingCall {
    /// Waits for the store's response. Never returns if there is no call.
    async fn response(&mut self) -> Result<SyncResponse, PlatformError> {
        match self {
            PendingCall::Idle => std::future::pending().await,
            PendingCall::Watch(call) | PendingCall::Poll(call) => match call.await {
                // Only a full read leads past changes that are too long or can't be read.
                Err(PlatformError::Malformed(error)) => {
                    log::warn!("event=changes_unreadable error={error:?}");
                    Err(PlatformError::HistoryCompacted)
                }
                result => result.map(SyncResponse::Incremental),
            },
            PendingCall::FullRead(read_call) => read_call.await.map(SyncResponse::Full),
        }
    }
}

/// Whether a change is of a batch of streams.
fn is_batch_change(change: &Change) -> bool {
    match change {
        Change::Written(item) => store_keys::is_batch(&item.key),
        Change::Removed(key) => store_keys::is_batch(key),
    }
}

/// Reads a plan that was written at a position. Its order was there before it: one that names a later
/// order would supersede the plans of all orders up to that.
fn read_plan(value: &[u8], written_at: Position) -> Result<Plan, String> {
    let plan: Plan = serde_json::from_slice(value).map_err(|error| error.to_string())?;
    if plan.serial > MAX_PLAN_SERIAL {
        return Err("serial: too large".to_owned());
    }
    if plan.order_position() > written_at {
        return Err("order: later than the plan".to_owned());
    }
    Ok(plan)
}
