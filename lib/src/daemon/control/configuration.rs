//! How the configuration reaches a box: from the store, and from other boxes.
//!
//! Two boxes of a region watch the store; the others learn of a new version in
//! heartbeats and fetch it from the box that told them. Every box also looks at
//! the store once in a while, spread out, so that a region whose watchers are
//! all gone is never stuck.

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
use crate::protocol::config::document::KEY;
use crate::protocol::platform::Store;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::transport::timer;

/// Boxes of a region that watch the store.
const WATCHERS: usize = 2;
/// Longest wait of one watch call.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Time between looks at the store by a box that does not watch.
const LOOK_PERIOD: Duration = Duration::from_secs(60);
/// Time before the next call after a failure.
const RETRY_PERIOD: Duration = Duration::from_secs(2);

impl Control {
    /// A fresh box asks the store and the peers that its settings name.
    pub(super) fn ask_for_configuration(&mut self) {
        self.rollout.query_started();
        let platform = self.platform.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            let entry = platform.get(KEY).await.ok().flatten();
            let document = entry.map(|entry| Bytes::from(entry.value));
            let _ = events.send(Event::Document(document)).await;
            let _ = events.send(Event::SourceDone).await;
        });
        // The list names peers to ask; until it has come, not all have been asked.
        self.rollout.query_started();
        self.read_list(true);
        for seed in self.shared.settings.seeds.clone() {
            self.ask_peer_at_start(seed);
        }
    }

    /// A fresh box asks one more peer.
    pub(super) fn ask_peer_at_start(&mut self, address: SocketAddr) {
        if address == self.shared.addresses.peers || !self.asked.insert(address) {
            return;
        }
        self.rollout.query_started();
        let peers = Arc::clone(&self.peers);
        let events = self.events.clone();
        tokio::spawn(async move {
            let document = peers.fetch_configuration(address, 0).await.ok().flatten();
            let _ = events.send(Event::Document(document)).await;
            let _ = events.send(Event::SourceDone).await;
        });
    }

    /// Keeps a watch on the store while this box is one of its region's watchers.
    pub(super) fn watch_configuration(&self) {
        let platform = self.platform.clone();
        let events = self.events.clone();
        let watching = Arc::clone(&self.watching);
        let mut rng = self.rng.clone();
        tokio::spawn(async move {
            let mut after = 0;
            loop {
                let jitter = rng.random_range(0.5..1.5);
                let watches = watching.load(Ordering::Relaxed);
                let answer = match watches {
                    true => platform.watch(KEY, after, WATCH_WAIT).await,
                    false => platform.get(KEY).await,
                };
                let pause = match answer {
                    Err(_) => RETRY_PERIOD.mul_f64(jitter),
                    Ok(entry) => {
                        if let Some(entry) = entry {
                            after = after.max(entry.revision);
                            let document = Event::Document(Some(Bytes::from(entry.value)));
                            if events.send(document).await.is_err() {
                                return;
                            }
                        }
                        if watches { Duration::ZERO } else { LOOK_PERIOD.mul_f64(jitter) }
                    }
                };
                wait(pause, &watching).await;
            }
        });
    }

    /// Works out anew whether this box is one of the watchers.
    pub(super) fn choose_watchers(&mut self, now: Instant) {
        let region = &self.shared.settings.region;
        let names =
            self.exchange.membership.live_in(region, now).map(|member| member.name.as_str());
        let watches = rendezvous::holds(&self.shared.settings.name, names, "watch", WATCHERS);
        self.watching.store(watches, Ordering::Relaxed);
    }

    /// Fetches a newer version from a box that has it.
    pub(super) fn fetch_from(&mut self, address: SocketAddr) {
        if self.fetching.swap(true, Ordering::AcqRel) {
            return;
        }
        let peers = Arc::clone(&self.peers);
        let events = self.events.clone();
        let fetching = Arc::clone(&self.fetching);
        let newer_than = self.rollout.version();
        tokio::spawn(async move {
            let document = peers.fetch_configuration(address, newer_than).await.ok().flatten();
            fetching.store(false, Ordering::Release);
            let _ = events.send(Event::Document(document)).await;
        });
    }

    /// Fetches a version from any member that is known to have it.
    pub(super) fn fetch_from_any(&mut self, version: Version) {
        if version <= self.rollout.version() {
            return;
        }
        let now = clock::now();
        let holder = self.exchange.membership.live(now).find(|member| member.version >= version);
        if let Some(address) = holder.map(|member| member.peers) {
            self.fetch_from(address);
        }
    }

    /// A configuration came in, from wherever.
    pub(super) fn offered(&mut self, bytes: Option<Bytes>) {
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
        self.set_pools();
        self.publish();
        self.spread();
    }
}

/// Waits, but not longer than until the box becomes a watcher.
async fn wait(pause: Duration, watching: &AtomicBool) {
    const STEP: Duration = Duration::from_secs(1);
    let until = clock::now() + pause;
    let was_watching = watching.load(Ordering::Relaxed);
    while clock::now() < until {
        let left = until.saturating_duration_since(clock::now());
        timer::sleep(left.min(STEP)).await;
        if watching.load(Ordering::Relaxed) && !was_watching {
            return;
        }
    }
}
