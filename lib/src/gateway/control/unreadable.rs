//! Names keys of the store whose values cannot be read, each once: whoever writes
//! them may do so several times a second.

use std::collections::BTreeSet;

/// Most keys that are remembered; more are named each time that they are written.
const MAX_KEYS: usize = 256;

/// Keys that were named.
#[derive(Debug, Default)]
pub struct UnreadableKeys {
    logged: BTreeSet<String>,
}

impl UnreadableKeys {
    /// A value cannot be read.
    pub fn note(&mut self, key: &str, error: &str) {
        if self.logged.contains(key) {
            return;
        }
        log::error!("event=unreadable key={key:?} error={error:?}");
        if self.logged.len() < MAX_KEYS {
            self.logged.insert(key.to_owned());
        }
    }
}
