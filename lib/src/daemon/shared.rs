//! State that all threads of a box share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use bytes::Bytes;
use tokio::sync::mpsc;

use super::control;
use super::idempotency;
use super::pools;
use super::quarantine::Quarantine;
use crate::coordination::rate_limiter::RateLimiter;
use crate::protocol::Incarnation;
use crate::protocol::settings::Settings;
use crate::state::burn::BurnTracker;
use crate::state::counters::Counters;
use crate::state::snapshot::SharedSnapshot;
use crate::state::snapshot::Snapshot;
use crate::transport::backend;
use crate::transport::peer;
use crate::transport::platform::Platform;

/// Addresses that a box listens on, after binding.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Port for callers.
    pub callers: SocketAddr,
    /// Port for other boxes.
    pub peers: SocketAddr,
    /// Port for operators.
    pub operators: SocketAddr,
}

/// State that all threads of a box share.
pub struct SharedState {
    /// Settings of this box.
    pub settings: Settings,
    /// Addresses that this box listens on.
    pub addresses: Addresses,
    /// Incarnation of this process, created at its start.
    pub incarnation: Incarnation,
    /// Start of the process; ticket issue times are relative to it.
    pub started_at: Instant,
    /// Control state as published to the traffic threads.
    pub snapshot: SharedSnapshot,
    /// Stored bytes of the configuration in force, unchanged.
    pub document: ArcSwap<Bytes>,
    /// Pools of backend servers.
    pub pools: pools::PoolTable,
    /// Rate limits of the teams.
    pub limiter: Mutex<RateLimiter>,
    /// Requests with an idempotency key.
    pub keyed_requests: idempotency::KeyedRequests,
    /// Error-budget burn of the objectives.
    pub burn: Mutex<BurnTracker>,
    /// Requests that crash servers.
    pub quarantine: Quarantine,
    /// Counters of this process.
    pub counters: Arc<Counters>,
    /// Client for backend servers.
    pub backend: backend::Client,
    /// Client for other boxes.
    pub peers: peer::Client,
    /// Client for the platform.
    pub platform: Platform,
    /// Event channel to the control thread.
    pub control: mpsc::Sender<control::Event>,
    /// Number of in-flight requests.
    pub in_flight: AtomicUsize,
    /// Source of request numbers.
    pub request_numbers: AtomicU64,
}

impl SharedState {
    /// The latest published snapshot of the control state.
    pub fn current_snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Time since the start of the process.
    pub fn uptime(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }

    /// Returns a number that is unique among the requests of this process.
    pub fn next_request_number(&self) -> u64 {
        self.request_numbers.fetch_add(1, Ordering::Relaxed)
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn in_flight_guard(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlightGuard { shared: Arc::clone(self) }
    }
}

/// Counts one request as in flight until dropped.
pub struct InFlightGuard {
    shared: Arc<SharedState>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Locks a mutex. Ignores poisoning, so that the box continues after a thread
/// panics while it holds the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
