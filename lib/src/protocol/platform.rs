//! The services of the platform: a key-value store, a directory, and a list of boxes and backend
//! servers.
//!
//! Each service is one small trait, so that supporting another platform takes one adapter. The JSON
//! bodies here are those of the HTTP adapter in [`transport::platform`](crate::transport::platform)
//! and of the stand-in platform for tests.

use std::fmt;
use std::future::Future;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// The revision of a key; increases with each write. 0 means that the key is absent.
pub type Revision = u64;
/// The era of a store: a number that increases when the store is restored from an older copy and
/// assigns revisions again. 0 for a store that does not report it.
pub type Era = u64;
/// Era of a store that was never restored.
pub const FIRST_ERA: Era = 1;

/// A position in the history of a store. Every position of a later era is newer than every position
/// of an earlier one.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// The era.
    pub era: Era,
    /// The revision within the era.
    pub revision: Revision,
}

impl fmt::Display for Position {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.era, self.revision)
    }
}

/// The ID of a lease in the store.
pub type LeaseId = u64;

/// A stored key with its value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value; always text.
    pub value: String,
    /// The revision of its last write.
    pub revision: Revision,
}

/// The reason for which a call to the platform failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PlatformError {
    /// The call certainly had no effect.
    #[error("the platform cannot be reached: {0}")]
    Unreachable(String),
    /// The platform rejected the call because it got too many calls.
    #[error("the platform limits our calls")]
    RateLimited,
    /// No usable response; the call may have taken effect.
    #[error("no answer from the platform: {0}")]
    NoResponse(String),
    /// Another write came first.
    #[error("the key is at revision {0}")]
    Conflict(Revision),
    /// The lease has expired.
    #[error("the lease is over")]
    LeaseExpired,
    /// The store no longer has the changes after that revision.
    #[error("the store has forgotten its history")]
    HistoryCompacted,
    /// The platform's response cannot be decoded.
    #[error("the platform's answer cannot be read: {0}")]
    Malformed(String),
}

/// A write of one key.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Put {
    /// The value.
    pub value: String,
    /// The revision that the key must have before the write.
    pub expect: Revision,
    /// The lease that the key is bound to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<LeaseId>,
    /// The TTL of the key, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub life_ms: Option<u64>,
}

/// The key-value store.
pub trait Store: Send + Sync + 'static {
    /// Reads a key; `None` if absent.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, PlatformError>> + Send;

    /// Writes a key if its revision is as expected. Returns the new revision.
    fn put(
        &self,
        key: &str,
        put: Put,
    ) -> impl Future<Output = Result<Revision, PlatformError>> + Send;

    /// Waits until the revision of the key exceeds `after`, or until `wait` has passed.
    fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Entry>, PlatformError>> + Send;

    /// Grants a lease.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, PlatformError>> + Send;

    /// Renews a lease.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<(), PlatformError>> + Send;
}

/// The directory's entry of a box, which clients read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DirectoryEntry {
    /// The name of the box.
    pub name: String,
    /// The region.
    pub region: String,
    /// The failure domain.
    pub failure_domain: String,
    /// The address for callers.
    pub callers: String,
    /// The address for other boxes.
    pub peers: String,
    /// Whether the box is leaving.
    pub leaving: bool,
}

/// The directory in which clients find a first box.
pub trait Directory: Send + Sync + 'static {
    /// Registers a box for the duration `ttl`.
    fn announce(
        &self,
        entry: &DirectoryEntry,
        ttl: Duration,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;
}

/// The state of an entry of the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum BoxListState {
    /// The box or backend server is running.
    Live,
    /// The box or backend server will be stopped soon.
    Leaving,
}

/// An entry of the platform's list: a box or a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BoxListEntry {
    /// The name of the box or backend server.
    pub name: String,
    /// The state, which may be out of date.
    pub state: BoxListState,
    /// The peer address, if the entry is a box.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<String>,
    /// The region, if the entry is a box.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<String>,
}

/// The platform's list of boxes and backend servers, which may be out of date.
pub trait BoxList: Send + Sync + 'static {
    /// Reads the list.
    fn list(&self) -> impl Future<Output = Result<Vec<BoxListEntry>, PlatformError>> + Send;
}
