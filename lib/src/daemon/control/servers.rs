//! Backend servers: probes, the platform's list, and the pools made from them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use super::Control;
use super::Event;
use crate::coordination::pool;
use crate::coordination::pool::Lane;
use crate::coordination::rendezvous;
use crate::protocol::ServerId;
use crate::protocol::config;
use crate::protocol::name_hash;
use crate::protocol::peer::Report;
use crate::protocol::platform::BoxList;
use crate::protocol::platform::Listed;
use crate::protocol::platform::ListedState;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::transport::backend;
use crate::transport::engine::Engine;
use crate::transport::engine::Load;

/// Time between probes of a server by one box.
pub(super) const PROBE_PERIOD: Duration = Duration::from_millis(500);
/// Time between refreshes of the pools.
pub(super) const POOLS_PERIOD: Duration = Duration::from_millis(100);
/// Time between looks at the platform's list.
pub(super) const LIST_PERIOD: Duration = Duration::from_secs(2);
/// Boxes that probe a server.
const PROBERS: usize = 2;
/// Longest wait for a plain service to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A backend server that this box probes.
pub(super) struct Probe {
    server: ServerId,
    address: SocketAddr,
    is_service: bool,
}

impl Control {
    /// Makes the pools that the configuration declares.
    pub(super) fn set_pools(&mut self) {
        let boxes = self.region_boxes(clock::now());
        let pools = self.configuration.pools.iter().map(|(id, pool)| (id, limits(pool, boxes)));
        self.shared.pools.set(pools, self.shared.incarnation);
        self.pools_dirty = true;
        self.choose_probes(clock::now());
        self.refresh_pools(clock::now());
    }

    /// Puts the latest observations into the pools and places what waits.
    pub(super) fn refresh_pools(&mut self, now: Instant) {
        let dirty = std::mem::take(&mut self.pools_dirty);
        let configuration = Arc::clone(&self.configuration);
        let boxes = self.region_boxes(now);
        for (id, shared) in self.shared.pools.all().iter() {
            if dirty && let Some(pool) = configuration.pools.get(id) {
                let lanes = self.lanes(pool, now);
                self.log_servers(&lanes);
                let regions = pool.servers.values().map(|server| server.region.clone()).collect();
                shared.with(|shared| shared.update(limits(pool, boxes), lanes, regions));
            }
            shared.pump(now);
        }
    }

    fn region_boxes(&self, now: Instant) -> usize {
        self.exchange.membership.live_in(&self.shared.settings.region, now).count() + 1
    }

    fn lanes(&self, pool: &config::Pool, now: Instant) -> BTreeMap<ServerId, Lane> {
        let region = &self.shared.settings.region;
        let here = pool.servers.iter().filter(|(_, server)| server.region == *region);
        let lane = |id: &ServerId, server: &config::Server| {
            let observed = self.exchange.load.get(id);
            Lane {
                address: server.address,
                slots: server.slots,
                leaving: server.leaving || self.exchange.load.leaving(id, now),
                reachable: observed.is_none_or(|observed| observed.reachable),
                report: observed.map(|observed| (observed.load, observed.at)),
            }
        };
        here.map(|(id, server)| (id.clone(), lane(id, server))).collect()
    }

    /// Logs backend servers that turned, once each.
    fn log_servers(&mut self, lanes: &BTreeMap<ServerId, Lane>) {
        for (id, lane) in lanes {
            let state = (lane.reachable, lane.leaving);
            let before = self.servers_seen.insert(id.clone(), state).unwrap_or((true, false));
            if before != state {
                let (reachable, leaving) = state;
                log::info!(
                    "event=server_changed server={id} reachable={reachable} leaving={leaving}"
                );
            }
        }
    }

    /// Works out anew which servers of this region are this box's to probe;
    /// needed only when the region's boxes or the configuration change.
    pub(super) fn choose_probes(&mut self, now: Instant) {
        let region = &self.shared.settings.region;
        let own = &self.shared.settings.name;
        let members = self.exchange.membership.live_in(region, now);
        let peers: Vec<&str> = members.map(|member| member.name.as_str()).collect();
        let mut probes = Vec::new();
        for (pool_id, pool) in &self.configuration.pools {
            let is_service = self.configuration.services.contains_key(pool_id);
            for (id, server) in pool.servers.iter().filter(|(_, server)| server.region == *region) {
                if rendezvous::holds(own, peers.iter().copied(), id, PROBERS) {
                    probes.push(Probe { server: id.clone(), address: server.address, is_service });
                }
            }
        }
        self.probes = probes;
    }

    /// Probes the servers that are this box's to probe.
    pub(super) fn probe(&self) {
        for probe in &self.probes {
            self.count(Counter::Probes);
            self.spawn_probe(probe.server.clone(), probe.address, probe.is_service);
        }
    }

    fn spawn_probe(&self, server: ServerId, address: SocketAddr, is_service: bool) {
        let backend = self.backend.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            let asked_at = clock::now();
            let load = match is_service {
                true => connects(address).await,
                false => backend.load(address).await,
            };
            let (reachable, load) = (load.is_some(), load.unwrap_or_default());
            let report = Report {
                server: name_hash(&server),
                load: load.running + load.queued,
                reachable,
                leaving: load.leaving,
                listed: false,
                age: clock::since(asked_at),
            };
            let _ = events.send(Event::Probed(report)).await;
        });
    }

    /// A probe ended.
    pub(super) fn probed(&mut self, report: &Report) {
        self.pools_dirty = true;
        if self.exchange.load.observe(report, clock::now()) {
            self.refresh_pools(clock::now());
            self.spread();
        }
    }

    /// Reads the platform's list; `at_start` where a fresh box waits for it.
    pub(super) fn read_list(&self, at_start: bool) {
        // The watchers of a region read for all; what is leaving travels in heartbeats.
        if !at_start && !self.watching.load(Ordering::Relaxed) {
            return;
        }
        let platform = self.platform.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            if let Ok(listed) = platform.list().await {
                let _ = events.send(Event::Listed(listed)).await;
            }
            if at_start {
                let _ = events.send(Event::SourceDone).await;
            }
        });
    }

    /// The platform's list came in: peers to meet, and servers that are leaving.
    pub(super) fn listed(&mut self, listed: &[Listed]) {
        let region = self.shared.settings.region.clone();
        let fresh = !self.shared.snapshot.load().ready;
        let mut addresses = BTreeSet::new();
        for row in listed {
            let Some(address) = row.peers.as_ref().and_then(|text| text.parse().ok()) else {
                continue;
            };
            addresses.insert(address);
            if fresh && row.region.as_ref() == Some(&region) {
                self.ask_peer_at_start(address);
            }
        }
        self.exchange.membership.add_addresses(addresses);
        let now = clock::now();
        let mut news = false;
        for row in listed.iter().filter(|row| row.state == ListedState::Leaving) {
            news |= self.exchange.load.observe_listed(name_hash(&row.name), now, now);
        }
        self.pools_dirty = true;
        if news {
            self.refresh_pools(now);
            self.spread();
        }
    }
}

fn limits(pool: &config::Pool, boxes: usize) -> pool::Limits {
    pool::Limits { max_queued: pool.queue_limit, max_queued_bytes: pool.queue_bytes, boxes }
}

async fn connects(address: SocketAddr) -> Option<Load> {
    backend::reachable(address, CONNECT_TIMEOUT).await.then(Load::default)
}
