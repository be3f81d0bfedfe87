//! Exponential backoff with decorrelated jitter.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Backoff that grows with each failure and differs between followers by seed, so that hundreds that lost the same
/// server do not reconnect in step (decorrelated jitter).
pub(super) struct Backoff {
    initial: Duration,
    max: Duration,
    previous: Duration,
    rng: ChaCha8Rng,
}

impl Backoff {
    /// A backoff between half of `initial` and `max`.
    pub fn new(initial: Duration, max: Duration, rng: ChaCha8Rng) -> Backoff {
        Backoff { initial, max, previous: initial, rng }
    }

    /// Starts again from the initial backoff, after a success.
    pub fn reset(&mut self) {
        self.previous = self.initial;
    }

    /// Draws the delay before the next attempt.
    pub fn next(&mut self) -> Duration {
        let (low, high) = (self.initial.as_secs_f64() / 2.0, self.previous.as_secs_f64() * 3.0);
        let delay = Duration::from_secs_f64(self.rng.random_range(low..=high.max(low)));
        self.previous = delay.min(self.max).max(self.initial);
        delay.min(self.max)
    }
}
