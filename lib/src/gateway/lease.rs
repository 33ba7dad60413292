//! Keeps this box's record in the store, under a lease that is renewed while
//! the process lives.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use rand::Rng;
use tokio::sync::mpsc;
use tokio::sync::watch;

use super::event::Event;
use super::keys;
use crate::coordination::store_rollback::MAX_ROLLBACK_AGE;
use crate::protocol::adapter::Adapter;
use crate::protocol::adapter::Answer;
use crate::protocol::adapter::NO_LEASE;
use crate::protocol::adapter::Operation;
use crate::protocol::adapter::Row;
use crate::protocol::fleet::BoxRecord;
use crate::protocol::platform::Era;
use crate::protocol::platform::LeaseId;
use crate::protocol::platform::PlatformError;
use crate::state::clock;
use crate::transport::store;
use crate::transport::timer;

/// Life of the lease: a box that is gone is dropped by the others within it.
const LIFE: Duration = Duration::from_secs(4);
/// Time between renewals: two may be lost before the lease runs out.
const RENEWAL: Duration = Duration::from_millis(1200);

/// Longest wait before a lease is taken out again that may be lost: all boxes find out at once.
const SPREAD: Duration = Duration::from_secs(1);

/// A lease, in the history of the store that its number belongs to.
#[derive(Clone, Copy, Debug)]
struct Lease {
    id: LeaseId,
    era: Era,
    granted_at: Instant,
    /// When it was last known to be in that history.
    held_at: Instant,
}

impl Lease {
    /// Whether the store may have come back from a copy that lacks this lease; its number may be another
    /// box's by now, so renewing it proves nothing.
    fn may_be_lost(&self, era: Era) -> bool {
        let age = self.held_at.saturating_duration_since(self.granted_at);
        era != self.era && age < MAX_ROLLBACK_AGE
    }

    /// A call with it succeeded.
    fn confirm(&mut self, era: Era) {
        if era == self.era {
            self.held_at = clock::now();
        }
    }
}

/// Keeps the newest record in the store until its sender is gone, then takes it out.
pub async fn keep<A: Adapter>(
    store: store::Client<A>,
    mut record: watch::Receiver<BoxRecord>,
    events: mpsc::Sender<Event>,
) {
    let mut lease: Option<Lease> = None;
    let mut failed_since: Option<Instant> = None;
    let mut pause = store::RETRY_PAUSE;
    let mut written = false;
    let mut listed = false;
    let mut told = false;
    loop {
        let era = store.era();
        if lease.as_ref().is_some_and(|lease| lease.may_be_lost(era)) {
            log::warn!(
                "event=lease_lost era={era} reason=\"the store came back from an older copy\""
            );
            lease = None;
            listed = false;
            told = false;
            let part = rand::rng().random::<f64>();
            timer::sleep(SPREAD.mul_f64(part)).await;
        }
        let done = match lease {
            None => grant(&store).await.map(|granted| {
                lease = Some(granted);
                written = false;
            }),
            Some(Lease { id, .. }) if !written || record.has_changed().unwrap_or(false) => {
                let newest = record.borrow_and_update().clone();
                write(&store, &newest, id, !listed).await.map(|()| {
                    written = true;
                    listed = true;
                })
            }
            Some(Lease { id, .. }) => store.call(&Operation::Renew(id)).await.map(|_| ()),
        };
        match done {
            Ok(()) => {
                let era = store.era();
                lease.iter_mut().for_each(|lease| lease.confirm(era));
                pause = store::RETRY_PAUSE;
                if written && !told {
                    told = true;
                    if events.send(Event::RecordWritten).await.is_err() {
                        return;
                    }
                }
                if failed_since.take().is_some() && events.send(Event::StoreBack).await.is_err() {
                    return;
                }
                if !written || lease.as_ref().is_some_and(|lease| lease.may_be_lost(era)) {
                    continue;
                }
                tokio::select! {
                    () = timer::sleep(RENEWAL) => {}
                    changed = record.changed() => {
                        written = false;
                        if changed.is_err() {
                            end(&store, lease).await;
                            return;
                        }
                    }
                }
            }
            Err(PlatformError::LeaseOver) => {
                log::warn!("event=lease_over");
                lease = None;
                written = false;
                listed = false;
                told = false;
            }
            Err(error) => {
                if failed_since.is_none() {
                    log::warn!("event=lease_call_failed error=\"{error}\"");
                    failed_since = Some(clock::now());
                }
                // Each call into the dark is paid for, by every box of the fleet.
                let jitter = 0.75 + 0.5 * rand::rng().random::<f64>();
                timer::sleep(pause.mul_f64(jitter)).await;
                pause = (pause * 2).min(RENEWAL);
            }
        }
    }
}

/// Takes the record out of the store, so that others need not wait for the lease's end.
async fn end<A: Adapter>(store: &store::Client<A>, lease: Option<Lease>) {
    let Some(lease) = lease.filter(|lease| !lease.may_be_lost(store.era())) else { return };
    if let Err(error) = store.call(&Operation::End(lease.id)).await {
        log::info!("event=lease_not_ended error=\"{error}\"");
    }
}

async fn grant<A: Adapter>(store: &store::Client<A>) -> Result<Lease, PlatformError> {
    let now = clock::now();
    let told = store.read(&Operation::Grant { life: LIFE }).await?;
    let era = told.era.unwrap_or_else(|| store.era());
    match told.answer {
        Answer::Lease(id) => Ok(Lease { id, era, granted_at: now, held_at: now }),
        _ => Err(PlatformError::Malformed("not a lease".to_owned())),
    }
}

async fn write<A: Adapter>(
    store: &store::Client<A>,
    record: &BoxRecord,
    lease: LeaseId,
    list: bool,
) -> Result<(), PlatformError> {
    let (key, value) = keys::record(record);
    let mut rows = vec![Row { key, value, lease }];
    if list {
        rows.push(Row { key: keys::listed(record), value: Bytes::new(), lease: NO_LEASE });
    }
    store.call(&Operation::Put(rows)).await.map(|_| ())
}
