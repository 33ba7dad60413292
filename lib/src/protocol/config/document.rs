//! The form in which the platform's store holds the configuration.
//!
//! One value holds all files, so that a single compare-and-swap replaces a file and the
//! configuration is validated as a whole. The value also has the IDs of the latest changes: an
//! operator whose response was lost can find out whether the change was applied.

use serde::Deserialize;
use serde::Serialize;

use super::Configuration;
use super::check::Files;
use crate::protocol::Version;
use crate::protocol::jsonc::Problems;

/// The key of the document in the store.
pub const STORE_KEY: &str = "configuration";

/// Maximum size of a document; the store accepts values of up to a megabyte.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// The number of changes whose IDs are kept.
pub const MAX_CHANGES: usize = 64;

/// All files of one version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The version, incremented by each change.
    pub version: Version,
    /// The files by name.
    pub files: Files,
    /// The latest changes, newest last.
    pub changes: Vec<Change>,
}

/// One applied change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// The ID, chosen at random by the operator's command.
    pub id: String,
    /// The version that the change created.
    pub version: Version,
}

/// The reason for which a document cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum DocumentError {
    /// The value is not a document.
    #[error("the stored configuration cannot be read: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The files are not valid.
    #[error("the stored configuration does not pass the check:\n{0}")]
    Invalid(#[from] Problems),
    /// The document is larger than [`MAX_DOCUMENT_BYTES`].
    #[error("the configuration has {0} bytes; the store accepts at most {MAX_DOCUMENT_BYTES}")]
    TooLarge(usize),
}

impl Document {
    /// Decodes the stored form.
    pub fn decode(bytes: &[u8]) -> Result<Document, DocumentError> {
        Ok(serde_json::from_slice(bytes)?)
    }

    /// Encodes the stored form.
    pub fn encode(&self) -> Result<Vec<u8>, DocumentError> {
        let bytes = serde_json::to_vec(self)?;
        if bytes.len() > MAX_DOCUMENT_BYTES {
            return Err(DocumentError::TooLarge(bytes.len()));
        }
        Ok(bytes)
    }

    /// Returns the validated configuration.
    pub fn check(&self) -> Result<Configuration, DocumentError> {
        let mut configuration = Configuration::try_from(&self.files)?;
        configuration.version = self.version;
        Ok(configuration)
    }

    /// Returns the next version, with files replaced or added.
    pub fn with_files(&self, files: &Files, id: &str) -> Document {
        let mut next = self.clone();
        next.version += 1;
        next.files.extend(files.clone());
        next.changes.push(Change { id: id.to_owned(), version: next.version });
        let excess = next.changes.len().saturating_sub(MAX_CHANGES);
        next.changes.drain(..excess);
        next
    }

    /// Returns the version that a change created, if its ID is still kept.
    pub fn version_of_change(&self, id: &str) -> Option<Version> {
        self.changes.iter().find(|change| change.id == id).map(|change| change.version)
    }
}
