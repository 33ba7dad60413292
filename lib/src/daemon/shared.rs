//! What all threads of a box share.

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
use super::once;
use super::pools;
use crate::coordination::rate_limiter::RateLimiter;
use crate::protocol::Incarnation;
use crate::protocol::settings::Settings;
use crate::state::burn::Burn;
use crate::state::counters::Counters;
use crate::state::snapshot::Published;
use crate::state::snapshot::Snapshot;
use crate::transport::backend;
use crate::transport::peer;
use crate::transport::platform::Platform;

/// Addresses that a box listens on, once bound.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For other boxes.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// What all threads of a box share.
pub struct Shared {
    /// Settings.
    pub settings: Settings,
    /// Bound addresses.
    pub addresses: Addresses,
    /// Drawn at this start.
    pub incarnation: Incarnation,
    /// Start of the process; tickets count their time from it.
    pub started_at: Instant,
    /// Control state as traffic sees it.
    pub snapshot: Published,
    /// The stored configuration in force, byte for byte.
    pub document: ArcSwap<Bytes>,
    /// Pools.
    pub pools: pools::Table,
    /// Team limits.
    pub limiter: Mutex<RateLimiter>,
    /// Keyed requests.
    pub once: once::Memory,
    /// Burn of the objectives.
    pub burn: Mutex<Burn>,
    /// Counters.
    pub counters: Arc<Counters>,
    /// Connections to backend servers.
    pub backend: backend::Client,
    /// Connections to other boxes.
    pub peers: peer::Client,
    /// The platform.
    pub platform: Platform,
    /// To the control thread.
    pub control: mpsc::Sender<control::Event>,
    /// Requests in progress.
    pub in_flight: AtomicUsize,
    /// Numbers requests.
    pub requests: AtomicU64,
}

impl Shared {
    /// The newest control state.
    pub fn now_in_force(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Time since the start of the process.
    pub fn uptime(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }

    /// A number for the next request of this box.
    pub fn next_request(&self) -> u64 {
        self.requests.fetch_add(1, Ordering::Relaxed)
    }

    /// Counts a request as in progress until the guard is dropped.
    pub fn progress(self: &Arc<Self>) -> Progress {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        Progress { shared: Arc::clone(self) }
    }
}

/// A request in progress.
pub struct Progress {
    shared: Arc<Shared>,
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Locks a mutex; a panic of another holder does not take the box down.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
