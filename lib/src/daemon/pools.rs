//! The pools of a box, shared by its traffic threads.
//!
//! Each pool is behind one lock, held for a decision and never across an
//! await. A slot is a guard: however a request ends, dropping the guard gives
//! the slot back, and what waited is placed.

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
use crate::error::Failure;
use crate::error::Kind;
use crate::protocol::PoolId;
use crate::protocol::RegionId;
use crate::protocol::ServerId;
use crate::protocol::config::Priority;
use crate::state::clock;

/// Where a request goes, with the slot it holds.
#[derive(Debug)]
pub enum Grant {
    /// To a backend server of this region.
    Slot(Slot),
    /// To another region.
    Region(RegionId),
}

struct Inner {
    pool: Pool<PrefixAffinity>,
    waiters: HashMap<RequestId, oneshot::Sender<Result<Grant, Failure>>>,
    rng: SmallRng,
}

/// A pool that traffic threads share.
pub struct Shared {
    inner: Mutex<Inner>,
}

/// A slot on a backend server.
pub struct Slot {
    pool: Arc<Shared>,
    /// Server.
    pub server: ServerId,
    /// Its address.
    pub address: SocketAddr,
    outcome: Outcome,
}

impl std::fmt::Debug for Slot {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Slot").field("server", &self.server).finish_non_exhaustive()
    }
}

impl Slot {
    /// Says how the attempt ended; the last word counts when the slot is dropped.
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
        pool.deliver(wakes);
    }
}

/// A place in the queue; dropping it gives the place up.
struct Place<'a> {
    pool: &'a Arc<Shared>,
    id: RequestId,
    priority: Priority,
    deadline: Instant,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut inner = self.pool.lock();
        inner.waiters.remove(&self.id);
        inner.pool.cancel(self.id, self.priority, self.deadline);
    }
}

impl Shared {
    fn new(limits: Limits, seed: u64) -> Shared {
        let pool = Pool::new(PrefixAffinity, limits, clock::now());
        let rng = SmallRng::seed_from_u64(seed);
        Shared { inner: Mutex::new(Inner { pool, waiters: HashMap::new(), rng }) }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Does something with the pool under its lock.
    pub fn with<T>(&self, action: impl FnOnce(&mut Pool<PrefixAffinity>) -> T) -> T {
        action(&mut self.lock().pool)
    }

    /// Places waiting requests after the pool has changed.
    pub fn pump(self: &Arc<Self>, now: Instant) {
        let wakes = {
            let inner = &mut *self.lock();
            if inner.pool.waiting() == 0 {
                return;
            }
            inner.pool.dispatch_queued(now, &mut inner.rng)
        };
        self.deliver(wakes);
    }

    /// Waits for a grant, or fails with the final answer at once.
    pub async fn acquire(
        self: &Arc<Self>,
        arrival: Arrival,
        queued: impl FnOnce(),
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
        self.deliver(wakes);
        let Decision::Immediate(placement) = decision else {
            queued();
            let place = Place { pool: self, id, priority, deadline };
            let answer = match waiter {
                Some(waiter) => waiter.await,
                None => return Err(lost_place()),
            };
            drop(place);
            return answer.unwrap_or_else(|_| Err(lost_place()));
        };
        self.grant(placement)
    }

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

    fn deliver(self: &Arc<Self>, wakes: Vec<Wake>) {
        for wake in wakes {
            let grant = self.grant(wake.placement);
            let waiter = self.lock().waiters.remove(&wake.id);
            if let Some(waiter) = waiter {
                // A waiter that is gone drops the grant, which gives the slot back.
                let _ = waiter.send(grant);
            }
        }
    }
}

fn lost_place() -> Failure {
    Failure::new(Kind::Internal, "the place in the queue was lost").with_ran(crate::error::Ran::No)
}

fn refusal(kind: Kind, after: Duration) -> Failure {
    let message = match kind {
        Kind::QueueFull => "the queue is full",
        Kind::WouldBeLate => "the answer would come after the deadline",
        _ => "no backend server that may run the request can be reached",
    };
    Failure::new(kind, message).with_retry_after(after)
}

/// All pools of a box.
#[derive(Default)]
pub struct Table {
    pools: ArcSwap<HashMap<PoolId, Arc<Shared>>>,
}

impl Table {
    /// A pool.
    pub fn get(&self, pool: &str) -> Option<Arc<Shared>> {
        self.pools.load().get(pool).cloned()
    }

    /// All pools.
    pub fn all(&self) -> Arc<HashMap<PoolId, Arc<Shared>>> {
        self.pools.load_full()
    }

    /// Makes the table hold just these pools; those that stay keep their state.
    pub fn set<'a>(&self, pools: impl Iterator<Item = (&'a PoolId, Limits)>, seed: u64) {
        let known = self.pools.load();
        let table = pools.map(|(id, limits)| {
            let pool = known.get(id).cloned();
            (id.clone(), pool.unwrap_or_else(|| Arc::new(Shared::new(limits, seed))))
        });
        self.pools.store(Arc::new(table.collect()));
    }
}
