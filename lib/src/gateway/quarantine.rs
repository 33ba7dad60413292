//! Requests that end every server that runs them: refused here, told to the
//! other boxes, and kept in the store, so that boxes know them that start when
//! all others are gone.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

use super::job::Job;
use super::keys::QUARANTINE;
use super::shared::Shared;
use super::shared::lock;
use crate::coordination::presence;
use crate::coordination::quarantine;
use crate::coordination::quarantine::Suspicion;
use crate::coordination::quarantine::Target;
use crate::coordination::rendezvous;
use crate::error::Failure;
use crate::error::Kind;
use crate::protocol::ServerId;
use crate::protocol::adapter::Adapter;
use crate::protocol::adapter::Answer;
use crate::protocol::adapter::Operation;
use crate::protocol::adapter::Row;
use crate::protocol::platform::PlatformError;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::transport::store;
use crate::transport::timer;

/// Stands for all callers in a key of the store.
const ANYONE: &str = "anyone";
/// Boxes that write a verdict again which the store has lost.
const WRITERS: usize = 3;
/// Time after which the next of them does so: a write, and until it is heard of.
const WRITE_GAP: Duration = Duration::from_secs(1);
/// Most verdicts in one call.
const BATCH: usize = 16;
/// Longest pause between tries to write while the store is away.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// A verdict in the store; its lease ends it.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct Record {
    content: u64,
    /// `None`: whoever sends it.
    caller: Option<u64>,
}

/// Refuses a request that ends servers.
pub fn admit<A: Adapter>(shared: &Shared<A>, job: &Job) -> Result<(), Failure> {
    let mut quarantine = lock(&shared.quarantine);
    if quarantine.is_empty() {
        return Ok(());
    }
    let Some(left) = quarantine.refused_for(job.fingerprint, clock::now()) else { return Ok(()) };
    drop(quarantine);
    shared.counters.count(Counter::Quarantined);
    shared.verdicts.notify_one();
    let message = format!("servers ended under request {} before", job.fingerprint);
    Err(Failure::new(Kind::Quarantined, message).with_retry_after(left))
}

/// What is known of a request that goes to a server, and of these.
#[derive(Debug, Default)]
pub struct Trial {
    /// Ends of servers under it, if there were any.
    pub suspicion: Option<Suspicion>,
    /// Servers that it had better not go to.
    pub occupied: Vec<ServerId>,
    /// Those of them that it must not go to.
    pub reserved: Vec<ServerId>,
}

/// Looks up a request that goes to a server.
pub fn trial<A: Adapter>(shared: &Shared<A>, job: &Job, now: Instant) -> Trial {
    let request = job.fingerprint;
    let quarantine = lock(&shared.quarantine);
    let suspicion = quarantine.suspicion(request);
    if !quarantine.needs_isolation(request) {
        return Trial { suspicion, ..Trial::default() };
    }
    let occupied = quarantine.servers_with_suspects(request, now).cloned().collect();
    let reserved = quarantine.reserved_servers(request, now).cloned().collect();
    Trial { suspicion, occupied, reserved }
}

/// Judges what is due.
pub fn tick<A: Adapter>(shared: &Shared<A>, now: Instant) {
    let judged = lock(&shared.quarantine).tick(now);
    for Target { content, caller } in &judged {
        log::warn!("event=quarantined content={content:016x} caller={caller:x?}");
    }
    if !judged.is_empty() {
        shared.alarm.notify_one();
        shared.verdicts.notify_one();
    }
}

/// Takes in a key of the store.
pub fn stored<A: Adapter>(shared: &Shared<A>, value: &[u8]) -> Result<(), serde_json::Error> {
    let Record { content, caller } = serde_json::from_slice(value)?;
    lock(&shared.quarantine).record_stored_verdict(Target { content, caller }, clock::now());
    Ok(())
}

/// A verdict is missing in a store that came back from an older copy: a few boxes write it again, one after
/// the other until it is there.
pub fn lost<A: Adapter>(shared: &Arc<Shared<A>>, key: &str) {
    let Some(target) = target(key) else { return };
    let own = rendezvous::mix(presence::box_hash(&shared.settings.name), target.content);
    let snapshot = shared.snapshot.load();
    let others = snapshot.boxes.iter().map(|other| presence::box_hash(&other.name));
    let rank = others.filter(|other| rendezvous::mix(*other, target.content) > own).count();
    if rank >= WRITERS {
        return;
    }
    let (shared, key) = (Arc::clone(shared), key.to_owned());
    tokio::spawn(async move {
        timer::sleep(WRITE_GAP * rank as u32).await;
        if lock(&shared.replica).get(&key).is_none() {
            lock(&shared.quarantine).record_lost_verdict(target, clock::now());
            shared.verdicts.notify_one();
        }
    });
}

/// What a key of the store is a verdict on.
fn target(key: &str) -> Option<Target> {
    let (content, who) = key.strip_prefix(QUARANTINE)?.split_once('/')?;
    let content = u64::from_str_radix(content, 16).ok()?;
    let caller = match who {
        ANYONE => None,
        who => Some(u64::from_str_radix(who, 16).ok()?),
    };
    Some(Target { content, caller })
}

/// Writes verdicts to the store, for as long as it takes.
pub async fn keep<A: Adapter>(shared: Arc<Shared<A>>, store: store::Client<A>) {
    loop {
        shared.verdicts.notified().await;
        let mut pause = store::RETRY_PAUSE;
        loop {
            let targets = lock(&shared.quarantine).unwritten_verdicts(BATCH);
            if targets.is_empty() {
                break;
            }
            match write(&store, &targets).await {
                Ok(()) => {
                    let now = clock::now();
                    let mut quarantine = lock(&shared.quarantine);
                    targets
                        .iter()
                        .for_each(|target| quarantine.record_stored_verdict(*target, now));
                }
                Err(error) => {
                    log::warn!(
                        "event=verdicts_not_written count={} error=\"{error}\"",
                        targets.len()
                    );
                    let jitter = 0.75 + 0.5 * rand::rng().random::<f64>();
                    timer::sleep(pause.mul_f64(jitter)).await;
                    pause = (pause * 2).min(LONGEST_PAUSE);
                }
            }
        }
    }
}

async fn write<A: Adapter>(
    store: &store::Client<A>,
    targets: &[Target],
) -> Result<(), PlatformError> {
    let grant = Operation::Grant { life: quarantine::VERDICT_TTL };
    let Answer::Lease(lease) = store.call(&grant).await? else {
        return Err(PlatformError::Malformed("not a lease".to_owned()));
    };
    let rows = targets.iter().map(|target| row(*target, lease)).collect();
    store.call(&Operation::Put(rows)).await.map(|_| ())
}

fn row(target: Target, lease: u64) -> Row {
    let Target { content, caller } = target;
    let who = caller.map_or_else(|| ANYONE.to_owned(), |caller| format!("{caller:016x}"));
    // Two numbers cannot fail to be written.
    let value = serde_json::to_vec(&Record { content, caller }).unwrap_or_default();
    Row { key: format!("{QUARANTINE}{content:016x}/{who}"), value: Bytes::from(value), lease }
}
