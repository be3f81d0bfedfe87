//! The runtime's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// A clock that gives the time since 1970. It reads the system clock once, at the start, and then follows a monotonic clock:
/// endpoints report their start times in Unix time, and a system clock that is set back must not reorder events.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    start_since_1970: Duration,
}

impl Clock {
    /// Starts a clock now.
    pub fn start() -> Clock {
        let start_since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), start_since_1970 }
    }

    /// Returns the time since the clock was started.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns the current time since 1970.
    pub fn now(&self) -> Duration {
        self.start_since_1970 + self.elapsed()
    }

    /// Returns the instant of a time since 1970. Times before the clock's start give the start.
    pub(crate) fn instant_at(&self, time: Duration) -> Instant {
        self.start + time.saturating_sub(self.start_since_1970)
    }
}
