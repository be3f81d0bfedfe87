//! Token bucket for costly operations.

use std::time::Duration;

use crate::MAX_WAIT;

/// Shortest wait for a token. A wait that rounds to zero would be asked for again and again.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// How fast a [`TokenBucket`] is refilled.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RefillRate {
    tokens: f64,
    period_seconds: f64,
}

impl RefillRate {
    /// So many tokens each second; more than 0.
    pub fn per_second(tokens: f64) -> RefillRate {
        RefillRate { tokens, period_seconds: 1.0 }
    }

    /// So many tokens each minute; more than 0.
    pub fn per_minute(tokens: f64) -> RefillRate {
        RefillRate { tokens, period_seconds: 60.0 }
    }
}

/// A token bucket: allows a burst of `capacity` operations, and as many as the refill rate in the long run.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    capacity: f64,
    rate: RefillRate,
    tokens: f64,
    updated_at: Duration,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(capacity: f64, rate: RefillRate) -> TokenBucket {
        TokenBucket { capacity, rate, tokens: capacity, updated_at: Duration::ZERO }
    }

    /// Fills the bucket with at least `tokens`, even beyond its capacity. What is beyond is spent, never refilled.
    pub fn fill(&mut self, tokens: f64) {
        self.tokens = self.capacity.max(tokens);
    }

    /// Takes a token, or returns the time at which to ask again: when one is available, or after [`MAX_WAIT`].
    pub fn take(&mut self, now: Duration) -> Result<(), Duration> {
        self.refill(now);
        if self.try_take() {
            return Ok(());
        }
        Err(self.next_token_at(now))
    }

    /// When to ask a bucket that was refilled now for its next token: later than now, and after [`MAX_WAIT`] at most.
    pub fn next_token_at(&self, now: Duration) -> Duration {
        now.saturating_add(self.time_to_token().max(MIN_WAIT))
    }

    /// Adds the tokens that are due since the last refill. A clock that goes back adds none.
    pub fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let limit = self.capacity.max(self.tokens);
        self.tokens = (self.tokens + elapsed * self.rate.tokens / self.rate.period_seconds).min(limit);
        self.updated_at = now.max(self.updated_at);
    }

    /// Takes a token if there is one, as of the last refill. Returns whether there was.
    pub fn try_take(&mut self) -> bool {
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }

    /// Tokens as of the last refill.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Time from the last refill to the next token, [`MAX_WAIT`] at most; zero if there is one. At a rate of almost nothing
    /// the seconds are more than a [`Duration`] holds.
    pub fn time_to_token(&self) -> Duration {
        let missing = 1.0 - self.tokens;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        let seconds = missing * self.rate.period_seconds / self.rate.tokens;
        Duration::try_from_secs_f64(seconds).map_or(MAX_WAIT, |wait| wait.min(MAX_WAIT))
    }
}
