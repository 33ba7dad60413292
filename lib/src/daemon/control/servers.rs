//! Backend servers: probes, the platform's list, and the pools built from them.

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
use crate::coordination::pool::ServerSnapshot;
use crate::coordination::rendezvous;
use crate::protocol::ServerId;
use crate::protocol::config;
use crate::protocol::name_hash;
use crate::protocol::peer::ServerReport;
use crate::protocol::platform::BoxList;
use crate::protocol::platform::BoxListEntry;
use crate::protocol::platform::BoxListState;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::transport::backend;
use crate::transport::engine::Engine;
use crate::transport::engine::EngineLoad;

/// Time between probes of a server by one box.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between pool refreshes.
pub(super) const POOL_REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Time between reads of the platform's list.
pub(super) const PLATFORM_LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Number of boxes that probe each server.
const PROBERS_PER_SERVER: usize = 2;
/// Maximum time for a plain service to accept a connection.
const SERVICE_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A backend server that this box probes.
pub(super) struct ProbeTarget {
    server: ServerId,
    address: SocketAddr,
    is_service: bool,
}

impl Control {
    /// Creates the pools that the configuration declares and assigns the probes of
    /// their servers.
    pub(super) fn configure_pools(&mut self) {
        let boxes = self.region_box_count(clock::now());
        let pools =
            self.configuration.pools.iter().map(|(id, pool)| (id, pool_limits(pool, boxes)));
        self.shared.pools.replace(pools, self.shared.incarnation);
        self.pools_dirty = true;
        self.assign_probes(clock::now());
        self.refresh_pools(clock::now());
    }

    /// Passes the latest observations to the pools and places waiting requests.
    pub(super) fn refresh_pools(&mut self, now: Instant) {
        let dirty = std::mem::take(&mut self.pools_dirty);
        let configuration = Arc::clone(&self.configuration);
        let boxes = self.region_box_count(now);
        for (id, pool_handle) in self.shared.pools.snapshot().iter() {
            if dirty && let Some(pool) = configuration.pools.get(id) {
                let server_states = self.local_server_states(pool, now);
                self.log_servers(&server_states);
                let regions = pool.servers.values().map(|server| server.region.clone()).collect();
                pool_handle.with(|pool_state| {
                    pool_state.update(pool_limits(pool, boxes), server_states, regions)
                });
            }
            pool_handle.place_waiting(now);
        }
    }

    fn region_box_count(&self, now: Instant) -> usize {
        self.gossip.membership.live_in(&self.shared.settings.region, now).count() + 1
    }

    fn local_server_states(
        &self,
        pool: &config::Pool,
        now: Instant,
    ) -> BTreeMap<ServerId, ServerSnapshot> {
        let region = &self.shared.settings.region;
        let local_servers = pool.servers.iter().filter(|(_, server)| server.region == *region);
        let server_state = |id: &ServerId, server: &config::Server| {
            let observation = self.gossip.load.get(id);
            ServerSnapshot {
                address: server.address,
                slots: server.slots,
                leaving: server.leaving || self.gossip.load.is_leaving(id, now),
                reachable: observation.is_none_or(|observation| observation.reachable),
                report: observation.map(|observation| (observation.load, observation.observed_at)),
            }
        };
        local_servers.map(|(id, server)| (id.clone(), server_state(id, server))).collect()
    }

    /// Logs each change of a backend server's state once.
    fn log_servers(&mut self, server_states: &BTreeMap<ServerId, ServerSnapshot>) {
        for (id, server_state) in server_states {
            let state = (server_state.reachable, server_state.leaving);
            let previous_state =
                self.logged_server_states.insert(id.clone(), state).unwrap_or((true, false));
            if previous_state != state {
                let (reachable, leaving) = state;
                log::info!(
                    "event=server_changed server={id} reachable={reachable} leaving={leaving}"
                );
            }
        }
    }

    /// Determines which servers of this region this box probes. The result
    /// depends only on the region's boxes and the configuration.
    pub(super) fn assign_probes(&mut self, now: Instant) {
        let region = &self.shared.settings.region;
        let own = &self.shared.settings.name;
        let members = self.gossip.membership.live_in(region, now);
        let peers: Vec<&str> = members.map(|member| member.name.as_str()).collect();
        let mut probe_targets = Vec::new();
        for (pool_id, pool) in &self.configuration.pools {
            let is_service = self.configuration.services.contains_key(pool_id);
            for (id, server) in pool.servers.iter().filter(|(_, server)| server.region == *region) {
                if rendezvous::is_selected(own, peers.iter().copied(), id, PROBERS_PER_SERVER) {
                    probe_targets.push(ProbeTarget {
                        server: id.clone(),
                        address: server.address,
                        is_service,
                    });
                }
            }
        }
        self.probe_targets = probe_targets;
    }

    /// Probes the servers assigned to this box.
    pub(super) fn probe_servers(&self) {
        for target in &self.probe_targets {
            self.count(Counter::Probes);
            self.spawn_probe(target.server.clone(), target.address, target.is_service);
        }
    }

    fn spawn_probe(&self, server: ServerId, address: SocketAddr, is_service: bool) {
        let backend = self.backend.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            let sent_at = clock::now();
            let load = match is_service {
                true => probe_connection(address).await,
                false => backend.load(address).await,
            };
            let (reachable, load) = (load.is_some(), load.unwrap_or_default());
            let report = ServerReport {
                server: name_hash(&server),
                load: load.total(),
                reachable,
                leaving: load.leaving,
                listed: false,
                age: clock::since(sent_at),
            };
            let _ = events.send(Event::ProbeCompleted(report)).await;
        });
    }

    /// Handles the result of a probe.
    pub(super) fn handle_probe_report(&mut self, report: &ServerReport) {
        self.pools_dirty = true;
        if self.gossip.load.observe(report, clock::now()) {
            self.refresh_pools(clock::now());
            self.send_urgent_heartbeats();
        }
    }

    /// Reads the platform's list. `at_start` is set if the box waits for the
    /// list before it becomes ready.
    pub(super) fn read_platform_list(&self, at_start: bool) {
        // Only the watchers of a region read the list. Other boxes learn of leaving
        // servers through heartbeats.
        if !at_start && !self.is_watcher.load(Ordering::Relaxed) {
            return;
        }
        let platform = self.platform.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            if let Ok(listed) = platform.list().await {
                let _ = events.send(Event::PlatformListRead(listed)).await;
            }
            if at_start {
                let _ = events.send(Event::ConfigurationSourceDone).await;
            }
        });
    }

    /// Handles the platform's list, which names other boxes and the servers
    /// that are leaving.
    pub(super) fn handle_platform_list(&mut self, listed: &[BoxListEntry]) {
        let region = self.shared.settings.region.clone();
        let is_starting = !self.shared.snapshot.load().ready;
        let mut addresses = BTreeSet::new();
        for entry in listed {
            let Some(address) = entry.peers.as_ref().and_then(|text| text.parse().ok()) else {
                continue;
            };
            addresses.insert(address);
            if is_starting && entry.region.as_ref() == Some(&region) {
                self.request_configuration_from_peer(address);
            }
        }
        self.gossip.membership.add_addresses(addresses);
        let now = clock::now();
        let mut changed = false;
        for entry in listed.iter().filter(|entry| entry.state == BoxListState::Leaving) {
            changed |= self.gossip.load.observe_listed_leaving(name_hash(&entry.name), now, now);
        }
        self.pools_dirty = true;
        if changed {
            self.refresh_pools(now);
            self.send_urgent_heartbeats();
        }
    }
}

fn pool_limits(pool: &config::Pool, boxes: usize) -> pool::Limits {
    pool::Limits { max_queued: pool.queue_limit, max_queued_bytes: pool.queue_bytes, boxes }
}

async fn probe_connection(address: SocketAddr) -> Option<EngineLoad> {
    backend::accepts_connections(address, SERVICE_CONNECT_TIMEOUT).await.then(EngineLoad::default)
}
