//! Logs each value in the store that can't be read, or that has numbers out of range, once for each
//! of its changes. Full reads return it again and again, and its writer may write the same value
//! several times a second.

use std::collections::HashMap;

/// Maximum number of recorded keys. Beyond it, all are dropped.
const MAX_KEYS: usize = 65_536;

/// The keys that have been logged, with the hashes of their values.
#[derive(Debug, Default)]
pub struct UnreadableKeys {
    logged: HashMap<u64, u64>,
}

impl UnreadableKeys {
    /// Logs that the value of `key` can't be read.
    pub fn record(&mut self, key: &str, value: &[u8], error: &str) {
        if self.is_new(key, value) {
            log::error!("event=unreadable key={key:?} error={error:?}");
        }
    }

    /// Logs numbers out of range that were replaced by the nearest ones in range.
    pub fn record_notes(&mut self, key: &str, value: &[u8], notes: &str) {
        if self.is_new(key, value) {
            log::warn!("event=out_of_range key={key:?} fields={notes:?}");
        }
    }

    /// Whether a value differs from the one that was last recorded for its key. Records it.
    pub fn is_new(&mut self, key: &str, value: &[u8]) -> bool {
        let (key, value) = (hash(key.as_bytes()), hash(value));
        if self.logged.len() >= MAX_KEYS && !self.logged.contains_key(&key) {
            self.logged.clear();
        }
        self.logged.insert(key, value) != Some(value)
    }
}

fn hash(bytes: &[u8]) -> u64 {
    rapidhash::v3::rapidhash_v3(bytes)
}
