//! Transition after the store was restored from an older copy (a rollback).
//!
//! The copy may show a server as serving that has left since, or a failure domain as evacuated that
//! serves again. The server or operator that wrote the newer state writes it again within seconds,
//! and until then that state stays in force. After that, the contents of the store apply.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::protocol::adapter::Fact;
use crate::protocol::adapter::Subject;
use crate::protocol::platform::Revision;

/// Time after the rollback within which lost entries are written again.
pub const ROLLBACK_GRACE: Duration = Duration::from_millis(2200);
/// Maximum age of a copy that the store is restored from: some seconds, and as much again in case
/// the store is restored twice in close succession, as in drills.
pub const MAX_ROLLBACK_AGE: Duration = Duration::from_secs(30);
/// Maximum number of removals remembered.
const MAX_REMOVALS: usize = 1024;

/// Removal of an entry.
#[derive(Clone, Copy, Debug)]
struct Removal {
    /// Revision of the removed entry.
    revision: Revision,
    at: Instant,
}

/// Removals from before the rollback, and entries of the older copy that are held back until lost
/// entries have been written again.
#[derive(Debug, Default)]
pub struct StoreRollback {
    rolled_back_at: Option<Instant>,
    removals: BTreeMap<Subject, Removal>,
    held_back: BTreeMap<Subject, (Fact, Revision)>,
}

impl StoreRollback {
    /// Records that the store was restored from an older copy at `at`.
    pub fn record_rollback(&mut self, at: Instant) {
        self.rolled_back_at = self.rolled_back_at.max(Some(at));
    }

    /// Whether entries that the store lost may still be written again.
    pub fn is_settling(&self, now: Instant) -> bool {
        self.rolled_back_at.is_some_and(|rolled_back_at| now < rolled_back_at + ROLLBACK_GRACE)
    }

    /// Records the removal of an entry with a certain revision.
    pub fn record_removal(&mut self, subject: Subject, revision: Revision, now: Instant) {
        self.removals.retain(|_, removal| now < removal.at + MAX_ROLLBACK_AGE);
        if self.removals.len() < MAX_REMOVALS {
            self.removals.insert(subject, Removal { revision, at: now });
        }
    }

    /// Whether this box has seen the removal of exactly this entry.
    pub fn was_removed(&self, subject: &Subject, revision: Revision) -> bool {
        self.removals.get(subject).is_some_and(|removal| removal.revision == revision)
    }

    /// Holds an entry of the copy back until the store has settled.
    pub fn hold_back(&mut self, subject: Subject, fact: Fact, revision: Revision) {
        self.held_back.insert(subject, (fact, revision));
    }

    /// Discards a held entry because the store now contains a newer one.
    pub fn discard_held(&mut self, subject: &Subject) {
        self.held_back.remove(subject);
    }

    /// Takes the held entries once the store has settled; they apply now.
    pub fn release(&mut self, now: Instant) -> Vec<(Fact, Revision)> {
        if self.is_settling(now) {
            return Vec::new();
        }
        std::mem::take(&mut self.held_back).into_values().collect()
    }
}
