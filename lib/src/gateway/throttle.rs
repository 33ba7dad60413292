//! Refuses requests that servers which name a rate have no room for, and keeps their words in the store.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::job::Job;
use super::keys::RATES;
use super::shared::Service;
use super::shared::Shared;
use super::shared::lock;
use crate::coordination::presence;
use crate::coordination::rendezvous;
use crate::coordination::throttle::ServerLife;
use crate::coordination::throttle::ServiceHash;
use crate::coordination::throttle::StoredRate;
use crate::error::Failure;
use crate::error::Kind;
use crate::protocol::adapter::Adapter;
use crate::protocol::adapter::Answer;
use crate::protocol::adapter::Operation;
use crate::protocol::adapter::Row;
use crate::protocol::platform::PlatformError;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::transport::store;
use crate::transport::timer;

/// How long the store keeps a word; one that still holds then is written again.
const STORED_LIFE: Duration = Duration::from_secs(600);
/// Time between looks whether there is something to write.
const LOOK: Duration = Duration::from_millis(500);

/// What stands for a service among boxes.
pub fn service_hash(service: &str) -> ServiceHash {
    rendezvous::weight(service, "")
}

/// Refuses a request for which only servers are left that get as much as they take.
pub fn refuse<A: Adapter>(shared: &Shared<A>, job: &Job) -> Failure {
    shared.counters.count(Counter::Throttled);
    let come_back = shared.with_service(&job.service, |Service { placement, .. }| {
        let service = service_hash(&job.service);
        lock(&shared.throttles).retry_after(service, placement.lives(), clock::now())
    });
    let message = "the backend servers get as many requests as they take";
    let failure = Failure::new(Kind::Throttled, message);
    match come_back {
        Some(come_back) => failure.with_retry_after(come_back),
        None => failure,
    }
}

/// Takes in a key of the store.
pub fn stored<A: Adapter>(shared: &Shared<A>, value: &[u8]) -> Result<(), serde_json::Error> {
    let word = serde_json::from_slice(value)?;
    lock(&shared.throttles).merge_stored(word, clock::now());
    Ok(())
}

/// A key of the store is gone.
pub fn forgotten<A: Adapter>(shared: &Shared<A>, key: &str) {
    let server = key.strip_prefix(RATES).and_then(|life| ServerLife::from_str_radix(life, 16).ok());
    if let Some(server) = server {
        let word = StoredRate { server, service: 0, rate: None };
        lock(&shared.throttles).merge_stored(word, clock::now());
    }
}

/// Writes words to the store, for as long as the box runs.
pub async fn keep<A: Adapter>(shared: Arc<Shared<A>>, store: store::Client<A>) {
    let own = presence::box_hash(&shared.settings.name);
    loop {
        timer::sleep(LOOK).await;
        let words = lock(&shared.throttles).rates_to_write(own, clock::now());
        if words.is_empty() {
            continue;
        }
        match write(&store, &words).await {
            Ok(()) => {
                let mut throttles = lock(&shared.throttles);
                words.iter().for_each(|word| throttles.merge_stored(*word, clock::now()));
            }
            Err(error) => {
                log::warn!("event=rates_not_written count={} error=\"{error}\"", words.len());
            }
        }
    }
}

async fn write<A: Adapter>(
    store: &store::Client<A>,
    words: &[StoredRate],
) -> Result<(), PlatformError> {
    let Answer::Lease(lease) = store.call(&Operation::Grant { life: STORED_LIFE }).await? else {
        return Err(PlatformError::Malformed("not a lease".to_owned()));
    };
    let row = |word: &StoredRate| Row {
        key: format!("{RATES}{:016x}", word.server),
        // Numbers cannot fail to be written.
        value: Bytes::from(serde_json::to_vec(word).unwrap_or_default()),
        lease,
    };
    let rows = words.iter().map(row).collect();
    store.call(&Operation::Put(rows)).await.map(|_| ())
}
