//! Logs each key of the store whose value can't be read only once, because its writer may write it
//! several times a second.

use std::collections::BTreeSet;

/// Maximum number of keys to remember. Further keys are logged each time they are written.
const MAX_KEYS: usize = 256;

/// The keys that have been logged.
#[derive(Debug, Default)]
pub struct UnreadableKeys {
    logged: BTreeSet<String>,
}

impl UnreadableKeys {
    /// Logs that the value of `key` can't be read.
    pub fn record(&mut self, key: &str, error: &str) {
        if self.logged.contains(key) {
            return;
        }
        log::error!("event=unreadable key={key:?} error={error:?}");
        if self.logged.len() < MAX_KEYS {
            self.logged.insert(key.to_owned());
        }
    }
}
