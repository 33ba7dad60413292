//! Ejection of servers that failed recently, with single trial requests that find out whether they
//! work again.

use std::time::Duration;
use std::time::Instant;

/// Length of the first ejection.
const FIRST_EJECTION: Duration = Duration::from_millis(250);
/// Maximum length of an ejection; a server that works again is found within this time.
const MAX_EJECTION: Duration = Duration::from_secs(2);
/// Consecutive lost responses that eject a server; single ones also occur at healthy servers.
const LOST_RESPONSES_TO_EJECT: u32 = 3;
/// Time after a trial request until the next one may be sent.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Recent failures of one server.
#[derive(Clone, Debug, Default)]
pub struct Ejection {
    ejected_until: Option<Instant>,
    consecutive_ejections: u32,
    consecutive_lost_responses: u32,
}

impl Ejection {
    /// Whether the server may get a request.
    pub fn admits(&self, now: Instant) -> bool {
        self.ejected_until.is_none_or(|until| now >= until)
    }

    /// Records that a request is sent. After a failure it is a trial, and no other request is sent
    /// for a while.
    pub fn record_attempt(&mut self, now: Instant) {
        if self.consecutive_ejections > 0 {
            self.ejected_until = Some(now + TRIAL_TIMEOUT);
        }
    }

    /// Records a response.
    pub fn record_success(&mut self) {
        *self = Ejection::default();
    }

    /// Records a lost response.
    pub fn record_lost_response(&mut self, now: Instant) {
        self.consecutive_lost_responses += 1;
        if self.consecutive_lost_responses >= LOST_RESPONSES_TO_EJECT
            || self.consecutive_ejections > 0
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
