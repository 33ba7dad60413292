//! Leaving out servers that failed lately, and letting single requests find
//! out whether they are back.

use std::time::Duration;
use std::time::Instant;

/// First time that a server is left out.
const FIRST_EJECTION: Duration = Duration::from_millis(250);
/// Longest time that a server is left out; a server that is back is found within it.
const MAX_EJECTION: Duration = Duration::from_secs(2);
/// Lost answers in a row that leave a server out; single ones happen at sound servers.
const LOST_ANSWERS_TO_EJECT: u32 = 3;
/// How long a trial may take before the next one.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// The failures of one server.
#[derive(Clone, Debug, Default)]
pub struct Ejection {
    ejected_until: Option<Instant>,
    consecutive_ejections: u32,
    consecutive_lost_answers: u32,
}

impl Ejection {
    /// Whether it may get a request.
    pub fn admits(&self, now: Instant) -> bool {
        self.ejected_until.is_none_or(|until| now >= until)
    }

    /// A request goes there; after a failure this is a trial, and the only one for a while.
    pub fn record_attempt(&mut self, now: Instant) {
        if self.consecutive_ejections > 0 {
            self.ejected_until = Some(now + TRIAL_TIMEOUT);
        }
    }

    /// It answered.
    pub fn record_success(&mut self) {
        *self = Ejection::default();
    }

    /// No connection came up.
    pub fn record_unreachable(&mut self, now: Instant) {
        self.eject(now);
    }

    /// An answer was lost.
    pub fn record_lost_answer(&mut self, now: Instant) {
        self.consecutive_lost_answers += 1;
        if self.consecutive_lost_answers >= LOST_ANSWERS_TO_EJECT || self.consecutive_ejections > 0
        {
            self.eject(now);
        }
    }

    fn eject(&mut self, now: Instant) {
        let duration =
            (FIRST_EJECTION * 2u32.pow(self.consecutive_ejections.min(4))).min(MAX_EJECTION);
        self.consecutive_ejections += 1;
        self.ejected_until = Some(now + duration);
    }
}
