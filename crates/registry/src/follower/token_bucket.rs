//! Token bucket for costly requests.

use std::time::Duration;

/// Shortest wait for a token. A wait that rounds to zero would be asked for again and again.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// A token bucket that starts full.
pub(super) struct TokenBucket {
    capacity: f64,
    refill_per_minute: f64,
    tokens: f64,
    updated: Duration,
}

impl TokenBucket {
    /// A full bucket of `capacity` tokens.
    pub fn new(capacity: f64, refill_per_minute: f64) -> TokenBucket {
        TokenBucket { capacity, refill_per_minute, tokens: capacity, updated: Duration::ZERO }
    }

    /// Takes a token, or returns the time at which one is available.
    pub fn take(&mut self, now: Duration) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait = Duration::from_secs_f64((1.0 - self.tokens) * 60.0 / self.refill_per_minute);
        Err(now + wait.max(MIN_WAIT))
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.refill_per_minute / 60.0).min(self.capacity);
        self.updated = now.max(self.updated);
    }
}
