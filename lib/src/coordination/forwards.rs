//! Forwards of this box whose responses have not arrived yet.
//!
//! A forward takes the body of its request over the links of two boxes, and its response back. When
//! servers crash under load, requests that find no place here fill these links; then no forward
//! arrives in time, and neither do responses to callers and changes from the store. The number of
//! bytes under way is therefore bounded, and no request is forwarded whose deadline is nearer than
//! the time that forwards of its kind take now.

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

/// What a forwarded request does. The times are kept apart, because servers admit streams that go on
/// before other requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Begins something.
    New,
    /// Continues a stream.
    Continued,
}

impl Kind {
    /// The kind of a request, by whether it continues a stream.
    pub fn of(continues_stream: bool) -> Kind {
        if continues_stream { Kind::Continued } else { Kind::New }
    }
}

/// Mean time that a forward takes, and when it last changed.
#[derive(Clone, Copy, Debug, Default)]
struct MeanTime(Option<(Duration, Instant)>);

impl MeanTime {
    /// Time that a forward takes, by the latest ones.
    fn expected(&self, now: Instant) -> Duration {
        let current = self.0.filter(|(_, at)| now < *at + TIME_TTL);
        current.map_or(Duration::ZERO, |(mean, _)| mean)
    }

    fn record(&mut self, time: Duration, now: Instant) {
        let mean = match self.0 {
            Some((mean, at)) if now < at + TIME_TTL => {
                mean.mul_f64(1.0 - TIME_WEIGHT) + time.mul_f64(TIME_WEIGHT)
            }
            _ => time,
        };
        self.0 = Some((mean, now));
    }
}

/// Forwards under way, and how long others took.
#[derive(Debug, Default)]
pub struct Forwards {
    bytes: usize,
    new: MeanTime,
    continued: MeanTime,
}

impl Forwards {
    /// Whether a request with a body of `bytes` may be forwarded if it has `time_left`. A single
    /// forward may have any size.
    pub fn admits(&self, kind: Kind, bytes: usize, time_left: Duration, now: Instant) -> bool {
        let mean_time = match kind {
            Kind::New => &self.new,
            Kind::Continued => &self.continued,
        };
        let has_room = self.bytes == 0 || self.bytes + bytes <= MAX_BYTES;
        has_room && mean_time.expected(now).mul_f64(TIME_FACTOR) <= time_left
    }

    /// Records that a request with a body of `bytes` is forwarded.
    pub fn begin(&mut self, bytes: usize) {
        self.bytes += bytes;
    }

    /// Records that a forward has its response, or was given up, after `time`.
    pub fn finish(&mut self, kind: Kind, bytes: usize, time: Duration, now: Instant) {
        self.bytes = self.bytes.saturating_sub(bytes);
        match kind {
            Kind::New => self.new.record(time, now),
            Kind::Continued => self.continued.record(time, now),
        }
    }
}
