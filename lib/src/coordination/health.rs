//! Health of a backend server, derived from the results of its requests.
//!
//! Consecutive failures eject the server for a time that doubles with each ejection. After an
//! ejection, the usable share of its slots grows linearly.

use std::time::Duration;
use std::time::Instant;

const FAILURES_TO_EJECT: u32 = 3;
const FIRST_EJECTION: Duration = Duration::from_secs(2);
const MAX_EJECTION: Duration = Duration::from_secs(30);
const RAMP_UP: Duration = Duration::from_secs(10);

/// Health of one backend server as seen by one box.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl Health {
    /// Records a request to which the server responded.
    pub fn record_success(&mut self, now: Instant) {
        self.failures = 0;
        if self.ejected_until.is_some_and(|until| now >= until + RAMP_UP) {
            self.ejections = 0;
            self.ejected_until = None;
        }
    }

    /// Records a failed request. Returns whether the server should be ejected.
    pub fn record_failure(&mut self) -> bool {
        self.failures += 1;
        self.failures >= FAILURES_TO_EJECT
    }

    /// Ejects the server.
    pub fn eject(&mut self, now: Instant) {
        let duration = FIRST_EJECTION.saturating_mul(1 << self.ejections.min(8));
        self.ejected_until = Some(now + duration.min(MAX_EJECTION));
        self.ejections += 1;
        self.failures = 0;
    }

    /// Whether the server is ejected.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Share of the slots that may be used, 0 to 1.
    pub fn usable_share(&self, now: Instant) -> f64 {
        let Some(until) = self.ejected_until else { return 1.0 };
        if now < until {
            return 0.0;
        }
        (now.duration_since(until).as_secs_f64() / RAMP_UP.as_secs_f64()).min(1.0)
    }
}
