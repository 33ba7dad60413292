//! Keeps this box's record in the store, under a lease that is renewed while the process runs.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use rand::Rng;
use tokio::sync::mpsc;
use tokio::sync::watch;

use super::event::Event;
use super::store_keys;
use super::store_keys::LISTING_BUILD;
use crate::coordination::store_rollback::MAX_ROLLBACK_AGE;
use crate::protocol::adapter::Adapter;
use crate::protocol::adapter::KeyWrite;
use crate::protocol::adapter::NO_LEASE;
use crate::protocol::adapter::Operation;
use crate::protocol::adapter::StoreResponse;
use crate::protocol::fleet::BoxRecord;
use crate::protocol::platform::Era;
use crate::protocol::platform::LeaseId;
use crate::protocol::platform::PlatformError;
use crate::protocol::platform::Revision;
use crate::state::clock;
use crate::transport::store;
use crate::transport::timer;

/// Time to live of the lease. Other boxes drop a box that is gone within this time.
const LEASE_TTL: Duration = Duration::from_secs(4);
/// Interval of renewals. Two may be lost before the lease expires.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1200);

/// Maximum random delay before a possibly lost lease is replaced, because all boxes find out at the
/// same time.
const MAX_REGRANT_DELAY: Duration = Duration::from_secs(1);

/// A lease, and the era of the store in which its id is valid.
#[derive(Clone, Copy, Debug)]
struct Lease {
    id: LeaseId,
    era: Era,
    granted_at: Instant,
    /// When the lease was last confirmed to exist in that era.
    confirmed_at: Instant,
}

impl Lease {
    /// Whether the store may have been restored from a copy that lacks this lease. The id may
    /// belong to another box by now, so a successful renewal does not show that the lease still
    /// exists.
    fn may_be_lost(&self, era: Era) -> bool {
        let age = self.confirmed_at.saturating_duration_since(self.granted_at);
        era != self.era && age < MAX_ROLLBACK_AGE
    }

    /// Records a successful call with this lease.
    fn confirm(&mut self, era: Era) {
        if era == self.era {
            self.confirmed_at = clock::now();
        }
    }
}

/// Revision of a key that must be absent.
const ABSENT: Revision = 0;

/// Keeps the newest record in the store until its sender is dropped, then removes the record.
pub async fn maintain<A: Adapter>(
    store: store::Client<A>,
    mut record: watch::Receiver<BoxRecord>,
    events: mpsc::Sender<Event>,
) {
    let mut lease: Option<Lease> = None;
    let mut failed_since: Option<Instant> = None;
    let mut retry_pause = store::RETRY_DELAY;
    let mut written = false;
    let mut in_roster = false;
    let mut roster_entry = Bytes::new();
    let mut announced = false;
    let mut is_first_write = true;
    let mut start_event: Option<Event> = None;
    loop {
        let era = store.newest_era();
        if lease.as_ref().is_some_and(|lease| lease.may_be_lost(era)) {
            log::warn!(
                "event=lease_lost era={era} reason=\"the store came back from an older copy\""
            );
            lease = None;
            in_roster = false;
            announced = false;
            let fraction = rand::rng().random::<f64>();
            timer::sleep(MAX_REGRANT_DELAY.mul_f64(fraction)).await;
        }
        let result = match lease {
            None => grant(&store).await.map(|granted| {
                lease = Some(granted);
                written = false;
            }),
            Some(Lease { id, .. }) if !written || record.has_changed().unwrap_or(false) => {
                let newest = record.borrow_and_update().clone();
                let first_write = match is_first_write {
                    true => write_first_record(&store, &newest, id).await.map(Some),
                    false => Ok(None),
                };
                let result = match first_write {
                    Ok(Some(FirstWrite::Written)) => {
                        start_event = Some(Event::FirstStart);
                        is_first_write = false;
                        roster_entry = Bytes::from_static(LISTING_BUILD);
                        Ok(())
                    }
                    Ok(outcome) => {
                        start_event = outcome.is_some().then_some(Event::Restart);
                        is_first_write = false;
                        // The entry tells what the first build of this name was.
                        in_roster |= outcome == Some(FirstWrite::Exists);
                        let entry = (!in_roster).then_some(&roster_entry);
                        write_record(&store, &newest, id, entry).await
                    }
                    Err(error) => Err(error),
                };
                result.map(|()| {
                    written = true;
                    in_roster = true;
                })
            }
            Some(Lease { id, .. }) => store.call(&Operation::Renew(id)).await.map(|_| ()),
        };
        if let Some(event) = start_event.take()
            && events.send(event).await.is_err()
        {
            return;
        }
        match result {
            Ok(()) => {
                let era = store.newest_era();
                lease.iter_mut().for_each(|lease| lease.confirm(era));
                retry_pause = store::RETRY_DELAY;
                if written && !announced {
                    announced = true;
                    if events.send(Event::RecordWritten).await.is_err() {
                        return;
                    }
                }
                if failed_since.take().is_some()
                    && events.send(Event::StoreRecovered).await.is_err()
                {
                    return;
                }
                if !written || lease.as_ref().is_some_and(|lease| lease.may_be_lost(era)) {
                    continue;
                }
                tokio::select! {
                    () = timer::sleep(RENEWAL_INTERVAL) => {}
                    changed = record.changed() => {
                        written = false;
                        if changed.is_err() {
                            end_lease(&store, lease).await;
                            return;
                        }
                    }
                }
            }
            Err(PlatformError::LeaseExpired) => {
                log::warn!("event=lease_over");
                lease = None;
                written = false;
                in_roster = false;
                announced = false;
            }
            Err(error) => {
                if failed_since.is_none() {
                    log::warn!("event=lease_call_failed error=\"{error}\"");
                    failed_since = Some(clock::now());
                }
                // Back off with jitter: every box of the fleet makes these calls while the store is
                // unavailable.
                let jitter = 0.75 + 0.5 * rand::rng().random::<f64>();
                timer::sleep(retry_pause.mul_f64(jitter)).await;
                retry_pause = (retry_pause * 2).min(RENEWAL_INTERVAL);
            }
        }
    }
}

/// Removes the record from the store by ending its lease, so that other boxes need not wait for it
/// to expire.
async fn end_lease<A: Adapter>(store: &store::Client<A>, lease: Option<Lease>) {
    let Some(lease) = lease.filter(|lease| !lease.may_be_lost(store.newest_era())) else { return };
    if let Err(error) = store.call(&Operation::Revoke(lease.id)).await {
        log::info!("event=lease_not_ended error=\"{error}\"");
    }
}

async fn grant<A: Adapter>(store: &store::Client<A>) -> Result<Lease, PlatformError> {
    let now = clock::now();
    let granted = store.call_with_era(&Operation::Grant { ttl: LEASE_TTL }).await?;
    let era = granted.era.unwrap_or_else(|| store.newest_era());
    match granted.response {
        StoreResponse::Lease(id) => Ok(Lease { id, era, granted_at: now, confirmed_at: now }),
        _ => Err(PlatformError::Malformed("not a lease".to_owned())),
    }
}

/// The outcome of the first write of a box's record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FirstWrite {
    /// The record was written.
    Written,
    /// The roster has a box of this name, so nothing was written.
    Exists,
    /// The response was lost.
    Unknown,
}

/// Writes the record if no box of this name is in the roster yet. An error means that the call had no effect, so the
/// next one may still be the first write.
async fn write_first_record<A: Adapter>(
    store: &store::Client<A>,
    record: &BoxRecord,
    lease: LeaseId,
) -> Result<FirstWrite, PlatformError> {
    let expected = vec![(store_keys::roster_key(record), ABSENT)];
    let writes = record_writes(record, lease, Some(&Bytes::from_static(LISTING_BUILD)));
    match store.call(&Operation::PutIf { expected, writes }).await {
        Ok(_) => Ok(FirstWrite::Written),
        Err(PlatformError::Conflict(_)) => Ok(FirstWrite::Exists),
        Err(
            error @ (PlatformError::Unreachable(_)
            | PlatformError::RateLimited
            | PlatformError::LeaseExpired),
        ) => Err(error),
        Err(_) => Ok(FirstWrite::Unknown),
    }
}

async fn write_record<A: Adapter>(
    store: &store::Client<A>,
    record: &BoxRecord,
    lease: LeaseId,
    roster_entry: Option<&Bytes>,
) -> Result<(), PlatformError> {
    store.call(&Operation::Put(record_writes(record, lease, roster_entry))).await.map(|_| ())
}

fn record_writes(
    record: &BoxRecord,
    lease: LeaseId,
    roster_entry: Option<&Bytes>,
) -> Vec<KeyWrite> {
    let (key, value) = store_keys::box_entry(record);
    let mut rows = vec![KeyWrite { key, value, lease }];
    rows.extend(roster_entry.map(|value| KeyWrite {
        key: store_keys::roster_key(record),
        value: value.clone(),
        lease: NO_LEASE,
    }));
    rows
}
