//! Parsing of `Retry-After` delays.

use std::time::Duration;

use http::HeaderMap;
use http::header;

/// Parses a number of seconds, with or without a fraction. A date, a number that is not positive
/// and any other text give `None`. A delay too long for a [`Duration`] is capped at
/// [`Duration::MAX`].
pub fn parse(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    if seconds.is_nan() || seconds <= 0.0 {
        return None;
    }
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// Returns the delay in the `Retry-After` header of a response.
pub fn from_headers(headers: &HeaderMap) -> Option<Duration> {
    parse(headers.get(header::RETRY_AFTER)?.to_str().ok()?)
}
