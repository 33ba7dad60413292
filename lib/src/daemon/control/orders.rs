//! Orders to model engines: one holder per region gives them, under a lease.
//!
//! Each order names the whole state wanted and carries the holder's epoch. The
//! holder looks at its lease once more right before each order. Engines that
//! check epochs are safe by that; for those that do not, a new holder first
//! waits until its predecessor's last order must have landed.

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
use crate::transport::engine::Loaded;
use crate::transport::engine::Model;
use crate::transport::engine::OrderError;
use crate::transport::platform::Platform;

/// Time between looks at the lease.
pub(super) const LEASE_PERIOD: Duration = Duration::from_secs(1);
/// Boxes of a region that try for the lease.
const CANDIDATES: usize = 3;
/// Time between rounds of orders.
pub(super) const ORDERS_PERIOD: Duration = Duration::from_secs(5);

impl Control {
    /// Tells the holder the time and does what it asks for.
    pub(super) fn tend_lease(&mut self, now: Instant) {
        let has_engines = self
            .configuration
            .pools
            .iter()
            .filter(|(id, _)| !self.configuration.services.contains_key(*id))
            .flat_map(|(_, pool)| pool.servers.values())
            .any(|server| server.region == self.shared.settings.region);
        let serving = self.drain.stage() == Stage::Serving;
        let may_hold = serving && has_engines && self.is_candidate(now);
        if may_hold || self.holder.epoch(now).is_some() {
            let actions = self.holder.handle(lease::Event::Tick(now));
            self.act(actions);
        }
    }

    /// Whether this box is among those of its region that try for the lease;
    /// all of a large region would only ask the store in vain.
    fn is_candidate(&self, now: Instant) -> bool {
        let region = &self.shared.settings.region;
        let members = self.exchange.membership.live_in(region, now);
        let names = members.map(|member| member.name.as_str());
        rendezvous::holds(&self.shared.settings.name, names, "orders", CANDIDATES)
    }

    /// Word on the lease came in.
    pub(super) fn lease_event(&mut self, event: lease::Event, lease: Option<LeaseId>) {
        self.lease = lease.or(self.lease);
        let actions = self.holder.handle(event);
        self.act(actions);
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Acquire => self.acquire(),
                Action::Renew => self.renew(),
                Action::StartLeading(epoch) => log::info!("event=orders_begin epoch={epoch}"),
                Action::StopLeading(epoch) => log::info!("event=orders_end epoch={epoch}"),
            }
        }
    }

    fn acquire(&self) {
        let platform = self.platform.clone();
        let events = self.events.clone();
        let key = format!("holders/{}", self.shared.settings.region);
        let name = self.shared.settings.name.clone();
        tokio::spawn(async move {
            let (event, lease) = acquire(&platform, &key, &name).await;
            let _ = events.send(Event::Lease(event, lease)).await;
        });
    }

    fn renew(&self) {
        let Some(lease) = self.lease else { return };
        let platform = self.platform.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            let asked_at = clock::now();
            let event = match platform.renew(lease).await {
                Ok(()) => lease::Event::Renewed { asked_at },
                Err(PlatformError::LeaseOver) => lease::Event::Expired(clock::now()),
                Err(_) => lease::Event::RenewalFailed,
            };
            let _ = events.send(Event::Lease(event, None)).await;
        });
    }

    /// Orders every engine of this region that may be ordered now.
    pub(super) fn give_orders(&mut self, now: Instant) {
        let Some(epoch) = self.holder.epoch(now) else { return };
        let alone = self.holder.exclusive_epoch(now).is_some();
        let Some(until) = self.holder.held_until() else { return };
        let region = &self.shared.settings.region;
        for (pool_id, pool) in &self.configuration.pools {
            if self.configuration.services.contains_key(pool_id) {
                continue;
            }
            let models = wanted(&self.configuration, pool_id);
            for (id, server) in pool.servers.iter().filter(|(_, server)| server.region == *region) {
                if server.checks_epochs || alone {
                    let order = Order {
                        server: id.clone(),
                        address: server.address,
                        wanted: Loaded { epoch, models: models.clone() },
                        until,
                    };
                    let counters = Arc::clone(&self.shared.counters);
                    tokio::spawn(order.give(self.backend.clone(), counters));
                }
            }
        }
    }
}

fn wanted(configuration: &Configuration, pool: &PoolId) -> Vec<Model> {
    let models = configuration.models.iter().filter(|(_, model)| model.pool == *pool);
    models
        .map(|(name, model)| Model { name: name.clone(), version: model.version.clone() })
        .collect()
}

async fn acquire(platform: &Platform, key: &str, name: &str) -> (lease::Event, Option<LeaseId>) {
    let asked_at = clock::now();
    let refused = || (lease::Event::AcquireFailed(clock::now()), None);
    // Most attempts find another holder: a read is cheaper than a lease and a write.
    match platform.get(key).await {
        Ok(None) => {}
        _ => return refused(),
    }
    let life = lease::Timing::default().ttl;
    let Ok(lease) = platform.grant(life).await else { return refused() };
    let value = json!({"box": name, "lease": lease}).to_string();
    let put = Put { value: value.clone(), expect: 0, lease: Some(lease), life_ms: None };
    let epoch = match platform.put(key, put).await {
        Ok(revision) => revision,
        // The write may have taken effect; the value names our lease.
        Err(PlatformError::Lost(_)) => match platform.get(key).await {
            Ok(Some(entry)) if entry.value == value => entry.revision,
            _ => return refused(),
        },
        Err(_) => return refused(),
    };
    (lease::Event::Acquired { epoch, asked_at }, Some(lease))
}

/// One order, on its way.
struct Order {
    server: ServerId,
    address: SocketAddr,
    wanted: Loaded,
    until: Instant,
}

impl Order {
    async fn give(self, engine: backend::Client, counters: Arc<Counters>) {
        match engine.loaded(self.address).await {
            Ok(loaded) if loaded.models == self.wanted.models => return,
            Ok(_) => {}
            Err(_) => return,
        }
        // Reading took time; the lease may be over now.
        let left = self.until.saturating_duration_since(clock::now());
        if left.is_zero() {
            return;
        }
        invariant::check(Invariant::OrderUnderLease, clock::now() < self.until, || {
            format!("server={} epoch={}", self.server, self.wanted.epoch)
        });
        counters.count(Counter::Orders);
        let timeout = lease::Timing::default().max_order_delay;
        let epoch: Epoch = self.wanted.epoch;
        match engine.order(self.address, &self.wanted, timeout).await {
            Ok(()) => log::info!("event=order_done server={} epoch={epoch}", self.server),
            Err(OrderError::Fenced) => {
                counters.count(Counter::OrdersFailed);
                log::warn!("event=order_fenced server={} epoch={epoch}", self.server);
            }
            Err(OrderError::Failed(_)) => counters.count(Counter::OrdersFailed),
        }
    }
}
