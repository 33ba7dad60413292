//! Applies a set of configuration files as one change.
//!
//! Reads the stored configuration, replaces the given files, validates the
//! result and writes it by compare-and-swap. If two operators apply
//! concurrently, one succeeds and the other gets a conflict that names the
//! current version. If the response to the write is lost, the stored
//! configuration is read back and searched for this change's id among the
//! latest changes.

use std::time::Duration;

use crate::protocol::Version;
use crate::protocol::config::check::Files;
use crate::protocol::config::document::Document;
use crate::protocol::config::document::DocumentError;
use crate::protocol::config::document::STORE_KEY;
use crate::protocol::platform::Entry;
use crate::protocol::platform::PlatformError;
use crate::protocol::platform::Put;
use crate::protocol::platform::Store;
use crate::transport::timer;

/// Maximum number of reads of the store after a lost response.
const READ_BACK_ATTEMPTS: u32 = 5;
/// Time between these reads.
const READ_BACK_INTERVAL: Duration = Duration::from_millis(500);

/// Why files were not applied, or why it is unknown whether they were.
#[derive(Debug, thiserror::Error)]
pub enum ApplyError {
    /// The files, combined with the stored ones, failed validation.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// Another operator changed the configuration first.
    #[error("based on version {based_on}, but the current version is {current}")]
    Conflict {
        /// Version that this change was made from.
        based_on: Version,
        /// Current version in the store.
        current: Version,
    },
    /// The store is unavailable; nothing was changed.
    #[error("nothing was changed: {0}")]
    Platform(PlatformError),
    /// The change may have taken effect.
    #[error("the response was lost, and the outcome is unknown: {0}; the change has id {1}")]
    Unresolved(PlatformError, String),
}

/// Applies `files` to the stored configuration and returns the new version.
/// `id` identifies this change uniquely.
pub async fn apply(store: &impl Store, files: &Files, id: &str) -> Result<Version, ApplyError> {
    let entry = store.get(STORE_KEY).await.map_err(ApplyError::Platform)?;
    let (current, revision) = decode_entry(entry)?;
    let next = current.with_files(files, id);
    next.check()?;
    let value = String::from_utf8_lossy(&next.encode()?).into_owned();
    let put = Put { value, expect: revision, lease: None, life_ms: None };
    match store.put(STORE_KEY, put).await {
        Ok(_) => Ok(next.version),
        Err(PlatformError::Conflict(_)) => {
            resolve_uncertain_write(store, id, current.version, false).await
        }
        Err(PlatformError::NoResponse(_)) => {
            resolve_uncertain_write(store, id, current.version, true).await
        }
        Err(error) => Err(ApplyError::Platform(error)),
    }
}

fn decode_entry(entry: Option<Entry>) -> Result<(Document, u64), ApplyError> {
    match entry {
        None => Ok((Document::default(), 0)),
        Some(entry) => Ok((Document::decode(entry.value.as_bytes())?, entry.revision)),
    }
}

/// Determines whether the change was written. If `may_be_in_flight` is set, the
/// write may still reach the store, so a missing change is a conflict only if
/// another version has been stored.
async fn resolve_uncertain_write(
    store: &impl Store,
    id: &str,
    based_on: Version,
    may_be_in_flight: bool,
) -> Result<Version, ApplyError> {
    let mut last_error = PlatformError::NoResponse("the change is not there yet".to_owned());
    for _ in 0..READ_BACK_ATTEMPTS {
        match store.get(STORE_KEY).await {
            Err(error) => last_error = error,
            Ok(entry) => {
                let (stored, _) = decode_entry(entry)?;
                if let Some(version) = stored.version_of_change(id) {
                    return Ok(version);
                }
                if stored.version > based_on || !may_be_in_flight {
                    return Err(ApplyError::Conflict { based_on, current: stored.version });
                }
            }
        }
        timer::sleep(READ_BACK_INTERVAL).await;
    }
    Err(ApplyError::Unresolved(last_error, id.to_owned()))
}
