//! A box's copy of what the store holds: what it learns from, and what it hands
//! to boxes that cannot read the store themselves.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashSet;

use bytes::Bytes;

use crate::coordination::freshness::Version;
use crate::coordination::rendezvous;
use crate::protocol::adapter::Item;
use crate::protocol::platform::Revision;

/// Keys, values and revisions of the store as a box last saw them.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    entries: BTreeMap<String, Entry>,
    version: Version,
}

#[derive(Clone, Debug)]
struct Entry {
    value: Bytes,
    revision: Revision,
}

impl Replica {
    /// Takes in a key that was written.
    pub fn insert(&mut self, item: &Item) {
        self.remove(&item.key);
        let entry = Entry { value: item.value.clone(), revision: item.revision };
        self.version.digest ^= digest(&item.key, entry.revision);
        self.entries.insert(item.key.clone(), entry);
    }

    /// A key was removed.
    pub fn remove(&mut self, key: &str) {
        if let Some(entry) = self.entries.remove(key) {
            self.version.digest ^= digest(key, entry.revision);
        }
    }

    /// Drops all keys that a whole read does not show.
    pub fn keep_only(&mut self, keys: &BTreeSet<String>) {
        let gone: Vec<String> =
            self.entries.keys().filter(|key| !keys.contains(*key)).cloned().collect();
        for key in gone {
            self.remove(&key);
        }
    }

    /// All that was written up to a revision is in.
    pub fn reached(&mut self, revision: Revision) {
        self.version.revision = revision;
    }

    /// Which state this is.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Keys that were written after a revision; all for 0.
    pub fn written_after(&self, revision: Revision) -> impl Iterator<Item = Item> {
        let written = self.entries.iter().filter(move |(_, entry)| entry.revision > revision);
        written.map(|(key, entry)| Item {
            key: key.clone(),
            value: entry.value.clone(),
            revision: entry.revision,
        })
    }

    /// Hashes of all keys: they tell another box which of its keys were removed.
    pub fn key_hashes(&self) -> impl Iterator<Item = u64> {
        self.entries.keys().map(|key| key_hash(key))
    }

    /// Keys whose hashes are not among these.
    pub fn keys_not_in(&self, hashes: &HashSet<u64>) -> Vec<String> {
        let missing = self.entries.keys().filter(|key| !hashes.contains(&key_hash(key)));
        missing.cloned().collect()
    }
}

fn key_hash(key: &str) -> u64 {
    rendezvous::weight(key, "")
}

fn digest(key: &str, revision: Revision) -> u64 {
    rendezvous::mix(key_hash(key), revision)
}
