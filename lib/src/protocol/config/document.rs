//! The form in which the platform's store holds the configuration.
//!
//! One value holds all files, so that a compare-and-swap replaces one file and
//! checks the whole. It keeps the ids of the latest changes, so that an
//! operator whose answer was lost can see whether the change was made.

use serde::Deserialize;
use serde::Serialize;

use super::Configuration;
use super::check::Files;
use crate::protocol::Version;
use crate::protocol::jsonc::Problems;

/// Key of the document in the store.
pub const STORE_KEY: &str = "configuration";

/// Largest document, bytes; the store takes values up to a megabyte.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// Changes whose ids are kept.
pub const MAX_CHANGES: usize = 64;

/// All files of one version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Version; grows by one with each change.
    pub version: Version,
    /// Files by name.
    pub files: Files,
    /// Ids of the latest changes, newest last.
    pub changes: Vec<Change>,
}

/// One applied change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Id drawn by the operator's command.
    pub id: String,
    /// Version that it made.
    pub version: Version,
}

/// Why a stored document cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum DocumentError {
    /// Not a document.
    #[error("the stored configuration cannot be read: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The files do not pass the check.
    #[error("the stored configuration does not pass the check:\n{0}")]
    Invalid(#[from] Problems),
    /// Over [`MAX_DOCUMENT_BYTES`].
    #[error("the configuration has {0} bytes; the store takes {MAX_DOCUMENT_BYTES}")]
    TooLarge(usize),
}

impl Document {
    /// Reads the stored form.
    pub fn decode(bytes: &[u8]) -> Result<Document, DocumentError> {
        Ok(serde_json::from_slice(bytes)?)
    }

    /// Writes the stored form.
    pub fn encode(&self) -> Result<Vec<u8>, DocumentError> {
        let bytes = serde_json::to_vec(self)?;
        if bytes.len() > MAX_DOCUMENT_BYTES {
            return Err(DocumentError::TooLarge(bytes.len()));
        }
        Ok(bytes)
    }

    /// The checked configuration.
    pub fn check(&self) -> Result<Configuration, DocumentError> {
        let mut configuration = Configuration::try_from(&self.files)?;
        configuration.version = self.version;
        Ok(configuration)
    }

    /// The next version, with files replaced or added.
    pub fn with_files(&self, files: &Files, id: &str) -> Document {
        let mut next = self.clone();
        next.version += 1;
        next.files.extend(files.clone());
        next.changes.push(Change { id: id.to_owned(), version: next.version });
        let excess = next.changes.len().saturating_sub(MAX_CHANGES);
        next.changes.drain(..excess);
        next
    }

    /// Version that a change made, if its id is still kept.
    pub fn version_of_change(&self, id: &str) -> Option<Version> {
        self.changes.iter().find(|change| change.id == id).map(|change| change.version)
    }
}
