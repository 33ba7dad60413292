//! Writes this box's record again if another writer has replaced it.
//!
//! The store may show an earlier record for a moment, and two processes may have been given one
//! name. A delay keeps both from causing a write for each change.

use std::time::Duration;
use std::time::Instant;

use super::Control;
use crate::gateway::store_keys;
use crate::protocol::adapter::Adapter;
use crate::protocol::adapter::KeyValue;
use crate::protocol::fleet::BoxRecord;
use crate::state::clock;

/// Delay of the repair of a record.
const REPAIR_DELAY: Duration = Duration::from_secs(1);
/// Delay if the record is that of another incarnation, which may have taken the name.
const TAKEOVER_DELAY: Duration = Duration::from_secs(30);

/// When this box's record is written again; never if the store has it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecordRepair {
    due_at: Option<Instant>,
}

impl RecordRepair {
    fn schedule(&mut self, delay: Duration, now: Instant) {
        let due_at = now + delay;
        self.due_at = Some(self.due_at.map_or(due_at, |earlier| earlier.min(due_at)));
    }

    fn cancel(&mut self) {
        self.due_at = None;
    }

    fn take_due(&mut self, now: Instant) -> bool {
        self.due_at.take_if(|at| now >= *at).is_some()
    }
}

/// A record as boxes read it from the store.
fn as_read(record: &BoxRecord) -> BoxRecord {
    let (_, value) = store_keys::box_entry(record);
    let mut record = serde_json::from_slice(&value).unwrap_or_else(|_| record.clone());
    record.clamp_weight();
    record
}

impl<A: Adapter> Control<A> {
    /// Checks a record that the store shows, if it is that of this box.
    pub(super) fn check_own_record(&mut self, record: &BoxRecord) {
        if record.name != self.own_record.name {
            return;
        }
        if *record == as_read(&self.own_record) {
            self.record_repair.cancel();
            return;
        }
        let now = clock::now();
        let is_other = record.incarnation != self.own_record.incarnation;
        if self.cluster_state.is_settling(now) {
            self.rewrite_record("the store shows an older one");
        } else if !is_other {
            self.record_repair.schedule(REPAIR_DELAY, now);
        } else if !self.own_record.leaving {
            self.record_repair.schedule(TAKEOVER_DELAY, now);
        }
    }

    /// Logs a record that can't be read, and schedules the repair of this box's record if it was
    /// replaced by one.
    pub(super) fn reject_record(&mut self, name: &str, item: &KeyValue, error: &str) {
        self.unreadable_keys.record(&item.key, &item.value, error);
        if name == self.own_record.name {
            self.record_repair.schedule(REPAIR_DELAY, clock::now());
        }
    }

    /// Writes this box's record again if that is due.
    pub(super) fn repair_record(&mut self, now: Instant) {
        if self.record_repair.take_due(now) {
            self.rewrite_record("another writer has replaced it");
        }
    }

    /// Writes this box's record again.
    pub(super) fn rewrite_record(&mut self, reason: &str) {
        log::warn!("event=record_lost reason={reason:?}");
        self.record_repair.cancel();
        self.record_sender.send_replace(self.own_record.clone());
    }
}
