//! Exponential backoff with seeded jitter.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::MAX_WAIT;

/// The distribution from which delays are drawn.
#[derive(Clone, Copy, Debug)]
enum Jitter {
    Equal,
    Decorrelated,
}

/// Computes the delays between attempts. The delays grow with each failure up to a maximum. Each client passes its own
/// random number generator for the jitter, which keeps many clients that lost the same server at once from reconnecting in
/// step.
#[derive(Clone, Debug)]
pub struct Backoff {
    jitter: Jitter,
    initial: Duration,
    max: Duration,
    /// The base of the next delay: its upper bound with equal jitter, a third of its upper bound with decorrelated jitter.
    step: Duration,
    rng: ChaCha8Rng,
}

impl Backoff {
    /// Creates a backoff with equal jitter: each delay is between half of a step and the full step. The step starts at
    /// `initial` and doubles with each delay, up to `max`. Both limits are capped at [`MAX_WAIT`].
    pub fn equal_jitter(initial: Duration, max: Duration, rng: ChaCha8Rng) -> Backoff {
        Backoff::new(Jitter::Equal, initial, max, rng)
    }

    /// Creates a backoff with decorrelated jitter: each delay is between half of `initial` and three times the previous
    /// delay (or three times `initial`, if that is more), and at most `max`. Both limits are capped at [`MAX_WAIT`].
    pub fn decorrelated_jitter(initial: Duration, max: Duration, rng: ChaCha8Rng) -> Backoff {
        Backoff::new(Jitter::Decorrelated, initial, max, rng)
    }

    fn new(jitter: Jitter, initial: Duration, max: Duration, rng: ChaCha8Rng) -> Backoff {
        let initial = initial.min(MAX_WAIT);
        Backoff { jitter, initial, max: max.min(MAX_WAIT), step: initial, rng }
    }

    /// Resets the backoff to the initial delay. Call it after a success.
    pub fn reset(&mut self) {
        self.step = self.initial;
    }

    /// Draws the delay before the next attempt. Each call draws one random number.
    pub fn next_delay(&mut self) -> Duration {
        match self.jitter {
            Jitter::Equal => self.next_equal(),
            Jitter::Decorrelated => self.next_decorrelated(),
        }
    }

    fn next_equal(&mut self) -> Duration {
        let delay = self.step.mul_f64(self.rng.random_range(0.5..=1.0));
        self.step = (self.step * 2).min(self.max);
        delay
    }

    fn next_decorrelated(&mut self) -> Duration {
        let low = self.initial.as_secs_f64() / 2.0;
        let high = self.step.as_secs_f64() * 3.0;
        let delay = Duration::from_secs_f64(self.rng.random_range(low..=high.max(low)));
        self.step = delay.min(self.max).max(self.initial);
        delay.min(self.max)
    }
}
