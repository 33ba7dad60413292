//! Leaving out servers that failed lately, and letting single requests find
//! out whether they are back.

use std::time::Duration;
use std::time::Instant;

/// First time that a server is left out.
const FIRST: Duration = Duration::from_millis(250);
/// Longest time that a server is left out; a server that is back is found within it.
const LONGEST: Duration = Duration::from_secs(2);
/// Lost answers in a row that leave a server out; single ones happen at sound servers.
const LOST_IN_A_ROW: u32 = 3;
/// How long a trial may take before the next one.
const TRIAL: Duration = Duration::from_millis(500);

/// The failures of one server.
#[derive(Clone, Debug, Default)]
pub struct Ejection {
    until: Option<Instant>,
    times: u32,
    lost: u32,
}

impl Ejection {
    /// Whether it may get a request.
    pub fn admits(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now >= until)
    }

    /// A request goes there; after a failure this is a trial, and the only one for a while.
    pub fn tried(&mut self, now: Instant) {
        if self.times > 0 {
            self.until = Some(now + TRIAL);
        }
    }

    /// It answered.
    pub fn answered(&mut self) {
        *self = Ejection::default();
    }

    /// No connection came up.
    pub fn unreachable(&mut self, now: Instant) {
        self.eject(now);
    }

    /// An answer was lost.
    pub fn lost(&mut self, now: Instant) {
        self.lost += 1;
        if self.lost >= LOST_IN_A_ROW || self.times > 0 {
            self.eject(now);
        }
    }

    fn eject(&mut self, now: Instant) {
        let out = (FIRST * 2u32.pow(self.times.min(4))).min(LONGEST);
        self.times += 1;
        self.until = Some(now + out);
    }
}
