//! The backend pools of a box, shared by its traffic threads.
//!
//! Each pool is behind one lock, which is held for a single decision and never
//! across an await. A slot is a guard: however a request ends, dropping the
//! guard releases the slot and places waiting requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::oneshot;

use crate::coordination::policy::PrefixAffinity;
use crate::coordination::pool::Arrival;
use crate::coordination::pool::Decision;
use crate::coordination::pool::Limits;
use crate::coordination::pool::Outcome;
use crate::coordination::pool::Placement;
use crate::coordination::pool::Pool;
use crate::coordination::pool::Wake;
use crate::coordination::queue::RequestId;
use crate::error::ErrorKind;
use crate::error::Failure;
use crate::protocol::PoolId;
use crate::protocol::RegionId;
use crate::protocol::ServerId;
use crate::protocol::config::Priority;
use crate::state::clock;

/// Where a request may be executed.
#[derive(Debug)]
pub enum Grant {
    /// On a backend server of this region, with the slot reserved for it.
    Slot(Slot),
    /// In another region.
    Region(RegionId),
}

struct Inner {
    pool: Pool<PrefixAffinity>,
    waiters: HashMap<RequestId, oneshot::Sender<Result<Grant, Failure>>>,
    rng: SmallRng,
}

/// A pool that the traffic threads share.
pub struct SharedPool {
    inner: Mutex<Inner>,
}

/// A reserved slot on a backend server, released when dropped.
pub struct Slot {
    pool: Arc<SharedPool>,
    /// Backend server that the slot belongs to.
    pub server: ServerId,
    /// Address of the backend server.
    pub address: SocketAddr,
    outcome: Outcome,
}

impl std::fmt::Debug for Slot {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Slot").field("server", &self.server).finish_non_exhaustive()
    }
}

impl Slot {
    /// Records how the attempt ended. The last recorded outcome is reported to
    /// the pool when the slot is dropped.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let pool = Arc::clone(&self.pool);
        let wakes = {
            let inner = &mut *pool.lock();
            inner.pool.finish(&self.server, self.outcome, clock::now(), &mut inner.rng)
        };
        pool.deliver_grants(wakes);
    }
}

/// A waiting request in the queue, removed from it when dropped.
struct QueueEntry<'a> {
    pool: &'a Arc<SharedPool>,
    id: RequestId,
    priority: Priority,
    deadline: Instant,
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        let mut inner = self.pool.lock();
        inner.waiters.remove(&self.id);
        inner.pool.cancel(self.id, self.priority, self.deadline);
    }
}

impl SharedPool {
    fn new(limits: Limits, seed: u64) -> SharedPool {
        let pool = Pool::new(PrefixAffinity, limits, clock::now());
        let rng = SmallRng::seed_from_u64(seed);
        SharedPool { inner: Mutex::new(Inner { pool, waiters: HashMap::new(), rng }) }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs a closure on the pool while holding its lock.
    pub fn with<T>(&self, action: impl FnOnce(&mut Pool<PrefixAffinity>) -> T) -> T {
        action(&mut self.lock().pool)
    }

    /// Places waiting requests after the pool has changed.
    pub fn place_waiting(self: &Arc<Self>, now: Instant) {
        let wakes = {
            let inner = &mut *self.lock();
            if inner.pool.waiting() == 0 {
                return;
            }
            inner.pool.dispatch_queued(now, &mut inner.rng)
        };
        self.deliver_grants(wakes);
    }

    /// Waits for a grant. Fails at once if the request is refused; `on_queued`
    /// is called if it has to wait.
    pub async fn acquire(
        self: &Arc<Self>,
        arrival: Arrival,
        on_queued: impl FnOnce(),
    ) -> Result<Grant, Failure> {
        let (id, priority, deadline) = (arrival.id, arrival.priority, arrival.deadline);
        let (decision, wakes, waiter) = {
            let inner = &mut *self.lock();
            let (decision, wakes) = inner.pool.submit(arrival, clock::now(), &mut inner.rng);
            let waiter = matches!(decision, Decision::Queued).then(|| {
                let (sender, receiver) = oneshot::channel();
                inner.waiters.insert(id, sender);
                receiver
            });
            (decision, wakes, waiter)
        };
        self.deliver_grants(wakes);
        let Decision::Immediate(placement) = decision else {
            on_queued();
            let queue_entry = QueueEntry { pool: self, id, priority, deadline };
            let result = match waiter {
                Some(waiter) => waiter.await,
                None => return Err(queue_entry_lost()),
            };
            drop(queue_entry);
            return result.unwrap_or_else(|_| Err(queue_entry_lost()));
        };
        self.grant(placement)
    }

    /// Converts a placement to a grant, which owns the slot that the pool reserved.
    fn grant(self: &Arc<Self>, placement: Placement) -> Result<Grant, Failure> {
        match placement {
            Placement::Region(region) => Ok(Grant::Region(region)),
            Placement::Refused(kind, after) => Err(refusal(kind, after)),
            Placement::Server(server, address) => Ok(Grant::Slot(Slot {
                pool: Arc::clone(self),
                server,
                address,
                outcome: Outcome::Cancelled,
            })),
        }
    }

    /// Sends grants or refusals to waiting requests.
    fn deliver_grants(self: &Arc<Self>, wakes: Vec<Wake>) {
        for wake in wakes {
            let grant = self.grant(wake.placement);
            let waiter = self.lock().waiters.remove(&wake.id);
            if let Some(waiter) = waiter {
                // If the waiter has been dropped, the grant is dropped too, which
                // releases the slot.
                let _ = waiter.send(grant);
            }
        }
    }
}

fn queue_entry_lost() -> Failure {
    Failure::new(ErrorKind::Internal, "the place in the queue was lost")
        .with_executed(crate::error::Executed::No)
}

fn refusal(kind: ErrorKind, retry_after: Duration) -> Failure {
    let message = match kind {
        ErrorKind::QueueFull => "the queue is full",
        ErrorKind::WouldBeLate => "the answer would come after the deadline",
        _ => "no backend server that may run the request can be reached",
    };
    Failure::new(kind, message).with_retry_after(retry_after)
}

/// All pools of a box.
#[derive(Default)]
pub struct PoolTable {
    pools: ArcSwap<HashMap<PoolId, Arc<SharedPool>>>,
}

impl PoolTable {
    /// Returns a pool by its id.
    pub fn get(&self, pool: &str) -> Option<Arc<SharedPool>> {
        self.pools.load().get(pool).cloned()
    }

    /// Returns all pools.
    pub fn snapshot(&self) -> Arc<HashMap<PoolId, Arc<SharedPool>>> {
        self.pools.load_full()
    }

    /// Replaces the set of pools. Pools that are in both the old and the new
    /// set keep their state.
    pub fn replace<'a>(&self, pools: impl Iterator<Item = (&'a PoolId, Limits)>, seed: u64) {
        let existing = self.pools.load();
        let table = pools.map(|(id, limits)| {
            let existing_pool = existing.get(id).cloned();
            (id.clone(), existing_pool.unwrap_or_else(|| Arc::new(SharedPool::new(limits, seed))))
        });
        self.pools.store(Arc::new(table.collect()));
    }
}
