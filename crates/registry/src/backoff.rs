//! How long to wait before the next try, and how many costly ones there may be.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Backoff that grows with each failure and differs from one follower to the next, so that hundreds that lost the same
/// server do not come back at once (decorrelated jitter).
pub(crate) struct Backoff {
    first: Duration,
    longest: Duration,
    last: Duration,
    chance: ChaCha8Rng,
}

impl Backoff {
    pub fn new(first: Duration, longest: Duration, chance: ChaCha8Rng) -> Backoff {
        Backoff { first, longest, last: first, chance }
    }

    /// What was tried worked.
    pub fn reset(&mut self) {
        self.last = self.first;
    }

    pub fn next(&mut self) -> Duration {
        let (low, high) = (self.first.as_secs_f64() / 2.0, self.last.as_secs_f64() * 3.0);
        let pause = Duration::from_secs_f64(self.chance.random_range(low..=high.max(low)));
        self.last = pause.min(self.longest).max(self.first);
        pause.min(self.longest)
    }
}

const LEAST: Duration = Duration::from_millis(1);

/// A bucket: so many at once, so many a minute.
pub(crate) struct TokenBucket {
    most: f64,
    per_minute: f64,
    left: f64,
    at: Duration,
}

impl TokenBucket {
    pub fn new(most: f64, per_minute: f64) -> TokenBucket {
        TokenBucket { most, per_minute, left: most, at: Duration::ZERO }
    }

    /// Takes one, or tells when there is one.
    pub fn take(&mut self, now: Duration) -> Result<(), Duration> {
        let gone = now.saturating_sub(self.at).as_secs_f64();
        self.left = (self.left + gone * self.per_minute / 60.0).min(self.most);
        self.at = now.max(self.at);
        if self.left >= 1.0 {
            self.left -= 1.0;
            return Ok(());
        }
        let wait = Duration::from_secs_f64((1.0 - self.left) * 60.0 / self.per_minute);
        // What rounds to no wait at all would be asked for again and again.
        Err(now + wait.max(LEAST))
    }
}
