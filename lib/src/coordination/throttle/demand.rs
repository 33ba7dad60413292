//! What boxes are asked for of a service.

use std::time::Duration;
use std::time::Instant;

use super::super::rate::Rate;

/// Time over which demand is smoothed: some reports long, so that it follows a region's traffic.
const SMOOTHING: Duration = Duration::from_secs(1);
/// Time over which usual demand is smoothed: longer than a lull, after which all boxes are asked at once.
const USUAL_SMOOTHING: Duration = Duration::from_secs(20);
/// Standard deviations by which demand must exceed what is usual to count as a rise.
const SIGNIFICANT: f64 = 2.0;

/// What a box of the region is asked for, requests a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Asked {
    /// Over the last second or so.
    pub lately: f64,
    /// Over a longer time.
    pub usual: f64,
}

/// What this box and the others are asked for.
#[derive(Debug)]
pub struct Demand {
    lately: Rate,
    usual: Rate,
    /// What the others that are heard say, in sum.
    pub others: Asked,
    /// Other boxes that are heard and have not said it.
    pub unsaid: usize,
    /// When the last caller who was refused was asked to come back.
    pub last_return: Instant,
}

impl Demand {
    /// Nothing yet.
    pub fn new(now: Instant) -> Demand {
        Demand {
            lately: Rate::new(SMOOTHING, now),
            usual: Rate::new(USUAL_SMOOTHING, now),
            others: Asked::default(),
            unsaid: 0,
            last_return: now,
        }
    }

    /// This box is asked for a place.
    pub fn asked(&mut self, now: Instant) {
        self.lately.add(1.0, now);
        self.usual.add(1.0, now);
    }

    /// What this box is asked for.
    pub fn own(&self, now: Instant) -> Asked {
        Asked { lately: self.lately.get(now), usual: self.usual.bias_corrected(now) }
    }

    /// What the others are taken to be asked for now, requests a second. News of it is some tenths of a
    /// second old, and traffic comes back or rises at all boxes at once: then they are taken to be asked
    /// for as much of what is usual for them as this one is.
    pub fn elsewhere(&self, now: Instant) -> f64 {
        let own = self.own(now);
        let by_own = self.others.usual * rise(own);
        self.others.lately.max(by_own) + own.lately * self.unsaid as f64
    }
}

/// Demand against what is usual; above 1 only where chance does not explain it.
fn rise(own: Asked) -> f64 {
    if own.usual <= 0.0 {
        return 1.0;
    }
    let each = 1.0 / SMOOTHING.as_secs_f64();
    let spread = (own.usual / SMOOTHING.as_secs_f64()).sqrt();
    let least = own.lately - each - SIGNIFICANT * spread;
    (own.lately / own.usual).min(1.0).max(least / own.usual)
}
