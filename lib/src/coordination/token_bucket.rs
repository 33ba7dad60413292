//! A token bucket, used for team rate limits and retry budgets.

use std::time::Duration;
use std::time::Instant;

/// Tokens that refill at a fixed rate, up to a maximum.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens: f64,
    rate: f64,
    burst: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket. `rate` is in tokens per second; `burst` is the maximum number of
    /// tokens.
    pub fn new(rate: f64, burst: f64, now: Instant) -> TokenBucket {
        TokenBucket { tokens: burst, rate, burst, refilled_at: now }
    }

    /// Changes the rate and the maximum. Keeps the tokens in the bucket, up to the new maximum.
    pub fn reconfigure(&mut self, rate: f64, burst: f64, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Adds tokens, up to the maximum.
    pub fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.burst);
    }

    /// Takes tokens, or returns the time until enough are available.
    pub fn take(&mut self, tokens: f64, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= tokens {
            self.tokens -= tokens;
            return Ok(());
        }
        let missing = tokens - self.tokens;
        Err(Duration::try_from_secs_f64(missing / self.rate).unwrap_or(Duration::MAX))
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.add(elapsed.as_secs_f64() * self.rate);
    }
}
