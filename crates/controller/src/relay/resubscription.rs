//! Decides when to subscribe to the watch stream again although its connection works. The current time is an
//! argument, except for waiting.

use std::time::Duration;

use dahliaroad_pacing::Backoff;
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep_until};

/// The first delay before a subscription that is made because a notification could not be read. After each of these
/// subscriptions all proxies are bound again.
const INITIAL_RESUBSCRIBE_BACKOFF: Duration = Duration::from_secs(1);
const MAX_RESUBSCRIBE_BACKOFF: Duration = Duration::from_secs(30);

/// Schedules a new subscription, made while the old connection is still in use, after notifications that could not be
/// read.
pub struct Resubscription {
    backoff: Backoff,
    last_unreadable_at: Option<Instant>,
    due_at: Option<Instant>,
}

impl Resubscription {
    /// Creates a schedule on which no subscription is due.
    pub fn new(rng: ChaCha8Rng) -> Resubscription {
        let backoff = Backoff::equal_jitter(INITIAL_RESUBSCRIBE_BACKOFF, MAX_RESUBSCRIBE_BACKOFF, rng);
        Resubscription { backoff, last_unreadable_at: None, due_at: None }
    }

    /// Records that the watch stream is subscribed again after it broke off.
    pub fn on_subscribed(&mut self) {
        self.last_unreadable_at = None;
    }

    /// Records that another connection is in use. It reports all joined proxies again, which makes up for earlier
    /// unreadable notifications.
    pub fn on_new_connection(&mut self) {
        self.due_at = None;
    }

    /// Records that a notification could not be read.
    pub fn on_unreadable(&mut self, now: Instant) {
        if self.due_at.is_some() {
            return;
        }
        let last = self.last_unreadable_at.replace(now);
        if last.is_none_or(|last| now - last > MAX_RESUBSCRIBE_BACKOFF * 2) {
            self.backoff.reset();
        }
        self.due_at = Some(now + self.backoff.next_delay());
    }

    /// Records that an attempt to subscribe got no connection or no answer. The next attempt is due after a longer
    /// backoff.
    pub fn on_attempt_failed(&mut self, now: Instant) {
        self.due_at = Some(now + self.backoff.next_delay());
    }

    /// Waits until a subscription is due; forever if no notification was unreadable.
    pub async fn until_due(&self) {
        match self.due_at {
            Some(due_at) => sleep_until(due_at).await,
            None => std::future::pending().await,
        }
    }
}

#[cfg(test)]
mod tests;
