//! A token bucket, the one behind team limits and retry budgets.

use std::time::Duration;
use std::time::Instant;

/// Tokens that come back at a rate, up to a burst.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens: f64,
    rate: f64,
    burst: f64,
    filled_at: Instant,
}

impl TokenBucket {
    /// A full bucket; `rate` in tokens a second.
    pub fn new(rate: f64, burst: f64, now: Instant) -> TokenBucket {
        TokenBucket { tokens: burst, rate, burst, filled_at: now }
    }

    /// Changes rate and burst; keeps what is in the bucket, up to the new burst.
    pub fn set(&mut self, rate: f64, burst: f64, now: Instant) {
        self.fill(now);
        self.rate = rate;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Adds tokens, up to the burst.
    pub fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.burst);
    }

    /// Takes tokens, or says how long until there are as many.
    pub fn take(&mut self, tokens: f64, now: Instant) -> Result<(), Duration> {
        self.fill(now);
        if self.tokens >= tokens {
            self.tokens -= tokens;
            return Ok(());
        }
        let missing = tokens - self.tokens;
        Err(Duration::try_from_secs_f64(missing / self.rate).unwrap_or(Duration::MAX))
    }

    fn fill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        self.add(passed.as_secs_f64() * self.rate);
    }
}
