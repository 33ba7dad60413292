//! Checked numbers. Each number of another process becomes one of these types at the input
//! boundary, so that later arithmetic with instants, durations and sums can't overflow.
//!
//! A raw number is converted with `TryFrom` where a number out of range makes its entry unreadable,
//! and with `saturating` where the nearest number in range means the same. Numbers that are only
//! compared, such as versions, revisions and hashes, use their whole type.

use std::time::Duration;

/// Maximum cold time of a server, seconds. Servers are cold for minutes at most, and all of them are
/// replaced within a day.
pub const MAX_COLD_S: u64 = 24 * 3600;
/// Maximum timeout of a request or of an idle connection, seconds. Connections don't last longer.
pub const MAX_TIMEOUT_S: u64 = 24 * 3600;
/// Maximum duration of an upgrade, seconds. Orders give minutes.
pub const MAX_UPGRADE_S: u64 = 30 * 24 * 3600;
/// Maximum Unix time, seconds: the end of the year 9999.
pub const MAX_UNIX_TIME_S: u64 = 253_402_300_799;
/// Maximum slots of one server. The slots of a region with 65,536 such servers fit into 32 bits.
pub const MAX_SLOTS: u64 = 65_535;
/// Maximum weight of a service in a traffic split. Weights are shares of at most a few thousand.
pub const MAX_WEIGHT: u64 = 1_000_000;
/// Maximum number of connections to one server, and of attempts for one request. A process has fewer
/// socket descriptors than that.
pub const MAX_CONNECTIONS: u64 = 1_000_000;
/// Maximum size of a head or a body, bytes. The memory of a box is half of that.
pub const MAX_BYTES: u64 = 1 << 30;
/// Maximum number of tokens of a prompt, a cache or a bucket. Sums of millions of them fit into 64
/// bits.
pub const MAX_TOKENS: u64 = 1_000_000_000_000;
/// Maximum rate, units per second. A machine handles fewer.
pub const MAX_RATE: u64 = 1_000_000_000;
/// Maximum count in a datagram. The sum over 1,000 boxes fits into 32 bits.
pub const MAX_REPORTED_COUNT: u32 = 1 << 21;
/// Maximum weight of a box: its share of the processor, in cores.
pub const MAX_BOX_WEIGHT: f64 = 1024.0;
/// Maximum number of writes of one plan of an upgrade. A plan has some ten.
pub const MAX_PLAN_SERIAL: u32 = 1 << 20;

/// Why a number is out of range.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum RangeError {
    /// It is not a number.
    #[error("not a number")]
    NotANumber,
    /// It is negative.
    #[error("negative")]
    Negative,
    /// It exceeds the maximum.
    #[error("more than {0}")]
    TooLarge(u64),
}

fn check(raw: f64, max: u64) -> Result<f64, RangeError> {
    if raw.is_nan() {
        Err(RangeError::NotANumber)
    } else if raw < 0.0 {
        Err(RangeError::Negative)
    } else if raw > max as f64 {
        Err(RangeError::TooLarge(max))
    } else {
        Ok(raw)
    }
}

/// The nearest number in range; 0 for text like `NaN`.
fn saturate(raw: f64, max: u64) -> f64 {
    if raw.is_nan() { 0.0 } else { raw.clamp(0.0, max as f64) }
}

/// A raw number of seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Seconds(pub f64);

/// A raw number of milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Millis(pub f64);

impl From<Millis> for Seconds {
    fn from(Millis(count): Millis) -> Seconds {
        Seconds(count / 1000.0)
    }
}

/// A time span of at most `MAX_S` seconds.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Span<const MAX_S: u64>(Duration);

impl<const MAX_S: u64> Span<MAX_S> {
    /// Converts the nearest number in range.
    pub fn saturating(raw: impl Into<Seconds>) -> Self {
        let Seconds(seconds) = raw.into();
        Span(Duration::from_secs_f64(saturate(seconds, MAX_S)))
    }

    /// The time span.
    pub fn get(self) -> Duration {
        self.0
    }
}

impl<const MAX_S: u64> TryFrom<Seconds> for Span<MAX_S> {
    type Error = RangeError;

    fn try_from(Seconds(raw): Seconds) -> Result<Self, RangeError> {
        check(raw, MAX_S).map(|seconds| Span(Duration::from_secs_f64(seconds)))
    }
}

impl<const MAX_S: u64> TryFrom<Millis> for Span<MAX_S> {
    type Error = RangeError;

    fn try_from(raw: Millis) -> Result<Self, RangeError> {
        Span::try_from(Seconds::from(raw))
    }
}

/// A number from 0 to `MAX`, with or without a fraction.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Amount<const MAX: u64>(f64);

impl<const MAX: u64> Amount<MAX> {
    /// The nearest number in range.
    pub fn saturating(raw: f64) -> Self {
        Amount(saturate(raw, MAX))
    }

    /// The number.
    pub fn get(self) -> f64 {
        self.0
    }

    /// The number without its fraction.
    pub fn whole(self) -> u64 {
        self.0 as u64
    }
}

impl<const MAX: u64> TryFrom<f64> for Amount<MAX> {
    type Error = RangeError;

    fn try_from(raw: f64) -> Result<Self, RangeError> {
        check(raw, MAX).map(Amount)
    }
}

/// Collects the numbers of a record that were out of range, for the log.
#[derive(Debug, Default)]
pub struct Notes(Vec<String>);

impl Notes {
    /// Notes something.
    pub fn add(&mut self, note: String) {
        self.0.push(note);
    }

    /// The nearest time span in range.
    pub fn span<const MAX_S: u64>(&mut self, field: &str, raw: impl Into<Seconds>) -> Duration {
        let raw = raw.into();
        if let Err(error) = Span::<MAX_S>::try_from(raw) {
            self.add(format!("{field}: {error}"));
        }
        Span::<MAX_S>::saturating(raw).get()
    }

    /// The nearest amount in range.
    pub fn amount<const MAX: u64>(&mut self, field: &str, raw: f64) -> Amount<MAX> {
        if let Err(error) = Amount::<MAX>::try_from(raw) {
            self.add(format!("{field}: {error}"));
        }
        Amount::saturating(raw)
    }

    /// All notes as one line; `None` if there are none.
    pub fn into_line(self) -> Option<String> {
        (!self.0.is_empty()).then(|| self.0.join(", "))
    }
}
