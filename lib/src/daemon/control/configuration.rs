//! Distribution of the configuration: from the store, and between boxes.
//!
//! In each region, two boxes watch the store. The others learn of a new version
//! through heartbeats and fetch it from the box that announced it. Every box
//! also polls the store at a low, randomized rate, so that a region whose
//! watchers have all failed still receives new versions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use rand::Rng;

use super::Control;
use super::Event;
use crate::coordination::rendezvous;
use crate::coordination::rollout::Offer;
use crate::protocol::Version;
use crate::protocol::config::document::Document;
use crate::protocol::config::document::STORE_KEY;
use crate::protocol::platform::Store;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::transport::timer;

/// Number of boxes per region that watch the store.
const STORE_WATCHERS_PER_REGION: usize = 2;
/// Maximum duration of one watch call.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between polls of the store by a box that does not watch it.
const POLL_INTERVAL: Duration = Duration::from_secs(60);
/// Time until the next call after a failure.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

impl Control {
    /// Queries the store, the platform's list and the seed peers for the
    /// configuration at the start of the box.
    pub(super) fn request_initial_configuration(&mut self) {
        self.rollout.query_started();
        let platform = self.platform.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            let entry = platform.get(STORE_KEY).await.ok().flatten();
            let document = entry.map(|entry| Bytes::from(entry.value));
            let _ = events.send(Event::ConfigurationOffered(document)).await;
            let _ = events.send(Event::ConfigurationSourceDone).await;
        });
        // The platform's list names further peers to query, so it counts as a source
        // until it has been read.
        self.rollout.query_started();
        self.read_platform_list(true);
        for seed in self.shared.settings.seeds.clone() {
            self.request_configuration_from_peer(seed);
        }
    }

    /// Queries one more peer for the configuration at the start of the box.
    pub(super) fn request_configuration_from_peer(&mut self, address: SocketAddr) {
        if address == self.shared.addresses.peers || !self.queried_peers.insert(address) {
            return;
        }
        self.rollout.query_started();
        let peers = Arc::clone(&self.peers);
        let events = self.events.clone();
        tokio::spawn(async move {
            let document = peers.fetch_configuration(address, 0).await.ok().flatten();
            let _ = events.send(Event::ConfigurationOffered(document)).await;
            let _ = events.send(Event::ConfigurationSourceDone).await;
        });
    }

    /// Watches the store while this box is a watcher of its region, and polls
    /// it otherwise.
    pub(super) fn watch_configuration(&self) {
        let platform = self.platform.clone();
        let events = self.events.clone();
        let is_watcher = Arc::clone(&self.is_watcher);
        let mut rng = self.rng.clone();
        tokio::spawn(async move {
            let mut last_revision = 0;
            loop {
                let jitter = rng.random_range(0.5..1.5);
                let watches_store = is_watcher.load(Ordering::Relaxed);
                let result = match watches_store {
                    true => platform.watch(STORE_KEY, last_revision, WATCH_TIMEOUT).await,
                    false => platform.get(STORE_KEY).await,
                };
                let pause = match result {
                    Err(_) => RETRY_INTERVAL.mul_f64(jitter),
                    Ok(entry) => {
                        if let Some(entry) = entry {
                            last_revision = last_revision.max(entry.revision);
                            let event = Event::ConfigurationOffered(Some(Bytes::from(entry.value)));
                            if events.send(event).await.is_err() {
                                return;
                            }
                        }
                        if watches_store { Duration::ZERO } else { POLL_INTERVAL.mul_f64(jitter) }
                    }
                };
                wait_or_become_watcher(pause, &is_watcher).await;
            }
        });
    }

    /// Determines whether this box is a watcher of its region.
    pub(super) fn update_watcher_role(&mut self, now: Instant) {
        let region = &self.shared.settings.region;
        let names = self.gossip.membership.live_in(region, now).map(|member| member.name.as_str());
        let is_chosen = rendezvous::is_selected(
            &self.shared.settings.name,
            names,
            "watch",
            STORE_WATCHERS_PER_REGION,
        );
        self.is_watcher.store(is_chosen, Ordering::Relaxed);
    }

    /// Fetches a newer version from another box.
    pub(super) fn fetch_configuration_from(&mut self, address: SocketAddr) {
        if self.fetch_in_progress.swap(true, Ordering::AcqRel) {
            return;
        }
        let peers = Arc::clone(&self.peers);
        let events = self.events.clone();
        let fetch_in_progress = Arc::clone(&self.fetch_in_progress);
        let newer_than = self.rollout.version();
        tokio::spawn(async move {
            let document = peers.fetch_configuration(address, newer_than).await.ok().flatten();
            fetch_in_progress.store(false, Ordering::Release);
            let _ = events.send(Event::ConfigurationOffered(document)).await;
        });
    }

    /// Fetches a version from any member that has announced it or a newer one.
    pub(super) fn fetch_version(&mut self, version: Version) {
        if version <= self.rollout.version() {
            return;
        }
        let now = clock::now();
        let source =
            self.gossip.membership.live(now).find(|member| member.configuration_version >= version);
        if let Some(address) = source.map(|member| member.peer_address) {
            self.fetch_configuration_from(address);
        }
    }

    /// Handles a configuration from any source.
    pub(super) fn handle_offered_configuration(&mut self, bytes: Option<Bytes>) {
        let Some(bytes) = bytes else { return };
        let document = match Document::decode(&bytes) {
            Ok(document) => document,
            Err(error) => {
                log::error!("event=configuration_refused error=\"{error}\"");
                return;
            }
        };
        match self.rollout.check_offer(document.version) {
            Offer::Same => {}
            Offer::Older => self.count(Counter::OlderOffers),
            Offer::Adopt => self.adopt(&document, bytes),
        }
    }

    fn adopt(&mut self, document: &Document, bytes: Bytes) {
        let configuration = match document.check() {
            Ok(configuration) => configuration,
            Err(error) => {
                log::error!(
                    "event=configuration_refused version={} error=\"{error}\"",
                    document.version
                );
                return;
            }
        };
        self.rollout.adopt(document.version);
        self.configuration = Arc::new(configuration);
        self.shared.document.store(Arc::new(bytes));
        self.count(Counter::ConfigurationsAdopted);
        log::info!("event=configuration_adopted version={}", document.version);
        self.configure_pools();
        self.publish();
        self.send_urgent_heartbeats();
    }
}

/// Waits for `pause`, or until the box becomes a watcher.
async fn wait_or_become_watcher(pause: Duration, is_watcher: &AtomicBool) {
    const CHECK_INTERVAL: Duration = Duration::from_secs(1);
    let deadline = clock::now() + pause;
    let was_watcher = is_watcher.load(Ordering::Relaxed);
    while clock::now() < deadline {
        let remaining = deadline.saturating_duration_since(clock::now());
        timer::sleep(remaining.min(CHECK_INTERVAL)).await;
        if is_watcher.load(Ordering::Relaxed) && !was_watcher {
            return;
        }
    }
}
