//! Identifies a request when it is sent again.
//!
//! The request id is new each time. The content is not: the same method, host, path and body make a
//! server do the same. The caller is hashed separately, since small requests without a body are
//! identical among all callers.

use std::fmt;
use std::net::IpAddr;
use std::str::FromStr;

use http::Method;
use http::Uri;
use rapidhash::v3::rapidhash_v3;

use crate::protocol::team::KeyDigest;

/// Hash of everything in a request that a server acts on.
pub type ContentHash = u64;
/// Hash of the sender of a request.
pub type CallerHash = u64;

/// Identifies a request by content and caller.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Fingerprint {
    /// Hash of the content.
    pub content: ContentHash,
    /// Hash of the caller.
    pub caller: CallerHash,
}

/// Hashes the content of a request.
pub fn content_hash(method: &Method, host: &str, uri: &Uri, body: &[u8]) -> ContentHash {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let fields = [method.as_str().as_bytes(), host.as_bytes(), path.as_bytes(), body];
    // The length of each field keeps the end of one field from counting as the beginning of the
    // next.
    let mut hashes = [0; 2 * 4 * size_of::<u64>()];
    for (chunk, field) in hashes.chunks_exact_mut(2 * size_of::<u64>()).zip(fields) {
        let (length, hash) = chunk.split_at_mut(size_of::<u64>());
        length.copy_from_slice(&(field.len() as u64).to_le_bytes());
        hash.copy_from_slice(&rapidhash_v3(field).to_le_bytes());
    }
    rapidhash_v3(&hashes)
}

/// Hashes a caller by its key, or by its address if it has no key.
pub fn caller_hash(key: Option<&KeyDigest>, address: Option<IpAddr>) -> CallerHash {
    match (key, address) {
        (Some(key), _) => rapidhash_v3(key.to_string().as_bytes()),
        (None, Some(address)) => rapidhash_v3(address.to_string().as_bytes()),
        (None, None) => 0,
    }
}

impl fmt::Display for Fingerprint {
    /// Writes both hashes in hex, the format used between boxes and in the log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:016x}", self.content, self.caller)
    }
}

/// The text is not a valid fingerprint.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("expected two hexadecimal hashes separated by a hyphen")]
pub struct ParseFingerprintError;

impl FromStr for Fingerprint {
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Fingerprint, ParseFingerprintError> {
        let (content, caller) = text.split_once('-').ok_or(ParseFingerprintError)?;
        let hash = |text| u64::from_str_radix(text, 16).map_err(|_| ParseFingerprintError);
        Ok(Fingerprint { content: hash(content)?, caller: hash(caller)? })
    }
}
