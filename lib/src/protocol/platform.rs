//! What the platform offers: a key-value store, a directory and a list of boxes.
//!
//! Each is one small trait, so that another platform costs one adapter. The
//! JSON bodies here are those of the HTTP adapter in
//! [`transport::platform`](crate::transport::platform) and of the stand-in.

use std::fmt;
use std::future::Future;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Revision of a key; grows with each write. 0 stands for "absent".
pub type Revision = u64;
/// Number of the store's history. It rises when the store comes back from an older copy and gives
/// revisions out again; 0 for a store that does not tell it.
pub type Era = u64;

/// A place in the history of a store. All of a later era is newer than all of an earlier one.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Number of the history.
    pub era: Era,
    /// Revision in that history.
    pub revision: Revision,
}

impl fmt::Display for Position {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.era, self.revision)
    }
}

/// Id of a lease in the store.
pub type LeaseId = u64;

/// A stored value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// Value; text, since all we store is.
    pub value: String,
    /// Revision of its last write.
    pub revision: Revision,
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PlatformError {
    /// The call certainly had no effect.
    #[error("the platform cannot be reached: {0}")]
    Unreachable(String),
    /// Refused for now: too many calls.
    #[error("the platform limits our calls")]
    Limited,
    /// No usable answer; the call may have taken effect.
    #[error("no answer from the platform: {0}")]
    Lost(String),
    /// Another write came first.
    #[error("the key is at revision {0}")]
    Conflict(Revision),
    /// The lease is over.
    #[error("the lease is over")]
    LeaseOver,
    /// The store no longer knows the changes after that revision.
    #[error("the store has forgotten its history")]
    HistoryGone,
    /// The platform's answer makes no sense.
    #[error("the platform's answer cannot be read: {0}")]
    Malformed(String),
}

/// A write of one key.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Put {
    /// Value.
    pub value: String,
    /// Revision that the key must have now.
    pub expect: Revision,
    /// Lease that the key lives by.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<LeaseId>,
    /// Life of the key, milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub life_ms: Option<u64>,
}

/// The key-value store.
pub trait Store: Send + Sync + 'static {
    /// Reads a key; `None` if absent.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, PlatformError>> + Send;

    /// Writes a key if its revision is as expected; gives the new revision.
    fn put(
        &self,
        key: &str,
        put: Put,
    ) -> impl Future<Output = Result<Revision, PlatformError>> + Send;

    /// Waits until the key has a revision over `after`, or `wait` has passed.
    fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Entry>, PlatformError>> + Send;

    /// Takes out a lease.
    fn grant(&self, life: Duration) -> impl Future<Output = Result<LeaseId, PlatformError>> + Send;

    /// Renews a lease.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<(), PlatformError>> + Send;
}

/// What the directory says to clients of a box.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DirectoryEntry {
    /// Box.
    pub name: String,
    /// Region.
    pub region: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Where callers reach it.
    pub callers: String,
    /// Where boxes reach it.
    pub peers: String,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The directory that clients ask for a first box.
pub trait Directory: Send + Sync + 'static {
    /// Announces a box for `life`.
    fn announce(
        &self,
        listing: &DirectoryEntry,
        life: Duration,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;
}

/// State of a box in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum BoxListState {
    /// Running.
    Live,
    /// To be stopped soon.
    Leaving,
}

/// A row of the platform's list: an entry box of ours or one that carries backend servers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BoxListEntry {
    /// Name of the box or of the backend server on it.
    pub name: String,
    /// State; lags behind.
    pub state: BoxListState,
    /// Peer address, for entry boxes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<String>,
    /// Region, for entry boxes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<String>,
}

/// The lagging list of boxes.
pub trait BoxList: Send + Sync + 'static {
    /// Reads the list.
    fn list(&self) -> impl Future<Output = Result<Vec<BoxListEntry>, PlatformError>> + Send;
}
