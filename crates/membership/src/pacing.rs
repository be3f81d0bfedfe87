//! Pacing of published changes, and the return delay of flapping endpoints.

use std::time::Duration;

use dahliaroad_pacing::{RefillRate, TokenBucket};

/// The maximum number of times that the delay of a return doubles, so that its factor fits into 32 bits.
const MAX_DOUBLINGS: u32 = 16;

/// How fast the changes of a source are published. Changes that end endpoints are never paced.
#[derive(Clone, Copy, Debug)]
pub struct Pacing {
    /// The long-term rate in changes per second.
    pub changes_per_second: f64,
    /// The number of changes that may be published at once.
    pub burst: f64,
    /// Changes that arrive within this time of the last batch wait for the next batch.
    pub batch_interval: Duration,
    /// The delay of an endpoint's second return. The first return is not delayed, and the delay doubles with each return.
    pub initial_return_delay: Duration,
    /// The maximum delay of a return.
    pub max_return_delay: Duration,
    /// An endpoint that has not ended for longer than this counts as stable again.
    pub stable_after: Duration,
}

impl Default for Pacing {
    fn default() -> Pacing {
        Pacing {
            changes_per_second: 500.0,
            burst: 2000.0,
            batch_interval: Duration::from_millis(50),
            initial_return_delay: Duration::from_secs(1),
            max_return_delay: Duration::from_secs(32),
            stable_after: Duration::from_secs(60),
        }
    }
}

impl Pacing {
    /// Creates a full bucket with one token per change.
    pub(crate) fn bucket(&self) -> TokenBucket {
        TokenBucket::new(self.burst, RefillRate::per_second(self.changes_per_second))
    }
}

/// Counts the recent ends of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FlapHistory {
    ends: u32,
    last_end: Duration,
    /// The earliest time at which the endpoint may return.
    pub delayed_until: Duration,
}

impl FlapHistory {
    /// Records an end of the endpoint. Delays the endpoint's return if it has ended recently before.
    pub fn record_end(&mut self, now: Duration, pacing: &Pacing) {
        if self.is_stable(now, pacing) {
            self.ends = 0;
        }
        self.last_end = now;
        self.ends += 1;
        if self.ends > 1 {
            let doublings = (self.ends - 2).min(MAX_DOUBLINGS);
            let delay = pacing.initial_return_delay.saturating_mul(1 << doublings);
            self.delayed_until = now + delay.min(pacing.max_return_delay);
        }
    }

    /// Whether the endpoint counts as stable, so that this history is no longer needed.
    pub fn is_stable(&self, now: Duration, pacing: &Pacing) -> bool {
        self.ends == 0 || now.saturating_sub(self.last_end) > pacing.stable_after
    }
}
