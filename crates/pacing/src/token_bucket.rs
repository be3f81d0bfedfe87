//! Token bucket that limits the rate of costly operations.

use std::time::Duration;

use crate::MAX_WAIT;

/// The shortest wait for a token. With a wait that rounds to zero, the caller would ask again in a busy loop.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// The rate at which a [`TokenBucket`] is refilled.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RefillRate {
    tokens: f64,
    period_seconds: f64,
}

impl RefillRate {
    /// Creates a rate of `tokens` per second, which must be greater than 0.
    pub fn per_second(tokens: f64) -> RefillRate {
        RefillRate { tokens, period_seconds: 1.0 }
    }

    /// Creates a rate of `tokens` per minute, which must be greater than 0.
    pub fn per_minute(tokens: f64) -> RefillRate {
        RefillRate { tokens, period_seconds: 60.0 }
    }
}

/// A token bucket. Allows a burst of `capacity` operations, and the refill rate in the long term.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    capacity: f64,
    rate: RefillRate,
    tokens: f64,
    updated_at: Duration,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(capacity: f64, rate: RefillRate) -> TokenBucket {
        TokenBucket { capacity, rate, tokens: capacity, updated_at: Duration::ZERO }
    }

    /// Fills the bucket to `tokens` or its capacity, whichever is more. Tokens beyond the capacity are never refilled after
    /// they are spent.
    pub fn fill(&mut self, tokens: f64) {
        self.tokens = self.capacity.max(tokens);
    }

    /// Takes a token. If none is available, the error is the time at which to ask again: when the next token is available,
    /// or after [`MAX_WAIT`] if that is earlier.
    pub fn take(&mut self, now: Duration) -> Result<(), Duration> {
        self.refill(now);
        if self.try_take() {
            return Ok(());
        }
        Err(self.next_token_at(now))
    }

    /// Returns when to ask for the next token. The bucket must have been refilled at `now`. The result is later than `now`,
    /// by [`MAX_WAIT`] at most.
    pub fn next_token_at(&self, now: Duration) -> Duration {
        now.saturating_add(self.time_to_token().max(MIN_WAIT))
    }

    /// Adds the tokens that are due since the last refill. Adds none if the clock goes backwards.
    pub fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let limit = self.capacity.max(self.tokens);
        self.tokens = (self.tokens + elapsed * self.rate.tokens / self.rate.period_seconds).min(limit);
        self.updated_at = now.max(self.updated_at);
    }

    /// Takes a token without refilling first, if one is available. Returns whether a token was taken.
    pub fn try_take(&mut self) -> bool {
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }

    /// Returns the number of available tokens, without refilling first.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Returns the time from the last refill to the next token, at most [`MAX_WAIT`]; zero if a token is available. The
    /// limit also covers rates so low that the seconds exceed the range of [`Duration`].
    pub fn time_to_token(&self) -> Duration {
        let missing = 1.0 - self.tokens;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        let seconds = missing * self.rate.period_seconds / self.rate.tokens;
        Duration::try_from_secs_f64(seconds).map_or(MAX_WAIT, |wait| wait.min(MAX_WAIT))
    }
}
