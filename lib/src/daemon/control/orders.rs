//! Orders to model engines. One box per region, the lease holder, tells the
//! engines which models to load.
//!
//! Each order contains the complete target state and the holder's epoch. The
//! holder checks its lease again immediately before each order. Engines that
//! check epochs reject orders from earlier holders. For engines that do not, a
//! new holder first waits until no order of its predecessor can still be in
//! transit.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use super::Control;
use super::Event;
use crate::coordination::drain::Stage;
use crate::coordination::invariant;
use crate::coordination::invariant::Invariant;
use crate::coordination::lease;
use crate::coordination::lease::Action;
use crate::coordination::lease::Epoch;
use crate::coordination::rendezvous;
use crate::protocol::PoolId;
use crate::protocol::ServerId;
use crate::protocol::config::Configuration;
use crate::protocol::platform::LeaseId;
use crate::protocol::platform::PlatformError;
use crate::protocol::platform::Put;
use crate::protocol::platform::Store;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::state::counters::Counters;
use crate::transport::backend;
use crate::transport::engine::Engine;
use crate::transport::engine::LoadedModels;
use crate::transport::engine::ModelVersion;
use crate::transport::engine::OrderError;
use crate::transport::platform::Platform;

/// Time between checks of the lease.
pub(super) const LEASE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Number of boxes per region that try to acquire the lease.
const LEASE_CANDIDATES_PER_REGION: usize = 3;
/// Time between rounds of orders.
pub(super) const ORDER_INTERVAL: Duration = Duration::from_secs(5);

impl Control {
    /// Advances the lease's state machine and performs the actions that it
    /// returns.
    pub(super) fn update_lease(&mut self, now: Instant) {
        let has_engines = self
            .configuration
            .pools
            .iter()
            .filter(|(id, _)| !self.configuration.services.contains_key(*id))
            .flat_map(|(_, pool)| pool.servers.values())
            .any(|server| server.region == self.shared.settings.region);
        let serving = self.drain.stage() == Stage::Serving;
        let may_hold = serving && has_engines && self.is_candidate(now);
        if may_hold || self.lease_client.epoch(now).is_some() {
            let actions = self.lease_client.handle(lease::Event::Tick(now));
            self.perform_actions(actions);
        }
    }

    /// Whether this box is one of those in its region that try to acquire the
    /// lease. In a large region, attempts by all other boxes would load the
    /// store to no effect.
    fn is_candidate(&self, now: Instant) -> bool {
        let region = &self.shared.settings.region;
        let members = self.gossip.membership.live_in(region, now);
        let names = members.map(|member| member.name.as_str());
        rendezvous::is_selected(
            &self.shared.settings.name,
            names,
            "orders",
            LEASE_CANDIDATES_PER_REGION,
        )
    }

    /// Handles the result of a lease call.
    pub(super) fn handle_lease_event(&mut self, event: lease::Event, lease: Option<LeaseId>) {
        self.lease_id = lease.or(self.lease_id);
        let actions = self.lease_client.handle(event);
        self.perform_actions(actions);
    }

    fn perform_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Acquire => self.acquire_lease(),
                Action::Renew => self.renew_lease(),
                Action::StartLeading(epoch) => log::info!("event=orders_begin epoch={epoch}"),
                Action::StopLeading(epoch) => log::info!("event=orders_end epoch={epoch}"),
            }
        }
    }

    fn acquire_lease(&self) {
        let platform = self.platform.clone();
        let events = self.events.clone();
        let key = format!("holders/{}", self.shared.settings.region);
        let name = self.shared.settings.name.clone();
        tokio::spawn(async move {
            let (event, lease_id) = acquire_lease(&platform, &key, &name).await;
            let _ = events.send(Event::Lease(event, lease_id)).await;
        });
    }

    fn renew_lease(&self) {
        let Some(lease_id) = self.lease_id else { return };
        let platform = self.platform.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            let asked_at = clock::now();
            let event = match platform.renew(lease_id).await {
                Ok(()) => lease::Event::Renewed { asked_at },
                Err(PlatformError::LeaseExpired) => lease::Event::Expired(clock::now()),
                Err(_) => lease::Event::RenewalFailed,
            };
            let _ = events.send(Event::Lease(event, None)).await;
        });
    }

    /// Sends an order to each engine of this region that may receive one now.
    pub(super) fn send_orders(&mut self, now: Instant) {
        let Some(epoch) = self.lease_client.epoch(now) else { return };
        let may_order_without_fencing = self.lease_client.exclusive_epoch(now).is_some();
        let Some(lease_valid_until) = self.lease_client.held_until() else { return };
        let region = &self.shared.settings.region;
        for (pool_id, pool) in &self.configuration.pools {
            if self.configuration.services.contains_key(pool_id) {
                continue;
            }
            let models = models_to_load(&self.configuration, pool_id);
            for (id, server) in pool.servers.iter().filter(|(_, server)| server.region == *region) {
                if server.checks_epochs || may_order_without_fencing {
                    let order = Order {
                        server: id.clone(),
                        address: server.address,
                        target_state: LoadedModels { epoch, models: models.clone() },
                        lease_valid_until,
                    };
                    let counters = Arc::clone(&self.shared.counters);
                    tokio::spawn(order.send(self.backend.clone(), counters));
                }
            }
        }
    }
}

fn models_to_load(configuration: &Configuration, pool: &PoolId) -> Vec<ModelVersion> {
    let models = configuration.models.iter().filter(|(_, model)| model.pool == *pool);
    models
        .map(|(name, model)| ModelVersion { name: name.clone(), version: model.version.clone() })
        .collect()
}

async fn acquire_lease(
    platform: &Platform,
    key: &str,
    name: &str,
) -> (lease::Event, Option<LeaseId>) {
    let asked_at = clock::now();
    let not_acquired = || (lease::Event::AcquireFailed(clock::now()), None);
    // Most attempts find that another box holds the lease; a read is cheaper
    // than a grant and a write.
    match platform.get(key).await {
        Ok(None) => {}
        _ => return not_acquired(),
    }
    let ttl = lease::Timing::default().ttl;
    let Ok(lease_id) = platform.grant(ttl).await else { return not_acquired() };
    let value = json!({"box": name, "lease": lease_id}).to_string();
    let put = Put { value: value.clone(), expect: 0, lease: Some(lease_id), life_ms: None };
    let epoch = match platform.put(key, put).await {
        Ok(revision) => revision,
        // The write may have succeeded: the stored value names this box's lease if it
        // did.
        Err(PlatformError::NoResponse(_)) => match platform.get(key).await {
            Ok(Some(entry)) if entry.value == value => entry.revision,
            _ => return not_acquired(),
        },
        Err(_) => return not_acquired(),
    };
    (lease::Event::Acquired { epoch, asked_at }, Some(lease_id))
}

/// An order to one engine.
struct Order {
    server: ServerId,
    address: SocketAddr,
    target_state: LoadedModels,
    lease_valid_until: Instant,
}

impl Order {
    async fn send(self, engine: backend::Client, counters: Arc<Counters>) {
        match engine.loaded_models(self.address).await {
            Ok(loaded) if loaded.models == self.target_state.models => return,
            Ok(_) => {}
            Err(_) => return,
        }
        // The read took time, so the lease may have expired.
        let lease_remaining = self.lease_valid_until.saturating_duration_since(clock::now());
        if lease_remaining.is_zero() {
            return;
        }
        invariant::check(Invariant::OrderUnderLease, clock::now() < self.lease_valid_until, || {
            format!("server={} epoch={}", self.server, self.target_state.epoch)
        });
        counters.increment(Counter::Orders);
        let timeout = lease::Timing::default().max_order_delay;
        let epoch: Epoch = self.target_state.epoch;
        match engine.order(self.address, &self.target_state, timeout).await {
            Ok(()) => log::info!("event=order_done server={} epoch={epoch}", self.server),
            Err(OrderError::Fenced) => {
                counters.increment(Counter::OrdersFailed);
                log::warn!("event=order_fenced server={} epoch={epoch}", self.server);
            }
            Err(OrderError::Failed(_)) => counters.increment(Counter::OrdersFailed),
        }
    }
}
