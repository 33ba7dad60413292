//! Refuses requests for which the servers' rate limits leave no capacity, and keeps these rates in
//! the store.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::job::Job;
use super::shared::Service;
use super::shared::Shared;
use super::shared::lock;
use super::store_keys::RATES;
use crate::coordination::presence;
use crate::coordination::rendezvous;
use crate::coordination::throttle::ServerIncarnation;
use crate::coordination::throttle::ServiceHash;
use crate::coordination::throttle::StoredRate;
use crate::error::ErrorKind;
use crate::error::Failure;
use crate::protocol::adapter::Adapter;
use crate::protocol::adapter::KeyWrite;
use crate::protocol::adapter::Operation;
use crate::protocol::adapter::StoreResponse;
use crate::protocol::platform::PlatformError;
use crate::protocol::quantity::Amount;
use crate::protocol::quantity::MAX_RATE;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::transport::store;
use crate::transport::timer;

/// How long the store keeps a rate. A rate that is still valid then is written again.
const RATE_LEASE_TTL: Duration = Duration::from_secs(600);
/// Interval of the checks for rates to write.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// Hash that identifies a service in datagrams.
pub fn service_hash(service: &str) -> ServiceHash {
    rendezvous::weight(service, "")
}

/// Refuses a request because all remaining servers already get as many requests as their rates
/// allow.
pub fn refuse<A: Adapter>(shared: &Shared<A>, job: &Job) -> Failure {
    shared.counters.increment(Counter::Throttled);
    let retry_after = shared.with_service(&job.service, |Service { placement, .. }| {
        let service = service_hash(&job.service);
        lock(&shared.throttles).retry_after(service, placement.usable_incarnations(), clock::now())
    });
    let message = "the backend servers get as many requests as they take";
    let failure = Failure::new(ErrorKind::Throttled, message);
    match retry_after {
        Some(retry_after) => failure.with_retry_after(retry_after),
        None => failure,
    }
}

/// Applies a rate from the store.
pub fn apply_stored_rate<A: Adapter>(shared: &Shared<A>, value: &[u8]) -> Result<(), String> {
    let stored_rate: StoredRate =
        serde_json::from_slice(value).map_err(|error| error.to_string())?;
    if let Some(rate) = stored_rate.rate {
        Amount::<MAX_RATE>::try_from(rate).map_err(|error| format!("rate: {error}"))?;
    }
    lock(&shared.throttles).merge_stored(stored_rate, clock::now());
    Ok(())
}

/// Removes a rate whose key is gone from the store.
pub fn remove_stored_rate<A: Adapter>(shared: &Shared<A>, key: &str) {
    let server = key
        .strip_prefix(RATES)
        .and_then(|incarnation| ServerIncarnation::from_str_radix(incarnation, 16).ok());
    if let Some(server) = server {
        let stored_rate = StoredRate { server, service: 0, rate: None };
        lock(&shared.throttles).merge_stored(stored_rate, clock::now());
    }
}

/// Writes rates to the store for as long as the box runs.
pub async fn write_rates<A: Adapter>(shared: Arc<Shared<A>>, store: store::Client<A>) {
    let own_hash = presence::box_hash(&shared.settings.name);
    loop {
        timer::sleep(WRITE_INTERVAL).await;
        let rates = lock(&shared.throttles).rates_to_write(own_hash, clock::now());
        if rates.is_empty() {
            continue;
        }
        match write_batch(&store, &rates).await {
            Ok(()) => {
                let mut throttles = lock(&shared.throttles);
                rates
                    .iter()
                    .for_each(|stored_rate| throttles.merge_stored(*stored_rate, clock::now()));
            }
            Err(error) => {
                log::warn!("event=rates_not_written count={} error=\"{error}\"", rates.len());
            }
        }
    }
}

async fn write_batch<A: Adapter>(
    store: &store::Client<A>,
    rates: &[StoredRate],
) -> Result<(), PlatformError> {
    let StoreResponse::Lease(lease) = store.call(&Operation::Grant { ttl: RATE_LEASE_TTL }).await?
    else {
        return Err(PlatformError::Malformed("not a lease".to_owned()));
    };
    let row = |stored_rate: &StoredRate| KeyWrite {
        key: format!("{RATES}{:016x}", stored_rate.server),
        // Serializing numbers can't fail.
        value: Bytes::from(serde_json::to_vec(stored_rate).unwrap_or_default()),
        lease,
    };
    let rows = rates.iter().map(row).collect();
    store.call(&Operation::Put(rows)).await.map(|_| ())
}
