//! The common account of the memory of responses that are held as a whole, and of incomplete events.
//!
//! The bytes of a response are counted until the last part of them has been written to the caller,
//! those of an event until it is complete.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use super::timer;

/// Unit of the account in bytes. The counter of a semaphore is finer than needed.
const UNIT_BYTES: usize = 1 << 10;

/// An account of memory with a fixed size.
#[derive(Clone, Debug)]
pub struct Account(Arc<Semaphore>);

/// Memory that is reserved until this is dropped.
#[derive(Debug)]
pub struct Reserved(OwnedSemaphorePermit);

impl Account {
    /// Creates an account of `bytes`.
    pub fn new(bytes: usize) -> Account {
        Account(Arc::new(Semaphore::new(bytes / UNIT_BYTES)))
    }

    /// Reserves memory if there is room at once.
    pub fn try_reserve(&self, bytes: usize) -> Option<Reserved> {
        Arc::clone(&self.0).try_acquire_many_owned(units(bytes)).ok().map(Reserved)
    }

    /// Reserves memory, and waits for room for at most `wait`. Reservations are granted in the order
    /// in which they were requested.
    pub async fn reserve(&self, bytes: usize, wait: Duration) -> Option<Reserved> {
        let acquired = Arc::clone(&self.0).acquire_many_owned(units(bytes));
        timer::timeout(wait, acquired).await.ok()?.ok().map(Reserved)
    }

    /// Number of bytes that aren't reserved.
    pub fn available(&self) -> usize {
        self.0.available_permits() * UNIT_BYTES
    }
}

impl Reserved {
    /// Number of bytes that are reserved.
    pub fn bytes(&self) -> usize {
        self.0.num_permits() * UNIT_BYTES
    }

    /// Adds another reservation of the same account.
    pub fn merge(&mut self, other: Reserved) {
        self.0.merge(other.0);
    }

    /// Releases all but `bytes`.
    pub fn shrink(&mut self, bytes: usize) {
        let excess = self.0.num_permits().saturating_sub(units(bytes) as usize);
        drop(self.0.split(excess));
    }

    /// Binds the reservation to the bytes that it is for, without copying them.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Held { bytes, _reserved: self })
    }
}

struct Held {
    bytes: Bytes,
    _reserved: Reserved,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

fn units(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(UNIT_BYTES)).unwrap_or(u32::MAX)
}
