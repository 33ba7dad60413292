//! Applies configuration files as a whole.
//!
//! Reads the stored configuration, replaces the files, checks everything, and
//! writes by compare-and-swap. Of two operators who race, one wins and the
//! other learns which version stands. A lost answer is resolved by reading
//! back and looking for this change's id among the latest ones.

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

/// Reads of the store after a lost answer.
const READ_BACKS: u32 = 5;
/// Time between them.
const READ_BACK_PAUSE: Duration = Duration::from_millis(500);

/// Why files were not applied, or may not have been.
#[derive(Debug, thiserror::Error)]
pub enum ApplyError {
    /// The files, with those already in force, do not pass the check.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// Another operator came first.
    #[error("based on version {based_on}, but version {stands} stands now")]
    Conflict {
        /// Version that this change was made from.
        based_on: Version,
        /// Version that stands.
        stands: Version,
    },
    /// The store cannot be used; nothing was changed.
    #[error("nothing was changed: {0}")]
    Platform(PlatformError),
    /// The change may have taken effect.
    #[error("the answer was lost and cannot be resolved: {0}; the change has id {1}")]
    Unresolved(PlatformError, String),
}

/// Applies files; `id` tells this change from all others.
pub async fn apply(store: &impl Store, files: &Files, id: &str) -> Result<Version, ApplyError> {
    let entry = store.get(STORE_KEY).await.map_err(ApplyError::Platform)?;
    let (current, revision) = read(entry)?;
    let next = current.with_files(files, id);
    next.check()?;
    let value = String::from_utf8_lossy(&next.encode()?).into_owned();
    let put = Put { value, expect: revision, lease: None, life_ms: None };
    match store.put(STORE_KEY, put).await {
        Ok(_) => Ok(next.version),
        Err(PlatformError::Conflict(_)) => read_back(store, id, current.version, false).await,
        Err(PlatformError::NoResponse(_)) => read_back(store, id, current.version, true).await,
        Err(error) => Err(ApplyError::Platform(error)),
    }
}

fn read(entry: Option<Entry>) -> Result<(Document, u64), ApplyError> {
    match entry {
        None => Ok((Document::default(), 0)),
        Some(entry) => Ok((Document::decode(entry.value.as_bytes())?, entry.revision)),
    }
}

/// Finds out whether the change was made. `lost` says that the write may still
/// be under way, so that its absence proves nothing unless another version stands.
async fn read_back(
    store: &impl Store,
    id: &str,
    based_on: Version,
    lost: bool,
) -> Result<Version, ApplyError> {
    let mut last = PlatformError::NoResponse("the change is not there yet".to_owned());
    for _ in 0..READ_BACKS {
        match store.get(STORE_KEY).await {
            Err(error) => last = error,
            Ok(entry) => {
                let (stands, _) = read(entry)?;
                if let Some(version) = stands.version_of_change(id) {
                    return Ok(version);
                }
                if stands.version > based_on || !lost {
                    return Err(ApplyError::Conflict { based_on, stands: stands.version });
                }
            }
        }
        timer::sleep(READ_BACK_PAUSE).await;
    }
    Err(ApplyError::Unresolved(last, id.to_owned()))
}
