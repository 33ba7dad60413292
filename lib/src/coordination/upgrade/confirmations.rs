//! Which boxes have confirmed to a judge that they follow a plan and have no requests in progress on
//! replaced versions.
//!
//! Judges exchange the confirmations, because a judge may receive few datagrams of other regions
//! while the links between regions are saturated.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use super::wire::UpgradeReport;

/// Age at which a report no longer confirms that a box has drained.
const CONFIRMATION_TTL: Duration = Duration::from_secs(3);
/// Time until a judge has relayed a confirmation: a box that has denied something later is
/// not confirmed by that.
const RELAY_TIME: Duration = Duration::from_secs(1);
/// Serial number of a box that has requests in progress on replaced versions, or follows no plan.
const UNCONFIRMED: u32 = 0;
/// Maximum number of boxes in a report, 8 bytes each. A report with all counts has room for them.
const MAX_REPORTED: usize = 48;

/// Confirmations of boxes, by hash of the box: serial number of the plan, and when it was received.
#[derive(Clone, Debug, Default)]
pub struct Confirmations {
    /// From the boxes themselves.
    direct: BTreeMap<u64, (u32, Instant)>,
    /// From other judges.
    relayed: BTreeMap<u64, (u32, Instant)>,
    /// Latest time that is known.
    now: Option<Instant>,
    /// Number of reports so far, by which boxes take turns if they do not fit in one.
    turn: usize,
}

impl Confirmations {
    /// Receives the report of a box.
    pub fn receive(&mut self, report: &UpgradeReport, sender: u64, now: Instant) {
        self.now = Some(now);
        let serial = if report.draining == 0 { report.serial } else { UNCONFIRMED };
        self.direct.insert(sender, (serial, now));
        for confirmed in &report.confirmed {
            self.relayed.insert(*confirmed, (report.serial, now));
        }
    }

    /// Whether a box has confirmed a serial number.
    pub fn contains(&self, sender: u64, serial: u32, now: Instant) -> bool {
        let is_valid =
            |(confirmed, at): &(u32, Instant)| *confirmed == serial && now < *at + CONFIRMATION_TTL;
        let own = self.direct.get(&sender);
        let is_denied = |at: Instant| {
            own.is_some_and(|(known, since)| *known == UNCONFIRMED && at < *since + RELAY_TIME)
        };
        let relayed = self.relayed.get(&sender).filter(|(_, at)| !is_denied(*at));
        own.is_some_and(is_valid) || relayed.is_some_and(is_valid)
    }

    /// Some of the boxes that have confirmed a serial number, in turn.
    pub fn to_report(&mut self, serial: u32) -> Vec<u64> {
        let Some(now) = self.now else { return Vec::new() };
        let is_valid =
            |(confirmed, at): &(u32, Instant)| *confirmed == serial && now < *at + CONFIRMATION_TTL;
        let valid = self.direct.iter().filter(|(_, confirmation)| is_valid(confirmation));
        let valid: Vec<u64> = valid.map(|(sender, _)| *sender).collect();
        let begin = (self.turn * MAX_REPORTED) % valid.len().max(1);
        self.turn += 1;
        let (first, last) = valid.split_at(begin);
        last.iter().chain(first).take(MAX_REPORTED).copied().collect()
    }
}
