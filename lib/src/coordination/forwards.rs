//! Forwards of this box whose responses have not arrived yet.
//!
//! A forward takes the body of its request over the links of two boxes, and its response back. When
//! servers crash under load, requests that find no place here fill these links; then no forward
//! arrives in time, and neither do responses to callers and changes from the store. The number of
//! bytes under way is therefore bounded, and no request is forwarded whose deadline is nearer than
//! the time that forwards take now.

use std::time::Duration;
use std::time::Instant;

/// Maximum number of body bytes under way: some tenths of a second on a link of 10 Mbit/s.
const MAX_BYTES: usize = 256 << 10;
/// Weight of the latest forward in the mean time.
const TIME_WEIGHT: f64 = 0.1;
/// How long the mean time counts without a newer forward.
const TIME_TTL: Duration = Duration::from_secs(1);
/// Factor from the mean time of a forward to the time that a request needs to have left.
const TIME_FACTOR: f64 = 1.5;

/// Forwards under way, and how long others took.
#[derive(Debug, Default)]
pub struct Forwards {
    bytes: usize,
    /// Mean time that a forward takes, and when it last changed.
    mean_time: Option<(Duration, Instant)>,
}

impl Forwards {
    /// Whether a request with a body of `bytes` may be forwarded if it has `time_left`. A single
    /// forward may have any size.
    pub fn admits(&self, bytes: usize, time_left: Duration, now: Instant) -> bool {
        let has_room = self.bytes == 0 || self.bytes + bytes <= MAX_BYTES;
        has_room && self.expected_time(now).mul_f64(TIME_FACTOR) <= time_left
    }

    /// Time that a forward takes, by the latest ones.
    fn expected_time(&self, now: Instant) -> Duration {
        let current = self.mean_time.filter(|(_, at)| now < *at + TIME_TTL);
        current.map_or(Duration::ZERO, |(mean, _)| mean)
    }

    /// Records that a request with a body of `bytes` is forwarded.
    pub fn begin(&mut self, bytes: usize) {
        self.bytes += bytes;
    }

    /// Records that a forward has its response, or was given up, after `time`.
    pub fn finish(&mut self, bytes: usize, time: Duration, now: Instant) {
        self.bytes = self.bytes.saturating_sub(bytes);
        let mean = match self.mean_time {
            Some((mean, at)) if now < at + TIME_TTL => {
                mean.mul_f64(1.0 - TIME_WEIGHT) + time.mul_f64(TIME_WEIGHT)
            }
            _ => time,
        };
        self.mean_time = Some((mean, now));
    }
}
