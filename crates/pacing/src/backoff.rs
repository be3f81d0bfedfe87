//! Exponential backoff with seeded jitter.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::MAX_WAIT;

/// How a delay is drawn from the state of the backoff.
#[derive(Clone, Copy, Debug)]
enum Jitter {
    Equal,
    Decorrelated,
}

/// Delays between attempts that grow with each failure up to a maximum, with jitter drawn from a generator of the owner's,
/// so that many clients that lost the same server at one moment do not come back in step.
#[derive(Clone, Debug)]
pub struct Backoff {
    jitter: Jitter,
    initial: Duration,
    max: Duration,
    /// What the next delay is drawn from: with equal jitter its upper bound, with decorrelated jitter a third of it.
    step: Duration,
    rng: ChaCha8Rng,
}

impl Backoff {
    /// Equal jitter: each delay is between half of a step and the whole of it. The step begins with `initial` and doubles
    /// with each delay, up to `max`. Both are cut at [`MAX_WAIT`].
    pub fn equal_jitter(initial: Duration, max: Duration, rng: ChaCha8Rng) -> Backoff {
        Backoff::new(Jitter::Equal, initial, max, rng)
    }

    /// Decorrelated jitter: each delay is between half of `initial` and three times the previous delay, and no longer than
    /// `max`. Both are cut at [`MAX_WAIT`].
    pub fn decorrelated_jitter(initial: Duration, max: Duration, rng: ChaCha8Rng) -> Backoff {
        Backoff::new(Jitter::Decorrelated, initial, max, rng)
    }

    fn new(jitter: Jitter, initial: Duration, max: Duration, rng: ChaCha8Rng) -> Backoff {
        let initial = initial.min(MAX_WAIT);
        Backoff { jitter, initial, max: max.min(MAX_WAIT), step: initial, rng }
    }

    /// Starts again from the initial delay, after a success.
    pub fn reset(&mut self) {
        self.step = self.initial;
    }

    /// Draws the delay before the next attempt. Each call draws one number.
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
