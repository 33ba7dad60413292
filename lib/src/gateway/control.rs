//! The control thread. It maintains this box's record in the store, applies changes from the store,
//! and publishes snapshots for the traffic thread.
//!
//! The store may be unavailable for any length of time. During an outage the last known state stays
//! in force and is updated from boxes that have a newer one. Once the store responds, the state is
//! read from it again.

mod join;
mod peer_sync;
mod record_repair;
mod start;
mod stop;
mod store_sync;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use tokio::sync::mpsc;
use tokio::sync::watch;

use self::record_repair::RecordRepair;
use super::cluster_state::ClusterState;
use super::cluster_state::LocalContext;
pub use super::event::Event;
use super::lease;
use super::quarantine;
use super::shared::Service;
use super::shared::Shared;
use super::shared::Snapshot;
use super::shared::lock;
use super::stream_records;
use super::stream_versions;
use super::throttle;
use super::unreadable_keys::UnreadableKeys;
use super::upgrade;
use crate::coordination::drain;
use crate::coordination::drain::Drain;
use crate::coordination::presence;
use crate::coordination::retries::Resends;
use crate::coordination::upgrade::table::ServerCounts;
use crate::coordination::watchers;
use crate::daemon::StopOutcome;
use crate::protocol::adapter::Adapter;
use crate::protocol::fleet::BoxRecord;
use crate::protocol::platform::Era;
use crate::protocol::platform::PlatformError;
use crate::protocol::platform::Position;
use crate::protocol::routing::ServiceId;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::transport::listen::Shutdown;
use crate::transport::store;

/// How long a box counts as just started. Boxes that started at the same time have their records in
/// the store by then.
const STARTUP_PERIOD: Duration = Duration::from_secs(10);
/// Minimum outage, measured from the first failed call, after which server entries in the store may
/// have expired. Without a minimum, one broken connection among 295 boxes made them keep servers
/// that were gone for 2.2 s more.
const MIN_OUTAGE: Duration = Duration::from_millis(500);
/// Minimum time between two snapshots for each known server.
const PUBLICATION_GAP_PER_SERVER: Duration = Duration::from_micros(40);
/// Maximum time between two snapshots while there are changes, as a share of the propagation limit.
const MAX_PUBLICATION_GAP_SHARE: f64 = 0.2;
/// Expected number of boxes that poll the store once their records are written, when all start at
/// once. Each poll returns the records of all boxes that started meanwhile.
const STARTUP_POLLS: f64 = 64.0;
/// Interval of the checks for expired entries and for the progress of a shutdown.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of the lines about resends in the log.
const RESEND_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// State of the control thread.
pub struct Control<A: Adapter> {
    shared: Arc<Shared<A>>,
    store: store::Client<A>,
    cluster_state: ClusterState,
    own_record: BoxRecord,
    record_sender: watch::Sender<BoxRecord>,
    drain: Drain,
    stop: watch::Sender<Shutdown>,
    store_down_since: Option<Instant>,
    /// When to poll the store regardless of the random draw.
    next_check_at: Option<Instant>,
    /// When another box was last queried for its state.
    last_peer_query_at: Option<Instant>,
    /// When the seeds were last queried to discover other boxes.
    last_seed_query_at: Option<Instant>,
    watching: bool,
    started_at: Instant,
    just_started: bool,
    /// When a snapshot was last published.
    published_at: Option<Instant>,
    /// Whether changes wait for the next snapshot.
    has_unpublished_changes: bool,
    /// Era of the store that the entries belong to which are being applied.
    applied_era: Era,
    /// Position up to which entries are being applied.
    applied_position: Position,
    /// Position of the last change of configuration, evacuations or upgrades. It is too late, never
    /// too early, if the key was removed, because removals come without their positions.
    decided_at: Position,
    unreadable_keys: UnreadableKeys,
    record_repair: RecordRepair,
    /// When resends are logged next.
    log_resends_at: Instant,
    /// Whether it is known how much this box may resend.
    knows_resends: bool,
    /// Whether no box of this name has run before.
    is_first_start: bool,
    /// Since when there has been a configuration.
    configured_since: Option<Instant>,
}

impl<A: Adapter> Control<A> {
    /// Creates the control state of a gateway that has just started.
    pub fn new(
        shared: Arc<Shared<A>>,
        store: store::Client<A>,
        cluster_state: ClusterState,
        own_record: BoxRecord,
        stop: watch::Sender<Shutdown>,
    ) -> Control<A> {
        let timeouts = drain::Timeouts { grace: drain::GRACE, limit: shared.settings.stop_limit };
        let (record_sender, _) = watch::channel(own_record.clone());
        Control {
            shared,
            store,
            cluster_state,
            own_record,
            record_sender,
            drain: Drain::new(timeouts),
            stop,
            store_down_since: None,
            next_check_at: None,
            last_peer_query_at: None,
            last_seed_query_at: None,
            watching: false,
            started_at: clock::now(),
            just_started: true,
            published_at: None,
            has_unpublished_changes: false,
            applied_era: 0,
            applied_position: Position::default(),
            decided_at: Position::default(),
            unreadable_keys: UnreadableKeys::default(),
            record_repair: RecordRepair::default(),
            log_resends_at: clock::now() + RESEND_LOG_INTERVAL,
            knows_resends: false,
            is_first_start: false,
            configured_since: None,
        }
    }

    /// Runs until the shutdown is complete and returns how it ended.
    pub async fn run(
        mut self,
        sender: mpsc::Sender<Event>,
        mut events: mpsc::Receiver<Event>,
    ) -> StopOutcome {
        let lease_task =
            lease::maintain(self.store.clone(), self.record_sender.subscribe(), sender);
        let lease_task = tokio::spawn(lease_task);
        tokio::spawn(quarantine::write_verdicts(Arc::clone(&self.shared), self.store.clone()));
        tokio::spawn(throttle::write_rates(Arc::clone(&self.shared), self.store.clone()));
        stream_records::spawn(&self.shared, &self.store);
        tokio::spawn(upgrade::judge_upgrades(
            Arc::clone(&self.shared),
            self.store.clone(),
            self.own_record.clone(),
        ));
        let shared = Arc::clone(&self.shared);
        let stop_limit = shared.settings.stop_limit;
        let (event_sender, mut control_events) = super::events();
        let run_events =
            stop::forward_events(&mut events, event_sender, &shared.stop_requested_at, stop_limit);
        let run = async {
            if self.load_initial_state(&mut control_events).await {
                self.run_sync(&mut control_events).await;
            }
        };
        tokio::select! {
            biased;
            () = run => {}
            () = run_events => {}
        }
        self.end(lease_task).await
    }

    /// Whether this box should watch the store on behalf of its region. A box that is not listed in
    /// the store yet doesn't know which other boxes exist. When all boxes start at once, the seeds
    /// watch until they are listed.
    fn should_watch(&self) -> bool {
        let snapshot = self.shared.snapshot.load();
        if !self.cluster_state.is_listed(&self.own_record.name) {
            return self.is_seed();
        }
        watchers::is_watcher(&self.own_record, snapshot.boxes.iter())
    }

    /// Whether other boxes query this one when they start.
    fn is_seed(&self) -> bool {
        let settings = &self.shared.settings;
        settings.seeds.is_empty() || settings.seeds.contains(&settings.listen.handover)
    }

    /// Sets whether this box watches the store, and logs changes.
    fn set_watching(&mut self, watching: bool) {
        if self.watching != watching {
            self.watching = watching;
            log::info!("event=watching watching={watching}");
        }
    }

    /// Position in the store's history that the known state corresponds to. It may be newer than
    /// the last call to the store, if other boxes reported that nothing has changed since.
    fn position(&self) -> Position {
        lock(&self.shared.freshness).version().position
    }

    /// Handles a store that was restored from an older copy at `at`. The known state, up to
    /// `before`, belongs to a history that the store no longer has.
    fn begin_era(&mut self, at: Instant, before: Position, position: Position) {
        log::warn!("event=store_restored position={position} before={before}");
        self.shared.counters.increment(Counter::StoreRestored);
        self.cluster_state.record_store_restored(at);
        self.publish_store_recovery();
    }

    fn record_store_failure(&mut self, error: &PlatformError) {
        if self.store_down_since.is_none() {
            log::warn!("event=store_lost error=\"{error}\"");
            let now = clock::now();
            self.store_down_since = Some(now);
            self.next_check_at = Some(now + store::RETRY_DELAY);
        }
    }

    fn record_store_success(&mut self) {
        if let Some(down_since) = self.store_down_since.take() {
            let now = clock::now();
            let outage = now.saturating_duration_since(down_since);
            log::info!("event=store_regained away_ms={}", outage.as_millis());
            self.cluster_state.record_store_recovered(now);
            if outage >= MIN_OUTAGE {
                self.publish_store_recovery();
            }
            self.next_check_at = None;
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Stop => self.begin_stop(),
            Event::GraceOver => {
                self.update_drain(clock::now());
            }
            Event::Reload => log::info!("event=reload settings=\"count from the next start\""),
            Event::FirstStart => {
                lock(&self.shared.retries).assume_no_predecessor();
                lock(&self.shared.quotas).assume_no_predecessor();
                self.is_first_start = true;
                self.record_history_known();
            }
            Event::Restart => self.record_history_known(),
            Event::StoreRecovered => self.cluster_state.record_store_recovered(clock::now()),
            // Boxes that start together read the store before the others' records are in it. Of any
            // two, the box that writes later finds the other by polling again now, and sends it
            // reports. Without this, two of them that lost the store right after their start sent
            // 28 requests in a second to a cold server.
            // In a large fleet some of them do, and the others hear of the state that these have.
            Event::RecordWritten => {
                let fleet_size = self.shared.snapshot.load().fleet_size.max(1) as f64;
                if rand::rng().random::<f64>() < STARTUP_POLLS / fleet_size {
                    self.next_check_at = Some(clock::now());
                }
            }
        }
    }

    /// Handles everything that depends on time. Returns whether the process ends.
    fn tick(&mut self) -> bool {
        let now = clock::now();
        self.log_resends(now);
        self.repair_record(now);
        self.limit_history_wait(now);
        let startup_over = self.just_started && now >= self.started_at + STARTUP_PERIOD;
        let found_box = self.update_senders(now);
        let store_entry = |incarnation| self.cluster_state.departure_entry(incarnation);
        let departures_changed = lock(&self.shared.departures).tick(store_entry, now);
        if self.has_unpublished_changes {
            self.publish_changes();
        }
        let upgrades_changed = lock(&self.shared.upgrades).take_changed();
        if self.cluster_state.expire(now)
            || startup_over
            || found_box
            || departures_changed
            || upgrades_changed
        {
            self.just_started &= !startup_over;
            self.publish();
        }
        self.update_drain(now)
    }

    /// Logs the resends of each service. The lines of single requests are limited in number.
    fn log_resends(&mut self, now: Instant) {
        if now < self.log_resends_at {
            return;
        }
        self.log_resends_at = now + RESEND_LOG_INTERVAL;
        let mut retries = lock(&self.shared.retries);
        retries.expire(now);
        let boxes = retries.sharing_boxes();
        for (service, Resends { admitted, denied }, counted) in retries.take_unreported(now) {
            log::info!(
                "event=resends service={service} admitted={admitted} denied={denied} boxes={boxes} \
                 counted_ms={}",
                counted.as_millis()
            );
        }
    }

    /// Counts boxes that send reports though the store doesn't list them, or no longer does.
    /// Returns whether one of them is new.
    fn update_senders(&mut self, now: Instant) -> bool {
        let unlisted = lock(&self.shared.unlisted);
        let unlisted_in_region =
            unlisted.neighbors().filter(|other| other.region == self.own_record.region);
        let unlisted_in_region = unlisted_in_region.map(|other| other.box_hash);
        let found_box = self
            .cluster_state
            .record_senders(lock(&self.shared.loads).senders().chain(unlisted_in_region), now);
        let presence = lock(&self.shared.presence);
        self.cluster_state
            .refresh_expired_boxes(|name| presence.has_recent_datagram(name, now), now);
        found_box
    }

    /// Publishes a snapshot after changes of the known state, at once or within a short time: each
    /// snapshot costs work for each server, so there are fewer of them if there are many servers.
    fn publish_changes(&mut self) {
        let gap = PUBLICATION_GAP_PER_SERVER * self.cluster_state.server_count() as u32;
        let gap =
            gap.min(self.shared.settings.propagation_limit.mul_f64(MAX_PUBLICATION_GAP_SHARE));
        let is_due = self.published_at.is_none_or(|at| clock::now() >= at + gap)
            || self.shared.forwarded_versions.is_awaited();
        if is_due {
            self.publish();
        } else {
            self.has_unpublished_changes = true;
        }
    }

    /// Publishes a snapshot of the known state to the traffic thread.
    fn publish(&mut self) {
        self.shared.counters.increment(Counter::Snapshots);
        self.published_at = Some(clock::now());
        self.has_unpublished_changes = false;
        let settings = &self.shared.settings;
        let context = LocalContext {
            own_record: &self.own_record,
            just_started: self.just_started,
            cold_excess: settings.cold_excess,
            cold_slack: settings.cold_slack,
        };
        let sharing_boxes = self.cluster_state.sharing_boxes(&context).len();
        let fleet_size = self.cluster_state.fleet_size(&context);
        let now = clock::now();
        lock(&self.shared.retries).set_fleet_size(fleet_size, now);
        let departures = lock(&self.shared.departures);
        self.cluster_state.set_leaving(|incarnation| departures.is_leaving(incarnation));
        drop(departures);
        let versions = lock(&self.shared.upgrades).versions();
        self.cluster_state.set_versions(versions.clone());
        let upgrading_servers: BTreeMap<ServiceId, ServerCounts> = versions
            .keys()
            .map(|service| (service.clone(), self.cluster_state.count_servers(service)))
            .collect();
        let mut local_servers = self.cluster_state.local_servers(&context);
        if let Some(routing) = &self.cluster_state.routing {
            let mut services = lock(&self.shared.services);
            services.retain(|name, _| routing.services.contains_key(name));
            for (name, service) in &routing.services {
                let state =
                    services.entry(name.clone()).or_insert_with(|| Service::new(self.started_at));
                let servers = local_servers.remove(name).unwrap_or_default();
                state.placement.update(servers, sharing_boxes, service, now);
                // Locked while `services` is locked, so a report that arrives during the update is
                // applied after it.
                let departures = lock(&self.shared.departures);
                state.placement.set_leaving(|incarnation| departures.is_leaving(incarnation));
            }
        }
        let (boxes, expired_boxes) = (
            self.cluster_state.other_boxes(&self.own_record),
            self.cluster_state.other_expired_boxes(&self.own_record),
        );
        let listed = boxes.iter().chain(&expired_boxes).chain([&self.own_record]);
        let listed: Vec<(SocketAddr, u64)> =
            listed.map(|record| (record.peers, presence::box_hash(&record.name))).collect();
        let hashes = listed.iter().map(|(_, box_hash)| *box_hash).collect();
        lock(&self.shared.unlisted).set_listed(hashes);
        lock(&self.shared.senders).set_listed(listed.into_iter());
        let snapshot = Arc::new(Snapshot {
            routing: self.cluster_state.routing.clone(),
            state: lock(&self.shared.freshness).version(),
            decided_at: self.decided_at,
            boxes,
            expired_boxes,
            fleet_size,
            slots: self.cluster_state.slots(),
            servers: self.cluster_state.usable_servers(),
            software: self.cluster_state.software_versions(),
            versions,
            upgrading_servers: upgrading_servers.clone(),
            stage: self.drain.stage(),
            has_started: self.cluster_state.routing.is_some() && self.knows_resends,
        });
        self.shared.snapshot.store(Arc::clone(&snapshot));
        let limits = snapshot.routing.as_ref().map(|routing| routing.limits).unwrap_or_default();
        self.shared
            .limits
            .send_if_modified(|published| std::mem::replace(published, limits) != limits);
        self.shared.forwarded_versions.notify_published();
        if snapshot.has_started {
            let is_new_fleet =
                self.is_first_start && self.cluster_state.is_new_fleet(&self.own_record);
            lock(&self.shared.streams).versions.record_fleet(is_new_fleet);
        }
        stream_versions::record_versions(&self.shared, &snapshot, now);
        if !upgrading_servers.is_empty() {
            let counts =
                |service: &str| upgrading_servers.get(service).cloned().unwrap_or_default();
            lock(&self.shared.upgrades).record_published(counts, now);
        }
    }
}
