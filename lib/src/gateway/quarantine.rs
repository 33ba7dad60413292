//! Quarantines requests that crash every server that runs them. Such requests are refused here and
//! reported to the other boxes. The verdicts are also kept in the store, for boxes that start when
//! no other box is running.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

use super::decision_log;
use super::job::Job;
use super::shared::Shared;
use super::shared::lock;
use super::store_keys::QUARANTINE;
use crate::coordination::presence;
use crate::coordination::quarantine;
use crate::coordination::quarantine::Suspicion;
use crate::coordination::quarantine::Target;
use crate::coordination::rendezvous;
use crate::error::ErrorKind;
use crate::error::Failure;
use crate::protocol::ServerId;
use crate::protocol::adapter::Adapter;
use crate::protocol::adapter::KeyWrite;
use crate::protocol::adapter::Operation;
use crate::protocol::adapter::StoreResponse;
use crate::protocol::platform::PlatformError;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::transport::store;
use crate::transport::timer;

/// Stands for any caller in a store key.
const ANY_CALLER: &str = "anyone";
/// Number of boxes that rewrite a verdict that the store has lost.
const MAX_REWRITERS: usize = 3;
/// Delay between the boxes that may rewrite a verdict: enough to write it and for the next box to
/// receive it.
const REWRITE_GAP: Duration = Duration::from_secs(1);
/// Maximum number of verdicts in one call.
const MAX_VERDICTS_PER_CALL: usize = 16;
/// Maximum pause between attempts to write while the store is unavailable.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// A verdict in the store. It expires with its lease.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct StoredVerdict {
    content: u64,
    /// `None` if the verdict applies to any caller.
    caller: Option<u64>,
}

/// Refuses a request that is quarantined.
pub fn admit<A: Adapter>(shared: &Shared<A>, job: &Job) -> Result<(), Failure> {
    let mut quarantine = lock(&shared.quarantine);
    if quarantine.is_empty() {
        return Ok(());
    }
    let now = clock::now();
    let refused = quarantine.refused_for(job.fingerprint, now);
    let refused = refused.map(|left| (format!("request {}", job.fingerprint), left));
    let refused = refused.or_else(|| {
        let (part, left) = quarantine.refused_part(&job.metadata.segments, now)?;
        Some((format!("requests with part {part:016x}"), left))
    });
    let Some((cause, remaining)) = refused else { return Ok(()) };
    drop(quarantine);
    shared.counters.increment(Counter::Quarantined);
    shared.verdicts.notify_one();
    let message = format!("servers ended under {cause} before");
    Err(Failure::new(ErrorKind::Quarantined, message).with_retry_after(remaining))
}

/// How a request that may crash servers is kept apart from others: its recorded crashes, and the
/// servers that it must avoid.
#[derive(Debug, Default)]
pub struct Isolation {
    /// Crashes of servers that ran the request, if there were any.
    pub suspicion: Option<Suspicion>,
    /// Servers that the request should avoid.
    pub occupied: Vec<ServerId>,
    /// The part of `occupied` that the request must never be sent to.
    pub reserved: Vec<ServerId>,
}

/// Determines, before a request is sent, its recorded crashes and the servers that it must avoid.
pub fn isolation<A: Adapter>(shared: &Shared<A>, job: &Job, now: Instant) -> Isolation {
    let request = job.fingerprint;
    let quarantine = lock(&shared.quarantine);
    let suspicion = quarantine.suspicion(request);
    if !quarantine.needs_isolation(request) {
        return Isolation { suspicion, ..Isolation::default() };
    }
    let occupied = quarantine.servers_with_suspects(request, now).cloned().collect();
    let reserved = quarantine.reserved_servers(request, now).cloned().collect();
    Isolation { suspicion, occupied, reserved }
}

/// Decides the verdicts that are due.
pub fn tick<A: Adapter>(shared: &Shared<A>, now: Instant) {
    let mut quarantine = lock(&shared.quarantine);
    let decided = quarantine.tick(now);
    quarantine.take_evaluations().iter().for_each(decision_log::evaluated);
    quarantine.take_part_verdicts().iter().for_each(decision_log::part_quarantined);
    drop(quarantine);
    for Target { content, caller } in &decided {
        log::warn!("event=quarantined content={content:016x} caller={caller:x?}");
    }
    if !decided.is_empty() {
        shared.global_update.notify_one();
        shared.verdicts.notify_one();
    }
}

/// Applies a verdict from the store.
pub fn apply_stored_verdict<A: Adapter>(
    shared: &Shared<A>,
    value: &[u8],
) -> Result<(), serde_json::Error> {
    let StoredVerdict { content, caller } = serde_json::from_slice(value)?;
    lock(&shared.quarantine).record_stored_verdict(Target { content, caller }, clock::now());
    Ok(())
}

/// Rewrites a verdict that is missing from a store restored from an older copy. A few boxes try in
/// sequence until the verdict is there.
pub fn rewrite_lost_verdict<A: Adapter>(shared: &Arc<Shared<A>>, key: &str) {
    let Some(target) = parse_verdict_key(key) else { return };
    let own_weight = rendezvous::mix(presence::box_hash(&shared.settings.name), target.content);
    let snapshot = shared.snapshot.load();
    let others = snapshot.boxes.iter().map(|other| presence::box_hash(&other.name));
    let rank = others.filter(|other| rendezvous::mix(*other, target.content) > own_weight).count();
    if rank >= MAX_REWRITERS {
        return;
    }
    let (shared, key) = (Arc::clone(shared), key.to_owned());
    tokio::spawn(async move {
        timer::sleep(REWRITE_GAP * rank as u32).await;
        if lock(&shared.replica).get(&key).is_none() {
            lock(&shared.quarantine).record_lost_verdict(target, clock::now());
            shared.verdicts.notify_one();
        }
    });
}

/// Parses the store key of a verdict.
fn parse_verdict_key(key: &str) -> Option<Target> {
    let (content, caller_part) = key.strip_prefix(QUARANTINE)?.split_once('/')?;
    let content = u64::from_str_radix(content, 16).ok()?;
    let caller = match caller_part {
        ANY_CALLER => None,
        caller_part => Some(u64::from_str_radix(caller_part, 16).ok()?),
    };
    Some(Target { content, caller })
}

/// Writes verdicts to the store, and retries until it succeeds.
pub async fn write_verdicts<A: Adapter>(shared: Arc<Shared<A>>, store: store::Client<A>) {
    loop {
        shared.verdicts.notified().await;
        let mut pause = store::RETRY_DELAY;
        loop {
            let targets = lock(&shared.quarantine).unwritten_verdicts(MAX_VERDICTS_PER_CALL);
            if targets.is_empty() {
                break;
            }
            match write_batch(&store, &targets).await {
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
                    pause = (pause * 2).min(MAX_RETRY_PAUSE);
                }
            }
        }
    }
}

async fn write_batch<A: Adapter>(
    store: &store::Client<A>,
    targets: &[Target],
) -> Result<(), PlatformError> {
    let grant = Operation::Grant { ttl: quarantine::VERDICT_TTL };
    let StoreResponse::Lease(lease) = store.call(&grant).await? else {
        return Err(PlatformError::Malformed("not a lease".to_owned()));
    };
    let rows = targets.iter().map(|target| to_row(*target, lease)).collect();
    store.call(&Operation::Put(rows)).await.map(|_| ())
}

fn to_row(target: Target, lease: u64) -> KeyWrite {
    let Target { content, caller } = target;
    let caller_part =
        caller.map_or_else(|| ANY_CALLER.to_owned(), |caller| format!("{caller:016x}"));
    // Serializing two numbers can't fail.
    let value = serde_json::to_vec(&StoredVerdict { content, caller }).unwrap_or_default();
    KeyWrite {
        key: format!("{QUARANTINE}{content:016x}/{caller_part}"),
        value: Bytes::from(value),
        lease,
    }
}
