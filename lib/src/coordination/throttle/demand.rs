//! Demand for one service.

use std::time::Duration;
use std::time::Instant;

use super::super::rate::Rate;

/// Smoothing time of the recent demand. It spans several reports and follows the traffic of a
/// region.
const SMOOTHING_TIME: Duration = Duration::from_secs(1);
/// Smoothing time of the usual demand. It is longer than a pause in the traffic, after which all
/// boxes get requests at once.
const USUAL_SMOOTHING_TIME: Duration = Duration::from_secs(20);
/// Lowest weight, in requests per second. Chance decides which boxes get less.
const MIN_WEIGHT: f64 = 1.0;
/// Relative difference from the usual demand up to which the weight stays.
const WEIGHT_TOLERANCE: f64 = 0.5;
/// Number of standard deviations by which the recent demand must exceed the usual demand to count
/// as an increase.
const SIGNIFICANT_DEVIATIONS: f64 = 2.0;

/// Demand on one box of the region, in requests per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandRate {
    /// Average over about the last second.
    pub recent: f64,
    /// Average over a longer time.
    pub usual: f64,
}

/// Demand on this box and on the others.
#[derive(Debug)]
pub struct Demand {
    recent: Rate,
    usual: Rate,
    /// Total demand that the other reachable boxes report.
    pub others: DemandRate,
    /// Usual demand on this box by which the boxes share the room of brittle servers; `None` before
    /// the first report of it.
    pub weight: Option<f64>,
    /// Number of other reachable boxes that have not reported their demand.
    pub unreported: usize,
    /// When the last refused caller was asked to retry.
    pub last_retry_at: Instant,
}

impl Demand {
    /// Creates the state without any demand.
    pub fn new(now: Instant) -> Demand {
        Demand {
            recent: Rate::new(SMOOTHING_TIME, now),
            usual: Rate::new(USUAL_SMOOTHING_TIME, now),
            others: DemandRate::default(),
            weight: None,
            unreported: 0,
            last_retry_at: now,
        }
    }

    /// Records a request on this box.
    pub fn record_request(&mut self, now: Instant) {
        self.recent.add(1.0, now);
        self.usual.add(1.0, now);
    }

    /// Returns the demand on this box.
    pub fn own(&self, now: Instant) -> DemandRate {
        DemandRate { recent: self.recent.get(now), usual: self.usual.bias_corrected(now) }
    }

    /// Updates the weight and returns it. Hysteresis keeps the shares of all boxes from changing by
    /// chance.
    pub fn update_weight(&mut self, now: Instant) -> f64 {
        let usual = self.own(now).usual.max(MIN_WEIGHT);
        let is_close = |weight: &f64| (usual - weight).abs() <= WEIGHT_TOLERANCE * weight;
        *self.weight.insert(self.weight.filter(is_close).unwrap_or(usual))
    }

    /// Returns the estimated current demand on the other boxes, in requests per second.
    ///
    /// Their reports are some tenths of a second old, and traffic returns or increases on all boxes
    /// at once. The estimate therefore assumes that their demand has increased relative to the
    /// usual demand by as much as the demand on this box.
    pub fn other_boxes(&self, now: Instant) -> f64 {
        let own = self.own(now);
        let by_own_increase = self.others.usual * increase_factor(own);
        self.others.recent.max(by_own_increase) + own.recent * self.unreported as f64
    }
}

/// Returns the recent demand relative to the usual demand. The result is above 1 only if chance
/// doesn't explain the difference.
fn increase_factor(own: DemandRate) -> f64 {
    if own.usual <= 0.0 {
        return 1.0;
    }
    let one_request = 1.0 / SMOOTHING_TIME.as_secs_f64();
    let deviation = (own.usual / SMOOTHING_TIME.as_secs_f64()).sqrt();
    let significant = own.recent - one_request - SIGNIFICANT_DEVIATIONS * deviation;
    (own.recent / own.usual).min(1.0).max(significant / own.usual)
}
