//! The boxes that the store lists, has listed, or that send datagrams.

use std::time::Instant;

use super::ClusterState;
use super::EXPIRED_BOX_RETENTION;
use super::LocalContext;
use crate::gateway::store_keys::LISTING_BUILD;
use crate::protocol::fleet::BoxRecord;

impl ClusterState {
    /// Applies the record of a box.
    pub fn apply_box(&mut self, record: BoxRecord) {
        self.expired_boxes.remove(&record.name);
        self.box_addresses.add(&record);
        let before = self.boxes.insert(record.name.clone(), record.clone());
        if before.as_ref() != Some(&record) {
            log::info!(
                "event=box box={} region={} incarnation={:x} leaving={}",
                record.name,
                record.region,
                record.incarnation,
                record.leaving
            );
        }
    }

    /// Whether the store lists a box.
    pub fn is_listed(&self, name: &str) -> bool {
        self.boxes.contains_key(name)
    }

    /// Applies the roster entry of a box, which remains after the box is gone.
    pub fn apply_roster_entry(&mut self, region: &str, name: &str, value: &[u8]) {
        self.roster.insert((region.to_owned(), name.to_owned()), value == LISTING_BUILD);
    }

    /// Whether a box may have begun streams at versions that were never listed.
    pub fn may_have_unlisted_streams(&self) -> bool {
        self.roster.values().any(|begins_as_listed| !begins_as_listed)
    }

    /// Number of boxes in all regions that share the limits.
    pub fn fleet_size(&self, context: &LocalContext<'_>) -> usize {
        let roster_size = if context.just_started { self.roster.len() } else { 0 };
        (self.other_boxes(context.own_record).len() + 1).max(roster_size)
    }

    /// Removes a box whose record is gone.
    pub fn remove_box(&mut self, name: &str, now: Instant) {
        if let Some(record) = self.boxes.remove(name) {
            log::info!("event=box_gone box={name} incarnation={:x}", record.incarnation);
            self.expired_boxes.insert(name.to_owned(), (record, now));
        }
    }

    /// Sets the addresses of this box, which are in use before the store lists it.
    pub fn add_own_addresses(&mut self, own_record: &BoxRecord) {
        self.box_addresses.set_own(own_record);
    }

    /// Forgets boxes whose records have been gone for long enough. Servers may use their addresses.
    pub(super) fn expire_boxes(&mut self, now: Instant) {
        let before = self.expired_boxes.len();
        self.expired_boxes.retain(|_, (_, since)| now < *since + EXPIRED_BOX_RETENTION);
        if self.expired_boxes.len() != before {
            let expired = self.expired_boxes.values().map(|(record, _)| record);
            self.box_addresses.set_all(self.boxes.values().chain(expired));
        }
    }

    /// Other boxes whose records have been gone from the store only for seconds, or whose datagrams
    /// still arrive.
    pub fn other_expired_boxes(&self, own_record: &BoxRecord) -> Vec<BoxRecord> {
        let records = self.expired_boxes.values().map(|(record, _)| record);
        records.filter(|record| record.name != own_record.name).cloned().collect()
    }

    /// Keeps expired boxes whose datagrams still arrive. They send to servers like any other box,
    /// and depend more on the reports of others than those do. With a lease of 4 s and shares that
    /// grow 30 s after it ends, two boxes of four that lose the store for that long would send 20
    /// requests in a second where 17 are allowed (calculated, not run).
    pub fn refresh_expired_boxes(
        &mut self,
        has_recent_datagram: impl Fn(&str) -> bool,
        now: Instant,
    ) {
        for (name, (_, since)) in &mut self.expired_boxes {
            if has_recent_datagram(name) {
                *since = now;
            }
        }
    }

    /// Records the boxes of this region that sent datagrams to this one. A box that started during
    /// a store outage may have no other knowledge of them, and would use all of a limit itself: two
    /// such boxes sent 21 requests in a second to a cold server where 17 are allowed. Returns
    /// whether any of them is new.
    pub fn record_senders(&mut self, senders: impl Iterator<Item = u64>, now: Instant) -> bool {
        let previous_len = self.senders.len();
        self.senders.extend(senders.map(|sender| (sender, now)));
        self.senders.len() != previous_len
    }

    /// Live boxes except this one.
    pub fn other_boxes(&self, own_record: &BoxRecord) -> Vec<BoxRecord> {
        self.boxes.values().filter(|record| record.name != own_record.name).cloned().collect()
    }
}
