//! How fast changes are handed on, and how long an endpoint that flaps is kept out.

use std::time::Duration;

use dahliaroad_pacing::{RefillRate, TokenBucket};

/// The delay of a return doubles so many times at most, so that its factor stays a 32-bit number.
const MAX_DOUBLINGS: u32 = 16;

/// How fast the changes of a source are handed on. What takes endpoints out is never paced.
#[derive(Clone, Copy, Debug)]
pub struct Pacing {
    /// Changes per second in the long run.
    pub changes_per_second: f64,
    /// Changes that may be handed on at once.
    pub burst: f64,
    /// Changes that come within this time of the last batch wait for the next.
    pub batch_interval: Duration,
    /// How long the second return of an endpoint is delayed; the first is not. The delay doubles with each return.
    pub initial_return_delay: Duration,
    /// The longest delay of a return.
    pub max_return_delay: Duration,
    /// An endpoint that has not ended for this long counts as steady again.
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
    /// A full bucket of changes.
    pub(crate) fn bucket(&self) -> TokenBucket {
        TokenBucket::new(self.burst, RefillRate::per_second(self.changes_per_second))
    }
}

/// How often an endpoint has ended of late.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Flapping {
    ends: u32,
    last_end: Duration,
    /// It is kept out until then.
    pub delayed_until: Duration,
}

impl Flapping {
    /// Records that the endpoint ended, and delays its return if that was not the first time.
    pub fn record_end(&mut self, now: Duration, pacing: &Pacing) {
        if self.is_over(now, pacing) {
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

    /// Whether the endpoint counts as steady: nothing of this is needed any more.
    pub fn is_over(&self, now: Duration, pacing: &Pacing) -> bool {
        self.ends == 0 || now.saturating_sub(self.last_end) > pacing.stable_after
    }
}
