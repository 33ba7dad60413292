//! Bounds the numbers in the reports of other boxes when they arrive, so that sums over all boxes
//! can't overflow. The nearest number in range means the same: more than any box can do. Usage of
//! teams is summed as floating-point numbers and needs no bound.

use super::loads::BoxReport;
use super::throttle::wire::ThrottleReport;
use super::upgrade::wire::UpgradeReport;
use crate::protocol::quantity::Amount;
use crate::protocol::quantity::MAX_RATE;
use crate::protocol::quantity::MAX_REPORTED_COUNT;

impl BoxReport {
    /// Replaces numbers out of range by the nearest ones in range.
    pub fn clamp_numbers(&mut self) {
        let counts = [&mut self.in_flight, &mut self.region_in_flight, &mut self.region_slots];
        counts.into_iter().flatten().for_each(clamp_count);
        self.reached_percent.iter_mut().for_each(|percent| *percent = (*percent).min(100));
        self.throttle.iter_mut().for_each(clamp_rates);
        self.upgrade.iter_mut().for_each(clamp_upgrade);
    }
}

fn clamp_count(count: &mut u32) {
    *count = (*count).min(MAX_REPORTED_COUNT);
}

fn clamp_rates(report: &mut ThrottleReport) {
    for word in &mut report.words {
        // A rate that is no number counts as none, as in the response of a server.
        word.rate = word.rate.filter(|rate| rate.is_finite() && *rate >= 0.0);
        word.rate = word.rate.map(|rate| Amount::<MAX_RATE>::saturating(rate).get());
    }
    for demand in &mut report.demands {
        demand.weight = demand.weight.filter(|weight| weight.is_finite());
        demand.weight = demand.weight.map(|weight| Amount::<MAX_RATE>::saturating(weight).get());
    }
}

fn clamp_upgrade(report: &mut UpgradeReport) {
    clamp_count(&mut report.draining);
    for cell in &mut report.cells {
        clamp_count(&mut cell.responses);
        clamp_count(&mut cell.failed);
        cell.latencies.iter_mut().for_each(clamp_count);
    }
    report.tallies.iter_mut().for_each(|tally| clamp_count(&mut tally.bad));
}
